"""Tests of calls to processes that have gone silent."""

from __future__ import annotations

import socket
import time
from collections.abc import AsyncIterator, Iterator

import anyio
import anyio.lowlevel
import pytest

from hornbeamyard.connection import peers
from hornbeamyard.messages import fleet_pb2, fleet_pb2_grpc

from .in_process import MODEL, SILENCE_S, Response, run_in_process
from .test_drain import CHAT, wait_running


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


class TestStalledRouter:
    """A router without processor time takes no upstream for silent."""

    def test_sound_requests_go_on(self) -> None:
        """Guards against requests dropped when the router itself stood still.

        The time limit of a status request ran out while the event loop stood
        still, and the response that had come meanwhile was not read.
        """

        async def run() -> None:
            async with run_in_process(workers=1) as fleet:
                fleet.upstreams[0].options.token_s = 3 * SILENCE_S
                responses: list[Response] = []

                async def send_request(number: int) -> None:
                    document = {"model": MODEL, "id": f"r{number}"}
                    responses.append(await fleet.post(CHAT, document))

                async with anyio.create_task_group() as tasks:
                    for number in range(6):
                        tasks.start_soon(send_request, number)
                    await wait_running(fleet, 6)
                    stalled_until = time.monotonic() + 3.0
                    while time.monotonic() < stalled_until:
                        time.sleep(0.6 * SILENCE_S)
                        await anyio.lowlevel.checkpoint()
                assert [r.status for r in responses] == [200] * 6
                assert all(r.complete for r in responses)

        anyio.run(run)
