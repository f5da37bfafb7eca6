"""The matrix of faults by stages, and the checks of its records."""

from __future__ import annotations

import json
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

import anyio

from .in_process import (
    MODEL,
    SERVICE,
    InProcessFleet,
    Response,
    run_in_process,
)

FAULTS = (
    "reset",
    "early",
    "garbage",
    "unframed",
    "silent",
    "forgotten",
    "slow",
    "late",
    "extra",
    "refuse",
)
# Faults that occur only before the response begins.
SENT_STAGE_FAULTS = frozenset({"extra", "refuse", "unframed", "late"})
# Faults (and no fault) after which the response is complete and correct.
HARMLESS_FAULTS = frozenset({"slow", "late", "extra", ""})


@dataclass(frozen=True, slots=True)
class Case:
    """One fault at one stage for one kind of request.

    Attributes
    ----------
    fault : str
        A fault of the fake upstream; empty for none.
    stage : str
        `sent` (the upstream has the request), `headers` (before the first
        byte of the body) or `answering` (in the middle of the body).
    repeatable : bool
    stream : bool
        Whether the response is an event stream.
    claimed : bool
        Whether the request has an idempotency key.
    every_attempt : bool
        Whether the fault also occurs in retries.
    """

    fault: str
    stage: str
    repeatable: bool
    stream: bool
    claimed: bool = False
    every_attempt: bool = False

    def __str__(self) -> str:
        parts = [self.fault or "none", self.stage]
        parts.append("repeatable" if self.repeatable else "unrepeatable")
        parts.append("stream" if self.stream else "whole")
        if self.claimed:
            parts.append("claimed")
        if self.every_attempt:
            parts.append("every")
        return "-".join(parts)


def list_cases() -> Iterator[Case]:
    """Yield all cases."""
    for fault in FAULTS:
        for stage in ("sent", "headers", "answering"):
            if fault in SENT_STAGE_FAULTS and stage != "sent":
                continue
            if fault == "slow" and stage == "sent":
                continue
            for stream in (False, True):
                if stage == "headers" and not stream:
                    continue
                if fault == "extra" and stream:
                    continue
                yield Case(fault, stage, True, stream)
                if stage == "sent" and fault not in HARMLESS_FAULTS:
                    yield Case(fault, stage, True, stream, every_attempt=True)
                yield Case(fault, stage, False, stream)
                yield Case(fault, stage, False, stream, claimed=True)


@dataclass(slots=True)
class Record:
    """One request as its caller saw it.

    Attributes
    ----------
    request_id : str
    repeatable : bool
    stream : bool
    tokens : int
        Tokens that the caller asked for.
    responses : list of Response
        One for each time that the caller sent the request.
    """

    request_id: str
    repeatable: bool
    stream: bool
    tokens: int
    responses: list[Response] = field(default_factory=list)


@dataclass(slots=True)
class Violations:
    """Violations found by comparing records with the upstreams' journals.

    Attributes
    ----------
    double_runs : list of str
        Unrepeatable requests that ran more than once.
    false_not_run : list of str
        Requests that ran although they were reported as not run.
    wrong_answers : list of str
        Responses that are wrong, or truncated without a sign of it.
    """

    double_runs: list[str] = field(default_factory=list)
    false_not_run: list[str] = field(default_factory=list)
    wrong_answers: list[str] = field(default_factory=list)

    def check(self, record: Record, runs: int) -> None:
        """Check a record against its number of runs in the journals."""
        if not record.repeatable and runs > 1:
            self.double_runs.append(f"run {runs} times: {record}")
        outcomes = {response.get_outcome() for response in record.responses}
        answered = any(response.status == 200 for response in record.responses)
        if outcomes == {"not-run"} and runs and not answered:
            self.false_not_run.append(
                f"reported as not-run, but ran: {record}"
            )
        for response in record.responses:
            if not is_response_correct(record, response):
                self.wrong_answers.append(f"wrong response: {record}")

    def list_all(self) -> list[str]:
        """Return all violations."""
        return self.double_runs + self.false_not_run + self.wrong_answers


def is_response_correct(record: Record, response: Response) -> bool:
    """Return whether a response belongs to its request and isn't misleading.

    A truncated response is correct if its caller can see that it is
    truncated, also when nothing of it arrived. So is any problem document.
    """
    if response.status != 200 or not response.complete:
        return response.status in (0, 200) or bool(response.get_outcome())
    if not record.stream:
        document = json.loads(response.body)
        return bool(
            document["id"] == record.request_id
            and document["tokens"] == record.tokens
        )
    events = response.body.decode().split("\n\n")
    expected = [
        "data: " + json.dumps({"id": record.request_id, "token": number})
        for number in range(record.tokens)
    ]
    return events == [*expected, "data: [DONE]", ""]


def build_request(
    case: Case, request_id: str, tokens: int
) -> tuple[str, dict[str, object], dict[str, str]]:
    """Return the path, the document and the headers of a case's request."""
    document: dict[str, object] = {
        "model": MODEL,
        "id": request_id,
        "max_tokens": tokens,
        "stream": case.stream,
        "fault": case.fault,
        "stage": case.stage,
    }
    if case.repeatable and not case.every_attempt:
        document["faulty_attempts"] = 1
    path = "/v1/chat/completions" if case.repeatable else "/services/notices/"
    headers = {"idempotency_key": request_id} if case.claimed else {}
    return path, document, headers


async def run_case(case: Case, seed: int, violations: Violations) -> Response:
    """Run a faulty request, two resends if it is claimed, and a healthy one.

    Returns
    -------
    Response
        The first response to the faulty request.
    """
    rng = random.Random(f"{case}-{seed}")
    request_id = f"{case}-{seed}"
    tokens = rng.randint(2, 8)
    path, document, headers = build_request(case, request_id, tokens)
    record = Record(request_id, case.repeatable, case.stream, tokens)
    pool = MODEL if case.repeatable else SERVICE
    async with run_in_process(pool, routers=2) as fleet:
        first = await fleet.post(path, document, **headers)
        record.responses.append(first)
        if case.claimed:
            await _resend(fleet, record, path, document, headers)
        healthy = Record(f"{request_id}-next", case.repeatable, False, 3)
        plain = Case("", "sent", case.repeatable, False)
        path, document, _ = build_request(plain, healthy.request_id, 3)
        healthy.responses.append(await fleet.post(path, document))
        violations.check(record, fleet.count_runs(request_id))
        violations.check(healthy, fleet.count_runs(healthy.request_id))
    return first


async def _resend(
    fleet: InProcessFleet,
    record: Record,
    path: str,
    document: dict[str, object],
    headers: dict[str, str],
) -> None:
    """Send a request again through both routers at the same time."""

    async def send(router: int) -> None:
        response = await fleet.post(path, document, router, **headers)
        record.responses.append(response)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send, 0)
        tasks.start_soon(send, 1)
