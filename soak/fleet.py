"""Processes of the soak, with proxies in front of their addresses."""

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
from .upstream import CRASH_EXIT_CODE

CONTROLLERS = 3
ROUTERS = 3
POOLS = ("app", "model")
# Upstreams of each pool.
UPSTREAMS = 2
# A router that stops lets running requests go on for this long.
DRAIN_S = 6.0
# Every process must exit within this time after SIGTERM.
MAX_STOP_S = DRAIN_S + 4.0
# Time in which a process may still be without its signal handlers, so that
# signals have their default effect and SIGTERM ends it at once.
STARTUP_S = 3.0
# An upstream that crashes under a request is down for this long.
CRASHED_S = 0.8


@dataclass(slots=True, eq=False)
class Process:
    """A process that can be started several times under one name.

    Attributes
    ----------
    name : str
    command : list of str
    starts : int
        How often it has been started.
    started_at : float
        Monotonic time of the last start, in seconds.
    handle : anyio.abc.Process or None
        The operating system's process since the last start.
    killed_by_soak : bool
        Whether the soak has killed the process since the last start.
    sigterm_at : float or None
        Monotonic time of the SIGTERM since the last start, in seconds.
    frozen : bool
        Always False; nothing sets it.
    unexpected_exits : list of str
        Descriptions of exits that the soak didn't request, that had an exit
        code other than 0, or that took too long.
    start_lock : anyio.Lock
        Held while it is being started.
    """

    name: str
    command: list[str]
    starts: int = 0
    started_at: float = 0.0
    handle: anyio.abc.Process | None = None
    killed_by_soak: bool = False
    sigterm_at: float | None = None
    frozen: bool = False
    unexpected_exits: list[str] = field(default_factory=list)
    start_lock: anyio.Lock = field(default_factory=anyio.Lock)

    def is_loaded(self) -> bool:
        """Return whether the process must have its signal handlers by now."""
        return time.monotonic() - self.started_at > STARTUP_S

    def is_running(self) -> bool:
        """Return whether the process runs or is suspended."""
        return self.handle is not None and self.handle.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self.handle is not None and self.handle.returncode is None:
            self.handle.send_signal(number)

    def limit_file_size(self, size: int | None) -> None:
        """Limit the size in bytes of the process's files; None lifts it."""
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
        Folder for settings, data, journals and logs.
    tasks : anyio.abc.TaskGroup
        Runs the proxies and the tasks that write the logs.
    first_port : int
        First of the ports to use; they must be free.

    Attributes
    ----------
    processes : dict of str to Process
        By name of the process.
    links : dict of str to Link
        Proxies by name, such as `router-0/callers`.
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
            self._ports[f"router-{number}/status"] = self._allocate_port()
        for name in self.list_upstreams():
            self._add_link(f"{name}/requests")

    def _add_link(self, name: str) -> None:
        self._ports[name] = self._allocate_port()
        link = Link(name, self._allocate_port(), self._ports[name])
        self.links[name] = link
        self._tasks.start_soon(link.serve)

    def _allocate_port(self) -> int:
        self._next_port += 1
        return self._next_port - 1

    def list_upstreams(self) -> list[str]:
        """Return the names of all upstreams."""
        return [
            f"{pool}-{number}" for pool in POOLS for number in range(UPSTREAMS)
        ]

    def list_links(self, process: str) -> list[Link]:
        """Return the links to the addresses of a process."""
        return [
            link
            for name, link in self.links.items()
            if name.startswith(f"{process}/")
        ]

    def get_status_port(self, router: int) -> int:
        """Return the port at which a router reports its readiness."""
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
        elif name.startswith("controller") and not process.is_running():
            self.write_settings(name)
        async with process.start_lock:
            # A fault and the restart after a crash may both start it.
            if not process.is_running():
                await self._launch(process)

    async def _launch(self, process: Process) -> None:
        name = process.name
        command = process.command
        if name in self.list_upstreams():
            # An upstream has a new id after each start.
            command = [*command, f"--id={name}.{process.starts}"]
        process.handle = await anyio.open_process(
            command, stderr=subprocess.STDOUT
        )
        process.starts += 1
        process.started_at = time.monotonic()
        process.killed_by_soak = False
        process.sigterm_at = None
        process.frozen = False
        self._tasks.start_soon(self._watch, process, process.handle)

    async def _watch(
        self, process: Process, handle: anyio.abc.Process
    ) -> None:
        """Write a process's log and record an unexpected exit."""
        log = self.folder / f"{process.name}.log"
        assert handle.stdout is not None
        with log.open("ab") as file:
            async for data in handle.stdout:
                file.write(data)
                file.flush()
        code = await handle.wait()
        if process.handle is not handle or process.killed_by_soak:
            return
        if code == CRASH_EXIT_CODE and process.name in self.list_upstreams():
            await anyio.sleep(CRASHED_S)
            if process.handle is handle and not process.killed_by_soak:
                await self.start(process.name)
            return
        if process.sigterm_at is None:
            process.unexpected_exits.append(
                f"{process.name} exited with {code} without a request to stop"
            )
        elif code == -signal.SIGTERM and (
            process.sigterm_at - process.started_at < STARTUP_S
        ):
            return
        elif code != 0:
            process.unexpected_exits.append(
                f"{process.name} exited with {code} after SIGTERM"
            )

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        process = self.processes[name]
        process.killed_by_soak = True
        if process.handle is not None and process.is_running():
            process.handle.kill()
            await process.handle.wait()

    async def stop(self, name: str) -> None:
        """Stop a process with SIGTERM and wait for its exit.

        A process that runs longer than `MAX_STOP_S` is killed.
        """
        process = self.processes[name]
        if process.handle is None or not process.is_running():
            return
        process.sigterm_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(MAX_STOP_S) as scope:
            await process.handle.wait()
        if scope.cancelled_caught:
            process.unexpected_exits.append(
                f"{name} still ran {MAX_STOP_S:g} s after SIGTERM"
            )
            await self.kill(name)

    async def kill_all(self) -> None:
        """Kill all processes that still run."""
        for name in list(self.processes):
            await self.kill(name)

    def wipe(self, name: str) -> None:
        """Delete the data folder of a controller that doesn't run."""
        shutil.rmtree(self.folder / f"data-{name}", ignore_errors=True)

    # ---- settings --------------------------------------------------------

    def write_settings(
        self, name: str, first_start: bool = False, first_seed: int = 0
    ) -> None:
        """Write the settings file of a controller or router.

        Parameters
        ----------
        name : str
        first_start : bool, optional
            Whether the whole fleet starts for the first time.
        first_seed : int, optional
            Number of the first of the two controllers listed as seeds.
        """
        peers = [
            self.links[f"controller-{n}/peers"].address
            for n in range(CONTROLLERS)
        ]
        peers = peers[first_seed:] + peers[:first_seed]
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
