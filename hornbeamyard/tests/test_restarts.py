"""Tests of crashes that only a new start at the same address shows."""

from __future__ import annotations

import pytest

from hornbeamyard.pool import restarts
from hornbeamyard.pool.crashes import Crash
from hornbeamyard.pool.restarts import CONFIRMATION_S, Restarts
from hornbeamyard.pool.upstream_registry import UpstreamStart

ADDRESS = "http://10.0.0.1:80"
OLD, NEW = UpstreamStart("u1", 1), UpstreamStart("u2", 2)


def build_restarts() -> Restarts:
    """Return restarts that know a request that broke off at `OLD`."""
    known = Restarts()
    known.record_start(OLD, ADDRESS, 0.0)
    known.keep(Crash(OLD, 1.0, "r1", {"a": 0}), ADDRESS)
    return known


class TestRestarts:
    """A new start confirms the crash of the upstream before."""

    def test_new_start_is_crash(self) -> None:
        """Guards against a crash that is forgotten with a new start."""
        known = build_restarts()
        assert known.record_start(OLD, ADDRESS, 1.5) is None
        assert known.record_start(NEW, "http://10.0.0.2:80", 1.5) is None
        crash = known.record_start(NEW, ADDRESS, 2.0)
        assert crash is not None
        assert crash.upstream == OLD
        assert crash.suspects == {"a": 0}
        assert known.record_start(OLD, ADDRESS, 2.5) is None

    def test_several_broken_requests(self) -> None:
        """Guards against a crash with only its last request as suspect."""
        known = build_restarts()
        known.record_answer(["a", "c"])
        known.keep(Crash(OLD, 1.1, "r1", {"b": 0}), ADDRESS)
        crash = known.record_start(NEW, ADDRESS, 2.0)
        assert crash is not None
        assert crash.cleared == {"a"}
        assert crash.suspects.keys() == {"a", "b"}

    def test_upstream_that_leaves(self) -> None:
        """Guards against a block for upstreams that end by themselves."""
        known = build_restarts()
        known.record_leaving(OLD)
        assert known.record_start(NEW, ADDRESS, 2.0) is None
        assert not known.is_replaced(OLD, ADDRESS)

    def test_start_is_known_first(self) -> None:
        """Guards against a request that is seen to break off too late."""
        known = Restarts()
        known.record_start(OLD, ADDRESS, 0.0)
        assert not known.is_replaced(OLD, ADDRESS)
        known.record_start(NEW, ADDRESS, 1.0)
        assert known.is_replaced(OLD, ADDRESS)

    def test_late_start(self) -> None:
        """Guards against blame for an end long after a lost connection."""
        known = build_restarts()
        late = 1.1 + CONFIRMATION_S
        assert known.record_start(NEW, ADDRESS, late) is None

    def test_memory_is_bounded(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against memory that grows with upstreams' starts."""
        monkeypatch.setattr(restarts, "MAX_UNCONFIRMED", 3)
        monkeypatch.setattr(restarts, "MAX_ADDRESSES", 3)
        monkeypatch.setattr(restarts, "MAX_LEAVING", 3)
        known = Restarts()
        for number in range(9):
            start = UpstreamStart(f"u{number}", 1)
            known.record_start(start, f"a{number}", 0.0)
            known.keep(Crash(start, 1.0, "r1", {"a": 0}), f"a{number}")
            known.record_leaving(start)
        assert len(known._starts) == 3
        assert len(known._unconfirmed) == 3
        assert len(known._leaving) == 3
