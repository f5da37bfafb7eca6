"""Random faults of processes, links and disks, which may overlap."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import anyio.abc

from .fleet import CONTROLLERS, ROUTERS, Fleet
from .records import FaultRecord, Records

# Mean time between the starts of two faults.
MEAN_PAUSE_S = 0.9
# A process counts as affected until this long after the end of a fault.
SETTLING_TIME_S = 3.0

FaultAction = Callable[["Injector"], Coroutine[Any, Any, None]]


class Injector:
    """Injects faults into a fleet and records which processes they affect.

    Parameters
    ----------
    fleet : Fleet
    records : Records
    rng : random.Random
        Draws the faults, their times and their targets.
    """

    def __init__(
        self, fleet: Fleet, records: Records, rng: random.Random
    ) -> None:
        self._reserved: set[str] = set()
        self._fleet = fleet
        self._records = records
        self._wiped = False
        self.rng = rng

    async def run(self, seconds: float) -> None:
        """Inject faults for `seconds`; return when all have ended."""
        ends_at = time.monotonic() + seconds
        actions = list(FAULT_WEIGHTS)
        weights = [FAULT_WEIGHTS[action] for action in actions]
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < ends_at:
                chosen = self.rng.choices(actions, weights)[0]
                tasks.start_soon(chosen, self)
                pause_s = self.rng.expovariate(1 / MEAN_PAUSE_S)
                await anyio.sleep(pause_s)

    # ---- processes -------------------------------------------------------

    async def kill(self) -> None:
        """Kill a process and start it again."""
        await self._kill([self._draw_process()])

    async def kill_role(self) -> None:
        """Kill all controllers, all routers or both at the same moment."""
        controllers = [f"controller-{n}" for n in range(CONTROLLERS)]
        routers = [f"router-{n}" for n in range(ROUTERS)]
        names = self.rng.choice(
            (controllers, routers, [*controllers, *routers])
        )
        await self._kill(names)

    async def wipe(self) -> None:
        """Kill a controller and delete its data, at most once in a run."""
        if self._wiped:
            return
        self._wiped = True
        name = f"controller-{self.rng.randrange(CONTROLLERS)}"
        await self._kill([name], wipe=True)

    async def _kill(self, names: list[str], wipe: bool = False) -> None:
        down_s = self.rng.uniform(0.1, 3.0)
        names = [name for name in names if self._reserve(name)]
        kind = "wipe" if wipe else "kill"
        faults = [self._record_start(kind, name) for name in names]
        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(self._fleet.kill, name)
        await anyio.sleep(down_s)
        for name in names:
            if wipe:
                self._fleet.wipe(name)
            await self._fleet.start(name)
            self._reserved.discard(name)
        self._record_end(faults)

    async def stop(self) -> None:
        """Stop a process with SIGTERM and start it again."""
        name = self._draw_process()
        if not self._reserve(name):
            return
        faults = [self._record_start("stop", name)]
        await self._fleet.stop(name)
        await anyio.sleep(self.rng.uniform(0.1, 0.5))
        await self._fleet.start(name)
        self._reserved.discard(name)
        self._record_end(faults)

    async def freeze(self) -> None:
        """Suspend a process for up to 5 seconds."""
        name = self._draw_process()
        if not self._reserve(name):
            return
        faults = [self._record_start("freeze", name)]
        process = self._fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        await anyio.sleep(self.rng.uniform(0.3, 5.0))
        process.send_signal(signal.SIGCONT)
        self._reserved.discard(name)
        self._record_end(faults)

    async def reload(self) -> None:
        """Write other seeds to a router's settings and have it reload them."""
        number = self.rng.randrange(ROUTERS)
        name = f"router-{number}"
        if not self._fleet.processes[name].is_loaded():
            # Without a handler, SIGHUP would end the process.
            return
        self._fleet.write_settings(
            name, first_seed=self.rng.randrange(CONTROLLERS)
        )
        faults = [self._record_start("reload", name)]
        self._fleet.processes[name].send_signal(signal.SIGHUP)
        self._record_end(faults)

    async def fill_disk(self) -> None:
        """Fail a controller's writes beyond a file size, as on a full disk."""
        name = f"controller-{self.rng.randrange(CONTROLLERS)}"
        if not self._reserve(name):
            return
        faults = [self._record_start("full disk", name)]
        process = self._fleet.processes[name]
        process.limit_file_size(self.rng.choice((0, 512, 8192)))
        await anyio.sleep(self.rng.uniform(0.5, 4.0))
        process.limit_file_size(None)
        self._reserved.discard(name)
        self._record_end(faults)

    # ---- links -----------------------------------------------------------

    async def reset(self) -> None:
        """Reset all connections of a link."""
        link = self.rng.choice(list(self._fleet.links.values()))
        faults = self._record_link_start("reset", link.name)
        link.reset()
        self._record_end(faults)

    async def silence(self) -> None:
        """Silence the open connections of a link permanently."""
        link = self.rng.choice(list(self._fleet.links.values()))
        faults = self._record_link_start("silence", link.name)
        link.silence()
        self._record_end(faults)

    async def cut(self) -> None:
        """Block a link in one direction or both."""
        link = self.rng.choice(list(self._fleet.links.values()))
        faults = self._record_link_start("cut", link.name)
        both = self.rng.random() < 0.4
        requests = both or self.rng.random() < 0.5
        link.blocks_requests = requests
        link.blocks_responses = both or not requests
        await anyio.sleep(self.rng.uniform(0.3, 5.0))
        link.heal()
        self._record_end(faults)

    async def delay(self) -> None:
        """Delay the bytes of a link in both directions."""
        link = self.rng.choice(list(self._fleet.links.values()))
        faults = self._record_link_start("delay", link.name)
        link.delay_s = self.rng.choice((0.02, 0.1, 0.4))
        await anyio.sleep(self.rng.uniform(0.5, 4.0))
        link.heal()
        self._record_end(faults)

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

    def _record_start(self, kind: str, name: str) -> FaultRecord:
        fault = FaultRecord(kind, name, time.monotonic())
        self._records.faults.append(fault)
        return fault

    def _record_link_start(self, kind: str, link: str) -> list[FaultRecord]:
        return [self._record_start(kind, link.partition("/")[0])]

    def _record_end(self, faults: list[FaultRecord]) -> None:
        for fault in faults:
            fault.affects_until = time.monotonic() + SETTLING_TIME_S


# Relative frequency of each fault.
FAULT_WEIGHTS: dict[FaultAction, float] = {
    Injector.kill: 3.0,
    Injector.kill_role: 0.7,
    Injector.wipe: 0.7,
    Injector.stop: 3.0,
    Injector.freeze: 2.0,
    Injector.reload: 1.0,
    Injector.fill_disk: 1.0,
    Injector.reset: 2.0,
    Injector.silence: 1.5,
    Injector.cut: 2.0,
    Injector.delay: 1.0,
}
