"""A worker's farewell is lost with the only controller that took it."""

from __future__ import annotations

import asyncio
import os
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from fleet import BOUNDS, Fleet, Record
from runner import run
from stand_ins import (
    Operator,
    Request,
    Worker,
    build_document,
    build_request_headers,
    build_route,
    build_service,
)
from wire import call

# Time between the farewell and the kill of the two processes.
KILLED_AFTER_S = 0.5
# The router is started again after a short delay; the controller's machine
# stays dark for the usual length of a disruption (`kinds`: for_s is 5).
ROUTER_DOWN_S = 0.5
CONTROLLER_DOWN_S = 5.0
# A machine is in touch again this long after the start of its process.
STABILITY_S = float(BOUNDS["stabilityWindowMs"]) / 1000
DRAIN_S = float(BOUNDS["drainMs"]) / 1000
# The worker goes on to serve for `drainMs` "and a little longer (at times
# many seconds)".
# Then it ends, as the pages allow it at any time after `drainMs`.
ENDS_S = 4.6
REQUESTS = 20
SPACING_S = 0.03
# The site's requests of this kind take 60 ms on average and 450 ms at most.
WORK_S = 0.4


@dataclass(eq=False)
class LeavingWorker(Worker):
    """A worker that says farewell first and then serves for a while."""

    has_left: bool = False

    def build_headers(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer to a request that has run."""
        headers = super().build_headers(request)
        return headers | ({"Server-Leaving": "1"} if self.has_left else {})


async def send_requests(fleet: Fleet) -> None:
    """Send requests to the router that was restarted."""
    running = []
    for number in range(REQUESTS):
        headers = build_request_headers(f"request-{number}")
        sent = call(
            fleet.routers[0].front, "POST", "/note/1", headers, b"{}", 3.5
        )
        fleet.record.note("sent", id=f"request-{number}")
        running.append(asyncio.create_task(sent))
        await asyncio.sleep(SPACING_S)
    for number, task in enumerate(running):
        answer = await task
        fleet.record.note(
            "answered",
            id=f"request-{number}",
            answer=answer.status or answer.error,
        )


async def main() -> int:
    """Run the case; return its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).with_name("record.txt"))
    fleet = Fleet(record, controllers=3, routers=2)
    workers = [
        LeavingWorker(
            fleet,
            f"worker-{number}",
            "app",
            (f"127.0.{fleet.net}.{200 + number}", fleet.ports["worker"]),
            work_s=WORK_S,
        )
        for number in (1, 2)
    ]
    leaving = workers[0]
    controller = fleet.controllers[0]
    router = fleet.routers[0]
    document = build_document(
        [build_route("note", "app", "non_idempotent", maxAttempts=1)],
        [build_service("app")],
    )
    operator = Operator(fleet, document)
    try:
        await fleet.start()
        if await operator.replace() is None:
            return 2
        for worker in workers:
            await worker.start()
        if not await fleet.wait_until_ready():
            return 2
        # The heartbeats have come to all controllers by now.
        await asyncio.sleep(6.0)
        leaving.stop_heartbeats()
        # Its last heartbeat goes to another controller.
        last = leaving.describe()
        if not await leaving.tell(fleet.controllers[1], "Heartbeat", last):
            return 2
        await asyncio.sleep(0.2)
        leaving.has_left = True
        farewell = {"born": leaving.born}
        if not await leaving.tell(controller, "Deregister", farewell):
            return 2
        taken_at = record.now()
        await asyncio.sleep(KILLED_AFTER_S)
        returning = None
        if trouble:
            await asyncio.gather(controller.kill(), router.kill())
            killed_at = record.now()
            await asyncio.sleep(ROUTER_DOWN_S)
            await router.start()
            restarted_at = record.now()

            async def bring_back() -> None:
                await asyncio.sleep(
                    killed_at + CONTROLLER_DOWN_S - record.now()
                )
                await controller.start()

            returning = asyncio.create_task(bring_back())
        else:
            restarted_at = record.now()
        # All machines that run are in touch again.
        await asyncio.sleep(restarted_at + STABILITY_S + 0.1 - record.now())
        record.note("in-touch", ready=await router.is_ready())

        async def end() -> None:
            await asyncio.sleep(taken_at + ENDS_S - record.now())
            leaving.crash()

        ending = asyncio.create_task(end())
        await send_requests(fleet)
        await ending
        late = [
            (at, id) for at, _, id in leaving.runs if at > taken_at + DRAIN_S
        ]
        record.note("result", reached_the_leaving_worker=len(late))
        print(f"{len(late)} of {REQUESTS} requests reached the worker")
        if returning is not None:
            await returning
        return int(bool(late))
    finally:
        for worker in workers:
            worker.stop_heartbeats()
        await fleet.close()


if __name__ == "__main__":
    run(main)
