"""One run of the soak: start, faults, recovery, checks."""

from __future__ import annotations

import json
import random
import time
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpcore

from .callers import KINDS, Callers, Operators, build_routing
from .checks import list_violations, read_executions
from .faults import Injector
from .fleet import CONTROLLERS, CRASHED_S, ROUTERS, Fleet
from .records import Records

START_TIMEOUT_S = 30.0
# The fleet must serve everything again this long after the last fault.
RECOVERY_S = 12.0
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
        return json.dumps(
            {name: getattr(self, name) for name in self.__slots__}
        )


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
        If the fleet isn't ready within `START_TIMEOUT_S`, or if the soak
        itself fails.
    """
    return anyio.run(_run, seed, seconds, folder)


async def _run(seed: int, seconds: float, folder: Path) -> Result:
    records = Records()
    result = Result(seed)
    async with anyio.create_task_group() as tasks:
        port_block = seed % MAX_CONCURRENT_RUNS
        fleet = Fleet(folder, tasks, FIRST_PORT + port_block * PORTS_PER_RUN)
        callers = Callers(fleet, records, random.Random(f"callers {seed}"))
        operators = Operators(
            fleet, records, random.Random(f"operators {seed}")
        )
        injector = Injector(fleet, records, random.Random(f"faults {seed}"))
        try:
            await fleet.start_all()
            tasks.start_soon(callers.watch_readiness)
            with anyio.fail_after(START_TIMEOUT_S):
                await operators.submit(build_routing(1))
                while len(callers.ready_routers) < ROUTERS:
                    await anyio.sleep(0.05)
            async with anyio.create_task_group() as load:
                load.start_soon(callers.run)
                load.start_soon(operators.submit_repeatedly)
                load.start_soon(operators.read_repeatedly)
                await injector.run(seconds)
                callers.stopping = operators.stopping = True
            await anyio.sleep(RECOVERY_S)
            operators.stopping = False
            result.violations += await _check_recovery(
                callers, operators, records
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


async def _check_recovery(
    callers: Callers, operators: Operators, records: Records
) -> list[str]:
    """Check that the fleet accepts versions and serves after the faults."""
    violations = []
    callers.wants_whole = True
    with anyio.move_on_after(5.0):
        version = records.newest_submitted + 1
        if not await operators.submit(build_routing(version)):
            violations.append(
                "a new version was not accepted after the recovery"
            )
    if records.newest_acknowledged != records.newest_submitted:
        violations.append(
            "the newest version was not accepted after the recovery"
        )
    for controller in range(CONTROLLERS):
        if await operators.read(controller) != records.newest_acknowledged:
            violations.append(
                f"controller {controller} didn't return the newest version "
                "after the recovery"
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
