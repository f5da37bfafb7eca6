"""Simulated callers and operators of the fleet."""

from __future__ import annotations

import hashlib
import json
import random
import time
from typing import Any

import anyio
import httpcore

from .fleet import ROUTERS, Fleet
from .plan import NO_ADDITIONS, Plan
from .records import ReadResult, Records, Request, Submission
from .upstream import (
    CRASHING_BODY,
    CRASHING_PART,
    CRASHING_PATH,
    EVENT_COUNT,
)

HOST = "api.example"
KEY = "soak-key"
CALLERS = 16
# Timeout of each route.
TIMEOUT_MS = 3000
# How long a caller waits for a response beyond the timeout of its route.
CALLER_TIMEOUT_MARGIN_S = 4.0
# A routing has a route /vN/ for its own version N and for older ones, this
# many in all. Requests to these routes show which versions a router has.
RETAINED_VERSIONS = 3
SUBMIT_INTERVAL_S = 0.7
READ_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 5.0
READINESS_INTERVAL_S = 0.3
# Fraction of the requests whose caller disconnects early.
DISCONNECT_FRACTION = 0.03
# Fraction of the streams whose prompt crashes upstreams.
CRASHING_FRACTION = 0.03
# Fraction of the calls that repeat the request that crashes upstreams, and of
# those that differ from it in their body alone.
REPEATED_FRACTION = 0.02
SIMILAR_FRACTION = 0.02
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
# Pool of each kind of request, whether the response is a stream, and whether
# the request is idempotent.
KINDS = {
    "read": ("app", False, True),
    "charge": ("app", False, False),
    "chat": ("model", True, True),
    "notice": ("model", True, False),
}


def build_routing(
    version: int, path_suffix: str = "", plan: Plan = NO_ADDITIONS
) -> dict[str, Any]:
    """Return a valid routing document.

    Parameters
    ----------
    version : int
    path_suffix : str, optional
        Added to the paths of the routes that all versions have, so that the
        document differs from others of the same version.
    plan : Plan, optional
        Names the rate of cold upstreams.
    """
    cold = {}
    if plan.cold_rate:
        cold = {"cold_rate": plan.cold_rate, "cold_start_s": plan.cold_start_s}
    routes = [
        _build_route(kind, f"/{kind}/{path_suffix}", pool, stream, idempotent)
        for kind, (pool, stream, idempotent) in KINDS.items()
    ]
    first = max(1, version - RETAINED_VERSIONS + 1)
    routes += [
        _build_route(f"v{number}", f"/v{number}/", "app", False, True)
        for number in range(first, version + 1)
    ]
    return {
        "version": version,
        "routes": routes,
        "pools": [
            {"name": "app", **cold},
            {"name": "model", "memory_tokens": 100_000, "slots": 32, **cold},
        ],
        "limits": {"tokens_per_s": 100_000},
        "client_accounts": [{"name": "library", "keys": [KEY]}],
    }


def _build_route(
    name: str, prefix: str, pool: str, stream: bool, idempotent: bool
) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "repetition": "idempotent" if idempotent else "unrepeatable",
        "streaming": stream,
        "resumable": stream and idempotent,
        "timeout_ms": TIMEOUT_MS,
        "target_ms": 800,
        "shares": [{"pool": pool}],
        "most_attempts": 2,
    }


def digest(data: bytes) -> str:
    """Return the SHA-256 digest of a body or document, in hex."""
    return hashlib.sha256(data).hexdigest()


