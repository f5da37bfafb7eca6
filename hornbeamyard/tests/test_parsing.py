"""Tests of the checks on headers, bodies, paths and announcements."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import anyio
import pytest

from hornbeamyard.connection.limits import EMPTY_QUERY
from hornbeamyard.pool.backlog import Ticket
from hornbeamyard.pool.dispatch import Dispatch
from hornbeamyard.request.parsing import (
    Destination,
    build_upstream_request,
    find_destination,
)
from hornbeamyard.version.configuration import Configuration, Pool

from .in_process import MODEL, SERVICE, UPSTREAM_KEY, Response, run_in_process

CHAT = "/v1/chat/completions"
UPSTREAMS = "/hornbeamyard/v1/upstreams"
ANNOUNCEMENT = {
    "name": f"{MODEL}-0",
    "address": "http://127.0.0.1:9",
    "availability_zone": "centro",
    "pool": MODEL,
    "slots": 8,
}


def send(method: str, path: str, content: bytes, **options: Any) -> Response:
    """Send one request to a new router, which must go on serving."""

    async def run() -> Response:
        async with run_in_process(workers=1) as fleet:
            response = await fleet.send(method, path, content, **options)
            after = await fleet.post(CHAT, {"model": MODEL, "id": "after"})
            assert after.status == 200
            return response

    return anyio.run(run)


def find_places(response: Response) -> set[str]:
    """Return the headers or fields that the findings name."""
    document = json.loads(response.body)
    assert response.headers["content-type"] == "application/problem+json"
    assert document["status"] == response.status
    return {finding["place"] for finding in document.get("findings", [])}


class TestHeaders:
    """Invalid headers are refused, with all findings at once."""

    @pytest.mark.requirement("R22")
    def test_reports_all_findings(self) -> None:
        """Guards against reporting only the first invalid header."""
        response = send(
            "POST",
            CHAT,
            b"not json",
            hornbeamyard_priority="urgent",
            hornbeamyard_cost_hint="-1",
            hornbeamyard_deadline="soon",
            idempotency_key="a b",
        )
        assert response.status == 400
        assert find_places(response) == {
            "Hornbeamyard-Priority",
            "Hornbeamyard-Cost-Hint",
            "Hornbeamyard-Deadline",
            "Idempotency-Key",
            "",
        }

    @pytest.mark.requirement("R22")
    @pytest.mark.parametrize(
        "value", ["0", "-1", "nan", "inf", "1e9", "", "x"]
    )
    @pytest.mark.parametrize("name", ["cost_hint", "deadline"])
    def test_refuses_bad_seconds(self, name: str, value: str) -> None:
        """Guards against deadlines without effect."""
        response = send("POST", CHAT, b"{}", **{f"hornbeamyard_{name}": value})
        assert response.status == 400

    def test_removes_connection_headers_and_keys(self) -> None:
        """Guards against forwarding a caller's key to an upstream."""
        scope = {
            "method": "POST",
            "headers": [
                (b"authorization", b"Bearer key"),
                (b"connection", b"keep-alive, X-Hop"),
                (b"x-hop", b"1"),
                (b"host", b"router"),
                (b"transfer-encoding", b"chunked"),
                (b"expect", b"100-continue"),
                (b"accept-encoding", b"gzip"),
                (b"x-own", b"1"),
            ],
        }
        request = build_upstream_request(scope, b"/x", b"{}")
        own = (b"x-own", b"1")
        assert request.headers == [(b"accept-encoding", b"gzip"), own]
        # A claim doesn't keep the encoding of a response.
        claimed = build_upstream_request(scope, b"/x", b"{}", claimed=True)
        assert claimed.headers == [own]


