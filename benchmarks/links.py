"""Loads for the stream between routers and controllers, at any size."""

from __future__ import annotations

from dataclasses import dataclass
from typing import cast

import anyio
import grpc.aio
import logbook

from hornbeamyard.messages import fleet_pb2, fleet_pb2_grpc
from hornbeamyard.process.controller import AttachedRouter, Controller
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.version.configuration import EMPTY_DOCUMENT
from hornbeamyard.version.replica import Replica

from .control import FakeReplica
from .fit import time_cpu


@dataclass(slots=True)
class Links:
    """A controller with attached routers and announced upstreams."""

    controller: Controller
    timers: VirtualTimers
    routers: list[AttachedRouter]


def name_router(number: int) -> str:
    """Return the name of a router's host."""
    return f"router-{number:05d}"


def build_links(routers: int) -> Links:
    """Return a controller with attached routers."""
    timers = VirtualTimers()
    replica = FakeReplica(EMPTY_DOCUMENT, term=1)
    controller = Controller(cast(Replica, replica), timers)
    attached = []
    for number in range(routers):
        report = fleet_pb2.RouterReport(
            identity=fleet_pb2.Identity(host=name_router(number)),
            availability_zone="z0",
            full=True,
        )
        attached.append(controller.attach(report))
    return Links(controller, timers, attached)


def announce_workers(links: Links, workers: int) -> None:
    """Announce workers for the first time, each through some router."""
    reports = [fleet_pb2.RouterReport() for _ in links.routers]
    allowed = links.controller.replica.state.configuration.upstreams
    for number in range(workers):
        name = f"worker-{number:05d}"
        allowed[name] = []
        reports[number % len(reports)].announcements.add(
            upstream=name,
            address=f"http://10.0.{number >> 8}.{number & 255}:9000",
            availability_zone=f"z{number % 7}",
            pool=f"pool-{number % 27:02d}",
            slots=119,
            lease_ms=3000,
            incarnation=1 << 40,
        )
    for router, report in zip(links.routers, reports, strict=True):
        links.controller.handle_report(router, report)


def repeat_heartbeats(links: Links, workers: int) -> float:
    """Pass one unchanged heartbeat of each worker on; return its bytes."""
    reports = [fleet_pb2.RouterReport() for _ in links.routers]
    for number in range(workers):
        reports[number % len(reports)].renewed.append(f"worker-{number:05d}")
    for router, report in zip(links.routers, reports, strict=True):
        links.controller.handle_report(router, report)
    return sum(report.ByteSize() for report in reports) / len(reports)


def measure_links(routers: int, workers: int) -> dict[str, float]:
    """Return what a second of heartbeats costs while nothing else changes.

    Returns
    -------
    dict of str to float
        `report_bytes` sent by and `update_bytes` sent to each router,
        `cpu_s` of the controller, and `attach_bytes` of the first update of
        a router.
    """
    with logbook.NullHandler().applicationbound():
        links = build_links(routers)
        announce_workers(links, workers)
        first = [
            links.controller.build_update(router, 1).ByteSize()
            for router in links.routers
        ]
        sizes: list[int] = []
        reported: list[float] = []

        def run() -> None:
            reported.append(repeat_heartbeats(links, workers))
            sizes.extend(
                links.controller.build_update(router, 2).ByteSize()
                for router in links.routers
            )

        cpu = time_cpu(run, 1)
    return {
        "report_bytes": sum(reported),
        "update_bytes": sum(sizes) / routers,
        "cpu_s": cpu,
        "attach_bytes": float(first[-1]),
    }


# ---- processor time of the gRPC library for each stream ---------------------


class _Echo(fleet_pb2_grpc.FleetServicer):
    async def Attach(self, requests, context):  # noqa: N802
        async for report in requests:
            yield fleet_pb2.ControllerUpdate(
                epoch=1, lease_ms=3000, sequence=report.sequence
            )


async def _serve_echo(address: str) -> None:
    server = grpc.aio.server()
    fleet_pb2_grpc.add_FleetServicer_to_server(_Echo(), server)
    server.add_insecure_port(address)
    await server.start()
    await server.wait_for_termination()


async def _run_streams(
    address: str, streams: int, messages: int, spacing_s: float
) -> float:
    """Return the processor time of open streams, in seconds."""

    async def run_stream() -> None:
        async with grpc.aio.insecure_channel(address) as channel:
            stream = fleet_pb2_grpc.FleetStub(channel).Attach()
            for sequence in range(messages):
                await stream.write(fleet_pb2.RouterReport(sequence=sequence))
                await stream.read()
                await anyio.sleep(spacing_s)
            await stream.done_writing()

    async with anyio.create_task_group() as tasks:
        for _ in range(streams):
            tasks.start_soon(run_stream)
    return 0.0


def measure_streams(
    address: str, streams: int, spacing_s: float = 0.1
) -> dict[str, float]:
    """Return the router's processor time for a report and an update.

    The time of opening the streams drops out, as the difference between a
    long and a short run.
    """
    counts = (5, 35)
    spent = [
        time_cpu(
            lambda n=n: anyio.run(
                _run_streams, address, streams, n, spacing_s
            ),
            1,
        )
        for n in counts
    ]
    return {"exchange_cpu_s": (spent[1] - spent[0]) / (counts[1] - counts[0])}


def serve_echo(address: str) -> None:
    """Answer each report with an empty update until killed."""
    anyio.run(_serve_echo, address)
