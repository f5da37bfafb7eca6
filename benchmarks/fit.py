"""Measurements at several sizes and lines fitted to them."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass
from typing import Any

import numpy as np

MIN_SIZES = 4


@dataclass(slots=True)
class Fit:
    """A line through measured values.

    Attributes
    ----------
    against : str
        Name of the quantity that was varied.
    sizes, values : list of float
    slope, slope_error : float
        Change of the value per unit of size, and its standard error.
    intercept, intercept_error : float
        Value of the line at size 0, and its standard error.
    exponent : float
        Slope of the line fitted to the logarithms of values and sizes: 1
        for proportional values, 0 for constant ones.
    """

    against: str
    sizes: list[float]
    values: list[float]
    slope: float
    slope_error: float
    intercept: float
    intercept_error: float
    exponent: float

    def predict(self, size: float) -> tuple[float, float]:
        """Return the value of the line at a size, and its standard error."""
        value = self.intercept + self.slope * size
        spread = np.hypot(self.intercept_error, self.slope_error * size)
        return value, float(spread)

    def to_json(self) -> dict[str, Any]:
        """Return all fields, numbers rounded to four significant digits."""
        return {
            key: _round(value) if not isinstance(value, str) else value
            for key, value in asdict(self).items()
        }


def fit_line(
    against: str, sizes: Sequence[float], values: Sequence[float]
) -> Fit:
    """Fit a line by least squares.

    Raises
    ------
    ValueError
        When there are fewer than four sizes.
    """
    if len(sizes) < MIN_SIZES:
        raise ValueError(
            f"at least {MIN_SIZES} sizes are needed, got {len(sizes)}"
        )
    x = np.asarray(sizes, dtype=float)
    y = np.asarray(values, dtype=float)
    (slope, intercept), covariance = np.polyfit(x, y, 1, cov=True)
    slope_error, intercept_error = np.sqrt(np.diag(covariance))
    positive = np.maximum(y, 1e-12)
    exponent = np.polyfit(np.log(x), np.log(positive), 1)[0]
    return Fit(
        against,
        x.tolist(),
        y.tolist(),
        float(slope),
        float(slope_error),
        float(intercept),
        float(intercept_error),
        float(exponent),
    )


def fit_sweep(
    against: str,
    sizes: Sequence[int],
    measure: Callable[[int], Mapping[str, float]],
) -> dict[str, Fit]:
    """Measure at each size and fit a line to each figure of `measure`."""
    rows = [measure(size) for size in sizes]
    return {
        name: fit_line(against, sizes, [row[name] for row in rows])
        for name in rows[0]
    }


def time_cpu(run: Callable[[], object], repeats: int = 3) -> float:
    """Return the smallest processor time of several runs, in seconds.

    Other programs that share the processor and its caches can only add to
    the time of a run.
    """
    spent = []
    for _ in range(repeats):
        start = time.process_time()
        run()
        spent.append(time.process_time() - start)
    return min(spent)


def measure_bytes(build: Callable[[], object]) -> tuple[object, float]:
    """Return the result of `build` and the bytes that stay allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return built, float(after - before)


def _round(value: Any) -> Any:
    if isinstance(value, list):
        return [_round(entry) for entry in value]
    return float(f"{value:.4g}")
