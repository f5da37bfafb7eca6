"""Commands of the lead controller to upstreams, with fencing numbers.

Every command is idempotent, so that it may be given again after a lost answer.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from ..process.timers import Timers
from .leadership import LEASE_S
from .replica import Replica

# A holder gives no command in the last tenth of its lease, because the clocks
# of two hosts may differ by as much.
LEASE_MARGIN_S = 0.1 * LEASE_S


class CommandKind(Enum):
    """What an upstream is told to do."""

    DRAIN = "drain"
    LOAD = "load"
    ROLE = "role"


@dataclass(slots=True, frozen=True)
class UpstreamCommand:
    """A command to one upstream.

    Attributes
    ----------
    upstream, address : str
        Name and HTTP address.
    checks_fencing : bool
        Whether the upstream refuses an old fencing number.
    kind : CommandKind
    argument : str
        The model, adapter or version to load, or the role.
    """

    upstream: str
    address: str
    checks_fencing: bool
    kind: CommandKind
    argument: str = ""


@dataclass(slots=True, frozen=True)
class FencingToken:
    """A number that grows from each leader to the next, and within a term."""

    term: int
    index: int

    def __str__(self) -> str:
        return f"{self.term}.{self.index}"


class CommandError(Enum):
    """Why a command was not given, or may not have been."""

    NOT_LEADER = "this controller does not lead"
    TOO_EARLY = "a command of the former leader may still be under way"
    REFUSED = "the upstream has refused the command"
    UNKNOWN = "the upstream has not confirmed; send the command again"


# Sends a command; returns whether the upstream took it, None when unknown.
SendCommand = Callable[[UpstreamCommand, FencingToken], Awaitable[bool | None]]


class CommandSender:
    """Sends commands while this controller holds its lease.

    Parameters
    ----------
    replica : Replica
    timers : Timers
    send : callable
    """

    __slots__ = ("_replica", "_send", "_term", "_term_seen_at", "_timers")

    def __init__(
        self, replica: Replica, timers: Timers, send: SendCommand
    ) -> None:
        self._replica = replica
        self._timers = timers
        self._send = send
        self._term = 0
        self._term_seen_at = 0.0

    async def send(
        self, command: UpstreamCommand
    ) -> Result[None, CommandError]:
        """Send a command, if this controller may send it now.

        A command is cut off when the lease is about to end, so that none
        of this leader is under way once another one gives its own.

        Returns
        -------
        Result of None or CommandError
        """
        remaining = self._compute_remaining_s()
        if remaining <= 0:
            return Err(CommandError.NOT_LEADER)
        if not command.checks_fencing and not self._has_former_lease_ended():
            return Err(CommandError.TOO_EARLY)
        replica = self._replica
        fencing = FencingToken(replica.term, replica.state.last_index)
        taken = None
        with self._timers.limit(remaining):
            taken = await self._send(command, fencing)
        if taken is None:
            return Err(CommandError.UNKNOWN)
        return Ok(None) if taken else Err(CommandError.REFUSED)

    def _compute_remaining_s(self) -> float:
        """Return how long a command may take, in seconds."""
        lease_end = self._replica.get_lease_end()
        return lease_end - LEASE_MARGIN_S - self._timers.now()

    def _has_former_lease_ended(self) -> bool:
        """Return whether the former leader's commands have ended.

        The time is counted from the first command of the term, at which the
        former lease had ended already or was given up.
        """
        now = self._timers.now()
        if self._replica.term != self._term:
            self._term = self._replica.term
            self._term_seen_at = now
        return now >= self._term_seen_at + LEASE_S + LEASE_MARGIN_S
