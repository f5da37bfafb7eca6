"""Tests of the choice among unequal upstreams with old knowledge."""

from __future__ import annotations

from collections import Counter

import pytest

from benchmarks.even_load import LOADS, replay
from hornbeamyard.platform.configuration import decode_configuration
from hornbeamyard.pool.balancer import Balancer
from hornbeamyard.pool.choice import MAX_USAGE_AGE_S, Balancing
from hornbeamyard.pool.load_estimate import (
    MAX_SLOWDOWN,
    SLOWDOWN_FADE_S,
    compute_duration_ms,
    compute_slowdown,
    expect_others,
)
from hornbeamyard.pool.usage import ReportedLoad, UpstreamLoad
from hornbeamyard.version.routing import decode_routing

from .test_balancer import build_balancer, build_demand, place

SLOW = ReportedLoad(3, 0, 6, 2.5)


def build_even(
    engines: int = 12, balancing: Balancing = Balancing.EVEN
) -> Balancer:
    """Return a balancer of idle engines that knows a usage of time 0."""
    balancer = build_balancer(engines)
    balancer.configure(300_000, 64, 50_000.0 * engines, 60.0, 0.0, balancing)
    balancer.apply_fleet_usage({}, 0.0)
    return balancer


def count_places(
    balancer: Balancer, now: float, requests: int
) -> Counter[str]:
    """Return how often each upstream is chosen, without counting its load."""
    chosen: Counter[str] = Counter()
    for _ in range(requests):
        placement = balancer.place(build_demand(now=now), now, frozenset())
        chosen[placement.server.id] += 1  # type: ignore[union-attr]
    return chosen


@pytest.mark.parametrize(
    ("load", "routers"),
    [
        ("service 45 ms", 10),
        ("service 45 ms", 62),
        ("24 engines", 30),
        ("24 engines", 100),
    ],
)
def test_fewer_requests_miss_their_target(load: str, routers: int) -> None:
    """Guards against routers that overload the same upstream in turn.

    In a burst that the pool can bear, nine in ten requests have to meet their
    target, and a third of the misses of the least loaded choice have to go.
    """
    _, before = replay(LOADS[load], routers, Balancing.LEAST_LOADED, 4, 6.0)
    _, after = replay(LOADS[load], routers, Balancing.EVEN, 4, 6.0)
    assert after < min(0.1, before * 2 / 3)


class TestSlowdown:
    """What an upstream says about its speed."""

    def test_fades(self) -> None:
        """Guards against a slow phase that is assumed long after its end."""
        server = build_even().servers["e0"]
        assert compute_slowdown(server, 1.0) == 1.0
        server.record_reported(SLOW, 1.0)
        assert compute_slowdown(server, 1.0) == 2.5
        assert compute_duration_ms(server, 10.0, 1.0) == pytest.approx(
            25.0, rel=0.02
        )
        assert compute_duration_ms(server, 9000.0, 1.0) == pytest.approx(
            9000 + 1.5 * SLOWDOWN_FADE_S * 1000, rel=0.01
        )
        assert compute_slowdown(server, 3.0) < 1.06
        # A time before the report, as from another clock.
        assert compute_slowdown(server, 0.0) == 2.5

    def test_wrong_report_does_not_shut_an_upstream_out(self) -> None:
        """Guards against an upstream that is idle for a wrong header."""
        balancer = build_even()
        wrong = ReportedLoad(999_999, 999_999, 1, 20.0)
        balancer.record_reported(balancer.servers["e0"], wrong, 0.1)
        assert compute_slowdown(balancer.servers["e0"], 0.1) == MAX_SLOWDOWN
        busy = {f"e{n}": UpstreamLoad(1, 10_000) for n in range(1, 12)}
        balancer.apply_fleet_usage(busy, 2.0)
        assert count_places(balancer, 2.0, 100)["e0"] > 0


