"""Tests of the probes of workers by a router without a lease."""

from __future__ import annotations

import tracemalloc
from contextlib import suppress

import anyio
import anyio.abc
import pytest

from hornbeamyard.connection.liveness import read_status
from hornbeamyard.connection.probes import Prober
from hornbeamyard.pool.worker import Worker, WorkerRegistry
from hornbeamyard.process.timers import MonotonicTimers
from hornbeamyard.tests.test_session import SimulatedRouter

# Memory that one status may take, whatever the upstream sends.
MAX_STATUS_MEMORY = 4 * 1024 * 1024


def build_response(status: str, body: str) -> bytes:
    """Return an HTTP response."""
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n\r\n"
    return (head + body).encode()


def check_probe(response: bytes, expected: bool | None) -> None:
    """Probe a worker; check whether it counts as ready.

    Parameters
    ----------
    response : bytes
        The worker's response; empty to close the connection instead.
    expected : bool or None
        Readiness after the probe; None if the probe must not change it.
    """

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            if response:
                await stream.send(response)

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        registry = WorkerRegistry()
        worker = Worker("w", f"http://127.0.0.1:{port}", "centro", "p", 8)
        registry.announce(worker)
        registry.record_probe("w", expected is None, 0.5)
        prober = Prober(
            SimulatedRouter("r0").attachment, registry, MonotonicTimers()
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            await prober._probe(worker, 1.0)
            tasks.cancel_scope.cancel()
        assert registry.is_ready("w", 1.0) is (expected is not False)
        assert registry.is_ready("w", 3.6) is (expected is True)

    anyio.run(run)


@pytest.mark.requirement("R6", fault="partition")
@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (build_response("200 OK", '{"leaving": false}'), True),
        (build_response("200 OK", '{"leaving": true}'), False),
        (build_response("503 Busy", '{"leaving": false}'), False),
        (build_response("200 OK", "{}"), False),
        (build_response("200 OK", "nonsense"), None),
        (b"", None),
    ],
)
def test_requires_definite_response(
    response: bytes, expected: bool | None
) -> None:
    """Guards against requests to a worker that is leaving or not a worker.

    Without a valid response the last result applies until it expires.
    """
    check_probe(response, expected)


def test_tolerates_response_that_is_no_object() -> None:
    """Guards against a router that an invalid status document stops."""
    check_probe(build_response("200 OK", "[]"), False)


@pytest.mark.parametrize("body", ["[" * 60_000, '{"a":' * 10_000])
def test_tolerates_nested_document(body: str) -> None:
    """Guards against a router that a deeply nested document stops."""
    check_probe(build_response("200 OK", body), None)


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 65536),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 2000000000\r\n\r\n",
            b"a" * 65536,
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            b"10000\r\n" + b"a" * 65536 + b"\r\n",
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            b"1\r\na\r\n" * 10000,
        ),
        (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 10000),
        (b"HTTP/1.1 200 OK\r\na: ", b"a" * 65536),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2000),
    ],
    ids=[
        "body",
        "body with a length",
        "large chunks",
        "small chunks",
        "header lines",
        "one header line",
        "interim responses",
    ],
)
def test_response_without_end(start: bytes, repeated: bytes) -> None:
    """Guards against a status that takes all memory of the router."""

    async def serve(stream: anyio.abc.SocketStream) -> None:
        with suppress(anyio.BrokenResourceError):
            await stream.receive()
            await stream.send(start)
            while True:
                await stream.send(repeated)

    async def run() -> int:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            tracemalloc.start()
            try:
                status = await read_status(f"http://127.0.0.1:{port}", 2.0)
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            tasks.cancel_scope.cancel()
        assert status is None
        return peak

    assert anyio.run(run) < MAX_STATUS_MEMORY
