"""Clients that exceed the limits don't harm the processes of a fleet.

The tests start processes with a lowered resource limit on loopback. The load
and the bounds are fixed; nothing depends on the machine's speed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import threading
import time
from collections.abc import AsyncIterator, Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import anyio
import httpcore
import pytest

from .fleet import find_free_port
from .test_process_start import Host

TIMEOUT_S = 30.0
MEBIBYTE = 1024 * 1024
# Limit of the data segment, set for each process.
DATA_LIMIT = 384 * MEBIBYTE
# Memory beside the room for requests that a crowd may cost at most.
MEMORY_ALLOWANCE = 48 * MEBIBYTE
# Fraction of the limit that request bodies may take.
ROOM_FRACTION = 1 / 4
# What may stay in use when the crowd has gone.
RETAINED_ALLOWANCE = 64 * MEBIBYTE
DESCRIPTOR_ALLOWANCE = 32
CONNECTIONS = 64
SMALL_CHUNK_CONNECTIONS = 16
MAX_BODY = 4 * MEBIBYTE
# Body limit of a controller's operator path.
MAX_DOCUMENT = 16 * MEBIBYTE
SMALL_CHUNK_BODY = 64 * 1024
FAR_OVER = 2_000_000_000
# Bytes that a client far over the limit sends, unless it is stopped.
SENT_OVER = 24 * MEBIBYTE
# A client that can't send for this time has been stopped.
STOPPED_S = 3.0
PATH = "/x"
OPERATOR_PATH = "/hornbeamyard/v1/routing"
FRONT_HEAD = (
    f"POST {PATH} HTTP/1.1\r\nhost: a.example\r\nhornbeamyard-request: q\r\n"
).encode()
OPERATOR_HEAD = f"PUT {OPERATOR_PATH} HTTP/1.1\r\nhost: a\r\n".encode()
# Runs the daemon with a limit of its data segment.
LIMITED_DAEMON = f"""
import os, resource, sys
resource.setrlimit(resource.RLIMIT_DATA, ({DATA_LIMIT}, {DATA_LIMIT}))
os.execv(sys.executable, [sys.executable, "-m",
    "hornbeamyard.process.daemon", *sys.argv[1:]])
