"""The gRPC service of the route directory at a controller."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio
import grpc
import grpc.aio
from result import Ok

from ..messages import fleet_pb2, fleet_pb2_grpc
from ..pool.evacuations import check_zone
from ..process.timers import Timers
from . import peers
from .directory import Directory
from .intervals import HEARTBEAT_INTERVAL_S, SILENCE_TIMEOUT_S
from .subscriber import Subscriber


class DirectoryService(fleet_pb2_grpc.DirectoryServicer):
    """The gRPC service of the route directory.

    Parameters
    ----------
    fleet : str
        Name of the fleet; callers of other fleets are refused.
    directory : Directory
    timers : Timers
    """

    def __init__(
        self, fleet: str, directory: Directory, timers: Timers
    ) -> None:
        self._fleet = fleet
        self._directory = directory
        self._timers = timers

    async def Introduce(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.Introduction,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.ControllerList:
        """Record a controller that introduces itself; return all known."""
        await peers.check_identity(request.identity, self._fleet, context)
        return self._directory.introduce(request)

    async def SubmitRouting(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.RoutingSubmission,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.RoutingResult:
        """Append a routing to the log, if this controller leads."""
        await peers.check_identity(request.identity, self._fleet, context)
        result = await self._directory.submit_as_leader(request)
        if isinstance(result, Ok):
            return result.ok_value
        return fleet_pb2.RoutingResult()

    async def ReadRouting(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.RoutingRead,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.RoutingCopy:
        """Return the newest routing, if this controller leads."""
        await peers.check_identity(request.identity, self._fleet, context)
        result = await self._directory.read_as_leader()
        if isinstance(result, Ok):
            return result.ok_value
        return fleet_pb2.RoutingCopy()

    async def OrderEvacuation(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.EvacuationOrder,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.EvacuationResult:
        """Start or end the evacuation of a zone, if this controller leads."""
        await peers.check_identity(request.identity, self._fleet, context)
        findings = check_zone(request.availability_zone)
        if findings:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, str(findings[0])
            )
        result = await self._directory.order_as_leader(request)
        if isinstance(result, Ok):
            return result.ok_value
        return fleet_pb2.EvacuationResult(leader=result.err_value)

    async def ReadStatus(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.StatusRequest,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.StatusReply:
        """Return the status document, if this controller leads."""
        await peers.check_identity(request.identity, self._fleet, context)
        result = await self._directory.read_status_as_leader()
        if isinstance(result, Ok):
            return fleet_pb2.StatusReply(document=result.ok_value)
        return fleet_pb2.StatusReply(leader=result.err_value)

    async def FetchRouting(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.RoutingRead,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.RoutingCopy:
        """Return the routing in force here."""
        await peers.check_identity(request.identity, self._fleet, context)
        return self._directory.copy_routing()

    async def FindStream(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.StreamLookup,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.StreamOrigin:
        """Return where a stream began, if this controller knows."""
        await peers.check_identity(request.identity, self._fleet, context)
        return self._directory.find_stream(request)

    async def Watch(  # noqa: N802 - named by the protocol
        self,
        requests: AsyncIterator[fleet_pb2.RouterUsage],
        context: grpc.aio.ServicerContext,
    ) -> None:
        """Serve a router's stream until either end closes it."""
        first = await anext(aiter(requests), None)
        if first is None:
            return
        identity = first.identity
        await peers.check_identity(identity, self._fleet, context)
        directory = self._directory
        subscriber = directory.attach(
            f"{identity.host}/{identity.incarnation}"
        )
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._receive_usage,
                    requests,
                    subscriber,
                    tasks.cancel_scope,
                )
                while True:
                    subscriber.wake = anyio.Event()
                    await context.write(directory.build_update(subscriber))
                    with self._timers.limit(HEARTBEAT_INTERVAL_S):
                        await subscriber.wake.wait()
        finally:
            directory.detach(subscriber)

    async def _receive_usage(
        self,
        requests: AsyncIterator[fleet_pb2.RouterUsage],
        subscriber: Subscriber,
        scope: anyio.CancelScope,
    ) -> None:
        while True:
            usage = None
            with self._timers.limit(SILENCE_TIMEOUT_S):
                usage = await peers.wait_call(anext(aiter(requests), None))
            if usage is None:
                scope.cancel()
                return
            self._directory.handle_usage(subscriber, usage)
