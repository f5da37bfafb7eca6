"""Tests of where streams began, at routers and controllers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Container
from typing import Any

import anyio
import grpc
import grpc.aio
import pytest

from hornbeamyard.connection.directory_codec import UsageDecoder
from hornbeamyard.connection.stream_reports import (
    COLLECT_INTERVAL_S,
    SETTLED_COLLECT_INTERVAL_S,
    StreamReports,
)
from hornbeamyard.messages import fleet_pb2
from hornbeamyard.pool import stream_origins
from hornbeamyard.pool.ended_starts import UNKNOWN_VERSION
from hornbeamyard.pool.stream_origins import (
    RETENTION_S,
    StreamOrigin,
    StreamOrigins,
)
from hornbeamyard.pool.upstream_registry import (
    ENDED_RETENTION_S,
    Upstream,
    UpstreamRegistry,
    UpstreamState,
)
from hornbeamyard.process.timers import MonotonicTimers, VirtualTimers

from .test_directory_router import build_router


def announce(
    registry: UpstreamRegistry, id: str, version: str, now: float = 0.0
) -> None:
    """Announce an upstream of the pool `app`."""
    upstream = Upstream(
        id, "app", f"10.0.0.1:{id}", "z", UpstreamState.READY, 4, 1
    )
    upstream.software_version = version
    upstream.last_seen_at = now
    registry.announce(upstream, now)


class TestStreamOrigins:
    """Streams are known for as long as their callers may resume them."""

    def test_last_attempt_counts(self) -> None:
        """Guards against the version of an attempt without events."""
        origins = StreamOrigins()
        origins.record("q1", StreamOrigin("app", "v1"), 0.0)
        origins.record("q1", StreamOrigin("app", "v2"), 1.0)
        assert origins.find("q1") == StreamOrigin("app", "v2")
        assert origins.find("q2") is None

    def test_expiry(self) -> None:
        """Guards against memory that grows with each stream."""
        origins = StreamOrigins()
        for second in range(3):
            origins.record(
                f"q{second}", StreamOrigin("app", "v1"), float(second)
            )
        origins.expire(RETENTION_S + 1.5)
        known = [origins.find(f"q{second}") for second in range(3)]
        assert known == [None, None, StreamOrigin("app", "v1")]

    def test_bound(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against memory that grows with the rate of streams."""
        monkeypatch.setattr(stream_origins, "MAX_STREAMS", 2)
        origins = StreamOrigins()
        for number in range(3):
            origins.record(f"q{number}", StreamOrigin("app", "v1"), 0.0)
        assert [s.request_id for s in origins.list_since(0)] == ["q2", "q1"]


class TestVersions:
    """A pool has mixed versions until streams of the old one have ended."""

    def test_version_of_ended_upstream(self) -> None:
        """Guards against a stream that goes on at the only version left."""
        registry = UpstreamRegistry()
        announce(registry, "1", "v1")
        announce(registry, "2", "v2")
        registry.record_end("1", 0, 1.0)
        registry.expire(2.0, 60.0)
        assert registry.list_versions("app") == {"v1", "v2"}
        announce(registry, "2", "v2", ENDED_RETENTION_S)
        registry.expire(ENDED_RETENTION_S + 1.0, 60.0)
        assert registry.list_versions("app") == {"v2"}


