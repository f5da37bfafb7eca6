"""Cold upstreams of one pool, and a router's part of the rate they take.

An upstream is cold for some seconds after it starts. Far above a stated rate
of requests from all routers together it then crashes. Each router decides by
itself, without a message per request, from announcements and from what it has
seen of the upstream.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from .rate_limits import BURST, FleetPosition
from .upstream_registry import (
    ENDED_RETENTION_S,
    Upstream,
    UpstreamRegistry,
    UpstreamStart,
    UpstreamState,
)

# In any second, all routers together may send `OVERSHOOT` times the rate and
# `SLACK` requests more: `bounds.coldOvershoot` and `bounds.coldSlack`.
OVERSHOOT = 1.5
SLACK = 5.0
# Two groups of routers that disagree on the routers' numbers, as after a
# partition, may each hand out the rate. Each gets half of the bound.
MAX_VIEWS = 2
# Fraction of the rate that is divided. The rest covers requests that take
# different times to arrive.
USED_FRACTION = 0.85
# Fraction of the rate that has to remain where buckets are kept small enough
# for two such groups. At least 0.7 of it has to be handed out, and the time
# until a waiting request is tried loses another 4%.
MIN_USED_FRACTION = 0.78
# Interval in seconds at which routers try their waiting requests. A bucket
# holds what comes in that time, which one for a single request would lose.
TRY_INTERVAL_S = 0.1
# Distance of a router's part to a whole number of requests a second. Buckets
# then give no further request in the same second, also when messages take
# some milliseconds longer.
RATE_MARGIN = 0.02
# An announcement counts as one from after an event once it is received this
# much later, in seconds. Those on their way may be older.
ANNOUNCEMENT_DELAY_S = 1.0
# An upstream that couldn't be reached is cold for at most this time in seconds
# after the last failure if nothing is heard of it. Routers without a part of
# the rate send it nothing and don't find out by themselves that it is back.
MAX_UNREACHABLE_S = 30.0


class ColdReason(Enum):
    """Why an upstream counts as cold."""

    ANNOUNCED = "announced"
    STARTED = "started"
    LOST = "was lost and is back"
    UNREACHABLE = "could not be reached"
    RETURNED = "its availability zone is back"


@dataclass(slots=True, frozen=True)
class ColdChange:
    """An upstream that has become cold or warm.

    Attributes
    ----------
    upstream : UpstreamStart
    reason : ColdReason or None
        None if it is warm now.
    until : float
        Monotonic time in seconds until which it is cold at the latest.
    """

    upstream: UpstreamStart
    reason: ColdReason | None
    until: float


@dataclass(slots=True, frozen=True)
class ColdPart:
    """A router's part of a cold upstream's rate.

    Attributes
    ----------
    rate : float
        Requests a second; 0 for a router that isn't among those chosen.
    first_tokens : float
        Tokens with which the router's bucket starts, below 1. They differ
        between the routers, so that requests are spread from the start.
    burst : float
        Most tokens in the bucket.
    """

    rate: float
    first_tokens: float = 0.0
    burst: float = BURST


@dataclass(slots=True)
class _State:
    """What is known about one start.

    Attributes
    ----------
    start : UpstreamStart
    announced_until : float
        Monotonic time in seconds until which it has said to be cold.
    reason : ColdReason or None
        What makes it cold without an announcement; None for nothing.
    event_at : float
        Monotonic time in seconds of that event.
    back_at : float or None
        Monotonic time in seconds from which `ColdStarts.start_s` counts; None
        while an upstream that couldn't be reached isn't known to be back.
    gone_at : float or None
        Monotonic time in seconds at which it was found to be lost.
    is_lost : bool
    reported : ColdReason or None
        What `ColdStarts.collect_changes` has returned last.
    """

    start: UpstreamStart
    announced_until: float = -math.inf
    reason: ColdReason | None = None
    event_at: float = -math.inf
    back_at: float | None = None
    gone_at: float | None = None
    is_lost: bool = False
    reported: ColdReason | None = None

    def begin(
        self, reason: ColdReason, now: float, back_at: float | None
    ) -> None:
        self.reason = reason
        self.event_at = now
        self.back_at = back_at


class ColdStarts:
    """Decides which upstreams of a pool are cold.

    Attributes
    ----------
    rate : float
        Requests a second that a cold upstream takes from all routers
        together; 0 for no limit. No upstream is cold then.
    start_s : float
        Time in seconds for which an upstream is cold after its start.
    held_requests : int
        Requests that found only cold upstreams without a part for them.
    """

    __slots__ = ("_active", "_states", "held_requests", "rate", "start_s")

    def __init__(self) -> None:
        # Ids of upstreams that may be cold, or are lost.
        self._active: set[str] = set()
        self._states: dict[str, _State] = {}
        self.rate = 0.0
        self.start_s = 0.0
        self.held_requests = 0

    # ---- events ----------------------------------------------------------

    def record_announcement(self, upstream: Upstream) -> None:
        """Apply an upstream's announcement, or that it has left or is lost.

        Parameters
        ----------
        upstream : Upstream
            `last_seen_at` is when the announcement was received.
        """
        known = self._states.get(upstream.id)
        if upstream.state is UpstreamState.GONE:
            if known is not None and known.start == upstream.start:
                known.is_lost = True
                self._active.add(upstream.id)
            return
        seen_at = upstream.last_seen_at
        remaining_ms = upstream.cold_remaining_ms
        if known is None or known.start != upstream.start:
            state = _State(upstream.start)
            if remaining_ms is None:
                state.begin(ColdReason.STARTED, seen_at, seen_at)
            elif known is not None and known.reason is ColdReason.UNREACHABLE:
                # Its first announcement may be older than the failure.
                state.begin(ColdReason.UNREACHABLE, known.event_at, seen_at)
            self._states[upstream.id] = known = state
        elif known.is_lost:
            known.begin(ColdReason.LOST, seen_at, seen_at)
            known.is_lost = False
            known.gone_at = None
        if remaining_ms:
            known.announced_until = seen_at + remaining_ms / 1000
        elif remaining_ms == 0:
            known.announced_until = -math.inf
        self._confirm(known, upstream)
        if remaining_ms or known.reason is not None:
            self._active.add(upstream.id)

    def record_unreachable(self, start: UpstreamStart, now: float) -> None:
        """Record that connections to an upstream are refused or reset.

        It is cold when it is back, whenever that is.
        """
        known = self._find(start)
        if known is not None:
            known.begin(ColdReason.UNREACHABLE, now, None)
            self._active.add(start.id)

    def record_reached(self, start: UpstreamStart, now: float) -> None:
        """Record that an upstream has answered, so that it is back."""
        known = self._find(start)
        if (
            known is not None
            and known.reason is ColdReason.UNREACHABLE
            and known.back_at is None
        ):
            known.back_at = now

    def record_returned(self, start: UpstreamStart, now: float) -> None:
        """Record that an upstream gets requests again after an evacuation."""
        known = self._find(start)
        if known is not None:
            known.begin(ColdReason.RETURNED, now, now)
            self._active.add(start.id)

    def confirm(self, registry: UpstreamRegistry, now: float) -> None:
        """End events that newer announcements say are over.

        To be called repeatedly, as announcements that are repeated unchanged
        are recorded in the registry only.

        Parameters
        ----------
        registry : UpstreamRegistry
        now : float
            Monotonic time in seconds.
        """
        for id in list(self._active):
            state = self._states[id]
            if state.is_lost:
                if state.gone_at is None:
                    state.gone_at = now
                elif now - state.gone_at > ENDED_RETENTION_S:
                    del self._states[id]
                    self._active.discard(id)
                continue
            if state.reason is None:
                continue
            upstream = registry.get(id)
            if upstream is not None and upstream.start == state.start:
                self._confirm(state, upstream)
            # Until there is a routing, how long it lasts isn't known.
            kept_s = 0.0 if self.rate > 0 else MAX_UNREACHABLE_S
            if self._compute_event_end(state) + kept_s <= now:
                state.reason = None

    def _find(self, start: UpstreamStart) -> _State | None:
        known = self._states.get(start.id)
        return known if known is not None and known.start == start else None

    def _confirm(self, state: _State, upstream: Upstream) -> None:
        if state.reason is None:
            return
        if upstream.last_seen_at < state.event_at + ANNOUNCEMENT_DELAY_S:
            return
        if upstream.cold_remaining_ms is not None:
            # From now on what it announces counts.
            state.reason = None
        elif state.back_at is None:
            state.back_at = upstream.last_seen_at

    # ---- decisions -------------------------------------------------------

    def find_end(self, start: UpstreamStart, now: float) -> float:
        """Return until when an upstream is cold, as far as is known.

        Returns
        -------
        float
            Monotonic time in seconds; -inf if the upstream is warm.
        """
        state = self._find(start)
        if state is None or state.is_lost or not self.rate > 0:
            return -math.inf
        end = max(state.announced_until, self._compute_event_end(state))
        return end if end > now else -math.inf

    def collect_changes(self, now: float) -> list[ColdChange]:
        """Return the upstreams that are cold or warm since the last call."""
        changes = []
        for id in list(self._active):
            state = self._states[id]
            if state.is_lost:
                state.reported = None
                continue
            end = self.find_end(state.start, now)
            reason = self._find_reason(state, now) if end > now else None
            if state.reason is None and state.announced_until <= now:
                self._active.discard(id)
            if reason is state.reported:
                continue
            if reason is None or state.reported is None:
                changes.append(ColdChange(state.start, reason, end))
            state.reported = reason
        return changes

    def count(self, now: float) -> int:
        """Return the number of cold upstreams."""
        starts = [self._states[id].start for id in self._active]
        return sum(self.find_end(start, now) > now for start in starts)

    def _find_reason(self, state: _State, now: float) -> ColdReason:
        if state.reason is None or self._compute_event_end(state) <= now:
            return ColdReason.ANNOUNCED
        return state.reason

    def _compute_event_end(self, state: _State) -> float:
        if state.reason is None:
            return -math.inf
        if state.back_at is None:
            return state.event_at + max(MAX_UNREACHABLE_S, self.start_s)
        return state.back_at + self.start_s


@lru_cache
def divide_among(rate: float, routers: int) -> tuple[int, float]:
    """Return how many routers send to a cold upstream, and the part of each.

    Parameters
    ----------
    rate : float
        Requests a second from all routers together, above 0.
    routers : int
        Number of routers, at least 1.

    Returns
    -------
    tuple of (int, float)
        Number of routers, and requests a second of one.

    Notes
    -----
    A bucket that is full gives its burst and one second's part in the same
    second, rounded down. As many routers as possible are chosen for which that
    is half of the bound at most, even if all buckets are full at the same
    moment.
    """
    half = (OVERSHOOT * rate + SLACK) / MAX_VIEWS
    used = rate * USED_FRACTION
    highest = max(1, min(routers, int(half)))
    for chosen in range(highest, 0, -1):
        part = min(used / chosen, _compute_highest_part(int(half / chosen)))
        if part * chosen >= rate * MIN_USED_FRACTION:
            return chosen, part
    # At high rates 1.5 times the rate is little more than two groups need, so
    # that only one group keeps to the bound.
    if highest < routers:
        return highest, min(used / highest, _compute_highest_part(1))
    return routers, used / routers


def _compute_highest_part(requests: int) -> float:
    """Return the highest rate with at most some requests in any second."""
    if requests <= 1:
        return 1.0 - RATE_MARGIN
    return (requests - RATE_MARGIN) / (1.0 + TRY_INTERVAL_S)


def divide_cold_rate(
    rate: float, start: UpstreamStart, position: FleetPosition
) -> ColdPart:
    """Return a router's part of a cold upstream's rate.

    `rate_limits.divide_rate` isn't used. It may choose twice as many routers,
    whose full buckets exceed the bound if the routers' numbers differ, and
    parts by demand add up to too much while the demand changes.

    Parameters
    ----------
    rate : float
        Requests a second from all routers together, above 0.
    start : UpstreamStart
    position : FleetPosition
    """
    routers = max(1, position.routers)
    if not position.number:
        return ColdPart(rate * USED_FRACTION / routers)
    chosen, part = divide_among(rate, routers)
    key = f"{start.id}/{start.started_ms}".encode()
    turn = (position.number + zlib.crc32(key)) % routers
    if turn >= chosen:
        return ColdPart(0.0)
    burst = BURST if part < 1.0 else BURST + part * TRY_INTERVAL_S
    return ColdPart(part, turn / chosen, burst)
