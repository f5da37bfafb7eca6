"""Tests of the structured log."""

from __future__ import annotations

import io
import json
import os
import time

from hornbeamyard.process.decisions import BURST_S, LINES_PER_S, DecisionLog
from hornbeamyard.process.logs import MAX_QUEUED_LINES, LineWriter
from hornbeamyard.process.timers import VirtualTimers


class TestVolume:
    """The volume of lines is bounded, and what is left out is counted."""

    def test_flood_of_refusals(self) -> None:
        """Load pattern: twice the peak of a router for ten seconds."""
        timers = VirtualTimers()
        stream = io.StringIO()
        writer = LineWriter(stream)
        log = DecisionLog(timers, "r1", writer)
        for step in range(10):
            timers._now = float(step)
            for number in range(600):
                log.note("refused", request_id=f"{step}-{number}")
        log.note("answered", request_id="last")
        writer.flush(5.0)
        lines = [json.loads(text) for text in stream.getvalue().splitlines()]
        refused = [line for line in lines if line["event"] == "refused"]
        assert len(refused) <= LINES_PER_S["refused"] * (10 + BURST_S)
        assert log.counts["refused"] == 6000
        told = sum(line.get("left_out", 0) for line in refused)
        assert len(refused) + log.dropped >= 6000
        assert told > 0
        # Other kinds have their own rate.
        assert lines[-1]["event"] == "answered"

    def test_reader_that_stops(self) -> None:
        """Guards against an event loop that waits for a full pipe."""
        reader, end = os.pipe()
        with os.fdopen(end, "w") as stream:
            writer = LineWriter(stream)
            text = "x" * 1000
            started_at = time.monotonic()
            accepted = sum(
                writer.write(text) for _ in range(MAX_QUEUED_LINES * 3)
            )
            assert time.monotonic() - started_at < 2.0
            assert accepted < MAX_QUEUED_LINES * 3
            assert writer.dropped > 0
            # The thread may end its write once the pipe is read again.
            drained = 0
            while drained < accepted * 1000:
                drained += len(os.read(reader, 1 << 20))
            writer.flush(5.0)
        os.close(reader)
