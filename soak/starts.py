"""Starts of processes, with the disturbances that a start may meet."""

from __future__ import annotations

import random
from contextlib import ExitStack

import anyio

from .fleet import Fleet
from .records import Records

# The processes of a fleet start within this time for the first time.
FIRST_STARTS_S = 0.3
# An address may be taken for this long after the start of its process.
MAX_TAKEN_S = 3.0
# A controller's first start may be this late.
MAX_LATE_S = 3.0
# Fraction of the later starts that find an address taken, and of those that
# are followed by SIGHUP within a second.
DISTURBED_FRACTION = 0.15
# The same for the first starts of a run.
FIRST_FRACTIONS = (0.0, 0.1, 0.3)
# Fraction of the disturbed first starts that concern the lowest address.
LOWEST_FRACTION = 0.6


class Starter:
    """Starts processes and disturbs some of the starts.

    Parameters
    ----------
    fleet : Fleet
    records : Records
    rng : random.Random
        Draws the disturbances, their times and their targets.
    """

    def __init__(
        self, fleet: Fleet, records: Records, rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._records = records
        self._rng = rng
        self._fraction = DISTURBED_FRACTION

    async def start(self, name: str, first_start: bool = False) -> None:
        """Start a process; return once its disturbances have ended."""
        rng = self._rng
        if name in self._fleet.list_upstreams():
            await self._fleet.start(name)
            return
        faults = []
        with ExitStack() as taken:
            taken_s = 0.0
            if rng.random() < self._fraction:
                address = rng.choice(self._fleet.list_addresses(name))
                taken_s = rng.uniform(0.2, MAX_TAKEN_S)
                self._fleet.take(address, taken)
                kind = f"{address} taken for {taken_s:.1f} s"
                faults.append(self._records.begin(kind, name))
            await self._fleet.start(name, first_start)
            if rng.random() < self._fraction:
                hup_s = rng.uniform(0.05, 1.0)
                await anyio.sleep(hup_s)
                faults.append(self._records.begin("early reload", name))
                await self._fleet.hang_up(name)
                taken_s -= hup_s
            await anyio.sleep(max(0.0, taken_s))
        self._records.end(faults)

    async def start_fleet(self) -> None:
        """Start the fleet for the first time.

        Some controllers, no more than may be lost, are late or killed within
        about a second; they start again with the settings of a later start.
        Returns once all processes run and no disturbance is left.
        """
        rng = self._rng
        fleet = self._fleet
        self._fraction = rng.choice(FIRST_FRACTIONS)
        count = min(fleet.tolerated, rng.choice((0, 1, 1, 2)))
        disturbed = rng.sample(fleet.controllers[1:], count)
        if count and rng.random() < LOWEST_FRACTION:
            disturbed[0] = fleet.controllers[0]
        async with anyio.create_task_group() as tasks:
            for name in fleet.processes:
                if name in disturbed:
                    tasks.start_soon(self._start_disturbed, name)
                else:
                    tasks.start_soon(self._start_first, name)
        self._fraction = DISTURBED_FRACTION

    async def _start_first(self, name: str) -> None:
        await anyio.sleep(self._rng.uniform(0.0, FIRST_STARTS_S))
        await self.start(name, first_start=True)

    async def _start_disturbed(self, name: str) -> None:
        if self._rng.random() < 0.3:
            fault = self._records.begin("late", name)
            await anyio.sleep(self._rng.uniform(FIRST_STARTS_S, MAX_LATE_S))
        else:
            await anyio.sleep(self._rng.uniform(0.0, FIRST_STARTS_S))
            await self._fleet.start(name, True)
            await anyio.sleep(self._rng.uniform(0.05, 1.2))
            fault = self._records.begin("kill", name)
            await self._fleet.kill(name)
            await anyio.sleep(self._rng.uniform(0.5, 7.0))
        await self.start(name)
        self._records.end([fault])
