"""The leader's part: replication, the lease and changes of members."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

import anyio
import anyio.abc

from ..messages import fleet_pb2
from ..pool.digests import KEY_SIZE
from . import membership
from .membership import MemberReply

if TYPE_CHECKING:
    from .replica import Replica

# The lease ends this long after a majority last acknowledged a call. Even if
# clock rates differ by 10%, it is shorter than the minimum election timeout.
LEASE_S = 2.0
HEARTBEAT_INTERVAL_S = 0.5
# Time limits of a call that sends entries or one chunk of a snapshot.
CALL_TIMEOUT_S = 1.0
SNAPSHOT_TIMEOUT_S = 5.0
# Interval at which the leader checks its lease and its peers, and the pause
# before it calls an unreachable peer again.
CHECK_INTERVAL_S = 0.1
MAX_BATCH_ENTRIES = 256
# A batch ends with the entry that takes it past this size.
MAX_BATCH_BYTES = 1024 * 1024
SNAPSHOT_CHUNK_BYTES = 1024 * 1024

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")


@dataclass(slots=True)
class Peer:
    """The leader's view of another member.

    Attributes
    ----------
    host, address : str
    next_index : int
        Index of the next entry to send.
    match_index : int
        Index of the last entry known to be on the peer's disk.
    applied_index : int
        Index up to which it has applied the entries, as far as known.
    acked_at : float
        Monotonic time at which the last call that the peer accepted was
        sent, in seconds.
    replied_at : float
        Monotonic time at which the last call that the peer answered in this
        term was sent, in seconds, whether it accepted the call or not.
    disk_id : bytes
        Id of its data folder; empty until it has replied.
    initial : bool
        Whether the folder was made when the fleet was initialized.
    wake : anyio.Event
        Set when there are new entries or a commit to send.
    call : anyio.CancelScope or None
        Scope of the call that it hasn't answered yet.
    incarnation : int
        Start of its process that has introduced itself last; 0 if none has.
    """

    host: str
    address: str
    next_index: int
    match_index: int = 0
    applied_index: int = 0
    acked_at: float = membership.NEVER
    replied_at: float = membership.NEVER
    disk_id: bytes = b""
    initial: bool = False
    wake: anyio.Event = field(default_factory=anyio.Event)
    call: anyio.CancelScope | None = None
    incarnation: int = 0

    def record_disk(self, disk_id: bytes, initial: bool) -> None:
        """Record the peer's data folder; a different one starts empty."""
        if disk_id != self.disk_id:
            self.match_index = 0
            self.applied_index = 0
            self.acked_at = membership.NEVER
        self.disk_id = disk_id
        self.initial = initial


