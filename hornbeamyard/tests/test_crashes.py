"""Tests of which prompt parts are blocked for crashes of upstreams."""

from __future__ import annotations

from hornbeamyard.pool.crashes import (
    ANSWERED_S,
    MAX_PROBED_CRASHES,
    MIN_CRASHES,
    PROBE_DELAY_S,
    RETENTION_S,
    Crash,
    CrashLedger,
)
from hornbeamyard.pool.upstream_registry import UpstreamStart


def build_crash(
    number: int, *parts: str, at: float | None = None, reporter: str = "r1"
) -> Crash:
    """Return a crash under a request with these shared parts."""
    suspects = {part: position for position, part in enumerate(parts)}
    crashed_at = float(number) if at is None else at
    return Crash(
        UpstreamStart(f"u{number}", 1), crashed_at, reporter, suspects
    )


def build_ledger(crashes: int, *parts: str, host: str = "r1") -> CrashLedger:
    """Return a ledger with a crash every second under the same parts."""
    ledger = CrashLedger(host)
    ledger.merge([build_crash(n, *parts) for n in range(crashes)])
    return ledger


class TestBlocks:
    """One part is singled out."""

    def test_needs_several_crashes(self) -> None:
        """Guards against a block for crashes that have other causes."""
        assert not build_ledger(MIN_CRASHES - 1, "a", "b").blocked
        assert set(build_ledger(MIN_CRASHES, "a", "b").blocked) == {"b"}

    def test_same_upstream_counts_once(self) -> None:
        """Guards against one crash that breaks off many requests."""
        ledger = CrashLedger()
        for _ in range(5):
            ledger.merge([build_crash(1, "a", "b")])
        assert not ledger.blocked

    def test_answered_part_is_cleared(self) -> None:
        """Guards against a blocked route or caller that is sound."""
        ledger = CrashLedger()
        for number in range(MIN_CRASHES):
            ledger.merge([build_crash(number, "route", "bad", f"own{number}")])
            ledger.record_answer(["route", "sound"], number + 0.5)
        assert set(ledger.blocked) == {"bad"}

    def test_outage_of_all_upstreams(self) -> None:
        """Guards against blocked parts when a rack of upstreams fails."""
        ledger = CrashLedger()
        ledger.record_answer(["route", "popular"], 10.0)
        crashes = [
            build_crash(n, "route", "popular", at=10.0 + ANSWERED_S / 2)
            for n in range(8)
        ]
        ledger.clear_answered(ledger.merge(crashes))
        assert not ledger.blocked

    def test_crash_is_explained_once(self) -> None:
        """Guards against blocks of parts that were in crashes by chance."""
        ledger = build_ledger(MIN_CRASHES + 1, "bad")
        ledger.merge([build_crash(n, "chance") for n in range(MIN_CRASHES)])
        assert set(ledger.blocked) == {"bad"}

    def test_part_that_was_sound_before(self) -> None:
        """Guards against crashes excused by answers of long ago."""
        ledger = CrashLedger()
        ledger.record_answer(["bad"], 0.0)
        crashes = [
            build_crash(n, "bad", at=ANSWERED_S + 1 + n)
            for n in range(MIN_CRASHES)
        ]
        ledger.clear_answered(ledger.merge(crashes))
        assert set(ledger.blocked) == {"bad"}

    def test_crashes_are_forgotten(self) -> None:
        """Guards against blocks that never end."""
        ledger = build_ledger(MIN_CRASHES, "bad")
        ledger.expire(RETENTION_S + MIN_CRASHES + 1)
        assert not ledger.blocked
        assert not len(ledger)


class TestProbes:
    """A blocked part is probed with single requests."""

    def test_one_request_of_one_router(self) -> None:
        """Guards against upstreams that end under probes of all routers."""
        due = MIN_CRASHES - 1 + PROBE_DELAY_S
        ledger = build_ledger(MIN_CRASHES, "bad")
        assert not ledger.begin_probe(["bad"], due - 0.1)
        assert ledger.begin_probe(["bad"], due)
        assert not ledger.begin_probe(["bad"], due + 0.1)
        other = build_ledger(MIN_CRASHES, "bad", host="r2")
        assert not other.begin_probe(["bad"], due)

    def test_answered_probe_ends_block(self) -> None:
        """Guards against a sound part that stays blocked."""
        ledger = build_ledger(MIN_CRASHES, "bad")
        ledger.record_answer(["bad"], 40.0)
        assert not ledger.blocked

    def test_no_probe_after_many_crashes(self) -> None:
        """Guards against probes of a part that surely crashes upstreams."""
        ledger = build_ledger(MAX_PROBED_CRASHES + 1, "bad")
        assert not ledger.begin_probe(["bad"], RETENTION_S - 1)
