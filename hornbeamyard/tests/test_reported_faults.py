"""Faults that operators of similar systems have reported."""

from __future__ import annotations

from dataclasses import replace

import anyio
import anyio.abc
import pytest

from hornbeamyard.connection.crash_reports import CrashReports
from hornbeamyard.connection.directory_codec import pack_document
from hornbeamyard.connection.limit_reports import LimitReports
from hornbeamyard.connection.subscription import Subscription
from hornbeamyard.messages import fleet_pb2
from hornbeamyard.pool.upstream_registry import UpstreamState
from hornbeamyard.process.timers import MonotonicTimers

from .raw_upstream import (
    ReceivedRequest,
    Script,
    send_events,
    send_response,
)
from .test_directory_router import build_router
from .test_forwarding import Harness, count_received, run

HEAD = (
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    "hornbeamyard-request: {id}\r\nhornbeamyard-signature: s1\r\n"
    "transfer-encoding: chunked\r\n\r\n"
)


def send_slowly(chunks: list[bytes], pause_s: float) -> Script:
    """Return a script that sends a stream with a pause before each chunk."""

    async def send(
        stream: anyio.abc.SocketStream, received: ReceivedRequest
    ) -> None:
        id = received.get_header("hornbeamyard-request") or ""
        await stream.send(HEAD.format(id=id).encode())
        for chunk in chunks:
            await anyio.sleep(pause_s)
            await stream.send(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")
        await stream.send(b"0\r\n\r\n")

    return send


class TestStreams:
    """Streams end when their route says so, not sooner or later."""

    def test_slow_stream_is_not_cut(self) -> None:
        """Guards against silence between events that ends a sound stream."""

        async def test(harness: Harness) -> None:
            received = await harness.send_request("/notice/1")
            assert received.is_complete
            assert received.body.count(b"data:") == 3

        events = [f"id: {n}\ndata: {n}\n\n".encode() for n in range(3)]
        run(test, [send_slowly(events, 0.4)])

    @pytest.mark.parametrize("path", ["/notice/1", "/chat/1"])
    def test_trickling_stream_ends(self, path: str) -> None:
        """Guards against a stalled stream that a byte now and then keeps.

        The end of the route's timeout is the limit: bytes that make up no
        whole event don't extend it.
        """

        async def test(harness: Harness) -> None:
            began_at = harness.timers.now()
            received = await harness.send_request(path)
            assert 1.4 <= harness.timers.now() - began_at <= 1.9
            assert not received.is_complete or received.status == 504
            # The upstream notices the closed connection when it next sends.
            await anyio.sleep(0.4)
            [upstream] = harness.raw_upstreams  # type: ignore[attr-defined]
            assert upstream.closed == 1

        run(test, [send_slowly([b"x"] * 100, 0.1)])

    def test_late_copy_of_a_response(self) -> None:
        """Guards against a response that goes to the next caller.

        The copy arrives on a connection that was idle until the next request
        was sent on it.
        """

        async def test(harness: Harness) -> None:
            first = await harness.send_request("/charge/1")
            assert first.status == 200
            second = await harness.send_request("/charge/2")
            assert second.status == 502
            assert second.body != b"first"

        copied = send_response(body=b"first", request_id="r-0")
        run(test, [send_response(body=b"first"), copied])

    @pytest.mark.parametrize(
        "copied",
        [
            b"HTTP/1.1 500 Internal Server Error\r\n"
            b"hornbeamyard-request: r-0\r\nhornbeamyard-signature: s0",
            b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
            b"hornbeamyard-not-run: true\r\nhornbeamyard-request: r-0",
        ],
        ids=["failure", "refusal"],
    )
    def test_copy_that_breaks_off(self, copied: bytes) -> None:
        """Guards against the status of one response and the body of another.

        An earlier response arrives once more in part, on a connection that is
        in use again. It may be cut anywhere in its header.
        """

        async def test(harness: Harness) -> None:
            assert (await harness.send_request("/charge/1")).status == 200
            assert (await harness.send_request("/charge/2")).status == 502

        for cut in range(1, len(copied) + 1):
            run(test, [send_response(), send_after(copied[:cut])])


def send_after(start: bytes) -> Script:
    """Return a script that sends some bytes before its response."""
    respond = send_response(body=b"second")

    async def send(
        stream: anyio.abc.SocketStream, received: ReceivedRequest
    ) -> None:
        await stream.send(start)
        await respond(stream, received)

    return send


def in_pieces(script: Script, size: int) -> Script:
    """Return a script whose bytes arrive in reads of a size."""

    async def send(
        stream: anyio.abc.SocketStream, received: ReceivedRequest
    ) -> None:
        class Pieces:
            async def send(self, data: bytes) -> None:
                for start in range(0, len(data), size):
                    await stream.send(data[start : start + size])
                    await anyio.sleep(0.001)

        await script(Pieces(), received)  # type: ignore[arg-type]

    return send


class TestCopiedRefusal:
    """A refusal that arrives once more refuses no later request."""

    @pytest.mark.parametrize("id", ["r-0", ""], ids=["named", "unnamed"])
    @pytest.mark.parametrize("status", [421, 429, 503])
    @pytest.mark.parametrize("size", [1, 60, 4096])
    def test_routed_request(self, id: str, status: int, size: int) -> None:
        """Guards against "not run" for a request that runs."""

        async def test(harness: Harness) -> None:
            assert (await harness.send_request("/charge/1")).status == 200
            assert (await harness.send_request("/charge/2")).status == 502

        headers = ("hornbeamyard-not-run: true",)
        copied = send_response(status, headers=headers, request_id=id)
        run(test, [send_response(), in_pieces(copied, size)])

    def test_connection_after_unnamed_refusal(self) -> None:
        """Guards against a copy that can't be told from the next response."""

        async def test(harness: Harness) -> None:
            assert (await harness.send_request("/charge/1")).status == 503
            await anyio.sleep(0.05)
            [upstream] = harness.raw_upstreams  # type: ignore[attr-defined]
            assert upstream.closed == 1

        headers = ("hornbeamyard-not-run: true",)
        run(test, [send_response(503, headers=headers, request_id="")])


class TestSilentUpstream:
    """An upstream without announcements keeps the work that it runs."""

    def test_running_request_goes_on(self) -> None:
        """Guards against work that is cut or started again elsewhere."""

        async def test(harness: Harness) -> None:
            harness.balancer.servers["u1"].own_load.running = 3

            async def lose() -> None:
                await anyio.sleep(0.3)
                upstream = harness.balancer.servers["u0"].upstream
                harness.balancer.apply_upstream(
                    replace(upstream, state=UpstreamState.GONE)
                )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lose)
                received = await harness.send_request("/chat/1")
            assert received.is_complete
            assert received.body.count(b"data:") == 4
            assert count_received(harness) == 1

        events = [f"id: {n}\ndata: {n}\n\n".encode() for n in range(4)]
        run(test, [send_slowly(events, 0.2)], [send_events(1, 4)])


