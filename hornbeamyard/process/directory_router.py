"""The router role of a fleet that routes by the route directory."""

from __future__ import annotations

import random
from collections.abc import Iterator

import anyio
import anyio.abc
import logbook
from result import Err

from ..connection import peers
from ..connection.client import Headers
from ..connection.directory_calls import DirectoryCalls
from ..connection.limits import (
    ConnectionLimits,
    OverloadLimiter,
    build_protocol,
    build_refusal,
)
from ..connection.subscription import Subscription
from ..connection.upstreams import UpstreamConnections
from ..pool.balancer import ASSUMED_ROUTERS, Balancer
from ..pool.shares import Shares
from ..pool.upstream_registry import (
    MAX_MISSED_ANNOUNCEMENTS,
    Upstream,
    UpstreamState,
)
from ..pool.usage import (
    DEMAND_WINDOW_FRACTION,
    CachedPart,
    FleetUsage,
    RouterUsage,
    UpstreamLoad,
)
from ..request.budget import WindowRetryBudget
from ..request.forwarding import Forwarder, Receive, Scope, Send
from ..request.reporting import RequestReporter
from ..version.routing import Routing
from .decisions import DecisionLog
from .interface import Interface, Message
from .metrics import Metrics, Sample
from .servers import build_server, build_status_app
from .settings import Settings
from .timers import Timers

# A stopping router goes on to accept requests for this long after it says
# that it isn't ready: load balancers commonly ask once a second and believe
# the second answer.
NOT_READY_GRACE_S = 2.5
# Part of the time that a stop may take in which requests may finish. Less
# than five sixths would cut off requests that could still have ended; the rest
# is for the end of the process.
DRAIN_FRACTION = 0.9
# A router without contact to most controllers becomes ready after this time
# with the newest routing that it could get.
MAJORITY_TIMEOUT_S = 4.0
# Time after which a connection fails whose bytes an upstream doesn't
# acknowledge. Silent connections otherwise hold requests to their deadline.
UNACKNOWLEDGED_TIMEOUT_S = 1.5
# Idle connections to upstreams are closed before upstreams close them.
IDLE_TIMEOUT_S = 3.0
# Part of an upstream's connections that idle ones of all routers may take.
IDLE_FRACTION = 0.5
# Interval of housekeeping: expired connections, avoided upstreams, shares.
MAINTENANCE_INTERVAL_S = 0.1
# The throughput that shares are cut from follows the engines at this pace.
ADAPTATION_INTERVAL_S = 0.25
# Mean Retry-After of a router without processor time, in seconds. The caller
# should come back to another router within its target.
OVERLOAD_RETRY_AFTER_S = 0.1
# Open connections from callers.
MAX_CONNECTIONS = 1500

_log = logbook.Logger("route_router")


