"""Scenarios of the fairness benchmark."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from .requests import Load

# Share of each client account: a few large and many small ones.
SHARES = {
    f"account-{number:02}": share
    for number, share in enumerate([8.0, 6.0, 4.0, 4.0] + [1.0] * 12)
}
ACCOUNTS = list(SHARES)


@dataclass(slots=True)
class Pool:
    """Size of one pool.

    Attributes
    ----------
    workers : int
    slots : int
        Slots of each worker.
    """

    workers: int
    slots: int


@dataclass(slots=True)
class Deployment:
    """A fleet's availability zones, pools and routers.

    Attributes
    ----------
    zones : tuple of str
        Routers and workers are assigned to them in turn.
    pools : dict of str to Pool
        A model and a service, in this order.
    cross_zone_s : float
        One-way latency between availability zones in seconds.
    routers : int
    """

    zones: tuple[str, ...]
    pools: dict[str, Pool]
    cross_zone_s: float
    routers: int = 9


# Names of scenarios without faults begin with the name of their deployment;
# those with faults use the first one.
QUETZALTENANGO = Deployment(
    ("centro", "terminal", "zona-3"),
    {"assistant": Pool(9, 8), "pass": Pool(3, 8)},
    1.5e-3,
)
MILLISAFN = Deployment(
    ("az-1", "az-2", "az-3", "az-4"),
    {"drafting": Pool(5, 8), "loans": Pool(4, 8)},
    1.0e-3,
)


@dataclass(slots=True)
class Fault:
    """A fault, or the end of one.

    Attributes
    ----------
    at : float
        Virtual time in seconds.
    kind : str
        `cut` separates some hosts from all others and `heal` ends that.
        `kill-router` and `start-router` act on one router; `kill-leader`,
        `freeze-leader` and `wake-leader` on the process of the lead
        controller. `depose` ends its leadership; `elect` makes another
        controller the leader. With `leave` a worker begins to leave.
    hosts : tuple of int
        Indexes of routers, or of workers for `leave`.
    """

    at: float
    kind: str
    hosts: tuple[int, ...] = ()


@dataclass(slots=True)
class Scenario:
    """A deployment with its load and faults.

    Attributes
    ----------
    name : str
    deployment : Deployment
    duration_s : float
    loads : list of Load
    faults : list of Fault
    step_s : float
        Time between two samples in seconds.
    """

    name: str
    deployment: Deployment
    duration_s: float
    loads: list[Load]
    faults: list[Fault] = field(default_factory=list)
    step_s: float = 0.25


def _build_router_weights(account: int, routers: int = 9) -> dict[int, float]:
    """Return router weights that put most of an account's load on a few."""
    rng = random.Random(f"spread-{account}")
    main_router = rng.randrange(routers)
    return {
        (main_router + step) % routers: 0.5**step
        for step in range(routers // 2)
    }


def _build_backlogged_loads(
    pool: str,
    cost: Callable[[int], float],
    outstanding: Callable[[int], int],
    accounts: range | list[int] = range(16),
) -> list[Load]:
    """Return closed-loop loads, one for each account number."""
    return [
        Load(
            pool,
            ACCOUNTS[number],
            outstanding(number),
            cost_s=cost(number),
            weights=_build_router_weights(number),
        )
        for number in accounts
    ]


def _build_service_loads(pool: str) -> list[Load]:
    """Return open-loop loads of a service, below its capacity in sum."""
    return [
        Load(
            pool,
            ACCOUNTS[number],
            rate=4.0,
            cost_s=0.2,
            weights=_build_router_weights(number + 50),
        )
        for number in range(16)
    ]


def _build_priority_loads(pool: str) -> list[Load]:
    """Return loads of short priority requests from two accounts."""
    return [
        Load(pool, ACCOUNTS[number], rate=0.5, cost_s=0.3, priority=True)
        for number in (2, 7)
    ]


def _count_outstanding(number: int) -> int:
    """Return how many requests an account keeps in the fleet."""
    # More than the account's share of 72 slots, so that requests wait.
    return int(SHARES[ACCOUNTS[number]] * 5) + 8


def _build_long(
    name: str,
    deployment: Deployment,
    duration_s: float = 300.0,
    faults: list[Fault] | None = None,
) -> Scenario:
    """Return a scenario with model requests of 4 s on average."""
    model_pool, service_pool = deployment.pools
    return Scenario(
        name,
        deployment,
        duration_s,
        _build_backlogged_loads(model_pool, lambda _: 4.0, _count_outstanding)
        + _build_priority_loads(model_pool)
        + _build_service_loads(service_pool),
        faults or [],
    )


def _build_short(name: str, deployment: Deployment) -> Scenario:
    """Return a scenario with model requests of 20 ms."""
    model_pool, service_pool = deployment.pools
    return Scenario(
        name,
        deployment,
        40.0,
        _build_backlogged_loads(model_pool, lambda _: 0.02, _count_outstanding)
        + _build_priority_loads(model_pool)
        + _build_service_loads(service_pool),
        step_s=0.05,
    )


def _build_mixed(name: str, deployment: Deployment) -> Scenario:
    """Return a scenario with model requests of 4 s and of 20 ms."""
    model_pool, service_pool = deployment.pools
    return Scenario(
        name,
        deployment,
        200.0,
        _build_backlogged_loads(
            model_pool, lambda n: 4.0 if n % 2 else 0.02, _count_outstanding
        )
        + _build_priority_loads(model_pool)
        + _build_service_loads(service_pool),
        step_s=0.1,
    )


def _build_uneven(name: str, deployment: Deployment) -> Scenario:
    """Return a scenario in which each load uses one of three routers."""
    scenario = _build_long(name, deployment)
    for index, load in enumerate(scenario.loads):
        load.weights = {index % 3: 1.0}
    return scenario


def _build_flood(name: str, deployment: Deployment) -> Scenario:
    """Return a scenario in which one account queues 3000 more requests."""
    scenario = _build_long(name, deployment)
    model_pool = next(iter(deployment.pools))
    flood = Load(model_pool, ACCOUNTS[15], 3000, starts_at=60.0)
    scenario.loads.append(flood)
    return scenario


def _build_late_accounts(name: str, deployment: Deployment) -> Scenario:
    """Return a scenario in which four accounts start late."""
    scenario = _build_long(name, deployment)
    for number in (1, 5, 9, 13):
        scenario.loads[number].starts_at = 60.0 + 10 * number
    return scenario


def list_scenarios() -> list[Scenario]:
    """Return all scenarios, as new objects."""
    default = QUETZALTENANGO
    # The lead controller is in the zone that `split_leader` cuts off. The
    # next controller is elected when the lease of the old one has ended.
    split = [Fault(100, "cut", (2, 5, 8)), Fault(140, "heal")]
    split_leader = [
        Fault(100, "cut", (0, 3, 6)),
        Fault(102, "depose"),
        Fault(103.5, "elect"),
        Fault(140, "heal"),
    ]
    killed = [Fault(100, "kill-leader"), Fault(104, "elect")]
    frozen = [
        Fault(100, "freeze-leader"),
        Fault(104, "elect"),
        Fault(120, "wake-leader"),
    ]
    restarted = [
        Fault(100, "kill-router", (4,)),
        Fault(102, "start-router", (4,)),
    ]
    lost = [Fault(100, "kill-router", (4,))]
    leaving = [
        Fault(95, "cut", (2, 5, 8)),
        Fault(110, "leave", (2,)),
        Fault(140, "heal"),
    ]
    return [
        _build_long("quetzaltenango-long", default),
        _build_short("quetzaltenango-20ms", default),
        _build_mixed("quetzaltenango-mixed", default),
        _build_uneven("quetzaltenango-uneven", default),
        _build_flood("quetzaltenango-flood", default),
        _build_late_accounts("quetzaltenango-late-accounts", default),
        _build_long("millisafn-long", MILLISAFN),
        _build_short("millisafn-20ms", MILLISAFN),
        _build_mixed("millisafn-mixed", MILLISAFN),
        _build_long("partition", default, faults=split),
        _build_long("partition-with-leader", default, faults=split_leader),
        _build_long("leader-killed", default, faults=killed),
        _build_long("leader-frozen", default, faults=frozen),
        _build_long("router-restarted", default, faults=restarted),
        _build_long("router-lost", default, faults=lost),
        _build_long("worker-leaves-in-partition", default, faults=leaving),
    ]
