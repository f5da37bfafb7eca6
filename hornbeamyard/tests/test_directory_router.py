"""The router role in a fleet with a route directory."""

from __future__ import annotations

import copy
import io
import json
from dataclasses import replace

import anyio
import pytest

from hornbeamyard.pool.upstream_registry import Upstream, UpstreamState
from hornbeamyard.pool.usage import AccountUsage, FleetUsage, UsageTable
from hornbeamyard.process.decisions import DecisionLog
from hornbeamyard.process.directory_router import (
    NOT_READY_GRACE_S,
    OVERLOAD_RETRY_AFTER_S,
    DirectoryRouter,
    compute_remaining_drain,
)
from hornbeamyard.process.interface import Interface
from hornbeamyard.process.logs import LineWriter
from hornbeamyard.process.settings import (
    DirectorySettings,
    RouterSettings,
    Settings,
)
from hornbeamyard.process.timers import (
    MonotonicTimers,
    Timers,
    VirtualTimers,
)
from hornbeamyard.request.headers import NATIVE_HEADER_NAMES, HeaderCodec
from hornbeamyard.version.routing import parse_routing

# Fraction of the drain time in which no running request may be cut off.
MIN_DRAIN_FRACTION = 5 / 6


def build_router(
    timers: Timers | None = None,
) -> tuple[DirectoryRouter, io.StringIO, LineWriter]:
    """Return a router without controllers, its log and the log's writer."""
    settings = Settings(
        "test",
        "r1",
        "zone-a",
        {},
        router=RouterSettings("127.0.0.1:0"),
        directory=DirectorySettings(["127.0.0.1:1"]),
    )
    timers = timers or MonotonicTimers()
    lines = io.StringIO()
    writer = LineWriter(lines)
    router = DirectoryRouter(
        settings,
        timers,
        Interface(HeaderCodec(NATIVE_HEADER_NAMES)),
        DecisionLog(timers, "r1", writer),
    )
    return router, lines, writer


class TestDrain:
    """A planned stop leaves most of its time to running requests."""

    @pytest.mark.parametrize("drain_s", [5.0, 8.0, 9.5, 30.0])
    def test_requests_are_not_cut_early(self, drain_s: float) -> None:
        """Guards against a drain cut short by rounding to whole seconds.

        With a drain time of 8 s, requests were cut off after 6.5 s.
        """
        ends_s = NOT_READY_GRACE_S + compute_remaining_drain(
            drain_s, NOT_READY_GRACE_S
        )
        assert MIN_DRAIN_FRACTION * drain_s <= ends_s < drain_s

    def test_stop_after_its_deadline(self) -> None:
        """Guards against a drain timeout of zero or less."""
        assert compute_remaining_drain(2.0, 2.5) > 0


class TestOverload:
    """An overloaded router refuses requests with a short Retry-After."""

    def test_refusal(self) -> None:
        """Guards against requests that wait for CPU time until a deadline.

        All requests of one caller's burst reach a single router while other
        routers have capacity.
        """

        async def test() -> None:
            router, lines, writer = build_router()
            limits = router._connection_limits
            assert b"/any/path".startswith(limits.limited_paths)
            response = limits.build_refusal([(b"hornbeamyard-request", b"q7")])
            head, body = response.split(b"\r\n\r\n")
            headers = dict(
                line.split(b": ") for line in head.split(b"\r\n")[1:]
            )
            assert head.startswith(b"HTTP/1.1 503 ")
            assert headers[b"hornbeamyard-request"] == b"q7"
            assert (
                0 < float(headers[b"retry-after"]) < 2 * OVERLOAD_RETRY_AFTER_S
            )
            assert int(headers[b"content-length"]) == len(body)
            writer.flush(1.0)
            line = json.loads(lines.getvalue().splitlines()[-1])
            assert line["reason"] == "overloaded"
            assert line["request_id"] == "q7"
            assert line["account"] is None

        anyio.run(test)

    def test_account_of_refused_request(self) -> None:
        """Guards against refusals that can't be counted by account."""

        async def test() -> None:
            router, lines, writer = build_router()
            document = {
                "version": 1,
                "routes": [],
                "pools": [],
                "client_accounts": [{"name": "library", "keys": ["k1"]}],
            }
            router.routing = parse_routing(document).unwrap()
            build = router._connection_limits.build_refusal
            build([(b"authorization", b"Bearer k1")])
            writer.flush(1.0)
            line = json.loads(lines.getvalue().splitlines()[-1])
            assert line["reason"] == "overloaded"
            assert line["account"] == "library"

        anyio.run(test)


