"""Property tests of rate limits that routers divide."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hornbeamyard.pool.rate_limits import (
    MIN_RATE,
    MIN_ROUTER_PART,
    FleetPosition,
    RateLimiter,
    divide_rate,
)
from hornbeamyard.pool.upstream_registry import UpstreamStart

UPSTREAM = UpstreamStart("u1", 1)


class TestDivision:
    """The parts of all routers keep to the limit."""

    @given(
        st.floats(0.0, 100.0),
        st.lists(st.floats(0.01, 10.0), min_size=1, max_size=200),
    )
    def test_sum(self, max_rate: float, demands: list[float]) -> None:
        """Guards against routers that exceed the limit together.

        Routers with little demand get a little more than their fraction.
        """
        total = sum(demands)
        rate = sum(
            divide_rate(
                max_rate,
                UPSTREAM,
                FleetPosition(len(demands), number, demand / total),
            )
            for number, demand in enumerate(demands, 1)
        )
        allowed = max(max_rate, MIN_RATE)
        assert 0 < rate <= allowed * (1 + MIN_ROUTER_PART) + 1e-6

    @given(st.lists(st.floats(0.0, 3.0), max_size=60), st.floats(0.1, 10.0))
    def test_limiter(self, pauses: list[float], rate: float) -> None:
        """Guards against more requests than the rate allows."""
        limiter = RateLimiter(rate, 0.0)
        now, sent = 0.0, 0
        for pause in pauses:
            now += pause
            if not limiter.compute_wait(now):
                limiter.take(now)
                sent += 1
        assert sent <= rate * now + 1e-3
