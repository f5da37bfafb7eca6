"""Encoding of the route directory's messages, and decoding."""

from __future__ import annotations

import itertools
import zlib
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any, TypeVar

import logbook

from ..messages import fleet_pb2
from ..pool.crashes import Crash
from ..pool.evacuations import EvacuationReport
from ..pool.rate_limits import RateObservation
from ..pool.speeds import PoolSpeed, TimeSums
from ..pool.upstream_registry import (
    Upstream,
    UpstreamRegistry,
    UpstreamStart,
    UpstreamState,
)
from ..pool.usage import AccountUsage, CachedPart, UpstreamLoad

T = TypeVar("T")
M = TypeVar("M")

# Usages whose changes are kept for streams that weren't sent all of them. The
# stream of a router that is slower than that is closed as silent.
MAX_KEPT_CHANGES = 16

# Largest sum of tokens that a message holds.
MAX_TOKEN_SUM = 2**32 - 1

UPSTREAM_STATES = {
    fleet_pb2.UpstreamRecord.READY: UpstreamState.READY,
    fleet_pb2.UpstreamRecord.DRAINING: UpstreamState.DRAINING,
    fleet_pb2.UpstreamRecord.GONE: UpstreamState.GONE,
}
_STATE_NUMBERS = {state: number for number, state in UPSTREAM_STATES.items()}

_log = logbook.Logger("directory")


def pack_document(document: bytes) -> bytes:
    """Compress a routing document for the log."""
    return zlib.compress(document)


def unpack_document(packed: bytes) -> bytes:
    """Return the routing document that `pack_document` compressed."""
    return zlib.decompress(packed)


def encode_upstream(upstream: Upstream, now: float) -> Any:
    """Return the message for an upstream, with the age of its announcement."""
    return fleet_pb2.UpstreamRecord(
        id=upstream.id,
        pool=upstream.pool,
        address=upstream.address,
        availability_zone=upstream.availability_zone,
        state=_STATE_NUMBERS[upstream.state],
        slots=upstream.slots,
        sequence=upstream.sequence,
        started_ms=upstream.started_ms,
        models=upstream.models,
        software_version=upstream.software_version,
        age_ms=max(0, int((now - upstream.last_seen_at) * 1000)),
        cold_remaining_ms=upstream.cold_remaining_ms,
    )


def encode_each(
    items: Iterable[T], encode: Callable[[T], M]
) -> Iterator[tuple[T, M]]:
    """Yield items with their messages, without those that have none.

    One that can't be encoded must not keep the others from being sent.

    Parameters
    ----------
    items : iterable
    encode : callable
        Returns the message for an item; raises `ValueError` or `TypeError`
        for values that a message can't hold.
    """
    for item in items:
        try:
            message = encode(item)
        except (ValueError, TypeError) as error:
            _log.error("{!r} can't be encoded: {}", item, error)
            continue
        yield item, message


def decode_upstream(record: Any, now: float) -> Upstream:
    """Return the upstream that a message describes."""
    return Upstream(
        record.id,
        record.pool,
        record.address,
        record.availability_zone,
        UPSTREAM_STATES[record.state],
        record.slots,
        record.sequence,
        record.started_ms,
        tuple(record.models),
        record.software_version,
        now - record.age_ms / 1000,
        cold_remaining_ms=(
            record.cold_remaining_ms
            if record.HasField("cold_remaining_ms")
            else None
        ),
    )


def decode_evacuations(controller: str, update: Any) -> EvacuationReport:
    """Return what a controller's update says about evacuated zones."""
    return EvacuationReport(
        controller,
        frozenset(update.evacuated_zones),
        update.evacuations_index,
        frozenset(update.unconfirmed_zones),
        update.unconfirmed_index,
    )


class UsageEncoder:
    """Encodes the usage that changed since the last message of a stream.

    Messages follow each other within a quarter of a second, in which most
    accounts and upstreams don't change.
    """

    __slots__ = ("_accounts", "_upstreams")

    def __init__(self) -> None:
        self._accounts: dict[str, AccountUsage] = {}
        self._upstreams: dict[str, UpstreamLoad] = {}

    def encode(
        self,
        accounts: Mapping[str, AccountUsage],
        upstreams: Mapping[str, UpstreamLoad],
    ) -> tuple[list[Any], list[Any]]:
        """Return the messages for changed accounts and upstreams.

        Those that are gone are sent once with all counters zero.
        """
        changed_accounts = [
            _encode_account(name, usage)
            for name, usage in _find_changes(
                self._accounts, accounts, AccountUsage()
            )
        ]
        changed_upstreams = [
            _encode_load(id, usage)
            for id, usage in _find_changes(
                self._upstreams, upstreams, UpstreamLoad()
            )
        ]
        # Copies, because the caller continues to count in its own objects.
        self._accounts = {n: replace(usage) for n, usage in accounts.items()}
        self._upstreams = {n: replace(usage) for n, usage in upstreams.items()}
        return changed_accounts, changed_upstreams

    def encode_all(self) -> tuple[list[Any], list[Any]]:
        """Return the messages for all accounts and upstreams last encoded."""
        return (
            [_encode_account(n, usage) for n, usage in self._accounts.items()],
            [_encode_load(id, load) for id, load in self._upstreams.items()],
        )


