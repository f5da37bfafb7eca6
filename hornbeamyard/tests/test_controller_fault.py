"""Tests of the metrics of a controller that can't use its data folder."""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest

from hornbeamyard.process.interface import Interface
from hornbeamyard.process.registrar import Registrar
from hornbeamyard.process.settings import (
    ControllerSettings,
    DirectorySettings,
    Settings,
)
from hornbeamyard.process.timers import MonotonicTimers
from hornbeamyard.request.headers import NATIVE_HEADER_NAMES, HeaderCodec
from hornbeamyard.version.journal import VOTE_FILE, FolderDisk, Journal


def build_registrar(folder: Path) -> Registrar:
    """Return a controller that isn't started."""
    settings = Settings(
        "test",
        "c0",
        "zone-a",
        {},
        plain_text=True,
        controller=ControllerSettings("127.0.0.1:1", folder),
        directory=DirectorySettings(seeds=["127.0.0.1:1"]),
    )
    interface = Interface(HeaderCodec(NATIVE_HEADER_NAMES))
    return Registrar(settings, MonotonicTimers(), interface)


@pytest.mark.parametrize(
    ("kind", "fault", "set_aside"),
    [
        ("new", 0, 0),
        ("damaged", 0, 1),
        ("other fleet", 1, 0),
        ("unreadable", 1, 0),
    ],
)
def test_gauges(tmp_path: Path, kind: str, fault: int, set_aside: int) -> None:
    """Guards against a controller that takes no part and doesn't say so."""

    async def main() -> None:
        path = tmp_path / VOTE_FILE
        if kind == "damaged":
            path.write_bytes(b"")
        elif kind == "other fleet":
            await Journal(FolderDisk(tmp_path), "other").load(lambda: b"id")
        elif kind == "unreadable":
            path.mkdir()
        registrar = build_registrar(tmp_path)
        async with anyio.create_task_group() as tasks:
            await tasks.start(registrar.replica.run)
            lines = registrar.metrics.render().decode().splitlines()
            tasks.cancel_scope.cancel()
        prefix = "hornbeamyard_controller_"
        assert f"{prefix}fault {float(fault)}" in lines
        assert f"{prefix}files_set_aside {float(set_aside)}" in lines

    anyio.run(main)
