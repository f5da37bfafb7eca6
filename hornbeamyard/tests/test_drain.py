"""Tests of the drain: one SIGTERM starts it, a second one ends it."""

from __future__ import annotations

import json
import time

import anyio
import pytest

from .rig import MODEL, SERVICE, Reply, Rig, run_rig

CHAT = "/v1/chat/completions"
NOTICES = "/services/notices/"


async def wait_running(rig: Rig, count: int) -> None:
    """Wait until the upstreams run a number of requests."""
    with anyio.fail_after(3):
        while sum(up.running for up in rig.upstreams) < count:
            await anyio.sleep(0.005)


@pytest.mark.requirement("R7", fault="SIGTERM")
class TestDrain:
    """A planned stop interrupts no request."""

    def test_finishes_running_requests(self) -> None:
        """Guards against responses interrupted by a planned stop."""

        async def run() -> None:
            async with run_rig() as rig:
                replies: list[Reply] = []
                running_at_leave: list[int] = []
                rig.claims.on_leave = lambda: running_at_leave.append(
                    sum(up.running for up in rig.upstreams)
                )

                async def ask(number: int) -> None:
                    document = {
                        "model": MODEL,
                        "id": f"r{number}",
                        "stream": True,
                        "max_tokens": 300,
                    }
                    replies.append(await rig.call(CHAT, document))

                async with anyio.create_task_group() as tasks:
                    for number in range(8):
                        tasks.start_soon(ask, number)
                    await wait_running(rig, 8)
                    rig.stops[0][0].set()
                    await anyio.sleep(0.05)
                    ready = await rig.send("GET", "/health/ready")
                    assert ready.status == 503
                assert all(r.whole and b"[DONE]" in r.body for r in replies)
                with anyio.fail_after(3):
                    await rig.ended[0].wait()
                assert rig.claims.left == 1
                # The controller frees a router's slots when the router leaves.
                assert running_at_leave == [0]

        anyio.run(run)

    def test_accepts_requests_after_signal(self) -> None:
        """Guards against refusals before load balancers notice the drain."""

        async def run() -> None:
            async with run_rig() as rig:
                rig.stops[0][0].set()
                await anyio.sleep(0.05)
                reply = await rig.call(CHAT, {"model": MODEL, "id": "late"})
                assert json.loads(reply.body)["id"] == "late"
                assert reply.headers["connection"] == "close"

        anyio.run(run)

    def test_refuses_queued_requests(self) -> None:
        """Guards against queued requests without a response."""

        async def run() -> None:
            # Queued requests may start in the first half of the drain time.
            # Running requests end 1.5 s after that half, and 1.5 s before the
            # end of the drain.
            async with run_rig(workers=1, drain_s=6.0) as rig:
                rig.upstreams[0].options.token_s = 0.45
                replies: list[Reply] = []

                async def ask(number: int) -> None:
                    document = {"model": MODEL, "id": f"r{number}"}
                    replies.append(await rig.call(CHAT, document))

                async with anyio.create_task_group() as tasks:
                    for number in range(8 + 12):
                        tasks.start_soon(ask, number)
                    await wait_running(rig, 8)
                    rig.stops[0][0].set()
                outcomes = [r.get_outcome() for r in replies]
                assert outcomes.count("") + outcomes.count("not-run") == 20
                assert outcomes.count("not-run") >= 4
                for reply in replies:
                    if reply.get_outcome():
                        assert reply.headers["retry-after"]
                        continue
                    assert reply.whole

        anyio.run(run)

    @pytest.mark.parametrize("pool", [MODEL, SERVICE])
    def test_second_signal_answers_all_callers(self, pool: str) -> None:
        """Guards against callers that wait for a stopped router."""

        async def run() -> None:
            async with run_rig(pool, workers=1, drain_s=60.0) as rig:
                path = CHAT if pool == MODEL else NOTICES
                replies: dict[str, Reply] = {}

                async def ask(identity: str) -> None:
                    document = {
                        "model": MODEL,
                        "id": identity,
                        "max_tokens": 5000,
                    }
                    replies[identity] = await rig.call(path, document)

                async with anyio.create_task_group() as tasks:
                    for number in range(12):
                        tasks.start_soon(ask, f"r{number}")
                    await wait_running(rig, 8)
                    rig.stops[0][0].set()
                    await anyio.sleep(0.05)
                    started = time.monotonic()
                    rig.stops[0][1].set()
                assert time.monotonic() - started < 1.0
                sent = "failed" if pool == MODEL else "unknown"
                for identity, reply in replies.items():
                    ran = rig.count_runs(identity)
                    expected = sent if ran else "not-run"
                    assert reply.get_outcome() == expected
                with anyio.fail_after(4):
                    await rig.ended[0].wait()

        anyio.run(run)

    def test_second_signal_answers_queued_callers(self) -> None:
        """Guards against queued requests that wait for a slot forever."""

        async def run() -> None:
            async with run_rig(drain_s=60.0) as rig:
                router = rig.routers[0]
                for worker in router.registry.list_workers():
                    router.registry.remove(worker.name)
                dispatch = router.find_admission(MODEL).dispatch
                dispatch.enter_fallback(0, 1, router._timers.now())

                async def ask() -> None:
                    reply = await rig.call(CHAT, {"model": MODEL, "id": "q"})
                    assert reply.get_outcome() == "not-run"
                    assert reply.headers["retry-after"]

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(ask)
                    with anyio.fail_after(3):
                        while not len(dispatch.backlog):
                            await anyio.sleep(0.005)
                    rig.stops[0][0].set()
                    rig.stops[0][1].set()

        anyio.run(run)
