"""Routers, fake upstreams and a fake controller in one event loop.

Callers and upstreams use real sockets on loopback. The fake controller grants
no slots, so routers use their fallback share of the slots.
"""

from __future__ import annotations

import contextlib
import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import grpc
import grpc.aio
import httpcore
import uvicorn

from hornbeamyard.connection import peers
from hornbeamyard.messages import fleet_pb2, fleet_pb2_grpc
from hornbeamyard.pool.worker import Worker
from hornbeamyard.process.router import Router
from hornbeamyard.process.settings import RouterSettings, Settings
from hornbeamyard.process.timers import MonotonicTimers
from hornbeamyard.version.configuration import hash_key, parse_document

from .fake_upstream import (
    FakeUpstream,
    FakeUpstreamOptions,
    FaultInjectionProtocol,
)
from .fleet import find_free_port

KEY = "caller-key"
UPSTREAM_KEY = "upstream-key"
MODEL = "visitor-assistant"
SERVICE = "notices"
# Setting `silence_s` of the routers.
SILENCE_S = 0.2
READ_TIMEOUT_S = 15.0


class FakeController(fleet_pb2_grpc.FleetServicer):
    """A controller that keeps claims in memory and allocates no slots.

    Attributes
    ----------
    claims : dict of (str, str) to ClaimRecord
        Records by client account and idempotency key.
    operations : list of ClaimOperation
        All operations applied, in order.
    batch_sizes : list of int
        Number of operations of each batch.
    has_quorum : bool
        Whether claims are accepted.
    leave_messages : int
        Leave messages received from routers.
    on_leave : callable
        Called for each leave message.
    lost_replies : int
        Number of replies still to be lost, each after its operations were
        applied.
    """

    def __init__(self) -> None:
        self.claims: dict[tuple[str, str], Any] = {}
        self.operations: list[Any] = []
        self.batch_sizes: list[int] = []
        self.has_quorum = True
        self.leave_messages = 0
        self.on_leave: Callable[[], object] = lambda: None
        self.lost_replies = 0

    async def Attach(self, requests: Any, context: Any) -> Any:  # noqa: N802
        """Serve a router's stream without sending allocations."""
        async for report in requests:
            if report.leaving:
                self.leave_messages += 1
                self.on_leave()
            yield fleet_pb2.ControllerUpdate(epoch=1, lease_ms=3000)

    async def ShareCrashes(self, requests: Any, context: Any) -> Any:  # noqa: N802
        """Serve a router's stream without passing on any crash."""
        async for _ in requests:
            yield fleet_pb2.DirectoryUpdate()

    async def MakeClaims(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Apply a batch of claim operations."""
        if not self.has_quorum:
            return fleet_pb2.ClaimResults(no_quorum=True)
        self.batch_sizes.append(len(request.operations))
        results = [self._apply(op) for op in request.operations]
        if self.lost_replies:
            self.lost_replies -= 1
            await context.abort(grpc.StatusCode.UNAVAILABLE, "lost")
        return fleet_pb2.ClaimResults(results=results)

    def _apply(self, operation: Any) -> Any:
        self.operations.append(operation)
        account_and_key = (operation.client_account, operation.key)
        record = self.claims.get(account_and_key)
        if operation.kind == operation.MAKE:
            if record is None:
                record = fleet_pb2.ClaimRecord(
                    request_hash=operation.request_hash,
                    attempt=operation.attempt,
                    state=fleet_pb2.IN_PROGRESS,
                )
                self.claims[account_and_key] = record
            elif record.request_hash != operation.request_hash:
                return fleet_pb2.ClaimResult(state=fleet_pb2.CONFLICT)
            if (
                record.attempt == operation.attempt
                and record.state == fleet_pb2.IN_PROGRESS
            ):
                return fleet_pb2.ClaimResult(state=fleet_pb2.GRANTED)
            return fleet_pb2.ClaimResult(
                state=record.state, answer=record.answer
            )
        if record is None or record.attempt != operation.attempt:
            return fleet_pb2.ClaimResult(state=fleet_pb2.RELEASED)
        if operation.kind == operation.RELEASE:
            del self.claims[account_and_key]
            return fleet_pb2.ClaimResult(state=fleet_pb2.RELEASED)
        if operation.kind == operation.ANSWER:
            record.state = fleet_pb2.ANSWERED
            record.answer.CopyFrom(operation.answer)
        else:
            record.state = fleet_pb2.OUTCOME_UNKNOWN
        return fleet_pb2.ClaimResult(state=record.state)


@dataclass(slots=True)
class Response:
    """A response as its caller received it.

    Attributes
    ----------
    status : int
        0 if no response began.
    headers : dict of str to str
    body : bytes
    complete : bool
        Whether the response arrived completely.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False

    def get_outcome(self) -> str:
        """Return the outcome in a problem document, or an empty string."""
        if self.headers.get("content-type") != "application/problem+json":
            return ""
        return str(json.loads(self.body)["outcome"])


@dataclass(slots=True)
class InProcessFleet:
    """Running routers, upstreams and the fake controller.

    Attributes
    ----------
    routers : list of Router
    ports : list of int
        Port of each router.
    upstreams : list of FakeUpstream
    controller : FakeController
    stop_events : list of (anyio.Event, anyio.Event)
        Events of each router that start its drain and end the drain at once.
    stopped_events : list of anyio.Event
        Set when the router has stopped.
    """

    routers: list[Router]
    ports: list[int]
    upstreams: list[FakeUpstream]
    controller: FakeController
    stop_events: list[tuple[anyio.Event, anyio.Event]]
    stopped_events: list[anyio.Event]

    async def post(
        self, path: str, document: object, router: int = 0, **headers: str
    ) -> Response:
        """Send a POST request with a JSON body on a new connection."""
        content = json.dumps(document).encode()
        return await self.send("POST", path, content, router, **headers)

    async def send(
        self,
        method: str,
        path: str,
        content: bytes = b"",
        router: int = 0,
        key: str = KEY,
        **headers: str,
    ) -> Response:
        """Send a request on a new connection.

        Parameters
        ----------
        method, path : str
        content : bytes
        router : int
            Index of the router.
        key : str
            Bearer token.
        **headers
            Header values; underscores in names stand for hyphens.
        """
        header_fields = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        header_fields["authorization"] = f"Bearer {key}"
        response = Response()
        timeout = {"read": READ_TIMEOUT_S, "connect": 2.0}
        url = f"http://127.0.0.1:{self.ports[router]}{path}"
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                async with pool.stream(
                    method,
                    url,
                    headers=header_fields,
                    content=content,
                    extensions={"timeout": timeout},
                ) as received:
                    response.status = received.status
                    response.headers = {
                        name.decode().lower(): value.decode()
                        for name, value in received.headers
                    }
                    async for chunk in received.aiter_stream():
                        response.body += chunk
                    response.complete = True
            except (httpcore.NetworkError, httpcore.ProtocolError):
                pass
        return response

    def count_runs(self, request_id: str) -> int:
        """Return how often the upstreams ran a request."""
        return sum(up.journal.count(request_id) for up in self.upstreams)


@contextlib.asynccontextmanager
async def run_in_process(
    pool: str = MODEL,
    routers: int = 1,
    workers: int = 2,
    slots: int = 8,
    **options: Any,
) -> AsyncIterator[InProcessFleet]:
    """Run routers in front of one pool.

    Parameters
    ----------
    pool : str
        `MODEL`, or `SERVICE`, whose requests are unrepeatable.
    routers, workers : int
        Number of routers, and of upstreams.
    slots : int
        Requests that each upstream runs at the same time.
    **options
        Settings of the router role.

    Yields
    ------
    InProcessFleet
    """
    controller = FakeController()
    server = peers.create_server()
    fleet_pb2_grpc.add_FleetServicer_to_server(controller, server)
    controller_address = f"127.0.0.1:{find_free_port()}"
    peers.add_port(server, controller_address, None)
    await server.start()
    upstreams = _build_upstreams(pool, workers, slots)
    fleet = InProcessFleet([], [], upstreams, controller, [], [])
    async with _stop_at_end(server), anyio.create_task_group() as tasks:
        for upstream in upstreams:
            await serve(tasks, upstream)
        for number in range(routers):
            role = {"silence_s": SILENCE_S, "drain_s": 5.0, **options}
            await _start_router(fleet, tasks, number, controller_address, role)
            await _configure_router(fleet, number, routers)
        yield fleet
        tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _stop_at_end(server: grpc.aio.Server) -> AsyncIterator[None]:
    try:
        yield
    finally:
        with anyio.CancelScope(shield=True):
            await server.stop(grace=0)


async def serve(
    tasks: anyio.abc.TaskGroup, upstream: FakeUpstream
) -> uvicorn.Server:
    """Start the HTTP server of a fake upstream."""
    config = uvicorn.Config(
        upstream,
        host="127.0.0.1",
        port=upstream.options.port,
        log_config=None,
        lifespan="off",
        http=FaultInjectionProtocol,
    )
    server = uvicorn.Server(config)
    upstream.crash = lambda: _crash(server)
    tasks.start_soon(server._serve)
    while not server.started:
        await anyio.sleep(0.002)
    return server


def _crash(server: uvicorn.Server) -> None:
    """Close a server's connections and refuse new ones."""
    server.should_exit = True
    server.force_exit = True
    for listener in server.servers:
        listener.close()
    for connection in list(server.server_state.connections):
        connection.transport.abort()  # type: ignore[union-attr]


def _build_upstreams(
    pool: str, workers: int, slots: int
) -> list[FakeUpstream]:
    return [
        FakeUpstream(
            FakeUpstreamOptions(
                f"{pool}-{number}",
                pool,
                "centro",
                find_free_port(),
                [],
                UPSTREAM_KEY,
                slots=slots,
                token_s=0.005,
                repeatable=pool == MODEL,
            )
        )
        for number in range(workers)
    ]


async def _start_router(
    fleet: InProcessFleet,
    tasks: anyio.abc.TaskGroup,
    number: int,
    controller_address: str,
    role: dict[str, Any],
) -> None:
    port = find_free_port()
    settings = Settings(
        "test",
        f"host-{number}",
        "centro",
        {"host-0": controller_address},
        router=RouterSettings(f"127.0.0.1:{port}", **role),
    )
    fleet.routers.append(Router(settings, MonotonicTimers()))
    fleet.ports.append(port)
    fleet.stop_events.append((anyio.Event(), anyio.Event()))
    fleet.stopped_events.append(anyio.Event())
    tasks.start_soon(_run_router, fleet, number)


async def _run_router(fleet: InProcessFleet, number: int) -> None:
    await fleet.routers[number].run(*fleet.stop_events[number])
    fleet.stopped_events[number].set()


async def _configure_router(
    fleet: InProcessFleet, number: int, routers: int
) -> None:
    """Configure a router, give it slots and wait until it listens."""
    router, upstreams = fleet.routers[number], fleet.upstreams
    document = {
        "client_accounts": {"hotel": {"share": 1, "keys": [hash_key(KEY)]}},
        "pools": {
            MODEL: {"kind": "model"},
            SERVICE: {"kind": "service"},
        },
        "upstreams": {
            up.options.name: {"keys": [hash_key(UPSTREAM_KEY)]}
            for up in upstreams
        },
        "operators": {},
    }
    router._apply_configuration(parse_document(document, 1).ok_value)
    now = router._timers.now()
    for up in upstreams:
        router.registry.announce(
            Worker(
                up.options.name,
                f"http://127.0.0.1:{up.options.port}",
                "centro",
                up.options.pool,
                up.options.slots,
                repeatable=up.options.repeatable,
                lease_s=600.0,
                announced_at=now,
            )
        )
        router.registry.record_probe(up.options.name, True, now)
    pool = upstreams[0].options.pool
    dispatch = router.find_admission(pool).dispatch
    dispatch.enter_fallback(number, routers, now)
    while True:
        try:
            stream = await anyio.connect_tcp("127.0.0.1", fleet.ports[number])
            await stream.aclose()
            return
        except OSError:
            await anyio.sleep(0.005)


def read_run_ids(path: Path) -> list[str]:
    """Return the request ids in a fake upstream's journal, one per run."""
    return path.read_text().split() if path.exists() else []
