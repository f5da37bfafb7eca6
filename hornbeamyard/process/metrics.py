"""Counters and latency histograms of one process."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric

HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)


class Latency(Enum):
    """Latencies that are recorded for each account and class."""

    QUEUE_WAIT = "queue_wait"
    FIRST_BYTE = "first_byte"
    DURATION = "duration"


class Metrics:
    """Counters and histograms of one process, in its own registry."""

    __slots__ = ("_histograms", "_registry", "requests")

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._histograms: dict[tuple[str, str, Latency], HdrHistogram] = {}
        self.requests = Counter(
            "hornbeamyard_requests",
            "Requests by account, class and outcome",
            ["client_account", "priority", "outcome"],
            registry=self._registry,
        )
        self._registry.register(_Histograms(self._histograms))

    def record(
        self,
        client_account: str,
        priority: bool,
        latency: Latency,
        seconds: float,
    ) -> None:
        """Record one latency in seconds."""
        key = (client_account, _name_class(priority), latency)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, HIGHEST_MS, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        histogram.record_value(min(max(1, int(seconds * 1000)), HIGHEST_MS))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


class _Histograms:
    def __init__(
        self, histograms: dict[tuple[str, str, Latency], HdrHistogram]
    ) -> None:
        self._histograms = histograms

    def collect(self) -> Iterator[Metric]:
        family = GaugeMetricFamily(
            "hornbeamyard_latency_seconds",
            "Quantiles of latencies by account and class",
            labels=["client_account", "priority", "latency", "quantile"],
        )
        for (account, priority, latency), histogram in list(
            self._histograms.items()
        ):
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / 1000
                family.add_metric(
                    [account, priority, latency.value, f"{quantile / 100:g}"],
                    value,
                )
        yield family


def _name_class(priority: bool) -> str:
    return "priority" if priority else "normal"
