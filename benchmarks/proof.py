"""Builds the page docs/PROOF.md: which tests prove which requirement.

Tests name requirements and faults in `pytest.mark.requirement`.
"""

from __future__ import annotations

import json
import re
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import click
import pytest

from hornbeamyard.tests.known_red import load_known_failures

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs" / "PROOF.md"
DESIGN = ROOT / "docs" / "design.md"
# Requirements that are faults to tolerate; every other requirement can be
# tested under each of them.
FAULTS = tuple(f"R{number}" for number in range(9, 17))
NO_FAULT = "none"

_REQUIREMENT = re.compile(r"^- \*\*(R\d+)\*\* (.+)$", re.MULTILINE)
_ROW = re.compile(r"^\| ([^|]+) \| `([^`]+)` \| (\d+) \| [^|]+ \|$")
_HEAD = """\
# Proof

`scripts/proof` runs the tests and writes this page from their marks. Don't
edit it. The listed tests prove a requirement only for the cases that they
check: each row names the fault under which a test checks it, and the fault's
name or the test's parameters say at which step the fault occurs. A
requirement without a row is not proved.
"""


@dataclass(frozen=True, slots=True)
class RequirementMark:
    """One `requirement` mark of one test.

    Attributes
    ----------
    requirement : str
    fault : str
        Fault under which the test checks the requirement, or `none`.
    item : str
        The test's id, parameters included.
    """

    requirement: str
    fault: str
    item: str

    @property
    def test(self) -> str:
        """The test's id without parameters."""
        return self.item.split("[", 1)[0]


@dataclass(slots=True)
class Collector:
    """A pytest plugin that records marks and results.

    Attributes
    ----------
    marks : list of RequirementMark
    results : dict of str to str
        `passes`, `fails` or `skipped`, by test id.
    ends : float
        Monotonic time after which no further test is started; the remaining
        tests are listed as "not run".
    """

    marks: list[RequirementMark] = field(default_factory=list)
    results: dict[str, str] = field(default_factory=dict)
    ends: float = float("inf")

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Record the marks of all tests, before any is deselected.

        Tests with the mark `process`, which take longest, run last.
        """
        for item in items:
            self.marks += read_marks(item.nodeid, item.iter_markers())
        items.sort(key=lambda i: i.get_closest_marker("process") is not None)

    def pytest_runtest_logfinish(self, nodeid: str) -> None:
        """Stop the run when its time limit is reached."""
        if time.monotonic() > self.ends:
            pytest.exit("time limit reached", returncode=1)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record a result; a failure in setup or teardown counts too."""
        if report.failed:
            self.results[report.nodeid] = "fails"
        elif report.skipped:
            self.results.setdefault(report.nodeid, "skipped")
        elif report.when == "call":
            self.results.setdefault(report.nodeid, "passes")


def read_marks(
    item: str, marks: Iterable[pytest.Mark]
) -> list[RequirementMark]:
    """Return the requirements that a test's marks name."""
    found = []
    for mark in marks:
        if mark.name != "requirement":
            continue
        fault = mark.kwargs.get("fault")
        if fault is None and len(mark.args) > 1:
            fault = mark.args[1]
        found.append(
            RequirementMark(str(mark.args[0]), str(fault or NO_FAULT), item)
        )
    return found


def load_requirements() -> dict[str, str]:
    """Return the text of each requirement on the design page, by name."""
    return dict(_REQUIREMENT.findall(DESIGN.read_text(encoding="utf-8")))


def collect(run: bool, within_s: float = float("inf")) -> Collector:
    """Collect all tests, and run them if `run` is set.

    Raises
    ------
    RuntimeError
        When the tests can't be collected.
    """
    collector = Collector(ends=time.monotonic() + within_s)
    options = ["-q", "-p", "no:cacheprovider"]
    if not run:
        options += ["--collect-only", "-qq"]
    code = pytest.main(options, plugins=[collector])
    if code not in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED):
        raise RuntimeError(f"pytest ended with {code!r}")
    return collector


def describe_state(items: Iterable[str], results: dict[str, str]) -> str:
    """Return the state of a test from the results of its cases."""
    listed = {entry.test for entry in load_known_failures()}
    counts: dict[str, int] = {}
    for item in items:
        state = "known red" if item in listed else results.get(item, "not run")
        counts[state] = counts.get(state, 0) + 1
    if len(counts) == 1:
        return next(iter(counts))
    return ", ".join(f"{n} {state}" for state, n in sorted(counts.items()))


