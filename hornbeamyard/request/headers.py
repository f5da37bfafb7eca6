"""Translation between HTTP headers and request metadata.

The codec holds all names of protocol headers, so that the rest of the request
path works with the metadata types alone.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from http import HTTPStatus

from ..pool.demand import PromptPart
from ..pool.usage import ReportedLoad

Headers = Sequence[tuple[bytes, bytes]]

LAST_EVENT_ID = b"last-event-id"
WRONG_UPSTREAM_STATUS = 421
RETRY_AFTER = b"retry-after"
# A number with an optional fraction. Dates are not used between router and
# upstream.
_DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")
# Larger counts are taken for this one, which no engine's memory holds. Sums of
# them fit into the messages between processes.
MAX_TOKENS = 2**24
_MAX_TOKEN_DIGITS = len(str(MAX_TOKENS))
# Longest time that a caller can be said to wait: one day.
MAX_DEADLINE_MS = 86_400_000.0
# Requests running, waiting and slots, then the present duration of work in
# percent of the usual one.
_LOAD = re.compile(rb"(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(\d{1,6}))?")
# Bounds of that duration in percent. Values of 100 to 250 are common; one
# beyond the bounds is taken for an error.
MIN_WORK_PERCENT = 10
MAX_WORK_PERCENT = 2000


@dataclass(slots=True, frozen=True)
class RequestMetadata:
    """What a caller's headers say about its request.

    Attributes
    ----------
    request_id : str
        Identifies one attempt of the caller.
    deadline_ms : float or None
        How long the caller still waits, from the arrival of the request.
    key : str or None
        The client account's key.
    model : str
    prompt_tokens, output_tokens : int
        Size of the prompt, and the maximum number of tokens to generate;
        0 if not given.
    expected_tokens : int
        The caller's estimate of the tokens to generate; 0 if not given.
    parts : tuple of PromptPart
        Parts of the prompt that other requests may share as a prefix, in
        order.
    resumes : str
        Id of the caller's attempt that brought the first event of the stream
        that this request continues; empty if not given.
    last_event_id : str
        Last event of that stream that the caller has; empty if not given.
    """

    request_id: str
    deadline_ms: float | None = None
    key: str | None = None
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    resumes: str = ""
    last_event_id: str = ""


@dataclass(slots=True, frozen=True)
class ForwardingMetadata:
    """What the router tells an upstream in the headers of a request.

    Attributes
    ----------
    upstream_id : str
        Id of the upstream that the request is for. Any other upstream at the
        same address must refuse it.
    deadline_ms : float
        How long the caller still waits.
    account : str
        Empty on public routes.
    last_event_id : str
        Event after which the stream continues; empty to start from the
        beginning.
    copy_from : str
        IP address and port of an engine from which the upstream may copy
        the KV cache of the prompt; empty for none.
    """

    upstream_id: str
    deadline_ms: float
    account: str
    last_event_id: str = ""
    copy_from: str = ""


@dataclass(slots=True, frozen=True)
class ResponseMetadata:
    """What the headers and the status of an upstream's response say.

    Attributes
    ----------
    request_id : str
        The request that the response belongs to; empty if not given.
    not_run : bool
        Whether the request has not run and will not run.
    wrong_upstream : bool
        Whether the address now belongs to another upstream.
    signed : bool
        Whether the response carries the upstream's signature.
    is_leaving : bool
        Whether the upstream is shutting down.
    retry_after_s : float
        Seconds for which the upstream wants no requests from this router; 0
        for none.
    max_rate : float or None
        Requests a second that the upstream takes from all routers together;
        None for no limit.
    load : ReportedLoad or None
        None if the response doesn't state a valid load.
    """

    request_id: str
    not_run: bool
    wrong_upstream: bool
    signed: bool
    is_leaving: bool = False
    retry_after_s: float = 0.0
    max_rate: float | None = None
    load: ReportedLoad | None = None


@dataclass(slots=True, frozen=True)
class HeaderNames:
    """Names of the headers that a codec reads and writes, in lower case.

    Attributes
    ----------
    request_id : bytes
    deadline_ms : bytes
        Milliseconds that the caller still waits, relative to the arrival.
    key, key_prefix : bytes
        Header with the client account's key, and the text before the key.
    account : bytes
        Name of the client account, for the upstream.
    model : bytes
    token_counts : bytes
        Number of prompt tokens and maximum number of tokens to generate,
        separated by a comma.
    expected_tokens : bytes
        The caller's estimate of the tokens to generate.
    parts : bytes
        Parts of the prompt in order, as `ID:TOKENS` separated by commas.
    upstream : bytes
        Id of the only upstream that may run the request.
    signature : bytes
        The upstream's signature of a response.
    not_run : bytes
        Present if the request has not run and will not run.
    copy_from : bytes
        Address of an engine that holds the KV cache of the prompt.
    leaving : bytes
        Set to 1 in the responses of an upstream that is shutting down.
    max_rate : bytes
        Requests a second that an upstream takes from all routers together,
        in its responses for as long as the limit holds.
    load : bytes
        An upstream's requests running and waiting and its slots, separated by
        commas, in its responses; optionally followed by the present duration
        of its work in percent of the usual one.
    resumes : bytes
        Id of the attempt that brought the first event of a stream, in the
        request that continues it.
    router_only : frozenset of bytes
        Further headers that are removed from a caller's request, because
        only the router may set them.
    """

    request_id: bytes
    deadline_ms: bytes
    key: bytes
    key_prefix: bytes
    account: bytes
    model: bytes
    token_counts: bytes
    expected_tokens: bytes
    parts: bytes
    upstream: bytes
    signature: bytes
    not_run: bytes
    copy_from: bytes
    leaving: bytes
    max_rate: bytes
    load: bytes
    resumes: bytes
    router_only: frozenset[bytes] = frozenset()


class HeaderCodec:
    """Translates between headers and metadata.

    Parameters
    ----------
    names : HeaderNames
    """

    __slots__ = ("_names", "_router_only")

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        self._router_only = names.router_only | {
            names.deadline_ms,
            names.key,
            names.account,
            names.upstream,
            names.copy_from,
            # The router frames the body itself.
            b"content-length",
            b"expect",
        }

    def read_request(self, headers: Headers) -> RequestMetadata:
        """Return the metadata in a caller's headers.

        Numbers and prompt parts that can't be parsed count as not given, and
        numbers beyond `MAX_TOKENS` or `MAX_DEADLINE_MS` as those.
        """
        names = self._names
        values = {name.lower(): value for name, value in headers}
        token_counts = _parse_numbers(values.get(names.token_counts))
        expected_tokens = _parse_number(
            values.get(names.expected_tokens), MAX_TOKENS
        )
        return RequestMetadata(
            request_id=values.get(names.request_id, b"").decode("latin-1"),
            deadline_ms=_parse_number(
                values.get(names.deadline_ms), MAX_DEADLINE_MS
            ),
            key=self._decode_key(values.get(names.key)),
            model=values.get(names.model, b"").decode("latin-1"),
            prompt_tokens=token_counts[0] if token_counts else 0,
            output_tokens=token_counts[1] if len(token_counts) > 1 else 0,
            expected_tokens=int(expected_tokens or 0),
            parts=_parse_parts(values.get(names.parts, b"")),
            resumes=values.get(names.resumes, b"").decode("latin-1"),
            last_event_id=values.get(LAST_EVENT_ID, b"").decode("latin-1"),
        )

    def read_key(self, headers: Headers) -> str | None:
        """Return the caller's key, as `read_request` does."""
        return self._decode_key(_find_last(headers, self._names.key))

    def read_request_id(self, headers: Headers) -> str:
        """Return the id of a request, as `read_request` does."""
        value = _find_last(headers, self._names.request_id)
        return "" if value is None else value.decode("latin-1")

    def _decode_key(self, value: bytes | None) -> str | None:
        if value is None:
            return None
        return value.removeprefix(self._names.key_prefix).decode("latin-1")

    def write_request(
        self, headers: Headers, metadata: ForwardingMetadata
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers for an upstream.

        Headers that only the router may set are removed from the caller's.
        """
        names = self._names
        router_only = self._router_only
        if metadata.last_event_id:
            router_only = router_only | {LAST_EVENT_ID}
        forwarded = [pair for pair in headers if pair[0] not in router_only]
        deadline = str(int(metadata.deadline_ms)).encode()
        forwarded.append((names.upstream, metadata.upstream_id.encode()))
        forwarded.append((names.deadline_ms, deadline))
        if metadata.account:
            forwarded.append((names.account, metadata.account.encode()))
        if metadata.copy_from:
            forwarded.append((names.copy_from, metadata.copy_from.encode()))
        if metadata.last_event_id:
            last = metadata.last_event_id.encode("latin-1")
            forwarded.append((LAST_EVENT_ID, last))
        return forwarded

    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return the metadata of an upstream's response."""
        names = self._names
        values = dict(headers)
        retry_after_s = 0.0
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after_s = _parse_retry_after(
                value for name, value in headers if name == RETRY_AFTER
            )
        # A response that names two requests belongs to neither.
        ids = {
            value: None for name, value in headers if name == names.request_id
        }
        return ResponseMetadata(
            request_id=b", ".join(ids).decode("latin-1"),
            not_run=names.not_run in values,
            wrong_upstream=status == WRONG_UPSTREAM_STATUS,
            signed=names.signature in values,
            is_leaving=values.get(names.leaving, b"").strip() == b"1",
            retry_after_s=retry_after_s,
            max_rate=_parse_decimal(values.get(names.max_rate, b"")),
            load=_parse_load(values.get(names.load, b"")),
        )

    def write_response(self, request_id: str) -> list[tuple[bytes, bytes]]:
        """Return headers of a response that the router itself gives."""
        if not request_id:
            return []
        return [(self._names.request_id, request_id.encode("latin-1"))]


NATIVE_HEADER_NAMES = HeaderNames(
    request_id=b"hornbeamyard-request",
    deadline_ms=b"hornbeamyard-deadline-ms",
    key=b"authorization",
    key_prefix=b"Bearer ",
    account=b"hornbeamyard-account",
    model=b"hornbeamyard-model",
    token_counts=b"hornbeamyard-token-counts",
    expected_tokens=b"hornbeamyard-expected-tokens",
    parts=b"hornbeamyard-prompt-parts",
    upstream=b"hornbeamyard-upstream",
    signature=b"hornbeamyard-signature",
    not_run=b"hornbeamyard-not-run",
    copy_from=b"hornbeamyard-copy-from",
    leaving=b"hornbeamyard-leaving",
    max_rate=b"hornbeamyard-max-rate",
    load=b"hornbeamyard-load",
    resumes=b"hornbeamyard-resumes",
)


def _find_last(headers: Headers, sought: bytes) -> bytes | None:
    for name, value in reversed(headers):
        if name.lower() == sought:
            return value
    return None


def _parse_number(value: bytes | None, maximum: float) -> float | None:
    try:
        number = float(value or b"")
    except ValueError:
        return None
    return min(number, maximum) if 0 < number < float("inf") else None


def _parse_retry_after(values: Iterable[bytes]) -> float:
    """Return the longest of the times in seconds, without malformed ones."""
    times = [_parse_decimal(value) for value in values]
    return max((time for time in times if time is not None), default=0.0)


def _parse_decimal(value: bytes) -> float | None:
    stripped = value.strip()
    return float(stripped) if _DECIMAL.fullmatch(stripped) else None


def _parse_load(value: bytes) -> ReportedLoad | None:
    """Return the load, None if any of its numbers is no valid one."""
    matched = _LOAD.fullmatch(value.replace(b" ", b""))
    if matched is None:
        return None
    running, waiting, slots = map(int, matched.group(1, 2, 3))
    if not slots:
        return None
    if matched[4] is None:
        return ReportedLoad(running, waiting, slots)
    percent = int(matched[4])
    if not MIN_WORK_PERCENT <= percent <= MAX_WORK_PERCENT:
        return None
    return ReportedLoad(running, waiting, slots, percent / 100)


def _parse_numbers(value: bytes | None) -> list[int]:
    try:
        return [_parse_tokens(part) for part in (value or b"").split(b",")]
    except ValueError:
        return []


def _parse_tokens(value: bytes) -> int:
    # Python refuses to convert numbers of thousands of digits.
    digits = value.strip().lstrip(b"0")
    if len(digits) > _MAX_TOKEN_DIGITS and digits.isdigit():
        return MAX_TOKENS
    return min(max(0, int(value)), MAX_TOKENS)


def _parse_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(b","):
        id, _, tokens = entry.strip().partition(b":")
        if id and tokens.isdigit():
            parts.append(
                PromptPart(id.decode("latin-1"), _parse_tokens(tokens))
            )
    return tuple(parts)
