"""A controller's replica of the fleet's log."""

from __future__ import annotations

from dataclasses import dataclass

import anyio
from result import Ok, Result

from ..messages import fleet_pb2
from ..process.timers import Timers
from .state import FleetState


@dataclass(slots=True)
class NotLeader:
    """The replica does not lead; `leader` is the address of one that may."""

    leader: str


@dataclass(slots=True)
class NoQuorum:
    """The outcome is unknown, because no majority confirmed in time."""


ProposeError = NotLeader | NoQuorum


class Replica:
    """One member of the group of controllers."""

    __slots__ = ("_applied", "_timers", "address", "state", "term")

    def __init__(self, address: str, timers: Timers) -> None:
        self.address = address
        self.state = FleetState()
        self.term = 1
        self._timers = timers
        self._applied = anyio.Event()

    def is_leader(self) -> bool:
        """Return whether this replica leads and holds its lease."""
        return True

    def get_leader(self) -> str:
        """Return the address of the leader, or an empty text."""
        return self.address

    async def submit_patch(
        self, request: fleet_pb2.PatchRequest
    ) -> Result[fleet_pb2.PatchResult, ProposeError]:
        """Append a patch to the log and return its outcome."""
        result = self.state.apply_patch(request, self._timers.wall_ms())
        self._applied.set()
        self._applied = anyio.Event()
        return Ok(result)

    async def wait_applied(self) -> None:
        """Wait until the state or the leadership changes."""
        await self._applied.wait()
