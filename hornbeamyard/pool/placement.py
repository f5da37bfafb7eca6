"""Placement of accounts' slots on routers."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from . import constants
from .allocation import AccountDemand

# Steps into which a slot is divided between routers.
_RATE_STEPS = 20


@dataclass(slots=True)
class RouterState:
    """What placement knows of one router.

    Attributes
    ----------
    demands : mapping of str to AccountDemand
        What the router reported for each account.
    previous : mapping of str to int
        Limits that the router has.
    held : int
        Slots that the router targets.
    target_slots : int
        Slots that the last plan gave to the router.
    offered : mapping of str to float
        For each account with short requests, the requests that were
        finished in a control interval and those that wait or run.
    priority : int
        Waiting priority requests that get slots beyond the limits.
    """

    demands: Mapping[str, AccountDemand]
    previous: Mapping[str, int]
    held: int
    target_slots: int = 0
    offered: Mapping[str, float] = field(default_factory=dict)
    priority: int = 0


@dataclass(slots=True)
class SlotPlacement:
    """Limits and slots of each router.

    Attributes
    ----------
    limits : dict of str to dict of str to int
        For each router the limits of accounts.
    target_slots : dict of str to int
        For each router the slots that it should hold.
    rates : dict of str to dict of str to float
        For each router the mean slots of accounts with short requests.
    """

    limits: dict[str, dict[str, int]]
    target_slots: dict[str, int]
    rates: dict[str, dict[str, float]]


def place_slots(
    entitled: Mapping[str, float],
    routers: Mapping[str, RouterState],
    short: set[str],
) -> SlotPlacement:
    """Divide each account's slots between the routers.

    Limits change as little as possible. Slots are taken from where another
    account waits for them and given to where they are free, so that few
    slots move between routers. Accounts with short requests are divided in
    proportion to the requests offered instead: their queues of one moment
    are gone in the next.

    Parameters
    ----------
    entitled : mapping of str to float
        Slots of each account; whole ones unless its requests are short.
    routers : mapping of str to RouterState
        All routers.
    short : set of str
        Accounts with short requests.
    """
    limits = {
        name: _keep_limits(place, short) for name, place in routers.items()
    }
    grow = {
        name: int(slots)
        for name, slots in entitled.items()
        if name not in short
    }
    for of_router in limits.values():
        for account, count in of_router.items():
            grow[account] = grow.get(account, 0) - count
    routers_by_account = _list_routers_by_account(routers)
    _shrink_limits(limits, grow, routers, routers_by_account)
    wanted = {
        name: float(sum(limits[name].values()) + place.priority)
        for name, place in routers.items()
    }
    rates = _divide_by_offered_load(entitled, routers, short)
    for name, rates_here in rates.items():
        wanted[name] += sum(rates_here.values())
        for account, rate in rates_here.items():
            limits[name][account] = math.ceil(rate)
    surplus = {name: int(p.held - wanted[name]) for name, p in routers.items()}
    for account, count in grow.items():
        if count > 0 and account in routers_by_account:
            names = routers_by_account[account]
            before = {name: limits[name].get(account, 0) for name in names}
            _grow_limits(account, count, limits, surplus, routers, names)
            for name in names:
                wanted[name] += limits[name].get(account, 0) - before[name]
    previous = {name: place.target_slots for name, place in routers.items()}
    return SlotPlacement(limits, round_slots(wanted, previous), rates)


def _divide_by_offered_load(
    entitled: Mapping[str, float],
    routers: Mapping[str, RouterState],
    short: set[str],
) -> dict[str, dict[str, float]]:
    """Return for each router the mean slots of accounts with short requests.

    They are fractions of slots, because an account's few slots are divided
    between many routers.
    """
    rates: dict[str, dict[str, float]] = {name: {} for name in routers}
    # Sorted, so that a run can be repeated with the same seed.
    for account in sorted(short):
        offered = {
            name: value
            for name, place in routers.items()
            if (value := place.offered.get(account, 0.0)) > 0
        }
        total = sum(offered.values())
        for name, value in offered.items():
            part = entitled.get(account, 0) * value / total
            # Steps keep small changes out of the messages.
            rates[name][account] = round(part * _RATE_STEPS) / _RATE_STEPS
    return rates


def round_slots(
    wanted: Mapping[str, float], previous: Mapping[str, int]
) -> dict[str, int]:
    """Round slots to whole ones with the same sum, near the previous ones.

    A router keeps its number while it differs by less than one slot.
    """
    total = round(sum(wanted.values()))
    targets = {
        name: previous[name]
        if abs(value - previous[name]) < 1
        else round(value)
        for name, value in wanted.items()
    }
    excess = sum(targets.values()) - total
    step = 1 if excess > 0 else -1
    for _ in range(abs(excess)):
        # The router that is furthest above (or below) what it should have.
        name = max(
            (n for n in targets if targets[n] - step >= 0),
            key=lambda n: (step * (targets[n] - wanted[n]), n),
        )
        targets[name] -= step
    return targets


def _list_routers_by_account(
    routers: Mapping[str, RouterState],
) -> dict[str, list[str]]:
    """Return for each account the routers at which it has demand.

    An account has demand at a small part of the routers of a large fleet;
    going through all routers for each account made a plan quadratic.
    """
    routers_by_account: dict[str, list[str]] = {}
    for name, place in routers.items():
        for account, demand in place.demands.items():
            if demand.waiting or demand.running:
                routers_by_account.setdefault(account, []).append(name)
    return routers_by_account


def _keep_limits(place: RouterState, short: set[str]) -> dict[str, int]:
    """Return the router's limits as far as its demand still uses them."""
    kept = {}
    for account, demand in place.demands.items():
        count = demand.waiting + demand.running
        if count == 0 or account in short:
            continue
        limit = min(place.previous.get(account, 0), count)
        kept[account] = limit
    return kept


def _shrink_limits(
    limits: Mapping[str, dict[str, int]],
    grow: Mapping[str, int],
    routers: Mapping[str, RouterState],
    routers_by_account: Mapping[str, list[str]],
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
        for name, place in routers.items()
    }
    for account in shrinking:

        def compute_key(name: str, account: str = account) -> tuple[int, int]:
            return (-min(max(wanted[name], 0), 1), -limits[name][account])

        names = [
            n
            for n in routers_by_account[account]
            if limits[n].get(account, 0) > 0
        ]

        def take(name: str, account: str = account) -> bool:
            limits[name][account] -= 1
            wanted[name] -= 1
            return limits[name][account] > 0

        _repeat_for_lowest(names, -grow[account], compute_key, take)


def _grow_limits(
    account: str,
    count: int,
    limits: Mapping[str, dict[str, int]],
    surplus: dict[str, int],
    routers: Mapping[str, RouterState],
    names: list[str],
) -> None:
    unmet = {
        name: routers[name].demands[account].count()
        - limits[name].get(account, 0)
        for name in names
    }

    def compute_key(name: str) -> tuple[int, int]:
        return (-min(surplus[name], 1), -unmet[name])

    def give(name: str) -> bool:
        limits[name][account] = limits[name].get(account, 0) + 1
        unmet[name] -= 1
        surplus[name] -= 1
        return unmet[name] > 0

    _repeat_for_lowest(
        [n for n in unmet if unmet[n] > 0], count, compute_key, give
    )


def _repeat_for_lowest(
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
    spare = idle / constants.IDLE_SLOTS_DIVISOR / len(usage)
    return {name: math.floor(used + spare) for name, used in usage.items()}
