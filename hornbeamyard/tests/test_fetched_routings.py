"""Tests of a router that fetches a routing from controllers."""

from __future__ import annotations

from collections.abc import Collection

import anyio
import pytest

from hornbeamyard.connection.crash_reports import CrashReports
from hornbeamyard.connection.directory_calls import FETCH_TIMEOUT_S
from hornbeamyard.connection.directory_codec import UsageDecoder, pack_document
from hornbeamyard.connection.limit_reports import LimitReports
from hornbeamyard.connection.subscription import Subscription
from hornbeamyard.messages import fleet_pb2
from hornbeamyard.process.timers import VirtualTimers

ADDRESSES = [f"10.0.0.{number}:1" for number in range(5)]
VERSION = 2
# Time that a router may take beside controllers that don't answer. Together
# with an election it is within the 3 s after which routings have to be in
# force again, and without one within 2 s.
BOUND_S = 0.7


class HangingCalls:
    """Calls to controllers of which some accept calls and never answer."""

    def __init__(
        self, timers: VirtualTimers, hanging: Collection[str]
    ) -> None:
        self._timers = timers
        self._hanging = hanging
        self.asked: list[str] = []

    async def fetch_routing(
        self, address: str, request: object
    ) -> fleet_pb2.RoutingCopy | None:
        """Return the newest routing, or nothing at the time limit."""
        self.asked.append(address)
        if address in self._hanging:
            await self._timers.sleep(FETCH_TIMEOUT_S)
            return None
        await self._timers.sleep(0.005)
        document = pack_document(b"{}")
        return fleet_pb2.RoutingCopy(
            version=VERSION, document=document, found=True
        )


def measure(hanging: Collection[str], later_s: float) -> tuple[float, int]:
    """Return the time until a version is in force, and the number of calls.

    Controllers that answer announce the version later than those that hang.
    """
    timers = VirtualTimers()
    calls = HangingCalls(timers, hanging)
    subscription = Subscription(
        fleet_pb2.Identity(),
        ADDRESSES,
        calls,  # type: ignore[arg-type]
        timers,
        lambda: None,  # type: ignore[arg-type,return-value]
        lambda upstreams: None,
        lambda version, document: True,
        lambda usage: None,
        CrashReports("r1", timers, lambda crashes: None),
        LimitReports(timers, lambda upstream: None),
        5.0,
    )

    def announce(address: str) -> None:
        update = fleet_pb2.DirectoryUpdate(routing_version=VERSION)
        subscription._apply_update(address, update, UsageDecoder())

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(subscription._fetch_repeatedly)
            for address in hanging:
                announce(address)
            await timers.advance(later_s)
            for address in set(ADDRESSES) - set(hanging):
                announce(address)
            while subscription.version < VERSION:
                await timers.advance(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(main)
    return timers.now(), len(calls.asked)


class TestFetch:
    """A router fetches a routing from any controller that has it."""

    @pytest.mark.parametrize("later_s", [0.0, 0.1, 0.4])
    @pytest.mark.parametrize(
        "hanging", [ADDRESSES[:1], ADDRESSES[-1:], ADDRESSES[-2:]]
    )
    def test_controllers_that_hang(
        self, hanging: list[str], later_s: float
    ) -> None:
        """Guards against a router that waits for a frozen controller."""
        elapsed_s, _ = measure(hanging, later_s)
        assert elapsed_s <= later_s + BOUND_S

    def test_asks_one_controller_if_it_answers(self) -> None:
        """Guards against a document that is sent more than once."""
        assert measure([], 0.0)[1] == 1
