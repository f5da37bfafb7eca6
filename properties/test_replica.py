"""The controllers' replicated log under random faults.

Each example is a seed of `properties/cluster.py`: elections, crashes before
and after each sync, lost, late and duplicated messages, one-way and two-way
partitions, frozen leaders, competing and resent patches, failing and emptied
disks, replaced members.
"""

from __future__ import annotations

import anyio
import hypothesis
import pytest
from hypothesis import strategies

from .cluster import Cluster, run_seed


@pytest.mark.requirement("R8", fault="crashes, partitions, frozen leaders")
@pytest.mark.requirement("R12", fault="one-way and two-way partitions")
@pytest.mark.requirement("R13", fault="concurrent and resent patches")
@pytest.mark.requirement("R14", fault="disks emptied in succession")
@pytest.mark.requirement("R5", fault="competing attempts at one claim")
class TestRandomFaults:
    """The log is safe under faults, and works again after them."""

    @hypothesis.settings(
        max_examples=60, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        seed=strategies.integers(0, 10**9),
        size=strategies.sampled_from([3, 5]),
    )
    def test_guarantees_hold(self, seed: int, size: int) -> None:
        """Guards against results that are lost, duplicated or change."""
        cluster = run_seed(seed, size)
        assert cluster.history.accepted

    def test_is_deterministic(self) -> None:
        """Guards against failures that can't be reproduced from a seed."""
        first, second = run_seed(11, 3), run_seed(11, 3)
        assert first.trace == second.trace
        assert first.history == second.history


@pytest.mark.requirement("R14", fault="second member lost after a repair")
class TestRepair:
    """A member with an emptied disk rejoins under a new id."""

    def test_second_member_lost_after_repair(self) -> None:
        """Guards against a repaired member that votes without any data."""

        async def run() -> None:
            cluster = Cluster(1, 3)
            await cluster.run_disk_repair()
            assert len(cluster.history.accepted) >= 2

        anyio.run(run)


class TestSlowControllers:
    """A leader is elected also while votes take long."""

    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize("delay_s", [0.55, 0.7])
    def test_votes_come_after_a_second(
        self, seed: int, delay_s: float
    ) -> None:
        """Guards against campaigns that all give up just before the votes.

        Beside a load of four processes for each core, votes took 0.7 to 1.2 s,
        and no leader was found within 15 s.
        """
        anyio.run(Cluster(seed, 3).run_slow_election, delay_s)
