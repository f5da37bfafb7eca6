"""Crashes of upstreams, and the requests and prompt parts that cause them.

A request, or a prompt part that many requests share, may crash every upstream
that begins to answer it. A crash also breaks off the upstream's other
requests, so a single one doesn't tell what is at fault. Each crash is recorded
with its suspects: the requests that broke off soon after their answers began,
or before, and their shared prompt parts. A suspect is cleared when a request
with it is answered later, and one that stays suspected of several crashes is
blocked. A prompt part, which requests of many callers share, is cleared also
by an answer just before the crash. Attempts at one request mostly follow each
other, so it is cleared only by an answer since the broken attempt was sent.

Routers exchange their records. Merging them only adds suspects and marks them
as cleared, so all routers come to the same result, in whichever order they
learn.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from .digests import is_digest
from .ended_starts import EndedStarts
from .upstream_registry import UpstreamStart

# An upstream crashes as it begins to answer. A request whose answer has gone
# on for this long isn't suspected.
SUSPICION_S = 2.0
# Answers that are older than this at a crash don't clear suspects of it, as
# these may begin to crash upstreams at any time.
ANSWERED_S = 1.0
# Crashes of which something has to be the suspect before it is blocked. Two
# may coincide for a request whose caller retries after the first one.
MIN_CRASHES = 3
# What is blocked may be probed with one request this long after its last
# crash. The time doubles with each further crash, and with each probe.
PROBE_DELAY_S = 30.0
# What crashed more upstreams than this isn't probed while the crashes are
# remembered.
MAX_PROBED_CRASHES = 5
# Records of crashes that are closer together may be in another order at other
# routers, as each gets the others' records with a delay.
SIMULTANEOUS_S = 1.0
# Probes of one suspect by a router.
MAX_PROBES = MAX_PROBED_CRASHES - MIN_CRASHES + 1
# Position of a whole request among the suspects, behind all prompt parts.
REQUEST_POSITION = 2**31
# Crashes are remembered for this long.
RETENTION_S = 3600.0
# Bounds of the memory: crashes, suspects of each, and of all together. A crash
# has some more suspects than the upstream runs requests; one takes about 400
# bytes.
MAX_CRASHES = 256
MAX_SUSPECTS = 512
MAX_ALL_SUSPECTS = 16 * 1024
# Requests and parts whose last answer is remembered.
MAX_ANSWERED = 8 * 1024


@dataclass(slots=True)
class Crash:
    """A crash, and the requests and prompt parts that may have caused it.

    Attributes
    ----------
    upstream : UpstreamStart
    crashed_at : float
        Monotonic time in seconds.
    reporter : str
        Host of the router that probes what is blocked.
    suspects : dict of str to int
        Ids of shared prompt parts with their positions in the prompt, from 0,
        and digests of whole requests with `REQUEST_POSITION`.
    cleared : set of str
        Suspects that aren't responsible, since a request with them was
        answered.
    number : int
        Grows with each change of any crash in the ledger.
    changes : dict of str to int
        Number of the last change of each suspect.
    """

    upstream: UpstreamStart
    crashed_at: float
    reporter: str
    suspects: dict[str, int] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    number: int = 0
    changes: dict[str, int] = field(default_factory=dict)

    def add(self, other: Crash) -> set[str]:
        """Add what another record of the crash has; return what is new.

        All routers keep the same reporter and positions. A record without
        suspects changes neither, as it isn't kept where it comes first.
        """
        if not other.suspects:
            return set()
        added = {
            suspect: position
            for suspect, position in other.suspects.items()
            if position > self.suspects.get(suspect, -1)
        }
        changed = added.keys() | (other.cleared - self.cleared)
        if other.reporter < self.reporter:
            # All records of the crash carry it.
            changed |= self.suspects.keys()
        if not changed:
            return set()
        self.reporter = min(self.reporter, other.reporter)
        self.suspects |= added
        self.cleared |= other.cleared
        if len(self.suspects) > MAX_SUSPECTS:
            kept = sorted(self.suspects)[:MAX_SUSPECTS]
            self.suspects = {
                suspect: self.suspects[suspect] for suspect in kept
            }
        self.cleared &= self.suspects.keys()
        return changed & self.suspects.keys()

    def list_open(self) -> dict[str, int]:
        """Return the suspects that aren't cleared, with their positions."""
        return {
            suspect: position
            for suspect, position in self.suspects.items()
            if suspect not in self.cleared
        }

    def is_open(self, suspect: str) -> bool:
        """Return whether something is suspected of the crash."""
        return suspect in self.suspects and suspect not in self.cleared

    def select_changes(self, number: int) -> Crash:
        """Return a record with only the suspects that changed since."""
        return self.select(
            suspect
            for suspect in self.suspects
            if self.changes.get(suspect, 0) > number
        )

    def select(self, suspects: Iterable[str]) -> Crash:
        """Return a record with only some of the suspects."""
        selected = {
            suspect: self.suspects[suspect]
            for suspect in suspects
            if suspect in self.suspects
        }
        return Crash(
            self.upstream,
            self.crashed_at,
            self.reporter,
            selected,
            self.cleared & selected.keys(),
            self.number,
        )


