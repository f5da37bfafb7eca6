"""Pools and software versions at which streams began.

Upstreams of several software versions may serve a pool side by side, and what
two versions generate doesn't fit together. A route may also share its requests
between pools. A caller that resumes a stream often comes to a router that
hasn't begun it, so routers report the streams that they begin to all
controllers.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

# A caller resumes a stream within its deadline, which is seldom longer.
RETENTION_S = 60.0
# Bounds the memory; an entry takes about 400 bytes.
MAX_STREAMS = 50_000


@dataclass(slots=True, frozen=True)
class StreamOrigin:
    """Which upstreams can continue a stream.

    Attributes
    ----------
    pool, software_version : str
        Pool and software version of the upstream at which it began.
    """

    pool: str
    software_version: str


@dataclass(slots=True)
class BegunStream:
    """A stream, and where it began.

    Attributes
    ----------
    request_id : str
        The caller's attempt that brought its first event.
    origin : StreamOrigin
    number : int
        Grows with each record.
    recorded_at : float
        Monotonic time in seconds.
    """

    request_id: str
    origin: StreamOrigin
    number: int
    recorded_at: float


class StreamOrigins:
    """Streams of the last `RETENTION_S`, by the id that resumes them.

    Attributes
    ----------
    number : int
        Number of the newest record; 0 before the first one.
    """

    __slots__ = ("_streams", "number")

    def __init__(self) -> None:
        # In the order of their numbers.
        self._streams: dict[str, BegunStream] = {}
        self.number = 0

    def record(
        self, request_id: str, origin: StreamOrigin, now: float
    ) -> None:
        """Record where a stream begins, instead of an earlier attempt's."""
        self.number += 1
        self._streams.pop(request_id, None)
        self._streams[request_id] = BegunStream(
            request_id, origin, self.number, now
        )
        if len(self._streams) > MAX_STREAMS:
            del self._streams[next(iter(self._streams))]

    def find(self, request_id: str) -> StreamOrigin | None:
        """Return where a stream began, if known."""
        stream = self._streams.get(request_id)
        return stream.origin if stream is not None else None

    def list_since(self, number: int) -> Iterator[BegunStream]:
        """Yield the streams after a number, the newest first."""
        for stream in reversed(self._streams.values()):
            if stream.number <= number:
                return
            yield stream

    def expire(self, now: float) -> None:
        """Forget streams that were recorded more than `RETENTION_S` ago."""
        expired = []
        for stream in self._streams.values():
            if now - stream.recorded_at <= RETENTION_S:
                break
            expired.append(stream.request_id)
        for request_id in expired:
            del self._streams[request_id]
