"""Fair shares of a pool's throughput between client accounts.

Each account may use what it asks for, up to a level that is the same for
all accounts above it (max-min fairness). Every router computes the level
from the same sums and admits its own part of each account's share, so that
no request needs a message.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from .usage import WINDOW_S, AccountUse

# The pool counts as contended when the demand is above this share of the
# throughput. Below it, shares limit nobody.
CONTENDED_SHARE = 0.9
# Share that an account saves up while it asks for less, as a time. It lets
# single large requests through and covers the delay of the sums.
SAVED_S = 1.0
# Factors of the throughput that a router believes in. The configured figure
# counts tokens that engines hold already, so more of them may pass.
LEAST_FACTOR = 0.6
MOST_FACTOR = 3.0
RISE = 0.03
FALL = 0.06


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
class _Bucket:
    tokens: float = 0.0
    rate: float = float("inf")
    filled_at: float = 0.0


@dataclass(slots=True)
class Shares:
    """The shares of accounts at one router, for all engine pools together.

    Attributes
    ----------
    throughput : float
        Tokens a second of all engines, as configured; 0 when unknown.
    factor : float
        Part of it that the engines are found to give.
    level : float
        Tokens a second up to which accounts get what they ask for.
    """

    throughput: float = 0.0
    factor: float = 1.0
    level: float = float("inf")
    _buckets: dict[str, _Bucket] = field(default_factory=dict)
    _asked: deque[tuple[float, str, int]] = field(default_factory=deque)
    own: dict[str, AccountUse] = field(default_factory=dict)

    def is_contended(self) -> bool:
        """Return whether accounts ask for more than the engines give."""
        return self.level != float("inf")

    def note_asked(self, account: str, size: int, now: float) -> None:
        """Count a request that has come."""
        self._asked.append((now, account, size))
        self.own.setdefault(account, AccountUse()).asked += size

    def note_admitted(self, account: str, size: int, now: float) -> None:
        """Count a request that is sent, against the account's share."""
        self.own.setdefault(account, AccountUse()).admitted += size
        bucket = self._buckets.get(account)
        if bucket is not None and bucket.rate != float("inf"):
            self._fill(bucket, now)
            bucket.tokens -= size

    def has_share(self, account: str, now: float) -> bool:
        """Return whether an account may have a request admitted now."""
        bucket = self._buckets.get(account)
        if bucket is None or bucket.rate == float("inf"):
            return True
        self._fill(bucket, now)
        return bucket.tokens > 0

    def compute_wait(self, account: str, now: float) -> float:
        """Return the seconds until an account has a share again."""
        bucket = self._buckets.get(account)
        if bucket is None or bucket.rate == float("inf"):
            return 0.0
        self._fill(bucket, now)
        if bucket.tokens > 0:
            return 0.0
        return -bucket.tokens / max(bucket.rate, 1.0)

    def take_sums(
        self, accounts: Mapping[str, AccountUse], now: float
    ) -> None:
        """Compute the shares from the fleet's sums."""
        demands = {
            name: use.asked / WINDOW_S for name, use in accounts.items()
        }
        throughput = self.throughput * self.factor * CONTENDED_SHARE
        if not self.throughput:
            self.level = float("inf")
            return
        self.level = compute_level(demands, throughput)
        own_rates = self._compute_own_rates(now)
        for name in {*self._buckets, *demands}:
            bucket = self._buckets.setdefault(name, _Bucket(0.0))
            self._fill(bucket, now)
            demand = demands.get(name, 0.0)
            if self.level == float("inf") or demand <= self.level:
                bucket.rate = float("inf")
                continue
            part = min(1.0, own_rates.get(name, 0.0) / demand)
            rate = self.level * part
            if bucket.rate == float("inf"):
                bucket.tokens = rate * SAVED_S
            bucket.rate = rate
            bucket.tokens = min(bucket.tokens, rate * SAVED_S)

    def adapt(self, is_idle: bool, is_crowded: bool) -> None:
        """Follow what the engines give while the pool is contended."""
        if is_crowded:
            self.factor = max(LEAST_FACTOR, self.factor * (1 - FALL))
        elif is_idle and self.is_contended():
            self.factor = min(MOST_FACTOR, self.factor * (1 + RISE))

    def _compute_own_rates(self, now: float) -> dict[str, float]:
        """Return what accounts asked for here, in tokens a second."""
        while self._asked and now - self._asked[0][0] > WINDOW_S:
            self._asked.popleft()
        rates: dict[str, float] = {}
        for _, name, size in self._asked:
            rates[name] = rates.get(name, 0.0) + size / WINDOW_S
        return rates

    def _fill(self, bucket: _Bucket, now: float) -> None:
        if bucket.rate != float("inf"):
            earned = bucket.rate * (now - bucket.filled_at)
            most = bucket.rate * SAVED_S
            bucket.tokens = min(bucket.tokens + earned, most)
        bucket.filled_at = now
