"""Tests of what upstreams say about themselves in their responses."""

from __future__ import annotations

from dataclasses import replace

import anyio
import anyio.abc
import pytest

from hornbeamyard.connection.client import Connection
from hornbeamyard.connection.upstreams import UpstreamConnections
from hornbeamyard.pool.balancer import Refusal, RefusalReason
from hornbeamyard.pool.choice import Placement
from hornbeamyard.pool.upstream_registry import (
    UpstreamRegistry,
    UpstreamState,
)
from hornbeamyard.request.headers import (
    NATIVE_HEADER_NAMES,
    HeaderCodec,
    ResponseMetadata,
)

from .raw_upstream import (
    ReceivedRequest,
    Script,
    close_connection,
    send_events,
    send_response,
)
from .test_balancer import build_balancer, build_demand, place
from .test_forwarding import Harness, run
from .test_upstream_registry import build_announcement

LEAVING = "hornbeamyard-leaving: 1"
NOT_RUN = "hornbeamyard-not-run: true"


def read_response(
    *headers: tuple[bytes, bytes], status: int = 503
) -> ResponseMetadata:
    """Return the metadata in the headers of a response."""
    return HeaderCodec(NATIVE_HEADER_NAMES).read_response(status, headers)


class TestLeavingUpstream:
    """An upstream that says it leaves gets no further requests."""

    @pytest.mark.parametrize(
        ("path", "script"),
        [
            ("/charge/1", send_response(headers=(LEAVING,))),
            ("/charge/1", send_response(500, headers=(LEAVING,))),
            ("/charge/1", send_response(503, headers=(LEAVING, NOT_RUN))),
            ("/charge/1", send_response(request_id="r", headers=(LEAVING,))),
            ("/chat/1", send_events(1, 3, headers=(LEAVING,))),
        ],
        ids=["success", "error", "not run", "other request", "stream"],
    )
    def test_any_response_says_so(self, path: str, script: Script) -> None:
        """Guards against requests to an upstream that is shutting down."""

        async def test(harness: Harness) -> None:
            harness.balancer.servers["u1"].own_load.running = 3
            await harness.send_request(path)
            leaving = harness.raw_upstreams[0]  # type: ignore[attr-defined]
            assert len(leaving.received) == 1
            for _ in range(3):
                received = await harness.send_request("/charge/1")
                assert received.status == 200
            assert len(leaving.received) == 1

        run(test, [script], [send_response()])

    def test_response_of_another_upstream_at_the_address(self) -> None:
        """Guards against a mark on an upstream that sent no response."""

        async def test(harness: Harness) -> None:
            await harness.send_request("/charge/1")
            state = harness.balancer.servers["u0"].upstream.state
            assert state is UpstreamState.READY

        wrong = send_response(421, signed=False, headers=(LEAVING,))
        run(test, [wrong])

    def test_announcements_do_not_undo_it(self) -> None:
        """Guards against an upstream that comes back before its new start.

        Its announcements may still say that it is ready, and other
        processes may not know yet that it leaves.
        """
        registry = UpstreamRegistry()
        registry.announce(build_announcement(started_ms=5), 0.0)
        [changed] = registry.record_leaving("u1", 5, 0.0)
        assert changed.state is UpstreamState.DRAINING
        assert registry.record_leaving("u1", 5, 0.0) == []
        late = build_announcement(sequence=9, started_ms=5)
        assert registry.announce(late, 1.0) == []
        known = registry.get("u1")
        assert known is not None
        assert known.state is UpstreamState.DRAINING
        restarted = build_announcement(started_ms=6)
        assert registry.announce(restarted, 2.0) == [restarted]
        assert registry.record_leaving("u1", 5, 0.0) == []
        assert restarted.state is UpstreamState.READY

    def test_lost_and_back(self) -> None:
        """Guards against a leaving upstream that is ready after a silence."""
        registry = UpstreamRegistry()
        registry.announce(build_announcement(started_ms=5), 0.0)
        registry.record_leaving("u1", 5, 0.0)
        assert registry.expire(10.0, 5.0)
        registry.announce(build_announcement(sequence=2, started_ms=5), 11.0)
        known = registry.get("u1")
        assert known is not None
        assert known.state is UpstreamState.DRAINING


