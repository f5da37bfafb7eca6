"""One run of the soak: start, faults, recovery, checks."""

from __future__ import annotations

import json
import random
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path

import anyio
import httpcore

from .additions import Additions, find_wrong_counts
from .callers import KINDS, Callers, Operators, build_routing
from .checks import list_violations, read_executions
from .faults import Injector
from .fleet import CRASHED_S, RECOVERY_S, ROUTERS, Fleet
from .plan import draw_plan
from .records import Records
from .starts import Starter

FINAL_REQUESTS = 40
# Streams that are begun after the recovery and resumed at other routers.
RESUMED_STREAMS = 12
# At least this fraction of the final requests must succeed, since upstreams
# refuse a few.
MIN_SERVED_FRACTION = 0.9
# Each run has its own ports, below the system's range of ephemeral ports.
FIRST_PORT = 10_000
PORTS_PER_RUN = 64
MAX_CONCURRENT_RUNS = 300


@dataclass(slots=True)
class Result:
    """The result of one run; the attributes are the keys of its JSON line.

    Attributes
    ----------
    seed : int
    requests : int
        Requests sent.
    answered : int
        Requests with a complete response of status 200.
    versions : int
        Newest routing version that a controller acknowledged.
    faults : int
        Faults injected, counted for each process that they affected.
    violations : list of str
        Descriptions of the broken promises.
    """

    seed: int
    requests: int = 0
    answered: int = 0
    versions: int = 0
    faults: int = 0
    violations: list[str] = field(default_factory=list)

    def to_json(self) -> str:
        """Return the result as a line of JSON."""
        return json.dumps(asdict(self))


def run_seed(seed: int, seconds: float, folder: Path) -> Result:
    """Run one seed and check the result.

    Parameters
    ----------
    seed : int
    seconds : float
        How long faults are injected.
    folder : Path
        Folder for settings, data, journals and logs.

    Returns
    -------
    Result

    Raises
    ------
    ExceptionGroup
        If the soak itself fails.
    """
    return anyio.run(_run, seed, seconds, folder)


async def _run(seed: int, seconds: float, folder: Path) -> Result:
    records = Records()
    result = Result(seed)
    async with anyio.create_task_group() as tasks:
        start_rng = random.Random(f"start {seed}")
        first_port = FIRST_PORT + seed % MAX_CONCURRENT_RUNS * PORTS_PER_RUN
        fleet = Fleet(
            folder,
            tasks,
            first_port,
            start_rng.choice((3, 5)),
            draw_plan(seed),
        )
        callers = Callers(fleet, records, random.Random(f"callers {seed}"))
        operators = Operators(
            fleet, records, random.Random(f"operators {seed}")
        )
        additions = Additions(fleet, records, callers, seed)
        starter = Starter(fleet, records, start_rng)
        injector = Injector(
            fleet, records, starter, random.Random(f"faults {seed}")
        )
        try:
            tasks.start_soon(callers.watch_readiness)
            tasks.start_soon(
                operators.submit, build_routing(1, plan=fleet.plan)
            )
            async with anyio.create_task_group() as start:
                start.start_soon(starter.start_fleet)
                start.start_soon(injector.wipe_early)
            result.violations += await _check_start(
                callers, operators, records
            )
            if not result.violations:
                await _disturb(
                    callers, operators, injector, additions, seconds
                )
                if fleet.plan.evacuates:
                    result.violations += await _check_zones(
                        callers, additions, records
                    )
                result.violations += await _check_recovery(
                    callers, operators, records, fleet
                )
        finally:
            with anyio.CancelScope(shield=True):
                await fleet.kill_all()
        tasks.cancel_scope.cancel()
    executions = read_executions(folder / "runs.journal")
    result.violations += list_violations(records, executions, fleet)
    _write_faults(records, folder)
    result.requests = len(records.requests)
    result.answered = sum(
        r.status == 200 and r.complete for r in records.requests
    )
    result.versions = records.newest_acknowledged
    result.faults = len(records.faults)
    return result


async def _check_start(
    callers: Callers, operators: Operators, records: Records
) -> list[str]:
    """Check that the fleet serves in time, as all its processes run."""
    with anyio.move_on_after(RECOVERY_S):
        while (
            not await operators.read()
            or not records.newest_acknowledged
            or len(callers.ready_routers) < ROUTERS
        ):
            await anyio.sleep(0.05)
        return []
    return [
        f"{RECOVERY_S:g} s after the first start, version "
        f"{records.newest_acknowledged} is acknowledged, "
        f"{len(records.reads)} reads of it succeeded and routers "
        f"{callers.ready_routers} are ready"
    ]


