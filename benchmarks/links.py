"""Measures streams between routers and a controller at several sizes."""

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
    """A controller on virtual time and the routers attached to it."""

    controller: Controller
    timers: VirtualTimers
    routers: list[AttachedRouter]


def name_router(number: int) -> str:
    """Return the name of a router's host."""
    return f"router-{number:05d}"


def build_links(routers: int) -> Links:
    """Return a controller with some attached routers."""
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
    """Announce workers for the first time, spread over the routers."""
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
    """Report one unchanged heartbeat of each worker.

    Returns
    -------
    float
        Mean size of a router's report in bytes.
    """
    reports = [fleet_pb2.RouterReport() for _ in links.routers]
    for number in range(workers):
        reports[number % len(reports)].renewed.append(f"worker-{number:05d}")
    for router, report in zip(links.routers, reports, strict=True):
        links.controller.handle_report(router, report)
    return sum(report.ByteSize() for report in reports) / len(reports)


def measure_links(routers: int, workers: int) -> dict[str, float]:
    """Return the cost of one second of heartbeats without other changes.

    Returns
    -------
    dict of str to float
        Mean size of the report from each router (`report_bytes`) and of the
        update to it (`update_bytes`), processor time of the controller
        (`cpu_s`), and the size of a router's first update (`attach_bytes`).
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


# ---- processor time of the gRPC library for a stream ------------------------


class _EchoServicer(fleet_pb2_grpc.FleetServicer):
    """Answers each report with an update that carries its number."""

    async def Attach(self, requests, context):  # noqa: N802
        async for report in requests:
            yield fleet_pb2.ControllerUpdate(
                epoch=1, lease_ms=3000, sequence=report.sequence
            )


async def _serve_echo(address: str) -> None:
    server = grpc.aio.server()
    fleet_pb2_grpc.add_FleetServicer_to_server(_EchoServicer(), server)
    server.add_insecure_port(address)
    await server.start()
    await server.wait_for_termination()


async def _run_streams(
    address: str, streams: int, messages: int, spacing_s: float
) -> float:
    """Exchange reports and updates on several streams; return 0."""

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
    """Return the router's processor time for one report and one update.

    It is taken from the difference between a long and a short run, so that
    it doesn't contain the time for opening streams.

    Parameters
    ----------
    address : str
        Where `serve_echo` listens.
    streams : int
        Streams at a time.
    spacing_s : float, optional
        Time between two reports on a stream in seconds.

    Returns
    -------
    dict of str to float
        `exchange_cpu_s` for one exchange on all streams.
    """
    message_counts = (5, 35)
    spent = [
        time_cpu(
            lambda n=n: anyio.run(
                _run_streams, address, streams, n, spacing_s
            ),
            1,
        )
        for n in message_counts
    ]
    return {
        "exchange_cpu_s": (spent[1] - spent[0])
        / (message_counts[1] - message_counts[0])
    }


def serve_echo(address: str) -> None:
    """Serve streams that answer each report with an update, until killed."""
    anyio.run(_serve_echo, address)
