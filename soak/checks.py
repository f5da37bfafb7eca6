"""Checks of what one run of the soak recorded against the fleet's promises."""

from __future__ import annotations

import json
import re
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from .callers import KINDS, RETAINED_VERSIONS, TIMEOUT_MS
from .fleet import CRASHED_S, OTHER_ZONE, Fleet
from .records import ABSENT, SETTLING_TIME_S, FaultRecord, Records, Request
from .upstream import EVENT_COUNT, SOFTWARE_VERSIONS, build_event, sign

# Statuses that promise that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Error statuses that the fleet itself may return for a valid request.
FLEET_STATUSES = NOT_RUN_STATUSES | {502, 504}
# Executions of one idempotent request, with retries.
MAX_EXECUTIONS = 2
# A response may complete this long after the timeout of its route, since the
# host that runs the soak is shared.
TIMEOUT_TOLERANCE_S = 1.5
# A request that fails sooner than this, without having run, may have been sent
# just as the router closed the connection.
CLOSE_RACE_S = 0.3
# Time in which all routers know what one has learned from an upstream.
LEARNING_TIME_S = 3.0
# After so many crashes under one prompt part, at most this many requests with
# it reach upstreams.
LEARNED_CRASHES = 5
MAX_CRASHING = 3
# The same for one repeated request.
LEARNED_REPEATED_CRASHES = 3
MAX_REPEATED = 3
# An upstream that names a limit gets at most this multiple of it in a window,
# and some requests more.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_RESERVE = 5
# Requests that are sent this long after a router has learned a limit count.
LEARNED_S = 0.5
# No upstream of an evacuated zone gets a request later than this after the
# acknowledgement.
EVACUATION_TIME_S = 5.0
# A cold upstream gets at most this multiple of its rate in any second, and
# some requests more.
COLD_WINDOW_S = 1.0
COLD_FACTOR = 1.5
COLD_RESERVE = 5
# Faults that hold requests back on their way to an upstream.
HOLDING_KINDS = ("freeze", "delay", "cut", "silence")

# Journal lines of the upstreams, one for each execution, by request id.
Executions = dict[str, list[dict[str, Any]]]


def read_executions(journal: Path) -> Executions:
    """Return the journal lines of the upstreams by request id."""
    executions: Executions = defaultdict(list)
    if journal.exists():
        for line in journal.read_text().splitlines():
            document = json.loads(line)
            executions[document["request"]].append(document)
    return executions


def list_violations(
    records: Records, executions: Executions, fleet: Fleet
) -> list[str]:
    """Return a description of every broken promise.

    Parameters
    ----------
    records : Records
    executions : dict of str to list of dict
        Executions of each request, by request id.
    fleet : Fleet
        Its processes' unexpected exits are violations too.
    """
    violations = []
    _record_crashes(records, executions)
    for request in records.requests:
        ran = executions.get(request.id, [])
        for text in _check_request(records, request, ran):
            violations.append(f"{text}: {_describe(request)} runs={ran}")
    known = {request.id for request in records.requests}
    violations += [
        f"an upstream ran {id}, which no caller sent"
        for id in executions
        if id not in known
    ]
    violations += _check_crashes(records, executions, fleet)
    violations += _check_limits(records, executions)
    violations += _check_evacuations(records, executions, fleet)
    violations += _check_cold_starts(records, executions, fleet)
    violations += _check_crowds(records)
    violations += _check_software_versions(records)
    violations += _check_rollbacks(records)
    violations += _check_reads(records)
    for process in fleet.processes.values():
        violations += process.unexpected_exits
    return violations


def _describe(request: Request) -> str:
    return (
        f"{request.id} {request.kind} router={request.router} "
        f"boot={request.boot} sent={request.sent_at:.3f} "
        f"ended={request.ended_at:.3f} status={request.status} "
        f"whole={request.complete} body={request.body[:120]!r}"
    )


# ---- requests ------------------------------------------------------------


