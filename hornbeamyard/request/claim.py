"""Client of the durable claims that make requests run at most once."""

from __future__ import annotations

import random
import uuid
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import anyio
import grpc
import grpc.aio
import logbook
from result import Err, Ok, Result

from ..connection import peers
from ..messages import fleet_pb2, fleet_pb2_grpc
from ..process.settings import Tls
from ..process.timers import Timers
from .exchange import ResponseRecorder
from .problem import Outcome, Problem

# A claim that isn't confirmed within this time is abandoned, and the request
# is not run. It covers the election of a new lead controller (up to 4 s).
CLAIM_TIMEOUT_S = 6.0
# Releases and responses are sent for longer, since the caller may retry.
SETTLE_TIMEOUT_S = 60.0
# Longest wait for the release of a claim before the caller gets "not run".
RELEASE_WAIT_S = 2.0
CALL_TIMEOUT_S = 1.0
# Mean time until a batch that wasn't confirmed is sent again.
RETRY_BACKOFF_S = 0.05
MAX_BATCH_OPERATIONS = 512
# Well below the largest gRPC message between processes (16 MiB).
MAX_BATCH_BYTES = 4 * 1024 * 1024

_log = logbook.Logger("claim")

Operation = fleet_pb2.ClaimOperation


@dataclass(slots=True)
class Claim:
    """The right to run one request, bound to its idempotency key.

    Attributes
    ----------
    client_account : str
    key : str
        The caller's idempotency key.
    request_hash : bytes
        SHA-256 of the request.
    received_at : float
        Monotonic time in seconds.
    attempt : bytes
        Distinguishes this claim from others with the same key.
    """

    client_account: str
    key: str
    request_hash: bytes
    received_at: float
    attempt: bytes = field(default_factory=lambda: uuid.uuid4().bytes)


@dataclass(slots=True)
class ClaimUnconfirmed:
    """A claim that no quorum confirmed, so its request must not run."""


@dataclass(slots=True, eq=False)
class _PendingOperation:
    """An operation until it is confirmed or abandoned."""

    claim: Claim
    operation: fleet_pb2.ClaimOperation
    expires_at: float
    settled: anyio.Event = field(default_factory=anyio.Event)
    result: fleet_pb2.ClaimResult | None = None


