"""One request on its way: queue, attempts, claim and final answer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Protocol

import anyio
from result import Err

from ..connection.upstreams import Liveness, Upstreams
from ..messages import fleet_pb2
from ..pool.admission import Admission, GivenUp, Refusal
from ..pool.backlog import Ticket
from ..pool.dispatch import Start
from ..pool.worker import Registry
from ..process.metrics import Latency, Metrics
from ..process.timers import Timers
from .budget import RetryBudget, compute_pause
from .claim import Claim, Claims, describe_refusal
from .exchange import ATTEMPT_HEADER, Call, Exchange, Headers, Recorder
from .outcome import (
    Fault,
    Stage,
    build_error_event,
    build_problem,
    decide_outcome,
)
from .problem import Outcome, Problem, Send, send_problem, send_whole

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]

# Attempts that may have run, and attempts in all, for one request. A request
# that fails this often is given up before its deadline, because the fault is
# then likely its own.
MOST_RUNS = 3
MOST_ATTEMPTS = 8
STOPPED = "the router stops at once"


class Pools(Protocol):
    """Finds the admission of a pool."""

    def find_admission(self, pool: str) -> Admission:
        """Return the admission of a pool."""


@dataclass(slots=True, eq=False)
class Work:
    """One request in progress.

    Attributes
    ----------
    call : Call
    pool : str
    ticket : Ticket
    repeatable : bool
        Whether the method or the pool allows to repeat the call.
    is_retry : bool
        Whether a client that is itself a gateway retries with it.
    claim : Claim or None
    stage : Stage
    may_have_run : bool
        Whether an earlier attempt may have run.
    repeated_harm : bool
        Whether an attempt that may have run must not be repeated.
    exchange : Exchange or None
        The current attempt.
    outcome : str
        Name of the outcome for metrics.
    """

    call: Call
    pool: str
    ticket: Ticket
    repeatable: bool
    is_retry: bool = False
    claim: Claim | None = None
    stage: Stage = Stage.RECEIVED
    may_have_run: bool = False
    repeated_harm: bool = False
    exchange: Exchange | None = None
    recorder: Recorder | None = None
    caller_gone: bool = False
    outcome: str = "cancelled"
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def has_been_sent(self) -> bool:
        """Return whether any attempt may have reached an upstream."""
        exchange = self.exchange
        running = exchange is not None and exchange.stage >= Stage.SENT
        return self.may_have_run or running


class Delivery:
    """Brings requests to upstreams and answers to callers.

    Parameters
    ----------
    pools : Pools
    registry : Registry
    timers : Timers
    metrics : Metrics
    claims : Claims
    upstreams : Upstreams
    liveness : Liveness
    """

    __slots__ = (
        "_budget",
        "_changed",
        "_claims",
        "_liveness",
        "_metrics",
        "_pools",
        "_registry",
        "_running",
        "_timers",
        "_upstreams",
        "is_closing",
        "is_stopped",
    )

    def __init__(
        self,
        pools: Pools,
        registry: Registry,
        timers: Timers,
        metrics: Metrics,
        claims: Claims,
        upstreams: Upstreams,
        liveness: Liveness,
    ) -> None:
        self._pools = pools
        self._registry = registry
        self._timers = timers
        self._metrics = metrics
        self._claims = claims
        self._upstreams = upstreams
        self._liveness = liveness
        self._budget = RetryBudget()
        self._running: set[Work] = set()
        self._changed = anyio.Event()
        # Answers tell callers to close their connections.
        self.is_closing = False
        self.is_stopped = False

    async def deliver(self, work: Work, receive: Receive, send: Send) -> None:
        """Serve one request to its end.

        An answer that breaks midway is left incomplete, so that the server
        closes the caller's connection.
        """
        self._budget.note_request()
        self._running.add(work)
        try:
            async with anyio.create_task_group() as tasks:
                work.scope = tasks.cancel_scope
                tasks.start_soon(_watch_caller, work, receive)
                problem = await self._run(work, send)
                if problem is not None:
                    work.outcome = problem.outcome.value
                    await send_problem(send, problem, self.is_closing)
                tasks.cancel_scope.cancel()
        finally:
            self._running.discard(work)
            self._changed.set()
            self._record(work)

    # ---- drain -----------------------------------------------------------

    def count_running(self) -> int:
        """Return the number of requests in progress, waiting ones too."""
        return len(self._running)

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self._running:
            self._changed = anyio.Event()
            await self._changed.wait()

    def stop(self) -> None:
        """End all exchanges at once; callers are told what is known."""
        self.is_stopped = True
        self._claims.give_up_unconfirmed()
        for work in self._running:
            if work.exchange is not None:
                work.exchange.drop(STOPPED, by_upstream=False)

    # ---- claims ----------------------------------------------------------

    async def _run(self, work: Work, send: Send) -> Problem | None:
        claim = work.claim
        if claim is None:
            return await self._attempt_repeatedly(work, send)
        longest_s = max(0.0, work.ticket.start_by - self._timers.now())
        made = await self._claims.make(claim, longest_s)
        if isinstance(made, Err):
            reason = "the request could not be claimed: no quorum"
            return build_problem(Outcome.NOT_RUN, reason)
        if made.ok_value.state != fleet_pb2.GRANTED:
            return await self._repeat_answer(work, made.ok_value, send)
        work.recorder = Recorder()
        try:
            problem = await self._attempt_repeatedly(work, send)
        except BaseException:
            self._settle(work, claim)
            raise
        if problem is not None and problem.outcome is Outcome.NOT_RUN:
            await self._claims.release_soon(claim)
        else:
            self._settle(work, claim)
        return problem

    def _settle(self, work: Work, claim: Claim) -> None:
        """Record what became of a claimed request."""
        exchange = work.exchange
        if exchange is not None and exchange.stage is Stage.ANSWERED:
            work.stage = Stage.ANSWERED
        if work.stage is Stage.ANSWERED:
            assert work.recorder is not None
            self._claims.record_answer(claim, work.recorder)
        elif work.has_been_sent():
            self._claims.record_unknown(claim)
        else:
            self._claims.release(claim)

    async def _repeat_answer(
        self, work: Work, result: fleet_pb2.ClaimResult, send: Send
    ) -> Problem | None:
        refusal = describe_refusal(result)
        if isinstance(refusal, Problem):
            return refusal
        work.outcome = "repeated"
        headers = [(b"hornbeamyard-repeated-answer", b"true")]
        if refusal.content_type:
            value = refusal.content_type.encode("latin-1")
            headers.append((b"content-type", value))
        await send_whole(send, refusal.status, headers, refusal.body)
        return None

    # ---- attempts --------------------------------------------------------

    async def _attempt_repeatedly(
        self, work: Work, send: Send
    ) -> Problem | None:
        admission = self._pools.find_admission(work.pool)
        attempts = 0
        while True:
            if self.is_stopped:
                return self._refuse(work, admission, GivenUp(STOPPED))
            work.stage = Stage.QUEUED
            admitted = await admission.admit(work.ticket, attempts > 0)
            if isinstance(admitted, Err):
                return self._refuse(work, admission, admitted.err_value)
            start = admitted.ok_value
            if attempts == 0:
                self._observe(work, Latency.QUEUE_WAIT)
            attempts += 1
            work.stage = Stage.GRANTED
            try:
                fault = await self._attempt(work, start, attempts, send)
            finally:
                admission.finish(start)
            choice = admission.dispatch.choice
            if fault is None:
                choice.record_success(start.worker, work.ticket.prefix)
                work.outcome = "answered"
                return None
            # Only a first attempt counts against the upstream: a request that
            # breaks every upstream must not have them all ejected.
            first = attempts == 1 or fault.stage < Stage.SENT
            if first and fault.by_upstream and not fault.refused:
                choice.record_failure(start.worker, self._timers.now())
            if not self._may_retry(work, fault, attempts):
                return await self._end(work, fault, send)
            self._metrics.retries.labels(work.ticket.client_account).inc()
            self._avoid(work, start.worker)
            work.exchange = None
            await self._timers.sleep(compute_pause(attempts))

    async def _attempt(
        self, work: Work, start: Start, attempts: int, send: Send
    ) -> Fault | None:
        worker = self._registry.get(start.worker)
        if worker is None:
            return Fault(work.stage, "the upstream is gone", by_upstream=False)
        if self.is_stopped:
            return Fault(work.stage, STOPPED, by_upstream=False)

        def note_first_byte() -> Headers:
            self._observe(work, Latency.FIRST_BYTE)
            return [(b"connection", b"close")] if self.is_closing else []

        call = work.call
        if attempts > 1:
            number = (ATTEMPT_HEADER, str(attempts).encode())
            headers = [h for h in call.headers if h[0] != ATTEMPT_HEADER]
            call = Call(
                call.method, call.target, [*headers, number], call.body
            )
        work.exchange = Exchange(
            call,
            worker.address,
            self._upstreams,
            self._liveness,
            note_first_byte,
            work.recorder,
        )
        fault = await work.exchange.run(send)
        work.stage = work.exchange.stage
        if fault is not None and fault.may_have_run():
            work.may_have_run = True
            if not (work.repeatable or worker.repeatable):
                work.repeated_harm = True
        elif fault is not None:
            work.exchange = None
        return fault

    def _may_retry(self, work: Work, fault: Fault, attempts: int) -> bool:
        if self.is_stopped or work.caller_gone or work.repeated_harm:
            return False
        if fault.stage >= Stage.ANSWERING or attempts >= MOST_ATTEMPTS:
            return False
        if self._timers.now() >= work.ticket.start_by:
            return False
        if fault.stage < Stage.SENT:
            # No byte was sent, so another attempt adds no load.
            return True
        if work.is_retry or attempts >= MOST_RUNS:
            return False
        return self._budget.take()

    def _avoid(self, work: Work, worker: str) -> None:
        """Keep a retry off a worker, while there is another one."""
        avoid = work.ticket.avoid
        avoid.add(worker)
        names = [
            other.name
            for other in self._registry.list_workers(work.pool)
            if not other.leaving
        ]
        if all(name in avoid for name in names):
            avoid.clear()

    # ---- answers ---------------------------------------------------------

    def _refuse(
        self, work: Work, admission: Admission, refusal: Refusal
    ) -> Problem:
        outcome = decide_outcome(work.may_have_run, not work.repeated_harm)
        account = work.ticket.client_account
        retry_after_s = admission.dispatch.compute_retry_after(account)
        kind = type(refusal).__name__
        self._metrics.refusals.labels(account, kind).inc()
        return build_problem(outcome, str(refusal), retry_after_s)

    async def _end(
        self, work: Work, fault: Fault, send: Send
    ) -> Problem | None:
        outcome = decide_outcome(work.may_have_run, not work.repeated_harm)
        if fault.stage < Stage.ANSWERING:
            problem = build_problem(outcome, fault.reason)
            if not fault.by_upstream and outcome is not Outcome.NOT_RUN:
                problem.status = HTTPStatus.SERVICE_UNAVAILABLE
            return problem
        work.outcome = outcome.value
        exchange = work.exchange
        assert exchange is not None
        # Behind a part of an event, an error event would complete it.
        if exchange.is_event_stream and exchange.last_chunk[-2:] == b"\n\n":
            event = build_error_event(outcome, fault.reason)
            message = {"type": "http.response.body", "body": event}
            await send({**message, "more_body": True})
        return None

    # ---- metrics ---------------------------------------------------------

    def _observe(self, work: Work, latency: Latency) -> None:
        ticket = work.ticket
        elapsed = self._timers.now() - ticket.received_at
        self._metrics.record(
            ticket.client_account, ticket.priority, latency, elapsed
        )

    def _record(self, work: Work) -> None:
        ticket = work.ticket
        self._observe(work, Latency.DURATION)
        self._metrics.requests.labels(
            ticket.client_account,
            "priority" if ticket.priority else "normal",
            work.outcome,
        ).inc()


async def _watch_caller(work: Work, receive: Receive) -> None:
    """Cancel a request whose caller has gone away.

    A claimed request that may have reached an upstream runs on, so that
    the caller gets the recorded answer when it comes back.
    """
    while (await receive())["type"] != "http.disconnect":
        pass
    work.caller_gone = True
    if work.claim is None or not work.has_been_sent():
        work.scope.cancel()
