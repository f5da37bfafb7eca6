"""Tests of controllers as processes that fail, freeze or lose their disks."""

from __future__ import annotations

import json
import shutil
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import anyio
import grpc
import pytest

from hornbeamyard.connection import peers
from hornbeamyard.messages import fleet_pb2, fleet_pb2_grpc

from .fleet import LocalFleet

IDENTITY = fleet_pb2.Identity(
    fleet="test", protocol=peers.PROTOCOL_VERSION, host="tester", incarnation=1
)
TIMEOUT_S = 20.0


class ControllerClient:
    """Sends operators' and routers' calls to the controllers of a fleet.

    Attributes
    ----------
    fleet : LocalFleet
    ports : list of int
        Ports of the controllers.
    patches : int
        Patches submitted with `submit_patch`.
    """

    def __init__(self, fleet: LocalFleet) -> None:
        self.fleet = fleet
        self.ports = fleet.controller_ports
        self.patches = 0

    def call(self, number: int, method: str, request: object) -> object | None:
        """Call one controller; return None if it doesn't reply."""

        async def run() -> object | None:
            address = f"127.0.0.1:{self.ports[number]}"
            async with peers.open_channel(address, None) as channel:
                stub = fleet_pb2_grpc.FleetStub(channel)
                try:
                    return await getattr(stub, method)(request, timeout=5)
                except grpc.aio.AioRpcError:
                    return None

        return anyio.run(run)

    def read_configuration(
        self, number: int
    ) -> fleet_pb2.ConfigurationReply | None:
        """Read the newest version from one controller."""
        request = fleet_pb2.ReadRequest(identity=IDENTITY)
        return self.call(number, "ReadConfiguration", request)

    def find_leader(self, exclude: int | None = None) -> int:
        """Wait for a leader and return its number."""
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            for number in range(len(self.ports)):
                reply = (
                    None
                    if number == exclude
                    else self.read_configuration(number)
                )
                if reply is not None and reply.found:
                    return number
            time.sleep(0.05)
        raise TimeoutError("no controller leads")

    def submit_patch(
        self, number: int, base: int, patch_id: str = ""
    ) -> fleet_pb2.PatchResult | None:
        """Submit a patch to one controller."""
        self.patches += 1
        account = {"share": 1, "keys": []}
        path = f"/client_accounts/a{base}"
        operation = {"op": "add", "path": path, "value": account}
        request = fleet_pb2.PatchRequest(
            identity=IDENTITY,
            patch_id=patch_id or f"patch-{self.patches}",
            base_version=base,
            patch=json.dumps([operation]).encode(),
        )
        return self.call(number, "SubmitPatch", request)

    def submit_patches(
        self, number: int, base: int, count: int
    ) -> list[float]:
        """Submit patches one after another; return their durations in s."""

        async def run() -> list[float]:
            address = f"127.0.0.1:{self.ports[number]}"
            times = []
            async with peers.open_channel(address, None) as channel:
                stub = fleet_pb2_grpc.FleetStub(channel)
                for version in range(base, base + count):
                    operation = {
                        "op": "add",
                        "path": "/client_accounts/one",
                        "value": {"share": 1 + version, "keys": []},
                    }
                    started = time.monotonic()
                    result = await stub.SubmitPatch(
                        fleet_pb2.PatchRequest(
                            identity=IDENTITY,
                            patch_id=f"many-{version}",
                            base_version=version,
                            patch=json.dumps([operation]).encode(),
                        ),
                        timeout=5,
                    )
                    times.append(time.monotonic() - started)
                    assert result.outcome == fleet_pb2.ACCEPTED
            return times

        return anyio.run(run)

    def claim(
        self, number: int, attempt: bytes
    ) -> fleet_pb2.ClaimResults | None:
        """Claim an idempotency key."""
        operation = fleet_pb2.ClaimOperation(
            client_account="hotel",
            key="key",
            request_hash=b"hash",
            kind=fleet_pb2.ClaimOperation.MAKE,
            attempt=attempt,
        )
        batch = fleet_pb2.ClaimBatch(identity=IDENTITY, operations=[operation])
        return self.call(number, "MakeClaims", batch)

    def wait_for_log(self, host: int, text: str) -> None:
        """Wait until a host's log contains a text."""
        deadline = time.monotonic() + TIMEOUT_S
        while text not in self.fleet.read_log(f"host-{host}"):
            if time.monotonic() > deadline:
                raise TimeoutError(f"host {host} did not log {text!r}")
            time.sleep(0.05)

    def wait_for_initial_members(self, host: int) -> None:
        """Wait until the log names the data folders of all initial members."""
        deadline = time.monotonic() + TIMEOUT_S
        lines = 1 + len(self.ports)
        while self.fleet.read_log(f"host-{host}").count("members: ") < lines:
            if time.monotonic() > deadline:
                raise TimeoutError("the log does not name all data folders")
            time.sleep(0.05)

    def wait_for_voters(self, host: int, count: int) -> None:
        """Wait until the newest members in the log are `count` voters."""
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            lines = self.fleet.read_log(f"host-{host}").split("members: ")
            newest = lines[-1].splitlines()[0].split(", ")
            if len(newest) == len(set(newest)) == count and not any(
                "learner" in member for member in newest
            ):
                return
            if time.monotonic() > deadline:
                raise TimeoutError(f"the members are still {newest}")
            time.sleep(0.05)


