"""One attempt at an upstream: send the request, stream the answer."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from ..connection.client import Answer
from ..connection.upstreams import CONNECTION_ERRORS, Liveness, Upstreams
from .outcome import Fault, Stage
from .problem import Send

# Headers that concern one connection only.
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
NOT_RUN_HEADER = b"hornbeamyard-not-run"
REQUEST_HEADER = b"hornbeamyard-request"
ATTEMPT_HEADER = b"hornbeamyard-attempt"
# Bytes of an answer that a claim keeps.
RECORDED_SIZE = 64 * 1024

_prefix = f"{random.getrandbits(48):012x}"
_numbers = itertools.count(1)

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Call:
    """A request as it is sent upstream.

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
class Recorder:
    """Keeps an answer for its claim.

    A claim keeps no other header than the type, so an encoded answer can't
    be repeated.
    """

    status: int = 0
    content_type: str = ""
    encoded: bool = False
    chunks: list[bytes] = field(default_factory=list)
    size: int = 0

    def add(self, chunk: bytes) -> None:
        """Take a chunk; chunks beyond the bound are dropped."""
        self.size += len(chunk)
        if self.size <= RECORDED_SIZE:
            self.chunks.append(chunk)

    def is_truncated(self) -> bool:
        """Return whether the answer can't be kept."""
        return self.encoded or self.size > RECORDED_SIZE


class Exchange:
    """One attempt to have an upstream answer a request.

    Parameters
    ----------
    call : Call
    address : str
        `http://ip:port` of the upstream.
    upstreams : Upstreams
    liveness : Liveness
    on_first_byte : callable
        Called when the answer begins; returns headers to add to it.
    recorder : Recorder, optional
    """

    __slots__ = (
        "_call",
        "_dropped",
        "_liveness",
        "_on_first_byte",
        "_recorder",
        "_scope",
        "_upstreams",
        "address",
        "identity",
        "is_event_stream",
        "last_chunk",
        "progress",
        "stage",
        "waits_for_caller",
    )

    def __init__(
        self,
        call: Call,
        address: str,
        upstreams: Upstreams,
        liveness: Liveness,
        on_first_byte: Callable[[], Headers],
        recorder: Recorder | None = None,
    ) -> None:
        self._call = call
        self._upstreams = upstreams
        self._liveness = liveness
        self._on_first_byte = on_first_byte
        self._recorder = recorder
        self._scope = anyio.CancelScope()
        self._dropped: Fault | None = None
        self.address = address
        self.identity = f"{_prefix}-{next(_numbers):x}"
        self.is_event_stream = False
        self.last_chunk = b""
        self.progress = 0
        self.stage = Stage.CONNECTING
        self.waits_for_caller = False

    def drop(self, reason: str, by_upstream: bool = True) -> None:
        """End the exchange; `run` returns a fault with this reason."""
        if self._dropped is None:
            self._dropped = Fault(self.stage, reason, by_upstream=by_upstream)
            self._scope.cancel()

    async def run(self, send: Send) -> Fault | None:
        """Run the exchange; return why it failed, or None.

        Nothing is sent to the caller before the first byte of the answer's
        body, so that a fault up to there can be answered or retried.
        Cancelling closes the connection to the upstream.
        """
        fault: Fault | None = None
        with self._scope:
            fault = await self._run(send)
        if self._scope.cancelled_caught:
            assert self._dropped is not None
            self._dropped.stage = self.stage
            return self._dropped
        return fault

    async def _run(self, send: Send) -> Fault | None:
        try:
            connection = await self._upstreams.connect(self.address)
        except CONNECTION_ERRORS as error:
            return Fault(self.stage, f"no connection: {_describe(error)}")
        whole = False
        self._liveness.add(self)
        try:
            # From here on a byte may have reached the upstream.
            self.stage = Stage.SENT
            call = self._call
            answer = await connection.request(
                call.method, call.target, self._build_headers(), call.body
            )
            self.progress += 1
            fault = self._check_answer(answer)
            if fault is None:
                await self._forward(answer, send)
                whole = True
            return fault
        except CONNECTION_ERRORS as error:
            return Fault(self.stage, _describe(error))
        finally:
            self._liveness.remove(self)
            await self._upstreams.release(self.address, connection, whole)

    def _build_headers(self) -> Headers:
        call = self._call
        host = self.address.removeprefix("http://").encode()
        headers = [
            (b"host", host),
            *call.headers,
            (REQUEST_HEADER, self.identity.encode()),
        ]
        if call.body or call.method not in ("GET", "HEAD"):
            length = str(len(call.body)).encode()
            headers.append((b"content-length", length))
        return headers

    def _check_answer(self, answer: Answer) -> Fault | None:
        names = dict(answer.headers)
        status = answer.status
        if status == 503 and names.get(NOT_RUN_HEADER, b"").lower() == b"true":
            return Fault(
                self.stage, "the upstream refused the request", refused=True
            )
        if status < 200:
            return Fault(self.stage, f"unexpected status {status}")
        has_end = b"content-length" in names or b"transfer-encoding" in names
        has_body = self._call.method != "HEAD" and status not in (204, 304)
        if has_body and not has_end:
            # Such an answer ends with the connection, so a cut one looks
            # whole.
            return Fault(
                self.stage,
                "the answer has neither a length nor chunked encoding",
            )
        content_type = names.get(b"content-type", b"")
        self.is_event_stream = (
            content_type.startswith(b"text/event-stream")
            and b"transfer-encoding" in names
        )
        if self._recorder is not None:
            self._recorder.status = status
            self._recorder.content_type = content_type.decode("latin-1")
            self._recorder.encoded = b"content-encoding" in names
        return None

    async def _forward(self, answer: Answer, send: Send) -> None:
        recorder = self._recorder
        started = False
        async for chunk in answer.iterate():
            if not started:
                started = True
                await self._start(answer, send)
            if recorder is not None:
                recorder.add(chunk)
            self.last_chunk = chunk
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
        if not started:
            await self._start(answer, send)
        self.stage = Stage.ANSWERED
        await send({"type": "http.response.body", "body": b""})

    async def _start(self, answer: Answer, send: Send) -> None:
        self.stage = Stage.ANSWERING
        added = self._on_first_byte()
        await send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": _filter_answer_headers(answer) + added,
            }
        )


def _filter_answer_headers(answer: Answer) -> Headers:
    headers = answer.headers
    dropped = set(HOP_HEADERS)
    names = {name for name, _ in headers}
    if b"transfer-encoding" in names or answer.status in (204, 304):
        dropped.add(b"content-length")
    return [pair for pair in headers if pair[0] not in dropped]


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
