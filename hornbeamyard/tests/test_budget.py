"""Tests of the retry budget."""

from __future__ import annotations

import tracemalloc

import pytest

from hornbeamyard.request.budget import (
    INITIAL_RETRIES,
    MAX_BACKOFF_S,
    RETRY_FRACTION,
    RetryBudget,
    WindowRetryBudget,
    compute_backoff,
)


class TestRetryBudget:
    """Retries add at most a tenth to the load."""

    @pytest.mark.requirement("R17", fault="every upstream fails")
    @pytest.mark.parametrize("requests", [0, 10, 1000])
    def test_bounds_retries(self, requests: int) -> None:
        """Guards against retries that double the load of a failing pool."""
        budget = RetryBudget()
        taken = 0
        for _ in range(requests):
            budget.record_request()
            taken += budget.take() + budget.take()
        taken += sum(budget.take() for _ in range(1000))
        assert taken <= RETRY_FRACTION * requests + INITIAL_RETRIES
        assert taken >= RETRY_FRACTION * requests

    def test_spreads_backoff(self) -> None:
        """Guards against retries that arrive at the same time."""
        backoffs = [compute_backoff(20) for _ in range(200)]
        assert max(backoffs) <= MAX_BACKOFF_S
        assert max(backoffs) - min(backoffs) > MAX_BACKOFF_S / 2


class TestWindowRetryBudget:
    """The limit holds in each window, at a constant size."""

    def test_size_without_retries(self) -> None:
        """Guards against memory that grows until a request is retried."""
        budget = WindowRetryBudget(0.2, 58.0, 10.0)
        sizes = []
        tracemalloc.start()
        try:
            for second in range(3600):
                for number in range(100):
                    budget.record_request(second + number / 100)
                if second in (60, 3599):
                    sizes.append(tracemalloc.get_traced_memory()[0])
        finally:
            tracemalloc.stop()
        assert sizes[1] < 1.5 * sizes[0]

    def test_counts_requests_of_window(self) -> None:
        """Guards against requests that are forgotten within the window."""
        budget = WindowRetryBudget(0.5, 0.0, 10.0)
        for second in range(100):
            budget.record_request(float(second))
        # 11 requests from 89 to 99 s, of which three tenths may be retried.
        assert [budget.take(99.0, 1) for _ in range(4)] == [True] * 3 + [False]
