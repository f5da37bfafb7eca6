"""Processes of the soak, with proxies in front of their addresses."""

from __future__ import annotations

import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from .links import Link
from .plan import NO_ADDITIONS, Plan
from .upstream import CRASH_EXIT_CODE

ROUTERS = 3
POOLS = ("app", "model")
# Upstreams of each pool.
UPSTREAMS = 2
# Availability zones: routers, controllers and the first upstream of each pool
# are in the first one, and in runs with an evacuation the second upstream is
# in the other one, which is evacuated.
ZONE = "zone-a"
OTHER_ZONE = "zone-b"
# Room for requests in runs with crowds, the least that there is.
CROWDED_ROOM_BYTES = 8 * 2**20
# A router that stops lets running requests go on for this long.
DRAIN_S = 6.0
# Every process must exit within this time after SIGTERM.
MAX_STOP_S = DRAIN_S + 4.0
# Time in which a process may still be without its handler of SIGTERM, so that
# the signal ends it at once, as was asked.
STARTUP_S = 3.0
# Processor time in which the interpreter may still be starting. No program can
# ignore SIGHUP before its first line runs.
INTERPRETER_START_S = 0.1
# Whoever runs the processes starts one that has ended by itself after this
# time.
CRASHED_S = 0.8
# Time that a controller may take to hold the state after a start with an empty
# folder, and counts as lost until then.
CATCH_UP_S = 4.0
# The fleet must serve everything again this long after the last fault.
RECOVERY_S = 12.0


