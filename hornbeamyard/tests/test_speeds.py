"""Tests of the measured speeds of engines."""

from __future__ import annotations

import random

import pytest

from hornbeamyard.connection.directory_codec import (
    UsageDecoder,
    UsageEncoder,
    decode_engine_times,
    decode_pool_speeds,
    encode_pool_speeds,
)
from hornbeamyard.pool.choice import Balancing
from hornbeamyard.pool.engine import Engine
from hornbeamyard.pool.speeds import (
    FleetSpeeds,
    PoolSpeed,
    SpeedEstimate,
    TimeSums,
    average_speeds,
)
from hornbeamyard.pool.usage import RouterUsage, UsageTable

from .test_balancer import build_balancer

# What the configured throughput implies, and what engines really need.
IMPLIED_MS_PER_TOKEN = 0.0286
PREFILL_MS_PER_TOKEN = 0.0071
OVERHEAD_MS = 53.0
# Half of the shortest target: an error of the forecast that is larger sends
# requests to engines where they miss it, or refuses them for nothing.
MAX_ERROR_MS = 150.0


def draw_responses(
    rng: random.Random, slowness: float, count: int
) -> list[tuple[float, float]]:
    """Return tokens and times of responses, some of which had to wait."""
    responses = []
    for _ in range(count):
        tokens = rng.lognormvariate(7.3, 1.2)
        wait_ms = rng.expovariate(1 / 80) if rng.random() < 0.4 else 0.0
        work_ms = tokens * PREFILL_MS_PER_TOKEN * slowness
        responses.append((tokens, OVERHEAD_MS + work_ms + wait_ms))
    return responses


class TestSpeedEstimate:
    """One router's estimate of a pool's usual speed."""

    def test_wrong_initial_speed_is_corrected(self) -> None:
        """A throughput that includes decoding makes prompts seem slow."""
        rng = random.Random(1)
        estimate = SpeedEstimate(IMPLIED_MS_PER_TOKEN)
        # About six seconds at a router of a busy fleet.
        for tokens, elapsed_ms in draw_responses(rng, 1.0, 90):
            estimate.record("e", 1.0, tokens, elapsed_ms)
        for tokens in (200, 2_000, 10_000):
            expected = OVERHEAD_MS + tokens * PREFILL_MS_PER_TOKEN
            forecast = (
                estimate.speed.overhead_ms
                + tokens * estimate.speed.prefill_ms_per_token
            )
            assert forecast == pytest.approx(expected, abs=MAX_ERROR_MS)

    def test_new_router_takes_over_the_fleet_estimate(self) -> None:
        """A router that restarts would begin with the implied speed."""
        estimate = SpeedEstimate(IMPLIED_MS_PER_TOKEN)
        fleet = PoolSpeed(OVERHEAD_MS, PREFILL_MS_PER_TOKEN, 500)
        estimate.apply_fleet(fleet)
        assert estimate.speed.overhead_ms == pytest.approx(OVERHEAD_MS)
        assert estimate.speed.prefill_ms_per_token == pytest.approx(
            PREFILL_MS_PER_TOKEN
        )

    def test_estimate_of_few_responses_is_not_taken_over(self) -> None:
        """The first responses of a fleet that has just started say little."""
        estimate = SpeedEstimate(IMPLIED_MS_PER_TOKEN)
        estimate.apply_fleet(PoolSpeed(150.0, 0.1, 3))
        assert estimate.speed.prefill_ms_per_token == IMPLIED_MS_PER_TOKEN

    def test_estimate_stays_within_bounds(self) -> None:
        """Stalled engines must not make the forecast useless for minutes."""
        estimate = SpeedEstimate(IMPLIED_MS_PER_TOKEN)
        for _ in range(500):
            estimate.record("e", 1.0, 5_000, 60_000.0)
        highest = 6 * IMPLIED_MS_PER_TOKEN
        assert estimate.speed.prefill_ms_per_token <= highest
        assert estimate.speed.overhead_ms <= 200.0


