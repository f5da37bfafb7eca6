"""Registry of upstreams that announce themselves.

Announcements reach different controllers, arrive late, and may come from
upstreams that have ended since. The registry orders them by the start time of
the upstream and the sequence number of the announcement.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from ..process import validation
from ..process.validation import Finding, check_text

# Ended and lost upstreams are remembered for this long, so that a late
# announcement doesn't bring an ended one back.
ENDED_RETENTION_S = 120.0
# Announcement intervals after which a silent upstream counts as lost. An
# announcement may come seconds late, and the upstream may have to find
# another controller.
MAX_MISSED_ANNOUNCEMENTS = 5
# Largest numbers that messages between processes hold.
MAX_SLOTS = 2**31 - 1
MAX_SEQUENCE = 2**63 - 1
# A displaced upstream that has announced itself for this long counts as
# running, if the one at its address has made no announcement meanwhile. Late
# announcements arrive together when a partition ends.
MIN_LATER_ANNOUNCED_S = 1.0
# Longest time in ms for which an upstream may announce to remain cold. An odd
# value must not limit it for good.
MAX_COLD_REMAINING_MS = 3_600_000
# Size in bytes of all texts of an announcement. One message to a router may
# contain the announcements of thousands of upstreams.
MAX_TEXT_BYTES = 4096


class UpstreamState(Enum):
    """State that an upstream announces."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class UpstreamStart:
    """One start of an upstream, which may start again under its id.

    Attributes
    ----------
    id : str
    started_ms : int
        Wall-clock time of the start in milliseconds since 1970; 0 when it
        is not announced. In fleets without a route directory, another number
        that differs for each start.
    """

    id: str
    started_ms: int


@dataclass(slots=True)
class Upstream:
    """One process of an upstream, from its start to its end.

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
        Sequence number of its newest announcement.
    started_ms : int
        Wall-clock time of its start in milliseconds since 1970; 0 when it
        is not announced.
    models : tuple of str
        Models that it serves; empty for all.
    software_version : str
        Version of its software, not of a model's weights; empty when it is
        not announced.
    last_seen_at : float
        Monotonic time in seconds of its newest announcement.
    leaving_since : float
        Monotonic time in seconds at which this process has learned that it
        leaves; -inf if it was leaving already when it became known.
    cold_remaining_ms : int or None
        Time in milliseconds for which it remains cold, as of the announcement;
        None when it is not announced.
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
    software_version: str = ""
    last_seen_at: float = 0.0
    leaving_since: float = float("-inf")
    cold_remaining_ms: int | None = None

    @property
    def start(self) -> UpstreamStart:
        """Id and time of the start."""
        return UpstreamStart(self.id, self.started_ms)


_check_sequence = validation.check_integer(0, MAX_SEQUENCE)
_check_cold_remaining = validation.check_integer(0, MAX_COLD_REMAINING_MS)


def check_announcement(upstream: Upstream) -> list[Finding]:
    """Return everything in an announcement that can't be stored or sent on.

    Parameters
    ----------
    upstream : Upstream
        Its fields have the right types.
    """
    texts = {
        "pool": upstream.pool,
        "availability_zone": upstream.availability_zone,
        **{f"models.{n}": name for n, name in enumerate(upstream.models)},
    }
    if upstream.software_version:
        texts["software_version"] = upstream.software_version
    findings = check_start(upstream.start)
    findings += _list_findings(
        {
            **{name: check_text(text) for name, text in texts.items()},
            "address": validation.check_address(upstream.address),
            "slots": validation.check_integer(0, MAX_SLOTS)(upstream.slots),
            "sequence": _check_sequence(upstream.sequence),
            "cold_remaining_ms": _check_cold_remaining(
                upstream.cold_remaining_ms or 0
            ),
        }
    )
    if findings:
        return findings
    size = sum(len(text.encode()) for text in texts.values())
    if size > MAX_TEXT_BYTES:
        message = f"has {size} bytes of text; give at most {MAX_TEXT_BYTES}"
        return [Finding("", message)]
    return []


def check_start(start: UpstreamStart) -> list[Finding]:
    """Return everything in the name of a start that can't be stored."""
    findings = _list_findings(
        {
            "id": check_text(start.id),
            "started_ms": _check_sequence(start.started_ms),
        }
    )
    if not findings and len(start.id.encode()) > MAX_TEXT_BYTES:
        message = f"is not accepted; give at most {MAX_TEXT_BYTES} bytes"
        return [Finding("id", message)]
    return findings


