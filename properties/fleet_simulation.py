"""Simulated controllers that find each other, and lose hosts and disks.

They run the real `Founder` and `Replica` in virtual time. An operator submits
routings to all of them, as one that doesn't know who leads.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from functools import partial
from typing import Any

import anyio
import anyio.abc

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.version.founding import Founder
from hornbeamyard.version.replica import Replica
from hornbeamyard.version.timeouts import derive_timeouts

from .history import require
from .simulation import SNAPSHOT_ENTRIES, Host, Network, SimulatedCalls

# Bounds of the users' deployments: see `directory.catch_up_s`, and the time
# within which everything works again after the faults.
CATCH_UP_S = 4.0
RECOVERY_S = 12.0
TOLERATED_HOSTS = 2
# An operator sends a routing again after this long without a reply.
RESEND_INTERVAL_S = 0.5
SEEDS = ("10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1")


class FoundingCalls(SimulatedCalls):
    """Calls of one `Founder` to others over the simulated network."""

    async def introduce(self, address: str, request: Any) -> Any:
        """Introduce this controller."""
        return await self._ask(address, "handle_introduction", request)

    async def _ask(self, address: str, method: str, request: Any) -> Any:
        # A call that gets no reply ends with its time limit.
        with self._host.timers.limit(1.0):
            if address in self._network.hosts:
                return await self._call(address, method, request)
            await anyio.Event().wait()
        return None

    def _find_handler(self, target: Host, method: str) -> Any:
        if hasattr(target, method):
            return getattr(target, method)
        return super()._find_handler(target, method)


class Controller(Host):
    """A host whose process also runs a `Founder`."""

    def __init__(
        self,
        name: str,
        sim_clock: VirtualTimers,
        network: Network,
        rng: random.Random,
        first_start: bool,
    ) -> None:
        super().__init__(name, sim_clock, network, rng)
        self.address = f"10.0.0.{name[1:]}:1"
        self.first_start = first_start
        self.founder: Founder
        network.hosts[self.address] = self

    def _build_replica(self, identity: fleet_pb2.Identity) -> Replica:
        calls = FoundingCalls(self._network, self)
        replica = Replica(
            identity,
            self.address,
            self.disk,
            calls,
            self.timers,
            random.Random(self._rng.getrandbits(64)),
            timeouts=derive_timeouts(CATCH_UP_S),
            required_disks=TOLERATED_HOSTS + 1,
            relies_on_leases=False,
            first_start=self.first_start,
            snapshot_entries=SNAPSHOT_ENTRIES,
        )
        own = fleet_pb2.ControllerAddress(
            host=self.name,
            address=self.address,
            availability_zone="zone-a",
        )
        self.founder = Founder(
            replica,
            own,
            SEEDS,
            2 * TOLERATED_HOSTS + 1,
            calls,
            self.timers,
        )
        # The platform says so only once.
        self.first_start = False
        return replica

    async def _run(self, replica: Replica, scope: anyio.CancelScope) -> None:
        founder = self.founder
        with scope:
            async with anyio.create_task_group() as tasks:
                await tasks.start(replica.run)
                self._tasks = tasks
                self.is_up = True
                tasks.start_soon(founder.run)

    async def handle_introduction(
        self, request: fleet_pb2.Introduction
    ) -> fleet_pb2.ControllerList:
        """Handle the introduction of another controller."""
        self.founder.known_controllers.add_introduced(request.controller)
        if self.replica.leadership is not None:
            self.replica.leadership.record_process(request.identity)
        return self.founder.describe()


class SimulatedFleet:
    """Controllers, and an operator that submits routings.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    tasks : TaskGroup

    Attributes
    ----------
    acknowledged : int
        Newest version that a controller has acknowledged.
    controllers : dict of str to Controller
        Those that aren't gone for good.
    """

    def __init__(self, seed: int, tasks: anyio.abc.TaskGroup) -> None:
        self.rng = random.Random(seed)
        self.sim_clock = VirtualTimers(start=1000.0)
        self.network = Network(self.sim_clock, self.rng)
        self.acknowledged = 0
        self.controllers: dict[str, Controller] = {}
        self._tasks = tasks
        self._version = 0

    def start(self, name: str, first_start: bool = False) -> Controller:
        """Start a controller that is new, or one that has ended."""
        controller = self.controllers.get(name)
        if controller is None:
            controller = Controller(
                name, self.sim_clock, self.network, self.rng, first_start
            )
            self.controllers[name] = controller
        controller.start(self._tasks)
        return controller

    async def start_all(self) -> None:
        """Start five controllers for the first time, within 0.3 s."""
        for number in range(2 * TOLERATED_HOSTS + 1):
            self.start(f"c{number}", first_start=True)
            await self.advance(0.06)

    def remove(self, name: str) -> None:
        """Remove a controller for good."""
        self.controllers.pop(name).crash()

    def lose_disk(self, name: str) -> None:
        """End a controller and empty its disk."""
        controller = self.controllers[name]
        controller.crash()
        controller.disk.files.clear()

    def cut(self, inside: Sequence[str]) -> None:
        """Cut some controllers off from the others."""
        for name in inside:
            for other in self.controllers.keys() - set(inside):
                self.network.blocked |= {(name, other), (other, name)}

    def heal(self) -> None:
        """Join all controllers again."""
        self.network.blocked.clear()

    async def advance(self, seconds: float) -> None:
        """Let time pass."""
        await self.sim_clock.advance(seconds)

    def find_leader(self) -> Controller | None:
        """Return the controller that leads, if any."""
        for controller in self.controllers.values():
            if controller.is_leading():
                return controller
        return None

    async def submit(self, timeout_s: float = 30.0) -> float:
        """Submit a newer version and wait until it is acknowledged.

        Returns
        -------
        float
            Time until the acknowledgement, in seconds.
        """
        began_at = self.sim_clock.now()
        version = self.begin_submission()
        await self._advance_until(
            lambda: self.acknowledged >= version, timeout_s
        )
        require(self.acknowledged >= version, f"{version} is refused")
        return self.sim_clock.now() - began_at

    def begin_submission(self) -> int:
        """Submit a newer version again and again; return the version."""
        self._version += 1
        self._send(self._version)
        return self._version

    def _send(self, version: int) -> None:
        if self.acknowledged >= version:
            return
        for controller in self.controllers.values():
            controller.spawn(partial(self._submit_to, controller, version))
        self.sim_clock.call_at(
            self.sim_clock.now() + RESEND_INTERVAL_S,
            partial(self._send, version),
        )

    async def _submit_to(self, controller: Controller, version: int) -> None:
        submission = fleet_pb2.RoutingSubmission(
            version=version, document=b"%d" % version
        )
        result = await controller.replica.submit_routing(submission)
        if result.is_ok():
            self.acknowledged = max(self.acknowledged, version)

    async def check_recovery(self) -> None:
        """Check that what was acknowledged is read, and changes go on."""
        expected = self.acknowledged
        versions: list[int] = []
        began_at = self.sim_clock.now()
        while not versions:
            waited_s = self.sim_clock.now() - began_at
            require(waited_s < RECOVERY_S, f"{expected} isn't read back")
            for controller in self.controllers.values():
                controller.spawn(
                    partial(self._read_from, controller, versions)
                )
            await self._advance_until(lambda: bool(versions), 0.5)
        require(min(versions) >= expected, f"{versions} after {expected}")
        await self.submit(RECOVERY_S)

    async def _read_from(
        self, controller: Controller, versions: list[int]
    ) -> None:
        result = await controller.replica.confirm_state()
        if result.is_ok():
            versions.append(result.unwrap().routing.version)

    async def _advance_until(self, condition: Any, limit_s: float) -> None:
        end = self.sim_clock.now() + limit_s
        while self.sim_clock.now() < end and not condition():
            await self.advance(0.02)
