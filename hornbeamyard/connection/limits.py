"""Limits on callers: connections, size and time of headers, request rate."""

from __future__ import annotations

import asyncio
import json
import resource
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import anyio
import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ..process.timers import Timers
from ..request.problem import Outcome, Problem
from .buffers import ResponseBuffers
from .client import Headers

# Maximum size of a request's header, unless the routing sets one.
MAX_HEADER_BYTES = 64 * 1024
# Time within which the header of a request has to be complete.
HEADER_TIMEOUT_S = 10.0
# Time within which the body of a request has to be complete.
BODY_TIMEOUT_S = 60.0
# Buffered request bodies, of all requests together.
MAX_BUFFERED_BODY_BYTES = 1024 * 1024 * 1024
# Bytes that may wait for a caller without being counted.
MAX_UNCOUNTED_BYTES = 16 * 1024
# Interval at which connections are checked for headers that time out.
SWEEP_INTERVAL_S = 1.0
# File descriptors for anything but connections to callers and upstreams.
RESERVED_FILE_DESCRIPTORS = 256
# The process is overloaded when the event loop is late by more than this in
# this many samples in a row. Single late samples are common on a busy host.
LATENESS_THRESHOLD_S = 0.05
LATE_SAMPLES = 3
SAMPLE_INTERVAL_S = 0.05
# Weight of the newest sample in the moving average of the admitted rate.
RATE_SMOOTHING = 0.1
# Factors on the rate limit per sample. It decreases faster than it increases,
# because requests that are admitted too early delay all others.
FAST_DECREASE_FACTOR = 0.85
DECREASE_FACTOR = 0.96
INCREASE_FACTOR = 1.01
# Requests per second.
MIN_RATE_LIMIT = 5.0
# The rate limit is lifted after this many consecutive samples without
# lateness and refusals.
CALM_SAMPLES = 20
# Samples without any activity of a caller after which sampling pauses.
QUIET_SAMPLES = 20
# Size of the token bucket, as time at the rate limit.
BURST_S = 0.1
# Key of the ASGI scope's extensions for a target that ends with "?".
EMPTY_QUERY = "hornbeamyard.empty_query"
# Path prefixes of callers' requests; other paths are always served.
_LIMITED_PATHS = (b"/v1/", b"/services/")


