"""A routed request in progress."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..pool.demand import Demand
from ..version.routing import Pool, Route
from .dialect import RequestFacts
from .relay import Progress, WholeAnswer


@dataclass(slots=True)
class Counts:
    """Counters of the request path.

    Attributes
    ----------
    in_progress : int
    answers : dict of str to int
        By outcome.
    """

    in_progress: int = 0
    answers: dict[str, int] = field(default_factory=dict)

    def add(self, outcome: str) -> None:
        """Count an outcome."""
        self.answers[outcome] = self.answers.get(outcome, 0) + 1


@dataclass(slots=True)
class Call:
    """One routed request in progress.

    Attributes
    ----------
    facts : RequestFacts
    route : Route
    pool : Pool
    account : str
    headers : list
        The caller's, for upstreams.
    method, target, body
    received_at, ends_at : float
        Monotonic seconds; the answer is final at `ends_at`.
    demand : Demand
    progress : Progress
    tries : int
        Upstreams that the request was sent to.
    may_have_run : bool
    answer : WholeAnswer or None
        The newest failure that an upstream has answered.
    excluded : frozenset of str
        Upstreams that have failed the request.
    is_answered : bool
        Whether the end of the answer was sent.
    """

    facts: RequestFacts
    route: Route
    pool: Pool
    account: str
    headers: list[tuple[bytes, bytes]]
    method: str
    target: bytes
    body: bytes
    received_at: float
    ends_at: float
    demand: Demand
    progress: Progress = field(default_factory=Progress)
    tries: int = 0
    may_have_run: bool = False
    answer: WholeAnswer | None = None
    excluded: frozenset[str] = frozenset()
    is_answered: bool = False
