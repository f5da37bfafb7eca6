"""Orders of starts, kills, lost disks and cuts that five controllers outlast.

An order is played with the simulated fleet while an operator submits one
version after the other and reads each back. Run as a module, it plays orders
drawn by seed, or all orders of a coarse grid, and prints those that fail::

    python -m properties.controller_orders --seed 1 --orders 500
    python -m properties.controller_orders --few --orders 500
    python -m properties.controller_orders --depth 2 --orders 1000
    python -m properties.controller_orders --play "seed=3; 0.3 kill c0 0.5"

An order is text: a seed and events, each with a time, a kind, hosts and a
duration in seconds. The time is absolute, or follows a condition: ``ack+0.1``
is 0.1 s after the first acknowledgement, ``next+0`` after the acknowledgement
of a version that isn't submitted yet, ``settled+0`` the same once no machine
counts as lost, ``then+1`` 1 s after the event before, and ``write2+0`` while
the first of the hosts writes to its disk for the second time. A host is a
name, or ``leader``, or ``#2`` for the third of those that run, or ``all``.
"""

from __future__ import annotations

import argparse
import itertools
import random
import sys
import time
import zlib
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial

import anyio
import anyio.abc
import logbook

from .fleet_simulation import (
    CATCH_UP_S,
    RECOVERY_S,
    TOLERATED_HOSTS,
    Controller,
    SimulatedFleet,
)
from .history import InvariantError, require

CONTROLLERS = 2 * TOLERATED_HOSTS + 1
# All start within 0.3 s of each other.
START_INTERVAL_S = 0.06
# The operator waits so long after a version has been read back, and repeats a
# read without a reply after the same time.
OPERATOR_PAUSE_S = 0.5
# Interval of the checks, and of the conditions that an event waits for.
CHECK_INTERVAL_S = 0.1
# A write that an event waits for has begun by then.
LAST_WRITE_S = 4.0
# Versions that are submitted and read back once all controllers are back.
FINAL_CYCLES = 1

NEVER = float("inf")
# The outcome for a fleet that wasn't required to start.
BEYOND = "beyond"


@dataclass(slots=True, frozen=True)
class Event:
    """A disruption of some controllers.

    Attributes
    ----------
    base : str
        What the time counts from: empty for the start of the order, `ack`,
        `next`, `settled`, `then` or `write` with a number.
    at : float
        Time after `base` in seconds.
    kind : str
        ``late`` (first start at the end of the duration, which the platform
        no longer calls a first start), ``delay`` (the same, called one),
        ``kill``, ``lose`` (killed, and back with an empty disk), ``cut`` or
        ``replace`` (gone for good, with a successor at a new address).
    hosts : tuple of str
    duration : float
        Time until the hosts are back, in seconds.
    """

    base: str
    at: float
    kind: str
    hosts: tuple[str, ...]
    duration: float

    def __str__(self) -> str:
        base = f"{self.base}+" if self.base else ""
        hosts = ",".join(self.hosts)
        return f"{base}{self.at:g} {self.kind} {hosts} {self.duration:g}"


@dataclass(slots=True, frozen=True)
class Order:
    """Events, and the seed of all else that is random."""

    seed: int
    events: tuple[Event, ...]

    def __str__(self) -> str:
        return "; ".join([f"seed={self.seed}", *map(str, self.events)])


def parse_order(text: str) -> Order:
    """Return the order that a text describes.

    Raises
    ------
    ValueError
        If the text isn't an order.
    """
    first, *others = [part.strip() for part in text.split(";")]
    key, _, seed = first.partition("=")
    if key != "seed":
        raise ValueError(f"{text!r} doesn't begin with a seed")
    events = []
    for part in others:
        when, kind, hosts, duration = part.split()
        base, _, at = when.rpartition("+")
        events.append(
            Event(
                base, float(at), kind, tuple(hosts.split(",")), float(duration)
            )
        )
    return Order(int(seed), tuple(events))


