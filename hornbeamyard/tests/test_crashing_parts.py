"""Tests of prompt parts that crash the upstreams that answer them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import anyio.abc
import httpcore

from hornbeamyard.messages import fleet_pb2

from .raw_upstream import (
    RawUpstream,
    ReceivedRequest,
    Script,
    run_raw_upstream,
    send_events,
)
from .test_directory import Fleet, build_upstream, restart_all, run_fleet
from .test_forwarding import Harness, ReceivedResponse, run

PARTS = "hornbeamyard-prompt-parts"
# Part of a prompt that crashes each upstream that begins to answer it.
BAD_PART = "bad0"
# Upstreams that may end before requests with the part are refused.
MAX_CRASHES = 5
# Time in which all routers learn of it.
WINDOW_S = 3.0


def build_parts(number: int, second_part: str) -> str:
    """Return the prompt parts of one request; no two are alike."""
    return f"route1:200,{second_part}:40,own{number}:9"


def crash_on_bad_part(upstream: RawUpstream) -> Script:
    """Return a script that crashes its upstream on requests with the part.

    The head of the response is sent before the crash. All other requests are
    answered.
    """
    answer = send_events(1, 3)

    async def respond(
        stream: anyio.abc.SocketStream, received: ReceivedRequest
    ) -> None:
        if BAD_PART not in (received.get_header(PARTS) or ""):
            await answer(stream, received)
            return
        await send_events(1, 0, complete=False)(stream, received)
        upstream.crash()

    return respond


class TestRouter:
    """One router stops sending requests with the part."""

    UPSTREAMS = 9

    def run(self, test: Callable[[Harness], Awaitable[None]]) -> None:
        """Run a test with upstreams that crash on the part."""

        async def main(harness: Harness) -> None:
            for upstream in harness.raw_upstreams:  # type: ignore[attr-defined]
                upstream.scripts[:] = [crash_on_bad_part(upstream)]
            await test(harness)

        run(main, *[[] for _ in range(self.UPSTREAMS)])

    @staticmethod
    async def send(
        harness: Harness, number: int, second_part: str, path: str = "/notice/"
    ) -> ReceivedResponse:
        """Send a request with the part `second_part` in its prompt."""
        parts = build_parts(number, second_part).encode()
        return await harness.send_request(
            f"{path}{number}", headers=((PARTS.encode(), parts),)
        )

    def test_upstreams_go_on_crashing(self) -> None:
        """Guards against a prompt part that ends one upstream after another.

        Sound requests that share the caller, the route and the first part
        stay served.
        """

        async def test(harness: Harness) -> None:
            upstreams = harness.raw_upstreams  # type: ignore[attr-defined]
            for number in range(3 * self.UPSTREAMS):
                failed = await self.send(harness, number, BAD_PART)
                assert failed.status in (0, 502, 503)
                sound = await self.send(harness, number, f"s{number % 4}")
                assert sound.status == 200
                assert sound.is_complete
            crashed = [up for up in upstreams if up.has_crashed]
            assert len(crashed) <= MAX_CRASHES
            assert failed.status == 503
            assert b"retry-after" in failed.headers

        self.run(test)

    def test_retries_do_not_carry_it_on(self) -> None:
        """Guards against upstreams that end under one request's retries."""

        async def test(harness: Harness) -> None:
            for number in range(self.UPSTREAMS):
                await self.send(harness, number, BAD_PART, "/chat/")
            upstreams = harness.raw_upstreams  # type: ignore[attr-defined]
            crashed = [up for up in upstreams if up.has_crashed]
            assert len(crashed) <= MAX_CRASHES

        self.run(test)


