"""Callers and operators of the soak."""

from __future__ import annotations

import hashlib
import json
import random
import time
from typing import Any

import anyio
import httpcore

from .fleet import CONTROLLERS, ROUTERS, Fleet
from .records import Reading, Records, Request, Submission

HOST = "api.example"
KEY = "soak-key"
CALLERS = 16
TIMEOUT_MS = 3000
# The caller's patience beyond the time limit that its route has.
PATIENCE_S = 4.0
# Versions whose own route a routing still has.
KEPT_VERSIONS = 3
SUBMIT_INTERVAL_S = 0.7
READ_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 5.0
READINESS_INTERVAL_S = 0.3
# Part of the requests whose caller leaves early.
LEFT_SHARE = 0.03
ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
# Pool, whether the answer is a stream, and whether it may run again.
KINDS = {
    "read": ("app", False, True),
    "charge": ("app", False, False),
    "chat": ("model", True, True),
    "notice": ("model", True, False),
}


def build_routing(version: int, note: str = "") -> dict[str, Any]:
    """Return a valid routing document."""
    routes = [
        _build_route(kind, f"/{kind}/{note}", pool, stream, repeatable)
        for kind, (pool, stream, repeatable) in KINDS.items()
    ]
    first = max(1, version - KEPT_VERSIONS + 1)
    routes += [
        _build_route(f"v{number}", f"/v{number}/", "app", False, True)
        for number in range(first, version + 1)
    ]
    return {
        "version": version,
        "routes": routes,
        "pools": [
            {"name": "app"},
            {"name": "model", "memory_tokens": 100_000, "slots": 32},
        ],
        "limits": {"tokens_per_s": 100_000},
        "client_accounts": [{"name": "library", "keys": [KEY]}],
    }


def _build_route(
    name: str, prefix: str, pool: str, stream: bool, repeatable: bool
) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "repetition": "idempotent" if repeatable else "unrepeatable",
        "streaming": stream,
        "resumable": stream and repeatable,
        "timeout_ms": TIMEOUT_MS,
        "target_ms": 800,
        "shares": [{"pool": pool}],
        "most_attempts": 2,
    }


def digest(data: bytes) -> str:
    """Return a digest of a body or document."""
    return hashlib.sha256(data).hexdigest()


class Callers:
    """Callers that keep connections, and a load balancer's readiness.

    Parameters
    ----------
    fleet : Fleet
    records : Records
    draw : random.Random
    """

    def __init__(
        self, fleet: Fleet, records: Records, draw: random.Random
    ) -> None:
        self._draw = draw
        self._fleet = fleet
        self._records = records
        self._number = 0
        self.ready: set[int] = set()
        self.stopping = False

    async def run(self) -> None:
        """Call until `stopping` is set."""
        async with anyio.create_task_group() as tasks:
            for _ in range(CALLERS):
                tasks.start_soon(self._call_repeatedly)

    async def watch_readiness(self) -> None:
        """Ask all routers whether they are ready, until cancelled."""
        async with anyio.create_task_group() as tasks:
            for router in range(ROUTERS):
                tasks.start_soon(self._watch_router, router)

    async def _watch_router(self, router: int) -> None:
        port = self._fleet.get_status_port(router)
        url = f"http://127.0.0.1:{port}/health/ready"
        while True:
            ready = False
            try:
                with anyio.move_on_after(0.5):
                    async with httpcore.AsyncConnectionPool() as pool:
                        response = await pool.request("GET", url)
                        ready = response.status == 200
            except ERRORS:
                ready = False
            if ready:
                self.ready.add(router)
            else:
                self.ready.discard(router)
            await anyio.sleep(READINESS_INTERVAL_S)

    async def _call_repeatedly(self) -> None:
        while not self.stopping:
            ready = sorted(self.ready)
            if not ready:
                await anyio.sleep(0.05)
                continue
            router = self._draw.choice(ready)
            # A caller keeps its connection, also once the router is no
            # longer ready, until it breaks or some requests were sent.
            async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
                for _ in range(self._draw.randint(1, 40)):
                    if self.stopping or not await self.call(pool, router):
                        break
                    await anyio.sleep(self._draw.uniform(0.0, 0.06))

    async def call(
        self, pool: httpcore.AsyncConnectionPool, router: int, kind: str = ""
    ) -> bool:
        """Send one request; return whether the connection is still good."""
        request = self._draw_request(router, kind)
        self._records.requests.append(request)
        body = self._draw.randbytes(self._draw.choice((0, 20, 3000)))
        request.digest = digest(body)
        patience_s = PATIENCE_S + TIMEOUT_MS / 1000
        if not kind and self._draw.random() < LEFT_SHARE:
            patience_s = self._draw.uniform(0.01, 0.3)
        with anyio.move_on_after(patience_s) as scope:
            await self._send(pool, request, body)
        request.abandoned = scope.cancelled_caught
        request.ended_at = time.monotonic()
        request.newest_submitted = self._records.newest_submitted
        return request.whole

    def _draw_request(self, router: int, kind: str) -> Request:
        self._number += 1
        version = 0
        kind = kind or self._draw.choice((*KINDS, "versioned"))
        if kind == "versioned":
            newest = self._records.newest_acknowledged
            version = max(1, newest - self._draw.choice((0, 0, 1)))
        prefix = f"v{version}" if version else kind
        process = self._fleet.processes[f"router-{router}"]
        return Request(
            id=f"q{self._number}",
            kind=kind,
            path=f"/{prefix}/{self._number}",
            digest="",
            version=version,
            router=router,
            boot=process.starts,
            sent_at=time.monotonic(),
        )

    async def _send(
        self,
        pool: httpcore.AsyncConnectionPool,
        request: Request,
        body: bytes,
    ) -> None:
        stream = KINDS.get(request.kind, ("", False, True))[1]
        headers: dict[str | bytes, str | bytes] = {
            "host": HOST,
            "authorization": f"Bearer {KEY}",
            "hornbeamyard-request": request.id,
        }
        if stream:
            headers["soak-events"] = "1"
            headers["hornbeamyard-token-counts"] = "200,20"
            part = self._draw.randint(1, 5)
            headers["hornbeamyard-prompt-parts"] = f"part-{part}:100"
        address = self._fleet.links[f"router-{request.router}/callers"].address
        try:
            async with pool.stream(
                "POST",
                f"http://{address}{request.path}",
                headers=headers,
                content=body,
            ) as response:
                request.status = response.status
                request.headers = {
                    name.decode().lower(): value.decode()
                    for name, value in response.headers
                }
                async for chunk in response.aiter_stream():
                    request.body += chunk
                request.whole = True
        except ERRORS:
            # The record shows that the answer isn't whole.
            return


