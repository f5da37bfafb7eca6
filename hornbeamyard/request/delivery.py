"""Requests that run in slots: queue, attempts, claim and final response."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Protocol

import anyio
from result import Err

from ..connection.crash_reports import CrashReports
from ..connection.liveness import LivenessChecker
from ..connection.upstreams import UpstreamConnections
from ..messages import fleet_pb2
from ..pool.admission import Admission, GivenUp, Refusal
from ..pool.backlog import Ticket
from ..pool.crashes import SUSPICION_S
from ..pool.dispatch import StartedRequest
from ..pool.worker import Worker, WorkerRegistry
from ..process.metrics import Latency, Metrics
from ..process.timers import Timers
from .budget import RetryBudget, compute_backoff
from .claim import Claim, ClaimClient, build_claim_refusal
from .exchange import (
    ATTEMPT_HEADER,
    Exchange,
    Headers,
    ResponseRecorder,
    UpstreamRequest,
)
from .outcome import (
    AttemptFailure,
    Stage,
    build_error_event,
    build_problem,
    decide_outcome,
)
from .problem import Outcome, Problem, Send, send_problem, send_response

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]

# Limits on the attempts of one request that may have run, and on all its
# attempts. A request that reaches one fails before its deadline, because it
# probably causes the failures itself.
MAX_RUNS = 3
MAX_ATTEMPTS = 8
STOP_REASON = "the router stopped before the request ended"
BLOCKED_REASON = "the request has crashed several upstreams"


class Pools(Protocol):
    """Gives access to the admission queues of the pools."""

    def find_admission(self, pool: str) -> Admission:
        """Return the admission queue of a pool."""


@dataclass(slots=True, eq=False)
class RequestState:
    """State of one request in progress.

    Attributes
    ----------
    request : UpstreamRequest
    pool : str
    ticket : Ticket
    repeatable : bool
        Whether the method or the pool permits sending the request again.
    is_retry : bool
        Whether the caller is a gateway that retries the request.
    claim : Claim or None
    stage : Stage
    may_have_run : bool
        Whether an earlier attempt may have run.
    retry_forbidden : bool
        Whether an attempt may have run that must not be repeated.
    exchange : Exchange or None
        The current attempt.
    recorder : ResponseRecorder or None
        Collects the response for the claim.
    answered_at : float or None
        Monotonic time in seconds of the response's first byte.
    caller_disconnected : bool
    outcome : str
        Outcome in the metrics.
    scope : anyio.CancelScope
        Cancels the request.
    """

    request: UpstreamRequest
    pool: str
    ticket: Ticket
    repeatable: bool
    is_retry: bool = False
    claim: Claim | None = None
    stage: Stage = Stage.RECEIVED
    may_have_run: bool = False
    retry_forbidden: bool = False
    exchange: Exchange | None = None
    recorder: ResponseRecorder | None = None
    answered_at: float | None = None
    caller_disconnected: bool = False
    outcome: str = "cancelled"
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def has_been_sent(self) -> bool:
        """Return whether any attempt may have reached an upstream."""
        exchange = self.exchange
        running = exchange is not None and exchange.stage >= Stage.SENT
        return self.may_have_run or running


class Delivery:
    """Delivers requests to upstreams and responses to callers.

    Parameters
    ----------
    pools : Pools
    registry : WorkerRegistry
    timers : Timers
    metrics : Metrics
    claims : ClaimClient
    upstreams : UpstreamConnections
    liveness : LivenessChecker
    crashes : CrashReports

    Attributes
    ----------
    crashes : CrashReports
        Crashes of upstreams, and the requests that are blocked for them.
    is_closing : bool
        Whether responses have the header `Connection: close`.
    is_stopped : bool
        Whether `stop` has been called.
    """

    __slots__ = (
        "_budget",
        "_changed",
        "_claims",
        "_in_progress",
        "_liveness",
        "_metrics",
        "_pools",
        "_registry",
        "_timers",
        "_upstreams",
        "crashes",
        "is_closing",
        "is_stopped",
    )

    def __init__(
        self,
        pools: Pools,
        registry: WorkerRegistry,
        timers: Timers,
        metrics: Metrics,
        claims: ClaimClient,
        upstreams: UpstreamConnections,
        liveness: LivenessChecker,
        crashes: CrashReports,
    ) -> None:
        self._pools = pools
        self._registry = registry
        self._timers = timers
        self._metrics = metrics
        self._claims = claims
        self._upstreams = upstreams
        self._liveness = liveness
        self._budget = RetryBudget()
        self._in_progress: set[RequestState] = set()
        self._changed = anyio.Event()
        self.crashes = crashes
        self.is_closing = False
        self.is_stopped = False

    async def deliver(
        self, state: RequestState, receive: Receive, send: Send
    ) -> None:
        """Serve one request until its response ends.

        A response that breaks off is left incomplete, so that the server
        closes the caller's connection.
        """
        self._budget.record_request()
        self._in_progress.add(state)
        try:
            async with anyio.create_task_group() as tasks:
                state.scope = tasks.cancel_scope
                tasks.start_soon(_watch_caller, state, receive)
                problem = await self._run(state, send)
                if problem is not None:
                    state.outcome = problem.outcome.value
                    await send_problem(send, problem, self.is_closing)
                tasks.cancel_scope.cancel()
        finally:
            self._in_progress.discard(state)
            self._changed.set()
            self._record_outcome(state)

    # ---- drain -----------------------------------------------------------

    def count_in_progress(self) -> int:
        """Return the number of requests in progress, queued ones included."""
        return len(self._in_progress)

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self._in_progress:
            self._changed = anyio.Event()
            await self._changed.wait()

    def stop(self) -> None:
        """End all requests at once; callers get the known outcome."""
        self.is_stopped = True
        self._claims.abandon_unconfirmed()
        for state in self._in_progress:
            if state.exchange is not None:
                state.exchange.drop(STOP_REASON, by_upstream=False)

    # ---- claims ----------------------------------------------------------

    async def _run(self, state: RequestState, send: Send) -> Problem | None:
        claim = state.claim
        if claim is None:
            return await self._run_attempts(state, send)
        max_wait_s = max(0.0, state.ticket.start_by - self._timers.now())
        claimed = await self._claims.acquire(claim, max_wait_s)
        if isinstance(claimed, Err):
            reason = (
                "the idempotency key of the request could not be claimed: "
                "no quorum of controllers in time"
            )
            return build_problem(Outcome.NOT_RUN, reason)
        if claimed.ok_value.state != fleet_pb2.GRANTED:
            return await self._replay_response(state, claimed.ok_value, send)
        state.recorder = ResponseRecorder()
        try:
            problem = await self._run_attempts(state, send)
        except BaseException:
            self._settle_claim(state, claim)
            raise
        if problem is not None and problem.outcome is Outcome.NOT_RUN:
            await self._claims.release_and_wait(claim)
        else:
            self._settle_claim(state, claim)
        return problem

    def _settle_claim(self, state: RequestState, claim: Claim) -> None:
        """Record the outcome of a claimed request."""
        exchange = state.exchange
        if exchange is not None and exchange.stage is Stage.RESPONDED:
            state.stage = Stage.RESPONDED
        if state.stage is Stage.RESPONDED:
            assert state.recorder is not None
            self._claims.record_response(claim, state.recorder)
        elif state.has_been_sent():
            self._claims.record_unknown_outcome(claim)
        else:
            self._claims.release(claim)

    async def _replay_response(
        self, state: RequestState, result: fleet_pb2.ClaimResult, send: Send
    ) -> Problem | None:
        refusal = build_claim_refusal(result)
        if isinstance(refusal, Problem):
            return refusal
        state.outcome = "repeated"
        headers = [(b"hornbeamyard-repeated-answer", b"true")]
        if refusal.content_type:
            value = refusal.content_type.encode("latin-1")
            headers.append((b"content-type", value))
        await send_response(send, refusal.status, headers, refusal.body)
        return None

    # ---- attempts --------------------------------------------------------

    async def _run_attempts(
        self, state: RequestState, send: Send
    ) -> Problem | None:
        admission = self._pools.find_admission(state.pool)
        ticket = state.ticket
        ticket.is_probe = self.crashes.ledger.begin_probe(
            (ticket.digest,), self._timers.now()
        )
        attempts = 0
        while True:
            if self.is_stopped:
                return self._build_refusal(
                    state, admission, GivenUp(STOP_REASON)
                )
            if self.is_blocked(ticket):
                return self._build_blocked_refusal(state)
            state.stage = Stage.QUEUED
            admitted = await admission.admit(state.ticket, attempts > 0)
            if isinstance(admitted, Err):
                if self.is_blocked(ticket):
                    return self._build_blocked_refusal(state)
                return self._build_refusal(
                    state, admission, admitted.err_value
                )
            started = admitted.ok_value
            if attempts == 0:
                self._record_latency(state, Latency.QUEUE_WAIT)
            attempts += 1
            state.stage = Stage.GRANTED
            try:
                failure = await self._attempt(state, started, attempts, send)
            finally:
                admission.finish(started)
                ticket.is_probe = False
            choice = admission.dispatch.choice
            if failure is None:
                choice.record_success(started.worker, state.ticket.prefix)
                state.outcome = "answered"
                return None
            # Only a first attempt counts against the upstream, so that a
            # request that makes every upstream fail doesn't eject them all.
            first = attempts == 1 or failure.stage < Stage.SENT
            if first and failure.by_upstream and not failure.refused:
                choice.record_failure(started.worker, self._timers.now())
            if not self._may_retry(state, failure, attempts):
                return await self._finish_failed(state, failure, send)
            self._metrics.retries.labels(state.ticket.client_account).inc()
            self._exclude_worker(state, started.worker)
            state.exchange = None
            await self._timers.sleep(compute_backoff(attempts))

    async def _attempt(
        self,
        state: RequestState,
        started: StartedRequest,
        attempts: int,
        send: Send,
    ) -> AttemptFailure | None:
        worker = self._registry.get(started.worker)
        if worker is None:
            return AttemptFailure(
                state.stage,
                "the upstream is no longer registered",
                by_upstream=False,
            )
        if self.is_stopped:
            return AttemptFailure(state.stage, STOP_REASON, by_upstream=False)

        state.answered_at = None

        def record_first_byte() -> Headers:
            state.answered_at = self._timers.now()
            self._record_latency(state, Latency.FIRST_BYTE)
            return [(b"connection", b"close")] if self.is_closing else []

        request = state.request
        if attempts > 1:
            number = (ATTEMPT_HEADER, str(attempts).encode())
            headers = [h for h in request.headers if h[0] != ATTEMPT_HEADER]
            request = UpstreamRequest(
                request.method,
                request.target,
                [*headers, number],
                request.body,
            )
        state.exchange = Exchange(
            request,
            worker.address,
            self._upstreams,
            self._liveness,
            record_first_byte,
            state.recorder,
            lambda: not self.is_blocked(state.ticket),
        )
        sent_at = self._timers.now()
        failure = await state.exchange.run(send)
        state.stage = state.exchange.stage
        await self._record_suspect(
            state, worker, state.exchange, failure, sent_at
        )
        if failure is not None and failure.may_have_run():
            state.may_have_run = True
            if not (state.repeatable or worker.repeatable):
                state.retry_forbidden = True
        elif failure is not None:
            state.exchange = None
        return failure

    async def _record_suspect(
        self,
        state: RequestState,
        worker: Worker,
        exchange: Exchange,
        failure: AttemptFailure | None,
        sent_at: float,
    ) -> None:
        """Suspect a request whose upstream has crashed, or clear it."""
        suspects = (state.ticket.digest,)
        if failure is None:
            if exchange.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                self.crashes.record_answer(suspects)
            return
        if not failure.may_have_run() or not failure.by_upstream:
            return
        answered_at = state.answered_at
        if (
            answered_at is not None
            and self._timers.now() - answered_at >= SUSPICION_S
        ):
            self.crashes.record_answer(suspects)
            return
        # It may have announced since that it leaves, and then ends by itself.
        newest = self._registry.get(worker.name) or worker
        if not newest.leaving:
            await self.crashes.record_broken(
                worker.start,
                worker.address,
                suspects,
                sent_at,
                self._upstreams,
            )

    def is_blocked(self, ticket: Ticket) -> bool:
        """Return whether a request is blocked for crashes of upstreams."""
        if ticket.is_probe:
            return False
        return self.crashes.ledger.find_block((ticket.digest,)) is not None

    def _may_retry(
        self, state: RequestState, failure: AttemptFailure, attempts: int
    ) -> bool:
        if (
            self.is_stopped
            or state.caller_disconnected
            or state.retry_forbidden
        ):
            return False
        if failure.stage >= Stage.RESPONDING or attempts >= MAX_ATTEMPTS:
            return False
        if self._timers.now() >= state.ticket.start_by:
            return False
        if failure.stage < Stage.SENT:
            # No byte was sent, so another attempt adds no load.
            return True
        if state.is_retry or attempts >= MAX_RUNS:
            return False
        return self._budget.take()

    def _exclude_worker(self, state: RequestState, worker: str) -> None:
        """Exclude a worker from retries, unless no other one is left."""
        excluded = state.ticket.avoid
        excluded.add(worker)
        names = [
            other.name
            for other in self._registry.list_workers(state.pool)
            if not other.leaving
        ]
        if all(name in excluded for name in names):
            excluded.clear()

    # ---- responses -------------------------------------------------------

    def _build_refusal(
        self, state: RequestState, admission: Admission, refusal: Refusal
    ) -> Problem:
        outcome = decide_outcome(state.may_have_run, not state.retry_forbidden)
        account = state.ticket.client_account
        retry_after_s = admission.dispatch.compute_retry_after(account)
        kind = type(refusal).__name__
        self._metrics.refusals.labels(account, kind).inc()
        return build_problem(outcome, str(refusal), retry_after_s)

    def _build_blocked_refusal(self, state: RequestState) -> Problem:
        outcome = decide_outcome(state.may_have_run, not state.retry_forbidden)
        block = self.crashes.ledger.find_block((state.ticket.digest,))
        retry_after_s = 1
        if block is not None:
            wait_s = block.retry_at - self._timers.now()
            retry_after_s = max(1, math.ceil(wait_s))
        account = state.ticket.client_account
        self._metrics.refusals.labels(account, "Blocked").inc()
        return build_problem(outcome, BLOCKED_REASON, retry_after_s)

    async def _finish_failed(
        self, state: RequestState, failure: AttemptFailure, send: Send
    ) -> Problem | None:
        outcome = decide_outcome(state.may_have_run, not state.retry_forbidden)
        if failure.stage < Stage.RESPONDING:
            problem = build_problem(outcome, failure.reason)
            if not failure.by_upstream and outcome is not Outcome.NOT_RUN:
                problem.status = HTTPStatus.SERVICE_UNAVAILABLE
            return problem
        state.outcome = outcome.value
        exchange = state.exchange
        assert exchange is not None
        # An error event after an incomplete event would be parsed as its end.
        if exchange.is_event_stream and not exchange.events.is_inside_event():
            event = build_error_event(outcome, failure.reason)
            message = {"type": "http.response.body", "body": event}
            await send({**message, "more_body": True})
        return None

    # ---- metrics ---------------------------------------------------------

    def _record_latency(self, state: RequestState, latency: Latency) -> None:
        ticket = state.ticket
        elapsed = self._timers.now() - ticket.received_at
        self._metrics.record(
            ticket.client_account, ticket.priority, latency, elapsed
        )

    def _record_outcome(self, state: RequestState) -> None:
        ticket = state.ticket
        self._record_latency(state, Latency.DURATION)
        self._metrics.requests.labels(
            ticket.client_account,
            "priority" if ticket.priority else "normal",
            state.outcome,
        ).inc()


async def _watch_caller(state: RequestState, receive: Receive) -> None:
    """Cancel a request whose caller disconnects.

    A claimed request that may have reached an upstream runs on, so that
    the caller gets the recorded response when it retries.
    """
    while (await receive())["type"] != "http.disconnect":
        pass
    state.caller_disconnected = True
    if state.claim is None or not state.has_been_sent():
        state.scope.cancel()
