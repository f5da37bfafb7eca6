"""Routers that share the engines of a pool, in simulated time."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Iterable
from contextlib import AbstractContextManager
from dataclasses import replace

import anyio

from hornbeamyard.pool.balancer import Balancer, Refusal
from hornbeamyard.pool.choice import Placement
from hornbeamyard.pool.demand import RequestDemand
from hornbeamyard.pool.shares import Shares
from hornbeamyard.pool.upstream_registry import Upstream, UpstreamState
from hornbeamyard.pool.usage import RouterUsage, UsageTable

STEP_S = 0.01
USAGE_INTERVAL_S = 0.25
# Span over which the service of accounts is compared, in seconds.
SPAN_S = 6


def _run_without_limit(
    seconds: float,
) -> AbstractContextManager[anyio.CancelScope]:
    raise AssertionError("nothing waits in this simulation")


class SharedPool:
    """A pool of engines behind several routers.

    Engines prefill requests in order of arrival and do nothing else.

    Parameters
    ----------
    routers, engines : int
    throughput : float
        Configured throughput of all engines, in tokens a second.
    speed : float
        What the engines give, as a multiple of `throughput`.
    seed : int

    Attributes
    ----------
    asked, served : dict
        Tokens by account and second: of first attempts, and admitted.
    refused : set of tuple
        Account and second of each refusal.
    has_leader : bool
        Whether the routers' reports are added up and sent back.
    """

    def __init__(
        self,
        routers: int,
        engines: int,
        throughput: float,
        speed: float,
        seed: int = 1,
    ) -> None:
        self._rng = random.Random(seed)
        self._ms_per_token = 1000.0 * engines / (throughput * speed)
        self._table = UsageTable(2.0)
        self._free_at = {f"e{number}": 0.0 for number in range(engines)}
        # Time, order, router, request and placement.
        self._running: list[
            tuple[float, int, int, RequestDemand, Placement]
        ] = []
        self._returning: list[tuple[float, int, RequestDemand]] = []
        self._started = 0
        self.asked: dict[str, dict[int, int]] = defaultdict(
            lambda: defaultdict(int)
        )
        self.served: dict[str, dict[int, int]] = defaultdict(
            lambda: defaultdict(int)
        )
        self.refused: set[tuple[str, int]] = set()
        self.has_leader = True
        self.now = 0.0
        self.shares = []
        self.balancers = []
        for _ in range(routers):
            shares = Shares(
                throughput=throughput, window_s=2.0, draw=self._rng.random
            )
            balancer = Balancer(
                "model", "zone", shares, self._rng.random, _run_without_limit
            )
            for id in self._free_at:
                balancer.apply_upstream(
                    Upstream(
                        id, "model", id, "zone", UpstreamState.READY, 64, 1
                    )
                )
            balancer.configure(
                500_000, 64, 1000.0 * engines / self._ms_per_token, 0.0
            )
            self.shares.append(shares)
            self.balancers.append(balancer)

    def ask(self, router: int, account: str, tokens: int) -> None:
        """Send a request to a router; its caller returns once if refused."""
        demand = RequestDemand(
            request_id="r",
            account=account,
            priority=1,
            arrived_at=self.now,
            target_s=1.0,
            deadline_at=self.now + 12.0,
            prompt_tokens=tokens,
        )
        self.asked[account][int(self.now)] += demand.size
        self.shares[router].record_asked(account, demand.size)
        self._send(router, demand)

    def _send(self, router: int, demand: RequestDemand) -> None:
        balancer = self.balancers[router]
        found = balancer.place(demand, self.now, frozenset())
        self._started += 1
        if isinstance(found, Refusal):
            self.refused.add((demand.account, int(self.now)))
            if not demand.is_caller_retry:
                again = replace(demand, is_caller_retry=True)
                returns_at = self.now + found.retry_after_s
                heapq.heappush(
                    self._returning, (returns_at, self._started, again)
                )
            return
        balancer.start(found, demand, self.now)
        self.served[demand.account][int(self.now)] += demand.size
        id = found.server.id
        begins_at = max(self._free_at[id], self.now)
        took_s = found.estimate.prefill_tokens * self._ms_per_token / 1000
        self._free_at[id] = begins_at + took_s
        heapq.heappush(
            self._running,
            (self._free_at[id], self._started, router, demand, found),
        )

    def run(self, until: float, callers: Iterable[Callers]) -> None:
        """Let callers send requests until a time in seconds."""
        callers = list(callers)
        step = round(self.now / STEP_S)
        exchange_steps = round(USAGE_INTERVAL_S / STEP_S)
        while self.now < until:
            step += 1
            self.now = step * STEP_S
            while self._running and self._running[0][0] <= self.now:
                _, _, router, demand, placed = heapq.heappop(self._running)
                self.balancers[router].finish_prefill(placed)
                self.balancers[router].finish(placed, demand)
            while self._returning and self._returning[0][0] <= self.now:
                _, _, demand = heapq.heappop(self._returning)
                router = self._rng.randrange(len(self.shares))
                self._send(router, demand)
            for caller in callers:
                for _ in range(caller.count_due(self._rng)):
                    self.ask(
                        self._rng.choice(caller.routers),
                        caller.account,
                        self._rng.choice(caller.sizes),
                    )
            if step % exchange_steps == 0:
                self._exchange()

    def _exchange(self) -> None:
        """Adapt the shares; report to the leader and apply what it sends."""
        for shares, balancer in zip(self.shares, self.balancers, strict=True):
            shares.propose(
                balancer.has_headroom(self.now),
                balancer.is_overloaded(self.now),
            )
            if not self.has_leader:
                shares.continue_alone(self.now)
        if not self.has_leader:
            return
        for number, shares in enumerate(self.shares):
            shares.mark_reported(self.now)
            usage = RouterUsage(
                {n: replace(use) for n, use in shares.own_usage.items()},
                {
                    id: replace(server.own_load)
                    for id, server in self.balancers[number].servers.items()
                },
                throughput_factor=shares.proposed_factor,
            )
            self._table.record_report(str(number), usage, self.now)
        fleet_usage = self._table.compute_fleet_usage(self.now)
        for shares, balancer in zip(self.shares, self.balancers, strict=True):
            shares.apply_fleet_usage(
                fleet_usage.accounts,
                len(self.shares),
                "leader",
                self.now,
                fleet_usage.throughput_factor,
            )
            balancer.apply_fleet_usage(fleet_usage.upstreams, self.now)

    def compute_fairness(self, account: str, start: int) -> float:
        """Return what an account got of what it is owed in a span.

        Parameters
        ----------
        account : str
        start : int
            First second of the span.

        Returns
        -------
        float
            Fraction of what it asked for or the best served account got,
            whichever is less, second by second.
        """
        seconds = range(start, start + SPAN_S)
        owed = sum(
            min(
                self.asked[account][second],
                max(served[second] for served in self.served.values()),
            )
            for second in seconds
        )
        served = sum(self.served[account][second] for second in seconds)
        return served / owed if owed else 1.0


class Callers:
    """Callers of an account, who send requests at some of the routers.

    Parameters
    ----------
    account : str
    routers : sequence of int
    rate : float
        Tokens a second.
    sizes : tuple of int
        Tokens of a request, equally likely.
    """

    def __init__(
        self,
        account: str,
        routers: Iterable[int],
        rate: float,
        sizes: tuple[int, ...] = (12_000, 2_400, 800),
    ) -> None:
        self.account = account
        self.routers = list(routers)
        self.sizes = sizes
        self._per_step = rate * STEP_S / (sum(sizes) / len(sizes))

    def count_due(self, rng: random.Random) -> int:
        """Return how many requests are sent in a step."""
        whole = int(self._per_step)
        return whole + (rng.random() < self._per_step - whole)
