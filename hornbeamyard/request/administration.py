"""HTTP endpoints for operators and monitoring."""

from __future__ import annotations

import ipaddress
import json
import re
from collections.abc import Awaitable, Callable, Mapping, MutableMapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Protocol

from result import Err, Result

from ..messages import fleet_pb2
from ..process.metrics import Metrics
from ..process.validation import Finding
from ..version.configuration import Configuration

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

ADMIN_PREFIX = "/hornbeamyard/v1/admin/"
CONFIG_PATH = ADMIN_PREFIX + "config"
HISTORY_PATH = ADMIN_PREFIX + "history"
STATUS_PATH = ADMIN_PREFIX + "status"
PATCH_TYPE = "application/json-patch+json"
# Patches are smaller than prompts, and each must fit into one gRPC message,
# so their limit is below the gateway's limit for bodies.
MAX_PATCH_BYTES = 4 * 1024 * 1024
CALL_TIMEOUT_S = 5.0
MAX_HISTORY_ENTRIES = 100

_ETAG = re.compile(r'"(\d{1,18})"')
_PATCH_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class LeaderCaller(Protocol):
    """Makes calls to the lead controller."""

    async def call(
        self, method: str, request: Any, timeout_s: float
    ) -> Result[Any, Any]:
        """Call a method of the gRPC service `Fleet`.

        The error of the result says why no lead controller replied.
        """


@dataclass(slots=True)
class AdminResponse:
    """A response to an operator.

    Attributes
    ----------
    status : HTTPStatus
    document : object
        Sent as JSON.
    headers : dict of str to str
    """

    status: HTTPStatus
    document: Any
    headers: dict[str, str] = field(default_factory=dict)


