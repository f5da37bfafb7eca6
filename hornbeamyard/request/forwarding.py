"""Routed requests: checks, placement, tries and the final answer."""

from __future__ import annotations

import json
import random
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

import anyio
import anyio.lowlevel

from ..connection.upstreams import Upstreams
from ..pool.demand import Demand
from ..pool.engine import Server
from ..pool.shares import Shares
from ..pool.steering import Placement, Refusal, Steering
from ..process.timers import Timers
from ..version.routing import AccountKeys, Route, Routing
from .budget import WindowBudget
from .dialect import Dialect, HandOver, RequestFacts
from .meter import Meter
from .relay import (
    Ending,
    Relay,
    RelayRequest,
    TryResult,
    WholeAnswer,
    filter_headers,
    send_answer,
)
from .reporting import CallReport
from .routed_call import Call

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

# Retry-After while the router has no routing or is stopping, in seconds.
UNREADY_RETRY_S = 0.5
# A caller that names a deadline below this part of the longest one seen on
# its route comes back after a refusal.
RETURNED_SHARE = 0.97
# Estimate of the output when the caller gives none, as a part of the most.
OUTPUT_SHARE = 0.6
# The upstream is told a little less than what is left, for the way back.
WAY_BACK_MS = 5.0
# Turns of the event loop between reading a request and sending it on. The end
# of a connection that came with the request is read one turn later, and takes
# two more to cancel it.
TURNS_BEFORE_SENDING = 3
# Time left below which a request isn't sent once more.
LEAST_REPEAT_MS = 100.0


class Fleet(Protocol):
    """What requests need of their router.

    Attributes
    ----------
    routing : Routing or None
        None before the first version.
    routers : int
        Routers of the fleet, as far as known.
    is_stopping : bool
    """

    routing: Routing | None
    routers: int
    is_stopping: bool

    def find_steering(self, pool: str) -> Steering:
        """Return the upstreams of a pool."""

    def find_budget(self, pool: str) -> WindowBudget:
        """Return the budget of repeats of a pool."""


