"""The retry budget."""

from __future__ import annotations

import pytest

from hornbeamyard.request.budget import (
    LONGEST_PAUSE_S,
    RESERVE,
    RETRY_SHARE,
    RetryBudget,
    compute_pause,
)


class TestRetryBudget:
    """Retries add at most a tenth of the load."""

    @pytest.mark.requirement("R17", fault="every upstream fails")
    @pytest.mark.parametrize("requests", [0, 10, 1000])
    def test_bounds_retries(self, requests: int) -> None:
        """Guards against retries that double the load of a failing pool."""
        budget = RetryBudget()
        taken = 0
        for _ in range(requests):
            budget.note_request()
            taken += budget.take() + budget.take()
        taken += sum(budget.take() for _ in range(1000))
        assert taken <= RETRY_SHARE * requests + RESERVE
        assert taken >= RETRY_SHARE * requests

    def test_spreads_pauses(self) -> None:
        """Guards against retries that arrive all together."""
        pauses = [compute_pause(20) for _ in range(200)]
        assert max(pauses) <= LONGEST_PAUSE_S
        assert max(pauses) - min(pauses) > LONGEST_PAUSE_S / 2
