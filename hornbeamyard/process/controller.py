"""The controller role: schedules, upstream registry and attached routers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import anyio
import logbook

from ..connection import codec
from ..messages import fleet_pb2
from ..pool import constants
from ..pool.allocation import Allocation
from ..pool.records import AllocationChange
from ..pool.schedule import Schedule
from ..pool.worker import Worker, WorkerRegistry
from ..version.orphans import OrphanCloser
from ..version.replica import Replica
from ..version.state import dump_document
from .timers import Timers

_log = logbook.Logger("controller")


@dataclass(slots=True)
class AttachedRouter:
    """State of a router's stream at the lead controller.

    Attributes
    ----------
    name : str
    incarnation : int
    wake : anyio.Event
        Set when there is something to send.
    pending : dict of str to Allocation
        Newest allocation of each pool that hasn't been sent yet.
    sent : dict of str to Allocation
        Last sent allocation of each pool.
    names : NameTable
        Numbers that stand for names, in both directions of the stream.
    version_sent, version_in_force : int
        Configuration version that was sent last, and the version that the
        router has in force.
    workers, workers_gone : set of str
        Upstreams to send, and upstreams to report as gone.
    routers_sent : set of str
        Routers that this router knows to be attached.
    replaced : bool
        Whether the stream is obsolete, because the router has opened a new
        one or the controller's term has changed.
    planned : bool
        Whether all pools were planned since the last message.
    """

    name: str
    incarnation: int
    wake: anyio.Event = field(default_factory=anyio.Event)
    pending: dict[str, Allocation] = field(default_factory=dict)
    sent: dict[str, Allocation] = field(default_factory=dict)
    names: codec.NameTable = field(default_factory=codec.NameTable)
    version_sent: int = 0
    version_in_force: int = 0
    workers: set[str] = field(default_factory=set)
    workers_gone: set[str] = field(default_factory=set)
    routers_sent: set[str] = field(default_factory=set)
    replaced: bool = False
    planned: bool = False


class Controller:
    """State and decisions of the lead controller outside the replicated log.

    Parameters
    ----------
    replica : Replica
    timers : Timers

    Attributes
    ----------
    registry : WorkerRegistry
        Upstreams that have announced themselves.
    routers : dict of str to AttachedRouter
        Attached routers by host.
    """

    __slots__ = (
        "_full_plan_at",
        "_grants_allowed_at",
        "_orphan_closer",
        "_plan_requested",
        "_schedules",
        "_term",
        "_timers",
        "_urgent_pools",
        "registry",
        "replica",
        "routers",
    )

    def __init__(self, replica: Replica, timers: Timers) -> None:
        self.replica = replica
        self.registry = WorkerRegistry()
        self.routers: dict[str, AttachedRouter] = {}
        self._timers = timers
        self._schedules: dict[str, Schedule] = {}
        self._plan_requested = anyio.Event()
        # Pools to plan before the next full plan, and the time of that plan.
        self._urgent_pools: set[str] = set()
        self._full_plan_at = 0.0
        self._term = 0
        self._grants_allowed_at = 0.0
        self._orphan_closer = OrphanCloser(
            replica, timers, lambda: self.routers
        )

    async def run(self) -> None:
        """Plan, distribute versions and close claims until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._plan_repeatedly)
            tasks.start_soon(self._distribute_versions)
            tasks.start_soon(self._orphan_closer.run)

    def get_schedules(self) -> Mapping[str, Schedule]:
        """Return the schedules of all pools by name."""
        return self._schedules

    # ---- routers ---------------------------------------------------------

    def attach(self, report: fleet_pb2.RouterReport) -> AttachedRouter:
        """Attach a router by the first, full report of its stream."""
        self._reset_on_new_term()
        now = self._timers.now()
        name = report.identity.host
        previous = self.routers.get(name)
        if previous is not None:
            previous.replaced = True
            previous.wake.set()
        router = AttachedRouter(name, report.identity.incarnation)
        router.workers = {w.name for w in self.registry.list_workers()}
        self.routers[name] = router
        pools = {pool.pool: pool for pool in report.pools}
        for pool_name in pools:
            self._get_schedule(pool_name)
        # A name is sent only with its first use, so decode pools in the order
        # of the message.
        others = [name for name in self._schedules if name not in pools]
        for pool_name in (*pools, *others):
            pool = pools.get(pool_name, fleet_pb2.PoolReport())
            self._schedules[pool_name].attach_router(
                name,
                router.incarnation,
                report.availability_zone,
                codec.decode_demands(pool, router.names),
                {
                    worker: running
                    for worker, (_, running) in codec.decode_slots(
                        pool, router.names
                    ).items()
                },
                codec.decode_excess_service(pool, router.names),
                now,
            )
        router.version_in_force = report.version_in_force
        # A router gets the full document unless it is up to date.
        if report.version_in_force == self.replica.state.version:
            router.version_sent = report.version_in_force
        self._handle_announcements(report, now)
        router.workers_gone.update(
            message.upstream
            for message in report.announcements
            if self.registry.get(message.upstream) is None
        )
        self._handle_router_change()
        _log.info("router {} attached", name)
        return router

    def handle_report(
        self, router: AttachedRouter, report: fleet_pb2.RouterReport
    ) -> None:
        """Process a later report of an attached router."""
        if router.replaced:
            return
        now = self._timers.now()
        router.version_in_force = report.version_in_force
        for pool in report.pools:
            schedule = self._get_schedule(pool.pool)
            schedule.report(
                router.name,
                codec.decode_demands(pool, router.names),
                {
                    worker: returned
                    for worker, (returned, _) in codec.decode_slots(
                        pool, router.names
                    ).items()
                },
                now,
            )
            if pool.urgent:
                self._urgent_pools.add(pool.pool)
                self._plan_requested.set()
            elif pool.returns:
                self._queue_allocations(
                    pool.pool, schedule.grant_returned(router.name)
                )
        self._handle_announcements(report, now)

    def detach(self, router: AttachedRouter, left: bool) -> None:
        """Remove a router whose stream has ended.

        Parameters
        ----------
        router : AttachedRouter
        left : bool
            Whether the router reported that it leaves; otherwise its slots
            stay reserved until its lease ends.
        """
        if router.replaced or self.routers.get(router.name) is not router:
            return
        del self.routers[router.name]
        now = self._timers.now()
        for schedule in self._schedules.values():
            if left:
                schedule.detach_router(router.name)
            else:
                schedule.mark_router_lost(router.name, now)
        self._handle_router_change()
        _log.info(
            "router {} {}", router.name, "left" if left else "is unreachable"
        )

    def build_update(
        self, router: AttachedRouter, sequence: int
    ) -> fleet_pb2.ControllerUpdate:
        """Return everything that is pending for a router as one message."""
        now = self._timers.now()
        update = fleet_pb2.ControllerUpdate(
            epoch=self.replica.term,
            lease_ms=int(constants.ALLOCATION_LEASE_S * 1000),
            sequence=sequence,
            planned=router.planned,
        )
        router.planned = False
        for name, allocation in router.pending.items():
            update.pools.append(
                codec.encode_allocation(
                    name, allocation, router.sent.get(name), router.names
                )
            )
            router.sent[name] = allocation
        router.pending = {}
        for name in sorted(router.workers):
            worker = self.registry.get(name)
            if worker is not None:
                update.workers.append(worker.to_message(now))
        update.workers_gone.extend(sorted(router.workers_gone))
        router.workers = set()
        router.workers_gone = set()
        routers = set(self.routers)
        update.full = not router.routers_sent
        update.routers.extend(sorted(routers - router.routers_sent))
        update.routers_gone.extend(sorted(router.routers_sent - routers))
        router.routers_sent = routers
        self._add_configuration(router, update)
        return update

    # ---- upstreams -------------------------------------------------------

    def _handle_announcements(
        self, report: fleet_pb2.RouterReport, now: float
    ) -> None:
        for message in report.announcements:
            worker = Worker.from_message(message, now)
            if worker.has_expired(now) or not self._is_allowed(worker):
                continue
            if not self.registry.announce(worker):
                continue
            for router in self.routers.values():
                router.workers.add(worker.name)
                router.wake.set()
            self._register_worker(worker)
        for name in report.renewed:
            self.registry.renew(name, now)

    def _register_worker(self, worker: Worker) -> None:
        self._full_plan_at = 0.0
        self._get_schedule(worker.pool).set_worker(
            worker.name,
            worker.slots,
            worker.availability_zone,
            is_open=not worker.leaving,
        )
        self._plan_requested.set()
        _log.info(
            "upstream {} {}",
            worker.name,
            "is leaving" if worker.leaving else "announced itself",
        )

    def _expire_workers(self, now: float) -> None:
        for worker in self.registry.expire(now):
            self._remove_worker(worker)
            _log.info("the lease of upstream {} has ended", worker.name)

    def _remove_disallowed(self) -> None:
        """Remove the upstreams that a new version no longer allows.

        Until their leases end, they would stay in use for longer than
        upstreams that leave.
        """
        for worker in self.registry.list_workers():
            if self._is_allowed(worker):
                continue
            self.registry.remove(worker.name)
            self._remove_worker(worker)
            _log.info(
                "removed upstream {}: the configuration no longer allows it",
                worker.name,
            )

    def _is_allowed(self, worker: Worker) -> bool:
        return worker.name in self.replica.state.configuration.upstreams

    def _remove_worker(self, worker: Worker) -> None:
        self._get_schedule(worker.pool).remove_worker(worker.name)
        for router in self.routers.values():
            router.workers.discard(worker.name)
            router.workers_gone.add(worker.name)
            router.wake.set()

    # ---- planning --------------------------------------------------------

    async def _plan_repeatedly(self) -> None:
        while True:
            with self._timers.limit(constants.REPORT_INTERVAL_S):
                await self._plan_requested.wait()
            self.plan_due_pools()
            await self._timers.sleep(constants.PLAN_SPACING_S)

    def needs_plan(self) -> bool:
        """Return whether a plan was requested since the last one."""
        return self._plan_requested.is_set()

    def plan_due_pools(self) -> None:
        """Plan the due pools and queue changed allocations for sending.

        All pools are planned once in each report interval, and pools with
        an urgent report at once.
        """
        self._plan_requested = anyio.Event()
        if not self.replica.is_leader():
            return
        self._reset_on_new_term()
        now = self._timers.now()
        self._expire_workers(now)
        self._remove_disallowed()
        self._plan(now)

    def _plan(self, now: float) -> None:
        if now < self._grants_allowed_at:
            return
        pools = self._urgent_pools
        if now >= self._full_plan_at:
            pools = set(self._schedules)
            self._full_plan_at = now + constants.REPORT_INTERVAL_S
            for router in self.routers.values():
                router.planned = True
                router.wake.set()
        self._urgent_pools = set()
        for pool in sorted(pools):
            schedule = self._schedules[pool]
            self._queue_allocations(pool, schedule.plan(now))

    def _queue_allocations(
        self, pool: str, changes: Mapping[str, AllocationChange]
    ) -> None:
        """Queue changed allocations; wake the streams of urgent ones."""
        for name, change in changes.items():
            router = self.routers.get(name)
            if router is None:
                continue
            router.pending[pool] = change.allocation
            if change.urgent:
                router.wake.set()

    def _reset_on_new_term(self) -> None:
        """Reset schedules and routers if the term has changed."""
        if self.replica.term == self._term:
            return
        self._term = self.replica.term
        for router in self.routers.values():
            router.replaced = True
            router.wake.set()
        self.routers = {}
        self._schedules = {}
        for worker in self.registry.list_workers():
            self._register_worker(worker)
        if self.replica.state.has_first_leader():
            return
        # Before this time, a former leader's allocation leases may still hold.
        self._grants_allowed_at = (
            self._timers.now()
            + constants.ALLOCATION_LEASE_S
            + constants.DRIFT_ALLOWANCE_S
        )

    def _get_schedule(self, pool: str) -> Schedule:
        schedule = self._schedules.get(pool)
        if schedule is None:
            schedule = self._schedules[pool] = Schedule(pool)
            self._set_shares([schedule])
            for name, router in self.routers.items():
                schedule.attach_router(
                    name,
                    router.incarnation,
                    "",
                    {},
                    {},
                    {},
                    self._timers.now(),
                )
        return schedule

    def _set_shares(self, schedules: Iterable[Schedule]) -> None:
        accounts = self.replica.state.configuration.client_accounts
        shares = {name: account.share for name, account in accounts.items()}
        for schedule in schedules:
            schedule.set_shares(shares, self._timers.now())

    def _handle_router_change(self) -> None:
        self._full_plan_at = 0.0
        self._plan_requested.set()
        for router in self.routers.values():
            router.wake.set()

    # ---- versions --------------------------------------------------------

    async def _distribute_versions(self) -> None:
        distributed = (0, 0, False)
        while True:
            await self.replica.wait_for_change()
            replica = self.replica
            newest = replica.state.version, replica.term, replica.is_leader()
            # Most log entries are claims, which don't concern routers.
            if newest == distributed:
                continue
            distributed = newest
            self._plan_requested.set()
            self._set_shares(self._schedules.values())
            for router in self.routers.values():
                router.wake.set()

    def _add_configuration(
        self, router: AttachedRouter, update: fleet_pb2.ControllerUpdate
    ) -> None:
        state = self.replica.state
        if router.version_sent >= state.version:
            return
        delta = update.configuration
        delta.version = state.version
        missing = range(router.version_sent + 1, state.version + 1)
        if router.version_sent and all(v in state.patches for v in missing):
            delta.base = router.version_sent
            delta.patches.extend(state.patches[v] for v in missing)
        else:
            delta.document = dump_document(state.document)
        router.version_sent = state.version
