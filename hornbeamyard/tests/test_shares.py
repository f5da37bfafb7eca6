"""Tests of the fair shares of accounts and of the fleet's usage."""

from __future__ import annotations

import math
from typing import cast

import pytest

from hornbeamyard.pool.shares import Shares, compute_level
from hornbeamyard.pool.usage import (
    IDLE_RETENTION_S,
    PART_RETENTION_S,
    AccountUsage,
    CachedPart,
    RouterUsage,
    UsageTable,
)

THROUGHPUT = 10_000.0
INTERVAL_S = 0.25


class TestComputeLevel:
    """The level is max-min fair."""

    @pytest.mark.parametrize(
        ("demands", "throughput", "expected"),
        [
            ({"a": 10, "b": 20}, 100, math.inf),
            ({"a": 100, "b": 100}, 100, 50),
            ({"a": 10, "b": 100, "c": 100}, 100, 45),
            ({"a": 1000}, 100, 100),
            ({}, 100, math.inf),
        ],
    )
    def test_level(
        self, demands: dict[str, float], throughput: float, expected: float
    ) -> None:
        """Guards against a level that leaves throughput unused."""
        assert compute_level(demands, throughput) == expected


class Fleet:
    """Routers that share a pool by the fleet usage that a leader adds up."""

    def __init__(self, routers: int) -> None:
        self.now = 100.0
        self.routers = [
            Shares(throughput=THROUGHPUT, factor=1.0, window_s=2.0)
            for _ in range(routers)
        ]
        self.table = UsageTable(2.0)
        self.admitted: dict[str, int] = {}

    def exchange(self) -> None:
        """Report to the leader and apply the fleet usage it computes."""
        self.now += INTERVAL_S
        for number, shares in enumerate(self.routers):
            shares.forget_idle(self.now)
            shares.mark_reported(self.now)
            own = {
                name: AccountUsage(use.asked, use.admitted)
                for name, use in shares.own_usage.items()
            }
            self.table.record_report(str(number), RouterUsage(own), self.now)
        fleet_usage = self.table.compute_fleet_usage(self.now)
        for shares in self.routers:
            shares.apply_fleet_usage(
                fleet_usage.accounts, len(self.routers), "leader", self.now
            )

    def ask(self, router: int, account: str, size: int) -> bool:
        """Return whether a router admits a request."""
        shares = self.routers[router]
        shares.record_asked(account, size)
        if not shares.may_admit(account, False, self.now, size):
            return False
        shares.record_admitted(account, size)
        self.admitted[account] = self.admitted.get(account, 0) + size
        return True


