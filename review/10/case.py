"""Streams of a router that loses power just before a release begins."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from fleetkit import (  # noqa: E402
    Client,
    Fleet,
    Ingress,
    Record,
    Stream,
    Worker,
    build_configuration,
    build_route,
    run_case,
    submit,
)

STREAMS = 20
# The rule counts from this number of streams on.
MIN_STREAMS = 12
DARK_S = 3.5


async def play(record: Record, trouble: bool) -> bool:
    """Return whether the rule held."""
    fleet = Fleet(record, fronts=7)
    ingresses = {
        machine.name: Ingress(machine.ip, fleet.front)
        for machine in fleet.list("front")
    }
    workers = [
        Worker(fleet, f"worker-{number}", "asistente-llm", "v1", home=number)
        for number in range(1, 4)
    ]
    new_worker = Worker(fleet, "worker-4", "asistente-llm", "v2", home=2)
    try:
        await fleet.start_all()
        for ingress in ingresses.values():
            await ingress.start()
        route = build_route("itinerario", "asistente-llm")
        await submit(fleet, build_configuration(7, ["asistente-llm"], [route]))
        for worker in workers:
            await worker.start()
        await fleet.wait_ready(list(ingresses))
        # Machines are in touch after `stabilityWindowMs`.
        await asyncio.sleep(3.5)
        return await _play_streams(
            record, trouble, fleet, ingresses, workers, new_worker
        )
    finally:
        for ingress in ingresses.values():
            await ingress.stop()
        for worker in [*workers, new_worker]:
            await worker.crash()
        await fleet.stop_all()


async def _play_streams(
    record: Record,
    trouble: bool,
    fleet: Fleet,
    ingresses: dict[str, Ingress],
    workers: list[Worker],
    new_worker: Worker,
) -> bool:
    client = Client(record)
    lost = ingresses["front-1"]
    first = [Stream(f"old-{number}") for number in range(STREAMS)]
    tasks = []
    for number, stream in enumerate(first):
        other = ingresses[f"front-{2 + number % 6}"]
        tasks.append(
            asyncio.ensure_future(
                client.run(
                    stream,
                    [lost.address, other.address],
                    retries=1,
                )
            )
        )
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.5)
    if trouble:
        tasks.append(asyncio.ensure_future(_lose_power(fleet, lost)))
    await asyncio.sleep(1.0)
    record.note("release: worker-4 replaces worker-3")
    await new_worker.start()
    await asyncio.sleep(0.5)
    workers[2].state = "draining"
    await workers[2].beat()
    await asyncio.sleep(0.5)
    new = [Stream(f"new-{number}") for number in range(STREAMS)]
    for number, stream in enumerate(new):
        address = ingresses[f"front-{2 + number % 6}"].address
        tasks.append(
            asyncio.ensure_future(client.run(stream, [address], retries=0))
        )
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    return _judge(record, first, new)


async def _lose_power(fleet: Fleet, ingress: Ingress) -> None:
    machine = fleet.machines["front-1"]
    fleet.record.note(f"node_kill (power): front-1, dark for {DARK_S:g} s")
    ingress.dark = True
    machine.signal(signal.SIGKILL)
    await asyncio.sleep(DARK_S)
    await fleet.start(machine)
    ingress.dark = False


def _judge(record: Record, first: list[Stream], new: list[Stream]) -> bool:
    resumed = [s for s in first if len(s.attempts) > 1 and s.begun_by]
    going_on = [s for s in resumed if s.is_complete]
    begun = [s for s in new if s.events]
    record.note(
        f"streams taken up again: {len(resumed)}, of which went on: "
        f"{len(going_on)}; new streams: {len(new)}, of which began: "
        f"{len(begun)}"
    )
    print(
        f"taken up again {len(resumed)}, went on {len(going_on)}; new "
        f"{len(new)}, began {len(begun)}"
    )
    if len(resumed) < MIN_STREAMS:
        return True
    share = len(going_on) / len(resumed)
    return share >= len(begun) / len(new) / 2


if __name__ == "__main__":
    run_case(FOLDER, play)
