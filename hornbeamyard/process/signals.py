"""Signals that stop a process."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from types import FrameType

import anyio


class StopSignals:
    """Records SIGTERM and SIGINT from the start of a process to its end.

    A receiver of anyio would leave the default action in place before and
    after the event loop runs, and the process would end without a log line.

    Attributes
    ----------
    received : list of int
        Numbers of the signals that came, oldest first.
    """

    __slots__ = ("_wake", "received")

    def __init__(self) -> None:
        self._wake: Callable[[], object] | None = None
        self.received: list[int] = []

    def install(self) -> None:
        """Set the handlers of the process."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._record)

    def _record(self, number: int, frame: FrameType | None) -> None:
        self.received.append(number)
        if self._wake is not None:
            self._wake()

    async def watch(self, stop: anyio.Event, stop_now: anyio.Event) -> None:
        """Set `stop` after the first signal and `stop_now` after another."""
        woken = asyncio.Event()
        loop = asyncio.get_running_loop()
        self._wake = lambda: loop.call_soon_threadsafe(woken.set)
        try:
            while True:
                if self.received:
                    stop.set()
                if len(self.received) > 1:
                    stop_now.set()
                await woken.wait()
                woken.clear()
        finally:
            self._wake = None
