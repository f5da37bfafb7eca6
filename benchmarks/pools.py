"""Measures the scheduling of pools, at controllers and routers."""

from __future__ import annotations

import functools
import random
from dataclasses import dataclass, replace

from hornbeamyard.connection import codec
from hornbeamyard.pool import constants
from hornbeamyard.pool.allocation import AccountDemand, Allocation, Limit
from hornbeamyard.pool.backlog import QueueBounds, Ticket
from hornbeamyard.pool.dispatch import Dispatch, StartedRequest
from hornbeamyard.pool.schedule import Schedule
from hornbeamyard.pool.worker import Worker, WorkerRegistry

from .fit import measure_bytes, time_cpu

ZONES = 7
# At the target size a request generates 256 tokens (21 million tokens and
# 82,000 requests a second), 56 ms apart.
REQUEST_DURATION_S = 14.0


@dataclass(slots=True)
class PoolSize:
    """Size of one contended pool.

    Attributes
    ----------
    routers : int
    workers : int
    slots : int
        Slots of each worker.
    configured : int
        Client accounts in the configuration.
    backlogged : int
        Client accounts with waiting requests.
    """

    routers: int = 200
    workers: int = 40
    slots: int = 119
    configured: int = 1600
    backlogged: int = 160

    def count_slots(self) -> int:
        """Return the number of slots of all workers."""
        return self.workers * self.slots


def name_account(number: int) -> str:
    """Return the name of a client account by its number."""
    return f"account-{number:05d}"


def build_demand(size: PoolSize) -> list[dict[str, AccountDemand]]:
    """Return the demand at each router, by account.

    Every slot of the pool runs a request. An account runs at a few routers
    only, as behind a load balancer that keeps callers at a router, and has
    two to four waiting requests at each of them.
    """
    rng = random.Random(1)
    demands: list[dict[str, AccountDemand]] = [{} for _ in range(size.routers)]
    for slot in range(size.count_slots()):
        account = name_account(slot % size.backlogged)
        router = demands[rng.randrange(size.routers)]
        previous = router.get(account, AccountDemand())
        router[account] = replace(
            previous,
            running=previous.running + 1,
            waiting=rng.randrange(2, 5),
            service_s=100 * rng.random(),
            finished=7,
            largest_s=2 * REQUEST_DURATION_S,
        )
    return demands


def build_schedule(
    size: PoolSize, demands: list[dict[str, AccountDemand]]
) -> Schedule:
    """Return a schedule in which routers hold the slots that they use."""
    schedule = Schedule("pool")
    schedule.set_shares(
        {name_account(n): 1.0 + n % 3 for n in range(size.configured)}, 0.0
    )
    for number in range(size.workers):
        schedule.set_worker(
            f"worker-{number:05d}", size.slots, f"z{number % ZONES}", True
        )
    slot = 0
    for number, demand in enumerate(demands):
        held: dict[str, int] = {}
        for _ in range(sum(entry.running for entry in demand.values())):
            worker = f"worker-{slot % size.workers:05d}"
            held[worker] = held.get(worker, 0) + 1
            slot += 1
        schedule.attach_router(
            f"router-{number:05d}",
            1,
            f"z{number % ZONES}",
            demand,
            held,
            {},
            0.0,
        )
    return schedule


def advance_demand(
    demands: list[dict[str, AccountDemand]],
    seconds: float,
    rng: random.Random,
) -> list[dict[str, AccountDemand]]:
    """Advance the demand by some time and return the changed entries.

    Each running request ends with the probability that follows from its mean
    duration. A waiting request takes its place and a new one arrives.
    """
    changes = []
    for demand in demands:
        changed = {}
        for name, entry in demand.items():
            ended = sum(
                rng.random() < seconds / REQUEST_DURATION_S
                for _ in range(entry.running)
            )
            if ended == 0:
                continue
            waiting = max(2, entry.waiting + rng.choice((-1, 0, 1)))
            changed[name] = replace(
                entry,
                waiting=waiting,
                finished=entry.finished + ended,
                service_s=entry.service_s + REQUEST_DURATION_S * ended,
            )
        demand.update(changed)
        changes.append(changed)
    return changes


