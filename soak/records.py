"""What callers, operators and the fault injector saw, for the checks."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Request:
    """One request as its caller saw it.

    Attributes
    ----------
    id, kind, path : str
    digest : str
        Of the body that was sent.
    version : int
        Routing version that the path needs; 0 for lasting routes.
    router, boot : int
        Where it was sent, and in which run of that process.
    sent_at, ended_at : float
        On the soak's monotonic clock.
    newest_submitted : int
        Newest version that operators had submitted when the reply came.
    status : int
        0 when no answer began.
    headers : dict of str to str
    body : bytes
    whole : bool
        Whether the answer ended as complete.
    abandoned : bool
        Whether the caller left before the end.
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
    whole: bool = False
    abandoned: bool = False


@dataclass(slots=True)
class Submission:
    """One try to submit a routing.

    Attributes
    ----------
    version : int
    digest : str
        Of the document.
    valid : bool
    status : int
        0 without an answer.
    answered_at : float
    """

    version: int
    digest: str
    valid: bool
    status: int
    answered_at: float


@dataclass(slots=True)
class Reading:
    """One answered read of the routing."""

    controller: int
    sent_at: float
    version: int
    digest: str


@dataclass(slots=True)
class Harm:
    """A fault and what it touched.

    Attributes
    ----------
    kind, target : str
        The target is a process.
    from_s, until_s : float
    """

    kind: str
    target: str
    from_s: float
    until_s: float = float("inf")


@dataclass(slots=True)
class Records:
    """Everything that one run of the soak saw."""

    requests: list[Request] = field(default_factory=list)
    submissions: list[Submission] = field(default_factory=list)
    readings: list[Reading] = field(default_factory=list)
    harms: list[Harm] = field(default_factory=list)
    newest_submitted: int = 0
    newest_acknowledged: int = 0

    def is_harmed(
        self, target: str, since: float, until: float, but: str = ""
    ) -> bool:
        """Return whether a fault other than `but` touched a process."""
        return any(
            harm.target == target
            and harm.kind != but
            and harm.from_s <= until
            and harm.until_s >= since
            for harm in self.harms
        )
