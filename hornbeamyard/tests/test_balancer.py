"""Tests of placement and admission of requests under various loads."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import anyio
import pytest

from hornbeamyard.pool.balancer import (
    Balancer,
    Refusal,
    RefusalReason,
)
from hornbeamyard.pool.choice import Choice, Placement, rank_engines
from hornbeamyard.pool.demand import PromptPart, RequestDemand
from hornbeamyard.pool.engine import MAX_CACHED_PARTS, Engine
from hornbeamyard.pool.rate_limits import RateLimiter, RateLimits
from hornbeamyard.pool.shares import Grant, Shares
from hornbeamyard.pool.targets import TargetMix
from hornbeamyard.pool.upstream_registry import Upstream, UpstreamState
from hornbeamyard.pool.usage import AccountUsage, CachedPart, UpstreamLoad
from hornbeamyard.process.timers import VirtualTimers

ENGINES = 5
PREFILL_MS_PER_TOKEN = 0.02
# Work ahead that is too much for a target of 1 s, but not once a request has
# waited for an eighth of the target.
WAIT_MS = 950


def build_balancer(
    engines: int = ENGINES,
    limit: Callable[[float], object] | None = None,
    zones: int = 1,
    rate_limits: RateLimits | None = None,
) -> Balancer:
    """Return a balancer of idle engines."""
    rng = random.Random(0)
    balancer = Balancer(
        "model",
        "zone-0",
        Shares(),
        rng.random,
        limit or anyio.move_on_after,  # type: ignore[arg-type]
        rate_limits=rate_limits,
    )
    for number in range(engines):
        balancer.apply_upstream(
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
    balancer.configure(
        300_000, 64, 1000 * engines / PREFILL_MS_PER_TOKEN, 60.0
    )
    return balancer


def build_demand(
    own: int = 1000,
    shared: int = 0,
    part: str = "p",
    now: float = 0.0,
    target_s: float = 1.0,
    **fields: object,
) -> RequestDemand:
    """Return the demand of a request with shared and own tokens."""
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
    balancer: Balancer, demand: RequestDemand, now: float = 0.0
) -> Placement:
    """Place a request, which must not be refused, and count its load."""
    placed = balancer.place(demand, now, frozenset())
    assert isinstance(placed, Placement)
    balancer.start(placed, demand, now)
    return placed


class TestPlacement:
    """Requests go where their shared parts are, unless that costs more."""

    def test_same_part_goes_to_the_same_engine(self) -> None:
        """Guards against shared parts that every engine prefills again."""
        balancer = build_balancer()
        for part in ("p1", "p2", "p3"):
            demand = build_demand(shared=5000, part=part)
            used = {place(balancer, demand).server.id for _ in range(2)}
            preferred = rank_engines(part, balancer.servers.values())[0]
            assert used == {preferred}

    def test_routers_agree_without_a_message(self) -> None:
        """Guards against routers that prefer different engines for a part."""
        parts = [f"p{number}" for number in range(50)]
        orders = [
            [rank_engines(p, build_balancer().servers.values()) for p in parts]
            for _ in range(2)
        ]
        assert orders[0] == orders[1]
        preferred = Counter(order[0] for order in orders[0])
        assert max(preferred.values()) <= 3 * len(parts) / ENGINES

    def test_hot_part_spreads_over_engines(self) -> None:
        """Guards against one engine that gets all requests with a hot part."""
        balancer = build_balancer()
        used = Counter(
            place(balancer, build_demand(own=6000, shared=5000)).server.id
            for _ in range(8)
        )
        assert 2 <= len(used) <= 4

    def test_parts_cached_by_another_router(self) -> None:
        """Guards against routers that overflow to different engines."""
        first, second, third = (build_balancer() for _ in range(3))
        preferred = rank_engines("p", first.servers.values())[0]
        for balancer in (first, second, third):
            balancer.servers[preferred].own_load.prefill_tokens = int(
                900 / PREFILL_MS_PER_TOKEN
            )
        overflow = place(first, build_demand(1000, 5000)).server.id
        assert overflow != preferred
        for balancer in (second, third):
            busy = balancer.servers[overflow]
            busy.own_load.prefill_tokens = int(200 / PREFILL_MS_PER_TOKEN)
        assert place(second, build_demand(1000, 5000)).server.id != overflow
        third.record_cached_parts(first.cached_parts, 0.0)
        assert place(third, build_demand(1000, 5000)).server.id == overflow

    def test_parts_without_a_report(self) -> None:
        """Guards against memory that grows while no controller leads."""
        balancer = build_balancer()
        for number in range(2 * MAX_CACHED_PARTS):
            demand = build_demand(10, 10, f"p{number}")
            placed = place(balancer, demand)
            balancer.finish_prefill(placed)
            balancer.finish(placed, demand)
        parts = [cached.part for cached in balancer.cached_parts]
        assert len(parts) <= MAX_CACHED_PARTS
        assert parts[-1] == f"p{2 * MAX_CACHED_PARTS - 1}"

    def test_small_prompts_go_to_idle_engines(self) -> None:
        """Guards against load that is uneven without shared parts."""
        balancer = build_balancer()
        used = Counter(
            place(balancer, build_demand(own=800)).server.id for _ in range(20)
        )
        assert max(used.values()) - min(used.values()) <= 2
        assert len(used) == ENGINES

    def test_small_shared_part_stays_on_one_engine(self) -> None:
        """Guards against a part that each engine prefills now and then."""
        balancer = build_balancer()
        used = set()
        for number in range(50):
            now = number * 0.1
            placed = place(balancer, build_demand(600, 300, now=now), now)
            used.add(placed.server.id)
            balancer.finish_prefill(placed)
            balancer.finish(placed, build_demand(600, 300))
        assert len(used) == 1

    def test_own_zone_first_at_equal_load(self) -> None:
        """Guards against needless traffic between availability zones."""
        balancer = build_balancer(engines=6, zones=3)
        zones = {
            place(
                balancer, build_demand(own=100)
            ).server.upstream.availability_zone
            for _ in range(4)
        }
        assert zones == {"zone-0"}

    def test_draining_and_excluded_engines_get_nothing(self) -> None:
        """Guards against requests to engines that can't serve them."""
        balancer = build_balancer(engines=3)
        draining = balancer.servers["e0"].upstream
        draining.state = UpstreamState.DRAINING
        excluded = frozenset(["e1"])
        for _ in range(10):
            placed = balancer.place(build_demand(), 0.0, excluded)
            assert isinstance(placed, Placement)
            assert placed.server.id == "e2"

    def test_failing_engine_is_ejected_and_tried_again(self) -> None:
        """Guards against a failing engine that looks idle."""
        balancer = build_balancer(engines=2)
        server = balancer.servers["e0"]
        assert [server.record_failure(0.0) for _ in range(4)][-1]
        placed = [
            place(balancer, build_demand(), 0.1).server.id for _ in range(5)
        ]
        assert set(placed) == {"e1"}
        assert server.is_usable(10.0)

    def test_last_engine_is_used_although_ejected(self) -> None:
        """Guards against refusals when every engine is ejected."""
        balancer = build_balancer(engines=1)
        balancer.servers["e0"].eject(0.0)
        assert isinstance(
            balancer.place(build_demand(), 0.0, frozenset()), Placement
        )


