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
# Lines that make up no event, as those that servers send at the start of each
# response.
_NO_EVENTS = re.compile(rb"(?:[\r\n]|(?::|retry:)[^\r\n]*[\r\n])*")
# Ids that are compared as numbers.
_NUMBER = re.compile(r"[0-9]{1,18}")


class EventOrderError(Exception):
    """A continued stream has an event that doesn't follow the last one."""


class EventReader:
    """Divides the chunks of a stream into events.

    A stream may consist of several responses, each of which continues after
    the last event of the one before.

    Attributes
    ----------
    has_events : bool
        Whether an event of the current response was returned, at least in
        part.
    has_split_event : bool
        Whether an event exceeded `MAX_EVENT_BYTES`, so that it was returned
        in parts.
    is_last_numbered : bool
        Whether the last event that was returned has an id, so that another
        response can continue after it.
    last_id : str
        Id of the last complete event that has one; empty before.
    """

    __slots__ = (
        "_has_begun_event",
        "_is_continued",
        "_is_splitting",
        "_pending",
        "_tail",
        "has_events",
        "has_split_event",
        "is_last_numbered",
        "last_id",
    )

    def __init__(self) -> None:
        # Whether an earlier response broke off inside the next event.
        self._has_begun_event = False
        self._is_continued = False
        # Whether a part of the incomplete event was returned.
        self._is_splitting = False
        # The incomplete event, without the parts that were returned.
        self._pending = bytearray()
        # Last bytes of the incomplete event, in which its end may begin.
        self._tail = b""
        self.has_events = False
        self.has_split_event = False
        self.is_last_numbered = False
        self.last_id = ""

    def begin_response(self, last_id: str) -> None:
        """Begin a response; discard the incomplete event of the one before.

        Parameters
        ----------
        last_id : str
            Id of the event after which the response continues the stream;
            empty if it begins the stream.
        """
        rest = _BETWEEN_EVENTS.sub(b"", self._pending, count=1)
        if rest and not rest.startswith(b":"):
            self._has_begun_event = True
        self._is_continued = bool(last_id)
        self._pending.clear()
        self._tail = b""
        self.has_events = False
        self.is_last_numbered = self._is_continued
        self.last_id = last_id

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk of the stream.

        Returns
        -------
        bytes
            The events that are complete now, or a part of an event that
            exceeds `MAX_EVENT_BYTES`.

        Raises
        ------
        EventOrderError
            If the response continues a stream, and an event has no id or one
            that doesn't follow. None of the events is returned.
        """
        window = self._tail + chunk
        end = _find_last_end(window)
        self._pending += chunk
        if end:
            return self._pop_events(len(window) - end)
        self._tail = window[-_MAX_SPLIT_END_BYTES:]
        if len(self._pending) < MAX_EVENT_BYTES:
            return b""
        part = bytes(self._pending)
        if self._is_continued and not self._is_splitting:
            self.last_id = self._check_order(part)
        self.has_events = True
        self._is_splitting = self.has_split_event = True
        self._pending.clear()
        return part

    def is_inside_event(self) -> bool:
        """Return whether the last event has begun but not ended."""
        return self._is_splitting or not _BETWEEN_EVENTS.fullmatch(
            self._pending
        )

    def lacks_begun_event(self) -> bool:
        """Return whether an event that an earlier response began is missing.

        Then the stream isn't over, whatever the current response says.
        """
        return self._has_begun_event and not self.has_events

    def _pop_events(self, rest: int) -> bytes:
        """Return the complete events, before the last `rest` bytes."""
        size = len(self._pending) - rest
        events = bytes(self._pending[:size])
        last_id = self._read_last_id(events)
        del self._pending[:size]
        self._tail = bytes(self._pending[-_MAX_SPLIT_END_BYTES:])
        self._is_splitting = False
        self.last_id = last_id
        if not self.has_events:
            self.has_events = not _NO_EVENTS.fullmatch(events)
        return events

    def _read_last_id(self, events: bytes) -> str:
        """Return the last id after complete events."""
        if not self._is_continued:
            id = _find_last_id(events)
            if id or not _NO_EVENTS.fullmatch(events):
                self.is_last_numbered = bool(id) and _ends_numbered(events)
            return id or self.last_id
        if self._is_splitting:
            # The id was in the first part of the event.
            end = _EVENT_END.search(events)
            events = events[end.end() :] if end else b""
        return self._check_order(events)

    def _check_order(self, events: bytes) -> str:
        """Return the last id in events that continue a stream."""
        last_id = self.last_id
        for event in _EVENT_END.split(events):
            if _NO_EVENTS.fullmatch(event + b"\n"):
                continue
            id = _find_last_id(event)
            if not id or not _follows(id, last_id):
                # It is no beginning of the next event either.
                self._pending.clear()
                raise EventOrderError(
                    f"an event with the id {id!r} can't follow {last_id!r}"
                )
            last_id = id
        return last_id


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


def _ends_numbered(events: bytes) -> bool:
    """Return whether the last of events has an id, if any of them has."""
    if events.find(b"\n\n") == len(events) - 2:
        return True
    divided = [
        event
        for event in _EVENT_END.split(events)
        if not _NO_EVENTS.fullmatch(event + b"\n")
    ]
    return bool(_find_last_id(divided[-1]))


def _follows(id: str, last_id: str) -> bool:
    """Return whether an event may come after another; ids may have gaps."""
    if _NUMBER.fullmatch(id) and _NUMBER.fullmatch(last_id):
        return int(id) > int(last_id)
    return id != last_id
