"""Callers that load a fleet of processes and keep records."""

from __future__ import annotations

import json
import random
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpcore

from .fleet import CALLER_KEY, LocalFleet
from .matrix import Record, Tally
from .rig import Reply, read_journal

POLL_S = 0.1
# A caller gives a claimed request up after this time.
PATIENCE_S = 25.0
READ_TIMEOUT_S = 20.0


@dataclass(slots=True)
class Callers:
    """Closed-loop callers behind a load balancer that asks for readiness.

    Attributes
    ----------
    fleet : LocalFleet
    model, service : str
        Pools; calls of the service are unrepeatable.
    seed : str
        Also the beginning of all names of requests.
    records : list of Record
        One for each request; resends of claimed ones share a record.
    """

    fleet: LocalFleet
    model: str
    service: str
    seed: str
    records: list[Record] = field(default_factory=list)
    ready: list[int] = field(default_factory=list)
    stopping: bool = False
    refused: int = 0

    async def run(self, callers: int) -> None:
        """Call until `stopping` is set."""
        self.ready = list(self.fleet.router_ports)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_readiness)
            for number in range(callers):
                tasks.start_soon(self._call_repeatedly, number)

    async def _poll_readiness(self) -> None:
        while not self.stopping:
            self.ready = [
                port
                for port in self.fleet.router_ports
                if await self._is_ready(port)
            ]
            await anyio.sleep(POLL_S)

    async def _is_ready(self, port: int) -> bool:
        url = f"http://127.0.0.1:{port}/health/ready"
        try:
            with anyio.fail_after(0.5):
                async with httpcore.AsyncConnectionPool() as pool:
                    return (await pool.request("GET", url)).status == 200
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
            return False

    async def _call_repeatedly(self, number: int) -> None:
        draw = random.Random(f"{self.seed}-{number}")
        async with httpcore.AsyncConnectionPool() as pool:
            turn = 0
            while not self.stopping:
                turn += 1
                name = self.seed.replace(" ", "-")
                identity = f"{name}-{number}-{turn}"
                kind = draw.choice(("stream", "whole", "once", "claimed"))
                tokens = draw.randint(2, 40)
                await self._call(pool, draw, identity, kind, tokens)

    async def _call(
        self,
        pool: httpcore.AsyncConnectionPool,
        draw: random.Random,
        identity: str,
        kind: str,
        tokens: int,
    ) -> None:
        repeatable = kind in ("stream", "whole")
        record = Record(identity, repeatable, kind == "stream", tokens)
        self.records.append(record)
        deadline = time.monotonic() + PATIENCE_S
        while True:
            reply = await self._send(pool, draw, record, kind)
            record.replies.append(reply)
            settled = reply.status == 200 and reply.whole
            outcome = reply.get_outcome()
            if settled or outcome in ("unknown", "failed"):
                return
            if outcome == "not-run":
                self.refused += 1
            elif kind != "claimed":
                return
            # A refused request is sent again also when the load ends, so that
            # none counts as lost only because the callers stopped.
            if self.stopping and outcome != "not-run":
                return
            if time.monotonic() > deadline:
                return
            await anyio.sleep(0.1)

    async def _send(
        self,
        pool: httpcore.AsyncConnectionPool,
        draw: random.Random,
        record: Record,
        kind: str,
    ) -> Reply:
        port = draw.choice(self.ready or self.fleet.router_ports)
        path = (
            "/v1/chat/completions"
            if record.repeatable
            else f"/services/{self.service}/"
        )
        document = {
            "model": self.model,
            "id": record.identity,
            "max_tokens": record.tokens,
            "stream": record.stream,
        }
        headers = {"authorization": f"Bearer {CALLER_KEY}hotel"}
        if kind == "claimed":
            headers["idempotency-key"] = record.identity
        reply = Reply()
        timeout = {"connect": 1.0, "read": READ_TIMEOUT_S}
        try:
            async with pool.stream(
                "POST",
                f"http://127.0.0.1:{port}{path}",
                headers=headers,
                content=json.dumps(document).encode(),
                extensions={"timeout": timeout},
            ) as response:
                reply.status = response.status
                reply.headers = {
                    name.decode().lower(): value.decode()
                    for name, value in response.headers
                }
                async for chunk in response.aiter_stream():
                    reply.body += chunk
                reply.whole = True
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            pass
        return reply

    def count_cut(self) -> int:
        """Return the number of replies that were missing or broke off."""
        return sum(
            not reply.whole
            for record in self.records
            for reply in record.replies
        )

    def count_answered(self) -> int:
        """Return the number of requests that got a whole answer."""
        return sum(
            any(reply.status == 200 and reply.whole for reply in r.replies)
            for r in self.records
        )

    def count_outcomes(self) -> Counter[str]:
        """Return how often callers were told each outcome."""
        return Counter(
            reply.get_outcome() or ("whole" if reply.whole else "cut")
            for record in self.records
            for reply in record.replies
        )

    def compare(self, journals: Iterable[Path], tally: Tally) -> None:
        """Compare all records with the upstreams' journals."""
        runs: Counter[str] = Counter()
        for journal in journals:
            runs.update(read_journal(journal))
        for record in self.records:
            tally.compare(record, runs[record.identity])
