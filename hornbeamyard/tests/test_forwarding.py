"""Tests of routed requests with upstreams that fail or misbehave."""

from __future__ import annotations

import copy
import gzip
import json
import random
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import pytest

from hornbeamyard.connection.upstreams import UpstreamConnections
from hornbeamyard.pool.balancer import Balancer
from hornbeamyard.pool.shares import Shares
from hornbeamyard.pool.stream_origins import StreamOrigin, StreamOrigins
from hornbeamyard.pool.upstream_registry import (
    Upstream,
    UpstreamRegistry,
    UpstreamState,
)
from hornbeamyard.pool.usage import AccountUsage
from hornbeamyard.process.decisions import DecisionLog
from hornbeamyard.process.metrics import Metrics
from hornbeamyard.process.timers import MonotonicTimers
from hornbeamyard.process.upstream_notices import UpstreamNotices
from hornbeamyard.request.budget import WindowRetryBudget
from hornbeamyard.request.events import MAX_EVENT_BYTES
from hornbeamyard.request.forwarding import Forwarder
from hornbeamyard.request.headers import NATIVE_HEADER_NAMES, HeaderCodec
from hornbeamyard.request.reporting import RequestReporter
from hornbeamyard.version.routing import Routing, parse_routing

from .raw_upstream import (
    RawUpstream,
    Script,
    close_connection,
    hang,
    run_raw_upstream,
    send_events,
    send_response,
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
    "client_accounts": [
        {"name": "library", "keys": ["k1"]},
        {"name": "museum", "keys": ["k2"]},
    ],
}
EVENT_STREAM = "content-type: text/event-stream"
ERROR = b"HTTP/1.1 500 Error\r\ncontent-length: 6\r\n\r\nfailed"


class LogCapture:
    """Collects the lines of the decision log."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def write(self, line: str) -> bool:
        """Add a line."""
        self.lines.append(json.loads(line))
        return True


@dataclass
class ReceivedResponse:
    """What a caller received."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


