"""Deselects the tests listed in KNOWN-RED.txt and prints them."""

from __future__ import annotations

import pytest

from hornbeamyard.tests.known_red import load_known_failures

pytest_plugins = ["pytester"]

_LEFT_OUT = pytest.StashKey[list[str]]()


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that runs the listed tests as well."""
    parser.addoption(
        "--known-red",
        action="store_true",
        help="run the tests listed in KNOWN-RED.txt as well",
    )


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect exactly the listed tests."""
    if config.getoption("--known-red"):
        return
    listed = {entry.test for entry in load_known_failures()}
    left_out = [item for item in items if item.nodeid in listed]
    if not left_out:
        return
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=left_out)
    config.stash[_LEFT_OUT] = [item.nodeid for item in left_out]


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the known failures: deselected tests, and all benchmarks."""
    for test in config.stash.get(_LEFT_OUT, []):
        terminalreporter.write_line(f"KNOWN RED {test}")
    for entry in load_known_failures():
        if entry.test.startswith("benchmarks."):
            terminalreporter.write_line(f"KNOWN RED {entry.test}")
