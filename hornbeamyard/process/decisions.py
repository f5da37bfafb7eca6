"""Structured log lines: one JSON object for each decision.

Each kind of line has a rate limit. Dropped lines are counted, and the next
line of the kind reports their number.
"""

from __future__ import annotations

import json
from collections import Counter

from .logs import LineWriter
from .timers import Timers

# Rate limits by kind of line. Refusals and failures are what operators search
# for, so they have the highest limits.
DEFAULT_LINES_PER_S = 20.0
LINES_PER_S = {
    "refused": 60.0,
    "failed": 60.0,
    "retried": 30.0,
    "throughput": 1.0,
}
# A burst may have as many lines as the rate limit allows in this time.
BURST_S = 3.0


class _TokenBucket:
    __slots__ = ("dropped", "rate", "refilled_at", "tokens")

    def __init__(self, rate: float, now: float) -> None:
        self.dropped = 0
        self.refilled_at = now
        self.rate = rate
        self.tokens = rate * BURST_S

    def take(self, now: float) -> bool:
        refill = self.rate * (now - self.refilled_at)
        self.tokens = min(self.tokens + refill, self.rate * BURST_S)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.dropped += 1
            return False
        self.tokens -= 1.0
        return True


class DecisionLog:
    """Writes decisions as lines of JSON, at a bounded rate.

    Parameters
    ----------
    timers : Timers
    host : str
        Host name in each line.
    writer : LineWriter

    Attributes
    ----------
    counts : Counter
        Decisions by kind, including those whose lines were dropped.
    dropped : int
        Number of dropped lines.
    """

    def __init__(self, timers: Timers, host: str, writer: LineWriter) -> None:
        self._host = host
        self._buckets: dict[str, _TokenBucket] = {}
        self._timers = timers
        self._writer = writer
        self.counts: Counter[str] = Counter()
        self.dropped = 0

    def note(self, kind: str, **inputs: object) -> None:
        """Log a decision.

        Parameters
        ----------
        kind : str
            Kind of the decision, written as the key `event`.
        **inputs
            Further keys of the line: what the decision is based on, with age
            or version, and its outcome.
        """
        self.counts[kind] += 1
        now = self._timers.now()
        bucket = self._buckets.get(kind)
        if bucket is None:
            bucket = _TokenBucket(
                LINES_PER_S.get(kind, DEFAULT_LINES_PER_S), now
            )
            self._buckets[kind] = bucket
        if not bucket.take(now):
            self.dropped += 1
            return
        line: dict[str, object] = {
            "time_ms": self._timers.wall_ms(),
            "host": self._host,
            "event": kind,
            **inputs,
        }
        if bucket.dropped:
            line["left_out"] = bucket.dropped
        if self._writer.write(json.dumps(line, default=str)):
            bucket.dropped = 0
            return
        self.dropped += 1
        bucket.dropped += 1
