"""Test of the demo."""

from __future__ import annotations

import subprocess
import sys

import pytest


@pytest.mark.process
class TestDemo:
    """The demo runs all steps and prints their results."""

    @pytest.mark.requirement("R7")
    def test_runs(self) -> None:
        """Guards against a demo that fails or falsely reports success."""
        result = subprocess.run(
            [sys.executable, "-m", "hornbeamyard.tests.demo"],
            capture_output=True,
            text=True,
            check=False,
            timeout=90,
        )
        assert result.returncode == 0, result.stdout + result.stderr
        for text in (
            "tokens 0 to 4, then [DONE]",
            "accepted as version 2",
            "version 2 is in force on 2 routers",
            "tokens 0 to 99, then [DONE]",
            "exit code 0 of host-0, host-1",
        ):
            assert text in result.stdout
