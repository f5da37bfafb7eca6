"""Calls to the lead controller from routers and command-line tools."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import anyio
import grpc
import grpc.aio
from result import Err, Ok, Result

from ..messages import fleet_pb2, fleet_pb2_grpc
from ..process.settings import Tls
from . import peers

# Time limit of the call to one controller, before the next one is called.
CALL_TIMEOUT_S = 3.0
# Backoff before all controllers are called again, for example in an election.
RETRY_BACKOFF_S = 0.25


@dataclass(slots=True)
class Unreachable:
    """No lead controller replied within the time limit.

    Attributes
    ----------
    reasons : dict of str to str
        By the address of a controller, why the last call to it failed.
    may_have_run : bool
        Whether a call without a reply may have taken effect.
    refused : bool
        Whether a controller refused this process, as one of another fleet
        or protocol version.
    """

    reasons: dict[str, str] = field(default_factory=dict)
    may_have_run: bool = False
    refused: bool = False

    def __str__(self) -> str:
        if not self.reasons:
            return "no controller was asked"
        return "; ".join(
            f"controller {address}: {reason}"
            for address, reason in self.reasons.items()
        )


class LeaderCalls:
    """Makes calls to whichever controller leads.

    Each call tries all controllers, follows the leader that they name, and
    retries until the time limit. A retry is safe: patches carry an id,
    callers that change members read the members after a refusal, and an order
    about a zone that is in force already changes nothing.

    Parameters
    ----------
    controllers : mapping of str to str
        Addresses by host.
    tls : Tls or None
    identity : Identity
        Sent with every call.
    stub : class, optional
        Stub of the service with the methods.

    Attributes
    ----------
    was_repeated : bool
        Whether an earlier attempt of the last call may have taken effect,
        with its reply lost.
    """

    __slots__ = (
        "_controllers",
        "_leader_hint",
        "_stub",
        "_tls",
        "identity",
        "was_repeated",
    )

    def __init__(
        self,
        controllers: Mapping[str, str],
        tls: Tls | None,
        identity: fleet_pb2.Identity,
        stub: Any = fleet_pb2_grpc.FleetStub,
    ) -> None:
        self._controllers = controllers
        self._stub = stub
        self._tls = tls
        self._leader_hint = ""
        self.identity = identity
        self.was_repeated = False

    async def call(
        self, method: str, request: Any, timeout_s: float
    ) -> Result[Any, Unreachable]:
        """Call a method of the service on the lead controller.

        Parameters
        ----------
        method : str
        request : message
            Its identity is filled in.
        timeout_s : float
            Time limit over all attempts, in seconds.

        Returns
        -------
        Result of message or Unreachable
            The lead controller's reply.
        """
        request.identity.CopyFrom(self.identity)
        failure = Unreachable()
        deadline = time.monotonic() + timeout_s
        with anyio.move_on_after(timeout_s):
            while not failure.refused:
                reply = await self._call_each(
                    method, request, deadline, failure
                )
                if reply is not None:
                    self.was_repeated = failure.may_have_run
                    return Ok(reply)
                if not failure.refused:
                    await anyio.sleep(RETRY_BACKOFF_S)
        return Err(failure)

    async def _call_each(
        self, method: str, request: Any, deadline: float, failure: Unreachable
    ) -> Any:
        """Call each controller once, the one believed to lead first."""
        remaining = list(self._controllers.values())
        called: set[str] = set()
        while remaining and not failure.refused:
            # The leader may be a new member that the settings don't list.
            address = self._leader_hint or remaining[0]
            if address in called:
                address = remaining[0]
            called.add(address)
            if address in remaining:
                remaining.remove(address)
            reply = await self._call_one(
                address, method, request, deadline, failure
            )
            if reply is not None:
                return reply
        return None

    async def _call_one(
        self,
        address: str,
        method: str,
        request: Any,
        deadline: float,
        failure: Unreachable,
    ) -> Any:
        """Return the lead controller's reply, or None and record why not."""
        channel = peers.open_channel(address, self._tls)
        timeout = max(0.05, min(CALL_TIMEOUT_S, deadline - time.monotonic()))
        try:
            rpc = getattr(self._stub(channel), method)
            reply = await peers.wait_call(rpc(request, timeout=timeout))
        except grpc.aio.AioRpcError as error:
            failure.reasons[address] = _describe_error(error)
            code = error.code()
            failure.refused = code is grpc.StatusCode.FAILED_PRECONDITION
            if code is not grpc.StatusCode.UNIMPLEMENTED:
                failure.may_have_run |= not failure.refused
            if address == self._leader_hint:
                self._leader_hint = ""
            return None
        finally:
            with anyio.CancelScope(shield=True):
                await channel.close(grace=0)
        if is_leader_reply(reply):
            self._leader_hint = address
            return reply
        failure.reasons[address] = "does not lead"
        outcome = getattr(reply, "outcome", None)
        if outcome == fleet_pb2.UNKNOWN or getattr(reply, "reason", ""):
            failure.reasons[address] = "the outcome is not known yet"
            failure.may_have_run |= not reply.leader
        self._leader_hint = reply.leader
        return None


def is_leader_reply(reply: Any) -> bool:
    """Return whether a reply comes from the lead controller."""
    if isinstance(reply, fleet_pb2.PatchResult):
        return reply.outcome not in (
            fleet_pb2.PATCH_OUTCOME_UNSPECIFIED,
            fleet_pb2.UNKNOWN,
            fleet_pb2.NOT_LEADER,
        )
    if isinstance(reply, fleet_pb2.StatusReply):
        return bool(reply.document)
    if isinstance(
        reply, fleet_pb2.MemberChangeResult | fleet_pb2.EvacuationResult
    ):
        return bool(reply.decided)
    return bool(reply.found)


def _describe_error(error: grpc.aio.AioRpcError) -> str:
    code = error.code()
    if code is grpc.StatusCode.DEADLINE_EXCEEDED:
        return "no answer in time"
    if code is grpc.StatusCode.UNAVAILABLE:
        return "can't be reached"
    return f"{code.name.lower()}: {error.details()}"