@dataclass(slots=True, eq=False)
class Process:
    """A process that can be started several times under one name.

    Attributes
    ----------
    name : str
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
    unexpected_exits : list of str
        Descriptions of exits that the soak didn't request, that had an exit
        code other than 0, or that took too long.
    start_lock : anyio.Lock
        Held while it is being started or killed.
    """

    name: str
    starts: int = 0
    started_at: float = 0.0
    handle: anyio.abc.Process | None = None
    killed_by_soak: bool = False
    sigterm_at: float | None = None
    unexpected_exits: list[str] = field(default_factory=list)
    start_lock: anyio.Lock = field(default_factory=anyio.Lock)

    def is_running(self) -> bool:
        """Return whether the process runs or is suspended."""
        return self.handle is not None and self.handle.returncode is None

    def may_be_starting(self) -> bool:
        """Return whether the interpreter may not have run its first line."""
        if self.handle is None or self.handle.returncode is not None:
            return False
        try:
            stat = Path(f"/proc/{self.handle.pid}/stat").read_text()
        except OSError:
            # It has just ended.
            return False
        # User and system time, after the program's name in parentheses.
        ticks = sum(map(int, stat.rpartition(")")[2].split()[11:13]))
        used_s = ticks / os.sysconf("SC_CLK_TCK")
        ran_s = time.monotonic() - self.started_at
        return used_s < INTERPRETER_START_S and ran_s < STARTUP_S

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
    controllers : int
        Number of controllers, of which less than half may lose their disks.
    plan : Plan, optional

    Attributes
    ----------
    plan : Plan
        What the seed adds to the run.
    controllers : list of str
        Names of the controllers, without those that were removed for good.
    tolerated : int
        Number of controllers that may lose their disks at the same time.
    processes : dict of str to Process
        By name of the process.
    links : dict of str to Link
        Proxies by name, such as `router-0/callers`.
    """

    def __init__(
        self,
        folder: Path,
        tasks: anyio.abc.TaskGroup,
        first_port: int,
        controllers: int,
        plan: Plan = NO_ADDITIONS,
    ) -> None:
        # Processes would inherit that it is ignored, as below nohup.
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.folder = folder
        self.plan = plan
        self._next_port = first_port
        self._tasks = tasks
        self._ports: dict[str, int] = {}
        self.processes: dict[str, Process] = {}
        self.links: dict[str, Link] = {}
        self.controllers: list[str] = []
        self.tolerated = (controllers - 1) // 2
        for _ in range(controllers):
            self.add_controller()
        for name in self.list_routers():
            self._add_link(f"{name}/callers")
            for purpose in ("status", "metrics"):
                self._ports[f"{name}/{purpose}"] = self._allocate_port()
            self.processes[name] = Process(name)
        for name in self.list_upstreams():
            self._add_link(f"{name}/requests")
            self.processes[name] = Process(name)

    def add_controller(self) -> str:
        """Add a controller at new addresses; return its name."""
        number = sum(name.startswith("controller") for name in self.processes)
        name = f"controller-{number}"
        for purpose in ("peers", "status"):
            self._add_link(f"{name}/{purpose}")
        self._ports[f"{name}/metrics"] = self._allocate_port()
        self.processes[name] = Process(name)
        self.controllers.append(name)
        return name

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

    def list_routers(self) -> list[str]:
        """Return the names of all routers."""
        return [f"router-{number}" for number in range(ROUTERS)]

    def replace(self, name: str) -> str:
        """Put a new controller in the place of another; return its name."""
        self.controllers.remove(name)
        return self.add_controller()

    def get_status_port(self, router: int) -> int:
        """Return the port at which a router reports its readiness."""
        return self._ports[f"router-{router}/status"]

    def get_metrics_address(self, name: str) -> str:
        """Return the address at which a process serves its metrics."""
        return f"127.0.0.1:{self._ports[f'{name}/metrics']}"

    def get_zone(self, upstream: str) -> str:
        """Return the availability zone of an upstream."""
        is_second = upstream.partition("-")[2] != "0"
        return OTHER_ZONE if self.plan.evacuates and is_second else ZONE

    def list_addresses(self, process: str) -> list[str]:
        """Return the names of the addresses at which a process listens."""
        return [name for name in self._ports if name.startswith(f"{process}/")]

    def take(self, address: str, stack: ExitStack) -> None:
        """Listen at a process's address until the stack is closed."""
        holder = stack.enter_context(socket.socket())
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", self._ports[address]))
        holder.listen()

    # ---- processes -------------------------------------------------------

    async def start(self, name: str, first_start: bool = False) -> None:
        """Start a process, for the first time or again.

        Parameters
        ----------
        name : str
        first_start : bool, optional
            Whether the whole fleet starts for the first time.
        """
        process = self.processes[name]
        async with process.start_lock:
            # A fault and the restart after a crash may both start it.
            if not process.is_running():
                await self._launch(process, first_start)

    async def _launch(
        self, process: Process, first_start: bool = False
    ) -> None:
        name = process.name
        command = self._build_command(name)
        if name in self.list_upstreams():
            # An upstream has a new id after each start.
            command = [*command, f"--id={name}.{process.starts}"]
        else:
            self.write_settings(name, first_start)
        process.handle = await anyio.open_process(
            command, stderr=subprocess.STDOUT
        )
        process.starts += 1
        process.started_at = time.monotonic()
        process.killed_by_soak = False
        process.sigterm_at = None
        self._tasks.start_soon(self._watch, process, process.handle)

    async def _watch(
        self, process: Process, handle: anyio.abc.Process
    ) -> None:
        """Write a process's log, and handle its exit if nobody asked for it.

        Such an exit is recorded, but for the crash of an upstream, and the
        process is started again.
        """
        log = self.folder / f"{process.name}.log"
        assert handle.stdout is not None
        with log.open("ab") as file:
            async for data in handle.stdout:
                file.write(data)
                file.flush()
        code = await handle.wait()
        if process.handle is not handle or process.killed_by_soak:
            return
        crashed = (
            code == CRASH_EXIT_CODE and process.name in self.list_upstreams()
        )
        if process.sigterm_at is not None:
            early = process.sigterm_at - process.started_at < STARTUP_S
            ended = code == 0 or (code == -signal.SIGTERM and early)
            if not ended and not crashed:
                process.unexpected_exits.append(
                    f"{process.name} exited with {code} after SIGTERM"
                )
            return
        if not crashed:
            took_s = time.monotonic() - process.started_at
            process.unexpected_exits.append(
                f"{process.name} exited with {code} without a request to stop "
                f"{took_s:.1f} s after start {process.starts}"
            )
        await anyio.sleep(CRASHED_S)
        async with process.start_lock:
            if process.handle is handle and not process.killed_by_soak:
                await self._launch(process)

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        process = self.processes[name]
        async with process.start_lock:
            process.killed_by_soak = True
            if process.handle is not None and process.is_running():
                process.handle.kill()
                await process.handle.wait()

    async def hang_up(self, name: str, first_seed: int = 0) -> None:
        """Write a running process's settings again and send it SIGHUP.

        Parameters
        ----------
        name : str
        first_seed : int, optional
            Number of the first of the controllers listed as seeds.
        """
        process = self.processes[name]
        while process.may_be_starting():
            await anyio.sleep(0.005)
        self.write_settings(name, first_seed=first_seed)
        process.send_signal(signal.SIGHUP)

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
            Number of the first of the controllers listed as seeds.
        """
        peers = [self.links[f"{n}/peers"].address for n in self.controllers]
        peers = peers[first_seed:] + peers[:first_seed]
        document: dict[str, Any] = {
            "fleet": "soak",
            "host": name,
            "availability_zone": ZONE,
            "plain_text": True,
            "directory": {
                "seeds": peers[: self.tolerated + 1],
                "first_start": first_start,
                "tolerated_hosts": self.tolerated,
                "catch_up_s": CATCH_UP_S,
                "metrics_address": self.get_metrics_address(name),
                "announcement_interval_s": 0.3,
                "repeat_reserve": 50,
            },
        }
        if self.plan.has_crowds:
            document["memory"] = {"request_bytes": CROWDED_ROOM_BYTES}
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
        # A process that starts must not read half of a file.
        new = path.with_suffix(".new")
        new.write_text(json.dumps(document))
        new.replace(path)

    def _build_command(self, name: str) -> list[str]:
        if name not in self.list_upstreams():
            settings = str(self.folder / f"{name}.json")
            return [
                sys.executable,
                "-c",
                # What the installed program hornbeamyardd runs.
                "from hornbeamyard.process.entry import main; main()",
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
                f"--controller={self.links[f'{name}/status'].address}"
                for name in self.controllers
            ),
            f"--journal={self.folder / 'runs.journal'}",
            f"--zone={self.get_zone(name)}",
            f"--cold-s={self.plan.cold_start_s}",
        ]
