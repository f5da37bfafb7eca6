"""Workers start again in place with newer software, heartbeats come late."""

from __future__ import annotations

import asyncio
import os
import random
import re
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from fleet import Fleet, Record
from runner import run
from stand_ins import (
    Operator,
    Worker,
    build_document,
    build_request_headers,
    build_route,
    build_service,
)
from wire import Connection

STREAMS = 12
EVENTS = 40
# PROTOCOL.md: "A heartbeat may arrive seconds late."
HEARTBEAT_DELAY_S = 2.0
DOWN_S = 0.5
# The workers are replaced one after the other.
GAP_S = 1.0
# PROTOCOL.md: "Clients retry a few times within their time budget".
ATTEMPTS = 3
# RULES.md, ORDER: more than two streams hold events of two versions.
MOST_MIXED = 2
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


class Client:
    """A client with one stream, which it takes up again once."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.name = f"stream-{number}"
        self.number = number
        self.last_id = 0
        self.first_attempt = ""
        self.versions: list[str] = []
        self.is_complete = False
        # Time in Retry-After, if the last answer had one.
        self.pause_s = 0.0

    async def run(self) -> None:
        """Get the stream."""
        for attempt in range(ATTEMPTS):
            router = self.fleet.routers[
                (self.number + attempt) % len(self.fleet.routers)
            ]
            id = f"{self.name}-{attempt}"
            before = len(self.versions)
            status = await self._try(router.front, id)
            self.fleet.record.note(
                "stream",
                id=id,
                to=router.name,
                answer=status,
                last_event=self.last_id,
                versions=",".join(dict.fromkeys(self.versions)),
            )
            if self.is_complete:
                return
            if not self.first_attempt and len(self.versions) > before:
                self.first_attempt = id
            await asyncio.sleep(self.pause_s or random.uniform(0.1, 0.3))

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
            headers["Resumes"] = self.first_attempt
        try:
            connection = await Connection.open(address)
            await connection.send(
                "POST", "/chat/1", headers, self.name.encode()
            )
            head = await connection.reader.readuntil(b"\r\n\r\n")
            status = head.decode("latin-1").split(" ")[1]
            found = re.search(rb"\r\nretry-after: ([\d.]+)", head.lower())
            self.pause_s = float(found[1]) if found else 0.0
            if status == "200":
                await self._read(connection)
            connection.close()
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            return type(error).__name__
        return status

    async def _read(self, connection: Connection) -> None:
        text = b""
        while True:
            line = await connection.reader.readuntil(b"\r\n")
            chunk = await connection.reader.readexactly(int(line, 16) + 2)
            if len(chunk) == 2:
                self.is_complete = self.last_id == EVENTS
                return
            text += chunk[:-2]
            while b"\n\n" in text:
                event, _, text = text.partition(b"\n\n")
                lines = event.decode().split("\n")
                self.last_id = int(lines[0].removeprefix("id: "))
                self.versions.append(lines[1].rpartition(" ")[2])


async def replace_in_place(worker: Worker) -> None:
    """End a worker and start it again under its id with newer software."""
    worker.crash()
    await asyncio.sleep(DOWN_S)
    worker.version = "v2"
    worker.heartbeat_delay_s = HEARTBEAT_DELAY_S
    await worker.start()


async def main() -> int:
    """Run the case; return its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).with_name("record.txt"))
    fleet = Fleet(record, controllers=3, routers=2)
    workers = [
        Worker(
            fleet,
            f"worker-{number}",
            "model",
            (f"127.0.{fleet.net}.{200 + number}", fleet.ports["worker"]),
            slots=64,
            events=EVENTS,
        )
        for number in (1, 2)
    ]
    document = build_document(
        [
            build_route(
                "chat",
                "model",
                "streaming",
                timeoutMs=12000,
                targetLatencyMs=1200,
                stickySessions=True,
                streamResumption=True,
                targetGapMs=600,
            )
        ],
        [build_service("model") | {"connectionLimit": 370, "engine": ENGINE}],
    )
    operator = Operator(fleet, document)
    try:
        await fleet.start()
        if await operator.replace() is None:
            return 2
        for worker in workers:
            await worker.start()
        if not await fleet.wait_until_ready():
            return 2
        await asyncio.sleep(4.0)
        clients = [Client(fleet, number) for number in range(STREAMS)]
        running = []
        for client in clients:
            running.append(asyncio.create_task(client.run()))
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        if trouble:
            replacing = []
            for worker in workers:
                replacing.append(asyncio.create_task(replace_in_place(worker)))
                await asyncio.sleep(GAP_S)
            await asyncio.wait(replacing)
        await asyncio.wait(running, timeout=20.0)
        mixed = [c.name for c in clients if len(set(c.versions)) > 1]
        complete = sum(client.is_complete for client in clients)
        record.note("result", mixed=mixed, complete=complete)
        print(f"{len(mixed)} streams of two versions, {complete} complete")
        if not trouble and complete < STREAMS:
            return 2
        return int(len(mixed) > MOST_MIXED)
    finally:
        for worker in workers:
            worker.stop_heartbeats()
        await fleet.close()


if __name__ == "__main__":
    run(main)
