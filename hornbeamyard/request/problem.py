"""Problem documents (RFC 9457) for callers."""

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
    """What became of a request that got no answer from an upstream."""

    NOT_RUN = "not-run"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclass(slots=True)
class Problem:
    """An error answer.

    Attributes
    ----------
    status : HTTPStatus
    outcome : Outcome
    detail : str
    retry_after_s : int or None
        When to come back, in seconds.
    findings : list of Finding
        Everything that is wrong with the request.
    """

    status: HTTPStatus
    outcome: Outcome
    detail: str
    retry_after_s: int | None = None
    findings: list[Finding] = field(default_factory=list)

    def to_json(self) -> bytes:
        """Return the document."""
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
        """Return the headers of the answer."""
        headers = [(b"content-type", b"application/problem+json")]
        if self.retry_after_s is not None:
            value = str(self.retry_after_s).encode()
            headers.append((b"retry-after", value))
        return headers


def build_findings_problem(findings: list[Finding]) -> Problem:
    """Return the answer to a request with faults in its own text."""
    return Problem(
        HTTPStatus.BAD_REQUEST,
        Outcome.NOT_RUN,
        "; ".join(str(finding) for finding in findings),
        findings=findings,
    )


async def send_problem(
    send: Send, problem: Problem, close: bool = False
) -> None:
    """Send an error answer; `close` ends the caller's connection."""
    headers = problem.list_headers()
    if close:
        headers.append((b"connection", b"close"))
    await send_response(send, problem.status, headers, problem.to_json())


async def send_json(send: Send, status: HTTPStatus, document: object) -> None:
    """Send a JSON document."""
    headers = [(b"content-type", b"application/json")]
    await send_response(send, status, headers, json.dumps(document).encode())


async def send_response(
    send: Send,
    status: int,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> None:
    """Send an answer that is in memory."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": int(status),
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})