class TestReports:
    """Controllers get every stream once."""

    @staticmethod
    def run(
        test: Callable[
            [StreamReports, UpstreamRegistry, list[dict[str, str]]],
            Awaitable[None],
        ],
    ) -> None:
        """Run a test with the reports to one controller."""

        async def main() -> None:
            registry = UpstreamRegistry()
            announce(registry, "1", "v1")
            reports = StreamReports(registry, MonotonicTimers())
            sent: list[dict[str, str]] = []

            async def send(report: fleet_pb2.RouterUsage) -> None:
                sent.append(
                    {
                        id: group.software_version
                        for group in report.begun_streams
                        for id in group.request_ids
                    }
                )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(reports.run, send)
                await anyio.sleep(0)
                await test(reports, registry, sent)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_versions_become_mixed(self) -> None:
        """Guards against streams that are unknown as a release begins."""

        async def test(
            reports: StreamReports,
            registry: UpstreamRegistry,
            sent: list[dict[str, str]],
        ) -> None:
            reports.record("q1", StreamOrigin("app", "v1"))
            await anyio.sleep(0.1)
            assert sent == []
            announce(registry, "2", "v2")
            reports.notify()
            await anyio.sleep(0.1)
            reports.record("q2", StreamOrigin("app", "v2"))
            reports.record("q3", StreamOrigin("app", "v1"))
            await anyio.sleep(0.1)
            assert sent == [{"q1": "v1"}, {"q2": "v2", "q3": "v1"}]

        self.run(test)

    def test_unknown_version(self) -> None:
        """Guards against a stream that is taken for one of the only version.

        It began at an upstream whose last known start had ended.
        """

        async def test(
            reports: StreamReports,
            registry: UpstreamRegistry,
            sent: list[dict[str, str]],
        ) -> None:
            reports.record("q1", StreamOrigin("app", UNKNOWN_VERSION))
            await anyio.sleep(0.1)
            assert sent == [{"q1": UNKNOWN_VERSION}]

        self.run(test)

    def test_single_version(self) -> None:
        """Guards against streams that are unknown once their router is gone.

        A second version may come before their callers resume them.
        """

        async def test(
            reports: StreamReports,
            registry: UpstreamRegistry,
            sent: list[dict[str, str]],
        ) -> None:
            reports.record("q1", StreamOrigin("app", "v1"))
            reports.record("q2", StreamOrigin("app", "v1"))
            await anyio.sleep(
                SETTLED_COLLECT_INTERVAL_S + COLLECT_INTERVAL_S + 0.1
            )
            assert sent == [{"q1": "v1", "q2": "v1"}]

        self.run(test)

    def test_expired_streams(self) -> None:
        """Guards against memory for each stream that ever began."""

        async def main() -> None:
            timers = VirtualTimers()
            router, _, _ = build_router(timers)
            registry = router.subscription.registry
            reports = router.subscription.streams
            sent: list[fleet_pb2.RouterUsage] = []

            async def send(report: fleet_pb2.RouterUsage) -> None:
                sent.append(report)

            task = asyncio.create_task(reports.run(send))
            for number in range(20):
                pool = f"pool-{number}"
                registry.record_version(pool, "v1", timers.now())
                reports.record(pool, StreamOrigin(pool, UNKNOWN_VERSION))
                await timers.advance(60.0)
                registry.expire(timers.now(), 60.0)
                router.subscription._expire()
            task.cancel()
            assert len(sent) == 20
            assert len(list(reports.origins.list_since(0))) <= 2

        anyio.run(main)

    def test_new_controller_gets_all(self) -> None:
        """Guards against streams that are unknown to a new controller."""

        async def test(
            reports: StreamReports,
            registry: UpstreamRegistry,
            sent: list[dict[str, str]],
        ) -> None:
            announce(registry, "2", "v2")
            reports.record("q1", StreamOrigin("app", "v1"))
            await anyio.sleep(0.1)
            later: list[fleet_pb2.RouterUsage] = []

            async def send(report: fleet_pb2.RouterUsage) -> None:
                later.append(report)

            with anyio.move_on_after(0.1):
                await reports.run(send)
            assert sent == [{"q1": "v1"}]
            assert list(later[0].begun_streams[0].request_ids) == ["q1"]

        self.run(test)


