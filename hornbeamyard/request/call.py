"""Checks of what callers send: headers, paths and bodies."""

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
    HOP_HEADERS,
    REQUEST_HEADER,
    Call,
    Headers,
)
from .problem import Outcome, Problem, build_findings_problem

Scope = MutableMapping[str, Any]

MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
SERVICE_PREFIX = "/services/"
LONGEST_S = 86_400.0
# A longer value of a header may be a key, so findings don't show it.
SHOWN_SIZE = 12
# Methods that RFC 9110 doesn't define as idempotent.
UNREPEATABLE_METHODS = frozenset({"POST", "PATCH"})
_KEY = re.compile(rb"[\x21-\x7e]{1,255}")
_ATTEMPT = re.compile(rb"[0-9]{1,3}")

# Not passed on: the caller's key, and what this hop sets itself.
_OWN_HEADERS = frozenset(
    {b"authorization", b"content-length", b"expect", b"host"}
    | {REQUEST_HEADER}
)


@dataclass(slots=True)
class Options:
    """What a caller asks for by headers.

    Attributes
    ----------
    priority : bool
    cost_hint_s : float or None
    deadline_s : float or None
        Time within which the request must start.
    key : str
        Idempotency key, or empty.
    is_retry : bool
        Whether a client that is itself a gateway retries with this request.
    """

    priority: bool = False
    cost_hint_s: float | None = None
    deadline_s: float | None = None
    key: str = ""
    is_retry: bool = False


@dataclass(slots=True)
class Route:
    """Where a request goes.

    Attributes
    ----------
    pool : str
    target : bytes
        Path and query for the upstream.
    """

    pool: str
    target: bytes


def parse_options(headers: Headers) -> Result[Options, list[Finding]]:
    """Read a request's `Hornbeamyard-` headers and idempotency key."""
    options = Options()
    findings: list[Finding] = []
    for name, value in headers:
        if name == b"hornbeamyard-priority":
            options.priority = value == b"priority"
            if value not in (b"priority", b"normal"):
                accepted = "'priority' or 'normal'"
                findings.append(_reject(name, value, accepted))
        elif name == b"hornbeamyard-cost-hint":
            options.cost_hint_s = _parse_seconds(name, value, findings)
        elif name == b"hornbeamyard-deadline":
            options.deadline_s = _parse_seconds(name, value, findings)
        elif name == b"idempotency-key":
            options.key = value.decode("latin-1")
            if not _KEY.fullmatch(value):
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
    findings += _find_repeated(headers)
    return Err(findings) if findings else Ok(options)


def find_route(
    scope: Scope, body: bytes, configuration: Configuration
) -> Result[Route, Problem]:
    """Find the pool of a request."""
    path, query = scope["path"], scope["query_string"]
    suffix = b"?" + query if query else b""
    if path.startswith(SERVICE_PREFIX):
        name = path.split("/", 3)[2]
        pool = configuration.pools.get(name)
        if pool is None or pool.kind != "service":
            return Err(_not_found(f"there is no service {name!r}"))
        parts = scope["raw_path"].split(b"/", 3)
        rest = parts[3] if len(parts) > 3 else b""
        return Ok(Route(name, b"/" + rest + suffix))
    if path not in MODEL_PATHS:
        return Err(_not_found(f"there is no path {path!r}"))
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
        return Err(_not_found(f"there is no model {name!r}"))
    return Ok(Route(name, path.encode() + suffix))


def parse_model(body: bytes) -> Result[str, list[Finding]]:
    """Return the model that a call names."""
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
    """Parse a body that must be a JSON object."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err([Finding("", f"the body is not JSON: {error}")])
    if not isinstance(document, dict):
        return Err([Finding("", "the body is not a JSON object")])
    return Ok(document)


def build_call(
    scope: Scope, target: bytes, body: bytes, claimed: bool = False
) -> Call:
    """Return the request as it goes upstream.

    The answer of a claimed request must not be encoded, because its claim
    keeps the body only.
    """
    dropped = HOP_HEADERS | _OWN_HEADERS
    if claimed:
        dropped |= {b"accept-encoding"}
    headers = scope["headers"]
    for name, value in headers:
        if name == b"connection":
            dropped |= {part.strip() for part in value.lower().split(b",")}
    kept = [pair for pair in headers if pair[0] not in dropped]
    return Call(scope["method"], target, kept, body)


def get_bearer(scope: Scope) -> str | None:
    """Return the bearer key of a request."""
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
    if 0.0 < seconds <= LONGEST_S:
        return seconds
    accepted = f"a number of seconds above 0 and up to {LONGEST_S:g}"
    findings.append(_reject(name, value, accepted))
    return None


def _find_repeated(headers: Headers) -> list[Finding]:
    single = {
        b"hornbeamyard-priority",
        b"hornbeamyard-cost-hint",
        b"hornbeamyard-deadline",
        b"idempotency-key",
    }
    names = [name for name, _ in headers if name in single]
    return [
        Finding(_title(name), "is given more than once; give it once")
        for name in sorted(single)
        if names.count(name) > 1
    ]


def _reject(name: bytes, value: bytes, accepted: str) -> Finding:
    shown = repr(value.decode("latin-1"))
    if len(value) > SHOWN_SIZE:
        shown = f"a value of {len(value)} bytes"
    return Finding(_title(name), f"{shown} is not accepted; give {accepted}")


def _title(name: bytes) -> str:
    return name.decode().title()


def _not_found(detail: str) -> Problem:
    return Problem(HTTPStatus.NOT_FOUND, Outcome.NOT_RUN, detail)