class OverloadLimiter:
    """Limits the rate of requests to what the processor can serve.

    A late event loop shows that the process is overloaded. A token bucket
    then limits the rate of admitted requests, and its rate is adapted to the
    lateness. The number of requests in progress is no measure of load, as
    thousands of them may wait for slow upstreams at little cost.

    No samples are taken while no caller sends or waits for anything. They go
    on at the first byte, when the next one would have been taken.

    Attributes
    ----------
    is_busy : callable
        Returns whether a request is in progress.
    """

    __slots__ = (
        "_activity",
        "_admitted",
        "_admitted_rate",
        "_calm_samples",
        "_late_samples",
        "_lateness_s",
        "_quiet_samples",
        "_rate_limit",
        "_refused",
        "_timers",
        "_tokens",
        "is_busy",
    )

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        # Set by activity while sampling pauses.
        self._activity: anyio.Event | None = None
        self._quiet_samples = 0
        self.is_busy: Callable[[], bool] = _return_true
        self._admitted = 0
        self._calm_samples = 0
        self._late_samples = 0
        self._lateness_s = 0.0
        # Requests per second; None without overload.
        self._rate_limit: float | None = None
        self._admitted_rate = 0.0
        self._refused = 0
        self._tokens = 0.0

    def is_overloaded(self) -> bool:
        """Return whether the rate of requests is limited."""
        return self._rate_limit is not None

    def note_activity(self) -> None:
        """Take samples, as a caller has connected or sent something."""
        self._quiet_samples = 0
        if self._activity is not None:
            self._activity.set()

    def admit(self) -> bool:
        """Return whether a new request may be served, and count it."""
        self.note_activity()
        if self._rate_limit is not None:
            if self._tokens < 1.0:
                self._refused += 1
                return False
            self._tokens -= 1.0
        self._admitted += 1
        return True

    def add_sample(self, lateness_s: float, elapsed_s: float) -> None:
        """Adapt the rate limit to a sample of the event loop's lateness.

        Parameters
        ----------
        lateness_s, elapsed_s : float
            Lateness of the event loop, and time since the last sample, in
            seconds.
        """
        rate = self._admitted / elapsed_s
        self._admitted_rate += RATE_SMOOTHING * (rate - self._admitted_rate)
        is_late = lateness_s > LATENESS_THRESHOLD_S
        self._late_samples = self._late_samples + 1 if is_late else 0
        if self._rate_limit is not None:
            self._adjust(self._rate_limit, lateness_s)
        elif self._late_samples >= LATE_SAMPLES:
            self._rate_limit = max(
                self._admitted_rate * FAST_DECREASE_FACTOR, MIN_RATE_LIMIT
            )
            self._calm_samples = 0
        if self._rate_limit is not None:
            max_tokens = self._rate_limit * BURST_S + 1.0
            refill = self._rate_limit * elapsed_s
            self._tokens = min(self._tokens + refill, max_tokens)
        self._lateness_s = lateness_s
        self._admitted = self._refused = 0

    def _adjust(self, limit: float, lateness_s: float) -> None:
        is_decreasing = lateness_s < self._lateness_s
        if lateness_s <= LATENESS_THRESHOLD_S:
            factor = INCREASE_FACTOR
        elif is_decreasing:
            # The backlog of admitted requests shrinks at the current limit.
            factor = 1.0
        elif lateness_s > 2 * LATENESS_THRESHOLD_S:
            factor = FAST_DECREASE_FACTOR
        else:
            factor = DECREASE_FACTOR
        is_calm = factor == INCREASE_FACTOR and not self._refused
        self._calm_samples = self._calm_samples + 1 if is_calm else 0
        is_lifted = self._calm_samples >= CALM_SAMPLES
        self._rate_limit = (
            None if is_lifted else max(limit * factor, MIN_RATE_LIMIT)
        )

    async def run(self) -> None:
        """Sample the event loop's lateness until cancelled."""
        before = self._timers.now()
        while True:
            if self._is_quiet():
                before = await self._wait_activity(before)
            due = before + SAMPLE_INTERVAL_S
            await self._timers.sleep(due - self._timers.now())
            now = self._timers.now()
            self.add_sample(now - due, now - before)
            self._quiet_samples += 1
            before = now

    def _is_quiet(self) -> bool:
        if self._quiet_samples < QUIET_SAMPLES:
            return False
        if self._rate_limit is not None or self._late_samples:
            return False
        return not self.is_busy()

    async def _wait_activity(self, before: float) -> float:
        """Pause until there is activity.

        Parameters
        ----------
        before : float
            Time of the last sample, in seconds.

        Returns
        -------
        float
            When the last of the samples would have been taken that were left
            out, in seconds.
        """
        self._activity = anyio.Event()
        try:
            await self._activity.wait()
        finally:
            self._activity = None
        left_out = int((self._timers.now() - before) / SAMPLE_INTERVAL_S)
        self._admitted_rate *= (1.0 - RATE_SMOOTHING) ** left_out
        return before + left_out * SAMPLE_INTERVAL_S


