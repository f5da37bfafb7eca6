"""The route directory between controllers and routers.

Every router keeps a stream to every controller. It learns of upstreams from
the controller that an upstream has told, of the routing from the first one
that holds it, and of the fleet's load from the leader.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any, TypeVar

import anyio
import anyio.abc
import grpc
import grpc.aio
import logbook
from result import Err, Ok, Result

from ..messages import fleet_pb2, fleet_pb2_grpc
from ..pool.census import Census, Upstream, UpstreamState
from ..pool.usage import (
    AccountUse,
    FleetSums,
    RouterCounters,
    UpstreamUse,
    UsageTable,
)
from ..process.settings import Tls
from ..process.timers import Timers
from ..version.founding import Founder
from ..version.replica import NotLeader, Replica
from . import peers

# Time between two sums of the leader and two reports of a router. Shorter
# ones cost control traffic; decisions between them use the router's own
# account of its work.
SUMS_INTERVAL_S = 0.25
# An update is sent at least this often, so that both ends notice silence.
LONGEST_PAUSE_S = 1.0
SILENCE_LIMIT_S = 3.0
RECONNECT_PAUSE_S = 0.2
INTRODUCE_TIMEOUT_S = 1.0
# Operators go on to another controller after a second without an answer.
SUBMIT_TIMEOUT_S = 0.9
FETCH_TIMEOUT_S = 1.0

T = TypeVar("T")

_log = logbook.Logger("directory")

_STATES = {
    fleet_pb2.UpstreamRecord.READY: UpstreamState.READY,
    fleet_pb2.UpstreamRecord.DRAINING: UpstreamState.DRAINING,
    fleet_pb2.UpstreamRecord.GONE: UpstreamState.GONE,
}
_NUMBERS = {state: number for number, state in _STATES.items()}


def pack_document(document: bytes) -> bytes:
    """Compress a routing document for the log."""
    return zlib.compress(document)


def unpack_document(packed: bytes) -> bytes:
    """Return the document that `pack_document` has compressed."""
    return zlib.decompress(packed)


def _encode_upstream(upstream: Upstream, now: float) -> Any:
    return fleet_pb2.UpstreamRecord(
        id=upstream.id,
        pool=upstream.pool,
        address=upstream.address,
        availability_zone=upstream.availability_zone,
        state=_NUMBERS[upstream.state],
        slots=upstream.slots,
        sequence=upstream.sequence,
        started_ms=upstream.started_ms,
        models=upstream.models,
        age_ms=max(0, int((now - upstream.heard_at) * 1000)),
    )


def _decode_upstream(record: Any, now: float) -> Upstream:
    return Upstream(
        record.id,
        record.pool,
        record.address,
        record.availability_zone,
        _STATES[record.state],
        record.slots,
        record.sequence,
        record.started_ms,
        tuple(record.models),
        now - record.age_ms / 1000,
    )


def _encode_sums(
    accounts: dict[str, AccountUse], upstreams: dict[str, UpstreamUse]
) -> tuple[list[Any], list[Any]]:
    return (
        [
            fleet_pb2.AccountUsage(
                client_account=name, asked=use.asked, admitted=use.admitted
            )
            for name, use in accounts.items()
        ],
        [
            fleet_pb2.UpstreamUsage(
                id=id,
                running=use.running,
                unread_tokens=use.unread_tokens,
                held_tokens=use.held_tokens,
            )
            for id, use in upstreams.items()
        ],
    )


def _decode_sums(
    accounts: Iterable[Any], upstreams: Iterable[Any]
) -> tuple[dict[str, AccountUse], dict[str, UpstreamUse]]:
    return (
        {a.client_account: AccountUse(a.asked, a.admitted) for a in accounts},
        {
            u.id: UpstreamUse(u.running, u.unread_tokens, u.held_tokens)
            for u in upstreams
        },
    )


class DirectoryCalls:
    """Calls to controllers over gRPC, on one channel for each.

    Parameters
    ----------
    tls : Tls or None
    """

    __slots__ = ("_channels", "_tls")

    def __init__(self, tls: Tls | None) -> None:
        self._tls = tls
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def introduce(
        self, address: str, request: fleet_pb2.Introduction
    ) -> fleet_pb2.ControllerList | None:
        """Tell a controller of this one, and ask what it knows."""
        return await self._call(
            address, lambda s: s.Introduce, request, INTRODUCE_TIMEOUT_S
        )

    async def found(
        self, address: str, request: fleet_pb2.Founding
    ) -> fleet_pb2.FoundingReply | None:
        """Give a controller the first members."""
        return await self._call(
            address, lambda s: s.Found, request, INTRODUCE_TIMEOUT_S
        )

    async def submit_routing(
        self, address: str, request: fleet_pb2.RoutingSubmission
    ) -> fleet_pb2.RoutingResult | None:
        """Hand a checked routing to the leader."""
        return await self._call(
            address, lambda s: s.SubmitRouting, request, SUBMIT_TIMEOUT_S
        )

    async def read_routing(
        self, address: str, request: fleet_pb2.RoutingRead
    ) -> fleet_pb2.RoutingCopy | None:
        """Read the newest routing from the leader."""
        return await self._call(
            address, lambda s: s.ReadRouting, request, SUBMIT_TIMEOUT_S
        )

    async def fetch_routing(
        self, address: str, request: fleet_pb2.RoutingRead
    ) -> fleet_pb2.RoutingCopy | None:
        """Read the routing in force at a controller."""
        return await self._call(
            address, lambda s: s.FetchRouting, request, FETCH_TIMEOUT_S
        )

    def open_stub(self, address: str) -> Any:
        """Return the stub for a controller."""
        channel = self._channels.get(address)
        if channel is None:
            channel = peers.open_channel(address, self._tls)
            self._channels[address] = channel
        return fleet_pb2_grpc.DirectoryStub(channel)

    async def forget(self, address: str) -> None:
        """Close the channel to a controller that is gone."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close(grace=0)

    async def close(self) -> None:
        """Close all channels."""
        for address in list(self._channels):
            await self.forget(address)

    async def _call(
        self,
        address: str,
        choose: Callable[[Any], Any],
        request: Any,
        timeout_s: float,
    ) -> Any:
        method = choose(self.open_stub(address))
        try:
            return await peers.wait_call(method(request, timeout=timeout_s))
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.FAILED_PRECONDITION:
                _log.error(
                    "controller {} refuses us: {}", address, error.details()
                )
            return None


