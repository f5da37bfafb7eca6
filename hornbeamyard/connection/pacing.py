"""Turns of the event loop for reads that take much processing."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

# Interval at which one waiting connection is read.
READ_INTERVAL_S = 0.005


class ReadPacer:
    """Lets connections with many small chunks be read one after another.

    Each chunk costs a call, whatever its size, so an upstream that sends very
    small ones could take all processor time of a router. Together such
    connections take a bounded part of it, however many there are.
    """

    __slots__ = ("_is_scheduled", "_waiting")

    def __init__(self) -> None:
        self._is_scheduled = False
        self._waiting: deque[Callable[[], None]] = deque()

    def defer(self, resume: Callable[[], None]) -> None:
        """Call `resume` when it is the connection's turn to be read."""
        self._waiting.append(resume)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(READ_INTERVAL_S, self._resume_next)

    def _resume_next(self) -> None:
        self._is_scheduled = False
        resume = self._waiting.popleft()
        self._schedule()
        resume()
