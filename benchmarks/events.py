"""Virtual time, host costs, and a network with latency and partitions."""

from __future__ import annotations

import heapq
import itertools
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

# gRPC prefix, HTTP/2 frame header, and IP and TCP headers of one message.
FRAMING_BYTES = 5 + 9 + 52
# Processor time of grpcio for one message at one end.
MESSAGE_CPU_S = 55e-6


class Clock:
    """Runs callbacks in order of virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., object], Any]] = []
        self._numbers = itertools.count()

    def at(
        self, due: float, callback: Callable[..., object], *args: Any
    ) -> None:
        """Call `callback` at `due` seconds."""
        due = max(due, self.now)
        heapq.heappush(self._heap, (due, next(self._numbers), callback, args))

    def after(
        self, delay: float, callback: Callable[..., object], *args: Any
    ) -> None:
        """Call `callback` after `delay` seconds."""
        self.at(self.now + delay, callback, *args)

    def every(self, interval: float, callback: Callable[[], object]) -> None:
        """Call `callback` every `interval` seconds."""

        def tick() -> None:
            callback()
            self.after(interval, tick)

        self.after(interval, tick)

    def run(self, until: float) -> None:
        """Run all events up to `until` seconds."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            due, _, callback, args = heapq.heappop(heap)
            self.now = due
            callback(*args)
        self.now = until


class ClockTimers:
    """Clocks in virtual time, with the methods that a controller uses."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def now(self) -> float:
        """Return virtual monotonic time in seconds."""
        return self._clock.now

    def wall_ms(self) -> int:
        """Return virtual wall-clock time in milliseconds."""
        return int(self._clock.now * 1000)


class Costs:
    """Control traffic and processor time of each host.

    Attributes
    ----------
    bytes, messages : Counter of str
        Control messages sent or received, by host.
    control_cpu_s, request_cpu_s : Counter of str
        Processor time for control and for requests, by host.
    plan_times_s : list of float
        Processor time of each plan.
    """

    def __init__(self) -> None:
        self.bytes: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self.control_cpu_s: Counter[str] = Counter()
        self.request_cpu_s: Counter[str] = Counter()
        self.plan_times_s: list[float] = []

    def add_message(self, host: str, size: int) -> None:
        """Add a message of `size` bytes that a host sent or received."""
        self.bytes[host] += size + FRAMING_BYTES
        self.messages[host] += 1
        self.control_cpu_s[host] += MESSAGE_CPU_S

    @contextmanager
    def measure(self, host: str) -> Iterator[None]:
        """Add a `with` block's processor time to a host's control time."""
        started = time.thread_time()
        yield
        self.control_cpu_s[host] += time.thread_time() - started


class Network:
    """Delivers messages between hosts, unless a partition separates them.

    Parameters
    ----------
    clock : Clock
    cross_zone_s : float
        One-way latency between availability zones in seconds.
    """

    def __init__(self, clock: Clock, cross_zone_s: float) -> None:
        self._clock = clock
        self._cross_zone_s = cross_zone_s
        self._zones: dict[str, str] = {}
        self._sides: dict[str, int] = {}

    def add_host(self, host: str, zone: str) -> None:
        """Add a host in an availability zone, or move it there."""
        self._zones[host] = zone

    def partition(self, hosts: list[str]) -> None:
        """Separate some hosts from all others; end an earlier partition."""
        self._sides = dict.fromkeys(hosts, 1)

    def heal(self) -> None:
        """End the partition."""
        self._sides = {}

    def is_connected(self, first: str, second: str) -> bool:
        """Return whether messages pass between two hosts."""
        return self._sides.get(first, 0) == self._sides.get(second, 0)

    def get_latency(self, first: str, second: str) -> float:
        """Return the one-way latency between two hosts in seconds."""
        same = self._zones[first] == self._zones[second]
        return 0.25e-3 if same else self._cross_zone_s

    def send(
        self,
        source: str,
        target: str,
        callback: Callable[..., object],
        *args: Any,
    ) -> None:
        """Call `callback` after the latency, or never in a partition."""
        if self.is_connected(source, target):
            self._clock.after(
                self.get_latency(source, target), callback, *args
            )
