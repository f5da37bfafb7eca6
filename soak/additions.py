"""An operator that evacuates a zone, and crowds of hostile clients."""

from __future__ import annotations

import random
import re
import time

import anyio

from .callers import HOST, KEY, Callers, call
from .fleet import OTHER_ZONE, Fleet
from .records import Crowd, Order, Records

# When an evacuation is ordered after the start of the faults, how long it
# lasts after its acknowledgement, and when an order is given up.
EVACUATION_BEGINS_S = (0.0, 2.0)
EVACUATION_LASTS_S = (8.0, 18.0)
GIVE_UP_S = 10.0
RESEND_PAUSE_S = 0.2
MAX_CROWD = 40
CROWD_LASTS_S = (1.0, 4.0)
CROWD_PAUSE_S = (0.5, 3.0)
# Bytes of a chunk that lacks its last one; 40 of them exceed the room that
# processes get in runs with crowds. And a length beyond any limit.
CHUNK_BYTES = 256 * 1024
TOO_LARGE = 10**12
# An ordinary request is repeated for this long after a crowd has left.
ANSWER_S = 5.0
# No response, or one to a client that is too slow or sends too much.
CROWD_STATUSES = frozenset({0, 400, 408, 413})


class Additions:
    """The evacuation and the crowds of a run, as its plan has them.

    Parameters
    ----------
    fleet : Fleet
    records : Records
    callers : Callers
    seed : int

    Attributes
    ----------
    stopping : bool
        Whether nothing new should begin.
    """

    def __init__(
        self, fleet: Fleet, records: Records, callers: Callers, seed: int
    ) -> None:
        self._fleet = fleet
        self._records = records
        self._callers = callers
        self._zone_rng = random.Random(f"zones {seed}")
        self._crowd_rng = random.Random(f"crowds {seed}")
        self.stopping = False

    async def run(self) -> None:
        """Run until soon after `stopping` is set."""
        async with anyio.create_task_group() as tasks:
            if self._fleet.plan.evacuates:
                tasks.start_soon(self._evacuate)
            if self._fleet.plan.has_crowds:
                tasks.start_soon(self._send_crowds)

    # ---- evacuation ------------------------------------------------------

    async def _evacuate(self) -> None:
        """Evacuate the zone, and restore it unless `stopping` is set."""
        rng = self._zone_rng
        await anyio.sleep(rng.uniform(*EVACUATION_BEGINS_S))
        await self.order(evacuated=True)
        ends_at = time.monotonic() + rng.uniform(*EVACUATION_LASTS_S)
        while time.monotonic() < ends_at and not self.stopping:
            await anyio.sleep(0.05)
        if not self.stopping:
            await self.order(evacuated=False)

    async def order(self, evacuated: bool) -> bool:
        """Send an order until it is acknowledged; return whether it was."""
        order = Order(evacuated, time.monotonic())
        self._records.orders.append(order)
        method = "PUT" if evacuated else "DELETE"
        give_up_at = order.sent_at + GIVE_UP_S
        while time.monotonic() < give_up_at and not self.stopping:
            name = self._zone_rng.choice(self._fleet.controllers)
            address = self._fleet.links[f"{name}/status"].address
            url = f"http://{address}/hornbeamyard/v1/evacuations/{OTHER_ZONE}"
            if (await call(method, url))[0] == 200:
                order.acknowledged_at = time.monotonic()
                return True
            await anyio.sleep(RESEND_PAUSE_S)
        return False

    async def read_counts(self) -> dict[str, int | None]:
        """Return the number of evacuated zones at each process, if known."""
        counts: dict[str, int | None] = {}
        for name in (*self._fleet.controllers, *self._fleet.list_routers()):
            address = self._fleet.get_metrics_address(name)
            _, data = await call("GET", f"http://{address}/metrics")
            pattern = rb"^hornbeamyard_evacuated_zones ([0-9.]+)$"
            found = re.search(pattern, data, re.MULTILINE)
            counts[name] = int(float(found[1])) if found else None
        return counts

    # ---- crowds ----------------------------------------------------------

    async def _send_crowds(self) -> None:
        """Send crowds to controllers and ready routers, one at a time."""
        rng = self._crowd_rng
        while not self.stopping:
            await anyio.sleep(rng.uniform(*CROWD_PAUSE_S))
            ready = sorted(self._callers.ready_routers)
            routers = [f"router-{number}" for number in ready]
            await self._send(rng.choice([*self._fleet.controllers, *routers]))

    async def _send(self, name: str) -> None:
        """Send a crowd to a process, and an ordinary request after it."""
        purpose = "callers" if name.startswith("router") else "status"
        port = self._fleet.links[f"{name}/{purpose}"].port
        crowd = Crowd(name, time.monotonic())
        self._records.crowds.append(crowd)
        with anyio.move_on_after(self._crowd_rng.uniform(*CROWD_LASTS_S)):
            async with anyio.create_task_group() as members:
                for _ in range(self._crowd_rng.randint(10, MAX_CROWD)):
                    stops_short = self._crowd_rng.random() < 0.7
                    members.start_soon(_hold, port, purpose, stops_short)
        crowd.left_at = time.monotonic()
        while not crowd.answered and crowd.ended_at < crowd.left_at + ANSWER_S:
            crowd.answered = await self._is_answered(name)
            await anyio.sleep(0.1)
            crowd.ended_at = time.monotonic()

    async def _is_answered(self, name: str) -> bool:
        """Return whether a process, if it is ready, answers a request."""
        if name.startswith("controller"):
            address = self._fleet.links[f"{name}/status"].address
            url = f"http://{address}/hornbeamyard/v1/routing"
            status, body = await call("GET", url)
        else:
            router = int(name.partition("-")[2])
            if router not in self._callers.ready_routers:
                return False
            request = await self._callers.send_ordinary(router)
            status, body = request.status, request.body
        # A lack of memory is the crowd's effect.
        return status not in CROWD_STATUSES and not (
            status == 503 and b"memory" in body
        )


def find_wrong_counts(
    orders: list[Order], counts: dict[str, int | None]
) -> list[str]:
    """Return how the set of zones differs from the acknowledged orders.

    An order after the last acknowledged one may be in force or not, but for
    all processes alike.
    """
    expected = {0}
    for order in orders:
        is_clear = order.acknowledged_at is not None
        expected = (set() if is_clear else expected) | {int(order.evacuated)}
    found = set(counts.values())
    if len(found) == 1 and found <= expected:
        return []
    return [
        f"the numbers of evacuated zones after the recovery are {counts} "
        f"instead of {expected}, as last acknowledged"
    ]


async def _hold(port: int, purpose: str, stops_short: bool) -> None:
    """Send a body that lacks its last byte or is too large, and wait."""
    line = "PUT /hornbeamyard/v1/routing"
    if purpose == "callers":
        line = "POST /read/crowd"
    framing = f"content-length: {TOO_LARGE}\r\n\r\n"
    if stops_short:
        framing = f"transfer-encoding: chunked\r\n\r\n{CHUNK_BYTES:x}\r\n"
    head = f"{line} HTTP/1.1\r\nhost: {HOST}\r\n"
    head += f"authorization: Bearer {KEY}\r\n{framing}"
    try:
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(head.encode() + bytes(CHUNK_BYTES - 1))
            while True:
                await stream.receive()
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        # The process has refused the body, or a fault has ended it.
        return
