"""Tests of a router's dispatch in one pool."""

from __future__ import annotations

import pytest
from result import Err

from hornbeamyard.pool import constants
from hornbeamyard.pool.allocation import Allocation, Limit
from hornbeamyard.pool.backlog import QueueFull, Ticket
from hornbeamyard.pool.dispatch import DeadlineUnmet, Dispatch, StartedRequest
from hornbeamyard.pool.worker import Worker, WorkerRegistry


def build_dispatch(
    slots: int = 2, limits: dict[str, Limit] | None = None
) -> Dispatch:
    """Return a dispatch with slots of one worker."""
    registry = WorkerRegistry()
    registry.announce(
        Worker("w", "http://10.0.0.1:1", "centro", "assistant", 8)
    )
    dispatch = Dispatch("assistant", "centro", registry)
    allocation = Allocation(
        granted={"w": slots},
        target_slots=slots,
        contended=limits is not None,
        limits=limits or {},
    )
    dispatch.apply(allocation, 0.0)
    return dispatch


def start_all(dispatch: Dispatch, now: float) -> list[StartedRequest]:
    """Start all requests that may start."""
    started = []
    while (start := dispatch.start_next(now)) is not None:
        started.append(start)
    return started


def list_started(dispatch: Dispatch, now: float) -> list[str]:
    """Start all requests that may start; return their accounts."""
    return [s.ticket.client_account for s in start_all(dispatch, now)]


class TestStart:
    """Which request starts next."""

    @pytest.mark.requirement("R18")
    def test_never_exceeds_slots(self) -> None:
        """Guards against requests that queue in the engine."""
        dispatch = build_dispatch(slots=2)
        for _ in range(5):
            dispatch.submit(Ticket("hotel"), 0.0)
        started = start_all(dispatch, 0.0)
        assert len(started) == 2
        dispatch.finish(started[0], 1.0)
        assert len(start_all(dispatch, 1.0)) == 1

    @pytest.mark.requirement("R1")
    def test_respects_limits(self) -> None:
        """Guards against an account that uses idle slots of others."""
        limits = {"hotel": Limit(1, 0.0), "museum": Limit(3, 5.0)}
        dispatch = build_dispatch(4, limits)
        for _ in range(9):
            dispatch.submit(Ticket("hotel"), 0.0)
            dispatch.submit(Ticket("museum"), 0.0)
        started = list_started(dispatch, 0.0)
        assert sorted(started) == ["hotel", "museum", "museum", "museum"]

    @pytest.mark.requirement("R18")
    @pytest.mark.parametrize(("spent", "first"), [(False, 1), (True, 0)])
    def test_priority_goes_over_the_limit(
        self, spent: bool, first: int
    ) -> None:
        """Guards against priority requests that wait because of a limit."""
        limits = {
            "hotel": Limit(0, 60.0, priority_spent=spent),
            "museum": Limit(2, 0.0),
        }
        dispatch = build_dispatch(1, limits)
        dispatch.submit(Ticket("museum"), 0.0)
        dispatch.submit(Ticket("hotel", priority=True), 0.0)
        expected = ["museum", "hotel"][first]
        assert list_started(dispatch, 0.0) == [expected]

    @pytest.mark.requirement("R1")
    def test_keeps_mean_use_to_the_rate(self) -> None:
        """Guards against an account that uses more than its part of a slot."""
        limits = {
            "hotel": Limit(1, 0.0, rate=0.25),
            "museum": Limit(1, 0.0, rate=0.75),
        }
        dispatch = build_dispatch(1, limits)
        busy = {"hotel": 0.0, "museum": 0.0}
        for step in range(1000):
            now = 1.0 + step * 0.02
            for name in busy:
                dispatch.submit(Ticket(name), now)
            for start in start_all(dispatch, now):
                busy[start.ticket.client_account] += 0.02
                dispatch.finish(start, now + 0.02)
        assert busy["hotel"] / sum(busy.values()) == pytest.approx(0.25, 0.1)

    @pytest.mark.requirement("R17")
    def test_short_requests_use_idle_slots(self) -> None:
        """Guards against idle slots while short requests wait."""
        limits = {"hotel": Limit(1, 0.0)}
        dispatch = build_dispatch(2, limits)
        for _ in range(9):
            dispatch.submit(Ticket("hotel"), 0.0)
        (start,) = start_all(dispatch, 0.0)
        dispatch.finish(start, 0.02)
        assert len(start_all(dispatch, 0.02)) == 2


