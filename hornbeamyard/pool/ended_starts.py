"""Starts of upstreams that have ended without an announcement.

An upstream may start again under its id and address, with other software and
an empty KV cache. Until its new start is announced, what is recorded about the
old one says nothing about the process that accepts connections there.
"""

from __future__ import annotations

from dataclasses import dataclass

from .upstream_registry import (
    ENDED_RETENTION_S,
    UpstreamRegistry,
    UpstreamStart,
)

# Stands for the software version of an upstream whose last known start has
# ended. No upstream can announce it, as it has a control character.
UNKNOWN_VERSION = "\x00unknown"
# Longest time in seconds that counts between two calls of `release`.
MAX_STEP_S = 0.5
# Bounds the memory.
MAX_STARTS = 4096


@dataclass(slots=True)
class _End:
    """What has become known since a start was seen to have ended.

    Attributes
    ----------
    waited_s : float
        Time in seconds for which this process has run since.
    sequence : int or None
        Sequence number of the newest announcement once late ones can be
        excluded; None before.
    """

    waited_s: float = 0.0
    sequence: int | None = None


class EndedStarts:
    """Starts of upstreams that are known to have ended."""

    __slots__ = ("_ends", "_released_at")

    def __init__(self) -> None:
        # In the order of the times.
        self._ends: dict[UpstreamStart, _End] = {}
        self._released_at = 0.0

    def __len__(self) -> int:
        """Return the number of starts."""
        return len(self._ends)

    def __contains__(self, upstream: UpstreamStart) -> bool:
        """Return whether a start is known to have ended."""
        return upstream in self._ends

    def record(self, upstream: UpstreamStart) -> bool:
        """Record that a start has ended; return whether that is new."""
        is_new = self._ends.pop(upstream, None) is None
        self._ends[upstream] = _End()
        if len(self._ends) > MAX_STARTS:
            del self._ends[next(iter(self._ends))]
        return is_new

    def release(
        self, registry: UpstreamRegistry, now: float, max_delay_s: float
    ) -> list[UpstreamStart]:
        """Forget starts that are replaced, or that go on after all.

        A start that is still announced when its announcements from before
        can't arrive any more has only refused connections for a while. To be
        called repeatedly.

        Parameters
        ----------
        registry : UpstreamRegistry
        now : float
            Monotonic time in seconds.
        max_delay_s : float
            Time in seconds by which announcements may be late.

        Returns
        -------
        list of UpstreamStart
            Those that go on.
        """
        # A process that has stood still may find old announcements unread.
        elapsed_s = min(now - self._released_at, MAX_STEP_S)
        self._released_at = now
        resumed = []
        for upstream, end in list(self._ends.items()):
            end.waited_s += elapsed_s
            known = registry.get(upstream.id)
            if known is None:
                # It may come back with a late announcement.
                if end.waited_s > ENDED_RETENTION_S:
                    del self._ends[upstream]
            elif known.start != upstream:
                del self._ends[upstream]
            elif end.sequence is not None:
                if known.sequence > end.sequence:
                    del self._ends[upstream]
                    resumed.append(upstream)
            elif end.waited_s > max_delay_s:
                end.sequence = known.sequence
        return resumed
