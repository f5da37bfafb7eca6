"""What callers, operators and the fault injector record for the checks.

All times are in seconds on the monotonic clock of the soak.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass, field

# A process counts as affected until this long after the end of a fault.
SETTLING_TIME_S = 3.0
# Kind of the faults of controllers that aren't there yet or no longer.
ABSENT = "absent"


@dataclass(slots=True)
class Request:
    """One request as its caller saw it.

    Attributes
    ----------
    id, kind, path : str
    digest : str
        SHA-256 digest of the request body, in hex.
    version : int
        Routing version whose route the path needs; 0 if all versions have
        the route.
    router : int
        Number of the router that the request was sent to.
    boot : int
        How often that router had been started by then.
    sent_at, ended_at : float
    newest_submitted : int
        Newest version that operators had submitted when the request ended.
    status : int
        HTTP status; 0 if no response began.
    headers : dict of str to str
        Response headers, with names in lower case.
    body : bytes
        Response body as far as it was received.
    complete : bool
        Whether the response ended as complete.
    abandoned : bool
        Whether the caller disconnected before the end.
    resumes : str
        Id of the request that began the stream which this one continues;
        empty for a new request.
    last_event : int
        Number of the last event of that stream that the caller had got.
    crashing : bool
        Whether its prompt has the part that crashes upstreams.
    repeated : bool
        Whether it is the request that crashes upstreams, sent once more.
    """

    id: str
    kind: str
    path: str
    digest: str
    version: int
    router: int
    boot: int
    sent_at: float
    ended_at: float = 0.0
    newest_submitted: int = 0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    abandoned: bool = False
    resumes: str = ""
    last_event: int = 0
    crashing: bool = False
    repeated: bool = False

    def count_events(self) -> int:
        """Return the number of complete events that were received."""
        return self.body.count(b"\n\n")


@dataclass(slots=True)
class Submission:
    """One attempt to submit a routing.

    Attributes
    ----------
    version : int
    digest : str
        SHA-256 digest of the routing document, in hex.
    valid : bool
        Whether a controller should accept the document.
    status : int
        HTTP status; 0 without a response.
    answered_at : float
        When the attempt ended, with or without a response.
    """

    version: int
    digest: str
    valid: bool
    status: int
    answered_at: float


@dataclass(slots=True)
class ReadResult:
    """The result of one successful read of the routing.

    Attributes
    ----------
    controller : str
        Name of the controller that was asked.
    sent_at : float
    version : int
    digest : str
        SHA-256 digest of the routing document, in hex.
    """

    controller: str
    sent_at: float
    version: int
    digest: str


@dataclass(slots=True)
class FaultRecord:
    """A fault and the process that it affects.

    Attributes
    ----------
    kind : str
    target : str
        Name of the process.
    started_at : float
    affects_until : float
        End of the fault and of the time to settle after it; infinite while
        the fault lasts.
    """

    kind: str
    target: str
    started_at: float
    affects_until: float = float("inf")


@dataclass(slots=True)
class Order:
    """An operator's order about the evacuation of the other zone.

    Attributes
    ----------
    evacuated : bool
        Whether the zone is to be evacuated or restored.
    sent_at : float
        When it was sent for the first time.
    acknowledged_at : float or None
    """

    evacuated: bool
    sent_at: float
    acknowledged_at: float | None = None


@dataclass(slots=True)
class Crowd:
    """A crowd of clients at a process, and an ordinary request after it.

    Attributes
    ----------
    target : str
        Name of the process.
    began_at, left_at, ended_at : float
        Times of the crowd's arrival and departure and of the response to the
        ordinary request, or when no more was sent.
    answered : bool
        Whether the process answered the ordinary request.
    """

    target: str
    began_at: float
    left_at: float = 0.0
    ended_at: float = 0.0
    answered: bool = False


@dataclass(slots=True)
class Records:
    """Everything that was recorded in one run of the soak.

    Attributes
    ----------
    requests : list of Request
    submissions : list of Submission
    reads : list of ReadResult
    faults : list of FaultRecord
    orders : list of Order
    crowds : list of Crowd
    newest_submitted : int
        Newest valid version that operators have submitted.
    newest_acknowledged : int
        Newest version that a controller has acknowledged.
    """

    requests: list[Request] = field(default_factory=list)
    submissions: list[Submission] = field(default_factory=list)
    reads: list[ReadResult] = field(default_factory=list)
    faults: list[FaultRecord] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    crowds: list[Crowd] = field(default_factory=list)
    newest_submitted: int = 0
    newest_acknowledged: int = 0

    def begin(self, kind: str, target: str) -> FaultRecord:
        """Record that a fault begins to affect a process."""
        fault = FaultRecord(kind, target, time.monotonic())
        self.faults.append(fault)
        return fault

    def end(self, faults: Iterable[FaultRecord]) -> None:
        """Record the end of faults, after which their processes settle."""
        for fault in faults:
            fault.affects_until = time.monotonic() + SETTLING_TIME_S

    def is_affected(
        self,
        target: str,
        since: float,
        until: float,
        ignored_kinds: tuple[str, ...] = (),
    ) -> bool:
        """Return whether a fault affected a process in a time interval.

        Parameters
        ----------
        target : str
            Name of the process.
        since, until : float
        ignored_kinds : tuple of str, optional
            Kinds of faults that don't count.
        """
        return any(
            fault.target == target
            and fault.kind not in ignored_kinds
            and fault.started_at <= until
            and fault.affects_until >= since
            for fault in self.faults
        )