class Harness:
    """A forwarder in front of scripted upstreams, with its router's state."""

    def __init__(self, upstreams: list[RawUpstream]) -> None:
        self.timers = MonotonicTimers()
        self.routing: Routing | None = parse_routing(DOCUMENT).unwrap()
        self.routers = 1
        self.is_closing = False
        self.is_stopping = False
        self.last_attempt_at = float("inf")
        self.drain_end_at = float("inf")
        self.origins = StreamOrigins()
        self.shares = Shares()
        self.log = LogCapture()
        decisions = DecisionLog(self.timers, "r1", self.log)  # type: ignore[arg-type]
        connections = UpstreamConnections(0.5)
        balancers: dict[str, Balancer] = {}
        self.notices = UpstreamNotices(
            "r1", self.timers, decisions, connections, balancers
        )
        self.balancer = Balancer(
            "app",
            "zone-a",
            self.shares,
            random.Random(1).random,
            self.timers.limit,
            self.notices.crashes.ledger,
            self.notices.limits.limits,
        )
        balancers["app"] = self.balancer
        self.budget = WindowRetryBudget(0.2, 50.0, 10.0)
        for number, upstream in enumerate(upstreams):
            self.balancer.apply_upstream(
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
        self.forwarder = Forwarder(
            self,
            HeaderCodec(NATIVE_HEADER_NAMES),
            connections,
            self.shares,
            self.timers,
            RequestReporter(self.timers, decisions, Metrics()),
        )

    def set_software_versions(self, *versions: str) -> None:
        """Set the software versions of the upstreams in order."""
        for server, version in zip(
            self.balancer.servers.values(), versions, strict=True
        ):
            server.upstream.software_version = version

    def find_balancer(self, pool: str) -> Balancer:
        """Return the balancer of the only pool."""
        return self.balancer

    def find_budget(self, pool: str) -> WindowRetryBudget:
        """Return the retry budget of the only pool."""
        return self.budget

    def record_stream(self, request_id: str, origin: StreamOrigin) -> None:
        """Record a stream that begins."""
        self.origins.record(request_id, origin, 0.0)

    async def find_origin(
        self, pools: Iterable[str], request_id: str
    ) -> StreamOrigin | None:
        """Return where a stream began, if this router knows it."""
        return self.origins.find(request_id)

    def record_leaving(self, upstream: Upstream) -> None:
        """Take the upstream out of service, as a router does."""
        draining = replace(upstream, state=UpstreamState.DRAINING)
        self.balancer.apply_upstream(draining)

    async def send_request(
        self,
        path: str = "/read/1",
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        key: bytes = b"Bearer k1",
        disconnect_after_s: float | None = None,
        before_body: Callable[[], None] = lambda: None,
        body_delay_s: float = 0.0,
    ) -> ReceivedResponse:
        """Send a request and return the response."""
        received = ReceivedResponse()
        was_read = False
        ended = anyio.Event()

        async def receive() -> dict[str, Any]:
            nonlocal was_read
            if not was_read:
                was_read = True
                before_body()
                await anyio.sleep(body_delay_s)
                return {"type": "http.request", "body": body}
            # Servers report a disconnect also after the end of the response.
            with anyio.move_on_after(disconnect_after_s or 60):
                await ended.wait()
            return {"type": "http.disconnect"}

        async def send(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start":
                assert not received.status, "a second response began"
                received.status = message["status"]
                received.headers = dict(message["headers"])
                return
            assert not received.is_complete, (
                "bytes after the end of the response"
            )
            received.body += message.get("body", b"")
            received.is_complete = not message.get("more_body", False)
            if received.is_complete:
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
    test: Callable[[Harness], Awaitable[None]], *scripts: list[Script]
) -> None:
    """Run a test with one upstream for each list of scripts."""

    async def main() -> None:
        async with AsyncExitStack() as stack:
            upstreams = [
                await stack.enter_async_context(run_raw_upstream(*each))
                for each in scripts
            ]
            harness = Harness(upstreams)
            harness.raw_upstreams = upstreams  # type: ignore[attr-defined]
            with anyio.fail_after(10):
                await test(harness)

    anyio.run(main)


def count_received(harness: Harness) -> int:
    """Return the number of requests that reached any upstream."""
    return sum(len(up.received) for up in harness.raw_upstreams)  # type: ignore


class TestChecks:
    """Requests without a route or a valid key reach no upstream."""

    @pytest.mark.parametrize(
        ("path", "key", "expected"),
        [
            ("/other/1", b"Bearer k1", 404),
            ("/read/1", b"Bearer wrong", 401),
            ("/open/1", b"Bearer wrong", 200),
        ],
    )
    def test_checks_route_and_key(
        self, path: str, key: bytes, expected: int
    ) -> None:
        """Guards against serving requests without a route or a valid key."""

        async def test(harness: Harness) -> None:
            received = await harness.send_request(path, key=key)
            assert received.status == expected
            assert count_received(harness) == (1 if expected == 200 else 0)

        run(test, [send_response()])

    @pytest.mark.parametrize(
        ("changes", "expected"),
        [
            (
                {
                    "pools": [{"name": "new"}],
                    "routes": [
                        route | {"shares": [{"pool": "new"}]}
                        for route in DOCUMENT["routes"]
                    ],
                },
                200,
            ),
            ({"routes": DOCUMENT["routes"][1:]}, 404),
            ({"client_accounts": [{"name": "museum", "keys": ["k2"]}]}, 401),
        ],
        ids=["pool", "route", "key"],
    )
    def test_routing_changes_before_body(
        self, changes: dict[str, Any], expected: int
    ) -> None:
        """Guards against an error, or service by a former version."""

        async def test(harness: Harness) -> None:
            def change() -> None:
                document = DOCUMENT | {"version": 4} | changes
                harness.routing = parse_routing(document).unwrap()

            received = await harness.send_request(
                body=b"late", before_body=change
            )
            assert received.status == expected
            assert count_received(harness) == (1 if expected == 200 else 0)

        run(test, [send_response()])

    @pytest.mark.parametrize("is_ending", [False, True])
    def test_body_that_does_not_arrive(self, is_ending: bool) -> None:
        """Guards against requests without an answer at their time limit."""

        async def test(harness: Harness) -> None:
            async with anyio.create_task_group() as tasks:

                async def end() -> None:
                    await anyio.sleep(0.3)
                    harness.forwarder.end_requests()

                if is_ending:
                    tasks.start_soon(end)
                started_at = anyio.current_time()
                received = await harness.send_request(
                    body=b"late", body_delay_s=60
                )
                elapsed_s = anyio.current_time() - started_at
            assert received.status == 408
            # The route's time limit is 1.5 s.
            assert (elapsed_s < 1.4) is is_ending
            assert elapsed_s < 2.0
            assert not count_received(harness)
            received = await harness.send_request(body=b"late")
            assert received.status == 200

        run(test, [send_response()])

    def test_bounds_memory_for_bodies(self) -> None:
        """Guards against a router that ends because it has no memory left."""
        statuses: list[int] = []

        async def respond_late(stream: Any, received: Any) -> None:
            while len(statuses) < 2:
                await anyio.sleep(0.01)
            await send_response()(stream, received)

        async def test(harness: Harness) -> None:
            harness.forwarder.max_buffered_size = 10

            async def send(body: bytes) -> None:
                response = await harness.send_request("/charge/1", body)
                statuses.append(response.status)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, b"8 bytes.")
                while not count_received(harness):
                    await anyio.sleep(0.01)
                await send(b"3 b")
                await send(b"2b")
            await send(b"10 bytes..")
            await send(b"eleven byte")
            assert statuses == [503, 200, 200, 200, 503]
            assert count_received(harness) == 3

        run(test, [respond_late, send_response()])

    def test_unavailable_without_routing(self) -> None:
        """Guards against a 404 from a router that has just started."""

        async def test(harness: Harness) -> None:
            harness.routing = None
            received = await harness.send_request()
            assert received.status == 503
            assert b"retry-after" in received.headers

        run(test, [send_response()])

    def test_forwards_request_unchanged(self) -> None:
        """Guards against altered requests and forged router headers."""

        async def test(harness: Harness) -> None:
            forged = (
                (b"hornbeamyard-account", b"someone"),
                (b"hornbeamyard-upstream", b"u9"),
                (b"connection", b"x-secret"),
                (b"x-secret", b"1"),
                (b"x-kept", b"2"),
            )
            await harness.send_request("/charge/a%2Fb?x=1", b"body", forged)
            [raw_upstream] = harness.raw_upstreams  # type: ignore[attr-defined]
            [seen] = raw_upstream.received
            assert seen.request_line == "POST /charge/a%2Fb?x=1 HTTP/1.1"
            assert seen.body == b"body"
            assert seen.get_header("hornbeamyard-account") == "library"
            assert seen.get_header("hornbeamyard-upstream") == "u0"
            assert seen.get_header("authorization") is None
            assert seen.get_header("x-secret") is None
            assert seen.get_header("x-kept") == "2"
            remaining_ms = int(
                seen.get_header("hornbeamyard-deadline-ms") or 0
            )
            assert 1000 < remaining_ms <= 1500

        run(test, [send_response()])


