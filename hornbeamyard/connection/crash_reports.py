"""Reports of crashes of upstreams from a router to the controllers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import anyio

from ..messages import fleet_pb2
from ..pool.crashes import Crash, CrashedUpstream, CrashLedger
from ..process.timers import Timers
from .directory_codec import encode_crashes

# Changes are collected for this long before they are reported. A crash breaks
# off all requests of an upstream within some milliseconds.
COLLECT_INTERVAL_S = 0.03


class CrashReports:
    """Records the crashes that a router sees, and reports them.

    Parameters
    ----------
    host : str
    timers : Timers
    on_change : callable
        Called with the crashes that have changed.

    Attributes
    ----------
    ledger : CrashLedger
        What this router and others have recorded.
    """

    __slots__ = (
        "_changed",
        "_host",
        "_on_change",
        "_own_number",
        "_own_numbers",
        "_timers",
        "ledger",
    )

    def __init__(
        self,
        host: str,
        timers: Timers,
        on_change: Callable[[list[Crash]], None],
    ) -> None:
        self._changed = anyio.Event()
        self._host = host
        self._on_change = on_change
        # Changes by this router: number of the newest one, also by crash.
        self._own_number = 0
        self._own_numbers: dict[CrashedUpstream, int] = {}
        self._timers = timers
        self.ledger = CrashLedger(host)

    def record_crash(
        self, upstream: CrashedUpstream, parts: Iterable[str]
    ) -> None:
        """Record a crash under a request with these prompt parts."""
        suspects = {part: position for position, part in enumerate(parts)}
        crash = Crash(upstream, self._timers.now(), self._host, suspects)
        changed = self.ledger.merge([crash])
        self.ledger.clear_answered(changed)
        self._report(changed)

    def record_answer(self, parts: Iterable[str]) -> None:
        """Clear the parts of a request that was answered."""
        now = self._timers.now()
        self._report(self.ledger.record_answer(parts, now))

    def apply(self, crashes: Iterable[Crash]) -> None:
        """Apply what other routers have recorded."""
        changed = self.ledger.merge(crashes)
        self._report(self.ledger.clear_answered(changed))
        if changed:
            self._on_change(changed)

    def expire(self, now: float) -> None:
        """Forget old crashes."""
        self.ledger.expire(now)
        for upstream in list(self._own_numbers):
            if not self.ledger.has_crash(upstream):
                del self._own_numbers[upstream]

    def _report(self, changed: list[Crash]) -> None:
        if not changed:
            return
        for crash in changed:
            self._own_number += 1
            self._own_numbers[crash.upstream] = self._own_number
        self._on_change(changed)
        self._changed.set()
        self._changed = anyio.Event()

    async def run(
        self, send: Callable[[fleet_pb2.RouterUsage], Awaitable[None]]
    ) -> None:
        """Report to one controller until cancelled.

        It gets all known crashes at first, as it may have started again,
        then those that this router has changed.
        """
        unsent = list(self.ledger.list_since(0))
        reported = self._own_number
        while True:
            changed = self._changed
            if unsent:
                messages = encode_crashes(unsent, self._timers.now())
                await send(fleet_pb2.RouterUsage(crashes=messages))
            else:
                await changed.wait()
                await self._timers.sleep(COLLECT_INTERVAL_S)
            unsent = [
                crash
                for crash in self.ledger.list_since(0)
                if self._own_numbers.get(crash.upstream, 0) > reported
            ]
            reported = self._own_number
