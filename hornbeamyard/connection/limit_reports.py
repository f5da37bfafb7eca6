"""Rate limits of upstreams that this router and others know."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..messages import fleet_pb2
from ..pool.rate_limits import (
    FleetPositionEstimate,
    RateLimits,
    RateObservation,
)
from ..pool.upstream_registry import UpstreamStart
from ..process.timers import Timers
from .change_reports import ChangeReports
from .directory_codec import encode_limits


class LimitReports:
    """Records the limits that upstreams name, and reports them.

    Parameters
    ----------
    timers : Timers
    on_change : callable
        Called with an upstream whose limit has changed.

    Attributes
    ----------
    changes : ChangeReports
        Reports to the controllers.
    limits : RateLimits
    position : FleetPositionEstimate
        This router's position in the fleet, by which limits are divided.
    """

    __slots__ = ("_on_change", "_timers", "changes", "limits", "position")

    def __init__(
        self, timers: Timers, on_change: Callable[[UpstreamStart], None]
    ) -> None:
        self._on_change = on_change
        self._timers = timers
        self.changes = ChangeReports(timers, self._encode)
        self.limits = RateLimits()
        self.position = FleetPositionEstimate(timers.now())

    def observe(self, upstream: UpstreamStart, max_rate: float | None) -> None:
        """Record what an upstream has said in a response to this router."""
        observation = RateObservation(upstream, max_rate, self._timers.now())
        if self.limits.record(observation):
            self.changes.record([upstream])
            self._on_change(upstream)

    def apply(self, observations: Iterable[RateObservation]) -> None:
        """Apply what upstreams have said to other routers."""
        for observation in observations:
            if self.limits.contradicts(observation):
                # Others may take the older one for the newest.
                self.changes.record([observation.upstream])
            elif self.limits.record(observation):
                self._on_change(observation.upstream)

    def expire(self, now: float) -> None:
        """Forget old limits."""
        for upstream in self.limits.expire(now):
            self._on_change(upstream)
        self.changes.forget(self.limits.is_known)

    def _encode(
        self, upstreams: Iterable[UpstreamStart] | None
    ) -> fleet_pb2.RouterUsage:
        observations = self.limits.list_all(upstreams)
        messages = encode_limits(observations, self._timers.now())
        return fleet_pb2.RouterUsage(limits=messages)
