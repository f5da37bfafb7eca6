"""The memory that the process may use, as the system limits it."""

from __future__ import annotations

import ctypes
import os
import resource
from collections.abc import Iterator
from pathlib import Path

import logbook

from ..connection.request_memory import RequestMemory, compute_room
from .settings import MemorySettings

CGROUP_FOLDER = Path("/sys/fs/cgroup")
OWN_CGROUPS = Path("/proc/self/cgroup")
# Address space and data segment without requests, beyond the memory that is
# in use: mapped libraries, and stacks and heaps of threads. A router takes
# 887 MB and 127 MB in all, a controller 960 MB and 135 MB.
ADDRESS_SPACE_BYTES = 960 * 1024 * 1024
DATA_BYTES = 80 * 1024 * 1024

_log = logbook.Logger("memory")


def build_request_memory(settings: MemorySettings) -> RequestMemory:
    """Return the account of a process, with the room that its limits leave.

    Parameters
    ----------
    settings : MemorySettings
    """
    limit = find_memory_limit()
    memory = RequestMemory(compute_room(limit, settings.request_bytes))
    memory.address_fraction = settings.address_share
    memory.reserved_fraction = settings.reserved_share
    memory.body_timeout_s = settings.body_timeout_s
    memory.body_rate = settings.body_rate
    _log.info(
        "room for requests bytes={} memory={}", memory.max_size, int(limit)
    )
    return memory


def find_memory_limit() -> float:
    """Return the smallest limit of the process's memory, in bytes.

    It is the least of the machine's memory, the limits of the cgroup and its
    parents, and the resource limits.
    """
    machine = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    limits = [float(machine), *list_cgroup_limits(CGROUP_FOLDER, OWN_CGROUPS)]
    for kind, used in (
        (resource.RLIMIT_AS, ADDRESS_SPACE_BYTES),
        (resource.RLIMIT_DATA, DATA_BYTES),
    ):
        soft, _ = resource.getrlimit(kind)
        if soft != resource.RLIM_INFINITY:
            limits.append(max(0.0, float(soft - used)))
    return min(limits)


def list_cgroup_limits(folder: Path, own: Path) -> Iterator[float]:
    """Yield the memory limits of a process's cgroups, in bytes.

    Parameters
    ----------
    folder : Path
        Where the cgroup file systems are mounted.
    own : Path
        File with the cgroups of the process, such as `/proc/self/cgroup`.
    """
    for line in _read(own).splitlines():
        number, controllers, path = ([*line.split(":", 2), "", ""])[:3]
        if number == "0" and not controllers:
            root, name = folder, "memory.max"
        elif "memory" in controllers.split(","):
            root, name = folder / "memory", "memory.limit_in_bytes"
        else:
            continue
        parts = [part for part in path.split("/") if part not in ("", "..")]
        # Within a container the path may be that of the host, so folders on
        # the way may be missing.
        for depth in range(len(parts) + 1):
            text = _read(root.joinpath(*parts[:depth], name)).strip()
            if text.isdecimal():
                yield float(text)


def return_unused_memory() -> None:
    """Return the allocator's free memory to the system.

    Without it a process keeps much of what a burst of large bodies took.
    """
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (AttributeError, OSError) as error:
        # The C library isn't glibc.
        _log.debug("unused memory isn't returned: {}", error)


def _read(path: Path) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        # Most of the files don't exist on most machines.
        _log.debug("{} can't be read: {}", path, error)
        return ""
