"""Fair scheduling of a pool's slots by the lead controller.

The lead controller has one `Schedule` for each pool. It learns demand and
service from the reports of routers and decides which slots each router holds
and, while the pool is contended, how many requests of each client account
each router may run at the same time.

Service is slot time, so it accrues with the number of running requests. The
schedule controls that number and needs no cost of a request in advance. As in
fair queueing, each account has a tag: its service divided by its share. Slots
go to the accounts with the lowest tags. Excess service of an account is how
far its tag is above the lowest tag of the waiting accounts.
"""

from __future__ import annotations

import statistics
from collections.abc import Mapping
from dataclasses import replace

from . import constants
from .allocation import AccountDemand, Allocation, Limit
from .division import Contender, divide_slots
from .placement import (
    PlacementInput,
    SlotPlacement,
    place_slots,
    spread_idle_slots,
)
from .records import (
    AccountRecord,
    AllocationChange,
    Reported,
    RouterRecord,
    WorkerRecord,
)


class Schedule:
    """Divides one pool's slots fairly between accounts and routers.

    Parameters
    ----------
    pool : str
        Name of the model or service.
    lease_s : float, optional
        Time for which a router may use an allocation after it was sent.
    """

    __slots__ = (
        "_accounts",
        "_contended",
        "_detached",
        "_finished",
        "_free_since",
        "_largest_s",
        "_lease_s",
        "_mean_used_slots",
        "_reported_service_s",
        "_routers",
        "_shares",
        "_used_slots_at",
        "_used_slots_service_s",
        "_workers",
        "pool",
    )

    def __init__(
        self, pool: str, lease_s: float = constants.ALLOCATION_LEASE_S
    ) -> None:
        self.pool = pool
        self._lease_s = lease_s
        self._workers: dict[str, WorkerRecord] = {}
        self._routers: dict[str, RouterRecord] = {}
        # Detached routers, with the counters that were merged so far.
        self._detached: dict[str, RouterRecord] = {}
        self._accounts: dict[str, AccountRecord] = {}
        self._shares: Mapping[str, float] = {}
        self._contended = False
        self._free_since = 0.0
        # Running mean of the slots in use, from the reported service.
        self._mean_used_slots = 0.0
        self._used_slots_at = 0.0
        self._used_slots_service_s = 0.0
        # Over all accounts: finished requests, slot seconds, and the largest
        # cost of a request.
        self._finished = 0
        self._reported_service_s = 0.0
        self._largest_s = 0.0

    # ---- inputs ----------------------------------------------------------

    def set_shares(self, shares: Mapping[str, float], now: float) -> None:
        """Set the shares of client accounts; their tags don't change.

        All pools share one mapping. An account gets a record at its first
        demand, because most accounts use few of the pools.
        """
        self._shares = shares
        for name, account in self._accounts.items():
            tag = account.compute_tag(now)
            account.share = shares.get(name, account.share)
            account.set_tag(tag, now)

    def set_worker(
        self, name: str, slots: int, availability_zone: str, is_open: bool
    ) -> None:
        """Add or update a worker; one that isn't open takes no requests."""
        worker = self._workers.get(name)
        if worker is None:
            worker = self._workers[name] = WorkerRecord(
                slots, availability_zone
            )
            worker.outstanding = sum(
                router.count_held(name) for router in self._routers.values()
            )
        worker.slots = slots
        worker.availability_zone = availability_zone
        worker.open = is_open

    def remove_worker(self, name: str) -> None:
        """Remove a worker whose lease has ended.

        The counters of granted and returned slots stay, because requests
        may still run there and the worker may come back.
        """
        self._workers.pop(name, None)

    def attach_router(
        self,
        name: str,
        incarnation: int,
        availability_zone: str,
        demands: Mapping[str, AccountDemand],
        held: Mapping[str, int],
        excess_service: Mapping[str, float],
        now: float,
    ) -> None:
        """Add a router with its full report.

        Parameters
        ----------
        name : str
        incarnation : int
            Differs for each start of the router's process.
        availability_zone : str
        demands : mapping of str to AccountDemand
            Demand and cumulative service of each account.
        held : mapping of str to int
            For each worker the slots that the router holds.
        excess_service : mapping of str to float
            Excess service of accounts in the newest allocation that the
            router has, in seconds. Only a new lead controller uses it.
        now : float
            Monotonic time in seconds.
        """
        self.detach_router(name)
        router = RouterRecord(availability_zone, incarnation)
        previous = self._detached.pop(name, None)
        if previous is not None and previous.incarnation == incarnation:
            router.reported = previous.reported
        self._routers[name] = router
        known = set(router.reported)
        router.granted = dict(held)
        for worker_name, count in held.items():
            if worker_name in self._workers:
                self._workers[worker_name].outstanding += count
        for account_name, demand in demands.items():
            if previous is None and account_name not in known:
                # Its excess service covers the time before this controller.
                baseline = AccountDemand(
                    service_s=demand.service_s, finished=demand.finished
                )
                router.reported[account_name] = Reported(baseline, now)
                self._restore_excess_service(
                    account_name, excess_service.get(account_name), now
                )
            self._merge_demand(router, account_name, demand, now)

    def mark_router_lost(self, name: str, now: float) -> None:
        """Mark a router as lost; its slots are freed after its lease."""
        router = self._routers.get(name)
        if router is not None and router.lost_at is None:
            router.lost_at = now

    def detach_router(self, name: str) -> None:
        """Remove a router that left or whose lease has ended.

        Its counters are kept, so that service counts exactly once when the
        same process attaches again.
        """
        router = self._routers.pop(name, None)
        if router is None:
            return
        for worker_name in router.granted:
            if worker_name in self._workers:
                worker = self._workers[worker_name]
                worker.outstanding -= router.count_held(worker_name)
        for account_name, reported in router.reported.items():
            account = self._accounts[account_name]
            account.add(reported.demand, reported.at, sign=-1)
            reported.demand = AccountDemand(
                service_s=reported.demand.service_s,
                finished=reported.demand.finished,
            )
        self._detached[name] = router

    def report(
        self,
        name: str,
        demands: Mapping[str, AccountDemand],
        returned: Mapping[str, int],
        now: float,
    ) -> None:
        """Apply a router's report.

        Parameters
        ----------
        name : str
            The router; it must be attached.
        demands : mapping of str to AccountDemand
            Accounts whose demand or service changed.
        returned : mapping of str to int
            For each worker the slots returned since the router attached.
        now : float
            Monotonic time in seconds.
        """
        router = self._routers[name]
        router.lost_at = None
        router.update_usage(now)
        router.reported_at = now
        for worker_name, count in returned.items():
            newly_returned = count - router.returned.get(worker_name, 0)
            router.returned[worker_name] = count
            if worker_name not in self._workers:
                continue
            self._workers[worker_name].outstanding -= newly_returned
            if newly_returned and not self._contended:
                # It doesn't want the slots that it returns, whatever demand
                # it reported.
                router.wanted = min(router.wanted, router.count_held_total())
        for account_name, demand in demands.items():
            self._merge_demand(router, account_name, demand, now)

    # ---- planning --------------------------------------------------------

    def plan(self, now: float) -> dict[str, AllocationChange]:
        """Plan all allocations; return those that changed, by router."""
        self._expire_routers(now)
        self._update_backlogged(now)
        contended = self._contended
        if contended:
            placement = self._place_slots(self._divide_slots(now))
            limits, targets = placement.limits, placement.target_slots
            rates = placement.rates
        else:
            limits = {name: {} for name in self._routers}
            rates = {name: {} for name in self._routers}
            targets = self._spread_idle_slots(now)
        for name, router in self._routers.items():
            router.target_slots = router.wanted = targets[name]
            if not contended:
                is_fresh = now - router.reported_at <= constants.FRESH_DEMAND_S
                router.wanted = router.count_demand() if is_fresh else 0
        self._grant_slots()
        recalled = not contended and self._is_short_of_free_slots()
        if not contended and not recalled:
            self._grant_idle_slots()
        self._update_contended(now)
        excess_service = self._compute_excess_service(now)
        priority_waits = bool(self._list_priority_accounts())
        changed = {}
        for name, router in self._routers.items():
            router.limits = limits[name]
            allocation = Allocation(
                granted=dict(router.granted),
                closed={
                    worker_name
                    for worker_name in router.granted
                    if worker_name not in self._workers
                    or not self._workers[worker_name].accepts_requests()
                },
                target_slots=targets[name],
                recalled=recalled,
                contended=contended,
                limits={
                    account: Limit(
                        limit,
                        excess_service.get(account, 0.0),
                        self._accounts[account].priority_spent,
                        rates[name].get(account),
                    )
                    for account, limit in limits[name].items()
                },
            )
            change = router.update_allocation(allocation, priority_waits)
            if change is not None:
                changed[name] = change
        return changed

    def grant_returned(self, name: str) -> dict[str, AllocationChange]:
        """Grant the slots that a router has returned to other routers.

        Slots that it returned beyond the last plan are lent to the routers
        with most waiting requests until the next plan.

        Returns
        -------
        dict of str to AllocationChange
            The allocations that changed, by router.
        """
        router = self._routers[name]
        if self._contended:
            spare = router.wanted - router.count_held_total()
            router.wanted -= max(0, spare)
            not_ahead = self._list_accounts_not_ahead() if spare > 0 else set()
            for _ in range(spare):
                self._lend_slot(not_ahead)
        self._grant_slots()
        changed = {}
        for other_name, other in self._routers.items():
            if other.sent is None or other.granted == other.sent.granted:
                continue
            target = other.target_slots
            if self._contended:
                target = max(target, other.wanted)
            allocation = replace(
                other.sent, granted=dict(other.granted), target_slots=target
            )
            change = other.update_allocation(allocation)
            if change is not None:
                changed[other_name] = change
        return changed

    def _list_accounts_not_ahead(self) -> set[str]:
        """Return the accounts that may borrow slots, as of the last plan."""
        median = statistics.median(
            account.excess_service_s for account in self._accounts.values()
        )
        return {
            name
            for name, account in self._accounts.items()
            if account.excess_service_s <= median + constants.BORROW_MARGIN_S
        }

    def _lend_slot(self, not_ahead: set[str]) -> None:
        """Raise `wanted` by one at the router with most waiting requests.

        Waiting requests are weighed against the slots that the router
        wants already; only accounts in `not_ahead` count.
        """

        def compute_pressure(router: RouterRecord) -> float:
            lent = router.wanted - router.target_slots
            waiting = router.count_waiting(not_ahead)
            return (waiting - lent) / (1 + router.wanted)

        best = max(self._routers.values(), key=compute_pressure)
        best.wanted += 1

    def is_contended(self) -> bool:
        """Return whether limits apply, as of the last plan."""
        return self._contended

    def _update_contended(self, now: float) -> None:
        """Decide whether limits apply, after slots were granted.

        They apply once a router is short of slots, none is free and nearly
        all were in use in the last seconds. They cease to apply when slots
        have been free for some time. The sum of demands alone isn't enough
        for this, because routers report more often when their demand is
        high.
        """
        self._update_used_slots(now)
        free = sum(w.count_free() for w in self._workers.values())
        if self._contended:
            if free == 0:
                self._free_since = now
            self._contended = (
                now - self._free_since < constants.CONTENTION_END_DELAY_S
            )
            return
        self._free_since = now
        short = any(
            router.count_held_total() < router.wanted
            for router in self._routers.values()
        )
        slots = self.count_slots()
        demand = sum(a.count_demand() for a in self._accounts.values())
        self._contended = (
            short
            and free == 0
            and slots > 0
            and (
                self._mean_used_slots
                > constants.CONTENDED_USE_FRACTION * slots
                or demand > constants.CERTAIN_CONTENTION_FACTOR * slots
            )
        )

    def _update_used_slots(self, now: float) -> None:
        """Update the running mean of used slots, once a report interval."""
        span = now - self._used_slots_at
        if span < constants.REPORT_INTERVAL_S:
            return
        gained = self._reported_service_s - self._used_slots_service_s
        self._mean_used_slots += 0.7 * (gained / span - self._mean_used_slots)
        self._used_slots_at = now
        self._used_slots_service_s = self._reported_service_s

    def count_slots(self) -> int:
        """Return the number of slots of workers that take requests."""
        return sum(w.slots for w in self._workers.values() if w.open)

    def count_outstanding(self, worker: str) -> int:
        """Return how many slots of a worker are held by routers."""
        return self._workers[worker].outstanding

    def list_routers(self) -> list[str]:
        """Return the names of attached routers in order."""
        return sorted(self._routers)

    def compute_tags(self, now: float) -> dict[str, float]:
        """Return the normalised service of each account in seconds."""
        return {
            name: account.compute_tag(now)
            for name, account in self._accounts.items()
        }

    def compute_excess_service(self, now: float) -> dict[str, float]:
        """Return the excess service of accounts with requests.

        It is in seconds, rounded to steps of the mean cost.
        """
        return self._compute_excess_service(now)

    def sum_demands(self, now: float) -> dict[str, AccountDemand]:
        """Return demand and service of each account over all routers."""
        return {
            name: AccountDemand(
                waiting=account.waiting,
                waiting_priority=account.waiting_priority,
                running=account.running,
                service_s=account.service_s
                + account.running * now
                - account.running_time_sum,
            )
            for name, account in self._accounts.items()
        }

    def _get_account(self, name: str) -> AccountRecord:
        account = self._accounts.get(name)
        if account is None:
            account = AccountRecord(share=self._shares.get(name, 1.0))
            self._accounts[name] = account
        return account

    def _restore_excess_service(
        self, name: str, excess_s: float | None, now: float
    ) -> None:
        """Raise a tag by the excess service that an earlier leader sent."""
        account = self._get_account(name)
        if excess_s is not None:
            tags = [a.compute_tag(now) for a in self._accounts.values()]
            tag = max(min(tags) + excess_s, account.compute_tag(now))
            account.set_tag(tag, now)

    def _merge_demand(
        self,
        router: RouterRecord,
        name: str,
        demand: AccountDemand,
        now: float,
    ) -> None:
        """Replace a router's demand of an account, and count new service."""
        account = self._get_account(name)
        reported = router.reported.get(name)
        if reported is None:
            reported = router.reported[name] = Reported(AccountDemand(), now)
        account.add(reported.demand, reported.at, sign=-1)
        new_service_s = max(0.0, demand.service_s - reported.demand.service_s)
        account.service_s += new_service_s
        account.add(demand, now, sign=1)
        self._reported_service_s += new_service_s
        finished = max(0, demand.finished - reported.demand.finished)
        self._finished += finished
        account.finished += finished
        priority = max(0.0, demand.priority_s - reported.demand.priority_s)
        account.priority_tag += priority / account.share
        router.update_rate(name, finished, now - reported.at)
        self._largest_s = max(self._largest_s, demand.largest_s)
        router.reported[name] = Reported(demand, now)

    def _expire_routers(self, now: float) -> None:
        """Detach lost routers whose lease has certainly ended."""
        reissue_after = self._lease_s + constants.DRIFT_ALLOWANCE_S
        for name, router in list(self._routers.items()):
            if router.lost_at is None:
                continue
            if now - router.lost_at >= reissue_after:
                self.detach_router(name)

    def _update_backlogged(self, now: float) -> None:
        """Update which accounts are backlogged, and bound their tags.

        An account that was idle keeps little credit, and excess service is
        bounded.
        """
        tags = [
            account.compute_tag(now)
            for account in self._accounts.values()
            if account.waiting > 0 and account.backlogged
        ]
        if not tags:
            tags = [
                account.compute_tag(now)
                for account in self._accounts.values()
                if account.waiting > 0
            ]
        if not tags:
            for account in self._accounts.values():
                account.backlogged = False
                account.priority_spent = False
            return
        lowest = min(tags)
        debt_limit = max(constants.DEBT_LIMIT_S, self._largest_s)
        for account in self._accounts.values():
            tag = account.compute_tag(now)
            if account.waiting > 0 and not account.backlogged:
                account.set_tag(
                    max(tag, lowest - constants.IDLE_CREDIT_S), now
                )
            if tag > lowest + debt_limit:
                account.set_tag(lowest + debt_limit, now)
            account.backlogged = account.waiting > 0
            account.update_priority_spent(lowest)

    def _compute_horizon(self) -> float:
        return min(
            max(self._compute_mean_cost(), constants.MIN_HORIZON_S),
            constants.MAX_HORIZON_S,
        )

    def _compute_mean_cost(self) -> float:
        if self._finished == 0:
            return 0.0
        return self._reported_service_s / self._finished

    def _divide_slots(self, now: float) -> dict[str, float]:
        """Return for each account the number of slots it is entitled to.

        Slots for waiting priority requests are reserved first. They don't
        raise the limits of their accounts, because normal requests would use
        these once the priority requests have ended.
        """
        urgent = self._list_priority_accounts()
        contenders = {}
        reserved = 0
        for name, account in self._accounts.items():
            demand = account.count_demand()
            if name in urgent:
                demand -= account.waiting_priority
                reserved += account.waiting_priority
            if demand > 0:
                contenders[name] = Contender(
                    account.compute_tag(now),
                    account.share,
                    demand,
                    previous=account.entitled,
                    is_short=account.has_short_requests(),
                )
        total = max(0, self.count_slots() - reserved)
        entitled = divide_slots(contenders, total, self._compute_horizon())
        for name, account in self._accounts.items():
            account.entitled = entitled.get(name, 0.0)
        return entitled

    def _list_priority_accounts(self) -> set[str]:
        """Return accounts with waiting priority requests that go first."""
        return {
            name
            for name, account in self._accounts.items()
            if account.waiting_priority and not account.priority_spent
        }

    def _place_slots(self, entitled: Mapping[str, float]) -> SlotPlacement:
        short = {
            name
            for name, account in self._accounts.items()
            if account.has_short_requests()
        }
        urgent = self._list_priority_accounts()
        inputs = {
            name: PlacementInput(
                {a: r.demand for a, r in router.reported.items()},
                router.limits,
                router.count_held_total(),
                router.target_slots,
                router.compute_offered(short),
                sum(
                    r.demand.waiting_priority
                    for a, r in router.reported.items()
                    if a in urgent
                ),
            )
            for name, router in self._routers.items()
        }
        return place_slots(entitled, inputs, short)

    def _spread_idle_slots(self, now: float) -> dict[str, int]:
        usage = {n: r.usage for n, r in self._routers.items()}
        return spread_idle_slots(usage, self.count_slots())

    def _grant_slots(self, kept: int = 0) -> None:
        """Grant free slots to routers that hold fewer than they want.

        Parameters
        ----------
        kept : int, optional
            Free slots to keep back for routers that run out.
        """
        free = sum(w.count_free() for w in self._workers.values())
        needs = {
            name: router.wanted - router.count_held_total()
            for name, router in self._routers.items()
            if router.lost_at is None
        }
        while True:
            name = max(needs, key=lambda n: (needs[n], n), default="")
            if not name or needs[name] <= 0 or free <= kept:
                return
            free -= 1
            worker_name = self._choose_free_worker(name)
            if worker_name is None:
                return
            granted = self._routers[name].granted
            granted[worker_name] = granted.get(worker_name, 0) + 1
            self._workers[worker_name].outstanding += 1
            needs[name] -= 1

    def _grant_idle_slots(self) -> None:
        """Grant free slots to routers that may hold idle ones."""
        for router in self._routers.values():
            router.wanted = max(router.wanted, router.target_slots)
        self._grant_slots(
            len(self._routers) // constants.ROUTERS_PER_FREE_SLOT
        )

    def _is_short_of_free_slots(self) -> bool:
        """Return whether too few slots are free for routers that run out."""
        free = sum(w.count_free() for w in self._workers.values())
        return free < constants.SCARCE_FRACTION * self.count_slots()

    def _choose_free_worker(self, router_name: str) -> str | None:
        zone = self._routers[router_name].availability_zone
        best: tuple[bool, float, str] | None = None
        for name, worker in self._workers.items():
            free = worker.count_free()
            if free <= 0:
                continue
            key = (
                worker.availability_zone != zone,
                -free / worker.slots,
                name,
            )
            if best is None or key < best:
                best = key
        return best[2] if best is not None else None

    def _compute_excess_service(self, now: float) -> dict[str, float]:
        tags = {
            name: account.compute_tag(now)
            for name, account in self._accounts.items()
            if account.count_demand() > 0
        }
        if not tags:
            return {}
        backlogged = [t for n, t in tags.items() if self._accounts[n].waiting]
        lowest = min(backlogged or tags.values())
        step = min(
            max(self._compute_mean_cost(), constants.MIN_EXCESS_STEP_S),
            constants.MAX_EXCESS_STEP_S,
        )
        for name, tag in tags.items():
            self._accounts[name].excess_service_s = tag - lowest
        return {
            name: round((tag - lowest) / step) * step
            for name, tag in tags.items()
        }
