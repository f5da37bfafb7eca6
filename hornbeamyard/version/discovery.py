"""The controllers that a controller has found."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ..messages import fleet_pb2
from ..process.timers import Timers

# A controller that has introduced itself within this time can become a member.
# One that isn't a member is removed after four times as long.
CANDIDATE_TIMEOUT_S = 3.0


@dataclass(slots=True)
class KnownController:
    """A known controller.

    Attributes
    ----------
    controller : ControllerAddress
    last_seen_at : float
        Monotonic time of its last sign of life, or of the report that added
        it, in seconds.
    is_introduced : bool
        Whether it has introduced itself, rather than only been reported.
    is_founded : bool
        Whether it knew then that the cluster has been founded.
    """

    controller: fleet_pb2.ControllerAddress
    last_seen_at: float
    is_introduced: bool
    is_founded: bool = False


class KnownControllers:
    """The controllers that this process knows, whether members or not.

    Parameters
    ----------
    timers : Timers

    Attributes
    ----------
    changed_at : float
        Monotonic time at which the last new controller was added, in seconds.
    """

    __slots__ = ("_known", "_timers", "changed_at")

    def __init__(self, timers: Timers) -> None:
        self._known: dict[str, KnownController] = {}
        self._timers = timers
        self.changed_at = timers.now()

    def add_introduced(self, controller: fleet_pb2.ControllerAddress) -> None:
        """Add a controller that has introduced itself."""
        if not controller.host:
            return
        now = self._timers.now()
        known = self._known.get(controller.host)
        if known is None:
            self.changed_at = now
            self._known[controller.host] = KnownController(
                controller, now, True
            )
            return
        known.controller = controller
        known.last_seen_at = now
        known.is_introduced = True

    def add_reported(self, controller: fleet_pb2.ControllerAddress) -> None:
        """Add a controller that another one has reported.

        It may be gone, so it counts only once it has introduced itself.
        """
        if controller.host and controller.host not in self._known:
            self._known[controller.host] = KnownController(
                controller, self._timers.now(), False
            )
            self.changed_at = self._timers.now()

    def set_founded(self, host: str, is_founded: bool) -> None:
        """Record whether a controller knows of a founded cluster."""
        known = self._known.get(host)
        if known is not None:
            known.is_founded = is_founded

    def has_recent_founded(self) -> bool:
        """Return whether one of `list_recent` knows of a founded cluster."""
        oldest = self._timers.now() - CANDIDATE_TIMEOUT_S
        return any(
            known.is_founded and known.last_seen_at >= oldest
            for known in self._known.values()
        )

    def list_known(self) -> list[fleet_pb2.ControllerAddress]:
        """Return all controllers, ordered by host."""
        return [self._known[host].controller for host in sorted(self._known)]

    def list_introduced(self) -> list[fleet_pb2.ControllerAddress]:
        """Return those that have introduced themselves, ordered by host.

        Others hear only of these, or they would report one that is gone to
        each other for ever.
        """
        return [
            self._known[host].controller
            for host in sorted(self._known)
            if self._known[host].is_introduced
        ]

    def list_recent(self) -> list[fleet_pb2.ControllerAddress]:
        """Return the controllers last seen within `CANDIDATE_TIMEOUT_S`."""
        oldest = self._timers.now() - CANDIDATE_TIMEOUT_S
        return [
            known.controller
            for known in self._known.values()
            if known.is_introduced and known.last_seen_at >= oldest
        ]

    def get_last_seen(self, host: str) -> float | None:
        """Return the monotonic time of a controller's last sign of life."""
        known = self._known.get(host)
        if known is None or not known.is_introduced:
            return None
        return known.last_seen_at

    def remove_lost(self, members: Mapping[str, str]) -> None:
        """Remove controllers that are gone and aren't members.

        Parameters
        ----------
        members : mapping of str to str
            Addresses of the members by host.
        """
        oldest = self._timers.now() - 4 * CANDIDATE_TIMEOUT_S
        for host, known in list(self._known.items()):
            if known.last_seen_at < oldest and host not in members:
                del self._known[host]
