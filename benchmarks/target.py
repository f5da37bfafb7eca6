"""What control costs at the target size, worked out from measured slopes."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from .fit import Fit

# The target size of the design page.
ROUTERS = 1900
WORKERS = 10_000
ACCOUNTS = 16_000
POOLS = 27
REQUESTS_S = 82_000
TOKENS_S = 21_000_000
CHANGES_S = 42_000 / 86_400
RESTARTS_S = (84 + 740) / 86_400
CONTROL_HOSTS = 25
VERSIONS_KEPT = 10_000
CLAIMS_KEPT = 200_000
CLAIM_LIFETIME_S = 86_400
# Budgets of the design page.
CORE_SHARE = 0.014
MEMORY_B = 32e6
BYTES_S = 10e3
IN_FORCE_S = 16.0
# One event loop uses at most one core.
ONE_CORE = 1.0
# Bytes around one message: HTTP/2 frame 9, gRPC prefix 5, IP and TCP 52.
FRAME_B = 66
# Accounts with a running request at one router in one pool: 44,000 slots.
ACTIVE = 23
# The busiest control host holds the schedules of this many pools.
POOLS_A_HOST = math.ceil(POOLS / CONTROL_HOSTS)

Fits = Mapping[str, Fit]
Figures = Mapping[str, float]


@dataclass(slots=True)
class Line:
    """One part of a budget.

    Attributes
    ----------
    what, mechanism : str
    value, error : float
    source : str
        `measured` at the size, from a `slope`, or `counted`.
    """

    what: str
    mechanism: str
    value: float
    error: float
    source: str


@dataclass(slots=True)
class Budget:
    """A resource of one role, with what uses it.

    Attributes
    ----------
    role, resource, unit : str
    limit : float or None
        None where the design page sets no limit.
    lines : list of Line
    remedy : str
        The change of the design that would meet the limit.
    left_out : str
        What the figures don't hold, so that they can't prove the limit.
    """

    role: str
    resource: str
    unit: str
    limit: float | None
    lines: list[Line]
    remedy: str = ""
    left_out: str = ""

    def compute_total(self) -> tuple[float, float]:
        """Return the sum of the lines and its error."""
        total = sum(line.value for line in self.lines)
        return total, math.hypot(*(line.error for line in self.lines))

    def judge(self) -> str:
        """Return the verdict on this budget."""
        total, error = self.compute_total()
        if self.limit is None:
            return "no limit is set"
        if total - error > self.limit:
            largest = max(self.lines, key=lambda line: line.value)
            return (
                f"**not met**: {total / self.limit:.1f} times the limit; "
                f"the largest part is {largest.what}"
            )
        if total + error > self.limit:
            return "not proved: the limit is within the error"
        if self.left_out:
            return f"not proved: {self.left_out}"
        sources = {line.source for line in self.lines}
        if "slope" in sources:
            return "met by a slope"
        if "counted" in sources:
            return "met by measured figures at the rate of the design page"
        return "met by measurement"


def build_budgets(fits: Fits, target: Figures) -> list[Budget]:
    """Return the budgets of all roles at the target size."""
    return [
        _budget_router_bytes(fits, target),
        _budget_router_cpu(fits, target),
        _budget_router_memory(fits, target),
        _budget_schedule_cpu(fits, target),
        _budget_schedule_memory(fits, target),
        _budget_log_cpu(fits, target),
        _budget_log_memory(fits, target),
        _budget_hosts(fits, target),
        _budget_version(target),
    ]


def _slope(fit: Fit, times: float, what: str, mechanism: str) -> Line:
    return Line(
        what, mechanism, fit.slope * times, fit.slope_error * times, "slope"
    )


def _at(
    fit: Fit, size: float, times: float, what: str, mechanism: str
) -> Line:
    value, error = fit.predict(size)
    return Line(what, mechanism, value * times, error * times, "slope")


def _measured(value: float, what: str, mechanism: str) -> Line:
    return Line(what, mechanism, value, 0.0, "measured")


def _counted(value: float, what: str, mechanism: str) -> Line:
    return Line(what, mechanism, value, 0.0, "counted")


def _budget_router_bytes(fits: Fits, target: Figures) -> Budget:
    events = CONTROL_HOSTS * 2 * RESTARTS_S
    lines = [
        _at(
            fits["router/pools/report_bytes"],
            POOLS,
            1.0,
            "reports",
            "demand that changed, each second, for each of 27 pools",
        ),
        _measured(
            target["schedule/allocation_bytes"] / ROUTERS * POOLS,
            "allocations",
            "limits, lags and grants that changed, one plan a second",
        ),
        _slope(
            fits["link/workers/report_bytes"],
            WORKERS / ROUTERS,
            "heartbeats sent on",
            "names of upstreams that renewed their lease at this router",
        ),
        _slope(
            fits["link/workers/update_bytes"],
            WORKERS,
            "heartbeats received",
            "lease renewals of all upstreams of the router's pools",
        ),
        _counted(
            target["version/delta_bytes"] * CHANGES_S,
            "versions",
            "0.49 patches a second",
        ),
        _slope(
            fits["link/routers/attach_bytes"],
            events,
            "lists of routers",
            "one name from each control host after a start or loss",
        ),
        _counted(
            CONTROL_HOSTS * 2 * FRAME_B,
            "frames",
            "one report and one update a second on each of 25 streams",
        ),
    ]
    return Budget(
        "router",
        "messages",
        "B/s",
        BYTES_S,
        lines,
        "send the list of routers from one control host; send a lag only "
        "when it moved by more than the stickiness; renew a stream without "
        "news every 2 s",
    )


def _budget_router_cpu(fits: Fits, target: Figures) -> Budget:
    lines = [
        _at(
            fits["router/configured accounts/report_cpu_s"],
            ACCOUNTS,
            POOLS,
            "collecting reports",
            "looks at every configured account in every pool, each second",
        ),
        _at(
            fits["router/active accounts/apply_cpu_s"],
            ACTIVE,
            POOLS,
            "applying allocations",
            "one allocation for each pool, each second",
        ),
        _at(
            fits["stream/streams/exchange_cpu_s"],
            CONTROL_HOSTS,
            1.0,
            "streams",
            "one report and one update a second on each of 25 gRPC streams",
        ),
        _counted(
            target["version/router_cpu_s"] * CHANGES_S,
            "versions",
            "0.49 patches a second, each checks the entries that it touches",
        ),
    ]
    return Budget(
        "router",
        "processor time added by control",
        "cores",
        CORE_SHARE,
        lines,
        "keep a set of accounts with news, so that a report costs by what "
        "changed; check and rebuild only the part of the document that a "
        "patch touches; one report every 2 s on a stream without news",
    )


def _budget_router_memory(fits: Fits, target: Figures) -> Budget:
    lines = [
        _at(
            fits["router/configured accounts/state_bytes"],
            ACCOUNTS,
            POOLS,
            "pools",
            "entries of accounts with requests, in each of 27 pools",
        ),
        _measured(
            target["router/accounts_bytes"],
            "shares and bounds",
            "one mapping of all configured accounts for all pools",
        ),
        _measured(
            target["version/router_bytes"],
            "configuration",
            "document and parsed version",
        ),
        _slope(
            fits["name/names/state_bytes"],
            ACCOUNTS + WORKERS,
            "names in streams",
            "a number for each account and worker, when each is in one pool",
        ),
    ]
    return Budget(
        "router",
        "memory added by control",
        "B",
        MEMORY_B,
        lines,
        "keep either the document or the parsed version, not both; number "
        "accounts by their place in the configuration version instead of in "
        "each stream",
    )


def _count_schedule_cpu(target: Figures) -> float:
    return sum(
        target[f"schedule/{name}"]
        for name in ("plan_cpu_s", "encode_cpu_s", "report_cpu_s")
    )


def _budget_schedule_cpu(fits: Fits, target: Figures) -> Budget:
    lines = [
        _measured(target[f"schedule/{figure}"] * POOLS_A_HOST, what, mechanism)
        for figure, what, mechanism in (
            ("plan_cpu_s", "plans", "one a second for each of 2 pools"),
            ("encode_cpu_s", "encoding allocations", "1,900 a plan"),
            ("report_cpu_s", "merging reports", "1,900 a second and pool"),
        )
    ]
    lines.append(
        _slope(
            fits["stream/streams/exchange_cpu_s"],
            ROUTERS,
            "streams",
            "1,900 gRPC streams, at the processor time of the router's side",
        )
    )
    return Budget(
        "lead controller with schedules",
        "processor time",
        "cores",
        ONE_CORE,
        lines,
        "plan by the routers and accounts that reported a change instead of "
        "all of them, place an account's slots over the routers where it "
        "has demand only, and let several processes share a control host, "
        "each with its own pools",
    )


def _budget_schedule_memory(fits: Fits, target: Figures) -> Budget:
    lines = [
        _measured(
            target["memory/daemon"], "process", "interpreter and libraries"
        ),
        _measured(
            target["schedule/state_bytes"] * POOLS_A_HOST,
            "schedules",
            "tags, demand and slots by router, 2 pools",
        ),
        _slope(
            fits["name/names/state_bytes"],
            ROUTERS * (ACCOUNTS + WORKERS) / CONTROL_HOSTS,
            "names in streams",
            "1,900 streams, accounts and workers divided over the hosts",
        ),
        _measured(target["version/state_bytes"], "configuration", "document"),
    ]
    return Budget("lead controller with schedules", "memory", "B", None, lines)


def _budget_log_cpu(fits: Fits, target: Figures) -> Budget:
    lines = [
        _counted(
            target["version/apply_cpu_s"] * CHANGES_S,
            "changes",
            "0.49 a second, each checks the whole document",
        ),
        _counted(
            CLAIMS_KEPT
            / CLAIM_LIFETIME_S
            * fits["claim/batch size/cpu_s_per_claim"].values[0],
            "claims",
            "at the rate that the bound of the table allows, unbatched, "
            "three controllers together",
        ),
    ]
    return Budget(
        "controller with the log", "processor time", "cores", ONE_CORE, lines
    )


def _budget_log_memory(fits: Fits, target: Figures) -> Budget:
    lines = [
        _measured(
            target["memory/daemon"], "process", "interpreter and libraries"
        ),
        _measured(target["version/state_bytes"], "configuration", "document"),
        _slope(
            fits["history/changes/state_bytes"],
            VERSIONS_KEPT,
            "patch outcomes",
            "kept for 10,000 versions",
        ),
        _slope(
            fits["claim/claims/state_bytes"],
            CLAIMS_KEPT,
            "claims",
            "a full table of 200,000, without recorded answers",
        ),
    ]
    return Budget("controller with the log", "memory", "B", None, lines)


def _budget_hosts(fits: Fits, target: Figures) -> Budget:
    streams = fits["stream/streams/exchange_cpu_s"].slope * ROUTERS
    room = ONE_CORE - streams
    needed = (
        POOLS * _count_schedule_cpu(target) / room if room > 0 else math.inf
    )
    return Budget(
        "control hosts",
        "hosts set aside, one process each",
        "hosts",
        float(CONTROL_HOSTS),
        [
            _measured(
                float(math.ceil(needed)) if room > 0 else needed,
                "schedules",
                "27 pools with one plan a second, and 1,900 streams to each",
            ),
            _counted(3.0, "log", "three controllers with the log"),
        ],
        "as for the lead controller; or one process for each core of a "
        "control host",
    )


def _budget_version(target: Figures) -> Budget:
    return Budget(
        "whole fleet",
        "time until a version is in force, processor time only",
        "s",
        IN_FORCE_S,
        [
            _measured(
                target["version/apply_cpu_s"],
                "checking at the controller",
                "whole document",
            ),
            _measured(
                target["version/apply_cpu_s"],
                "checking at a control host",
                "fan-out through the control hosts",
            ),
            _measured(
                target["version/router_cpu_s"],
                "checking at a router",
                "the entries that a patch touches",
            ),
        ],
        left_out="the network, queues and the fan-out were not measured",
    )
