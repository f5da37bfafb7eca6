"""A client that takes its stream up again, and what engines are told."""

from __future__ import annotations

import asyncio
import random
import re

from fleet import Fleet
from stand_ins import (
    build_request_headers,
    build_route,
    build_service,
)
from wire import Connection

# The site's sheet gives each kind of request one retry of the client.
ATTEMPTS = 2
ENGINE = {
    "slots": 64,
    "kvCapacityTokens": 345009,
    "tokenKvBytes": 18432,
    "linkMbps": 740000.0,
    "moves": True,
    "backups": True,
    "stride": 7,
    "most": 12,
    "pinMs": 4000.0,
    "holdMs": 2000.0,
    "handleS": 5.0,
    "models": [{"name": "m"}],
}
STREAM_ROUTE = build_route(
    "chat",
    "model",
    "streaming",
    timeoutMs=12000,
    targetLatencyMs=1200,
    stickySessions=True,
    streamResumption=True,
    targetGapMs=600,
)
STREAM_SERVICE = build_service("model") | {
    "connectionLimit": 370,
    "engine": ENGINE,
}


class StreamClient:
    """A client with one stream.

    Attributes
    ----------
    last_id : int
        Id of the last event that it has.
    versions : list of str
        Software version in each event.
    resumed : int
        Attempts with which it has taken the stream up again.
    went_on : bool
        Whether one of these brought an event.
    """

    def __init__(
        self, fleet: Fleet, number: int, routers: list[int], events: int
    ) -> None:
        self.fleet = fleet
        self.number = number
        self.name = f"stream-{number}"
        self.events = events
        self.last_id = 0
        self.versions: list[str] = []
        self.resumed = 0
        self.went_on = False
        self.is_complete = False
        # Routers of the attempts, by their index.
        self._routers = routers
        self._first_attempt = ""
        # Time in Retry-After, if the last answer had one.
        self._pause_s = 0.0

    async def run(self) -> None:
        """Get the stream."""
        for attempt in range(ATTEMPTS):
            turn = self._routers[attempt % len(self._routers)]
            router = self.fleet.routers[turn]
            id = f"{self.name}-{attempt}"
            before = self.last_id
            self.resumed += before > 0
            status = await self._try(router.front, id)
            self.fleet.record.note(
                "stream",
                id=id,
                to=router.name,
                resumes_after=before,
                answer=status,
                last_event=self.last_id,
                versions=",".join(dict.fromkeys(self.versions)),
            )
            if before and self.last_id > before:
                self.went_on = True
            if self.is_complete:
                return
            if not self._first_attempt and self.last_id:
                self._first_attempt = id
            await asyncio.sleep(self._pause_s or random.uniform(0.1, 0.3))

    async def _try(self, address: tuple[str, int], id: str) -> str:
        headers = build_request_headers(
            id,
            12000,
            X_Model="m",
            X_Token_Counts="1460,280",
            X_Prompt_Prefix=(
                f"{self.number % 6:08x}:800,{self.number + 256:08x}:660"
            ),
        )
        if self.last_id:
            headers["Last-Event-Id"] = str(self.last_id)
            headers["Resumes"] = self._first_attempt
        try:
            connection = await Connection.open(address)
            await connection.send(
                "POST", "/chat/1", headers, self.name.encode()
            )
            head = await connection.reader.readuntil(b"\r\n\r\n")
            status = head.decode("latin-1").split(" ")[1]
            found = re.search(rb"\r\nretry-after: ([\d.]+)", head.lower())
            self._pause_s = float(found[1]) if found else 0.0
            if status == "200":
                await self._read(connection)
            connection.close()
        except (OSError, EOFError, ValueError) as error:
            return type(error).__name__
        return status

    async def _read(self, connection: Connection) -> None:
        text = b""
        while True:
            line = await connection.reader.readuntil(b"\r\n")
            chunk = await connection.reader.readexactly(int(line, 16) + 2)
            if len(chunk) == 2:
                self.is_complete = self.last_id == self.events
                return
            text += chunk[:-2]
            while b"\n\n" in text:
                event, _, text = text.partition(b"\n\n")
                lines = event.decode().split("\n")
                self.last_id = int(lines[0].removeprefix("id: "))
                self.versions.append(lines[1].rpartition(" ")[2])
