"""The calls between controllers that replicate the log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import grpc
import grpc.aio
import logbook

from ..messages import fleet_pb2, fleet_pb2_grpc
from ..process.settings import Tls
from ..version.replica import Replica
from . import peers
from .channels import Channels

# A call ends after this time; its caller may stop waiting earlier.
CALL_TIMEOUT_S = 5.0

T = TypeVar("T")

_log = logbook.Logger("replication")


class ReplicationCalls:
    """Calls to other controllers over gRPC, on one channel per controller.

    A call returns None if it fails.

    Parameters
    ----------
    tls : Tls or None
    """

    __slots__ = ("_channels",)

    def __init__(self, tls: Tls | None) -> None:
        self._channels = Channels(tls, fleet_pb2_grpc.ReplicationStub, _log)

    async def vote(
        self, address: str, request: fleet_pb2.VoteRequest
    ) -> fleet_pb2.VoteReply | None:
        """Request a vote."""
        return await self._call(address, request, lambda s: s.RequestVote)

    async def append(
        self, address: str, request: fleet_pb2.AppendRequest
    ) -> fleet_pb2.AppendReply | None:
        """Send log entries, or none as a heartbeat."""
        return await self._call(address, request, lambda s: s.AppendEntries)

    async def install(
        self, address: str, chunk: fleet_pb2.SnapshotChunk
    ) -> fleet_pb2.SnapshotReply | None:
        """Send a chunk of a snapshot."""
        return await self._call(address, chunk, lambda s: s.InstallSnapshot)

    async def transfer(
        self, address: str, request: fleet_pb2.TransferRequest
    ) -> fleet_pb2.TransferReply | None:
        """Transfer the leadership to a member."""
        return await self._call(
            address, request, lambda s: s.TransferLeadership
        )

    async def close(self) -> None:
        """Close all channels."""
        await self._channels.close()

    async def _call(
        self, address: str, request: Any, select_method: Callable[[Any], Any]
    ) -> Any:
        return await self._channels.call(
            address, select_method, request, CALL_TIMEOUT_S
        )


class ReplicationService(fleet_pb2_grpc.ReplicationServicer):
    """The gRPC service that other controllers call.

    Parameters
    ----------
    fleet : str
        Name of the fleet; callers of other fleets are refused.
    replica : Replica
    """

    def __init__(self, fleet: str, replica: Replica) -> None:
        self._fleet = fleet
        self._replica = replica

    async def RequestVote(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.VoteRequest,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.VoteReply:
        """Vote on a candidate."""
        await peers.check_identity(request.identity, self._fleet, context)
        return await self._replica.election.handle_vote(request)

    async def AppendEntries(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.AppendRequest,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.AppendReply:
        """Append a leader's entries."""
        await peers.check_identity(request.identity, self._fleet, context)
        reply = await self._replica.election.handle_append(request)
        return await self._require_reply(reply, context)

    async def InstallSnapshot(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.SnapshotChunk,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.SnapshotReply:
        """Store a chunk of a leader's snapshot."""
        await peers.check_identity(request.identity, self._fleet, context)
        reply = await self._replica.election.handle_install(request)
        return await self._require_reply(reply, context)

    async def TransferLeadership(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.TransferRequest,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.TransferReply:
        """Start an election to become the leader."""
        await peers.check_identity(request.identity, self._fleet, context)
        return await self._replica.election.handle_transfer(request)

    async def _require_reply(
        self, reply: T | None, context: grpc.aio.ServicerContext
    ) -> T:
        """Return a reply, or abort the call if the disk has failed."""
        if reply is None:
            await context.abort(
                grpc.StatusCode.UNAVAILABLE,
                f"the disk has failed: {self._replica.fault}",
            )
        assert reply is not None
        return reply
