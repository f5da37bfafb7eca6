"""A controller's replica of the fleet's log."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

import anyio
import logbook
from result import Err, Ok, Result

from ..messages import fleet_pb2
from ..process.timers import Timers
from . import membership
from .election import Election
from .jobs import JobQueue
from .journal import Disk, ForeignFolderError, Journal, JournalError
from .leadership import Leadership
from .state import FleetState, Outcome
from .timeouts import Timeouts

# If no majority has confirmed an entry within this time, its outcome is
# reported as unknown.
PROPOSE_TIMEOUT_S = 4.0
# Proposals that may wait to be appended; further submissions fail.
MAX_PENDING_PROPOSALS = 4096
# Default number of entries after which a snapshot is taken.
SNAPSHOT_ENTRIES = 1000
# Size of entries after which one is taken earlier, so that the log on disk
# stays small even with routing documents, which take up to about 100 KB each.
SNAPSHOT_LOG_BYTES = 8 * 1024 * 1024
# A snapshot leaves a fifth of the entries per snapshot in the log, so that a
# peer that is a little behind doesn't need the snapshot.
RETAINED_ENTRIES_DIVISOR = 5
# Time limit for the successor's log to catch up before a transfer.
TRANSFER_TIMEOUT_S = 2.0
# Time between checks of an entry that isn't held by enough voters yet.
DURABILITY_INTERVAL_S = 0.02
# Time between attempts to write to a disk that has failed, and between checks
# of the data folder.
DISK_RETRY_S = 0.5
# Commands that are acknowledged only once enough voters have applied them.
DURABLE_COMMANDS = ("routing", "evacuation")

DEFAULT_TIMEOUTS = Timeouts()

T = TypeVar("T")

_log = logbook.Logger("replica")


class PeerCalls(Protocol):
    """Calls to other members; they return None if there is no reply."""

    async def vote(
        self, address: str, request: fleet_pb2.VoteRequest
    ) -> fleet_pb2.VoteReply | None:
        """Ask for a vote."""

    async def append(
        self, address: str, request: fleet_pb2.AppendRequest
    ) -> fleet_pb2.AppendReply | None:
        """Send entries, or none as a heartbeat."""

    async def install(
        self, address: str, chunk: fleet_pb2.SnapshotChunk
    ) -> fleet_pb2.SnapshotReply | None:
        """Send a chunk of a snapshot."""

    async def transfer(
        self, address: str, request: fleet_pb2.TransferRequest
    ) -> fleet_pb2.TransferReply | None:
        """Ask a member to campaign for the leadership at once."""


@dataclass(slots=True)
class NotLeader:
    """The replica isn't the leader.

    Attributes
    ----------
    leader : str
        Address of the leader as far as it is known, or an empty string.
    """

    leader: str


@dataclass(slots=True)
class NoQuorum:
    """The outcome is unknown, because no majority confirmed in time."""


ProposeError = NotLeader | NoQuorum


@dataclass(slots=True)
class Proposal:
    """An entry that is to be appended and committed.

    Attributes
    ----------
    entry : LogEntry
    done : anyio.Event
        Set once `result` is final.
    result : Result of Outcome or ProposeError
    """

    entry: fleet_pb2.LogEntry
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Result[Outcome, ProposeError] = field(
        default_factory=lambda: Err(NoQuorum())
    )


class Replica:
    """One member of the controllers' replicated log.

    Parameters
    ----------
    identity : Identity
    address : str
        Address at which the other members reach this one.
    disk : Disk
    calls : PeerCalls
    timers : Timers
    rng : random.Random
        Draws election timeouts, the id of an empty data folder and the key
        of request digests, so it has to be a `random.SystemRandom` except in
        simulations.
    snapshot_entries : int, optional
        Number of entries after which a snapshot is taken.
    timeouts : Timeouts, optional
    required_disks : int, optional
        Number of voters that must have applied a routing or an evacuation
        before it is acknowledged.
    relies_on_leases : bool, optional
        Whether a leader may act on its lease alone. If not, a majority
        confirms each submission and each read, and a restarted member takes
        part in elections at once.
    first_start : bool, optional
        Whether the fleet starts for the first time.

    Attributes
    ----------
    state : FleetState
        State as of the last applied entry.
    journal : Journal
    leadership : Leadership or None
        Set while this member leads.
    leader_host : str
        Host of the leader; empty if it is unknown.
    fault : str
        Why this member neither votes nor leads; empty if there is no fault.
    jobs : JobQueue
        Runs all changes of the journal one at a time.
    may_acknowledge : callable
        Returns whether the members are in a state in which a routing or an
        evacuation that is acknowledged now outlasts the tolerated losses.
    """

    def __init__(
        self,
        identity: fleet_pb2.Identity,
        address: str,
        disk: Disk,
        calls: PeerCalls,
        timers: Timers,
        rng: random.Random,
        snapshot_entries: int = SNAPSHOT_ENTRIES,
        timeouts: Timeouts = DEFAULT_TIMEOUTS,
        required_disks: int = 1,
        relies_on_leases: bool = True,
        first_start: bool = False,
    ) -> None:
        self.identity = identity
        self.host = identity.host
        self.address = address
        self.calls = calls
        self.timers = timers
        self.journal = Journal(
            disk, identity.fleet, snapshot_entries // RETAINED_ENTRIES_DIVISOR
        )
        self.state = FleetState()
        self.fault = ""
        self.timeouts = timeouts
        self.relies_on_leases = relies_on_leases
        self.may_acknowledge: Callable[[], bool] = lambda: True
        self.jobs = JobQueue()
        self.leadership: Leadership | None = None
        self.leader_host = ""
        self.election = Election(self, rng)
        # Index of the last entry that was in the log when it was read.
        self._recovered_index = 0
        self._required_disks = required_disks
        self._rng = rng
        self._changed = anyio.Event()
        self._first_start = first_start
        self._pending: list[Proposal] = []
        self._uncommitted: dict[int, Proposal] = {}
        self._is_loaded = False
        self._is_snapshot_queued = False
        self._is_fault_temporary = False
        self._snapshot_entries = snapshot_entries
        self._bytes_since_snapshot = 0

    # ---- interface to the controller -------------------------------------

    @property
    def term(self) -> int:
        """The highest term that this member knows."""
        return self.journal.term

    def is_leader(self) -> bool:
        """Return whether this replica leads and holds its lease."""
        leadership = self.leadership
        return (
            leadership is not None
            and 0 < leadership.first_index <= self.state.last_index
            and self.timers.now() < leadership.get_lease_end()
        )

    def get_lease_end(self) -> float:
        """Return the monotonic time at which the lease ends, in seconds.

        It is 0 if this replica isn't the leader.
        """
        if not self.is_leader() or self.leadership is None:
            return 0.0
        return self.leadership.get_lease_end()

    def get_leader(self) -> str:
        """Return the leader's address, or an empty string."""
        if self.leader_host == self.host:
            return self.address if self.is_leader() else ""
        members = self.journal.members
        return membership.find_addresses(members).get(self.leader_host, "")

    async def submit_patch(
        self, request: fleet_pb2.PatchRequest
    ) -> Result[fleet_pb2.PatchResult, ProposeError]:
        """Append a configuration patch to the log and return its outcome."""
        return await self._submit(
            fleet_pb2.LogEntry(patch=request), fleet_pb2.PatchResult
        )

    async def make_claims(
        self, batch: fleet_pb2.ClaimBatch
    ) -> Result[fleet_pb2.ClaimResults, ProposeError]:
        """Append operations on claims and return their results.

        After `NotLeader` none of them was applied; after `NoQuorum` they
        may have been, or may be later.
        """
        return await self._submit(
            fleet_pb2.LogEntry(claims=batch), fleet_pb2.ClaimResults
        )

    async def submit_routing(
        self, submission: fleet_pb2.RoutingSubmission
    ) -> Result[fleet_pb2.RoutingResult, ProposeError]:
        """Append a validated routing to the log and return its outcome.

        The outcome is returned once the routing outlasts the tolerated
        losses and is in force at so many controllers that one of them is
        left then. Otherwise routers would learn of it only after an election.
        """
        entry = fleet_pb2.LogEntry(routing=submission)
        return await self._submit_durably(entry, fleet_pb2.RoutingResult)

    async def order_evacuation(
        self, order: fleet_pb2.EvacuationOrder
    ) -> Result[fleet_pb2.EvacuationResult, ProposeError]:
        """Append an order about an availability zone; return its outcome.

        It is returned under the same conditions as that of a routing. An
        order that changes nothing is appended as well: an equal one may have
        been appended before without being acknowledged.
        """
        entry = fleet_pb2.LogEntry(evacuation=order)
        return await self._submit_durably(entry, fleet_pb2.EvacuationResult)

    async def _submit_durably(
        self, entry: fleet_pb2.LogEntry, kind: type[T]
    ) -> Result[T, ProposeError]:
        """Append an entry; return once its outcome may be acknowledged."""
        result: Result[T, ProposeError] = Err(NoQuorum())
        with self.timers.limit(PROPOSE_TIMEOUT_S):
            result = await self._submit(entry, kind)
            while result.is_ok() and not self._is_durable(entry):
                if self.leadership is None:
                    return Err(NoQuorum())
                await self.timers.sleep(DURABILITY_INTERVAL_S)
            return result
        return Err(NoQuorum())

    def _is_durable(self, entry: fleet_pb2.LogEntry) -> bool:
        """Return whether a committed entry may be acknowledged."""
        leadership = self.leadership
        if leadership is None:
            return False
        applied = leadership.count_applied(entry.index)
        return applied >= self._required_disks and self.may_acknowledge()

    def find_unconfirmed_orders(self) -> dict[str, fleet_pb2.LogEntry]:
        """Return the orders in the log that await a leader since the start.

        A member that starts applies only what its snapshot holds. Entries
        after that may have been acknowledged, which it learns from a leader.

        Returns
        -------
        dict of str to LogEntry
            The newest order about each availability zone.
        """
        start = self.state.last_index + 1
        # The log may have been cut by a leader that didn't have its end.
        end = min(self._recovered_index, self.journal.last_index)
        orders = {}
        for index in range(start, end + 1):
            entry = self.journal.get_entry(index)
            if entry is not None and entry.HasField("evacuation"):
                orders[entry.evacuation.availability_zone] = entry
        return orders

    async def confirm_state(self) -> Result[FleetState, ProposeError]:
        """Return the state once a majority has confirmed that it is current.

        A lease isn't enough for a read, because the monotonic clock stops
        while a host is suspended: a leader that resumes may find its lease
        still valid while its state is out of date.
        """
        if not self.is_leader():
            return Err(NotLeader(self.get_leader()))
        entry = fleet_pb2.LogEntry(claims=fleet_pb2.ClaimBatch())
        result = await self._wait(self.propose(entry))
        return result if isinstance(result, Err) else Ok(self.state)

    async def change_members(
        self, change: fleet_pb2.MemberChange
    ) -> Result[str, ProposeError]:
        """Start a change of members.

        Returns
        -------
        Result of str or ProposeError
            The text states why the change was refused; it is empty if the
            change has started.
        """
        if not self.is_leader() or self.leadership is None:
            return Err(NotLeader(self.get_leader()))
        if self.leadership.is_change_pending():
            return Ok("another change is still being made; try again later")
        changed = membership.change_members(self.state.members, change)
        if isinstance(changed, str):
            return Ok(changed)
        proposal = self.propose(fleet_pb2.LogEntry(members=changed))
        result = await self._wait(proposal)
        return Ok("") if isinstance(result, Ok) else result

    def draw_bytes(self, size: int) -> bytes:
        """Return random bytes."""
        return self._rng.randbytes(size)

    async def wait_for_change(self) -> None:
        """Wait until the state or the leadership changes."""
        await self._changed.wait()

    # ---- lifecycle and roles ---------------------------------------------

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = (anyio.TASK_STATUS_IGNORED),
    ) -> None:
        """Read the data folder, then run as a member until cancelled."""
        await self._load()
        self.election.start()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.jobs.run)
            tasks.start_soon(self.election.run)
            tasks.start_soon(self._watch_disk)
            task_status.started()

    async def _load(self) -> None:
        try:
            repaired = await self._read_journal()
            self.state = FleetState.from_snapshot(self.journal.snapshot)
            self._recovered_index = self.journal.last_index
            self._is_loaded = True
            if repaired:
                _log.warning("{}", repaired)
        except (OSError, JournalError) as error:
            self.set_fault(error)
        if not self.fault and not self.journal.members.members:
            _log.warning(
                "the data folder is empty; waiting to be added by the leader"
            )

    async def _read_journal(self) -> str:
        """Read the data folder; begin anew with a new id if it is damaged.

        What a damaged folder lacks may have been acknowledged, so that it must
        never be used under its id again.
        """
        journal = self.journal
        damage = ""
        try:
            if self._is_loaded and not await journal.has_vote():
                damage = "the data folder was removed"
            else:
                repaired = await journal.load(self._draw_id, self._first_start)
                if journal.last_index >= self.state.last_index:
                    return repaired
                damage = (
                    f"the log ends at entry {journal.last_index}, before the "
                    f"committed entry {self.state.last_index}"
                )
        except ForeignFolderError:
            raise
        except JournalError as error:
            damage = str(error)
        place = await journal.set_files_aside(damage)
        _log.error(
            "the data folder is damaged: {}; its files were moved to {}, and "
            "this controller rejoins with a new data folder id",
            damage,
            place,
        )
        # The files are as in an empty folder even if the disk fails now.
        self._is_loaded = False
        self.replace_state(FleetState())
        return await journal.load(self._draw_id, self._first_start)

    def _draw_id(self) -> bytes:
        return self._rng.randbytes(16)

    async def _watch_disk(self) -> None:
        """Clear the fault once a disk that failed accepts writes again.

        Without a fault, check that the data folder is still there: the others
        count on what this member holds, also while nothing is written.
        """
        async for _ in self.timers.subscribe(DISK_RETRY_S):
            if not self.fault:
                await self.jobs.execute(self._check_files)
            elif self._is_fault_temporary:
                await self.jobs.execute(self._recover_disk)

    async def _check_files(self) -> None:
        await self.persist(self.journal.check_files)

    async def _recover_disk(self) -> None:
        """Read the disk again, because a failed write may have reached it."""
        journal = self.journal
        try:
            await self._read_journal()
            await journal.store_vote(journal.term, journal.voted_for)
            # A snapshot may have reached the disk before the write failed.
            if journal.snapshot.last_index > self.state.last_index:
                self.replace_state(FleetState.from_snapshot(journal.snapshot))
            self._is_loaded = True
        except (OSError, JournalError) as error:
            _log.debug(
                "the disk has not recovered yet, so this controller still "
                "doesn't vote or lead; it will retry: {}",
                error,
            )
            return
        _log.warning("the disk accepts writes again; fault cleared")
        self.fault = ""
        self.election.start()

    async def transfer_leadership(self) -> None:
        """Transfer the leadership to another member, if this one leads."""
        leadership = self.leadership
        if leadership is None:
            return
        successor = leadership.choose_successor()
        if successor is None:
            return
        with self.timers.limit(TRANSFER_TIMEOUT_S):
            while successor.match_index < self.journal.last_index:
                await self.timers.sleep(0.01)
        request = fleet_pb2.TransferRequest(
            identity=self.identity, term=leadership.term
        )
        # The lease must be given up before the successor campaigns.
        self.step_down("leadership transfer")
        with self.timers.limit(1.0):
            await self.calls.transfer(successor.address, request)

    def set_fault(self, error: Exception) -> None:
        """Stop voting and leading, because the disk is unreliable."""
        # A full or failing disk may recover by itself; a folder that belongs
        # to another fleet needs an operator.
        self._is_fault_temporary = isinstance(error, OSError)
        if not self.fault:
            _log.error(
                "this controller no longer votes or leads: {}; {}",
                error,
                "it votes again once the disk accepts writes"
                if self._is_fault_temporary
                else "give it its own data folder or an empty one, and "
                "restart it",
            )
        self.fault = str(error)
        self.step_down("disk error")

    def become_leader(self, term: int) -> Leadership:
        """Start leading in a term whose election this member won."""
        self.leadership = Leadership(self, term)
        self.leader_host = self.host
        self.propose(fleet_pb2.LogEntry(noop=fleet_pb2.Noop()))
        return self.leadership

    def step_down(self, reason: str) -> None:
        """Stop leading, if this member leads."""
        leadership = self.leadership
        if leadership is None:
            return
        _log.info("no longer leader in term {}: {}", leadership.term, reason)
        self.leadership = None
        self.leader_host = ""
        leadership.ended.set()
        leadership.request_check()
        for proposal in self._uncommitted.values():
            proposal.done.set()
        for proposal in self._pending:
            proposal.result = Err(NotLeader(""))
            proposal.done.set()
        self._uncommitted = {}
        self._pending = []
        self._notify_waiters()

    def observe_term(self, term: int) -> None:
        """Step down and store a higher term that another member reported."""
        self.step_down(f"term {term} has started")
        self.jobs.put(lambda: self.adopt_term(term))

    async def adopt_term(self, term: int) -> bool:
        """Store a higher term; must run as a job.

        Returns
        -------
        bool
            Whether the journal holds this term or a higher one.
        """
        if self.fault:
            return False
        if term <= self.term:
            return True
        self.step_down(f"term {term} has started")
        return await self.persist(lambda: self.journal.store_vote(term, b""))

    async def persist(self, write: Callable[[], Awaitable[None]]) -> bool:
        """Write to the journal; return whether the write succeeded."""
        if self.fault:
            return False
        try:
            await write()
        except OSError as error:
            self.set_fault(error)
            return False
        return True

    # ---- proposals -------------------------------------------------------

    def propose(self, entry: fleet_pb2.LogEntry) -> Proposal:
        """Queue an entry to be appended; this replica must be the leader."""
        proposal = Proposal(entry)
        self._pending.append(proposal)
        if len(self._pending) == 1:
            self.jobs.put(self._append_pending)
        return proposal

    async def _submit(
        self, entry: fleet_pb2.LogEntry, kind: type[T]
    ) -> Result[T, ProposeError]:
        if not self.is_leader():
            return Err(NotLeader(self.get_leader()))
        if len(self._pending) >= MAX_PENDING_PROPOSALS:
            return Err(NoQuorum())
        result = await self._wait(self.propose(entry))
        if isinstance(result, Err):
            return result
        assert isinstance(result.ok_value, kind)
        return Ok(result.ok_value)

    async def _wait(self, proposal: Proposal) -> Result[Outcome, ProposeError]:
        with self.timers.limit(PROPOSE_TIMEOUT_S):
            await proposal.done.wait()
        return proposal.result

    async def _append_pending(self) -> None:
        """Append all pending proposals with a single disk write."""
        leadership = self.leadership
        proposals, self._pending = self._pending, []
        if leadership is None or not proposals:
            return
        index = self.journal.last_index
        time_ms = self.timers.wall_ms()
        for number, proposal in enumerate(proposals, index + 1):
            proposal.entry.term = leadership.term
            proposal.entry.index = number
            proposal.entry.time_ms = max(time_ms, self.state.time_ms)
            self._uncommitted[number] = proposal
        entries = [proposal.entry for proposal in proposals]
        if not await self.persist(lambda: self.journal.append(entries)):
            return
        leadership.first_index = leadership.first_index or index + 1
        if not leadership.ended.is_set():
            leadership.wake_peers()
            self.advance_commit()

    # ---- applying --------------------------------------------------------

    def advance_commit(self) -> None:
        """Apply the entries that a majority holds, if this replica leads."""
        leadership = self.leadership
        if leadership is None:
            return
        index = leadership.find_commit_index()
        # An entry of an earlier term is committed only together with an entry
        # of this term; until then another leader could replace it.
        if self.journal.get_term(index) == leadership.term:
            self.apply_up_to(index)

    def apply_up_to(self, index: int) -> None:
        """Apply committed entries up to an index."""
        if index <= self.state.last_index:
            return
        for number in range(self.state.last_index + 1, index + 1):
            entry = self.journal.get_entry(number)
            assert entry is not None
            outcome = self.state.apply(entry)
            self._bytes_since_snapshot += entry.ByteSize()
            if entry.HasField("members"):
                described = membership.describe_members(entry.members)
                _log.info("members: {}", described)
                if self.leadership is not None:
                    self.leadership.request_check()
            if self.leadership is not None and (
                entry.WhichOneof("command") in DURABLE_COMMANDS
            ):
                # The others put it in force once they know that it is
                # committed, which the next heartbeat would tell them.
                self.leadership.wake_peers()
            proposal = self._uncommitted.pop(number, None)
            if proposal is not None:
                proposal.result = Ok(outcome)
                proposal.done.set()
        self._notify_waiters()
        behind = self.state.last_index - self.journal.snapshot.last_index
        is_due = (
            behind >= self._snapshot_entries
            or self._bytes_since_snapshot >= SNAPSHOT_LOG_BYTES
        )
        if is_due and not self._is_snapshot_queued:
            self._is_snapshot_queued = True
            self.jobs.put(self._save_snapshot)
        self._check_membership()

    def replace_state(self, state: FleetState) -> None:
        """Replace the state by that of a snapshot from the leader."""
        self.state = state
        self._notify_waiters()

    def _check_membership(self) -> None:
        """Stop leading once this member has been removed."""
        journal = self.journal
        if self.leadership is not None and not membership.is_voter(
            self.state.members, self.host, journal.disk_id, journal.initial
        ):
            self.step_down("removed from the members")

    async def _save_snapshot(self) -> None:
        snapshot = self.state.build_snapshot()
        self._bytes_since_snapshot = 0
        await self.persist(lambda: self.journal.store_snapshot(snapshot))
        self._is_snapshot_queued = False

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
