"""A routed request in progress."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..pool.demand import RequestDemand
from ..version.routing import Pool, Route
from .headers import RequestMetadata
from .relay import BufferedResponse, Progress


@dataclass(slots=True)
class RequestCounts:
    """Counters of the request path.

    Attributes
    ----------
    in_progress : int
    outcomes : dict of str to int
        By outcome.
    """

    in_progress: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)

    def add(self, outcome: str) -> None:
        """Count an outcome."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


@dataclass(slots=True)
class RoutedRequest:
    """One routed request in progress.

    Attributes
    ----------
    metadata : RequestMetadata
    route : Route
    pool : Pool
    account : str
    headers : list
        The caller's, for upstreams.
    method, target, body
    received_at, deadline_at : float
        Monotonic seconds; the answer is final at `ends_at`.
    demand : RequestDemand
    progress : Progress
    attempts : int
        Upstreams that the request was sent to.
    may_have_run : bool
    last_failure : BufferedResponse or None
        The newest failure that an upstream has answered.
    excluded : frozenset of str
        Upstreams that have failed the request.
    is_complete : bool
        Whether the end of the answer was sent.
    """

    metadata: RequestMetadata
    route: Route
    pool: Pool
    account: str
    headers: list[tuple[bytes, bytes]]
    method: str
    target: bytes
    body: bytes
    received_at: float
    deadline_at: float
    demand: RequestDemand
    progress: Progress = field(default_factory=Progress)
    attempts: int = 0
    may_have_run: bool = False
    last_failure: BufferedResponse | None = None
    excluded: frozenset[str] = frozenset()
    is_complete: bool = False
