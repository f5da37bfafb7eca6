"""Tests of upstreams that take few requests for some time after a start."""

from __future__ import annotations

import copy
import json
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from pathlib import Path

import anyio
import pytest

from hornbeamyard.pool.balancer import (
    Balancer,
    Refusal,
    RefusalReason,
)
from hornbeamyard.pool.choice import Placement, rank_engines
from hornbeamyard.pool.cold_starts import (
    MAX_UNREACHABLE_S,
    OVERSHOOT,
    SLACK,
    ColdReason,
    ColdStarts,
    divide_among,
    divide_cold_rate,
)
from hornbeamyard.pool.engine import Server
from hornbeamyard.pool.rate_limits import (
    FleetPosition,
    FleetPositionEstimate,
    RateLimiter,
    RateLimits,
    RateObservation,
)
from hornbeamyard.pool.shares import Shares
from hornbeamyard.pool.upstream_registry import (
    Upstream,
    UpstreamRegistry,
    UpstreamStart,
    UpstreamState,
)
from hornbeamyard.process.directory_router import DirectoryRouter
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.version.routing import Routing, parse_routing

from .test_balancer import build_balancer, build_demand, place
from .test_directory import Fleet, build_upstream, run_fleet
from .test_directory_router import build_router
from .test_forwarding import DOCUMENT

RATE = 6.9
START_S = 3.0
# Interval at which a router tries its waiting requests, in seconds.
STEP_S = 0.1
UPSTREAM = Upstream(
    "u", "model", "10.0.0.1:80", "z", UpstreamState.READY, 8, 1, 7
)


def build_cold_starts(rate: float = RATE) -> ColdStarts:
    """Return the cold starts of a pool with a rate."""
    cold_starts = ColdStarts()
    cold_starts.rate = rate
    cold_starts.start_s = START_S
    return cold_starts


def announce(
    cold_starts: ColdStarts, at: float, remaining_ms: int | None, **fields: int
) -> UpstreamStart:
    """Announce the upstream; return its start."""
    upstream = replace(
        UPSTREAM,
        last_seen_at=at,
        cold_remaining_ms=remaining_ms,
        **fields,  # type: ignore[arg-type]
    )
    cold_starts.record_announcement(upstream)
    return upstream.start


def renew(
    cold_starts: ColdStarts, at: float, remaining_ms: int | None
) -> None:
    """Repeat the announcement without a change, as the registry tells it."""
    upstream = replace(
        UPSTREAM, last_seen_at=at, cold_remaining_ms=remaining_ms
    )
    registry = UpstreamRegistry()
    registry.announce(upstream, at)
    cold_starts.confirm(registry, at)


