"""A fake upstream for tests, the demo and benchmarks.

It stands in for a model engine that runs up to `slots` requests at a time in
order of arrival, or for a plain service, and keeps a journal of the requests
that it ran.

The JSON body of a request may ask for a fault with these keys:

- `fault`: `refuse` (an error response before the request runs), `slow` or
  `late` (a pause), `silent` (no further byte, nor any response to status
  queries), `forgotten` (no further byte, and the status says that the request
  doesn't run), `garbage` (bytes that aren't HTTP), `unframed` (a response
  without a length, truncated), `early` (the connection closes), `reset` (TCP
  reset), `crash` (the upstream ends with all its connections) or `extra` (a
  second response to the same request).
- `stage`: `sent` (before the response), `headers` (after the headers of a
  stream) or `answering` (in the middle of the body).
- `faulty_attempts`: the number of attempts in which the fault occurs.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import socket
import struct
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpcore
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]

HEARTBEAT_S = 1.0
# Pause of the faults `slow` and `late`.
FAULT_DELAY_S = 0.4


@dataclass(slots=True)
class FakeUpstreamOptions:
    """Options of a fake upstream.

    Attributes
    ----------
    name, pool, availability_zone : str
    port : int
    routers : list of str
        Addresses of routers, `ip:port`.
    key : str
        Bearer token for announcements.
    slots : int
        Requests that run at the same time.
    tokens : int
        Tokens of a response if the request has no `max_tokens`.
    token_s : float
        Time for each token in seconds.
    repeatable : bool
        Whether a request may run more than once.
    journal : str
        File to which the id of each request that runs is appended, so that
        the journal outlives the process; empty for none.
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
    journal: str = ""


class FaultInjectionProtocol(HttpToolsProtocol):
    """Puts the connection into the scope, so that faults can act on it."""

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope["transport"] = self.transport


class ResponseAbortedError(Exception):
    """A fault ended the response early."""


