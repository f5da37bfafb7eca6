"""A simulated controller on virtual time that runs the real `Controller`."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.pool import constants
from hornbeamyard.process.controller import AttachedRouter, Controller
from hornbeamyard.version.configuration import parse_document
from hornbeamyard.version.replica import Replica

from .events import ClockTimers

if TYPE_CHECKING:
    from .simulation import Fleet, SimRouter

# A controller closes a stream on which it received nothing for this time.
SILENCE_TIMEOUT_S = 3.0


class FakeState:
    """Replicated state with one configuration version that never changes."""

    def __init__(self, document: dict[str, Any]) -> None:
        self.document = document
        self.configuration = parse_document(document, 1).unwrap()
        self.version = 1
        self.patches: dict[int, bytes] = {}
        self.is_first_leader = True

    def has_first_leader(self) -> bool:
        """Return whether no other controller led before this one."""
        return self.is_first_leader


class FakeReplica:
    """A replica whose leadership is set from outside through `leads`."""

    def __init__(self, document: dict[str, Any], term: int) -> None:
        self.term = term
        self.leads = True
        self.state = FakeState(document)
        self.state.is_first_leader = term == 1

    def is_leader(self) -> bool:
        """Return whether this replica leads."""
        return self.leads


class Stream:
    """A stream between a router and a controller.

    Attributes
    ----------
    attached : AttachedRouter or None
        The controller's state of the router, once it has attached.
    router_received_at, controller_received_at : float
        Time at which each end received its newest message, in seconds.
    ended : bool
        Whether the controller has handled the end of the stream.
    broken : bool
        Whether a partition dropped a message. Later messages are dropped
        too, as TCP delivers nothing after a gap.
    sent_at : float
        Time of the controller's newest update, in seconds.
    """

    def __init__(
        self, router: SimRouter, controller: SimController, now: float
    ) -> None:
        self.router = router
        self.controller = controller
        self.attached: AttachedRouter | None = None
        self.router_received_at = now
        self.controller_received_at = now
        self.ended = False
        self.broken = False
        self.sequence = 0
        self.sent_at = 0.0

    def send_report(self, data: bytes) -> None:
        """Send a report to the controller."""
        self._send(True, self.controller.handle_report, data)

    def send_update(self, data: bytes) -> None:
        """Send an update to the router."""
        self._send(False, self.router.apply_update, data)

    def close_from_router(self) -> None:
        """Reset the connection from the router's end."""
        self._send(True, self.controller.end_stream)

    def close_from_controller(self) -> None:
        """Reset the connection from the controller's end."""
        self._send(False, self.router.drop_stream)

    def _send(
        self, to_controller: bool, callback: Callable[..., object], *args: Any
    ) -> None:
        ends = [self.router.name, self.controller.host]
        source, target = ends if to_controller else reversed(ends)
        network = self.controller.fleet.network
        self.broken = self.broken or not network.is_connected(source, target)
        if not self.broken:
            network.send(source, target, callback, self, *args)


class SimController:
    """A controller whose process can be killed or frozen."""

    def __init__(self, fleet: Fleet, host: str, term: int) -> None:
        self.fleet = fleet
        self.host = host
        self.alive = True
        self.frozen = False
        self.replica = FakeReplica(fleet.document, term)
        self.controller = Controller(
            cast(Replica, self.replica), ClockTimers(fleet.clock)
        )
        self._streams: list[Stream] = []
        self._plan_scheduled = False
        self._last_plan_at = -1.0
        self._pending_reports: list[tuple[Stream, bytes]] = []
        fleet.clock.every(constants.REPORT_INTERVAL_S, self._renew_leases)

    def accepts_routers(self) -> bool:
        """Return whether a router may attach here."""
        return self.alive and not self.frozen and self.replica.leads

    def kill(self) -> None:
        """Kill the process and reset its connections."""
        self.alive = False
        for stream in self._streams:
            stream.close_from_controller()
        self._streams = []

    def resume(self) -> None:
        """Resume a frozen process; handle reports that arrived meanwhile."""
        self.frozen = False
        pending, self._pending_reports = self._pending_reports, []
        for stream, data in pending:
            self.handle_report(stream, data)
        if not self.replica.leads:
            self.kill()
            self.alive = True

    def handle_report(self, stream: Stream, data: bytes) -> None:
        """Handle a report; keep it for later while the process is frozen."""
        if not self.alive or stream.ended:
            return
        if self.frozen:
            self._pending_reports.append((stream, data))
            return
        if not self.replica.leads:
            stream.close_from_controller()
            return
        stream.controller_received_at = self.fleet.clock.now
        self.fleet.costs.add_message(self.host, len(data))
        with self.fleet.costs.measure(self.host):
            report = fleet_pb2.RouterReport.FromString(data)
            if stream.attached is None:
                stream.attached = self.controller.attach(report)
                self._streams.append(stream)
                stream.attached.wake.set()
            else:
                self.controller.handle_report(stream.attached, report)
        self._schedule_plan()

    def end_stream(self, stream: Stream) -> None:
        """Handle the end of a router's stream."""
        if stream in self._streams and not self.frozen and self.alive:
            self._streams.remove(stream)
            assert stream.attached is not None
            self.controller.detach(stream.attached, left=False)
        stream.ended = True

    def _schedule_plan(self) -> None:
        """Schedule a plan if one is due, else send the updates that are."""
        if self._plan_scheduled:
            return
        if self.controller.needs_plan():
            self._plan_scheduled = True
            due = self._last_plan_at + constants.PLAN_SPACING_S
            self.fleet.clock.at(due, self._plan)
        else:
            self._send_due_updates()

    def _plan(self) -> None:
        self._plan_scheduled = False
        if not self.alive or self.frozen:
            return
        self._last_plan_at = self.fleet.clock.now
        started = time.thread_time()
        with self.fleet.costs.measure(self.host):
            self.controller.plan_due_pools()
        self.fleet.costs.plan_times_s.append(time.thread_time() - started)
        self._send_due_updates()

    def _send_due_updates(self) -> None:
        for stream in self._streams:
            if stream.attached is not None and stream.attached.wake.is_set():
                self._send_update(stream)

    def _send_update(self, stream: Stream) -> None:
        assert stream.attached is not None
        stream.sequence += 1
        stream.sent_at = self.fleet.clock.now
        with self.fleet.costs.measure(self.host):
            update = self.controller.build_update(
                stream.attached, stream.sequence
            )
            data = update.SerializeToString()
        stream.attached.wake = type(stream.attached.wake)()
        self.fleet.costs.add_message(self.host, len(data))
        stream.send_update(data)

    def _renew_leases(self) -> None:
        """Close silent streams, plan, and renew the leases of routers."""
        if not self.alive or self.frozen or not self.replica.leads:
            return
        now = self.fleet.clock.now
        for stream in list(self._streams):
            if now - stream.controller_received_at > SILENCE_TIMEOUT_S:
                self.end_stream(stream)
        self._plan()
        for stream in self._streams:
            # A stream that was updated less than half an interval ago waits.
            if now - stream.sent_at >= constants.REPORT_INTERVAL_S / 2:
                self._send_update(stream)
