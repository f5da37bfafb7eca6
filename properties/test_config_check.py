"""A check of a document and the controllers never disagree about it."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamyard.platform.checking import FORMAT as PLATFORM_FORMAT
from hornbeamyard.process.documents import read_json
from hornbeamyard.process.positions import locate_fault
from hornbeamyard.version.lint import NATIVE_FORMAT, Format, check_routing

from .test_outside_input import (
    POOL_FIELDS,
    ROUTE_FIELDS,
    VALUES,
    build_objects,
    encode,
)

NATIVE_ROUTE_FIELDS: dict[str, st.SearchStrategy[Any]] = {
    "name": st.sampled_from(["r-1", "r-2"]),
    "host": st.sampled_from(["a.example", "A.example", "b:80"]),
    "path_prefix": st.sampled_from(["/x/", "/y/", "y", "/?"]),
    "repetition": st.just("idempotent"),
    "timeout_ms": st.integers(0, 3),
    "target_ms": st.integers(0, 3),
    "most_attempts": st.just(2),
    "shares": st.lists(
        build_objects({"pool": st.just("s1"), "weight": st.integers(0, 2)}),
        max_size=2,
    ),
}
DOCUMENTS = (
    st.binary()
    | st.text('[]{}":,1a\\ud\n NI', max_size=12).map(str.encode)
    | VALUES.map(encode)
    | build_objects(
        {
            "version": st.just(3),
            "routes": st.lists(
                build_objects(ROUTE_FIELDS)
                | build_objects(NATIVE_ROUTE_FIELDS)
                | st.fixed_dictionaries(NATIVE_ROUTE_FIELDS),
                max_size=2,
            ),
            "services": st.lists(build_objects(POOL_FIELDS), max_size=2),
            "pools": st.just([{"name": "s1", "cold_rate": 1}]),
            "limits": st.just({}) | VALUES,
            "client_accounts": st.just([{"name": "t", "keys": ["a", "a"]}]),
            "tenants": st.just([{"name": "t", "apiKeys": ["a"]}]),
        }
    ).map(encode)
)


@pytest.mark.parametrize("format", [NATIVE_FORMAT, PLATFORM_FORMAT])
@given(DOCUMENTS)
def test_errors_are_those_of_controllers(format: Format, data: bytes) -> None:
    """Guards against a check that accepts or refuses other documents."""
    decoded = format.decode(data)
    report = check_routing(data, format)
    expected = [] if decoded.is_ok() else decoded.unwrap_err()
    assert [(f.key_path, f.message) for f in report.errors] == [
        (f.key_path, f.message) for f in expected
    ]
    if decoded.is_ok():
        assert report.version == decoded.unwrap().version
    lines = data.count(b"\n") + 1
    for finding in (*report.errors, *report.warnings):
        if report.document is not None:
            assert finding.line is not None
        assert finding.line is None or 1 <= finding.line <= lines


@given(VALUES, VALUES, st.sampled_from(["NaN", '"\\ud800"', '{"k":1,"k":2}']))
def test_faults_are_located(before: Any, after: Any, fault: str) -> None:
    """Guards against an error that points to another place."""
    texts = [json.dumps(value) for value in (before, after)]
    if any(read_json(text.encode()).is_err() for text in texts):
        return
    data = f"[{texts[0]},\n  {fault},\n{texts[1]}]".encode()
    column = 10 if "k" in fault else 3
    assert locate_fault(data) == (2, column)
