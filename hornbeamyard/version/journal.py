"""A controller's durable state: its vote, log and snapshot.

Every write is synced before the call returns, so that a caller may then
acknowledge what it has written.
"""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Protocol

import anyio
import anyio.to_thread
from result import Err, Ok, Result

from ..messages import fleet_pb2

VOTE_FILE = "vote"
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"

_MAGIC = b"hbyr"
_HEADER = struct.Struct("<4sII")


class Disk(Protocol):
    """Durable storage of files by name; errors are raised as `OSError`."""

    async def load(self, name: str) -> bytes | None:
        """Return a file's content, or None when it doesn't exist."""

    async def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it."""

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content atomically and sync it."""


class FolderDisk:
    """Files in a folder of the file system.

    Parameters
    ----------
    folder : Path
        Created when it doesn't exist.
    """

    __slots__ = ("_folder",)

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    async def load(self, name: str) -> bytes | None:
        """Return a file's content, or None when it doesn't exist."""
        return await anyio.to_thread.run_sync(self._load, name)

    async def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it."""
        await anyio.to_thread.run_sync(self._append, name, data)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content atomically and sync it."""
        await anyio.to_thread.run_sync(self._replace, name, data)

    def _load(self, name: str) -> bytes | None:
        # A killed process may have left data that can be read but isn't
        # synced yet; it must be durable before anything relies on it.
        try:
            with (self._folder / name).open("rb") as file:
                os.fsync(file.fileno())
                data = file.read()
        except FileNotFoundError:
            return None
        self._sync_folder()
        return data

    def _append(self, name: str, data: bytes) -> None:
        path = self._folder / name
        is_new = not path.exists()
        with path.open("ab") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        if is_new:
            self._sync_folder()

    def _replace(self, name: str, data: bytes) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        temporary = self._folder / f"{name}.new"
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._folder / name)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class JournalError(Exception):
    """The data folder is corrupt or belongs to another fleet."""