class TestDecision:
    """Which upstreams are cold, and until when."""

    def test_announced(self) -> None:
        """Guards against a cold upstream that is sent requests at once."""
        cold = build_cold_starts()
        start = announce(cold, 0.0, 0)
        assert cold.count(0.0) == 0
        announce(cold, 10.0, 2000)
        assert cold.find_end(start, 10.0) == 12.0
        assert cold.count(12.0) == 0
        announce(cold, 11.0, 0)
        assert cold.count(11.0) == 0

    def test_start_without_a_word(self) -> None:
        """Guards against a new start that is taken for warm, or cold long."""
        cold = build_cold_starts()
        announce(cold, 0.0, 0)
        start = announce(cold, 10.0, None, started_ms=8)
        assert cold.find_end(start, 12.9) == 13.0
        announce(cold, 12.0, None, started_ms=8)
        assert cold.count(13.0) == 0

    def test_lost_and_back(self) -> None:
        """Guards against the word of an announcement that was on its way."""
        cold = build_cold_starts()
        start = announce(cold, 0.0, 0)
        cold.record_announcement(replace(UPSTREAM, state=UpstreamState.GONE))
        assert cold.count(9.0) == 0
        announce(cold, 10.0, 0)
        assert cold.find_end(start, 10.0) == 13.0
        renew(cold, 10.9, 0)
        assert cold.count(10.9) == 1
        renew(cold, 11.1, 0)
        assert cold.count(11.1) == 0

    @pytest.mark.parametrize(
        ("heard", "ends_at"), [(0, 26.0), (None, 29.0), (4000, 30.0)]
    )
    def test_unreachable(self, heard: int | None, ends_at: float) -> None:
        """Guards against a time that counts while the upstream is down."""
        cold = build_cold_starts()
        start = announce(cold, 0.0, heard and 0)
        cold.record_unreachable(start, 20.0)
        renew(cold, 20.5, heard and 0)
        assert cold.count(25.9) == 1
        announce(cold, 26.0, heard)
        cold.confirm(UpstreamRegistry(), 26.0)
        assert cold.count(ends_at - 0.01) == (ends_at > 26.0)
        assert cold.count(ends_at) == 0

    def test_unreachable_without_controllers(self) -> None:
        """Guards against an upstream that stays cold, or is warm too soon."""
        cold = build_cold_starts()
        start = announce(cold, 0.0, 0)
        cold.record_unreachable(start, 10.0)
        assert cold.find_end(start, 11.0) == 10.0 + MAX_UNREACHABLE_S
        cold.record_reached(start, 20.0)
        cold.record_reached(start, 21.0)
        assert cold.find_end(start, 20.0) == 20.0 + START_S

    def test_new_start_after_failure(self) -> None:
        """Guards against an old announcement that ends the caution."""
        cold = build_cold_starts()
        cold.record_unreachable(announce(cold, 0.0, 0), 10.0)
        start = announce(cold, 10.5, 0, started_ms=8)
        assert cold.find_end(start, 10.5) == 13.5

    def test_changes_are_told_once(self) -> None:
        """Guards against log lines for each announcement."""
        cold = build_cold_starts()
        start = announce(cold, 0.0, 0)
        assert cold.collect_changes(0.0) == []
        cold.record_returned(start, 1.0)
        [change] = cold.collect_changes(1.0)
        assert change.reason is ColdReason.RETURNED
        announce(cold, 1.5, 1000)
        assert cold.collect_changes(1.5) == []
        [change] = cold.collect_changes(9.0)
        assert change.reason is None

    def test_lost_upstreams_are_forgotten(self) -> None:
        """Guards against memory that grows with each start."""
        cold = build_cold_starts()
        announce(cold, 0.0, None)
        cold.record_announcement(replace(UPSTREAM, state=UpstreamState.GONE))
        cold.confirm(UpstreamRegistry(), 10.0)
        cold.confirm(UpstreamRegistry(), 200.0)
        start = announce(cold, 201.0, 0)
        assert cold.find_end(start, 201.0) < 0

    def test_no_rate(self) -> None:
        """Guards against a limit in pools that don't name one."""
        cold = build_cold_starts(rate=0.0)
        start = announce(cold, 0.0, 5000)
        cold.record_unreachable(start, 1.0)
        assert cold.count(1.0) == 0


class TestRegistry:
    """Announcements of cold upstreams are passed on."""

    def test_each_announcement_is_a_change(self) -> None:
        """Guards against renewals that don't say how long it remains cold."""
        registry = UpstreamRegistry()
        changes = []
        for sequence, remaining_ms in enumerate((2000, 2000, 0, 0, 500), 1):
            upstream = replace(
                UPSTREAM, sequence=sequence, cold_remaining_ms=remaining_ms
            )
            changes.append(len(registry.announce(upstream, 0.0)))
        assert changes == [1, 1, 1, 0, 1]