class TestCostHints:
    """Cost hints of callers influence no decision."""

    @pytest.mark.requirement("R21", fault="cost hint missing or ten times off")
    def test_hint_does_not_reach_the_queue(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an account that gains slots by false hints."""
        tickets: list[Ticket] = []
        submit = Dispatch.submit

        def record(self: Dispatch, ticket: Ticket, now: float) -> object:
            tickets.append(ticket)
            return submit(self, ticket, now)

        monkeypatch.setattr(Dispatch, "submit", record)

        async def run() -> None:
            async with run_in_process() as fleet:
                document = {"model": MODEL, "id": "r"}
                await fleet.post(CHAT, document)
                for hint in ("0.001", "0.1", "3600"):
                    response = await fleet.post(
                        CHAT, document, hornbeamyard_cost_hint=hint
                    )
                    assert response.status == 200

        anyio.run(run)
        seen = [replace(t, received_at=0.0, start_by=0.0) for t in tickets]
        assert len({str(ticket) for ticket in seen}) == 1
        waits = {round(t.start_by - t.received_at, 6) for t in tickets}
        assert len(tickets) == 4
        assert len(waits) == 1


class TestBodies:
    """An invalid body gets a problem document, never a 500."""

    @pytest.mark.requirement("R22")
    @pytest.mark.parametrize(
        ("content", "status"),
        [
            (b"", 400),
            (b"not json", 400),
            (b"[]", 400),
            (b"null", 400),
            (b"\xff\xfe", 400),
            (b"[" * 100_000, 400),
            (b'{"model": 5}', 400),
            (b'{"model": ["a"]}', 400),
            (b'{"model": "missing"}', 404),
            (b'{"model": "notices"}', 404),
        ],
    )
    def test_refuses(self, content: bytes, status: int) -> None:
        """Guards against unhandled errors of the parser."""
        response = send("POST", CHAT, content)
        assert response.status == status
        assert response.get_outcome() == "not-run"

    def test_refuses_large_body(self) -> None:
        """Guards against unbounded memory for bodies."""

        async def run() -> Response:
            async with run_in_process(body_size=1024) as fleet:
                return await fleet.send("POST", CHAT, b"x" * 4096)

        response = anyio.run(run)
        assert response.status == 413
        assert response.get_outcome() == "not-run"


class TestPaths:
    """Unknown paths and methods get a problem document."""

    @pytest.mark.requirement("R22")
    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [
            ("GET", CHAT, 405),
            ("POST", "/v1/missing", 404),
            ("GET", "/", 404),
            ("POST", "/services/", 404),
            ("POST", "/services/missing/x", 404),
            ("POST", f"/services/{MODEL}/x", 404),
            ("GET", UPSTREAMS, 405),
            ("POST", f"{UPSTREAMS}/a/b/c", 404),
            ("POST", f"{UPSTREAMS}//leave", 404),
        ],
    )
    def test_refuses(self, method: str, path: str, status: int) -> None:
        """Guards against a 500 or an empty response."""
        response = send(method, path, b"{}")
        assert response.status == status
        assert response.get_outcome() == "not-run"

    def test_keeps_encoded_target(self) -> None:
        """Guards against decoding a path, which can change its meaning."""
        scope = {
            "method": "GET",
            "path": "/services/notices/a/b",
            "raw_path": b"/services/notices/a%2Fb",
            "query_string": b"c=%20d",
        }
        pools = {SERVICE: Pool(SERVICE, "service")}
        destination = find_destination(
            scope, b"", Configuration(1, pools=pools)
        )
        assert destination.ok_value == Destination(SERVICE, b"/a%2Fb?c=%20d")

    def test_keeps_empty_query(self) -> None:
        """Guards against a target that loses its question mark."""
        path = "/services/notices/a"
        scope = {
            "method": "GET",
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "extensions": {EMPTY_QUERY: {}},
        }
        pools = {SERVICE: Pool(SERVICE, "service")}
        configuration = Configuration(1, pools=pools)
        destination = find_destination(scope, b"", configuration)
        assert destination.ok_value == Destination(SERVICE, b"/a?")


class TestAnnouncements:
    """Every field of an announcement is checked."""

    @pytest.mark.requirement("R22")
    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("address", "http://example.org:80"),
            ("address", None),
            ("availability_zone", ""),
            ("pool", "missing"),
            ("pool", {}),
            ("slots", 0),
            ("slots", "8"),
            ("slots", True),
            ("checks_fencing", 1),
            ("repeatable", "yes"),
            ("lease_s", 0),
            ("lease_s", 1e9),
            ("leaving", "no"),
            ("load_running", -1),
            ("load_waiting", 2**40),
            ("incarnation", 2**64),
            ("announced_at", 5),
        ],
    )
    def test_refuses_field(self, field: str, value: object) -> None:
        """Guards against values that break the router or a message."""
        document = {**ANNOUNCEMENT, field: value}
        content = json.dumps(document).encode()
        response = send("POST", UPSTREAMS, content, key=UPSTREAM_KEY)
        assert response.status == 400
        assert find_places(response) == {field}

    @pytest.mark.requirement("R22")
    def test_reports_all_fields(self) -> None:
        """Guards against reporting only the first invalid field."""
        content = json.dumps({"name": f"{MODEL}-0", "slot": 1}).encode()
        response = send("POST", UPSTREAMS, content, key=UPSTREAM_KEY)
        assert find_places(response) == {
            "address",
            "availability_zone",
            "pool",
            "slots",
            "slot",
        }

    @pytest.mark.parametrize("content", [b"", b"[]", b"{", b'"x"'])
    def test_refuses_body(self, content: bytes) -> None:
        """Guards against a 500 for a body that isn't an object."""
        response = send("POST", UPSTREAMS, content, key=UPSTREAM_KEY)
        assert response.status == 400

    def test_refuses_wrong_key(self) -> None:
        """Guards against upstreams that are not configured."""
        content = json.dumps(ANNOUNCEMENT).encode()
        assert send("POST", UPSTREAMS, content, key="wrong").status == 403
        path = f"{UPSTREAMS}/{MODEL}-0/leave"
        assert send("POST", path, b"", key="wrong").status == 403

    @pytest.mark.requirement("R6", fault="upstream leaves")
    def test_leaving_upstream_gets_no_requests(self) -> None:
        """Guards against new requests at an upstream that leaves."""

        async def run() -> None:
            async with run_in_process(workers=2) as fleet:
                path = f"{UPSTREAMS}/{MODEL}-0/leave"
                left = await fleet.send("POST", path, key=UPSTREAM_KEY)
                assert left.status == 200
                for number in range(10):
                    await fleet.post(
                        CHAT, {"model": MODEL, "id": f"r{number}"}
                    )
                assert fleet.upstreams[0].journal == []

        anyio.run(run)
