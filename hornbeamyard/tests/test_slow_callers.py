"""Tests of the memory that responses to slow callers take."""

from __future__ import annotations

import socket
import threading
import tracemalloc
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import anyio
import anyio.to_thread
import pytest

from hornbeamyard.pool.upstream_registry import Upstream, UpstreamState
from hornbeamyard.process.directory_router import (
    RESPONSE_MEMORY_FRACTION,
    DirectoryRouter,
)
from hornbeamyard.version.routing import parse_routing

from .test_directory_router import build_router

KB = 1024
CALLERS = 24
# Of the sockets between router and callers, so that the system holds little of
# a response.
SOCKET_BUFFER_BYTES = 8 * KB
# Time in which the router reads whatever it doesn't leave to the upstream.
STALL_S = 1.0
REQUEST = b"GET /r/1 HTTP/1.1\r\nhost: h\r\nhornbeamyard-request: q1\r\n\r\n"
HEAD = (
    b"HTTP/1.1 200 OK\r\nhornbeamyard-request: q1\r\n"
    b"hornbeamyard-signature: s\r\ncontent-length: %d\r\n\r\n"
)


@contextmanager
def run_upstream(size: int) -> Iterator[int]:
    """Run an upstream that sends bodies of this size; yield its port."""
    response = HEAD % size + b"x" * size
    listener = socket.create_server(("127.0.0.1", 0), backlog=64)

    def respond(connection: socket.socket) -> None:
        with connection:
            try:
                while connection.recv(4 * KB):
                    connection.sendall(response)
            except OSError:
                pass

    def accept() -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=respond, args=(connection,), daemon=True
            ).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield listener.getsockname()[1]
    finally:
        listener.close()


def run(
    memory: int,
    size: int,
    timeout_ms: int,
    test: Callable[
        [DirectoryRouter, list[socket.socket], int], Awaitable[None]
    ],
) -> None:
    """Run a test with callers that have sent a request, and don't read.

    Parameters
    ----------
    memory : int
        Of the machine, in bytes.
    size : int
        Of each response's body, in bytes.
    timeout_ms : int
        Time limit of the route.
    test : callable
        Gets the router, the callers' sockets and the bytes that the process
        has allocated for their responses.
    """
    document = {
        "version": 1,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "path_prefix": "/r/",
                "repetition": "idempotent",
                "timeout_ms": timeout_ms,
                "shares": [{"pool": "app"}],
                "public": True,
            }
        ],
        "pools": [{"name": "app"}],
    }
    pages = {"SC_PAGE_SIZE": 1, "SC_PHYS_PAGES": memory}

    async def main(port: int) -> None:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("os.sysconf", pages.__getitem__)
            router, _, _ = build_router()
        router.routing = parse_routing(document).unwrap()
        address = f"127.0.0.1:{port}"
        upstream = Upstream(
            "u1", "app", address, "z", UpstreamState.READY, 64, 1
        )
        router._handle_upstreams([upstream])
        listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(router._server.serve, [listener])
            tracemalloc.start()
            callers = [
                await anyio.to_thread.run_sync(
                    open_caller, listener.getsockname()
                )
                for _ in range(CALLERS)
            ]
            try:
                await anyio.sleep(STALL_S)
                held = tracemalloc.get_traced_memory()[0]
                tracemalloc.stop()
                await test(router, callers, held)
            finally:
                tracemalloc.stop()
                for caller in callers:
                    caller.close()
                router._server.should_exit = True

    with run_upstream(size) as port:
        anyio.run(main, port)


def open_caller(address: tuple[str, int]) -> socket.socket:
    """Return the socket of a caller that has sent a request."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    caller.settimeout(20.0)
    caller.connect(address)
    caller.sendall(REQUEST)
    return caller


def read_body_size(caller: socket.socket) -> int:
    """Read a response to its end; return the number of `x` in its body."""
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024 * KB)
    received = bytearray()
    while not _is_whole(received):
        part = caller.recv(64 * KB)
        if not part:
            break
        received += part
    return received.partition(b"\r\n\r\n")[2].count(b"x")


def _is_whole(received: bytearray) -> bool:
    head, end, body = received.partition(b"\r\n\r\n")
    if not end or b"chunked" in head:
        return body.endswith(b"0\r\n\r\n")
    length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
    return len(body) >= int(length)


async def read_all(callers: list[socket.socket]) -> list[int]:
    """Return the sizes of the bodies that the callers receive."""
    sizes: list[int] = []

    async def read(caller: socket.socket) -> None:
        sizes.append(await anyio.to_thread.run_sync(read_body_size, caller))

    async with anyio.create_task_group() as tasks:
        for caller in callers:
            tasks.start_soon(read, caller)
    return sizes


@pytest.mark.parametrize("size", [2048 * KB, 200 * KB])
def test_total_is_bounded(size: int) -> None:
    """Guards against slow callers that take all memory of a router."""
    memory = 4096 * KB
    # Chunks on their way through the router, and the objects of a request.
    least = 110 * KB

    async def test(
        router: DirectoryRouter, callers: list[socket.socket], held: int
    ) -> None:
        assert held <= memory * RESPONSE_MEMORY_FRACTION + CALLERS * least
        assert await read_all(callers) == [size] * CALLERS
        await anyio.sleep(0.1)
        assert router._upstreams.buffers.size == 0

    run(memory, size, 30_000, test)


def test_each_response_is_bounded() -> None:
    """Guards against a response that is read far ahead of its caller."""
    size = 2048 * KB

    async def test(
        router: DirectoryRouter, callers: list[socket.socket], held: int
    ) -> None:
        # The start that is kept, what is read ahead and what is being sent.
        assert held <= CALLERS * (256 + 128 + 64) * KB
        assert await read_all(callers) == [size] * CALLERS

    run(1024 * 1024 * KB, size, 30_000, test)


def test_whole_response_is_delivered_late() -> None:
    """Guards against a response that is ready, and is cut at the deadline."""
    size = 200 * KB

    async def test(
        router: DirectoryRouter, callers: list[socket.socket], held: int
    ) -> None:
        assert await read_all(callers) == [size] * CALLERS

    run(1024 * 1024 * KB, size, 400, test)
