"""Tests of the processes on loopback that other tests start."""

from __future__ import annotations

from .fleet import find_free_port


class TestFindFreePort:
    """Ports for processes that start later."""

    def test_returns_each_port_once(self) -> None:
        """Guards against two processes with the same port.

        The system may choose a port again as soon as the probe is closed, so
        a router got the same port as a controller of its fleet.
        """
        ports = [find_free_port() for _ in range(1000)]
        assert len(set(ports)) == len(ports)
