"""Tests of the upstreams that announce themselves."""

from __future__ import annotations

from hornbeamyard.pool.upstream_registry import (
    Upstream,
    UpstreamRegistry,
    UpstreamState,
)


def announce(
    id: str = "u1",
    address: str = "10.0.0.1:80",
    sequence: int = 1,
    started_ms: int = 0,
    state: UpstreamState = UpstreamState.READY,
    pool: str = "model",
) -> Upstream:
    """Return an announcement."""
    return Upstream(
        id, pool, address, "zone-a", state, 8, sequence, started_ms
    )


class TestTake:
    """Announcements are ordered by start and number."""

    def test_repeated_announcement_changes_nothing(self) -> None:
        census = UpstreamRegistry()
        assert len(census.announce(announce(sequence=1), 0.0)) == 1
        assert census.announce(announce(sequence=2), 1.0) == []

    def test_late_announcement_does_not_undo_draining(self) -> None:
        census = UpstreamRegistry()
        draining = announce(sequence=5, state=UpstreamState.DRAINING)
        census.announce(announce(sequence=4), 0.0)
        assert census.announce(draining, 1.0)
        assert census.announce(announce(sequence=4), 2.0) == []
        held = census.get("u1")
        assert held is not None
        assert held.state is UpstreamState.DRAINING

    def test_restart_under_the_same_id_counts_anew(self) -> None:
        census = UpstreamRegistry()
        census.announce(announce(sequence=90, started_ms=1000), 0.0)
        changed = census.announce(announce(sequence=1, started_ms=2000), 1.0)
        assert [u.started_ms for u in changed] == [2000]
        assert (
            census.announce(announce(sequence=91, started_ms=1000), 2.0) == []
        )

    def test_late_announcement_after_the_end(self) -> None:
        census = UpstreamRegistry()
        census.announce(announce(sequence=3), 0.0)
        ended = census.end("u1", 0, 1.0)
        assert [u.state for u in ended] == [UpstreamState.GONE]
        assert census.announce(announce(sequence=4), 2.0) == []
        assert len(census) == 0

    def test_end_is_known_before_any_announcement(self) -> None:
        census = UpstreamRegistry()
        assert census.end("u1", 0, 1.0) == []
        assert census.announce(announce(sequence=4), 2.0) == []

    def test_new_start_after_the_end(self) -> None:
        census = UpstreamRegistry()
        census.announce(announce(started_ms=1000), 0.0)
        census.end("u1", 0, 1.0)
        assert (
            census.announce(announce(started_ms=1000, sequence=9), 2.0) == []
        )
        assert len(census.announce(announce(started_ms=3000), 3.0)) == 1

    def test_address_taken_over_by_another_pool(self) -> None:
        census = UpstreamRegistry()
        census.announce(announce("u1", pool="model"), 0.0)
        changed = census.announce(announce("u2", pool="app"), 5.0)
        assert {(u.id, u.state) for u in changed} == {
            ("u1", UpstreamState.GONE),
            ("u2", UpstreamState.READY),
        }
        # A heartbeat of the dead one, held up by a partition.
        assert census.announce(announce("u1", sequence=7), 6.0) == []
        assert [u.id for u in census] == ["u2"]

    def test_older_start_at_a_taken_address(self) -> None:
        census = UpstreamRegistry()
        census.announce(announce("u2", started_ms=2000), 0.0)
        assert census.announce(announce("u1", started_ms=1000), 1.0) == []
        assert [u.id for u in census] == ["u2"]


class TestExpire:
    """An upstream that falls silent is dropped, but may come back."""

    def test_lost_and_back(self) -> None:
        census = UpstreamRegistry()
        upstream = announce()
        upstream.heard_at = 0.0
        census.announce(upstream, 0.0)
        census.renew("u1", 0, 2, 3.0)
        assert census.expire(7.0, 5.0) == []
        assert [u.id for u in census.expire(9.0, 5.0)] == ["u1"]
        assert len(census.announce(announce(sequence=3), 10.0)) == 1

    def test_back_with_an_unchanged_announcement(self) -> None:
        """Guards against a router that wakes up and never sends to it again.

        Controllers that have heard of the upstream all the while send only
        renewals.
        """
        census = UpstreamRegistry()
        census.announce(announce(sequence=3), 0.0)
        for lost in census.expire(9.0, 4.0):
            lost.state = UpstreamState.GONE
        changed = census.renew("u1", 0, 9, 10.0)
        assert [(u.id, u.state) for u in changed] == [
            ("u1", UpstreamState.READY)
        ]
        assert [(u.sequence, u.heard_at) for u in census] == [(9, 10.0)]

    def test_not_back_after_its_end(self) -> None:
        census = UpstreamRegistry()
        census.announce(announce(sequence=3), 0.0)
        census.expire(9.0, 4.0)
        census.end("u1", 0, 9.5)
        assert census.renew("u1", 0, 9, 10.0) == []
        assert len(census) == 0

    def test_not_back_at_an_address_of_another(self) -> None:
        """Guards against requests to an upstream that has taken over."""
        census = UpstreamRegistry()
        census.announce(announce("u1", sequence=3), 0.0)
        census.expire(9.0, 4.0)
        census.announce(announce("u2", pool="app"), 9.5)
        assert census.renew("u1", 0, 9, 10.0) == []
        assert [u.id for u in census] == ["u2"]