class Leadership:
    """A replica's leadership in one term.

    Parameters
    ----------
    replica : Replica
    term : int

    Attributes
    ----------
    term : int
    peers : dict of str to Peer
        The other members by host.
    first_index : int
        Index of the term's first entry; 0 until it is appended.
    ended : anyio.Event
        Set when the replica no longer leads in this term.
    """

    __slots__ = (
        "_check",
        "_has_proposed_key",
        "_replica",
        "ended",
        "first_index",
        "peers",
        "term",
    )

    def __init__(self, replica: Replica, term: int) -> None:
        self._check = anyio.Event()
        self._has_proposed_key = False
        self._replica = replica
        self.term = term
        self.peers: dict[str, Peer] = {}
        self.first_index = 0
        self.ended = anyio.Event()

    async def run(self) -> None:
        """Lead until the term ends or the lease is lost."""
        timers = self._replica.timers
        started = timers.now()
        async with anyio.create_task_group() as tasks:
            self._update_peers(tasks)
            while not self.ended.is_set():
                with timers.limit(CHECK_INTERVAL_S):
                    await self._check.wait()
                self._check = anyio.Event()
                self._update_peers(tasks)
                self._propose_member_step()
                self._propose_digest_key()
                now = timers.now()
                if now >= max(self.get_lease_end(), started + LEASE_S):
                    self._replica.step_down("lost contact with a majority")
            tasks.cancel_scope.cancel()

    def request_check(self) -> None:
        """Check the members soon, as the next step of a change may be due."""
        self._check.set()

    def get_lease_end(self) -> float:
        """Return the monotonic time at which the lease ends, in seconds."""
        replies = self._collect_replies(
            self._replica.timers.now(),
            {peer.host: peer.acked_at for peer in self.peers.values()},
        )
        members = self._replica.journal.members
        return membership.find_majority(members, replies) + LEASE_S

    def find_commit_index(self) -> int:
        """Return the index of the newest entry that a majority holds."""
        replies = self._collect_matches()
        members = self._replica.journal.members
        index = membership.find_majority(members, replies)
        return 0 if index == membership.NEVER else int(index)

    def count_applied(self, index: int) -> int:
        """Return the number of voters that have applied an entry."""
        replies = self._collect_replies(
            self._replica.state.last_index,
            {peer.host: peer.applied_index for peer in self.peers.values()},
        )
        return membership.count_voters(
            self._replica.journal.members, replies, index
        )

    def plan_step(self) -> fleet_pb2.MemberList | None:
        """Return the next member list of a change in progress, if any."""
        replica = self._replica
        return membership.plan_step(
            replica.state.members,
            self._collect_matches(),
            replica.state.last_index,
        )

    def wake_peers(self) -> None:
        """Send new entries, and what is committed, to the peers."""
        for peer in self.peers.values():
            peer.wake.set()

    def record_process(self, identity: fleet_pb2.Identity) -> None:
        """Record which process of a peer has introduced itself.

        A call to its former process is abandoned: the network may never tell
        that it won't be answered.
        """
        peer = self.peers.get(identity.host)
        if peer is None:
            return
        is_restarted = peer.incarnation not in (0, identity.incarnation)
        peer.incarnation = identity.incarnation
        if is_restarted and peer.call is not None:
            peer.call.cancel()

    def choose_successor(self) -> Peer | None:
        """Return the voter whose log is the most up to date, if any."""
        members = self._replica.journal.members
        voters = [
            peer
            for peer in self.peers.values()
            if membership.is_voter(
                members, peer.host, peer.disk_id, peer.initial
            )
        ]
        return max(voters, key=lambda peer: peer.match_index, default=None)

    def is_change_pending(self) -> bool:
        """Return whether a change of members must wait.

        It must until the newest member list and an entry of this term are
        committed.
        """
        replica = self._replica
        index = replica.journal.members_index
        return (
            index > replica.state.last_index
            or not self.first_index
            or replica.state.last_index < self.first_index
        )

    def _collect_replies(
        self, own: float, values: dict[str, float]
    ) -> dict[str, MemberReply]:
        journal = self._replica.journal
        replies = {
            self._replica.host: MemberReply(
                journal.disk_id, journal.initial, own
            )
        }
        for peer in self.peers.values():
            if peer.disk_id:
                replies[peer.host] = MemberReply(
                    peer.disk_id, peer.initial, values[peer.host]
                )
        return replies

    def _collect_matches(self) -> dict[str, MemberReply]:
        return self._collect_replies(
            self._replica.journal.last_index,
            {peer.host: peer.match_index for peer in self.peers.values()},
        )

    # ---- members ---------------------------------------------------------

    def _update_peers(self, tasks: anyio.abc.TaskGroup) -> None:
        replica = self._replica
        addresses = membership.find_addresses(replica.journal.members)
        addresses.pop(replica.host, None)
        for host, address in addresses.items():
            if host not in self.peers:
                peer = Peer(host, address, replica.journal.last_index + 1)
                self.peers[host] = peer
                tasks.start_soon(self._replicate, peer)
        for host in self.peers.keys() - addresses.keys():
            del self.peers[host]

    def _propose_member_step(self) -> None:
        replica = self._replica
        if self.ended.is_set() or self.is_change_pending():
            return
        step = self.plan_step()
        if step is not None:
            replica.propose(fleet_pb2.LogEntry(members=step))

    def _propose_digest_key(self) -> None:
        """Choose the key of request digests, unless the fleet has one.

        Once the first entry of this term is applied, the state has any key
        that an earlier leader has chosen.
        """
        replica = self._replica
        if (
            self.ended.is_set()
            or self._has_proposed_key
            or not 0 < self.first_index <= replica.state.last_index
            or replica.state.digest_key
        ):
            return
        self._has_proposed_key = True
        key = fleet_pb2.DigestKey(key=replica.draw_bytes(KEY_SIZE))
        replica.propose(fleet_pb2.LogEntry(digest_key=key))

    # ---- replication -----------------------------------------------------

    async def _replicate(self, peer: Peer) -> None:
        """Send entries, snapshots and heartbeats to one peer."""
        while self.peers.get(peer.host) is peer:
            # A chunk of a snapshot may take long, so one is sent only to a
            # peer that answers: after a silence it must be repaired at once.
            is_reachable = await self._send_entries(peer)
            if is_reachable and self._needs_snapshot(peer):
                is_reachable = await self._send_snapshot(peer)
            last_index = self._replica.journal.last_index
            if is_reachable and peer.next_index <= last_index:
                continue
            if not is_reachable:
                await self._replica.timers.sleep(CHECK_INTERVAL_S)
                continue
            with self._replica.timers.limit(HEARTBEAT_INTERVAL_S):
                await peer.wake.wait()
            peer.wake = anyio.Event()

    def _needs_snapshot(self, peer: Peer) -> bool:
        journal = self._replica.journal
        previous = peer.next_index - 1
        return (previous > 0 and journal.get_term(previous) is None) or (
            previous == 0 and journal.get_entry(1) is None
        )

    async def _send_entries(self, peer: Peer) -> bool:
        replica = self._replica
        journal = replica.journal
        previous = min(peer.next_index - 1, journal.last_index)
        request = fleet_pb2.AppendRequest(
            identity=replica.identity,
            term=self.term,
            previous_index=previous,
            previous_term=journal.get_term(previous) or 0,
            commit_index=replica.state.last_index,
            entries=self._select_entries(previous + 1),
        )
        called_at = replica.timers.now()
        reply = await self._call(
            peer, replica.calls.append, request, CALL_TIMEOUT_S
        )
        if reply is None or not self._check_term(reply.term):
            return False
        peer.replied_at = max(peer.replied_at, called_at)
        is_new_disk = reply.disk != peer.disk_id
        peer.record_disk(reply.disk, reply.initial)
        if is_new_disk or membership.has_learners(journal.members):
            self.request_check()
        if reply.accepted:
            peer.match_index = max(peer.match_index, reply.match_index)
            peer.next_index = peer.match_index + 1
            peer.applied_index = max(
                peer.applied_index,
                min(request.commit_index, reply.match_index),
            )
            peer.acked_at = max(peer.acked_at, called_at)
            replica.advance_commit()
        elif reply.term == self.term:
            peer.next_index = reply.match_index + 1
        return reply.term == self.term

    def _select_entries(self, index: int) -> Iterator[fleet_pb2.LogEntry]:
        size = 0
        for number in range(index, index + MAX_BATCH_ENTRIES):
            entry = self._replica.journal.get_entry(number)
            if entry is None or size > MAX_BATCH_BYTES:
                return
            size += entry.ByteSize()
            yield entry

    async def _send_snapshot(self, peer: Peer) -> bool:
        replica = self._replica
        state = replica.state.build_snapshot()
        data = state.SerializeToString()
        offset = 0
        while offset < len(data):
            part = data[offset : offset + SNAPSHOT_CHUNK_BYTES]
            chunk = fleet_pb2.SnapshotChunk(
                identity=replica.identity,
                term=self.term,
                last_index=state.last_index,
                last_term=state.last_term,
                offset=offset,
                data=part,
                last=offset + len(part) == len(data),
            )
            called_at = replica.timers.now()
            reply = await self._call(
                peer, replica.calls.install, chunk, SNAPSHOT_TIMEOUT_S
            )
            if reply is None or not self._check_term(reply.term):
                return False
            peer.replied_at = max(peer.replied_at, called_at)
            peer.record_disk(reply.disk, reply.initial)
            if reply.offset != offset + len(part):
                return False
            peer.acked_at = max(peer.acked_at, called_at)
            offset += len(part)
        peer.match_index = max(peer.match_index, state.last_index)
        peer.next_index = peer.match_index + 1
        peer.applied_index = max(peer.applied_index, state.last_index)
        replica.advance_commit()
        return True

    async def _call(
        self,
        peer: Peer,
        call: Callable[[str, RequestT], Awaitable[ReplyT | None]],
        request: RequestT,
        timeout_s: float,
    ) -> ReplyT | None:
        """Make a call that may be abandoned; return None without a reply."""
        reply = None
        with self._replica.timers.limit(timeout_s) as peer.call:
            reply = await call(peer.address, request)
        peer.call = None
        return reply

    def _check_term(self, term: int) -> bool:
        """Return whether this leadership continues after a reply's term."""
        if term > self.term:
            self._replica.observe_term(term)
        return not self.ended.is_set()
