"""A router's queue for one pool, with limits for each client account."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from result import Err, Ok, Result


@dataclass(slots=True)
class QueueBounds:
    """Limits of one account's queue at one router.

    Attributes
    ----------
    requests : int
        Largest number of waiting requests.
    size : int
        Largest sum of the bodies of waiting requests, in bytes.
    """

    requests: int = 1000
    size: int = 64 * 1024 * 1024


@dataclass(slots=True)
class QueueFull:
    """A request was not queued because its account's queue is full.

    Attributes
    ----------
    client_account : str
    bound : str
        Name of the limit that was reached.
    value : int
        Value of that limit.
    """

    client_account: str
    bound: str
    value: int

    def __str__(self) -> str:
        return (
            f"the queue of client account {self.client_account!r} is full: "
            f"the limit on its {self.bound} is {self.value}"
        )


@dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits for a slot.

    Attributes
    ----------
    client_account : str
    priority : bool
        Whether the request is on its account's priority path.
    size : int
        Size of the request's body in bytes.
    received_at : float
        Monotonic time in seconds.
    start_by : float
        Monotonic time after which the request is given up, in seconds.
    prefix : int
        Hash of the prompt prefix, or 0 when it is unknown.
    digest : str
        Digest of the request.
    is_probe : bool
        Whether the request may be sent once although it is blocked for
        crashes of upstreams.
    avoid : set of str
        Workers on which an earlier attempt failed.
    on_settled : callable, optional
        Called when the ticket got a slot or was given up.
    """

    client_account: str
    priority: bool = False
    size: int = 0
    received_at: float = 0.0
    start_by: float = float("inf")
    prefix: int = 0
    digest: str = ""
    is_probe: bool = False
    avoid: set[str] = field(default_factory=set)
    on_settled: Callable[[], None] | None = None


@dataclass(slots=True)
class _AccountQueue:
    priority: deque[Ticket] = field(default_factory=deque)
    normal: deque[Ticket] = field(default_factory=deque)
    size: int = 0

    def __len__(self) -> int:
        return len(self.priority) + len(self.normal)


class Backlog:
    """Waiting requests of one pool at one router, in order of arrival.

    Iterating yields all tickets.

    Parameters
    ----------
    default_bounds : QueueBounds
        Limits of accounts that have none of their own.
    """

    __slots__ = ("_bounds", "_count", "_default_bounds", "_queues")

    def __init__(self, default_bounds: QueueBounds) -> None:
        self._default_bounds = default_bounds
        self._bounds: Mapping[str, QueueBounds] = {}
        self._queues: dict[str, _AccountQueue] = {}
        self._count = 0

    def set_bounds(self, bounds: Mapping[str, QueueBounds]) -> None:
        """Set the limits of accounts' queues; all pools share one mapping."""
        self._bounds = bounds

    def push(
        self, ticket: Ticket, front: bool = False
    ) -> Result[None, QueueFull]:
        """Append a ticket, or put it at the front of its account's queue.

        A ticket at the front is that of an attempt that failed. It was
        admitted before, so the limits don't apply to it.
        """
        name = ticket.client_account
        queue = self._queues.get(name) or _AccountQueue()
        bounds = self._bounds.get(name, self._default_bounds)
        if not front and len(queue) >= bounds.requests:
            return Err(QueueFull(name, "requests", bounds.requests))
        if not front and queue.size + ticket.size > bounds.size:
            return Err(QueueFull(name, "size in bytes", bounds.size))
        self._queues[name] = queue
        tickets = queue.priority if ticket.priority else queue.normal
        if front:
            tickets.appendleft(ticket)
        else:
            tickets.append(ticket)
        queue.size += ticket.size
        self._count += 1
        return Ok(None)

    def pop(self, client_account: str) -> Ticket:
        """Remove and return the next ticket of an account, priority first."""
        queue = self._queues[client_account]
        tickets = queue.priority or queue.normal
        ticket = tickets.popleft()
        self._update_after_removal(queue, ticket)
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket; return whether it was still waiting."""
        queue = self._queues.get(ticket.client_account)
        if queue is None:
            return False
        tickets = queue.priority if ticket.priority else queue.normal
        if ticket not in tickets:
            return False
        tickets.remove(ticket)
        self._update_after_removal(queue, ticket)
        return True

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the tickets whose `start_by` has passed."""
        expired = [ticket for ticket in self if ticket.start_by <= now]
        for ticket in expired:
            self.remove(ticket)
        return expired

    def count_waiting(self, client_account: str) -> int:
        """Return how many requests of an account wait."""
        queue = self._queues.get(client_account)
        return len(queue) if queue is not None else 0

    def count_waiting_priority(self, client_account: str) -> int:
        """Return how many requests of an account wait on its priority path."""
        queue = self._queues.get(client_account)
        return len(queue.priority) if queue is not None else 0

    def list_accounts(self) -> list[str]:
        """Return the accounts that have waiting requests."""
        return list(self._queues)

    def __iter__(self) -> Iterator[Ticket]:
        for queue in list(self._queues.values()):
            yield from list(queue.priority)
            yield from list(queue.normal)

    def __len__(self) -> int:
        return self._count

    def _update_after_removal(
        self, queue: _AccountQueue, ticket: Ticket
    ) -> None:
        queue.size -= ticket.size
        self._count -= 1
        if not queue:
            del self._queues[ticket.client_account]
