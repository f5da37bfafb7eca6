"""Properties of schedule and routers under lost streams and faults."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.pool.backlog import Ticket
from hornbeamyard.pool.dispatch import StartedRequest
from hornbeamyard.process.controller import AttachedRouter
from hornbeamyard.tests.test_session import (
    POOL,
    SimulatedRouter,
    build_controller,
    set_time,
)

WORKERS = ("w", "x")
SLOTS = 8
ACCOUNTS = ("hotel", "museum", "tram")

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "submit",
                "flood",
                "finish",
                "finish",
                "report",
                "plan",
                "update",
                "cut",
                "round",
                "round",
            ]
        ),
        st.integers(0, 2),
        st.integers(0, 2),
        st.floats(0.001, 0.4),
    ),
    min_size=5,
    max_size=120,
)


@dataclass
class Link:
    """A router with its stream, whose messages wait to be delivered."""

    node: SimulatedRouter
    router: AttachedRouter | None = None
    running: list[StartedRequest] = field(default_factory=list)
    updates: list[fleet_pb2.ControllerUpdate] = field(default_factory=list)


class Fleet:
    """Three routers and a lead controller, driven step by step."""

    def __init__(self) -> None:
        self.controller, self.timers = build_controller()
        self.now = 0.0
        self.links = [
            Link(SimulatedRouter(f"r{number}")) for number in range(3)
        ]
        for name in WORKERS:
            self.links[0].node.announce(name, 0.0)
        for link in self.links:
            self.attach(link)
        self.plan()

    def attach(self, link: Link) -> None:
        """Begin a new stream; messages of the old one are lost."""
        link.updates = []
        report = link.node.attachment.build_report(self.now, full=True)
        link.router = self.controller.attach(report)

    def apply(self, step: tuple[str, int, int, float]) -> None:
        """Do one step."""
        kind, place, number, span = step
        self.now += span
        set_time(self.timers, self.now)
        for name in WORKERS:
            self.controller.registry.renew(name, self.now)
        link = self.links[place]
        if kind in ("submit", "flood"):
            for _ in range(1 if kind == "submit" else 40):
                ticket = Ticket(ACCOUNTS[number])
                link.node.dispatch.submit(ticket, self.now)
        elif kind == "finish" and link.running:
            start = link.running.pop(number % len(link.running))
            link.node.dispatch.finish(start, self.now)
        elif kind == "report":
            self.report(link)
        elif kind == "plan":
            self.plan()
        elif kind == "update":
            self.deliver(link)
        elif kind == "cut":
            self.attach(link)
        elif kind == "round":
            for other in self.links:
                self.report(other)
            self.plan()
            for other in self.links:
                self.deliver(other)
        self.start(link)

    def report(self, link: Link) -> None:
        """Deliver a report."""
        report = link.node.attachment.build_report(self.now, full=False)
        assert link.router is not None
        self.controller.handle_report(link.router, report)

    def plan(self) -> None:
        """Plan, and leave the updates on their way."""
        self.controller._full_plan_at = 0.0
        self.controller.plan_due_pools()
        for link in self.links:
            assert link.router is not None
            link.updates.append(self.controller.build_update(link.router, 1))

    def deliver(self, link: Link) -> None:
        """Deliver the updates that are on their way."""
        for update in link.updates:
            link.node.attachment.apply_update(update, self.now)
        link.updates = []
        self.start(link)

    def start(self, link: Link) -> None:
        """Start all requests that may start."""
        while (start := link.node.dispatch.start_next(self.now)) is not None:
            link.running.append(start)

    def settle(self) -> None:
        """Deliver everything until nothing is on its way."""
        for _ in range(3):
            self.now += 1.0
            set_time(self.timers, self.now)
            for name in WORKERS:
                self.controller.registry.renew(name, self.now)
            for link in self.links:
                self.report(link)
            self.plan()
            for link in self.links:
                self.deliver(link)
        for link in self.links:
            self.report(link)
        # Slots that the last reports returned were granted again.
        for link in self.links:
            assert link.router is not None
            link.updates.append(self.controller.build_update(link.router, 1))
            self.deliver(link)

    def check_slots(self) -> None:
        """Check that no worker runs or grants more than its slots."""
        schedule = self.controller.get_schedules()[POOL]
        for name in WORKERS:
            assert 0 <= schedule.count_outstanding(name) <= SLOTS
            running = [s for k in self.links for s in k.running]
            assert sum(s.worker == name for s in running) <= SLOTS


@pytest.mark.requirement("R18", fault="lost streams")
@settings(max_examples=80, deadline=None)
@given(STEPS)
def test_never_more_slots_than_a_worker_has(
    steps: list[tuple[str, int, int, float]],
) -> None:
    """Guards against a slot that two routers use at once."""
    fleet = Fleet()
    for step in steps:
        fleet.apply(step)
        fleet.check_slots()


@pytest.mark.requirement("R9", fault="lost streams")
@settings(max_examples=50, deadline=None)
@given(STEPS)
def test_both_ends_agree_on_slots(
    steps: list[tuple[str, int, int, float]],
) -> None:
    """Guards against slots that are lost or doubled by lost messages."""
    fleet = Fleet()
    for step in steps:
        fleet.apply(step)
    fleet.settle()
    schedule = fleet.controller.get_schedules()[POOL]
    for link in fleet.links:
        held = link.node.dispatch.held_slots.count_held()
        router = schedule._routers[link.node.attachment._host]
        assert router.count_all_held() == held


@pytest.mark.requirement("R9", fault="lost streams")
@settings(max_examples=50, deadline=None)
@given(STEPS)
def test_service_is_merged_once(
    steps: list[tuple[str, int, int, float]],
) -> None:
    """Guards against service that a rejoining router adds twice."""
    fleet = Fleet()
    for step in steps:
        fleet.apply(step)
    fleet.settle()
    schedule = fleet.controller.get_schedules()[POOL]
    for name in ACCOUNTS:
        charged = 0.0
        for link in fleet.links:
            account = link.node.dispatch._accounts.get(name)
            if account is not None:
                charged += account.compute_service(fleet.now)
        known = schedule._accounts.get(name)
        if known is None:
            assert charged == 0.0
            continue
        accrued = known.running * fleet.now - known.running_time_sum
        error = known.service_s + accrued - charged
        assert abs(error) < 0.05


@pytest.mark.requirement("R2", fault="flood")
@settings(max_examples=60, deadline=None)
@given(st.lists(st.integers(0, 2), min_size=1, max_size=8), st.integers(1, 3))
def test_no_account_starves(floods: list[int], cost: int) -> None:
    """Guards against an account that a flood keeps from starting."""
    fleet = Fleet()
    for place in floods:
        fleet.apply(("flood", place, 0, 0.01))
    fleet.settle()
    waiting = Ticket("tram")
    fleet.links[2].node.dispatch.submit(waiting, fleet.now)
    for _ in range(4 * cost + 4):
        fleet.settle()
        if any(s.ticket is waiting for s in fleet.links[2].running):
            return
        for link in fleet.links:
            for start in list(link.running)[: 8 // cost]:
                link.running.remove(start)
                link.node.dispatch.finish(start, fleet.now)
            fleet.start(link)
    raise AssertionError("the request of a small account never started")