class Operators:
    """Operators that submit, resend and read routings.

    Parameters
    ----------
    fleet : Fleet
    records : Records
    draw : random.Random
    """

    def __init__(
        self, fleet: Fleet, records: Records, draw: random.Random
    ) -> None:
        self._draw = draw
        self._fleet = fleet
        self._records = records
        self.stopping = False

    async def submit_repeatedly(self) -> None:
        """Submit new versions until `stopping` is set."""
        while not self.stopping:
            version = self._records.newest_submitted + 1
            await self.submit(build_routing(version))
            if self._draw.random() < 0.2:
                # Other content under a version that may be held.
                await self.submit(build_routing(version, "other/"))
            if self._draw.random() < 0.2:
                invalid = build_routing(version + 1)
                invalid["routes"][0]["shares"] = [{"pool": "missing"}]
                await self.submit(invalid, valid=False)
            await anyio.sleep(SUBMIT_INTERVAL_S)

    async def submit(
        self, document: dict[str, Any], valid: bool = True
    ) -> bool:
        """Submit a routing at some controller, again until it is decided."""
        version = document["version"]
        data = json.dumps(document).encode()
        if valid:
            newest = max(self._records.newest_submitted, version)
            self._records.newest_submitted = newest
        while not self.stopping:
            status, _ = await self._call("PUT", data)
            self._records.submissions.append(
                Submission(
                    version, digest(data), valid, status, time.monotonic()
                )
            )
            if status == 200:
                newest = max(self._records.newest_acknowledged, version)
                self._records.newest_acknowledged = newest
            if status in (200, 400, 409):
                return status == 200
            await anyio.sleep(0.1)
        return False

    async def read_repeatedly(self) -> None:
        """Read the routing from any controller until `stopping` is set."""
        while not self.stopping:
            await self.read(self._draw.randrange(CONTROLLERS))
            await anyio.sleep(READ_INTERVAL_S)

    async def read(self, controller: int) -> int:
        """Read the routing from a controller; return its version, or 0."""
        sent_at = time.monotonic()
        status, data = await self._call("GET", b"", controller)
        if status != 200:
            return 0
        version = int(json.loads(data)["version"])
        self._records.readings.append(
            Reading(controller, sent_at, version, digest(data))
        )
        return version

    async def _call(
        self, method: str, data: bytes, controller: int | None = None
    ) -> tuple[int, bytes]:
        if controller is None:
            controller = self._draw.randrange(CONTROLLERS)
        address = self._fleet.list_controller_addresses()[controller]
        url = f"http://{address}/hornbeamyard/v1/routing"
        try:
            with anyio.move_on_after(CALL_TIMEOUT_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(method, url, content=data)
                    return response.status, response.content
        except ERRORS:
            # As without an answer: the outcome is unknown.
            return 0, b""
        return 0, b""