class Forwarder:
    """An ASGI application that brings requests to upstreams by route.

    Parameters
    ----------
    fleet : Fleet
    dialect : Dialect
    upstreams : Upstreams
    shares : Shares
    timers : Timers
    report : CallReport
    """

    __slots__ = (
        "_dialect",
        "_fleet",
        "_longest_ms",
        "_report",
        "_shares",
        "_timers",
        "_upstreams",
        "counts",
    )

    def __init__(
        self,
        fleet: Fleet,
        dialect: Dialect,
        upstreams: Upstreams,
        shares: Shares,
        timers: Timers,
        report: CallReport,
    ) -> None:
        self._dialect = dialect
        self._fleet = fleet
        # Longest deadline that callers named, by route.
        self._longest_ms: dict[str, float] = {}
        self._report = report
        self._shares = shares
        self._timers = timers
        self._upstreams = upstreams
        self.counts = report.counts

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        self.counts.in_progress += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.counts.in_progress -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        received_at = self._timers.now()
        facts = self._dialect.read_request(scope["headers"])
        checked = self._check(scope, facts)
        if isinstance(checked, _Rejection):
            await self._reject(facts, checked, send)
            return
        route, account = checked
        body = await self._read_body(receive)
        if isinstance(body, _Rejection):
            await self._reject(facts, body, send)
            return
        if body is None:
            self._report.note(facts, "left", stage="body")
            return
        call = self._build_call(
            scope, facts, route, account, body, received_at
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._watch_caller, receive, call, tasks.cancel_scope
            )
            send = _watch_end(call, send)
            for _ in range(TURNS_BEFORE_SENDING):
                await anyio.lowlevel.checkpoint()
            with self._timers.limit(call.ends_at - self._timers.now()) as lim:
                await self._deliver(call, send)
            if lim.cancelled_caught:
                await self._end_late(call, send)
            tasks.cancel_scope.cancel()

    # ---- checks ----------------------------------------------------------

    def _check(
        self, scope: Scope, facts: RequestFacts
    ) -> tuple[Route, AccountKeys | None] | _Rejection:
        routing = self._fleet.routing
        if routing is None:
            return _Rejection(
                HTTPStatus.SERVICE_UNAVAILABLE, "no routing is in force yet"
            )
        path = scope["raw_path"].decode("latin-1")
        host = _find_host(scope["headers"])
        route = routing.find_route(host, path)
        if route is None:
            return _Rejection(
                HTTPStatus.NOT_FOUND,
                f"no route for host {host!r} and path {path!r} in version "
                f"{routing.version}",
            )
        account = None
        if routing.accounts and not route.public:
            account = routing.find_account(facts.key or "")
            if account is None:
                return _Rejection(HTTPStatus.UNAUTHORIZED, "unknown key")
        if self._fleet.is_stopping:
            return _Rejection(
                HTTPStatus.SERVICE_UNAVAILABLE, "the router is stopping"
            )
        return route, account

    async def _read_body(self, receive: Receive) -> bytes | _Rejection | None:
        """Return the body, or None when the caller has gone."""
        assert self._fleet.routing is not None
        limits = self._fleet.routing.limits
        parts: list[bytes] = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            part = message.get("body", b"")
            size += len(part)
            if size > limits.body_size:
                return _Rejection(
                    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    f"the body exceeds {limits.body_size} bytes",
                )
            if part:
                parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)

    def _build_call(
        self,
        scope: Scope,
        facts: RequestFacts,
        route: Route,
        account: AccountKeys | None,
        body: bytes,
        received_at: float,
    ) -> Call:
        assert self._fleet.routing is not None
        limit_ms = min(facts.deadline_ms or route.timeout_ms, route.timeout_ms)
        ends_at = received_at + limit_ms / 1000
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        most = facts.output_tokens
        expected = facts.expected_tokens or int(most * OUTPUT_SHARE)
        demand = Demand(
            request_id=facts.request_id,
            account=account.name if account is not None else "",
            priority=priority,
            arrived_at=received_at,
            target_s=route.target_ms / 1000,
            deadline_at=ends_at,
            parts=facts.parts,
            prompt_tokens=facts.prompt_tokens,
            output_tokens=min(expected, most) if most else expected,
            model=facts.model,
            returned=self._is_returned(facts, route),
        )
        return Call(
            facts=facts,
            route=route,
            pool=self._fleet.routing.pools[_choose_pool(route)],
            account=demand.account,
            headers=filter_headers(scope["headers"]),
            method=scope["method"],
            target=target,
            body=body,
            received_at=received_at,
            ends_at=ends_at,
            demand=demand,
        )

    def _is_returned(self, facts: RequestFacts, route: Route) -> bool:
        if facts.deadline_ms is None:
            return False
        longest = max(self._longest_ms.get(route.name, 0), facts.deadline_ms)
        self._longest_ms[route.name] = longest
        return facts.deadline_ms < longest * RETURNED_SHARE

    # ---- delivery --------------------------------------------------------

    async def _watch_caller(
        self, receive: Receive, call: Call, scope: anyio.CancelScope
    ) -> None:
        """Cancel a request whose caller has gone."""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                break
        if call.is_answered:
            return
        self._report.left(call)
        scope.cancel()

    async def _deliver(self, call: Call, send: Send) -> None:
        steering = self._fleet.find_steering(call.pool.name)
        budget = self._fleet.find_budget(call.pool.name)
        budget.note_request(call.received_at)
        # A caller that comes back asks for the same work again.
        if call.pool.is_engine() and not call.demand.returned:
            self._shares.note_asked(call.account, call.demand.size)
        while True:
            now = self._timers.now()
            placement = await steering.admit(call.demand, now, call.excluded)
            if isinstance(placement, Refusal):
                await self._refuse(call, placement, send)
                return
            result = await self._try(call, steering, placement, send)
            if result.ending is Ending.DONE:
                self._report.answered(call, placement)
                return
            steering.start_waiting(self._timers.now())
            if not self._may_repeat(call, result, budget):
                await self._end(call, result, send)
                return
            self._report.retried(call, placement, result)

    async def _try(
        self, call: Call, steering: Steering, placement: Placement, send: Send
    ) -> TryResult:
        server = placement.server
        started_at = self._timers.now()
        version = self._fleet.routing.version if self._fleet.routing else 0
        self._report.placed(call, placement, version)
        meter = Meter(
            self._timers, steering, placement, call, started_at, self._report
        )
        relay = Relay(
            self._build_request(call, placement, started_at),
            server.upstream.address,
            self._upstreams,
            self._dialect,
            call.progress,
            call.route.resumable,
            meter.note_chunk,
        )
        try:
            result = await relay.run(send)
        finally:
            if relay.sent:
                call.tries += 1
            meter.finish()
        await self._judge(call, server, result, started_at)
        return result

    def _build_request(
        self, call: Call, placement: Placement, now: float
    ) -> RelayRequest:
        left_ms = (call.ends_at - now) * 1000 - WAY_BACK_MS
        hand_over = HandOver(
            upstream_id=placement.server.id,
            deadline_ms=max(1.0, left_ms),
            account=call.account,
            last_event_id=call.progress.last_event_id,
            copy_from=placement.copy_from,
        )
        return RelayRequest(
            call.method,
            call.target,
            self._dialect.write_request(call.headers, hand_over),
            call.body,
            call.facts.request_id,
        )

    async def _judge(
        self,
        call: Call,
        server: Server,
        result: TryResult,
        started_at: float,
    ) -> None:
        """Take what a try tells of the upstream and of the request."""
        now = self._timers.now()
        if result.ending is Ending.DONE:
            server.note_answer((now - started_at) * 1000)
            return
        call.excluded = call.excluded | {server.id}
        avoided = False
        match result.ending:
            case Ending.NOT_SENT:
                avoided = server.avoid(now)
                await self._upstreams.close_idle(
                    f"http://{server.upstream.address}"
                )
            case Ending.NOT_RUN:
                call.answer = result.answer
                if result.wrong_upstream:
                    avoided = server.avoid(now)
            case Ending.ANSWERED:
                call.may_have_run = True
                call.answer = result.answer
                if result.answer and _is_failure(result.answer.status):
                    avoided = server.note_failure(now)
            case _:
                call.may_have_run = True
                avoided = server.note_failure(now)
                await self._upstreams.close_idle(
                    f"http://{server.upstream.address}"
                )
        if avoided:
            self._report.avoided(call, server, result.reason)

    def _may_repeat(
        self, call: Call, result: TryResult, budget: WindowBudget
    ) -> bool:
        """Return whether a request is sent to another upstream."""
        left_ms = (call.ends_at - self._timers.now()) * 1000
        if left_ms < LEAST_REPEAT_MS:
            return False
        if call.progress.started and not call.route.resumable:
            return False
        if call.may_have_run and not call.route.is_repeatable():
            return False
        is_answered = result.ending is Ending.ANSWERED
        if is_answered and result.answer and result.answer.status < 500:
            return False
        if result.ending is Ending.NOT_SENT:
            return len(call.excluded) <= call.route.most_attempts + 1
        if call.tries >= call.route.most_attempts:
            return False
        return budget.take(self._timers.now(), self._fleet.routers)

    # ---- final answers ---------------------------------------------------

    async def _end(self, call: Call, result: TryResult, send: Send) -> None:
        """Give the final answer to a request whose tries have failed."""
        if call.progress.started:
            # The server closes the connection of an incomplete answer.
            self._report.failed(call, "broken_off", result.reason)
            return
        answer = call.answer
        if answer is not None and _may_pass_on(result, answer):
            self._report.failed(call, "upstream_failed", result.reason)
            await send_answer(send, answer)
            return
        if call.may_have_run:
            status = HTTPStatus.BAD_GATEWAY
            self._report.failed(call, "failed", result.reason)
            await self._send_own(call.facts, status, result.reason, send)
            return
        refusal_s = UNREADY_RETRY_S * (0.5 + random.random())
        self._report.failed(call, "not_run", result.reason)
        await self._send_own(
            call.facts,
            HTTPStatus.SERVICE_UNAVAILABLE,
            f"not run: {result.reason}",
            send,
            refusal_s,
        )

    async def _end_late(self, call: Call, send: Send) -> None:
        """Answer a request whose time is over."""
        if call.progress.started:
            self._report.failed(call, "broken_off", "the time is over")
            return
        sent = call.tries > 0
        self._report.failed(call, "late", "the time is over")
        status = (
            HTTPStatus.GATEWAY_TIMEOUT
            if sent
            else HTTPStatus.SERVICE_UNAVAILABLE
        )
        await self._send_own(
            call.facts, status, "the time of the request is over", send
        )

    async def _refuse(self, call: Call, refusal: Refusal, send: Send) -> None:
        if call.progress.started:
            self._report.failed(call, "broken_off", refusal.verdict.value)
            return
        if call.may_have_run:
            result = TryResult(Ending.BROKEN, refusal.verdict.value)
            await self._end(call, result, send)
            return
        shares = self._shares.describe(call.account, self._timers.now())
        self._report.refused(call, refusal, shares)
        await self._send_own(
            call.facts,
            HTTPStatus.SERVICE_UNAVAILABLE,
            refusal.verdict.value,
            send,
            refusal.retry_after_s,
        )

    async def _reject(
        self, facts: RequestFacts, rejection: _Rejection, send: Send
    ) -> None:
        self._report.rejected(facts, rejection.status, rejection.reason)
        retry_s = None
        if rejection.status is HTTPStatus.SERVICE_UNAVAILABLE:
            retry_s = UNREADY_RETRY_S * (0.5 + random.random())
        await self._send_own(
            facts, rejection.status, rejection.reason, send, retry_s
        )

    async def _send_own(
        self,
        facts: RequestFacts,
        status: HTTPStatus,
        detail: str,
        send: Send,
        retry_after_s: float | None = None,
    ) -> None:
        headers = self._dialect.write_answer(facts.request_id)
        headers.append((b"content-type", b"application/problem+json"))
        if retry_after_s is not None:
            value = f"{retry_after_s:.3f}".encode()
            headers.append((b"retry-after", value))
        document = {"status": int(status), "detail": detail}
        body = json.dumps(document).encode()
        await send_answer(send, WholeAnswer(int(status), headers, body))


