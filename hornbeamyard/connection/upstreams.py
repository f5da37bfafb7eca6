"""Reuse of HTTP connections to upstreams, and liveness checks."""

from __future__ import annotations

import json
import math
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import quote

import anyio
import httpcore

from ..process.timers import Timers
from .buffers import ResponseBuffers
from .client import Connection, open_connection

CONNECT_TIMEOUT_S = 2.0
STATUS_TIMEOUT_S = 2.0
# Turns of the event loop between which the time limit of a liveness check is
# divided. A router that stands still meanwhile leaves responses unread, so the
# limit must not run out at once when it goes on.
STATUS_TURNS = 20
STATUS_PATH = "/hornbeamyard/v1/status"
UNRESPONSIVE = "the upstream doesn't respond to status requests"
# Shorter than the timeout of common servers (uvicorn: 5 s), because a request
# sent on a connection that is being closed has no known outcome.
IDLE_TIMEOUT_S = 4.0
# Per upstream.
MAX_IDLE_CONNECTIONS = 64
# Time limit of a check whether an upstream still accepts connections, and the
# time in which a relay between the two closes one that it can't pass on.
LISTENING_TIMEOUT_S = 0.25
RELAY_CLOSE_S = 0.05
# An exchange ends if its caller reads no byte for this long.
SLOW_CALLER_TIMEOUT_S = 60.0
# Upper bound of the interval between liveness checks.
MAX_CHECK_INTERVAL_S = 1.0

# Connection errors with which a request may fail.
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


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
                return await open_connection(
                    host.strip("[]"),
                    int(port),
                    self._idle_timeout_s,
                    self._socket_options,
                    self.buffers,
                )
        except TimeoutError:
            raise TimeoutError(
                f"no connection within {timeout_s:g} s"
            ) from None
        except (ConnectionRefusedError, ConnectionResetError):
            self.on_refused(address)
            raise

    async def has_ended(self, address: str) -> bool:
        """Return whether an upstream refuses new connections.

        One that can't be reached at all may still run.

        Parameters
        ----------
        address : str
            `http://ip:port`.
        """
        try:
            connection = await self._open(address, LISTENING_TIMEOUT_S)
        except (ConnectionRefusedError, ConnectionResetError):
            return True
        except OSError:
            return False
        await anyio.sleep(RELAY_CLOSE_S)
        has_ended = not connection.is_idle()
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
        for connection in expired:
            await connection.aclose()


def _ignore_refusal(address: str) -> None:
    """Do nothing, where nobody asks which upstreams have ended."""


class WatchedExchange(Protocol):
    """The part of an exchange that the liveness checker uses.

    Attributes
    ----------
    attempt_id : str
        Id of the attempt, as sent to the upstream.
    address : str
        Of the upstream.
    progress : int
        Grows with each chunk received from the upstream or sent to the
        caller.
    waits_for_caller : bool
        Whether the exchange waits for the caller, not for the upstream.
    """

    attempt_id: str
    address: str
    progress: int
    waits_for_caller: bool

    def drop(self, reason: str, by_upstream: bool = True) -> None:
        """Abort the exchange.

        Parameters
        ----------
        reason : str
        by_upstream : bool, optional
            Whether the upstream is at fault.
        """


class LivenessChecker:
    """Aborts exchanges whose upstream or caller has stalled.

    One task checks all exchanges, so that chunks need no timers of their own.

    Parameters
    ----------
    upstreams : UpstreamConnections
    timers : Timers
    silence_s : float
        Time in seconds without a byte after which the upstream is asked
        whether the request still runs.
    """

    __slots__ = ("_silence_s", "_timers", "_upstreams", "_watched")

    def __init__(
        self, upstreams: UpstreamConnections, timers: Timers, silence_s: float
    ) -> None:
        self._upstreams = upstreams
        self._timers = timers
        self._silence_s = silence_s
        # By exchange, its last progress and the time of that progress or of
        # the last status request.
        self._watched: dict[WatchedExchange, tuple[int, float]] = {}

    def add(self, exchange: WatchedExchange) -> None:
        """Watch an exchange."""
        self._watched[exchange] = (exchange.progress, self._timers.now())

    def remove(self, exchange: WatchedExchange) -> None:
        """Stop watching an exchange."""
        self._watched.pop(exchange, None)

    def list_watched(self) -> list[WatchedExchange]:
        """Return the exchanges that are watched."""
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
        """Abort an exchange unless its upstream still runs the request."""
        progress = exchange.progress
        state = await self._ask(exchange)
        if exchange.progress != progress or exchange not in self._watched:
            return
        if state is not None:
            exchange.drop(
                f"no byte arrived for {self._silence_s:g} s and {state}"
            )

    async def _ask(self, exchange: WatchedExchange) -> str | None:
        """Return why an exchange is assumed not to run; None if it may."""
        timeout_s = min(STATUS_TIMEOUT_S, self._silence_s)
        state: str | None = UNRESPONSIVE
        async with anyio.create_task_group() as tasks:

            async def ask() -> None:
                nonlocal state
                state = await check_running(
                    exchange.address, exchange.attempt_id, math.inf
                )
                tasks.cancel_scope.cancel()

            tasks.start_soon(ask)
            for _ in range(STATUS_TURNS):
                await self._timers.sleep(timeout_s / STATUS_TURNS)
            tasks.cancel_scope.cancel()
        return state


@dataclass(slots=True)
class UpstreamStatus:
    """An upstream's response to a request for its status.

    Attributes
    ----------
    code : int
        HTTP status.
    document : dict
        Empty if the response is JSON but not an object.
    """

    code: int
    document: dict[str, Any]


async def read_status(
    address: str, timeout_s: float, query: str = ""
) -> UpstreamStatus | None:
    """Request an upstream's status over a new connection.

    Existing connections may have failed without notice.

    Parameters
    ----------
    address : str
        `http://ip:port`.
    timeout_s : float
        Time limit in seconds.
    query : str, optional
        Query string with its `?`.

    Returns
    -------
    UpstreamStatus or None
        None if there is no JSON response within the time limit.
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
    address: str, attempt_id: str, timeout_s: float
) -> str | None:
    """Ask an upstream over a new connection whether a request still runs.

    Parameters
    ----------
    address : str
        `http://ip:port`.
    attempt_id : str
        Id of the attempt, as sent to the upstream.
    timeout_s : float
        Time limit in seconds.

    Returns
    -------
    str or None
        Why the request is assumed not to run; None if it runs, or if the
        upstream's response doesn't say.
    """
    query = f"?request={quote(attempt_id)}"
    status = await read_status(address, timeout_s, query)
    if status is None:
        return UNRESPONSIVE
    if status.document.get("running") is False:
        return "the upstream no longer runs the request"
    return None
