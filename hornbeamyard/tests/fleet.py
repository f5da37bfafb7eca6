"""Daemons and fake upstreams as processes on loopback."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

import httpcore

from hornbeamyard.process.settings import load_settings
from hornbeamyard.version.bootstrap import initialize
from hornbeamyard.version.configuration import hash_key

CALLER_KEY_PREFIX = "caller-key-"
UPSTREAM_KEY = "upstream-key"
START_TIMEOUT_S = 20.0

_returned_ports: set[int] = set()


def find_free_port() -> int:
    """Return a TCP port that is free on loopback, another one in each call.

    Nothing listens at it until the caller starts a process, so the system
    may choose it again.
    """
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = int(probe.getsockname()[1])
        if port not in _returned_ports:
            _returned_ports.add(port)
            return port


@dataclass
class LocalFleet:
    """A fleet of processes on loopback, stopped on exit.

    Attributes
    ----------
    folder : Path
        Folder for settings, data and logs.
    routers : int
        Number of hosts; each runs a router.
    controllers : int
        Number of hosts that also run a controller, the first ones.
    accounts : tuple of str
        Client accounts, each with a share of 1.
    processes : dict of str to Popen
        Daemons by host and upstreams by name.
    router_ports, controller_ports : list of int
        Port of each router and controller.
    version : int
        Configuration version that `configure` expects to be in force.
    relay_ports : list of int
        Ports at which the other hosts reach the controllers through a relay;
        empty for the controllers' own ports. Set it after entering the
        context, and then call `write_settings`.
    router_options : dict of str to any
        Additional settings of the router role.
    """

    folder: Path
    routers: int = 2
    controllers: int = 1
    accounts: tuple[str, ...] = ("hotel", "museum")
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    router_ports: list[int] = field(default_factory=list)
    controller_ports: list[int] = field(default_factory=list)
    version: int = 0
    relay_ports: list[int] = field(default_factory=list)
    router_options: dict[str, Any] = field(default_factory=dict)

    def __enter__(self) -> LocalFleet:
        self.router_ports = [find_free_port() for _ in range(self.routers)]
        self.controller_ports = [
            find_free_port() for _ in range(self.controllers)
        ]
        self.write_settings()
        return self

    def write_settings(self) -> None:
        """Write the settings of all hosts."""
        for number in range(self.routers):
            self.write_host_settings(number)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def stop(self) -> dict[str, int]:
        """Stop all processes; return their exit codes by name."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + 10
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        return {name: p.returncode for name, p in self.processes.items()}

    def start(self) -> None:
        """Start all daemons, without a configuration."""
        self.initialize()
        for number in range(self.routers):
            self.start_host(number)

    def initialize(self) -> None:
        """Write the initial members into the controllers' data folders."""
        for number in range(self.controllers):
            settings = load_settings(self.folder / f"host-{number}.json")
            initialize(settings.unwrap()).unwrap()

    def start_host(self, number: int) -> None:
        """Start the daemon of one host."""
        settings = self.folder / f"host-{number}.json"
        self._spawn(
            f"host-{number}",
            [sys.executable, "-m", "hornbeamyard.process.daemon", settings],
        )

    def start_upstream(
        self, name: str, pool: str, *arguments: str, key: str = UPSTREAM_KEY
    ) -> int:
        """Start a fake upstream; return its port."""
        port = find_free_port()
        command = [
            sys.executable,
            "-m",
            "hornbeamyard.tests.fake_upstream",
            f"--name={name}",
            f"--pool={pool}",
            f"--port={port}",
            f"--key={key}",
            *arguments,
        ]
        for router in self.router_ports:
            command.append(f"--router=127.0.0.1:{router}")
        self._spawn(name, command)
        return port

    def configure(self, document: dict[str, Any]) -> None:
        """Submit a patch that replaces the document, until it is accepted."""
        patch = self.folder / "patch.json"
        patch.write_text(
            json.dumps([{"op": "replace", "path": "", "value": document}])
        )
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            result = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "hornbeamyard.process.commands",
                    "config",
                    "patch",
                    f"--settings={self.folder / 'host-0.json'}",
                    f"--base={self.version}",
                    patch,
                ],
                capture_output=True,
                check=False,
            )
            if result.returncode == 0:
                break
            if time.monotonic() > deadline:
                raise TimeoutError(result.stderr.decode())
            time.sleep(0.2)
        self.version += 1
        self.wait_ready()

    def run_command(
        self, *arguments: Any, host: int = 0
    ) -> subprocess.CompletedProcess[str]:
        """Run `hornbeamyard ARGUMENTS` with the settings of one host."""
        command = [sys.executable, "-m", "hornbeamyard.process.commands"]
        command += [str(argument) for argument in arguments]
        command.append(f"--settings={self.folder / f'host-{host}.json'}")
        return subprocess.run(
            command,
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )

    def build_document(self, pools: dict[str, str]) -> dict[str, Any]:
        """Return a configuration document with the fleet's accounts and pools.

        Parameters
        ----------
        pools : dict of str to str
            Kind of each pool by name.
        """
        return {
            "client_accounts": {
                name: {
                    "share": 1,
                    "keys": [hash_key(CALLER_KEY_PREFIX + name)],
                }
                for name in self.accounts
            },
            "pools": {name: {"kind": kind} for name, kind in pools.items()},
            "upstreams": {
                f"{pool}-{number}": {"keys": [hash_key(UPSTREAM_KEY)]}
                for pool in pools
                for number in range(16)
            },
            "operators": {},
        }

    def wait_ready(self) -> None:
        """Wait until every router reports that it is ready."""
        deadline = time.monotonic() + START_TIMEOUT_S
        for port in self.router_ports:
            while not self._is_ready(port):
                if time.monotonic() > deadline:
                    raise TimeoutError(
                        f"the router on port {port} is not ready"
                    )
                time.sleep(0.05)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self.processes[name].kill()
        self.processes[name].wait()

    def read_log(self, name: str) -> str:
        """Return what a process wrote to standard output and error."""
        return (self.folder / f"{name}.log").read_text()

    def _is_ready(self, port: int) -> bool:
        try:
            url = f"http://127.0.0.1:{port}/health/ready"
            return httpcore.request("GET", url).status == 200
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return False

    def _spawn(self, name: str, command: list[Any]) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                stdout=log,
                stderr=log,
                env=dict(os.environ, PYTHONUNBUFFERED="1"),
            )

    def write_host_settings(self, number: int) -> None:
        """Write the settings file of one host."""
        zones = ("centro", "terminal", "zona-3")
        document: dict[str, Any] = {
            "fleet": "test",
            "host": f"host-{number}",
            "availability_zone": zones[number % len(zones)],
            "controllers": {
                f"host-{index}": f"127.0.0.1:{port}"
                for index, port in enumerate(
                    self.relay_ports or self.controller_ports
                )
            },
            "router": {
                "address": f"127.0.0.1:{self.router_ports[number]}",
                "drain_s": 20,
                **self.router_options,
            },
        }
        if number < self.controllers:
            document["controller"] = {
                "address": f"127.0.0.1:{self.controller_ports[number]}",
                "data_folder": f"data-{number}",
            }
        path = self.folder / f"host-{number}.json"
        path.write_text(json.dumps(document))
