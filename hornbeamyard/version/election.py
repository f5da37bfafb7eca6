"""Elections, and the answers to calls of other members."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import logbook

from ..messages import fleet_pb2
from . import membership
from .membership import NEVER, Answer
from .state import FleetState

if TYPE_CHECKING:
    from .replica import Replica

# A member that has heard from a leader within the shortest timeout refuses
# its vote, so that no leader is elected while the lease of another one holds.
SHORTEST_TIMEOUT_S = 2.5
LONGEST_TIMEOUT_S = 4.0
# Between two campaigns of one member.
SHORTEST_RETRY_S = 0.2
LONGEST_RETRY_S = 1.5
VOTE_TIMEOUT_S = 1.0
IDLE_INTERVAL_S = 0.5

_log = logbook.Logger("election")


class Election:
    """A member's part in elections, and as a follower.

    Parameters
    ----------
    replica : Replica
    choose : random.Random
        For timeouts.
    """

    __slots__ = (
        "_campaign_at",
        "_choose",
        "_heard_at",
        "_incoming",
        "_replica",
        "_source",
        "_transfer",
        "_transfer_term",
    )

    def __init__(self, replica: Replica, choose: random.Random) -> None:
        self._replica = replica
        self._choose = choose
        self._heard_at = NEVER
        self._campaign_at = 0.0
        self._transfer = anyio.Event()
        self._transfer_term = 0
        self._incoming = bytearray()
        self._source = (0, 0)

    def start(self) -> None:
        """Take part from now on, with the journal read."""
        now = self._replica.timers.now()
        if self._is_only_voter():
            self._campaign_at = now
            return
        if self._replica.term == 0 or not self._replica.relies_on_leases:
            self._campaign_at = now + self._choose_retry()
            return
        # Before the restart this member may have confirmed a lease.
        self._heard_at = now
        self._set_timeout()

    async def run(self) -> None:
        """Follow, campaign and lead in turns until cancelled."""
        replica = self._replica
        while True:
            await self._wait_for_silence()
            term = await self._campaign()
            if term:
                _log.info("leader in term {}", term)
                await replica.lead(term).run()
            self._campaign_at = max(
                self._campaign_at, replica.timers.now() + self._choose_retry()
            )

    # ---- campaigns -------------------------------------------------------

    async def _wait_for_silence(self) -> None:
        """Wait until it is time to campaign, or the leader asks for it."""
        timers = self._replica.timers
        while True:
            remaining = self._campaign_at - timers.now()
            if not self._is_voter():
                remaining = IDLE_INTERVAL_S
            elif remaining <= 0 or self._may_take_over():
                return
            self._transfer = anyio.Event()
            with timers.limit(remaining):
                await self._transfer.wait()

    async def _campaign(self) -> int:
        """Return the term that was won, or 0."""
        replica = self._replica
        is_transfer = self._may_take_over()
        if not is_transfer:
            request = self._build_request(replica.term + 1, pre_vote=True)
            if not await self._collect_votes(request):
                return 0
        term = await replica.jobs.execute(self._start_term, is_transfer)
        if not term:
            return 0
        request = self._build_request(term, is_transfer=is_transfer)
        if not await self._collect_votes(request):
            return 0
        own_id = replica.journal.disk_id
        is_won = replica.term == term and replica.journal.voted_for == own_id
        return term if is_won and not replica.fault else 0

    async def _start_term(self, is_transfer: bool) -> int:
        replica = self._replica
        if replica.fault:
            return 0
        if is_transfer and not self._may_take_over():
            return 0
        if not is_transfer and replica.timers.now() < self._campaign_at:
            return 0
        term = replica.term + 1
        journal = replica.journal
        replica.leader_host = ""
        is_kept = await replica.keep(
            lambda: journal.store_vote(term, journal.disk_id)
        )
        return term if is_kept else 0

    def _build_request(
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
        """Ask all voters; return whether a majority has granted."""
        replica = self._replica
        journal = replica.journal
        answers = {replica.host: Answer(journal.disk_id, journal.initial, 1.0)}
        addresses = membership.find_addresses(journal.members)
        addresses.pop(replica.host, None)

        async def ask(host: str, address: str) -> None:
            reply = await replica.calls.vote(address, request)
            if reply is None:
                return
            if reply.term > replica.term:
                replica.note_term(reply.term)
            if reply.granted:
                answers[host] = Answer(reply.disk, reply.initial, 1.0)
            if membership.find_majority(journal.members, answers) > 0:
                tasks.cancel_scope.cancel()

        with replica.timers.limit(VOTE_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for host, address in addresses.items():
                    tasks.start_soon(ask, host, address)
        return membership.find_majority(journal.members, answers) > 0

    # ---- calls of other members ------------------------------------------

    async def handle_vote(
        self, request: fleet_pb2.VoteRequest
    ) -> fleet_pb2.VoteReply:
        """Answer a candidate."""
        return await self._replica.jobs.execute(self._vote, request)

    async def handle_append(
        self, request: fleet_pb2.AppendRequest
    ) -> fleet_pb2.AppendReply | None:
        """Answer a leader's entries; None when the disk has failed."""
        return await self._replica.jobs.execute(self._append, request)

    async def handle_install(
        self, chunk: fleet_pb2.SnapshotChunk
    ) -> fleet_pb2.SnapshotReply | None:
        """Answer a part of a snapshot; None when the disk has failed."""
        return await self._replica.jobs.execute(self._install, chunk)

    async def handle_transfer(
        self, request: fleet_pb2.TransferRequest
    ) -> fleet_pb2.TransferReply:
        """Campaign at once, because the leader gives up its lease."""
        self._transfer_term = request.term
        self._transfer.set()
        return fleet_pb2.TransferReply(term=self._replica.term)

    async def _vote(
        self, request: fleet_pb2.VoteRequest
    ) -> fleet_pb2.VoteReply:
        replica = self._replica
        journal = replica.journal
        granted = self._may_grant(request)
        if granted and not request.pre_vote:
            replica.depose(f"term {request.term} has begun")
            granted = await replica.keep(
                lambda: journal.store_vote(request.term, request.disk)
            )
            self._set_timeout()
        return fleet_pb2.VoteReply(
            term=replica.term,
            granted=granted,
            disk=journal.disk_id,
            initial=journal.initial,
        )

    def _may_grant(self, request: fleet_pb2.VoteRequest) -> bool:
        replica = self._replica
        journal = replica.journal
        if replica.fault:
            return False
        if not request.transfer and self._hears_leader():
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

    def _hears_leader(self) -> bool:
        if self._replica.leadership is not None:
            return True
        silence = self._replica.timers.now() - self._heard_at
        return silence < SHORTEST_TIMEOUT_S

    async def _accept_leader(
        self, term: int, identity: fleet_pb2.Identity
    ) -> bool:
        """Follow the leader of a term; return False when it is an old one."""
        replica = self._replica
        if replica.fault or term < replica.term:
            return False
        if not await replica.adopt_term(term):
            return False
        replica.leader_host = identity.host
        self._heard_at = replica.timers.now()
        self._set_timeout()
        return True

    async def _append(
        self, request: fleet_pb2.AppendRequest
    ) -> fleet_pb2.AppendReply | None:
        replica = self._replica
        journal = replica.journal
        is_followed = await self._accept_leader(request.term, request.identity)
        reply = fleet_pb2.AppendReply(
            term=replica.term, disk=journal.disk_id, initial=journal.initial
        )
        if replica.fault:
            return None
        if not is_followed:
            return reply
        committed = replica.state.last_index
        previous = request.previous_index
        if previous > journal.last_index:
            reply.match_index = journal.last_index
            return reply
        # What is committed here is the same in every leader's log.
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
        if not await replica.keep(lambda: journal.append(new)):
            return None
        reply.accepted = True
        reply.match_index = previous + len(request.entries)
        replica.apply_up_to(min(request.commit_index, reply.match_index))
        return reply

    async def _install(
        self, chunk: fleet_pb2.SnapshotChunk
    ) -> fleet_pb2.SnapshotReply | None:
        replica = self._replica
        journal = replica.journal
        is_followed = await self._accept_leader(chunk.term, chunk.identity)
        if replica.fault:
            return None
        reply = fleet_pb2.SnapshotReply(
            term=replica.term, disk=journal.disk_id, initial=journal.initial
        )
        if not is_followed:
            return reply
        source = (chunk.term, chunk.last_index)
        if chunk.offset == 0 or source != self._source:
            self._source = source
            self._incoming = bytearray()
        if chunk.offset != len(self._incoming):
            reply.offset = len(self._incoming)
            return reply
        self._incoming += chunk.data
        reply.offset = len(self._incoming)
        if chunk.last and not await self._take_snapshot():
            return None
        return reply

    async def _take_snapshot(self) -> bool:
        replica = self._replica
        snapshot = fleet_pb2.SnapshotState.FromString(bytes(self._incoming))
        self._incoming = bytearray()
        if snapshot.last_index <= replica.state.last_index:
            return True
        state = FleetState.from_snapshot(snapshot)
        if not await replica.keep(
            lambda: replica.journal.store_snapshot(snapshot)
        ):
            return False
        replica.replace_state(state)
        return True

    # ---- timeouts --------------------------------------------------------

    def _may_take_over(self) -> bool:
        """Return whether the leader of this term has given up its lease."""
        return 0 < self._transfer_term == self._replica.term

    def _choose_retry(self) -> float:
        return self._choose.uniform(SHORTEST_RETRY_S, LONGEST_RETRY_S)

    def _set_timeout(self) -> None:
        timeout = self._choose.uniform(SHORTEST_TIMEOUT_S, LONGEST_TIMEOUT_S)
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
