"""Callers that send requests to a fleet of processes and record responses."""

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

from .fault_matrix import Record, Violations
from .fleet import CALLER_KEY_PREFIX, LocalFleet
from .in_process import Response, read_run_ids

POLL_S = 0.1
# Time after which a caller stops resending a request.
RETRY_TIMEOUT_S = 25.0
READ_TIMEOUT_S = 20.0


@dataclass(slots=True)
class Callers:
    """Closed-loop callers that choose ready routers as a load balancer does.

    Each caller sends its next request when the previous one has ended.

    Attributes
    ----------
    fleet : LocalFleet
    model, service : str
        Pools; requests to the service are unrepeatable.
    seed : str
        Seed of the random choices, and prefix of all request ids.
    records : list of Record
        One for each request; resends share a record.
    ready_ports : list of int
        Ports of the routers that last reported that they are ready.
    stopping : bool
        Set to end the load.
    refused : int
        Responses that said that the request did not run.
    """

    fleet: LocalFleet
    model: str
    service: str
    seed: str
    records: list[Record] = field(default_factory=list)
    ready_ports: list[int] = field(default_factory=list)
    stopping: bool = False
    refused: int = 0

    async def run(self, callers: int) -> None:
        """Send requests until `stopping` is set."""
        self.ready_ports = list(self.fleet.router_ports)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_readiness)
            for number in range(callers):
                tasks.start_soon(self._call_repeatedly, number)

    async def _poll_readiness(self) -> None:
        while not self.stopping:
            self.ready_ports = [
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
        rng = random.Random(f"{self.seed}-{number}")
        async with httpcore.AsyncConnectionPool() as pool:
            sequence = 0
            while not self.stopping:
                sequence += 1
                name = self.seed.replace(" ", "-")
                request_id = f"{name}-{number}-{sequence}"
                kind = rng.choice(("stream", "buffered", "service", "claimed"))
                tokens = rng.randint(2, 40)
                await self._call(pool, rng, request_id, kind, tokens)

    async def _call(
        self,
        pool: httpcore.AsyncConnectionPool,
        rng: random.Random,
        request_id: str,
        kind: str,
        tokens: int,
    ) -> None:
        repeatable = kind in ("stream", "buffered")
        record = Record(request_id, repeatable, kind == "stream", tokens)
        self.records.append(record)
        deadline = time.monotonic() + RETRY_TIMEOUT_S
        while True:
            response = await self._send(pool, rng, record, kind)
            record.responses.append(response)
            succeeded = response.status == 200 and response.complete
            outcome = response.get_outcome()
            if succeeded or outcome in ("unknown", "failed"):
                return
            if outcome == "not-run":
                self.refused += 1
            elif kind != "claimed":
                return
            # Refused requests are resent even while the callers stop, so that
            # the end of the load doesn't count as a lost request.
            if self.stopping and outcome != "not-run":
                return
            if time.monotonic() > deadline:
                return
            await anyio.sleep(0.1)

    async def _send(
        self,
        pool: httpcore.AsyncConnectionPool,
        rng: random.Random,
        record: Record,
        kind: str,
    ) -> Response:
        port = rng.choice(self.ready_ports or self.fleet.router_ports)
        path = (
            "/v1/chat/completions"
            if record.repeatable
            else f"/services/{self.service}/"
        )
        document = {
            "model": self.model,
            "id": record.request_id,
            "max_tokens": record.tokens,
            "stream": record.stream,
        }
        headers = {"authorization": f"Bearer {CALLER_KEY_PREFIX}hotel"}
        if kind == "claimed":
            headers["idempotency-key"] = record.request_id
        response = Response()
        timeout = {"connect": 1.0, "read": READ_TIMEOUT_S}
        try:
            async with pool.stream(
                "POST",
                f"http://127.0.0.1:{port}{path}",
                headers=headers,
                content=json.dumps(document).encode(),
                extensions={"timeout": timeout},
            ) as received:
                response.status = received.status
                response.headers = {
                    name.decode().lower(): value.decode()
                    for name, value in received.headers
                }
                async for chunk in received.aiter_stream():
                    response.body += chunk
                response.complete = True
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            pass
        return response

    def count_incomplete(self) -> int:
        """Return the number of missing or truncated responses."""
        return sum(
            not response.complete
            for record in self.records
            for response in record.responses
        )

    def count_answered(self) -> int:
        """Return the number of requests that got a complete response."""
        return sum(
            any(
                response.status == 200 and response.complete
                for response in r.responses
            )
            for r in self.records
        )

    def count_outcomes(self) -> Counter[str]:
        """Return the number of responses with each outcome.

        Responses other than problem documents count as `whole` or `cut`.
        """
        return Counter(
            response.get_outcome() or ("whole" if response.complete else "cut")
            for record in self.records
            for response in record.responses
        )

    def check_records(
        self, journals: Iterable[Path], violations: Violations
    ) -> None:
        """Check all records against the upstreams' journals."""
        runs: Counter[str] = Counter()
        for journal in journals:
            runs.update(read_run_ids(journal))
        for record in self.records:
            violations.check(record, runs[record.request_id])
