"""Tests of the placement and admission of requests, with load patterns."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import anyio
import pytest

from hornbeamyard.pool.balancer import (
    Balancer,
    Placement,
    Refusal,
    RefusalReason,
    rank_engines,
)
from hornbeamyard.pool.demand import PromptPart, RequestDemand
from hornbeamyard.pool.engine import Engine
from hornbeamyard.pool.shares import Shares
from hornbeamyard.pool.upstream_registry import Upstream, UpstreamState
from hornbeamyard.pool.usage import AccountUsage, CachedPart, UpstreamLoad
from hornbeamyard.process.timers import VirtualTimers

ENGINES = 5
READ_MS = 0.02


def build_steering(
    engines: int = ENGINES,
    limit: Callable[[float], object] | None = None,
    zones: int = 1,
) -> Balancer:
    """Return the engines of one pool, all idle."""
    chooser = random.Random(0)
    steering = Balancer(
        "model",
        "zone-0",
        Shares(),
        chooser.random,
        limit or anyio.move_on_after,  # type: ignore[arg-type]
    )
    for number in range(engines):
        steering.apply_upstream(
            Upstream(
                f"e{number}",
                "model",
                f"10.0.0.{number}:80",
                f"zone-{number % zones}",
                UpstreamState.READY,
                64,
                1,
            )
        )
    steering.configure(300_000, 64, 1000 * engines / READ_MS, 60.0)
    return steering


def ask(
    own: int = 1000,
    shared: int = 0,
    part: str = "p",
    now: float = 0.0,
    target_s: float = 1.0,
    **fields: object,
) -> RequestDemand:
    """Return a request with a shared and an own part."""
    parts = (
        (PromptPart(part, shared), PromptPart("own", own)) if shared else ()
    )
    return RequestDemand(
        request_id="r",
        account="a",
        priority=1,
        arrived_at=now,
        target_s=target_s,
        deadline_at=now + 12,
        parts=parts,
        prompt_tokens=own + shared,
        output_tokens=100,
        **fields,  # type: ignore[arg-type]
    )


def place(
    steering: Balancer, demand: RequestDemand, now: float = 0.0
) -> Placement:
    """Place a request that must be placed, and count it."""
    placed = steering.place(demand, now, frozenset())
    assert isinstance(placed, Placement)
    steering.start(placed, demand, now)
    return placed


class TestPlacement:
    """Requests go where their shared parts are, unless that costs more."""

    def test_same_part_goes_to_the_same_engine(self) -> None:
        """Guards against shared parts that every engine reads again."""
        steering = build_steering()
        for part in ("p1", "p2", "p3"):
            demand = ask(shared=5000, part=part)
            used = {place(steering, demand).server.id for _ in range(2)}
            home = rank_engines(part, steering.servers.values())[0]
            assert used == {home}

    def test_routers_agree_without_a_message(self) -> None:
        """Guards against a part that each router has read elsewhere."""
        parts = [f"p{number}" for number in range(50)]
        orders = [
            [rank_engines(p, build_steering().servers.values()) for p in parts]
            for _ in range(2)
        ]
        assert orders[0] == orders[1]
        homes = Counter(order[0] for order in orders[0])
        assert max(homes.values()) <= 3 * len(parts) / ENGINES

    def test_hot_part_spreads_over_engines(self) -> None:
        """Load pattern: one part gets all requests of a second."""
        steering = build_steering()
        used = Counter(
            place(steering, ask(own=6000, shared=5000)).server.id
            for _ in range(8)
        )
        assert 2 <= len(used) <= 4

    def test_parts_that_another_router_had_read(self) -> None:
        """Guards against routers that each spill to an engine of their own."""
        first, second, third = (build_steering() for _ in range(3))
        home = rank_engines("p", first.servers.values())[0]
        for steering in (first, second, third):
            steering.servers[home].own_load.prefill_tokens = int(900 / READ_MS)
        spilled = place(first, ask(1000, 5000)).server.id
        assert spilled != home
        for steering in (second, third):
            busy = steering.servers[spilled]
            busy.own_load.prefill_tokens = int(200 / READ_MS)
        assert place(second, ask(1000, 5000)).server.id != spilled
        third.record_cached_parts(first.cached_parts, 0.0)
        assert place(third, ask(1000, 5000)).server.id == spilled

    def test_small_prompts_go_to_idle_engines(self) -> None:
        steering = build_steering()
        used = Counter(
            place(steering, ask(own=800)).server.id for _ in range(20)
        )
        assert max(used.values()) - min(used.values()) <= 2
        assert len(used) == ENGINES

    def test_small_shared_part_is_read_by_few_engines(self) -> None:
        """Guards against a part that each engine reads once in a while."""
        steering = build_steering()
        used = set()
        for number in range(50):
            now = number * 0.1
            placed = place(steering, ask(600, 300, now=now), now)
            used.add(placed.server.id)
            steering.finish_prefill(placed)
            steering.finish(placed, ask(600, 300))
        assert len(used) == 1

    def test_own_zone_first_at_equal_load(self) -> None:
        """Guards against needless traffic between zones."""
        steering = build_steering(engines=6, zones=3)
        zones = {
            place(steering, ask(own=100)).server.upstream.availability_zone
            for _ in range(4)
        }
        assert zones == {"zone-0"}

    def test_draining_and_excluded_engines_get_nothing(self) -> None:
        steering = build_steering(engines=3)
        draining = steering.servers["e0"].upstream
        draining.state = UpstreamState.DRAINING
        excluded = frozenset(["e1"])
        for _ in range(10):
            placed = steering.place(ask(), 0.0, excluded)
            assert isinstance(placed, Placement)
            assert placed.server.id == "e2"

    def test_failing_engine_is_avoided_and_tried_again(self) -> None:
        """Guards against an engine that looks idle as it fails at once."""
        steering = build_steering(engines=2)
        server = steering.servers["e0"]
        assert [server.record_failure(0.0) for _ in range(4)][-1]
        placed = [place(steering, ask(), 0.1).server.id for _ in range(5)]
        assert set(placed) == {"e1"}
        assert server.is_usable(10.0)

    def test_last_engine_is_used_although_avoided(self) -> None:
        steering = build_steering(engines=1)
        steering.servers["e0"].eject(0.0)
        assert isinstance(steering.place(ask(), 0.0, frozenset()), Placement)


class TestAdmission:
    """A request that can't be served in time is refused at once."""

    def test_refused_when_the_wait_exceeds_the_target(self) -> None:
        """Load pattern: all engines have a second of prompts to read."""
        steering = build_steering()
        for server in steering.servers.values():
            server.own_load.prefill_tokens = int(1000 / READ_MS)
        refusal = steering.place(ask(), 0.0, frozenset())
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.TOO_LATE
        assert refusal.retry_after_s >= 0.5

    def test_large_prompt_is_not_refused_for_its_size(self) -> None:
        """Guards against kinds of requests whose largest never run."""
        steering = build_steering()
        large = ask(own=55_000)
        assert isinstance(steering.place(large, 0.0, frozenset()), Placement)

    def test_memory_bounds_the_batch(self) -> None:
        """Guards against preempted requests, which read their prompt again."""
        steering = build_steering(engines=1)
        for number in range(200):
            demand = ask(own=10_000, now=float(number))
            placed = steering.place(demand, float(number), frozenset())
            if isinstance(placed, Refusal):
                break
            steering.start(placed, demand, float(number))
            steering.finish_prefill(placed)
        assert placed.reason is RefusalReason.NO_ROOM  # type: ignore[union-attr]
        held = steering.servers["e0"].own_load.kv_tokens
        assert held <= 300_000

    def test_work_of_other_routers_counts(self) -> None:
        """Guards against routers that fill an engine together."""
        steering = build_steering(engines=1)
        busy = {"e0": UpstreamLoad(10, int(2000 / READ_MS), 1000)}
        steering.apply_fleet_usage(busy, 0.0)
        refusal = steering.place(ask(), 0.0, frozenset())
        assert isinstance(refusal, Refusal)
        # What the others had to read is read as time passes.
        late = ask(now=2.1)
        assert isinstance(steering.place(late, 2.1, frozenset()), Placement)

    def test_stream_that_cannot_end_in_time(self) -> None:
        steering = build_steering(engines=1)
        engine = steering.servers["e0"]
        assert isinstance(engine, Engine)
        engine.decode_ms_per_token = 200.0
        refusal = steering.place(ask(), 0.0, frozenset())
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.TOO_LATE

    def test_no_upstream(self) -> None:
        steering = build_steering(engines=0)
        refusal = steering.place(ask(), 0.0, frozenset())
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.NO_UPSTREAM


