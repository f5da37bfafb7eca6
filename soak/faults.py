"""Faults of processes, links and disks, drawn at random and overlapping."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import anyio.abc

from .fleet import CONTROLLERS, ROUTERS, Fleet
from .records import Harm, Records

# Mean pause between the begins of two faults, in seconds.
MEAN_PAUSE_S = 0.9
# After a fault has ended, what it touched counts as harmed for this long.
AFTERMATH_S = 3.0

Fault = Callable[["Injector"], Coroutine[Any, Any, None]]


class Injector:
    """Injects faults into a fleet and records what each one touched.

    Parameters
    ----------
    fleet : Fleet
    records : Records
    draw : random.Random
    """

    def __init__(
        self, fleet: Fleet, records: Records, draw: random.Random
    ) -> None:
        self._busy: set[str] = set()
        self._fleet = fleet
        self._records = records
        self._wiped = False
        self.draw = draw

    async def run(self, seconds: float) -> None:
        """Inject faults for a while; return when all have ended."""
        ends_at = time.monotonic() + seconds
        kinds = list(FAULTS)
        weights = [FAULTS[kind] for kind in kinds]
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < ends_at:
                fault = self.draw.choices(kinds, weights)[0]
                tasks.start_soon(fault, self)
                pause_s = self.draw.expovariate(1 / MEAN_PAUSE_S)
                await anyio.sleep(pause_s)

    # ---- processes -------------------------------------------------------

    async def kill(self) -> None:
        """Kill some process and start it again."""
        await self._kill([self._draw_process()])

    async def kill_role(self) -> None:
        """Kill all controllers or all routers at the same moment."""
        role, count = self.draw.choice(
            (("controller", CONTROLLERS), ("router", ROUTERS))
        )
        await self._kill([f"{role}-{number}" for number in range(count)])

    async def wipe(self) -> None:
        """Take a controller's disk away, once in a run at most."""
        if self._wiped:
            return
        self._wiped = True
        name = f"controller-{self.draw.randrange(CONTROLLERS)}"
        await self._kill([name], wipe=True)

    async def _kill(self, names: list[str], wipe: bool = False) -> None:
        down_s = self.draw.uniform(0.1, 3.0)
        names = [name for name in names if self._take(name)]
        kind = "wipe" if wipe else "kill"
        harms = [self._begin(kind, name) for name in names]
        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(self._fleet.kill, name)
        await anyio.sleep(down_s)
        for name in names:
            if wipe:
                self._fleet.wipe(name)
            await self._fleet.start(name)
            self._busy.discard(name)
        self._finish(harms)

    async def stop(self) -> None:
        """Stop some process as planned and start it again."""
        name = self._draw_process()
        if not self._take(name):
            return
        harms = [self._begin("stop", name)]
        await self._fleet.stop(name)
        await anyio.sleep(self.draw.uniform(0.1, 0.5))
        await self._fleet.start(name)
        self._busy.discard(name)
        self._finish(harms)

    async def freeze(self) -> None:
        """Suspend some process for seconds."""
        name = self._draw_process()
        if not self._take(name):
            return
        harms = [self._begin("freeze", name)]
        process = self._fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        await anyio.sleep(self.draw.uniform(0.3, 5.0))
        process.send_signal(signal.SIGCONT)
        self._busy.discard(name)
        self._finish(harms)

    async def reload(self) -> None:
        """Name other seeds in a settings file, and tell the process."""
        number = self.draw.randrange(ROUTERS)
        name = f"router-{number}"
        if not self._fleet.processes[name].is_loaded():
            # The signal would end the process as by default.
            return
        self._fleet.write_settings(
            name, rotate=self.draw.randrange(CONTROLLERS)
        )
        harms = [self._begin("reload", name)]
        self._fleet.processes[name].send_signal(signal.SIGHUP)
        self._finish(harms)

    async def fill_disk(self) -> None:
        """Refuse a controller's writes beyond some size for seconds."""
        name = f"controller-{self.draw.randrange(CONTROLLERS)}"
        if not self._take(name):
            return
        harms = [self._begin("full disk", name)]
        process = self._fleet.processes[name]
        process.limit_files(self.draw.choice((0, 512, 8192)))
        await anyio.sleep(self.draw.uniform(0.5, 4.0))
        process.limit_files(None)
        self._busy.discard(name)
        self._finish(harms)

    # ---- links -----------------------------------------------------------

    async def reset(self) -> None:
        """Reset all connections to some process."""
        link = self.draw.choice(list(self._fleet.links.values()))
        harms = self._begin_link("reset", link.name)
        link.reset()
        self._finish(harms)

    async def silence(self) -> None:
        """Let open connections to some process fall silent for good."""
        link = self.draw.choice(list(self._fleet.links.values()))
        harms = self._begin_link("silence", link.name)
        link.silence()
        self._finish(harms)

    async def cut(self) -> None:
        """Hold up the bytes to some process, from it, or both ways."""
        link = self.draw.choice(list(self._fleet.links.values()))
        harms = self._begin_link("cut", link.name)
        both = self.draw.random() < 0.4
        requests = both or self.draw.random() < 0.5
        link.held_requests = requests
        link.held_answers = both or not requests
        await anyio.sleep(self.draw.uniform(0.3, 5.0))
        link.heal()
        self._finish(harms)

    async def delay(self) -> None:
        """Delay the bytes to and from some process."""
        link = self.draw.choice(list(self._fleet.links.values()))
        harms = self._begin_link("delay", link.name)
        link.delay_s = self.draw.choice((0.02, 0.1, 0.4))
        await anyio.sleep(self.draw.uniform(0.5, 4.0))
        link.heal()
        self._finish(harms)

    # ---- records ---------------------------------------------------------

    def _draw_process(self) -> str:
        return self.draw.choice(sorted(self._fleet.processes))

    def _take(self, name: str) -> bool:
        """Reserve a process, as only one fault may stop and start it."""
        if name in self._busy:
            return False
        self._busy.add(name)
        return True

    def _begin(self, kind: str, name: str) -> Harm:
        harm = Harm(kind, name, time.monotonic())
        self._records.harms.append(harm)
        return harm

    def _begin_link(self, kind: str, link: str) -> list[Harm]:
        return [self._begin(kind, link.partition("/")[0])]

    def _finish(self, harms: list[Harm]) -> None:
        for harm in harms:
            harm.until_s = time.monotonic() + AFTERMATH_S


# How often each fault is drawn, relative to the others.
FAULTS: dict[Fault, float] = {
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