class Losses:
    """The machines and disks that count as lost.

    A machine counts until `CATCH_UP_S` after it is back. Once more machines
    than tolerated are lost, all of them count until `RECOVERY_S` after the
    last one is back, because nothing can be repaired before.

    Attributes
    ----------
    changed_at : float
        When a machine was last lost or back, in seconds.
    is_exceeded : bool
        Whether service may be suspended.
    """

    def __init__(self) -> None:
        self.changed_at = 0.0
        self.is_exceeded = False
        # Time of the return by cause and machine, and whether with a disk.
        self._lost: dict[tuple[object, str], tuple[float, bool]] = {}

    def add(
        self, cause: object, host: str, with_disk: bool, now: float
    ) -> None:
        """Count a machine as lost from now on."""
        self._expire(now)
        self._lost[cause, host] = NEVER, with_disk
        self.changed_at = now
        self.is_exceeded |= len(self.list_hosts(now)) > TOLERATED_HOSTS

    def end(self, cause: object, host: str, now: float) -> None:
        """Note that a machine, or its successor, is back."""
        _, with_disk = self._lost[cause, host]
        self._lost[cause, host] = now, with_disk
        self.changed_at = now

    def _expire(self, now: float) -> None:
        last = max((at for at, _ in self._lost.values()), default=0.0)
        if self.is_exceeded:
            if now >= last + RECOVERY_S:
                self._lost.clear()
                self.is_exceeded = False
            return
        for key, (at, _) in list(self._lost.items()):
            if now >= at + CATCH_UP_S:
                del self._lost[key]

    def are_down(self) -> bool:
        """Return whether a machine isn't back yet."""
        return any(at == NEVER for at, _ in self._lost.values())

    def list_hosts(self, now: float) -> set[str]:
        """Return the machines that count as lost."""
        self._expire(now)
        return {host for _, host in self._lost}

    def list_disks(self, now: float) -> set[str]:
        """Return the machines whose lost disks count."""
        self._expire(now)
        return {host for (_, host), (_, disk) in self._lost.items() if disk}

    def find_deadline(self) -> float:
        """Return when what was due before has to be done."""
        if not self.is_exceeded:
            return self.changed_at + RECOVERY_S
        last = max((at for at, _ in self._lost.values()), default=0.0)
        return last + RECOVERY_S


