"""Tests of the memory that one attempt takes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any, ClassVar
from unittest.mock import Mock

import anyio

from hornbeamyard.connection.buffers import ResponseBuffers
from hornbeamyard.request.relay import (
    MAX_BUFFERED_RESPONSE_BYTES,
    AttemptOutcome,
    Relay,
)

CHUNK_BYTES = 64 * 1024
CHUNKS = 12


class Chunk(bytes):
    """A chunk of a response; the class counts the bytes in memory."""

    total: ClassVar[int] = 0

    def __new__(cls, number: int) -> Chunk:
        """Return a chunk that is filled with a number."""
        cls.total += CHUNK_BYTES
        return super().__new__(cls, bytes([number]) * CHUNK_BYTES)

    def __del__(self) -> None:
        """Count bytes that are no longer in memory."""
        Chunk.total -= CHUNK_BYTES


async def iter_chunks() -> AsyncIterator[bytes]:
    """Yield the chunks of a response."""
    for number in range(CHUNKS):
        yield Chunk(number)


def test_keeps_only_what_is_not_sent() -> None:
    """Guards against the start of a response that is kept until its end."""
    buffers = ResponseBuffers()
    held: list[int] = []
    pieces: list[int] = []
    body = b""

    async def send(message: dict[str, Any]) -> None:
        nonlocal body
        piece = bytes(message.get("body", b""))
        body += piece
        pieces.append(len(piece))
        held.append(Chunk.total)

    async def test() -> None:
        relay = Relay(
            Mock(),
            "10.0.0.1:80",
            SimpleNamespace(buffers=buffers),  # type: ignore[arg-type]
            Mock(),
            SimpleNamespace(started=False),  # type: ignore[arg-type]
            False,
            Mock(),
        )
        response = SimpleNamespace(status=200, iter_chunks=iter_chunks)
        result = await relay._forward_body(response, [], send)  # type: ignore[arg-type]
        assert result.outcome is AttemptOutcome.COMPLETED

    anyio.run(test)
    assert body == b"".join(
        bytes([number]) * CHUNK_BYTES for number in range(CHUNKS)
    )
    assert max(pieces) == CHUNK_BYTES
    assert max(held) <= MAX_BUFFERED_RESPONSE_BYTES + CHUNK_BYTES
    assert held[-2] <= 2 * CHUNK_BYTES
    assert buffers.size == 0
