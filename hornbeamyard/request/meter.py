"""Measurements of a try, for the router's account of its upstreams."""

from __future__ import annotations

from ..pool.balancer import Balancer, Placement
from ..pool.engine import Engine
from ..process.metrics import Latency
from ..process.timers import Timers
from .reporting import RequestReporter
from .routed_request import RoutedRequest


class AttemptMeter:
    """Measures one try and keeps the account of its work.

    Parameters
    ----------
    timers : Timers
    steering : Balancer
    placement : Placement
    request : RoutedRequest
    started_at : float
        Monotonic seconds.
    reporter : RequestReporter
    """

    __slots__ = (
        "_first_chunk_at",
        "_last_chunk_at",
        "_placement",
        "_reporter",
        "_request",
        "_started_at",
        "_steering",
        "_timers",
    )

    def __init__(
        self,
        timers: Timers,
        steering: Balancer,
        placement: Placement,
        request: RoutedRequest,
        started_at: float,
        reporter: RequestReporter,
    ) -> None:
        self._reporter = reporter
        self._request = request
        self._first_chunk_at = 0.0
        self._last_chunk_at = 0.0
        self._placement = placement
        self._started_at = started_at
        self._steering = steering
        self._timers = timers

    def record_chunk(self) -> None:
        """Take note of a part of the answer."""
        now = self._timers.now()
        server = self._placement.server
        if not self._first_chunk_at:
            self._record_first_chunk(now)
        elif isinstance(server, Engine):
            gap_ms = (now - self._last_chunk_at) * 1000
            tokens = self._request.pool.tokens_per_event
            server.record_generated(gap_ms, tokens)
            self._steering.inter_token_latency.record(gap_ms / tokens, now)
        self._last_chunk_at = now

    def _record_first_chunk(self, now: float) -> None:
        self._first_chunk_at = now
        self._reporter.record_latency(self._request, Latency.FIRST_BYTE, now)
        server = self._placement.server
        if not isinstance(server, Engine):
            return
        estimated = self._placement.estimate
        ahead = (
            estimated.wait_ms / server.prefill_ms_per_token
            if server.prefill_ms_per_token
            else 0
        )
        server.record_first_event(
            (now - self._started_at) * 1000, ahead + estimated.prefill_tokens
        )
        self._steering.finish_prefill(self._placement)
        self._steering.start_waiting(now)

    def finish(self) -> None:
        """Count the end of the try."""
        is_engine = isinstance(self._placement.server, Engine)
        if not self._first_chunk_at or not is_engine:
            self._steering.finish_prefill(self._placement)
        self._steering.finish(self._placement, self._request.demand)
        self._steering.start_waiting(self._timers.now())
