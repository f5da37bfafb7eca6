"""Tests of the registry of upstreams that announce themselves."""

from __future__ import annotations

import pytest

from hornbeamyard.pool.upstream_registry import (
    Upstream,
    UpstreamRegistry,
    UpstreamState,
)


def build_announcement(
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


class TestAnnounce:
    """Announcements are ordered by start time and sequence number."""

    def test_repeated_announcement_changes_nothing(self) -> None:
        """Guards against updates to routers for repeated announcements."""
        registry = UpstreamRegistry()
        assert len(registry.announce(build_announcement(sequence=1), 0.0)) == 1
        assert registry.announce(build_announcement(sequence=2), 1.0) == []

    def test_late_announcement_does_not_undo_draining(self) -> None:
        """Guards against new requests to an upstream that is draining."""
        registry = UpstreamRegistry()
        draining = build_announcement(sequence=5, state=UpstreamState.DRAINING)
        registry.announce(build_announcement(sequence=4), 0.0)
        assert registry.announce(draining, 1.0)
        assert registry.announce(build_announcement(sequence=4), 2.0) == []
        known = registry.get("u1")
        assert known is not None
        assert known.state is UpstreamState.DRAINING

    def test_restart_under_the_same_id_counts_anew(self) -> None:
        """Guards against ignoring an upstream that has restarted."""
        registry = UpstreamRegistry()
        registry.announce(
            build_announcement(sequence=90, started_ms=1000), 0.0
        )
        changed = registry.announce(
            build_announcement(sequence=1, started_ms=2000), 1.0
        )
        assert [u.started_ms for u in changed] == [2000]
        assert (
            registry.announce(
                build_announcement(sequence=91, started_ms=1000), 2.0
            )
            == []
        )

    def test_late_announcement_after_the_end(self) -> None:
        """Guards against requests to an upstream that has ended."""
        registry = UpstreamRegistry()
        registry.announce(build_announcement(sequence=3), 0.0)
        ended = registry.record_end("u1", 0, 1.0)
        assert [u.state for u in ended] == [UpstreamState.GONE]
        assert registry.announce(build_announcement(sequence=4), 2.0) == []
        assert len(registry) == 0

    def test_end_is_known_before_any_announcement(self) -> None:
        """Guards against adding an upstream after its end."""
        registry = UpstreamRegistry()
        assert registry.record_end("u1", 0, 1.0) == []
        assert registry.announce(build_announcement(sequence=4), 2.0) == []

    def test_new_start_after_the_end(self) -> None:
        """Guards against ignoring an upstream that has restarted."""
        registry = UpstreamRegistry()
        registry.announce(build_announcement(started_ms=1000), 0.0)
        registry.record_end("u1", 0, 1.0)
        assert (
            registry.announce(
                build_announcement(started_ms=1000, sequence=9), 2.0
            )
            == []
        )
        assert (
            len(registry.announce(build_announcement(started_ms=3000), 3.0))
            == 1
        )

    def test_address_taken_over_by_another_pool(self) -> None:
        """Guards against requests to an upstream that was replaced."""
        registry = UpstreamRegistry()
        registry.announce(build_announcement("u1", pool="model"), 0.0)
        changed = registry.announce(build_announcement("u2", pool="app"), 5.0)
        assert {(u.id, u.state) for u in changed} == {
            ("u1", UpstreamState.GONE),
            ("u2", UpstreamState.READY),
        }
        # A late announcement of the ended one, delayed by a partition.
        assert (
            registry.announce(build_announcement("u1", sequence=7), 6.0) == []
        )
        assert [u.id for u in registry] == ["u2"]

    def test_older_start_at_a_taken_address(self) -> None:
        """Guards against a late announcement that replaces a newer one."""
        registry = UpstreamRegistry()
        registry.announce(build_announcement("u2", started_ms=2000), 0.0)
        assert (
            registry.announce(build_announcement("u1", started_ms=1000), 1.0)
            == []
        )
        assert [u.id for u in registry] == ["u2"]


class TestExpire:
    """A silent upstream is removed, but may come back."""

    def test_lost_and_back(self) -> None:
        """Guards against upstreams that stay lost."""
        registry = UpstreamRegistry()
        upstream = build_announcement()
        upstream.last_seen_at = 0.0
        registry.announce(upstream, 0.0)
        registry.renew("u1", 0, 2, 3.0)
        assert registry.expire(7.0, 5.0) == []
        assert [u.id for u in registry.expire(9.0, 5.0)] == ["u1"]
        assert (
            len(registry.announce(build_announcement(sequence=3), 10.0)) == 1
        )

    def test_back_with_an_unchanged_announcement(self) -> None:
        """Guards against a router that never uses a lost upstream again.

        Controllers that received all its announcements send only renewals.
        """
        registry = UpstreamRegistry()
        registry.announce(build_announcement(sequence=3), 0.0)
        for lost in registry.expire(9.0, 4.0):
            lost.state = UpstreamState.GONE
        changed = registry.renew("u1", 0, 9, 10.0)
        assert [(u.id, u.state) for u in changed] == [
            ("u1", UpstreamState.READY)
        ]
        assert [(u.sequence, u.last_seen_at) for u in registry] == [(9, 10.0)]

    def test_not_back_after_its_end(self) -> None:
        """Guards against requests to an upstream that ended while lost."""
        registry = UpstreamRegistry()
        registry.announce(build_announcement(sequence=3), 0.0)
        registry.expire(9.0, 4.0)
        registry.record_end("u1", 0, 9.5)
        assert registry.renew("u1", 0, 9, 10.0) == []
        assert len(registry) == 0

    def test_not_back_at_an_address_of_another(self) -> None:
        """Guards against requests to the wrong upstream at an address."""
        registry = UpstreamRegistry()
        registry.announce(build_announcement("u1", sequence=3), 0.0)
        registry.expire(9.0, 4.0)
        registry.announce(build_announcement("u2", pool="app"), 9.5)
        assert registry.renew("u1", 0, 9, 10.0) == []
        assert [u.id for u in registry] == ["u2"]


class TestDisplaced:
    """Without start times, the upstream that goes on announcing itself stays.

    Two have announced the same address, and either may be the later one.
    """

    @staticmethod
    def build_registry(is_lost: bool) -> UpstreamRegistry:
        """Return a registry in which u2 has replaced u1 at its address."""
        registry = UpstreamRegistry()
        registry.announce(build_announcement("u1", sequence=5), 0.0)
        if is_lost:
            registry.expire(9.0, 4.0)
        registry.announce(build_announcement("u2", pool="app"), 9.5)
        return registry

    @pytest.mark.parametrize("is_lost", [True, False])
    def test_late_announcements_of_the_former_one(self, is_lost: bool) -> None:
        """Guards against a new upstream that its predecessor removes.

        Announcements that were held up arrive when a partition ends, some
        together and one later.
        """
        registry = self.build_registry(is_lost)
        for sequence in (6, 7, 8):
            late = build_announcement("u1", sequence=sequence)
            assert registry.announce(late, 9.6) == []
        registry.renew("u2", 0, 2, 10.7)
        late = build_announcement("u1", sequence=9)
        assert registry.announce(late, 11.0) == []
        assert [u.id for u in registry] == ["u2"]

    @pytest.mark.parametrize("by", ["announcement", "renewal"])
    def test_late_announcement_that_is_the_first_one_known(
        self, by: str
    ) -> None:
        """Guards against an upstream that is lost to a late announcement.

        It was removed for good, as an end is final and a renewal doesn't add
        an unknown upstream.
        """
        registry = UpstreamRegistry()
        registry.announce(build_announcement("u2", pool="app"), 0.0)
        registry.announce(build_announcement("u1", sequence=5), 1.0)
        assert registry.is_displaced("u2")
        assert registry.list_ended() == []
        changed: list[Upstream] = []
        for sequence in (2, 3, 4):
            now = 1.2 * sequence
            if by == "renewal":
                changed += registry.renew("u2", 0, sequence, now)
            else:
                again = build_announcement("u2", pool="app", sequence=sequence)
                changed += registry.announce(again, now)
        assert [(u.id, u.state) for u in changed] == [
            ("u1", UpstreamState.GONE),
            ("u2", UpstreamState.READY),
        ]
        assert [(u.id, u.sequence) for u in registry] == [("u2", 4)]

    def test_farewell_is_final(self) -> None:
        """Guards against requests to an upstream that has left."""
        registry = self.build_registry(is_lost=False)
        registry.record_end("u1", 0, 9.6)
        for second in range(4):
            late = build_announcement("u1", sequence=6 + second)
            assert registry.announce(late, 10.0 + second) == []
        assert [u.id for u in registry] == ["u2"]
