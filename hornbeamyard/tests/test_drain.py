"""Tests of the drain: one SIGTERM starts it, a second one ends it."""

from __future__ import annotations

import json
import time

import anyio
import pytest

from .in_process import (
    MODEL,
    SERVICE,
    InProcessFleet,
    Response,
    run_in_process,
)

CHAT = "/v1/chat/completions"
NOTICES = "/services/notices/"


async def wait_running(fleet: InProcessFleet, count: int) -> None:
    """Wait until the upstreams run a number of requests."""
    with anyio.fail_after(3):
        while sum(up.running for up in fleet.upstreams) < count:
            await anyio.sleep(0.005)


@pytest.mark.requirement("R7", fault="SIGTERM")
class TestDrain:
    """A planned stop interrupts no request."""

    def test_finishes_running_requests(self) -> None:
        """Guards against responses interrupted by a planned stop."""

        async def run() -> None:
            async with run_in_process() as fleet:
                responses: list[Response] = []
                running_at_leave: list[int] = []
                fleet.controller.on_leave = lambda: running_at_leave.append(
                    sum(up.running for up in fleet.upstreams)
                )

                async def send_request(number: int) -> None:
                    document = {
                        "model": MODEL,
                        "id": f"r{number}",
                        "stream": True,
                        "max_tokens": 300,
                    }
                    responses.append(await fleet.post(CHAT, document))

                async with anyio.create_task_group() as tasks:
                    for number in range(8):
                        tasks.start_soon(send_request, number)
                    await wait_running(fleet, 8)
                    fleet.stop_events[0][0].set()
                    await anyio.sleep(0.05)
                    ready = await fleet.send("GET", "/health/ready")
                    assert ready.status == 503
                assert all(
                    r.complete and b"[DONE]" in r.body for r in responses
                )
                with anyio.fail_after(3):
                    await fleet.stopped_events[0].wait()
                assert fleet.controller.leave_messages == 1
                # The controller frees a router's slots when the router leaves.
                assert running_at_leave == [0]

        anyio.run(run)

    def test_accepts_requests_after_signal(self) -> None:
        """Guards against refusals before load balancers notice the drain."""

        async def run() -> None:
            async with run_in_process() as fleet:
                fleet.stop_events[0][0].set()
                await anyio.sleep(0.05)
                response = await fleet.post(
                    CHAT, {"model": MODEL, "id": "late"}
                )
                assert json.loads(response.body)["id"] == "late"
                assert response.headers["connection"] == "close"

        anyio.run(run)

    def test_refuses_queued_requests(self) -> None:
        """Guards against queued requests without a response."""

        async def run() -> None:
            # Queued requests may start in the first half of the drain time.
            # Running requests end 1.5 s after that half, and 1.5 s before the
            # end of the drain.
            async with run_in_process(workers=1, drain_s=6.0) as fleet:
                fleet.upstreams[0].options.token_s = 0.45
                responses: list[Response] = []

                async def send_request(number: int) -> None:
                    document = {"model": MODEL, "id": f"r{number}"}
                    responses.append(await fleet.post(CHAT, document))

                async with anyio.create_task_group() as tasks:
                    for number in range(8 + 12):
                        tasks.start_soon(send_request, number)
                    await wait_running(fleet, 8)
                    fleet.stop_events[0][0].set()
                outcomes = [r.get_outcome() for r in responses]
                assert outcomes.count("") + outcomes.count("not-run") == 20
                assert outcomes.count("not-run") >= 4
                for response in responses:
                    if response.get_outcome():
                        assert response.headers["retry-after"]
                        continue
                    assert response.complete

        anyio.run(run)

    @pytest.mark.parametrize("pool", [MODEL, SERVICE])
    def test_second_signal_answers_all_callers(self, pool: str) -> None:
        """Guards against callers that wait for a stopped router."""

        async def run() -> None:
            async with run_in_process(pool, workers=1, drain_s=60.0) as fleet:
                path = CHAT if pool == MODEL else NOTICES
                responses: dict[str, Response] = {}

                async def send_request(request_id: str) -> None:
                    document = {
                        "model": MODEL,
                        "id": request_id,
                        "max_tokens": 5000,
                    }
                    responses[request_id] = await fleet.post(path, document)

                async with anyio.create_task_group() as tasks:
                    for number in range(12):
                        tasks.start_soon(send_request, f"r{number}")
                    await wait_running(fleet, 8)
                    fleet.stop_events[0][0].set()
                    await anyio.sleep(0.05)
                    started = time.monotonic()
                    fleet.stop_events[0][1].set()
                assert time.monotonic() - started < 1.0
                sent = "failed" if pool == MODEL else "unknown"
                for request_id, response in responses.items():
                    ran = fleet.count_runs(request_id)
                    expected = sent if ran else "not-run"
                    assert response.get_outcome() == expected
                with anyio.fail_after(4):
                    await fleet.stopped_events[0].wait()

        anyio.run(run)

    def test_second_signal_answers_queued_callers(self) -> None:
        """Guards against queued requests that wait for a slot forever."""

        async def run() -> None:
            async with run_in_process(drain_s=60.0) as fleet:
                router = fleet.routers[0]
                for worker in router.registry.list_workers():
                    router.registry.remove(worker.name)
                dispatch = router.find_admission(MODEL).dispatch
                dispatch.enter_fallback(0, 1, router._timers.now())

                async def send_request() -> None:
                    response = await fleet.post(
                        CHAT, {"model": MODEL, "id": "q"}
                    )
                    assert response.get_outcome() == "not-run"
                    assert response.headers["retry-after"]

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send_request)
                    with anyio.fail_after(3):
                        while not len(dispatch.backlog):
                            await anyio.sleep(0.005)
                    fleet.stop_events[0][0].set()
                    fleet.stop_events[0][1].set()

        anyio.run(run)
