"""Counters, gauges and latency quantiles of one process.

The libraries are imported when a latency is recorded, a counter is counted up
or the metrics are rendered, because a process is ready without them. Roles
that use them for requests import them at their start.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram
    from prometheus_client.metrics import Counter
    from prometheus_client.metrics_core import (
        CounterMetricFamily,
        GaugeMetricFamily,
        Metric,
    )
    from prometheus_client.registry import CollectorRegistry

MAX_LATENCY_MS = 3_600_000
# Precision of the histograms.
SIGNIFICANT_DIGITS = 2
# In percent.
QUANTILES = (50.0, 95.0, 99.0)
# A histogram takes 16 KiB and an account has six, so 100 accounts take 10 MB
# of the 32 MB that a router may use for control.
MAX_ACCOUNT_LABELS = 100
# Label value under which all values beyond a limit are summed. It can't be an
# account's name, because names start with a letter or digit.
OTHER_VALUES = "_other"
# Values of labels other than the account come from the code, so only a bug
# reaches this limit.
MAX_LABEL_VALUES = 64
# In characters.
MAX_LABEL_LENGTH = 63


class Latency(Enum):
    """Latencies recorded for each account and priority."""

    QUEUE_WAIT = "queue_wait"
    FIRST_BYTE = "first_byte"
    DURATION = "duration"


@dataclass(slots=True, frozen=True)
class Sample:
    """A value that is read when the metrics are rendered.

    Attributes
    ----------
    name : str
        Without the prefix `hornbeamyard_`.
    value : float
    labels : tuple of (str, str)
        Names and values. The number of values of `client_account` is
        limited; samples with equal labels are added up.
    is_counter : bool
        Whether the value only grows; otherwise it is a gauge.
    """

    name: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()
    is_counter: bool = False


Source = Callable[[], Iterable[Sample]]

HELP = {
    "attached": "1 while the stream to the lead controller is open",
    "control_bytes": "Bytes of messages with the lead controller",
    "fallback": "1 while the pool uses its fallback share",
    "lag_seconds": "Normalised service above the lowest account",
    "latency_seconds": "Quantiles of latencies by account and class",
    "lease_seconds": "Time until the allocation ends",
    "pool_running": "Requests that run, by pool",
    "pool_slots_held": "Slots that the router holds, by pool",
    "pool_waiting": "Requests that wait, by pool",
    "refusals": "Requests refused as not run, by account and reason",
    "requests": "Requests by account, class and outcome",
    "requests_blocked": "Requests that are blocked for crashes",
    "retries": "Attempts after the first, by account",
    "running": "Requests that run, by account",
    "upstream_crashes_known": "Crashes of upstreams in the last hour",
    "version_in_force": "Configuration version that the router works by",
    "waiting": "Requests that wait, by account",
}

# Metrics of fleets with a route directory.
DIRECTORY_HELP = {
    "answers": "Routed requests by outcome",
    "controller_state": "State of the controller in the cluster.",
    "controller_fault": "1 while this controller can't use its data folder",
    "controller_files_set_aside": "1 while damaged files are kept",
    "controllers_attached": "Controllers whose stream is open",
    "decisions": "Decisions by kind, those without a log line included",
    "engine_overhead_ms": "Time to the first event without the prefill",
    "engine_prefill_ms_per_token": "Prefill time at the pool's usual speed",
    "evacuated_zones": "Availability zones that get no requests",
    "leads": "1 while this controller leads",
    "load_imbalance": "Highest work ahead over the mean, by pool",
    "load_knowledge_age_seconds": "Age of the fleet's usage, by pool",
    "log_lines_dropped": "Log lines that were left out",
    "prompt_parts_blocked": "Prompt parts that are blocked for crashes",
    "requests_held_by_cold": "Requests that only cold upstreams were left for",
    "requests_in_progress": "Routed requests that run or wait",
    "request_bytes": "Bytes that are held for requests",
    "request_bytes_limit": "Bytes that may be held for requests",
    "request_connections": "Open connections by server",
    "requests_over_limit": "Requests refused by a limit on bodies",
    "routers_attached": "Routers whose stream is open",
    "routing_version": "Routing version in force",
    "share_admitted_tokens": "Tokens admitted, by account",
    "share_asked_tokens": "Tokens asked for, by account",
    "share_factor": "Throughput of the engines, as a multiple",
    "share_level": "Share of an account in tokens a second; 0 without limit",
    "share_unserved_tokens": "Tokens refused for lack of throughput",
    "term": "Term of the log",
    "upstream_connections": "Connections opened to upstreams",
    "upstreams": "Upstreams that announce themselves, by pool",
    "upstreams_cold": "Upstreams that count as cold, by pool",
    "upstreams_evacuated": "Upstreams in evacuated zones, by pool",
}


class AccountLabels:
    """Limits the number of values of the label `client_account`.

    Parameters
    ----------
    limit : int
        Number of accounts with a label value of their own, by first use.
    """

    __slots__ = ("_limit", "_names")

    def __init__(self, limit: int = MAX_ACCOUNT_LABELS) -> None:
        self._limit = limit
        self._names: set[str] = set()

    def limit_value(self, client_account: str) -> str:
        """Return the label value for an account."""
        if client_account in self._names:
            return client_account
        if len(self._names) >= self._limit:
            return OTHER_VALUES
        self._names.add(client_account)
        return client_account


class BoundedCounter:
    """A counter whose labels have a limited number of values.

    Parameters
    ----------
    name : str
        Without the prefix `hornbeamyard_`.
    labels : list of str
        Label names; the first is `client_account`.
    accounts : AccountLabels
    """

    __slots__ = ("_accounts", "_counter", "_name", "_names", "_seen")

    def __init__(
        self,
        name: str,
        labels: list[str],
        accounts: AccountLabels,
    ) -> None:
        self._accounts = accounts
        self._name = name
        self._names = labels
        self._seen: list[set[str]] = [set() for _ in labels]
        self._counter: Counter | None = None

    def get_counter(self) -> Counter:
        """Return the library's counter, built at the first use."""
        if self._counter is None:
            from prometheus_client.metrics import Counter

            self._counter = Counter(
                f"hornbeamyard_{self._name}",
                HELP[self._name],
                self._names,
                registry=None,
            )
        return self._counter

    def labels(self, *values: str, **named: str) -> Counter:
        """Return the counter for label values, in order or by name.

        Values beyond the limits are replaced by `OTHER_VALUES`.
        """
        ordered = list(values)
        ordered += [str(named[name]) for name in self._names[len(values) :]]
        ordered[0] = self._accounts.limit_value(ordered[0])
        for index in range(1, len(ordered)):
            ordered[index] = self._limit_value(index, ordered[index])
        return self.get_counter().labels(*ordered)

    def _limit_value(self, index: int, value: str) -> str:
        value = str(value)[:MAX_LABEL_LENGTH]
        seen = self._seen[index]
        if value not in seen and len(seen) >= MAX_LABEL_VALUES:
            return OTHER_VALUES
        seen.add(value)
        return value