def _check_request(
    records: Records, request: Request, ran: list[dict[str, Any]]
) -> Iterator[str]:
    """Check a request's response and its executions in `ran`."""
    pool, stream, idempotent = KINDS.get(request.kind, ("app", False, True))
    if len(ran) > (MAX_EXECUTIONS if idempotent else 1):
        yield "ran too often"
    if request.status in NOT_RUN_STATUSES and request.complete and ran:
        yield "ran, although the response says that it has not run"
    if any(execution["pool"] != pool for execution in ran):
        yield "ran in another pool"
    if any(execution["path"] != request.path for execution in ran):
        yield "ran with another path"
    if any(execution["account"] != "library" for execution in ran):
        yield "ran for another account"
    if request.status == 200:
        if stream:
            yield from _check_events(records, request, ran)
        else:
            yield from _check_body(request)
    elif request.status == 404 and request.version:
        # _check_rollbacks checks whether the router had this version.
        pass
    elif request.status and request.status not in FLEET_STATUSES:
        yield "unexpected status of a valid request"
    yield from _check_completion(records, request, ran)


def _check_body(request: Request) -> Iterator[str]:
    if not request.complete:
        return
    try:
        document = json.loads(request.body)
    except ValueError:
        yield "the response is incomplete but ends as complete"
        return
    signature = sign(request.id, document["upstream"])
    if document["request"] != request.id:
        yield "got the response to another request"
    elif document["digest"] != request.digest:
        yield "ran with another body"
    elif request.headers.get("hornbeamyard-signature") != signature:
        yield "the signature is not the upstream's"


def _check_events(
    records: Records, request: Request, ran: list[dict[str, Any]]
) -> Iterator[str]:
    stream_id = request.resumes or request.id
    versions = [
        version
        for version in SOFTWARE_VERSIONS
        if _build_events(request, stream_id, version).startswith(request.body)
    ]
    if not versions:
        yield "events are missing, duplicated, mixed or of another request"
    elif request.complete and not any(
        _build_events(request, stream_id, version) == request.body
        for version in versions
    ):
        if _may_look_complete(records, request, ran):
            return
        yield "the stream ends as complete before its last event"


def _may_look_complete(
    records: Records, request: Request, ran: list[dict[str, Any]]
) -> bool:
    """Return whether nothing tells a truncated stream from a complete one.

    So it is when a fault ends the connection of an upstream between two
    events of a stream without length and chunks.
    """
    since, until = request.sent_at - SETTLING_TIME_S, request.ended_at
    return request.body.endswith(b"\n\n") and any(
        not execution["framed"]
        and records.is_affected(
            execution["upstream"].partition(".")[0], since, until
        )
        for execution in ran
    )


def _build_events(request: Request, stream_id: str, version: str) -> bytes:
    """Return all events that a request may get from one software version."""
    return b"".join(
        build_event(stream_id, number, version)
        for number in range(request.last_event + 1, EVENT_COUNT + 1)
    )


def _check_software_versions(records: Records) -> Iterator[str]:
    """Check that streams are continued at the version that began them."""
    versions: dict[str, set[bytes]] = defaultdict(set)
    for request in records.requests:
        pattern = rb"data: \S+ \d+ (\S+)\n\n"
        stream_id = request.resumes or request.id
        versions[stream_id].update(re.findall(pattern, request.body))
    for stream_id, found in versions.items():
        if len(found) > 1:
            yield (
                f"stream {stream_id} has events of the software versions "
                f"{sorted(found)}"
            )


def _check_completion(
    records: Records, request: Request, ran: list[dict[str, Any]]
) -> Iterator[str]:
    """Check that a request ends in time and, without a fault, completely."""
    router = f"router-{request.router}"
    since, until = request.sent_at - SETTLING_TIME_S, request.ended_at
    took_s = request.ended_at - request.sent_at
    if request.abandoned and took_s < TIMEOUT_MS / 1000:
        return
    if (
        took_s > TIMEOUT_MS / 1000 + TIMEOUT_TOLERANCE_S
        and not records.is_affected(router, since, until)
    ):
        yield "no complete response within the timeout"
    if request.complete or request.abandoned:
        return
    if request.status and ran:
        # The upstream may have broken off the stream.
        return
    if any(
        records.is_affected(fault.target, since, until, ("stop", ABSENT))
        for fault in records.faults
    ):
        return
    if ran or took_s > CLOSE_RACE_S:
        yield "connection closed without a response"


