"""A simulated cluster of controllers under random faults.

Its clients' replies and its hosts' states are checked against the guarantees
of the replicated log.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from functools import partial

import anyio
import anyio.abc
from result import Ok

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.process.timers import VirtualTimers
from hornbeamyard.version import membership

from .history import HistoryChecker, require
from .simulation import Host, Network

# Number of random actions in a run.
STEPS = 80
# Virtual time within which the cluster must work again after the faults.
RECOVERY_TIMEOUT_S = 40.0
DEFINITE_OUTCOMES = (fleet_pb2.ACCEPTED, fleet_pb2.STALE, fleet_pb2.INVALID)
_ACCOUNT = {"share": 1, "keys": []}


class Cluster:
    """Controllers and a spare host, with clients and faults.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    size : int
        Number of members.

    Attributes
    ----------
    history : HistoryChecker
    trace : list of str
        Times and kinds of faults, to compare two runs.
    """

    def __init__(self, seed: int, size: int) -> None:
        self.rng = random.Random(seed)
        self.sim_clock = VirtualTimers(start=1000.0)
        self.network = Network(self.sim_clock, self.rng)
        self.size = size
        self.hosts = [
            Host(f"c{number}", self.sim_clock, self.network, self.rng)
            for number in range(size + 1)
        ]
        self.history = HistoryChecker()
        self.trace: list[str] = []
        self._checked = {host.name: 0 for host in self.hosts}
        self._emptied: set[str] = set()
        self._patches: list[fleet_pb2.PatchRequest] = []
        self._last_key = 0
        self._is_recovering = False
        self._tasks: anyio.abc.TaskGroup
        # Weights and random actions of clients and faults.
        self._actions: list[tuple[int, Callable[[], None]]] = [
            (2, self._crash_random_host),
            (4, self._restart_stopped_hosts),
            (2, self._freeze_host),
            (3, self._resume_hosts),
            (2, self._partition),
            (1, self._isolate_leader),
            (2, self._race_lease_expiry),
            (3, self._heal_links),
            (2, self._degrade_links_and_disks),
            (5, self._end_most_faults),
            (1, self._fail_random_disk),
            (2, self._empty_random_disk),
            (1, self._replace_member),
            (1, self._transfer_leadership),
            (8, self._submit_competing_patches),
            (4, self._resend_patch),
            (8, self._compete_for_claim),
        ]

    # ---- running ---------------------------------------------------------

    async def run(self, steps: int = STEPS) -> None:
        """Run random actions, end all faults and check the final state."""
        async with anyio.create_task_group() as tasks:
            await self._start(tasks)
            await self._advance(self.rng.uniform(0, 4))
            weights = [weight for weight, _ in self._actions]
            for _ in range(steps):
                (action,) = self.rng.choices(self._actions, weights)
                action[1]()
                await self._advance(self.rng.choice([0.005, 0.05, 0.5, 2]))
            await self._recover_and_check()
            tasks.cancel_scope.cancel()

    async def run_disk_repair(self) -> None:
        """Empty one disk, then lose another member after its repair."""
        async with anyio.create_task_group() as tasks:
            await self._start(tasks)
            await self._wait_for_repair()
            self._submit_competing_patches()
            await self._advance(1.0)
            first, second, third = self.hosts[: self.size]
            self._emptied.add(first.name)
            self._crash_host(first)
            first.disk.files.clear()
            first.start(tasks)
            await self._wait_for_repair()
            self._crash_host(second)
            second.disk.files.clear()
            await self._advance(0.01)
            await self._wait_for_accepted_patch()
            # Only the repaired member and the third one hold the data now.
            self._crash_host(third)
            await self._advance(5.0)
            require(not first.is_leading(), "a leader without a quorum")
            third.start(tasks)
            second.start(tasks)
            await self._recover_and_check()
            tasks.cancel_scope.cancel()

    async def run_slow_election(self, delay_s: float) -> None:
        """Elect a leader while every message takes `delay_s`."""
        self.network.min_delay_s = self.network.max_delay_s = delay_s
        async with anyio.create_task_group() as tasks:
            await self._start(tasks)
            deadline = self.sim_clock.now() + RECOVERY_TIMEOUT_S
            while all(
                host.replica.leadership is None
                for host in self.hosts
                if host.is_up
            ):
                require(self.sim_clock.now() < deadline, "no leader")
                await self._advance(0.1)
            tasks.cancel_scope.cancel()

    async def _start(self, tasks: anyio.abc.TaskGroup) -> None:
        self._tasks = tasks
        members = fleet_pb2.MemberList(
            members=[
                fleet_pb2.Member(host=h.name, address=h.name, voter=True)
                for h in self.hosts[: self.size]
            ]
        )
        for host in self.hosts:
            if host is not self.hosts[-1]:
                await host.initialize(members)
            host.start(tasks)

    async def _wait_for_repair(self) -> None:
        deadline = self.sim_clock.now() + RECOVERY_TIMEOUT_S
        while not any(
            host.is_leading()
            and self._is_fully_repaired(host.replica.state.members)
            for host in self.hosts
        ):
            require(self.sim_clock.now() < deadline, "a member isn't repaired")
            await self._advance(0.1)

    async def _advance(self, seconds: float) -> None:
        """Advance the time, checking all hosts every tenth of a second."""
        end = self.sim_clock.now() + seconds
        while self.sim_clock.now() < end:
            await self.sim_clock.advance(min(0.1, end - self.sim_clock.now()))
            self._check()

    def _check(self) -> None:
        for host in self.hosts:
            if not host.is_up:
                self._checked[host.name] = 0
                continue
            checked = self._checked[host.name]
            self._checked[host.name] = self.history.check_state(host, checked)
            if host.is_leading():
                self.history.check_read(host.replica.state.version)

    async def _recover_and_check(self) -> None:
        """End all faults; the cluster must work again with all its data."""
        self._is_recovering = True
        self._heal_links()
        self.network.loss_rate = self.network.duplicate_rate = 0.0
        self.network.max_delay_s = 0.02
        for host in self.hosts:
            host.timers.resume()
            host.disk.fails = False
            if host.is_running and host.replica.fault:
                self._crash_host(host)
        await self._advance(0.01)
        for host in self.hosts:
            host.disk.max_write_s = 0.01
            if not host.is_running:
                host.start(self._tasks)
        await self._wait_for_accepted_patch()
        for request in self._patches:
            self._send_patch(request)
        await self._advance(5.0)
        # The leader may just have stepped down, replaced by the spare host.
        deadline = self.sim_clock.now() + RECOVERY_TIMEOUT_S
        while not any(host.is_leading() for host in self.hosts):
            require(self.sim_clock.now() < deadline, "no leader at the end")
            await self._advance(0.5)
        leaders = [host for host in self.hosts if host.is_leading()]
        require(len(leaders) == 1, f"{len(leaders)} leaders at the end")
        self.history.check_final_state(leaders[0].replica.state)

    async def _wait_for_accepted_patch(self) -> None:
        """Submit patches until one is accepted, for a limited time."""
        deadline = self.sim_clock.now() + RECOVERY_TIMEOUT_S
        accepted = len(self.history.accepted)
        while len(self.history.accepted) == accepted:
            require(
                self.sim_clock.now() < deadline,
                "no patch was accepted in time",
            )
            self._submit_competing_patches()
            await self._advance(0.5)

    # ---- clients ---------------------------------------------------------

    def _submit_competing_patches(self) -> None:
        """Submit up to three patches at once, mostly with the same base."""
        base = self.history.read_version
        for _ in range(self.rng.randint(1, 3)):
            number = len(self._patches)
            operation = {
                "op": "add",
                "path": f"/client_accounts/a{number}",
                "value": _ACCOUNT,
            }
            request = fleet_pb2.PatchRequest(
                patch_id=f"p{number}",
                base_version=max(0, base - self.rng.choice([0, 0, 0, 1])),
                patch=json.dumps([operation]).encode(),
            )
            self._patches.append(request)
            self._send_patch(request)

    def _resend_patch(self) -> None:
        if self._patches:
            self._send_patch(self.rng.choice(self._patches[-10:]))

    def _send_patch(self, request: fleet_pb2.PatchRequest) -> None:
        for host in self.hosts:
            if host.is_up:
                host.timers.run(
                    partial(
                        host.spawn, partial(self._submit_patch, host, request)
                    )
                )

    async def _submit_patch(
        self, host: Host, request: fleet_pb2.PatchRequest
    ) -> None:
        result = await host.replica.submit_patch(request)
        if (
            isinstance(result, Ok)
            and result.ok_value.outcome in DEFINITE_OUTCOMES
        ):
            self.history.check_patch_result(request, result.ok_value)

    def _compete_for_claim(self) -> None:
        """Send an operation of one of a few attempts on one of a few keys."""
        if self._last_key == 0 or self.rng.random() < 0.5:
            self._last_key += 1
        key = (
            f"k{self.rng.randint(max(0, self._last_key - 4), self._last_key)}"
        )
        kind = self.rng.choice(["MAKE", "MAKE", "MAKE", "RELEASE", "ANSWER"])
        attempt = bytes([self.rng.randint(1, 4)])
        if kind != "MAKE":
            attempt = self.history.granted.get(key, attempt)
        operation = fleet_pb2.ClaimOperation(
            client_account="hotel",
            key=key,
            request_hash=b"hash",
            kind=fleet_pb2.ClaimOperation.Kind.Value(kind),
            attempt=attempt,
            answer=fleet_pb2.RecordedAnswer(body=attempt + key.encode()),
        )
        if kind == "RELEASE":
            self.history.released.add((key, attempt))
        for host in self.hosts:
            if host.is_up:
                host.timers.run(
                    partial(
                        host.spawn, partial(self._send_claim, host, operation)
                    )
                )

    async def _send_claim(
        self, host: Host, operation: fleet_pb2.ClaimOperation
    ) -> None:
        batch = fleet_pb2.ClaimBatch(operations=[operation])
        result = await host.replica.make_claims(batch)
        if (
            isinstance(result, Ok)
            and operation.kind == fleet_pb2.ClaimOperation.MAKE
        ):
            claim_result = result.ok_value.results[0]
            self.history.check_claim(
                operation.key, operation.attempt, claim_result
            )

    # ---- faults ----------------------------------------------------------

    def _crash_random_host(self) -> None:
        self._crash_host(self.rng.choice(self.hosts))

    def _crash_host(self, host: Host) -> None:
        if host.is_running:
            self.trace.append(f"{self.sim_clock.now():.3f} crash {host.name}")
            host.crash()

    def _restart_stopped_hosts(self) -> None:
        for host in self.hosts:
            if not host.is_running or host.replica.fault:
                self._crash_host(host)
                host.start(self._tasks)

    def _freeze_host(self) -> None:
        leaders = [host for host in self.hosts if host.is_leading()]
        host = self.rng.choice(leaders or self.hosts)
        self.trace.append(f"{self.sim_clock.now():.3f} freeze {host.name}")
        host.timers.freeze()

    def _resume_hosts(self) -> None:
        for host in self.hosts:
            host.timers.resume()
        # A resumed process may reply to a waiting call before its timers run.
        self._check()

    def _partition(self) -> None:
        """Cut the links between two sides, in one or both directions."""
        side = self.rng.sample(self.hosts, self.rng.randint(1, 2))
        both = self.rng.random() < 0.5
        for inside in side:
            for outside in self.hosts:
                if outside in side:
                    continue
                self.network.blocked.add((inside.name, outside.name))
                if both:
                    self.network.blocked.add((outside.name, inside.name))

    def _isolate_leader(self) -> None:
        for leader in self.hosts:
            if leader.is_leading():
                for other in self.hosts:
                    self.network.blocked.add((leader.name, other.name))
                    self.network.blocked.add((other.name, leader.name))

    def _race_lease_expiry(self) -> None:
        """Make a member campaign just when the leader is cut off.

        The member hears nothing from the leader for a while before, so that
        only the votes that the others refuse keep it from being elected
        before the lease ends.
        """
        leaders = [host for host in self.hosts if host.is_leading()]
        if not leaders:
            return
        leader = leaders[0]
        member = self.rng.choice([h for h in self.hosts if h != leader])
        self.network.blocked.add((leader.name, member.name))
        self.network.blocked.add((member.name, leader.name))
        now = self.sim_clock.now()
        cut_at = now + self.rng.uniform(2, 4)
        restarts = self.rng.random() < 0.5

        def cut_off_leader() -> None:
            if self._is_recovering:
                return
            for other in self.hosts:
                self.network.blocked.add((leader.name, other.name))
                self.network.blocked.add((other.name, leader.name))
                if restarts and other not in (leader, member):
                    self._crash_host(other)
                    other.start(self._tasks)

        self.sim_clock.call_at(cut_at, cut_off_leader)
        for number in range(1, 8):
            self.sim_clock.call_at(
                cut_at + number * 0.25, self._submit_competing_patches
            )

    def _heal_links(self) -> None:
        self.network.blocked.clear()

    def _degrade_links_and_disks(self) -> None:
        """Change the loss, duplication and delay of messages, and slow a disk.

        The choices include normal conditions.
        """
        self.network.loss_rate = self.rng.choice([0.0, 0.0, 0.1, 0.3])
        self.network.duplicate_rate = self.rng.choice([0.0, 0.2])
        self.network.max_delay_s = self.rng.choice([0.02, 0.3, 3.0])
        host = self.rng.choice(self.hosts)
        host.disk.max_write_s = self.rng.choice([0.01, 0.3, 1.5])

    def _end_most_faults(self) -> None:
        """End most faults, so that the cluster can make progress."""
        self._heal_links()
        self._resume_hosts()
        self._restart_stopped_hosts()
        self.network.loss_rate = 0.0
        self.network.max_delay_s = 0.02

    def _fail_random_disk(self) -> None:
        self.rng.choice(self.hosts).disk.fails = True

    def _empty_random_disk(self) -> None:
        """Empty a host's disk, unless too few others would hold the data."""
        leaders = [host for host in self.hosts if host.is_leading()]
        if leaders and self._is_fully_repaired(
            leaders[0].replica.state.members
        ):
            self._emptied.clear()
        if len(self._emptied) >= (self.size - 1) // 2:
            return
        host = self.rng.choice(self.hosts)
        self.trace.append(f"{self.sim_clock.now():.3f} empty {host.name}")
        self._emptied.add(host.name)
        self._crash_host(host)
        host.disk.files.clear()

    def _is_fully_repaired(self, members: fleet_pb2.MemberList) -> bool:
        """Return whether each member is a voter with its current disk."""
        if any(h.name in self._emptied and not h.is_up for h in self.hosts):
            return False
        hosts = {host.name: host for host in self.hosts}
        voters = [
            member
            for member in members.members
            if membership.is_voter(
                members,
                member.host,
                hosts[member.host].replica.journal.disk_id,
                False,
            )
        ]
        return len(voters) == len(members.members) == self.size

    def _replace_member(self) -> None:
        """Replace a member by the spare host."""
        for leader in self.hosts:
            if not leader.is_leading():
                continue
            members = leader.replica.state.members.members
            inside = sorted({member.host for member in members})
            outside = [h.name for h in self.hosts if h.name not in inside]
            if not outside:
                return
            change = fleet_pb2.MemberChange(
                kind=fleet_pb2.MemberChange.REPLACE,
                host=self.rng.choice(inside),
                replacement=outside[0],
                address=outside[0],
            )
            self.trace.append(
                f"{self.sim_clock.now():.3f} replace {change.host}"
            )
            leader.spawn(partial(self._change_members, leader, change))

    async def _change_members(
        self, leader: Host, change: fleet_pb2.MemberChange
    ) -> None:
        await leader.replica.change_members(change)

    def _transfer_leadership(self) -> None:
        for host in self.hosts:
            if host.is_leading():
                host.spawn(host.replica.transfer_leadership)


def run_seed(seed: int, size: int) -> Cluster:
    """Run the actions of one seed; raise if an invariant is broken."""
    cluster = Cluster(seed, size)
    anyio.run(cluster.run)
    return cluster