class TestShares:
    """Each account gets its share, whatever the others ask for."""

    def test_flood_by_one_account(self) -> None:
        """Guards against an account that takes the shares of others."""
        fleet = Fleet(4)
        small_asked = 0
        for step in range(120):
            for router in range(4):
                for _ in range(20):
                    fleet.ask(router, "flood", 400)
            for account in ("small-1", "small-2", "small-3"):
                fleet.ask(step % 4, account, 400)
                small_asked += 400
            fleet.exchange()
        small = sum(
            size for name, size in fleet.admitted.items() if name != "flood"
        )
        assert small >= 0.9 * small_asked
        # The flood gets what is left, and not the whole throughput.
        spent = fleet.admitted["flood"] / (120 * INTERVAL_S)
        assert 0.25 * THROUGHPUT <= spent <= 0.9 * THROUGHPUT

    def test_two_floods_are_even_however_they_are_spread(self) -> None:
        """Guards against shares that depend on the routers asked."""
        fleet = Fleet(4)
        for _ in range(200):
            for router in range(4):
                for _ in range(6):
                    fleet.ask(router, "everywhere", 500)
            for _ in range(24):
                fleet.ask(0, "one-router", 500)
            fleet.exchange()
        shares = fleet.admitted
        ratio = shares["one-router"] / shares["everywhere"]
        assert 0.5 <= ratio <= 2.0

    def test_spare_throughput_goes_to_no_account_alone(self) -> None:
        """Guards against an account that gets all spare throughput.

        It got three times as much as another account above its share,
        because it asked more often.
        """
        fleet = Fleet(4)
        for step in range(200):
            for router in range(4):
                for _ in range(10):
                    fleet.ask(router, "first", 400)
            if step % 2 == 0:
                fleet.ask(0, "second", 6000)
            for account in ("full-1", "full-2"):
                # Engines refuse these, so their share stays unused.
                fleet.routers[1].record_asked(account, 6000)
            fleet.exchange()
        ratio = fleet.admitted["first"] / fleet.admitted["second"]
        assert 0.5 <= ratio <= 2.0

    def test_burst_of_an_account_that_was_idle(self) -> None:
        """Guards against a burst that isn't limited before the next usage.

        An account asked for five times the throughput within a second. Until
        the next fleet usage it counted as one within its share, and got
        240,000 tokens while another account was refused.
        """
        fleet = Fleet(4)
        for step in range(16):
            for router in range(4):
                for _ in range(20):
                    fleet.ask(router, "flood", 400)
            if step % 4 == 0:
                fleet.ask(0, "late", 400)
            fleet.exchange()
        before = fleet.admitted["late"]
        shares = fleet.routers[0]
        assert shares.is_contended()
        for _ in range(200):
            fleet.ask(0, "late", 400)
        burst = fleet.admitted["late"] - before
        # A full bucket, and as much debt.
        assert burst <= 2 * shares.window_s * shares.level + 400

    def test_no_limit_below_the_throughput(self) -> None:
        """Guards against refusals while the engines have capacity."""
        fleet = Fleet(2)
        refused = 0
        for _ in range(40):
            for router in range(2):
                refused += not fleet.ask(router, "a", 500)
            fleet.exchange()
        assert refused == 0

    def test_new_leader_counts_anew(self) -> None:
        """Guards against charging an account for another leader's counters."""
        shares = Shares(throughput=THROUGHPUT, window_s=2.0)
        busy = {
            "a": AccountUsage(100_000, 50_000),
            "b": AccountUsage(100_000, 0),
        }
        shares.apply_fleet_usage(busy, 2, "first", 1.0)
        # The counters of a new leader start at zero, or far above.
        shares.apply_fleet_usage(busy, 2, "second", 1.25)
        higher = {name: AccountUsage(100_000, 900_000) for name in busy}
        shares.apply_fleet_usage(higher, 2, "third", 1.5)
        assert cast(int, shares.describe("a", 1.5)["credit"]) > 0

    @pytest.mark.parametrize(("factor", "expected"), [(0.8, 0.8), (1.8, 1.4)])
    def test_shares_follow_the_throughput_of_the_engines(
        self, factor: float, expected: float
    ) -> None:
        """Guards against engines that are half idle beside refusals.

        Accounts that ask for more than the engines give shared the configured
        throughput, however much more the engines were found to give.
        """
        shares = Shares(throughput=THROUGHPUT, factor=factor, window_s=2.0)
        flood = {"a": AccountUsage(100_000, 0), "b": AccountUsage(100_000, 0)}
        shares.apply_fleet_usage(flood, 1, "leader", 1.0)
        assert shares.level == pytest.approx(expected * THROUGHPUT / 2)

    def test_caller_retry_leaves_a_reserve_to_first_requests(self) -> None:
        """Guards against a share that is spent on late responses."""
        shares = Shares(throughput=THROUGHPUT, factor=1.0, window_s=2.0)
        usage = {"a": AccountUsage(100_000, 0), "b": AccountUsage(2_000, 0)}
        shares.apply_fleet_usage(usage, 1, "leader", 1.0)
        shares.record_admitted("a", 25_000)
        shares.record_admitted("b", 2_000)
        assert not shares.may_admit("a", False, 1.5)
        # Later its bucket has tokens again, but less than the reserve.
        assert shares.may_admit("a", False, 2.7)
        assert not shares.may_admit("a", True, 2.7)
        assert shares.may_admit("b", True, 2.7)

    def test_describes_what_decides_on_an_account(self) -> None:
        """Guards against log lines that can't tell accounts' demands apart."""
        shares = Shares(throughput=THROUGHPUT, factor=1.0, window_s=2.0)
        before = {"factor": 1.0, "usage_age_ms": None}
        assert shares.describe("a", 0.5) == before
        usage = {"a": AccountUsage(100_000, 0), "b": AccountUsage(2_000, 0)}
        shares.apply_fleet_usage(usage, 4, "leader", 1.0)
        expected = {
            "usage_age_ms": 200,
            "level": 9000,
            "credit": 18000,
            "demand": 50_000,
            "above_share": True,
            "fraction": 0.25,
        }
        assert expected.items() <= shares.describe("a", 1.2).items()
        assert shares.describe("b", 1.2)["above_share"] is False
        # An account that hasn't asked yet has no credit.
        unknown = shares.describe("c", 1.2)
        assert unknown["credit"] is None
        assert "above_share" not in unknown

    def test_large_requests_at_many_routers(self) -> None:
        """Guards against one request at each router for the same tokens.

        All routers saw the same small credit, and each admitted a request
        that was larger than it.
        """
        fleet = Fleet(40)

        def ask(seconds: float) -> None:
            for _ in range(round(seconds / INTERVAL_S)):
                for router in range(40):
                    fleet.ask(router, "everywhere", 6000)
                for _ in range(10):
                    fleet.ask(0, "one-router", 6000)
                fleet.exchange()

        # Until the first fleet usage nothing is limited.
        ask(10.0)
        before = dict(fleet.admitted)
        ask(40.0)
        spent = {name: fleet.admitted[name] - before[name] for name in before}
        level = THROUGHPUT / 2
        for tokens in spent.values():
            assert 0.5 * level * 40 <= tokens <= 1.5 * level * 40

    def test_resumed_streams_use_the_share_first(self) -> None:
        """Guards against streams that break because new ones were begun.

        Callers of an account above its share resumed streams after a reset,
        and all were refused for its share.
        """
        shares = Shares(throughput=THROUGHPUT, factor=1.0, window_s=2.0)
        flood = {"a": AccountUsage(100_000, 0), "b": AccountUsage(100_000, 0)}
        shares.apply_fleet_usage(flood, 1, "leader", 1.0)
        shares.record_admitted("a", 15_000)

        def is_resumed() -> bool:
            grant = shares.find_grant(
                "a", True, 1.0, 500, continues_stream=True
            )
            return grant is not None

        assert not shares.may_admit("a", False, 1.0, 500)
        assert is_resumed()
        # As much again as a full bucket, which is charged.
        shares.record_admitted("a", 5_000)
        assert not is_resumed()

    def test_debt_is_remembered(self) -> None:
        """Guards against a debt that ends with the next fleet usage."""
        shares = Shares(throughput=THROUGHPUT, factor=1.0, window_s=2.0)
        flood = {"a": AccountUsage(100_000, 0), "b": AccountUsage(100_000, 0)}
        shares.apply_fleet_usage(flood, 1, "leader", 1.0)
        # The span over which shares are assessed is 4 s, the level 5,000.
        shares.record_admitted("a", 30_000)
        shares.mark_reported(1.25)
        flood["a"].admitted = 30_000
        admitted = []
        for step in range(18):
            now = 1.25 + step * INTERVAL_S
            shares.apply_fleet_usage(flood, 1, "leader", now)
            admitted.append(shares.may_admit("a", False, now))
        # The bucket was full, so the debt is 20,000, of which a quarter of a
        # bucket doesn't keep the account from spare throughput.
        assert not any(admitted[:13])
        assert all(admitted[14:])

    def test_fractions_after_a_new_leader(self) -> None:
        """Guards against routers that each take a whole account's part.

        A router's demand of the whole window was compared with what the
        leader had counted in a quarter of a second.
        """
        shares = Shares(throughput=10_000.0, factor=1.0, window_s=2.0)
        for step in range(9):
            shares.record_asked("a", 10_000)
            shares.mark_reported(0.25 * step)
        shares.apply_fleet_usage(
            {"a": AccountUsage(80_000, 0, 0)}, 8, "new", 2.25
        )
        assert shares._buckets["a"].fraction <= 0.25

    def test_account_ahead_of_its_rivals_does_not_wait(self) -> None:
        """Guards against waiting requests that can't be admitted in time.

        They fill the queue, and others are refused for that.
        """
        shares = Shares(throughput=10_000.0, factor=1.0, window_s=2.0)
        for admitted in (0, 100_000):
            usage = {
                "a": AccountUsage(100_000, admitted, 90_000),
                "rival": AccountUsage(100_000, 0, 90_000),
            }
            shares.apply_fleet_usage(usage, 1, "leader", 0.0)
        assert shares.find_grant("a", False, 0.1, 1000, True) is None
        assert not shares.could_admit_by("a", False, 0.1, 0.225)