@dataclass(slots=True)
class UsageChanges:
    """Messages that bring a stream to the newest fleet usage.

    Attributes
    ----------
    accounts, upstreams : list
        A later message for the same account or upstream replaces an earlier
        one.
    is_whole : bool
        Whether they contain all, so that others are gone.
    """

    accounts: list[Any]
    upstreams: list[Any]
    is_whole: bool = False


class FleetUsageEncoder:
    """Encodes the fleet usage once for the streams to all routers.

    Each stream is sent what changed since its own last message. Nearly all
    streams are at the same one, so the messages are shared.

    Attributes
    ----------
    number : int
        Number of the newest usage, from 1; 0 before the first one.
    """

    __slots__ = ("_changes", "_encoder", "number")

    def __init__(self) -> None:
        # Messages for changed accounts and upstreams, by number of the usage.
        self._changes: dict[int, tuple[list[Any], list[Any]]] = {}
        self._encoder = UsageEncoder()
        self.number = 0

    def update(
        self,
        accounts: Mapping[str, AccountUsage],
        upstreams: Mapping[str, UpstreamLoad],
    ) -> None:
        """Encode a newer usage."""
        self.number += 1
        self._changes[self.number] = self._encoder.encode(accounts, upstreams)
        self._changes.pop(self.number - MAX_KEPT_CHANGES, None)

    def collect_changes(self, since: int) -> UsageChanges:
        """Return the messages for what changed after a usage.

        Parameters
        ----------
        since : int
            Number of the last usage that the stream was sent; 0 for none.
        """
        numbers = range(since + 1, self.number + 1)
        if since == 0 or any(n not in self._changes for n in numbers):
            return UsageChanges(*self._encoder.encode_all(), is_whole=True)
        changes = UsageChanges([], [])
        for number in numbers:
            accounts, upstreams = self._changes[number]
            changes.accounts += accounts
            changes.upstreams += upstreams
        return changes


class UsageDecoder:
    """Restores the usage from the changes sent in a stream."""

    __slots__ = ("_accounts", "_upstreams")

    def __init__(self) -> None:
        self._accounts: dict[str, AccountUsage] = {}
        self._upstreams: dict[str, UpstreamLoad] = {}

    def decode(
        self,
        accounts: Iterable[Any],
        upstreams: Iterable[Any],
        is_whole: bool = False,
    ) -> tuple[dict[str, AccountUsage], dict[str, UpstreamLoad]]:
        """Apply messages of changes; return all accounts and upstreams.

        Parameters
        ----------
        accounts, upstreams : iterable
            Messages.
        is_whole : bool, optional
            Whether they contain all, so that others are gone.
        """
        if is_whole:
            self._accounts.clear()
            self._upstreams.clear()
        for counters in accounts:
            account = AccountUsage(
                counters.asked, counters.admitted, counters.unserved
            )
            _set_or_remove(
                self._accounts,
                counters.client_account,
                account,
                AccountUsage(),
            )
        for load in upstreams:
            usage = UpstreamLoad(
                load.running,
                load.unread_tokens,
                load.held_tokens,
                load.time_percent,
            )
            _set_or_remove(self._upstreams, load.id, usage, UpstreamLoad())
        return (
            {n: replace(usage) for n, usage in self._accounts.items()},
            {n: replace(usage) for n, usage in self._upstreams.items()},
        )


def _encode_account(name: str, usage: AccountUsage) -> Any:
    return fleet_pb2.AccountUsage(
        client_account=name,
        asked=usage.asked,
        admitted=usage.admitted,
        unserved=usage.unserved,
    )


def _encode_load(id: str, load: UpstreamLoad) -> Any:
    return fleet_pb2.UpstreamUsage(
        id=id,
        running=load.running,
        unread_tokens=min(load.prefill_tokens, MAX_TOKEN_SUM),
        held_tokens=min(load.kv_tokens, MAX_TOKEN_SUM),
        time_percent=load.time_percent,
    )


def _find_changes(
    previous: Mapping[str, T], current: Mapping[str, T], zero: T
) -> Iterator[tuple[str, T]]:
    for name, usage in current.items():
        if previous.get(name, zero) != usage:
            yield name, usage
    for name in previous:
        if name not in current:
            yield name, zero


def _set_or_remove(table: dict[str, T], name: str, usage: T, zero: T) -> None:
    if usage == zero:
        table.pop(name, None)
    else:
        table[name] = usage