def measure_schedule(size: PoolSize, seconds: int = 2) -> dict[str, float]:
    """Return memory, processor time and messages of one pool's schedule.

    Returns
    -------
    dict of str to float
        Memory (`state_bytes`); processor time for the reports of one second
        (`report_cpu_s`) and for one plan (`plan_cpu_s`); for the allocations
        that a plan changes, processor time of encoding (`encode_cpu_s`),
        size (`allocation_bytes`) and number (`allocations`). All but the
        memory are the smallest values of all seconds.
    """
    demands = build_demand(size)
    schedule, state = measure_bytes(lambda: build_schedule(size, demands))
    assert isinstance(schedule, Schedule)
    rng = random.Random(2)
    # The first allocations contain all slots and names, so they are left out.
    sent: dict[str, Allocation] = {}
    for now in (0.25, 0.5, 0.75):
        sent.update(_plan(schedule, now))
    assert all(allocation.contended for allocation in sent.values())
    names = {name: codec.NameTable() for name in schedule.list_routers()}
    _encode(sent, {}, names)
    figures: dict[str, list[float]] = {}
    for second in range(1, seconds + 1):
        now = float(second)
        changes = advance_demand(demands, 1.0, rng)
        row = {
            "report_cpu_s": time_cpu(
                lambda c=changes, n=now: _apply_reports(schedule, c, n), 1
            )
        }
        changed: dict[str, Allocation] = {}
        row["plan_cpu_s"] = time_cpu(
            lambda n=now, c=changed: c.update(_plan(schedule, n)), 1
        )
        row.update(_encode(changed, sent, names))
        sent.update(changed)
        for name, value in row.items():
            figures.setdefault(name, []).append(value)
    return {"state_bytes": state} | {n: min(v) for n, v in figures.items()}


def _apply_reports(
    schedule: Schedule, changes: list[dict[str, AccountDemand]], now: float
) -> None:
    for number, changed in enumerate(changes):
        schedule.report(f"router-{number:05d}", changed, {}, now)


def _plan(schedule: Schedule, now: float) -> dict[str, Allocation]:
    changes = schedule.plan(now)
    return {name: change.allocation for name, change in changes.items()}


def _encode(
    changed: dict[str, Allocation],
    sent: dict[str, Allocation],
    names: dict[str, codec.NameTable],
) -> dict[str, float]:
    sizes: list[int] = []

    def run() -> None:
        sizes.extend(
            codec.encode_allocation(
                "pool", allocation, sent.get(name), names[name]
            ).ByteSize()
            for name, allocation in changed.items()
        )

    cpu = time_cpu(run, 1)
    return {
        "encode_cpu_s": cpu,
        "allocation_bytes": float(sum(sizes)),
        "allocations": float(len(sizes)),
    }


# ---- scheduling at a router ------------------------------------------------


@dataclass(slots=True)
class RouterLoad:
    """Load of one router in one pool.

    Attributes
    ----------
    configured : int
        Client accounts in the configuration.
    active : int
        Client accounts with one running request at this router.
    waiting : int
        Waiting requests of each active account.
    workers : int
        Workers of the pool.
    """

    configured: int = 1600
    active: int = 23
    waiting: int = 2
    workers: int = 370


@functools.lru_cache
def build_accounts(
    configured: int,
) -> tuple[dict[str, float], dict[str, QueueBounds]]:
    """Return shares and queue bounds, which all pools of a router use."""
    names = [name_account(number) for number in range(configured)]
    shares = {name: 1.0 + index % 3 for index, name in enumerate(names)}
    return shares, {name: QueueBounds() for name in names}


