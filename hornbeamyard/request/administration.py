"""The HTTP surface for operators and monitoring."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from ..process.metrics import Metrics

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

PREFIX = "/hornbeamyard/v1/admin/"


class Administration:
    """An ASGI application for `/metrics` and the paths of operators.

    Parameters
    ----------
    metrics : Metrics
    """

    __slots__ = ("_metrics",)

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def serves(self, path: str) -> bool:
        """Return whether a path belongs to this application."""
        return path == "/metrics" or path.startswith(PREFIX)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request."""
        found = scope["path"] == "/metrics"
        await send(
            {
                "type": "http.response.start",
                "status": 200 if found else 404,
                "headers": [(b"content-type", b"text/plain; version=0.0.4")],
            }
        )
        body = self._metrics.render() if found else b""
        await send({"type": "http.response.body", "body": body})
