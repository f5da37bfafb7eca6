"""Tests of the soak's faults: starts, lost disks, ends of processes."""

from __future__ import annotations

import random
import signal
import socket
import sys
import time
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import pytest

from soak import run
from soak.callers import Callers, Operators
from soak.disks import Disks
from soak.fleet import CATCH_UP_S, RECOVERY_S, Fleet
from soak.records import SETTLING_TIME_S, FaultRecord, Records
from soak.starts import Starter
from soak.upstream import CRASH_EXIT_CODE

FIRST_PORT = 9900
# Longer than a process of these tests takes to run its first line.
LOADED_S = 0.5


class SleepingFleet(Fleet):
    """A fleet whose processes only start and sleep."""

    program = "import time; sum(range(10**7)); time.sleep(30)"

    def _build_command(self, name: str) -> list[str]:
        return [sys.executable, "-c", self.program]


class EndingFleet(SleepingFleet):
    """A fleet whose processes end by themselves."""

    program = "raise SystemExit(4)"


class CrashingFleet(SleepingFleet):
    """A fleet whose processes crash on SIGTERM, as under a request."""

    program = (
        "import signal, os, time;"
        f"signal.signal(15, lambda *_: os._exit({CRASH_EXIT_CODE}));"
        "time.sleep(30)"
    )


def play(
    folder: Path,
    scenario: Callable[[Fleet], Coroutine[Any, Any, None]],
    kind: type[Fleet] = SleepingFleet,
    controllers: int = 5,
) -> Fleet:
    """Run a scenario with a fleet, and end its processes."""

    async def main() -> Fleet:
        async with anyio.create_task_group() as tasks:
            fleet = kind(folder, tasks, FIRST_PORT, controllers)
            await scenario(fleet)
            await fleet.kill_all()
            tasks.cancel_scope.cancel()
        return fleet

    return anyio.run(main)


def build_disks(fleet: Fleet, lost: str, *faults: FaultRecord) -> Disks:
    """Return the disks of a fleet with a lost one, after faults."""
    disks = Disks(fleet, Records(faults=list(faults)))
    disks.add_lost(lost)
    return disks


def build_fault(name: str, ended_s: float) -> FaultRecord:
    """Return a fault of a process that ended some seconds ago."""
    ended_at = time.monotonic() - ended_s
    return FaultRecord("kill", name, 0.0, ended_at + SETTLING_TIME_S)


class TestDisks:
    """No more disks are lost at a time than the fleet tolerates."""

    @pytest.mark.parametrize(
        ("ended_s", "drawn"), [(CATCH_UP_S - 0.5, 1), (CATCH_UP_S + 0.1, 2)]
    )
    def test_counts_until_caught_up(
        self, tmp_path: Path, ended_s: float, drawn: int
    ) -> None:
        """Guards against blaming the fleet for too many lost disks."""

        async def scenario(fleet: Fleet) -> None:
            fault = build_fault("controller-1", ended_s)
            disks = build_disks(fleet, "controller-1", fault)
            names = disks.draw(random.Random(1), fleet.controllers, 2)
            assert len(names) == drawn
            assert drawn == 2 or "controller-1" not in names

        play(tmp_path, scenario)

    def test_catches_up_beside_enough_others(self, tmp_path: Path) -> None:
        """Guards against counting time without a majority as catching up."""

        async def scenario(fleet: Fleet) -> None:
            others = [build_fault(f"controller-{n}", 0.0) for n in (0, 2, 3)]
            disks = build_disks(fleet, "controller-1", *others)
            assert disks.list_lost() == {"controller-1"}
            disks = build_disks(fleet, "controller-1", *others[:2])
            assert disks.list_lost() == set()

        play(tmp_path, scenario)

    @pytest.mark.parametrize(
        ("ended_s", "is_lost"),
        [(CATCH_UP_S + 0.5, True), (RECOVERY_S + 0.1, False)],
    )
    def test_catches_up_after_recovery(
        self, tmp_path: Path, ended_s: float, is_lost: bool
    ) -> None:
        """Guards against a third lost disk before two are repaired.

        More controllers were missing than the fleet tolerates, so that it had
        no leader that could repair them.
        """

        async def scenario(fleet: Fleet) -> None:
            faults = [
                build_fault(f"controller-{n}", ended_s) for n in (0, 1, 2)
            ]
            disks = build_disks(fleet, "controller-1", *faults)
            assert bool(disks.list_lost()) is is_lost

        play(tmp_path, scenario)

    def test_replaced_controller(self, tmp_path: Path) -> None:
        """Guards against a successor at the addresses of the removed one."""

        async def scenario(fleet: Fleet) -> None:
            before = set(fleet.list_addresses("controller-1"))
            successor = fleet.replace("controller-1")
            assert successor == "controller-5"
            assert "controller-1" not in fleet.controllers
            assert before.isdisjoint(fleet.list_addresses(successor))
            ports = {link.target_port for link in fleet.links.values()}
            assert len(ports) == len(fleet.links)

        play(tmp_path, scenario)


