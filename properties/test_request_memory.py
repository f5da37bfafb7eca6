"""The account of request bytes returns to zero, however a body is split."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from http import HTTPStatus
from itertools import pairwise
from typing import Any
from unittest.mock import Mock

import logbook
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from uvicorn import Config
from uvicorn.server import ServerState

from hornbeamyard.connection.limits import (
    LINGER_S,
    ConnectionLimits,
    OverloadLimiter,
    Refusals,
    build_protocol,
)
from hornbeamyard.connection.request_memory import RequestMemory
from hornbeamyard.process.timers import Timers
from hornbeamyard.request.problem import send_response

BODY_SIZE = 6_000
ROOM = 20_000
EXTENSIONS = st.sampled_from([b"", b";a=b", b';name="v v"'])
TRAILERS = st.sampled_from([b"", b"t: 1\r\n", b"a: b\r\nc: d\r\n"])
SIZES = st.sampled_from([0, 1, 2, 100, 5000, BODY_SIZE])
HEAD = b"POST /x HTTP/1.1\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# Bytes that arrive at a time, at most.
PIECE_SIZE = 8000
# What happens after the bytes: nothing, a reset, or a long pause.
ENDS = st.sampled_from(["open", "reset", "pause"])


@dataclass(frozen=True)
class Request:
    """A request, of which a fraction of the body is sent."""

    size: int
    # Size of the chunks; 0 for a body with a length.
    chunk_size: int
    extension: bytes
    trailer: bytes
    fraction: float

    def build(self) -> bytes:
        """Return the bytes of the whole request."""
        if not self.chunk_size:
            return HEAD + LENGTH % self.size + bytes(self.size)
        data, left = HEAD + CHUNKED, self.size
        while left:
            taken = min(self.chunk_size, left)
            left -= taken
            data += b"%x%b\r\n%b\r\n" % (taken, self.extension, bytes(taken))
        return data + b"0\r\n" + self.trailer + b"\r\n"

    def cut(self, data: bytes) -> bytes:
        """Return what is sent."""
        return data[: len(HEAD) + int((len(data) - len(HEAD)) * self.fraction)]


REQUESTS = st.builds(
    Request,
    st.sampled_from([0, 1, 700, BODY_SIZE - 1, BODY_SIZE, BODY_SIZE + 1]),
    SIZES,
    EXTENSIONS,
    TRAILERS,
    st.one_of(st.just(1.0), st.floats(0.0, 1.0)),
)


class Connection:
    """A connection with an application that answers a complete body."""

    def __init__(self, limits: ConnectionLimits) -> None:
        self.written = b""
        self.bodies: list[bytes] = []
        self.is_reading = True
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        transport = Mock(asyncio.Transport)
        transport.is_closing.return_value = False
        transport.close.side_effect = self.close
        transport.write.side_effect = self._write
        transport.pause_reading.side_effect = lambda: self._read(False)
        transport.resume_reading.side_effect = lambda: self._read(True)
        transport.get_extra_info.return_value = None
        self.transport = transport
        config = Config(
            self.serve,
            log_config=None,
            lifespan="off",
            interface="asgi3",
            proxy_headers=False,
        )
        config.load()
        self.protocol = build_protocol(limits)(config, ServerState(), {})
        self.protocol.connection_made(transport)

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer a request whose body is complete, once it may."""
        message = await receive()
        if message["type"] != "http.request":
            return
        assert not message["more_body"]
        self.bodies.append(message["body"])
        await self.may_answer.wait()
        await send_response(send, HTTPStatus.OK, [], b"")

    def close(self) -> None:
        """Close the connection, once."""
        if not self.transport.is_closing.return_value:
            self.transport.is_closing.return_value = True
            asyncio.get_running_loop().call_soon(
                self.protocol.connection_lost, None
            )

    def _write(self, data: bytes) -> None:
        self.written += data

    def _read(self, is_reading: bool) -> None:
        self.is_reading = is_reading

    async def receive(self, data: bytes, cuts: list[int]) -> None:
        """Receive bytes in pieces, each once the connection is read."""
        steps = range(0, len(data), PIECE_SIZE)
        drawn = (cut % (len(data) + 1) for cut in cuts)
        ends = sorted({0, len(data), *steps, *drawn})
        for start, end in pairwise(ends):
            while self.protocol._unparsed or not self.is_reading:
                await asyncio.sleep(0)
            if self.transport.is_closing():
                return
            self.protocol.data_received(data[start:end])
        while self.protocol._unparsed:
            await asyncio.sleep(0)
        await settle()

    def get_statuses(self) -> list[bytes]:
        """Return the statuses of all responses."""
        parts = self.written.split(b"HTTP/1.1 ")[1:]
        return [part[:3] for part in parts]


async def settle() -> None:
    """Run what is due in the event loop."""
    for _ in range(40):
        await asyncio.sleep(0)


