"""Parsing of callers' headers, paths and bodies."""

from __future__ import annotations

import json
import re
from collections.abc import MutableMapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from ..process.validation import Finding
from ..version.configuration import Configuration
from .exchange import (
    ATTEMPT_HEADER,
    REQUEST_HEADER,
    Headers,
    UpstreamRequest,
)
from .message_fields import HOP_BY_HOP_HEADERS, get_query
from .problem import Outcome, Problem, build_findings_problem

Scope = MutableMapping[str, Any]

MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
SERVICE_PREFIX = "/services/"
# Upper bound of the durations in headers.
MAX_DURATION_S = 86_400.0
# Findings don't show longer header values, since one may be a key.
MAX_SHOWN_VALUE_BYTES = 12
# Methods that RFC 9110 doesn't define as idempotent.
NON_IDEMPOTENT_METHODS = frozenset({"POST", "PATCH"})
_IDEMPOTENCY_KEY = re.compile(rb"[\x21-\x7e]{1,255}")
_ATTEMPT = re.compile(rb"[0-9]{1,3}")

# Not forwarded: the caller's key, and headers that the router sets itself.
_ROUTER_HEADERS = frozenset(
    {b"authorization", b"content-length", b"expect", b"host"}
    | {REQUEST_HEADER}
)


@dataclass(slots=True)
class RequestOptions:
    """What a caller asks for in headers.

    Attributes
    ----------
    priority : bool
    cost_hint_s : float or None
        Cost that the caller expects; checked, but not used for decisions.
    deadline_s : float or None
        Time until the request must start, in seconds.
    idempotency_key : str
        Idempotency key, or empty.
    is_retry : bool
        Whether the caller is a gateway that retries a request.
    """

    priority: bool = False
    cost_hint_s: float | None = None
    deadline_s: float | None = None
    idempotency_key: str = ""
    is_retry: bool = False


@dataclass(slots=True)
class Destination:
    """Pool and target of a request.

    Attributes
    ----------
    pool : str
    target : bytes
        Path and query for the upstream.
    """

    pool: str
    target: bytes


def parse_options(headers: Headers) -> Result[RequestOptions, list[Finding]]:
    """Read a request's `Hornbeamyard-` headers and idempotency key."""
    options = RequestOptions()
    findings: list[Finding] = []
    for name, value in headers:
        if name == b"hornbeamyard-priority":
            options.priority = value == b"priority"
            if value not in (b"priority", b"normal"):
                accepted = "'priority' or 'normal'"
                findings.append(_build_finding(name, value, accepted))
        elif name == b"hornbeamyard-cost-hint":
            options.cost_hint_s = _parse_seconds(name, value, findings)
        elif name == b"hornbeamyard-deadline":
            options.deadline_s = _parse_seconds(name, value, findings)
        elif name == b"idempotency-key":
            options.idempotency_key = value.decode("latin-1")
            if not _IDEMPOTENCY_KEY.fullmatch(value):
                findings.append(
                    Finding(
                        "Idempotency-Key",
                        f"a value of {len(value)} bytes is not accepted; "
                        "give 1 to 255 visible ASCII characters",
                    )
                )
        elif name == ATTEMPT_HEADER:
            is_number = _ATTEMPT.fullmatch(value) is not None
            options.is_retry = is_number and int(value) > 1
    findings += _find_duplicates(headers)
    return Err(findings) if findings else Ok(options)


