"""Whatever another program sends is refused, or can be stored and sent on."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from hornbeamyard.connection.directory_codec import (
    decode_upstream,
    encode_upstream,
)
from hornbeamyard.messages import fleet_pb2
from hornbeamyard.platform.calls import _parse_start, _parse_upstream
from hornbeamyard.platform.configuration import decode_configuration
from hornbeamyard.platform.headers import HEADER_NAMES
from hornbeamyard.pool.upstream_registry import (
    Upstream,
    UpstreamState,
    check_announcement,
    check_start,
)
from hornbeamyard.request.headers import (
    MAX_TOKENS,
    ForwardingMetadata,
    HeaderCodec,
)
from hornbeamyard.version.state import FleetState

TEXTS = st.text() | st.text(
    st.characters(min_codepoint=0xD7F0, max_codepoint=0xE00F)
)
VALUES: st.SearchStrategy[Any] = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | TEXTS
    | st.sampled_from(["ready", "10.0.0.9:80", "s1", "/x/", 2**64]),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3)
    ),
    max_leaves=4,
)
HEARTBEAT_FIELDS = {
    "service": st.just("s1"),
    "address": st.just("10.0.0.9:80"),
    "zone": st.just("z"),
    "version": st.just("v1"),
    "slots": st.just(64),
    "state": st.just("ready"),
    "models": st.just([{"name": "m"}]),
    "sequence": st.just(4),
    "born": st.just(1700000000000),
}
ROUTE_FIELDS = {
    "name": st.just("r-1"),
    "host": st.just("a.example"),
    "pathPrefix": st.just("/x/"),
    "routeKind": st.just("streaming"),
    "timeoutMs": st.just(9000),
    "service": st.just("s1"),
    "trafficSplit": st.just([{"service": "s1", "weight": 1}]),
}
POOL_FIELDS = {
    "name": st.just("s1"),
    "connectionLimit": st.just(40),
    "engine": st.just({"slots": 16, "kvCapacityTokens": 5000}),
}


def build_objects(
    fields: dict[str, st.SearchStrategy[Any]],
) -> st.SearchStrategy[dict[str, Any]]:
    """Return objects of which some fields have any value or are missing."""
    return st.fixed_dictionaries(
        {},
        optional={
            name: usual | usual | usual | VALUES
            for name, usual in fields.items()
        },
    )


def encode(document: Any) -> bytes:
    """Return JSON, with lone surrogates as escapes."""
    return json.dumps(document).encode()


@given(TEXTS, st.binary() | build_objects(HEARTBEAT_FIELDS).map(encode))
def test_heartbeats(id: str, body: bytes) -> None:
    """Guards against an upstream in the registry that can't be sent on."""
    upstream = _parse_upstream(id, body)
    if upstream is None or check_announcement(upstream):
        return
    upstream.last_seen_at = 10.0
    record = encode_upstream(upstream, 10.0)
    assert decode_upstream(record, 10.0) == upstream
    HeaderCodec(HEADER_NAMES).write_request(
        [], ForwardingMetadata(upstream.id, 1.0, upstream.pool)
    )


@given(TEXTS, st.binary() | build_objects({"born": st.just(12)}).map(encode))
def test_deregistrations(id: str, body: bytes) -> None:
    """Guards against the end of an upstream that can't be sent on."""
    start = _parse_start(id, body)
    if start is None or check_start(start):
        return
    gone = Upstream(
        start.id, "", "", "", UpstreamState.GONE, 0, 0, start.started_ms
    )
    encode_upstream(gone, 0.0)


@given(
    st.binary()
    | VALUES.map(encode)
    | build_objects(
        {
            "version": st.just(3),
            "routes": st.lists(build_objects(ROUTE_FIELDS), max_size=2),
            "services": st.lists(build_objects(POOL_FIELDS), max_size=2),
            "limits": st.just({"maxBodyBytes": 1000}),
            "tenants": st.just([{"name": "t", "apiKeys": ["a"]}]),
        }
    ).map(encode)
)
def test_configurations(data: bytes) -> None:
    """Guards against an exception, and names that can't be stored."""
    decoded = decode_configuration(data)
    if decoded.is_err():
        return
    routing = decoded.unwrap()
    fleet_pb2.RoutingSubmission(version=routing.version, document=data)
    for name in (*routing.pools, *routing.accounts, *routing.routes):
        assert name.encode()
        assert "\n" not in name


@given(st.binary() | VALUES.map(encode))
def test_patches(patch: bytes) -> None:
    """Guards against a log entry that ends each controller."""
    request = fleet_pb2.PatchRequest(patch_id="p1", patch=patch)
    FleetState().apply(fleet_pb2.LogEntry(index=1, term=1, patch=request))


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    b"x-request-id",
                    b"x-deadline-ms",
                    b"x-token-counts",
                    b"x-length-hint",
                    b"x-prompt-prefix",
                    b"api-key",
                    b"x-model",
                    b"resumes",
                ]
            ),
            st.binary(max_size=30)
            | st.integers().map(lambda number: b"%d,%d" % (number, number))
            | st.integers(0).map(lambda number: b"p:%d" % number),
        )
    )
)
def test_requests(headers: list[tuple[bytes, bytes]]) -> None:
    """Guards against headers of a caller that no report can hold."""
    metadata = HeaderCodec(HEADER_NAMES).read_request(headers)
    assert 0 <= metadata.prompt_tokens <= MAX_TOKENS
    assert 0 <= metadata.output_tokens <= MAX_TOKENS
    for part in metadata.parts:
        fleet_pb2.ReadPart(part=part.id, upstream="i-1")
        assert 0 <= part.tokens <= MAX_TOKENS
    fleet_pb2.StreamLookup(request_id=metadata.request_id)
