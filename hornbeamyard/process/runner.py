"""Runs the roles of a process until a signal stops it.

Modules of a role are imported when the process is known to run it.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path

import anyio
import logbook

from . import listeners
from .interface import Interface
from .logs import LineWriter, start_logging, start_structured_logging
from .memory_limits import build_request_memory
from .reload import SettingsWatcher
from .servers import (
    MAX_STATUS_BODY_BYTES,
    build_status_app,
    build_status_limits,
    sample_limits,
)
from .settings import Settings
from .signals import StopSignals
from .timers import MonotonicTimers

EXIT_ERROR = 1
EXIT_SETTINGS = 2
# Time for the last log lines to be written when the process ends.
LOG_FLUSH_TIMEOUT_S = 0.5

_log = logbook.Logger("daemon")


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
            # Only fleets without a route directory need these modules.
            from . import leased_roles

            gc.enable()
            anyio.run(leased_roles.run, settings, signals)
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
    # A process imports only the roles that it runs.
    if settings.router is not None:
        from .decisions import DecisionLog
        from .directory_router import DirectoryRouter

        decisions = DecisionLog(timers, settings.host, writer)
        router = DirectoryRouter(
            settings, timers, interface, decisions, memory
        )
    if settings.controller is not None:
        from .registrar import Registrar

        registrar = Registrar(settings, timers, interface, memory)
    # The objects of the imports are left out of later collections.
    gc.freeze()
    gc.enable()
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
