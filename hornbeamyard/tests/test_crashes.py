"""Tests of which prompt parts are blocked for crashes of upstreams."""

from __future__ import annotations

import pytest

from hornbeamyard.pool import crashes
from hornbeamyard.pool.crashes import (
    ANSWERED_S,
    MAX_PROBED_CRASHES,
    MAX_PROBES,
    MIN_CRASHES,
    PROBE_DELAY_S,
    REQUEST_POSITION,
    RETENTION_S,
    Crash,
    CrashLedger,
)
from hornbeamyard.pool.digests import DIGEST_PREFIX
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


def build_ledger(count: int, *parts: str, host: str = "r1") -> CrashLedger:
    """Return a ledger with a crash every second under the same parts."""
    ledger = CrashLedger(host)
    ledger.merge([build_crash(n, *parts) for n in range(count)])
    return ledger


def build_requests_crash(number: int, *digests: str) -> Crash:
    """Return a crash under requests with these digests."""
    suspects = dict.fromkeys(digests, REQUEST_POSITION)
    return Crash(UpstreamStart(f"u{number}", 1), float(number), "r1", suspects)


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

    def test_several_requests_crash_upstreams(self) -> None:
        """Guards against a request that other requests' crashes excuse.

        It crashes three upstreams, and another request runs at one of them.
        """
        bad, other, sound = (f"{DIGEST_PREFIX}{name}" for name in "abc")
        ledger = CrashLedger()
        ledger.merge(build_requests_crash(n, other, sound) for n in range(3))
        ledger.merge([build_requests_crash(3, other, bad)])
        ledger.merge(build_requests_crash(n, bad) for n in (4, 5))
        assert ledger.blocked.keys() == {other, bad}

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
        outage = [
            build_crash(n, "route", "popular", at=10.0 + ANSWERED_S / 2)
            for n in range(8)
        ]
        ledger.clear_answered(ledger.merge(outage))
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
        later = [
            build_crash(n, "bad", at=ANSWERED_S + 1 + n)
            for n in range(MIN_CRASHES)
        ]
        ledger.clear_answered(ledger.merge(later))
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

    def test_probes_without_crash_are_bounded(self) -> None:
        """Guards against probes that go on when upstreams refuse them."""
        ledger = build_ledger(MIN_CRASHES, "bad")
        begun = [ledger.begin_probe(["bad"], at) for at in range(30, 3000)]
        assert begun.count(True) == MAX_PROBES


class TestReporter:
    """Which router probes a blocked suspect."""

    def test_record_without_suspects(self) -> None:
        """Guards against routers that choose different ones to probe.

        A record without suspects named the reporter where it came last, but
        was dropped where it came first.
        """
        records = [
            Crash(UpstreamStart("u2", 1), 2.0, "r1", {}),
            *(
                Crash(UpstreamStart(f"u{number}", 1), number, "r2", {"a": 0})
                for number in range(3)
            ),
        ]
        ledgers = [CrashLedger(), CrashLedger()]
        ledgers[0].merge(records)
        ledgers[1].merge(reversed(records))
        assert ledgers[0].blocked == ledgers[1].blocked
        assert ledgers[0].blocked["a"].probed_by == "r2"


