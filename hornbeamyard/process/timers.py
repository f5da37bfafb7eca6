"""Clocks, sleeps, time limits and periodic ticks.

All parts of a process share one `Timers` object, so that tests can run them
on virtual time.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass, field
from typing import Protocol

import anyio
from anyio.lowlevel import checkpoint

# Fraction of an interval by which a computed time may be too early.
ROUNDING_TOLERANCE = 1e-6


class Timers(Protocol):
    """Clocks and timers for all parts of a process."""

    def now(self) -> float:
        """Return monotonic time in seconds."""

    def wall_ms(self) -> int:
        """Return wall-clock time in milliseconds since 1970."""

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for `seconds`."""

    def limit(
        self, seconds: float
    ) -> AbstractContextManager[anyio.CancelScope]:
        """Return a cancel scope that is cancelled after `seconds`."""

    def subscribe(self, interval: float) -> AsyncIterator[float]:
        """Yield the monotonic time every `interval` seconds."""


class MonotonicTimers:
    """Timers based on the operating system's clocks.

    Subscribers get their ticks at the same instants, the multiples of their
    intervals since the object was made, so that the process wakes up once for
    all of them. Different processes wake up at different instants.
    """

    __slots__ = ("_origin",)

    def __init__(self) -> None:
        self._origin = time.monotonic()

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return wall-clock time in milliseconds since 1970."""
        return time.time_ns() // 1_000_000

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for `seconds`."""
        # After the process was frozen the time to the next tick may be
        # negative, which anyio rejects.
        await anyio.sleep(max(0.0, seconds))

    def limit(
        self, seconds: float
    ) -> AbstractContextManager[anyio.CancelScope]:
        """Return a cancel scope that is cancelled after `seconds`."""
        return anyio.move_on_after(seconds)

    def subscribe(self, interval: float) -> AsyncIterator[float]:
        """Yield the monotonic time every `interval` seconds.

        The first tick may come earlier. Ticks that a slow subscriber misses
        are dropped.
        """
        return _generate_ticks(self, interval, self._origin)


@dataclass(slots=True, order=True)
class _Timer:
    due: float
    number: int
    callback: Callable[[], object] = field(compare=False)


class VirtualTimers:
    """Timers on a virtual clock that moves only when a test advances it.

    Parameters
    ----------
    start : float, optional
        First value of the monotonic clock in seconds.
    wall_start_ms : int, optional
        First value of the wall clock in milliseconds since 1970.
    """

    __slots__ = ("_heap", "_now", "_numbers", "_wall_start_ms")

    def __init__(
        self, start: float = 0.0, wall_start_ms: int = 1_700_000_000_000
    ) -> None:
        self._now = start
        self._wall_start_ms = wall_start_ms
        self._heap: list[_Timer] = []
        self._numbers = itertools.count()

    def now(self) -> float:
        """Return virtual monotonic time in seconds."""
        return self._now

    def wall_ms(self) -> int:
        """Return virtual wall-clock time in milliseconds since 1970."""
        return self._wall_start_ms + int(self._now * 1000)

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task until the clock has moved by `seconds`."""
        if seconds <= 0:
            await checkpoint()
            return
        event = anyio.Event()
        self.call_at(self.now() + seconds, event.set)
        await event.wait()

    @contextmanager
    def _limit(self, seconds: float) -> Iterator[anyio.CancelScope]:
        is_inside = True

        def cancel() -> None:
            if is_inside:
                scope.cancel()

        with anyio.CancelScope() as scope:
            self.call_at(self.now() + seconds, cancel)
            try:
                yield scope
            finally:
                is_inside = False

    def limit(
        self, seconds: float
    ) -> AbstractContextManager[anyio.CancelScope]:
        """Return a cancel scope that is cancelled after `seconds`."""
        return self._limit(seconds)

    def subscribe(self, interval: float) -> AsyncIterator[float]:
        """Yield the virtual time every `interval` seconds."""
        return _generate_ticks(self, interval)

    def call_at(self, due: float, callback: Callable[[], object]) -> None:
        """Call `callback` when the clock reaches `due` seconds."""
        heapq.heappush(self._heap, _Timer(due, next(self._numbers), callback))

    async def advance(self, seconds: float) -> None:
        """Move the clock by `seconds` and call due callbacks in order."""
        end = self._now + seconds
        await _wait_until_idle()
        while self._heap and self._heap[0].due <= end:
            timer = heapq.heappop(self._heap)
            self._now = max(self._now, timer.due)
            timer.callback()
            await _wait_until_idle()
        self._now = end


async def _generate_ticks(
    timers: Timers, interval: float, origin: float | None = None
) -> AsyncIterator[float]:
    due = align_tick(timers.now() + interval, interval, origin)
    while True:
        await timers.sleep(due - timers.now())
        now = timers.now()
        yield now
        due = max(align_tick(due + interval, interval, origin), now)


def align_tick(due: float, interval: float, origin: float | None) -> float:
    """Return the last multiple of an interval that isn't after a time.

    Parameters
    ----------
    due, interval : float
        In seconds.
    origin : float or None
        Time from which the multiples count, in seconds; None for no change.
    """
    if origin is None:
        return due
    count = math.floor((due - origin) / interval + ROUNDING_TOLERANCE)
    return origin + count * interval


async def _wait_until_idle() -> None:
    """Wait until no other task can run.

    `anyio.wait_all_tasks_blocked` sleeps for 0.1 s of real time whenever it
    finds a task that can run, too slow for thousands of virtual timers.
    """
    ready = getattr(asyncio.get_running_loop(), "_ready", None)
    if ready is None:
        await anyio.wait_all_tasks_blocked()
        return
    await checkpoint()
    while ready:
        await checkpoint()
