"""Tests of the adapter to the users' platform."""

from __future__ import annotations

import copy
import json
from typing import Any

import anyio
import pytest
from result import Err, Ok, Result

from hornbeamyard.platform.calls import build_app
from hornbeamyard.platform.configuration import decode_configuration
from hornbeamyard.platform.headers import HEADER_NAMES
from hornbeamyard.pool.demand import PromptPart
from hornbeamyard.pool.upstream_registry import (
    Upstream,
    UpstreamStart,
    UpstreamState,
    check_announcement,
)
from hornbeamyard.process.interface import OrderResult, SubmissionResult
from hornbeamyard.process.validation import Finding
from hornbeamyard.request.headers import (
    MAX_DEADLINE_MS,
    MAX_TOKENS,
    ForwardingMetadata,
    HeaderCodec,
)

CONFIGURATION: dict[str, Any] = {
    "version": 12,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "pathPrefix": "/x/",
            "routeKind": "streaming",
            "timeoutMs": 9000,
            "targetLatencyMs": 900,
            "priority": 2,
            "trafficSplit": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "maxAttempts": 2,
            "public": False,
            "stickySessions": True,
            "streamResumption": True,
            "targetGapMs": 500,
            "newField": "of a later platform",
        },
        {
            "name": "r-2",
            "host": "a.example",
            "pathPrefix": "/y/",
            "routeKind": "non_idempotent",
            "timeoutMs": 1000,
            "service": "s2",
        },
    ],
    "services": [
        {
            "name": "s1",
            "healthCheckPath": "/health",
            "connectionLimit": 40,
            "engine": {
                "slots": 16,
                "kvCapacityTokens": 5000,
                "stride": 6,
                "tokenKvBytes": 20000,
                "linkMbps": 400000,
                "moves": True,
            },
        },
        {"name": "s2", "connectionLimit": 20},
    ],
    "limits": {"maxBodyBytes": 1000, "tokensPerS": 70000},
    "tenants": [{"name": "t", "apiKeys": ["a", "b"], "priority": 1}],
}


