"""Calls to the route directory's controllers."""

from __future__ import annotations

from typing import Any

import logbook

from ..messages import fleet_pb2, fleet_pb2_grpc
from ..process.settings import Tls
from .channels import Channels

INTRODUCE_TIMEOUT_S = 1.0
# Less than the 1 s after which operators' programs call another controller.
SUBMIT_TIMEOUT_S = 0.9
FETCH_TIMEOUT_S = 1.0
# Callers wait meanwhile for a stream to go on.
FIND_STREAM_TIMEOUT_S = 0.3

_log = logbook.Logger("directory")


class DirectoryCalls:
    """Calls to controllers over gRPC, on one channel per controller.

    A call returns None if it fails.

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
        """Introduce this controller, and return those that the other knows."""
        return await self._channels.call(
            address, lambda s: s.Introduce, request, INTRODUCE_TIMEOUT_S
        )

    async def submit_routing(
        self, address: str, request: fleet_pb2.RoutingSubmission
    ) -> fleet_pb2.RoutingResult | None:
        """Submit a validated routing to the leader."""
        return await self._channels.call(
            address, lambda s: s.SubmitRouting, request, SUBMIT_TIMEOUT_S
        )

    async def read_routing(
        self, address: str, request: fleet_pb2.RoutingRead
    ) -> fleet_pb2.RoutingCopy | None:
        """Return the newest routing, confirmed by the leader."""
        return await self._channels.call(
            address, lambda s: s.ReadRouting, request, SUBMIT_TIMEOUT_S
        )

    async def order_evacuation(
        self, address: str, request: fleet_pb2.EvacuationOrder
    ) -> fleet_pb2.EvacuationResult | None:
        """Submit an order about an availability zone to the leader."""
        return await self._channels.call(
            address, lambda s: s.OrderEvacuation, request, SUBMIT_TIMEOUT_S
        )

    async def read_status(
        self, address: str, request: fleet_pb2.StatusRequest
    ) -> fleet_pb2.StatusReply | None:
        """Return the status document, confirmed by the leader."""
        return await self._channels.call(
            address, lambda s: s.ReadStatus, request, SUBMIT_TIMEOUT_S
        )

    async def fetch_routing(
        self, address: str, request: fleet_pb2.RoutingRead
    ) -> fleet_pb2.RoutingCopy | None:
        """Return the routing in force at a controller."""
        return await self._channels.call(
            address, lambda s: s.FetchRouting, request, FETCH_TIMEOUT_S
        )

    async def find_stream(
        self, address: str, request: fleet_pb2.StreamLookup
    ) -> fleet_pb2.StreamOrigin | None:
        """Return where a stream began, as far as a controller knows."""
        return await self._channels.call(
            address, lambda s: s.FindStream, request, FIND_STREAM_TIMEOUT_S
        )

    def open_stub(self, address: str) -> Any:
        """Return the stub for a controller."""
        return self._channels.open_stub(address)

    async def close_channel(self, address: str) -> None:
        """Close the channel to a controller that is no longer used."""
        await self._channels.close_channel(address)

    async def close(self) -> None:
        """Close all channels."""
        await self._channels.close()
