"""Metric samples of a router's pools and of its controller stream."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from ..connection.session import Session
from ..pool.admission import Admission
from .metrics import Sample


def sample_pools(
    admissions: Mapping[str, Admission], now: float
) -> Iterator[Sample]:
    """Yield the samples of a router's pools.

    Parameters
    ----------
    admissions : mapping of str to Admission
        By pool name.
    now : float
        Monotonic time in seconds.
    """
    excess_service: dict[str, float] = {}
    for pool, admission in admissions.items():
        dispatch = admission.dispatch
        labels = (("pool", pool),)
        waiting, running = 0, 0
        for name, counts in dispatch.count_requests().items():
            # Accounts without requests would use up the limited label values.
            if not any(counts):
                continue
            account = (("client_account", name),)
            yield Sample("waiting", counts[0], account)
            yield Sample("running", counts[1], account)
            waiting += counts[0]
            running += counts[1]
        for name, excess_s in dispatch.list_excess_service(now).items():
            excess_service[name] = max(
                excess_s, excess_service.get(name, excess_s)
            )
        held_slots = dispatch.held_slots
        yield Sample("pool_waiting", waiting, labels)
        yield Sample("pool_running", running, labels)
        yield Sample("pool_slots_held", held_slots.count_held(), labels)
        yield Sample("fallback", held_slots.is_fallback(), labels)
    # The metric keeps its name "lag" for the excess service.
    for name, excess_s in excess_service.items():
        yield Sample("lag_seconds", excess_s, (("client_account", name),))


def sample_session(session: Session, now: float) -> Iterator[Sample]:
    """Yield the samples of a router's stream to the lead controller."""
    yield Sample("version_in_force", session.configuration.version)
    yield Sample("attached", session.is_attached)
    yield Sample("lease_seconds", max(0.0, session.lease_ends - now))
    for direction, count in (
        ("sent", session.bytes_sent),
        ("received", session.bytes_received),
    ):
        yield Sample(
            "control_bytes",
            count,
            (("direction", direction),),
            is_counter=True,
        )
