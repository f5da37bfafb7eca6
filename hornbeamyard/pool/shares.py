"""Fair shares of the engines' throughput between client accounts.

Each account may use what it asks for, up to a level that is the same for
all accounts above it (max-min fairness). Every router computes the level
from the same sums and keeps the same credits of accounts, so that no request
needs a message. The pool's throughput is divided between routers by what
their callers ask for: if all routers spent it together, each would see it
unspent until the next sums, and the engines would get bursts.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from .usage import DEFAULT_WINDOW_S, AccountUsage

# Unused throughput that the pool keeps for accounts above their share, as a
# time. More would let a burst through that slows down all running requests.
SPARE_BURST_S = 0.3
# Longest debt of the pool, as a time. What was admitted before it was
# contended is no debt of those who ask now.
MAX_SPARE_DEBT_S = 1.0
# Lead that an account may take with what others leave, as a part of the
# longest savings. Without a bound the account that asks most often gets all.
MAX_LEAD_FRACTION = 0.25
# Part of its savings that an account which asks for more than its share keeps
# for requests that come for the first time.
CLIENT_RETRY_RESERVE_FRACTION = 0.5
# Bounds and steps of what the engines are found to give, as a multiple of
# the configured throughput. They give more, as they hold part of the prompts
# already, and shares limit nobody as long as it is enough. It rises within two
# seconds, as after a restart engines have read nothing and seem slow.
MIN_FACTOR = 0.7
MAX_FACTOR = 1.8
INITIAL_FACTOR = 1.4
FACTOR_INCREASE = 0.08
FACTOR_DECREASE = 0.05
# Part of an even division that a router gets at least, so that callers who
# come to another router are served before the next sums.
MIN_ROUTER_FRACTION = 0.3
# Longest time between two sums that counts as earned.
MAX_REFILL_S = 1.0


def compute_level(demands: Mapping[str, float], throughput: float) -> float:
    """Return the level above which demand is cut, for max-min fairness.

    Parameters
    ----------
    demands : mapping of str to float
        Tokens a second that each account asks for.
    throughput : float
        Tokens a second that the pool gives.

    Returns
    -------
    float
        Infinity when all demands fit.
    """
    if sum(demands.values()) <= throughput:
        return float("inf")
    left = throughput
    waiting = sorted(demands.values())
    for place, demand in enumerate(waiting):
        level = left / (len(waiting) - place)
        if demand >= level:
            return level
        left -= demand
    return float("inf")


@dataclass(slots=True)
class _TokenBucket:
    """Tokens that may still be used, of an account or of the pool.

    Attributes
    ----------
    tokens : float
        Negative after a request that was larger than the rest.
    rate : float
        Tokens earned in a second.
    capacity : float
        Tokens that are kept at most.
    refilled_at : float
    fleet_admitted, own_reported : int
        Counters at the last sums: of the fleet, and what this router had
        reported of its own.
    uncharged : float
        Use by others that the counters, which are of slightly different
        times, show too early.
    is_above_share : bool
        Whether the account asks for more than its share.
    """

    tokens: float = 0.0
    rate: float = 0.0
    capacity: float = 0.0
    refilled_at: float = 0.0
    fleet_admitted: int = 0
    own_reported: int = 0
    uncharged: float = 0.0
    is_above_share: bool = False

    def refill(self, now: float) -> None:
        """Add what was earned."""
        elapsed_s = min(max(0.0, now - self.refilled_at), MAX_REFILL_S)
        self.tokens = min(self.tokens + self.rate * elapsed_s, self.capacity)
        self.refilled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Add what was earned, and earn at another rate from now on."""
        self.refill(now)
        self.rate = rate
        self.capacity = rate * SPARE_BURST_S
        self.tokens = max(self.tokens, -rate * MAX_SPARE_DEBT_S)

    def reset_counters(self, total: int, own: int) -> None:
        """Take over the counters of another source."""
        self.fleet_admitted = total
        self.own_reported = own
        self.uncharged = 0.0

    def charge_others(self, total: int, own: int) -> None:
        """Subtract what other routers have used since the last sums."""
        if total >= self.fleet_admitted:
            used = total - self.fleet_admitted - (own - self.own_reported)
            self.uncharged += used
            if self.uncharged > 0:
                self.tokens -= self.uncharged
                self.uncharged = 0.0
        self.fleet_admitted = total
        self.own_reported = own