@pytest.fixture(params=[3, 5])
def client(
    request: pytest.FixtureRequest, tmp_path: Path
) -> Iterator[ControllerClient]:
    """Run a fleet of controllers with one accepted patch."""
    count = request.param
    with LocalFleet(tmp_path, routers=count, controllers=count) as fleet:
        fleet.start()
        client = ControllerClient(fleet)
        accepted = client.submit_patch(client.find_leader(), 0, "first")
        assert accepted is not None
        assert accepted.outcome == fleet_pb2.ACCEPTED
        fleet.wait_ready()
        yield client


@pytest.mark.process
class TestFailover:
    """A new leader knows everything that the old one acknowledged."""

    @pytest.mark.requirement("R8", fault="leader killed")
    @pytest.mark.requirement("R13", fault="patch resent to the next leader")
    def test_leader_killed(self, client: ControllerClient) -> None:
        """Guards against losing versions, outcomes and claims."""
        old = client.find_leader()
        assert client.claim(old, b"first").results[0].state == (
            fleet_pb2.GRANTED
        )
        client.fleet.kill(f"host-{old}")
        new = client.find_leader(exclude=old)
        assert client.read_configuration(new).version == 1
        resent = client.submit_patch(new, 0, "first")
        assert (resent.outcome, resent.version) == (fleet_pb2.ACCEPTED, 1)
        racing = client.submit_patch(new, 0)
        assert racing.outcome == fleet_pb2.STALE
        second = client.claim(new, b"second")
        assert second.results[0].state == fleet_pb2.IN_PROGRESS
        client.fleet.start_host(old)
        assert client.submit_patch(new, 1).version == 2
        client.wait_for_log(old, "version 2 is in force")

    @pytest.mark.requirement("R12", fault="leader frozen beyond its lease")
    def test_leader_frozen(self, client: ControllerClient) -> None:
        """Guards against replies of a leader whose lease has expired."""
        old = client.find_leader()
        process = client.fleet.processes[f"host-{old}"]
        process.send_signal(signal.SIGSTOP)
        new = client.find_leader(exclude=old)
        assert client.submit_patch(new, 1).version == 2
        process.send_signal(signal.SIGCONT)
        for _ in range(20):
            reply = client.read_configuration(old)
            assert reply is None or not reply.found or reply.version >= 2
            result = client.submit_patch(old, 1)
            assert result is None or result.outcome != fleet_pb2.ACCEPTED
        client.wait_for_log(old, "version 2 is in force")

    @pytest.mark.requirement("R7", fault="leader stopped")
    def test_leader_transfers_leadership(
        self, client: ControllerClient
    ) -> None:
        """Guards against an election timeout after a planned stop."""
        old = client.find_leader()
        process = client.fleet.processes[f"host-{old}"]
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0
        stopped = time.monotonic()
        client.find_leader(exclude=old)
        assert time.monotonic() - stopped < 1.5