"""

Pieces = Callable[[bytes], Iterator[bytes]]


def build_lengthy(size: int, sent: int) -> Pieces:
    """Return a body with a length, of which a part is sent."""

    def list_pieces(head: bytes) -> Iterator[bytes]:
        yield head + f"content-length: {size}\r\n\r\n".encode()
        for start in range(0, sent, MEBIBYTE):
            yield bytes(min(MEBIBYTE, sent - start))

    return list_pieces


def build_chunked(sent: int, chunk_size: int, end: bytes = b"") -> Pieces:
    """Return a chunked body, by default without its end."""

    def list_pieces(head: bytes) -> Iterator[bytes]:
        yield head + b"transfer-encoding: chunked\r\n\r\n"
        chunk = f"{chunk_size:x}\r\n".encode() + bytes(chunk_size) + b"\r\n"
        count, rest = divmod(sent, chunk_size)
        together = max(1, MEBIBYTE // len(chunk))
        while count:
            taken = min(together, count)
            yield chunk * taken
            count -= taken
        if rest:
            yield f"{rest:x}\r\n".encode() + bytes(rest) + b"\r\n"
        if end:
            yield end

    return list_pieces


# Loads by name: connections, and what each sends before it stays open.
LOADS: dict[str, tuple[int, Pieces]] = {
    "length far over": (CONNECTIONS, build_lengthy(FAR_OVER, SENT_OVER)),
    "chunks far over": (CONNECTIONS, build_chunked(SENT_OVER, MEBIBYTE)),
    "large chunks, one byte short": (
        CONNECTIONS,
        build_chunked(MAX_BODY - 1, MEBIBYTE),
    ),
    "chunks of one byte, one byte short": (
        SMALL_CHUNK_CONNECTIONS,
        build_chunked(SMALL_CHUNK_BODY - 1, 1),
    ),
    "length, one byte short": (
        CONNECTIONS,
        build_lengthy(MAX_BODY, MAX_BODY - 1),
    ),
}


class Upstream(BaseHTTPRequestHandler):
    """Answers with the size of the body."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        """Answer a request with the size of its body."""
        size = 0
        if "content-length" in self.headers:
            size = int(self.headers["content-length"])
            self.rfile.read(size)
        content = str(size).encode()
        self.send_response(200)
        self.send_header("hornbeamyard-signature", "s")
        request_id = self.headers.get("hornbeamyard-request", "")
        self.send_header("hornbeamyard-request", request_id)
        self.send_header("content-length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    def handle(self) -> None:
        """Serve a connection, which the router may reset."""
        with contextlib.suppress(ConnectionResetError):
            super().handle()

    def log_message(self, *arguments: Any) -> None:
        """Log nothing."""


class Process:
    """A process under test, with its memory before the load."""

    def __init__(self, host: Host, popen: Any) -> None:
        self.host = host
        self.popen = popen
        self.calm_size = self.calm_descriptors = 0

    def read_size(self, name: str) -> int:
        """Return a size of the process in bytes, such as `VmRSS`."""
        text = Path(f"/proc/{self.popen.pid}/status").read_text()
        for line in text.splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) * 1024
        raise AssertionError(f"the process has ended: {name}")

    def count_descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(list(Path(f"/proc/{self.popen.pid}/fd").iterdir()))

    def measure(self) -> None:
        """Record the size before the load."""
        self.calm_size = self.read_size("VmRSS")
        self.calm_descriptors = self.count_descriptors()

    def check(self, connections: int) -> None:
        """Check that the process lives within its limits."""
        assert self.popen.poll() is None, self.host.log.read_text()[-2000:]
        room = DATA_LIMIT * ROOM_FRACTION + MEMORY_ALLOWANCE
        grown = self.read_size("VmHWM") - self.calm_size
        assert grown <= room, f"{grown / MEBIBYTE:.0f} MiB"
        added = self.count_descriptors() - self.calm_descriptors
        assert added <= connections + DESCRIPTOR_ALLOWANCE

    def check_retained(self) -> None:
        """Check that memory is released when the load has gone."""
        deadline = time.monotonic() + TIMEOUT_S
        grown = 0
        while time.monotonic() < deadline:
            grown = self.read_size("VmRSS") - self.calm_size
            if grown <= RETAINED_ALLOWANCE:
                return
            time.sleep(0.2)
        raise AssertionError(f"retains {grown / MEBIBYTE:.0f} MiB")


class Fleet:
    """A controller, a router and an upstream."""

    def __init__(self, folder: Path, body_size: int) -> None:
        self.body_size = body_size
        self.hosts = {}
        for role in ("controller", "router"):
            (folder / role).mkdir()
            self.hosts[role] = Host(folder / role, role)
        internal = self.hosts["controller"].ports["internal"]
        router = self.hosts["router"].settings
        router["directory"]["seeds"] = [f"127.0.0.1:{internal}"]
        router["host"] = "h2"
        self.processes: dict[str, Process] = {}
        self.upstream_port = find_free_port()

    def find_port(self, role: str, purpose: str) -> int:
        """Return a port of a process."""
        return self.hosts[role].ports[purpose]

    def start(self, stack: contextlib.ExitStack) -> None:
        """Start everything, until a request is answered."""
        server = ThreadingHTTPServer(
            ("127.0.0.1", self.upstream_port), Upstream
        )
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
        stack.callback(server.server_close)
        stack.callback(server.shutdown)
        for role, host in self.hosts.items():
            popen = stack.enter_context(
                host.run("-c", LIMITED_DAEMON, str(host.path))
            )
            self.processes[role] = Process(host, popen)
        document = {
            "version": 1,
            "routes": [
                {
                    "name": "x",
                    "host": "a.example",
                    "path_prefix": "/",
                    "repetition": "idempotent",
                    "shares": [{"pool": "app", "weight": 1}],
                    "timeout_ms": 60_000,
                }
            ],
            "pools": [{"name": "app"}],
            "limits": {"body_size": self.body_size},
        }
        body = json.dumps(document).encode()
        self.call_controller("PUT", OPERATOR_PATH, body)
        stop = threading.Event()
        stack.callback(stop.set)
        announcer = threading.Thread(
            target=self._announce, args=(stop,), daemon=True
        )
        announcer.start()
        self.request()
        for process in self.processes.values():
            process.measure()

    def _announce(self, stop: threading.Event) -> None:
        sequence = 0
        while not stop.wait(0.3):
            sequence += 1
            document = {
                "pool": "app",
                "address": f"127.0.0.1:{self.upstream_port}",
                "availability_zone": "zone-a",
                "slots": 8,
                "sequence": sequence,
            }
            with contextlib.suppress(TimeoutError):
                self.call_controller(
                    "PUT",
                    "/hornbeamyard/v1/upstreams/u1",
                    json.dumps(document).encode(),
                )

    def call_controller(
        self, method: str, path: str, body: bytes = b""
    ) -> bytes:
        """Call a controller until it answers 200; return the body."""
        port = self.find_port("controller", "control")
        url = f"http://127.0.0.1:{port}{path}"
        return call(method, url, body)

    def request(self) -> None:
        """Send an ordinary request until it is served."""
        url = f"http://127.0.0.1:{self.find_port('router', 'front')}{PATH}"
        assert call("POST", url, b"small") == b"5"

    def check(self, connections: int) -> None:
        """Check that all processes live within their limits and serve."""
        self.request()
        self.call_controller("GET", OPERATOR_PATH)
        for process in self.processes.values():
            process.check(connections)


def call(method: str, url: str, body: bytes) -> bytes:
    """Send a request until its status is 200; return the body."""
    deadline = time.monotonic() + TIMEOUT_S
    result: Any = None
    timeout = {"connect": 5.0, "read": 5.0, "write": 5.0}
    while time.monotonic() < deadline:
        try:
            response = httpcore.request(
                method,
                url,
                headers={"host": "a.example", "hornbeamyard-request": "q"},
                content=body,
                extensions={"timeout": timeout},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            result = error
        else:
            result = response.status, response.content[:200]
            if response.status == 200:
                return response.content
        time.sleep(0.1)
    raise TimeoutError(f"{method} {url}: {result}")


@pytest.fixture
def fleet(tmp_path: Path, request: Any) -> Iterator[Fleet]:
    """Run a fleet with a body limit of 4 MiB, or of the parameter."""
    body_size = getattr(request, "param", MAX_BODY)
    with contextlib.ExitStack() as stack:
        running = Fleet(tmp_path, body_size)
        running.start(stack)
        yield running


async def send_pieces(port: int, pieces: Iterator[bytes]) -> asyncio.Transport:
    """Send as much as the process takes; return the open connection."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=2**16, loop=loop)
    transport, protocol = await loop.create_connection(
        lambda: asyncio.StreamReaderProtocol(reader), "127.0.0.1", port
    )
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    with contextlib.suppress(OSError, TimeoutError):
        for piece in pieces:
            writer.write(piece)
            await asyncio.wait_for(writer.drain(), STOPPED_S)
    return transport


