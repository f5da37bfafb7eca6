"""A router's account of the work in each upstream, and its estimates.

Engines report their load late and to everyone, so a router keeps its own
account: what it has sent, and what the fleet's sums say of other routers.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from functools import singledispatch

from .demand import RequestDemand
from .upstream_registry import Upstream, UpstreamState
from .usage import UpstreamLoad

# Weight of the newest sample in running means.
SAMPLE_WEIGHT = 0.15
# The same for the time of a token, of which there are far more samples.
DECODE_SAMPLE_WEIGHT = 0.03
# Samples beyond these multiples of the expected speed are taken as these.
MIN_PREFILL_FACTOR = 0.3
MAX_PREFILL_FACTOR = 6.0
# Prompts below this size tell little about the reading speed.
MIN_SAMPLE_TOKENS = 1500
# Time of a request in an idle engine beside reading the prompt, in ms.
REQUEST_OVERHEAD_MS = 20.0
# Reading time of a token before anything was measured, in ms.
DEFAULT_PREFILL_MS_PER_TOKEN = 0.03
# Work time of a plain request before anything was measured, in ms.
DEFAULT_SERVICE_MS = 80.0
# Parts are believed to be in an engine's memory for this long after use.
CACHED_PART_TTL_S = 45.0
MAX_CACHED_PARTS = 2048
# Other routers are told again of a part after this long.
PART_REPORT_INTERVAL_S = 10.0
# Share of an engine's memory that requests may fill. The rest keeps shared
# parts, and output that grows beyond its estimate.
KV_CACHE_FRACTION = 0.85
# An upstream that fails this often in a row is avoided. Some services answer
# one request in seven with a failure of its own.
MAX_FAILURES_IN_ROW = 4
# An upstream that fails gets no requests for this long, doubled with each
# further failure in a row.
EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
# Share of failures in recent answers at which an upstream is avoided though
# single answers are good, and the answers that must have been seen.
FAILURE_FRACTION = 0.3
MIN_FAILURE_SAMPLES = 5.0
FAILURE_DECAY = 0.9


@dataclass(slots=True, eq=False)
class Server:
    """An upstream of a plain service.

    Attributes
    ----------
    upstream : Upstream
    own_load, others_load : UpstreamLoad
        Work of this router, and of all others as of `others_load_at`.
    service_ms : float
        Mean time of a request.
    ejected_until : float
        No requests are sent before this time.
    """

    upstream: Upstream
    own_load: UpstreamLoad = field(default_factory=UpstreamLoad)
    others_load: UpstreamLoad = field(default_factory=UpstreamLoad)
    others_load_at: float = 0.0
    service_ms: float = DEFAULT_SERVICE_MS
    ejected_until: float = 0.0
    failures_in_row: int = 0
    _answers: float = 0.0
    _failures: float = 0.0

    @property
    def id(self) -> str:
        """Id of the upstream."""
        return self.upstream.id

    def is_usable(self, now: float) -> bool:
        """Return whether requests may be sent."""
        ready = self.upstream.state is UpstreamState.READY
        return ready and now >= self.ejected_until

    def record_success(self, elapsed_ms: float) -> None:
        """Take note of a good answer."""
        self.service_ms += SAMPLE_WEIGHT * (elapsed_ms - self.service_ms)
        self.failures_in_row = 0
        self._answers = self._answers * FAILURE_DECAY + 1
        self._failures *= FAILURE_DECAY

    def record_failure(self, now: float) -> bool:
        """Take note of a failure; return whether it is avoided now."""
        self.failures_in_row += 1
        self._answers = self._answers * FAILURE_DECAY + 1
        self._failures = self._failures * FAILURE_DECAY + 1
        fails_often = (
            self._answers >= MIN_FAILURE_SAMPLES
            and self._failures >= FAILURE_FRACTION * self._answers
        )
        if self.failures_in_row < MAX_FAILURES_IN_ROW and not fails_often:
            return False
        return self.eject(now)

    def eject(self, now: float) -> bool:
        """Send no requests for a while; return True."""
        extra_failures = max(0, self.failures_in_row - MAX_FAILURES_IN_ROW)
        ejection_s = EJECTION_S * 2.0 ** min(extra_failures, 8)
        self.ejected_until = now + min(ejection_s, MAX_EJECTION_S)
        return True


@dataclass(slots=True, eq=False)
class Engine(Server):
    """A model engine.

    Attributes
    ----------
    slots : int
        Requests that it runs at a time.
    kv_capacity_tokens : int
    prefill_ms_per_token : float
        Mean time to read a token.
    decode_ms_per_token : float
        Mean time to generate a token of a request.
    expected_prefill_ms_per_token : float
        What `read_ms` begins with, and is bounded by.
    is_measured : bool
        Whether `read_ms` is measured.
    """

    slots: int = 0
    kv_capacity_tokens: int = 0
    prefill_ms_per_token: float = DEFAULT_PREFILL_MS_PER_TOKEN
    decode_ms_per_token: float = 0.0
    expected_prefill_ms_per_token: float = DEFAULT_PREFILL_MS_PER_TOKEN
    is_measured: bool = False
    _part_used_at: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _part_reported_at: dict[str, float] = field(default_factory=dict)

    def set_expected_prefill(self, read_ms: float) -> None:
        """Take over the reading time that the pool's throughput implies."""
        if not read_ms:
            return
        self.expected_prefill_ms_per_token = read_ms
        if not self.is_measured:
            self.prefill_ms_per_token = read_ms

    def count_cached(self, demand: RequestDemand, now: float) -> int:
        """Return the leading tokens that this router believes are held."""
        cached = 0
        for part in demand.parts[:-1]:
            used_at = self._part_used_at.get(part.id)
            if used_at is None or now - used_at > CACHED_PART_TTL_S:
                break
            cached += part.tokens
        return cached

    def get_part_used_at(self, part: str) -> float:
        """Return when a part was last known to be used; or minus infinity."""
        return self._part_used_at.get(part, float("-inf"))

    def record_parts(self, demand: RequestDemand, now: float) -> list[str]:
        """Take note that the engine reads a prompt.

        Returns
        -------
        list of str
            Shared parts that other routers should know of.
        """
        return [
            part.id
            for part in demand.parts[:-1]
            if self.record_part(part.id, now)
        ]

    def record_part(self, id: str, now: float) -> bool:
        """Take note that the engine holds a shared part.

        Returns
        -------
        bool
            Whether this is news, or was told long ago.
        """
        reported_at = self._part_reported_at.get(id, float("-inf"))
        self._part_used_at[id] = now
        self._part_used_at.move_to_end(id)
        while len(self._part_used_at) > MAX_CACHED_PARTS:
            oldest, _ = self._part_used_at.popitem(last=False)
            self._part_reported_at.pop(oldest, None)
        if now - reported_at < PART_REPORT_INTERVAL_S:
            return False
        self._part_reported_at[id] = now
        return True

    def count_prefill_tokens(self, now: float) -> float:
        """Return the prompt tokens in the engine that are still to read."""
        elapsed_ms = (now - self.others_load_at) * 1000
        others = (
            self.others_load.prefill_tokens
            - elapsed_ms / self.prefill_ms_per_token
        )
        return self.own_load.prefill_tokens + max(0.0, others)

    def assume_others_load(self, unread: int, now: float) -> None:
        """Count work that other routers are assumed to send."""
        left = self.count_prefill_tokens(now) - self.own_load.prefill_tokens
        self.others_load.prefill_tokens = int(left) + unread
        self.others_load_at = now

    def record_first_event(self, elapsed_ms: float, tokens: float) -> None:
        """Learn the reading speed from the time to a first event."""
        if tokens < MIN_SAMPLE_TOKENS:
            return
        sample = max(0.0, elapsed_ms - REQUEST_OVERHEAD_MS) / tokens
        least = self.expected_prefill_ms_per_token * MIN_PREFILL_FACTOR
        most = self.expected_prefill_ms_per_token * MAX_PREFILL_FACTOR
        sample = min(max(sample, least), most)
        self.is_measured = True
        self.prefill_ms_per_token += SAMPLE_WEIGHT * (
            sample - self.prefill_ms_per_token
        )

    def record_generated(self, elapsed_ms: float, tokens: int) -> None:
        """Learn the time to generate a token."""
        sample = elapsed_ms / max(1, tokens)
        if not self.decode_ms_per_token:
            self.decode_ms_per_token = sample
        self.decode_ms_per_token += DECODE_SAMPLE_WEIGHT * (
            sample - self.decode_ms_per_token
        )


