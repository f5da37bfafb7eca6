"""An upstream that sends exactly the bytes that a test chooses."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import anyio.abc

# Sends the response to a received request over the connection.
Script = Callable[[anyio.abc.SocketStream, "ReceivedRequest"], Awaitable[None]]


@dataclass(slots=True)
class ReceivedRequest:
    """A request as the upstream received it.

    Attributes
    ----------
    head : bytes
        Request line and headers, without the empty line.
    body : bytes
    """

    head: bytes
    body: bytes

    def get_header(self, name: str) -> str | None:
        """Return the value of a header, or None if it is missing."""
        for line in self.head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.strip().lower() == name.encode():
                return value.strip().decode()
        return None

    @property
    def request_line(self) -> str:
        """Method, path and HTTP version."""
        return self.head.split(b"\r\n", 1)[0].decode()


@dataclass(slots=True)
class RawUpstream:
    """A listening upstream that responds as its scripts say.

    Attributes
    ----------
    port : int
    received : list of ReceivedRequest
    scripts : list of Script
        One for each request; the last one also serves all further requests.
    closed : int
        Number of connections that the client has closed.
    has_crashed : bool
    """

    port: int
    scripts: list[Script]
    received: list[ReceivedRequest] = field(default_factory=list)
    closed: int = 0
    has_crashed: bool = False
    _scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    async def run(self, listener: anyio.abc.SocketListener) -> None:
        """Accept connections until cancelled or crashed."""
        with self._scope:
            async with listener:
                await listener.serve(self.serve)

    def crash(self) -> None:
        """Close all connections and refuse new ones."""
        self.has_crashed = True
        self._scope.cancel()

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            while True:
                received = await _read_request(stream)
                if received is None:
                    self.closed += 1
                    return
                self.received.append(received)
                index = min(len(self.received), len(self.scripts)) - 1
                try:
                    await self.scripts[index](stream, received)
                except (
                    anyio.EndOfStream,
                    anyio.BrokenResourceError,
                    anyio.ClosedResourceError,
                ):
                    self.closed += 1
                    return


async def _read_request(
    stream: anyio.abc.SocketStream,
) -> ReceivedRequest | None:
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
        head, body = data.split(b"\r\n\r\n", 1)
        received = ReceivedRequest(head, body)
        size = int(received.get_header("content-length") or 0)
        while len(received.body) < size:
            received.body += await stream.receive()
    except (
        anyio.EndOfStream,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
    ):
        return None
    return received


@asynccontextmanager
async def run_raw_upstream(
    *scripts: Script, port: int = 0
) -> AsyncIterator[RawUpstream]:
    """Run an upstream that responds as scripts say, at any port with 0."""
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=port
    )
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    upstream = RawUpstream(port, list(scripts))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(upstream.run, listener)
        yield upstream
        tasks.cancel_scope.cancel()


def send_response(
    status: int = 200,
    body: bytes = b"done",
    headers: tuple[str, ...] = (),
    request_id: str | None = None,
    signed: bool = True,
) -> Script:
    """Return a script that sends a complete response.

    The response names the request that was received, or `request_id`.
    """

    async def send(
        stream: anyio.abc.SocketStream, received: ReceivedRequest
    ) -> None:
        id = request_id
        if id is None:
            id = received.get_header("hornbeamyard-request") or ""
        lines = [
            f"HTTP/1.1 {status} X",
            f"hornbeamyard-request: {id}",
            f"content-length: {len(body)}",
            *headers,
        ]
        if signed:
            lines.append("hornbeamyard-signature: s1")
        await stream.send("\r\n".join([*lines, "", ""]).encode() + body)

    return send


def send_events(
    first: int,
    last: int,
    complete: bool = True,
    partial_event: bytes = b"",
    headers: tuple[str, ...] = (),
    framing: str = "chunked",
) -> Script:
    """Return a script that sends events with increasing ids.

    Parameters
    ----------
    first, last : int
        First and last event id.
    complete : bool
        Whether the stream ends normally; otherwise the connection closes.
    partial_event : bytes
        Beginning of a further event that is never completed.
    headers : tuple of str
        Further header lines.
    framing : str
        "chunked", or "close" for a response that ends with its connection.
    """
    is_chunked = framing == "chunked"
    if is_chunked:
        headers = ("transfer-encoding: chunked", *headers)

    async def send(
        stream: anyio.abc.SocketStream, received: ReceivedRequest
    ) -> None:
        id = received.get_header("hornbeamyard-request") or ""
        head = (
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            f"hornbeamyard-request: {id}\r\nhornbeamyard-signature: s1\r\n"
        )
        fields = "".join(f"{line}\r\n" for line in headers)
        await stream.send(f"{head}{fields}\r\n".encode())
        pieces = [
            f"id: {number}\ndata: {number}\n\n".encode()
            for number in range(first, last + 1)
        ]
        for piece in filter(None, [*pieces, partial_event]):
            size = f"{len(piece):x}\r\n".encode()
            await stream.send(size + piece + b"\r\n" if is_chunked else piece)
        if is_chunked and complete:
            await stream.send(b"0\r\n\r\n")
            return
        await stream.aclose()

    return send


async def close_connection(
    stream: anyio.abc.SocketStream, received: ReceivedRequest
) -> None:
    """Close the connection without a response."""
    await stream.aclose()


async def hang(
    stream: anyio.abc.SocketStream, received: ReceivedRequest
) -> None:
    """Send nothing until the client disconnects."""
    await stream.receive()


def send_endlessly(start: bytes, repeated: bytes) -> Script:
    """Return a script that sends bytes until the client closes.

    Parameters
    ----------
    start : bytes
        Sent once. `{id}` in it stands for the id of the request.
    repeated : bytes
        Sent again and again.
    """

    async def send(
        stream: anyio.abc.SocketStream, received: ReceivedRequest
    ) -> None:
        id = received.get_header("hornbeamyard-request") or ""
        await stream.send(start.replace(b"{id}", id.encode()))
        block = repeated * (1 + 16 * 1024 // len(repeated))
        while True:
            await stream.send(block)

    return send
