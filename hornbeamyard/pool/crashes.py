"""Crashes of upstreams, and the prompt parts that cause them.

A prompt part may crash every upstream that begins to answer a request with it.
A crash also breaks off the upstream's other requests, so a single one doesn't
tell which part is at fault. Each crash is recorded with its suspects: the
shared parts of the requests that broke off soon after their answers began, or
before. A suspect is cleared when a request with it is answered later, or was
just before the crash, and a part that stays suspected of several crashes is
blocked.

Routers exchange their records. Merging them only adds suspects and cleared
parts, so all routers come to the same result, in whichever order they learn.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from .upstream_registry import UpstreamStart

# An upstream crashes as it begins to answer. A request whose answer has gone
# on for this long isn't suspected.
SUSPICION_S = 2.0
# A part that was answered this long before a crash isn't suspected of it. A
# part may begin to crash upstreams at any time, so older answers don't count.
ANSWERED_S = 1.0
# Crashes of which a part has to be the suspect before it is blocked. Two may
# coincide for a part whose caller retries after the first one.
MIN_CRASHES = 3
# A blocked part may be probed with one request this long after its last
# crash. The time doubles with each further crash.
PROBE_DELAY_S = 30.0
# A part that crashed more upstreams than this isn't probed while the
# crashes are remembered.
MAX_PROBED_CRASHES = 5
# Crashes are remembered for this long.
RETENTION_S = 3600.0
# Bounds of the memory: crashes, and suspects of each. A crash has about as
# many suspects as the upstream runs requests.
MAX_CRASHES = 256
MAX_SUSPECTS = 512
# Parts whose last answer is remembered.
MAX_ANSWERED = 4096


@dataclass(slots=True)
class Crash:
    """A crash and the shared prompt parts that may have caused it.

    Attributes
    ----------
    upstream : UpstreamStart
    crashed_at : float
        Monotonic time in seconds.
    reporter : str
        Host of the router that probes a blocked part.
    suspects : dict of str to int
        Position of each part in its prompt, from 0.
    cleared : set of str
        Suspects of which a request was answered just before or later.
    number : int
        Grows with each change of any crash in the ledger.
    """

    upstream: UpstreamStart
    crashed_at: float
    reporter: str
    suspects: dict[str, int] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    number: int = 0

    def add(self, other: Crash) -> bool:
        """Add what another record of the crash has; return whether it is new.

        All routers keep the same reporter and positions.
        """
        added = {
            part: position
            for part, position in other.suspects.items()
            if position > self.suspects.get(part, -1)
        }
        if not added and other.cleared <= self.cleared:
            return False
        self.reporter = min(self.reporter, other.reporter)
        self.suspects |= added
        self.cleared |= other.cleared
        if len(self.suspects) > MAX_SUSPECTS:
            kept = sorted(self.suspects)[:MAX_SUSPECTS]
            self.suspects = {part: self.suspects[part] for part in kept}
        self.cleared &= self.suspects.keys()
        return True

    def list_open(self) -> dict[str, int]:
        """Return the suspects that aren't cleared, with their positions."""
        return {
            part: position
            for part, position in self.suspects.items()
            if part not in self.cleared
        }


@dataclass(slots=True, frozen=True)
class Block:
    """A prompt part that is blocked.

    Attributes
    ----------
    part : str
    crashes : int
        Number of crashes that it is held responsible for.
    retry_at : float
        Monotonic time in seconds at which it may be probed.
    probed_by : str
        Host of the router that probes it; empty for none.
    """

    part: str
    crashes: int
    retry_at: float
    probed_by: str


