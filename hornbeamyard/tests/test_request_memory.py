"""Tests of the account of request bytes, and of the memory limits."""

from __future__ import annotations

import resource
from pathlib import Path

import pytest

from hornbeamyard.connection.request_memory import (
    BASE_BYTES,
    MIN_ROOM_BYTES,
    SMALL_REQUEST_BYTES,
    STALL_S,
    RequestBytes,
    RequestMemory,
    compute_room,
)
from hornbeamyard.process import memory_limits

MEBIBYTE = 1024 * 1024
LARGE = 4 * MEBIBYTE
ROOM = 32 * MEBIBYTE


class Crowd:
    """Requests of some addresses, and those that had to give way."""

    def __init__(self) -> None:
        self.memory = RequestMemory(ROOM)
        self.evicted: list[str] = []

    def open(
        self, address: str, size: int, now: float, expected_size: int = 0
    ) -> tuple[RequestBytes, bool]:
        """Open a request; return it, and whether it may hold its bytes."""
        request = self.memory.open(
            address, now, lambda: self.evicted.append(address), expected_size
        )
        return request, request.add(size, now)


class TestRoom:
    """The room follows the smallest limit."""

    @pytest.mark.parametrize("megabytes", [160, 296, 440, 32_000])
    def test_leaves_the_process_its_memory(self, megabytes: int) -> None:
        """Guards against bodies that fill a small machine."""
        memory = megabytes * 10**6
        room = compute_room(memory)
        assert BASE_BYTES + 3 * room <= memory
        assert room >= 6 * LARGE
        assert compute_room(memory, MEBIBYTE) == MEBIBYTE
        assert compute_room(0) == MIN_ROOM_BYTES

    def test_cgroups(self, tmp_path: Path) -> None:
        """Guards against a container whose limit isn't seen."""
        own = tmp_path / "cgroup"
        own.write_text("5:cpu,memory:/b\n0::/a/b\n3:cpu:/c\n")
        for path, text in (
            ("a/memory.max", "300\n"),
            ("a/b/memory.max", "max\n"),
            ("memory/memory.limit_in_bytes", "500\n"),
            ("memory/b/memory.limit_in_bytes", "400\n"),
        ):
            (tmp_path / path).parent.mkdir(parents=True, exist_ok=True)
            (tmp_path / path).write_text(text)
        limits = memory_limits.list_cgroup_limits(tmp_path, own)
        assert sorted(limits) == [300.0, 400.0, 500.0]
        missing = tmp_path / "missing"
        assert not list(memory_limits.list_cgroup_limits(tmp_path, missing))

    def test_resource_limits(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a resource limit that isn't seen."""
        limits = {resource.RLIMIT_DATA: 300 * MEBIBYTE}
        monkeypatch.setattr(
            "resource.getrlimit",
            lambda kind: (limits.get(kind, resource.RLIM_INFINITY), -1),
        )
        expected = limits[resource.RLIMIT_DATA] - memory_limits.DATA_BYTES
        assert memory_limits.find_memory_limit() == expected


class TestAccount:
    """Requests get room by size, address and progress."""

    def test_single_request(self) -> None:
        """Guards against a request within the limits that never fits."""
        crowd = Crowd()
        request, is_held = crowd.open("a", 2 * ROOM, 0.0)
        assert is_held
        request.release()
        assert crowd.memory.is_empty()

    def test_reserve(self) -> None:
        """Guards against ordinary requests kept out by large ones."""
        crowd = Crowd()
        held = [crowd.open(f"a{n}", LARGE, 0.0)[1] for n in range(9)]
        assert held == [True] * 7 + [False] * 2
        assert crowd.open("b", SMALL_REQUEST_BYTES, 0.0)[1]
        # A large one can't begin in the reserve.
        assert not crowd.open("b", SMALL_REQUEST_BYTES, 0.0, LARGE)[1]
        assert crowd.evicted == []

    def test_address(self) -> None:
        """Guards against one address that keeps out the others."""
        crowd = Crowd()
        held = [crowd.open("a", LARGE, 0.0)[1] for _ in range(7)]
        assert held == [True] * 6 + [False]
        # Its own requests give way, also if another's is slower.
        assert crowd.open("b", LARGE, -1.0)[1]
        assert crowd.open("a", LARGE, 1.0)[1]
        assert crowd.evicted == ["a"]

    def test_least_progress_gives_way(self) -> None:
        """Guards against a slow upload that ends before a stalled one."""
        crowd = Crowd()
        size = 6 * MEBIBYTE
        requests = [crowd.open(f"a{n}", size, n / 10)[0] for n in range(4)]
        # Single bytes are no progress, a part of the body is.
        assert requests[0].add(1, 5.0)
        assert requests[1].add(MEBIBYTE, 5.0)
        requests[2].complete()
        assert crowd.open("b", size, 5.0)[1]
        assert crowd.evicted == ["a0"]
        assert crowd.open("b", size, 5.0)[1]
        assert crowd.evicted == ["a0", "a3"]
        # What makes progress, or is complete, stays.
        assert not crowd.open("b", size, 5.0 + STALL_S / 2)[1]
        assert crowd.evicted == ["a0", "a3"]

    def test_rate(self) -> None:
        """Guards against bodies without progress that are kept for ever."""
        memory = RequestMemory()
        request = memory.open("a", 0.0, lambda: None)
        needed = int(memory.body_rate * memory.body_timeout_s)
        assert request.add(needed - 1, 59.0)
        assert not request.is_late(59.9)
        assert request.is_late(60.0)
        assert request.add(1, 59.9)
        assert not request.is_late(119.0)
        assert request.is_late(120.0)
