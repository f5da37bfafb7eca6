"""What routers report about a pool, and what they may use of it."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class AccountDemand:
    """What a router reported for one client account.

    Attributes
    ----------
    waiting, waiting_priority : int
        Requests that wait; the second counts those on the priority path and
        is part of the first.
    running : int
        Requests that occupy a slot.
    service_s : float
        Slot seconds since the start of the router.
    finished : int
        Requests finished since the start of the router.
    largest_s : float
        Largest cost of a finished request in slot seconds.
    priority_s : float
        The part of `service_s` that finished requests on the priority path
        took.
    """

    waiting: int = 0
    waiting_priority: int = 0
    running: int = 0
    service_s: float = 0.0
    finished: int = 0
    largest_s: float = 0.0
    priority_s: float = 0.0

    def count(self) -> int:
        """Return the number of requests that wait or run."""
        return self.waiting + self.running


@dataclass(slots=True)
class Limit:
    """How many requests of an account a router may run at the same time.

    Attributes
    ----------
    limit : int
    lead_s : float
        Normalised service of the account above the lowest one, in seconds.
    rate : float or None
        Slots that an account with short requests may use on average; None
        when only `limit` applies.
    priority_spent : bool
        Whether the account's priority path alone has used its share, so that
        its requests wait like others.
    """

    limit: int
    lead_s: float
    priority_spent: bool = False
    rate: float | None = None


@dataclass(slots=True)
class Allocation:
    """What a router may use: slots, and limits while contended.

    Attributes
    ----------
    granted : dict of str to int
        For each worker the slots granted since the router attached.
    closed : set of str
        Workers that take no new requests.
    target_slots : int
        Slots that the router should hold; it returns the excess when idle.
    recalled : bool
        Whether the excess over `hold` is scarce and should be returned as
        soon as it is idle.
    contended : bool
        Whether `limits` apply.
    limits : dict of str to Limit
    """

    granted: dict[str, int] = field(default_factory=dict)
    closed: set[str] = field(default_factory=set)
    target_slots: int = 0
    recalled: bool = False
    contended: bool = False
    limits: dict[str, Limit] = field(default_factory=dict)
