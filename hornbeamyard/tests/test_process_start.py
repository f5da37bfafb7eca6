"""Tests of how processes start, and of what may end them."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from .fleet import find_free_port

TIMEOUT_S = 20.0
CONTROLLER_ADDRESSES = ("control", "internal", "metrics")
ROUTER_ADDRESSES = ("front", "readiness", "metrics")
# Runs the daemon with a main task that ends by an error.
FAILING_DAEMON = """
import sys
import anyio
from hornbeamyard.process import daemon

async def fail(*arguments):
    async with anyio.create_task_group():
        {statement}

daemon.run_with_directory = fail
daemon.main()
"""


class Host:
    """One process of a fleet with a route directory, on loopback.

    Attributes
    ----------
    ports : dict of str to int
        Ports by what they are for.
    settings : dict
        Written when the process starts.
    """

    def __init__(self, folder: Path, role: str) -> None:
        names = (
            CONTROLLER_ADDRESSES if role == "controller" else ROUTER_ADDRESSES
        )
        self.ports = {name: find_free_port() for name in names}
        addresses = {
            name: f"127.0.0.1:{port}" for name, port in self.ports.items()
        }
        self.settings: dict[str, Any] = {
            "fleet": "test",
            "host": "h1",
            "availability_zone": "zone-a",
            "plain_text": True,
            "directory": {
                "seeds": [
                    addresses.get("internal")
                    or f"127.0.0.1:{find_free_port()}"
                ],
                "first_start": True,
                "tolerated_hosts": 0,
                "metrics_address": addresses["metrics"],
            },
        }
        if role == "controller":
            self.settings["controller"] = {
                "address": addresses["internal"],
                "status_address": addresses["control"],
                "data_folder": "data",
            }
        else:
            self.settings["router"] = {
                "address": addresses["front"],
                "status_address": addresses["readiness"],
                "drain_s": 1,
            }
        self.data_folder = folder / "data"
        self.path = folder / "settings.json"
        self.log = folder / "log"

    def write_settings(self) -> None:
        """Write the settings file."""
        self.path.write_text(json.dumps(self.settings))

    @contextlib.contextmanager
    def run(self, *command: str) -> Iterator[subprocess.Popen[bytes]]:
        """Run the process, of `hornbeamyard.platform` by default."""
        self.write_settings()
        with self.log.open("wb") as stream:
            process = subprocess.Popen(
                [
                    sys.executable,
                    *(command or ("-m", "hornbeamyard.platform")),
                ],
                stdout=stream,
                stderr=stream,
                env={**os.environ, "HORNBEAMYARD_CONFIG": str(self.path)},
            )
        with process:
            try:
                yield process
            finally:
                process.kill()

    def list_lines(self) -> list[dict[str, Any]]:
        """Return the complete structured lines of the log."""
        lines = self.log.read_text().split("\n")[:-1]
        return [json.loads(line) for line in lines if line.startswith("{")]

    def list_messages(self, text: str) -> list[str]:
        """Return the messages of the log that contain a text."""
        messages = [line.get("message", "") for line in self.list_lines()]
        return [message for message in messages if text in message]

    def wait_for_message(
        self, process: subprocess.Popen[bytes], text: str
    ) -> str:
        """Wait until the log has a message with a text, and return it."""
        deadline = time.monotonic() + TIMEOUT_S
        while not (messages := self.list_messages(text)):
            assert process.poll() is None, self.log.read_text()
            assert time.monotonic() < deadline, self.log.read_text()
            time.sleep(0.02)
        return messages[0]


@pytest.mark.process
class TestEnd:
    """The log tells when and why a process has started and ended."""

    @pytest.mark.parametrize(
        ("statement", "reason"),
        [
            ('raise OSError(5, "disk")', "OSError: [Errno 5] disk"),
            ("sys.exit(3)", "SystemExit: 3"),
            ("return", "ended by itself"),
        ],
    )
    def test_by_error(
        self, tmp_path: Path, statement: str, reason: str
    ) -> None:
        """Guards against an end by an error that leaves no line."""
        host = Host(tmp_path, "router")
        code = FAILING_DAEMON.format(statement=statement)
        with host.run("-c", code, str(host.path)) as process:
            assert process.wait(TIMEOUT_S) == 1
            lines = host.list_lines()
            [start] = host.list_messages("start host=")
            [stop] = host.list_messages("stop host=")
        assert f"first_start=True pid={process.pid} seeds=['" in start
        assert stop == f"stop host=h1 reason={reason}"
        assert lines[-1]["message"] == stop
        assert ("traceback" in lines[-1]) is (statement != "return")

    @pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
    @pytest.mark.parametrize("role", ["controller", "router"])
    def test_by_signal(
        self, tmp_path: Path, role: str, number: signal.Signals
    ) -> None:
        """Guards against a signal during the start that leaves no line."""
        host = Host(tmp_path, role)
        with host.run() as process:
            host.wait_for_message(process, "start host=")
            process.send_signal(number)
            assert process.wait(TIMEOUT_S) == 0
        [stop] = host.list_messages("stop host=")
        assert stop == f"stop host=h1 reason={number.name}"

    def test_by_settings(self, tmp_path: Path) -> None:
        """Guards against invalid settings without a clear message."""
        host = Host(tmp_path, "router")
        host.settings["router"]["address"] = "front"
        with host.run() as process:
            assert process.wait(TIMEOUT_S) == 2
        assert "router.address" in host.log.read_text()