class TestRetries:
    """A request is retried only if that is safe."""

    @pytest.mark.parametrize(
        ("path", "first", "status", "runs"),
        [
            ("/read/1", close_connection, 200, 2),
            ("/read/1", send_response(500), 200, 2),
            ("/read/1", send_response(400), 400, 1),
            ("/charge/1", close_connection, 502, 1),
            ("/charge/1", send_response(500), 500, 1),
            ("/notice/1", close_connection, 502, 1),
            ("/chat/1", close_connection, 200, 2),
        ],
    )
    def test_after_failure(
        self, path: str, first: Script, status: int, runs: int
    ) -> None:
        """Guards against retries that may run a request twice."""

        async def test(harness: Harness) -> None:
            harness.balancer.servers["u0"].service_ms = 0.01
            harness.balancer.servers["u1"].own_load.running = 5
            received = await harness.send_request(path)
            assert received.status == status
            assert count_received(harness) == runs

        run(test, [first], [send_response()])

    @pytest.mark.parametrize("path", ["/read/1", "/charge/1"])
    def test_after_refusal_by_upstream(self, path: str) -> None:
        """Guards against failing a request that no upstream has run yet."""

        async def test(harness: Harness) -> None:
            harness.balancer.servers["u1"].own_load.running = 5
            received = await harness.send_request(path)
            assert received.status == 200
            assert count_received(harness) == 2

        refuse = send_response(503, headers=("hornbeamyard-not-run: true",))
        run(test, [refuse], [send_response()])

    def test_after_failed_connection(self) -> None:
        """Guards against failing a request that was never sent."""

        async def test(harness: Harness) -> None:
            upstream = copy.copy(harness.balancer.servers["u0"].upstream)
            upstream.address = "127.0.0.1:1"
            upstream.id = "gone"
            harness.balancer.apply_upstream(upstream)
            harness.balancer.servers["u0"].own_load.running = 5
            received = await harness.send_request("/charge/1")
            assert received.status == 200

        run(test, [send_response()])

    def test_after_wrong_upstream(self) -> None:
        """Guards against more requests to an address with a new owner."""

        async def test(harness: Harness) -> None:
            harness.balancer.servers["u1"].own_load.running = 5
            received = await harness.send_request("/charge/1")
            assert received.status == 200
            assert not harness.balancer.servers["u0"].is_usable(
                harness.timers.now()
            )

        run(test, [send_response(421, signed=False)], [send_response()])

    def test_retry_budget(self) -> None:
        """Guards against retries that double the load of failing upstreams."""

        async def test(harness: Harness) -> None:
            harness.budget = WindowRetryBudget(0.0, 0.0, 10.0)
            received = await harness.send_request("/read/1")
            assert received.status == 502
            assert count_received(harness) == 1

        run(test, [close_connection], [close_connection])