def build_page(
    requirements: dict[str, str],
    marks: list[RequirementMark],
    results: dict[str, str],
) -> str:
    """Return the page, with requirements that no test proves first."""
    proved = {mark.requirement for mark in marks}
    order = sorted(requirements, key=lambda r: (r in proved, int(r[1:])))
    parts = [_HEAD, _build_summary(order, marks, results)]
    parts += [
        _build_section(name, requirements[name], marks, results)
        for name in order
    ]
    parts.append(_build_fault_table(list(requirements), marks))
    return "\n".join(parts)


def _build_summary(
    order: list[str], marks: list[RequirementMark], results: dict[str, str]
) -> str:
    rows = ["| requirement | tests | cases | state |", "|---|---|---|---|"]
    for name in order:
        items = {mark.item for mark in marks if mark.requirement == name}
        tests = {item.split("[", 1)[0] for item in items}
        state = describe_state(items, results) if items else "**not proved**"
        rows.append(f"| {name} | {len(tests)} | {len(items)} | {state} |")
    return "\n".join(rows) + "\n"


def _build_section(
    name: str, text: str, marks: list[RequirementMark], results: dict[str, str]
) -> str:
    rows = [f"## {name}\n", f"{text}\n"]
    groups: dict[tuple[str, str], set[str]] = {}
    for mark in marks:
        if mark.requirement == name:
            key = (mark.fault, mark.test)
            groups.setdefault(key, set()).add(mark.item)
    if not groups:
        return "\n".join([*rows, "No test proves this requirement.\n"])
    rows += ["| fault | test | cases | state |", "|---|---|---|---|"]
    rows += [
        f"| {fault} | `{test}` | {len(items)} | "
        f"{describe_state(items, results)} |"
        for (fault, test), items in sorted(groups.items())
    ]
    return "\n".join(rows) + "\n"


def _build_fault_table(
    requirements: list[str], marks: list[RequirementMark]
) -> str:
    """Return a table of how many tests check a requirement under a fault."""
    marked: dict[str, set[str]] = {}
    for mark in marks:
        marked.setdefault(mark.requirement, set()).add(mark.test)
    rows = [
        "## Requirements under the faults to tolerate\n",
        'Number of tests marked with both; "-" means none.\n',
        "| | " + " | ".join(FAULTS) + " |",
        "|---" * (len(FAULTS) + 1) + "|",
    ]
    for name in requirements:
        if name in FAULTS:
            continue
        counts = [
            len(marked.get(name, set()) & marked.get(fault, set()))
            for fault in FAULTS
        ]
        cells = " | ".join(str(count or "-") for count in counts)
        rows.append(f"| {name} | {cells} |")
    return "\n".join(rows) + "\n"


def list_rows(page: str) -> set[tuple[str, str, str, int]]:
    """Return requirement, fault, test and number of cases of a page's rows."""
    rows = set()
    requirement = ""
    for line in page.splitlines():
        if line.startswith("## "):
            requirement = line.removeprefix("## ")
        match = _ROW.match(line)
        if match is not None:
            fault, test, cases = match.groups()
            rows.add((requirement, fault, test, int(cases)))
    return rows


def find_unknown(
    requirements: dict[str, str], marks: list[RequirementMark]
) -> list[RequirementMark]:
    """Return the marks whose requirement isn't on the design page."""
    return [mark for mark in marks if mark.requirement not in requirements]


@click.command()
@click.option("--marks", is_flag=True, help="Print the marks; run nothing.")
@click.option(
    "--within",
    type=float,
    default=float("inf"),
    help="Seconds after which no test is started; the rest is 'not run'.",
)
def main(marks: bool, within: float) -> None:
    """Run all tests and write docs/PROOF.md."""
    collector = collect(not marks, within)
    requirements = load_requirements()
    unknown = find_unknown(requirements, collector.marks)
    if unknown:
        click.echo(
            f"marks whose requirement isn't on the design page: {unknown}",
            err=True,
        )
        sys.exit(1)
    page = build_page(requirements, collector.marks, collector.results)
    if marks:
        click.echo(json.dumps(sorted(list_rows(page))))
        return
    PAGE.write_text(page, encoding="utf-8")
    states = list(collector.results.values())
    counts = {state: states.count(state) for state in sorted(set(states))}
    proved = {mark.requirement for mark in collector.marks}
    click.echo(
        json.dumps(
            {
                "results": counts,
                "not_proved": [r for r in requirements if r not in proved],
            }
        )
    )


if __name__ == "__main__":
    main()
