"""Tests of requests that crash each upstream that runs them."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import anyio
import anyio.abc
import httpcore
import pytest

from hornbeamyard.connection import peers
from hornbeamyard.connection.crash_exchange import CrashHub, CrashSubscription
from hornbeamyard.connection.crash_reports import CrashReports
from hornbeamyard.connection.server import FleetService
from hornbeamyard.connection.upstreams import UpstreamConnections
from hornbeamyard.messages import fleet_pb2, fleet_pb2_grpc
from hornbeamyard.pool.digests import KEY_SIZE
from hornbeamyard.pool.upstream_registry import UpstreamStart, UpstreamState
from hornbeamyard.process.controller import Controller
from hornbeamyard.process.timers import MonotonicTimers
from hornbeamyard.version.replica import Replica

from .fleet import find_free_port
from .in_process import MODEL, SERVICE, InProcessFleet, Response
from .in_process import run_in_process as run_routers
from .raw_upstream import (
    RawUpstream,
    ReceivedRequest,
    Script,
    close_connection,
    run_raw_upstream,
    send_events,
    send_response,
)
from .test_crashing_parts import PARTS
from .test_directory import Fleet, build_upstream, restart_all, run_fleet
from .test_forwarding import Harness, run

UPSTREAMS = 16
BAD_BODY = b"bad"
# Crashes after which a request reaches no further upstream.
MAX_CRASHES = 3
# Time in which all routers learn of a crash.
WINDOW_S = 3.0


def crash_on_bad_request(upstream: RawUpstream, delay_s: float = 0) -> Script:
    """Return a script that crashes its upstream on one request.

    It is the one with `BAD_BODY` at a path that ends with 7, and without a
    query. All others are answered, after a delay.
    """

    async def respond(
        stream: anyio.abc.SocketStream, received: ReceivedRequest
    ) -> None:
        target = received.request_line.split()[1]
        if received.body == BAD_BODY and target.endswith("/7"):
            account = received.get_header("hornbeamyard-account")
            if account in ("library", None):
                upstream.crash()
                return
        await anyio.sleep(delay_s)
        answer = (
            send_response()
            if "/read/" in target or "/charge/" in target
            else send_events(1, 3)
        )
        await answer(stream, received)

    return respond


class TestForwarding:
    """One router of a fleet with a route directory stops sending it."""

    def run(
        self,
        test: Callable[[Harness, list[RawUpstream]], Awaitable[None]],
        delay_s: float = 0,
    ) -> None:
        """Run a test with upstreams that the request crashes."""

        async def main(harness: Harness) -> None:
            upstreams = harness.raw_upstreams  # type: ignore[attr-defined]
            for upstream in upstreams:
                upstream.scripts[:] = [crash_on_bad_request(upstream, delay_s)]
            await test(harness, upstreams)

        run(main, *[[] for _ in range(UPSTREAMS)])

    @pytest.mark.parametrize("route", ["read", "charge", "notice", "chat"])
    def test_upstreams_go_on_crashing(self, route: str) -> None:
        """Guards against a repeated request that ends all upstreams."""

        async def test(harness: Harness, upstreams: list[RawUpstream]) -> None:
            for _ in range(2 * UPSTREAMS):
                failed = await harness.send_request(f"/{route}/7", BAD_BODY)
            crashed = sum(upstream.has_crashed for upstream in upstreams)
            assert crashed <= MAX_CRASHES
            assert failed.status == 503
            assert b"retry-after" in failed.headers

        self.run(test)

    def test_resumed_stream(self) -> None:
        """Guards against a caller that resumes it at further upstreams."""

        async def test(harness: Harness, upstreams: list[RawUpstream]) -> None:
            resumed = (
                (b"last-event-id", b"2"),
                (b"hornbeamyard-resumes", b"r-1"),
            )
            await harness.send_request("/chat/7", BAD_BODY)
            for _ in range(UPSTREAMS):
                await harness.send_request("/chat/7", BAD_BODY, resumed)
            crashed = sum(upstream.has_crashed for upstream in upstreams)
            assert crashed <= MAX_CRASHES

        self.run(test)

    def test_similar_requests_are_served(self) -> None:
        """Guards against a block that is wider than the request.

        Others have the same path, caller, body or prompt parts.
        """
        parts = ((PARTS.encode(), b"route1:200,shared1:40,own1:9"),)

        async def test(harness: Harness, upstreams: list[RawUpstream]) -> None:
            document = harness.routing
            assert document is not None
            for _ in range(4):
                await harness.send_request("/notice/7", BAD_BODY, parts)
            assert any(upstream.has_crashed for upstream in upstreams)
            for response in (
                await harness.send_request("/notice/7", b"sound", parts),
                await harness.send_request("/notice/7?q=1", BAD_BODY, parts),
                await harness.send_request("/notice/8", BAD_BODY, parts),
                await harness.send_request("/chat/8", BAD_BODY, parts),
                await harness.send_request("/notice/7", b"", parts),
            ):
                assert response.status == 200
                assert response.is_complete
            blocked = await harness.send_request("/notice/7", BAD_BODY, parts)
            assert blocked.status == 503

        self.run(test)

    def test_other_callers_are_served(self) -> None:
        """Guards against a block of the same request of other callers."""

        async def test(harness: Harness, upstreams: list[RawUpstream]) -> None:
            for _ in range(MAX_CRASHES + 1):
                await harness.send_request("/read/7", BAD_BODY)
            other = await harness.send_request(
                "/read/7", BAD_BODY, key=b"Bearer k2"
            )
            assert other.status == 200
            blocked = await harness.send_request("/read/7", BAD_BODY)
            assert blocked.status == 503

        self.run(test)

    def test_popular_request_is_not_blamed(self) -> None:
        """Guards against a sound request that runs at each crash.

        Callers send it all the time, so that each upstream runs it when it
        crashes.
        """

        async def test(harness: Harness, upstreams: list[RawUpstream]) -> None:
            statuses: list[int] = []

            async def ask_repeatedly() -> None:
                while True:
                    response = await harness.send_request("/notice/1", b"p")
                    statuses.append(response.status)

            async with anyio.create_task_group() as tasks:
                for _ in range(3 * UPSTREAMS):
                    tasks.start_soon(ask_repeatedly)
                for _ in range(2 * MAX_CRASHES):
                    await anyio.sleep(0.1)
                    await harness.send_request("/notice/7", BAD_BODY)
                tasks.cancel_scope.cancel()
            crashed = sum(upstream.has_crashed for upstream in upstreams)
            assert crashed == MAX_CRASHES
            assert 503 not in statuses
            blocked = await harness.send_request("/notice/7", BAD_BODY)
            assert blocked.status == 503

        self.run(test, 0.04)

    def test_error_response_is_an_answer(self) -> None:
        """Guards against a block of a request that upstreams reject."""

        async def test(harness: Harness, upstreams: list[RawUpstream]) -> None:
            ledger = harness.notices.crashes.ledger
            for number, upstream in enumerate(upstreams[: MAX_CRASHES + 1]):
                for other in upstreams[number + 1 :]:
                    other.scripts[:] = [send_response(404)]
                upstream.scripts[:] = [crash_on_bad_request(upstream)]
                while not upstream.has_crashed:
                    await harness.send_request("/charge/7", BAD_BODY)
                await harness.send_request("/charge/7", BAD_BODY)
            assert len(ledger) == MAX_CRASHES + 1
            assert not ledger.blocked

        self.run(test)

    def test_leaving_upstream_has_not_crashed(self) -> None:
        """Guards against a block for upstreams that end by themselves."""

        async def test(harness: Harness, upstreams: list[RawUpstream]) -> None:
            async def leave(
                stream: anyio.abc.SocketStream, received: ReceivedRequest
            ) -> None:
                id = received.get_header("hornbeamyard-upstream")
                assert id is not None
                server = harness.balancer.servers[id]
                harness.record_leaving(server.upstream)
                upstreams[int(id.removeprefix("u"))].crash()

            for upstream in upstreams:
                upstream.scripts[:] = [leave]
            for _ in range(2 * MAX_CRASHES):
                failed = await harness.send_request("/charge/7", BAD_BODY)
                assert failed.status == 502
            assert not len(harness.notices.crashes.ledger)

        self.run(test)

    @pytest.mark.parametrize("at_once", [True, False])
    def test_upstream_is_replaced(self, at_once: bool) -> None:
        """Guards against a block for upstreams that end before a new start.

        Only one that is replaced without having ended before has crashed.
        """

        async def test(harness: Harness, upstreams: list[RawUpstream]) -> None:
            for upstream in upstreams:
                upstream.scripts[:] = [close_connection]
            await harness.send_request("/charge/7", BAD_BODY)
            crashes = harness.notices.crashes
            assert not len(crashes.ledger)
            old = [s.upstream for s in harness.balancer.servers.values()]
            ended = [replace(u, state=UpstreamState.GONE) for u in old]
            started = [replace(u, id=f"{u.id}-new") for u in old]
            if at_once:
                harness.notices.record_states([*ended, *started])
            else:
                harness.notices.record_states(ended)
                harness.notices.record_states(started)
            assert len(crashes.ledger) == at_once

        self.run(test)


class TestFleet:
    """What one router learns, all others know."""

    def run(
        self,
        folder: Path,
        test: Callable[[Fleet, list[RawUpstream]], Awaitable[None]],
    ) -> None:
        """Run a test with a router that has learned of the request."""

        async def main(fleet: Fleet) -> None:
            fleet.start_router()
            router = fleet.router
            assert router is not None
            await fleet.submit(7)
            async with AsyncExitStack() as stack:
                upstreams = []
                for number in range(UPSTREAMS):
                    raw = await stack.enter_async_context(run_raw_upstream())
                    raw.scripts[:] = [crash_on_bad_request(raw)]
                    upstreams.append(raw)
                    announced = build_upstream(f"u{number}", raw.port, "app")
                    fleet.registrars[0].announce(announced)
                await fleet.wait(router.is_ready)
                await fleet.wait(
                    lambda: len(router.subscription.registry) == UPSTREAMS
                )
                await anyio.sleep(0.3)
                for _ in range(MAX_CRASHES):
                    await ask(fleet.router_address, "/read/7")
                await test(fleet, upstreams)

        run_fleet(folder, main)

    def test_other_router_refuses_as_well(self, tmp_path: Path) -> None:
        """Guards against a request that ends upstreams at each router."""

        async def test(fleet: Fleet, upstreams: list[RawUpstream]) -> None:
            other, address = fleet.start_further_router("r2")
            await fleet.wait(other.is_ready)
            await anyio.sleep(WINDOW_S / 2)
            for _ in range(4):
                assert await ask(address, "/read/7") == 503
            assert await ask(address, "/read/8") == 200
            crashed = sum(upstream.has_crashed for upstream in upstreams)
            assert crashed == MAX_CRASHES

        self.run(tmp_path, test)

    def test_controllers_are_down(self, tmp_path: Path) -> None:
        """Guards against a request of which only a lost controller knew."""

        async def test(fleet: Fleet, upstreams: list[RawUpstream]) -> None:
            # New routers find the first one through their seeds.
            fleet.stops[1].set()
            fleet.stops[2].set()
            await anyio.sleep(WINDOW_S / 2)
            other, address = fleet.start_further_router("r2")
            await fleet.wait(other.is_ready)
            assert await ask(address, "/read/7") == 503
            crashed = sum(upstream.has_crashed for upstream in upstreams)
            assert crashed == MAX_CRASHES

        self.run(tmp_path, test)

    def test_all_processes_restart(self, tmp_path: Path) -> None:
        """Guards against a request that is forgotten with a loss of power."""

        async def test(fleet: Fleet, upstreams: list[RawUpstream]) -> None:
            await anyio.sleep(WINDOW_S / 2)
            sound = (
                build_upstream(f"u{number}", raw.port, "app")
                for number, raw in enumerate(upstreams)
                if not raw.has_crashed
            )
            await restart_all(fleet, *sound)
            router, address = fleet.start_further_router("r2")
            await fleet.wait(router.is_ready)
            assert await ask(address, "/read/8") == 200
            assert await ask(address, "/read/7") == 503
            crashed = sum(upstream.has_crashed for upstream in upstreams)
            assert crashed == MAX_CRASHES

        self.run(tmp_path, test)

    @pytest.mark.parametrize("controllers", [3, 0])
    def test_request_was_answered_before(
        self, tmp_path: Path, controllers: int
    ) -> None:
        """Guards against crashes that an earlier answer excuses."""

        async def test(fleet: Fleet, upstreams: list[RawUpstream]) -> None:
            others = [fleet.start_further_router(host) for host in "ab"]
            for router, _ in others:
                await fleet.wait(router.is_ready)
            for upstream in upstreams:
                upstream.scripts[:] = [send_response()]
            assert await ask(fleet.router_address, "/charge/1/7") == 200
            for upstream in upstreams:
                upstream.scripts[:] = [crash_on_bad_request(upstream)]
            for _ in range(MAX_CRASHES):
                await ask(fleet.router_address, "/charge/1/7")
            await anyio.sleep(WINDOW_S)
            for stop in list(fleet.stops.values())[controllers:]:
                stop.set()
            await anyio.sleep(0.3)
            for _, address in others * MAX_CRASHES:
                assert await ask(address, "/charge/1/7") == 503

        self.run(tmp_path, test)

    def test_upstreams_start_again_at_once(self, tmp_path: Path) -> None:
        """Guards against crashes of upstreams that refuse no connections.

        What starts them again keeps their sockets open.
        """

        async def main(fleet: Fleet) -> None:
            fleet.start_router()
            assert fleet.router is not None
            registry = fleet.router.subscription.registry
            digests = fleet.router.notices.crashes.digests
            await fleet.submit(7)
            crashes = 0
            async with AsyncExitStack() as stack:
                upstreams = [
                    await stack.enter_async_context(run_raw_upstream())
                    for _ in range(UPSTREAMS)
                ]

                def start(number: int, started_ms: int) -> None:
                    id = f"u{number}-{started_ms // 2}"
                    ready = build_upstream(id, upstreams[number].port, "app")
                    ready.started_ms = started_ms
                    fleet.registrars[0].announce(ready)

                for number, raw in enumerate(upstreams):

                    async def crash(
                        stream: anyio.abc.SocketStream,
                        received: ReceivedRequest,
                        number: int = number,
                    ) -> None:
                        nonlocal crashes
                        crashes += 1
                        await stream.aclose()
                        # Half of them keep their id.
                        start(number, 2 + number % 2)

                    raw.scripts[:] = [crash]
                    start(number, 1 + number % 2)
                await fleet.wait(fleet.router.is_ready)
                await fleet.wait(lambda: len(registry) == UPSTREAMS)
                await fleet.wait(lambda: digests._is_fleet_key)
                for _ in range(2 * MAX_CRASHES):
                    # It is sent to one upstream only.
                    status = await ask(fleet.router_address, "/charge/7")
                    await anyio.sleep(WINDOW_S / MAX_CRASHES / 2)
                assert crashes <= MAX_CRASHES
                assert status == 503

        run_fleet(tmp_path, main)


async def ask(address: str, path: str) -> int:
    """Send a request with `BAD_BODY`; return its status, 0 if it broke off."""
    headers = [
        (b"host", b"api.example"),
        (b"hornbeamyard-request", b"q1"),
        (b"authorization", b"Bearer k1"),
    ]
    async with httpcore.AsyncConnectionPool() as client:
        try:
            response = await client.request(
                "POST",
                f"http://{address}{path}",
                headers=headers,
                content=BAD_BODY,
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return 0
    return int(response.status)


class TestDelivery:
    """Routers of a fleet without a route directory stop sending it."""

    CHAT = "/v1/chat/completions"
    NOTICES = "/services/notices/"

    async def send_bad(
        self, fleet: InProcessFleet, path: str, **options: object
    ) -> Response:
        """Send the request that crashes upstreams."""
        document = {"model": MODEL, "id": "bad", "fault": "crash", **options}
        return await fleet.post(path, document)

    @staticmethod
    def count_crashed(fleet: InProcessFleet) -> int:
        """Return how many upstreams have run the request."""
        return fleet.count_runs("bad")

    @pytest.mark.parametrize("stream", [False, True])
    @pytest.mark.parametrize("pool", [MODEL, SERVICE])
    def test_upstreams_go_on_crashing(self, pool: str, stream: bool) -> None:
        """Guards against a repeated request that ends all upstreams."""
        path = self.CHAT if pool == MODEL else self.NOTICES

        async def main() -> None:
            async with run_routers(pool, workers=UPSTREAMS) as fleet:
                for _ in range(UPSTREAMS):
                    failed = await self.send_bad(fleet, path, stream=stream)
                assert self.count_crashed(fleet) <= MAX_CRASHES
                assert failed.get_outcome() == "not-run"
                assert "retry-after" in failed.headers
                sound = await fleet.post(path, {"model": MODEL, "id": "sound"})
                assert sound.status == 200

        anyio.run(main)

    def test_leaving_upstream_has_not_crashed(self) -> None:
        """Guards against a block for upstreams that end by themselves.

        They announce it while the request runs.
        """

        async def main() -> None:
            async with run_routers(SERVICE, workers=UPSTREAMS) as fleet:
                (router,) = fleet.routers
                for upstream in fleet.upstreams:
                    name, end = upstream.options.name, upstream.crash

                    def leave(
                        name: str = name, end: Callable[[], object] = end
                    ) -> None:
                        worker = router.registry.get(name)
                        assert worker is not None
                        router.registry.announce(replace(worker, leaving=True))
                        end()

                    upstream.crash = leave
                for _ in range(2 * MAX_CRASHES):
                    await self.send_bad(fleet, self.NOTICES)
                assert self.count_crashed(fleet) == 2 * MAX_CRASHES

        anyio.run(main)

    def test_upstreams_start_again_at_once(self) -> None:
        """Guards against crashes of upstreams that refuse no connections.

        What starts them again keeps their sockets open.
        """

        async def main() -> None:
            async with run_routers(SERVICE, workers=UPSTREAMS) as fleet:
                (router,) = fleet.routers
                for _ in range(UPSTREAMS):
                    before = self.count_crashed(fleet)
                    failed = await self.send_bad(
                        fleet, self.NOTICES, fault="early"
                    )
                    if self.count_crashed(fleet) == before:
                        break
                    (name,) = (
                        upstream.options.name
                        for upstream in fleet.upstreams
                        if "bad" in upstream.journal
                        and upstream.options.name not in restarted
                    )
                    restarted.append(name)
                    worker = router.registry.get(name)
                    assert worker is not None
                    router.announce(
                        replace(worker, incarnation=worker.incarnation + 1)
                    )
                assert self.count_crashed(fleet) <= MAX_CRASHES
                assert failed.get_outcome() == "not-run"

        restarted: list[str] = []
        anyio.run(main)

    def test_claimed_request(self) -> None:
        """Guards against a claimed request that ends further upstreams.

        Its claim is released, so that it may run later.
        """

        async def main() -> None:
            async with run_routers(SERVICE, workers=UPSTREAMS) as fleet:
                content = json.dumps({"id": "bad", "fault": "crash"}).encode()
                for number in range(UPSTREAMS):
                    failed = await fleet.send(
                        "POST",
                        self.NOTICES,
                        content,
                        idempotency_key=f"key-{number}",
                    )
                assert self.count_crashed(fleet) <= MAX_CRASHES
                assert failed.get_outcome() == "not-run"
                key = ("hotel", f"key-{UPSTREAMS - 1}")
                assert key not in fleet.controller.claims

        anyio.run(main)

    def test_waiting_requests(self) -> None:
        """Guards against requests that waited while it became known."""

        async def main() -> None:
            async with run_routers(
                SERVICE, workers=UPSTREAMS, slots=1
            ) as fleet:
                outcomes: list[str] = []

                async def send() -> None:
                    failed = await self.send_bad(fleet, self.NOTICES)
                    outcomes.append(failed.get_outcome())

                async with anyio.create_task_group() as tasks:
                    # Sound requests take all slots but `MAX_CRASHES`.
                    for _ in fleet.upstreams[MAX_CRASHES:]:
                        tasks.start_soon(
                            fleet.post,
                            self.NOTICES,
                            {"id": "slow", "max_tokens": 200},
                        )
                    while fleet.count_runs("slow") < UPSTREAMS - MAX_CRASHES:
                        await anyio.sleep(0.01)
                    started_at = anyio.current_time()
                    async with anyio.create_task_group() as bad:
                        for _ in range(UPSTREAMS):
                            bad.start_soon(send)
                    # Refused at once, not when slots come free.
                    assert anyio.current_time() - started_at < 0.8
                assert self.count_crashed(fleet) <= MAX_CRASHES
                assert outcomes.count("not-run") == UPSTREAMS - MAX_CRASHES

        anyio.run(main)


class TestCrashExchange:
    """Routers without a route directory learn of crashes as well."""

    @staticmethod
    async def run(
        test: Callable[[CrashHub, list[CrashReports]], Awaitable[None]],
    ) -> None:
        """Run a test with a controller that doesn't lead and two routers."""
        timers = MonotonicTimers()
        replica = SimpleNamespace(
            leader_host="",
            state=SimpleNamespace(digest_key=b"k" * KEY_SIZE),
        )
        hub = CrashHub(cast(Replica, replica), timers)
        server = peers.create_server()
        fleet_pb2_grpc.add_FleetServicer_to_server(
            FleetService("test", cast(Controller, None), timers, hub), server
        )
        address = f"127.0.0.1:{find_free_port()}"
        peers.add_port(server, address, None)
        await server.start()
        routers = []
        async with anyio.create_task_group() as tasks:
            for host in ("r1", "r2"):
                reports = CrashReports(host, timers, lambda _: None)
                routers.append(reports)
                identity = fleet_pb2.Identity(
                    fleet="test", protocol=peers.PROTOCOL_VERSION, host=host
                )
                subscription = CrashSubscription(
                    identity, {"c1": address}, None, timers, reports
                )
                tasks.start_soon(subscription.run)
            with anyio.fail_after(10):
                await test(hub, routers)
            tasks.cancel_scope.cancel()
        with anyio.CancelScope(shield=True):
            await server.stop(grace=0)

    def test_other_router_blocks_as_well(self) -> None:
        """Guards against a request that ends upstreams at each router."""

        async def test(hub: CrashHub, routers: list[CrashReports]) -> None:
            def compute_digests() -> set[str]:
                return {
                    reports.digests.compute("GET", b"/7", "hotel", b"")
                    for reports in routers
                }

            # All routers have the fleet's key.
            while len(compute_digests()) > 1:
                await anyio.sleep(0.01)
            (digest,) = compute_digests()
            for number in range(MAX_CRASHES):
                await routers[number % 2].record_broken(
                    UpstreamStart(f"u{number}", 1),
                    f"http://127.0.0.1:{find_free_port()}",
                    (digest,),
                    anyio.current_time(),
                    UpstreamConnections(),
                )
            for ledger in (hub.ledger, *(r.ledger for r in routers)):
                while digest not in ledger.blocked:
                    await anyio.sleep(0.01)

        anyio.run(self.run, test)
