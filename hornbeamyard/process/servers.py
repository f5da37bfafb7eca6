"""HTTP servers of a process."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import anyio
from uvicorn.config import Config
from uvicorn.server import Server

from ..connection.limits import (
    ConnectionLimits,
)
from ..connection.overload import OverloadLimiter
from ..connection.request_memory import RequestMemory
from ..request.problem import send_response
from .acceptors import Acceptor
from .documents import MAX_BODY_BYTES
from .metrics import Metrics, Sample
from .timers import Timers

# Time for the last bytes to reach callers whose requests were ended.
CLOSE_TIMEOUT_S = 2
# Connections that wait to be accepted.
BACKLOG = 2048
# Interval at which a server tries to accept again after a pause.
ACCEPT_INTERVAL_S = 1.0
# Idle time after which connections of operators and monitors are closed.
STATUS_KEEP_ALIVE_S = 75
# Maximum body of a request for metrics or readiness, which needs none.
MAX_STATUS_BODY_BYTES = 64 * 1024
# Open connections of operators and upstreams, or of monitors, to one address.
MAX_STATUS_CONNECTIONS = 1000
# Stands in a decoded path for bytes that aren't UTF-8.
REPLACEMENT = "\N{REPLACEMENT CHARACTER}"


class EmbeddedServer(Server):
    """An HTTP server that leaves signal handling to the daemon."""

    def __init__(self, config: Config) -> None:
        self._exit_requested = asyncio.Event()
        super().__init__(config)
        self._acceptors: list[Acceptor] = []

    @property
    def should_exit(self) -> bool:
        """Whether the server is to stop."""
        return self._exit_requested.is_set()

    @should_exit.setter
    def should_exit(self, value: bool) -> None:
        if value:
            self._exit_requested.set()
        else:
            self._exit_requested.clear()

    async def serve(self, sockets: list[socket.socket] | None = None) -> None:
        """Serve until `should_exit` is set."""
        try:
            await self._serve(sockets)
        finally:
            self._stop_accepting()

    async def startup(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Start to accept connections, by default at the server's address."""
        if sockets is None:
            await super().startup()
            return
        await super().startup([])
        for listener in sockets:
            acceptor = Acceptor(listener, self._build_protocol)
            acceptor.start()
            self._acceptors.append(acceptor)

    async def main_loop(self) -> None:
        """Accept connections again after a pause, until `should_exit`.

        The loop of uvicorn would wake up ten times a second.
        """
        while not await self.on_tick(0):
            for acceptor in self._acceptors:
                acceptor.start()
            with anyio.move_on_after(ACCEPT_INTERVAL_S):
                await self._exit_requested.wait()

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Accept no more connections, and end those that are open."""
        self._stop_accepting()
        await super().shutdown(sockets)

    def _build_protocol(self) -> asyncio.Protocol:
        protocol_class: Any = self.config.http_protocol_class
        protocol: asyncio.Protocol = protocol_class(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        return protocol

    def _stop_accepting(self) -> None:
        for acceptor in self._acceptors:
            acceptor.stop()
        self._acceptors.clear()


def build_server(
    app: Any,
    address: str,
    protocol: Any = "httptools",
    keep_alive_s: float = STATUS_KEEP_ALIVE_S,
) -> EmbeddedServer:
    """Return a server for an ASGI application.

    Parameters
    ----------
    app : ASGI application
    address : str
        IP address and port.
    protocol : str or class, optional
    keep_alive_s : float, optional
        Idle time after which a connection is closed.
    """
    host, _, port = address.rpartition(":")
    # Responses that break off are left incomplete on purpose and counted, so
    # the server's error about them isn't logged.
    logging.getLogger("uvicorn.error").addFilter(_keeps_record)
    config = Config(
        app,
        host=host.strip("[]"),
        port=int(port),
        log_config=None,
        access_log=False,
        lifespan="off",
        http=protocol,
        interface="asgi3",
        ws="none",
        proxy_headers=False,
        timeout_keep_alive=int(keep_alive_s),
        timeout_graceful_shutdown=CLOSE_TIMEOUT_S,
        server_header=False,
        date_header=False,
        backlog=BACKLOG,
    )
    return EmbeddedServer(config)


def build_status_limits(
    memory: RequestMemory, timers: Timers, body_size: int
) -> ConnectionLimits:
    """Return the limits of a server for operators, upstreams or monitors.

    Parameters
    ----------
    memory : RequestMemory
        The account of the process.
    timers : Timers
    body_size : int
        Maximum size of a body in bytes.
    """
    limits = ConnectionLimits(
        MAX_STATUS_CONNECTIONS, OverloadLimiter(timers), timers
    )
    limits.memory = memory
    limits.body_size = body_size
    # They are served also by a process that is overloaded.
    limits.limited_paths = ()
    limits.responds_to_silent_connections = False
    return limits


def sample_limits(limits: ConnectionLimits, server: str) -> Iterator[Sample]:
    """Yield the metrics of a server's limits.

    Parameters
    ----------
    limits : ConnectionLimits
    server : str
        What the server is for.
    """
    labels = (("server", server),)
    yield Sample("request_connections", limits.count_connections(), labels)
    for reason, number in limits.refusals.counts.items():
        yield Sample(
            "requests_over_limit", number, (*labels, ("reason", reason)), True
        )


def sample_request_memory(memory: RequestMemory) -> Iterator[Sample]:
    """Yield the metrics of the account of a process."""
    yield Sample("request_bytes", memory.size)
    yield Sample("request_bytes_limit", memory.max_size)


def build_json_app(
    handle: Callable[[str, str, bytes], Awaitable[tuple[int, bytes]]],
) -> Callable[..., Awaitable[None]]:
    """Return an ASGI application for calls with JSON bodies.

    Parameters
    ----------
    handle : callable
        Takes method, path and body, and returns status and body.
    """

    async def serve(
        scope: Any,
        receive: Callable[[], Awaitable[Any]],
        send: Callable[[Any], Awaitable[None]],
    ) -> None:
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        if body is None:
            return
        status, content = 413, b"{}"
        if REPLACEMENT in scope["path"]:
            status = 400
        elif len(body) <= MAX_BODY_BYTES:
            status, content = await handle(
                scope["method"], scope["path"], body
            )
        headers = [(b"content-type", b"application/json")]
        await send_response(send, status, headers, content)

    return serve


async def _read_body(
    receive: Callable[[], Awaitable[Any]],
) -> bytes | None:
    """Return the body, cut just above the limit; None on a disconnect."""
    parts: list[bytes] = []
    size = 0
    while size <= MAX_BODY_BYTES:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if not message.get("more_body", False):
            break
    return b"".join(parts)


def build_status_app(
    metrics: Metrics,
    ready_path: str = "",
    is_ready: Callable[[], bool] | None = None,
) -> Any:
    """Return an ASGI application for monitoring and load balancers.

    Parameters
    ----------
    metrics : Metrics
        Served under `/metrics`.
    ready_path : str, optional
        Path that responds with the result of `is_ready`.
    is_ready : callable, optional
    """

    async def serve(
        scope: Any, receive: Any, send: Callable[[Any], Awaitable[None]]
    ) -> None:
        if scope["type"] != "http":
            return
        status, body = 404, b"not found\n"
        if scope["path"] == "/metrics":
            status, body = 200, metrics.render()
        elif is_ready is not None and scope["path"] == ready_path:
            ready = is_ready()
            status = 200 if ready else 503
            body = b"ready\n" if ready else b"not ready\n"
        headers = [(b"content-type", b"text/plain; charset=utf-8")]
        await send_response(send, status, headers, body)

    return serve


def _keeps_record(record: logging.LogRecord) -> bool:
    return "returned without completing response" not in str(record.msg)
