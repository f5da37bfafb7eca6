"""Resumed streams after workers with long queues have reset connections."""

from __future__ import annotations

import asyncio
import os
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

STREAMS = 24
# Short streams of the second tenant, as usual and while it is hot.
USUAL_RATE = 6.0
HOT_FACTOR = 7.5
HOT_S = 6.0
# The rule counts from this number of streams on.
MIN_STREAMS = 12
SERVICE = "asistente-llm"
SLOTS = 16
HOT_KEY = "asnmgkcuyj8pjbvk9m68"


async def play(record: Record, trouble: bool) -> bool:
    """Return whether the rule held."""
    fleet = Fleet(record)
    ingresses = {
        machine.name: Ingress(machine.ip, fleet.front)
        for machine in fleet.list("front")
    }
    workers = [
        Worker(
            fleet,
            f"worker-{n}",
            SERVICE,
            "v1",
            events=60,
            slots=SLOTS,
            home=n,
        )
        for n in range(1, 4)
    ]
    for worker in workers:
        worker.connection_limit = 100
        worker.long_queue = SLOTS // 2
        worker.short_prefix = "/saldo/"
        worker.short_events = 5
    try:
        await fleet.start_all()
        for ingress in ingresses.values():
            await ingress.start()
        routes = [
            build_route("itinerario", SERVICE),
            build_route("control-puerta", SERVICE, pathPrefix="/saldo/"),
        ]
        configuration = build_configuration(7, [SERVICE], routes)
        configuration["services"][0]["connectionLimit"] = 100
        configuration["tenants"].append(
            {"name": "hot", "apiKeys": [HOT_KEY], "priority": 1}
        )
        await submit(fleet, configuration)
        for worker in workers:
            await worker.start()
        await fleet.wait_ready(list(ingresses))
        # Machines are in touch after `stabilityWindowMs`.
        await asyncio.sleep(3.5)
        return await _play_streams(record, trouble, fleet, ingresses, workers)
    finally:
        for ingress in ingresses.values():
            await ingress.stop()
        for worker in workers:
            await worker.crash()
        await fleet.stop_all()


async def _play_streams(
    record: Record,
    trouble: bool,
    fleet: Fleet,
    ingresses: dict[str, Ingress],
    workers: list[Worker],
) -> bool:
    client = Client(record)
    streams = [Stream(f"old-{number}") for number in range(STREAMS)]
    tasks = []
    for number, stream in enumerate(streams):
        other = ingresses[f"front-{2 + number % 2}"].address
        addresses = [ingresses["front-1"].address, other, other]
        tasks.append(
            asyncio.ensure_future(client.run(stream, addresses, retries=2))
        )
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.0)
    is_hot = trouble and os.environ.get("HOT", "1") != "0"
    rate = USUAL_RATE * (HOT_FACTOR if is_hot else 1.0)
    if is_hot:
        record.note(f"hot_tenant: {rate:g} requests a second, {HOT_S:g} s")
    hot_client = Client(record, prefix="/saldo/", key=HOT_KEY)
    for number in range(int(rate * HOT_S)):
        address = ingresses[f"front-{1 + number % 3}"].address
        stream = Stream(f"short-{number}")
        tasks.append(
            asyncio.ensure_future(hot_client.run(stream, [address], 0))
        )
        await asyncio.sleep(1.0 / rate)
    if is_hot:
        record.note("hot_tenant: over")
    await asyncio.sleep(0.5)
    if trouble:
        record.note("node_kill: front-1 is killed")
        fleet.machines["front-1"].signal(signal.SIGKILL)
    await asyncio.sleep(0.2)
    new = [Stream(f"new-{number}") for number in range(STREAMS)]
    for number, stream in enumerate(new):
        address = ingresses[f"front-{2 + number % 2}"].address
        tasks.append(
            asyncio.ensure_future(client.run(stream, [address], retries=1))
        )
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    return _judge(record, streams, new, workers)


def _judge(
    record: Record,
    streams: list[Stream],
    new: list[Stream],
    workers: list[Worker],
) -> bool:
    resumed = [s for s in streams if len(s.attempts) > 1 and s.begun_by]
    going_on = [s for s in resumed if s.is_complete]
    begun = [s for s in new if s.events]
    resets = sum(worker.resets for worker in workers)
    text = (
        f"connections reset by workers: {resets}; streams taken up again: "
        f"{len(resumed)}, of which went on: {len(going_on)}; new streams: "
        f"{len(new)}, of which began: {len(begun)}"
    )
    record.note(text)
    print(text)
    if len(resumed) < MIN_STREAMS:
        return True
    share = len(going_on) / len(resumed)
    return share >= len(begun) / len(new) / 2


if __name__ == "__main__":
    run_case(FOLDER, play)