class TestAdmission:
    """A request that can't be served in time is refused at once."""

    def test_refused_when_the_wait_exceeds_the_target(self) -> None:
        """Guards against requests that wait behind a second of prefill."""
        balancer = build_balancer()
        for server in balancer.servers.values():
            server.own_load.prefill_tokens = int(1000 / PREFILL_MS_PER_TOKEN)
        refusal = balancer.place(build_demand(), 0.0, frozenset())
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.TOO_LATE
        assert refusal.retry_after_s >= 0.5

    def test_large_prompt_is_not_refused_for_its_size(self) -> None:
        """Guards against large prompts that are refused on idle engines."""
        balancer = build_balancer()
        large = build_demand(own=55_000)
        assert isinstance(balancer.place(large, 0.0, frozenset()), Placement)

    def test_kv_cache_bounds_the_batch(self) -> None:
        """Guards against preempted requests, which are prefilled again."""
        balancer = build_balancer(engines=1)
        for number in range(200):
            demand = build_demand(own=10_000, now=float(number))
            placed = balancer.place(demand, float(number), frozenset())
            if isinstance(placed, Refusal):
                break
            balancer.start(placed, demand, float(number))
            balancer.finish_prefill(placed)
        assert placed.reason is RefusalReason.NO_ROOM  # type: ignore[union-attr]
        used = balancer.servers["e0"].own_load.kv_tokens
        assert used <= 300_000

    def test_load_of_other_routers_counts(self) -> None:
        """Guards against routers that overload an engine together."""
        balancer = build_balancer(engines=1)
        busy = {"e0": UpstreamLoad(10, int(2000 / PREFILL_MS_PER_TOKEN), 1000)}
        balancer.apply_fleet_usage(busy, 0.0)
        refusal = balancer.place(build_demand(), 0.0, frozenset())
        assert isinstance(refusal, Refusal)
        # The others' prompts are prefilled as time passes.
        late = build_demand(now=2.1)
        assert isinstance(balancer.place(late, 2.1, frozenset()), Placement)

    def test_stream_that_cannot_end_in_time(self) -> None:
        """Guards against streams that are cut off at their deadline."""
        balancer = build_balancer(engines=1)
        engine = balancer.servers["e0"]
        assert isinstance(engine, Engine)
        engine.decode_ms_per_token = 200.0
        refusal = balancer.place(build_demand(), 0.0, frozenset())
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.TOO_LATE

    def test_no_upstream(self) -> None:
        """Guards against a wrong reason when the pool has no upstream."""
        balancer = build_balancer(engines=0)
        refusal = balancer.place(build_demand(), 0.0, frozenset())
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.NO_UPSTREAM


