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
from .checks import list_violations, read_runs
from .faults import Injector
from .fleet import CONTROLLERS, ROUTERS, Fleet
from .records import Records

START_TIMEOUT_S = 30.0
# From the last repair until everything must be served again.
RECOVERY_S = 12.0
FINAL_REQUESTS = 40
# Part of the final requests that must be answered; upstreams refuse a few.
FINAL_SHARE = 0.9
# Each run has ports of its own, below those that the system gives to
# outgoing connections.
FIRST_PORT = 10_000
PORTS = 64
MOST_RUNS_AT_A_TIME = 300


@dataclass(slots=True)
class Result:
    """What one run showed."""

    seed: int
    requests: int = 0
    answered: int = 0
    versions: int = 0
    faults: int = 0
    violations: list[str] = field(default_factory=list)

    def to_json(self) -> str:
        """Return the result as a line."""
        return json.dumps(
            {name: getattr(self, name) for name in self.__slots__}
        )


def run_seed(seed: int, seconds: float, folder: Path) -> Result:
    """Run one seed; settings, data, journals and logs go to a folder."""
    return anyio.run(_run, seed, seconds, folder)


async def _run(seed: int, seconds: float, folder: Path) -> Result:
    records = Records()
    result = Result(seed)
    async with anyio.create_task_group() as tasks:
        place = seed % MOST_RUNS_AT_A_TIME
        fleet = Fleet(folder, tasks, FIRST_PORT + place * PORTS)
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
                while len(callers.ready) < ROUTERS:
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
                await fleet.end()
        tasks.cancel_scope.cancel()
    runs = read_runs(folder / "runs.journal")
    result.violations += list_violations(records, runs, fleet)
    _write_faults(records, folder)
    result.requests = len(records.requests)
    result.answered = sum(
        r.status == 200 and r.whole for r in records.requests
    )
    result.versions = records.newest_acknowledged
    result.faults = len(records.harms)
    return result


async def _check_recovery(
    callers: Callers, operators: Operators, records: Records
) -> list[str]:
    """Check that a healed fleet takes versions and serves again."""
    violations = []
    with anyio.move_on_after(5.0):
        version = records.newest_submitted + 1
        if not await operators.submit(build_routing(version)):
            violations.append("a new version was refused after the recovery")
    if records.newest_acknowledged != records.newest_submitted:
        violations.append("no version was accepted after the recovery")
    for controller in range(CONTROLLERS):
        if await operators.read(controller) != records.newest_acknowledged:
            violations.append(
                f"controller {controller} didn't give the newest version "
                "after the recovery"
            )
    missing = set(range(ROUTERS)) - callers.ready
    if missing:
        violations.append(f"routers {missing} aren't ready")
        return violations
    before = len(records.requests)
    kinds = sorted(KINDS)
    for number in range(FINAL_REQUESTS):
        async with httpcore.AsyncConnectionPool() as pool:
            kind = kinds[number % len(kinds)]
            await callers.call(pool, number % ROUTERS, kind)
    final = records.requests[before:]
    served = sum(r.status == 200 and r.whole for r in final)
    if served < FINAL_REQUESTS * FINAL_SHARE:
        statuses = [(r.router, r.kind, r.status, r.body[:80]) for r in final]
        violations.append(
            f"only {served} of {FINAL_REQUESTS} requests were served after "
            f"the recovery: {statuses}"
        )
    return violations


def _write_faults(records: Records, folder: Path) -> None:
    """Keep the faults beside the logs; times are on the monotonic clock."""
    offset = time.time() - time.monotonic()
    lines = [
        f"{harm.from_s:.3f} {harm.until_s:.3f} {harm.kind} {harm.target}"
        for harm in records.harms
    ]
    text = f"unix time - monotonic time = {offset:.3f}\n" + "\n".join(lines)
    (folder / "faults.txt").write_text(text + "\n")