class TestPause:
    """An upstream that asks for a pause gets nothing until it is over."""

    @pytest.mark.parametrize(
        ("values", "expected_s"),
        [
            ((), 0.0),
            ((b"2",), 2.0),
            ((b"0.25",), 0.25),
            ((b" 1.5 ",), 1.5),
            ((b"1", b"3", b"2"), 3.0),
            ((b"x", b"1"), 1.0),
            ((b"-3",), 0.0),
            ((b"nan",), 0.0),
            ((b"inf",), 0.0),
            ((b"1e9",), 0.0),
            ((b"",), 0.0),
            ((b"9" * 5000,), 0.0),
            ((b"\xff",), 0.0),
            ((b"Fri, 04 Dec 2026 09:00:00 GMT",), 0.0),
        ],
    )
    def test_reads_retry_after(
        self, values: tuple[bytes, ...], expected_s: float
    ) -> None:
        """Guards against errors and pauses from malformed values."""
        headers = [(b"retry-after", value) for value in values]
        assert read_response(*headers).retry_after_s == expected_s

    def test_only_with_status_503(self) -> None:
        """Guards against a pause that the upstream didn't ask for."""
        header = (b"retry-after", b"2")
        assert read_response(header, status=429).retry_after_s == 0.0

    def test_gets_nothing_until_it_is_over(self) -> None:
        """Guards against requests to the upstream during its pause."""

        async def test(harness: Harness) -> None:
            harness.balancer.servers["u1"].own_load.running = 3
            for _ in range(5):
                received = await harness.send_request("/charge/1")
                assert received.status == 200
            paused = harness.raw_upstreams[0]  # type: ignore[attr-defined]
            assert len(paused.received) == 1
            await anyio.sleep(0.45)
            harness.balancer.servers["u1"].own_load.running = 8
            await harness.send_request("/charge/1")
            assert len(paused.received) == 2

        refuse = send_response(503, headers=(NOT_RUN, "retry-after: 0.4"))
        run(test, [refuse, send_response()], [send_response()])

    @pytest.mark.parametrize("delay_s", [0.1, 0.3])
    def test_outlasts_a_lost_upstream(self, delay_s: float) -> None:
        """Guards against requests to an upstream that is back in its pause.

        The response that asks for the pause may arrive before the upstream
        is lost, or when it is back.
        """

        async def test(harness: Harness) -> None:
            balancer = harness.balancer
            lost = balancer.servers["u0"].upstream
            back = replace(lost, sequence=2)
            balancer.servers["u1"].own_load.running = 3

            async def lose(delay_s: float) -> None:
                await anyio.sleep(delay_s)
                gone = replace(lost, state=UpstreamState.GONE)
                balancer.apply_upstream(gone)
                await anyio.sleep(0.02)
                balancer.apply_upstream(back)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lose, delay_s)
                await harness.send_request("/charge/1")
            paused = harness.raw_upstreams[0]  # type: ignore[attr-defined]
            assert len(paused.received) == 1
            balancer.servers["u1"].service_ms = 500.0
            for _ in range(3):
                received = await harness.send_request("/charge/1")
                assert received.status == 200
            assert balancer.servers["u0"].upstream is back
            assert len(paused.received) == 1
            restarted = replace(back, started_ms=7, sequence=1)
            balancer.apply_upstream(restarted)
            assert balancer.servers["u0"].is_usable(harness.timers.now())

        refuse = send_response(503, headers=(NOT_RUN, "retry-after: 9"))

        async def refuse_slowly(
            stream: anyio.abc.SocketStream, request: ReceivedRequest
        ) -> None:
            await anyio.sleep(0.2)
            await refuse(stream, request)

        run(test, [refuse_slowly, send_response()], [send_response()])

    def test_forgets_pauses_that_are_over(self) -> None:
        """Guards against memory for each upstream that ever paused."""
        balancer = build_balancer(engines=1)
        for number in range(100):
            upstream = build_announcement(id=f"u{number}", started_ms=5)
            balancer.apply_upstream(upstream)
            now = 10.0 * number
            balancer.pause(balancer.servers[upstream.id], 5.0, now)
            gone = replace(upstream, state=UpstreamState.GONE)
            balancer.apply_upstream(gone)
        assert len(balancer._paused_until) == 1

    def test_longest_pause_stands(self) -> None:
        """Guards against a shorter pause that ends a longer one."""
        server = build_balancer().servers["e0"]
        server.pause(3.0, 0.0)
        server.pause(1.0, 1.0)
        assert not server.is_usable(2.9)
        assert server.is_usable(3.1)

    def test_pause_has_an_upper_bound(self) -> None:
        """Guards against an upstream lost for good by one odd value."""
        server = build_balancer().servers["e0"]
        server.pause(1e8, 0.0)
        assert server.is_usable(3600.0)

    def test_not_even_as_the_last_resort(self) -> None:
        """Guards against requests to a paused upstream that is ejected."""
        balancer = build_balancer(engines=2)
        for server in balancer.servers.values():
            server.eject(0.0)
        balancer.servers["e0"].pause(5.0, 0.0)
        assert place(balancer, build_demand()).server.id == "e1"

    def test_refusal_names_the_time_left(self) -> None:
        """Guards against callers that return while all upstreams pause."""
        balancer = build_balancer(engines=2)
        balancer.servers["e0"].pause(8.0, 0.0)
        balancer.servers["e1"].pause(6.0, 0.0)
        refused = balancer.place(build_demand(now=1.0), 1.0, frozenset())
        assert isinstance(refused, Refusal)
        assert refused.reason is RefusalReason.PAUSED
        assert 5.0 <= refused.retry_after_s <= 7.0

    def test_refused_at_once(self) -> None:
        """Guards against a request that waits for what can't come in time."""

        async def test() -> None:
            balancer = build_balancer(engines=1)
            balancer.servers["e0"].pause(6.0, 0.0)
            with anyio.fail_after(0.02):
                refused = await balancer.admit(
                    build_demand(target_s=4.0), 0.0, frozenset()
                )
            assert isinstance(refused, Refusal)

        anyio.run(test)

    def test_pause_begins_while_connecting(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a request sent after the upstream asked for a pause.

        Opening a connection takes time, in which the answer to another
        request may arrive.
        """

        async def test(harness: Harness) -> None:
            first = harness.balancer.servers["u0"]
            harness.balancer.servers["u1"].own_load.running = 3
            connect = UpstreamConnections.connect

            async def connect_slowly(
                connections: UpstreamConnections, address: str
            ) -> Connection:
                connection = await connect(connections, address)
                first.pause(5.0, harness.timers.now())
                return connection

            monkeypatch.setattr(UpstreamConnections, "connect", connect_slowly)
            received = await harness.send_request("/charge/1")
            assert received.status == 200
            paused, other = harness.raw_upstreams  # type: ignore[attr-defined]
            assert not paused.received
            assert len(other.received) == 1
            assert first.failures_in_row == 0

        run(test, [close_connection], [send_response()])

    def test_place_after_the_pause(self) -> None:
        """Guards against a pause that never ends."""
        balancer = build_balancer(engines=1)
        balancer.servers["e0"].pause(1.0, 0.0)
        placed = balancer.place(build_demand(now=1.1), 1.1, frozenset())
        assert isinstance(placed, Placement)