class TestFleet:
    """What one router learns, all others know."""

    UPSTREAMS = 8

    def run(
        self,
        folder: Path,
        test: Callable[[Fleet, list[RawUpstream]], Awaitable[None]],
    ) -> None:
        """Run a test with a router that has learned of the part."""

        async def main(fleet: Fleet) -> None:
            fleet.start_router()
            assert fleet.router is not None
            await fleet.submit(7)
            async with AsyncExitStack() as stack:
                upstreams = []
                for number in range(self.UPSTREAMS):
                    raw = await stack.enter_async_context(run_raw_upstream())
                    raw.scripts[:] = [crash_on_bad_part(raw)]
                    upstreams.append(raw)
                    announced = build_upstream(f"u{number}", raw.port, "app")
                    fleet.registrars[0].announce(announced)
                await fleet.wait(fleet.router.is_ready)
                await fleet.wait(
                    lambda: (
                        len(fleet.router.subscription.registry)  # type: ignore[union-attr]
                        == self.UPSTREAMS
                    )
                )
                for number in range(MAX_CRASHES):
                    await ask(fleet.router_address, number, BAD_PART)
                await test(fleet, upstreams)

        run_fleet(folder, main)

    def test_other_router_refuses_as_well(self, tmp_path: Path) -> None:
        """Guards against crashes that each router has to learn by itself."""

        async def test(fleet: Fleet, upstreams: list[RawUpstream]) -> None:
            crashed = sum(up.has_crashed for up in upstreams)
            other, address = fleet.start_further_router("r2")
            await fleet.wait(other.is_ready)
            await anyio.sleep(WINDOW_S / 2)
            for number in range(4):
                assert await ask(address, 100 + number, BAD_PART) == 503
                assert await ask(address, 200 + number, "sound") == 200
            assert sum(up.has_crashed for up in upstreams) == crashed

        self.run(tmp_path, test)

    def test_controllers_are_down(self, tmp_path: Path) -> None:
        """Guards against crashes that only a lost controller knew."""

        async def test(fleet: Fleet, upstreams: list[RawUpstream]) -> None:
            crashed = sum(up.has_crashed for up in upstreams)
            # New routers find the first one through their seeds.
            fleet.stops[1].set()
            fleet.stops[2].set()
            await anyio.sleep(WINDOW_S / 2)
            other, _ = fleet.start_further_router("r2")
            await fleet.wait(lambda: other.notices.crashes.ledger.blocked)
            assert sum(up.has_crashed for up in upstreams) == crashed

        self.run(tmp_path, test)

    def test_all_processes_restart(self, tmp_path: Path) -> None:
        """Guards against crashes that are forgotten with a loss of power."""

        async def test(fleet: Fleet, upstreams: list[RawUpstream]) -> None:
            await anyio.sleep(WINDOW_S / 2)
            await restart_all(fleet)
            for registrar in fleet.registrars.values():
                await fleet.wait(
                    lambda r=registrar: r.directory.crashes.blocked
                )  # type: ignore[misc]

        self.run(tmp_path, test)


class TestController:
    """A controller's work for one crash is bounded."""

    REPORTS = 20

    def test_reports_of_one_crash_are_sent_together(
        self, tmp_path: Path
    ) -> None:
        """Guards against a message to each router for each router's report.

        A crash breaks off requests of dozens of routers, each of which
        reports it with other suspects.
        """

        async def test(fleet: Fleet) -> None:
            directory = fleet.registrars[0].directory
            subscriber = directory.attach("r9/1")
            messages = 0

            async def receive() -> None:
                nonlocal messages
                while True:
                    subscriber.wake = anyio.Event()
                    update = directory.build_update(subscriber)
                    messages += len(update.crashes) > 0
                    await subscriber.wake.wait()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(receive)
                await anyio.sleep(0.05)
                for number in range(self.REPORTS):
                    suspect = fleet_pb2.SuspectedPart(part=f"p{number}")
                    crash = fleet_pb2.UpstreamCrash(
                        id="u1", suspects=[suspect]
                    )
                    report = fleet_pb2.RouterUsage(crashes=[crash])
                    directory.handle_usage(subscriber, report)
                    await anyio.sleep(0.001)
                await anyio.sleep(0.2)
                tasks.cancel_scope.cancel()
            assert 1 <= messages <= 3

        run_fleet(tmp_path, test)


async def ask(address: str, number: int, second_part: str) -> int:
    """Send a request to a router; return its status, 0 if it broke off."""
    headers = [
        (b"host", b"api.example"),
        (b"hornbeamyard-request", f"q{number}".encode()),
        (b"authorization", b"Bearer k1"),
        (PARTS.encode(), build_parts(number, second_part).encode()),
    ]
    async with httpcore.AsyncConnectionPool() as client:
        try:
            response = await client.request(
                "GET", f"http://{address}/notice/{number}", headers=headers
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return 0
    return int(response.status)
