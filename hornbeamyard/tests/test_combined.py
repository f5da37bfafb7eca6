"""Tests of two faults at the same time, with processes."""

from __future__ import annotations

import json
import shutil
import signal
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import anyio
import grpc
import httpcore
import pytest

from hornbeamyard.connection import peers
from hornbeamyard.messages import fleet_pb2, fleet_pb2_grpc

from .callers import Callers
from .fault_matrix import Violations
from .fleet import CALLER_KEY_PREFIX, LocalFleet
from .in_process import MODEL, SERVICE
from .partition import PartitionableFleet
from .scenarios import start_upstreams

CALLERS = 24
# Covers the end of the lease, an election and the new leader's reply.
FAILOVER_TIMEOUT_S = 15.0
SUBMIT_TIMEOUT_S = 1.0
IDENTITY = fleet_pb2.Identity(
    fleet="test",
    protocol=peers.PROTOCOL_VERSION,
    host="operator",
    incarnation=1,
)


@contextmanager
def run_fleet(
    folder: Path, routers: int, controllers: int
) -> Iterator[PartitionableFleet]:
    """Run a configured fleet of processes."""
    with PartitionableFleet(folder, routers, controllers) as fleet:
        fleet.start()
        pools = {MODEL: "model", SERVICE: "service"}
        fleet.configure(fleet.build_document(pools))
        yield fleet


def run_under_load(fleet: LocalFleet, fault: Callable[[], None]) -> Callers:
    """Run callers while faults happen, and check their records."""
    start_upstreams(fleet)
    callers = Callers(fleet, MODEL, SERVICE, seed="combined-1")

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(callers.run, CALLERS)
            with anyio.fail_after(20):
                while callers.count_answered() < 2 * CALLERS:
                    await anyio.sleep(0.05)
            try:
                await anyio.to_thread.run_sync(fault)
            finally:
                callers.stopping = True

    anyio.run(run)
    violations = Violations()
    callers.check_records(fleet.folder.glob("*.journal"), violations)
    assert violations.list_all() == []
    return callers


def submit_patch(
    fleet: LocalFleet, number: int, base: int, patch_id: str, share: int
) -> fleet_pb2.PatchResult:
    """Submit a patch to one controller, whether it is the leader or not."""
    patch = [
        {
            "op": "replace",
            "path": "/client_accounts/hotel/share",
            "value": share,
        }
    ]
    request = fleet_pb2.PatchRequest(
        identity=IDENTITY,
        patch_id=patch_id,
        base_version=base,
        patch=json.dumps(patch).encode(),
        operator="operator",
    )
    address = f"127.0.0.1:{fleet.controller_ports[number]}"
    with grpc.insecure_channel(address) as channel:
        stub = fleet_pb2_grpc.FleetStub(channel)
        try:
            return stub.SubmitPatch(request, timeout=SUBMIT_TIMEOUT_S)
        except grpc.RpcError:
            return fleet_pb2.PatchResult(outcome=fleet_pb2.UNKNOWN)


def submit_until_decided(
    fleet: LocalFleet, base: int, patch_id: str, share: int
) -> tuple[int, fleet_pb2.PatchResult]:
    """Submit a patch until a controller decides; return its number too."""
    deadline = time.monotonic() + FAILOVER_TIMEOUT_S
    while True:
        for number in range(fleet.controllers):
            result = submit_patch(fleet, number, base, patch_id, share)
            if result.outcome in (
                fleet_pb2.ACCEPTED,
                fleet_pb2.STALE,
                fleet_pb2.INVALID,
            ):
                return number, result
        assert time.monotonic() < deadline, "no controller decided"
        time.sleep(0.1)


def read_status(fleet: LocalFleet, host: int) -> dict[str, Any]:
    """Return what `hornbeamyard status` prints on a host; empty on failure."""
    result = fleet.run_command("status", "--json", host=host)
    if result.returncode != 0:
        return {}
    document: dict[str, Any] = json.loads(result.stdout)
    return document


