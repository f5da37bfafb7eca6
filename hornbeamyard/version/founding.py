"""Automatic formation of the controllers' cluster and repair of its members.

At the start a controller knows only the addresses of some others, the seeds.
Controllers introduce themselves to each other until each knows all. The seed
with the lowest address then founds the cluster: it writes the initial
members as the first log entry and sends them to the others. Later the leader
replaces lost members by other controllers.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

import anyio
import logbook

from ..messages import fleet_pb2
from ..process.timers import Timers
from .membership import has_learners
from .replica import Replica

# Intervals between introductions before and after a leader is known.
SEARCH_INTERVAL_S = 0.2
REFRESH_INTERVAL_S = 1.0
# The initial members are chosen once no new controller has appeared for this
# long. The hosts of a fleet start within a fraction of a second.
SETTLING_TIME_S = 0.6
# After this time the cluster is founded even if there are fewer controllers
# than the tolerated losses require, but never with fewer than those that have
# to hold each change.
SEARCH_TIMEOUT_S = 5.0
# More members than this would only make each write slower.
MAX_INITIAL_MEMBERS = 7
# Interval at which the leader looks for members that have to be replaced.
REPAIR_INTERVAL_S = 0.2
# A controller that couldn't be made a member isn't tried again for this long,
# so that others have their turn.
CANDIDATE_RETRY_S = 10.0
# Changes wait for a replacement for this many times the silence after which it
# begins.
MAX_HOLD_FACTOR = 2
# A line is logged at this interval while too few controllers are known.
SEARCH_LOG_INTERVAL_S = 5.0
# A controller can become a member if another one has seen it within this time.
# One that isn't a member is removed after four times as long.
CANDIDATE_TIMEOUT_S = 3.0

_log = logbook.Logger("founding")


class FoundingCalls(Protocol):
    """Calls to other controllers; they return None if there is no reply."""

    async def introduce(
        self, address: str, request: fleet_pb2.Introduction
    ) -> fleet_pb2.ControllerList | None:
        """Introduce this controller; return the controllers known there."""

    async def send_founding(
        self, address: str, request: fleet_pb2.Founding
    ) -> fleet_pb2.FoundingReply | None:
        """Send the initial members to a controller."""


@dataclass(slots=True)
class KnownController:
    """A known controller, and the monotonic time of its last sign of life."""

    controller: fleet_pb2.ControllerAddress
    last_seen_at: float


class KnownControllers:
    """The controllers that this process knows, whether members or not.

    Parameters
    ----------
    timers : Timers

    Attributes
    ----------
    changed_at : float
        Monotonic time at which the last new controller was added, in seconds.
    """

    __slots__ = ("_known", "_timers", "changed_at")

    def __init__(self, timers: Timers) -> None:
        self._known: dict[str, KnownController] = {}
        self._timers = timers
        self.changed_at = timers.now()

    def add_introduced(self, controller: fleet_pb2.ControllerAddress) -> None:
        """Add a controller that has introduced itself."""
        if not controller.host:
            return
        now = self._timers.now()
        if controller.host not in self._known:
            self.changed_at = now
        self._known[controller.host] = KnownController(controller, now)

    def add_reported(self, controller: fleet_pb2.ControllerAddress) -> None:
        """Add a controller that another one has reported."""
        if controller.host and controller.host not in self._known:
            self._known[controller.host] = KnownController(
                controller, self._timers.now()
            )
            self.changed_at = self._timers.now()

    def list_known(self) -> list[fleet_pb2.ControllerAddress]:
        """Return all controllers, ordered by host."""
        return [self._known[host].controller for host in sorted(self._known)]

    def list_recent(self) -> list[fleet_pb2.ControllerAddress]:
        """Return the controllers last seen within `CANDIDATE_TIMEOUT_S`."""
        oldest = self._timers.now() - CANDIDATE_TIMEOUT_S
        return [
            known.controller
            for known in self._known.values()
            if known.last_seen_at >= oldest
        ]

    def get_last_seen(self, host: str) -> float | None:
        """Return the monotonic time of a controller's last sign of life."""
        known = self._known.get(host)
        return None if known is None else known.last_seen_at

    def remove_lost(self, members: Mapping[str, str]) -> None:
        """Remove controllers that are gone and aren't members.

        Parameters
        ----------
        members : mapping of str to str
            Addresses of the members by host.
        """
        oldest = self._timers.now() - 4 * CANDIDATE_TIMEOUT_S
        for host, known in list(self._known.items()):
            if known.last_seen_at < oldest and host not in members:
                del self._known[host]


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
        "_failed_at",
        "_last_sign_at",
        "_logged_at",
        "_replica",
        "_required_members",
        "_timers",
        "_unsettled_since",
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
        # Times at which candidates were given up as members.
        self._failed_at: dict[str, float] = {}
        # Last signs of life of the other members, while this one leads.
        self._last_sign_at: dict[str, float] = {}
        self._logged_at = timers.now()
        # Since when a change of members has been due or in progress.
        self._unsettled_since: float | None = None
        self.own = own
        self.known_controllers = KnownControllers(timers)
        self.seeds = list(seeds)
        self.known_controllers.add_introduced(own)
        replica.may_acknowledge = self.may_acknowledge

    def is_founded(self) -> bool:
        """Return whether this controller has a member list."""
        return bool(self._replica.journal.members.members)

    def describe(self) -> fleet_pb2.ControllerList:
        """Return all controllers that this one knows, as a message."""
        controllers = {c.host: c for c in self.known_controllers.list_known()}
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
            founded=self.is_founded(),
        )

    async def run(self) -> None:
        """Find controllers, found the cluster and repair it continuously."""
        started_at = self._timers.now()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._repair_repeatedly)
            while True:
                self.known_controllers.add_introduced(self.own)
                for address in self._list_addresses():
                    tasks.start_soon(self._introduce, address)
                if self.is_founded():
                    await self._send_initial_members()
                elif self._should_found(started_at):
                    await self._found()
                pause = (
                    REFRESH_INTERVAL_S
                    if self._replica.leader_host
                    else SEARCH_INTERVAL_S
                )
                await self._timers.sleep(pause)

    async def accept_founding(self, members: fleet_pb2.MemberList) -> bool:
        """Store the initial members sent by the founding controller.

        Returns
        -------
        bool
            Whether this controller now has these initial members. It
            refuses unless this is its first start.
        """
        return bool(
            await self._replica.jobs.execute(self._write_members, members)
        )

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
            else:
                self.known_controllers.add_reported(controller)

    # ---- founding --------------------------------------------------------

    def _should_found(self, started_at: float) -> bool:
        """Return whether this controller should choose the initial members.

        Only one does, because all controllers have the same seeds at their
        first start.
        """
        if not self.own.first_start or not self.seeds:
            return False
        if self.own.address != min(self.seeds, key=_build_address_key):
            return False
        now = self._timers.now()
        known = self.known_controllers.list_recent()
        if now - started_at >= SEARCH_TIMEOUT_S:
            if len(known) >= self._count_required_disks():
                return True
            self._log_shortage(known)
            return False
        is_settled = now - self.known_controllers.changed_at >= SETTLING_TIME_S
        return is_settled and len(known) >= self._required_members

    def _count_required_disks(self) -> int:
        """Return the number of controllers that have to hold each change."""
        return self._required_members // 2 + 1

    def _log_shortage(
        self, known: Sequence[fleet_pb2.ControllerAddress]
    ) -> None:
        now = self._timers.now()
        if now - self._logged_at < SEARCH_LOG_INTERVAL_S:
            return
        self._logged_at = now
        _log.warning(
            "no configuration can be accepted yet: {} controllers are known "
            "({}), and the tolerated losses need {}",
            len(known),
            ", ".join(sorted(c.host for c in known)),
            self._count_required_disks(),
        )

    async def _found(self) -> None:
        chosen = choose_initial_members(
            self.known_controllers.list_recent(), self._required_members
        )
        members = fleet_pb2.MemberList(
            members=[
                fleet_pb2.Member(host=c.host, address=c.address, voter=True)
                for c in chosen
            ]
        )
        hosts = ", ".join(c.host for c in chosen)
        # Store the choice before sending it, so that a restart in between
        # can't lead to a different one.
        if await self.accept_founding(members):
            _log.info("founded the cluster with members {}", hosts)

    async def _send_initial_members(self) -> None:
        """Send the initial members to the others, before any election.

        Only a controller whose log holds nothing but these sends them.
        """
        journal = self._replica.journal
        first = journal.get_entry(1)
        is_first = journal.last_index == 1 and first is not None
        if not is_first or not journal.initial or first is None:
            return
        request = fleet_pb2.Founding(
            identity=self._replica.identity, members=first.members
        )
        async with anyio.create_task_group() as tasks:
            for member in first.members.members:
                if member.host != self.own.host:
                    tasks.start_soon(
                        self._calls.send_founding, member.address, request
                    )

    async def _write_members(self, members: fleet_pb2.MemberList) -> bool:
        replica = self._replica
        journal = replica.journal
        if replica.fault or not self.own.first_start:
            return False
        if journal.members.members or journal.term:
            return journal.members == members
        entry = fleet_pb2.LogEntry(index=1, members=members)
        disk_id = random.randbytes(16)
        if not await replica.persist(
            lambda: journal.initialize(disk_id, [entry])
        ):
            return False
        replica.election.start()
        return True

    # ---- repair ----------------------------------------------------------

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

    async def _repair_repeatedly(self) -> None:
        """Replace lost members whenever this controller leads."""
        async for _ in self._timers.subscribe(REPAIR_INTERVAL_S):
            if self.is_founded():
                await self._replace_lost_members()

    async def _replace_lost_members(self) -> None:
        """Make the next change of members, if this controller leads."""
        replica = self._replica
        members = replica.state.members
        self.known_controllers.remove_lost(
            {m.host: m.address for m in members.members}
        )
        leadership = replica.leadership
        if leadership is None or not replica.is_leader():
            self._last_sign_at = {}
            self._unsettled_since = None
            return
        self._record_signs()
        self._track_unsettled()
        if leadership.is_change_pending():
            return
        change = self._plan_change(replica.timeouts.member_s)
        if change is None:
            return
        if change.kind == fleet_pb2.MemberChange.REMOVE:
            self._failed_at[change.host] = self._timers.now()
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
        oldest = self._timers.now() - CANDIDATE_RETRY_S
        candidates = [
            controller
            for controller in self.known_controllers.list_recent()
            if self._failed_at.get(controller.host, oldest) <= oldest
        ]
        return plan_member_change(
            self._replica.state.members,
            self._list_silent(silence_s),
            candidates,
            self._required_members,
        )

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
            last_seen_at = self.known_controllers.get_last_seen(host)
            first = now if last_seen_at is None else min(now, last_seen_at)
            last_sign_at = self._last_sign_at.get(host, first)
            signs[host] = max(last_sign_at, peer.acked_at)
        self._last_sign_at = signs


def _build_address_key(address: str) -> tuple[list[int], int]:
    host, _, port = address.rpartition(":")
    parts = [int(part) for part in host.split(".") if part.isdigit()]
    return parts, int(port)
