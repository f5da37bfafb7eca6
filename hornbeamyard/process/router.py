"""The router role in a fleet without a route directory."""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping

import anyio
import logbook
import uvicorn

from ..connection import peers
from ..connection.calls import LeaderCalls
from ..connection.crash_exchange import CrashSubscription
from ..connection.crash_reports import CrashReports
from ..connection.limits import (
    ConnectionLimits,
    build_protocol,
    compute_connection_limit,
)
from ..connection.liveness import LivenessChecker
from ..connection.overload import OverloadLimiter
from ..connection.probes import Prober
from ..connection.session import Session
from ..connection.upstreams import UpstreamConnections
from ..pool import constants
from ..pool.admission import Admission
from ..pool.backlog import QueueBounds
from ..pool.crashes import Crash
from ..pool.dispatch import Dispatch
from ..pool.worker import Worker, WorkerRegistry
from ..request.administration import MAX_PATCH_BYTES, Administration
from ..request.announcement import AnnouncementHandler
from ..request.claim import ClaimClient
from ..request.delivery import BLOCKED_REASON, Delivery
from ..request.gateway import Gateway
from ..version.configuration import Configuration
from . import listeners
from .gauges import sample_pools, sample_session
from .memory_limits import build_request_memory
from .metrics import Metrics, Sample
from .servers import (
    CLOSE_TIMEOUT_S,
    build_server,
    sample_limits,
    sample_request_memory,
)
from .settings import Settings
from .timers import Timers

_log = logbook.Logger("router")

# Time for which a stopping router still accepts requests after its readiness
# check begins to fail, so that load balancers notice before it refuses any.
NOT_READY_GRACE_S = 1.0
# Fraction of the drain time in which queued requests may still start.
QUEUE_FRACTION = 0.5
# Time for the lead controller to acknowledge that this router has left.
LEAVE_TIMEOUT_S = 3.0
# Time for open claims to reach the replicated log at the end of the drain.
CLAIM_FLUSH_TIMEOUT_S = 3.0
# Idle time after which a caller's connection is closed. Common load balancers
# close idle connections after 60 s and should close first, because a request
# that they send while the router closes the connection would be lost.
KEEP_ALIVE_S = 75


