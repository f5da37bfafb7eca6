"""Connections to upstreams bear any bytes in any pieces."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamyard.connection.client import (
    MAX_BUFFERED_BYTES,
    MAX_UNPARSED_BYTES,
    BrokenConnectionError,
    Connection,
)

# Frequent parts of responses, so that arbitrary bytes get past the parser's
# first state.
FRAGMENTS = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 503 X\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nupgrade: x\r\n\r\n",
        b"content-length: 3\r\n",
        b"transfer-encoding: chunked\r\n",
        b"connection: close\r\n",
        b"keep-alive: timeout=" + b"9" * 400 + b"\r\n",
        b"x: " + b"y" * 40_000,
        b"\r\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"5;" + b"e" * 40_000,
    ]
)
PIECES = st.lists(st.one_of(FRAGMENTS, st.binary(max_size=64)), max_size=30)


class FakeTransport(asyncio.Transport):
    """A transport whose bytes go nowhere."""

    def __init__(self) -> None:
        super().__init__()
        self.is_closed = False

    def write(self, data: Any) -> None:
        """Drop the bytes."""

    def get_write_buffer_size(self) -> int:
        """Return 0: all bytes are sent at once."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the connection is closed."""
        return self.is_closed

    def close(self) -> None:
        """Close the connection."""
        self.is_closed = True

    abort = close

    def pause_reading(self) -> None:
        """Do nothing; the test decides when bytes arrive."""

    def resume_reading(self) -> None:
        """Do nothing."""


@given(PIECES)
@settings(deadline=None, max_examples=200)
def test_bears_any_bytes(pieces: list[bytes]) -> None:
    """Guards against unhandled errors and unbounded memory."""

    async def feed() -> None:
        connection = Connection(1.0)
        transport = FakeTransport()
        connection.connection_made(transport)
        task = asyncio.ensure_future(
            connection.request("GET", b"/", [(b"host", b"x")], b"")
        )
        await asyncio.sleep(0)
        for piece in pieces:
            if transport.is_closed:
                break
            connection.data_received(piece)
            held = sum(len(n) + len(v) for n, v in connection._headers)
            assert held <= MAX_UNPARSED_BYTES + len(piece)
            assert connection._buffered_bytes <= MAX_BUFFERED_BYTES
        connection.eof_received()
        connection.connection_lost(None)
        try:
            response = await task
            async for _ in response.iter_chunks():
                pass
        except BrokenConnectionError:
            assert not connection.is_idle()

    asyncio.run(feed())


HEAD_FIELDS = (
    b"x-request: q1\r\nx-seal: s\r\n",
    b"content-type: text/event-stream\r\n",
)
RESPONSES = [
    b"HTTP/1.1 200 OK\r\n%bcontent-length: 6\r\n\r\nabcdef",
    b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n%b\r\n",
    b"HTTP/1.1 200 OK\r\n%btransfer-encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
    b"content-length: 6\r\n%b\r\nabcdef",
    b"HTTP/1.1 204 No Content\r\n%b\r\n",
    # Ends with its connection, so only its head can be seen to be cut.
    b"HTTP/1.1 200 OK\r\nconnection: close\r\n%b\r\n",
]


@pytest.mark.parametrize("response", RESPONSES)
@pytest.mark.parametrize("fields", HEAD_FIELDS)
@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"])
def test_response_cut_anywhere(
    response: bytes, fields: bytes, is_reused: bool, line_end: bytes
) -> None:
    """Guards against a response that breaks off and is taken for whole.

    An upstream stops at any byte, also in its head, and closes its connection
    in order. The connection may have carried another response before.
    """
    data = (response % fields).replace(b"\r\n", line_end)
    earlier = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"

    async def receive(connection: Connection, data: bytes) -> None:
        task = asyncio.ensure_future(
            connection.request("GET", b"/", [(b"host", b"x")], b"")
        )
        await asyncio.sleep(0)
        if data:
            connection.data_received(data)
        if data is not earlier:
            connection.eof_received()
            connection.connection_lost(None)
        response = await task
        async for _ in response.iter_chunks():
            pass

    async def check(cut: int) -> None:
        connection = Connection(1.0)
        connection.connection_made(FakeTransport())
        if is_reused:
            await receive(connection, earlier)
        with pytest.raises(BrokenConnectionError):
            await receive(connection, data[:cut])

    for cut in range(len(data)):
        asyncio.run(check(cut))