class DirectoryRouter:
    """One router: its pools, its streams to controllers, its servers.

    Parameters
    ----------
    settings : Settings
        With the router role and the directory.
    timers : Timers
    interface : Interface
    decisions : DecisionLog
    """

    __slots__ = (
        "_adapted_at",
        "_balancers",
        "_budgets",
        "_calls",
        "_has_sums",
        "_interface",
        "_limits",
        "_server",
        "_settings",
        "_shares",
        "_started_at",
        "_timers",
        "_upstreams",
        "decisions",
        "forwarder",
        "is_closing",
        "is_stopping",
        "metrics",
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
    ) -> None:
        assert settings.router is not None
        assert settings.directory is not None
        directory = settings.directory
        self._adapted_at = 0.0
        self._budgets: dict[str, WindowRetryBudget] = {}
        self._calls = DirectoryCalls(settings.tls)
        self._has_sums = False
        self._interface = interface
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
        self.metrics = Metrics()
        self.metrics.add_source(self._sample)
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
            self._apply_sums,
            directory.announcement_interval_s * MAX_MISSED_ANNOUNCEMENTS,
        )
        self.forwarder = Forwarder(
            self,
            interface.header_codec,
            self._upstreams,
            self._shares,
            timers,
            RequestReporter(timers, self.decisions, self.metrics),
        )
        self._limits = ConnectionLimits(
            min(settings.router.connections, MAX_CONNECTIONS),
            OverloadLimiter(timers),
            timers,
        )
        self._limits.limited_paths = (b"/",)
        self._limits.build_refusal = self._refuse_overload
        # Load balancers open connections ahead of requests.
        self._limits.responds_to_silent_connections = False
        self._server = build_server(
            self._serve_request,
            settings.router.address,
            build_protocol(self._limits),
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop` is set and the drain has ended."""
        assert self._settings.router is not None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.subscription.run)
            tasks.start_soon(self._limits.run)
            tasks.start_soon(self._limits.overload_limiter.run)
            tasks.start_soon(self._run_maintenance)
            tasks.start_soon(self._drain, stop)
            status_address = self._settings.router.status_address
            if status_address:
                app = build_status_app(
                    self.metrics, self._interface.ready_path, self.is_ready
                )
                status = build_server(app, status_address)
                tasks.start_soon(status.serve)
            await self._server.serve()
            tasks.cancel_scope.cancel()
        await self._calls.close()

    def is_ready(self) -> bool:
        """Return whether load balancers should send requests."""
        if self.is_closing or self.routing is None:
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
        """Return the upstreams of a pool."""
        balancer = self._balancers.get(pool)
        if balancer is None:
            balancer = Balancer(
                pool,
                self._settings.availability_zone,
                self._shares,
                random.random,
                self._timers.limit,
            )
            if not self._has_sums:
                balancer.assumed_routers = ASSUMED_ROUTERS
            self._balancers[pool] = balancer
            self._configure(pool, balancer)
        return balancer

    def find_budget(self, pool: str) -> WindowRetryBudget:
        """Return the budget of repeats of a pool."""
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

    async def _serve_request(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve a request; while stopping, answers end their connection."""

        async def send_closing(message: Message) -> None:
            if message["type"] == "http.response.start" and self.is_closing:
                headers = [*message["headers"], (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await self.forwarder(scope, receive, send_closing)

    def _refuse_overload(self, headers: Headers) -> bytes:
        """Return the answer to a request for which there is no time.

        Other routers may have time: a load balancer that spreads callers by
        their address sends all requests of one caller to one router, and
        those that come back to another one.
        """
        header_codec = self._interface.header_codec
        request_id = header_codec.read_request(headers).request_id
        retry_after_s = OVERLOAD_RETRY_AFTER_S * (0.5 + random.random())
        self.forwarder.counts.add("refused")
        self.decisions.note(
            "refused",
            request_id=request_id,
            reason="overloaded",
            retry_after_s=round(retry_after_s, 2),
        )
        answer = header_codec.write_response(request_id)
        answer.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
        return build_refusal(answer, "the router is overloaded")

    # ---- from the directory ----------------------------------------------

    def _collect_usage(self) -> RouterUsage:
        upstreams: dict[str, UpstreamLoad] = {}
        parts: list[CachedPart] = []
        for balancer in self._balancers.values():
            parts += balancer.cached_parts
            balancer.cached_parts = []
            for server in balancer.servers.values():
                if server.own_load.running:
                    upstreams[server.id] = server.own_load
        self._shares.mark_reported(self._timers.now())
        return RouterUsage(self._shares.own_usage, upstreams, parts)

    def _handle_upstreams(self, changed: list[Upstream]) -> None:
        for upstream in changed:
            self.decisions.note(
                "upstream",
                upstream=upstream.id,
                pool=upstream.pool,
                address=upstream.address,
                state=upstream.state.value,
                sequence=upstream.sequence,
                started_ms=upstream.started_ms,
            )
            if upstream.state is UpstreamState.GONE:
                for balancer in self._balancers.values():
                    balancer.apply_upstream(upstream)
                continue
            self.find_balancer(upstream.pool).apply_upstream(upstream)
        for pool, balancer in self._balancers.items():
            self._configure(pool, balancer)
            balancer.start_waiting(self._timers.now())

    def _apply_routing(self, version: int, document: bytes) -> bool:
        decoded = self._interface.decode(document)
        if isinstance(decoded, Err):
            _log.error(
                "routing version {} can't be read here: {}",
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
        limits = routing.limits
        self._shares.throughput = limits.tokens_per_s
        self._limits.header_size = limits.header_size
        self._limits.header_timeout_s = limits.header_timeout_ms / 1000
        keep_alive_s = max(1, int(limits.idle_timeout_ms / 1000))
        self._server.config.timeout_keep_alive = keep_alive_s
        for pool, balancer in self._balancers.items():
            self._configure(pool, balancer)
        return True

    def _apply_sums(self, sums: FleetUsage) -> None:
        now = self._timers.now()
        self._has_sums = True
        self.routers = max(1, sums.routers)
        self._shares.apply_fleet_usage(
            sums.accounts, self.routers, sums.source, now
        )
        for balancer in self._balancers.values():
            balancer.apply_fleet_usage(sums.upstreams, now)
            balancer.record_cached_parts(sums.cached_parts, now)
            balancer.start_waiting(now)
        self._limit_idle_connections()

    def _configure(self, name: str, balancer: Balancer) -> None:
        if self.routing is None:
            return
        pool = self.routing.pools.get(name)
        if pool is None:
            return
        gaps = [
            route.longest_gap_ms
            for route in self.routing.routes.values()
            if route.longest_gap_ms
            and any(share.pool == name for share in route.shares)
        ]
        balancer.configure(
            pool.memory_tokens,
            pool.slots,
            self.routing.limits.tokens_per_s,
            min(gaps, default=0.0) / pool.tokens_per_event,
            pool.compute_token_copy_ms(),
        )

    def _limit_idle_connections(self) -> None:
        """Keep idle connections within this router's part of the limits."""
        if self.routing is None:
            return
        limits = [p.connections for p in self.routing.pools.values()]
        least = min((limit for limit in limits if limit), default=0)
        if least:
            part = int(least * IDLE_FRACTION / self.routers)
            self._upstreams.max_idle = max(1, part)

    # ---- housekeeping ----------------------------------------------------

    async def _run_maintenance(self) -> None:
        async for now in self._timers.subscribe(MAINTENANCE_INTERVAL_S):
            for balancer in self._balancers.values():
                balancer.start_waiting(now)
            if now - self._adapted_at < ADAPTATION_INTERVAL_S:
                continue
            self._adapted_at = now
            engines = list(self._balancers.values())
            self._shares.adapt(
                any(s.has_headroom(now) for s in engines),
                any(s.is_overloaded(now) for s in engines),
            )
            await self._upstreams.close_expired()

    async def _drain(self, stop: anyio.Event) -> None:
        assert self._settings.router is not None
        await stop.wait()
        started_at = self._timers.now()
        self.is_closing = True
        counts = self.forwarder.counts
        self.decisions.note("stopping", in_progress=counts.in_progress)
        await self._timers.sleep(NOT_READY_GRACE_S)
        self.is_stopping = True
        elapsed_s = self._timers.now() - started_at
        left_s = compute_remaining_drain(
            self._settings.router.drain_s, elapsed_s
        )
        # The server accepts fractions, though it declares whole seconds.
        self._server.config.timeout_graceful_shutdown = left_s  # type: ignore[assignment]
        self._server.should_exit = True

    # ---- status ----------------------------------------------------------

    def _sample(self) -> Iterator[Sample]:
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
        attached = len(self.subscription.versions)
        yield Sample("controllers_attached", attached)
        yield from self._sample_shares()
        for pool, balancer in self._balancers.items():
            labels = (("pool", pool),)
            yield Sample("upstreams", len(balancer.servers), labels)

    def _sample_shares(self) -> Iterator[Sample]:
        shares = self._shares
        level = shares.level if shares.is_contended() else 0.0
        yield Sample("share_factor", shares.factor)
        yield Sample("share_level", level)
        for account, use in shares.own_usage.items():
            labels = (("client_account", account or "public"),)
            yield Sample("share_asked_tokens", use.asked, labels, True)
            yield Sample("share_admitted_tokens", use.admitted, labels, True)


def compute_remaining_drain(drain_s: float, elapsed_s: float) -> float:
    """Return how long running requests may go on, in seconds.

    Parameters
    ----------
    drain_s : float
        Time that the whole stop may take.
    elapsed_s : float
        Time since the stop began.
    """
    return max(0.1, drain_s * DRAIN_FRACTION - elapsed_s)
