"""A bare forwarder, the reference for the cost of the router's data path.

It forwards every request to one upstream with the same HTTP libraries and
server options as the router, and does nothing else.
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


class Forwarder:
    """An ASGI application that forwards to one upstream.

    Parameters
    ----------
    upstream : str
        `http://ip:port`.
    """

    def __init__(self, upstream: str) -> None:
        self._upstream = upstream
        self._connections = httpcore.AsyncConnectionPool(
            max_connections=None, max_keepalive_connections=64
        )

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
        async with self._connections.stream(
            scope["method"],
            self._upstream + scope["path"],
            headers=[h for h in scope["headers"] if h[0] != b"host"],
            content=b"".join(parts),
        ) as response:
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
        await send({"type": "http.response.body", "body": b""})


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