class Watcher:
    """A router's stream, as a controller sees it.

    Attributes
    ----------
    wake : anyio.Event
        Set when there is something to send.
    records, renewals : dict
        What is to be sent, by id.
    """

    __slots__ = (
        "controllers_sent",
        "name",
        "records",
        "renewals",
        "sums_due",
        "version_sent",
        "wake",
    )

    def __init__(self, name: str) -> None:
        self.controllers_sent: tuple[str, ...] = ()
        self.name = name
        self.records: dict[str, Any] = {}
        self.renewals: dict[str, Any] = {}
        self.sums_due = False
        self.version_sent = -1
        self.wake = anyio.Event()


class Directory:
    """What a controller knows of upstreams and routers.

    Parameters
    ----------
    replica : Replica
    founder : Founder
    calls : DirectoryCalls
    timers : Timers
    lifetime_s : float
        Time without an announcement after which an upstream is lost.
    window_s : float
        Span over which the demand of accounts is measured.
    """

    __slots__ = (
        "_calls",
        "_founder",
        "_lifetime_s",
        "_replica",
        "_sums",
        "_timers",
        "_usage",
        "_watchers",
        "census",
    )

    def __init__(
        self,
        replica: Replica,
        founder: Founder,
        calls: DirectoryCalls,
        timers: Timers,
        lifetime_s: float,
        window_s: float,
    ) -> None:
        self._calls = calls
        self._founder = founder
        self._lifetime_s = lifetime_s
        self._replica = replica
        self._sums = FleetSums()
        self._timers = timers
        self._usage = UsageTable(window_s)
        self._watchers: set[Watcher] = set()
        self.census = Census()

    async def run(self) -> None:
        """Pass on versions and sums, and expire upstreams until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._pass_on_versions)
            async for now in self._timers.subscribe(SUMS_INTERVAL_S):
                lost = self.census.expire(now, self._lifetime_s)
                for upstream in lost:
                    _log.info(
                        "upstream lost id={} address={} silent_s={:.1f}",
                        upstream.id,
                        upstream.address,
                        now - upstream.heard_at,
                    )
                if not self._replica.is_leader():
                    continue
                self._sums = self._usage.compute_sums(now)
                for watcher in self._watchers:
                    watcher.sums_due = True
                    watcher.wake.set()

    # ---- upstreams -------------------------------------------------------

    def announce(self, upstream: Upstream) -> None:
        """Take an upstream's announcement and pass it on."""
        now = self._timers.now()
        upstream.heard_at = now
        changed = self.census.take(upstream, now)
        self._pass_on(changed)
        if not changed and self.census.get(upstream.id) is not None:
            renewal = fleet_pb2.UpstreamRenewal(
                id=upstream.id,
                started_ms=upstream.started_ms,
                sequence=upstream.sequence,
            )
            # Renewals aren't urgent; they go out with the next message.
            for watcher in self._watchers:
                watcher.renewals[upstream.id] = renewal

    def end(self, id: str, started_ms: int) -> None:
        """Take note that an upstream leaves and takes no more work."""
        now = self._timers.now()
        ended = self.census.end(id, started_ms, now)
        if not ended:
            # Routers may know it from another controller.
            ended = [
                Upstream(id, "", "", "", UpstreamState.GONE, 0, 0, started_ms)
            ]
        self._pass_on(ended)

    def _pass_on(self, changed: Iterable[Upstream]) -> None:
        now = self._timers.now()
        for upstream in changed:
            _log.info(
                "upstream id={} pool={} address={} state={} sequence={} "
                "started_ms={}",
                upstream.id,
                upstream.pool,
                upstream.address,
                upstream.state.value,
                upstream.sequence,
                upstream.started_ms,
            )
            record = _encode_upstream(upstream, now)
            for watcher in self._watchers:
                watcher.records[upstream.id] = record
                watcher.renewals.pop(upstream.id, None)
                watcher.wake.set()

    # ---- routing ---------------------------------------------------------

    async def submit_routing(
        self, version: int, document: bytes
    ) -> fleet_pb2.RoutingResult:
        """Bring a checked routing into the log, by way of the leader.

        Returns
        -------
        RoutingResult
            Not decided when the outcome is unknown.
        """
        submission = fleet_pb2.RoutingSubmission(
            identity=self._replica.identity,
            version=version,
            document=pack_document(document),
        )
        result = await self._submit(submission)
        if isinstance(result, Ok):
            return result.ok_value
        leader = result.err_value
        if not leader:
            return fleet_pb2.RoutingResult()
        reply = await self._calls.submit_routing(leader, submission)
        return reply or fleet_pb2.RoutingResult()

    async def read_routing(self) -> fleet_pb2.RoutingCopy:
        """Return the newest routing, confirmed by a majority."""
        result = await self._read()
        if isinstance(result, Ok):
            return result.ok_value
        leader = result.err_value
        if not leader:
            return fleet_pb2.RoutingCopy()
        request = fleet_pb2.RoutingRead(identity=self._replica.identity)
        reply = await self._calls.read_routing(leader, request)
        return reply or fleet_pb2.RoutingCopy()

    async def _submit(
        self, submission: fleet_pb2.RoutingSubmission
    ) -> Result[fleet_pb2.RoutingResult, str]:
        stored = fleet_pb2.RoutingSubmission(
            version=submission.version, document=submission.document
        )
        result = await self._replica.submit_routing(stored)
        if isinstance(result, Ok):
            return Ok(result.ok_value)
        error = result.err_value
        return Err(error.leader if isinstance(error, NotLeader) else "")

    async def _read(self) -> Result[fleet_pb2.RoutingCopy, str]:
        result = await self._replica.confirm_state()
        if isinstance(result, Ok):
            return Ok(self.copy_routing())
        error = result.err_value
        return Err(error.leader if isinstance(error, NotLeader) else "")

    def copy_routing(self) -> fleet_pb2.RoutingCopy:
        """Return the routing in force at this controller."""
        routing = self._replica.state.routing
        return fleet_pb2.RoutingCopy(
            version=routing.version,
            document=routing.document,
            found=routing.version > 0,
        )

    async def _pass_on_versions(self) -> None:
        seen = 0
        while True:
            await self._replica.wait_applied()
            version = self._replica.state.routing.version
            if version == seen:
                continue
            seen = version
            _log.info(
                "routing in force version={} index={}",
                version,
                self._replica.state.last_index,
            )
            for watcher in self._watchers:
                watcher.wake.set()

    # ---- routers ---------------------------------------------------------

    def attach(self, name: str) -> Watcher:
        """Take a router's stream."""
        watcher = Watcher(name)
        now = self._timers.now()
        for upstream in self.census:
            watcher.records[upstream.id] = _encode_upstream(upstream, now)
        for id, started_ms in self.census.list_ended():
            gone = Upstream(
                id, "", "", "", UpstreamState.GONE, 0, 0, started_ms
            )
            watcher.records[id] = _encode_upstream(gone, now)
        self._watchers.add(watcher)
        _log.info("router attached name={}", name)
        return watcher

    def detach(self, watcher: Watcher) -> None:
        """Forget a stream that has ended."""
        self._watchers.discard(watcher)
        self._usage.forget(watcher.name)
        _log.info("router detached name={}", watcher.name)

    def count_routers(self) -> int:
        """Return the routers whose stream is open."""
        return len(self._watchers)

    def take_usage(
        self, watcher: Watcher, usage: fleet_pb2.RouterUsage
    ) -> None:
        """Take a router's report."""
        counters = RouterCounters(
            *_decode_sums(usage.accounts, usage.upstreams)
        )
        self._usage.take(watcher.name, counters, self._timers.now())

    def build_update(self, watcher: Watcher) -> fleet_pb2.DirectoryUpdate:
        """Return what a router doesn't know yet."""
        update = fleet_pb2.DirectoryUpdate(
            routing_version=self._replica.state.routing.version,
            upstreams=watcher.records.values(),
            renewals=watcher.renewals.values(),
            leader=self._replica.leader_host,
        )
        watcher.version_sent = update.routing_version
        watcher.records = {}
        watcher.renewals = {}
        controllers = self._founder.describe().controllers
        addresses = tuple(c.address for c in controllers)
        if addresses != watcher.controllers_sent:
            update.controllers.extend(controllers)
            watcher.controllers_sent = addresses
        if watcher.sums_due:
            watcher.sums_due = False
            update.has_sums = True
            accounts, upstreams = _encode_sums(
                self._sums.accounts, self._sums.upstreams
            )
            update.accounts.extend(accounts)
            update.usage.extend(upstreams)
            update.routers = self._sums.routers
        return update

    def introduce(
        self, request: fleet_pb2.Introduction
    ) -> fleet_pb2.ControllerList:
        """Take another controller's introduction."""
        self._founder.roster.note(request.controller)
        return self._founder.describe()

    async def accept_founding(self, members: fleet_pb2.MemberList) -> bool:
        """Take the first members from the founder."""
        return await self._founder.accept_founding(members)


