"""Load, speed and health of upstreams as a router tracks them.

Load reports of engines arrive late and at all routers at once, so a router
counts the requests that it has sent itself and adds the load of other routers
from the fleet's usage.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from functools import singledispatch

from .demand import RequestDemand
from .rate_limits import RateLimiter
from .speeds import PoolSpeed
from .upstream_registry import Upstream, UpstreamState
from .usage import ReportedLoad, UpstreamLoad

# Weight of the newest sample in running means.
SAMPLE_WEIGHT = 0.15
# Weights of samples of a plain service's usual time without queue. Waiting and
# slow phases make samples larger, so the mean follows the smaller ones.
WORK_RISE_WEIGHT = 0.05
WORK_FALL_WEIGHT = 0.15
# The same for the decode time of a token, which has far more samples.
DECODE_SAMPLE_WEIGHT = 0.03
# Bounds of samples of the prefill time, as multiples of the expected time.
MIN_PREFILL_FACTOR = 0.3
MAX_PREFILL_FACTOR = 6.0
# Smaller prompts say little about the prefill speed.
MIN_SAMPLE_TOKENS = 1500
# Time to the first event in an idle engine, without the prefill, in ms.
REQUEST_OVERHEAD_MS = 20.0
# Prefill time of a token before there is a sample or an expected time, in ms.
DEFAULT_PREFILL_MS_PER_TOKEN = 0.03
# Service time of a request to a plain service before the first sample, in ms.
DEFAULT_SERVICE_MS = 80.0
# Time for which a shared part is assumed to stay in an engine's KV cache
# after its last use, and the parts remembered for each engine.
CACHED_PART_TTL_S = 45.0
MAX_CACHED_PARTS = 2048
# A cached part is reported to other routers again after this time.
PART_REPORT_INTERVAL_S = 10.0
# Fraction of an engine's KV cache that requests may fill. The rest is for
# shared parts and for output that exceeds its estimate.
KV_CACHE_FRACTION = 0.85
# Failures in a row after which an upstream is ejected. Some services answer
# one request in seven with a failure that the request itself causes.
EJECTION_FAILURES = 4
# Time for which an ejected upstream gets no requests. It doubles with each
# further failure in a row, up to the maximum.
EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
# An upstream is also ejected when this fraction of its recent responses were
# failures, once there are enough samples. The count of responses decays by
# `FAILURE_DECAY` with each response.
FAILURE_FRACTION = 0.3
MIN_FAILURE_SAMPLES = 5.0
FAILURE_DECAY = 0.9
# Longest pause that an upstream may ask for. It is far above what an
# overloaded server needs, and an odd value must not disable an upstream for
# good.
MAX_PAUSE_S = 300.0


@dataclass(slots=True, eq=False)
class Server:
    """An upstream, with the load, speed and health that a router tracks.

    This class is for plain services; `Engine` is for model engines.

    Attributes
    ----------
    upstream : Upstream
        The upstream's newest announcement.
    own_load, others_load : UpstreamLoad
        Load from this router, and from all others as of `others_load_at`.
    others_load_at : float
        Monotonic time in seconds.
    reported : ReportedLoad or None
        Load that the newest response stated; None before the first one.
    reported_at : float
        Monotonic time in seconds at which that response came.
    reported_others : int
        Requests of other routers that were running or waiting then.
    service_ms : float
        Mean time of a request.
    work_ms : float
        Usual time of a request that doesn't wait at the upstream.
    ejected_until : float
        Monotonic time in seconds before which no requests are sent, unless
        no other upstream is left.
    paused_until : float
        Monotonic time in seconds before which the upstream wants no requests
        from this router.
    limiter : RateLimiter or None
        Bounds the rate of requests of this router; None without a limit.
    cold_until : float
        Monotonic time in seconds until which the upstream is cold, as of the
        last division of the limits; -inf if it is warm.
    failures_in_row : int
    was_reached : bool
        Whether a request was sent to this start.
    """

    upstream: Upstream
    own_load: UpstreamLoad = field(default_factory=UpstreamLoad)
    others_load: UpstreamLoad = field(default_factory=UpstreamLoad)
    others_load_at: float = 0.0
    reported: ReportedLoad | None = None
    reported_at: float = 0.0
    reported_others: int = 0
    service_ms: float = DEFAULT_SERVICE_MS
    work_ms: float = DEFAULT_SERVICE_MS
    ejected_until: float = 0.0
    paused_until: float = 0.0
    limiter: RateLimiter | None = None
    cold_until: float = float("-inf")
    failures_in_row: int = 0
    was_reached: bool = False
    _recent_responses: float = 0.0
    _recent_failures: float = 0.0

    @property
    def id(self) -> str:
        """Id of the upstream."""
        return self.upstream.id

    def is_usable(self, now: float) -> bool:
        """Return whether requests may be sent."""
        return self.accepts_requests(now) and now >= self.ejected_until

    def accepts_requests(self, now: float) -> bool:
        """Return whether the upstream itself is willing to take requests."""
        ready = self.upstream.state is UpstreamState.READY
        return ready and now >= self.paused_until

    def still_serves(self, now: float, drain_s: float) -> bool:
        """Return whether it leaves, but takes requests for `drain_s`."""
        is_leaving = self.upstream.state is UpstreamState.DRAINING
        until = self.upstream.leaving_since + drain_s
        return is_leaving and self.paused_until <= now < until

    def compute_rate_wait(self, now: float) -> float:
        """Return the seconds until its rate limit allows a request."""
        return self.limiter.compute_wait(now) if self.limiter else 0.0

    def compute_limit_wait(self, now: float) -> float:
        """Return the seconds until its limit allows a request, or ends."""
        wait_s = self.compute_rate_wait(now)
        is_cold = self.cold_until > now
        return min(wait_s, self.cold_until - now) if is_cold else wait_s

    def pause(self, duration_s: float, now: float) -> None:
        """Send nothing for a time that the upstream has asked for."""
        until = now + min(duration_s, MAX_PAUSE_S)
        self.paused_until = max(self.paused_until, until)

    def record_reported(self, load: ReportedLoad, now: float) -> None:
        """Record the load that a response states."""
        self.reported = load
        self.reported_at = now
        requests = load.running + load.waiting
        self.reported_others = max(0, requests - self.own_load.running)

    def record_success(self, elapsed_ms: float) -> None:
        """Record a response that is no failure, and its duration."""
        self.service_ms += SAMPLE_WEIGHT * (elapsed_ms - self.service_ms)
        rises = elapsed_ms > self.work_ms
        weight = WORK_RISE_WEIGHT if rises else WORK_FALL_WEIGHT
        self.work_ms += weight * (elapsed_ms - self.work_ms)
        self.failures_in_row = 0
        self._recent_responses = self._recent_responses * FAILURE_DECAY + 1
        self._recent_failures *= FAILURE_DECAY

    def record_failure(self, now: float) -> bool:
        """Record a failure; return whether the upstream is ejected now."""
        self.failures_in_row += 1
        self._recent_responses = self._recent_responses * FAILURE_DECAY + 1
        self._recent_failures = self._recent_failures * FAILURE_DECAY + 1
        fails_often = (
            self._recent_responses >= MIN_FAILURE_SAMPLES
            and self._recent_failures
            >= FAILURE_FRACTION * self._recent_responses
        )
        if self.failures_in_row < EJECTION_FAILURES and not fails_often:
            return False
        return self.eject(now)

    def eject(self, now: float) -> bool:
        """Stop sending requests for some time; return True."""
        extra_failures = max(0, self.failures_in_row - EJECTION_FAILURES)
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
        Capacity of its KV cache in tokens.
    prefill_ms_per_token : float
        Mean time to prefill a token.
    decode_ms_per_token : float
        Mean time to generate a token of one request; 0 before the first
        sample.
    expected_prefill_ms_per_token : float
        Initial value of `prefill_ms_per_token`; it also bounds the samples.
    is_measured : bool
        Whether `prefill_ms_per_token` has samples.
    overhead_ms : float
        Time to the first event in an idle engine, without the prefill.
    time_factor : float
        Time for the same work relative to the pool's other engines, as all
        routers together have measured it.
    """

    slots: int = 0
    kv_capacity_tokens: int = 0
    prefill_ms_per_token: float = DEFAULT_PREFILL_MS_PER_TOKEN
    decode_ms_per_token: float = 0.0
    expected_prefill_ms_per_token: float = DEFAULT_PREFILL_MS_PER_TOKEN
    is_measured: bool = False
    overhead_ms: float = REQUEST_OVERHEAD_MS
    time_factor: float = 1.0
    _part_used_at: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _part_reported_at: dict[str, float] = field(default_factory=dict)

    def set_expected_prefill(self, ms_per_token: float) -> None:
        """Set the prefill time that the pool's throughput implies."""
        if not ms_per_token:
            return
        self.expected_prefill_ms_per_token = ms_per_token
        if not self.is_measured:
            self.prefill_ms_per_token = ms_per_token

    def set_speed(self, speed: PoolSpeed) -> None:
        """Set the forecast by what the routers have measured."""
        self.is_measured = True
        self.overhead_ms = speed.overhead_ms
        self.prefill_ms_per_token = (
            speed.prefill_ms_per_token * self.time_factor
        )

    def count_cached(self, demand: RequestDemand, now: float) -> int:
        """Return the leading tokens of a prompt assumed to be cached."""
        cached = 0
        for part in demand.parts[:-1]:
            used_at = self._part_used_at.get(part.id)
            if used_at is None or now - used_at > CACHED_PART_TTL_S:
                break
            cached += part.tokens
        return cached

    def get_part_used_at(self, part: str) -> float:
        """Return when a part was last used, or minus infinity."""
        return self._part_used_at.get(part, float("-inf"))

    def forget_parts(self) -> None:
        """Forget the cached parts, as the engine has lost them."""
        self._part_used_at.clear()
        self._part_reported_at.clear()

    def record_parts(self, demand: RequestDemand, now: float) -> list[str]:
        """Record that the engine prefills a prompt.

        Returns
        -------
        list of str
            Ids of shared parts to report to other routers.
        """
        return [
            part.id
            for part in demand.parts[:-1]
            if self.record_part(part.id, now)
        ]

    def record_part(self, id: str, now: float) -> bool:
        """Record that the engine caches a shared part.

        Returns
        -------
        bool
            Whether the part is due to be reported to other routers.
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
        """Return the prompt tokens in the engine that are not prefilled yet.

        Those of other routers are assumed to be prefilled at the measured
        speed since their load was reported.
        """
        elapsed_ms = (now - self.others_load_at) * 1000
        others = (
            self.others_load.prefill_tokens
            - elapsed_ms / self.prefill_ms_per_token
        )
        return self.own_load.prefill_tokens + max(0.0, others)

    def has_room(self, kv_tokens: int) -> bool:
        """Return whether a request with these KV cache entries may be sent.

        An idle engine takes any request, even one that exceeds its KV cache.
        """
        running = self.own_load.running + self.others_load.running
        if not running:
            return True
        if running >= self.slots:
            return False
        used = self.own_load.kv_tokens + self.others_load.kv_tokens
        return used + kv_tokens <= self.kv_capacity_tokens * KV_CACHE_FRACTION

    def assume_others_load(self, tokens: int, now: float) -> None:
        """Add prefill that other routers are assumed to have sent."""
        known = self.count_prefill_tokens(now) - self.own_load.prefill_tokens
        self.others_load.prefill_tokens = int(known) + tokens
        self.others_load_at = now

    def record_first_event(self, elapsed_ms: float, tokens: float) -> None:
        """Update the prefill speed from the time to a first event.

        Parameters
        ----------
        elapsed_ms : float
            Time since the request was sent.
        tokens : float
            Tokens that the engine prefilled in that time.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return
        sample = max(0.0, elapsed_ms - REQUEST_OVERHEAD_MS) / tokens
        lowest = self.expected_prefill_ms_per_token * MIN_PREFILL_FACTOR
        highest = self.expected_prefill_ms_per_token * MAX_PREFILL_FACTOR
        sample = min(max(sample, lowest), highest)
        self.is_measured = True
        self.prefill_ms_per_token += SAMPLE_WEIGHT * (
            sample - self.prefill_ms_per_token
        )

    def record_generated(self, elapsed_ms: float, tokens: int) -> None:
        """Update the decode speed from the time between two events.

        Parameters
        ----------
        elapsed_ms : float
            Time between the events.
        tokens : int
            Tokens that were generated in that time.
        """
        sample = elapsed_ms / max(1, tokens)
        if not self.decode_ms_per_token:
            self.decode_ms_per_token = sample
        self.decode_ms_per_token += DECODE_SAMPLE_WEIGHT * (
            sample - self.decode_ms_per_token
        )


