"""A router's view of the route directory."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc
import grpc
import grpc.aio
import logbook

from ..messages import fleet_pb2
from ..pool.evacuations import EvacuationChange, Evacuations
from ..pool.stream_origins import StreamOrigin
from ..pool.upstream_registry import (
    Upstream,
    UpstreamRegistry,
    UpstreamState,
)
from ..pool.usage import FleetUsage, RouterUsage
from ..process.timers import Timers
from ..version.membership import is_majority
from . import peers
from .crash_reports import CrashReports
from .directory_calls import DirectoryCalls
from .directory_codec import (
    UPSTREAM_STATES,
    UsageDecoder,
    UsageEncoder,
    decode_cached_parts,
    decode_crashes,
    decode_evacuations,
    decode_limits,
    decode_pool_speeds,
    decode_upstream,
    encode_cached_parts,
    encode_pool_speeds,
    encode_versions,
    record_versions,
    unpack_document,
)
from .intervals import (
    HEARTBEAT_INTERVAL_S,
    SILENCE_TIMEOUT_S,
    USAGE_INTERVAL_S,
)
from .limit_reports import LimitReports
from .stream_reports import COLLECT_INTERVAL_S, StreamReports

# Pause before a lost stream is opened again.
RECONNECT_PAUSE_S = 0.2
# Time after which another controller is asked for a routing as well. A frozen
# one accepts calls and doesn't answer.
FETCH_HEDGE_S = 0.25

_log = logbook.Logger("directory")


@dataclass(slots=True)
class _ControllerList:
    """What a controller has sent in a stream about all controllers.

    Attributes
    ----------
    hosts : dict of str to str
        Hosts of the controllers by address.
    voters_index : int
        Index of the log entry with the voters that it knows.
    """

    hosts: dict[str, str] = field(default_factory=dict)
    voters_index: int = 0


class Subscription:
    """A router's copy of the route directory.

    It keeps a stream to each controller, fetches new routings, and reports
    the router's usage to the leader.

    Parameters
    ----------
    identity : Identity
    seeds : iterable of str
        Addresses of the controllers that are known at the start.
    calls : DirectoryCalls
    timers : Timers
    collect_usage : callable
        Returns the router's counters.
    on_upstreams : callable
        Called with the upstreams that have changed.
    on_routing : callable
        Called with version and document of a newer routing; returns whether
        it is in force now.
    on_fleet_usage : callable
        Called with the usage of all routers, added up.
    crashes : CrashReports
        Crashes of upstreams.
    limits : LimitReports
        Rate limits that upstreams name.
    lifetime_s : float
        Time in seconds without an announcement after which an upstream is
        lost.
    evacuations : Evacuations, optional
        Evacuated availability zones.
    on_evacuations : callable, optional
        Called when these have changed.

    Attributes
    ----------
    attached_routers : int
        Routers that are attached to a controller, as far as known.
    registry : UpstreamRegistry
    streams : StreamReports
        Streams that this router begins.
    version : int
        Routing version in force at this router.
    versions : dict of str to int
        Routing version in force at each attached controller, by address.
    """

    __slots__ = (
        "_calls",
        "_collect_usage",
        "_controllers",
        "_crashes",
        "_evacuations",
        "_fetch_needed",
        "_fetching",
        "_identity",
        "_leader",
        "_leaving",
        "_lifetime_s",
        "_limits",
        "_lists",
        "_on_evacuations",
        "_on_fleet_usage",
        "_on_routing",
        "_on_upstreams",
        "_timers",
        "_voters",
        "_voters_index",
        "attached_routers",
        "registry",
        "seeds",
        "streams",
        "version",
        "versions",
    )

    def __init__(
        self,
        identity: fleet_pb2.Identity,
        seeds: Iterable[str],
        calls: DirectoryCalls,
        timers: Timers,
        collect_usage: Callable[[], RouterUsage],
        on_upstreams: Callable[[list[Upstream]], None],
        on_routing: Callable[[int, bytes], bool],
        on_fleet_usage: Callable[[FleetUsage], None],
        crashes: CrashReports,
        limits: LimitReports,
        lifetime_s: float,
        evacuations: Evacuations | None = None,
        on_evacuations: Callable[[EvacuationChange], None] | None = None,
    ) -> None:
        self._calls = calls
        self._collect_usage = collect_usage
        # Hosts of the fleet's controllers by address.
        self._controllers: dict[str, str] = {}
        self._crashes = crashes
        self._evacuations = (
            Evacuations() if evacuations is None else evacuations
        )
        # Addresses of controllers that are being asked for a routing, or have
        # just failed to give one.
        self._fetching: set[str] = set()
        self._identity = identity
        self._leader = ""
        # Start times of upstreams, by id, whose responses to this router say
        # that they leave, or of which a controller says that they have ended.
        self._leaving: dict[str, int] = {}
        self._lifetime_s = lifetime_s
        self._limits = limits
        # The last list of each attached controller, by address.
        self._lists: dict[str, _ControllerList] = {}
        self._on_evacuations = on_evacuations
        self._on_routing = on_routing
        self._on_fleet_usage = on_fleet_usage
        self._on_upstreams = on_upstreams
        self._timers = timers
        # Hosts of the voters of the controllers' log, and the index of the
        # entry that made them the voters. A former member may not know the
        # newest ones.
        self._voters: frozenset[str] = frozenset()
        self._voters_index = 0
        self._fetch_needed = anyio.Event()
        self.attached_routers = 0
        self.registry = UpstreamRegistry()
        self.seeds = list(seeds)
        self.streams = StreamReports(self.registry, timers)
        self.version = 0
        self.versions: dict[str, int] = {}

    def record_leaving(self, upstream: Upstream) -> list[Upstream]:
        """Record that an upstream has said in a response that it leaves.

        The controllers are informed with the next report.

        Returns
        -------
        list of Upstream
            The upstream in state DRAINING, if it was ready.
        """
        changed = self.registry.record_leaving(
            upstream.id, upstream.started_ms, self._timers.now()
        )
        for leaving in changed:
            self._leaving[leaving.id] = leaving.started_ms
        return changed

    def knows_majority(self) -> bool:
        """Return whether a majority of the voters has sent its version."""
        return self._are_majority(self.versions)

    async def find_origin(
        self, pools: Iterable[str], request_id: str
    ) -> StreamOrigin | None:
        """Return where a stream began.

        Parameters
        ----------
        pools : iterable of str
            Pools of its route.
        request_id : str
            Id of the caller's attempt that brought its first event; empty if
            the caller doesn't name it.

        Returns
        -------
        StreamOrigin or None
            None if neither this router nor a controller knows it.
        """
        known = self.streams.origins.find(request_id)
        if known is not None:
            return known
        request = fleet_pb2.StreamLookup(
            identity=self._identity, request_id=request_id, pools=pools
        )
        found = await self._look_up_origin(request)
        if found is None and request_id:
            # The router that began the stream may report it just now.
            await self._timers.sleep(2 * COLLECT_INTERVAL_S)
            found = await self._look_up_origin(request)
        return found

    async def _look_up_origin(
        self, request: fleet_pb2.StreamLookup
    ) -> StreamOrigin | None:
        """Ask the attached controllers until a majority has settled it."""
        replies: dict[str, fleet_pb2.StreamOrigin] = {}

        async def ask(address: str, scope: anyio.CancelScope) -> None:
            reply = await self._calls.find_stream(address, request)
            if reply is None:
                return
            record_versions(
                self.registry, reply.recent_versions, self._timers.now()
            )
            replies[address] = reply
            if self._are_majority(replies) and self._choose_origin(
                request.pools, replies
            ):
                scope.cancel()

        async with anyio.create_task_group() as tasks:
            for address in self.versions:
                tasks.start_soon(ask, address, tasks.cancel_scope)
        return self._choose_origin(request.pools, replies)

    def _choose_origin(
        self, pools: Iterable[str], replies: dict[str, fleet_pb2.StreamOrigin]
    ) -> StreamOrigin | None:
        """Return where a stream began, if replies of controllers tell.

        Parameters
        ----------
        pools : iterable of str
            Pools of its route.
        replies : dict of str to StreamOrigin
            Replies by the controllers' addresses.

        Notes
        -----
        Without a record of it, it is the only version that its pools have had
        recently. This router's own view doesn't suffice for that, as it may
        be out of date without a sign of it.
        """
        choices = {
            StreamOrigin(reply.pool, reply.software_version)
            for reply in replies.values()
            if reply.found
        }
        if not choices:
            informed = [
                address
                for address, reply in replies.items()
                if reply.recent_versions and not reply.lacks_versions
            ]
            if not self._are_majority(informed):
                return None
            choices = {
                StreamOrigin(pool, software_version)
                for pool in pools
                for software_version in self.registry.list_versions(pool)
            }
        return choices.pop() if len(choices) == 1 else None

    def _are_majority(self, addresses: Iterable[str]) -> bool:
        """Return whether controllers are a majority of the voters."""
        hosts = [self._controllers.get(address, "") for address in addresses]
        return is_majority(hosts, self._voters or self._controllers.values())

    async def run(self) -> None:
        """Keep a stream to each controller until cancelled."""
        running: set[str] = set()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._fetch_repeatedly)
            while True:
                addresses = set(self._controllers)
                if not self.knows_majority():
                    # Without a majority the known list may be out of date.
                    addresses.update(self.seeds)
                for address in addresses - running:
                    running.add(address)
                    tasks.start_soon(self._maintain_stream, address, running)
                self._expire()
                await self._timers.sleep(RECONNECT_PAUSE_S)

    def _expire(self) -> None:
        now = self._timers.now()
        self.streams.origins.expire(now)
        self._crashes.expire(now)
        self._limits.expire(now)
        if not self.versions:
            return
        if self.knows_majority():
            self._handle_evacuations(self._evacuations.retain(self.versions))
        # A controller that is out of reach may have received newer
        # announcements, so the lifetime is doubled.
        has_all_streams = len(self.versions) >= len(self._controllers)
        lifetime = self._lifetime_s * (1 if has_all_streams else 2)
        lost = self.registry.expire(now, lifetime)
        for upstream in lost:
            upstream.state = UpstreamState.GONE
        if lost:
            self._on_upstreams(lost)
        for id in list(self._leaving):
            if self.registry.get(id) is None and not self.registry.has_ended(
                id
            ):
                del self._leaving[id]

    def _is_needed(self, address: str) -> bool:
        return address in self._controllers or address in self.seeds

    async def _maintain_stream(self, address: str, running: set[str]) -> None:
        """Keep the stream to one controller while it is needed."""
        try:
            while self._is_needed(address):
                reason = await self._run_stream(address)
                if self.versions.pop(address, None) is not None:
                    _log.warning(
                        "controller lost address={} reason={}", address, reason
                    )
                await self._timers.sleep(RECONNECT_PAUSE_S)
        finally:
            running.discard(address)
            self._lists.pop(address, None)
            await self._calls.close_channel(address)

    async def _run_stream(self, address: str) -> str:
        """Run one stream; return why it ended."""
        call = self._calls.open_stub(address).Watch()
        reason = "not needed"
        decoder = UsageDecoder()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_reports, call, address, tasks)
                while self._is_needed(address):
                    update = None
                    with self._timers.limit(SILENCE_TIMEOUT_S):
                        update = await peers.wait_call(call.read())
                    if not isinstance(update, fleet_pb2.DirectoryUpdate):
                        reason = "silent" if update is None else "ended"
                        break
                    self._apply_update(address, update, decoder)
                tasks.cancel_scope.cancel()
        except* grpc.aio.AioRpcError as errors:
            error = errors.exceptions[0]
            assert isinstance(error, grpc.aio.AioRpcError)
            reason = error.code().name
        except* asyncio.InvalidStateError:
            # Raised by grpc when a report is written to a stream that the
            # controller has ended.
            reason = "ended"
        except* Exception as errors:
            # A message that can't be applied ends this stream only.
            reason = f"failed: {errors.exceptions[0]!r}"
            _log.error(
                "update of controller {} can't be applied: {!r}",
                address,
                errors.exceptions[0],
            )
        finally:
            call.cancel()
        return reason

    async def _send_reports(
        self, call: Any, address: str, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Send this router's identity, then reports or heartbeats.

        Only the leader gets reports of usage. Further tasks of the group
        report begun streams, and crashes and rate limits of upstreams.
        """
        lock = anyio.Lock()

        async def send(report: fleet_pb2.RouterUsage) -> None:
            # gRPC allows one write to a stream at a time.
            async with lock:
                await peers.wait_call(call.write(report))

        await send(fleet_pb2.RouterUsage(identity=self._identity))
        tasks.start_soon(self.streams.run, send)
        tasks.start_soon(self._crashes.changes.run, send)
        tasks.start_soon(self._limits.changes.run, send)
        await self._send_usage(send, address)

    async def _send_usage(
        self,
        send: Callable[[fleet_pb2.RouterUsage], Awaitable[None]],
        address: str,
    ) -> None:
        encoder = UsageEncoder()
        idle_s = 0.0
        sent: dict[str, int] = {}
        versions_sent = 0
        led = False
        factor_sent = 0.0
        async for now in self._timers.subscribe(USAGE_INTERVAL_S):
            if versions_sent != self.registry.versions_number:
                versions_sent = self.registry.versions_number
                versions = encode_versions(self.registry, now)
                if versions:
                    await send(fleet_pb2.RouterUsage(recent_versions=versions))
            idle_s += USAGE_INTERVAL_S
            leads = self._controllers.get(address, "") == self._leader
            leaving = dict(self._leaving.items() - sent.items())
            if not leads and not leaving and idle_s < HEARTBEAT_INTERVAL_S:
                continue
            usage = fleet_pb2.RouterUsage(
                leaving=[
                    fleet_pb2.LeavingUpstream(id=id, started_ms=started_ms)
                    for id, started_ms in leaving.items()
                ]
            )
            if leads:
                counters = self._collect_usage()
                accounts, upstreams = encoder.encode(
                    counters.accounts, counters.upstreams
                )
                usage.accounts.extend(accounts)
                usage.upstreams.extend(upstreams)
                usage.read_parts.extend(
                    encode_cached_parts(counters.cached_parts)
                )
                usage.throughput_factor = counters.throughput_factor
                usage.pool_speeds.extend(
                    encode_pool_speeds(
                        counters.pool_speeds, counters.engine_times
                    )
                )
                has_news = (
                    not led
                    or usage.accounts
                    or usage.upstreams
                    or usage.read_parts
                    or any(speed.engines for speed in usage.pool_speeds)
                    or usage.throughput_factor != factor_sent
                )
                if (
                    not has_news
                    and not leaving
                    and (idle_s < HEARTBEAT_INTERVAL_S)
                ):
                    continue
                factor_sent = usage.throughput_factor
            led = leads
            idle_s = 0.0
            sent = dict(self._leaving)
            await send(usage)

    def _apply_update(
        self,
        address: str,
        update: fleet_pb2.DirectoryUpdate,
        decoder: UsageDecoder,
    ) -> None:
        now = self._timers.now()
        versions_number = self.registry.versions_number
        if address not in self.versions:
            self._lists[address] = _ControllerList()
            _log.info(
                "controller attached address={} routing_version={}",
                address,
                update.routing_version,
            )
        self.versions[address] = update.routing_version
        self.attached_routers = update.attached_routers
        self._limits.position.record_count(
            update.attached_routers, update.router_number, now
        )
        self._apply_controllers(address, update)
        if update.leader:
            self._leader = update.leader
        leads = self._controllers.get(address, "") == self._leader
        self._crashes.digests.set_key(update.digest_key, leads)
        record_versions(self.registry, update.recent_versions, now)
        # Before the upstreams, which may be in evacuated zones.
        self._handle_evacuations(
            self._evacuations.apply(decode_evacuations(address, update))
        )
        changed = []
        for record in update.upstreams:
            if record.state not in UPSTREAM_STATES:
                continue
            if record.state == fleet_pb2.UpstreamRecord.GONE:
                ended = self.registry.record_end(
                    record.id, record.started_ms, now
                )
                changed += ended
                # The controller waits for this report, and the others learn
                # of the end even if that controller fails.
                self._leaving[record.id] = max(
                    record.started_ms,
                    self._leaving.get(record.id, 0),
                    *(upstream.started_ms for upstream in ended),
                )
                continue
            upstream = decode_upstream(record, now)
            changed += self.registry.announce(upstream, now)
        for renewal in update.renewals:
            changed += self.registry.renew(
                renewal.id, renewal.started_ms, renewal.sequence, now
            )
        if changed:
            self._on_upstreams(changed)
        if self.registry.versions_number != versions_number:
            self.streams.notify()
        if update.crashes:
            self._crashes.apply(decode_crashes(update.crashes, now))
        if update.limits:
            self._limits.apply(decode_limits(update.limits, now))
        if update.has_sums:
            accounts, usage = decoder.decode(
                update.accounts, update.usage, update.has_whole_usage
            )
            self._on_fleet_usage(
                FleetUsage(
                    accounts,
                    usage,
                    update.routers,
                    update.leader,
                    decode_cached_parts(update.read_parts),
                    update.throughput_factor,
                    decode_pool_speeds(update.pool_speeds),
                )
            )
        if update.routing_version > self.version:
            self._fetch_needed.set()

    def _handle_evacuations(self, change: EvacuationChange | None) -> None:
        if change is not None and self._on_evacuations is not None:
            self._on_evacuations(change)

    def _apply_controllers(
        self, address: str, update: fleet_pb2.DirectoryUpdate
    ) -> None:
        """Apply a controller's list of all controllers, if it is current.

        One that has started with an empty folder, or that was cut off, knows
        only a part of them.
        """
        sent = self._lists.setdefault(address, _ControllerList())
        if update.controllers:
            sent.hosts = {c.address: c.host for c in update.controllers}
        sent.voters_index = max(sent.voters_index, update.voters_index)
        if update.voters_index > self._voters_index:
            self._voters = frozenset(update.voters)
            self._voters_index = update.voters_index
        is_new = update.controllers or update.voters_index
        if is_new and sent.hosts and sent.voters_index >= self._voters_index:
            self._controllers = sent.hosts

    # ---- routing ---------------------------------------------------------

    async def _fetch_repeatedly(self) -> None:
        """Fetch each newer routing from a controller that has it in force.

        Another controller is asked as well when one doesn't answer soon.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                address = self._choose_source()
                if address is None:
                    await self._fetch_needed.wait()
                    self._fetch_needed = anyio.Event()
                    continue
                self._fetching.add(address)
                ended = anyio.Event()
                tasks.start_soon(self._fetch_from, address, ended)
                with self._timers.limit(FETCH_HEDGE_S):
                    await ended.wait()

    def _choose_source(self) -> str | None:
        """Return the controller to ask for the newest routing, if any."""
        newer = [
            (version, address)
            for address, version in self.versions.items()
            if version > self.version and address not in self._fetching
        ]
        return max(newer)[1] if newer else None

    async def _fetch_from(self, address: str, ended: anyio.Event) -> None:
        """Fetch a controller's routing; after a failure pause before more."""
        is_newer = await self._fetch(address)
        ended.set()
        if not is_newer:
            await self._timers.sleep(RECONNECT_PAUSE_S / 4)
        self._fetching.discard(address)
        self._fetch_needed.set()

    async def _fetch(self, address: str) -> bool:
        """Fetch a controller's routing; return whether it is in force now."""
        request = fleet_pb2.RoutingRead(identity=self._identity)
        copy = await self._calls.fetch_routing(address, request)
        if copy is None or not copy.found or copy.version <= self.version:
            return False
        try:
            document = unpack_document(copy.document)
        except zlib.error as error:
            _log.error(
                "routing version {} of controller {} can't be unpacked: {}",
                copy.version,
                address,
                error,
            )
            return False
        if not self._on_routing(copy.version, document):
            return False
        self.version = copy.version
        return True
