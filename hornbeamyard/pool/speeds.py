"""Speeds of a pool's engines, measured by all routers together.

The throughput that a routing document names says little about the time to
the first event: it includes generated tokens, and leaves out the fixed time
that an engine needs for any request. A forecast that is too slow refuses
requests that would be in time, and one that is too fast fills the engines'
queues. A single router sees too few responses of each engine to measure it, so
routers report sums and the lead controller returns one factor an engine.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median

# Bounds and initial value of the time to the first event in an idle engine,
# without the prefill, in ms.
MIN_OVERHEAD_MS = 5.0
MAX_OVERHEAD_MS = 200.0
INITIAL_OVERHEAD_MS = 20.0
# Bounds of the time to prefill a token, as multiples of the one that the
# configured throughput implies. Decoding, which that throughput includes,
# takes up to nine tenths of an engine's time.
MIN_PREFILL_FACTOR = 0.1
MAX_PREFILL_FACTOR = 6.0
# Steps of both estimates for one response: ms, and a fraction of the prefill
# time. At fifteen responses a second, a wrong initial value is corrected
# within about three seconds.
OVERHEAD_STEP_MS = 2.0
PREFILL_STEP = 0.05
# Prompt size in tokens at which a response moves the prefill time by a whole
# step; smaller ones say less about it.
REFERENCE_TOKENS = 2000
MAX_STEP_FACTOR = 2.0
# Weight of the fleet's estimate in a router's own, per update.
FLEET_WEIGHT = 0.2
# Number of responses from which a router trusts its own estimate.
MIN_RESPONSES = 20
# Time after which a sum of measured times counts half. Other processes on an
# engine's host slow it down for about as long.
HALF_LIFE_S = 2.0
# Expected time in ms that is added to both sums of an engine, so that a few
# responses don't move its factor far.
PRIOR_MS = 200.0
# Bounds of an engine's factor. Engines of one pool are of the same kind.
MIN_FACTOR = 0.4
MAX_FACTOR = 4.0


@dataclass(slots=True)
class TimeSums:
    """Sums over responses of one engine.

    Attributes
    ----------
    measured_ms : float
        Times to the first event without the fixed part.
    expected_ms : float
        The same as forecast for an engine of the pool's usual speed.
    """

    measured_ms: float = 0.0
    expected_ms: float = 0.0

    def add(self, other: TimeSums) -> None:
        """Add other sums."""
        self.measured_ms += other.measured_ms
        self.expected_ms += other.expected_ms

    def decay(self, elapsed_s: float) -> None:
        """Reduce the weight of what was added before."""
        factor = 0.5 ** (max(0.0, elapsed_s) / HALF_LIFE_S)
        self.measured_ms *= factor
        self.expected_ms *= factor


@dataclass(slots=True, frozen=True)
class PoolSpeed:
    """What engines of a pool's usual speed need for a request.

    Attributes
    ----------
    overhead_ms : float
        Time to the first event in an idle engine, without the prefill.
    prefill_ms_per_token : float
    responses : int
        Number of responses that the estimate rests on.
    """

    overhead_ms: float
    prefill_ms_per_token: float
    responses: int = 0


class SpeedEstimate:
    """A router's estimate of the usual speed of a pool's engines.

    It is a median regression of the time to the first event on the tokens
    ahead, one step per response: long waits that the forecast doesn't know
    of move it no further than short ones.

    Parameters
    ----------
    prefill_ms_per_token : float
        The prefill time that the configured throughput implies.
    """

    __slots__ = ("_expected_ms", "_sums", "speed")

    def __init__(self, prefill_ms_per_token: float) -> None:
        self._expected_ms = prefill_ms_per_token
        self._sums: dict[str, TimeSums] = {}
        self.speed = PoolSpeed(INITIAL_OVERHEAD_MS, prefill_ms_per_token)

    def record(
        self, engine: str, factor: float, tokens: float, elapsed_ms: float
    ) -> None:
        """Record the time to a first event.

        Parameters
        ----------
        engine : str
            Id of the upstream.
        factor : float
            The engine's known time for the same work, relative to the pool's
            usual one.
        tokens : float
            Tokens that the engine was to prefill until then, as forecast.
        elapsed_ms : float
            Time since the request was sent.
        """
        speed = self.speed
        work_ms = speed.prefill_ms_per_token * tokens
        sums = self._sums.setdefault(engine, TimeSums())
        sums.measured_ms += min(
            max(0.0, elapsed_ms - speed.overhead_ms),
            work_ms * MAX_FACTOR + PRIOR_MS,
        )
        sums.expected_ms += work_ms
        sign = 1.0
        if elapsed_ms < speed.overhead_ms + work_ms * factor:
            sign = -1.0
        weight = min(tokens / REFERENCE_TOKENS, MAX_STEP_FACTOR)
        self._set(
            speed.overhead_ms + sign * OVERHEAD_STEP_MS / (1.0 + weight),
            speed.prefill_ms_per_token * (1.0 + sign * PREFILL_STEP * weight),
            speed.responses + 1,
        )

    def apply_fleet(self, fleet: PoolSpeed) -> None:
        """Move towards the fleet's estimate, or take it over at the start."""
        if fleet.responses < MIN_RESPONSES:
            return
        own = self.speed
        weight = 1.0 if own.responses < MIN_RESPONSES else FLEET_WEIGHT
        self._set(
            own.overhead_ms + weight * (fleet.overhead_ms - own.overhead_ms),
            own.prefill_ms_per_token
            + weight * (fleet.prefill_ms_per_token - own.prefill_ms_per_token),
            own.responses,
        )

    def collect(self) -> dict[str, TimeSums]:
        """Return the sums since the last call, by engine."""
        sums = self._sums
        self._sums = {}
        return sums

    def _set(
        self, overhead_ms: float, prefill_ms: float, responses: int
    ) -> None:
        lowest = self._expected_ms * MIN_PREFILL_FACTOR
        highest = self._expected_ms * MAX_PREFILL_FACTOR
        self.speed = PoolSpeed(
            min(max(overhead_ms, MIN_OVERHEAD_MS), MAX_OVERHEAD_MS),
            min(max(prefill_ms, lowest), highest),
            responses,
        )


