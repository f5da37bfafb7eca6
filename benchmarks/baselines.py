"""Baselines with one queue for all requests of a pool, without latency.

Also contains the callers that send requests to a baseline or to a fleet.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

from .events import Clock
from .measures import PoolMeter
from .requests import Load, Request


class GlobalQueue:
    """One queue in front of all slots of a pool.

    Parameters
    ----------
    clock : Clock
    meter : PoolMeter
    is_fair : bool
        Whether the account with the lowest tag starts next (fair queueing),
        instead of the request that came first. A tag is an account's service
        in seconds per unit of its share. An account that becomes backlogged
        starts at the lowest tag of the other backlogged accounts.
    """

    def __init__(self, clock: Clock, meter: PoolMeter, is_fair: bool) -> None:
        self._clock = clock
        self._meter = meter
        self._is_fair = is_fair
        self._fifo: deque[Request] = deque()
        self._queues: dict[str, deque[Request]] = {}
        self._offsets: dict[str, float] = {}

    def submit(self, request: Request) -> None:
        """Queue a request."""
        now = self._clock.now
        request.submitted_at = now
        self._meter.change_waiting(request.account, 1, now)
        if self._is_fair:
            queue = self._queues.setdefault(request.account, deque())
            if not queue:
                self._raise_tag(request.account)
            if request.priority:
                queue.appendleft(request)
            else:
                queue.append(request)
        else:
            self._fifo.append(request)
        self._start_ready()

    def _compute_tag(self, name: str) -> float:
        account = self._meter.accounts[name]
        account.advance(self._clock.now)
        tag = account.service_s / account.share
        return tag + self._offsets.get(name, 0.0)

    def _raise_tag(self, name: str) -> None:
        """Raise an account's tag to the lowest one of backlogged accounts."""
        tags = [self._compute_tag(n) for n, q in self._queues.items() if q]
        if tags:
            deficit = max(0.0, min(tags) - self._compute_tag(name))
            self._offsets[name] = self._offsets.get(name, 0.0) + deficit

    def _pop_next(self) -> Request | None:
        if not self._is_fair:
            return self._fifo.popleft() if self._fifo else None
        names = [name for name, queue in self._queues.items() if queue]
        if not names:
            return None
        return self._queues[min(names, key=self._compute_tag)].popleft()

    def _start_ready(self) -> None:
        now = self._clock.now
        while self._meter.used_slots < self._meter.slots:
            request = self._pop_next()
            if request is None:
                return
            meter = self._meter
            meter.change_waiting(request.account, -1, now)
            meter.change_running(request.account, 1, now)
            meter.change_engine(1, now)
            meter.max_cost_s = max(meter.max_cost_s, request.cost_s)
            if request.priority:
                meter.priority_waits.append(now - request.submitted_at)
            self._clock.after(request.cost_s, self._end, request)

    def _end(self, request: Request) -> None:
        now = self._clock.now
        self._meter.change_running(request.account, -1, now)
        self._meter.change_engine(-1, now)
        self._meter.finished += 1
        self._start_ready()
        if request.on_end is not None:
            request.on_end()


Submit = Callable[[Load, Request], None]


class Caller:
    """Sends the requests of a load in a closed or an open loop.

    Parameters
    ----------
    clock : Clock
    load : Load
    submit : callable
        Called with the load and each request.
    seed : str
        Seed of costs and arrival times.
    """

    def __init__(
        self, clock: Clock, load: Load, submit: Submit, seed: str
    ) -> None:
        self._clock = clock
        self._load = load
        self._submit = submit
        # Each load has its own generator, so all policies get equal costs.
        self._rng = random.Random(seed)
        clock.at(load.starts_at, self._begin)

    def _begin(self) -> None:
        if self._load.outstanding == 0:
            self._send_open()
            return
        for _ in range(self._load.outstanding):
            self._clock.after(self._rng.random() * 0.05, self._send)

    def _send(self) -> None:
        if self._clock.now >= self._load.ends_at:
            return
        request = self._load.draw(self._rng)
        request.on_end = self._schedule_next
        self._submit(self._load, request)

    def _schedule_next(self) -> None:
        self._clock.after(self._load.pause_s, self._send)

    def _send_open(self) -> None:
        if self._clock.now >= self._load.ends_at:
            return
        self._submit(self._load, self._load.draw(self._rng))
        pause = self._rng.expovariate(self._load.rate)
        self._clock.after(pause, self._send_open)
