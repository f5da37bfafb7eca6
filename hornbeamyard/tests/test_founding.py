"""Tests of the choice of initial members and the replacement of lost ones."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.version.ballot import FoundingBallot, choose_initial_members
from hornbeamyard.version.discovery import (
    CANDIDATE_TIMEOUT_S,
    KnownControllers,
)
from hornbeamyard.version.repair import plan_member_change

ADD = fleet_pb2.MemberChange.ADD
REMOVE = fleet_pb2.MemberChange.REMOVE
REPLACE = fleet_pb2.MemberChange.REPLACE


def build_controllers(zones: str) -> list[fleet_pb2.ControllerAddress]:
    """Return controllers, one per letter, which names its zone."""
    return [
        fleet_pb2.ControllerAddress(
            host=f"c{number}",
            address=f"10.0.0.{number}:7400",
            availability_zone=zone,
            first_start=True,
        )
        for number, zone in enumerate(zones)
    ]


def build_members(
    hosts: Sequence[str], learners: Sequence[str] = ()
) -> fleet_pb2.MemberList:
    """Return a member list."""
    return fleet_pb2.MemberList(
        members=[
            fleet_pb2.Member(host=host, address=host, voter=voter)
            for voter, names in ((True, hosts), (False, learners))
            for host in names
        ]
    )


class TestChooseInitialMembers:
    """The initial members tolerate the losses that the settings require."""

    def test_all_of_a_small_fleet(self) -> None:
        """Guards against a log on the seeds only, lost with two disks."""
        chosen = choose_initial_members(build_controllers("aabcd"), 5)
        assert len(chosen) == 5

    @pytest.mark.parametrize(
        ("zones", "required_members", "expected"),
        [("aabbcc", 5, 5), ("aaaaaaabbbccc", 3, 7), ("ab", 5, 2)],
    )
    def test_count(
        self, zones: str, required_members: int, expected: int
    ) -> None:
        """Guards against too few members, or too many for fast writes."""
        chosen = choose_initial_members(
            build_controllers(zones), required_members
        )
        assert len(chosen) == expected

    def test_spreads_members_over_zones(self) -> None:
        """Guards against a majority lost with one availability zone."""
        chosen = choose_initial_members(build_controllers("aaaaaaabbbccc"), 3)
        zones = [c.availability_zone for c in chosen]
        assert max(zones.count(zone) for zone in "abc") <= 3

    def test_order_of_introductions_does_not_matter(self) -> None:
        """Guards against a choice that depends on timing."""
        controllers = build_controllers("aabcd")
        first = choose_initial_members(controllers, 5)
        assert choose_initial_members(controllers[::-1], 5) == first


class TestFoundingBallot:
    """Any two sets of votes that are enough have a voter in common."""

    @pytest.mark.parametrize(
        ("first_start", "later", "votes", "is_won"),
        [
            ("abcde", "", "abc", True),
            ("abcde", "", "cde", True),
            ("abcde", "", "ab", False),
            ("abc", "de", "abde", False),
            ("abe", "cd", "abcde", True),
            ("", "abcde", "abcde", True),
            ("", "abcd", "abcd", False),
            ("abc", "", "abc", True),
            # One is gone, and others have been replaced.
            ("bcde", "af", "cde", True),
            ("abcde", "fg", "cde", True),
            ("abcdefg", "", "abcd", True),
            ("abcdefg", "", "abc", False),
            ("abcdefg", "", "cdefg", False),
        ],
    )
    def test_votes(
        self, first_start: str, later: str, votes: str, is_won: bool
    ) -> None:
        """Guards against a second cluster beside the first one."""
        granted = {
            address: fleet_pb2.VoteReply(initial=address in first_start)
            for address in votes
        }
        ballot = FoundingBallot(
            first_start + later, first_start, "abc", 5, votes=granted
        )
        assert ballot.is_won() is is_won
        # Where a cluster has been established, all have to agree.
        ballot.needs_all = True
        assert ballot.is_won() is (
            len(votes) == len(first_start + later) and len(votes) >= 5
        )


def build_ballot(
    voters: str, votes: str, own: str, settled: bool = True
) -> FoundingBallot:
    """Return a ballot of a candidate with an established list.

    The votes name folders; a capital letter is another one of the same host.
    """
    members = fleet_pb2.MemberList(
        required_voters=5,
        established=True,
        settled=settled,
        members=[
            fleet_pb2.Member(
                host=host, address=host, voter=True, disk=host.encode()
            )
            for host in voters
        ],
    )
    granted = {
        vote.lower(): fleet_pb2.VoteReply(disk=vote.encode()) for vote in votes
    }
    known = sorted(set(voters) | granted.keys())
    return FoundingBallot(
        known, known, "abc", 5, own, members, needs_all=True, votes=granted
    )


class TestBallotOfTooFew:
    """A list of fewer voters than required gets one more by some votes.

    No entry of it is committed without one of them, and no two candidates win
    in one term.
    """

    @pytest.mark.parametrize(
        ("voters", "votes", "is_won"),
        [
            ("abc", "abd", True),
            ("abc", "abC", True),
            ("abc", "ab", False),
            ("abc", "ade", False),
            ("abc", "aBCde", True),
            ("abcd", "abe", False),
            ("abcd", "abCe", False),
            ("abcd", "abCDe", True),
            ("abcde", "abf", False),
        ],
    )
    def test_votes(self, voters: str, votes: str, is_won: bool) -> None:
        """Guards against a cluster that is stuck, or is there twice."""
        assert build_ballot(voters, votes, "a").is_won() is is_won

    def test_needs_a_voter(self) -> None:
        """Guards against a list whose first holder may not lead."""
        assert not build_ballot("abc", "abde", "d").is_won()

    def test_needs_a_committed_list(self) -> None:
        """Guards against a list that another founding may replace still."""
        ballot = build_ballot("abc", "abd", "a", settled=False)
        assert not ballot.is_won()

    @pytest.mark.parametrize(
        ("voters", "settled", "votes", "own", "is_won"),
        [
            # "a" and "b" could add another voter without the founder.
            ("abc", True, "abCde", "d", False),
            ("abc", True, "aBCde", "d", True),
            ("abc", True, "abCde", "a", True),
            ("abc", False, "abCde", "d", True),
            ("abcd", False, "abCDe", "e", False),
            ("abcd", False, "abCDe", "a", True),
            ("abcd", False, "abcde", "a", False),
            ("abcd", True, "abCDe", "e", True),
            ("abcde", False, "abcde", "a", True),
        ],
    )
    def test_all_votes(
        self, voters: str, settled: bool, votes: str, own: str, is_won: bool
    ) -> None:
        """Guards against a cluster that is founded beside a larger list."""
        ballot = build_ballot(voters, votes, own, settled)
        assert ballot._may_found_again() is is_won

    def test_replaces_silent_member(self) -> None:
        """Guards against a member that is gone and blocks later foundings."""
        ballot = build_ballot("abc", "abd", "a")
        ballot.votes["d"].disk = b"new"
        asked = [
            fleet_pb2.ControllerAddress(host=host, address=host)
            for host in "abd"
        ]
        members = ballot.build_members(asked)
        assert [m.host for m in members.members] == ["a", "b", "c", "d"]
        assert members.members[-1].disk == b"new"
        assert members.members[-1].replaces == "c"
        assert members.required_voters == 5
        assert members.established
        assert not members.settled

    def test_prefers_own_host_of_a_lost_folder(self) -> None:
        """Guards against a host that is replaced although it is back."""
        ballot = build_ballot("abd", "abcD", "a")
        asked = [
            fleet_pb2.ControllerAddress(host=host, address=host)
            for host in "abcd"
        ]
        added = ballot.build_members(asked).members[-1]
        assert (added.host, added.disk, added.replaces) == ("d", b"D", "")


class TestPlanMemberChange:
    """Lost members are replaced one at a time."""

    def test_nothing_to_do(self) -> None:
        """Guards against needless changes of members."""
        members = build_members(["c0", "c1", "c2"])
        assert plan_member_change(members, set(), [], 3) is None

    def test_lost_member_stays_without_candidate(self) -> None:
        """Guards against fewer members than the tolerated losses require."""
        members = build_members(["c0", "c1", "c2"])
        assert plan_member_change(members, {"c1"}, [], 3) is None

    def test_replace(self) -> None:
        """Guards against a lost member that is never replaced."""
        members = build_members(["c0", "c1", "c2"])
        new = build_controllers("aaaa")[3:]
        change = plan_member_change(members, {"c1"}, new, 3)
        assert change is not None
        assert change.kind == REPLACE
        assert (change.host, change.replacement) == ("c1", "c3")

    def test_add_while_too_few(self) -> None:
        """Guards against a cluster that stays too small."""
        members = build_members(["c0", "c1"])
        new = build_controllers("aaaa")[3:]
        change = plan_member_change(members, set(), new, 3)
        assert change is not None
        assert (change.kind, change.host) == (ADD, "c3")

    def test_remove_while_more_than_needed(self) -> None:
        """Guards against a lost member that is kept without need."""
        members = build_members(["c0", "c1", "c2", "c3"])
        change = plan_member_change(members, {"c0"}, [], 3)
        assert change is not None
        assert (change.kind, change.host) == (REMOVE, "c0")

    def test_one_change_at_a_time(self) -> None:
        """Guards against two overlapping changes of members."""
        members = build_members(["c0", "c1", "c2"], ["c3"])
        new = build_controllers("aaaaa")[4:]
        assert plan_member_change(members, {"c1"}, new, 3) is None

    def test_removes_lost_learner(self) -> None:
        """Guards against a replacement that hangs when the new host fails."""
        members = build_members(["c0", "c1", "c2"], ["c3"])
        change = plan_member_change(members, {"c1", "c3"}, [], 3)
        assert change is not None
        assert (change.kind, change.host) == (REMOVE, "c3")

    def test_spare_controller_is_not_added(self) -> None:
        """Guards against more members than are needed."""
        members = build_members(["c0", "c1", "c2"])
        new = build_controllers("aaaa")[3:]
        assert plan_member_change(members, set(), new, 3) is None


class TestKnownControllers:
    """Controllers are added by their own introduction or another's report."""

    def test_lists_introduced_and_reported(self) -> None:
        """Guards against ignoring controllers that only others reported."""
        known_controllers = KnownControllers(VirtualTimers())
        own, other = build_controllers("ab")
        known_controllers.add_introduced(own)
        known_controllers.add_reported(other)
        assert [c.host for c in known_controllers.list_known()] == ["c0", "c1"]

    def test_silent_controller_is_no_candidate(self) -> None:
        """Guards against adding a controller that is gone."""
        timers = VirtualTimers()
        known_controllers = KnownControllers(timers)
        known_controllers.add_introduced(build_controllers("a")[0])
        timers._now += CANDIDATE_TIMEOUT_S + 1
        assert known_controllers.list_recent() == []
        timers._now += 4 * CANDIDATE_TIMEOUT_S
        known_controllers.remove_lost({})
        assert known_controllers.list_known() == []

    def test_reported_controller_is_no_candidate(self) -> None:
        """Guards against a successor that others only remember."""
        known_controllers = KnownControllers(VirtualTimers())
        controller = build_controllers("a")[0]
        known_controllers.add_reported(controller)
        assert known_controllers.list_recent() == []
        assert known_controllers.get_last_seen(controller.host) is None
        known_controllers.add_introduced(controller)
        assert known_controllers.list_recent() == [controller]

    def test_controllers_forget_one_that_is_gone(self) -> None:
        """Guards against reports that bring a former controller back."""
        timers = VirtualTimers()
        sides = [KnownControllers(timers) for _ in range(3)]
        *present, gone = build_controllers("abcd")
        for side in sides:
            side.add_introduced(gone)
        for _ in range(30):
            timers._now += 1.0
            for side in sides:
                side.remove_lost({})
                for other, own in zip(sides, present, strict=True):
                    side.add_introduced(own)
                    for controller in other.list_introduced():
                        side.add_reported(controller)
        for side in sides:
            assert gone not in side.list_known()
