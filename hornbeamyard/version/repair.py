"""Replacement of lost members of the controllers' cluster by the leader."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import logbook

from ..messages import fleet_pb2
from .discovery import KnownControllers
from .membership import has_learners, is_established, list_voters
from .replica import Replica

# Interval at which the leader looks for members that have to be replaced.
REPAIR_INTERVAL_S = 0.2
# A controller that is there but couldn't be made a member twice isn't tried
# again for this long, so that changes aren't held up all the time.
CANDIDATE_RETRY_S = 10.0
# Changes wait for a replacement for this many times the silence after which it
# begins.
MAX_HOLD_FACTOR = 2

_log = logbook.Logger("repair")


def plan_member_change(
    members: fleet_pb2.MemberList,
    lost: set[str],
    candidates: Sequence[fleet_pb2.ControllerAddress],
    required_members: int,
) -> fleet_pb2.MemberChange | None:
    """Return the next change of members that the leader should make, if any.

    Parameters
    ----------
    members : MemberList
    lost : set of str
        Hosts of members that have been silent for too long.
    candidates : sequence of ControllerAddress
        Controllers that were seen recently.
    required_members : int
        Number of members that the tolerated losses require.
    """
    hosts = {member.host for member in members.members}
    for member in members.members:
        if not member.voter and member.host in lost:
            return fleet_pb2.MemberChange(
                kind=fleet_pb2.MemberChange.REMOVE, host=member.host
            )
    if not all(member.voter for member in members.members):
        return None
    lost_voters = sorted(hosts & lost)
    new = sorted(
        (c for c in candidates if c.host not in hosts), key=lambda c: c.host
    )
    if lost_voters and len(hosts) > required_members:
        return fleet_pb2.MemberChange(
            kind=fleet_pb2.MemberChange.REMOVE, host=lost_voters[0]
        )
    if lost_voters and new:
        return fleet_pb2.MemberChange(
            kind=fleet_pb2.MemberChange.REPLACE,
            host=lost_voters[0],
            replacement=new[0].host,
            address=new[0].address,
        )
    if len(hosts) < required_members and new:
        return fleet_pb2.MemberChange(
            kind=fleet_pb2.MemberChange.ADD,
            host=new[0].host,
            address=new[0].address,
        )
    return None


@dataclass(slots=True)
class CandidateFailure:
    """A controller that couldn't be made a member.

    Attributes
    ----------
    failed_at : float
        Monotonic time in seconds.
    was_silent : bool
        Whether it was gone altogether.
    is_repeated : bool
        Whether it had failed before without becoming a voter since.
    """

    failed_at: float
    was_silent: bool
    is_repeated: bool


class MemberRepair:
    """Replaces members that are lost, while this controller leads.

    Parameters
    ----------
    replica : Replica
    known_controllers : KnownControllers
    required_members : int
        Number of members that the tolerated losses require.
    """

    __slots__ = (
        "_failures",
        "_known_controllers",
        "_last_sign_at",
        "_replica",
        "_required_members",
        "_timers",
        "_unsettled_since",
    )

    def __init__(
        self,
        replica: Replica,
        known_controllers: KnownControllers,
        required_members: int,
    ) -> None:
        self._known_controllers = known_controllers
        self._replica = replica
        self._required_members = required_members
        self._timers = replica.timers
        self._failures: dict[str, CandidateFailure] = {}
        # Last signs of life of the other members, while this one leads.
        self._last_sign_at: dict[str, float] = {}
        # Since when a change of members has been due or in progress.
        self._unsettled_since: float | None = None

    def may_acknowledge(self) -> bool:
        """Return whether a change outlasts the tolerated losses by now.

        It may not while a voter is silent that another controller could
        replace, nor while a change of members is in progress: the voter may
        be gone for good, and the tolerated losses then come on top of it. A
        replacement that doesn't succeed holds up changes for
        `MAX_HOLD_FACTOR` times the silence that led to it at most.
        """
        self._track_unsettled()
        if self._unsettled_since is None:
            return True
        held_s = self._timers.now() - self._unsettled_since
        return held_s > MAX_HOLD_FACTOR * self._replica.timeouts.member_s

    def _track_unsettled(self) -> None:
        """Record since when a change of members has been due or under way."""
        if not self._is_unsettled():
            self._unsettled_since = None
        elif self._unsettled_since is None:
            self._unsettled_since = self._timers.now()

    def _is_unsettled(self) -> bool:
        leadership = self._replica.leadership
        if leadership is None:
            return False
        members = self._replica.journal.members
        return (
            leadership.is_change_pending()
            or has_learners(members)
            or leadership.plan_step() is not None
            or self._plan_change(self._replica.timeouts.member_s / 2)
            is not None
        )

    async def run(self) -> None:
        """Replace lost members whenever this controller leads."""
        async for _ in self._timers.subscribe(REPAIR_INTERVAL_S):
            await self._replace_lost_members()

    async def _replace_lost_members(self) -> None:
        """Make the next change of members, if this controller leads."""
        replica = self._replica
        members = replica.state.members
        self._known_controllers.remove_lost(
            {m.host: m.address for m in members.members}
        )
        leadership = replica.leadership
        if leadership is None or not replica.is_leader():
            self._last_sign_at = {}
            self._unsettled_since = None
            return
        self._record_signs()
        self._forget_failures()
        self._track_unsettled()
        if leadership.is_change_pending():
            return
        change = self._plan_change(replica.timeouts.member_s)
        if change is None:
            return
        if change.kind == fleet_pb2.MemberChange.REMOVE:
            self._record_failure(change.host)
        kind = fleet_pb2.MemberChange.Kind.Name(change.kind)
        result = await replica.change_members(change)
        _log.info(
            "membership change: {} host={} replacement={} lost={}: {}",
            kind,
            change.host,
            change.replacement,
            sorted(self._list_silent(replica.timeouts.member_s)),
            result,
        )

    def _plan_change(self, silence_s: float) -> fleet_pb2.MemberChange | None:
        """Return the change that is due for members silent for so long."""
        members = self._replica.state.members
        if not is_established(members):
            return None
        return plan_member_change(
            members,
            self._list_silent(silence_s),
            self._list_candidates({m.host for m in members.members}),
            self._required_members,
        )

    def _list_candidates(
        self, hosts: set[str]
    ) -> list[fleet_pb2.ControllerAddress]:
        """Return the controllers that may become members now.

        Those that have failed before have their turn after the others.
        """
        recent = [
            controller
            for controller in self._known_controllers.list_recent()
            if controller.host not in hosts and self._may_try(controller.host)
        ]
        untried = [c for c in recent if c.host not in self._failures]
        return untried or recent

    def _record_failure(self, host: str) -> None:
        now = self._timers.now()
        last_seen_at = self._known_controllers.get_last_seen(host)
        silence_s = self._replica.timeouts.member_s
        was_silent = last_seen_at is None or last_seen_at <= now - silence_s
        self._failures[host] = CandidateFailure(
            now, was_silent, host in self._failures
        )

    def _forget_failures(self) -> None:
        """Forget the failures of controllers that have become voters."""
        for host in list_voters(self._replica.state.members):
            self._failures.pop(host, None)

    def _may_try(self, host: str) -> bool:
        """Return whether a controller may be tried as a member (again).

        One that has introduced itself since it failed may have been cut off or
        restarted, so it is tried once more at once. One that was there and has
        failed twice is not.
        """
        failure = self._failures.get(host)
        if failure is None:
            return True
        last_seen_at = self._known_controllers.get_last_seen(host)
        if last_seen_at is None or last_seen_at <= failure.failed_at:
            return False
        if failure.was_silent or not failure.is_repeated:
            return True
        waited_s = self._timers.now() - failure.failed_at
        return waited_s >= CANDIDATE_RETRY_S

    def _list_silent(self, silence_s: float) -> set[str]:
        """Return the members that have been silent for so long."""
        oldest = self._timers.now() - silence_s
        return {
            host
            for host, last_sign_at in self._last_sign_at.items()
            if last_sign_at <= oldest
        }

    def _record_signs(self) -> None:
        """Record the last signs of life of the other members.

        A member that hasn't replied to this leader yet may have been silent
        for long before, which its introductions tell.
        """
        leadership = self._replica.leadership
        if leadership is None:
            return
        now = self._timers.now()
        signs: dict[str, float] = {}
        for host, peer in leadership.peers.items():
            last_seen_at = self._known_controllers.get_last_seen(host)
            first = now if last_seen_at is None else min(now, last_seen_at)
            last_sign_at = self._last_sign_at.get(host, first)
            signs[host] = max(last_sign_at, peer.replied_at)
        self._last_sign_at = signs
