"""The commands `hornbeamyard controllers ...`."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.process.commands import main
from hornbeamyard.process.controller_commands import is_applied

from .fleet import LocalFleet, find_free_port


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    """Run one controller; the controller of host 1 isn't a member."""
    folder: Path = tmp_path_factory.mktemp("members")
    with LocalFleet(folder) as local:
        local.initialize()
        path = folder / "host-1.json"
        document = json.loads(path.read_text())
        address = f"127.0.0.1:{find_free_port()}"
        document["controllers"]["host-1"] = address
        document["controller"] = {"address": address, "data_folder": "new"}
        path.write_text(json.dumps(document))
        local.start_host(0)
        local.start_host(1)
        yield local


def run(*arguments: object) -> Result:
    """Run a command."""
    return CliRunner().invoke(main, [str(a) for a in arguments])


def wait_for_voters(settings: Path, expected: list[str]) -> list[Any]:
    """Wait for the expected voters; return all members."""
    deadline = time.monotonic() + 20
    while True:
        done = run("status", f"--settings={settings}", "--json")
        if done.exit_code == 0:
            members: list[Any] = json.loads(done.stdout)["controllers"]
            if [m["host"] for m in members if m["voter"]] == expected:
                return members
        assert time.monotonic() < deadline, done.output
        time.sleep(0.1)


@pytest.mark.process
class TestMembers:
    """Adding and removing a controller of a running fleet."""

    @pytest.mark.requirement("R14")
    def test_add_and_remove(self, fleet: LocalFleet) -> None:
        """Guards against accepted member changes that have no effect."""
        settings = fleet.folder / "host-0.json"
        hosts = json.loads((fleet.folder / "host-1.json").read_text())
        address = hosts["controllers"]["host-1"]
        option = f"--settings={settings}"
        wait_for_voters(settings, ["host-0"])
        done = run("controllers", "add", "host-1", address, option)
        assert done.exit_code == 0, done.output
        members = wait_for_voters(settings, ["host-0", "host-1"])
        assert {m["reachable"] for m in members} == {True}
        assert {m["counts"] for m in members} == {True}
        done = run("status", option)
        assert "HOST" in done.stdout
        assert address in done.stdout
        done = run("controllers", "remove", "host-9", option)
        assert done.exit_code == 1
        assert "refused: 'host-9' is not a member" in done.stdout
        done = run("controllers", "remove", "host-1", option)
        assert done.exit_code == 0, done.output
        wait_for_voters(settings, ["host-0"])
        done = run("controllers", "remove", "host-0", option)
        assert done.exit_code == 1
        assert "refused: 'host-0' is the last voter" in done.stdout
        done = run("controllers", "replace", "x", "y", address, option)
        assert done.exit_code == 1
        assert "refused: 'x' is not a member" in done.stdout


class TestRepeatedChange:
    """A repeated change succeeds if the reply to the first was lost."""

    @pytest.mark.parametrize(
        ("kind", "members", "done"),
        [
            ("ADD", [("new", "a:1", "")], True),
            ("ADD", [("new", "a:2", "")], False),
            ("REMOVE", [("old", "a:1", "")], False),
            ("REMOVE", [("new", "a:1", "")], True),
            ("REPLACE", [("old", "a:2", ""), ("new", "a:1", "old")], True),
            ("REPLACE", [("old", "a:2", ""), ("new", "a:1", "")], False),
            ("REPLACE", [("new", "a:1", "")], True),
            ("REPLACE", [("old", "a:2", "")], False),
        ],
    )
    def test_compares_members(
        self, kind: str, members: list[tuple[str, ...]], done: bool
    ) -> None:
        """Guards against refusing a change that was already made."""
        change = fleet_pb2.MemberChange(
            kind=fleet_pb2.MemberChange.Kind.Value(kind),
            host="new" if kind == "ADD" else "old",
            replacement="new",
            address="a:1",
        )
        rows = [
            dict(zip(("host", "address", "replaces"), member, strict=True))
            for member in members
        ]
        assert is_applied(change, rows) is done


class TestDataFolder:
    """Initializing and recovering a data folder without a daemon."""

    def test_init_and_recover(self, tmp_path: Path) -> None:
        """Guards against initializing a folder twice or losing its data."""
        with LocalFleet(tmp_path, routers=3, controllers=3):
            settings = tmp_path / "host-0.json"
            done = run("controllers", "recover", settings)
            assert done.exit_code == 1
            assert "holds no log" in done.stdout
            done = run("controllers", "init", settings)
            assert done.exit_code == 0, done.output
            assert "members: host-0, host-1, host-2" in done.stdout
            done = run("controllers", "init", settings, "--json")
            assert done.exit_code == 1
            assert "data folder already" in json.loads(done.stdout)["reason"]
            done = run("controllers", "recover", settings)
            assert done.exit_code == 1
            assert "nothing was changed" in done.stdout
            done = run(
                "controllers", "recover", settings, "--accept-data-loss"
            )
            assert done.exit_code == 0
            assert "other members: host-1, host-2" in done.stdout
            assert "index 1, with configuration version 0" in done.stdout

    @pytest.mark.requirement("R22")
    def test_refuses_invalid_settings(self, tmp_path: Path) -> None:
        """Guards against creating data folders from invalid settings."""
        path = tmp_path / "host.json"
        path.write_text("{}")
        for name in ("init", "recover"):
            done = run("controllers", name, path)
            assert done.exit_code == 2
            assert "faults" in done.stderr
        assert list(tmp_path.iterdir()) == [path]
