"""Tests of gRPC connections: mutual TLS, refused processes, keepalive."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import anyio
import grpc
import grpc.aio
import httpcore
import pytest
from result import Err

from hornbeamyard.connection import peers
from hornbeamyard.messages import fleet_pb2, fleet_pb2_grpc
from hornbeamyard.process.settings import Tls, load_settings
from soak.links import Link

from .certificates import CertificateAuthority
from .fleet import CALLER_KEY_PREFIX, LocalFleet, find_free_port

POOL = "visitor-assistant"
# A ping every second, two seconds for its response, one to reconnect, and a
# margin for a busy host.
SILENCE_BOUND_S = 8.0


def change_settings(folder: Path, number: int, **changes: Any) -> None:
    """Change the settings of one host."""
    path = folder / f"host-{number}.json"
    document = json.loads(path.read_text())
    path.write_text(json.dumps({**document, **changes}))


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    """Run two hosts of one fleet, one of another and one of another CA."""
    folder: Path = tmp_path_factory.mktemp("tls")
    ours, foreign = (
        CertificateAuthority(folder, "ours"),
        CertificateAuthority(folder, "foreign"),
    )
    with LocalFleet(folder, routers=4) as local:
        for number in range(3):
            tls = ours.issue(f"host-{number}")
            change_settings(folder, number, tls=tls)
        change_settings(folder, 2, fleet="another")
        change_settings(folder, 3, tls=foreign.issue("host-3"))
        local.start()
        ports, local.router_ports = local.router_ports, local.router_ports[:2]
        local.configure(local.build_document({POOL: "model"}))
        local.start_upstream(f"{POOL}-0", POOL)
        local.router_ports = ports
        yield local
        # Otherwise they wait for a lead controller to acknowledge their stop.
        local.kill("host-2")
        local.kill("host-3")


def read_status(
    fleet: LocalFleet, tls: Tls | None, identity: fleet_pb2.Identity
) -> fleet_pb2.StatusReply:
    """Return the controller's status."""

    async def call() -> fleet_pb2.StatusReply:
        address = f"127.0.0.1:{fleet.controller_ports[0]}"
        async with peers.open_channel(address, tls) as channel:
            stub = fleet_pb2_grpc.FleetStub(channel)
            request = fleet_pb2.StatusRequest(identity=identity)
            return await stub.ReadStatus(request, timeout=5)

    return anyio.run(call)


def load_tls(fleet: LocalFleet, number: int) -> Tls | None:
    """Return the TLS files of one host."""
    return load_settings(fleet.folder / f"host-{number}.json").unwrap().tls


def wait_for_log(fleet: LocalFleet, name: str, text: str) -> str:
    """Return the log of a process once it contains a text."""
    deadline = time.monotonic() + 10
    while text not in fleet.read_log(name):
        assert time.monotonic() < deadline, fleet.read_log(name)
        time.sleep(0.05)
    return fleet.read_log(name)


OURS = fleet_pb2.Identity(
    fleet="test", protocol=peers.PROTOCOL_VERSION, host="tool"
)


@pytest.mark.process
class TestMutualTls:
    """Only processes with a certificate of the fleet's CA can connect."""

    def test_serves_requests(self, fleet: LocalFleet) -> None:
        """Guards against a fleet that doesn't work with certificates."""
        for port in fleet.router_ports[:2]:
            response = httpcore.request(
                "POST",
                f"http://127.0.0.1:{port}/v1/chat/completions",
                headers={"authorization": f"Bearer {CALLER_KEY_PREFIX}hotel"},
                content=json.dumps({"model": POOL}).encode(),
                extensions={"timeout": {"read": 20.0}},
            )
            assert response.status == 200
        reply = read_status(fleet, load_tls(fleet, 1), OURS)
        hosts = [r["host"] for r in json.loads(reply.document)["routers"]]
        assert hosts == ["host-0", "host-1"]

    @pytest.mark.parametrize("number", [None, 3])
    def test_refuses_without_certificate(
        self, fleet: LocalFleet, number: int | None
    ) -> None:
        """Guards against connections in plain text or from another CA."""
        tls = None if number is None else load_tls(fleet, number)
        with pytest.raises(grpc.aio.AioRpcError) as caught:
            read_status(fleet, tls, OURS)
        assert caught.value.code() is grpc.StatusCode.UNAVAILABLE

    def test_server_checks_client(self, fleet: LocalFleet) -> None:
        """Guards against a server that accepts any client certificate."""
        trusting, foreign = load_tls(fleet, 0), load_tls(fleet, 3)
        assert trusting is not None
        assert foreign is not None
        tls = Tls(foreign.certificate, foreign.key, trusting.authority)
        with pytest.raises(grpc.aio.AioRpcError) as caught:
            read_status(fleet, tls, OURS)
        assert caught.value.code() is grpc.StatusCode.UNAVAILABLE

    def test_logs_failed_handshake_once(self, fleet: LocalFleet) -> None:
        """Guards against failed handshakes with no log line or with many."""
        log = wait_for_log(fleet, "host-3", "can't be reached: ")
        time.sleep(0.6)
        lines = [line for line in log.splitlines() if "can't be" in line]
        assert 1 <= len(lines) <= 3
        assert "CERTIFICATE_VERIFY_FAILED" in log
        assert "ssl_transport_security" not in fleet.read_log("host-0")
        assert "PRIVATE KEY" not in log


