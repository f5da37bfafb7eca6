"""Meters of service, backlog, slots in use and waiting times."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np
from numpy.typing import NDArray

from hornbeamyard.pool import constants


@dataclass(slots=True)
class _Account:
    """Requests and service of one client account.

    Attributes
    ----------
    service_s : float
        Slot time received up to `changed_at`, in seconds.
    had_empty_queue : bool
        Whether nothing waited at some time since the last sample.
    """

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
    shares : dict of str to float
        Share of each client account.
    step_s : float
        Time between two samples in seconds.
    waiting, used_slots, busy_engine_slots : int
        Waiting requests, slots in use as the router sees them, and slots in
        which an engine runs a request.
    used_slot_s, busy_engine_slot_s : float
        Integrals over time of `used_slots` and `busy_engine_slots`.
    usable_slot_s : float
        Integral of the slots that the requests present could have used.
    changed_at : float
        Time up to which the integrals are computed, in seconds.
    max_cost_s : float
        Largest cost of a started request in seconds.
    overload : int
        Largest number of requests in an engine above its slots.
    priority_waits : list of float
        Waiting times of priority requests in seconds.
    waits : dict of str to list of float
        Waiting times of other requests, by account.
    service_samples : list of list of float
        For each sample, every account's service per unit of its share.
    backlog_samples : list of list of bool
        For each sample, whether an account was backlogged since the last one.
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

    def change_waiting(self, account: str, delta: int, now: float) -> None:
        """Change the number of an account's waiting requests."""
        self.advance(now)
        self.waiting += delta
        state = self.accounts[account]
        state.waiting += delta
        state.had_empty_queue = state.had_empty_queue or state.waiting == 0

    def change_running(self, account: str, delta: int, now: float) -> None:
        """Change the number of slots that an account uses."""
        self.advance(now)
        self.used_slots += delta
        state = self.accounts[account]
        state.advance(now)
        state.running += delta

    def change_engine(self, delta: int, now: float) -> None:
        """Change the number of requests that engines run."""
        self.advance(now)
        self.busy_engine_slots += delta

    def sample(self, now: float) -> None:
        """Record each account's service, and whether it was backlogged."""
        for state in self.accounts.values():
            state.advance(now)
        accounts = self.accounts.values()
        self.service_samples.append([a.service_s / a.share for a in accounts])
        self.backlog_samples.append([not a.had_empty_queue for a in accounts])
        for state in accounts:
            state.had_empty_queue = state.waiting == 0

    def compute_utilisation(self) -> float:
        """Return the fraction of the usable slot time that was used."""
        return (
            self.used_slot_s / self.usable_slot_s
            if self.usable_slot_s
            else 1.0
        )

    def compute_engine_utilisation(self) -> float:
        """Return the fraction of the usable slot time that engines ran."""
        return (
            self.busy_engine_slot_s / self.usable_slot_s
            if self.usable_slot_s
            else 1.0
        )

    def compute_gaps(self) -> tuple[float, float]:
        """Return the worst gap between two accounts.

        A gap is the largest change of the difference between two accounts'
        service per unit of share while both are backlogged. Its bound is
        twice the largest cost over the smaller share, plus the service per
        unit of share that the pool gives in one report interval.

        Returns
        -------
        ratio : float
            Largest ratio of a gap to its bound.
        gap_s : float
            That gap in seconds.
        """
        service = np.array(self.service_samples)
        backlog_samples = np.array(self.backlog_samples)
        names = list(self.accounts)
        interval_s = (
            self.slots
            * constants.REPORT_INTERVAL_S
            / sum(self.shares.values())
        )
        skipped_samples = int(np.ceil(self.max_cost_s / self.step_s)) + 1
        worst_ratio, worst_gap = 0.0, 0.0
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
                if gap / bound > worst_ratio:
                    worst_ratio, worst_gap = gap / bound, gap
        return worst_ratio, worst_gap


def _compute_gap(
    difference: NDArray[np.float64],
    both_backlogged: NDArray[np.bool_],
    skipped_samples: int,
) -> float:
    """Return the largest change of a difference within a backlogged span.

    Parameters
    ----------
    difference : numpy.ndarray of shape (n_samples,)
        Difference between two accounts' service per unit of share.
    both_backlogged : numpy.ndarray of shape (n_samples,)
        Whether both accounts were backlogged.
    skipped_samples : int
        Samples left out at the start of each span.

    Returns
    -------
    float
        The change in seconds.
    """
    edges = np.flatnonzero(
        np.diff(
            np.concatenate(([False], both_backlogged, [False])).astype(np.int8)
        )
    )
    gap = 0.0
    for start, end in zip(edges[::2], edges[1::2], strict=True):
        span = difference[start + skipped_samples : end]
        if len(span):
            gap = max(gap, float(span.max() - span.min()))
    return gap
