"""The HTTP surface for callers and upstreams."""

from __future__ import annotations

import json
import zlib
from collections.abc import Awaitable, Callable, MutableMapping
from http import HTTPStatus
from typing import Any, Protocol

import httpcore
from result import Err

from ..pool.admission import Admission
from ..pool.backlog import Ticket
from ..pool.worker import Registry, Worker
from ..process.settings import RouterSettings
from ..process.timers import Timers
from ..version.configuration import ClientAccount, Configuration
from .administration import Administration
from .problem import Outcome, Problem

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
ANNOUNCE_PATH = "/hornbeamyard/v1/upstreams"
# Bytes of the prompt that decide which engine's cache may be warm.
PREFIX_SIZE = 1024
# Headers that concern one connection only, and those that are ours.
_DROPPED_HEADERS = frozenset(
    {
        b"authorization",
        b"connection",
        b"content-length",
        b"host",
        b"keep-alive",
        b"te",
        b"transfer-encoding",
        b"upgrade",
    }
)


class Fleet(Protocol):
    """What the gateway needs of its router."""

    configuration: Configuration

    def find_admission(self, pool: str) -> Admission:
        """Return the admission of a pool."""

    def announce(self, worker: Worker) -> None:
        """Take an upstream's announcement."""

    def get_connections(self, worker: str) -> httpcore.AsyncConnectionPool:
        """Return the connections to a worker."""


