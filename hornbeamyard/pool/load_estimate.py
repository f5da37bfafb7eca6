"""Present load of upstreams, estimated from old knowledge.

A router knows its own requests exactly. What the other routers have sent is
known from the fleet's usage, some tenths of a second late: much of that work
has been done since, and other work has come.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import replace
from functools import singledispatch

from .demand import RequestDemand
from .engine import (
    NO_COPY_SOURCE,
    CopySource,
    Engine,
    Estimate,
    Server,
    estimate,
)

# Time constant with which a reported slowdown fades. Slow phases of 0.6 s were
# seen, in which a machine's work took 2.5 times as long.
SLOWDOWN_FADE_S = 0.6
# Bounds of the slowdown that estimates use, so that a wrong report neither
# shuts an upstream out nor draws all requests to it.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 4.0
# Mean age of a fleet usage on arrival: routers report and the leader sends at
# intervals of 0.25 s.
USAGE_AGE_S = 0.175
# Time constant with which differences between upstreams in a usage fade, as
# the other routers react to them too. With 0.3 s or more, routers react twice
# to the same difference.
DIFFERENCE_FADE_S = 0.15
# Load of a plain service, in requests per slot, below which it has room.
# With 2, requests were refused although upstreams had room.
MAX_SERVICE_LOAD = 3.0
# Load of a plain service from the other routers, in requests per slot, beyond
# which they hold or refuse requests themselves. Expecting more let all routers
# refuse until the next usage, while upstreams ran idle.
MAX_OTHERS_LOAD = 2.0
# Work ahead of an engine at which it has no room left, in ms.
ENGINE_ROOM_MS = 350.0
# Least room that an upstream is taken to have, as a fraction of its capacity.
MIN_ROOM = 0.05


def compute_slowdown(server: Server, now: float) -> float:
    """Return how many times its usual time an upstream's work takes now."""
    reported = server.reported
    if reported is None or reported.slowdown is None:
        return 1.0
    bounded = min(max(reported.slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
    age_s = max(0.0, now - server.reported_at)
    return 1.0 + (bounded - 1.0) * math.exp(-age_s / SLOWDOWN_FADE_S)


def compute_duration_ms(server: Server, usual_ms: float, now: float) -> float:
    """Return how long work takes that begins now, as the slowdown fades."""
    slowdown = compute_slowdown(server, now)
    if slowdown == 1.0:
        return usual_ms
    fade_ms = SLOWDOWN_FADE_S * 1000
    slowed_ms = fade_ms * (1.0 - math.exp(-usual_ms / fade_ms))
    return usual_ms + (slowdown - 1.0) * slowed_ms


@singledispatch
def count_own(server: Server) -> float:
    """Return this router's requests, or an engine's tokens to prefill."""
    return server.own_load.running


@count_own.register
def _(server: Engine) -> float:
    return server.own_load.prefill_tokens


@singledispatch
def count_others(server: Server) -> float:
    """Return the other routers' load as of the last usage."""
    return server.others_load.running


@count_others.register
def _(server: Engine) -> float:
    return server.others_load.prefill_tokens


@singledispatch
def _get_capacity(server: Server) -> float:
    """Return the capacity by which routers share work between upstreams."""
    return max(1, server.upstream.slots)


@_get_capacity.register
def _(server: Engine) -> float:
    return 1.0 / server.prefill_ms_per_token


@singledispatch
def _apply_report(server: Server, expected: float, now: float) -> float:
    """Return the expected load, closer to that in a newer response."""
    is_newer = server.reported_at > server.others_load_at - USAGE_AGE_S
    if server.reported is None or not is_newer:
        return expected
    age_s = max(0.0, now - server.reported_at)
    left = math.exp(-age_s / DIFFERENCE_FADE_S)
    return expected + (server.reported_others - expected) * left


@_apply_report.register
def _(server: Engine, expected: float, now: float) -> float:
    # Responses don't state the tokens that are to be prefilled.
    return expected


def expect_others(
    servers: Collection[Server], usage_at: float, now: float
) -> dict[str, float]:
    """Return the other routers' expected load on each upstream.

    The pool's load is taken to be as in the last usage. Differences between
    the upstreams fade towards a division by their capacity: what they have
    done since was replaced by requests of routers that knew the differences.
    What a newer response stated fades likewise.

    Parameters
    ----------
    servers : collection of Server
        Upstreams of one kind.
    usage_at, now : float
        Monotonic times in seconds of the last usage and of the decision.

    Returns
    -------
    dict of str to float
        Requests of plain services, tokens to prefill of engines, by id.
    """
    known = {server.id: count_others(server) for server in servers}
    capacities = {server.id: _get_capacity(server) for server in servers}
    load = sum(known.values()) / max(sum(capacities.values()), 1e-9)
    age_s = max(0.0, now - usage_at) + USAGE_AGE_S
    left = math.exp(-age_s / DIFFERENCE_FADE_S)
    expected = {}
    for server in servers:
        even = load * capacities[server.id]
        others = even + (known[server.id] - even) * left
        expected[server.id] = _apply_report(server, others, now)
    return expected


@singledispatch
def estimate_work_ms(server: Server, others: float, now: float) -> float:
    """Return the time of an upstream's present work, in ms."""
    load = count_own(server) + others
    request_ms = compute_duration_ms(server, server.work_ms, now)
    return load * request_ms / max(1, server.upstream.slots)


@estimate_work_ms.register
def _(server: Engine, others: float, now: float) -> float:
    usual_ms = (count_own(server) + others) * server.prefill_ms_per_token
    return compute_duration_ms(server, usual_ms, now)


@singledispatch
def compute_room(server: Server, load: float, now: float) -> float:
    """Return an upstream's free capacity, to weigh it in a random choice.

    Parameters
    ----------
    server : Server
    load : float
        Requests of a plain service, tokens to prefill of an engine.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Above 0; in requests or tokens per ms.
    """
    limit = MAX_SERVICE_LOAD * max(1, server.upstream.slots)
    request_ms = max(server.work_ms * compute_slowdown(server, now), 0.001)
    return limit * max(1.0 - load / limit, MIN_ROOM) / request_ms


@compute_room.register
def _(server: Engine, load: float, now: float) -> float:
    token_ms = server.prefill_ms_per_token * compute_slowdown(server, now)
    return max(1.0 - load * token_ms / ENGINE_ROOM_MS, MIN_ROOM) / token_ms


@singledispatch
def forecast(
    server: Server,
    others: float,
    demand: RequestDemand,
    now: float,
    is_preferred: bool,
    copy_source: CopySource = NO_COPY_SOURCE,
) -> Estimate:
    """Estimate what a request would cost, as `engine.estimate` does.

    Parameters
    ----------
    server : Server
    others : float
        Expected load of the other routers, see `expect_others`.
    demand, now, is_preferred, copy_source
        As for `engine.estimate`.
    """
    slots = max(1, server.upstream.slots)
    load = count_own(server) + min(others, MAX_OTHERS_LOAD * slots)
    service_ms = compute_duration_ms(server, server.work_ms, now)
    wait_ms = max(0.0, load - slots + 1) * service_ms / slots
    has_room = load < MAX_SERVICE_LOAD * slots
    return Estimate(wait_ms, service_ms, 0, 0, 0, has_room)


@forecast.register
def _(
    server: Engine,
    others: float,
    demand: RequestDemand,
    now: float,
    is_preferred: bool,
    copy_source: CopySource = NO_COPY_SOURCE,
) -> Estimate:
    known = estimate(server, demand, now, is_preferred, copy_source)
    if is_preferred or server.get_part_used_at(demand.affinity) >= 0:
        # All routers come here for the part, whatever the differences are.
        wait_ms = compute_duration_ms(server, known.wait_ms, now)
    else:
        wait_ms = estimate_work_ms(server, others, now)
    return replace(
        known,
        wait_ms=wait_ms,
        prefill_ms=compute_duration_ms(server, known.prefill_ms, now),
    )
