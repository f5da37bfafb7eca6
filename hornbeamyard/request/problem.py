"""Problem documents (RFC 9457) for callers."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus


class Outcome(Enum):
    """What became of a request that got no answer from an upstream."""

    NOT_RUN = "not-run"
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
    """

    status: HTTPStatus
    outcome: Outcome
    detail: str
    retry_after_s: int | None = None

    def to_json(self) -> bytes:
        """Return the document."""
        document = {
            "type": "about:blank",
            "title": self.status.phrase,
            "status": int(self.status),
            "outcome": self.outcome.value,
            "detail": self.detail,
        }
        return json.dumps(document).encode()

    def list_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers of the answer."""
        headers = [(b"content-type", b"application/problem+json")]
        if self.retry_after_s is not None:
            value = str(self.retry_after_s).encode()
            headers.append((b"retry-after", value))
        return headers
