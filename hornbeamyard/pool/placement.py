"""Division of each account's slots between routers."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from . import constants
from .allocation import AccountDemand

# Rates are rounded to this many steps per slot, so that small changes cause no
# messages.
_RATE_STEPS = 20


@dataclass(slots=True)
class PlacementInput:
    """Demand, limits and slots of one router before placement.

    Attributes
    ----------
    demands : mapping of str to AccountDemand
        By account, as reported.
    previous_limits : mapping of str to int
        Limits of accounts in the last plan.
    held : int
        Slots that the router holds.
    target_slots : int
        Slots that the last plan gave to the router.
    offered : mapping of str to float
        For each account with short requests, the requests that finish in a
        report interval plus those that wait or run.
    priority_slots : int
        Slots for waiting priority requests, beyond the limits.
    """

    demands: Mapping[str, AccountDemand]
    previous_limits: Mapping[str, int]
    held: int
    target_slots: int = 0
    offered: Mapping[str, float] = field(default_factory=dict)
    priority_slots: int = 0


@dataclass(slots=True)
class SlotPlacement:
    """Limits and slots of each router after placement.

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
    routers: Mapping[str, PlacementInput],
    short: set[str],
) -> SlotPlacement:
    """Divide each account's slots between the routers.

    Limits change as little as possible. Slots are taken from where another
    account waits for them and given to where they are free, so that few
    slots move between routers. Slots of accounts with short requests are
    divided in proportion to the requests offered instead, because their
    queues change faster than plans.

    Parameters
    ----------
    entitled : mapping of str to float
        Slots of each account; whole ones unless its requests are short.
    routers : mapping of str to PlacementInput
        All routers.
    short : set of str
        Accounts with short requests.
    """
    limits = {
        name: _keep_limits(router, short) for name, router in routers.items()
    }
    deltas = {
        name: int(slots)
        for name, slots in entitled.items()
        if name not in short
    }
    for router_limits in limits.values():
        for account, count in router_limits.items():
            deltas[account] = deltas.get(account, 0) - count
    routers_by_account = _list_routers_by_account(routers)
    _shrink_limits(limits, deltas, routers, routers_by_account)
    wanted = {
        name: float(sum(limits[name].values()) + router.priority_slots)
        for name, router in routers.items()
    }
    rates = _divide_by_offered_load(entitled, routers, short)
    for name, router_rates in rates.items():
        wanted[name] += sum(router_rates.values())
        for account, rate in router_rates.items():
            limits[name][account] = math.ceil(rate)
    surplus = {name: int(r.held - wanted[name]) for name, r in routers.items()}
    for account, count in deltas.items():
        if count > 0 and account in routers_by_account:
            names = routers_by_account[account]
            before = {name: limits[name].get(account, 0) for name in names}
            _grow_limits(account, count, limits, surplus, routers, names)
            for name in names:
                wanted[name] += limits[name].get(account, 0) - before[name]
    previous = {name: router.target_slots for name, router in routers.items()}
    return SlotPlacement(limits, round_slots(wanted, previous), rates)


def _divide_by_offered_load(
    entitled: Mapping[str, float],
    routers: Mapping[str, PlacementInput],
    short: set[str],
) -> dict[str, dict[str, float]]:
    """Return for each router the mean slots of accounts with short requests.

    They are fractions of slots, because an account's few slots may be divided
    between many routers.
    """
    rates: dict[str, dict[str, float]] = {name: {} for name in routers}
    # Sorted, so that runs with the same seed give the same result.
    for account in sorted(short):
        offered = {
            name: value
            for name, router in routers.items()
            if (value := router.offered.get(account, 0.0)) > 0
        }
        total = sum(offered.values())
        for name, value in offered.items():
            part = entitled.get(account, 0) * value / total
            rates[name][account] = round(part * _RATE_STEPS) / _RATE_STEPS
    return rates


def round_slots(
    wanted: Mapping[str, float], previous: Mapping[str, int]
) -> dict[str, int]:
    """Round slots to whole ones with the same sum, near the previous ones.

    A router keeps its previous number while that differs by less than one
    slot, unless the sum requires a change.

    Parameters
    ----------
    wanted : mapping of str to float
        Slots of each router.
    previous : mapping of str to int
        Slots of each router in the last plan.
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
        # The router that is furthest above (or below) its unrounded slots.
        name = max(
            (n for n in targets if targets[n] - step >= 0),
            key=lambda n: (step * (targets[n] - wanted[n]), n),
        )
        targets[name] -= step
    return targets


def _list_routers_by_account(
    routers: Mapping[str, PlacementInput],
) -> dict[str, list[str]]:
    """Return for each account the routers at which it has demand.

    In a large fleet an account has demand at few of the routers; a loop over
    all routers for each account would make a plan quadratic.
    """
    routers_by_account: dict[str, list[str]] = {}
    for name, router in routers.items():
        for account, demand in router.demands.items():
            if demand.waiting or demand.running:
                routers_by_account.setdefault(account, []).append(name)
    return routers_by_account


def _keep_limits(router: PlacementInput, short: set[str]) -> dict[str, int]:
    """Return the router's limits, cut to its present demand."""
    kept = {}
    for account, demand in router.demands.items():
        count = demand.waiting + demand.running
        if count == 0 or account in short:
            continue
        limit = min(router.previous_limits.get(account, 0), count)
        kept[account] = limit
    return kept


def _shrink_limits(
    limits: Mapping[str, dict[str, int]],
    deltas: Mapping[str, int],
    routers: Mapping[str, PlacementInput],
    routers_by_account: Mapping[str, list[str]],
) -> None:
    """Lower the limits of the accounts with negative `deltas`.

    Routers where another account waits for slots come first, then those with
    the highest limits.
    """
    shrinking = [account for account, count in deltas.items() if count < 0]
    if not shrinking:
        return
    wanted = {
        name: sum(
            min(deltas.get(account, 0), demand.waiting)
            for account, demand in router.demands.items()
            if demand.waiting and deltas.get(account, 0) > 0
        )
        for name, router in routers.items()
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

        _repeat_for_lowest(names, -deltas[account], compute_key, take)


def _grow_limits(
    account: str,
    count: int,
    limits: Mapping[str, dict[str, int]],
    surplus: dict[str, int],
    routers: Mapping[str, PlacementInput],
    names: list[str],
) -> None:
    """Raise an account's limits by `count` in total.

    Routers with a surplus of slots come first, then those with the most unmet
    demand.
    """
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
    """Call `move` `count` times, each time with the name of the lowest key.

    `move` returns whether its name may be chosen again.
    """
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
    """Return the slots that each router may hold without contention.

    These are its mean use and a part of the idle slots. The mean keeps
    routers from returning slots that they soon ask for again. The controller
    keeps the other idle slots for routers that run out.

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
