"""Roles of a process in a fleet without a route directory."""

from __future__ import annotations

import random

import anyio
import anyio.abc

# `Metrics` uses them for each request, and an import may fail while no file
# can be opened.
import hdrh.histogram  # noqa: F401
import prometheus_client.metrics  # noqa: F401

from ..connection import peers
from ..connection.crash_exchange import CrashHub
from ..connection.replication import ReplicationCalls, ReplicationService
from ..connection.server import FleetService
from ..messages import fleet_pb2_grpc
from ..version import patch  # noqa: F401  # see `version/state`
from ..version.journal import FolderDisk
from ..version.replica import Replica
from . import listeners
from .controller import Controller
from .crash_store import CrashStore
from .folder_lock import lock_until
from .router import Router
from .settings import Settings
from .signals import StopSignals
from .timers import MonotonicTimers, Timers


async def run(settings: Settings, signals: StopSignals) -> None:
    """Run until SIGTERM or SIGINT; a second signal ends the drain."""
    timers = MonotonicTimers()
    stop = anyio.Event()
    stop_now = anyio.Event()
    replica = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(signals.watch, stop, stop_now)
        if settings.controller is not None:
            replica = await tasks.start(
                _run_controller, settings, timers, stop
            )
        if settings.router is not None:
            await Router(settings, timers).run(stop, stop_now)
        await stop.wait()
        if replica is not None:
            await replica.transfer_leadership()
        tasks.cancel_scope.cancel()


async def _run_controller(
    settings: Settings,
    timers: Timers,
    stop: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[Replica | None],
) -> None:
    assert settings.controller is not None
    folder = settings.controller.data_folder
    async with lock_until(stop, folder, timers) as may_use:
        if may_use:
            await _serve_controller(settings, timers, task_status)
        else:
            task_status.started(None)


async def _serve_controller(
    settings: Settings,
    timers: Timers,
    task_status: anyio.abc.TaskStatus[Replica | None],
) -> None:
    assert settings.controller is not None
    address = settings.controller.address
    calls = ReplicationCalls(settings.tls)
    disk = FolderDisk(settings.controller.data_folder)
    replica = Replica(
        peers.build_identity(settings, random.getrandbits(63)),
        settings.controllers[settings.host],
        disk,
        calls,
        timers,
        random.SystemRandom(),
    )
    controller = Controller(replica, timers)
    crashes = CrashHub(replica, timers)
    crash_store = CrashStore(crashes.ledger, disk, timers)
    server = peers.create_server()
    fleet_pb2_grpc.add_FleetServicer_to_server(
        FleetService(settings.fleet, controller, timers, crashes), server
    )
    fleet_pb2_grpc.add_ReplicationServicer_to_server(
        ReplicationService(settings.fleet, replica), server
    )
    try:
        async with anyio.create_task_group() as tasks:
            await tasks.start(replica.run)
            await crash_store.load()
            tasks.start_soon(crash_store.run)
            tasks.start_soon(crashes.run)
            tasks.start_soon(controller.run)
            tasks.start_soon(
                listeners.start_grpc_server,
                server,
                address,
                settings.tls,
                timers,
            )
            task_status.started(replica)
    finally:
        with anyio.CancelScope(shield=True):
            await server.stop(grace=0.5)
            await calls.close()
