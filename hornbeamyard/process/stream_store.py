"""Origins of streams on a controller's disk.

Routers and controllers keep them in memory and tell each other. The files are
for the case that all of them end together: streams that callers resume then
go on at the software version that began them.
"""

from __future__ import annotations

import logbook
from google.protobuf.message import DecodeError

from ..connection.stream_reports import group_by_origin
from ..messages import fleet_pb2
from ..pool.stream_origins import RETENTION_S, StreamOrigin, StreamOrigins
from ..version.journal import (
    FolderDisk,
    JournalError,
    build_record,
    split_records,
)
from .timers import Timers

# Streams are appended to one file, and after `RETENTION_S` to the other, which
# is emptied first.
FILE_NAMES = ("streams-0", "streams-1")
# Interval of writing new streams. The disk is that of the log, whose writes
# operators wait for; streams of a shorter time are lost if all processes end.
SAVE_INTERVAL_S = 0.2

_log = logbook.Logger("stream_store")


class StreamStore:
    """Keeps the origins of streams on disk.

    Parameters
    ----------
    origins : StreamOrigins
    disk : FolderDisk
    timers : Timers
    """

    __slots__ = (
        "_current",
        "_disk",
        "_needs_new_file",
        "_origins",
        "_rotated_at",
        "_saved",
        "_timers",
    )

    def __init__(
        self, origins: StreamOrigins, disk: FolderDisk, timers: Timers
    ) -> None:
        self._current = 0
        self._disk = disk
        # Whether the current file has to be replaced before it is appended
        # to, as it may end with an unfinished write or have old streams.
        self._needs_new_file = True
        self._origins = origins
        self._rotated_at = timers.now()
        # Number of the newest stream that is on disk.
        self._saved = 0
        self._timers = timers

    async def load(self) -> None:
        """Add the streams of the files to the origins.

        They count as begun now, as the time since the files were written isn't
        known. If a file is damaged, none is added: it may have held a later
        attempt at a stream of the other file.
        """
        stored: list[fleet_pb2.StoredStreams] = []
        is_complete = True
        for name in FILE_NAMES:
            try:
                stored += await self._read(name)
            except (OSError, JournalError, DecodeError) as error:
                _log.warning("the file {} can't be read: {}", name, error)
                is_complete = False
        if not is_complete:
            await self._begin_anew()
            return
        now = self._timers.now()
        for message in sorted(stored, key=lambda message: message.number):
            for group in message.streams:
                origin = StreamOrigin(group.pool, group.software_version)
                for request_id in group.request_ids:
                    self._origins.record(request_id, origin, now)

    async def _read(self, name: str) -> list[fleet_pb2.StoredStreams]:
        data = await self._disk.load(name)
        if data is None:
            return []
        records, _ = split_records(data)
        if not records:
            # Each file is begun with a complete record.
            raise JournalError(f"no valid record in {len(data)} bytes")
        return [fleet_pb2.StoredStreams.FromString(r) for r in records]

    async def _begin_anew(self) -> None:
        """Replace the files, so that the next start reads none of them."""
        for name in FILE_NAMES:
            try:
                await self._disk.replace(name, build_record(b""))
            except OSError as error:
                _log.warning("the file {} can't be written: {}", name, error)

    async def run(self) -> None:
        """Write new streams until cancelled."""
        async for now in self._timers.subscribe(SAVE_INTERVAL_S):
            if self._origins.number == self._saved:
                continue
            if now - self._rotated_at > RETENTION_S:
                self._rotated_at = now
                self._current = 1 - self._current
                self._needs_new_file = True
            await self._save()

    async def _save(self) -> None:
        number = self._origins.number
        name = FILE_NAMES[self._current]
        try:
            record = self._encode(number)
        except (ValueError, TypeError) as error:
            # It would fail again, so these streams are not written.
            _log.error("streams can't be encoded: {}", error)
            self._saved = number
            return
        try:
            if self._needs_new_file:
                await self._disk.replace(name, record)
            else:
                await self._disk.append(name, record)
        except OSError as error:
            _log.warning("the file {} can't be written: {}", name, error)
            # Part of the record may have been written.
            self._needs_new_file = True
            self._saved = 0
            return
        self._needs_new_file = False
        self._saved = number

    def _encode(self, number: int) -> bytes:
        """Return the record of the streams that aren't on disk yet."""
        streams = self._origins.list_since(self._saved)
        message = fleet_pb2.StoredStreams(
            number=number, streams=group_by_origin(streams)
        )
        return build_record(message.SerializeToString())
