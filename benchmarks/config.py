"""Measures the configuration and the log of the controllers.

Violations are counted in simulations of real modules on virtual time, one for
each seed. The other figures come from real processes on loopback. Connections
to controllers go through a relay that counts bytes.
"""

from __future__ import annotations

import json
import statistics
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
import logbook

from hornbeamyard.tests.fleet import LocalFleet
from hornbeamyard.tests.test_failover import ControllerClient
from properties.cluster import run_seed

from .relay import CountingRelay

# Worker processes for the simulations.
PROCESSES = 4
# Numbers of controllers, taken in turn by the seeds.
CLUSTER_SIZES = (3, 5)
PROPAGATION_PATCHES = 40
# Time for which control traffic without load is measured.
IDLE_SPAN_S = 10.0


def check_seed(seed: int) -> str:
    """Run the simulation of a seed; return its violation, or an empty text."""
    with logbook.NullHandler().applicationbound():
        try:
            run_seed(seed, CLUSTER_SIZES[seed % len(CLUSTER_SIZES)])
        except BaseExceptionGroup as group:
            return f"seed {seed}: {_find_cause(group)!r}"
    return ""


def _find_cause(error: BaseException) -> BaseException:
    """Return the first exception in nested groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def count_violations(seeds: int) -> int:
    """Run seeds 0 to `seeds` - 1; print and count their violations."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        violations = [
            text for text in pool.map(check_seed, range(seeds)) if text
        ]
    for text in violations:
        click.echo(text)
    return len(violations)


def measure_propagation(client: ControllerClient, leader: int) -> list[float]:
    """Return the time in s until each patch is in force on all routers."""
    fleet = client.fleet
    names = [f"host-{number}" for number in range(fleet.routers)]
    times = []
    for version in range(1, PROPAGATION_PATCHES + 1):
        started = time.monotonic()
        client.submit_patch(leader, version - 1)
        text = f"version {version} is in force"
        while not all(text in fleet.read_log(name) for name in names):
            if time.monotonic() - started > 20:
                raise TimeoutError(
                    f"{text!r} isn't in the log of every router"
                )
            time.sleep(0.002)
        times.append(time.monotonic() - started)
    return times


def measure_traffic(fleet: LocalFleet, relay: CountingRelay) -> float:
    """Return the control traffic of an idle fleet, in B/s per router."""
    before = relay.count
    started = time.monotonic()
    time.sleep(IDLE_SPAN_S)
    sent = relay.count - before
    return sent / (time.monotonic() - started) / fleet.routers


def measure_fleet(folder: Path) -> dict[str, float]:
    """Measure a fleet of 9 routers and 3 controllers."""
    with (
        LocalFleet(folder, routers=9, controllers=3) as fleet,
        CountingRelay(fleet.controller_ports) as relay,
    ):
        fleet.relay_ports = relay.relay_ports
        fleet.write_settings()
        fleet.start()
        client = ControllerClient(fleet)
        leader = client.find_leader()
        client.wait_for_voters(leader, 3)
        times = sorted(measure_propagation(client, leader))
        traffic = measure_traffic(fleet, relay)
        commits = client.submit_patches(leader, PROPAGATION_PATCHES, 100)
    return {
        "propagate_p99_s": times[min(len(times) - 1, len(times) * 99 // 100)],
        "commit_p50_ms": statistics.median(commits) * 1000,
        "bytes_per_node_s": traffic,
    }


def measure_restart(folder: Path) -> float:
    """Return the time from a controller's start to its first read, in s.

    The log holds about 1,000 patches, and its newest snapshot contains almost
    none of them or almost all. The longer time of both cases is returned.
    """
    slowest = 0.0
    for patches in (990, 1010):
        subfolder = folder / str(patches)
        subfolder.mkdir()
        with LocalFleet(subfolder, routers=1) as fleet:
            fleet.start()
            client = ControllerClient(fleet)
            client.submit_patches(client.find_leader(), 0, patches)
            fleet.kill("host-0")
            started = time.monotonic()
            fleet.start_host(0)
            client.find_leader()
            slowest = max(slowest, time.monotonic() - started)
    return slowest


@click.command()
@click.option("--seeds", type=click.IntRange(1, 100_000), default=300)
def main(seeds: int) -> None:
    """Run the seeds and the measurements."""
    started = time.monotonic()
    violations = count_violations(seeds)
    click.echo(f"{seeds} seeds in {time.monotonic() - started:.0f} s")
    with tempfile.TemporaryDirectory() as folder:
        restart_s = measure_restart(Path(folder))
    with tempfile.TemporaryDirectory() as folder:
        figures = measure_fleet(Path(folder))
    click.echo(
        json.dumps(
            {
                "seeds": seeds,
                "violations": violations,
                "restart_s_after_1000": round(restart_s, 3),
                **{key: round(value, 4) for key, value in figures.items()},
            }
        )
    )


if __name__ == "__main__":
    main()
