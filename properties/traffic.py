"""A router and a controller under simulated traffic in virtual time.

Both are the real objects. Their streams, the connections to upstreams and the
replicated log are replaced, so an hour takes some seconds.
"""

from __future__ import annotations

import asyncio
import io
import json
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from types import SimpleNamespace
from typing import Any

import anyio
import anyio.abc
from anyio.abc import ObjectReceiveStream, ObjectSendStream

from hornbeamyard.connection.buffers import ResponseBuffers
from hornbeamyard.connection.client import Connection
from hornbeamyard.connection.directory import Directory
from hornbeamyard.connection.directory_codec import pack_document
from hornbeamyard.connection.directory_service import DirectoryService
from hornbeamyard.connection.pacing import ReadPacer
from hornbeamyard.connection.subscriber import Subscriber
from hornbeamyard.messages import fleet_pb2
from hornbeamyard.pool.upstream_registry import Upstream, UpstreamState
from hornbeamyard.process.decisions import DecisionLog
from hornbeamyard.process.directory_router import DirectoryRouter
from hornbeamyard.process.interface import Interface
from hornbeamyard.process.logs import LineWriter
from hornbeamyard.process.settings import (
    DirectorySettings,
    RouterSettings,
    Settings,
)
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.request.headers import NATIVE_HEADER_NAMES, HeaderCodec

CONTROLLER = "127.0.0.1:1"
HOST = "controller-1"
LIFETIME_S = 5.0
# Intervals in virtual seconds.
ROUTING_INTERVAL_S = 60
UPSTREAM_INTERVAL_S = 10
ROUTER_INTERVAL_S = 45
# The router opens its stream to the controller again only at first, so that
# what a stream keeps has the rest of the time to grow.
STREAM_INTERVAL_S = 200
STREAMS_END_S = 600
UPSTREAMS = 6
RESPONSE_S = 0.05


class StreamCall:
    """A router's stream to the controller, in memory."""

    def __init__(self, traffic: Traffic) -> None:
        buffers = float("inf")
        self._usage: ObjectSendStream[Any]
        self._updates: ObjectReceiveStream[Any]
        self._usage, usage = anyio.create_memory_object_stream[Any](buffers)
        updates, self._updates = anyio.create_memory_object_stream[Any](
            buffers
        )
        self._scope = anyio.CancelScope()
        traffic.calls.append(self)
        traffic.tasks.start_soon(self._serve, traffic, usage, updates)

    async def _serve(
        self,
        traffic: Traffic,
        usage: AsyncIterator[Any],
        updates: ObjectSendStream[Any],
    ) -> None:
        context: Any = SimpleNamespace(write=updates.send)
        with self._scope:
            await traffic.service.Watch(usage, context)
        await updates.aclose()

    async def write(self, usage: fleet_pb2.RouterUsage) -> None:
        """Send a report."""
        await self._usage.send(usage)

    async def read(self) -> fleet_pb2.DirectoryUpdate | None:
        """Return the next update; None at the end of the stream."""
        try:
            return await self._updates.receive()
        except anyio.EndOfStream:
            return None

    def cancel(self) -> None:
        """End the stream."""
        self._scope.cancel()


class ControllerCalls:
    """Calls of the router to the controller, in memory."""

    def __init__(self, traffic: Traffic) -> None:
        self._traffic = traffic

    def open_stub(self, address: str) -> Any:
        """Return a stub that opens streams."""
        return SimpleNamespace(Watch=lambda: StreamCall(self._traffic))

    async def close_channel(self, address: str) -> None:
        """Do nothing."""

    async def fetch_routing(self, address: str, request: Any) -> Any:
        """Return the routing in force."""
        return self._traffic.directory.copy_routing()

    async def find_stream(self, address: str, request: Any) -> Any:
        """Return where a stream began."""
        return self._traffic.directory.find_stream(request)


