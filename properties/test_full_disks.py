"""Controllers whose disks take no more bytes for some seconds."""

from __future__ import annotations

import anyio
import pytest

from hornbeamyard.version.journal import LOG_FILE
from hornbeamyard.version.leadership import SNAPSHOT_TIMEOUT_S

from .fleet_simulation import SimulatedFleet
from .simulation import FakeDisk

# Time within which a change is acknowledged once all disks have room.
ACKNOWLEDGEMENT_S = 4.0


@pytest.mark.parametrize("seed", range(6))
def test_disks_are_full_in_turn(seed: int) -> None:
    """Guards against changes that are refused once all disks have room.

    Each disk is full for some seconds, never two at once, and then twice the
    leader's. The configuration changes all the while.
    """

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = SimulatedFleet(seed, tasks)
            await fleet.start_all()
            await fleet.submit()
            await fleet.advance(4.0)
            for name in (*fleet.controllers, "", ""):
                leader = fleet.find_leader()
                full = fleet.controllers[name] if name else leader
                if full is None:
                    continue
                full.disk.fails = True
                for _ in range(fleet.rng.randint(5, 25)):
                    fleet.begin_submission()
                    await fleet.advance(0.2)
                full.disk.fails = False
                await fleet.advance(fleet.rng.choice([0.05, 0.3, 1.0]))
            await fleet.submit(ACKNOWLEDGEMENT_S)
            await fleet.advance(ACKNOWLEDGEMENT_S)
            await fleet.submit(1.0)
            for controller in fleet.controllers.values():
                assert controller.replica.fault == ""
            tasks.cancel_scope.cancel()

    anyio.run(main)


class DiskFullAfterSnapshot(FakeDisk):
    """A disk that has room for a snapshot, and then not for the log.

    Attributes
    ----------
    refused : int
        Number of writes that were refused.
    """

    refused = 0

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file, unless it is the log."""
        if self.fails and name == LOG_FILE:
            self.refused += 1
            raise OSError(28, "No space left on device")
        fails, self.fails = self.fails, False
        await super().replace(name, data)
        self.fails = fails


def test_full_after_installed_snapshot() -> None:
    """Guards against a controller that ends with the next entry.

    The leader's snapshot reaches its disk, but not its state.
    """

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = SimulatedFleet(1, tasks)
            await fleet.start_all()
            await fleet.submit()
            leader = fleet.find_leader()
            assert leader is not None
            name = next(n for n in fleet.controllers if n != leader.name)
            behind = fleet.controllers[name]
            behind.crash()
            for _ in range(40):
                await fleet.submit()
            disk = DiskFullAfterSnapshot(fleet.rng)
            disk.files = behind.disk.files
            behind.disk = disk
            fleet.start(name)
            disk.fails = True
            await fleet.advance(2.0)
            assert disk.refused > 0
            disk.fails = False
            await fleet.advance(2.0)
            replica = behind.replica
            snapshot_index = replica.journal.snapshot.last_index
            # Otherwise the entries after the snapshot can't be applied.
            assert replica.state.last_index >= snapshot_index > 0
            # The refused call ends with its time limit.
            await fleet.advance(SNAPSHOT_TIMEOUT_S)
            await fleet.submit()
            await fleet.advance(1.0)
            assert replica.state.routing.version == fleet.acknowledged
            tasks.cancel_scope.cancel()

    anyio.run(main)
