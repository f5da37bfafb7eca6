"""Tests of HTTP connections to upstreams with unusual responses."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any
from unittest.mock import Mock

import anyio
import anyio.abc
import pytest

from hornbeamyard.connection.client import (
    MAX_BUFFERED_BYTES,
    MAX_WAITING_CHUNKS,
    REDUCED_READ_BYTES,
    BrokenConnectionError,
    Connection,
    open_connection,
)
from hornbeamyard.connection.pacing import READ_INTERVAL_S, ReadPacer

from .raw_upstream import ReceivedRequest, Script, run_raw_upstream

IDLE_TIMEOUT_S = 4.0


def send_bytes(data: bytes, then: str = "") -> Script:
    """Return a script that sends bytes.

    Parameters
    ----------
    data : bytes
    then : str, optional
        "close" or "reset" to end the connection that way.
    """

    async def send(
        stream: anyio.abc.SocketStream, received: ReceivedRequest
    ) -> None:
        await stream.send(data)
        if then == "reset":
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            linger = struct.pack("ii", 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if then:
            await stream.aclose()

    return send


def run(script: Script, test: Callable[[Connection], Awaitable[None]]) -> None:
    """Run a test with a connection to an upstream."""

    async def main() -> None:
        with anyio.fail_after(10):
            async with run_raw_upstream(script) as upstream:
                connection = await open_connection(
                    "127.0.0.1", upstream.port, IDLE_TIMEOUT_S
                )
                await test(connection)
                await connection.aclose()

    anyio.run(main)


async def ask(
    connection: Connection, method: str = "GET", body: bytes = b""
) -> tuple[int, bytes]:
    """Send a request; return status and body of the response."""
    headers = [(b"host", b"x")]
    if body:
        headers.append((b"content-length", str(len(body)).encode()))
    response = await connection.request(method, b"/", headers, body)
    chunks = [chunk async for chunk in response.iter_chunks()]
    return response.status, b"".join(chunks)


class TestEnd:
    """Complete and truncated responses are distinguished."""

    def test_response_ended_by_close(self) -> None:
        """Guards against the loss of responses without a length."""

        async def test(connection: Connection) -> None:
            assert await ask(connection) == (200, b"abc")
            assert connection.has_expired()

        run(send_bytes(b"HTTP/1.1 200 OK\r\n\r\nabc", "close"), test)

    def test_response_without_length_reset(self) -> None:
        """Guards against a truncated response taken for a complete one."""

        async def test(connection: Connection) -> None:
            with pytest.raises(OSError, match="connection"):
                await ask(connection)

        run(send_bytes(b"HTTP/1.1 200 OK\r\n\r\nabc", "reset"), test)

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"HTTP/1.1 200 OK\r\ncontent-",
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc",
        ],
    )
    def test_truncated_response(self, data: bytes) -> None:
        """Guards against a truncated response taken for a complete one."""

        async def test(connection: Connection) -> None:
            with pytest.raises(OSError, match="closed"):
                await ask(connection)

        run(send_bytes(data, "close"), test)

    def test_invalid_response(self) -> None:
        """Guards against reuse of a connection after invalid bytes."""

        async def test(connection: Connection) -> None:
            with pytest.raises(OSError, match="invalid HTTP response"):
                await ask(connection)
            assert not connection.is_idle()

        run(send_bytes(b"\x00\x01garbage\r\n\r\n"), test)


class TestReuse:
    """A connection is reused only if no bytes of an exchange are left."""

    COMPLETE = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"

    def test_after_complete_response(self) -> None:
        """Guards against a new connection for each request."""

        async def test(connection: Connection) -> None:
            assert await ask(connection) == (200, b"abc")
            assert not connection.has_expired()
            assert await ask(connection) == (200, b"abc")

        run(send_bytes(self.COMPLETE), test)

    def test_not_after_extra_bytes(self) -> None:
        """Guards against extra bytes taken for the next response."""

        async def test(connection: Connection) -> None:
            assert await ask(connection) == (200, b"abc")
            await anyio.sleep(0.05)
            assert not connection.is_idle()

        run(send_bytes(self.COMPLETE + self.COMPLETE), test)

    def test_not_after_close_by_upstream(self) -> None:
        """Guards against a request on a closed connection."""

        async def test(connection: Connection) -> None:
            assert await ask(connection) == (200, b"abc")
            await anyio.sleep(0.05)
            assert connection.has_expired()

        run(send_bytes(self.COMPLETE, "close"), test)

    def test_not_after_connection_close_header(self) -> None:
        """Guards against a request on a connection announced as closing."""

        async def test(connection: Connection) -> None:
            await ask(connection)
            assert not connection.is_idle()

        data = self.COMPLETE.replace(
            b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n"
        )
        run(send_bytes(data), test)

    def test_observes_keep_alive_timeout(self) -> None:
        """Guards against a request on a connection that is being closed."""

        async def test(connection: Connection) -> None:
            await ask(connection)
            left_s = connection._idle_until - connection._loop.time()
            assert left_s < 1.0

        data = self.COMPLETE.replace(
            b"\r\n\r\n", b"\r\nkeep-alive: timeout=1\r\n\r\n"
        )
        run(send_bytes(data), test)

    def test_not_when_request_body_was_not_read(self) -> None:
        """Guards against a request read as the rest of the previous body."""

        async def main() -> None:
            async def serve(stream: anyio.abc.SocketStream) -> None:
                await stream.receive(100)
                await stream.send(self.COMPLETE)
                await anyio.sleep_forever()

            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                connection = await open_connection(
                    "127.0.0.1", port, IDLE_TIMEOUT_S
                )
                body = b"x" * 32 * 1024 * 1024
                assert await ask(connection, "POST", body) == (200, b"abc")
                assert not connection.is_idle()
                await connection.aclose()
                tasks.cancel_scope.cancel()

        anyio.run(main)


class TestResponse:
    """Unusual but valid responses."""

    def test_interim_response(self) -> None:
        """Guards against an interim response taken for the final one."""

        async def test(connection: Connection) -> None:
            assert await ask(connection) == (200, b"abc")

        interim = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
        run(send_bytes(interim + TestReuse.COMPLETE), test)

    def test_response_to_head(self) -> None:
        """Guards against waiting for a body that HEAD doesn't have."""

        async def test(connection: Connection) -> None:
            assert await ask(connection, "HEAD") == (200, b"")

        run(send_bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n"), test)

    def test_slow_reader_pauses_upstream(self) -> None:
        """Guards against unbounded buffering for a slow caller."""
        size = 64 * 1024 * 1024

        async def test(connection: Connection) -> None:
            response = await connection.request("GET", b"/", [], b"")
            await anyio.sleep(0.3)
            assert connection._buffered_bytes < MAX_BUFFERED_BYTES + 512 * 1024
            read = 0
            async for chunk in response.iter_chunks():
                read += len(chunk)
            assert read == size

        head = f"HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n"
        run(send_bytes(head.encode() + b"x" * size), test)


class TestSmallChunks:
    """Chunks of some bytes don't hold up other requests."""

    HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    CHUNK = b"40\r\n" + b"x" * 64 + b"\r\n"
    CHUNKS = 50_000

    @pytest.mark.parametrize("delay_s", [0.0, 0.3])
    def test_pieces_in_one_turn(self, delay_s: float) -> None:
        """Guards against a response that takes a turn of the event loop.

        A router didn't answer anybody while it passed on 65,536 chunks of a
        byte one by one.
        """
        piece = self.HEAD + b"1\r\nx\r\n" * self.CHUNKS + b"0\r\n\r\n"

        async def test(connection: Connection) -> None:
            response = await connection.request("GET", b"/", [], b"")
            await anyio.sleep(delay_s)
            in_turn = most = size = 0

            async def count_turns() -> None:
                nonlocal in_turn
                while True:
                    in_turn = 0
                    await asyncio.sleep(0)

            turns = asyncio.ensure_future(count_turns())
            async for chunk in response.iter_chunks():
                in_turn += 1
                most = max(most, in_turn)
                size += len(chunk)
            turns.cancel()
            assert size == self.CHUNKS
            assert most <= MAX_WAITING_CHUNKS

        run(send_bytes(piece), test)

    def test_memory_of_waiting_chunks(self) -> None:
        """Guards against an object for each chunk that a caller doesn't read.

        An object takes some thirty bytes more than the chunk.
        """

        async def test() -> None:
            connection, _ = connect(ReadPacer())
            ask_for_response(connection)
            await asyncio.sleep(0)
            connection.data_received(self.HEAD)
            for _ in range(100):
                connection.data_received(b"2\r\nxy\r\n" * 500)
            assert connection._buffered_bytes == 100_000
            assert len(connection._chunks) <= MAX_WAITING_CHUNKS

        anyio.run(test)

    def test_connections_take_turns(self) -> None:
        """Guards against many such responses that are read in one turn."""

        async def test() -> None:
            pacer = ReadPacer()
            transports = []
            for _ in range(20):
                connection, transport = connect(pacer)
                ask_for_response(connection)
                await asyncio.sleep(0)
                transports.append(transport)
                connection.data_received(self.HEAD + b"1\r\nx\r\n" * 500)
                transport.pause_reading.assert_called()
                assert len(connection.get_buffer(-1)) == REDUCED_READ_BYTES
            resumed = count_resumed(transports)
            while resumed < len(transports):
                await asyncio.sleep(0)
                assert count_resumed(transports) <= resumed + 1
                resumed = count_resumed(transports)

        anyio.run(test)

    def test_slow_caller_and_turn(self) -> None:
        """Guards against reading on for one reason in spite of the other."""

        async def test() -> None:
            connection, transport = connect(ReadPacer())
            ask_for_response(connection)
            await asyncio.sleep(0)
            connection.data_received(self.HEAD)
            while not connection._is_paused:
                connection.data_received(self.CHUNK * 300)
            await asyncio.sleep(10 * READ_INTERVAL_S)
            transport.resume_reading.assert_not_called()
            while connection.pop_chunk() is not None:
                pass
            transport.resume_reading.assert_called()

        anyio.run(test)


def connect(pacer: ReadPacer) -> tuple[Connection, Mock]:
    """Return a connection with a fake transport."""
    connection = Connection(IDLE_TIMEOUT_S, pacer=pacer)
    transport = Mock(spec=asyncio.Transport)
    transport.get_write_buffer_size.return_value = 0
    connection.connection_made(transport)
    return connection, transport


def count_resumed(transports: list[Mock]) -> int:
    """Return the number of transports that are read again."""
    return sum(t.resume_reading.called for t in transports)


def ask_for_response(connection: Connection) -> asyncio.Future[Any]:
    """Send a request; its response is fed by the test."""
    return asyncio.ensure_future(connection.request("GET", b"/", [], b""))


class TestWholeBodies:
    """A body that is read as a whole is bounded, as are all together."""

    @pytest.mark.parametrize(
        ("size", "others", "expected"),
        [
            (100_000, 0, True),
            (100_001, 0, False),
            (8_000, 2_000_000, True),
            (9_000, 2_000_000, False),
        ],
    )
    def test_bound(self, size: int, others: int, expected: bool) -> None:
        """Guards against memory for bodies of errors of many upstreams."""
        body = b"x" * size

        async def test(connection: Connection) -> None:
            connection.buffers.max_size = 1_000_000
            connection.buffers.size = others
            response = await connection.request("GET", b"/", [], b"")
            if expected:
                assert await response.read(100_000) == body
            else:
                with pytest.raises(BrokenConnectionError, match="exceeds"):
                    await response.read(100_000)
            await connection.aclose()
            assert connection.buffers.size == others

        head = f"HTTP/1.1 500 X\r\ncontent-length: {size}\r\n\r\n"
        run(send_bytes(head.encode() + body), test)


class TestFields:
    """Header fields are bounded, however many arrive at once."""

    LARGE = b"x-field: " + b"y" * 100 * 1024 + b"\r\n"
    CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

    @pytest.mark.parametrize(
        "data",
        [
            b"HTTP/1.1 200 OK\r\n" + LARGE + b"content-length: 3\r\n\r\nabc",
            b"HTTP/1.1 103 Early Hints\r\n" + LARGE + b"\r\n"
            b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
            CHUNKED + b"3\r\nabc\r\n0\r\n" + LARGE + b"\r\n",
            CHUNKED + b"3\r\nabc\r\n0\r\n" + b"a: b\r\n" * 17000 + b"\r\n",
        ],
        ids=["header", "interim", "trailer", "trailers"],
    )
    def test_size(self, data: bytes) -> None:
        """Guards against memory for fields that come with a body."""

        async def test() -> None:
            connection, _ = connect(ReadPacer())
            response = asyncio.ensure_future(ask(connection))
            await asyncio.sleep(0)
            connection.data_received(data)
            with pytest.raises(BrokenConnectionError):
                await response
            assert not connection.is_idle()

        anyio.run(test)

    def test_trailer_is_no_header(self) -> None:
        """Guards against a signature or an id that is taken from a trailer."""

        async def test(connection: Connection) -> None:
            response = await connection.request("GET", b"/", [], b"")
            chunks = [chunk async for chunk in response.iter_chunks()]
            assert chunks == [b"abc"]
            assert response.headers == [(b"transfer-encoding", b"chunked")]

        trailer = b"hornbeamyard-signature: s\r\n\r\n"
        run(send_bytes(self.CHUNKED + b"3\r\nabc\r\n0\r\n" + trailer), test)