class TestShare:
    """An account's share is charged once for a request."""

    def test_retry_after_a_failed_attempt(self) -> None:
        """Guards against a retry that is refused for the account's share."""
        balancer = build_balancer(engines=2)
        shares = balancer._shares
        shares.throughput = 1000.0
        busy = {"a": AccountUsage(100_000, 0), "b": AccountUsage(100_000, 0)}
        shares.apply_fleet_usage(busy, 1, "leader", 0.0)
        # Accounts above their share need one while the engines have work.
        for server in balancer.servers.values():
            server.own_load.prefill_tokens = int(100 / PREFILL_MS_PER_TOKEN)
        demand = build_demand(own=50_000)
        placed = place(balancer, demand)
        spent = shares.own_usage["a"].admitted
        balancer.finish_prefill(placed)
        balancer.finish(placed, demand)
        refused = balancer.place(build_demand(), 0.0, frozenset())
        assert isinstance(refused, Refusal)
        assert refused.reason is RefusalReason.NO_SHARE
        excluded = frozenset([placed.server.id])
        again = balancer.place(demand, 0.0, excluded)
        assert isinstance(again, Placement)
        balancer.start(again, demand, 0.0)
        assert shares.own_usage["a"].admitted == spent

    @pytest.mark.parametrize(
        ("wait_ms", "is_placed"), [(0, True), (40, True), (100, False)]
    )
    def test_no_share_is_needed_while_engines_are_idle(
        self, wait_ms: int, is_placed: bool
    ) -> None:
        """Guards against refusals beside idle engines.

        On a calm day accounts that asked for three times their share for
        some seconds were refused while engines ran 8 requests of 128.
        """
        balancer = build_balancer(engines=2)
        shares = balancer._shares
        shares.throughput = 1000.0
        busy = {"a": AccountUsage(100_000, 0), "b": AccountUsage(100_000, 0)}
        shares.apply_fleet_usage(busy, 1, "leader", 0.0)
        shares.record_admitted("a", 50_000)
        for server in balancer.servers.values():
            server.own_load.prefill_tokens = int(
                wait_ms / PREFILL_MS_PER_TOKEN
            )
        placed = balancer.place(build_demand(), 0.0, frozenset())
        assert isinstance(placed, Placement) is is_placed

    @pytest.mark.parametrize(
        ("admitted", "wait_ms", "expected"),
        [
            (0, 100, Grant.CREDIT),
            (1_500, 100, Grant.SPARE),
            (10_000, 100, None),
            (10_000, 0, Grant.HEADROOM),
        ],
    )
    def test_grant_of_an_account_above_its_share(
        self, admitted: int, wait_ms: int, expected: Grant | None
    ) -> None:
        """Guards against requests in debt that no log line explains."""
        balancer = build_balancer(engines=2)
        shares = balancer._shares
        shares.throughput = 1000.0
        busy = {"a": AccountUsage(100_000, 0), "b": AccountUsage(100_000, 0)}
        shares.apply_fleet_usage(busy, 1, "leader", 0.0)
        shares.record_admitted("a", admitted)
        shares._spare.tokens = 100.0
        for server in balancer.servers.values():
            server.own_load.prefill_tokens = int(
                wait_ms / PREFILL_MS_PER_TOKEN
            )
        demand = build_demand()
        placed = balancer.place(demand, 0.0, frozenset())
        assert demand.grant is expected
        assert isinstance(placed, Placement) is (expected is not None)

    def test_describes_the_load_that_adapts_the_throughput(self) -> None:
        """Guards against an estimate that no log line explains."""
        balancer = build_balancer(engines=2)
        for server in balancer.servers.values():
            server.own_load.prefill_tokens = int(400 / PREFILL_MS_PER_TOKEN)
        balancer.inter_token_latency.record(50.0, 0.0)
        assert balancer.describe_load(0.0) == {
            "pool": "model",
            "engines": 2,
            "wait_ms": 400,
            "token_ms": 1.0,
            "headroom": False,
            "overloaded": True,
        }

    def test_grant_without_contention_and_within_share(self) -> None:
        """Guards against small accounts that look limited in the log."""
        balancer = build_balancer(engines=2)
        shares = balancer._shares
        shares.throughput = 1000.0
        demand = build_demand()
        balancer.place(demand, 0.0, frozenset())
        assert demand.grant is Grant.UNCONTENDED
        usage = {"a": AccountUsage(10, 0), "b": AccountUsage(100_000, 0)}
        shares.apply_fleet_usage(usage, 1, "leader", 0.0)
        balancer.place(demand, 0.0, frozenset())
        assert demand.grant is Grant.WITHIN_SHARE

    @pytest.mark.parametrize(
        ("rival_unserved", "is_placed"), [(0, True), (90_000, False)]
    )
    def test_free_engines_go_to_the_account_served_least(
        self, rival_unserved: int, is_placed: bool
    ) -> None:
        """Guards against free engines for whoever asks first.

        An account that had got several times as much as another one was sent
        more in each moment in which the engines had headroom.
        """
        balancer = build_balancer(engines=2)
        shares = balancer._shares
        shares.throughput = 10_000.0
        for admitted in (0, 100_000):
            usage = {
                "a": AccountUsage(100_000, admitted, 90_000),
                "rival": AccountUsage(100_000, 0, rival_unserved),
            }
            shares.apply_fleet_usage(usage, 1, "leader", 0.0)
        placed = balancer.place(build_demand(), 0.0, frozenset())
        assert isinstance(placed, Placement) is is_placed
        demand = build_demand()
        demand.account = "rival"
        place(balancer, demand)

    @pytest.mark.parametrize(
        ("wait_ms", "tokens", "is_unserved"),
        [
            (2 * WAIT_MS, 1000, True),
            (2 * WAIT_MS, 1_000_000, False),
            (0, 1_000_000, False),
        ],
        ids=["busy", "too large", "too large for idle engines"],
    )
    def test_request_that_lacks_throughput_is_unserved(
        self, wait_ms: int, tokens: int, is_unserved: bool
    ) -> None:
        """Guards against free engines that are kept for nobody.

        A request that idle engines can't serve in time would have held back
        the requests of other accounts.
        """
        balancer = build_balancer(engines=2)
        for server in balancer.servers.values():
            server.own_load.prefill_tokens = int(
                wait_ms / PREFILL_MS_PER_TOKEN
            )
        demand = build_demand(own=tokens)
        refused = balancer.place(demand, 0.0, frozenset())
        assert isinstance(refused, Refusal)
        assert refused.reason is RefusalReason.TOO_LATE
        usage = balancer._shares.own_usage.get("a", AccountUsage())
        assert usage.unserved == (demand.size if is_unserved else 0)

    def test_request_without_free_slot_is_unserved(self) -> None:
        """Guards against slots for whoever asks first.

        Engines whose slots are all taken but that have no prompts to prefill
        seem to have headroom.
        """
        balancer = build_balancer(engines=2)
        for server in balancer.servers.values():
            server.others_load.running = 64
        demand = build_demand()
        refused = balancer.place(demand, 0.0, frozenset())
        assert isinstance(refused, Refusal)
        assert refused.reason is RefusalReason.NO_ROOM
        assert balancer._shares.own_usage["a"].unserved == demand.size