def build_positions(routers: int, view: str) -> list[FleetPosition]:
    """Return positions of routers, of which groups may see different fleets.

    Parameters
    ----------
    routers : int
    view : str
        "same": all know the same; "partition": each half knows only itself;
        "stale": half of them have an older count in another order; "random":
        all have numbers that mean nothing.
    """
    rng = random.Random(routers)
    numbers = list(range(1, routers + 1))
    half = routers // 2
    counts = [routers] * routers
    if view == "partition":
        numbers[:half] = range(1, half + 1)
        numbers[half:] = range(1, routers - half + 1)
        counts = [half] * half + [routers - half] * (routers - half)
    if view == "stale":
        others = numbers[half:]
        rng.shuffle(others)
        numbers[half:] = others
        counts[half:] = [routers - routers // 20] * (routers - half)
    if view == "random":
        numbers = [rng.randint(1, routers) for _ in numbers]
    return [
        FleetPosition(count, number, 1 / count)
        for count, number in zip(counts, numbers, strict=True)
    ]


def send(
    positions: Iterable[FleetPosition],
    is_waiting: Callable[[float], bool],
    rate: float = RATE,
    duration_s: float = 30.0,
) -> list[float]:
    """Return when routers send requests to a cold upstream.

    They try in steps of `STEP_S`, each at its own phase, as long as work
    waits.
    """
    rng = random.Random(1)
    times = []
    for position in positions:
        part = divide_cold_rate(rate, UPSTREAM.start, position)
        limiter = RateLimiter(part.rate, 0.0, part.first_tokens, part.burst)
        now = rng.random() * STEP_S
        while now < duration_s:
            # Several requests may be tried in one step.
            while is_waiting(now) and limiter.compute_wait(now) == 0:
                limiter.take(now)
                times.append(now)
            now += STEP_S
    return sorted(times)


def count_highest(times: list[float]) -> int:
    """Return the most requests in any window of one second."""
    highest = first = 0
    for last, time in enumerate(times):
        while times[first] < time - 1.0:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


class TestDivision:
    """The routers' parts together, in every second."""

    @pytest.mark.parametrize("rate", [0.5, 2.0, RATE, 15.0])
    @pytest.mark.parametrize("view", ["same", "partition", "stale", "random"])
    @pytest.mark.parametrize("routers", [1, 2, 4, 10, 82, 300])
    def test_bound(self, routers: int, view: str, rate: float) -> None:
        """Guards against buckets that fill up together, or two views.

        All routers have work for a moment after a pause of 15 s, and then
        without end.
        """
        times = send(
            build_positions(routers, view),
            lambda now: now < 5.0 or now > 20.0,
            rate,
            25.0,
        )
        assert count_highest(times) <= rate * OVERSHOOT + SLACK

    @pytest.mark.parametrize("rate", [0.1, 1.0, RATE, 15.0, 30.0, 120.0, 1e3])
    def test_full_buckets(self, rate: float) -> None:
        """Guards against a number of routers that the trials above miss.

        Above 15 requests a second only one group keeps to the bound.
        """

        def count_at_most(routers: int) -> int:
            chosen, part = divide_among(rate, routers)
            burst = 1 if part < 1 else 1 + part * STEP_S
            return chosen * int(burst + part)

        highest = [count_at_most(routers) for routers in range(1, 301)]
        groups = 2 if rate <= 15 else 1
        assert groups * max(highest) <= rate * OVERSHOOT + SLACK

    @pytest.mark.parametrize("rate", [2.0, RATE, 30.0])
    @pytest.mark.parametrize("routers", [1, 4, 10, 82, 300])
    def test_rate_is_used(self, routers: int, rate: float) -> None:
        """Guards against a rate that is divided but not handed out."""
        positions = build_positions(routers, "same")
        times = send(positions, lambda now: True, rate, START_S)
        # Also in the few seconds of one start.
        assert len(times) >= int(0.7 * rate * START_S)
        times = send(positions, lambda now: True, rate)
        assert len(times) >= 0.7 * rate * 30.0

    def test_number_of_another_count(self) -> None:
        """Guards against a number that belongs to another controller."""
        estimate = FleetPositionEstimate(0.0)
        estimate.record_count(82, 70, 1.0)
        estimate.record_count(5, 3, 2.0)
        assert (estimate.get().routers, estimate.get().number) == (82, 70)


def build_cold_balancer(
    engines: int = 5, rate_limits: RateLimits | None = None
) -> Balancer:
    """Return a balancer of idle engines whose pool has a cold rate."""
    balancer = build_balancer(engines, rate_limits=rate_limits)
    balancer.cold_starts.rate = RATE
    balancer.cold_starts.start_s = START_S
    balancer.set_fleet_position(FleetPosition(82, 1, 1 / 82), 50.0)
    return balancer


def find_router(id: str, is_chosen: bool) -> FleetPosition:
    """Return the position of a router with a part of a rate, or without."""
    for number in range(1, 83):
        position = FleetPosition(82, number, 1 / 82)
        part = divide_cold_rate(RATE, UpstreamStart(id, 0), position)
        if (part.rate > 0) is is_chosen:
            return position
    raise AssertionError(f"no router for {id}")


class TestBalancer:
    """Requests go to other upstreams while some are cold."""

    def test_new_starts_are_warm_after_their_time(self) -> None:
        """Guards against a pool that stays limited."""
        balancer = build_cold_balancer()
        assert balancer.cold_starts.count(1.0) == 5
        assert balancer.cold_starts.count(50.0) == 0
        assert all(s.limiter is None for s in balancer.servers.values())

    def test_preferred_engine_is_cold(self) -> None:
        """Guards against requests that wait for their preferred engine."""
        balancer = build_cold_balancer()
        order = rank_engines("p", balancer.servers.values())
        balancer.set_fleet_position(find_router(order[0], False), 50.0)
        balancer.record_returned([order[0]], 50.0)
        demand = build_demand(shared=5000, now=50.0)
        assert place(balancer, demand, 50.0).server.id == order[1]

    def test_cold_engines_among_warm_ones(self) -> None:
        """Guards against shares that are cut for want of cold engines."""
        balancer = build_cold_balancer()
        balancer.record_returned(["e0", "e1", "e2", "e3", "other"], 50.0)
        assert balancer.has_headroom(50.0)
        assert not balancer.is_overloaded(50.0)
        for _ in range(10):
            place(balancer, build_demand(now=50.0), 50.0)
        assert balancer.cold_starts.held_requests == 0

    def test_all_engines_are_cold(self) -> None:
        """Guards against a refusal just before the engines are warm."""
        balancer = build_cold_balancer(engines=1)
        balancer.set_fleet_position(find_router("e0", False), 50.0)
        balancer.record_returned(["e0"], 50.0)

        async def admit(now: float) -> None:
            with anyio.move_on_after(0.05):
                admitted = await balancer.admit(
                    build_demand(now=now), now, frozenset()
                )
                refusals.append(admitted)

        refusals: list[Placement | Refusal] = []
        anyio.run(admit, 51.0)
        [refusal] = refusals
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.RATE_LIMITED
        anyio.run(admit, 52.95)
        assert len(refusals) == 1
        assert balancer.cold_starts.held_requests == 2

    def test_token_of_a_router_that_is_not_chosen(self) -> None:
        """Guards against tokens that outlive a change of the numbers."""
        balancer = build_cold_balancer(engines=1)
        [server] = balancer.servers.values()
        balancer.set_fleet_position(find_router("e0", True), 50.0)
        balancer.record_unreachable(server.upstream.start, 50.0)
        assert server.compute_rate_wait(55.0) == 0
        balancer.set_fleet_position(find_router("e0", False), 55.0)
        assert server.compute_rate_wait(56.0) == float("inf")

    def test_cold_since_the_placement(self) -> None:
        """Guards against requests that wait for connections to cold ones."""
        balancer = build_cold_balancer(engines=1)
        balancer.set_fleet_position(FleetPosition(1, 1, 1.0), 50.0)
        placed = place(balancer, build_demand(now=50.0), 50.0)
        balancer.record_returned(["e0"], 50.0)
        assert balancer.has_become_cold(placed, 50.0)
        assert not balancer.has_become_cold(placed, 60.0)
        placed = place(balancer, build_demand(now=51.0), 51.0)
        assert not balancer.has_become_cold(placed, 51.0)

    def test_named_limit(self) -> None:
        """Guards against a named limit that is exceeded, or forgotten."""
        limits = RateLimits()
        balancer = build_cold_balancer(engines=1, rate_limits=limits)
        [server] = balancer.servers.values()
        position = FleetPosition(1, 1, 1.0)
        for named, lower in ((2.0, 2.0), (50.0, 0.85 * RATE)):
            limits.record(RateObservation(server.upstream.start, named, 50.0))
            balancer.record_returned(["e0"], 50.0)
            balancer.set_fleet_position(position, 50.0)
            assert server.limiter is not None
            assert server.limiter.rate == pytest.approx(lower)
        balancer.set_fleet_position(position, 60.0)
        assert server.limiter is not None
        assert server.limiter.rate == 50.0

    def test_zone_comes_back(self) -> None:
        """Guards against the burst of 17 and 19 requests that was seen.

        Half of 36 upstreams come back while 82 routers have more requests and
        resumed streams than the other half takes.
        """
        balancers = []
        for number in range(82):
            balancer = Balancer(
                "app",
                "z",
                Shares(),
                random.Random(number).random,
                anyio.move_on_after,
            )
            balancer.cold_starts.rate = RATE
            balancer.cold_starts.start_s = START_S
            for n in range(36):
                balancer.apply_upstream(
                    replace(
                        UPSTREAM,
                        id=f"u{n}",
                        address=f"10.0.0.{n}:80",
                        # No more than two of a router's requests.
                        slots=1,
                        cold_remaining_ms=0,
                    )
                )
            position = FleetPosition(82, number + 1, 1 / 82)
            balancer.set_fleet_position(position, 10.0)
            balancer.record_returned([f"u{n}" for n in range(18)], 10.0)
            balancers.append(balancer)
        times: dict[str, list[float]] = {}
        for step in range(int(START_S / STEP_S)):
            now = 10.0 + step * STEP_S
            for balancer in balancers:
                for number in range(4):
                    version = "" if number % 2 else None
                    demand = build_demand(now=now, software_version=version)
                    placed = balancer.place(demand, now, frozenset())
                    if not isinstance(placed, Placement):
                        break
                    balancer.start(placed, demand, now)
                    if placed.server.cold_until > now:
                        balancer.finish(placed, demand)
                        times.setdefault(placed.server.id, []).append(now)
        assert len(times) == 18
        for sent in times.values():
            assert count_highest(sent) <= RATE * OVERSHOOT + SLACK
            assert len(sent) >= int(0.7 * RATE * START_S)


class TestRouter:
    """A router applies what it hears and sees at once."""

    ROUTING = parse_routing(
        {
            "version": 1,
            "routes": [],
            "pools": [
                {"name": "model", "cold_rate": RATE, "cold_start_s": START_S}
            ],
        }
    ).unwrap()

    def run(
        self,
        test: Callable[[DirectoryRouter, VirtualTimers], Awaitable[None]],
        routing: Routing = ROUTING,
    ) -> list[dict[str, object]]:
        """Run a test with a router; return its log lines."""

        async def main() -> None:
            timers = VirtualTimers(start=100.0)
            router, stream, writer = build_router(timers)
            router.routing = routing
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(router._run_maintenance)
                await test(router, timers)
                tasks.cancel_scope.cancel()
            writer.flush(1.0)
            lines.extend(map(json.loads, stream.getvalue().splitlines()))

        lines: list[dict[str, object]] = []
        anyio.run(main)
        return lines

    def hear(
        self, router: DirectoryRouter, timers: VirtualTimers, **fields: object
    ) -> Server:
        """Apply an announcement; return what the router knows."""
        upstream = replace(
            UPSTREAM,
            last_seen_at=timers.now(),
            **fields,  # type: ignore[arg-type]
        )
        router._handle_upstreams(
            router.subscription.registry.announce(upstream, timers.now())
        )
        return router.find_balancer("model").servers["u"]

    def test_announced(self) -> None:
        """Guards against a limit that comes late, or stays."""

        async def test(router: DirectoryRouter, timers: VirtualTimers) -> None:
            server = self.hear(router, timers, cold_remaining_ms=0)
            assert server.limiter is None
            server = self.hear(
                router, timers, sequence=2, cold_remaining_ms=1000
            )
            assert server.limiter is not None
            await timers.advance(0.95)
            metrics = router.metrics.render().decode()
            assert 'upstreams_cold{pool="model"} 1.0' in metrics
            assert 'requests_held_by_cold_total{pool="model"} 0.0' in metrics
            assert server.limiter is not None
            await timers.advance(0.15)
            assert server.limiter is None

        lines = self.run(test)
        changes = [line for line in lines if "_cold" in str(line["event"])]
        [change] = changes
        assert change["reason"] == "announced"
        assert [line["event"] for line in lines][-1] == "upstream_warm"

    def test_refused_connections(self) -> None:
        """Guards against a burst when an upstream listens again."""

        async def test(router: DirectoryRouter, timers: VirtualTimers) -> None:
            server = self.hear(router, timers, cold_remaining_ms=0)
            router._upstreams.on_refused("http://10.0.0.1:80")
            assert server.limiter is not None
            await timers.advance(1.1)
            # Unchanged, so that only the registry records it.
            self.hear(router, timers, sequence=2, cold_remaining_ms=0)
            assert server.limiter is not None
            await timers.advance(0.1)
            assert server.limiter is None

        self.run(test)

    def test_answer_while_no_controller_is_there(self) -> None:
        """Guards against an upstream that stays limited after a restart."""

        async def test(router: DirectoryRouter, timers: VirtualTimers) -> None:
            server = self.hear(router, timers, cold_remaining_ms=0)
            router._upstreams.on_refused("http://10.0.0.1:80")
            await timers.advance(9.0)
            router.notices.record_limit(UPSTREAM.start, None)
            await timers.advance(START_S - 0.1)
            assert server.limiter is not None
            await timers.advance(0.2)
            assert server.limiter is None

        self.run(test)

    def test_pool_without_a_rate(self) -> None:
        """Guards against a change for deployments that name no rate."""

        async def test(router: DirectoryRouter, timers: VirtualTimers) -> None:
            server = self.hear(router, timers)
            router._upstreams.on_refused("http://10.0.0.1:80")
            await timers.advance(0.2)
            assert server.limiter is None

        document = {"version": 1, "routes": [], "pools": [{"name": "model"}]}
        lines = self.run(test, parse_routing(document).unwrap())
        assert [line["event"] for line in lines] == ["upstream"]

    def test_fleet(self, tmp_path: Path) -> None:
        """Guards against a router that starts and takes cold for warm.

        The limit also ends when no controller is there any more.
        """

        async def test(fleet: Fleet) -> None:
            document = copy.deepcopy(DOCUMENT)
            for pool in document["pools"]:
                pool |= {"cold_rate": RATE, "cold_start_s": START_S}
            await fleet.submit(7, document)
            upstream = build_upstream("u1", 9, "app")
            first, _ = fleet.start_further_router("r1")
            fleet.registrars[0].announce(replace(upstream))
            await fleet.wait(first.is_ready)
            upstream = replace(upstream, sequence=2, cold_remaining_ms=4000)
            fleet.registrars[0].announce(upstream)

            def is_cold(router: DirectoryRouter) -> bool:
                server = router.find_balancer("app").servers.get("u1")
                return server is not None and server.limiter is not None

            await fleet.wait(lambda: is_cold(first))
            second, _ = fleet.start_further_router("r2")
            await fleet.wait(lambda: is_cold(second) and second.is_ready())
            ends = [
                router.find_balancer("app").servers["u1"].cold_until
                for router in (first, second)
            ]
            assert ends[0] == pytest.approx(ends[1], abs=0.1)
            for stop in fleet.stops.values():
                stop.set()
            await fleet.wait(lambda: not is_cold(first))
            await fleet.wait(lambda: not is_cold(second))

        run_fleet(tmp_path, test)
