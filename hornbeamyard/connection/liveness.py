"""Checks whether upstreams still run requests."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import quote

import anyio
from result import Err

from ..process.documents import read_json
from ..process.timers import Timers
from .retrieval import retrieve
from .upstreams import UpstreamConnections

STATUS_TIMEOUT_S = 2.0
# Turns of the event loop between which the time limit of a liveness check is
# divided. A router that stands still meanwhile leaves responses unread, so the
# limit must not run out at once when it goes on.
STATUS_TURNS = 20
STATUS_PATH = "/hornbeamyard/v1/status"
# A status has a few fields.
MAX_STATUS_BYTES = 64 * 1024
UNRESPONSIVE = "the upstream doesn't respond to status requests"
# An exchange ends if its caller reads no byte for this long.
SLOW_CALLER_TIMEOUT_S = 60.0
# Upper bound of the interval between liveness checks.
MAX_CHECK_INTERVAL_S = 1.0


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
        None if there is no JSON response within the time limit, or it has
        more than `MAX_STATUS_BYTES`.
    """
    try:
        code, body = await retrieve(
            address.removeprefix("http://"),
            STATUS_PATH + query,
            MAX_STATUS_BYTES,
            timeout_s,
        )
    except OSError:
        return None
    parsed = read_json(body)
    if isinstance(parsed, Err):
        return None
    document = parsed.ok_value
    return UpstreamStatus(code, document if isinstance(document, dict) else {})


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
