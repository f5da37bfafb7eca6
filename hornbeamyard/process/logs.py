"""Log set-up; lines are written only for changes of state."""

from __future__ import annotations

import sys

import logbook

_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%fZ} {record.level_name} "
    "{record.channel} {record.message}"
)


def start_logging(level: str) -> None:
    """Write log lines of `level` and above to standard error."""
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(
        sys.stderr, level=level.upper(), format_string=_FORMAT
    )
    handler.push_application()
