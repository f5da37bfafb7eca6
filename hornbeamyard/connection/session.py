"""A router's stream to the lead controller."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Callable, Mapping

import anyio
import grpc
import grpc.aio
import logbook

from ..messages import fleet_pb2, fleet_pb2_grpc
from ..pool import constants
from ..pool.admission import Admission
from ..pool.dispatch import Dispatch
from ..pool.worker import WorkerRegistry
from ..process.settings import Settings
from ..process.timers import Timers
from ..version.configuration import Configuration
from . import peers
from .attachment import Attachment

# A stream is closed after this long without an update.
SILENCE_TIMEOUT_S = 3.0
# Mean pause before the next attempt to attach.
RECONNECT_PAUSE_S = 0.2
# Bounds the time between the end of a lease and the start of the fallback.
LEASE_CHECK_INTERVAL_S = 0.1

_log = logbook.Logger("session")


class Session:
    """Keeps a router attached to the lead controller.

    Sends and receives the messages of an `Attachment` over one gRPC stream at
    a time.

    Parameters
    ----------
    settings : Settings
    timers : Timers
    identity : Identity
    registry : WorkerRegistry
    find_pool : callable
        Returns the admission of a pool by name.
    list_pools : callable
        Returns the admissions of all pools by name.
    on_configuration : callable
        Called with each newer configuration.

    Attributes
    ----------
    attachment : Attachment
    bytes_received, bytes_sent : int
        Size of all messages so far.
    """

    __slots__ = (
        "_failures",
        "_find_pool",
        "_leave_acknowledged",
        "_leave_sent",
        "_list_pools",
        "_settings",
        "_timers",
        "_wake",
        "attachment",
        "bytes_received",
        "bytes_sent",
    )

    def __init__(
        self,
        settings: Settings,
        timers: Timers,
        identity: fleet_pb2.Identity,
        registry: WorkerRegistry,
        find_pool: Callable[[str], Admission],
        list_pools: Callable[[], Mapping[str, Admission]],
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._find_pool = find_pool
        self._list_pools = list_pools
        self._leave_sent = False
        self._leave_acknowledged = anyio.Event()
        self._wake = anyio.Event()
        self._failures: dict[str, str] = {}
        self.bytes_sent = 0
        self.bytes_received = 0
        self.attachment = Attachment(
            settings.host,
            settings.availability_zone,
            identity,
            registry,
            self._find_dispatch,
            self._list_dispatches,
            on_configuration,
        )

    @property
    def configuration(self) -> Configuration:
        """Configuration in force at this router."""
        return self.attachment.configuration

    @property
    def epoch(self) -> int:
        """Highest epoch of a lead controller seen so far."""
        return self.attachment.epoch

    @property
    def is_attached(self) -> bool:
        """Whether the lead controller serves this router's stream."""
        return self.attachment.is_attached

    @property
    def lease_ends(self) -> float:
        """Monotonic time in seconds at which the lease ends."""
        return self.attachment.lease_ends

    def request_report(self) -> None:
        """Send the next report soon, not at its regular time."""
        self._wake.set()

    def announce(self, name: str, changed: bool) -> None:
        """Add an upstream's announcement to the next report.

        Parameters
        ----------
        name : str
        changed : bool
            Whether it differs from the previous announcement in more than
            load and time.
        """
        if self.attachment.announce(name, changed):
            self._wake.set()

    def leave(self) -> None:
        """Announce to the lead controller that this router stops."""
        self.attachment.leave()
        self._wake.set()

    async def wait_leave_acknowledged(self) -> None:
        """Wait until the lead controller has acknowledged the stop."""
        await self._leave_acknowledged.wait()

    async def run(self) -> None:
        """Stay attached until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_lease)
            address = ""
            while not self._leave_acknowledged.is_set():
                address = address or self._choose_address()
                address = await self._attach(address)
                self.attachment.is_attached = False
                if not address and not self._leave_acknowledged.is_set():
                    await self._timers.sleep(
                        RECONNECT_PAUSE_S * random.uniform(0.5, 1.5)
                    )

    def _choose_address(self) -> str:
        return random.choice(list(self._settings.controllers.values()))

    async def _attach(self, address: str) -> str:
        """Run one stream; return the address of another leader, or ""."""
        channel = peers.open_channel(address, self._settings.tls)
        hint = ""
        try:
            stub = fleet_pb2_grpc.FleetStub(channel)
            stream = stub.Attach(self._send_reports())
            while True:
                with self._timers.limit(SILENCE_TIMEOUT_S):
                    update = await peers.wait_call(stream.read())
                    if update is grpc.aio.EOF:
                        if self._leave_sent:
                            self._leave_acknowledged.set()
                        break
                    # Only a controller that leads sets the epoch.
                    if update.leader or not update.epoch:
                        hint = update.leader
                        break
                    if not self._apply_update(update):
                        _log.warning(
                            "controller {} sent an update with a stale epoch "
                            "and no longer leads; reconnecting",
                            address,
                        )
                        break
                    continue
                _log.warning(
                    "no update from controller {}; reconnecting", address
                )
                break
            stream.cancel()
        except grpc.aio.AioRpcError as error:
            self._log_failure(address, error)
        finally:
            with anyio.CancelScope(shield=True):
                await channel.close(grace=0)
        return hint if hint != address else ""

    async def _send_reports(self) -> AsyncIterator[fleet_pb2.RouterReport]:
        self._leave_sent = False
        yield self._build_report(full=True)
        while True:
            due = self.attachment.get_regular_report_due() - self._timers.now()
            with self._timers.limit(max(0.0, due)):
                await self._wake.wait()
            self._wake = anyio.Event()
            if self.attachment.is_leaving:
                # When the reports end, the controller ends the stream, which
                # acknowledges the last report.
                self._leave_sent = True
                yield self._build_report(full=False)
                return
            yield self._build_report(full=False)
            await self._timers.sleep(constants.URGENT_SPACING_S)

    def _build_report(self, full: bool) -> fleet_pb2.RouterReport:
        report = self.attachment.build_report(self._timers.now(), full=full)
        self.bytes_sent += report.ByteSize()
        return report

    def _log_failure(self, address: str, error: grpc.aio.AioRpcError) -> None:
        """Log why a stream failed, unless the last reason was the same."""
        reason = f"can't be reached: {error.details()}"
        if error.code() is grpc.StatusCode.FAILED_PRECONDITION:
            reason = f"refused this process: {error.details()}"
        if self._failures.get(address) != reason:
            self._failures[address] = reason
            _log.error("controller {} {}", address, reason)

    def _apply_update(self, update: fleet_pb2.ControllerUpdate) -> bool:
        self._failures.clear()
        self.bytes_received += update.ByteSize()
        version = self.configuration.version
        if not self.attachment.apply_update(update, self._timers.now()):
            return False
        for pool in update.pools:
            self._find_pool(pool.pool).start_ready()
        if self.configuration.version > version:
            self._wake.set()
        return True

    async def _watch_lease(self) -> None:
        async for now in self._timers.subscribe(LEASE_CHECK_INTERVAL_S):
            if not self.attachment.check_lease(now):
                continue
            for admission in self._list_pools().values():
                admission.start_ready()

    def _find_dispatch(self, pool: str) -> Dispatch:
        return self._find_pool(pool).dispatch

    def _list_dispatches(self) -> Mapping[str, Dispatch]:
        return {
            name: admission.dispatch
            for name, admission in self._list_pools().items()
        }
