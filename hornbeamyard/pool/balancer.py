"""Which requests of a pool are sent where and when, and which are refused.

The decisions depend on nothing but what the router knows: they have no
input, output or clock of their own.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from enum import Enum
from statistics import median

import anyio

from .demand import RequestDemand
from .engine import (
    NO_COPY_SOURCE,
    CopySource,
    Engine,
    Estimate,
    Server,
    count_kv_tokens,
    estimate,
)
from .shares import Shares
from .upstream_registry import Upstream, UpstreamState
from .usage import CachedPart, UpstreamLoad

# Part of its target for which a request may wait for a place before it is
# refused. An eighth bridges the time between two prompts of an engine; a
# refusal after a longer wait leaves the caller too little time to come back.
QUEUE_WAIT_FRACTION = 0.125
# Parts of the target that the work ahead of a request may take: as much as
# leaves time to read its own prompt, but at least the lower one, so that
# large prompts aren't refused for their size alone.
PREFILL_WAIT_FRACTION = 0.9
MIN_PREFILL_WAIT_FRACTION = 0.35
# A caller that comes back after a refusal has lost its target mostly, but is
# better served late than refused again.
CLIENT_RETRY_WAIT_FRACTION = 1.5
# Reading a shared part again costs the pool's capacity beside the time, while
# a wait within the target costs the caller nothing. Its time therefore counts
# this many times, and a request leaves its home only for a wait that long.
SHARED_PREFILL_WEIGHT = 15.0
# Copying a shared part from another engine costs about a fifteenth of reading
# it again. Its cost in ms is that of reading it once.
COPY_WEIGHT = 1.0
# Cost of another availability zone, in ms: the delay of some ms, and the
# traffic. It decides only between engines that are about equally good.
ZONE_COST_MS = 15.0
# Cost of each rank among the engines that a shared part may go to, in ms. It
# makes all routers spill to the same engine first.
RANK_COST_MS = 60.0
# Engines that a shared part may spill to. More would read it again more
# often than the spread of load is worth.
MAX_RANKED_ENGINES = 4
# Cost of a full batch in ms, for the slower events of all requests in it.
FULL_BATCH_COST_MS = 60.0
# Shared parts below this many tokens are read anew anywhere; an engine reads
# as many in less time than a change of zone takes.
MIN_AFFINITY_TOKENS = 100
# The pool is idle when the median engine has less work waiting than this,
# and crowded when it has more, in ms: about a tenth and a third of the target
# of one second that most streams have.
HEADROOM_WAIT_MS = 120.0
OVERLOADED_WAIT_MS = 350.0
# Part of the longest pause that events should take on average. Streams then
# end in time, and a burst of prompts doesn't make their pauses too long.
INTER_TOKEN_FRACTION = 0.25
# Weight of a sample in the mean time of a token, and the time without samples
# in which the mean halves. A router sees some hundred events a second, so
# that the mean follows within half a second either way.
INTER_TOKEN_WEIGHT = 0.02
INTER_TOKEN_HALF_LIFE_S = 0.5
# Engines whose events take this many times as long are crowded. The gap to
# the pace keeps the throughput from swinging.
OVERLOADED_INTER_TOKEN_FACTOR = 1.3
# Shortest and longest time after which a refused caller should return, in
# seconds: before the next sums nothing has changed, and callers wait for a
# part of their deadline only, which is commonly 10 s or more.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 4.0
# Other routers that one is assumed to have until it hears of them. Fleets have
# more, but not all of them get callers at once.
ASSUMED_ROUTERS = 3
# WaitingRequest requests for each pool; each holds its body in memory.
MAX_WAITING = 400
# Part of the deadline within which a stream should have ended; the rest is
# for the error of the estimates.
DEADLINE_FRACTION = 0.9


class RefusalReason(Enum):
    """Why a request was refused."""

    NO_UPSTREAM = "no upstream is ready"
    NO_SHARE = "the account's share is used up"
    NO_ROOM = "the upstreams are full"
    TOO_LATE = "the answer would come too late"
    QUEUE_FULL = "too many requests wait"


@dataclass(slots=True, frozen=True)
class Refusal:
    """A request that is not sent, and when its caller should come back."""

    reason: RefusalReason
    retry_after_s: float


@dataclass(slots=True, frozen=True)
class Placement:
    """A request that is sent.

    Attributes
    ----------
    server : Server
    estimate : Estimate
    rank : int
        Rank of the engine for the request's shared parts; -1 when the
        shared parts did not matter.
    copy_from : str
        Address of the engine from which shared parts are copied; empty for
        none.
    """

    server: Server
    estimate: Estimate
    rank: int
    copy_from: str = ""


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for a place."""

    demand: RequestDemand
    excluded: frozenset[str]
    give_up_at: float
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Placement | Refusal | None = None


