"""Measures how the cost of the control plane grows with the fleet.

Runs the real scheduling modules and the codec at several sizes and fits lines
to their memory, messages and processor time. What takes only seconds is also
measured at the target size.
"""

from __future__ import annotations

import json
import multiprocessing
import subprocess
import sys
import tempfile
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import click

from hornbeamyard.tests.fleet import find_free_port

from . import capacity_page
from .claiming import ClaimFleet, measure_table
from .fit import Fit, fit_sweep, measure_bytes
from .forward import LoadSpec, measure_forwarding
from .links import measure_links, measure_streams, serve_echo
from .pools import (
    PoolSize,
    RouterLoad,
    build_accounts,
    measure_name_table,
    measure_router_pool,
    measure_schedule,
    measure_urgent,
)
from .versions import measure_changes, measure_document

TARGET_POOL_SIZE = PoolSize(
    routers=1900, workers=370, slots=119, configured=16000, backlogged=1600
)
TARGET_ROUTER_LOAD = RouterLoad(configured=16000, active=23, workers=370)


@dataclass(slots=True)
class Sweep:
    """Measurements in which one quantity varies.

    Attributes
    ----------
    group : str
        What is measured.
    against : str
        The quantity that varies.
    sizes : sequence of int
    measure : callable
        Returns named figures for a size.
    """

    group: str
    against: str
    sizes: Sequence[int]
    measure: Callable[[int], Mapping[str, float]]


@dataclass(slots=True)
class Results:
    """Figures of one run.

    Attributes
    ----------
    fits : dict of str to Fit
        By `group/against/figure`.
    target : dict of str to float
        Figures measured at the target size, by `group/figure`.
    """

    fits: dict[str, Fit] = field(default_factory=dict)
    target: dict[str, float] = field(default_factory=dict)

    def to_json(self) -> dict[str, object]:
        """Return all figures for the JSON output."""
        return {
            "fits": {n: fit.to_json() for n, fit in self.fits.items()},
            "at_target": {
                n: float(f"{value:.4g}") for n, value in self.target.items()
            },
        }


def measure_pools(count: int) -> dict[str, float]:
    """Return what scheduling of several pools costs one router."""
    rows = [measure_router_pool(RouterLoad(), 3) for _ in range(count)]
    return {name: sum(row[name] for row in rows) for name in rows[0]}


def list_sweeps(address: str, claim_fleet: ClaimFleet) -> list[Sweep]:
    """Return all sweeps.

    Parameters
    ----------
    address : str
        Where `serve_echo` listens.
    claim_fleet : ClaimFleet
        Running controllers.
    """
    return [
        Sweep(
            "schedule",
            "routers",
            (100, 200, 400, 800),
            lambda n: measure_schedule(PoolSize(routers=n)),
        ),
        Sweep(
            "schedule",
            "workers",
            (20, 40, 80, 160),
            lambda n: measure_schedule(PoolSize(workers=n)),
        ),
        Sweep(
            "schedule",
            "backlogged accounts",
            (80, 160, 320, 640, 1280),
            lambda n: measure_schedule(PoolSize(backlogged=n)),
        ),
        Sweep(
            "schedule",
            "configured accounts",
            (2000, 4000, 8000, 16000),
            lambda n: measure_schedule(PoolSize(configured=n)),
        ),
        Sweep("router", "pools", (1, 3, 9, 27), measure_pools),
        Sweep(
            "router",
            "configured accounts",
            (2000, 4000, 8000, 16000),
            lambda n: measure_router_pool(RouterLoad(configured=n)),
        ),
        Sweep(
            "router",
            "active accounts",
            (6, 12, 23, 46, 92),
            lambda n: measure_router_pool(RouterLoad(active=n)),
        ),
        Sweep(
            "router",
            "workers",
            (46, 92, 185, 370),
            lambda n: measure_router_pool(RouterLoad(workers=n)),
        ),
        Sweep("name", "names", (2000, 4000, 8000, 16000), measure_name_table),
        Sweep("urgent", "requests a second", (1, 2, 4, 8), measure_urgent),
        Sweep(
            "link",
            "workers",
            (100, 200, 400, 800, 1600),
            lambda n: measure_links(20, n),
        ),
        Sweep(
            "link",
            "routers",
            (10, 20, 40, 80),
            lambda n: measure_links(n, 200),
        ),
        Sweep(
            "stream",
            "streams",
            (5, 10, 15, 25),
            lambda n: measure_streams(address, n),
        ),
        Sweep(
            "version",
            "accounts",
            (2000, 4000, 8000, 16000),
            lambda n: measure_document(n, 1000),
        ),
        Sweep(
            "version",
            "upstreams",
            (1250, 2500, 5000, 10000),
            lambda n: measure_document(2000, n),
        ),
        Sweep("claim", "claims", (2000, 4000, 8000, 16000), measure_table),
        Sweep("claim", "batch size", (1, 4, 16, 64), claim_fleet.measure),
        Sweep("history", "changes", (100, 200, 400, 800), measure_changes),
    ]