class TestIdleAccounts:
    """An account that comes back is treated like one that never left."""

    def test_return_to_one_router(self) -> None:
        """Guards against charging others' use for what was forgotten here.

        The account goes on at another router meanwhile, so its bucket stays.
        """
        fleet = Fleet(2)
        for _ in range(40):
            for account in ("a", "b", "c"):
                fleet.ask(0, account, 900)
            fleet.exchange()
        for _ in range(int(2.5 * IDLE_RETENTION_S / INTERVAL_S)):
            for account in ("a", "b", "c"):
                fleet.ask(1, account, 900)
            fleet.exchange()
            first, second = (r._buckets["a"].tokens for r in fleet.routers)
            assert abs(first - second) <= 2000
        assert not fleet.routers[0].own_usage
        # A router's first report is a baseline.
        missing = fleet.admitted["a"] - fleet.table._admitted["a"]
        assert missing == 900
        for _ in range(40):
            for account in ("a", "b", "c"):
                fleet.ask(0, account, 900)
            fleet.exchange()
        missing = fleet.admitted["a"] - fleet.table._admitted["a"]
        assert missing == 900

    def test_return_to_the_fleet(self) -> None:
        """Guards against debts and free tokens of accounts that come back."""
        fleet = Fleet(2)

        def run(steps: int, *accounts: str) -> dict[str, int]:
            before = dict(fleet.admitted)
            for _ in range(steps):
                for account in accounts:
                    for router in range(2):
                        fleet.ask(router, account, 900)
                fleet.exchange()
            return {a: fleet.admitted[a] - before.get(a, 0) for a in accounts}

        run(80, "a", "b", "c")
        run(int(5 * IDLE_RETENTION_S / INTERVAL_S), "b", "c")
        for shares in fleet.routers:
            assert "a" not in shares.own_usage
            assert "a" not in shares._buckets
        assert "a" not in fleet.table._admitted
        admitted = run(80, "a", "b", "c")
        assert abs(admitted["a"] - admitted["b"]) <= 0.15 * admitted["b"]


