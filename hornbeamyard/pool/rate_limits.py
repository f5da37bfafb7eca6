"""Rates of requests that upstreams name in their responses.

An upstream in need says how many requests a second it takes from all routers
together. Routers exchange what they learn and divide the rate between
them, so that no request needs a message.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from .upstream_registry import UpstreamStart

# An observation is forgotten after this time without a newer one. A limited
# upstream without a single request for so long may have recovered.
RETENTION_S = 600.0
# Rate in requests a second that a limit counts for at least. An upstream that
# takes no requests couldn't say that it has recovered.
MIN_RATE = 0.25
# Rate of one router in requests a second at the least. With less, a router
# would seldom have a place when a request comes, so a small limit is divided
# between some of the routers only.
MIN_ROUTER_RATE = 0.5
# Routers between which any limit is divided at the least, if there are as
# many.
MIN_CHOSEN_ROUTERS = 4
# A router's part at the least, as a fraction of an even division, so that
# callers who move to it are served before the next fleet usage.
MIN_ROUTER_PART = 0.3
# A router's part at the most, likewise.
MAX_ROUTER_PART = 3.0
# A smaller number of routers counts only after this time. A controller that
# has just started knows only some of them.
SETTLING_S = 3.0
# Weight of the newest demand in a router's fraction. A new leader knows the
# demand of some routers only.
FRACTION_WEIGHT = 0.1
# Requests that a router may send at once after a pause. More would let all
# routers together exceed the limit.
BURST = 1.0


@dataclass(slots=True, frozen=True)
class RateObservation:
    """What an upstream said about its limit.

    Attributes
    ----------
    upstream : UpstreamStart
    max_rate : float or None
        Requests a second from all routers together; None for no limit.
    observed_at : float
        Monotonic time of the response in seconds.
    """

    upstream: UpstreamStart
    max_rate: float | None
    observed_at: float


class RateLimits:
    """The newest observation of each start of an upstream."""

    __slots__ = ("_observations",)

    def __init__(self) -> None:
        self._observations: dict[UpstreamStart, RateObservation] = {}

    def find(self, upstream: UpstreamStart) -> float | None:
        """Return the limit of an upstream in requests a second, if any."""
        observation = self._observations.get(upstream)
        return observation.max_rate if observation is not None else None

    def is_known(self, upstream: UpstreamStart) -> bool:
        """Return whether there is an observation of an upstream."""
        return upstream in self._observations

    def record(self, observation: RateObservation) -> bool:
        """Record an observation unless a newer one is known.

        Returns
        -------
        bool
            Whether the limit has changed.
        """
        known = self._observations.get(observation.upstream)
        if known is not None and known.observed_at > observation.observed_at:
            return False
        if known is None and observation.max_rate is None:
            return False
        self._observations[observation.upstream] = observation
        return known is None or known.max_rate != observation.max_rate

    def contradicts(self, observation: RateObservation) -> bool:
        """Return whether a newer observation has another limit."""
        known = self._observations.get(observation.upstream)
        return (
            known is not None
            and known.observed_at > observation.observed_at
            and known.max_rate != observation.max_rate
        )

    def list_all(
        self, upstreams: Iterable[UpstreamStart] | None = None
    ) -> list[RateObservation]:
        """Return the observations of some upstreams, or of all for None."""
        if upstreams is None:
            return list(self._observations.values())
        known = self._observations
        return [known[upstream] for upstream in upstreams if upstream in known]

    def expire(self, now: float) -> list[UpstreamStart]:
        """Forget old observations; return their upstreams."""
        expired = [
            observation.upstream
            for observation in self._observations.values()
            if now - observation.observed_at > RETENTION_S
        ]
        for upstream in expired:
            del self._observations[upstream]
        return expired


@dataclass(slots=True)
class RateLimiter:
    """A token bucket for the requests of this router to one upstream.

    It starts empty, as all routers learn of a limit at the same time.

    Attributes
    ----------
    rate : float
        Requests a second.
    refilled_at : float
        Monotonic time in seconds.
    tokens : float
    burst : float
        Most tokens, at least 1.
    """

    rate: float
    refilled_at: float
    tokens: float = 0.0
    burst: float = BURST

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from now on."""
        self._refill(now)
        self.rate = rate

    def limit_tokens(self, tokens: float) -> None:
        """Drop the tokens above a number."""
        self.tokens = min(self.tokens, tokens)

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        self._refill(now)
        self.tokens -= 1.0

    def compute_wait(self, now: float) -> float:
        """Return the seconds until a request may be sent."""
        self._refill(now)
        missing = 1.0 - self.tokens
        if missing <= 1e-9:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.refilled_at)
        self.tokens = min(self.tokens + self.rate * elapsed_s, self.burst)
        self.refilled_at = now


@dataclass(slots=True, frozen=True)
class FleetPosition:
    """A router's position among the routers of the fleet.

    Attributes
    ----------
    routers : int
        Number of routers.
    number : int
        Number of this one among them, from 1; 0 while it isn't known.
    fraction : float
        This router's fraction of the fleet's demand.
    """

    routers: int = 1
    number: int = 0
    fraction: float = 1.0


class FleetPositionEstimate:
    """A router's position in the fleet, from what controllers say.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    __slots__ = ("_counted_at", "_fraction", "_number", "_routers")

    def __init__(self, now: float) -> None:
        self._counted_at = now
        self._fraction: float | None = None
        self._number = 0
        self._routers = 1

    def get(self) -> FleetPosition:
        """Return the position."""
        fraction = self._fraction
        if fraction is None:
            fraction = 1.0 / self._routers
        return FleetPosition(self._routers, self._number, fraction)

    def record_count(self, routers: int, number: int, now: float) -> None:
        """Record a controller's count of routers, and this one's number.

        A number means nothing beside another controller's count.
        """
        if routers < self._routers and now - self._counted_at < SETTLING_S:
            return
        self._number = number
        self._routers = max(1, routers)
        self._counted_at = now

    def record_fraction(self, fraction: float) -> None:
        """Record this router's fraction of the fleet's present demand."""
        known = self._fraction
        if known is None:
            known = 1.0 / self._routers
        self._fraction = known + FRACTION_WEIGHT * (fraction - known)


def divide_rate(
    max_rate: float, upstream: UpstreamStart, position: FleetPosition
) -> float:
    """Return the part of an upstream's rate that a router may use.

    All parts together are at most about the rate, provided that the routers
    know their places. A small rate is divided evenly between some routers,
    other ones for each upstream.

    Parameters
    ----------
    max_rate : float
        Requests a second from all routers together.
    upstream : UpstreamStart
    position : FleetPosition

    Returns
    -------
    float
        Requests a second; 0 for a router that isn't among those chosen.
    """
    rate = max(max_rate, MIN_RATE)
    routers = max(1, position.routers)
    chosen = max(MIN_CHOSEN_ROUTERS, int(rate / MIN_ROUTER_RATE))
    chosen = min(chosen, routers)
    if not position.number:
        return rate / routers
    if chosen < routers:
        key = f"{upstream.id}/{upstream.started_ms}".encode()
        turn = (position.number + zlib.crc32(key)) % routers
        return rate / chosen if turn < chosen else 0.0
    part = max(position.fraction * routers, MIN_ROUTER_PART)
    return min(rate, rate / routers * min(part, MAX_ROUTER_PART))
