"""Measures fair dispatch in a simulated fleet.

Run with `python -m benchmarks.fairness`.
"""

from __future__ import annotations

import argparse
import json
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from .run import Result, run_scenario
from .scenarios import list_scenarios

# Scenarios that are also run under the baselines. The scenarios with faults
# are not, because they differ from these in their faults only.
BASELINE_SCENARIOS = (
    "quetzaltenango-long",
    "quetzaltenango-20ms",
    "quetzaltenango-flood",
    "millisafn-long",
)
BASELINES = ("local", "fcfs", "ideal")
# Figures in the JSON output.
KEYS = (
    "gap_ratio",
    "utilisation",
    "control_bytes_per_node_s",
    "control_cpu_share",
    "priority_wait_p99_s",
)
EXTRA_KEYS = (
    "gap_s",
    "engine_utilisation",
    "request_cpu_us",
    "plan_ms",
    "messages_per_router_s",
    "finished",
    "overload",
    "late_arrivals",
)


def run_job(job: tuple[str, str, int]) -> Result:
    """Run one scenario, given its name, policy and seed."""
    name, policy, seed = job
    scenario = next(s for s in list_scenarios() if s.name == name)
    return run_scenario(scenario, policy, seed)


def print_table(results: list[Result]) -> None:
    """Print one line for each run."""
    print(
        f"{'scenario':28}{'policy':7}{'ratio':>7}{'gap s':>8}{'util':>7}"
        f"{'engine':>7}{'B/s':>8}{'cpu':>8}{'prio s':>8}{'plan ms':>8}"
        f"{'msg/s':>7}{'req us':>7}{'over':>5}{'late':>5}{'done':>8}"
    )
    for r in results:
        print(
            f"{r.scenario:28}{r.policy:7}{r.gap_ratio:7.3f}{r.gap_s:8.2f}"
            f"{r.utilisation:7.3f}{r.engine_utilisation:7.3f}"
            f"{r.control_bytes_per_node_s:8.0f}{r.control_cpu_share:8.4f}"
            f"{r.priority_wait_p99_s:8.3f}{r.plan_ms:8.2f}"
            f"{r.messages_per_router_s:7.1f}{r.request_cpu_us:7.0f}"
            f"{r.overload:5}{r.late_arrivals:5}{r.finished:8}"
        )


def draw_plot(results: list[Result], path: Path) -> None:
    """Plot each account's service per unit of share over time."""
    import matplotlib as mpl

    mpl.use("Agg")
    import matplotlib.pyplot as plt
    import numpy as np

    wanted = [r for r in results if r.scenario == BASELINE_SCENARIOS[0]]
    figure, axes = plt.subplots(
        1, len(wanted), figsize=(4 * len(wanted), 3.5), sharex=True
    )
    for axis, result in zip(np.atleast_1d(axes), wanted, strict=True):
        service = np.array(result.service_samples)
        axis.plot(np.arange(len(service)), service - service.mean(1)[:, None])
        axis.set_title(f"{result.policy}: {result.gap_s:.0f} s")
        axis.set_xlabel("time (s)")
    np.atleast_1d(axes)[0].set_ylabel("service / share, less the mean (s)")
    figure.suptitle(BASELINE_SCENARIOS[0])
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def main() -> None:
    """Run the scenarios; print a table and JSON, and write a plot."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--scenario", action="append", default=[])
    parser.add_argument("--no-baselines", action="store_true")
    parser.add_argument("--plot", type=Path)
    arguments = parser.parse_args()
    names = [
        scenario.name
        for scenario in list_scenarios()
        if not arguments.scenario or scenario.name in arguments.scenario
    ]
    jobs = [(name, "fleet", arguments.seed) for name in names]
    if not arguments.no_baselines:
        jobs += [
            (name, policy, arguments.seed)
            for name in names
            if name in BASELINE_SCENARIOS
            for policy in BASELINES
        ]
    with ProcessPoolExecutor(arguments.processes) as pool:
        results = list(pool.map(run_job, jobs))
    results.sort(key=lambda r: names.index(r.scenario))
    print_table(results)
    if arguments.plot is not None:
        draw_plot(results, arguments.plot)
    document = {}
    for result in results:
        key = result.scenario
        if result.policy != "fleet":
            key += f"/{result.policy}"
        figures = {k: getattr(result, k) for k in (*KEYS, *EXTRA_KEYS)}
        document[key] = {
            k: round(v, 5) if isinstance(v, float) else v
            for k, v in figures.items()
        }
    print(json.dumps(document))


if __name__ == "__main__":
    main()
