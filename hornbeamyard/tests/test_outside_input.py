"""Messages of programs that aren't upstreams don't harm the controllers."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import anyio
import pytest

from hornbeamyard.connection.directory_codec import (
    encode_versions,
    record_versions,
)
from hornbeamyard.messages import fleet_pb2
from hornbeamyard.platform.calls import build_app
from hornbeamyard.platform.configuration import decode_configuration
from hornbeamyard.pool.crashes import Crash, CrashLedger
from hornbeamyard.pool.stream_origins import StreamOrigin, StreamOrigins
from hornbeamyard.pool.upstream_registry import (
    UpstreamRegistry,
    UpstreamStart,
)
from hornbeamyard.process.controller_app import build_controller_app
from hornbeamyard.process.crash_store import CrashStore
from hornbeamyard.process.interface import Application
from hornbeamyard.process.stream_store import StreamStore
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.process.version_store import VersionStore
from hornbeamyard.version.journal import FolderDisk
from hornbeamyard.version.state import FleetState

from .test_directory import Fleet, run_fleet
from .test_forwarding import DOCUMENT
from .test_platform import CONFIGURATION, HEARTBEAT

SURROGATE = "\ud800"
# Values that no message between processes holds, by field of a heartbeat.
UNUSABLE: list[tuple[str, Any]] = [
    *(
        (field, f"x{SURROGATE}")
        for field in ("service", "address", "zone", "version")
    ),
    *((field, "a\r\nb") for field in ("service", "zone", "version")),
    ("models", [{"name": SURROGATE}]),
    ("slots", 10**19),
    ("slots", -1),
    ("sequence", 2**64),
    ("sequence", -1),
    ("born", -5),
    ("born", 10**30),
    ("address", "somewhere"),
    ("address", "10.0.0.9:99999"),
    ("version", "v" * 100_000),
    ("models", [{"name": f"model-{number}"} for number in range(10_000)]),
]
# Ends of the paths, percent-decoded, by which an upstream can't be named.
UNUSABLE_IDS = ["a\r\nx-tenant: b", "\x00", "\ufffd", "i" * 100_000]


async def post(app: Application, path: str, body: bytes) -> int:
    """Send a request to an application and return the status."""
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    method = "PUT" if path.startswith("/hornbeamyard/") else "POST"
    scope = {"type": "http", "method": method, "path": path}
    await app(scope, receive, send)
    return int(sent[0]["status"])


class TestUpstreams:
    """Announcements that can't be used change nothing."""

    def test_heartbeats(self, tmp_path: Path) -> None:
        """Guards against a heartbeat that ends a controller or its streams."""

        async def test(fleet: Fleet) -> None:
            registrar = fleet.registrars[0]
            app = build_app(registrar)
            path = "/Instances.Heartbeat/other"
            body = json.dumps(HEARTBEAT).encode()
            unreadable = body.replace(b'"v1"', b'"\xed\xa0\x80"')
            assert await post(app, path, unreadable) == 400
            for field, value in UNUSABLE:
                other = json.dumps({**HEARTBEAT, field: value}).encode()
                assert await post(app, path, other) == 400, (field, value)
            for id in UNUSABLE_IDS:
                path = f"/Instances.Heartbeat/{id}"
                assert await post(app, path, body) == 400
            assert len(registrar.directory.registry) == 0
            # The file of versions is written meanwhile.
            await anyio.sleep(0.3)
            assert await post(app, "/Instances.Heartbeat/i-1", body) == 200
            subscriber = registrar.directory.attach("r1")
            assert list(subscriber.pending_records) == ["i-1"]

        run_fleet(tmp_path, test)

    def test_deregistrations(self, tmp_path: Path) -> None:
        """Guards against a farewell that keeps all routers from attaching."""

        async def test(fleet: Fleet) -> None:
            registrar = fleet.registrars[0]
            app = build_app(registrar)
            body = json.dumps(HEARTBEAT).encode()
            assert await post(app, "/Instances.Heartbeat/i-1", body) == 200
            for born in (b"-5", b"1" + b"0" * 30, b'"x"', b"null", b"\xff"):
                other = b'{"born": ' + born + b"}"
                path = "/Instances.Deregister/i-1"
                assert await post(app, path, other) == 400, born
            for id in UNUSABLE_IDS:
                assert (
                    await post(app, f"/Instances.Deregister/{id}", b"") == 400
                )
            subscriber = registrar.directory.attach("r1")
            [record] = subscriber.pending_records.values()
            assert record.state == fleet_pb2.UpstreamRecord.READY

        run_fleet(tmp_path, test)

    def test_native_announcements(self, tmp_path: Path) -> None:
        """Guards against the same faults in the fleet's own interface."""

        async def test(fleet: Fleet) -> None:
            registrar = fleet.registrars[0]
            app = build_controller_app(registrar)
            document = {
                "pool": "app",
                "address": "10.0.0.9:80",
                "availability_zone": "zone-a",
                "slots": 4,
                "sequence": 1,
            }
            path = "/hornbeamyard/v1/upstreams/"
            for field, value in (
                ("pool", SURROGATE),
                ("software_version", SURROGATE),
                ("models", [SURROGATE]),
                ("slots", 2**31),
                ("sequence", 2**64),
                ("started_ms", 2**64),
            ):
                other = json.dumps({**document, field: value}).encode()
                assert await post(app, f"{path}other", other) == 400, field
            body = json.dumps(document).encode()
            for id in UNUSABLE_IDS:
                assert await post(app, path + id, body) == 400
            assert await post(app, f"{path}other", b"[" * 100_000) == 400
            await anyio.sleep(0.3)
            assert await post(app, f"{path}u1", body) == 200
            subscriber = registrar.directory.attach("r1")
            assert list(subscriber.pending_records) == ["u1"]

        run_fleet(tmp_path, test)

    def test_service_that_is_not_configured(self, tmp_path: Path) -> None:
        """Guards against an upstream that is ended by another program.

        That program names a service that the routing doesn't have, at the
        address or under the id of the upstream.
        """

        async def test(fleet: Fleet) -> None:
            pools = [{"name": "app"}, {"name": "spare"}]
            await fleet.submit(7, {**DOCUMENT, "pools": pools})
            registrar = fleet.registrars[0]
            await fleet.wait(lambda: registrar.replica.state.routing.version)
            app = build_app(registrar)
            heartbeat = {**HEARTBEAT, "service": "app"}
            path = "/Instances.Heartbeat/"
            for id, service in (("i-1", "app"), ("i-2", "x"), ("i-1", "x")):
                heartbeat["sequence"] += 1
                heartbeat["born"] += 1 if service == "x" else 0
                body = json.dumps({**heartbeat, "service": service}).encode()
                assert await post(app, path + id, body) == 200
            [upstream] = registrar.directory.registry
            assert (upstream.id, upstream.pool) == ("i-1", "app")
            # The address is given to an upstream of another pool.
            body = json.dumps({**heartbeat, "service": "spare"}).encode()
            assert await post(app, f"{path}i-3", body) == 200
            [upstream] = registrar.directory.registry
            assert upstream.id == "i-3"

        run_fleet(tmp_path, test)


