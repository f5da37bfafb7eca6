"""Probes of workers while the lead controller can't be reached."""

from __future__ import annotations

import json

import anyio
import httpcore

from ..pool import options
from ..pool.worker import Registry, Worker
from ..process.timers import Timers
from .attachment import Attachment
from .upstreams import STATUS_PATH

TIMEOUT_S = 1.0


class Prober:
    """Asks each worker for its status while a router has no lease.

    Parameters
    ----------
    attachment : Attachment
    registry : Registry
    timers : Timers
    """

    __slots__ = ("_attachment", "_registry", "_timers")

    def __init__(
        self, attachment: Attachment, registry: Registry, timers: Timers
    ) -> None:
        self._attachment = attachment
        self._registry = registry
        self._timers = timers

    async def run(self) -> None:
        """Probe once in each interval until cancelled."""
        interval = options.PROBE_INTERVAL_S
        async for now in self._timers.subscribe(interval):
            if not self._attachment.needs_probes(now):
                continue
            with self._timers.limit(TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    for worker in self._registry.list_workers():
                        tasks.start_soon(self._probe, worker, now)

    async def _probe(self, worker: Worker, now: float) -> None:
        """Ask over a fresh connection, as old ones may be silent."""
        try:
            async with httpcore.AsyncConnectionPool() as connections:
                response = await connections.request(
                    "GET", worker.address + STATUS_PATH
                )
            status = json.loads(response.content)
        except (httpcore.NetworkError, httpcore.ProtocolError, ValueError):
            # A worker that doesn't answer is given up after `READY_S`.
            return
        is_ready = response.status == 200 and status.get("leaving") is False
        self._registry.record_probe(worker.name, is_ready, now)
