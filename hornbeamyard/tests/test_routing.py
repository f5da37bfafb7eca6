"""Tests of routing documents."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from result import Err, Ok

from hornbeamyard.version.routing import Pool, decode_routing, parse_routing

DOCUMENT: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "chat",
            "host": "api.example",
            "path_prefix": "/chat/",
            "repetition": "unrepeatable",
            "streaming": True,
            "resumable": True,
            "timeout_ms": 12000,
            "target_ms": 1000,
            "shares": [{"pool": "model", "weight": 1}],
        },
        {
            "name": "chat-long",
            "host": "api.example",
            "path_prefix": "/chat/long/",
            "repetition": "unrepeatable",
            "timeout_ms": 12000,
            "shares": [{"pool": "model"}],
        },
        {
            "name": "status",
            "host": "api.example",
            "path_prefix": "/status/",
            "repetition": "idempotent",
            "timeout_ms": 1500,
            "shares": [{"pool": "app"}],
        },
    ],
    "pools": [
        {"name": "model", "memory_tokens": 1000, "slots": 4},
        {"name": "app"},
    ],
    "client_accounts": [
        {"name": "library", "keys": ["k1", "k2"]},
        {"name": "museum", "keys": ["k3"], "priority": 0},
    ],
}


def change(**changes: Any) -> dict[str, Any]:
    """Return the document with values replaced, by paths like `a__0__b`."""
    document = copy.deepcopy(DOCUMENT)
    for key_path, value in changes.items():
        node: Any = document
        *path, last = key_path.split("__")
        for key in path:
            node = node[int(key)] if key.isdigit() else node[key]
        node[last] = value
    return document


class TestFindRoute:
    """The longest matching prefix of a host wins."""

    @pytest.mark.parametrize(
        ("host", "path", "expected"),
        [
            ("api.example", "/chat/a", "chat"),
            ("api.example", "/chat/long/a", "chat-long"),
            ("API.example", "/chat/long", "chat"),
            ("api.example", "/chatter/", None),
            ("other.example", "/chat/", None),
            ("api.example", "/", None),
        ],
    )
    def test_longest_prefix(
        self, host: str, path: str, expected: str | None
    ) -> None:
        """Guards against requests sent to the wrong route."""
        routing = parse_routing(DOCUMENT).unwrap()
        route = routing.find_route(host, path)
        assert (route.name if route else None) == expected

    def test_streams_repeat_only_where_they_resume(self) -> None:
        """Guards against retries of streams that may have run."""
        routing = parse_routing(DOCUMENT).unwrap()
        assert routing.routes["chat"].is_repeatable()
        assert not routing.routes["chat-long"].is_repeatable()
        assert routing.routes["status"].is_repeatable()


class TestShares:
    """A route sends requests to the pools that have a weight."""

    def test_pool_without_weight(self) -> None:
        """Guards against streams that go on in a pool without a weight."""
        document = change(
            routes__0__shares=[
                {"pool": "app", "weight": 0},
                {"pool": "model", "weight": 3},
            ]
        )
        shares = parse_routing(document).unwrap().routes["chat"].shares
        assert [share.pool for share in shares] == ["model"]


class TestEngines:
    """What a routing says about engines."""

    def test_link_too_slow_for_a_copy(self) -> None:
        """Guards against forecasts that aren't numbers."""
        pool = Pool("p", "/h", 1, kv_bytes_per_token=1, copy_mbps=5e-324)
        assert pool.compute_token_copy_ms() == 0.0


class TestFindAccount:
    """Each key belongs to one account."""

    def test_each_key_finds_its_account(self) -> None:
        """Guards against requests charged to the wrong account."""
        routing = parse_routing(DOCUMENT).unwrap()
        for key, name in [("k1", "library"), ("k2", "library")]:
            account = routing.find_account(key)
            assert account is not None
            assert account.name == name
        assert routing.find_account("k4") is None


class TestFindings:
    """An invalid document is refused with all findings at once."""

    @pytest.mark.parametrize(
        ("changes", "expected"),
        [
            ({"routes__0__timeout_ms": 0}, "is 0"),
            ({"routes__0__shares": []}, "add up to 0"),
            (
                {"routes__0__shares": [{"pool": "model", "weight": 0}]},
                "add up to 0",
            ),
            ({"routes__0__shares": [{"pool": "gone"}]}, "no pool 'gone'"),
            ({"routes__1__path_prefix": "/chat/"}, "host and prefix"),
            ({"client_accounts__1__keys": ["k1"]}, "shares a key"),
            ({"version": "7"}, "not accepted"),
            ({"routes__0__repetition": "maybe"}, "not accepted"),
        ],
    )
    def test_refused(self, changes: dict[str, Any], expected: str) -> None:
        """Guards against invalid routings that take effect."""
        result = parse_routing(change(**changes))
        assert isinstance(result, Err)
        assert any(expected in str(f) for f in result.err_value)

    def test_all_findings_at_once(self) -> None:
        """Guards against findings that are reported one at a time."""
        document = change(
            routes__0__timeout_ms=0,
            routes__1__shares=[{"pool": "gone"}],
            client_accounts__1__keys=["k1"],
        )
        result = parse_routing(document)
        assert isinstance(result, Err)
        assert len(result.err_value) == 3

    def test_truncated_document(self) -> None:
        """Guards against a partial document that takes effect."""
        data = json.dumps(DOCUMENT).encode()
        assert isinstance(decode_routing(data), Ok)
        assert isinstance(decode_routing(data[:-20]), Err)

    def test_keys_are_not_shown(self) -> None:
        """Guards against secret keys in error messages."""
        document = change(client_accounts__0__keys="secret-key")
        result = parse_routing(document)
        assert isinstance(result, Err)
        assert not any("secret-key" in str(f) for f in result.err_value)
