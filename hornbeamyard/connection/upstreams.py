"""HTTP connections to upstreams, and the check that they are alive."""

from __future__ import annotations

import json
import socket
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import quote

import anyio
import httpcore

from ..process.timers import Timers
from .client import Connection, open_connection

CONNECT_TIMEOUT_S = 2.0
STATUS_TIMEOUT_S = 2.0
STATUS_PATH = "/hornbeamyard/v1/status"
# Idle connections are closed before common servers close them (uvicorn: 5 s),
# because a request sent on a closing connection has no known outcome.
IDLE_TIMEOUT_S = 4.0
MAX_IDLE_CONNECTIONS = 64
# A caller that takes no byte for this long is cut off.
SLOW_CALLER_TIMEOUT_S = 60.0
MAX_CHECK_INTERVAL_S = 1.0

# What a request may end with while it uses a connection.
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


class UpstreamConnections:
    """Connections to upstreams, kept for reuse after whole exchanges only.

    Parameters
    ----------
    connect_timeout_s : float, optional
    idle_timeout_s : float, optional
        Time after which an idle connection is closed.
    unacknowledged_timeout_s : float, optional
        Time after which a connection fails whose bytes the other end doesn't
        acknowledge; 0 for the system's default of many minutes.

    Attributes
    ----------
    max_idle : int
        Idle connections that are kept for each upstream.
    opened : int
        Connections opened so far.
    """

    __slots__ = (
        "_connect_timeout_s",
        "_idle",
        "_idle_timeout_s",
        "_socket_options",
        "max_idle",
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
        self._socket_options = []
        if unacknowledged_timeout_s:
            value = int(unacknowledged_timeout_s * 1000)
            self._socket_options.append(
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, value)
            )
        self.max_idle = MAX_IDLE_CONNECTIONS
        self.opened = 0

    async def connect(self, address: str) -> Connection:
        """Return an idle connection to an upstream, or a new one.

        Parameters
        ----------
        address : str
            `http://ip:port`.

        Raises
        ------
        OSError
            If the upstream can't be reached; no byte was sent.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_idle() and not connection.has_expired():
                return connection
            await connection.aclose()
        host, _, port = address.removeprefix("http://").rpartition(":")
        self.opened += 1
        try:
            with anyio.fail_after(self._connect_timeout_s):
                return await open_connection(
                    host.strip("[]"),
                    int(port),
                    self._idle_timeout_s,
                    self._socket_options,
                )
        except TimeoutError:
            timeout_s = self._connect_timeout_s
            raise TimeoutError(
                f"no connection within {timeout_s:g} s"
            ) from None

    async def release(
        self, address: str, connection: Connection, complete: bool
    ) -> None:
        """Keep a connection after a whole exchange, or close it."""
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
        # Other tasks change the lists while a connection is being closed, so
        # all lists are gone through first.
        for address, idle in list(self._idle.items()):
            ended = [c for c in idle if c.has_expired()]
            expired += ended
            # The list stays the same one, as a request may be taking
            # connections from it.
            idle[:] = [c for c in idle if c not in ended]
            if not idle:
                del self._idle[address]
        for connection in expired:
            await connection.aclose()


class WatchedExchange(Protocol):
    """An exchange, as the check of silent connections sees it.

    Attributes
    ----------
    identity : str
        Names the attempt towards the upstream.
    address : str
    progress : int
        Grows with each chunk that arrives or is taken by the caller.
    waits_for_caller : bool
        Whether the caller, not the upstream, holds the exchange up.
    """

    identity: str
    address: str
    progress: int
    waits_for_caller: bool

    def drop(self, reason: str, by_upstream: bool = True) -> None:
        """End the exchange."""


class LivenessChecker:
    """Finds exchanges whose connection has gone silent.

    One task checks all exchanges, so that a chunk costs no timer.

    Parameters
    ----------
    upstreams : UpstreamConnections
    timers : Timers
    silence_s : float
        Time without a byte after which the upstream is asked.
    """

    __slots__ = ("_silence_s", "_timers", "_upstreams", "_watched")

    def __init__(
        self, upstreams: UpstreamConnections, timers: Timers, silence_s: float
    ) -> None:
        self._upstreams = upstreams
        self._timers = timers
        self._silence_s = silence_s
        # For each exchange its progress when last seen, and since when.
        self._watched: dict[WatchedExchange, tuple[int, float]] = {}

    def add(self, exchange: WatchedExchange) -> None:
        """Watch an exchange."""
        self._watched[exchange] = (exchange.progress, self._timers.now())

    def remove(self, exchange: WatchedExchange) -> None:
        """Stop to watch an exchange."""
        self._watched.pop(exchange, None)

    def list_watched(self) -> list[WatchedExchange]:
        """Return the exchanges that run."""
        return list(self._watched)

    async def run(self) -> None:
        """Check all exchanges until cancelled."""
        interval = min(MAX_CHECK_INTERVAL_S, self._silence_s / 4)
        async with anyio.create_task_group() as tasks:
            async for now in self._timers.subscribe(interval):
                for exchange, (last_progress, unchanged_since) in list(
                    self._watched.items()
                ):
                    if exchange.progress != last_progress:
                        self._watched[exchange] = (exchange.progress, now)
                    elif exchange.waits_for_caller:
                        if now - unchanged_since >= SLOW_CALLER_TIMEOUT_S:
                            exchange.drop(
                                "the caller reads too slowly",
                                by_upstream=False,
                            )
                    elif now - unchanged_since >= self._silence_s:
                        self._watched[exchange] = (last_progress, now)
                        tasks.start_soon(self._check, exchange)
                await self._upstreams.close_expired()

    async def _check(self, exchange: WatchedExchange) -> None:
        """Drop an exchange unless the upstream says that it still runs."""
        progress = exchange.progress
        timeout_s = min(STATUS_TIMEOUT_S, self._silence_s)
        state = await check_running(
            exchange.address, exchange.identity, timeout_s
        )
        if exchange.progress != progress or exchange not in self._watched:
            return
        if state is not None:
            exchange.drop(
                f"no byte came for {self._silence_s:g} s and {state}"
            )


@dataclass(slots=True)
class UpstreamStatus:
    """What an upstream answered when it was asked for its status.

    Attributes
    ----------
    code : int
        HTTP status.
    document : dict
        Empty when the answer is JSON, but not an object.
    """

    code: int
    document: dict[str, Any]


async def read_status(
    address: str, timeout_s: float, query: str = ""
) -> UpstreamStatus | None:
    """Ask an upstream for its status.

    It uses a fresh connection, as old ones may be silent.

    Returns
    -------
    Status or None
        None when no answer in JSON came within `timeout_s` seconds.
    """
    try:
        with anyio.fail_after(timeout_s):
            async with httpcore.AsyncConnectionPool() as fresh:
                response = await fresh.request(
                    "GET", address + STATUS_PATH + query
                )
        document = json.loads(response.content)
    except (*CONNECTION_ERRORS, TimeoutError, ValueError):
        return None
    if not isinstance(document, dict):
        document = {}
    return UpstreamStatus(response.status, document)


async def check_running(
    address: str, identity: str, timeout_s: float
) -> str | None:
    """Ask an upstream over a fresh connection whether a request runs.

    Returns
    -------
    str or None
        Why the request is believed not to run; None when it runs, or when
        the upstream is alive and doesn't tell.
    """
    query = f"?request={quote(identity)}"
    status = await read_status(address, timeout_s, query)
    if status is None:
        return "the upstream's status doesn't answer"
    if status.document.get("running") is False:
        return "the upstream doesn't run the request any more"
    return None
