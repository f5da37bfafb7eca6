"""The daemon `hornbeamyardd`."""

from __future__ import annotations

import os
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
from . import listeners
from .controller import Controller
from .controller_app import build_controller_app
from .crash_store import CrashStore
from .decisions import DecisionLog
from .directory_router import DirectoryRouter
from .folder_lock import lock_until
from .interface import Interface
from .logs import LineWriter, start_logging, start_structured_logging
from .memory_limits import build_request_memory
from .registrar import Registrar
from .reload import SettingsWatcher
from .router import Router
from .servers import (
    MAX_STATUS_BODY_BYTES,
    build_status_app,
    build_status_limits,
    sample_limits,
)
from .settings import Settings, load_settings
from .signals import StopSignals
from .timers import MonotonicTimers, Timers

EXIT_ERROR = 1
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

    Raises
    ------
    SystemExit
        With a status other than 0 if the process ends by an error.
    """
    writer = None
    if settings.directory is None:
        start_logging(settings.log_level)
    else:
        writer = LineWriter()
        start_structured_logging(settings.log_level, writer)
    # The default action would end a process that doesn't watch its settings.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signals = StopSignals()
    signals.install()
    _log_start(settings)
    status = EXIT_ERROR
    try:
        if writer is None:
            anyio.run(run, settings, signals)
        else:
            anyio.run(
                run_with_directory, settings, path, interface, writer, signals
            )
    # Libraries may also end a process by SystemExit.
    except BaseException as error:
        reason = describe_error(error)
        _log.exception("stop host={} reason={}", settings.host, reason)
    else:
        reason = "ended by itself"
        if signals.received:
            reason = signal.Signals(signals.received[0]).name
            status = 0
        _log.info("stop host={} reason={}", settings.host, reason)
    if writer is not None:
        writer.flush(LOG_FLUSH_TIMEOUT_S)
    if status:
        sys.exit(status)


def describe_error(error: BaseException) -> str:
    """Return the type and text of an error, the first one of a group."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return f"{type(error).__name__}: {error}"


def _log_start(settings: Settings) -> None:
    directory = settings.directory
    _log.info(
        "start host={} zone={} router={} controller={} first_start={} pid={} "
        "seeds={}",
        settings.host,
        settings.availability_zone,
        settings.router is not None,
        settings.controller is not None,
        directory is not None and directory.first_start,
        os.getpid(),
        list(settings.controllers.values())
        if directory is None
        else directory.list_peer_addresses(),
    )


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


async def run_with_directory(
    settings: Settings,
    path: Path,
    interface: Interface,
    writer: LineWriter,
    signals: StopSignals,
) -> None:
    """Run a process of a fleet with a route directory."""
    assert settings.directory is not None
    timers = MonotonicTimers()
    stop = anyio.Event()
    router = None
    registrar = None
    memory = build_request_memory(settings.memory)
    if settings.router is not None:
        decisions = DecisionLog(timers, settings.host, writer)
        router = DirectoryRouter(
            settings, timers, interface, decisions, memory
        )
    if settings.controller is not None:
        registrar = Registrar(settings, timers, interface, memory)
    watcher = SettingsWatcher(path, settings.text, timers, router, registrar)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(signals.watch, stop, anyio.Event())
        tasks.start_soon(watcher.run)
        address = settings.directory.metrics_address
        role = router or registrar
        if address and role is not None:
            app = build_status_app(role.metrics)
            limits = build_status_limits(memory, timers, MAX_STATUS_BODY_BYTES)
            role.metrics.add_source(lambda: sample_limits(limits, "metrics"))
            tasks.start_soon(
                listeners.serve, app, address, "metrics", timers, limits
            )
        async with anyio.create_task_group() as roles:
            if registrar is not None:
                roles.start_soon(registrar.run, stop)
            if router is not None:
                roles.start_soon(router.run, stop)
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


if __name__ == "__main__":
    main()
