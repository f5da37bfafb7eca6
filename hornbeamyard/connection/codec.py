"""Translation between scheduling data and messages.

Only changes are sent after the first message of a stream.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..messages import fleet_pb2
from ..pool.allocation import Allocation, Demand, Limit


def encode_report(
    pool: str,
    demands: Mapping[str, Demand],
    slots: Mapping[str, tuple[int, int]],
    lags: Mapping[str, float],
    urgent: bool = False,
) -> fleet_pb2.PoolReport:
    """Return a router's report on one pool as a message."""
    return fleet_pb2.PoolReport(
        pool=pool,
        urgent=urgent,
        accounts=[
            fleet_pb2.AccountDemand(
                client_account=name,
                waiting=demand.waiting,
                waiting_priority=demand.waiting_priority,
                running=demand.running,
                service_ms=int(demand.service_s * 1000),
                finished=demand.finished,
                largest_ms=int(demand.largest_s * 1000),
                lag_ms=int(lags.get(name, 0.0) * 1000),
            )
            for name, demand in demands.items()
        ],
        returns=[
            fleet_pb2.SlotReturn(
                worker=name, returned=returned, running=running
            )
            for name, (returned, running) in slots.items()
        ],
    )


def decode_demands(message: fleet_pb2.PoolReport) -> dict[str, Demand]:
    """Return the demands that a report holds."""
    return {
        demand.client_account: Demand(
            waiting=demand.waiting,
            waiting_priority=demand.waiting_priority,
            running=demand.running,
            service_s=demand.service_ms / 1000,
            finished=demand.finished,
            largest_s=demand.largest_ms / 1000,
        )
        for demand in message.accounts
    }


def decode_lags(message: fleet_pb2.PoolReport) -> dict[str, float]:
    """Return the lags that a full report holds, in seconds."""
    return {
        demand.client_account: demand.lag_ms / 1000
        for demand in message.accounts
    }


def encode_allocation(
    pool: str, allocation: Allocation, sent: Allocation | None
) -> fleet_pb2.PoolAllocation:
    """Return what changed in an allocation since the last one sent."""
    before = sent or Allocation()
    grants = [
        fleet_pb2.SlotGrant(
            worker=name, granted=granted, closed=name in allocation.closed
        )
        for name, granted in allocation.granted.items()
        if granted != before.granted.get(name)
        or (name in allocation.closed) != (name in before.closed)
    ]
    return fleet_pb2.PoolAllocation(
        pool=pool,
        contended=allocation.contended,
        hold=allocation.hold,
        recalled=allocation.recalled,
        grants=grants,
        limits=[
            fleet_pb2.AccountLimit(
                client_account=name,
                limit=limit.limit,
                lag_ms=int(limit.lag_s * 1000),
            )
            for name, limit in allocation.limits.items()
            if before.limits.get(name) != limit
        ],
        limits_gone=[
            name for name in before.limits if name not in allocation.limits
        ],
    )


def merge_allocation(
    allocation: Allocation, message: fleet_pb2.PoolAllocation
) -> Allocation:
    """Return an allocation with the changes of a message."""
    merged = Allocation(
        granted=dict(allocation.granted),
        closed=set(allocation.closed),
        hold=message.hold,
        recalled=message.recalled,
        contended=message.contended,
        limits=dict(allocation.limits),
    )
    for grant in message.grants:
        merged.granted[grant.worker] = grant.granted
        merged.closed.discard(grant.worker)
        if grant.closed:
            merged.closed.add(grant.worker)
    for name in message.limits_gone:
        merged.limits.pop(name, None)
    for limit in message.limits:
        merged.limits[limit.client_account] = Limit(
            limit.limit, limit.lag_ms / 1000
        )
    return merged
