"""One attempt of a routed request at one upstream."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import Protocol

from ..connection.client import Framing, Response
from ..connection.upstreams import CONNECTION_ERRORS, UpstreamConnections
from .events import EventOrderError, EventReader
from .headers import HeaderCodec, Headers, ResponseMetadata
from .message_fields import HOP_BY_HOP_HEADERS, is_encoded
from .problem import send_response

# Responses up to this size are buffered until they are complete, so that the
# request can be retried if one breaks off.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
# Headers that concern a single connection (RFC 9110, 7.6.1). Those of proxy
# authentication are not among them and are forwarded.
CONNECTION_HEADERS = HOP_BY_HOP_HEADERS - {
    b"proxy-authenticate",
    b"proxy-authorization",
}


class AttemptOutcome(Enum):
    """How an attempt has ended."""

    COMPLETED = "done"
    # No byte has reached the upstream.
    NOT_SENT = "not sent"
    # The upstream stopped taking requests before a byte was sent.
    WITHDRAWN = "withdrawn"
    # The upstream reported that the request has not run and will not run.
    NOT_RUN = "not run"
    # A complete response whose status is not 2xx.
    ERROR_RESPONSE = "answered"
    # The connection failed or the response is invalid; the request may have
    # run.
    BROKEN = "broken"


@dataclass(slots=True)
class BufferedResponse:
    """A complete response in memory."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(slots=True)
class AttemptResult:
    """How an attempt has ended.

    Attributes
    ----------
    outcome : AttemptOutcome
    reason : str
    response : BufferedResponse or None
        The upstream's response if the outcome is `ERROR_RESPONSE` or
        `NOT_RUN`.
    wrong_upstream : bool
        Whether the address now belongs to another upstream.
    """

    outcome: AttemptOutcome
    reason: str = ""
    response: BufferedResponse | None = None
    wrong_upstream: bool = False


@dataclass(slots=True)
class Progress:
    """How much of the response the caller has got, over all attempts.

    Attributes
    ----------
    started : bool
        Whether the head of the response was sent.
    events : EventReader
        Reader of a streamed response.
    """

    started: bool = False
    events: EventReader = field(default_factory=EventReader)


@dataclass(slots=True)
class RelayRequest:
    """A routed request as it is sent to an upstream.

    Attributes
    ----------
    method : str
    target : bytes
    headers : list of (bytes, bytes)
    body : bytes
    request_id : str
    last_event_id : str
        Event after which the response continues a stream; empty if it begins
        one.
    """

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    request_id: str
    last_event_id: str = ""


class RelayObserver(Protocol):
    """What an attempt tells and asks while it runs."""

    def may_send(self) -> bool:
        """Return whether the upstream still takes requests.

        Asked when the connection is open, just before the request is sent.
        """

    def record_head(
        self, metadata: ResponseMetadata, framing: Framing
    ) -> None:
        """Handle the header of any response, also one that is discarded."""

    def record_chunk(self) -> None:
        """Handle a chunk of the body of a successful response."""

    def record_begun(self) -> None:
        """Handle the start of a response that is forwarded as it arrives.

        Called before the first byte is sent to the caller.
        """


