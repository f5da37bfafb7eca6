"""Leader election, and the handlers for calls from other members."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import logbook

from ..messages import fleet_pb2
from . import membership
from .membership import NEVER, MemberReply
from .state import FleetState

if TYPE_CHECKING:
    from .replica import Replica

# Bounds of the random delay between two campaigns of one member.
MIN_CAMPAIGN_DELAY_S = 0.2
MAX_CAMPAIGN_DELAY_S = 1.5
# Time limit for collecting the votes of a majority. It doubles with each
# campaign that runs into it, up to the maximum: under load votes may take
# longer, and a fixed limit would let every campaign fail.
VOTE_TIMEOUT_S = 1.0
MAX_VOTE_TIMEOUT_S = 4.0
# Interval at which a member without a vote checks whether it has one now.
NON_VOTER_INTERVAL_S = 0.5

_log = logbook.Logger("election")


class Election:
    """A member's role as candidate, voter and follower.

    Parameters
    ----------
    replica : Replica
    rng : random.Random
        Draws the election timeouts.
    """

    __slots__ = (
        "_campaign_at",
        "_collection",
        "_last_contact_at",
        "_replica",
        "_rng",
        "_snapshot_data",
        "_snapshot_id",
        "_transfer",
        "_transfer_term",
        "_vote_timeout_s",
    )

    def __init__(self, replica: Replica, rng: random.Random) -> None:
        self._replica = replica
        self._rng = rng
        self._last_contact_at = NEVER
        self._campaign_at = 0.0
        # Votes that are being collected.
        self._collection: anyio.CancelScope | None = None
        self._transfer = anyio.Event()
        self._transfer_term = 0
        self._vote_timeout_s = VOTE_TIMEOUT_S
        self._snapshot_data = bytearray()
        self._snapshot_id = (0, 0)

    def start(self) -> None:
        """Set the first election timeout, once the journal is loaded."""
        now = self._replica.timers.now()
        if self._is_only_voter():
            self._campaign_at = now
            return
        if self._replica.term == 0 or not self._replica.relies_on_leases:
            self._campaign_at = now + self._draw_campaign_delay()
            return
        # This member may have acknowledged a leader's lease before a restart,
        # so it waits as if it had just heard from that leader.
        self._last_contact_at = now
        self._reset_timeout()

    def begin_campaign(self) -> None:
        """Campaign anew as soon as this member is a voter."""
        self._campaign_at = self._replica.timers.now()
        self._vote_timeout_s = VOTE_TIMEOUT_S
        if self._collection is not None:
            self._collection.cancel()
        self._transfer.set()

    async def run(self) -> None:
        """Alternate between following, campaigning and leading."""
        replica = self._replica
        while True:
            await self._wait_for_timeout()
            term = await self._campaign()
            if term:
                _log.info(
                    "this controller won the election: leader in term {}",
                    term,
                )
                self._vote_timeout_s = VOTE_TIMEOUT_S
                await replica.become_leader(term).run()
            self._campaign_at = max(
                self._campaign_at,
                replica.timers.now() + self._draw_campaign_delay(),
            )

    # ---- campaigns -------------------------------------------------------

    async def _wait_for_timeout(self) -> None:
        """Wait for the election timeout or a leadership transfer."""
        timers = self._replica.timers
        while True:
            remaining = self._campaign_at - timers.now()
            if not self._is_voter():
                remaining = NON_VOTER_INTERVAL_S
            elif remaining <= 0 or self._is_transfer_requested():
                return
            self._transfer = anyio.Event()
            with timers.limit(remaining):
                await self._transfer.wait()

    async def _campaign(self) -> int:
        """Run for leader; return the term that was won, or 0."""
        replica = self._replica
        is_transfer = self._is_transfer_requested()
        if not is_transfer:
            request = self._build_vote_request(replica.term + 1, pre_vote=True)
            if not await self._collect_votes(request):
                return 0
        term = await replica.jobs.execute(self._start_term, is_transfer)
        if not term:
            return 0
        request = self._build_vote_request(term, is_transfer=is_transfer)
        if not await self._collect_votes(request):
            return 0
        own_id = replica.journal.disk_id
        is_won = replica.term == term and replica.journal.voted_for == own_id
        return term if is_won and not replica.fault else 0

    async def _start_term(self, is_transfer: bool) -> int:
        replica = self._replica
        if replica.fault:
            return 0
        if is_transfer and not self._is_transfer_requested():
            return 0
        if not is_transfer and replica.timers.now() < self._campaign_at:
            return 0
        term = replica.term + 1
        journal = replica.journal
        replica.leader_host = ""
        is_stored = await replica.persist(
            lambda: journal.store_vote(term, journal.disk_id)
        )
        return term if is_stored else 0

    def _build_vote_request(
        self, term: int, pre_vote: bool = False, is_transfer: bool = False
    ) -> fleet_pb2.VoteRequest:
        journal = self._replica.journal
        return fleet_pb2.VoteRequest(
            identity=self._replica.identity,
            term=term,
            last_index=journal.last_index,
            last_term=journal.last_term,
            pre_vote=pre_vote,
            disk=journal.disk_id,
            transfer=is_transfer,
        )

    async def _collect_votes(self, request: fleet_pb2.VoteRequest) -> bool:
        """Request votes; return whether a majority of voters granted one."""
        replica = self._replica
        journal = replica.journal
        replies = {
            replica.host: MemberReply(journal.disk_id, journal.initial, 1.0)
        }
        refused: set[str] = set()
        addresses = membership.find_addresses(journal.members)
        addresses.pop(replica.host, None)

        async def ask(host: str, address: str) -> None:
            reply = await replica.calls.vote(address, request)
            if reply is None:
                return
            if reply.term > replica.term:
                replica.observe_term(reply.term)
            if reply.granted:
                replies[host] = MemberReply(reply.disk, reply.initial, 1.0)
            else:
                refused.add(host)
            # Members that are gone never reply, so it doesn't wait for them.
            is_won = membership.find_majority(journal.members, replies) > 0
            if is_won or not membership.has_majority_without(
                journal.members, refused
            ):
                tasks.cancel_scope.cancel()

        with replica.timers.limit(self._vote_timeout_s) as limit:
            async with anyio.create_task_group() as tasks:
                self._collection = tasks.cancel_scope
                for host, address in addresses.items():
                    tasks.start_soon(ask, host, address)
        self._collection = None
        if limit.cancelled_caught:
            self._vote_timeout_s = min(
                2 * self._vote_timeout_s, MAX_VOTE_TIMEOUT_S
            )
        return membership.find_majority(journal.members, replies) > 0

    # ---- calls from other members ----------------------------------------

    async def handle_vote(
        self, request: fleet_pb2.VoteRequest
    ) -> fleet_pb2.VoteReply:
        """Handle a candidate's request for a vote."""
        return await self._replica.jobs.execute(self._vote, request)

    async def handle_append(
        self, request: fleet_pb2.AppendRequest
    ) -> fleet_pb2.AppendReply | None:
        """Handle a leader's entries; return None if the disk has failed."""
        return await self._replica.jobs.execute(self._append, request)

    async def handle_install(
        self, chunk: fleet_pb2.SnapshotChunk
    ) -> fleet_pb2.SnapshotReply | None:
        """Handle a chunk of a snapshot; return None if the disk has failed."""
        return await self._replica.jobs.execute(self._receive_chunk, chunk)

    async def handle_transfer(
        self, request: fleet_pb2.TransferRequest
    ) -> fleet_pb2.TransferReply:
        """Campaign at once, because the leader has given up its lease."""
        self._transfer_term = request.term
        self._transfer.set()
        return fleet_pb2.TransferReply(term=self._replica.term)

    async def _vote(
        self, request: fleet_pb2.VoteRequest
    ) -> fleet_pb2.VoteReply:
        replica = self._replica
        journal = replica.journal
        granted = self._can_grant_vote(request)
        if granted and not request.pre_vote:
            replica.step_down(f"term {request.term} has started")
            granted = await replica.persist(
                lambda: journal.store_vote(request.term, request.disk)
            )
            self._reset_timeout()
        return fleet_pb2.VoteReply(
            term=replica.term,
            granted=granted,
            disk=journal.disk_id,
            initial=journal.initial,
        )

    def _can_grant_vote(self, request: fleet_pb2.VoteRequest) -> bool:
        replica = self._replica
        journal = replica.journal
        if replica.fault:
            return False
        if not request.transfer and self.has_recent_leader():
            return False
        # Files that were set aside may have been part of a cluster, so a vote
        # of this folder must not help to begin an empty log.
        is_new_log = request.founding and not request.last_index
        if is_new_log and journal.set_aside:
            return False
        if (request.last_term, request.last_index) < (
            journal.last_term,
            journal.last_index,
        ):
            return False
        if request.term != replica.term:
            return request.term > replica.term
        return not request.pre_vote and journal.voted_for in (
            b"",
            request.disk,
        )

    def has_recent_leader(self) -> bool:
        """Return whether this member leads or has heard from a leader."""
        if self._replica.leadership is not None:
            return True
        silence = self._replica.timers.now() - self._last_contact_at
        return silence < self._replica.timeouts.min_election_s

    async def _follow_leader(
        self, term: int, identity: fleet_pb2.Identity
    ) -> bool:
        """Follow the leader of a term; return False if the term is past."""
        replica = self._replica
        if replica.fault or term < replica.term:
            return False
        if not await replica.adopt_term(term):
            return False
        replica.leader_host = identity.host
        self._vote_timeout_s = VOTE_TIMEOUT_S
        self._last_contact_at = replica.timers.now()
        self._reset_timeout()
        return True

    async def _append(
        self, request: fleet_pb2.AppendRequest
    ) -> fleet_pb2.AppendReply | None:
        replica = self._replica
        journal = replica.journal
        is_current = await self._follow_leader(request.term, request.identity)
        reply = fleet_pb2.AppendReply(
            term=replica.term, disk=journal.disk_id, initial=journal.initial
        )
        if replica.fault:
            return None
        if not is_current:
            return reply
        committed = replica.state.last_index
        previous = request.previous_index
        if previous > journal.last_index:
            reply.match_index = journal.last_index
            return reply
        # Entries committed here are the same in every leader's log.
        if previous > committed and (
            journal.get_term(previous) != request.previous_term
        ):
            reply.match_index = committed
            return reply
        new = [
            entry
            for entry in request.entries
            if entry.index > committed
            and journal.get_term(entry.index) != entry.term
        ]
        if new:
            new = [e for e in request.entries if e.index >= new[0].index]
        if not await replica.persist(lambda: journal.append(new)):
            return None
        reply.accepted = True
        reply.match_index = previous + len(request.entries)
        replica.apply_up_to(min(request.commit_index, reply.match_index))
        return reply

    async def _receive_chunk(
        self, chunk: fleet_pb2.SnapshotChunk
    ) -> fleet_pb2.SnapshotReply | None:
        replica = self._replica
        journal = replica.journal
        is_current = await self._follow_leader(chunk.term, chunk.identity)
        if replica.fault:
            return None
        reply = fleet_pb2.SnapshotReply(
            term=replica.term, disk=journal.disk_id, initial=journal.initial
        )
        if not is_current:
            return reply
        snapshot_id = (chunk.term, chunk.last_index)
        if chunk.offset == 0 or snapshot_id != self._snapshot_id:
            self._snapshot_id = snapshot_id
            self._snapshot_data = bytearray()
        if chunk.offset != len(self._snapshot_data):
            reply.offset = len(self._snapshot_data)
            return reply
        self._snapshot_data += chunk.data
        reply.offset = len(self._snapshot_data)
        if chunk.last and not await self._restore_snapshot():
            return None
        return reply

    async def _restore_snapshot(self) -> bool:
        replica = self._replica
        snapshot = fleet_pb2.SnapshotState.FromString(
            bytes(self._snapshot_data)
        )
        self._snapshot_data = bytearray()
        if snapshot.last_index <= replica.state.last_index:
            return True
        state = FleetState.from_snapshot(snapshot)
        if not await replica.persist(
            lambda: replica.journal.store_snapshot(snapshot)
        ):
            return False
        replica.replace_state(state)
        return True

    # ---- timeouts --------------------------------------------------------

    def _is_transfer_requested(self) -> bool:
        """Return whether this term's leader asked for a transfer."""
        return 0 < self._transfer_term == self._replica.term

    def _draw_campaign_delay(self) -> float:
        return self._rng.uniform(MIN_CAMPAIGN_DELAY_S, MAX_CAMPAIGN_DELAY_S)

    def _reset_timeout(self) -> None:
        timeouts = self._replica.timeouts
        timeout = self._rng.uniform(
            timeouts.min_election_s, timeouts.max_election_s
        )
        self._campaign_at = self._replica.timers.now() + timeout

    def _is_voter(self) -> bool:
        replica = self._replica
        journal = replica.journal
        return not replica.fault and membership.is_voter(
            journal.members, replica.host, journal.disk_id, journal.initial
        )

    def _is_only_voter(self) -> bool:
        members = self._replica.journal.members.members
        return sum(member.voter for member in members) == 1
