"""Measures fair dispatch of real processes on loopback.

Run with `python -m benchmarks.fleet`. It shows that the processes behave like
the simulated fleet. From outside a process, control traffic and its processor
time can't be separated from the data path, so the keys for them are null
here; `benchmarks.fairness` measures them.
"""

from __future__ import annotations

import argparse
import json
import random
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpcore
import numpy as np

from hornbeamyard.tests.fleet import CALLER_KEY_PREFIX, LocalFleet

POOL = "assistant"
ROUTERS = 9
WORKERS = 9
SLOTS = 8
ACCOUNTS = tuple(f"account-{number:02}" for number in range(8))
# Time between two tokens of an upstream.
TOKEN_INTERVAL_S = 0.05
WARM_UP_S = 5.0


@dataclass
class Measurements:
    """Results of all callers.

    Attributes
    ----------
    service_s : Counter of str
        Service received between `begins` and `ends`, by account.
    waits : list of float
        Waiting times of priority requests in seconds.
    failures : Counter of str
        Failed requests by HTTP status, or `connection`.
    max_cost_s : float
        Largest cost of a request in seconds.
    begins, ends : float
        Monotonic time of the measured span, in seconds.
    """

    service_s: Counter[str] = field(default_factory=Counter)
    waits: list[float] = field(default_factory=list)
    failures: Counter[str] = field(default_factory=Counter)
    max_cost_s: float = 0.0
    begins: float = 0.0
    ends: float = 0.0


def build_document(fleet: LocalFleet) -> dict[str, object]:
    """Return a configuration in which two accounts have larger shares."""
    document = fleet.build_document({POOL: "model"})
    for number, account in enumerate(ACCOUNTS):
        document["client_accounts"][account]["share"] = get_share(number)
    return document


def get_share(number: int) -> int:
    """Return the share of `ACCOUNTS[number]`."""
    return 4 if number < 2 else 1


async def run_caller(
    ports: list[int],
    account: str,
    priority: bool,
    measured: Measurements,
) -> None:
    """Send an account's requests one after the other until `ends`."""
    rng = random.Random(f"{account}-{priority}-{id(measured)}")
    main_router = ACCOUNTS.index(account) % len(ports)
    headers = {
        "authorization": f"Bearer {CALLER_KEY_PREFIX}{account}",
        "hornbeamyard-priority": "priority" if priority else "normal",
    }
    # A pool shared by all callers would search all their connections for
    # each request.
    pool = httpcore.AsyncConnectionPool()
    while time.monotonic() < measured.ends:
        tokens = 4 if priority else rng.choice([4, 8, 16, 40])
        # Most requests of an account go to two routers.
        port = ports[
            (main_router + rng.choice([0, 0, 0, 1, 1, 2])) % len(ports)
        ]
        started = time.monotonic()
        body = {"model": POOL, "max_tokens": tokens}
        try:
            response = await pool.request(
                "POST",
                f"http://127.0.0.1:{port}/v1/chat/completions",
                headers=headers,
                content=json.dumps(body).encode(),
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            measured.failures["connection"] += 1
            await anyio.sleep(0.2)
            continue
        ended = time.monotonic()
        cost = tokens * TOKEN_INTERVAL_S
        if response.status != 200:
            measured.failures[str(response.status)] += 1
            await anyio.sleep(0.2)
        elif measured.begins <= ended <= measured.ends:
            measured.service_s[account] += cost
            measured.max_cost_s = max(measured.max_cost_s, cost)
            if priority:
                measured.waits.append(ended - started - cost)
        if priority:
            await anyio.sleep(0.5)
    await pool.aclose()


async def run_load(fleet: LocalFleet, span_s: float) -> Measurements:
    """Run all callers and return their results."""
    measured = Measurements()
    measured.begins = time.monotonic() + WARM_UP_S
    measured.ends = measured.begins + span_s
    ports = fleet.router_ports
    async with anyio.create_task_group() as tasks:
        for account in ACCOUNTS:
            # About twice the account's slots, so that requests always wait.
            share = get_share(ACCOUNTS.index(account))
            for _ in range(share * 10 + 6):
                tasks.start_soon(run_caller, ports, account, False, measured)
        for account in ACCOUNTS[1:4]:
            tasks.start_soon(run_caller, ports, account, True, measured)
    return measured


def summarize(measured: Measurements) -> dict[str, object]:
    """Return the figures of a run."""
    span_s = measured.ends - measured.begins
    shares = [get_share(number) for number in range(len(ACCOUNTS))]
    service = [
        measured.service_s[account] / share
        for account, share in zip(ACCOUNTS, shares, strict=True)
    ]
    slots = WORKERS * SLOTS
    bound = 2 * measured.max_cost_s / min(shares) + slots / sum(shares)
    p99 = float(np.percentile(measured.waits, 99)) if measured.waits else None
    return {
        "gap_ratio": round((max(service) - min(service)) / bound, 3),
        "utilisation": round(
            sum(measured.service_s.values()) / (slots * span_s), 3
        ),
        "control_bytes_per_node_s": None,
        "control_cpu_share": None,
        "priority_wait_p99_s": None if p99 is None else round(p99, 3),
        "gained_s": [round(value, 1) for value in service],
        "failures": dict(measured.failures),
    }


def main() -> None:
    """Start the processes, run the load and print the figures as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--span-s", type=float, default=15.0)
    parser.add_argument("--controllers", type=int, default=1)
    parser.add_argument(
        "--folder", type=Path, help="folder in which logs are kept"
    )
    arguments = parser.parse_args()
    with (
        tempfile.TemporaryDirectory() as folder,
        LocalFleet(
            arguments.folder or Path(folder),
            routers=ROUTERS,
            controllers=arguments.controllers,
            accounts=ACCOUNTS,
        ) as fleet,
    ):
        fleet.start()
        fleet.configure(build_document(fleet))
        upstream_ports = [
            fleet.start_upstream(
                f"{POOL}-{number}", POOL, f"--token-s={TOKEN_INTERVAL_S}"
            )
            for number in range(WORKERS)
        ]
        time.sleep(3.0)
        measured = anyio.run(run_load, fleet, arguments.span_s)
        figures = summarize(measured)
        most_running = []
        for port in upstream_ports:
            url = f"http://127.0.0.1:{port}/journal"
            journal = json.loads(httpcore.request("GET", url).content)
            most_running.append(journal["most_running"])
    figures["most_running"] = max(most_running)
    print(json.dumps({"loopback": figures}))


if __name__ == "__main__":
    main()
