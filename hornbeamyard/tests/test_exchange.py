"""Tests of attempts at upstreams: cancellation, slow callers, retries."""

from __future__ import annotations

import json
import time
from typing import Any

import anyio
import pytest

from hornbeamyard.connection.liveness import LivenessChecker
from hornbeamyard.connection.upstreams import UpstreamConnections
from hornbeamyard.process.timers import MonotonicTimers
from hornbeamyard.request.exchange import (
    REQUEST_HEADER,
    Exchange,
    ResponseRecorder,
    UpstreamRequest,
)
from hornbeamyard.request.outcome import AttemptFailure

from .in_process import (
    KEY,
    MODEL,
    SERVICE,
    SILENCE_S,
    InProcessFleet,
    run_in_process,
)
from .raw_upstream import (
    Script,
    run_raw_upstream,
    send_events,
    send_response,
)

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
    fleet: InProcessFleet,
    path: str,
    request_id: str,
    *headers: str,
    **fields: object,
) -> None:
    """Send a request, wait until it runs, and close the connection."""
    document = {"model": MODEL, "id": request_id, **fields}
    body = json.dumps(document).encode()
    stream = await anyio.connect_tcp("127.0.0.1", fleet.ports[0])
    await stream.send(build_head(path, len(body), *headers) + body)
    while not fleet.count_runs(request_id):
        await anyio.sleep(0.005)
    await stream.aclose()


async def wait_for(condition: object, seconds: float = 3.0) -> None:
    """Wait until `condition()` holds."""
    with anyio.fail_after(seconds):
        while not condition():  # type: ignore[operator]
            await anyio.sleep(0.005)


class TestCallerDisconnects:
    """A caller that disconnects cancels its request upstream."""

    @pytest.mark.requirement("R17", fault="caller disconnects")
    @pytest.mark.parametrize("stream", [False, True])
    def test_cancels_upstream(self, stream: bool) -> None:
        """Guards against slots held by requests without a caller."""

        async def run() -> None:
            async with run_in_process(workers=1) as fleet:
                await disconnect_during(
                    fleet, CHAT, "gone", max_tokens=2000, stream=stream
                )
                await wait_for(lambda: fleet.upstreams[0].cancelled)
                held_slots = (
                    fleet.routers[0].find_admission(MODEL).dispatch.held_slots
                )
                await wait_for(lambda: held_slots.count_running() == 0)
                after = await fleet.post(CHAT, {"model": MODEL, "id": "next"})
                assert json.loads(after.body)["id"] == "next"

        anyio.run(run)

    @pytest.mark.requirement("R5", fault="caller disconnects and resends")
    def test_keeps_response_of_claimed_request(self) -> None:
        """Guards against a claimed request whose response is lost."""

        async def run() -> None:
            async with run_in_process(SERVICE, routers=2) as fleet:
                fields = {"max_tokens": 40}
                header = "idempotency-key: gone"
                await disconnect_during(
                    fleet, NOTICES, "gone", header, **fields
                )
                document = {"model": MODEL, "id": "gone", **fields}
                early = await fleet.post(
                    NOTICES, document, 1, idempotency_key="gone"
                )
                assert early.status == 409
                assert early.get_outcome() == "in-progress"
                assert early.headers["retry-after"] == "1"
                table = fleet.controller.claims
                await wait_for(
                    lambda: table[("hotel", "gone")].answer.status == 200
                )
                late = await fleet.post(
                    NOTICES, document, 1, idempotency_key="gone"
                )
                assert json.loads(late.body)["id"] == "gone"
                assert fleet.count_runs("gone") == 1

        anyio.run(run)

    @pytest.mark.requirement("R5", fault="caller disconnects during the body")
    def test_drops_incomplete_body(self) -> None:
        """Guards against running a request with an incomplete body."""

        async def run() -> None:
            async with run_in_process(SERVICE) as fleet:
                stream = await anyio.connect_tcp("127.0.0.1", fleet.ports[0])
                body = b'{"id": "cut"}'
                await stream.send(build_head(NOTICES, 100) + body)
                await anyio.sleep(0.05)
                await stream.aclose()
                await anyio.sleep(0.1)
                assert [up.journal for up in fleet.upstreams] == [[], []]
                # It is not counted as a request either.
                text = fleet.routers[0].metrics.render()
                assert b'client_account="hotel"' not in text

        anyio.run(run)


