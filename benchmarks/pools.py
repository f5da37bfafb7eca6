"""Loads for the modules that decide about pools, at any size."""

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
from hornbeamyard.pool.worker import Registry, Worker

from .fit import measure_bytes, time_cpu

ZONES = 7
# At 56 ms between tokens, 21 million tokens a second and 82,000 requests a
# second a request takes 256 tokens, so 14 s.
REQUEST_DURATION_S = 14.0


@dataclass(slots=True)
class PoolSize:
    """Size of one contended pool.

    Attributes
    ----------
    routers, workers : int
    slots : int
        Slots of each worker.
    configured : int
        Client accounts in the configuration.
    backlogged : int
        Client accounts with requests that wait.
    """

    routers: int = 200
    workers: int = 40
    slots: int = 119
    configured: int = 1600
    backlogged: int = 160

    def count_slots(self) -> int:
        """Return the slots of the pool."""
        return self.workers * self.slots


def name_account(number: int) -> str:
    """Return the name of a client account."""
    return f"account-{number:05d}"


def build_demand(shape: PoolSize) -> list[dict[str, AccountDemand]]:
    """Return each router's demand: one running request for every slot.

    Accounts run on a few routers each, as behind a load balancer that keeps
    callers at a router, with two to four requests waiting there.
    """
    rng = random.Random(1)
    demands: list[dict[str, AccountDemand]] = [
        {} for _ in range(shape.routers)
    ]
    for slot in range(shape.count_slots()):
        account = name_account(slot % shape.backlogged)
        router = demands[rng.randrange(shape.routers)]
        known = router.get(account, AccountDemand())
        router[account] = replace(
            known,
            running=known.running + 1,
            waiting=rng.randrange(2, 5),
            service_s=100 * rng.random(),
            finished=7,
            largest_s=2 * REQUEST_DURATION_S,
        )
    return demands


def build_schedule(
    shape: PoolSize, demands: list[dict[str, AccountDemand]]
) -> Schedule:
    """Return a schedule whose slots are all held where they run."""
    schedule = Schedule("pool")
    schedule.set_shares(
        {name_account(n): 1.0 + n % 3 for n in range(shape.configured)}, 0.0
    )
    for number in range(shape.workers):
        schedule.set_worker(
            f"worker-{number:05d}", shape.slots, f"z{number % ZONES}", True
        )
    slot = 0
    for number, demand in enumerate(demands):
        held: dict[str, int] = {}
        for _ in range(sum(entry.running for entry in demand.values())):
            worker = f"worker-{slot % shape.workers:05d}"
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
    """Return the demand after some time; only changed entries are kept.

    Each running request ends with the chance that fits its mean duration,
    and the waiting one that takes its place is followed by an arrival.
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


def measure_schedule(shape: PoolSize, seconds: int = 2) -> dict[str, float]:
    """Return state, processor time and messages of one pool's schedule.

    Returns
    -------
    dict of str to float
        `state_bytes`; for a second of reports `report_cpu_s`; for one plan
        `plan_cpu_s`; for the allocations of a plan `encode_cpu_s`,
        `allocation_bytes` and `allocations`.
    """
    demands = build_demand(shape)
    schedule, state = measure_bytes(lambda: build_schedule(shape, demands))
    assert isinstance(schedule, Schedule)
    rng = random.Random(2)
    # The first allocations hold all slots and names; they aren't counted.
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
                lambda c=changes, n=now: _report(schedule, c, n), 1
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


def _report(
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
                "pool", a, sent.get(name), names[name]
            ).ByteSize()
            for name, a in changed.items()
        )

    cpu = time_cpu(run, 1)
    return {
        "encode_cpu_s": cpu,
        "allocation_bytes": float(sum(sizes)),
        "allocations": float(len(sizes)),
    }


# ---- the router's side -----------------------------------------------------


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
        Requests that wait for each active account.
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
    """Return the shares and bounds that all pools of a router use."""
    names = [name_account(number) for number in range(configured)]
    shares = {name: 1.0 + place % 3 for place, name in enumerate(names)}
    return shares, {name: QueueBounds() for name in names}


class RouterPool:
    """One pool at one router, driven on virtual time."""

    def __init__(self, load: RouterLoad, pool: str = "pool") -> None:
        self.load = load
        registry = Registry()
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
        """Start the requests that a slot is idle for."""
        while (start := self.dispatch.start_next(now)) is not None:
            self.running.append(start)

    def run_second(self, now: float, rng: random.Random) -> None:
        """End requests that are due and replace them in the queue."""
        ended = [
            s for s in self.running if rng.random() < 1 / REQUEST_DURATION_S
        ]
        for start in ended:
            self.running.remove(start)
            self.dispatch.finish(start, now)
            self.dispatch.submit(Ticket(start.ticket.client_account), now)
        self.start_ready(now)


def measure_router_pool(
    load: RouterLoad, seconds: int = 10
) -> dict[str, float]:
    """Return what control of one pool costs a router.

    Returns
    -------
    dict of str to float
        `state_bytes`; for a second `report_cpu_s` and `report_bytes`;
        `apply_cpu_s` of an allocation that changes every limit.
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

    def report(now: float) -> None:
        demands, slots = pool.dispatch.collect_report(now, full=False)
        message = codec.encode_report("pool", demands, slots, {}, names)
        sizes.append(len(message.SerializeToString()))

    for second in range(1, seconds + 1):
        now = float(second)
        pool.run_second(now, rng)
        spent.append(time_cpu(lambda n=now: report(n), 1))
    return {
        "state_bytes": state,
        "report_cpu_s": sum(spent) / seconds,
        "report_bytes": sum(sizes) / seconds,
        "apply_cpu_s": time_cpu(
            lambda: _apply_changed_limits(pool, seconds + 1.0)
        ),
    }


def measure_name_table(count: int) -> dict[str, float]:
    """Return the state that names keep at one end of a stream."""

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
    """Return the urgent reports that requests of idle accounts cause.

    The pool is contended, as at the peak, and each request comes from an
    account that has nothing waiting at this router. Requests come at even
    spacing; each waits until it gets the next slot that comes free.

    Parameters
    ----------
    requests : int
        Requests of such accounts at one router and pool, for each second.
    seconds : int, optional
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
