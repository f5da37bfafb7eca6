"""A router's account of the work in each upstream, and its estimates.

Engines report their load late and to everyone, so a router keeps its own
account: what it has sent, and what the fleet's sums say of other routers.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from functools import singledispatch

from .census import Upstream, UpstreamState
from .demand import Demand
from .usage import UpstreamUse

# Weight of the newest sample in running means.
SAMPLE_WEIGHT = 0.15
# The same for the time of a token, of which there are far more samples.
TOKEN_WEIGHT = 0.03
# Samples beyond these multiples of the expected speed are taken as these.
LEAST_FACTOR = 0.3
MOST_FACTOR = 6.0
# Prompts below this size tell little about the reading speed.
LEAST_SAMPLE_TOKENS = 1500
# Time of a request in an idle engine beside reading the prompt, in ms.
FIRST_MS = 20.0
# Reading time of a token before anything was measured, in ms.
DEFAULT_READ_MS = 0.03
# Work time of a plain request before anything was measured, in ms.
DEFAULT_WORK_MS = 80.0
# Parts are believed to be in an engine's memory for this long after use.
PART_REMEMBERED_S = 45.0
PARTS_REMEMBERED = 2048
# Other routers are told again of a part after this long.
PART_TOLD_S = 10.0
# Share of an engine's memory that requests may fill. The rest keeps shared
# parts, and output that grows beyond its estimate.
MEMORY_SHARE = 0.85
# An upstream that fails this often in a row is avoided. Some services answer
# one request in seven with a failure of its own.
FAILURES_IN_ROW = 4
# An upstream that fails gets no requests for this long, doubled with each
# further failure in a row.
AVOIDED_S = 0.5
LONGEST_AVOIDED_S = 8.0
# Share of failures in recent answers at which an upstream is avoided though
# single answers are good, and the answers that must have been seen.
FAILURE_SHARE = 0.3
FAILURE_SAMPLES = 5.0
FAILURE_MEMORY = 0.9


@dataclass(slots=True, eq=False)
class Server:
    """An upstream of a plain service.

    Attributes
    ----------
    upstream : Upstream
    own, others : UpstreamUse
        Work of this router, and of all others as of `others_at`.
    work_ms : float
        Mean time of a request.
    avoided_until : float
        No requests are sent before this time.
    """

    upstream: Upstream
    own: UpstreamUse = field(default_factory=UpstreamUse)
    others: UpstreamUse = field(default_factory=UpstreamUse)
    others_at: float = 0.0
    work_ms: float = DEFAULT_WORK_MS
    avoided_until: float = 0.0
    failures_in_row: int = 0
    _answers: float = 0.0
    _failed: float = 0.0

    @property
    def id(self) -> str:
        """Id of the upstream."""
        return self.upstream.id

    def is_usable(self, now: float) -> bool:
        """Return whether requests may be sent."""
        ready = self.upstream.state is UpstreamState.READY
        return ready and now >= self.avoided_until

    def note_answer(self, elapsed_ms: float) -> None:
        """Take note of a good answer."""
        self.work_ms += SAMPLE_WEIGHT * (elapsed_ms - self.work_ms)
        self.failures_in_row = 0
        self._answers = self._answers * FAILURE_MEMORY + 1
        self._failed *= FAILURE_MEMORY

    def note_failure(self, now: float) -> bool:
        """Take note of a failure; return whether it is avoided now."""
        self.failures_in_row += 1
        self._answers = self._answers * FAILURE_MEMORY + 1
        self._failed = self._failed * FAILURE_MEMORY + 1
        is_often = (
            self._answers >= FAILURE_SAMPLES
            and self._failed >= FAILURE_SHARE * self._answers
        )
        if self.failures_in_row < FAILURES_IN_ROW and not is_often:
            return False
        return self.avoid(now)

    def avoid(self, now: float) -> bool:
        """Send no requests for a while; return True."""
        further = max(0, self.failures_in_row - FAILURES_IN_ROW)
        doubled = AVOIDED_S * 2.0 ** min(further, 8)
        self.avoided_until = now + min(doubled, LONGEST_AVOIDED_S)
        return True


@dataclass(slots=True, eq=False)
class Engine(Server):
    """A model engine.

    Attributes
    ----------
    slots : int
        Requests that it runs at a time.
    memory_tokens : int
    read_ms : float
        Mean time to read a token.
    token_ms : float
        Mean time to generate a token of a request.
    expected_read_ms : float
        What `read_ms` begins with, and is bounded by.
    is_measured : bool
        Whether `read_ms` is measured.
    """

    slots: int = 0
    memory_tokens: int = 0
    read_ms: float = DEFAULT_READ_MS
    token_ms: float = 0.0
    expected_read_ms: float = DEFAULT_READ_MS
    is_measured: bool = False
    _parts: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _told: dict[str, float] = field(default_factory=dict)

    def expect(self, read_ms: float) -> None:
        """Take over the reading time that the pool's throughput implies."""
        if not read_ms:
            return
        self.expected_read_ms = read_ms
        if not self.is_measured:
            self.read_ms = read_ms

    def count_cached(self, demand: Demand, now: float) -> int:
        """Return the leading tokens that this router believes are held."""
        cached = 0
        for part in demand.parts[:-1]:
            used_at = self._parts.get(part.id)
            if used_at is None or now - used_at > PART_REMEMBERED_S:
                break
            cached += part.tokens
        return cached

    def get_used_at(self, part: str) -> float:
        """Return when a part was last known to be used; or minus infinity."""
        return self._parts.get(part, float("-inf"))

    def note_parts(self, demand: Demand, now: float) -> list[str]:
        """Take note that the engine reads a prompt.

        Returns
        -------
        list of str
            Shared parts that other routers should know of.
        """
        return [
            part.id
            for part in demand.parts[:-1]
            if self.note_part(part.id, now)
        ]

    def note_part(self, id: str, now: float) -> bool:
        """Take note that the engine holds a shared part.

        Returns
        -------
        bool
            Whether this is news, or was told long ago.
        """
        told_at = self._told.get(id, float("-inf"))
        self._parts[id] = now
        self._parts.move_to_end(id)
        while len(self._parts) > PARTS_REMEMBERED:
            oldest, _ = self._parts.popitem(last=False)
            self._told.pop(oldest, None)
        if now - told_at < PART_TOLD_S:
            return False
        self._told[id] = now
        return True

    def count_unread(self, now: float) -> float:
        """Return the prompt tokens in the engine that are still to read."""
        elapsed_ms = (now - self.others_at) * 1000
        others = self.others.unread_tokens - elapsed_ms / self.read_ms
        return self.own.unread_tokens + max(0.0, others)

    def assume_others(self, unread: int, now: float) -> None:
        """Count work that other routers are assumed to send."""
        left = self.count_unread(now) - self.own.unread_tokens
        self.others.unread_tokens = int(left) + unread
        self.others_at = now

    def note_first_event(self, elapsed_ms: float, tokens: float) -> None:
        """Learn the reading speed from the time to a first event."""
        if tokens < LEAST_SAMPLE_TOKENS:
            return
        sample = max(0.0, elapsed_ms - FIRST_MS) / tokens
        least = self.expected_read_ms * LEAST_FACTOR
        most = self.expected_read_ms * MOST_FACTOR
        sample = min(max(sample, least), most)
        self.is_measured = True
        self.read_ms += SAMPLE_WEIGHT * (sample - self.read_ms)

    def note_generated(self, elapsed_ms: float, tokens: int) -> None:
        """Learn the time to generate a token."""
        sample = elapsed_ms / max(1, tokens)
        if not self.token_ms:
            self.token_ms = sample
        self.token_ms += TOKEN_WEIGHT * (sample - self.token_ms)