class TestSlowCaller:
    """A slow caller delays only its own stream."""

    @pytest.mark.requirement("R3", fault="slow caller")
    def test_delays_only_itself(self) -> None:
        """Guards against unbounded buffers and delays of other requests."""
        size = 64 * 1024 * 1024

        async def run() -> None:
            async with run_in_process(workers=1) as fleet:
                document = {"model": MODEL, "id": "slow", "padding": size}
                body = json.dumps(document).encode()
                stream = await anyio.connect_tcp("127.0.0.1", fleet.ports[0])
                await stream.send(build_head(CHAT, len(body)) + body)
                exchanges = fleet.routers[0]._liveness.list_watched
                await wait_for(
                    lambda: any(e.waits_for_caller for e in exchanges())
                )
                await anyio.sleep(2 * SILENCE_S)
                # The sockets' buffers bound the bytes in transit.
                [exchange] = exchanges()
                assert exchange.waits_for_caller
                assert exchange.progress < size / (64 * 1024)
                started = time.monotonic()
                other = await fleet.post(CHAT, {"model": MODEL, "id": "other"})
                assert json.loads(other.body)["id"] == "other"
                assert time.monotonic() - started < 2.0
                received = 0
                while received < size:
                    received += len(await stream.receive())
                await stream.aclose()

        anyio.run(run)


class TestConnecting:
    """Without a connection a request is retried, or reported as not run."""

    @pytest.mark.requirement("R4", fault="upstream refuses connections")
    @pytest.mark.parametrize("pool", [MODEL, SERVICE])
    def test_retries_at_another_upstream(self, pool: str) -> None:
        """Guards against failing a request that was never sent."""

        async def run() -> None:
            async with run_in_process(pool) as fleet:
                for worker in fleet.routers[0].registry.list_workers():
                    if worker.name.endswith("-0"):
                        worker.address = "http://127.0.0.1:1"
                path = CHAT if pool == MODEL else NOTICES
                for number in range(4):
                    request_id = f"elsewhere-{number}"
                    document = {"model": MODEL, "id": request_id}
                    response = await fleet.post(path, document)
                    assert json.loads(response.body)["id"] == request_id
                    assert fleet.count_runs(request_id) == 1

        anyio.run(run)

    @pytest.mark.requirement("R4", fault="all upstreams refuse connections")
    def test_reports_not_run_at_deadline(self) -> None:
        """Guards against waiting past the deadline or a wrong outcome."""

        async def run() -> None:
            async with run_in_process(SERVICE) as fleet:
                for worker in fleet.routers[0].registry.list_workers():
                    worker.address = "http://127.0.0.1:1"
                started = time.monotonic()
                response = await fleet.post(
                    NOTICES,
                    {"id": "nowhere"},
                    idempotency_key="nowhere",
                    hornbeamyard_deadline="0.5",
                )
                assert response.status == 503
                assert response.get_outcome() == "not-run"
                assert int(response.headers["retry-after"]) >= 1
                assert time.monotonic() - started < 1.5
                assert fleet.controller.claims == {}

        anyio.run(run)

    @pytest.mark.requirement("R4", fault="reset, then connections refused")
    def test_remembers_earlier_attempts(self) -> None:
        """Guards against "not run" when an earlier attempt may have run."""

        async def run() -> None:
            async with run_in_process() as fleet:
                workers = fleet.routers[0].registry.list_workers()
                for worker in workers[1:]:
                    worker.address = "http://127.0.0.1:1"
                response = await fleet.post(
                    CHAT,
                    {"model": MODEL, "id": "once", "fault": "reset"},
                    hornbeamyard_deadline="0.5",
                )
                assert fleet.count_runs("once") == 1
                assert response.get_outcome() == "failed"

        anyio.run(run)


class TestRetry:
    """A retry of another gateway is not retried again."""

    @pytest.mark.requirement("R17", fault="connection reset during a retry")
    @pytest.mark.parametrize(("attempt", "runs"), [("1", 2), ("2", 1)])
    def test_does_not_retry_a_retry(self, attempt: str, runs: int) -> None:
        """Guards against retries that multiply along a chain of gateways."""

        async def run() -> None:
            async with run_in_process() as fleet:
                document = {"model": MODEL, "id": "lost", "fault": "reset"}
                # The fake upstream fails all attempts up to this one.
                document["faulty_attempts"] = attempt
                response = await fleet.post(
                    CHAT, document, hornbeamyard_attempt=attempt
                )
                assert fleet.count_runs("lost") == runs
                assert response.status == (200 if runs == 2 else 502)

        anyio.run(run)


