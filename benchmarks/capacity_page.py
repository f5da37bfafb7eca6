"""Builds the page docs/CAPACITY.md from one run of the benchmark."""

from __future__ import annotations

from . import budgets as target_size
from .budgets import Budget, Figures, Fits, build_budgets

# Values and relative errors below this are rounding errors of a fit.
NEGLIGIBLE = 1e-9

_HEAD = """\
# Capacity

`python -m benchmarks.capacity --page docs/CAPACITY.md` writes this page from
one run, with fixed text around the figures. Don't edit it.

## What is counted

- **Processor time** is user and system time of one process, never wall time.
  Sweeps use the lowest figure of several runs, because other programs on the
  machine can only increase it.
- **Memory of the process and memory added by control:** an interpreter with
  the libraries loaded uses memory before it holds any state, and so does a
  router that only forwards requests. The budget of 32 MB is compared with the
  memory that control adds to such a router; the memory of the whole process
  is listed separately.
- **State** is the memory that Python allocates for it (tracemalloc).
  **Messages** are encoded sizes; the framing of HTTP/2, gRPC, TCP and IP is
  listed separately.
- A figure is *measured* at the target size, taken from a *slope* fitted over
  at least four sizes, or *counted* from measured figures and a rate of the
  design page. The error is one standard error of the fit; a measured figure
  comes from one run, so no error is given.

## Control plane at the target size

- Pools are divided over at most 25 control hosts. Each pool's schedule is on
  one of them under an epoch from the log, so the busiest hosts hold two.
- A router keeps one stream to each control host whose pools it uses; here
  these are all 25, because every router serves every model.
- A pool has 44,000 slots on 370 workers, so 23 of its requests run at each
  router. The figures for one pool were measured with 1,900 routers,
  16,000 configured accounts and 1,600 backlogged ones.
- Configuration versions reach 1,900 routers by fan-out through the control
  hosts. 42,000 changes a day are 0.49 a second; they are sent as patches.
- Claims are divided over several logs by a hash of account and key.
- Requests cause no control messages of their own. Where a measurement below
  shows one, the target is not met.

The division over control hosts and over several logs isn't implemented: one
lead controller holds all schedules, and one log holds all claims. The figures
for roles apply the slopes of the current modules to the division above.
"""

_NOT_MEASURED = """\
## Targets without a measurement

- **First token within 1.5 s and 56 ms between tokens for 95%:** not proved.
  No run had the load of the target size.
- **A version in force everywhere within 16 s:** the processor time of the
  parts is listed above; the fan-out through control hosts isn't implemented,
  and no run had 1,900 routers.
- **84 hosts lost and 740 restarted a day, loss of a rack, an availability
  zone or the link between regions:** the messages after a start or a loss are
  counted above. No run had such a fleet.
"""


# Heading of the section that other benchmarks measure. It and what follows it
# stays when the page is written again.
KEPT_HEADING = "## Processor time of processes\n"


def read_kept_section(page: str) -> str:
    """Return the part of a page that isn't written anew."""
    _, heading, content = page.partition(KEPT_HEADING)
    return f"\n{heading}{content}" if heading else ""


def build_page(fits: Fits, target: Figures) -> str:
    """Return the page for the fits and figures of one run."""
    budgets = build_budgets(fits, target)
    parts = [_HEAD, _build_verdicts_section(budgets, fits, target)]
    role = ""
    for budget in budgets:
        if budget.role != role:
            role = budget.role
            parts.append(f"## {role[0].upper()}{role[1:]}\n")
        parts.append(_build_budget_section(budget))
    parts += [
        _build_memory_section(target),
        _build_claims_section(fits),
        _NOT_MEASURED,
        _build_fits_section(fits),
    ]
    return "\n".join(parts)


def _build_verdicts_section(
    budgets: list[Budget], fits: Fits, target: Figures
) -> str:
    rows = [
        "## Verdicts\n",
        "| role | quantity | figure | limit | verdict |",
        "|---|---|---|---|---|",
    ]
    for budget in budgets:
        if budget.limit is None:
            continue
        total, error = budget.compute_total()
        rows.append(
            f"| {budget.role} | {budget.resource} | "
            f"{_format(total, error, budget.unit)} | "
            f"{_format(budget.limit, 0.0, budget.unit)} | {budget.assess()} |"
        )
    rows.append(_build_urgent_row(fits))
    rows += _build_load_rows(target)
    return "\n".join(rows) + "\n"


def _build_urgent_row(fits: Fits) -> str:
    fit = fits["urgent/requests a second/messages"]
    slope = fit.slope
    verdict = "met, from a fitted slope"
    if slope - fit.slope_error > 0.05:
        verdict = (
            "**not met**: requests of accounts without a backlog cause "
            "urgent reports; increase the time between urgent reports with "
            "the number of streams, and leave each router a reserve of slots "
            "for such accounts"
        )
    return (
        "| router | control messages for each request of an account without "
        f"a backlog in a contended pool | {slope:.2f} ± {fit.slope_error:.2f} "
        f"| 0 | {verdict} |"
    )