@dataclass(slots=True)
class Estimate:
    """What a request would cost if it were sent to an upstream now.

    Attributes
    ----------
    wait_ms : float
        Time until the upstream begins with it.
    prefill_ms : float
        Time of the request's own prefill and copying; the service time
        where the upstream is a plain service.
    shared_prefill_tokens : int
        Tokens of shared parts to prefill.
    copied_tokens : int
        Tokens of shared parts to copy from another engine.
    prefill_tokens : int
        All tokens to prefill.
    has_room : bool
        Whether it may be sent: an engine needs a free slot and KV cache, a
        plain service fewer than two requests per slot.
    """

    wait_ms: float
    prefill_ms: float
    shared_prefill_tokens: int
    copied_tokens: int
    prefill_tokens: int
    has_room: bool


@dataclass(slots=True, frozen=True)
class CopySource:
    """The part of a prompt that can be copied from another engine.

    Attributes
    ----------
    tokens : int
        Leading tokens that the other engine caches.
    copy_ms_per_token : float
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
    """Estimate what a request would cost at an upstream.

    Parameters
    ----------
    server : Server
        Plain services and engines are estimated differently.
    demand : RequestDemand
    now : float
        Monotonic time in seconds.
    is_preferred : bool
        Whether it is the first engine in the order of preference for the
        request's shared parts. These are then assumed to be cached, as all
        routers send such requests there.
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
    prefill_tokens = demand.own_tokens + shared_prefill_tokens
    return Estimate(
        server.count_prefill_tokens(now) * server.prefill_ms_per_token,
        prefill_tokens * server.prefill_ms_per_token
        + copied * copy_source.copy_ms_per_token
        + server.overhead_ms,
        shared_prefill_tokens,
        copied,
        prefill_tokens,
        server.has_room(count_kv_tokens(demand)),
    )


def count_kv_tokens(demand: RequestDemand) -> int:
    """Return the tokens that a request adds to an engine's KV cache."""
    return demand.own_tokens + demand.output_tokens