@dataclass(slots=True)
class FakeUpstream:
    """An ASGI application that stands in for an upstream.

    Attributes
    ----------
    options : FakeUpstreamOptions
    journal : list of str
        Ids of the requests that ran, one entry for each run.
    cancelled : list of str
        Ids of the requests whose callers disconnected.
    running_attempts : set of str
        Attempts that the status reports as running.
    unresponsive_attempts : set of str
        Attempts about which status queries get no response.
    running, max_running : int
        Requests that run, and the highest number of them.
    leaving : bool
        Whether the upstream announces that it leaves.
    incarnation : int
        Random number that identifies this run of the upstream.
    limiter : anyio.CapacityLimiter or None
        Limits the running requests to the slots.
    crash : callable
        Ends the upstream with all its connections.
    """

    options: FakeUpstreamOptions
    journal: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    running_attempts: set[str] = field(default_factory=set)
    unresponsive_attempts: set[str] = field(default_factory=set)
    running: int = 0
    max_running: int = 0
    leaving: bool = False
    incarnation: int = field(default_factory=lambda: random.getrandbits(48))
    limiter: anyio.CapacityLimiter | None = None
    crash: Callable[[], object] = field(default=lambda: os._exit(1))

    async def __call__(
        self, scope: MutableMapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        if scope["path"] == "/hornbeamyard/v1/status":
            attempt = scope["query_string"].decode().partition("=")[2]
            document = {"leaving": self.leaving}
            if attempt in self.unresponsive_attempts:
                await anyio.sleep_forever()
            if attempt:
                document["running"] = attempt in self.running_attempts
            await self._send_json(send, document)
            return
        if scope["path"] == "/journal":
            await self._send_json(
                send,
                {
                    "journal": self.journal,
                    "cancelled": self.cancelled,
                    "most_running": self.max_running,
                },
            )
            return
        body = await _read_body(receive)
        if self.limiter is None:
            self.limiter = anyio.CapacityLimiter(self.options.slots)
        async with self.limiter:
            self.running += 1
            self.max_running = max(self.max_running, self.running)
            try:
                await self._run_until_disconnect(scope, body, receive, send)
            except ResponseAbortedError:
                pass
            finally:
                self.running -= 1

    async def _run_until_disconnect(
        self,
        scope: MutableMapping[str, Any],
        body: bytes,
        receive: Receive,
        send: Send,
    ) -> None:
        """Run a request until it ends or its caller disconnects."""
        request = json.loads(body) if body else {}
        request_id = str(request.get("id", ""))
        headers = dict(scope["headers"])
        attempt = headers.get(b"hornbeamyard-request", b"").decode()
        number = int(headers.get(b"hornbeamyard-attempt", b"1"))
        fault = str(request.get("fault", ""))
        if number > int(request.get("faulty_attempts", 1000)):
            fault = ""
        if fault == "refuse":
            await self._refuse(send)
            return
        self._record_run(request_id)
        self.running_attempts.add(attempt)
        finished = False
        try:
            async with anyio.create_task_group() as tasks:

                async def watch() -> None:
                    while (await receive())["type"] != "http.disconnect":
                        pass
                    tasks.cancel_scope.cancel()

                tasks.start_soon(watch)
                try:
                    await self._run(scope, request, request_id, fault, send)
                    finished = True
                except ResponseAbortedError:
                    finished = True
                tasks.cancel_scope.cancel()
        finally:
            self.running_attempts.discard(attempt)
            if not finished:
                self.cancelled.append(request_id)

    def _record_run(self, request_id: str) -> None:
        self.journal.append(request_id)
        if not self.options.journal:
            return
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        file = os.open(self.options.journal, flags, 0o600)
        os.write(file, f"{request_id}\n".encode())
        os.close(file)

    async def _refuse(self, send: Send) -> None:
        await send(
            {
                "type": "http.response.start",
                "status": 503,
                "headers": [
                    (b"hornbeamyard-not-run", b"true"),
                    (b"content-length", b"0"),
                ],
            }
        )
        await send({"type": "http.response.body", "body": b""})

    async def _run(
        self,
        scope: MutableMapping[str, Any],
        request: dict[str, Any],
        request_id: str,
        fault: str,
        send: Send,
    ) -> None:
        tokens = int(request.get("max_tokens", self.options.tokens))
        stage = str(request.get("stage", "sent"))
        if stage == "sent":
            await self._inject_fault(scope, fault)
        if not request.get("stream", False):
            await anyio.sleep(tokens * self.options.token_s)
            document = {
                "id": request_id,
                "by": self.options.name,
                "tokens": tokens,
                "padding": "x" * int(request.get("padding", 0)),
            }
            body_fault = fault if stage == "answering" else ""
            await self._send_json(send, document, scope, body_fault)
            if fault == "extra":
                # A second response on the same connection.
                scope["transport"].write(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra"
                )
            return
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-type", b"text/event-stream")],
            }
        )
        if stage == "headers":
            await self._inject_fault(scope, fault)
        for number in range(tokens):
            await anyio.sleep(self.options.token_s)
            if stage == "answering" and number == tokens // 2:
                await self._inject_fault(scope, fault)
            event = json.dumps({"id": request_id, "token": number})
            await send(
                {
                    "type": "http.response.body",
                    "body": f"data: {event}\n\n".encode(),
                    "more_body": True,
                }
            )
        await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})

    async def _inject_fault(
        self, scope: MutableMapping[str, Any], fault: str
    ) -> None:
        transport = scope["transport"]
        attempt = dict(scope["headers"]).get(b"hornbeamyard-request", b"")
        if fault in ("slow", "late"):
            await anyio.sleep(FAULT_DELAY_S)
        elif fault == "silent":
            # A frozen process doesn't respond to status queries either.
            self.unresponsive_attempts.add(attempt.decode())
            await anyio.sleep_forever()
        elif fault == "forgotten":
            # The upstream lost the request and never responds to it.
            self.running_attempts.discard(attempt.decode())
            await anyio.sleep_forever()
        elif fault == "garbage":
            transport.write(b"\x16\x03 this is not HTTP\r\n\r\n")
            transport.close()
            raise ResponseAbortedError
        elif fault == "unframed":
            # A response whose end is the end of the connection, truncated.
            transport.write(b"HTTP/1.1 200 OK\r\n\r\n{")
            transport.close()
            raise ResponseAbortedError
        elif fault == "early":
            transport.close()
            raise ResponseAbortedError
        elif fault == "reset":
            linger = struct.pack("ii", 1, 0)
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            transport.abort()
            raise ResponseAbortedError
        elif fault == "crash":
            self.crash()
            raise ResponseAbortedError

    async def _send_json(
        self,
        send: Send,
        document: object,
        scope: MutableMapping[str, Any] | None = None,
        fault: str = "",
    ) -> None:
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
        if fault and scope is not None:
            half = body[: len(body) // 2]
            message = {"type": "http.response.body", "body": half}
            await send({**message, "more_body": True})
            await self._inject_fault(scope, fault)
            body = body[len(half) :]
        await send({"type": "http.response.body", "body": body})

    async def announce_repeatedly(self) -> None:
        """Announce the upstream to the routers in turn until cancelled."""
        async with httpcore.AsyncConnectionPool() as pool:
            index = random.randrange(len(self.options.routers))
            while True:
                router = self.options.routers[
                    index % len(self.options.routers)
                ]
                index += 1
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


async def serve_upstream(options: FakeUpstreamOptions) -> None:
    """Run a fake upstream until cancelled or stopped by a signal."""
    upstream = FakeUpstream(options)
    config = uvicorn.Config(
        upstream,
        host="127.0.0.1",
        port=options.port,
        log_config=None,
        lifespan="off",
        http=FaultInjectionProtocol,
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
    parser.add_argument("--unrepeatable", action="store_true")
    parser.add_argument("--journal", default="")
    arguments = parser.parse_args()
    anyio.run(
        serve_upstream,
        FakeUpstreamOptions(
            name=arguments.name,
            pool=arguments.pool,
            availability_zone=arguments.availability_zone,
            port=arguments.port,
            routers=arguments.router,
            key=arguments.key,
            slots=arguments.slots,
            token_s=arguments.token_s,
            repeatable=not arguments.unrepeatable,
            journal=arguments.journal,
        ),
    )


if __name__ == "__main__":
    main()
