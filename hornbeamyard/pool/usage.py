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
WINDOW_S = 2.0
# Part of the judged span over which demand is measured and share is saved up:
# half of it lies within each judged span, whenever that begins.
MEASURED_PART = 0.5
# Routers are told again that an engine holds a part after this long. Each
# router reports it by itself, and to tell all others costs traffic.
PART_TOLD_AGAIN_S = 5.0
# Routers that come later are told of what was read in this time. Engines drop
# parts that nobody has used for about as long.
KNOWN_S = 30.0
# A router that is silent for this long no longer counts.
ROUTER_LOST_S = 2.0


@dataclass(slots=True)
class AccountUse:
    """Tokens that an account asked for and that were admitted."""

    asked: int = 0
    admitted: int = 0


@dataclass(slots=True)
class UpstreamUse:
    """Work in an upstream.

    Attributes
    ----------
    running : int
        Requests in progress.
    unread_tokens : int
        Tokens of prompts that the upstream has still to read.
    held_tokens : int
        Tokens in its memory for these requests.
    """

    running: int = 0
    unread_tokens: int = 0
    held_tokens: int = 0


@dataclass(slots=True, frozen=True)
class ReadPart:
    """A shared part of a prompt that an upstream has read lately."""

    part: str
    upstream: str


@dataclass(slots=True)
class RouterCounters:
    """Counters of one router since its start.

    Attributes
    ----------
    accounts : dict of str to AccountUse
    upstreams : dict of str to UpstreamUse
        By id; not counters but the present state.
    read_parts : list of ReadPart
        Since the last report.
    """

    accounts: dict[str, AccountUse] = field(default_factory=dict)
    upstreams: dict[str, UpstreamUse] = field(default_factory=dict)
    read_parts: list[ReadPart] = field(default_factory=list)


@dataclass(slots=True)
class _Reported:
    counters: RouterCounters
    heard_at: float


@dataclass(slots=True)
class FleetSums:
    """Sums over the reports of all routers.

    Attributes
    ----------
    accounts : dict of str to AccountUse
        Tokens asked for within the last window, and admitted since the
        sums began.
    upstreams : dict of str to UpstreamUse
    routers : int
    source : str
        The controller that has added up.
    read_parts : list of ReadPart
        Parts that any router had read since the last sums.
    """

    accounts: dict[str, AccountUse] = field(default_factory=dict)
    upstreams: dict[str, UpstreamUse] = field(default_factory=dict)
    routers: int = 0
    source: str = ""
    read_parts: list[ReadPart] = field(default_factory=list)


class UsageTable:
    """The newest report of each router, at a controller.

    Parameters
    ----------
    window_s : float, optional
        Span over which the demand of accounts is measured.
    """

    __slots__ = (
        "_admitted",
        "_growth",
        "_read_parts",
        "_reports",
        "_told_at",
        "_window_s",
    )

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        self._read_parts: dict[ReadPart, None] = {}
        self._reports: dict[str, _Reported] = {}
        self._told_at: dict[ReadPart, float] = {}
        self._admitted: dict[str, int] = {}
        # Time, account and tokens asked for.
        self._growth: deque[tuple[float, str, int]] = deque()

    def take(self, router: str, counters: RouterCounters, now: float) -> None:
        """Take a report; `router` names one start of a router."""
        reported = self._reports.get(router)
        if reported is not None:
            before = reported.counters.accounts
            for name, use in counters.accounts.items():
                earlier = before.get(name, AccountUse())
                asked = use.asked - earlier.asked
                admitted = use.admitted - earlier.admitted
                self._admitted[name] = self._admitted.get(name, 0) + admitted
                if asked:
                    self._growth.append((now, name, asked))
        self._read_parts.update(dict.fromkeys(counters.read_parts))
        self._reports[router] = _Reported(counters, now)

    def forget(self, router: str) -> None:
        """Drop the report of a router whose stream has ended."""
        self._reports.pop(router, None)

    def compute_sums(self, now: float) -> FleetSums:
        """Return the sums as of now, and what was read since the last."""
        while self._growth and now - self._growth[0][0] > self._window_s:
            self._growth.popleft()
        sums = FleetSums(read_parts=self._list_news(now))
        for name, admitted in self._admitted.items():
            sums.accounts[name] = AccountUse(0, admitted)
        for _, name, asked in self._growth:
            sums.accounts.setdefault(name, AccountUse()).asked += asked
        for router, reported in list(self._reports.items()):
            if now - reported.heard_at > ROUTER_LOST_S:
                del self._reports[router]
                continue
            sums.routers += 1
            for id, part in reported.counters.upstreams.items():
                total = sums.upstreams.setdefault(id, UpstreamUse())
                total.running += part.running
                total.unread_tokens += part.unread_tokens
                total.held_tokens += part.held_tokens
        return sums

    def list_known(self, now: float) -> list[ReadPart]:
        """Return what was read lately, for a router that has just come."""
        for part, told_at in list(self._told_at.items()):
            if now - told_at <= KNOWN_S:
                break
            del self._told_at[part]
        return list(self._told_at)

    def _list_news(self, now: float) -> list[ReadPart]:
        """Return the reported parts that weren't told of lately."""
        self.list_known(now)
        news = []
        for part in self._read_parts:
            told_at = self._told_at.get(part, float("-inf"))
            if now - told_at <= PART_TOLD_AGAIN_S:
                continue
            # The order of the entries is that of their times.
            self._told_at.pop(part, None)
            self._told_at[part] = now
            news.append(part)
        self._read_parts = {}
        return news
