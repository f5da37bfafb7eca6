"""What is acknowledged outlasts controllers that are gone for good.

The order of events in each test is one that the users' deployments allow: a
controller that is gone counts as lost until its successor has had
`CATCH_UP_S`, and two may be lost at a time.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import anyio
import pytest

from hornbeamyard.version.founding import ControllerState
from hornbeamyard.version.journal import LOG_FILE, VOTE_FILE
from hornbeamyard.version.membership import is_voter

from .fleet_simulation import CATCH_UP_S, RECOVERY_S, SimulatedFleet

# Time until a host that has lost its disk is back.
DOWN_S = 1.0


def run_fleet(
    seed: int, test: Callable[[SimulatedFleet], Awaitable[None]]
) -> None:
    """Run a test with five controllers that have accepted a routing."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = SimulatedFleet(seed, tasks)
            await fleet.start_all()
            await fleet.submit()
            await fleet.advance(6.0)
            await test(fleet)
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def lose_two_disks(fleet: SimulatedFleet) -> None:
    """Lose two disks among the members that have lasted longest."""
    oldest = sorted(fleet.controllers, key=lambda name: int(name[1:]))
    for name in oldest[:2]:
        fleet.lose_disk(name)
    await fleet.advance(DOWN_S)
    for name in oldest[:2]:
        fleet.start(name)


async def replace_controller(
    fleet: SimulatedFleet, name: str, successor: str, after_s: float
) -> None:
    """Remove a controller for good; its successor starts later."""
    fleet.remove(name)
    await fleet.advance(after_s)
    fleet.start(successor)


class TestReplacedControllers:
    """A successor is a voter as soon as its predecessor stops counting."""

    @pytest.mark.parametrize("seed", range(8))
    @pytest.mark.parametrize("after_s", [0.05, 1.0])
    @pytest.mark.parametrize("role", ["leader", "follower"])
    @pytest.mark.parametrize("submits", [True, False])
    def test_disks_lost_after_catching_up(
        self, seed: int, after_s: float, role: str, submits: bool
    ) -> None:
        """Guards against a voter that is gone when two others are lost."""

        async def test(fleet: SimulatedFleet) -> None:
            leader = fleet.find_leader()
            assert leader is not None
            others = [n for n in fleet.controllers if n != leader.name]
            name = (
                leader.name if role == "leader" else fleet.rng.choice(others)
            )
            await replace_controller(fleet, name, "c5", after_s)
            await fleet.advance(CATCH_UP_S)
            if submits:
                await fleet.submit()
            await lose_two_disks(fleet)
            await fleet.check_recovery()

        run_fleet(seed, test)

    @pytest.mark.parametrize("seed", range(4))
    def test_forgotten_by_all(self, seed: int) -> None:
        """Guards against former controllers that are tried as successors.

        Routers count them as well, and a cluster that has lost too many disks
        is founded again only by all controllers that are known.
        """

        async def test(fleet: SimulatedFleet) -> None:
            await replace_controller(fleet, "c3", "c5", 1.0)
            await fleet.advance(CATCH_UP_S)
            await replace_controller(fleet, "c4", "c6", 1.0)
            await fleet.advance(30.0)
            for controller in fleet.controllers.values():
                known = controller.founder.describe().controllers
                assert [c.host for c in known] == sorted(fleet.controllers)

        run_fleet(seed, test)

    @pytest.mark.parametrize("seed", range(8))
    def test_leader_changes_meanwhile(self, seed: int) -> None:
        """Guards against a silence that each new leader counts anew.

        The change is acknowledged while the leader is replaced, and has to
        wait for the successor.
        """

        async def test(fleet: SimulatedFleet) -> None:
            await replace_controller(fleet, "c4", "c5", 1.0)
            for _ in range(2):
                await fleet.advance(1.5)
                leader = fleet.find_leader()
                if leader is not None:
                    leader.crash()
                    fleet.start(leader.name)
            await fleet.submit()
            await lose_two_disks(fleet)
            await fleet.check_recovery()

        run_fleet(seed, test)

    @pytest.mark.parametrize("seed", range(4))
    def test_two_in_succession(self, seed: int) -> None:
        """Guards against replacements that exclude each other."""

        async def test(fleet: SimulatedFleet) -> None:
            fleet.remove("c3")
            await replace_controller(fleet, "c4", "c5", 0.5)
            fleet.start("c6")
            await fleet.advance(CATCH_UP_S)
            await lose_two_disks(fleet)
            await fleet.check_recovery()

        run_fleet(seed, test)

    def test_successor_that_never_replies(self) -> None:
        """Guards against changes that wait for a successor without end."""

        async def test(fleet: SimulatedFleet) -> None:
            fleet.remove("c4")
            successor = fleet.start("c5")
            leader = fleet.find_leader()
            assert leader is not None
            # Its introductions arrive, but nothing that is sent to it.
            for name in fleet.controllers:
                fleet.network.blocked.add((name, successor.name))
            await fleet.submit(3 * CATCH_UP_S)

        run_fleet(3, test)

    @pytest.mark.parametrize("seed", range(16))
    @pytest.mark.parametrize("down_s", [1.9, 3.0, 8.0])
    def test_disk_lost_during_long_silence(
        self, seed: int, down_s: float
    ) -> None:
        """Guards against a learner removed for its predecessor's silence."""

        async def test(fleet: SimulatedFleet) -> None:
            fleet.lose_disk("c0")
            await fleet.advance(down_s)
            fleet.start("c0")
            await fleet.advance(CATCH_UP_S)
            leader = fleet.find_leader()
            assert leader is not None
            journal = fleet.controllers["c0"].replica.journal
            assert is_voter(
                leader.replica.state.members,
                "c0",
                journal.disk_id,
                journal.initial,
            )

        run_fleet(seed, test)

    @pytest.mark.parametrize("seed", range(4))
    def test_former_member_returns(self, seed: int) -> None:
        """Guards against a replaced member that disturbs the others.

        It was only cut off. It is there for the next replacement.
        """

        async def test(fleet: SimulatedFleet) -> None:
            fleet.cut(["c4"])
            fleet.start("c5")
            await fleet.advance(CATCH_UP_S)
            await fleet.submit()
            fleet.heal()
            await fleet.advance(1.0)
            await fleet.submit(2.0)
            fleet.remove("c5")
            await fleet.advance(CATCH_UP_S)
            await lose_two_disks(fleet)
            await fleet.check_recovery()

        run_fleet(seed, test)


