"""Tests of upstreams that crash and start again under their ids."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import anyio
import anyio.abc
import pytest

from hornbeamyard.connection.client import Connection
from hornbeamyard.connection.upstreams import UpstreamConnections
from hornbeamyard.pool.crashes import Crash
from hornbeamyard.pool.demand import PromptPart, RequestDemand
from hornbeamyard.pool.ended_starts import UNKNOWN_VERSION, EndedStarts
from hornbeamyard.pool.engine import Engine
from hornbeamyard.pool.stream_origins import StreamOrigin
from hornbeamyard.pool.upstream_registry import (
    Upstream,
    UpstreamRegistry,
    UpstreamStart,
    UpstreamState,
)
from hornbeamyard.pool.usage import CachedPart
from hornbeamyard.request import forwarding

from .raw_upstream import (
    RawUpstream,
    ReceivedRequest,
    close_connection,
    run_raw_upstream,
    send_events,
    send_response,
)
from .test_forwarding import Harness, ReceivedResponse, run

BROKEN = send_events(1, 3, complete=False)
OLD = UpstreamStart("u1", 1)
STREAM_START = (
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    "transfer-encoding: chunked\r\nhornbeamyard-request: {id}\r\n"
    "hornbeamyard-signature: s1\r\n\r\n"
    "f\r\nid: 3\ndata: 3\n\n\r\n"
)


def build_upstream(start: UpstreamStart) -> Upstream:
    """Return a ready upstream."""
    return Upstream(
        start.id,
        "app",
        "10.0.0.1:80",
        "zone-a",
        UpstreamState.READY,
        4,
        1,
        start.started_ms,
    )


def build_ended(start: UpstreamStart) -> tuple[UpstreamRegistry, EndedStarts]:
    """Return a registry with a start that has ended."""
    registry, ended = UpstreamRegistry(), EndedStarts()
    registry.announce(build_upstream(start), 0.0)
    assert ended.record(start)
    assert not ended.record(start)
    return registry, ended


async def resume(harness: Harness) -> ReceivedResponse:
    """Resume the stream r-0, which began at v1."""
    harness.record_stream("r-0", StreamOrigin("app", "v1"))
    return await harness.send_request(
        "/chat/1",
        headers=(
            (b"hornbeamyard-resumes", b"r-0"),
            (b"last-event-id", b"3"),
        ),
    )


def list_upstreams(harness: Harness) -> list[RawUpstream]:
    """Return the upstreams in order."""
    return harness.raw_upstreams  # type: ignore[attr-defined, no-any-return]


def let_crash(upstream: RawUpstream) -> None:
    """Let an upstream crash during its next stream."""

    async def crash(
        stream: anyio.abc.SocketStream, received: ReceivedRequest
    ) -> None:
        id = received.get_header("hornbeamyard-request") or ""
        await stream.send(STREAM_START.format(id=id).encode())
        # The router reads the event before the connection ends.
        await anyio.sleep(0.02)
        upstream.crash()

    upstream.scripts[:] = [crash]


@asynccontextmanager
async def start_again(upstream: RawUpstream) -> AsyncIterator[RawUpstream]:
    """Run another upstream at the address of one that has crashed."""
    async with run_raw_upstream(
        send_events(4, 6), port=upstream.port
    ) as another:
        yield another


class TestCrashes:
    """Nothing recorded about a start counts once it has crashed."""

    @pytest.mark.parametrize("suspicion_s", [forwarding.SUSPICION_S, 0.0])
    def test_stream_is_not_resumed(
        self, monkeypatch: pytest.MonkeyPatch, suspicion_s: float
    ) -> None:
        """Guards against streams that go on at the next start's version.

        Streams that have gone on for long tell of a crash as well.
        """
        monkeypatch.setattr(forwarding, "SUSPICION_S", suspicion_s)

        async def test(harness: Harness) -> None:
            harness.set_software_versions("v1", "v2")
            harness.balancer.servers["u1"].own_load.running = 5
            [first, _] = list_upstreams(harness)
            let_crash(first)
            received = await harness.send_request("/chat/1")
            assert received.body.count(b"data:") == 1
            async with start_again(first) as again:
                harness.balancer.servers["u0"].ejected_until = 0.0
                assert (await resume(harness)).status == 503
                assert not again.received
                upstream = harness.balancer.servers["u0"].upstream
                harness.balancer.apply_upstream(
                    replace(upstream, started_ms=2, sequence=1)
                )
                assert (await resume(harness)).status == 200

        run(test, [BROKEN], [send_events(4, 6)])

    def test_refusal_tells_of_crash(self) -> None:
        """Guards against trust in a start that broke no request."""

        async def test(harness: Harness) -> None:
            harness.set_software_versions("v1", "v2")
            server = harness.balancer.servers["u0"]
            harness.balancer.servers["u1"].own_load.running = 5
            [first, _] = list_upstreams(harness)
            await harness.send_request()
            first.crash()
            await anyio.sleep(0.01)
            await harness.send_request()
            async with start_again(first) as again:
                server.ejected_until = 0.0
                assert (await resume(harness)).status == 503
                assert not again.received

        run(test, [send_response()], [send_response()])

    @pytest.mark.parametrize("is_resumed", [True, False])
    def test_end_is_seen_while_connecting(
        self, monkeypatch: pytest.MonkeyPatch, is_resumed: bool
    ) -> None:
        """Guards against a connection to the next start of an upstream."""

        async def test(harness: Harness) -> None:
            harness.set_software_versions("v1", "v2")
            harness.balancer.servers["u1"].own_load.running = 5
            start = harness.balancer.servers["u0"].upstream.start
            connect = UpstreamConnections.connect

            async def connect_late(
                connections: UpstreamConnections, address: str
            ) -> Connection:
                connection = await connect(connections, address)
                harness.notices.crashes.ledger.ended.record(start)
                return connection

            monkeypatch.setattr(UpstreamConnections, "connect", connect_late)
            if is_resumed:
                assert (await resume(harness)).status == 503
                assert not list_upstreams(harness)[0].received
                return
            await harness.send_request("/chat/1")
            origin = harness.origins.find("r-1")
            assert origin == StreamOrigin("app", UNKNOWN_VERSION)

        run(test, [send_events(1, 6)], [send_events(1, 6)])

    @pytest.mark.parametrize("is_resumed", [True, False])
    def test_next_start_is_announced_while_connecting(
        self, monkeypatch: pytest.MonkeyPatch, is_resumed: bool
    ) -> None:
        """Guards against a request that was placed at the start before."""

        async def test(harness: Harness) -> None:
            harness.set_software_versions("v1")
            old = harness.balancer.servers["u0"].upstream
            new = replace(old, started_ms=2, software_version="v2")
            connect = UpstreamConnections.connect

            async def connect_late(
                connections: UpstreamConnections, address: str
            ) -> Connection:
                connection = await connect(connections, address)
                harness.balancer.apply_upstream(new)
                return connection

            monkeypatch.setattr(UpstreamConnections, "connect", connect_late)
            if is_resumed:
                assert (await resume(harness)).status == 503
                assert not list_upstreams(harness)[0].received
                return
            received = await harness.send_request("/chat/1")
            assert received.is_complete
            origin = harness.origins.find("r-1")
            assert origin == StreamOrigin("app", "v2")

        run(test, [send_events(1, 6)])

    def test_new_stream_has_no_known_version(self) -> None:
        """Guards against a new stream recorded with the old version."""

        async def test(harness: Harness) -> None:
            harness.set_software_versions("v1", "v1")
            harness.balancer.servers["u1"].own_load.running = 5
            start = harness.balancer.servers["u0"].upstream.start
            harness.notices.crashes.ledger.ended.record(start)
            received = await harness.send_request("/chat/1")
            assert received.body.count(b"data:") == 3
            assert not received.is_complete
            origin = harness.origins.find("r-1")
            assert origin == StreamOrigin("app", UNKNOWN_VERSION)

        run(test, [BROKEN], [send_events(4, 6)])

    def test_crash_seen_by_another_router(self) -> None:
        """Guards against trust in a start that crashed at another router."""

        async def test(harness: Harness) -> None:
            harness.set_software_versions("v1", "v2")
            start = harness.balancer.servers["u0"].upstream.start
            now = harness.timers.now()
            crash = Crash(start, now - 0.2, "r2", {"a": 0})
            harness.notices.crashes.apply([crash])
            assert (await resume(harness)).status == 503

        run(test, [send_events(4, 6)], [send_events(4, 6)])

    def test_cached_parts_are_forgotten(self) -> None:
        """Guards against requests for parts that a new start doesn't have."""

        async def test(harness: Harness) -> None:
            harness.balancer.configure(300_000, 4, 1000.0, 0.0)
            [first] = list_upstreams(harness)
            let_crash(first)
            engine = harness.balancer.servers["u0"]
            assert isinstance(engine, Engine)
            demand = RequestDemand(
                "q",
                "",
                0,
                0.0,
                1.0,
                1.0,
                (PromptPart("a", 9), PromptPart("b", 1)),
            )
            engine.record_parts(demand, harness.timers.now())
            await harness.send_request("/chat/1")
            reported = [CachedPart("a", "u0")]
            harness.balancer.record_cached_parts(
                reported, harness.timers.now()
            )
            assert not engine.count_cached(demand, harness.timers.now())

        run(test, [BROKEN])