class TestConfiguration:
    """A configuration with texts that can't be used is refused."""

    @pytest.mark.parametrize(
        "place",
        [
            b'"r-1"',
            b'"a.example"',
            b'"/x/"',
            b'"s1"',
            b'"/health"',
            b'"t"',
            b'"b"',
        ],
    )
    @pytest.mark.parametrize(
        "text", [b'"a\xed\xa0\x80"', b'"a\\ud800"', b'"a\\r\\nx: y"']
    )
    def test_refuses(self, place: bytes, text: bytes) -> None:
        """Guards against acknowledging what no request can be served with."""
        document = json.dumps(CONFIGURATION).encode()
        assert decode_configuration(document).is_ok()
        assert decode_configuration(document.replace(place, text)).is_err()

    @pytest.mark.parametrize("limits", [b"[]", b"false", b"0", b'""'])
    def test_limits_of_another_type(self, limits: bytes) -> None:
        """Guards against ignoring limits that can't be read."""
        document = {**CONFIGURATION, "limits": "LIMITS"}
        data = json.dumps(document).encode().replace(b'"LIMITS"', limits)
        assert decode_configuration(data).is_err()


class TestPatches:
    """A patch with texts that can't be stored is refused."""

    @pytest.mark.parametrize(
        "patch",
        [
            [{"op": "add", "path": "/\ud800", "value": 1}],
            [{"op": "add", "path": "/pools/\ud800", "value": {}}],
            [{"op": "add", "path": "/pools/a", "value": {"\ud800": 1}}],
            [{"op": "\ud800"}, {"op": "add", "path": "/pools/\ud800"}],
        ],
    )
    def test_log_entry(self, patch: list[dict[str, Any]]) -> None:
        """Guards against an entry that ends each controller that applies it.

        It may be in the log already, from an older release.
        """
        request = fleet_pb2.PatchRequest(
            patch_id="p1", patch=json.dumps(patch).encode()
        )
        state = FleetState()
        entry = fleet_pb2.LogEntry(index=1, term=1, patch=request)
        result = state.apply(entry)
        assert isinstance(result, fleet_pb2.PatchResult)
        assert result.outcome == fleet_pb2.INVALID
        assert FleetState.from_snapshot(state.build_snapshot()).outcomes