def _check_rollbacks(records: Records) -> Iterator[str]:
    """Check that no router returns to an older routing until it restarts."""
    served: dict[tuple[int, int], list[tuple[float, int]]] = defaultdict(list)
    for request in records.requests:
        if request.version and request.status == 200:
            process = (request.router, request.boot)
            served[process].append((request.ended_at, request.version))
    for request in records.requests:
        if not request.version or request.status != 404:
            continue
        if request.newest_submitted >= request.version + RETAINED_VERSIONS:
            # A newer routing may no longer have the route of this version.
            continue
        for ended_at, version in served[request.router, request.boot]:
            if ended_at < request.sent_at and version >= request.version:
                yield f"went back from version {version}: " + _describe(
                    request
                )
                break


# ---- what upstreams show -------------------------------------------------


def _record_crashes(records: Records, executions: Executions) -> None:
    """Record the crashes under requests as faults of their upstreams."""
    for ran in executions.values():
        for execution in ran:
            if execution["crashes"]:
                at = execution["at"]
                name = execution["upstream"].partition(".")[0]
                until = at + CRASHED_S + SETTLING_TIME_S
                records.faults.append(FaultRecord("crash", name, at, until))


def _is_cut_off(
    records: Records, fleet: Fleet, router: str, until: float
) -> bool:
    """Return whether a router may not know what others have learned."""
    since = until - LEARNING_TIME_S
    return records.is_affected(router, since, until) or all(
        records.is_affected(name, since, until)
        for name in fleet.processes
        if name.startswith("controller")
    )


def _check_crashes(
    records: Records, executions: Executions, fleet: Fleet
) -> Iterator[str]:
    """Check that what has crashed upstreams is blocked."""
    with_part = [r for r in records.requests if r.crashing]
    late = _list_late(records, executions, fleet, with_part, LEARNED_CRASHES)
    if len(late) > MAX_CRASHING:
        yield f"requests with a crashing part still reach upstreams: {late}"
    repeated = [r for r in records.requests if r.repeated]
    late = _list_late(
        records, executions, fleet, repeated, LEARNED_REPEATED_CRASHES
    )
    if len(late) > MAX_REPEATED:
        yield f"a repeated request still reaches upstreams: {late}"


def _list_late(
    records: Records,
    executions: Executions,
    fleet: Fleet,
    requests: list[Request],
    learned_crashes: int,
) -> list[str]:
    """Return the ids of requests that ran after they had to be blocked."""
    crashes = sorted(
        execution["at"]
        for request in requests
        for execution in executions.get(request.id, [])
        if execution["crashes"]
    )
    if len(crashes) < learned_crashes:
        return []
    known_at = crashes[learned_crashes - 1] + LEARNING_TIME_S
    return [
        request.id
        for request in requests
        if request.sent_at > known_at
        and executions.get(request.id)
        and not _is_cut_off(
            records, fleet, f"router-{request.router}", request.sent_at
        )
    ]


def _check_limits(records: Records, executions: Executions) -> Iterator[str]:
    """Check that upstreams don't get more than the limits that they name."""
    routers = {request.id: request.router for request in records.requests}
    by_upstream: dict[str, list[tuple[float, int, float | None]]]
    by_upstream = defaultdict(list)
    for id, ran in executions.items():
        for execution in ran:
            by_upstream[execution["upstream"]].append(
                (execution["at"], routers.get(id, -1), execution["max_rate"])
            )
    for upstream, arrivals in by_upstream.items():
        yield from _check_limit(records, upstream, sorted(arrivals))


def _check_limit(
    records: Records,
    upstream: str,
    arrivals: list[tuple[float, int, float | None]],
) -> Iterator[str]:
    limited = [entry for entry in arrivals if entry[2] is not None]
    if not limited:
        return
    known_at = limited[0][0] + LEARNING_TIME_S
    learned_at: dict[int, float] = {}
    counted = []
    for at, router, _ in limited:
        learned_at.setdefault(router, at)
        name = f"router-{router}"
        if records.is_affected(name, at - LEARNING_TIME_S, at):
            continue
        if at > known_at and at > learned_at[router] + LEARNED_S:
            counted.append(at)
    rate = limited[0][2] or 0.0
    allowed = LIMIT_FACTOR * rate * LIMIT_WINDOW_S + LIMIT_RESERVE
    for index, first in enumerate(counted):
        within = [t for t in counted[index:] if t < first + LIMIT_WINDOW_S]
        if len(within) > allowed:
            yield (
                f"{upstream} got {len(within)} requests in "
                f"{LIMIT_WINDOW_S:g} s from {first:.3f} on with a limit of "
                f"{rate:g} a second"
            )
            return


