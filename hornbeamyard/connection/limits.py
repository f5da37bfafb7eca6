"""Limits on callers: connections, size and time of headers, request rate."""

from __future__ import annotations

import asyncio
import json
import resource
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import httptools
import logbook
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from ..process.memory_limits import return_unused_memory
from ..process.timers import Timers
from ..request.problem import Outcome, Problem
from .buffers import ResponseBuffers
from .overload import OverloadLimiter
from .request_memory import BODY_TIMEOUT_S as BODY_TIMEOUT_S
from .request_memory import RequestBytes, RequestMemory

if TYPE_CHECKING:
    # Controllers, whose servers have these limits too, have no client.
    from .client import Headers

# Maximum size of a request's header, unless the routing sets one.
MAX_HEADER_BYTES = 64 * 1024
# Time within which the header of a request has to be complete.
HEADER_TIMEOUT_S = 10.0
# Buffered request bodies, of all requests together.
MAX_BUFFERED_BODY_BYTES = 1024 * 1024 * 1024
# Bytes that may wait for a caller without being counted.
MAX_UNCOUNTED_BYTES = 16 * 1024
# Interval at which connections are checked for headers that time out.
SWEEP_INTERVAL_S = 1.0
# File descriptors for anything but connections to callers and upstreams.
RESERVED_FILE_DESCRIPTORS = 256
# Key of the ASGI scope's extensions for a target that ends with "?".
EMPTY_QUERY = "hornbeamyard.empty_query"
# Bytes of a chunked body that are parsed in one turn of the event loop, first
# and at most. Each chunk costs an event, so the number of bytes is adapted to
# the number of chunks in them.
FIRST_SLICE_BYTES = 4 * 1024
MAX_SLICE_BYTES = 64 * 1024
MIN_SLICE_BYTES = 1024
# Chunks in one turn above which the next one parses fewer bytes.
MAX_CHUNKS_PER_TURN = 512
# Requests of one connection that are parsed in one turn.
MAX_REQUESTS_PER_TURN = 16
# Requests that may be queued behind one whose response is in progress. They
# can only follow a chunked body, whose end is known to the parser alone.
MAX_PIPELINED = 16
# Unparsed bytes above which a connection isn't read. Below it is, so that its
# end is noticed.
MAX_UNPARSED_BYTES = 64 * 1024
# Time and bytes for which a connection stays open after a body was refused.
# If it were closed with unread bytes, the system would drop the response.
LINGER_S = 2.0
LINGER_BYTES = 8 * 1024 * 1024
# Unused memory is returned to the system when the bytes held for requests
# have fallen from at least this size to a fraction of it, at most this often.
RETURN_BYTES = 16 * 1024 * 1024
RETURN_FRACTION = 0.25
RETURN_INTERVAL_S = 10.0
# Interval of log lines about refusals.
LOG_INTERVAL_S = 10.0
# Key of the ASGI scope's extensions for the account of the body.
_REQUEST_BYTES = "hornbeamyard.request_bytes"
# Path prefixes of callers' requests; other paths are always served.
_LIMITED_PATHS = (b"/v1/", b"/services/")


_log = logbook.Logger("limits")


