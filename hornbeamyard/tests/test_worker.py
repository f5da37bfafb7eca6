"""Tests of the registry of workers and the choice of a worker."""

from __future__ import annotations

import pytest

from hornbeamyard.pool import worker as module
from hornbeamyard.pool.worker import Worker, WorkerChoice, WorkerRegistry


def build_worker(name: str, zone: str = "centro", **fields: object) -> Worker:
    """Return a worker of the pool."""
    worker = Worker(name, "http://10.0.0.1:1", zone, "assistant", 8)
    for key, value in fields.items():
        setattr(worker, key, value)
    return worker


class TestRegistry:
    """Workers are known by announcements, leases and probes."""

    @pytest.mark.requirement("R6")
    def test_leaving_is_final(self) -> None:
        """Guards against a late announcement that reopens a leaving worker."""
        registry = WorkerRegistry()
        registry.announce(build_worker("w", leaving=True, announced_at=1.0))
        registry.announce(build_worker("w", announced_at=2.0))
        known = registry.get("w")
        assert known is not None
        assert known.leaving
        registry.announce(build_worker("w", incarnation=1, announced_at=3.0))
        known = registry.get("w")
        assert known is not None
        assert not known.leaving

    def test_ignores_older_announcement(self) -> None:
        """Guards against announcements that arrive out of order."""
        registry = WorkerRegistry()
        registry.announce(build_worker("w", slots=4, announced_at=2.0))
        assert not registry.announce(build_worker("w", announced_at=1.0))
        known = registry.get("w")
        assert known is not None
        assert known.slots == 4

    @pytest.mark.requirement("R6", fault="partition")
    def test_ready_only_after_recent_answer(self) -> None:
        """Guards against requests to a worker that left in a partition."""
        registry = WorkerRegistry()
        registry.announce(build_worker("w"))
        assert not registry.is_ready("w", 0.0)
        registry.record_probe("w", True, 1.0)
        assert registry.is_ready("w", 3.9)
        assert not registry.is_ready("w", 4.0)
        registry.record_probe("w", True, 4.0)
        registry.record_probe("w", False, 5.0)
        assert not registry.is_ready("w", 5.0)

    @pytest.mark.requirement("R9", fault="partition")
    def test_keeps_worker_that_answers(self) -> None:
        """Guards against unused workers when no announcement arrives."""
        registry = WorkerRegistry()
        registry.announce(build_worker("w", announced_at=0.0))
        registry.record_probe("w", True, 9.0)
        assert registry.expire(10.0) == []
        assert [w.name for w in registry.expire(20.0)] == ["w"]


class TestChoice:
    """Workers are chosen by failures, zone, cached prefix and used slots."""

    @pytest.mark.parametrize(
        ("candidates", "expected"),
        [
            ([("a", "terminal", 0.0), ("b", "centro", 0.9)], "b"),
            ([("a", "centro", 0.5), ("b", "centro", 0.2)], "b"),
            ([], None),
        ],
    )
    def test_order(
        self, candidates: list[tuple[str, str, float]], expected: str | None
    ) -> None:
        """Guards against needless traffic between zones, and uneven load."""
        choice = WorkerChoice("centro")
        workers = [
            (build_worker(n, zone), used) for n, zone, used in candidates
        ]
        assert choice.choose(workers, set(), 0, 0.0) == expected

    def test_prefers_cached_prefix(self) -> None:
        """Guards against prompts prefilled again on another engine."""
        choice = WorkerChoice("centro")
        choice.record_success("b", prefix=7)
        workers = [(build_worker("a"), 0.1), (build_worker("b"), 0.5)]
        assert choice.choose(workers, set(), 7, 0.0) == "b"
        assert choice.choose(workers, set(), 8, 0.0) == "a"

    @pytest.mark.requirement("R17", fault="worker fails")
    def test_failing_worker_is_tested_by_one_request(self) -> None:
        """Guards against a burst of requests on a worker that still fails."""
        choice = WorkerChoice("centro")
        workers = [(build_worker("a"), 0.0)]
        choice.record_failure("a", 0.0)
        assert choice.choose(workers, set(), 0, 0.5) is None
        later = module.EJECTION_S
        assert choice.choose(workers, set(), 0, later) == "a"
        assert choice.choose(workers, set(), 0, later) is None
        choice.record_success("a", 0)
        assert choice.choose(workers, set(), 0, later) == "a"

    def test_ejection_doubles_up_to_bound(self) -> None:
        """Guards against an ejection that never ends."""
        choice = WorkerChoice("centro")
        for _ in range(20):
            choice.record_failure("a", 0.0)
        assert choice.is_ejected("a", module.MAX_EJECTION_S - 0.1)
        assert not choice.is_ejected("a", module.MAX_EJECTION_S)