class Administration:
    """An ASGI application for `/metrics` and the admin paths.

    Parameters
    ----------
    metrics : Metrics
    get_configuration : callable
        Returns the current configuration, which holds the operators' keys.
    calls : LeaderCaller
    """

    __slots__ = ("_calls", "_get_configuration", "_metrics")

    def __init__(
        self,
        metrics: Metrics,
        get_configuration: Callable[[], Configuration],
        calls: LeaderCaller,
    ) -> None:
        self._metrics = metrics
        self._get_configuration = get_configuration
        self._calls = calls

    def serves(self, path: str) -> bool:
        """Return whether a path belongs to this application."""
        return path == "/metrics" or path.startswith(ADMIN_PREFIX)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request."""
        headers = _read_headers(scope)
        operator = self._find_operator(headers)
        path = scope["path"]
        if path == "/metrics" and (operator or _is_loopback(scope)):
            await _send(
                send,
                HTTPStatus.OK,
                self._metrics.render(),
                {"content-type": "text/plain; version=0.0.4; charset=utf-8"},
            )
            return
        if operator is None:
            response = _build_problem(
                HTTPStatus.UNAUTHORIZED, "an operator's bearer key is required"
            )
            response.headers["www-authenticate"] = "Bearer"
        else:
            response = await self._serve(scope, headers, receive, operator)
        await _send(
            send,
            response.status,
            json.dumps(response.document).encode(),
            {"content-type": "application/json", **response.headers},
        )

    async def _serve(
        self,
        scope: Scope,
        headers: Mapping[str, str],
        receive: Receive,
        operator: str,
    ) -> AdminResponse:
        method, path = scope["method"], scope["path"]
        methods = {
            CONFIG_PATH: ("GET", "PATCH"),
            HISTORY_PATH: ("GET",),
            STATUS_PATH: ("GET",),
        }.get(path)
        if methods is None:
            return _build_problem(
                HTTPStatus.NOT_FOUND, f"there is no path {path!r}"
            )
        if method not in methods:
            response = _build_problem(
                HTTPStatus.METHOD_NOT_ALLOWED,
                f"{path} doesn't accept {method}; use {' or '.join(methods)}",
            )
            response.headers["allow"] = ", ".join(methods)
            return response
        if path == STATUS_PATH:
            return await self._read_status()
        if path == HISTORY_PATH:
            return await self._read_history()
        if method == "GET":
            return await self._read_configuration()
        return await self._patch(headers, receive, operator)

    async def _read_configuration(self) -> AdminResponse:
        result = await self._calls.call(
            "ReadConfiguration", fleet_pb2.ReadRequest(), CALL_TIMEOUT_S
        )
        if isinstance(result, Err):
            return _build_unknown_outcome(result.err_value)
        reply = result.ok_value
        document = json.loads(reply.document or b"{}")
        return AdminResponse(
            HTTPStatus.OK, document, _build_etag_header(reply.version)
        )

    async def _read_history(self) -> AdminResponse:
        request = fleet_pb2.HistoryRequest(limit=MAX_HISTORY_ENTRIES)
        result = await self._calls.call("ReadHistory", request, CALL_TIMEOUT_S)
        if isinstance(result, Err):
            return _build_unknown_outcome(result.err_value)
        entries = [
            {
                "version": entry.version,
                "operator": entry.operator,
                "patch_id": entry.patch_id,
                "time_ms": entry.time_ms,
            }
            for entry in result.ok_value.entries
        ]
        return AdminResponse(HTTPStatus.OK, {"history": entries})

    async def _read_status(self) -> AdminResponse:
        result = await self._calls.call(
            "ReadStatus", fleet_pb2.StatusRequest(), CALL_TIMEOUT_S
        )
        if isinstance(result, Err):
            return _build_unknown_outcome(result.err_value)
        return AdminResponse(
            HTTPStatus.OK, json.loads(result.ok_value.document)
        )

    async def _patch(
        self, headers: Mapping[str, str], receive: Receive, operator: str
    ) -> AdminResponse:
        findings = _check_headers(headers)
        body = await _read_body(receive)
        if body is None:
            text = f"is larger than {MAX_PATCH_BYTES} bytes"
            findings.append(Finding("body", text))
        if findings or body is None:
            return _build_problem(
                HTTPStatus.BAD_REQUEST,
                f"{len(findings)} findings on the request",
                findings=[
                    _split_finding(str(finding)) for finding in findings
                ],
            )
        etag_match = _ETAG.fullmatch(headers["if-match"])
        assert etag_match is not None
        request = fleet_pb2.PatchRequest(
            patch_id=headers["hornbeamyard-patch-id"],
            base_version=int(etag_match[1]),
            patch=body,
            operator=operator,
        )
        result = await self._calls.call("SubmitPatch", request, CALL_TIMEOUT_S)
        if isinstance(result, Err):
            return _build_unknown_outcome(result.err_value)
        return _build_patch_response(result.ok_value)

    def _find_operator(self, headers: Mapping[str, str]) -> str | None:
        scheme, _, key = headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            return None
        return self._get_configuration().find_operator(key.strip())


def _check_headers(headers: Mapping[str, str]) -> list[Finding]:
    findings = []
    media_type = (
        headers.get("content-type", "").partition(";")[0].strip().lower()
    )
    if media_type != PATCH_TYPE:
        findings.append(Finding("header Content-Type", f"give {PATCH_TYPE}"))
    if _ETAG.fullmatch(headers.get("if-match", "")) is None:
        findings.append(
            Finding(
                "header If-Match",
                "give the ETag of the version that the patch is based on, "
                "such as '\"7\"'",
            )
        )
    if not _PATCH_ID.fullmatch(headers.get("hornbeamyard-patch-id", "")):
        findings.append(
            Finding(
                "header Hornbeamyard-Patch-Id",
                "give a unique id for each patch: 1 to 63 letters, digits, "
                "'.', '_' or '-'",
            )
        )
    return findings


def _build_patch_response(result: fleet_pb2.PatchResult) -> AdminResponse:
    if result.outcome == fleet_pb2.ACCEPTED:
        document = {"outcome": "accepted", "version": result.version}
        return AdminResponse(
            HTTPStatus.OK, document, _build_etag_header(result.version)
        )
    if result.outcome == fleet_pb2.STALE:
        response = _build_problem(
            HTTPStatus.PRECONDITION_FAILED,
            "the patch is based on an outdated version; the current version "
            f"is {result.version}",
            outcome="refused",
            version=result.version,
        )
        response.headers.update(_build_etag_header(result.version))
        return response
    if result.outcome == fleet_pb2.INVALID:
        return _build_problem(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            f"{len(result.findings)} findings on the patch",
            outcome="refused",
            version=result.version,
            findings=[_split_finding(text) for text in result.findings],
        )
    return _build_unknown_outcome("no decision is known yet")


def _build_unknown_outcome(reason: object) -> AdminResponse:
    response = _build_problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        f"outcome unknown; retry with the same patch id: {reason}",
        outcome="unknown",
    )
    response.headers["retry-after"] = "1"
    return response


def _build_problem(
    status: HTTPStatus, detail: str, **members: Any
) -> AdminResponse:
    """Return a problem document (RFC 9457)."""
    document = {
        "type": "about:blank",
        "title": status.phrase,
        "status": int(status),
        "detail": detail,
        **members,
    }
    return AdminResponse(
        status, document, {"content-type": "application/problem+json"}
    )


def _split_finding(finding: str) -> dict[str, str]:
    key_path, _, message = finding.partition(": ")
    return {"place": key_path, "message": message}


def _build_etag_header(version: int) -> dict[str, str]:
    return {"etag": f'"{version}"'}


def _read_headers(scope: Scope) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }


def _is_loopback(scope: Scope) -> bool:
    client = scope.get("client")
    if not client:
        return False
    try:
        return ipaddress.ip_address(client[0]).is_loopback
    except ValueError:
        return False


async def _read_body(receive: Receive) -> bytes | None:
    """Return the body, or None if it is too large or incomplete."""
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        part = message.get("body", b"")
        size += len(part)
        if size <= MAX_PATCH_BYTES:
            parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts) if size <= MAX_PATCH_BYTES else None


async def _send(
    send: Send, status: HTTPStatus, body: bytes, headers: dict[str, str]
) -> None:
    headers["content-length"] = str(len(body))
    await send(
        {
            "type": "http.response.start",
            "status": int(status),
            "headers": [
                (name.encode(), value.encode("latin-1", "replace"))
                for name, value in headers.items()
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})
