"""A configuration that can't be read as UTF-8 is sent."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from fleet import BOUNDS, Fleet, Record
from runner import run
from stand_ins import (
    ACCOUNT,
    Operator,
    Worker,
    build_document,
    build_request_headers,
    build_route,
    build_service,
)
from wire import Answer, call

# Written into the name of the tenant; no text in UTF-8 contains them.
UNREADABLE = b"\xed\xa0\x80"
APPLY_S = float(BOUNDS["configApplyMs"]) / 1000
REQUESTS = 20


async def send(fleet: Fleet, body: bytes) -> Answer:
    """Send a configuration until there is a clear answer."""
    headers = {"Content-Type": "application/json"}
    answer = Answer()
    for attempt in range(12):
        machine = fleet.controllers[attempt % len(fleet.controllers)]
        answer = await call(
            machine.control, "POST", "/Configuration.Replace", headers, body
        )
        fleet.record.note(
            "order",
            version=2,
            to=machine.name,
            answer=answer.status or answer.error,
        )
        if answer.status and answer.status < 500:
            return answer
        await asyncio.sleep(0.3)
    return answer


async def send_requests(fleet: Fleet) -> dict[int, int]:
    """Send proper requests of the tenant; count the answers by status."""
    counts: dict[int, int] = {}
    for number in range(REQUESTS):
        id = f"request-{number}"
        router = fleet.routers[number % len(fleet.routers)]
        answer = await call(
            router.front,
            "GET",
            "/read/1",
            build_request_headers(id),
            timeout_s=3.5,
        )
        counts[answer.status] = counts.get(answer.status, 0) + 1
        fleet.record.note(
            "answered", id=id, answer=answer.status or answer.error
        )
    return counts


async def main() -> int:
    """Run the case; return its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).with_name("record.txt"))
    fleet = Fleet(record, controllers=3, routers=2)
    address = (f"127.0.{fleet.net}.201", fleet.ports["worker"])
    worker = Worker(fleet, "worker-1", "app", address)
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
        before = await send_requests(fleet)
        body = json.dumps({"version": 2} | document).encode()
        if trouble:
            name = ACCOUNT.encode()
            body = body.replace(name, name + UNREADABLE)
        answer = await send(fleet, body)
        await asyncio.sleep(APPLY_S + 0.2)
        back = await call(
            fleet.controllers[0].control, "GET", "/Configuration.Read"
        )
        is_back = back.status == 200 and UNREADABLE in back.body
        after = await send_requests(fleet)
        record.note(
            "result",
            answer=answer.status,
            read_back_unreadable=is_back,
            before=before,
            after=after,
        )
        print(
            f"the configuration gets {answer.status}, unreadable bytes are "
            f"read back: {is_back}, answers before {before}, after {after}"
        )
        if not trouble:
            return 0 if answer.status == 200 and after == before else 2
        return int(answer.status == 200 or is_back)
    finally:
        worker.stop_heartbeats()
        await fleet.close()


if __name__ == "__main__":
    run(main)
