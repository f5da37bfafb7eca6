"""Random faults of processes, links and disks, which may overlap."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import anyio

from .disks import Disks
from .fleet import RECOVERY_S, Fleet
from .links import Link
from .records import ABSENT, FaultRecord, Records
from .starts import Starter

# Mean time between the starts of two faults.
MEAN_PAUSE_S = 0.9
# Controllers that are replaced in a run.
MAX_REPLACED = 2
# Fraction of the runs in which disks are lost after the first version.
EARLY_FRACTION = 0.3
# Fraction of the runs that end with the loss of as many disks as tolerated.
FINAL_FRACTION = 0.4

FaultAction = Callable[["Injector"], Coroutine[Any, Any, None]]


class Injector:
    """Injects faults into a fleet and records which processes they affect.

    Parameters
    ----------
    fleet : Fleet
    records : Records
    starter : Starter
        Starts processes again.
    rng : random.Random
        Draws the faults, their times and their targets.
    """

    def __init__(
        self,
        fleet: Fleet,
        records: Records,
        starter: Starter,
        rng: random.Random,
    ) -> None:
        self._reserved: set[str] = set()
        self._fleet = fleet
        self._records = records
        self._starter = starter
        self._disks = Disks(fleet, records)
        self._replaced = 0
        self.rng = rng

    async def run(self, seconds: float) -> None:
        """Inject faults for `seconds`; return when all have ended."""
        ends_at = time.monotonic() + seconds
        actions = list(FAULT_WEIGHTS)
        weights = [FAULT_WEIGHTS[action] for action in actions]
        loses_disks = self.rng.random() < FINAL_FRACTION
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < ends_at:
                chosen = self.rng.choices(actions, weights)[0]
                tasks.start_soon(chosen, self)
                pause_s = self.rng.expovariate(1 / MEAN_PAUSE_S)
                await anyio.sleep(pause_s)
        if loses_disks:
            await self._lose_disks_at_end()

    # ---- processes -------------------------------------------------------

    async def kill(self) -> None:
        """Kill a process and start it again."""
        await self._kill([self._draw_process()])

    async def kill_role(self) -> None:
        """Kill all controllers, all routers or both at the same moment."""
        controllers = self._fleet.controllers
        routers = self._fleet.list_routers()
        names = self.rng.choice(
            (controllers, routers, [*controllers, *routers])
        )
        await self._kill(list(names))

    async def wipe(self) -> None:
        """Kill controllers and delete their data."""
        running = [
            name
            for name in self._fleet.controllers
            if self._fleet.processes[name].is_running()
        ]
        names = self._disks.draw(self.rng, running, self.rng.randint(1, 2))
        await self._kill(names, wiped=names)

    async def wipe_early(self) -> None:
        """Lose disks soon after the first acknowledgement, in some runs."""
        if self.rng.random() < EARLY_FRACTION:
            await self._wait_for_acknowledgement()
            await anyio.sleep(self.rng.uniform(0.0, 5.0))
            await self.wipe()

    async def _wait_for_acknowledgement(self) -> None:
        newest = self._records.newest_acknowledged
        with anyio.move_on_after(RECOVERY_S):
            while self._records.newest_acknowledged == newest:
                await anyio.sleep(0.002)

    async def replace(self) -> None:
        """Remove a controller for good and start another one instead.

        Once that has caught up, others lose their disks.
        """
        name = self.rng.choice(self._fleet.controllers)
        if self._disks.list_lost() or self._replaced == MAX_REPLACED:
            return
        if not self._reserve(name):
            return
        self._replaced += 1
        faults = [self._records.begin("remove", name)]
        self._records.begin(ABSENT, name)
        successor = self._fleet.replace(name)
        self._reserve(successor)
        self._disks.add_lost(successor)
        # It hasn't been there before either.
        absence = FaultRecord(ABSENT, successor, 0.0)
        self._records.faults.append(absence)
        if self.rng.random() < 0.5:
            await self._fleet.stop(name)
        await self._fleet.kill(name)
        await anyio.sleep(self.rng.uniform(0.0, 2.0))
        await self._starter.start(successor)
        self._reserved.discard(successor)
        self._records.end([*faults, absence])
        await self._disks.wait_until_whole()
        await self.wipe()

    async def _lose_disks_at_end(self) -> None:
        """Lose disks right after an acknowledgement, and kill the others."""
        await self._disks.wait_until_whole()
        await self._wait_for_acknowledgement()
        controllers = list(self._fleet.controllers)
        wiped = self._disks.draw(self.rng, controllers, len(controllers))
        await self._kill(controllers, wiped, max_down_s=1.0)

    async def _kill(
        self,
        names: list[str],
        wiped: Sequence[str] = (),
        max_down_s: float = 3.0,
    ) -> None:
        down_s = self.rng.uniform(0.1, max_down_s)
        names = [name for name in names if self._reserve(name)]
        faults = []
        for name in names:
            kind = "wipe" if name in wiped else "kill"
            faults.append(self._records.begin(kind, name))
            if name in wiped:
                self._disks.add_lost(name)
        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(self._fleet.kill, name)
        await anyio.sleep(down_s)
        async with anyio.create_task_group() as tasks:
            for name in names:
                if name in wiped:
                    self._fleet.wipe(name)
                tasks.start_soon(self._starter.start, name)
        self._reserved.difference_update(names)
        self._records.end(faults)

    async def stop(self) -> None:
        """Stop a process with SIGTERM and start it again."""
        name = self._draw_process()
        if not self._reserve(name):
            return
        faults = [self._records.begin("stop", name)]
        await self._fleet.stop(name)
        await anyio.sleep(self.rng.uniform(0.1, 0.5))
        await self._starter.start(name)
        self._reserved.discard(name)
        self._records.end(faults)

    async def freeze(self) -> None:
        """Suspend a process for up to 5 seconds."""
        name = self._draw_process()
        if not self._reserve(name):
            return
        faults = [self._records.begin("freeze", name)]
        process = self._fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        await anyio.sleep(self.rng.uniform(0.3, 5.0))
        process.send_signal(signal.SIGCONT)
        self._reserved.discard(name)
        self._records.end(faults)

    async def reload(self) -> None:
        """Write other seeds to a process's settings and send it SIGHUP."""
        controllers = self._fleet.controllers
        name = self.rng.choice([*controllers, *self._fleet.list_routers()])
        faults = [self._records.begin("reload", name)]
        first_seed = self.rng.randrange(len(controllers))
        await self._fleet.hang_up(name, first_seed)
        self._records.end(faults)

    async def fill_disk(self) -> None:
        """Fail a controller's writes beyond a file size, as on a full disk."""
        name = self.rng.choice(self._fleet.controllers)
        if not self._reserve(name):
            return
        faults = [self._records.begin("full disk", name)]
        process = self._fleet.processes[name]
        process.limit_file_size(self.rng.choice((0, 512, 8192)))
        await anyio.sleep(self.rng.uniform(0.5, 4.0))
        process.limit_file_size(None)
        self._reserved.discard(name)
        self._records.end(faults)

    # ---- links -----------------------------------------------------------

    async def reset(self) -> None:
        """Reset all connections of a link."""
        link, faults = self._begin_at_link("reset")
        link.reset()
        self._records.end(faults)

    async def silence(self) -> None:
        """Silence the open connections of a link permanently."""
        link, faults = self._begin_at_link("silence")
        link.silence()
        self._records.end(faults)

    async def cut(self) -> None:
        """Block a link in one direction or both."""
        link, faults = self._begin_at_link("cut")
        both = self.rng.random() < 0.4
        requests = both or self.rng.random() < 0.5
        link.blocks_requests = requests
        link.blocks_responses = both or not requests
        await anyio.sleep(self.rng.uniform(0.3, 5.0))
        link.heal()
        self._records.end(faults)

    async def delay(self) -> None:
        """Delay the bytes of a link in both directions."""
        link, faults = self._begin_at_link("delay")
        link.delay_s = self.rng.choice((0.02, 0.1, 0.4))
        await anyio.sleep(self.rng.uniform(0.5, 4.0))
        link.heal()
        self._records.end(faults)

    # ---- records ---------------------------------------------------------

    def _draw_process(self) -> str:
        return self.rng.choice(sorted(self._fleet.processes))

    def _reserve(self, name: str) -> bool:
        """Reserve a process for a fault; return False if another one has it.

        Two faults must not stop and start the same process.
        """
        if name in self._reserved:
            return False
        self._reserved.add(name)
        return True

    def _begin_at_link(self, kind: str) -> tuple[Link, list[FaultRecord]]:
        """Draw a link and record that a fault of it begins."""
        link = self.rng.choice(list(self._fleet.links.values()))
        return link, [self._records.begin(kind, link.name.partition("/")[0])]


# Relative frequency of each fault.
FAULT_WEIGHTS: dict[FaultAction, float] = {
    Injector.kill: 3.0,
    Injector.kill_role: 0.7,
    Injector.wipe: 1.0,
    Injector.replace: 0.7,
    Injector.stop: 3.0,
    Injector.freeze: 2.0,
    Injector.reload: 1.0,
    Injector.fill_disk: 1.0,
    Injector.reset: 2.0,
    Injector.silence: 1.5,
    Injector.cut: 2.0,
    Injector.delay: 1.0,
}
