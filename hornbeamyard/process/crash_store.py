"""Crashes of upstreams on a controller's disk.

Routers and controllers keep them in memory and tell each other. The file is
for the case that all of them lose power together.
"""

from __future__ import annotations

import logbook
from google.protobuf.message import DecodeError

from ..connection.directory_codec import decode_crashes, encode_crashes
from ..messages import fleet_pb2
from ..pool.crashes import RETENTION_S, CrashLedger
from ..version.journal import (
    FolderDisk,
    JournalError,
    build_record,
    read_single_record,
)
from .timers import Timers

FILE_NAME = "crashes"
# Interval of writing changes. The disk is that of the log, whose writes
# operators wait for; crashes of a shorter time are lost if all processes end.
SAVE_INTERVAL_S = 0.2

_log = logbook.Logger("crash_store")


class CrashStore:
    """Keeps a ledger of crashes on disk.

    Parameters
    ----------
    ledger : CrashLedger
    disk : FolderDisk
    timers : Timers
    """

    __slots__ = ("_disk", "_ledger", "_saved", "_timers")

    def __init__(
        self, ledger: CrashLedger, disk: FolderDisk, timers: Timers
    ) -> None:
        self._disk = disk
        self._ledger = ledger
        # Number of the newest change that is on disk.
        self._saved = 0
        self._timers = timers

    async def load(self) -> None:
        """Add the crashes of the file to the ledger."""
        try:
            data = await self._disk.load(FILE_NAME)
            if data is None:
                return
            payload = read_single_record(FILE_NAME, data)
            stored = fleet_pb2.StoredCrashes.FromString(payload)
        except (OSError, JournalError, DecodeError) as error:
            # Routers may know the crashes as well.
            _log.warning("the file of crashes can't be read: {}", error)
            return
        # The wall clock may have been set back.
        age_s = max(0, self._timers.wall_ms() - stored.time_ms) / 1000
        written_at = self._timers.now() - min(age_s, RETENTION_S)
        self._ledger.merge(decode_crashes(stored.crashes, written_at))
        self._saved = self._ledger.number

    async def run(self) -> None:
        """Write changes until cancelled."""
        async for _ in self._timers.subscribe(SAVE_INTERVAL_S):
            if self._ledger.number != self._saved:
                await self._save()

    async def _save(self) -> None:
        number = self._ledger.number
        try:
            crashes = encode_crashes(
                self._ledger.list_since(0), self._timers.now()
            )
            stored = fleet_pb2.StoredCrashes(
                time_ms=int(self._timers.wall_ms()), crashes=crashes
            )
            record = build_record(stored.SerializeToString())
            await self._disk.replace(FILE_NAME, record)
        except OSError as error:
            _log.warning("the file of crashes can't be written: {}", error)
            return
        except (ValueError, TypeError) as error:
            # It would fail again, so only the next change is a new attempt.
            _log.error("the crashes can't be encoded: {}", error)
        self._saved = number