@dataclass(slots=True, frozen=True)
class Block:
    """A request or a prompt part that is blocked.

    Attributes
    ----------
    suspect : str
        Id of the prompt part, or digest of the request.
    crashes : int
        Number of crashes that it is held responsible for.
    retry_at : float
        Monotonic time in seconds at which it may be probed.
    probed_by : str
        Host of the router that probes it; empty for none.
    """

    suspect: str
    crashes: int
    retry_at: float
    probed_by: str


class CrashLedger:
    """Known crashes, and the requests and parts that are blocked for them.

    Parameters
    ----------
    host : str, optional
        Host of this process. It probes what is blocked for a crash that it
        has reported as the last one.

    Attributes
    ----------
    blocked : dict of str to Block
        By suspect.
    ended : EndedStarts
        Starts of which nothing that is recorded counts any more.
    number : int
        Number of the newest change; 0 before the first crash.
    """

    __slots__ = (
        "_answered_at",
        "_candidates",
        "_crashes",
        "_host",
        "_open_counts",
        "_probes",
        "_suspect_count",
        "blocked",
        "ended",
        "number",
    )

    def __init__(self, host: str = "") -> None:
        # When suspects were answered last, the latest ones at the end.
        self._answered_at: dict[str, float] = {}
        self._host = host
        # Number of probes that have begun, and when the next one may, by
        # suspect.
        self._probes: dict[str, tuple[int, float]] = {}
        # In the order of their last change.
        self._crashes: dict[UpstreamStart, Crash] = {}
        # Suspects of all crashes, those included that are cleared.
        self._suspect_count = 0
        # Number of crashes that something is suspected of, and those that
        # are suspected of enough crashes to be blocked.
        self._open_counts: Counter[str] = Counter()
        self._candidates: set[str] = set()
        self.blocked: dict[str, Block] = {}
        self.ended = EndedStarts()
        self.number = 0

    def __len__(self) -> int:
        """Return the number of known crashes."""
        return len(self._crashes)

    def has_crash(self, upstream: UpstreamStart) -> bool:
        """Return whether a start of an upstream is known to have crashed."""
        return upstream in self._crashes

    def merge(self, crashes: Iterable[Crash]) -> list[Crash]:
        """Add crashes, or suspects and cleared ones of known crashes.

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
            before = known.list_open().keys(), len(known.suspects)
            changes = known.add(crash)
            if changes:
                self._count(known, *before)
                self._touch(known, changes)
                changed.append(known)
        if changed:
            self._update()
        return changed

    def record_answer(
        self, suspects: Iterable[str], now: float
    ) -> list[Crash]:
        """Clear suspects of all known crashes, because they were answered.

        Returns
        -------
        list of Crash
            The crashes that have changed.
        """
        for suspect in suspects:
            self._answered_at.pop(suspect, None)
            self._answered_at[suspect] = now
        while len(self._answered_at) > MAX_ANSWERED:
            del self._answered_at[next(iter(self._answered_at))]
        return self._clear(suspects)

    def clear_answered(self, crashes: Iterable[Crash]) -> list[Crash]:
        """Clear the suspects of some crashes that were answered here.

        Returns
        -------
        list of Crash
            The crashes that have changed.
        """
        suspects = set().union(*(crash.list_open() for crash in crashes))
        return self._clear(suspects & self._answered_at.keys())

    def list_answered(
        self, suspects: Iterable[str], sent_at: float, now: float
    ) -> set[str]:
        """Return which suspects of a crash an answer has cleared before it.

        Parameters
        ----------
        suspects : iterable of str
        sent_at : float
            When the broken request was sent, as a monotonic time in seconds.
        now : float
            Time of the crash.
        """
        since = max(sent_at, now - ANSWERED_S)
        return {
            suspect
            for suspect in suspects
            if self._answered_at.get(suspect, -math.inf) >= since
        }

    def _clear(self, answered: Iterable[str]) -> list[Crash]:
        """Clear suspects of the crashes about or before their last answers.

        A whole request stays suspected of a single crash, which has no effect.
        Otherwise each of the requests that a crash breaks off would have to be
        cleared at all routers as soon as another upstream has answered it.
        """
        suspects = [
            suspect
            for suspect in answered
            if self._open_counts[suspect] > is_digest(suspect)
        ]
        if not suspects:
            return []
        changed = []
        for crash in list(self._crashes.values()):
            cleared = {
                suspect
                for suspect in suspects
                if crash.is_open(suspect)
                and self._answered_at[suspect]
                >= _find_earliest_answer(suspect, crash.crashed_at)
            }
            if not cleared:
                continue
            before = crash.list_open().keys(), len(crash.suspects)
            crash.cleared |= cleared
            self._count(crash, *before)
            self._touch(crash, cleared)
            changed.append(crash)
        if changed:
            self._update()
        return changed

    def find_block(self, suspects: Iterable[str]) -> Block | None:
        """Return the block of the first suspect that is blocked."""
        if not self.blocked:
            return None
        for suspect in suspects:
            block = self.blocked.get(suspect)
            if block is not None:
                return block
        return None

    def begin_probe(self, suspects: Iterable[str], now: float) -> bool:
        """Return whether a request that is blocked is sent as a probe.

        One request for each suspect and probe time is, at one router only. If
        it is answered, the suspect is cleared.
        """
        if not self.blocked:
            return False
        blocks = [self.blocked[s] for s in suspects if s in self.blocked]
        if not blocks:
            return False
        for block in blocks:
            begun, next_at = self._probes.get(block.suspect, (0, 0.0))
            if begun >= MAX_PROBES or now < max(block.retry_at, next_at):
                return False
            if not block.probed_by or block.probed_by != self._host:
                return False
        for block in blocks:
            begun, _ = self._probes.get(block.suspect, (0, 0.0))
            next_at = now + PROBE_DELAY_S * 2.0**begun
            self._probes[block.suspect] = (begun + 1, next_at)
        return True

    def list_since(self, number: int) -> Iterator[Crash]:
        """Yield what changed after a number, the newest crash first."""
        for crash in reversed(self._crashes.values()):
            if crash.number <= number:
                return
            yield crash.select_changes(number)

    def expire(self, now: float) -> None:
        """Forget the crashes of more than `RETENTION_S` ago."""
        expired = [
            crash.upstream
            for crash in self._crashes.values()
            if now - crash.crashed_at > RETENTION_S
        ]
        for upstream in expired:
            self._forget(upstream)
        if expired:
            self._update()

    def _touch(self, crash: Crash, changed: Iterable[str]) -> None:
        self.number += 1
        crash.number = self.number
        for suspect in changed:
            crash.changes[suspect] = self.number
        if len(crash.changes) > len(crash.suspects):
            crash.changes = {
                suspect: number
                for suspect, number in crash.changes.items()
                if suspect in crash.suspects
            }
        self._crashes.pop(crash.upstream, None)
        self._crashes[crash.upstream] = crash
        while (
            len(self._crashes) > MAX_CRASHES
            or self._suspect_count > MAX_ALL_SUSPECTS
        ):
            oldest = min(self._crashes.values(), key=lambda c: c.crashed_at)
            self._forget(oldest.upstream)

    def _forget(self, upstream: UpstreamStart) -> None:
        crash = self._crashes.pop(upstream)
        before = crash.list_open().keys(), len(crash.suspects)
        crash.suspects = {}
        self._count(crash, *before)

    def _count(
        self, crash: Crash, open_before: Iterable[str], number_before: int
    ) -> None:
        """Update the counts for a crash whose suspects have changed."""
        self._suspect_count += len(crash.suspects) - number_before
        open_now = crash.list_open().keys()
        for suspect in open_now - set(open_before):
            self._open_counts[suspect] += 1
            if self._open_counts[suspect] >= MIN_CRASHES:
                self._candidates.add(suspect)
        for suspect in set(open_before) - open_now:
            self._open_counts[suspect] -= 1
            if self._open_counts[suspect] < MIN_CRASHES:
                self._candidates.discard(suspect)
            if not self._open_counts[suspect]:
                del self._open_counts[suspect]

    def _update(self) -> None:
        # Only candidates can be blocked, so the others need not be ranked.
        suspects = []
        for crash in self._crashes.values() if self._candidates else ():
            positions = {
                suspect: crash.suspects[suspect]
                for suspect in self._candidates
                if crash.is_open(suspect)
            }
            if positions:
                suspects.append((crash, positions))
        self.blocked = _find_blocks(suspects)
        for suspect in self._probes.keys() - self.blocked.keys():
            del self._probes[suspect]


def _find_earliest_answer(suspect: str, crashed_at: float) -> float:
    """Return the time from which on an answer clears a suspect of a crash.

    Only the router that sent a whole request knows since when.
    """
    return crashed_at if is_digest(suspect) else crashed_at - ANSWERED_S


def _find_blocks(
    suspects: Iterable[tuple[Crash, Mapping[str, int]]],
) -> dict[str, Block]:
    """Return what to block for crashes with these open suspects.

    A crash is explained by what is suspected of most crashes; other prompt
    parts aren't held responsible for it. Among equals it is what stands at the
    last position, as fewest other requests have it in common. A whole request
    is blocked as well if some of its crashes stay unexplained: several
    requests that crash upstreams may run together.
    """
    blocks: dict[str, Block] = {}
    crashes_by_suspect: dict[str, list[Crash]] = defaultdict(list)
    positions: dict[str, int] = {}
    for crash, open_suspects in suspects:
        for suspect, position in open_suspects.items():
            crashes_by_suspect[suspect].append(crash)
            positions[suspect] = max(position, positions.get(suspect, 0))
    unexplained = {
        suspect: {crash.upstream for crash in crashes}
        for suspect, crashes in crashes_by_suspect.items()
    }
    while True:
        ranks = {
            suspect: (len(upstreams), positions[suspect])
            for suspect, upstreams in unexplained.items()
            if len(upstreams) >= (1 if is_digest(suspect) else MIN_CRASHES)
        }
        if not ranks:
            return blocks
        highest = max(ranks.values())
        found = [suspect for suspect in ranks if ranks[suspect] == highest]
        explained = set().union(*(unexplained[suspect] for suspect in found))
        for suspect in found:
            blocks[suspect] = _build_block(
                suspect, crashes_by_suspect[suspect]
            )
        for upstreams in unexplained.values():
            upstreams -= explained


def _build_block(suspect: str, crashes: list[Crash]) -> Block:
    count = len(crashes)
    last_at = max(crash.crashed_at for crash in crashes)
    if count > MAX_PROBED_CRASHES:
        return Block(suspect, count, last_at + RETENTION_S, "")
    delay_s = PROBE_DELAY_S * 2.0 ** (count - MIN_CRASHES)
    # All routers have to choose the same one.
    reporter = min(
        crash.reporter
        for crash in crashes
        if last_at - crash.crashed_at < SIMULTANEOUS_S
    )
    return Block(suspect, count, last_at + delay_s, reporter)