class Metrics:
    """Counters, gauges and histograms of one process.

    Parameters
    ----------
    max_accounts : int, optional
        Number of accounts with a label value of their own; all others are
        summed.

    Attributes
    ----------
    refusals, requests, retries : BoundedCounter
    """

    __slots__ = (
        "_accounts",
        "_histograms",
        "_registry",
        "_sources",
        "refusals",
        "requests",
        "retries",
    )

    def __init__(self, max_accounts: int = MAX_ACCOUNT_LABELS) -> None:
        self._registry: CollectorRegistry | None = None
        self._accounts = AccountLabels(max_accounts)
        self._histograms: dict[tuple[str, str, Latency], HdrHistogram] = {}
        self._sources: list[Source] = []
        self.requests = self._add_counter("requests", "priority", "outcome")
        self.retries = self._add_counter("retries")
        self.refusals = self._add_counter("refusals", "reason")

    def record(
        self,
        client_account: str,
        priority: bool,
        latency: Latency,
        seconds: float,
    ) -> None:
        """Record one latency, given in seconds."""
        account = self._accounts.limit_value(client_account)
        key = (account, _format_priority(priority), latency)
        histogram = self._histograms.get(key)
        if histogram is None:
            from hdrh.histogram import HdrHistogram

            histogram = HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        histogram.record_value(
            min(max(1, int(seconds * 1000)), MAX_LATENCY_MS)
        )

    def limit_account(self, client_account: str) -> str:
        """Return the label value for an account, of a limited number."""
        return self._accounts.limit_value(client_account)

    def add_source(self, source: Source) -> None:
        """Add a function that yields samples whenever metrics are rendered."""
        self._sources.append(source)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client.exposition import generate_latest

        if self._registry is None:
            self._registry = self._build_registry()
        return generate_latest(self._registry)

    def _build_registry(self) -> CollectorRegistry:
        from prometheus_client.metrics import disable_created_metrics
        from prometheus_client.registry import CollectorRegistry

        # Series with creation times would double the number of series.
        disable_created_metrics()  # type: ignore[no-untyped-call]
        registry = CollectorRegistry()
        for counter in (self.requests, self.retries, self.refusals):
            registry.register(counter.get_counter())
        registry.register(self)
        return registry

    def collect(self) -> Iterator[Metric]:
        """Yield the latency quantiles and the samples of all sources."""
        yield self._collect_latencies()
        totals: dict[Sample, float] = {}
        for source in self._sources:
            for sample in source():
                key = self._limit_labels(sample)
                totals[key] = totals.get(key, 0.0) + sample.value
        families: dict[str, GaugeMetricFamily | CounterMetricFamily] = {}
        for key, value in totals.items():
            family = families.get(key.name)
            if family is None:
                family = families[key.name] = _build_family(key)
            family.add_metric([text for _, text in key.labels], value)
        yield from families.values()

    def _add_counter(self, name: str, *labels: str) -> BoundedCounter:
        return BoundedCounter(
            name,
            ["client_account", *labels],
            self._accounts,
        )

    def _limit_labels(self, sample: Sample) -> Sample:
        labels = tuple(
            (name, self._accounts.limit_value(value))
            if name == "client_account"
            else (name, value)
            for name, value in sample.labels
        )
        return Sample(sample.name, 0.0, labels, sample.is_counter)

    def _collect_latencies(self) -> Metric:
        from prometheus_client.metrics_core import GaugeMetricFamily

        family = GaugeMetricFamily(
            "hornbeamyard_latency_seconds",
            HELP["latency_seconds"],
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
        return family


def _build_family(
    sample: Sample,
) -> GaugeMetricFamily | CounterMetricFamily:
    from prometheus_client.metrics_core import (
        CounterMetricFamily,
        GaugeMetricFamily,
    )

    kind = CounterMetricFamily if sample.is_counter else GaugeMetricFamily
    return kind(
        f"hornbeamyard_{sample.name}",
        (HELP | DIRECTORY_HELP)[sample.name],
        labels=[name for name, _ in sample.labels],
    )


def _format_priority(priority: bool) -> str:
    return "priority" if priority else "normal"
