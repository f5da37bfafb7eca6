"""Injects faults at all stages of a request and counts violations."""

from __future__ import annotations

import json
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import anyio
import click

from hornbeamyard.tests.fault_matrix import (
    Case,
    Violations,
    list_cases,
    run_case,
)
from hornbeamyard.tests.fleet import LocalFleet
from hornbeamyard.tests.scenarios import FAULTS, run_fleet, run_scenario

PLANNED_STOP = "router stopped"


@dataclass(slots=True)
class Totals:
    """Sums over all runs, with the keys of the JSON output."""

    cases: int = 0
    runs: int = 0
    double_runs: int = 0
    false_not_run: int = 0
    wrong_answers: int = 0
    cut_requests_on_planned_stop: int = 0
    drain_s_max: float = 0.0

    def add(self, violations: Violations) -> None:
        """Add the violations of one run."""
        self.runs += 1
        self.double_runs += len(violations.double_runs)
        self.false_not_run += len(violations.false_not_run)
        self.wrong_answers += len(violations.wrong_answers)

    def is_clean(self) -> bool:
        """Return whether no violation was counted."""
        return not (
            self.double_runs
            or self.false_not_run
            or self.wrong_answers
            or self.cut_requests_on_planned_stop
        )


def _run_case(case: Case, seed: int) -> Violations:
    violations = Violations()
    anyio.run(run_case, case, seed, violations)
    return violations


def _run_cases(totals: Totals, seeds: int, jobs: int) -> None:
    cases = list(list_cases())
    totals.cases += len(cases)
    with ProcessPoolExecutor(jobs) as pool:
        pending = [
            (case, seed, pool.submit(_run_case, case, seed))
            for seed in range(seeds)
            for case in cases
        ]
        for case, seed, future in pending:
            violations = future.result()
            totals.add(violations)
            for violation in violations.list_all():
                click.echo(f"{case}, seed {seed}: violation: {violation}")


def _run_scenarios(totals: Totals, seeds: int) -> None:
    totals.cases += len(FAULTS)
    for seed in range(seeds):
        with (
            tempfile.TemporaryDirectory() as folder,
            run_fleet(Path(folder)) as fleet,
        ):
            for fault in FAULTS:
                _run_fault(totals, fleet, fault, seed)


def _run_fault(
    totals: Totals, fleet: LocalFleet, fault: str, seed: int
) -> None:
    result = run_scenario(fleet, fault, seed)
    totals.add(result.violations)
    outcomes = dict(result.callers.count_outcomes())
    click.echo(f"{fault}, seed {seed}: {json.dumps(outcomes)}")
    for violation in result.violations.list_all():
        click.echo(f"{fault}, seed {seed}: violation: {violation}")
    if fault == PLANNED_STOP:
        cut = result.callers.count_incomplete()
        totals.cut_requests_on_planned_stop += cut
        longest = max(result.drains_s)
        totals.drain_s_max = max(totals.drain_s_max, longest)


@click.command()
@click.option("--seeds", default=3, show_default=True)
@click.option("--process-seeds", default=1, show_default=True)
@click.option("--jobs", default=2, show_default=True)
def main(seeds: int, process_seeds: int, jobs: int) -> None:
    """Run all cases with each seed, and faults of whole processes."""
    totals = Totals()
    _run_cases(totals, seeds, jobs)
    _run_scenarios(totals, process_seeds)
    totals.drain_s_max = round(totals.drain_s_max, 2)
    keys = Totals.__slots__  # type: ignore[attr-defined]
    click.echo(json.dumps({key: getattr(totals, key) for key in keys}))
    sys.exit(0 if totals.is_clean() else 1)


if __name__ == "__main__":
    main()
