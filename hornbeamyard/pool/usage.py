"""Usage of pools by routers and by the whole fleet.

Each router reports the tokens of its accounts and its load on each upstream.
The lead controller adds the reports up, so that a router knows the whole
fleet's usage and needs no message for a request.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from .speeds import FleetSpeeds, PoolSpeed, TimeSums, average_speeds

# Time over which the demand of accounts is measured, unless the settings give
# the span over which shares are assessed.
DEFAULT_WINDOW_S = 2.0
# That time as a fraction of the span over which shares are assessed. Unused
# share is kept for as long. At one half, half of it lies within each such
# span, wherever the span begins.
DEMAND_WINDOW_FRACTION = 0.5
# A cached part is sent to the routers again only after this time. Each router
# that uses the part reports it, and sending it to all others costs traffic.
PART_RESEND_S = 5.0
# A router that attaches is sent the parts that were sent within this time.
# Engines evict parts that nobody has used for about as long.
PART_RETENTION_S = 30.0
# Step of an upstream's relative time in the fleet usage, in percent.
TIME_STEP = 5
# A router without a report for this long no longer counts.
ROUTER_TIMEOUT_S = 2.0
# The counters of an account that asks for nothing are forgotten after one to
# two times this long. By then its bucket is full again, whatever it was used.
IDLE_RETENTION_S = 60.0


@dataclass(slots=True)
class AccountUsage:
    """Tokens of an account's requests, measured as in `RequestDemand.size`.

    Attributes
    ----------
    asked : int
        Of requests that aren't retries of callers.
    admitted : int
        Of requests that were sent.
    unserved : int
        Of requests that were refused for lack of throughput, retries of
        callers included.
    """

    asked: int = 0
    admitted: int = 0
    unserved: int = 0


@dataclass(slots=True)
class UpstreamLoad:
    """Load that requests put on an upstream.

    Attributes
    ----------
    running : int
        Requests in progress.
    prefill_tokens : int
        Prompt tokens that are still to be prefilled.
    kv_tokens : int
        Tokens in the KV cache that belong to these requests alone.
    time_percent : int
        In the fleet usage, the upstream's time for the same work relative to
        its pool's other upstreams, in percent; 0 if it isn't known.
    """

    running: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0
    time_percent: int = 0


@dataclass(slots=True, frozen=True)
class ReportedLoad:
    """Load that an upstream states in its response.

    Attributes
    ----------
    running, waiting, slots : int
        Requests of all routers in progress and in its queue, and the requests
        that it runs at a time.
    slowdown : float or None
        Present duration of its work as a multiple of the usual one; None if
        it doesn't say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclass(slots=True, frozen=True)
class CachedPart:
    """A shared prompt part that an upstream has recently prefilled.

    Attributes
    ----------
    part, upstream : str
        Ids.
    """

    part: str
    upstream: str


@dataclass(slots=True)
class RouterUsage:
    """A router's report of what it uses.

    Attributes
    ----------
    accounts : dict of str to AccountUsage
        Counters of each account since the router's start.
    upstreams : dict of str to UpstreamLoad
        The router's present load on each upstream, by id.
    cached_parts : list of CachedPart
        Parts that engines prefilled since the last report.
    throughput_factor : float
        The router's estimate of the engines' throughput, as a multiple of
        the configured one; 0 without an estimate.
    pool_speeds : dict of str to PoolSpeed
        The router's estimates by pool.
    engine_times : dict of str to dict of str to TimeSums
        By pool and id of the upstream, since the last report.
    """

    accounts: dict[str, AccountUsage] = field(default_factory=dict)
    upstreams: dict[str, UpstreamLoad] = field(default_factory=dict)
    cached_parts: list[CachedPart] = field(default_factory=list)
    throughput_factor: float = 0.0
    pool_speeds: dict[str, PoolSpeed] = field(default_factory=dict)
    engine_times: dict[str, dict[str, TimeSums]] = field(default_factory=dict)


@dataclass(slots=True)
class _LastReport:
    """A router's newest report.

    Attributes
    ----------
    usage : RouterUsage
    received_at : float
        Monotonic time in seconds.
    demand : float
        Tokens asked for, of which half is forgotten within the window.
    """

    usage: RouterUsage
    received_at: float
    demand: float = 0.0


@dataclass(slots=True)
class FleetUsage:
    """The reports of all routers, added up.

    Attributes
    ----------
    accounts : dict of str to AccountUsage
        Tokens asked for and refused within the last window, and tokens
        admitted since the source began to count.
    upstreams : dict of str to UpstreamLoad
        Load of all routers on each upstream, by id.
    routers : int
        Number of routers that report.
    source : str
        The controller that added the reports up.
    cached_parts : list of CachedPart
        Parts reported by any router that are due to be sent.
    throughput_factor : float
        Mean of the routers' estimates of the engines' throughput, weighted by
        their demand; 0 without an estimate.
    pool_speeds : dict of str to PoolSpeed
        Means of the routers' estimates by pool.
    """

    accounts: dict[str, AccountUsage] = field(default_factory=dict)
    upstreams: dict[str, UpstreamLoad] = field(default_factory=dict)
    routers: int = 0
    source: str = ""
    cached_parts: list[CachedPart] = field(default_factory=list)
    throughput_factor: float = 0.0
    pool_speeds: dict[str, PoolSpeed] = field(default_factory=dict)

    def is_active(self) -> bool:
        """Return whether anything was asked for lately, runs or is due."""
        return bool(self.cached_parts or self.upstreams) or any(
            usage.asked or usage.unserved for usage in self.accounts.values()
        )