class FakeCalls:
    """Calls to controllers that know where streams began.

    The key CONTROLLER/ID of `known` is for what one of them knows.
    """

    def __init__(
        self,
        known: dict[str, StreamOrigin],
        versions: tuple[str, ...] = (),
        lacking: Container[str] = (),
        down: Container[str] = ("c0",),
    ) -> None:
        self.known = known
        self.versions = versions
        self.lacking = lacking
        self.down = down
        self.asked: list[str] = []

    async def find_stream(
        self, address: str, request: fleet_pb2.StreamLookup
    ) -> fleet_pb2.StreamOrigin | None:
        """Return where a stream began."""
        self.asked.append(address)
        if address in self.down:
            return None
        reply = fleet_pb2.StreamOrigin(lacks_versions=address in self.lacking)
        if self.versions:
            reply.recent_versions.add(
                pool="app", software_versions=self.versions
            )
        id = request.request_id
        origin = self.known.get(f"{address}/{id}", self.known.get(id))
        if origin is not None:
            reply.found = True
            reply.pool = origin.pool
            reply.software_version = origin.software_version
        return reply


class TestStreamToController:
    """The stream to a controller ends alone when it breaks."""

    @pytest.mark.parametrize("writes", [0, 1, 2])
    def test_failed_write(self, writes: int) -> None:
        """Guards against a router that ends with its stream.

        The identity, the begun streams and the usage are written by different
        tasks.
        """
        error = grpc.aio.AioRpcError(
            grpc.StatusCode.UNAVAILABLE,
            grpc.aio.Metadata(),
            grpc.aio.Metadata(),
        )

        class Call:
            def __init__(self) -> None:
                self.written = 0

            async def write(self, message: Any) -> None:
                if self.written == writes:
                    raise error
                self.written += 1

            async def read(self) -> None:
                await anyio.sleep(10)

            def cancel(self) -> None:
                """Do nothing."""

        class Stub:
            Watch = staticmethod(Call)

        class Calls:
            def open_stub(self, address: str) -> Stub:
                return Stub()

        async def main() -> str:
            router, _, _ = build_router()
            subscription = router.subscription
            subscription._calls = Calls()  # type: ignore[assignment]
            subscription.seeds = ["c0"]
            for number in (1, 2):
                announce(subscription.registry, str(number), f"v{number}")
            origin = StreamOrigin("app", "v1")
            subscription.streams.record("q1", origin)
            with anyio.fail_after(5):
                return await subscription._run_stream("c0")

        assert anyio.run(main) == "UNAVAILABLE"


