"""The commands `hornbeamyard zones ...`."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ..messages import fleet_pb2
from ..pool.evacuations import check_zone
from .invocation import (
    EXIT_REFUSED,
    call_or_exit,
    connect_to_directory,
    fleet_options,
    load_or_exit,
    read_status,
)
from .tables import format_table, print_result


@click.group()
def zones() -> None:
    """Evacuate availability zones in a fleet with a route directory.

    Routers send no requests to the upstreams of an evacuated zone. Responses
    in progress end there.
    """


@zones.command("evacuate")
@click.argument("zone")
@fleet_options
def evacuate_zone(
    zone: str, file: Path, as_json: bool, timeout: float
) -> None:
    """Send no more requests to the upstreams of availability zone ZONE.

    The zone need not have upstreams yet. The command may be repeated.
    """
    _order(zone, True, file, as_json, timeout)


@zones.command("restore")
@click.argument("zone")
@fleet_options
def restore_zone(zone: str, file: Path, as_json: bool, timeout: float) -> None:
    """Send requests to the upstreams of availability zone ZONE again.

    The command may be repeated.
    """
    _order(zone, False, file, as_json, timeout)


@zones.command("list")
@fleet_options
def list_zones(file: Path, as_json: bool, timeout: float) -> None:
    """List the evacuated availability zones."""
    _check_directory(file)
    status = read_status(file, timeout)
    names = status["evacuated_zones"]
    index = status["evacuations_index"]
    rows = [{"evacuated_zone": name} for name in names]
    text = (
        format_table(rows, ["evacuated_zone"])
        if rows
        else "no availability zone is evacuated"
    )
    print_result(
        {"evacuated_zones": names, "evacuations_index": index}, as_json, text
    )


def _order(
    zone: str, evacuated: bool, file: Path, as_json: bool, timeout: float
) -> None:
    findings = check_zone(zone)
    if findings:
        raise click.UsageError(f"zone {zone!r} {findings[0].message}")
    _check_directory(file)
    order = fleet_pb2.EvacuationOrder(
        availability_zone=zone, evacuated=evacuated
    )
    calls = connect_to_directory(load_or_exit(file))
    reply = call_or_exit(calls, "OrderEvacuation", order, timeout)
    state = "evacuated" if evacuated else "not evacuated"
    text = f"{zone} is {state}"
    if reply.is_full:
        text = "refused: too many availability zones are evacuated"
    print_result({"accepted": not reply.is_full}, as_json, text)
    if reply.is_full:
        sys.exit(EXIT_REFUSED)


def _check_directory(file: Path) -> None:
    if load_or_exit(file).directory is None:
        raise click.UsageError(
            f"{file}: the fleet has no route directory (section 'directory'), "
            "so its zones can't be evacuated"
        )