class TestDescription:
    """The load of a pool in log lines."""

    def test_rate_limit_without_a_part_for_this_router(self) -> None:
        """Guards against a process that ends because of a log line.

        Where engines limit their rate and the router has no part of it, the
        work ahead of a request is infinite.
        """
        balancer = build_balancer(engines=2)
        for server in balancer.servers.values():
            server.limiter = RateLimiter(0.0, 0.0)
        assert balancer.describe_load(0.0)["wait_ms"] is None


class TestWaiting:
    """A request that can't be placed waits for a short time."""

    @pytest.mark.parametrize("becomes_free", [True, False])
    def test_waits_an_eighth_of_the_target(self, becomes_free: bool) -> None:
        """Guards against callers that wait for long and are then refused."""
        timers = VirtualTimers()
        balancer = build_balancer(engines=1, limit=timers.limit)
        engine = balancer.servers["e0"]
        engine.own_load.prefill_tokens = int(WAIT_MS / PREFILL_MS_PER_TOKEN)
        results: list[tuple[float, object]] = []

        async def admit() -> None:
            result = await balancer.admit(
                build_demand(now=0.0), 0.0, frozenset()
            )
            results.append((timers.now(), result))

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(admit)
                await timers.advance(0.05)
                if becomes_free:
                    engine.own_load.prefill_tokens = 0
                    balancer.start_waiting(timers.now())
                await timers.advance(0.2)

        anyio.run(run)
        [(at, result)] = results
        assert at <= 0.13
        assert isinstance(result, Placement) is becomes_free
        assert engine.own_load.running == int(becomes_free)

    def test_hopeless_request_is_refused_at_once(self) -> None:
        """Guards against callers that wait for what can't come in time."""
        balancer = build_balancer(engines=1)
        engine = balancer.servers["e0"]
        engine.own_load.prefill_tokens = int(1500 / PREFILL_MS_PER_TOKEN)

        async def run() -> None:
            with anyio.fail_after(0.05):
                refused = await balancer.admit(
                    build_demand(now=0.0), 0.0, frozenset()
                )
            assert isinstance(refused, Refusal)
            assert refused.reason is RefusalReason.TOO_LATE

        anyio.run(run)

    def test_many_waiting_requests_cost_few_placements(self) -> None:
        """Guards against a router that only tries waiting requests again.

        Each end of a request tried all waiting ones at all engines, which
        took half of the processor time of a busy router.
        """
        timers = VirtualTimers()
        balancer = build_balancer(engines=1, limit=timers.limit)
        engine = balancer.servers["e0"]
        engine.own_load.prefill_tokens = int(WAIT_MS / PREFILL_MS_PER_TOKEN)
        scored: list[int] = []
        score = Choice.score

        async def run(monkeypatch: pytest.MonkeyPatch) -> None:
            async with anyio.create_task_group() as tasks:
                for _ in range(100):
                    tasks.start_soon(
                        balancer.admit, build_demand(), 0.0, frozenset()
                    )
                await timers.advance(0.01)

                def count(*args: Any) -> Any:
                    scored.append(1)
                    return score(*args)

                monkeypatch.setattr(Choice, "score", count)
                balancer.start_waiting(timers.now())
                tasks.cancel_scope.cancel()

        with pytest.MonkeyPatch.context() as monkeypatch:
            anyio.run(run, monkeypatch)
        assert 1 <= len(scored) <= 10

    def test_cancelled_request_frees_its_slot(self) -> None:
        """Guards against load that stays counted for a cancelled request."""
        timers = VirtualTimers()
        balancer = build_balancer(engines=1, limit=timers.limit)
        engine = balancer.servers["e0"]
        engine.own_load.prefill_tokens = int(WAIT_MS / PREFILL_MS_PER_TOKEN)

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    balancer.admit, build_demand(), 0.0, frozenset()
                )
                await timers.advance(0.05)
                engine.own_load.prefill_tokens = 0
                # The request is placed after it was cancelled, before its
                # task runs again.
                tasks.cancel_scope.cancel()
                balancer.start_waiting(timers.now())
                assert engine.own_load.running == 1

        anyio.run(run)
        assert engine.own_load.running == 0
        assert engine.own_load.prefill_tokens == 0

    def test_urgent_requests_are_sent_first(self) -> None:
        """Guards against urgent requests that wait behind normal ones."""
        timers = VirtualTimers()
        balancer = build_balancer(engines=1, limit=timers.limit)
        engine = balancer.servers["e0"]
        engine.own_load.prefill_tokens = int(400 / PREFILL_MS_PER_TOKEN)
        order: list[str] = []

        async def admit(name: str, demand: RequestDemand) -> None:
            result = await balancer.admit(demand, 0.0, frozenset())
            if isinstance(result, Placement):
                order.append(name)

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                normal = build_demand(own=30_000)
                urgent = build_demand(own=30_000)
                urgent.priority = 0
                tasks.start_soon(admit, "normal", normal)
                tasks.start_soon(admit, "urgent", urgent)
                await timers.advance(0.05)
                engine.own_load.prefill_tokens = 0
                balancer.start_waiting(timers.now())
                await timers.advance(0.2)

        anyio.run(run)
        assert order == ["urgent"]


