"""The daemon `hornbeamyardd`."""

from __future__ import annotations

import random
import signal
import sys
from pathlib import Path

import anyio
import click
import logbook
from result import Err

from ..connection import peers
from ..connection.crash_exchange import CrashHub
from ..connection.replication import ReplicationCalls, ReplicationService
from ..connection.server import FleetService
from ..messages import fleet_pb2_grpc
from ..request.headers import NATIVE_HEADER_NAMES, HeaderCodec
from ..version.journal import FolderDisk
from ..version.replica import Replica
from .controller import Controller
from .controller_app import build_controller_app
from .crash_store import CrashStore
from .decisions import DecisionLog
from .directory_router import DirectoryRouter
from .interface import Interface
from .logs import LineWriter, start_logging, start_structured_logging
from .registrar import Registrar
from .reload import SettingsWatcher
from .router import Router
from .servers import build_server, build_status_app
from .settings import Settings, load_settings
from .timers import MonotonicTimers, Timers

EXIT_SETTINGS = 2
# Time for the last log lines to be written when the process ends.
LOG_FLUSH_TIMEOUT_S = 0.5
NATIVE_INTERFACE = Interface(
    HeaderCodec(NATIVE_HEADER_NAMES), build_controller_app=build_controller_app
)

_log = logbook.Logger("daemon")


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
@click.version_option(package_name="hornbeamyard")
def main(settings: Path) -> None:
    """Run the roles that the file SETTINGS enables."""
    loaded = load_settings(settings)
    if isinstance(loaded, Err):
        click.echo(str(loaded.err_value), err=True)
        sys.exit(EXIT_SETTINGS)
    start(loaded.ok_value, settings, NATIVE_INTERFACE)


def start(settings: Settings, path: Path, interface: Interface) -> None:
    """Run a process until a signal stops it.

    Parameters
    ----------
    settings : Settings
    path : Path
        The settings file, which is reloaded when it changes.
    interface : Interface
    """
    if settings.directory is None:
        start_logging(settings.log_level)
        anyio.run(run, settings)
        return
    writer = LineWriter()
    start_structured_logging(settings.log_level, writer)
    # The default action would end a process that doesn't watch its settings
    # yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    anyio.run(run_with_directory, settings, path, interface, writer)
    writer.flush(LOG_FLUSH_TIMEOUT_S)


async def run(settings: Settings) -> None:
    """Run until SIGTERM or SIGINT; a second signal ends the drain."""
    timers = MonotonicTimers()
    stop = anyio.Event()
    stop_now = anyio.Event()
    replica = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, stop, stop_now)
        if settings.controller is not None:
            replica = await tasks.start(_run_controller, settings, timers)
        _log.info("host {} started", settings.host)
        if settings.router is not None:
            await Router(settings, timers).run(stop, stop_now)
        await stop.wait()
        if replica is not None:
            await replica.transfer_leadership()
        tasks.cancel_scope.cancel()
    _log.info("host {} stopped", settings.host)


async def run_with_directory(
    settings: Settings, path: Path, interface: Interface, writer: LineWriter
) -> None:
    """Run a process of a fleet with a route directory."""
    assert settings.directory is not None
    timers = MonotonicTimers()
    stop = anyio.Event()
    router = None
    registrar = None
    if settings.router is not None:
        decisions = DecisionLog(timers, settings.host, writer)
        router = DirectoryRouter(settings, timers, interface, decisions)
    if settings.controller is not None:
        registrar = Registrar(settings, timers, interface)
    watcher = SettingsWatcher(path, timers, router, registrar)
    _log.info(
        "start host={} zone={} router={} controller={}",
        settings.host,
        settings.availability_zone,
        router is not None,
        registrar is not None,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, stop, anyio.Event())
        tasks.start_soon(watcher.run)
        address = settings.directory.metrics_address
        role = router or registrar
        if address and role is not None:
            app = build_status_app(role.metrics)
            tasks.start_soon(build_server(app, address).serve)
        async with anyio.create_task_group() as roles:
            if registrar is not None:
                roles.start_soon(registrar.run, stop)
            if router is not None:
                roles.start_soon(router.run, stop)
        tasks.cancel_scope.cancel()
    _log.info("stop host={}", settings.host)


async def _watch_signals(stop: anyio.Event, stop_now: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if stop.is_set():
                stop_now.set()
            stop.set()


async def _run_controller(
    settings: Settings,
    timers: Timers,
    *,
    task_status: anyio.abc.TaskStatus[Replica],
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
    peers.add_port(server, address, settings.tls)
    try:
        async with anyio.create_task_group() as tasks:
            await tasks.start(replica.run)
            await crash_store.load()
            tasks.start_soon(crash_store.run)
            tasks.start_soon(crashes.run)
            await server.start()
            tasks.start_soon(controller.run)
            task_status.started(replica)
    finally:
        with anyio.CancelScope(shield=True):
            await server.stop(grace=0.5)
            await calls.close()


if __name__ == "__main__":
    main()
