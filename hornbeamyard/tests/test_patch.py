"""Tests of JSON Patch: all findings, with the operation at fault."""

from __future__ import annotations

import json

import pytest
from result import Err, Ok

from hornbeamyard.version.patch import apply_patch_text

DOCUMENT = {"pools": {"a": {"kind": "model"}}, "operators": {}}
SECRET = "operator-key-in-plain-text"


@pytest.mark.requirement("R22")
class TestApplyPatchText:
    """A patch is applied completely or refused with findings."""

    @pytest.mark.parametrize(
        ("patch", "findings"),
        [
            ("[", ["patch: is not JSON"]),
            ({}, ["patch: is not accepted; give a list"]),
            (
                [3, {"op": "put"}, {"op": "add"}],
                [
                    "patch[0]: is not accepted; give an object",
                    "patch[1].op: is not accepted; give one of 'add'",
                    "patch[2].path: is missing",
                    "patch[2].value: is missing",
                ],
            ),
            (
                [{"op": "move", "from": 3, "path": "pools"}],
                ["patch[0].from: ", "patch[0].path: "],
            ),
            (
                [
                    {"op": "add", "path": "/x", "value": SECRET},
                    {"op": "add", "path": "/y/z", "value": SECRET},
                ],
                ["patch[1].path: add at '/y/z' finds no such place"],
            ),
            (
                [{"op": "test", "path": "/pools/a/kind", "value": SECRET}],
                ["patch[0].path: the value at '/pools/a/kind' is not"],
            ),
            (
                [{"op": "remove", "path": "/pools/b"}],
                ["patch[0].path: remove at '/pools/b'"],
            ),
            (
                [{"op": "add", "path": "/pools/a/kind/x", "value": SECRET}],
                ["patch[0].path: add at"],
            ),
        ],
    )
    def test_refuses_with_findings(
        self, patch: object, findings: list[str]
    ) -> None:
        """Guards against findings without a location or with secret keys."""
        text = patch if isinstance(patch, str) else json.dumps(patch)
        before = json.dumps(DOCUMENT)
        applied = apply_patch_text(DOCUMENT, text.encode())
        assert isinstance(applied, Err)
        found = [str(finding) for finding in applied.err_value]
        assert len(found) == len(findings)
        for actual, expected in zip(found, findings, strict=True):
            assert actual.startswith(expected)
            assert SECRET not in actual
        assert json.dumps(DOCUMENT) == before

    def test_applies_in_order(self) -> None:
        """Guards against operations that ignore the effect of earlier ones."""
        patch = [
            {"op": "add", "path": "/pools/b", "value": {}},
            {"op": "add", "path": "/pools/b/kind", "value": "model"},
            {"op": "copy", "from": "/pools/b", "path": "/pools/c"},
            {"op": "remove", "path": "/pools/b"},
        ]
        applied = apply_patch_text(DOCUMENT, json.dumps(patch).encode())
        assert isinstance(applied, Ok)
        assert list(applied.ok_value["pools"]) == ["a", "c"]
        assert list(DOCUMENT["pools"]) == ["a"]
