"""Tests of a router's calls and streams to controllers."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import anyio
import grpc.aio
import logbook
import pytest

from hornbeamyard.connection import peers
from hornbeamyard.connection.crash_reports import CrashReports
from hornbeamyard.connection.directory_calls import DirectoryCalls
from hornbeamyard.connection.directory_codec import pack_document
from hornbeamyard.connection.limit_reports import LimitReports
from hornbeamyard.connection.subscription import Subscription
from hornbeamyard.messages import fleet_pb2, fleet_pb2_grpc
from hornbeamyard.pool.usage import RouterUsage
from hornbeamyard.process.settings import Tls
from hornbeamyard.process.timers import MonotonicTimers

from .certificates import CertificateAuthority
from .fleet import find_free_port

TIMEOUT_S = 10.0


class FakeController(fleet_pb2_grpc.DirectoryServicer):
    """A controller that sends given updates.

    Attributes
    ----------
    fetched : anyio.Event
        Set when its routing has been requested.
    is_silent : bool
        Whether it doesn't respond to requests of its routing.
    """

    def __init__(self) -> None:
        self.address = f"127.0.0.1:{find_free_port()}"
        self.fetched = anyio.Event()
        self.is_silent = False
        self._sent = anyio.Event()
        self._start = 0
        self._updates: list[fleet_pb2.DirectoryUpdate] = []
        self._version = 0

    def send(
        self,
        version: int,
        *controllers: FakeController,
        voters_index: int = 0,
    ) -> None:
        """Send a version, and addresses as those of all controllers.

        They are also the voters, if `voters_index` is given.
        """
        self._version = version
        update = fleet_pb2.DirectoryUpdate(
            routing_version=version,
            controllers=[
                fleet_pb2.ControllerAddress(host=c.address, address=c.address)
                for c in controllers
            ],
            voters=[c.address for c in controllers] if voters_index else [],
            voters_index=voters_index,
        )
        self._updates.append(update)
        self._sent.set()
        self._sent = anyio.Event()

    def restart(self) -> None:
        """End all streams, and forget what was sent."""
        self._updates = []
        self._start += 1
        self._sent.set()
        self._sent = anyio.Event()

    async def Watch(  # noqa: N802 - named by the protocol
        self,
        requests: AsyncIterator[fleet_pb2.RouterUsage],
        context: grpc.aio.ServicerContext,
    ) -> None:
        """Send the updates, old and new ones."""
        number = 0
        start = self._start
        while start == self._start:
            for update in self._updates[number:]:
                number += 1
                await context.write(update)
            await self._sent.wait()

    async def FetchRouting(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.RoutingRead,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.RoutingCopy:
        """Return the newest version."""
        self.fetched.set()
        if self.is_silent:
            await anyio.sleep_forever()
        return fleet_pb2.RoutingCopy(
            version=self._version, document=pack_document(b"x"), found=True
        )


def run_with_controllers(
    number: int, test: Callable[[list[FakeController]], Awaitable[None]]
) -> None:
    """Run a test with controllers that serve."""

    async def run() -> None:
        controllers = [FakeController() for _ in range(number)]
        servers = []
        for controller in controllers:
            server = peers.create_server()
            fleet_pb2_grpc.add_DirectoryServicer_to_server(controller, server)
            peers.add_port(server, controller.address, None)
            await server.start()
            servers.append(server)
        try:
            with anyio.fail_after(TIMEOUT_S):
                await test(controllers)
        finally:
            for server in servers:
                await server.stop(grace=0)

    anyio.run(run)


def subscribe(
    calls: DirectoryCalls, seed: FakeController, versions: list[int]
) -> Subscription:
    """Return a router's subscription, which records fetched versions."""
    timers = MonotonicTimers()

    def apply(version: int, document: bytes) -> bool:
        versions.append(version)
        return True

    return Subscription(
        fleet_pb2.Identity(),
        [seed.address],
        calls,
        timers,
        lambda: RouterUsage({}, {}, [], 1.0),
        lambda upstreams: None,
        apply,
        lambda usage: None,
        CrashReports("r1", timers, lambda crashes: None),
        LimitReports(timers, lambda upstream: None),
        5.0,
    )


