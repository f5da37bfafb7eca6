"""Test that no collection of a process grows with its traffic."""

from __future__ import annotations

import random
from collections import Counter

import anyio
import pytest

from hornbeamyard.connection import (
    directory,
    subscription,
    upstreams,
)
from hornbeamyard.pool import balancer, choice, crashes, engine, restarts
from hornbeamyard.process import directory_router

from .object_sizes import count_entries
from .traffic import Traffic

# Bounds that take longer than the first part of the test to be reached.
LOWER_BOUNDS = {
    (balancer, "MAX_CACHED_PARTS"): 64,
    (choice, "MAX_CACHED_ORDERS"): 64,
    (engine, "MAX_CACHED_PARTS"): 64,
    (crashes, "MAX_ANSWERED"): 256,
    (crashes, "MAX_CRASHES"): 4,
    (restarts, "MAX_ADDRESSES"): 32,
    (restarts, "MAX_LEAVING"): 16,
    (restarts, "MAX_UNCONFIRMED"): 16,
}
# Intervals that would take most of the time of the test.
LONGER_INTERVALS = {
    (directory, "USAGE_INTERVAL_S"): 1.0,
    (subscription, "USAGE_INTERVAL_S"): 1.0,
    (subscription, "RECONNECT_PAUSE_S"): 1.0,
    (directory_router, "MAINTENANCE_INTERVAL_S"): 0.5,
}
FIRST_PART_S = 20 * 60
SECOND_PART_S = 40 * 60
# Samples at the end of each part, as sizes vary with the traffic.
SAMPLES = 12
SAMPLE_INTERVAL_S = 10
# A collection that grows with the traffic triples in the second part.
MAX_GROWTH = 1.5
MAX_ADDED = 12


async def measure(traffic: Traffic, seconds: int) -> Counter[str]:
    """Run traffic; return the largest sizes in the last two minutes."""
    await traffic.run(seconds - SAMPLES * SAMPLE_INTERVAL_S)
    sizes: Counter[str] = Counter()
    for _ in range(SAMPLES):
        await traffic.run(SAMPLE_INTERVAL_S)
        sizes |= count_entries([traffic.router, traffic.directory])
    return sizes


class TestTraffic:
    """A router and a controller forget what has passed."""

    def test_no_collection_grows(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against processes that run out of memory after some days."""
        for (module, name), value in (LOWER_BOUNDS | LONGER_INTERVALS).items():
            monkeypatch.setattr(module, name, value)
        monkeypatch.setattr(upstreams, "RELAY_CLOSE_S", 0.0)
        random.seed(1)

        held: list[int] = []

        async def test() -> tuple[Counter[str], Counter[str], Counter[int]]:
            async with anyio.create_task_group() as tasks:
                traffic = Traffic(tasks, seed=1)
                monkeypatch.setattr(
                    upstreams, "open_connection", traffic.open_connection
                )
                await traffic.start()
                first = await measure(traffic, FIRST_PART_S)
                second = await measure(traffic, SECOND_PART_S)
                await traffic.run(30, sends_requests=False)
                held.append(traffic.router._upstreams.buffers.size)
                tasks.cancel_scope.cancel()
            return first, second, traffic.statuses

        first, second, statuses = anyio.run(test)
        # Most requests are served, so that nothing stays empty.
        assert statuses[200] > 0.4 * statuses.total()
        grown = {
            path: (first[path], size)
            for path, size in second.items()
            if size > first[path] * MAX_GROWTH + MAX_ADDED
        }
        assert not grown, grown
        assert held == [0]
