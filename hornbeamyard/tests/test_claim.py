"""Tests of claims on non-idempotent requests, with a fake controller."""

from __future__ import annotations

import json
import time

import anyio
import pytest

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.request.exchange import MAX_RECORDED_BYTES

from .in_process import MODEL, SERVICE, Response, run_in_process

NOTICES = "/services/notices/"


class TestClaim:
    """A claimed request runs at most once, whatever is lost."""

    @pytest.mark.requirement("R5", fault="request resent through two routers")
    def test_replays_recorded_response(self) -> None:
        """Guards against running a request again that is sent twice."""

        async def run() -> None:
            async with run_in_process(SERVICE, routers=2) as fleet:
                document = {"id": "one"}
                first = await fleet.post(
                    NOTICES, document, 0, idempotency_key="k"
                )
                second = await fleet.post(
                    NOTICES, document, 1, idempotency_key="k"
                )
                assert second.body == first.body
                assert second.headers["content-type"] == "application/json"
                assert second.headers["hornbeamyard-repeated-answer"]
                assert fleet.count_runs("one") == 1

        anyio.run(run)

    @pytest.mark.requirement("R5", fault="request sent twice concurrently")
    def test_runs_one_of_concurrent_requests(self) -> None:
        """Guards against a race of one key between two routers."""

        async def run() -> None:
            async with run_in_process(SERVICE, routers=2) as fleet:
                responses: list[Response] = []

                async def send(router: int) -> None:
                    responses.append(
                        await fleet.post(
                            NOTICES,
                            {"id": "race"},
                            router,
                            idempotency_key="race",
                        )
                    )

                async with anyio.create_task_group() as tasks:
                    for number in range(10):
                        tasks.start_soon(send, number % 2)
                assert fleet.count_runs("race") == 1
                assert {r.status for r in responses} == {200, 409}

        anyio.run(run)

    @pytest.mark.requirement("R5", fault="key reused for another request")
    def test_refuses_other_body(self) -> None:
        """Guards against the response to a different request."""

        async def run() -> None:
            async with run_in_process(SERVICE) as fleet:
                await fleet.post(NOTICES, {"id": "a"}, idempotency_key="k")
                response = await fleet.post(
                    NOTICES, {"id": "b"}, idempotency_key="k"
                )
                assert response.status == 422
                assert fleet.count_runs("b") == 0

        anyio.run(run)

    @pytest.mark.requirement("R5", fault="reply to the claim lost")
    def test_resends_lost_claim(self) -> None:
        """Guards against taking the router's own claim for another's."""

        async def run() -> None:
            async with run_in_process(SERVICE) as fleet:
                fleet.controller.lost_replies = 2
                response = await fleet.post(
                    NOTICES, {"id": "lost"}, idempotency_key="k"
                )
                assert response.status == 200
                assert fleet.count_runs("lost") == 1

        anyio.run(run)

    @pytest.mark.requirement("R4", fault="no quorum")
    def test_runs_nothing_without_quorum(self) -> None:
        """Guards against a run without a durable claim, or a late response."""

        async def run() -> None:
            async with run_in_process(SERVICE) as fleet:
                fleet.controller.has_quorum = False
                started = time.monotonic()
                response = await fleet.post(
                    NOTICES,
                    {"id": "none"},
                    idempotency_key="k",
                    hornbeamyard_deadline="0.3",
                )
                assert time.monotonic() - started < 1.5
                assert response.status == 503
                assert response.get_outcome() == "not-run"
                assert int(response.headers["retry-after"]) >= 1
                assert fleet.count_runs("none") == 0
                fleet.controller.has_quorum = True
                again = await fleet.post(
                    NOTICES, {"id": "none"}, idempotency_key="k"
                )
                assert again.status == 200

        anyio.run(run)

    @pytest.mark.requirement("R5", fault="connection reset, request resent")
    def test_keeps_claim_of_unknown_outcome(self) -> None:
        """Guards against releasing a claim whose request may have run."""

        async def run() -> None:
            async with run_in_process(SERVICE, routers=2) as fleet:
                document = {"id": "lost", "fault": "reset"}
                for router in (0, 1):
                    response = await fleet.post(
                        NOTICES, document, router, idempotency_key="k"
                    )
                    assert response.get_outcome() == "unknown"
                assert fleet.count_runs("lost") == 1
                kinds = [op.kind for op in fleet.controller.operations]
                assert fleet_pb2.ClaimOperation.RELEASE not in kinds

        anyio.run(run)

    @pytest.mark.requirement("R4", fault="upstream refuses the request")
    def test_releases_before_responding(self) -> None:
        """Guards against a claim that blocks a retry after a refusal."""

        async def run() -> None:
            async with run_in_process(SERVICE, routers=2, workers=1) as fleet:
                document = {"id": "busy", "fault": "refuse"}
                response = await fleet.post(
                    NOTICES, document, 0, idempotency_key="k"
                )
                assert response.get_outcome() == "not-run"
                assert fleet.controller.claims == {}
                assert fleet.count_runs("busy") == 0

        anyio.run(run)

    @pytest.mark.requirement("R5", fault="response too large to record")
    def test_reports_that_response_was_not_kept(self) -> None:
        """Guards against replaying a truncated response."""

        async def run() -> None:
            async with run_in_process(SERVICE) as fleet:
                document = {"id": "big", "padding": MAX_RECORDED_BYTES}
                await fleet.post(NOTICES, document, idempotency_key="k")
                again = await fleet.post(
                    NOTICES, document, idempotency_key="k"
                )
                assert again.status == 409
                assert again.get_outcome() == "unknown"
                assert fleet.count_runs("big") == 1

        anyio.run(run)

    def test_batches(self) -> None:
        """Guards against a call to the controller for each request."""

        async def run() -> None:
            async with run_in_process(SERVICE) as fleet:
                async with anyio.create_task_group() as tasks:
                    for number in range(60):
                        tasks.start_soon(send, fleet, number)
                await fleet.routers[0]._claims.flush()
                assert sum(fleet.controller.batch_sizes) >= 120
                assert len(fleet.controller.batch_sizes) < 60

        async def send(fleet: object, number: int) -> None:
            key = f"k{number}"
            response = await fleet.post(  # type: ignore[attr-defined]
                NOTICES, {"id": key, "max_tokens": 1}, idempotency_key=key
            )
            assert json.loads(response.body)["id"] == key

        anyio.run(run)

    def test_does_not_claim_repeatable_requests(self) -> None:
        """Guards against a commit for requests that may run twice anyway."""

        async def run() -> None:
            async with run_in_process() as fleet:
                await fleet.post(
                    "/v1/chat/completions",
                    {"model": MODEL, "id": "m"},
                    idempotency_key="k",
                )
                assert fleet.controller.operations == []

        anyio.run(run)