class TestConfiguration:
    """Translation of the platform's configuration document."""

    def test_translates_fields(self) -> None:
        """Guards against fields that are lost or get a wrong meaning."""
        document = json.dumps(CONFIGURATION).encode()
        routing = decode_configuration(document).unwrap()
        assert routing.version == 12
        route = routing.routes["r-1"]
        assert route.streaming
        assert route.is_repeatable()
        assert [(s.pool, s.weight) for s in route.shares] == [
            ("s1", 90),
            ("s2", 10),
        ]
        assert routing.routes["r-2"].max_attempts == 1
        assert not routing.routes["r-2"].is_repeatable()
        engine = routing.pools["s1"]
        assert engine.is_engine()
        assert (engine.slots, engine.tokens_per_event) == (16, 6)
        # 20,000 bytes (160 kbit) per token at 400 Mbit per ms.
        assert engine.compute_token_copy_ms() == pytest.approx(0.0004)
        assert not routing.pools["s2"].is_engine()
        assert routing.pools["s2"].cold_rate == 0

    @pytest.mark.parametrize("service", [0, 1])
    def test_cold_rate(self, service: int) -> None:
        """Guards against a rate of cold upstreams that is ignored."""
        document = copy.deepcopy(CONFIGURATION)
        document["services"][service] |= {"coldPerS": 6.9, "coldStartS": 3.0}
        routing = decode_configuration(json.dumps(document).encode()).unwrap()
        pool = routing.pools[document["services"][service]["name"]]
        assert (pool.cold_rate, pool.cold_start_s) == (6.9, 3.0)

    def test_engine_without_copying(self) -> None:
        """Guards against KV cache copies that an engine doesn't support."""
        document = copy.deepcopy(CONFIGURATION)
        document["services"][0]["engine"]["moves"] = False
        routing = decode_configuration(json.dumps(document).encode()).unwrap()
        assert routing.pools["s1"].compute_token_copy_ms() == 0.0
        assert routing.limits.tokens_per_s == 70000
        account = routing.find_account("b")
        assert account is not None
        assert account.name == "t"

    @pytest.mark.parametrize(
        ("key_path", "value"),
        [
            (("routes", 0, "timeoutMs"), 0),
            (("routes", 1, "service"), "s9"),
            # Beside a split, which doesn't name it.
            (("routes", 0, "service"), "s9"),
            (("routes", 1, "pathPrefix"), "/x/"),
            (("routes", 0, "trafficSplit", 0, "weight"), 0),
            (("routes",), None),
            (("services",), 7),
            (("version",), None),
            (("limits",), 7),
            (("services", 0, "coldPerS"), -1),
            (("services", 0, "coldStartS"), "3"),
            (("routes", 1, "routeKind"), "sometimes"),
        ],
    )
    def test_invalid_document(
        self, key_path: tuple[Any, ...], value: Any
    ) -> None:
        """Guards against routing by a document with a wrong field."""
        document = copy.deepcopy(CONFIGURATION)
        document["routes"][0]["trafficSplit"][1]["weight"] = 0
        node = document
        for key in key_path[:-1]:
            node = node[key]
        node[key_path[-1]] = value
        data = json.dumps(document).encode()
        assert isinstance(decode_configuration(data), Err)

    @pytest.mark.parametrize("service", ["s1", "s2", None])
    def test_service_beside_split(self, service: str | None) -> None:
        """Guards against a split that a route's service changes."""
        document = copy.deepcopy(CONFIGURATION)
        document["routes"][0]["service"] = service
        routing = decode_configuration(json.dumps(document).encode()).unwrap()
        assert [(s.pool, s.weight) for s in routing.routes["r-1"].shares] == [
            ("s1", 90),
            ("s2", 10),
        ]

    @pytest.mark.parametrize("data", [b"", b"[]", b'{"version":', b"\xff"])
    def test_unreadable_document(self, data: bytes) -> None:
        """Guards against an exception for a document that isn't an object."""
        assert isinstance(decode_configuration(data), Err)

    def test_key_of_two_accounts(self) -> None:
        """Guards against a key that identifies two client accounts."""
        document = copy.deepcopy(CONFIGURATION)
        document["tenants"].append({"name": "u", "apiKeys": ["b"]})
        data = json.dumps(document).encode()
        assert isinstance(decode_configuration(data), Err)


