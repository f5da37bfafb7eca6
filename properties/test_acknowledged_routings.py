"""An acknowledged routing is in force, whichever controllers fail then.

Each router has a stream to each controller, and fetches a routing from the
first one that has it in force.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest

from .fleet_simulation import TOLERATED_HOSTS, Controller, SimulatedFleet

# Time until all controllers have heard of what is committed. It is less than
# the interval between the leader's heartbeats.
SPREAD_S = 0.1


def run_fleet(
    seed: int, test: Callable[[SimulatedFleet], Awaitable[None]]
) -> None:
    """Run a test with five controllers that have accepted a routing."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = SimulatedFleet(seed, tasks)
            await fleet.start_all()
            await fleet.submit()
            await fleet.advance(6.0 + fleet.rng.random())
            await test(fleet)
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def submit(fleet: SimulatedFleet) -> int:
    """Submit a routing; return its version right when it is acknowledged."""
    version = fleet.begin_submission()
    while fleet.acknowledged < version:
        await fleet.advance(0.001)
    return version


def has_version(controller: Controller, version: int) -> bool:
    """Return whether a version is in force at a controller."""
    return controller.replica.state.routing.version >= version


@pytest.mark.parametrize("seed", range(8))
def test_calm(seed: int) -> None:
    """Guards against controllers that learn of a commit by a heartbeat."""

    async def test(fleet: SimulatedFleet) -> None:
        version = await submit(fleet)
        await fleet.advance(SPREAD_S)
        for controller in fleet.controllers.values():
            assert has_version(controller, version)

    run_fleet(seed, test)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("fault", ["crash", "freeze", "cut"])
def test_leader_and_another_fail(seed: int, fault: str) -> None:
    """Guards against a routing that is in force only after an election.

    Those that fail are the leader and the one that would have it next.
    """

    async def test(fleet: SimulatedFleet) -> None:
        version = await submit(fleet)
        leader = fleet.find_leader()
        assert leader is not None
        failing = sorted(
            fleet.controllers.values(),
            key=lambda c: (c is leader, c.replica.state.last_index),
            reverse=True,
        )[:TOLERATED_HOSTS]
        for controller in failing:
            if fault == "cut":
                fleet.cut([controller.name])
            elif fault == "freeze":
                controller.timers.freeze()
            else:
                controller.crash()
        await fleet.advance(SPREAD_S)
        assert any(
            has_version(controller, version)
            for controller in fleet.controllers.values()
            if controller not in failing
        )

    run_fleet(seed, test)
