"""A proxy that stands for the path from some machines to another one."""

from __future__ import annotations

import asyncio
import contextlib


class Link:
    """Passes connections on, or leaves them without an answer while cut."""

    def __init__(
        self, address: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self._address = address
        self._target = target
        self._is_cut = True
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen; the link is cut at first."""
        self._server = await asyncio.start_server(self._serve, *self._address)

    def heal(self) -> None:
        """Pass new connections on; those that were held break."""
        self._is_cut = False
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self._is_cut:
                while await reader.read(65536):
                    pass
                return
            there, back = await asyncio.open_connection(*self._target)
            self._writers.add(back)
            await asyncio.gather(_copy(reader, back), _copy(there, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    with contextlib.suppress(OSError, RuntimeError):
        writer.close()
