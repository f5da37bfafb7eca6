"""One attempt at an upstream: send the request, stream the response."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from ..connection.client import BrokenConnectionError, Response
from ..connection.liveness import LivenessChecker
from ..connection.upstreams import CONNECTION_ERRORS, UpstreamConnections
from .events import EventReader
from .message_fields import HOP_BY_HOP_HEADERS, is_encoded
from .outcome import NOT_RUN_STATUSES, AttemptFailure, Stage
from .problem import Send

NOT_RUN_HEADER = b"hornbeamyard-not-run"
REQUEST_HEADER = b"hornbeamyard-request"
ATTEMPT_HEADER = b"hornbeamyard-attempt"
# Largest response body that a claim keeps.
MAX_RECORDED_BYTES = 64 * 1024

_id_prefix = f"{random.getrandbits(48):012x}"
_id_numbers = itertools.count(1)

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class UpstreamRequest:
    """A request as it is sent to an upstream.

    Attributes
    ----------
    method : str
    target : bytes
        Path and query.
    headers : list of (bytes, bytes)
    body : bytes
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes


@dataclass(slots=True)
class ResponseRecorder:
    """Collects a response, so that its claim can replay it.

    A claim keeps the content type but no other header, so an encoded response
    can't be replayed.
    """

    status: int = 0
    content_type: str = ""
    encoded: bool = False
    chunks: list[bytes] = field(default_factory=list)
    size: int = 0

    def add(self, chunk: bytes) -> None:
        """Add a chunk; chunks beyond `MAX_RECORDED_BYTES` are dropped."""
        self.size += len(chunk)
        if self.size <= MAX_RECORDED_BYTES:
            self.chunks.append(chunk)

    def is_truncated(self) -> bool:
        """Return whether the response is encoded or not fully recorded."""
        return self.encoded or self.size > MAX_RECORDED_BYTES


