"""Demand that routers report for a pool, and slots that they are granted."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class AccountDemand:
    """Demand and service of one client account at a router.

    Attributes
    ----------
    waiting, waiting_priority : int
        Waiting requests; the second counts those on the priority path and
        is included in the first.
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
        Requests.
    excess_service_s : float
        How far the account's service divided by its share is above that of
        the lowest account, in seconds.
    priority_spent : bool
        Whether the account's priority path alone has used its share, so that
        its requests wait like others.
    rate : float or None
        Slots that an account with short requests may use on average; None
        when only `limit` applies.
    """

    limit: int
    excess_service_s: float
    priority_spent: bool = False
    rate: float | None = None


@dataclass(slots=True)
class Allocation:
    """Slots that a router may use, and its limits while the pool is contended.

    Attributes
    ----------
    granted : dict of str to int
        For each worker the slots granted since the router attached; a
        cumulative counter.
    closed : set of str
        Workers that take no new requests.
    target_slots : int
        Slots that the router should hold; it returns the excess when idle.
    recalled : bool
        Whether slots are scarce, so that slots above `target_slots` should
        be returned as soon as they are idle.
    contended : bool
        Whether `limits` apply.
    limits : dict of str to Limit
        By client account.
    """

    granted: dict[str, int] = field(default_factory=dict)
    closed: set[str] = field(default_factory=set)
    target_slots: int = 0
    recalled: bool = False
    contended: bool = False
    limits: dict[str, Limit] = field(default_factory=dict)
