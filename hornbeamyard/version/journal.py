"""A controller's durable state: its vote, log and snapshot.

Every write is synced before the call returns, so that a caller may then
acknowledge what it has written.
"""

from __future__ import annotations

import errno
import os
import shutil
import struct
import zlib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Protocol, TypeVar

import anyio
import anyio.to_thread
from google.protobuf.message import DecodeError, Message
from result import Err, Ok, Result

from ..messages import fleet_pb2

VOTE_FILE = "vote"
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
# Sub-folder that holds damaged files for the operator, each time in a folder
# of its own with a file that states the reason.
SET_ASIDE_FOLDER = "set-aside"
REASON_FILE = "reason"
# A folder that is damaged again and again must not fill the disk.
MAX_SET_ASIDE = 3

M = TypeVar("M", bound=Message)

_MAGIC = b"hbyr"
_HEADER = struct.Struct("<4sII")


class Disk(Protocol):
    """Durable storage of files by name; errors are raised as `OSError`."""

    async def load(self, name: str) -> bytes | None:
        """Return a file's content, or None when it doesn't exist."""

    async def exists(self, name: str) -> bool:
        """Return whether a file exists, without reading it."""

    async def append(self, name: str, data: bytes) -> None:
        """Append to a file, which must exist, and sync it."""

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content atomically and sync it."""

    async def set_aside(self, names: Sequence[str], reason: str) -> str:
        """Move files out of use, one after the other, and sync each move.

        Returns
        -------
        str
            The place that holds them now, for the operator.
        """

    async def has_set_aside(self) -> bool:
        """Return whether files were set aside and are still kept."""


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

    async def exists(self, name: str) -> bool:
        """Return whether a file exists, without reading it."""
        path = self._folder / name
        return await anyio.to_thread.run_sync(path.exists)

    async def append(self, name: str, data: bytes) -> None:
        """Append to a file, which must exist, and sync it."""
        await anyio.to_thread.run_sync(self._append, name, data)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content atomically and sync it."""
        await anyio.to_thread.run_sync(self._replace, name, data)

    async def set_aside(self, names: Sequence[str], reason: str) -> str:
        """Move files to a new folder in `SET_ASIDE_FOLDER`; return its path.

        The newest `MAX_SET_ASIDE` of these folders are kept.
        """
        return await anyio.to_thread.run_sync(self._set_aside, names, reason)

    async def has_set_aside(self) -> bool:
        """Return whether files were set aside and are still kept."""
        return bool(await anyio.to_thread.run_sync(self._list_set_aside))

    def _load(self, name: str) -> bytes | None:
        # A killed process may have left data that can be read but isn't
        # synced yet; it must be durable before anything relies on it.
        try:
            with (self._folder / name).open("rb") as file:
                os.fsync(file.fileno())
                data = file.read()
        except FileNotFoundError:
            return None
        _sync_folder(self._folder)
        return data

    def _append(self, name: str, data: bytes) -> None:
        # A file that is gone must not begin anew in the middle.
        descriptor = os.open(self._folder / name, os.O_WRONLY | os.O_APPEND)
        with open(descriptor, "ab") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def _replace(self, name: str, data: bytes) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        temporary = self._folder / f"{name}.new"
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._folder / name)
        _sync_folder(self._folder)

    def _set_aside(self, names: Sequence[str], reason: str) -> str:
        numbers = self._list_set_aside()
        parent = self._folder / SET_ASIDE_FOLDER
        place = parent / str(max(numbers, default=0) + 1)
        place.mkdir(parents=True)
        try:
            self._write_reason(place, reason)
            for name in names:
                path = self._folder / name
                if path.exists():
                    path.replace(place / name)
                    _sync_folder(place)
                    _sync_folder(self._folder)
        except OSError:
            # Attempts that move nothing must not leave folders behind, which
            # would take the place of those with files.
            if not any((place / name).exists() for name in names):
                shutil.rmtree(place, ignore_errors=True)
            raise
        for number in numbers[: 1 - MAX_SET_ASIDE]:
            shutil.rmtree(parent / str(number), ignore_errors=True)
        return str(place)

    def _write_reason(self, place: Path, reason: str) -> None:
        with (place / REASON_FILE).open("w") as file:
            file.write(f"{reason}\n")
            file.flush()
            os.fsync(file.fileno())
        for folder in (place, place.parent, self._folder):
            _sync_folder(folder)

    def _list_set_aside(self) -> list[int]:
        """Return the numbers of the folders with files that were set aside."""
        parent = self._folder / SET_ASIDE_FOLDER
        if not parent.is_dir():
            return []
        names = [path.name for path in parent.iterdir() if path.is_dir()]
        return sorted(int(name) for name in names if name.isdecimal())


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class JournalError(Exception):
    """A file of the data folder is damaged or belongs to another fleet."""


