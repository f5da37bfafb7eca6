"""Tests of reports from a router to the controllers."""

from __future__ import annotations

from collections.abc import Iterable

import anyio

from hornbeamyard.connection.change_reports import ChangeReports
from hornbeamyard.messages import fleet_pb2
from hornbeamyard.pool.upstream_registry import UpstreamStart
from hornbeamyard.process.timers import MonotonicTimers


def build_start(number: int) -> UpstreamStart:
    """Return a start of an upstream."""
    return UpstreamStart(f"u{number}", 1)


class TestReports:
    """A new controller gets everything, later only own changes."""

    def test_reports(self) -> None:
        """Guards against empty, repeated and lost reports."""
        known: list[UpstreamStart] = []

        def encode(
            upstreams: Iterable[UpstreamStart] | None,
        ) -> fleet_pb2.RouterUsage:
            chosen = known if upstreams is None else upstreams
            return fleet_pb2.RouterUsage(
                crashes=[fleet_pb2.UpstreamCrash(id=up.id) for up in chosen]
            )

        reports = ChangeReports(MonotonicTimers(), encode)

        async def read(sent: list[list[str]]) -> None:
            async def send(report: fleet_pb2.RouterUsage) -> None:
                sent.append([crash.id for crash in report.crashes])

            await reports.run(send)

        async def main() -> None:
            first: list[list[str]] = []
            second: list[list[str]] = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read, first)
                await anyio.sleep(0.1)
                assert first == []
                known.append(build_start(0))
                reports.record(known)
                # Learned from a controller.
                known.append(build_start(1))
                await anyio.sleep(0.1)
                assert first == [["u0"]]
                tasks.start_soon(read, second)
                await anyio.sleep(0.1)
                reports.record([build_start(0)])
                await anyio.sleep(0.1)
                assert first == [["u0"], ["u0"]]
                assert second == [["u0", "u1"], ["u0"]]
                tasks.cancel_scope.cancel()

        anyio.run(main)
