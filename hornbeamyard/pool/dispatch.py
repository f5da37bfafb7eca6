"""Dispatch of one pool's requests at a router.

Decides which request starts next and on which worker, within the slots and
limits that the lead controller allocates.
"""

from __future__ import annotations

import statistics
from collections.abc import Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from . import constants
from .account import LocalAccount
from .allocation import AccountDemand, Allocation, Limit
from .backlog import Backlog, QueueBounds, QueueFull, Ticket
from .held_slots import HeldSlots
from .worker import WorkerChoice, WorkerRegistry

# Weight of the newest value in running means of costs and gaps.
SAMPLE_WEIGHT = 0.1
# Bounds of Retry-After.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


@dataclass(slots=True)
class DeadlineUnmet:
    """A request was not queued because it can't start in time.

    Attributes
    ----------
    client_account : str
    expected_wait_s, deadline_s : float
        Expected and allowed time until it starts.
    """

    client_account: str
    expected_wait_s: float
    deadline_s: float

    def __str__(self) -> str:
        return (
            f"a request of client account {self.client_account!r} would "
            f"wait about {self.expected_wait_s:.1f} s, longer than its "
            f"deadline of {self.deadline_s:.1f} s"
        )


@dataclass(slots=True)
class StartedRequest:
    """A request that got a slot of a worker.

    Attributes
    ----------
    ticket : Ticket
    worker : str
        Name of the worker.
    started_at : float
        Monotonic time in seconds.
    """

    ticket: Ticket
    worker: str
    started_at: float


