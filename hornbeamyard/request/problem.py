"""Problem documents (RFC 9457), the error responses to callers."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import Any

from ..process.validation import Finding

Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class Outcome(Enum):
    """Outcome of a request that gets an error response.

    Attributes
    ----------
    NOT_RUN
        It has certainly not run.
    IN_PROGRESS
        A request with the same idempotency key is in progress.
    UNKNOWN
        It may have run, and sending it again may run it twice.
    FAILED
        It may have run, and it is safe to send it again.
    """

    NOT_RUN = "not-run"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclass(slots=True)
class Problem:
    """An error response.

    Attributes
    ----------
    status : HTTPStatus
    outcome : Outcome
    detail : str
    retry_after_s : int or None
        When the caller should try again, in seconds.
    findings : list of Finding
        All errors found in the request.
    """

    status: HTTPStatus
    outcome: Outcome
    detail: str
    retry_after_s: int | None = None
    findings: list[Finding] = field(default_factory=list)

    def to_json(self) -> bytes:
        """Return the document as JSON."""
        document: dict[str, object] = {
            "type": "about:blank",
            "title": self.status.phrase,
            "status": int(self.status),
            "outcome": self.outcome.value,
            "detail": self.detail,
        }
        if self.findings:
            document["findings"] = [
                {"place": finding.key_path, "message": finding.message}
                for finding in self.findings
            ]
        return json.dumps(document).encode()

    def list_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers of the response."""
        headers = [(b"content-type", b"application/problem+json")]
        if self.retry_after_s is not None:
            value = str(self.retry_after_s).encode()
            headers.append((b"retry-after", value))
        return headers


def build_findings_problem(findings: list[Finding]) -> Problem:
    """Return the response to a request that is itself invalid."""
    return Problem(
        HTTPStatus.BAD_REQUEST,
        Outcome.NOT_RUN,
        "; ".join(str(finding) for finding in findings),
        findings=findings,
    )


async def send_problem(
    send: Send, problem: Problem, close: bool = False
) -> None:
    """Send an error response; `close` ends the caller's connection."""
    headers = problem.list_headers()
    if close:
        headers.append((b"connection", b"close"))
    await send_response(send, problem.status, headers, problem.to_json())


async def send_json(send: Send, status: HTTPStatus, document: object) -> None:
    """Send a JSON document as a response."""
    headers = [(b"content-type", b"application/json")]
    await send_response(send, status, headers, json.dumps(document).encode())


async def send_response(
    send: Send,
    status: int,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> None:
    """Send a response whose body is in memory."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": int(status),
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})