@dataclass(slots=True)
class _Rejection:
    """A request that no route serves."""

    status: HTTPStatus
    reason: str


def _watch_end(call: Call, send: Send) -> Send:
    """Return a sender that notes the end of the answer.

    The server tells of a caller that is gone also once the answer has ended.
    """

    async def send_watched(message: MutableMapping[str, Any]) -> None:
        if message["type"] == "http.response.body":
            call.is_answered = not message.get("more_body", False)
        await send(message)

    return send_watched


def _is_failure(status: int) -> bool:
    """Return whether a status tells that an upstream is failing.

    504 tells that the request's time was over, which is not its fault.
    """
    return status >= 500 and status != HTTPStatus.GATEWAY_TIMEOUT


def _may_pass_on(result: TryResult, answer: WholeAnswer) -> bool:
    """Return whether an upstream's failure is the final answer.

    Statuses that promise that a request has not run are passed on only when
    that is true of all tries.
    """
    if answer.status in (408, 421, 429, 503):
        return False
    return result.ending in (Ending.ANSWERED, Ending.NOT_RUN)


def _choose_pool(route: Route) -> str:
    if len(route.shares) == 1:
        return route.shares[0].pool
    weights = [share.weight for share in route.shares]
    return random.choices(route.shares, weights)[0].pool


def _find_host(headers: list[tuple[bytes, bytes]]) -> str:
    for name, value in headers:
        if name == b"host":
            host = value.decode("latin-1")
            return host.rpartition(":")[0] if ":" in host else host
    return ""
