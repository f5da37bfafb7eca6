"""Requests of a fleet with a route directory, from check to response."""

from __future__ import annotations

import functools
import json
import random
from collections.abc import (
    Awaitable,
    Callable,
    Iterable,
    Iterator,
    MutableMapping,
)
from contextlib import contextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

import anyio
import anyio.lowlevel

from ..connection.client import Headers
from ..connection.upstreams import UpstreamConnections
from ..pool.balancer import Balancer, Refusal, RefusalReason
from ..pool.choice import Placement
from ..pool.crashes import SUSPICION_S
from ..pool.demand import RequestDemand
from ..pool.engine import Server
from ..pool.shares import Shares
from ..pool.stream_origins import StreamOrigin
from ..pool.upstream_registry import Upstream
from ..process.timers import Timers
from ..process.upstream_notices import UpstreamNotices
from ..version.routing import (
    MIN_RETRY_TIME_MS,
    AccountKeys,
    Route,
    Routing,
)
from .budget import WindowRetryBudget
from .headers import ForwardingMetadata, HeaderCodec, RequestMetadata
from .message_fields import get_query
from .meter import AttemptMeter
from .outcome import NOT_RUN_STATUSES
from .relay import (
    AttemptOutcome,
    AttemptResult,
    BufferedResponse,
    Relay,
    RelayRequest,
    remove_connection_headers,
    send_buffered_response,
)
from .reporting import RequestReporter
from .routed_request import RoutedRequest

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

# Mean Retry-After in seconds while the router has no routing or is stopping,
# and for requests that no upstream has run.
UNREADY_RETRY_AFTER_S = 0.5
# A caller that retries after a refusal has less time left. A deadline below
# this fraction of the longest one seen on the route marks such a retry. The
# deadlines of first attempts differ as well, so a retry soon after the first
# attempt counts as a first attempt.
RETRY_DEADLINE_FRACTION = 0.75
# Expected output as a fraction of its maximum, unless the caller estimates it.
DEFAULT_OUTPUT_FRACTION = 0.6
# Time kept back from the upstream's deadline, so that its response still
# reaches the caller.
RESPONSE_MARGIN_MS = 5.0
# Turns of the event loop between reading a request and sending it to an
# upstream. If the caller has already closed its connection, the server notices
# that one turn after the request, and cancelling takes two more turns.
LOOP_TURNS_BEFORE_SENDING = 3


class RouterState(Protocol):
    """State of the router that requests depend on.

    Attributes
    ----------
    routing : Routing or None
        None until the first version arrives.
    routers : int
        Number of known routers in the fleet.
    is_closing : bool
        Whether responses close their connections, as the router stops.
    is_stopping : bool
    last_attempt_at : float
        Monotonic time in seconds after which no request is sent to an
        upstream, because the router stops; infinite until it does.
    drain_end_at : float
        Monotonic time in seconds at which a router that stops answers what
        is still in progress; infinite until it stops.
    notices : UpstreamNotices
        Crashes and rate limits of upstreams.
    """

    routing: Routing | None
    routers: int
    is_closing: bool
    is_stopping: bool
    last_attempt_at: float
    drain_end_at: float
    notices: UpstreamNotices

    def find_balancer(self, pool: str) -> Balancer:
        """Return the balancer of a pool."""

    def find_budget(self, pool: str) -> WindowRetryBudget:
        """Return the retry budget of a pool."""

    def record_stream(self, request_id: str, origin: StreamOrigin) -> None:
        """Record a stream that begins."""

    async def find_origin(
        self, pools: Iterable[str], request_id: str
    ) -> StreamOrigin | None:
        """Return where a stream of a route with these pools began."""

    def record_leaving(self, upstream: Upstream) -> None:
        """Send no more requests to an upstream that says that it leaves."""


