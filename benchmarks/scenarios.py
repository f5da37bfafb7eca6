"""The scenarios of the fairness benchmark."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from .requests import Load

# A few large accounts and many small ones.
SHARES = {
    f"account-{number:02}": share
    for number, share in enumerate([8.0, 6.0, 4.0, 4.0] + [1.0] * 12)
}
ACCOUNTS = list(SHARES)


@dataclass(slots=True)
class Pool:
    """Workers of one pool."""

    workers: int
    slots: int


@dataclass(slots=True)
class Deployment:
    """Hosts, availability zones and workers."""

    zones: tuple[str, ...]
    pools: dict[str, Pool]
    cross_zone_s: float
    routers: int = 9


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
    """Something that happens to a host at some time.

    `kind` is `cut`, `heal`, `kill-router`, `start-router`, `kill-leader`,
    `freeze-leader`, `wake-leader`, `depose`, `elect` or `leave`; `hosts` are
    places of routers, or numbers of workers.
    """

    at: float
    kind: str
    hosts: tuple[int, ...] = ()


@dataclass(slots=True)
class Scenario:
    """One run of the benchmark."""

    name: str
    deployment: Deployment
    duration_s: float
    loads: list[Load]
    faults: list[Fault] = field(default_factory=list)
    step_s: float = 0.25


def _build_router_weights(account: int, routers: int = 9) -> dict[int, float]:
    """Return weights by which most of an account's load is on few routers."""
    rng = random.Random(f"spread-{account}")
    home = rng.randrange(routers)
    return {(home + step) % routers: 0.5**step for step in range(routers // 2)}


def _build_backlogged_loads(
    pool: str,
    cost: Callable[[int], float],
    outstanding: Callable[[int], int],
    accounts: range | list[int] = range(16),
) -> list[Load]:
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
    """Return the plain service's load: open, below its capacity."""
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
    """Return quick checks of two accounts on the priority path."""
    return [
        Load(pool, ACCOUNTS[number], rate=0.5, cost_s=0.3, priority=True)
        for number in (2, 7)
    ]


def _count_outstanding(number: int) -> int:
    # More than the account's part of 72 slots, so that requests wait.
    return int(SHARES[ACCOUNTS[number]] * 5) + 8


def _build_long(
    name: str,
    deployment: Deployment,
    duration_s: float = 300.0,
    faults: list[Fault] | None = None,
) -> Scenario:
    model, service = deployment.pools
    return Scenario(
        name,
        deployment,
        duration_s,
        _build_backlogged_loads(model, lambda _: 4.0, _count_outstanding)
        + _build_priority_loads(model)
        + _build_service_loads(service),
        faults or [],
    )


def _build_short(name: str, deployment: Deployment) -> Scenario:
    model, service = deployment.pools
    return Scenario(
        name,
        deployment,
        40.0,
        _build_backlogged_loads(model, lambda _: 0.02, _count_outstanding)
        + _build_priority_loads(model)
        + _build_service_loads(service),
        step_s=0.05,
    )


def _build_mixed(name: str, deployment: Deployment) -> Scenario:
    model, service = deployment.pools
    return Scenario(
        name,
        deployment,
        200.0,
        _build_backlogged_loads(
            model, lambda n: 4.0 if n % 2 else 0.02, _count_outstanding
        )
        + _build_priority_loads(model)
        + _build_service_loads(service),
        step_s=0.1,
    )


def _build_uneven(name: str, deployment: Deployment) -> Scenario:
    scenario = _build_long(name, deployment)
    for index, load in enumerate(scenario.loads):
        load.weights = {index % 3: 1.0}
    return scenario


def _build_flood(name: str, deployment: Deployment) -> Scenario:
    scenario = _build_long(name, deployment)
    model = next(iter(deployment.pools))
    flood = Load(model, ACCOUNTS[15], 3000, starts_at=60.0)
    scenario.loads.append(flood)
    return scenario


def _build_late_accounts(name: str, deployment: Deployment) -> Scenario:
    scenario = _build_long(name, deployment)
    for number in (1, 5, 9, 13):
        scenario.loads[number].starts_at = 60.0 + 10 * number
    return scenario


def list_scenarios() -> list[Scenario]:
    """Return all scenarios, made anew."""
    first = QUETZALTENANGO
    # The zone of the lead controller is cut off in the second one; another
    # controller is elected after the old lease.
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
        _build_long("quetzaltenango-long", first),
        _build_short("quetzaltenango-20ms", first),
        _build_mixed("quetzaltenango-mixed", first),
        _build_uneven("quetzaltenango-uneven", first),
        _build_flood("quetzaltenango-flood", first),
        _build_late_accounts("quetzaltenango-late-accounts", first),
        _build_long("millisafn-long", MILLISAFN),
        _build_short("millisafn-20ms", MILLISAFN),
        _build_mixed("millisafn-mixed", MILLISAFN),
        _build_long("partition", first, faults=split),
        _build_long("partition-with-leader", first, faults=split_leader),
        _build_long("leader-killed", first, faults=killed),
        _build_long("leader-frozen", first, faults=frozen),
        _build_long("router-restarted", first, faults=restarted),
        _build_long("router-lost", first, faults=lost),
        _build_long("worker-leaves-in-partition", first, faults=leaving),
    ]