class TestOverload:
    """Callers ask for three times the engines' throughput for 30 s."""

    def test_engines_stay_busy_and_responses_in_time(self) -> None:
        """Guards against engines left idle by refusals, and late responses."""
        balancer = build_balancer(engines=4)
        rng = random.Random(7)
        queues: dict[str, list[tuple[Placement, RequestDemand, float]]] = {
            f"e{n}": [] for n in range(4)
        }
        free_at = dict.fromkeys(queues, 0.0)
        waits: list[float] = []
        prefilled = 0
        step_s = 0.01
        for step in range(3000):
            now = step * step_s
            for queue in queues.values():
                while queue and queue[0][2] <= now:
                    placed, demand, ended_at = queue.pop(0)
                    waits.append(ended_at - demand.arrived_at)
                    prefilled += placed.estimate.prefill_tokens
                    balancer.finish_prefill(placed)
                    balancer.finish(placed, demand)
            # 6 requests of 10,000 tokens in each 100 ms are three times what
            # four engines prefill.
            if rng.random() < 0.6:
                demand = build_demand(own=rng.randrange(2000, 18_000), now=now)
                placed = balancer.place(demand, now, frozenset())
                if isinstance(placed, Placement):
                    balancer.start(placed, demand, now)
                    id = placed.server.id
                    begins = max(free_at[id], now)
                    took_s = (
                        placed.estimate.prefill_tokens
                        * PREFILL_MS_PER_TOKEN
                        / 1000
                    )
                    free_at[id] = begins + took_s
                    queues[id].append((placed, demand, free_at[id]))
        capacity = 4 * 30 * 1000 / PREFILL_MS_PER_TOKEN
        assert prefilled >= 0.9 * capacity
        in_time = sum(wait <= 1.0 for wait in waits)
        assert in_time >= 0.95 * len(waits)