class Gateway:
    """An ASGI application in front of the fleet.

    Parameters
    ----------
    fleet : Fleet
    registry : Registry
    settings : RouterSettings
    timers : Timers
    administration : Administration
        Serves the paths of operators and monitoring.
    """

    __slots__ = (
        "_administration",
        "_fleet",
        "_registry",
        "_settings",
        "_timers",
        "is_ready",
    )

    def __init__(
        self,
        fleet: Fleet,
        registry: Registry,
        settings: RouterSettings,
        timers: Timers,
        administration: Administration,
    ) -> None:
        self._administration = administration
        self._fleet = fleet
        self._registry = registry
        self._settings = settings
        self._timers = timers
        self.is_ready = True

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path == "/health/ready":
            await self._send_ready(send)
            return
        if path == ANNOUNCE_PATH:
            await self._take_announcement(scope, receive, send)
            return
        if self._administration.serves(path):
            await self._administration(scope, receive, send)
            return
        account = self._find_account(scope)
        if account is None:
            problem = Problem(
                HTTPStatus.UNAUTHORIZED, Outcome.NOT_RUN, "unknown key"
            )
            await _send_problem(send, problem)
            return
        if path == "/v1/models":
            await self._send_models(send)
            return
        await self._serve(scope, receive, send, account)

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        account: ClientAccount,
    ) -> None:
        body = await self._read_body(receive)
        if body is None:
            problem = Problem(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                Outcome.NOT_RUN,
                f"the body exceeds {self._settings.body_size} bytes",
            )
            await _send_problem(send, problem)
            return
        pool = self._find_pool(scope["path"], body)
        if pool is None:
            problem = Problem(
                HTTPStatus.NOT_FOUND, Outcome.NOT_RUN, "no such model"
            )
            await _send_problem(send, problem)
            return
        admission = self._fleet.find_admission(pool)
        now = self._timers.now()
        ticket = Ticket(
            client_account=account.name,
            priority=_get_header(scope, b"hornbeamyard-priority")
            == b"priority"
            and account.priority,
            size=len(body),
            received_at=now,
            start_by=now + self._settings.default_deadline_s,
            prefix=zlib.crc32(body[:PREFIX_SIZE]),
        )
        admitted = await admission.admit(ticket)
        if isinstance(admitted, Err):
            problem = Problem(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Outcome.NOT_RUN,
                str(admitted.err_value),
                admission.dispatch.compute_retry_after(account.name),
            )
            await _send_problem(send, problem)
            return
        start = admitted.ok_value
        try:
            await self._forward(scope, body, start.worker, send)
        finally:
            admission.finish(start)

    async def _forward(
        self, scope: Scope, body: bytes, worker_name: str, send: Send
    ) -> None:
        worker = self._registry.get(worker_name)
        if worker is None:
            problem = Problem(
                HTTPStatus.BAD_GATEWAY, Outcome.NOT_RUN, "the upstream is gone"
            )
            await _send_problem(send, problem)
            return
        path = scope["path"]
        if path.startswith("/services/"):
            path = "/" + path.split("/", 3)[3] if path.count("/") > 2 else "/"
        query = scope["query_string"]
        target = path.encode() + (b"?" + query if query else b"")
        headers = [
            (name, value)
            for name, value in scope["headers"]
            if name not in _DROPPED_HEADERS
        ]
        connections = self._fleet.get_connections(worker.address)
        async with connections.stream(
            scope["method"],
            worker.address + target.decode(),
            headers=headers,
            content=body,
        ) as response:
            await send(
                {
                    "type": "http.response.start",
                    "status": response.status,
                    "headers": [
                        (name.lower(), value)
                        for name, value in response.headers
                        if name.lower() not in _DROPPED_HEADERS
                    ],
                }
            )
            async for chunk in response.aiter_stream():
                await send(
                    {
                        "type": "http.response.body",
                        "body": chunk,
                        "more_body": True,
                    }
                )
        await send({"type": "http.response.body", "body": b""})

    # ---- upstreams -------------------------------------------------------

    async def _take_announcement(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        body = await self._read_body(receive)
        document = json.loads(body or b"{}")
        key = _get_bearer(scope)
        configuration = self._fleet.configuration
        name = document.get("name", "")
        if key is None or not configuration.is_upstream_allowed(name, key):
            problem = Problem(
                HTTPStatus.FORBIDDEN, Outcome.NOT_RUN, "unknown upstream key"
            )
            await _send_problem(send, problem)
            return
        worker = Worker(announced_at=self._timers.now(), **document)
        self._fleet.announce(worker)
        await _send_json(send, HTTPStatus.OK, {"lease_s": worker.lease_s})

    # ---- helpers ---------------------------------------------------------

    def _find_account(self, scope: Scope) -> ClientAccount | None:
        key = _get_bearer(scope)
        if key is None:
            return None
        return self._fleet.configuration.find_account(key)

    def _find_pool(self, path: str, body: bytes) -> str | None:
        pools = self._fleet.configuration.pools
        if path.startswith("/services/"):
            name = path.split("/")[2]
        elif path in MODEL_PATHS:
            try:
                name = json.loads(body).get("model", "")
            except (ValueError, AttributeError):
                return None
        else:
            return None
        return name if name in pools else None

    async def _read_body(self, receive: Receive) -> bytes | None:
        parts = []
        size = 0
        while True:
            message = await receive()
            part = message.get("body", b"")
            size += len(part)
            if size > self._settings.body_size:
                return None
            parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)

    async def _send_ready(self, send: Send) -> None:
        ready = self.is_ready and self._fleet.configuration.version > 0
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        await _send_json(send, status, {"ready": ready})

    async def _send_models(self, send: Send) -> None:
        pools = self._fleet.configuration.pools.values()
        models = [
            {"id": pool.name, "object": "model"}
            for pool in pools
            if pool.kind == "model"
        ]
        await _send_json(
            send, HTTPStatus.OK, {"object": "list", "data": models}
        )


def _get_header(scope: Scope, name: bytes) -> bytes | None:
    for key, value in scope["headers"]:
        if key == name:
            return bytes(value)
    return None


def _get_bearer(scope: Scope) -> str | None:
    value = _get_header(scope, b"authorization")
    if value is None or not value.lower().startswith(b"bearer "):
        return None
    return value[7:].decode("latin-1").strip()


async def _send_json(send: Send, status: HTTPStatus, document: object) -> None:
    body = json.dumps(document).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await _send_whole(send, status, headers, body)


async def _send_problem(send: Send, problem: Problem) -> None:
    await _send_whole(
        send, problem.status, problem.list_headers(), problem.to_json()
    )


async def _send_whole(
    send: Send,
    status: HTTPStatus,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> None:
    await send(
        {
            "type": "http.response.start",
            "status": int(status),
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": body})
