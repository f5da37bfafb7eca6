"""Records of workers, accounts and routers that a schedule keeps."""

from __future__ import annotations

from dataclasses import dataclass, field

from . import constants
from .allocation import AccountDemand, Allocation


@dataclass(slots=True)
class AllocationChange:
    """A changed allocation of a router.

    Attributes
    ----------
    allocation : Allocation
    urgent : bool
        Whether it should be sent at once, not with the next lease renewal.
    """

    allocation: Allocation
    urgent: bool


@dataclass(slots=True)
class WorkerRecord:
    """A worker's slots and how many of them routers hold.

    Attributes
    ----------
    slots : int
    availability_zone : str
    open : bool
        Whether it takes new requests.
    outstanding : int
        Slots held by routers.
    """

    slots: int
    availability_zone: str
    open: bool = True
    outstanding: int = 0

    def count_free(self) -> int:
        """Return the number of slots that may be granted."""
        return max(0, self.slots - self.outstanding) if self.open else 0

    def accepts_requests(self) -> bool:
        """Return whether routers may start new requests in held slots.

        After a partition routers may hold more slots than the worker has.
        Slots then go back as their requests end, until they fit again.
        """
        return self.open and self.outstanding <= self.slots


@dataclass(slots=True)
class AccountRecord:
    """Demand, service and tag of a client account over all routers.

    The tag is the account's normalised service, that is slot seconds divided
    by its share, as in fair queueing.

    Attributes
    ----------
    share : float
        Weight of the account relative to others.
    offset : float
        Normalised seconds added to the tag: negative for debt beyond the
        limit, positive for idle time that earns no service.
    service_s : float
        Slot seconds reported so far.
    waiting, waiting_priority, running : int
        Requests as of the newest reports.
    running_time_sum : float
        Sum over routers of running requests times the time of their report,
        in monotonic seconds.
    backlogged : bool
        Whether requests waited at the last plan.
    excess_service_s : float
        Tag minus the lowest one at the last plan.
    priority_tag : float
        Normalised service of the priority path in seconds.
    priority_spent : bool
        Whether the priority path alone has used the account's share.
    finished : int
        Finished requests.
    entitled : float
        Slots of the last division.
    """

    share: float = 1.0
    offset: float = 0.0
    service_s: float = 0.0
    waiting: int = 0
    waiting_priority: int = 0
    running: int = 0
    running_time_sum: float = 0.0
    backlogged: bool = False
    excess_service_s: float = 0.0
    priority_tag: float = 0.0
    priority_spent: bool = False
    finished: int = 0
    entitled: float = 0.0

    def compute_tag(self, now: float) -> float:
        """Return the tag in normalised seconds."""
        accrued = self.running * now - self.running_time_sum
        return self.offset + (self.service_s + accrued) / self.share

    def set_tag(self, tag: float, now: float) -> None:
        """Set the tag in normalised seconds."""
        self.offset += tag - self.compute_tag(now)

    def update_priority_spent(self, lowest: float) -> None:
        """Decide whether the priority path has used the account's share.

        The lowest tag grows as fast as the normalised service of an account
        that uses exactly its share, so the path may use that share and up to
        `PRIORITY_CREDIT_S` saved from before.

        Parameters
        ----------
        lowest : float
            Lowest tag of the accounts with waiting requests.
        """
        self.priority_tag = max(
            self.priority_tag, lowest - constants.PRIORITY_CREDIT_S
        )
        self.priority_spent = self.priority_tag > lowest

    def count_demand(self) -> int:
        """Return the number of requests that wait or run."""
        return self.waiting + self.running

    def has_short_requests(self) -> bool:
        """Return whether requests end faster than messages can move slots."""
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
    """A router's last report on an account, and its monotonic time."""

    demand: AccountDemand
    at: float


@dataclass(slots=True)
class RouterRecord:
    """What a router reported and what it was granted.

    Attributes
    ----------
    availability_zone : str
    incarnation : int
        Differs for each start of the router's process.
    reported : dict of str to Reported
        By account.
    granted, returned : dict of str to int
        For each worker the slots granted and returned since the router
        attached.
    limits : dict of str to int
        Limits of accounts in the last plan.
    sent : Allocation or None
        The last allocation handed out for sending.
    wanted : int
        Slots up to which the router is granted free ones.
    reported_at : float
        Monotonic time of the last report.
    target_slots : int
        Slots that the router may keep, as of the last plan.
    rates : dict of str to float
        Mean number of requests finished in a second, by account.
    usage : float
        Mean number of slots in use, as of `usage_at`.
    usage_at : float or None
        Monotonic time of the last update of `usage`.
    lost_at : float or None
        Time at which its stream broke; None while it is attached.
    """

    availability_zone: str
    incarnation: int
    reported: dict[str, Reported] = field(default_factory=dict)
    granted: dict[str, int] = field(default_factory=dict)
    returned: dict[str, int] = field(default_factory=dict)
    limits: dict[str, int] = field(default_factory=dict)
    sent: Allocation | None = None
    wanted: int = 0
    reported_at: float = 0.0
    target_slots: int = 0
    rates: dict[str, float] = field(default_factory=dict)
    usage: float = 0.0
    usage_at: float | None = None
    lost_at: float | None = None

    def count_held(self, worker: str) -> int:
        """Return the slots of a worker that the router holds."""
        return self.granted.get(worker, 0) - self.returned.get(worker, 0)

    def count_held_total(self) -> int:
        """Return the slots that the router holds."""
        return sum(self.granted.values()) - sum(self.returned.values())

    def update_rate(self, account: str, finished: int, span_s: float) -> None:
        """Update an account's mean rate of finished requests.

        Parameters
        ----------
        account : str
        finished : int
            Requests finished since the last report.
        span_s : float
            Time since that report.
        """
        if span_s <= 0:
            return
        rate = self.rates.get(account, 0.0)
        weight = min(1.0, span_s / constants.RATE_WINDOW_S)
        self.rates[account] = rate + weight * (finished / span_s - rate)

    def compute_offered(self, accounts: set[str]) -> dict[str, float]:
        """Return the requests offered in a report interval, by account."""
        return {
            name: self.rates.get(name, 0.0) * constants.REPORT_INTERVAL_S
            + reported.demand.count()
            for name, reported in self.reported.items()
            if name in accounts and reported.demand.count() > 0
        }

    def update_usage(self, now: float) -> None:
        """Update the mean number of slots in use."""
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

        A change is urgent when it grants slots, closes workers or recalls
        idle slots, or when it lowers the router's target while a request
        waits on a priority path.
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
                and self.count_held_total() > allocation.target_slots
            )
            or (
                allocation.contended
                and not sent.contended
                and self.count_held_total() > self.count_running()
            )
        )
        return AllocationChange(allocation, urgent)

    def count_demand(self) -> int:
        """Return the number of requests that wait or run."""
        return sum(
            reported.demand.waiting + reported.demand.running
            for reported in self.reported.values()
        )
