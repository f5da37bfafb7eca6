"""Software versions of pools on a controller's disk.

A stream goes on only at the version that began it. Where all processes start
again and only one version is left, the file tells whether there was another
one that the stream may have begun at.
"""

from __future__ import annotations

from collections.abc import Callable

import logbook
from google.protobuf.message import DecodeError

from ..connection.directory_codec import encode_versions, record_versions
from ..messages import fleet_pb2
from ..pool.upstream_registry import UpstreamRegistry
from ..version.journal import (
    FolderDisk,
    JournalError,
    build_record,
    read_single_record,
)
from .timers import Timers

FILE_NAME = "software-versions"
# Interval of writing changes. A version that ends within it may be unknown
# after a loss of power.
SAVE_INTERVAL_S = 0.1

_log = logbook.Logger("version_store")


class VersionStore:
    """Keeps the recent software versions of a registry on disk.

    Parameters
    ----------
    registry : UpstreamRegistry
    disk : FolderDisk
    timers : Timers
    """

    __slots__ = ("_disk", "_registry", "_saved", "_timers")

    def __init__(
        self, registry: UpstreamRegistry, disk: FolderDisk, timers: Timers
    ) -> None:
        self._disk = disk
        self._registry = registry
        # Number of the newest change that is on disk; -1 for no file.
        self._saved = -1
        self._timers = timers

    async def load(self) -> bool:
        """Add the versions of the file to the registry.

        Their ages don't count the time since the file was written, as the
        wall clock may have been set meanwhile.

        Returns
        -------
        bool
            Whether there is a file that is complete and unaltered. If not,
            the registry may lack versions.
        """
        try:
            data = await self._disk.load(FILE_NAME)
            if data is None:
                return False
            payload = read_single_record(FILE_NAME, data)
            stored = fleet_pb2.StoredVersions.FromString(payload)
        except (OSError, JournalError, DecodeError) as error:
            _log.warning("the file of versions can't be read: {}", error)
            return False
        record_versions(self._registry, stored.pools, self._timers.now())
        self._saved = self._registry.versions_number
        return True

    async def run(
        self, lacks_versions: Callable[[], bool] = lambda: False
    ) -> None:
        """Write changes until cancelled.

        Parameters
        ----------
        lacks_versions : callable, optional
            Returns whether the registry may lack versions. It isn't written
            then, as the next start would take the file for complete.
        """
        async for now in self._timers.subscribe(SAVE_INTERVAL_S):
            if lacks_versions():
                continue
            if self._registry.versions_number != self._saved:
                await self._save(now)

    async def _save(self, now: float) -> None:
        number = self._registry.versions_number
        try:
            pools = encode_versions(self._registry, now)
            stored = fleet_pb2.StoredVersions(pools=pools)
            record = build_record(stored.SerializeToString())
            await self._disk.replace(FILE_NAME, record)
        except OSError as error:
            _log.warning("the file of versions can't be written: {}", error)
            return
        except (ValueError, TypeError) as error:
            # It would fail again, so only the next change is a new attempt.
            _log.error("the versions can't be encoded: {}", error)
        self._saved = number
