"""Orders of the lead controller to upstreams, with fencing numbers.

Every order is idempotent, so that it may be given again after a lost answer.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from ..process.timers import Timers
from .leading import LEASE_S
from .replica import Replica

# A holder gives no order in the last tenth of its lease, because the clocks
# of two hosts may differ by as much.
LEASE_MARGIN_S = 0.1 * LEASE_S


class OrderKind(Enum):
    """What an upstream is told to do."""

    DRAIN = "drain"
    LOAD = "load"
    ROLE = "role"


@dataclass(slots=True, frozen=True)
class Order:
    """An order to one upstream.

    Attributes
    ----------
    upstream, address : str
        Name and HTTP address.
    checks_fencing : bool
        Whether the upstream refuses an old fencing number.
    kind : OrderKind
    argument : str
        The model, adapter or version to load, or the role.
    """

    upstream: str
    address: str
    checks_fencing: bool
    kind: OrderKind
    argument: str = ""


@dataclass(slots=True, frozen=True)
class Fencing:
    """A number that grows from each leader to the next, and within a term."""

    term: int
    index: int

    def __str__(self) -> str:
        return f"{self.term}.{self.index}"


class OrderError(Enum):
    """Why an order was not given, or may not have been."""

    NOT_LEADER = "this controller does not lead"
    TOO_EARLY = "an order of the former leader may still be under way"
    REFUSED = "the upstream has refused the order"
    UNKNOWN = "the upstream has not confirmed; give the order again"


# Sends an order; returns whether the upstream took it, None when unknown.
SendOrder = Callable[[Order, Fencing], Awaitable[bool | None]]


class Orders:
    """Gives orders while this controller holds its lease.

    Parameters
    ----------
    replica : Replica
    timers : Timers
    send : callable
    """

    __slots__ = ("_led_since", "_replica", "_send", "_term", "_timers")

    def __init__(
        self, replica: Replica, timers: Timers, send: SendOrder
    ) -> None:
        self._replica = replica
        self._timers = timers
        self._send = send
        self._term = 0
        self._led_since = 0.0

    async def give(self, order: Order) -> Result[None, OrderError]:
        """Send an order, if this controller may give it now.

        An order is cut off when the lease is about to end, so that no order
        of this leader is under way once another one gives its own.

        Returns
        -------
        Result of None or OrderError
        """
        remaining = self._get_remaining()
        if remaining <= 0:
            return Err(OrderError.NOT_LEADER)
        if not order.checks_fencing and not self._is_settled():
            return Err(OrderError.TOO_EARLY)
        replica = self._replica
        fencing = Fencing(replica.term, replica.state.last_index)
        taken = None
        with self._timers.limit(remaining):
            taken = await self._send(order, fencing)
        if taken is None:
            return Err(OrderError.UNKNOWN)
        return Ok(None) if taken else Err(OrderError.REFUSED)

    def _get_remaining(self) -> float:
        """Return how long an order may take, in seconds."""
        lease_end = self._replica.get_lease_end()
        return lease_end - LEASE_MARGIN_S - self._timers.now()

    def _is_settled(self) -> bool:
        """Return whether the former leader's orders have ended.

        The time is counted from the first order of the term, at which the
        former lease had ended already or was given up.
        """
        now = self._timers.now()
        if self._replica.term != self._term:
            self._term = self._replica.term
            self._led_since = now
        return now >= self._led_since + LEASE_S + LEASE_MARGIN_S
