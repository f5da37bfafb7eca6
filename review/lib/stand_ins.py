"""Stand-ins of workers and of the operator."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import time
from dataclasses import dataclass, field
from typing import Any

from fleet import HEARTBEAT_MS, ZONE, Fleet, Machine
from wire import call_json

HOST = "review.example"
KEY = "k7b2ex5wa5xwyhks8nbk"
ACCOUNT = "tenant-1"


@dataclass
class Request:
    """A request as a worker gets it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def id(self) -> str:
        """Id that the client gave."""
        return self.headers.get("x-request-id", "")


@dataclass(eq=False)
class Worker:
    """A worker that answers plain requests and streams.

    Attributes
    ----------
    heartbeat_delay_s : float
        How late the heartbeats of a new boot arrive.
    runs : list
        Time, boot and id of each request that it has begun to run.
    """

    fleet: Fleet
    id: str
    service: str
    address: tuple[str, int]
    version: str = "v1"
    slots: int = 6
    work_s: float = 0.02
    events: int = 0
    event_pause_s: float = 0.1
    heartbeat_delay_s: float = 0.0
    state: str = "ready"
    born: int = 0
    runs: list[tuple[float, int, str]] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _beats: asyncio.Task[None] | None = None
    _sequence: int = 0

    async def start(self) -> None:
        """Begin a new boot."""
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self._sequence = 0
        self._server = await asyncio.start_server(self._serve, *self.address)
        self._beats = asyncio.create_task(self._beat())
        self.fleet.record.note(
            "worker-starts", id=self.id, born=self.born, version=self.version
        )

    def crash(self) -> None:
        """End at once; all connections break."""
        self.fleet.record.note("worker-crashes", id=self.id)
        self.stop_heartbeats()
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    def stop_heartbeats(self) -> None:
        """Send no more heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    # ---- discovery -------------------------------------------------------

    def describe(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": ZONE,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "born": self.born,
            "sequence": self._sequence,
        }

    async def _beat(self) -> None:
        await asyncio.sleep(self.heartbeat_delay_s)
        turn = random.randrange(len(self.fleet.controllers))
        while True:
            beat = self.describe()
            for _ in self.fleet.controllers:
                turn = (turn + 1) % len(self.fleet.controllers)
                machine = self.fleet.controllers[turn]
                if await self.tell(machine, "Heartbeat", beat):
                    break
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def tell(
        self, machine: Machine, kind: str, document: dict[str, Any]
    ) -> bool:
        """Send a heartbeat or a farewell; return whether it was taken."""
        path = f"/Instances.{kind}/{self.id}"
        answer = await call_json(machine.control, "POST", path, document)
        self.fleet.record.note(
            kind.lower(),
            id=self.id,
            to=machine.name,
            sequence=document.get("sequence"),
            answer=answer.status or answer.error,
        )
        return 200 <= answer.status < 300

    # ---- requests --------------------------------------------------------

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while request := await read_request(reader):
                await self.answer(request, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    def build_headers(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer to a request that has run."""
        return {
            "X-Request-Id": request.id,
            "X-Response-Seal": f"{request.id}.{self.id}.{self.born}",
            "X-Instance-Load": f"0,0,{self.slots}",
        }

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        if request.headers.get("x-expect-instance", self.id) != self.id:
            await reject(request, writer, 421)
            return
        self.note_run(request)
        if self.events:
            await self.stream(request, writer)
            return
        await asyncio.sleep(self.work_s)
        body = f"{request.id} {self.id} {self.born}".encode()
        await send_answer(writer, 200, self.build_headers(request), body)

    def note_run(self, request: Request) -> None:
        """Record that a request begins to run."""
        now = self.fleet.record.now()
        self.runs.append((now, self.born, request.id))
        self.fleet.record.note(
            "runs", worker=self.id, version=self.version, id=request.id
        )

    async def stream(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answer with a stream of events."""
        first = int(request.headers.get("last-event-id", "0") or 0) + 1
        headers = self.build_headers(request) | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(build_head(200, headers))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_pause_s)
            event = f"id: {number}\ndata: {number} of {self.version}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return Request(method, path, headers, await reader.readexactly(length))


def build_head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


async def send_answer(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes,
) -> None:
    """Send an answer with a length."""
    framed = headers | {"Content-Length": str(len(body))}
    writer.write(build_head(status, framed) + body)
    await writer.drain()


async def reject(
    request: Request, writer: asyncio.StreamWriter, status: int
) -> None:
    """Say that a request has not run."""
    headers = {"X-Request-Id": request.id, "X-Not-Executed": "1"}
    await send_answer(writer, status, headers, b"")


class Operator:
    """Sends configurations, and the same one again until it is answered."""

    def __init__(self, fleet: Fleet, document: dict[str, Any]) -> None:
        self.fleet = fleet
        self.document = document
        self.version = 0
        # Nodes that it picks from; all controllers unless they are named.
        self.nodes: list[Machine] | None = None

    async def replace(self, timeout_s: float = 20.0) -> float | None:
        """Send the next version; return how long the answer took."""
        self.version += 1
        document = {"version": self.version} | self.document
        started_at = time.monotonic()
        pause_s = 0.05
        for machine in itertools.cycle(self.nodes or self.fleet.controllers):
            if time.monotonic() - started_at > timeout_s:
                break
            answer = await call_json(
                machine.control, "POST", "/Configuration.Replace", document
            )
            self.fleet.record.note(
                "order",
                version=self.version,
                to=machine.name,
                answer=answer.status or answer.error,
            )
            if answer.status == 200:
                return time.monotonic() - started_at
            pause_s = min(pause_s * 1.5, 0.5)
            await asyncio.sleep(pause_s)
        return None

    async def read(self, machine: Machine) -> int | None:
        """Return the version that a machine reads back; None without one."""
        answer = await call_json(machine.control, "GET", "/Configuration.Read")
        if answer.status != 200:
            return None
        return int(json.loads(answer.body)["version"])


def build_document(
    routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration without its version."""
    return {
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": ACCOUNT, "apiKeys": [KEY], "priority": 1}],
    }


def build_route(
    name: str, service: str, kind: str, **fields: Any
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "stickySessions": False,
        "streamResumption": False,
    } | fields


def build_service(name: str) -> dict[str, Any]:
    """Return a plain service of a configuration."""
    return {
        "name": name,
        "healthCheckPath": "/health",
        "connectionLimit": 110,
        "protocol": "h1",
        "tls": False,
    }


def build_request_headers(
    id: str, deadline_ms: int = 3000, **extra: str
) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Host": HOST,
        "X-Request-Id": id,
        "X-Deadline-Ms": str(deadline_ms),
        "Api-Key": KEY,
    } | {name.replace("_", "-"): value for name, value in extra.items()}
