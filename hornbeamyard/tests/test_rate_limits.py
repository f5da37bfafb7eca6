"""Tests of upstreams that name the rate of requests that they take."""

from __future__ import annotations

from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path

import anyio

from hornbeamyard.connection.limit_reports import LimitReports
from hornbeamyard.pool.rate_limits import (
    SETTLING_S,
    FleetPosition,
    FleetPositionEstimate,
    RateLimits,
    RateObservation,
)
from hornbeamyard.pool.upstream_registry import UpstreamStart
from hornbeamyard.process.timers import VirtualTimers

from .raw_upstream import run_raw_upstream, send_response
from .test_balancer import build_balancer
from .test_crashing_parts import ask
from .test_directory import Fleet, build_upstream, run_fleet
from .test_forwarding import Harness, run

MAX_RATE = "hornbeamyard-max-rate"
# Requests a second that the upstreams take.
RATE = 2.0
# Requests that an upstream may get in `WINDOW_S` at most.
WINDOW_S = 4.0
MAX_REQUESTS = 1.5 * RATE * WINDOW_S + 5
# Requests that callers send in less than the window.
SENT = 60

name_limit = send_response(headers=(f"{MAX_RATE}: {RATE}",))


class TestRouter:
    """One router keeps to the limit for as long as the upstream names it."""

    def test_upstream_gets_more_than_its_limit(self) -> None:
        """Guards against requests beyond the limit of the only upstream."""

        async def test(harness: Harness) -> None:
            statuses = []
            for number in range(SENT):
                received = await harness.send_request(f"/charge/{number}")
                statuses.append(received.status)
                await anyio.sleep(0.01)
            limited = harness.raw_upstreams[0]  # type: ignore[attr-defined]
            assert 1 < len(limited.received) <= MAX_REQUESTS
            assert set(statuses) == {200, 503}

        run(test, [name_limit])

    def test_others_take_the_rest(self) -> None:
        """Guards against requests refused while another upstream has room."""

        async def test(harness: Harness) -> None:
            for number in range(SENT):
                received = await harness.send_request(f"/charge/{number}")
                assert received.status == 200
            limited = harness.raw_upstreams[0]  # type: ignore[attr-defined]
            assert len(limited.received) <= MAX_REQUESTS

        run(test, [name_limit], [send_response()])

    def test_limit_that_is_no_longer_named(self) -> None:
        """Guards against a limit that is kept after it has ended."""

        async def test(harness: Harness) -> None:
            await harness.send_request("/charge/0")
            # Long enough for a request within the limit.
            await anyio.sleep(1.0)
            for number in range(SENT):
                received = await harness.send_request(f"/charge/{number}")
                assert received.status == 200

        run(test, [name_limit, send_response()])


class TestFleet:
    """The limit is for all routers together."""

    ROUTERS = 4

    def test_each_router_takes_all_of_it(self, tmp_path: Path) -> None:
        """Guards against a limit that each router takes for itself.

        The routers get requests one after the other, so that most of them
        have to learn of the limit from the first one.
        """

        async def test(fleet: Fleet) -> None:
            routers = [
                fleet.start_further_router(f"r{number}")
                for number in range(self.ROUTERS)
            ]
            await fleet.submit(7)
            async with AsyncExitStack() as stack:
                raw = await stack.enter_async_context(
                    run_raw_upstream(name_limit)
                )
                fleet.registrars[0].announce(
                    build_upstream("u0", raw.port, "app")
                )
                for router, _ in routers:
                    await fleet.wait(router.is_ready)
                assert await ask(routers[0][1], 0, "s") == 200
                await anyio.sleep(0.5)
                for number in range(SENT):
                    address = routers[number % self.ROUTERS][1]
                    await ask(address, number, "s")
                    await anyio.sleep(WINDOW_S / 2 / SENT)
                assert 1 < len(raw.received) <= MAX_REQUESTS

        run_fleet(tmp_path, test)


class TestPlace:
    """Routers know their position also while controllers start again."""

    def test_few_routers_known(self) -> None:
        """Guards against routers that each take the whole limit."""
        estimate = FleetPositionEstimate(0.0)
        estimate.record_count(9, 4, 1.0)
        estimate.record_count(2, 1, 2.0)
        assert estimate.get().routers == 9
        estimate.record_count(2, 1, 1.0 + SETTLING_S)
        assert estimate.get().routers == 2

    def test_new_leader(self) -> None:
        """Guards against a jump when a leader knows this router only."""
        estimate = FleetPositionEstimate(0.0)
        estimate.record_count(10, 4, 1.0)
        estimate.record_fraction(1.0)
        assert estimate.get().fraction < 0.2


class TestObservations:
    """The newest response decides, whichever router has got it."""

    def test_older_observation_is_corrected(self) -> None:
        """Guards against a limit that others take for ended."""
        changed: list[UpstreamStart] = []
        timers = VirtualTimers()
        reports = LimitReports(timers, changed.append)
        upstream = UpstreamStart("u1", 1)
        reports.observe(upstream, 3.0)
        older = RateObservation(upstream, None, timers.now() - 1.0)
        reports.apply([older])
        assert reports.limits.find(upstream) == 3.0
        assert reports.limits.contradicts(older)
        newer = RateObservation(upstream, None, timers.now() + 1.0)
        reports.apply([newer])
        assert reports.limits.find(upstream) is None
        assert changed == [upstream, upstream]

    def test_upstream_that_started_again(self) -> None:
        """Guards against the limit of an earlier start."""
        limits = RateLimits()
        balancer = build_balancer(engines=1, rate_limits=limits)
        [server] = balancer.servers.values()
        limits.record(RateObservation(server.upstream.start, 0.5, 0.0))
        balancer.set_fleet_position(FleetPosition(), 0.0)
        assert server.compute_rate_wait(0.0) > 0
        restarted = replace(server.upstream, started_ms=99)
        balancer.apply_upstream(restarted)
        balancer.set_fleet_position(FleetPosition(), 0.0)
        assert balancer.servers[restarted.id].compute_rate_wait(0.0) == 0
