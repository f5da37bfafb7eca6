"""Tests of the connections to upstreams that are kept for reuse."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import anyio
import pytest

from hornbeamyard.connection.upstreams import UpstreamConnections

from .raw_upstream import run_raw_upstream, send_response


class IdleConnection:
    """An idle connection that can run a callback while it is closed."""

    def __init__(
        self,
        expired: bool = False,
        on_close: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._expired = expired
        self._on_close = on_close
        self.closed = False

    def has_expired(self) -> bool:
        return self._expired

    def is_idle(self) -> bool:
        return not self.closed

    async def aclose(self) -> None:
        self.closed = True
        if self._on_close is not None:
            await self._on_close()


class TestReuse:
    """Only open connections are reused, each by one request."""

    def test_not_when_closed_during_expiry(self) -> None:
        """Guards against reuse of closed connections.

        Requests got status 500 after an upstream had failed while expired
        connections to others were being closed.
        """

        async def test() -> None:
            async with run_raw_upstream(send_response()) as upstream:
                upstreams = UpstreamConnections()
                failed = f"http://127.0.0.1:{upstream.port}"
                kept = IdleConnection()

                async def fail() -> None:
                    await upstreams.close_idle(failed)

                expired = IdleConnection(expired=True, on_close=fail)
                upstreams._idle["http://127.0.0.1:1"] = [expired]  # type: ignore[list-item]
                upstreams._idle[failed] = [kept]  # type: ignore[list-item]
                await upstreams.close_expired()
                connection = await upstreams.connect(failed)
                assert connection is not kept
                await connection.aclose()

        anyio.run(test)

    def test_not_when_closed(self) -> None:
        """Guards against status 500 for a request on a closed connection."""

        async def test() -> None:
            async with run_raw_upstream(send_response()) as upstream:
                upstreams = UpstreamConnections()
                address = f"http://127.0.0.1:{upstream.port}"
                closed = IdleConnection()
                closed.closed = True
                upstreams._idle[address] = [closed]  # type: ignore[list-item]
                connection = await upstreams.connect(address)
                assert connection is not closed
                await connection.aclose()

        anyio.run(test)

    def test_one_request_per_connection(self) -> None:
        """Guards against a connection shared by two requests.

        While a request closes an expired connection, `close_expired` changes
        the list from which the request takes connections.
        """

        async def test() -> None:
            upstreams = UpstreamConnections()
            address = "http://127.0.0.1:1"
            kept = IdleConnection()
            ended = IdleConnection(
                expired=True, on_close=upstreams.close_expired
            )
            other = IdleConnection(expired=True)
            upstreams._idle[address] = [other, kept, ended]  # type: ignore[list-item]
            first = await upstreams.connect(address)
            assert first is kept  # type: ignore[comparison-overlap]
            assert kept not in upstreams._idle.get(address, [])

        anyio.run(test)


class TestEnd:
    """An upstream that refuses or closes new connections may have ended."""

    @pytest.mark.parametrize("others", ["held", "in use", "closed", "none"])
    def test_new_connections_are_reset(self, others: str) -> None:
        """Guards against a long queue that is taken for a crash.

        Streams were refused then, and requests as if they had crashed it.
        """

        async def test() -> None:
            accepts = True

            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                if accepts:
                    await reader.read()
                else:
                    reset(writer)

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            address = "http://{}:{}".format(*server.sockets[0].getsockname())
            upstreams = UpstreamConnections()
            refused: list[str] = []
            upstreams.on_refused = refused.append
            connection = None
            if others != "none":
                connection = await upstreams.connect(address)
                if others == "held":
                    await upstreams.release(address, connection, True)
                if others == "closed":
                    await connection.aclose()
            accepts = False
            has_ended = await upstreams.has_ended(address)
            assert has_ended is (others in ("closed", "none"))
            assert refused == ([address] if has_ended else [])
            await upstreams.close_idle(address)
            if connection is not None:
                await connection.aclose()
            await upstreams.close_expired()
            assert upstreams._open_connections == {}
            server.close()

        anyio.run(test)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
