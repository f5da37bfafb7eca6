"""The page docs/PROOF.md and the list of known failures KNOWN-RED.txt."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from benchmarks import proof

from .known_red import load_known_failures, parse_known_failures

REGENERATE = "run scripts/proof and commit docs/PROOF.md"


@pytest.fixture(scope="module")
def rows() -> set[tuple[str, str, str, int]]:
    """Return the rows derived from the markers of all tests."""
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.proof", "--marks"],
        cwd=proof.ROOT,
        capture_output=True,
        check=True,
    )
    return {tuple(row) for row in json.loads(done.stdout.splitlines()[-1])}


class TestPage:
    """The page docs/PROOF.md."""

    def test_lists_what_marks_say(
        self, rows: set[tuple[str, str, str, int]]
    ) -> None:
        """Guards against a page that differs from the markers of the tests."""
        listed = proof.list_rows(proof.PAGE.read_text(encoding="utf-8"))
        assert listed - rows == set(), f"no such marks; {REGENERATE}"
        assert rows - listed == set(), f"marks not on the page; {REGENERATE}"

    def test_unproved_comes_first(self) -> None:
        """Guards against unproved requirements listed below proved ones."""
        claims = [proof.RequirementMark("R1", "none", "a.py::test_b[c]")]
        page = proof.build_page({"R1": "x", "R2": "y"}, claims, {})
        assert page.index("## R2") < page.index("## R1")
        assert "| R2 | 0 | 0 | **not proved** |" in page
        assert proof.list_rows(page) == {("R1", "none", "a.py::test_b", 1)}

    def test_failure_is_shown(self) -> None:
        """Guards against counting a failed case as a pass."""
        results = {"t[a]": "passes", "t[b]": "fails"}
        state = proof.describe_state(["t[a]", "t[b]", "t[c]"], results)
        assert state == "1 fails, 1 not run, 1 passes"


class TestKnownRed:
    """The list of known failures in KNOWN-RED.txt."""

    def test_entries_are_well_formed(self) -> None:
        """Guards against malformed entries in the list."""
        load_known_failures()

    @pytest.mark.parametrize(
        ("text", "match"),
        [
            ("a | b | c\n", "line 1: .* is not"),
            ("a | b |  | d\n", "line 1: .* is not"),
            ("# x\na | b | c | d\na | b | c | d\n", "line 3: a is listed"),
        ],
    )
    def test_refuses_bad_line(self, text: str, match: str) -> None:
        """Guards against skipping a test without command and reason."""
        with pytest.raises(ValueError, match=match):
            parse_known_failures(text)

    def test_listed_test_is_left_out_and_printed(
        self, pytester: pytest.Pytester
    ) -> None:
        """Guards against skipping unlisted tests, or skipping silently."""
        pytester.makeconftest(
            (proof.ROOT / "conftest.py")
            .read_text(encoding="utf-8")
            .replace("load_known_failures()", "LISTED")
            .replace(
                "_LEFT_OUT =",
                "from types import SimpleNamespace\n"
                "LISTED = [SimpleNamespace(test='test_it.py::test_a[1]')]\n"
                "_LEFT_OUT =",
            )
        )
        pytester.makepyfile(
            test_it="import pytest\n"
            "@pytest.mark.parametrize('x', [1, 2])\n"
            "def test_a(x): assert x == 2\n"
        )
        result = pytester.runpytest_inprocess("-p", "no:cacheprovider")
        result.assert_outcomes(passed=1, deselected=1)
        result.stdout.fnmatch_lines(["KNOWN RED test_it.py::test_a?1?"])
