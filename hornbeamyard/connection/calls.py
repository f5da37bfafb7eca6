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

# Longest wait for one controller's answer before the next one is asked.
CALL_TIMEOUT_S = 3.0
# Pause before all controllers are tried again, for example in an election.
RETRY_PAUSE_S = 0.25


@dataclass(slots=True)
class Unreachable:
    """No lead controller answered in time.

    Attributes
    ----------
    reasons : dict of str to str
        What the last call to each controller's address came to.
    may_have_run : bool
        Whether a call was sent whose answer is not known.
    refused : bool
        Whether a controller refused this process.
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
    repeats until the time limit. Each call may be repeated: patches carry an
    id, and whoever changes members reads the members after a refusal.

    Parameters
    ----------
    controllers : mapping of str to str
        Addresses by host.
    tls : Tls or None
    identity : Identity
        Sent with every call.

    Attributes
    ----------
    was_repeated : bool
        Whether an answer to the last call may have been lost before.
    """

    __slots__ = (
        "_controllers",
        "_leader_hint",
        "_tls",
        "identity",
        "was_repeated",
    )

    def __init__(
        self,
        controllers: Mapping[str, str],
        tls: Tls | None,
        identity: fleet_pb2.Identity,
    ) -> None:
        self._controllers = controllers
        self._tls = tls
        self._leader_hint = ""
        self.identity = identity
        self.was_repeated = False

    async def call(
        self, method: str, request: Any, timeout_s: float
    ) -> Result[Any, Unreachable]:
        """Call a method of the service `Fleet` on the lead controller.

        Parameters
        ----------
        method : str
        request : message
            Its identity is filled in.
        timeout_s : float
            Time limit over all attempts, in seconds.
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
                    await anyio.sleep(RETRY_PAUSE_S)
        return Err(failure)

    async def _call_each(
        self, method: str, request: Any, deadline: float, failure: Unreachable
    ) -> Any:
        """Call each controller once, the one that seems to lead first."""
        waiting = list(self._controllers.values())
        called: set[str] = set()
        while waiting and not failure.refused:
            # A new leader may not be in the settings yet.
            address = self._leader_hint or waiting[0]
            if address in called:
                address = waiting[0]
            called.add(address)
            if address in waiting:
                waiting.remove(address)
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
        """Return the lead controller's reply, else None and note why."""
        channel = peers.open_channel(address, self._tls)
        timeout = max(0.05, min(CALL_TIMEOUT_S, deadline - time.monotonic()))
        try:
            stub = getattr(fleet_pb2_grpc.FleetStub(channel), method)
            reply = await peers.wait_call(stub(request, timeout=timeout))
        except grpc.aio.AioRpcError as error:
            failure.reasons[address] = _describe(error)
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
    if isinstance(reply, fleet_pb2.MemberChangeResult):
        return bool(reply.decided)
    return bool(reply.found)


def _describe(error: grpc.aio.AioRpcError) -> str:
    code = error.code()
    if code is grpc.StatusCode.DEADLINE_EXCEEDED:
        return "no answer in time"
    if code is grpc.StatusCode.UNAVAILABLE:
        return "can't be reached"
    return f"{code.name.lower()}: {error.details()}"
