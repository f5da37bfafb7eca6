"""Tests of limits on callers: connections, headers, bodies and load."""

from __future__ import annotations

import json
import logging
import time
from collections.abc import Iterable

import anyio
import pytest
from anyio.lowlevel import checkpoint

from hornbeamyard.connection.limits import (
    MAX_HEADER_BYTES,
    compute_connection_limit,
)
from hornbeamyard.connection.overload import (
    CALM_SAMPLES,
    LATE_SAMPLES,
    LATENESS_THRESHOLD_S,
    OverloadLimiter,
)
from hornbeamyard.process.timers import MonotonicTimers

from .in_process import MODEL, InProcessFleet, Response, run_in_process

CHAT = "/v1/chat/completions"


async def send_raw(fleet: InProcessFleet, data: bytes) -> bytes:
    """Send bytes; return everything until the router closes."""
    received = b""
    stream = await anyio.connect_tcp("127.0.0.1", fleet.ports[0])
    async with stream:
        await stream.send(data)
        try:
            while True:
                received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return received


class TestHeaders:
    """Headers and bodies are bounded in size and time."""

    @pytest.mark.parametrize(
        "data",
        [
            b"GET / HTTP/1.1\r\na: " + b"x" * 2 * MAX_HEADER_BYTES,
            b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * MAX_HEADER_BYTES + b"\r\n",
            b"GET /" + b"x" * 2 * MAX_HEADER_BYTES,
        ],
        ids=["one", "many", "path"],
    )
    def test_refuses_large_header(self, data: bytes) -> None:
        """Guards against headers that exhaust the memory."""

        async def run() -> None:
            async with run_in_process() as fleet:
                received = await send_raw(fleet, data)
                assert received.startswith(b"HTTP/1.1 431 ")
                assert b"application/problem+json" in received

        anyio.run(run)

    @pytest.mark.parametrize("data", [b"", b"GET / HTTP/1.1\r\na: b"])
    def test_refuses_slow_header(
        self, data: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against connections occupied by incomplete headers."""
        module = "hornbeamyard.connection.limits"
        monkeypatch.setattr(f"{module}.HEADER_TIMEOUT_S", 0.2)
        monkeypatch.setattr(f"{module}.SWEEP_INTERVAL_S", 0.05)

        async def run() -> None:
            async with run_in_process() as fleet:
                received = await send_raw(fleet, data)
                assert received.startswith(b"HTTP/1.1 408 ")

        anyio.run(run)

    @pytest.mark.parametrize("data", [b"\x16\x03\x01\r\n\r\n", b"x y\r\n\r\n"])
    def test_refuses_invalid_http(self, data: bytes) -> None:
        """Guards against a response that isn't a problem document."""

        async def run() -> None:
            async with run_in_process() as fleet:
                received = await send_raw(fleet, data)
                assert received.startswith(b"HTTP/1.1 400 ")
                assert b"application/problem+json" in received

        anyio.run(run)

    def test_refuses_slow_body(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against requests occupied by incomplete bodies."""
        module = "hornbeamyard.request.gateway"
        monkeypatch.setattr(f"{module}.BODY_TIMEOUT_S", 0.2)
        head = (
            f"POST {CHAT} HTTP/1.1\r\nauthorization: Bearer caller-key\r\n"
            "content-length: 10\r\n\r\n{"
        )

        async def run() -> None:
            async with run_in_process() as fleet:
                received = await send_raw(fleet, head.encode())
                assert received.startswith(b"HTTP/1.1 408 ")

        anyio.run(run)


class TestCounts:
    """Concurrent connections and requests are bounded."""

    def test_refuses_connections_beyond_limit(self) -> None:
        """Guards against running out of file descriptors."""

        async def run() -> None:
            async with run_in_process(connections=3) as fleet:
                held = [
                    await anyio.connect_tcp("127.0.0.1", fleet.ports[0])
                    for _ in range(3)
                ]
                await anyio.sleep(0.05)
                received = await send_raw(fleet, b"")
                assert received.startswith(b"HTTP/1.1 503 ")
                assert b"retry-after: 1" in received
                for stream in held:
                    await stream.aclose()
                await anyio.sleep(0.05)
                response = await fleet.post(CHAT, {"model": MODEL, "id": "x"})
                assert response.status == 200

        anyio.run(run)

    @pytest.mark.requirement("R20", fault="twice the load")
    def test_keeps_rate_and_refuses_rest_at_once(self) -> None:
        """Guards against slow refusals and lost throughput under overload."""
        capacity = 16  # slots of the two workers

        async def run() -> None:
            async with run_in_process(requests=capacity) as fleet:
                served: list[Response] = []
                refused: list[float] = []

                async def offer(number: int) -> None:
                    document = {"model": MODEL, "id": f"r{number}"}
                    started = time.monotonic()
                    response = await fleet.post(
                        CHAT, {**document, "max_tokens": 60}
                    )
                    if response.status == 200:
                        served.append(response)
                        return
                    assert response.get_outcome() == "not-run"
                    assert response.headers["retry-after"] == "1"
                    refused.append(time.monotonic() - started)

                async with anyio.create_task_group() as tasks:
                    for number in range(2 * capacity):
                        tasks.start_soon(offer, number)
                assert len(served) == capacity
                assert len(refused) == capacity
                # A served request takes 0.3 s.
                assert max(refused) < 0.25
                runs = sum(len(up.journal) for up in fleet.upstreams)
                assert runs == capacity

        anyio.run(run)

    def test_fits_file_limit(self) -> None:
        """Guards against more connections than file descriptors."""
        assert 1 <= compute_connection_limit(10**9) < 10**9


def overload(limiter: OverloadLimiter) -> None:
    """Report a late event loop to a limiter."""
    for _ in range(LATE_SAMPLES):
        limiter.add_sample(2 * LATENESS_THRESHOLD_S, 0.1)


def list_protocol_errors(records: Iterable[logging.LogRecord]) -> list[str]:
    """Return the errors that asyncio has logged about the server.

    All event loops of a process share gRPC's queue of completed operations.
    An operation of an earlier test, cancelled just before its loop was
    closed, is an error in the loop that takes it from the queue.
    """
    return [
        record.getMessage()
        for record in records
        if record.name == "asyncio"
        and not (
            "PollerCompletionQueue._handle_events" in record.getMessage()
            and record.exc_info
            and str(record.exc_info[1]) == "Event loop is closed"
        )
    ]


class LateClock:
    """Time that moves with each sleep, by its length and a lateness."""

    def __init__(self) -> None:
        self.lateness = 0.0
        self.samples = 0
        self.time = 0.0

    def now(self) -> float:
        """Return the time in seconds."""
        return self.time

    async def sleep(self, seconds: float) -> None:
        """Move the time."""
        self.time += seconds + self.lateness
        self.samples += 1
        await checkpoint()

    async def wait_samples(self, number: int) -> None:
        """Wait until `sleep` was called so often."""
        while self.samples < number:
            await checkpoint()


class TestOverloadLimiter:
    """Requests beyond what the processor can serve are refused at once."""

    def test_needs_several_late_samples(self) -> None:
        """Guards against refusals after a single pause of the host."""
        limiter = OverloadLimiter(MonotonicTimers())
        for _ in range(10):
            limiter.add_sample(10.0, 10.0)
            limiter.add_sample(0.0, 0.05)
        assert not limiter.is_overloaded()
        overload(limiter)
        assert limiter.is_overloaded()

    @pytest.mark.requirement("R20", fault="twice the load")
    @pytest.mark.parametrize("capacity", [200, 2000])
    def test_keeps_rate_under_twice_the_load(self, capacity: int) -> None:
        """Guards against a limit far below or above the capacity."""
        limiter = OverloadLimiter(MonotonicTimers())
        # Simulates a loop that serves `capacity` requests per second and is
        # offered twice as many; its lateness is the time for its backlog.
        backlog = 0.0
        served = offered = 0.0
        for step in range(2000):
            lateness = backlog / capacity
            elapsed = 0.05 + lateness
            admitted = sum(
                limiter.admit() for _ in range(int(2 * capacity * elapsed))
            )
            done = min(backlog + admitted, capacity * elapsed)
            backlog += admitted - done
            limiter.add_sample(lateness, elapsed)
            if step >= 200:
                served += done
                offered += capacity * elapsed
                assert lateness < 1.0
        assert served / offered > 0.9

    def test_lifts_limit(self) -> None:
        """Guards against refusals after the overload has ended."""
        limiter = OverloadLimiter(MonotonicTimers())
        overload(limiter)
        for _ in range(CALM_SAMPLES):
            limiter.add_sample(0.0, 0.05)
        assert not limiter.is_overloaded()

    def test_pauses_without_callers(self) -> None:
        """Guards against overload that is noticed later after a pause."""
        clock = LateClock()
        limiter = OverloadLimiter(clock)  # type: ignore[arg-type]
        is_busy = True
        limiter.is_busy = lambda: is_busy

        async def run() -> None:
            nonlocal is_busy
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(limiter.run)
                await clock.wait_samples(100)
                assert clock.samples >= 100
                is_busy = False
                await anyio.wait_all_tasks_blocked()
                paused_at, samples = clock.time, clock.samples
                # The next two samples would have been due 0.02 s after the
                # first byte, and 0.05 s after that one.
                clock.time += 200 * 0.05 + 0.03
                clock.lateness = 0.06
                limiter.note_activity()
                await clock.wait_samples(samples + 1)
                assert clock.time - paused_at == pytest.approx(10.05 + 0.06)
                while not limiter.is_overloaded():
                    await checkpoint()
                assert clock.samples <= samples + LATE_SAMPLES + 1
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_refuses_and_keeps_connection(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against refusals that close the connection."""
        body = json.dumps({"model": MODEL, "id": "x"}).encode()
        request = (
            f"POST {CHAT} HTTP/1.1\r\nhost: x\r\n"
            "authorization: Bearer caller-key\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        ).encode() + body

        async def run() -> None:
            async with run_in_process() as fleet:
                limiter = fleet.routers[0]._overload_limiter
                overload(limiter)
                limiter._tokens = 0.0
                stream = await anyio.connect_tcp("127.0.0.1", fleet.ports[0])
                for _ in range(3):
                    limiter._tokens = 0.0
                    await stream.send(request)
                    received = await stream.receive()
                    assert received.startswith(b"HTTP/1.1 503 ")
                    assert b'"outcome": "not-run"' in received
                    assert b"retry-after: 1" in received
                limiter._rate_limit = None
                await stream.send(request)
                assert (await stream.receive()).startswith(b"HTTP/1.1 200 ")
                assert fleet.count_runs("x") == 1
                ready = await fleet.send("GET", "/health/ready")
                assert ready.status == 200
                overload(limiter)
                limiter._tokens = 0.0
                await stream.send(request)
                assert (await stream.receive()).startswith(b"HTTP/1.1 503 ")
                await stream.aclose()
                await anyio.sleep(0.05)

        anyio.run(run)
        assert not list_protocol_errors(caplog.records)
