"""HTTP/1.1 connections to upstreams.

A router spends most of its processor time on the chunks of streamed
responses, so they pass from the socket through a parser in C directly to the
request, without further layers.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

import httptools

from .buffers import ResponseBuffers
from .pacing import ReadPacer

Headers = list[tuple[bytes, bytes]]

# Reading from the upstream pauses when this much of a response waits for a
# slow caller. What is read at once comes on top.
MAX_BUFFERED_BYTES = 64 * 1024
READ_BYTES = 64 * 1024
# The latter for the first read of a response, after one with many chunks, and
# while all responses together exceed their limit.
REDUCED_READ_BYTES = 8 * 1024
# Chunks in one read above which the connection waits for its next one, and
# chunks that wait for a caller above which they are joined. Each chunk costs a
# call, and an object in memory. Upstreams send an event of a stream a chunk.
MAX_CHUNKS_PER_READ = 256
MAX_WAITING_CHUNKS = 64
# An upstream may send this much without a byte of a body, in headers, chunk
# sizes and trailers. Servers commonly allow headers of 8 to 64 KB.
MAX_UNPARSED_BYTES = 64 * 1024
# An idle connection isn't reused after this fraction of the keep-alive
# timeout that the upstream announces: a request sent on a connection that is
# being closed has no known outcome.
KEEP_ALIVE_FRACTION = 0.8
# Bytes that were just received. They are parsed before anything else is read.
_received = bytearray(READ_BYTES)
# The start of another response, after one that broke off in its header.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d( |$)")
_KEEP_ALIVE = re.compile(rb"timeout=(\d{1,9})")


class BrokenConnectionError(OSError):
    """The connection has ended, or received what isn't an HTTP response."""


class Framing(Enum):
    """What marks the end of a response (RFC 9112, 6.3)."""

    # The response has no body.
    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKED = "chunked"
    # The end of the connection, also after a part of the body.
    CLOSE = "close"


@dataclass(slots=True)
class Response:
    """The header of an upstream's response; the body arrives in chunks.

    Attributes
    ----------
    status : int
    headers : list of (bytes, bytes)
        Names are in lower case.
    framing : Framing
    connection : Connection
    """

    status: int
    headers: Headers
    framing: Framing
    connection: Connection

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        Raises
        ------
        BrokenConnectionError
            If the connection breaks before the body is complete.
        """
        connection = self.connection
        while True:
            chunk = connection.pop_chunk()
            if chunk is not None:
                yield chunk
            elif connection.is_complete:
                return
            else:
                await connection.wait_for_data()

    async def read(self, max_size: int) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        max_size : int
            In bytes. While all responses together exceed their limit, it is
            `REDUCED_READ_BYTES` at most.

        Raises
        ------
        BrokenConnectionError
            If the connection breaks before the body is complete, or the body
            is larger.
        """
        buffers = self.connection.buffers
        chunks: list[bytes] = []
        size = 0
        try:
            async for chunk in self.iter_chunks():
                chunks.append(chunk)
                size += len(chunk)
                buffers.size += len(chunk)
                if buffers.are_full():
                    max_size = min(max_size, REDUCED_READ_BYTES)
                if size > max_size:
                    raise BrokenConnectionError(
                        f"the body of a response with status {self.status} "
                        f"exceeds {max_size} bytes"
                    )
            return b"".join(chunks)
        finally:
            buffers.size -= size

    def find_mismatch(self, sent_id: str, named_id: str) -> str:
        """Return why this doesn't answer a request; "" if it may.

        Bytes that an upstream sends once more arrive where the next response
        is due, so only the id tells the two apart.

        Parameters
        ----------
        sent_id : str
            Id that was sent with the request; empty for none.
        named_id : str
            Id of the request in this response; empty for none.
        """
        connection = self.connection
        has_named = connection.names_requests
        connection.names_requests = bool(named_id)
        if named_id and named_id != sent_id:
            return f"the response belongs to request {named_id!r}"
        if sent_id and has_named and not named_id:
            return "the response names no request, unlike the one before it"
        return ""


