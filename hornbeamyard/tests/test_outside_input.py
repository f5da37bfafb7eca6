"""Messages of programs that aren't upstreams don't harm the controllers."""

from __future__ import annotations

import json
from typing import Any

import pytest

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.platform.configuration import decode_configuration
from hornbeamyard.version.state import FleetState

from .test_platform import CONFIGURATION


class TestConfiguration:
    """A configuration with texts that can't be used is refused."""

    @pytest.mark.parametrize(
        "place",
        [
            b'"r-1"',
            b'"a.example"',
            b'"/x/"',
            b'"s1"',
            b'"/health"',
            b'"t"',
            b'"b"',
        ],
    )
    @pytest.mark.parametrize(
        "text", [b'"a\xed\xa0\x80"', b'"a\\ud800"', b'"a\\r\\nx: y"']
    )
    def test_refuses(self, place: bytes, text: bytes) -> None:
        """Guards against acknowledging what no request can be served with."""
        document = json.dumps(CONFIGURATION).encode()
        assert decode_configuration(document).is_ok()
        assert decode_configuration(document.replace(place, text)).is_err()

    @pytest.mark.parametrize("limits", [b"[]", b"false", b"0", b'""'])
    def test_limits_of_another_type(self, limits: bytes) -> None:
        """Guards against ignoring limits that can't be read."""
        document = {**CONFIGURATION, "limits": "LIMITS"}
        data = json.dumps(document).encode().replace(b'"LIMITS"', limits)
        assert decode_configuration(data).is_err()


class TestPatches:
    """A patch with texts that can't be stored is refused."""

    @pytest.mark.parametrize(
        "patch",
        [
            [{"op": "add", "path": "/\ud800", "value": 1}],
            [{"op": "add", "path": "/pools/\ud800", "value": {}}],
            [{"op": "add", "path": "/pools/a", "value": {"\ud800": 1}}],
            [{"op": "\ud800"}, {"op": "add", "path": "/pools/\ud800"}],
        ],
    )
    def test_log_entry(self, patch: list[dict[str, Any]]) -> None:
        """Guards against an entry that ends each controller that applies it.

        It may be in the log already, from an older release.
        """
        request = fleet_pb2.PatchRequest(
            patch_id="p1", patch=json.dumps(patch).encode()
        )
        state = FleetState()
        entry = fleet_pb2.LogEntry(index=1, term=1, patch=request)
        result = state.apply(entry)
        assert isinstance(result, fleet_pb2.PatchResult)
        assert result.outcome == fleet_pb2.INVALID
        assert FleetState.from_snapshot(state.build_snapshot()).outcomes