class Journal:
    """The vote, log and snapshot of one member.

    Methods that write raise `OSError` if the disk returns an error.

    Parameters
    ----------
    disk : Disk
    fleet : str
    retained_entries : int, optional
        Entries covered by a snapshot that stay in the log.

    Attributes
    ----------
    term : int
    voted_for : bytes
        Data folder id of the candidate voted for in `term`.
    disk_id : bytes
        Id of this data folder.
    initial : bool
        Whether the folder was made when the fleet was initialized or started
        for the first time.
    entries : list of LogEntry
        The log, with consecutive indexes.
    members : MemberList
        The newest member list, committed or not.
    members_index : int
        Index of the entry that holds `members`, or of the snapshot.
    snapshot : SnapshotState
        The newest snapshot; empty before the first.
    """

    __slots__ = (
        "_disk",
        "_fleet",
        "_retained_entries",
        "disk_id",
        "entries",
        "initial",
        "members",
        "members_index",
        "snapshot",
        "term",
        "voted_for",
    )

    def __init__(
        self, disk: Disk, fleet: str, retained_entries: int = 0
    ) -> None:
        self._disk = disk
        self._retained_entries = retained_entries
        self._fleet = fleet
        self.term = 0
        self.voted_for = b""
        self.disk_id = b""
        self.initial = False
        self.entries: list[fleet_pb2.LogEntry] = []
        self.snapshot = fleet_pb2.SnapshotState()
        self.members = fleet_pb2.MemberList()
        self.members_index = 0

    # ---- reading ---------------------------------------------------------

    @property
    def last_index(self) -> int:
        """Index of the newest entry; 0 for an empty log."""
        if self.entries:
            return int(self.entries[-1].index)
        return int(self.snapshot.last_index)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self.get_term(self.last_index) or 0

    def get_term(self, index: int) -> int | None:
        """Return the term of an entry, or None if the log doesn't hold it."""
        if index == self.snapshot.last_index:
            return int(self.snapshot.last_term)
        entry = self.get_entry(index)
        return None if entry is None else int(entry.term)

    def get_entry(self, index: int) -> fleet_pb2.LogEntry | None:
        """Return an entry, or None if the log doesn't hold it."""
        if not self.entries:
            return None
        position = index - self.entries[0].index
        if 0 <= position < len(self.entries):
            return self.entries[position]
        return None

    def is_settled(self) -> bool:
        """Return whether the log shows that its first entries are committed.

        Leaders append other entries than member lists and no-ops only after
        an entry of their term is committed, and snapshots hold only committed
        entries.
        """
        return bool(self.snapshot.last_index) or any(
            entry.WhichOneof("command") not in ("members", "noop")
            for entry in self.entries
        )

    def _refresh_members(self) -> None:
        """Set `members` to the newest list in the log or snapshot."""
        self.members_index = int(self.snapshot.last_index)
        self.members = self.snapshot.members
        for entry in reversed(self.entries):
            if entry.index <= self.snapshot.last_index:
                return
            if entry.WhichOneof("command") == "members":
                self.members_index = int(entry.index)
                self.members = entry.members
                return

    async def has_vote(self) -> bool:
        """Return whether the data folder holds a vote file."""
        return await self._disk.load(VOTE_FILE) is not None

    async def load(
        self, make_id: Callable[[], bytes], first_start: bool = False
    ) -> str:
        """Read the data folder; give it an id if it is empty.

        Parameters
        ----------
        make_id : callable
            Returns a new random id.
        first_start : bool, optional
            Whether the fleet starts for the first time, which an empty folder
            then records: the process may end before the fleet is founded.

        Returns
        -------
        str
            Describes what was repaired; empty if nothing was.

        Raises
        ------
        JournalError
            If a file is corrupt or belongs to another fleet.
        OSError
            If the disk returns an error.
        """
        stored = await self._disk.load(VOTE_FILE)
        log = await self._disk.load(LOG_FILE) or b""
        snapshot = await self._disk.load(SNAPSHOT_FILE)
        if stored is None:
            if log or snapshot is not None:
                raise JournalError(
                    "the data folder holds a log but no vote file; empty "
                    "the folder, and the member rejoins with a new id"
                )
            self.disk_id = make_id()
            self.initial = first_start
            await self._store_vote()
            return ""
        self._restore_vote(stored)
        if snapshot is not None:
            payload = _read_single_record(SNAPSHOT_FILE, snapshot)
            self.snapshot = fleet_pb2.SnapshotState.FromString(payload)
        payloads, valid_size = split_records(log)
        self.entries = _collect_entries(payloads)
        dropped = self._drop_superseded()
        self._refresh_members()
        if valid_size == len(log) and not dropped:
            return ""
        await self._rewrite()
        return f"dropped {len(log) - valid_size} bytes of an unfinished write"

    def _restore_vote(self, stored: bytes) -> None:
        payload = _read_single_record(VOTE_FILE, stored)
        vote = fleet_pb2.StoredVote.FromString(payload)
        if vote.fleet != self._fleet:
            raise JournalError(
                f"the data folder belongs to fleet {vote.fleet!r}, not to "
                f"{self._fleet!r}"
            )
        self.term = vote.term
        self.voted_for = vote.voted_for
        self.disk_id = vote.disk
        self.initial = vote.initial

    def _drop_superseded(self) -> bool:
        """Drop entries superseded by a snapshot installed from the leader.

        They remain if the process stopped after storing the snapshot and
        before rewriting the log.
        """
        if not self.entries:
            return False
        index = self.snapshot.last_index
        if self.entries[0].index == index + 1:
            return False
        entry = self.get_entry(index)
        if entry is not None and entry.term == self.snapshot.last_term:
            return False
        if self.entries[0].index > index + 1:
            raise JournalError(
                f"the log starts at entry {self.entries[0].index}, but the "
                f"snapshot ends at entry {index}"
            )
        self.entries = []
        return True

    # ---- writing ---------------------------------------------------------

    async def store_vote(self, term: int, voted_for: bytes) -> None:
        """Store the current term and the vote in it."""
        before = self.term, self.voted_for
        self.term, self.voted_for = term, voted_for
        try:
            await self._store_vote()
        except BaseException:
            self.term, self.voted_for = before
            raise

    async def append(self, entries: Sequence[fleet_pb2.LogEntry]) -> None:
        """Append entries, replacing existing ones from the first index on."""
        if not entries:
            return
        message = fleet_pb2.LogFrame(entries=entries)
        await self._disk.append(
            LOG_FILE, build_record(message.SerializeToString())
        )
        replaced = entries[0].index <= self.last_index
        _splice_entries(self.entries, entries)
        if replaced or any(entry.HasField("members") for entry in entries):
            self._refresh_members()

    async def store_snapshot(self, snapshot: fleet_pb2.SnapshotState) -> None:
        """Replace the snapshot and drop most of the entries it covers."""
        await self._disk.replace(
            SNAPSHOT_FILE, build_record(snapshot.SerializeToString())
        )
        self.snapshot = snapshot
        entry = self.get_entry(snapshot.last_index)
        if entry is None or entry.term != snapshot.last_term:
            self.entries = []
        else:
            first = snapshot.last_index - self._retained_entries
            self.entries = [e for e in self.entries if e.index > first]
        self._refresh_members()
        await self._rewrite()

    async def initialize(
        self, disk_id: bytes, entries: Sequence[fleet_pb2.LogEntry]
    ) -> None:
        """Write the first entries of a new fleet's log."""
        self.disk_id = disk_id
        self.initial = True
        self.entries = list(entries)
        self._refresh_members()
        # The vote file comes last: a folder without it counts as
        # uninitialized.
        await self._rewrite()
        await self._store_vote()

    async def _store_vote(self) -> None:
        vote = fleet_pb2.StoredVote(
            term=self.term,
            voted_for=self.voted_for,
            disk=self.disk_id,
            initial=self.initial,
            fleet=self._fleet,
        )
        await self._disk.replace(
            VOTE_FILE, build_record(vote.SerializeToString())
        )

    async def _rewrite(self) -> None:
        # One record per entry, so that a corrupt record, which others follow,
        # can be distinguished from an unfinished write at the end.
        messages = [fleet_pb2.LogFrame(entries=[e]) for e in self.entries]
        data = b"".join(build_record(m.SerializeToString()) for m in messages)
        await self._disk.replace(LOG_FILE, data)