class ForeignFolderError(JournalError):
    """The data folder belongs to another fleet."""


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
    set_aside : bool
        Whether this folder held other files, which were damaged and are kept
        in `SET_ASIDE_FOLDER`: its member may have acknowledged what the
        journal lacks.
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
        "set_aside",
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
        self.set_aside = False
        self._reset()

    def _reset(self) -> None:
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

    def may_found(self) -> bool:
        """Return whether a founding may replace what this folder holds.

        It may not if the member list is known to be committed, or if files
        were set aside, which may have been part of a cluster.
        """
        members = self.members
        is_open = not members.members or (
            members.required_voters > 0 and not members.established
        )
        return is_open and not self.set_aside

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

    async def check_files(self) -> None:
        """Check that the files which `load` left are still there.

        `set_aside` is false once an operator has removed the files that were
        set aside.

        Raises
        ------
        OSError
            If one is gone, or the disk returns an error.
        """
        for name in (VOTE_FILE, LOG_FILE):
            if not await self._disk.exists(name):
                raise FileNotFoundError(
                    errno.ENOENT, os.strerror(errno.ENOENT), name
                )
        self.set_aside = await self._disk.has_set_aside()

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
        ForeignFolderError
            If the data folder belongs to another fleet.
        JournalError
            If a file is damaged or gone.
        OSError
            If the disk returns an error.
        """
        stored = await self._disk.load(VOTE_FILE)
        log = await self._disk.load(LOG_FILE)
        snapshot = await self._disk.load(SNAPSHOT_FILE)
        self.set_aside = await self._disk.has_set_aside()
        if stored is None:
            if snapshot is not None or log not in (None, b"", _LOG_START):
                raise JournalError(
                    f"the file {VOTE_FILE!r} is gone, and others are left"
                )
            is_initial = first_start and not self.set_aside
            await self._initialize_empty(make_id(), is_initial)
            return ""
        self._restore_vote(stored)
        self.snapshot = fleet_pb2.SnapshotState()
        if snapshot is not None:
            payload = read_single_record(SNAPSHOT_FILE, snapshot)
            self.snapshot = _parse(
                SNAPSHOT_FILE, fleet_pb2.SnapshotState, payload
            )
        if log is None:
            if self.term == 0 and not self.initial and snapshot is None:
                # An earlier release began the log with the first entry, and
                # the term of an entry is stored before.
                await self._rewrite()
                return ""
            raise JournalError(f"the file {LOG_FILE!r} is gone")
        payloads, valid_size = split_records(log)
        if not payloads:
            # Each log begins with a complete record.
            raise JournalError(
                f"the file {LOG_FILE!r} has no valid record in {len(log)} "
                "bytes"
            )
        self.entries = _collect_entries(payloads)
        dropped = self._drop_superseded()
        self._refresh_members()
        if valid_size == len(log) and not dropped:
            return ""
        await self._rewrite()
        return f"dropped {len(log) - valid_size} bytes of an unfinished write"

    async def _initialize_empty(
        self, disk_id: bytes, is_initial: bool
    ) -> None:
        """Give an empty folder an id."""
        self._reset()
        self.disk_id = disk_id
        self.initial = is_initial
        await self._rewrite()
        await self._store_vote()

    async def set_files_aside(self, reason: str) -> str:
        """Set the files aside, after which `load` finds an empty folder.

        Parameters
        ----------
        reason : str
            Kept beside the files.

        Returns
        -------
        str
            The place that holds the files.

        Raises
        ------
        OSError
            If the disk returns an error. `load` then still finds damage, or
            an empty folder.
        """
        # The vote goes first: without it, no file left behind is used again.
        return await self._disk.set_aside(
            (VOTE_FILE, LOG_FILE, SNAPSHOT_FILE), reason
        )

    def _restore_vote(self, stored: bytes) -> None:
        payload = read_single_record(VOTE_FILE, stored)
        vote = _parse(VOTE_FILE, fleet_pb2.StoredVote, payload)
        if vote.fleet != self._fleet:
            raise ForeignFolderError(
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
        await self._disk.replace(LOG_FILE, _LOG_START + data)


def build_record(payload: bytes) -> bytes:
    """Return a record: magic number, length, CRC-32 and payload."""
    return _HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


# A record without entries, so that a log that was emptied can be told from
# one that nothing was appended to.
_LOG_START = build_record(b"")


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
                f"at byte {position}"
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


def read_single_record(name: str, data: bytes) -> bytes:
    """Return the payload of a file that holds one record.

    Raises
    ------
    JournalError
        If the record isn't complete or its CRC is wrong.
    """
    record = _read_record(data, 0)
    if isinstance(record, Err):
        raise JournalError(
            f"the file {name!r} is corrupt ({record.err_value})"
        )
    return record.ok_value


def _parse(name: str, kind: type[M], payload: bytes) -> M:
    try:
        return kind.FromString(payload)
    except DecodeError as error:
        raise JournalError(f"the file {name!r} is corrupt: {error}") from error


def _collect_entries(payloads: list[bytes]) -> list[fleet_pb2.LogEntry]:
    entries: list[fleet_pb2.LogEntry] = []
    for payload in payloads:
        frame = _parse(LOG_FILE, fleet_pb2.LogFrame, payload)
        if frame.entries:
            _splice_entries(entries, frame.entries)
    return entries


def _splice_entries(
    entries: list[fleet_pb2.LogEntry], new: Sequence[fleet_pb2.LogEntry]
) -> None:
    """Replace all entries from the index of the first new one on."""
    if entries:
        del entries[max(0, new[0].index - entries[0].index) :]
    entries.extend(new)
