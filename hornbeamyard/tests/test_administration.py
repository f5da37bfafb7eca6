"""Tests of the HTTP endpoints for operators and monitoring."""

from __future__ import annotations

import json
from collections.abc import MutableMapping
from dataclasses import dataclass, field
from typing import Any

import anyio
import pytest
from result import Err, Ok, Result

from hornbeamyard.connection.calls import Unreachable
from hornbeamyard.messages import fleet_pb2
from hornbeamyard.process.metrics import Metrics
from hornbeamyard.request.administration import MAX_PATCH_BYTES, Administration
from hornbeamyard.version.configuration import Configuration, hash_key

KEY = "operator-key-of-ana"
CONFIG = "/hornbeamyard/v1/admin/config"
HEADERS = {
    "authorization": f"Bearer {KEY}",
    "content-type": "application/json-patch+json",
    "if-match": '"7"',
    "hornbeamyard-patch-id": "raise-hotel-1",
}


@dataclass
class FakeCalls:
    """Replies to all calls to the lead controller with one message.

    Without a reply, each call fails with `Unreachable`.
    """

    reply: Any = None
    requests: list[tuple[str, Any]] = field(default_factory=list)

    async def call(
        self, method: str, request: Any, timeout_s: float
    ) -> Result[Any, Unreachable]:
        self.requests.append((method, request))
        if self.reply is None:
            reasons = {"127.0.0.1:1": "no answer in time"}
            return Err(Unreachable(reasons, may_have_run=True))
        return Ok(self.reply)


@dataclass
class Response:
    """The response of the application to one request."""

    status: int
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> Any:
        return json.loads(self.body)


def request(
    reply: Any = None,
    *,
    method: str = "PATCH",
    path: str = CONFIG,
    headers: dict[str, str] | None = None,
    body: bytes = b"[]",
    client: str = "10.0.0.9",
    calls: FakeCalls | None = None,
) -> Response:
    """Send one request; the lead controller replies with `reply`."""
    sent: list[MutableMapping[str, Any]] = []
    configuration = Configuration(7, operators={"ana": [hash_key(KEY)]})
    application = Administration(
        Metrics(), lambda: configuration, calls or FakeCalls(reply)
    )
    given = HEADERS if headers is None else headers
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "client": (client, 5000),
        "headers": [(k.encode(), v.encode()) for k, v in given.items()],
    }

    async def receive() -> MutableMapping[str, Any]:
        return {"type": "http.request", "body": body}

    async def send(message: MutableMapping[str, Any]) -> None:
        sent.append(message)

    anyio.run(application, scope, receive, send)
    found = {k.decode(): v.decode() for k, v in sent[0]["headers"]}
    return Response(sent[0]["status"], found, sent[1]["body"])


def build_result(outcome: int, *findings: str) -> fleet_pb2.PatchResult:
    """Return the result of a patch."""
    return fleet_pb2.PatchResult(outcome=outcome, version=8, findings=findings)


@pytest.mark.requirement("R13")
class TestPatch:
    """Patch outcomes; a refusal is a problem document (RFC 9457)."""

    def test_accepted(self) -> None:
        """Guards against losing the id, base version or operator."""
        calls = FakeCalls(build_result(fleet_pb2.ACCEPTED))
        response = request(calls=calls, body=b"[1]")
        assert response.status == 200
        assert response.headers["etag"] == '"8"'
        assert response.read_json() == {"outcome": "accepted", "version": 8}
        ((method, sent),) = calls.requests
        assert method == "SubmitPatch"
        assert (sent.patch_id, sent.base_version) == ("raise-hotel-1", 7)
        assert (sent.operator, sent.patch) == ("ana", b"[1]")

    @pytest.mark.parametrize(
        ("result", "status", "members"),
        [
            (build_result(fleet_pb2.STALE), 412, {"version": 8}),
            (
                build_result(fleet_pb2.INVALID, "a.share: is bad", "b: x: y"),
                422,
                {
                    "findings": [
                        {"place": "a.share", "message": "is bad"},
                        {"place": "b", "message": "x: y"},
                    ]
                },
            ),
            (None, 503, {"outcome": "unknown"}),
            (build_result(fleet_pb2.UNKNOWN), 503, {"outcome": "unknown"}),
        ],
    )
    def test_refused(
        self, result: Any, status: int, members: dict[str, Any]
    ) -> None:
        """Guards against outcomes that a client can't distinguish."""
        response = request(result)
        assert response.status == status
        assert response.headers["content-type"] == "application/problem+json"
        document = response.read_json()
        assert document["status"] == status
        assert members.items() <= document.items()
        if status == 503:
            assert "retry with the same patch id" in document["detail"]
            assert response.headers["retry-after"] == "1"

    @pytest.mark.requirement("R22")
    def test_all_findings_on_headers(self) -> None:
        """Guards against reporting only the first wrong header."""
        authorization = {"authorization": HEADERS["authorization"]}
        calls = FakeCalls()
        response = request(headers=authorization, calls=calls)
        assert response.status == 400
        assert [f["place"] for f in response.read_json()["findings"]] == [
            "header Content-Type",
            "header If-Match",
            "header Hornbeamyard-Patch-Id",
        ]
        assert not calls.requests

    def test_refuses_large_body(self) -> None:
        """Guards against a patch larger than a gRPC message."""
        response = request(body=b" " * (MAX_PATCH_BYTES + 1))
        assert response.status == 400
        assert response.read_json()["findings"][0]["place"] == "body"


