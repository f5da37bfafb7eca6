"""The retry budget of a router, and the pause before a retry."""

from __future__ import annotations

import random
from collections import deque

# Part of the requests that may be retried, so that retries add at most 10%
# of load when every upstream fails.
RETRY_FRACTION = 0.1
# Retries allowed beyond the share. Without them a router with little load
# could not retry its first failed request.
INITIAL_RETRIES = 5.0
# Unused budget that is kept; more would let a burst of retries through
# after a long time without failures.
MAX_SAVED_RETRIES = 50.0
INITIAL_BACKOFF_S = 0.025
MAX_BACKOFF_S = 1.0
# Part of a fleet-wide budget that routers use. The rest covers routers that
# the count of routers doesn't hold yet, and windows that don't match.
SAFETY_FRACTION = 0.6


class RetryBudget:
    """Limits retries to a share of the requests.

    Of *n* requests, at most `RETRY_SHARE * n + RESERVE` are retried.
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = INITIAL_RETRIES

    def record_request(self) -> None:
        """Count a request that is not a retry."""
        self._tokens = min(self._tokens + RETRY_FRACTION, MAX_SAVED_RETRIES)

    def take(self) -> bool:
        """Return whether a retry is allowed, and count it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def compute_backoff(attempts: int) -> float:
    """Return the pause after a number of failed attempts, in seconds.

    The pause is drawn from zero to a bound that doubles with each attempt,
    so that the retries of many requests don't arrive together.
    """
    bound = INITIAL_BACKOFF_S * 2.0 ** (attempts - 1)
    return random.uniform(0.0, min(bound, MAX_BACKOFF_S))


class WindowRetryBudget:
    """Limits repeats at a pool over a sliding window, for the whole fleet.

    The fleet may send a part of the pool's requests once more, and a fixed
    number beyond. Every router keeps to its own part of both, so that the
    bound holds without a message for each repeat.

    Parameters
    ----------
    fraction : float
        Part of the requests that the whole fleet may repeat.
    reserve : float
        Repeats that the whole fleet may send beyond the share in a window.
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
        """Count a request that is not a repeat."""
        self._requests.append(now)

    def take(self, now: float, routers: int) -> bool:
        """Return whether a request may be sent once more, and count it.

        Parameters
        ----------
        now : float
        routers : int
            Routers that share the reserve.
        """
        for times in (self._retries, self._requests):
            while times and now - times[0] > self._window_s:
                times.popleft()
        allowed = SAFETY_FRACTION * (
            self._fraction * len(self._requests)
            + self._reserve / max(1, routers)
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True
