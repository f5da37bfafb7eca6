"""A relay of gRPC calls that loses replies."""

from __future__ import annotations

import functools

import grpc
import grpc.aio
from anyio.from_thread import start_blocking_portal

from .fleet import find_free_port


class LossyRelay:
    """Relays gRPC calls to a controller and drops some replies to patches.

    Parameters
    ----------
    target : str
        Address of a controller.
    replies_to_drop : int
        Number of replies to patches to drop. The controller has handled
        these calls.

    Attributes
    ----------
    address : str
        Address of the relay.
    dropped_replies : int
        Number of replies dropped so far.
    """

    def __init__(self, target: str, replies_to_drop: int) -> None:
        self.target = target
        self.replies_to_drop = replies_to_drop
        self.dropped_replies = 0
        self.address = f"127.0.0.1:{find_free_port()}"
        self._portal = start_blocking_portal()

    def __enter__(self) -> LossyRelay:
        portal = self._portal.__enter__()
        portal.call(self._start)
        self._call = portal.call
        return self

    def __exit__(self, *details: object) -> None:
        self._call(self._server.stop, None)
        self._portal.__exit__(None, None, None)

    async def _start(self) -> None:
        self._server = grpc.aio.server()
        service = "hornbeamyard.fleet.Fleet"
        handlers = {
            name: grpc.unary_unary_rpc_method_handler(
                functools.partial(self._forward, f"/{service}/{name}")
            )
            for name in ("SubmitPatch", "ReadConfiguration")
        }
        generic = grpc.method_handlers_generic_handler(service, handlers)
        self._server.add_generic_rpc_handlers((generic,))
        self._server.add_insecure_port(self.address)
        await self._server.start()

    async def _forward(
        self, method: str, request: bytes, context: grpc.aio.ServicerContext
    ) -> bytes:
        async with grpc.aio.insecure_channel(self.target) as channel:
            reply: bytes = await channel.unary_unary(method)(request)
        if (
            method.endswith("SubmitPatch")
            and self.dropped_replies < self.replies_to_drop
        ):
            self.dropped_replies += 1
            await context.abort(grpc.StatusCode.UNAVAILABLE, "lost")
        return reply
