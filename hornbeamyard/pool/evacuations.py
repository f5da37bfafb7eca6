"""Availability zones that a router sends nothing to.

Operators order evacuations, and the controllers' log orders them. A router
learns the whole set from any controller and keeps the newest one.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from ..process.validation import Finding, check_text
from .upstream_registry import Upstream

# In UTF-8. All names together have to fit into one message.
MAX_ZONE_BYTES = 255


def check_zone(availability_zone: str) -> list[Finding]:
    """Return why a zone's name can't be stored; empty if it can.

    Any other name is accepted, because controllers don't know which zones
    will have upstreams.
    """
    accepted = check_text(availability_zone)
    if accepted is None and len(availability_zone.encode()) > MAX_ZONE_BYTES:
        accepted = f"at most {MAX_ZONE_BYTES} bytes"
    if accepted is None:
        return []
    message = f"is not accepted; give {accepted}"
    return [Finding("availability_zone", message)]


@dataclass(slots=True, frozen=True)
class EvacuationChange:
    """What a newer set of evacuated zones changes.

    Attributes
    ----------
    started, ended : frozenset of str
        Zones whose evacuation has started, and zones whose evacuation has
        ended, so that their upstreams may be used again.
    """

    started: frozenset[str]
    ended: frozenset[str]


@dataclass(slots=True, frozen=True)
class EvacuationReport:
    """What a controller says about evacuated zones.

    Attributes
    ----------
    controller : str
        Address of the controller.
    zones : frozenset of str
        All zones that are evacuated in its state.
    index : int
        Index of the log entry that made this set; 0 if it says nothing about
        the set.
    unconfirmed : frozenset of str
        Zones that may be evacuated by orders in its log that it hasn't
        applied since its start.
    unconfirmed_index : int
        Index of the newest of these orders.
    """

    controller: str
    zones: frozenset[str] = frozenset()
    index: int = 0
    unconfirmed: frozenset[str] = frozenset()
    unconfirmed_index: int = 0


class Evacuations:
    """The evacuated zones, by the newest reports that a router has received.

    Attributes
    ----------
    zones : frozenset of str
        Zones that get no requests, those with unconfirmed orders included.
    index : int
        Index of the log entry that made the newest set; 0 before the first.
    """

    __slots__ = ("_confirmed", "_unconfirmed", "index", "zones")

    def __init__(self) -> None:
        self._confirmed: frozenset[str] = frozenset()
        # Reports with unconfirmed orders, by controller.
        self._unconfirmed: dict[str, EvacuationReport] = {}
        self.zones: frozenset[str] = frozenset()
        self.index = 0

    def apply(self, report: EvacuationReport) -> EvacuationChange | None:
        """Apply a controller's report, also one from a controller behind.

        After all processes have restarted, the controllers know at first only
        what is in their snapshots. Unconfirmed orders keep a router from using
        a zone before a leader has confirmed an order that was acknowledged.

        Parameters
        ----------
        report : EvacuationReport
            It replaces the controller's earlier unconfirmed orders.

        Returns
        -------
        EvacuationChange or None
            None if the zones stay the same.
        """
        if report.index > self.index:
            self._confirmed, self.index = report.zones, report.index
        self._unconfirmed.pop(report.controller, None)
        if report.unconfirmed:
            self._unconfirmed[report.controller] = report
        return self._update()

    def retain(self, controllers: Container[str]) -> EvacuationChange | None:
        """Forget unconfirmed orders of all other controllers.

        Parameters
        ----------
        controllers : container of str
            Addresses of a majority. One of them has each order in its log
            that was acknowledged.
        """
        lost = [c for c in self._unconfirmed if c not in controllers]
        for controller in lost:
            del self._unconfirmed[controller]
        return self._update() if lost else None

    def _update(self) -> EvacuationChange | None:
        """Compute the zones; return what has changed."""
        before = self.zones
        # The newest set contains the effect of all orders up to its index.
        self.zones = self._confirmed.union(
            *(
                report.unconfirmed
                for report in self._unconfirmed.values()
                if report.unconfirmed_index > self.index
            )
        )
        if self.zones == before:
            return None
        return EvacuationChange(self.zones - before, before - self.zones)

    def may_use(self, upstream: Upstream) -> bool:
        """Return whether requests may be sent to an upstream."""
        return upstream.availability_zone not in self.zones
