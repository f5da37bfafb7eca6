"""Probes of workers by a router without a lease."""

from __future__ import annotations

import anyio
import anyio.abc
import pytest

from hornbeamyard.connection.probes import Prober
from hornbeamyard.pool.worker import Registry, Worker
from hornbeamyard.process.timers import MonotonicTimers
from hornbeamyard.tests.test_session import SimulatedRouter


def build_answer(status: str, body: str) -> bytes:
    """Return an HTTP response."""
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n\r\n"
    return (head + body).encode()


def check_probe(answer: bytes, expected: bool | None) -> None:
    """Probe a worker that gives an answer; check what is known of it."""

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            if answer:
                await stream.send(answer)

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        registry = Registry()
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
    ("answer", "expected"),
    [
        (build_answer("200 OK", '{"leaving": false}'), True),
        (build_answer("200 OK", '{"leaving": true}'), False),
        (build_answer("503 Busy", '{"leaving": false}'), False),
        (build_answer("200 OK", "{}"), False),
        (build_answer("200 OK", "nonsense"), None),
        (b"", None),
    ],
)
def test_takes_only_a_clear_answer(
    answer: bytes, expected: bool | None
) -> None:
    """Guards against work for a worker that is leaving or unknown.

    No answer changes nothing: what was known lasts until it is too old.
    """
    check_probe(answer, expected)


def test_survives_answer_that_is_no_object() -> None:
    """Guards against a router that a worker's wrong status ends."""
    check_probe(build_answer("200 OK", "[]"), False)