class TestTargets:
    """Requests with long targets come beside those with short ones."""

    @pytest.mark.parametrize("is_retry", [False, True])
    def test_long_targets_leave_room_in_the_queues(
        self, is_retry: bool
    ) -> None:
        """Guards against queues that only requests with long targets bear.

        Engines serve prompts in order of arrival. Requests with a target of
        1.5 s kept the queues at a second, so those with a target of 0.5 s
        were refused or late for as long as the overload lasted.
        """

        async def test() -> None:
            balancer = build_balancer(engines=1)
            admitted: Counter[float] = Counter()
            for step in range(400):
                now = step * 0.02
                for target_s in (0.5, 1.5):
                    demand = build_demand(
                        own=1500,
                        now=now,
                        target_s=target_s,
                        is_caller_retry=is_retry and target_s == 1.5,
                    )
                    # Too late to wait at the router.
                    decided = await balancer.admit(
                        demand, now + target_s / 4, frozenset()
                    )
                    if isinstance(decided, Placement):
                        admitted[target_s] += 1
                        assert decided.estimate.wait_ms < 500
                # The engine prefills 1,000 tokens in 20 ms.
                server = balancer.servers["e0"]
                server.own_load.running = 0
                server.own_load.kv_tokens = 0
                tokens = max(0, server.own_load.prefill_tokens - 1000)
                server.own_load.prefill_tokens = tokens
            assert admitted[0.5] >= 0.25 * admitted.total()
            # The engine stays busy: 400 steps of 1,000 tokens.
            assert admitted.total() * 1500 >= 0.95 * 400 * 1000

        anyio.run(test)

    def test_rare_short_target_is_passed_over(self) -> None:
        """Guards against idle engines because of a single odd route."""
        mix = TargetMix()
        for number in range(100):
            mix.record(1.0, 1000, number * 0.01)
        mix.record(0.01, 1000, 1.0)
        assert mix.find_shortest() == 1.0

    def test_targets_of_former_routes(self) -> None:
        """Guards against memory and time for each target that ever was."""
        mix = TargetMix()
        for number in range(1000):
            mix.record(1.0 + number / 1000, 1000, number * 60.0)
        assert len(mix._weights) == 1

    def test_mix_follows_the_requests(self) -> None:
        """Guards against a limit from requests that no longer come."""
        mix = TargetMix()
        mix.record(0.2, 5000, 0.0)
        assert mix.find_shortest() == 0.2
        mix.record(1.0, 5000, 30.0)
        assert mix.find_shortest() == 1.0