class TestRelease:
    """Starts count again once announcements show that they go on."""

    @pytest.mark.parametrize(
        ("renewed_at", "is_released"), [(5.0, False), (6.5, True)]
    )
    def test_goes_on(self, renewed_at: float, is_released: bool) -> None:
        """Guards against doubts for ever, and late announcements."""
        registry, ended = build_ended(OLD)
        for step in range(70):
            now = step / 10
            if now == renewed_at:
                registry.renew("u1", OLD.started_ms, 2, now)
            resumed = ended.release(registry, now, 6.0)
            assert resumed == [OLD] * (is_released and now == renewed_at)
        assert (OLD not in ended) == is_released

    def test_router_stood_still(self) -> None:
        """Guards against announcements that were unread for long."""
        registry, ended = build_ended(OLD)
        ended.release(registry, 1.0, 6.0)
        for sequence in (2, 3):
            registry.renew("u1", OLD.started_ms, sequence, 20.0)
            ended.release(registry, 20.0, 6.0)
        assert OLD in ended

    def test_new_start(self) -> None:
        """Guards against doubts about the next start."""
        registry, ended = build_ended(OLD)
        new = UpstreamStart("u1", 2)
        registry.announce(build_upstream(new), 1.0)
        assert ended.release(registry, 1.0, 6.0) == []
        assert not len(ended)

    def test_silent_start(self) -> None:
        """Guards against trust in an expired upstream that comes back."""
        registry, ended = build_ended(OLD)
        registry.expire(10.0, 6.0)
        for step in range(100):
            ended.release(registry, step / 10, 6.0)
        assert OLD in ended
        for step in range(300):
            ended.release(registry, 10 + step / 2, 6.0)
        assert not len(ended)


class TestSingleConnections:
    """A connection that breaks is no crash."""

    @pytest.mark.parametrize("script", [close_connection, BROKEN])
    def test_stream_is_resumed(self, script: object) -> None:
        """Guards against streams that are lost with a connection."""

        async def test(harness: Harness) -> None:
            harness.set_software_versions("v1", "v2")
            harness.balancer.servers["u1"].own_load.running = 5
            await harness.send_request("/chat/1")
            received = await resume(harness)
            assert received.status == 200
            assert received.is_complete

        run(test, [script, send_events(4, 6)], [send_events(4, 6)])  # type: ignore[list-item]

    def test_upstream_that_does_not_listen_yet(self) -> None:
        """Guards against doubts about a start that hasn't begun to serve."""

        async def test(harness: Harness) -> None:
            harness.set_software_versions("v1", "v2")
            harness.balancer.servers["u1"].own_load.running = 5
            [first, _] = list_upstreams(harness)
            first.crash()
            await anyio.sleep(0.01)
            await harness.send_request()
            async with start_again(first):
                harness.balancer.servers["u0"].ejected_until = 0.0
                assert (await resume(harness)).status == 200

        run(test, [send_response()], [send_response()])
