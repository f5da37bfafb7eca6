"""The matrix of faults by stages: each answer once, each call at most once."""

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


def expect_outcome(case: Case) -> str:
    """Return what the caller of a case's request must be told.

    Returns
    -------
    str
        `whole`, `cut` or the outcome of a problem document.
    """
    if case.fault in HARMLESS_FAULTS:
        return "whole"
    if case.fault == "refuse":
        # The first refusal of a repeatable request is retried elsewhere.
        retried = case.repeatable and not case.every_attempt
        return "whole" if retried else "not-run"
    if case.stage == "answering":
        return "cut"
    if not case.repeatable:
        return "unknown"
    return "failed" if case.every_attempt else "whole"


def describe(response: Response) -> str:
    """Return what a caller was told."""
    if response.get_outcome():
        return response.get_outcome()
    return "whole" if response.status == 200 and response.complete else "cut"


class TestMatrix:
    """Every fault at every stage, for every kind of request."""

    @pytest.mark.requirement("R3", fault="upstream breaks, stalls or lies")
    @pytest.mark.requirement("R4", fault="upstream breaks, stalls or lies")
    @pytest.mark.requirement("R5", fault="upstream breaks, stalls or lies")
    @pytest.mark.requirement("R16", fault="connection silent while sent")
    @pytest.mark.parametrize("case", list(list_cases()), ids=str)
    def test_tells_outcome(self, case: Case) -> None:
        """Guards against wrong outcomes, double runs and mixed answers."""
        violations = Violations()
        response = anyio.run(run_case, case, 0, violations)
        assert violations.list_all() == []
        assert describe(response) == expect_outcome(case)
        if describe(response) == "not-run":
            assert int(response.headers["retry-after"]) >= 1


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    """Run a fleet of processes for all faults, one after the other."""
    with run_fleet(tmp_path_factory.mktemp("fleet")) as local:
        yield local


@pytest.mark.process
class TestProcesses:
    """Faults of whole processes under load."""

    @pytest.mark.requirement("R3", fault="process killed, frozen, stopped")
    @pytest.mark.requirement("R4", fault="process killed, frozen, stopped")
    @pytest.mark.requirement("R5", fault="process killed, frozen, stopped")
    @pytest.mark.requirement("R7", fault="each router stopped in turn")
    @pytest.mark.parametrize("fault", FAULTS)
    def test_keeps_outcomes_true(self, fleet: LocalFleet, fault: str) -> None:
        """Guards against double runs, false "not run" and wrong answers.

        A planned stop must also lose no request and break no answer.
        """
        result = run_scenario(fleet, fault, seed=1)
        assert result.violations.list_all() == []
        assert result.callers.count_answered() > 100
        if fault != "router stopped":
            return
        assert result.callers.count_incomplete() == 0
        assert result.callers.count_answered() == len(result.callers.records)
        assert result.exit_codes == [0, 0, 0]
        # Notice, the longest request, and the leave message.
        assert max(result.drains_s) < 10.0