def find_destination(
    scope: Scope, body: bytes, configuration: Configuration
) -> Result[Destination, Problem]:
    """Return the pool and the upstream target of a request."""
    path, suffix = scope["path"], get_query(scope)
    if path.startswith(SERVICE_PREFIX):
        name = path.split("/", 3)[2]
        pool = configuration.pools.get(name)
        if pool is None or pool.kind != "service":
            return Err(_build_not_found(f"there is no service {name!r}"))
        parts = scope["raw_path"].split(b"/", 3)
        remaining_path = parts[3] if len(parts) > 3 else b""
        return Ok(Destination(name, b"/" + remaining_path + suffix))
    if path not in MODEL_PATHS:
        return Err(_build_not_found(f"there is no path {path!r}"))
    if scope["method"] != "POST":
        return Err(
            Problem(
                HTTPStatus.METHOD_NOT_ALLOWED,
                Outcome.NOT_RUN,
                f"{path} doesn't accept {scope['method']}; use POST",
            )
        )
    model = parse_model(body)
    if isinstance(model, Err):
        return Err(build_findings_problem(model.err_value))
    name = model.ok_value
    pool = configuration.pools.get(name)
    if pool is None or pool.kind != "model":
        return Err(_build_not_found(f"there is no model {name!r}"))
    return Ok(Destination(name, path.encode() + suffix))


def parse_model(body: bytes) -> Result[str, list[Finding]]:
    """Return the model that a request body names."""
    document = parse_object(body)
    if isinstance(document, Err):
        return document
    model = document.ok_value.get("model")
    if not isinstance(model, str) or not model:
        return Err(
            [Finding("model", f"{model!r} is not accepted; give a name")]
        )
    return Ok(model)


def parse_object(body: bytes) -> Result[dict[str, Any], list[Finding]]:
    """Parse a body as a JSON object."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err([Finding("", f"the body is not JSON: {error}")])
    if not isinstance(document, dict):
        return Err([Finding("", "the body is not a JSON object")])
    return Ok(document)


def build_upstream_request(
    scope: Scope, target: bytes, body: bytes, claimed: bool = False
) -> UpstreamRequest:
    """Return the request to send upstream.

    The response to a claimed request must not be encoded, because the claim
    keeps the body and its type, but not the encoding.
    """
    dropped = HOP_BY_HOP_HEADERS | _ROUTER_HEADERS
    if claimed:
        dropped |= {b"accept-encoding"}
    headers = scope["headers"]
    for name, value in headers:
        if name == b"connection":
            dropped |= {part.strip() for part in value.lower().split(b",")}
    forwarded = [pair for pair in headers if pair[0] not in dropped]
    return UpstreamRequest(scope["method"], target, forwarded, body)


def get_bearer_key(scope: Scope) -> str | None:
    """Return the bearer key of a request, or None."""
    for name, value in scope["headers"]:
        if name == b"authorization" and value[:7].lower() == b"bearer ":
            return str(value[7:].decode("latin-1").strip())
    return None


def _parse_seconds(
    name: bytes, value: bytes, findings: list[Finding]
) -> float | None:
    try:
        seconds = float(value)
    except ValueError:
        seconds = -1.0
    if 0.0 < seconds <= MAX_DURATION_S:
        return seconds
    accepted = f"a number of seconds above 0 and up to {MAX_DURATION_S:g}"
    findings.append(_build_finding(name, value, accepted))
    return None


def _find_duplicates(headers: Headers) -> list[Finding]:
    unique_headers = {
        b"hornbeamyard-priority",
        b"hornbeamyard-cost-hint",
        b"hornbeamyard-deadline",
        b"idempotency-key",
    }
    header_names = [name for name, _ in headers if name in unique_headers]
    return [
        Finding(
            _format_header_name(name), "is given more than once; give it once"
        )
        for name in sorted(unique_headers)
        if header_names.count(name) > 1
    ]


def _build_finding(name: bytes, value: bytes, accepted: str) -> Finding:
    shown = repr(value.decode("latin-1"))
    if len(value) > MAX_SHOWN_VALUE_BYTES:
        shown = f"a value of {len(value)} bytes"
    return Finding(
        _format_header_name(name), f"{shown} is not accepted; give {accepted}"
    )


def _format_header_name(name: bytes) -> str:
    return name.decode().title()


def _build_not_found(detail: str) -> Problem:
    return Problem(HTTPStatus.NOT_FOUND, Outcome.NOT_RUN, detail)
