"""Tests of attempts at upstreams: cancellation, slow callers, retries."""

from __future__ import annotations

import json
import time

import anyio
import pytest

from hornbeamyard.request.exchange import ResponseRecorder

from .rig import KEY, MODEL, SERVICE, SILENCE_S, Rig, run_rig

CHAT = "/v1/chat/completions"
NOTICES = "/services/notices/"


def build_head(path: str, size: int, *headers: str) -> bytes:
    """Return the head of a POST request."""
    lines = [
        f"POST {path} HTTP/1.1",
        "host: router",
        f"authorization: Bearer {KEY}",
        f"content-length: {size}",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def disconnect_during(
    rig: Rig, path: str, identity: str, *headers: str, **fields: object
) -> None:
    """Send a request, wait until it runs, and close the connection."""
    document = {"model": MODEL, "id": identity, **fields}
    body = json.dumps(document).encode()
    stream = await anyio.connect_tcp("127.0.0.1", rig.ports[0])
    await stream.send(build_head(path, len(body), *headers) + body)
    while not rig.count_runs(identity):
        await anyio.sleep(0.005)
    await stream.aclose()


async def wait_for(condition: object, seconds: float = 3.0) -> None:
    """Wait until `condition()` holds."""
    with anyio.fail_after(seconds):
        while not condition():  # type: ignore[operator]
            await anyio.sleep(0.005)


class TestCallerDisconnects:
    """A caller that disconnects cancels its request upstream."""

    @pytest.mark.requirement("R17", fault="caller gone")
    @pytest.mark.parametrize("stream", [False, True])
    def test_cancels_upstream(self, stream: bool) -> None:
        """Guards against slots held by requests without a caller."""

        async def run() -> None:
            async with run_rig(workers=1) as rig:
                await disconnect_during(
                    rig, CHAT, "gone", max_tokens=2000, stream=stream
                )
                await wait_for(lambda: rig.upstreams[0].cancelled)
                holding = (
                    rig.routers[0].find_admission(MODEL).dispatch.held_slots
                )
                await wait_for(lambda: holding.count_running() == 0)
                after = await rig.call(CHAT, {"model": MODEL, "id": "next"})
                assert json.loads(after.body)["id"] == "next"

        anyio.run(run)

    @pytest.mark.requirement("R5", fault="caller gone, resends")
    def test_keeps_response_of_claimed_request(self) -> None:
        """Guards against a claimed request whose response is lost."""

        async def run() -> None:
            async with run_rig(SERVICE, routers=2) as rig:
                fields = {"max_tokens": 40}
                header = "idempotency-key: gone"
                await disconnect_during(rig, NOTICES, "gone", header, **fields)
                document = {"model": MODEL, "id": "gone", **fields}
                early = await rig.call(
                    NOTICES, document, 1, idempotency_key="gone"
                )
                assert early.status == 409
                assert early.get_outcome() == "in-progress"
                assert early.headers["retry-after"] == "1"
                table = rig.claims.table
                await wait_for(
                    lambda: table[("hotel", "gone")].answer.status == 200
                )
                late = await rig.call(
                    NOTICES, document, 1, idempotency_key="gone"
                )
                assert json.loads(late.body)["id"] == "gone"
                assert rig.count_runs("gone") == 1

        anyio.run(run)

    @pytest.mark.requirement("R5", fault="caller gone during the body")
    def test_drops_incomplete_body(self) -> None:
        """Guards against running a request with an incomplete body."""

        async def run() -> None:
            async with run_rig(SERVICE) as rig:
                stream = await anyio.connect_tcp("127.0.0.1", rig.ports[0])
                body = b'{"id": "cut"}'
                await stream.send(build_head(NOTICES, 100) + body)
                await anyio.sleep(0.05)
                await stream.aclose()
                await anyio.sleep(0.1)
                assert [up.journal for up in rig.upstreams] == [[], []]
                # It is not counted as a request either.
                text = rig.routers[0].metrics.render()
                assert b'client_account="hotel"' not in text

        anyio.run(run)


class TestSlowCaller:
    """A slow caller delays only its own stream."""

    @pytest.mark.requirement("R3", fault="slow reader")
    def test_delays_only_itself(self) -> None:
        """Guards against unbounded buffers and delays of other requests."""
        size = 64 * 1024 * 1024

        async def run() -> None:
            async with run_rig(workers=1) as rig:
                document = {"model": MODEL, "id": "slow", "padding": size}
                body = json.dumps(document).encode()
                stream = await anyio.connect_tcp("127.0.0.1", rig.ports[0])
                await stream.send(build_head(CHAT, len(body)) + body)
                exchanges = rig.routers[0]._liveness.list_watched
                await wait_for(
                    lambda: any(e.waits_for_caller for e in exchanges())
                )
                await anyio.sleep(2 * SILENCE_S)
                # The sockets' buffers bound the bytes in transit.
                [exchange] = exchanges()
                assert exchange.waits_for_caller
                assert exchange.progress < size / (64 * 1024)
                started = time.monotonic()
                other = await rig.call(CHAT, {"model": MODEL, "id": "other"})
                assert json.loads(other.body)["id"] == "other"
                assert time.monotonic() - started < 2.0
                received = 0
                while received < size:
                    received += len(await stream.receive())
                await stream.aclose()

        anyio.run(run)


class TestConnecting:
    """Without a connection a request is retried, or reported as not run."""

    @pytest.mark.requirement("R4", fault="upstream gone while connecting")
    @pytest.mark.parametrize("pool", [MODEL, SERVICE])
    def test_retries_at_another_upstream(self, pool: str) -> None:
        """Guards against failing a request that was never sent."""

        async def run() -> None:
            async with run_rig(pool) as rig:
                for worker in rig.routers[0].registry.list_workers():
                    if worker.name.endswith("-0"):
                        worker.address = "http://127.0.0.1:1"
                path = CHAT if pool == MODEL else NOTICES
                for number in range(4):
                    identity = f"elsewhere-{number}"
                    document = {"model": MODEL, "id": identity}
                    reply = await rig.call(path, document)
                    assert json.loads(reply.body)["id"] == identity
                    assert rig.count_runs(identity) == 1

        anyio.run(run)

    @pytest.mark.requirement("R4", fault="all upstreams gone")
    def test_reports_not_run_at_deadline(self) -> None:
        """Guards against waiting past the deadline or a wrong outcome."""

        async def run() -> None:
            async with run_rig(SERVICE) as rig:
                for worker in rig.routers[0].registry.list_workers():
                    worker.address = "http://127.0.0.1:1"
                started = time.monotonic()
                reply = await rig.call(
                    NOTICES,
                    {"id": "nowhere"},
                    idempotency_key="nowhere",
                    hornbeamyard_deadline="0.5",
                )
                assert reply.status == 503
                assert reply.get_outcome() == "not-run"
                assert int(reply.headers["retry-after"]) >= 1
                assert time.monotonic() - started < 1.5
                assert rig.claims.table == {}

        anyio.run(run)

    @pytest.mark.requirement("R4", fault="lost once, then all gone")
    def test_remembers_earlier_attempts(self) -> None:
        """Guards against "not run" when an earlier attempt may have run."""

        async def run() -> None:
            async with run_rig() as rig:
                workers = rig.routers[0].registry.list_workers()
                for worker in workers[1:]:
                    worker.address = "http://127.0.0.1:1"
                reply = await rig.call(
                    CHAT,
                    {"model": MODEL, "id": "once", "fault": "reset"},
                    hornbeamyard_deadline="0.5",
                )
                assert rig.count_runs("once") == 1
                assert reply.get_outcome() == "failed"

        anyio.run(run)


class TestRetry:
    """A retry of another gateway is not retried again."""

    @pytest.mark.requirement("R17", fault="a retry is lost while sent")
    @pytest.mark.parametrize(("attempt", "runs"), [("1", 2), ("2", 1)])
    def test_does_not_retry_a_retry(self, attempt: str, runs: int) -> None:
        """Guards against retries that multiply along a chain of gateways."""

        async def run() -> None:
            async with run_rig() as rig:
                document = {"model": MODEL, "id": "lost", "fault": "reset"}
                # The fake upstream fails all attempts up to this one.
                document["faulty_attempts"] = attempt
                reply = await rig.call(
                    CHAT, document, hornbeamyard_attempt=attempt
                )
                assert rig.count_runs("lost") == runs
                assert reply.status == (200 if runs == 2 else 502)

        anyio.run(run)


class TestResponse:
    """Interrupted streams, recorded responses and metrics."""

    @pytest.mark.requirement("R3", fault="stream breaks")
    def test_ends_interrupted_stream_with_error_event(self) -> None:
        """Guards against a truncated stream that looks complete."""

        async def run() -> None:
            async with run_rig() as rig:
                document = {
                    "model": MODEL,
                    "id": "cut",
                    "stream": True,
                    "fault": "reset",
                    "stage": "answering",
                }
                reply = await rig.call(CHAT, document)
                assert not reply.whole
                *_, event, end = reply.body.decode().split("\n\n")
                assert end == ""
                kind, data = event.split("\n")
                assert kind == "event: error"
                problem = json.loads(data.removeprefix("data: "))
                assert problem["outcome"] == "failed"

        anyio.run(run)

    def test_keeps_no_encoded_response(self) -> None:
        """Guards against replaying a response without its encoding."""
        recorder = ResponseRecorder(200, "text/plain", encoded=True)
        recorder.add(b"x")
        assert recorder.is_truncated()

    def test_records_latencies_and_outcomes(self) -> None:
        """Guards against requests that are missing in the metrics."""

        async def run() -> None:
            async with run_rig() as rig:
                await rig.call(
                    CHAT,
                    {"model": MODEL, "id": "m"},
                    hornbeamyard_priority="priority",
                )
                await rig.call(
                    CHAT, {"model": MODEL, "id": "f", "fault": "refuse"}
                )
                text = rig.routers[0].metrics.render().decode()
                labels = 'client_account="hotel"'
                for outcome, priority in (
                    ("answered", "priority"),
                    ("not-run", "normal"),
                ):
                    assert (
                        f"hornbeamyard_requests_total{{{labels},"
                        f'outcome="{outcome}",priority="{priority}"}} 1.0'
                    ) in text
                for latency in ("queue_wait", "first_byte", "duration"):
                    assert f'latency="{latency}"' in text

        anyio.run(run)