class CrashLedger:
    """Known crashes, and the prompt parts that are blocked for them.

    Parameters
    ----------
    host : str, optional
        Host of this process. It probes the blocked parts whose last crash it
        has reported.

    Attributes
    ----------
    blocked : dict of str to Block
        By prompt part.
    number : int
        Number of the newest change; 0 before the first crash.
    """

    __slots__ = (
        "_answered_at",
        "_crashes",
        "_host",
        "_next_probes",
        "_open_suspects",
        "blocked",
        "number",
    )

    def __init__(self, host: str = "") -> None:
        # When parts were answered last, the latest ones at the end.
        self._answered_at: dict[str, float] = {}
        self._host = host
        # When a part may be probed again after a probe has begun, by part.
        self._next_probes: dict[str, float] = {}
        # In the order of their last change.
        self._crashes: dict[UpstreamStart, Crash] = {}
        # Suspects of any crash that aren't cleared of it.
        self._open_suspects: set[str] = set()
        self.blocked: dict[str, Block] = {}
        self.number = 0

    def __len__(self) -> int:
        """Return the number of known crashes."""
        return len(self._crashes)

    def has_crash(self, upstream: UpstreamStart) -> bool:
        """Return whether a start of an upstream is known to have crashed."""
        return upstream in self._crashes

    def merge(self, crashes: Iterable[Crash]) -> list[Crash]:
        """Add crashes, or suspects and cleared parts of known ones.

        Returns
        -------
        list of Crash
            The crashes that have changed.
        """
        changed = []
        for crash in crashes:
            known = self._crashes.get(crash.upstream)
            if known is None:
                known = Crash(crash.upstream, crash.crashed_at, crash.reporter)
            if known.add(crash):
                self._touch(known)
                changed.append(known)
        if changed:
            self._update()
        return changed

    def record_answer(self, parts: Iterable[str], now: float) -> list[Crash]:
        """Clear parts of all known crashes, because they were answered.

        Returns
        -------
        list of Crash
            The crashes that have changed.
        """
        for part in parts:
            self._answered_at.pop(part, None)
            self._answered_at[part] = now
        while len(self._answered_at) > MAX_ANSWERED:
            del self._answered_at[next(iter(self._answered_at))]
        if self._open_suspects.isdisjoint(parts):
            return []
        return self.clear_answered(self._crashes.values())

    def clear_answered(self, crashes: Iterable[Crash]) -> list[Crash]:
        """Clear the suspects that were answered here after a crash.

        Returns
        -------
        list of Crash
            The crashes that have changed.
        """
        changed = []
        for crash in crashes:
            since = crash.crashed_at - ANSWERED_S
            answered = {
                part
                for part in crash.list_open()
                if self._answered_at.get(part, float("-inf")) >= since
            }
            if answered:
                crash.cleared |= answered
                changed.append(crash)
        for crash in changed:
            self._touch(crash)
        if changed:
            self._update()
        return changed

    def find_block(self, parts: Iterable[str]) -> Block | None:
        """Return the block of the first part that is blocked."""
        if not self.blocked:
            return None
        for part in parts:
            block = self.blocked.get(part)
            if block is not None:
                return block
        return None

    def begin_probe(self, parts: Iterable[str], now: float) -> bool:
        """Return whether a request with blocked parts is sent as a probe.

        One request for each part and probe time is, at one router only. If
        it is answered, the part is cleared.
        """
        if not self.blocked:
            return False
        blocks = [self.blocked[part] for part in parts if part in self.blocked]
        if not blocks:
            return False
        for block in blocks:
            next_probe = self._next_probes.get(block.part, float("-inf"))
            if now < max(block.retry_at, next_probe):
                return False
            if not block.probed_by or block.probed_by != self._host:
                return False
        for block in blocks:
            self._next_probes[block.part] = now + PROBE_DELAY_S
        return True

    def list_since(self, number: int) -> Iterator[Crash]:
        """Yield the crashes that changed after a number, the newest first."""
        for crash in reversed(self._crashes.values()):
            if crash.number <= number:
                return
            yield crash

    def expire(self, now: float) -> None:
        """Forget the crashes of more than `RETENTION_S` ago."""
        expired = [
            crash.upstream
            for crash in self._crashes.values()
            if now - crash.crashed_at > RETENTION_S
        ]
        for upstream in expired:
            del self._crashes[upstream]
        if expired:
            self._update()

    def _touch(self, crash: Crash) -> None:
        self.number += 1
        crash.number = self.number
        self._crashes.pop(crash.upstream, None)
        self._crashes[crash.upstream] = crash
        if len(self._crashes) > MAX_CRASHES:
            oldest = min(self._crashes.values(), key=lambda c: c.crashed_at)
            del self._crashes[oldest.upstream]

    def _update(self) -> None:
        suspects = [
            (crash, crash.list_open()) for crash in self._crashes.values()
        ]
        self._open_suspects = set().union(*(parts for _, parts in suspects))
        self.blocked = _find_blocks(suspects)
        for part in self._next_probes.keys() - self.blocked.keys():
            del self._next_probes[part]


def _find_blocks(
    suspects: Iterable[tuple[Crash, Mapping[str, int]]],
) -> dict[str, Block]:
    """Return the parts to block for crashes with these open suspects.

    A crash is explained by the part that is suspected of most crashes; its
    other suspects aren't held responsible for it. Among equals it is the part
    at the last position, as fewest other requests share it.
    """
    blocks: dict[str, Block] = {}
    unexplained = list(suspects)
    while True:
        crashes_by_part: dict[str, list[Crash]] = defaultdict(list)
        positions: dict[str, int] = {}
        for crash, parts in unexplained:
            for part, position in parts.items():
                crashes_by_part[part].append(crash)
                positions[part] = max(position, positions.get(part, 0))
        ranks = {
            part: (len(crashes), positions[part])
            for part, crashes in crashes_by_part.items()
        }
        highest = max(ranks.values(), default=(0, 0))
        if highest[0] < MIN_CRASHES:
            return blocks
        found = {part for part, rank in ranks.items() if rank == highest}
        for part in found:
            blocks[part] = _build_block(part, crashes_by_part[part])
        unexplained = [
            (crash, parts)
            for crash, parts in unexplained
            if parts.keys().isdisjoint(found)
        ]


def _build_block(part: str, crashes: list[Crash]) -> Block:
    count = len(crashes)
    last = max(crashes, key=lambda crash: crash.crashed_at)
    if count > MAX_PROBED_CRASHES:
        return Block(part, count, last.crashed_at + RETENTION_S, "")
    delay_s = PROBE_DELAY_S * 2.0 ** (count - MIN_CRASHES)
    return Block(part, count, last.crashed_at + delay_s, last.reporter)
