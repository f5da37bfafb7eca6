"""Selects the log lines that concern one request."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

# Time before and after a request from which events of its hosts are listed.
CONTEXT_MS = 2000
# Events that change the state on which a process bases its decisions.
STATE_EVENTS = frozenset(
    (
        "daemon",
        "directory",
        "election",
        "reload",
        "routing",
        "stopping",
        "upstream",
        "upstream_avoided",
        "upstream_paused",
    )
)
# Keys that are printed separately from the other inputs.
_COLUMN_KEYS = frozenset(("event", "host", "request_id", "time_ms"))


@dataclass(slots=True)
class Line:
    """One line of a log file.

    Attributes
    ----------
    time_ms : int
        Wall-clock time of the process that wrote the line, in milliseconds
        since 1970.
    host : str
    event : str
        Kind of decision, or logger name.
    request_id : str
        Empty if the line concerns no single request.
    inputs : dict
        All other keys and values of the line.
    """

    time_ms: int
    host: str
    event: str
    request_id: str
    inputs: dict[str, Any]


def read_lines(file: Path) -> Iterator[Line]:
    """Yield the structured lines of a log file and skip all others.

    Raises
    ------
    OSError
        If the file can't be read.
    """
    with file.open(encoding="utf-8", errors="replace") as lines:
        for text in lines:
            line = _parse(text, file.stem)
            if line is not None:
                yield line


def _parse(text: str, host: str) -> Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(document, dict):
        return None
    time_ms = document.get("time_ms")
    if type(time_ms) is not int:
        return None
    return Line(
        time_ms,
        str(document.get("host", host)),
        str(document.get("event", "")),
        str(document.get("request_id", "")),
        {k: v for k, v in document.items() if k not in _COLUMN_KEYS},
    )


def select_lines(request_id: str, files: Iterable[Path]) -> list[Line]:
    """Return the lines of a request, and state changes around its time.

    Clocks of different hosts may disagree, so state changes are taken only
    from hosts that logged the request, compared by the clock of each host.

    Parameters
    ----------
    request_id : str
    files : iterable of Path

    Returns
    -------
    list of Line
        Sorted by host and time; empty if no line names the request.
    """
    lines = [line for file in files for line in read_lines(file)]
    request_lines = [line for line in lines if line.request_id == request_id]
    time_ranges: dict[str, tuple[int, int]] = {}
    for line in request_lines:
        first, last = time_ranges.get(line.host, (line.time_ms, line.time_ms))
        time_ranges[line.host] = (
            min(first, line.time_ms),
            max(last, line.time_ms),
        )
    selected = list(request_lines)
    for line in lines:
        time_range = time_ranges.get(line.host)
        if (
            time_range is None
            or line.request_id
            or line.event not in STATE_EVENTS
        ):
            continue
        if (
            time_range[0] - CONTEXT_MS
            <= line.time_ms
            <= time_range[1] + CONTEXT_MS
        ):
            selected.append(line)
    return sorted(selected, key=lambda line: (line.host, line.time_ms))


def format_line(line: Line, start_ms: int) -> str:
    """Return a line as text, with its time in seconds since `start_ms`."""
    inputs = " ".join(
        f"{key}={value}"
        for key, value in line.inputs.items()
        if value is not None
    )
    mark = "*" if line.request_id else " "
    elapsed_s = (line.time_ms - start_ms) / 1000
    return f"{mark} {elapsed_s:+9.3f} s  {line.event:16} {inputs}"
