"""What the schedule knows of workers, accounts and routers."""

from __future__ import annotations

from dataclasses import dataclass, field

from . import constants
from .allocation import AccountDemand, Allocation


@dataclass(slots=True)
class AllocationChange:
    """An allocation that changed.

    Attributes
    ----------
    allocation : Allocation
    urgent : bool
        Whether it can't wait for the next renewal.
    """

    allocation: Allocation
    urgent: bool


@dataclass(slots=True)
class WorkerRecord:
    """A worker's slots and how many of them routers hold."""

    slots: int
    availability_zone: str
    open: bool = True
    # Slots held by routers.
    outstanding: int = 0

    def count_free(self) -> int:
        """Return the slots that may be granted."""
        return max(0, self.slots - self.outstanding) if self.open else 0

    def takes_requests(self) -> bool:
        """Return whether slots may be reused for new requests.

        After a partition more slots may be in use than the worker has.
        They are returned as requests end, until the worker isn't overloaded.
        """
        return self.open and self.outstanding <= self.slots


@dataclass(slots=True)
class AccountRecord:
    """Demand, service and tag of a client account over all routers."""

    share: float = 1.0
    # Normalised service that is forgiven (negative) or not earned while idle.
    offset: float = 0.0
    service_s: float = 0.0
    waiting: int = 0
    waiting_priority: int = 0
    running: int = 0
    # Sum over routers of running requests times the time of their report.
    running_time_sum: float = 0.0
    backlogged: bool = False
    # Tag above the lowest one at the last plan.
    lead_s: float = 0.0
    # Normalised service of the priority path, and whether it has used the
    # account's share.
    priority_tag: float = 0.0
    priority_spent: bool = False
    finished: int = 0
    # Slots of the last division.
    entitled: float = 0.0

    def compute_tag(self, now: float) -> float:
        """Return the normalised service in seconds."""
        accrued = self.running * now - self.running_time_sum
        return self.offset + (self.service_s + accrued) / self.share

    def set_tag(self, tag: float, now: float) -> None:
        """Continue from a tag, in normalised seconds."""
        self.offset += tag - self.compute_tag(now)

    def update_priority_spent(self, lowest: float) -> None:
        """Let the priority path use the account's share, not more.

        The lowest tag grows as fast as the service of an account that uses
        its share, so an account's lead doesn't grow by its priority path.
        """
        self.priority_tag = max(
            self.priority_tag, lowest - constants.PRIORITY_LEAD_S
        )
        self.priority_spent = self.priority_tag > lowest

    def count_demand(self) -> int:
        """Return the number of requests that wait or run."""
        return self.waiting + self.running

    def has_short_requests(self) -> bool:
        """Return whether messages are slow against the mean cost."""
        if self.finished == 0:
            return False
        return self.service_s / self.finished < constants.SHORT_REQUEST_S

    def add(self, demand: AccountDemand, at: float, sign: int) -> None:
        """Add a demand (`sign` 1) or take it away (-1)."""
        self.waiting += sign * demand.waiting
        self.waiting_priority += sign * demand.waiting_priority
        self.running += sign * demand.running
        self.running_time_sum += sign * demand.running * at


@dataclass(slots=True)
class Reported:
    """What a router reported last for an account, and when."""

    demand: AccountDemand
    at: float


@dataclass(slots=True)
class RouterRecord:
    """What a router reported and what it was given."""

    availability_zone: str
    incarnation: int
    reported: dict[str, Reported] = field(default_factory=dict)
    granted: dict[str, int] = field(default_factory=dict)
    returned: dict[str, int] = field(default_factory=dict)
    limits: dict[str, int] = field(default_factory=dict)
    sent: Allocation | None = None
    # Slots that the last plan gives to the router, and that it may keep.
    wanted: int = 0
    reported_at: float = 0.0
    target_slots: int = 0
    # Requests finished in a second, by account.
    rates: dict[str, float] = field(default_factory=dict)
    # Mean number of slots in use.
    usage: float = 0.0
    usage_at: float | None = None
    lost_at: float | None = None

    def count_held(self, worker: str) -> int:
        """Return the slots of a worker that the router holds."""
        return self.granted.get(worker, 0) - self.returned.get(worker, 0)

    def count_all_held(self) -> int:
        """Return the slots that the router holds."""
        return sum(self.granted.values()) - sum(self.returned.values())

    def update_rate(self, account: str, finished: int, span_s: float) -> None:
        """Blend the requests finished since the last report into the mean."""
        if span_s <= 0:
            return
        rate = self.rates.get(account, 0.0)
        weight = min(1.0, span_s / constants.RATE_WINDOW_S)
        self.rates[account] = rate + weight * (finished / span_s - rate)

    def compute_offered(self, accounts: set[str]) -> dict[str, float]:
        """Return the requests offered in a control interval."""
        return {
            name: self.rates.get(name, 0.0) * constants.REPORT_INTERVAL_S
            + reported.demand.count()
            for name, reported in self.reported.items()
            if name in accounts and reported.demand.count() > 0
        }

    def update_usage(self, now: float) -> None:
        """Blend the slots in use since the last report into the mean."""
        running = self.count_running()
        if self.usage_at is None:
            self.usage, self.usage_at = float(running), now
            return
        weight = min(1.0, (now - self.usage_at) / constants.USAGE_WINDOW_S)
        self.usage += weight * (running - self.usage)
        self.usage_at = now

    def count_running(self) -> int:
        """Return the running requests that were reported."""
        return sum(r.demand.running for r in self.reported.values())

    def count_waiting(self, accounts: set[str]) -> int:
        """Return the waiting requests of some accounts."""
        return sum(
            reported.demand.waiting
            for name, reported in self.reported.items()
            if name in accounts
        )

    def update_allocation(
        self, allocation: Allocation, priority_waits: bool = False
    ) -> AllocationChange | None:
        """Return a change to send, or None when nothing differs.

        A change that can't wait for the next renewal grants slots, closes
        workers or asks for idle slots, or for any slot while a request
        waits on the priority path.
        """
        sent = self.sent
        if allocation == sent:
            return None
        self.sent = allocation
        urgent = (
            sent is None
            or allocation.granted != sent.granted
            or allocation.closed != sent.closed
            or (priority_waits and allocation.target_slots < sent.target_slots)
            or (
                allocation.recalled
                and not sent.recalled
                and self.count_all_held() > allocation.target_slots
            )
            or (
                allocation.contended
                and not sent.contended
                and self.count_all_held() > self.count_running()
            )
        )
        return AllocationChange(allocation, urgent)

    def count_demand(self) -> int:
        """Return the number of requests that wait or run."""
        return sum(
            reported.demand.waiting + reported.demand.running
            for reported in self.reported.values()
        )
