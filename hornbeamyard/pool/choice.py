"""Choice among the upstreams that may take a request."""

from __future__ import annotations

import heapq
import math
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

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
from .load_estimate import (
    compute_room,
    count_own,
    expect_others,
    forecast,
)
from .upstream_registry import Upstream

# Weight of the time to prefill a shared part again, relative to waiting. It
# uses up capacity of the pool, while waiting within the target costs the
# caller nothing, so a request leaves its preferred engine only if it would
# wait there this many times as long.
SHARED_PREFILL_WEIGHT = 15.0
# Weight of copying a shared part from another engine's KV cache, relative to
# the time of prefilling it. Copying costs about a fifteenth of prefilling the
# part again.
COPY_WEIGHT = 1.0
# Cost of sending a request to another availability zone, in ms: some ms of
# delay, and the traffic. It decides only between nearly equal engines.
ZONE_COST_MS = 15.0
# Cost of each rank in the order of preferred engines for a shared part, in
# ms. It makes all routers overflow to the same engine first.
RANK_COST_MS = 60.0
# Number of engines in that order. With more, shared parts would be prefilled
# again more often than the spread of load is worth.
MAX_RANKED_ENGINES = 4
# Cost of a full batch in ms, because it slows the events of all its requests.
FULL_BATCH_COST_MS = 60.0
# Smaller shared parts don't affect the placement: an engine prefills so few
# tokens in less time than a message to another zone takes.
MIN_AFFINITY_TOKENS = 100
# Engines with the least load that are estimated exactly for a request, beside
# those that cache or are preferred for its shared parts. An estimate costs
# much more than a look at the load, and pools have dozens of engines.
MAX_LEAST_LOADED = 6
# Engines that are drawn in the own zone and beyond it, and plain services that
# are drawn. With more, the routers choose the same ones until the next usage;
# with one, nothing keeps requests from a busy upstream.
DRAWN_ENGINES = 2
DRAWN_SERVICES = 2
# Keeps the logarithm of a random number finite.
MIN_DRAW = 1e-12
# Time for which the other routers' expected load is used again, in seconds. It
# changes by a fifteenth of its differences in that time.
EXPECTATION_INTERVAL_S = 0.01
# Age of the fleet's usage up to which the other routers' load is estimated
# from it, in seconds.
MAX_USAGE_AGE_S = 1.0
# Shared parts whose order of preferred engines is kept.
MAX_CACHED_ORDERS = 1024


class Balancing(Enum):
    """How a pool's requests are spread over its upstreams.

    `REPORTED` is even once a response of an upstream has stated a slowdown.
    """

    LEAST_LOADED = "least_loaded"
    EVEN = "even"
    REPORTED = "reported"


@dataclass(slots=True)
class Placement:
    """Where a request is sent.

    Attributes
    ----------
    server : Server
    estimate : Estimate
    rank : int
        Place of the engine in the order of preferred engines for the
        request's shared parts, from 0; -1 when the parts did not matter.
    copy_from : str
        Address of the engine from which shared parts are copied, or empty.
    software_version : str
        Software version of the upstream as it is known at the placement;
        `UNKNOWN_VERSION` if its last known start has ended.
    took_token : bool
        Whether it was counted by a rate limit of the upstream.
    """

    server: Server
    estimate: Estimate
    rank: int
    copy_from: str = ""
    software_version: str = ""
    took_token: bool = False


def rank_engines(affinity: str, engines: Iterable[Server]) -> list[str]:
    """Return the ids of engines in order of preference for a shared part.

    Rendezvous hashing: all routers get the same order, and adding or
    removing an engine changes the first engine of few parts.

    Parameters
    ----------
    affinity : str
        Id of the shared part.
    engines : iterable of Server
    """
    scored = [
        (zlib.crc32(f"{affinity}/{engine.id}".encode()), engine.id)
        for engine in engines
    ]
    return [id for _, id in sorted(scored, reverse=True)]


