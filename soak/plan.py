"""What some seeds add to a run: an evacuation, cold upstreams, crowds."""

from __future__ import annotations

import random
from dataclasses import dataclass

# Fraction of the seeds with each addition.
FRACTION = 0.5
# Requests a second that a cold upstream takes, and how long it is cold.
COLD_RATES = (3.0, 8.0)
COLD_START_S = (2.0, 5.0)


@dataclass(slots=True, frozen=True)
class Plan:
    """The additions of one run.

    Attributes
    ----------
    evacuates : bool
        Whether half of the upstreams are in a zone that is evacuated.
    has_crowds : bool
        Whether crowds are at routers and controllers.
    cold_rate : float
        Requests a second for a cold upstream; 0 if none is ever cold.
    cold_start_s : float
        How long an upstream is cold after a start, in seconds.
    """

    evacuates: bool = False
    has_crowds: bool = False
    cold_rate: float = 0.0
    cold_start_s: float = 0.0


NO_ADDITIONS = Plan()


def draw_plan(seed: int) -> Plan:
    """Return the additions of a seed, which leave its faults the same."""
    rng = random.Random(f"plan {seed}")
    evacuates, is_cold, has_crowds = (rng.random() < FRACTION for _ in "123")
    rate = round(rng.uniform(*COLD_RATES), 1)
    start_s = round(rng.uniform(*COLD_START_S), 1)
    return Plan(evacuates, has_crowds, is_cold * rate, is_cold * start_s)
