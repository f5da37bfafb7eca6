"""A fleet of processes in which a test can partition the network.

Every host reaches the controllers of other hosts through relays. A relay finds
out which process opened a connection, so that it can block the traffic between
two hosts in both directions. The connections of a partitioned host stay open
and carry no data, as when a network drops packets.
"""

from __future__ import annotations

import asyncio
import json
import os
import threading
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType

from hornbeamyard.process.settings import load_settings
from hornbeamyard.version.bootstrap import initialize

from .fleet import LocalFleet, find_free_port

POLL_S = 0.02


@dataclass
class PartitionableFleet(LocalFleet):
    """A fleet on loopback whose hosts can be partitioned from the others.

    Attributes
    ----------
    partitioned : set of str
        Hosts whose control traffic with other hosts is blocked.
    listen_ports : list of int
        Port at which each controller listens; `controller_ports` are the
        ports of the relays.
    """

    partitioned: set[str] = field(default_factory=set)
    listen_ports: list[int] = field(default_factory=list)
    _loop: asyncio.AbstractEventLoop = field(
        default_factory=asyncio.new_event_loop
    )
    _thread: threading.Thread | None = None

    def __enter__(self) -> PartitionableFleet:
        self.listen_ports = [find_free_port() for _ in range(self.controllers)]
        super().__enter__()
        started = threading.Event()
        self._thread = threading.Thread(target=self._serve, args=(started,))
        self._thread.start()
        if not started.wait(10):
            raise TimeoutError("the relays did not start")
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.partitioned.clear()
        super().__exit__(kind, error, trace)
        self._loop.call_soon_threadsafe(self._loop.stop)
        if self._thread is not None:
            self._thread.join(10)

    def write_host_settings(self, number: int) -> None:
        """Write the settings file of one host.

        A controller's own address is the one at which it listens.
        """
        super().write_host_settings(number)
        if number >= self.controllers:
            return
        path = self.folder / f"host-{number}.json"
        document = json.loads(path.read_text())
        address = f"127.0.0.1:{self.listen_ports[number]}"
        document["controller"]["address"] = address
        document["controllers"][f"host-{number}"] = address
        path.write_text(json.dumps(document))

    def initialize(self) -> None:
        """Write the initial members, with the relays' addresses."""
        for number in range(self.controllers):
            path = self.folder / f"host-{number}.json"
            settings = load_settings(path).unwrap()
            port = self.controller_ports[number]
            settings.controllers[settings.host] = f"127.0.0.1:{port}"
            initialize(settings).unwrap()

    def _serve(self, started: threading.Event) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._listen())
        started.set()
        self._loop.run_forever()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

    async def _listen(self) -> None:
        for number, port in enumerate(self.controller_ports):

            async def handle(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                number: int = number,
            ) -> None:
                await self._relay(number, reader, writer)

            await asyncio.start_server(handle, "127.0.0.1", port)

    async def _relay(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        port = writer.get_extra_info("peername")[1]
        # In a thread, as it would hold up all other connections for up to some
        # hundred milliseconds.
        source = await asyncio.to_thread(find_host, self, port)
        link = (source, f"host-{number}")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.listen_ports[number]
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pump(link, reader, target_writer),
            self._pump(link, target_reader, writer),
        )

    async def _pump(
        self,
        link: tuple[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(65536):
                while link[0] != link[1] and self.partitioned & set(link):
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


def find_host(fleet: LocalFleet, port: int) -> str:
    """Return the host whose process opened a connection from a port.

    The name is empty for other processes, such as command-line tools.
    """
    rows = [
        row.split()
        for table in ("tcp", "tcp6")
        for row in Path(f"/proc/net/{table}").read_text().splitlines()[1:]
    ]
    # The sockets of gRPC are dual-stack and listed in the IPv6 table, where
    # the address ends with that of 127.0.0.1.
    suffix = f"0100007F:{port:04X}"
    inodes = {f"socket:[{row[9]}]" for row in rows if row[1].endswith(suffix)}
    for name, process in list(fleet.processes.items()):
        folder = f"/proc/{process.pid}/fd"
        try:
            for entry in os.listdir(folder):
                if os.readlink(f"{folder}/{entry}") in inodes:
                    return name
        except OSError:
            continue
    return ""