class Connection(asyncio.BufferedProtocol):
    """A connection to an upstream, for one request at a time.

    Parameters
    ----------
    idle_timeout_s : float
        Idle time in seconds after which it isn't reused.
    buffers : ResponseBuffers, optional
        Counts the parts of responses that wait for their callers.
    pacer : ReadPacer, optional
        Spreads the reads of connections with many small chunks.

    Attributes
    ----------
    buffers : ResponseBuffers
    is_complete : bool
        Whether the complete response has arrived.
    names_requests : bool
        Whether the latest response gave the id of its request.
    """

    def __init__(
        self,
        idle_timeout_s: float,
        buffers: ResponseBuffers | None = None,
        pacer: ReadPacer | None = None,
    ) -> None:
        self.buffers = ResponseBuffers() if buffers is None else buffers
        self._error: Exception | None = None
        self._framing = Framing.NO_BODY
        self._headers: Headers = []
        self._idle_timeout_s = idle_timeout_s
        self._idle_until = 0.0
        self._is_busy = False
        # Whether another read waits for its turn.
        self._is_deferred = False
        self._is_lost = False
        # Whether reading has stopped, as the caller is slow.
        self._is_paused = False
        self._is_reusable = True
        self._loop = asyncio.get_running_loop()
        self._method = ""
        self._pacer = ReadPacer() if pacer is None else pacer
        self._parser = httptools.HttpResponseParser(self)
        self._chunks: deque[bytes] = deque()
        self._read_bytes = REDUCED_READ_BYTES
        # Chunks in the latest read.
        self._read_chunks = 0
        self._status = 0
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._buffered_bytes = 0
        # Received since the request was sent or the body last grew, and what
        # of it were header fields.
        self._unparsed_bytes = 0
        self._field_bytes = 0
        self.is_complete = False
        self.names_requests = False

    # ---- for requests ----------------------------------------------------

    async def request(
        self, method: str, target: bytes, headers: Headers, body: bytes
    ) -> Response:
        """Send a request and return the header of the response.

        Parameters
        ----------
        method : str
        target : bytes
            Path and query.
        headers : list of (bytes, bytes)
            All headers, also those that frame the body; none is added.
        body : bytes

        Raises
        ------
        BrokenConnectionError
            If the connection breaks before the header is complete.
        """
        assert self._transport is not None
        self._is_busy = True
        self.is_complete = False
        self._headers = []
        self._status = 0
        self._field_bytes = 0
        self._unparsed_bytes = 0
        self._read_bytes = REDUCED_READ_BYTES
        self._method = method
        lines = [b" ".join((method.encode(), target, b"HTTP/1.1"))]
        lines += [b": ".join(header) for header in headers]
        head = b"\r\n".join([*lines, b"", b""])
        self._transport.write(head + body)
        while not self._status:
            await self.wait_for_data()
        return Response(self._status, self._headers, self._framing, self)

    def pop_chunk(self) -> bytes | None:
        """Return the next chunk of the body, or None if none is buffered."""
        if not self._chunks:
            return None
        chunk = self._chunks.popleft()
        self._buffered_bytes -= len(chunk)
        self.buffers.size -= len(chunk)
        if self._is_paused and self._buffered_bytes <= self._max_buffered // 2:
            self._is_paused = False
            self._resume_reading()
        return chunk

    @property
    def _max_buffered(self) -> int:
        return 0 if self.buffers.are_full() else MAX_BUFFERED_BYTES

    async def wait_for_data(self) -> None:
        """Wait until bytes arrive or the connection ends.

        Raises
        ------
        BrokenConnectionError
            If the connection has failed, or ended before the response was
            complete.
        """
        if self._error is not None:
            raise self._error
        if self._is_lost and not self.is_complete:
            raise BrokenConnectionError(
                "the upstream has closed the connection"
            )
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    # ---- for reuse -------------------------------------------------------

    def is_open(self) -> bool:
        """Return whether neither side has closed or reset it."""
        return (
            not self._is_lost
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def is_idle(self) -> bool:
        """Return whether another request may be sent."""
        return self.is_open() and not self._is_busy and self._is_reusable

    def has_expired(self) -> bool:
        """Return whether it was idle for too long or can't be reused."""
        return not self.is_idle() or self._loop.time() >= self._idle_until

    async def aclose(self) -> None:
        """Close the connection; a response in progress is aborted."""
        self.buffers.size -= self._buffered_bytes
        self._buffered_bytes = 0
        self._chunks.clear()
        if self._transport is None:
            return
        if self._is_busy:
            self._transport.abort()
        else:
            self._transport.close()

    # ---- for the transport -----------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._idle_until = self._loop.time() + self._idle_timeout_s

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are stored."""
        are_full = self.buffers.are_full()
        size = REDUCED_READ_BYTES if are_full else self._read_bytes
        return memoryview(_received)[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that were stored."""
        self.data_received(memoryview(_received)[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse bytes from the upstream."""
        if not self._is_busy or self.is_complete:
            # Bytes after a complete response would be read as the next one.
            self._abort()
            return
        self._unparsed_bytes += len(data)
        self._read_chunks = 0
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail(f"the upstream sent an invalid HTTP response: {error}")
        if self._unparsed_bytes > MAX_UNPARSED_BYTES:
            self._fail(
                f"the upstream sent more than {MAX_UNPARSED_BYTES} bytes "
                "without a byte of a body"
            )
        self._limit_reading()
        self._wake()

    def _limit_reading(self) -> None:
        """Pause reading if it gets ahead of the caller or other requests."""
        if len(self._chunks) > MAX_WAITING_CHUNKS:
            joined = b"".join(self._chunks)
            self._chunks.clear()
            self._chunks.append(joined)
        has_many_chunks = self._read_chunks > MAX_CHUNKS_PER_READ
        self._read_bytes = (
            REDUCED_READ_BYTES if has_many_chunks else READ_BYTES
        )
        if has_many_chunks and not self._is_deferred:
            self._is_deferred = True
            self._pacer.defer(self._end_deferral)
        if self._buffered_bytes > self._max_buffered:
            self._is_paused = True
        if self._transport is not None and (
            self._is_paused or self._is_deferred
        ):
            self._transport.pause_reading()

    def _end_deferral(self) -> None:
        self._is_deferred = False
        self._resume_reading()

    def _resume_reading(self) -> None:
        """Read on, unless something else keeps the connection from it."""
        if self._transport is None or self._is_lost:
            return
        if not self._is_paused and not self._is_deferred:
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        """Handle the end of the upstream's bytes (TCP FIN)."""
        is_ended_by_close = self._framing is Framing.CLOSE
        if self._status and not self.is_complete and is_ended_by_close:
            self._finish(reusable=False)
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the close of the connection, orderly or not."""
        self._is_lost = True
        if exc is not None and not self.is_complete and self._error is None:
            self._error = BrokenConnectionError(
                f"the connection broke: {exc or type(exc).__name__}"
            )
        self._wake()

    def _fail(self, reason: str) -> None:
        """Close the connection; a response that isn't complete fails."""
        if not self.is_complete and self._error is None:
            self._error = BrokenConnectionError(reason)
        self._abort()

    def _abort(self) -> None:
        self._is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _find_framing(self, status: int) -> Framing:
        if self._method == "HEAD" or status in (
            HTTPStatus.NO_CONTENT,
            HTTPStatus.NOT_MODIFIED,
        ):
            return Framing.NO_BODY
        names = {name for name, _ in self._headers}
        if b"transfer-encoding" in names:
            return Framing.CHUNKED
        return Framing.LENGTH if b"content-length" in names else Framing.CLOSE

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # ---- for the parser --------------------------------------------------

    def on_message_begin(self) -> None:
        """Handle the start of a response."""
        if self.is_complete:
            self._is_reusable = False

    def on_status(self, reason: bytes) -> None:
        """Check the text after the status code."""
        self._refuse_joined_header(reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field; those after the body are dropped."""
        if self.is_complete:
            return
        self._refuse_joined_header(value)
        # The colon, the space and the line end take four more bytes.
        self._field_bytes += len(name) + len(value) + 4
        if self._field_bytes > MAX_UNPARSED_BYTES:
            self._fail(
                f"the upstream sent more than {MAX_UNPARSED_BYTES} bytes "
                "of header fields"
            )
            raise ValueError("too many header fields")
        if not self._status:
            self._headers.append((name.lower(), value))

    def _refuse_joined_header(self, text: bytes) -> None:
        """Fail if a response has broken off in its header before this one.

        Status, id and signature would be those of the first one, and the body
        that of the second.
        """
        if b"HTTP/1." in text and _STATUS_LINE.search(text):
            reason = "a response broke off in its header before the next one"
            self._fail(reason)
            raise ValueError(reason)

    def on_headers_complete(self) -> None:
        """Handle the end of the header."""
        if self.is_complete:
            return
        status = self._parser.get_status_code()
        if status < HTTPStatus.OK and status != HTTPStatus.SWITCHING_PROTOCOLS:
            # An interim response; the final one follows.
            self._headers = []
            return
        self._status = status
        self._framing = self._find_framing(status)
        if self._method == "HEAD":
            # The parser doesn't know that no body follows.
            self._finish(reusable=False)

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body."""
        if not self.is_complete:
            self._chunks.append(body)
            self._read_chunks += 1
            self._buffered_bytes += len(body)
            self.buffers.size += len(body)
            self._field_bytes = 0
            self._unparsed_bytes = 0

    def on_message_complete(self) -> None:
        """Handle the end of a response."""
        if self._status and not self.is_complete:
            self._finish(self._parser.should_keep_alive())

    def _finish(self, reusable: bool) -> None:
        assert self._transport is not None
        self.is_complete = True
        # An upstream may respond before it has read the whole request.
        is_sent = not self._transport.get_write_buffer_size()
        self._is_reusable = self._is_reusable and reusable and is_sent
        self._is_busy = False
        idle_timeout_s = self._idle_timeout_s
        for name, value in self._headers:
            if name == b"keep-alive" and (found := _KEEP_ALIVE.search(value)):
                idle_timeout_s = min(
                    idle_timeout_s, int(found[1]) * KEEP_ALIVE_FRACTION
                )
        self._idle_until = self._loop.time() + idle_timeout_s


async def open_connection(
    host: str,
    port: int,
    idle_timeout_s: float,
    socket_options: Iterable[tuple[int, int, int]] = (),
    buffers: ResponseBuffers | None = None,
    pacer: ReadPacer | None = None,
) -> Connection:
    """Open a connection to an upstream, without a time limit.

    Parameters
    ----------
    host : str
        IP address.
    port : int
    idle_timeout_s : float
        Idle time in seconds after which the connection isn't reused.
    socket_options : iterable of (int, int, int), optional
        Arguments of `socket.setsockopt`: level, option and value.
    buffers : ResponseBuffers, optional
        Counts the parts of responses that wait for their callers.
    pacer : ReadPacer, optional
        Spreads the reads of connections with many small chunks.

    Raises
    ------
    OSError
        If it can't be opened.
    """
    loop = asyncio.get_running_loop()
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    raw = socket.socket(family, socket.SOCK_STREAM)
    try:
        raw.setblocking(False)
        for option in socket_options:
            raw.setsockopt(*option)
        await loop.sock_connect(raw, (host, port))
        _, connection = await loop.create_connection(
            lambda: Connection(idle_timeout_s, buffers, pacer), sock=raw
        )
    except BaseException:
        raw.close()
        raise
    return connection
