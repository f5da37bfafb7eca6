"""Tests of how the lead controller handles the first report of a stream."""

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
    """Attaching with a full report."""

    @pytest.mark.requirement("R9", fault="rejoin with two pools in use")
    @pytest.mark.parametrize("pools", [("a", "b"), ("b", "a")])
    def test_accepts_account_in_two_pools(
        self, pools: tuple[str, str]
    ) -> None:
        """Guards against a router that can't attach again.

        A name is sent only with its first use in the report, so the pools
        have to be decoded in the order of the report, not of the schedules.
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
