"""Load balancing and admission control of one pool at a router.

The balancer chooses an upstream for each request or refuses the request. It
decides from the router's own state and does no I/O; the caller passes in the
time.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager
from dataclasses import dataclass, field, replace
from enum import Enum
from statistics import median

import anyio

from .choice import Balancing, Choice, Placement
from .cold_starts import ColdStarts, divide_cold_rate
from .crashes import CrashLedger
from .demand import RequestDemand
from .ended_starts import UNKNOWN_VERSION
from .engine import (
    MAX_CACHED_PARTS,
    Engine,
    Server,
    count_kv_tokens,
)
from .evacuations import EvacuationChange, Evacuations
from .load_estimate import (
    compute_duration_ms,
    count_others,
    estimate_work_ms,
)
from .rate_limits import (
    BURST,
    FleetPosition,
    RateLimiter,
    RateLimits,
    divide_rate,
)
from .shares import Shares
from .speeds import PoolSpeed, SpeedEstimate
from .targets import TargetMix
from .upstream_registry import Upstream, UpstreamStart, UpstreamState
from .usage import CachedPart, ReportedLoad, UpstreamLoad

# Fraction of its target (`RequestDemand.target_s`) for which a request may
# wait to be placed before it is refused. An eighth covers the time between two
# prompts of an engine; a later refusal leaves the caller too little time to
# retry.
QUEUE_WAIT_FRACTION = 0.125
# Fraction of the target that may pass before a request's own prefill ends.
# The minimum keeps large prompts from being refused for their size alone: the
# work ahead of a request may always take that fraction.
PREFILL_WAIT_FRACTION = 0.9
MIN_PREFILL_WAIT_FRACTION = 0.35
# Fraction of the target that the work ahead of a request may take when its
# caller retries after a refusal. Such a request has usually missed its target
# already, but a late response is better than another refusal.
CALLER_RETRY_WAIT_FRACTION = 1.5
# Fraction of the shortest target in the pool's mix that the work ahead of a
# request with a longer target, or of a caller's retry, may take. Engines
# serve prompts in order of arrival, so these would otherwise fill the queues
# beyond what requests with the shortest target can bear.
SHARED_QUEUE_FRACTION = 0.5
# A request is hopeless when the work ahead is too long by this many times the
# time for which it may wait. Estimates of the work are often too high by half
# of it.
HOPELESS_FACTOR = 4.0
# The pool has headroom while the median engine has less prefill work than the
# first limit, and is overloaded above the second, in ms. They are about a
# tenth and a third of 1 s, the target of most streams.
HEADROOM_WAIT_MS = 120.0
# Fraction of both limits of headroom below which accounts need no share. The
# rest of the headroom is kept for accounts within their share.
SPARE_HEADROOM_FRACTION = 0.5
# Interval in seconds at which a flood of requests without share looks at the
# engines' load again.
HEADROOM_INTERVAL_S = 0.02
OVERLOADED_WAIT_MS = 350.0
# The target of the mean inter-token latency, as a fraction of the longest gap
# that is allowed. Streams then end in time, and a burst of prompts doesn't
# make single gaps too long.
INTER_TOKEN_TARGET_FRACTION = 0.25
# Weight of a sample in the mean inter-token latency, and the time without
# samples in which the mean halves. At some hundred events a second the mean
# follows a rise or fall within half a second.
INTER_TOKEN_WEIGHT = 0.02
INTER_TOKEN_HALF_LIFE_S = 0.5
# The pool is overloaded above this multiple of the target inter-token
# latency. The distance to the target keeps the throughput from oscillating.
OVERLOADED_INTER_TOKEN_FACTOR = 1.3
# Bounds of the time after which a refused caller should retry, in seconds.
# Nothing has changed before the next fleet usage arrives, and callers wait
# only for a part of their deadline, which is commonly 10 s or more.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 4.0
# The same where all upstreams are evacuated. An evacuation lasts for longer
# than a short load peak, and operators end it at a time that nobody knows.
EVACUATED_RETRY_AFTER_S = 1.0
# Minimum of the other routers that a router assumes until it knows the fleet's
# usage, and the fraction of the attached ones. Not all of them receive
# requests at once.
MIN_ASSUMED_ROUTERS = 3
ASSUMED_ROUTER_FRACTION = 0.3
# Waiting requests per pool; each holds its body in memory.
MAX_WAITING = 400
# Waiting requests that are tried in a row without finding room, before the
# others are left until the next change. All of them need the same engines.
MAX_FAILED_PLACEMENTS = 8
# Fraction of an upstream's drain time in which streams may go on there, and
# the longest such time. The rest allows for announcements that come late; a
# router that was cut off learns only afterwards that an upstream leaves.
STREAM_DRAIN_FRACTION = 0.75
MAX_STREAM_DRAIN_S = 2.0
# Fraction of the deadline within which a stream should end; the rest allows
# for errors of the estimates.
DEADLINE_FRACTION = 0.9


class RefusalReason(Enum):
    """Why a request was refused."""

    NO_UPSTREAM = "no upstream is ready"
    EVACUATED = "all upstreams are in evacuated availability zones"
    PAUSED = "all upstreams have asked for a pause"
    RATE_LIMITED = "the upstreams take no more requests a second"
    NO_VERSION = "no upstream has the software version that began the stream"
    UNKNOWN_ORIGIN = "it isn't known where the stream began"
    BLOCKED_PART = "a part of the prompt has crashed several upstreams"
    BLOCKED_REQUEST = "the request has crashed several upstreams"
    NO_SHARE = "the account's share is used up"
    NO_ROOM = "the upstreams are full"
    TOO_LATE = "the answer would come too late"
    QUEUE_FULL = "too many requests wait"
    STOPPING = "the router is stopping"


BLOCKED = (RefusalReason.BLOCKED_PART, RefusalReason.BLOCKED_REQUEST)
# Reasons that also end the wait of requests that wait already.
ENDS_WAITING = (*BLOCKED, RefusalReason.EVACUATED)
# Reasons that a further usable upstream would remove.
_LACKS_UPSTREAMS = (
    RefusalReason.RATE_LIMITED,
    RefusalReason.NO_ROOM,
    RefusalReason.TOO_LATE,
)


@dataclass(slots=True, frozen=True)
class Refusal:
    """Why a request is not sent, and when its caller should retry.

    Attributes
    ----------
    reason : RefusalReason
    retry_after_s : float
        Value of Retry-After in seconds.
    """

    reason: RefusalReason
    retry_after_s: float


@dataclass(slots=True)
class Shortfall:
    """Why a request can't be sent now.

    Attributes
    ----------
    reason : RefusalReason
    is_hopeless : bool
        Whether it can't be sent either before it gives up waiting.
    lacks_throughput : bool
        Whether engines could serve it if they had less work.
    """

    reason: RefusalReason
    is_hopeless: bool = False
    lacks_throughput: bool = False


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits to be placed.

    Attributes
    ----------
    demand : RequestDemand
    excluded : frozenset of str
        Ids of upstreams that have failed the request.
    give_up_at : float
        Monotonic time after which it is refused, in seconds.
    done : anyio.Event
        Set once `result` is known.
    result : Placement, Refusal or None
    """

    demand: RequestDemand
    excluded: frozenset[str]
    give_up_at: float
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Placement | Refusal | None = None


