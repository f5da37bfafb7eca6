"""Messages of the route directory."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Any

from ..messages import fleet_pb2
from ..pool.census import Upstream, UpstreamState
from ..pool.usage import AccountUse, ReadPart, UpstreamUse

STATES = {
    fleet_pb2.UpstreamRecord.READY: UpstreamState.READY,
    fleet_pb2.UpstreamRecord.DRAINING: UpstreamState.DRAINING,
    fleet_pb2.UpstreamRecord.GONE: UpstreamState.GONE,
}
_NUMBERS = {state: number for number, state in STATES.items()}


def pack_document(document: bytes) -> bytes:
    """Compress a routing document for the log."""
    return zlib.compress(document)


def unpack_document(packed: bytes) -> bytes:
    """Return the document that `pack_document` has compressed."""
    return zlib.decompress(packed)


def encode_upstream(upstream: Upstream, now: float) -> Any:
    """Return an upstream's record, with the age of what is known."""
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


def decode_upstream(record: Any, now: float) -> Upstream:
    """Return the upstream of a record."""
    return Upstream(
        record.id,
        record.pool,
        record.address,
        record.availability_zone,
        STATES[record.state],
        record.slots,
        record.sequence,
        record.started_ms,
        tuple(record.models),
        now - record.age_ms / 1000,
    )


def encode_sums(
    accounts: dict[str, AccountUse], upstreams: dict[str, UpstreamUse]
) -> tuple[list[Any], list[Any]]:
    """Return the messages of accounts and upstreams."""
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


def decode_sums(
    accounts: Iterable[Any], upstreams: Iterable[Any]
) -> tuple[dict[str, AccountUse], dict[str, UpstreamUse]]:
    """Return accounts and upstreams of messages."""
    return (
        {a.client_account: AccountUse(a.asked, a.admitted) for a in accounts},
        {
            u.id: UpstreamUse(u.running, u.unread_tokens, u.held_tokens)
            for u in upstreams
        },
    )


def encode_parts(parts: Iterable[ReadPart]) -> list[Any]:
    """Return the messages of parts that were read."""
    return [
        fleet_pb2.ReadPart(part=read.part, upstream=read.upstream)
        for read in parts
    ]


def decode_parts(parts: Iterable[Any]) -> list[ReadPart]:
    """Return the parts of messages."""
    return [ReadPart(read.part, read.upstream) for read in parts]