class Forwarder:
    """An ASGI application that forwards requests to upstreams by route.

    Parameters
    ----------
    router : RouterState
    header_codec : HeaderCodec
    upstreams : UpstreamConnections
    shares : Shares
    timers : Timers
    reporter : RequestReporter

    Attributes
    ----------
    counts : RequestCounts
        Counts of the reporter, for the metrics.
    max_buffered_size : float
        Maximum size in bytes of the bodies of all requests in progress. They
        are kept in memory, since a request may be sent again.
    """

    __slots__ = (
        "_buffered_size",
        "_header_codec",
        "_max_deadline_ms",
        "_reporter",
        "_router",
        "_shares",
        "_time_limits",
        "_timers",
        "_upstreams",
        "counts",
        "max_buffered_size",
    )

    def __init__(
        self,
        router: RouterState,
        header_codec: HeaderCodec,
        upstreams: UpstreamConnections,
        shares: Shares,
        timers: Timers,
        reporter: RequestReporter,
    ) -> None:
        self._buffered_size = 0
        self._header_codec = header_codec
        self._router = router
        # Longest deadline that a caller gave, by route.
        self._max_deadline_ms: dict[str, float] = {}
        self._reporter = reporter
        self._shares = shares
        # Time limits of the requests in progress.
        self._time_limits: set[anyio.CancelScope] = set()
        self._timers = timers
        self._upstreams = upstreams
        self.counts = reporter.counts
        self.max_buffered_size = float("inf")

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
        metadata = self._header_codec.read_request(scope["headers"])
        routing = self._router.routing
        checked = self._check(
            scope["raw_path"], scope["headers"], metadata.key
        )
        if isinstance(checked, _Rejection):
            await self._send_rejection(metadata, checked, send)
            return
        deadline_at = self._find_deadline(metadata, checked[0], received_at)
        body: bytes | _Rejection | None = _Rejection(
            HTTPStatus.REQUEST_TIMEOUT, "the body was not complete in time"
        )
        with self._limit_time(deadline_at):
            body = await self._read_body(receive)
        if isinstance(body, _Rejection):
            await self._send_rejection(metadata, body, send)
            return
        if body is None:
            self._reporter.log_decision(metadata, "left", stage="body")
            return
        try:
            if self._router.routing is not routing:
                # The version that came meanwhile may lack the route or pool.
                checked = self._check(
                    scope["raw_path"], scope["headers"], metadata.key
                )
            if isinstance(checked, _Rejection):
                await self._send_rejection(metadata, checked, send)
                return
            request = self._build_request(
                scope, metadata, *checked, body, received_at
            )
            await self._forward(request, receive, send)
        finally:
            self._buffered_size -= len(body)

    async def _forward(
        self, request: RoutedRequest, receive: Receive, send: Send
    ) -> None:
        """Deliver a request within its time limit, while its caller waits."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._watch_caller, receive, request, tasks.cancel_scope
            )
            send = _track_completion(request, send)
            for _ in range(LOOP_TURNS_BEFORE_SENDING):
                await anyio.lowlevel.checkpoint()
            with self._limit_time(request.deadline_at) as time_limit:
                await self._deliver(request, send)
            if time_limit.cancelled_caught:
                await self._send_timeout(request, send)
            tasks.cancel_scope.cancel()

    @contextmanager
    def _limit_time(self, deadline_at: float) -> Iterator[anyio.CancelScope]:
        """Limit a part of a request to its deadline and the router's end."""
        with self._timers.limit(deadline_at - self._timers.now()) as limit:
            self._time_limits.add(limit)
            try:
                yield limit
            finally:
                self._time_limits.discard(limit)

    def report_rejected(
        self, metadata: RequestMetadata, status: HTTPStatus, reason: str
    ) -> None:
        """Report a request that the server has rejected by itself."""
        self._reporter.report_rejected(metadata.request_id, status, reason)

    def end_requests(self) -> None:
        """Answer all requests in progress, because the router has to end."""
        for time_limit in self._time_limits:
            time_limit.cancel()

    # ---- checks ----------------------------------------------------------

    def reject(self, path: bytes, headers: Headers) -> bytes | None:
        """Return the response to a request that its header alone rejects.

        Parameters
        ----------
        path : bytes
            As in the request, without the query.
        headers : list of (bytes, bytes)

        Returns
        -------
        bytes or None
            Header and body of a response that keeps the connection open;
            None if the request isn't rejected, or if the router stops, since
            its connections then have to close.
        """
        if self._router.is_closing:
            return None
        checked = self._check(path, headers, None)
        if not isinstance(checked, _Rejection):
            return None
        request_id = self._header_codec.read_request_id(headers)
        status = checked.status
        self._reporter.report_rejected(request_id, status, checked.reason)
        fields, body = self._build_problem(
            request_id, status, checked.reason, _draw_retry_after(status)
        )
        line = f"HTTP/1.1 {int(status)} {status.phrase}".encode()
        length = b"content-length: " + str(len(body)).encode()
        lines = [line, *(b": ".join(field) for field in fields), length]
        return b"\r\n".join([*lines, b"", body])

    def _check(
        self, raw_path: bytes, headers: Headers, key: str | None
    ) -> tuple[Route, AccountKeys | None] | _Rejection:
        """Return the route and account of a request, or why it has none.

        Parameters
        ----------
        raw_path : bytes
        headers : list of (bytes, bytes)
        key : str or None
            The caller's key; None to look for it in the headers if needed.
        """
        routing = self._router.routing
        if routing is None:
            return _Rejection(
                HTTPStatus.SERVICE_UNAVAILABLE, "the router has no routing yet"
            )
        path = raw_path.decode("latin-1")
        host = _find_host(headers)
        route = routing.find_route(host, path)
        if route is None:
            return _Rejection(
                HTTPStatus.NOT_FOUND,
                f"no route for host {host!r} and path {path!r} in version "
                f"{routing.version}",
            )
        account = None
        if routing.accounts and not route.public:
            if key is None:
                key = self._header_codec.read_key(headers)
            account = routing.find_account(key or "")
            if account is None:
                return _Rejection(HTTPStatus.UNAUTHORIZED, "unknown key")
        if self._router.is_stopping:
            return _Rejection(
                HTTPStatus.SERVICE_UNAVAILABLE, "the router is stopping"
            )
        return route, account

    async def _read_body(self, receive: Receive) -> bytes | _Rejection | None:
        """Return the body, or None if the caller has disconnected.

        A body that is returned counts as buffered.
        """
        assert self._router.routing is not None
        limits = self._router.routing.limits
        parts: list[bytes] = []
        size = 0
        is_complete = False
        try:
            while not is_complete:
                message = await receive()
                if message["type"] == "http.disconnect":
                    return None
                part = message.get("body", b"")
                size += len(part)
                self._buffered_size += len(part)
                if size > limits.body_size:
                    return _Rejection(
                        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                        f"the body exceeds {limits.body_size} bytes",
                    )
                if self._buffered_size > self.max_buffered_size:
                    return _Rejection(
                        HTTPStatus.SERVICE_UNAVAILABLE,
                        "too many bodies of other requests are in memory",
                    )
                if part:
                    parts.append(part)
                is_complete = not message.get("more_body", False)
            return b"".join(parts)
        finally:
            if not is_complete:
                self._buffered_size -= size

    def _find_deadline(
        self, metadata: RequestMetadata, route: Route, received_at: float
    ) -> float:
        """Return the monotonic time at which a request ends at the latest."""
        time_limit_ms = min(
            metadata.deadline_ms or route.timeout_ms, route.timeout_ms
        )
        return min(
            received_at + time_limit_ms / 1000, self._router.drain_end_at
        )

    def _build_request(
        self,
        scope: Scope,
        metadata: RequestMetadata,
        route: Route,
        account: AccountKeys | None,
        body: bytes,
        received_at: float,
    ) -> RoutedRequest:
        assert self._router.routing is not None
        deadline_at = self._find_deadline(metadata, route, received_at)
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        target = scope["raw_path"] + get_query(scope)
        max_tokens = metadata.output_tokens
        output_tokens = metadata.expected_tokens or int(
            max_tokens * DEFAULT_OUTPUT_FRACTION
        )
        account_name = account.name if account is not None else ""
        digest = self._router.notices.crashes.digests.compute(
            scope["method"],
            route.host.lower().encode() + target,
            # Public routes don't check the key, but it tells callers apart.
            account_name or metadata.key or "",
            body,
        )
        demand = RequestDemand(
            request_id=metadata.request_id,
            account=account_name,
            priority=priority,
            arrived_at=received_at,
            target_s=route.target_ms / 1000,
            deadline_at=deadline_at,
            parts=metadata.parts,
            prompt_tokens=metadata.prompt_tokens,
            output_tokens=min(output_tokens, max_tokens)
            if max_tokens
            else output_tokens,
            model=metadata.model,
            is_caller_retry=self._is_caller_retry(metadata, route),
            digest=digest,
        )
        return RoutedRequest(
            metadata=metadata,
            route=route,
            pool=self._router.routing.pools[_choose_pool(route)],
            account=demand.account,
            headers=remove_connection_headers(scope["headers"]),
            method=scope["method"],
            target=target,
            body=body,
            received_at=received_at,
            deadline_at=deadline_at,
            demand=demand,
        )

    def _is_caller_retry(
        self, metadata: RequestMetadata, route: Route
    ) -> bool:
        if metadata.deadline_ms is None:
            return False
        max_deadline_ms = max(
            self._max_deadline_ms.get(route.name, 0), metadata.deadline_ms
        )
        self._max_deadline_ms[route.name] = max_deadline_ms
        assert self._router.routing is not None
        routes = self._router.routing.routes
        if len(self._max_deadline_ms) > len(routes):
            # Newer versions of the routing have replaced some routes.
            self._max_deadline_ms = {
                name: deadline_ms
                for name, deadline_ms in self._max_deadline_ms.items()
                if name in routes
            }
        return metadata.deadline_ms < max_deadline_ms * RETRY_DEADLINE_FRACTION

    # ---- delivery --------------------------------------------------------

    async def _watch_caller(
        self,
        receive: Receive,
        request: RoutedRequest,
        scope: anyio.CancelScope,
    ) -> None:
        """Cancel a request whose caller disconnects."""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                break
        if request.is_complete:
            return
        self._reporter.report_disconnected(request)
        scope.cancel()

    async def _deliver(self, request: RoutedRequest, send: Send) -> None:
        balancer = self._router.find_balancer(request.pool.name)
        blocked = balancer.screen(request.demand, self._timers.now())
        if blocked is not None:
            await self._send_refusal(request, blocked, send)
            return
        refusal_reason = await self._restrict_resumed(request)
        if refusal_reason is not None:
            retry_after_s = UNREADY_RETRY_AFTER_S * (0.5 + random.random())
            refusal = Refusal(refusal_reason, retry_after_s)
            await self._send_refusal(request, refusal, send)
            return
        # A resumed stream goes on in the pool that began it.
        balancer = self._router.find_balancer(request.pool.name)
        budget = self._router.find_budget(request.pool.name)
        budget.record_request(request.received_at)
        # The demand of a caller that retries was already recorded.
        if request.pool.is_engine() and not request.demand.is_caller_retry:
            self._shares.record_asked(request.account, request.demand.size)
        while True:
            now = self._timers.now()
            if now >= self._router.last_attempt_at:
                refusal = balancer.build_stop_refusal()
                await self._send_refusal(request, refusal, send)
                return
            placement = await balancer.admit(
                request.demand, now, request.excluded
            )
            if isinstance(placement, Refusal):
                await self._send_refusal(request, placement, send)
                return
            result = await self._attempt(request, balancer, placement, send)
            request.demand.is_probe = False
            if result.outcome is AttemptOutcome.COMPLETED:
                self._reporter.report_answered(request, placement)
                return
            if request.progress.started:
                # Events of different software versions don't fit together.
                request.demand.software_version = placement.software_version
            balancer.start_waiting(self._timers.now())
            if not self._may_retry(request, result, budget):
                await self._send_failure(request, result, send)
                return
            self._reporter.report_retried(request, placement, result)

    async def _restrict_resumed(
        self, request: RoutedRequest
    ) -> RefusalReason | None:
        """Restrict a resumed stream to upstreams that can continue it.

        Returns
        -------
        RefusalReason or None
            Why no upstream can; None if one may, or for a new request.
        """
        if not request.is_resumed():
            return None
        pools = [share.pool for share in request.route.shares]
        origin = await self._router.find_origin(
            pools, request.metadata.resumes
        )
        if origin is None:
            return RefusalReason.UNKNOWN_ORIGIN
        assert self._router.routing is not None
        pool = self._router.routing.pools.get(origin.pool)
        if pool is None or origin.pool not in pools:
            return RefusalReason.NO_VERSION
        request.pool = pool
        request.demand.software_version = origin.software_version
        return None

    async def _attempt(
        self,
        request: RoutedRequest,
        balancer: Balancer,
        placement: Placement,
        send: Send,
    ) -> AttemptResult:
        server = placement.server
        started_at = self._timers.now()
        version = self._router.routing.version if self._router.routing else 0
        shares = (
            self._shares.describe(request.account, started_at)
            if request.pool.is_engine()
            else {}
        )
        self._reporter.report_placed(request, placement, version, shares)
        meter = AttemptMeter(
            self._timers,
            balancer,
            placement,
            request,
            started_at,
            self._reporter,
            self._router.record_leaving,
            self._router.notices.record_limit,
            functools.partial(self._record_begun, request, placement),
        )
        relay = Relay(
            self._build_relay_request(request, placement, started_at),
            server.upstream.address,
            self._upstreams,
            self._header_codec,
            request.progress,
            request.route.resumable,
            meter,
        )
        try:
            result = await relay.run(send)
        finally:
            if relay.sent:
                request.attempts += 1
                server.was_reached = True
            meter.finish()
        await self._record_result(request, server, result, started_at)
        return result

    def _record_begun(
        self, request: RoutedRequest, placement: Placement
    ) -> None:
        """Record where a stream begins.

        Until its first event it may still begin at another upstream, also at
        a moment when this router can't tell the controllers.
        """
        if request.route.resumable:
            origin = StreamOrigin(
                request.pool.name, placement.software_version
            )
            self._router.record_stream(request.stream_id(), origin)

    def _build_relay_request(
        self, request: RoutedRequest, placement: Placement, now: float
    ) -> RelayRequest:
        remaining_ms = (request.deadline_at - now) * 1000 - RESPONSE_MARGIN_MS
        metadata = ForwardingMetadata(
            upstream_id=placement.server.id,
            deadline_ms=max(1.0, remaining_ms),
            account=request.account,
            last_event_id=request.progress.events.last_id,
            copy_from=placement.copy_from,
        )
        return RelayRequest(
            request.method,
            request.target,
            self._header_codec.write_request(request.headers, metadata),
            request.body,
            request.metadata.request_id,
            request.find_last_event_id(),
        )

    async def _record_result(
        self,
        request: RoutedRequest,
        server: Server,
        result: AttemptResult,
        started_at: float,
    ) -> None:
        """Update the upstream and the request after an attempt."""
        now = self._timers.now()
        elapsed_ms = (now - started_at) * 1000
        if result.outcome is AttemptOutcome.COMPLETED:
            server.record_success(elapsed_ms)
            self._router.notices.record_answer(request.demand.suspects)
            return
        if result.outcome is AttemptOutcome.WITHDRAWN:
            return
        request.excluded = request.excluded | {server.id}
        is_ejected = False
        match result.outcome:
            case AttemptOutcome.NOT_SENT:
                is_ejected = server.eject(now)
                await self._upstreams.close_idle(
                    f"http://{server.upstream.address}"
                )
            case AttemptOutcome.NOT_RUN:
                request.last_failure = result.response
                if result.wrong_upstream:
                    is_ejected = server.eject(now)
            case AttemptOutcome.ERROR_RESPONSE:
                request.may_have_run = True
                request.last_failure = result.response
                assert result.response is not None
                if result.response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                    self._router.notices.record_answer(request.demand.suspects)
                if _is_upstream_failure(result.response.status):
                    is_ejected = server.record_failure(now)
            case _:
                request.may_have_run = True
                is_ejected = server.record_failure(now)
                await self._upstreams.close_idle(
                    f"http://{server.upstream.address}"
                )
                await self._record_broken(request, server, started_at)
        if is_ejected:
            self._reporter.report_ejected(request, server, result.reason)

    async def _record_broken(
        self, request: RoutedRequest, server: Server, sent_at: float
    ) -> None:
        """Suspect or clear a request that broke off, and its prompt parts."""
        suspects = request.demand.suspects
        elapsed_ms = (self._timers.now() - sent_at) * 1000
        answered_ms = elapsed_ms - request.first_event_ms
        if request.first_event_ms and answered_ms >= SUSPICION_S * 1000:
            self._router.notices.record_answer(suspects)
            await self._router.notices.check_end(server.upstream)
            return
        await self._router.notices.record_broken(
            server.upstream, suspects, sent_at
        )

    def _may_retry(
        self,
        request: RoutedRequest,
        result: AttemptResult,
        budget: WindowRetryBudget,
    ) -> bool:
        """Return whether a request may be sent to another upstream."""
        remaining_ms = (request.deadline_at - self._timers.now()) * 1000
        if remaining_ms < MIN_RETRY_TIME_MS:
            return False
        if result.outcome is AttemptOutcome.WITHDRAWN:
            return True
        if request.progress.started and not request.may_continue():
            return False
        if request.may_have_run and not request.route.is_repeatable():
            return False
        has_error_response = result.outcome is AttemptOutcome.ERROR_RESPONSE
        if (
            has_error_response
            and result.response
            and result.response.status < 500
        ):
            return False
        if result.outcome is AttemptOutcome.NOT_SENT:
            # Such attempts don't count, so the number of upstreams is bounded.
            return len(request.excluded) <= request.route.max_attempts + 1
        if request.attempts >= request.route.max_attempts:
            return False
        return budget.take(self._timers.now(), self._router.routers)

    # ---- final responses -------------------------------------------------

    async def _send_failure(
        self, request: RoutedRequest, result: AttemptResult, send: Send
    ) -> None:
        """Send the final response to a request whose attempts have failed."""
        if request.progress.started:
            # The server closes the connection of an incomplete response.
            self._reporter.report_failed(request, "broken_off", result.reason)
            return
        response = request.last_failure
        if response is not None and _may_forward(result, response):
            self._reporter.report_failed(
                request, "upstream_failed", result.reason
            )
            await send_buffered_response(send, response)
            return
        if request.may_have_run:
            status = HTTPStatus.BAD_GATEWAY
            self._reporter.report_failed(request, "failed", result.reason)
            await self._send_problem(
                request.metadata, status, result.reason, send
            )
            return
        retry_after_s = UNREADY_RETRY_AFTER_S * (0.5 + random.random())
        self._reporter.report_failed(request, "not_run", result.reason)
        await self._send_problem(
            request.metadata,
            HTTPStatus.SERVICE_UNAVAILABLE,
            f"not run: {result.reason}",
            send,
            retry_after_s,
        )

    async def _send_timeout(self, request: RoutedRequest, send: Send) -> None:
        """Send the final response to a request that has run out of time."""
        is_ended = self._timers.now() >= self._router.drain_end_at
        reason = (
            "the router has to end" if is_ended else "the deadline has passed"
        )
        if request.progress.started:
            self._reporter.report_failed(request, "broken_off", reason)
            return
        was_sent = request.attempts > 0
        self._reporter.report_failed(request, "late", reason)
        status = (
            HTTPStatus.GATEWAY_TIMEOUT
            if was_sent
            else HTTPStatus.SERVICE_UNAVAILABLE
        )
        await self._send_problem(request.metadata, status, reason, send)

    async def _send_refusal(
        self, request: RoutedRequest, refusal: Refusal, send: Send
    ) -> None:
        if request.progress.started:
            self._reporter.report_failed(
                request, "broken_off", refusal.reason.value
            )
            return
        if request.may_have_run:
            result = AttemptResult(AttemptOutcome.BROKEN, refusal.reason.value)
            await self._send_failure(request, result, send)
            return
        shares = self._shares.describe(request.account, self._timers.now())
        self._reporter.report_refused(request, refusal, shares)
        await self._send_problem(
            request.metadata,
            HTTPStatus.SERVICE_UNAVAILABLE,
            refusal.reason.value,
            send,
            refusal.retry_after_s,
        )

    async def _send_rejection(
        self, metadata: RequestMetadata, rejection: _Rejection, send: Send
    ) -> None:
        self._reporter.report_rejected(
            metadata.request_id, rejection.status, rejection.reason
        )
        await self._send_problem(
            metadata,
            rejection.status,
            rejection.reason,
            send,
            _draw_retry_after(rejection.status),
        )

    async def _send_problem(
        self,
        metadata: RequestMetadata,
        status: HTTPStatus,
        detail: str,
        send: Send,
        retry_after_s: float | None = None,
    ) -> None:
        headers, body = self._build_problem(
            metadata.request_id, status, detail, retry_after_s
        )
        await send_buffered_response(
            send, BufferedResponse(int(status), headers, body)
        )

    def _build_problem(
        self,
        request_id: str,
        status: HTTPStatus,
        detail: str,
        retry_after_s: float | None,
    ) -> tuple[Headers, bytes]:
        """Return the headers and the body of an error response."""
        headers = self._header_codec.write_response(request_id)
        headers.append((b"content-type", b"application/problem+json"))
        if retry_after_s is not None:
            value = f"{retry_after_s:.3f}".encode()
            headers.append((b"retry-after", value))
        document = {"status": int(status), "detail": detail}
        return headers, json.dumps(document).encode()


