"""Tests of controllers' records on disk that are damaged."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import anyio
import logbook
import pytest

from hornbeamyard.pool.crashes import Crash, CrashLedger
from hornbeamyard.pool.stream_origins import (
    RETENTION_S,
    StreamOrigin,
    StreamOrigins,
)
from hornbeamyard.pool.upstream_registry import UpstreamRegistry, UpstreamStart
from hornbeamyard.process import crash_store, version_store
from hornbeamyard.process.crash_store import CrashStore
from hornbeamyard.process.stream_store import FILE_NAMES, StreamStore
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.process.version_store import VersionStore
from hornbeamyard.version.journal import FolderDisk

Store = CrashStore | StreamStore | VersionStore

CHANGES: dict[str, Callable[[bytes], bytes]] = {
    "empty": lambda data: b"",
    "cut": lambda data: data[:9],
    "altered": lambda data: bytes([data[0] ^ 1, *data[1:]]),
    "altered inside": lambda data: data[:14] + b"\xff" + data[15:],
    "arbitrary": lambda data: b"\xff" * 40,
}


async def run_store(
    store: Store,
    timers: VirtualTimers,
    seconds: float = 1.0,
    *arguments: Callable[[], bool],
) -> None:
    """Run a store for some time."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(store.run, *arguments)
        await anyio.sleep(0.01)
        await timers.advance(seconds)
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()


async def load_versions(folder: Path) -> tuple[bool, list[str]]:
    """Return whether the versions are complete, and the pools with some."""
    registry = UpstreamRegistry()
    store = VersionStore(registry, FolderDisk(folder), VirtualTimers())
    return await store.load(), registry.list_pools()


@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
class TestDamagedFile:
    """A damaged record is ignored with a log line, and written anew."""

    def test_versions(
        self, tmp_path: Path, change: Callable[[bytes], bytes]
    ) -> None:
        """Guards against a record that counts as complete and lacks some."""

        async def main() -> None:
            timers = VirtualTimers()
            registry = UpstreamRegistry()
            store = VersionStore(registry, FolderDisk(tmp_path), timers)
            registry.record_version("app", "v1", timers.now())
            await run_store(store, timers)
            assert await load_versions(tmp_path) == (True, ["app"])
            path = tmp_path / version_store.FILE_NAME
            path.write_bytes(change(path.read_bytes()))
            with logbook.TestHandler() as handler:
                assert await load_versions(tmp_path) == (False, [])
            assert "the file of versions can't be read" in str(
                handler.formatted_records
            )

        anyio.run(main)

    def test_crashes(
        self, tmp_path: Path, change: Callable[[bytes], bytes]
    ) -> None:
        """Guards against prompt parts that are blocked by altered bytes."""

        async def main() -> None:
            timers = VirtualTimers()
            ledger = CrashLedger()
            crash = Crash(UpstreamStart("u1", 1), 0.0, "r1", {"p": 0})
            ledger.merge([crash])
            store = CrashStore(ledger, FolderDisk(tmp_path), timers)
            await run_store(store, timers)
            path = tmp_path / crash_store.FILE_NAME
            for expected in (1, 0):
                loaded = CrashLedger()
                again = CrashStore(loaded, FolderDisk(tmp_path), timers)
                with logbook.TestHandler() as handler:
                    await again.load()
                assert len(list(loaded.list_since(0))) == expected
                assert len(handler.records) == 1 - expected
                path.write_bytes(change(path.read_bytes()))
            loaded.merge([crash])
            await run_store(again, timers)
            restored = CrashLedger()
            await CrashStore(restored, FolderDisk(tmp_path), timers).load()
            assert len(list(restored.list_since(0))) == 1

        anyio.run(main)

    def test_streams(
        self, tmp_path: Path, change: Callable[[bytes], bytes]
    ) -> None:
        """Guards against the origin of an attempt that was replaced.

        The later attempt is in the damaged file.
        """

        async def main() -> None:
            timers = VirtualTimers()
            disk = FolderDisk(tmp_path)
            origins = StreamOrigins()
            store = StreamStore(origins, disk, timers)
            for version in ("v1", "v2", "v3"):
                origin = StreamOrigin("app", version)
                origins.record("q1", origin, timers.now())
                await run_store(
                    store, timers, 1.0 if version == "v2" else RETENTION_S + 1
                )
            path = tmp_path / FILE_NAMES[1]
            assert path.stat().st_size > 0
            path.write_bytes(change(path.read_bytes()))
            with logbook.TestHandler() as handler:
                for _ in range(2):
                    loaded = StreamOrigins()
                    again = StreamStore(loaded, disk, timers)
                    await again.load()
                    assert loaded.find("q1") is None
            assert len(handler.records) == 1
            loaded.record("q2", StreamOrigin("app", "v4"), timers.now())
            await run_store(again, timers)
            restored = StreamOrigins()
            await StreamStore(restored, disk, timers).load()
            assert restored.find("q2") == StreamOrigin("app", "v4")

        anyio.run(main)


def test_versions_that_were_not_learned(tmp_path: Path) -> None:
    """Guards against a second start that takes a partial record for whole."""

    async def main() -> None:
        timers = VirtualTimers()
        registry = UpstreamRegistry()
        store = VersionStore(registry, FolderDisk(tmp_path), timers)
        assert not await store.load()
        registry.record_version("app", "v2", timers.now())
        await run_store(store, timers, 1.0, lambda: True)
        assert await load_versions(tmp_path) == (False, [])
        await run_store(store, timers, 1.0, lambda: False)
        assert await load_versions(tmp_path) == (True, ["app"])

    anyio.run(main)
