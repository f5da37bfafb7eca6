"""Controllers whose data folders are damaged join the fleet anew.

A damaged folder counts as a lost disk, and its controller is a voter again
within the time that the users' deployments allow for that.
"""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable

import anyio
import logbook
import pytest

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.version.journal import (
    LOG_FILE,
    SNAPSHOT_FILE,
    VOTE_FILE,
    build_record,
)
from hornbeamyard.version.membership import is_voter

from .fleet_simulation import CATCH_UP_S, Controller, SimulatedFleet
from .simulation import FLEET, FakeDisk

# Time until a controller that has ended is started again.
DOWN_S = 0.5


def run_fleet(
    seed: int, test: Callable[[SimulatedFleet], Awaitable[None]]
) -> None:
    """Run a test with five controllers that have taken a snapshot."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = SimulatedFleet(seed, tasks)
            await fleet.start_all()
            for _ in range(20):
                await fleet.submit()
            await fleet.advance(6.0)
            await test(fleet)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def empty(data: bytes) -> bytes | None:
    """Return a file without content."""
    return b""


def cut(data: bytes) -> bytes | None:
    """Return a file that ends in its first record."""
    return data[:7]


def alter(data: bytes) -> bytes | None:
    """Return a file with an altered byte, which isn't in its last record."""
    return bytes([*data[:11], data[11] ^ 1, *data[12:]])


def remove(data: bytes) -> bytes | None:
    """Return nothing."""
    return None


DAMAGES = [
    (name, change)
    for name in (VOTE_FILE, LOG_FILE)
    for change in (empty, cut, alter, remove)
] + [(SNAPSHOT_FILE, alter)]


def damage(
    disk: FakeDisk, name: str, change: Callable[..., bytes | None]
) -> None:
    """Change a file."""
    changed = change(disk.files.pop(name))
    if changed is not None:
        disk.files[name] = changed


def votes(fleet: SimulatedFleet, controller: Controller) -> bool:
    """Return whether the leader counts a controller's folder as a voter."""
    leader = fleet.find_leader()
    journal = controller.replica.journal
    return leader is not None and is_voter(
        leader.replica.state.members,
        controller.name,
        journal.disk_id,
        journal.initial,
    )


def choose(fleet: SimulatedFleet, role: str) -> Controller:
    """Return the leader or another controller."""
    leader = fleet.find_leader()
    assert leader is not None
    if role == "leader":
        return leader
    others = [c for c in fleet.controllers.values() if c is not leader]
    return fleet.rng.choice(others)


async def lose_two_disks(fleet: SimulatedFleet, spared: Controller) -> None:
    """Lose the disks of two others, the second while the first is empty."""
    others = [name for name in fleet.controllers if name != spared.name]
    lost = fleet.rng.sample(others, 2)
    for name in lost:
        fleet.lose_disk(name)
        await fleet.advance(0.1)
    await fleet.advance(DOWN_S)
    for name in lost:
        fleet.start(name)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("role", ["leader", "follower"])
@pytest.mark.parametrize(("name", "change"), DAMAGES)
def test_damaged_file(
    seed: int, role: str, name: str, change: Callable[..., bytes | None]
) -> None:
    """Guards against a damaged controller that never takes part again.

    Two others lose their disks once it had the time to catch up.
    """

    async def test(fleet: SimulatedFleet) -> None:
        damaged = choose(fleet, role)
        disk_id = damaged.replica.journal.disk_id
        damaged.crash()
        damage(damaged.disk, name, change)
        await fleet.advance(DOWN_S)
        with logbook.TestHandler() as handler:
            fleet.start(damaged.name)
            await fleet.advance(CATCH_UP_S)
        lines = [
            r.message for r in handler.records if r.level == logbook.ERROR
        ]
        assert len(lines) == 1
        assert re.search(f"damaged: .*{name}.* moved to .*rejoins", lines[0])
        journal = damaged.replica.journal
        assert journal.disk_id != disk_id
        assert journal.set_aside
        assert not journal.initial
        assert votes(fleet, damaged)
        await lose_two_disks(fleet, spared=damaged)
        await fleet.check_recovery()

    run_fleet(seed, test)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("role", ["leader", "follower"])