class TestClosedChannel:
    """A call on a channel that is closed fails, as any other does."""

    def test_call_fails(self) -> None:
        """Guards against a call that ends the task of its caller."""

        async def test(controllers: list[FakeController]) -> None:
            [controller] = controllers
            controller.is_silent = True
            calls = DirectoryCalls(None)
            results: list[object] = []

            async def fetch() -> None:
                request = fleet_pb2.RoutingRead()
                results.append(
                    await calls.fetch_routing(controller.address, request)
                )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fetch)
                await controller.fetched.wait()
                await calls.close_channel(controller.address)
            assert results == [None]

        run_with_controllers(1, test)

    def test_cancellation_goes_on(self) -> None:
        """Guards against a caller that can't be cancelled."""

        async def test(controllers: list[FakeController]) -> None:
            [controller] = controllers
            controller.is_silent = True
            calls = DirectoryCalls(None)
            request = fleet_pb2.RoutingRead()
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as tasks:

                    async def cancel() -> None:
                        await controller.fetched.wait()
                        scope.cancel()

                    tasks.start_soon(cancel)
                    await calls.fetch_routing(controller.address, request)
                    pytest.fail("the call has returned")
            assert scope.cancelled_caught
            await calls.close()

        run_with_controllers(1, test)

    def test_router_fetches_later_versions(self) -> None:
        """Guards against a router that never gets a newer routing again."""

        async def test(controllers: list[FakeController]) -> None:
            removed, other = controllers
            removed.is_silent = True
            calls = DirectoryCalls(None)
            versions: list[int] = []
            subscription = subscribe(calls, other, versions)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(subscription.run)
                other.send(0, removed, other)
                removed.send(1)
                await removed.fetched.wait()
                # Its stream ends with its next update, while the router still
                # waits for its routing.
                other.send(0, other)
                while removed.address in subscription._controllers:
                    await anyio.sleep(0.01)
                removed.send(1)
                while removed.address in subscription.versions:
                    await anyio.sleep(0.01)
                other.send(2)
                while not versions:
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            assert versions == [2]
            await calls.close()

        run_with_controllers(2, test)


class TestControllerLists:
    """A router keeps its streams to the controllers of the cluster."""

    def test_of_empty_controller(self) -> None:
        """Guards against a list that ends the streams to all others."""

        async def test(controllers: list[FakeController]) -> None:
            empty, *others = controllers
            calls = DirectoryCalls(None)
            versions: list[int] = []
            subscription = subscribe(calls, empty, versions)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(subscription.run)
                # It has lost its disk after this, and reaches no other.
                empty.send(1, *controllers, voters_index=5)
                for other in others:
                    other.send(1, *controllers, voters_index=5)
                while len(subscription.versions) < len(controllers):
                    await anyio.sleep(0.01)
                empty.restart()
                while empty.address in subscription.versions:
                    await anyio.sleep(0.01)
                empty.send(0, empty)
                while empty.address not in subscription.versions:
                    await anyio.sleep(0.01)
                for other in others:
                    other.send(1)
                await anyio.sleep(0.5)
                assert subscription.versions.keys() == {
                    controller.address for controller in controllers
                }
                assert subscription.knows_majority()
                for other in others:
                    other.send(2)
                while versions[-1] < 2:
                    await anyio.sleep(0.01)
                # It is up to date again, so that its list counts.
                empty.send(2, empty, others[0], voters_index=6)
                while others[1].address in subscription.versions:
                    others[1].send(2)
                    await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()
            await calls.close()

        run_with_controllers(3, test)


class TestCertificateFiles:
    """Channels are opened whether the files can be read just now or not."""

    @pytest.mark.parametrize("name", ["authority", "certificate", "key"])
    def test_file_that_is_gone(self, tmp_path: Path, name: str) -> None:
        """Guards against a process that ends while files are replaced."""
        issued = CertificateAuthority(tmp_path, "ca").issue("h1")
        tls = Tls(**{part: tmp_path / file for part, file in issued.items()})
        gone: Path = getattr(tls, name)

        async def run() -> None:
            calls = DirectoryCalls(tls)
            request = fleet_pb2.RoutingRead()
            address = f"127.0.0.1:{find_free_port()}"
            assert await calls.fetch_routing(address, request) is None
            await calls.close_channel(address)
            gone.rename(f"{gone}.old")
            assert await calls.fetch_routing(address, request) is None
            await calls.close()

        with logbook.TestHandler() as log:
            anyio.run(run)
        [record] = log.records
        assert str(gone) in record.message
