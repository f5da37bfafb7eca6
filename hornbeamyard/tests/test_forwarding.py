"""Tests of routed requests against upstreams that misbehave."""

from __future__ import annotations

import copy
import json
import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

import anyio
import pytest

from hornbeamyard.connection.upstreams import UpstreamConnections
from hornbeamyard.pool.balancer import Balancer
from hornbeamyard.pool.shares import Shares
from hornbeamyard.pool.upstream_registry import Upstream, UpstreamState
from hornbeamyard.process.decisions import DecisionLog
from hornbeamyard.process.metrics import Metrics
from hornbeamyard.process.timers import MonotonicTimers
from hornbeamyard.request.budget import WindowRetryBudget
from hornbeamyard.request.forwarding import Forwarder
from hornbeamyard.request.headers import NATIVE_HEADER_NAMES, HeaderCodec
from hornbeamyard.request.reporting import RequestReporter
from hornbeamyard.version.routing import Routing, parse_routing

from .raw_upstream import (
    RawUpstream,
    Script,
    answer,
    hang,
    reset,
    run_raw,
    stream_events,
)

DOCUMENT: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": name,
            "host": "api.example",
            "path_prefix": f"/{name}/",
            "repetition": "idempotent" if name == "read" else "unrepeatable",
            "streaming": name in ("chat", "notice"),
            "resumable": name == "chat",
            "timeout_ms": 1500,
            "target_ms": 400,
            "shares": [{"pool": "app"}],
            "most_attempts": 2,
            "public": name == "open",
        }
        for name in ("read", "charge", "chat", "notice", "open")
    ],
    "pools": [{"name": "app"}],
    "client_accounts": [{"name": "library", "keys": ["k1"]}],
}


class Lines:
    """Takes the lines of the decision log."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def write(self, line: str) -> bool:
        """Take a line."""
        self.lines.append(json.loads(line))
        return True


@dataclass
class Answer:
    """What a caller received."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