@dataclass(slots=True, frozen=True)
class Estimate:
    """What becomes of a request if it is sent to an upstream now.

    Attributes
    ----------
    wait_ms : float
        Time until the upstream begins with it.
    prefill_ms : float
        Time to read the part of the prompt that isn't held.
    shared_prefill_tokens : int
        Tokens of shared parts that have to be read.
    copied_tokens : int
        Tokens of shared parts that are copied from another engine.
    prefill_tokens : int
        Tokens that have to be read in all.
    has_room : bool
        Whether a place and memory are free.
    """

    wait_ms: float
    prefill_ms: float
    shared_prefill_tokens: int
    copied_tokens: int
    prefill_tokens: int
    has_room: bool


@dataclass(slots=True, frozen=True)
class CopySource:
    """What other engines hold of a prompt.

    Attributes
    ----------
    tokens : int
        Leading tokens that another engine holds and that may be copied.
    copy_ms_per_token : float
        Time to copy one of them.
    """

    tokens: int = 0
    copy_ms_per_token: float = 0.0


NO_COPY_SOURCE = CopySource()


@singledispatch
def estimate(
    server: Server,
    demand: RequestDemand,
    now: float,
    is_preferred: bool,
    copy_source: CopySource = NO_COPY_SOURCE,
) -> Estimate:
    """Estimate a request at an upstream.

    Parameters
    ----------
    server : Server
        Dispatches on the kind of upstream.
    demand : RequestDemand
    now : float
    is_preferred : bool
        Whether all routers send requests with these shared parts there.
    copy_source : CopySource, optional
    """
    slots = max(1, server.upstream.slots)
    running = server.own_load.running + server.others_load.running
    waiting = max(0, running - slots + 1)
    wait_ms = waiting * server.service_ms / slots
    return Estimate(wait_ms, server.service_ms, 0, 0, 0, running < 2 * slots)


