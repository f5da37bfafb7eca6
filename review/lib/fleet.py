"""Processes of a small deployment on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from wire import call

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ("python3", "-m", "hornbeamyard.platform")
TEMPLATE = ROOT / "deploy" / "settings.json"
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stabilityWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevocation": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 58,
    "recoveryS": 12,
    "passMs": 120,
    "reuseWindowS": 9.8,
    "quotaWindowS": 4,
}
HEARTBEAT_MS = 1200
ZONE = "zone-a"


def render(text: str, fields: Any) -> str:
    """Fill in a template of settings as the platform does."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill_section(found: re.Match[str]) -> str:
        value = look_up(fields, found[2])
        if found[1] == "^":
            return "" if value else found[3]
        if value is None or value is False:
            return ""
        # Inner sections have an entry of their own.
        inner = section.sub(fill_section, found[3])
        return inner.replace("{{.}}", str(value))

    def fill_value(found: re.Match[str]) -> str:
        value = look_up(fields, found[1])
        if found[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = section.sub(fill_section, text)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill_value, text)


def look_up(fields: Any, path: str) -> Any:
    """Return the value at a dotted path; None if there is none."""
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)] if int(name) < len(fields) else None
        elif isinstance(fields, dict):
            fields = fields.get(name)
        else:
            return None
    return fields


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8", buffering=1)
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self.started_at

    def note(self, kind: str, **fields: object) -> None:
        """Write one line."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {kind} {values}\n")


class Machine:
    """One machine of the deployment, with one process."""

    def __init__(
        self, fleet: Fleet, name: str, role: str, number: int
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.role = role
        self.ip = f"127.0.{fleet.net}.{number}"
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.process: asyncio.subprocess.Process | None = None
        self.first_start = True
        # Seeds of its own, where a link in between is played by a proxy.
        self.seeds: list[str] | None = None
        # Exits that this test hasn't asked for.
        self.unasked_exits: list[float] = []
        self._asked = False
        self._watcher: asyncio.Task[None] | None = None

    @property
    def control(self) -> tuple[str, int]:
        """Address of the control interface."""
        return self.ip, self.fleet.ports["control"]

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return self.ip, self.fleet.ports["front"]

    @property
    def readiness(self) -> tuple[str, int]:
        """Address of the readiness check."""
        return self.ip, self.fleet.ports["readiness"]

    def write_settings(self) -> Path:
        """Write the settings file as the platform does."""
        ports = self.fleet.ports
        core = self.role == "core"
        listen = (
            {"control": f"{self.ip}:{ports['control']}"}
            if core
            else {
                "front": f"{self.ip}:{ports['front']}",
                "readiness": f"{self.ip}:{ports['readiness']}",
            }
        )
        fields = {
            "nodeName": self.name,
            "ip": self.ip,
            "zone": ZONE,
            "seeds": self.seeds or self.fleet.seeds,
            "internalPorts": [ports["internal"], ports["internal"] + 15],
            "firstStart": self.first_start,
            "faultTolerance": {
                "machines": self.fleet.tolerated,
                "zones": 0,
                "regions": 0,
            },
            "heartbeatMs": HEARTBEAT_MS,
            "bounds": self.fleet.bounds,
            "listen": listen,
            "dataDirectory": str(self.folder / "data") if core else None,
        }
        text = render(TEMPLATE.read_text(encoding="utf-8"), fields)
        # The metrics have a port of their own on each machine's address.
        text = text.replace(":9464", f":{ports['metrics']}")
        path = self.folder / "boot.json"
        path.write_text(text, encoding="utf-8")
        return path

    async def start(self) -> None:
        """Start the process."""
        path = self.write_settings()
        (self.folder / "data").mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
            "HORNBEAMYARD_CONFIG": str(path),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self._asked = False
        self.fleet.record.note("start", machine=self.name)
        self._watcher = asyncio.create_task(self._watch(self.process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if self._asked or process is not self.process:
            return
        self.unasked_exits.append(self.fleet.record.now())
        self.fleet.record.note(
            "exited-by-itself", machine=self.name, code=code
        )
        # The platform starts a process again after a short delay.
        await asyncio.sleep(0.5)
        if not self.fleet.closing:
            self.first_start = False
            await self.start()

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self._asked = True
        if self.process is not None and self.process.returncode is None:
            self.fleet.record.note("kill", machine=self.name)
            self.process.kill()
            await self.process.wait()
        self.first_start = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if number is signal.SIGTERM:
            self._asked = True
        assert self.process is not None
        self.fleet.record.note("signal", machine=self.name, number=number.name)
        self.process.send_signal(number)

    async def terminate(self, grace_s: float) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        self.signal(signal.SIGTERM)
        assert self.process is not None
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except TimeoutError:
            await self.kill()
        self.first_start = False

    async def is_ready(self) -> bool:
        """Return whether the platform would send clients to this machine."""
        answer = await call(self.readiness, "GET", "/readiness")
        return answer.status == 200

    def wipe(self) -> None:
        """Lose the disk."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)


class Fleet:
    """All machines of the deployment."""

    def __init__(
        self,
        record: Record,
        controllers: int = 3,
        routers: int = 2,
        bounds: dict[str, Any] | None = None,
        step: int = 1,
    ) -> None:
        self.record = record
        self.closing = False
        self.bounds = BOUNDS | (bounds or {})
        self.tolerated = (controllers - 1) // 2
        self.folder = Path(tempfile.mkdtemp(prefix="hornbeamyard-review-"))
        # An own part of the loopback range keeps runs side by side apart.
        self.net = random.randrange(1, 250)
        self.ports = find_ports(f"127.0.{self.net}.1")
        self.controllers = [
            Machine(self, f"core-{n + 1}", "core", (n + 1) * step)
            for n in range(controllers)
        ]
        self.routers = [
            Machine(self, f"front-{n + 1}", "front", n + 101)
            for n in range(routers)
        ]
        self.seeds = [
            f"{m.ip}:{self.ports['control']}" for m in self.controllers[:3]
        ]

    @property
    def machines(self) -> list[Machine]:
        """All machines."""
        return [*self.controllers, *self.routers]

    async def start(self) -> None:
        """Start all machines."""
        await asyncio.gather(*(m.start() for m in self.machines))

    async def wait_until_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until every router says that it is ready."""
        deadline = time.monotonic() + timeout_s
        for router in self.routers:
            while not await router.is_ready():
                if time.monotonic() > deadline:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def close(self) -> None:
        """End all processes and remove the folder."""
        self.closing = True
        for machine in self.machines:
            machine._asked = True
            if machine.is_running():
                assert machine.process is not None
                machine.process.kill()
                await machine.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def find_ports(ip: str) -> dict[str, int]:
    """Return free ports for the interfaces of the machines."""
    names = ("control", "front", "readiness", "metrics", "worker")
    while True:
        base = random.randrange(20000, 30000)
        try:
            for offset in range(40):
                with socket.socket() as probe:
                    probe.bind((ip, base + offset))
        except OSError:
            continue
        ports = {name: base + n for n, name in enumerate(names)}
        return ports | {"internal": base + 20}
