"""What the benchmark measures: service, backlog, slots in use and waits."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np
from numpy.typing import NDArray

from hornbeamyard.pool import constants


@dataclass(slots=True)
class _Account:
    share: float
    waiting: int = 0
    running: int = 0
    service_s: float = 0.0
    changed_at: float = 0.0
    had_empty_queue: bool = True

    def advance(self, now: float) -> None:
        self.service_s += self.running * (now - self.changed_at)
        self.changed_at = now


@dataclass(slots=True)
class PoolMeter:
    """Measures one pool in virtual time.

    Attributes
    ----------
    slots : int
        Slots of the pool's workers.
    step_s : float
        Time between two samples in seconds.
    """

    slots: int
    shares: dict[str, float]
    step_s: float
    accounts: dict[str, _Account] = field(default_factory=dict)
    waiting: int = 0
    used_slots: int = 0
    busy_engine_slots: int = 0
    used_slot_s: float = 0.0
    usable_slot_s: float = 0.0
    busy_engine_slot_s: float = 0.0
    changed_at: float = 0.0
    max_cost_s: float = 0.0
    finished: int = 0
    overload: int = 0
    priority_waits: list[float] = field(default_factory=list)
    waits: dict[str, list[float]] = field(default_factory=dict)
    service_samples: list[list[float]] = field(default_factory=list)
    backlog_samples: list[list[bool]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.accounts = {n: _Account(s) for n, s in self.shares.items()}

    def advance(self, now: float) -> None:
        """Add the time since the last change to the integrals."""
        span = now - self.changed_at
        self.changed_at = now
        self.used_slot_s += self.used_slots * span
        self.busy_engine_slot_s += self.busy_engine_slots * span
        usable = max(
            self.used_slots, min(self.slots, self.used_slots + self.waiting)
        )
        self.usable_slot_s += usable * span

    def change_waiting(self, account: str, by: int, now: float) -> None:
        """Note that requests joined or left the queues."""
        self.advance(now)
        self.waiting += by
        state = self.accounts[account]
        state.waiting += by
        state.had_empty_queue = state.had_empty_queue or state.waiting == 0

    def change_running(self, account: str, by: int, now: float) -> None:
        """Note that requests took or freed a slot."""
        self.advance(now)
        self.used_slots += by
        state = self.accounts[account]
        state.advance(now)
        state.running += by

    def change_engine(self, by: int, now: float) -> None:
        """Note that an engine admitted or ended requests."""
        self.advance(now)
        self.busy_engine_slots += by

    def sample(self, now: float) -> None:
        """Record each account's service and whether it was backlogged."""
        for state in self.accounts.values():
            state.advance(now)
        accounts = self.accounts.values()
        self.service_samples.append([a.service_s / a.share for a in accounts])
        self.backlog_samples.append([not a.had_empty_queue for a in accounts])
        for state in accounts:
            state.had_empty_queue = state.waiting == 0

    def compute_utilisation(self) -> float:
        """Return the used part of the slot time that could be used."""
        return (
            self.used_slot_s / self.usable_slot_s
            if self.usable_slot_s
            else 1.0
        )

    def compute_engine_utilisation(self) -> float:
        """Return the part of that time in which an engine worked."""
        return (
            self.busy_engine_slot_s / self.usable_slot_s
            if self.usable_slot_s
            else 1.0
        )

    def compute_gaps(self) -> tuple[float, float]:
        """Return the largest gap over its bound, and that gap in seconds."""
        service = np.array(self.service_samples)
        backlog_samples = np.array(self.backlog_samples)
        names = list(self.accounts)
        interval_s = (
            self.slots
            * constants.REPORT_INTERVAL_S
            / sum(self.shares.values())
        )
        skipped_samples = int(np.ceil(self.max_cost_s / self.step_s)) + 1
        worst, worst_gap = 0.0, 0.0
        for one in range(len(names)):
            for other in range(one):
                smaller = min(
                    self.shares[names[one]], self.shares[names[other]]
                )
                bound = 2 * self.max_cost_s / smaller + interval_s
                gap = _compute_gap(
                    service[:, one] - service[:, other],
                    backlog_samples[:, one] & backlog_samples[:, other],
                    skipped_samples,
                )
                if gap / bound > worst:
                    worst, worst_gap = gap / bound, gap
        return worst, worst_gap


def _compute_gap(
    difference: NDArray[np.float64],
    both: NDArray[np.bool_],
    skipped_samples: int,
) -> float:
    """Return the largest change of a difference within a backlogged span."""
    edges = np.flatnonzero(
        np.diff(np.concatenate(([False], both, [False])).astype(np.int8))
    )
    gap = 0.0
    for start, end in zip(edges[::2], edges[1::2], strict=True):
        span = difference[start + skipped_samples : end]
        if len(span):
            gap = max(gap, float(span.max() - span.min()))
    return gap
