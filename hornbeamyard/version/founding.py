"""Automatic formation of the controllers' cluster.

At the start a controller knows only the addresses of some others, the seeds.
Controllers introduce themselves to each other until each knows all. The seed
with the lowest address then founds the cluster: it writes the initial
members as the first log entry and sends them to the others.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

import anyio
import logbook

from ..messages import fleet_pb2
from ..process.timers import Timers
from .discovery import KnownControllers
from .repair import MemberRepair
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
# A line is logged at this interval while too few controllers are known.
SEARCH_LOG_INTERVAL_S = 5.0

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
        self._logged_at = timers.now()
        self.own = own
        self.known_controllers = KnownControllers(timers)
        self.seeds = list(seeds)
        self.known_controllers.add_introduced(own)
        self._repair = MemberRepair(
            replica, self.known_controllers, required_members
        )
        replica.may_acknowledge = self._repair.may_acknowledge

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
            tasks.start_soon(self._repair.run)
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


def _build_address_key(address: str) -> tuple[list[int], int]:
    host, _, port = address.rpartition(":")
    parts = [int(part) for part in host.split(".") if part.isdigit()]
    return parts, int(port)
