"""Tests of the signal that makes a process reload its settings."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from .fleet import find_free_port

TIMEOUT_S = 20.0


@pytest.mark.process
class TestSignal:
    """A process survives it at any moment."""

    def test_while_process_stops(self, tmp_path: Path) -> None:
        """Guards against a planned stop that ends with the status of a kill.

        The signal comes while the process exits.
        """
        settings = {
            "fleet": "test",
            "host": "r1",
            "availability_zone": "zone-a",
            "plain_text": True,
            "directory": {
                "seeds": [f"127.0.0.1:{find_free_port()}"],
                "tolerated_hosts": 1,
            },
            "router": {"address": f"127.0.0.1:{find_free_port()}"},
        }
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(settings))
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
