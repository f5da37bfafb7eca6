"""Evacuation of availability zones, from the order to the routers."""

from __future__ import annotations

import json
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path

import anyio
import pytest
from click.testing import CliRunner, Result

from hornbeamyard.connection.directory_codec import UsageDecoder
from hornbeamyard.connection.upstreams import UpstreamConnections
from hornbeamyard.messages import fleet_pb2
from hornbeamyard.pool.balancer import (
    HEADROOM_WAIT_MS,
    OVERLOADED_WAIT_MS,
    Balancer,
    Refusal,
    RefusalReason,
)
from hornbeamyard.pool.choice import Placement, rank_engines
from hornbeamyard.pool.engine import Engine, Server
from hornbeamyard.pool.evacuations import (
    MAX_ZONE_BYTES,
    EvacuationReport,
    Evacuations,
    check_zone,
)
from hornbeamyard.pool.rate_limits import RateLimiter
from hornbeamyard.pool.upstream_registry import UpstreamState
from hornbeamyard.process.commands import main as run_command
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.version import state as state_module
from hornbeamyard.version.state import FleetState

from .raw_upstream import run_raw_upstream, send_response
from .test_balancer import (
    PREFILL_MS_PER_TOKEN,
    WAIT_MS,
    build_balancer,
    build_demand,
)
from .test_directory import CONTROLLERS, Fleet, ask, build_upstream, run_fleet
from .test_directory_router import build_router
from .test_forwarding import Harness, count_received
from .test_forwarding import run as run_forwarder


def order(
    state: FleetState, zone: str, evacuated: bool = True
) -> fleet_pb2.EvacuationResult:
    """Apply an order as the next log entry."""
    entry = fleet_pb2.LogEntry(
        index=state.last_index + 1,
        term=1,
        evacuation=fleet_pb2.EvacuationOrder(
            availability_zone=zone, evacuated=evacuated
        ),
    )
    outcome = state.apply(entry)
    assert isinstance(outcome, fleet_pb2.EvacuationResult)
    return outcome


