"""Tests of the scheduling by the lead controller."""

from __future__ import annotations

from collections.abc import Mapping

import pytest

from hornbeamyard.pool import constants
from hornbeamyard.pool.allocation import AccountDemand
from hornbeamyard.pool.division import Contender, divide_slots
from hornbeamyard.pool.placement import (
    PlacementInput,
    place_slots,
    round_slots,
)
from hornbeamyard.pool.schedule import Schedule


def build_schedule(
    workers: Mapping[str, int] | None = None,
    shares: Mapping[str, float] | None = None,
    routers: int = 2,
) -> Schedule:
    """Return a schedule with attached, idle routers."""
    schedule = Schedule("assistant")
    schedule.set_shares(shares or {"hotel": 1.0, "museum": 1.0}, 0.0)
    for name, slots in (workers or {"w": 8}).items():
        schedule.set_worker(name, slots, "centro", is_open=True)
    for number in range(routers):
        attach(schedule, f"r{number}", 0.0)
    return schedule


def attach(
    schedule: Schedule,
    name: str,
    now: float,
    demands: Mapping[str, AccountDemand] | None = None,
    held: Mapping[str, int] | None = None,
    incarnation: int = 1,
    excess_service: Mapping[str, float] | None = None,
) -> None:
    """Attach a router."""
    schedule.attach_router(
        name,
        incarnation,
        "centro",
        demands or {},
        held or {},
        excess_service or {},
        now,
    )


class TestDivision:
    """Slots are divided between accounts by tags and shares."""

    @pytest.mark.requirement("R1")
    @pytest.mark.parametrize("is_short", [False, True])
    def test_follows_shares(self, is_short: bool) -> None:
        """Guards against slots that follow demand instead of shares."""
        contenders = {
            "large": Contender(0.0, 6.0, 100, is_short=is_short),
            "small": Contender(0.0, 2.0, 5000, is_short=is_short),
        }
        entitled = divide_slots(contenders, 8, 4.0)
        assert entitled == pytest.approx({"large": 6, "small": 2}, abs=0.05)

    @pytest.mark.requirement("R1")
    def test_account_catches_up_within_the_horizon(self) -> None:
        """Guards against an account that stays behind in service."""
        contenders = {
            "ahead": Contender(8.0, 1.0, 100),
            "behind": Contender(0.0, 1.0, 100),
        }
        assert divide_slots(contenders, 8, 2.0) == {"ahead": 2, "behind": 6}

    @pytest.mark.requirement("R17")
    def test_gives_no_more_than_demand(self) -> None:
        """Guards against slots reserved for an account that can't use them."""
        contenders = {
            "idle": Contender(0.0, 9.0, 1),
            "busy": Contender(50.0, 1.0, 100),
        }
        assert divide_slots(contenders, 8, 4.0) == {"idle": 1, "busy": 7}


class TestPlacement:
    """Slots of accounts are divided between routers."""

    def test_keeps_limits_that_need_no_change(self) -> None:
        """Guards against slots that move between routers needlessly."""
        demands = {"hotel": AccountDemand(waiting=9, running=2)}
        inputs = {
            "a": PlacementInput(demands, {"hotel": 2}, 2, 2),
            "b": PlacementInput(demands, {"hotel": 2}, 2, 2),
        }
        placement = place_slots({"hotel": 4}, inputs, set())
        assert placement.limits == {"a": {"hotel": 2}, "b": {"hotel": 2}}

    def test_divides_short_requests_by_offer(self) -> None:
        """Guards against slots that follow queues of short requests."""
        demands = {"hotel": AccountDemand(waiting=1, running=1)}
        inputs = {
            "a": PlacementInput(demands, {}, 0, 0, {"hotel": 300.0}),
            "b": PlacementInput(demands, {}, 0, 0, {"hotel": 100.0}),
        }
        placement = place_slots({"hotel": 4.0}, inputs, {"hotel"})
        assert placement.rates == {"a": {"hotel": 3.0}, "b": {"hotel": 1.0}}
        assert placement.target_slots == {"a": 3, "b": 1}

    @pytest.mark.parametrize(
        ("wanted", "previous", "expected"),
        [
            ({"a": 2.6, "b": 1.4}, {"a": 2, "b": 2}, {"a": 2, "b": 2}),
            ({"a": 3.2, "b": 0.8}, {"a": 2, "b": 2}, {"a": 3, "b": 1}),
            ({"a": 0.0, "b": 4.0}, {"a": 4, "b": 0}, {"a": 0, "b": 4}),
        ],
    )
    def test_rounds_near_previous(
        self,
        wanted: dict[str, float],
        previous: dict[str, int],
        expected: dict[str, int],
    ) -> None:
        """Guards against a slot that moves with each small change."""
        assert round_slots(wanted, previous) == expected