class DirectoryService(fleet_pb2_grpc.DirectoryServicer):
    """The gRPC service of the route directory.

    Parameters
    ----------
    fleet : str
        Name of the fleet; others are refused.
    directory : Directory
    timers : Timers
    """

    def __init__(
        self, fleet: str, directory: Directory, timers: Timers
    ) -> None:
        self._fleet = fleet
        self._directory = directory
        self._timers = timers

    async def Introduce(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.Introduction,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.ControllerList:
        """Take an introduction and return all known controllers."""
        await peers.check_identity(request.identity, self._fleet, context)
        return self._directory.introduce(request)

    async def Found(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.Founding,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.FoundingReply:
        """Take the first members into an empty data folder."""
        await peers.check_identity(request.identity, self._fleet, context)
        accepted = await self._directory.accept_founding(request.members)
        return fleet_pb2.FoundingReply(accepted=accepted)

    async def SubmitRouting(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.RoutingSubmission,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.RoutingResult:
        """Append a routing to the log, if this controller leads."""
        await peers.check_identity(request.identity, self._fleet, context)
        result = await self._directory._submit(request)
        if isinstance(result, Ok):
            return result.ok_value
        return fleet_pb2.RoutingResult()

    async def ReadRouting(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.RoutingRead,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.RoutingCopy:
        """Return the newest routing, if this controller leads."""
        await peers.check_identity(request.identity, self._fleet, context)
        result = await self._directory._read()
        if isinstance(result, Ok):
            return result.ok_value
        return fleet_pb2.RoutingCopy()

    async def FetchRouting(  # noqa: N802 - named by the protocol
        self,
        request: fleet_pb2.RoutingRead,
        context: grpc.aio.ServicerContext,
    ) -> fleet_pb2.RoutingCopy:
        """Return the routing in force here."""
        await peers.check_identity(request.identity, self._fleet, context)
        return self._directory.copy_routing()

    async def Watch(  # noqa: N802 - named by the protocol
        self,
        requests: AsyncIterator[fleet_pb2.RouterUsage],
        context: grpc.aio.ServicerContext,
    ) -> None:
        """Serve a router's stream until either end leaves."""
        first = await anext(aiter(requests), None)
        if first is None:
            return
        identity = first.identity
        await peers.check_identity(identity, self._fleet, context)
        directory = self._directory
        watcher = directory.attach(f"{identity.host}/{identity.incarnation}")
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._read_usage, requests, watcher, tasks.cancel_scope
                )
                while True:
                    watcher.wake = anyio.Event()
                    await context.write(directory.build_update(watcher))
                    with self._timers.limit(LONGEST_PAUSE_S):
                        await watcher.wake.wait()
        finally:
            directory.detach(watcher)

    async def _read_usage(
        self,
        requests: AsyncIterator[fleet_pb2.RouterUsage],
        watcher: Watcher,
        scope: anyio.CancelScope,
    ) -> None:
        while True:
            usage = None
            with self._timers.limit(SILENCE_LIMIT_S):
                usage = await peers.wait_call(anext(aiter(requests), None))
            if usage is None:
                scope.cancel()
                return
            self._directory.take_usage(watcher, usage)


class Subscription:
    """A router's view of the directory, over streams to all controllers.

    Parameters
    ----------
    identity : Identity
    seeds : iterable of str
        Addresses of controllers that are known at the start.
    calls : DirectoryCalls
    timers : Timers
    collect_usage : callable
        Returns the router's counters.
    on_upstreams : callable
        Called with the upstreams that have changed.
    on_routing : callable
        Called with version and document of a newer routing; returns whether
        it is in force now.
    on_sums : callable
        Called with the fleet's sums.
    lifetime_s : float
        Time without an announcement after which an upstream is lost.

    Attributes
    ----------
    versions : dict of str to int
        Routing version that each attached controller holds, by address.
    """

    __slots__ = (
        "_calls",
        "_collect_usage",
        "_controllers",
        "_fetching",
        "_identity",
        "_leader",
        "_lifetime_s",
        "_on_routing",
        "_on_sums",
        "_on_upstreams",
        "_timers",
        "_wanted",
        "census",
        "seeds",
        "version",
        "versions",
    )

    def __init__(
        self,
        identity: fleet_pb2.Identity,
        seeds: Iterable[str],
        calls: DirectoryCalls,
        timers: Timers,
        collect_usage: Callable[[], RouterCounters],
        on_upstreams: Callable[[list[Upstream]], None],
        on_routing: Callable[[int, bytes], bool],
        on_sums: Callable[[FleetSums], None],
        lifetime_s: float,
    ) -> None:
        self._calls = calls
        self._collect_usage = collect_usage
        # Host by address of the controllers that take part.
        self._controllers: dict[str, str] = {}
        self._fetching = False
        self._identity = identity
        self._leader = ""
        self._lifetime_s = lifetime_s
        self._on_routing = on_routing
        self._on_sums = on_sums
        self._on_upstreams = on_upstreams
        self._timers = timers
        self._wanted = anyio.Event()
        self.census = Census()
        self.seeds = list(seeds)
        self.version = 0
        self.versions: dict[str, int] = {}

    def knows_majority(self) -> bool:
        """Return whether most known controllers have told their version."""
        return 2 * len(self.versions) > len(self._controllers) > 0

    async def run(self) -> None:
        """Keep a stream to each controller until cancelled."""
        running: set[str] = set()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._fetch_repeatedly)
            while True:
                addresses = set(self._controllers)
                if len(self.versions) * 2 <= len(addresses):
                    # Without a majority the known ones may be out of date.
                    addresses.update(self.seeds)
                for address in addresses - running:
                    running.add(address)
                    tasks.start_soon(self._follow, address, running)
                self._expire()
                await self._timers.sleep(RECONNECT_PAUSE_S)

    def _expire(self) -> None:
        if not self.versions:
            return
        # A controller that is out of reach may hear of more upstreams.
        is_whole = len(self.versions) >= len(self._controllers)
        lifetime = self._lifetime_s * (1 if is_whole else 2)
        lost = self.census.expire(self._timers.now(), lifetime)
        for upstream in lost:
            upstream.state = UpstreamState.GONE
        if lost:
            self._on_upstreams(lost)

    def _is_wanted(self, address: str) -> bool:
        return address in self._controllers or address in self.seeds

    async def _follow(self, address: str, running: set[str]) -> None:
        """Keep the stream to one controller while it is needed."""
        try:
            while self._is_wanted(address):
                reason = await self._stream(address)
                if self.versions.pop(address, None) is not None:
                    _log.warning(
                        "controller lost address={} reason={}", address, reason
                    )
                await self._timers.sleep(RECONNECT_PAUSE_S)
        finally:
            running.discard(address)
            await self._calls.forget(address)

    async def _stream(self, address: str) -> str:
        """Serve one stream and return why it ended."""
        call = self._calls.open_stub(address).Watch()
        reason = "not wanted"
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._report, call, address)
                while self._is_wanted(address):
                    update = None
                    with self._timers.limit(SILENCE_LIMIT_S):
                        update = await peers.wait_call(call.read())
                    if not isinstance(update, fleet_pb2.DirectoryUpdate):
                        reason = "silent" if update is None else "ended"
                        break
                    self._take(address, update)
                tasks.cancel_scope.cancel()
        except* grpc.aio.AioRpcError as errors:
            error = errors.exceptions[0]
            assert isinstance(error, grpc.aio.AioRpcError)
            reason = error.code().name
        except* asyncio.InvalidStateError:
            # grpc raises it when a report is written to a stream that the
            # controller has ended.
            reason = "ended"
        finally:
            call.cancel()
        return reason

    async def _report(self, call: Any, address: str) -> None:
        """Name this router, then send reports if the controller leads."""
        await peers.wait_call(
            call.write(fleet_pb2.RouterUsage(identity=self._identity))
        )
        idle_s = 0.0
        async for _ in self._timers.subscribe(SUMS_INTERVAL_S):
            idle_s += SUMS_INTERVAL_S
            leads = self._controllers.get(address, "") == self._leader
            if not leads and idle_s < LONGEST_PAUSE_S:
                continue
            idle_s = 0.0
            usage = fleet_pb2.RouterUsage()
            if leads:
                counters = self._collect_usage()
                accounts, upstreams = _encode_sums(
                    counters.accounts, counters.upstreams
                )
                usage.accounts.extend(accounts)
                usage.upstreams.extend(upstreams)
            await peers.wait_call(call.write(usage))

    def _take(self, address: str, update: fleet_pb2.DirectoryUpdate) -> None:
        now = self._timers.now()
        if address not in self.versions:
            _log.info(
                "controller attached address={} routing_version={}",
                address,
                update.routing_version,
            )
        self.versions[address] = update.routing_version
        if update.controllers:
            self._controllers = {c.address: c.host for c in update.controllers}
        if update.leader:
            self._leader = update.leader
        changed = []
        for record in update.upstreams:
            if record.state not in _STATES:
                continue
            if record.state == fleet_pb2.UpstreamRecord.GONE:
                changed += self.census.end(record.id, record.started_ms, now)
                continue
            upstream = _decode_upstream(record, now)
            changed += self.census.take(upstream, now)
        for renewal in update.renewals:
            self.census.renew(
                renewal.id, renewal.started_ms, renewal.sequence, now
            )
        if changed:
            self._on_upstreams(changed)
        if update.has_sums:
            accounts, usage = _decode_sums(update.accounts, update.usage)
            self._on_sums(
                FleetSums(accounts, usage, update.routers, update.leader)
            )
        if update.routing_version > self.version:
            self._wanted.set()

    # ---- routing ---------------------------------------------------------

    async def _fetch_repeatedly(self) -> None:
        """Fetch the newest routing that any controller has in force."""
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            newer = [
                (version, address)
                for address, version in self.versions.items()
                if version > self.version
            ]
            for _, address in sorted(newer, reverse=True):
                if await self._fetch(address):
                    break
            else:
                if newer:
                    await self._timers.sleep(RECONNECT_PAUSE_S / 4)
            if any(v > self.version for v in self.versions.values()):
                self._wanted.set()

    async def _fetch(self, address: str) -> bool:
        request = fleet_pb2.RoutingRead(identity=self._identity)
        copy = await self._calls.fetch_routing(address, request)
        if copy is None or not copy.found or copy.version <= self.version:
            return False
        document = unpack_document(copy.document)
        if not self._on_routing(copy.version, document):
            return False
        self.version = copy.version
        return True
