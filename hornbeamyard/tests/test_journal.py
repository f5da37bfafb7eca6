"""Tests of the journal in a real folder."""

from __future__ import annotations

import os
import shutil
from pathlib import Path

import anyio
import pytest

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.version.journal import (
    LOG_FILE,
    MAX_SET_ASIDE,
    REASON_FILE,
    SET_ASIDE_FOLDER,
    SNAPSHOT_FILE,
    VOTE_FILE,
    FolderDisk,
    ForeignFolderError,
    Journal,
    JournalError,
    build_record,
)

ID = b"0123456789abcdef"


def build_entries(
    first: int, last: int, term: int = 1
) -> list[fleet_pb2.LogEntry]:
    """Return entries with consecutive indexes."""
    return [
        fleet_pb2.LogEntry(index=index, term=term, noop=fleet_pb2.Noop())
        for index in range(first, last + 1)
    ]


async def open_journal(folder: Path, fleet: str = "test") -> Journal:
    """Open the journal in a folder, which may be empty."""
    journal = Journal(FolderDisk(folder), fleet, retained_entries=2)
    await journal.load(lambda: ID)
    return journal


async def write(folder: Path, *batches: list[fleet_pb2.LogEntry]) -> Journal:
    """Append batches to a new journal."""
    journal = await open_journal(folder)
    for batch in batches:
        await journal.append(batch)
    return journal


def list_entries(folder: Path) -> list[tuple[int, int]]:
    """Return index and term of the entries that a restart finds."""
    journal = anyio.run(open_journal, folder)
    return [(entry.index, entry.term) for entry in journal.entries]


