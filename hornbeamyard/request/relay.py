"""One try of a routed request at one upstream."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

from ..connection.client import Answer
from ..connection.upstreams import CONNECTION_ERRORS, Upstreams
from .dialect import Dialect, Headers
from .exchange import HOP_HEADERS
from .problem import send_whole

# Answers up to this size are held until they are whole, so that a broken one
# can be replaced.
HELD_SIZE = 256 * 1024
# An event that is larger than this is passed on in parts.
LARGEST_EVENT = 256 * 1024
# Headers that concern one connection only (RFC 9110, 7.6.1). Those of proxy
# authentication are not among them, and pass.
CONNECTION_HEADERS = HOP_HEADERS - {
    b"proxy-authenticate",
    b"proxy-authorization",
}


class Ending(Enum):
    """How a try has ended."""

    DONE = "done"
    # Not a byte has reached the upstream.
    NOT_SENT = "not sent"
    # The upstream says that the request has not run and won't.
    NOT_RUN = "not run"
    # A whole answer that isn't a success.
    ANSWERED = "answered"
    # The connection or the answer broke; the request may have run.
    BROKEN = "broken"


@dataclass(slots=True)
class WholeAnswer:
    """An answer that is in memory."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(slots=True)
class TryResult:
    """How a try has ended, and what is left to pass on.

    Attributes
    ----------
    ending : Ending
    reason : str
    answer : WholeAnswer or None
        With `ANSWERED` and `NOT_RUN`: what the upstream answered.
    wrong_upstream : bool
        Whether another upstream has the address.
    """

    ending: Ending
    reason: str = ""
    answer: WholeAnswer | None = None
    wrong_upstream: bool = False


@dataclass(slots=True)
class Progress:
    """What of an answer has reached the caller, over all tries.

    Attributes
    ----------
    started : bool
        Whether the answer's header was sent.
    last_event_id : str
        Last whole event that was sent.
    held : bytes
        The begin of an event that is not whole yet.
    """

    started: bool = False
    last_event_id: str = ""
    held: bytearray = field(default_factory=bytearray)

    def take(self, chunk: bytes) -> bytes:
        """Take bytes of a stream and return its whole events."""
        self.held += chunk
        end = _find_events_end(self.held)
        if not end and len(self.held) < LARGEST_EVENT:
            return b""
        events = bytes(self.held[: end or len(self.held)])
        del self.held[: len(events)]
        self.last_event_id = _find_last_id(events) or self.last_event_id
        return events


@dataclass(slots=True)
class RelayRequest:
    """What is sent to an upstream."""

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    request_id: str


