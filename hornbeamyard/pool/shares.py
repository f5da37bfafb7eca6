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

from .usage import WINDOW_S, AccountUse

# Unused throughput that the pool keeps for accounts above their share, as a
# time. More would let a burst through that slows down all running requests.
SPARE_SAVED_S = 0.3
# Longest debt of the pool, as a time. What was admitted before it was
# contended is no debt of those who ask now.
SPARE_DEBT_S = 1.0
# Lead that an account may take with what others leave, as a part of the
# longest savings. Without a bound the account that asks most often gets all.
LEAD_PART = 0.25
# Part of its savings that an account which asks for more than its share keeps
# for requests that come for the first time.
RETURNED_PART = 0.5
# Bounds and steps of what the engines are found to give, as a multiple of
# the configured throughput. They give more, as they hold part of the prompts
# already, and shares limit nobody as long as it is enough. It rises within two
# seconds, as after a restart engines have read nothing and seem slow.
LEAST_FACTOR = 0.7
MOST_FACTOR = 1.8
FIRST_FACTOR = 1.4
RISE = 0.08
FALL = 0.05
# Part of an even division that a router gets at least, so that callers who
# come to another router are served before the next sums.
LEAST_PART = 0.3
# Longest time between two sums that counts as earned.
LONGEST_STEP_S = 1.0


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
class _Credit:
    """Tokens that may still be used, of an account or of the pool.

    Attributes
    ----------
    tokens : float
        Negative after a request that was larger than the rest.
    rate : float
        Tokens earned in a second.
    most : float
        Tokens that are kept at most.
    filled_at : float
    total_seen, own_seen : int
        Counters at the last sums: of the fleet, and what this router had
        reported of its own.
    carry : float
        Use by others that the counters, which are of slightly different
        times, show too early.
    is_over : bool
        Whether the account asks for more than its share.
    """

    tokens: float = 0.0
    rate: float = 0.0
    most: float = 0.0
    filled_at: float = 0.0
    total_seen: int = 0
    own_seen: int = 0
    carry: float = 0.0
    is_over: bool = False

    def fill(self, now: float) -> None:
        """Add what was earned."""
        elapsed_s = min(max(0.0, now - self.filled_at), LONGEST_STEP_S)
        self.tokens = min(self.tokens + self.rate * elapsed_s, self.most)
        self.filled_at = now

    def refill(self, rate: float, now: float) -> None:
        """Add what was earned, and earn at another rate from now on."""
        self.fill(now)
        self.rate = rate
        self.most = rate * SPARE_SAVED_S
        self.tokens = max(self.tokens, -rate * SPARE_DEBT_S)

    def restart(self, total: int, own: int) -> None:
        """Take over the counters of another source."""
        self.total_seen = total
        self.own_seen = own
        self.carry = 0.0

    def take_others(self, total: int, own: int) -> None:
        """Subtract what other routers have used since the last sums."""
        if total >= self.total_seen:
            used = total - self.total_seen - (own - self.own_seen)
            self.carry += used
            if self.carry > 0:
                self.tokens -= self.carry
                self.carry = 0.0
        self.total_seen = total
        self.own_seen = own


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
    own : dict of str to AccountUse
        Counters of this router.
    """

    throughput: float = 0.0
    factor: float = FIRST_FACTOR
    window_s: float = WINDOW_S
    level: float = float("inf")
    own: dict[str, AccountUse] = field(default_factory=dict)
    _accounts: dict[str, _Credit] = field(default_factory=dict)
    _asked: deque[tuple[float, int]] = field(default_factory=deque)
    _reported: dict[str, int] = field(default_factory=dict)
    _spare: _Credit = field(default_factory=_Credit)
    _source: str = ""

    def is_contended(self) -> bool:
        """Return whether accounts ask for more than the engines give."""
        return self.level != float("inf")

    def note_asked(self, account: str, size: int) -> None:
        """Count a request that has come for the first time."""
        self.own.setdefault(account, AccountUse()).asked += size

    def note_admitted(self, account: str, size: int) -> None:
        """Count a request that is sent."""
        self.own.setdefault(account, AccountUse()).admitted += size
        self._spare.tokens -= size
        credit = self._accounts.get(account)
        if credit is not None:
            credit.tokens -= size

    def note_reported(self, now: float) -> None:
        """Take note that the counters are reported now."""
        asked = sum(use.asked for use in self.own.values())
        self._asked.append((now, asked))
        while len(self._asked) > 2 and now - self._asked[0][0] > self.window_s:
            self._asked.popleft()
        self._reported = {name: use.admitted for name, use in self.own.items()}

    def may_admit(self, account: str, returned: bool, now: float) -> bool:
        """Return whether a request of an account may be sent now.

        Parameters
        ----------
        account : str
        returned : bool
            Whether the caller comes back after a refusal. Its answer is late
            already, so an account that asks for more than its share rather
            spends it on requests that can still be in time.
        now : float
        """
        if not self.is_contended():
            return True
        credit = self._accounts.get(account)
        if credit is None:
            return True
        credit.fill(now)
        if not credit.is_over:
            # It may have begun to flood since the last sums.
            return credit.tokens > -credit.most
        least = RETURNED_PART * credit.most if returned else 0.0
        if credit.tokens > least:
            return True
        self._spare.fill(now)
        is_ahead = credit.tokens < -LEAD_PART * credit.most
        return self._spare.tokens > 0 and not is_ahead

    def describe(self, account: str, now: float) -> dict[str, object]:
        """Return what decides on an account, for log lines."""
        if not self.is_contended():
            return {"factor": round(self.factor, 2)}
        credit = self._accounts.get(account)
        return {
            "factor": round(self.factor, 2),
            "level": round(self.level),
            "credit": round(credit.tokens) if credit is not None else None,
            "spare": round(self._spare.tokens),
        }

    def compute_wait(self, account: str, now: float) -> float:
        """Return the seconds until an account has a share again."""
        if not self.is_contended():
            return 0.0
        credit = self._accounts.get(account)
        if credit is None or credit.rate <= 0:
            return 0.0
        credit.fill(now)
        return max(0.0, -credit.tokens / credit.rate)

    def take_sums(
        self,
        accounts: Mapping[str, AccountUse],
        routers: int,
        source: str,
        now: float,
    ) -> None:
        """Compute the shares from the fleet's sums.

        Parameters
        ----------
        accounts : mapping of str to AccountUse
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
        part = self._compute_part(sum(demands.values()), routers)
        self._spare.refill(rate * part, now)
        account_rate = min(self.level, rate)
        saved = account_rate * self.window_s
        for name, use in accounts.items():
            credit = self._accounts.get(name)
            if credit is None:
                credit = _Credit(tokens=saved, most=saved, filled_at=now)
                self._accounts[name] = credit
            credit.fill(now)
            credit.rate = account_rate
            credit.is_over = demands[name] > self.level
            credit.most = saved
            credit.tokens = min(credit.tokens, credit.most)
            credit.tokens = max(credit.tokens, -credit.most)
            reported = self._reported.get(name, 0)
            if is_new:
                credit.restart(use.admitted, reported)
            else:
                credit.take_others(use.admitted, reported)

    def _compute_part(self, demand: float, routers: int) -> float:
        """Return this router's part of the pool's throughput."""
        least = LEAST_PART / max(1, routers)
        if len(self._asked) < 2 or not demand:
            return 1.0 / max(1, routers)
        grown = self._asked[-1][1] - self._asked[0][1]
        return min(1.0, max(least, grown / self.window_s / demand))

    def adapt(self, is_idle: bool, is_crowded: bool) -> None:
        """Follow what the engines give while the pool is contended."""
        if is_crowded:
            self.factor = max(LEAST_FACTOR, self.factor * (1 - FALL))
        elif is_idle and (self.is_contended() or self.factor < 1):
            self.factor = min(MOST_FACTOR, self.factor * (1 + RISE))