class TestFleetSpeeds:
    """Factors of engines from the reports of many routers."""

    def test_slow_engines_are_found_from_few_responses_a_router(self) -> None:
        """Sixty routers see each engine less than once a second."""
        rng = random.Random(2)
        slowness = {f"e{n}": 1.82 if n % 4 == 0 else 0.83 for n in range(28)}
        fleet = FleetSpeeds()
        for step in range(8):
            for _ in range(60):
                estimate = SpeedEstimate(PREFILL_MS_PER_TOKEN)
                estimate.apply_fleet(
                    PoolSpeed(OVERHEAD_MS, PREFILL_MS_PER_TOKEN, 500)
                )
                for id in rng.sample(sorted(slowness), 4):
                    for tokens, ms in draw_responses(rng, slowness[id], 1):
                        estimate.record(id, 1.0, tokens, ms)
                fleet.record("model", estimate.collect(), 0.25 * step)
        factors = fleet.compute_factors(2.0)
        slow = [factors[id] for id in slowness if slowness[id] > 1]
        fast = [factors[id] for id in slowness if slowness[id] < 1]
        assert min(slow) > max(fast)
        # An engine with half the speed takes the work of half an engine.
        ratio = (sum(slow) / len(slow)) / (sum(fast) / len(fast))
        assert ratio > 1.4

    def test_engine_without_responses_is_forgotten(self) -> None:
        """Engines come and go, and the table must not grow."""
        fleet = FleetSpeeds()
        fleet.record("model", {"e": TimeSums(100.0, 50.0)}, 0.0)
        assert "e" in fleet.compute_factors(0.1)
        assert fleet.compute_factors(60.0) == {}

    def test_average_weighs_routers_by_responses(self) -> None:
        """Idle routers must not hold the estimate at its initial value."""
        speeds = average_speeds(
            [
                {"model": PoolSpeed(50.0, 0.01, 100)},
                {"model": PoolSpeed(20.0, 0.04, 0)},
            ]
        )
        assert speeds["model"].prefill_ms_per_token == 0.01


class TestBalancer:
    """Use of the speeds in the forecast."""

    def test_speeds_are_measured_only_once_started(self) -> None:
        """Pools whose load isn't to be spread evenly stay as before."""
        balancer = build_balancer()
        balancer.apply_pool_speed(PoolSpeed(OVERHEAD_MS, 0.001, 500))
        engine = balancer.servers["e0"]
        assert isinstance(engine, Engine)
        balancer.record_first_event(engine, 500.0, 5_000)
        assert balancer.speed_estimate is None
        assert engine.overhead_ms == 20.0

    def test_fleet_speed_changes_the_forecast(self) -> None:
        """A slow engine has to look slower than the others."""
        balancer = build_balancer()
        balancer.configure(540_000, 64, 200_000, 0.0, balancing=Balancing.EVEN)
        speed = PoolSpeed(OVERHEAD_MS, PREFILL_MS_PER_TOKEN, 500)
        balancer.apply_pool_speed(speed)
        table = UsageTable()
        times = {id: TimeSums(1000.0, 1000.0) for id in balancer.servers}
        times["e1"] = TimeSums(2000.0, 1000.0)
        usage = RouterUsage(engine_times={"model": times})
        usage.pool_speeds["model"] = speed
        table.record_report("r", usage, 0.0)
        fleet = table.compute_fleet_usage(0.0)
        _, messages = UsageEncoder().encode({}, fleet.upstreams)
        _, loads = UsageDecoder().decode([], messages)
        balancer.apply_fleet_usage(loads, 0.0)
        slow, usual = balancer.servers["e1"], balancer.servers["e2"]
        assert isinstance(slow, Engine)
        assert isinstance(usual, Engine)
        assert slow.prefill_ms_per_token > 1.5 * usual.prefill_ms_per_token
        assert usual.overhead_ms == OVERHEAD_MS


def test_messages_keep_the_speeds() -> None:
    """What a router measured has to reach the leader."""
    speeds = {"model": PoolSpeed(53.0, 0.007, 40)}
    times = {"model": {"e": TimeSums(12.0, 8.0)}}
    messages = encode_pool_speeds(speeds, times)
    assert decode_pool_speeds(messages) == speeds
    assert decode_engine_times(messages) == times