def encode_versions(
    registry: UpstreamRegistry,
    now: float,
    pools: Iterable[str] | None = None,
) -> list[Any]:
    """Return the messages for the recent versions of all or some pools."""

    def encode(pool: str) -> Any:
        times = registry.list_version_times(pool)
        return fleet_pb2.PoolVersions(
            pool=pool,
            software_versions=times,
            ages_ms=[
                max(0, int((now - seen_at) * 1000))
                for seen_at in times.values()
            ],
        )

    selected = (
        pool
        for pool in registry.list_pools()
        if pools is None or pool in pools
    )
    return [message for _, message in encode_each(selected, encode)]


def record_versions(
    registry: UpstreamRegistry, pools: Iterable[Any], now: float
) -> None:
    """Record the versions of pools that messages describe."""
    for pool in pools:
        # A controller of an older release sends no ages.
        ages_ms = itertools.chain(pool.ages_ms, itertools.repeat(0))
        for version, age_ms in zip(
            pool.software_versions, ages_ms, strict=False
        ):
            seen_at = now - age_ms / 1000
            registry.record_version(pool.pool, version, seen_at)


def encode_cached_parts(parts: Iterable[CachedPart]) -> list[Any]:
    """Return the messages for prompt parts in upstreams' KV caches."""
    return [
        fleet_pb2.ReadPart(part=cached.part, upstream=cached.upstream)
        for cached in parts
    ]


def decode_cached_parts(parts: Iterable[Any]) -> list[CachedPart]:
    """Return the prompt parts that messages describe."""
    return [CachedPart(cached.part, cached.upstream) for cached in parts]


def encode_pool_speeds(
    speeds: Mapping[str, PoolSpeed],
    engine_times: Mapping[str, Mapping[str, TimeSums]] | None = None,
) -> list[Any]:
    """Return the messages for the speeds of pools, and of their engines."""
    return [
        fleet_pb2.PoolSpeed(
            pool=pool,
            overhead_ms=speed.overhead_ms,
            prefill_ms_per_token=speed.prefill_ms_per_token,
            responses=min(speed.responses, MAX_TOKEN_SUM),
            engines=[
                fleet_pb2.EngineTimes(
                    id=id,
                    measured_ms=sums.measured_ms,
                    expected_ms=sums.expected_ms,
                )
                for id, sums in (engine_times or {}).get(pool, {}).items()
            ],
        )
        for pool, speed in speeds.items()
    ]


def decode_pool_speeds(messages: Iterable[Any]) -> dict[str, PoolSpeed]:
    """Return the speeds of pools that messages describe."""
    return {
        message.pool: PoolSpeed(
            message.overhead_ms,
            message.prefill_ms_per_token,
            message.responses,
        )
        for message in messages
    }


def decode_engine_times(
    messages: Iterable[Any],
) -> dict[str, dict[str, TimeSums]]:
    """Return the engines' times in messages, by pool and id."""
    return {
        message.pool: {
            times.id: TimeSums(times.measured_ms, times.expected_ms)
            for times in message.engines
        }
        for message in messages
    }


def encode_crashes(crashes: Iterable[Crash], now: float) -> list[Any]:
    """Return the messages for crashes, with their ages."""
    return [
        fleet_pb2.UpstreamCrash(
            id=crash.upstream.id,
            started_ms=crash.upstream.started_ms,
            age_ms=max(0, int((now - crash.crashed_at) * 1000)),
            reporter=crash.reporter,
            suspects=[
                fleet_pb2.SuspectedPart(
                    part=part,
                    position=position,
                    cleared=part in crash.cleared,
                )
                for part, position in crash.suspects.items()
            ],
        )
        for crash in crashes
    ]


def decode_crashes(crashes: Iterable[Any], now: float) -> list[Crash]:
    """Return the crashes that messages describe."""
    return [
        Crash(
            UpstreamStart(crash.id, crash.started_ms),
            now - crash.age_ms / 1000,
            crash.reporter,
            {suspect.part: suspect.position for suspect in crash.suspects},
            {suspect.part for suspect in crash.suspects if suspect.cleared},
        )
        for crash in crashes
    ]


def encode_limits(
    observations: Iterable[RateObservation], now: float
) -> list[Any]:
    """Return the messages for limits of upstreams, with their ages."""
    return [
        fleet_pb2.UpstreamLimit(
            id=observation.upstream.id,
            started_ms=observation.upstream.started_ms,
            age_ms=max(0, int((now - observation.observed_at) * 1000)),
            max_rate=observation.max_rate,
        )
        for observation in observations
    ]


def decode_limits(limits: Iterable[Any], now: float) -> list[RateObservation]:
    """Return the limits of upstreams that messages describe."""
    return [
        RateObservation(
            UpstreamStart(limit.id, limit.started_ms),
            limit.max_rate if limit.HasField("max_rate") else None,
            now - limit.age_ms / 1000,
        )
        for limit in limits
    ]
