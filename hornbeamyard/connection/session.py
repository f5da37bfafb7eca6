"""A router's stream to the lead controller."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any

import anyio
import grpc
import grpc.aio
import logbook
from result import Err

from ..messages import fleet_pb2, fleet_pb2_grpc
from ..pool import options
from ..pool.admission import Admission
from ..pool.schedule import Allocation
from ..pool.worker import Registry, Worker
from ..process.settings import Settings
from ..process.timers import Timers
from ..version.configuration import Configuration
from ..version.state import parse_delta
from . import codec, peers

SILENCE_LIMIT_S = 3.0
RECONNECT_PAUSE_S = 0.2

_log = logbook.Logger("session")


class Session:
    """Keeps a router attached to the lead controller.

    Sends reports and announcements; takes allocations, upstreams and
    configuration versions. While no allocation holds, the pools use their
    fallback share.

    Parameters
    ----------
    settings : Settings
    timers : Timers
    identity : Identity
    registry : Registry
    find_pool : callable
        Returns the admission of a pool by name.
    list_pools : callable
        Returns the admissions of all pools by name.
    on_configuration : callable
        Called with each newer version.
    """

    __slots__ = (
        "_allocations",
        "_announced",
        "_document",
        "_find_pool",
        "_identity",
        "_lease_ends",
        "_leave_sent",
        "_leaving",
        "_left",
        "_list_pools",
        "_on_configuration",
        "_rank",
        "_registry",
        "_routers",
        "_settings",
        "_timers",
        "_wake",
        "configuration",
        "epoch",
        "is_attached",
    )

    def __init__(
        self,
        settings: Settings,
        timers: Timers,
        identity: fleet_pb2.Identity,
        registry: Registry,
        find_pool: Callable[[str], Admission],
        list_pools: Callable[[], Mapping[str, Admission]],
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._identity = identity
        self._registry = registry
        self._find_pool = find_pool
        self._list_pools = list_pools
        self._on_configuration = on_configuration
        self._allocations: dict[str, Allocation] = {}
        self._announced: set[str] = set()
        self._document: dict[str, Any] = {}
        self._routers: list[str] = [settings.host]
        self._rank = 0
        self._lease_ends = 0.0
        self._leaving = False
        self._leave_sent = False
        self._left = anyio.Event()
        self._wake = anyio.Event()
        self.configuration = Configuration(version=0)
        self.epoch = 0
        self.is_attached = False

    def notify_urgent(self) -> None:
        """Have a report sent soon."""
        self._wake.set()

    def announce(self, name: str) -> None:
        """Have an upstream's announcement passed on."""
        self._announced.add(name)
        self._wake.set()

    def leave(self) -> None:
        """Tell the lead controller that this router stops."""
        self._leaving = True
        self._wake.set()

    async def wait_left(self) -> None:
        """Wait until the lead controller has ended the stream after it."""
        await self._left.wait()

    async def run(self) -> None:
        """Stay attached until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_lease)
            address = ""
            while not self._left.is_set():
                address = address or self._choose_address()
                address = await self._attach(address)
                self.is_attached = False
                if not address and not self._left.is_set():
                    await self._timers.sleep(
                        RECONNECT_PAUSE_S * random.uniform(0.5, 1.5)
                    )

    def _choose_address(self) -> str:
        return random.choice(list(self._settings.controllers.values()))

    async def _attach(self, address: str) -> str:
        """Run one stream; return the leader's address when it is known."""
        channel = peers.open_channel(address, self._settings.tls)
        hint = ""
        try:
            stub = fleet_pb2_grpc.FleetStub(channel)
            stream = stub.Attach(self._send_reports())
            while True:
                with self._timers.limit(SILENCE_LIMIT_S):
                    update = await stream.read()
                    if update is grpc.aio.EOF:
                        if self._leave_sent:
                            self._left.set()
                        break
                    # A controller that leads always sends its epoch.
                    if update.leader or not update.epoch:
                        hint = update.leader
                        break
                    self._take_update(update)
                    continue
                _log.warning("controller {} is silent; reconnecting", address)
                break
            stream.cancel()
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.FAILED_PRECONDITION:
                _log.error(
                    "controller {} refuses us: {}", address, error.details()
                )
        finally:
            with anyio.CancelScope(shield=True):
                await channel.close(grace=0)
        return hint if hint != address else ""

    # ---- towards the controller ------------------------------------------

    async def _send_reports(self) -> AsyncIterator[fleet_pb2.RouterReport]:
        sequence = 0
        self._leave_sent = False
        yield self._build_report(sequence, full=True)
        while True:
            with self._timers.limit(options.REPORT_INTERVAL_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            sequence += 1
            if self._leaving:
                # The end of the reports makes the controller end the stream,
                # which acknowledges this one.
                self._leave_sent = True
                yield self._build_report(sequence, full=False)
                return
            yield self._build_report(sequence, full=False)
            await self._timers.sleep(options.URGENT_SPACING_S)

    def _build_report(
        self, sequence: int, full: bool
    ) -> fleet_pb2.RouterReport:
        now = self._timers.now()
        report = fleet_pb2.RouterReport(
            sequence=sequence,
            version_in_force=self.configuration.version,
            leaving=self._leaving,
            full=full,
        )
        if full:
            report.identity.CopyFrom(self._identity)
            report.availability_zone = self._settings.availability_zone
            self._allocations = {}
        for name, admission in self._list_pools().items():
            message = self._report_pool(name, admission, now, full)
            if message.accounts or message.returns:
                report.pools.append(message)
        names = self._announced
        if full:
            names = {worker.name for worker in self._registry.list_workers()}
        for name in sorted(names):
            worker = self._registry.get(name)
            if worker is not None:
                report.announcements.append(worker.to_message(now))
        self._announced = set()
        return report

    def _report_pool(
        self, name: str, admission: Admission, now: float, full: bool
    ) -> fleet_pb2.PoolReport:
        dispatch = admission.dispatch
        if not full:
            demands, slots = dispatch.collect_report(now, full=False)
            return codec.encode_report(name, demands, slots, {})
        held = dispatch.holding.restart(keep_idle=now < self._lease_ends)
        demands, _ = dispatch.collect_report(now, full=True)
        message = codec.encode_report(
            name, demands, {}, dispatch.list_lags(now)
        )
        for worker, count in held.items():
            message.returns.add(worker=worker, running=count)
        return message

    # ---- from the controller ---------------------------------------------

    def _take_update(self, update: fleet_pb2.ControllerUpdate) -> None:
        if update.epoch < self.epoch:
            return
        now = self._timers.now()
        if not self.is_attached:
            _log.info(
                "attached to the lead controller, epoch {}", update.epoch
            )
        self.epoch = update.epoch
        self.is_attached = True
        self._lease_ends = now + update.lease_ms / 1000
        if update.routers:
            self._routers = list(update.routers)
        for message in update.workers:
            self._registry.announce(Worker.from_message(message, now))
        for name in update.workers_gone:
            self._forget_worker(name)
        if update.HasField("configuration"):
            self._take_configuration(update.configuration)
        for pool in update.pools:
            merged = codec.merge_allocation(
                self._allocations.get(pool.pool, Allocation()), pool
            )
            self._allocations[pool.pool] = merged
            admission = self._find_pool(pool.pool)
            admission.dispatch.apply(merged, now)
            admission.start_ready()

    def _take_configuration(self, delta: fleet_pb2.ConfigurationDelta) -> None:
        if delta.version <= self.configuration.version:
            return
        parsed = parse_delta(delta, self._document, self.configuration.version)
        if isinstance(parsed, Err):
            _log.error("version {} is not usable", delta.version)
            return
        self._document, self.configuration = parsed.ok_value
        _log.info("version {} is in force", delta.version)
        self._on_configuration(self.configuration)
        self._wake.set()

    def _forget_worker(self, name: str) -> None:
        worker = self._registry.get(name)
        if worker is None:
            return
        self._registry.remove(name)
        dispatch = self._find_pool(worker.pool).dispatch
        dispatch.holding.forget(name)
        dispatch.choice.forget(name)

    # ---- lease -----------------------------------------------------------

    async def _watch_lease(self) -> None:
        async for now in self._timers.subscribe(options.REPORT_INTERVAL_S):
            if now < self._lease_ends or self._lease_ends == 0.0:
                continue
            rank = self._get_rank()
            for admission in self._list_pools().values():
                admission.dispatch.enter_fallback(rank, len(self._routers))
                admission.start_ready()

    def _get_rank(self) -> int:
        if self._settings.host not in self._routers:
            return 0
        return self._routers.index(self._settings.host)
