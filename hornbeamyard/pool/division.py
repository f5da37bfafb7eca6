"""Division of a pool's slots between client accounts."""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from dataclasses import dataclass

from . import constants

# Steps of the bisection for the level; the error is then below a hundredth of
# a slot.
_LEVEL_STEPS = 18


@dataclass(slots=True)
class Contender:
    """An account that competes for slots.

    Attributes
    ----------
    tag : float
        Normalised service in seconds.
    share : float
    demand : int
        Requests that wait or run.
    previous : float
        Slots that the last division entitled it to.
    is_short : bool
        Whether its requests are short.
    """

    tag: float
    share: float
    demand: int
    previous: float = 0.0
    is_short: bool = False


def divide_slots(
    contenders: Mapping[str, Contender], total: int, horizon_s: float
) -> dict[str, float]:
    """Return for each account the number of slots it is entitled to.

    Slots go one by one to the account with the lowest
    `tag + n * horizon_s / share`, where `n` counts the slots that it got, but
    no account gets more than its demand. This is computed by raising all
    accounts to one level (water-filling). Accounts with short requests get
    fractions of slots. Others get whole slots; those left by rounding down go
    to the lowest tags.

    Parameters
    ----------
    contenders : mapping of str to Contender
    total : int
        Slots of the pool.
    horizon_s : float
        Time in which an account that is behind in service catches up.
    """
    if not contenders:
        return {}
    level = _find_level(contenders, total, horizon_s)
    entitled = {
        name: _count_slots_at(contender, level, horizon_s)
        for name, contender in contenders.items()
    }
    whole = {n: c for n, c in contenders.items() if not c.is_short}
    whole_total = sum(entitled[name] for name in whole)
    for name in whole:
        entitled[name] = float(int(entitled[name]))
    _distribute_remainder(entitled, whole, round(whole_total), horizon_s)
    return entitled


def _count_slots_at(
    contender: Contender, level: float, horizon_s: float
) -> float:
    slots = (level - contender.tag) * contender.share / horizon_s
    return max(0.0, min(contender.demand, slots))


def _find_level(
    contenders: Mapping[str, Contender], total: int, horizon_s: float
) -> float:
    """Return a level at which at most `total` slots are taken."""
    values = contenders.values()
    low = min(c.tag for c in values)
    # At the upper end any single account would take all slots.
    high = max(c.tag for c in values)
    high += horizon_s * (total + 1) / min(c.share for c in values)
    for _ in range(_LEVEL_STEPS):
        middle = (low + high) / 2
        taken = 0.0
        for contender in values:
            taken += _count_slots_at(contender, middle, horizon_s)
        if taken > total:
            high = middle
        else:
            low = middle
    return low


def _distribute_remainder(
    entitled: dict[str, float],
    contenders: Mapping[str, Contender],
    total: int,
    horizon_s: float,
) -> None:
    """Give the slots left by rounding down to the lowest tags."""

    def compute_key(name: str) -> float:
        contender = contenders[name]
        key = contender.tag + entitled[name] * horizon_s / contender.share
        if entitled[name] < contender.previous:
            key -= constants.STICKINESS_S
        return key

    heap = [
        (compute_key(name), name)
        for name, contender in contenders.items()
        if entitled[name] < contender.demand
    ]
    heapq.heapify(heap)
    left = total - sum(entitled[name] for name in contenders)
    while left > 0 and heap:
        _, name = heapq.heappop(heap)
        entitled[name] += 1
        left -= 1
        if entitled[name] < contenders[name].demand:
            heapq.heappush(heap, (compute_key(name), name))