class TestContinueAlone:
    """A router goes on while the fleet's usage isn't known."""

    def test_others_are_charged_again_once_their_use_is_known(self) -> None:
        """Guards against assumed use that outweighs the real one for minutes.

        A router with a small part of an account's requests assumed a multiple
        of each, and then charged nothing that other routers admitted.
        """
        shares = Shares(throughput=THROUGHPUT, factor=1.0, window_s=2.0)
        usage = {
            "a": AccountUsage(100_000, 0, 80_000),
            "b": AccountUsage(100_000, 0, 80_000),
        }
        for now in (0.0, 2.0):
            shares.mark_reported(now)
        shares.apply_fleet_usage(usage, 78, "leader", 2.0)
        shares.record_admitted("a", 1200)
        shares.continue_alone(3.1)
        for step in range(32):
            now = 3.25 + INTERVAL_S * step
            # The other routers admit twice the account's share.
            usage["a"].admitted += int(THROUGHPUT * INTERVAL_S)
            shares.mark_reported(now)
            shares.apply_fleet_usage(usage, 78, "leader", now)
        assert not shares.may_admit("a", False, now, 1)
        assert shares.may_admit("b", False, now, 1)

    def test_rival_that_asks_other_routers_still_competes(self) -> None:
        """Guards against free engines for the only account that asks here.

        Only accounts that were refused at this router counted as competing.
        """
        shares = Shares(throughput=10_000.0, factor=1.0, window_s=2.0)
        usage = {
            "here": AccountUsage(100_000, 0, 80_000),
            "elsewhere": AccountUsage(100_000, 0, 80_000),
        }
        for now in (0.0, 2.0):
            shares.record_asked("here", 50_000)
            shares.record_unserved("here", 40_000)
            shares.mark_reported(now)
        shares.apply_fleet_usage(usage, 8, "leader", 2.0)
        assert shares._order.has_rivals("here")
        for now in (3.1, 3.35):
            shares.record_asked("here", 5000)
            shares.record_unserved("here", 4000)
            shares.continue_alone(now)
        assert shares._order.has_rivals("here")


