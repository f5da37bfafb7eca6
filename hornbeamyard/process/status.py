"""The status document of a fleet, built by its lead controller."""

from __future__ import annotations

from typing import Any

from ..messages import fleet_pb2
from ..pool.schedule import Schedule
from ..version.membership import is_member_disk
from ..version.replica import Replica
from .controller import Controller

# Time without an acknowledgement after which a controller is shown as not
# reachable; longer than the leader's lease of 2 s.
UNREACHABLE_AFTER_S = 3.0


def build_status(controller: Controller, now: float) -> dict[str, Any]:
    """Return the status document; docs/cli.md describes its keys.

    Parameters
    ----------
    controller : Controller
        The lead controller.
    now : float
        Monotonic time in seconds.
    """
    replica = controller.replica
    schedules = sorted(controller.get_schedules().items())
    return {
        "leader": replica.get_leader(),
        "epoch": replica.term,
        "version": replica.state.version,
        "controllers": _describe_members(replica),
        "routers": [
            {"host": name, "version_in_force": router.version_in_force}
            for name, router in sorted(controller.routers.items())
        ],
        "pools": [
            _describe_pool(name, schedule, now) for name, schedule in schedules
        ],
        "accounts": [
            account
            for name, schedule in schedules
            for account in _describe_accounts(controller, name, schedule, now)
        ],
        "workers": _describe_workers(controller),
    }


def _describe_members(replica: Replica) -> list[dict[str, Any]]:
    return [
        _describe_member(replica, member)
        for member in replica.state.members.members
    ]


def _describe_member(
    replica: Replica, member: fleet_pb2.Member
) -> dict[str, Any]:
    leads = is_member_disk(
        member, replica.journal.disk_id, replica.journal.initial
    )
    leads = leads and member.host == replica.host
    reachable, entries, has_folder = leads, replica.journal.last_index, leads
    leadership = replica.leadership
    if not leads:
        peer = leadership.peers.get(member.host) if leadership else None
        reachable = peer is not None and (
            replica.timers.now() - peer.acked_at < UNREACHABLE_AFTER_S
        )
        entries = peer.match_index if peer is not None else 0
        has_folder = peer is not None and is_member_disk(
            member, peer.disk_id, peer.initial
        )
    return {
        "host": member.host,
        "address": member.address,
        "voter": member.voter,
        "counts": member.voter and reachable and has_folder,
        "replaces": member.replaces or None,
        "leads": leads,
        "reachable": reachable,
        "entries": entries,
    }


def _describe_pool(
    name: str, schedule: Schedule, now: float
) -> dict[str, Any]:
    demands = schedule.sum_demands(now).values()
    slots = schedule.count_slots()
    running = sum(demand.running for demand in demands)
    return {
        "pool": name,
        "contended": schedule.is_contended(),
        "slots": slots,
        "running": running,
        "waiting": sum(demand.waiting for demand in demands),
        "utilisation": round(running / slots, 3) if slots else None,
    }


def _describe_accounts(
    controller: Controller, pool: str, schedule: Schedule, now: float
) -> list[dict[str, Any]]:
    accounts = controller.replica.state.configuration.client_accounts
    excess_service = schedule.compute_excess_service(now)
    demands = {
        name: demand
        for name, demand in schedule.sum_demands(now).items()
        if demand.service_s > 0 or demand.waiting + demand.running > 0
    }
    return [
        {
            "account": name,
            "pool": pool,
            "share": account.share,
            "waiting": demands[name].waiting,
            "running": demands[name].running,
            "service_s": round(demands[name].service_s, 3),
            # The key keeps its name "lag" for the excess service.
            "lag_s": (
                round(excess_service[name], 3)
                if name in excess_service
                else None
            ),
        }
        for name, account in sorted(accounts.items())
        if name in demands
    ]


def _describe_workers(controller: Controller) -> list[dict[str, Any]]:
    schedules = controller.get_schedules()
    workers = []
    for worker in controller.registry.list_workers():
        schedule = schedules.get(worker.pool)
        held = schedule.count_outstanding(worker.name) if schedule else 0
        workers.append(
            {
                "worker": worker.name,
                "pool": worker.pool,
                "availability_zone": worker.availability_zone,
                "address": worker.address,
                "slots": worker.slots,
                "held": held,
                "leaving": worker.leaving,
            }
        )
    return workers