class TestExpectedLoad:
    """The other routers' load between two usages."""

    def test_differences_fade_and_the_pool_keeps_its_load(self) -> None:
        """Guards against a choice by differences that are gone."""
        balancer = build_even(4)
        loads = {"e0": UpstreamLoad(5, 40_000)}
        balancer.apply_fleet_usage(loads, 1.0)
        servers = balancer.servers.values()
        early, late = (expect_others(servers, 1.0, now) for now in (1.0, 1.5))
        assert early["e0"] > late["e0"] > late["e1"] > early["e1"] > 0
        assert sum(early.values()) == pytest.approx(40_000)
        assert sum(late.values()) == pytest.approx(40_000)

    @pytest.mark.parametrize("engine", [False, True])
    def test_newer_response_counts(self, engine: bool) -> None:
        """Guards against a choice by a usage older than a response.

        An older response tells nothing, and neither does one of an engine,
        which doesn't state the tokens to prefill.
        """
        balancer = build_even(2)
        if not engine:
            balancer.configure(0, 0, 0.0, 0.0, balancing=Balancing.EVEN)
        busy, other = balancer.servers.values()
        busy.own_load.running = 4
        busy.record_reported(ReportedLoad(6, 18, 6), 1.0)
        # What the router sends after the response isn't in its numbers.
        busy.own_load.running = 10
        assert busy.reported_others == 20
        servers = [busy, other]
        expected = expect_others(servers, 0.0, 1.0)
        assert expected[busy.id] == (0 if engine else 20)
        assert expected[other.id] == 0
        balancer.apply_fleet_usage({}, 2.0)
        assert expect_others(servers, 2.0, 2.0)[busy.id] == 0

    def test_old_usage(self) -> None:
        """Guards against estimates from a usage of a lost leader.

        The balancer then assumes the other routers as before.
        """
        balancer = build_even()
        assert balancer.describe_balance(0.5) == (0.5, 1.0)
        assert balancer.describe_balance(MAX_USAGE_AGE_S + 0.1) is None

    def test_imbalance(self) -> None:
        """Guards against a metric that hides a busy upstream."""
        balancer = build_even(4)
        balancer.apply_fleet_usage({"e0": UpstreamLoad(5, 40_000)}, 1.0)
        found = balancer.describe_balance(1.0)
        assert found is not None
        assert found == pytest.approx((0.0, 4.0))


class TestSwitch:
    """Pools without the switch are served as before."""

    def test_spreads_over_more_than_the_least_loaded(self) -> None:
        """Guards against routers that all choose one engine."""
        loads = {f"e{n}": UpstreamLoad(1, 1000 * n) for n in range(12)}
        for balancing, fewest in (
            (Balancing.LEAST_LOADED, 1),
            (Balancing.EVEN, 6),
        ):
            balancer = build_even(balancing=balancing)
            balancer.apply_fleet_usage(loads, 0.0)
            chosen = count_places(balancer, 0.01, 100)
            assert (len(chosen) > 1) is (fewest > 1)
            assert len(chosen) >= fewest

    def test_shared_part_keeps_its_engine(self) -> None:
        """Guards against shared parts that many engines prefill."""
        balancer = build_even()
        demands = [build_demand(300, 5382) for _ in range(20)]
        used = {place(balancer, demand).server.id for demand in demands}
        assert len(used) == 1

    def test_takes_effect_with_the_first_slowdown(self) -> None:
        """Guards against another choice where upstreams state no slowdown."""
        balancer = build_even(balancing=Balancing.REPORTED)
        server = balancer.servers["e0"]
        balancer.record_reported(server, ReportedLoad(3, 0, 6), 0.1)
        assert balancer.describe_balance(0.2) is None
        balancer.record_reported(server, SLOW, 0.1)
        assert balancer.describe_balance(0.2) is not None

    def test_documents(self) -> None:
        """Guards against a switch that no document reaches."""
        pool = b'{"version": 1, "routes": [], "pools": [{"name": "p"%s}]}'
        for field, expected in (
            (b"", Balancing.LEAST_LOADED),
            (b', "balancing": "even"', Balancing.EVEN),
            (b', "balancing": "reported"', Balancing.REPORTED),
        ):
            routing = decode_routing(pool % field).unwrap()
            assert routing.pools["p"].balancing is expected
        findings = decode_routing(pool % b', "balancing": "x"').unwrap_err()
        assert "balancing" in str(findings[0])
        platform = decode_configuration(
            b'{"version": 1, "routes": [], "services": [{"name": "p"}]}'
        ).unwrap()
        assert platform.pools["p"].balancing is Balancing.LEAST_LOADED
