"""Structured log lines and their rate limits."""

from __future__ import annotations

import io
import json
import os
import time

from hornbeamyard.process.decisions import BURST_S, LINES_PER_S, DecisionLog
from hornbeamyard.process.logs import MAX_QUEUED_LINES, LineWriter
from hornbeamyard.process.timers import VirtualTimers


class TestVolume:
    """The volume of log lines is limited, and dropped lines are counted."""

    def test_flood_of_refusals(self) -> None:
        """Guards against unlimited log lines in a flood of refusals.

        The load is twice the peak load of a router, for ten seconds.
        """
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
        reported = sum(line.get("left_out", 0) for line in refused)
        assert len(refused) + log.dropped >= 6000
        assert reported > 0
        # Other kinds of lines have their own limits.
        assert lines[-1]["event"] == "answered"

    def test_stalled_reader(self) -> None:
        """Guards against an event loop that blocks on a full pipe."""
        read_end, write_end = os.pipe()
        with os.fdopen(write_end, "w") as stream:
            writer = LineWriter(stream)
            text = "x" * 1000
            started_at = time.monotonic()
            accepted = sum(
                writer.write(text) for _ in range(MAX_QUEUED_LINES * 3)
            )
            assert time.monotonic() - started_at < 2.0
            assert accepted < MAX_QUEUED_LINES * 3
            assert writer.dropped > 0
            # Reading the pipe lets the blocked writer thread continue.
            bytes_read = 0
            while bytes_read < accepted * 1000:
                bytes_read += len(os.read(read_end, 1 << 20))
            writer.flush(5.0)
        os.close(read_end)
