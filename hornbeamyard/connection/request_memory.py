"""The account of the bytes that a process holds for requests.

It decides without input or output: whether more bytes of a request may be
held, and which request has to give way when the room is used up.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

# Requests up to this size may use the reserve, in bytes.
SMALL_REQUEST_BYTES = 64 * 1024
# Fraction of the room that only small requests may use.
RESERVED_FRACTION = 0.125
# Fraction of the room for the requests of one address. Load balancers and
# address translation let many callers share one, so it is high.
ADDRESS_FRACTION = 0.75
# Time in which the body of a request has to make progress.
BODY_TIMEOUT_S = 60.0
# Average rate over that time, in bytes per second. An analogue modem
# transfers some 50 times as much.
BODY_RATE = 128.0
# A body without progress for this time may give way to other requests. Those
# that arrive at full speed don't interrupt each other.
STALL_S = 0.5
# Memory of a process without requests, in bytes. Routers and controllers take
# 58 MB.
BASE_BYTES = 64 * 1024 * 1024
# Fraction of the memory for requests.
MEMORY_FRACTION = 0.25
# A body takes its size again while it is sent, and a third time while the
# system's allocator can't reuse what earlier ones left.
COPIES = 3
# Room that a process has in any case, in bytes.
MIN_ROOM_BYTES = 8 * 1024 * 1024


def compute_room(memory: float, setting: int = 0) -> int:
    """Return the room for requests.

    Parameters
    ----------
    memory : float
        Memory that the process may use, in bytes.
    setting : int, optional
        Upper bound of the room, in bytes; 0 for none.

    Returns
    -------
    int
        Bytes.
    """
    room = min(memory * MEMORY_FRACTION, (memory - BASE_BYTES) / COPIES)
    room = max(room, MIN_ROOM_BYTES)
    return int(min(room, setting) if setting else room)


class RequestMemory:
    """Counts the bytes that a process holds for requests, with limits.

    A connection that is alone is always admitted, so that a single request
    within the limits of its size is served on any machine.

    Parameters
    ----------
    max_size : float, optional
        The room in bytes; infinite without a limit.

    Attributes
    ----------
    max_size : float
        In bytes.
    size : int
        In bytes.
    peak : int
        Highest size since it was last set, in bytes.
    address_fraction, reserved_fraction : float
        Fractions of the room for one address, and for small requests only.
    body_timeout_s : float
        Time in which a body has to make progress, in seconds.
    body_rate : float
        Average rate over that time, in bytes per second.
    """

    __slots__ = (
        "_address_sizes",
        "_arriving",
        "address_fraction",
        "body_rate",
        "body_timeout_s",
        "max_size",
        "peak",
        "reserved_fraction",
        "size",
    )

    def __init__(self, max_size: float = float("inf")) -> None:
        self._address_sizes: dict[str, int] = {}
        # In the order in which they began.
        self._arriving: dict[RequestBytes, None] = {}
        self.max_size = max_size
        self.size = 0
        self.peak = 0
        self.address_fraction = ADDRESS_FRACTION
        self.reserved_fraction = RESERVED_FRACTION
        self.body_timeout_s = BODY_TIMEOUT_S
        self.body_rate = BODY_RATE

    def open(
        self,
        address: str,
        now: float,
        evict: Callable[[], object],
        expected_size: int = 0,
    ) -> RequestBytes:
        """Return the account of a request whose bytes begin to arrive.

        Parameters
        ----------
        address : str
            IP address of the caller.
        now : float
            Monotonic time in seconds.
        evict : callable
            Ends the request and releases its bytes.
        expected_size : int, optional
            Size that the request announces, in bytes; 0 if it doesn't.
        """
        request = RequestBytes(self, address, now, evict, expected_size)
        self._arriving[request] = None
        return request

    def is_empty(self) -> bool:
        """Return whether nothing is held, for any address."""
        return not (self.size or self._address_sizes or self._arriving)

    def may_hold(self, request: RequestBytes, size: int) -> bool:
        """Return whether a request may hold more bytes."""
        sibling = request.sibling
        own_size = request.size + (sibling.size if sibling else 0)
        if self.size == own_size:
            return True
        expected = max(request.expected_size, request.size + size)
        is_small = expected <= SMALL_REQUEST_BYTES
        part = 1.0 if is_small else 1.0 - self.reserved_fraction
        if self.size + size > self.max_size * part:
            return False
        return is_small or not self._exceeds_address(request, size)

    def make_room(self, request: RequestBytes, size: int, now: float) -> bool:
        """End stalled requests until one may hold more bytes.

        Returns
        -------
        bool
            False if too few others are stalled.
        """
        while not self.may_hold(request, size):
            others: Iterable[RequestBytes] = self._arriving
            if self._exceeds_address(request, size):
                others = [o for o in others if o.address == request.address]
            stalled = [
                other
                for other in others
                if other not in (request, request.sibling)
                and other.size
                and now - other.progress_at >= STALL_S
            ]
            if not stalled:
                return False
            slowest = min(stalled, key=lambda other: other.progress_at)
            slowest.evict()
            # Also if the request can't be ended now.
            slowest.release()
        return True

    def _exceeds_address(self, request: RequestBytes, size: int) -> bool:
        held = self._address_sizes.get(request.address, 0)
        limit = self.max_size * self.address_fraction
        return held != request.size and held + size > limit

    def _add(self, request: RequestBytes, size: int) -> None:
        self.size += size
        self.peak = max(self.peak, self.size)
        held = self._address_sizes.get(request.address, 0) + size
        if held:
            self._address_sizes[request.address] = held
        else:
            self._address_sizes.pop(request.address, None)

    def _close(self, request: RequestBytes) -> None:
        self._arriving.pop(request, None)


class RequestBytes:
    """The bytes that are held for one request.

    Attributes
    ----------
    address : str
    size : int
        In bytes.
    progress_at : float
        Monotonic time in seconds of the last progress: the request's begin,
        or the time at which its bytes since the previous one met the minimum
        rate over the whole time limit. Single bytes are no progress.
    evict : callable
        Ends the request and releases its bytes.
    expected_size : int
        Size that the request announces, in bytes; 0 if it doesn't.
    sibling : RequestBytes or None
        Other bytes of the same connection.
    """

    __slots__ = (
        "_arrived",
        "_is_released",
        "_memory",
        "address",
        "evict",
        "expected_size",
        "progress_at",
        "sibling",
        "size",
    )

    def __init__(
        self,
        memory: RequestMemory,
        address: str,
        now: float,
        evict: Callable[[], object],
        expected_size: int,
    ) -> None:
        # Bytes since the last progress.
        self._arrived = 0
        self._is_released = False
        self._memory = memory
        self.address = address
        self.evict = evict
        self.expected_size = expected_size
        self.progress_at = now
        self.sibling: RequestBytes | None = None
        self.size = 0

    def record_progress(self, size: int, now: float) -> None:
        """Record bytes that have arrived, held or not."""
        self._arrived += size
        memory = self._memory
        if self._arrived >= memory.body_rate * memory.body_timeout_s:
            self._arrived = 0
            self.progress_at = now

    def add(self, size: int, now: float) -> bool:
        """Hold more bytes; return False if there is no room for them."""
        self.record_progress(size, now)
        if self._is_released:
            return False
        if not self._memory.may_hold(
            self, size
        ) and not self._memory.make_room(self, size, now):
            return False
        self.size += size
        self._memory._add(self, size)
        return True

    def resize(self, size: int, now: float) -> bool:
        """Hold exactly a number of bytes; return False without room."""
        if size > self.size:
            return self.add(size - self.size, now)
        self._memory._add(self, size - self.size)
        self.size = size
        return True

    def is_late(self, now: float) -> bool:
        """Return whether the bytes arrive below the minimum rate."""
        return now - self.progress_at >= self._memory.body_timeout_s

    def complete(self) -> None:
        """Record that all bytes have arrived, so that they stay."""
        self._memory._close(self)

    def release(self) -> None:
        """Hold nothing any more."""
        self._is_released = True
        self._memory._close(self)
        self._memory._add(self, -self.size)
        self.sibling = None
        self.size = 0
