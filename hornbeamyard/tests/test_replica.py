"""Tests of a leader's rules that the random property tests rarely reach."""

from __future__ import annotations

import random
from typing import cast

import anyio
import pytest

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.version.election import MAX_CAMPAIGN_DELAY_S
from hornbeamyard.version.journal import Disk
from hornbeamyard.version.leadership import LEASE_S, Leadership, Peer
from hornbeamyard.version.replica import PeerCalls, Replica


def build_leader(timers: VirtualTimers) -> Replica:
    """Return a leader of term 4 with two entries of term 2 before its own."""
    replica = Replica(
        fleet_pb2.Identity(fleet="test", host="a"),
        "a",
        cast(Disk, None),
        cast(PeerCalls, None),
        timers,
        random.Random(0),
    )
    journal = replica.journal
    journal.disk_id, journal.term = b"a", 4
    journal.members = fleet_pb2.MemberList(
        members=[
            fleet_pb2.Member(host=name, voter=True, disk=name.encode())
            for name in "abc"
        ]
    )
    journal.entries = [
        fleet_pb2.LogEntry(index=index, term=term, noop=fleet_pb2.Noop())
        for index, term in ((1, 2), (2, 2), (3, 4))
    ]
    replica.state.members = journal.members
    replica.leadership = Leadership(replica, 4)
    replica.leadership.first_index = 3
    for name in "bc":
        peer = Peer(name, name, 4, disk_id=name.encode())
        replica.leadership.peers[name] = peer
    return replica


class TestLeader:
    """What a leader may apply, and when it holds its lease."""

    @pytest.mark.requirement("R8", fault="successive leader changes")
    @pytest.mark.parametrize(
        ("matched", "applied"), [(0, 0), (1, 0), (2, 0), (3, 3)]
    )
    def test_commits_earlier_terms_with_own(
        self, matched: int, applied: int
    ) -> None:
        """Guards against applying an entry that a later leader replaces."""

        async def run() -> None:
            replica = build_leader(VirtualTimers(start=100.0))
            assert replica.leadership is not None
            replica.leadership.peers["b"].match_index = matched
            replica.advance_commit()
            assert replica.state.last_index == applied

        anyio.run(run)

    @pytest.mark.requirement("R12", fault="leader frozen or partitioned")
    @pytest.mark.parametrize(
        ("silent_s", "leads"), [(0.0, True), (LEASE_S, False)]
    )
    def test_leads_while_lease_holds(
        self, silent_s: float, leads: bool
    ) -> None:
        """Guards against replies from a leader that has lost its lease."""

        async def run() -> None:
            replica = build_leader(VirtualTimers(start=100.0))
            assert replica.leadership is not None
            assert not replica.is_leader()
            peer = replica.leadership.peers["b"]
            peer.match_index, peer.acked_at = 3, 100.0 - silent_s
            replica.advance_commit()
            assert replica.is_leader() is leads
            assert (replica.get_lease_end() > 0) is leads

        anyio.run(run)


class TestRestart:
    """When a restarted member takes part in elections."""

    @pytest.mark.parametrize(("leases", "must_wait"), [(True, 1), (False, 0)])
    def test_waits_for_old_lease(self, leases: bool, must_wait: bool) -> None:
        """Guards against a second leader within a lease, and needless waits.

        A restarted member may have acknowledged a lease before, so it waits
        until that has ended. Where nothing relies on leases, waiting would
        only leave the fleet without a leader after all members restart.
        """

        async def run() -> None:
            timers = VirtualTimers(start=100.0)
            replica = build_leader(timers)
            replica.leadership = None
            replica.relies_on_leases = leases
            replica.election.start()
            request = fleet_pb2.VoteRequest(
                term=5, last_term=4, last_index=3, pre_vote=True
            )
            granted = replica.election._can_grant_vote(request)
            assert granted is not bool(must_wait)
            waits_s = replica.election._campaign_at - 100.0
            assert (waits_s > MAX_CAMPAIGN_DELAY_S) is bool(must_wait)

        anyio.run(run)
