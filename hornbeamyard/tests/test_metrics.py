"""Counters, gauges and latency quantiles."""

from __future__ import annotations

import io
import re

import pytest
from prometheus_client.parser import text_string_to_metric_families

from hornbeamyard.connection.session import Session
from hornbeamyard.pool.backlog import Ticket
from hornbeamyard.process import metrics as module
from hornbeamyard.process.decisions import DecisionLog
from hornbeamyard.process.directory_router import DirectoryRouter
from hornbeamyard.process.interface import Interface
from hornbeamyard.process.logs import LineWriter
from hornbeamyard.process.metrics import (
    OTHER_VALUES,
    Latency,
    Metrics,
    Sample,
)
from hornbeamyard.process.router import Router
from hornbeamyard.process.settings import (
    DirectorySettings,
    RouterSettings,
    Settings,
)
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.request.headers import NATIVE_HEADER_NAMES, HeaderCodec


def read(metrics: Metrics) -> dict[str, dict[tuple[str, ...], float]]:
    """Return the values of all samples by name and label values.

    Label values are ordered by label name.
    """
    found: dict[str, dict[tuple[str, ...], float]] = {}
    text = metrics.render().decode()
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = tuple(sample.labels.values())
            found.setdefault(sample.name, {})[labels] = sample.value
    return found


class TestLabels:
    """The number of series is limited."""

    @pytest.mark.requirement("R19")
    def test_sums_further_accounts(self) -> None:
        """Guards against memory that grows with the number of accounts."""
        metrics = Metrics(max_accounts=2)
        for number in range(5):
            name = f"account-{number}"
            metrics.requests.labels(name, "normal", "answered").inc()
            metrics.record(name, False, Latency.DURATION, 0.1)
        metrics.add_source(
            lambda: [
                Sample("waiting", n, (("client_account", f"account-{n}"),))
                for n in range(5)
            ]
        )
        found = read(metrics)
        assert found["hornbeamyard_requests_total"] == {
            ("account-0", "answered", "normal"): 1,
            ("account-1", "answered", "normal"): 1,
            (OTHER_VALUES, "answered", "normal"): 3,
        }
        assert found["hornbeamyard_waiting"] == {
            ("account-0",): 0,
            ("account-1",): 1,
            (OTHER_VALUES,): 2 + 3 + 4,
        }
        durations = found["hornbeamyard_latency_seconds"]
        assert {labels[0] for labels in durations} == {
            "account-0",
            "account-1",
            OTHER_VALUES,
        }

    def test_bounds_other_labels(self) -> None:
        """Guards against an unlimited number or length of label values."""
        metrics = Metrics()
        for number in range(module.MAX_LABEL_VALUES + 9):
            metrics.refusals.labels(
                client_account="hotel", reason=f"{number} " * 99
            ).inc()
        series = read(metrics)["hornbeamyard_refusals_total"]
        assert len(series) == module.MAX_LABEL_VALUES + 1
        assert series["hotel", OTHER_VALUES] == 9
        assert all(len(reason) <= 63 for _, reason in series)


class TestLatencies:
    """Quantiles for each account and priority."""

    def test_quantiles(self) -> None:
        """Guards against quantiles of the wrong priority or unit."""
        metrics = Metrics()
        for number in range(1, 101):
            metrics.record("hotel", True, Latency.QUEUE_WAIT, number / 100)
        metrics.record("hotel", False, Latency.QUEUE_WAIT, 1e9)
        found = read(metrics)["hornbeamyard_latency_seconds"]
        for quantile in (0.5, 0.95, 0.99):
            key = ("hotel", "queue_wait", "priority", f"{quantile:g}")
            assert found[key] == pytest.approx(quantile, rel=0.02)
        worst = found["hotel", "queue_wait", "normal", "0.5"]
        assert worst == pytest.approx(3600, rel=0.02)


class TestRouter:
    """Metrics of a router."""

    def test_exports_all_metrics(self) -> None:
        """Guards against a documented metric that a router doesn't export."""
        settings = Settings(
            fleet="test",
            host="a",
            availability_zone="centro",
            controllers={"a": "127.0.0.1:1"},
            router=RouterSettings("127.0.0.1:2"),
        )
        router = Router(settings, VirtualTimers())
        admission = router.find_admission("visitor-assistant")
        admission.dispatch.set_shares({"idle": 1, "hotel": 1}, 0.0)
        admission.dispatch.submit(Ticket("hotel"), 0.0)
        router.metrics.requests.labels("hotel", "normal", "answered").inc()
        router.metrics.retries.labels("hotel").inc()
        router.metrics.refusals.labels("hotel", "queue full").inc()
        router.metrics.record("hotel", False, Latency.DURATION, 1)
        assert isinstance(router.session, Session)
        found = read(router.metrics)
        assert found["hornbeamyard_fallback"] == {("visitor-assistant",): 0}
        assert found["hornbeamyard_version_in_force"] == {(): 0}
        assert found["hornbeamyard_lease_seconds"] == {(): 0}
        assert found["hornbeamyard_control_bytes_total"] == {
            ("sent",): 0,
            ("received",): 0,
        }
        names = {re.sub("^hornbeamyard_|_total$", "", name) for name in found}
        assert names == set(module.HELP)


class TestDirectoryRouter:
    """Metrics of a router in a fleet with a route directory."""

    def test_exports_all_samples(self) -> None:
        """Guards against one unknown name that fails the whole page."""
        settings = Settings(
            fleet="test",
            host="a",
            availability_zone="centro",
            controllers={},
            router=RouterSettings("127.0.0.1:2"),
            directory=DirectorySettings(["127.0.0.1:1"], tolerated_hosts=1),
        )
        timers = VirtualTimers()
        router = DirectoryRouter(
            settings,
            timers,
            Interface(HeaderCodec(NATIVE_HEADER_NAMES)),
            DecisionLog(timers, "a", LineWriter(io.StringIO())),
        )
        found = read(router.metrics)
        assert found["hornbeamyard_upstream_crashes_known"] == {(): 0}
        assert found["hornbeamyard_controllers_attached"] == {(): 0}