class TestFailureResponses:
    """A response says "not run" only if no attempt may have run."""

    def test_refusal_after_attempt_that_may_have_run(self) -> None:
        """Guards against "not run" after an attempt that may have run."""

        async def test(harness: Harness) -> None:
            harness.balancer.servers["u1"].own_load.running = 5
            received = await harness.send_request("/read/1")
            assert received.status == 502

        refuse = send_response(503, headers=("hornbeamyard-not-run: true",))
        run(test, [close_connection], [refuse])

    def test_all_attempts_refused(self) -> None:
        """Guards against losing the refusal or leaking upstream headers."""

        async def test(harness: Harness) -> None:
            received = await harness.send_request("/charge/1")
            assert received.status == 503
            assert b"retry-after" in received.headers
            assert b"hornbeamyard-signature" not in received.headers

        refuse = send_response(503, headers=("hornbeamyard-not-run: true",))
        run(test, [refuse], [refuse])

    def test_unavailable_upstream_that_may_have_run(self) -> None:
        """Guards against a 503, which says "not run", after a possible run."""

        async def test(harness: Harness) -> None:
            received = await harness.send_request("/charge/1")
            assert received.status == 502
            assert b"hornbeamyard-signature" not in received.headers

        run(test, [send_response(503)])

    @pytest.mark.parametrize(
        "script",
        [
            send_response(request_id="r-other"),
            send_response(signed=False),
            send_response(headers=("content-length: 99",)),
        ],
    )
    def test_response_of_other_request_or_incomplete(
        self, script: Script
    ) -> None:
        """Guards against forwarding a mismatched or incomplete response."""

        async def test(harness: Harness) -> None:
            received = await harness.send_request("/charge/1")
            assert received.status == 502
            assert received.is_complete

        run(test, [script])

    def test_deadline_passes(self) -> None:
        """Guards against waiting past the route's timeout."""

        async def test(harness: Harness) -> None:
            started_at = harness.timers.now()
            received = await harness.send_request("/charge/1")
            assert received.status == 504
            assert 1.4 <= harness.timers.now() - started_at <= 1.8

        run(test, [hang])

    def test_caller_has_already_disconnected(self) -> None:
        """Guards against sending a request whose caller has disconnected.

        An overloaded router reads requests after their callers have given
        up, and the end of the connection one turn of the event loop later.
        """

        async def test(harness: Harness) -> None:
            # Leaves an idle connection, on which the next request could be
            # sent without delay.
            await harness.send_request("/read/1")
            await harness.send_request("/read/1", disconnect_after_s=-1.0)
            assert count_received(harness) == 1

        run(test, [send_response()])

    def test_caller_disconnects(self) -> None:
        """Guards against running requests whose callers have disconnected."""

        async def test(harness: Harness) -> None:
            await harness.send_request("/charge/1", disconnect_after_s=0.1)
            await anyio.sleep(0.1)
            [raw_upstream] = harness.raw_upstreams  # type: ignore[attr-defined]
            assert raw_upstream.closed == 1
            assert harness.balancer.servers["u0"].own_load.running == 0

        run(test, [hang])


class TestStreams:
    """Events reach the caller once, in order and complete."""

    def test_complete_stream(self) -> None:
        """Guards against lost events and a wrong length."""

        async def test(harness: Harness) -> None:
            received = await harness.send_request("/chat/1")
            assert received.is_complete
            assert received.body.count(b"data:") == 5
            assert b"content-length" not in received.headers

        run(test, [send_events(1, 5)])

    def test_resumes_interrupted_stream(self) -> None:
        """Guards against lost, repeated or partial events."""

        async def test(harness: Harness) -> None:
            harness.balancer.servers["u1"].own_load.running = 5
            received = await harness.send_request("/chat/1")
            assert received.is_complete
            ids = [
                int(line.split()[1])
                for line in received.body.decode().splitlines()
                if line.startswith("id:")
            ]
            assert ids == [1, 2, 3, 4, 5, 6]
            seen = harness.raw_upstreams[1].received[0]  # type: ignore[attr-defined]
            assert seen.get_header("last-event-id") == "3"

        broken = send_events(1, 3, complete=False, partial_event=b"id: 4\nda")
        run(test, [broken], [send_events(4, 6)])

    def test_does_not_resume_if_route_forbids(self) -> None:
        """Guards against an interrupted stream that looks complete."""

        async def test(harness: Harness) -> None:
            received = await harness.send_request("/notice/1")
            assert received.status == 200
            assert not received.is_complete
            assert count_received(harness) == 1

        run(test, [send_events(1, 3, complete=False)], [send_events(1, 6)])