class OrderRun:
    """Plays an order and checks what the operator and the logs show.

    Attributes
    ----------
    notes : list of str
        What happened, with times.
    """

    def __init__(self, order: Order, tasks: anyio.abc.TaskGroup) -> None:
        self.order = order
        self.notes: list[str] = []
        self._fleet = SimulatedFleet(order.seed, tasks)
        self._losses = Losses()
        self._began_at = self._fleet.sim_clock.now()
        self._next_name = CONTROLLERS
        self._cuts: dict[int, list[str]] = {}
        self._numbers = itertools.count()
        # Controllers that start for the first time later.
        self._starting: set[str] = set()
        self._newest_version = 0
        # The version in progress, if any, and since when.
        self._version = 0
        self._version_at = 0.0
        self._cycles = 0
        self._errors: list[str] = []
        self._entries: dict[int, tuple[str, bytes]] = {}
        self._states: dict[int, tuple[str, tuple[int, int, bytes]]] = {}
        # The last entry that was checked of each process.
        self._checked: dict[tuple[str, int], int] = {}
        # Controllers that no longer know of their first start.
        self._forgetful: set[str] = set()
        self._is_founded = False
        # Number of writes that each controller has begun.
        self._writes: Counter[str] = Counter()

    # ---- time ------------------------------------------------------------

    def now(self) -> float:
        """Return the time since the begin of the order, in seconds."""
        return self._fleet.sim_clock.now() - self._began_at

    def _call_later(self, delay_s: float, call: partial[None]) -> None:
        self._fleet.sim_clock.call_at(
            self._fleet.sim_clock.now() + delay_s, call
        )

    def _note(self, text: str) -> None:
        self.notes.append(f"{self.now():7.3f} {text}")

    async def run(self) -> None:
        """Play the order.

        Raises
        ------
        InvariantError
            If the controllers break one of the guarantees.
        """
        self._start_fleet()
        self._call_later(0.0, partial(self._submit_next))
        for event in self.order.events:
            if event.kind in ("late", "delay"):
                continue
            await self._wait_for(event)
            self._apply(event)
        await self._finish()

    async def _step(self, limit_s: float = CHECK_INTERVAL_S) -> None:
        await self._fleet.advance(min(limit_s, CHECK_INTERVAL_S))
        self._check()

    async def _advance_to(self, at: float) -> None:
        while self.now() < at - 1e-9:
            await self._step(at - self.now())

    async def _wait_for(self, event: Event) -> None:
        if not event.base:
            await self._advance_to(event.at)
            return
        if event.base == "ack":
            await self._wait_for_ack(1)
        elif event.base == "next":
            await self._wait_for_ack(self._newest_version + 1)
        elif event.base == "settled":
            await self._wait_until_settled()
            await self._wait_for_ack(self._newest_version + 1)
        elif event.base.startswith("write"):
            await self._wait_for_write(
                event.hosts[0], int(event.base.removeprefix("write"))
            )
        await self._advance_to(self.now() + event.at)

    async def _wait_for_ack(self, version: int) -> None:
        while self._fleet.acknowledged < version and self.is_required():
            # As soon after the acknowledgement as possible.
            await self._step(0.01)

    async def _wait_for_write(self, name: str, number: int) -> None:
        while self._writes[name] < number and self.now() < LAST_WRITE_S:
            await self._step(0.001)

    async def _wait_until_settled(self) -> None:
        """Wait until no machine counts as lost."""
        while self._losses.list_hosts(self.now()) or self._starting:
            await self._step()

    async def _finish(self) -> None:
        """Wait until all are back, and versions have been read back since."""
        while self._losses.are_down() or self._starting:
            await self._step()
        # One that is in progress now may have begun before.
        last = self._cycles + FINAL_CYCLES + 1
        while self._cycles < last and self.is_required():
            await self._step()

    def is_required(self) -> bool:
        """Return whether the fleet has to start.

        If more controllers than tolerated have forgotten their first start
        before the founding, it looks like a fleet that has lost their disks.
        """
        return self._is_founded or len(self._forgetful) <= TOLERATED_HOSTS

    # ---- events ----------------------------------------------------------

    def _start_fleet(self) -> None:
        special = {
            host: event
            for event in self.order.events
            if event.kind in ("late", "delay")
            for host in event.hosts
        }
        for number in range(CONTROLLERS):
            name = f"c{number}"
            self._starting.add(name)
            delay_s = START_INTERVAL_S * number
            is_first = True
            if name in special:
                event = special[name]
                delay_s = event.duration
                is_first = event.kind == "delay"
                self._losses.add(event, name, False, self.now())
            self._call_later(
                delay_s,
                partial(self._start_first, name, is_first, special.get(name)),
            )

    def _start_first(
        self, name: str, is_first: bool, event: Event | None
    ) -> None:
        self._note(f"{name} starts, first_start={is_first}")
        self._starting.discard(name)
        if event is not None:
            self._losses.end(event, name, self.now())
        if not is_first:
            self._forgetful.add(name)
        self._count_writes(self._fleet.start(name, first_start=is_first))
        self._refresh_cuts()

    def _count_writes(self, controller: Controller) -> None:
        """Count the writes that a controller begins from now on."""
        write = controller.disk._write

        async def count(name: str, if_crashed: bytes, data: bytes) -> None:
            self._writes[controller.name] += 1
            await write(name, if_crashed, data)

        controller.disk._write = count  # type: ignore[method-assign]

    def _resolve(self, event: Event) -> list[str]:
        """Return the hosts of an event that run, or can be cut off."""
        controllers = self._fleet.controllers
        running = sorted(
            (name for name in controllers if controllers[name].is_running),
            key=lambda name: int(name[1:]),
        )
        known = running
        if event.kind == "cut":
            known = [*controllers, *self._starting]
        names: list[str] = []
        for host in event.hosts:
            if host == "all":
                names.extend(running)
            elif host == "leader":
                leader = self._fleet.find_leader()
                names.extend([] if leader is None else [leader.name])
            elif host.startswith("#"):
                names.extend(running[int(host[1:]) :][:1])
            else:
                names.extend([host] if host in known else [])
        return list(dict.fromkeys(names))

    def _apply(self, event: Event) -> None:
        self._check()
        names = self._resolve(event)
        if not names:
            self._note(f"{event}: left out, no such host runs")
            return
        if event.kind in ("lose", "replace"):
            held = {n for n in names if self._fleet.controllers[n].disk.files}
            disks = self._losses.list_disks(self.now()) | held
            if len(disks) > TOLERATED_HOSTS:
                self._note(f"{event}: left out, it exceeds the lost disks")
                return
        self._note(f"{event}: {', '.join(names)}")
        if event.kind == "cut":
            self._cut(event, names)
            return
        number = next(self._numbers)
        for name in names:
            self._end_process(number, event, name)

    def _end_process(self, number: int, event: Event, name: str) -> None:
        controller = self._fleet.controllers[name]
        if event.kind == "kill":
            controller.crash()
            with_disk = False
        else:
            with_disk = bool(controller.disk.files)
            if event.kind == "lose":
                self._fleet.lose_disk(name)
            else:
                self._fleet.remove(name)
                self._forgetful.discard(name)
        self._losses.add(number, name, with_disk, self.now())
        if event.kind == "replace":
            successor = f"c{self._next_name}"
            self._next_name += 1
            self._starting.add(successor)
            back = partial(self._start_successor, number, name, successor)
        else:
            back = partial(self._restart, number, name)
        self._call_later(event.duration, back)

    def _restart(self, number: int, name: str) -> None:
        controller = self._fleet.controllers[name]
        self._note(f"{name} is back")
        self._losses.end(number, name, self.now())
        if not controller.disk.files:
            self._forgetful.add(name)
        self._fleet.start(name)

    def _start_successor(self, number: int, name: str, successor: str) -> None:
        self._note(f"{successor} starts in place of {name}")
        self._losses.end(number, name, self.now())
        self._starting.discard(successor)
        self._forgetful.add(successor)
        self._fleet.start(successor)
        self._refresh_cuts()

    def _cut(self, event: Event, names: list[str]) -> None:
        number = next(self._numbers)
        self._cuts[number] = names
        others = {*self._fleet.controllers, *self._starting} - set(names)
        lost = names if len(names) <= len(others) else sorted(others)
        for name in lost:
            self._losses.add(number, name, False, self.now())
        self._refresh_cuts()
        self._call_later(
            event.duration, partial(self._heal, number, event, lost)
        )

    def _heal(self, number: int, event: Event, lost: Sequence[str]) -> None:
        self._note(f"{event} ends")
        del self._cuts[number]
        for name in lost:
            self._losses.end(number, name, self.now())
        self._refresh_cuts()

    def _refresh_cuts(self) -> None:
        self._fleet.heal()
        for names in self._cuts.values():
            self._fleet.cut(names)

    # ---- the operator ----------------------------------------------------

    def _submit_next(self) -> None:
        self._version = self._fleet.begin_submission()
        self._newest_version = self._version
        self._version_at = self.now()
        self._read_once_acknowledged(self._version)

    def _read_once_acknowledged(self, version: int) -> None:
        if self._fleet.acknowledged < version:
            self._call_later(
                CHECK_INTERVAL_S,
                partial(self._read_once_acknowledged, version),
            )
            return
        if version == 1:
            self._note("the first version is acknowledged")
        self._read(version)

    def _read(self, version: int) -> None:
        """Read from all controllers until one replies."""
        if self._version != version:
            return
        for controller in self._fleet.controllers.values():
            controller.spawn(partial(self._read_from, controller, version))
        self._call_later(OPERATOR_PAUSE_S, partial(self._read, version))

    async def _read_from(self, controller: Controller, version: int) -> None:
        expected = self._fleet.acknowledged
        result = await controller.replica.confirm_state()
        if result.is_err():
            return
        found = int(result.unwrap().routing.version)
        if found < expected:
            self._errors.append(
                f"lost: {controller.name} shows version {found} after "
                f"{expected} was acknowledged"
            )
        elif self._version == version:
            self._cycles += 1
            self._version = 0
            self._version_at = NEVER
            self._call_later(OPERATOR_PAUSE_S, partial(self._submit_next))

    # ---- checks ----------------------------------------------------------

    def _check(self) -> None:
        for controller in self._fleet.controllers.values():
            if controller.is_up:
                self._check_log(controller)
        if self._errors:
            raise InvariantError(self._errors[0])
        if not self.is_required():
            return
        due = max(self._version_at + RECOVERY_S, self._losses.find_deadline())
        if self.now() <= due + CHECK_INTERVAL_S:
            return
        what = "acknowledged"
        if self._fleet.acknowledged >= self._version:
            what = "read back"
        if self._fleet.acknowledged == 0:
            what = "acknowledged after the first start"
        lost = sorted(self._losses.list_hosts(self.now()))
        raise InvariantError(
            f"stuck: nothing is {what} for {RECOVERY_S:g} s, lost now: "
            f"{', '.join(lost) or 'none'}"
        )

    def _check_log(self, controller: Controller) -> None:
        """Check that no other controller has applied different entries."""
        replica = controller.replica
        state = replica.state
        process = controller.name, int(replica.identity.incarnation)
        checked = self._checked.get(process, 0)
        if state.last_index == checked:
            return
        self._checked[process] = state.last_index
        self._is_founded = True
        for index in range(checked + 1, state.last_index + 1):
            entry = replica.journal.get_entry(index)
            if entry is None:
                continue
            data = entry.SerializeToString(deterministic=True)
            host, first = self._entries.setdefault(
                index, (controller.name, data)
            )
            require(
                first == data,
                f"two logs: {controller.name} has applied another entry "
                f"{index} than {host}",
            )
        shown = (
            state.last_term,
            int(state.routing.version),
            state.members.SerializeToString(deterministic=True),
        )
        host, before = self._states.setdefault(
            state.last_index, (controller.name, shown)
        )
        require(
            before == shown,
            f"two logs: {controller.name} has another state than {host} "
            f"after entry {state.last_index}",
        )


