"""Measures claims: their rate at three controllers, and their memory."""

from __future__ import annotations

import time
from pathlib import Path

import anyio
import grpc.aio
import psutil

from hornbeamyard.connection import peers
from hornbeamyard.messages import fleet_pb2, fleet_pb2_grpc
from hornbeamyard.tests.fleet import LocalFleet
from hornbeamyard.version.claims import ClaimTable
from hornbeamyard.version.journal import build_record

from .fit import measure_bytes

CONTROLLERS = 3
# Batches that are sent at a time.
CALLERS = 4


def build_batch(first: int, size: int) -> fleet_pb2.ClaimBatch:
    """Return a batch of new claims, as a router sends it.

    Parameters
    ----------
    first : int
        Number of the first claim.
    size : int
        Number of claims.
    """
    identity = fleet_pb2.Identity(
        fleet="test",
        protocol=peers.PROTOCOL_VERSION,
        host="router-00000",
        incarnation=1 << 60,
    )
    batch = fleet_pb2.ClaimBatch(identity=identity)
    for number in range(first, first + size):
        batch.operations.add(
            client_account=f"account-{number % 16000:05d}",
            key=f"00000000-0000-4000-8000-{number:012d}",
            request_hash=bytes(32),
            kind=fleet_pb2.ClaimOperation.MAKE,
            age_ms=5,
            attempt=bytes(8) + number.to_bytes(8, "big"),
        )
    return batch


def measure_table(claims: int) -> dict[str, float]:
    """Return the memory of claims and their size in a snapshot."""
    table = ClaimTable()
    batches = [build_batch(first, 100) for first in range(0, claims, 100)]

    def run() -> None:
        for batch in batches:
            table.apply(batch, 1_700_000_000_000)

    _, size = measure_bytes(run)
    assert len(table) == claims
    snapshot = sum(record.ByteSize() for record in table.list_records())
    return {"state_bytes": size, "snapshot_bytes": float(snapshot)}


def measure_log(size: int) -> float:
    """Return the bytes of one claim in a log, in batches of `size`."""
    entry = fleet_pb2.LogEntry(
        term=1, index=10_000, time_ms=1 << 40, claims=build_batch(0, size)
    )
    return len(build_record(entry.SerializeToString())) / size


class ClaimFleet:
    """Three controllers as processes, to which claims are sent."""

    def __init__(self, folder: Path) -> None:
        self.fleet = LocalFleet(
            folder, routers=CONTROLLERS, controllers=CONTROLLERS
        )
        self._next_claim = 0

    def start(self) -> None:
        """Start the controllers and wait until a configuration is in force."""
        self.fleet.start()
        self.fleet.configure(self.fleet.build_document({"pool": "model"}))

    def measure(self, size: int, seconds: float = 3.0) -> dict[str, float]:
        """Return rate and cost of claims in batches of `size` claims.

        Returns
        -------
        dict of str to float
            Claims per second of wall time (`claims_per_s`), processor time
            of all controllers (`cpu_s_per_claim`), and bytes in each log
            (`log_bytes_per_claim`).
        """
        before = self._read_cpu()
        start = time.monotonic()
        claims = anyio.run(self._make_claims, size, seconds)
        spent = time.monotonic() - start
        return {
            "claims_per_s": claims / spent,
            "cpu_s_per_claim": (self._read_cpu() - before) / claims,
            "log_bytes_per_claim": measure_log(size),
        }

    async def _make_claims(self, size: int, seconds: float) -> int:
        granted = 0
        ports = self.fleet.controller_ports
        address = await self._find_leader(f"127.0.0.1:{ports[0]}")
        async with grpc.aio.insecure_channel(address) as channel:
            stub = fleet_pb2_grpc.FleetStub(channel)
            end = time.monotonic() + seconds

            async def send_batches() -> None:
                nonlocal granted
                while time.monotonic() < end:
                    first, self._next_claim = (
                        self._next_claim,
                        self._next_claim + size,
                    )
                    results = await stub.MakeClaims(build_batch(first, size))
                    states = [result.state for result in results.results]
                    if states != [fleet_pb2.GRANTED] * size:
                        raise RuntimeError(f"claims not granted: {results}")
                    granted += size

            async with anyio.create_task_group() as tasks:
                for _ in range(CALLERS):
                    tasks.start_soon(send_batches)
        return granted

    async def _find_leader(self, address: str) -> str:
        async with grpc.aio.insecure_channel(address) as channel:
            stub = fleet_pb2_grpc.FleetStub(channel)
            results = await stub.MakeClaims(build_batch(self._next_claim, 1))
            self._next_claim += 1
        return results.leader or address

    def _read_cpu(self) -> float:
        total = 0.0
        for number in range(CONTROLLERS):
            pid = self.fleet.processes[f"host-{number}"].pid
            times = psutil.Process(pid).cpu_times()
            total += times.user + times.system
        return total
