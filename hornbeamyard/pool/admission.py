"""Queueing of requests until they get a slot."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from result import Err, Ok, Result

from ..process.timers import Timers
from .backlog import QueueFull, Ticket
from .dispatch import DeadlineUnmet, Dispatch, StartedRequest


@dataclass(slots=True)
class GivenUp:
    """A request was removed from the queue without a slot.

    Attributes
    ----------
    reason : str
        Text for the caller.
    """

    reason: str

    def __str__(self) -> str:
        return self.reason


Refusal = QueueFull | DeadlineUnmet | GivenUp


@dataclass(slots=True)
class _WaitingRequest:
    settled: anyio.Event
    start: StartedRequest | None = None
    given_up: GivenUp | None = None


class Admission:
    """Makes requests wait for a slot, and starts them as slots come free.

    Parameters
    ----------
    dispatch : Dispatch
        Decides which request starts on which worker.
    timers : Timers
    on_urgent : callable
        Called when a report should be sent to the lead controller at once.
    """

    __slots__ = ("_on_urgent", "_timers", "_waiting", "dispatch")

    def __init__(
        self,
        dispatch: Dispatch,
        timers: Timers,
        on_urgent: Callable[[], None],
    ) -> None:
        self.dispatch = dispatch
        self._timers = timers
        self._on_urgent = on_urgent
        self._waiting: dict[int, _WaitingRequest] = {}

    async def admit(
        self, ticket: Ticket, retried: bool = False
    ) -> Result[StartedRequest, Refusal]:
        """Wait until a request gets a slot or is refused.

        Cancelling this coroutine removes the request from the queue.

        Parameters
        ----------
        ticket : Ticket
        retried : bool, optional
            Whether an attempt has failed; the request then goes to the front
            of the queue and is not refused.

        Returns
        -------
        Result of StartedRequest or Refusal
        """
        now = self._timers.now()
        if retried:
            self.dispatch.resubmit(ticket, now)
        else:
            submitted = self.dispatch.submit(ticket, now)
            if isinstance(submitted, Err):
                return submitted
        waiting = _WaitingRequest(anyio.Event())
        self._waiting[id(ticket)] = waiting
        self.start_ready()
        try:
            with self._timers.limit(max(0.0, ticket.start_by - now)):
                await waiting.settled.wait()
        except BaseException:
            self._withdraw(ticket, waiting)
            raise
        del self._waiting[id(ticket)]
        if waiting.start is not None:
            return Ok(waiting.start)
        self.dispatch.backlog.remove(ticket)
        return Err(
            waiting.given_up
            or GivenUp("no slot came free before the deadline")
        )

    def finish(self, start: StartedRequest) -> None:
        """Free the slot of a request that ended."""
        self.dispatch.finish(start, self._timers.now())
        self.start_ready()

    def start_ready(self) -> None:
        """Start waiting requests as long as slots are idle."""
        while True:
            start = self.dispatch.start_next(self._timers.now())
            if start is None:
                break
            waiting = self._waiting[id(start.ticket)]
            waiting.start = start
            waiting.settled.set()
        if self.dispatch.is_urgent(self._timers.now()):
            self._on_urgent()

    def give_up_all(self, reason: str) -> None:
        """Refuse all waiting requests.

        Parameters
        ----------
        reason : str
            Text for the callers.
        """
        self.give_up(reason, lambda _: True)

    def give_up(
        self, reason: str, condition: Callable[[Ticket], bool]
    ) -> None:
        """Refuse the waiting requests for which a condition holds.

        Parameters
        ----------
        reason : str
            Text for the callers.
        condition : callable
        """
        for ticket in list(filter(condition, self.dispatch.backlog)):
            self.dispatch.backlog.remove(ticket)
            waiting = self._waiting[id(ticket)]
            waiting.given_up = GivenUp(reason)
            waiting.settled.set()

    def _withdraw(self, ticket: Ticket, waiting: _WaitingRequest) -> None:
        del self._waiting[id(ticket)]
        if waiting.start is not None:
            self.finish(waiting.start)
            return
        self.dispatch.backlog.remove(ticket)
