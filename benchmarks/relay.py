"""A TCP relay that counts the bytes of control traffic."""

from __future__ import annotations

from types import TracebackType

import anyio
import anyio.from_thread
from anyio.abc import SocketStream

MAX_CHUNK_BYTES = 65536


class CountingRelay:
    """Relays connections on loopback to other ports, in a thread.

    Parameters
    ----------
    ports : list of int
        Ports to which the relay connects.

    Attributes
    ----------
    relay_ports : list of int
        Port of the relay for each of them, in the same order.
    count : int
        Bytes relayed in both directions, without TCP and IP headers.
    """

    def __init__(self, ports: list[int]) -> None:
        self.relay_ports: list[int] = []
        self.count = 0
        self._ports = ports
        self._portal_context = anyio.from_thread.start_blocking_portal()

    def __enter__(self) -> CountingRelay:
        portal = self._portal_context.__enter__()
        for port in self._ports:
            _, relay_port = portal.start_task(self._serve, port)
            self.relay_ports.append(relay_port)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._portal_context.__exit__(RuntimeError, RuntimeError("stop"), None)

    async def _serve(
        self, port: int, *, task_status: anyio.abc.TaskStatus[int]
    ) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        task_status.started(
            listener.extra(anyio.abc.SocketAttribute.local_port)
        )

        async def relay(client: SocketStream) -> None:
            try:
                async with (
                    await anyio.connect_tcp("127.0.0.1", port) as server,
                    anyio.create_task_group() as tasks,
                ):
                    tasks.start_soon(self._copy, client, server)
                    await self._copy(server, client)
                    tasks.cancel_scope.cancel()
            except OSError:
                await client.aclose()

        await listener.serve(relay)

    async def _copy(self, source: SocketStream, sink: SocketStream) -> None:
        try:
            while True:
                data = await source.receive(MAX_CHUNK_BYTES)
                self.count += len(data)
                await sink.send(data)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            await sink.aclose()