def play(order: Order) -> tuple[str, list[str]]:
    """Play an order.

    Returns
    -------
    str
        What is wrong; empty if nothing is, and `BEYOND` if more than the
        tolerated controllers forgot their first start before the founding,
        so that the fleet wasn't required to start.
    list of str
        What happened.
    """
    notes: list[str] = []
    outcome = ""

    async def main() -> None:
        nonlocal notes, outcome
        async with anyio.create_task_group() as tasks:
            run = OrderRun(order, tasks)
            notes = run.notes
            try:
                await run.run()
                outcome = "" if run.is_required() else BEYOND
            except InvariantError as error:
                outcome = str(error)
                notes.append(f"{run.now():7.3f} {outcome}")
            tasks.cancel_scope.cancel()

    with logbook.NullHandler().applicationbound():
        try:
            anyio.run(main)
        except ExceptionGroup as group:
            outcome = f"error: {group.exceptions[0]!r}"
    return outcome, notes


def check_order(order: Order) -> None:
    """Play an order.

    Raises
    ------
    InvariantError
        If the controllers break one of the guarantees. It names the order.
    """
    outcome, notes = play(order)
    if outcome not in ("", BEYOND):
        story = "\n".join(notes)
        raise InvariantError(f"{outcome}\norder: {order}\n{story}")


