"""Checks of a routing document before it is submitted.

Errors come from the decoder that controllers use. Warnings name entries that
are accepted but can have no effect, and only where that is certain from the
document alone.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from result import Err, Ok

from ..process.documents import read_json
from ..process.positions import Path, locate_fault, locate_values
from ..process.validation import Finding
from .routing import (
    MIN_RETRY_TIME_MS,
    Routing,
    RoutingDecoder,
    decode_routing,
)

# Request targets have a path of visible ASCII characters; it ends before a
# query or fragment. `OPTIONS *` has the path `*`.
_SENDABLE_PATH = re.compile(r"""\*|/[!"$->@-~]*""")
# Routers compare the host of a request without its port.
_HOST_WITH_PORT = re.compile(r"[^\[\]]*:.*|\[.*\]:.*")
# Headers are read as Latin-1.
_NOT_LATIN_1 = re.compile("[^\x00-\xff]")


def _keep_path(document: Any, path: Path) -> Path | None:
    return path


def _keep_document(document: Any) -> Any:
    return document


@dataclass(slots=True, frozen=True)
class Format:
    """A format in which operators write routing documents.

    Attributes
    ----------
    decode : callable
        The decoder that controllers use for the format.
    translate : callable
        Returns a valid document as a native routing document.
    find_source : callable
        From the parsed document and a path in the native document, returns
        the path in the document; None if the value isn't in it.
    secret_names : frozenset of str
        Names of members whose values are keys.
    """

    decode: RoutingDecoder = decode_routing
    translate: Callable[[Any], Any] = _keep_document
    find_source: Callable[[Any, Path], Path | None] = _keep_path
    secret_names: frozenset[str] = frozenset({"keys"})


@dataclass(slots=True)
class Report:
    """The result of a check.

    Attributes
    ----------
    document : object
        The parsed document in its own format; None if it isn't JSON.
    version : int
        Its version; 0 if there are errors.
    errors : list of Finding
        What controllers refuse, as they report it, with positions.
    warnings : list of Finding
        Empty if there are errors.
    """

    document: Any = None
    version: int = 0
    errors: list[Finding] = field(default_factory=list)
    warnings: list[Finding] = field(default_factory=list)


NATIVE_FORMAT = Format()


def check_routing(data: bytes, format: Format = NATIVE_FORMAT) -> Report:
    """Check a routing document.

    Parameters
    ----------
    data : bytes
    format : Format, optional

    Returns
    -------
    Report
    """
    decoded = format.decode(data)
    if isinstance(decoded, Err):
        return _report_errors(data, decoded.err_value, format)
    # The decoder has refused whatever this parser accepts beyond JSON.
    document = json.loads(data.decode("utf-8-sig"))
    routing = decoded.ok_value
    sources = (
        (finding, _find_source(document, finding, format))
        for finding in find_warnings(format.translate(document), routing)
    )
    located = [(f, source) for f, source in sources if source is not None]
    warnings = _add_positions(data, located)
    return Report(document, routing.version, warnings=warnings)


def _report_errors(
    data: bytes, findings: list[Finding], format: Format
) -> Report:
    parsed = read_json(data)
    if isinstance(parsed, Ok):
        document = parsed.ok_value
        located = [
            (finding, _find_source(document, finding, format) or ())
            for finding in findings
        ]
        return Report(document, errors=_add_positions(data, located))
    line, column = locate_fault(data) or (None, None)
    errors = [
        replace(finding, line=line, column=column) for finding in findings
    ]
    return Report(errors=errors)


def find_warnings(
    document: dict[str, Any], routing: Routing
) -> Iterator[Finding]:
    """Yield what can have no effect in a valid routing document.

    Parameters
    ----------
    document : dict
        In the native format.
    routing : Routing
        The routing built from it.
    """
    yield from _check_limits(document, routing)
    for index, item in enumerate(document["routes"]):
        yield from _check_route(f"routes.{index}", item)
    used = {
        share.pool
        for route in routing.routes.values()
        for share in route.shares
    }
    for index, item in enumerate(document["pools"]):
        yield from _check_pool(f"pools.{index}", item, used)
    checks_keys = any(not route.public for route in routing.routes.values())
    for index, item in enumerate(document.get("client_accounts", [])):
        yield from _check_account(
            f"client_accounts.{index}", item, checks_keys
        )


