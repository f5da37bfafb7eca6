"""Controllers whose disks count as lost."""

from __future__ import annotations

import random
import time

import anyio

from .fleet import CATCH_UP_S, RECOVERY_S, Fleet
from .records import SETTLING_TIME_S, Records

POLL_S = 0.1


class Disks:
    """Keeps the number of lost disks within what the fleet tolerates.

    A controller with an empty folder counts as lost until it has run for
    `CATCH_UP_S` without a fault. Where more than the tolerated number were
    missing, all have to be back for `RECOVERY_S` before one counts again.

    Parameters
    ----------
    fleet : Fleet
    records : Records
    """

    def __init__(self, fleet: Fleet, records: Records) -> None:
        self._fleet = fleet
        self._records = records
        self._lost: set[str] = set()

    def add_lost(self, name: str) -> None:
        """Count a controller as lost from now on."""
        self._lost.add(name)

    def list_lost(self) -> set[str]:
        """Return the controllers that count as lost."""
        if len(self._list_affected(RECOVERY_S)) <= self._fleet.tolerated:
            self._lost &= self._list_affected(CATCH_UP_S)
        return set(self._lost)

    def _list_affected(self, settling_s: float) -> set[str]:
        """Return the controllers with a fault in the last seconds."""
        now = time.monotonic()
        # A fault is recorded until the settling time after its end.
        since = now - (settling_s - SETTLING_TIME_S)
        return {
            name
            for name in self._fleet.controllers
            if self._records.is_affected(name, since, now)
        }

    async def wait_until_whole(self) -> None:
        """Wait until no controller counts as lost."""
        while self.list_lost():
            await anyio.sleep(POLL_S)

    def draw(
        self, rng: random.Random, names: list[str], at_most: int
    ) -> list[str]:
        """Return those of some controllers whose disks are lost next."""
        lost = self.list_lost()
        others = [name for name in names if name not in lost]
        count = min(at_most, self._fleet.tolerated - len(lost), len(others))
        return rng.sample(others, max(0, count))
