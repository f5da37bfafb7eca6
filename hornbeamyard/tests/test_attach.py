"""The first report of a router's stream, as the lead controller takes it."""

from __future__ import annotations

from typing import cast

import pytest

from benchmarks.control import FakeReplica
from hornbeamyard.connection import codec
from hornbeamyard.messages import fleet_pb2
from hornbeamyard.pool.allocation import AccountDemand
from hornbeamyard.process.controller import Controller
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.version.configuration import EMPTY_DOCUMENT
from hornbeamyard.version.replica import Replica


class TestAttach:
    """A full report."""

    @pytest.mark.requirement("R9", fault="rejoin with two pools in use")
    @pytest.mark.parametrize("pools", [("a", "b"), ("b", "a")])
    def test_takes_account_in_two_pools(self, pools: tuple[str, str]) -> None:
        """Guards against a router that can't rejoin.

        The controller read pools in the order of its schedules, and so a
        number before the name that it stands for.
        """
        replica = cast(Replica, FakeReplica(EMPTY_DOCUMENT, term=1))
        controller = Controller(replica, VirtualTimers())
        first = fleet_pb2.RouterReport(full=True)
        for pool in ("a", "b"):
            first.pools.add(pool=pool)
        controller.attach(first)
        names = codec.NameTable()
        report = fleet_pb2.RouterReport(
            identity=fleet_pb2.Identity(host="host-1"), full=True
        )
        demands = {"hotel": AccountDemand(waiting=2, running=1)}
        for pool in pools:
            report.pools.append(
                codec.encode_report(pool, demands, {}, {}, names)
            )
        router = controller.attach(report)
        assert controller.routers["host-1"] is router
