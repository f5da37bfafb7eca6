"""Heartbeats whose bytes can't be read, sent to the control address."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from fleet import Fleet, Record
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

# A heartbeat with bytes in its `version` that aren't UTF-8.
UNREADABLE = (
    b'{"service":"other","address":"%s:9","zone":"zone-a","version":"'
    b'\xed\xa0\x80","slots":4,"state":"ready","coldRemainingMs":0,'
    b'"born":1796450000000,"sequence":%d}'
)
HEARTBEAT_S = 1.2
HEARTBEATS = 12
# RULES.md, Fault: processes that end by themselves three times in the day, on
# half of the core.
MOST_EXITS = 3


async def send_unreadable(fleet: Fleet) -> None:
    """Send the other program's heartbeats to the controllers in turn."""
    for number in range(1, HEARTBEATS + 1):
        for machine in fleet.controllers:
            body = UNREADABLE % (machine.ip.encode(), number)
            path = "/Instances.Heartbeat/other-1"
            answer = await call(machine.control, "POST", path, {}, body)
            fleet.record.note(
                "unreadable-heartbeat",
                to=machine.name,
                answer=answer.status or answer.error,
            )
        await asyncio.sleep(HEARTBEAT_S)


async def send_requests(fleet: Fleet, counts: dict[int, int]) -> None:
    """Send a client's requests until cancelled."""
    number = 0
    while True:
        number += 1
        router = fleet.routers[number % len(fleet.routers)]
        headers = build_request_headers(f"request-{number}")
        answer = await call(
            router.front, "GET", "/read/1", headers, timeout_s=3.5
        )
        counts[answer.status] = counts.get(answer.status, 0) + 1
        fleet.record.note(
            "answered",
            id=f"request-{number}",
            answer=answer.status or answer.error,
        )
        await asyncio.sleep(0.1)


async def main() -> int:
    """Run the case; return its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).with_name("record.txt"))
    fleet = Fleet(record, controllers=3, routers=2)
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
        counts: dict[int, int] = {}
        client = asyncio.create_task(send_requests(fleet, counts))
        if trouble:
            await send_unreadable(fleet)
        else:
            await asyncio.sleep(HEARTBEATS * HEARTBEAT_S)
        ack_s = await operator.replace(timeout_s=4.0)
        client.cancel()
        exits = {m.name: len(m.unasked_exits) for m in fleet.machines}
        record.note("result", exits=exits, answers=counts, ack_s=ack_s)
        print(f"exits {exits}, answers {counts}, acknowledged after {ack_s}")
        often = [
            m for m in fleet.controllers if len(m.unasked_exits) >= MOST_EXITS
        ]
        return int(2 * len(often) >= len(fleet.controllers))
    finally:
        worker.stop_heartbeats()
        await fleet.close()


if __name__ == "__main__":
    run(main)
