"""The HTTP interface of a controller for operators and upstreams."""

from __future__ import annotations

import json
from typing import Any

import anyio
import pytest

from hornbeamyard.pool.upstream_registry import UpstreamState
from hornbeamyard.process.controller_app import build_controller_app
from hornbeamyard.process.interface import OrderResult, SubmissionResult

from .test_platform import FakeController

ANNOUNCEMENT: dict[str, Any] = {
    "pool": "app",
    "address": "10.0.0.9:80",
    "availability_zone": "zone-a",
    "slots": 4,
    "sequence": 1,
}


def call(
    controller: FakeController, method: str, path: str, document: Any = None
) -> tuple[int, Any]:
    """Call the application and return status and document."""
    sent: list[dict[str, Any]] = []
    body = b"" if document is None else json.dumps(document).encode()

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    scope = {"type": "http", "method": method, "path": path}
    anyio.run(build_controller_app(controller), scope, receive, send)
    return sent[0]["status"], json.loads(sent[1]["body"])


class TestRouting:
    """Operators submit and read the routing."""

    def test_returns_findings(self) -> None:
        """Guards against a refusal that doesn't list all findings."""
        controller = FakeController()
        controller.submitted = SubmissionResult(
            ("routes.0: bad", "pools.1: bad")
        )
        status, response = call(
            controller, "PUT", "/hornbeamyard/v1/routing", {}
        )
        assert status == 400
        assert response["findings"] == ["routes.0: bad", "pools.1: bad"]

    def test_read(self) -> None:
        """Guards against returning a routing that isn't confirmed."""
        controller = FakeController()
        assert call(controller, "GET", "/hornbeamyard/v1/routing") == (200, {})
        controller.document = None
        assert call(controller, "GET", "/hornbeamyard/v1/routing")[0] == 503


class TestEvacuations:
    """Operators evacuate availability zones and restore them."""

    def test_orders_and_status(self) -> None:
        """Guards against orders that are lost or turned round."""
        controller = FakeController()
        path = "/hornbeamyard/v1/evacuations/zone-1"
        assert call(controller, "PUT", path)[0] == 200
        assert call(controller, "DELETE", path)[0] == 200
        assert controller.orders == [("zone-1", True), ("zone-1", False)]
        assert call(controller, "POST", path)[0] == 404
        controller.ordered = OrderResult(("availability_zone: bad",))
        status, response = call(controller, "PUT", path)
        assert (status, response["findings"]) == (
            400,
            ["availability_zone: bad"],
        )
        assert call(controller, "GET", "/hornbeamyard/v1/status") == (200, {})
        controller.document = None
        assert call(controller, "GET", "/hornbeamyard/v1/status")[0] == 503


class TestUpstreams:
    """Upstreams announce themselves and leave."""

    def test_announce_and_withdraw(self) -> None:
        """Guards against announcements that are lost or misread."""
        controller = FakeController()
        path = "/hornbeamyard/v1/upstreams/u1"
        draining = {**ANNOUNCEMENT, "state": "draining", "sequence": 2}
        assert call(controller, "PUT", path, ANNOUNCEMENT)[0] == 200
        assert call(controller, "PUT", path, draining)[0] == 200
        assert call(controller, "DELETE", path)[0] == 200
        assert [u.state for u in controller.announced] == [
            UpstreamState.READY,
            UpstreamState.DRAINING,
        ]
        assert controller.withdrawn == [("u1", 0)]
        controller.is_confirmed = False
        assert call(controller, "DELETE", path)[0] == 503

    @pytest.mark.parametrize(
        "change",
        [{"slots": 0}, {"address": "nowhere"}, {"pool": None}, {"more": 1}],
    )
    def test_refuses_invalid_announcement(
        self, change: dict[str, Any]
    ) -> None:
        """Guards against recording an invalid announcement."""
        controller = FakeController()
        document = {**ANNOUNCEMENT, **change}
        path = "/hornbeamyard/v1/upstreams/u1"
        status, response = call(controller, "PUT", path, document)
        assert status == 400
        assert len(response["findings"]) == 1
        assert controller.announced == []

    def test_unknown_path(self) -> None:
        """Guards against handling calls to unknown paths."""
        assert call(FakeController(), "PUT", "/other", {})[0] == 404
