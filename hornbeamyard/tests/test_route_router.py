"""Tests of the router role that routes by the route directory."""

from __future__ import annotations

import pytest

from hornbeamyard.process.route_router import NOTICE_S, compute_drain_left

# Part of the time of a stop in which no running request may be cut off.
LEAST_PART = 5 / 6


class TestDrain:
    """A planned stop gives running requests nearly all of its time."""

    @pytest.mark.parametrize("drain_s", [5.0, 8.0, 9.5, 30.0])
    def test_requests_are_not_cut_early(self, drain_s: float) -> None:
        """Guards against a drain cut short by rounding to whole seconds.

        With a stop of 8 s requests were cut off after 6.5 s (hunted day
        trouble-2 of millisafn-ill, seed 846404225414).
        """
        ends_s = NOTICE_S + compute_drain_left(drain_s, NOTICE_S)
        assert LEAST_PART * drain_s <= ends_s < drain_s

    def test_stop_that_is_late_already(self) -> None:
        assert compute_drain_left(2.0, 2.5) > 0