class TestState:
    """The set of evacuated zones in the replicated state."""

    def test_repeated_orders_change_nothing(self) -> None:
        """Guards against a resent order that undoes or renumbers the set."""
        state = FleetState()
        for zone, evacuated, zones, index in (
            ("a", False, set(), 0),
            ("a", True, {"a"}, 2),
            ("a", True, {"a"}, 2),
            ("b", True, {"a", "b"}, 4),
            ("a", False, {"b"}, 5),
            ("a", False, {"b"}, 5),
        ):
            assert order(state, zone, evacuated).decided
            assert state.evacuated_zones == zones
            assert state.evacuations_index == index

    def test_survives_snapshot(self) -> None:
        """Guards against a set that is lost with the log before a snapshot."""
        state = FleetState()
        for zone in ("b", "a", "\u00e9-1"):
            order(state, zone)
        order(state, "b", False)
        data = state.build_snapshot().SerializeToString()
        snapshot = fleet_pb2.SnapshotState.FromString(data)
        restored = FleetState.from_snapshot(snapshot)
        assert restored.evacuated_zones == {"a", "\u00e9-1"}
        assert restored.evacuations_index == 4

    def test_number_of_zones_is_limited(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a set that exceeds the size of a message."""
        monkeypatch.setattr(state_module, "MAX_EVACUATED_ZONES", 2)
        state = FleetState()
        order(state, "a")
        order(state, "b")
        assert order(state, "c").is_full
        # An order that is in force already is acknowledged.
        assert not order(state, "a").is_full
        assert state.evacuated_zones == {"a", "b"}
        order(state, "a", False)
        assert not order(state, "c").is_full


class TestZoneNames:
    """Any name that can be stored is accepted."""

    @pytest.mark.parametrize(
        "zone", ["a", "zone/1", "\u00e9" * (MAX_ZONE_BYTES // 2), "a b"]
    )
    def test_accepts(self, zone: str) -> None:
        """Guards against an order refused for a zone that may exist."""
        assert check_zone(zone) == []

    @pytest.mark.parametrize(
        "zone",
        ["", "a\n", "\ud800", "x" * (MAX_ZONE_BYTES + 1), "\u00e9" * 128],
    )
    def test_refuses(self, zone: str) -> None:
        """Guards against a name that no message can hold."""
        assert len(check_zone(zone)) == 1


def report(
    index: int,
    *zones: str,
    controller: str = "c0",
    unconfirmed: tuple[str, ...] = (),
    at: int = 0,
) -> EvacuationReport:
    """Return a controller's report."""
    return EvacuationReport(
        controller, frozenset(zones), index, frozenset(unconfirmed), at
    )


class TestNewestSet:
    """A router keeps the newest set that it has heard of."""

    def test_ignores_older_set(self) -> None:
        """Guards against a lagging controller that ends an evacuation."""
        evacuations = Evacuations()
        assert evacuations.apply(report(0)) is None
        change = evacuations.apply(report(7, "a", "b"))
        assert change is not None
        assert (change.started, change.ended) == ({"a", "b"}, set())
        assert evacuations.apply(report(5)) is None
        assert evacuations.apply(report(7, "a", "b")) is None
        assert evacuations.zones == {"a", "b"}
        change = evacuations.apply(report(9, "b", "c"))
        assert change is not None
        assert (change.started, change.ended) == ({"c"}, {"a"})

    def test_unconfirmed_orders(self) -> None:
        """Guards against use of a zone between a restart and an election.

        A set from a snapshot doesn't contain the order yet, and its
        confirmation must not open the zone for a moment.
        """
        evacuations = Evacuations()
        for known, change in (
            (report(3, "a", unconfirmed=("b",), at=6), ({"a", "b"}, set())),
            (report(6, "a", "b"), None),
            # A controller that has been cut off since.
            (report(3, "a", controller="c1", unconfirmed=("c",), at=6), None),
            (report(8, "a"), (set(), {"b"})),
            (report(8, "a", unconfirmed=("b",), at=9), ({"b"}, set())),
            # The order was not committed, and a leader has cut the log.
            (report(0), (set(), {"b"})),
        ):
            changed = evacuations.apply(known)
            assert (
                (changed.started, changed.ended) if changed else None
            ) == change

    def test_unconfirmed_order_of_lost_controller(self) -> None:
        """Guards against a zone that stays evacuated without an order."""
        evacuations = Evacuations()
        evacuations.apply(report(0, unconfirmed=("a",), at=6))
        assert evacuations.retain({"c0", "c1"}) is None
        change = evacuations.retain({"c1", "c2"})
        assert change is not None
        assert change.ended == {"a"}


def evacuate(balancer: Balancer, *zones: str) -> list[Server]:
    """Apply a newer set of evacuated zones, as a router does."""
    evacuations = balancer._evacuations
    change = evacuations.apply(report(evacuations.index + 1, *zones))
    assert change is not None
    return balancer.apply_evacuations(change)


def pause(server: Server) -> None:
    """Make an upstream ask for a pause."""
    server.pause(5.0, 0.0)


def eject(server: Server) -> None:
    """Make an upstream fail."""
    server.eject(0.0)


def limit_rate(server: Server) -> None:
    """Make an upstream take no more requests a second."""
    server.limiter = RateLimiter(0.0, 0.0)


class TestBalancer:
    """Nothing is sent to upstreams of an evacuated zone."""

    @pytest.mark.parametrize("software_version", [None, "v1"])
    def test_places_elsewhere(self, software_version: str | None) -> None:
        """Guards against first attempts and resumed streams in the zone."""
        balancer = build_balancer(engines=18, zones=3)
        for server in balancer.servers.values():
            server.upstream.software_version = "v1"
        evacuate(balancer, "zone-1", "zone-9")
        used = set()
        for number in range(60):
            demand = build_demand(
                shared=5000,
                part=f"p{number}",
                software_version=software_version,
            )
            placed = balancer.place(demand, 0.0, frozenset())
            assert isinstance(placed, Placement)
            balancer.start(placed, demand, 0.0)
            used.add(placed.server.upstream.availability_zone)
        assert used == {"zone-0", "zone-2"}
        assert balancer.count_evacuated() == 6

    @pytest.mark.parametrize("make_unusable", [pause, eject, limit_rate])
    def test_others_are_unusable(
        self, make_unusable: Callable[[Server], None]
    ) -> None:
        """Guards against the zone as a last resort, and a wrong reason."""
        balancer = build_balancer(engines=4, zones=2)
        evacuate(balancer, "zone-1")
        for server in balancer.servers.values():
            if server.upstream.availability_zone == "zone-0":
                make_unusable(server)
        placed = balancer.place(build_demand(), 0.0, frozenset())
        if make_unusable is eject:
            assert isinstance(placed, Placement)
            zone = placed.server.upstream.availability_zone
            assert zone == "zone-0"
            return
        assert isinstance(placed, Refusal)
        assert placed.reason in (
            RefusalReason.PAUSED,
            RefusalReason.RATE_LIMITED,
        )

    def test_retry_stays_outside(self) -> None:
        """Guards against a retry that falls back to the zone."""
        balancer = build_balancer(engines=2, zones=2)
        evacuate(balancer, "zone-1")
        placed = balancer.place(build_demand(), 0.0, frozenset({"e0"}))
        assert isinstance(placed, Refusal)
        assert placed.reason is RefusalReason.NO_UPSTREAM

    @pytest.mark.parametrize("drains", [False, True])
    def test_placed_request_is_not_sent(self, drains: bool) -> None:
        """Guards against a request that was placed just before the order."""
        balancer = build_balancer(engines=1)
        balancer.upstream_drain_s = 4.0
        demand = build_demand(software_version="")
        placed = balancer.place(demand, 0.0, frozenset())
        assert isinstance(placed, Placement)
        if drains:
            upstream = replace(
                placed.server.upstream,
                state=UpstreamState.DRAINING,
                leaving_since=0.0,
            )
            balancer.apply_upstream(upstream)
        assert balancer.may_send(placed.server, demand, 0.0)
        evacuate(balancer, "zone-0")
        assert not balancer.may_send(placed.server, demand, 0.0)

    def test_capacity_drops_at_once(self) -> None:
        """Guards against idle engines of the zone that hide an overload."""
        balancer = build_balancer(engines=6, zones=2)
        for server in balancer.servers.values():
            if server.upstream.availability_zone == "zone-0":
                server.own_load.prefill_tokens = int(
                    2 * OVERLOADED_WAIT_MS / PREFILL_MS_PER_TOKEN
                )
        balancer.servers["e0"].own_load.prefill_tokens = 0
        balancer.place(build_demand(), 0.0, frozenset())
        assert OVERLOADED_WAIT_MS > HEADROOM_WAIT_MS
        assert balancer.has_headroom(0.0)
        assert balancer._had_headroom(0.0)
        assert not balancer.is_overloaded(0.0)
        evacuate(balancer, "zone-1")
        assert not balancer.has_headroom(0.0)
        assert not balancer._had_headroom(0.0)
        assert balancer.is_overloaded(0.0)
        assert balancer.describe_load(0.0)["engines"] == 3

    def test_assumed_load_goes_elsewhere(self) -> None:
        """Guards against load of others assumed where they send nothing."""
        balancer = build_balancer(engines=6, zones=2)
        evacuate(balancer, "zone-1")
        balancer.assumed_routers = 60.0
        demand = build_demand()
        placed = balancer.place(demand, 0.0, frozenset())
        assert isinstance(placed, Placement)
        balancer.start(placed, demand, 0.0)
        assumed = {
            server.upstream.availability_zone
            for server in balancer.servers.values()
            if server.others_load.prefill_tokens
        }
        assert assumed == {"zone-0"}

    def test_no_copy_from_the_zone(self) -> None:
        """Guards against engines that fetch shared parts from the zone."""
        balancer = build_balancer(engines=2, zones=2)
        balancer._choice.copy_ms_per_token = 0.001
        demand = build_demand(shared=50_000)
        source = balancer.servers["e1"]
        assert isinstance(source, Engine)
        source.record_parts(demand, 0.0)
        evacuate(balancer, "zone-1")
        placed = balancer.place(demand, 0.0, frozenset())
        assert isinstance(placed, Placement)
        assert (placed.server.id, placed.copy_from) == ("e0", "")

    def test_preferred_engines_return(self) -> None:
        """Guards against parts that lose their engines by an evacuation."""
        balancer = build_balancer(engines=18, zones=3)
        engines = list(balancer.servers.values())
        parts = [f"p{number}" for number in range(20)]

        def list_ranked() -> list[list[str]]:
            usable = balancer._list_usable(build_demand(), 0.0, frozenset())
            return [balancer._choice.rank(part, usable) for part in parts]

        before = list_ranked()
        assert evacuate(balancer, "zone-1") == []
        in_use = [
            e for e in engines if e.upstream.availability_zone != "zone-1"
        ]
        assert [order[0] for order in list_ranked()] == [
            rank_engines(part, in_use)[0] for part in parts
        ]
        returned = evacuate(balancer)
        assert {s.upstream.availability_zone for s in returned} == {"zone-1"}
        assert len(returned) == 6
        assert list_ranked() == before

    @pytest.mark.parametrize("model", ["", "m1"])
    def test_all_evacuated(self, model: str) -> None:
        """Guards against callers that wait although nothing can serve them."""
        balancer = build_balancer(engines=4, zones=2)
        balancer.servers["e0"].upstream = replace(
            balancer.servers["e0"].upstream, models=("m2",)
        )

        async def check() -> None:
            with anyio.fail_after(0.05):
                refused = await balancer.admit(
                    build_demand(model=model), 0.0, frozenset()
                )
            assert isinstance(refused, Refusal)
            assert refused.reason is RefusalReason.EVACUATED
            assert refused.retry_after_s > 0

        # The only upstream of zone 0 that is left serves another model.
        if model:
            balancer.servers.pop("e2")
            evacuate(balancer, "zone-1")
        else:
            evacuate(balancer, "zone-0", "zone-1")
        anyio.run(check)

    def test_waiting_requests(self) -> None:
        """Guards against requests that wait for engines of the zone."""
        timers = VirtualTimers()
        balancer = build_balancer(engines=2, limit=timers.limit, zones=2)
        for server in balancer.servers.values():
            server.own_load.prefill_tokens = int(
                WAIT_MS / PREFILL_MS_PER_TOKEN
            )
        results: list[Placement | Refusal] = []

        async def admit() -> None:
            results.append(
                await balancer.admit(build_demand(), 0.0, frozenset())
            )

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(admit)
                tasks.start_soon(admit)
                await timers.advance(0.01)
                evacuate(balancer, "zone-1")
                balancer.start_waiting(timers.now())
                await timers.advance(0.01)
                assert results == []
                # Room for one of the two.
                balancer.servers["e0"].own_load.prefill_tokens = int(
                    830 / PREFILL_MS_PER_TOKEN
                )
                balancer.start_waiting(timers.now())
                await timers.advance(0.01)
                evacuate(balancer, "zone-0", "zone-1")
                balancer.start_waiting(timers.now())
                await timers.advance(0.01)
                assert len(results) == 2

        anyio.run(run)
        first, second = results
        assert isinstance(first, Placement)
        assert first.server.id == "e0"
        assert isinstance(second, Refusal)
        assert second.reason is RefusalReason.EVACUATED


class TestForwarder:
    """What callers get while zones are evacuated."""

    def test_refused_while_all_are_evacuated(self) -> None:
        """Guards against a refusal without a time for the next attempt."""

        async def test(harness: Harness) -> None:
            evacuate(harness.balancer, "zone-a")
            received = await harness.send_request()
            assert received.status == 503
            assert float(received.headers[b"retry-after"]) > 0
            assert b"evacuated" in received.body
            evacuate(harness.balancer)
            assert (await harness.send_request()).status == 200
            assert count_received(harness) == 1

        run_forwarder(test, [send_response()])

    def test_moves_before_it_is_sent(self) -> None:
        """Guards against a request that is sent after its placement.

        The order arrives while the connection is opened.
        """

        async def test(harness: Harness) -> None:
            first, second = harness.balancer.servers.values()
            second.upstream.availability_zone = "zone-b"
            second.own_load.running = 3
            connections = harness.forwarder._upstreams
            connect = connections.connect

            async def connect_and_evacuate(address: str) -> object:
                connection = await connect(address)
                if not harness.balancer._evacuations.index:
                    evacuate(harness.balancer, "zone-a")
                return connection

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(
                    type(connections),
                    "connect",
                    lambda _, address: connect_and_evacuate(address),
                )
                assert (await harness.send_request()).status == 200
            left, used = harness.raw_upstreams  # type: ignore[attr-defined]
            assert (len(left.received), len(used.received)) == (0, 1)
            assert first.own_load.running == 0

        run_forwarder(test, [send_response()], [send_response()])


class TestRouter:
    """A router applies what controllers send."""

    def test_applies_newest_set_first(self) -> None:
        """Guards against an older set, and against late use of a message.

        The first message names an upstream in an evacuated zone, for a pool
        that the router doesn't know yet.
        """

        async def test() -> None:
            router, lines, writer = build_router(VirtualTimers(start=100.0))
            upstream = build_upstream("u1", 9, "app")
            record = fleet_pb2.UpstreamRecord(
                id="u1",
                pool="app",
                address=upstream.address,
                availability_zone="zone-a",
                state=fleet_pb2.UpstreamRecord.READY,
                slots=4,
                sequence=1,
            )

            def apply(index: int, *zones: str) -> None:
                update = fleet_pb2.DirectoryUpdate(
                    evacuated_zones=zones,
                    evacuations_index=index,
                    upstreams=[record],
                )
                router.subscription._apply_update("c0", update, UsageDecoder())

            def read_metric(name: str) -> list[float]:
                return [s.value for s in router._sample() if s.name == name]

            apply(7, "zone-a")
            balancer = router.find_balancer("app")
            place = balancer.place(build_demand(), 100.0, frozenset())
            assert isinstance(place, Refusal)
            assert place.reason is RefusalReason.EVACUATED
            assert read_metric("evacuated_zones") == [1]
            assert read_metric("upstreams_evacuated") == [1]
            apply(5)
            apply(0)
            assert balancer.count_evacuated() == 1
            apply(9)
            assert balancer.count_evacuated() == 0
            demand = build_demand(now=100.0)
            placed = balancer.place(demand, 100.0, frozenset())
            assert isinstance(placed, Placement)
            writer.flush(1.0)
            noted = [json.loads(x) for x in lines.getvalue().splitlines()]
            changes = [
                (n["index"], n["zones"], n["started"], n["ended"])
                for n in noted
                if n["event"] == "evacuations"
            ]
            assert changes == [
                (7, ["zone-a"], ["zone-a"], []),
                (9, [], [], ["zone-a"]),
            ]

        anyio.run(test)

    def test_sends_no_probes(self) -> None:
        """Guards against connections that only find out about a crash."""

        async def test() -> None:
            router, _, _ = build_router()
            probed: list[str] = []

            async def probe(_: UpstreamConnections, address: str) -> bool:
                probed.append(address)
                return False

            async with run_raw_upstream() as raw:
                upstream = build_upstream("u1", raw.port, "app")
                draining = replace(upstream, state=UpstreamState.DRAINING)
                with pytest.MonkeyPatch.context() as patch:
                    patch.setattr(UpstreamConnections, "has_ended", probe)
                    router._evacuations.apply(report(1, "zone-a"))
                    for each in (upstream, draining):
                        await router.notices.record_broken(each, ["p"], 0.0)
                    assert probed == []
                    router._evacuations.apply(report(2))
                    for each in (upstream, draining):
                        await router.notices.record_broken(each, ["p"], 0.0)
                    assert len(probed) == 2

        anyio.run(test)


async def submit_order(
    fleet: Fleet, zone: str, evacuated: bool = True
) -> None:
    """Send an order to each controller in turn until it is acknowledged."""
    with anyio.fail_after(15):
        while True:
            for registrar in list(fleet.registrars.values()):
                ordered = await registrar.order_evacuation(zone, evacuated)
                if ordered.decided:
                    return
            await anyio.sleep(0.1)


def find_leader_number(fleet: Fleet) -> int:
    """Return the number of the controller that leads."""
    leader = fleet.find_leader()
    return next(n for n, r in fleet.registrars.items() if r is leader)


def list_zones(fleet: Fleet) -> list[frozenset[str]]:
    """Return the zones that are evacuated at each controller."""
    return [
        registrar.replica.state.evacuated_zones
        for registrar in fleet.registrars.values()
    ]


class TestFleet:
    """Orders with real controllers and a router on loopback."""

    def test_loss_of_the_leader(self, tmp_path: Path) -> None:
        """Guards against an acknowledged order that its leader takes along.

        Orders go to controllers that don't lead. The router learns of them
        in its streams, and of the second one without the first leader.
        """

        async def test(fleet: Fleet) -> None:
            fleet.start_router()
            router = fleet.router
            assert router is not None
            async with AsyncExitStack() as stack:
                raws = {
                    zone: await stack.enter_async_context(
                        run_raw_upstream(*[send_response()] * 20)
                    )
                    for zone in ("zone-a", "zone-b", "zone-c")
                }
                await fleet.submit(5)
                for zone, raw in raws.items():
                    upstream = build_upstream(f"u-{zone}", raw.port, "app")
                    upstream.availability_zone = zone
                    for registrar in fleet.registrars.values():
                        registrar.announce(replace(upstream))
                await fleet.wait(router.is_ready)
                await fleet.wait(
                    lambda: len(router.find_balancer("app").servers) == 3
                )
                leader = find_leader_number(fleet)
                other = (leader + 1) % CONTROLLERS
                registrar = fleet.registrars[other]
                ordered = await registrar.order_evacuation("zone-a", True)
                assert ordered.status == 200
                held = [zones == {"zone-a"} for zones in list_zones(fleet)]
                assert held.count(True) >= 2
                await fleet.wait(
                    lambda: router._evacuations.zones == {"zone-a"}
                )
                for _ in range(6):
                    assert (await ask(fleet, "/read/1"))[0] == 200
                assert raws["zone-a"].received == []
                fleet.kill_controller(leader)
                await submit_order(fleet, "zone-b")
                for zones in list_zones(fleet):
                    assert "zone-a" in zones
                await fleet.wait(
                    lambda: router._evacuations.zones == {"zone-a", "zone-b"}
                )
                before = len(raws["zone-b"].received)
                for _ in range(6):
                    assert (await ask(fleet, "/read/1"))[0] == 200
                assert len(raws["zone-b"].received) == before
                assert raws["zone-a"].received == []
                await submit_order(fleet, "zone-c")
                await fleet.wait(lambda: len(router._evacuations.zones) == 3)
                status, body = await ask(fleet, "/read/1")
                assert (status, b"evacuated" in body) == (503, True)
                await submit_order(fleet, "zone-a", False)
                await fleet.wait(lambda: len(router._evacuations.zones) == 2)
                assert (await ask(fleet, "/read/1"))[0] == 200
                assert len(raws["zone-a"].received) == 1

        run_fleet(tmp_path, test)

    def test_loss_of_a_disk(self, tmp_path: Path) -> None:
        """Guards against an order that is only on the disk that is lost.

        The leader loses its disk right after the acknowledgement, and the
        others have been killed meanwhile.
        """

        async def test(fleet: Fleet) -> None:
            await fleet.submit(5)
            leader = find_leader_number(fleet)
            registrar = fleet.registrars[leader]
            ordered = await registrar.order_evacuation("zone-a", True)
            assert ordered.decided
            for number in range(CONTROLLERS):
                fleet.kill_controller(number)
            await anyio.sleep(0.5)
            for file in (tmp_path / f"data-{leader}").iterdir():
                file.unlink()
            for number in range(CONTROLLERS):
                fleet.start_controller(number, first_start=False)
            await fleet.wait(
                lambda: list_zones(fleet) == [{"zone-a"}] * CONTROLLERS
            )

        run_fleet(tmp_path, test)

    def test_all_processes_killed(self, tmp_path: Path) -> None:
        """Guards against use of the zone after a restart of all processes.

        The snapshots hold the routing but not the order. The first controller
        that starts has no leader, and a new router becomes ready by it.
        """

        async def test(fleet: Fleet) -> None:
            await fleet.submit(5)
            await fleet.wait(
                lambda: all(
                    r.replica.state.routing.version == 5
                    for r in fleet.registrars.values()
                )
            )
            for registrar in fleet.registrars.values():
                replica = registrar.replica
                await replica.jobs.execute(replica._save_snapshot)
            leader = find_leader_number(fleet)
            ordered = await fleet.registrars[leader].order_evacuation(
                "zone-a", True
            )
            assert ordered.decided
            # A router finds the others by the seeds, the first two.
            first = next(
                n
                for n in (0, 1)
                if fleet.registrars[n].replica.state.evacuated_zones
            )
            for number in range(CONTROLLERS):
                fleet.kill_controller(number)
            await anyio.sleep(0.5)
            fleet.start_controller(first, first_start=False)
            fleet.start_router()
            router = fleet.router
            assert router is not None
            async with run_raw_upstream(send_response()) as raw:
                await fleet.wait(
                    lambda: fleet.registrars[first].replica.state.last_index
                )
                fleet.start_announcing(
                    first, build_upstream("u1", raw.port, "app")
                )
                await fleet.wait(router.is_ready)
                state = fleet.registrars[first].replica.state
                assert state.evacuated_zones == set()
                assert router._evacuations.zones == {"zone-a"}
                status, body = await ask(fleet, "/read/1")
                assert (status, b"evacuated" in body) == (503, True)
                for number in range(CONTROLLERS):
                    if number != first:
                        fleet.start_controller(number, first_start=False)
                await fleet.wait(lambda: router._evacuations.index)
                assert router._evacuations.zones == {"zone-a"}
                await submit_order(fleet, "zone-a", False)
                await fleet.wait(lambda: not router._evacuations.zones)
                await fleet.wait(
                    lambda: (
                        not any(
                            r.replica.find_unconfirmed_orders()
                            for r in fleet.registrars.values()
                        )
                    )
                )
                assert (await ask(fleet, "/read/1"))[0] == 200
                assert len(raw.received) == 1

        run_fleet(tmp_path, test)

    def test_unknown_outcome(self, tmp_path: Path) -> None:
        """Guards against an acknowledgement of an order that may be lost.

        A leader without followers can't commit, and a controller without a
        leader can't submit.
        """

        async def test(fleet: Fleet) -> None:
            leader = find_leader_number(fleet)
            registrar = fleet.registrars[leader]
            for number in range(CONTROLLERS):
                if number != leader:
                    fleet.kill_controller(number)
            for _ in range(3):
                ordered = await registrar.order_evacuation("zone-a", True)
                assert ordered.status == 503
                assert not registrar.replica.state.evacuated_zones
                assert await registrar.read_status() is None

        run_fleet(tmp_path, test)

    def test_commands(self, tmp_path: Path) -> None:
        """Guards against commands that need to know the leader."""

        async def test(fleet: Fleet) -> None:
            path = tmp_path / "settings.json"
            settings = {
                "fleet": "test",
                "host": "r9",
                "availability_zone": "zone-a",
                "plain_text": True,
                "router": {"address": "127.0.0.1:1"},
                "directory": {"seeds": fleet.peers[:2]},
            }
            path.write_text(json.dumps(settings))

            async def run(*words: str) -> Result:
                arguments = [*words, f"--settings={path}"]
                return await anyio.to_thread.run_sync(
                    lambda: CliRunner().invoke(run_command, arguments)
                )

            await fleet.submit(5)
            listed = await run("zones", "list")
            assert listed.output == "no availability zone is evacuated\n"
            for _ in range(2):
                done = await run("zones", "evacuate", "zone-é")
                assert (done.exit_code, done.output) == (
                    0,
                    "zone-é is evacuated\n",
                )
            listed = await run("zones", "list", "--json")
            assert json.loads(listed.output)["evacuated_zones"] == ["zone-é"]
            status = await run("status")
            assert "evacuated zones: zone-é" in status.output
            assert "routing version 5" in status.output
            assert (await run("accounts")).exit_code == 2
            assert (await run("zones", "evacuate", "")).exit_code == 2
            settings.pop("directory")
            other = tmp_path / "other.json"
            other.write_text(
                json.dumps({**settings, "controllers": {"c": "127.0.0.1:2"}})
            )
            for words in (["list"], ["evacuate", "a"]):
                arguments = ["zones", *words, f"--settings={other}"]
                refused = CliRunner().invoke(run_command, arguments)
                assert refused.exit_code == 2
                assert "has no route directory" in refused.output
            assert (await run("zones", "restore", "zone-é")).exit_code == 0
            listed = await run("zones", "list", "--json")
            assert json.loads(listed.output)["evacuated_zones"] == []

        run_fleet(tmp_path, test)
