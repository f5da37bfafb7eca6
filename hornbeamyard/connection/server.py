"""The gRPC services of a controller."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator

import anyio
import grpc
import grpc.aio
from result import Err, Ok

from ..messages import fleet_pb2, fleet_pb2_grpc
from ..pool import constants
from ..process.controller import Controller
from ..process.documents import read_json
from ..process.status import build_status
from ..process.timers import Timers
from ..process.validation import Finding
from ..version.replica import NotLeader
from ..version.state import dump_document
from . import peers
from .crash_exchange import CrashHub

# A router's stream is closed after this long without a report.
SILENCE_TIMEOUT_S = 3.0
# Patches returned when the request sets no limit.
HISTORY_LIMIT = 100


class FleetService(fleet_pb2_grpc.FleetServicer):
    """The gRPC service that routers and command-line tools call.

    Parameters
    ----------
    fleet : str
        Name of the fleet; callers of other fleets are refused.
    controller : Controller
    timers : Timers
    crashes : CrashHub
    """

    def __init__(
        self,
        fleet: str,
        controller: Controller,
        timers: Timers,
        crashes: CrashHub,
    ) -> None:
        self._crashes = crashes
        self._fleet = fleet
        self._controller = controller
        self._timers = timers

    async def Attach(  # noqa: N802 - named by the protocol
        self,
        requests: AsyncIterator[fleet_pb2.RouterReport],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[fleet_pb2.ControllerUpdate]:
        """Serve a router's stream while this controller leads."""
        first = await anext(aiter(requests), None)
        if first is None:
            return
        await peers.check_identity(first.identity, self._fleet, context)
        replica = self._controller.replica
        if not replica.is_leader():
            yield fleet_pb2.ControllerUpdate(leader=replica.get_leader())
            return
        term = replica.term
        router = self._controller.attach(first)
        ended = anyio.Event()
        left = False

        async def read_reports() -> None:
            nonlocal left
            while True:
                with self._timers.limit(SILENCE_TIMEOUT_S):
                    report = await peers.wait_call(
                        anext(aiter(requests), None)
                    )
                    if report is None:
                        break
                    left = report.leaving
                    self._controller.handle_report(router, report)
                    continue
                break
            ended.set()
            router.wake.set()

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_reports)
                tasks.start_soon(self._close_earlier_claims, first.identity)
                sequence = 0
                while not router.replaced:
                    # The leader's lease may have ended during the last wait.
                    if not replica.is_leader() or replica.term != term:
                        break
                    sequence += 1
                    yield self._controller.build_update(router, sequence)
                    with self._timers.limit(constants.REPORT_INTERVAL_S):
                        await router.wake.wait()
                    router.wake = anyio.Event()
                    if ended.is_set():
                        break
                tasks.cancel_scope.cancel()
        finally:
            self._controller.detach(router, left)
        if not replica.is_leader():
            yield fleet_pb2.ControllerUpdate(leader=replica.get_leader())

    async def _close_earlier_claims(
        self, identity: fleet_pb2.Identity
    ) -> None:
        """Close claims left open by earlier processes of a router's host."""
        replica = self._controller.replica
        if replica.state.claims.has_orphaned_claims(identity):
            await replica.make_claims(
                fleet_pb2.ClaimBatch(identity=identity, started=True)
            )

    async def ShareCrashes(  # noqa: N802 - named by the protocol
        self,
        requests: AsyncIterator[fleet_pb2.RouterUsage],
        context: grpc.aio.ServicerContext,
    ) -> None:
        """Exchange crashes of upstreams with a router."""
        first = await anext(aiter(requests), None)
        if first is None:
            return
        await peers.check_identity(first.identity, self._fleet, context)
        await self._crashes.serve(requests, context)

    async def SubmitPatch(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.PatchRequest,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.PatchResult:
        """Append a patch to the log."""
        await peers.check_identity(request.identity, self._fleet, context)
        parsed = read_json(request.patch)
        if isinstance(parsed, Err):
            # What is in the log is applied by every controller, so a patch
            # that can't be read never gets there.
            return fleet_pb2.PatchResult(
                outcome=fleet_pb2.INVALID,
                version=self._controller.replica.state.version,
                findings=[str(Finding("patch", parsed.err_value))],
            )
        result = await self._controller.replica.submit_patch(request)
        if isinstance(result, Err):
            error = result.err_value
            if isinstance(error, NotLeader):
                return fleet_pb2.PatchResult(
                    outcome=fleet_pb2.NOT_LEADER, leader=error.leader
                )
            return fleet_pb2.PatchResult(outcome=fleet_pb2.UNKNOWN)
        return result.ok_value

    async def ReadConfiguration(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.ReadRequest,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.ConfigurationReply:
        """Return the newest configuration document."""
        await peers.check_identity(request.identity, self._fleet, context)
        replica = self._controller.replica
        if not replica.is_leader():
            return fleet_pb2.ConfigurationReply(leader=replica.get_leader())
        return fleet_pb2.ConfigurationReply(
            version=replica.state.version,
            document=dump_document(replica.state.document),
            found=request.version in (0, replica.state.version),
        )

    async def ReadStatus(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.StatusRequest,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.StatusReply:
        """Return the status document of the fleet."""
        await peers.check_identity(request.identity, self._fleet, context)
        replica = self._controller.replica
        if not replica.is_leader():
            return fleet_pb2.StatusReply(leader=replica.get_leader())
        status = build_status(self._controller, self._timers.now())
        return fleet_pb2.StatusReply(document=json.dumps(status).encode())

    async def ReadHistory(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.HistoryRequest,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.HistoryReply:
        """Return the newest accepted patches, newest first."""
        await peers.check_identity(request.identity, self._fleet, context)
        replica = self._controller.replica
        if not replica.is_leader():
            return fleet_pb2.HistoryReply(leader=replica.get_leader())
        limit = request.limit or HISTORY_LIMIT
        return fleet_pb2.HistoryReply(
            found=True,
            entries=[
                fleet_pb2.HistoryEntry(
                    version=record.result.version,
                    operator=record.operator,
                    patch_id=record.patch_id,
                    time_ms=record.time_ms,
                    patch=record.patch,
                )
                for record in replica.state.list_history(limit)
            ],
        )

    async def MakeClaims(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.ClaimBatch,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.ClaimResults:
        """Append operations on claims to the log."""
        await peers.check_identity(request.identity, self._fleet, context)
        result = await self._controller.replica.make_claims(request)
        if isinstance(result, Ok):
            return result.ok_value
        error = result.err_value
        if isinstance(error, NotLeader):
            return fleet_pb2.ClaimResults(
                leader=error.leader, no_quorum=not error.leader
            )
        return fleet_pb2.ClaimResults(no_quorum=True)

    async def ChangeMembers(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.MemberChange,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.MemberChangeResult:
        """Add, remove or replace a controller."""
        await peers.check_identity(request.identity, self._fleet, context)
        result = await self._controller.replica.change_members(request)
        if isinstance(result, Ok):
            return fleet_pb2.MemberChangeResult(
                accepted=not result.ok_value,
                reason=result.ok_value,
                decided=True,
            )
        error = result.err_value
        if isinstance(error, NotLeader):
            return fleet_pb2.MemberChangeResult(
                reason="this controller does not lead", leader=error.leader
            )
        return fleet_pb2.MemberChangeResult(
            reason="no majority confirmed in time; check the members"
        )
