"""Events of a streamed response (`text/event-stream`)."""

from __future__ import annotations

import re

# Longer events are returned in parts.
MAX_EVENT_BYTES = 256 * 1024

# A line ends with CR LF, LF or CR. The group is atomic, so that CR LF is never
# taken for two line ends.
_LINE_END = rb"(?>\r\n|\n|\r)"
_EVENT_END = re.compile(_LINE_END * 2)
# The end of an event is at most four bytes long.
_MAX_SPLIT_END_BYTES = 3
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:([^\r\n]*)")
# Complete blank lines and comments.
_BETWEEN_EVENTS = re.compile(rb"(?:[\r\n]|:[^\r\n]*[\r\n])*")


class EventReader:
    """Divides the chunks of a stream into events.

    Attributes
    ----------
    has_split_event : bool
        Whether an event exceeded `MAX_EVENT_BYTES`, so that it was returned
        in parts.
    last_id : str
        Id of the last complete event that has one; empty before.
    """

    __slots__ = (
        "_is_splitting",
        "_pending",
        "_tail",
        "has_split_event",
        "last_id",
    )

    def __init__(self) -> None:
        # Whether a part of the incomplete event was returned.
        self._is_splitting = False
        # The incomplete event, without the parts that were returned.
        self._pending = bytearray()
        # Last bytes of the incomplete event, in which its end may begin.
        self._tail = b""
        self.has_split_event = False
        self.last_id = ""

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk of the stream.

        Returns
        -------
        bytes
            The events that are complete now, or a part of an event that
            exceeds `MAX_EVENT_BYTES`.
        """
        window = self._tail + chunk
        end = _find_last_end(window)
        self._pending += chunk
        if end:
            return self._pop_events(len(window) - end)
        self._tail = window[-_MAX_SPLIT_END_BYTES:]
        if len(self._pending) < MAX_EVENT_BYTES:
            return b""
        self._is_splitting = self.has_split_event = True
        part = bytes(self._pending)
        self._pending.clear()
        return part

    def is_inside_event(self) -> bool:
        """Return whether the last event has begun but not ended."""
        return self._is_splitting or not _BETWEEN_EVENTS.fullmatch(
            self._pending
        )

    def discard_incomplete_event(self) -> None:
        """Discard the incomplete event of a stream that has broken off."""
        self._pending.clear()
        self._tail = b""

    def _pop_events(self, rest: int) -> bytes:
        """Return the complete events, before the last `rest` bytes."""
        size = len(self._pending) - rest
        events = bytes(self._pending[:size])
        del self._pending[:size]
        self._tail = bytes(self._pending[-_MAX_SPLIT_END_BYTES:])
        self._is_splitting = False
        self.last_id = _find_last_id(events) or self.last_id
        return events


def _find_last_end(data: bytes) -> int:
    """Return the offset at which the last event ends; 0 if none does."""
    if b"\r" not in data:
        # Much faster than the pattern, and most streams use LF alone.
        return data.rfind(b"\n\n") + 2 if b"\n\n" in data else 0
    end = 0
    for found in _EVENT_END.finditer(data):
        end = found.end()
    return end


def _find_last_id(events: bytes) -> str:
    """Return the last id in events; empty if they have none."""
    if b"\r" in events:
        ids = _ID_LINE.findall(events)
        return ids[-1].strip().decode("latin-1") if ids else ""
    _, found, rest = (b"\n" + events).rpartition(b"\nid:")
    return rest.partition(b"\n")[0].strip().decode("latin-1") if found else ""
