"""Tests of the route directory with controllers and a router on loopback."""

from __future__ import annotations

import copy
import json
import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import httpcore
import pytest
from result import Ok

from hornbeamyard.connection.directory import LEARN_INTERVAL_S, Directory
from hornbeamyard.connection.stream_reports import SETTLED_COLLECT_INTERVAL_S
from hornbeamyard.messages import fleet_pb2
from hornbeamyard.pool.stream_origins import StreamOrigin
from hornbeamyard.pool.upstream_registry import (
    Upstream,
    UpstreamStart,
    UpstreamState,
)
from hornbeamyard.process import listeners
from hornbeamyard.process.decisions import DecisionLog
from hornbeamyard.process.directory_router import DirectoryRouter
from hornbeamyard.process.interface import Interface
from hornbeamyard.process.logs import LineWriter
from hornbeamyard.process.registrar import Registrar
from hornbeamyard.process.settings import (
    ControllerSettings,
    DirectorySettings,
    RouterSettings,
    Settings,
)
from hornbeamyard.process.timers import MonotonicTimers, VirtualTimers
from hornbeamyard.request.headers import NATIVE_HEADER_NAMES, HeaderCodec

from .fleet import find_free_port
from .raw_upstream import (
    RawUpstream,
    ReceivedRequest,
    Script,
    run_raw_upstream,
    send_response,
)
from .test_forwarding import DOCUMENT

# Time within which a router that stops answers running requests.
DRAIN_S = 6.0
# A request that was sent so long before the close of its connection was read.
LOSS_SLACK_S = 0.2
CONTROLLERS = 3


def find_free_address() -> str:
    """Return a loopback address with a free port."""
    return f"127.0.0.1:{find_free_port()}"