def measure_target() -> dict[str, float]:
    """Return the figures that are measured at the target size.

    They are for one pool and one configuration document.
    """
    target: dict[str, float] = {}
    for group, figures in (
        ("schedule", measure_schedule(TARGET_POOL_SIZE, 1)),
        ("router", measure_router_pool(TARGET_ROUTER_LOAD)),
        ("version", measure_document(16000, 10000)),
    ):
        target.update({f"{group}/{n}": v for n, v in figures.items()})
    build_accounts.cache_clear()
    _, size = measure_bytes(lambda: build_accounts(16000))
    target["router/accounts_bytes"] = size
    for name, module in (
        ("interpreter", "sys"),
        ("forwarder", "benchmarks.bare"),
        ("daemon", "hornbeamyard.process.daemon"),
    ):
        target[f"memory/{name}"] = measure_import_memory(module)
    return target


def measure_import_memory(module: str) -> float:
    """Return the resident memory of a process with a module, in bytes."""
    code = (
        f"import {module}, pathlib, resource; "
        "pages = pathlib.Path('/proc/self/statm').read_text().split()[1]; "
        "print(int(pages) * resource.getpagesize())"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True
    )
    return float(done.stdout)


def run_sweeps(only: str) -> Results:
    """Run all sweeps whose group contains a text."""
    results = Results()
    address = f"127.0.0.1:{find_free_port()}"
    context = multiprocessing.get_context("spawn")
    echo = context.Process(target=serve_echo, args=(address,), daemon=True)
    echo.start()
    try:
        with tempfile.TemporaryDirectory() as folder:
            claim_fleet = ClaimFleet(Path(folder))
            with claim_fleet.fleet:
                claim_fleet.start()
                for sweep in list_sweeps(address, claim_fleet):
                    if only in sweep.group:
                        run_sweep(sweep, results)
    finally:
        echo.kill()
        echo.join()
    return results


def run_sweep(sweep: Sweep, results: Results) -> None:
    """Run one sweep, print its slopes and add them to the results."""
    fits = fit_sweep(sweep.against, sweep.sizes, sweep.measure)
    for name, fit in fits.items():
        key = f"{sweep.group}/{sweep.against}/{name}"
        results.fits[key] = fit
        click.echo(
            f"{key}: {fit.slope:.4g} +- {fit.slope_error:.2g}, "
            f"exponent {fit.exponent:.2f}"
        )


@click.command()
@click.option("--page", type=click.Path(path_type=Path), help="Write a page.")
@click.option(
    "--forward-rounds",
    default=2,
    show_default=True,
    help="Rounds of the data path's measurement; 0 leaves it out.",
)
@click.option("--only", default="", help="Sweeps whose group contains this.")
def main(page: Path | None, forward_rounds: int, only: str) -> None:
    """Measure slopes against routers, workers, accounts, pools, changes."""
    results = run_sweeps(only)
    if not only:
        results.target = measure_target()
    if forward_rounds and not only:
        costs = measure_forwarding(LoadSpec(rounds=forward_rounds, streams=0))
        results.target.update(
            {
                "forward/request_us": costs["request_us"]["router"],
                "forward/chunk_us": costs["chunk_us"]["router"],
                "forward/request_ratio": costs["request_ratio"],
                "forward/chunk_ratio": costs["chunk_ratio"],
            }
        )
    if page is not None:
        kept = page.read_text() if page.exists() else ""
        page.write_text(
            capacity_page.build_page(results.fits, results.target)
            + capacity_page.read_kept_section(kept)
        )
    click.echo(json.dumps(results.to_json()))


if __name__ == "__main__":
    main()
