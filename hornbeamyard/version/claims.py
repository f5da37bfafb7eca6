"""Claims on idempotency keys, so that a request runs at most once.

The table changes only when log entries are applied, so that all controllers
hold the same one. Claims expire by the time stamps of log entries, not by a
host's clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..messages import fleet_pb2

CLAIM_LIFETIME_MS = 24 * 3600 * 1000
# Older requests can't make a claim, so that a late copy of a request can't
# arrive after its claim has expired.
MAX_REQUEST_AGE_MS = 10 * 60 * 1000
# A larger response is recorded without its body.
MAX_RESPONSE_BYTES = 64 * 1024
# Further claims are refused.
MAX_CLAIMS = 200_000
# Further responses are recorded without their bodies.
MAX_TOTAL_RESPONSE_BYTES = 64 * 1024 * 1024

_Operation = fleet_pb2.ClaimOperation
_Key = tuple[str, str]


class ClaimTable:
    """Claims by client account and idempotency key, oldest first."""

    __slots__ = ("_claims", "_total_response_bytes")

    def __init__(self, records: Iterable[fleet_pb2.ClaimRecord] = ()) -> None:
        self._claims: dict[_Key, fleet_pb2.ClaimRecord] = {}
        self._total_response_bytes = 0
        for record in records:
            self._claims[record.client_account, record.key] = record
            self._total_response_bytes += len(record.answer.body)

    def __len__(self) -> int:
        return len(self._claims)

    def list_records(self) -> list[fleet_pb2.ClaimRecord]:
        """Return all claims, oldest first."""
        return list(self._claims.values())

    def apply(
        self, batch: fleet_pb2.ClaimBatch, time_ms: int
    ) -> fleet_pb2.ClaimResults:
        """Apply a batch of operations.

        Parameters
        ----------
        batch : ClaimBatch
        time_ms : int
            Time stamp of the log entry, in milliseconds since 1970.

        Returns
        -------
        ClaimResults
            One result for each operation.
        """
        self._expire(time_ms)
        if batch.started:
            self._close_orphaned(batch.identity)
        results = fleet_pb2.ClaimResults()
        for operation in batch.operations:
            if operation.kind == _Operation.MAKE:
                result = self._make_claim(batch.identity, operation, time_ms)
            else:
                result = self._finish(operation)
            results.results.append(result)
        return results

    def has_orphaned_claims(self, identity: fleet_pb2.Identity) -> bool:
        """Return whether earlier processes of a host left claims open."""
        return any(
            _is_orphaned(record, identity) for record in self._claims.values()
        )

    def list_hosts_with_open_claims(self) -> set[str]:
        """Return the hosts whose routers hold claims without an outcome."""
        return {
            record.host
            for record in self._claims.values()
            if record.state == fleet_pb2.GRANTED
        }

    def _make_claim(
        self,
        identity: fleet_pb2.Identity,
        operation: fleet_pb2.ClaimOperation,
        time_ms: int,
    ) -> fleet_pb2.ClaimResult:
        if operation.age_ms > MAX_REQUEST_AGE_MS:
            return fleet_pb2.ClaimResult(state=fleet_pb2.EXPIRED)
        key = (operation.client_account, operation.key)
        record = self._claims.get(key)
        if record is not None and record.request_hash != (
            operation.request_hash
        ):
            return fleet_pb2.ClaimResult(state=fleet_pb2.CONFLICT)
        if record is not None and record.attempt == operation.attempt != b"":
            return _build_result(record)
        if record is not None and record.state != fleet_pb2.RELEASED:
            return self._resolve_retry(record, identity)
        if record is None and len(self._claims) >= MAX_CLAIMS:
            return fleet_pb2.ClaimResult(state=fleet_pb2.REFUSED)
        self._claims.pop(key, None)
        self._claims[key] = fleet_pb2.ClaimRecord(
            client_account=operation.client_account,
            key=operation.key,
            request_hash=operation.request_hash,
            attempt=operation.attempt,
            incarnation=identity.incarnation,
            host=identity.host,
            time_ms=time_ms,
            state=fleet_pb2.GRANTED,
        )
        return fleet_pb2.ClaimResult(state=fleet_pb2.GRANTED)

    def _resolve_retry(
        self,
        record: fleet_pb2.ClaimRecord,
        identity: fleet_pb2.Identity,
    ) -> fleet_pb2.ClaimResult:
        """Return the result for a further attempt at a claimed request."""
        if record.state != fleet_pb2.GRANTED:
            return _build_result(record)
        if _is_orphaned(record, identity):
            record.state = fleet_pb2.OUTCOME_UNKNOWN
            return _build_result(record)
        return fleet_pb2.ClaimResult(state=fleet_pb2.IN_PROGRESS)

    def _finish(
        self, operation: fleet_pb2.ClaimOperation
    ) -> fleet_pb2.ClaimResult:
        """Record the outcome of the attempt that holds a claim."""
        key = (operation.client_account, operation.key)
        record = self._claims.get(key)
        if record is None:
            return fleet_pb2.ClaimResult(state=fleet_pb2.EXPIRED)
        if record.attempt != operation.attempt:
            return fleet_pb2.ClaimResult(state=fleet_pb2.CONFLICT)
        if operation.kind == _Operation.ANSWER and record.state in (
            fleet_pb2.GRANTED,
            fleet_pb2.OUTCOME_UNKNOWN,
        ):
            self._record_response(record, operation.answer)
        elif record.state != fleet_pb2.GRANTED:
            return _build_result(record)
        elif operation.kind == _Operation.RELEASE:
            record.state = fleet_pb2.RELEASED
        elif operation.kind == _Operation.FAIL:
            record.state = fleet_pb2.OUTCOME_UNKNOWN
        return _build_result(record)

    def _record_response(
        self,
        record: fleet_pb2.ClaimRecord,
        response: fleet_pb2.RecordedAnswer,
    ) -> None:
        record.state = fleet_pb2.ANSWERED
        record.answer.CopyFrom(response)
        size = len(response.body)
        if (
            size > MAX_RESPONSE_BYTES
            or self._total_response_bytes + size > MAX_TOTAL_RESPONSE_BYTES
        ):
            record.answer.body = b""
            record.answer.truncated = True
            return
        self._total_response_bytes += size

    def _close_orphaned(self, identity: fleet_pb2.Identity) -> None:
        for record in self._claims.values():
            if _is_orphaned(record, identity):
                record.state = fleet_pb2.OUTCOME_UNKNOWN

    def _expire(self, time_ms: int) -> None:
        cutoff_ms = time_ms - CLAIM_LIFETIME_MS
        expired = []
        for key, record in self._claims.items():
            if record.time_ms > cutoff_ms:
                break
            expired.append(key)
        for key in expired:
            self._total_response_bytes -= len(
                self._claims.pop(key).answer.body
            )


def _is_orphaned(
    record: fleet_pb2.ClaimRecord, identity: fleet_pb2.Identity
) -> bool:
    """Return whether an earlier process of a host left a claim open."""
    return (
        record.state == fleet_pb2.GRANTED
        and record.host == identity.host
        and record.incarnation != identity.incarnation
    )


def _build_result(record: fleet_pb2.ClaimRecord) -> fleet_pb2.ClaimResult:
    result = fleet_pb2.ClaimResult(state=record.state)
    if record.state == fleet_pb2.ANSWERED:
        result.answer.CopyFrom(record.answer)
    return result
