"""Tests of calls to the lead controller."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import anyio
import grpc
import grpc.aio
import pytest
from result import Err, Ok

from hornbeamyard.connection.calls import LeaderCalls, is_leader_reply
from hornbeamyard.messages import fleet_pb2, fleet_pb2_grpc

from .fleet import find_free_port


class FakeController(fleet_pb2_grpc.FleetServicer):
    """Sends prepared replies to patches; the last one repeatedly."""

    def __init__(self, *replies: fleet_pb2.PatchResult | grpc.StatusCode):
        self.address = f"127.0.0.1:{find_free_port()}"
        self.replies = list(replies)
        self.requests: list[fleet_pb2.PatchRequest] = []

    async def SubmitPatch(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.PatchRequest,
        context: grpc.aio.ServicerContext,
    ) -> Any:
        self.requests.append(request)
        reply = self.replies[0]
        if len(self.replies) > 1:
            del self.replies[0]
        if isinstance(reply, grpc.StatusCode):
            await context.abort(reply, "prepared")
        return reply


@asynccontextmanager
async def serve(controller: FakeController) -> AsyncIterator[None]:
    """Serve a fake controller."""
    server = grpc.aio.server()
    fleet_pb2_grpc.add_FleetServicer_to_server(controller, server)
    server.add_insecure_port(controller.address)
    await server.start()
    try:
        yield
    finally:
        await server.stop(None)


def submit(
    *controllers: FakeController, known: int = 9, timeout_s: float = 5.0
) -> Any:
    """Submit a patch to the first `known` controllers.

    Returns
    -------
    tuple of (LeaderCalls, Result)
    """

    async def run() -> Any:
        async with AsyncExitStack() as stack:
            for controller in controllers:
                await stack.enter_async_context(serve(controller))
            addresses = {c.address: c.address for c in controllers[:known]}
            identity = fleet_pb2.Identity(fleet="test", host="tool")
            calls = LeaderCalls(addresses, None, identity)
            request = fleet_pb2.PatchRequest(patch_id="one")
            result = await calls.call("SubmitPatch", request, timeout_s)
            return calls, result

    return anyio.run(run)


ACCEPTED = fleet_pb2.PatchResult(outcome=fleet_pb2.ACCEPTED, version=5)
UNKNOWN = fleet_pb2.PatchResult(outcome=fleet_pb2.UNKNOWN)
LOST = grpc.StatusCode.UNAVAILABLE


def point_to(leader: str) -> fleet_pb2.PatchResult:
    """Return the reply of a controller that does not lead."""
    return fleet_pb2.PatchResult(outcome=fleet_pb2.NOT_LEADER, leader=leader)


class TestLeaderCalls:
    """A call continues until the lead controller has replied."""

    @pytest.mark.parametrize("hinted", [True, False])
    def test_follows_leader(self, hinted: bool) -> None:
        """Guards against a call that fails at a follower."""
        leader = FakeController(ACCEPTED)
        follower = FakeController(point_to(leader.address if hinted else ""))
        calls, result = submit(follower, leader)
        assert result == Ok(ACCEPTED)
        assert not calls.was_repeated
        assert len(leader.requests) == 1

    def test_follows_leader_missing_in_settings(self) -> None:
        """Guards against a call that ignores a leader not in the settings."""
        leader = FakeController(ACCEPTED)
        follower = FakeController(point_to(leader.address))
        other = FakeController(point_to(leader.address))
        _, result = submit(follower, other, leader, known=2)
        assert result == Ok(ACCEPTED)
        assert not other.requests

    def test_retries_leader_missing_in_settings(self) -> None:
        """Guards against dropping such a leader after an unknown outcome."""
        leader = FakeController(UNKNOWN, ACCEPTED)
        follower = FakeController(point_to(leader.address))
        _, result = submit(follower, leader, known=1)
        assert result == Ok(ACCEPTED)

    def test_calls_others_when_hints_are_wrong(self) -> None:
        """Guards against a loop between followers that name each other."""
        leader = FakeController(ACCEPTED)
        first, second = FakeController(LOST), FakeController(LOST)
        first.replies = [point_to(second.address)]
        second.replies = [point_to(first.address)]
        _, result = submit(first, second, leader)
        assert result == Ok(ACCEPTED)
        assert len(first.requests) == len(second.requests) == 1

    @pytest.mark.requirement("R13")
    @pytest.mark.parametrize("first", [UNKNOWN, LOST])
    def test_retries_with_same_id(self, first: Any) -> None:
        """Guards against a patch lost or applied twice after a lost reply."""
        leader = FakeController(first, ACCEPTED)
        calls, result = submit(leader)
        assert result == Ok(ACCEPTED)
        assert calls.was_repeated
        assert [r.patch_id for r in leader.requests] == ["one", "one"]
        assert leader.requests[0].identity.host == "tool"

    @pytest.mark.requirement("R13")
    def test_reports_unknown_outcome(self) -> None:
        """Guards against a wrong outcome when none was confirmed in time."""
        _, result = submit(FakeController(UNKNOWN), timeout_s=0.6)
        assert isinstance(result, Err)
        assert result.err_value.may_have_run
        assert "the outcome is not known yet" in str(result.err_value)

    def test_stops_after_refusal(self) -> None:
        """Guards against retries by a process that the fleet refuses."""
        refusal = grpc.StatusCode.FAILED_PRECONDITION
        controller = FakeController(refusal)
        _, result = submit(controller)
        assert isinstance(result, Err)
        assert result.err_value.refused
        assert not result.err_value.may_have_run
        assert len(controller.requests) == 1


class TestIsLeaderReply:
    """Only replies of the lead controller count."""

    @pytest.mark.parametrize(
        ("reply", "expected"),
        [
            (fleet_pb2.ConfigurationReply(), False),
            (fleet_pb2.ConfigurationReply(found=True), True),
            (fleet_pb2.HistoryReply(), False),
            (fleet_pb2.HistoryReply(found=True), True),
            (fleet_pb2.StatusReply(), False),
            (fleet_pb2.StatusReply(document=b"{}"), True),
            (fleet_pb2.MemberChangeResult(reason="no majority"), False),
            (fleet_pb2.MemberChangeResult(decided=True), True),
            (UNKNOWN, False),
            (ACCEPTED, True),
        ],
    )
    def test_recognises_leader_replies(
        self, reply: Any, expected: bool
    ) -> None:
        """Guards against a follower's empty reply taken for the state."""
        assert is_leader_reply(reply) is expected