class Relay:
    """Sends a request to an upstream and forwards the response.

    Parameters
    ----------
    request : RelayRequest
    address : str
        IP address and port of the upstream.
    upstreams : UpstreamConnections
    header_codec : HeaderCodec
    progress : Progress
    resumable : bool
        Whether another upstream may continue a stream, so that only complete
        events are forwarded.
    observer : RelayObserver

    Attributes
    ----------
    sent : bool
        Whether bytes may have reached the upstream.
    """

    __slots__ = (
        "_address",
        "_header_codec",
        "_observer",
        "_progress",
        "_request",
        "_resumable",
        "_upstreams",
        "sent",
    )

    def __init__(
        self,
        request: RelayRequest,
        address: str,
        upstreams: UpstreamConnections,
        header_codec: HeaderCodec,
        progress: Progress,
        resumable: bool,
        observer: RelayObserver,
    ) -> None:
        self._address = f"http://{address}"
        self._header_codec = header_codec
        self._observer = observer
        self._progress = progress
        self._request = request
        self._resumable = resumable
        self._upstreams = upstreams
        self.sent = False

    async def run(self, send: Callable[..., Awaitable[None]]) -> AttemptResult:
        """Run the attempt; cancelling closes the upstream connection."""
        try:
            connection = await self._upstreams.connect(self._address)
        except CONNECTION_ERRORS as error:
            return AttemptResult(AttemptOutcome.NOT_SENT, _describe(error))
        if not self._observer.may_send():
            await self._upstreams.release(self._address, connection, True)
            return AttemptResult(
                AttemptOutcome.WITHDRAWN, "the upstream takes no requests now"
            )
        is_complete = False
        try:
            # From here on, bytes may have reached the upstream.
            self.sent = True
            request = self._request
            response = await connection.request(
                request.method,
                request.target,
                self._build_headers(),
                request.body,
            )
            result = await self._handle_response(response, send)
            # A late copy of a response without an id would be taken for the
            # response to the next request.
            is_complete = (
                result.outcome is not AttemptOutcome.BROKEN
                and connection.names_requests
            )
            return result
        except CONNECTION_ERRORS as error:
            return AttemptResult(AttemptOutcome.BROKEN, _describe(error))
        finally:
            await self._upstreams.release(
                self._address, connection, is_complete
            )

    def _build_headers(self) -> list[tuple[bytes, bytes]]:
        request = self._request
        headers = list(request.headers)
        if request.body or request.method not in ("GET", "HEAD"):
            length = str(len(request.body)).encode()
            headers.append((b"content-length", length))
        return headers

    async def _handle_response(
        self,
        response: Response,
        send: Callable[..., Awaitable[None]],
    ) -> AttemptResult:
        headers = response.headers
        metadata = self._header_codec.read_response(response.status, headers)
        self._observer.record_head(metadata, response.framing)
        mismatch = response.find_mismatch(
            self._request.request_id, metadata.request_id
        )
        if mismatch:
            return AttemptResult(AttemptOutcome.BROKEN, mismatch)
        if metadata.wrong_upstream or metadata.not_run:
            buffered_response = await self._read_response(response, headers)
            return AttemptResult(
                AttemptOutcome.NOT_RUN,
                f"refused with status {response.status}",
                buffered_response,
                metadata.wrong_upstream,
            )
        if not 200 <= response.status < 300:
            buffered_response = await self._read_response(response, headers)
            return AttemptResult(
                AttemptOutcome.ERROR_RESPONSE,
                f"status {response.status}",
                buffered_response,
            )
        if not metadata.signed or not metadata.request_id:
            return AttemptResult(
                AttemptOutcome.BROKEN, "successful response without signature"
            )
        return await self._forward(response, headers, send)

    async def _read_response(
        self, response: Response, headers: Headers
    ) -> BufferedResponse:
        body = await response.read(MAX_BUFFERED_RESPONSE_BYTES)
        return BufferedResponse(
            response.status, remove_connection_headers(headers), body
        )

    async def _forward(
        self,
        response: Response,
        headers: Headers,
        send: Callable[..., Awaitable[None]],
    ) -> AttemptResult:
        forwarded_headers = remove_connection_headers(headers)
        content_types = [v for n, v in headers if n == b"content-type"]
        is_stream = bool(content_types) and content_types[0].startswith(
            b"text/event-stream"
        )
        is_plain_stream = (
            is_stream
            and not is_encoded(response.headers)
            and response.status == HTTPStatus.OK
        )
        if self._request.last_event_id and not is_plain_stream:
            return AttemptResult(
                AttemptOutcome.BROKEN,
                "expected an event stream to continue the response",
            )
        if is_stream:
            return await self._forward_stream(
                response, forwarded_headers, send
            )
        return await self._forward_body(response, forwarded_headers, send)

    async def _forward_body(
        self,
        response: Response,
        headers: list[tuple[bytes, bytes]],
        send: Callable[..., Awaitable[None]],
    ) -> AttemptResult:
        """Forward a body; buffer it until it is complete or too large."""
        buffered: deque[bytes] = deque()
        buffers = self._upstreams.buffers
        size = 0
        try:
            async for chunk in response.iter_chunks():
                self._observer.record_chunk()
                if self._progress.started:
                    await _send_body(send, chunk)
                    continue
                buffered.append(chunk)
                size += len(chunk)
                buffers.size += len(chunk)
                if size <= MAX_BUFFERED_RESPONSE_BYTES and not (
                    buffers.are_full()
                ):
                    continue
                await self._send_head(response.status, headers, send)
                # A slow caller holds only what it hasn't been sent yet.
                while buffered:
                    part = buffered.popleft()
                    size -= len(part)
                    buffers.size -= len(part)
                    await _send_body(send, part)
        finally:
            buffers.size -= size
        if self._progress.started:
            await _send_body(send, b"", more=False)
            return AttemptResult(AttemptOutcome.COMPLETED)
        body = b"".join(buffered)
        buffered.clear()
        self._progress.started = True
        await send_buffered_response(
            send, BufferedResponse(response.status, headers, body)
        )
        return AttemptResult(AttemptOutcome.COMPLETED)

    async def _forward_stream(
        self,
        response: Response,
        headers: list[tuple[bytes, bytes]],
        send: Callable[..., Awaitable[None]],
    ) -> AttemptResult:
        events = self._progress.events
        events.begin_response(self._request.last_event_id)
        has_encoding = is_encoded(response.headers)
        async for chunk in response.iter_chunks():
            self._observer.record_chunk()
            try:
                complete_events = chunk if has_encoding else events.feed(chunk)
            except EventOrderError as error:
                return AttemptResult(AttemptOutcome.BROKEN, str(error))
            if self._resumable:
                chunk = complete_events
            if not chunk:
                continue
            await self._send_head(response.status, headers, send)
            await _send_body(send, chunk)
        truncation = self._find_truncation(response.framing, has_encoding)
        if truncation:
            return AttemptResult(AttemptOutcome.BROKEN, truncation)
        await self._send_head(response.status, headers, send)
        await _send_body(send, b"", more=False)
        return AttemptResult(AttemptOutcome.COMPLETED)

    def _find_truncation(self, framing: Framing, has_encoding: bool) -> str:
        """Return how a stream shows that it has broken off; "" if it doesn't.

        Without a length or chunks, an orderly close of the connection ends a
        response at any byte.
        """
        if has_encoding and framing is Framing.CLOSE:
            return "nothing marks the end of the encoded stream"
        if has_encoding:
            return ""
        events = self._progress.events
        if events.is_inside_event() or events.lacks_begun_event():
            return "the last event is incomplete"
        if framing is Framing.CLOSE and not events.has_events:
            return "the connection ended before the first event"
        return ""

    async def _send_head(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        send: Callable[..., Awaitable[None]],
    ) -> None:
        if self._progress.started:
            return
        self._progress.started = True
        self._observer.record_begun()
        forwarded_headers = [
            pair for pair in headers if pair[0] != b"content-length"
        ]
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": forwarded_headers,
            }
        )


async def send_buffered_response(
    send: Callable[..., Awaitable[None]], response: BufferedResponse
) -> None:
    """Send a response; one with status 204 gets no content length."""
    headers = [p for p in response.headers if p[0] != b"content-length"]
    if response.status != 204:
        await send_response(send, response.status, headers, response.body)
        return
    await send(
        {"type": "http.response.start", "status": 204, "headers": headers}
    )
    await _send_body(send, b"", more=False)


def remove_connection_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers without those that concern a single connection."""
    dropped = set(CONNECTION_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            names = value.lower().split(b",")
            dropped.update(name.strip() for name in names)
    return [
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in dropped
    ]


async def _send_body(
    send: Callable[..., Awaitable[None]], body: bytes, more: bool = True
) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": more})


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__
