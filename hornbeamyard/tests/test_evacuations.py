"""Evacuation of availability zones, from the order to the routers."""

from __future__ import annotations

import pytest

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.pool.evacuations import (
    MAX_ZONE_BYTES,
    Evacuations,
    check_zone,
)
from hornbeamyard.version import state as state_module
from hornbeamyard.version.state import FleetState


def order(
    state: FleetState, zone: str, evacuated: bool = True
) -> fleet_pb2.EvacuationResult:
    """Apply an order as the next log entry."""
    entry = fleet_pb2.LogEntry(
        index=state.last_index + 1,
        term=1,
        evacuation=fleet_pb2.EvacuationOrder(
            availability_zone=zone, evacuated=evacuated
        ),
    )
    outcome = state.apply(entry)
    assert isinstance(outcome, fleet_pb2.EvacuationResult)
    return outcome


class TestState:
    """The set of evacuated zones in the replicated state."""

    def test_repeated_orders_change_nothing(self) -> None:
        """Guards against a resent order that undoes or renumbers the set."""
        state = FleetState()
        for zone, evacuated, zones, index in (
            ("a", False, set(), 0),
            ("a", True, {"a"}, 2),
            ("a", True, {"a"}, 2),
            ("b", True, {"a", "b"}, 4),
            ("a", False, {"b"}, 5),
            ("a", False, {"b"}, 5),
        ):
            assert order(state, zone, evacuated).decided
            assert state.evacuated_zones == zones
            assert state.evacuations_index == index

    def test_survives_snapshot(self) -> None:
        """Guards against a set that is lost with the log before a snapshot."""
        state = FleetState()
        for zone in ("b", "a", "\u00e9-1"):
            order(state, zone)
        order(state, "b", False)
        data = state.build_snapshot().SerializeToString()
        snapshot = fleet_pb2.SnapshotState.FromString(data)
        restored = FleetState.from_snapshot(snapshot)
        assert restored.evacuated_zones == {"a", "\u00e9-1"}
        assert restored.evacuations_index == 4

    def test_number_of_zones_is_limited(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a set that exceeds the size of a message."""
        monkeypatch.setattr(state_module, "MAX_EVACUATED_ZONES", 2)
        state = FleetState()
        order(state, "a")
        order(state, "b")
        assert order(state, "c").is_full
        # An order that is in force already is acknowledged.
        assert not order(state, "a").is_full
        assert state.evacuated_zones == {"a", "b"}
        order(state, "a", False)
        assert not order(state, "c").is_full


class TestZoneNames:
    """Any name that can be stored is accepted."""

    @pytest.mark.parametrize(
        "zone", ["a", "zone/1", "\u00e9" * (MAX_ZONE_BYTES // 2), "a b"]
    )
    def test_accepts(self, zone: str) -> None:
        """Guards against an order refused for a zone that may exist."""
        assert check_zone(zone) == []

    @pytest.mark.parametrize(
        "zone",
        ["", "a\n", "\ud800", "x" * (MAX_ZONE_BYTES + 1), "\u00e9" * 128],
    )
    def test_refuses(self, zone: str) -> None:
        """Guards against a name that no message can hold."""
        assert len(check_zone(zone)) == 1


class TestNewestSet:
    """A router keeps the newest set that it has heard of."""

    def test_ignores_older_set(self) -> None:
        """Guards against a lagging controller that ends an evacuation."""
        evacuations = Evacuations()
        assert evacuations.apply([], 0) is None
        change = evacuations.apply(["a", "b"], 7)
        assert change is not None
        assert (change.started, change.ended) == ({"a", "b"}, set())
        assert evacuations.apply([], 5) is None
        assert evacuations.apply(["a", "b"], 7) is None
        assert evacuations.zones == {"a", "b"}
        change = evacuations.apply(["b", "c"], 9)
        assert change is not None
        assert (change.started, change.ended) == ({"c"}, {"a"})
