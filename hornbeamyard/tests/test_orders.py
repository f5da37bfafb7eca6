"""Orders to upstreams."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import cast

import anyio
import pytest
from result import Err, Ok

from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.version.leading import LEASE_S
from hornbeamyard.version.orders import (
    LEASE_MARGIN_S,
    Fencing,
    Order,
    OrderError,
    OrderKind,
    Orders,
)
from hornbeamyard.version.replica import Replica
from hornbeamyard.version.state import FleetState

CHECKING = Order("a", "http://127.0.0.1:1", True, OrderKind.DRAIN)
TRUSTING = Order("b", "http://127.0.0.1:2", False, OrderKind.LOAD, "model-2")


class FakeReplica:
    """A replica whose term and lease the test sets."""

    def __init__(self, timers: VirtualTimers) -> None:
        self.term = 2
        self.state = FleetState()
        self.state.last_index = 7
        self.lease_end = 0.0
        self._timers = timers

    def get_lease_end(self) -> float:
        return self.lease_end


class Bench:
    """Orders with an upstream that notes what it is told."""

    def __init__(self) -> None:
        self.timers = VirtualTimers(start=100.0)
        self.replica = FakeReplica(self.timers)
        self.replica.lease_end = 100.0 + LEASE_S
        self.orders = Orders(
            cast(Replica, self.replica), self.timers, self.send
        )
        self.sent: list[tuple[Order, Fencing]] = []
        self.ended_at: list[float] = []
        self.answer: bool | None = True
        self.delay_s = 0.0

    async def send(self, order: Order, fencing: Fencing) -> bool | None:
        self.sent.append((order, fencing))
        try:
            await self.timers.sleep(self.delay_s)
        finally:
            self.ended_at.append(self.timers.now())
        return self.answer


def run(test: Callable[[Bench], Awaitable[None]]) -> None:
    """Run a test on virtual time."""

    async def main() -> None:
        await test(Bench())

    anyio.run(main)


@pytest.mark.requirement("R12", fault="old leader gives orders")
class TestOrders:
    """No order of a former leader takes effect after one of the next."""

    def test_carries_fencing_number(self) -> None:
        """Guards against an upstream that can't tell leaders apart."""

        async def test(bench: Bench) -> None:
            assert await bench.orders.give(CHECKING) == Ok(None)
            assert bench.sent == [(CHECKING, Fencing(2, 7))]
            assert str(bench.sent[0][1]) == "2.7"

        run(test)

    def test_waits_out_old_lease(self) -> None:
        """Guards against two leaders at an upstream that checks nothing."""

        async def test(bench: Bench) -> None:
            early = Err(OrderError.TOO_EARLY)
            assert await bench.orders.give(TRUSTING) == early
            await bench.timers.advance(LEASE_S)
            bench.replica.lease_end = bench.timers.now() + LEASE_S
            assert await bench.orders.give(TRUSTING) == early
            await bench.timers.advance(LEASE_MARGIN_S)
            assert await bench.orders.give(TRUSTING) == Ok(None)
            bench.replica.term = 3
            assert await bench.orders.give(TRUSTING) == early

        run(test)

    @pytest.mark.parametrize("lease_s", [0.0, LEASE_MARGIN_S, -100.0])
    def test_stops_before_lease_ends(self, lease_s: float) -> None:
        """Guards against an order begun when the lease is about to end."""

        async def test(bench: Bench) -> None:
            bench.replica.lease_end = bench.timers.now() + lease_s
            refused = Err(OrderError.NOT_LEADER)
            assert await bench.orders.give(CHECKING) == refused
            assert bench.sent == []

        run(test)

    def test_cuts_off_slow_order(self) -> None:
        """Guards against an order that is under way beyond the lease."""

        async def test(bench: Bench) -> None:
            bench.delay_s = 60.0
            results = []

            async def give() -> None:
                results.append(await bench.orders.give(CHECKING))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(give)
                await bench.timers.advance(LEASE_S)
            assert results == [Err(OrderError.UNKNOWN)]
            assert bench.ended_at[0] <= 100.0 + LEASE_S - LEASE_MARGIN_S

        run(test)

    @pytest.mark.parametrize(
        ("answer", "result"),
        [
            (False, Err(OrderError.REFUSED)),
            (None, Err(OrderError.UNKNOWN)),
        ],
    )
    def test_tells_how_it_ended(
        self, answer: bool | None, result: object
    ) -> None:
        """Guards against an order that is believed to be taken."""

        async def test(bench: Bench) -> None:
            bench.answer = answer
            assert await bench.orders.give(CHECKING) == result

        run(test)
