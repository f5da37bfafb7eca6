"""Replays a pool of unequal upstreams behind routers with old knowledge.

Requests, upstreams and usages run in simulated time; the routers' decisions
are those of the real balancers. Prints, for numbers of routers, the highest
work ahead over the mean and the requests that miss their target.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import click

from hornbeamyard.pool.balancer import Balancer, Refusal
from hornbeamyard.pool.choice import Balancing, Placement
from hornbeamyard.pool.demand import PromptPart, RequestDemand
from hornbeamyard.pool.shares import Shares
from hornbeamyard.pool.upstream_registry import Upstream, UpstreamState
from hornbeamyard.pool.usage import ReportedLoad, UpstreamLoad

USAGE_INTERVAL_S = 0.25
# Bounds of a usage's age on arrival; decisions then use knowledge that is 0.1
# to 0.5 s old.
USAGE_AGE_S = (0.1, 0.25)
SAMPLE_S = 0.01
LINK_S = 0.001
# Work on an upstream takes this many times as long in a slow phase.
SLOWDOWN = 2.5
SLOW_PHASE_S = 0.6
SLOW_FRACTION = 0.15
ENGINE_SPEEDS = (0.55, 1.2, 1.2, 1.2)
ENGINE_MS_PER_TOKEN = 0.01
DECODE_MS = 8.0
SHARED_TOKENS = 5382


@dataclass(slots=True)
class Load:
    """What callers ask for, and how the upstreams serve it.

    Attributes
    ----------
    rate : float
        Requests a second; `burst` times as many in the middle third.
    target_s, deadline_s : float
    work_ms : float
        Usual time of a request at a plain service; 0 for a pool of engines.
    upstreams : int
    slots, queue : int
        Requests that a plain service runs, and that wait there; it refuses
        further ones.
    own_tokens, shared : float
        Mean number of a prompt's own tokens, and the fraction of prompts with
        a shared part.
    states_slowdown : bool
        Whether responses state the upstream's load.
    zones : int
    is_current : bool
        Whether each decision knows the present load of all routers.
    """

    rate: float
    target_s: float
    deadline_s: float
    work_ms: float = 0.0
    upstreams: int = 4
    slots: int = 6
    queue: int = 24
    burst: float = 3.0
    own_tokens: float = 5000.0
    shared: float = 0.5
    states_slowdown: bool = True
    zones: int = 1
    is_current: bool = False


@dataclass(slots=True)
class Machine:
    """An upstream: `slots` requests at a time, the others in its queue.

    `work_s` is the usual time of all its requests.
    """

    id: str
    speed: float
    slots: int
    queue: int
    slow_until: float = 0.0
    running: int = 0
    waiting: deque[tuple[Any, ...]] = field(default_factory=deque)
    work_s: float = 0.0


@dataclass(slots=True)
class Outcome:
    """Requests by outcome, and samples of the work ahead of each machine.

    `full` counts refusals of upstreams, `full_beside_idle` those while another
    one had a free slot, `refused_beside_room` requests that no router placed
    meanwhile, and `shared_again` prefills of shared parts.
    """

    asked: int = 0
    late: int = 0
    refused: int = 0
    full: int = 0
    expired: int = 0
    full_beside_idle: int = 0
    refused_beside_room: int = 0
    shared_again: int = 0
    work: list[list[float]] = field(default_factory=list)

    @property
    def missed(self) -> float:
        """Fraction of the requests that missed their target."""
        return (self.late + self.refused) / max(1, self.asked)

    def compute_imbalance(self, window_s: float = 0.25) -> float:
        """Return the highest work ahead over the mean, over all windows."""
        size = max(1, round(window_s / SAMPLE_S))
        highest = mean = 0.0
        for index in range(0, len(self.work), size):
            sums = [
                sum(w)
                for w in zip(*self.work[index : index + size], strict=True)
            ]
            highest += max(sums)
            mean += sum(sums) / len(sums)
        return highest / mean if mean else 1.0


class UnevenPool:
    """Replays a load on a pool.

    Parameters
    ----------
    load : Load
    routers : int
    seed : int
    balancing : Balancing, optional
    """

    def __init__(
        self,
        load: Load,
        routers: int,
        seed: int,
        balancing: Balancing = Balancing.LEAST_LOADED,
    ) -> None:
        self.rng = random.Random(seed)
        self.load = load
        self.now = 0.0
        self.outcome = Outcome()
        self._order = itertools.count()
        self._events: list[
            tuple[float, int, Callable[..., None], tuple[Any, ...]]
        ] = []
        self._until = 0.0
        is_engine = not load.work_ms
        self.machines = {
            f"m{n}": Machine(
                f"m{n}",
                ENGINE_SPEEDS[n % 4] if is_engine else 1.0,
                1 if is_engine else load.slots,
                10_000 if is_engine else load.queue,
            )
            for n in range(load.upstreams)
        }
        self.balancers = [self._build(balancing, n) for n in range(routers)]
        self.pending: list[list[RequestDemand]] = [[] for _ in range(routers)]
        self._totals: deque[tuple[float, dict[str, UpstreamLoad]]] = deque()
        self._total = {id: UpstreamLoad() for id in self.machines}
        self._cached: dict[str, set[str]] = {id: set() for id in self.machines}

    def _build(self, balancing: Balancing, number: int) -> Balancer:
        balancer = Balancer(
            "pool",
            f"zone-{number % self.load.zones}",
            Shares(),
            self.rng.random,
            lambda seconds: None,  # type: ignore[arg-type, return-value]
        )
        for id in self.machines:
            slots = 64 if not self.load.work_ms else self.load.slots
            balancer.apply_upstream(
                Upstream(
                    id,
                    "pool",
                    id,
                    f"zone-{int(id[1:]) // 4 % self.load.zones}"
                    if not self.load.work_ms
                    else f"zone-{int(id[1:]) % self.load.zones}",
                    UpstreamState.READY,
                    slots,
                    1,
                )
            )
        rate = 1000 * len(self.machines) / ENGINE_MS_PER_TOKEN
        if self.load.work_ms:
            balancer.configure(0, 0, 0.0, 0.0, balancing=balancing)
        else:
            balancer.configure(500_000, 64, rate, 0.0, balancing=balancing)
        return balancer

    def _at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._events, (when, next(self._order), what, args))

    def run(self, duration_s: float) -> Outcome:
        """Let callers send requests for a time, and serve them all."""
        self._until = duration_s
        self._at(0.0, self._arrive)
        self._at(0.0, self._sample)
        for id in self.machines:
            self._at(self.rng.random() * 3, self._slow, id)
        for router in range(len(self.balancers)):
            self._at(
                self.rng.random() * USAGE_INTERVAL_S,
                self._receive_usage,
                router,
            )
        while self._events:
            self.now, _, what, args = heapq.heappop(self._events)
            what(*args)
        return self.outcome

    # Load

    def _arrive(self) -> None:
        if self.now > self._until:
            return
        in_burst = self._until / 3 < self.now < 2 * self._until / 3
        rate = self.load.rate * (self.load.burst if in_burst else 1.0)
        self._at(self.now + self.rng.expovariate(rate), self._arrive)
        own = 0
        parts: tuple[PromptPart, ...] = ()
        if not self.load.work_ms:
            own = int(self.rng.expovariate(1 / self.load.own_tokens)) + 50
            if self.rng.random() < self.load.shared:
                part = f"p{int(self.rng.random() ** 2 * 30)}"
                parts = (
                    PromptPart(part, SHARED_TOKENS),
                    PromptPart("own", own),
                )
        demand = RequestDemand(
            "r",
            "a",
            1,
            self.now,
            self.load.target_s,
            self.now + self.load.deadline_s,
            parts,
            own + sum(p.tokens for p in parts[:-1]),
            100 if own else 0,
        )
        self.outcome.asked += 1
        self._try(
            self.rng.randrange(len(self.balancers)), demand, frozenset(), True
        )

    def _try(
        self,
        router: int,
        demand: RequestDemand,
        excluded: frozenset[str],
        may_wait: bool,
    ) -> bool:
        balancer = self.balancers[router]
        if self.load.is_current:
            # The newest usage, without delay.
            balancer.apply_fleet_usage(self._total, self.now)
        found = balancer.place(demand, self.now, excluded)
        if isinstance(found, Refusal):
            if may_wait and not excluded:
                self.pending[router].append(demand)
                self._at(
                    demand.arrived_at + demand.target_s / 8,
                    self._give_up,
                    router,
                    demand,
                )
            elif may_wait:
                self.outcome.refused += 1
            return False
        balancer.start(found, demand, self.now)
        self._count(found, 1, demand)
        self._at(
            self.now + LINK_S,
            self._reach,
            router,
            demand,
            found,
            self.now,
            excluded,
        )
        return True

    def _give_up(self, router: int, demand: RequestDemand) -> None:
        if demand in self.pending[router]:
            self.pending[router].remove(demand)
            self.outcome.refused += 1
            if self.load.work_ms and any(
                m.running < m.slots for m in self.machines.values()
            ):
                self.outcome.refused_beside_room += 1

    def _retry_pending(self, router: int) -> None:
        for demand in list(self.pending[router]):
            if not self._try(router, demand, frozenset(), False):
                return
            self.pending[router].remove(demand)

    def _count(
        self, placement: Placement, sign: int, demand: RequestDemand
    ) -> None:
        self._total[placement.server.id].running += sign
        if sign > 0:
            self._total[
                placement.server.id
            ].prefill_tokens += placement.estimate.prefill_tokens

    # Upstreams

    def _slow(self, id: str) -> None:
        self.machines[id].slow_until = self.now + SLOW_PHASE_S
        if self.now < self._until:
            mean_s = SLOW_PHASE_S * (1 - SLOW_FRACTION) / SLOW_FRACTION
            self._at(
                self.now + SLOW_PHASE_S + self.rng.expovariate(1 / mean_s),
                self._slow,
                id,
            )

    def _factor(self, machine: Machine) -> float:
        return (
            SLOWDOWN if self.now < machine.slow_until else 1.0
        ) / machine.speed

    def _reach(
        self,
        router: int,
        demand: RequestDemand,
        placement: Placement,
        sent_at: float,
        excluded: frozenset[str],
    ) -> None:
        machine = self.machines[placement.server.id]
        if (
            machine.running >= machine.slots
            and len(machine.waiting) >= machine.queue
        ):
            self.outcome.full += 1
            if any(m.running < m.slots for m in self.machines.values()):
                self.outcome.full_beside_idle += 1
            self._at(
                self.now + LINK_S,
                self._refused,
                router,
                demand,
                placement,
                sent_at,
                excluded,
            )
            return
        if self.load.work_ms:
            work_s = self.load.work_ms / 1000 * (0.7 + 0.6 * self.rng.random())
        else:
            tokens = demand.own_tokens
            if (
                demand.affinity
                and demand.affinity not in self._cached[machine.id]
            ):
                self._cached[machine.id].add(demand.affinity)
                self.outcome.shared_again += 1
                tokens += SHARED_TOKENS
            work_s = tokens * ENGINE_MS_PER_TOKEN / 1000
        machine.work_s += work_s
        machine.waiting.append((router, demand, placement, sent_at, work_s))
        self._start_next(machine)

    def _start_next(self, machine: Machine) -> None:
        while machine.waiting and machine.running < machine.slots:
            item = machine.waiting.popleft()
            if self.now > item[1].deadline_at:
                self.outcome.expired += 1
                machine.work_s -= item[4]
                self._at(self.now + LINK_S, self._answer, item, None, False)
                continue
            machine.running += 1
            self._at(
                self.now + item[4] * self._factor(machine),
                self._end,
                machine,
                item,
            )

    def _end(self, machine: Machine, item: tuple[Any, ...]) -> None:
        machine.running -= 1
        machine.work_s -= item[4]
        self._start_next(machine)
        self._at(
            self.now + LINK_S, self._answer, item, self._report(machine), True
        )

    def _report(self, machine: Machine) -> ReportedLoad | None:
        slowdown = SLOWDOWN if self.now < machine.slow_until else 1.0
        if not self.load.states_slowdown:
            return None
        return ReportedLoad(
            machine.running, len(machine.waiting), machine.slots, slowdown
        )

    # Routers

    def _refused(
        self,
        router: int,
        demand: RequestDemand,
        placement: Placement,
        sent_at: float,
        excluded: frozenset[str],
    ) -> None:
        machine = self.machines[placement.server.id]
        load = self._report(machine)
        balancer = self.balancers[router]
        if load is not None:
            balancer.record_reported(placement.server, load, self.now)
        balancer.finish_prefill(placement)
        balancer.finish(placement, demand)
        self._count(placement, -1, demand)
        if len(excluded) < 2:
            self._try(router, demand, excluded | {machine.id}, True)
        else:
            self.outcome.refused += 1

    def _answer(
        self, item: tuple[Any, ...], load: ReportedLoad | None, served: bool
    ) -> None:
        router, demand, placement, sent_at, _ = item
        balancer = self.balancers[router]
        server = placement.server
        if self.now > demand.arrived_at + demand.target_s or not served:
            self.outcome.late += 1
        if load is not None:
            balancer.record_reported(server, load, self.now)
        elapsed_ms = (self.now - sent_at) * 1000
        balancer.finish_prefill(placement)
        self._total[
            server.id
        ].prefill_tokens -= placement.estimate.prefill_tokens
        if self.load.work_ms:
            if served:
                server.record_success(elapsed_ms)
            self._finish(router, demand, placement)
            return
        queued = placement.estimate.wait_ms / server.prefill_ms_per_token
        server.record_first_event(
            elapsed_ms, queued + placement.estimate.prefill_tokens
        )
        self._at(
            self.now + demand.output_tokens * DECODE_MS / 1000,
            self._finish,
            router,
            demand,
            placement,
        )
        self._retry_pending(router)

    def _finish(
        self, router: int, demand: RequestDemand, placement: Placement
    ) -> None:
        self.balancers[router].finish(placement, demand)
        self._count(placement, -1, demand)
        self._retry_pending(router)

    def _sample(self) -> None:
        if self.now > self._until:
            return
        self.outcome.work.append(
            [
                m.work_s * self._factor(m) / m.slots
                for m in self.machines.values()
            ]
        )
        self._totals.append(
            (
                self.now,
                {
                    id: UpstreamLoad(t.running, t.prefill_tokens, 0)
                    for id, t in self._total.items()
                },
            )
        )
        if len(self._totals) > 60:
            self._totals.popleft()
        self._at(self.now + SAMPLE_S, self._sample)

    def _receive_usage(self, router: int) -> None:
        if self.now > self._until:
            return
        age = self.rng.uniform(*USAGE_AGE_S)
        newest = next(
            (t for at, t in reversed(self._totals) if at <= self.now - age), {}
        )
        self.balancers[router].apply_fleet_usage(newest, self.now)
        self._retry_pending(router)
        self._at(self.now + USAGE_INTERVAL_S, self._receive_usage, router)


LOADS = {
    "service 22.5 ms": Load(124, 0.145, 0.601, 22.5),
    "service 45 ms": Load(126, 0.2, 1.0, 45.0),
    "service 45 ms, overload": Load(126, 0.2, 1.0, 45.0, burst=5.0),
    "24 engines": Load(260, 1.0, 12.0, upstreams=24, burst=1.4, shared=0.0),
    "12 engines, shared parts": Load(130, 1.0, 12.0, upstreams=12, burst=1.4),
}


def replay(
    load: Load,
    routers: int,
    balancing: Balancing,
    seeds: int,
    duration_s: float,
) -> tuple[float, float]:
    """Return the mean imbalance and fraction of missed targets over seeds."""
    outcomes = [
        UnevenPool(load, routers, seed, balancing).run(duration_s)
        for seed in range(1, seeds + 1)
    ]
    imbalance = sum(outcome.compute_imbalance() for outcome in outcomes)
    missed = sum(outcome.missed for outcome in outcomes)
    return imbalance / seeds, missed / seeds


@click.command()
@click.option("--seeds", default=4, show_default=True)
@click.option("--duration", default=9.0, show_default=True)
def main(seeds: int, duration: float) -> None:
    """Print a row of a table for each load, way and number of routers."""
    for name, load in LOADS.items():
        for way in ("current", "least_loaded", "even"):
            known = replace(load, is_current=way == "current")
            is_even = way == "even"
            balancing = Balancing.EVEN if is_even else Balancing.LEAST_LOADED
            cells = []
            for routers in (10, 30, 100, 300):
                imbalance, missed = replay(
                    known, routers, balancing, seeds, duration
                )
                cells.append(f"{imbalance:.2f}, {missed:.1%}")
            click.echo(f"| {name} | {way} | {' | '.join(cells)} |")


if __name__ == "__main__":
    main()
