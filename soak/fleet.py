"""Processes of the soak, with a proxy before each of their addresses."""

from __future__ import annotations

import json
import resource
import shutil
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from .links import Link

CONTROLLERS = 3
ROUTERS = 3
POOLS = ("app", "model")
UPSTREAMS = 2
# A stop gives running requests this long.
DRAIN_S = 6.0
# Every process of the fleet ends within this time after SIGTERM.
LONGEST_STOP_S = DRAIN_S + 4.0
# Until a process has loaded its modules, SIGTERM ends it as by default.
LOADING_S = 3.0


@dataclass(slots=True, eq=False)
class Process:
    """A process that is started again and again under one name.

    Attributes
    ----------
    name : str
    command : list of str
    starts : int
        How often it was started.
    started_at : float
    handle : anyio process or None
    stopped_by_soak : bool
        Whether the soak has ended the current run.
    term_at : float or None
        When the current run was told to stop.
    frozen : bool
    exits : list of str
        Ends that the soak didn't ask for, or that took too long.
    """

    name: str
    command: list[str]
    starts: int = 0
    started_at: float = 0.0
    handle: anyio.abc.Process | None = None
    stopped_by_soak: bool = False
    term_at: float | None = None
    frozen: bool = False
    exits: list[str] = field(default_factory=list)

    def is_loaded(self) -> bool:
        """Return whether the process has set up its signal handlers."""
        return time.monotonic() - self.started_at > LOADING_S

    def is_running(self) -> bool:
        """Return whether the process runs, frozen or not."""
        return self.handle is not None and self.handle.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self.handle is not None and self.handle.returncode is None:
            self.handle.send_signal(number)

    def limit_files(self, size: int | None) -> None:
        """Refuse writes beyond a size of any file, or allow all again."""
        if self.handle is None or self.handle.returncode is not None:
            return
        soft = resource.RLIM_INFINITY if size is None else size
        resource.prlimit(
            self.handle.pid,
            resource.RLIMIT_FSIZE,
            (soft, resource.RLIM_INFINITY),
        )