@pytest.mark.requirement("R15", fault="restart")
class TestLoad:
    """Synced data is read again after a restart, and nothing else."""

    def test_restores_vote_and_log(self, tmp_path: Path) -> None:
        """Guards against a member that votes twice after a restart."""

        async def run() -> None:
            journal = await write(tmp_path, build_entries(1, 3))
            await journal.store_vote(5, b"candidate")
            again = await open_journal(tmp_path)
            assert (again.term, again.voted_for) == (5, b"candidate")
            assert again.disk_id == ID
            assert again.last_index == 3

        anyio.run(run)

    def test_later_entries_replace_earlier_ones(self, tmp_path: Path) -> None:
        """Guards against a restart that restores replaced entries."""
        anyio.run(
            write, tmp_path, build_entries(1, 4), build_entries(3, 3, term=2)
        )
        assert list_entries(tmp_path) == [(1, 1), (2, 1), (3, 2)]

    @pytest.mark.parametrize("cut", range(1, 40, 3))
    def test_truncates_unfinished_write(
        self, tmp_path: Path, cut: int
    ) -> None:
        """Guards against a log that is unusable after a crash in a write."""
        anyio.run(write, tmp_path, build_entries(1, 2), build_entries(3, 4))
        path = tmp_path / LOG_FILE
        complete = path.read_bytes()
        path.write_bytes(complete[:-cut])
        found = list_entries(tmp_path)
        # The longest cuts also reach the first record.
        assert found == [(1, 1), (2, 1)] or (found == [] and cut > 24)

        async def append() -> None:
            journal = await open_journal(tmp_path)
            start = journal.last_index + 1
            await journal.append(build_entries(start, start))

        anyio.run(append)
        assert len(list_entries(tmp_path)) == len(found) + 1

    # Records without entries, with entries 1 and 2, and with 3 and 4.
    @pytest.mark.parametrize(
        ("position", "start"),
        [*((n, 0) for n in range(12)), *((n, 12) for n in range(12, 40))],
    )
    def test_refuses_corruption(
        self, tmp_path: Path, position: int, start: int
    ) -> None:
        """Guards against acknowledged entries that are silently dropped."""
        anyio.run(write, tmp_path, build_entries(1, 2), build_entries(3, 4))
        path = tmp_path / LOG_FILE
        data = bytearray(path.read_bytes())
        data[position] ^= 1
        path.write_bytes(data)
        with pytest.raises(JournalError, match=f"corrupt at byte {start}:"):
            anyio.run(open_journal, tmp_path)

    @pytest.mark.parametrize("size", [None, 0, 1, 11])
    def test_refuses_lost_log(self, tmp_path: Path, size: int | None) -> None:
        """Guards against a vote for a log that lacks what it had."""

        async def write_in_term() -> None:
            # A term is stored before any entry of it.
            journal = await open_journal(tmp_path)
            await journal.store_vote(1, b"")
            await journal.append(build_entries(1, 2))

        anyio.run(write_in_term)
        path = tmp_path / LOG_FILE
        data = path.read_bytes()
        path.unlink()
        if size is not None:
            path.write_bytes(data[:size])
        text = "is gone" if size is None else f"no valid record in {size}"
        with pytest.raises(JournalError, match=f"'{LOG_FILE}' .*{text}"):
            anyio.run(open_journal, tmp_path)

    def test_log_that_was_never_begun(self, tmp_path: Path) -> None:
        """Guards against an upgrade that takes unused folders for damaged.

        An earlier release wrote the log file with the first entry.
        """

        async def vote(term: int) -> None:
            journal = await open_journal(tmp_path)
            await journal.store_vote(term, b"")
            (tmp_path / LOG_FILE).unlink()

        anyio.run(vote, 0)
        journal = anyio.run(open_journal, tmp_path)
        assert (journal.disk_id, journal.last_index) == (ID, 0)
        anyio.run(journal.append, build_entries(1, 2))
        assert list_entries(tmp_path) == [(1, 1), (2, 1)]
        # It may have held entries of any term that it knows.
        anyio.run(vote, 1)
        with pytest.raises(JournalError, match="is gone"):
            anyio.run(open_journal, tmp_path)

    def test_lost_log_of_an_initialization(self, tmp_path: Path) -> None:
        """Guards against a member that lacks the list it was made with."""

        async def initialize() -> None:
            journal = Journal(FolderDisk(tmp_path), "test")
            await journal.initialize(ID, build_entries(1, 1, term=0))

        anyio.run(initialize)
        (tmp_path / LOG_FILE).unlink()
        with pytest.raises(JournalError, match="is gone"):
            anyio.run(open_journal, tmp_path)

    def test_stopped_before_the_first_vote(self, tmp_path: Path) -> None:
        """Guards against a new folder that counts as damaged."""
        anyio.run(open_journal, tmp_path)
        (tmp_path / VOTE_FILE).unlink()
        assert not anyio.run(open_journal, tmp_path).set_aside

    @pytest.mark.parametrize("name", [VOTE_FILE, SNAPSHOT_FILE])
    def test_refuses_corrupt_file(self, tmp_path: Path, name: str) -> None:
        """Guards against a corrupt vote or snapshot that is used."""

        async def run() -> None:
            journal = await write(tmp_path, build_entries(1, 3))
            await journal.store_snapshot(
                fleet_pb2.SnapshotState(last_index=2, last_term=1)
            )

        anyio.run(run)
        path = tmp_path / name
        data = path.read_bytes()
        for damaged in (data[:-1] + b"\xff", data[:-1], data[:5], b""):
            path.write_bytes(damaged)
            with pytest.raises(JournalError, match=f"'{name}' is corrupt"):
                anyio.run(open_journal, tmp_path)

    def test_refuses_other_content(self, tmp_path: Path) -> None:
        """Guards against a process that ends for a record of another kind."""
        anyio.run(write, tmp_path)
        (tmp_path / VOTE_FILE).write_bytes(build_record(b"\x0a\xff"))
        with pytest.raises(JournalError, match=f"'{VOTE_FILE}' is corrupt"):
            anyio.run(open_journal, tmp_path)

    def test_refuses_log_without_vote(self, tmp_path: Path) -> None:
        """Guards against a member that lost its vote but keeps its log."""
        anyio.run(write, tmp_path, build_entries(1, 1))
        (tmp_path / VOTE_FILE).unlink()
        with pytest.raises(JournalError, match=f"'{VOTE_FILE}' is gone"):
            anyio.run(open_journal, tmp_path)

    def test_refuses_other_fleet(self, tmp_path: Path) -> None:
        """Guards against a data folder copied from another fleet."""
        anyio.run(write, tmp_path)
        with pytest.raises(ForeignFolderError, match="to fleet 'test'"):
            anyio.run(open_journal, tmp_path, "other")


async def set_aside(folder: Path, reason: str) -> str:
    """Set the files of a folder aside; return the place."""
    return await Journal(FolderDisk(folder), "test").set_files_aside(reason)


