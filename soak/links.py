"""Proxies on loopback that block, delay, silence and reset connections."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass, field

import anyio
import anyio.abc

MAX_CHUNK_BYTES = 64 * 1024
POLL_S = 0.02
# SO_LINGER on with a timeout of 0: closing the socket sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(slots=True, eq=False)
class Connection:
    """One proxied connection: its streams to the client and to the server.

    Attributes
    ----------
    client, server : anyio.abc.SocketStream
    silenced : bool
        Whether the proxy forwards nothing any more but keeps both sides open.
    """

    client: anyio.abc.SocketStream
    server: anyio.abc.SocketStream
    silenced: bool = False

    def reset(self) -> None:
        """Reset both sides at once."""
        for stream in (self.client, self.server):
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            if raw.fileno() < 0:
                continue
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            # Closing the stream would flush it first and delay the reset.
            stream._transport.abort()  # type: ignore[attr-defined]


@dataclass(slots=True)
class Link:
    """A proxy for all connections to one address of a process.

    Attributes
    ----------
    name : str
        Process and purpose, such as `router-0/callers`.
    port : int
        Port of the proxy.
    target_port : int
        Port at which the process listens.
    blocks_requests, blocks_responses : bool
        Whether bytes to the process, or from it, are held back.
    delay_s : float
        Delay of each chunk in both directions.
    connections : set of Connection
        Open connections.
    """

    name: str
    port: int
    target_port: int
    blocks_requests: bool = False
    blocks_responses: bool = False
    delay_s: float = 0.0
    connections: set[Connection] = field(default_factory=set)

    @property
    def address(self) -> str:
        """IP address and port of the proxy."""
        return f"127.0.0.1:{self.port}"

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port, reuse_port=False
        )
        async with listener:
            await listener.serve(self._relay)

    def heal(self) -> None:
        """Stop blocking and delaying; silenced connections stay silent."""
        self.blocks_requests = self.blocks_responses = False
        self.delay_s = 0.0

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.reset()

    def silence(self) -> None:
        """Silence all open connections permanently; new ones work."""
        for connection in self.connections:
            connection.silenced = True

    async def _relay(self, client: anyio.abc.SocketStream) -> None:
        async with client:
            while self.blocks_requests:
                await anyio.sleep(POLL_S)
            try:
                server = await anyio.connect_tcp("127.0.0.1", self.target_port)
            except OSError:
                return
            connection = Connection(client, server)
            self.connections.add(connection)
            try:
                async with server, anyio.create_task_group() as tasks:
                    tasks.start_soon(self._forward, connection, True)
                    tasks.start_soon(self._forward, connection, False)
            finally:
                self.connections.discard(connection)

    async def _forward(self, connection: Connection, to_server: bool) -> None:
        """Forward the bytes of one direction until it ends."""
        source, sink = connection.client, connection.server
        if not to_server:
            source, sink = sink, source
        try:
            while True:
                data = await source.receive(MAX_CHUNK_BYTES)
                if self.delay_s:
                    await anyio.sleep(self.delay_s)
                while connection.silenced or self._is_blocked(to_server):
                    await anyio.sleep(POLL_S)
                await sink.send(data)
        except anyio.EndOfStream:
            await self._forward_eof(connection, sink, to_server)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # A blocked link holds back a reset as it holds back data.
            while connection.silenced or self._is_blocked(to_server):
                await anyio.sleep(POLL_S)
            connection.reset()

    async def _forward_eof(
        self,
        connection: Connection,
        sink: anyio.abc.SocketStream,
        to_server: bool,
    ) -> None:
        while connection.silenced or self._is_blocked(to_server):
            await anyio.sleep(POLL_S)
        try:
            await sink.send_eof()
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The other direction has already ended the connection.
            return
        if not to_server:
            # An HTTP server that closes its side reads no more requests.
            await sink.aclose()

    def _is_blocked(self, to_server: bool) -> bool:
        return self.blocks_requests if to_server else self.blocks_responses