@dataclass(slots=True)
class _EngineSums:
    pool: str
    sums: TimeSums
    updated_at: float


@dataclass(slots=True)
class FleetSpeeds:
    """Speeds that the lead controller computes from the routers' reports.

    It keeps nothing that has to survive: a new leader has the factors again
    after a few seconds of reports.
    """

    _engines: dict[str, _EngineSums] = field(default_factory=dict)

    def record(
        self, pool: str, sums: Mapping[str, TimeSums], now: float
    ) -> None:
        """Add a router's sums, by id of the upstream."""
        for id, added in sums.items():
            known = self._engines.get(id)
            if known is None or known.pool != pool:
                known = _EngineSums(pool, TimeSums(), now)
                self._engines[id] = known
            known.sums.decay(now - known.updated_at)
            known.sums.add(added)
            known.updated_at = now

    def compute_factors(self, now: float) -> dict[str, float]:
        """Return each engine's time for the same work, 1 for the usual one.

        Engines without a recent response are forgotten.
        """
        by_pool: dict[str, dict[str, float]] = {}
        for id, engine in list(self._engines.items()):
            engine.sums.decay(now - engine.updated_at)
            engine.updated_at = now
            if engine.sums.expected_ms < PRIOR_MS / 100:
                del self._engines[id]
                continue
            ratio = (engine.sums.measured_ms + PRIOR_MS) / (
                engine.sums.expected_ms + PRIOR_MS
            )
            by_pool.setdefault(engine.pool, {})[id] = ratio
        factors = {}
        for ratios in by_pool.values():
            usual = median(ratios.values())
            for id, ratio in ratios.items():
                factors[id] = min(max(ratio / usual, MIN_FACTOR), MAX_FACTOR)
        return factors


def average_speeds(
    reports: Iterable[Mapping[str, PoolSpeed]],
) -> dict[str, PoolSpeed]:
    """Return the mean of routers' estimates by pool, weighted by responses.

    A router's weight is bounded, so that the longest-running ones don't
    outweigh all others.
    """
    sums: dict[str, list[float]] = {}
    for report in reports:
        for pool, speed in report.items():
            weight = float(min(speed.responses, 10 * MIN_RESPONSES))
            total = sums.setdefault(pool, [0.0, 0.0, 0.0])
            total[0] += weight * speed.overhead_ms
            total[1] += weight * speed.prefill_ms_per_token
            total[2] += weight
    return {
        pool: PoolSpeed(overhead / weight, prefill / weight, round(weight))
        for pool, (overhead, prefill, weight) in sums.items()
        if weight > 0
    }