class Callers:
    """Callers with persistent connections, behind a load balancer.

    The load balancer opens connections only to routers that report that they
    are ready.

    Parameters
    ----------
    fleet : Fleet
    records : Records
    rng : random.Random

    Attributes
    ----------
    ready_routers : set of int
        Numbers of the routers that were ready at their last check.
    stopping : bool
        Whether the callers should send no more requests.
    wants_whole : bool
        Whether upstreams should break off no streams.
    """

    def __init__(
        self, fleet: Fleet, records: Records, rng: random.Random
    ) -> None:
        self._rng = rng
        self._fleet = fleet
        self._records = records
        self._request_count = 0
        self.wants_whole = False
        self.ready_routers: set[int] = set()
        self.stopping = False

    async def run(self) -> None:
        """Send requests until `stopping` is set."""
        async with anyio.create_task_group() as tasks:
            for _ in range(CALLERS):
                tasks.start_soon(self._send_repeatedly)

    async def watch_readiness(self) -> None:
        """Check the readiness of all routers until cancelled."""
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
            except CONNECTION_ERRORS:
                ready = False
            if ready:
                self.ready_routers.add(router)
            else:
                self.ready_routers.discard(router)
            await anyio.sleep(READINESS_INTERVAL_S)

    async def _send_repeatedly(self) -> None:
        while not self.stopping:
            ready = sorted(self.ready_routers)
            if not ready:
                await anyio.sleep(0.05)
                continue
            router = self._rng.choice(ready)
            # A caller keeps its connection for up to 40 requests or until it
            # breaks, even if the router is no longer ready.
            async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
                for _ in range(self._rng.randint(1, 40)):
                    if self.stopping or not await self.send_request(
                        pool, router
                    ):
                        break
                    await anyio.sleep(self._rng.uniform(0.0, 0.06))

    async def send_request(
        self, pool: httpcore.AsyncConnectionPool, router: int, kind: str = ""
    ) -> bool:
        """Send one request and record it, and resume its stream if it breaks.

        Parameters
        ----------
        pool : httpcore.AsyncConnectionPool
        router : int
            Number of the router.
        kind : str, optional
            A key of `KINDS`. By default the kind is random, and the caller
            may disconnect early.

        Returns
        -------
        bool
            Whether the response was complete, so that the connection can be
            used again.
        """
        request = self._draw_request(router, kind)
        if not kind and KINDS.get(request.kind, ("", False, True))[1]:
            request.crashing = self._rng.random() < CRASHING_FRACTION
        if not kind and request.kind == "read":
            drawn = self._rng.random()
            request.repeated = drawn < REPEATED_FRACTION
            if drawn < REPEATED_FRACTION + SIMILAR_FRACTION:
                request.path = CRASHING_PATH
        max_wait_s = 0.0
        if not kind and self._rng.random() < DISCONNECT_FRACTION:
            max_wait_s = self._rng.uniform(0.01, 0.3)
        await self._send_and_record(pool, request, max_wait_s)
        if can_resume(request):
            await self.resume(request)
        return request.complete

    async def resume(self, broken: Request) -> Request:
        """Continue a stream that broke off, at a router that is ready."""
        routers = sorted(self.ready_routers) or [broken.router]
        request = self._draw_request(self._rng.choice(routers), broken.kind)
        request.resumes = broken.resumes or broken.id
        request.last_event = broken.last_event + broken.count_events()
        async with httpcore.AsyncConnectionPool() as pool:
            await self._send_and_record(pool, request)
        return request

    async def send_crashing(self, router: int) -> Request:
        """Send a request whose prompt crashes upstreams."""
        request = self._draw_request(router, "notice")
        request.crashing = True
        async with httpcore.AsyncConnectionPool() as pool:
            await self._send_and_record(pool, request)
        return request

    async def send_repeated(self, router: int) -> Request:
        """Send the request that crashes upstreams once more."""
        request = self._draw_request(router, "read")
        request.repeated = True
        request.path = CRASHING_PATH
        async with httpcore.AsyncConnectionPool() as pool:
            await self._send_and_record(pool, request)
        return request

    async def send_ordinary(self, router: int) -> Request:
        """Send a request that waits for its response."""
        request = self._draw_request(router, "read")
        async with httpcore.AsyncConnectionPool() as pool:
            await self._send_and_record(pool, request)
        return request

    async def begin_stream(self, router: int, events: int) -> Request:
        """Send a request, and close its connection after some events."""
        request = self._draw_request(router, "chat")
        async with httpcore.AsyncConnectionPool() as pool:
            await self._send_and_record(pool, request, max_events=events)
        return request

    async def _send_and_record(
        self,
        pool: httpcore.AsyncConnectionPool,
        request: Request,
        max_wait_s: float = 0.0,
        max_events: int = 0,
    ) -> None:
        """Send a request and record it.

        Parameters
        ----------
        pool : httpcore.AsyncConnectionPool
        request : Request
        max_wait_s : float, optional
            Time in seconds after which the caller disconnects; 0 for the time
            that any caller waits.
        max_events : int, optional
            Number of events after which it disconnects; 0 for no limit.
        """
        self._records.requests.append(request)
        body = self._rng.randbytes(self._rng.choice((0, 20, 3000)))
        if request.repeated:
            body = CRASHING_BODY
        request.digest = digest(body)
        timeout_s = CALLER_TIMEOUT_MARGIN_S + TIMEOUT_MS / 1000
        with anyio.move_on_after(max_wait_s or timeout_s) as scope:
            await self._send(pool, request, body, max_events)
        request.abandoned = request.abandoned or scope.cancelled_caught
        request.ended_at = time.monotonic()
        request.newest_submitted = self._records.newest_submitted

    def _draw_request(self, router: int, kind: str) -> Request:
        self._request_count += 1
        version = 0
        kind = kind or self._rng.choice((*KINDS, "versioned"))
        if kind == "versioned":
            newest = self._records.newest_acknowledged
            version = max(1, newest - self._rng.choice((0, 0, 1)))
        prefix = f"v{version}" if version else kind
        process = self._fleet.processes[f"router-{router}"]
        return Request(
            id=f"q{self._request_count}",
            kind=kind,
            path=f"/{prefix}/{self._request_count}",
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
        max_events: int,
    ) -> None:
        stream = KINDS.get(request.kind, ("", False, True))[1]
        headers: dict[str | bytes, str | bytes] = {
            "host": HOST,
            "authorization": f"Bearer {KEY}",
            "hornbeamyard-request": request.id,
        }
        if stream:
            headers["soak-events"] = "1"
            if self.wants_whole:
                headers["soak-whole"] = "1"
            if request.resumes:
                headers["hornbeamyard-resumes"] = request.resumes
                headers["last-event-id"] = str(request.last_event)
            headers["hornbeamyard-token-counts"] = "200,20"
            parts = [f"part-{self._rng.randint(1, 5)}:100"]
            if request.crashing:
                parts.append(f"{CRASHING_PART}:20")
            parts.append(f"{request.id}:20")
            headers["hornbeamyard-prompt-parts"] = ",".join(parts)
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
                    if 0 < max_events <= request.count_events():
                        request.abandoned = True
                        return
                request.complete = True
        except CONNECTION_ERRORS:
            # The record shows that the response is incomplete.
            return


