"""State of a client account at one router."""

from __future__ import annotations

from dataclasses import dataclass

from . import constants


@dataclass(slots=True)
class LocalAccount:
    """Service, costs and tag of a client account at one router.

    The tag is the account's normalised service, that is slot seconds divided
    by its share, above that of the lowest account. Points in time are
    monotonic, in seconds.

    Attributes
    ----------
    share : float
        Weight of the account relative to others.
    running : int
        Running requests.
    service_s : float
        Slot seconds of finished requests.
    started_sum : float
        Sum of the start times of running requests.
    finished : int
        Finished requests.
    largest_s : float
        Largest cost of a finished request in slot seconds.
    priority_s : float
        Slot seconds of finished requests on the priority path.
    mean_cost_s : float or None
        Running mean of the cost of a request in slot seconds.
    excess_service_s, excess_base_s : float
        The tag when it was last set, and the normalised service at that
        time, in seconds.
    backlogged : bool
        Whether requests wait.
    allowance_s : float
        Slot seconds that the rate of the limit still allows, as of
        `counted_at`.
    counted_service_s, counted_at : float
        Service and time up to which `allowance_s` was computed.
    reported_service_s : float
        Service in the last report that held the account.
    reported_at : float or None
        Time of that report.
    mean_gap_s : float or None
        Running mean of the time between the ends of requests.
    last_end_at : float or None
        Time of the last end of a request.
    """

    share: float = 1.0
    running: int = 0
    service_s: float = 0.0
    started_sum: float = 0.0
    finished: int = 0
    largest_s: float = 0.0
    priority_s: float = 0.0
    mean_cost_s: float | None = None
    excess_base_s: float = 0.0
    excess_service_s: float = 0.0
    backlogged: bool = False
    allowance_s: float = 0.0
    counted_service_s: float = 0.0
    counted_at: float = 0.0
    reported_service_s: float = 0.0
    reported_at: float | None = None
    mean_gap_s: float | None = None
    last_end_at: float | None = None

    def compute_service(self, now: float) -> float:
        """Return the slot seconds of finished and running requests."""
        return self.service_s + self.running * now - self.started_sum

    def compute_tag(self, now: float) -> float:
        """Return the tag in normalised seconds."""
        accrued = self.compute_service(now) / self.share - self.excess_base_s
        return self.excess_service_s + accrued

    def compute_allowance(self, rate: float, now: float) -> float:
        """Update and return the slot seconds that a rate still allows.

        Parameters
        ----------
        rate : float
            Slots that the account may use on average.
        now : float
            Monotonic time in seconds.
        """
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
        """Set the tag in normalised seconds."""
        self.excess_service_s = tag
        self.excess_base_s = self.compute_service(now) / self.share
