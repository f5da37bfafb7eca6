"""Calls to controllers of the route directory."""

from __future__ import annotations

from typing import Any

import logbook

from ..messages import fleet_pb2, fleet_pb2_grpc
from ..process.settings import Tls
from .channels import Channels

INTRODUCE_TIMEOUT_S = 1.0
# Operators go on to another controller after a second without an answer.
SUBMIT_TIMEOUT_S = 0.9
FETCH_TIMEOUT_S = 1.0

_log = logbook.Logger("directory")


class DirectoryCalls:
    """Calls to controllers over gRPC, on one channel for each.

    Parameters
    ----------
    tls : Tls or None
    """

    __slots__ = ("_channels",)

    def __init__(self, tls: Tls | None) -> None:
        self._channels = Channels(tls, fleet_pb2_grpc.DirectoryStub, _log)

    async def introduce(
        self, address: str, request: fleet_pb2.Introduction
    ) -> fleet_pb2.ControllerList | None:
        """Tell a controller of this one, and ask what it knows."""
        return await self._channels.call(
            address, lambda s: s.Introduce, request, INTRODUCE_TIMEOUT_S
        )

    async def found(
        self, address: str, request: fleet_pb2.Founding
    ) -> fleet_pb2.FoundingReply | None:
        """Give a controller the first members."""
        return await self._channels.call(
            address, lambda s: s.Found, request, INTRODUCE_TIMEOUT_S
        )

    async def submit_routing(
        self, address: str, request: fleet_pb2.RoutingSubmission
    ) -> fleet_pb2.RoutingResult | None:
        """Hand a checked routing to the leader."""
        return await self._channels.call(
            address, lambda s: s.SubmitRouting, request, SUBMIT_TIMEOUT_S
        )

    async def read_routing(
        self, address: str, request: fleet_pb2.RoutingRead
    ) -> fleet_pb2.RoutingCopy | None:
        """Read the newest routing from the leader."""
        return await self._channels.call(
            address, lambda s: s.ReadRouting, request, SUBMIT_TIMEOUT_S
        )

    async def fetch_routing(
        self, address: str, request: fleet_pb2.RoutingRead
    ) -> fleet_pb2.RoutingCopy | None:
        """Read the routing in force at a controller."""
        return await self._channels.call(
            address, lambda s: s.FetchRouting, request, FETCH_TIMEOUT_S
        )

    def open_stub(self, address: str) -> Any:
        """Return the stub for a controller."""
        return self._channels.open_stub(address)

    async def close_channel(self, address: str) -> None:
        """Close the channel to a controller that is gone."""
        await self._channels.close_channel(address)

    async def close(self) -> None:
        """Close all channels."""
        await self._channels.close()