class TestSetAside:
    """Damaged files are kept for the operator, and the folder begins anew."""

    def test_begins_anew(self, tmp_path: Path) -> None:
        """Guards against a damaged folder that keeps what it promised."""

        async def run() -> None:
            journal = await write(tmp_path, build_entries(1, 3))
            await journal.store_vote(5, b"candidate")
            kept = (tmp_path / LOG_FILE).read_bytes()
            place = Path(await journal.set_files_aside("damaged"))
            assert (place / LOG_FILE).read_bytes() == kept
            assert (place / REASON_FILE).read_text() == "damaged\n"
            # The journal in memory is replaced too.
            await journal.load(lambda: b"another id")
            again = await open_journal(tmp_path)
            for found in (journal, again):
                assert found.disk_id == b"another id"
                assert (found.last_index, found.voted_for) == (0, b"")
                assert found.set_aside
                assert not found.initial
                # It must not found another log.
                assert not found.may_found()

        anyio.run(run)

    def test_new_folder(self, tmp_path: Path) -> None:
        """Guards against a new folder that may not found the cluster."""
        journal = anyio.run(open_journal, tmp_path)
        assert (journal.set_aside, journal.term) == (False, 0)

    def test_removed_by_operator(self, tmp_path: Path) -> None:
        """Guards against an alarm that goes on until the next restart."""

        async def run() -> None:
            await set_aside(tmp_path, "damaged")
            journal = await open_journal(tmp_path)
            await journal.check_files()
            assert journal.set_aside
            shutil.rmtree(tmp_path / SET_ASIDE_FOLDER)
            await journal.check_files()
            assert not journal.set_aside
            (tmp_path / VOTE_FILE).unlink()
            with pytest.raises(FileNotFoundError, match=VOTE_FILE):
                await journal.check_files()

        anyio.run(run)

    def test_bounded(self, tmp_path: Path) -> None:
        """Guards against damage that fills the disk in the end."""
        for number in range(MAX_SET_ASIDE + 3):
            anyio.run(write, tmp_path)
            anyio.run(set_aside, tmp_path, f"damage {number}")
        places = (tmp_path / SET_ASIDE_FOLDER).iterdir()
        reasons = sorted((p / REASON_FILE).read_text() for p in places)
        assert reasons == ["damage 3\n", "damage 4\n", "damage 5\n"]

    @pytest.mark.parametrize("moves", [0, 1, 2])
    def test_stopped_meanwhile(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, moves: int
    ) -> None:
        """Guards against files left behind that are used under the old id."""

        async def run() -> None:
            journal = await write(tmp_path, build_entries(1, 10))
            await journal.store_snapshot(
                fleet_pb2.SnapshotState(last_index=8, last_term=1)
            )

        anyio.run(run)
        replace = Path.replace
        left = [moves]

        def fail(path: Path, target: Path) -> Path:
            if left[0] == 0:
                raise OSError(5, "Input/output error")
            left[0] -= 1
            return replace(path, target)

        with monkeypatch.context() as patch:
            patch.setattr(Path, "replace", fail)
            for _ in range(5):
                with pytest.raises(OSError, match="Input/output"):
                    anyio.run(set_aside, tmp_path, "damaged")
        if moves:
            with pytest.raises(JournalError, match="is gone, and others"):
                anyio.run(open_journal, tmp_path)
        anyio.run(set_aside, tmp_path, "damaged")
        journal = anyio.run(open_journal, tmp_path)
        assert (journal.set_aside, journal.last_index) == (True, 0)
        kept = (tmp_path / SET_ASIDE_FOLDER).rglob(VOTE_FILE)
        assert len(list(kept)) == 1


@pytest.mark.requirement("R15", fault="restart after a snapshot")
class TestSnapshot:
    """Entries that a snapshot covers are dropped."""

    def test_keeps_a_few_entries(self, tmp_path: Path) -> None:
        """Guards against a log that is never truncated."""

        async def run() -> None:
            journal = await write(tmp_path, build_entries(1, 10))
            await journal.store_snapshot(
                fleet_pb2.SnapshotState(last_index=8, last_term=1)
            )

        anyio.run(run)
        indexes = [index for index, _ in list_entries(tmp_path)]
        assert indexes == [7, 8, 9, 10]

    @pytest.mark.parametrize(
        ("term", "kept"), [(1, [1, 2, 3, 4]), (2, [])], ids=["same", "other"]
    )
    def test_crash_before_log_is_rewritten(
        self, tmp_path: Path, term: int, kept: list[int]
    ) -> None:
        """Guards against a snapshot followed by entries that conflict with it.

        The process stops after storing the snapshot and before rewriting the
        log.
        """

        async def run() -> None:
            journal = await write(tmp_path, build_entries(1, 4))
            log = (tmp_path / LOG_FILE).read_bytes()
            await journal.store_snapshot(
                fleet_pb2.SnapshotState(last_index=2, last_term=term)
            )
            (tmp_path / LOG_FILE).write_bytes(log)

        anyio.run(run)
        assert [index for index, _ in list_entries(tmp_path)] == kept


class TestDisk:
    """Disk errors reach the caller, and the state in memory is unchanged."""

    @pytest.mark.requirement("R8", fault="disk full")
    def test_error_leaves_memory_unchanged(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an acknowledged vote or entry that isn't stored."""

        async def run() -> None:
            journal = await write(tmp_path, build_entries(1, 2))

            def fail(descriptor: int) -> None:
                raise OSError(28, "No space left on device")

            monkeypatch.setattr(os, "fsync", fail)
            with pytest.raises(OSError, match="No space left"):
                await journal.append(build_entries(3, 3))
            with pytest.raises(OSError, match="No space left"):
                await journal.store_vote(9, b"candidate")
            assert (journal.last_index, journal.term) == (2, 0)

        anyio.run(run)