class TestWholeRequests:
    """A whole request is a suspect beside its parts, only narrower."""

    @staticmethod
    def build_crash(number: int, *parts: str, request: str) -> Crash:
        """Return a crash under a request with these shared parts."""
        crash = build_crash(number, *parts)
        crash.suspects[f"{DIGEST_PREFIX}{request}"] = REQUEST_POSITION
        return crash

    def test_repeated_request_explains_crashes(self) -> None:
        """Guards against a block of the parts that a bad request shares."""
        ledger = CrashLedger()
        ledger.merge(
            self.build_crash(n, "route", "rare", request="bad")
            for n in range(MIN_CRASHES)
        )
        assert set(ledger.blocked) == {f"{DIGEST_PREFIX}bad"}

    def test_part_explains_crashes_of_several_requests(self) -> None:
        """Guards against a part that crashes upstreams in each new request."""
        ledger = CrashLedger()
        ledger.merge(
            self.build_crash(n, "bad", request=str(min(n, MIN_CRASHES - 1)))
            for n in range(2 * MIN_CRASHES - 1)
        )
        assert set(ledger.blocked) == {"bad"}

    def test_answered_while_attempt_runs(self) -> None:
        """Guards against a block of a popular request in an outage."""
        ledger = CrashLedger()
        ledger.record_answer(["popular"], 1.0)
        assert ledger.list_answered(["popular"], 0.9, 1.5) == {"popular"}
        assert not ledger.list_answered(["popular"], 1.1, 1.5)
        assert not ledger.list_answered(["popular"], 0.9, 1.1 + ANSWERED_S)

    def test_answers_between_crashes(self) -> None:
        """Guards against a block of a request that is answered in between.

        Nothing is reported as long as it is suspected of a single crash.
        """
        ledger = CrashLedger()
        request = f"{DIGEST_PREFIX}sound"
        for number in range(2 * MIN_CRASHES):
            crash = self.build_crash(10 * number, request="sound")
            ledger.clear_answered(ledger.merge([crash]))
            assert not ledger.blocked
            before = ledger.number
            ledger.record_answer([request], 10 * number + 5.0)
            assert ledger.number == before


class TestRecords:
    """Records are exchanged and kept in bounded size."""

    @pytest.mark.parametrize("last", [0, 1])
    def test_nearly_simultaneous_crashes(self, last: int) -> None:
        """Guards against two routers that each take themselves for the last.

        Each gets the other's record some milliseconds late.
        """
        ledger = build_ledger(MIN_CRASHES, "bad", host="r3")
        for number, reporter in enumerate(("r1", "r2")):
            at = 9.0 + 0.01 * (number == last)
            crash = build_crash(10 + number, "bad", at=at, reporter=reporter)
            ledger.merge([crash])
        assert ledger.blocked["bad"].probed_by == "r1"

    @pytest.mark.parametrize("reporters", ["r1 r2", "r2 r1"])
    def test_reporters_of_the_same_suspects(self, reporters: str) -> None:
        """Guards against probes by each router that has seen a crash."""
        ledger, other = CrashLedger(), CrashLedger()
        number = 0
        for reporter in reporters.split():
            ledger.merge(
                build_crash(n, "bad", reporter=reporter)
                for n in range(MIN_CRASHES)
            )
            other.merge(list(ledger.list_since(number)))
            number = ledger.number
        assert ledger.blocked["bad"].probed_by == "r1"
        assert other.blocked["bad"].probed_by == "r1"

    def test_only_changes_are_sent(self) -> None:
        """Guards against a crash that is sent whole for each cleared part."""
        ledger, other = CrashLedger(), CrashLedger()
        ledger.merge([build_crash(1, "a", "b", "c")])
        other.merge(ledger.list_since(0))
        number = ledger.number
        ledger.record_answer(["b"], 1.5)
        (change,) = ledger.list_since(number)
        assert change.suspects.keys() == change.cleared == {"b"}
        other.merge([change])
        (known,) = other.list_since(0)
        assert known.list_open().keys() == {"a", "c"}

    def test_suspects_are_bounded(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against memory that grows with the broken requests."""
        monkeypatch.setattr(crashes, "MAX_ALL_SUSPECTS", 10)
        ledger = CrashLedger()
        for number in range(9):
            ledger.merge(
                [build_crash(number, *(f"{number}{p}" for p in "abc"))]
            )
        known = list(ledger.list_since(0))
        assert sum(len(crash.suspects) for crash in known) <= 10
        assert known[0].upstream.id == "u8"
        assert not ledger.blocked

    def test_changes_are_bounded(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against memory for suspects that a crash no longer has.

        An upstream without an announced start has the same one for good.
        """
        monkeypatch.setattr(crashes, "MAX_SUSPECTS", 10)
        ledger = CrashLedger()
        for number in reversed(range(1000)):
            ledger.merge([build_requests_crash(1, f"{DIGEST_PREFIX}{number}")])
        (crash,) = ledger._crashes.values()
        assert len(crash.suspects) == 10
        assert crash.changes.keys() == crash.suspects.keys()
