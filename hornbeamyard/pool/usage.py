"""What routers ask of the pools and use of them, and the fleet's sums.

Each router reports counters of its accounts and its share of the work in
each upstream. The lead controller adds them up, so that a router decides
with the whole fleet's load in view and needs no message for a request.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# Span over which the demand of accounts is measured, unless the settings
# name the one over which shares are judged.
DEFAULT_WINDOW_S = 2.0
# Part of the judged span over which demand is measured and share is saved up:
# half of it lies within each judged span, whenever that begins.
DEMAND_WINDOW_FRACTION = 0.5
# Routers are told again that an engine holds a part after this long. Each
# router reports it by itself, and to tell all others costs traffic.
PART_RESEND_S = 5.0
# Routers that come later are told of what was read in this time. Engines drop
# parts that nobody has used for about as long.
PART_RETENTION_S = 30.0
# A router that is silent for this long no longer counts.
ROUTER_TIMEOUT_S = 2.0


@dataclass(slots=True)
class AccountUsage:
    """Tokens that an account asked for and that were admitted."""

    asked: int = 0
    admitted: int = 0


@dataclass(slots=True)
class UpstreamLoad:
    """Work in an upstream.

    Attributes
    ----------
    running : int
        Requests in progress.
    prefill_tokens : int
        Tokens of prompts that the upstream has still to read.
    kv_tokens : int
        Tokens in its memory for these requests.
    """

    running: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0


@dataclass(slots=True, frozen=True)
class CachedPart:
    """A shared part of a prompt that an upstream has read lately."""

    part: str
    upstream: str


@dataclass(slots=True)
class RouterUsage:
    """Counters of one router since its start.

    Attributes
    ----------
    accounts : dict of str to AccountUsage
    upstreams : dict of str to UpstreamLoad
        By id; not counters but the present state.
    cached_parts : list of CachedPart
        Since the last report.
    """

    accounts: dict[str, AccountUsage] = field(default_factory=dict)
    upstreams: dict[str, UpstreamLoad] = field(default_factory=dict)
    cached_parts: list[CachedPart] = field(default_factory=list)


@dataclass(slots=True)
class _LastReport:
    usage: RouterUsage
    received_at: float


@dataclass(slots=True)
class FleetSums:
    """Sums over the reports of all routers.

    Attributes
    ----------
    accounts : dict of str to AccountUsage
        Tokens asked for within the last window, and admitted since the
        sums began.
    upstreams : dict of str to UpstreamLoad
    routers : int
    source : str
        The controller that has added up.
    cached_parts : list of CachedPart
        Parts that any router had read since the last sums.
    """

    accounts: dict[str, AccountUsage] = field(default_factory=dict)
    upstreams: dict[str, UpstreamLoad] = field(default_factory=dict)
    routers: int = 0
    source: str = ""
    cached_parts: list[CachedPart] = field(default_factory=list)


class UsageTable:
    """The newest report of each router, at a controller.

    Parameters
    ----------
    window_s : float, optional
        Span over which the demand of accounts is measured.
    """

    __slots__ = (
        "_admitted",
        "_asked_samples",
        "_read_parts",
        "_reports",
        "_sent_at",
        "_window_s",
    )

    def __init__(self, window_s: float = DEFAULT_WINDOW_S) -> None:
        self._window_s = window_s
        self._read_parts: dict[CachedPart, None] = {}
        self._reports: dict[str, _LastReport] = {}
        self._sent_at: dict[CachedPart, float] = {}
        self._admitted: dict[str, int] = {}
        # Time, account and tokens asked for.
        self._asked_samples: deque[tuple[float, str, int]] = deque()

    def record_report(
        self, router: str, usage: RouterUsage, now: float
    ) -> None:
        """Take a report; `router` names one start of a router."""
        reported = self._reports.get(router)
        if reported is not None:
            before = reported.usage.accounts
            for name, use in usage.accounts.items():
                earlier = before.get(name, AccountUsage())
                asked = use.asked - earlier.asked
                admitted = use.admitted - earlier.admitted
                self._admitted[name] = self._admitted.get(name, 0) + admitted
                if asked:
                    self._asked_samples.append((now, name, asked))
        self._read_parts.update(dict.fromkeys(usage.cached_parts))
        self._reports[router] = _LastReport(usage, now)

    def forget(self, router: str) -> None:
        """Drop the report of a router whose stream has ended."""
        self._reports.pop(router, None)

    def compute_sums(self, now: float) -> FleetSums:
        """Return the sums as of now, and what was read since the last."""
        while (
            self._asked_samples
            and now - self._asked_samples[0][0] > self._window_s
        ):
            self._asked_samples.popleft()
        sums = FleetSums(cached_parts=self._list_unsent_parts(now))
        for name, admitted in self._admitted.items():
            sums.accounts[name] = AccountUsage(0, admitted)
        for _, name, asked in self._asked_samples:
            sums.accounts.setdefault(name, AccountUsage()).asked += asked
        for router, reported in list(self._reports.items()):
            if now - reported.received_at > ROUTER_TIMEOUT_S:
                del self._reports[router]
                continue
            sums.routers += 1
            for id, part in reported.usage.upstreams.items():
                total = sums.upstreams.setdefault(id, UpstreamLoad())
                total.running += part.running
                total.prefill_tokens += part.prefill_tokens
                total.kv_tokens += part.kv_tokens
        return sums

    def list_recent_parts(self, now: float) -> list[CachedPart]:
        """Return what was read lately, for a router that has just come."""
        for part, sent_at in list(self._sent_at.items()):
            if now - sent_at <= PART_RETENTION_S:
                break
            del self._sent_at[part]
        return list(self._sent_at)

    def _list_unsent_parts(self, now: float) -> list[CachedPart]:
        """Return the reported parts that weren't told of lately."""
        self.list_recent_parts(now)
        news = []
        for part in self._read_parts:
            sent_at = self._sent_at.get(part, float("-inf"))
            if now - sent_at <= PART_RESEND_S:
                continue
            # The order of the entries is that of their times.
            self._sent_at.pop(part, None)
            self._sent_at[part] = now
            news.append(part)
        self._read_parts = {}
        return news
