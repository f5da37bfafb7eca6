"""Automatic formation of the controllers' cluster.

At the start a controller knows only the addresses of some others, the seeds.
Controllers introduce themselves to each other until each knows all. One of
them then collects votes, as for an election, and writes the controllers that
voted for it as the first member list. `FoundingBallot` tells which votes are
enough: any two such sets of voters, and any such set and a majority of the
members of a cluster, have a voter in common that remembers its votes. So it
doesn't matter which controller founds the cluster, or how often one tries.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Protocol

import anyio
import logbook

from ..messages import fleet_pb2
from ..process.timers import Timers
from . import membership
from .ballot import FoundingBallot, count_required_disks
from .discovery import KnownControllers
from .repair import MemberRepair
from .replica import Replica

# Intervals between introductions without and with a leader.
SEARCH_INTERVAL_S = 0.2
REFRESH_INTERVAL_S = 1.0
# The initial members are chosen once no new controller has appeared for this
# long. The hosts of a fleet start within a fraction of a second.
SETTLING_TIME_S = 0.6
# After this time the cluster is founded even if there are fewer controllers
# than the tolerated losses require, but never with fewer than those that have
# to hold each change.
SEARCH_TIMEOUT_S = 5.0
# Controllers that could found the cluster begin this long after each other, so
# that the votes aren't split.
TURN_INTERVAL_S = 1.0
# The same where a cluster has been established: all controllers reply then.
SHORT_TURN_INTERVAL_S = 0.25
# Time limit for collecting votes.
BALLOT_TIMEOUT_S = 1.0
# A line is logged at this interval while too few controllers are known.
SEARCH_LOG_INTERVAL_S = 5.0

_log = logbook.Logger("founding")


class FoundingCalls(Protocol):
    """Calls to other controllers; they return None if there is no reply."""

    async def introduce(
        self, address: str, request: fleet_pb2.Introduction
    ) -> fleet_pb2.ControllerList | None:
        """Introduce this controller; return the controllers known there."""


class ControllerState(enum.Enum):
    """What a controller is to the cluster, as far as it knows."""

    # It has no member list: the cluster isn't founded, or hasn't added it.
    SEARCHING = "searching"
    # It has a member list that may not be committed.
    FOUNDING = "founding"
    VOTER = "voter"
    LEARNER = "learner"
    # The member list that it knows doesn't include its data folder.
    STANDBY = "standby"
    # Its disk or data folder is unusable.
    FAULTY = "faulty"


class Founder:
    """Finds the other controllers, founds the cluster and repairs it.

    Parameters
    ----------
    replica : Replica
    own : ControllerAddress
        This controller.
    seeds : sequence of str
        Addresses of controllers that are known at the start.
    required_members : int
        Number of members that the tolerated losses require.
    calls : FoundingCalls
    timers : Timers

    Attributes
    ----------
    known_controllers : KnownControllers
    """

    __slots__ = (
        "_calls",
        "_due_at",
        "_leaderless_since",
        "_logged_at",
        "_repair",
        "_replica",
        "_required_members",
        "_timers",
        "known_controllers",
        "own",
        "seeds",
    )

    def __init__(
        self,
        replica: Replica,
        own: fleet_pb2.ControllerAddress,
        seeds: Sequence[str],
        required_members: int,
        calls: FoundingCalls,
        timers: Timers,
    ) -> None:
        self._calls = calls
        self._required_members = required_members
        self._replica = replica
        self._timers = timers
        # When this controller may try to found the cluster, if it may.
        self._due_at: float | None = None
        # When this controller last knew of a leader, or started.
        self._leaderless_since = timers.now()
        self._logged_at = timers.now()
        self.own = own
        self.known_controllers = KnownControllers(timers)
        self.seeds = list(seeds)
        self.known_controllers.add_introduced(own)
        self._repair = MemberRepair(
            replica, self.known_controllers, required_members
        )
        replica.may_acknowledge = self._repair.may_acknowledge

    def get_state(self) -> ControllerState:
        """Return what this controller is to the cluster."""
        replica = self._replica
        journal = replica.journal
        if replica.fault:
            return ControllerState.FAULTY
        if not journal.members.members:
            return ControllerState.SEARCHING
        member = membership.find_member(
            journal.members, replica.host, journal.disk_id, journal.initial
        )
        if member is None:
            return ControllerState.STANDBY
        if not membership.is_established(journal.members):
            return ControllerState.FOUNDING
        if not member.voter:
            return ControllerState.LEARNER
        return ControllerState.VOTER

    def describe(self) -> fleet_pb2.ControllerList:
        """Return the members and all others that this one has met."""
        controllers = {
            c.host: c for c in self.known_controllers.list_introduced()
        }
        # The state of a controller that has just started may lack members.
        members = [
            *self._replica.state.members.members,
            *self._replica.journal.members.members,
        ]
        for member in members:
            if member.host not in controllers:
                controllers[member.host] = fleet_pb2.ControllerAddress(
                    host=member.host, address=member.address
                )
        return fleet_pb2.ControllerList(
            controllers=[controllers[host] for host in sorted(controllers)],
            founded=bool(self._replica.journal.members.members)
            and not self._replica.journal.may_found(),
        )

    async def run(self) -> None:
        """Find controllers, found the cluster and repair it continuously."""
        self.own.first_start = self._replica.journal.initial
        started_at = self._timers.now()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._repair.run)
            while True:
                self.known_controllers.add_introduced(self.own)
                for address in self._list_addresses():
                    tasks.start_soon(self._introduce, address)
                if self._should_found(started_at):
                    await self._found()
                pause = (
                    REFRESH_INTERVAL_S
                    if self._replica.election.has_recent_leader()
                    else SEARCH_INTERVAL_S
                )
                await self._timers.sleep(pause)

    def _list_addresses(self) -> list[str]:
        addresses = {c.address for c in self.known_controllers.list_known()}
        members = self._replica.journal.members.members
        addresses.update(member.address for member in members)
        addresses.update(self.seeds)
        addresses.discard(self.own.address)
        return sorted(addresses)

    async def _introduce(self, address: str) -> None:
        request = fleet_pb2.Introduction(
            identity=self._replica.identity, controller=self.own
        )
        reply = await self._calls.introduce(address, request)
        if reply is None:
            return
        for controller in reply.controllers:
            if controller.address == address:
                self.known_controllers.add_introduced(controller)
                self.known_controllers.set_founded(
                    controller.host, reply.founded
                )
            else:
                self.known_controllers.add_reported(controller)

    # ---- founding --------------------------------------------------------

    def _should_found(self, started_at: float) -> bool:
        """Return whether it is this controller's turn to found the cluster."""
        now = self._timers.now()
        recent = self.known_controllers.list_recent()
        if not self._may_found(now, started_at, recent):
            self._due_at = None
            return False
        if self._due_at is None:
            self._due_at = now + self._find_wait(recent)
        return now >= self._due_at

    def _may_found(
        self,
        now: float,
        started_at: float,
        recent: Sequence[fleet_pb2.ControllerAddress],
    ) -> bool:
        """Return whether the cluster has to be founded as far as known."""
        replica = self._replica
        journal = replica.journal
        if replica.election.has_recent_leader():
            self._leaderless_since = now
            return False
        if replica.fault or not self.seeds:
            return False
        if not journal.may_found():
            return self._may_found_again(now, recent)
        if self.known_controllers.has_recent_founded():
            return False
        waited_s = now - started_at
        if waited_s >= SEARCH_TIMEOUT_S:
            required = count_required_disks(self._required_members)
            self._log_search(recent, required)
            return len(recent) >= required
        # The members that another controller has chosen may elect a leader.
        if journal.members.members:
            return False
        is_complete = len(recent) >= self._required_members
        settled_s = now - self.known_controllers.changed_at
        return is_complete and settled_s >= SETTLING_TIME_S

    def _may_found_again(
        self, now: float, recent: Sequence[fleet_pb2.ControllerAddress]
    ) -> bool:
        """Return whether an established cluster can't elect a leader again.

        Either all controllers are reachable, but so many have lost their disks
        that a majority of the voters can't reply any more; or there have been
        too few voters from the beginning.
        """
        if not self._replica.journal.last_index:
            return False
        reachable = {controller.address for controller in recent}
        if now - self._leaderless_since < SEARCH_TIMEOUT_S:
            return False
        is_complete = len(reachable) >= self._required_members
        if is_complete and reachable.issuperset(self._list_addresses()):
            return True
        return self._may_enlarge(recent)

    def _may_enlarge(
        self, recent: Sequence[fleet_pb2.ControllerAddress]
    ) -> bool:
        """Return whether this voter may add one to a list of too few."""
        journal = self._replica.journal
        if not membership.may_enlarge(journal.members):
            return False
        if not membership.is_voter(
            journal.members,
            self._replica.host,
            journal.disk_id,
            journal.initial,
        ):
            return False
        return len(recent) >= count_required_disks(self._required_members)

    def _find_wait(
        self, recent: Sequence[fleet_pb2.ControllerAddress]
    ) -> float:
        """Return how long other controllers have their turns before, in s."""
        ordered = sorted(
            recent,
            key=lambda c: (not c.first_start, _build_address_key(c.address)),
        )
        hosts = [controller.host for controller in ordered]
        turn = hosts.index(self.own.host) if self.own.host in hosts else 0
        if self._replica.journal.may_found():
            return turn * TURN_INTERVAL_S
        return turn * SHORT_TURN_INTERVAL_S

    def _log_search(
        self, recent: Sequence[fleet_pb2.ControllerAddress], required: int
    ) -> None:
        now = self._timers.now()
        if now - self._logged_at < SEARCH_LOG_INTERVAL_S:
            return
        self._logged_at = now
        _log.warning(
            "no configuration can be accepted yet, as the cluster isn't "
            "founded: {} controllers are reachable, {} are required; state={} "
            "reachable={} first_start={}",
            len(recent),
            required,
            self.get_state().value,
            sorted(c.host for c in recent),
            sorted(c.host for c in recent if c.first_start),
        )

    async def _found(self) -> None:
        """Collect votes and, if they are enough, write the first members."""
        replica = self._replica
        recent = self.known_controllers.list_recent()
        known = {self.own.address, *self._list_addresses()}
        # Folders made later don't remember the first start, whatever their
        # hosts held before.
        later = {
            controller.address
            for controller in self.known_controllers.list_known()
            if not controller.first_start
        }
        ballot = FoundingBallot(
            known,
            known - later,
            self.seeds,
            self._required_members,
            own_address=self.own.address,
            members=replica.journal.members,
            needs_all=not replica.journal.may_found(),
        )
        # A new term would end that of a leader that this controller has lost
        # touch with, so it only begins if the others would vote.
        term = 0
        next_term = replica.term + 1
        await self._collect_votes(ballot, next_term, recent, True)
        if ballot.is_won():
            ballot.votes = {}
            term = await replica.jobs.execute(self._start_term, next_term)
        if term:
            # The log may have grown since the ballot began.
            ballot.members = replica.journal.members
            ballot.needs_all = not replica.journal.may_found()
            await self._collect_votes(ballot, term, recent, False)
        is_founded = (
            term > 0
            and ballot.is_won()
            and await replica.jobs.execute(
                self._write_members, term, ballot, recent
            )
        )
        pause_s = TURN_INTERVAL_S + self._find_wait(recent)
        self._due_at = self._timers.now() + pause_s
        _log.info(
            "founding term={} votes={} first_start={} known={} required={}: "
            "{}",
            term,
            sorted(ballot.votes),
            sum(vote.initial for vote in ballot.votes.values()),
            len(ballot.known),
            ballot.count_required(),
            "founded the cluster" if is_founded else "not founded",
        )

    async def _start_term(self, term: int) -> int:
        """Vote for this controller in a new term; return it, or 0.

        It is 0 if another candidate has begun the term already.
        """
        replica = self._replica
        journal = replica.journal
        if replica.election.has_recent_leader() or replica.term >= term:
            return 0
        is_stored = await replica.persist(
            lambda: journal.store_vote(term, journal.disk_id)
        )
        return term if is_stored else 0

    async def _collect_votes(
        self,
        ballot: FoundingBallot,
        term: int,
        recent: Sequence[fleet_pb2.ControllerAddress],
        pre_vote: bool,
    ) -> None:
        """Ask all reachable controllers whether they vote in a term."""
        replica = self._replica
        journal = replica.journal
        request = fleet_pb2.VoteRequest(
            identity=replica.identity,
            term=term,
            last_index=journal.last_index,
            last_term=journal.last_term,
            pre_vote=pre_vote,
            disk=journal.disk_id,
            founding=True,
        )
        ballot.votes[self.own.address] = fleet_pb2.VoteReply(
            term=term,
            granted=True,
            disk=journal.disk_id,
            initial=journal.initial,
        )

        async def ask(address: str) -> None:
            reply = await replica.calls.vote(address, request)
            if reply is None:
                return
            if reply.term > replica.term:
                replica.observe_term(reply.term)
            if reply.granted:
                ballot.votes[address] = reply

        with self._timers.limit(BALLOT_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for controller in recent:
                    if controller.host != self.own.host:
                        tasks.start_soon(ask, controller.address)

    async def _write_members(
        self,
        term: int,
        ballot: FoundingBallot,
        recent: Sequence[fleet_pb2.ControllerAddress],
    ) -> bool:
        """Append the members that result from a ballot."""
        replica = self._replica
        journal = replica.journal
        if replica.term != term or journal.voted_for != journal.disk_id:
            return False
        members = ballot.build_members(recent)
        entry = fleet_pb2.LogEntry(
            term=term, index=journal.last_index + 1, members=members
        )
        if not await replica.persist(lambda: journal.append([entry])):
            return False
        replica.election.begin_campaign()
        return True


def _build_address_key(address: str) -> tuple[list[int], int]:
    host, _, port = address.rpartition(":")
    parts = [int(part) for part in host.split(".") if part.isdigit()]
    return parts, int(port)
