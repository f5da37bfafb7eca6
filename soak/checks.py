"""The promises that a run must have kept, checked on its records."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from .callers import KEPT_VERSIONS, KINDS, TIMEOUT_MS
from .faults import AFTERMATH_S
from .fleet import Fleet
from .records import Records, Request
from .upstream import EVENTS, sign

# Statuses that promise that a request has not run and won't.
NOT_RUN = frozenset({408, 421, 429, 503})
# What the fleet may answer by itself to a proper request.
OWN_STATUSES = NOT_RUN | {502, 504}
MOST_RUNS = 2
# The final answer of a router that runs comes at most this long after the
# time limit of the route; the machine that runs the soak is shared.
LATE_S = 1.5
# A request that is cut off sooner than this crossed the close.
CROSSING_S = 0.3

Runs = dict[str, list[dict[str, Any]]]


def read_runs(journal: Path) -> Runs:
    """Return the runs of each request."""
    runs: Runs = defaultdict(list)
    if journal.exists():
        for line in journal.read_text().splitlines():
            document = json.loads(line)
            runs[document["request"]].append(document)
    return runs


def list_violations(records: Records, runs: Runs, fleet: Fleet) -> list[str]:
    """Return every promise that was broken."""
    violations = []
    for request in records.requests:
        ran = runs.get(request.id, [])
        for text in _check_request(records, request, ran):
            violations.append(f"{text}: {_describe(request)} runs={ran}")
    known = {request.id for request in records.requests}
    violations += [f"nobody sent {id}" for id in runs if id not in known]
    violations += _check_regress(records)
    violations += _check_readings(records)
    for process in fleet.processes.values():
        violations += process.exits
    return violations


def _describe(request: Request) -> str:
    return (
        f"{request.id} {request.kind} router={request.router} "
        f"boot={request.boot} sent={request.sent_at:.3f} "
        f"ended={request.ended_at:.3f} status={request.status} "
        f"whole={request.whole} body={request.body[:120]!r}"
    )


# ---- requests ------------------------------------------------------------


def _check_request(
    records: Records, request: Request, ran: list[dict[str, Any]]
) -> Iterator[str]:
    pool, stream, repeatable = KINDS.get(request.kind, ("app", False, True))
    if len(ran) > (MOST_RUNS if repeatable else 1):
        yield "ran too often"
    if request.status in NOT_RUN and request.whole and ran:
        yield "told that it has not run"
    if any(run["pool"] != pool for run in ran):
        yield "ran in another pool"
    if any(run["path"] != request.path for run in ran):
        yield "ran with another path"
    if any(run["account"] != "library" for run in ran):
        yield "ran for another account"
    if request.status == 200:
        check = _check_events if stream else _check_body
        yield from check(request)
    elif request.status == 404 and request.version:
        # Whether the router should have known the version is checked below.
        pass
    elif request.status and request.status not in OWN_STATUSES:
        yield "refused, though it is allowed"
    yield from _check_end(records, request, ran)


def _check_body(request: Request) -> Iterator[str]:
    if not request.whole:
        return
    try:
        document = json.loads(request.body)
    except ValueError:
        yield "the answer is not whole but ends as complete"
        return
    signature = sign(request.id, document["upstream"])
    if document["request"] != request.id:
        yield "got the answer of another request"
    elif document["digest"] != request.digest:
        yield "ran with another body"
    elif request.headers.get("hornbeamyard-signature") != signature:
        yield "the signature is not the upstream's"


def _check_events(request: Request) -> Iterator[str]:
    expected = b"".join(
        f"id: {number}\ndata: {request.id} {number}\n\n".encode()
        for number in range(1, EVENTS + 1)
    )
    if not expected.startswith(request.body):
        yield "events are missing, doubled or of another request"
    elif request.whole and request.body != expected:
        yield "the stream ends as complete before its last event"


def _check_end(
    records: Records, request: Request, ran: list[dict[str, Any]]
) -> Iterator[str]:
    """Check that a request ends in time, and as it should."""
    router = f"router-{request.router}"
    since, until = request.sent_at - AFTERMATH_S, request.ended_at
    took_s = request.ended_at - request.sent_at
    if request.abandoned and took_s < TIMEOUT_MS / 1000:
        return
    if took_s > TIMEOUT_MS / 1000 + LATE_S and not records.is_harmed(
        router, since, until
    ):
        yield "no final answer within the time limit"
    if request.whole or request.abandoned:
        return
    if request.status and ran:
        # An upstream may have broken a stream off.
        return
    if any(
        records.is_harmed(harm.target, since, until, but="stop")
        for harm in records.harms
    ):
        return
    if ran or took_s > CROSSING_S:
        yield "cut off without an answer"


def _check_regress(records: Records) -> Iterator[str]:
    """Check that no run of a router goes back to an older routing."""
    served: dict[tuple[int, int], list[tuple[float, int]]] = defaultdict(list)
    for request in records.requests:
        if request.version and request.status == 200:
            place = (request.router, request.boot)
            served[place].append((request.ended_at, request.version))
    for request in records.requests:
        if not request.version or request.status != 404:
            continue
        if request.newest_submitted >= request.version + KEPT_VERSIONS:
            continue
        for ended_at, version in served[request.router, request.boot]:
            if ended_at < request.sent_at and version >= request.version:
                yield f"went back from version {version}: " + _describe(
                    request
                )
                break


# ---- routings ------------------------------------------------------------


def _check_readings(records: Records) -> Iterator[str]:
    contents: dict[int, str] = {}
    acknowledged = [s for s in records.submissions if s.status == 200]
    invalid = {s.digest for s in records.submissions if not s.valid}
    for submission in acknowledged:
        if not submission.valid:
            yield f"acknowledged an invalid version {submission.version}"
    for reading in records.readings:
        newest = max(
            (
                s.version
                for s in acknowledged
                if s.answered_at <= reading.sent_at
            ),
            default=0,
        )
        if reading.version < newest:
            yield (
                f"read version {reading.version} from controller "
                f"{reading.controller} after {newest} was acknowledged"
            )
        if reading.digest in invalid:
            yield f"an invalid version {reading.version} was read back"
        known = contents.setdefault(reading.version, reading.digest)
        if known != reading.digest:
            yield f"version {reading.version} has two contents"