class TestContention:
    """Limits apply only when slots are short."""

    def test_idle_pool_has_no_limits(self) -> None:
        """Guards against limits that delay requests needlessly."""
        schedule = build_schedule()
        schedule.report("r0", {"hotel": AccountDemand(waiting=3)}, {}, 0.1)
        changes = schedule.plan(0.1)
        assert not changes["r0"].allocation.contended
        assert sum(changes["r0"].allocation.granted.values()) >= 3

    @pytest.mark.requirement("R11", fault="flood of requests")
    def test_flood_leaves_others_their_share(self) -> None:
        """Guards against an account that takes the pool by demand alone."""
        schedule = build_schedule()
        schedule.report("r0", {"hotel": AccountDemand(waiting=5000)}, {}, 0.1)
        schedule.report("r1", {"museum": AccountDemand(waiting=20)}, {}, 0.1)
        schedule.plan(0.1)
        changes = schedule.plan(0.2)
        assert changes["r1"].allocation.limits["museum"].limit == 4


class TestTags:
    """Tags follow service, idle time and the debt limit."""

    @pytest.mark.requirement("R2")
    def test_idle_time_earns_little(self) -> None:
        """Guards against an account that starves others after idle time."""
        schedule = build_schedule()
        busy = AccountDemand(waiting=5, running=8, service_s=0.0)
        schedule.report("r0", {"hotel": busy}, {}, 0.0)
        schedule.plan(0.0)
        schedule.report("r1", {"museum": AccountDemand(waiting=5)}, {}, 100.0)
        schedule.plan(100.0)
        tags = schedule.compute_tags(100.0)
        assert tags["hotel"] == pytest.approx(800.0)
        assert tags["museum"] >= tags["hotel"] - constants.IDLE_CREDIT_S

    @pytest.mark.requirement("R9", fault="partition")
    def test_debt_is_bounded(self) -> None:
        """Guards against starvation of an account after a partition."""
        schedule = build_schedule()
        demand = AccountDemand(waiting=5, service_s=9000.0, finished=1)
        schedule.report("r0", {"hotel": demand}, {}, 1.0)
        schedule.report("r1", {"museum": AccountDemand(waiting=5)}, {}, 1.0)
        schedule.plan(1.0)
        tags = schedule.compute_tags(1.0)
        assert tags["hotel"] - tags["museum"] <= constants.DEBT_LIMIT_S

    @pytest.mark.requirement("R9", fault="partition")
    def test_merges_service_once(self) -> None:
        """Guards against service counted again by a router that rejoins."""
        schedule = build_schedule()
        demand = AccountDemand(running=1, service_s=10.0, finished=2)
        schedule.report("r0", {"hotel": demand}, {}, 1.0)
        later = AccountDemand(running=1, service_s=15.0, finished=3)
        for now in (5.0, 6.0):
            attach(schedule, "r0", now, {"hotel": later})
        schedule.report(
            "r0", {"hotel": AccountDemand(0, 0, 0, 16.0, 4)}, {}, 7.0
        )
        assert schedule.compute_tags(7.0)["hotel"] == pytest.approx(16.0)

    @pytest.mark.requirement("R10", fault="router restarted")
    def test_adds_service_of_new_incarnation(self) -> None:
        """Guards against service lost when a counter starts at 0 again."""
        schedule = build_schedule()
        schedule.report(
            "r0", {"hotel": AccountDemand(service_s=10.0)}, {}, 1.0
        )
        attach(schedule, "r0", 2.0, incarnation=2)
        schedule.report("r0", {"hotel": AccountDemand(service_s=4.0)}, {}, 3.0)
        assert schedule.compute_tags(3.0)["hotel"] == pytest.approx(14.0)

    @pytest.mark.requirement("R1", fault="lead controller killed")
    def test_new_leader_restores_excess_service(self) -> None:
        """Guards against a new leader that forgets which account is ahead."""
        schedule = build_schedule(routers=0)
        demands = {"hotel": AccountDemand(waiting=1, service_s=500.0)}
        attach(schedule, "r0", 0.0, demands, excess_service={"hotel": 12.0})
        assert schedule.compute_tags(0.0)["hotel"] == pytest.approx(12.0)


