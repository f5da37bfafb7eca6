"""Tests of closing the claims of routers that are gone."""

from __future__ import annotations

from typing import cast

import anyio
import pytest

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.version.claims import ClaimTable
from hornbeamyard.version.orphans import ORPHAN_TIMEOUT_S, OrphanCloser
from hornbeamyard.version.replica import Replica

LOST = fleet_pb2.Identity(host="r0", incarnation=7)
OTHER = fleet_pb2.Identity(host="r1", incarnation=8)


class FakeState:
    """The claims of a replicated state."""

    def __init__(self) -> None:
        self.claims = ClaimTable()


class FakeReplica:
    """A replica that commits at once."""

    def __init__(self) -> None:
        self.state = FakeState()
        self.leads = True

    def is_leader(self) -> bool:
        """Return whether this replica leads."""
        return self.leads

    async def make_claims(self, batch: fleet_pb2.ClaimBatch) -> None:
        """Apply a batch."""
        self.state.claims.apply(batch, 1)

    def claim(
        self, identity: fleet_pb2.Identity, attempt: bytes
    ) -> fleet_pb2.ClaimState:
        """Claim the key `k` and return the resulting state."""
        batch = fleet_pb2.ClaimBatch(identity=identity)
        batch.operations.add(
            client_account="library",
            key="k",
            kind=fleet_pb2.ClaimOperation.MAKE,
            attempt=attempt,
        )
        return self.state.claims.apply(batch, 1).results[0].state


class TestOrphanCloser:
    """Retries of a lost router's requests get a final outcome."""

    @pytest.mark.requirement("R5", fault="router killed and not restarted")
    @pytest.mark.parametrize(
        ("attached", "leads", "state"),
        [
            ([], True, fleet_pb2.OUTCOME_UNKNOWN),
            (["r0"], True, fleet_pb2.IN_PROGRESS),
            ([], False, fleet_pb2.IN_PROGRESS),
        ],
    )
    def test_closes_claims_of_missing_router(
        self, attached: list[str], leads: bool, state: fleet_pb2.ClaimState
    ) -> None:
        """Guards against claims that stay in progress until they expire."""

        async def run() -> None:
            replica = FakeReplica()
            replica.leads = leads
            assert replica.claim(LOST, b"1") == fleet_pb2.GRANTED
            closer = OrphanCloser(
                cast(Replica, replica), VirtualTimers(), lambda: attached
            )
            await closer.check(0.0)
            await closer.check(ORPHAN_TIMEOUT_S - 1)
            assert replica.claim(OTHER, b"2") == fleet_pb2.IN_PROGRESS
            await closer.check(ORPHAN_TIMEOUT_S)
            assert replica.claim(OTHER, b"3") == state

        anyio.run(run)