class TestTruncatedStreams:
    """A stream that breaks off inside an event never looks complete."""

    @pytest.mark.parametrize("framing", ["close", "chunked"])
    @pytest.mark.parametrize(
        "partial_event",
        [b"id: 4\nda", b"id: 4\ndata: 4\n", b"id: 4\r", b":"],
        ids=["in a line", "after a line", "after CR", "in a comment"],
    )
    @pytest.mark.parametrize("path", ["/chat/1", "/notice/1"])
    def test_ended_inside_event(
        self, path: str, partial_event: bytes, framing: str
    ) -> None:
        """Guards against a truncated stream framed as complete."""

        async def test(harness: Harness) -> None:
            received = await harness.send_request(path)
            assert received.body.startswith(b"id: 1\ndata: 1\n\n")
            assert not received.is_complete

        run(
            test,
            [send_events(1, 3, partial_event=partial_event, framing=framing)],
        )

    @pytest.mark.parametrize("path", ["/chat/1", "/notice/1"])
    def test_whole_stream_ended_by_close(self, path: str) -> None:
        """Guards against refusing whole streams that have no length."""

        async def test(harness: Harness) -> None:
            received = await harness.send_request(path)
            assert received.is_complete
            assert received.body.count(b"data:") == 3

        run(test, [send_events(1, 3, framing="close")])

    @pytest.mark.parametrize(
        "events", [b"data: 1\n\n", b"id: 1\ndata: 1\n\n: ping\n\n" + ERROR]
    )
    def test_events_without_ids_are_not_continued(self, events: bytes) -> None:
        """Guards against events that come twice, as nothing tells the last."""

        async def test(harness: Harness) -> None:
            harness.balancer.servers["u1"].own_load.running = 5
            received = await harness.send_request("/chat/1")
            assert received.body == events.removesuffix(b"failed")
            assert not received.is_complete

        broken = send_events(1, 0, complete=False, partial_event=events)
        run(test, [broken], [send_events(2, 6)])

    def test_oversized_event_is_not_continued(self) -> None:
        """Guards against one event joined from the parts of two runs."""
        large = b"id: 4\ndata: " + b"x" * 2 * MAX_EVENT_BYTES

        async def test(harness: Harness) -> None:
            harness.balancer.servers["u1"].own_load.running = 5
            received = await harness.send_request("/chat/1")
            assert not received.is_complete
            assert count_received(harness) == 1

        broken = send_events(1, 3, partial_event=large, framing="close")
        run(test, [broken], [send_events(4, 6)])

    @pytest.mark.parametrize("framing", ["chunked", "close"])
    @pytest.mark.parametrize("path", ["/chat/1", "/notice/1"])
    def test_encoded_stream(self, path: str, framing: str) -> None:
        """Guards against reading compressed bytes as events."""
        body = gzip.compress(b"id: 1\ndata: 1\n\n")
        encoding = "content-encoding: gzip"

        async def test(harness: Harness) -> None:
            received = await harness.send_request(path)
            assert received.body == body
            assert received.is_complete == (framing == "chunked")

        run(test, [send_events(1, 0, True, body, (encoding,), framing)])

    @pytest.mark.parametrize("path", ["/chat/1", "/notice/1"])
    def test_ended_before_first_event(self, path: str) -> None:
        """Guards against an empty stream as the answer of a crashed engine."""

        async def test(harness: Harness) -> None:
            received = await harness.send_request(path)
            assert received.status == 502

        run(test, [send_events(1, 0, framing="close")])

    def test_continued_stream_without_further_events(self) -> None:
        """Guards against failing a stream that broke after its last event."""

        async def test(harness: Harness) -> None:
            harness.balancer.servers["u1"].own_load.running = 5
            received = await harness.send_request("/chat/1")
            assert received.is_complete
            assert received.body.count(b"data:") == 3

        run(test, [send_events(1, 3, complete=False)], [send_events(4, 3)])