@pytest.mark.process
class TestIdentity:
    """Processes of another fleet or protocol version are refused."""

    @pytest.mark.parametrize(
        ("identity", "message"),
        [
            (
                fleet_pb2.Identity(fleet="x", protocol=1, host="tool-1"),
                "fleet 'x' is not this fleet, 'test'",
            ),
            (
                fleet_pb2.Identity(fleet="test", protocol=99, host="tool-2"),
                "protocol version 99 is not supported; this process speaks",
            ),
        ],
    )
    def test_refuses_and_logs(
        self,
        fleet: LocalFleet,
        identity: fleet_pb2.Identity,
        message: str,
    ) -> None:
        """Guards against mixed fleets and refusals without a log line."""
        for _ in range(2):
            with pytest.raises(grpc.aio.AioRpcError, match=message) as caught:
                read_status(fleet, load_tls(fleet, 0), identity)
            code = caught.value.code()
            assert code is grpc.StatusCode.FAILED_PRECONDITION
        log = wait_for_log(fleet, "host-0", f"refused host '{identity.host}'")
        assert log.count(f"refused host '{identity.host}'") == 1

    def test_router_logs_refusal(self, fleet: LocalFleet) -> None:
        """Guards against a refused router that logs nothing."""
        log = wait_for_log(
            fleet, "host-2", "refused this process: fleet 'another'"
        )
        time.sleep(0.6)
        assert log.count("refused this process") == 1


class TestPlainText:
    """Plain text between hosts has to be enabled explicitly."""

    @pytest.mark.parametrize(
        ("changes", "is_accepted"),
        [
            ({}, False),
            ({"plain_text": True}, True),
            ({"plain_text": False}, False),
        ],
    )
    def test_off_loopback(
        self, tmp_path: Path, changes: dict[str, Any], is_accepted: bool
    ) -> None:
        """Guards against unencrypted connections between hosts by default."""
        document = {
            "fleet": "test",
            "host": "a",
            "availability_zone": "centro",
            "controllers": {"b": "10.0.0.1:7000"},
            "router": {"address": "0.0.0.0:8080"},
            **changes,
        }
        path = tmp_path / "a.json"
        path.write_text(json.dumps(document))
        loaded = load_settings(path)
        assert isinstance(loaded, Err) is not is_accepted
        if not is_accepted:
            assert "is not on loopback; set 'tls'" in str(loaded.err())

    def test_tls_files_must_match(self, tmp_path: Path) -> None:
        """Guards against settings whose key doesn't match the certificate."""
        authority = CertificateAuthority(tmp_path, "ours")
        first, second = authority.issue("a"), authority.issue("b")
        document = {
            "fleet": "test",
            "host": "a",
            "availability_zone": "centro",
            "controllers": {"b": "10.0.0.1:7000"},
            "router": {"address": "0.0.0.0:8080"},
            "tls": {**first, "key": second["key"]},
        }
        path = tmp_path / "a.json"
        path.write_text(json.dumps(document, indent=1))
        ((line, key_path, message),) = [
            (f.line, f.key_path, f.message)
            for f in load_settings(path).unwrap_err().findings
        ]
        assert (line, key_path) == (12, "tls.certificate")
        assert "for the private key" in message


class TestSilence:
    """A connection that no longer delivers anything is replaced."""

    def test_silent_connection_is_replaced(self) -> None:
        """Guards against a channel that keeps a silent connection.

        By default gRPC waits a minute for the response to a ping, so routers
        didn't reconnect to a controller whose connections had gone silent.
        """

        async def echo(request: bytes, context: object) -> bytes:
            return request

        async def test() -> None:
            port = find_free_port()
            server = peers.create_server()
            method = grpc.unary_unary_rpc_method_handler(echo)
            handler = grpc.method_handlers_generic_handler(
                "test", {"Echo": method}
            )
            server.add_generic_rpc_handlers((handler,))
            peers.add_port(server, f"127.0.0.1:{port}", None)
            await server.start()
            link = Link("server", find_free_port(), port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(link.serve)
                await anyio.sleep(0.1)
                channel = peers.open_channel(link.address, None)
                call = channel.unary_unary("/test/Echo")
                assert await call(b"a", timeout=2.0) == b"a"
                link.silence()
                with anyio.fail_after(SILENCE_BOUND_S):
                    while True:
                        try:
                            await call(b"b", timeout=0.3)
                        except grpc.aio.AioRpcError:
                            await anyio.sleep(0.1)
                        else:
                            break
                await channel.close()
                tasks.cancel_scope.cancel()
            await server.stop(grace=None)

        anyio.run(test)
