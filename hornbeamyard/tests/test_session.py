"""Tests of a router's attachment to the lead controller, without sockets."""

from __future__ import annotations

from typing import cast

import pytest

from hornbeamyard.connection.attachment import Attachment
from hornbeamyard.messages import fleet_pb2
from hornbeamyard.pool import constants
from hornbeamyard.pool.backlog import Ticket
from hornbeamyard.pool.dispatch import Dispatch
from hornbeamyard.pool.worker import Worker, WorkerRegistry
from hornbeamyard.process.controller import Controller
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.version.configuration import Configuration, parse_document
from hornbeamyard.version.replica import Replica

POOL = "assistant"


class FakeState:
    """The state of a replica with a configuration without client accounts."""

    document: dict[str, object]

    def __init__(self, is_first_leader: bool) -> None:
        self.is_first_leader = is_first_leader
        self.document = {
            "client_accounts": {},
            "pools": {POOL: {"kind": "model"}},
            "upstreams": {name: {"keys": []} for name in ("w", "x")},
            "operators": {},
        }
        self.configuration: Configuration = parse_document(
            self.document, 1
        ).unwrap()
        self.version = 1
        self.patches: dict[int, bytes] = {}

    def has_first_leader(self) -> bool:
        """Return whether the current leader is the first one."""
        return self.is_first_leader


class FakeReplica:
    """A replica that leads in a given term."""

    def __init__(self, term: int) -> None:
        self.term = term
        self.state = FakeState(is_first_leader=term == 1)

    def is_leader(self) -> bool:
        """Return whether this replica leads."""
        return True


class SimulatedRouter:
    """The scheduling state of a router, without process or connection."""

    def __init__(self, name: str) -> None:
        self.registry = WorkerRegistry()
        self.dispatch = Dispatch(POOL, "centro", self.registry)
        self.attachment = Attachment(
            name,
            "centro",
            fleet_pb2.Identity(host=name, incarnation=1),
            self.registry,
            lambda _: self.dispatch,
            lambda: {POOL: self.dispatch},
            lambda _: None,
        )

    def announce(self, name: str, now: float, leaving: bool = False) -> None:
        """Handle a heartbeat of a worker with 8 slots."""
        worker = Worker(name, "http://10.0.0.1:1", "centro", POOL, 8)
        worker.announced_at = now
        worker.leaving = leaving
        changed = self.registry.announce(worker)
        self.attachment.announce(name, changed)


def build_controller(term: int = 1) -> tuple[Controller, VirtualTimers]:
    """Return a controller that leads, and its clock."""
    timers = VirtualTimers()
    replica = cast(Replica, FakeReplica(term))
    return Controller(replica, timers), timers


def set_time(timers: VirtualTimers, now: float) -> None:
    """Set the virtual clock; no task waits on it."""
    timers._now = now


def exchange(
    router: SimulatedRouter,
    controller: Controller,
    timers: VirtualTimers,
    now: float,
) -> None:
    """Attach a router, and apply one plan to it."""
    set_time(timers, now)
    attached = controller.attach(
        router.attachment.build_report(now, full=True)
    )
    controller.plan_due_pools()
    router.attachment.apply_update(controller.build_update(attached, 1), now)


class TestLease:
    """A router uses its slots until its lease ends, then the fallback."""

    @pytest.mark.requirement("R9", fault="partition")
    def test_falls_back_after_the_lease(self) -> None:
        """Guards against the use of slots that the controller reissued."""
        controller, timers = build_controller()
        router = SimulatedRouter("r0")
        router.announce("w", 0.0)
        router.dispatch.submit(Ticket("hotel"), 0.0)
        exchange(router, controller, timers, 0.0)
        assert router.dispatch.held_slots.count_held() > 0
        lease = constants.ALLOCATION_LEASE_S
        assert not router.attachment.check_lease(lease - 0.01)
        assert router.attachment.needs_probes(lease - 0.01)
        router.registry.record_probe("w", True, lease - 0.5)
        assert router.attachment.check_lease(lease)
        assert router.dispatch.held_slots.is_fallback()
        assert router.dispatch.held_slots.count_idle() == 8

    @pytest.mark.requirement("R9", fault="partition with the lead controller")
    def test_keeps_worker_that_only_the_controller_lost(self) -> None:
        """Guards against a fallback without workers that respond to probes."""
        controller, timers = build_controller()
        router = SimulatedRouter("r0")
        router.announce("w", 0.0)
        router.dispatch.submit(Ticket("hotel"), 0.0)
        exchange(router, controller, timers, 0.0)
        update = fleet_pb2.ControllerUpdate(
            epoch=1, lease_ms=3000, workers_gone=["w"]
        )
        router.attachment.apply_update(update, 2.0)
        assert router.dispatch.held_slots.list_idle() == []
        router.registry.record_probe("w", True, 4.0)
        assert router.attachment.check_lease(5.0)
        assert router.dispatch.held_slots.count_idle() == 8

    @pytest.mark.requirement("R12", fault="lead controller frozen and resumed")
    def test_refuses_stale_epoch(self) -> None:
        """Guards against slots granted by a replaced leader."""
        router = SimulatedRouter("r0")
        new = fleet_pb2.ControllerUpdate(epoch=3, lease_ms=3000)
        assert router.attachment.apply_update(new, 0.0)
        old = fleet_pb2.ControllerUpdate(epoch=2, lease_ms=3000)
        grant = old.pools.add(pool=POOL, hold=8).grants.add()
        grant.worker, grant.number, grant.granted = "w", 1, 8
        assert not router.attachment.apply_update(old, 2.0)
        assert router.dispatch.held_slots.count_held() == 0
        assert router.attachment.check_lease(3.0)