class TestReads:
    """Reads of the configuration, the history and the status."""

    def test_configuration_has_etag(self) -> None:
        """Guards against an ETag that differs from the version read."""
        stored = fleet_pb2.ConfigurationReply(
            version=8, document=b'{"pools": {}}', found=True
        )
        response = request(stored, method="GET")
        assert (response.status, response.headers["etag"]) == (200, '"8"')
        assert response.read_json() == {"pools": {}}

    def test_history(self) -> None:
        """Guards against entries without operator or time."""
        entry = fleet_pb2.HistoryEntry(
            version=8, operator="ana", patch_id="x", time_ms=5
        )
        stored = fleet_pb2.HistoryReply(entries=[entry])
        path = "/hornbeamyard/v1/admin/history"
        response = request(stored, method="GET", path=path)
        assert response.read_json()["history"] == [
            {"version": 8, "operator": "ana", "patch_id": "x", "time_ms": 5}
        ]

    def test_status(self) -> None:
        """Guards against changes to the lead controller's document."""
        stored = fleet_pb2.StatusReply(document=b'{"leader": "x"}')
        path = "/hornbeamyard/v1/admin/status"
        response = request(stored, method="GET", path=path)
        assert response.read_json() == {"leader": "x"}

    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [
            ("DELETE", CONFIG, 405),
            ("POST", "/hornbeamyard/v1/admin/status", 405),
            ("GET", "/hornbeamyard/v1/admin/other", 404),
        ],
    )
    def test_refuses_unknown_paths_and_methods(
        self, method: str, path: str, status: int
    ) -> None:
        """Guards against serving unknown paths or methods."""
        assert request(method=method, path=path).status == status


class TestKeys:
    """Access with and without an operator's key."""

    @pytest.mark.parametrize(
        "headers",
        [
            {},
            {"authorization": "Bearer other"},
            {"authorization": "Bearer "},
            {"authorization": f"Basic {KEY}"},
        ],
    )
    @pytest.mark.parametrize(
        ("method", "path"),
        [
            ("PATCH", CONFIG),
            ("GET", CONFIG),
            ("GET", "/hornbeamyard/v1/admin/status"),
            ("GET", "/metrics"),
        ],
    )
    def test_refuses_without_key(
        self, headers: dict[str, str], method: str, path: str
    ) -> None:
        """Guards against access without an operator's key."""
        calls = FakeCalls()
        response = request(
            method=method, path=path, headers=headers, calls=calls
        )
        assert response.status == 401
        assert KEY not in response.body.decode()
        assert not calls.requests

    @pytest.mark.parametrize(
        ("client", "headers", "status"),
        [
            ("127.0.0.1", {}, 200),
            ("::1", {}, 200),
            ("10.0.0.9", HEADERS, 200),
            ("10.0.0.9", {}, 401),
            ("", {}, 401),
        ],
    )
    def test_metrics(
        self, client: str, headers: dict[str, str], status: int
    ) -> None:
        """Guards against metrics for remote clients without a key."""
        response = request(
            method="GET", path="/metrics", headers=headers, client=client
        )
        assert response.status == status