class Refusals:
    """Counts refused bodies and connections, and logs them now and then.

    Attributes
    ----------
    counts : Counter of str
        By reason.
    """

    __slots__ = ("_logged_at", "_since_log", "counts")

    def __init__(self) -> None:
        self._logged_at = -LOG_INTERVAL_S
        self._since_log = 0
        self.counts: Counter[str] = Counter()

    def record(self, reason: str, address: str, now: float) -> None:
        """Record a refusal.

        Parameters
        ----------
        reason : str
            One of a few words for the metrics.
        address : str
            Where the connection comes from.
        now : float
            Monotonic time in seconds.
        """
        self.counts[reason] += 1
        self._since_log += 1
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        _log.warning(
            "refused requests that exceed a limit number={} reason={} "
            "address={}",
            self._since_log,
            reason,
            address,
        )
        self._logged_at = now
        self._since_log = 0


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
    body_size : float
        Maximum size of a body in bytes.
    build_rejection : callable
        Called with the headers of a request whose body is refused, the status
        and the reason; returns the response, header and body.
    memory : RequestMemory
        The account of the bytes that are held for requests.
    refusals : Refusals
    """

    __slots__ = (
        "_open_connections",
        "body_size",
        "buffers",
        "build_refusal",
        "build_rejection",
        "header_size",
        "header_timeout_s",
        "limited_paths",
        "max_connections",
        "memory",
        "overload_limiter",
        "refusals",
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
        self.body_size = float("inf")
        self.build_rejection: Callable[[Headers, HTTPStatus, str], bytes] = (
            _build_rejection
        )
        self.memory = RequestMemory()
        self.refusals = Refusals()
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

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._open_connections)

    def discard(self, protocol: LimitedProtocol) -> None:
        """Remove a closed connection."""
        self._open_connections.discard(protocol)

    async def run(self) -> None:
        """Close connections that take too long, until cancelled."""
        returned_at = self.timers.now()
        async for now in self.timers.subscribe(SWEEP_INTERVAL_S):
            memory = self.memory
            if (
                memory.peak >= RETURN_BYTES
                and memory.size <= memory.peak * RETURN_FRACTION
                and now - returned_at >= RETURN_INTERVAL_S
            ):
                returned_at = now
                memory.peak = memory.size
                return_unused_memory()
            for protocol in list(self._open_connections):
                protocol.check_header_timeout(now)
                protocol.check_body_timeout(now)


class _RequestFlow(FlowControl):
    """Flow control that also stops reading while bytes wait to be parsed."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self._is_held = False

    def hold(self) -> None:
        """Read nothing until `release`."""
        if not self._is_held and not self.read_paused:
            self._transport.pause_reading()
        self._is_held = True

    def release(self) -> None:
        """Read again."""
        if self._is_held and not self.read_paused:
            self._transport.resume_reading()
        self._is_held = False

    def pause_reading(self) -> None:
        """Read nothing until `resume_reading`."""
        if not self._is_held:
            super().pause_reading()
        self.read_paused = True

    def resume_reading(self) -> None:
        """Read again, unless bytes wait to be parsed."""
        if not self._is_held:
            super().resume_reading()
        self.read_paused = False


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
        self.flow: _RequestFlow = _RequestFlow(transport)
        self._address = self.client[0] if self.client else ""
        # The account of the body that arrives.
        self._body: RequestBytes | None = None
        self._body_size = 0
        # When a connection whose body was refused is closed; None before.
        self._closes_at: float | None = None
        self._discarded_size = 0
        # Chunks, and requests, that were parsed in this turn.
        self._chunks = 0
        self._requests = 0
        self._slice_size = FIRST_SLICE_BYTES
        # Bytes that wait for the next turn, or for the response to an earlier
        # request, and their account.
        self._unparsed = b""
        self._unparsed_account: RequestBytes | None = None
        self._is_scheduled = False
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
        self._set_unparsed(b"")
        self._drop_body()
        for cycle, _ in self.pipeline:
            account = _find_account(cycle)
            if account is not None:
                account.release()
            cycle.body = bytearray()
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
        """Parse bytes, and refuse a request that exceeds a limit."""
        self._is_silent = False
        if self._closes_at is not None:
            self._discarded_size += len(data)
            if self._discarded_size > LINGER_BYTES:
                self.flow.hold()
            return
        if self._unparsed:
            self._keep(self._unparsed + data)
            return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Parse bytes, as many as one turn of the event loop may."""
        start = 0
        self._requests = 0
        is_turn_over = False
        while start < len(data) and not self._is_ended():
            if not self._is_in_message:
                if self._has_response_in_progress():
                    # Some callers send a line end after a body.
                    if not data[start:].strip(b"\r\n"):
                        start = len(data)
                    break
                if self._requests >= MAX_REQUESTS_PER_TURN:
                    is_turn_over = True
                    break
            is_chunked = self._is_in_body and self._body_left is None
            parse = (
                self._parse_body if self._is_in_body else self._parse_header
            )
            start = parse(data, start)
            if is_chunked:
                is_turn_over = True
                break
        if self._is_ended():
            self._set_unparsed(b"")
            return
        self._keep(data[start:])
        if self._unparsed and is_turn_over:
            self._schedule()

    def _is_ended(self) -> bool:
        """Return whether no more bytes are parsed."""
        return self._closes_at is not None or self.transport.is_closing()

    def _has_response_in_progress(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _schedule(self) -> None:
        """Parse the next bytes in the next turn of the event loop."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self.loop.call_soon(self._parse_rest)

    def _parse_rest(self) -> None:
        self._is_scheduled = False
        if self._is_ended() or self.parser is None:
            return
        data = self._unparsed
        self._unparsed = b""
        self._parse(data)

    def _keep(self, data: bytes) -> None:
        """Keep bytes for a later turn."""
        if not self._set_unparsed(data):
            self._reject("memory", "too many bytes of requests are in memory")
            return
        if len(data) > MAX_UNPARSED_BYTES:
            self.flow.hold()
        else:
            self.flow.release()

    def _set_unparsed(self, data: bytes) -> bool:
        """Keep bytes, and count them; return False without room."""
        self._unparsed = data
        account = self._unparsed_account
        if not data:
            if account is not None:
                account.release()
                self._unparsed_account = None
            return True
        now = self.limits.timers.now()
        if account is None:
            account = self.limits.memory.open(self._address, now, self._evict)
            self._unparsed_account = account
        account.sibling = self._body
        if self._body is not None:
            self._body.sibling = account
        return account.resize(len(data), now)

    def _parse_body(self, data: bytes, start: int) -> int:
        """Parse a part of the body; return where it ends.

        What follows the body is included if the body's end isn't known.
        """
        end = len(data)
        if self._body_left is None:
            end = min(end, start + self._slice_size)
        elif self._body_left:
            end = min(end, start + self._body_left)
            self._body_left -= end - start
        self._chunks = 0
        self._counts_fields = True
        super().data_received(data[start:end])
        self._counts_fields = False
        if self._chunks > MAX_CHUNKS_PER_TURN:
            self._slice_size = max(MIN_SLICE_BYTES, self._slice_size // 2)
        elif self._chunks <= MAX_CHUNKS_PER_TURN // 4:
            self._slice_size = min(MAX_SLICE_BYTES, self._slice_size * 2)
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
        if self._closes_at is not None or len(self.pipeline) >= MAX_PIPELINED:
            raise ValueError("too many requests wait for their responses")
        self._requests += 1
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
        if self._body is not None:
            self._body.complete()
            self._body = None
        if self._closes_at is None:
            super().on_message_complete()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body, within the limits.

        The application gets the whole body at once.
        """
        self._chunks += 1
        if self._closes_at is not None:
            return
        self._body_size += len(body)
        if self._body_size > self.limits.body_size:
            self._reject_size()
            return
        if self._body is None:
            return
        now = self.limits.timers.now()
        if self.cycle.response_complete:
            self._body.record_progress(len(body), now)
            return
        if not self._body.add(len(body), now):
            self._reject("memory", "too many bytes of requests are in memory")
            return
        self.cycle.body += body

    def on_response_complete(self) -> None:
        """Parse what has arrived after the request."""
        super().on_response_complete()
        if self._unparsed:
            self._schedule()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        """Serve a request; its body is held until that ends."""
        account = _find_account(cycle)
        if account is None:
            super()._start_asgi_task(cycle, app)
            return

        async def serve(scope: Any, receive: Any, send: Any) -> None:
            try:
                await app(scope, receive, send)
            finally:
                account.release()

        super()._start_asgi_task(cycle, serve)

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
        self._body_size = 0
        self._slice_size = FIRST_SLICE_BYTES
        if (self._body_left or 0) > self.limits.body_size:
            self._reject_size()
            return
        extensions: dict[str, Any] = {}
        if self._body_left or (self._body_left is None and self._is_chunked()):
            self._body = self.limits.memory.open(
                self._address,
                self.limits.timers.now(),
                self._evict,
                self._body_left or 0,
            )
            extensions[_REQUEST_BYTES] = self._body
        _, question_mark, query = self.url.partition(b"?")
        if question_mark and not query:
            # ASGI doesn't tell an empty query from none.
            extensions[EMPTY_QUERY] = {}
        if extensions:
            self.scope["extensions"] = extensions
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
        if self._reject_early(cycle):
            return
        super().on_headers_complete()

    def _reject_early(self, cycle: Any) -> bool:
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

    def check_body_timeout(self, now: float) -> None:
        """Refuse a body that takes too long; close refused connections."""
        if self._closes_at is not None:
            if now >= self._closes_at:
                self.transport.close()
            return
        if self._body is None or not self._body.is_late(now):
            return
        memory = self.limits.memory
        self._reject(
            "slow",
            f"less than {memory.body_rate * memory.body_timeout_s:g} bytes of "
            f"the body arrived within {memory.body_timeout_s:g} s",
            HTTPStatus.REQUEST_TIMEOUT,
        )

    def _is_chunked(self) -> bool:
        return any(name == b"transfer-encoding" for name, _ in self.headers)

    def _reject_size(self) -> None:
        self._reject(
            "size",
            f"the body exceeds {self.limits.body_size:g} bytes",
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        )

    def _evict(self) -> None:
        """Give the room for a request that makes no progress to others."""
        self._reject(
            "stalled", "its memory was needed for requests that make progress"
        )

    def _reject(
        self,
        cause: str,
        reason: str,
        status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE,
    ) -> None:
        """Refuse a request whose body isn't complete, so that it never runs.

        The connection is closed once the caller could read the response.

        Parameters
        ----------
        cause : str
            For the metrics.
        reason : str
            For the caller.
        status : HTTPStatus, optional
        """
        if self._is_ended():
            return
        now = self.limits.timers.now()
        self.limits.refusals.record(cause, self._address, now)
        self._header_started_at = None
        cycle = self.cycle
        is_served = self._body is not None
        is_answered = cycle is None or cycle.response_complete
        may_answer = is_answered
        if is_served:
            # The rest of a body may arrive after the response.
            may_answer = not (
                is_answered or cycle.response_started or self.pipeline
            )
        headers = self.headers if self._is_in_message else []
        self._set_unparsed(b"")
        self._drop_body()
        if not may_answer:
            # Other bytes would corrupt a response.
            self.transport.close()
            return
        self.transport.write(
            self.limits.build_rejection(headers, status, reason)
        )
        if is_served:
            cycle.disconnected = True
            cycle.message_event.set()
        self._closes_at = now + LINGER_S
        self._unset_keepalive_if_required()
        self.flow.release()
        self.flow.resume_reading()
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def _drop_body(self) -> None:
        """Release the bytes of a body that will never be complete."""
        if self._body is None:
            return
        self._body.release()
        self._body = None
        if not self.cycle.response_complete:
            # The connection and its request refer to each other, so the
            # bytes would stay until the next collection of garbage.
            self.cycle.body = bytearray()

    def refuse(self, status: HTTPStatus, reason: str) -> None:
        """Respond without serving a request, and close the connection."""
        if self._closes_at is not None:
            return
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


def _find_account(cycle: RequestResponseCycle) -> RequestBytes | None:
    """Return the account of a request's body; None without a body."""
    extensions: Any = cycle.scope.get("extensions") or {}
    account: RequestBytes | None = extensions.get(_REQUEST_BYTES)
    return account


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


def _build_rejection(
    headers: Headers, status: HTTPStatus, reason: str
) -> bytes:
    return _build_response(status, reason)


_OVERLOADED = _build_response(
    HTTPStatus.SERVICE_UNAVAILABLE, "the router is overloaded", close=False
)


def _build_refusal(headers: Headers) -> bytes:
    return _OVERLOADED


def build_refusal(
    headers: Headers,
    reason: str,
    status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE,
) -> bytes:
    """Return a response that keeps the connection open, by default 503.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Additional headers of the response.
    reason : str
    status : HTTPStatus, optional

    Returns
    -------
    bytes
        Header and body.
    """
    body = json.dumps({"status": int(status), "detail": reason}).encode()
    lines = [f"HTTP/1.1 {int(status)} {status.phrase}".encode()]
    lines += [b": ".join(header) for header in headers]
    lines.append(b"content-type: application/problem+json")
    lines.append(b"content-length: " + str(len(body)).encode())
    return b"\r\n".join([*lines, b"", body])