class TestHeaders:
    """Translation between the platform's headers and metadata."""

    def test_reads_request(self) -> None:
        """Guards against headers that are misread or lost."""
        metadata = HeaderCodec(HEADER_NAMES).read_request(
            [
                (b"X-Request-Id", b"r1"),
                (b"x-deadline-ms", b"2500"),
                (b"api-key", b"k"),
                (b"x-model", b"m"),
                (b"x-token-counts", b"1460,80"),
                (b"x-length-hint", b"60"),
                (b"x-prompt-prefix", b"5c1e:800,91bd:410,e440:250"),
                (b"resumes", b"r0"),
                (b"last-event-id", b"12"),
            ]
        )
        assert (metadata.request_id, metadata.deadline_ms) == ("r1", 2500)
        assert (metadata.key, metadata.model) == ("k", "m")
        assert (metadata.prompt_tokens, metadata.output_tokens) == (1460, 80)
        assert metadata.expected_tokens == 60
        assert metadata.parts[-1] == PromptPart("e440", 250)
        assert (metadata.resumes, metadata.last_event_id) == ("r0", "12")

    @pytest.mark.parametrize(
        "headers",
        [
            [],
            [(b"x-token-counts", b"many")],
            [(b"x-deadline-ms", b"-5"), (b"x-prompt-prefix", b":,x:y,")],
        ],
    )
    def test_missing_or_invalid_headers(
        self, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Guards against an exception for missing or invalid headers."""
        metadata = HeaderCodec(HEADER_NAMES).read_request(headers)
        assert metadata.deadline_ms is None
        assert metadata.prompt_tokens == 0
        assert metadata.parts == ()

    def test_numbers_out_of_range(self) -> None:
        """Guards against counts that no report to a controller holds."""
        huge = b"9" * 5000
        metadata = HeaderCodec(HEADER_NAMES).read_request(
            [
                (b"x-deadline-ms", b"1e300"),
                (b"x-token-counts", b"%b,-7" % huge),
                (b"x-length-hint", b"1e300"),
                (b"x-prompt-prefix", b"p:%b,q:%d" % (huge, 10**12)),
            ]
        )
        assert metadata.deadline_ms == MAX_DEADLINE_MS
        assert (metadata.prompt_tokens, metadata.output_tokens) == (
            MAX_TOKENS,
            0,
        )
        assert metadata.expected_tokens == MAX_TOKENS
        assert [part.tokens for part in metadata.parts] == [MAX_TOKENS] * 2

    def test_removes_router_only_headers(self) -> None:
        """Guards against callers that forge headers of the router."""
        forged = [
            (b"x-tenant", b"someone"),
            (b"x-expect-instance", b"i-9"),
            (b"x-hold", b"1"),
            (b"x-pin-ms", b"1"),
            (b"x-kv-backup", b"1"),
            (b"kv-from", b"1"),
            (b"kv-fetch", b"1"),
            (b"api-key", b"k"),
            (b"x-deadline-ms", b"99999"),
            (b"x-request-id", b"r1"),
        ]
        forwarded = HeaderCodec(HEADER_NAMES).write_request(
            forged, ForwardingMetadata("i-1", 1234.5, "t")
        )
        assert sorted(forwarded) == [
            (b"x-deadline-ms", b"1234"),
            (b"x-expect-instance", b"i-1"),
            (b"x-request-id", b"r1"),
            (b"x-tenant", b"t"),
        ]


class FakeController:
    """Records the requests of operators and upstreams."""

    def __init__(self) -> None:
        self.announced: list[Upstream] = []
        self.withdrawn: list[tuple[str, int]] = []
        self.submitted = SubmissionResult(version=3)
        self.document: bytes | None = b"{}"
        self.is_confirmed = True
        self.orders: list[tuple[str, bool]] = []
        self.ordered = OrderResult()

    async def submit_routing(self, document: bytes) -> SubmissionResult:
        """Return the prepared result."""
        return self.submitted

    async def read_routing(self) -> bytes | None:
        """Return the prepared document."""
        return self.document

    async def order_evacuation(
        self, availability_zone: str, evacuated: bool
    ) -> OrderResult:
        """Record an order and return the prepared result."""
        self.orders.append((availability_zone, evacuated))
        return self.ordered

    async def read_status(self) -> bytes | None:
        """Return the prepared document."""
        return self.document

    def announce(self, upstream: Upstream) -> list[Finding]:
        """Record an announcement."""
        self.announced.append(upstream)
        return []

    async def withdraw(
        self, start: UpstreamStart
    ) -> Result[bool, list[Finding]]:
        """Record an upstream that leaves."""
        self.withdrawn.append((start.id, start.started_ms))
        return Ok(self.is_confirmed)


def call(
    controller: FakeController, method: str, path: str, body: bytes = b""
) -> tuple[int, bytes]:
    """Send a request to the controller's application."""
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    scope = {"type": "http", "method": method, "path": path}
    anyio.run(build_app(controller), scope, receive, send)
    return sent[0]["status"], sent[1]["body"]


HEARTBEAT: dict[str, Any] = {
    "service": "s1",
    "address": "10.0.0.9:80",
    "zone": "z",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldRemainingMs": 0,
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1700000000000,
}


class TestCalls:
    """Requests of the platform reach the controller."""

    @pytest.mark.parametrize(
        ("submitted", "expected"),
        [
            (SubmissionResult(version=3), 200),
            (SubmissionResult(("routes.0: bad",)), 400),
            (SubmissionResult(conflict=True), 409),
            (SubmissionResult(decided=False), 503),
        ],
    )
    def test_submit(self, submitted: SubmissionResult, expected: int) -> None:
        """Guards against a status that hides the outcome of a submission."""
        controller = FakeController()
        controller.submitted = submitted
        status, _ = call(controller, "POST", "/Configuration.Replace", b"{}")
        assert status == expected

    @pytest.mark.parametrize(
        ("ordered", "expected"),
        [
            (OrderResult(), 200),
            (OrderResult(("availability_zone: bad",)), 400),
            (OrderResult(is_full=True), 409),
            (OrderResult(decided=False), 503),
        ],
    )
    def test_evacuate(self, ordered: OrderResult, expected: int) -> None:
        """Guards against a status that ends or repeats an order wrongly."""
        controller = FakeController()
        controller.ordered = ordered
        for action in ("Start", "Finish"):
            path = f"/Evacuations.{action}/zone/1"
            assert call(controller, "POST", path)[0] == expected
        assert controller.orders == [("zone/1", True), ("zone/1", False)]
        assert call(controller, "GET", "/Evacuations.Start/a")[0] == 404

    def test_read_without_confirmed_document(self) -> None:
        """Guards against a response with an outdated version."""
        controller = FakeController()
        assert call(controller, "GET", "/Configuration.Read") == (200, b"{}")
        controller.document = None
        assert call(controller, "GET", "/Configuration.Read")[0] == 503

    def test_heartbeat(self) -> None:
        """Guards against fields that are lost or get a wrong meaning."""
        controller = FakeController()
        body = json.dumps(HEARTBEAT).encode()
        status, _ = call(controller, "POST", "/Instances.Heartbeat/i-1", body)
        assert status == 200
        [upstream] = controller.announced
        assert (upstream.id, upstream.pool, upstream.slots) == (
            "i-1",
            "s1",
            64,
        )
        assert upstream.state is UpstreamState.READY
        assert upstream.started_ms == 1700000000000
        assert upstream.models == ("m",)
        assert upstream.software_version == "v1"

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("service", None),
            ("address", 7),
            ("state", "asleep"),
            ("state", []),
            ("sequence", "4"),
            ("sequence", True),
            ("slots", 1.5),
            ("born", "yesterday"),
            ("models", 3),
            ("version", 2),
            ("coldRemainingMs", "40"),
            ("coldRemainingMs", True),
            ("coldRemainingMs", [40]),
        ],
    )
    def test_ignores_invalid_heartbeat(self, field: str, value: Any) -> None:
        """Guards against upstreams with fields of the wrong type."""
        controller = FakeController()
        body = json.dumps({**HEARTBEAT, field: value}).encode()
        call(controller, "POST", "/Instances.Heartbeat/i-1", body)
        assert controller.announced == []

    @pytest.mark.parametrize(
        ("remaining_ms", "expected"),
        [(None, None), (0, 0), (12.2, 13), (-5, 0), (10**30, 3_600_000)],
    )
    def test_cold_upstream(
        self, remaining_ms: float | None, expected: int | None
    ) -> None:
        """Guards against a time that is lost, or that loses the upstream."""
        controller = FakeController()
        heartbeat = {**HEARTBEAT, "coldRemainingMs": remaining_ms}
        body = json.dumps(heartbeat).encode()
        call(controller, "POST", "/Instances.Heartbeat/i-1", body)
        [upstream] = controller.announced
        assert upstream.cold_remaining_ms == expected
        assert check_announcement(upstream) == []

    @pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b"{"])
    def test_ignores_unreadable_heartbeat(self, body: bytes) -> None:
        """Guards against an exception for a body that isn't an object."""
        controller = FakeController()
        call(controller, "POST", "/Instances.Heartbeat/i-1", body)
        assert controller.announced == []

    @pytest.mark.parametrize("body", [b'{"born": "x"}', b"\xff", b"[]"])
    def test_ignores_unreadable_deregistration(self, body: bytes) -> None:
        """Guards against an upstream that another program removes."""
        controller = FakeController()
        status, _ = call(controller, "POST", "/Instances.Deregister/i-1", body)
        assert status == 400
        assert controller.withdrawn == []

    @pytest.mark.parametrize(
        ("body", "expected"), [(b"", 0), (b"{}", 0), (b'{"born": 12}', 12)]
    )
    def test_deregister(self, body: bytes, expected: int) -> None:
        """Guards against a removal without id or start time."""
        controller = FakeController()
        status, _ = call(controller, "POST", "/Instances.Deregister/i-1", body)
        assert status == 200
        assert controller.withdrawn == [("i-1", expected)]

    def test_unconfirmed_deregistration(self) -> None:
        """Guards against a farewell that no other process knows of."""
        controller = FakeController()
        controller.is_confirmed = False
        path = "/Instances.Deregister/i-1"
        assert call(controller, "POST", path)[0] == 503