class TestContinuedStreams:
    """Only events that follow the last one continue a stream."""

    @pytest.mark.parametrize("continued_by", ["router", "caller"])
    @pytest.mark.parametrize(
        "script",
        [
            send_events(4, 3, partial_event=b"engine failed\n\n"),
            send_events(4, 3, partial_event=b"event: error\ndata: x\n\n"),
            send_events(4, 3, partial_event=ERROR, framing="close"),
            send_events(4, 3, partial_event=b"id: 4\ndata: 4\n\n" + ERROR),
            send_events(4, 3, partial_event=b"x" * (MAX_EVENT_BYTES + 1)),
            send_events(1, 6),
            send_events(3, 6),
            send_events(4, 3, partial_event=b": ping\n\n", framing="close"),
            send_events(4, 3, framing="close"),
            send_events(
                4, 3, True, b"\x1f\x8b\n\n", ("content-encoding: gzip",)
            ),
            send_response(204, b"", (EVENT_STREAM,)),
            send_response(206, b"id: 4\ndata: 4\n\n", (EVENT_STREAM,)),
        ],
    )
    def test_response_that_does_not_follow(
        self, script: Script, continued_by: str
    ) -> None:
        """Guards against an error in the middle of a stream, or as its end."""
        is_begun = continued_by == "router"

        async def test(harness: Harness) -> None:
            document = copy.deepcopy(DOCUMENT)
            for route in document["routes"]:
                route["most_attempts"] = 3
            harness.routing = parse_routing(document).unwrap()
            for number, server in enumerate(harness.balancer.servers.values()):
                server.own_load.running = 3 * number
            harness.record_stream("r-0", StreamOrigin("app", ""))
            resumes = (b"hornbeamyard-resumes", b"r-0")
            headers = () if is_begun else (resumes, (b"last-event-id", b"3"))
            received = await harness.send_request("/chat/1", headers=headers)
            # Comments belong to no event.
            events = received.body.replace(b": ping\n\n", b"")
            assert events == b"".join(
                f"id: {number}\ndata: {number}\n\n".encode()
                for number in range(1 if is_begun else 4, 7)
            )
            assert received.is_complete

        broken = send_events(1, 3, complete=False, partial_event=b"id: 4\nda")
        scripts = [script], [send_events(4, 6)]
        run(test, *([broken], *scripts) if is_begun else scripts)

    @pytest.mark.parametrize("framing", ["chunked", "close"])
    def test_begun_event_is_missing(self, framing: str) -> None:
        """Guards against a stream that ends without an event it had begun."""

        async def test(harness: Harness) -> None:
            harness.balancer.servers["u1"].own_load.running = 5
            received = await harness.send_request("/chat/1")
            assert received.body.count(b"data:") == 3
            assert not received.is_complete

        broken = send_events(1, 3, partial_event=b"id", framing="close")
        run(test, [broken], [send_events(4, 3, framing=framing)])


class TestSoftwareVersions:
    """A stream goes on only at the software version that began it."""

    @pytest.mark.parametrize("other", ["v2", ""])
    def test_breaks_off_without_its_version(self, other: str) -> None:
        """Guards against one response joined from two software versions."""

        async def test(harness: Harness) -> None:
            harness.set_software_versions("v1", other)
            harness.balancer.servers["u1"].own_load.running = 5
            received = await harness.send_request("/chat/1")
            assert received.body.count(b"data:") == 3
            assert not received.is_complete
            assert count_received(harness) == 1

        run(test, [send_events(1, 3, complete=False)], [send_events(4, 6)])

    def test_continues_at_its_version(self) -> None:
        """Guards against streams that break although they could go on."""

        async def test(harness: Harness) -> None:
            harness.set_software_versions("v1", "v2", "v1")
            harness.balancer.servers["u1"].own_load.running = 3
            harness.balancer.servers["u2"].own_load.running = 6
            received = await harness.send_request("/chat/1")
            assert received.is_complete
            assert received.body.count(b"data:") == 6

        broken = send_events(1, 3, complete=False)
        run(test, [broken], [hang], [send_events(4, 6)])

    @pytest.mark.parametrize(
        ("origin", "status", "reason"),
        [
            (StreamOrigin("app", "v1"), 200, None),
            (StreamOrigin("app", "v3"), 503, "no_version"),
            (StreamOrigin("other", "v1"), 503, "no_version"),
            (None, 503, "unknown_origin"),
        ],
    )
    def test_resumed_stream(
        self, origin: StreamOrigin | None, status: int, reason: str | None
    ) -> None:
        """Guards against a resumed stream at any version, or a late refusal.

        A stream whose version is gone can't be served later either.
        """

        async def test(harness: Harness) -> None:
            harness.set_software_versions("v1", "v2")
            harness.balancer.servers["u0"].own_load.running = 3
            if origin is not None:
                harness.record_stream("r-0", origin)
            began_at = harness.timers.now()
            received = await harness.send_request(
                "/chat/1",
                headers=(
                    (b"hornbeamyard-resumes", b"r-0"),
                    (b"last-event-id", b"3"),
                ),
            )
            assert received.status == status
            assert harness.timers.now() - began_at < 0.05 or status == 200
            assert count_received(harness) == (status == 200)
            assert harness.log.lines[-1].get("reason") == reason

        run(test, [send_events(4, 6)], [send_events(4, 6)])

    @pytest.mark.parametrize(("leaving_s", "status"), [(1.4, 200), (1.6, 503)])
    def test_goes_on_at_a_leaving_upstream(
        self, leaving_s: float, status: int
    ) -> None:
        """Guards against streams that end with the last ready upstream.

        While others of its version leave, they still take requests.
        """

        async def test(harness: Harness) -> None:
            harness.set_software_versions("v1", "v2")
            harness.balancer.upstream_drain_s = 2.0
            registry = UpstreamRegistry()
            old = harness.balancer.servers["u0"].upstream
            registry.announce(old, 0.0)
            leaving = replace(old, state=UpstreamState.DRAINING, sequence=9)
            left_at = harness.timers.now() - leaving_s
            harness.balancer.apply_upstream(
                *registry.announce(leaving, left_at)
            )
            harness.record_stream("r-0", StreamOrigin("app", "v1"))
            received = await harness.send_request(
                "/chat/1", headers=((b"hornbeamyard-resumes", b"r-0"),)
            )
            assert received.status == status
            await harness.send_request("/chat/1")
            assert count_received(harness) == 1 + (status == 200)

        run(test, [send_events(1, 6)], [send_events(1, 6)])

    def test_first_events_choose_the_version(self) -> None:
        """Guards against a version fixed by an attempt without events."""

        async def test(harness: Harness) -> None:
            harness.set_software_versions("v1", "v2")
            harness.balancer.servers["u1"].own_load.running = 5
            received = await harness.send_request("/chat/1")
            assert received.is_complete

        run(test, [close_connection], [send_events(1, 3)])

    def test_origin_is_recorded_with_the_first_event(self) -> None:
        """Guards against an origin from an attempt without events.

        Controllers would keep it if this router can't report the next one.
        """

        async def test(harness: Harness) -> None:
            harness.set_software_versions("v1", "v2")
            harness.balancer.servers["u1"].own_load.running = 5
            received = await harness.send_request("/chat/1")
            assert received.is_complete
            assert harness.origins.number == 1
            assert harness.origins.find("r-1") == StreamOrigin("app", "v2")

        run(test, [close_connection], [send_events(1, 3)])