# ---- orders of a grid ----------------------------------------------------

# One host of each class: the lowest seed, the other seeds, and the others.
CLASSES = (("c0",), ("c1", "c2"), ("c3", "c4"))
PAIRS = (("c0", "c1"), ("c0", "c3"), ("c1", "c2"), ("c1", "c3"), ("c3", "c4"))
# Before the data folders exist, between their writes, right after the first
# acknowledgement, and while the events before are repaired.
GRID_TIMES = (("", 0.05), ("", 0.95), ("", 1.1), ("ack", 0.0))
GRID_WRITES = range(1, 7)
PAIR_TIMES = (("", 0.05), ("", 0.95), ("ack", 0.0))
REPAIR_TIMES = (("then", 0.0), ("then", 0.9), ("then", 3.0))
GRID_KINDS = (
    ("kill", 0.5),
    ("kill", 7.0),
    ("lose", 0.5),
    ("lose", 7.0),
    ("cut", 3.0),
    ("replace", 1.0),
)
# A split may last longer than the search for controllers.
PAIR_KINDS = (("kill", 20.0), ("lose", 1.0), ("cut", 6.5))
GRID_STARTS = (("late", 2.0), ("late", 7.0), ("delay", 2.0))
ALL = ("all",)
# How an order ends once all is repaired: the disks of any two are lost, alone
# or while the others lose power.
FINAL_PAIRS = tuple(itertools.combinations(range(CONTROLLERS), 2))


