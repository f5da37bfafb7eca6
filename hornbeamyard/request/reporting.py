"""Log lines, counters and latencies of routed requests."""

from __future__ import annotations

from http import HTTPStatus

# `Metrics` uses it for each request, and an import may fail while no file can
# be opened.
import hdrh.histogram  # noqa: F401

from ..pool.balancer import Refusal
from ..pool.choice import Placement
from ..pool.engine import Engine, Server
from ..pool.load_estimate import compute_slowdown
from ..process.decisions import DecisionLog
from ..process.metrics import Latency, Metrics
from ..process.timers import Timers
from .headers import RequestMetadata
from .relay import AttemptResult
from .routed_request import RequestCounts, RoutedRequest

# Account label of requests on public routes.
PUBLIC_LABEL = "public"


class RequestReporter:
    """Reports decisions on requests to the decision log and the metrics.

    Parameters
    ----------
    timers : Timers
    decisions : DecisionLog
    metrics : Metrics

    Attributes
    ----------
    counts : RequestCounts
    """

    __slots__ = ("_decisions", "_metrics", "_timers", "counts")

    def __init__(
        self, timers: Timers, decisions: DecisionLog, metrics: Metrics
    ) -> None:
        self._decisions = decisions
        self._metrics = metrics
        self._timers = timers
        self.counts = RequestCounts()

    def log_decision(
        self, metadata: RequestMetadata, kind: str, **inputs: object
    ) -> None:
        """Log a decision on a request and the values that led to it."""
        self._decisions.note(kind, request_id=metadata.request_id, **inputs)

    def record_latency(
        self, request: RoutedRequest, latency: Latency, now: float
    ) -> None:
        """Record the time since a request was received."""
        self._metrics.record(
            request.account or PUBLIC_LABEL,
            request.demand.priority == 0,
            latency,
            now - request.received_at,
        )

    def report_rejected(
        self, request_id: str, status: HTTPStatus, reason: str
    ) -> None:
        """Report a request that was rejected before placement."""
        self.counts.add("rejected")
        self._decisions.note(
            "rejected",
            request_id=request_id,
            status=int(status),
            reason=reason,
        )

    def report_placed(
        self,
        request: RoutedRequest,
        placement: Placement,
        version: int,
        shares: dict[str, object],
    ) -> None:
        """Report a request that is sent to an upstream."""
        now = self._timers.now()
        self.record_latency(request, Latency.QUEUE_WAIT, now)
        server = placement.server
        estimate = placement.estimate
        is_engine = isinstance(server, Engine)
        grant = request.demand.grant
        self.log_decision(
            request.metadata,
            "placed",
            route=request.route.name,
            account=request.account,
            pool=request.pool.name,
            upstream=server.id,
            parts=_list_shared_parts(request),
            digest=request.demand.digest,
            software_version=server.upstream.software_version,
            resumes=request.metadata.resumes or None,
            last_event=request.progress.events.last_id
            or request.metadata.last_event_id
            or None,
            rank=placement.rank,
            wait_ms=round(estimate.wait_ms),
            read_ms=round(estimate.prefill_ms),
            unread=estimate.prefill_tokens,
            unread_shared=estimate.shared_prefill_tokens,
            copied=estimate.copied_tokens,
            copy_from=placement.copy_from,
            running=server.own_load.running + server.others_load.running,
            sums_age_ms=round((now - server.others_load_at) * 1000),
            slowdown=round(compute_slowdown(server, now), 2),
            token_ms=round(
                server.decode_ms_per_token,  # type: ignore[attr-defined]
                1,
            )
            if is_engine
            else None,
            size=request.demand.size,
            grant=grant.value if grant is not None else None,
            returned=request.demand.is_caller_retry,
            deadline_ms=request.metadata.deadline_ms,
            waited_ms=self._elapsed_ms(request),
            version=version,
            tries=request.attempts,
            **shares,
        )

    def report_refused(
        self,
        request: RoutedRequest,
        refusal: Refusal,
        shares: dict[str, object],
    ) -> None:
        """Report a request that the balancer refused."""
        self.counts.add("refused")
        self.log_decision(
            request.metadata,
            "refused",
            route=request.route.name,
            account=request.account,
            pool=request.pool.name,
            reason=refusal.reason.name.lower(),
            software_version=request.demand.software_version,
            resumes=request.metadata.resumes or None,
            retry_after_s=round(refusal.retry_after_s, 2),
            size=request.demand.size,
            returned=request.demand.is_caller_retry,
            waited_ms=self._elapsed_ms(request),
            **shares,
        )

    def report_retried(
        self,
        request: RoutedRequest,
        placement: Placement,
        result: AttemptResult,
    ) -> None:
        """Report a request that is retried at another upstream."""
        self.log_decision(
            request.metadata,
            "retried",
            upstream=placement.server.id,
            parts=_list_shared_parts(request),
            digest=request.demand.digest,
            ending=result.outcome.value,
            reason=result.reason,
            framing=_describe_framing(request),
            first_ms=round(request.first_event_ms),
            tries=request.attempts,
        )

    def report_ejected(
        self, request: RoutedRequest, server: Server, reason: str
    ) -> None:
        """Report an upstream that is ejected for a limited time."""
        self.log_decision(
            request.metadata,
            "upstream_avoided",
            upstream=server.id,
            reason=reason,
            for_s=round(server.ejected_until - self._timers.now(), 2),
            in_row=server.failures_in_row,
        )

    def report_paused(
        self, request: RoutedRequest, server: Server, pause_s: float
    ) -> None:
        """Report an upstream that wants no requests for some time."""
        self.log_decision(
            request.metadata,
            "upstream_paused",
            upstream=server.id,
            asked_s=round(pause_s, 2),
            for_s=round(server.paused_until - self._timers.now(), 2),
        )

    def report_answered(
        self, request: RoutedRequest, placement: Placement
    ) -> None:
        """Report a request whose response was sent completely."""
        self.counts.add("answered")
        self.record_latency(request, Latency.DURATION, self._timers.now())
        self.log_decision(
            request.metadata,
            "answered",
            route=request.route.name,
            account=request.account,
            upstream=placement.server.id,
            framing=_describe_framing(request),
            tries=request.attempts,
            first_ms=round(request.first_event_ms),
            forecast_ms=round(
                placement.estimate.wait_ms + placement.estimate.prefill_ms
            ),
            after_ms=self._elapsed_ms(request),
        )

    def report_failed(
        self, request: RoutedRequest, outcome: str, reason: str
    ) -> None:
        """Report a request that failed and isn't retried."""
        self.counts.add(outcome)
        self.log_decision(
            request.metadata,
            "failed",
            outcome=outcome,
            reason=reason,
            route=request.route.name,
            account=request.account,
            upstream=request.last_upstream,
            parts=_list_shared_parts(request),
            digest=request.demand.digest,
            framing=_describe_framing(request),
            first_ms=round(request.first_event_ms),
            tries=request.attempts,
            may_have_run=request.may_have_run,
            after_ms=self._elapsed_ms(request),
        )

    def report_disconnected(self, request: RoutedRequest) -> None:
        """Report a caller that disconnected before the response ended."""
        self.counts.add("left")
        self.log_decision(
            request.metadata,
            "left",
            route=request.route.name,
            tries=request.attempts,
            after_ms=self._elapsed_ms(request),
        )

    def _elapsed_ms(self, request: RoutedRequest) -> int:
        return round((self._timers.now() - request.received_at) * 1000)


def _list_shared_parts(request: RoutedRequest) -> list[str]:
    return [part.id for part in request.demand.parts[:-1]]


def _describe_framing(request: RoutedRequest) -> str | None:
    return request.framing.value if request.framing is not None else None
