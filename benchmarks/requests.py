"""Requests, upstream engines and loads of the simulation."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hornbeamyard.pool.backlog import Ticket

from .events import Clock
from .measures import PoolMeter

MAX_COST_S = 60.0


@dataclass(slots=True, eq=False)
class Request:
    """A simulated request.

    Attributes
    ----------
    pool, account : str
    cost_s : float
        Time for which an engine runs it, in seconds.
    priority : bool
    submitted_at : float
        Virtual time in seconds.
    ticket : Ticket
        Its entry in a router's queue.
    on_end : callable or None
        Called when the request has ended or was lost.
    """

    pool: str
    account: str
    cost_s: float
    priority: bool = False
    submitted_at: float = 0.0
    ticket: Ticket = field(default_factory=lambda: Ticket(""))
    on_end: Callable[[], None] | None = None


class Engine:
    """An upstream that runs as many requests at a time as it has slots.

    Requests above that wait in order of arrival.

    Attributes
    ----------
    speed : float
        Factor by which requests run faster than their cost.
    leaving_at : float or None
        Virtual time at which the upstream began to leave, in seconds.
    late_arrivals : int
        Requests that arrived more than 3 s after that.
    """

    def __init__(
        self, clock: Clock, meter: PoolMeter, name: str, zone: str, slots: int
    ) -> None:
        self.name = name
        self.zone = zone
        self.slots = slots
        self.speed = 1.0
        self.leaving_at: float | None = None
        self.late_arrivals = 0
        self._clock = clock
        self._meter = meter
        self._running: dict[int, Request] = {}
        self._queue: deque[tuple[Request, Callable[[], None]]] = deque()

    def count_requests(self) -> int:
        """Return the number of requests that run or wait in the engine."""
        return len(self._running) + len(self._queue)

    def accept(self, request: Request, on_end: Callable[[], None]) -> None:
        """Run or queue a request; call `on_end` when it has run."""
        if self.leaving_at is not None:
            self.late_arrivals += self._clock.now > self.leaving_at + 3.0
        excess = self.count_requests() + 1 - self.slots
        self._meter.overload = max(self._meter.overload, excess)
        self._queue.append((request, on_end))
        self._admit()

    def cancel(self, request: Request) -> None:
        """Drop a request whose router was lost."""
        self._queue = deque(e for e in self._queue if e[0] is not request)
        if self._running.pop(id(request), None) is not None:
            self._meter.change_engine(-1, self._clock.now)
        self._admit()

    def _admit(self) -> None:
        while self._queue and len(self._running) < self.slots:
            request, on_end = self._queue.popleft()
            self._running[id(request)] = request
            self._meter.change_engine(1, self._clock.now)
            cost = request.cost_s / self.speed
            self._clock.after(cost, self._end, request, on_end)

    def _end(self, request: Request, on_end: Callable[[], None]) -> None:
        if self._running.pop(id(request), None) is None:
            return
        self._meter.change_engine(-1, self._clock.now)
        on_end()
        self._admit()


def draw_cost(rng: random.Random, mean_s: float) -> float:
    """Return a log-normal cost of at most `MAX_COST_S`."""
    sigma = 1.2
    return min(
        MAX_COST_S,
        mean_s * rng.lognormvariate(-sigma * sigma / 2, sigma),
    )


@dataclass(slots=True)
class Load:
    """Requests of one account in one pool.

    Attributes
    ----------
    outstanding : int
        Requests that a closed loop of callers keeps in the fleet.
    rate : float
        Requests a second of an open loop; used when `outstanding` is 0.
    cost_s : float
        Mean cost in seconds; below 0.05 s it is fixed, else log-normal.
    priority : bool
        Whether requests use the account's priority path.
    weights : dict of int to float
        Weight of each router by its index; empty for equal weights.
    starts_at, ends_at : float
        Virtual time at which the load starts and ends, in seconds.
    pause_s : float
        Time between a response and the caller's next request, in seconds.
    """

    pool: str
    account: str
    outstanding: int = 0
    rate: float = 0.0
    cost_s: float = 4.0
    priority: bool = False
    weights: dict[int, float] = field(default_factory=dict)
    starts_at: float = 0.0
    ends_at: float = float("inf")
    pause_s: float = 0.002

    def draw(self, rng: random.Random) -> Request:
        """Return the account's next request."""
        cost = self.cost_s
        if cost >= 0.05:
            cost = draw_cost(rng, cost)
        return Request(self.pool, self.account, cost, self.priority)
