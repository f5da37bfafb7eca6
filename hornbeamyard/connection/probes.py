"""Probes of workers by a router without a lease."""

from __future__ import annotations

import anyio

from ..pool import constants
from ..pool.worker import Worker, WorkerRegistry
from ..process.timers import Timers
from .attachment import Attachment
from .liveness import read_status

PROBE_TIMEOUT_S = 1.0


class Prober:
    """Requests each worker's status while the router has no lease.

    Parameters
    ----------
    attachment : Attachment
    registry : WorkerRegistry
    timers : Timers
    """

    __slots__ = ("_attachment", "_registry", "_timers")

    def __init__(
        self, attachment: Attachment, registry: WorkerRegistry, timers: Timers
    ) -> None:
        self._attachment = attachment
        self._registry = registry
        self._timers = timers

    async def run(self) -> None:
        """Probe once per interval until cancelled."""
        interval = constants.PROBE_INTERVAL_S
        async for now in self._timers.subscribe(interval):
            if not self._attachment.needs_probes(now):
                continue
            async with anyio.create_task_group() as tasks:
                for worker in self._registry.list_workers():
                    tasks.start_soon(self._probe, worker, now)

    async def _probe(self, worker: Worker, now: float) -> None:
        status = await read_status(worker.address, PROBE_TIMEOUT_S)
        if status is None:
            # The last result stays valid for `PROBE_VALIDITY_S`.
            return
        is_leaving = status.document.get("leaving")
        is_ready = status.code == 200 and is_leaving is False
        self._registry.record_probe(worker.name, is_ready, now)
