"""Reports of what a router learns from upstreams, to every controller."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Hashable, Iterable
from typing import Generic, TypeVar

import anyio

from ..messages import fleet_pb2
from ..process.timers import Timers

# Changes are collected for this long before they are reported. A crash breaks
# off all requests of an upstream within some milliseconds.
COLLECT_INTERVAL_S = 0.03


K = TypeVar("K", bound=Hashable)


class ChangeReports(Generic[K]):
    """Reports the changes that this router itself makes to a shared record.

    What it learns from controllers isn't reported, as they send it to all
    routers. Only a new stream gets everything, as its controller may have
    started again.

    Parameters
    ----------
    timers : Timers
    encode : callable
        Returns the report on the entries with some keys, or on all for None.
    """

    __slots__ = ("_changed", "_encode", "_number", "_numbers", "_timers")

    def __init__(
        self,
        timers: Timers,
        encode: Callable[[Iterable[K] | None], fleet_pb2.RouterUsage],
    ) -> None:
        self._changed = anyio.Event()
        self._encode = encode
        # Number of the newest change, and of the newest one by key.
        self._number = 0
        self._numbers: dict[K, int] = {}
        self._timers = timers

    def record(self, keys: Iterable[K]) -> None:
        """Report what has changed in these entries soon."""
        before = self._number
        for key in keys:
            self._number += 1
            self._numbers[key] = self._number
        if self._number > before:
            self._changed.set()
            self._changed = anyio.Event()

    def forget(self, is_known: Callable[[K], bool]) -> None:
        """Forget entries that the record doesn't have any more."""
        for key in list(self._numbers):
            if not is_known(key):
                del self._numbers[key]

    async def run(
        self, send: Callable[[fleet_pb2.RouterUsage], Awaitable[None]]
    ) -> None:
        """Report to one controller until cancelled."""
        reported = self._number
        everything = self._encode(None)
        # Without content it would be taken for a report of no usage.
        if everything.ByteSize():
            await send(everything)
        while True:
            changed = self._changed
            unsent = [
                key
                for key, number in self._numbers.items()
                if number > reported
            ]
            reported = self._number
            if unsent:
                await send(self._encode(unsent))
                continue
            await changed.wait()
            await self._timers.sleep(COLLECT_INTERVAL_S)