async def _disturb(
    callers: Callers,
    operators: Operators,
    injector: Injector,
    additions: Additions,
    seconds: float,
) -> None:
    """Inject faults under load, and let the fleet recover."""
    async with anyio.create_task_group() as load:
        load.start_soon(callers.run)
        load.start_soon(operators.submit_repeatedly)
        load.start_soon(operators.read_repeatedly)
        load.start_soon(additions.run)
        await injector.run(seconds)
        callers.stopping = operators.stopping = additions.stopping = True
    await anyio.sleep(RECOVERY_S)
    operators.stopping = additions.stopping = False


async def _check_zones(
    callers: Callers, additions: Additions, records: Records
) -> list[str]:
    """Check the evacuated zones, and that the evacuation can be ended."""
    counts = await additions.read_counts()
    violations = find_wrong_counts(records.orders, counts)
    for number in range(4 * ROUTERS):
        # That none reaches the zone is checked with all other requests.
        await callers.send_ordinary(number % ROUTERS)
    accepted = False
    with anyio.move_on_after(5.0):
        accepted = await additions.order(evacuated=False)
    if not accepted:
        violations.append(
            "the end of an evacuation was not accepted after the recovery"
        )
    return violations


async def _check_recovery(
    callers: Callers, operators: Operators, records: Records, fleet: Fleet
) -> list[str]:
    """Check that the fleet accepts versions and serves after the faults."""
    violations = []
    callers.wants_whole = True
    # Whether what they return is old is checked with all other reads.
    if not any([await operators.read(name) for name in fleet.controllers]):
        violations.append(
            f"version {records.newest_acknowledged}, the newest acknowledged "
            "one, was read back from no controller after the recovery"
        )
    with anyio.move_on_after(5.0):
        version = records.newest_submitted + 1
        if not await operators.submit(build_routing(version, plan=fleet.plan)):
            violations.append(
                "a new version was not accepted after the recovery"
            )
    if records.newest_acknowledged != records.newest_submitted:
        violations.append(
            "the newest version was not accepted after the recovery"
        )
    for name in fleet.controllers:
        if await operators.read(name) != records.newest_acknowledged:
            violations.append(
                f"{name} didn't return the newest version after the recovery"
            )
    not_ready = set(range(ROUTERS)) - callers.ready_routers
    if not_ready:
        violations.append(f"routers {not_ready} aren't ready")
        return violations
    violations += await _check_resumption(callers)
    for number in range(2 * ROUTERS):
        # Whether they are blocked is checked with all other requests.
        await callers.send_crashing(number % ROUTERS)
        await callers.send_repeated(number % ROUTERS)
        await anyio.sleep(CRASHED_S)
    before = len(records.requests)
    kinds = sorted(KINDS)
    for number in range(FINAL_REQUESTS):
        async with httpcore.AsyncConnectionPool() as pool:
            kind = kinds[number % len(kinds)]
            await callers.send_request(pool, number % ROUTERS, kind)
    final = records.requests[before:]
    served = sum(r.status == 200 and r.complete for r in final)
    if served < FINAL_REQUESTS * MIN_SERVED_FRACTION:
        statuses = [(r.router, r.kind, r.status, r.body[:80]) for r in final]
        violations.append(
            f"only {served} of {FINAL_REQUESTS} requests were served after "
            f"the recovery: {statuses}"
        )
    return violations


async def _check_resumption(callers: Callers) -> list[str]:
    """Check that streams can be continued at other routers."""
    began = [
        await callers.begin_stream(number % ROUTERS, events=2)
        for number in range(RESUMED_STREAMS)
    ]
    began = [request for request in began if request.count_events() >= 2]
    resumed = [await callers.resume(request) for request in began]
    served = sum(r.status == 200 for r in resumed)
    # Half of the share of new streams that begin.
    if 2 * served * RESUMED_STREAMS < len(began) * len(resumed):
        return [
            f"only {served} of {len(resumed)} streams were continued, of "
            f"{RESUMED_STREAMS} that were to begin: "
            f"{[(r.router, r.status, r.body[:80]) for r in resumed]}"
        ]
    return []


def _write_faults(records: Records, folder: Path) -> None:
    """Write the faults to faults.txt, with times on the monotonic clock."""
    offset = time.time() - time.monotonic()
    lines = [
        f"{fault.started_at:.3f} {fault.affects_until:.3f} "
        f"{fault.kind} {fault.target}"
        for fault in records.faults
    ]
    text = f"unix time - monotonic time = {offset:.3f}\n" + "\n".join(lines)
    (folder / "faults.txt").write_text(text + "\n")
