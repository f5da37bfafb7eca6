"""The retry budget of a router, and the pause before a retry."""

from __future__ import annotations

import random

# Part of the requests that may be retried, so that retries add at most 10%
# of load when every upstream fails.
RETRY_SHARE = 0.1
# Retries allowed beyond the share. Without them a router with little load
# could not retry its first failed request.
RESERVE = 5.0
# Unused budget that is kept; more would let a burst of retries through
# after a long time without failures.
LARGEST_SAVING = 50.0
SHORTEST_PAUSE_S = 0.025
LONGEST_PAUSE_S = 1.0


class RetryBudget:
    """Limits retries to a share of the requests.

    Of *n* requests, at most `RETRY_SHARE * n + RESERVE` are retried.
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = RESERVE

    def note_request(self) -> None:
        """Count a request that is not a retry."""
        self._tokens = min(self._tokens + RETRY_SHARE, LARGEST_SAVING)

    def take(self) -> bool:
        """Return whether a retry is allowed, and count it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def compute_pause(attempts: int) -> float:
    """Return the pause after a number of failed attempts, in seconds.

    The pause is drawn from zero to a bound that doubles with each attempt,
    so that the retries of many requests don't arrive together.
    """
    bound = SHORTEST_PAUSE_S * 2.0 ** (attempts - 1)
    return random.uniform(0.0, min(bound, LONGEST_PAUSE_S))
