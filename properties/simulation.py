"""Simulated hosts, disks and network in virtual time, for controllers."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import Any

import anyio
import anyio.abc

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.version.journal import SET_ASIDE_FOLDER, Journal
from hornbeamyard.version.replica import Replica

FLEET = "simulated"
# Small, so that each run takes and sends several snapshots.
SNAPSHOT_ENTRIES = 15


class HostTimers(VirtualTimers):
    """The drifting clock of a host and the timers of its process.

    While the process is frozen, its timers and incoming messages wait.

    Parameters
    ----------
    sim_clock : VirtualTimers
        The time of the simulation.
    rate : float
        Seconds of this clock per second of the simulation.
    skew_ms : int
        Offset of the wall clock in milliseconds.
    """

    __slots__ = ("_deferred", "_rate", "_sim_clock", "_skew_ms", "is_frozen")

    def __init__(
        self, sim_clock: VirtualTimers, rate: float, skew_ms: int
    ) -> None:
        super().__init__()
        self._sim_clock = sim_clock
        self._rate = rate
        self._skew_ms = skew_ms
        self._deferred: list[Callable[[], object]] = []
        self.is_frozen = False

    def now(self) -> float:
        """Return the host's monotonic time in seconds."""
        return self._sim_clock.now() * self._rate

    def wall_ms(self) -> int:
        """Return the host's wall-clock time in milliseconds since 1970."""
        return self._sim_clock.wall_ms() + self._skew_ms

    def call_at(self, due: float, fire: Callable[[], object]) -> None:
        """Call `fire` at a time of this clock, or once the process resumes."""
        # A microsecond later, so that rounding never fires a timer early.
        sim_due = due / self._rate + 1e-6
        self._sim_clock.call_at(sim_due, partial(self.run, fire))

    def run(self, fire: Callable[[], object]) -> None:
        """Call `fire` now, or once the process resumes."""
        if self.is_frozen:
            self._deferred.append(fire)
        else:
            fire()

    def freeze(self) -> None:
        """Suspend the process."""
        self.is_frozen = True

    def resume(self) -> None:
        """Resume the process and make all the calls that have waited."""
        self.is_frozen = False
        deferred, self._deferred = self._deferred, []
        for fire in deferred:
            fire()

    def discard(self) -> None:
        """Drop the waiting calls, because the process has ended."""
        self.is_frozen = False
        self._deferred = []


class FakeDisk:
    """Files that survive a crash, except for the write in progress.

    Attributes
    ----------
    files : dict of str to bytes
    timers : VirtualTimers or None
        Timers of the running process; without it, writes take no time.
    max_write_s : float
        Maximum time of a write in seconds.
    fails : bool
        Whether writes raise errors.
    """

    def __init__(self, rng: random.Random) -> None:
        self.files: dict[str, bytes] = {}
        self.timers: VirtualTimers | None = None
        self.max_write_s = 0.01
        self.fails = False
        self._rng = rng
        self._unsynced: tuple[str, bytes] | None = None

    async def load(self, name: str) -> bytes | None:
        """Return a file's content."""
        return self.files.get(name)

    async def exists(self, name: str) -> bool:
        """Return whether a file exists."""
        return name in self.files

    async def append(self, name: str, data: bytes) -> None:
        """Append to a file; a crash may keep any part of the data."""
        if name not in self.files:
            raise FileNotFoundError(2, "No such file or directory", name)
        before = self.files[name]
        if self.fails:
            part = self._rng.randint(0, len(data))
            self.files[name] = before + data[:part]
            raise OSError(28, "No space left on device")
        kept = self._rng.choice(
            [0, self._rng.randint(0, len(data)), len(data)]
        )
        await self._write(name, before + data[:kept], before + data)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file; a crash keeps either the old or the new one."""
        if self.fails:
            raise OSError(5, "Input/output error")
        kept = self.files.get(name)
        if kept is None or self._rng.random() < 0.5:
            kept = data
        await self._write(name, kept, data)

    async def set_aside(self, names: Sequence[str], reason: str) -> str:
        """Rename files; a crash may come between any two."""
        if self.fails:
            raise OSError(28, "No space left on device")
        place = f"{SET_ASIDE_FOLDER}/{len(self.files)}"
        self.files[f"{place}/reason"] = reason.encode()
        for name in names:
            if name in self.files:
                self.files[f"{place}/{name}"] = self.files.pop(name)
                if self.timers is not None:
                    await self.timers.sleep(self._rng.uniform(0, 0.002))
        return place

    async def has_set_aside(self) -> bool:
        """Return whether files were set aside."""
        return any(name.startswith(SET_ASIDE_FOLDER) for name in self.files)

    async def _write(self, name: str, if_crashed: bytes, data: bytes) -> None:
        if self.timers is None:
            self.files[name] = data
            return
        self._unsynced = name, if_crashed
        await self.timers.sleep(self._rng.uniform(0, self.max_write_s))
        self._unsynced = None
        self.files[name] = data
        # A crash here happens after the sync and before any reply.
        await self.timers.sleep(self._rng.uniform(0, 0.002))

    def crash(self) -> None:
        """Keep some, none or all of a write that isn't synced yet."""
        if self._unsynced is not None:
            name, data = self._unsynced
            self.files[name] = data
        self._unsynced = None


