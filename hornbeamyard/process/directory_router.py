"""The router role in a fleet with a route directory."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable, Iterator, Mapping
from http import HTTPStatus

import anyio
import anyio.abc
import logbook
from result import Err

from ..connection import peers
from ..connection.client import Headers
from ..connection.directory_calls import DirectoryCalls
from ..connection.limits import (
    ConnectionLimits,
    build_protocol,
    build_refusal,
)
from ..connection.overload import OverloadLimiter
from ..connection.request_memory import RequestMemory
from ..connection.subscription import Subscription
from ..connection.upstreams import UpstreamConnections
from ..pool.balancer import (
    ASSUMED_ROUTER_FRACTION,
    MIN_ASSUMED_ROUTERS,
    Balancer,
)
from ..pool.evacuations import EvacuationChange, Evacuations
from ..pool.shares import Shares
from ..pool.stream_origins import StreamOrigin
from ..pool.upstream_registry import (
    MAX_MISSED_ANNOUNCEMENTS,
    Upstream,
    UpstreamState,
)
from ..pool.usage import (
    DEMAND_WINDOW_FRACTION,
    AccountUsage,
    CachedPart,
    FleetUsage,
    RouterUsage,
    UpstreamLoad,
)
from ..request.budget import WindowRetryBudget
from ..request.forwarding import Forwarder, Receive, Scope, Send
from ..request.reporting import PUBLIC_LABEL, RequestReporter
from ..version.routing import Routing
from . import listeners
from .decisions import DecisionLog
from .interface import Interface, Message
from .memory_limits import build_request_memory, find_memory_limit
from .metrics import Metrics, Sample
from .servers import (
    MAX_STATUS_BODY_BYTES,
    build_server,
    build_status_app,
    build_status_limits,
    sample_limits,
    sample_request_memory,
)
from .settings import Settings
from .timers import Timers
from .upstream_notices import UpstreamNotices

# Time for which a stopping router still accepts requests after its readiness
# check begins to fail. Load balancers commonly check once a second and act on
# the second failure.
NOT_READY_GRACE_S = 2.5
# Fractions of the drain time within which requests are accepted at most, and
# within which they are sent to upstreams. One that is sent later could be cut
# off by the end of the process.
NOT_READY_FRACTION = 1 / 3
ATTEMPT_FRACTION = 0.5
# Time for the last answers to reach their callers.
ANSWER_MARGIN_S = 0.2
# Fraction of the drain time in which requests may finish; the rest is for the
# end of the process. Below five sixths it would cut off requests that could
# still have finished in time.
DRAIN_FRACTION = 0.9
# A router that can't reach a majority of the controllers becomes ready after
# this time with the newest routing that it has received.
MAJORITY_TIMEOUT_S = 4.0
# A connection fails if an upstream doesn't acknowledge its bytes in this time.
# Otherwise a dead connection would hold requests until their deadline.
UNACKNOWLEDGED_TIMEOUT_S = 1.5
# Idle connections are closed after this time, before upstreams close them.
IDLE_TIMEOUT_S = 3.0
# Fraction of an upstream's connection limit for idle connections of all
# routers.
IDLE_FRACTION = 0.5
# Interval of starting waiting requests at upstreams that are usable again.
MAINTENANCE_INTERVAL_S = 0.1
# Interval of adapting shares to the load of the engines and of closing expired
# connections.
ADAPTATION_INTERVAL_S = 0.25
# Age in seconds above which the fleet's usage no longer tells the load of
# other routers. Engines prefill what was reported within about that time, so
# they would seem idle but for the router's own requests.
MAX_USAGE_AGE_S = 1.0
# Mean Retry-After of an overloaded router, short enough for a retry at another
# router within the caller's latency target.
OVERLOAD_RETRY_AFTER_S = 0.1
# Upper bound of open connections from callers.
MAX_CONNECTIONS = 1500
# Fraction of the process's memory for responses that wait for their callers.
RESPONSE_MEMORY_FRACTION = 0.125

_log = logbook.Logger("route_router")


class DirectoryRouter:
    """One router with its pools, controller streams and HTTP servers.

    Parameters
    ----------
    settings : Settings
        Settings with `router` and `directory`.
    timers : Timers
    interface : Interface
    decisions : DecisionLog
    memory : RequestMemory, optional
        The account of the process; by default one of the router's own.

    Attributes
    ----------
    is_closing : bool
        Whether a stop has begun; responses then close their connections.
    is_stopping : bool
        Whether new requests are refused because the router stops.
    last_attempt_at, drain_end_at : float
        Monotonic times in seconds, infinite until a stop begins: after the
        first no request is sent to an upstream, and at the second all that are
        still in progress are answered.
    notices : UpstreamNotices
        Crashes and rate limits of upstreams.
    routers : int
        Number of routers in the fleet, as far as known.
    routing : Routing or None
        None until the first version arrives.
    """

    __slots__ = (
        "_adapted_at",
        "_awaits_address",
        "_balancers",
        "_budgets",
        "_calls",
        "_connection_limits",
        "_evacuations",
        "_idle_usage",
        "_interface",
        "_max_announcement_delay_s",
        "_server",
        "_settings",
        "_shares",
        "_started_at",
        "_status_limits",
        "_timers",
        "_upstreams",
        "_usage_at",
        "decisions",
        "drain_end_at",
        "forwarder",
        "is_closing",
        "is_stopping",
        "last_attempt_at",
        "metrics",
        "notices",
        "routers",
        "routing",
        "subscription",
    )

    def __init__(
        self,
        settings: Settings,
        timers: Timers,
        interface: Interface,
        decisions: DecisionLog,
        memory: RequestMemory | None = None,
    ) -> None:
        assert settings.router is not None
        assert settings.directory is not None
        directory = settings.directory
        self._adapted_at = 0.0
        # Whether the address for callers is not bound yet.
        self._awaits_address = False
        self._budgets: dict[str, WindowRetryBudget] = {}
        self._calls = DirectoryCalls(settings.tls)
        self._evacuations = Evacuations()
        # Sums of the counters of accounts that were forgotten, by label.
        self._idle_usage: dict[str, AccountUsage] = {}
        # When the fleet's usage came last; None before the first one.
        self._usage_at: float | None = None
        self._interface = interface
        self._max_announcement_delay_s = (
            directory.announcement_interval_s * MAX_MISSED_ANNOUNCEMENTS
        )
        self._settings = settings
        self._shares = Shares(
            window_s=directory.share_window_s * DEMAND_WINDOW_FRACTION
        )
        self._started_at = timers.now()
        self._balancers: dict[str, Balancer] = {}
        self._timers = timers
        self._upstreams = UpstreamConnections(
            settings.router.connect_timeout_s,
            IDLE_TIMEOUT_S,
            UNACKNOWLEDGED_TIMEOUT_S,
        )
        self.decisions = decisions
        self.is_closing = False
        self.is_stopping = False
        self.last_attempt_at = float("inf")
        self.drain_end_at = float("inf")
        self.metrics = Metrics()
        self.metrics.add_source(self._sample)
        self.notices = UpstreamNotices(
            settings.host,
            timers,
            decisions,
            self._upstreams,
            self._balancers,
            self._evacuations,
        )
        self.routers = 1
        self.routing: Routing | None = None
        self.subscription = Subscription(
            peers.build_identity(settings, random.getrandbits(63)),
            directory.list_peer_addresses(),
            self._calls,
            timers,
            self._collect_usage,
            self._handle_upstreams,
            self._apply_routing,
            self._apply_fleet_usage,
            self.notices.crashes,
            self.notices.limits,
            self._max_announcement_delay_s,
            self._evacuations,
            self._handle_evacuations,
        )
        self.forwarder = Forwarder(
            self,
            interface.header_codec,
            self._upstreams,
            self._shares,
            timers,
            RequestReporter(timers, self.decisions, self.metrics),
        )
        memory = memory or build_request_memory(settings.memory)
        self.forwarder.max_buffered_size = memory.max_size
        self._connection_limits = ConnectionLimits(
            min(settings.router.connections, MAX_CONNECTIONS),
            OverloadLimiter(timers),
            timers,
        )
        self._connection_limits.memory = memory
        # Until a routing sets another one.
        self._connection_limits.body_size = settings.router.body_size
        self._connection_limits.build_rejection = self._build_rejection
        self._status_limits = build_status_limits(
            memory, timers, MAX_STATUS_BODY_BYTES
        )
        self._upstreams.buffers.max_size = (
            RESPONSE_MEMORY_FRACTION * find_memory_limit()
        )
        self._connection_limits.buffers = self._upstreams.buffers
        self._connection_limits.limited_paths = (b"/",)
        self._connection_limits.build_refusal = self._refuse_overload
        self._connection_limits.reject = self.forwarder.reject
        # Load balancers open connections before they have requests.
        self._connection_limits.responds_to_silent_connections = False
        self._server = build_server(
            self._serve_request,
            settings.router.address,
            build_protocol(self._connection_limits),
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop` is set and the drain has ended."""
        assert self._settings.router is not None
        self._awaits_address = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.subscription.run)
            tasks.start_soon(self._connection_limits.run)
            tasks.start_soon(self._connection_limits.overload_limiter.run)
            tasks.start_soon(self._run_maintenance)
            status_address = self._settings.router.status_address
            if status_address:
                status_app = build_status_app(
                    self.metrics, self._interface.ready_path, self.is_ready
                )
                tasks.start_soon(
                    listeners.serve,
                    status_app,
                    status_address,
                    "readiness",
                    self._timers,
                    self._status_limits,
                )
            listener = await listeners.listen_until(
                stop, self._settings.router.address, "callers", self._timers
            )
            if listener is not None:
                self._awaits_address = False
                tasks.start_soon(self._drain, stop)
                await self._server.serve([listener])
            tasks.cancel_scope.cancel()
        await self._calls.close()

    def is_ready(self) -> bool:
        """Return whether load balancers should send requests."""
        if self.is_closing or self._awaits_address or self.routing is None:
            return False
        waited_s = self._timers.now() - self._started_at
        if (
            not self.subscription.knows_majority()
            and waited_s < MAJORITY_TIMEOUT_S
        ):
            return False
        return len(self.subscription.registry) > 0

    # ---- for the request path --------------------------------------------

    def find_balancer(self, pool: str) -> Balancer:
        """Return the balancer of a pool, created at the first use."""
        balancer = self._balancers.get(pool)
        if balancer is None:
            balancer = Balancer(
                pool,
                self._settings.availability_zone,
                self._shares,
                random.random,
                self._timers.limit,
                self.notices.crashes.ledger,
                self.notices.limits.limits,
                self._evacuations,
            )
            assert self._settings.router is not None
            balancer.upstream_drain_s = self._settings.router.upstream_drain_s
            balancer.assumed_routers = self._count_assumed_routers(
                self._timers.now()
            )
            self._balancers[pool] = balancer
            self._configure_balancer(pool, balancer)
        return balancer

    def find_budget(self, pool: str) -> WindowRetryBudget:
        """Return the retry budget of a pool, created at the first use."""
        assert self._settings.directory is not None
        directory = self._settings.directory
        budget = self._budgets.get(pool)
        if budget is None:
            budget = WindowRetryBudget(
                directory.repeat_share,
                directory.repeat_reserve,
                directory.repeat_window_s,
            )
            self._budgets[pool] = budget
        return budget

    def record_leaving(self, upstream: Upstream) -> None:
        """Send no more requests to an upstream that says that it leaves."""
        changed = self.subscription.record_leaving(upstream)
        if changed:
            self._handle_upstreams(changed)

    def record_stream(self, request_id: str, origin: StreamOrigin) -> None:
        """Record a stream that begins."""
        self.subscription.streams.record(request_id, origin)

    async def find_origin(
        self, pools: Iterable[str], request_id: str
    ) -> StreamOrigin | None:
        """Return where a stream of a route with these pools began."""
        return await self.subscription.find_origin(pools, request_id)

    async def _serve_request(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve a request; close its connection if the router is closing."""

        async def send_closing(message: Message) -> None:
            if message["type"] == "http.response.start" and self.is_closing:
                headers = [*message["headers"], (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await self.forwarder(scope, receive, send_closing)

    def _refuse_overload(self, headers: Headers) -> bytes:
        """Return the response to a request that is refused by overload.

        Other routers may have capacity: a load balancer that distributes
        callers by address sends all requests of one caller to one router,
        and retries to another.
        """
        header_codec = self._interface.header_codec
        metadata = header_codec.read_request(headers)
        account = None
        if self.routing is not None:
            account = self.routing.find_account(metadata.key or "")
        retry_after_s = OVERLOAD_RETRY_AFTER_S * (0.5 + random.random())
        self.forwarder.counts.add("refused")
        self.decisions.note(
            "refused",
            request_id=metadata.request_id,
            account=account.name if account is not None else None,
            reason="overloaded",
            retry_after_s=round(retry_after_s, 2),
        )
        response_headers = header_codec.write_response(metadata.request_id)
        response_headers.append(
            (b"retry-after", f"{retry_after_s:.3f}".encode())
        )
        return build_refusal(response_headers, "the router is overloaded")

    def _build_rejection(
        self, headers: Headers, status: HTTPStatus, reason: str
    ) -> bytes:
        """Return the response to a request whose body is refused."""
        header_codec = self._interface.header_codec
        metadata = header_codec.read_request(headers)
        self.forwarder.report_rejected(metadata, status, reason)
        response_headers = header_codec.write_response(metadata.request_id)
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after_s = OVERLOAD_RETRY_AFTER_S * (0.5 + random.random())
            response_headers.append(
                (b"retry-after", f"{retry_after_s:.3f}".encode())
            )
        response_headers.append((b"connection", b"close"))
        return build_refusal(response_headers, reason, status)

    # ---- from the directory ----------------------------------------------

    def _collect_usage(self) -> RouterUsage:
        upstreams: dict[str, UpstreamLoad] = {}
        cached_parts: list[CachedPart] = []
        pool_speeds = {}
        engine_times = {}
        for pool, balancer in self._balancers.items():
            cached_parts += balancer.cached_parts
            balancer.cached_parts.clear()
            for server in balancer.servers.values():
                if server.own_load.running:
                    upstreams[server.id] = server.own_load
            if balancer.speed_estimate is not None:
                pool_speeds[pool] = balancer.speed_estimate.speed
                engine_times[pool] = balancer.speed_estimate.collect()
        now = self._timers.now()
        self._propose_factor(now)
        self._retain_counters(self._shares.forget_idle(now))
        self._shares.mark_reported(now)
        return RouterUsage(
            self._shares.own_usage,
            upstreams,
            cached_parts,
            self._shares.proposed_factor,
            pool_speeds,
            engine_times,
        )

    def _retain_counters(self, idle: Mapping[str, AccountUsage]) -> None:
        """Keep the sums of counters that are forgotten, for the metrics."""
        for account, usage in idle.items():
            label = self.metrics.limit_account(account or PUBLIC_LABEL)
            total = self._idle_usage.setdefault(label, AccountUsage())
            total.asked += usage.asked
            total.admitted += usage.admitted
            total.unserved += usage.unserved

    def _propose_factor(self, now: float) -> None:
        """Estimate the throughput by the engines' load."""
        balancers = list(self._balancers.values())
        self._shares.propose(
            any(balancer.has_headroom(now) for balancer in balancers),
            any(balancer.is_overloaded(now) for balancer in balancers),
        )

    def _handle_upstreams(self, changed: list[Upstream]) -> None:
        self.notices.record_states(changed)
        for upstream in changed:
            self.decisions.note(
                "upstream",
                upstream=upstream.id,
                pool=upstream.pool,
                address=upstream.address,
                state=upstream.state.value,
                sequence=upstream.sequence,
                started_ms=upstream.started_ms,
                software_version=upstream.software_version,
            )
            if upstream.state is UpstreamState.GONE:
                for balancer in self._balancers.values():
                    balancer.apply_upstream(upstream)
                continue
            self.find_balancer(upstream.pool).apply_upstream(upstream)
        self.notices.divide_limits()
        for pool, balancer in self._balancers.items():
            self._configure_balancer(pool, balancer)
            balancer.start_waiting(self._timers.now())

    def _handle_evacuations(self, change: EvacuationChange) -> None:
        self.decisions.note(
            "evacuations",
            index=self._evacuations.index,
            zones=sorted(self._evacuations.zones),
            started=sorted(change.started),
            ended=sorted(change.ended),
        )
        for balancer in self._balancers.values():
            returned = balancer.apply_evacuations(change)
            # Until they say otherwise, these upstreams may have become cold.
            balancer.record_returned(
                [server.id for server in returned], self._timers.now()
            )
            balancer.start_waiting(self._timers.now())

    def _apply_routing(self, version: int, document: bytes) -> bool:
        decoded = self._interface.decode(document)
        if isinstance(decoded, Err):
            _log.error(
                "routing version {} can't be decoded: {}",
                version,
                "; ".join(str(finding) for finding in decoded.err_value),
            )
            return False
        routing = decoded.ok_value
        if self.routing is not None and version <= self.routing.version:
            return True
        previous = self.routing.version if self.routing else 0
        self.routing = routing
        self.decisions.note(
            "routing",
            version=version,
            previous=previous,
            routes=len(routing.routes),
            pools=len(routing.pools),
            accounts=len(routing.accounts),
        )
        self.subscription.streams.split_pools = frozenset(
            share.pool
            for route in routing.routes.values()
            if route.resumable and len(route.shares) > 1
            for share in route.shares
        )
        self.subscription.streams.notify()
        limits = routing.limits
        self._shares.throughput = limits.tokens_per_s
        self._connection_limits.header_size = limits.header_size
        self._connection_limits.body_size = limits.body_size
        # The account admits a request that is alone.
        self.forwarder.max_buffered_size = max(
            self._connection_limits.memory.max_size, limits.body_size
        )
        self._connection_limits.header_timeout_s = (
            limits.header_timeout_ms / 1000
        )
        keep_alive_s = max(1, int(limits.idle_timeout_ms / 1000))
        self._server.config.timeout_keep_alive = keep_alive_s
        for pool, balancer in self._balancers.items():
            self._configure_balancer(pool, balancer)
        self.notices.divide_limits()
        return True

    def _apply_fleet_usage(self, fleet_usage: FleetUsage) -> None:
        now = self._timers.now()
        self._usage_at = now
        self.routers = max(1, fleet_usage.routers)
        self._shares.apply_fleet_usage(
            fleet_usage.accounts,
            self.routers,
            fleet_usage.source,
            now,
            # A controller of an older release sends no estimate.
            fleet_usage.throughput_factor or self._shares.proposed_factor,
        )
        self.notices.limits.position.record_fraction(
            self._shares.router_fraction
        )
        self.notices.divide_limits()
        for pool, speed in fleet_usage.pool_speeds.items():
            if pool in self._balancers:
                self._balancers[pool].apply_pool_speed(speed)
        for balancer in self._balancers.values():
            balancer.apply_fleet_usage(fleet_usage.upstreams, now)
            balancer.record_cached_parts(fleet_usage.cached_parts, now)
            balancer.start_waiting(now)
        self._limit_idle_connections()

    def _configure_balancer(self, name: str, balancer: Balancer) -> None:
        if self.routing is None:
            return
        pool = self.routing.pools.get(name)
        if pool is None:
            return
        gaps = [
            route.max_gap_ms
            for route in self.routing.routes.values()
            if route.max_gap_ms
            and any(share.pool == name for share in route.shares)
        ]
        balancer.configure(
            pool.kv_capacity_tokens,
            pool.slots,
            self.routing.limits.tokens_per_s,
            min(gaps, default=0.0) / pool.tokens_per_event,
            pool.compute_token_copy_ms(),
            pool.balancing,
        )
        balancer.cold_starts.rate = pool.cold_rate
        balancer.cold_starts.start_s = pool.cold_start_s

    def _limit_idle_connections(self) -> None:
        """Keep idle connections within this router's part of pool limits."""
        if self.routing is None:
            return
        limits = [p.connections for p in self.routing.pools.values()]
        lowest_limit = min((limit for limit in limits if limit), default=0)
        if lowest_limit:
            max_idle = int(lowest_limit * IDLE_FRACTION / self.routers)
            self._upstreams.max_idle = max(1, max_idle)

    # ---- maintenance ------------------------------------------------------

    async def _run_maintenance(self) -> None:
        async for now in self._timers.subscribe(MAINTENANCE_INTERVAL_S):
            assumed = self._count_assumed_routers(now)
            self.notices.release_starts(
                self.subscription.registry, self._max_announcement_delay_s
            )
            self.notices.update_cold_starts(self.subscription.registry)
            for balancer in self._balancers.values():
                balancer.assumed_routers = assumed
                balancer.start_waiting(now)
            if now - self._adapted_at < ADAPTATION_INTERVAL_S:
                continue
            self._adapted_at = now
            if not self._knows_usage(now):
                self._propose_factor(now)
                self._shares.continue_alone(now)
            self._log_throughput(now)
            self._forget_pools(now)
            await self._upstreams.close_expired()

    def _forget_pools(self, now: float) -> None:
        """Forget pools without upstreams that the routing doesn't name."""
        if self.routing is None:
            return
        for pool, balancer in list(self._balancers.items()):
            if pool not in self.routing.pools and balancer.is_unused(now):
                del self._balancers[pool]
        for pool, budget in list(self._budgets.items()):
            if pool not in self.routing.pools and budget.is_unused(now):
                del self._budgets[pool]

    def _log_throughput(self, now: float) -> None:
        """Log the estimated throughput, while it limits accounts."""
        if self.routing is None or not self._shares.is_contended():
            return
        shares = self._shares.describe_level(now)
        for name, balancer in self._balancers.items():
            pool = self.routing.pools.get(name)
            if pool is not None and pool.is_engine():
                load = balancer.describe_load(now)
                self.decisions.note("throughput", **load, **shares)

    def _count_assumed_routers(self, now: float) -> float:
        """Return how many other routers may send as much as this one.

        0 while the fleet's usage tells the load of the others.
        """
        if self._usage_at is None:
            others = self.subscription.attached_routers - 1
            return max(MIN_ASSUMED_ROUTERS, others * ASSUMED_ROUTER_FRACTION)
        if self._knows_usage(now):
            return 0.0
        return 1.0 / self._shares.router_fraction - 1.0

    def _knows_usage(self, now: float) -> bool:
        """Return whether the fleet's usage tells what other routers do."""
        return (
            self._usage_at is not None
            and now - self._usage_at <= MAX_USAGE_AGE_S
        )

    async def _drain(self, stop: anyio.Event) -> None:
        assert self._settings.router is not None
        await stop.wait()
        started_at = self._timers.now()
        drain_s = self._settings.router.drain_s
        self.is_closing = True
        self.last_attempt_at = started_at + drain_s * ATTEMPT_FRACTION
        self.drain_end_at = (
            started_at + drain_s * DRAIN_FRACTION - ANSWER_MARGIN_S
        )
        for balancer in self._balancers.values():
            balancer.limit_deadlines(self.drain_end_at)
        counts = self.forwarder.counts
        self.decisions.note("stopping", in_progress=counts.in_progress)
        await self._timers.sleep(
            min(NOT_READY_GRACE_S, drain_s * NOT_READY_FRACTION)
        )
        self.is_stopping = True
        elapsed_s = self._timers.now() - started_at
        remaining_s = compute_remaining_drain(drain_s, elapsed_s)
        # The server accepts fractions, though its type is whole seconds.
        self._server.config.timeout_graceful_shutdown = remaining_s  # type: ignore[assignment]
        self._server.should_exit = True
        await self._timers.sleep(self.last_attempt_at - self._timers.now())
        for balancer in self._balancers.values():
            balancer.refuse_waiting()
        await self._timers.sleep(self.drain_end_at - self._timers.now())
        self.forwarder.end_requests()

    # ---- metrics ---------------------------------------------------------

    def _sample(self) -> Iterator[Sample]:
        yield from sample_request_memory(self._connection_limits.memory)
        yield from sample_limits(self._connection_limits, "callers")
        yield from sample_limits(self._status_limits, "readiness")
        counts = self.forwarder.counts
        yield Sample("requests_in_progress", counts.in_progress)
        for outcome, number in counts.outcomes.items():
            yield Sample("answers", number, (("outcome", outcome),), True)
        for kind, number in self.decisions.counts.items():
            yield Sample("decisions", number, (("kind", kind),), True)
        dropped = self.decisions.dropped
        yield Sample("log_lines_dropped", dropped, (), True)
        version = self.routing.version if self.routing else 0
        yield Sample("routing_version", version)
        opened = self._upstreams.opened
        yield Sample("upstream_connections", opened, (), True)
        yield from self.notices.sample()
        attached = len(self.subscription.versions)
        yield Sample("controllers_attached", attached)
        yield Sample("evacuated_zones", len(self._evacuations.zones))
        yield from self._sample_shares()
        for pool, balancer in self._balancers.items():
            labels = (("pool", pool),)
            yield Sample("upstreams", len(balancer.servers), labels)
            evacuated = balancer.count_evacuated()
            yield Sample("upstreams_evacuated", evacuated, labels)
            if balancer.speed_estimate is not None:
                speed = balancer.speed_estimate.speed
                yield Sample("engine_overhead_ms", speed.overhead_ms, labels)
                yield Sample(
                    "engine_prefill_ms_per_token",
                    speed.prefill_ms_per_token,
                    labels,
                )
            balance = balancer.describe_balance(self._timers.now())
            if balance is not None:
                age_s, imbalance = balance
                yield Sample("load_knowledge_age_seconds", age_s, labels)
                yield Sample("load_imbalance", imbalance, labels)

    def _sample_shares(self) -> Iterator[Sample]:
        shares = self._shares
        level = shares.level if shares.is_contended() else 0.0
        yield Sample("share_factor", shares.factor)
        yield Sample("share_level", level)
        counters = itertools.chain(
            shares.own_usage.items(), self._idle_usage.items()
        )
        for account, usage in counters:
            labels = (("client_account", account or PUBLIC_LABEL),)
            yield Sample("share_asked_tokens", usage.asked, labels, True)
            yield Sample("share_admitted_tokens", usage.admitted, labels, True)
            yield Sample("share_unserved_tokens", usage.unserved, labels, True)


def compute_remaining_drain(drain_s: float, elapsed_s: float) -> float:
    """Return how long running requests may still take, in seconds.

    Parameters
    ----------
    drain_s : float
        Time limit of the whole drain, in seconds.
    elapsed_s : float
        Time since the stop began, in seconds.
    """
    return max(0.1, drain_s * DRAIN_FRACTION - elapsed_s)
