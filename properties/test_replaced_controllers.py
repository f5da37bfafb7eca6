"""What is acknowledged outlasts controllers that are gone for good.

The order of events in each test is one that the users' deployments allow: a
controller that is gone counts as lost until its successor has had
`CATCH_UP_S`, and two may be lost at a time.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest

from .fleet_simulation import CATCH_UP_S, SimulatedFleet

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


class TestFirstStart:
    """Nothing is acknowledged that too few disks hold."""

    @pytest.mark.parametrize("seed", range(8))
    def test_split(self, seed: int) -> None:
        """Guards against a log of a minority that loses what it accepted."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                fleet = SimulatedFleet(seed, tasks)
                for number in range(5):
                    fleet.start(f"c{number}", first_start=True)
                fleet.cut(["c0", "c1"])
                fleet.begin_submission()
                await fleet.advance(7.1)
                assert fleet.acknowledged == 0
                fleet.heal()
                await fleet.advance(CATCH_UP_S)
                assert fleet.acknowledged == 1
                await lose_two_disks(fleet)
                await fleet.check_recovery()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    @pytest.mark.parametrize("seed", range(8))
    @pytest.mark.parametrize("killed_at", [0.05, 0.3, 0.9])
    def test_two_killed(self, seed: int, killed_at: float) -> None:
        """Guards against a change on two of three disks that are lost.

        Two controllers are killed right after the first start and are back
        later, each with what its disk had.
        """

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                fleet = SimulatedFleet(seed, tasks)
                for number in range(5):
                    fleet.start(f"c{number}", first_start=True)
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
                tasks.cancel_scope.cancel()

        anyio.run(main)