class RouterPool:
    """One pool at one router on virtual time."""

    def __init__(self, load: RouterLoad, pool: str = "pool") -> None:
        self.load = load
        registry = WorkerRegistry()
        for number in range(load.workers):
            registry.announce(
                Worker(
                    f"worker-{number:05d}",
                    f"http://10.0.{number >> 8}.{number & 255}:9000",
                    f"z{number % ZONES}",
                    pool,
                    119,
                )
            )
        self.dispatch = Dispatch(pool, "z0", registry)
        shares, bounds = build_accounts(load.configured)
        self.dispatch.set_shares(shares, 0.0)
        self.dispatch.backlog.set_bounds(bounds)
        self.accounts = list(shares)[: load.active]
        self.running: list[StartedRequest] = []
        self.allocation = Allocation(
            granted={
                f"worker-{n % load.workers:05d}": 1 + n // load.workers
                for n in range(load.active)
            },
            target_slots=load.active,
            contended=True,
            limits={name: Limit(1, 0.0) for name in self.accounts},
        )
        self.dispatch.apply(self.allocation, 0.0)
        for name in self.accounts:
            for _ in range(load.waiting + 1):
                self.dispatch.submit(Ticket(name), 0.0)
        self.start_ready(0.0)

    def start_ready(self, now: float) -> None:
        """Start queued requests while slots are free."""
        while (started := self.dispatch.start_next(now)) is not None:
            self.running.append(started)

    def run_second(self, now: float, rng: random.Random) -> None:
        """End some running requests and queue a new one for each."""
        ended = [
            s for s in self.running if rng.random() < 1 / REQUEST_DURATION_S
        ]
        for started in ended:
            self.running.remove(started)
            self.dispatch.finish(started, now)
            self.dispatch.submit(Ticket(started.ticket.client_account), now)
        self.start_ready(now)


def measure_router_pool(
    load: RouterLoad, seconds: int = 10
) -> dict[str, float]:
    """Return what scheduling of one pool costs a router.

    Returns
    -------
    dict of str to float
        Memory (`state_bytes`); processor time and size of a regular report
        (`report_cpu_s`, `report_bytes`); processor time to apply an
        allocation that changes every limit (`apply_cpu_s`).
    """
    build_accounts(load.configured)
    pool, state = measure_bytes(lambda: RouterPool(load))
    assert isinstance(pool, RouterPool)
    rng = random.Random(3)
    sizes: list[int] = []
    spent: list[float] = []
    names = codec.NameTable()
    demands, slots = pool.dispatch.collect_report(0.5, full=True)
    codec.encode_report("pool", demands, slots, {}, names)

    def encode_report(now: float) -> None:
        demands, slots = pool.dispatch.collect_report(now, full=False)
        message = codec.encode_report("pool", demands, slots, {}, names)
        sizes.append(len(message.SerializeToString()))

    for second in range(1, seconds + 1):
        now = float(second)
        pool.run_second(now, rng)
        spent.append(time_cpu(lambda n=now: encode_report(n), 1))
    return {
        "state_bytes": state,
        "report_cpu_s": sum(spent) / seconds,
        "report_bytes": sum(sizes) / seconds,
        "apply_cpu_s": time_cpu(
            lambda: _apply_changed_limits(pool, seconds + 1.0)
        ),
    }


def measure_name_table(count: int) -> dict[str, float]:
    """Return the memory of a stream's name table at one end."""

    def build() -> codec.NameTable:
        names = codec.NameTable()
        for number in range(count):
            names.decode(number, name_account(number))
            names.encode(name_account(number))
        return names

    return {"state_bytes": measure_bytes(build)[1]}


def _apply_changed_limits(pool: RouterPool, now: float) -> None:
    changed = replace(
        pool.allocation,
        limits={name: Limit(2, 0.5) for name in pool.accounts},
    )
    names = codec.NameTable()
    message = codec.encode_allocation("pool", changed, pool.allocation, names)
    pool.dispatch.apply(
        codec.merge_allocation(pool.allocation, message, names), now
    )


def measure_urgent(requests: int, seconds: int = 20) -> dict[str, float]:
    """Return the rate of urgent reports that idle accounts cause.

    The pool is contended, as at peak load, and each request comes from an
    account without waiting requests at this router. Requests arrive at even
    intervals; each gets the next free slot before another one arrives.

    Parameters
    ----------
    requests : int
        Requests of such accounts per second at the router.
    seconds : int, optional

    Returns
    -------
    dict of str to float
        Urgent reports per second (`messages`).
    """
    pool = RouterPool(RouterLoad(configured=2000, active=23))
    dispatch = pool.dispatch
    dispatch.collect_report(0.5, full=True)
    messages = 0
    reported_at = 0.0
    for number in range(requests * seconds):
        now = 1.0 + number / requests
        account = name_account(100 + number % 1900)
        dispatch.submit(Ticket(account), now)
        spaced = now - reported_at >= constants.URGENT_SPACING_S
        if dispatch.is_urgent(now) and spaced:
            dispatch.collect_report(now, full=False)
            reported_at = now
            messages += 1
        dispatch.backlog.pop(account)
    return {"messages": messages / seconds}