class TestRouters:
    """A router's rank follows the routers that attach and detach."""

    @pytest.mark.requirement("R9", fault="router lost before a partition")
    def test_list_follows_changes(self) -> None:
        """Guards against fallback shares that count a lost router."""
        controller, timers = build_controller()
        routers = [SimulatedRouter(f"r{number}") for number in range(3)]
        links = []
        for router in routers:
            report = router.attachment.build_report(0.0, full=True)
            links.append(controller.attach(report))

        def send_updates() -> None:
            for router, link in zip(routers, links, strict=True):
                update = controller.build_update(link, 1)
                router.attachment.apply_update(update, timers.now())

        send_updates()
        assert routers[2].attachment._routers == ["r0", "r1", "r2"]
        controller.detach(links[1], left=False)
        send_updates()
        assert routers[2].attachment._routers == ["r0", "r2"]
        report = routers[1].attachment.build_report(0.0, full=True)
        links[1] = controller.attach(report)
        send_updates()
        assert routers[1].attachment._routers == ["r0", "r1", "r2"]
        assert routers[2].attachment._routers == ["r0", "r1", "r2"]


class TestAllowedUpstreams:
    """Only upstreams in the newest configuration get requests."""

    @pytest.mark.requirement("R6", fault="upstream removed by a patch")
    def test_removed_upstream_gets_no_new_requests(self) -> None:
        """Guards against use of a removed upstream until its lease ends."""
        controller, timers = build_controller()
        router = SimulatedRouter("r0")
        router.announce("w", 0.0)
        router.dispatch.submit(Ticket("hotel"), 0.0)
        exchange(router, controller, timers, 0.0)
        assert router.registry.get("w") is not None
        controller.replica.state.configuration.upstreams.pop("w")
        exchange(router, controller, timers, 0.1)
        assert controller.get_schedules()[POOL].count_slots() == 0
        assert router.dispatch.held_slots.list_idle() == []
        assert router.dispatch.start_next(0.2) is None

    @pytest.mark.requirement("R6", fault="upstream removed by a patch")
    def test_fallback_ignores_removed_upstream(self) -> None:
        """Guards against use of a removed upstream that responds to probes."""
        controller, timers = build_controller()
        router = SimulatedRouter("r0")
        router.announce("w", 0.0)
        exchange(router, controller, timers, 0.0)
        state = controller.replica.state
        state.document["upstreams"].pop("w")
        state.configuration = parse_document(state.document, 2).unwrap()
        state.version = 2
        exchange(router, controller, timers, 0.1)
        router.registry.record_probe("w", True, 4.0)
        assert router.attachment.check_lease(5.0)
        assert router.dispatch.held_slots.count_idle() == 0


class TestNewLeader:
    """A new lead controller waits until the old one's leases have ended."""

    @pytest.mark.requirement("R18", fault="lead controller killed")
    @pytest.mark.parametrize(
        ("term", "now", "granted"),
        [(1, 0.1, True), (2, 3.2, False), (2, 3.4, True)],
    )
    def test_grants_after_old_leases(
        self, term: int, now: float, granted: bool
    ) -> None:
        """Guards against a slot held by two routers at once."""
        controller, timers = build_controller(term)
        router = SimulatedRouter("r0")
        router.announce("w", 0.0)
        router.dispatch.submit(Ticket("hotel"), 0.0)
        attached = controller.attach(
            router.attachment.build_report(0.0, full=True)
        )
        controller.registry.renew("w", now)
        set_time(timers, now)
        controller.plan_due_pools()
        update = controller.build_update(attached, 1)
        assert bool(update.pools) is granted

    @pytest.mark.requirement("R18", fault="same lead controller elected again")
    def test_rebuilds_schedules(self) -> None:
        """Guards against slots still counted from an earlier term."""
        controller, timers = build_controller()
        router = SimulatedRouter("r0")
        router.announce("w", 0.0)
        router.dispatch.submit(Ticket("hotel"), 0.0)
        exchange(router, controller, timers, 0.0)
        before = controller.get_schedules()[POOL]
        controller.replica.term = 5
        set_time(timers, 1.0)
        controller.plan_due_pools()
        after = controller.get_schedules()[POOL]
        assert after is not before
        assert after.count_outstanding("w") == 0


class TestReports:
    """Announcements in a router's reports."""

    @pytest.mark.requirement("R19")
    def test_renewal_is_sent_as_name(self) -> None:
        """Guards against control traffic for unchanged announcements."""
        router = SimulatedRouter("r0")
        router.announce("w", 0.0)
        first = router.attachment.build_report(0.0, full=True)
        assert [a.upstream for a in first.announcements] == ["w"]
        router.announce("w", 1.0)
        second = router.attachment.build_report(1.0, full=False)
        assert not second.announcements
        assert list(second.renewed) == ["w"]

    @pytest.mark.requirement("R6")
    def test_leave_is_sent_in_full(self) -> None:
        """Guards against a leave that is sent only as a renewal."""
        controller, timers = build_controller()
        router = SimulatedRouter("r0")
        router.announce("w", 0.0)
        exchange(router, controller, timers, 0.0)
        router.announce("w", 0.5, leaving=True)
        report = router.attachment.build_report(0.5, full=False)
        assert report.announcements[0].leaving
        set_time(timers, 0.5)
        controller.handle_report(controller.routers["r0"], report)
        known = controller.registry.get("w")
        assert known is not None
        assert known.leaving
