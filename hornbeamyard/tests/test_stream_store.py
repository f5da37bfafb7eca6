"""Tests of the origins of streams on a controller's disk."""

from __future__ import annotations

from pathlib import Path

import anyio

from hornbeamyard.pool.stream_origins import (
    RETENTION_S,
    StreamOrigin,
    StreamOrigins,
)
from hornbeamyard.process.stream_store import FILE_NAMES, StreamStore
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.version.journal import FolderDisk

V1 = StreamOrigin("app", "v1")
V2 = StreamOrigin("app", "v2")


async def save(
    store: StreamStore, timers: VirtualTimers, seconds: float
) -> None:
    """Run a store for some time."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(store.run)
        await anyio.sleep(0.01)
        await timers.advance(seconds)
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()


async def load(folder: Path) -> StreamOrigins:
    """Return what a controller knows that starts now."""
    origins = StreamOrigins()
    await StreamStore(origins, FolderDisk(folder), VirtualTimers()).load()
    return origins


class TestStreamStore:
    """A controller that starts again knows where streams began."""

    def test_newest_attempt_counts(self, tmp_path: Path) -> None:
        """Guards against the origin of an attempt that was replaced."""

        async def main() -> None:
            timers = VirtualTimers()
            origins = StreamOrigins()
            store = StreamStore(origins, FolderDisk(tmp_path), timers)
            for origin in (V1, V2):
                origins.record("q1", origin, timers.now())
                # The second attempt goes to the other file.
                await save(store, timers, RETENTION_S + 1)
            assert (await load(tmp_path)).find("q1") == V2

        anyio.run(main)

    def test_unfinished_write(self, tmp_path: Path) -> None:
        """Guards against streams that are lost behind half a record."""

        async def main() -> None:
            timers = VirtualTimers()
            origins = StreamOrigins()
            store = StreamStore(origins, FolderDisk(tmp_path), timers)
            origins.record("q1", V1, timers.now())
            await save(store, timers, 1.0)
            with (tmp_path / FILE_NAMES[0]).open("ab") as file:
                file.write(b"half a record")
            later = await load(tmp_path)
            store = StreamStore(later, FolderDisk(tmp_path), timers)
            later.record("q2", V2, timers.now())
            await save(store, timers, 1.0)
            again = await load(tmp_path)
            assert again.find("q1") == V1
            assert again.find("q2") == V2

        anyio.run(main)
