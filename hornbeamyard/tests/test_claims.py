"""Tests of the table of claims on idempotency keys."""

from __future__ import annotations

import pytest

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.version import claims
from hornbeamyard.version.claims import ClaimTable

NOW_MS = 1_700_000_000_000
ROUTER = fleet_pb2.Identity(host="host-0", incarnation=1)
RESTARTED = fleet_pb2.Identity(host="host-0", incarnation=2)
OTHER = fleet_pb2.Identity(host="host-1", incarnation=3)
Operation = fleet_pb2.ClaimOperation


def apply(
    table: ClaimTable,
    kind: int = Operation.MAKE,
    attempt: bytes = b"first",
    identity: fleet_pb2.Identity = ROUTER,
    time_ms: int = NOW_MS,
    **fields: object,
) -> fleet_pb2.ClaimResult:
    """Apply one operation and return its result."""
    operation = Operation(
        client_account="hotel",
        key="key",
        request_hash=fields.pop("request_hash", b"hash"),
        kind=kind,
        attempt=attempt,
        **fields,
    )
    batch = fleet_pb2.ClaimBatch(identity=identity, operations=[operation])
    return table.apply(batch, time_ms).results[0]


@pytest.mark.requirement("R5")
class TestMake:
    """A key is granted to only one attempt."""

    @pytest.mark.parametrize(
        ("attempt", "identity", "state"),
        [
            (b"first", ROUTER, fleet_pb2.GRANTED),
            (b"second", ROUTER, fleet_pb2.IN_PROGRESS),
            (b"second", OTHER, fleet_pb2.IN_PROGRESS),
            (b"second", RESTARTED, fleet_pb2.OUTCOME_UNKNOWN),
        ],
    )
    def test_repeated_make(
        self, attempt: bytes, identity: fleet_pb2.Identity, state: int
    ) -> None:
        """Guards against a second run, also after a lost reply to MAKE."""
        table = ClaimTable()
        assert apply(table).state == fleet_pb2.GRANTED
        repeat = apply(table, attempt=attempt, identity=identity)
        assert repeat.state == state

    def test_empty_attempts_never_match(self) -> None:
        """Guards against two runs by callers that send no attempt id."""
        table = ClaimTable()
        assert apply(table, attempt=b"").state == fleet_pb2.GRANTED
        assert apply(table, attempt=b"").state == fleet_pb2.IN_PROGRESS

    def test_different_request_conflicts(self) -> None:
        """Guards against the response to another request with the same key."""
        table = ClaimTable()
        apply(table)
        result = apply(table, attempt=b"second", request_hash=b"other")
        assert result.state == fleet_pb2.CONFLICT

    def test_late_copy_is_refused(self) -> None:
        """Guards against a copy that runs after its claim has expired."""
        result = apply(ClaimTable(), age_ms=claims.MAX_REQUEST_AGE_MS + 1)
        assert result.state == fleet_pb2.EXPIRED

    def test_expires_by_log_time(self) -> None:
        """Guards against claims that never expire."""
        table = ClaimTable()
        apply(table)
        end = NOW_MS + claims.CLAIM_LIFETIME_MS
        second = apply(table, attempt=b"second", time_ms=end - 1)
        assert second.state == fleet_pb2.IN_PROGRESS
        third = apply(table, attempt=b"third", time_ms=end)
        assert third.state == fleet_pb2.GRANTED

    def test_full_table_refuses(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against unbounded memory use."""
        monkeypatch.setattr(claims, "MAX_CLAIMS", 0)
        assert apply(ClaimTable()).state == fleet_pb2.REFUSED


@pytest.mark.requirement("R5")
class TestFinish:
    """The outcome of an attempt is recorded."""

    def test_answer_is_repeated(self) -> None:
        """Guards against a retry that doesn't get the recorded response."""
        table = ClaimTable()
        apply(table)
        response = fleet_pb2.RecordedAnswer(status=201, body=b"done")
        apply(table, Operation.ANSWER, answer=response)
        repeat = apply(table, attempt=b"second")
        assert repeat.state == fleet_pb2.ANSWERED
        assert repeat.answer == response

    def test_long_answer_is_truncated(self) -> None:
        """Guards against a log filled with large responses."""
        table = ClaimTable()
        apply(table)
        body = bytes(claims.MAX_RESPONSE_BYTES + 1)
        response = fleet_pb2.RecordedAnswer(status=200, body=body)
        result = apply(table, Operation.ANSWER, answer=response)
        assert result.answer.truncated
        assert result.answer.body == b""

    @pytest.mark.parametrize(
        ("ends", "state"),
        [
            ([Operation.RELEASE], fleet_pb2.GRANTED),
            ([Operation.FAIL], fleet_pb2.OUTCOME_UNKNOWN),
            ([Operation.FAIL, Operation.RELEASE], fleet_pb2.OUTCOME_UNKNOWN),
            ([Operation.ANSWER, Operation.RELEASE], fleet_pb2.ANSWERED),
            ([Operation.FAIL, Operation.ANSWER], fleet_pb2.ANSWERED),
        ],
    )
    def test_next_attempt(self, ends: list[int], state: int) -> None:
        """Guards against a second run when the first one's end is unknown."""
        table = ClaimTable()
        apply(table)
        for kind in ends:
            apply(table, kind)
        assert apply(table, attempt=b"second").state == state

    def test_resent_make_after_release(self) -> None:
        """Guards against a late MAKE that takes a released claim again."""
        table = ClaimTable()
        apply(table)
        apply(table, Operation.RELEASE)
        assert apply(table).state == fleet_pb2.RELEASED

    def test_other_attempt_cannot_finish(self) -> None:
        """Guards against a late RELEASE of an earlier attempt."""
        table = ClaimTable()
        apply(table)
        result = apply(table, Operation.RELEASE, attempt=b"second")
        assert result.state == fleet_pb2.CONFLICT
        assert apply(table).state == fleet_pb2.GRANTED

    def test_restart_closes_open_claims(self) -> None:
        """Guards against claims left in progress by a router restart."""
        table = ClaimTable()
        apply(table)
        assert table.has_orphaned_claims(RESTARTED)
        assert not table.has_orphaned_claims(ROUTER)
        table.apply(
            fleet_pb2.ClaimBatch(identity=RESTARTED, started=True), NOW_MS
        )
        repeat = apply(table, attempt=b"second", identity=OTHER)
        assert repeat.state == fleet_pb2.OUTCOME_UNKNOWN