def rank_engines(affinity: str, engines: Iterable[Server]) -> list[str]:
    """Return the ids of engines by preference for a shared part.

    Rendezvous hashing: all routers get the same order, and an engine that
    comes or goes changes the order of few parts.
    """
    scored = [
        (zlib.crc32(f"{affinity}/{engine.id}".encode()), engine.id)
        for engine in engines
    ]
    return [id for _, id in sorted(scored, reverse=True)]


@dataclass(slots=True)
class InterTokenLatency:
    """Mean time of a token over all engines of a pool, lately.

    Without new samples it falls, because engines without work say nothing.
    """

    _mean_ms: float = 0.0
    _updated_at: float = 0.0

    def record(self, sample_ms: float, now: float) -> None:
        """Take the time that a token took."""
        mean = self.get(now)
        self._mean_ms = mean + INTER_TOKEN_WEIGHT * (sample_ms - mean)
        self._updated_at = now

    def get(self, now: float) -> float:
        """Return the mean in ms."""
        silent_s = max(0.0, now - self._updated_at)
        return float(
            self._mean_ms * 0.5 ** (silent_s / INTER_TOKEN_HALF_LIFE_S)
        )


class Balancer:
    """The upstreams of one pool, and the requests that wait for them.

    Parameters
    ----------
    pool : str
    availability_zone : str
        Of this router.
    shares : Shares
    draw : callable
        Returns a random number from 0 to 1, for spreading callers.
    limit : callable
        Returns a scope that is cancelled after a number of seconds.

    Attributes
    ----------
    assumed_routers : int
        Other routers that are assumed to send as much as this one, until
        the fleet's sums tell.
    """

    __slots__ = (
        "_copy_ms_per_token",
        "_draw",
        "_kv_capacity_tokens",
        "_limit",
        "_pool",
        "_prefill_ms_per_token",
        "_shares",
        "_slots",
        "_target_inter_token_ms",
        "_waiting",
        "_zone",
        "assumed_routers",
        "cached_parts",
        "inter_token_latency",
        "servers",
    )

    def __init__(
        self,
        pool: str,
        availability_zone: str,
        shares: Shares,
        draw: Callable[[], float],
        limit: Callable[[float], AbstractContextManager[anyio.CancelScope]],
    ) -> None:
        self._copy_ms_per_token = 0.0
        self._draw = draw
        self._limit = limit
        self._kv_capacity_tokens = 0
        self._target_inter_token_ms = 0.0
        self._pool = pool
        self._prefill_ms_per_token = 0.0
        self._shares = shares
        self._slots = 0
        self._waiting: list[WaitingRequest] = []
        self._zone = availability_zone
        self.inter_token_latency = InterTokenLatency()
        # Parts read since the last report.
        self.cached_parts: list[CachedPart] = []
        self.servers: dict[str, Server] = {}
        self.assumed_routers = 0

    # ---- upstreams -------------------------------------------------------

    def configure(
        self,
        kv_capacity_tokens: int,
        slots: int,
        tokens_per_s: float,
        longest_gap_ms: float,
        copy_ms_per_token: float = 0.0,
    ) -> None:
        """Take over what the routing says of the pool.

        Parameters
        ----------
        kv_capacity_tokens, slots : int
            Of one engine; 0 for a plain service.
        tokens_per_s : float
            Of all engines together.
        longest_gap_ms : float
            Longest pause between tokens that is on time; 0 if unknown.
        copy_ms_per_token : float, optional
            Time to copy a token's memory from another engine; 0 where
            engines can't.
        """
        self._copy_ms_per_token = copy_ms_per_token
        self._kv_capacity_tokens = kv_capacity_tokens
        self._target_inter_token_ms = longest_gap_ms * INTER_TOKEN_FRACTION
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
        if not self._kv_capacity_tokens:
            return Server(upstream)
        engine = Engine(
            upstream,
            slots=self._slots or upstream.slots,
            kv_capacity_tokens=self._kv_capacity_tokens,
        )
        engine.set_expected_prefill(self._prefill_ms_per_token)
        return engine

    def apply_upstream(self, upstream: Upstream) -> None:
        """Take over a change of an upstream."""
        if upstream.state is UpstreamState.GONE:
            self.servers.pop(upstream.id, None)
            return
        held = self.servers.get(upstream.id)
        if held is None or held.upstream.started_ms != upstream.started_ms:
            self.servers[upstream.id] = self._build(upstream)
        else:
            held.upstream = upstream

    def apply_sums(self, sums: dict[str, UpstreamLoad], now: float) -> None:
        """Take over the fleet's work in the upstreams."""
        self.assumed_routers = 0
        for server in self.servers.values():
            total = sums.get(server.id, UpstreamLoad())
            own = server.own_load
            server.others_load = UpstreamLoad(
                max(0, total.running - own.running),
                max(0, total.prefill_tokens - own.prefill_tokens),
                max(0, total.kv_tokens - own.kv_tokens),
            )
            server.others_load_at = now

    def record_cached_parts(
        self, parts: Iterable[CachedPart], now: float
    ) -> None:
        """Take over which engines have read a part, for any router."""
        for read in parts:
            server = self.servers.get(read.upstream)
            if isinstance(server, Engine):
                server.record_part(read.part, now)

    def has_headroom(self, now: float) -> bool:
        """Return whether the engines could take more work."""
        waits = self._list_waits(now)
        if not waits or median(waits) >= HEADROOM_WAIT_MS:
            return False
        return (
            self._target_inter_token_ms <= 0
            or self.inter_token_latency.get(now) < self._target_inter_token_ms
        )

    def is_overloaded(self, now: float) -> bool:
        """Return whether the engines have more work than is good for it."""
        waits = self._list_waits(now)
        if waits and median(waits) > OVERLOADED_WAIT_MS:
            return True
        return (
            0
            < OVERLOADED_INTER_TOKEN_FACTOR * self._target_inter_token_ms
            < self.inter_token_latency.get(now)
        )

    def _list_waits(self, now: float) -> list[float]:
        return [
            server.count_prefill_tokens(now) * server.prefill_ms_per_token
            for server in self.servers.values()
            if isinstance(server, Engine) and server.is_usable(now)
        ]

    # ---- requests --------------------------------------------------------

    def place(
        self, demand: RequestDemand, now: float, excluded: frozenset[str]
    ) -> Placement | Refusal:
        """Decide where a request is sent now, or why it isn't.

        Parameters
        ----------
        demand : RequestDemand
        now : float
        excluded : frozenset of str
            Ids of upstreams that have failed the request.
        """
        servers = self._list_usable(demand, now, excluded)
        if not servers:
            return self._refuse(RefusalReason.NO_UPSTREAM, demand, now)
        if not self._has_share(demand, now):
            return self._refuse(RefusalReason.NO_SHARE, demand, now)
        options = self._list_options(servers, demand, now)
        roomy = [option for option in options if option[1].estimate.has_room]
        if not roomy:
            return self._refuse(RefusalReason.NO_ROOM, demand, now)
        in_time = [
            option
            for option in roomy
            if self._is_in_time(option[1], demand, now)
        ]
        if not in_time:
            return self._refuse(RefusalReason.TOO_LATE, demand, now)
        return min(in_time, key=lambda option: option[0])[1]

    def _has_share(self, demand: RequestDemand, now: float) -> bool:
        if not self._kv_capacity_tokens or demand.is_charged:
            return True
        return self._shares.may_admit(
            demand.account, demand.is_client_retry, now
        )

    def _list_usable(
        self, demand: RequestDemand, now: float, excluded: frozenset[str]
    ) -> list[Server]:
        fitting = [
            server
            for server in self.servers.values()
            if server.upstream.state is UpstreamState.READY
            and server.id not in excluded
            and _serves(server.upstream, demand)
        ]
        usable = [server for server in fitting if server.is_usable(now)]
        # When all are avoided, the one that is tried again first is better
        # than none.
        return usable or sorted(fitting, key=lambda s: s.ejected_until)[:1]

    def _list_options(
        self, servers: list[Server], demand: RequestDemand, now: float
    ) -> list[tuple[float, Placement]]:
        ranks: dict[str, int] = {}
        shared = demand.prompt_tokens - demand.own_tokens
        if shared >= MIN_AFFINITY_TOKENS:
            order = self._rank(demand.affinity, servers)[:MAX_RANKED_ENGINES]
            ranks = {id: rank for rank, id in enumerate(order)}
        holder, copy_source = self._find_holder(servers, demand, now)
        options = []
        for server in servers:
            rank = ranks.get(server.id, MAX_RANKED_ENGINES if ranks else -1)
            estimated = estimate(server, demand, now, rank == 0, copy_source)
            cost = estimated.wait_ms + estimated.prefill_ms
            copy_from = ""
            if isinstance(server, Engine):
                again_ms = (
                    estimated.shared_prefill_tokens
                    * server.prefill_ms_per_token
                )
                cost += again_ms * (SHARED_PREFILL_WEIGHT - 1)
                cost += (
                    estimated.copied_tokens
                    * server.prefill_ms_per_token
                    * COPY_WEIGHT
                )
                if holder is not None and _is_fresher(holder, server, demand):
                    copy_from = holder.upstream.address
                running = server.own_load.running + server.others_load.running
                cost += FULL_BATCH_COST_MS * running / max(1, server.slots)
            if rank > 0:
                cost += RANK_COST_MS * rank
            if server.upstream.availability_zone != self._zone:
                cost += ZONE_COST_MS
            # Equal costs are common; routers should not all choose the same.
            cost += self._draw()
            placement = Placement(server, estimated, rank, copy_from)
            options.append((cost, placement))
        return options

    def _rank(self, affinity: str, servers: list[Server]) -> list[str]:
        """Return the ids of engines by preference for a shared part.

        Where a part can be copied, it has a home in each availability zone:
        a copy once costs less than the traffic of all requests to another
        zone.
        """
        if not self._copy_ms_per_token:
            return rank_engines(affinity, servers)
        near = [
            server
            for server in servers
            if server.upstream.availability_zone == self._zone
        ]
        far = [server for server in servers if server not in near]
        return rank_engines(affinity, near) + rank_engines(affinity, far)

    def _find_holder(
        self, servers: list[Server], demand: RequestDemand, now: float
    ) -> tuple[Engine | None, CopySource]:
        """Return the engine that holds most of a prompt's shared parts."""
        if not self._copy_ms_per_token or not demand.affinity:
            return None, NO_COPY_SOURCE
        held = [
            (
                engine.count_cached(demand, now),
                engine.get_part_used_at(demand.affinity),
                engine.upstream.availability_zone == self._zone,
                engine.id,
                engine,
            )
            for engine in servers
            if isinstance(engine, Engine)
        ]
        if not held:
            return None, NO_COPY_SOURCE
        tokens, _, _, _, holder = max(held, key=lambda entry: entry[:4])
        if tokens < MIN_AFFINITY_TOKENS:
            return None, NO_COPY_SOURCE
        return holder, CopySource(tokens, self._copy_ms_per_token)

    def _is_in_time(
        self, placement: Placement, demand: RequestDemand, now: float
    ) -> bool:
        estimated = placement.estimate
        server = placement.server
        waited_ms = (now - demand.arrived_at) * 1000
        target_ms = demand.target_s * 1000
        left_ms = (demand.deadline_at - now) * 1000
        if demand.is_client_retry:
            allowed_ms = target_ms * CLIENT_RETRY_WAIT_FRACTION
        else:
            allowed_ms = max(
                target_ms * PREFILL_WAIT_FRACTION
                - estimated.prefill_ms
                - waited_ms,
                target_ms * MIN_PREFILL_WAIT_FRACTION,
            )
        if estimated.wait_ms > allowed_ms:
            return False
        finish_ms = estimated.wait_ms + estimated.prefill_ms
        if isinstance(server, Engine):
            finish_ms += demand.output_tokens * server.decode_ms_per_token
        return finish_ms <= left_ms * DEADLINE_FRACTION

    async def admit(
        self, demand: RequestDemand, now: float, excluded: frozenset[str]
    ) -> Placement | Refusal:
        """Decide on a request, after a short wait if that may help.

        A placement is counted as started.
        """
        decided = self.place(demand, now, excluded)
        if isinstance(decided, Placement):
            self.start(decided, demand, now)
            return decided
        if len(self._waiting) >= MAX_WAITING:
            return self._refuse(RefusalReason.QUEUE_FULL, demand, now)
        if decided.reason is RefusalReason.NO_UPSTREAM and not self.servers:
            return decided
        give_up_at = min(
            demand.arrived_at + demand.target_s * QUEUE_WAIT_FRACTION,
            demand.deadline_at,
        )
        if give_up_at <= now:
            return decided
        waiting = WaitingRequest(demand, excluded, give_up_at)
        self._waiting.append(waiting)
        try:
            with self._limit(give_up_at - now):
                await waiting.done.wait()
        except BaseException:
            # The caller left just as its request was placed.
            if isinstance(waiting.result, Placement):
                self.finish_prefill(waiting.result)
                self.finish(waiting.result, demand)
            raise
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
        return waiting.result or self._refuse(
            decided.reason, demand, give_up_at
        )

    def start_waiting(self, now: float) -> None:
        """Send requests that wait, most urgent first, as far as they fit."""
        for waiting in sorted(self._waiting, key=lambda w: _order(w.demand)):
            decided = self.place(waiting.demand, now, waiting.excluded)
            if isinstance(decided, Refusal):
                continue
            # The work is counted now, before the next one is decided on.
            self.start(decided, waiting.demand, now)
            waiting.result = decided
            self._waiting.remove(waiting)
            waiting.done.set()

    def _refuse(
        self, reason: RefusalReason, demand: RequestDemand, now: float
    ) -> Refusal:
        wait_s = self._shares.compute_wait(demand.account, now)
        waits = self._list_waits(now)
        if waits:
            wait_s = max(wait_s, sum(waits) / len(waits) / 1000)
        wait_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return Refusal(reason, wait_s * (0.75 + self._draw()))

    # ---- accounting ------------------------------------------------------

    def start(
        self, placement: Placement, demand: RequestDemand, now: float
    ) -> None:
        """Count a request that is sent."""
        server = placement.server
        server.own_load.running += 1
        server.own_load.prefill_tokens += placement.estimate.prefill_tokens
        server.own_load.kv_tokens += count_kv_tokens(demand)
        if isinstance(server, Engine):
            unread = placement.estimate.prefill_tokens
            if self.assumed_routers:
                server.assume_others_load(unread * self.assumed_routers, now)
            parts = server.record_parts(demand, now)
            self.cached_parts += [
                CachedPart(part, server.id) for part in parts
            ]
            if not demand.is_charged:
                self._shares.record_admitted(demand.account, demand.size)
                demand.is_charged = True

    def finish_prefill(self, placement: Placement) -> None:
        """Count a request whose prompt has been read, or that has ended."""
        unread = placement.estimate.prefill_tokens
        placement.server.own_load.prefill_tokens -= unread

    def finish(self, placement: Placement, demand: RequestDemand) -> None:
        """Count a request that has ended; its prompt was noted as read."""
        placement.server.own_load.running -= 1
        placement.server.own_load.kv_tokens -= count_kv_tokens(demand)


def _is_fresher(holder: Engine, server: Engine, demand: RequestDemand) -> bool:
    """Return whether a request should name another engine as a source.

    The server may have dropped a part that it held. It copies only what it
    lacks, so that naming a source costs nothing.
    """
    part = demand.affinity
    return holder.get_part_used_at(part) > server.get_part_used_at(part)


def _serves(upstream: Upstream, demand: RequestDemand) -> bool:
    if not demand.model or not upstream.models:
        return True
    return demand.model in upstream.models


def _order(demand: RequestDemand) -> tuple[object, ...]:
    """Order of waiting requests: callers that came back, then urgency."""
    return (
        not demand.is_client_retry,
        demand.priority,
        demand.arrived_at + demand.target_s,
        demand.arrived_at,
    )
