"""Availability zones that a router sends nothing to.

Operators order evacuations, and the controllers' log orders them. A router
learns the whole set from any controller and keeps the newest one.
"""

from __future__ import annotations

from collections.abc import Iterable
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


class Evacuations:
    """The newest set of evacuated zones that a router has heard of.

    Attributes
    ----------
    zones : frozenset of str
    index : int
        Index of the log entry that made the set; 0 before the first one.
    """

    __slots__ = ("index", "zones")

    def __init__(self) -> None:
        self.zones: frozenset[str] = frozenset()
        self.index = 0

    def apply(
        self, zones: Iterable[str], index: int
    ) -> EvacuationChange | None:
        """Apply a controller's set of evacuated zones.

        Parameters
        ----------
        zones : iterable of str
            All evacuated zones.
        index : int
            Index of the log entry that made the set.

        Returns
        -------
        EvacuationChange or None
            None if the set isn't newer than the known one, as from a
            controller that is behind.
        """
        if index <= self.index:
            return None
        before, self.zones = self.zones, frozenset(zones)
        self.index = index
        return EvacuationChange(self.zones - before, before - self.zones)

    def may_use(self, upstream: Upstream) -> bool:
        """Return whether requests may be sent to an upstream."""
        return upstream.availability_zone not in self.zones
