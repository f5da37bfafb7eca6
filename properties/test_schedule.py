"""Invariants of the schedule and of routers when streams are lost."""

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
# Slots of each worker.
SLOTS = 8
ACCOUNTS = ("hotel", "museum", "tram")

# Kind of step, router, index of an account or running request, and seconds
# that pass before it.
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
                "reconnect",
                "exchange",
                "exchange",
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
    """A router and its stream, with updates that aren't delivered yet.

    Attributes
    ----------
    router : SimulatedRouter
    attached : AttachedRouter or None
        The controller's end of the stream.
    running : list of StartedRequest
    updates : list of ControllerUpdate
        Updates that were sent but not delivered.
    """

    router: SimulatedRouter
    attached: AttachedRouter | None = None
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
            self.links[0].router.announce(name, 0.0)
        for link in self.links:
            self.attach(link)
        self.plan()

    def attach(self, link: Link) -> None:
        """Open a new stream; undelivered messages of the old one are lost."""
        link.updates = []
        report = link.router.attachment.build_report(self.now, full=True)
        link.attached = self.controller.attach(report)

    def apply(self, step: tuple[str, int, int, float]) -> None:
        """Run one step of `STEPS`."""
        kind, router_number, choice, seconds = step
        self.now += seconds
        set_time(self.timers, self.now)
        for name in WORKERS:
            self.controller.registry.renew(name, self.now)
        link = self.links[router_number]
        if kind in ("submit", "flood"):
            for _ in range(1 if kind == "submit" else 40):
                ticket = Ticket(ACCOUNTS[choice])
                link.router.dispatch.submit(ticket, self.now)
        elif kind == "finish" and link.running:
            started = link.running.pop(choice % len(link.running))
            link.router.dispatch.finish(started, self.now)
        elif kind == "report":
            self.report(link)
        elif kind == "plan":
            self.plan()
        elif kind == "update":
            self.deliver(link)
        elif kind == "reconnect":
            self.attach(link)
        elif kind == "exchange":
            for other in self.links:
                self.report(other)
            self.plan()
            for other in self.links:
                self.deliver(other)
        self.start(link)

    def report(self, link: Link) -> None:
        """Deliver a router's report to the controller."""
        report = link.router.attachment.build_report(self.now, full=False)
        assert link.attached is not None
        self.controller.handle_report(link.attached, report)

    def plan(self) -> None:
        """Plan all pools and send the updates, without delivering them."""
        self.controller._full_plan_at = 0.0
        self.controller.plan_due_pools()
        for link in self.links:
            assert link.attached is not None
            link.updates.append(self.controller.build_update(link.attached, 1))

    def deliver(self, link: Link) -> None:
        """Deliver the updates that were sent to a router."""
        for update in link.updates:
            link.router.attachment.apply_update(update, self.now)
        link.updates = []
        self.start(link)

    def start(self, link: Link) -> None:
        """Start all requests that a router can start."""
        while (
            started := link.router.dispatch.start_next(self.now)
        ) is not None:
            link.running.append(started)

    def exchange_all(self) -> None:
        """Exchange reports and updates until no message is undelivered."""
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
        # The controller has granted slots returned by the last reports again.
        for link in self.links:
            assert link.attached is not None
            link.updates.append(self.controller.build_update(link.attached, 1))
            self.deliver(link)

    def check_slots(self) -> None:
        """Check that no worker exceeds its slots, running or granted."""
        schedule = self.controller.get_schedules()[POOL]
        for name in WORKERS:
            assert 0 <= schedule.count_outstanding(name) <= SLOTS
            running = [s for link in self.links for s in link.running]
            assert sum(s.worker == name for s in running) <= SLOTS


@pytest.mark.requirement("R18", fault="lost streams")
@settings(max_examples=80, deadline=None)
@given(STEPS)
def test_never_more_slots_than_a_worker_has(
    steps: list[tuple[str, int, int, float]],
) -> None:
    """Guards against a slot that two routers use at the same time."""
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
    """Guards against lost messages that lose or duplicate slots."""
    fleet = Fleet()
    for step in steps:
        fleet.apply(step)
    fleet.exchange_all()
    schedule = fleet.controller.get_schedules()[POOL]
    for link in fleet.links:
        held = link.router.dispatch.held_slots.count_held()
        router = schedule._routers[link.router.attachment._host]
        assert router.count_held_total() == held


@pytest.mark.requirement("R9", fault="lost streams")
@settings(max_examples=50, deadline=None)
@given(STEPS)
def test_service_is_merged_once(
    steps: list[tuple[str, int, int, float]],
) -> None:
    """Guards against service counted twice when a router reattaches."""
    fleet = Fleet()
    for step in steps:
        fleet.apply(step)
    fleet.exchange_all()
    schedule = fleet.controller.get_schedules()[POOL]
    for name in ACCOUNTS:
        charged = 0.0
        for link in fleet.links:
            account = link.router.dispatch._accounts.get(name)
            if account is not None:
                charged += account.compute_service(fleet.now)
        known = schedule._accounts.get(name)
        if known is None:
            assert charged == 0.0
            continue
        accrued = known.running * fleet.now - known.running_time_sum
        error = known.service_s + accrued - charged
        assert abs(error) < 0.05


@pytest.mark.requirement("R2", fault="flood of requests")
@settings(max_examples=60, deadline=None)
@given(st.lists(st.integers(0, 2), min_size=1, max_size=8), st.integers(1, 3))
def test_no_account_starves(flooded_routers: list[int], cost: int) -> None:
    """Guards against an account starved by a flood of another one."""
    fleet = Fleet()
    for router_number in flooded_routers:
        fleet.apply(("flood", router_number, 0, 0.01))
    fleet.exchange_all()
    waiting = Ticket("tram")
    fleet.links[2].router.dispatch.submit(waiting, fleet.now)
    for _ in range(4 * cost + 4):
        fleet.exchange_all()
        if any(s.ticket is waiting for s in fleet.links[2].running):
            return
        for link in fleet.links:
            for started in list(link.running)[: 8 // cost]:
                link.running.remove(started)
                link.router.dispatch.finish(started, fleet.now)
            fleet.start(link)
    raise AssertionError("the request of the other account never started")