class TestStores:
    """A store survives what can't be written, and writes the rest."""

    def test_versions(self, tmp_path: Path) -> None:
        """Guards against a process that ends for one pool's version."""

        async def main() -> None:
            timers = VirtualTimers()
            registry = UpstreamRegistry()
            store = VersionStore(registry, FolderDisk(tmp_path), timers)
            registry.record_version("other", SURROGATE, timers.now())
            registry.record_version("app", "v1", timers.now())
            await run_store(store, timers)
            loaded = UpstreamRegistry()
            disk = FolderDisk(tmp_path)
            await VersionStore(loaded, disk, VirtualTimers()).load()
            assert loaded.list_pools() == ["app"]

        anyio.run(main)

    def test_crashes(self, tmp_path: Path) -> None:
        """Guards against a process that ends for one crash."""

        async def main() -> None:
            timers = VirtualTimers()
            ledger = CrashLedger()
            store = CrashStore(ledger, FolderDisk(tmp_path), timers)
            crash = Crash(UpstreamStart(SURROGATE, 1), 0.0, "r1", {"p": 0})
            ledger.merge([crash])
            await run_store(store, timers)

        anyio.run(main)

    def test_streams(self, tmp_path: Path) -> None:
        """Guards against streams that are lost behind one that can't be."""

        async def main() -> None:
            timers = VirtualTimers()
            origins = StreamOrigins()
            store = StreamStore(origins, FolderDisk(tmp_path), timers)
            origins.record("q1", StreamOrigin("app", SURROGATE), timers.now())
            await run_store(store, timers)
            origins.record("q2", StreamOrigin("app", "v1"), timers.now())
            await run_store(store, timers)
            loaded = StreamOrigins()
            disk = FolderDisk(tmp_path)
            await StreamStore(loaded, disk, VirtualTimers()).load()
            assert loaded.find("q2") == StreamOrigin("app", "v1")

        anyio.run(main)

    def test_messages(self) -> None:
        """Guards against a message that is lost for one pool's version."""
        registry = UpstreamRegistry()
        registry.record_version("other", SURROGATE, 1.0)
        registry.record_version("app", "v1", 1.0)
        loaded = UpstreamRegistry()
        record_versions(loaded, encode_versions(registry, 2.0), 2.0)
        assert loaded.list_pools() == ["app"]


async def run_store(
    store: VersionStore | CrashStore | StreamStore, timers: VirtualTimers
) -> None:
    """Run a store for a second."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(store.run)
        await anyio.sleep(0.01)
        await timers.advance(1.0)
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
