"""Faults of whole processes under load: killed, frozen, stopped."""

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

SILENCE_S = 1.0
CALLERS = 48
WORKERS = 2
SLOTS = 8
_LEADER = re.compile(r"leader in term (\d+)")


@dataclass(slots=True)
class Result:
    """What a scenario showed.

    Attributes
    ----------
    callers : Callers
    violations : Violations
    drains_s : list of float
        Time of each planned stop.
    exit_codes : list of int
    """

    callers: Callers
    violations: Violations = field(default_factory=Violations)
    drains_s: list[float] = field(default_factory=list)
    exit_codes: list[int] = field(default_factory=list)


Fault = Callable[[LocalFleet, Result], Awaitable[None]]


async def kill_upstream(fleet: LocalFleet, result: Result) -> None:
    """Kill one upstream of each pool in the middle of requests."""
    for pool in (MODEL, SERVICE):
        fleet.processes[f"{pool}-0"].kill()
        await anyio.sleep(0.7)


async def freeze_upstream(fleet: LocalFleet, result: Result) -> None:
    """Stop one upstream of each pool for longer than the silence limit."""
    frozen = [fleet.processes[f"{pool}-0"] for pool in (MODEL, SERVICE)]
    for process in frozen:
        process.send_signal(signal.SIGSTOP)
    await anyio.sleep(SILENCE_S * 3)
    for process in frozen:
        process.send_signal(signal.SIGCONT)
    await anyio.sleep(0.5)


async def kill_router(fleet: LocalFleet, result: Result) -> None:
    """Kill a router, and start it again without state."""
    fleet.kill("host-2")
    await anyio.sleep(0.5)
    fleet.start_host(2)
    await anyio.sleep(2.5)


async def freeze_router(fleet: LocalFleet, result: Result) -> None:
    """Stop a router for longer than its lease, and wake it."""
    fleet.processes["host-2"].send_signal(signal.SIGSTOP)
    await anyio.sleep(4.0)
    fleet.processes["host-2"].send_signal(signal.SIGCONT)
    await anyio.sleep(1.0)


async def lose_lead_controller(fleet: LocalFleet, result: Result) -> None:
    """Kill the host whose controller leads."""
    fleet.kill(find_leader(fleet))
    await anyio.sleep(5.0)


async def stop_each_router(fleet: LocalFleet, result: Result) -> None:
    """Stop each router in turn as planned, and start it again."""
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


# In an order in which they can follow each other on one fleet.
FAULTS: dict[str, Fault] = {
    "upstream frozen": freeze_upstream,
    "router frozen": freeze_router,
    "router killed": kill_router,
    "router stopped": stop_each_router,
    "upstream killed": kill_upstream,
    "lead controller lost": lose_lead_controller,
}


def find_leader(fleet: LocalFleet) -> str:
    """Return the host that became the leader last, by the logs."""
    terms = {}
    for number in range(fleet.controllers):
        found = _LEADER.findall(fleet.read_log(f"host-{number}"))
        terms[f"host-{number}"] = max(map(int, found), default=0)
    return max(terms, key=lambda host: terms[host])


@contextmanager
def run_fleet(folder: Path) -> Iterator[LocalFleet]:
    """Run three hosts with routers and controllers, and upstreams."""
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
    """Run callers against a fleet of processes while a fault happens."""
    result = Result(Callers(fleet, MODEL, SERVICE, f"{fault}-{seed}"))
    anyio.run(_run, fleet, fault, result)
    journals = fleet.folder.glob("*.journal")
    result.callers.check_records(journals, result.violations)
    return result


def start_upstreams(fleet: LocalFleet) -> None:
    """Start fake upstreams of both pools, which append to journals."""
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
