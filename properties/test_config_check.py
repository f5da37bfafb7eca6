"""A check of a document and the controllers never disagree about it."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from hypothesis import event, given, settings
from hypothesis import strategies as st

from hornbeamyard.platform.checking import FORMAT as PLATFORM_FORMAT
from hornbeamyard.process.documents import read_json
from hornbeamyard.process.positions import locate_fault
from hornbeamyard.tests.test_platform import CONFIGURATION
from hornbeamyard.tests.test_routing import DOCUMENT
from hornbeamyard.version.lint import NATIVE_FORMAT, Format, check_routing

from .test_outside_input import VALUES, encode

# Values of the types in the documents, so that many are accepted.
LIKELY_VALUES: dict[type, st.SearchStrategy[Any]] = {
    bool: st.booleans(),
    int: st.sampled_from([0, 1, 2, 99, 10**5]),
    str: st.sampled_from(["b", "/y/", "y", "b:80", "s1", "model"]),
}


@st.composite
def draw_changed(draw: st.DrawFn, base: Any) -> bytes:
    """Return a valid document of which some values are replaced."""
    document = copy.deepcopy(base)
    for _ in range(draw(st.integers(0, 2))):
        node = document
        while True:
            keys = sorted(node) if isinstance(node, dict) else range(len(node))
            key = draw(st.sampled_from(keys))
            if not isinstance(node[key], dict | list) or not node[key]:
                break
            node = node[key]
        likely = LIKELY_VALUES.get(type(node[key]), VALUES)
        # A copy, as later changes may go into the value.
        node[key] = copy.deepcopy(draw(likely | likely | likely | VALUES))
    return encode(document)


@pytest.mark.parametrize(
    ("format", "base"),
    [(NATIVE_FORMAT, DOCUMENT), (PLATFORM_FORMAT, CONFIGURATION)],
)
@settings(max_examples=300)
@given(st.data())
def test_errors_are_those_of_controllers(
    format: Format, base: Any, draws: st.DataObject
) -> None:
    """Guards against a check that accepts or refuses other documents."""
    other = st.binary() | VALUES.map(encode)
    data = draws.draw(draw_changed(base) | other)
    decoded = format.decode(data)
    report = check_routing(data, format)
    expected = [] if decoded.is_ok() else decoded.unwrap_err()
    assert [(f.key_path, f.message) for f in report.errors] == [
        (f.key_path, f.message) for f in expected
    ]
    if decoded.is_ok():
        assert report.version == decoded.unwrap().version
    for finding in (*report.errors, *report.warnings):
        is_located = finding.line is not None
        assert is_located or report.document is None
    event("refused" if expected else "accepted")


@given(VALUES, VALUES, st.sampled_from(["NaN", '"\\ud800"', '{"k":1,"k":2}']))
def test_faults_are_located(before: Any, after: Any, fault: str) -> None:
    """Guards against an error that points to another place."""
    texts = [json.dumps(value) for value in (before, after)]
    if any(read_json(text.encode()).is_err() for text in texts):
        return
    data = f"[{texts[0]},\n  {fault},\n{texts[1]}]".encode()
    column = 10 if "k" in fault else 3
    assert locate_fault(data) == (2, column)
