"""Max-min fair shares of the engines' throughput between client accounts.

Each account may use what it asks for, up to a level that is the same for
all accounts that ask for more. Every router computes the level from the same
fleet usage and keeps a token bucket for each account, so that no request
needs a message.

Throughput that accounts leave unused is divided between routers in proportion
to what their callers ask for. If each router spent all of it, the engines
would get bursts until the next fleet usage shows that it is spent. What
exceeds the shares goes to accounts in the order of `ServiceOrder`.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from .service_order import ServiceOrder
from .token_bucket import REMEMBERED_CAPACITIES, AccountBucket, TokenBucket
from .usage import DEFAULT_WINDOW_S, IDLE_RETENTION_S, AccountUsage

# Capacity of the bucket of spare throughput, which accounts above their share
# may use, in seconds of throughput. More would admit a burst that slows down
# all running requests.
SPARE_BURST_S = 0.3
# Maximum debt of that bucket, in seconds of throughput. Accounts that ask now
# don't pay for what was admitted before the pool was contended.
MAX_SPARE_DEBT_S = 1.0
# Debt up to which an account may use spare throughput, as a fraction of its
# bucket's capacity. Without a bound the account that asks most often would
# get all of it.
MAX_ACCOUNT_DEBT_FRACTION = 0.25
# Lead over the account served least up to which an account may use throughput
# beyond its share, as a fraction of its bucket's capacity.
MAX_LEAD_FRACTION = 0.5
# Fraction of what an account asks for that has to be refused for the account
# to compete for throughput beyond the shares.
MIN_UNSERVED_FRACTION = 0.25
# Bounds, initial value and relative steps of the estimated throughput of the
# engines, as a multiple of the configured one. It is above 1 as long as
# engines have part of the prompts in their KV caches, and limits nobody while
# it suffices. It rises within two seconds, because engines seem slow after a
# restart with empty caches.
MIN_FACTOR = 0.7
MAX_FACTOR = 1.8
INITIAL_FACTOR = 1.4
# Upper bound of the multiple that is divided between accounts. Above it the
# engines' queues, not the shares, would decide which accounts are served.
MAX_SHARED_FACTOR = 1.4
FACTOR_INCREASE = 0.08
FACTOR_DECREASE = 0.05
# Minimum of a router's part of the throughput, as a fraction of an even
# division, so that callers who move to another router are served before the
# next fleet usage.
MIN_ROUTER_FRACTION = 0.3


class Grant(Enum):
    """What allows a request of an account to be sent."""

    # The demand fits the throughput, or isn't known yet.
    UNCONTENDED = "uncontended"
    # The account asks for no more than its share.
    WITHIN_SHARE = "within_share"
    CREDIT = "credit"
    SPARE = "spare"
    # The engines have headroom, so no share is needed.
    HEADROOM = "headroom"


def compute_level(demands: Mapping[str, float], throughput: float) -> float:
    """Return the max-min fair level: demands above it are cut to it.

    Parameters
    ----------
    demands : mapping of str to float
        Tokens a second that each account asks for.
    throughput : float
        Tokens a second to divide.

    Returns
    -------
    float
        Tokens a second; infinity when the demands fit the throughput.
    """
    if sum(demands.values()) <= throughput:
        return float("inf")
    remaining = throughput
    ascending = sorted(demands.values())
    for index, demand in enumerate(ascending):
        level = remaining / (len(ascending) - index)
        if demand >= level:
            return level
        remaining -= demand
    return float("inf")


@dataclass(slots=True)
class Shares:
    """Fair shares of accounts at one router, for all engine pools together.

    Attributes
    ----------
    throughput : float
        Configured throughput of all engines in tokens a second; 0 when it
        is unknown.
    factor : float
        Estimated throughput of the engines, as a multiple of `throughput`.
        It is the same at all routers that get the fleet's usage.
    proposed_factor : float
        This router's own estimate, from which the fleet's is computed.
    window_s : float
        Time over which demand is measured and unused share is kept.
    level : float
        Tokens a second up to which accounts get what they ask for.
    own_usage : dict of str to AccountUsage
        Counters of this router by account.
    router_fraction : float
        This router's fraction of the fleet's demand, as of the last fleet
        usage.
    draw : callable
        Returns a random number from 0 to 1.
    """

    throughput: float = 0.0
    factor: float = INITIAL_FACTOR
    proposed_factor: float = INITIAL_FACTOR
    window_s: float = DEFAULT_WINDOW_S
    level: float = float("inf")
    own_usage: dict[str, AccountUsage] = field(default_factory=dict)
    router_fraction: float = 1.0
    draw: Callable[[], float] = random.random
    _buckets: dict[str, AccountBucket] = field(default_factory=dict)
    # Time, and tokens that each account has asked for and was refused.
    _samples: deque[tuple[float, dict[str, tuple[int, int]]]] = field(
        default_factory=deque
    )
    _reported_admitted: dict[str, int] = field(default_factory=dict)
    _order: ServiceOrder = field(default_factory=ServiceOrder)
    _spare: TokenBucket = field(default_factory=TokenBucket)
    _source: str = ""
    # Until when the last division holds, as a monotonic time in seconds.
    _divided_until: float = float("-inf")
    _applied_at: float | None = None
    # The counters when idle accounts were forgotten last.
    _checked_usage: dict[str, AccountUsage] = field(default_factory=dict)
    _checked_at: float = float("-inf")
    # Accounts in the fleet usage since then.
    _named: set[str] = field(default_factory=set)
    _named_since: float = float("-inf")

    def is_contended(self) -> bool:
        """Return whether the demand exceeds the engines' throughput."""
        return self.level != float("inf")

    def record_asked(self, account: str, size: int) -> None:
        """Count a request that isn't a caller's retry."""
        self.own_usage.setdefault(account, AccountUsage()).asked += size

    def record_admitted(self, account: str, size: int) -> None:
        """Count a request that is sent."""
        self.own_usage.setdefault(account, AccountUsage()).admitted += size
        self._spare.tokens -= size
        self._order.record_served(account, size)
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.tokens -= size
            bucket.own_used += size

    def record_unserved(self, account: str, size: int) -> None:
        """Count a request that is refused for lack of throughput."""
        self.own_usage.setdefault(account, AccountUsage()).unserved += size

    def mark_reported(self, now: float) -> None:
        """Record that `own_usage` is reported now."""
        self._sample_usage(now)
        self._reported_admitted = {
            name: use.admitted for name, use in self.own_usage.items()
        }

    def forget_idle(self, now: float) -> dict[str, AccountUsage]:
        """Forget accounts whose counters haven't changed for a while.

        It is called just before a report, so that the report no longer names
        them and counts from zero are never taken for a decrease.

        Returns
        -------
        dict of str to AccountUsage
            The counters of the forgotten accounts. When one comes back, they
            begin anew.
        """
        if now - self._checked_at < IDLE_RETENTION_S:
            return {}
        self._checked_at = now
        idle = {
            name: use
            for name, use in self.own_usage.items()
            if use == self._checked_usage.get(name)
        }
        for name, use in idle.items():
            del self.own_usage[name]
            for _, sample in self._samples:
                sample.pop(name, None)
            bucket = self._buckets.get(name)
            if bucket is not None:
                # Otherwise others would be charged for this router's use.
                bucket.own_reported -= use.admitted
        self._checked_usage = {
            name: replace(use) for name, use in self.own_usage.items()
        }
        return idle

    def _sample_usage(self, now: float) -> None:
        """Record what accounts have asked for here and were refused."""
        sample = {
            name: (use.asked, use.unserved)
            for name, use in self.own_usage.items()
        }
        self._samples.append((now, sample))
        while (
            len(self._samples) > 2
            and now - self._samples[0][0] > self.window_s
        ):
            self._samples.popleft()

    def may_admit(
        self, account: str, is_caller_retry: bool, now: float, size: int = 0
    ) -> bool:
        """Return whether a request of an account may be sent now."""
        return self.find_grant(account, is_caller_retry, now, size) is not None

    def find_grant(
        self,
        account: str,
        is_caller_retry: bool,
        now: float,
        size: int = 0,
        has_headroom: bool = False,
        continues_stream: bool = False,
    ) -> Grant | None:
        """Return what allows a request of an account now, or None.

        Parameters
        ----------
        account : str
        is_caller_retry : bool
            Whether the caller retries after a refusal. Its response is late
            already, so an account above its share keeps a reserve for
            requests that can still be in time.
        now : float
            Monotonic time in seconds.
        size : int, optional
            Tokens of the request.
        has_headroom : bool, optional
            Whether the engines could serve more requests, so that an account
            may exceed its share unless it is ahead of others that compete.
        continues_stream : bool, optional
            Whether the caller has a part of the response already. Such
            requests use the account's share before all others, and may use
            as much again in advance.
        """
        if not self.is_contended():
            return Grant.UNCONTENDED
        bucket = self._buckets.get(account)
        if bucket is None:
            return Grant.UNCONTENDED
        bucket.refill(now)
        if not bucket.is_above_share:
            # Its demand may have risen since the last fleet usage.
            if bucket.tokens > -bucket.capacity:
                return Grant.WITHIN_SHARE
            return Grant.HEADROOM if has_headroom else None
        reserve = bucket.compute_reserve(is_caller_retry, continues_stream)
        if bucket.covers(bucket.tokens - reserve, size):
            return Grant.CREDIT
        if self._is_ahead(account, bucket, size):
            return None
        if has_headroom:
            return Grant.HEADROOM
        self._spare.refill(now)
        is_ahead = bucket.tokens < -MAX_ACCOUNT_DEBT_FRACTION * bucket.capacity
        least = (1 - self.router_fraction) * bucket.threshold * size
        if self._spare.tokens > least and not is_ahead:
            return Grant.SPARE
        return None

    def _is_ahead(
        self, account: str, bucket: AccountBucket, size: int
    ) -> bool:
        """Return whether others come first for what exceeds the shares."""
        if not self._order.has_rivals(account):
            return False
        max_lead = MAX_LEAD_FRACTION * bucket.capacity
        lead = self._order.compute_lead(account)
        return not bucket.covers(max_lead - lead, size)

    def could_admit_by(
        self,
        account: str,
        is_caller_retry: bool,
        now: float,
        until: float,
        continues_stream: bool = False,
    ) -> bool:
        """Return whether a request that is refused now may be sent in time.

        Parameters
        ----------
        account : str
        is_caller_retry : bool
        now, until : float
            Monotonic times in seconds: now, and when the request gives up.
        continues_stream : bool, optional
            Whether the caller has a part of the response already.
        """
        bucket = self._buckets.get(account)
        if (
            not self.is_contended()
            or bucket is None
            or not bucket.is_above_share
        ):
            return True
        bucket.refill(now)
        self._spare.refill(now)
        reserve = bucket.compute_reserve(is_caller_retry, continues_stream)
        left_s = until - now
        if bucket.tokens + bucket.rate * left_s > reserve:
            return True
        if self._is_ahead(account, bucket, 0):
            return False
        return self._spare.tokens + self._spare.rate * left_s > 0

    def describe(self, account: str, now: float) -> dict[str, object]:
        """Return the state that decides on an account, for log lines."""
        state = self.describe_level(now)
        if not self.is_contended():
            return state
        bucket = self._buckets.get(account)
        state["credit"] = None
        if bucket is not None:
            state["credit"] = round(bucket.tokens)
            state["demand"] = round(bucket.demand)
            state["above_share"] = bucket.is_above_share
            state["lead"] = round(self._order.compute_lead(account))
        return state

    def describe_level(self, now: float) -> dict[str, object]:
        """Return the state that decides on all accounts, for log lines."""
        age_ms = None
        if self._applied_at is not None:
            age_ms = round((now - self._applied_at) * 1000)
        state: dict[str, object] = {
            "factor": round(self.factor, 2),
            "usage_age_ms": age_ms,
        }
        if self.is_contended():
            state["level"] = round(self.level)
            state["spare"] = round(self._spare.tokens)
            state["fraction"] = round(self.router_fraction, 4)
        return state

    def compute_wait(self, account: str, now: float) -> float:
        """Return the seconds until an account's bucket is out of debt."""
        if not self.is_contended():
            return 0.0
        bucket = self._buckets.get(account)
        if bucket is None or bucket.rate <= 0:
            return 0.0
        bucket.refill(now)
        return max(0.0, -bucket.tokens / bucket.rate)

    def apply_fleet_usage(
        self,
        accounts: Mapping[str, AccountUsage],
        routers: int,
        source: str,
        now: float,
        throughput_factor: float = 0.0,
    ) -> None:
        """Compute the fair level and refill the accounts' buckets.

        Parameters
        ----------
        accounts : mapping of str to AccountUsage
            Tokens asked for within the window, and tokens admitted since
            the source began to count.
        routers : int
            Number of routers that share the throughput.
        source : str
            The controller that added up the routers' reports.
        now : float
            Monotonic time in seconds.
        throughput_factor : float, optional
            The fleet's estimate of the engines' throughput, as a multiple of
            `throughput`; 0 without one.
        """
        self._applied_at = now
        if throughput_factor > 0:
            self.factor = min(max(throughput_factor, MIN_FACTOR), MAX_FACTOR)
        if not self.throughput:
            self.level = float("inf")
            self.router_fraction = 1.0 / max(1, routers)
            return
        is_new = source != self._source
        self._source = source
        if is_new:
            # What was asked before isn't in the new source's demand.
            while len(self._samples) > 1:
                self._samples.popleft()
            # It names an account once that is admitted again.
            self._named = set(self._buckets)
            self._named_since = now
        if is_new and self._buckets:
            # Until it has counted for a whole window, its demand is too low.
            self._divided_until = now + self.window_s
        if now < self._divided_until:
            self._charge(accounts, is_new, now)
            self._order.update(self._order.competing)
            return
        self._divide(accounts, routers, now)
        self._charge(accounts, is_new, now)
        self._order.update(
            self._list_competing(
                {n: (use.asked, use.unserved) for n, use in accounts.items()}
            )
        )
        self._forget_unnamed(accounts, now)

    def _forget_unnamed(self, accounts: Iterable[str], now: float) -> None:
        """Forget the buckets of accounts that are long gone.

        They outlast the accounts' own counters, by which they are charged.
        """
        self._named.update(accounts)
        if now - self._named_since < 2 * IDLE_RETENTION_S:
            return
        for name in self._buckets.keys() - self._named:
            del self._buckets[name]
        self._named = set(accounts)
        self._named_since = now

    def _divide(
        self, accounts: Mapping[str, AccountUsage], routers: int, now: float
    ) -> None:
        """Divide the throughput between accounts and between routers."""
        demands = {
            name: use.asked / self.window_s for name, use in accounts.items()
        }
        demand = sum(demands.values())
        rate = self.throughput * min(MAX_SHARED_FACTOR, self.factor)
        self.level = float("inf")
        if demand > self.throughput * self.factor:
            self.level = compute_level(demands, rate)
        self.router_fraction = self._compute_router_fraction(demand, routers)
        self._set_spare_rate(rate * self.router_fraction, now)
        account_rate = min(self.level, rate)
        capacity = account_rate * self.window_s
        self._order.max_lead = REMEMBERED_CAPACITIES * capacity
        for name, use in accounts.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                bucket = AccountBucket(
                    tokens=capacity, capacity=capacity, refilled_at=now
                )
                self._buckets[name] = bucket
            bucket.refill(now)
            bucket.rate = account_rate
            bucket.demand = demands[name]
            bucket.is_above_share = bucket.demand > self.level
            bucket.capacity = capacity
            bucket.fraction = self._compute_account_fraction(
                name, use, routers
            )

    def _set_spare_rate(self, rate: float, now: float) -> None:
        self._spare.refill(now)
        self._spare.rate = rate
        self._spare.capacity = rate * SPARE_BURST_S
        lowest = -rate * MAX_SPARE_DEBT_S
        self._spare.tokens = max(self._spare.tokens, lowest)

    def _charge(
        self,
        accounts: Mapping[str, AccountUsage],
        is_new_source: bool,
        now: float,
    ) -> None:
        """Charge accounts for what other routers have admitted."""
        threshold = self.draw()
        for name, use in accounts.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            bucket.refill(now)
            bucket.own_used = 0.0
            bucket.threshold = threshold
            bucket.bound_debt()
            reported = self._reported_admitted.get(name, 0)
            if is_new_source:
                bucket.reset_counters(use.admitted, reported)
                continue
            used = bucket.charge_others(use.admitted, reported)
            self._order.record_served(name, used)

    def _list_competing(
        self, recent: Mapping[str, tuple[int, int]]
    ) -> frozenset[str]:
        """Return the accounts that are refused too much of what they ask for.

        Parameters
        ----------
        recent : mapping of str to tuple of int
            Tokens that each account asked for and was refused recently.
        """
        return frozenset(
            name
            for name, bucket in self._buckets.items()
            if bucket.is_above_share
            and name in recent
            and recent[name][1] > MIN_UNSERVED_FRACTION * recent[name][0]
        )

    def _compute_router_fraction(self, demand: float, routers: int) -> float:
        """Return this router's fraction of the fleet's demand."""
        minimum = MIN_ROUTER_FRACTION / max(1, routers)
        if len(self._samples) < 2 or not demand:
            return 1.0 / max(1, routers)
        asked = sum(self._get_recent(name)[0] for name in self.own_usage)
        return min(1.0, max(minimum, asked / self.window_s / demand))

    def _get_recent(self, account: str) -> tuple[int, int]:
        """Return what an account asked here, and was refused, recently."""
        if len(self._samples) < 2:
            return 0, 0
        asked, unserved = self._samples[-1][1].get(account, (0, 0))
        earlier = self._samples[0][1].get(account, (0, 0))
        return asked - earlier[0], unserved - earlier[1]

    def _compute_account_fraction(
        self, account: str, usage: AccountUsage, routers: int
    ) -> float:
        """Return this router's fraction of an account's requests."""
        even = 1.0 / max(1, routers)
        total = usage.asked + usage.unserved
        if routers <= 1 or len(self._samples) < 2 or not total:
            return even
        if account not in self.own_usage:
            return MIN_ROUTER_FRACTION * even
        fraction = sum(self._get_recent(account)) / total
        return min(1.0, max(MIN_ROUTER_FRACTION * even, fraction))

    def propose(self, has_headroom: bool, is_overloaded: bool) -> None:
        """Set `proposed_factor` by the throughput that the engines give.

        Parameters
        ----------
        has_headroom : bool
            Whether engines of any pool could serve more requests.
        is_overloaded : bool
            Whether engines of any pool have too much work to meet targets.
        """
        self.proposed_factor = self.factor
        if is_overloaded:
            lower = self.factor * (1 - FACTOR_DECREASE)
            self.proposed_factor = max(MIN_FACTOR, lower)
        elif has_headroom and (self.is_contended() or self.factor < 1):
            higher = self.factor * (1 + FACTOR_INCREASE)
            self.proposed_factor = min(MAX_FACTOR, higher)

    def continue_alone(self, now: float) -> None:
        """Go on while the fleet's usage isn't known.

        The other routers are assumed to admit requests of each account in
        the same proportion to this router's as before, and the router follows
        its own estimate of the throughput.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self.factor = self.proposed_factor
        self._sample_usage(now)
        for name, bucket in self._buckets.items():
            bucket.refill(now)
            bucket.threshold = self.draw()
            self._order.record_served(name, bucket.assume_others())
        # Accounts that competed may go on doing so at other routers.
        refused_here = self._list_competing(
            {name: self._get_recent(name) for name in self.own_usage}
        )
        self._order.update(self._order.competing | refused_here)