def build_record(payload: bytes) -> bytes:
    """Return a record: magic number, length, CRC-32 and payload."""
    return _HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


def split_records(data: bytes) -> tuple[list[bytes], int]:
    """Return the payloads of a file and the size of its valid part in bytes.

    Raises
    ------
    JournalError
        If a valid record follows an invalid one, because an unfinished write
        leaves nothing after it.
    """
    payloads = []
    offset = 0
    while offset < len(data):
        record = _read_record(data, offset)
        if isinstance(record, Err):
            _check_no_record_follows(data, offset)
            break
        payloads.append(record.ok_value)
        offset += _HEADER.size + len(record.ok_value)
    return payloads, offset


def _check_no_record_follows(data: bytes, offset: int) -> None:
    position = data.find(_MAGIC, offset + 1)
    while position >= 0:
        if isinstance(_read_record(data, position), Ok):
            raise JournalError(
                f"the log is corrupt at byte {offset}: a valid record follows "
                f"at byte {position}; empty the data folder, and the member "
                "rejoins with a new id"
            )
        position = data.find(_MAGIC, position + 1)


def _read_record(data: bytes, offset: int) -> Result[bytes, str]:
    if offset + _HEADER.size > len(data):
        return Err("incomplete header")
    magic, length, crc = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if magic != _MAGIC or start + length > len(data):
        return Err("incomplete record")
    payload = data[start : start + length]
    if zlib.crc32(payload) != crc:
        return Err("wrong CRC")
    return Ok(payload)


def _read_single_record(name: str, data: bytes) -> bytes:
    record = _read_record(data, 0)
    if isinstance(record, Err):
        raise JournalError(
            f"the file {name!r} is corrupt ({record.err_value}); empty the "
            "data folder, and the member rejoins with a new id"
        )
    return record.ok_value


def _collect_entries(payloads: list[bytes]) -> list[fleet_pb2.LogEntry]:
    entries: list[fleet_pb2.LogEntry] = []
    for payload in payloads:
        _splice_entries(
            entries, fleet_pb2.LogFrame.FromString(payload).entries
        )
    return entries


def _splice_entries(
    entries: list[fleet_pb2.LogEntry], new: Sequence[fleet_pb2.LogEntry]
) -> None:
    """Replace all entries from the index of the first new one on."""
    if entries:
        del entries[max(0, new[0].index - entries[0].index) :]
    entries.extend(new)