class Choice:
    """Selects the candidates of a request and weighs them.

    Parameters
    ----------
    availability_zone : str
        The router's own availability zone.
    draw : callable
        Returns a random number from 0 to 1, to spread equal choices.
    find_version : callable
        Returns the software version that an upstream runs now.

    Attributes
    ----------
    balancing : Balancing
    copy_ms_per_token : float
        Time to copy a token's KV cache entry from another engine; 0 where
        engines can't copy.
    has_engines : bool
        Whether the upstreams are model engines.
    has_slowdowns : bool
        Whether a response of an upstream has stated a slowdown.
    """

    __slots__ = (
        "_draw",
        "_expected",
        "_expected_at",
        "_expected_for",
        "_find_version",
        "_orders",
        "_orders_for",
        "_others",
        "_usage_at",
        "_zone",
        "balancing",
        "copy_ms_per_token",
        "has_engines",
        "has_slowdowns",
    )

    def __init__(
        self,
        availability_zone: str,
        draw: Callable[[], float],
        find_version: Callable[[Upstream], str],
    ) -> None:
        self._draw = draw
        self._find_version = find_version
        # Orders of preferred engines by shared part, for these usable engines.
        self._orders: dict[str, list[str]] = {}
        self._orders_for: list[Server] = []
        self._zone = availability_zone
        self.copy_ms_per_token = 0.0
        self.has_engines = False
        # Expected load of the other routers at the last request; None while
        # the least loaded upstream is chosen.
        self._others: dict[str, float] | None = None
        self._expected: dict[str, float] = {}
        self._expected_at = -math.inf
        self._expected_for: list[Server] = []
        self._usage_at = -math.inf
        self.balancing = Balancing.LEAST_LOADED
        self.has_slowdowns = False

    def record_usage(self, now: float) -> None:
        """Record that the servers hold a new usage of the fleet."""
        self._usage_at = now
        self._expected_at = -math.inf

    def is_even(self, now: float) -> bool:
        """Return whether requests are spread by the estimated load.

        Not while the fleet's usage is unknown or old: what the other routers
        do is then assumed, see `Balancer.assumed_routers`.
        """
        if self.balancing is Balancing.LEAST_LOADED:
            return False
        if self.balancing is Balancing.REPORTED and not self.has_slowdowns:
            return False
        return now - self._usage_at <= MAX_USAGE_AGE_S

    def preselect(
        self, servers: list[Server], demand: RequestDemand, now: float
    ) -> list[Server]:
        """Return the upstreams that may be the best for a request."""
        self._others = None
        if self.is_even(now):
            self._others = self._expect_others(servers, now)
        if not self.has_engines or len(servers) <= MAX_LEAST_LOADED:
            return servers
        needed = count_kv_tokens(demand)
        order = self.rank(demand.affinity, servers)
        if self._others is not None and not demand.affinity:
            # Requests without shared parts prefer no engine.
            order = []
        selected: list[Server] = []
        rest: list[Engine] = []
        for server in servers:
            if not isinstance(server, Engine) or not server.has_room(needed):
                continue
            if (
                server.id in order
                or server.get_part_used_at(demand.affinity) >= 0
            ):
                selected.append(server)
            else:
                rest.append(server)
        if self._others is not None:
            return [*selected, *self._draw_engines(rest, now)]
        loads: list[tuple[float, int, Engine]] = []
        for server in rest:
            cost = server.count_prefill_tokens(now)
            cost *= server.prefill_ms_per_token
            cost += _compute_batch_cost(server)
            if server.upstream.availability_zone != self._zone:
                cost += ZONE_COST_MS
            loads.append((cost + self._draw(), len(loads), server))
        least_loaded = heapq.nsmallest(MAX_LEAST_LOADED, loads)
        return [*selected, *(load[2] for load in least_loaded)]

    def _expect_others(
        self, servers: list[Server], now: float
    ) -> dict[str, float]:
        """Return the other routers' expected load, at most a moment old.

        Many waiting requests are tried in a row.
        """
        is_old = now - self._expected_at > EXPECTATION_INTERVAL_S
        if is_old or servers != self._expected_for:
            self._expected = expect_others(servers, self._usage_at, now)
            self._expected_for = servers
            self._expected_at = now
        return self._expected

    def _draw_engines(
        self, engines: Iterable[Engine], now: float
    ) -> list[Server]:
        """Draw engines at random, in and beyond the own zone.

        Drawn together, few would be of the own zone, and more requests would
        go to other zones than today.
        """
        near: list[Server] = []
        far: list[Server] = []
        for engine in engines:
            is_near = engine.upstream.availability_zone == self._zone
            (near if is_near else far).append(engine)
        return [
            *self._draw_some(near, DRAWN_ENGINES, now),
            *self._draw_some(far, DRAWN_ENGINES, now),
        ]

    def _draw_some(
        self, servers: list[Server], count: int, now: float
    ) -> list[Server]:
        """Draw without replacement, weighted by speed and room."""
        assert self._others is not None
        keys: list[tuple[float, int, Server]] = []
        for server in servers:
            load = count_own(server) + self._others[server.id]
            room = compute_room(server, load, now)
            # The smallest of these exponential variates has the weights.
            key = -math.log(max(self._draw(), MIN_DRAW)) / room
            keys.append((key, len(keys), server))
        return [entry[2] for entry in heapq.nsmallest(count, keys)]

    def score(
        self,
        selected: list[Server],
        servers: list[Server],
        demand: RequestDemand,
        now: float,
    ) -> list[tuple[float, Placement]]:
        """Return a placement on each selected upstream, with its cost in ms.

        The order of preferred engines and the source of copies are found
        among all usable `servers`.
        """
        ranks: dict[str, int] = {}
        shared = demand.prompt_tokens - demand.own_tokens
        if shared >= MIN_AFFINITY_TOKENS:
            order = self.rank(demand.affinity, servers)
            ranks = {id: rank for rank, id in enumerate(order)}
        source, copy_source = self.find_copy_source(servers, demand, now)
        candidates = []
        for server in selected:
            rank = ranks.get(server.id, MAX_RANKED_ENGINES if ranks else -1)
            estimated = self._estimate(
                server, demand, now, rank == 0, copy_source
            )
            cost = estimated.wait_ms + estimated.prefill_ms
            copy_from = ""
            if isinstance(server, Engine):
                shared_prefill_ms = (
                    estimated.shared_prefill_tokens
                    * server.prefill_ms_per_token
                )
                cost += shared_prefill_ms * (SHARED_PREFILL_WEIGHT - 1)
                cost += (
                    estimated.copied_tokens
                    * server.prefill_ms_per_token
                    * COPY_WEIGHT
                )
                if source is not None and _should_copy(source, server, demand):
                    copy_from = source.upstream.address
                cost += _compute_batch_cost(server)
            if rank > 0:
                cost += RANK_COST_MS * rank
            if server.upstream.availability_zone != self._zone:
                cost += ZONE_COST_MS
            # Equal costs are common; a random part below 1 ms keeps routers
            # from all choosing the same upstream.
            cost += self._draw()
            version = self._find_version(server.upstream)
            placement = Placement(server, estimated, rank, copy_from, version)
            candidates.append((cost, placement))
        return candidates

    def _estimate(
        self,
        server: Server,
        demand: RequestDemand,
        now: float,
        is_preferred: bool,
        copy_source: CopySource,
    ) -> Estimate:
        if self._others is None:
            return estimate(server, demand, now, is_preferred, copy_source)
        others = self._others[server.id]
        return forecast(server, others, demand, now, is_preferred, copy_source)

    def pick(
        self, candidates: list[tuple[float, Placement]], now: float
    ) -> Placement:
        """Return the best of the placements that are in time.

        Of plain services, it is the better one of two that are drawn; all
        routers would choose the best one until they get the next usage.

        Parameters
        ----------
        candidates : list of (float, Placement)
            Of `score` for the last request, at least one.
        now : float
            Monotonic time in seconds.
        """
        if self._others is not None and not self.has_engines:
            candidates = self._draw_services(candidates, now)
        return min(candidates, key=lambda candidate: candidate[0])[1]

    def _draw_services(
        self, candidates: list[tuple[float, Placement]], now: float
    ) -> list[tuple[float, Placement]]:
        # As far as no request waits there, the own zone's come first.
        near = [
            candidate
            for candidate in candidates
            if not candidate[1].estimate.wait_ms
            and candidate[1].server.upstream.availability_zone == self._zone
        ]
        allowed = near or candidates
        servers = [candidate[1].server for candidate in allowed]
        drawn = self._draw_some(servers, DRAWN_SERVICES, now)
        return [c for c in allowed if c[1].server in drawn]

    def rank(self, affinity: str, servers: list[Server]) -> list[str]:
        """Return the ids of engines in order of preference for a shared part.

        Where engines can copy, engines of the router's own availability zone
        come first: copying a part once costs less than sending all its
        requests to another zone.
        """
        if (
            servers != self._orders_for
            or len(self._orders) > MAX_CACHED_ORDERS
        ):
            self._orders = {}
            self._orders_for = servers
        order = self._orders.get(affinity)
        if order is not None:
            return order
        near: list[Server] = []
        far: list[Server] = []
        for server in servers:
            is_near = (
                not self.copy_ms_per_token
                or server.upstream.availability_zone == self._zone
            )
            (near if is_near else far).append(server)
        order = rank_engines(affinity, near) + rank_engines(affinity, far)
        self._orders[affinity] = order[:MAX_RANKED_ENGINES]
        return self._orders[affinity]

    def find_copy_source(
        self, servers: list[Server], demand: RequestDemand, now: float
    ) -> tuple[Engine | None, CopySource]:
        """Return the engine that caches most of a prompt's shared parts."""
        if not self.copy_ms_per_token or not demand.affinity:
            return None, NO_COPY_SOURCE
        first_part = demand.parts[0].id
        cached = []
        for engine in servers:
            if not isinstance(engine, Engine):
                continue
            # Without the first part none of the others can be used.
            if engine.get_part_used_at(first_part) < 0:
                continue
            tokens = engine.count_cached(demand, now)
            if tokens < MIN_AFFINITY_TOKENS:
                continue
            used_at = engine.get_part_used_at(demand.affinity)
            is_near = engine.upstream.availability_zone == self._zone
            cached.append((tokens, used_at, is_near, engine.id, engine))
        if not cached:
            return None, NO_COPY_SOURCE
        tokens, _, _, _, source = max(cached, key=lambda entry: entry[:4])
        return source, CopySource(tokens, self.copy_ms_per_token)


def _compute_batch_cost(engine: Engine) -> float:
    """Return the cost of an engine's other requests to one more, in ms."""
    running = engine.own_load.running + engine.others_load.running
    return FULL_BATCH_COST_MS * running / max(1, engine.slots)


def _should_copy(
    source: Engine, server: Engine, demand: RequestDemand
) -> bool:
    """Return whether a request should name `source` as the copy source.

    It should when `source` used the shared part more recently, as `server`
    may have evicted it since. An engine copies only what it lacks, so naming
    a source costs nothing.
    """
    part = demand.affinity
    return source.get_part_used_at(part) > server.get_part_used_at(part)