@pytest.mark.parametrize("left", ["nothing", "vote", "part of the log"])
def test_damaged_while_running(seed: int, role: str, left: str) -> None:
    """Guards against a process that goes on without its data folder."""

    async def test(fleet: SimulatedFleet) -> None:
        damaged = choose(fleet, role)
        disk = damaged.disk
        disk_id = damaged.replica.journal.disk_id
        if left == "nothing":
            disk.files.clear()
        elif left == "vote":
            del disk.files[LOG_FILE]
        else:
            disk.files[LOG_FILE] = disk.files[LOG_FILE][:40]
            # A fault of the disk makes the controller read it again.
            disk.fails = True
        fleet.begin_submission()
        await fleet.advance(1.0)
        disk.fails = False
        await fleet.submit()
        await fleet.advance(CATCH_UP_S)
        assert damaged.replica.fault == ""
        journal = damaged.replica.journal
        assert journal.disk_id != disk_id
        assert journal.set_aside
        assert votes(fleet, damaged)
        await lose_two_disks(fleet, spared=damaged)
        await fleet.check_recovery()

    run_fleet(seed, test)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("role", ["leader", "follower"])
@pytest.mark.parametrize("lost", [[VOTE_FILE], [LOG_FILE], []])
def test_removed_while_idle(seed: int, role: str, lost: list[str]) -> None:
    """Guards against a lost folder that is noticed with the next losses."""

    async def test(fleet: SimulatedFleet) -> None:
        damaged = choose(fleet, role)
        disk_id = damaged.replica.journal.disk_id
        for name in lost or list(damaged.disk.files):
            del damaged.disk.files[name]
        await fleet.advance(CATCH_UP_S)
        assert damaged.replica.journal.disk_id != disk_id
        assert votes(fleet, damaged)
        await lose_two_disks(fleet, spared=damaged)
        await fleet.check_recovery()

    run_fleet(seed, test)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("name", [VOTE_FILE, LOG_FILE])
@pytest.mark.parametrize("delay_s", [0.0005, 0.001, 0.002, 0.005, 0.02])
def test_killed_while_rejoining(seed: int, name: str, delay_s: float) -> None:
    """Guards against files that are used under the old id after all."""

    async def test(fleet: SimulatedFleet) -> None:
        damaged = choose(fleet, "follower")
        disk_id = damaged.replica.journal.disk_id
        damaged.crash()
        damage(damaged.disk, name, empty)
        for _ in range(3):
            fleet.start(damaged.name)
            await fleet.advance(delay_s)
            damaged.crash()
        fleet.start(damaged.name)
        await fleet.advance(CATCH_UP_S)
        assert damaged.replica.journal.disk_id != disk_id
        assert damaged.replica.journal.set_aside
        assert votes(fleet, damaged)
        await fleet.check_recovery()

    run_fleet(seed, test)


@pytest.mark.parametrize("down_s", [0.0, 0.5, 1.0, 1.5, 1.9, 2.1, 3.0, 4.0])
@pytest.mark.parametrize("is_known", [True, False])
def test_killed_during_snapshot(is_known: bool, down_s: float) -> None:
    """Guards against a lost disk that stays lost after another kill.

    A leader that knows of the controller's new process doesn't wait for what
    it has sent to the former one.
    """

    async def test(fleet: SimulatedFleet) -> None:
        lost = choose(fleet, "follower")
        fleet.lose_disk(lost.name)
        fleet.start(lost.name)
        while SNAPSHOT_FILE not in lost.disk.files:
            await fleet.advance(0.001)
        lost.crash()
        leader = fleet.find_leader()
        assert leader is not None
        if not is_known:
            leader.replica.leadership.peers[lost.name].incarnation = 0
        await fleet.advance(down_s)
        fleet.start(lost.name)
        await fleet.advance(1.0 if is_known else CATCH_UP_S)
        assert votes(fleet, lost)

    for seed in range(6):
        run_fleet(seed, test)


