"""Property tests of the exchange of crashes between routers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hornbeamyard.pool.crashes import Crash, CrashLedger
from hornbeamyard.pool.upstream_registry import UpstreamStart

PARTS = st.sampled_from("abcde")


@st.composite
def build_crashes(draw: st.DrawFn) -> list[Crash]:
    """Draw records of crashes by several routers.

    Only suspects can be cleared.
    """
    crashes = []
    for number in draw(st.lists(st.integers(0, 5), max_size=20)):
        upstream = UpstreamStart(f"u{number}", 1)
        reporter = draw(st.sampled_from(["r1", "r2"]))
        suspects = draw(st.dictionaries(PARTS, st.integers(0, 3), max_size=4))
        cleared = {part for part in suspects if draw(st.booleans())}
        crashes.append(
            Crash(upstream, float(number), reporter, suspects, cleared)
        )
    return crashes


class TestMerge:
    """All routers come to the same result."""

    @given(build_crashes(), st.randoms())
    def test_order_does_not_matter(self, crashes, random) -> None:  # type: ignore[no-untyped-def]
        """Guards against a part that is blocked at some routers only."""
        ledger, other = CrashLedger(), CrashLedger()
        ledger.merge(crashes)
        shuffled = crashes * 2
        random.shuffle(shuffled)
        for crash in shuffled:
            other.merge([crash])
        assert ledger.blocked == other.blocked

    @given(build_crashes(), st.integers(1, 5))
    def test_changes_are_enough(  # type: ignore[no-untyped-def]
        self, crashes, batch
    ) -> None:
        """Guards against a change that a stream of changes leaves out."""
        ledger, other = CrashLedger(), CrashLedger()
        number = 0
        for first in range(0, len(crashes), batch):
            ledger.merge(crashes[first : first + batch])
            ledger.record_answer("a", float(first))
            other.merge(list(ledger.list_since(number)))
            number = ledger.number
        assert ledger.blocked == other.blocked