class Fleet:
    """Controllers and one router in one process."""

    def __init__(self, folder: Path, tasks: anyio.abc.TaskGroup) -> None:
        self.folder = folder
        self.peers = [find_free_address() for _ in range(CONTROLLERS)]
        self.router_address = find_free_address()
        self.status_address = find_free_address()
        self.interface = Interface(HeaderCodec(NATIVE_HEADER_NAMES))
        self.registrars: dict[int, Registrar] = {}
        self.scopes: dict[int, anyio.CancelScope] = {}
        self.stops: dict[int, anyio.Event] = {}
        self.router: DirectoryRouter | None = None
        self.router_stop = anyio.Event()
        self._tasks = tasks
        self._timers = MonotonicTimers()

    def _build_settings(self, host: str, first_start: bool) -> Settings:
        return Settings(
            "test",
            host,
            "zone-a",
            {},
            plain_text=True,
            directory=DirectorySettings(
                # Two of the three controllers.
                seeds=self.peers[:2],
                first_start=first_start,
                tolerated_hosts=1,
            ),
        )

    def start_controller(self, number: int, first_start: bool = True) -> None:
        """Start a controller with its own data folder."""
        settings = self._build_settings(f"c{number}", first_start)
        settings.controller = ControllerSettings(
            self.peers[number], self.folder / f"data-{number}"
        )
        registrar = Registrar(settings, self._timers, self.interface)
        self.registrars[number] = registrar
        self.stops[number] = anyio.Event()
        self.scopes[number] = anyio.CancelScope()
        self._tasks.start_soon(
            self._run_controller,
            registrar,
            self.stops[number],
            self.scopes[number],
        )

    async def _run_controller(
        self, registrar: Registrar, stop: anyio.Event, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await registrar.run(stop)

    def kill_controller(self, number: int) -> Registrar:
        """End a controller without a planned stop; return it."""
        self.scopes[number].cancel()
        return self.registrars.pop(number)

    def start_announcing(self, number: int, upstream: Upstream) -> None:
        """Announce an upstream to a controller again and again."""
        self.registrars[number].announce(replace(upstream))
        self._tasks.start_soon(self._announce, number, upstream)

    async def _announce(self, number: int, upstream: Upstream) -> None:
        while True:
            await anyio.sleep(DirectorySettings([]).announcement_interval_s)
            upstream = replace(upstream, sequence=upstream.sequence + 1)
            self.registrars[number].announce(replace(upstream))

    def start_router(self) -> None:
        """Start the router."""
        self.router = self._start_router("r1", self.router_address)

    def start_further_router(self, host: str) -> tuple[DirectoryRouter, str]:
        """Start another router; return it and its address."""
        address = find_free_address()
        return self._start_router(host, address), address

    def _start_router(self, host: str, address: str) -> DirectoryRouter:
        settings = self._build_settings(host, False)
        settings.router = RouterSettings(
            address,
            status_address=self.status_address if host == "r1" else "",
            drain_s=DRAIN_S,
        )
        with (self.folder / f"{host}.log").open("w") as stream:
            writer = LineWriter(stream)
        decisions = DecisionLog(self._timers, host, writer)
        router = DirectoryRouter(
            settings, self._timers, self.interface, decisions
        )
        self._tasks.start_soon(router.run, self.router_stop)
        return router

    def find_leader(self) -> Registrar | None:
        """Return the controller that leads."""
        leaders = [
            r for r in self.registrars.values() if r.replica.is_leader()
        ]
        return leaders[0] if leaders else None

    async def wait(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds."""
        with anyio.fail_after(15):
            while not condition():
                await anyio.sleep(0.02)

    async def submit(
        self, version: int, document: dict[str, Any] = DOCUMENT
    ) -> None:
        """Submit a routing to random controllers until it is accepted."""
        document = {**copy.deepcopy(document), "version": version}
        data = json.dumps(document).encode()
        while True:
            registrar = random.choice(list(self.registrars.values()))
            submitted = await registrar.submit_routing(data)
            if submitted.decided and not submitted.findings:
                return
            await anyio.sleep(0.1)

    async def read_version(self, registrar: Registrar) -> int:
        """Return the routing version that a quorum confirms, or 0."""
        data = await registrar.read_routing()
        return int(json.loads(data)["version"]) if data is not None else 0


def run_fleet(folder: Path, test: Callable[[Fleet], Awaitable[None]]) -> None:
    """Run a test with three controllers."""

    async def main() -> None:
        with anyio.fail_after(60):
            async with anyio.create_task_group() as tasks:
                fleet = Fleet(folder, tasks)
                for number in range(CONTROLLERS):
                    fleet.start_controller(number)
                await fleet.wait(fleet.find_leader)
                await test(fleet)
                tasks.cancel_scope.cancel()

    anyio.run(main)


def list_voters(fleet: Fleet) -> set[str]:
    """Return the hosts of the voters that the leader knows."""
    leader = fleet.find_leader()
    if leader is None:
        return set()
    members = leader.replica.state.members.members
    return {member.host for member in members if member.voter}


class TestFounding:
    """Controllers find each other through the seeds."""

    def test_controller_that_is_no_seed_becomes_member(
        self, tmp_path: Path
    ) -> None:
        """Guards against a log that the loss of two disks could end."""

        async def test(fleet: Fleet) -> None:
            def has_all_members() -> bool:
                leader = fleet.find_leader()
                if leader is None:
                    return False
                members = leader.replica.state.members.members
                return len([m for m in members if m.voter and m.disk]) == 3

            await fleet.wait(has_all_members)

        run_fleet(tmp_path, test)

    def test_wiped_controller_rejoins(self, tmp_path: Path) -> None:
        """Guards against a wiped controller that founds a second log."""

        async def test(fleet: Fleet) -> None:
            await fleet.submit(5)
            leader = fleet.find_leader()
            number = next(
                n for n, r in fleet.registrars.items() if r is not leader
            )
            fleet.stops[number].set()
            await anyio.sleep(0.5)
            for file in (tmp_path / f"data-{number}").iterdir():
                file.unlink()
            fleet.start_controller(number, first_start=False)
            wiped = fleet.registrars[number]
            await fleet.wait(lambda: wiped.replica.state.routing.version == 5)
            assert await fleet.read_version(wiped) == 5

        run_fleet(tmp_path, test)


class TestInterruptedFirstStart:
    """A first start goes on although all processes have ended during it."""

    def test_router_and_streams(self, tmp_path: Path) -> None:
        """Guards against streams that can't be resumed for two minutes."""

        async def main() -> None:
            with anyio.fail_after(60):
                async with anyio.create_task_group() as tasks:
                    fleet = Fleet(tmp_path, tasks)
                    await check(fleet)
                    tasks.cancel_scope.cancel()

        async def check(fleet: Fleet) -> None:
            for number in range(CONTROLLERS):
                fleet.start_controller(number)
            await fleet.wait(
                lambda: all(
                    r.replica.journal.disk_id
                    for r in fleet.registrars.values()
                )
            )
            assert fleet.find_leader() is None
            for number in range(CONTROLLERS):
                fleet.stops[number].set()
            await anyio.sleep(0.5)
            for number in range(CONTROLLERS):
                fleet.start_controller(number, first_start=False)
            fleet.start_router()
            router = fleet.router
            assert router is not None
            await fleet.submit(5)
            fleet.start_announcing(0, build_upstream("u1", 9, "app"))
            await fleet.wait(router.is_ready)
            lacking = [
                r.directory.lacks_versions for r in fleet.registrars.values()
            ]
            assert lacking == [False] * CONTROLLERS

        anyio.run(main)


class TestReadiness:
    """Load balancers send requests only to a router that accepts them."""

    def test_address_for_callers_is_taken(self, tmp_path: Path) -> None:
        """Guards against a router that is ready before it listens."""

        async def test(fleet: Fleet) -> None:
            await fleet.submit(5)
            fleet.registrars[0].announce(build_upstream("u1", 9, "app"))
            with listeners.bind_and_listen(fleet.router_address):
                fleet.start_router()
                router = fleet.router
                assert router is not None
                await fleet.wait(lambda: router.subscription.registry)
                await fleet.wait(router.subscription.knows_majority)
                await fleet.wait(lambda: router.routing)
                assert not router.is_ready()
            await fleet.wait(router.is_ready)

        run_fleet(tmp_path, test)


class TestRouting:
    """The highest version is in force everywhere and never goes back."""

    def test_keeps_highest_version(self, tmp_path: Path) -> None:
        """Guards against an older version that replaces a newer one."""

        async def test(fleet: Fleet) -> None:
            await fleet.submit(7)
            await fleet.submit(12)
            # Resending an older version is acknowledged and changes nothing.
            await fleet.submit(7)
            for registrar in fleet.registrars.values():
                assert await fleet.read_version(registrar) == 12

        run_fleet(tmp_path, test)

    def test_conflicting_content_of_same_version(self, tmp_path: Path) -> None:
        """Guards against two documents with the same version."""

        async def test(fleet: Fleet) -> None:
            await fleet.submit(7)
            document = copy.deepcopy(DOCUMENT)
            document["version"] = 7
            document["routes"][0]["timeout_ms"] = 99
            leader = fleet.find_leader()
            assert leader is not None
            submitted = await leader.submit_routing(
                json.dumps(document).encode()
            )
            assert submitted.conflict

        run_fleet(tmp_path, test)

    def test_no_read_without_majority(self, tmp_path: Path) -> None:
        """Guards against a stale read from an isolated leader."""

        async def test(fleet: Fleet) -> None:
            await fleet.submit(7)
            leader = fleet.find_leader()
            assert leader is not None
            for number, registrar in fleet.registrars.items():
                if registrar is not leader:
                    fleet.stops[number].set()
            await anyio.sleep(0.5)
            assert await leader.read_routing() is None

        run_fleet(tmp_path, test)

    def test_invalid_routing_is_not_logged(self, tmp_path: Path) -> None:
        """Guards against an invalid routing in the replicated log."""

        async def test(fleet: Fleet) -> None:
            leader = fleet.find_leader()
            assert leader is not None
            before = leader.replica.journal.last_index
            submitted = await leader.submit_routing(b'{"version": 3}')
            assert submitted.findings
            assert leader.replica.journal.last_index == before

        run_fleet(tmp_path, test)


class TestRouter:
    """A router serves with what it learns from the controllers."""

    def test_serves_until_upstream_drains(self, tmp_path: Path) -> None:
        """Guards against a missed routing or a missed state of an upstream."""

        async def test(fleet: Fleet) -> None:
            fleet.start_router()
            router = fleet.router
            assert router is not None
            async with AsyncExitStack() as stack:
                raw = await stack.enter_async_context(
                    run_raw_upstream(send_response())
                )
                await fleet.submit(7)
                upstream = Upstream(
                    "u1",
                    "app",
                    f"127.0.0.1:{raw.port}",
                    "zone-a",
                    UpstreamState.READY,
                    4,
                    1,
                )
                fleet.registrars[2].announce(upstream)
                await fleet.wait(router.is_ready)
                assert await ask(fleet, "/read/1") == (200, b"done")
                assert (await ask(fleet, "/other/1"))[0] == 404
                # Announced to another controller than the upstream itself.
                draining = copy.copy(upstream)
                draining.state = UpstreamState.DRAINING
                draining.sequence = 2
                fleet.registrars[0].announce(draining)
                await anyio.sleep(0.5)
                assert (await ask(fleet, "/read/1"))[0] == 503
                assert len(raw.received) == 1

        run_fleet(tmp_path, test)

    def test_keeps_target(self, tmp_path: Path) -> None:
        """Guards against another target at the upstream than the caller's."""
        targets = [f"/read/1{end}" for end in ("?", "", "?a=?", "??", "/?")]

        async def test(fleet: Fleet) -> None:
            fleet.start_router()
            assert fleet.router is not None
            scripts = [send_response() for _ in targets]
            async with run_raw_upstream(*scripts) as raw:
                await fleet.submit(7)
                address = f"127.0.0.1:{raw.port}"
                state = UpstreamState.READY
                upstream = Upstream(
                    "u1", "app", address, "zone-a", state, 4, 1
                )
                fleet.registrars[0].announce(upstream)
                await fleet.wait(fleet.router.is_ready)
                host, _, port = fleet.router_address.rpartition(":")
                for number, target in enumerate(targets):
                    request = build_request(f"r{number}", target)
                    stream = await anyio.connect_tcp(host, int(port))
                    async with stream:
                        await stream.send(request)
                        assert b" 200 " in await read_response(stream)
                received = [r.head.split()[1].decode() for r in raw.received]
                assert received == targets

        run_fleet(tmp_path, test)


class TestEndOfUpstream:
    """An acknowledged end of an upstream outlives the controller."""

    def test_reaches_routers_of_other_controllers(
        self, tmp_path: Path
    ) -> None:
        """Guards against requests after an end that a controller took along.

        The controller that acknowledges it has lost touch with one of the
        routers, and is killed then.
        """

        async def test(fleet: Fleet) -> None:
            fleet.start_router()
            router = fleet.router
            assert router is not None
            further, address = fleet.start_further_router("r2")
            async with run_raw_upstream(send_response()) as raw:
                await fleet.submit(7)
                upstream = build_upstream("u1", raw.port, "app")
                upstream.started_ms = 5
                for registrar in fleet.registrars.values():
                    registrar.announce(replace(upstream))
                await fleet.wait(lambda: router.is_ready())
                await fleet.wait(further.is_ready)
                directory = fleet.registrars[0].directory
                [lost] = [s for s in directory._subscribers if "r2/" in s.name]
                directory._subscribers.discard(lost)
                start = UpstreamStart("u1", 5)
                asked_at = anyio.current_time()
                withdrawn = await fleet.registrars[0].withdraw(start)
                assert withdrawn == Ok(True)
                assert anyio.current_time() - asked_at < 1.0
                fleet.stops[0].set()
                await anyio.sleep(1.5)
                fleet.router_address = address
                assert (await ask(fleet, "/read/1"))[0] == 503
                assert raw.received == []
                # Asked again, another controller confirms it at once.
                withdrawn = await fleet.registrars[1].withdraw(start)
                assert withdrawn == Ok(True)

        run_fleet(tmp_path, test)

    @pytest.mark.parametrize("controller", [0, 1])
    def test_late_announcement_of_a_predecessor(
        self, tmp_path: Path, controller: int
    ) -> None:
        """Guards against an upstream that is removed for good.

        An announcement of the one that had its address before arrives late,
        at the same controller or at another one. Neither tells its start.
        """

        async def test(fleet: Fleet) -> None:
            await fleet.submit(7)
            fleet.start_router()
            router = fleet.router
            assert router is not None
            fleet.start_announcing(0, build_upstream("u2", 9, "app"))
            await fleet.wait(router.is_ready)
            registry = router.subscription.registry
            fleet.registrars[controller].announce(
                build_upstream("u1", 9, "app")
            )
            await fleet.wait(lambda: registry.get("u2") is None)
            await fleet.wait(lambda: registry.get("u2") is not None)
            await anyio.sleep(2.0)
            assert [u.id for u in registry] == ["u2"]

        run_fleet(tmp_path, test)

    def test_needs_a_router_of_another_host(self) -> None:
        """Guards against an acknowledgement that ends with its host.

        A report on an earlier start confirms nothing either.
        """

        async def test() -> None:
            directory = build_directory(FakeReplica(), MonotonicTimers())
            upstream = build_upstream("u1", 9, "app")
            directory.announce(replace(upstream, started_ms=6))
            report = fleet_pb2.RouterUsage()
            leaving = report.leaving.add(id="u1", started_ms=6)
            directory.handle_usage(directory.attach("c0/1"), report)
            assert not await directory.withdraw("u1", 6)
            leaving.started_ms = 5
            other = directory.attach("r1/1")
            directory.handle_usage(other, report)
            assert not await directory.withdraw("u1", 6)
            leaving.started_ms = 6
            directory.handle_usage(other, report)
            assert await directory.withdraw("u1", 6)

        with pytest.MonkeyPatch.context() as patch:
            module = "hornbeamyard.connection.directory"
            patch.setattr(f"{module}.CONFIRMATION_TIMEOUT_S", 0.05)
            patch.setattr(Directory, "_is_only_controller", lambda _: False)
            anyio.run(test)

    def test_late_announcement(self) -> None:
        """Guards against a first announcement that was sent before the end."""
        timers = VirtualTimers(start=100.0)
        directory = build_directory(FakeReplica(), timers)
        report = fleet_pb2.RouterUsage()
        report.leaving.add(id="u1", started_ms=5)
        directory.handle_usage(directory.attach("r1/1"), report)
        upstream = build_upstream("u1", 9, "app")
        for started_ms, state in (
            (5, UpstreamState.DRAINING),
            (6, UpstreamState.READY),
        ):
            directory.announce(replace(upstream, started_ms=started_ms))
            known = directory.registry.get("u1")
            assert known is not None
            assert known.state is state

    def test_forgets_reports(self) -> None:
        """Guards against memory for each upstream that ever left."""
        timers = VirtualTimers(start=100.0)
        directory = build_directory(FakeReplica(), timers)
        subscriber = directory.attach("r1/1")
        for number in range(100):
            report = fleet_pb2.RouterUsage()
            report.leaving.add(id=f"u{number}", started_ms=5)
            directory.handle_usage(subscriber, report)
        directory._forget_leaving(100.0)
        assert len(directory._leaving) == 100
        directory._forget_leaving(300.0)
        assert not directory._leaving


class TestPlannedStop:
    """A router that stops under load answers what it has accepted."""

    def test_no_accepted_request_is_cut_off(self, tmp_path: Path) -> None:
        """Guards against requests lost between their acceptance and a stop.

        Callers use kept and new connections until the router is gone. Only a
        request that crosses the close of its connection, and that no upstream
        received, may end without a response.
        """
        lost: list[str] = []
        answered: list[str] = []

        async def respond(
            stream: anyio.abc.SocketStream, received: ReceivedRequest
        ) -> None:
            await anyio.sleep(0.3)
            await send_response()(stream, received)

        async def call(
            fleet: Fleet, raw: RawUpstream, caller: int, pause_s: float
        ) -> None:
            host, _, port = fleet.router_address.rpartition(":")
            stream: anyio.abc.SocketStream | None = None
            for number in range(1000):
                id = f"{caller}-{number}"
                sent_at = anyio.current_time()
                is_new = stream is None
                try:
                    if stream is None:
                        stream = await anyio.connect_tcp(host, int(port))
                    sent_at = anyio.current_time()
                    await stream.send(build_request(id))
                    response = await read_response(stream)
                except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                    waited_s = anyio.current_time() - sent_at
                    is_received = any(
                        r.get_header("hornbeamyard-request") == id
                        for r in raw.received
                    )
                    if is_received or waited_s > LOSS_SLACK_S:
                        lost.append(id)
                    if stream is None or is_new:
                        return
                    stream = None
                    continue
                status = int(response.split(b" ", 2)[1])
                (answered if status in (200, 503) else lost).append(id)
                if b"connection: close" in response.lower():
                    await stream.aclose()
                    stream = None
                await anyio.sleep(pause_s)

        async def test(fleet: Fleet) -> None:
            fleet.start_router()
            router = fleet.router
            assert router is not None
            async with run_raw_upstream(respond) as raw:
                await fleet.submit(7)
                fleet.registrars[0].announce(
                    Upstream(
                        "u1",
                        "app",
                        f"127.0.0.1:{raw.port}",
                        "zone-a",
                        UpstreamState.READY,
                        40,
                        1,
                    )
                )
                await fleet.wait(router.is_ready)
                async with anyio.create_task_group() as callers:
                    for caller in range(30):
                        callers.start_soon(
                            call, fleet, raw, caller, 0.003 * caller
                        )
                    await anyio.sleep(0.5)
                    fleet.router_stop.set()

        run_fleet(tmp_path, test)
        assert len(answered) > 100
        assert lost == []

    def test_late_requests_are_answered(self, tmp_path: Path) -> None:
        """Guards against requests that are cut at the end of the drain.

        The upstreams are busy until then. No request is sent to them in the
        second half of the drain, also when an earlier attempt has failed.
        """
        stopped_at = 0.0
        received_at: dict[str, list[float]] = {}

        async def respond(
            stream: anyio.abc.SocketStream, received: ReceivedRequest
        ) -> None:
            id = received.get_header("hornbeamyard-request")
            received_at.setdefault(id, []).append(anyio.current_time())
            if id == "failing":
                while not stopped_at:
                    await anyio.sleep(0.05)
                failing_at = stopped_at + 0.6 * DRAIN_S
                await anyio.sleep(failing_at - anyio.current_time())
                await stream.aclose()
            await anyio.sleep(30)

        responses: dict[str, bytes] = {}

        async def call(fleet: Fleet, id: str) -> None:
            host, _, port = fleet.router_address.rpartition(":")
            stream = await anyio.connect_tcp(host, int(port))
            async with stream:
                await stream.send(build_request(id))
                try:
                    responses[id] = await read_response(stream)
                except (OSError, anyio.EndOfStream):
                    responses[id] = b"- 0 closed"

        async def test(fleet: Fleet) -> None:
            nonlocal stopped_at
            document = copy.deepcopy(DOCUMENT)
            for route in document["routes"]:
                route |= {"timeout_ms": 60_000, "target_ms": 30_000}
            fleet.start_router()
            router = fleet.router
            assert router is not None
            async with AsyncExitStack() as stack:
                await fleet.submit(7, document)
                for number in range(2):
                    raw = await stack.enter_async_context(
                        run_raw_upstream(respond)
                    )
                    upstream = build_upstream(f"u{number}", raw.port, "app")
                    fleet.registrars[0].announce(replace(upstream, slots=1))
                await fleet.wait(lambda: len(router.subscription.registry) > 1)
                await fleet.wait(router.is_ready)
                async with anyio.create_task_group() as callers:
                    callers.start_soon(call, fleet, "failing")
                    for number in range(12):
                        callers.start_soon(call, fleet, f"early-{number}")
                    await anyio.sleep(0.5)
                    stopped_at = anyio.current_time()
                    fleet.router_stop.set()
                    await anyio.sleep(0.5)
                    for number in range(12):
                        callers.start_soon(call, fleet, f"late-{number}")

        run_fleet(tmp_path, test)
        statuses = {id: int(r.split()[1]) for id, r in responses.items()}
        assert statuses.pop("failing") == 502
        assert len(received_at["failing"]) == 1
        assert len(statuses) == 24
        # Those that were sent may have run, and the others haven't.
        for id, status in statuses.items():
            assert status == (504 if id in received_at else 503), id
        assert 503 in statuses.values()
        last_sent_at = max(
            time for times in received_at.values() for time in times
        )
        assert last_sent_at < stopped_at + DRAIN_S / 2


def build_request(id: str, target: str = "/read/1") -> bytes:
    """Return the bytes of a request to the router."""
    return (
        f"GET {target} HTTP/1.1\r\nhost: api.example\r\n"
        f"hornbeamyard-request: {id}\r\n"
        "authorization: Bearer k1\r\n\r\n"
    ).encode()


async def read_response(stream: anyio.abc.SocketStream) -> bytes:
    """Return the header of a response, after its whole body was read."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, body = data.split(b"\r\n\r\n", 1)
    size = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
    while len(body) < size:
        body += await stream.receive()
    return head


async def ask(fleet: Fleet, path: str) -> tuple[int, bytes]:
    """Send a request to the router."""
    async with httpcore.AsyncConnectionPool() as client:
        response = await client.request(
            "GET",
            f"http://{fleet.router_address}{path}",
            headers=[
                (b"host", b"api.example"),
                (b"hornbeamyard-request", b"r1"),
                (b"authorization", b"Bearer k1"),
            ],
        )
    return response.status, response.content


class FakeReplica:
    """A replica that can be made the leader."""

    def __init__(self) -> None:
        self.host = "c0"
        self.leads = False

    def is_leader(self) -> bool:
        """Return whether it leads."""
        return self.leads


def build_directory(replica: FakeReplica, timers: VirtualTimers) -> Directory:
    """Return a controller's directory without other controllers."""
    return Directory(
        replica,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        timers,
        5.0,
        2.0,
    )


class TestLookup:
    """What a controller answers about a stream that it doesn't know."""

    @pytest.mark.parametrize("lacks_versions", [False, True])
    def test_versions(self, lacks_versions: bool) -> None:
        """Guards against a guess of a router that knows fewer versions."""
        directory = build_directory(FakeReplica(), VirtualTimers(start=100.0))
        directory.lacks_versions = lacks_versions
        for pool, version in (("app", "v1"), ("app", "v2"), ("other", "v3")):
            directory.registry.record_version(pool, version, 99.5)
        lookup = fleet_pb2.StreamLookup(request_id="q1", pools=["app"])
        reply = directory.find_stream(lookup)
        assert [list(v.software_versions) for v in reply.recent_versions] == [
            ["v1", "v2"]
        ]
        assert (reply.found, reply.lacks_versions) == (False, lacks_versions)


class TestUsage:
    """The fleet usage that a new leader adds up."""

    def test_first_report_is_baseline(self) -> None:
        """Guards against shares cut to nothing when the leader changes.

        A router's first report to a new leader contains all tokens counted
        since the router's start. They must not count as demand of the last
        two seconds, or every account seems to flood the pool.
        """
        replica, timers = FakeReplica(), VirtualTimers(start=100.0)
        directory = build_directory(replica, timers)
        subscriber = directory.attach("r1/1")
        directory.handle_usage(subscriber, fleet_pb2.RouterUsage())
        replica.leads = True
        for asked in (1_000_000, 1_000_300):
            usage = fleet_pb2.RouterUsage()
            usage.accounts.add(client_account="a", asked=asked)
            directory.handle_usage(subscriber, usage)
        fleet_usage = directory._usage.compute_fleet_usage(timers.now())
        assert fleet_usage.accounts["a"].asked == 300

    def test_report_of_streams_is_no_usage(self) -> None:
        """Guards against the same cut of shares by a report without usage."""
        replica, timers = FakeReplica(), VirtualTimers(start=100.0)
        directory = build_directory(replica, timers)
        subscriber = directory.attach("r1/1")
        replica.leads = True
        streams = fleet_pb2.RouterUsage()
        streams.begun_streams.add(
            pool="app", software_version="v1", request_ids=["q1"]
        )
        directory.handle_usage(subscriber, streams)
        usage = fleet_pb2.RouterUsage()
        usage.accounts.add(client_account="a", asked=1_000_000)
        directory.handle_usage(subscriber, usage)
        fleet_usage = directory._usage.compute_fleet_usage(timers.now())
        assert "a" not in fleet_usage.accounts
        assert directory.origins.find("q1") == StreamOrigin("app", "v1")

    def test_leaving_upstream_reaches_all_routers(self) -> None:
        """Guards against routers that learn of it only from a response.

        Any controller passes it on, so that it is known without a leader.
        """
        timers = VirtualTimers(start=100.0)
        directory = build_directory(FakeReplica(), timers)
        directory.announce(
            Upstream(
                "u1",
                "app",
                "10.0.0.1:80",
                "zone-a",
                UpstreamState.READY,
                4,
                sequence=1,
                started_ms=7,
            )
        )
        first, second = (directory.attach(name) for name in ("r1/1", "r2/1"))
        for started_ms, expected in (
            (6, fleet_pb2.UpstreamRecord.READY),
            (7, fleet_pb2.UpstreamRecord.DRAINING),
        ):
            usage = fleet_pb2.RouterUsage()
            usage.leaving.add(id="u1", started_ms=started_ms)
            directory.handle_usage(first, usage)
            assert second.pending_records["u1"].state == expected


class TestResumedStreams:
    """Callers continue streams at other routers."""

    STREAMS = 12

    def test_goes_on_at_the_version_that_began_it(
        self, tmp_path: Path
    ) -> None:
        """Guards against streams joined from two software versions.

        The first attempt ends with its connection to one router, and the
        caller resumes the stream at another router, which has never seen it.
        """

        async def test(fleet: Fleet) -> None:
            await fleet.submit(7)
            await self.resume_streams(
                fleet,
                [("app", "v1"), ("app", "v2"), ("app", "v1"), ("app", "v2")],
            )

        run_fleet(tmp_path, test)

    def test_goes_on_in_the_pool_that_began_it(self, tmp_path: Path) -> None:
        """Guards against streams joined from two pools of a route.

        Their upstreams may have the same version.
        """
        _, document = build_documents_with_pools()

        async def test(fleet: Fleet) -> None:
            await fleet.submit(7, document)
            await self.resume_streams(fleet, [("app", "v1"), ("other", "v1")])

        run_fleet(tmp_path, test)

    def test_controllers_are_replaced(self, tmp_path: Path) -> None:
        """Guards against streams that nobody can tell the origin of.

        All controllers but one are replaced within seconds, so that a majority
        has started without a record of versions.
        """

        async def test(fleet: Fleet) -> None:
            await fleet.submit(7)
            upstream = build_upstream("u1", 9, "app")
            upstream.software_version = "v1"
            fleet.start_router()
            router = fleet.router
            assert router is not None
            fleet.registrars[0].announce(upstream)
            await fleet.wait(router.is_ready)
            # A seed is left.
            for number in (2, 1):
                fleet.stops[number].set()
                del fleet.registrars[number]
                await anyio.sleep(0.5)
                fleet.peers.append(find_free_address())
                successor = len(fleet.peers) - 1
                fleet.start_controller(successor, first_start=False)
                await fleet.wait(
                    lambda host=f"c{successor}": host in list_voters(fleet)
                )
                await anyio.sleep(2 * LEARN_INTERVAL_S + 0.5)
            subscription = router.subscription
            await fleet.wait(lambda: len(subscription.versions) == 3)
            fleet.registrars[0].announce(replace(upstream, sequence=2))
            origin = await subscription.find_origin(["app"], "unknown")
            assert origin == StreamOrigin("app", "v1")

        run_fleet(tmp_path, test)

    @pytest.mark.parametrize("replaced", [True, False])
    def test_all_processes_restart(
        self, tmp_path: Path, replaced: bool
    ) -> None:
        """Guards against a stream that goes on at the only version left.

        Nobody knows where the stream began, as all processes restart and the
        caller names an attempt that wasn't recorded. It goes on only if its
        version was never replaced.
        """
        versions = ["v1", "v2"] if replaced else ["v1", "v1"]

        async def test(fleet: Fleet) -> None:
            await fleet.submit(7)
            fleet.start_router()
            router = fleet.router
            assert router is not None
            async with AsyncExitStack() as stack:
                upstreams = []
                for number, version in enumerate(versions):
                    raw = await stack.enter_async_context(
                        run_raw_upstream(send_text(version))
                    )
                    upstream = build_upstream(f"u{number}", raw.port, "app")
                    upstream.software_version = version
                    upstreams.append(upstream)
                fleet.registrars[0].announce(upstreams[0])
                await fleet.wait(router.is_ready)
                began = await read_stream(fleet.router_address, "q1", 2)
                await fleet.registrars[0].withdraw(UpstreamStart("u0", 0))
                fleet.registrars[1].announce(upstreams[1])
                await anyio.sleep(0.6)
                await restart_all(fleet, upstreams[1])
                router, address = fleet.start_further_router("r2")
                await fleet.wait(router.is_ready)
                went_on = await read_stream(
                    address,
                    "q1-again",
                    2,
                    (b"hornbeamyard-resumes", b"q0"),
                    (b"last-event-id", b"2"),
                    status=503 if replaced else 200,
                )
                assert set(began + went_on) == {"v1"}
                assert len(began + went_on) == (2 if replaced else 4)

        run_fleet(tmp_path, test)

    def test_all_processes_restart_in_a_release(self, tmp_path: Path) -> None:
        """Guards against streams that are lost with all processes.

        Upstreams of both versions are left, so only what was stored tells
        where each stream began.
        """

        async def test(fleet: Fleet) -> None:
            await fleet.submit(7)
            fleet.start_router()
            router = fleet.router
            assert router is not None
            async with AsyncExitStack() as stack:
                upstreams = []
                for number, version in enumerate(("v1", "v2")):
                    raw = await stack.enter_async_context(
                        run_raw_upstream(send_text(version))
                    )
                    upstream = build_upstream(f"u{number}", raw.port, "app")
                    upstream.software_version = version
                    upstreams.append(upstream)
                    fleet.registrars[number].announce(upstream)
                await fleet.wait(router.is_ready)
                await fleet.wait(
                    lambda: len(router.subscription.registry) == 2
                )
                began = [
                    await read_stream(fleet.router_address, f"q{stream}", 2)
                    for stream in range(self.STREAMS)
                ]
                await anyio.sleep(0.6)
                await restart_all(fleet, *upstreams)
                router, address = fleet.start_further_router("r2")
                await fleet.wait(router.is_ready)
                await fleet.wait(
                    lambda: len(router.subscription.registry) == 2
                )
                for stream, events in enumerate(began):
                    went_on = await read_stream(
                        address,
                        f"q{stream}-again",
                        2,
                        (b"hornbeamyard-resumes", f"q{stream}".encode()),
                        (b"last-event-id", b"2"),
                    )
                    assert len(events + went_on) == 4
                    assert len(set(events + went_on)) == 1

        run_fleet(tmp_path, test)

    @pytest.mark.parametrize("added", ["version", "pool"])
    def test_router_ends_before_a_release(
        self, tmp_path: Path, added: str
    ) -> None:
        """Guards against streams of which only their router knew the origin.

        Their route gets a second version, or a second pool, between the end of
        the router and the callers' next attempts.
        """
        document, split = build_documents_with_pools()

        async def test(fleet: Fleet) -> None:
            await fleet.submit(7, document)
            fleet.start_router()
            first_stop, fleet.router_stop = fleet.router_stop, anyio.Event()
            other, other_address = fleet.start_further_router("r2")
            async with AsyncExitStack() as stack:
                upstreams = []
                pools = ["app", "other" if added == "pool" else "app"]
                for number, pool in enumerate(pools):
                    raw = await stack.enter_async_context(
                        run_raw_upstream(send_text(f"v{number}"))
                    )
                    upstream = build_upstream(f"u{number}", raw.port, pool)
                    upstream.software_version = f"v{number}"
                    upstreams.append(upstream)
                fleet.registrars[0].announce(upstreams[0])
                assert fleet.router is not None
                await fleet.wait(fleet.router.is_ready)
                began = [
                    await read_stream(fleet.router_address, f"q{stream}", 2)
                    for stream in range(self.STREAMS)
                ]
                await anyio.sleep(SETTLED_COLLECT_INTERVAL_S + 0.5)
                first_stop.set()
                await fleet.wait(
                    lambda: all(
                        registrar.directory.count_routers() == 1
                        for registrar in fleet.registrars.values()
                    )
                )
                fleet.registrars[1].announce(upstreams[1])
                if added == "pool":
                    await fleet.submit(8, split)
                await fleet.wait(
                    lambda: (
                        len(other.subscription.registry) == 2
                        and other.subscription.version
                        == (8 if added == "pool" else 7)
                    )
                )
                for stream, events in enumerate(began):
                    went_on = await read_stream(
                        other_address,
                        f"q{stream}-again",
                        2,
                        (b"hornbeamyard-resumes", f"q{stream}".encode()),
                        (b"last-event-id", b"2"),
                    )
                    assert len(events + went_on) == 4
                    assert set(events + went_on) == {"v0"}

        run_fleet(tmp_path, test)

    async def resume_streams(
        self, fleet: Fleet, kinds: list[tuple[str, str]]
    ) -> None:
        """Begin streams at one router and resume them at another.

        Parameters
        ----------
        fleet : Fleet
        kinds : list of (str, str)
            Pool and software version of each upstream, which names them in
            its events.
        """
        fleet.start_router()
        other, other_address = fleet.start_further_router("r2")
        assert fleet.router is not None
        async with AsyncExitStack() as stack:
            for number, (pool, version) in enumerate(kinds):
                raw = await stack.enter_async_context(
                    run_raw_upstream(send_text(f"{pool} {version}"))
                )
                upstream = build_upstream(f"u{number}", raw.port, pool)
                upstream.software_version = version
                fleet.registrars[number % CONTROLLERS].announce(upstream)
            await fleet.wait(
                lambda: len(other.subscription.registry) == len(kinds)
            )
            await fleet.wait(fleet.router.is_ready)
            for stream in range(self.STREAMS):
                id = f"q{stream}"
                began = await read_stream(fleet.router_address, id, 2)
                went_on = await read_stream(
                    other_address,
                    f"{id}-again",
                    2,
                    (b"hornbeamyard-resumes", id.encode()),
                    (b"last-event-id", b"2"),
                )
                assert len(began + went_on) == 4
                assert len(set(began + went_on)) == 1


def build_documents_with_pools() -> tuple[dict[str, Any], dict[str, Any]]:
    """Return a routing with a second pool, and one that splits a route."""
    document = copy.deepcopy(DOCUMENT)
    document["pools"].append({"name": "other"})
    split = copy.deepcopy(document)
    for route in split["routes"]:
        if route["name"] == "chat":
            route["shares"] = [
                {"pool": "app", "weight": 1},
                {"pool": "other", "weight": 1},
            ]
    return document, split


async def restart_all(fleet: Fleet, *upstreams: Upstream) -> None:
    """Restart the router's and all controllers' processes.

    Afterwards the upstreams announce themselves to one controller, and go on
    to do so.
    """
    for stop in fleet.stops.values():
        stop.set()
    fleet.router_stop.set()
    # A router that drains would tell the new controllers what it knows.
    assert fleet.router is not None
    while fleet.router.is_closing is False or not await has_ended(
        fleet.router_address
    ):
        await anyio.sleep(0.05)
    await anyio.sleep(0.5)
    fleet.router_stop = anyio.Event()
    for number in fleet.registrars:
        fleet.start_controller(number, first_start=False)
    await fleet.wait(fleet.find_leader)
    for upstream in upstreams:
        fleet.start_announcing(2, upstream)


async def has_ended(address: str) -> bool:
    """Return whether nothing listens at an address."""
    host, _, port = address.rpartition(":")
    try:
        stream = await anyio.connect_tcp(host, int(port))
    except OSError:
        return True
    await stream.aclose()
    return False


def build_upstream(id: str, port: int, pool: str) -> Upstream:
    """Return an upstream that is ready."""
    return Upstream(
        id, pool, f"127.0.0.1:{port}", "zone-a", UpstreamState.READY, 40, 1
    )


def send_text(text: str) -> Script:
    """Return a script that sends a text in each of four events.

    Without Last-Event-Id it sends two of them, and nothing more.
    """

    async def send(
        stream: anyio.abc.SocketStream, received: ReceivedRequest
    ) -> None:
        id = received.get_header("hornbeamyard-request")
        first = int(received.get_header("last-event-id") or 0) + 1
        await stream.send(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            f"hornbeamyard-request: {id}\r\nhornbeamyard-signature: s1\r\n"
            "\r\n".encode()
        )
        for number in range(first, first + 2):
            await stream.send(f"id: {number}\ndata: {text}\n\n".encode())
        if first == 1:
            await stream.receive()
        await stream.aclose()

    return send


async def read_stream(
    address: str,
    id: str,
    events: int,
    *headers: tuple[bytes, bytes],
    status: int = 200,
) -> list[str]:
    """Read events of a stream, close its connection and return their data."""
    body = b""
    async with (
        httpcore.AsyncConnectionPool() as client,
        client.stream(
            "GET",
            f"http://{address}/chat/1",
            headers=[
                (b"host", b"api.example"),
                (b"hornbeamyard-request", id.encode()),
                (b"authorization", b"Bearer k1"),
                *headers,
            ],
        ) as response,
    ):
        assert response.status == status
        async for chunk in response.aiter_stream():
            body += chunk
            if body.count(b"\n\n") == events:
                break
    lines = body.decode().splitlines()
    return [
        line.removeprefix("data: ")
        for line in lines
        if line.startswith("data:")
    ]
