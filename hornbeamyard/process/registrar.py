"""The controller role in a fleet with a route directory."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator

import anyio
import anyio.abc
import grpc.aio
import logbook
from result import Err, Ok, Result

from ..connection import peers
from ..connection.directory import Directory
from ..connection.directory_calls import DirectoryCalls
from ..connection.directory_codec import unpack_document
from ..connection.directory_service import DirectoryService
from ..connection.replication import ReplicationCalls, ReplicationService
from ..connection.request_memory import RequestMemory
from ..messages import fleet_pb2, fleet_pb2_grpc
from ..pool.evacuations import check_zone
from ..pool.upstream_registry import (
    MAX_MISSED_ANNOUNCEMENTS,
    Upstream,
    UpstreamStart,
    check_announcement,
    check_start,
)
from ..pool.usage import DEMAND_WINDOW_FRACTION
from ..version.founding import Founder
from ..version.journal import FolderDisk
from ..version.replica import Replica
from ..version.timeouts import derive_timeouts
from . import listeners
from .crash_store import CrashStore
from .documents import MAX_BODY_BYTES
from .folder_lock import lock_until
from .interface import Interface, OrderResult, SubmissionResult
from .memory_limits import build_request_memory
from .metrics import Metrics, Sample
from .servers import (
    build_status_limits,
    sample_limits,
    sample_request_memory,
)
from .settings import Settings
from .stream_store import StreamStore
from .timers import Timers
from .validation import Finding
from .version_store import VersionStore

_log = logbook.Logger("registrar")


class Registrar:
    """One controller with its replicated log, directory and servers.

    Parameters
    ----------
    settings : Settings
        Settings with `controller` and `directory`.
    timers : Timers
    interface : Interface
    memory : RequestMemory, optional
        The account of the process; by default one of the controller's own.
    """

    __slots__ = (
        "_crash_store",
        "_directory_calls",
        "_interface",
        "_limits",
        "_pools",
        "_pools_version",
        "_replication_calls",
        "_settings",
        "_stream_store",
        "_timers",
        "_version_store",
        "directory",
        "founder",
        "metrics",
        "replica",
    )

    def __init__(
        self,
        settings: Settings,
        timers: Timers,
        interface: Interface,
        memory: RequestMemory | None = None,
    ) -> None:
        assert settings.controller is not None
        assert settings.directory is not None
        self._directory_calls = DirectoryCalls(settings.tls)
        self._interface = interface
        self._limits = build_status_limits(
            memory or build_request_memory(settings.memory),
            timers,
            MAX_BODY_BYTES,
        )
        # Pools of the routing that was in force at the last announcement.
        self._pools: frozenset[str] | None = None
        self._pools_version = 0
        self._replication_calls = ReplicationCalls(settings.tls)
        self._settings = settings
        self._timers = timers
        self.metrics = Metrics()
        self.metrics.add_source(self._sample)
        address = settings.controller.get_advertised_address()
        disk = FolderDisk(settings.controller.data_folder)
        directory = settings.directory
        self.replica = Replica(
            peers.build_identity(settings, random.getrandbits(63)),
            address,
            disk,
            self._replication_calls,
            timers,
            random.SystemRandom(),
            timeouts=derive_timeouts(directory.catch_up_s),
            required_disks=directory.tolerated_hosts + 1,
            # A majority confirms reads and versions, and fleet usage sent
            # by a former leader does no harm.
            relies_on_leases=False,
            first_start=directory.first_start,
        )
        own_address = fleet_pb2.ControllerAddress(
            host=settings.host,
            address=address,
            availability_zone=settings.availability_zone,
        )
        self.founder = Founder(
            self.replica,
            own_address,
            directory.list_peer_addresses(),
            directory.count_required_members(),
            self._directory_calls,
            timers,
        )
        self.directory = Directory(
            self.replica,
            self.founder,
            self._directory_calls,
            timers,
            directory.announcement_interval_s * MAX_MISSED_ANNOUNCEMENTS,
            directory.share_window_s * DEMAND_WINDOW_FRACTION,
        )
        self._crash_store = CrashStore(self.directory.crashes, disk, timers)
        self._stream_store = StreamStore(self.directory.origins, disk, timers)
        self._version_store = VersionStore(
            self.directory.registry, disk, timers
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop` is set, then transfer the leadership."""
        assert self._settings.controller is not None
        folder = self._settings.controller.data_folder
        async with lock_until(stop, folder, self._timers) as may_use:
            if may_use:
                await self._serve(stop)

    async def _serve(self, stop: anyio.Event) -> None:
        fleet = self._settings.fleet
        server = peers.create_server()
        fleet_pb2_grpc.add_DirectoryServicer_to_server(
            DirectoryService(fleet, self.directory, self._timers), server
        )
        fleet_pb2_grpc.add_ReplicationServicer_to_server(
            ReplicationService(fleet, self.replica), server
        )
        try:
            async with anyio.create_task_group() as tasks:
                await tasks.start(self.replica.run)
                await self._crash_store.load()
                tasks.start_soon(self._crash_store.run)
                await self._stream_store.load()
                tasks.start_soon(self._stream_store.run)
                has_versions = await self._version_store.load()
                # Before the fleet's first start there were no versions.
                self.directory.lacks_versions = not (
                    has_versions or self._is_first_start()
                )
                tasks.start_soon(
                    self._version_store.run,
                    lambda: self.directory.lacks_versions,
                )
                # The data folder is loaded before any address is bound, so
                # that it remembers a first start even if the process ends.
                self._start_controller_app(tasks)
                tasks.start_soon(self._take_part, server)
                await stop.wait()
                await self.replica.transfer_leadership()
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await server.stop(grace=0.2)
                await self._replication_calls.close()
                await self._directory_calls.close()

    def _is_first_start(self) -> bool:
        """Return whether this controller has seen nothing of the fleet yet.

        The data folder remembers the first start if the process ends in it.
        """
        assert self._settings.directory is not None
        journal = self.replica.journal
        is_unused = journal.initial and not journal.members.members
        return self._settings.directory.first_start or is_unused

    async def _take_part(self, server: grpc.aio.Server) -> None:
        """Become a controller that others know, once they can reach it."""
        assert self._settings.controller is not None
        await listeners.start_grpc_server(
            server,
            self._settings.controller.address,
            self._settings.tls,
            self._timers,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.founder.run)
            tasks.start_soon(self.directory.run)

    def _start_controller_app(self, tasks: anyio.abc.TaskGroup) -> None:
        assert self._settings.controller is not None
        address = self._settings.controller.status_address
        if address and self._interface.build_controller_app is not None:
            app = self._interface.build_controller_app(self)
            tasks.start_soon(
                listeners.serve,
                app,
                address,
                "operators and upstreams",
                self._timers,
                self._limits,
            )

    def _sample(self) -> Iterator[Sample]:
        yield from sample_request_memory(self._limits.memory)
        yield from sample_limits(self._limits, "operators")
        yield Sample("leads", float(self.replica.is_leader()))
        yield Sample("term", self.replica.term)
        state = self.founder.get_state().value
        yield Sample("controller_state", 1, (("state", state),))
        yield Sample("controller_fault", float(bool(self.replica.fault)))
        has_set_aside = self.replica.journal.set_aside
        yield Sample("controller_files_set_aside", float(has_set_aside))
        version = self.replica.state.routing.version
        yield Sample("routing_version", version)
        evacuated = len(self.replica.state.evacuated_zones)
        yield Sample("evacuated_zones", evacuated)
        attached = self.directory.count_routers()
        yield Sample("routers_attached", attached)
        pools = Counter(upstream.pool for upstream in self.directory.registry)
        for pool, number in pools.items():
            yield Sample("upstreams", number, (("pool", pool),))

    # ---- for operators and upstreams -------------------------------------

    async def submit_routing(self, document: bytes) -> SubmissionResult:
        """Submit a routing document, which replaces the current one."""
        decoded = self._interface.decode(document)
        if isinstance(decoded, Err):
            findings = tuple(str(finding) for finding in decoded.err_value)
            _log.warning("routing refused findings={}", findings[:10])
            return SubmissionResult(findings)
        version = decoded.ok_value.version
        result = await self.directory.submit_routing(version, document)
        outcome = fleet_pb2.RoutingResult.Outcome.Name(result.outcome)
        _log.info(
            "routing submitted version={} outcome={} held={} decided={}",
            version,
            outcome,
            result.version,
            result.decided,
        )
        return SubmissionResult(
            conflict=result.outcome == fleet_pb2.RoutingResult.CONFLICT,
            decided=result.decided,
            version=result.version,
        )

    async def read_routing(self) -> bytes | None:
        """Return the newest routing document; None if it isn't confirmed."""
        copy = await self.directory.read_routing()
        if not copy.found:
            _log.info(
                "the routing could not be read: none has been accepted yet, "
                "or no majority of controllers confirmed it in time"
            )
            return None
        return unpack_document(copy.document)

    async def order_evacuation(
        self, availability_zone: str, evacuated: bool
    ) -> OrderResult:
        """Start or end the evacuation of an availability zone."""
        findings = check_zone(availability_zone)
        if findings:
            # Names of any length may come here.
            _log.warning(
                "evacuation refused zone={!r} findings={}",
                availability_zone[:80],
                [str(finding) for finding in findings],
            )
            return OrderResult(tuple(str(finding) for finding in findings))
        result = await self.directory.order_evacuation(
            availability_zone, evacuated
        )
        _log.info(
            "evacuation ordered zone={!r} evacuated={} decided={} full={}",
            availability_zone,
            evacuated,
            result.decided,
            result.is_full,
        )
        return OrderResult(is_full=result.is_full, decided=result.decided)

    async def read_status(self) -> bytes | None:
        """Return the status document; None if it isn't confirmed."""
        document = await self.directory.read_status()
        if document is None:
            _log.info(
                "the status could not be read: no majority of controllers "
                "confirmed it in time"
            )
        return document

    def announce(self, upstream: Upstream) -> list[Finding]:
        """Record the announcement of an upstream; return why not, if so."""
        findings = check_announcement(upstream)
        if not findings:
            pools = self._list_pools()
            # Programs that are no upstreams may name any pool and address.
            may_replace = pools is None or upstream.pool in pools
            self.directory.announce(upstream, may_replace)
        return findings

    def _list_pools(self) -> frozenset[str] | None:
        """Return the pools of the routing in force; None if there is none."""
        routing = self.replica.state.routing
        if routing.version != self._pools_version:
            decoded = self._interface.decode(unpack_document(routing.document))
            self._pools_version = routing.version
            self._pools = (
                frozenset(decoded.ok_value.pools)
                if isinstance(decoded, Ok)
                else None
            )
        return self._pools

    async def withdraw(
        self, start: UpstreamStart
    ) -> Result[bool, list[Finding]]:
        """Remove an upstream that leaves.

        Returns
        -------
        Result of bool or list of Finding
            See `Directory.withdraw`. The error says why the upstream isn't
            removed.
        """
        findings = check_start(start)
        if findings:
            return Err(findings)
        is_confirmed = await self.directory.withdraw(
            start.id, start.started_ms
        )
        if not is_confirmed:
            _log.warning(
                "no router has confirmed the end of upstream {} started_ms={}",
                start.id,
                start.started_ms,
            )
        return Ok(is_confirmed)
