"""Tests of commands to upstreams."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import cast

import anyio
import pytest
from result import Err, Ok

from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.version.leadership import LEASE_S
from hornbeamyard.version.replica import Replica
from hornbeamyard.version.state import FleetState
from hornbeamyard.version.upstream_commands import (
    LEASE_MARGIN_S,
    CommandError,
    CommandKind,
    CommandSender,
    FencingToken,
    UpstreamCommand,
)

WITH_FENCING = UpstreamCommand(
    "a", "http://127.0.0.1:1", True, CommandKind.DRAIN
)
WITHOUT_FENCING = UpstreamCommand(
    "b", "http://127.0.0.1:2", False, CommandKind.LOAD, "model-2"
)


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


class Harness:
    """A command sender with an upstream that records what it receives."""

    def __init__(self) -> None:
        self.timers = VirtualTimers(start=100.0)
        self.replica = FakeReplica(self.timers)
        self.replica.lease_end = 100.0 + LEASE_S
        self.sender = CommandSender(
            cast(Replica, self.replica), self.timers, self.send
        )
        self.sent: list[tuple[UpstreamCommand, FencingToken]] = []
        self.ended_at: list[float] = []
        self.accepted: bool | None = True
        self.delay_s = 0.0

    async def send(
        self, command: UpstreamCommand, fencing: FencingToken
    ) -> bool | None:
        self.sent.append((command, fencing))
        try:
            await self.timers.sleep(self.delay_s)
        finally:
            self.ended_at.append(self.timers.now())
        return self.accepted


def run(test: Callable[[Harness], Awaitable[None]]) -> None:
    """Run a test on virtual time."""

    async def main() -> None:
        await test(Harness())

    anyio.run(main)


@pytest.mark.requirement("R12", fault="commands of an earlier leader")
class TestCommandSender:
    """No command of an earlier leader takes effect after one of the next."""

    def test_carries_fencing_token(self) -> None:
        """Guards against an upstream that can't tell leaders apart."""

        async def test(harness: Harness) -> None:
            assert await harness.sender.send(WITH_FENCING) == Ok(None)
            assert harness.sent == [(WITH_FENCING, FencingToken(2, 7))]
            assert str(harness.sent[0][1]) == "2.7"

        run(test)

    def test_waits_for_end_of_old_lease(self) -> None:
        """Guards against two leaders at an upstream without fencing."""

        async def test(harness: Harness) -> None:
            early = Err(CommandError.TOO_EARLY)
            assert await harness.sender.send(WITHOUT_FENCING) == early
            await harness.timers.advance(LEASE_S)
            harness.replica.lease_end = harness.timers.now() + LEASE_S
            assert await harness.sender.send(WITHOUT_FENCING) == early
            await harness.timers.advance(LEASE_MARGIN_S)
            assert await harness.sender.send(WITHOUT_FENCING) == Ok(None)
            harness.replica.term = 3
            assert await harness.sender.send(WITHOUT_FENCING) == early

        run(test)

    @pytest.mark.parametrize("lease_s", [0.0, LEASE_MARGIN_S, -100.0])
    def test_stops_before_lease_ends(self, lease_s: float) -> None:
        """Guards against a command sent when the lease is about to end."""

        async def test(harness: Harness) -> None:
            harness.replica.lease_end = harness.timers.now() + lease_s
            refused = Err(CommandError.NOT_LEADER)
            assert await harness.sender.send(WITH_FENCING) == refused
            assert harness.sent == []

        run(test)

    def test_cancels_slow_command(self) -> None:
        """Guards against a command that is in progress after the lease."""

        async def test(harness: Harness) -> None:
            harness.delay_s = 60.0
            results = []

            async def send() -> None:
                results.append(await harness.sender.send(WITH_FENCING))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await harness.timers.advance(LEASE_S)
            assert results == [Err(CommandError.UNKNOWN)]
            assert harness.ended_at[0] <= 100.0 + LEASE_S - LEASE_MARGIN_S

        run(test)

    @pytest.mark.parametrize(
        ("accepted", "result"),
        [
            (False, Err(CommandError.REFUSED)),
            (None, Err(CommandError.UNKNOWN)),
        ],
    )
    def test_returns_outcome(
        self, accepted: bool | None, result: object
    ) -> None:
        """Guards against a command wrongly reported as accepted."""

        async def test(harness: Harness) -> None:
            harness.accepted = accepted
            assert await harness.sender.send(WITH_FENCING) == result

        run(test)
