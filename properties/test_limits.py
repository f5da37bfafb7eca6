"""The size of a header counts the same for any cut of its bytes."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from itertools import pairwise
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from hypothesis import given
from hypothesis import strategies as st
from uvicorn import Config
from uvicorn.server import ServerState

from hornbeamyard.connection.limits import (
    ConnectionLimits,
    OverloadLimiter,
    build_protocol,
)
from hornbeamyard.process.timers import Timers

REQUEST_LINE = b"POST /x?a=b HTTP/1.1\r\n"
# What may arrive on the connection before the request under test.
EARLIER = [
    b"",
    b"\r\n",
    b"GET /first HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST /first HTTP/1.1\r\nContent-Length: 9\r\n\r\na\r\n\r\nb\r\nc",
]
CHUNKED = (
    b"POST /first HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"6\r\na\r\n\r\nb\r\n0\r\nt: 1\r\n\r\n"
)
FIELDS = st.lists(
    st.sampled_from(
        [b"a:b", b"Host: a.example", b"x-long: " + b"v" * 40, b"pad:    c  "]
    ),
    min_size=1,
    max_size=5,
)
CUTS = st.lists(st.integers(0, 400), max_size=12)


async def ignore_request(scope: Any, receive: Any, send: Any) -> None:
    """Take the place of an application."""


class Connection:
    """A connection with a limit on headers, without a socket."""

    def __init__(self, header_size: int) -> None:
        timers = Mock(Timers, now=lambda: 0.0)
        limits = ConnectionLimits(1, OverloadLimiter(timers), timers)
        limits.header_size = header_size
        self.transport = Mock(asyncio.Transport)
        self.transport.is_closing.return_value = False
        self.transport.close.side_effect = self._close
        self.transport.get_extra_info.return_value = None
        self.requests = 0
        config = Config(ignore_request, log_config=None, lifespan="off")
        config.load()
        loop = SimpleNamespace(create_task=self._start)
        protocol = build_protocol(limits)
        self.protocol = protocol(config, ServerState(), {}, _loop=loop)
        self.protocol.connection_made(self.transport)

    def _close(self) -> None:
        self.transport.is_closing.return_value = True

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> Mock:
        self.requests += 1
        # A pipelined request is parsed as if this one had a response.
        self.protocol.cycle.response_complete = True
        coroutine.close()
        return Mock()

    def receive(self, data: bytes, cuts: list[int]) -> None:
        """Receive bytes in the pieces that the cuts make of them."""
        ends = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
        for start, end in pairwise(ends):
            self.protocol.data_received(data[start:end])

    def read_status(self) -> bytes:
        """Return the status of the refusal, or b""."""
        calls = self.transport.write.call_args_list
        return calls[-1].args[0].split()[1] if calls else b""


def check_verdicts(earlier: bytes, fields: bytes, cuts: list[int]) -> None:
    """Check a header at the limit, and one a byte beyond it."""
    # The earlier requests are within the limit in any case.
    fields += b"p: " + b"q" * 60 + b"\r\n"
    limit = len(fields)
    header = earlier + REQUEST_LINE + fields + b"\r\n"
    number = header.count(b" HTTP/1.1")

    connection = Connection(limit)
    connection.receive(header, cuts)
    assert connection.read_status() == b""
    assert connection.requests == number

    connection = Connection(limit - 1)
    connection.receive(header, cuts)
    assert connection.read_status() == b"431"
    assert connection.requests == number - 1


@given(st.sampled_from(EARLIER), FIELDS, CUTS)
def test_counts_each_byte_once(
    earlier: bytes, fields: list[bytes], cuts: list[int]
) -> None:
    """Guards against 431 for a header within the limit, by its cuts."""
    check_verdicts(earlier, b"".join(f + b"\r\n" for f in fields), cuts)


@pytest.mark.parametrize("earlier", EARLIER)
def test_counts_each_byte_once_at_any_cut(earlier: bytes) -> None:
    """Guards against a single cut, or one per byte, that changes the size."""
    fields = b"Host: a\r\npad:   c \r\n"
    size = len(earlier + REQUEST_LINE + fields) + 120
    for cut in range(size):
        check_verdicts(earlier, fields, [cut])
    check_verdicts(earlier, fields, list(range(size)))


@given(FIELDS, CUTS)
def test_serves_header_after_chunked_body(
    fields: list[bytes], cuts: list[int]
) -> None:
    """Guards against 431 for a header in one piece with an earlier body."""
    header = b"".join(field + b"\r\n" for field in fields)
    connection = Connection(max(len(header), 60))
    connection.receive(CHUNKED + REQUEST_LINE + header + b"\r\n", cuts)
    assert connection.read_status() == b""
    assert connection.requests == 2


@given(CUTS)
def test_bounds_request_line(cuts: list[int]) -> None:
    """Guards against a request line without end."""
    connection = Connection(100)
    connection.receive(b"GET /" + b"x" * 200, cuts)
    assert connection.read_status() == b"431"
    assert connection.requests == 0
