"""An upstream of the soak, run as a process of its own.

It announces itself to controllers, appends a line to a journal file for every
request that it runs, and refuses requests for other upstreams. Some of its
streams have neither a length nor chunks, and some break off inside an event.
It crashes as it begins to answer a request with a certain prompt part, or runs
a certain request, and for some time it may name the rate of requests that it
takes.
The journal file is shared by all upstreams and outlives them.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import math
import os
import random
import signal
import time
from collections.abc import Awaitable, Callable, MutableMapping
from pathlib import Path
from typing import Any

import anyio
import click
import httpcore
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from hornbeamyard.process.servers import build_server

ANNOUNCEMENT_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 1.0
# Time in which routers learn that the upstream is draining.
DRAIN_S = 2.0
# Upper bound of the whole drain.
MAX_DRAIN_S = 6.0
# Events of each stream, and the pause after each.
EVENT_COUNT = 8
EVENT_INTERVAL_S = 0.05
# Version of the upstream's software, chosen at each start.
SOFTWARE_VERSIONS = ("v1", "v2")
# Fraction of the streams that end with their connection, and of those that
# break off inside an event.
UNFRAMED_FRACTION = 0.5
BROKEN_FRACTION = 0.1
# Prompt part that crashes the upstream, and its exit code then.
CRASHING_PART = "crash"
CRASH_EXIT_CODE = 86
# Path and body of the request that crashes the upstream.
CRASHING_PATH = "/read/crash"
CRASHING_BODY = b"crash"
# Time between the head of the response and the crash.
CRASH_DELAY_S = 0.01
# Fraction of the starts with a rate limit, when it begins after the start, how
# long it lasts, and the limit in requests a second.
LIMITED_FRACTION = 0.5
LIMIT_BEGINS_S = (0.5, 4.0)
LIMIT_LASTS_S = (4.0, 7.5)
LIMIT_RATES = (2.0, 6.0)
# Key of the connection's transport in the extensions of a request.
TRANSPORT = "soak.transport"
# Fraction of the requests that the upstream refuses without running them.
REFUSED_FRACTION = 0.02
CALL_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    TimeoutError,
)

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


def sign(request_id: str, upstream_id: str) -> str:
    """Return the signature of an upstream's response to a request."""
    text = f"{request_id} {upstream_id}".encode()
    return hashlib.sha256(text).hexdigest()[:16]


def build_event(stream_id: str, number: int, software_version: str) -> bytes:
    """Return one event of a stream."""
    data = f"{stream_id} {number} {software_version}"
    return f"id: {number}\ndata: {data}\n\n".encode()


class TransportProtocol(HttpToolsProtocol):
    """A server protocol that lets requests write to their transport."""

    def on_message_begin(self) -> None:
        """Handle the start of a request."""
        super().on_message_begin()
        extensions: dict[str, Any] = {TRANSPORT: self.transport}
        self.scope["extensions"] = extensions


