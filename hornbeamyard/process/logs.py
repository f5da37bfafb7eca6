"""Configuration of logging, and a writer that doesn't block.

Log lines are written only for changes of state.
"""

from __future__ import annotations

import json
import logging
import queue
import sys
import threading
from typing import TextIO

import logbook
from logbook.compat import RedirectLoggingHandler

_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%fZ} {record.level_name} "
    "{record.channel} {record.message}"
)
# Queue length of the writer; further lines are dropped and counted.
MAX_QUEUED_LINES = 4096


def start_logging(level: str) -> None:
    """Write log lines of `level` and above to standard error."""
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(
        sys.stderr, level=level.upper(), format_string=_FORMAT
    )
    handler.push_application()


def start_structured_logging(level: str, writer: LineWriter) -> None:
    """Write log lines of `level` and above as JSON objects.

    Those of libraries that use Python's `logging` are among them. Otherwise
    they would go to standard error, which may block the event loop.
    """
    logbook.set_datetime_format("utc")
    _JsonHandler(writer, level=level.upper()).push_application()
    logging.getLogger().addHandler(RedirectLoggingHandler())


class LineWriter:
    """Writes lines to a stream in a separate thread.

    If the reader of the stream stalls, it blocks only that thread, never the
    event loop.

    Parameters
    ----------
    stream : text stream, optional
        Standard output by default.

    Attributes
    ----------
    dropped : int
        Lines dropped because the queue was full or the stream was closed.
    """

    __slots__ = ("_queue", "_stream", "dropped")

    def __init__(self, stream: TextIO | None = None) -> None:
        self._queue: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        # Python has no standard output if it was closed at the start.
        self._stream: TextIO | None = stream or sys.stdout
        self.dropped = 0
        threading.Thread(target=self._run, daemon=True).start()

    def write(self, line: str) -> bool:
        """Queue a line; return False if it is dropped."""
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            self.dropped += 1
            return False
        return True

    def flush(self, timeout_s: float) -> None:
        """Wait until queued lines are written, for at most `timeout_s`."""
        waiter = threading.Thread(target=self._queue.join, daemon=True)
        waiter.start()
        waiter.join(timeout_s)

    def _run(self) -> None:
        while True:
            lines = [self._queue.get()]
            while not self._queue.empty() and len(lines) < MAX_QUEUED_LINES:
                lines.append(self._queue.get_nowait())
            try:
                if self._stream is None:
                    raise ValueError("there is no stream")
                self._stream.write("\n".join(lines) + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                # Without a reader or with a closed stream, lines can only
                # be counted.
                self.dropped += len(lines)
            for _ in lines:
                self._queue.task_done()


class _JsonHandler(logbook.Handler):  # type: ignore[misc]
    """Formats log records as JSON objects."""

    def __init__(self, writer: LineWriter, level: str) -> None:
        super().__init__(level=level)
        self._writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record."""
        line = {
            "time_ms": int(record.time.timestamp() * 1000),
            "level": record.level_name.lower(),
            "event": record.channel,
            "message": record.message,
        }
        if record.exc_info:
            line["traceback"] = record.formatted_exception
        self._writer.write(json.dumps(line, default=str))
