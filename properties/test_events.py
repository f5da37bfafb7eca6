"""Streams are divided into the same events, whatever their chunks."""

from __future__ import annotations

import itertools
import re

from hypothesis import given
from hypothesis import strategies as st

from hornbeamyard.request.events import EventReader

LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])
LINES = st.sampled_from(
    [b"id: 7", b"id:8", b"data: x", b": ping", b"retry: 1"]
)


@st.composite
def build_events(draw: st.DrawFn) -> bytes:
    """Return complete events with a line end of their own each."""
    events = b""
    for _ in range(draw(st.integers(0, 4))):
        end = draw(LINE_ENDS)
        lines = draw(st.lists(LINES, min_size=1, max_size=3))
        # LF after CR would be one line end.
        if events.endswith(b"\r") and end == b"\n":
            end = b"\r"
        events += end.join(lines) + end + end
    return events


def divide(data: bytes, cuts: list[int]) -> list[bytes]:
    """Return the chunks of data between cuts."""
    offsets = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[a:b] for a, b in itertools.pairwise(offsets)]


CUTS = st.lists(st.integers(0, 200), max_size=8)


@given(build_events(), st.sampled_from([b"", b"id: 9", b"data: y\n"]), CUTS)
def test_any_chunks(events: bytes, partial: bytes, cuts: list[int]) -> None:
    """Guards against events that are lost, altered or cut by chunks."""
    reader = EventReader()
    read = b"".join(reader.feed(c) for c in divide(events + partial, cuts))
    assert read.rstrip(b"\r\n") == events.rstrip(b"\r\n")
    assert (events + partial).startswith(read)
    assert reader.is_inside_event() == bool(partial)
    ids = re.findall(rb"id: ?(\d)", events)
    assert reader.last_id == (ids[-1].decode() if ids else "")


@given(st.binary(max_size=80), CUTS)
def test_any_bytes(data: bytes, cuts: list[int]) -> None:
    """Guards against unhandled errors, and against bytes out of order."""
    reader = EventReader()
    read = b"".join(reader.feed(chunk) for chunk in divide(data, cuts))
    assert data.startswith(read)
    rest = data[len(read) :]
    if rest.strip(b"\r\n") and not rest.startswith(b":"):
        assert reader.is_inside_event()
