"""Commands from the lead controller to upstreams, with fencing tokens.

Commands are idempotent, so that one may be sent again after a lost reply.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from ..process.timers import Timers
from .leadership import LEASE_S
from .replica import Replica

# The leader sends no command in the last tenth of its lease, because the
# clock rates of two hosts may differ by as much.
LEASE_MARGIN_S = 0.1 * LEASE_S


class CommandKind(Enum):
    """Action that an upstream is to take."""

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
        Whether the upstream rejects an old fencing token.
    kind : CommandKind
    argument : str
        The model, adapter or version to load, or the role to take.
    """

    upstream: str
    address: str
    checks_fencing: bool
    kind: CommandKind
    argument: str = ""


@dataclass(slots=True, frozen=True)
class FencingToken:
    """A token that increases from leader to leader and within a term.

    Attributes
    ----------
    term : int
        Term of the leader.
    index : int
        Index of the last log entry that the leader has applied.
    """

    term: int
    index: int

    def __str__(self) -> str:
        return f"{self.term}.{self.index}"


class CommandError(Enum):
    """Why a command was not carried out, or may not have been."""

    NOT_LEADER = "this controller does not lead"
    TOO_EARLY = "a command of the previous leader may still be in progress"
    REFUSED = "the upstream has refused the command"
    UNKNOWN = "the upstream has not replied; send the command again"


# Sends a command. Returns whether the upstream accepted it, or None if that
# is unknown.
SendCommand = Callable[[UpstreamCommand, FencingToken], Awaitable[bool | None]]


class CommandSender:
    """Sends commands while this controller holds its lease.

    Parameters
    ----------
    replica : Replica
    timers : Timers
    send : callable
        Sends a command over the network.
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

        It is cancelled when the lease is about to end, so that it can't still
        be in progress when another leader sends one.

        Returns
        -------
        Result of None or CommandError
            The error states why the command wasn't accepted, or that its
            outcome is unknown.
        """
        remaining = self._compute_remaining_s()
        if remaining <= 0:
            return Err(CommandError.NOT_LEADER)
        if not command.checks_fencing and not self._is_previous_leader_done():
            return Err(CommandError.TOO_EARLY)
        replica = self._replica
        fencing = FencingToken(replica.term, replica.state.last_index)
        accepted = None
        with self._timers.limit(remaining):
            accepted = await self._send(command, fencing)
        if accepted is None:
            return Err(CommandError.UNKNOWN)
        return Ok(None) if accepted else Err(CommandError.REFUSED)

    def _compute_remaining_s(self) -> float:
        """Return the time left for a command, in seconds."""
        lease_end = self._replica.get_lease_end()
        return lease_end - LEASE_MARGIN_S - self._timers.now()

    def _is_previous_leader_done(self) -> bool:
        """Return whether the previous leader's commands have ended.

        The time is measured from the first command of the term, because by
        then the previous lease had ended or was given up.
        """
        now = self._timers.now()
        if self._replica.term != self._term:
            self._term = self._replica.term
            self._term_seen_at = now
        return now >= self._term_seen_at + LEASE_S + LEASE_MARGIN_S