class ConnectionLimits:
    """Limits of a server's connections.

    Parameters
    ----------
    max_connections : int
        Open connections at a time.
    overload_limiter : OverloadLimiter
    timers : Timers

    Attributes
    ----------
    header_size : int
        Maximum size of a header in bytes.
    header_timeout_s : float
        Time in seconds within which a header has to be complete.
    responds_to_silent_connections : bool
        Whether a connection without a single byte gets a response when its
        header times out, before it is closed.
    limited_paths : tuple of bytes
        Prefixes of the paths whose requests may be refused under overload.
    build_refusal : callable
        Called with the headers of a request that is refused under overload;
        returns the response, header and body.
    reject : callable
        Called with the path and the headers of every other request; returns
        the response if it is rejected for these, or None.
    buffers : ResponseBuffers
        Parts of responses that wait for their callers.
    """

    __slots__ = (
        "_open_connections",
        "buffers",
        "build_refusal",
        "header_size",
        "header_timeout_s",
        "limited_paths",
        "max_connections",
        "overload_limiter",
        "reject",
        "responds_to_silent_connections",
        "timers",
    )

    def __init__(
        self,
        max_connections: int,
        overload_limiter: OverloadLimiter,
        timers: Timers,
    ) -> None:
        self.max_connections = max_connections
        self.overload_limiter = overload_limiter
        self.timers = timers
        self.responds_to_silent_connections = True
        self.header_size = MAX_HEADER_BYTES
        self.header_timeout_s = HEADER_TIMEOUT_S
        self.limited_paths: tuple[bytes, ...] = _LIMITED_PATHS
        self.build_refusal: Callable[[Headers], bytes] = _build_refusal
        self.reject: Callable[[bytes, Headers], bytes | None] = _reject_none
        self.buffers = ResponseBuffers()
        self._open_connections: set[LimitedProtocol] = set()
        overload_limiter.is_busy = self.is_busy

    def is_busy(self) -> bool:
        """Return whether a request on any connection is in progress."""
        return any(p.is_in_progress() for p in self._open_connections)

    def add(self, protocol: LimitedProtocol) -> bool:
        """Add a connection; return False if it exceeds the limit."""
        if len(self._open_connections) >= self.max_connections:
            return False
        self._open_connections.add(protocol)
        return True

    def discard(self, protocol: LimitedProtocol) -> None:
        """Remove a closed connection."""
        self._open_connections.discard(protocol)

    async def run(self) -> None:
        """Close connections whose header times out, until cancelled."""
        async for now in self.timers.subscribe(SWEEP_INTERVAL_S):
            for protocol in list(self._open_connections):
                protocol.check_header_timeout(now)


