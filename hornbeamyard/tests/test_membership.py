"""Tests of majorities and changes of members."""

from __future__ import annotations

import pytest

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.version.membership import (
    NEVER,
    MemberReply,
    change_members,
    count_enlarging_votes,
    describe_members,
    find_majority,
    may_enlarge,
    plan_step,
)

Change = fleet_pb2.MemberChange
ADD = Change.ADD
REMOVE = Change.REMOVE


def build_members(*names: str) -> fleet_pb2.MemberList:
    """Return members from strings such as `a`, `b (learner)` or `c/disk`."""
    members = fleet_pb2.MemberList()
    for name in names:
        host, _, disk = name.removesuffix(" (learner)").partition("/")
        members.members.add(
            host=host,
            address=host,
            disk=(disk or host).encode(),
            voter="learner" not in name,
        )
    return members


def build_reply(
    disk: str, value: float = 10, initial: bool = False
) -> MemberReply:
    """Return a member's reply."""
    return MemberReply(disk.encode(), initial, value)


class TestFindMajority:
    """A majority is more than half of the voters."""

    @pytest.mark.parametrize(
        ("values", "majority"),
        [
            ([5], 5),
            ([5, 3], 3),
            ([5, 3, 1], 3),
            ([5, 3, 2, 1], 2),
            ([5, 4, 3, 2, 1], 3),
        ],
    )
    def test_counts(self, values: list[float], majority: float) -> None:
        """Guards against commits that the loss of a minority can undo."""
        names = [f"m{number}" for number in range(len(values))]
        replies = {
            name: build_reply(name, value)
            for name, value in zip(names, values, strict=True)
        }
        assert find_majority(build_members(*names), replies) == majority

    @pytest.mark.requirement("R14", fault="disk emptied")
    def test_other_folder_and_learner_do_not_count(self) -> None:
        """Guards against counting a member that has lost its votes and log."""
        members = build_members("a", "b", "c", "d (learner)")
        replies = {
            "a": build_reply("a"),
            "b": build_reply("emptied"),
            "d": build_reply("d"),
        }
        assert find_majority(members, replies) == NEVER

    def test_initial_members_are_known_by_initialization(self) -> None:
        """Guards against a first leader elected by uninitialized folders."""
        members = build_members("a", "b", "c")
        for member in members.members:
            member.disk = b""
        replies = {
            "a": build_reply("x", initial=True),
            "b": build_reply("y", initial=True),
        }
        assert find_majority(members, replies) == 10
        replies["b"].initial = False
        assert find_majority(members, replies) == NEVER


class TestRequiredVoters:
    """A majority is counted over as many voters as are required."""

    @pytest.mark.parametrize(("voters", "majority"), [(2, NEVER), (3, 1)])
    def test_counts_missing_voters(self, voters: int, majority: float) -> None:
        """Guards against commits on no more disks than may be lost."""
        names = [f"m{number}" for number in range(voters)]
        members = build_members(*names)
        members.required_voters = 5
        replies = {
            name: build_reply(name, value)
            for value, name in enumerate(names, 1)
        }
        assert find_majority(members, replies) == majority

    def test_removal_keeps_number(self) -> None:
        """Guards against a removal that makes smaller majorities enough."""
        members = build_members("a", "b", "c")
        members.required_voters = 5
        changed = change_members(members, Change(kind=REMOVE, host="c"))
        assert isinstance(changed, fleet_pb2.MemberList)
        assert changed.required_voters == 5


class TestEstablish:
    """A list of a founding is established before its members change."""

    def test_first_step(self) -> None:
        """Guards against members that another founding doesn't count."""
        members = build_members("a", "b", "c")
        members.required_voters = 5
        replies = {"a": build_reply("a"), "b": build_reply("emptied")}
        step = plan_step(members, replies, 10)
        assert step is not None
        assert step.established
        assert not step.settled
        assert [m.host for m in step.members] == ["a", "b", "c"]
        step = plan_step(step, replies, 10)
        assert step is not None
        assert step.settled
        assert [m.host for m in step.members] == ["a", "b", "c"]
        step = plan_step(step, replies, 10)
        assert step is not None
        assert [m.host for m in step.members] == ["a", "b", "c", "b"]


def build_incomplete(voters: int, settled: bool) -> fleet_pb2.MemberList:
    """Return an established list of fewer voters than the five required."""
    members = build_members(*"abcdefg"[:voters])
    members.required_voters = 5
    members.established = True
    members.settled = settled
    return members