class TestMalformedMessages:
    """A malformed message ends at most the stream that it came on."""

    @pytest.mark.parametrize(
        "document",
        [b"", b"not compressed", pack_document(b"{")],
        ids=["empty", "not compressed", "cut off"],
    )
    def test_routing_that_cannot_be_decoded(self, document: bytes) -> None:
        """Guards against a router that ends because of one routing."""

        async def test() -> None:
            router, _, _ = build_router()

            class Calls:
                async def fetch_routing(
                    self, address: str, request: object
                ) -> fleet_pb2.RoutingCopy:
                    return fleet_pb2.RoutingCopy(
                        version=3, document=document, found=True
                    )

            subscription = router.subscription
            subscription._calls = Calls()  # type: ignore[assignment]
            assert not await subscription._fetch("10.0.0.1:1")
            assert subscription.version == 0

        anyio.run(test)

    def test_update_that_cannot_be_applied(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a router that ends because of one update."""

        class Call:
            async def read(self) -> fleet_pb2.DirectoryUpdate:
                return fleet_pb2.DirectoryUpdate()

            async def write(self, message: object) -> None:
                pass

            def cancel(self) -> None:
                pass

        class Stub:
            def Watch(self) -> Call:  # noqa: N802
                return Call()

        class Calls:
            def open_stub(self, address: str) -> Stub:
                return Stub()

        async def test() -> None:
            def fail(*args: object) -> None:
                raise ValueError("no such state")

            timers = MonotonicTimers()
            subscription = Subscription(
                fleet_pb2.Identity(),
                ["10.0.0.1:1"],
                Calls(),  # type: ignore[arg-type]
                timers,
                lambda: None,  # type: ignore[arg-type,return-value]
                lambda upstreams: None,
                lambda version, document: True,
                lambda usage: None,
                CrashReports("r1", timers, lambda crashes: None),
                LimitReports(timers, lambda upstream: None),
                5.0,
            )
            monkeypatch.setattr(Subscription, "_apply_update", fail)
            with anyio.fail_after(2.0):
                reason = await subscription._run_stream("10.0.0.1:1")
            assert "no such state" in reason

        anyio.run(test)