class ClaimClient:
    """Sends claim operations to the lead controller in batches.

    Operations that are added during a call are sent with the next one.

    Parameters
    ----------
    identity : Identity
    controllers : mapping of str to str
        Controller addresses by host.
    tls : Tls or None
    timers : Timers
    """

    __slots__ = (
        "_channels",
        "_controllers",
        "_identity",
        "_leader",
        "_next_controller",
        "_queue",
        "_timers",
        "_tls",
        "_wake",
    )

    def __init__(
        self,
        identity: fleet_pb2.Identity,
        controllers: Mapping[str, str],
        tls: Tls | None,
        timers: Timers,
    ) -> None:
        self._identity = identity
        self._controllers = list(controllers.values())
        self._tls = tls
        self._timers = timers
        self._leader = ""
        self._next_controller = random.randrange(len(self._controllers))
        self._queue: deque[_PendingOperation] = deque()
        self._wake = anyio.Event()
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def acquire(
        self, claim: Claim, max_wait_s: float
    ) -> Result[fleet_pb2.ClaimResult, ClaimUnconfirmed]:
        """Claim a request, which may run only if the result is `GRANTED`.

        Parameters
        ----------
        claim : Claim
        max_wait_s : float
            Time until the request must start, in seconds.

        Returns
        -------
        Result of ClaimResult or ClaimUnconfirmed
            After an error or a cancellation, the claim is released.
        """
        timeout_s = min(CLAIM_TIMEOUT_S, max_wait_s)
        pending = self._enqueue(claim, Operation.MAKE, timeout_s)
        try:
            with self._timers.limit(timeout_s):
                await pending.settled.wait()
        except BaseException:
            # The operation may already be sent; the release follows it.
            self._discard(pending)
            self.release(claim)
            raise
        if pending.result is None:
            self._discard(pending)
            self.release(claim)
            return Err(ClaimUnconfirmed())
        return Ok(pending.result)

    def release(self, claim: Claim) -> anyio.Event:
        """Release a claim whose request has certainly not run.

        Returns
        -------
        anyio.Event
            Set when the release is committed or abandoned.
        """
        return self._enqueue(
            claim, Operation.RELEASE, SETTLE_TIMEOUT_S
        ).settled

    async def release_and_wait(self, claim: Claim) -> None:
        """Release a claim and wait up to `RELEASE_WAIT_S` for it."""
        settled = self.release(claim)
        with self._timers.limit(RELEASE_WAIT_S):
            await settled.wait()

    def record_response(
        self, claim: Claim, recorder: ResponseRecorder
    ) -> None:
        """Record the response to a request that ran."""
        pending = self._enqueue(
            claim, Operation.ANSWER, SETTLE_TIMEOUT_S, notify=False
        )
        response = pending.operation.answer
        response.status = recorder.status
        response.content_type = recorder.content_type
        response.truncated = recorder.is_truncated()
        if not response.truncated:
            response.body = b"".join(recorder.chunks)
        self._wake.set()

    def record_unknown_outcome(self, claim: Claim) -> None:
        """Record that it is unknown whether the request ran."""
        self._enqueue(claim, Operation.FAIL, SETTLE_TIMEOUT_S)

    def abandon_unconfirmed(self) -> None:
        """Abandon all unconfirmed claims; their requests don't run."""
        for pending in list(self._queue):
            if pending.operation.kind == Operation.MAKE:
                self._discard(pending)

    async def flush(self) -> None:
        """Wait until all operations are confirmed or abandoned."""
        while self._queue:
            await self._queue[0].settled.wait()

    async def run(self) -> None:
        """Send operations until cancelled."""
        try:
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                while self._queue:
                    await self._send_batch()
        finally:
            with anyio.CancelScope(shield=True):
                for channel in self._channels.values():
                    await channel.close(grace=0)

    def _enqueue(
        self,
        claim: Claim,
        kind: fleet_pb2.ClaimOperation.Kind,
        timeout_s: float,
        notify: bool = True,
    ) -> _PendingOperation:
        operation = fleet_pb2.ClaimOperation(
            client_account=claim.client_account,
            key=claim.key,
            request_hash=claim.request_hash,
            kind=kind,
            attempt=claim.attempt,
        )
        expires_at = self._timers.now() + timeout_s
        pending = _PendingOperation(claim, operation, expires_at)
        self._queue.append(pending)
        if notify:
            self._wake.set()
        return pending

    def _discard(self, pending: _PendingOperation) -> None:
        if pending in self._queue:
            self._queue.remove(pending)
            pending.settled.set()

    async def _send_batch(self) -> None:
        batch = self._take_batch()
        results = await self._submit(batch) if batch else []
        if results is None:
            await self._timers.sleep(
                RETRY_BACKOFF_S * random.uniform(0.5, 1.5)
            )
            return
        for pending, result in zip(batch, results, strict=True):
            pending.result = result
            self._discard(pending)

    def _take_batch(self) -> list[_PendingOperation]:
        now = self._timers.now()
        for pending in [p for p in self._queue if p.expires_at <= now]:
            self._discard(pending)
            if pending.operation.kind != Operation.MAKE:
                _log.warning(
                    "the outcome of a request with an idempotency key could "
                    "not be recorded: no quorum of controllers in time"
                )
        batch: list[_PendingOperation] = []
        size = 0
        for pending in self._queue:
            # 256 bytes allow for the other fields of an operation.
            size += len(pending.operation.answer.body) + 256
            if len(batch) == MAX_BATCH_OPERATIONS or (
                batch and size > MAX_BATCH_BYTES
            ):
                break
            age_s = now - pending.claim.received_at
            pending.operation.age_ms = max(0, int(age_s * 1000))
            batch.append(pending)
        return batch

    async def _submit(
        self, batch: list[_PendingOperation]
    ) -> list[fleet_pb2.ClaimResult] | None:
        """Send a batch; return None if it isn't known to be committed."""
        index = self._next_controller % len(self._controllers)
        address = self._leader or self._controllers[index]
        channel = self._channels.get(address)
        if channel is None:
            channel = peers.open_channel(address, self._tls)
            self._channels[address] = channel
        request = fleet_pb2.ClaimBatch(
            identity=self._identity,
            operations=[pending.operation for pending in batch],
        )
        try:
            reply = await fleet_pb2_grpc.FleetStub(channel).MakeClaims(
                request, timeout=CALL_TIMEOUT_S
            )
        except grpc.aio.AioRpcError:
            self._leader = ""
            self._next_controller += 1
            return None
        if len(reply.results) == len(batch) and not reply.no_quorum:
            self._leader = address
            return list(reply.results)
        self._leader = reply.leader if reply.leader != address else ""
        self._next_controller += 1
        return None


def build_claim_refusal(
    result: fleet_pb2.ClaimResult,
) -> Problem | fleet_pb2.RecordedAnswer:
    """Return the recorded response, or the error for a refused claim."""
    response = result.answer
    match result.state:
        case fleet_pb2.ANSWERED if response.status and not response.truncated:
            return response
        case fleet_pb2.ANSWERED:
            return Problem(
                HTTPStatus.CONFLICT,
                Outcome.UNKNOWN,
                "the request has run, but its response was not kept",
            )
        case fleet_pb2.IN_PROGRESS:
            return Problem(
                HTTPStatus.CONFLICT,
                Outcome.IN_PROGRESS,
                "a request with this idempotency key is in progress",
                1,
            )
        case fleet_pb2.OUTCOME_UNKNOWN:
            return Problem(
                HTTPStatus.BAD_GATEWAY,
                Outcome.UNKNOWN,
                "an earlier request with this idempotency key may have run",
            )
        case fleet_pb2.CONFLICT:
            return Problem(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                Outcome.NOT_RUN,
                "the idempotency key was used with a different request",
            )
    return Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.NOT_RUN,
        "the idempotency key of the request could not be claimed: "
        + fleet_pb2.ClaimState.Name(result.state),
        1,
    )