async def start_fleet(fleet: SimulatedFleet, late: Sequence[str]) -> None:
    """Start all controllers for the first time but the late ones."""
    for number in range(5):
        if f"c{number}" not in late:
            fleet.start(f"c{number}", first_start=True)
    await fleet.advance(0.0)


def run_first_start(
    seed: int, test: Callable[[SimulatedFleet], Awaitable[None]]
) -> None:
    """Run a test with five controllers that haven't been started."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await test(SimulatedFleet(seed, tasks))
            tasks.cancel_scope.cancel()

    anyio.run(main)


class TestFirstStart:
    """A first start always ends in a cluster that keeps what it accepts."""

    @pytest.mark.parametrize("seed", range(8))
    @pytest.mark.parametrize("lost", [["c0", "c1"], ["c2", "c3"]])
    def test_split(self, seed: int, lost: list[str]) -> None:
        """Guards against a log of a minority that loses what it accepted.

        The disks are lost right after the split, when the smaller side still
        counts as lost.
        """

        async def test(fleet: SimulatedFleet) -> None:
            await start_fleet(fleet, [])
            fleet.cut(["c0", "c1"])
            fleet.begin_submission()
            await fleet.advance(7.1)
            for name in ("c0", "c1"):
                state = fleet.controllers[name].founder.get_state()
                assert state is ControllerState.SEARCHING
            fleet.heal()
            await fleet.advance(0.1)
            for name in lost:
                fleet.lose_disk(name)
            await fleet.advance(DOWN_S)
            for name in lost:
                fleet.start(name)
            await fleet.check_recovery()

        run_first_start(seed, test)

    @pytest.mark.parametrize("seed", range(8))
    @pytest.mark.parametrize("killed_at", [0.05, 0.3, 0.9])
    def test_two_killed(self, seed: int, killed_at: float) -> None:
        """Guards against a change on two of three disks that are lost.

        Two controllers are killed right after the first start and are back
        later, each with what its disk had.
        """

        async def test(fleet: SimulatedFleet) -> None:
            await start_fleet(fleet, [])
            await fleet.advance(killed_at)
            for name in ("c3", "c4"):
                fleet.controllers[name].crash()
            fleet.begin_submission()
            await fleet.advance(7.0)
            assert fleet.acknowledged == 1
            fleet.start("c3")
            await fleet.advance(2.0)
            fleet.start("c4")
            await fleet.advance(CATCH_UP_S)
            await lose_two_disks(fleet)
            await fleet.check_recovery()

        run_first_start(seed, test)

    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("killed", [["c3", "c4"], ["c0", "c1"]])
    @pytest.mark.parametrize("after_s", [0.0, 0.5, 1.5])
    def test_disks_lost_before_all_are_members(
        self, seed: int, killed: list[str], after_s: float
    ) -> None:
        """Guards against a change that a single voter holds and can't serve.

        Two controllers are killed at the first start. The others found the
        cluster, and two of them lose their disks soon after the first
        acknowledgement.
        """

        async def test(fleet: SimulatedFleet) -> None:
            await start_fleet(fleet, [])
            await fleet.advance(0.3)
            for name in killed:
                fleet.controllers[name].crash()
            await fleet.submit()
            await fleet.advance(after_s)
            lost = sorted(fleet.controllers.keys() - set(killed))[:2]
            for name in lost:
                fleet.lose_disk(name)
            await fleet.advance(DOWN_S)
            for name in (*lost, *killed):
                fleet.start(name)
            await fleet.check_recovery()

        run_first_start(seed, test)

    @pytest.mark.parametrize("seed", range(2))
    @pytest.mark.parametrize("late_s", [0.5, 2.0, 7.0])
    @pytest.mark.parametrize("late", ["c0", "c1", "c4", "c0 c1", "c0 c1 c2"])
    def test_late_controllers(
        self, seed: int, late_s: float, late: str
    ) -> None:
        """Guards against a fleet that waits for one controller to found it.

        The late ones have empty disks, and don't know that it is the first
        start.
        """

        async def test(fleet: SimulatedFleet) -> None:
            await start_fleet(fleet, late.split())
            await fleet.advance(late_s)
            for name in late.split():
                fleet.start(name)
            await fleet.submit(RECOVERY_S)
            await fleet.advance(CATCH_UP_S)
            await lose_two_disks(fleet)
            await fleet.check_recovery()

        run_first_start(seed, test)

    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("killed", ["c0", "c0 c1", "c0 c1 c2 c3 c4"])
    @pytest.mark.parametrize(
        "killed_at", [0.001, 0.01, 0.3, 0.62, 0.7, 0.9, 1.2]
    )
    def test_killed_while_founding(
        self, seed: int, killed: str, killed_at: float
    ) -> None:
        """Guards against a fleet that forgets that it isn't founded yet.

        The processes are killed between any two writes of the first start,
        and are back within a second.
        """

        async def test(fleet: SimulatedFleet) -> None:
            await start_fleet(fleet, [])
            await fleet.advance(killed_at)
            for name in killed.split():
                fleet.controllers[name].crash()
            await fleet.advance(0.5)
            for name in killed.split():
                fleet.start(name)
            await fleet.submit(RECOVERY_S)

        run_first_start(seed, test)

    @pytest.mark.parametrize("seed", range(4))
    def test_no_folder_remembers(self, seed: int) -> None:
        """Guards against a fleet that no one founds after a common end.

        All processes ended at the first start before they had written
        anything, and none knows that it is the first one.
        """

        async def test(fleet: SimulatedFleet) -> None:
            for number in range(5):
                fleet.start(f"c{number}")
            await fleet.submit(RECOVERY_S)

        run_first_start(seed, test)

    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("away", ["c0", "c4"])
    def test_emptied_controllers_found_no_second_log(
        self, seed: int, away: str
    ) -> None:
        """Guards against emptied controllers that forget an existing log."""

        async def test(fleet: SimulatedFleet) -> None:
            await fleet.start_all()
            await fleet.submit()
            await fleet.advance(6.0)
            emptied = sorted(fleet.controllers.keys() - {away})
            fleet.cut([away])
            for name in emptied:
                fleet.lose_disk(name)
                fleet.start(name)
            fleet.begin_submission()
            await fleet.advance(30.0)
            assert fleet.acknowledged == 1

        run_first_start(seed, test)

    @pytest.mark.parametrize("seed", range(8))
    @pytest.mark.parametrize("late", ["c0", "c4"])
    def test_split_while_growing(self, seed: int, late: str) -> None:
        """Guards against an older read by voters that know fewer members.

        A fifth controller becomes a voter while two others are cut off. Two
        of the three that have acknowledged a version lose their disks.
        """

        async def test(fleet: SimulatedFleet) -> None:
            await start_fleet(fleet, [late])
            await fleet.submit()
            await fleet.advance(3.0)
            fleet.start(late, first_start=True)
            leader = fleet.find_leader()
            assert leader is not None
            members = leader.replica.state.members.members
            while late not in [member.host for member in members]:
                await fleet.advance(0.001)
                members = leader.replica.state.members.members
            followers = sorted(fleet.controllers.keys() - {late, leader.name})
            fleet.cut(followers[:2])
            fleet.begin_submission()
            await fleet.advance(6.0)
            lost = [leader.name, followers[2]]
            for name in lost:
                fleet.lose_disk(name)
            await fleet.advance(0.5)
            for name in lost:
                fleet.start(name)
            fleet.heal()
            await fleet.check_recovery()

        run_first_start(seed, test)

    @pytest.mark.parametrize("seed", range(2))
    def test_folders_of_an_earlier_release(self, seed: int) -> None:
        """Guards against a fleet that never starts after an upgrade.

        The earlier release has made the folders and hasn't founded a cluster.
        """

        async def test(fleet: SimulatedFleet) -> None:
            names = [f"c{number}" for number in range(5)]
            for name in names:
                controller = fleet.start(name)
                await fleet.advance(0.06)
                controller.crash()
                del controller.disk.files[LOG_FILE]
            for name in names:
                fleet.start(name)
            await fleet.submit()

        run_first_start(seed, test)

    @pytest.mark.parametrize("seed", range(4))
    def test_set_aside_folders_begin_no_log(self, seed: int) -> None:
        """Guards against an empty cluster in place of one with all damaged."""

        async def test(fleet: SimulatedFleet) -> None:
            await fleet.start_all()
            await fleet.submit()
            await fleet.advance(3.0)
            for controller in fleet.controllers.values():
                controller.crash()
                controller.disk.files[VOTE_FILE] = b""
            for name in fleet.controllers:
                fleet.start(name)
            fleet.begin_submission()
            await fleet.advance(30.0)
            assert fleet.acknowledged == 1

        run_first_start(seed, test)
