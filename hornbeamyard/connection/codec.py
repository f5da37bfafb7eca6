"""Encoding of scheduling data in protobuf messages, and decoding.

After the first message of a stream only changes are sent, and a name only
with its first use in the stream; later messages use its number.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..messages import fleet_pb2
from ..pool.allocation import AccountDemand, Allocation, Limit


class NameTable:
    """The numbers that replace names in one direction of a stream."""

    __slots__ = ("_names", "_numbers")

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._names: dict[int, str] = {}

    def encode(self, name: str) -> tuple[int, str]:
        """Return a name's number, with the name on first use, else ""."""
        number = self._numbers.get(name)
        if number is not None:
            return number, ""
        number = self._numbers[name] = len(self._numbers) + 1
        return number, name

    def get_number(self, name: str) -> int:
        """Return the number of a name that was sent before."""
        return self._numbers[name]

    def decode(self, number: int, name: str) -> str:
        """Return the name that a received number stands for."""
        if name:
            self._names[number] = name
            return name
        return self._names[number]


def encode_report(
    pool: str,
    demands: Mapping[str, AccountDemand],
    slots: Mapping[str, tuple[int, int]],
    excess_service: Mapping[str, float],
    names: NameTable,
    urgent: bool = False,
) -> fleet_pb2.PoolReport:
    """Return a router's report on one pool as a message.

    Parameters
    ----------
    pool : str
    demands : mapping of str to AccountDemand
        By client account.
    slots : mapping of str to (int, int)
        By worker, slots returned since the stream was opened and requests
        running; in a full report 0 and the slots held.
    excess_service : mapping of str to float
        By client account, in seconds.
    names : NameTable
        Of the stream to the controller.
    urgent : bool, optional
        Whether the pool has to be planned before its interval.
    """
    message = fleet_pb2.PoolReport(pool=pool, urgent=urgent)
    for account, demand in demands.items():
        number, name = names.encode(account)
        message.accounts.add(
            number=number,
            client_account=name,
            waiting=demand.waiting,
            waiting_priority=demand.waiting_priority,
            running=demand.running,
            service_ms=int(demand.service_s * 1000),
            finished=demand.finished,
            largest_ms=int(demand.largest_s * 1000),
            lag_ms=int(excess_service.get(account, 0.0) * 1000),
            priority_ms=int(demand.priority_s * 1000),
        )
    for worker, (returned, running) in slots.items():
        number, name = names.encode(worker)
        message.returns.add(
            number=number, worker=name, returned=returned, running=running
        )
    return message


def decode_demands(
    message: fleet_pb2.PoolReport, names: NameTable
) -> dict[str, AccountDemand]:
    """Return the demands of a report by client account."""
    return {
        names.decode(demand.number, demand.client_account): AccountDemand(
            waiting=demand.waiting,
            waiting_priority=demand.waiting_priority,
            running=demand.running,
            service_s=demand.service_ms / 1000,
            finished=demand.finished,
            largest_s=demand.largest_ms / 1000,
            priority_s=demand.priority_ms / 1000,
        )
        for demand in message.accounts
    }


def decode_excess_service(
    message: fleet_pb2.PoolReport, names: NameTable
) -> dict[str, float]:
    """Return the excess service by client account, in seconds."""
    return {
        names.decode(demand.number, demand.client_account): demand.lag_ms
        / 1000
        for demand in message.accounts
    }


def decode_slots(
    message: fleet_pb2.PoolReport, names: NameTable
) -> dict[str, tuple[int, int]]:
    """Return the slots returned and the requests running, by worker.

    In a full report these are 0 and the slots held.
    """
    return {
        names.decode(entry.number, entry.worker): (
            entry.returned,
            entry.running,
        )
        for entry in message.returns
    }


def encode_allocation(
    pool: str,
    allocation: Allocation,
    sent: Allocation | None,
    names: NameTable,
) -> fleet_pb2.PoolAllocation:
    """Return the changes of an allocation since the last one sent."""
    before = sent or Allocation()
    message = fleet_pb2.PoolAllocation(
        pool=pool,
        contended=allocation.contended,
        hold=allocation.target_slots,
        recalled=allocation.recalled,
        limits_gone=[
            names.get_number(account)
            for account in before.limits
            if account not in allocation.limits
        ],
    )
    for worker, granted in allocation.granted.items():
        closed = worker in allocation.closed
        was_closed = worker in before.closed
        if granted == before.granted.get(worker) and closed == was_closed:
            continue
        number, name = names.encode(worker)
        message.grants.add(
            number=number, worker=name, granted=granted, closed=closed
        )
    for account, limit in allocation.limits.items():
        if before.limits.get(account) == limit:
            continue
        number, name = names.encode(account)
        message.limits.add(
            number=number,
            client_account=name,
            limit=limit.limit,
            lag_ms=int(limit.excess_service_s * 1000),
            priority_spent=limit.priority_spent,
            rate=_encode_rate(limit.rate),
        )
    return message


def merge_allocation(
    allocation: Allocation, message: fleet_pb2.PoolAllocation, names: NameTable
) -> Allocation:
    """Return a copy of an allocation with a message's changes applied."""
    merged = Allocation(
        granted=dict(allocation.granted),
        closed=set(allocation.closed),
        target_slots=message.hold,
        recalled=message.recalled,
        contended=message.contended,
        limits=dict(allocation.limits),
    )
    for grant in message.grants:
        worker = names.decode(grant.number, grant.worker)
        merged.granted[worker] = grant.granted
        merged.closed.discard(worker)
        if grant.closed:
            merged.closed.add(worker)
    for number in message.limits_gone:
        merged.limits.pop(names.decode(number, ""), None)
    for limit in message.limits:
        account = names.decode(limit.number, limit.client_account)
        merged.limits[account] = Limit(
            limit.limit,
            limit.lag_ms / 1000,
            limit.priority_spent,
            (limit.rate - 1) / 1000 if limit.rate else None,
        )
    return merged


def _encode_rate(rate: float | None) -> int:
    # In thousandths plus 1, as 0 means that no rate is set.
    return 0 if rate is None else round(rate * 1000) + 1