class Fleet:
    """Controllers, routers and upstreams as processes.

    Parameters
    ----------
    folder : Path
        For settings, data, journals and logs.
    tasks : anyio task group
        Runs the proxies and the readers of logs.
    first_port : int
        Ports from here on are free.

    Attributes
    ----------
    processes : dict of str to Process
    links : dict of str to Link
    """

    def __init__(
        self, folder: Path, tasks: anyio.abc.TaskGroup, first_port: int
    ) -> None:
        self.folder = folder
        self._next_port = first_port
        self._tasks = tasks
        self._ports: dict[str, int] = {}
        self.processes: dict[str, Process] = {}
        self.links: dict[str, Link] = {}
        for number in range(CONTROLLERS):
            for purpose in ("peers", "status"):
                self._add_link(f"controller-{number}/{purpose}")
        for number in range(ROUTERS):
            self._add_link(f"router-{number}/callers")
            self._ports[f"router-{number}/status"] = self._take_port()
        for name in self.list_upstreams():
            self._add_link(f"{name}/requests")

    def _add_link(self, name: str) -> None:
        self._ports[name] = self._take_port()
        link = Link(name, self._take_port(), self._ports[name])
        self.links[name] = link
        self._tasks.start_soon(link.serve)

    def _take_port(self) -> int:
        self._next_port += 1
        return self._next_port - 1

    def list_upstreams(self) -> list[str]:
        """Return the names of all upstreams."""
        return [
            f"{pool}-{number}" for pool in POOLS for number in range(UPSTREAMS)
        ]

    def list_links(self, process: str) -> list[Link]:
        """Return the links to a process."""
        return [
            link
            for name, link in self.links.items()
            if name.startswith(f"{process}/")
        ]

    def get_status_port(self, router: int) -> int:
        """Return the port at which a router tells whether it is ready."""
        return self._ports[f"router-{router}/status"]

    def list_controller_addresses(self) -> list[str]:
        """Return the proxied addresses for operators and upstreams."""
        return [
            self.links[f"controller-{number}/status"].address
            for number in range(CONTROLLERS)
        ]

    # ---- processes -------------------------------------------------------

    async def start_all(self) -> None:
        """Start the fleet for the first time."""
        for number in range(CONTROLLERS):
            self.write_settings(f"controller-{number}", first_start=True)
            await self.start(f"controller-{number}")
        for number in range(ROUTERS):
            self.write_settings(f"router-{number}")
            await self.start(f"router-{number}")
        for name in self.list_upstreams():
            await self.start(name)

    async def start(self, name: str) -> None:
        """Start a process, for the first time or again."""
        process = self.processes.get(name)
        if process is None:
            process = Process(name, self._build_command(name))
            self.processes[name] = process
        elif name.startswith("controller"):
            self.write_settings(name)
        command = process.command
        if name in self.list_upstreams():
            # Ids are never used again.
            command = [*command, f"--id={name}.{process.starts}"]
        process.handle = await anyio.open_process(
            command, stderr=subprocess.STDOUT
        )
        process.starts += 1
        process.started_at = time.monotonic()
        process.stopped_by_soak = False
        process.term_at = None
        process.frozen = False
        self._tasks.start_soon(self._watch, process, process.handle)

    async def _watch(
        self, process: Process, handle: anyio.abc.Process
    ) -> None:
        """Keep a process's log, and note an end that nobody asked for."""
        log = self.folder / f"{process.name}.log"
        assert handle.stdout is not None
        with log.open("ab") as file:
            async for data in handle.stdout:
                file.write(data)
                file.flush()
        code = await handle.wait()
        if process.handle is not handle or process.stopped_by_soak:
            return
        if process.term_at is None:
            process.exits.append(f"{process.name} ended with {code}")
        elif code == -signal.SIGTERM and (
            process.term_at - process.started_at < LOADING_S
        ):
            return
        elif code != 0:
            process.exits.append(f"{process.name} stopped with {code}")

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        process = self.processes[name]
        process.stopped_by_soak = True
        if process.handle is not None and process.is_running():
            process.handle.kill()
            await process.handle.wait()

    async def stop(self, name: str) -> None:
        """Stop a process as planned and wait for its end."""
        process = self.processes[name]
        if process.handle is None or not process.is_running():
            return
        process.term_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(LONGEST_STOP_S) as scope:
            await process.handle.wait()
        if scope.cancelled_caught:
            process.exits.append(
                f"{name} still ran {LONGEST_STOP_S:g} s after SIGTERM"
            )
            await self.kill(name)

    async def end(self) -> None:
        """Kill everything that still runs."""
        for name in list(self.processes):
            await self.kill(name)

    def wipe(self, name: str) -> None:
        """Delete the data folder of a controller that doesn't run."""
        shutil.rmtree(self.folder / f"data-{name}", ignore_errors=True)

    # ---- settings --------------------------------------------------------

    def write_settings(
        self, name: str, first_start: bool = False, rotate: int = 0
    ) -> None:
        """Write the settings file of a controller or router.

        Parameters
        ----------
        name : str
        first_start : bool, optional
        rotate : int, optional
            Which two of the controllers are named as seeds.
        """
        peers = [
            self.links[f"controller-{n}/peers"].address
            for n in range(CONTROLLERS)
        ]
        peers = peers[rotate:] + peers[:rotate]
        document: dict[str, Any] = {
            "fleet": "soak",
            "host": name,
            "availability_zone": "zone-a",
            "plain_text": True,
            "directory": {
                "seeds": peers[:2],
                "first_start": first_start,
                "tolerated_hosts": CONTROLLERS // 2,
                "announcement_interval_s": 0.3,
                "repeat_reserve": 50,
            },
        }
        if name.startswith("controller"):
            document["controller"] = {
                "address": f"127.0.0.1:{self._ports[f'{name}/peers']}",
                "advertised_address": self.links[f"{name}/peers"].address,
                "status_address": (
                    f"127.0.0.1:{self._ports[f'{name}/status']}"
                ),
                "data_folder": f"data-{name}",
            }
        else:
            document["router"] = {
                "address": f"127.0.0.1:{self._ports[f'{name}/callers']}",
                "status_address": (
                    f"127.0.0.1:{self._ports[f'{name}/status']}"
                ),
                "drain_s": DRAIN_S,
            }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document))

    def _build_command(self, name: str) -> list[str]:
        if name not in self.list_upstreams():
            settings = str(self.folder / f"{name}.json")
            return [
                sys.executable,
                "-m",
                "hornbeamyard.process.daemon",
                settings,
            ]
        link = self.links[f"{name}/requests"]
        return [
            sys.executable,
            "-m",
            "soak.upstream",
            f"--pool={name.partition('-')[0]}",
            f"--listen=127.0.0.1:{link.target_port}",
            f"--address={link.address}",
            *(
                f"--controller={address}"
                for address in self.list_controller_addresses()
            ),
            f"--journal={self.folder / 'runs.journal'}",
        ]
