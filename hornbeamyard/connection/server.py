"""The gRPC services of a controller."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator

import anyio
import grpc
import grpc.aio
import logbook
from result import Err

from ..messages import fleet_pb2, fleet_pb2_grpc
from ..pool import options
from ..process.controller import Controller
from ..process.status import build_status
from ..process.timers import Timers
from ..version.replica import NotLeader
from ..version.state import dump_document
from . import peers

SILENCE_LIMIT_S = 3.0
REFUSALS_REMEMBERED = 1000

_log = logbook.Logger("server")


class FleetService(fleet_pb2_grpc.FleetServicer):
    """Calls of routers and command-line tools.

    Parameters
    ----------
    fleet : str
        Name of the fleet; others are refused.
    controller : Controller
    timers : Timers
    """

    def __init__(
        self, fleet: str, controller: Controller, timers: Timers
    ) -> None:
        self._fleet = fleet
        self._controller = controller
        self._timers = timers
        self._refusals: set[tuple[str, str, str]] = set()

    async def Attach(  # noqa: N802 - named by the protocol
        self,
        requests: AsyncIterator[fleet_pb2.RouterReport],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[fleet_pb2.ControllerUpdate]:
        """Serve a router's stream while this controller leads."""
        first = await anext(aiter(requests), None)
        if first is None:
            return
        await self._check_identity(first.identity, context)
        replica = self._controller.replica
        if not replica.is_leader():
            yield fleet_pb2.ControllerUpdate(leader=replica.get_leader())
            return
        router = self._controller.attach(first)
        ended = anyio.Event()
        left = False

        async def read_reports() -> None:
            nonlocal left
            while True:
                with self._timers.limit(SILENCE_LIMIT_S):
                    report = await anext(aiter(requests), None)
                    if report is None:
                        break
                    left = report.leaving
                    self._controller.take_report(router, report)
                    continue
                break
            ended.set()
            router.wake.set()

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_reports)
                sequence = 0
                while replica.is_leader() and not router.replaced:
                    sequence += 1
                    yield self._controller.build_update(router, sequence)
                    with self._timers.limit(options.REPORT_INTERVAL_S):
                        await router.wake.wait()
                    router.wake = anyio.Event()
                    if ended.is_set():
                        break
                tasks.cancel_scope.cancel()
        finally:
            self._controller.detach(router, left)
        if not replica.is_leader():
            yield fleet_pb2.ControllerUpdate(leader=replica.get_leader())

    async def SubmitPatch(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.PatchRequest,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.PatchResult:
        """Append a patch to the log."""
        await self._check_identity(request.identity, context)
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
        await self._check_identity(request.identity, context)
        replica = self._controller.replica
        if not replica.is_leader():
            return fleet_pb2.ConfigurationReply(leader=replica.get_leader())
        return fleet_pb2.ConfigurationReply(
            version=replica.state.version,
            document=dump_document(replica.state.document),
            found=True,
        )

    async def ReadStatus(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.StatusRequest,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.StatusReply:
        """Return the status document of the fleet."""
        await self._check_identity(request.identity, context)
        replica = self._controller.replica
        if not replica.is_leader():
            return fleet_pb2.StatusReply(leader=replica.get_leader())
        status = build_status(self._controller, self._timers.now())
        return fleet_pb2.StatusReply(document=json.dumps(status).encode())

    async def _check_identity(
        self,
        identity: fleet_pb2.Identity,
        context: grpc.aio.ServicerContext,
    ) -> None:
        mismatch = peers.find_mismatch(identity, self._fleet)
        if mismatch is None:
            return
        # A refused process tries again, so each reason is logged once.
        refusal = (context.peer().rpartition(":")[0], identity.host, mismatch)
        if refusal not in self._refusals:
            if len(self._refusals) >= REFUSALS_REMEMBERED:
                self._refusals.clear()
            self._refusals.add(refusal)
            _log.warning(
                "refused host {!r} at {}: {}",
                identity.host[:63],
                refusal[0],
                mismatch,
            )
        await context.abort(grpc.StatusCode.FAILED_PRECONDITION, mismatch)