class TestCallerRetries:
    """A caller's retry is told apart by the time that it has left."""

    @pytest.mark.parametrize(
        ("deadline_ms", "is_retry"),
        [(10000, False), (9000, False), (8500, False), (6000, True)],
    )
    def test_first_attempts_with_different_deadlines(
        self, deadline_ms: int, is_retry: bool
    ) -> None:
        """Guards against first attempts that are taken for retries.

        Callers' deadlines differ by some tenths. Four in five first attempts
        were taken for retries, so that they were sent to queues longer than
        their target and weren't counted in the demand of their account.
        """

        async def test(harness: Harness) -> None:
            for deadline in (10000, deadline_ms):
                name = NATIVE_HEADER_NAMES.deadline_ms
                await harness.send_request(
                    headers=((name, str(deadline).encode()),)
                )
            placed = [
                line for line in harness.log.lines if line["event"] == "placed"
            ]
            assert [line["returned"] for line in placed] == [False, is_retry]

        run(test, [send_response()])


class TestLog:
    """Each decision on a request is logged with its inputs."""

    def test_lines_of_retried_request(self) -> None:
        """Guards against decisions that are not logged."""

        async def test(harness: Harness) -> None:
            harness.balancer.servers["u1"].own_load.running = 5
            await harness.send_request("/read/1")
            kinds = [line["event"] for line in harness.log.lines]
            assert kinds == ["placed", "retried", "placed", "answered"]
            assert all(
                line["request_id"] == "r-1" for line in harness.log.lines
            )
            first = harness.log.lines[0]
            assert {"upstream", "wait_ms", "version", "account"} <= set(first)

        run(test, [close_connection], [send_response()])

    def test_share_of_placed_request(self) -> None:
        """Guards against admitted requests of an account in debt.

        Lines told the credit of refused requests only, so nothing explained
        why others of the same account were sent.
        """

        async def test(harness: Harness) -> None:
            assert harness.routing is not None
            pools = harness.routing.pools
            pools["app"] = replace(pools["app"], kv_capacity_tokens=300_000)
            harness.balancer.configure(300_000, 4, 50_000.0, 60.0)
            harness.shares.throughput = 1000.0
            usage = {
                "library": AccountUsage(100_000, 0),
                "museum": AccountUsage(100_000, 0),
            }
            now = harness.timers.now()
            harness.shares.apply_fleet_usage(usage, 1, "leader", now)
            harness.shares.record_admitted("library", 5_000)
            await harness.send_request()
            placed = harness.log.lines[0]
            assert placed["event"] == "placed"
            assert placed["grant"] == "headroom"
            assert placed["credit"] < 0
            assert placed["above_share"] is True
            assert {"level", "demand", "spare", "fraction"} <= set(placed)

        run(test, [send_response()])

    def test_shared_parts_of_broken_request(self) -> None:
        """Guards against crashes that no log line links to a prompt part."""

        async def test(harness: Harness) -> None:
            parts = (b"hornbeamyard-prompt-parts", b"a1:20,b2:5,c3:9")
            await harness.send_request("/notice/1", headers=(parts,))
            failed = harness.log.lines[-1]
            assert failed["event"] == "failed"
            assert failed["upstream"] == "u0"
            assert failed["parts"] == ["a1", "b2"]
            assert failed["first_ms"] == 0

        run(test, [send_events(1, 0, complete=False)])

    @pytest.mark.parametrize(
        ("script", "framing"),
        [
            (send_response(), "length"),
            (send_events(1, 3), "chunked"),
            (send_events(1, 3, framing="close"), "close"),
        ],
    )
    def test_framing_of_response(self, script: Script, framing: str) -> None:
        """Guards against log lines that don't tell how a response ended."""

        async def test(harness: Harness) -> None:
            await harness.send_request("/notice/1")
            assert harness.log.lines[-1]["event"] == "answered"
            assert harness.log.lines[-1]["framing"] == framing

        run(test, [script])

    def test_deadlines_of_former_routes(self) -> None:
        """Guards against memory for each route that a routing ever had."""

        async def test(harness: Harness) -> None:
            deadline = (b"hornbeamyard-deadline-ms", b"900")
            for number in range(20):
                document = copy.deepcopy(DOCUMENT)
                document["version"] = 4 + number
                for route in document["routes"]:
                    route["name"] += f"-{number}"
                harness.routing = parse_routing(document).unwrap()
                await harness.send_request(headers=(deadline,))
            kept = harness.forwarder._max_deadline_ms
            assert len(kept) <= len(DOCUMENT["routes"])
            assert "read-19" in kept

        run(test, [send_response()] * 20)


