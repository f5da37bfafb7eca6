"""An HTTP load generator over keep-alive connections on loopback."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc
import httptools

MAX_READ_BYTES = 65536
RESPONSE_TIMEOUT_S = 120.0
# Streams that are opened at a time. A router refuses requests that arrive
# faster than it can start them.
MAX_OPENING_STREAMS = 20


@dataclass(slots=True)
class Response:
    """A response of the measured server, filled by the parser's callbacks.

    Attributes
    ----------
    status : int
    body : bytearray
    started : anyio.Event
        Set when the headers are complete.
    complete : bool
    """

    status: int = 0
    body: bytearray = field(default_factory=bytearray)
    started: anyio.Event = field(default_factory=anyio.Event)
    complete: bool = False

    def on_headers_complete(self) -> None:
        """Record that the headers were received."""
        self.started.set()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Record the end of the response."""
        self.complete = True


def build_request(
    model: str, key: str, *, prompt_size: int = 1000, **fields: object
) -> bytes:
    """Return an encoded HTTP/1.1 request for a chat completion.

    Parameters
    ----------
    model, key : str
    prompt_size : int, optional
        Characters of the prompt.
    **fields : object
        Further fields of the JSON body.
    """
    document = {
        "model": model,
        "messages": [{"role": "user", "content": "x" * prompt_size}],
        **fields,
    }
    body = json.dumps(document).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nhost: 127.0.0.1\r\n"
        f"authorization: Bearer {key}\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def send_request(
    stream: anyio.abc.SocketStream, request: bytes, response: Response
) -> None:
    """Send a request and read all of its response into `response`.

    Raises
    ------
    RuntimeError
        When the response's status isn't 200.
    """
    parser = httptools.HttpResponseParser(response)
    await stream.send(request)
    while not response.complete:
        parser.feed_data(await stream.receive(MAX_READ_BYTES))
    response.status = parser.get_status_code()
    if response.status != 200:
        raise RuntimeError(
            f"status {response.status}: {bytes(response.body)!r}"
        )


async def run_callers(
    port: int, callers: int, requests: int, request: bytes
) -> list[int]:
    """Send requests from several callers, each one after the other.

    Parameters
    ----------
    port : int
    callers : int
        Connections at a time.
    requests : int
        Requests of each caller.
    request : bytes

    Returns
    -------
    list of int
        Server-sent events in each response.
    """
    events: list[int] = []

    async def run_caller() -> None:
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            for _ in range(requests):
                response = Response()
                with anyio.fail_after(RESPONSE_TIMEOUT_S):
                    await send_request(stream, request, response)
                events.append(response.body.count(b"data: "))

    async with anyio.create_task_group() as tasks:
        for _ in range(callers):
            tasks.start_soon(run_caller)
    return events


async def hold_streams(
    port: int,
    streams: int,
    request: bytes,
    during: Callable[[], Awaitable[None]],
) -> int:
    """Open streams, run `during` while all are open, then read to the end.

    Returns
    -------
    int
        Streams that were complete.
    """
    complete = 0
    responses = [Response() for _ in range(streams)]

    async def read(response: Response) -> None:
        nonlocal complete
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            with anyio.fail_after(RESPONSE_TIMEOUT_S):
                await send_request(stream, request, response)
        complete += response.body.endswith(b"data: [DONE]\n\n")

    async with anyio.create_task_group() as tasks:
        for number, response in enumerate(responses):
            if number >= MAX_OPENING_STREAMS:
                await responses[number - MAX_OPENING_STREAMS].started.wait()
            tasks.start_soon(read, response)
        for response in responses:
            await response.started.wait()
        await during()
    return complete
