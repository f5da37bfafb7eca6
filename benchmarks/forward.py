"""Measures processor time and memory of the router's data path on loopback.

A router and a bare forwarder with the same HTTP libraries get the same load
in turn, in front of the same fake upstreams.
"""

from __future__ import annotations

import json
import statistics
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import click
import httpcore
import psutil

from hornbeamyard.tests.fleet import (
    CALLER_KEY_PREFIX,
    LocalFleet,
    find_free_port,
)

from .load import build_request, hold_streams, run_callers

ACCOUNT = "hotel"
# Host 0 also runs the controller; this host runs a router only.
MEASURED_HOST = 1
# Time for which processor time without load is measured.
IDLE_SPAN_S = 10.0
# Largest processor time of the router, relative to the bare forwarder.
MAX_REQUEST_RATIO = 1.5
MAX_CHUNK_RATIO = 1.15
# Largest growth while streams are open, relative to the memory they take.
MAX_MEMORY_GROWTH_FRACTION = 0.05
# For each pool, the time between two tokens of its fake upstream in seconds
# and the slots of that upstream.
POOLS = {
    "plain": (0.0, 256),
    "tokens": (0.01, 256),
    "long": (1.0, 8400),
}


@dataclass(slots=True)
class Server:
    """The router, or the bare forwarders of all pools.

    Attributes
    ----------
    name : str
    processes : dict of str to psutil.Process
        Process that serves each pool: one router for all of them, or one
        bare forwarder for each.
    ports : dict of str to int
        Port on which each pool is reached.
    """

    name: str
    processes: dict[str, psutil.Process] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)

    def read_cpu(self, pool: str) -> float:
        """Return the processor time used so far by a pool's process, in s."""
        times = self.processes[pool].cpu_times()
        return float(times.user + times.system)

    def read_memory(self, pool: str) -> int:
        """Return the resident memory of a pool's process in bytes."""
        return int(self.processes[pool].memory_info().rss)


@dataclass(slots=True)
class LoadSpec:
    """Load on one server.

    Attributes
    ----------
    rounds : int
        Number of times that both servers are measured.
    callers : int
        Connections at a time.
    requests : int
        Requests of each caller.
    chunk_counts : (int, int)
        Chunks of a short and of a long stream. The difference between their
        processor times is the cost of chunks without that of the request.
    streams : int
        Streams open at a time when memory is measured; 0 leaves this out.
    hold_s : int
        Time for which they are held open, in seconds.
    """

    rounds: int
    callers: int = 16
    requests: int = 125
    chunk_counts: tuple[int, int] = (10, 210)
    streams: int = 2000
    hold_s: int = 10


def measure_cpu(
    server: Server, pool: str, callers: int, requests: int, request: bytes
) -> tuple[float, list[int]]:
    """Return the processor time in seconds, and events in each response."""
    before = server.read_cpu(pool)
    events = anyio.run(
        run_callers, server.ports[pool], callers, requests, request
    )
    return server.read_cpu(pool) - before, events


def measure_request(server: Server, load: LoadSpec) -> float:
    """Return the processor time of one request, in microseconds."""
    request = build_request("plain", CALLER_KEY_PREFIX + ACCOUNT)
    cpu, events = measure_cpu(
        server, "plain", load.callers, load.requests, request
    )
    return cpu / len(events) * 1e6


def measure_chunk(server: Server, load: LoadSpec) -> float:
    """Return the processor time of one chunk, in microseconds."""
    spent = []
    for chunks in load.chunk_counts:
        request = build_request(
            "tokens",
            CALLER_KEY_PREFIX + ACCOUNT,
            stream=True,
            max_tokens=chunks,
        )
        cpu, events = measure_cpu(server, "tokens", load.callers, 2, request)
        assert events == [chunks + 1] * (load.callers * 2)
        spent.append(cpu)
    short, long = load.chunk_counts
    return (spent[1] - spent[0]) / (load.callers * 2 * (long - short)) * 1e6


def measure_memory(server: Server, load: LoadSpec) -> dict[str, float]:
    """Return resident memory before, while and after streams are open.

    Returns
    -------
    dict of str to float
        Bytes when `idle`, when all streams are `open`, when they were `held`
        for `hold_s` seconds, and when they are `closed`.
    """
    request = build_request(
        "long",
        CALLER_KEY_PREFIX + ACCOUNT,
        stream=True,
        max_tokens=load.hold_s + 5,
    )
    sizes: dict[str, float] = {"idle": server.read_memory("long")}

    async def sample_memory() -> None:
        sizes["open"] = server.read_memory("long")
        await anyio.sleep(load.hold_s)
        sizes["held"] = server.read_memory("long")

    complete = anyio.run(
        hold_streams,
        server.ports["long"],
        load.streams,
        request,
        sample_memory,
    )
    assert complete == load.streams, (
        f"{complete} of {load.streams} streams were complete"
    )
    sizes["closed"] = server.read_memory("long")
    return sizes


