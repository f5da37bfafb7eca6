"""Tests of the signal that makes a process reload its settings."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from unittest.mock import Mock

import logbook
import pytest

from hornbeamyard.process.reload import SettingsWatcher
from hornbeamyard.process.settings import load_settings
from hornbeamyard.process.timers import VirtualTimers

from .fleet import find_free_port

TIMEOUT_S = 20.0
# Prints what an entry point does first to a signal, and which of the modules
# that take long to import are there by then.
ENTRY = """
import importlib, runpy, signal, sys

def record(number, handler):
    slow = {{"anyio", "asyncio", "click", "grpc", "json5", "uvicorn"}}
    print(number.name, handler.name, sorted(slow & set(sys.modules)))
    sys.exit()

signal.signal = record
{run}
"""


def write_settings(folder: Path, seed_port: int) -> Path:
    """Write the settings of a router; return the file."""
    settings = {
        "fleet": "test",
        "host": "r1",
        "availability_zone": "zone-a",
        "plain_text": True,
        "directory": {
            "seeds": [f"127.0.0.1:{seed_port}"],
            "tolerated_hosts": 1,
        },
        "router": {"address": f"127.0.0.1:{find_free_port()}"},
    }
    path = folder / "settings.json"
    path.write_text(json.dumps(settings))
    return path


@pytest.mark.process
class TestSignal:
    """A process survives it at any moment."""

    def test_while_process_stops(self, tmp_path: Path) -> None:
        """Guards against a planned stop that ends with the status of a kill.

        The signal comes while the process exits.
        """
        path = write_settings(tmp_path, find_free_port())
        log = tmp_path / "log"
        with log.open("wb") as stream:
            process = subprocess.Popen(
                [sys.executable, "-m", "hornbeamyard.process.daemon", path],
                stdout=stream,
                stderr=stream,
            )
        with process:
            deadline = time.monotonic() + TIMEOUT_S
            while b"start host=" not in log.read_bytes():
                assert process.poll() is None, log.read_text()
                assert time.monotonic() < deadline, log.read_text()
                time.sleep(0.02)
            time.sleep(0.5)
            process.terminate()
            while process.poll() is None:
                assert time.monotonic() < deadline, log.read_text()
                process.send_signal(signal.SIGHUP)
                time.sleep(0.001)
        assert process.returncode == 0, log.read_text()

    @pytest.mark.parametrize(
        "run",
        [
            "runpy.run_module('hornbeamyard.platform', run_name='__main__')",
            "importlib.import_module('hornbeamyard.process.entry').main()",
        ],
    )
    def test_before_imports(self, run: str) -> None:
        """Guards against an end by the signal while modules are imported."""
        done = subprocess.run(
            [sys.executable, "-c", ENTRY.format(run=run)],
            capture_output=True,
            text=True,
            check=False,
            timeout=TIMEOUT_S,
        )
        assert done.stdout == "SIGHUP SIG_IGN []\n", done.stderr

    def test_entry_of_program(self) -> None:
        """Guards against a program that doesn't use the entry point."""
        project = Path(__file__).parents[2] / "pyproject.toml"
        scripts = tomllib.loads(project.read_text())["project"]["scripts"]
        assert scripts["hornbeamyardd"] == "hornbeamyard.process.entry:main"

    @pytest.mark.parametrize(
        "entry",
        [
            ("-m", "hornbeamyard.platform"),
            ("-c", "from hornbeamyard.process import entry; entry.main()"),
        ],
    )
    def test_while_process_starts(
        self, tmp_path: Path, entry: tuple[str, str]
    ) -> None:
        """Guards against an end by the signal before its handler is set."""
        path = write_settings(tmp_path, find_free_port())
        log = tmp_path / "log"
        with log.open("wb") as stream:
            process = subprocess.Popen(
                [sys.executable, *entry, path],
                stdout=stream,
                stderr=stream,
                env={**os.environ, "HORNBEAMYARD_CONFIG": str(path)},
            )
        with process:
            deadline = time.monotonic() + TIMEOUT_S
            # The interpreter's own start can't be covered.
            while not ignores_hangup(process.pid):
                assert time.monotonic() < deadline
            while b"listening on" not in log.read_bytes():
                assert process.poll() is None, log.read_text()
                assert time.monotonic() < deadline, log.read_text()
                process.send_signal(signal.SIGHUP)
                time.sleep(0.01)
            process.terminate()
        assert process.returncode == 0, log.read_text()


def ignores_hangup(pid: int) -> bool:
    """Return whether a process ignores SIGHUP."""
    status = Path(f"/proc/{pid}/status").read_text()
    [mask] = re.findall(r"^SigIgn:\s*(\w+)$", status, re.M)
    return bool(int(mask, 16) & 1 << (signal.SIGHUP - 1))


class TestFile:
    """A changed file is noticed without a signal."""

    def test_changed_during_start(self, tmp_path: Path) -> None:
        """Guards against a change that comes before the file is watched."""
        path = write_settings(tmp_path, 1001)
        settings = load_settings(path).unwrap()
        write_settings(tmp_path, 1002)
        router = Mock()
        watcher = SettingsWatcher(
            path, settings.text, VirtualTimers(), router, None
        )
        watcher.check("file")
        assert router.subscription.seeds == ["127.0.0.1:1002"]

    @pytest.mark.parametrize("depth", [20, 50, 100, 200, 500, 100_000])
    def test_nested_deeply(self, tmp_path: Path, depth: int) -> None:
        """Guards against an end by a file that can't be parsed."""
        path = write_settings(tmp_path, 1001)
        settings = load_settings(path).unwrap()
        path.write_text("[" * depth + "]" * depth)
        router = Mock()
        router.subscription.seeds = ["127.0.0.1:1001"]
        watcher = SettingsWatcher(
            path, settings.text, VirtualTimers(), router, None
        )
        with logbook.TestHandler() as log:
            watcher.check("file")
        assert log.records[-1].message.startswith("reload refused")
        assert router.subscription.seeds == ["127.0.0.1:1001"]