class Bench:
    """A forwarder with raw upstreams."""

    def __init__(self, upstreams: list[RawUpstream]) -> None:
        self.timers = MonotonicTimers()
        self.routing: Routing | None = parse_routing(DOCUMENT).unwrap()
        self.routers = 1
        self.is_stopping = False
        self.shares = Shares()
        self.steering = Balancer(
            "app",
            "zone-a",
            self.shares,
            random.Random(1).random,
            self.timers.limit,
        )
        self.budget = WindowRetryBudget(0.2, 50.0, 10.0)
        for number, upstream in enumerate(upstreams):
            self.steering.apply_upstream(
                Upstream(
                    f"u{number}",
                    "app",
                    f"127.0.0.1:{upstream.port}",
                    "zone-a",
                    UpstreamState.READY,
                    4,
                    1,
                )
            )
        self.log = Lines()
        self.forwarder = Forwarder(
            self,
            HeaderCodec(NATIVE_HEADER_NAMES),
            UpstreamConnections(0.5),
            self.shares,
            self.timers,
            RequestReporter(
                self.timers,
                DecisionLog(self.timers, "r1", self.log),  # type: ignore[arg-type]
                Metrics(),
            ),
        )

    def find_balancer(self, pool: str) -> Balancer:
        """Return the only pool."""
        return self.steering

    def find_budget(self, pool: str) -> WindowRetryBudget:
        """Return the only budget."""
        return self.budget

    async def ask(
        self,
        path: str = "/read/1",
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        key: bytes = b"Bearer k1",
        leave_after_s: float | None = None,
    ) -> Answer:
        """Send a request and return what came back."""
        received = Answer()
        asked = False
        ended = anyio.Event()

        async def receive() -> dict[str, Any]:
            nonlocal asked
            if not asked:
                asked = True
                return {"type": "http.request", "body": body}
            # Servers tell of the caller's end after the answer's too.
            with anyio.move_on_after(leave_after_s or 60):
                await ended.wait()
            return {"type": "http.disconnect"}

        async def send(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start":
                assert not received.status, "a second answer began"
                received.status = message["status"]
                received.headers = dict(message["headers"])
                return
            assert not received.whole, "bytes after the end of the answer"
            received.body += message.get("body", b"")
            received.whole = not message.get("more_body", False)
            if received.whole:
                ended.set()
                await anyio.sleep(0)

        target, _, query = path.partition("?")
        scope = {
            "type": "http",
            "method": "POST" if body else "GET",
            "raw_path": target.encode(),
            "query_string": query.encode(),
            "headers": [
                (b"host", b"api.example"),
                (b"hornbeamyard-request", b"r-1"),
                (b"authorization", key),
                *headers,
            ],
        }
        await self.forwarder(scope, receive, send)
        return received


def run(
    test: Callable[[Bench], Awaitable[None]], *scripts: list[Script]
) -> None:
    """Run a test with one upstream for each list of scripts."""

    async def main() -> None:
        async with AsyncExitStack() as stack:
            upstreams = [
                await stack.enter_async_context(run_raw(*each))
                for each in scripts
            ]
            bench = Bench(upstreams)
            bench.raw = upstreams  # type: ignore[attr-defined]
            with anyio.fail_after(10):
                await test(bench)

    anyio.run(main)


def count_runs(bench: Bench) -> int:
    """Return the requests that reached any upstream."""
    return sum(len(raw.received) for raw in bench.raw)  # type: ignore


class TestChecks:
    """What no route allows is refused before it reaches an upstream."""

    @pytest.mark.parametrize(
        ("path", "key", "expected"),
        [
            ("/other/1", b"Bearer k1", 404),
            ("/read/1", b"Bearer wrong", 401),
            ("/open/1", b"Bearer wrong", 200),
        ],
    )
    def test_status(self, path: str, key: bytes, expected: int) -> None:
        async def test(bench: Bench) -> None:
            received = await bench.ask(path, key=key)
            assert received.status == expected
            assert count_runs(bench) == (1 if expected == 200 else 0)

        run(test, [answer()])

    def test_no_routing_is_not_no_route(self) -> None:
        """Guards against a 404 by a router that has just started."""

        async def test(bench: Bench) -> None:
            bench.routing = None
            received = await bench.ask()
            assert received.status == 503
            assert b"retry-after" in received.headers

        run(test, [answer()])

    def test_request_reaches_the_upstream_unchanged(self) -> None:
        async def test(bench: Bench) -> None:
            forged = (
                (b"hornbeamyard-account", b"someone"),
                (b"hornbeamyard-upstream", b"u9"),
                (b"connection", b"x-secret"),
                (b"x-secret", b"1"),
                (b"x-kept", b"2"),
            )
            await bench.ask("/charge/a%2Fb?x=1", b"body", forged)
            [raw] = bench.raw  # type: ignore[attr-defined]
            [seen] = raw.received
            assert seen.request_line == "POST /charge/a%2Fb?x=1 HTTP/1.1"
            assert seen.body == b"body"
            assert seen.get_header("hornbeamyard-account") == "library"
            assert seen.get_header("hornbeamyard-upstream") == "u0"
            assert seen.get_header("authorization") is None
            assert seen.get_header("x-secret") is None
            assert seen.get_header("x-kept") == "2"
            left_ms = int(seen.get_header("hornbeamyard-deadline-ms") or 0)
            assert 1000 < left_ms <= 1500

        run(test, [answer()])


class TestRepeats:
    """Only what may be repeated is sent once more."""

    @pytest.mark.parametrize(
        ("path", "first", "status", "runs"),
        [
            ("/read/1", reset, 200, 2),
            ("/read/1", answer(500), 200, 2),
            ("/read/1", answer(400), 400, 1),
            ("/charge/1", reset, 502, 1),
            ("/charge/1", answer(500), 500, 1),
            ("/notice/1", reset, 502, 1),
            ("/chat/1", reset, 200, 2),
        ],
    )
    def test_after_a_failure(
        self, path: str, first: Script, status: int, runs: int
    ) -> None:
        async def test(bench: Bench) -> None:
            bench.steering.servers["u0"].service_ms = 0.01
            bench.steering.servers["u1"].own_load.running = 5
            received = await bench.ask(path)
            assert received.status == status
            assert count_runs(bench) == runs

        run(test, [first], [answer()])

    @pytest.mark.parametrize("path", ["/read/1", "/charge/1"])
    def test_refused_by_the_upstream(self, path: str) -> None:
        """A refusal says that nothing has run, so any request may go on."""

        async def test(bench: Bench) -> None:
            bench.steering.servers["u1"].own_load.running = 5
            received = await bench.ask(path)
            assert received.status == 200
            assert count_runs(bench) == 2

        refuse = answer(503, headers=("hornbeamyard-not-run: true",))
        run(test, [refuse], [answer()])

    def test_upstream_that_is_gone(self) -> None:
        """A connection that fails has sent nothing."""

        async def test(bench: Bench) -> None:
            upstream = copy.copy(bench.steering.servers["u0"].upstream)
            upstream.address = "127.0.0.1:1"
            upstream.id = "gone"
            bench.steering.apply_upstream(upstream)
            bench.steering.servers["u0"].own_load.running = 5
            received = await bench.ask("/charge/1")
            assert received.status == 200

        run(test, [answer()])

    def test_another_upstream_has_the_address(self) -> None:
        async def test(bench: Bench) -> None:
            bench.steering.servers["u1"].own_load.running = 5
            received = await bench.ask("/charge/1")
            assert received.status == 200
            assert not bench.steering.servers["u0"].is_usable(
                bench.timers.now()
            )

        run(test, [answer(421, signed=False)], [answer()])

    def test_budget_bounds_repeats(self) -> None:
        """Guards against repeats that double the load of failing upstreams."""

        async def test(bench: Bench) -> None:
            bench.budget = WindowRetryBudget(0.0, 0.0, 10.0)
            received = await bench.ask("/read/1")
            assert received.status == 502
            assert count_runs(bench) == 1

        run(test, [reset], [reset])


class TestHonesty:
    """A refusal says that nothing has run only when that is true."""

    def test_refused_after_a_try_that_may_have_run(self) -> None:
        async def test(bench: Bench) -> None:
            bench.steering.servers["u1"].own_load.running = 5
            received = await bench.ask("/read/1")
            assert received.status == 502

        refuse = answer(503, headers=("hornbeamyard-not-run: true",))
        run(test, [reset], [refuse])

    def test_all_tries_refused(self) -> None:
        async def test(bench: Bench) -> None:
            received = await bench.ask("/charge/1")
            assert received.status == 503
            assert b"retry-after" in received.headers
            assert b"hornbeamyard-signature" not in received.headers

        refuse = answer(503, headers=("hornbeamyard-not-run: true",))
        run(test, [refuse], [refuse])

    def test_failure_status_that_promises_nothing(self) -> None:
        """Guards against a 503 of an upstream that has run the request."""

        async def test(bench: Bench) -> None:
            received = await bench.ask("/charge/1")
            assert received.status == 502
            assert b"hornbeamyard-signature" not in received.headers

        run(test, [answer(503)])

    @pytest.mark.parametrize(
        "script",
        [
            answer(request_id="r-other"),
            answer(signed=False),
            answer(headers=("content-length: 99",)),
        ],
    )
    def test_foreign_or_broken_answer(self, script: Script) -> None:
        """Guards against bytes of another request."""

        async def test(bench: Bench) -> None:
            received = await bench.ask("/charge/1")
            assert received.status == 502
            assert received.whole

        run(test, [script])

    def test_time_of_the_route_is_over(self) -> None:
        async def test(bench: Bench) -> None:
            started_at = bench.timers.now()
            received = await bench.ask("/charge/1")
            assert received.status == 504
            assert 1.4 <= bench.timers.now() - started_at <= 1.8

        run(test, [hang])

    def test_caller_that_has_left_already(self) -> None:
        """Guards against work for callers that nobody waits for.

        Load pattern: a router without processor time reads requests when
        their callers have given up; the end of the connection is read one
        turn of the event loop later (millisafn-ill-grown trouble-1).
        """

        async def test(bench: Bench) -> None:
            # Leaves a connection on which a request is sent at once.
            await bench.ask("/read/1")
            await bench.ask("/read/1", leave_after_s=-1.0)
            assert count_runs(bench) == 1

        run(test, [answer()])

    def test_caller_leaves(self) -> None:
        """Guards against work for callers that are gone."""

        async def test(bench: Bench) -> None:
            await bench.ask("/charge/1", leave_after_s=0.1)
            await anyio.sleep(0.1)
            [raw] = bench.raw  # type: ignore[attr-defined]
            assert raw.closed == 1
            assert bench.steering.servers["u0"].own_load.running == 0

        run(test, [hang])


class TestStreams:
    """Events reach the caller once, in order and whole."""

    def test_whole_stream(self) -> None:
        async def test(bench: Bench) -> None:
            received = await bench.ask("/chat/1")
            assert received.whole
            assert received.body.count(b"data:") == 5
            assert b"content-length" not in received.headers

        run(test, [stream_events(1, 5)])

    def test_resumed_where_it_broke(self) -> None:
        async def test(bench: Bench) -> None:
            bench.steering.servers["u1"].own_load.running = 5
            received = await bench.ask("/chat/1")
            assert received.whole
            ids = [
                int(line.split()[1])
                for line in received.body.decode().splitlines()
                if line.startswith("id:")
            ]
            assert ids == [1, 2, 3, 4, 5, 6]
            seen = bench.raw[1].received[0]  # type: ignore[attr-defined]
            assert seen.get_header("last-event-id") == "3"

        broken = stream_events(1, 3, ends=False, cut=b"id: 4\nda")
        run(test, [broken], [stream_events(4, 6)])

    def test_not_resumed_where_the_route_forbids_it(self) -> None:
        """Guards against a broken stream that looks complete."""

        async def test(bench: Bench) -> None:
            received = await bench.ask("/notice/1")
            assert received.status == 200
            assert not received.whole
            assert count_runs(bench) == 1

        run(test, [stream_events(1, 3, ends=False)], [stream_events(1, 6)])


class TestLog:
    """Each decision on a request has a line with its inputs."""

    def test_lines_of_a_repeated_request(self) -> None:
        async def test(bench: Bench) -> None:
            bench.steering.servers["u1"].own_load.running = 5
            await bench.ask("/read/1")
            kinds = [line["event"] for line in bench.log.lines]
            assert kinds == ["placed", "retried", "placed", "answered"]
            assert all(line["request_id"] == "r-1" for line in bench.log.lines)
            first = bench.log.lines[0]
            assert {"upstream", "wait_ms", "version", "account"} <= set(first)

        run(test, [reset], [answer()])