def run_rounds(servers: list[Server], load: LoadSpec) -> dict[str, object]:
    """Measure both servers in turn; return their costs and the ratios."""
    costs: dict[str, dict[str, list[float]]] = {
        "request_us": {s.name: [] for s in servers},
        "chunk_us": {s.name: [] for s in servers},
    }
    for server in servers:
        measure_request(server, load)
    for number in range(load.rounds):
        for server in servers if number % 2 else reversed(servers):
            costs["request_us"][server.name].append(
                measure_request(server, load)
            )
            costs["chunk_us"][server.name].append(measure_chunk(server, load))
        row = {
            k: {n: round(v[-1]) for n, v in c.items()}
            for k, c in costs.items()
        }
        click.echo(f"round {number + 1}: {json.dumps(row)}")
    result: dict[str, object] = {}
    for kind, values in costs.items():
        ratios = [
            r / b
            for r, b in zip(values["router"], values["bare"], strict=True)
        ]
        name = kind.removesuffix("_us")
        result[kind] = {
            n: round(statistics.median(v), 1) for n, v in values.items()
        }
        result[f"{name}_ratio"] = round(statistics.median(ratios), 3)
        result[f"{name}_ratio_spread"] = [
            round(min(ratios), 3),
            round(max(ratios), 3),
        ]
    return result


def run_memory(servers: list[Server], load: LoadSpec) -> dict[str, object]:
    """Open many streams twice at each server; return resident memory."""
    result: dict[str, object] = {"streams": load.streams}
    for server in servers:
        first = measure_memory(server, load)
        second = measure_memory(server, load)
        stream_memory = first["open"] - first["idle"]
        growth = max(
            first["held"] - first["open"], second["held"] - first["held"]
        )
        result[server.name] = {
            "first_mb": {k: round(v / 1e6, 1) for k, v in first.items()},
            "second_mb": {k: round(v / 1e6, 1) for k, v in second.items()},
            "kb_per_stream": round(stream_memory / load.streams / 1e3, 1),
            "growth_share": round(growth / stream_memory, 3),
            "flat": growth <= MAX_MEMORY_GROWTH_FRACTION * stream_memory,
        }
        click.echo(f"memory of {server.name}: {result[server.name]}")
    return result


def measure_idle(server: Server, seconds: float) -> float:
    """Return the fraction of a core that a server uses without load."""
    before = server.read_cpu("plain")
    time.sleep(seconds)
    return round((server.read_cpu("plain") - before) / seconds, 4)


def start_bare(fleet: LocalFleet, pool: str, upstream: int) -> int:
    """Start a bare forwarder to an upstream's port; return its own port."""
    port = find_free_port()
    command = [sys.executable, "-m", "benchmarks.bare", f"--port={port}"]
    command.append(f"--upstream=http://127.0.0.1:{upstream}")
    with (fleet.folder / f"bare-{pool}.log").open("ab") as log:
        fleet.processes[f"bare-{pool}"] = subprocess.Popen(
            command, stdout=log, stderr=log
        )
    return port


def wait_until_ready(port: int, pool: str) -> None:
    """Wait until a request through a server succeeds.

    Raises
    ------
    TimeoutError
        When none succeeds within 20 seconds.
    """
    request = build_request(pool, CALLER_KEY_PREFIX + ACCOUNT, max_tokens=0)
    deadline = time.monotonic() + 20
    while True:
        with suppress(ExceptionGroup, OSError, httpcore.NetworkError):
            anyio.run(run_callers, port, 1, 1, request)
            return
        if time.monotonic() > deadline:
            raise TimeoutError(f"no response for pool {pool!r} on port {port}")
        time.sleep(0.2)


def start_servers(fleet: LocalFleet) -> list[Server]:
    """Start a fleet, upstreams, and a bare forwarder for each upstream."""
    fleet.start()
    fleet.configure(fleet.build_document(dict.fromkeys(POOLS, "model")))
    bare, router = Server("bare"), Server("router")
    for pool, (token_s, slots) in POOLS.items():
        upstream = fleet.start_upstream(
            f"{pool}-0", pool, f"--token-s={token_s}", f"--slots={slots}"
        )
        bare.ports[pool] = start_bare(fleet, pool, upstream)
        router.ports[pool] = fleet.router_ports[MEASURED_HOST]
        for server, process in (
            (bare, fleet.processes[f"bare-{pool}"]),
            (router, fleet.processes[f"host-{MEASURED_HOST}"]),
        ):
            server.processes[pool] = psutil.Process(process.pid)
            wait_until_ready(server.ports[pool], pool)
    return [bare, router]


def measure_forwarding(load: LoadSpec) -> dict[str, Any]:
    """Return costs and memory of the router and the bare forwarders.

    Memory isn't measured when the load has no streams.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        LocalFleet(Path(folder)) as fleet,
    ):
        servers = start_servers(fleet)
        result: dict[str, Any] = {
            f"idle_core_share_{server.name}": measure_idle(server, IDLE_SPAN_S)
            for server in servers
        }
        result.update(run_rounds(servers, load))
        if load.streams:
            result["memory"] = run_memory(servers, load)
    return result


@click.command()
@click.option("--rounds", default=5, show_default=True)
@click.option("--streams", default=2000, show_default=True)
def main(rounds: int, streams: int) -> None:
    """Measure the router's data path against a bare forwarder."""
    result = measure_forwarding(LoadSpec(rounds=rounds, streams=streams))
    result["targets"] = {
        "request": MAX_REQUEST_RATIO,
        "chunk": MAX_CHUNK_RATIO,
    }
    click.echo(json.dumps(result))


if __name__ == "__main__":
    main()
