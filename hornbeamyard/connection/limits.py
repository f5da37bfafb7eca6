"""Limits on callers: connections, header size, slow headers, load."""

from __future__ import annotations

import asyncio
import resource
from http import HTTPStatus
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ..process.timers import Timers
from ..request.problem import Outcome, Problem

HEADER_SIZE = 64 * 1024
# Time within which the header of a request must be complete.
HEADER_TIMEOUT_S = 10.0
# Time within which the body of a request must be complete.
BODY_TIMEOUT_S = 60.0
# Bytes of bodies in memory at a time, of all requests together.
BODIES_SIZE = 1024 * 1024 * 1024
SWEEP_INTERVAL_S = 1.0
# File descriptors for everything but callers and upstreams.
RESERVED_FILES = 256
# A loop that is late by this much in this many samples in a row has more
# work than processor time. One late sample is common on a busy host.
LATE_S = 0.2
LATE_SAMPLES = 3
SAMPLE_INTERVAL_S = 0.05


class ConnectionLimits:
    """Limits of a server's connections.

    Parameters
    ----------
    connections : int
        Most open connections.
    timers : Timers
    """

    __slots__ = ("_open", "connections", "timers")

    def __init__(self, connections: int, timers: Timers) -> None:
        self.connections = connections
        self.timers = timers
        self._open: set[LimitedProtocol] = set()

    def add(self, protocol: LimitedProtocol) -> bool:
        """Count a connection; return whether it is within the limit."""
        if len(self._open) >= self.connections:
            return False
        self._open.add(protocol)
        return True

    def discard(self, protocol: LimitedProtocol) -> None:
        """Forget a connection that is closed."""
        self._open.discard(protocol)

    async def run(self) -> None:
        """Close connections with slow headers until cancelled."""
        async for now in self.timers.subscribe(SWEEP_INTERVAL_S):
            for protocol in list(self._open):
                protocol.check_header_time(now)


class LimitedProtocol(HttpToolsProtocol):
    """The server's side of one connection, with limits on the header."""

    limits: ConnectionLimits

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Start a connection, or refuse it beyond the limit."""
        super().connection_made(transport)
        self._header_size = 0
        self._too_large = False
        self._header_since: float | None = self.limits.timers.now()
        if not self.limits.add(self):
            reason = f"{self.limits.connections} connections are open"
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, reason)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget a connection."""
        self.limits.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take bytes, and refuse a header that is too large."""
        if self.transport.is_closing():
            return
        super().data_received(data)
        if self._header_since is None or self.transport.is_closing():
            return
        # A header that grows without end never reaches `on_header`.
        self._header_size += len(data)
        if self._header_size > HEADER_SIZE:
            self._too_large = True
            self.send_400_response("")

    def on_message_begin(self) -> None:
        """Begin a request."""
        super().on_message_begin()
        self._header_size = 0
        self._header_since = self.limits.timers.now()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._header_size += len(name) + len(value) + 4
        if self._header_size > HEADER_SIZE:
            self._too_large = True
            raise ValueError("the header is too large")
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Serve a request whose header is complete."""
        super().on_headers_complete()
        self._header_since = None

    def send_400_response(self, msg: str) -> None:
        """Answer what is not an acceptable header."""
        if self._too_large:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self.refuse(status, f"the header exceeds {HEADER_SIZE} bytes")
            return
        self.refuse(HTTPStatus.BAD_REQUEST, "the request is not valid HTTP")

    def check_header_time(self, now: float) -> None:
        """Close the connection when its header takes too long."""
        since = self._header_since
        if since is None or now - since < HEADER_TIMEOUT_S:
            return
        reason = f"no whole header came within {HEADER_TIMEOUT_S:g} s"
        self.refuse(HTTPStatus.REQUEST_TIMEOUT, reason)

    def refuse(self, status: HTTPStatus, reason: str) -> None:
        """Answer before there is a request, and close the connection."""
        self._header_since = None
        if self.cycle is not None and not self.cycle.response_complete:
            # An answer is under way; other bytes would corrupt it.
            self.transport.close()
            return
        self.transport.write(_build_answer(status, reason))
        self.transport.close()


class LoadGauge:
    """Tells whether the process has more work than processor time."""

    __slots__ = ("_late", "_timers")

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._late = 0

    def is_overloaded(self) -> bool:
        """Return whether new requests should be refused."""
        return self._late >= LATE_SAMPLES

    def note(self, lateness_s: float) -> None:
        """Take a sample of how late the event loop runs, in seconds."""
        self._late = self._late + 1 if lateness_s > LATE_S else 0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = self._timers.now() + SAMPLE_INTERVAL_S
            await self._timers.sleep(SAMPLE_INTERVAL_S)
            self.note(self._timers.now() - due)


def build_protocol(limits: ConnectionLimits) -> type[Any]:
    """Return the protocol class of a server with these limits."""
    return type("RouterProtocol", (LimitedProtocol,), {"limits": limits})


def fit_connections(connections: int) -> int:
    """Return how many callers' connections the process has files for.

    The soft limit of open files is raised to the hard one. Each request
    needs a second connection, to its upstream.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    if hard == resource.RLIM_INFINITY:
        return connections
    return max(1, min(connections, (hard - RESERVED_FILES) // 2))


def _build_answer(status: HTTPStatus, reason: str) -> bytes:
    retry = 1 if status is HTTPStatus.SERVICE_UNAVAILABLE else None
    problem = Problem(status, Outcome.NOT_RUN, reason, retry)
    body = problem.to_json()
    lines = [f"HTTP/1.1 {int(status)} {status.phrase}".encode()]
    lines += [b": ".join(header) for header in problem.list_headers()]
    lines += [
        b"content-length: " + str(len(body)).encode(),
        b"connection: close",
    ]
    return b"\r\n".join([*lines, b"", body])