@pytest.mark.parametrize("cut_s", [0.5, 1.0, 1.5, 1.9, 2.1, 3.0, 4.0])
def test_cut_off_during_snapshot(cut_s: float) -> None:
    """Guards against a lost disk that stays lost after a cut."""

    async def test(fleet: SimulatedFleet) -> None:
        lost = choose(fleet, "follower")
        fleet.lose_disk(lost.name)
        fleet.start(lost.name)
        while SNAPSHOT_FILE not in lost.disk.files:
            await fleet.advance(0.001)
        fleet.cut([lost.name])
        await fleet.advance(cut_s)
        fleet.heal()
        await fleet.advance(CATCH_UP_S)
        assert votes(fleet, lost)

    for seed in range(6):
        run_fleet(seed, test)


@pytest.mark.parametrize("seed", range(4))
def test_first_start_is_told_again(seed: int) -> None:
    """Guards against a damaged controller that founds another log."""

    async def test(fleet: SimulatedFleet) -> None:
        damaged = fleet.controllers["c0"]
        damaged.crash()
        damage(damaged.disk, VOTE_FILE, empty)
        damaged.first_start = True
        fleet.cut(["c0"])
        fleet.start("c0")
        await fleet.advance(8.0)
        assert not damaged.replica.journal.members.members
        fleet.heal()
        await fleet.advance(CATCH_UP_S)
        assert votes(fleet, damaged)
        await fleet.check_recovery()

    run_fleet(seed, test)


def test_other_fleet() -> None:
    """Guards against another fleet's files that are set aside."""

    async def test(fleet: SimulatedFleet) -> None:
        controller = choose(fleet, "follower")
        controller.crash()
        files = controller.disk.files
        vote = fleet_pb2.StoredVote(fleet=f"not {FLEET}", disk=b"disk")
        files[VOTE_FILE] = build_record(vote.SerializeToString())
        before = dict(files)
        fleet.start(controller.name)
        await fleet.advance(3.0)
        assert "belongs to fleet 'not simulated'" in controller.replica.fault
        assert files == before
        assert not controller.replica.journal.set_aside

    run_fleet(0, test)


class UnreadableDisk(FakeDisk):
    """A disk whose log can't be read while `fails` is set."""

    async def load(self, name: str) -> bytes | None:
        """Return a file's content, except for the log's."""
        if self.fails and name == LOG_FILE:
            raise PermissionError(13, "Permission denied", name)
        return await super().load(name)


class FailingAtStart(UnreadableDisk):
    """A disk that fails until it is told not to."""

    is_broken = True

    @property
    def fails(self) -> bool:
        """Whether reads of the log and all writes raise errors."""
        return self.is_broken

    @fails.setter
    def fails(self, value: bool) -> None:
        """Ignore the reset at the start of a process."""


@pytest.mark.parametrize("is_damaged", [False, True])
def test_file_cannot_be_read(is_damaged: bool) -> None:
    """Guards against an unreadable file that counts as damaged."""

    async def test(fleet: SimulatedFleet) -> None:
        controller = choose(fleet, "follower")
        controller.crash()
        disk = FailingAtStart(fleet.rng)
        disk.files = controller.disk.files
        disk_id = controller.replica.journal.disk_id
        if is_damaged:
            damage(disk, VOTE_FILE, empty)
        controller.disk = disk
        fleet.start(controller.name)
        await fleet.advance(3.0)
        assert "Permission denied" in controller.replica.fault
        disk.is_broken = False
        await fleet.advance(CATCH_UP_S)
        assert controller.replica.fault == ""
        journal = controller.replica.journal
        assert (journal.disk_id != disk_id) == is_damaged
        assert journal.set_aside == is_damaged
        assert votes(fleet, controller)

    run_fleet(0, test)