def can_resume(request: Request) -> bool:
    """Return whether the caller may continue the stream of a request."""
    return (
        request.kind == "chat"
        and request.status == 200
        and not request.complete
        and not request.abandoned
        and 0 < request.last_event + request.count_events() < EVENT_COUNT
    )


class Operators:
    """Operators that submit routings, with retries, and read them.

    Parameters
    ----------
    fleet : Fleet
    records : Records
    rng : random.Random

    Attributes
    ----------
    stopping : bool
        Whether the operators should make no more calls.
    """

    def __init__(
        self, fleet: Fleet, records: Records, rng: random.Random
    ) -> None:
        self._rng = rng
        self._fleet = fleet
        self._records = records
        self.stopping = False

    async def submit_repeatedly(self) -> None:
        """Submit new versions until `stopping` is set."""
        plan = self._fleet.plan
        while not self.stopping:
            version = self._records.newest_submitted + 1
            await self.submit(build_routing(version, plan=plan))
            if self._rng.random() < 0.2:
                # Other content under a version that may be in force already.
                await self.submit(build_routing(version, "other/", plan))
            if self._rng.random() < 0.2:
                invalid = build_routing(version + 1, plan=plan)
                invalid["routes"][0]["shares"] = [{"pool": "missing"}]
                await self.submit(invalid, valid=False)
            await anyio.sleep(SUBMIT_INTERVAL_S)

    async def submit(
        self, document: dict[str, Any], valid: bool = True
    ) -> bool:
        """Submit a routing to random controllers until one decides on it.

        Parameters
        ----------
        document : dict
        valid : bool, optional
            Whether a controller should accept the document.

        Returns
        -------
        bool
            Whether a controller acknowledged the routing.
        """
        version = document["version"]
        data = json.dumps(document).encode()
        if valid:
            newest = max(self._records.newest_submitted, version)
            self._records.newest_submitted = newest
        while not self.stopping:
            status, _ = await self._call_controller("PUT", data)
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
        """Read the routing from random controllers until `stopping` is set."""
        while not self.stopping:
            await self.read()
            await anyio.sleep(READ_INTERVAL_S)

    async def read(self, controller: str = "") -> int:
        """Read the routing from a controller; return its version, or 0."""
        controller = controller or self._rng.choice(self._fleet.controllers)
        sent_at = time.monotonic()
        status, data = await self._call_controller("GET", b"", controller)
        if status != 200:
            return 0
        version = int(json.loads(data)["version"])
        self._records.reads.append(
            ReadResult(controller, sent_at, version, digest(data))
        )
        return version

    async def _call_controller(
        self, method: str, data: bytes, controller: str = ""
    ) -> tuple[int, bytes]:
        """Call a controller; return status and body, or 0 and no body."""
        name = controller or self._rng.choice(self._fleet.controllers)
        address = self._fleet.links[f"{name}/status"].address
        url = f"http://{address}/hornbeamyard/v1/routing"
        return await call(method, url, data)


async def call(method: str, url: str, data: bytes = b"") -> tuple[int, bytes]:
    """Return status and body of a response, or 0 and no body."""
    try:
        with anyio.move_on_after(CALL_TIMEOUT_S):
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(method, url, content=data)
                return response.status, response.content
    except CONNECTION_ERRORS:
        # The outcome is unknown, as after a timeout.
        return 0, b""
    return 0, b""
