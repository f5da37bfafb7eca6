"""Tests of requests that wait for a slot."""

from __future__ import annotations

import anyio
import pytest
from result import Err, Ok

from hornbeamyard.pool.admission import Admission, GivenUp
from hornbeamyard.pool.allocation import Allocation
from hornbeamyard.pool.backlog import Ticket
from hornbeamyard.pool.dispatch import Dispatch
from hornbeamyard.pool.worker import Worker, WorkerRegistry
from hornbeamyard.process.timers import VirtualTimers


def build_admission(timers: VirtualTimers, slots: int) -> Admission:
    """Return an admission with slots of one worker."""
    registry = WorkerRegistry()
    registry.announce(
        Worker("w", "http://10.0.0.1:1", "centro", "assistant", 8)
    )
    dispatch = Dispatch("assistant", "centro", registry)
    dispatch.apply(Allocation(granted={"w": slots}, target_slots=slots), 0.0)
    return Admission(dispatch, timers, lambda: None)


class TestAdmit:
    """Every wait ends with a slot or a refusal."""

    @pytest.mark.requirement("R20")
    def test_gives_up_at_the_deadline(self) -> None:
        """Guards against a request that waits beyond its deadline."""

        async def run() -> None:
            timers = VirtualTimers()
            admission = build_admission(timers, slots=0)
            results = []

            async def admit() -> None:
                results.append(
                    await admission.admit(Ticket("hotel", start_by=2.0))
                )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(admit)
                await timers.advance(1.9)
                assert not results
                await timers.advance(0.2)
            assert isinstance(results[0], Err)
            assert isinstance(results[0].err_value, GivenUp)
            assert len(admission.dispatch.backlog) == 0

        anyio.run(run)

    @pytest.mark.requirement("R17")
    def test_cancelled_request_leaves_the_queue(self) -> None:
        """Guards against a slot given to a caller that has disconnected."""

        async def run() -> None:
            timers = VirtualTimers()
            admission = build_admission(timers, slots=1)
            first = await admission.admit(Ticket("hotel"))
            assert isinstance(first, Ok)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(admission.admit, Ticket("hotel"))
                await timers.advance(0.1)
                tasks.cancel_scope.cancel()
            assert len(admission.dispatch.backlog) == 0
            admission.finish(first.ok_value)
            assert admission.dispatch.held_slots.count_idle() == 1

        anyio.run(run)

    @pytest.mark.requirement("R7")
    def test_gives_up_all_on_stop(self) -> None:
        """Guards against callers that hang when the router stops."""

        async def run() -> None:
            timers = VirtualTimers()
            admission = build_admission(timers, slots=0)
            results = []

            async def admit() -> None:
                results.append(await admission.admit(Ticket("hotel")))

            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(admit)
                await timers.advance(0.1)
                admission.give_up_all("the router stops")
            reasons = {str(r.err_value) for r in results if r.is_err()}
            assert reasons == {"the router stops"}
            assert len(results) == 3

        anyio.run(run)
