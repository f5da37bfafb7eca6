"""Scenarios in which processes are killed, frozen or stopped under load."""

from __future__ import annotations

import re
import signal
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from .callers import Callers
from .fault_matrix import Violations
from .fleet import LocalFleet
from .in_process import MODEL, SERVICE

# Setting `silence_s` of the routers.
SILENCE_S = 1.0
CALLERS = 48
WORKERS = 2
SLOTS = 8
_LEADER = re.compile(r"leader in term (\d+)")


@dataclass(slots=True)
class Result:
    """Result of a scenario.

    Attributes
    ----------
    callers : Callers
    violations : Violations
    drains_s : list of float
        Duration of each planned stop of a router.
    exit_codes : list of int
        Exit code of each router stopped as planned.
    """

    callers: Callers
    violations: Violations = field(default_factory=Violations)
    drains_s: list[float] = field(default_factory=list)
    exit_codes: list[int] = field(default_factory=list)


Fault = Callable[[LocalFleet, Result], Awaitable[None]]


async def kill_upstream(fleet: LocalFleet, result: Result) -> None:
    """Kill one upstream of each pool while it runs requests."""
    for pool in (MODEL, SERVICE):
        fleet.processes[f"{pool}-0"].kill()
        await anyio.sleep(0.7)


async def freeze_upstream(fleet: LocalFleet, result: Result) -> None:
    """Freeze one upstream of each pool for longer than the silence timeout."""
    frozen = [fleet.processes[f"{pool}-0"] for pool in (MODEL, SERVICE)]
    for process in frozen:
        process.send_signal(signal.SIGSTOP)
    await anyio.sleep(SILENCE_S * 3)
    for process in frozen:
        process.send_signal(signal.SIGCONT)
    await anyio.sleep(0.5)


async def kill_router(fleet: LocalFleet, result: Result) -> None:
    """Kill a router's host and restart it; the router loses its state."""
    fleet.kill("host-2")
    await anyio.sleep(0.5)
    fleet.start_host(2)
    await anyio.sleep(2.5)


async def freeze_router(fleet: LocalFleet, result: Result) -> None:
    """Freeze a router for longer than its lease, and resume it."""
    fleet.processes["host-2"].send_signal(signal.SIGSTOP)
    await anyio.sleep(4.0)
    fleet.processes["host-2"].send_signal(signal.SIGCONT)
    await anyio.sleep(1.0)


async def lose_lead_controller(fleet: LocalFleet, result: Result) -> None:
    """Kill the host of the lead controller."""
    fleet.kill(find_leader(fleet))
    await anyio.sleep(5.0)


async def stop_each_router(fleet: LocalFleet, result: Result) -> None:
    """Stop each router in turn as planned, and restart it."""
    for number in range(fleet.routers):
        process = fleet.processes[f"host-{number}"]
        started = time.monotonic()
        process.terminate()
        while process.poll() is None:
            await anyio.sleep(0.02)
        result.drains_s.append(time.monotonic() - started)
        result.exit_codes.append(process.returncode)
        fleet.start_host(number)
        await anyio.to_thread.run_sync(fleet.wait_ready)
        await anyio.sleep(0.5)


# The order matters: the last two faults leave processes down for the rest of
# the fleet's life.
FAULTS: dict[str, Fault] = {
    "upstream frozen": freeze_upstream,
    "router frozen": freeze_router,
    "router killed": kill_router,
    "router stopped": stop_each_router,
    "upstream killed": kill_upstream,
    "lead controller lost": lose_lead_controller,
}


def find_leader(fleet: LocalFleet) -> str:
    """Return the host that became leader in the highest term, by the logs."""
    terms = {}
    for number in range(fleet.controllers):
        found = _LEADER.findall(fleet.read_log(f"host-{number}"))
        terms[f"host-{number}"] = max(map(int, found), default=0)
    return max(terms, key=lambda host: terms[host])


@contextmanager
def run_fleet(folder: Path) -> Iterator[LocalFleet]:
    """Run three hosts, each with a router and a controller, and upstreams."""
    with LocalFleet(folder, routers=3, controllers=3) as fleet:
        fleet.router_options = {"silence_s": SILENCE_S}
        for number in range(fleet.routers):
            fleet.write_host_settings(number)
        fleet.start()
        pools = {MODEL: "model", SERVICE: "service"}
        fleet.configure(fleet.build_document(pools))
        start_upstreams(fleet)
        yield fleet


def run_scenario(fleet: LocalFleet, fault: str, seed: int) -> Result:
    """Run callers against a fleet while a fault happens; check the records."""
    result = Result(Callers(fleet, MODEL, SERVICE, f"{fault}-{seed}"))
    anyio.run(_run, fleet, fault, result)
    journals = fleet.folder.glob("*.journal")
    result.callers.check_records(journals, result.violations)
    return result


def start_upstreams(fleet: LocalFleet) -> None:
    """Start the fake upstreams of both pools, each with a journal file."""
    for pool, option in ((MODEL, "--token-s=0.01"), (SERVICE, "")):
        for number in range(WORKERS):
            journal = fleet.folder / f"{pool}-{number}.journal"
            arguments = [f"--journal={journal}", f"--slots={SLOTS}"]
            if pool == SERVICE:
                arguments.append("--unrepeatable")
            fleet.start_upstream(
                f"{pool}-{number}", pool, *arguments, *filter(None, [option])
            )


async def _run(fleet: LocalFleet, fault: str, result: Result) -> None:
    callers = result.callers
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(callers.run, CALLERS)
        with anyio.fail_after(15):
            while callers.count_answered() < 2 * CALLERS:
                await anyio.sleep(0.05)
        await FAULTS[fault](fleet, result)
        callers.stopping = True
