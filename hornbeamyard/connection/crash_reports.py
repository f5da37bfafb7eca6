"""Crashes of upstreams that this router and others have seen."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable

import anyio

from ..messages import fleet_pb2
from ..pool.crashes import REQUEST_POSITION, Crash, CrashLedger
from ..pool.digests import RequestDigests, is_digest
from ..pool.restarts import Restarts
from ..pool.upstream_registry import UpstreamStart
from ..process.timers import Timers
from .change_reports import ChangeReports
from .directory_codec import encode_crashes
from .upstreams import UpstreamConnections


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
        Reports to the controllers, by crash and suspect.
    digests : RequestDigests
        Digests of whole requests.
    ledger : CrashLedger
        What this router and others have recorded.
    restarts : Restarts
        Possible crashes that only a new start at the address can show.
    """

    __slots__ = (
        "_host",
        "_on_change",
        "_timers",
        "changes",
        "digests",
        "ledger",
        "restarts",
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
        self.changes = ChangeReports[tuple[UpstreamStart, str]](
            timers, self._encode
        )
        self.digests = RequestDigests()
        self.ledger = CrashLedger(host)
        self.restarts = Restarts()

    async def record_broken(
        self,
        upstream: UpstreamStart,
        address: str,
        suspects: Iterable[str],
        sent_at: float,
        connections: UpstreamConnections | None,
    ) -> None:
        """Suspect a broken request if its upstream has crashed.

        Parameters
        ----------
        upstream : UpstreamStart
        address : str
            `http://ip:port`.
        suspects : iterable of str
            Ids of its shared prompt parts in their order, and its digest.
        sent_at : float
            When it was sent, as a monotonic time in seconds.
        connections : UpstreamConnections or None
            Opens one more connection to find out whether it has crashed. With
            None, none is opened, and the crash counts once another start is
            announced at the address.
        """
        positions = {
            suspect: REQUEST_POSITION if is_digest(suspect) else position
            for position, suspect in enumerate(suspects)
        }
        now = self._timers.now()
        cleared = self.ledger.list_answered(positions, sent_at, now)
        crash = Crash(upstream, now, self._host, positions, cleared)
        if not self._knows_end(upstream, address):
            has_ended = False
            # The crash counts also if the caller disconnects meanwhile.
            with anyio.CancelScope(shield=True):
                if connections is not None:
                    has_ended = await connections.has_ended(address)
            if not has_ended and not self._knows_end(upstream, address):
                self.restarts.keep(crash, address)
                return
        self._merge(crash)

    def _knows_end(self, upstream: UpstreamStart, address: str) -> bool:
        """Return whether it is known here that an upstream has ended."""
        return self.ledger.has_crash(upstream) or self.restarts.is_replaced(
            upstream, address
        )

    def record_start(self, upstream: UpstreamStart, address: str) -> None:
        """Record a start of an upstream, and with it the end of another.

        Parameters
        ----------
        upstream : UpstreamStart
        address : str
            `http://ip:port`.
        """
        crash = self.restarts.record_start(
            upstream, address, self._timers.now()
        )
        if crash is not None:
            self._merge(crash)

    def _merge(self, crash: Crash) -> None:
        """Add a crash that this router has seen."""
        before = self.ledger.number
        changed = self.ledger.merge([crash])
        self.ledger.clear_answered(changed)
        self._report(before, changed)

    def record_answer(self, suspects: Collection[str]) -> None:
        """Clear the suspects in a request that was answered."""
        before = self.ledger.number
        now = self._timers.now()
        self._report(before, self.ledger.record_answer(suspects, now))
        self.restarts.record_answer(suspects)

    def apply(self, crashes: Iterable[Crash]) -> None:
        """Apply what other routers have recorded."""
        changed = self.ledger.merge(crashes)
        before = self.ledger.number
        self._report(before, self.ledger.clear_answered(changed))
        if changed:
            self._on_change(changed)

    def expire(self, now: float) -> None:
        """Forget old crashes."""
        self.ledger.expire(now)
        self.changes.forget(lambda key: self.ledger.has_crash(key[0]))

    def _report(self, before: int, changed: list[Crash]) -> None:
        """Report what has changed in the ledger since a number."""
        if not changed:
            return
        self.changes.record(
            (crash.upstream, suspect)
            for crash in self.ledger.list_since(before)
            for suspect in crash.suspects
        )
        self._on_change(changed)

    def _encode(
        self, keys: Iterable[tuple[UpstreamStart, str]] | None
    ) -> fleet_pb2.RouterUsage:
        crashes: Iterable[Crash] = self.ledger.list_since(0)
        if keys is not None:
            suspects: dict[UpstreamStart, set[str]] = defaultdict(set)
            for upstream, suspect in keys:
                suspects[upstream].add(suspect)
            crashes = [
                crash.select(suspects[crash.upstream])
                for crash in crashes
                if crash.upstream in suspects
            ]
        messages = encode_crashes(crashes, self._timers.now())
        return fleet_pb2.RouterUsage(crashes=messages)