def _list_findings(expected: Mapping[str, str | None]) -> list[Finding]:
    """Return findings on the fields for which something else is expected."""
    return [
        Finding(field_name, f"is not accepted; give {accepted}")
        for field_name, accepted in expected.items()
        if accepted is not None
    ]


@dataclass(slots=True)
class _Displacement:
    """Why an upstream counts as ended without having said so.

    Another one has announced its address, and no start times tell which of
    the two is the later one.

    Attributes
    ----------
    upstream : Upstream
        As last announced.
    owner_id : str
        The other one.
    owner_sequence : int
        Sequence number of its announcement.
    announced_at : float or None
        Monotonic time in seconds of the first later announcement of the
        displaced one, if any.
    """

    upstream: Upstream
    owner_id: str
    owner_sequence: int
    announced_at: float | None = None


@dataclass(slots=True)
class _EndedUpstream:
    started_ms: int
    ended_at: float
    displacement: _Displacement | None = None


@dataclass(slots=True)
class UpstreamRegistry:
    """Upstreams of a route directory known to a process, by id.

    Attributes
    ----------
    versions_number : int
        Grows whenever a software version is new or forgotten.
    """

    _upstreams: dict[str, Upstream] = field(default_factory=dict)
    _by_address: dict[str, str] = field(default_factory=dict)
    _ended: dict[str, _EndedUpstream] = field(default_factory=dict)
    # Upstreams that expired, in their last known state.
    _lost: dict[str, Upstream] = field(default_factory=dict)
    # When each software version was last seen, by pool.
    _versions: dict[str, dict[str, float]] = field(default_factory=dict)
    versions_number: int = 0

    def get(self, id: str) -> Upstream | None:
        """Return an upstream that has not ended."""
        return self._upstreams.get(id)

    def __iter__(self) -> Iterator[Upstream]:
        """Yield the upstreams that have not ended."""
        return iter(list(self._upstreams.values()))

    def __len__(self) -> int:
        """Return the number of upstreams that have not ended."""
        return len(self._upstreams)

    def list_versions(self, pool: str) -> frozenset[str]:
        """Return the software versions of a pool's upstreams.

        Those that have ended within `ENDED_RETENTION_S` are included.
        """
        return frozenset(self._versions.get(pool, ()))

    def list_pools(self) -> list[str]:
        """Return the pools that `list_versions` knows."""
        return list(self._versions)

    def list_version_times(self, pool: str) -> Mapping[str, float]:
        """Return when a pool's software versions were last seen."""
        return self._versions.get(pool, {})

    def record_version(
        self, pool: str, software_version: str, seen_at: float
    ) -> None:
        """Record that a pool had an upstream with a software version.

        Parameters
        ----------
        pool, software_version : str
        seen_at : float
            Monotonic time in seconds.
        """
        versions = self._versions.setdefault(pool, {})
        if software_version not in versions:
            self.versions_number += 1
        versions[software_version] = max(
            seen_at, versions.get(software_version, float("-inf"))
        )

    def announce(
        self, upstream: Upstream, now: float, may_replace: bool = True
    ) -> list[Upstream]:
        """Apply an announcement.

        Parameters
        ----------
        upstream : Upstream
        now : float
            Monotonic time in seconds.
        may_replace : bool, optional
            Whether it may end another upstream at the same address, or move
            this one to another pool. If not, it is ignored where it would.

        Returns
        -------
        list of Upstream
            The upstreams that have changed; those that have ended are in
            state GONE.
        """
        if self._has_ended(upstream, now):
            return []
        known = self._upstreams.get(upstream.id)
        if not may_replace:
            owner = self._by_address.get(upstream.address, upstream.id)
            is_moved = known is not None and known.pool != upstream.pool
            if is_moved or owner != upstream.id:
                return []
        if known is not None and _is_older(upstream, known):
            return []
        last = known or self._lost.get(upstream.id)
        if (
            last is not None
            and last.state is UpstreamState.DRAINING
            and last.started_ms == upstream.started_ms
            and upstream.state is UpstreamState.READY
        ):
            # Draining ends with the process. The upstream may have said so
            # in a response, to which its announcements are no reply.
            upstream = replace(upstream, state=UpstreamState.DRAINING)
        if upstream.state is UpstreamState.GONE:
            return self.record_end(upstream.id, upstream.started_ms, now)
        if (
            upstream.state is UpstreamState.DRAINING
            and last is not None
            and last.started_ms == upstream.started_ms
        ):
            is_new = last.state is UpstreamState.READY
            upstream.leaving_since = now if is_new else last.leaving_since
        ended = self._end_previous_at_address(upstream, now)
        if ended is None:
            return []
        if known is not None and known.address != upstream.address:
            self._by_address.pop(known.address, None)
        self._lost.pop(upstream.id, None)
        self.record_version(upstream.pool, upstream.software_version, now)
        self._upstreams[upstream.id] = upstream
        self._by_address[upstream.address] = upstream.id
        # Each announcement of a cold upstream says for how long, from then.
        is_same = (
            known is not None
            and not upstream.cold_remaining_ms
            and _get_fields(known) == _get_fields(upstream)
        )
        return ended if is_same else [*ended, upstream]

    def renew(
        self, id: str, started_ms: int, sequence: int, now: float
    ) -> list[Upstream]:
        """Record that an upstream has repeated its announcement unchanged.

        Returns
        -------
        list of Upstream
            The upstream, if it had expired and is back.
        """
        ended = self._ended.get(id)
        if ended is not None and ended.displacement is not None:
            displaced = ended.displacement.upstream
            if displaced.started_ms != started_ms:
                return []
            renewed = replace(displaced, sequence=sequence, last_seen_at=now)
            return self.announce(renewed, now)
        known = self._upstreams.get(id) or self._lost.get(id)
        if known is None or known.started_ms != started_ms:
            return []
        if sequence < known.sequence:
            return []
        known.sequence = sequence
        known.last_seen_at = max(known.last_seen_at, now)
        if id in self._upstreams or known.address in self._by_address:
            return []
        return self.announce(known, now)

    def record_leaving(
        self, id: str, started_ms: int, now: float
    ) -> list[Upstream]:
        """Record that an upstream has said in a response that it leaves.

        Parameters
        ----------
        id : str
        started_ms : int
            Start time of the upstream that sent the response.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Upstream
            The upstream in state DRAINING, if it was ready.
        """
        known = self._upstreams.get(id)
        if (
            known is None
            or known.started_ms != started_ms
            or known.state is not UpstreamState.READY
        ):
            return []
        draining = replace(
            known, state=UpstreamState.DRAINING, leaving_since=now
        )
        self._upstreams[id] = draining
        return [draining]

    def record_end(
        self, id: str, started_ms: int, now: float
    ) -> list[Upstream]:
        """Record that an upstream has ended.

        Parameters
        ----------
        id : str
        started_ms : int
            Start time of the upstream that has ended; 0 for the known one.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Upstream
            The upstream in state GONE, if it was known.
        """
        known = self._upstreams.get(id)
        if known is not None and started_ms < known.started_ms != 0:
            if started_ms:
                return []
            started_ms = known.started_ms
        self._ended[id] = _EndedUpstream(started_ms, now)
        self._lost.pop(id, None)
        if known is None:
            return []
        self._remove(known)
        known.state = UpstreamState.GONE
        return [known]

    def has_ended(self, id: str) -> bool:
        """Return whether an upstream is remembered as ended."""
        return id in self._ended

    def is_displaced(self, id: str) -> bool:
        """Return whether an upstream may go on although it counts as ended.

        Another one has announced its address, and it isn't known which of the
        two is the later one.
        """
        ended = self._ended.get(id)
        return ended is not None and ended.displacement is not None

    def list_ended(self) -> list[tuple[str, int]]:
        """Return the ids and start times of upstreams that have ended.

        Without those that may go on.
        """
        return [
            (id, ended.started_ms)
            for id, ended in self._ended.items()
            if ended.displacement is None
        ]

    def expire(self, now: float, lifetime_s: float) -> list[Upstream]:
        """Remove upstreams without an announcement for `lifetime_s`.

        They don't count as ended: an upstream that was only cut off comes
        back with its next announcement. Ended and lost upstreams are
        forgotten after `ENDED_RETENTION_S`.

        Returns
        -------
        list of Upstream
            The upstreams that were removed.
        """
        for id, ended in list(self._ended.items()):
            if now - ended.ended_at > ENDED_RETENTION_S:
                del self._ended[id]
        for id, lost in list(self._lost.items()):
            if now - lost.last_seen_at > ENDED_RETENTION_S:
                del self._lost[id]
        self._renew_versions(now)
        silent = [u for u in self if now - u.last_seen_at > lifetime_s]
        for upstream in silent:
            self._remove(upstream)
            self._lost[upstream.id] = replace(upstream)
        return silent

    def _renew_versions(self, now: float) -> None:
        """Record the versions of all upstreams, and forget old ones."""
        for upstream in self:
            self.record_version(upstream.pool, upstream.software_version, now)
        for pool, versions in list(self._versions.items()):
            for version, seen_at in list(versions.items()):
                if now - seen_at > ENDED_RETENTION_S:
                    del versions[version]
                    self.versions_number += 1
            if not versions:
                del self._versions[pool]

    def _has_ended(self, upstream: Upstream, now: float) -> bool:
        ended = self._ended.get(upstream.id)
        if ended is None:
            return False
        if upstream.started_ms > ended.started_ms or (
            ended.displacement is not None
            and self._goes_on(upstream, ended.displacement, now)
        ):
            del self._ended[upstream.id]
            return False
        return True

    def _goes_on(
        self, upstream: Upstream, displacement: _Displacement, now: float
    ) -> bool:
        """Return whether a displaced upstream has outlived the other one.

        A single announcement may be late. Of two processes, the one that runs
        goes on to announce itself.
        """
        displaced = displacement.upstream
        if (
            upstream.started_ms != displaced.started_ms
            or upstream.sequence <= displaced.sequence
            or displacement.owner_id in self._ended
        ):
            return False
        owner = self._upstreams.get(displacement.owner_id)
        if owner and owner.sequence > displacement.owner_sequence:
            return False
        if displacement.announced_at is None:
            displacement.announced_at = now
        displaced.sequence = upstream.sequence
        return now - displacement.announced_at >= MIN_LATER_ANNOUNCED_S

    def _end_previous_at_address(
        self, upstream: Upstream, now: float
    ) -> list[Upstream] | None:
        """End another upstream that is known at the same address.

        Returns
        -------
        list of Upstream or None
            The ended upstream, if any; None when the other one started
            later, so that this announcement is from one that has ended.
        """
        if upstream.id not in self._upstreams:
            self._displace_lost(upstream, now)
        other_id = self._by_address.get(upstream.address)
        if other_id is None or other_id == upstream.id:
            return []
        other = self._upstreams[other_id]
        if other.started_ms > upstream.started_ms:
            self._ended[upstream.id] = _EndedUpstream(upstream.started_ms, now)
            return None
        displacement = _describe_displacement(replace(other), upstream)
        gone = self.record_end(other_id, other.started_ms, now)
        self._ended[other_id].displacement = displacement
        return gone

    def _displace_lost(self, upstream: Upstream, now: float) -> None:
        """Record the end of silent upstreams whose address is taken."""
        for id, lost in list(self._lost.items()):
            if (
                id != upstream.id
                and lost.address == upstream.address
                and lost.started_ms <= upstream.started_ms
            ):
                del self._lost[id]
                self._ended[id] = _EndedUpstream(
                    lost.started_ms,
                    now,
                    _describe_displacement(replace(lost), upstream),
                )

    def _remove(self, upstream: Upstream) -> None:
        del self._upstreams[upstream.id]
        if self._by_address.get(upstream.address) == upstream.id:
            del self._by_address[upstream.address]


def _describe_displacement(
    displaced: Upstream, owner: Upstream
) -> _Displacement | None:
    """Return how one upstream displaces another; None if it is the later."""
    if displaced.started_ms != owner.started_ms:
        return None
    return _Displacement(displaced, owner.id, owner.sequence)


def _is_older(upstream: Upstream, known: Upstream) -> bool:
    if upstream.started_ms != known.started_ms:
        return upstream.started_ms < known.started_ms
    return upstream.sequence < known.sequence


def _get_fields(upstream: Upstream) -> tuple[object, ...]:
    return (
        upstream.pool,
        upstream.address,
        upstream.availability_zone,
        upstream.state,
        upstream.slots,
        upstream.started_ms,
        upstream.models,
        upstream.software_version,
        upstream.cold_remaining_ms,
    )
