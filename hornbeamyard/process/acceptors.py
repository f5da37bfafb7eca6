"""Connections that a listening socket accepts."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import logbook

# Connections that are accepted in one turn of the event loop.
ACCEPTS_PER_TURN = 16

_log = logbook.Logger("listeners")


class Acceptor:
    """Accepts connections, and pauses when the system has no resources.

    A server of asyncio schedules a new attempt for each accept that has
    failed, so that without free descriptors their number multiplies.

    Parameters
    ----------
    listener : socket.socket
        Listens; it is made non-blocking.
    build_protocol : callable
        Returns the protocol of a new connection.
    """

    __slots__ = ("_build_protocol", "_connecting", "_is_watching", "_listener")

    def __init__(
        self,
        listener: socket.socket,
        build_protocol: Callable[[], asyncio.Protocol],
    ) -> None:
        self._build_protocol = build_protocol
        self._connecting: set[asyncio.Task[None]] = set()
        self._is_watching = False
        self._listener = listener
        listener.setblocking(False)

    def start(self) -> None:
        """Accept connections, again after a pause."""
        if self._is_watching:
            return
        self._is_watching = True
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def stop(self) -> None:
        """Accept no more connections.

        It has to be called before the socket is closed: an event loop that
        still watches it doesn't notice connections to the next socket with
        the same descriptor.
        """
        if not self._is_watching:
            return
        self._is_watching = False
        asyncio.get_running_loop().remove_reader(self._listener)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                connection, _ = self._listener.accept()
            except (
                BlockingIOError,
                InterruptedError,
                ConnectionAbortedError,
            ):
                return
            except OSError as error:
                _log.error("can't accept connections for now: {}", error)
                self.stop()
                return
            connection.setblocking(False)
            task = asyncio.create_task(self._serve(connection))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)

    async def _serve(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(
                self._build_protocol, connection
            )
        except OSError as error:
            _log.info("a connection ended before it was served: {}", error)
            connection.close()
