"""Clients take streams up again after two controllers were replaced."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from fleet import BOUNDS, Fleet, Machine, Record
from runner import run
from stand_ins import Operator, Worker, build_document
from streams import STREAM_ROUTE, STREAM_SERVICE, StreamClient

STREAMS = 24
EVENTS = 40
REPLACED = 2
# A successor starts this long after its machine has gone.
SUCCESSOR_AFTER_S = 1.0
# Time between two replacements; the successor has had `catchUpS` long before.
SPACING_S = 11.0
# The site has node_kill for up to 3.5 s.
ROUTER_DOWN_S = 2.0
STABILITY_S = float(BOUNDS["stabilityWindowMs"]) / 1000
# RULES.md on LOST: the share that goes on is under half of the share of new
# streams that begin.
LEAST_FRACTION = 0.5


async def replace_machine(fleet: Fleet, number: int) -> None:
    """Remove one controller for good and start another one elsewhere."""
    gone = fleet.controllers.pop(0)
    await gone.kill()
    await asyncio.sleep(SUCCESSOR_AFTER_S)
    successor = Machine(fleet, f"core-{number}", "core", number)
    successor.first_start = False
    fleet.controllers.append(successor)
    await successor.start()


async def run_streams(
    clients: list[StreamClient], end_router: Machine | None = None
) -> None:
    """Run streams; the router is killed while they run."""
    running = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(1.5)
    if end_router is not None:
        await end_router.kill()
        await asyncio.sleep(ROUTER_DOWN_S)
        await end_router.start()
    await asyncio.wait(running, timeout=20.0)


async def main() -> int:
    """Run the case; return its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).with_name("record.txt"))
    fleet = Fleet(record, controllers=5, routers=3)
    workers = [
        Worker(
            fleet,
            f"worker-{number}",
            "model",
            (f"127.0.{fleet.net}.{200 + number}", fleet.ports["worker"]),
            slots=64,
            events=EVENTS,
        )
        for number in (1, 2)
    ]
    document = build_document([STREAM_ROUTE], [STREAM_SERVICE])
    operator = Operator(fleet, document)
    try:
        await fleet.start()
        if await operator.replace() is None:
            return 2
        for worker in workers:
            await worker.start()
        if not await fleet.wait_until_ready():
            return 2
        await asyncio.sleep(5.0)
        for number in range(REPLACED if trouble else 0):
            if number:
                await asyncio.sleep(SPACING_S)
            await replace_machine(fleet, 6 + number)
        # The core is stable again, and all routers are in touch.
        await asyncio.sleep(STABILITY_S + 0.5)
        # The streams begin at the first router and go on at the others.
        cut = [
            StreamClient(fleet, n, [0, 1 + n % 2, 2 - n % 2], EVENTS)
            for n in range(STREAMS)
        ]
        await run_streams(cut, fleet.routers[0])
        new = [
            StreamClient(fleet, 100 + n, [1 + n % 2], EVENTS)
            for n in range(STREAMS)
        ]
        await run_streams(new)
        resumed = [client for client in cut if client.resumed]
        went_on = sum(client.went_on for client in resumed)
        began = sum(client.last_id > 0 for client in new)
        record.note(
            "result", taken_up=len(resumed), went_on=went_on, began=began
        )
        print(
            f"{went_on} of {len(resumed)} streams went on, {began} of "
            f"{STREAMS} new ones began"
        )
        if len(resumed) < 12:
            return 2
        share = went_on / len(resumed)
        return int(share < LEAST_FRACTION * began / STREAMS)
    finally:
        for worker in workers:
            worker.stop_heartbeats()
        await fleet.close()


if __name__ == "__main__":
    run(main)
