"""Crashes of upstreams that this router and others have seen."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..messages import fleet_pb2
from ..pool.crashes import Crash, CrashLedger
from ..pool.digests import RequestDigests
from ..pool.upstream_registry import UpstreamStart
from ..process.timers import Timers
from .change_reports import ChangeReports
from .directory_codec import encode_crashes


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
    changes : ChangeReports
        Reports to the controllers.
    digests : RequestDigests
        Digests of whole requests.
    ledger : CrashLedger
        What this router and others have recorded.
    """

    __slots__ = (
        "_host",
        "_on_change",
        "_timers",
        "changes",
        "digests",
        "ledger",
    )

    def __init__(
        self,
        host: str,
        timers: Timers,
        on_change: Callable[[list[Crash]], None],
    ) -> None:
        self._host = host
        self._on_change = on_change
        self._timers = timers
        self.changes = ChangeReports(timers, self._encode)
        self.digests = RequestDigests()
        self.ledger = CrashLedger(host)

    def record_crash(
        self, upstream: UpstreamStart, parts: Iterable[str]
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
        self.changes.forget(self.ledger.has_crash)

    def _report(self, changed: list[Crash]) -> None:
        if not changed:
            return
        self.changes.record(crash.upstream for crash in changed)
        self._on_change(changed)

    def _encode(
        self, upstreams: Iterable[UpstreamStart] | None
    ) -> fleet_pb2.RouterUsage:
        crashes: Iterable[Crash] = self.ledger.list_since(0)
        if upstreams is not None:
            wanted = set(upstreams)
            crashes = (c for c in crashes if c.upstream in wanted)
        messages = encode_crashes(crashes, self._timers.now())
        return fleet_pb2.RouterUsage(crashes=messages)