class Dispatch:
    """Decides which requests of one pool start at a router, and where.

    Parameters
    ----------
    pool : str
        Name of the model or service.
    availability_zone : str
        The router's own availability zone.
    registry : WorkerRegistry
        Workers known to the router.
    bounds : QueueBounds, optional
        Limits of queues of accounts that have none of their own.

    Attributes
    ----------
    backlog : Backlog
        Waiting requests.
    held_slots : HeldSlots
    choice : WorkerChoice
    """

    __slots__ = (
        "_accounts",
        "_changed_accounts",
        "_contended",
        "_idle_window_at",
        "_last_end_at",
        "_limits",
        "_max_borrow_excess_s",
        "_mean_gap_s",
        "_min_idle_slots",
        "_registry",
        "_reported",
        "_reported_at",
        "_reported_slots",
        "_shares",
        "_spare_slots",
        "backlog",
        "choice",
        "held_slots",
        "pool",
    )

    def __init__(
        self,
        pool: str,
        availability_zone: str,
        registry: WorkerRegistry,
        bounds: QueueBounds | None = None,
    ) -> None:
        self.pool = pool
        self.backlog = Backlog(bounds or QueueBounds())
        self.held_slots = HeldSlots()
        self.choice = WorkerChoice(availability_zone)
        self._registry = registry
        self._accounts: dict[str, LocalAccount] = {}
        self._shares: Mapping[str, float] = {}
        self._max_borrow_excess_s = 0.0
        self._contended = False
        self._limits: dict[str, Limit] = {}
        # Last end of a request, and running mean of the time between two
        # ends, over all accounts.
        self._last_end_at: float | None = None
        self._mean_gap_s: float | None = None
        # Minimum of idle slots in the present window, the window's start,
        # and the minimum in the last complete window.
        self._min_idle_slots = 0
        self._idle_window_at = 0.0
        self._spare_slots = 0
        self._reported_at = 0.0
        # Accounts with demand, or with changes since the last report, in a
        # fixed order. A report that looks at all accounts took 50 ms with
        # 16,000 of them.
        self._changed_accounts: dict[str, None] = {}
        self._reported: dict[str, AccountDemand] = {}
        self._reported_slots: dict[str, tuple[int, int]] = {}

    # ---- requests --------------------------------------------------------

    def submit(
        self, ticket: Ticket, now: float
    ) -> Result[None, QueueFull | DeadlineUnmet]:
        """Queue a request, or refuse it when it can't start in time."""
        account = self._get_account(ticket.client_account)
        expected = self.estimate_wait(ticket.client_account)
        if not ticket.priority and now + expected > ticket.start_by:
            return Err(
                DeadlineUnmet(
                    ticket.client_account, expected, ticket.start_by - now
                )
            )
        pushed = self.backlog.push(ticket)
        if isinstance(pushed, Err):
            return pushed
        self._changed_accounts[ticket.client_account] = None
        self._mark_backlogged(account, now)
        return Ok(None)

    def resubmit(self, ticket: Ticket, now: float) -> None:
        """Queue a request at the front again after a failed attempt."""
        self.backlog.push(ticket, front=True)
        self._changed_accounts[ticket.client_account] = None
        self._mark_backlogged(self._get_account(ticket.client_account), now)

    def start_next(self, now: float) -> StartedRequest | None:
        """Start the next request in an idle slot; return None without one."""
        idle = self.held_slots.count_idle()
        if not len(self.backlog) or idle <= 0:
            self._track_idle_slots(idle, now)
            return None
        for name in self._order_accounts(now):
            ticket = self.backlog.pop(name)
            worker = self._choose_worker(ticket, now)
            if worker is None:
                self.backlog.push(ticket, front=True)
                continue
            account = self._accounts[name]
            account.running += 1
            account.started_sum += now
            waiting = self.backlog.count_waiting(name)
            account.backlogged = waiting > 0
            self.held_slots.acquire(worker)
            return StartedRequest(ticket, worker, now)
        self._track_idle_slots(idle, now)
        return None

    def finish(self, started: StartedRequest, now: float) -> None:
        """Free the slot of a request that ended, and charge its account."""
        account = self._accounts[started.ticket.client_account]
        cost = now - started.started_at
        account.running -= 1
        account.started_sum -= started.started_at
        account.service_s += cost
        account.finished += 1
        if started.ticket.priority:
            account.priority_s += cost
        account.largest_s = max(account.largest_s, cost)
        account.mean_cost_s = _update_mean(account.mean_cost_s, cost)
        if account.last_end_at is not None:
            gap = now - account.last_end_at
            account.mean_gap_s = _update_mean(account.mean_gap_s, gap)
        account.last_end_at = now
        if self._last_end_at is not None:
            gap = now - self._last_end_at
            self._mean_gap_s = _update_mean(self._mean_gap_s, gap)
        self._last_end_at = now
        self.held_slots.release(started.worker)

    def estimate_wait(self, client_account: str) -> float:
        """Estimate how long a new request of an account will wait.

        It follows from the rate at which the account's requests end.

        Returns
        -------
        float
            Seconds; 0 when nothing waits or the rate is not known yet.
        """
        waiting = self.backlog.count_waiting(client_account)
        account = self._accounts.get(client_account)
        if waiting == 0 or account is None or account.mean_gap_s is None:
            return 0.0
        return waiting * account.mean_gap_s

    def compute_retry_after(self, client_account: str) -> int:
        """Return the seconds after which a refused caller should retry."""
        wait = self.estimate_wait(client_account) / 2
        bounded = min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return round(bounded)

    # ---- allocations -----------------------------------------------------

    def set_shares(self, shares: Mapping[str, float], now: float) -> None:
        """Set the shares of client accounts; their tags don't change.

        All pools share one mapping. An account gets an entry at its first
        request, because most accounts use few of the pools.
        """
        self._shares = shares
        for name, account in self._accounts.items():
            tag = account.compute_tag(now)
            account.share = shares.get(name, account.share)
            account.set_tag(tag, now)

    def apply(self, allocation: Allocation, now: float) -> None:
        """Apply an allocation from the lead controller."""
        self.held_slots.apply(allocation)
        self._contended = allocation.contended
        self._limits = allocation.limits
        excess_service = [
            limit.excess_service_s for limit in allocation.limits.values()
        ]
        if excess_service:
            median = statistics.median(excess_service)
            self._max_borrow_excess_s = median + constants.BORROW_MARGIN_S
        for name, limit in allocation.limits.items():
            self._get_account(name).set_tag(limit.excess_service_s, now)

    def enter_fallback(self, rank: int, routers: int, now: float) -> None:
        """Use the fallback share while no allocation is valid.

        Only workers that answered a recent probe are used, because this
        router doesn't hear from the lead controller which workers leave.

        Parameters
        ----------
        rank : int
            Index of this router among the routers last known, from 0.
        routers : int
            Number of routers last known, at least 1.
        now : float
            Monotonic time in seconds.
        """
        workers = [
            worker
            for worker in self._registry.list_workers(self.pool)
            if self._registry.is_ready(worker.name, now)
        ]
        self._contended = False
        self._limits = {}
        self.held_slots.enter_fallback(workers, rank, routers)

    def is_urgent(self, now: float) -> bool:
        """Return whether a report should be sent at once.

        It should when a slot is idle that another router may use, or when a
        request waits that was not reported and that no slot of this router
        will soon take.
        """
        if self.held_slots.is_fallback():
            return False
        idle = self.held_slots.count_idle()
        if idle > 0 and self.held_slots.is_recalled():
            return True
        if idle > 0 and self._contended and self.held_slots.has_excess():
            return True
        if self._contended and min(idle, self._spare_slots) > 0:
            return True
        return self.needs_plan(now)

    def needs_plan(self, now: float) -> bool:
        """Return whether the pool should be planned before its interval."""
        if self.held_slots.is_fallback():
            return False
        if self._has_unreported_priority():
            return True
        if self.drains_fast(now):
            return False
        if self.held_slots.count_idle() > 0:
            return self._contended
        return self._has_unreported_demand(now)

    def drains_fast(self, now: float) -> bool:
        """Return whether slots come free sooner than a message brings one."""
        if self._mean_gap_s is None or self._last_end_at is None:
            return False
        gap = max(self._mean_gap_s, now - self._last_end_at)
        return gap < constants.FAST_DRAIN_S

    def collect_report(
        self, now: float, full: bool
    ) -> tuple[dict[str, AccountDemand], dict[str, tuple[int, int]]]:
        """Give back idle slots; return what changed since the last report.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        full : bool
            Whether to report everything and return no slots.

        Returns
        -------
        demands : dict of str to AccountDemand
        slots : dict of str to (int, int)
            For each worker the slots returned, cumulative, and in use.
        """
        if not full:
            # A full report states the held slots, so the same message can't
            # return any.
            self._return_slots(now)
        self._reported_at = now
        is_fast = self.drains_fast(now) and not full
        demands = {}
        for name in list(self._accounts if full else self._changed_accounts):
            account = self._accounts[name]
            demand = self._measure_demand(name, account, now, is_fast)
            if full or self._must_report(name, account, demand, now):
                demands[name] = demand
                account.reported_at = now
                account.reported_service_s = demand.service_s
            elif account.running + self.backlog.count_waiting(name) == 0:
                del self._changed_accounts[name]
        self._reported.update(demands)
        slots = {
            name: counts
            for name, counts in self.held_slots.list_returned().items()
            if full or self._reported_slots.get(name) != counts
        }
        self._reported_slots.update(slots)
        return demands, slots

    def list_excess_service(self, now: float) -> dict[str, float]:
        """Return the excess service of accounts with requests, in seconds."""
        return {
            name: account.compute_tag(now)
            for name, account in self._accounts.items()
            if account.running or self.backlog.count_waiting(name)
        }

    def count_requests(self) -> dict[str, tuple[int, int]]:
        """Return for each account the waiting and the running requests."""
        names = {*self._accounts, *self.backlog.list_accounts()}
        return {
            name: (
                self.backlog.count_waiting(name),
                self._get_account(name).running,
            )
            for name in sorted(names)
        }

    # ---- helpers ---------------------------------------------------------

    def _get_account(self, name: str) -> LocalAccount:
        account = self._accounts.get(name)
        if account is None:
            account = LocalAccount(share=self._shares.get(name, 1.0))
            self._accounts[name] = account
        return account

    def _mark_backlogged(self, account: LocalAccount, now: float) -> None:
        """Mark an account as backlogged; its idle time earns no credit."""
        if account.backlogged:
            return
        tags = [
            other.compute_tag(now)
            for other in self._accounts.values()
            if other.backlogged
        ]
        if tags and account.compute_tag(now) < min(tags):
            account.set_tag(min(tags), now)
        account.backlogged = True

    def _order_accounts(self, now: float) -> list[str]:
        """Return the accounts that may start a request, in order.

        A request on the priority path goes before all others, and above its
        account's limit, unless the path alone has used the account's share.
        Then accounts below their limit go first, those with the lowest tag
        before others; running requests count with their expected cost.
        """
        keys = {}
        for name in self.backlog.list_accounts():
            account = self._accounts[name]
            below = self._is_below_limit(name, now)
            on_priority = self._has_priority(name)
            if not (below or on_priority or self._may_borrow(name)):
                continue
            expected = account.running * (account.mean_cost_s or 0.0)
            tag = account.compute_tag(now) + expected / account.share
            keys[name] = (not on_priority, not below, tag, name)
        return sorted(keys, key=lambda name: keys[name])

    def _has_priority(self, name: str) -> bool:
        if self.backlog.count_waiting_priority(name) == 0:
            return False
        limit = self._limits.get(name)
        return limit is None or not limit.priority_spent

    def _measure_demand(
        self, name: str, account: LocalAccount, now: float, is_fast: bool
    ) -> AccountDemand:
        """Return an account's demand for a report.

        Where slots come free faster than messages are sent, `running` is the
        mean since the last report, because the present number changes too
        fast.
        """
        demand = AccountDemand(
            waiting=self.backlog.count_waiting(name),
            waiting_priority=self.backlog.count_waiting_priority(name),
            running=account.running,
            service_s=account.compute_service(now),
            finished=account.finished,
            largest_s=account.largest_s,
            priority_s=account.priority_s,
        )
        if is_fast and account.reported_at is not None:
            span = now - account.reported_at
            gained = demand.service_s - account.reported_service_s
            if span > constants.URGENT_SPACING_S:
                demand.running = round(gained / span)
        return demand

    def _must_report(
        self,
        name: str,
        account: LocalAccount,
        demand: AccountDemand,
        now: float,
    ) -> bool:
        """Return whether an account's demand must be reported.

        It needn't while it follows from the last report, as the lead
        controller assumes that running requests go on.
        """
        reported = self._reported.get(name)
        if reported is None or account.reported_at is None:
            return demand.count() > 0 or demand.finished > 0
        if (
            demand.waiting != reported.waiting
            or demand.waiting_priority != reported.waiting_priority
            or demand.running != reported.running
            or demand.finished != reported.finished
        ):
            return True
        accrued = reported.running * (now - account.reported_at)
        error = demand.service_s - reported.service_s - accrued
        return abs(error) > constants.SERVICE_TOLERANCE_S

    def _is_below_limit(self, name: str, now: float) -> bool:
        if not self._contended:
            return True
        limit = self._limits.get(name)
        account = self._accounts[name]
        if limit is None:
            return account.running < 1
        if limit.rate is not None:
            return account.compute_allowance(limit.rate, now) > 0
        return account.running < limit.limit

    def _may_borrow(self, name: str) -> bool:
        """Return whether an account may use idle slots above its limit."""
        mean = self._accounts[name].mean_cost_s
        limit = self._limits.get(name)
        return (
            mean is not None
            and (
                limit is None
                or limit.excess_service_s <= self._max_borrow_excess_s
            )
            and mean < constants.SHORT_REQUEST_S
            and not self.held_slots.has_excess()
        )

    def _has_unreported_demand(self, now: float) -> bool:
        """Return whether a waiting account needs a report.

        That is one whose waiting requests were not reported and, without
        contention, any after `ASK_AGAIN_S`.
        """
        names = self.backlog.list_accounts()
        if not self._contended:
            is_old = now - self._reported_at > constants.ASK_AGAIN_S
            if names and is_old:
                return True
        for name in names:
            reported = self._reported.get(name)
            if reported is not None and reported.waiting > 0:
                continue
            if not self._contended or self._accounts[name].running == 0:
                return True
        return False

    def _has_unreported_priority(self) -> bool:
        """Return whether waiting priority requests were not reported."""
        for name in self.backlog.list_accounts():
            if self.backlog.count_waiting_priority(name) == 0:
                continue
            reported = self._reported.get(name)
            if reported is None or reported.waiting_priority == 0:
                return True
        return False

    def _choose_worker(self, ticket: Ticket, now: float) -> str | None:
        candidates = []
        for name, used in self.held_slots.list_idle():
            worker = self._registry.get(name)
            if worker is not None and not worker.leaving:
                candidates.append((worker, used))
        return self.choice.choose(candidates, ticket.avoid, ticket.prefix, now)

    def _return_slots(self, now: float) -> None:
        """Give back idle slots that other routers may need."""
        self.held_slots.return_excess()
        idle = self.held_slots.count_idle()
        if self._contended:
            # Where slots come free fast, one that is idle now is likely to
            # be used soon.
            unused = idle
            if self.drains_fast(now):
                unused = min(idle, self._spare_slots)
            self.held_slots.return_idle(unused)
        self._spare_slots = 0
        self._min_idle_slots = self.held_slots.count_idle()
        self._idle_window_at = now

    def _track_idle_slots(self, idle: int, now: float) -> None:
        """Track the minimum of idle slots in each window."""
        self._min_idle_slots = min(self._min_idle_slots, idle)
        if now - self._idle_window_at >= constants.IDLE_WINDOW_S:
            self._spare_slots = self._min_idle_slots
            self._min_idle_slots = idle
            self._idle_window_at = now


def _update_mean(mean: float | None, value: float) -> float:
    if mean is None:
        return value
    return mean + SAMPLE_WEIGHT * (value - mean)
