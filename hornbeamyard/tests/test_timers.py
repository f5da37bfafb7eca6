"""Periodic ticks on the operating system's clock."""

from __future__ import annotations

import time

import anyio
import pytest

from hornbeamyard.process.timers import MonotonicTimers


class TestSubscribe:
    """A subscriber survives a process that was stopped for a while."""

    @pytest.mark.requirement("R16", fault="process frozen and woken")
    def test_goes_on_after_late_tick(self) -> None:
        """Guards against a daemon that ends when a tick comes late."""

        async def run() -> int:
            ticks = 0
            async for _ in MonotonicTimers().subscribe(0.01):
                ticks += 1
                time.sleep(0.015)
                if ticks == 5:
                    break
            return ticks

        assert anyio.run(run) == 5