@pytest.mark.process
class TestRepair:
    """A controller that lost its data folder rejoins as a new member."""

    @pytest.mark.requirement("R14", fault="second host lost after a repair")
    def test_lost_data_folder(self, tmp_path: Path) -> None:
        """Guards against counting a member that has lost its votes."""
        with LocalFleet(tmp_path, routers=3, controllers=3) as fleet:
            fleet.start()
            client = ControllerClient(fleet)
            leader = client.find_leader()
            assert client.submit_patch(leader, 0).version == 1
            lost, other = [n for n in range(3) if n != leader]
            fleet.kill(f"host-{lost}")
            shutil.rmtree(tmp_path / f"data-{lost}")
            assert client.submit_patch(leader, 1).version == 2
            fleet.start_host(lost)
            client.wait_for_log(leader, "(learner)")
            client.wait_for_voters(leader, 3)
            fleet.kill(f"host-{other}")
            assert client.submit_patch(leader, 2).version == 3
            fleet.kill(f"host-{leader}")
            fleet.start_host(other)
            assert (
                client.read_configuration(
                    client.find_leader(exclude=leader)
                ).version
                == 3
            )

    @pytest.mark.requirement("R14", fault="damaged vote file")
    def test_damaged_data_folder(self, tmp_path: Path) -> None:
        """Guards against a damaged controller that never votes again."""
        with LocalFleet(tmp_path, routers=3, controllers=3) as fleet:
            fleet.start()
            client = ControllerClient(fleet)
            leader = client.find_leader()
            assert client.submit_patch(leader, 0).version == 1
            damaged, other = [n for n in range(3) if n != leader]
            fleet.kill(f"host-{damaged}")
            (tmp_path / f"data-{damaged}" / "vote").write_bytes(b"")
            assert client.submit_patch(leader, 1).version == 2
            fleet.start_host(damaged)
            client.wait_for_log(damaged, "the data folder is damaged")
            client.wait_for_log(leader, "(learner)")
            client.wait_for_voters(leader, 3)
            fleet.kill(f"host-{other}")
            assert client.submit_patch(leader, 2).version == 3


@pytest.mark.process
class TestDisk:
    """A controller whose disk fails neither votes nor leads."""

    @pytest.mark.requirement("R8", fault="disk error of the leader")
    def test_leader_steps_down(self, tmp_path: Path) -> None:
        """Guards against acknowledging entries that aren't on disk."""
        with LocalFleet(tmp_path, routers=3, controllers=3) as fleet:
            fleet.start()
            client = ControllerClient(fleet)
            leader = client.find_leader()
            client.wait_for_initial_members(leader)
            assert client.submit_patch(leader, 0).version == 1
            log = tmp_path / f"data-{leader}" / "log"
            log.unlink()
            log.mkdir()
            result = client.submit_patch(leader, 1, "second")
            assert result.outcome == fleet_pb2.UNKNOWN
            client.wait_for_log(leader, "no longer votes or leads")
            new = client.find_leader(exclude=leader)
            # The patch reached no disk, so the same id can be accepted now.
            assert client.submit_patch(new, 1, "second").version == 2
            assert fleet.processes[f"host-{leader}"].poll() is None
            client.wait_for_log(leader, "version 2 is in force")


@pytest.mark.process
class TestRestart:
    """A controller with a long log restarts quickly."""

    @pytest.mark.requirement("R15", fault="restart after 1,000 patches")
    @pytest.mark.parametrize("patches", [990, 1010])
    def test_after_many_patches(self, tmp_path: Path, patches: int) -> None:
        """Guards against a slow restart just before and after a snapshot."""
        with LocalFleet(tmp_path, routers=1) as fleet:
            fleet.start()
            client = ControllerClient(fleet)
            client.submit_patches(client.find_leader(), 0, patches)
            fleet.kill("host-0")
            started = time.monotonic()
            fleet.start_host(0)
            assert (
                client.read_configuration(client.find_leader()).version
                == patches
            )
            assert time.monotonic() - started < 2.0
