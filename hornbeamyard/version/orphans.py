"""Orphaned claims: claims left open by routers that are gone."""

from __future__ import annotations

from collections.abc import Callable, Collection

from ..messages import fleet_pb2
from ..process.timers import Timers
from .replica import Replica

CHECK_INTERVAL_S = 10.0
# Claims are closed when their router has been missing for this long. A
# router that was only partitioned can still record its response afterwards.
ORPHAN_TIMEOUT_S = 30.0


class OrphanCloser:
    """Closes open claims of missing routers, with an unknown outcome.

    Without it, a caller that retries such a request would be refused as still
    in progress until the claim expires.

    Parameters
    ----------
    replica : Replica
    timers : Timers
    list_attached : callable
        Returns the hosts whose routers are attached.
    """

    __slots__ = ("_list_attached", "_missing_since", "_replica", "_timers")

    def __init__(
        self,
        replica: Replica,
        timers: Timers,
        list_attached: Callable[[], Collection[str]],
    ) -> None:
        self._replica = replica
        self._timers = timers
        self._list_attached = list_attached
        self._missing_since: dict[str, float] = {}

    async def run(self) -> None:
        """Check at a fixed interval until cancelled."""
        async for now in self._timers.subscribe(CHECK_INTERVAL_S):
            await self.check(now)

    async def check(self, now: float) -> None:
        """Close the claims of routers missing for `ORPHAN_TIMEOUT_S`."""
        if not self._replica.is_leader():
            self._missing_since = {}
            return
        hosts = self._replica.state.claims.list_hosts_with_open_claims()
        missing = hosts - set(self._list_attached())
        self._missing_since = {
            host: self._missing_since.get(host, now) for host in missing
        }
        for host, since in self._missing_since.items():
            if now - since < ORPHAN_TIMEOUT_S:
                continue
            # No process has incarnation 0, so this closes all open claims of
            # the host.
            identity = fleet_pb2.Identity(host=host, incarnation=0)
            await self._replica.make_claims(
                fleet_pb2.ClaimBatch(identity=identity, started=True)
            )
