"""Tests that accounts above their share are served alike at any router."""

from __future__ import annotations

import pytest

from hornbeamyard.pool.demand import RequestDemand
from hornbeamyard.pool.usage import UsageTable

from .shared_pool import SPAN_S, Callers, SharedPool

THROUGHPUT = 300_000.0
# Least fraction of what an account is owed: half of what it asks for, or of
# what the account served best got.
MIN_FAIRNESS = 0.5
# The estimate of the throughput settles in the first seconds.
SETTLED_S = 3
END_S = 15
SMALL_DEMAND = 0.03


def run_pool(
    routers: int, engines: int, speed: float, wide: float, narrow: float
) -> SharedPool:
    """Return a pool that two large accounts and some small ones have used.

    Parameters
    ----------
    routers, engines : int
    speed : float
        What the engines give, as a multiple of the configured throughput.
    wide, narrow : float
        Demand of the account with callers at all routers, and of the one with
        callers at two routers, as multiples of the configured throughput.
    """
    pool = SharedPool(routers, engines, THROUGHPUT, speed)
    pool.run(END_S, list_callers(routers, wide, narrow))
    return pool


def list_callers(routers: int, wide: float, narrow: float) -> list[Callers]:
    """Return the callers of two large accounts and of two small ones."""
    return [
        Callers("wide", range(routers), wide * THROUGHPUT),
        Callers("narrow", range(2), narrow * THROUGHPUT),
        Callers("small-1", range(routers), SMALL_DEMAND * THROUGHPUT),
        Callers("small-2", range(routers), SMALL_DEMAND * THROUGHPUT),
    ]


def find_least_fairness(pool: SharedPool, account: str) -> float:
    """Return the least fairness to an account in any span."""
    return min(
        pool.compute_fairness(account, start)
        for start in range(SETTLED_S, END_S - SPAN_S + 1)
    )


class TestSpread:
    """One account's callers are at all routers, another's at two."""

    @pytest.mark.parametrize(
        ("routers", "engines"), [(8, 5), (40, 20)], ids=["few", "many"]
    )
    @pytest.mark.parametrize("speed", [1.0, 1.5, 3.0])
    @pytest.mark.parametrize(("wide", "narrow"), [(6.0, 1.5), (8.0, 3.0)])
    def test_service_does_not_depend_on_the_routers_asked(
        self,
        routers: int,
        engines: int,
        speed: float,
        wide: float,
        narrow: float,
    ) -> None:
        """Guards against free engines for whoever asks first.

        The account at all routers found each moment of free engines, and the
        one at two routers got a third of what it was owed.
        """
        pool = run_pool(routers, engines, speed, wide, narrow)
        for account in ("wide", "narrow"):
            assert find_least_fairness(pool, account) >= MIN_FAIRNESS

    @pytest.mark.parametrize(
        ("routers", "narrow"), [(8, 1), (24, 2)], ids=["one", "two"]
    )
    def test_account_at_one_or_two_routers(
        self, routers: int, narrow: int
    ) -> None:
        """Guards against an account that is starved at a single router."""
        pool = SharedPool(routers, 6, THROUGHPUT, 1.7)
        callers = [
            Callers("wide", range(routers), 3.4 * THROUGHPUT, (2000, 6000)),
            Callers("narrow", range(narrow), 0.85 * THROUGHPUT, (2000, 6000)),
        ]
        pool.run(END_S, callers)
        assert find_least_fairness(pool, "narrow") >= MIN_FAIRNESS


class TestLeaderLost:
    """No controller adds up what routers use."""

    @pytest.mark.parametrize("routers", [8, 40])
    def test_last_division_holds(self, routers: int) -> None:
        """Guards against routers that each give an account its whole share.

        Nobody charged what the others admitted, so the account at all routers
        got its share at each of them.
        """
        pool = SharedPool(routers, routers // 2, THROUGHPUT, 1.5)
        callers = list_callers(routers, 6.0, 1.5)
        pool.run(5.0, callers)
        pool.has_leader = False
        pool.run(END_S, callers)
        for account in ("wide", "narrow"):
            assert find_least_fairness(pool, account) >= MIN_FAIRNESS
        pool.has_leader = True
        pool.run(END_S + SPAN_S, callers)
        for account in ("wide", "narrow"):
            assert pool.compute_fairness(account, END_S) >= MIN_FAIRNESS


class _TightDeadlines(SharedPool):
    """A pool in which requests of one account can't end in time anywhere."""

    def ask(self, router: int, account: str, tokens: int) -> None:
        if account != "unservable":
            super().ask(router, account, tokens)
            return
        prefill_s = tokens * self._ms_per_token / 1000
        demand = RequestDemand(
            request_id="r",
            account=account,
            priority=1,
            arrived_at=self.now,
            target_s=min(1.0, 0.9 * prefill_s),
            deadline_at=self.now + 0.9 * prefill_s,
            prompt_tokens=tokens,
        )
        self.asked[account][int(self.now)] += demand.size
        self.shares[router].record_asked(account, demand.size)
        self._send(router, demand)


class TestRivals:
    """Which accounts hold others back."""

    def test_rival_that_no_engine_can_serve(self) -> None:
        """Guards against free engines that are kept for nobody.

        Refusals as too late counted as a lack of throughput, though the
        request couldn't have ended in time on an idle engine.
        """
        served = []
        for rivals in (0, 1):
            pool = _TightDeadlines(8, 5, THROUGHPUT, 1.5)
            callers = [Callers("big", range(8), 3 * THROUGHPUT)]
            callers += [
                Callers("unservable", range(8), 2 * THROUGHPUT, (40_000,))
            ] * rivals
            pool.run(16, callers)
            served.append(sum(pool.served["big"][s] for s in range(4, 16)))
        alone, beside = served
        assert beside >= 0.9 * alone


class _NewLeaders(SharedPool):
    """A pool whose leader changes."""

    def change_leader(self, name: str) -> None:
        self._table = UsageTable(2.0)
        for shares in self.shares:
            shares._source = name


class TestNewLeader:
    """What a new leader doesn't know yet."""

    def test_fairness_while_leaders_change(self) -> None:
        """Guards against demand that a new leader counts from zero.

        Nothing was contended until it had counted for long enough, and what
        accounts had been served was forgotten.
        """
        pool = _NewLeaders(8, 5, THROUGHPUT, 1.0)
        callers = list_callers(8, 6.0, 1.5)
        pool.run(4, callers)
        for second in range(5, 17, 2):
            pool.run(second, callers)
            pool.change_leader(f"leader-{second}")
        for account in ("wide", "narrow"):
            fairness = [
                pool.compute_fairness(account, start)
                for start in range(4, 16 - SPAN_S)
            ]
            assert min(fairness) >= MIN_FAIRNESS