def _may_be_held(records: Records, execution: dict[str, Any]) -> bool:
    """Return whether a request may have been sent well before it ran."""
    name = execution["upstream"].partition(".")[0]
    return any(
        fault.target == name
        and fault.kind in HOLDING_KINDS
        and fault.started_at <= execution["at"] <= fault.affects_until
        for fault in records.faults
    )


def _check_evacuations(
    records: Records, executions: Executions, fleet: Fleet
) -> Iterator[str]:
    """Check that an evacuated zone gets no requests."""
    ends = [order.sent_at for order in records.orders[1:]] + [float("inf")]
    for order, until in zip(records.orders, ends, strict=False):
        if not order.evacuated or order.acknowledged_at is None:
            continue
        since = order.acknowledged_at + EVACUATION_TIME_S
        for request in records.requests:
            router = f"router-{request.router}"
            for execution in executions.get(request.id, []):
                at = execution["at"]
                if execution["zone"] != OTHER_ZONE or not since < at < until:
                    continue
                is_old = request.sent_at < since
                if is_old and _may_be_held(records, execution):
                    continue
                if not _is_cut_off(records, fleet, router, at):
                    yield (
                        f"{execution['upstream']} got {request.id} from "
                        f"{router} {at - since:.1f} s after its zone had to "
                        "be evacuated"
                    )


def _check_cold_starts(
    records: Records, executions: Executions, fleet: Fleet
) -> Iterator[str]:
    """Check that cold upstreams don't get more than they can take."""
    arrivals: dict[str, list[float]] = defaultdict(list)
    for ran in executions.values():
        for execution in ran:
            if execution["cold"] and not _may_be_held(records, execution):
                arrivals[execution["upstream"]].append(execution["at"])
    rate = fleet.plan.cold_rate
    allowed = COLD_FACTOR * rate * COLD_WINDOW_S + COLD_RESERVE
    for upstream, times in arrivals.items():
        most, first = _find_fullest(sorted(times), COLD_WINDOW_S)
        if most > allowed:
            yield (
                f"{upstream}, which was cold, got {most} requests in "
                f"{COLD_WINDOW_S:g} s from {first:.3f} on with a rate of "
                f"{rate:g} a second"
            )


def _find_fullest(times: list[float], window_s: float) -> tuple[int, float]:
    """Return the most arrivals in a window, and when that window begins."""
    return max(
        (sum(first <= t < first + window_s for t in times), first)
        for first in times
    )


def _check_crowds(records: Records) -> Iterator[str]:
    """Check that processes answer after a crowd; their exits are recorded."""
    for crowd in records.crowds:
        if not crowd.ended_at or crowd.answered:
            continue
        if not records.is_affected(
            crowd.target, crowd.began_at, crowd.ended_at
        ):
            yield (
                f"{crowd.target} answered no ordinary request from "
                f"{crowd.left_at:.3f} to {crowd.ended_at:.3f}, after a crowd"
            )


# ---- routings ------------------------------------------------------------


def _check_reads(records: Records) -> Iterator[str]:
    """Check that reads of the routing return the acknowledged versions."""
    contents: dict[int, str] = {}
    acknowledged = [s for s in records.submissions if s.status == 200]
    invalid = {s.digest for s in records.submissions if not s.valid}
    for submission in acknowledged:
        if not submission.valid:
            yield f"acknowledged an invalid version {submission.version}"
    for read in records.reads:
        newest = max(
            (s.version for s in acknowledged if s.answered_at <= read.sent_at),
            default=0,
        )
        if read.version < newest:
            yield (
                f"read version {read.version} from "
                f"{read.controller} after {newest} was acknowledged"
            )
        if read.digest in invalid:
            yield f"an invalid version {read.version} was read back"
        known = contents.setdefault(read.version, read.digest)
        if known != read.digest:
            yield f"version {read.version} has two contents"
