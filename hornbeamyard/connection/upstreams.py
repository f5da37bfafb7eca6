"""Reuse of HTTP connections to upstreams."""

from __future__ import annotations

import socket
from collections.abc import Callable
from weakref import WeakSet

import anyio

from .buffers import ResponseBuffers
from .client import Connection, open_connection
from .pacing import ReadPacer

CONNECT_TIMEOUT_S = 2.0
# Shorter than the timeout of common servers (uvicorn: 5 s), because a request
# sent on a connection that is being closed has no known outcome.
IDLE_TIMEOUT_S = 4.0
# Per upstream.
MAX_IDLE_CONNECTIONS = 64
# Time limit of a check whether an upstream still accepts connections, and the
# time in which a relay between the two closes one that it can't pass on.
LISTENING_TIMEOUT_S = 0.25
RELAY_CLOSE_S = 0.05
# Connection errors with which a request may fail.
CONNECTION_ERRORS = (OSError,)


class UpstreamConnections:
    """Connections to upstreams, kept for reuse after complete exchanges.

    Parameters
    ----------
    connect_timeout_s : float, optional
        Time limit for opening a connection, in seconds.
    idle_timeout_s : float, optional
        Time in seconds after which an idle connection is closed.
    unacknowledged_timeout_s : float, optional
        Time in seconds after which a connection fails if sent bytes aren't
        acknowledged; 0 for the system's default of many minutes.

    Attributes
    ----------
    buffers : ResponseBuffers
        Parts of responses that wait for their callers.
    max_idle : int
        Idle connections kept per upstream.
    on_refused : callable
        Called with the address of an upstream that refuses a new connection,
        or closes it at once when it is checked.
    opened : int
        Connections opened so far.
    """

    __slots__ = (
        "_connect_timeout_s",
        "_idle",
        "_idle_timeout_s",
        "_open_connections",
        "_pacer",
        "_socket_options",
        "buffers",
        "max_idle",
        "on_refused",
        "opened",
    )

    def __init__(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        unacknowledged_timeout_s: float = 0.0,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[Connection]] = {}
        self._idle_timeout_s = idle_timeout_s
        # By address; those in use as well.
        self._open_connections: dict[str, WeakSet[Connection]] = {}
        self._pacer = ReadPacer()
        self._socket_options = []
        if unacknowledged_timeout_s:
            value = int(unacknowledged_timeout_s * 1000)
            self._socket_options.append(
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, value)
            )
        self.buffers = ResponseBuffers()
        self.max_idle = MAX_IDLE_CONNECTIONS
        self.on_refused: Callable[[str], None] = _ignore_refusal
        self.opened = 0

    async def connect(self, address: str) -> Connection:
        """Return an idle connection to an upstream, or a new one.

        Parameters
        ----------
        address : str
            `http://ip:port`.

        Returns
        -------
        Connection

        Raises
        ------
        OSError
            If the upstream can't be reached; no byte of a request was sent.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_idle() and not connection.has_expired():
                return connection
            await connection.aclose()
        return await self._open(address, self._connect_timeout_s)

    async def _open(self, address: str, timeout_s: float) -> Connection:
        host, _, port = address.removeprefix("http://").rpartition(":")
        self.opened += 1
        try:
            with anyio.fail_after(timeout_s):
                connection = await open_connection(
                    host.strip("[]"),
                    int(port),
                    self._idle_timeout_s,
                    self._socket_options,
                    self.buffers,
                    self._pacer,
                )
        except TimeoutError:
            raise TimeoutError(
                f"no connection within {timeout_s:g} s"
            ) from None
        except ConnectionRefusedError:
            self.on_refused(address)
            raise
        except ConnectionResetError:
            if not self._has_open_connection(address):
                self.on_refused(address)
            raise
        self._open_connections.setdefault(address, WeakSet()).add(connection)
        return connection

    def _has_open_connection(self, address: str) -> bool:
        """Return whether any connection to an upstream holds.

        An upstream that has ended has taken all of them along, while one with
        a long queue only closes those that are new.
        """
        connections = self._open_connections.get(address, ())
        return any(connection.is_open() for connection in connections)

    async def has_ended(self, address: str) -> bool:
        """Return whether an upstream refuses new connections.

        One that can't be reached at all may still run, and so does one that
        closes a new connection while another one holds.

        Parameters
        ----------
        address : str
            `http://ip:port`.
        """
        try:
            connection = await self._open(address, LISTENING_TIMEOUT_S)
        except ConnectionRefusedError:
            return True
        except ConnectionResetError:
            return not self._has_open_connection(address)
        except OSError:
            return False
        await anyio.sleep(RELAY_CLOSE_S)
        has_ended = not connection.is_idle() and not (
            self._has_open_connection(address)
        )
        if has_ended:
            self.on_refused(address)
        await self.release(address, connection, not has_ended)
        return has_ended

    async def release(
        self, address: str, connection: Connection, complete: bool
    ) -> None:
        """Keep a connection for reuse, or close it.

        Parameters
        ----------
        address : str
        connection : Connection
        complete : bool
            Whether its exchange was complete; otherwise it is closed.
        """
        idle = self._idle.setdefault(address, [])
        if (
            complete
            and not connection.has_expired()
            and len(idle) < self.max_idle
        ):
            idle.append(connection)
            return
        await connection.aclose()

    async def close_idle(self, address: str) -> None:
        """Close all idle connections to an upstream."""
        for connection in self._idle.pop(address, []):
            await connection.aclose()

    async def close_expired(self) -> None:
        """Close connections that were idle for too long."""
        expired = []
        # Other tasks change the lists during each await, so all expired
        # connections are removed before the first one is closed.
        for address, idle in list(self._idle.items()):
            ended = [c for c in idle if c.has_expired()]
            expired += ended
            # Changed in place: `connect` may be taking connections from it.
            idle[:] = [c for c in idle if c not in ended]
            if not idle:
                del self._idle[address]
        for address, connections in list(self._open_connections.items()):
            if not any(connection.is_open() for connection in connections):
                del self._open_connections[address]
        for connection in expired:
            await connection.aclose()


def _ignore_refusal(address: str) -> None:
    """Do nothing, where nobody asks which upstreams have ended."""
