"""The slots that a router holds in one pool."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from .allocation import Allocation
from .worker import Worker


@dataclass(slots=True)
class _Held:
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

    Slots come from the lead controller's allocations. While the lead
    controller can't be reached, the router uses its fallback share.
    """

    __slots__ = ("_fallback", "_idle", "_recalled", "_slots", "_target_slots")

    def __init__(self) -> None:
        self._slots: dict[str, _Held] = {}
        self._target_slots = 0
        self._recalled = False
        self._fallback: dict[str, int] | None = None
        # Idle slots, or None when they have to be counted again.
        self._idle: int | None = None

    # ---- allocations -----------------------------------------------------

    def apply(self, allocation: Allocation) -> None:
        """Take the slots of an allocation; it ends the fallback."""
        self._idle = None
        self._fallback = None
        self._target_slots = allocation.target_slots
        self._recalled = allocation.recalled
        for name, granted in allocation.granted.items():
            held = self._slots.setdefault(name, _Held())
            held.granted = max(held.granted, granted)
        for name, held in self._slots.items():
            held.closed = name in allocation.closed

    def restart(self, keep_idle: bool) -> dict[str, int]:
        """Begin a new stream; return the slots held of each worker.

        Parameters
        ----------
        keep_idle : bool
            Whether idle slots are still covered by a lease.
        """
        self._idle = None
        for held in self._slots.values():
            kept = held.running
            if keep_idle:
                kept = max(kept, held.count_held())
            held.granted = kept
            held.returned = 0
        self._target_slots = self.count_held()
        return {
            name: held.granted
            for name, held in self._slots.items()
            if held.granted
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
            This router's place among the routers last known, from 0.
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
        """Return idle slots beyond what the router should hold.

        Idle slots of closed workers are returned too.

        Returns
        -------
        int
            Number of slots returned.
        """
        if self._fallback is not None:
            return 0
        self._idle = None
        returned = 0
        for held in self._slots.values():
            if held.closed:
                idle = held.count_held() - held.running
                held.returned += idle
                returned += idle
        excess = self.count_held() - self._target_slots
        return returned + self.return_idle(excess)

    def return_idle(self, most: int) -> int:
        """Return at most `most` idle slots; return their number."""
        if self._fallback is not None:
            return 0
        self._idle = None
        left = most
        for held in self._slots.values():
            count = min(left, held.count_idle())
            if count > 0:
                held.returned += count
                left -= count
        return max(0, most) - max(0, left)

    # ---- use -------------------------------------------------------------

    def list_idle(self) -> list[tuple[str, float]]:
        """Return workers with an idle slot and the used part of the slots."""
        idle = []
        for name, held in self._slots.items():
            usable = self._count_usable(name, held)
            if usable > held.running and not held.closed:
                idle.append((name, held.running / usable))
        if self._fallback is not None:
            idle += [
                (name, 0.0)
                for name, count in self._fallback.items()
                if count > 0 and name not in self._slots
            ]
        return idle

    def acquire(self, worker: str) -> None:
        """Mark one idle slot of a worker as running a request."""
        self._slots.setdefault(worker, _Held()).running += 1
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
        held = self._slots.get(worker)
        if held is not None:
            held.closed = True
        if self._fallback is not None:
            self._fallback.pop(worker, None)

    # ---- counts ----------------------------------------------------------

    def count_held(self) -> int:
        """Return the number of slots held."""
        return sum(held.count_held() for held in self._slots.values())

    def count_running(self) -> int:
        """Return the number of slots that run a request."""
        return sum(held.running for held in self._slots.values())

    def count_idle(self) -> int:
        """Return the number of idle slots that may be used."""
        if self._idle is None:
            self._idle = self._count_all_idle()
        return self._idle

    def _change_idle(self, worker: str, by: int) -> None:
        """Keep the count of idle slots, as it is asked for each request."""
        held = self._slots[worker]
        if self._fallback is not None or held.count_held() < held.running + 1:
            self._idle = None
        elif self._idle is not None and not held.closed:
            self._idle += by

    def _count_all_idle(self) -> int:
        if self._fallback is None:
            return sum(
                max(0, held.count_idle()) for held in self._slots.values()
            )
        return sum(
            max(0, count - self._count_running_on(name))
            for name, count in self._fallback.items()
        )

    def is_over(self) -> bool:
        """Return whether more slots are held than should be."""
        return (
            self._fallback is None and self.count_held() > self._target_slots
        )

    def is_recalled(self) -> bool:
        """Return whether the excess should be returned once it is idle."""
        return self._recalled and self.is_over()

    def list_returned(self) -> dict[str, tuple[int, int]]:
        """Return for each worker the slots returned and running."""
        return {
            name: (held.returned, held.running)
            for name, held in self._slots.items()
        }

    def _count_usable(self, name: str, held: _Held) -> int:
        if self._fallback is not None:
            return self._fallback.get(name, 0)
        return held.count_held()

    def _count_running_on(self, name: str) -> int:
        held = self._slots.get(name)
        return held.running if held is not None else 0


def compute_fallback_slots(worker: Worker, rank: int, routers: int) -> int:
    """Return a router's fallback share of a worker's slots.

    The shares of all `routers` add up to exactly the worker's slots, so
    that a fleet without a lead controller overloads no worker.

    Parameters
    ----------
    worker : Worker
    rank : int
        The router's place among the routers, from 0.
    routers : int
        Number of routers, at least 1.

    Returns
    -------
    int
        Number of slots.
    """
    share, rest = divmod(worker.slots, routers)
    place = (rank + zlib.crc32(worker.name.encode())) % routers
    return share + (1 if place < rest else 0)
