"""A minimal forwarder, to which the router's data path is compared.

It forwards every request to one upstream with the same HTTP libraries and
server options as the router, and does nothing else. It keeps idle connections
in a list, because httpcore's connection pool takes longer for a request than
the rest of the forwarder, so that a comparison would favour the router.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import click
import httpcore
import uvicorn

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

# Shorter than the time after which upstreams close idle connections.
IDLE_TIMEOUT_S = 4.0


class Forwarder:
    """An ASGI application that forwards to one upstream.

    Parameters
    ----------
    upstream : str
        `http://ip:port`.
    """

    def __init__(self, upstream: str) -> None:
        self._upstream = upstream
        self._origin = httpcore.URL(upstream).origin
        self._host = upstream.removeprefix("http://").encode()
        self._backend = httpcore.AnyIOBackend()
        self._idle: list[httpcore.AsyncHTTP11Connection] = []

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Forward one HTTP request."""
        parts = []
        more_body = True
        while more_body:
            message = await receive()
            parts.append(message.get("body", b""))
            more_body = message.get("more_body", False)
        request = httpcore.Request(
            scope["method"],
            self._upstream + scope["path"],
            headers=[
                (b"host", self._host),
                *(h for h in scope["headers"] if h[0] != b"host"),
            ],
            content=b"".join(parts),
        )
        connection = await self._get_connection()
        response = await connection.handle_async_request(request)
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": [
                    (name.lower(), value)
                    for name, value in response.headers
                    if name.lower() != b"transfer-encoding"
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
        await response.aclose()
        self._idle.append(connection)
        await send({"type": "http.response.body", "body": b""})

    async def _get_connection(self) -> httpcore.AsyncHTTP11Connection:
        """Return an idle connection to the upstream, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_expired():
                return connection
            await connection.aclose()
        stream = await self._backend.connect_tcp(
            self._origin.host.decode(), self._origin.port
        )
        return httpcore.AsyncHTTP11Connection(
            self._origin, stream, IDLE_TIMEOUT_S
        )


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--upstream", required=True, help="http://ip:port")
def main(port: int, upstream: str) -> None:
    """Forward requests from a port on loopback to an upstream."""
    uvicorn.run(
        Forwarder(upstream),
        host="127.0.0.1",
        port=port,
        log_config=None,
        access_log=False,
        lifespan="off",
        http="httptools",
        ws="none",
        server_header=False,
    )


if __name__ == "__main__":
    main()