@contextlib.asynccontextmanager
async def hold_load(port: int, head: bytes, load: str) -> AsyncIterator[int]:
    """Hold the connections of a load open; yield their number."""
    number, list_pieces = LOADS[load]
    transports = await asyncio.gather(
        *(send_pieces(port, list_pieces(head)) for _ in range(number))
    )
    try:
        yield number
    finally:
        for transport in transports:
            transport.abort()


def run_load(fleet: Fleet, port: int, head: bytes, load: str) -> None:
    """Run a load; check the fleet while it is held, and afterwards."""

    async def run() -> None:
        async with hold_load(port, head, load) as number:
            await anyio.to_thread.run_sync(fleet.check, number)

    asyncio.run(run())
    fleet.check(0)
    for process in fleet.processes.values():
        process.check_retained()


@pytest.mark.process
class TestRouter:
    """A router survives its callers."""

    @pytest.mark.parametrize("load", LOADS)
    def test_bodies(self, fleet: Fleet, load: str) -> None:
        """Guards against bodies that exhaust the memory of a router."""
        port = fleet.find_port("router", "front")
        run_load(fleet, port, FRONT_HEAD, load)

    def test_length_over_limit(self, fleet: Fleet) -> None:
        """Guards against a body that is read before it is refused."""
        port = fleet.find_port("router", "front")
        check_refused_by_head(port, FRONT_HEAD, MAX_BODY + 1)
        fleet.check(0)


