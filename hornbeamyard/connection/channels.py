"""gRPC channels to other processes, one per address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import grpc
import grpc.aio
import logbook

from ..process.settings import Tls
from . import peers


class Channels:
    """Channels that are opened on first use and kept open.

    Parameters
    ----------
    tls : Tls or None
    build_stub : callable
        Returns the stub of a service on a channel.
    log : logbook.Logger
        Receives an error when another process refuses this one.
    """

    __slots__ = ("_build_stub", "_channels", "_log", "_tls")

    def __init__(
        self,
        tls: Tls | None,
        build_stub: Callable[[grpc.aio.Channel], Any],
        log: logbook.Logger,
    ) -> None:
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._log = log
        self._build_stub = build_stub
        self._tls = tls

    def open_stub(self, address: str) -> Any:
        """Return the stub of the service at an address."""
        channel = self._channels.get(address)
        if channel is None:
            channel = peers.open_channel(address, self._tls)
            self._channels[address] = channel
        return self._build_stub(channel)

    async def call(
        self,
        address: str,
        select_method: Callable[[Any], Any],
        request: Any,
        timeout_s: float,
    ) -> Any:
        """Make a unary call.

        Parameters
        ----------
        address : str
        select_method : callable
            Returns the method to call from a stub.
        request : message
        timeout_s : float
            Time limit in seconds.

        Returns
        -------
        message or None
            The reply; None if the call failed, or its channel was closed.
        """
        method = select_method(self.open_stub(address))
        try:
            return await peers.wait_call(method(request, timeout=timeout_s))
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.FAILED_PRECONDITION:
                self._log.error(
                    "controller {} refused this process: {}",
                    address,
                    error.details(),
                )
            return None
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            # The channel was closed meanwhile, which cancels its calls but
            # not the tasks that wait for them.
            return None

    async def close_channel(self, address: str) -> None:
        """Close the channel to a process that is no longer used."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close(grace=0)

    async def close(self) -> None:
        """Close all channels."""
        for address in list(self._channels):
            await self.close_channel(address)