@dataclass(slots=True)
class Shares:
    """The shares of accounts at one router, for all engine pools together.

    Attributes
    ----------
    throughput : float
        Tokens a second of all engines, as configured; 0 when unknown.
    factor : float
        Multiple of it that the engines are found to give.
    window_s : float
        Span over which shares are judged.
    level : float
        Tokens a second up to which accounts get what they ask for.
    own : dict of str to AccountUsage
        Counters of this router.
    """

    throughput: float = 0.0
    factor: float = INITIAL_FACTOR
    window_s: float = DEFAULT_WINDOW_S
    level: float = float("inf")
    own: dict[str, AccountUsage] = field(default_factory=dict)
    _buckets: dict[str, _TokenBucket] = field(default_factory=dict)
    _asked_samples: deque[tuple[float, int]] = field(default_factory=deque)
    _reported_admitted: dict[str, int] = field(default_factory=dict)
    _spare: _TokenBucket = field(default_factory=_TokenBucket)
    _source: str = ""

    def is_contended(self) -> bool:
        """Return whether accounts ask for more than the engines give."""
        return self.level != float("inf")

    def record_asked(self, account: str, size: int) -> None:
        """Count a request that has come for the first time."""
        self.own.setdefault(account, AccountUsage()).asked += size

    def record_admitted(self, account: str, size: int) -> None:
        """Count a request that is sent."""
        self.own.setdefault(account, AccountUsage()).admitted += size
        self._spare.tokens -= size
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.tokens -= size

    def mark_reported(self, now: float) -> None:
        """Take note that the counters are reported now."""
        asked = sum(use.asked for use in self.own.values())
        self._asked_samples.append((now, asked))
        while (
            len(self._asked_samples) > 2
            and now - self._asked_samples[0][0] > self.window_s
        ):
            self._asked_samples.popleft()
        self._reported_admitted = {
            name: use.admitted for name, use in self.own.items()
        }

    def may_admit(
        self, account: str, is_client_retry: bool, now: float
    ) -> bool:
        """Return whether a request of an account may be sent now.

        Parameters
        ----------
        account : str
        is_client_retry : bool
            Whether the caller comes back after a refusal. Its answer is late
            already, so an account that asks for more than its share rather
            spends it on requests that can still be in time.
        now : float
        """
        if not self.is_contended():
            return True
        bucket = self._buckets.get(account)
        if bucket is None:
            return True
        bucket.refill(now)
        if not bucket.is_above_share:
            # It may have begun to flood since the last sums.
            return bucket.tokens > -bucket.capacity
        least = (
            CLIENT_RETRY_RESERVE_FRACTION * bucket.capacity
            if is_client_retry
            else 0.0
        )
        if bucket.tokens > least:
            return True
        self._spare.refill(now)
        is_ahead = bucket.tokens < -MAX_LEAD_FRACTION * bucket.capacity
        return self._spare.tokens > 0 and not is_ahead

    def describe(self, account: str, now: float) -> dict[str, object]:
        """Return what decides on an account, for log lines."""
        if not self.is_contended():
            return {"factor": round(self.factor, 2)}
        bucket = self._buckets.get(account)
        return {
            "factor": round(self.factor, 2),
            "level": round(self.level),
            "credit": round(bucket.tokens) if bucket is not None else None,
            "spare": round(self._spare.tokens),
        }

    def compute_wait(self, account: str, now: float) -> float:
        """Return the seconds until an account has a share again."""
        if not self.is_contended():
            return 0.0
        bucket = self._buckets.get(account)
        if bucket is None or bucket.rate <= 0:
            return 0.0
        bucket.refill(now)
        return max(0.0, -bucket.tokens / bucket.rate)

    def apply_sums(
        self,
        accounts: Mapping[str, AccountUsage],
        routers: int,
        source: str,
        now: float,
    ) -> None:
        """Compute the shares from the fleet's sums.

        Parameters
        ----------
        accounts : mapping of str to AccountUsage
            Tokens asked for within the window, and admitted since the
            source began to count.
        routers : int
            Routers that share the throughput.
        source : str
            Who has added up.
        now : float
        """
        if not self.throughput:
            self.level = float("inf")
            return
        demands = {
            name: use.asked / self.window_s for name, use in accounts.items()
        }
        rate = self.throughput * min(1.0, self.factor)
        self.level = float("inf")
        if sum(demands.values()) > self.throughput * self.factor:
            self.level = compute_level(demands, rate)
        is_new = source != self._source
        self._source = source
        fraction = self._compute_router_fraction(
            sum(demands.values()), routers
        )
        self._spare.set_rate(rate * fraction, now)
        account_rate = min(self.level, rate)
        saved = account_rate * self.window_s
        for name, use in accounts.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                bucket = _TokenBucket(
                    tokens=saved, capacity=saved, refilled_at=now
                )
                self._buckets[name] = bucket
            bucket.refill(now)
            bucket.rate = account_rate
            bucket.is_above_share = demands[name] > self.level
            bucket.capacity = saved
            bucket.tokens = min(bucket.tokens, bucket.capacity)
            bucket.tokens = max(bucket.tokens, -bucket.capacity)
            reported = self._reported_admitted.get(name, 0)
            if is_new:
                bucket.reset_counters(use.admitted, reported)
            else:
                bucket.charge_others(use.admitted, reported)

    def _compute_router_fraction(self, demand: float, routers: int) -> float:
        """Return this router's part of the pool's throughput."""
        least = MIN_ROUTER_FRACTION / max(1, routers)
        if len(self._asked_samples) < 2 or not demand:
            return 1.0 / max(1, routers)
        grown = self._asked_samples[-1][1] - self._asked_samples[0][1]
        return min(1.0, max(least, grown / self.window_s / demand))

    def adapt(self, has_headroom: bool, is_overloaded: bool) -> None:
        """Follow what the engines give while the pool is contended."""
        if is_overloaded:
            self.factor = max(MIN_FACTOR, self.factor * (1 - FACTOR_DECREASE))
        elif has_headroom and (self.is_contended() or self.factor < 1):
            self.factor = min(MAX_FACTOR, self.factor * (1 + FACTOR_INCREASE))
