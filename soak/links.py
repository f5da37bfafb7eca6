"""A proxy on loopback whose connections can be harmed."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass, field

import anyio
import anyio.abc

CHUNK_SIZE = 64 * 1024
POLL_S = 0.02
# A reset instead of an orderly close.
_RESET = struct.pack("ii", 1, 0)


@dataclass(slots=True, eq=False)
class Pair:
    """One proxied connection: the opener's side and the target's side.

    Attributes
    ----------
    silenced : bool
        Whether the connection carries nothing any more, for good.
    """

    opener: anyio.abc.SocketStream
    target: anyio.abc.SocketStream
    silenced: bool = False

    def reset(self) -> None:
        """Reset both sides at once."""
        for stream in (self.opener, self.target):
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            if raw.fileno() < 0:
                continue
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            # The transport closes later; the reset has to be immediate.
            stream._transport.abort()  # type: ignore[attr-defined]


@dataclass(slots=True)
class Link:
    """All connections to one address.

    Attributes
    ----------
    name : str
        Process and purpose, as `router-0/callers`.
    port : int
        Port of the proxy.
    target_port : int
    held_requests, held_answers : bool
        Whether bytes towards the target, or from it, are held up.
    delay_s : float
        Delay of each chunk in both directions.
    pairs : set of Pair
    """

    name: str
    port: int
    target_port: int
    held_requests: bool = False
    held_answers: bool = False
    delay_s: float = 0.0
    pairs: set[Pair] = field(default_factory=set)

    @property
    def address(self) -> str:
        """IP address and port of the proxy."""
        return f"127.0.0.1:{self.port}"

    async def serve(self) -> None:
        """Take connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port, reuse_port=False
        )
        async with listener:
            await listener.serve(self._relay)

    def heal(self) -> None:
        """Let everything pass again but silenced connections."""
        self.held_requests = self.held_answers = False
        self.delay_s = 0.0

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in list(self.pairs):
            pair.reset()

    def silence(self) -> None:
        """Let open connections carry nothing any more; new ones work."""
        for pair in self.pairs:
            pair.silenced = True

    async def _relay(self, opener: anyio.abc.SocketStream) -> None:
        async with opener:
            while self.held_requests:
                await anyio.sleep(POLL_S)
            try:
                target = await anyio.connect_tcp("127.0.0.1", self.target_port)
            except OSError:
                return
            pair = Pair(opener, target)
            self.pairs.add(pair)
            try:
                async with target, anyio.create_task_group() as tasks:
                    tasks.start_soon(self._pump, pair, True)
                    tasks.start_soon(self._pump, pair, False)
            finally:
                self.pairs.discard(pair)

    async def _pump(self, pair: Pair, towards_target: bool) -> None:
        source, sink = pair.opener, pair.target
        if not towards_target:
            source, sink = sink, source
        try:
            while True:
                data = await source.receive(CHUNK_SIZE)
                if self.delay_s:
                    await anyio.sleep(self.delay_s)
                while pair.silenced or self._is_held(towards_target):
                    await anyio.sleep(POLL_S)
                await sink.send(data)
        except anyio.EndOfStream:
            await self._pass_end(pair, sink, towards_target)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # A reset on one side is a reset on the other.
            while pair.silenced or self._is_held(towards_target):
                await anyio.sleep(POLL_S)
            pair.reset()

    async def _pass_end(
        self, pair: Pair, sink: anyio.abc.SocketStream, towards_target: bool
    ) -> None:
        while pair.silenced or self._is_held(towards_target):
            await anyio.sleep(POLL_S)
        try:
            await sink.send_eof()
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The other direction has ended the connection already.
            return
        if not towards_target:
            # An HTTP server that closes has said everything.
            await sink.aclose()

    def _is_held(self, towards_target: bool) -> bool:
        return self.held_requests if towards_target else self.held_answers
