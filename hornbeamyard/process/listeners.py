"""Listening addresses, which may be taken for a while.

An address may still be held by an earlier process, or its interface may not
be up yet. A process doesn't end for that: it tries again until it succeeds.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, TypeVar

import anyio
import anyio.abc
import grpc.aio
import logbook

from ..connection import peers
from ..connection.limits import ConnectionLimits, build_protocol
from .servers import BACKLOG, EmbeddedServer, build_server
from .settings import Tls
from .timers import Timers

# Interval of attempts to listen on an address.
RETRY_INTERVAL_S = 0.1
# Interval of log lines while they fail.
LOG_INTERVAL_S = 10.0
# Time after which a server that has failed is started again.
RESTART_DELAY_S = 1.0

T = TypeVar("T")

_log = logbook.Logger("listeners")


def bind(address: str) -> socket.socket:
    """Return a non-blocking socket that is bound but doesn't listen yet.

    Parameters
    ----------
    address : str
        IP address and port.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only for sockets that name their protocol.
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        # Connections of an earlier process may still be closing.
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            bound.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        bound.bind((host, int(port)))
        bound.setblocking(False)
    except OSError:
        bound.close()
        raise
    return bound


def bind_and_listen(address: str) -> socket.socket:
    """Return a non-blocking listening socket.

    Parameters
    ----------
    address : str
        IP address and port.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    listener = bind(address)
    try:
        # Two sockets can be bound to an address until one of them listens.
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


async def listen(address: str, purpose: str, timers: Timers) -> socket.socket:
    """Return a listening socket, as soon as the address can be bound.

    Parameters
    ----------
    address : str
        IP address and port.
    purpose : str
        What the address is for, for the log.
    timers : Timers
    """
    return await _retry(
        lambda: bind_and_listen(address), address, purpose, timers
    )


async def listen_until(
    stop: anyio.Event, address: str, purpose: str, timers: Timers
) -> socket.socket | None:
    """Return a listening socket; None if `stop` is set before there is one.

    Parameters
    ----------
    stop : anyio.Event
    address : str
        IP address and port.
    purpose : str
        What the address is for, for the log.
    timers : Timers
    """
    listener = None
    async with anyio.create_task_group() as tasks:

        async def cancel_on_stop() -> None:
            await stop.wait()
            tasks.cancel_scope.cancel()

        tasks.start_soon(cancel_on_stop)
        listener = await listen(address, purpose, timers)
        tasks.cancel_scope.cancel()
    return listener


async def start_grpc_server(
    server: grpc.aio.Server,
    address: str,
    tls: Tls | None,
    timers: Timers,
) -> None:
    """Start a server of the fleet as soon as its address can be bound.

    Parameters
    ----------
    server : grpc.aio.Server
    address : str
        IP address and port.
    tls : Tls or None
    timers : Timers
    """

    def add_port() -> None:
        # gRPC's own error doesn't tell why an address can't be bound.
        bind(address).close()
        peers.add_port(server, address, tls)

    await _retry(add_port, address, "the fleet's processes", timers)
    await server.start()


async def serve(
    app: Any,
    address: str,
    purpose: str,
    timers: Timers,
    limits: ConnectionLimits,
) -> None:
    """Serve an ASGI application until cancelled, whatever fails.

    Parameters
    ----------
    app : ASGI application
    address : str
        IP address and port.
    purpose : str
        What the address is for, for the log.
    timers : Timers
    limits : ConnectionLimits
    """
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(limits.run)
        while True:
            listener = await listen(address, purpose, timers)
            server: EmbeddedServer = build_server(
                app, address, build_protocol(limits)
            )
            try:
                await server.serve([listener])
            except Exception as error:
                _log.exception(
                    "the server for {} has failed and starts again: {}",
                    purpose,
                    error,
                )
            finally:
                listener.close()
            await timers.sleep(RESTART_DELAY_S)


async def _retry(
    attempt: Callable[[], T], address: str, purpose: str, timers: Timers
) -> T:
    logged_at = None
    while True:
        try:
            result = attempt()
        except (OSError, RuntimeError) as error:
            now = timers.now()
            if logged_at is None or now - logged_at >= LOG_INTERVAL_S:
                logged_at = now
                _log.warning(
                    "can't listen on {} for {} yet: {}",
                    address,
                    purpose,
                    error,
                )
        else:
            _log.info("listening on {} for {}", address, purpose)
            return result
        await timers.sleep(RETRY_INTERVAL_S)