class TestShare:
    """An account's share is charged once for a request."""

    def test_repeat_after_a_failed_try(self) -> None:
        """Guards against a failure of an upstream that ends as a refusal."""
        steering = build_steering(engines=2)
        shares = steering._shares
        shares.throughput = 1000.0
        busy = {"a": AccountUsage(100_000, 0), "b": AccountUsage(100_000, 0)}
        shares.apply_fleet_usage(busy, 1, "leader", 0.0)
        demand = ask(own=50_000)
        placed = place(steering, demand)
        spent = shares.own_usage["a"].admitted
        steering.finish_prefill(placed)
        steering.finish(placed, demand)
        refused = steering.place(ask(), 0.0, frozenset())
        assert isinstance(refused, Refusal)
        assert refused.reason is RefusalReason.NO_SHARE
        excluded = frozenset([placed.server.id])
        again = steering.place(demand, 0.0, excluded)
        assert isinstance(again, Placement)
        steering.start(again, demand, 0.0)
        assert shares.own_usage["a"].admitted == spent


class TestWaiting:
    """A short wait bridges small gaps; then the answer is final."""

    @pytest.mark.parametrize("frees", [True, False])
    def test_waits_an_eighth_of_the_target(self, frees: bool) -> None:
        """Guards against callers that are held and then refused."""
        timers = VirtualTimers()
        steering = build_steering(engines=1, limit=timers.limit)
        engine = steering.servers["e0"]
        engine.own_load.prefill_tokens = int(1500 / READ_MS)
        results: list[tuple[float, object]] = []

        async def admit() -> None:
            result = await steering.admit(ask(now=0.0), 0.0, frozenset())
            results.append((timers.now(), result))

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(admit)
                await timers.advance(0.05)
                if frees:
                    engine.own_load.prefill_tokens = 0
                    steering.start_waiting(timers.now())
                await timers.advance(0.2)

        anyio.run(run)
        [(at, result)] = results
        assert at <= 0.13
        assert isinstance(result, Placement) is frees
        assert engine.own_load.running == int(frees)

    def test_caller_that_leaves_frees_its_place(self) -> None:
        timers = VirtualTimers()
        steering = build_steering(engines=1, limit=timers.limit)
        engine = steering.servers["e0"]
        engine.own_load.prefill_tokens = int(1500 / READ_MS)

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(steering.admit, ask(), 0.0, frozenset())
                await timers.advance(0.05)
                engine.own_load.prefill_tokens = 0
                # The request is placed after its caller has left, before its
                # task has noticed.
                tasks.cancel_scope.cancel()
                steering.start_waiting(timers.now())
                assert engine.own_load.running == 1

        anyio.run(run)
        assert engine.own_load.running == 0
        assert engine.own_load.prefill_tokens == 0

    def test_urgent_requests_are_sent_first(self) -> None:
        timers = VirtualTimers()
        steering = build_steering(engines=1, limit=timers.limit)
        engine = steering.servers["e0"]
        engine.own_load.prefill_tokens = int(1500 / READ_MS)
        order: list[str] = []

        async def admit(name: str, demand: RequestDemand) -> None:
            result = await steering.admit(demand, 0.0, frozenset())
            if isinstance(result, Placement):
                order.append(name)

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                calm = ask(own=30_000)
                urgent = ask(own=30_000)
                urgent.priority = 0
                tasks.start_soon(admit, "calm", calm)
                tasks.start_soon(admit, "urgent", urgent)
                await timers.advance(0.05)
                engine.own_load.prefill_tokens = 0
                steering.start_waiting(timers.now())
                await timers.advance(0.2)

        anyio.run(run)
        assert order == ["urgent"]


