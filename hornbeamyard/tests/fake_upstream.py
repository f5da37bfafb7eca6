"""A small fake upstream for tests, the demo and benchmarks.

It serves as a model engine, with batching and admission in order of arrival,
or as a plain service that keeps a journal of what it ran.
"""

from __future__ import annotations

import argparse
import json
import random
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpcore
import uvicorn

Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]

HEARTBEAT_S = 1.0


@dataclass(slots=True)
class FakeOptions:
    """How a fake upstream announces itself and behaves.

    Attributes
    ----------
    name, pool, availability_zone : str
    port : int
    routers : list of str
        Addresses of routers, `ip:port`.
    key : str
        Upstream key.
    slots : int
    tokens : int
        Tokens of an answer when the request names no `max_tokens`.
    token_s : float
        Time between tokens in seconds.
    repeatable : bool
    """

    name: str
    pool: str
    availability_zone: str
    port: int
    routers: list[str]
    key: str
    slots: int = 8
    tokens: int = 10
    token_s: float = 0.01
    repeatable: bool = True


@dataclass(slots=True)
class FakeUpstream:
    """An ASGI application that stands in for an upstream."""

    options: FakeOptions
    journal: list[str] = field(default_factory=list)
    running: int = 0
    most_running: int = 0
    leaving: bool = False
    incarnation: int = field(default_factory=lambda: random.getrandbits(48))
    limiter: anyio.CapacityLimiter | None = None

    async def __call__(
        self, scope: MutableMapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        if scope["path"] == "/hornbeamyard/v1/status":
            await self._answer(send, {"leaving": self.leaving})
            return
        if scope["path"] == "/journal":
            await self._answer(
                send,
                {"journal": self.journal, "most_running": self.most_running},
            )
            return
        body = await _read_body(receive)
        if self.limiter is None:
            self.limiter = anyio.CapacityLimiter(self.options.slots)
        async with self.limiter:
            self.running += 1
            self.most_running = max(self.most_running, self.running)
            try:
                await self._run(scope, body, send)
            finally:
                self.running -= 1

    async def _run(
        self, scope: MutableMapping[str, Any], body: bytes, send: Send
    ) -> None:
        request = json.loads(body) if body else {}
        identity = str(request.get("id", ""))
        self.journal.append(identity)
        tokens = int(request.get("max_tokens", self.options.tokens))
        streamed = bool(request.get("stream", False))
        if not streamed:
            await anyio.sleep(tokens * self.options.token_s)
            await self._answer(
                send,
                {"id": identity, "by": self.options.name, "tokens": tokens},
            )
            return
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-type", b"text/event-stream")],
            }
        )
        for number in range(tokens):
            await anyio.sleep(self.options.token_s)
            event = json.dumps({"id": identity, "token": number})
            await send(
                {
                    "type": "http.response.body",
                    "body": f"data: {event}\n\n".encode(),
                    "more_body": True,
                }
            )
        await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})

    async def _answer(self, send: Send, document: object) -> None:
        body = json.dumps(document).encode()
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", b"application/json"),
                    (b"content-length", str(len(body)).encode()),
                ],
            }
        )
        await send({"type": "http.response.body", "body": body})

    async def announce_repeatedly(self) -> None:
        """Announce to one router after the other until cancelled."""
        async with httpcore.AsyncConnectionPool() as pool:
            turn = random.randrange(len(self.options.routers))
            while True:
                router = self.options.routers[turn % len(self.options.routers)]
                turn += 1
                try:
                    await self._announce(pool, router)
                except (httpcore.NetworkError, httpcore.TimeoutException):
                    await anyio.sleep(0.1)
                    continue
                await anyio.sleep(HEARTBEAT_S)

    async def _announce(
        self, pool: httpcore.AsyncConnectionPool, router: str
    ) -> None:
        document = {
            "name": self.options.name,
            "address": f"http://127.0.0.1:{self.options.port}",
            "availability_zone": self.options.availability_zone,
            "pool": self.options.pool,
            "slots": self.options.slots,
            "repeatable": self.options.repeatable,
            "leaving": self.leaving,
            "incarnation": self.incarnation,
            "load_running": self.running,
        }
        await pool.request(
            "POST",
            f"http://{router}/hornbeamyard/v1/upstreams",
            headers={"authorization": f"Bearer {self.options.key}"},
            content=json.dumps(document).encode(),
            extensions={"timeout": {"connect": 1.0, "read": 1.0}},
        )


async def _read_body(receive: Receive) -> bytes:
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def serve_upstream(options: FakeOptions) -> None:
    """Run a fake upstream until cancelled or signalled."""
    upstream = FakeUpstream(options)
    config = uvicorn.Config(
        upstream,
        host="127.0.0.1",
        port=options.port,
        log_config=None,
        lifespan="off",
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(upstream.announce_repeatedly)
        await uvicorn.Server(config).serve()
        tasks.cancel_scope.cancel()


def main() -> None:
    """Run a fake upstream as a process."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--pool", required=True)
    parser.add_argument("--availability-zone", default="centro")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--router", action="append", required=True)
    parser.add_argument("--key", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--token-s", type=float, default=0.01)
    arguments = parser.parse_args()
    anyio.run(
        serve_upstream,
        FakeOptions(
            name=arguments.name,
            pool=arguments.pool,
            availability_zone=arguments.availability_zone,
            port=arguments.port,
            routers=arguments.router,
            key=arguments.key,
            slots=arguments.slots,
            token_s=arguments.token_s,
        ),
    )


if __name__ == "__main__":
    main()