class TestSubmit:
    """Requests are refused at once, with a time to retry."""

    @pytest.mark.requirement("R20")
    def test_refuses_unmet_deadline(self) -> None:
        """Guards against requests that wait and then miss their deadline."""
        dispatch = build_dispatch(slots=1)
        for now in range(6):
            dispatch.submit(Ticket("hotel"), now)
            for start in start_all(dispatch, now):
                dispatch.finish(start, now + 1.0)
        for _ in range(8):
            dispatch.submit(Ticket("hotel"), 6.0)
        start_all(dispatch, 6.0)
        refused = dispatch.submit(Ticket("hotel", start_by=8.0), 6.0)
        assert isinstance(refused, Err)
        assert isinstance(refused.err_value, DeadlineUnmet)
        assert refused.err_value.expected_wait_s == pytest.approx(7.0)
        assert dispatch.compute_retry_after("hotel") == 4

    @pytest.mark.requirement("R20")
    def test_refuses_beyond_bound(self) -> None:
        """Guards against a flood that fills the router's memory."""
        dispatch = build_dispatch(slots=0)
        results = [dispatch.submit(Ticket("hotel"), 0.0) for _ in range(1001)]
        refused = results[-1]
        assert isinstance(refused, Err)
        assert isinstance(refused.err_value, QueueFull)


class TestReports:
    """What is reported to the lead controller, and when."""

    @pytest.mark.requirement("R19")
    def test_unchanged_account_costs_nothing(self) -> None:
        """Guards against reports of what the last report implies."""
        dispatch = build_dispatch(slots=1)
        dispatch.submit(Ticket("hotel"), 0.0)
        start_all(dispatch, 0.0)
        demands, _ = dispatch.collect_report(0.0, full=False)
        assert demands["hotel"].running == 1
        demands, slots = dispatch.collect_report(1.0, full=False)
        assert demands == {}
        assert slots == {}

    @pytest.mark.requirement("R17")
    def test_reports_waiting_requests_once(self) -> None:
        """Guards against a missing report, and one for each request."""
        dispatch = build_dispatch(slots=0)
        dispatch.submit(Ticket("hotel"), 0.0)
        assert dispatch.is_urgent(0.0)
        dispatch.collect_report(0.0, full=False)
        dispatch.submit(Ticket("hotel"), 0.01)
        assert not dispatch.is_urgent(0.01)
        assert dispatch.is_urgent(constants.ASK_AGAIN_S + 0.1)

    @pytest.mark.requirement("R17")
    def test_returns_slots_that_only_others_can_use(self) -> None:
        """Guards against idle slots while requests wait at other routers."""
        dispatch = build_dispatch(4, {"hotel": Limit(1, 0.0)})
        dispatch.submit(Ticket("hotel"), 0.0)
        start_all(dispatch, 0.0)
        assert dispatch.is_urgent(0.0)
        _, slots = dispatch.collect_report(0.0, full=False)
        assert slots == {"w": (3, 1)}

    @pytest.mark.requirement("R9", fault="stream lost")
    def test_full_report_returns_nothing(self) -> None:
        """Guards against slots that are returned without a message."""
        dispatch = build_dispatch(4, {"hotel": Limit(1, 0.0)})
        held = dispatch.held_slots.restart(keep_idle=True)
        dispatch.collect_report(0.0, full=True)
        assert dispatch.held_slots.count_held() == held["w"] == 4


class TestFallback:
    """A router that can't reach the lead controller."""

    @pytest.mark.requirement("R6", fault="partition")
    def test_uses_only_workers_that_answered(self) -> None:
        """Guards against requests to a worker that left without notice."""
        registry = WorkerRegistry()
        for name in ("gone", "ready"):
            registry.announce(
                Worker(name, "http://10.0.0.1:1", "centro", "assistant", 8)
            )
        dispatch = Dispatch("assistant", "centro", registry)
        registry.record_probe("ready", True, 10.0)
        dispatch.enter_fallback(0, 2, 11.0)
        for _ in range(9):
            dispatch.submit(Ticket("hotel"), 11.0)
        assert [s.worker for s in start_all(dispatch, 11.0)] == ["ready"] * 4
        dispatch.enter_fallback(0, 2, 13.0)
        assert dispatch.held_slots.list_idle() == []
