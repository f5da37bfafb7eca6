"""Upstreams that start again at once after a crash.

Usually an upstream that has crashed refuses connections. Where something keeps
its socket open and starts it again at once, only the announcement of the new
start at its address tells that it has ended.
"""

from __future__ import annotations

from collections.abc import Iterable

from .crashes import Crash
from .upstream_registry import UpstreamStart

# A new start that is announced later doesn't tell why an earlier request broke
# off.
CONFIRMATION_S = 10.0
# Bounds of the memory.
MAX_UNCONFIRMED = 256
MAX_ADDRESSES = 16 * 1024
MAX_LEAVING = 1024


class Restarts:
    """Possible crashes of upstreams that still accepted connections."""

    __slots__ = ("_leaving", "_starts", "_unconfirmed")

    def __init__(self) -> None:
        self._leaving: dict[UpstreamStart, None] = {}
        # The newest start at each address.
        self._starts: dict[str, UpstreamStart] = {}
        self._unconfirmed: dict[str, Crash] = {}

    def is_replaced(self, upstream: UpstreamStart, address: str) -> bool:
        """Return whether an upstream has been replaced without leaving."""
        if upstream in self._leaving:
            return False
        return self._starts.get(address, upstream) != upstream

    def keep(self, crash: Crash, address: str) -> None:
        """Keep a possible crash until the upstream has started again.

        Parameters
        ----------
        crash : Crash
        address : str
            `http://ip:port` of the upstream.
        """
        kept = self._unconfirmed.pop(address, None)
        if kept is not None and kept.upstream == crash.upstream:
            kept.add(crash)
            kept.crashed_at = crash.crashed_at
            crash = kept
        self._unconfirmed[address] = crash
        if len(self._unconfirmed) > MAX_UNCONFIRMED:
            del self._unconfirmed[next(iter(self._unconfirmed))]

    def record_answer(self, suspects: Iterable[str]) -> None:
        """Clear suspects of the possible crashes, because of an answer."""
        for crash in self._unconfirmed.values():
            crash.cleared |= crash.suspects.keys() & suspects

    def record_leaving(self, upstream: UpstreamStart) -> None:
        """Record that an upstream will end by itself."""
        self._leaving[upstream] = None
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]

    def record_start(
        self, upstream: UpstreamStart, address: str, now: float
    ) -> Crash | None:
        """Record a start of an upstream.

        Parameters
        ----------
        upstream : UpstreamStart
        address : str
            `http://ip:port` of the upstream.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Crash or None
            The crash of the earlier upstream at the address, if requests
            broke off there shortly before.
        """
        self._starts.pop(address, None)
        self._starts[address] = upstream
        if len(self._starts) > MAX_ADDRESSES:
            del self._starts[next(iter(self._starts))]
        crash = self._unconfirmed.get(address)
        if crash is None or crash.upstream == upstream:
            return None
        del self._unconfirmed[address]
        if crash.upstream in self._leaving:
            return None
        return crash if now - crash.crashed_at <= CONFIRMATION_S else None