class TestLookup:
    """A router finds out where a stream began, or doesn't guess."""

    @staticmethod
    def find(
        calls: FakeCalls, versions: tuple[str, ...], attached: int, id: str
    ) -> StreamOrigin | None:
        """Look a stream up at a router that knows some versions."""

        async def main() -> StreamOrigin | None:
            router, _, _ = build_router()
            subscription = router.subscription
            subscription._calls = calls  # type: ignore[assignment]
            subscription._controllers = {f"c{n}": f"c{n}" for n in range(3)}
            subscription.versions = {f"c{n}": 1 for n in range(attached)}
            for number, version in enumerate(versions):
                announce(subscription.registry, str(number), version)
            own = StreamOrigin("app", "v0")
            subscription.streams.record("own", own)
            subscription.streams.record("", own)
            return await subscription.find_origin(["app"], id)

        return anyio.run(main)

    @pytest.mark.parametrize(
        ("versions", "attached", "request_id", "expected", "rounds"),
        [
            (("v1",), 3, "unknown", "v1", 1),
            (("v1",), 3, "", "v1", 1),
            # Versions that were added since may be unknown.
            (("v1",), 1, "unknown", None, 2),
            (("v1",), 0, "unknown", None, 2),
            (("v1", "v2"), 3, "known", "v2", 1),
            (("v1",), 2, "own", "v0", 0),
            (("v1", "v2"), 3, "unknown", None, 2),
            (("v1", "v2"), 3, "", None, 1),
            (("v1", "v2"), 0, "", None, 1),
            ((), 3, "unknown", None, 2),
        ],
    )
    def test_find_origin(
        self,
        versions: tuple[str, ...],
        attached: int,
        request_id: str,
        expected: str | None,
        rounds: int,
    ) -> None:
        """Guards against a guess, and against asking more than needed."""
        calls = FakeCalls({"known": StreamOrigin("app", "v2")}, versions)
        found = self.find(calls, versions, attached, request_id)
        assert found == (expected and StreamOrigin("app", expected))
        assert len(calls.asked) == rounds * attached

    @pytest.mark.parametrize(
        ("known", "versions", "expected"),
        [
            ({"q1": "v2"}, ("v1", "v2"), "v2"),
            ({}, ("v1", "v2"), None),
            ({}, (), None),
            # One has missed that an attempt without events was repeated.
            ({"q1": "v2", "c1/q1": "v1"}, ("v1", "v2"), None),
        ],
    )
    def test_router_out_of_step(
        self,
        known: dict[str, str],
        versions: tuple[str, ...],
        expected: str | None,
    ) -> None:
        """Guards against an only version that a late router still assumes."""
        origins = {id: StreamOrigin("app", v) for id, v in known.items()}
        found = self.find(FakeCalls(origins, versions), ("v1",), 3, "q1")
        assert found == (expected and StreamOrigin("app", expected))

    def test_silent_controllers(self) -> None:
        """Guards against a guess at a router whose network drops packets."""
        calls = FakeCalls({}, ("v1",), down=("c0", "c1"))
        assert self.find(calls, ("v1",), 3, "q1") is None

    @pytest.mark.parametrize(
        ("lacking", "expected"),
        [(("c0",), StreamOrigin("app", "v1")), (("c0", "c1"), None)],
    )
    def test_controllers_without_record(
        self, lacking: tuple[str, ...], expected: StreamOrigin | None
    ) -> None:
        """Guards against an only version that controllers vouch for blindly.

        Some of three controllers have started with an empty disk.
        """
        calls = FakeCalls({}, ("v1",), lacking, down=())
        assert self.find(calls, ("v1",), 3, "unknown") == expected

    @pytest.mark.parametrize(
        ("voters", "lacking", "expected"),
        [
            (("c1", "c2", "c3"), (), "v1"),
            (("c1", "c2", "c3"), ("c3",), "v1"),
            # c4 and c5 are informed, but don't vote.
            (("c1", "c2", "c3"), ("c2", "c3"), None),
            (("c0", "c1", "c6"), (), None),
        ],
    )
    def test_former_members_do_not_count(
        self,
        voters: tuple[str, ...],
        lacking: tuple[str, ...],
        expected: str | None,
    ) -> None:
        """Guards against a majority of controllers that come and go.

        c0 and c6 are gone, which the others still know.
        """

        async def main() -> StreamOrigin | None:
            router, _, _ = build_router()
            subscription = router.subscription
            calls = FakeCalls({}, ("v1",), lacking, down=("c0", "c6"))
            subscription._calls = calls  # type: ignore[assignment]
            hosts = [f"c{n}" for n in range(7)]
            update = fleet_pb2.DirectoryUpdate(
                controllers=[
                    fleet_pb2.ControllerAddress(host=h, address=h)
                    for h in hosts
                ],
                voters=voters,
                voters_index=9,
            )
            subscription._apply_update("c1", update, UsageDecoder())
            # One that was cut off tells of earlier voters.
            update.voters[:], update.voters_index = hosts[:5], 4
            subscription._apply_update("c5", update, UsageDecoder())
            subscription.versions = dict.fromkeys(hosts[1:6], 1)
            announce(subscription.registry, "u1", "v1")
            knows_majority = len({*voters} - {"c0", "c6"}) > 1
            assert subscription.knows_majority() is knows_majority
            return await subscription.find_origin(["app"], "unknown")

        found = anyio.run(main)
        assert found == (expected and StreamOrigin("app", expected))