class Router:
    """One router with its pools, controller stream and HTTP server.

    Parameters
    ----------
    settings : Settings
        Settings with `router`.
    timers : Timers

    Attributes
    ----------
    configuration : Configuration
        Newest received version; version 0 until the first one arrives.
    gateway : Gateway
    metrics : Metrics
    registry : WorkerRegistry
        Upstreams that have announced themselves.
    session : Session
        Stream to the lead controller.
    """

    __slots__ = (
        "_admissions",
        "_calls",
        "_claims",
        "_crashes",
        "_delivery",
        "_liveness",
        "_overload_limiter",
        "_prober",
        "_queue_bounds",
        "_settings",
        "_shares",
        "_timers",
        "configuration",
        "gateway",
        "metrics",
        "registry",
        "session",
    )

    def __init__(self, settings: Settings, timers: Timers) -> None:
        assert settings.router is not None
        self._settings = settings
        self._timers = timers
        self._admissions: dict[str, Admission] = {}
        self._shares: dict[str, float] = {}
        self._queue_bounds: dict[str, QueueBounds] = {}
        self.configuration = Configuration(version=0)
        self.registry = WorkerRegistry(self._record_start)
        identity = peers.build_identity(settings, random.getrandbits(63))
        self._calls = LeaderCalls(settings.controllers, settings.tls, identity)
        self.session = Session(
            settings,
            timers,
            identity,
            self.registry,
            self.find_admission,
            self.list_admissions,
            self._apply_configuration,
        )
        self._prober = Prober(self.session.attachment, self.registry, timers)
        self.metrics = Metrics()
        self.metrics.add_source(self._sample)
        self._claims = ClaimClient(
            identity, settings.controllers, settings.tls, timers
        )
        upstreams = UpstreamConnections()
        crashes = CrashReports(settings.host, timers, self._handle_crashes)
        self._crashes = CrashSubscription(
            identity, settings.controllers, settings.tls, timers, crashes
        )
        self._liveness = LivenessChecker(
            upstreams, timers, settings.router.silence_s
        )
        self._overload_limiter = OverloadLimiter(timers)
        self._delivery = Delivery(
            self,
            self.registry,
            timers,
            self.metrics,
            self._claims,
            upstreams,
            self._liveness,
            crashes,
        )
        self.gateway = Gateway(
            self,
            self._delivery,
            AnnouncementHandler(self.registry, timers, self.announce),
            settings.router,
            timers,
            Administration(
                self.metrics, lambda: self.configuration, self._calls
            ),
        )

    async def run(self, stop: anyio.Event, stop_now: anyio.Event) -> None:
        """Serve until `stop` is set and the drain has ended.

        Parameters
        ----------
        stop : anyio.Event
            Set to begin the drain.
        stop_now : anyio.Event
            Set to end the drain at once; running requests end with an error.
        """
        assert self._settings.router is not None
        limits = ConnectionLimits(
            compute_connection_limit(self._settings.router.connections),
            self._overload_limiter,
            self._timers,
        )
        limits.memory = build_request_memory(self._settings.memory)
        # The gateway has lower limits for some paths.
        limits.body_size = max(
            self._settings.router.body_size, MAX_PATCH_BYTES
        )
        self.metrics.add_source(lambda: sample_limits(limits, "callers"))
        self.metrics.add_source(lambda: sample_request_memory(limits.memory))
        server = _build_server(self._settings, self.gateway, limits)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.session.run)
            tasks.start_soon(self._claims.run)
            tasks.start_soon(self._crashes.run)
            tasks.start_soon(self._liveness.run)
            tasks.start_soon(self._overload_limiter.run)
            tasks.start_soon(limits.run)
            tasks.start_soon(self._expire_upstreams)
            tasks.start_soon(self._prober.run)
            listener = await listeners.listen_until(
                stop, self._settings.router.address, "callers", self._timers
            )
            if listener is None:
                await self._leave()
            else:
                tasks.start_soon(self._drain, stop, stop_now, server)
                await server.serve([listener])
            tasks.cancel_scope.cancel()

    def find_admission(self, pool: str) -> Admission:
        """Return the admission of a pool, created at the first use."""
        admission = self._admissions.get(pool)
        if admission is None:
            dispatch = Dispatch(
                pool, self._settings.availability_zone, self.registry
            )
            admission = Admission(
                dispatch, self._timers, self.session.request_report
            )
            self._admissions[pool] = admission
            self._set_accounts(dispatch)
        return admission

    def list_admissions(self) -> Mapping[str, Admission]:
        """Return the admissions of all pools by name."""
        return self._admissions

    def announce(self, worker: Worker) -> None:
        """Record an upstream's announcement and send it to the controller."""
        changed = self.registry.announce(worker)
        self.session.announce(worker.name, changed)

    def _sample(self) -> Iterator[Sample]:
        now = self._timers.now()
        yield from sample_session(self.session, now)
        ledger = self._delivery.crashes.ledger
        yield Sample("upstream_crashes_known", len(ledger))
        yield Sample("requests_blocked", len(ledger.blocked))
        yield from sample_pools(self._admissions, now)

    def _apply_configuration(self, configuration: Configuration) -> None:
        self.configuration = configuration
        accounts = configuration.client_accounts
        self._shares = {name: a.share for name, a in accounts.items()}
        self._queue_bounds = {
            name: QueueBounds(account.queue_requests, account.queue_size)
            for name, account in accounts.items()
        }
        for admission in self._admissions.values():
            self._set_accounts(admission.dispatch)

    def _set_accounts(self, dispatch: Dispatch) -> None:
        dispatch.set_shares(self._shares, self._timers.now())
        dispatch.backlog.set_bounds(self._queue_bounds)

    def _record_start(self, worker: Worker, known: Worker | None) -> None:
        if known is not None and known.leaving:
            self._delivery.crashes.restarts.record_leaving(known.start)
        self._delivery.crashes.record_start(worker.start, worker.address)

    def _handle_crashes(self, changed: list[Crash]) -> None:
        for crash in changed:
            _log.info(
                "upstream {} crashed under {} requests, {} of them cleared",
                crash.upstream.id,
                len(crash.suspects),
                len(crash.cleared),
            )
        if not self._delivery.crashes.ledger.blocked:
            return
        for admission in self._admissions.values():
            admission.give_up(BLOCKED_REASON, self._delivery.is_blocked)

    async def _expire_upstreams(self) -> None:
        interval = constants.REPORT_INTERVAL_S
        async for now in self._timers.subscribe(interval):
            # Upstreams whose ejection has ended can take requests again.
            for admission in self._admissions.values():
                admission.start_ready()
            if self.session.attachment.holds_lease(now):
                # During a lease the lead controller decides which are gone.
                self.session.attachment.renew_workers(now)
                continue
            for worker in self.registry.expire(now):
                dispatch = self.find_admission(worker.pool).dispatch
                dispatch.held_slots.forget(worker.name)

    # ---- drain -----------------------------------------------------------

    async def _drain(
        self,
        stop: anyio.Event,
        stop_now: anyio.Event,
        server: uvicorn.Server,
    ) -> None:
        assert self._settings.router is not None
        await stop.wait()
        _log.info("draining {} requests", self._delivery.count_in_progress())
        self.gateway.is_ready = False
        self._delivery.is_closing = True
        drain_s = self._settings.router.drain_s
        async with anyio.create_task_group() as tasks:

            async def cancel_on_stop_now() -> None:
                await stop_now.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_on_stop_now)
            with self._timers.limit(drain_s):
                await self._finish_requests(drain_s)
            tasks.cancel_scope.cancel()
        self.gateway.is_accepting = False
        self._stop_requests()
        with self._timers.limit(CLOSE_TIMEOUT_S):
            await self._delivery.wait_idle()
        with self._timers.limit(CLAIM_FLUSH_TIMEOUT_S):
            await self._claims.flush()
        # The router leaves last, since only now are all its slots free.
        await self._leave()
        server.should_exit = True

    async def _leave(self) -> None:
        """Tell the lead controller that this router has stopped."""
        self.session.leave()
        with self._timers.limit(LEAVE_TIMEOUT_S):
            await self.session.wait_leave_acknowledged()

    async def _finish_requests(self, drain_s: float) -> None:
        """Wait for running requests; refuse queued ones after a while."""
        await self._timers.sleep(min(NOT_READY_GRACE_S, drain_s / 4))
        self.gateway.is_accepting = False
        with self._timers.limit(drain_s * QUEUE_FRACTION):
            await self._delivery.wait_idle()
        self._refuse_queued()
        await self._delivery.wait_idle()

    def _refuse_queued(self) -> None:
        for admission in self._admissions.values():
            admission.give_up_all("the router is stopping")

    def _stop_requests(self) -> None:
        """End running requests and refuse queued ones."""
        count = self._delivery.count_in_progress()
        if not count:
            return
        _log.warning(
            "the drain ends with {} requests in progress; aborting them",
            count,
        )
        self._delivery.stop()
        self._refuse_queued()


def _build_server(
    settings: Settings, gateway: Gateway, limits: ConnectionLimits
) -> uvicorn.Server:
    assert settings.router is not None
    return build_server(
        gateway,
        settings.router.address,
        build_protocol(limits),
        KEEP_ALIVE_S,
    )