class SoakUpstream:
    """An ASGI application that announces itself to controllers.

    Parameters
    ----------
    id, pool : str
    address : str
        IP address and port at which routers reach it.
    controllers : list of str
        Addresses of controllers for announcements; the first is used, and
        goes to the end of the list when a call fails.
    journal : Path
        File with a line of JSON for each execution of a request.
    zone : str
        Availability zone.
    cold_s : float
        How long it is cold from now on, in seconds; 0 if it never announces
        that.

    Attributes
    ----------
    running : int
        Requests in progress.
    software_version : str
    state : str
        State in announcements, `ready` or `draining`.
    """

    def __init__(
        self,
        id: str,
        pool: str,
        address: str,
        controllers: list[str],
        journal: Path,
        zone: str,
        cold_s: float,
    ) -> None:
        self._id = id
        self._pool = pool
        self._address = address
        self._controllers = controllers
        self._journal = journal
        self._zone = zone
        self._announces_cold = cold_s > 0
        self._cold_until = time.monotonic() + cold_s
        self._sequence = 0
        self._started_ms = int(time.time() * 1000)
        self._limit_begins_at = float("inf")
        if random.random() < LIMITED_FRACTION:
            begins_s = random.uniform(*LIMIT_BEGINS_S)
            self._limit_begins_at = time.monotonic() + begins_s
        lasts_s = random.uniform(*LIMIT_LASTS_S)
        self._limit_ends_at = self._limit_begins_at + lasts_s
        self._limit = round(random.uniform(*LIMIT_RATES), 1)
        self.running = 0
        self.software_version = random.choice(SOFTWARE_VERSIONS)
        self.state = "ready"

    async def __call__(
        self,
        scope: Message,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request as an ASGI application."""
        if scope["type"] != "http":
            return
        body = b""
        more = True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message.get("body", b"")
            more = message.get("more_body", False)
        headers = {
            name.decode(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self.running += 1
        try:
            await self._respond(scope, headers, body, receive, send)
        finally:
            self.running -= 1

    async def _respond(
        self,
        scope: Message,
        headers: dict[str, str],
        body: bytes,
        receive: Receive,
        send: Send,
    ) -> None:
        request_id = headers.get("hornbeamyard-request", "")
        if headers.get("hornbeamyard-upstream") != self._id:
            await _send_response(send, 421, [], b"")
            return
        if random.random() < REFUSED_FRACTION:
            await _send_response(
                send, 503, [(b"hornbeamyard-not-run", b"true")], b""
            )
            return
        is_framed = random.random() >= UNFRAMED_FRACTION
        max_rate = self._find_limit()
        has_crashing_part = CRASHING_PART in headers.get(
            "hornbeamyard-prompt-parts", ""
        )
        is_crashing = scope["path"] == CRASHING_PATH and body == CRASHING_BODY
        crashes = has_crashing_part or is_crashing
        self._record_execution(
            request_id, headers, scope, is_framed, max_rate, crashes
        )
        response_headers = [
            (b"hornbeamyard-request", request_id.encode()),
            (b"hornbeamyard-signature", sign(request_id, self._id).encode()),
        ]
        if max_rate is not None:
            value = str(max_rate).encode()
            response_headers.append((b"hornbeamyard-max-rate", value))
        if has_crashing_part:
            await _crash(send, response_headers)
        if is_crashing:
            os._exit(CRASH_EXIT_CODE)
        if headers.get("soak-events"):
            stream_id = headers.get("hornbeamyard-resumes") or request_id
            events = [
                build_event(stream_id, number, self.software_version)
                for number in range(
                    int(headers.get("last-event-id") or 0) + 1, EVENT_COUNT + 1
                )
            ]
            response_headers.append((b"content-type", b"text/event-stream"))
            sent = events
            may_break = events and not headers.get("soak-whole")
            if may_break and random.random() < BROKEN_FRACTION:
                sent = _break_off(events)
            if not is_framed:
                transport = scope["extensions"][TRANSPORT]
                await _write_unframed(transport, response_headers, sent)
                while (await receive())["type"] != "http.disconnect":
                    pass
                return
            is_whole = sent == events
            await _send_events(send, response_headers, sent, is_whole)
            return
        await anyio.sleep(random.uniform(0.005, 0.1))
        document = {
            "request": request_id,
            "upstream": self._id,
            "pool": self._pool,
            "path": scope["path"],
            "digest": hashlib.sha256(body).hexdigest(),
        }
        content = json.dumps(document).encode()
        await _send_response(send, 200, response_headers, content)

    def _find_limit(self) -> float | None:
        """Return the rate that the upstream takes now; None for any."""
        now = time.monotonic()
        if self._limit_begins_at <= now < self._limit_ends_at:
            return self._limit
        return None

    def _record_execution(
        self,
        request_id: str,
        headers: dict[str, str],
        scope: Message,
        is_framed: bool,
        max_rate: float | None,
        crashes: bool,
    ) -> None:
        """Append a line to the journal."""
        now = time.monotonic()
        line = {
            "request": request_id,
            "upstream": self._id,
            "pool": self._pool,
            "path": scope["path"],
            "account": headers.get("hornbeamyard-account", ""),
            # Only streams can be without framing.
            "framed": is_framed or not headers.get("soak-events"),
            "max_rate": max_rate,
            "crashes": crashes,
            "zone": self._zone,
            "cold": self._announces_cold and now < self._cold_until,
            "at": now,
        }
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        file = os.open(self._journal, flags, 0o600)
        os.write(file, (json.dumps(line) + "\n").encode())
        os.close(file)

    # ---- announcements ---------------------------------------------------

    async def announce(self) -> None:
        """Announce the upstream until cancelled."""
        while True:
            if not await self.call_controller("PUT"):
                self._controllers.append(self._controllers.pop(0))
            await anyio.sleep(ANNOUNCEMENT_INTERVAL_S)

    async def call_controller(self, method: str) -> bool:
        """Announce the upstream to a controller, or withdraw it.

        Parameters
        ----------
        method : str
            `PUT` to announce, `DELETE` to withdraw.

        Returns
        -------
        bool
            Whether the controller accepted the call.
        """
        self._sequence += 1
        document: dict[str, Any] = {
            "pool": self._pool,
            "address": self._address,
            "availability_zone": self._zone,
            "state": self.state,
            "slots": 16,
            "software_version": self.software_version,
            "sequence": self._sequence,
            "started_ms": self._started_ms,
        }
        if self._announces_cold:
            cold_s = max(0.0, self._cold_until - time.monotonic())
            document["cold_remaining_ms"] = math.ceil(cold_s * 1000)
        url = (
            f"http://{self._controllers[0]}/hornbeamyard/v1/upstreams/"
            f"{self._id}"
        )
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(
                        method, url, content=json.dumps(document).encode()
                    )
        except CALL_ERRORS:
            return False
        return bool(response.status == 200)

    async def leave(self) -> None:
        """Announce draining, finish running requests and withdraw."""
        self.state = "draining"
        with anyio.move_on_after(MAX_DRAIN_S):
            while not await self.call_controller("PUT"):
                self._controllers.append(self._controllers.pop(0))
            await anyio.sleep(DRAIN_S)
            while self.running:
                await anyio.sleep(0.05)
            await self.call_controller("DELETE")


async def _send_response(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def _crash(send: Send, headers: list[tuple[bytes, bytes]]) -> None:
    """Send the head of a stream and end the process."""
    headers = [*headers, (b"content-type", b"text/event-stream")]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await anyio.sleep(CRASH_DELAY_S)
    os._exit(CRASH_EXIT_CODE)


def _break_off(events: list[bytes]) -> list[bytes]:
    """Return the first events, the last of them cut."""
    *whole, last = events[: random.randint(1, len(events))]
    return [*whole, last[: random.randrange(1, len(last))]]


async def _send_events(
    send: Send,
    headers: list[tuple[bytes, bytes]],
    events: list[bytes],
    is_whole: bool,
) -> None:
    """Send a chunked stream; one that isn't whole has no last chunk."""
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    for event in events:
        await send(
            {"type": "http.response.body", "body": event, "more_body": True}
        )
        await anyio.sleep(EVENT_INTERVAL_S)
    if is_whole:
        await send({"type": "http.response.body", "body": b""})


async def _write_unframed(
    transport: asyncio.Transport,
    headers: list[tuple[bytes, bytes]],
    events: list[bytes],
) -> None:
    """Write a stream without length and chunks, and close its connection."""
    lines = [b"HTTP/1.1 200 OK", *(b": ".join(header) for header in headers)]
    transport.write(b"\r\n".join([*lines, b"", b""]))
    for event in events:
        if transport.is_closing():
            return
        transport.write(event)
        await anyio.sleep(EVENT_INTERVAL_S)
    transport.close()


async def _run(upstream: SoakUpstream, server: uvicorn.Server) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        async with anyio.create_task_group() as announcing:
            announcing.start_soon(upstream.announce)
            with anyio.open_signal_receiver(signal.SIGTERM) as signals:
                async for _ in signals:
                    break
            announcing.cancel_scope.cancel()
        await upstream.leave()
        server.should_exit = True


@click.command()
@click.option("--id", required=True)
@click.option("--pool", required=True)
@click.option("--listen", required=True)
@click.option("--address", required=True)
@click.option("--controller", "controllers", required=True, multiple=True)
@click.option("--journal", required=True, type=click.Path(path_type=Path))
@click.option("--zone", required=True)
@click.option("--cold-s", default=0.0)
def main(
    id: str,
    pool: str,
    listen: str,
    address: str,
    controllers: tuple[str, ...],
    journal: Path,
    zone: str,
    cold_s: float,
) -> None:
    """Run one upstream until SIGTERM."""
    upstream = SoakUpstream(
        id, pool, address, list(controllers), journal, zone, cold_s
    )
    server = build_server(upstream, listen, TransportProtocol)
    anyio.run(_run, upstream, server)


if __name__ == "__main__":
    main()
