"""The state of a router's attachment to the lead controller.

It holds no connection: `Session` sends and receives its messages, and
simulations and tests call it directly.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping
from typing import Any

import logbook
from result import Err

from ..messages import fleet_pb2
from ..pool import constants
from ..pool.allocation import Allocation
from ..pool.dispatch import Dispatch
from ..pool.worker import Worker, WorkerRegistry
from ..version.configuration import Configuration
from ..version.delta import apply_delta
from . import codec

_log = logbook.Logger("session")


class Attachment:
    """Builds reports to the lead controller and applies its updates.

    Without a valid lease the pools use their fallback share.

    Parameters
    ----------
    host, availability_zone : str
        Host and availability zone of this router.
    identity : Identity
    registry : WorkerRegistry
    find_dispatch : callable
        Returns the dispatch of a pool by name, and creates it on first use.
    list_dispatches : callable
        Returns the dispatches of all pools by name.
    on_configuration : callable
        Called with each newer configuration.

    Attributes
    ----------
    configuration : Configuration
        In force at this router.
    epoch : int
        Highest epoch of a lead controller seen so far.
    is_attached : bool
        Whether the lead controller serves this router's stream.
    """

    __slots__ = (
        "_allocations",
        "_announced_in_stream",
        "_availability_zone",
        "_document",
        "_find_dispatch",
        "_gone_workers",
        "_host",
        "_identity",
        "_last_regular_at",
        "_lease_ends",
        "_leaving",
        "_list_dispatches",
        "_names",
        "_on_configuration",
        "_pending_announcements",
        "_pending_renewals",
        "_registry",
        "_report_ahead_s",
        "_routers",
        "_sequence",
        "configuration",
        "epoch",
        "is_attached",
    )

    def __init__(
        self,
        host: str,
        availability_zone: str,
        identity: fleet_pb2.Identity,
        registry: WorkerRegistry,
        find_dispatch: Callable[[str], Dispatch],
        list_dispatches: Callable[[], Mapping[str, Dispatch]],
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        self._host = host
        self._availability_zone = availability_zone
        self._identity = identity
        self._registry = registry
        self._find_dispatch = find_dispatch
        self._list_dispatches = list_dispatches
        self._on_configuration = on_configuration
        self._allocations: dict[str, Allocation] = {}
        self._names = codec.NameTable()
        self._last_regular_at = 0.0
        # Spread by host name, so that reports don't arrive all at once.
        self._report_ahead_s = constants.REPORT_AHEAD_S * (
            1 + zlib.crc32(host.encode()) % 16 / 8
        )
        # Upstreams that the next report announces in full, upstreams that it
        # only renews, and upstreams already announced in this stream.
        self._pending_announcements: set[str] = set()
        self._pending_renewals: set[str] = set()
        self._announced_in_stream: set[str] = set()
        # Workers that the lead controller reported as gone.
        self._gone_workers: set[str] = set()
        self._document: dict[str, Any] = {}
        self._routers: list[str] = [host]
        self._lease_ends = 0.0
        self._leaving = False
        self._sequence = 0
        self.configuration = Configuration(version=0)
        self.epoch = 0
        self.is_attached = False

    def announce(self, name: str, changed: bool) -> bool:
        """Add an upstream's announcement to the next report.

        Parameters
        ----------
        name : str
        changed : bool
            Whether it differs from the previous announcement in more than
            load and time.

        Returns
        -------
        bool
            True if the report contains the full announcement, False if it
            contains only the name.
        """
        if not changed and name in self._announced_in_stream:
            self._pending_renewals.add(name)
            return False
        self._pending_announcements.add(name)
        return True

    def leave(self) -> None:
        """Announce in the next report that this router stops."""
        self._leaving = True

    # ---- reports to the controller ---------------------------------------

    def build_report(self, now: float, full: bool) -> fleet_pb2.RouterReport:
        """Return the next report of a stream.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        full : bool
            Whether to report the complete state, as in the first report of a
            stream, not only changes.
        """
        self._sequence = 0 if full else self._sequence + 1
        report = fleet_pb2.RouterReport(
            sequence=self._sequence,
            version_in_force=self.configuration.version,
            leaving=self._leaving,
            full=full,
        )
        if full:
            report.identity.CopyFrom(self._identity)
            report.availability_zone = self._availability_zone
            self._allocations = {}
            self._names = codec.NameTable()
        regular = full or now >= self.get_regular_report_due()
        if regular:
            self._last_regular_at = now
        for name, dispatch in self._list_dispatches().items():
            # Between two regular reports only urgent pools are reported.
            if not regular and not dispatch.is_urgent(now):
                continue
            message = self._report_pool(name, dispatch, now, full)
            if message.accounts or message.returns or message.urgent:
                report.pools.append(message)
        self._add_announcements(report, now, regular)
        return report

    def get_regular_report_due(self) -> float:
        """Return the monotonic time of the next regular report, in seconds."""
        return self._last_regular_at + constants.REPORT_INTERVAL_S

    def _add_announcements(
        self, report: fleet_pb2.RouterReport, now: float, regular: bool
    ) -> None:
        names = self._pending_announcements
        if report.full:
            names = {worker.name for worker in self._registry.list_workers()}
            self._announced_in_stream = set()
        for name in sorted(names):
            worker = self._registry.get(name)
            if worker is not None:
                report.announcements.append(worker.to_message(now))
                self._announced_in_stream.add(name)
        self._pending_announcements = set()
        if regular:
            report.renewed.extend(sorted(self._pending_renewals - names))
            self._pending_renewals = set()

    def _report_pool(
        self, name: str, dispatch: Dispatch, now: float, full: bool
    ) -> fleet_pb2.PoolReport:
        if not full:
            urgent = dispatch.needs_plan(now)
            demands, slots = dispatch.collect_report(now, full=False)
            return codec.encode_report(
                name, demands, slots, {}, self._names, urgent
            )
        held = dispatch.held_slots.restart(keep_idle=now < self._lease_ends)
        demands, _ = dispatch.collect_report(now, full=True)
        return codec.encode_report(
            name,
            demands,
            {worker: (0, count) for worker, count in held.items()},
            dispatch.list_excess_service(now),
            self._names,
        )

    # ---- updates from the controller -------------------------------------

    def apply_update(
        self, update: fleet_pb2.ControllerUpdate, now: float
    ) -> bool:
        """Apply a controller's message; return False if its epoch is stale."""
        if update.epoch < self.epoch:
            return False
        if not self.is_attached:
            _log.info(
                "attached to the lead controller, epoch {}", update.epoch
            )
        self.epoch = update.epoch
        self.is_attached = True
        self._lease_ends = now + update.lease_ms / 1000
        if update.planned:
            # Makes the next regular report arrive just before the next plan.
            self._last_regular_at = now - self._report_ahead_s
        if update.routers or update.routers_gone:
            known = [] if update.full else self._routers
            routers = {*known, *update.routers}
            self._routers = sorted(routers.difference(update.routers_gone))
        for message in update.workers:
            self._gone_workers.discard(message.upstream)
            self._registry.announce(Worker.from_message(message, now))
        for name in update.workers_gone:
            self._announced_in_stream.discard(name)
            self._forget_worker(name)
        if update.HasField("configuration"):
            self._apply_configuration(update.configuration)
        for pool in update.pools:
            merged = codec.merge_allocation(
                self._allocations.get(pool.pool, Allocation()),
                pool,
                self._names,
            )
            self._allocations[pool.pool] = merged
            self._find_dispatch(pool.pool).apply(merged, now)
        return True

    def _apply_configuration(
        self, delta: fleet_pb2.ConfigurationDelta
    ) -> None:
        if delta.version <= self.configuration.version:
            return
        parsed = apply_delta(delta, self._document, self.configuration)
        if isinstance(parsed, Err):
            _log.error("can't apply configuration version {}", delta.version)
            return
        self._document, self.configuration = parsed.ok_value
        _log.info("configuration version {} is in force", delta.version)
        self._remove_disallowed()
        self._on_configuration(self.configuration)

    def _forget_worker(self, name: str) -> None:
        """Stop using a worker that the lead controller reported as gone.

        It stays in the registry: a controller on this router's side of a
        partition reports workers as gone that still respond to probes.
        """
        worker = self._registry.get(name)
        if worker is None:
            return
        self._gone_workers.add(name)
        dispatch = self._find_dispatch(worker.pool)
        dispatch.held_slots.forget(name)
        dispatch.choice.forget(name)

    def _remove_disallowed(self) -> None:
        """Remove upstreams that the configuration in force doesn't allow.

        Otherwise the fallback would use those that still respond to probes.
        """
        for worker in self._registry.list_workers():
            if worker.name in self.configuration.upstreams:
                continue
            self._forget_worker(worker.name)
            self._registry.remove(worker.name)

    # ---- lease -----------------------------------------------------------

    @property
    def is_leaving(self) -> bool:
        """Whether this router has announced that it stops."""
        return self._leaving

    @property
    def lease_ends(self) -> float:
        """Monotonic time in seconds at which the lease ends."""
        return self._lease_ends

    def needs_probes(self, now: float) -> bool:
        """Return whether the workers have to be probed.

        Probing begins before the lease ends, so that the fallback starts
        with workers that are known to be ready.
        """
        return now > self._lease_ends - constants.PROBE_AHEAD_S

    def renew_workers(self, now: float) -> None:
        """Renew the workers that the lead controller didn't report gone."""
        for worker in self._registry.list_workers():
            if worker.name not in self._gone_workers:
                self._registry.renew(worker.name, now)

    def holds_lease(self, now: float) -> bool:
        """Return whether the lease is still valid."""
        return now < self._lease_ends

    def check_lease(self, now: float) -> bool:
        """Enter the fallback if the lease has ended.

        Returns
        -------
        bool
            Whether the fallback applies; False before the first lease.
        """
        if now < self._lease_ends or self._lease_ends == 0.0:
            return False
        rank = self._get_rank()
        for dispatch in self._list_dispatches().values():
            dispatch.enter_fallback(rank, len(self._routers), now)
        return True

    def _get_rank(self) -> int:
        if self._host not in self._routers:
            return 0
        return self._routers.index(self._host)
