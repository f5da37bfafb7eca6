"""Tests of requests through real processes, with fake upstreams."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path

import httpcore
import pytest

from .fleet import CALLER_KEY_PREFIX, LocalFleet

POOL = "visitor-assistant"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    """Run one controller, two routers and two fake upstreams."""
    folder: Path = tmp_path_factory.mktemp("fleet")
    with LocalFleet(folder) as local:
        local.start()
        local.configure(local.build_document({POOL: "model"}))
        local.start_upstream(f"{POOL}-0", POOL)
        local.start_upstream(f"{POOL}-1", POOL)
        yield local


def complete(
    port: int, account: str = "hotel", **fields: object
) -> httpcore.Response:
    """Send a chat completion."""
    return httpcore.request(
        "POST",
        f"http://127.0.0.1:{port}/v1/chat/completions",
        headers={"authorization": f"Bearer {CALLER_KEY_PREFIX}{account}"},
        content=json.dumps({"model": POOL, **fields}).encode(),
        extensions={"timeout": {"read": 20.0}},
    )


@pytest.mark.process
class TestCompletion:
    """A caller gets the complete response to its own request."""

    @pytest.mark.requirement("R3")
    @pytest.mark.parametrize("router", [0, 1])
    def test_streams_complete_response(
        self, fleet: LocalFleet, router: int
    ) -> None:
        """Guards against truncated or mixed streams without any fault."""
        started = time.monotonic()
        response = complete(
            fleet.router_ports[router],
            id=f"request-{router}",
            stream=True,
            max_tokens=20,
        )
        assert response.status == 200
        events = response.content.decode().split("\n\n")
        tokens = [json.loads(event[6:]) for event in events[:20]]
        assert [token["token"] for token in tokens] == list(range(20))
        assert {token["id"] for token in tokens} == {f"request-{router}"}
        assert events[20] == "data: [DONE]"
        assert time.monotonic() - started < 10

    def test_refuses_unknown_key(self, fleet: LocalFleet) -> None:
        """Guards against serving callers without an account."""
        response = complete(fleet.router_ports[0], account="nobody")
        assert response.status == 401
        assert json.loads(response.content)["outcome"] == "not-run"

    def test_refuses_unknown_model(self, fleet: LocalFleet) -> None:
        """Guards against requests that no upstream can serve."""
        response = complete(fleet.router_ports[0], model="missing")
        assert response.status == 404