class Relay:
    """Sends a request to an upstream and passes the answer on.

    Parameters
    ----------
    request : RelayRequest
    address : str
        IP address and port of the upstream.
    upstreams : Upstreams
    dialect : Dialect
    progress : Progress
    resumable : bool
        Whether a stream may go on elsewhere, so that only whole events are
        passed on.
    on_chunk : callable
        Called when a part of a successful answer's body arrives.
    """

    __slots__ = (
        "_address",
        "_dialect",
        "_on_chunk",
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
        upstreams: Upstreams,
        dialect: Dialect,
        progress: Progress,
        resumable: bool,
        on_chunk: Callable[[], None],
    ) -> None:
        self._address = f"http://{address}"
        self._dialect = dialect
        self._on_chunk = on_chunk
        self._progress = progress
        self._request = request
        self._resumable = resumable
        self._upstreams = upstreams
        self.sent = False

    async def run(self, send: Callable[..., Awaitable[None]]) -> TryResult:
        """Run the try; cancelling closes the connection to the upstream."""
        try:
            connection = await self._upstreams.connect(self._address)
        except CONNECTION_ERRORS as error:
            return TryResult(Ending.NOT_SENT, _describe(error))
        whole = False
        try:
            # From here on a byte may have reached the upstream.
            self.sent = True
            request = self._request
            answer = await connection.request(
                request.method,
                request.target,
                self._build_headers(),
                request.body,
            )
            result = await self._take(answer, send)
            whole = result.ending is not Ending.BROKEN
            return result
        except CONNECTION_ERRORS as error:
            return TryResult(Ending.BROKEN, _describe(error))
        finally:
            await self._upstreams.release(self._address, connection, whole)

    def _build_headers(self) -> list[tuple[bytes, bytes]]:
        request = self._request
        headers = list(request.headers)
        if request.body or request.method not in ("GET", "HEAD"):
            length = str(len(request.body)).encode()
            headers.append((b"content-length", length))
        return headers

    async def _take(
        self,
        answer: Answer,
        send: Callable[..., Awaitable[None]],
    ) -> TryResult:
        headers = answer.headers
        facts = self._dialect.read_answer(answer.status, headers)
        if facts.request_id and facts.request_id != self._request.request_id:
            return TryResult(
                Ending.BROKEN,
                f"the answer belongs to request {facts.request_id!r}",
            )
        if facts.wrong_upstream or facts.not_run:
            whole = await self._read_whole(answer, headers)
            return TryResult(
                Ending.NOT_RUN,
                f"refused with {answer.status}",
                whole,
                facts.wrong_upstream,
            )
        if not 200 <= answer.status < 300:
            whole = await self._read_whole(answer, headers)
            return TryResult(Ending.ANSWERED, f"status {answer.status}", whole)
        if not facts.signed or not facts.request_id:
            return TryResult(Ending.BROKEN, "a success without signature")
        return await self._forward(answer, headers, send)

    async def _read_whole(
        self, answer: Answer, headers: Headers
    ) -> WholeAnswer:
        body = b"".join([chunk async for chunk in answer.iterate()])
        return WholeAnswer(answer.status, filter_headers(headers), body)

    async def _forward(
        self,
        answer: Answer,
        headers: Headers,
        send: Callable[..., Awaitable[None]],
    ) -> TryResult:
        kept = filter_headers(headers)
        kinds = [v for n, v in headers if n == b"content-type"]
        if kinds and kinds[0].startswith(b"text/event-stream"):
            return await self._forward_stream(answer, kept, send)
        if self._progress.started:
            return TryResult(Ending.BROKEN, "the stream went on as no stream")
        return await self._forward_body(answer, kept, send)

    async def _forward_body(
        self,
        answer: Answer,
        headers: list[tuple[bytes, bytes]],
        send: Callable[..., Awaitable[None]],
    ) -> TryResult:
        """Hold a body until it is whole, or too large to be held."""
        held: list[bytes] = []
        size = 0
        async for chunk in answer.iterate():
            self._on_chunk()
            if self._progress.started:
                await _send_body(send, chunk)
                continue
            held.append(chunk)
            size += len(chunk)
            if size > HELD_SIZE:
                await self._start(answer.status, headers, send)
                await _send_body(send, b"".join(held))
        if self._progress.started:
            await _send_body(send, b"", more=False)
            return TryResult(Ending.DONE)
        body = b"".join(held)
        self._progress.started = True
        await send_answer(send, WholeAnswer(answer.status, headers, body))
        return TryResult(Ending.DONE)

    async def _forward_stream(
        self,
        answer: Answer,
        headers: list[tuple[bytes, bytes]],
        send: Callable[..., Awaitable[None]],
    ) -> TryResult:
        progress = self._progress
        progress.held.clear()
        async for chunk in answer.iterate():
            self._on_chunk()
            if self._resumable:
                chunk = progress.take(chunk)
            if not chunk:
                continue
            await self._start(answer.status, headers, send)
            await _send_body(send, chunk)
        if progress.held:
            return TryResult(Ending.BROKEN, "the last event is not whole")
        await self._start(answer.status, headers, send)
        await _send_body(send, b"", more=False)
        return TryResult(Ending.DONE)

    async def _start(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        send: Callable[..., Awaitable[None]],
    ) -> None:
        if self._progress.started:
            return
        self._progress.started = True
        kept = [pair for pair in headers if pair[0] != b"content-length"]
        await send(
            {"type": "http.response.start", "status": status, "headers": kept}
        )


async def send_answer(
    send: Callable[..., Awaitable[None]], answer: WholeAnswer
) -> None:
    """Send an answer that is in memory."""
    headers = [p for p in answer.headers if p[0] != b"content-length"]
    if answer.status != 204:
        await send_whole(send, answer.status, headers, answer.body)
        return
    await send(
        {"type": "http.response.start", "status": 204, "headers": headers}
    )
    await _send_body(send, b"", more=False)


def filter_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers without those that concern one connection only."""
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


def _find_events_end(data: bytearray) -> int:
    """Return where the last whole event ends."""
    end = 0
    for blank in (b"\n\n", b"\r\n\r\n"):
        place = data.rfind(blank)
        if place >= 0:
            end = max(end, place + len(blank))
    return end


def _find_last_id(events: bytes) -> str:
    place = events.rfind(b"id:")
    while place > 0 and events[place - 1 : place] != b"\n":
        place = events.rfind(b"id:", 0, place)
    if place < 0:
        return ""
    line = events[place + 3 :].split(b"\n", 1)[0]
    return line.strip().decode("latin-1")


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__
