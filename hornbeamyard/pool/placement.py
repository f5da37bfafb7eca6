"""Placement of accounts' slots on routers."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from . import options
from .allocation import Demand


@dataclass(slots=True)
class Place:
    """What placement knows of one router.

    Attributes
    ----------
    demands : mapping of str to Demand
        What the router reported for each account.
    previous : mapping of str to int
        Limits that the router has.
    held : int
        Slots that the router holds.
    priority : set of str
        Accounts whose waiting priority requests get slots here.
    """

    demands: Mapping[str, Demand]
    previous: Mapping[str, int]
    held: int
    priority: set[str] = field(default_factory=set)


def place_slots(
    entitled: Mapping[str, int], places: Mapping[str, Place]
) -> dict[str, dict[str, int]]:
    """Divide each account's slots between the routers.

    Limits change as little as possible. Slots are taken from where another
    account waits for them and given to where they are free, so that few
    slots move between routers.

    Parameters
    ----------
    entitled : mapping of str to int
        Slots of each account.
    places : mapping of str to Place
        All routers.

    Returns
    -------
    dict of str to dict of str to int
        For each router the limits of accounts.
    """
    limits = {name: _keep_limits(place) for name, place in places.items()}
    grow = dict(entitled)
    for of_router in limits.values():
        for account, count in of_router.items():
            grow[account] = grow.get(account, 0) - count
    _shrink_limits(limits, grow, places)
    surplus = {
        name: place.held - sum(limits[name].values())
        for name, place in places.items()
    }
    for account, count in grow.items():
        if count > 0:
            _grow_limits(account, count, limits, surplus, places)
    return limits


def _keep_limits(place: Place) -> dict[str, int]:
    """Return the router's limits as far as its demand still uses them."""
    kept = {}
    for account, demand in place.demands.items():
        count = demand.waiting + demand.running
        if count == 0:
            continue
        limit = min(place.previous.get(account, 0), count)
        if account in place.priority and demand.waiting_priority:
            limit = max(limit, demand.running + demand.waiting_priority)
        kept[account] = limit
    return kept


def _shrink_limits(
    limits: Mapping[str, dict[str, int]],
    grow: Mapping[str, int],
    places: Mapping[str, Place],
) -> None:
    shrinking = [account for account, count in grow.items() if count < 0]
    if not shrinking:
        return
    wanted = {
        name: sum(
            min(grow.get(account, 0), demand.waiting)
            for account, demand in place.demands.items()
            if demand.waiting and grow.get(account, 0) > 0
        )
        for name, place in places.items()
    }
    for account in shrinking:

        def compute_key(name: str, account: str = account) -> tuple[int, int]:
            return (-min(max(wanted[name], 0), 1), -limits[name][account])

        names = [n for n in limits if limits[n].get(account, 0) > 0]

        def take(name: str, account: str = account) -> bool:
            limits[name][account] -= 1
            wanted[name] -= 1
            return limits[name][account] > 0

        _move(names, -grow[account], compute_key, take)


def _grow_limits(
    account: str,
    count: int,
    limits: Mapping[str, dict[str, int]],
    surplus: dict[str, int],
    places: Mapping[str, Place],
) -> None:
    unmet = {
        name: demand.waiting + demand.running - limits[name].get(account, 0)
        for name, place in places.items()
        if (demand := place.demands.get(account)) is not None
    }

    def compute_key(name: str) -> tuple[int, int]:
        return (-min(surplus[name], 1), -unmet[name])

    def give(name: str) -> bool:
        limits[name][account] = limits[name].get(account, 0) + 1
        unmet[name] -= 1
        surplus[name] -= 1
        return unmet[name] > 0

    _move([n for n in unmet if unmet[n] > 0], count, compute_key, give)


def _move(
    names: list[str],
    count: int,
    compute_key: Callable[[str], tuple[int, int]],
    move: Callable[[str], bool],
) -> None:
    """Call `move` `count` times, each time for the lowest key."""
    heap = [(compute_key(name), name) for name in names]
    heapq.heapify(heap)
    for _ in range(count):
        if not heap:
            return
        _, name = heapq.heappop(heap)
        if move(name):
            heapq.heappush(heap, (compute_key(name), name))


def spread_idle_slots(
    usage: Mapping[str, float], total: int
) -> dict[str, int]:
    """Return the slots each router may keep idle without contention.

    It follows from the mean use, because a hold that follows each moment
    makes routers return slots that they ask for again at once. Most idle
    slots stay with the controller for routers that run out.

    Parameters
    ----------
    usage : mapping of str to float
        Mean number of slots that each router uses.
    total : int
        Slots of the pool.
    """
    if not usage:
        return {}
    idle = max(0.0, total - sum(usage.values()))
    spare = idle / options.RESERVE_DIVISOR / len(usage)
    return {name: math.floor(used + spare) for name, used in usage.items()}
