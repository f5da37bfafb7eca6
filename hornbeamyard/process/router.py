"""The router role: accepts requests and sends them to upstreams."""

from __future__ import annotations

import random
import socket
from collections.abc import Mapping

import anyio
import httpcore
import uvicorn

from ..connection import peers
from ..connection.probes import Prober
from ..connection.session import Session
from ..pool import options
from ..pool.admission import Admission
from ..pool.backlog import QueueBounds
from ..pool.dispatch import Dispatch
from ..pool.worker import Registry, Worker
from ..request.administration import Administration
from ..request.gateway import Gateway
from ..version.configuration import Configuration
from .metrics import Metrics
from .settings import Settings
from .timers import Timers


class Router:
    """One router: its pools, its stream to the controllers, its HTTP server.

    Parameters
    ----------
    settings : Settings
        With the router role.
    timers : Timers
    """

    __slots__ = (
        "_admissions",
        "_connections",
        "_prober",
        "_settings",
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
        self._connections: dict[str, httpcore.AsyncConnectionPool] = {}
        self.configuration = Configuration(version=0)
        self.registry = Registry()
        self.session = Session(
            settings,
            timers,
            peers.describe_self(settings, random.getrandbits(63)),
            self.registry,
            self.find_admission,
            self.list_admissions,
            self._take_configuration,
        )
        self._prober = Prober(self.session.attachment, self.registry, timers)
        self.metrics = Metrics()
        self.gateway = Gateway(
            self,
            self.registry,
            settings.router,
            timers,
            Administration(self.metrics),
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop` is set and running requests have ended."""
        server = _build_server(self._settings, self.gateway)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.session.run)
            tasks.start_soon(self._expire_upstreams)
            tasks.start_soon(self._prober.run)
            tasks.start_soon(self._drain, stop, server)
            await server.serve()
            tasks.cancel_scope.cancel()

    def find_admission(self, pool: str) -> Admission:
        """Return the admission of a pool, made when it is new."""
        admission = self._admissions.get(pool)
        if admission is None:
            dispatch = Dispatch(
                pool, self._settings.availability_zone, self.registry
            )
            admission = Admission(
                dispatch, self._timers, self.session.notify_urgent
            )
            self._admissions[pool] = admission
            self._set_accounts(dispatch)
        return admission

    def list_admissions(self) -> Mapping[str, Admission]:
        """Return the admissions of all pools by name."""
        return self._admissions

    def announce(self, worker: Worker) -> None:
        """Take an upstream's announcement and pass it on."""
        changed = self.registry.announce(worker)
        self.session.announce(worker.name, changed)

    def get_connections(self, address: str) -> httpcore.AsyncConnectionPool:
        """Return the connections to an upstream's address."""
        connections = self._connections.get(address)
        if connections is None:
            connections = httpcore.AsyncConnectionPool(
                max_connections=None, max_keepalive_connections=64
            )
            self._connections[address] = connections
        return connections

    def _take_configuration(self, configuration: Configuration) -> None:
        self.configuration = configuration
        for admission in self._admissions.values():
            self._set_accounts(admission.dispatch)

    def _set_accounts(self, dispatch: Dispatch) -> None:
        accounts = self.configuration.client_accounts
        dispatch.set_shares(
            {name: account.share for name, account in accounts.items()},
            self._timers.now(),
        )
        for name, account in accounts.items():
            bounds = QueueBounds(account.queue_requests, account.queue_size)
            dispatch.backlog.set_bounds(name, bounds)

    async def _expire_upstreams(self) -> None:
        interval = options.REPORT_INTERVAL_S
        async for now in self._timers.subscribe(interval):
            if self.session.attachment.holds_lease(now):
                # The lead controller tells which upstreams are gone.
                self.session.attachment.renew_workers(now)
                continue
            for worker in self.registry.expire(now):
                dispatch = self.find_admission(worker.pool).dispatch
                dispatch.holding.forget(worker.name)

    async def _drain(self, stop: anyio.Event, server: uvicorn.Server) -> None:
        await stop.wait()
        self.gateway.is_ready = False
        self.session.leave()
        server.should_exit = True


class _Server(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    async def serve(self, sockets: list[socket.socket] | None = None) -> None:
        await self._serve(sockets)


def _build_server(settings: Settings, gateway: Gateway) -> uvicorn.Server:
    assert settings.router is not None
    host, _, port = settings.router.address.rpartition(":")
    config = uvicorn.Config(
        gateway,
        host=host.strip("[]"),
        port=int(port),
        log_config=None,
        access_log=False,
        lifespan="off",
        http="httptools",
        ws="none",
        timeout_graceful_shutdown=int(settings.router.drain_s),
        server_header=False,
    )
    return _Server(config)