class UpstreamTransport(asyncio.Transport):
    """The connection of a simulated upstream, which responds after a time."""

    def __init__(
        self, traffic: Traffic, connection: Connection, address: str
    ) -> None:
        super().__init__()
        self._address = address
        self._connection = connection
        self._is_closing = False
        self._traffic = traffic
        connection.connection_made(self)

    def write(self, data: Any) -> None:
        """Receive a request."""
        lines = data.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        headers = dict(line.split(b": ", 1) for line in lines)
        self._traffic.run_later(RESPONSE_S, lambda: self._respond(headers))

    def _respond(self, headers: dict[bytes, bytes]) -> None:
        if self._is_closing:
            return
        traffic = self._traffic
        draw = traffic.draw()
        if self._address in traffic.crashed or draw < 0.03:
            self._connection.connection_lost(ConnectionResetError())
            return
        request_id = headers[b"hornbeamyard-request"]
        fields = [
            b"hornbeamyard-request: " + request_id,
            b"hornbeamyard-signature: s",
        ]
        if draw < 0.05:
            fields.append(b"hornbeamyard-max-rate: 5")
        status, body = b"200 OK", b"id:1\ndata:x\n\nid:2\ndata:y\n\n"
        if headers.get(b"accept") == b"text/event-stream":
            fields.append(b"content-type: text/event-stream")
        if 0.05 < draw < 0.07:
            status, body = b"503 Busy", b""
            fields.append(b"retry-after: 1")
        elif 0.07 < draw < 0.1:
            status, body = b"500 Error", b"failed"
        elif 0.1 < draw < 0.11:
            fields.append(b"hornbeamyard-leaving: 1")
        fields.append(b"content-length: %d" % len(body))
        self._connection.data_received(
            b"\r\n".join([b"HTTP/1.1 " + status, *fields, b"", body])
        )

    def pause_reading(self) -> None:
        """Do nothing, as responses are small."""

    def resume_reading(self) -> None:
        """Do nothing, as responses are small."""

    def get_write_buffer_size(self) -> int:
        """Return that all is sent."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the connection was closed."""
        return self._is_closing

    def close(self) -> None:
        """Close the connection."""
        if not self._is_closing:
            self._is_closing = True
            self._connection.connection_lost(None)

    def abort(self) -> None:
        """Close the connection."""
        self.close()


