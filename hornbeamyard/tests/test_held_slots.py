"""Tests of a router's slots, with and without a lead controller."""

from __future__ import annotations

import pytest

from hornbeamyard.pool.allocation import Allocation
from hornbeamyard.pool.held_slots import HeldSlots, compute_fallback_slots
from hornbeamyard.pool.worker import Worker


def build_worker(name: str = "w", slots: int = 8) -> Worker:
    """Return a worker of the pool."""
    return Worker(name, "http://10.0.0.1:1", "centro", "assistant", slots)


class TestCounters:
    """The slots held are those granted minus those returned."""

    @pytest.mark.requirement("R9", fault="messages repeated or out of order")
    def test_ignores_older_grants(self) -> None:
        """Guards against slots granted twice by a repeated message."""
        held_slots = HeldSlots()
        for granted in (3, 5, 3, 5):
            held_slots.apply(
                Allocation(granted={"w": granted}, target_slots=5)
            )
        assert held_slots.count_held() == 5

    def test_returns_only_idle_excess(self) -> None:
        """Guards against returning a slot whose request still runs."""
        held_slots = HeldSlots()
        held_slots.apply(Allocation(granted={"w": 3}, target_slots=0))
        held_slots.acquire("w")
        assert held_slots.return_excess() == 2
        assert held_slots.count_held() == 1
        held_slots.release("w")
        assert held_slots.return_excess() == 1
        assert held_slots.list_returned() == {"w": (3, 0)}

    @pytest.mark.requirement("R6")
    def test_closed_worker_gets_no_request(self) -> None:
        """Guards against new work on a worker that is leaving."""
        held_slots = HeldSlots()
        held_slots.apply(
            Allocation(granted={"w": 3}, closed={"w"}, target_slots=3)
        )
        assert held_slots.list_idle() == []
        assert held_slots.return_excess() == 3

    @pytest.mark.requirement("R17")
    def test_counters_survive_a_worker_that_comes_back(self) -> None:
        """Guards against counters that differ from the controller's."""
        held_slots = HeldSlots()
        held_slots.apply(Allocation(granted={"w": 2}, target_slots=2))
        held_slots.acquire("w")
        held_slots.forget("w")
        assert held_slots.list_idle() == []
        held_slots.apply(Allocation(granted={"w": 3}, target_slots=3))
        assert held_slots.count_held() == 3

    @pytest.mark.requirement("R10", fault="stream lost")
    @pytest.mark.parametrize(("keep_idle", "held"), [(True, 3), (False, 1)])
    def test_restart_keeps_what_the_lease_covers(
        self, keep_idle: bool, held: int
    ) -> None:
        """Guards against slots used by two routers after a lease ended."""
        held_slots = HeldSlots()
        held_slots.apply(Allocation(granted={"w": 3}, target_slots=3))
        held_slots.acquire("w")
        assert held_slots.restart(keep_idle) == {"w": held}
        assert held_slots.list_returned() == {"w": (0, 1)}


class TestFallback:
    """Without a lead controller each router uses its share of each worker."""

    @pytest.mark.requirement("R9", fault="partition")
    @pytest.mark.parametrize("slots", [1, 8, 9, 20])
    @pytest.mark.parametrize("routers", [1, 2, 9])
    def test_shares_add_up(self, slots: int, routers: int) -> None:
        """Guards against overload and idle slots without a lead controller."""
        for name in ("assistant-0", "assistant-1", "w"):
            worker = build_worker(name, slots)
            shares = [
                compute_fallback_slots(worker, rank, routers)
                for rank in range(routers)
            ]
            assert sum(shares) == slots

    @pytest.mark.requirement("R9", fault="partition")
    def test_running_requests_count(self) -> None:
        """Guards against fallback slots on top of requests still running."""
        held_slots = HeldSlots()
        held_slots.apply(Allocation(granted={"w": 6}, target_slots=6))
        for _ in range(6):
            held_slots.acquire("w")
        held_slots.enter_fallback([build_worker()], 0, 2)
        assert held_slots.list_idle() == []
        for _ in range(3):
            held_slots.release("w")
        assert held_slots.count_idle() == 1
