"""Tests of the retry budget."""

from __future__ import annotations

import pytest

from hornbeamyard.request.budget import (
    INITIAL_RETRIES,
    MAX_BACKOFF_S,
    RETRY_FRACTION,
    RetryBudget,
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
