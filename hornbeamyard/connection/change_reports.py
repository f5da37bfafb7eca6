"""Reports of what a router learns from upstreams, to every controller."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import anyio

from ..messages import fleet_pb2
from ..pool.upstream_registry import UpstreamStart
from ..process.timers import Timers

# Changes are collected for this long before they are reported. A crash breaks
# off all requests of an upstream within some milliseconds.
COLLECT_INTERVAL_S = 0.03


class ChangeReports:
    """Reports the changes that this router itself makes to a shared record.

    What it learns from controllers isn't reported, as they send it to all
    routers. Only a new stream gets everything, as its controller may have
    started again.

    Parameters
    ----------
    timers : Timers
    encode : callable
        Returns the report on some starts of upstreams, or on all for None.
    """

    __slots__ = ("_changed", "_encode", "_number", "_numbers", "_timers")

    def __init__(
        self,
        timers: Timers,
        encode: Callable[
            [Iterable[UpstreamStart] | None], fleet_pb2.RouterUsage
        ],
    ) -> None:
        self._changed = anyio.Event()
        self._encode = encode
        # Number of the newest change, and of the newest one by upstream.
        self._number = 0
        self._numbers: dict[UpstreamStart, int] = {}
        self._timers = timers

    def record(self, upstreams: Iterable[UpstreamStart]) -> None:
        """Report what has changed about these upstreams soon."""
        before = self._number
        for upstream in upstreams:
            self._number += 1
            self._numbers[upstream] = self._number
        if self._number > before:
            self._changed.set()
            self._changed = anyio.Event()

    def forget(self, is_known: Callable[[UpstreamStart], bool]) -> None:
        """Forget upstreams that the record doesn't know any more."""
        for upstream in list(self._numbers):
            if not is_known(upstream):
                del self._numbers[upstream]

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
                upstream
                for upstream, number in self._numbers.items()
                if number > reported
            ]
            reported = self._number
            if unsent:
                await send(self._encode(unsent))
                continue
            await changed.wait()
            await self._timers.sleep(COLLECT_INTERVAL_S)
