"""Configurations built from patches equal those built from documents."""

from __future__ import annotations

import copy
import json
from typing import Any

import jsonpatch
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.version.configuration import hash_key, parse_document
from hornbeamyard.version.delta import apply_delta

NAMES = st.sampled_from(["a", "b", "c", "d"])
ACCOUNTS = st.builds(
    lambda share, key: {"share": share, "keys": [hash_key(key)]},
    st.integers(1, 9),
    st.uuids().map(str),
)
OPERATIONS = st.one_of(
    st.builds(
        lambda name, value: {
            "op": "add",
            "path": f"/client_accounts/{name}",
            "value": value,
        },
        NAMES,
        ACCOUNTS,
    ),
    st.builds(
        lambda name, value: {
            "op": "replace",
            "path": f"/client_accounts/{name}/share",
            "value": value,
        },
        NAMES,
        st.integers(1, 9),
    ),
    st.builds(
        lambda name: {"op": "remove", "path": f"/client_accounts/{name}"},
        NAMES,
    ),
    st.builds(
        lambda source, target: {
            "op": "move",
            "from": f"/client_accounts/{source}",
            "path": f"/client_accounts/{target}",
        },
        NAMES,
        NAMES,
    ),
    st.builds(
        lambda value: {
            "op": "replace",
            "path": "/client_accounts",
            "value": {"e": value},
        },
        ACCOUNTS,
    ),
)


def build_document() -> dict[str, Any]:
    """Return a document with three accounts and an upstream."""
    return {
        "client_accounts": {
            name: {"share": 1, "keys": [hash_key(name)]} for name in "abc"
        },
        "pools": {"p": {"kind": "model"}},
        "upstreams": {"w": {"keys": [hash_key("w")]}},
        "operators": {},
    }


@pytest.mark.requirement("R8", fault="several changes in one patch")
@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(OPERATIONS, max_size=4))
def test_delta_matches_full_document(operations: list[dict[str, Any]]) -> None:
    """Guards against routers whose configuration differs from the log's."""
    document = build_document()
    before = copy.deepcopy(document)
    configuration = parse_document(document, 1).unwrap()
    try:
        expected_document = jsonpatch.apply_patch(
            document, copy.deepcopy(operations)
        )
    except (jsonpatch.JsonPatchException, jsonpatch.JsonPointerException):
        return
    expected = parse_document(expected_document, 2)
    if expected.is_err():
        return
    delta = fleet_pb2.ConfigurationDelta(
        version=2, base=1, patches=[json.dumps(operations).encode()]
    )
    patched_document, patched_configuration = apply_delta(
        delta, document, configuration
    ).unwrap()
    assert patched_document == expected_document
    assert patched_configuration == expected.unwrap()
    assert document == before
    assert configuration == parse_document(before, 1).unwrap()


@pytest.mark.requirement("R8", fault="missing patch")
def test_refuses_gap() -> None:
    """Guards against patches applied to a version they don't start from."""
    document = build_document()
    configuration = parse_document(document, 1).unwrap()
    delta = fleet_pb2.ConfigurationDelta(version=4, base=3, patches=[b"[]"])
    (finding,) = apply_delta(delta, document, configuration).unwrap_err()
    assert "based on version 3, but version 1 is in force" in str(finding)