@estimate.register
def _(
    server: Engine,
    demand: RequestDemand,
    now: float,
    is_preferred: bool,
    copy_source: CopySource = NO_COPY_SOURCE,
) -> Estimate:
    shared = demand.prompt_tokens - demand.own_tokens
    cached = shared if is_preferred else server.count_cached(demand, now)
    copied = max(0, copy_source.tokens - cached)
    shared_prefill_tokens = max(0, shared - cached - copied)
    unread = demand.own_tokens + shared_prefill_tokens
    running = server.own_load.running + server.others_load.running
    held = server.own_load.kv_tokens + server.others_load.kv_tokens
    needs = count_kv_tokens(demand)
    has_room = (
        running < server.slots
        and held + needs <= server.kv_capacity_tokens * KV_CACHE_FRACTION
    ) or running == 0
    return Estimate(
        server.count_prefill_tokens(now) * server.prefill_ms_per_token,
        unread * server.prefill_ms_per_token
        + copied * copy_source.copy_ms_per_token
        + REQUEST_OVERHEAD_MS,
        shared_prefill_tokens,
        copied,
        unread,
        has_room,
    )


def count_kv_tokens(demand: RequestDemand) -> int:
    """Return the tokens that a request adds to an engine's memory."""
    return demand.own_tokens + demand.output_tokens
