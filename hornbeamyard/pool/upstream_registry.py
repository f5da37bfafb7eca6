"""Upstreams that announce themselves: which ones exist, and their state.

Announcements reach different controllers, arrive late, and may come from
upstreams that have ended since. The census orders them by the start of the
upstream and the number of the announcement.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum

# An upstream that has ended is remembered for this long, so that a late
# announcement doesn't bring it back.
ENDED_RETENTION_S = 120.0
# Announcements that may be missed before an upstream is taken for lost: one
# may come seconds late, and the upstream may have to find another controller.
MAX_MISSED_ANNOUNCEMENTS = 5


class UpstreamState(Enum):
    """What an upstream says of itself."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True)
class Upstream:
    """One start of an upstream.

    Attributes
    ----------
    id : str
    pool : str
    address : str
        IP address and port.
    availability_zone : str
    state : UpstreamState
    slots : int
        Requests that it runs at a time.
    sequence : int
        Number of its newest announcement.
    started_ms : int
        Wall-clock time of its start in milliseconds since 1970; 0 when it
        doesn't say.
    models : tuple of str
    heard_at : float
        When the newest announcement was received, monotonic seconds.
    """

    id: str
    pool: str
    address: str
    availability_zone: str
    state: UpstreamState
    slots: int
    sequence: int
    started_ms: int = 0
    models: tuple[str, ...] = ()
    heard_at: float = 0.0


@dataclass(slots=True)
class _Ended:
    started_ms: int
    ended_at: float


@dataclass(slots=True)
class UpstreamRegistry:
    """All upstreams that a process knows, by id."""

    _upstreams: dict[str, Upstream] = field(default_factory=dict)
    _by_address: dict[str, str] = field(default_factory=dict)
    _ended: dict[str, _Ended] = field(default_factory=dict)
    # Upstreams that weren't heard of, as they were then.
    _lost: dict[str, Upstream] = field(default_factory=dict)

    def get(self, id: str) -> Upstream | None:
        """Return an upstream that has not ended."""
        return self._upstreams.get(id)

    def __iter__(self) -> Iterator[Upstream]:
        """Yield the upstreams that have not ended."""
        return iter(list(self._upstreams.values()))

    def __len__(self) -> int:
        """Return the number of upstreams that have not ended."""
        return len(self._upstreams)

    def announce(self, upstream: Upstream, now: float) -> list[Upstream]:
        """Take an announcement.

        Returns
        -------
        list of Upstream
            The upstreams whose state or place has changed; those that have
            ended are in state GONE.
        """
        if self._has_ended(upstream):
            return []
        held = self._upstreams.get(upstream.id)
        if held is not None and _is_older(upstream, held):
            return []
        if upstream.state is UpstreamState.GONE:
            return self.end(upstream.id, upstream.started_ms, now)
        ended = self._end_previous_at_address(upstream, now)
        if ended is None:
            return []
        if held is not None and held.address != upstream.address:
            self._by_address.pop(held.address, None)
        self._lost.pop(upstream.id, None)
        self._upstreams[upstream.id] = upstream
        self._by_address[upstream.address] = upstream.id
        is_same = held is not None and _get_description(
            held
        ) == _get_description(upstream)
        return ended if is_same else [*ended, upstream]

    def renew(
        self, id: str, started_ms: int, sequence: int, now: float
    ) -> list[Upstream]:
        """Take note that an upstream has announced itself unchanged.

        Returns
        -------
        list of Upstream
            The upstream, if it had been lost here and is back.
        """
        held = self._upstreams.get(id) or self._lost.get(id)
        if held is None or held.started_ms != started_ms:
            return []
        if sequence < held.sequence:
            return []
        held.sequence = sequence
        held.heard_at = max(held.heard_at, now)
        if id in self._upstreams or held.address in self._by_address:
            return []
        return self.announce(held, now)

    def end(self, id: str, started_ms: int, now: float) -> list[Upstream]:
        """Take note that an upstream has ended.

        Parameters
        ----------
        id : str
        started_ms : int
            The start that has ended; 0 for the one that is held.
        now : float
        """
        held = self._upstreams.get(id)
        if held is not None and started_ms < held.started_ms != 0:
            if started_ms:
                return []
            started_ms = held.started_ms
        self._ended[id] = _Ended(started_ms, now)
        self._lost.pop(id, None)
        if held is None:
            return []
        self._remove(held)
        held.state = UpstreamState.GONE
        return [held]

    def list_ended(self) -> list[tuple[str, int]]:
        """Return the ids and starts of upstreams that have ended."""
        return [(id, ended.started_ms) for id, ended in self._ended.items()]

    def expire(self, now: float, lifetime_s: float) -> list[Upstream]:
        """Drop upstreams that weren't heard of, and old memories.

        They aren't taken for ended: one that was only cut off comes back
        with its next announcement.
        """
        for id, ended in list(self._ended.items()):
            if now - ended.ended_at > ENDED_RETENTION_S:
                del self._ended[id]
        for id, lost in list(self._lost.items()):
            if now - lost.heard_at > ENDED_RETENTION_S:
                del self._lost[id]
        silent = [u for u in self if now - u.heard_at > lifetime_s]
        for upstream in silent:
            self._remove(upstream)
            self._lost[upstream.id] = replace(upstream)
        return silent

    def _has_ended(self, upstream: Upstream) -> bool:
        ended = self._ended.get(upstream.id)
        if ended is None:
            return False
        if upstream.started_ms > ended.started_ms:
            del self._ended[upstream.id]
            return False
        return True

    def _end_previous_at_address(
        self, upstream: Upstream, now: float
    ) -> list[Upstream] | None:
        """End another upstream at the same address.

        Returns
        -------
        list of Upstream or None
            None when the other one started later, so that this announcement
            comes from an upstream that has ended.
        """
        other_id = self._by_address.get(upstream.address)
        if other_id is None or other_id == upstream.id:
            return []
        other = self._upstreams[other_id]
        if other.started_ms > upstream.started_ms:
            self._ended[upstream.id] = _Ended(upstream.started_ms, now)
            return None
        return self.end(other_id, other.started_ms, now)

    def _remove(self, upstream: Upstream) -> None:
        del self._upstreams[upstream.id]
        if self._by_address.get(upstream.address) == upstream.id:
            del self._by_address[upstream.address]


def _is_older(upstream: Upstream, held: Upstream) -> bool:
    if upstream.started_ms != held.started_ms:
        return upstream.started_ms < held.started_ms
    return upstream.sequence < held.sequence


def _get_description(upstream: Upstream) -> tuple[object, ...]:
    return (
        upstream.pool,
        upstream.address,
        upstream.availability_zone,
        upstream.state,
        upstream.slots,
        upstream.started_ms,
        upstream.models,
    )