class UsageTable:
    """Adds up the newest reports of all routers, at a controller.

    Parameters
    ----------
    window_s : float, optional
        Time over which the demand of accounts is measured, in seconds.
    """

    __slots__ = (
        "_admitted",
        "_checked_admitted",
        "_checked_at",
        "_recent",
        "_reported_parts",
        "_reports",
        "_sent_at",
        "_speeds",
        "_window_s",
    )

    def __init__(self, window_s: float = DEFAULT_WINDOW_S) -> None:
        self._speeds = FleetSpeeds()
        self._window_s = window_s
        self._reported_parts: dict[CachedPart, None] = {}
        self._reports: dict[str, _LastReport] = {}
        self._sent_at: dict[CachedPart, float] = {}
        self._admitted: dict[str, int] = {}
        # What had been admitted when idle accounts were forgotten last.
        self._checked_admitted: dict[str, int] = {}
        self._checked_at = float("-inf")
        # Time, account, tokens asked for and tokens refused.
        self._recent: deque[tuple[float, str, int, int]] = deque()

    def record_report(
        self, router: str, usage: RouterUsage, now: float
    ) -> None:
        """Record a router's report.

        Parameters
        ----------
        router : str
            Differs for each start of a router.
        usage : RouterUsage
        now : float
            Monotonic time in seconds.
        """
        last = self._reports.get(router)
        demand = 0.0
        if last is not None:
            elapsed_s = max(0.0, now - last.received_at)
            demand = last.demand * 0.5 ** (elapsed_s / self._window_s)
            before = last.usage.accounts
            for name, use in usage.accounts.items():
                earlier = before.get(name, AccountUsage())
                asked = use.asked - earlier.asked
                admitted = use.admitted - earlier.admitted
                unserved = use.unserved - earlier.unserved
                if admitted:
                    total = self._admitted.get(name, 0) + admitted
                    self._admitted[name] = total
                demand += asked
                if asked or unserved:
                    self._recent.append((now, name, asked, unserved))
        self._reported_parts.update(dict.fromkeys(usage.cached_parts))
        for pool, sums in usage.engine_times.items():
            self._speeds.record(pool, sums, now)
        self._reports[router] = _LastReport(usage, now, demand)

    def forget(self, router: str) -> None:
        """Drop the report of a router whose stream has ended."""
        self._reports.pop(router, None)

    def compute_fleet_usage(self, now: float) -> FleetUsage:
        """Add up the reports; drop those of routers that timed out.

        Cached parts are returned once, and again after `PART_RESEND_S`.
        """
        while self._recent and now - self._recent[0][0] > self._window_s:
            self._recent.popleft()
        self._forget_idle(now)
        fleet = FleetUsage(cached_parts=self._list_unsent_parts(now))
        for name, admitted in self._admitted.items():
            fleet.accounts[name] = AccountUsage(0, admitted)
        for _, name, asked, unserved in self._recent:
            account = fleet.accounts.setdefault(name, AccountUsage())
            account.asked += asked
            account.unserved += unserved
        for router, last in list(self._reports.items()):
            if now - last.received_at > ROUTER_TIMEOUT_S:
                del self._reports[router]
                continue
            fleet.routers += 1
            for id, load in last.usage.upstreams.items():
                total = fleet.upstreams.setdefault(id, UpstreamLoad())
                total.running += load.running
                total.prefill_tokens += load.prefill_tokens
                total.kv_tokens += load.kv_tokens
        fleet.throughput_factor = self._compute_throughput_factor()
        fleet.pool_speeds = average_speeds(
            last.usage.pool_speeds for last in self._reports.values()
        )
        for id, factor in self._speeds.compute_factors(now).items():
            total = fleet.upstreams.setdefault(id, UpstreamLoad())
            # Rounded, so that small changes cause no messages.
            total.time_percent = TIME_STEP * round(100 * factor / TIME_STEP)
        return fleet

    def _forget_idle(self, now: float) -> None:
        """Forget the accounts of which no router has reported anything new.

        When one comes back, the count of its admitted tokens begins anew.
        """
        if now - self._checked_at < IDLE_RETENTION_S:
            return
        self._checked_at = now
        active = {name for _, name, _, _ in self._recent}
        self._admitted = {
            name: admitted
            for name, admitted in self._admitted.items()
            if name in active or admitted != self._checked_admitted.get(name)
        }
        self._checked_admitted = dict(self._admitted)

    def _compute_throughput_factor(self) -> float:
        """Return the weighted mean of the routers' estimates, 0 for none.

        The added token gives routers without demand a weight.
        """
        estimates = [
            (last.usage.throughput_factor, last.demand + 1)
            for last in self._reports.values()
            if last.usage.throughput_factor > 0
        ]
        if not estimates:
            return 0.0
        weighted = sum(factor * weight for factor, weight in estimates)
        return weighted / sum(weight for _, weight in estimates)

    def list_recent_parts(self, now: float) -> list[CachedPart]:
        """Return the recently sent parts, for a router that has just attached.

        Older ones are forgotten.
        """
        for part, sent_at in list(self._sent_at.items()):
            if now - sent_at <= PART_RETENTION_S:
                break
            del self._sent_at[part]
        return list(self._sent_at)

    def _list_unsent_parts(self, now: float) -> list[CachedPart]:
        """Return the reported parts that weren't sent recently."""
        self.list_recent_parts(now)
        unsent = []
        for part in self._reported_parts:
            sent_at = self._sent_at.get(part, float("-inf"))
            if now - sent_at <= PART_RESEND_S:
                continue
            # Keeps the entries in order of time.
            self._sent_at.pop(part, None)
            self._sent_at[part] = now
            unsent.append(part)
        self._reported_parts = {}
        return unsent
