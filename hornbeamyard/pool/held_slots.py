"""The slots that a router holds in one pool."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from .allocation import Allocation
from .worker import Worker


@dataclass(slots=True)
class _WorkerSlots:
    """Slots of one worker; grants and returns are cumulative counters."""

    granted: int = 0
    returned: int = 0
    running: int = 0
    closed: bool = False

    def count_held(self) -> int:
        return self.granted - self.returned

    def count_idle(self) -> int:
        return 0 if self.closed else self.count_held() - self.running


class HeldSlots:
    """Slots of a pool's workers that this router may use.

    The lead controller grants them with its allocations. While it can't be
    reached, the router uses its fallback share of each worker instead.
    """

    __slots__ = ("_fallback", "_idle", "_recalled", "_slots", "_target_slots")

    def __init__(self) -> None:
        self._slots: dict[str, _WorkerSlots] = {}
        self._target_slots = 0
        self._recalled = False
        self._fallback: dict[str, int] | None = None
        # Number of idle slots; None when it has to be computed again.
        self._idle: int | None = None

    # ---- allocations -----------------------------------------------------

    def apply(self, allocation: Allocation) -> None:
        """Apply an allocation; it ends the fallback.

        Counters of granted slots never go back, so that a repeated or late
        message changes nothing.
        """
        self._idle = None
        self._fallback = None
        self._target_slots = allocation.target_slots
        self._recalled = allocation.recalled
        for name, granted in allocation.granted.items():
            slots = self._slots.setdefault(name, _WorkerSlots())
            slots.granted = max(slots.granted, granted)
        for name, slots in self._slots.items():
            slots.closed = name in allocation.closed

    def restart(self, keep_idle: bool) -> dict[str, int]:
        """Restart the counters for a new stream to the lead controller.

        Parameters
        ----------
        keep_idle : bool
            Whether a lease still covers idle slots.

        Returns
        -------
        dict of str to int
            For each worker the slots held, where there are any.
        """
        self._idle = None
        for slots in self._slots.values():
            kept = slots.running
            if keep_idle:
                kept = max(kept, slots.count_held())
            slots.granted = kept
            slots.returned = 0
        self._target_slots = self.count_held()
        return {
            name: slots.granted
            for name, slots in self._slots.items()
            if slots.granted
        }

    def enter_fallback(
        self, workers: Iterable[Worker], rank: int, routers: int
    ) -> None:
        """Use the fallback share instead of the allocation.

        Parameters
        ----------
        workers : iterable of Worker
            Workers that are known to take requests.
        rank : int
            Index of this router among the routers last known, from 0.
        routers : int
            Number of routers last known, at least 1.
        """
        self._idle = None
        self._fallback = {
            worker.name: compute_fallback_slots(worker, rank, routers)
            for worker in workers
        }

    def is_fallback(self) -> bool:
        """Return whether the fallback share is in use."""
        return self._fallback is not None

    def return_excess(self) -> int:
        """Give back idle slots beyond the number that the router should hold.

        Idle slots of closed workers are given back too.

        Returns
        -------
        int
            Number of slots given back.
        """
        if self._fallback is not None:
            return 0
        self._idle = None
        returned = 0
        for slots in self._slots.values():
            if slots.closed:
                idle = slots.count_held() - slots.running
                slots.returned += idle
                returned += idle
        excess = self.count_held() - self._target_slots
        return returned + self.return_idle(excess)

    def return_idle(self, max_count: int) -> int:
        """Give back at most `max_count` idle slots; return their number."""
        if self._fallback is not None:
            return 0
        self._idle = None
        left = max_count
        for slots in self._slots.values():
            count = min(left, slots.count_idle())
            if count > 0:
                slots.returned += count
                left -= count
        return max(0, max_count) - max(0, left)

    # ---- use -------------------------------------------------------------

    def list_idle(self) -> list[tuple[str, float]]:
        """Return workers with an idle slot, and their fraction of used slots.

        The fraction is of the slots that this router may use.
        """
        idle = []
        for name, slots in self._slots.items():
            usable = self._count_usable(name, slots)
            if usable > slots.running and not slots.closed:
                idle.append((name, slots.running / usable))
        if self._fallback is not None:
            idle += [
                (name, 0.0)
                for name, count in self._fallback.items()
                if count > 0 and name not in self._slots
            ]
        return idle

    def acquire(self, worker: str) -> None:
        """Mark one idle slot of a worker as running a request."""
        self._slots.setdefault(worker, _WorkerSlots()).running += 1
        self._change_idle(worker, -1)

    def release(self, worker: str) -> None:
        """Mark one slot of a worker as idle again."""
        self._slots[worker].running -= 1
        self._change_idle(worker, 1)

    def forget(self, worker: str) -> None:
        """Stop using a worker that is gone.

        Its counters stay, so that they agree with the controller's when the
        worker comes back.
        """
        self._idle = None
        slots = self._slots.get(worker)
        if slots is not None:
            slots.closed = True
        if self._fallback is not None:
            self._fallback.pop(worker, None)

    # ---- counts ----------------------------------------------------------

    def count_held(self) -> int:
        """Return the number of slots held."""
        return sum(slots.count_held() for slots in self._slots.values())

    def count_running(self) -> int:
        """Return the number of slots that run a request."""
        return sum(slots.running for slots in self._slots.values())

    def count_idle(self) -> int:
        """Return the number of idle slots that may be used."""
        if self._idle is None:
            self._idle = self._count_all_idle()
        return self._idle

    def _change_idle(self, worker: str, by: int) -> None:
        """Update the count of idle slots without computing it again.

        Every request needs the count.
        """
        slots = self._slots[worker]
        if (
            self._fallback is not None
            or slots.count_held() < slots.running + 1
        ):
            self._idle = None
        elif self._idle is not None and not slots.closed:
            self._idle += by

    def _count_all_idle(self) -> int:
        if self._fallback is None:
            return sum(
                max(0, slots.count_idle()) for slots in self._slots.values()
            )
        return sum(
            max(0, count - self._count_running_on(name))
            for name, count in self._fallback.items()
        )

    def has_excess(self) -> bool:
        """Return whether the router holds more slots than it should."""
        return (
            self._fallback is None and self.count_held() > self._target_slots
        )

    def is_recalled(self) -> bool:
        """Return whether excess slots go back as soon as they are idle."""
        return self._recalled and self.has_excess()

    def list_returned(self) -> dict[str, tuple[int, int]]:
        """Return for each worker the slots returned and in use."""
        return {
            name: (slots.returned, slots.running)
            for name, slots in self._slots.items()
        }

    def _count_usable(self, name: str, slots: _WorkerSlots) -> int:
        if self._fallback is not None:
            return self._fallback.get(name, 0)
        return slots.count_held()

    def _count_running_on(self, name: str) -> int:
        slots = self._slots.get(name)
        return slots.running if slots is not None else 0


def compute_fallback_slots(worker: Worker, rank: int, routers: int) -> int:
    """Return a router's fallback share of a worker's slots.

    The shares of all routers add up to exactly the worker's slots, so that a
    fleet without a lead controller overloads no worker.

    Parameters
    ----------
    worker : Worker
    rank : int
        Index of the router among the routers, from 0.
    routers : int
        Number of routers, at least 1.

    Returns
    -------
    int
        Number of slots.
    """
    share, rest = divmod(worker.slots, routers)
    index = (rank + zlib.crc32(worker.name.encode())) % routers
    return share + (1 if index < rest else 0)
