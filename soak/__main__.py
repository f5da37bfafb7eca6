"""Command line of the soak."""

from __future__ import annotations

import random
import shutil
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import click

from .regressions import REGRESSIONS
from .run import Result, run_seed

# How long faults are injected in each run.
DEFAULT_SECONDS = 15.0


def _run(seed: int, seconds: float, keep: Path | None) -> Result:
    """Run a seed in a temporary folder; copy that to `keep` if it fails."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    try:
        result = run_seed(seed, seconds, folder)
    except Exception as error:
        result = Result(seed, violations=[f"the run failed: {error!r}"])
    if result.violations and keep is not None:
        shutil.copytree(folder, keep / str(seed), dirs_exist_ok=True)
    shutil.rmtree(folder, ignore_errors=True)
    return result


@click.command()
@click.option(
    "--seed", "first", type=int, help="First seed; random by default."
)
@click.option("--seeds", default=1, show_default=True)
@click.option(
    "--regressions", is_flag=True, help="Run the seeds of known failures."
)
@click.option("--seconds", default=DEFAULT_SECONDS, show_default=True)
@click.option("--jobs", default=1, show_default=True)
@click.option(
    "--keep",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder for the files of seeds that fail.",
)
def main(
    first: int | None,
    seeds: int,
    regressions: bool,
    seconds: float,
    jobs: int,
    keep: Path | None,
) -> None:
    """Run seeds and print the result of each as a line of JSON."""
    if first is None:
        first = random.SystemRandom().randrange(10**9)
    chosen = list(range(first, first + seeds))
    if regressions:
        chosen = list(REGRESSIONS)
    failed = 0
    with ProcessPoolExecutor(jobs) as pool:
        futures = [pool.submit(_run, seed, seconds, keep) for seed in chosen]
        for future in as_completed(futures):
            result = future.result()
            failed += bool(result.violations)
            click.echo(result.to_json())
    click.echo(f"{failed} of {len(chosen)} seeds failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
