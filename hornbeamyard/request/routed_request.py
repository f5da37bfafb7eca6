"""State of a routed request in progress, and counters."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..connection.client import Framing
from ..pool.demand import RequestDemand
from ..version.routing import Pool, Route
from .headers import RequestMetadata
from .relay import BufferedResponse, Progress


@dataclass(slots=True)
class RequestCounts:
    """Counts of routed requests.

    Attributes
    ----------
    in_progress : int
    outcomes : dict of str to int
        Number of finished requests by outcome.
    """

    in_progress: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)

    def add(self, outcome: str) -> None:
        """Count a request with this outcome."""
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
        Empty on public routes.
    headers : list of (bytes, bytes)
        The caller's headers without those of its connection.
    method : str
    target : bytes
        Path and query.
    body : bytes
    received_at : float
        Monotonic time in seconds.
    deadline_at : float
        Monotonic time in seconds at which the request ends at the latest.
    demand : RequestDemand
    progress : Progress
    attempts : int
        Attempts that may have reached an upstream.
    may_have_run : bool
        Whether an upstream may have run the request.
    last_failure : BufferedResponse or None
        The latest error response of an upstream.
    excluded : frozenset of str
        Ids of upstreams at which an attempt has failed.
    last_upstream : str
        Id of the upstream of the last attempt; empty before the first one.
    first_event_ms : float
        Time from the last attempt's start to the first chunk of its response;
        0 before.
    framing : Framing or None
        Framing of the last attempt's response; None before its header.
    is_complete : bool
        Whether the end of the response was sent.
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
    last_upstream: str = ""
    first_event_ms: float = 0.0
    framing: Framing | None = None
    is_complete: bool = False

    def stream_id(self) -> str:
        """Return the id by which the caller resumes the response."""
        return self.metadata.resumes or self.metadata.request_id

    def is_resumed(self) -> bool:
        """Return whether the caller resumes a stream that began earlier."""
        metadata = self.metadata
        return self.route.resumable and bool(
            metadata.resumes or metadata.last_event_id
        )

    def find_last_event_id(self) -> str:
        """Return the event after which the stream continues, or ""."""
        if not self.route.resumable:
            return ""
        return self.progress.events.last_id or self.metadata.last_event_id

    def may_continue(self) -> bool:
        """Return whether another upstream may continue the response.

        It needs the id of the last event, and would repeat one that was sent
        in part or without an id.
        """
        events = self.progress.events
        return (
            self.route.resumable
            and bool(events.last_id)
            and events.is_last_numbered
            and not events.has_split_event
        )
