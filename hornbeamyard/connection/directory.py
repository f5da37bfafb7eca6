"""The route directory, by which controllers keep routers up to date.

Every router keeps a stream to every controller. It learns of an upstream from
the controller to which the upstream announced itself, of a new routing from
the first controller that has it in force, and of the load of the whole fleet
from the leader.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import replace

import anyio
import logbook
from result import Err, Ok, Result

from ..messages import fleet_pb2
from ..pool.crashes import CrashLedger
from ..pool.rate_limits import RateLimits
from ..pool.stream_origins import StreamOrigin, StreamOrigins
from ..pool.upstream_registry import (
    ENDED_RETENTION_S,
    Upstream,
    UpstreamRegistry,
    UpstreamState,
)
from ..pool.usage import FleetUsage, RouterUsage, UsageTable
from ..process.timers import Timers
from ..version.founding import Founder
from ..version.membership import find_addresses, is_majority, list_voters
from ..version.replica import NotLeader, Replica
from .directory_calls import DirectoryCalls
from .directory_codec import (
    FleetUsageEncoder,
    decode_cached_parts,
    decode_crashes,
    decode_engine_times,
    decode_limits,
    decode_pool_speeds,
    encode_cached_parts,
    encode_crashes,
    encode_each,
    encode_limits,
    encode_pool_speeds,
    encode_upstream,
    encode_versions,
    pack_document,
    record_versions,
)
from .intervals import IDLE_USAGE_INTERVAL_S, USAGE_INTERVAL_S
from .subscriber import Subscriber

# Crashes and limits of upstreams are collected for this long before they are
# sent. Dozens of routers report the same crash within it.
NOTICE_INTERVAL_S = 0.05
# Interval at which a controller without a record of the pools' software
# versions asks the others.
LEARN_INTERVAL_S = 0.25
# Time for a router to report that it knows of the end of an upstream. It is
# less than the 1 s after which upstreams call another controller.
CONFIRMATION_TIMEOUT_S = 0.8
_log = logbook.Logger("directory")


class Directory:
    """A controller's part of the route directory.

    It holds the upstreams and the routers' usage, and sends both, the routing
    version and the controllers to the routers.

    Parameters
    ----------
    replica : Replica
    founder : Founder
    calls : DirectoryCalls
    timers : Timers
    lifetime_s : float
        Time in seconds without an announcement after which an upstream is
        lost.
    window_s : float
        Window in seconds over which the demand of accounts is measured.

    Attributes
    ----------
    crashes : CrashLedger
        Crashes of upstreams that routers have reported.
    limits : RateLimits
        Rate limits of upstreams that routers have reported.
    origins : StreamOrigins
        Streams that routers have reported.
    registry : UpstreamRegistry
    lacks_versions : bool
        Whether this controller has started without its record of the pools'
        recent versions, and hasn't learned them from others yet.
    """

    __slots__ = (
        "_calls",
        "_fleet_usage",
        "_fleet_usage_encoder",
        "_founder",
        "_has_notices",
        "_leaving",
        "_leaving_reported",
        "_lifetime_s",
        "_orders",
        "_orders_position",
        "_replica",
        "_started_at",
        "_subscribers",
        "_timers",
        "_usage",
        "crashes",
        "lacks_versions",
        "limits",
        "origins",
        "registry",
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
        # Set when routers have reported crashes or limits.
        self._has_notices = anyio.Event()
        # Latest starts of upstreams that routers have reported as leaving, by
        # id, with the time of the report.
        self._leaving: dict[str, tuple[int, float]] = {}
        self._leaving_reported = anyio.Event()
        self._lifetime_s = lifetime_s
        # Orders that await a leader since the start, and the last applied
        # index, last index and last term of the log that they were found in.
        self._orders: dict[str, fleet_pb2.LogEntry] = {}
        self._orders_position = (-1, -1, -1)
        self._replica = replica
        self._fleet_usage = FleetUsage()
        self._fleet_usage_encoder = FleetUsageEncoder()
        self._timers = timers
        self._usage = UsageTable(window_s)
        self._started_at = timers.now()
        self._subscribers: set[Subscriber] = set()
        self.lacks_versions = False
        self.crashes = CrashLedger()
        self.limits = RateLimits()
        self.origins = StreamOrigins()
        self.registry = UpstreamRegistry()

    async def run(self) -> None:
        """Send versions and fleet usage, and expire lost upstreams.

        Runs until cancelled.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._publish_versions)
            tasks.start_soon(self._publish_notices)
            tasks.start_soon(self._learn_versions)
            sent_at = float("-inf")
            async for now in self._timers.subscribe(USAGE_INTERVAL_S):
                self.origins.expire(now)
                self.crashes.expire(now)
                self.limits.expire(now)
                self._forget_leaving(now)
                lost = self.registry.expire(now, self._lifetime_s)
                for upstream in lost:
                    _log.info(
                        "upstream lost id={} address={} silent_s={:.1f}",
                        upstream.id,
                        upstream.address,
                        now - upstream.last_seen_at,
                    )
                if not self._replica.is_leader():
                    continue
                last = self._fleet_usage
                self._fleet_usage = self._usage.compute_fleet_usage(now)
                is_new = self._fleet_usage.is_active() or (
                    self._fleet_usage != last
                )
                if not is_new and now - sent_at < IDLE_USAGE_INTERVAL_S:
                    continue
                sent_at = now
                self._fleet_usage_encoder.update(
                    self._fleet_usage.accounts, self._fleet_usage.upstreams
                )
                for subscriber in self._subscribers:
                    subscriber.cached_parts += self._fleet_usage.cached_parts
                    subscriber.fleet_usage_due = True
                    subscriber.wake.set()

    # ---- software versions -----------------------------------------------

    async def _learn_versions(self) -> None:
        """Ask the other controllers, until this one has a record of versions.

        What a majority of the voters knows includes each version that any
        other majority could tell of.
        """
        async for now in self._timers.subscribe(LEARN_INTERVAL_S):
            if now - self._started_at > ENDED_RETENTION_S:
                # Versions that ended before the start matter no more.
                self.lacks_versions = False
            if not self.lacks_versions:
                return
            voters = list_voters(self._replica.journal.members)
            informed = await self._ask_for_versions()
            if is_majority(informed, voters):
                _log.info("learned the versions of pools from {}", informed)
                self.lacks_versions = False

    async def _ask_for_versions(self) -> set[str]:
        """Record the versions that others know; return the hosts of these."""
        informed: set[str] = set()
        request = fleet_pb2.StreamLookup(identity=self._replica.identity)

        async def ask(host: str, address: str) -> None:
            reply = await self._calls.find_stream(address, request)
            if reply is None or reply.lacks_versions:
                return
            now = self._timers.now()
            record_versions(self.registry, reply.recent_versions, now)
            informed.add(host)

        addresses = find_addresses(self._replica.journal.members)
        addresses.pop(self._replica.host, None)
        async with anyio.create_task_group() as tasks:
            for host, address in addresses.items():
                tasks.start_soon(ask, host, address)
        return informed

    # ---- upstreams -------------------------------------------------------

    def announce(self, upstream: Upstream, may_replace: bool = True) -> None:
        """Record an upstream's announcement and send it to the routers.

        Parameters
        ----------
        upstream : Upstream
        may_replace : bool, optional
            See `UpstreamRegistry.announce`.
        """
        now = self._timers.now()
        upstream.last_seen_at = now
        reported_ms, _ = self._leaving.get(upstream.id, (None, now))
        is_ready = upstream.state is UpstreamState.READY
        if is_ready and upstream.started_ms == reported_ms:
            # The announcement is late, and may be the first one here.
            upstream = replace(upstream, state=UpstreamState.DRAINING)
            upstream.leaving_since = now
        changed = self.registry.announce(upstream, now, may_replace)
        # Routers find out for themselves which upstreams are displaced, as an
        # end that a controller tells them is final.
        self._publish(
            u for u in changed if not self.registry.is_displaced(u.id)
        )
        if not changed and self.registry.get(upstream.id) is not None:
            renewal = fleet_pb2.UpstreamRenewal(
                id=upstream.id,
                started_ms=upstream.started_ms,
                sequence=upstream.sequence,
            )
            # Renewals aren't urgent; the next message contains them.
            for subscriber in self._subscribers:
                subscriber.pending_renewals[upstream.id] = renewal

    async def withdraw(self, id: str, started_ms: int) -> bool:
        """Record that an upstream has left, and inform the routers.

        A router that knows of it informs all controllers.

        Returns
        -------
        bool
            Whether a router of another host has confirmed in time that it
            knows; in a fleet with one controller, a router of any host.
        """
        now = self._timers.now()
        ended = self.registry.record_end(id, started_ms, now)
        if not ended:
            # Routers may know the upstream from another controller.
            ended = [_build_gone_upstream(id, started_ms)]
        self._publish(ended)
        started_ms = ended[0].started_ms
        with self._timers.limit(CONFIRMATION_TIMEOUT_S):
            while not self._is_reported(id, started_ms):
                await self._leaving_reported.wait()
        return self._is_reported(id, started_ms)

    def _is_reported(self, id: str, started_ms: int) -> bool:
        return id in self._leaving and self._leaving[id][0] >= started_ms

    def _record_leaving(
        self, subscriber: Subscriber, leaving: fleet_pb2.LeavingUpstream
    ) -> None:
        """Record a router's report of an upstream that leaves."""
        now = self._timers.now()
        self._publish(
            self.registry.record_leaving(leaving.id, leaving.started_ms, now)
        )
        host, _, _ = subscriber.name.partition("/")
        # A router of the same host may fail together with this controller.
        if host != self._replica.host or self._is_only_controller():
            reported_ms, _ = self._leaving.get(leaving.id, (0, now))
            started_ms = max(leaving.started_ms, reported_ms)
            self._leaving[leaving.id] = (started_ms, now)
            self._leaving_reported.set()
            self._leaving_reported = anyio.Event()

    def _is_only_controller(self) -> bool:
        return len(find_addresses(self._replica.journal.members)) < 2

    def _forget_leaving(self, now: float) -> None:
        for id, (_, reported_at) in list(self._leaving.items()):
            if now - reported_at > ENDED_RETENTION_S:
                del self._leaving[id]

    def _publish(self, changed: Iterable[Upstream]) -> None:
        for upstream, record in self._encode_upstreams(changed):
            _log.info(
                "upstream id={} pool={} address={} state={} sequence={} "
                "started_ms={} software_version={}",
                upstream.id,
                upstream.pool,
                upstream.address,
                upstream.state.value,
                upstream.sequence,
                upstream.started_ms,
                upstream.software_version,
            )
            for subscriber in self._subscribers:
                subscriber.pending_records[upstream.id] = record
                subscriber.pending_renewals.pop(upstream.id, None)
                subscriber.wake.set()

    def _encode_upstreams(
        self, upstreams: Iterable[Upstream]
    ) -> Iterator[tuple[Upstream, fleet_pb2.UpstreamRecord]]:
        """Yield upstreams with the messages for them."""
        now = self._timers.now()
        return encode_each(
            upstreams, lambda upstream: encode_upstream(upstream, now)
        )

    # ---- routing ---------------------------------------------------------

    async def submit_routing(
        self, version: int, document: bytes
    ) -> fleet_pb2.RoutingResult:
        """Append a validated routing to the log through the leader.

        Returns
        -------
        RoutingResult
            With `decided` unset when the outcome is unknown.
        """
        submission = fleet_pb2.RoutingSubmission(
            identity=self._replica.identity,
            version=version,
            document=pack_document(document),
        )
        result = await self.submit_as_leader(submission)
        if isinstance(result, Ok):
            return result.ok_value
        leader = result.err_value
        if not leader:
            return fleet_pb2.RoutingResult()
        reply = await self._calls.submit_routing(leader, submission)
        return reply or fleet_pb2.RoutingResult()

    async def read_routing(self) -> fleet_pb2.RoutingCopy:
        """Return the newest routing, confirmed by a quorum.

        Returns
        -------
        RoutingCopy
            With `found` unset when no leader confirmed it.
        """
        result = await self.read_as_leader()
        if isinstance(result, Ok):
            return result.ok_value
        leader = result.err_value
        if not leader:
            return fleet_pb2.RoutingCopy()
        request = fleet_pb2.RoutingRead(identity=self._replica.identity)
        reply = await self._calls.read_routing(leader, request)
        return reply or fleet_pb2.RoutingCopy()

    async def submit_as_leader(
        self, submission: fleet_pb2.RoutingSubmission
    ) -> Result[fleet_pb2.RoutingResult, str]:
        """Append a routing to the log, if this controller leads.

        Returns
        -------
        Result of RoutingResult or str
            The error is the leader's address, or "" if it isn't known.
        """
        stored = fleet_pb2.RoutingSubmission(
            version=submission.version, document=submission.document
        )
        result = await self._replica.submit_routing(stored)
        if isinstance(result, Ok):
            return Ok(result.ok_value)
        error = result.err_value
        return Err(error.leader if isinstance(error, NotLeader) else "")

    async def read_as_leader(self) -> Result[fleet_pb2.RoutingCopy, str]:
        """Return the newest routing, if this controller leads.

        Returns
        -------
        Result of RoutingCopy or str
            The error is the leader's address, or "" if it isn't known.
        """
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

    async def _publish_versions(self) -> None:
        published_version = 0
        published_key = b""
        published_index = 0
        while True:
            await self._replica.wait_for_change()
            state = self._replica.state
            version = state.routing.version
            key = state.digest_key
            index = state.evacuations_index
            if (
                version == published_version
                and key == published_key
                and index == published_index
            ):
                continue
            if version != published_version:
                _log.info(
                    "routing in force version={} index={}",
                    version,
                    state.last_index,
                )
            if index != published_index:
                _log.info(
                    "evacuations in force zones={} index={}",
                    sorted(state.evacuated_zones),
                    index,
                )
            published_version = version
            published_key = key
            published_index = index
            for subscriber in self._subscribers:
                subscriber.wake.set()

    # ---- evacuations -----------------------------------------------------

    async def order_evacuation(
        self, availability_zone: str, evacuated: bool
    ) -> fleet_pb2.EvacuationResult:
        """Start or end the evacuation of a zone through the leader.

        Parameters
        ----------
        availability_zone : str
            A name that `check_zone` accepts.
        evacuated : bool

        Returns
        -------
        EvacuationResult
            With `decided` unset when the outcome is unknown.
        """
        order = fleet_pb2.EvacuationOrder(
            identity=self._replica.identity,
            availability_zone=availability_zone,
            evacuated=evacuated,
        )
        result = await self.order_as_leader(order)
        if isinstance(result, Ok):
            return result.ok_value
        leader = result.err_value
        if not leader:
            return fleet_pb2.EvacuationResult()
        reply = await self._calls.order_evacuation(leader, order)
        return reply or fleet_pb2.EvacuationResult()

    async def order_as_leader(
        self, order: fleet_pb2.EvacuationOrder
    ) -> Result[fleet_pb2.EvacuationResult, str]:
        """Append an order to the log, if this controller leads.

        Returns
        -------
        Result of EvacuationResult or str
            The error is the leader's address, or "" if it isn't known.
        """
        stored = fleet_pb2.EvacuationOrder(
            availability_zone=order.availability_zone,
            evacuated=order.evacuated,
        )
        result = await self._replica.order_evacuation(stored)
        if isinstance(result, Ok):
            return Ok(result.ok_value)
        error = result.err_value
        return Err(error.leader if isinstance(error, NotLeader) else "")

    async def read_status(self) -> bytes | None:
        """Return the status document; None if no leader confirmed it."""
        result = await self.read_status_as_leader()
        if isinstance(result, Ok):
            return result.ok_value
        leader = result.err_value
        if not leader:
            return None
        request = fleet_pb2.StatusRequest(identity=self._replica.identity)
        reply = await self._calls.read_status(leader, request)
        return reply.document or None if reply is not None else None

    async def read_status_as_leader(self) -> Result[bytes, str]:
        """Return the status document, if this controller leads.

        Returns
        -------
        Result of bytes or str
            JSON. The error is the leader's address, or "" if it isn't known.
        """
        result = await self._replica.confirm_state()
        if isinstance(result, Err):
            error = result.err_value
            return Err(error.leader if isinstance(error, NotLeader) else "")
        state = result.ok_value
        document = {
            "leader": self._replica.get_leader(),
            "epoch": self._replica.term,
            "routing_version": state.routing.version,
            "routers_attached": self.count_routers(),
            "upstreams": len(self.registry),
            "evacuated_zones": sorted(state.evacuated_zones),
            "evacuations_index": state.evacuations_index,
        }
        return Ok(json.dumps(document).encode())

    # ---- routers ---------------------------------------------------------

    def attach(self, name: str) -> Subscriber:
        """Return the state of a router's new stream.

        Parameters
        ----------
        name : str
            Host and incarnation of the router.
        """
        subscriber = Subscriber(name)
        now = self._timers.now()
        known = [
            *self.registry,
            *(
                _build_gone_upstream(id, started_ms)
                for id, started_ms in self.registry.list_ended()
            ),
        ]
        for upstream, record in self._encode_upstreams(known):
            subscriber.pending_records[upstream.id] = record
        for observation in self.limits.list_all():
            [message] = encode_limits([observation], now)
            subscriber.pending_limits[observation.upstream] = message
        subscriber.cached_parts = self._usage.list_recent_parts(now)
        self._subscribers.add(subscriber)
        self._number_subscribers()
        _log.info("router attached name={}", name)
        return subscriber

    def detach(self, subscriber: Subscriber) -> None:
        """Remove a stream that has ended."""
        self._subscribers.discard(subscriber)
        self._number_subscribers()
        self._usage.forget(subscriber.name)
        _log.info("router detached name={}", subscriber.name)

    def _number_subscribers(self) -> None:
        """Update the numbers of streams, in the order of their names."""
        ordered = sorted(self._subscribers, key=lambda s: s.name)
        for number, subscriber in enumerate(ordered, 1):
            subscriber.number = number

    def count_routers(self) -> int:
        """Return the number of routers with an open stream."""
        return len(self._subscribers)

    def handle_usage(
        self, subscriber: Subscriber, usage: fleet_pb2.RouterUsage
    ) -> None:
        """Record a router's report; its usage only if this controller leads.

        Upstreams that leave, crashes and rate limits are made known to all
        routers, and begun streams are kept for those that ask.
        """
        # Messages with streams, crashes, limits or versions have no usage,
        # which must not count as zero.
        if usage.begun_streams:
            self._record_streams(usage.begun_streams)
            return
        if usage.crashes:
            self._record_crashes(usage.crashes)
            return
        if usage.limits:
            self._record_limits(usage.limits)
            return
        if usage.recent_versions:
            record_versions(
                self.registry, usage.recent_versions, self._timers.now()
            )
            return
        now = self._timers.now()
        for leaving in usage.leaving:
            self._record_leaving(subscriber, leaving)
        counters = RouterUsage(
            *subscriber.usage_decoder.decode(usage.accounts, usage.upstreams),
            decode_cached_parts(usage.read_parts),
            usage.throughput_factor,
            decode_pool_speeds(usage.pool_speeds),
            decode_engine_times(usage.pool_speeds),
        )
        if not self._replica.is_leader():
            # Once this controller leads, the first report is the baseline:
            # what a router counted before isn't recent demand.
            self._usage.forget(subscriber.name)
            return
        self._usage.record_report(subscriber.name, counters, now)

    def _record_crashes(
        self, messages: Iterable[fleet_pb2.UpstreamCrash]
    ) -> None:
        crashes = decode_crashes(messages, self._timers.now())
        if self.crashes.merge(crashes):
            self._has_notices.set()

    def _record_limits(
        self, messages: Iterable[fleet_pb2.UpstreamLimit]
    ) -> None:
        now = self._timers.now()
        changed = [
            observation
            for observation in decode_limits(messages, now)
            if self.limits.record(observation)
        ]
        for observation in changed:
            [message] = encode_limits([observation], now)
            for subscriber in self._subscribers:
                subscriber.pending_limits[observation.upstream] = message
            self._has_notices.set()

    async def _publish_notices(self) -> None:
        while True:
            await self._has_notices.wait()
            await self._timers.sleep(NOTICE_INTERVAL_S)
            self._has_notices = anyio.Event()
            for subscriber in self._subscribers:
                subscriber.wake.set()

    def _record_streams(
        self, groups: Iterable[fleet_pb2.BegunStreams]
    ) -> None:
        now = self._timers.now()
        for group in groups:
            origin = StreamOrigin(group.pool, group.software_version)
            for request_id in group.request_ids:
                self.origins.record(request_id, origin, now)

    def find_stream(
        self, request: fleet_pb2.StreamLookup
    ) -> fleet_pb2.StreamOrigin:
        """Return where a stream began, and what else it may have begun at."""
        reply = fleet_pb2.StreamOrigin(
            recent_versions=encode_versions(
                self.registry, self._timers.now(), request.pools or None
            ),
            lacks_versions=self.lacks_versions,
        )
        origin = self.origins.find(request.request_id)
        if origin is not None:
            reply.found = True
            reply.pool = origin.pool
            reply.software_version = origin.software_version
        return reply

    def build_update(
        self, subscriber: Subscriber
    ) -> fleet_pb2.DirectoryUpdate:
        """Return the next message for a router, with all that is pending."""
        update = fleet_pb2.DirectoryUpdate(
            routing_version=self._replica.state.routing.version,
            upstreams=subscriber.pending_records.values(),
            renewals=subscriber.pending_renewals.values(),
            leader=self._replica.leader_host,
            attached_routers=self.count_routers(),
            router_number=subscriber.number,
            limits=subscriber.pending_limits.values(),
        )
        if subscriber.version_sent < 0:
            update.recent_versions.extend(
                encode_versions(self.registry, self._timers.now())
            )
        subscriber.version_sent = update.routing_version
        digest_key = self._replica.state.digest_key
        if digest_key != subscriber.digest_key_sent:
            update.digest_key = digest_key
            subscriber.digest_key_sent = digest_key
        state = self._replica.state
        if state.evacuations_index != subscriber.evacuations_sent:
            update.evacuated_zones.extend(sorted(state.evacuated_zones))
            update.evacuations_index = state.evacuations_index
            subscriber.evacuations_sent = state.evacuations_index
        for zone, entry in self._find_unconfirmed_orders().items():
            update.unconfirmed_index = max(
                update.unconfirmed_index, entry.index
            )
            if entry.evacuation.evacuated:
                update.unconfirmed_zones.append(zone)
        subscriber.pending_records = {}
        subscriber.pending_renewals = {}
        subscriber.pending_limits = {}
        controllers = self._founder.describe().controllers
        addresses = tuple(c.address for c in controllers)
        if addresses != subscriber.controllers_sent:
            update.controllers.extend(controllers)
            subscriber.controllers_sent = addresses
        journal = self._replica.journal
        if journal.members_index != subscriber.voters_sent:
            update.voters.extend(list_voters(journal.members))
            update.voters_index = journal.members_index
            subscriber.voters_sent = journal.members_index
        update.crashes.extend(
            encode_crashes(
                self.crashes.list_since(subscriber.crashes_sent),
                self._timers.now(),
            )
        )
        subscriber.crashes_sent = self.crashes.number
        if subscriber.fleet_usage_due:
            subscriber.fleet_usage_due = False
            update.has_sums = True
            encoder = self._fleet_usage_encoder
            changes = encoder.collect_changes(subscriber.usage_sent)
            subscriber.usage_sent = encoder.number
            update.has_whole_usage = changes.is_whole
            update.accounts.extend(changes.accounts)
            update.usage.extend(changes.upstreams)
            update.routers = self._fleet_usage.routers
            update.throughput_factor = self._fleet_usage.throughput_factor
            update.pool_speeds.extend(
                encode_pool_speeds(self._fleet_usage.pool_speeds)
            )
            update.read_parts.extend(
                encode_cached_parts(subscriber.cached_parts)
            )
            subscriber.cached_parts = []
        return update

    def _find_unconfirmed_orders(self) -> dict[str, fleet_pb2.LogEntry]:
        """Return the orders that await a leader since the start.

        They are searched for once for all subscribers.
        """
        journal = self._replica.journal
        position = (
            self._replica.state.last_index,
            journal.last_index,
            journal.last_term,
        )
        if position != self._orders_position:
            self._orders_position = position
            self._orders = self._replica.find_unconfirmed_orders()
        return self._orders

    def introduce(
        self, request: fleet_pb2.Introduction
    ) -> fleet_pb2.ControllerList:
        """Record a controller that introduces itself; return all known."""
        self._founder.known_controllers.add_introduced(request.controller)
        if self._replica.leadership is not None:
            self._replica.leadership.record_process(request.identity)
        return self._founder.describe()


def _build_gone_upstream(id: str, started_ms: int) -> Upstream:
    """Return an ended upstream of which only id and start are known."""
    return Upstream(id, "", "", "", UpstreamState.GONE, 0, 0, started_ms)