@dataclass(slots=True)
class InterTokenLatency:
    """Running mean of the time between tokens, over all engines of a pool.

    It decays without new samples, because idle engines produce none.
    """

    _mean_ms: float = 0.0
    _updated_at: float = 0.0

    def record(self, sample_ms: float, now: float) -> None:
        """Add a sample: the time since the previous token."""
        mean = self.get(now)
        self._mean_ms = mean + INTER_TOKEN_WEIGHT * (sample_ms - mean)
        self._updated_at = now

    def get(self, now: float) -> float:
        """Return the decayed mean in ms."""
        silent_s = max(0.0, now - self._updated_at)
        return float(
            self._mean_ms * 0.5 ** (silent_s / INTER_TOKEN_HALF_LIFE_S)
        )


class Balancer:
    """Places the requests of one pool on its upstreams, or refuses them.

    Parameters
    ----------
    pool : str
    availability_zone : str
        The router's own availability zone.
    shares : Shares
        Fair shares of the client accounts.
    draw : callable
        Returns a random number from 0 to 1, to spread equal choices and
        retries.
    limit : callable
        Returns a cancel scope that ends after a number of seconds.
    crashes : CrashLedger, optional
        Requests and prompt parts that are blocked, and upstreams that have
        ended; without it, there are none.
    rate_limits : RateLimits, optional
        Rate limits of upstreams; without it, there are none.
    evacuations : Evacuations, optional
        Availability zones that get no requests; without it, there are none.

    Attributes
    ----------
    inter_token_latency : InterTokenLatency
    cached_parts : deque of CachedPart
        Shared parts that were sent to engines since the last report. The
        oldest are dropped, as there is no report while no controller leads.
    cold_starts : ColdStarts
        Which of the upstreams are cold.
    servers : dict of str to Server
        Upstreams of the pool by id.
    speed_estimate : SpeedEstimate or None
        Speed of the pool's engines; None while each router goes by its own
        measurements of each engine.
    assumed_routers : float
        Number of other routers that are assumed to send as much as this
        one, while the fleet's usage isn't known.
    upstream_drain_s : float
        Time in seconds for which a leaving upstream takes requests.
    """

    __slots__ = (
        "_choice",
        "_crashes",
        "_draw",
        "_evacuations",
        "_headroom",
        "_headroom_at",
        "_kv_capacity_tokens",
        "_limit",
        "_paused_until",
        "_pool",
        "_position",
        "_prefill_ms_per_token",
        "_rate_limits",
        "_shares",
        "_slots",
        "_target_inter_token_ms",
        "_targets",
        "_waiting",
        "assumed_routers",
        "cached_parts",
        "cold_starts",
        "inter_token_latency",
        "servers",
        "speed_estimate",
        "upstream_drain_s",
    )

    def __init__(
        self,
        pool: str,
        availability_zone: str,
        shares: Shares,
        draw: Callable[[], float],
        limit: Callable[[float], AbstractContextManager[anyio.CancelScope]],
        crashes: CrashLedger | None = None,
        rate_limits: RateLimits | None = None,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._choice = Choice(availability_zone, draw, self.find_version)
        self._crashes = CrashLedger() if crashes is None else crashes
        self._draw = draw
        self._evacuations = (
            Evacuations() if evacuations is None else evacuations
        )
        # Whether the engines had headroom, and when that was found out.
        self._headroom = False
        self._headroom_at = float("-inf")
        self._limit = limit
        self._kv_capacity_tokens = 0
        self._target_inter_token_ms = 0.0
        self._targets = TargetMix()
        # End of each pause that an upstream has asked for, also while the
        # upstream is lost.
        self._paused_until: dict[UpstreamStart, float] = {}
        self._pool = pool
        self._position = FleetPosition()
        self._prefill_ms_per_token = 0.0
        self._rate_limits = (
            RateLimits() if rate_limits is None else rate_limits
        )
        self._shares = shares
        self._slots = 0
        self._waiting: list[WaitingRequest] = []
        self.inter_token_latency = InterTokenLatency()
        self.cached_parts: deque[CachedPart] = deque(maxlen=MAX_CACHED_PARTS)
        self.cold_starts = ColdStarts()
        self.servers: dict[str, Server] = {}
        self.speed_estimate: SpeedEstimate | None = None
        self.assumed_routers = 0.0
        self.upstream_drain_s = 0.0

    # ---- upstreams -------------------------------------------------------

    def configure(
        self,
        kv_capacity_tokens: int,
        slots: int,
        tokens_per_s: float,
        max_gap_ms: float,
        copy_ms_per_token: float = 0.0,
        balancing: Balancing = Balancing.LEAST_LOADED,
    ) -> None:
        """Set the properties that the routing document gives the pool.

        Parameters
        ----------
        kv_capacity_tokens : int
            Capacity of one engine's KV cache in tokens; 0 for a service
            that is no model engine.
        slots : int
            Requests that one engine runs at a time; 0 where the upstream's
            announcement says it.
        tokens_per_s : float
            Throughput of all engines together.
        max_gap_ms : float
            Longest allowed gap between tokens; 0 when it is unknown.
        copy_ms_per_token : float, optional
            Time to copy a token's KV cache entry from another engine; 0
            where engines can't copy.
        balancing : Balancing, optional
            How requests are spread over the upstreams.
        """
        self._choice.balancing = balancing
        self._choice.copy_ms_per_token = copy_ms_per_token
        self._choice.has_engines = kv_capacity_tokens > 0
        self._kv_capacity_tokens = kv_capacity_tokens
        self._target_inter_token_ms = max_gap_ms * INTER_TOKEN_TARGET_FRACTION
        self._slots = slots
        if kv_capacity_tokens and tokens_per_s and self.servers:
            self._prefill_ms_per_token = (
                1000.0 * len(self.servers) / tokens_per_s
            )
        for id, server in list(self.servers.items()):
            is_engine = isinstance(server, Engine)
            if is_engine != (kv_capacity_tokens > 0):
                self.servers[id] = self._build(server.upstream)
            elif isinstance(server, Engine):
                server.kv_capacity_tokens = kv_capacity_tokens
                server.slots = slots or server.upstream.slots
                server.set_expected_prefill(self._prefill_ms_per_token)

    def _build(self, upstream: Upstream) -> Server:
        paused_until = self._paused_until.get(upstream.start, 0.0)
        if not self._kv_capacity_tokens:
            return Server(upstream, paused_until=paused_until)
        engine = Engine(
            upstream,
            paused_until=paused_until,
            slots=self._slots or upstream.slots,
            kv_capacity_tokens=self._kv_capacity_tokens,
        )
        engine.set_expected_prefill(self._prefill_ms_per_token)
        if self.speed_estimate is not None:
            engine.set_speed(self.speed_estimate.speed)
        return engine

    def apply_upstream(self, upstream: Upstream) -> None:
        """Apply a change of an upstream's state or address."""
        self.cold_starts.record_announcement(upstream)
        if upstream.state is UpstreamState.GONE:
            gone = self.servers.pop(upstream.id, None)
            if gone is not None:
                # For requests that are placed but not sent yet.
                gone.upstream = upstream
            return
        known = self.servers.get(upstream.id)
        if known is not None:
            if known.upstream.started_ms == upstream.started_ms:
                known.upstream = upstream
                return
            # For requests that are placed but not sent yet, as the new start
            # may listen at the same address.
            known.upstream = replace(known.upstream, state=UpstreamState.GONE)
        self.servers[upstream.id] = self._build(upstream)

    def record_end(self, start: UpstreamStart) -> None:
        """Forget what an upstream has cached that is known to have ended."""
        server = self.servers.get(start.id)
        if isinstance(server, Engine) and server.upstream.start == start:
            server.forget_parts()

    def has_ended(self, upstream: Upstream) -> bool:
        """Return whether the last known start of an upstream has ended.

        Another one may accept connections at its address already.
        """
        ended = self._crashes.ended
        return len(ended) > 0 and upstream.start in ended

    def find_version(self, upstream: Upstream) -> str:
        """Return the software version that an upstream runs now."""
        if self.has_ended(upstream):
            return UNKNOWN_VERSION
        return upstream.software_version

    def pause(self, server: Server, duration_s: float, now: float) -> None:
        """Send nothing for a time that an upstream has asked for.

        Parameters
        ----------
        server : Server
            The upstream that a request was sent to. It may have been lost
            since, and may be back as another server.
        duration_s : float
            Time in seconds.
        now : float
            Monotonic time in seconds.
        """
        server.pause(duration_s, now)
        start = server.upstream.start
        known = self.servers.get(server.id)
        if known is not None and known.upstream.start == start:
            known.pause(duration_s, now)
        self._paused_until = {
            other: until
            for other, until in self._paused_until.items()
            if until > now
        }
        paused_until = self._paused_until.get(start, now)
        self._paused_until[start] = max(paused_until, server.paused_until)

    def record_reported(
        self, server: Server, load: ReportedLoad, now: float
    ) -> None:
        """Record the load that an upstream states in a response.

        Parameters
        ----------
        server : Server
            The upstream that the request was sent to.
        load : ReportedLoad
        now : float
            Monotonic time in seconds.
        """
        server.record_reported(load, now)
        if load.slowdown is not None:
            self._choice.has_slowdowns = True
            self._start_speed_estimate()

    def describe_balance(self, now: float) -> tuple[float, float] | None:
        """Return the age of the knowledge in seconds, and the imbalance.

        The imbalance is the highest work ahead of an upstream over the mean,
        as of the last usage. None while requests aren't spread evenly.
        """
        servers = [s for s in self.servers.values() if s.is_usable(now)]
        if not servers or not self._choice.is_even(now):
            return None
        works_ms = [
            estimate_work_ms(server, count_others(server), now)
            for server in servers
        ]
        mean_ms = sum(works_ms) / len(works_ms)
        age_s = now - max(server.others_load_at for server in servers)
        return age_s, max(works_ms) / mean_ms if mean_ms > 0 else 1.0

    def set_fleet_position(self, position: FleetPosition, now: float) -> None:
        """Divide rate limits by this router's position in the fleet.

        To be called also when limits or upstreams have changed, and when
        upstreams have become cold or warm.
        """
        self._position = position
        for server in self.servers.values():
            self._limit_rate(server, now)

    def _limit_rate(self, server: Server, now: float) -> None:
        """Apply the lower one of an upstream's rates: named, or while cold."""
        start = server.upstream.start
        max_rate = self._rate_limits.find(start)
        was_cold = server.cold_until > now
        server.cold_until = self.cold_starts.find_end(start, now)
        is_cold = server.cold_until > now
        if max_rate is None and not is_cold:
            server.limiter = None
            return
        rate = math.inf
        if max_rate is not None:
            rate = divide_rate(max_rate, start, self._position)
        tokens = 0.0 if server.limiter is None else math.inf
        burst = BURST
        if is_cold:
            part = divide_cold_rate(
                self.cold_starts.rate, start, self._position
            )
            if part.rate < rate:
                rate = part.rate
                burst = part.burst
            if not was_cold:
                tokens = part.first_tokens
            elif not part.rate:
                # Other routers are chosen, and may use their part at once.
                tokens = 0.0
        if server.limiter is None:
            server.limiter = RateLimiter(rate, now, tokens)
        server.limiter.burst = burst
        server.limiter.set_rate(rate, now)
        server.limiter.limit_tokens(tokens)

    def record_unreachable(self, start: UpstreamStart, now: float) -> None:
        """Count an upstream as cold that refuses or resets connections."""
        self.cold_starts.record_unreachable(start, now)
        server = self.servers.get(start.id)
        if server is not None and server.upstream.start == start:
            self._limit_rate(server, now)

    def record_returned(self, ids: Iterable[str], now: float) -> None:
        """Count upstreams as cold whose availability zone is back.

        To be called before any request is placed on them again.

        Parameters
        ----------
        ids : iterable of str
            Ids of upstreams; those of other pools are ignored.
        now : float
            Monotonic time in seconds.
        """
        for id in ids:
            server = self.servers.get(id)
            if server is not None:
                start = server.upstream.start
                self.cold_starts.record_returned(start, now)
                self._limit_rate(server, now)

    def apply_evacuations(self, change: EvacuationChange) -> list[Server]:
        """Apply a newer set of evacuated zones.

        The caller starts the waiting requests afterwards.

        Parameters
        ----------
        change : EvacuationChange
            It has been applied to the set already.

        Returns
        -------
        list of Server
            Upstreams that may be used again, because the evacuation of their
            zone has ended.
        """
        # The headroom was found with other upstreams.
        self._headroom_at = float("-inf")
        return [
            server
            for server in self.servers.values()
            if server.upstream.availability_zone in change.ended
        ]

    def count_evacuated(self) -> int:
        """Return the number of upstreams in evacuated zones."""
        return len(self.servers) - len(self._list_in_use())

    def _list_in_use(self) -> list[Server]:
        """Return the upstreams outside evacuated zones."""
        if not self._evacuations.zones:
            return list(self.servers.values())
        return [
            server
            for server in self.servers.values()
            if self._evacuations.may_use(server.upstream)
        ]

    def apply_fleet_usage(
        self, loads: dict[str, UpstreamLoad], now: float
    ) -> None:
        """Apply the load that all routers together put on the upstreams.

        Parameters
        ----------
        loads : dict of str to UpstreamLoad
            By id of the upstream.
        now : float
            Monotonic time in seconds.
        """
        self.assumed_routers = 0.0
        for server in self.servers.values():
            total = loads.get(server.id, UpstreamLoad())
            own = server.own_load
            server.others_load = UpstreamLoad(
                max(0, total.running - own.running),
                max(0, total.prefill_tokens - own.prefill_tokens),
                max(0, total.kv_tokens - own.kv_tokens),
            )
            server.others_load_at = now
            if isinstance(server, Engine):
                server.time_factor = (total.time_percent or 100) / 100
        self._apply_speed()
        self._choice.record_usage(now)

    def _start_speed_estimate(self) -> None:
        """Measure the engines' speed together with the other routers."""
        if self._choice.balancing is Balancing.LEAST_LOADED:
            return
        if self.speed_estimate is None and self._prefill_ms_per_token:
            self.speed_estimate = SpeedEstimate(self._prefill_ms_per_token)

    def apply_pool_speed(self, speed: PoolSpeed) -> None:
        """Apply the speed of the engines that all routers have measured."""
        self._start_speed_estimate()
        if self.speed_estimate is not None:
            self.speed_estimate.apply_fleet(speed)
            self._apply_speed()

    def _apply_speed(self) -> None:
        if self.speed_estimate is None:
            return
        for server in self.servers.values():
            if isinstance(server, Engine):
                server.set_speed(self.speed_estimate.speed)

    def record_first_event(
        self, server: Engine, elapsed_ms: float, tokens: float
    ) -> None:
        """Update the forecast of an engine by the time to a first event.

        Parameters
        ----------
        server : Engine
        elapsed_ms : float
            Time since the request was sent.
        tokens : float
            Tokens that the engine prefilled in that time.
        """
        if self.speed_estimate is None:
            server.record_first_event(elapsed_ms, tokens)
            return
        self.speed_estimate.record(
            server.id, server.time_factor, tokens, elapsed_ms
        )
        server.set_speed(self.speed_estimate.speed)

    def record_cached_parts(
        self, parts: Iterable[CachedPart], now: float
    ) -> None:
        """Record shared parts that engines have prefilled for any router."""
        for cached in parts:
            server = self.servers.get(cached.upstream)
            # Other routers may report what an ended upstream had cached.
            if isinstance(server, Engine) and not self.has_ended(
                server.upstream
            ):
                server.record_part(cached.part, now)

    def has_headroom(self, now: float, fraction: float = 1.0) -> bool:
        """Return whether the engines could serve more requests.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        fraction : float, optional
            Fraction of the limits within which the engines' load has to be.
        """
        waits = self._list_waits_ms(now)
        if not waits or median(waits) >= HEADROOM_WAIT_MS * fraction:
            return False
        limit_ms = self._target_inter_token_ms * fraction
        return limit_ms <= 0 or self.inter_token_latency.get(now) < limit_ms

    def is_overloaded(self, now: float) -> bool:
        """Return whether the engines have too much work to meet targets."""
        waits = self._list_waits_ms(now)
        if waits and median(waits) > OVERLOADED_WAIT_MS:
            return True
        return (
            0
            < OVERLOADED_INTER_TOKEN_FACTOR * self._target_inter_token_ms
            < self.inter_token_latency.get(now)
        )

    def describe_load(self, now: float) -> dict[str, object]:
        """Return what the throughput is adapted to, for log lines."""
        waits = self._list_waits_ms(now)
        # Infinite where a rate limit leaves this router no requests.
        wait_ms = median(waits) if waits else math.inf
        return {
            "pool": self._pool,
            "engines": len(waits),
            "wait_ms": round(wait_ms) if math.isfinite(wait_ms) else None,
            "token_ms": round(self.inter_token_latency.get(now), 1),
            "headroom": self.has_headroom(now),
            "overloaded": self.is_overloaded(now),
        }

    def _list_waits_ms(self, now: float) -> list[float]:
        """Return the waits at the engines, without cold ones.

        What routers wait for at cold engines is no sign of too much work.
        """
        return [
            max(
                server.count_prefill_tokens(now) * server.prefill_ms_per_token,
                server.compute_rate_wait(now) * 1000,
            )
            for server in self._list_in_use()
            if isinstance(server, Engine)
            and server.is_usable(now)
            and server.cold_until <= now
        ]

    def is_unused(self, now: float) -> bool:
        """Return whether it has neither upstreams, pauses nor requests."""
        return not (
            self.servers
            or self._waiting
            or any(until > now for until in self._paused_until.values())
        )

    # ---- requests --------------------------------------------------------

    def place(
        self, demand: RequestDemand, now: float, excluded: frozenset[str]
    ) -> Placement | Refusal:
        """Choose the upstream of a request now, or the reason to refuse it.

        Parameters
        ----------
        demand : RequestDemand
        now : float
            Monotonic time in seconds.
        excluded : frozenset of str
            Ids of upstreams that have failed the request.
        """
        found = self._find(demand, now, excluded)
        if isinstance(found, Placement):
            return found
        self._record_unserved(found, demand)
        return self._refuse(found.reason, demand, now, excluded)

    def _record_unserved(
        self, found: Shortfall, demand: RequestDemand
    ) -> None:
        if found.lacks_throughput:
            self._shares.record_unserved(demand.account, demand.size)

    def _find(
        self, demand: RequestDemand, now: float, excluded: frozenset[str]
    ) -> Placement | Shortfall:
        """Choose the upstream of a request, or say why there is none."""
        blocked = self._explain_block(demand)
        if blocked is not None:
            return Shortfall(blocked, True)
        servers = self._list_usable(demand, now, excluded)
        if not servers:
            return self._explain_no_upstream(demand, now, excluded)
        give_up_at = _compute_give_up_time(demand)
        if not self._has_share(demand, now):
            could = self._shares.could_admit_by(
                demand.account,
                demand.is_caller_retry,
                now,
                give_up_at,
                demand.software_version is not None,
            )
            return Shortfall(
                RefusalReason.NO_SHARE,
                not could,
                _could_end(servers, demand, now),
            )
        in_time: list[tuple[float, Placement]] = []
        has_room = False
        least_excess_ms = float("inf")
        shortest_ms = self._targets.find_shortest() * 1000
        selected = self._choice.preselect(servers, demand, now)
        for candidate in self._choice.score(selected, servers, demand, now):
            placement = candidate[1]
            if not placement.estimate.has_room:
                continue
            has_room = True
            excess_ms = self._compute_excess_wait(
                placement, demand, now, shortest_ms
            )
            if excess_ms > 0:
                least_excess_ms = min(least_excess_ms, excess_ms)
            else:
                in_time.append(candidate)
        if in_time:
            return self._choice.pick(in_time, now)
        if not has_room:
            return Shortfall(
                RefusalReason.NO_ROOM,
                lacks_throughput=self._kv_capacity_tokens > 0,
            )
        left_ms = (give_up_at - now) * 1000
        is_hopeless = least_excess_ms > left_ms * HOPELESS_FACTOR
        # With headroom the request waits for something else.
        lacks_throughput = not self._had_headroom(now) and _could_end(
            servers, demand, now
        )
        return Shortfall(RefusalReason.TOO_LATE, is_hopeless, lacks_throughput)

    def is_blocked(self, demand: RequestDemand) -> bool:
        """Return whether a request or a part of it is blocked for crashes."""
        return self._explain_block(demand) is not None

    def _explain_block(self, demand: RequestDemand) -> RefusalReason | None:
        block = self._crashes.find_block(demand.suspects)
        if block is None or demand.is_probe:
            return None
        if block.suspect == demand.digest:
            return RefusalReason.BLOCKED_REQUEST
        return RefusalReason.BLOCKED_PART

    def screen(self, demand: RequestDemand, now: float) -> Refusal | None:
        """Refuse a request that is blocked, or make it a probe that is due.

        Parameters
        ----------
        demand : RequestDemand
        now : float
            Monotonic time in seconds.
        """
        demand.is_probe = self._crashes.begin_probe(demand.suspects, now)
        blocked = self._explain_block(demand)
        if blocked is None:
            return None
        return self._refuse(blocked, demand, now, frozenset())

    def _has_share(self, demand: RequestDemand, now: float) -> bool:
        if not self._kv_capacity_tokens or demand.is_charged:
            return True
        # No account waits while the engines have capacity, but accounts that
        # compete for it are served in their order.
        demand.grant = self._shares.find_grant(
            demand.account,
            demand.is_caller_retry,
            now,
            demand.size,
            self._had_headroom(now),
            demand.software_version is not None,
        )
        return demand.grant is not None

    def _had_headroom(self, now: float) -> bool:
        """Return whether the engines had headroom a moment ago."""
        if now - self._headroom_at >= HEADROOM_INTERVAL_S:
            self._headroom_at = now
            self._headroom = self.has_headroom(now, SPARE_HEADROOM_FRACTION)
        return self._headroom

    def may_send(
        self, server: Server, demand: RequestDemand, now: float
    ) -> bool:
        """Return whether a request may be sent to an upstream now.

        Its zone must not be evacuated, and it must be willing. One that
        leaves may be the last of its software version, so it still takes
        streams that have begun at that version.
        """
        if not self._evacuations.may_use(server.upstream):
            return False
        if not self._may_run(server.upstream, demand):
            return False
        if server.accepts_requests(now):
            return True
        drain_s = self.upstream_drain_s * STREAM_DRAIN_FRACTION
        drain_s = min(drain_s, MAX_STREAM_DRAIN_S)
        has_begun = demand.software_version is not None
        return has_begun and server.still_serves(now, drain_s)

    def has_become_cold(self, placement: Placement, now: float) -> bool:
        """Return whether an upstream is cold that was warm at a placement.

        Opening a connection may take long enough for that.
        """
        is_cold = placement.server.cold_until > now
        return is_cold and not placement.took_token

    def _may_run(self, upstream: Upstream, demand: RequestDemand) -> bool:
        """Return whether an upstream has the version and the model."""
        if demand.software_version is not None and (
            demand.software_version != upstream.software_version
            or self.has_ended(upstream)
        ):
            return False
        if not demand.model or not upstream.models:
            return True
        return demand.model in upstream.models

    def _list_usable(
        self, demand: RequestDemand, now: float, excluded: frozenset[str]
    ) -> list[Server]:
        able = [
            server
            for server in self._list_in_use()
            if server.id not in excluded
            and self._may_run(server.upstream, demand)
            and not server.compute_rate_wait(now)
        ]
        willing = [s for s in able if s.accepts_requests(now)] or [
            s for s in able if self.may_send(s, demand, now)
        ]
        usable = [server for server in willing if now >= server.ejected_until]
        # When all are ejected, the one whose ejection ends first is better
        # than none.
        return usable or sorted(willing, key=lambda s: s.ejected_until)[:1]

    def _compute_excess_wait(
        self,
        placement: Placement,
        demand: RequestDemand,
        now: float,
        shortest_ms: float,
    ) -> float:
        """Return by how many ms an upstream's work ahead is too long.

        Parameters
        ----------
        placement : Placement
        demand : RequestDemand
        now : float
            Monotonic time in seconds.
        shortest_ms : float
            Shortest target in the pool's mix.

        Returns
        -------
        float
            0 or less if the request would be in time.
        """
        estimated = placement.estimate
        server = placement.server
        waited_ms = (now - demand.arrived_at) * 1000
        target_ms = demand.target_s * 1000
        remaining_ms = (demand.deadline_at - now) * 1000
        if demand.is_caller_retry:
            allowed_ms = target_ms * CALLER_RETRY_WAIT_FRACTION
        else:
            allowed_ms = max(
                target_ms * PREFILL_WAIT_FRACTION
                - estimated.prefill_ms
                - waited_ms,
                target_ms * MIN_PREFILL_WAIT_FRACTION,
            )
        if demand.is_caller_retry or shortest_ms < target_ms:
            allowed_ms = min(allowed_ms, shortest_ms * SHARED_QUEUE_FRACTION)
        finish_ms = estimated.wait_ms + estimated.prefill_ms
        if isinstance(server, Engine):
            decode_ms = demand.output_tokens * server.decode_ms_per_token
            if self._choice.is_even(now):
                decode_ms = compute_duration_ms(server, decode_ms, now)
            finish_ms += decode_ms
        return max(
            estimated.wait_ms - allowed_ms,
            finish_ms - remaining_ms * DEADLINE_FRACTION,
        )

    async def admit(
        self, demand: RequestDemand, now: float, excluded: frozenset[str]
    ) -> Placement | Refusal:
        """Place or refuse a request, after a short wait if it can't be sent.

        The load of a placed request is counted before this returns.

        Parameters
        ----------
        demand : RequestDemand
        now : float
            Monotonic time in seconds.
        excluded : frozenset of str
            Ids of upstreams that have failed the request.
        """
        if self._kv_capacity_tokens:
            self._targets.record(demand.target_s, demand.own_tokens, now)
        found = self._find(demand, now, excluded)
        if isinstance(found, Placement):
            self.start(found, demand, now)
            return found
        self._record_held(found, now, excluded)
        give_up_at = _compute_give_up_time(demand)
        if found.is_hopeless or give_up_at <= now:
            self._record_unserved(found, demand)
            return self._refuse(found.reason, demand, now, excluded)
        if len(self._waiting) >= MAX_WAITING:
            self._record_unserved(found, demand)
            return self._refuse(
                RefusalReason.QUEUE_FULL, demand, now, excluded
            )
        waiting = WaitingRequest(demand, excluded, give_up_at)
        self._waiting.append(waiting)
        try:
            with self._limit(give_up_at - now):
                await waiting.done.wait()
        except BaseException:
            # The caller may disconnect just after its request was placed.
            if isinstance(waiting.result, Placement):
                self.finish_prefill(waiting.result)
                self.finish(waiting.result, demand)
            raise
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
        if waiting.result is not None:
            return waiting.result
        self._record_unserved(found, demand)
        return self._refuse(found.reason, demand, give_up_at, excluded)

    def _record_held(
        self, found: Shortfall, now: float, excluded: frozenset[str]
    ) -> None:
        """Count a request that a cold upstream could have taken if warm."""
        if found.reason in _LACKS_UPSTREAMS and any(
            server.cold_until > now
            and server.id not in excluded
            and server.is_usable(now)
            and server.compute_rate_wait(now) > 0
            for server in self.servers.values()
        ):
            self.cold_starts.held_requests += 1

    def start_waiting(self, now: float) -> None:
        """Place the waiting requests that fit now, the most urgent first."""
        if not self._waiting:
            return
        failed = 0
        for waiting in sorted(
            self._waiting, key=lambda w: _compute_urgency(w.demand)
        ):
            found = self._find(waiting.demand, now, waiting.excluded)
            if isinstance(found, Shortfall):
                if found.reason in ENDS_WAITING:
                    self._end_waiting(
                        waiting,
                        self._refuse(
                            found.reason, waiting.demand, now, waiting.excluded
                        ),
                    )
                    continue
                # Requests without share say nothing about the engines.
                failed += found.reason is not RefusalReason.NO_SHARE
                if failed >= MAX_FAILED_PLACEMENTS:
                    return
                continue
            # Counted at once, so that the next placement sees the load.
            self.start(found, waiting.demand, now)
            self._end_waiting(waiting, found)

    def limit_deadlines(self, deadline_at: float) -> None:
        """Bound the deadlines of waiting requests, as the router stops.

        Parameters
        ----------
        deadline_at : float
            Monotonic time in seconds by which responses must be complete.
        """
        for waiting in self._waiting:
            demand = waiting.demand
            demand.deadline_at = min(demand.deadline_at, deadline_at)

    def refuse_waiting(self) -> None:
        """Refuse all waiting requests, as the router stops."""
        for waiting in list(self._waiting):
            self._end_waiting(waiting, self.build_stop_refusal())

    def build_stop_refusal(self) -> Refusal:
        """Return the refusal of a router that stops; others take requests."""
        retry_after_s = MIN_RETRY_AFTER_S * (0.5 + self._draw())
        return Refusal(RefusalReason.STOPPING, retry_after_s)

    def _end_waiting(
        self, waiting: WaitingRequest, result: Placement | Refusal
    ) -> None:
        waiting.result = result
        self._waiting.remove(waiting)
        waiting.done.set()

    def _explain_no_upstream(
        self, demand: RequestDemand, now: float, excluded: frozenset[str]
    ) -> Shortfall:
        """Return why no upstream takes a request."""
        if not self.servers:
            return Shortfall(RefusalReason.NO_UPSTREAM, True)
        if self._is_evacuated(demand):
            return Shortfall(RefusalReason.EVACUATED, True)
        rate_wait_s = self._compute_rate_wait(demand, now, excluded)
        if rate_wait_s is not None:
            is_late = now + rate_wait_s > _compute_give_up_time(demand)
            return Shortfall(RefusalReason.RATE_LIMITED, is_late)
        resumes_at = self._find_end_of_pause(demand, now, excluded)
        if resumes_at is None and demand.software_version is not None:
            return Shortfall(RefusalReason.NO_VERSION, True)
        if resumes_at is None:
            return Shortfall(RefusalReason.NO_UPSTREAM)
        is_hopeless = resumes_at > _compute_give_up_time(demand)
        return Shortfall(RefusalReason.PAUSED, is_hopeless)

    def _is_evacuated(self, demand: RequestDemand) -> bool:
        """Return whether all upstreams for a request are evacuated.

        If no upstream has its version and model, all upstreams count.
        """
        able = [
            server
            for server in self.servers.values()
            if self._may_run(server.upstream, demand)
        ]
        return not any(
            self._evacuations.may_use(server.upstream)
            for server in able or self.servers.values()
        )

    def _compute_rate_wait(
        self, demand: RequestDemand, now: float, excluded: frozenset[str]
    ) -> float | None:
        """Return the seconds until a rate limit allows one more request.

        Requests that wait already come first. None without rate limits.
        """
        limited = [
            server
            for server in self._list_in_use()
            if server.limiter is not None
            and server.is_usable(now)
            and server.id not in excluded
            and self._may_run(server.upstream, demand)
        ]
        if not limited:
            return None
        rate = sum(server.limiter.rate for server in limited if server.limiter)
        next_s = min(server.compute_limit_wait(now) for server in limited)
        queue_s = len(self._waiting) / rate if rate else 0.0
        return next_s + queue_s

    def _find_end_of_pause(
        self, demand: RequestDemand, now: float, excluded: frozenset[str]
    ) -> float | None:
        """Return when the first paused upstream takes requests again."""
        paused_until = [
            server.paused_until
            for server in self._list_in_use()
            if server.upstream.state is UpstreamState.READY
            and server.paused_until > now
            and server.id not in excluded
            and self._may_run(server.upstream, demand)
        ]
        return min(paused_until, default=None)

    def _refuse(
        self,
        reason: RefusalReason,
        demand: RequestDemand,
        now: float,
        excluded: frozenset[str],
    ) -> Refusal:
        resumes_at = None
        if reason in BLOCKED:
            block = self._crashes.find_block(demand.suspects)
            resumes_at = block.retry_at if block is not None else None
        if reason is RefusalReason.PAUSED:
            resumes_at = self._find_end_of_pause(demand, now, excluded)
        if resumes_at is not None:
            # Spread over a part of a second, so that callers don't all
            # return at the end of the pause.
            wait_s = max(0.0, resumes_at - now)
            wait_s += MIN_RETRY_AFTER_S * self._draw()
            return Refusal(reason, wait_s)
        if reason is RefusalReason.EVACUATED:
            wait_s = EVACUATED_RETRY_AFTER_S * (0.75 + self._draw() / 2)
            return Refusal(reason, wait_s)
        wait_s = self._shares.compute_wait(demand.account, now)
        waits = self._list_waits_ms(now)
        if waits:
            wait_s = max(wait_s, sum(waits) / len(waits) / 1000)
        wait_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return Refusal(reason, wait_s * (0.75 + self._draw()))

    # ---- load ------------------------------------------------------------

    def start(
        self, placement: Placement, demand: RequestDemand, now: float
    ) -> None:
        """Count the load of a request that is sent."""
        server = placement.server
        if server.limiter is not None:
            server.limiter.take(now)
            placement.took_token = True
        server.own_load.running += 1
        server.own_load.prefill_tokens += placement.estimate.prefill_tokens
        server.own_load.kv_tokens += count_kv_tokens(demand)
        if isinstance(server, Engine):
            tokens = placement.estimate.prefill_tokens
            if self.assumed_routers:
                self._assume_others_load(server, tokens, now)
            parts = server.record_parts(demand, now)
            self.cached_parts.extend(
                CachedPart(part, server.id) for part in parts
            )
            if not demand.is_charged:
                self._shares.record_admitted(demand.account, demand.size)
                demand.is_charged = True

    def _assume_others_load(
        self, server: Engine, tokens: int, now: float
    ) -> None:
        """Add the load that other routers are assumed to send meanwhile.

        A few of them choose the same engine; the rest is spread evenly.
        """
        same = min(self.assumed_routers, MIN_ASSUMED_ROUTERS)
        server.assume_others_load(round(tokens * same), now)
        in_use = self._list_in_use() or [server]
        spread = tokens * (self.assumed_routers - same) / len(in_use)
        if spread < 1:
            return
        for engine in in_use:
            if isinstance(engine, Engine):
                engine.assume_others_load(round(spread), now)

    def finish_prefill(self, placement: Placement) -> None:
        """Subtract a request's prefill once it or the request has ended.

        To be called exactly once for each placement.
        """
        tokens = placement.estimate.prefill_tokens
        placement.server.own_load.prefill_tokens -= tokens

    def finish(self, placement: Placement, demand: RequestDemand) -> None:
        """Subtract the rest of a request's load once it has ended."""
        placement.server.own_load.running -= 1
        placement.server.own_load.kv_tokens -= count_kv_tokens(demand)


def _could_end(
    servers: Iterable[Server], demand: RequestDemand, now: float
) -> bool:
    """Return whether a request could end in time on an idle upstream."""
    remaining_ms = (demand.deadline_at - now) * 1000
    return any(
        not isinstance(server, Engine)
        or demand.own_tokens * server.prefill_ms_per_token
        + demand.output_tokens * server.decode_ms_per_token
        <= remaining_ms * DEADLINE_FRACTION
        for server in servers
    )


def _compute_give_up_time(demand: RequestDemand) -> float:
    """Return until when a request may wait to be placed."""
    return min(
        demand.arrived_at + demand.target_s * QUEUE_WAIT_FRACTION,
        demand.deadline_at,
    )


def _compute_urgency(demand: RequestDemand) -> tuple[object, ...]:
    """Return a sort key: retrying callers first, then by priority."""
    return (
        not demand.is_caller_retry,
        demand.priority,
        demand.arrived_at + demand.target_s,
        demand.arrived_at,
    )