def compare_versions(version: int, in_force: int) -> list[Finding]:
    """Return a warning if a changed document can't replace another one.

    Parameters
    ----------
    version : int
        Version of the document.
    in_force : int
        Version of a document with other content.
    """
    if version > in_force:
        return []
    effect = (
        "controllers refuse other content under the same version"
        if version == in_force
        else "controllers acknowledge older versions and ignore them"
    )
    return [
        Finding(
            "version",
            f"is {version}, and version {in_force} is in force; {effect}",
        )
    ]


def _check_limits(
    document: dict[str, Any], routing: Routing
) -> Iterator[Finding]:
    limits = routing.limits
    # A small body limit beside the default header limit is no contradiction.
    is_given = "header_size" in document.get("limits", {})
    if is_given and limits.header_size > limits.body_size:
        yield Finding(
            "limits.header_size",
            f"{limits.header_size} is above the body limit of "
            f"{limits.body_size} bytes",
        )


def _check_route(key_path: str, item: dict[str, Any]) -> Iterator[Finding]:
    prefix = item["path_prefix"]
    if not _SENDABLE_PATH.fullmatch(prefix):
        yield Finding(
            f"{key_path}.path_prefix",
            f"no request can match {prefix!r}: paths start with '/' and "
            "consist of visible ASCII characters without '?' and '#'",
        )
    host = item["host"].lower()
    if (
        _HOST_WITH_PORT.fullmatch(host)
        or host != host.strip(" ")
        or _NOT_LATIN_1.search(host)
    ):
        yield Finding(
            f"{key_path}.host",
            f"no request can match {item['host']!r}: give a host without "
            "port and surrounding spaces, in the form of the Host header",
        )
    timeout_ms = item["timeout_ms"]
    for key in ("target_ms", "longest_gap_ms"):
        if item.get(key, 0) > timeout_ms:
            yield Finding(
                f"{key_path}.{key}",
                f"{item[key]} is above the time limit of {timeout_ms} ms",
            )
    attempts = item.get("most_attempts", 1)
    if attempts > 1 and timeout_ms < MIN_RETRY_TIME_MS:
        yield Finding(
            f"{key_path}.most_attempts",
            f"{attempts} attempts don't fit the time limit of {timeout_ms} "
            f"ms: a retry needs {MIN_RETRY_TIME_MS:g} ms",
        )
    for index, share in enumerate(item["shares"]):
        if share.get("weight", 1) == 0:
            yield Finding(
                f"{key_path}.shares.{index}.weight",
                f"is 0, so that pool {share['pool']!r} gets no requests of "
                "the route",
            )


def _check_pool(
    key_path: str, item: dict[str, Any], used: set[str]
) -> Iterator[Finding]:
    if item["name"] not in used:
        yield Finding(
            key_path, f"no route sends requests to pool {item['name']!r}"
        )
    rate = item.get("cold_rate", 0)
    if rate > 0 and not item.get("cold_start_s", 0):
        yield Finding(
            f"{key_path}.cold_rate",
            f"{rate} is given without a cold start time, so that it holds "
            "only for upstreams that announce how long they remain cold",
        )


def _check_account(
    key_path: str, item: dict[str, Any], checks_keys: bool
) -> Iterator[Finding]:
    name = item["name"]
    if not checks_keys:
        yield Finding(
            key_path,
            f"no route checks the keys of client account {name!r}; all "
            "routes are public",
        )
    if not item["keys"]:
        yield Finding(
            f"{key_path}.keys",
            f"client account {name!r} has no keys, so that no request "
            "belongs to it",
        )
    seen: set[str] = set()
    for index, key in enumerate(item["keys"]):
        if key in seen:
            # The key is secret, so its place is named instead.
            yield Finding(f"{key_path}.keys.{index}", "occurs twice")
        seen.add(key)


def _add_positions(
    data: bytes, located: list[tuple[Finding, Path]]
) -> list[Finding]:
    positions = locate_values(data, (source for _, source in located))
    return [
        Finding(finding.key_path, finding.message, *positions[source])
        for finding, source in located
    ]


def _find_source(
    document: Any, finding: Finding, format: Format
) -> Path | None:
    """Return the path of a finding in the document's own format."""
    keys = finding.key_path.split(".") if finding.key_path else []
    # Longer numbers are no indexes, and may be too long for `int`.
    path: Path = tuple(
        int(key) if key.isdecimal() and len(key) < 10 else key for key in keys
    )
    return format.find_source(document, path)
