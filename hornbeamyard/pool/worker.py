"""Announcements, health and choice of the workers of a pool."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..messages import fleet_pb2
from . import constants
from .upstream_registry import UpstreamStart

# Time for which a worker that fails gets no requests. It doubles with each
# further failure in a row, up to the maximum.
EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# Prompt prefixes remembered for each worker. More would be of little use, as
# the engine's prefix cache is limited too.
MAX_PREFIXES = 512


@dataclass(slots=True)
class Worker:
    """An upstream that announced itself for a pool.

    Attributes
    ----------
    name : str
    address : str
        `http://ip:port`.
    availability_zone : str
    pool : str
    slots : int
        Requests that it runs at the same time.
    checks_fencing : bool
        Whether it refuses commands with an old fencing token.
    repeatable : bool
        Whether its requests may be run more than once.
    lease_s : float
        Time in seconds for which an announcement is valid.
    leaving : bool
        Whether it takes no new requests because it is about to stop.
    load_running, load_waiting : int
        Running and waiting requests in the engine's last load report, which
        lags behind.
    incarnation : int
        Differs for each start of the upstream.
    announced_at : float
        Monotonic time in seconds.
    """

    name: str
    address: str
    availability_zone: str
    pool: str
    slots: int
    checks_fencing: bool = False
    repeatable: bool = False
    lease_s: float = 3.0
    leaving: bool = False
    load_running: int = 0
    load_waiting: int = 0
    incarnation: int = 0
    announced_at: float = 0.0

    @property
    def start(self) -> UpstreamStart:
        """Name and number of the start."""
        return UpstreamStart(self.name, self.incarnation)

    def to_message(self, now: float) -> fleet_pb2.Announcement:
        """Return the announcement as a message, with its age."""
        return fleet_pb2.Announcement(
            upstream=self.name,
            address=self.address,
            availability_zone=self.availability_zone,
            pool=self.pool,
            slots=self.slots,
            checks_fencing=self.checks_fencing,
            repeatable=self.repeatable,
            lease_ms=int(self.lease_s * 1000),
            leaving=self.leaving,
            load_running=self.load_running,
            load_waiting=self.load_waiting,
            incarnation=self.incarnation,
            age_ms=max(0, int((now - self.announced_at) * 1000)),
        )

    @classmethod
    def from_message(
        cls, message: fleet_pb2.Announcement, now: float
    ) -> Worker:
        """Return the worker that a message announces."""
        return cls(
            name=message.upstream,
            address=message.address,
            availability_zone=message.availability_zone,
            pool=message.pool,
            slots=message.slots,
            checks_fencing=message.checks_fencing,
            repeatable=message.repeatable,
            lease_s=message.lease_ms / 1000,
            leaving=message.leaving,
            load_running=message.load_running,
            load_waiting=message.load_waiting,
            incarnation=message.incarnation,
            announced_at=now - message.age_ms / 1000,
        )

    def is_same_service(self, other: Worker) -> bool:
        """Return whether `other` differs only in load and time."""
        return (
            self.address == other.address
            and self.availability_zone == other.availability_zone
            and self.pool == other.pool
            and self.slots == other.slots
            and self.leaving == other.leaving
            and self.repeatable == other.repeatable
            and self.checks_fencing == other.checks_fencing
            and self.incarnation == other.incarnation
        )

    def has_expired(self, now: float) -> bool:
        """Return whether the lease of the last announcement has ended."""
        return now > self.announced_at + self.lease_s


class WorkerRegistry:
    """Workers known to a process, by name.

    It serves fleets whose lead controller grants slots; `UpstreamRegistry`
    serves those with a route directory.

    Parameters
    ----------
    on_start : callable, optional
        Called with each worker that starts, and with its last announcement
        before that, if there was one.
    """

    __slots__ = ("_on_start", "_ready_at", "_workers")

    def __init__(
        self, on_start: Callable[[Worker, Worker | None], None] | None = None
    ) -> None:
        self._on_start = on_start
        self._workers: dict[str, Worker] = {}
        self._ready_at: dict[str, float] = {}

    def announce(self, worker: Worker) -> bool:
        """Apply an announcement; return whether more than load changed.

        An announcement that is older than the known one is ignored. A
        worker that is leaving stays so until it starts again.
        """
        known = self._workers.get(worker.name)
        if known is None:
            self._add(worker, None)
            return True
        if worker.incarnation < known.incarnation:
            return False
        if worker.incarnation > known.incarnation:
            self._add(worker, known)
            return not worker.is_same_service(known)
        if worker.announced_at < known.announced_at:
            return False
        worker.leaving = worker.leaving or known.leaving
        self._workers[worker.name] = worker
        return not worker.is_same_service(known)

    def _add(self, worker: Worker, known: Worker | None) -> None:
        self._workers[worker.name] = worker
        if self._on_start is not None:
            self._on_start(worker, known)

    def renew(self, name: str, now: float) -> None:
        """Record that a worker has repeated its announcement."""
        worker = self._workers.get(name)
        if worker is not None:
            worker.announced_at = max(worker.announced_at, now)

    def record_probe(self, name: str, is_ready: bool, now: float) -> None:
        """Record a worker's response to a probe.

        Parameters
        ----------
        name : str
        is_ready : bool
            Whether it takes new requests.
        now : float
            Time at which the probe was sent, in monotonic seconds.
        """
        if is_ready:
            self._ready_at[name] = now
        else:
            self._ready_at.pop(name, None)

    def is_ready(self, name: str, now: float) -> bool:
        """Return whether a recent probe found that it takes requests."""
        ready_at = self._ready_at.get(name)
        if ready_at is None or name not in self._workers:
            return False
        return now - ready_at < constants.PROBE_VALIDITY_S

    def expire(self, now: float) -> list[Worker]:
        """Remove and return the workers whose lease has ended.

        Those that a recent probe found ready are kept.
        """
        expired = [
            worker
            for worker in self._workers.values()
            if worker.has_expired(now) and not self.is_ready(worker.name, now)
        ]
        for worker in expired:
            self.remove(worker.name)
        return expired

    def remove(self, name: str) -> None:
        """Remove a worker and the result of its last probe."""
        self._workers.pop(name, None)
        self._ready_at.pop(name, None)

    def get(self, name: str) -> Worker | None:
        """Return a worker, or None when it is unknown."""
        return self._workers.get(name)

    def list_workers(self, pool: str | None = None) -> list[Worker]:
        """Return the workers of one pool, or all, ordered by name."""
        return sorted(
            (
                worker
                for worker in self._workers.values()
                if pool is None or worker.pool == pool
            ),
            key=lambda worker: worker.name,
        )


@dataclass(slots=True)
class _Health:
    failures: int = 0
    ejected_until: float = 0.0
    prefixes: OrderedDict[int, None] = field(default_factory=OrderedDict)


class WorkerChoice:
    """Chooses a worker among those of which a router holds an idle slot.

    Parameters
    ----------
    availability_zone : str
        The router's own availability zone.
    """

    __slots__ = ("_availability_zone", "_health")

    def __init__(self, availability_zone: str) -> None:
        self._availability_zone = availability_zone
        self._health: dict[str, _Health] = {}

    def choose(
        self,
        candidates: Iterable[tuple[Worker, float]],
        avoid: set[str],
        prefix: int,
        now: float,
    ) -> str | None:
        """Return the name of the best candidate, or None.

        Parameters
        ----------
        candidates : iterable of (Worker, float)
            Workers with an idle slot, and their fraction of used slots.
        avoid : set of str
            Workers not to use for this request.
        prefix : int
            Hash of the prompt prefix, or 0.
        now : float
            Monotonic time in seconds.
        """
        best: tuple[int, bool, bool, float, str] | None = None
        for worker, used in candidates:
            health = self._health.get(worker.name)
            if worker.name in avoid:
                continue
            if health is not None and health.ejected_until > now:
                continue
            key = (
                health.failures if health is not None else 0,
                worker.availability_zone != self._availability_zone,
                health is None or prefix == 0 or prefix not in health.prefixes,
                used,
                worker.name,
            )
            if best is None or key < best:
                best = key
        if best is None:
            return None
        if best[0] > 0:
            # The request tests a worker that failed before. No other follows
            # until it has ended or `EJECTION_S` has passed.
            health = self._health[best[-1]]
            health.ejected_until = now + EJECTION_S
        return best[-1]

    def is_ejected(self, name: str, now: float) -> bool:
        """Return whether a worker gets no requests at the moment."""
        health = self._health.get(name)
        return health is not None and health.ejected_until > now

    def record_success(self, name: str, prefix: int) -> None:
        """Record that a worker served a request."""
        health = self._health.setdefault(name, _Health())
        health.failures = 0
        health.ejected_until = 0.0
        if prefix == 0:
            return
        health.prefixes[prefix] = None
        health.prefixes.move_to_end(prefix)
        if len(health.prefixes) > MAX_PREFIXES:
            health.prefixes.popitem(last=False)

    def record_failure(self, name: str, now: float) -> None:
        """Record that a worker failed, and eject it for some time."""
        health = self._health.setdefault(name, _Health())
        health.failures += 1
        ejection_s = EJECTION_S * 2 ** (health.failures - 1)
        health.ejected_until = now + min(ejection_s, MAX_EJECTION_S)

    def forget(self, name: str) -> None:
        """Forget the health of a worker that is gone."""
        self._health.pop(name, None)