@pytest.mark.process
class TestController:
    """A controller survives clients of its operator path."""

    @pytest.mark.parametrize("load", LOADS)
    def test_bodies(self, fleet: Fleet, load: str) -> None:
        """Guards against bodies that exhaust the memory of a controller."""
        port = fleet.find_port("controller", "control")
        run_load(fleet, port, OPERATOR_HEAD, load)

    def test_length_over_limit(self, fleet: Fleet) -> None:
        """Guards against a body that is read before it is refused."""
        port = fleet.find_port("controller", "control")
        check_refused_by_head(port, OPERATOR_HEAD, MAX_DOCUMENT + 1)
        fleet.check(0)


@pytest.mark.process
class TestOtherPorts:
    """Bytes without end harm no port for peers or monitoring."""

    @pytest.mark.parametrize(
        ("role", "purpose"),
        [
            ("controller", "internal"),
            ("controller", "metrics"),
            ("router", "readiness"),
            ("router", "metrics"),
        ],
    )
    @pytest.mark.parametrize("load", ["length far over", "chunks far over"])
    def test_endless(
        self, fleet: Fleet, role: str, purpose: str, load: str
    ) -> None:
        """Guards against a port without limits."""
        head = b"POST /metrics HTTP/1.1\r\nhost: a\r\n"
        run_load(fleet, fleet.find_port(role, purpose), head, load)


@pytest.mark.process
class TestWithinLimits:
    """A single request at the limit is served, whatever its shape."""

    @pytest.mark.parametrize(
        "fleet", [256 * 1024], indirect=True, ids=["256 KiB"]
    )
    def test_shapes(self, fleet: Fleet) -> None:
        """Guards against limits that harm a client within them."""
        size = fleet.body_size
        port = fleet.find_port("router", "front")
        for pieces in (
            build_lengthy(size, size),
            build_chunked(size, size, b"0\r\n\r\n"),
            build_chunked(size, 1000, b"0\r\nt: 1\r\n\r\n"),
            build_chunked(size, 1, b"0\r\n\r\n"),
        ):
            answer = asyncio.run(exchange(port, pieces(FRONT_HEAD)))
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert answer.endswith(f"\r\n\r\n{size}".encode())
        # One byte more in chunks is refused, also without the end.
        pieces = build_chunked(size + 1, 1000)
        answer = asyncio.run(exchange(port, pieces(FRONT_HEAD)))
        assert answer.startswith(b"HTTP/1.1 413 ")


def check_refused_by_head(port: int, head: bytes, size: int) -> None:
    """Check that a length over the limit is refused without any body."""
    pieces = build_lengthy(size, 0)(head + b"expect: 100-continue\r\n")
    answer = asyncio.run(exchange(port, pieces))
    assert answer.startswith(b"HTTP/1.1 413 ")


async def exchange(port: int, pieces: Iterator[bytes]) -> bytes:
    """Send a request; return the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            if not head.startswith(b"HTTP/1.1 200 "):
                return head
            [line] = [
                line
                for line in head.lower().split(b"\r\n")
                if line.startswith(b"content-length:")
            ]
            return head + await reader.readexactly(int(line[15:]))
    finally:
        writer.close()
