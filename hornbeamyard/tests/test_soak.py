"""Tests of the soak: a short run, and what its checks find."""

from __future__ import annotations

import sys
from pathlib import Path

import anyio
import anyio.abc
import pytest

from soak.additions import find_wrong_counts
from soak.checks import list_violations
from soak.fleet import Fleet, Process
from soak.plan import Plan
from soak.records import (
    Crowd,
    FaultRecord,
    Order,
    ReadResult,
    Records,
    Request,
    Submission,
)
from soak.run import run_seed
from soak.upstream import EVENT_COUNT, build_event

# The first seed has three controllers: one is killed at the first start, and
# one loses its disk. The second has five: the one with the lowest address is
# killed and another one late at the first start, addresses are taken, SIGHUP
# comes early, and two lose their disks.
SEEDS = (1, 211)
SECONDS = 6.0


class EmptyFleet(Fleet):
    """A fleet whose controllers never run, without unexpected exits."""

    def __init__(self) -> None:
        self.controllers = [f"controller-{number}" for number in range(3)]
        self.processes = {name: Process(name) for name in self.controllers}
        self.plan = Plan(cold_rate=4.0)


def build_request(**fields: object) -> Request:
    """Return a request refused with status 503, with some fields changed."""
    request = Request(
        id="q1",
        kind="charge",
        path="/charge/1",
        digest="",
        version=0,
        router=0,
        boot=1,
        sent_at=10.0,
        ended_at=10.1,
        status=503,
        complete=True,
    )
    for name, value in fields.items():
        setattr(request, name, value)
    return request


def build_execution(**fields: object) -> dict[str, object]:
    """Return the journal line of an execution, with some fields changed."""
    execution = {
        "request": "q1",
        "pool": "app",
        "path": "/charge/1",
        "account": "library",
        "upstream": "model-0.1",
        "framed": True,
        "max_rate": None,
        "crashes": False,
        "zone": "zone-a",
        "cold": False,
        "at": 10.0,
    }
    return {**execution, **fields}


def check(records: Records, *executions: dict[str, object]) -> list[str]:
    """Return the violations in records and in executions of request q1."""
    by_request = {"q1": list(executions)} if executions else {}
    return list_violations(records, by_request, EmptyFleet())


@pytest.mark.process
class TestSoak:
    """The fleet keeps its promises under injected faults."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_short_run(self, tmp_path: Path, seed: int) -> None:
        """Guards against a soak that can't run and promises broken early."""
        result = run_seed(seed, SECONDS, tmp_path)
        assert result.violations == []
        assert result.answered > 50
        assert result.faults > 3


