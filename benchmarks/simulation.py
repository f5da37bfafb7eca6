"""A simulated fleet on virtual time that runs the real scheduling modules.

Connections, upstreams and processes are simulated; dispatch, attachment and
registry of the routers are the modules of `hornbeamyard`.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hornbeamyard.connection.attachment import Attachment
from hornbeamyard.messages import fleet_pb2
from hornbeamyard.pool import constants
from hornbeamyard.pool.backlog import QueueBounds, Ticket
from hornbeamyard.pool.dispatch import Dispatch, StartedRequest
from hornbeamyard.pool.worker import Worker, WorkerRegistry
from hornbeamyard.version.configuration import Configuration

from .control import SimController, Stream
from .events import Clock, Costs, Network
from .measures import PoolMeter
from .requests import Engine, Load, Request

# Pause before a router looks for a lead controller again.
RECONNECT_PAUSE_S = 0.2
# A router closes a stream on which it received nothing for this time.
SILENCE_TIMEOUT_S = 3.0
LEASE_CHECK_INTERVAL_S = 0.1


@dataclass(slots=True)
class Fleet:
    """State that all parts of a simulated fleet share.

    Attributes
    ----------
    document : dict
        The configuration document.
    local_only : bool
        Whether routers run without controllers, each with a static part of
        all slots.
    controllers : list of SimController
        The newest leader comes first.
    """

    clock: Clock
    network: Network
    costs: Costs
    rng: random.Random
    meters: dict[str, PoolMeter]
    document: dict[str, Any]
    local_only: bool = False
    engines: dict[str, Engine] = field(default_factory=dict)
    routers: list[SimRouter] = field(default_factory=list)
    controllers: list[SimController] = field(default_factory=list)

    def find_leader(self, router: str) -> SimController | None:
        """Return a lead controller that a router can reach, or None."""
        for controller in self.controllers:
            connected = self.network.is_connected(router, controller.host)
            if connected and controller.accepts_routers():
                return controller
        return None

    def submit(self, load: Load, request: Request) -> None:
        """Submit a request to a running router, as a load balancer does.

        Routers are drawn by the weights of the load, if it has any.
        """
        weights = load.weights or dict.fromkeys(range(len(self.routers)), 1.0)
        candidates = [i for i in weights if self.routers[i].alive]
        if not candidates:
            candidates = [i for i, r in enumerate(self.routers) if r.alive]
        chosen = self.rng.choices(
            candidates, [weights.get(i, 1.0) for i in candidates]
        )[0]
        self.routers[chosen].submit(request)


class SimRouter:
    """A router whose connections and process are simulated.

    Parameters
    ----------
    fleet : Fleet
    name : str
        Name of its host.
    zone : str
        Availability zone of its host.
    """

    def __init__(self, fleet: Fleet, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.alive = True
        self.stream: Stream | None = None
        self._fleet = fleet
        self._clock = fleet.clock
        self._incarnation = 0
        self._running: dict[int, tuple[Request, StartedRequest]] = {}
        self._queued: dict[int, Request] = {}
        fleet.network.add_host(name, zone)
        self._clock.every(LEASE_CHECK_INTERVAL_S, self._check_lease)
        self._clock.every(constants.PROBE_INTERVAL_S, self._probe)
        self.start()

    def start(self) -> None:
        """Start the process with empty state."""
        self._incarnation += 1
        self.alive = True
        self._sent_at = -1.0
        self._schedule_number = 0
        self._urgent_pending = False
        self._stream_number = 0
        self.dispatches: dict[str, Dispatch] = {}
        self.registry = WorkerRegistry()
        identity = fleet_pb2.Identity(
            fleet="simulated",
            protocol=1,
            host=self.name,
            incarnation=self._incarnation,
        )
        self.attachment = Attachment(
            self.name,
            self.zone,
            identity,
            self.registry,
            self.find_dispatch,
            lambda: self.dispatches,
            self._set_configuration,
        )
        self._connect()

    def kill(self) -> None:
        """Kill the process; its requests are lost."""
        self.alive = False
        if self.stream is not None:
            self.stream.close_from_router()
            self.stream = None
        now = self._clock.now
        for request, started in list(self._running.values()):
            self._fleet.engines[started.worker].cancel(request)
            meter = self._fleet.meters[request.pool]
            meter.change_running(request.account, -1, now)
            self._end_lost_request(request)
        for request in list(self._queued.values()):
            meter = self._fleet.meters[request.pool]
            meter.change_waiting(request.account, -1, now)
            self._end_lost_request(request)
        self._running.clear()
        self._queued.clear()

    def _end_lost_request(self, request: Request) -> None:
        """Tell the caller of a lost request 50 ms later."""
        if request.on_end is not None:
            self._clock.after(0.05, request.on_end)

    # ---- requests --------------------------------------------------------

    def find_dispatch(self, pool: str) -> Dispatch:
        """Return the dispatch of a pool; create it on first use."""
        dispatch = self.dispatches.get(pool)
        if dispatch is None:
            bounds = QueueBounds(requests=100_000)
            dispatch = Dispatch(pool, self.zone, self.registry, bounds)
            self.dispatches[pool] = dispatch
            self._set_shares(dispatch)
        return dispatch

    def submit(self, request: Request) -> None:
        """Queue a request."""
        now = self._clock.now
        request.submitted_at = now
        request.ticket = Ticket(request.account, request.priority)
        meter = self._fleet.meters[request.pool]
        meter.change_waiting(request.account, 1, now)
        dispatch = self.find_dispatch(request.pool)
        self._queued[id(request.ticket)] = request
        cpu_start = time.thread_time()
        dispatch.submit(request.ticket, now)
        self._add_request_cpu(cpu_start)
        self.start_ready(request.pool)

    def start_ready(self, pool: str) -> None:
        """Start queued requests while slots are free."""
        dispatch = self.dispatches[pool]
        now = self._clock.now
        while True:
            cpu_start = time.thread_time()
            started = dispatch.start_next(now)
            self._add_request_cpu(cpu_start)
            if started is None:
                break
            self._send(started)
        cpu_start = time.thread_time()
        urgent = dispatch.is_urgent(now)
        self._add_request_cpu(cpu_start)
        if urgent:
            self.request_report()

    def _add_request_cpu(self, cpu_start: float) -> None:
        spent = time.thread_time() - cpu_start
        self._fleet.costs.request_cpu_s[self.name] += spent

    def _send(self, started: StartedRequest) -> None:
        now = self._clock.now
        request = self._queued.pop(id(started.ticket))
        meter = self._fleet.meters[request.pool]
        meter.change_waiting(request.account, -1, now)
        meter.change_running(request.account, 1, now)
        meter.max_cost_s = max(meter.max_cost_s, request.cost_s)
        wait = now - request.submitted_at
        if request.priority:
            meter.priority_waits.append(wait)
        else:
            meter.waits.setdefault(request.account, []).append(wait)
        self._running[id(request)] = (request, started)
        engine = self._fleet.engines[started.worker]
        latency = self._fleet.network.get_latency(self.name, engine.name)
        incarnation = self._incarnation

        def end() -> None:
            self._clock.after(latency, self._finish, request, incarnation)

        self._clock.after(latency, self._arrive, engine, request, end)

    def _arrive(
        self, engine: Engine, request: Request, end: Callable[[], None]
    ) -> None:
        if id(request) in self._running:
            engine.accept(request, end)

    def _finish(self, request: Request, incarnation: int) -> None:
        if incarnation != self._incarnation or not self.alive:
            return
        now = self._clock.now
        _, started = self._running.pop(id(request))
        meter = self._fleet.meters[request.pool]
        meter.change_running(request.account, -1, now)
        meter.finished += 1
        dispatch = self.dispatches[request.pool]
        cpu_start = time.thread_time()
        dispatch.finish(started, now)
        self._add_request_cpu(cpu_start)
        self.start_ready(request.pool)
        if request.on_end is not None:
            request.on_end()

    # ---- stream to the lead controller -----------------------------------

    def _connect(self) -> None:
        if not self.alive or self.stream is not None or self._fleet.local_only:
            return
        leader = self._fleet.find_leader(self.name)
        if leader is None:
            self._clock.after(RECONNECT_PAUSE_S, self._connect)
            return
        self.stream = Stream(self, leader, self._clock.now)
        self._send_report(full=True)

    def drop_stream(self, stream: Stream) -> None:
        """Handle the end of a stream; reconnect after `RECONNECT_PAUSE_S`."""
        if self.stream is stream:
            self.stream = None
            self.attachment.is_attached = False
            self._clock.after(RECONNECT_PAUSE_S, self._connect)

    def request_report(self) -> None:
        """Send an urgent report as soon as the minimum spacing allows."""
        if self.stream is None or self._urgent_pending:
            return
        self._urgent_pending = True
        self._schedule_report(self._sent_at + constants.URGENT_SPACING_S)

    def _schedule_report(self, due: float) -> None:
        """Schedule the next report; an earlier schedule is dropped."""
        self._schedule_number += 1
        self._clock.at(
            due,
            self._send_scheduled_report,
            self._schedule_number,
            self.stream,
        )

    def _send_scheduled_report(self, number: int, stream: Stream) -> None:
        if number != self._schedule_number or self.stream is not stream:
            return
        if self._clock.now - stream.router_received_at > SILENCE_TIMEOUT_S:
            stream.close_from_router()
            self.drop_stream(stream)
            return
        self._send_report(full=False)

    def _send_report(self, full: bool) -> None:
        assert self.stream is not None
        now = self._clock.now
        self._urgent_pending = False
        self._sent_at = now
        with self._fleet.costs.measure(self.name):
            report = self.attachment.build_report(now, full)
            data = report.SerializeToString()
        self._fleet.costs.add_message(self.name, len(data))
        self.stream.send_report(data)
        self._schedule_report(self.attachment.get_regular_report_due())

    def apply_update(self, stream: Stream, data: bytes) -> None:
        """Apply an update from the lead controller."""
        if self.stream is not stream or not self.alive:
            return
        now = self._clock.now
        self._fleet.costs.add_message(self.name, len(data))
        with self._fleet.costs.measure(self.name):
            update = fleet_pb2.ControllerUpdate.FromString(data)
            valid = self.attachment.apply_update(update, now)
        if not valid:
            stream.close_from_router()
            self.drop_stream(stream)
            return
        stream.router_received_at = now
        if update.planned and not self._urgent_pending:
            self._schedule_report(self.attachment.get_regular_report_due())
        for pool in update.pools:
            self.start_ready(pool.pool)

    def announce(self, engine: Engine, pool: str) -> None:
        """Handle an upstream's heartbeat."""
        if not self.alive:
            return
        worker = Worker(
            name=engine.name,
            address=f"http://10.0.0.{len(engine.name)}:8000",
            availability_zone=engine.zone,
            pool=pool,
            slots=engine.slots,
            leaving=engine.leaving_at is not None,
            announced_at=self._clock.now,
        )
        changed = self.registry.announce(worker)
        if self.attachment.announce(worker.name, changed):
            self.request_report()

    # ---- lease and configuration -----------------------------------------

    def _check_lease(self) -> None:
        if not self.alive:
            return
        if self._fleet.local_only:
            self._use_static_share()
        elif not self.attachment.check_lease(self._clock.now):
            return
        for pool in self.dispatches:
            self.start_ready(pool)

    def _probe(self) -> None:
        """Record the status of all workers, as a router's probes do."""
        now = self._clock.now
        local = self._fleet.local_only
        if not self.alive or not (local or self.attachment.needs_probes(now)):
            return
        for worker in self.registry.list_workers():
            engine = self._fleet.engines[worker.name]
            is_ready = engine.leaving_at is None
            self.registry.record_probe(worker.name, is_ready, now)

    def _use_static_share(self) -> None:
        """Use a fixed part of all slots (baseline without controllers)."""
        for dispatch in self.dispatches.values():
            rank = self._fleet.routers.index(self)
            count = len(self._fleet.routers)
            dispatch.enter_fallback(rank, count, self._clock.now)

    def _set_configuration(self, configuration: Configuration) -> None:
        for dispatch in self.dispatches.values():
            self._set_shares(dispatch)

    def _set_shares(self, dispatch: Dispatch) -> None:
        accounts = self._fleet.document["client_accounts"]
        dispatch.set_shares(
            {name: account["share"] for name, account in accounts.items()},
            self._clock.now,
        )
