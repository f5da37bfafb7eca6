"""Admission of requests while the processor can't serve all of them."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ..process.timers import Timers

# The process is overloaded when the event loop is late by more than this in
# this many samples in a row. Single late samples are common on a busy host.
LATENESS_THRESHOLD_S = 0.05
LATE_SAMPLES = 3
SAMPLE_INTERVAL_S = 0.05
# Weight of the newest sample in the moving average of the admitted rate.
RATE_SMOOTHING = 0.1
# Factors on the rate limit per sample. It decreases faster than it increases,
# because requests that are admitted too early delay all others.
FAST_DECREASE_FACTOR = 0.85
DECREASE_FACTOR = 0.96
INCREASE_FACTOR = 1.01
# Requests per second.
MIN_RATE_LIMIT = 5.0
# The rate limit is lifted after this many consecutive samples without
# lateness and refusals.
CALM_SAMPLES = 20
# Samples without any activity of a caller after which sampling pauses.
QUIET_SAMPLES = 20
# Size of the token bucket, as time at the rate limit.
BURST_S = 0.1


class OverloadLimiter:
    """Limits the rate of requests to what the processor can serve.

    A late event loop shows that the process is overloaded. A token bucket
    then limits the rate of admitted requests, and its rate is adapted to the
    lateness. The number of requests in progress is no measure of load, as
    thousands of them may wait for slow upstreams at little cost.

    No samples are taken while no caller sends or waits for anything. They go
    on at the first byte, when the next one would have been taken.

    Attributes
    ----------
    is_busy : callable
        Returns whether a request is in progress.
    """

    __slots__ = (
        "_activity",
        "_admitted",
        "_admitted_rate",
        "_calm_samples",
        "_late_samples",
        "_lateness_s",
        "_quiet_samples",
        "_rate_limit",
        "_refused",
        "_timers",
        "_tokens",
        "is_busy",
    )

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        # Set by activity while sampling pauses.
        self._activity: anyio.Event | None = None
        self._quiet_samples = 0
        self.is_busy: Callable[[], bool] = _return_true
        self._admitted = 0
        self._calm_samples = 0
        self._late_samples = 0
        self._lateness_s = 0.0
        # Requests per second; None without overload.
        self._rate_limit: float | None = None
        self._admitted_rate = 0.0
        self._refused = 0
        self._tokens = 0.0

    def is_overloaded(self) -> bool:
        """Return whether the rate of requests is limited."""
        return self._rate_limit is not None

    def note_activity(self) -> None:
        """Take samples, as a caller has connected or sent something."""
        self._quiet_samples = 0
        if self._activity is not None:
            self._activity.set()

    def admit(self) -> bool:
        """Return whether a new request may be served, and count it."""
        self.note_activity()
        if self._rate_limit is not None:
            if self._tokens < 1.0:
                self._refused += 1
                return False
            self._tokens -= 1.0
        self._admitted += 1
        return True

    def add_sample(self, lateness_s: float, elapsed_s: float) -> None:
        """Adapt the rate limit to a sample of the event loop's lateness.

        Parameters
        ----------
        lateness_s, elapsed_s : float
            Lateness of the event loop, and time since the last sample, in
            seconds.
        """
        rate = self._admitted / elapsed_s
        self._admitted_rate += RATE_SMOOTHING * (rate - self._admitted_rate)
        is_late = lateness_s > LATENESS_THRESHOLD_S
        self._late_samples = self._late_samples + 1 if is_late else 0
        if self._rate_limit is not None:
            self._adjust(self._rate_limit, lateness_s)
        elif self._late_samples >= LATE_SAMPLES:
            self._rate_limit = max(
                self._admitted_rate * FAST_DECREASE_FACTOR, MIN_RATE_LIMIT
            )
            self._calm_samples = 0
        if self._rate_limit is not None:
            max_tokens = self._rate_limit * BURST_S + 1.0
            refill = self._rate_limit * elapsed_s
            self._tokens = min(self._tokens + refill, max_tokens)
        self._lateness_s = lateness_s
        self._admitted = self._refused = 0

    def _adjust(self, limit: float, lateness_s: float) -> None:
        is_decreasing = lateness_s < self._lateness_s
        if lateness_s <= LATENESS_THRESHOLD_S:
            factor = INCREASE_FACTOR
        elif is_decreasing:
            # The backlog of admitted requests shrinks at the current limit.
            factor = 1.0
        elif lateness_s > 2 * LATENESS_THRESHOLD_S:
            factor = FAST_DECREASE_FACTOR
        else:
            factor = DECREASE_FACTOR
        is_calm = factor == INCREASE_FACTOR and not self._refused
        self._calm_samples = self._calm_samples + 1 if is_calm else 0
        is_lifted = self._calm_samples >= CALM_SAMPLES
        self._rate_limit = (
            None if is_lifted else max(limit * factor, MIN_RATE_LIMIT)
        )

    async def run(self) -> None:
        """Sample the event loop's lateness until cancelled."""
        before = self._timers.now()
        while True:
            if self._is_quiet():
                before = await self._wait_activity(before)
            due = before + SAMPLE_INTERVAL_S
            await self._timers.sleep(due - self._timers.now())
            now = self._timers.now()
            self.add_sample(now - due, now - before)
            self._quiet_samples += 1
            before = now

    def _is_quiet(self) -> bool:
        if self._quiet_samples < QUIET_SAMPLES:
            return False
        if self._rate_limit is not None or self._late_samples:
            return False
        return not self.is_busy()

    async def _wait_activity(self, before: float) -> float:
        """Pause until there is activity.

        Parameters
        ----------
        before : float
            Time of the last sample, in seconds.

        Returns
        -------
        float
            When the last of the samples would have been taken that were left
            out, in seconds.
        """
        self._activity = anyio.Event()
        try:
            await self._activity.wait()
        finally:
            self._activity = None
        left_out = int((self._timers.now() - before) / SAMPLE_INTERVAL_S)
        self._admitted_rate *= (1.0 - RATE_SMOOTHING) ** left_out
        return before + left_out * SAMPLE_INTERVAL_S


def _return_true() -> bool:
    return True
