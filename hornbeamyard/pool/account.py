"""A client account as one router sees it."""

from __future__ import annotations

from dataclasses import dataclass

from . import constants


@dataclass(slots=True)
class LocalAccount:
    """Service, costs and tag of a client account at one router."""

    share: float = 1.0
    running: int = 0
    # Service of finished requests in slot seconds.
    service_s: float = 0.0
    # Sum of the start times of running requests.
    started_sum: float = 0.0
    finished: int = 0
    largest_s: float = 0.0
    # Service of finished requests on the priority path in slot seconds.
    priority_s: float = 0.0
    mean_cost_s: float | None = None
    # Normalised service when the lag was last set.
    lead_base: float = 0.0
    lead_s: float = 0.0
    backlogged: bool = False
    # Slot seconds that the rate of the limit still allows, and the service
    # and time up to which they were counted.
    allowance_s: float = 0.0
    counted_service_s: float = 0.0
    counted_at: float = 0.0
    # Service and time of the last report that held the account.
    reported_service_s: float = 0.0
    reported_at: float | None = None
    # Times between the ends of requests, as a running mean.
    mean_gap_s: float | None = None
    last_end_at: float | None = None

    def compute_service(self, now: float) -> float:
        """Return the slot seconds of finished and running requests."""
        return self.service_s + self.running * now - self.started_sum

    def compute_tag(self, now: float) -> float:
        """Return the normalised service above the lowest, in seconds."""
        accrued = self.compute_service(now) / self.share - self.lead_base
        return self.lead_s + accrued

    def compute_allowance(self, rate: float, now: float) -> float:
        """Return the slot seconds that a rate allows at this moment."""
        service = self.compute_service(now)
        gained = rate * (now - self.counted_at)
        allowance = self.allowance_s + gained
        allowance -= service - self.counted_service_s
        bound = constants.ALLOWANCE_S * max(1.0, rate)
        self.allowance_s = max(-bound, min(bound, allowance))
        self.counted_service_s = service
        self.counted_at = now
        return self.allowance_s

    def set_tag(self, tag: float, now: float) -> None:
        """Continue from a tag, in normalised seconds."""
        self.lead_s = tag
        self.lead_base = self.compute_service(now) / self.share