class Traffic:
    """Requests, heartbeats and routings that come and go.

    Attributes
    ----------
    calls : list of StreamCall
    crashed : set of str
        Addresses of upstreams that refuse connections.
    directory : Directory
    router : DirectoryRouter
    statuses : Counter of int
        Responses by status; 0 for requests whose caller has left.
    timers : VirtualTimers
    """

    def __init__(self, tasks: anyio.abc.TaskGroup, seed: int) -> None:
        self._rng = random.Random(seed)
        self._sequence = 0
        self._upstreams: list[Upstream] = []
        self._version = 0
        self._request_ids: list[str] = []
        self.calls: list[StreamCall] = []
        self.crashed: set[str] = set()
        self.statuses: Counter[int] = Counter()
        self.tasks = tasks
        self.timers = VirtualTimers()
        self._routing = SimpleNamespace(version=0, document=b"")
        self.directory = self._build_directory()
        self.service = DirectoryService("test", self.directory, self.timers)
        self.router = self._build_router()

    def _build_directory(self) -> Directory:
        replica: Any = SimpleNamespace(
            host=HOST,
            identity=fleet_pb2.Identity(fleet="test", host=HOST),
            is_leader=lambda: True,
            journal=SimpleNamespace(
                members=fleet_pb2.MemberList(),
                members_index=0,
                last_index=1,
                last_term=1,
            ),
            leader_host=HOST,
            state=SimpleNamespace(
                routing=self._routing,
                digest_key=b"k" * 32,
                last_index=1,
                evacuated_zones=frozenset(),
                evacuations_index=0,
            ),
            find_unconfirmed_orders=dict,
            wait_for_change=lambda: self.timers.sleep(1.0),
        )
        controller = fleet_pb2.ControllerAddress(host=HOST, address=CONTROLLER)
        controllers = fleet_pb2.ControllerList(controllers=[controller])
        founder: Any = SimpleNamespace(describe=lambda: controllers)
        calls: Any = ControllerCalls(self)
        return Directory(replica, founder, calls, self.timers, LIFETIME_S, 2.0)

    def _build_router(self) -> DirectoryRouter:
        settings = Settings(
            "test",
            "router-1",
            "zone-a",
            {},
            router=RouterSettings("127.0.0.1:0", upstream_drain_s=2.0),
            directory=DirectorySettings([CONTROLLER]),
        )
        log = DecisionLog(self.timers, "router-1", LineWriter(io.StringIO()))
        interface = Interface(HeaderCodec(NATIVE_HEADER_NAMES))
        router = DirectoryRouter(settings, self.timers, interface, log)
        router.subscription._calls = ControllerCalls(self)  # type: ignore
        return router

    async def open_connection(
        self,
        host: str,
        port: int,
        idle_timeout_s: float,
        options: object,
        buffers: ResponseBuffers,
        pacer: ReadPacer,
    ) -> Connection:
        """Open a connection to a simulated upstream.

        It takes the place of the function in `connection/client.py`.
        """
        address = f"{host}:{port}"
        if address in self.crashed:
            raise ConnectionRefusedError
        connection = Connection(idle_timeout_s, buffers, pacer)
        loop: Any = SimpleNamespace(
            time=self.timers.now,
            create_future=asyncio.get_running_loop().create_future,
        )
        connection._loop = loop
        UpstreamTransport(self, connection, address)
        return connection

    def draw(self) -> float:
        """Return a random number from 0 to 1."""
        return self._rng.random()

    def run_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call a function after a virtual time."""
        self.timers.call_at(self.timers.now() + delay_s, callback)

    async def start(self) -> None:
        """Start the router and the controller."""
        self._announce_routing()
        for _ in range(UPSTREAMS):
            self._start_upstream("")
        self.tasks.start_soon(self.directory.run)
        self.tasks.start_soon(self.router.subscription.run)
        self.tasks.start_soon(self.router._run_maintenance)
        await self.run(3, sends_requests=False)

    async def run(self, seconds: int, sends_requests: bool = True) -> None:
        """Run the traffic for a virtual time."""
        for _ in range(seconds):
            now = int(self.timers.now())
            self._replace_parts(now)
            for upstream in self._upstreams:
                self._announce(upstream)
            if sends_requests:
                self.tasks.start_soon(self._send_request)
            await self.timers.advance(1.0)

    def _replace_parts(self, now: int) -> None:
        if now % ROUTING_INTERVAL_S == 0:
            self._announce_routing()
        if now % UPSTREAM_INTERVAL_S == 0 and now:
            self._start_upstream(self._end_upstream())
        if now % ROUTER_INTERVAL_S == 0:
            self._report_as_other_router()
        if now % STREAM_INTERVAL_S == 0 and 0 < now <= STREAMS_END_S:
            self.calls.pop().cancel()

    # ---- routing -----------------------------------------------------------

    def _announce_routing(self) -> None:
        """Replace half of the routes, pools and accounts by others."""
        self._version += 1
        numbers = (self._version - 1, self._version)
        document = {
            "version": self._version,
            "limits": {"tokens_per_s": 2000},
            "routes": [
                {
                    "name": f"{kind}-{number}",
                    "host": "api.example",
                    "path_prefix": f"/{kind}-{number}/",
                    "repetition": "idempotent",
                    "streaming": kind == "chat",
                    "resumable": kind == "chat",
                    "timeout_ms": 3000 + number,
                    "target_ms": 400 + number,
                    "shares": [
                        {"pool": f"engine-{number}"},
                        {"pool": "engine"},
                    ]
                    if kind == "chat"
                    else [{"pool": "app"}],
                    "most_attempts": 3,
                }
                for kind in ("chat", "read")
                for number in numbers
            ],
            "pools": [
                {"name": "app"},
                *(
                    {
                        "name": name,
                        "memory_tokens": 100_000,
                        "slots": 8,
                        "connections": 100,
                        "cold_rate": 100.0,
                        "cold_start_s": 1.0,
                        "balancing": "even",
                    }
                    for name in ("engine", *(f"engine-{n}" for n in numbers))
                ),
            ],
            "client_accounts": [
                {"name": f"account-{number}-{n}", "keys": [f"{number}-{n}"]}
                for number in numbers
                for n in range(5)
            ],
        }
        self._routing.version = self._version
        self._routing.document = pack_document(json.dumps(document).encode())

    # ---- upstreams ---------------------------------------------------------

    def _start_upstream(self, address: str) -> None:
        self._sequence += 1
        number = self._sequence
        pools = ("app", "engine", f"engine-{self._version}")
        self._upstreams.append(
            Upstream(
                f"u{number}",
                pools[number % 3],
                address or f"10.0.{number // 250}.{number % 250}:80",
                "zone-a",
                UpstreamState.READY,
                8,
                1,
                number,
                software_version=f"v{number // 10}",
            )
        )

    def _end_upstream(self) -> str:
        """End the oldest upstream; return the address of the next one."""
        upstream = self._upstreams.pop(0)
        draw = self.draw()
        if draw < 0.3:
            self.tasks.start_soon(
                self.directory.withdraw, upstream.id, upstream.started_ms
            )
        elif draw < 0.6:
            self.crashed.add(upstream.address)
            self.run_later(
                30.0, lambda: self.crashed.discard(upstream.address)
            )
        elif draw < 0.8:
            # Another start at the same address, without a pause.
            return upstream.address
        return ""

    def _announce(self, upstream: Upstream) -> None:
        upstream.sequence += 1
        self.directory.announce(upstream)

    # ---- requests ----------------------------------------------------------

    async def _send_request(self) -> None:
        """Send a request with an id and a prompt of its own."""
        self._sequence += 1
        number = self._sequence
        route = self._version - (self.draw() < 0.5)
        kind = "chat" if self.draw() < 0.6 else "read"
        request_id = f"r{number}"
        headers = [
            (b"host", b"api.example"),
            (b"hornbeamyard-request", request_id.encode()),
            (
                b"authorization",
                f"Bearer {self._version}-{number % 5}".encode(),
            ),
        ]
        if kind == "chat":
            headers += [
                (b"accept", b"text/event-stream"),
                (b"hornbeamyard-token-counts", b"3000,500"),
                (
                    b"hornbeamyard-prompt-parts",
                    f"p{number // 3}:1500,q{number}:1500".encode(),
                ),
                (b"hornbeamyard-deadline-ms", str(2000 + number % 9).encode()),
            ]
            if self._request_ids and self.draw() < 0.1:
                headers += [
                    (b"hornbeamyard-resumes", self._request_ids[-1].encode()),
                    (b"last-event-id", b"0"),
                ]
            self._request_ids = [request_id]
        scope = {
            "type": "http",
            "method": "GET",
            "raw_path": f"/{kind}-{route}/{number}".encode(),
            "query_string": b"",
            "headers": headers,
        }
        leaves = self.draw() < 0.05
        status = 0
        ended = anyio.Event()
        was_read = False

        async def receive() -> dict[str, Any]:
            nonlocal was_read
            if not was_read:
                was_read = True
                return {"type": "http.request", "body": b""}
            with self.timers.limit(RESPONSE_S / 2 if leaves else 60.0):
                await ended.wait()
            return {"type": "http.disconnect"}

        async def send(message: dict[str, Any]) -> None:
            nonlocal status
            if message["type"] == "http.response.start":
                status = message["status"]
            elif not message.get("more_body", False):
                ended.set()

        await self.router.forwarder(scope, receive, send)  # type: ignore
        self.statuses[status] += 1

    # ---- other routers -----------------------------------------------------

    def _report_as_other_router(self) -> None:
        """Report what another router learns and uses, until the next one."""
        self._sequence += 1
        number = self._sequence
        subscriber = self.directory.attach(f"router-2/{number}")
        start = self._upstreams[0].start
        reports = [
            fleet_pb2.RouterUsage(
                accounts=[
                    fleet_pb2.AccountUsage(
                        client_account=f"account-{self._version}-{n}",
                        asked=count * 1000,
                        admitted=count * 500,
                    )
                    for n in range(5)
                ],
                upstreams=[fleet_pb2.UpstreamUsage(id=start.id, running=1)],
                read_parts=[
                    fleet_pb2.ReadPart(part=f"o{number}", upstream=start.id)
                ],
            )
            for count in (1, 2)
        ]
        reports += [
            fleet_pb2.RouterUsage(
                crashes=[
                    fleet_pb2.UpstreamCrash(
                        id=f"x{number}", started_ms=1, reporter="router-2"
                    )
                ]
            ),
            fleet_pb2.RouterUsage(
                limits=[
                    fleet_pb2.UpstreamLimit(
                        id=start.id, started_ms=start.started_ms, max_rate=9
                    )
                ]
            ),
            fleet_pb2.RouterUsage(
                begun_streams=[
                    fleet_pb2.BegunStreams(
                        pool="engine", request_ids=[f"b{number}"]
                    )
                ]
            ),
        ]
        for report in reports:
            self.directory.handle_usage(subscriber, report)
        self.tasks.start_soon(self._detach_later, subscriber)

    async def _detach_later(self, subscriber: Subscriber) -> None:
        await self.timers.sleep(ROUTER_INTERVAL_S)
        self.directory.detach(subscriber)