class TestOverload:
    """Load pattern: three times the engines' throughput for half a minute."""

    def test_engines_stay_busy_and_answers_in_time(self) -> None:
        """Guards against idle engines beside refusals, and late answers."""
        steering = build_steering(engines=4)
        chooser = random.Random(7)
        reading: dict[str, list[tuple[Placement, RequestDemand, float]]] = {
            f"e{n}": [] for n in range(4)
        }
        free_at = dict.fromkeys(reading, 0.0)
        waits: list[float] = []
        read = 0
        step_s = 0.01
        for step in range(3000):
            now = step * step_s
            for queue in reading.values():
                while queue and queue[0][2] <= now:
                    placed, demand, ended_at = queue.pop(0)
                    waits.append(ended_at - demand.arrived_at)
                    read += placed.estimate.prefill_tokens
                    steering.finish_prefill(placed)
                    steering.finish(placed, demand)
            # 6 requests of 10,000 tokens in each 100 ms are three times what
            # four engines read.
            if chooser.random() < 0.6:
                demand = ask(own=chooser.randrange(2000, 18_000), now=now)
                placed = steering.place(demand, now, frozenset())
                if isinstance(placed, Placement):
                    steering.start(placed, demand, now)
                    id = placed.server.id
                    begins = max(free_at[id], now)
                    took_s = placed.estimate.prefill_tokens * READ_MS / 1000
                    free_at[id] = begins + took_s
                    reading[id].append((placed, demand, free_at[id]))
        capacity = 4 * 30 * 1000 / READ_MS
        assert read >= 0.9 * capacity
        in_time = sum(wait <= 1.0 for wait in waits)
        assert in_time >= 0.95 * len(waits)


