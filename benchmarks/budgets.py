"""Budgets of the control plane, and what uses them at the target size.

The use is computed from measured figures and from slopes of fitted lines.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from .fit import Fit

# Target size of the fleet, from the design page.
ROUTERS = 1900
WORKERS = 10_000
ACCOUNTS = 16_000
POOLS = 27
REQUESTS_PER_S = 82_000
TOKENS_PER_S = 21_000_000
CHANGES_PER_S = 42_000 / 86_400
# 84 hosts are lost and 740 are restarted each day.
STARTS_AND_LOSSES_PER_S = (84 + 740) / 86_400
CONTROL_HOSTS = 25
RETAINED_VERSIONS = 10_000
MAX_CLAIMS = 200_000
CLAIM_LIFETIME_S = 86_400
# Budgets of one router, and the time until a version is in force everywhere,
# from the design page.
CPU_BUDGET_CORES = 0.014
MEMORY_BUDGET_BYTES = 32e6
TRAFFIC_BUDGET_BYTES_PER_S = 10e3
PROPAGATION_BUDGET_S = 16.0
# One event loop uses at most one core.
MAX_PROCESS_CORES = 1.0
# HTTP/2 frame header (9), gRPC prefix (5), IP and TCP headers (52) of one
# message.
FRAMING_BYTES = 66
# Accounts with a running request at one router in one pool: its 44,000 slots
# divided over 1,900 routers.
ACTIVE_ACCOUNTS = 23
# Schedules on the control host that has most of them.
POOLS_PER_HOST = math.ceil(POOLS / CONTROL_HOSTS)

Fits = Mapping[str, Fit]
Figures = Mapping[str, float]


@dataclass(slots=True)
class BudgetLine:
    """One part of a budget's use.

    Attributes
    ----------
    part : str
        What uses the resource.
    mechanism : str
        How this use comes about.
    value, error : float
        In the unit of the budget.
    source : str
        `measured` at the target size, from a `slope`, or `counted` from
        measured figures and a rate of the design page.
    """

    part: str
    mechanism: str
    value: float
    error: float
    source: str


@dataclass(slots=True)
class Budget:
    """A resource of one role and the parts that use it.

    Attributes
    ----------
    role, resource, unit : str
    limit : float or None
        None where the design page sets no limit.
    lines : list of BudgetLine
    remedy : str
        Change of the design that would meet the limit.
    left_out : str
        What the figures don't contain, so that they can't prove the limit.
    """

    role: str
    resource: str
    unit: str
    limit: float | None
    lines: list[BudgetLine]
    remedy: str = ""
    left_out: str = ""

    def compute_total(self) -> tuple[float, float]:
        """Return the sum of the lines and its error."""
        total = sum(line.value for line in self.lines)
        return total, math.hypot(*(line.error for line in self.lines))

    def assess(self) -> str:
        """Return whether the limit is met, as a phrase for the page."""
        total, error = self.compute_total()
        if self.limit is None:
            return "no limit is set"
        if total - error > self.limit:
            largest = max(self.lines, key=lambda line: line.value)
            return (
                f"**not met**: {total / self.limit:.1f} times the limit; "
                f"the largest part is {largest.part}"
            )
        if total + error > self.limit:
            return "not proved: the limit is within the error of the figure"
        if self.left_out:
            return f"not proved: {self.left_out}"
        sources = {line.source for line in self.lines}
        if "slope" in sources:
            return "met, from fitted slopes"
        if "counted" in sources:
            return "met, from measured figures and rates of the design page"
        return "met, as measured"


def build_budgets(fits: Fits, target: Figures) -> list[Budget]:
    """Return the budgets of all roles, with their use at the target size.

    Parameters
    ----------
    fits : mapping of str to Fit
        By `group/against/figure`.
    target : mapping of str to float
        Figures measured at the target size, by `group/figure`.
    """
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


def _from_slope(
    fit: Fit, times: float, part: str, mechanism: str
) -> BudgetLine:
    """Return a line for `times` units at the slope of a fit."""
    return BudgetLine(
        part, mechanism, fit.slope * times, fit.slope_error * times, "slope"
    )


def _from_fit(
    fit: Fit, size: float, times: float, part: str, mechanism: str
) -> BudgetLine:
    """Return a line for `times` the value of a fit at a size."""
    value, error = fit.predict(size)
    return BudgetLine(part, mechanism, value * times, error * times, "slope")


def _from_measurement(value: float, part: str, mechanism: str) -> BudgetLine:
    """Return a line for a figure measured at the target size."""
    return BudgetLine(part, mechanism, value, 0.0, "measured")


def _from_count(value: float, part: str, mechanism: str) -> BudgetLine:
    """Return a line for a measured figure times a rate."""
    return BudgetLine(part, mechanism, value, 0.0, "counted")


def _budget_router_bytes(fits: Fits, target: Figures) -> Budget:
    starts_and_losses = CONTROL_HOSTS * 2 * STARTS_AND_LOSSES_PER_S
    lines = [
        _from_fit(
            fits["router/pools/report_bytes"],
            POOLS,
            1.0,
            "reports",
            "changes of demand, each second, for each of 27 pools",
        ),
        _from_measurement(
            target["schedule/allocation_bytes"] / ROUTERS * POOLS,
            "allocations",
            "changes of limits, excess service and slot grants, one plan a "
            "second",
        ),
        _from_slope(
            fits["link/workers/report_bytes"],
            WORKERS / ROUTERS,
            "heartbeats forwarded",
            "names of upstreams that renewed their lease at this router",
        ),
        _from_slope(
            fits["link/workers/update_bytes"],
            WORKERS,
            "heartbeats received",
            "lease renewals of all upstreams of the router's pools",
        ),
        _from_count(
            target["version/delta_bytes"] * CHANGES_PER_S,
            "versions",
            "0.49 patches a second",
        ),
        _from_slope(
            fits["link/routers/attach_bytes"],
            starts_and_losses,
            "lists of routers",
            "one name from each control host after each start or loss",
        ),
        _from_count(
            CONTROL_HOSTS * 2 * FRAMING_BYTES,
            "message framing",
            "one report and one update a second on each of 25 streams",
        ),
    ]
    return Budget(
        "router",
        "messages",
        "B/s",
        TRAFFIC_BUDGET_BYTES_PER_S,
        lines,
        "send the list of routers from one control host only; send an "
        "account's excess service only when it changed by more than the "
        "threshold for moving a slot (`STICKINESS_S`); renew a stream without "
        "changes every 2 s",
    )


def _budget_router_cpu(fits: Fits, target: Figures) -> Budget:
    lines = [
        _from_fit(
            fits["router/configured accounts/report_cpu_s"],
            ACCOUNTS,
            POOLS,
            "collecting reports",
            "checks every configured account in every pool, each second",
        ),
        _from_fit(
            fits["router/active accounts/apply_cpu_s"],
            ACTIVE_ACCOUNTS,
            POOLS,
            "applying allocations",
            "one allocation for each pool, each second",
        ),
        _from_fit(
            fits["stream/streams/exchange_cpu_s"],
            CONTROL_HOSTS,
            1.0,
            "streams",
            "one report and one update a second on each of 25 gRPC streams",
        ),
        _from_count(
            target["version/router_cpu_s"] * CHANGES_PER_S,
            "versions",
            "0.49 patches a second; each checks the entries that it affects",
        ),
    ]
    return Budget(
        "router",
        "processor time added by control",
        "cores",
        CPU_BUDGET_CORES,
        lines,
        "keep a set of the accounts that changed, so that the cost of a "
        "report depends on the number of changes; check and rebuild only the "
        "part of the document that a patch affects; send one report every "
        "2 s on a stream without changes",
    )


def _budget_router_memory(fits: Fits, target: Figures) -> Budget:
    lines = [
        _from_fit(
            fits["router/configured accounts/state_bytes"],
            ACCOUNTS,
            POOLS,
            "pools",
            "entries of accounts with requests, in each of 27 pools",
        ),
        _from_measurement(
            target["router/accounts_bytes"],
            "shares and bounds",
            "one mapping of all configured accounts for all pools",
        ),
        _from_measurement(
            target["version/router_bytes"],
            "configuration",
            "document and parsed version",
        ),
        _from_slope(
            fits["name/names/state_bytes"],
            ACCOUNTS + WORKERS,
            "names in streams",
            "a number for each account and worker, if each is in one pool",
        ),
    ]
    return Budget(
        "router",
        "memory added by control",
        "B",
        MEMORY_BUDGET_BYTES,
        lines,
        "keep either the document or the parsed version, not both; number "
        "accounts by their position in the configuration version instead of "
        "separately in each stream",
    )


def _count_schedule_cpu(target: Figures) -> float:
    return sum(
        target[f"schedule/{name}"]
        for name in ("plan_cpu_s", "encode_cpu_s", "report_cpu_s")
    )


def _budget_schedule_cpu(fits: Fits, target: Figures) -> Budget:
    lines = [
        _from_measurement(
            target[f"schedule/{figure}"] * POOLS_PER_HOST, part, mechanism
        )
        for figure, part, mechanism in (
            ("plan_cpu_s", "plans", "one a second for each of 2 pools"),
            ("encode_cpu_s", "encoding allocations", "1,900 for each plan"),
            (
                "report_cpu_s",
                "merging reports",
                "1,900 a second for each pool",
            ),
        )
    ]
    lines.append(
        _from_slope(
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
        MAX_PROCESS_CORES,
        lines,
        "plan only for the routers and accounts that reported a change, "
        "place an account's slots only at routers where it has demand, and "
        "run several processes on a control host, each with its own pools",
    )


def _budget_schedule_memory(fits: Fits, target: Figures) -> Budget:
    lines = [
        _from_measurement(
            target["memory/daemon"], "process", "interpreter and libraries"
        ),
        _from_measurement(
            target["schedule/state_bytes"] * POOLS_PER_HOST,
            "schedules",
            "tags, demand and slots by router, 2 pools",
        ),
        _from_slope(
            fits["name/names/state_bytes"],
            ROUTERS * (ACCOUNTS + WORKERS) / CONTROL_HOSTS,
            "names in streams",
            "1,900 streams, with accounts and workers divided over the hosts",
        ),
        _from_measurement(
            target["version/state_bytes"], "configuration", "document"
        ),
    ]
    return Budget("lead controller with schedules", "memory", "B", None, lines)


def _budget_log_cpu(fits: Fits, target: Figures) -> Budget:
    lines = [
        _from_count(
            target["version/apply_cpu_s"] * CHANGES_PER_S,
            "changes",
            "0.49 a second; each checks the whole document",
        ),
        _from_count(
            MAX_CLAIMS
            / CLAIM_LIFETIME_S
            * fits["claim/batch size/cpu_s_per_claim"].values[0],
            "claims",
            "highest rate that the table's size limit allows, one claim in "
            "each batch, sum of three controllers",
        ),
    ]
    return Budget(
        "controller with the log",
        "processor time",
        "cores",
        MAX_PROCESS_CORES,
        lines,
    )


def _budget_log_memory(fits: Fits, target: Figures) -> Budget:
    lines = [
        _from_measurement(
            target["memory/daemon"], "process", "interpreter and libraries"
        ),
        _from_measurement(
            target["version/state_bytes"], "configuration", "document"
        ),
        _from_slope(
            fits["history/changes/state_bytes"],
            RETAINED_VERSIONS,
            "patch outcomes",
            "kept for 10,000 versions",
        ),
        _from_slope(
            fits["claim/claims/state_bytes"],
            MAX_CLAIMS,
            "claims",
            "a full table of 200,000, without recorded responses",
        ),
    ]
    return Budget("controller with the log", "memory", "B", None, lines)


def _budget_hosts(fits: Fits, target: Figures) -> Budget:
    streams = fits["stream/streams/exchange_cpu_s"].slope * ROUTERS
    free_cores = MAX_PROCESS_CORES - streams
    needed = (
        POOLS * _count_schedule_cpu(target) / free_cores
        if free_cores > 0
        else math.inf
    )
    return Budget(
        "control hosts",
        "dedicated hosts, one process each",
        "hosts",
        float(CONTROL_HOSTS),
        [
            _from_measurement(
                float(math.ceil(needed)) if free_cores > 0 else needed,
                "schedules",
                "27 pools with one plan a second, and 1,900 streams to each",
            ),
            _from_count(3.0, "log", "three controllers with the log"),
        ],
        "the same changes as for the lead controller, or one process for "
        "each core of a control host",
    )


def _budget_version(target: Figures) -> Budget:
    return Budget(
        "whole fleet",
        "time until a version is in force, processor time only",
        "s",
        PROPAGATION_BUDGET_S,
        [
            _from_measurement(
                target["version/apply_cpu_s"],
                "checking at the controller",
                "whole document",
            ),
            _from_measurement(
                target["version/apply_cpu_s"],
                "checking at a control host",
                "fan-out through the control hosts",
            ),
            _from_measurement(
                target["version/router_cpu_s"],
                "checking at a router",
                "the entries that a patch affects",
            ),
        ],
        left_out="the network, queues and the fan-out were not measured",
    )
