"""Selection of the log lines that concern one request."""

from __future__ import annotations

import json
from pathlib import Path

from click.testing import CliRunner

from hornbeamyard.process.commands import main
from hornbeamyard.process.explain import select_lines


def write(path: Path, *lines: dict[str, object] | str) -> Path:
    """Write a log file of structured and plain lines."""
    texts = [
        line if isinstance(line, str) else json.dumps(line) for line in lines
    ]
    path.write_text("\n".join(texts) + "\n", encoding="utf-8")
    return path


def event(
    time_ms: int, kind: str, host: str = "r1", **inputs: object
) -> dict[str, object]:
    """Return a structured line."""
    return {"time_ms": time_ms, "host": host, "event": kind, **inputs}


class TestExplain:
    """Lines of a request, and state changes on the same hosts."""

    def test_adds_state_changes(self, tmp_path: Path) -> None:
        """Guards against state changes of other hosts, times or requests."""
        first = write(
            tmp_path / "r1.log",
            "a line that isn't structured",
            '{"cut": ',
            event(1000, "upstream", upstream="u1", state="draining"),
            event(50_000, "placed", request_id="q", upstream="u2"),
            event(50_100, "upstream_avoided", upstream="u2"),
            event(50_200, "failed", request_id="q", outcome="failed"),
            event(50_300, "placed", request_id="other", upstream="u3"),
        )
        second = write(
            tmp_path / "r2.log",
            event(50_100, "upstream_avoided", host="r2", upstream="u9"),
        )
        selected = select_lines("q", [first, second])
        assert [line.event for line in selected] == [
            "placed",
            "upstream_avoided",
            "failed",
        ]

    def test_clocks_that_disagree(self, tmp_path: Path) -> None:
        """Guards against lines ordered by clocks of different hosts."""
        ahead = write(
            tmp_path / "r2.log",
            event(90_000, "placed", host="r2", request_id="q"),
            event(90_100, "answered", host="r2", request_id="q"),
        )
        behind = write(
            tmp_path / "r1.log", event(10, "refused", request_id="q")
        )
        selected = select_lines("q", [ahead, behind])
        assert [(line.host, line.event) for line in selected] == [
            ("r1", "refused"),
            ("r2", "placed"),
            ("r2", "answered"),
        ]


class TestCommand:
    """The command `hornbeamyard explain`."""

    def test_prints_lines(self, tmp_path: Path) -> None:
        """Guards against output without the host or the inputs."""
        file = write(
            tmp_path / "r1.log",
            event(1000, "refused", request_id="q", reason="no_share"),
        )
        done = CliRunner().invoke(main, ["explain", "q", str(file)])
        assert done.exit_code == 0
        assert "r1" in done.stdout
        assert "reason=no_share" in done.stdout

    def test_unknown_request(self, tmp_path: Path) -> None:
        """Guards against exit code 0 if no line names the request."""
        file = write(tmp_path / "r1.log", event(1000, "stopping"))
        done = CliRunner().invoke(main, ["explain", "q", str(file)])
        assert done.exit_code == 1
        assert "no line names" in done.stderr