def build_limits(clock: list[float]) -> ConnectionLimits:
    """Return limits on a virtual clock."""
    timers = Mock(Timers, now=lambda: clock[0])
    limits = ConnectionLimits(100, OverloadLimiter(timers), timers)
    limits.body_size = BODY_SIZE
    limits.memory = RequestMemory(ROOM)
    return limits


@given(
    st.lists(
        st.tuples(REQUESTS, st.lists(st.integers(0, 9999), max_size=6), ENDS),
        min_size=1,
        max_size=6,
    )
)
@settings(deadline=None)
def test_account_returns_to_zero(
    connections: list[tuple[Request, list[int], str]],
) -> None:
    """Guards against bytes that stay counted, and requests that run late.

    A request that was refused, cut off or not complete never reaches the
    application; a complete one within the limits does, unchanged.
    """

    async def test() -> None:
        clock = [0.0]
        limits = build_limits(clock)
        opened = []
        for request, cuts, end in connections:
            data, size = request.build(), request.size
            sent = request.cut(data)
            connection = Connection(limits)
            opened.append(connection)
            await connection.receive(sent, cuts)
            assert limits.memory.size <= ROOM
            statuses = connection.get_statuses()
            if size > BODY_SIZE:
                assert connection.bodies == []
                assert statuses in ([], [b"413"], [b"503"])
            elif sent == data and statuses != [b"503"]:
                assert connection.bodies == [bytes(size)]
                assert statuses == [b"200"]
            else:
                assert connection.bodies == []
            assert len(statuses) <= 1
            if end == "reset":
                connection.close()
            elif end == "pause":
                clock[0] += limits.memory.body_timeout_s + 1.0
                for other in opened:
                    other.protocol.check_body_timeout(clock[0])
            await settle()
        clock[0] += limits.memory.body_timeout_s + LINGER_S
        for _ in range(2):
            clock[0] += LINGER_S
            for connection in opened:
                connection.protocol.check_body_timeout(clock[0])
            await settle()
        # What is still open holds nothing.
        assert limits.memory.is_empty()
        for connection in opened:
            connection.close()
            task = connection.protocol.timeout_keep_alive_task
            with contextlib.suppress(AttributeError):
                task.cancel()
        await settle()
        assert limits.memory.is_empty()

    asyncio.run(test())


@pytest.mark.parametrize("chunk_size", [1, 7, 1000, BODY_SIZE])
def test_exact_limit_beside_a_crowd(chunk_size: int) -> None:
    """Guards against a crowd that keeps out a request within the limits.

    The crowd stops one byte short; what makes no progress gives way.
    """

    async def test() -> None:
        clock = [0.0]
        limits = build_limits(clock)
        crowd = []
        stalled = Request(BODY_SIZE, 0, b"", b"", 1.0).build()[:-1]
        for _ in range(8):
            connection = Connection(limits)
            crowd.append(connection)
            await connection.receive(stalled, [])
        assert 0 < limits.memory.size <= ROOM
        clock[0] += 1.0
        data = Request(BODY_SIZE, chunk_size, b"", b"", 1.0).build()
        connection = Connection(limits)
        await connection.receive(data, [])
        assert connection.bodies == [bytes(BODY_SIZE)]
        assert connection.get_statuses() == [b"200"]
        refused = [other for other in crowd if other.written]
        assert refused
        assert all(o.get_statuses() == [b"503"] for o in refused)
        assert not any(other.bodies for other in crowd)
        for other in [*crowd, connection]:
            other.close()
        await settle()
        assert limits.memory.is_empty()

    asyncio.run(test())


@pytest.mark.parametrize("chunk_size", [0, 100])
def test_requests_behind_another(chunk_size: int) -> None:
    """Guards against requests that are queued without limit or count."""

    async def test() -> None:
        limits = build_limits([0.0])
        first = Request(300, chunk_size, b"", b"", 1.0).build()
        rest = Request(10, 0, b"", b"", 1.0).build() * 12
        connection = Connection(limits)
        connection.may_answer.clear()
        connection.protocol.data_received(first + rest)
        await settle()
        assert len(connection.bodies) == 1
        held = 300 + (len(rest) if not chunk_size else 120)
        assert limits.memory.size == held
        connection.may_answer.set()
        while len(connection.bodies) < 13:
            await asyncio.sleep(0)
        await settle()
        assert connection.get_statuses() == [b"200"] * 13
        assert limits.memory.is_empty()
        # More than may be queued behind a chunked body end the connection.
        connection.may_answer.clear()
        connection.protocol.data_received(first + rest * 2)
        await settle()
        assert connection.transport.is_closing() is bool(chunk_size)
        connection.close()
        connection.may_answer.set()
        await settle()
        assert limits.memory.is_empty()

    asyncio.run(test())


def test_refusals_are_logged_now_and_then() -> None:
    """Guards against a crowd that fills the log."""
    refusals = Refusals()
    with logbook.TestHandler() as log:
        for number in range(1000):
            refusals.record("size", f"10.0.0.{number % 9}", number / 50)
    messages = [record.message for record in log.records]
    assert len(messages) == 2
    assert "number=500 reason=size" in messages[1]
    assert refusals.counts == {"size": 1000}