def _build_load_rows(target: Figures) -> list[str]:
    if "forward/chunk_us" not in target:
        return [
            "| router | load of a node: 43 requests and 11,053 tokens a "
            "second | not measured in this run | 1 core | not proved |"
        ]
    cores = (
        target_size.REQUESTS_PER_S
        / target_size.ROUTERS
        * target["forward/request_us"]
        + target_size.TOKENS_PER_S
        / target_size.ROUTERS
        * target["forward/chunk_us"]
    ) / 1e6
    verdict = "met, from measurements of the parts"
    if cores > target_size.MAX_PROCESS_CORES:
        verdict = (
            "**not met** with one process: run several router processes on a "
            "node, or forward several tokens in one chunk"
        )
    rows = [
        "| router | load of a node: 43 requests and 11,053 tokens a second, "
        f"one chunk for each token | {cores:.2f} cores | 1 core | {verdict} |"
    ]
    for name, limit in (("request", 1.5), ("chunk", 1.15)):
        ratio = target[f"forward/{name}_ratio"]
        met = "met, as measured" if ratio <= limit else "**not met**"
        rows.append(
            f"| router | processor time of a {name}, relative to a bare "
            f"forwarder | {ratio:.2f} times | {limit} times | {met} |"
        )
    return rows


def _build_budget_section(budget: Budget) -> str:
    total, error = budget.compute_total()
    rows = [
        f"### {budget.resource[0].upper()}{budget.resource[1:]}\n",
        "| part | mechanism | figure | source |",
        "|---|---|---|---|",
    ]
    rows += [
        f"| {line.part} | {line.mechanism} | "
        f"{_format(line.value, line.error, budget.unit)} | {line.source} |"
        for line in budget.lines
    ]
    rows.append(f"| total | | {_format(total, error, budget.unit)} | |\n")
    verdict = budget.assess()
    rows.append(f"Verdict: {verdict}.")
    if "not met" in verdict and budget.remedy:
        rows.append(f"\nChanges that would meet the limit: {budget.remedy}.")
    return "\n".join(rows) + "\n"


def _build_memory_section(target: Figures) -> str:
    rows = [
        "## Memory of a process before any state\n",
        "| process | resident memory |",
        "|---|---|",
    ]
    for name, what in (
        ("interpreter", "interpreter alone"),
        ("forwarder", "with the libraries of a bare forwarder"),
        ("daemon", "with the libraries of the daemon"),
    ):
        rows.append(
            f"| {what} | {_format(target[f'memory/{name}'], 0, 'B')} |"
        )
    return "\n".join(rows) + "\n"


def _build_claims_section(fits: Fits) -> str:
    rate = fits["claim/batch size/claims_per_s"]
    log = fits["claim/batch size/log_bytes_per_claim"]
    cpu = fits["claim/batch size/cpu_s_per_claim"]
    rows = [
        "## Claims\n",
        "Three controllers on one machine, each with its own log; four "
        "batches in flight. The rate is measured in wall time, with this "
        "machine's disk; processor time is the sum of all three.\n",
        "| claims in a batch | claims a second | processor time of one claim "
        "| bytes of one claim in each log |",
        "|---|---|---|---|",
    ]
    rows += [
        f"| {int(n)} | {rate.values[i]:.0f} | {cpu.values[i] * 1e6:.0f} µs | "
        f"{log.values[i]:.0f} |"
        for i, n in enumerate(rate.sizes)
    ]
    state = fits["claim/claims/state_bytes"]
    sustained = target_size.MAX_CLAIMS / target_size.CLAIM_LIFETIME_S
    rows.append(
        f"\nA claim uses {state.slope:.0f} ± {state.slope_error:.0f} bytes "
        "of memory, without its recorded response. With a table of "
        f"{target_size.MAX_CLAIMS:,} claims that are kept for 24 h, one log "
        f"sustains {sustained:.1f} claims a second, far fewer than its disk "
        "and processor can handle. The design page sets no rate of claims, so "
        "there is no verdict; a rate above "
        f"{sustained * target_size.CONTROL_HOSTS:.0f} a second on 25 logs "
        "needs a larger table, which the figures above allow."
    )
    return "\n".join(rows) + "\n"


def _build_fits_section(fits: Fits) -> str:
    rows = [
        "## Slopes\n",
        "The exponent is the slope of the figure's logarithm against the "
        "size's: 1 means proportional, 0 constant, and a value between them a "
        "constant part and a proportional one. An error close to the slope "
        "means that the figure doesn't depend on the size, or that the run "
        "was disturbed.\n",
        "| group | against | figure | sizes | slope | error | exponent |",
        "|---|---|---|---|---|---|---|",
    ]
    for key, fit in fits.items():
        group, against, figure = key.split("/")
        sizes = f"{fit.sizes[0]:g} to {fit.sizes[-1]:g}"
        rows.append(
            f"| {group} | {against} | {figure} | {sizes} | {fit.slope:.3g} | "
            f"{fit.slope_error:.2g} | {fit.exponent:.2f} |"
        )
    return "\n".join(rows) + "\n"


def _format(value: float, error: float, unit: str) -> str:
    if abs(value) < NEGLIGIBLE:
        return f"0 {unit}"
    scale, name = 1.0, unit
    for factor, prefix in ((1e6, "M"), (1e3, "K")):
        if unit.startswith("B") and value >= factor:
            scale, name = factor, f"{prefix}{unit}"
            break
    shown = f"{value / scale:.3g}"
    if error > abs(value) * NEGLIGIBLE:
        shown += f" ± {error / scale:.2g}"
    return f"{shown} {name}"