def _list_grid_events(used: Sequence[str], is_first: bool) -> Iterator[Event]:
    """Yield the events of the grid, of one host for each class.

    A class's second host is taken only if the first has had an event, as they
    are alike before.
    """
    hosts = [
        host
        for group in CLASSES
        for position, host in enumerate(group)
        if position == 0 or group[0] in used
    ]
    for host in hosts:
        if host not in used:
            for kind, duration in GRID_STARTS:
                yield Event("", 0.0, kind, (host,), duration)
    later = () if is_first else REPAIR_TIMES
    for base, at in (*GRID_TIMES, *later):
        for host in hosts:
            for kind, duration in GRID_KINDS:
                yield Event(base, at, kind, (host,), duration)
        yield Event(base, at, "kill", ALL, 0.5)
    for base, at in (*PAIR_TIMES, *later):
        for pair in PAIRS:
            for kind, duration in PAIR_KINDS:
                yield Event(base, at, kind, pair, duration)
    for number in GRID_WRITES if is_first else ():
        for host in hosts:
            yield Event(f"write{number}", 0.0, "kill", (host,), 0.5)
        yield Event(f"write{number}", 0.0, "kill", ("c0", "all"), 0.5)


def list_orders(depth: int) -> Iterator[Order]:
    """Yield all orders of the grid with so many events before the last ones.

    The pair that is lost at the end, and the seed, depend on the events only.
    """
    for events in _list_sequences(depth):
        key = zlib.crc32("; ".join(map(str, events)).encode())
        for end in _list_ends(events, key):
            yield Order(key >> 8, (*events, *end))


def _list_sequences(depth: int) -> Iterator[tuple[Event, ...]]:
    if depth == 0:
        yield ()
        return
    for before in _list_sequences(depth - 1):
        used = [host for event in before for host in event.hosts]
        for event in _list_grid_events(used, not before):
            if not before or _is_in_order(before[-1], event):
                yield (*before, event)


def _is_in_order(first: Event, second: Event) -> bool:
    """Return whether the second event follows the first, or is unlike it."""
    if second.base == "then":
        return first.kind not in ("late", "delay")
    return first.base != "then" and _rank(first) <= _rank(second)


def _rank(event: Event) -> tuple[int, float, str, tuple[str, ...]]:
    bases = ["", "write", "ack"]
    position = bases.index(event.base.rstrip("0123456789"))
    return position, event.at, event.kind, event.hosts


def _list_ends(
    events: Sequence[Event], key: int
) -> Iterator[tuple[Event, ...]]:
    """Yield the losses at the end; a key decides which pair is lost."""
    pair = tuple(f"#{n}" for n in FINAL_PAIRS[key % len(FINAL_PAIRS)])
    lost = Event("settled", 0.0, "lose", pair, 1.0)
    if key & 64:
        yield lost, Event("then", 0.0, "kill", ALL, 1.0)
    else:
        yield (lost,)
    last = events[-1] if events else None
    if last is not None and last.kind == "cut" and len(last.hosts) > 1:
        # Those that are cut off are lost while they still are.
        yield (Event("ack", 0.0, "lose", last.hosts, 1.0),)


# ---- orders by lot -------------------------------------------------------


