"""HTTP servers of a process."""

from __future__ import annotations

import logging
import socket
from typing import Any

import uvicorn

# Time for the last bytes to reach callers that were told of a sudden stop.
CLOSE_TIMEOUT_S = 2
# Idle time after which an operator's or a monitor's connection is closed.
STATUS_KEEP_ALIVE_S = 75


class QuietServer(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    async def serve(self, sockets: list[socket.socket] | None = None) -> None:
        """Serve until `should_exit` is set."""
        await self._serve(sockets)


def build_server(
    app: Any,
    address: str,
    protocol: Any = "httptools",
    keep_alive_s: float = STATUS_KEEP_ALIVE_S,
) -> QuietServer:
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
    # An answer that broke is left incomplete on purpose, and counted.
    logging.getLogger("uvicorn.error").addFilter(_is_unexpected)
    config = uvicorn.Config(
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
    )
    return QuietServer(config)


def _is_unexpected(record: logging.LogRecord) -> bool:
    return "returned without completing response" not in str(record.msg)