class TestSlots:
    """Slots are granted once and are returned."""

    @pytest.mark.requirement("R10", fault="router lost")
    def test_slots_of_lost_router_return_after_lease(self) -> None:
        """Guards against slots that are granted again early, or never."""
        schedule = build_schedule()
        schedule.report("r0", {"hotel": AccountDemand(waiting=8)}, {}, 0.0)
        schedule.plan(0.0)
        schedule.mark_router_lost("r0", 1.0)
        schedule.report("r1", {"hotel": AccountDemand(waiting=8)}, {}, 4.2)
        schedule.plan(4.2)
        assert schedule.list_routers() == ["r0", "r1"]
        schedule.plan(4.4)
        assert schedule.list_routers() == ["r1"]
        assert schedule.count_outstanding("w") == 8

    @pytest.mark.requirement("R6")
    def test_leaving_worker_gets_no_grants(self) -> None:
        """Guards against new work on a worker that is leaving."""
        schedule = build_schedule({"w": 4, "x": 4})
        schedule.set_worker("x", 4, "centro", is_open=False)
        schedule.report("r0", {"hotel": AccountDemand(waiting=20)}, {}, 0.0)
        schedule.plan(0.0)
        assert schedule.count_outstanding("w") == 4
        assert schedule.count_outstanding("x") == 0

    @pytest.mark.requirement("R17")
    def test_worker_that_comes_back_keeps_its_counters(self) -> None:
        """Guards against slots granted on top of running requests."""
        schedule = build_schedule()
        schedule.report("r0", {"hotel": AccountDemand(waiting=8)}, {}, 0.0)
        schedule.plan(0.0)
        schedule.remove_worker("w")
        schedule.set_worker("w", 8, "centro", is_open=True)
        assert schedule.count_outstanding("w") == 8

    @pytest.mark.requirement("R18")
    def test_priority_goes_first_until_its_share_is_used(self) -> None:
        """Guards against a priority path above its account's share."""
        schedule = build_schedule()
        schedule.report(
            "r0", {"hotel": AccountDemand(waiting=50, running=8)}, {}, 0.0
        )
        urgent = AccountDemand(waiting=4, waiting_priority=4)
        schedule.report("r1", {"museum": urgent}, {}, 0.0)
        schedule.plan(0.0)
        limits = schedule.plan(0.1)["r1"].allocation.limits
        assert not limits["museum"].priority_spent
        spent = AccountDemand(4, 4, 0, 40.0, 20, 2.0, 40.0)
        schedule.report("r1", {"museum": spent}, {}, 1.0)
        limits = schedule.plan(1.0)["r1"].allocation.limits
        assert limits["museum"].priority_spent

    @pytest.mark.requirement("R18", fault="partition")
    def test_overloaded_worker_takes_nothing_until_it_drained(self) -> None:
        """Guards against an overload that lasts after a partition."""
        schedule = build_schedule(routers=0)
        demand = {"hotel": AccountDemand(waiting=9, running=6)}
        for name in ("r0", "r1"):
            attach(schedule, name, 0.0, demand, {"w": 6})
        changes = schedule.plan(0.0)
        assert all(c.allocation.closed == {"w"} for c in changes.values())
        schedule.report("r0", demand, {"w": 4}, 1.0)
        changes = schedule.plan(1.0)
        assert schedule.count_outstanding("w") == 8
        assert all(not c.allocation.closed for c in changes.values())

    @pytest.mark.requirement("R1", fault="continuous priority requests")
    def test_priority_does_not_raise_the_limit(self) -> None:
        """Guards against normal requests in slots given to priority ones."""
        schedule = build_schedule()
        schedule.report("r0", {"hotel": AccountDemand(50, 0, 4)}, {}, 0.0)
        schedule.report("r1", {"museum": AccountDemand(51, 1, 4)}, {}, 0.0)
        for step in range(1, 5):
            now = 0.1 * step
            schedule.report("r1", {"museum": AccountDemand(51, 1, 4)}, {}, now)
            changes = schedule.plan(now)
        limits = schedule._routers["r1"].limits
        assert limits["museum"] <= 4
        assert changes is not None
        assert schedule._routers["r1"].target_slots == limits["museum"] + 1

    @pytest.mark.requirement("R18", fault="repeated report")
    def test_counts_returned_slots_once(self) -> None:
        """Guards against slots that count as free twice."""
        schedule = build_schedule()
        schedule.report("r0", {"hotel": AccountDemand(waiting=8)}, {}, 0.0)
        schedule.plan(0.0)
        before = schedule.count_outstanding("w")
        for returned in (1, 3, 3):
            schedule.report("r0", {}, {"w": returned}, 1.0)
        assert schedule.count_outstanding("w") == before - 3
