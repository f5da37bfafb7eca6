"""Tests of the encoding of scheduling data: round trips and changes only."""

from __future__ import annotations

import pytest

from hornbeamyard.connection import codec
from hornbeamyard.messages import fleet_pb2
from hornbeamyard.pool.allocation import AccountDemand, Allocation, Limit

DEMAND = AccountDemand(5, 2, 3, 12.5, 7, 4.25, 1.5)
ALLOCATION = Allocation(
    granted={"w": 4, "x": 1},
    closed={"x"},
    target_slots=5,
    recalled=True,
    contended=True,
    limits={
        "hotel": Limit(3, 1.25),
        "museum": Limit(2, -0.5, True, 0.0),
        "tram": Limit(1, 0.0, False, 1.35),
    },
)


class TestReport:
    """A router's report."""

    def test_round_trip(self) -> None:
        """Guards against fields that aren't encoded or decoded."""
        sender, receiver = codec.NameTable(), codec.NameTable()
        for _ in range(2):
            message = codec.encode_report(
                "p", {"hotel": DEMAND}, {"w": (4, 2)}, {"hotel": 1.5}, sender
            )
            assert codec.decode_demands(message, receiver) == {"hotel": DEMAND}
            assert codec.decode_slots(message, receiver) == {"w": (4, 2)}
            assert codec.decode_excess_service(message, receiver) == {
                "hotel": 1.5
            }

    @pytest.mark.requirement("R19")
    def test_sends_names_once(self) -> None:
        """Guards against control traffic for names in each message."""
        names = codec.NameTable()
        first, second = (
            codec.encode_report("p", {"hotel": DEMAND}, {}, {}, names)
            for _ in range(2)
        )
        assert first.accounts[0].client_account == "hotel"
        assert second.accounts[0].client_account == ""


class TestAllocation:
    """A controller's allocation."""

    def test_round_trip(self) -> None:
        """Guards against fields that aren't encoded or decoded."""
        names = codec.NameTable()
        message = codec.encode_allocation(
            "p", ALLOCATION, None, codec.NameTable()
        )
        data = message.SerializeToString()
        parsed = fleet_pb2.PoolAllocation.FromString(data)
        merged = codec.merge_allocation(Allocation(), parsed, names)
        assert merged == ALLOCATION

    @pytest.mark.requirement("R19")
    def test_omits_unchanged_entries(self) -> None:
        """Guards against control traffic for unchanged limits and grants."""
        names = codec.NameTable()
        codec.encode_allocation("p", ALLOCATION, None, names)
        message = codec.encode_allocation("p", ALLOCATION, ALLOCATION, names)
        assert not message.limits
        assert not message.grants

    def test_removes_dropped_limits(self) -> None:
        """Guards against limits that still apply to accounts now idle."""
        sender, receiver = codec.NameTable(), codec.NameTable()
        first = codec.encode_allocation("p", ALLOCATION, None, sender)
        merged = codec.merge_allocation(Allocation(), first, receiver)
        after = Allocation(granted={"w": 4, "x": 1}, target_slots=5)
        second = codec.encode_allocation("p", after, ALLOCATION, sender)
        assert codec.merge_allocation(merged, second, receiver) == after