class TestThroughputFactor:
    """All routers divide the same throughput."""

    def test_routers_with_more_demand_count_more(self) -> None:
        """Guards against levels that differ between routers."""
        table = UsageTable(2.0)
        for now, asked in ((1.0, 0), (1.25, 1000)):
            for name, weight, factor in (("busy", 3, 0.8), ("calm", 1, 1.6)):
                usage = RouterUsage(
                    {"a": AccountUsage(asked * weight)},
                    throughput_factor=factor,
                )
                table.record_report(name, usage, now)
        fleet_usage = table.compute_fleet_usage(1.25)
        assert fleet_usage.throughput_factor == pytest.approx(1.0, abs=0.01)
        shares = Shares(throughput=THROUGHPUT, factor=1.8)
        shares.apply_fleet_usage(
            fleet_usage.accounts,
            2,
            "leader",
            1.25,
            fleet_usage.throughput_factor,
        )
        assert shares.factor == fleet_usage.throughput_factor

    def test_estimate_out_of_bounds(self) -> None:
        """Guards against one report that ends all shares for good.

        All routers took over an infinite mean, and proposed it again.
        """
        table = UsageTable(2.0)
        for name, factor in (("faulty", math.inf), ("sound", 1.0)):
            usage = RouterUsage(throughput_factor=factor)
            table.record_report(name, usage, 1.0)
        shares = Shares(throughput=THROUGHPUT)
        shares.apply_fleet_usage(
            {"a": AccountUsage(1_000_000)},
            2,
            "leader",
            1.0,
            table.compute_fleet_usage(1.0).throughput_factor,
        )
        assert shares.is_contended()

    def test_no_estimate(self) -> None:
        """Guards against a throughput of zero before the first estimate."""
        table = UsageTable(2.0)
        table.record_report("r", RouterUsage(), 1.0)
        assert table.compute_fleet_usage(1.0).throughput_factor == 0
        shares = Shares(throughput=THROUGHPUT, factor=1.2)
        shares.apply_fleet_usage({}, 1, "leader", 1.0, 0.0)
        assert shares.factor == 1.2


class TestCachedParts:
    """Which cached parts are sent to all routers."""

    def test_part_that_many_routers_report(self) -> None:
        """Guards against traffic that grows with the square of the routers."""
        table = UsageTable()
        cached = CachedPart("p", "e1")
        table.record_report("r1", RouterUsage(cached_parts=[cached]), 0.0)
        assert table.compute_fleet_usage(0.25).cached_parts == [cached]
        table.record_report("r2", RouterUsage(cached_parts=[cached]), 0.4)
        assert table.compute_fleet_usage(0.5).cached_parts == []

    def test_part_is_sent_again_later(self) -> None:
        """Guards against a router that never learns of a part still in use."""
        table = UsageTable()
        cached = CachedPart("p", "e1")
        table.record_report("r1", RouterUsage(cached_parts=[cached]), 0.0)
        table.compute_fleet_usage(0.25)
        table.record_report("r1", RouterUsage(cached_parts=[cached]), 9.0)
        assert table.compute_fleet_usage(9.25).cached_parts == [cached]

    def test_router_that_attaches_later(self) -> None:
        """Guards against a restarted router that has parts prefilled again."""
        table = UsageTable()
        cached = CachedPart("p", "e1")
        table.record_report("r1", RouterUsage(cached_parts=[cached]), 0.0)
        table.compute_fleet_usage(0.25)
        assert table.list_recent_parts(20.0) == [cached]
        assert table.list_recent_parts(PART_RETENTION_S + 1.0) == []