@dataclass(slots=True)
class _Rejection:
    """Why a request is rejected before it reaches the balancer."""

    status: HTTPStatus
    reason: str


def _draw_retry_after(status: HTTPStatus) -> float | None:
    """Return the time in seconds for the field Retry-After, if it has one."""
    if status is not HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    return UNREADY_RETRY_AFTER_S * (0.5 + random.random())


def _track_completion(request: RoutedRequest, send: Send) -> Send:
    """Return a sender that records the end of the response.

    The server reports a disconnect also after the response has ended.
    """

    async def send_tracked(message: MutableMapping[str, Any]) -> None:
        if message["type"] == "http.response.body":
            request.is_complete = not message.get("more_body", False)
        await send(message)

    return send_tracked


def _is_upstream_failure(status: int) -> bool:
    """Return whether a status is a failure of the upstream.

    504 is not: it says that the deadline of the request has passed.
    """
    return status >= 500 and status != HTTPStatus.GATEWAY_TIMEOUT


def _may_forward(result: AttemptResult, response: BufferedResponse) -> bool:
    """Return whether an upstream's error response goes to the caller.

    Statuses that callers take for "not run" are not forwarded, because an
    earlier attempt may have run; the router sends its own response instead.
    """
    if response.status in NOT_RUN_STATUSES:
        return False
    return result.outcome in (
        AttemptOutcome.ERROR_RESPONSE,
        AttemptOutcome.NOT_RUN,
    )


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