class TestCopies:
    """Shared parts are copied from an engine that holds them."""

    COPY_MS = 0.0003

    def build(
        self, copy_ms_per_token: float = COPY_MS
    ) -> tuple[Balancer, str]:
        """Return engines, and the one that has read the part `p`."""
        steering = build_steering()
        steering.configure(300_000, 64, 250_000, 60.0, copy_ms_per_token)
        home = place(steering, ask(1000, 5000)).server
        home.own_load.prefill_tokens = 0
        return steering, home.id

    def test_spilled_part_is_copied(self) -> None:
        """Load pattern: the home of a part is busy, others are idle.

        Guards against a part that is read again, and against requests that
        wait although a copy costs a few milliseconds.
        """
        steering, home = self.build()
        busy = steering.servers[home]
        busy.own_load.prefill_tokens = int(300 / READ_MS)
        placed = place(steering, ask(1000, 5000))
        assert placed.server.id != home
        assert placed.copy_from == busy.upstream.address
        assert placed.estimate.copied_tokens == 5000
        assert placed.estimate.prefill_tokens == 1000

    def test_home_needs_no_copy(self) -> None:
        steering, home = self.build()
        placed = place(steering, ask(1000, 5000))
        assert (placed.server.id, placed.copy_from) == (home, "")

    def test_nothing_is_copied_from_a_lost_engine(self) -> None:
        """Guards against engines that wait for one that is gone."""
        steering, home = self.build()
        steering.servers[home].ejected_until = 10.0
        placed = place(steering, ask(1000, 5000), now=1.0)
        assert placed.copy_from == ""

    def test_engines_that_cannot_copy(self) -> None:
        steering, home = self.build(copy_ms_per_token=0.0)
        steering.servers[home].own_load.prefill_tokens = int(300 / READ_MS)
        placed = place(steering, ask(1000, 5000))
        assert (placed.server.id, placed.copy_from) == (home, "")

    def test_home_in_each_zone(self) -> None:
        """Load pattern: callers in all zones ask for the same part.

        Guards against the traffic of all requests between zones, where a
        part could be copied once.
        """
        steering = build_steering(engines=6, zones=2)
        steering.configure(300_000, 64, 250_000, 60.0, self.COPY_MS)
        far = next(
            server
            for server in steering.servers.values()
            if server.upstream.availability_zone != "zone-0"
        )
        steering.record_cached_parts([CachedPart("p", far.id)], 0.0)
        placed = place(steering, ask(1000, 5000))
        assert placed.server.upstream.availability_zone == "zone-0"
        assert placed.copy_from == far.upstream.address

    def test_part_that_was_used_elsewhere_since(self) -> None:
        """Load pattern: more parts than the engines' memory holds.

        Guards against parts that the home has dropped meanwhile and reads
        again, though another engine has just used them.
        """
        steering, home = self.build()
        other = next(id for id in steering.servers if id != home)
        steering.record_cached_parts([CachedPart("p", other)], 8.0)
        placed = place(steering, ask(1000, 5000, now=9.0), now=9.0)
        assert placed.server.id == home
        assert placed.copy_from == steering.servers[other].upstream.address


class TestStart:
    """Routers that have just started don't know of each other's work."""

    def count_admitted(self, assumed_routers: int) -> int:
        """Return how many requests one router sends within a moment."""
        steering = build_steering()
        steering.assumed_routers = assumed_routers
        admitted = 0
        for number in range(400):
            demand = ask(own=4000, part=f"p{number}")
            placed = steering.place(demand, 0.0, frozenset())
            if isinstance(placed, Placement):
                steering.start(placed, demand, 0.0)
                admitted += 1
        return admitted

    def test_burst_after_all_were_down(self) -> None:
        """Load pattern: all callers come back while all routers start.

        Guards against engines that get several times the work that they can
        do in time, because each router takes itself for the only one.
        """
        assert self.count_admitted(3) <= self.count_admitted(0) / 3

    def test_sums_end_the_assumption(self) -> None:
        steering = build_steering()
        steering.assumed_routers = 3
        placed = place(steering, ask(own=4000))
        assert placed.server.others_load.prefill_tokens == 12_000
        steering.apply_fleet_usage({}, 0.3)
        assert placed.server.others_load.prefill_tokens == 0
        place(steering, ask(own=4000), now=0.3)
        assert placed.server.others_load.prefill_tokens == 0
