"""Runs one scenario under one policy and returns its figures."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from .baselines import Caller, GlobalQueue
from .control import SimController
from .events import Clock, Costs, Network
from .measures import PoolMeter
from .requests import Engine, Load, Request
from .scenarios import SHARES, Deployment, Fault, Scenario
from .simulation import Fleet, SimRouter

# Hosts that also run a controller, in the order in which they lead.
CONTROLLER_HOSTS = (0, 1, 2)
HEARTBEAT_INTERVAL_S = 1.0


@dataclass(slots=True)
class Result:
    """Figures of one run; those of a pool are the worst of all pools.

    Attributes
    ----------
    gap_ratio, gap_s : float
        See `PoolMeter.compute_gaps`.
    utilisation, engine_utilisation : float
        Fractions of the usable slot time.
    control_bytes_per_node_s, control_cpu_share : float
        Control traffic in bytes per second and processor time in cores of
        the host that has most of it.
    request_cpu_us : float
        Processor time of the routers for one request, in microseconds.
    priority_wait_p99_s : float
    finished : int
        Requests in all pools.
    overload : int
        Largest number of requests in an engine above its slots.
    late_arrivals : int
        Requests that arrived long after their upstream began to leave.
    plan_ms : float
        Mean processor time of a plan in milliseconds.
    messages_per_router_s : float
        Control messages per second of the router that has most of them.
    service_samples : list of list of float
        For the first pool, every account's service per unit of its share.
    """

    scenario: str
    policy: str
    gap_ratio: float = 0.0
    gap_s: float = 0.0
    utilisation: float = 1.0
    engine_utilisation: float = 1.0
    control_bytes_per_node_s: float = 0.0
    control_cpu_share: float = 0.0
    request_cpu_us: float = 0.0
    priority_wait_p99_s: float = 0.0
    finished: int = 0
    overload: int = 0
    late_arrivals: int = 0
    plan_ms: float = 0.0
    messages_per_router_s: float = 0.0
    service_samples: list[list[float]] = field(default_factory=list)


def run_scenario(scenario: Scenario, policy: str, seed: int) -> Result:
    """Run a scenario under one policy.

    Parameters
    ----------
    scenario : Scenario
    policy : str
        `fleet` for routers with controllers, `local` for routers that each
        use a fixed part of all slots, `fcfs` for one queue in order of
        arrival, and `ideal` for one fair queue. The queues have no latency,
        and faults don't apply to them.
    seed : int
    """
    clock = Clock()
    meters = {
        name: PoolMeter(pool.workers * pool.slots, SHARES, scenario.step_s)
        for name, pool in scenario.deployment.pools.items()
    }
    fleet: Fleet | None = None
    if policy in ("fcfs", "ideal"):
        queues = {
            name: GlobalQueue(clock, meter, policy == "ideal")
            for name, meter in meters.items()
        }

        def submit(load: Load, request: Request) -> None:
            queues[load.pool].submit(request)
    else:
        fleet = build_fleet(scenario.deployment, clock, meters, policy, seed)
        submit = fleet.submit
        for fault in scenario.faults:
            clock.at(fault.at, apply_fault, fleet, fault)
    for index, load in enumerate(scenario.loads):
        # Until then upstreams announce themselves and routers attach.
        load.starts_at = max(load.starts_at, 3.0)
        Caller(clock, load, submit, f"{seed}-{index}")
    for meter in meters.values():
        clock.every(scenario.step_s, lambda m=meter: m.sample(clock.now))
    clock.run(scenario.duration_s)
    return summarize(scenario, policy, meters, fleet)


def build_fleet(
    deployment: Deployment,
    clock: Clock,
    meters: dict[str, PoolMeter],
    policy: str,
    seed: int,
) -> Fleet:
    """Return a fleet of routers, a lead controller and upstreams."""
    document: dict[str, Any] = {
        "client_accounts": {
            name: {"share": share, "keys": []}
            for name, share in SHARES.items()
        },
        "pools": {name: {"kind": "model"} for name in deployment.pools},
        "upstreams": {
            f"{name}-{number}": {"keys": []}
            for name, pool in deployment.pools.items()
            for number in range(pool.workers)
        },
        "operators": {},
    }
    fleet = Fleet(
        clock,
        Network(clock, deployment.cross_zone_s),
        Costs(),
        random.Random(seed),
        meters,
        document,
        local_only=policy == "local",
    )
    zones = deployment.zones
    for index in range(deployment.routers):
        fleet.network.add_host(f"host-{index}", zones[index % len(zones)])
    fleet.controllers.append(SimController(fleet, "host-0", 1))
    for index in range(deployment.routers):
        zone = zones[index % len(zones)]
        fleet.routers.append(SimRouter(fleet, f"host-{index}", zone))
    for name, pool in deployment.pools.items():
        for number in range(pool.workers):
            zone = zones[number % len(zones)]
            engine = Engine(
                clock, meters[name], f"{name}-{number}", zone, pool.slots
            )
            fleet.engines[engine.name] = engine
            fleet.network.add_host(engine.name, zone)
            _start_heartbeats(fleet, engine, name)
    return fleet


def _start_heartbeats(fleet: Fleet, engine: Engine, pool: str) -> None:
    """Have an upstream send heartbeats to the routers in turn."""
    next_router = len(fleet.engines)

    def send_heartbeat() -> None:
        nonlocal next_router
        # After a refused connection the next router is tried. Without
        # controllers every router needs each heartbeat.
        for _ in fleet.routers:
            router = fleet.routers[next_router % len(fleet.routers)]
            next_router += 1
            connected = fleet.network.is_connected(engine.name, router.name)
            if router.alive and connected:
                router.announce(engine, pool)
                if not fleet.local_only:
                    break

    fleet.clock.after(0.1 + 0.01 * next_router, send_heartbeat)
    fleet.clock.after(
        0.1 + 0.01 * next_router,
        lambda: fleet.clock.every(HEARTBEAT_INTERVAL_S, send_heartbeat),
    )


def apply_fault(fleet: Fleet, fault: Fault) -> None:
    """Apply a fault to a fleet."""
    hosts = fault.hosts
    leader = fleet.controllers[0]
    if fault.kind == "cut":
        # Host 0 runs the first leader, so this may cut off the leader.
        fleet.network.partition([f"host-{index}" for index in hosts])
    elif fault.kind == "heal":
        fleet.network.heal()
    elif fault.kind == "kill-router":
        fleet.routers[hosts[0]].kill()
    elif fault.kind == "start-router":
        fleet.routers[hosts[0]].start()
    elif fault.kind == "kill-leader":
        leader.kill()
    elif fault.kind == "freeze-leader":
        leader.frozen = True
    elif fault.kind == "wake-leader":
        fleet.controllers[-1].resume()
    elif fault.kind == "depose":
        leader.replica.leads = False
    elif fault.kind == "elect":
        leader.replica.leads = False
        host = f"host-{CONTROLLER_HOSTS[len(fleet.controllers)]}"
        term = leader.replica.term + 1
        fleet.controllers.insert(0, SimController(fleet, host, term))
    elif fault.kind == "leave":
        engine = list(fleet.engines.values())[hosts[0]]
        engine.leaving_at = fleet.clock.now
    else:
        raise ValueError(f"unknown kind of fault {fault.kind!r}")


def summarize(
    scenario: Scenario,
    policy: str,
    meters: dict[str, PoolMeter],
    fleet: Fleet | None,
) -> Result:
    """Return the figures of a finished run."""
    result = Result(scenario.name, policy)
    for meter in meters.values():
        ratio, gap = meter.compute_gaps()
        if ratio >= result.gap_ratio:
            result.gap_ratio, result.gap_s = ratio, gap
        result.utilisation = min(
            result.utilisation, meter.compute_utilisation()
        )
        result.engine_utilisation = min(
            result.engine_utilisation, meter.compute_engine_utilisation()
        )
        result.finished += meter.finished
        result.overload = max(result.overload, meter.overload)
        if meter.priority_waits:
            p99 = float(np.percentile(meter.priority_waits, 99))
            result.priority_wait_p99_s = max(result.priority_wait_p99_s, p99)
    first = next(iter(meters.values()))
    result.service_samples = [
        list(map(float, row)) for row in first.service_samples[::4]
    ]
    if fleet is not None:
        _add_costs(result, fleet, scenario.duration_s)
    return result


def _add_costs(result: Result, fleet: Fleet, duration_s: float) -> None:
    costs = fleet.costs
    result.control_bytes_per_node_s = (
        max(costs.bytes.values(), default=0) / duration_s
    )
    result.control_cpu_share = (
        max(costs.control_cpu_s.values(), default=0.0) / duration_s
    )
    requests = sum(costs.request_cpu_s.values())
    result.request_cpu_us = requests / max(1, result.finished) * 1e6
    result.late_arrivals = sum(
        engine.late_arrivals for engine in fleet.engines.values()
    )
    if costs.plan_times_s:
        result.plan_ms = (
            sum(costs.plan_times_s) / len(costs.plan_times_s) * 1000
        )
    # Host 0 has the messages of the lead controller too.
    busiest = max(costs.messages[r.name] for r in fleet.routers[1:])
    result.messages_per_router_s = busiest / duration_s
