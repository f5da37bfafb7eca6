"""A small HTTP/1.1 client for stand-ins of clients, workers and operators."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any


@dataclass
class Answer:
    """An answer, complete or not.

    Attributes
    ----------
    status : int
        0 if there was no answer.
    error : str
        Why the answer is missing or not complete; empty if it is complete.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


class Connection:
    """One connection to a server, for several requests in a row."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(
        cls, address: tuple[str, int], timeout_s: float = 1.0
    ) -> Connection:
        """Open a connection."""
        pair = await asyncio.wait_for(
            asyncio.open_connection(*address), timeout_s
        )
        return cls(*pair)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    async def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> None:
        """Send a request."""
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await self.writer.drain()

    async def receive(self, timeout_s: float) -> Answer:
        """Read the answer to a request."""
        answer = Answer()
        try:
            async with asyncio.timeout(timeout_s):
                await self._read(answer)
        except TimeoutError:
            answer.error = "no complete answer in time"
        except (OSError, EOFError, ValueError) as error:
            answer.error = f"{type(error).__name__}: {error}"
        return answer

    async def _read(self, answer: Answer) -> None:
        head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                answer.headers[name.lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                chunk = await self.reader.readexactly(size + 2)
                answer.body += chunk[:-2]
                if not size:
                    return
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await self.reader.readexactly(length)


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Answer:
    """Send one request on a new connection."""
    try:
        connection = await Connection.open(address)
    except (OSError, TimeoutError) as error:
        return Answer(error=f"no connection: {error!r}")
    try:
        given = {"Host": f"{address[0]}:{address[1]}"} | (headers or {})
        await connection.send(method, path, given, body)
        return await connection.receive(timeout_s)
    except OSError as error:
        return Answer(error=repr(error))
    finally:
        connection.close()


async def call_json(
    address: tuple[str, int],
    method: str,
    path: str,
    document: Any = None,
    timeout_s: float = 1.0,
) -> Answer:
    """Send one request with a JSON body."""
    body = b"" if document is None else json.dumps(document).encode()
    headers = {"Content-Type": "application/json"}
    return await call(address, method, path, headers, body, timeout_s)