class TestReject:
    """Responses to requests that their header alone rejects."""

    @pytest.mark.parametrize(
        ("host", "path", "key", "has_routing", "status"),
        [
            (b"api.example:80", "/none/1", b"Bearer k1", True, 404),
            (b"other", "/read/1", b"Bearer k1", True, 404),
            (b"api.example", "/read/1", b"Bearer k9", True, 401),
            (b"api.example", "/read/1", b"Bearer k1", False, 503),
            (b"api.example", "/read/1", b"Bearer k1", True, 0),
            (b"api.example", "/open/1", b"Bearer k9", True, 0),
        ],
    )
    def test_equals_the_usual_response(
        self,
        host: bytes,
        path: str,
        key: bytes,
        has_routing: bool,
        status: int,
    ) -> None:
        """Guards against a short cut that answers otherwise."""

        async def run() -> None:
            harness = Harness([])
            if not has_routing:
                harness.routing = None
            headers = [
                (b"host", host),
                (b"hornbeamyard-request", b"r-1"),
                (b"authorization", key),
            ]
            response = harness.forwarder.reject(path.encode(), headers)
            if not status:
                assert response is None
                return
            [rejected] = harness.log.lines
            assert (rejected["status"], rejected["request_id"]) == (
                status,
                "r-1",
            )
            assert response is not None
            head, _, body = response.partition(b"\r\n\r\n")
            line, *lines = head.split(b"\r\n")
            usual = ReceivedResponse()

            async def send(message: dict[str, Any]) -> None:
                usual.status = message.get("status", usual.status)
                usual.headers |= dict(message.get("headers", ()))
                usual.body += message.get("body", b"")

            scope = {
                "type": "http",
                "raw_path": path.encode(),
                "headers": headers,
            }
            await harness.forwarder(scope, None, send)  # type: ignore[arg-type]
            assert line.startswith(f"HTTP/1.1 {status} ".encode())
            fields = dict(line.split(b": ") for line in lines)
            # The time is drawn.
            assert (b"retry-after" in fields) == (status == 503)
            usual.headers.pop(b"retry-after", None)
            fields.pop(b"retry-after", None)
            assert (usual.status, fields, body) == (
                status,
                usual.headers,
                usual.body,
            )
            harness.is_closing = True
            assert harness.forwarder.reject(path.encode(), headers) is None

        anyio.run(run)