class TestCopies:
    """Shared parts are copied from an engine that caches them."""

    COPY_MS = 0.0003

    def build(
        self, copy_ms_per_token: float = COPY_MS
    ) -> tuple[Balancer, str]:
        """Return a balancer, and the id of the engine that caches `p`."""
        balancer = build_balancer()
        balancer.configure(300_000, 64, 250_000, 60.0, copy_ms_per_token)
        cached_on = place(balancer, build_demand(1000, 5000)).server
        cached_on.own_load.prefill_tokens = 0
        return balancer, cached_on.id

    def test_part_is_copied_on_overflow(self) -> None:
        """Guards against a part that is prefilled again on overflow.

        Also guards against requests that wait for the busy engine that
        caches the part, although a copy costs a few milliseconds.
        """
        balancer, cached_on = self.build()
        busy = balancer.servers[cached_on]
        busy.own_load.prefill_tokens = int(300 / PREFILL_MS_PER_TOKEN)
        placed = place(balancer, build_demand(1000, 5000))
        assert placed.server.id != cached_on
        assert placed.copy_from == busy.upstream.address
        assert placed.estimate.copied_tokens == 5000
        assert placed.estimate.prefill_tokens == 1000

    def test_first_part_is_copied_without_the_second(self) -> None:
        """Guards against a common part that each engine prefills anew.

        Requests share a long first part, and each group of them a second
        one that no engine caches yet.
        """
        balancer, _ = self.build()
        first, second, own = (
            PromptPart("common", 3000),
            PromptPart("group-1", 500),
            PromptPart("own", 1000),
        )
        demand = build_demand(own=4500)
        demand = replace(demand, parts=(first, second, own))
        place(balancer, demand)
        other = replace(demand, parts=(first, PromptPart("group-2", 500), own))
        source, copied = balancer._choice.find_copy_source(
            list(balancer.servers.values()), other, 0.0
        )
        assert source is not None
        assert copied.tokens == 3000

    def test_engine_that_caches_the_part_needs_no_copy(self) -> None:
        """Guards against requests that leave the engine with their part."""
        balancer, cached_on = self.build()
        placed = place(balancer, build_demand(1000, 5000))
        assert (placed.server.id, placed.copy_from) == (cached_on, "")

    def test_nothing_is_copied_from_a_lost_engine(self) -> None:
        """Guards against engines that try to copy from one that is gone."""
        balancer, cached_on = self.build()
        balancer.servers[cached_on].ejected_until = 10.0
        placed = place(balancer, build_demand(1000, 5000), now=1.0)
        assert placed.copy_from == ""

    def test_engines_that_cannot_copy(self) -> None:
        """Guards against a copy source for engines that can't copy."""
        balancer, cached_on = self.build(copy_ms_per_token=0.0)
        balancer.servers[cached_on].own_load.prefill_tokens = int(
            300 / PREFILL_MS_PER_TOKEN
        )
        placed = place(balancer, build_demand(1000, 5000))
        assert (placed.server.id, placed.copy_from) == (cached_on, "")

    def test_part_is_copied_into_the_own_zone(self) -> None:
        """Guards against sending all requests of a part to another zone.

        The part is copied to an engine of the router's own zone once.
        """
        balancer = build_balancer(engines=6, zones=2)
        balancer.configure(300_000, 64, 250_000, 60.0, self.COPY_MS)
        far = next(
            server
            for server in balancer.servers.values()
            if server.upstream.availability_zone != "zone-0"
        )
        balancer.record_cached_parts([CachedPart("p", far.id)], 0.0)
        placed = place(balancer, build_demand(1000, 5000))
        assert placed.server.upstream.availability_zone == "zone-0"
        assert placed.copy_from == far.upstream.address

    def test_part_that_was_used_elsewhere_since(self) -> None:
        """Guards against a part that is prefilled again after eviction.

        The preferred engine may have evicted it, while another engine has
        just used it.
        """
        balancer, cached_on = self.build()
        other = next(id for id in balancer.servers if id != cached_on)
        balancer.record_cached_parts([CachedPart("p", other)], 8.0)
        placed = place(balancer, build_demand(1000, 5000, now=9.0), now=9.0)
        assert placed.server.id == cached_on
        assert placed.copy_from == balancer.servers[other].upstream.address


