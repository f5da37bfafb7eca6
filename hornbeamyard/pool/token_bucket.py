"""Token buckets of accounts and of the spare throughput, at one router."""

from __future__ import annotations

from dataclasses import dataclass

# What is remembered of an account's lead and of its debt, as multiples of its
# bucket's capacity. The capacity is the share of half of the span over which
# shares are assessed.
REMEMBERED_CAPACITIES = 2.0
# Fraction of its bucket that an account above its share keeps for requests
# that come for the first time; callers that retry can't use it.
CALLER_RETRY_RESERVE_FRACTION = 0.5
# Maximum time for which a bucket is refilled at once.
MAX_REFILL_S = 1.0


@dataclass(slots=True)
class TokenBucket:
    """Tokens that may be admitted.

    Attributes
    ----------
    tokens : float
        Negative after a request that was larger than what was left.
    rate : float
        Tokens a second.
    capacity : float
        Maximum of `tokens`.
    refilled_at : float
        Monotonic time in seconds.
    """

    tokens: float = 0.0
    rate: float = 0.0
    capacity: float = 0.0
    refilled_at: float = 0.0

    def refill(self, now: float) -> None:
        """Add the tokens since the last refill."""
        elapsed_s = min(max(0.0, now - self.refilled_at), MAX_REFILL_S)
        self.tokens = min(self.tokens + self.rate * elapsed_s, self.capacity)
        self.refilled_at = now


@dataclass(slots=True)
class AccountBucket(TokenBucket):
    """What an account may be admitted of the whole fleet's throughput.

    Attributes
    ----------
    fleet_admitted, own_reported : int
        Tokens admitted as of the last fleet usage: by the whole fleet, and
        by this router according to its last report.
    uncharged : float
        Use by other routers that is still to be subtracted. It is negative
        while the two counters, which are of slightly different times, show
        more use by this router than by the fleet.
    is_above_share : bool
        Whether the account asks for more than its share.
    demand : float
        Tokens a second that the account asks the whole fleet for.
    fraction : float
        This router's fraction of the account's requests.
    own_used : float
        Tokens admitted by this router since the last fleet usage.
    threshold : float
        Fraction of a request's size that has to be left of this router's part
        for the request to be admitted. It is drawn anew with each fleet usage,
        so that many routers with small parts together admit what is left
        instead of one request each.
    """

    fleet_admitted: int = 0
    own_reported: int = 0
    uncharged: float = 0.0
    is_above_share: bool = False
    demand: float = 0.0
    fraction: float = 1.0
    own_used: float = 0.0
    threshold: float = 0.0

    def compute_reserve(
        self, is_caller_retry: bool, continues_stream: bool
    ) -> float:
        """Return the tokens that a request leaves to more urgent ones."""
        if continues_stream:
            return -self.capacity
        if is_caller_retry:
            return CALLER_RETRY_RESERVE_FRACTION * self.capacity
        return 0.0

    def covers(self, tokens: float, size: int) -> bool:
        """Return whether this router's part of tokens admits a request.

        Parameters
        ----------
        tokens : float
            Tokens that all routers may still admit, after what this router
            has admitted since the last fleet usage.
        size : int
            Tokens of the request.
        """
        part = self.fraction * (tokens + self.own_used) - self.own_used
        return part > (1 - self.fraction) * self.threshold * size

    def bound_debt(self) -> None:
        """Forget what exceeds the debt that is remembered."""
        self.tokens = max(self.tokens, -REMEMBERED_CAPACITIES * self.capacity)

    def assume_others(self) -> float:
        """Subtract what other routers are assumed to have used meanwhile.

        It isn't charged again once their use is known.

        Returns
        -------
        float
            The tokens that others are assumed to have used.
        """
        used = self.own_used * (1 / self.fraction - 1)
        self.tokens -= used
        self.bound_debt()
        self.uncharged -= used
        self.own_used = 0.0
        return used

    def reset_counters(self, total: int, own: int) -> None:
        """Continue from the counters of a new source of fleet usage."""
        self.fleet_admitted = total
        self.own_reported = own
        self.uncharged = 0.0

    def charge_others(self, total: int, own: int) -> float:
        """Subtract what other routers have used since the last call.

        Parameters
        ----------
        total : int
            Tokens admitted by the whole fleet.
        own : int
            Tokens admitted by this router, as of its last report.

        Returns
        -------
        float
            The tokens that were subtracted.
        """
        charged = 0.0
        if total >= self.fleet_admitted:
            used = total - self.fleet_admitted - (own - self.own_reported)
            self.uncharged += used
            charged = max(0.0, self.uncharged)
            self.uncharged = max(
                self.uncharged - charged,
                -REMEMBERED_CAPACITIES * self.capacity,
            )
            self.tokens -= charged
        self.fleet_admitted = total
        self.own_reported = own
        return charged