class TestChecks:
    """Each check reports its own kind of violation."""

    def test_refused_and_not_run(self) -> None:
        """Guards against a violation for a refused request that didn't run."""
        assert check(Records(requests=[build_request()])) == []

    def test_run_after_a_refusal(self) -> None:
        """Guards against missing a run of a request reported as not run."""
        found = check(Records(requests=[build_request()]), build_execution())
        assert found[0].startswith(
            "ran, although the response says that it has not run"
        )

    def test_run_twice(self) -> None:
        """Guards against missing a second run of an unrepeatable request."""
        request = build_request(status=502)
        found = check(
            Records(requests=[request]), build_execution(), build_execution()
        )
        assert found[0].startswith("ran too often")

    def test_run_in_another_pool(self) -> None:
        """Guards against missing a run in the wrong pool."""
        request = build_request(status=502)
        found = check(
            Records(requests=[request]), build_execution(pool="model")
        )
        assert found[0].startswith("ran in another pool")

    def test_missing_event(self) -> None:
        """Guards against missing a gap in a stream."""
        body = b"".join(
            build_event("q1", n, "v1")
            for n in range(1, EVENT_COUNT + 1)
            if n != 3
        )
        request = build_request(
            kind="notice", path="/notice/1", status=200, body=body
        )
        execution = build_execution(pool="model", path="/notice/1")
        found = check(Records(requests=[request]), execution)
        assert found[0].startswith("events are missing")

    def test_stream_that_ends_early_as_complete(self) -> None:
        """Guards against missing a truncated stream that looks complete."""
        request = build_request(
            kind="notice",
            path="/notice/1",
            status=200,
            body=build_event("q1", 1, "v1"),
        )
        execution = build_execution(pool="model", path="/notice/1")
        found = check(Records(requests=[request]), execution)
        assert found[0].startswith("the stream ends as complete")

    @pytest.mark.parametrize(
        ("framed", "fault", "cut", "violations"),
        [
            (False, "model-0", 0, 0),
            (False, "model-1", 0, 1),
            (False, "model-0", 1, 1),
            (True, "model-0", 0, 1),
        ],
    )
    def test_truncated_stream_without_framing(
        self, framed: bool, fault: str, cut: int, violations: int
    ) -> None:
        """Guards against excusing more than what no router can tell."""
        body = build_event("q1", 1, "v1")
        request = build_request(
            kind="notice",
            path="/notice/1",
            status=200,
            body=body[: len(body) - cut],
        )
        records = Records(
            requests=[request], faults=[FaultRecord("kill", fault, 9.0, 12.0)]
        )
        execution = build_execution(
            pool="model", path="/notice/1", framed=framed
        )
        assert len(check(records, execution)) == violations

    @pytest.mark.parametrize(("late", "violations"), [(3, 0), (4, 1)])
    def test_part_that_goes_on_crashing(
        self, late: int, violations: int
    ) -> None:
        """Guards against missing requests that still crash upstreams."""
        requests, executions = [], {}
        for number in range(5 + late):
            at = float(number if number < 5 else 20 + number)
            id = f"q{number}"
            requests.append(
                build_request(
                    id=id,
                    kind="notice",
                    path="/notice/1",
                    status=502,
                    crashing=True,
                    sent_at=at,
                    ended_at=at + 0.1,
                )
            )
            execution = build_execution(
                request=id, pool="model", path="/notice/1", crashes=True, at=at
            )
            executions[id] = [execution]
        found = list_violations(
            Records(requests=requests), executions, EmptyFleet()
        )
        assert len(found) == violations

    @pytest.mark.parametrize(("late", "violations"), [(3, 0), (4, 1)])
    def test_request_that_goes_on_crashing(
        self, late: int, violations: int
    ) -> None:
        """Guards against missing attempts that still crash upstreams."""
        requests, executions = [], {}
        for number in range(3 + late):
            at = float(number if number < 3 else 20 + number)
            id = f"q{number}"
            requests.append(
                build_request(
                    id=id,
                    kind="read",
                    path="/read/crash",
                    status=502,
                    repeated=True,
                    sent_at=at,
                    ended_at=at + 0.1,
                )
            )
            executions[id] = [
                build_execution(
                    request=id, path="/read/crash", crashes=True, at=at
                )
            ]
        found = list_violations(
            Records(requests=requests), executions, EmptyFleet()
        )
        assert len(found) == violations

    @pytest.mark.parametrize(("sent", "violations"), [(11, 0), (12, 1)])
    def test_limit(self, sent: int, violations: int) -> None:
        """Guards against missing requests beyond an upstream's limit."""
        ids = [f"q{number}" for number in range(sent + 1)]
        times = [0.0, *(10.0 + number / 10 for number in range(sent))]
        requests = [build_request(id=id, status=502) for id in ids]
        executions = {
            id: [build_execution(request=id, max_rate=1.0, at=at)]
            for id, at in zip(ids, times, strict=True)
        }
        found = list_violations(
            Records(requests=requests), executions, EmptyFleet()
        )
        assert len(found) == violations

    @pytest.mark.parametrize(
        ("at", "sent_at", "fault", "violations"),
        [
            (10.9, 10.0, "", 0),
            (11.1, 10.0, "", 1),
            (11.1, 10.0, "router-0", 0),
            (11.1, 10.0, "model-1", 0),
            (11.1, 11.05, "model-1", 1),
            (20.1, 19.0, "", 0),
        ],
    )
    def test_request_to_an_evacuated_zone(
        self, at: float, sent_at: float, fault: str, violations: int
    ) -> None:
        """Guards against missing requests 5 s after the acknowledgement."""
        request = build_request(status=502, sent_at=sent_at)
        records = Records(
            requests=[request],
            orders=[Order(True, 5.5, 6.0), Order(False, 20.0)],
            faults=[FaultRecord("freeze", fault, 9.0, 12.0)],
        )
        execution = build_execution(upstream="model-1.1", zone="zone-b", at=at)
        found = check(records, execution)
        assert len(found) == violations
        assert all("its zone had to be evacuated" in text for text in found)

    @pytest.mark.parametrize(
        ("router", "unanswered", "violations"),
        [(0, 0, 0), (1, 0, 1), (0, 1, 0), (None, 0, 1)],
    )
    def test_zones_after_the_recovery(
        self, router: int | None, unanswered: int, violations: int
    ) -> None:
        """Guards against missing an acknowledged order that was lost."""
        orders = [Order(True, 1.0, 2.0), Order(False, 3.0, 4.0)]
        orders += [Order(True, 5.0)] * unanswered
        found = find_wrong_counts(
            orders, {"controller-0": 0, "router-0": router}
        )
        assert len(found) == violations

    @pytest.mark.parametrize(
        ("sent", "fault", "violations"),
        [(11, "", 0), (12, "", 1), (12, "model-0", 0)],
    )
    def test_cold_upstream(
        self, sent: int, fault: str, violations: int
    ) -> None:
        """Guards against missing requests beyond what a cold upstream takes.

        The rate is 4 a second, so that 11 are allowed.
        """
        ids = [f"q{number}" for number in range(sent)]
        records = Records(
            requests=[build_request(id=id, status=502) for id in ids],
            faults=[FaultRecord("cut", fault, 9.0, 12.0)],
        )
        executions = {
            id: [build_execution(request=id, cold=True, at=10 + number / 20)]
            for number, id in enumerate(ids)
        }
        found = list_violations(records, executions, EmptyFleet())
        assert len(found) == violations

    @pytest.mark.parametrize(
        ("answered", "fault", "violations"),
        [(True, "", 0), (False, "", 1), (False, "router-0", 0)],
    )
    def test_crowd(self, answered: bool, fault: str, violations: int) -> None:
        """Guards against missing a process that a crowd has silenced."""
        records = Records(
            crowds=[Crowd("router-0", 10.0, 12.0, 17.0, answered)],
            faults=[FaultRecord("freeze", fault, 9.0, 11.0)],
        )
        assert len(check(records)) == violations

    def test_stream_that_ends_inside_an_event_as_complete(self) -> None:
        """Guards against missing a truncated last event."""
        events = [build_event("q1", n + 1, "v1") for n in range(EVENT_COUNT)]
        request = build_request(
            kind="notice",
            path="/notice/1",
            status=200,
            body=b"".join(events)[:-1],
        )
        execution = build_execution(pool="model", path="/notice/1")
        found = check(Records(requests=[request]), execution)
        assert found[0].startswith("the stream ends as complete")

    def test_mixed_versions_in_a_response(self) -> None:
        """Guards against missing a response joined from two versions."""
        request = build_request(
            kind="chat",
            path="/chat/1",
            status=200,
            complete=False,
            body=build_event("q1", 1, "v1") + build_event("q1", 2, "v2"),
        )
        execution = build_execution(pool="model", path="/chat/1")
        found = check(Records(requests=[request]), execution)
        assert found[0].startswith("events are missing, duplicated, mixed")

    def test_mixed_versions_over_attempts(self) -> None:
        """Guards against missing a stream resumed at another version."""
        began = build_request(
            kind="chat",
            path="/chat/1",
            status=200,
            complete=False,
            body=build_event("q1", 1, "v1"),
        )
        resumed = build_request(
            id="q2",
            kind="chat",
            path="/chat/2",
            status=200,
            complete=False,
            body=build_event("q1", 2, "v2"),
            resumes="q1",
            last_event=1,
        )
        execution = build_execution(pool="model", path="/chat/1")
        found = check(Records(requests=[began, resumed]), execution)
        assert found == [
            "stream q1 has events of the software versions [b'v1', b'v2']"
        ]

    def test_cut_off_during_planned_stop(self) -> None:
        """Guards against excusing a lost response by a planned stop."""
        request = build_request(status=0, complete=False)
        records = Records(
            requests=[request],
            faults=[FaultRecord("stop", "router-0", 9.0, 12.0)],
        )
        found = check(records, build_execution())
        assert found[0].startswith("connection closed without a response")

    def test_cut_off_by_a_kill_is_allowed(self) -> None:
        """Guards against a violation for a response lost by a kill."""
        request = build_request(status=0, complete=False)
        records = Records(
            requests=[request],
            faults=[FaultRecord("kill", "router-0", 9.0, 12.0)],
        )
        assert check(records, build_execution()) == []

    def test_late_response(self) -> None:
        """Guards against missing a response after the timeout."""
        request = build_request(ended_at=20.0)
        found = check(Records(requests=[request]))
        assert found[0].startswith("no complete response within")

    def test_older_version_after_an_acknowledgement(self) -> None:
        """Guards against missing a read of an outdated routing."""
        records = Records(
            submissions=[Submission(4, "d4", True, 200, 10.0)],
            reads=[ReadResult("controller-0", 10.1, 3, "d3")],
        )
        assert check(records)[0].startswith("read version 3")

    def test_two_contents_of_a_version(self) -> None:
        """Guards against missing different routings of one version."""
        records = Records(
            reads=[
                ReadResult("controller-0", 10.1, 3, "d3"),
                ReadResult("controller-1", 10.2, 3, "other"),
            ]
        )
        assert check(records) == ["version 3 has two contents"]

    def test_invalid_version_in_force(self) -> None:
        """Guards against missing a stored routing that is invalid."""
        records = Records(
            submissions=[Submission(4, "bad", False, 400, 10.0)],
            reads=[ReadResult("controller-0", 10.1, 4, "bad")],
        )
        assert check(records) == ["an invalid version 4 was read back"]

    def test_router_returns_to_older_version(self) -> None:
        """Guards against missing a router that goes back to an old routing."""
        served = build_request(
            kind="versioned",
            path="/v4/1",
            version=4,
            status=200,
            complete=False,
        )
        refused = build_request(
            id="q2",
            kind="versioned",
            path="/v4/2",
            version=4,
            status=404,
            sent_at=11.0,
            ended_at=11.1,
            newest_submitted=5,
        )
        records = Records(
            requests=[served, refused],
            faults=[FaultRecord("kill", "app-0", 9.0, 12.0)],
        )
        found = check(records, build_execution(path="/v4/1"))
        assert [text.split(":")[0] for text in found] == [
            "went back from version 4"
        ]


class SleepingFleet(EmptyFleet):
    """A fleet whose processes only sleep."""

    def __init__(self, folder: Path, tasks: anyio.abc.TaskGroup) -> None:
        super().__init__()
        self.folder = folder
        self._tasks = tasks
        self.processes["model-0"] = Process("model-0")

    def _build_command(self, name: str) -> list[str]:
        return [sys.executable, "-c", "import time; time.sleep(30)"]


class TestProcesses:
    """The soak knows the processes that it has started."""

    def test_starts_one_process_at_a_time(self, tmp_path: Path) -> None:
        """Guards against a second process that nobody ends.

        The end of a fault and the restart after a crash fall together.
        """

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                fleet = SleepingFleet(tmp_path, tasks)
                async with anyio.create_task_group() as starts:
                    for _ in range(2):
                        starts.start_soon(fleet.start, "model-0")
                assert fleet.processes["model-0"].starts == 1
                await fleet.kill_all()

        anyio.run(main)
