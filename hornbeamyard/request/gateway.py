"""The HTTP application of routers in a fleet without a route directory."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Awaitable, Callable, MutableMapping
from http import HTTPStatus
from typing import Any, Protocol

import logbook
from result import Err, Ok, Result

from ..connection.limits import BODY_TIMEOUT_S, MAX_BUFFERED_BODY_BYTES
from ..pool.backlog import Ticket
from ..process.settings import RouterSettings
from ..process.timers import Timers
from ..version.configuration import ClientAccount, Configuration
from .administration import Administration
from .announcement import AnnouncementHandler
from .claim import Claim
from .delivery import Delivery, RequestState
from .parsing import (
    MODEL_PATHS,
    NON_IDEMPOTENT_METHODS,
    SERVICE_PREFIX,
    Destination,
    RequestOptions,
    build_upstream_request,
    find_destination,
    get_bearer_key,
    parse_model,
    parse_options,
)
from .problem import (
    Outcome,
    Problem,
    build_findings_problem,
    send_json,
    send_problem,
)

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

# Requests whose bodies start with the same bytes prefer the same engine, since
# it may hold the prompt prefix in its KV cache.
PROMPT_PREFIX_BYTES = 1024

_log = logbook.Logger("gateway")


class ConfigurationHolder(Protocol):
    """Holds the current configuration."""

    configuration: Configuration


class Gateway:
    """An ASGI application for callers, upstreams, operators and monitoring.

    Parameters
    ----------
    router : ConfigurationHolder
    delivery : Delivery
    announcements : AnnouncementHandler
    settings : RouterSettings
    timers : Timers
    administration : Administration
        Serves the paths of operators and monitoring.

    Attributes
    ----------
    is_accepting : bool
        Whether new requests are accepted.
    is_ready : bool
        Whether `/health/ready` may report the router as ready.
    """

    __slots__ = (
        "_active_requests",
        "_administration",
        "_announcements",
        "_buffered_size",
        "_delivery",
        "_router",
        "_settings",
        "_timers",
        "is_accepting",
        "is_ready",
    )

    def __init__(
        self,
        router: ConfigurationHolder,
        delivery: Delivery,
        announcements: AnnouncementHandler,
        settings: RouterSettings,
        timers: Timers,
        administration: Administration,
    ) -> None:
        self._administration = administration
        self._announcements = announcements
        self._buffered_size = 0
        self._delivery = delivery
        self._router = router
        self._active_requests = 0
        self._settings = settings
        self._timers = timers
        self.is_accepting = True
        self.is_ready = True

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        try:
            await self._route(scope, receive, send)
        except Exception:
            # The server closes the connection of an incomplete response.
            _log.exception("request failed on path {}", scope["path"])

    async def _route(self, scope: Scope, receive: Receive, send: Send) -> None:
        path = scope["path"]
        if path in MODEL_PATHS or path.startswith(SERVICE_PREFIX):
            await self._serve_limited(scope, receive, send)
        elif path == "/health/ready":
            await self._send_ready(send)
        elif self._announcements.serves(path):
            await self._handle_announcement(scope, receive, send)
        elif self._administration.serves(path):
            await self._administration(scope, receive, send)
        elif self._find_account(scope) is None:
            await self._send_refusal(
                send, HTTPStatus.UNAUTHORIZED, "unknown key"
            )
        elif path == "/v1/models":
            await self._send_models(send)
        else:
            detail = f"there is no path {path!r}"
            await self._send_refusal(send, HTTPStatus.NOT_FOUND, detail)

    # ---- requests --------------------------------------------------------

    async def _serve_limited(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        reason = self._find_overload()
        if reason is not None:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            await self._send_refusal(send, status, reason, 1)
            return
        account = self._find_account(scope)
        if account is None:
            await self._send_refusal(
                send, HTTPStatus.UNAUTHORIZED, "unknown key"
            )
            return
        self._active_requests += 1
        try:
            await self._serve(scope, receive, send, account)
        finally:
            self._active_requests -= 1

    def _find_overload(self) -> str | None:
        if not self.is_accepting:
            return "the router is stopping"
        if self._active_requests >= self._settings.requests:
            return f"too many requests in progress: {self._active_requests}"
        return None

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        account: ClientAccount,
    ) -> None:
        received_at = self._timers.now()
        read = await self._read_body(receive)
        if isinstance(read, Err):
            if read.err_value is not None:
                await send_problem(send, read.err_value, close=True)
            return
        body = read.ok_value
        checked = self._check(scope, body)
        if isinstance(checked, Err):
            await send_problem(
                send, checked.err_value, self._delivery.is_closing
            )
            return
        destination, options = checked.ok_value
        state = self._build_state(
            scope, body, account, destination, options, received_at
        )
        self._buffered_size += len(body)
        try:
            await self._delivery.deliver(state, receive, send)
        finally:
            self._buffered_size -= len(body)

    def _check(
        self, scope: Scope, body: bytes
    ) -> Result[tuple[Destination, RequestOptions], Problem]:
        options = parse_options(scope["headers"])
        if isinstance(options, Err):
            findings = options.err_value
            if scope["path"] in MODEL_PATHS and scope["method"] == "POST":
                model = parse_model(body)
                if isinstance(model, Err):
                    findings = findings + model.err_value
            return Err(build_findings_problem(findings))
        destination = find_destination(scope, body, self._router.configuration)
        if isinstance(destination, Err):
            return destination
        return Ok((destination.ok_value, options.ok_value))

    def _build_state(
        self,
        scope: Scope,
        body: bytes,
        account: ClientAccount,
        destination: Destination,
        options: RequestOptions,
        received_at: float,
    ) -> RequestState:
        pool = self._router.configuration.pools[destination.pool]
        deadline_s = options.deadline_s or self._settings.default_deadline_s
        repeatable = (
            pool.kind == "model"
            or pool.repeatable
            or scope["method"] not in NON_IDEMPOTENT_METHODS
        )
        claim = None
        if options.idempotency_key and not repeatable:
            claim = Claim(
                account.name,
                options.idempotency_key,
                _hash_request(scope, destination, body),
                received_at,
            )
        return RequestState(
            build_upstream_request(
                scope, destination.target, body, claim is not None
            ),
            destination.pool,
            Ticket(
                client_account=account.name,
                priority=options.priority and account.priority,
                size=len(body),
                received_at=received_at,
                start_by=received_at + deadline_s,
                prefix=zlib.crc32(body[:PROMPT_PREFIX_BYTES]),
                digest=self._delivery.crashes.digests.compute(
                    scope["method"],
                    f"{destination.pool} ".encode() + destination.target,
                    account.name,
                    body,
                ),
            ),
            repeatable,
            options.is_retry,
            claim,
        )

    async def _read_body(
        self, receive: Receive
    ) -> Result[bytes, Problem | None]:
        """Return the body, or an error; None if the caller disconnected."""
        parts: list[bytes] = []
        size = 0
        max_size = min(
            self._settings.body_size,
            MAX_BUFFERED_BODY_BYTES - self._buffered_size,
        )
        with self._timers.limit(BODY_TIMEOUT_S):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    return Err(None)
                size += len(message.get("body", b""))
                if size > max_size:
                    return Err(self._build_size_problem(size))
                parts.append(message.get("body", b""))
                if not message.get("more_body", False):
                    return Ok(b"".join(parts))
        return Err(
            Problem(
                HTTPStatus.REQUEST_TIMEOUT,
                Outcome.NOT_RUN,
                f"the body was not complete within {BODY_TIMEOUT_S:g} s",
            )
        )

    def _build_size_problem(self, size: int) -> Problem:
        max_body_size = self._settings.body_size
        if size > max_body_size:
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            detail = f"the body exceeds {max_body_size} bytes"
            return Problem(status, Outcome.NOT_RUN, detail)
        status = HTTPStatus.SERVICE_UNAVAILABLE
        detail = "too many bodies of other requests are in memory"
        return Problem(status, Outcome.NOT_RUN, detail, 1)

    # ---- upstreams -------------------------------------------------------

    async def _handle_announcement(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        read = await self._read_body(receive)
        if isinstance(read, Err):
            if read.err_value is not None:
                await send_problem(send, read.err_value, close=True)
            return
        handled = self._announcements.handle(
            scope["path"],
            scope["method"],
            get_bearer_key(scope),
            read.ok_value,
            self._router.configuration,
        )
        if isinstance(handled, Err):
            await send_problem(send, handled.err_value)
            return
        await send_json(send, HTTPStatus.OK, handled.ok_value)

    # ---- helpers ---------------------------------------------------------

    def _find_account(self, scope: Scope) -> ClientAccount | None:
        key = get_bearer_key(scope)
        if key is None:
            return None
        return self._router.configuration.find_account(key)

    async def _send_refusal(
        self,
        send: Send,
        status: HTTPStatus,
        detail: str,
        retry_after_s: int | None = None,
    ) -> None:
        problem = Problem(status, Outcome.NOT_RUN, detail, retry_after_s)
        await send_problem(send, problem, self._delivery.is_closing)

    async def _send_ready(self, send: Send) -> None:
        ready = self.is_ready and self._router.configuration.version > 0
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        await send_json(send, status, {"ready": ready})

    async def _send_models(self, send: Send) -> None:
        pools = self._router.configuration.pools.values()
        models = [
            {"id": pool.name, "object": "model"}
            for pool in pools
            if pool.kind == "model"
        ]
        await send_json(
            send, HTTPStatus.OK, {"object": "list", "data": models}
        )


def _hash_request(
    scope: Scope, destination: Destination, body: bytes
) -> bytes:
    hasher = hashlib.sha256()
    for part in (
        scope["method"].encode(),
        destination.pool.encode(),
        destination.target,
    ):
        hasher.update(part + b"\0")
    hasher.update(body)
    return hasher.digest()
