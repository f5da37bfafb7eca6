"""Stages of a request, and the error response when it fails."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from http import HTTPStatus

from .problem import Outcome, Problem

# Statuses that callers take for "not run".
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Stage(IntEnum):
    """How far a request has been processed.

    At `GRANTED`, the request has a slot for its next attempt. From `SENT` on,
    bytes may have reached the upstream; from `RESPONDING` on, the caller has
    got a part of the response.
    """

    RECEIVED = 0
    QUEUED = 1
    GRANTED = 2
    CONNECTING = 3
    SENT = 4
    RESPONDING = 5
    RESPONDED = 6


@dataclass(slots=True)
class AttemptFailure:
    """Why an attempt ended without a complete response.

    Attributes
    ----------
    stage : Stage
        The stage in which the attempt ended.
    reason : str
    refused : bool
        Whether the upstream reported that it didn't run the request.
    by_upstream : bool
        Whether the failure counts against the upstream.
    """

    stage: Stage
    reason: str
    refused: bool = False
    by_upstream: bool = True

    def may_have_run(self) -> bool:
        """Return whether the upstream may have run the request."""
        return self.stage >= Stage.SENT and not self.refused


def decide_outcome(may_have_run: bool, repeatable: bool) -> Outcome:
    """Return the outcome of a request without a complete response.

    Parameters
    ----------
    may_have_run : bool
        Whether any attempt of the request may have run.
    repeatable : bool
        Whether the request may safely be sent again.
    """
    if not may_have_run:
        return Outcome.NOT_RUN
    return Outcome.FAILED if repeatable else Outcome.UNKNOWN


def build_problem(
    outcome: Outcome, reason: str, retry_after_s: int = 1
) -> Problem:
    """Return the error response for an outcome."""
    if outcome is Outcome.NOT_RUN:
        return Problem(
            HTTPStatus.SERVICE_UNAVAILABLE, outcome, reason, retry_after_s
        )
    return Problem(HTTPStatus.BAD_GATEWAY, outcome, reason)


def build_error_event(outcome: Outcome, reason: str) -> bytes:
    """Return the server-sent event that ends an interrupted stream."""
    document = build_problem(outcome, reason).to_json()
    return b"event: error\ndata: " + document + b"\n\n"
