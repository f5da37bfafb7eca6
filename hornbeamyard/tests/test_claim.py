"""Tests of claims on non-idempotent requests, with a fake claim service."""

from __future__ import annotations

import json
import time

import anyio
import pytest

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.request.exchange import MAX_RECORDED_BYTES

from .rig import MODEL, SERVICE, Reply, run_rig

NOTICES = "/services/notices/"


class TestClaim:
    """A claimed request runs at most once, whatever is lost."""

    @pytest.mark.requirement("R5", fault="resent through two routers")
    def test_replays_recorded_response(self) -> None:
        """Guards against running a request again that is sent twice."""

        async def run() -> None:
            async with run_rig(SERVICE, routers=2) as rig:
                document = {"id": "one"}
                first = await rig.call(
                    NOTICES, document, 0, idempotency_key="k"
                )
                second = await rig.call(
                    NOTICES, document, 1, idempotency_key="k"
                )
                assert second.body == first.body
                assert second.headers["content-type"] == "application/json"
                assert second.headers["hornbeamyard-repeated-answer"]
                assert rig.count_runs("one") == 1

        anyio.run(run)

    @pytest.mark.requirement("R5", fault="sent twice at the same time")
    def test_runs_one_of_concurrent_requests(self) -> None:
        """Guards against a race of one key between two routers."""

        async def run() -> None:
            async with run_rig(SERVICE, routers=2) as rig:
                replies: list[Reply] = []

                async def send(router: int) -> None:
                    replies.append(
                        await rig.call(
                            NOTICES,
                            {"id": "race"},
                            router,
                            idempotency_key="race",
                        )
                    )

                async with anyio.create_task_group() as tasks:
                    for number in range(10):
                        tasks.start_soon(send, number % 2)
                assert rig.count_runs("race") == 1
                assert {r.status for r in replies} == {200, 409}

        anyio.run(run)

    @pytest.mark.requirement("R5", fault="key reused for another request")
    def test_refuses_other_body(self) -> None:
        """Guards against the response to a different request."""

        async def run() -> None:
            async with run_rig(SERVICE) as rig:
                await rig.call(NOTICES, {"id": "a"}, idempotency_key="k")
                reply = await rig.call(
                    NOTICES, {"id": "b"}, idempotency_key="k"
                )
                assert reply.status == 422
                assert rig.count_runs("b") == 0

        anyio.run(run)

    @pytest.mark.requirement("R5", fault="reply of the claim lost")
    def test_resends_lost_claim(self) -> None:
        """Guards against taking the router's own claim for another's."""

        async def run() -> None:
            async with run_rig(SERVICE) as rig:
                rig.claims.lost_replies = 2
                reply = await rig.call(
                    NOTICES, {"id": "lost"}, idempotency_key="k"
                )
                assert reply.status == 200
                assert rig.count_runs("lost") == 1

        anyio.run(run)

    @pytest.mark.requirement("R4", fault="no quorum")
    def test_runs_nothing_without_quorum(self) -> None:
        """Guards against a run without a durable claim, or a late reply."""

        async def run() -> None:
            async with run_rig(SERVICE) as rig:
                rig.claims.has_quorum = False
                started = time.monotonic()
                reply = await rig.call(
                    NOTICES,
                    {"id": "none"},
                    idempotency_key="k",
                    hornbeamyard_deadline="0.3",
                )
                assert time.monotonic() - started < 1.5
                assert reply.status == 503
                assert reply.get_outcome() == "not-run"
                assert int(reply.headers["retry-after"]) >= 1
                assert rig.count_runs("none") == 0
                rig.claims.has_quorum = True
                again = await rig.call(
                    NOTICES, {"id": "none"}, idempotency_key="k"
                )
                assert again.status == 200

        anyio.run(run)

    @pytest.mark.requirement("R5", fault="lost while sent, resent")
    def test_keeps_claim_of_unknown_outcome(self) -> None:
        """Guards against releasing a claim whose request may have run."""

        async def run() -> None:
            async with run_rig(SERVICE, routers=2) as rig:
                document = {"id": "lost", "fault": "reset"}
                for router in (0, 1):
                    reply = await rig.call(
                        NOTICES, document, router, idempotency_key="k"
                    )
                    assert reply.get_outcome() == "unknown"
                assert rig.count_runs("lost") == 1
                kinds = [op.kind for op in rig.claims.operations]
                assert fleet_pb2.ClaimOperation.RELEASE not in kinds

        anyio.run(run)

    @pytest.mark.requirement("R4", fault="refused by the upstream")
    def test_releases_before_responding(self) -> None:
        """Guards against a claim that blocks a retry after a refusal."""

        async def run() -> None:
            async with run_rig(SERVICE, routers=2, workers=1) as rig:
                document = {"id": "busy", "fault": "refuse"}
                reply = await rig.call(
                    NOTICES, document, 0, idempotency_key="k"
                )
                assert reply.get_outcome() == "not-run"
                assert rig.claims.table == {}
                assert rig.count_runs("busy") == 0

        anyio.run(run)

    @pytest.mark.requirement("R5", fault="answer too large to keep")
    def test_reports_that_response_was_not_kept(self) -> None:
        """Guards against replaying a truncated response."""

        async def run() -> None:
            async with run_rig(SERVICE) as rig:
                document = {"id": "big", "padding": MAX_RECORDED_BYTES}
                await rig.call(NOTICES, document, idempotency_key="k")
                again = await rig.call(NOTICES, document, idempotency_key="k")
                assert again.status == 409
                assert again.get_outcome() == "unknown"
                assert rig.count_runs("big") == 1

        anyio.run(run)

    def test_batches(self) -> None:
        """Guards against a call to the controller for each request."""

        async def run() -> None:
            async with run_rig(SERVICE) as rig:
                async with anyio.create_task_group() as tasks:
                    for number in range(60):
                        tasks.start_soon(send, rig, number)
                await rig.routers[0]._claims.flush()
                assert sum(rig.claims.batches) >= 120
                assert len(rig.claims.batches) < 60

        async def send(rig: object, number: int) -> None:
            key = f"k{number}"
            reply = await rig.call(  # type: ignore[attr-defined]
                NOTICES, {"id": key, "max_tokens": 1}, idempotency_key=key
            )
            assert json.loads(reply.body)["id"] == key

        anyio.run(run)

    def test_does_not_claim_repeatable_requests(self) -> None:
        """Guards against a commit for requests that may run twice anyway."""

        async def run() -> None:
            async with run_rig() as rig:
                await rig.call(
                    "/v1/chat/completions",
                    {"model": MODEL, "id": "m"},
                    idempotency_key="k",
                )
                assert rig.claims.operations == []

        anyio.run(run)
