"""Measurements of an attempt, for the router's estimates of its upstreams."""

from __future__ import annotations

from collections.abc import Callable

from ..connection.client import Framing
from ..pool.balancer import Balancer
from ..pool.choice import Placement
from ..pool.engine import Engine
from ..pool.upstream_registry import Upstream, UpstreamStart
from ..process.metrics import Latency
from ..process.timers import Timers
from .headers import ResponseMetadata
from .reporting import RequestReporter
from .routed_request import RoutedRequest


class AttemptMeter:
    """Measures one attempt and reports its progress to the balancer.

    Parameters
    ----------
    timers : Timers
    balancer : Balancer
    placement : Placement
    request : RoutedRequest
    started_at : float
        Monotonic time in seconds.
    reporter : RequestReporter
    report_leaving : callable
        Called with an upstream that says that it leaves.
    report_limit : callable
        Called with the start of an upstream and the rate limit in its
        response, None for no limit.
    report_begun : callable
        Called before the first byte of a response is sent to the caller that
        isn't complete yet.
    """

    __slots__ = (
        "_balancer",
        "_first_chunk_at",
        "_last_chunk_at",
        "_placement",
        "_report_begun",
        "_report_leaving",
        "_report_limit",
        "_reporter",
        "_request",
        "_started_at",
        "_timers",
    )

    def __init__(
        self,
        timers: Timers,
        balancer: Balancer,
        placement: Placement,
        request: RoutedRequest,
        started_at: float,
        reporter: RequestReporter,
        report_leaving: Callable[[Upstream], None],
        report_limit: Callable[[UpstreamStart, float | None], None],
        report_begun: Callable[[], None],
    ) -> None:
        self._report_begun = report_begun
        self._report_leaving = report_leaving
        self._report_limit = report_limit
        self._reporter = reporter
        self._request = request
        request.framing = None
        request.first_event_ms = 0.0
        request.last_upstream = placement.server.id
        self._first_chunk_at = 0.0
        self._last_chunk_at = 0.0
        self._placement = placement
        self._started_at = started_at
        self._balancer = balancer
        self._timers = timers

    def may_send(self) -> bool:
        """Return whether the request may still go to the upstream."""
        demand = self._request.demand
        if self._balancer.is_blocked(demand):
            return False
        server = self._placement.server
        version = self._balancer.find_version(server.upstream)
        if version != self._placement.software_version:
            # The stream would be recorded with another version.
            return False
        now = self._timers.now()
        if self._balancer.has_become_cold(self._placement, now):
            return False
        return self._balancer.may_send(server, demand, now)

    def record_head(
        self, metadata: ResponseMetadata, framing: Framing
    ) -> None:
        """Record what the upstream says about itself and its response."""
        self._request.framing = framing
        if metadata.wrong_upstream:
            # The response is from another upstream at the same address.
            return
        server = self._placement.server
        if metadata.is_leaving:
            self._report_leaving(server.upstream)
        self._report_limit(server.upstream.start, metadata.max_rate)
        if metadata.load is not None:
            self._balancer.record_reported(
                server, metadata.load, self._timers.now()
            )
        if metadata.retry_after_s:
            self._balancer.pause(
                server, metadata.retry_after_s, self._timers.now()
            )
            self._reporter.report_paused(
                self._request, server, metadata.retry_after_s
            )

    def record_chunk(self) -> None:
        """Record the arrival of a chunk of the response."""
        now = self._timers.now()
        server = self._placement.server
        if not self._first_chunk_at:
            self._record_first_chunk(now)
        elif isinstance(server, Engine):
            gap_ms = (now - self._last_chunk_at) * 1000
            tokens = self._request.pool.tokens_per_event
            server.record_generated(gap_ms, tokens)
            self._balancer.inter_token_latency.record(gap_ms / tokens, now)
        self._last_chunk_at = now

    def record_begun(self) -> None:
        """Report the start of the response to the caller."""
        self._report_begun()

    def _record_first_chunk(self, now: float) -> None:
        self._first_chunk_at = now
        self._request.first_event_ms = (now - self._started_at) * 1000
        self._reporter.record_latency(self._request, Latency.FIRST_BYTE, now)
        server = self._placement.server
        if not isinstance(server, Engine):
            return
        estimate = self._placement.estimate
        queued_tokens = (
            estimate.wait_ms / server.prefill_ms_per_token
            if server.prefill_ms_per_token
            else 0
        )
        self._balancer.record_first_event(
            server,
            (now - self._started_at) * 1000,
            queued_tokens + estimate.prefill_tokens,
        )
        self._balancer.finish_prefill(self._placement)
        self._balancer.start_waiting(now)

    def finish(self) -> None:
        """Record the end of the attempt."""
        is_engine = isinstance(self._placement.server, Engine)
        if not self._first_chunk_at or not is_engine:
            self._balancer.finish_prefill(self._placement)
        self._balancer.finish(self._placement, self._request.demand)
        self._balancer.start_waiting(self._timers.now())
