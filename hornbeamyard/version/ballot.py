"""The votes for a founding, and the members that it results in."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from ..messages import fleet_pb2
from . import membership

# More members than this would only make each write slower.
MAX_INITIAL_MEMBERS = 7


@dataclass(slots=True)
class FoundingBallot:
    """The votes for a controller that wants to found the cluster.

    Attributes
    ----------
    known : collection of str
        Addresses of all controllers that are known, reachable or not.
    first_start : collection of str
        Addresses of those that may have a folder of the first start.
    seeds : collection of str
        Addresses that all controllers know at the first start.
    required_members : int
        Number of members that the tolerated losses require.
    own_address : str
        The candidate's address.
    members : MemberList
        The candidate's newest list.
    needs_all : bool
        Whether votes of the first start aren't enough, as the candidate knows
        that a cluster has been established.
    votes : dict of str to VoteReply
        Votes that were granted, by address.
    """

    known: Collection[str]
    first_start: Collection[str]
    seeds: Collection[str]
    required_members: int
    own_address: str = ""
    members: fleet_pb2.MemberList = field(default_factory=fleet_pb2.MemberList)
    needs_all: bool = False
    votes: dict[str, fleet_pb2.VoteReply] = field(default_factory=dict)

    def count_required(self) -> int:
        """Return the number of votes of folders of the first start."""
        disks = count_required_disks(self.required_members)
        return max(disks, len(self.first_start) // 2 + 1)

    def is_won(self) -> bool:
        """Return whether no other cluster exists or can be founded."""
        if self.needs_all:
            return self._may_found_again() or self._may_enlarge()
        return self._is_unanimous() or self._has_first_start()

    def build_members(
        self, controllers: Sequence[fleet_pb2.ControllerAddress]
    ) -> fleet_pb2.MemberList:
        """Return the members that result from a ballot that is won.

        Parameters
        ----------
        controllers : sequence of ControllerAddress
            Controllers that were asked.
        """
        voted = [c for c in controllers if c.address in self.votes]
        if self.needs_all and not self._may_found_again():
            return self._build_larger(controllers, voted)
        return fleet_pb2.MemberList(
            required_voters=self.required_members,
            established=self.needs_all,
            members=[
                self._build_voter(controller)
                for controller in choose_initial_members(
                    voted, self.required_members
                )
            ],
        )

    def _build_voter(
        self, controller: fleet_pb2.ControllerAddress
    ) -> fleet_pb2.Member:
        return fleet_pb2.Member(
            host=controller.host,
            address=controller.address,
            voter=True,
            disk=self.votes[controller.address].disk,
        )

    # ---- first foundings -------------------------------------------------

    def _is_unanimous(self) -> bool:
        """Return whether all controllers vote, and enough of them.

        An acknowledged change is on the disk of one of them then, which votes
        only for a candidate that holds the change as well.
        """
        voted = self.votes.keys() & set(self.known)
        is_unanimous = len(voted) == len(self.known)
        return is_unanimous and len(voted) >= self.required_members

    def _has_first_start(self) -> bool:
        """Return whether enough folders of the first start vote.

        They remember all their votes. Others may belong to hosts that have
        lost a disk with a vote or a log.
        """
        voted = self.votes.keys() & set(self.known)
        remembered = {a for a in voted if self.votes[a].initial}
        if len(remembered) < self.count_required():
            return False
        if len(self.first_start) <= self.required_members:
            return True
        # Where there are more controllers than are required, some may not be
        # known yet, but all know the seeds.
        return 2 * len(remembered & set(self.seeds)) > len(self.seeds)

    # ---- after the first founding ----------------------------------------

    def _may_found_again(self) -> bool:
        """Return whether all vote, and the others can't enlarge the list."""
        enlarging = membership.count_enlarging_votes(self.members)
        if enlarging:
            disks = {
                vote.disk
                for address, vote in self.votes.items()
                if address != self.own_address
            }
            if len(self._list_voters(disks)) >= enlarging:
                return False
        return self._is_unanimous()

    def _may_enlarge(self) -> bool:
        """Return whether enough voters of a list of too few vote.

        The candidate is one of them. With one more voter they can then commit
        entries.
        """
        if not membership.may_enlarge(self.members):
            return False
        if not self._list_voters({self.votes[self.own_address].disk}):
            return False
        disks = {vote.disk for vote in self.votes.values()}
        voters = self._list_voters(disks)
        if len(voters) < membership.count_enlarging_votes(self.members):
            return False
        required = count_required_disks(self.required_members)
        return len(disks) > len(voters) >= required - 1

    def _list_voters(self, disks: Collection[bytes]) -> list[fleet_pb2.Member]:
        """Return the voters of the candidate's list with these folders."""
        return [
            member
            for member in self.members.members
            if member.voter and member.disk in disks
        ]

    def _build_larger(
        self,
        controllers: Sequence[fleet_pb2.ControllerAddress],
        voted: Sequence[fleet_pb2.ControllerAddress],
    ) -> fleet_pb2.MemberList:
        """Return the candidate's list with one voter more.

        It replaces a member that isn't reachable, if there is one, or the lost
        folder of its own host.
        """
        voters = [member for member in self.members.members if member.voter]
        disks = {member.disk for member in voters}
        hosts = {member.host for member in voters}
        new = min(
            (c for c in voted if self.votes[c.address].disk not in disks),
            key=lambda c: (c.host not in hosts, c.host),
        )
        added = self._build_voter(new)
        reachable = {controller.host for controller in controllers}
        silent = sorted(hosts - reachable)
        if silent and new.host not in hosts:
            added.replaces = silent[0]
        return fleet_pb2.MemberList(
            required_voters=self.members.required_voters,
            established=True,
            members=[*voters, added],
        )


def count_required_disks(required_members: int) -> int:
    """Return the number of controllers that have to hold each change."""
    return required_members // 2 + 1


def choose_initial_members(
    controllers: Sequence[fleet_pb2.ControllerAddress], required_members: int
) -> list[fleet_pb2.ControllerAddress]:
    """Return the controllers that become the initial members.

    If there are more than needed, they are taken from the availability zones
    in turn, so that no zone has more than its share of members.

    Parameters
    ----------
    controllers : sequence of ControllerAddress
    required_members : int
        Number of members that the tolerated losses require.
    """
    limit = max(required_members, MAX_INITIAL_MEMBERS)
    by_zone: dict[str, list[fleet_pb2.ControllerAddress]] = {}
    for controller in sorted(controllers, key=lambda c: c.host):
        by_zone.setdefault(controller.availability_zone, []).append(controller)
    chosen: list[fleet_pb2.ControllerAddress] = []
    while by_zone and len(chosen) < limit:
        for zone in sorted(by_zone):
            chosen.append(by_zone[zone].pop(0))
            if not by_zone[zone]:
                del by_zone[zone]
    chosen = chosen[:limit]
    # An even number of voters tolerates no more losses than one voter fewer.
    if len(chosen) > required_members and len(chosen) % 2 == 0:
        chosen.pop()
    return chosen
