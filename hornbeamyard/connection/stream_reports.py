"""Reports of begun streams from a router to the controllers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import anyio

from ..messages import fleet_pb2
from ..pool.ended_starts import UNKNOWN_VERSION
from ..pool.stream_origins import BegunStream, StreamOrigin, StreamOrigins
from ..pool.upstream_registry import UpstreamRegistry
from ..process.timers import Timers

# Streams are collected for this long before they are reported.
COLLECT_INTERVAL_S = 0.05
# The same while all upstreams that could continue a stream have one software
# version. Streams that the controllers don't know go on there, so a report is
# only needed before a second version is known.
SETTLED_COLLECT_INTERVAL_S = 0.5


class StreamReports:
    """Records the streams that a router begins, and reports them.

    A stream outlives the state of the fleet in which it began: its router may
    end, and a further software version or pool may be added, before its caller
    resumes it. So every stream is reported, and only the delay depends on what
    else it may be taken for.

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
        "_is_urgent",
        "_registry",
        "_timers",
        "origins",
        "split_pools",
    )

    def __init__(self, registry: UpstreamRegistry, timers: Timers) -> None:
        self._changed = anyio.Event()
        self._is_urgent = anyio.Event()
        self._registry = registry
        self._timers = timers
        self.origins = StreamOrigins()
        self.split_pools: frozenset[str] = frozenset()

    def record(self, request_id: str, origin: StreamOrigin) -> None:
        """Record a stream that begins; without an id it can't be resumed."""
        if not request_id:
            return
        self.origins.record(request_id, origin, self._timers.now())
        self._changed.set()
        self._changed = anyio.Event()
        if self._is_ambiguous(origin):
            self.notify()

    def notify(self) -> None:
        """Report streams soon, as the versions of a pool may have changed."""
        self._is_urgent.set()
        self._is_urgent = anyio.Event()

    async def run(
        self, send: Callable[[fleet_pb2.RouterUsage], Awaitable[None]]
    ) -> None:
        """Report all streams to one controller until cancelled."""
        # Number of the last stream that was reported.
        reported = 0
        while True:
            changed, is_urgent = self._changed, self._is_urgent
            streams = list(self.origins.list_since(reported))
            if not streams:
                await changed.wait()
                with self._timers.limit(SETTLED_COLLECT_INTERVAL_S):
                    await is_urgent.wait()
                    await self._timers.sleep(COLLECT_INTERVAL_S)
                continue
            reported = streams[0].number
            groups = group_by_origin(streams)
            await send(fleet_pb2.RouterUsage(begun_streams=groups))

    def _is_ambiguous(self, origin: StreamOrigin) -> bool:
        """Return whether the stream could be taken for one of another origin.

        Other routers take streams of an unknown version for those of the only
        version that they know.
        """
        return (
            origin.software_version == UNKNOWN_VERSION
            or origin.pool in self.split_pools
            or len(self._registry.list_versions(origin.pool)) > 1
        )


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
