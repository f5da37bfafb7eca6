"""Tests of initializing data folders and recovering a lost quorum."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from hornbeamyard.process.settings import Settings, load_settings
from hornbeamyard.version.bootstrap import initialize, recover

from .fleet import LocalFleet
from .test_failover import ControllerClient


def load(fleet: LocalFleet, number: int) -> Settings:
    """Load the settings of a host."""
    return load_settings(fleet.folder / f"host-{number}.json").unwrap()


class TestInitialize:
    """A data folder is initialized only once."""

    def test_refuses_second_time(self, tmp_path: Path) -> None:
        """Guards against a repeated command that erases a member's log."""
        with LocalFleet(tmp_path, routers=3, controllers=3) as fleet:
            settings = load(fleet, 0)
            made = initialize(settings).unwrap()
            assert made.members == ["host-0", "host-1", "host-2"]
            assert "data folder already" in initialize(settings).unwrap_err()

    def test_refuses_host_without_role(self, tmp_path: Path) -> None:
        """Guards against a data folder on a host without a controller."""
        with LocalFleet(tmp_path, routers=2, controllers=1) as fleet:
            refused = initialize(load(fleet, 1)).unwrap_err()
            assert "no role 'controller'" in refused

    @pytest.mark.process
    @pytest.mark.requirement("R14", fault="emptied host initialized again")
    def test_refuses_when_another_has_a_log(self, tmp_path: Path) -> None:
        """Guards against a second log that diverges from the fleet's own."""
        with LocalFleet(tmp_path, routers=3, controllers=3) as fleet:
            fleet.start()
            client = ControllerClient(fleet)
            client.find_leader()
            fleet.kill("host-0")
            shutil.rmtree(tmp_path / "data-0")
            refused = initialize(load(fleet, 0)).unwrap_err()
            assert "has a log already" in refused


@pytest.mark.process
class TestRecover:
    """A surviving member continues alone if an operator accepts data loss."""

    @pytest.mark.requirement("R14", fault="majority lost permanently")
    def test_continues_alone(self, tmp_path: Path) -> None:
        """Guards against a fleet that can't recover from a lost quorum."""
        with LocalFleet(tmp_path, routers=3, controllers=3) as fleet:
            fleet.start()
            client = ControllerClient(fleet)
            leader = client.find_leader()
            client.wait_for_voters(leader, 3)
            client.submit_patches(leader, 0, 3)
            for number in range(3):
                fleet.kill(f"host-{number}")
            settings = load(fleet, leader)
            report = recover(settings, accept_data_loss=False).unwrap()
            assert (report.version, report.is_done) == (3, False)
            recovered = recover(settings, accept_data_loss=True).unwrap()
            assert recovered.is_done
            others = [n for n in range(3) if n != leader]
            assert recovered.lost_members == [f"host-{n}" for n in others]
            fleet.start_host(leader)
            assert client.find_leader() == leader
            assert client.submit_patch(leader, 3).version == 4
