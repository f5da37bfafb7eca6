"""Lock of a data folder, which only one process may use at a time.

An earlier process may not have ended yet when the next one starts. What it
writes after the next one has read the folder would be lost.
"""

from __future__ import annotations

import errno
import fcntl
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import logbook

from .timers import Timers

# Interval of attempts to lock a folder, and of log lines while they fail.
RETRY_INTERVAL_S = 0.1
LOG_INTERVAL_S = 10.0

_log = logbook.Logger("folder_lock")


@asynccontextmanager
async def lock_until(
    stop: anyio.Event, folder: Path, timers: Timers
) -> AsyncIterator[bool]:
    """Hold a folder's lock, as soon as no other process does.

    The lock ends with the process, however that ends. A folder that can't be
    locked at all is used without it.

    Parameters
    ----------
    stop : anyio.Event
        Ends the wait when it is set.
    folder : Path
        Created when it doesn't exist.
    timers : Timers

    Yields
    ------
    bool
        Whether the folder may be used; False if `stop` was set before.
    """
    descriptor = None
    try:
        descriptor = _open(folder)
        may_use = descriptor is None or await _lock(
            descriptor, stop, folder, timers
        )
        yield may_use
    finally:
        if descriptor is not None:
            os.close(descriptor)


def _open(folder: Path) -> int | None:
    try:
        folder.mkdir(parents=True, exist_ok=True)
        return os.open(folder, os.O_RDONLY)
    except OSError as error:
        _log_unlocked(folder, error)
        return None


async def _lock(
    descriptor: int, stop: anyio.Event, folder: Path, timers: Timers
) -> bool:
    logged_at = None
    while not stop.is_set():
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            if error.errno not in (errno.EWOULDBLOCK, errno.EINTR):
                _log_unlocked(folder, error)
                return True
        else:
            return True
        now = timers.now()
        if logged_at is None or now - logged_at >= LOG_INTERVAL_S:
            logged_at = now
            _log.warning(
                "another process uses the data folder {}; waiting until it "
                "ends",
                folder,
            )
        await timers.sleep(RETRY_INTERVAL_S)
    return False


def _log_unlocked(folder: Path, error: OSError) -> None:
    _log.warning("the data folder {} can't be locked: {}", folder, error)
