"""Reloading of the settings while a process runs."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from types import FrameType
from typing import TYPE_CHECKING

import anyio
import logbook
from result import Err

from .settings import load_settings
from .timers import Timers

if TYPE_CHECKING:
    from .directory_router import DirectoryRouter
    from .registrar import Registrar

# Interval of checking the file, which may change without a signal.
CHECK_INTERVAL_S = 2.0

_log = logbook.Logger("reload")


class SettingsWatcher:
    """Reloads the settings file when it changes.

    New seeds take effect at once, other settings at the next start.

    Parameters
    ----------
    path : Path
    text : str
        Content of the file from which the process took its settings.
    timers : Timers
    router : DirectoryRouter or None
    registrar : Registrar or None
    """

    __slots__ = (
        "_path",
        "_registrar",
        "_router",
        "_text",
        "_timers",
    )

    def __init__(
        self,
        path: Path,
        text: str,
        timers: Timers,
        router: DirectoryRouter | None,
        registrar: Registrar | None,
    ) -> None:
        self._path = path
        self._registrar = registrar
        self._router = router
        self._text = text
        self._timers = timers

    async def run(self) -> None:
        """Watch the file and the signal SIGHUP until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_signal)
            async for _ in self._timers.subscribe(CHECK_INTERVAL_S):
                self.check("file")

    async def _watch_signal(self) -> None:
        received = asyncio.Event()
        loop = asyncio.get_running_loop()

        def wake(number: int, frame: FrameType | None) -> None:
            loop.call_soon_threadsafe(received.set)

        # A receiver of anyio would restore the default action at its end, and
        # a signal would then kill the process while it stops.
        signal.signal(signal.SIGHUP, wake)
        try:
            while True:
                await received.wait()
                received.clear()
                self.check("signal")
        finally:
            signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def check(self, cause: str) -> None:
        """Reload the settings file if it has changed.

        Parameters
        ----------
        cause : str
            Reason of the check, `file` or `signal`, for the log.
        """
        text = self._read()
        if text == self._text:
            if cause == "signal":
                _log.info("reload cause=signal unchanged")
            return
        self._text = text
        loaded = load_settings(self._path)
        if isinstance(loaded, Err):
            _log.error("reload refused: {}", loaded.err_value)
            return
        settings = loaded.ok_value
        if settings.directory is None:
            _log.error("reload refused: 'directory' is missing")
            return
        seeds = settings.directory.list_peer_addresses()
        _log.info("reload cause={} seeds={}", cause, seeds)
        if self._router is not None:
            self._router.subscription.seeds = seeds
        if self._registrar is not None:
            self._registrar.founder.seeds = seeds

    def _read(self) -> str:
        try:
            return self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            _log.error("the settings file can't be read: {}", error)
            return ""