class TestMemory:
    """A router leaves most of the machine's memory to other things."""

    def test_bodies(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against bodies of 4 MB that fill a small machine."""
        pages = {"SC_PAGE_SIZE": 4096, "SC_PHYS_PAGES": 150 * 256}

        async def test() -> None:
            monkeypatch.setattr("os.sysconf", pages.__getitem__)
            router, _, _ = build_router()
            megabytes = router.forwarder.max_buffered_size / 2**20
            # Without requests a router takes 61 MB.
            assert 8 < megabytes < (150 - 61) / 2

        anyio.run(test)

    def test_accounts(self) -> None:
        """Guards against memory for each account that a routing ever had."""

        async def test() -> None:
            timers = VirtualTimers(start=100.0)
            router, _, _ = build_router(timers)
            shares = router._shares
            shares.throughput = 1000.0
            table = UsageTable(2.0)
            sizes = []
            for minute in range(24):
                for _ in range(60):
                    shares.record_asked(f"account-{minute}", 10)
                    shares.record_admitted(f"account-{minute}", 10)
                    shares.record_asked("steady", 10)
                    shares.record_admitted("steady", 10)
                    usage = copy.deepcopy(router._collect_usage())
                    table.record_report("r1", usage, timers.now())
                    fleet_usage = table.compute_fleet_usage(timers.now())
                    fleet_usage.source = "c1" if minute < 6 else "c2"
                    router._apply_fleet_usage(fleet_usage)
                    await timers.advance(1.0)
                sizes += [
                    len(shares.own_usage),
                    len(shares._buckets),
                    len(table._admitted),
                ]
            # Those of some minutes, and one that is always there.
            assert max(sizes) <= 12
            assert max(sizes[-3:]) <= 8
            assert shares.own_usage["steady"].admitted == 24 * 60 * 10
            assert table._admitted["steady"] == (24 * 60 - 1) * 10
            # The counters of the metrics don't go back.
            text = router.metrics.render().decode()
            for account in ("steady", "account-0", "account-23"):
                value = 14400 if account == "steady" else 600
                assert (
                    'share_admitted_tokens_total{client_account="'
                    f'{account}"}} {value}.0' in text
                )

        anyio.run(test)

    def test_pools(self) -> None:
        """Guards against memory for each pool that upstreams ever named."""

        async def test() -> None:
            timers = VirtualTimers(start=100.0)
            router, _, _ = build_router(timers)
            document = {"version": 1, "routes": [], "pools": [{"name": "app"}]}
            router.routing = parse_routing(document).unwrap()
            router.find_balancer("app")
            for number in range(20):
                upstream = Upstream(
                    f"u{number}",
                    f"pool-{number}",
                    f"10.0.0.{number}:80",
                    "zone-a",
                    UpstreamState.READY,
                    4,
                    1,
                )
                router._handle_upstreams([upstream])
                router.find_budget(upstream.pool).record_request(timers.now())
                await timers.advance(1.0)
                gone = replace(upstream, state=UpstreamState.GONE)
                router._handle_upstreams([gone])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(router._run_maintenance)
                await timers.advance(60.0)
                tasks.cancel_scope.cancel()
            assert set(router._balancers) == {"app"}
            assert not router._budgets

        anyio.run(test)

    def test_pool_in_use(self) -> None:
        """Guards against retry budgets and pauses that are forgotten early."""

        async def test() -> None:
            timers = VirtualTimers(start=100.0)
            router, _, _ = build_router(timers)
            document = {"version": 1, "routes": [], "pools": []}
            router.routing = parse_routing(document).unwrap()
            upstream = Upstream(
                "u1", "app", "10.0.0.1:80", "z", UpstreamState.READY, 4, 1
            )
            router._handle_upstreams([upstream])
            balancer = router.find_balancer("app")
            balancer.pause(balancer.servers["u1"], 30.0, timers.now())
            router.find_budget("app").record_request(timers.now())
            gone = replace(upstream, state=UpstreamState.GONE)
            router._handle_upstreams([gone])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(router._run_maintenance)
                await timers.advance(1.0)
                assert router.find_balancer("app") is balancer
                assert router._budgets
                await timers.advance(31.0)
                tasks.cancel_scope.cancel()
            assert not router._balancers
            assert not router._budgets

        anyio.run(test)


class TestThroughput:
    """The estimated throughput is logged while it limits accounts."""

    def test_line(self) -> None:
        """Guards against routers whose estimates can't be compared."""

        async def test() -> None:
            router, lines, writer = build_router()
            document = {
                "version": 1,
                "routes": [],
                "pools": [
                    {"name": "model", "memory_tokens": 300_000},
                    {"name": "app"},
                ],
            }
            router.routing = parse_routing(document).unwrap()
            router.find_balancer("model")
            router.find_balancer("app")
            router._log_throughput(1.0)
            router._shares.throughput = 1000.0
            usage = {name: AccountUsage(100_000, 0) for name in ("a", "b")}
            router._shares.apply_fleet_usage(usage, 1, "leader", 1.0)
            router._log_throughput(1.5)
            writer.flush(1.0)
            texts = lines.getvalue().splitlines()
            logged = [json.loads(text) for text in texts]
            [line] = [each for each in logged if each["event"] == "throughput"]
            assert line["pool"] == "model"
            assert line["usage_age_ms"] == 500
            assert {"factor", "level", "wait_ms", "token_ms"} <= set(line)

        anyio.run(test)

    def test_leader_of_an_older_release(self) -> None:
        """Guards against an estimate that stands still during a release.

        Overloaded engines were sent 1.4 times the configured throughput.
        """

        async def test() -> None:
            router, _, _ = build_router()
            for _ in range(8):
                router._shares.propose(False, True)
                router._apply_fleet_usage(FleetUsage(source="old"))
            assert router._shares.factor < 1

        anyio.run(test)


class TestAssumedRouters:
    """A router that doesn't know the others' load assumes some."""

    def test_before_the_first_fleet_usage(self) -> None:
        """Guards against engines overfilled when a large fleet starts.

        Each of 195 routers assumed three others.
        """

        async def test() -> None:
            router, _, _ = build_router()
            assert router.find_balancer("model").assumed_routers == 3
            router.subscription.attached_routers = 195
            assert router.find_balancer("other").assumed_routers > 50

        anyio.run(test)

    def test_while_no_controller_is_reachable(self) -> None:
        """Guards against engines that seem idle once the usage is old.

        All controllers were down for 15 s. What other routers had reported
        counted as prefilled after a second, so each router went on as if it
        were the only one.
        """

        async def test() -> None:
            timers = VirtualTimers(start=100.0)
            router, _, _ = build_router(timers)
            balancer = router.find_balancer("model")
            router._shares.throughput = 1000.0
            usage = FleetUsage({"a": AccountUsage(4000, 0)}, {}, 8, "c1")
            for asked in (0, 400):
                router._shares.own_usage["a"] = AccountUsage(asked, 0)
                router._collect_usage()
                router._apply_fleet_usage(usage)
                await timers.advance(0.25)
            assert balancer.assumed_routers == 0
            assert router._count_assumed_routers(timers.now()) == 0
            await timers.advance(1.0)
            # A tenth of the fleet's demand comes to this router.
            assumed = router._count_assumed_routers(timers.now())
            assert assumed == pytest.approx(9.0)

        anyio.run(test)
