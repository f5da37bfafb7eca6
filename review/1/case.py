"""A controller is replaced for good, then two others lose their disks."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from fleet import BOUNDS, Fleet, Machine, Record
from runner import run
from stand_ins import (
    Operator,
    Worker,
    build_document,
    build_request_headers,
    build_route,
    build_service,
)
from wire import call

# The successor starts this long after the machine has gone.
SUCCESSOR_AFTER_S = 1.0
DOWN_S = 1.0
# Added to `catchUpS`, for the time in which the successor's process starts.
MARGIN_S = 0.3
# The configuration is read back for this long after `recoveryS`.
READING_S = 30.0
CATCH_UP_S = float(BOUNDS["catchUpS"])
RECOVERY_S = float(BOUNDS["recoveryS"])


async def replace_machine(fleet: Fleet) -> None:
    """Remove one controller for good and start another one elsewhere."""
    gone = fleet.controllers.pop()
    await gone.kill()
    await asyncio.sleep(SUCCESSOR_AFTER_S)
    successor = Machine(fleet, "core-6", "core", 6)
    successor.first_start = False
    fleet.controllers.append(successor)
    await successor.start()


async def lose_disk(machine: Machine) -> None:
    """Kill a controller, empty its disk and start it again."""
    await machine.kill()
    machine.wipe()
    machine.fleet.record.note("disk-lost", machine=machine.name)
    await asyncio.sleep(DOWN_S)
    await machine.start()


async def read_back(
    fleet: Fleet, operator: Operator, timeout_s: float
) -> int | None:
    """Return the highest version that any controller reads back."""
    deadline = fleet.record.now() + timeout_s
    newest = None
    while fleet.record.now() < deadline:
        for machine in fleet.controllers:
            version = await operator.read(machine)
            fleet.record.note(
                "read-back", of=machine.name, version=version or "none"
            )
            if version is not None:
                newest = max(newest or 0, version)
        if newest is not None:
            return newest
        await asyncio.sleep(0.5)
    return newest


async def main() -> int:
    """Run the case; return its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).with_name("record.txt"))
    fleet = Fleet(record, controllers=5, routers=2)
    worker = Worker(
        fleet,
        "worker-1",
        "app",
        (f"127.0.{fleet.net}.201", fleet.ports["worker"]),
    )
    document = build_document(
        [build_route("read", "app", "idempotent")], [build_service("app")]
    )
    operator = Operator(fleet, document)
    try:
        await fleet.start()
        if await operator.replace() is None:
            return 2
        await worker.start()
        if not await fleet.wait_until_ready():
            return 2
        # The machines have run for longer than `catchUpS`.
        await asyncio.sleep(6.0)
        if trouble:
            await replace_machine(fleet)
            await asyncio.sleep(CATCH_UP_S + MARGIN_S)
        # The new version has one more route.
        document["routes"].append(build_route("late", "app", "idempotent"))
        ack_s = await operator.replace()
        if ack_s is None:
            return 2
        if trouble:
            await asyncio.gather(*map(lose_disk, fleet.controllers[:2]))
            await asyncio.sleep(RECOVERY_S)
        newest = await read_back(fleet, operator, READING_S)
        headers = build_request_headers("request-1")
        answer = await call(
            fleet.routers[0].front, "GET", "/late/1", headers, timeout_s=3.5
        )
        record.note("result", acknowledged=operator.version, read_back=newest)
        print(
            f"acknowledged {operator.version} after {ack_s:.1f} s, read back "
            f"{newest}; a request on its route gets "
            f"{answer.status or answer.error}"
        )
        return int(newest != operator.version)
    finally:
        worker.stop_heartbeats()
        await fleet.close()


if __name__ == "__main__":
    run(main)