def draw_order(seed: int) -> Order:
    """Return an order that is drawn by lot."""
    rng = random.Random(seed)
    events = _draw_first_second(rng)
    if rng.random() < 0.7:
        base = rng.choice(["ack", "ack", "next"])
        at = rng.choice([0.0, rng.uniform(0.0, 0.3)])
        events.append(_draw_event(rng, events, base, at))
        for _ in range(rng.choice([0, 1, 1, 2, 3])):
            at = rng.choice([rng.uniform(0, 0.5), rng.uniform(0, 5.0)])
            events.append(_draw_event(rng, events, "then", at))
    events.extend(_draw_end(rng))
    return Order(seed, tuple(events))


def draw_order_of_few(seed: int) -> Order:
    """Return an order by lot in which three controllers found the cluster.

    The events fall while the others are missing, or are being added.
    """
    rng = random.Random(seed)
    names = tuple(f"c{number}" for number in range(CONTROLLERS))
    missing = tuple(rng.sample(names, 2))
    back_s = round(rng.uniform(6.5, 12), 2)
    kind = rng.choice(["late", "delay", "kill", "cut"])
    if kind in ("late", "delay"):
        events = [Event("", 0.0, kind, (name,), back_s) for name in missing]
    else:
        events = [Event("", 0.3, kind, missing, back_s)]
    # One of the founders is lost for good, or its disk is. Where two are, no
    # rule tells them from controllers that are cut off.
    founders = [name for name in names if name not in missing]
    kinds = [rng.choice(["replace", "replace", "lose"])]
    kinds += ["kill", "cut"][: rng.choice([0, 0, 1, 2])]
    rng.shuffle(kinds)
    base = "ack"
    for kind in kinds:
        at = rng.choice([0.0, rng.uniform(0, 1), rng.uniform(0, 5)])
        duration = rng.choice([rng.uniform(0.05, 1), rng.uniform(1, 9)])
        host = rng.choice(["leader", *founders])
        events.append(
            Event(base, round(at, 3), kind, (host,), round(duration, 3))
        )
        base = "then"
    events.extend(_draw_end(rng))
    return Order(seed, tuple(events))


def _draw_first_second(rng: random.Random) -> list[Event]:
    """Return late starts, and events before or during the founding."""
    names = [f"c{number}" for number in range(CONTROLLERS)]
    events = [
        Event(
            "",
            0.0,
            rng.choice(["late", "late", "delay"]),
            (name,),
            round(rng.choice([rng.uniform(0.3, 3), rng.uniform(3, 9)]), 2),
        )
        for name in _draw_hosts(rng, names, rng.choice([0, 0, 0, 1, 1, 2]))
    ]
    times = sorted(
        rng.choice([rng.uniform(0, 0.8), rng.uniform(0.6, 2.0)])
        for _ in range(rng.choice([0, 0, 1, 1, 1, 2, 2, 3]))
    )
    for at in times:
        events.append(_draw_event(rng, events, "", at))
    if rng.random() < 0.2:
        event = _draw_event(rng, events, f"write{rng.choice(GRID_WRITES)}", 0)
        if event.hosts[0].startswith("c"):
            events.append(event)
    return events


def _draw_hosts(
    rng: random.Random, names: Sequence[str], count: int
) -> list[str]:
    """Return different hosts; the lowest seed is drawn more often."""
    first = ["c0"] if count and rng.random() < 0.4 else []
    others = [name for name in names if name not in first]
    return first + rng.sample(others, count - len(first))


def _draw_event(
    rng: random.Random, before: Sequence[Event], base: str, at: float
) -> Event:
    """Return an event, often of the hosts of an earlier one."""
    kind = rng.choice(
        ["kill", "kill", "kill", "lose", "lose", "cut", "cut", "replace"]
    )
    duration = rng.choice(
        [
            rng.uniform(0.05, 0.5),
            rng.uniform(0.05, 0.5),
            rng.uniform(0.5, 2),
            rng.uniform(0.5, 2),
            rng.uniform(2, 9),
            rng.uniform(2, 9),
            rng.uniform(9, 20),
        ]
    )
    names = [f"c{number}" for number in range(CONTROLLERS)]
    hosts = tuple(_draw_hosts(rng, names, rng.choice([1, 1, 2])))
    if base and rng.random() < 0.5:
        hosts = rng.choice([("leader",), ("#0",), ("#4",)])
    if before and rng.random() < 0.3:
        hosts = rng.choice(before).hosts
    if kind == "kill" and rng.random() < 0.2:
        hosts, duration = ALL, rng.uniform(0.05, 0.9)
    return Event(base, round(at, 3), kind, hosts, round(duration, 3))