class Network:
    """Delays, drops, duplicates and reorders messages.

    Attributes
    ----------
    blocked : set of (str, str)
        Pairs of source and target host whose messages are dropped.
    loss_rate, duplicate_rate : float
        Probabilities that a message is dropped or duplicated.
    min_delay_s, max_delay_s : float
        Bounds of the delay of a message in seconds.
    hosts : dict of str to Host
    """

    def __init__(self, sim_clock: VirtualTimers, rng: random.Random) -> None:
        self.blocked: set[tuple[str, str]] = set()
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.min_delay_s = 0.0005
        self.max_delay_s = 0.02
        self.hosts: dict[str, Host] = {}
        self._sim_clock = sim_clock
        self._rng = rng

    def send(self, source: str, target: str, fire: Callable[[], None]) -> None:
        """Send a message whose delivery calls `fire` at the target host."""
        count = 2 if self._rng.random() < self.duplicate_rate else 1
        for _ in range(count):
            lost = self._rng.random() < self.loss_rate
            delay = self._rng.uniform(self.min_delay_s, self.max_delay_s)
            if not lost:
                self._sim_clock.call_at(
                    self._sim_clock.now() + delay,
                    partial(self._deliver, source, target, fire),
                )

    def _deliver(
        self, source: str, target: str, fire: Callable[[], None]
    ) -> None:
        if (source, target) not in self.blocked:
            self.hosts[target].timers.run(fire)


class SimulatedCalls:
    """Calls from one process to others over the simulated network."""

    def __init__(self, network: Network, host: Host) -> None:
        self._network = network
        self._host = host

    async def vote(self, address: str, request: Any) -> Any:
        """Ask for a vote."""
        return await self._call(address, "handle_vote", request)

    async def append(self, address: str, request: Any) -> Any:
        """Send entries."""
        return await self._call(address, "handle_append", request)

    async def install(self, address: str, request: Any) -> Any:
        """Send a chunk of a snapshot."""
        return await self._call(address, "handle_install", request)

    async def transfer(self, address: str, request: Any) -> Any:
        """Ask a member to campaign for the leadership."""
        return await self._call(address, "handle_transfer", request)

    async def _call(self, address: str, method: str, request: Any) -> Any:
        source = self._host
        target = self._network.hosts[address]
        data = request.SerializeToString()
        answered = anyio.Event()
        replies: list[Any] = []

        def handle_reply(reply: Any) -> None:
            replies.append(reply)
            answered.set()

        async def handle() -> None:
            handler = self._find_handler(target, method)
            reply = await handler(type(request).FromString(data))
            if reply is None:
                return
            copy = type(reply).FromString(reply.SerializeToString())
            self._network.send(
                target.name, source.name, partial(handle_reply, copy)
            )

        self._network.send(
            source.name, target.name, partial(target.spawn, handle)
        )
        await answered.wait()
        return replies[0]

    def _find_handler(self, target: Host, method: str) -> Any:
        return getattr(target.replica.election, method)


class Host:
    """A host whose controller process starts, crashes and freezes.

    Attributes
    ----------
    replica : Replica
        Of the newest process.
    is_running : bool
        Whether the process was started and has not crashed.
    is_up : bool
        Whether it has also loaded its journal.
    """

    def __init__(
        self,
        name: str,
        sim_clock: VirtualTimers,
        network: Network,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.timers = HostTimers(
            sim_clock, rng.uniform(0.96, 1.04), rng.randint(-500, 500)
        )
        self.disk = FakeDisk(rng)
        self.replica: Replica
        self.is_running = False
        self.is_up = False
        self._scope: anyio.CancelScope | None = None
        self._network = network
        self._rng = rng
        self._starts = 0
        self._tasks: anyio.abc.TaskGroup | None = None
        network.hosts[name] = self

    async def initialize(self, members: fleet_pb2.MemberList) -> None:
        """Write the first member list to the disk."""
        journal = Journal(self.disk, FLEET)
        first = fleet_pb2.LogEntry(index=1, members=members)
        await journal.initialize(self._rng.randbytes(16), [first])

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the process."""
        self._starts += 1
        self.timers.is_frozen = False
        self.disk.timers = self.timers
        self.disk.fails = False
        identity = fleet_pb2.Identity(
            fleet=FLEET, host=self.name, incarnation=self._starts
        )
        self.replica = self._build_replica(identity)
        self.is_running = True
        self._scope = anyio.CancelScope()
        tasks.start_soon(self._run, self.replica, self._scope)

    def _build_replica(self, identity: fleet_pb2.Identity) -> Replica:
        return Replica(
            identity,
            self.name,
            self.disk,
            SimulatedCalls(self._network, self),
            self.timers,
            random.Random(self._rng.getrandbits(64)),
            snapshot_entries=SNAPSHOT_ENTRIES,
        )

    async def _run(self, replica: Replica, scope: anyio.CancelScope) -> None:
        with scope:
            async with anyio.create_task_group() as tasks:
                await tasks.start(replica.run)
                self._tasks = tasks
                self.is_up = True

    def spawn(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run a task in the process, if it is up."""
        if self.is_up and self._tasks is not None:
            self._tasks.start_soon(work)

    def crash(self) -> None:
        """Stop the process abruptly."""
        self.is_running = self.is_up = False
        if self._scope is not None:
            self._scope.cancel()
        self._tasks = None
        self.disk.crash()
        self.timers.discard()

    def is_leading(self) -> bool:
        """Return whether the process runs and is the leader with a lease."""
        return (
            self.is_up
            and not self.timers.is_frozen
            and self.replica.is_leader()
        )