def run_exchanges(*scripts: Script) -> tuple[list[AttemptFailure | None], int]:
    """Return how exchanges fail, and how many connections were closed."""

    async def send(message: Any) -> None:
        assert REQUEST_HEADER not in dict(message.get("headers", ()))

    async def run() -> tuple[list[AttemptFailure | None], int]:
        async with run_raw_upstream(*scripts) as upstream:
            connections = UpstreamConnections(0.5)
            checker = LivenessChecker(
                connections, MonotonicTimers(), SILENCE_S
            )
            failures = [
                await Exchange(
                    UpstreamRequest("GET", b"/", [], b""),
                    f"http://127.0.0.1:{upstream.port}",
                    connections,
                    checker,
                    list,
                ).run(send)
                for _ in scripts
            ]
            await anyio.sleep(0.05)
            return failures, upstream.closed

    return anyio.run(run)


class TestResponse:
    """Interrupted streams, recorded responses and metrics."""

    @pytest.mark.requirement("R3", fault="stream interrupted")
    def test_ends_interrupted_stream_with_error_event(self) -> None:
        """Guards against a truncated stream that looks complete."""

        async def run() -> None:
            async with run_in_process() as fleet:
                document = {
                    "model": MODEL,
                    "id": "cut",
                    "stream": True,
                    "fault": "reset",
                    "stage": "answering",
                }
                response = await fleet.post(CHAT, document)
                assert not response.complete
                *_, event, end = response.body.decode().split("\n\n")
                assert end == ""
                kind, data = event.split("\n")
                assert kind == "event: error"
                problem = json.loads(data.removeprefix("data: "))
                assert problem["outcome"] == "failed"

        anyio.run(run)

    @pytest.mark.requirement("R3", fault="stream interrupted")
    @pytest.mark.parametrize("partial_event", [b"", b"data: 4\n"])
    @pytest.mark.parametrize("encoding", ["identity", "gzip"])
    def test_chunked_stream_ended_inside_event(
        self, partial_event: bytes, encoding: str
    ) -> None:
        """Guards against a truncated stream framed as complete.

        Encoded bytes aren't read as events.
        """
        header = f"content-encoding: {encoding}"
        script = send_events(1, 3, True, partial_event, (header,))

        async def run() -> None:
            sent: list[Any] = []

            async def send(message: Any) -> None:
                sent.append(message)

            async with run_raw_upstream(script) as upstream:
                connections = UpstreamConnections(0.5)
                exchange = Exchange(
                    UpstreamRequest("GET", b"/", [], b""),
                    f"http://127.0.0.1:{upstream.port}",
                    connections,
                    LivenessChecker(connections, MonotonicTimers(), SILENCE_S),
                    list,
                )
                failure = await exchange.run(send)
            assert exchange.is_event_stream == (encoding == "identity")
            is_whole = not partial_event or not exchange.is_event_stream
            is_ended = not sent[-1].get("more_body", False)
            assert is_ended == (failure is None) == is_whole

        anyio.run(run)

    @pytest.mark.parametrize("status", [200, 429, 503])
    @pytest.mark.parametrize("id", ["r-0", ""], ids=["named", "unnamed"])
    def test_copy_of_earlier_response(self, id: str, status: int) -> None:
        """Guards against the response to another request, also "not run"."""
        headers = ("hornbeamyard-not-run: true",)
        copied = send_response(status, headers=headers, request_id=id)
        failures, _ = run_exchanges(send_response(), copied)
        assert failures[0] is None
        assert failures[1] is not None
        assert failures[1].may_have_run()

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_connection_after_unnamed_refusal(self, status: int) -> None:
        """Guards against a copy of it that arrives at the next request."""
        _, closed = run_exchanges(send_response(status, request_id=""))
        assert closed == 1

    def test_keeps_no_encoded_response(self) -> None:
        """Guards against replaying a response without its encoding."""
        recorder = ResponseRecorder(200, "text/plain", encoded=True)
        recorder.add(b"x")
        assert recorder.is_truncated()

    def test_records_latencies_and_outcomes(self) -> None:
        """Guards against requests that are missing in the metrics."""

        async def run() -> None:
            async with run_in_process() as fleet:
                await fleet.post(
                    CHAT,
                    {"model": MODEL, "id": "m"},
                    hornbeamyard_priority="priority",
                )
                await fleet.post(
                    CHAT, {"model": MODEL, "id": "f", "fault": "refuse"}
                )
                text = fleet.routers[0].metrics.render().decode()
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