class Exchange:
    """One attempt to get a response to a request from an upstream.

    Parameters
    ----------
    request : UpstreamRequest
    address : str
        `http://ip:port` of the upstream.
    upstreams : UpstreamConnections
    liveness : LivenessChecker
    on_first_byte : callable
        Called when the response begins; returns headers to add to it.
    recorder : ResponseRecorder, optional
    may_send : callable, optional
        Called once the connection is open; returns whether the request may
        still be sent. It may always be without it.

    Attributes
    ----------
    attempt_id : str
        Id of the attempt, which is sent to the upstream.
    events : EventReader
        Reader of a response that consists of server-sent events.
    is_event_stream : bool
        Whether the response consists of server-sent events that can be read.
    progress : int
        Grows with each chunk that arrives or is taken by the caller.
    stage : Stage
    status : int
        Status of the response; 0 before its head.
    waits_for_caller : bool
        Whether the caller, not the upstream, delays the exchange.
    """

    __slots__ = (
        "_drop_failure",
        "_liveness",
        "_may_send",
        "_on_first_byte",
        "_recorder",
        "_request",
        "_scope",
        "_upstreams",
        "address",
        "attempt_id",
        "events",
        "is_event_stream",
        "progress",
        "stage",
        "status",
        "waits_for_caller",
    )

    def __init__(
        self,
        request: UpstreamRequest,
        address: str,
        upstreams: UpstreamConnections,
        liveness: LivenessChecker,
        on_first_byte: Callable[[], Headers],
        recorder: ResponseRecorder | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> None:
        self._may_send = may_send
        self._request = request
        self._upstreams = upstreams
        self._liveness = liveness
        self._on_first_byte = on_first_byte
        self._recorder = recorder
        self._scope = anyio.CancelScope()
        self._drop_failure: AttemptFailure | None = None
        self.address = address
        self.attempt_id = f"{_id_prefix}-{next(_id_numbers):x}"
        self.events = EventReader()
        self.is_event_stream = False
        self.progress = 0
        self.stage = Stage.CONNECTING
        self.status = 0
        self.waits_for_caller = False

    def drop(self, reason: str, by_upstream: bool = True) -> None:
        """End the exchange; `run` returns a failure with this reason."""
        if self._drop_failure is None:
            self._drop_failure = AttemptFailure(
                self.stage, reason, by_upstream=by_upstream
            )
            self._scope.cancel()

    async def run(self, send: Send) -> AttemptFailure | None:
        """Run the exchange; return why it failed, or None.

        Nothing is sent to the caller before the first byte of the response
        body, so that an earlier failure can be retried or reported with an
        error response. Cancelling closes the connection to the upstream.
        """
        failure: AttemptFailure | None = None
        with self._scope:
            failure = await self._run(send)
        if self._scope.cancelled_caught:
            assert self._drop_failure is not None
            self._drop_failure.stage = self.stage
            return self._drop_failure
        return failure

    async def _run(self, send: Send) -> AttemptFailure | None:
        try:
            connection = await self._upstreams.connect(self.address)
        except CONNECTION_ERRORS as error:
            return AttemptFailure(
                self.stage, f"no connection: {_describe(error)}"
            )
        if self._may_send is not None and not self._may_send():
            await self._upstreams.release(self.address, connection, True)
            reason = "the request must not be sent any more"
            return AttemptFailure(self.stage, reason, by_upstream=False)
        is_complete = False
        self._liveness.add(self)
        try:
            # From here on, bytes may have reached the upstream.
            self.stage = Stage.SENT
            request = self._request
            response = await connection.request(
                request.method,
                request.target,
                self._build_headers(),
                request.body,
            )
            self.progress += 1
            self.status = response.status
            failure = self._check_response(response)
            if failure is None:
                await self._forward(response, send)
                # A late copy of a response without an id would be taken for
                # the response to the next request.
                is_complete = (
                    connection.names_requests
                    or response.status not in NOT_RUN_STATUSES
                )
            return failure
        except CONNECTION_ERRORS as error:
            return AttemptFailure(self.stage, _describe(error))
        finally:
            self._liveness.remove(self)
            await self._upstreams.release(
                self.address, connection, is_complete
            )

    def _build_headers(self) -> Headers:
        request = self._request
        host = self.address.removeprefix("http://").encode()
        headers = [
            (b"host", host),
            *request.headers,
            (REQUEST_HEADER, self.attempt_id.encode()),
        ]
        if request.body or request.method not in ("GET", "HEAD"):
            length = str(len(request.body)).encode()
            headers.append((b"content-length", length))
        return headers

    def _check_response(self, response: Response) -> AttemptFailure | None:
        headers = dict(response.headers)
        status = response.status
        named_id = headers.get(REQUEST_HEADER, b"").decode("latin-1")
        mismatch = response.find_mismatch(self.attempt_id, named_id)
        if mismatch:
            return AttemptFailure(self.stage, mismatch)
        if (
            status == 503
            and headers.get(NOT_RUN_HEADER, b"").lower() == b"true"
        ):
            return AttemptFailure(
                self.stage, "the upstream refused the request", refused=True
            )
        if status < 200:
            return AttemptFailure(self.stage, f"unexpected status {status}")
        is_delimited = (
            b"content-length" in headers or b"transfer-encoding" in headers
        )
        has_body = self._request.method != "HEAD" and status not in (204, 304)
        if has_body and not is_delimited:
            # The end of the connection ends such a response, so that a
            # truncated one looks complete.
            return AttemptFailure(
                self.stage,
                "the response has neither a length nor chunked encoding",
            )
        content_type = headers.get(b"content-type", b"")
        has_encoding = is_encoded(response.headers)
        self.is_event_stream = (
            content_type.startswith(b"text/event-stream")
            and b"transfer-encoding" in headers
            and not has_encoding
        )
        if self._recorder is not None:
            self._recorder.status = status
            self._recorder.content_type = content_type.decode("latin-1")
            self._recorder.encoded = has_encoding
        return None

    async def _forward(self, response: Response, send: Send) -> None:
        recorder = self._recorder
        started = False
        async for chunk in response.iter_chunks():
            if not started:
                started = True
                await self._send_head(response, send)
            if recorder is not None:
                recorder.add(chunk)
            if self.is_event_stream:
                self.events.feed(chunk)
            self.progress += 1
            self.waits_for_caller = True
            await send(
                {
                    "type": "http.response.body",
                    "body": chunk,
                    "more_body": True,
                }
            )
            self.waits_for_caller = False
            self.progress += 1
        if self.is_event_stream and self.events.is_inside_event():
            raise BrokenConnectionError("the last event is incomplete")
        if not started:
            await self._send_head(response, send)
        self.stage = Stage.RESPONDED
        await send({"type": "http.response.body", "body": b""})

    async def _send_head(self, response: Response, send: Send) -> None:
        self.stage = Stage.RESPONDING
        extra_headers = self._on_first_byte()
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": _filter_response_headers(response) + extra_headers,
            }
        )


def _filter_response_headers(response: Response) -> Headers:
    headers = response.headers
    # The caller doesn't know the id of the attempt.
    dropped = {*HOP_BY_HOP_HEADERS, REQUEST_HEADER}
    names = {name for name, _ in headers}
    if b"transfer-encoding" in names or response.status in (204, 304):
        dropped.add(b"content-length")
    return [pair for pair in headers if pair[0] not in dropped]


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
