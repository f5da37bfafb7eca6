"""Clocks, sleeps, time limits and periodic ticks."""

from __future__ import annotations

import time

import anyio
import pytest

from hornbeamyard.process.timers import (
    MonotonicTimers,
    Timers,
    VirtualTimers,
    align_tick,
)


class TestTick:
    """Ticks of a subscription."""

    @pytest.mark.requirement("R12", fault="process frozen")
    def test_overdue_tick(self) -> None:
        """Guards against failing on an overdue tick after a freeze."""

        async def run() -> None:
            ticks = MonotonicTimers().subscribe(0.01)
            await anext(ticks)
            time.sleep(0.05)
            with anyio.fail_after(1):
                await anext(ticks)
                await anext(ticks)

        anyio.run(run)

    @pytest.mark.requirement("R16", fault="process frozen and resumed")
    def test_goes_on_after_late_tick(self) -> None:
        """Guards against ending a subscription after a late tick."""

        async def run() -> int:
            ticks = 0
            async for _ in MonotonicTimers().subscribe(0.01):
                ticks += 1
                time.sleep(0.015)
                if ticks == 5:
                    break
            return ticks

        assert anyio.run(run) == 5

    def test_ticks_coincide(self) -> None:
        """Guards against a wake-up of the process for each subscriber."""
        origin = 1000.03
        due = {0.1: origin + 0.07, 0.25: origin + 0.07, 1.0: origin + 0.5}
        ticks: dict[float, set[float]] = {}
        for interval, start in due.items():
            at = align_tick(start + interval, interval, origin)
            assert start < at <= start + interval
            while at < origin + 3.0:
                ticks.setdefault(interval, set()).add(round(at - origin, 6))
                at = align_tick(at + interval, interval, origin)
        assert len(ticks[0.1]) == 29
        assert ticks[0.25] == {0.25 * number for number in range(1, 12)}
        assert ticks[1.0] == {1.0, 2.0}
        assert ticks[1.0] <= ticks[0.25] & ticks[0.1]


class TestVirtualTimers:
    """Time that moves only when it is advanced."""

    def test_order_and_speed(self) -> None:
        """Guards against real waits and timers that fire out of order."""

        async def run() -> None:
            timers: Timers = VirtualTimers()
            assert isinstance(timers, VirtualTimers)
            seen = []

            async def tick(name: str, interval: float) -> None:
                async for now in timers.subscribe(interval):
                    seen.append((round(now, 6), name))

            started = time.monotonic()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(tick, "fast", 1.0)
                tasks.start_soon(tick, "slow", 2.5)
                await timers.advance(100.0)
                tasks.cancel_scope.cancel()
            assert time.monotonic() - started < 5.0
            assert seen == sorted(seen, key=lambda entry: entry[0])
            assert len(seen) == 140

        anyio.run(run)

    def test_limit_does_not_cancel_finished_block(self) -> None:
        """Guards against cancelling a block that has already finished."""

        async def run() -> None:
            timers = VirtualTimers()
            with timers.limit(1.0) as scope:
                pass
            await timers.advance(2.0)
            assert not scope.cancel_called

        anyio.run(run)