def wait_for_attached(fleet: LocalFleet, routers: int, version: int) -> None:
    """Wait until `routers` routers are attached and have a version."""
    deadline = time.monotonic() + FAILOVER_TIMEOUT_S
    while True:
        document = read_status(fleet, 1)
        versions = [r["version_in_force"] for r in document.get("routers", [])]
        if versions == [version] * routers:
            return
        assert time.monotonic() < deadline, document
        time.sleep(0.2)


def send_completion(port: int) -> int:
    """Send a chat completion to one router; return the status code."""
    response = httpcore.request(
        "POST",
        f"http://127.0.0.1:{port}/v1/chat/completions",
        headers={"authorization": f"Bearer {CALLER_KEY_PREFIX}museum"},
        content=json.dumps({"model": MODEL, "max_tokens": 3}).encode(),
        extensions={"timeout": {"read": 10.0}},
    )
    return response.status


@pytest.mark.process
class TestCombined:
    """The invariants hold when a second fault occurs during the first."""

    @pytest.mark.requirement("R3", fault="partition while leader is replaced")
    @pytest.mark.requirement("R4", fault="partition while leader is replaced")
    @pytest.mark.requirement("R5", fault="partition while leader is replaced")
    @pytest.mark.requirement("R8", fault="partition while leader is replaced")
    @pytest.mark.requirement("R9", fault="lead controller replaced")
    def test_partition_while_leader_is_replaced(self, tmp_path: Path) -> None:
        """Guards against a router that fails to rejoin under a new leader.

        Router 3 is partitioned from all controllers, the leader is killed, and
        a new version is accepted before the router reconnects.
        """
        statuses: list[int] = []
        with run_fleet(tmp_path, routers=4, controllers=3) as fleet:

            def fault() -> None:
                fleet.partitioned.add("host-3")
                leader, _ = submit_until_decided(fleet, 1, "before", 2)
                fleet.kill(f"host-{leader}")
                _, result = submit_until_decided(fleet, 2, "during", 3)
                assert result.outcome == fleet_pb2.ACCEPTED
                time.sleep(4.0)
                statuses.extend(
                    send_completion(fleet.router_ports[3]) for _ in range(5)
                )
                fleet.partitioned.clear()
                fleet.start_host(leader)
                wait_for_attached(fleet, 4, 3)

            callers = run_under_load(fleet, fault)
            assert callers.count_answered() > 100
        assert statuses == [200] * 5

    @pytest.mark.requirement("R8", fault="two disks lost in succession")
    @pytest.mark.requirement("R14", fault="second disk lost during repair")
    def test_second_disk_lost_during_repair(self, tmp_path: Path) -> None:
        """Guards against a member that votes before its repair is complete.

        Two of five controllers lose their disks, the second one while the
        first is being repaired. Afterwards two others are killed, so that
        a majority needs both repaired members to hold every version.
        """
        with run_fleet(tmp_path, routers=5, controllers=5) as fleet:
            for base in range(1, 21):
                _, result = submit_until_decided(fleet, base, f"p{base}", base)
                assert result.outcome == fleet_pb2.ACCEPTED
            for number in (4, 3):
                fleet.kill(f"host-{number}")
                shutil.rmtree(fleet.folder / f"data-{number}")
                fleet.start_host(number)
            _, result = submit_until_decided(fleet, 21, "during", 30)
            assert result.outcome == fleet_pb2.ACCEPTED
            wait_for_voters(fleet, 5)
            for number in (0, 2):
                fleet.kill(f"host-{number}")
            _, result = submit_until_decided(fleet, 22, "after", 31)
            assert (result.outcome, result.version) == (
                fleet_pb2.ACCEPTED,
                23,
            )
            wait_for_attached(fleet, 3, 23)

    @pytest.mark.requirement("R8", fault="concurrent patches during a rejoin")
    @pytest.mark.requirement("R12", fault="concurrent patches during a rejoin")
    @pytest.mark.requirement("R13", fault="partitioned leader rejoins")
    def test_operators_race_during_rejoin(self, tmp_path: Path) -> None:
        """Guards against accepting two patches on one base version.

        The leader's host is partitioned. Controllers on both sides get
        competing patches, also while the leader rejoins. Each patch is sent
        again with its id and must get the same outcome.
        """
        with run_fleet(tmp_path, routers=3, controllers=3) as fleet:
            leader, _ = submit_until_decided(fleet, 1, "first", 2)
            fleet.partitioned.add(f"host-{leader}")
            submissions: list[tuple[int, str, int]] = []
            accepted: dict[int, set[str]] = {}
            base = 2
            for step in range(30):
                if step == 15:
                    fleet.partitioned.clear()
                with ThreadPoolExecutor(3) as pool:
                    ids = [f"{step}-{number}" for number in range(3)]
                    results = pool.map(
                        submit_patch,
                        [fleet] * 3,
                        range(3),
                        [base] * 3,
                        ids,
                        [step + 2, step + 3, step + 4],
                    )
                version = base
                for number, result in enumerate(results):
                    submissions.append((base, ids[number], step + 2 + number))
                    if result.outcome == fleet_pb2.ACCEPTED:
                        accepted.setdefault(base, set()).add(ids[number])
                    version = max(version, result.version)
                base = version
            final_ids = resubmit_patches(fleet, submissions)
            for base, accepted_ids in accepted.items():
                assert final_ids[base] == accepted_ids
            assert all(len(ids) == 1 for ids in final_ids.values())
            assert len(final_ids) >= 5
            wait_for_attached(fleet, 3, 2 + len(final_ids))

    @pytest.mark.requirement("R3", fault="router killed during a drain")
    @pytest.mark.requirement("R4", fault="router killed during a drain")
    @pytest.mark.requirement("R5", fault="router killed during a drain")
    @pytest.mark.requirement("R7", fault="router killed during a drain")
    @pytest.mark.requirement("R10", fault="another router drains")
    def test_router_restarts_during_drain(self, tmp_path: Path) -> None:
        """Guards against a drain that depends on the other routers."""
        codes: list[int] = []
        with run_fleet(tmp_path, routers=4, controllers=1) as fleet:

            def fault() -> None:
                for _ in range(2):
                    draining = fleet.processes["host-2"]
                    draining.send_signal(signal.SIGTERM)
                    time.sleep(0.2)
                    fleet.kill("host-3")
                    fleet.start_host(3)
                    codes.append(draining.wait(30))
                    fleet.start_host(2)
                    fleet.wait_ready()
                    time.sleep(0.5)

            callers = run_under_load(fleet, fault)
            assert callers.count_answered() > 100
            wait_for_attached(fleet, 4, 1)
        assert codes == [0, 0]


def resubmit_patches(
    fleet: LocalFleet, submissions: list[tuple[int, str, int]]
) -> dict[int, set[str]]:
    """Send all patches again; return the accepted ids by base version."""
    accepted: dict[int, set[str]] = {}
    for base, patch_id, share in submissions:
        _, result = submit_until_decided(fleet, base, patch_id, share)
        if result.outcome == fleet_pb2.ACCEPTED:
            accepted.setdefault(base, set()).add(patch_id)
    return accepted


def wait_for_voters(fleet: LocalFleet, voters: int) -> None:
    """Wait until `voters` controllers vote and hold all log entries."""
    deadline = time.monotonic() + 2 * FAILOVER_TIMEOUT_S
    while True:
        members = read_status(fleet, 1).get("controllers", [])
        max_entries = max((member["entries"] for member in members), default=0)
        repaired = [
            member
            for member in members
            if member["voter"]
            and member["reachable"]
            and member["entries"] == max_entries
        ]
        if len(repaired) == len(members) == voters:
            return
        assert time.monotonic() < deadline, members
        time.sleep(0.2)
