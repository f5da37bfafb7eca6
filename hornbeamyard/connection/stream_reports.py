"""Reports of begun streams from a router to the controllers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import anyio

from ..messages import fleet_pb2
from ..pool.stream_origins import BegunStream, StreamOrigins
from ..pool.upstream_registry import UpstreamRegistry
from ..process.timers import Timers

# Streams are collected for this long before they are reported. Engines take
# about as long to generate the first event.
COLLECT_INTERVAL_S = 0.05


class StreamReports:
    """Records the streams that a router begins, and reports them.

    Streams of a pool with a single software version are recorded but not
    reported, as they may go on at any of its upstreams.

    Parameters
    ----------
    registry : UpstreamRegistry
    timers : Timers

    Attributes
    ----------
    origins : StreamOrigins
    """

    __slots__ = ("_changed", "_registry", "_timers", "origins")

    def __init__(self, registry: UpstreamRegistry, timers: Timers) -> None:
        self._changed = anyio.Event()
        self._registry = registry
        self._timers = timers
        self.origins = StreamOrigins()

    def record(
        self, request_id: str, pool: str, software_version: str
    ) -> None:
        """Record a stream that begins at an upstream of a pool."""
        now = self._timers.now()
        self.origins.record(request_id, pool, software_version, now)
        if self._has_mixed_versions(pool):
            self.notify()

    def notify(self) -> None:
        """Report streams soon, as one has begun or versions have changed."""
        self._changed.set()
        self._changed = anyio.Event()

    async def run(
        self, send: Callable[[fleet_pb2.RouterUsage], Awaitable[None]]
    ) -> None:
        """Report all streams to one controller until cancelled."""
        # Number of the last stream that was reported, by pool.
        reported: dict[str, int] = {}
        while True:
            changed = self._changed
            streams = self._list_unreported(reported)
            if streams:
                for stream in streams:
                    reported[stream.pool] = max(
                        stream.number, reported.get(stream.pool, 0)
                    )
                groups = _group_by_version(streams)
                await send(fleet_pb2.RouterUsage(begun_streams=groups))
            await changed.wait()
            await self._timers.sleep(COLLECT_INTERVAL_S)

    def _has_mixed_versions(self, pool: str) -> bool:
        return len(self._registry.list_versions(pool)) > 1

    def _list_unreported(self, reported: dict[str, int]) -> list[BegunStream]:
        mixed = {
            pool
            for pool in self._registry.list_pools()
            if self._has_mixed_versions(pool)
        }
        if not mixed:
            return []
        lowest = min(reported.get(pool, 0) for pool in mixed)
        return [
            stream
            for stream in self.origins.list_since(lowest)
            if stream.pool in mixed
            and stream.number > reported.get(stream.pool, 0)
        ]


def _group_by_version(
    streams: Iterable[BegunStream],
) -> list[fleet_pb2.BegunStreams]:
    groups: dict[str, fleet_pb2.BegunStreams] = {}
    for stream in streams:
        version = stream.software_version
        if version not in groups:
            groups[version] = fleet_pb2.BegunStreams(software_version=version)
        groups[version].request_ids.append(stream.request_id)
    return list(groups.values())
