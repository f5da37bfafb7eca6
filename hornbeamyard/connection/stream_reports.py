"""Reports of begun streams from a router to the controllers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import anyio

from ..messages import fleet_pb2
from ..pool.ended_starts import UNKNOWN_VERSION
from ..pool.stream_origins import (
    RETENTION_S,
    BegunStream,
    StreamOrigin,
    StreamOrigins,
)
from ..pool.upstream_registry import UpstreamRegistry
from ..process.timers import Timers

# Streams are collected for this long before they are reported. Engines take
# about as long to generate the first event.
COLLECT_INTERVAL_S = 0.05


class StreamReports:
    """Records the streams that a router begins, and reports them.

    Streams that can go on at any upstream of their route are recorded but not
    reported. Those of unknown versions are: other routers would take the only
    version that they know for theirs.

    Parameters
    ----------
    registry : UpstreamRegistry
    timers : Timers

    Attributes
    ----------
    origins : StreamOrigins
    split_pools : frozenset of str
        Pools that share the requests of a route with others.
    """

    __slots__ = (
        "_changed",
        "_registry",
        "_timers",
        "_uncertain_pools",
        "origins",
        "split_pools",
    )

    def __init__(self, registry: UpstreamRegistry, timers: Timers) -> None:
        self._changed = anyio.Event()
        self._registry = registry
        self._timers = timers
        # Pools in which a stream has begun at an unknown version, and when.
        self._uncertain_pools: dict[str, float] = {}
        self.origins = StreamOrigins()
        self.split_pools: frozenset[str] = frozenset()

    def record(self, request_id: str, origin: StreamOrigin) -> None:
        """Record a stream that begins; without an id it can't be resumed."""
        if not request_id:
            return
        now = self._timers.now()
        self.origins.record(request_id, origin, now)
        if origin.software_version == UNKNOWN_VERSION:
            self._uncertain_pools[origin.pool] = now
        if self._needs_reports(origin.pool):
            self.notify()

    def expire(self, now: float) -> None:
        """Forget streams that no caller resumes any more."""
        self.origins.expire(now)
        self._uncertain_pools = {
            pool: begun_at
            for pool, begun_at in self._uncertain_pools.items()
            if now - begun_at <= RETENTION_S
        }

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
                    pool = stream.origin.pool
                    reported[pool] = max(stream.number, reported.get(pool, 0))
                groups = group_by_origin(streams)
                await send(fleet_pb2.RouterUsage(begun_streams=groups))
                pools = self._registry.list_pools()
                reported = {
                    pool: number
                    for pool, number in reported.items()
                    if pool in pools
                }
            await changed.wait()
            await self._timers.sleep(COLLECT_INTERVAL_S)

    def _needs_reports(self, pool: str) -> bool:
        if pool in self.split_pools or pool in self._uncertain_pools:
            return True
        return len(self._registry.list_versions(pool)) > 1

    def _list_unreported(self, reported: dict[str, int]) -> list[BegunStream]:
        pools = set(filter(self._needs_reports, self._registry.list_pools()))
        if not pools:
            return []
        lowest = min(reported.get(pool, 0) for pool in pools)
        return [
            stream
            for stream in self.origins.list_since(lowest)
            if stream.origin.pool in pools
            and stream.number > reported.get(stream.origin.pool, 0)
        ]


def group_by_origin(
    streams: Iterable[BegunStream],
) -> list[fleet_pb2.BegunStreams]:
    """Return the messages for streams, one for each origin."""
    groups: dict[StreamOrigin, fleet_pb2.BegunStreams] = {}
    for stream in streams:
        origin = stream.origin
        if origin not in groups:
            groups[origin] = fleet_pb2.BegunStreams(
                pool=origin.pool, software_version=origin.software_version
            )
        groups[origin].request_ids.append(stream.request_id)
    return list(groups.values())
