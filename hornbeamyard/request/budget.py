"""Retry budgets of a router, and the backoff before a retry."""

from __future__ import annotations

import random
from collections import deque

# Fraction of the requests that may be retried. When every upstream fails,
# retries add at most this fraction to the load.
RETRY_FRACTION = 0.1
# Retries allowed beyond the fraction. Without them a router with little load
# could not retry its first failed request.
INITIAL_RETRIES = 5.0
# Upper bound of unused retries. A higher one would let a burst of retries
# through after a long time without failures.
MAX_SAVED_RETRIES = 50.0
INITIAL_BACKOFF_S = 0.025
MAX_BACKOFF_S = 1.0
# Fraction of a fleet-wide budget that the routers use together. The rest
# covers routers that aren't counted yet and windows that aren't aligned.
SAFETY_FRACTION = 0.6


class RetryBudget:
    """Limits retries to a fraction of the requests.

    Of *n* requests, at most `RETRY_FRACTION * n + INITIAL_RETRIES` are
    retried.
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = INITIAL_RETRIES

    def record_request(self) -> None:
        """Count a request that is not a retry."""
        self._tokens = min(self._tokens + RETRY_FRACTION, MAX_SAVED_RETRIES)

    def take(self) -> bool:
        """Return whether a retry is allowed; count it if so."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def compute_backoff(attempts: int) -> float:
    """Return the backoff after a number of failed attempts, in seconds.

    It is drawn at random between 0 and a bound that doubles with each
    attempt, so that the retries of many requests don't arrive together.
    """
    bound = INITIAL_BACKOFF_S * 2.0 ** (attempts - 1)
    return random.uniform(0.0, min(bound, MAX_BACKOFF_S))


class WindowRetryBudget:
    """Limits the retries of a fleet at a pool over a sliding window.

    The fleet may retry a fraction of the pool's requests, and a fixed number
    beyond. Each router limits itself to the fraction of its own requests and
    to an equal part of that number, so that the fleet keeps the limit
    without coordination.

    Parameters
    ----------
    fraction : float
        Fraction of the requests that the fleet may retry.
    reserve : float
        Retries that the fleet may send in a window beyond the fraction.
    window_s : float
    """

    __slots__ = ("_fraction", "_requests", "_reserve", "_retries", "_window_s")

    def __init__(
        self, fraction: float, reserve: float, window_s: float
    ) -> None:
        self._retries: deque[float] = deque()
        self._requests: deque[float] = deque()
        self._reserve = reserve
        self._fraction = fraction
        self._window_s = window_s

    def record_request(self, now: float) -> None:
        """Count a request that is not a retry, at the monotonic time `now`."""
        self._drop_expired(now)
        self._requests.append(now)

    def take(self, now: float, routers: int) -> bool:
        """Return whether a retry is allowed; count it if so.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        routers : int
            Routers that divide the reserve among them.
        """
        self._drop_expired(now)
        allowed = SAFETY_FRACTION * (
            self._fraction * len(self._requests)
            + self._reserve / max(1, routers)
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def is_unused(self, now: float) -> bool:
        """Return whether nothing was counted within the window."""
        self._drop_expired(now)
        return not self._requests and not self._retries

    def _drop_expired(self, now: float) -> None:
        for times in (self._retries, self._requests):
            while times and now - times[0] > self._window_s:
                times.popleft()