def _draw_end(rng: random.Random) -> list[Event]:
    """Return the last events, mostly once those before are repaired."""
    events = []
    settled = rng.choice(["settled", "settled", "next"])
    if rng.random() < 0.3:
        host = rng.choice(["leader", "#0", "#1", "#4"])
        after_s = round(rng.choice([0.05, rng.uniform(0, 3)]), 2)
        events.append(Event(settled, 0.0, "replace", (host,), after_s))
    pair = [f"#{n}" for n in rng.choice(FINAL_PAIRS)]
    down_s = round(rng.uniform(0.2, 3), 2)
    events.append(Event(settled, 0.0, "lose", tuple(pair), down_s))
    if rng.random() < 0.3:
        at = round(rng.choice([0.0, rng.uniform(0, 2)]), 2)
        events.append(Event("then", at, "kill", ALL, 0.9))
    return events


DEFAULT_ORDERS = 200

# ---- command -------------------------------------------------------------


def _play_text(order: Order) -> tuple[str, str, float]:
    began_at = time.process_time()
    outcome, _ = play(order)
    return str(order), outcome, time.process_time() - began_at


def describe_kind(outcome: str) -> str:
    """Return what a outcome is about, without names and numbers."""
    for kind in ("lost", "two logs", "stuck: nothing is acknowledged after"):
        if outcome.startswith(kind):
            return kind
    return outcome.partition(" for ")[0] if outcome else "held"


def play_all(orders: Iterable[Order], jobs: int, limit: int) -> Counter[str]:
    """Play orders, print those that fail, and return counts of outcomes."""
    counts: Counter[str] = Counter()
    used_s = 0.0
    with ProcessPoolExecutor(jobs) as executor:
        results = executor.map(_play_text, orders, chunksize=4)
        for number, (text, outcome, seconds) in enumerate(results, 1):
            used_s += seconds
            kind = describe_kind(outcome)
            counts[kind] += 1
            if outcome not in ("", BEYOND) and counts[kind] <= limit:
                print(f"order {number}: {outcome}\n  {text}", flush=True)
    total = sum(counts.values())
    print(f"{total} orders, {used_s / max(total, 1):.3f} s of processor each")
    for kind, count in counts.most_common():
        print(f"{count:6} {kind}")
    return counts


def main() -> int:
    """Play orders and return 1 if one of them fails."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--orders", type=int)
    parser.add_argument(
        "--depth",
        type=int,
        help="play the grid: all of its orders, or so many of them",
    )
    parser.add_argument(
        "--few",
        action="store_true",
        help="draw orders in which three controllers found the cluster",
    )
    parser.add_argument("--play", help="text of one order")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument(
        "--show", type=int, default=5, help="failed orders of a kind to print"
    )
    arguments = parser.parse_args()
    if arguments.play:
        outcome, notes = play(parse_order(arguments.play))
        print("\n".join(notes), outcome or "held", sep="\n")
        return int(outcome not in ("", BEYOND))
    orders: Iterable[Order]
    if arguments.depth is None:
        last = arguments.seed + (arguments.orders or DEFAULT_ORDERS)
        draw = draw_order_of_few if arguments.few else draw_order
        orders = map(draw, range(arguments.seed, last))
    else:
        orders = list(list_orders(arguments.depth))
        if arguments.orders is not None and arguments.orders < len(orders):
            rng = random.Random(arguments.seed)
            orders = rng.sample(orders, arguments.orders)
    counts = play_all(orders, arguments.jobs, arguments.show)
    return int(bool(counts.keys() - {"held", BEYOND}))


if __name__ == "__main__":
    sys.exit(main())