class TestEnlarging:
    """Some voters of a committed list of too few may add another one."""

    @pytest.mark.parametrize(
        ("voters", "settled", "votes", "is_allowed"),
        [
            (3, True, 2, True),
            (3, False, 0, False),
            # The list of three before may count still.
            (4, False, 2, False),
            (4, True, 0, False),
            (5, False, 0, False),
        ],
    )
    def test_votes(
        self, voters: int, settled: bool, votes: int, is_allowed: bool
    ) -> None:
        """Guards against two lists that are both larger by one voter."""
        members = build_incomplete(voters, settled)
        assert count_enlarging_votes(members) == votes
        assert may_enlarge(members) is is_allowed

    def test_not_before_established(self) -> None:
        """Guards against a list that another founding may replace still."""
        members = build_incomplete(3, settled=True)
        members.established = False
        assert not may_enlarge(members)

    @pytest.mark.parametrize("voters", [3, 4])
    def test_settled_once_committed(self, voters: int) -> None:
        """Guards against a complete list that is written twice."""
        replies = {host: build_reply(host) for host in "abcde"}
        assert plan_step(build_incomplete(5, False), replies, 10) is None
        step = plan_step(build_incomplete(voters, False), replies, 10)
        assert step is not None
        assert step.settled
        assert plan_step(step, replies, 10) is None

    def test_other_voters_are_not_settled(self) -> None:
        """Guards against a list that counts as committed before it is."""
        members = build_incomplete(3, settled=True)
        learner = members.members.add(host="d", address="d", disk=b"d")
        replies = {host: build_reply(host) for host in "abcd"}
        step = plan_step(members, replies, 10)
        assert step is not None
        assert step.members[-1].voter
        assert not step.settled
        learner.voter = True
        members.settled = True
        changed = change_members(members, Change(kind=REMOVE, host="d"))
        assert isinstance(changed, fleet_pb2.MemberList)
        assert not changed.settled

    def test_learner_keeps_list_settled(self) -> None:
        """Guards against a cluster that is stuck while one is being added."""
        change = Change(kind=ADD, host="d", address="d")
        changed = change_members(build_incomplete(3, True), change)
        assert isinstance(changed, fleet_pb2.MemberList)
        assert changed.settled


@pytest.mark.requirement("R14", fault="disk emptied")
class TestPlanStep:
    """Members are repaired or replaced one voter at a time."""

    def test_repairs_emptied_member(self) -> None:
        """Guards against an emptied member that votes too early, or never."""
        members = build_members("a", "b", "c/old")
        replies = {
            "a": build_reply("a"),
            "b": build_reply("b"),
            "c": build_reply("new", 3),
        }
        seen = []
        for match in (3, 3, 10, 10, 10):
            replies["c"].value = match
            step = plan_step(members, replies, commit_index=10)
            if step is not None:
                members = step
            seen.append(describe_members(members))
        assert seen == [
            "a, b, c, c (learner)",
            "a, b, c, c (learner)",
            "a, b, c, c",
            "a, b, c",
            "a, b, c",
        ]
        assert members.members[2].disk == b"new"

    def test_replaces_host(self) -> None:
        """Guards against a replaced member that isn't removed."""
        members = build_members("a", "b", "c")
        changed = change_members(
            members,
            Change(
                kind=Change.REPLACE, host="c", replacement="d", address="d"
            ),
        )
        assert isinstance(changed, fleet_pb2.MemberList)
        replies = {name: build_reply(name) for name in "abd"}
        seen = []
        for _ in range(4):
            step = plan_step(changed, replies, commit_index=10)
            if step is not None:
                changed = step
            seen.append(describe_members(changed))
        assert seen == ["a, b, c, d (learner)"] + ["a, b, c, d"] + (
            ["a, b, d"] * 2
        )


class TestChangeMembers:
    """Impossible changes are refused with a reason."""

    @pytest.mark.parametrize(
        ("kind", "host", "reason"),
        [
            (Change.ADD, "a", "is a member already"),
            (Change.ADD, "", "host or address is missing"),
            (Change.REMOVE, "x", "is not a member; members: .'a', 'b'"),
            (Change.REPLACE, "x", "is not a member"),
            (Change.KIND_UNSPECIFIED, "a", "is not known"),
        ],
    )
    def test_refuses(self, kind: int, host: str, reason: str) -> None:
        """Guards against an invalid member list."""
        change = Change(kind=kind, host=host, address="1", replacement="y")
        refused = change_members(build_members("a", "b"), change)
        assert isinstance(refused, str)
        assert reason.replace(".'", "['") in refused

    @pytest.mark.parametrize(
        ("names", "host", "reason"),
        [
            (["a"], "a", "last voter"),
            (["a", "b/old", "b/new"], "b", "being repaired"),
        ],
    )
    def test_refuses_removal(
        self, names: list[str], host: str, reason: str
    ) -> None:
        """Guards against a fleet without voters, or removing two at once."""
        change = Change(kind=Change.REMOVE, host=host)
        assert reason in change_members(build_members(*names), change)

    def test_one_at_a_time(self) -> None:
        """Guards against two overlapping changes."""
        change = Change(kind=Change.ADD, host="d", address="d")
        members = build_members("a", "b (learner)")
        assert "is still being added" in change_members(members, change)
