"""Exchange of crashes in fleets without a route directory.

Every router keeps a stream to every controller for them, since they have to
spread also while no controller leads. Where there is a route directory, its
streams carry them.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from typing import Any

import anyio
import grpc
import grpc.aio
import logbook

from ..messages import fleet_pb2, fleet_pb2_grpc
from ..pool.crashes import CrashLedger
from ..process.settings import Tls
from ..process.timers import Timers
from ..version.replica import Replica
from . import peers
from .crash_reports import CrashReports
from .directory import NOTICE_INTERVAL_S
from .directory_codec import decode_crashes, encode_crashes
from .intervals import HEARTBEAT_INTERVAL_S, SILENCE_TIMEOUT_S
from .subscription import RECONNECT_PAUSE_S

# Interval of forgetting old crashes.
EXPIRE_INTERVAL_S = 10.0
# Pause before a controller of a release without this exchange is called again.
OLDER_RELEASE_PAUSE_S = 5.0

_log = logbook.Logger("crash_exchange")


class CrashHub:
    """A controller's part: it passes on what routers report.

    Parameters
    ----------
    replica : Replica
    timers : Timers

    Attributes
    ----------
    ledger : CrashLedger
    """

    __slots__ = ("_changed", "_replica", "_timers", "ledger")

    def __init__(self, replica: Replica, timers: Timers) -> None:
        self._changed = anyio.Event()
        self._replica = replica
        self._timers = timers
        self.ledger = CrashLedger()

    async def run(self) -> None:
        """Forget old crashes until cancelled."""
        async for now in self._timers.subscribe(EXPIRE_INTERVAL_S):
            self.ledger.expire(now)

    async def serve(
        self,
        reports: AsyncIterator[fleet_pb2.RouterUsage],
        context: grpc.aio.ServicerContext,
    ) -> None:
        """Serve a router's stream until either end closes it."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive, reports, tasks.cancel_scope)
            number = 0
            while True:
                changed = self._changed
                update = fleet_pb2.DirectoryUpdate(
                    leader=self._replica.leader_host,
                    digest_key=self._replica.state.digest_key,
                    crashes=encode_crashes(
                        self.ledger.list_since(number), self._timers.now()
                    ),
                )
                number = self.ledger.number
                await context.write(update)
                with self._timers.limit(HEARTBEAT_INTERVAL_S):
                    await changed.wait()
                await self._timers.sleep(NOTICE_INTERVAL_S)

    async def _receive(
        self,
        reports: AsyncIterator[fleet_pb2.RouterUsage],
        scope: anyio.CancelScope,
    ) -> None:
        # Ends with the stream; gRPC's keepalive finds lost connections.
        while True:
            report = await peers.wait_call(anext(aiter(reports), None))
            if report is None:
                scope.cancel()
                return
            now = self._timers.now()
            if self.ledger.merge(decode_crashes(report.crashes, now)):
                self._changed.set()
                self._changed = anyio.Event()


class CrashSubscription:
    """A router's part: it exchanges them with all controllers.

    Parameters
    ----------
    identity : Identity
    controllers : mapping of str to str
        Addresses by host.
    tls : Tls or None
    timers : Timers
    crashes : CrashReports
    """

    __slots__ = ("_controllers", "_crashes", "_identity", "_timers", "_tls")

    def __init__(
        self,
        identity: fleet_pb2.Identity,
        controllers: Mapping[str, str],
        tls: Tls | None,
        timers: Timers,
        crashes: CrashReports,
    ) -> None:
        self._controllers = controllers
        self._crashes = crashes
        self._identity = identity
        self._timers = timers
        self._tls = tls

    async def run(self) -> None:
        """Keep a stream to each controller until cancelled."""
        async with anyio.create_task_group() as tasks:
            for host, address in self._controllers.items():
                tasks.start_soon(self._keep_stream, host, address)
            async for now in self._timers.subscribe(EXPIRE_INTERVAL_S):
                self._crashes.expire(now)

    async def _keep_stream(self, host: str, address: str) -> None:
        reason = ""
        while True:
            channel = peers.open_channel(address, self._tls)
            try:
                ended = await self._run_stream(
                    host, fleet_pb2_grpc.FleetStub(channel).ShareCrashes()
                )
            finally:
                with anyio.CancelScope(shield=True):
                    await channel.close(grace=0)
            if ended != reason:
                _log.info("stream of crashes to {} has ended: {}", host, ended)
            reason = ended
            is_older = ended == grpc.StatusCode.UNIMPLEMENTED.name
            pause_s = OLDER_RELEASE_PAUSE_S if is_older else RECONNECT_PAUSE_S
            await self._timers.sleep(pause_s)

    async def _run_stream(self, host: str, call: Any) -> str:
        """Run one stream; return why it ended."""
        reason = "closed"

        async def send(report: fleet_pb2.RouterUsage) -> None:
            await peers.wait_call(call.write(report))

        async def report_changes() -> None:
            await send(fleet_pb2.RouterUsage(identity=self._identity))
            await self._crashes.changes.run(send)

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(report_changes)
                while True:
                    update = None
                    with self._timers.limit(SILENCE_TIMEOUT_S):
                        update = await peers.wait_call(call.read())
                    if not isinstance(update, fleet_pb2.DirectoryUpdate):
                        reason = "silent" if update is None else "closed"
                        break
                    self._apply(host, update)
                tasks.cancel_scope.cancel()
        except* grpc.aio.AioRpcError as errors:
            error = errors.exceptions[0]
            assert isinstance(error, grpc.aio.AioRpcError)
            reason = error.code().name
        except* asyncio.InvalidStateError:
            # Raised by grpc when a report is written to a stream that the
            # controller has ended.
            reason = "closed"
        finally:
            call.cancel()
        return reason

    def _apply(self, host: str, update: fleet_pb2.DirectoryUpdate) -> None:
        leads = update.leader == host
        self._crashes.digests.set_key(update.digest_key, leads)
        if update.crashes:
            now = self._timers.now()
            self._crashes.apply(decode_crashes(update.crashes, now))