class TestStart:
    """Routers that have just started don't know each other's load."""

    def count_admitted(self, assumed_routers: int) -> int:
        """Return how many requests one router admits at one time."""
        balancer = build_balancer()
        balancer.assumed_routers = assumed_routers
        admitted = 0
        for number in range(400):
            demand = build_demand(own=4000, part=f"p{number}")
            placed = balancer.place(demand, 0.0, frozenset())
            if isinstance(placed, Placement):
                balancer.start(placed, demand, 0.0)
                admitted += 1
        return admitted

    def test_burst_after_all_routers_started(self) -> None:
        """Guards against overloaded engines when all routers start at once.

        Each router would fill the engines as if it were the only one.
        """
        assert self.count_admitted(3) <= self.count_admitted(0) / 3

    def test_load_of_many_routers_is_spread(self) -> None:
        """Guards against an engine that one request blocks for seconds.

        The load of 194 assumed routers was added to the engine of each
        request, which then seemed full for half a minute.
        """
        balancer = build_balancer(engines=50)
        balancer.assumed_routers = 194.0
        placed = place(balancer, build_demand(own=7000))
        loads = [
            server.others_load.prefill_tokens
            for server in balancer.servers.values()
        ]
        assert sum(loads) == pytest.approx(194 * 7000, rel=0.01)
        assert max(loads) == placed.server.others_load.prefill_tokens
        assert max(loads) <= 2 * min(loads)

    def test_fleet_usage_ends_the_assumption(self) -> None:
        """Guards against assumed load that is added to the known load."""
        balancer = build_balancer()
        balancer.assumed_routers = 3
        placed = place(balancer, build_demand(own=4000))
        assert placed.server.others_load.prefill_tokens == 12_000
        balancer.apply_fleet_usage({}, 0.3)
        assert placed.server.others_load.prefill_tokens == 0
        place(balancer, build_demand(own=4000), now=0.3)
        assert placed.server.others_load.prefill_tokens == 0
