"""Tests of outcomes and runs of requests under faults.

`TestMatrix` runs every fault at every stage with fake upstreams in one event
loop, `TestProcesses` kills, freezes and stops processes under load.
"""

from __future__ import annotations

from collections.abc import Iterator

import anyio
import pytest

from .fault_matrix import (
    HARMLESS_FAULTS,
    Case,
    Violations,
    list_cases,
    run_case,
)
from .fleet import LocalFleet
from .in_process import Response
from .scenarios import FAULTS, run_fleet, run_scenario

CHAT = "/v1/chat/completions"
NOTICES = "/services/notices/"


def expect_result(case: Case) -> str:
    """Return the correct first result of a case's request.

    Returns
    -------
    str
        `complete`, `truncated` or the outcome of a problem document.
    """
    if case.fault in HARMLESS_FAULTS:
        return "complete"
    if case.fault == "refuse":
        # The first refusal of a repeatable request is retried elsewhere.
        retried = case.repeatable and not case.every_attempt
        return "complete" if retried else "not-run"
    if case.stage == "answering":
        return "truncated"
    if not case.repeatable:
        return "unknown"
    return "failed" if case.every_attempt else "complete"


def get_result(response: Response) -> str:
    """Return the result that a response gives, as in `expect_result`."""
    if response.get_outcome():
        return response.get_outcome()
    return (
        "complete"
        if response.status == 200 and response.complete
        else "truncated"
    )


class TestMatrix:
    """Every fault at every stage gives the right outcome for each request."""

    @pytest.mark.requirement("R3", fault="upstream fails, stalls, misreports")
    @pytest.mark.requirement("R4", fault="upstream fails, stalls, misreports")
    @pytest.mark.requirement("R5", fault="upstream fails, stalls, misreports")
    @pytest.mark.requirement("R16", fault="connection silent after a request")
    @pytest.mark.parametrize("case", list(list_cases()), ids=str)
    def test_reports_outcome(self, case: Case) -> None:
        """Guards against wrong outcomes, double runs and mixed responses."""
        violations = Violations()
        response = anyio.run(run_case, case, 0, violations)
        assert violations.list_all() == []
        assert get_result(response) == expect_result(case)
        if get_result(response) == "not-run":
            assert int(response.headers["retry-after"]) >= 1


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    """Run one fleet of processes for all faults in turn."""
    with run_fleet(tmp_path_factory.mktemp("fleet")) as local:
        yield local


@pytest.mark.process
class TestProcesses:
    """Callers get true outcomes while processes fail under load."""

    @pytest.mark.requirement("R3", fault="process killed, frozen, stopped")
    @pytest.mark.requirement("R4", fault="process killed, frozen, stopped")
    @pytest.mark.requirement("R5", fault="process killed, frozen, stopped")
    @pytest.mark.requirement("R7", fault="each router stopped in turn")
    @pytest.mark.parametrize("fault", FAULTS)
    def test_reports_true_outcomes(
        self, fleet: LocalFleet, fault: str
    ) -> None:
        """Guards against double runs, false "not run" and wrong responses.

        A planned stop must also lose no request and truncate no response.
        """
        result = run_scenario(fleet, fault, seed=1)
        assert result.violations.list_all() == []
        assert result.callers.count_answered() > 100
        if fault != "router stopped":
            return
        assert result.callers.count_incomplete() == 0
        assert result.callers.count_answered() == len(result.callers.records)
        assert result.exit_codes == [0, 0, 0]
        # Time for the readiness grace period, the longest request and the
        # leave message.
        assert max(result.drains_s) < 10.0