class TestExits:
    """An end that nobody asked for is recorded, and the process is back."""

    def test_end_by_itself(self, tmp_path: Path) -> None:
        """Guards against missing an end in a process's first second."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start("router-0")
            while fleet.processes["router-0"].starts < 2:
                await anyio.sleep(0.05)

        fleet = play(tmp_path, scenario, EndingFleet)
        exits = fleet.processes["router-0"].unexpected_exits
        assert exits[0].startswith("router-0 exited with 4 without a request")

    @pytest.mark.parametrize(
        ("number", "exits"), [(signal.SIGHUP, 1), (signal.SIGTERM, 0)]
    )
    def test_end_by_an_early_signal(
        self, tmp_path: Path, number: signal.Signals, exits: int
    ) -> None:
        """Guards against excusing an end by SIGHUP as one by SIGTERM.

        The soak itself may run where SIGHUP is ignored.
        """
        before = signal.signal(signal.SIGHUP, signal.SIG_IGN)

        async def scenario(fleet: Fleet) -> None:
            await fleet.start("router-0")
            if number == signal.SIGTERM:
                await fleet.stop("router-0")
            else:
                await fleet.hang_up("router-0")
            await anyio.sleep(LOADED_S)

        fleet = play(tmp_path, scenario)
        signal.signal(signal.SIGHUP, before)
        assert len(fleet.processes["router-0"].unexpected_exits) == exits

    @pytest.mark.parametrize(
        ("name", "exits"), [("model-0", 0), ("router-0", 1)]
    )
    def test_crash_after_sigterm(
        self, tmp_path: Path, name: str, exits: int
    ) -> None:
        """Guards against blaming the fleet for a crash in an upstream."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start(name)
            await anyio.sleep(LOADED_S)
            await fleet.stop(name)
            await anyio.sleep(LOADED_S)

        fleet = play(tmp_path, scenario, CrashingFleet)
        assert len(fleet.processes[name].unexpected_exits) == exits


class TestStarts:
    """Starts are disturbed as drawn, and no more than tolerated."""

    def test_taken_address(self, tmp_path: Path) -> None:
        """Guards against an address that isn't taken, or never free again."""

        async def scenario(fleet: Fleet) -> None:
            port = fleet.links["controller-0/peers"].target_port
            with ExitStack() as taken:
                fleet.take("controller-0/peers", taken)
                with (
                    socket.socket() as other,
                    pytest.raises(OSError, match="in use"),
                ):
                    other.bind(("127.0.0.1", port))
            with socket.socket() as other:
                other.bind(("127.0.0.1", port))

        play(tmp_path, scenario)

    def test_first_start(self, tmp_path: Path) -> None:
        """Guards against disturbing more first starts than tolerated."""

        async def scenario(fleet: Fleet) -> None:
            records = Records()
            # This seed disturbs two controllers.
            await Starter(fleet, records, random.Random(31)).start_fleet()
            faults = [f for f in records.faults if f.kind in ("kill", "late")]
            assert len(faults) == fleet.tolerated
            assert all(p.is_running() for p in fleet.processes.values())
            for name in fleet.controllers:
                text = (fleet.folder / f"{name}.json").read_text()
                disturbed = any(fault.target == name for fault in faults)
                assert ('"first_start": false' in text) == disturbed

        play(tmp_path, scenario)


class SilentOperators(Operators):
    """Operators whose calls get no response, or a given one."""

    response: tuple[int, bytes] = 0, b""

    async def _call_controller(
        self, method: str, data: bytes, controller: str = ""
    ) -> tuple[int, bytes]:
        return self.response


class TestRun:
    """A run checks the first start and reads back what was acknowledged."""

    def test_fleet_that_never_starts(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against missing a fleet that acknowledges nothing."""
        monkeypatch.setattr(run, "RECOVERY_S", 0.1)

        async def scenario(fleet: Fleet) -> None:
            records = Records()
            callers = Callers(fleet, records, random.Random(1))
            operators = SilentOperators(fleet, records, random.Random(1))
            records.newest_acknowledged = 1
            callers.ready_routers = {0, 1, 2}
            assert await run._check_start(callers, operators, records)
            operators.response = 200, b'{"version": 1}'
            assert not await run._check_start(callers, operators, records)
            callers.ready_routers = {0, 1}
            assert await run._check_start(callers, operators, records)

        play(tmp_path, scenario)

    def test_version_that_does_not_come_back(self, tmp_path: Path) -> None:
        """Guards against missing the loss of an acknowledged version."""

        async def scenario(fleet: Fleet) -> None:
            records = Records(newest_acknowledged=4)
            callers = Callers(fleet, records, random.Random(1))
            operators = SilentOperators(fleet, records, random.Random(1))
            operators.stopping = True
            found = await run._check_recovery(
                callers, operators, records, fleet
            )
            assert found[0].startswith("version 4, the newest acknowledged")

        play(tmp_path, scenario)
