"""What a router learns from upstreams and shares with all others."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping

import anyio

from ..connection.crash_reports import CrashReports
from ..connection.limit_reports import LimitReports
from ..connection.upstreams import UpstreamConnections
from ..pool.balancer import Balancer
from ..pool.cold_starts import ColdChange
from ..pool.crashes import Crash
from ..pool.digests import is_digest
from ..pool.evacuations import Evacuations
from ..pool.upstream_registry import (
    Upstream,
    UpstreamRegistry,
    UpstreamStart,
    UpstreamState,
)
from .decisions import DecisionLog
from .metrics import Sample
from .timers import Timers

# A crash of which another router tells later than this doesn't count as the
# end of the start. It may have been announced again meanwhile.
MAX_CRASH_AGE_S = 2.0


class UpstreamNotices:
    """Crashes and rate limits of upstreams, as a router sees and learns them.

    Parameters
    ----------
    host : str
    timers : Timers
    decisions : DecisionLog
    upstreams : UpstreamConnections
    balancers : mapping of str to Balancer
        By pool. They decide by the crashes and the rate limits.
    evacuations : Evacuations, optional
        Availability zones whose upstreams aren't contacted; without it,
        there are none.

    Attributes
    ----------
    crashes : CrashReports
    limits : LimitReports
    """

    __slots__ = (
        "_balancers",
        "_blocked",
        "_checked",
        "_decisions",
        "_evacuations",
        "_timers",
        "_upstreams",
        "crashes",
        "limits",
    )

    def __init__(
        self,
        host: str,
        timers: Timers,
        decisions: DecisionLog,
        upstreams: UpstreamConnections,
        balancers: Mapping[str, Balancer],
        evacuations: Evacuations | None = None,
    ) -> None:
        self._balancers = balancers
        self._blocked: set[str] = set()
        # Starts that are being checked.
        self._checked: set[UpstreamStart] = set()
        self._decisions = decisions
        self._evacuations = (
            Evacuations() if evacuations is None else evacuations
        )
        self._timers = timers
        self._upstreams = upstreams
        upstreams.on_refused = self._handle_refusal
        self.crashes = CrashReports(host, timers, self._handle_crashes)
        self.limits = LimitReports(timers, self._handle_limit)

    # ---- for the request path --------------------------------------------

    def record_limit(
        self, upstream: UpstreamStart, max_rate: float | None
    ) -> None:
        """Record the rate limit in an upstream's response; None for none."""
        for balancer in self._balancers.values():
            balancer.cold_starts.record_reached(upstream, self._timers.now())
        self.limits.observe(upstream, max_rate)

    async def record_broken(
        self, upstream: Upstream, suspects: Iterable[str], sent_at: float
    ) -> None:
        """Suspect a broken request if its upstream has crashed.

        Parameters
        ----------
        upstream : Upstream
        suspects : iterable of str
            Ids of its shared prompt parts in their order, and its digest.
        sent_at : float
            When it was sent, as a monotonic time in seconds.
        """
        address = f"http://{upstream.address}"
        is_replaced = self.crashes.restarts.is_replaced(
            upstream.start, address
        )
        if upstream.state is not UpstreamState.READY and not is_replaced:
            # One that leaves ends by itself.
            await self.check_end(upstream)
            return
        may_contact = self._evacuations.may_use(upstream)
        await self.crashes.record_broken(
            upstream.start,
            address,
            suspects,
            sent_at,
            self._upstreams if may_contact else None,
        )

    async def check_end(self, upstream: Upstream) -> None:
        """Find out whether an upstream has ended that broke off a response.

        `_handle_refusal` records it.
        """
        start = upstream.start
        if start in self.crashes.ledger.ended or start in self._checked:
            return
        if not self._evacuations.may_use(upstream):
            return
        self._checked.add(start)
        try:
            # The end counts also if the caller disconnects meanwhile.
            with anyio.CancelScope(shield=True):
                await self._upstreams.has_ended(f"http://{upstream.address}")
        finally:
            self._checked.discard(start)

    def release_starts(
        self, registry: UpstreamRegistry, max_delay_s: float
    ) -> None:
        """Count upstreams again that were announced since they had ended.

        Parameters
        ----------
        registry : UpstreamRegistry
        max_delay_s : float
            Time in seconds by which announcements may be late.
        """
        ended = self.crashes.ledger.ended
        for start in ended.release(registry, self._timers.now(), max_delay_s):
            self._decisions.note(
                "upstream_goes_on",
                upstream=start.id,
                started_ms=start.started_ms,
            )

    def update_cold_starts(self, registry: UpstreamRegistry) -> None:
        """Limit upstreams that have become cold, and release warm ones.

        To be called repeatedly.
        """
        now = self._timers.now()
        for pool, balancer in self._balancers.items():
            cold_starts = balancer.cold_starts
            cold_starts.confirm(registry, now)
            changes = cold_starts.collect_changes(now)
            if not changes:
                continue
            balancer.set_fleet_position(self.limits.position.get(), now)
            for change in changes:
                self._note_cold_change(pool, change, now)

    def _note_cold_change(
        self, pool: str, change: ColdChange, now: float
    ) -> None:
        start = change.upstream
        if change.reason is None:
            self._decisions.note(
                "upstream_warm",
                upstream=start.id,
                started_ms=start.started_ms,
                pool=pool,
            )
            return
        server = self._balancers[pool].servers.get(start.id)
        limiter = None if server is None else server.limiter
        self._decisions.note(
            "upstream_cold",
            upstream=start.id,
            started_ms=start.started_ms,
            pool=pool,
            reason=change.reason.value,
            remaining_s=round(change.until - now, 2),
            rate=None if limiter is None else round(limiter.rate, 3),
        )

    def record_states(self, changed: Iterable[Upstream]) -> None:
        """Record which upstreams have started, leave or have ended.

        Parameters
        ----------
        changed : iterable of Upstream
            If an upstream has been replaced, the new one is among them.
        """
        leaving = []
        for upstream in changed:
            if upstream.state is not UpstreamState.READY:
                leaving.append(upstream)
                continue
            self.crashes.record_start(
                upstream.start, f"http://{upstream.address}"
            )
        restarts = self.crashes.restarts
        for upstream in leaving:
            address = f"http://{upstream.address}"
            if not restarts.is_replaced(upstream.start, address):
                restarts.record_leaving(upstream.start)

    def record_answer(self, suspects: Collection[str]) -> None:
        """Clear the suspects in a request that was answered."""
        self.crashes.record_answer(suspects)

    # ---- decisions -------------------------------------------------------

    def divide_limits(self) -> None:
        """Divide the rate limits by this router's position in the fleet."""
        position = self.limits.position.get()
        for balancer in self._balancers.values():
            balancer.set_fleet_position(position, self._timers.now())

    def _handle_limit(self, upstream: UpstreamStart) -> None:
        position = self.limits.position.get()
        self._decisions.note(
            "upstream_limited",
            upstream=upstream.id,
            started_ms=upstream.started_ms,
            max_rate=self.limits.limits.find(upstream),
            routers=position.routers,
            number=position.number,
            fraction=round(position.fraction, 3),
        )
        self.divide_limits()
        self._start_waiting()

    def _handle_refusal(self, address: str) -> None:
        """Record the end of the start at an address.

        One that no request has reached may not listen yet.
        """
        for balancer in self._balancers.values():
            for server in list(balancer.servers.values()):
                if f"http://{server.upstream.address}" != address:
                    continue
                start = server.upstream.start
                balancer.record_unreachable(start, self._timers.now())
                if server.was_reached:
                    self._record_end(start)

    def _record_end(self, start: UpstreamStart) -> None:
        """Count nothing any more that is recorded about a start."""
        if not self.crashes.ledger.ended.record(start):
            return
        self._decisions.note(
            "upstream_ended", upstream=start.id, started_ms=start.started_ms
        )
        for balancer in self._balancers.values():
            balancer.record_unreachable(start, self._timers.now())
            balancer.record_end(start)

    def _handle_crashes(self, changed: list[Crash]) -> None:
        for crash in changed:
            if self._timers.now() - crash.crashed_at <= MAX_CRASH_AGE_S:
                self._record_end(crash.upstream)
            suspects = crash.list_open()
            self._decisions.note(
                "upstream_crashed",
                upstream=crash.upstream.id,
                started_ms=crash.upstream.started_ms,
                reporter=crash.reporter,
                suspects=sorted(s for s in suspects if not is_digest(s)),
                requests=sum(map(is_digest, suspects)),
                cleared=len(crash.cleared),
            )
        blocked = self.crashes.ledger.blocked
        if blocked.keys() == self._blocked:
            return
        for suspect in blocked.keys() - self._blocked:
            block = blocked[suspect]
            self._decisions.note(
                f"{_name_kind(suspect)}_blocked",
                **_describe(suspect),
                crashes=block.crashes,
                retry_in_s=round(block.retry_at - self._timers.now(), 1),
                probed_by=block.probed_by,
            )
        for suspect in self._blocked - blocked.keys():
            self._decisions.note(
                f"{_name_kind(suspect)}_released", **_describe(suspect)
            )
        self._blocked = set(blocked)
        self._start_waiting()

    def _start_waiting(self) -> None:
        for balancer in self._balancers.values():
            balancer.start_waiting(self._timers.now())

    def sample(self) -> Iterator[Sample]:
        """Yield the metrics."""
        ledger = self.crashes.ledger
        yield Sample("upstream_crashes_known", len(ledger))
        requests = sum(map(is_digest, ledger.blocked))
        yield Sample("prompt_parts_blocked", len(ledger.blocked) - requests)
        yield Sample("requests_blocked", requests)
        for pool, balancer in self._balancers.items():
            labels = (("pool", pool),)
            cold_starts = balancer.cold_starts
            number = cold_starts.count(self._timers.now())
            yield Sample("upstreams_cold", number, labels)
            held = cold_starts.held_requests
            yield Sample("requests_held_by_cold", held, labels, True)


def _name_kind(suspect: str) -> str:
    return "request" if is_digest(suspect) else "part"


def _describe(suspect: str) -> dict[str, str]:
    return {"digest" if is_digest(suspect) else "part": suspect}
