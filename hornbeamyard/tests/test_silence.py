"""Tests of calls to processes that have gone silent."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Iterator

import anyio
import pytest

from hornbeamyard.connection import peers
from hornbeamyard.messages import fleet_pb2, fleet_pb2_grpc


@pytest.fixture
def silent_address() -> Iterator[str]:
    """Return an address that accepts connections and sends nothing."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)
        yield f"127.0.0.1:{listener.getsockname()[1]}"


async def send_reports() -> AsyncIterator[fleet_pb2.RouterReport]:
    """Send one report and nothing after it."""
    yield fleet_pb2.RouterReport()
    await anyio.sleep(20)


class TestWaitCall:
    """A time limit around a call to a silent process."""

    @pytest.mark.requirement("R12", fault="controller silent")
    @pytest.mark.requirement("R16", fault="peer connection silent")
    @pytest.mark.parametrize("kind", ["call", "stream"])
    def test_time_limit_ends_wait(
        self, silent_address: str, kind: str
    ) -> None:
        """Guards against a time limit that ends the whole task.

        grpc raised a `CancelledError` of its own in place of the scope's,
        which silently ended the leader's term and a router's session for
        good.
        """

        async def run() -> bool:
            channel = peers.open_channel(silent_address, None)
            try:
                with anyio.move_on_after(0.3) as limit:
                    if kind == "call":
                        stub = fleet_pb2_grpc.ReplicationStub(channel)
                        request = fleet_pb2.AppendRequest()
                        call = stub.AppendEntries(request, timeout=5)
                        await peers.wait_call(call)
                    else:
                        fleet = fleet_pb2_grpc.FleetStub(channel)
                        stream = fleet.Attach(send_reports())
                        await peers.wait_call(stream.read())
                return limit.cancelled_caught
            finally:
                with anyio.CancelScope(shield=True):
                    await channel.close(grace=0)

        assert anyio.run(run)