class LimitedProtocol(HttpToolsProtocol):
    """The server side of one connection, with limits.

    The fields of a header count as they arrive, and the request line has the
    same limit. After a chunked body, whose end is known to the parser alone,
    fields in the same piece count without optional spaces.
    """

    limits: ConnectionLimits

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Start a connection, or refuse one that exceeds the limit."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(MAX_UNCOUNTED_BYTES)
        # The sent bytes that wait for the caller, while it reads slowly.
        self._unsent_size = 0
        # Bytes of the request line, and then of the fields.
        self._header_size = 0
        self._is_silent = True
        self._is_in_message = False
        self._is_in_body = False
        self._has_request_line = False
        # Bytes until the end of the body; None if only the parser knows it.
        self._body_left: int | None = None
        self._counts_fields = False
        self._is_header_too_large = False
        self._header_started_at: float | None = self.limits.timers.now()
        self.limits.overload_limiter.note_activity()
        if not self.limits.add(self):
            reason = (
                f"the limit of {self.limits.max_connections} open "
                "connections is reached"
            )
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, reason)

    def is_in_progress(self) -> bool:
        """Return whether a request is being received or served."""
        cycle = self.cycle
        is_served = cycle is not None and not cycle.response_complete
        return self._is_in_message or is_served

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove a closed connection."""
        self.limits.discard(self)
        self._set_unsent(0)
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Count what a slow caller hasn't read; nothing more is written."""
        super().pause_writing()
        self._set_unsent(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Write again, as the caller has read nearly everything."""
        self._set_unsent(0)
        super().resume_writing()

    def _set_unsent(self, size: int) -> None:
        self.limits.buffers.size += size - self._unsent_size
        self._unsent_size = size

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and refuse a header that is too large."""
        self._is_silent = False
        start = 0
        while start < len(data) and not self.transport.is_closing():
            parse = (
                self._parse_body if self._is_in_body else self._parse_header
            )
            start = parse(data, start)

    def _parse_body(self, data: bytes, start: int) -> int:
        """Parse a part of the body; return where it ends.

        What follows the body is included if the body's end isn't known.
        """
        end = len(data)
        if self._body_left:
            end = min(end, start + self._body_left)
            self._body_left -= end - start
        self._counts_fields = True
        super().data_received(data[start:end])
        self._counts_fields = False
        return end

    def _parse_header(self, data: bytes, start: int) -> int:
        """Parse a part of the header; return where it ends.

        The parser gets no byte after the header, nor beyond the limit, so
        the header's size doesn't depend on how its bytes arrive.
        """
        # The line end, or the empty line after the fields, doesn't count.
        max_size = self.limits.header_size + len(b"\r\n")
        if start and self._has_request_line:
            # A line of this header ends before `start`.
            found = data.find(b"\n\r\n", start - 1)
            part_end = len(data) if found < 0 else found + 3
        else:
            part_end = data.find(b"\n", start) + 1 or len(data)
        end = min(part_end, start + max_size - self._header_size)
        super().data_received(data[start:end])
        if not self._is_in_message or self._is_in_body:
            return end
        self._header_size += end - start
        if not self._has_request_line and data[end - 1 : end] == b"\n":
            self._has_request_line = True
            self._header_size = 0
        if self._header_size >= max_size and not self.transport.is_closing():
            self._is_header_too_large = True
            self.send_400_response("")
        return end

    def on_message_begin(self) -> None:
        """Handle the start of a request."""
        super().on_message_begin()
        self._header_size = 0
        self._is_in_message = True
        self._header_started_at = self.limits.timers.now()
        self.limits.overload_limiter.note_activity()

    def on_message_complete(self) -> None:
        """Handle the end of a request."""
        self._is_in_message = self._is_in_body = False
        self._has_request_line = False
        self._header_size = 0
        super().on_message_complete()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field, within the limit."""
        if self._counts_fields:
            self._has_request_line = True
            # The colon and the line end take three more bytes.
            self._header_size += len(name) + len(value) + 3
            if self._header_size > self.limits.header_size:
                self._is_header_too_large = True
                raise ValueError("the header is too large")
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Serve a request whose header is complete, or refuse it."""
        self._header_started_at = None
        self._is_in_body = True
        self._header_size = 0
        self._body_left = _find_body_size(self.headers)
        _, question_mark, query = self.url.partition(b"?")
        if question_mark and not query:
            # ASGI doesn't tell an empty query from none.
            self.scope["extensions"] = {EMPTY_QUERY: {}}
        cycle = self.cycle
        if (
            self.url.startswith(self.limits.limited_paths)
            and (cycle is None or cycle.response_complete)
            and not self.limits.overload_limiter.admit()
        ):
            # Refusing before the application runs costs a small part of a
            # request, so refusals take little time from served requests.
            self.cycle = _REFUSED_CYCLE  # type: ignore[assignment]
            self.transport.write(self.limits.build_refusal(self.headers))
            self.on_response_complete()
            return
        if self._reject(cycle):
            return
        super().on_headers_complete()

    def _reject(self, cycle: Any) -> bool:
        """Respond to a request that is rejected for what its header says.

        Other requests, and rejections after which the connection has to
        close, are left to the application.
        """
        parser = self.parser
        if (
            (cycle is not None and not cycle.response_complete)
            or parser.get_method() == b"HEAD"
            or parser.get_http_version() != "1.1"
            or parser.should_upgrade()
            or not parser.should_keep_alive()
        ):
            return False
        path = httptools.parse_url(self.url).path
        if path is None or not path.isascii():
            return False
        response = self.limits.reject(path, self.headers)
        if response is None:
            return False
        self.cycle = _REFUSED_CYCLE  # type: ignore[assignment]
        self.transport.write(response)
        self.on_response_complete()
        return True

    def send_400_response(self, msg: str) -> None:
        """Refuse a header that is invalid or too large."""
        if self._is_header_too_large:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            size = self.limits.header_size
            self.refuse(status, f"the header exceeds {size} bytes")
            return
        self.refuse(HTTPStatus.BAD_REQUEST, "the request is not valid HTTP")

    def check_header_timeout(self, now: float) -> None:
        """Refuse a request whose header takes too long."""
        since = self._header_started_at
        timeout_s = self.limits.header_timeout_s
        if since is None or now - since < timeout_s:
            return
        if self._is_silent and not self.limits.responds_to_silent_connections:
            self.transport.close()
            return
        reason = f"no complete header arrived within {timeout_s:g} s"
        self.refuse(HTTPStatus.REQUEST_TIMEOUT, reason)

    def refuse(self, status: HTTPStatus, reason: str) -> None:
        """Respond without serving a request, and close the connection."""
        self._header_started_at = None
        if self.cycle is not None and not self.cycle.response_complete:
            # Other bytes would corrupt the response in progress.
            self.transport.close()
            return
        self.transport.write(_build_response(status, reason))
        self.transport.close()


@dataclass(slots=True)
class _RefusedCycle:
    """Takes the place of a request cycle when a request is refused.

    uvicorn uses these attributes while the request's body arrives.
    """

    message_event: asyncio.Event = field(default_factory=asyncio.Event)
    response_complete: bool = True
    keep_alive: bool = True


_REFUSED_CYCLE = _RefusedCycle()


def _find_body_size(headers: Headers) -> int | None:
    """Return the size of a body that isn't chunked, which the parser checked.

    Returns
    -------
    int or None
        Bytes; None without a length.
    """
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None


def _reject_none(path: bytes, headers: Headers) -> bytes | None:
    return None


def _return_true() -> bool:
    return True


def build_protocol(limits: ConnectionLimits) -> type[Any]:
    """Return the protocol class for a server with these limits."""
    return type("RouterProtocol", (LimitedProtocol,), {"limits": limits})


def compute_connection_limit(max_connections: int) -> int:
    """Return how many callers' connections the process can open.

    Raises the soft limit of open files to the hard limit. Each caller's
    connection counts twice, as a request needs another one to its upstream.

    Parameters
    ----------
    max_connections : int
        Upper bound.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    if hard == resource.RLIM_INFINITY:
        return max_connections
    return max(
        1, min(max_connections, (hard - RESERVED_FILE_DESCRIPTORS) // 2)
    )


def _build_response(
    status: HTTPStatus, reason: str, close: bool = True
) -> bytes:
    retry = 1 if status is HTTPStatus.SERVICE_UNAVAILABLE else None
    problem = Problem(status, Outcome.NOT_RUN, reason, retry)
    body = problem.to_json()
    lines = [f"HTTP/1.1 {int(status)} {status.phrase}".encode()]
    lines += [b": ".join(header) for header in problem.list_headers()]
    lines.append(b"content-length: " + str(len(body)).encode())
    if close:
        lines.append(b"connection: close")
    return b"\r\n".join([*lines, b"", body])


_OVERLOADED = _build_response(
    HTTPStatus.SERVICE_UNAVAILABLE, "the router is overloaded", close=False
)


def _build_refusal(headers: Headers) -> bytes:
    return _OVERLOADED


def build_refusal(headers: Headers, reason: str) -> bytes:
    """Return a response with status 503 that keeps the connection open.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Additional headers of the response.
    reason : str

    Returns
    -------
    bytes
        Header and body.
    """
    body = json.dumps({"status": 503, "detail": reason}).encode()
    lines = [b"HTTP/1.1 503 Service Unavailable"]
    lines += [b": ".join(header) for header in headers]
    lines.append(b"content-type: application/problem+json")
    lines.append(b"content-length: " + str(len(body)).encode())
    return b"\r\n".join([*lines, b"", body])