@dataclass(slots=True, frozen=True)
class Estimate:
    """What becomes of a request if it is sent to an upstream now.

    Attributes
    ----------
    wait_ms : float
        Time until the upstream begins with it.
    read_ms : float
        Time to read the part of the prompt that isn't held.
    unread_shared : int
        Tokens of shared parts that have to be read.
    copied : int
        Tokens of shared parts that are copied from another engine.
    unread : int
        Tokens that have to be read in all.
    has_room : bool
        Whether a place and memory are free.
    """

    wait_ms: float
    read_ms: float
    unread_shared: int
    copied: int
    unread: int
    has_room: bool


@dataclass(slots=True, frozen=True)
class Elsewhere:
    """What other engines hold of a prompt.

    Attributes
    ----------
    tokens : int
        Leading tokens that another engine holds and that may be copied.
    copy_ms : float
        Time to copy one of them.
    """

    tokens: int = 0
    copy_ms: float = 0.0


NOWHERE = Elsewhere()


@singledispatch
def estimate(
    server: Server,
    demand: Demand,
    now: float,
    is_home: bool,
    elsewhere: Elsewhere = NOWHERE,
) -> Estimate:
    """Estimate a request at an upstream.

    Parameters
    ----------
    server : Server
        Dispatches on the kind of upstream.
    demand : Demand
    now : float
    is_home : bool
        Whether all routers send requests with these shared parts there.
    elsewhere : Elsewhere, optional
    """
    slots = max(1, server.upstream.slots)
    running = server.own.running + server.others.running
    waiting = max(0, running - slots + 1)
    wait_ms = waiting * server.work_ms / slots
    return Estimate(wait_ms, server.work_ms, 0, 0, 0, running < 2 * slots)


@estimate.register
def _(
    server: Engine,
    demand: Demand,
    now: float,
    is_home: bool,
    elsewhere: Elsewhere = NOWHERE,
) -> Estimate:
    shared = demand.prompt_tokens - demand.own_tokens
    cached = shared if is_home else server.count_cached(demand, now)
    copied = max(0, elsewhere.tokens - cached)
    unread_shared = max(0, shared - cached - copied)
    unread = demand.own_tokens + unread_shared
    running = server.own.running + server.others.running
    held = server.own.held_tokens + server.others.held_tokens
    needs = held_tokens(demand)
    has_room = (
        running < server.slots
        and held + needs <= server.memory_tokens * MEMORY_SHARE
    ) or running == 0
    return Estimate(
        server.count_unread(now) * server.read_ms,
        unread * server.read_ms + copied * elsewhere.copy_ms + FIRST_MS,
        unread_shared,
        copied,
        unread,
        has_room,
    )


def held_tokens(demand: Demand) -> int:
    """Return the tokens that a request adds to an engine's memory."""
    return demand.own_tokens + demand.output_tokens
