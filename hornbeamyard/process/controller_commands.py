"""The commands `hornbeamyard controllers ...`."""

from __future__ import annotations

import dataclasses
import sys
import time
from pathlib import Path
from typing import Any, NoReturn

import click
from result import Err

from ..messages import fleet_pb2
from ..version import bootstrap
from .invocation import (
    EXIT_REFUSED,
    call_or_exit,
    connect,
    fleet_options,
    load_or_exit,
    read_status,
)
from .tables import print_result
from .validation import check_address, check_name

# Suffix of the reason of a temporary refusal.
BUSY_SUFFIX = "try again later"
RETRY_DELAY_S = 0.25


@click.group()
def controllers() -> None:
    """Change which hosts run a controller."""


@controllers.command("init")
@click.argument("file", metavar="SETTINGS", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def initialize_controller(file: Path, as_json: bool) -> None:
    """Prepare the data folder of a new fleet's controller.

    Run it once on each controller host, with the host's file SETTINGS and
    before any daemon starts. It is refused if this or another controller
    already has a log.
    """
    done = bootstrap.initialize(load_or_exit(file))
    if isinstance(done, Err):
        _exit_refused(done.err_value, as_json)
    members = done.unwrap().members
    print_result(
        {"accepted": True, "members": members},
        as_json,
        f"the data folder is ready; members: {', '.join(members)}",
    )


@controllers.command("recover")
@click.argument("file", metavar="SETTINGS", type=click.Path(path_type=Path))
@click.option(
    "--accept-data-loss",
    is_flag=True,
    help="Make the change; without this option, only show it.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def recover_controller(
    file: Path, accept_data_loss: bool, as_json: bool
) -> None:
    """Make a surviving controller the only member after losing a majority.

    Run it on the surviving host, with its file SETTINGS and its daemon
    stopped. The lost hosts must never start with their old data folders.
    """
    loaded = load_or_exit(file)
    recovered = bootstrap.recover(loaded, accept_data_loss)
    if isinstance(recovered, Err):
        _exit_refused(recovered.err_value, as_json)
    recovery = recovered.unwrap()
    lost = ", ".join(recovery.lost_members) or "none"
    lines = [
        f"host {loaded.host!r} holds the log up to index "
        f"{recovery.last_index}, with configuration version "
        f"{recovery.version}",
        "lost: all later entries, which only other members hold",
        f"other members: {lost}",
    ]
    if recovery.is_done:
        lines.append("this host is now the only member; start its daemon")
    else:
        lines.append("nothing was changed; repeat with --accept-data-loss")
    print_result(dataclasses.asdict(recovery), as_json, "\n".join(lines))
    if not recovery.is_done:
        sys.exit(EXIT_REFUSED)


@controllers.command("add")
@click.argument("host")
@click.argument("address")
@fleet_options
def add_controller(
    host: str, address: str, file: Path, as_json: bool, timeout: float
) -> None:
    """Add the controller of HOST at ADDRESS (IP address and port)."""
    _check_arguments(host, address)
    change = fleet_pb2.MemberChange(
        kind=fleet_pb2.MemberChange.ADD, host=host, address=address
    )
    _submit(change, f"{host} is a member", file, as_json, timeout)


@controllers.command("remove")
@click.argument("host")
@fleet_options
def remove_controller(
    host: str, file: Path, as_json: bool, timeout: float
) -> None:
    """Remove the controller of HOST."""
    _check_arguments(host)
    change = fleet_pb2.MemberChange(
        kind=fleet_pb2.MemberChange.REMOVE, host=host
    )
    _submit(change, f"{host} is not a member", file, as_json, timeout)


@controllers.command("replace")
@click.argument("host")
@click.argument("replacement")
@click.argument("address")
@fleet_options
def replace_controller(
    host: str,
    replacement: str,
    address: str,
    file: Path,
    as_json: bool,
    timeout: float,
) -> None:
    """Replace the controller of HOST by REPLACEMENT at ADDRESS.

    HOST is removed once REPLACEMENT is a voter. A host that only lost its
    disk needs no command: start its daemon with an empty data folder.
    """
    _check_arguments(host)
    _check_arguments(replacement, address)
    change = fleet_pb2.MemberChange(
        kind=fleet_pb2.MemberChange.REPLACE,
        host=host,
        replacement=replacement,
        address=address,
    )
    text = f"{replacement} has replaced {host}"
    _submit(change, text, file, as_json, timeout)


def _exit_refused(reason: str, as_json: bool) -> NoReturn:
    text = f"refused: {reason}"
    print_result({"accepted": False, "reason": reason}, as_json, text)
    sys.exit(EXIT_REFUSED)


def _check_arguments(host: str, address: str | None = None) -> None:
    findings = []
    accepted = check_name(host)
    if accepted is not None:
        findings.append(f"host {host!r} is not accepted; give {accepted}")
    accepted = check_address(address) if address is not None else None
    if accepted is not None:
        findings.append(
            f"address {address!r} is not accepted; give {accepted}"
        )
    if findings:
        raise click.UsageError("\n".join(findings))


def _submit(
    change: fleet_pb2.MemberChange,
    text: str,
    file: Path,
    as_json: bool,
    timeout: float,
) -> None:
    loaded = load_or_exit(file)
    calls = connect(loaded)
    deadline = time.monotonic() + timeout
    while True:
        reply = call_or_exit(calls, "ChangeMembers", change, timeout)
        # Only one member change runs at a time; replacing a lost disk is one.
        if (
            not reply.reason.endswith(BUSY_SUFFIX)
            or time.monotonic() > deadline
        ):
            break
        time.sleep(RETRY_DELAY_S)
    accepted = reply.accepted
    # A retry may be refused because the first call was accepted.
    if not accepted and calls.was_repeated:
        members = read_status(file, timeout)["controllers"]
        accepted = is_applied(change, members)
    document = {
        "accepted": accepted,
        "reason": "" if accepted else reply.reason,
    }
    if not accepted:
        text = f"refused: {reply.reason}"
    print_result(document, as_json, text)
    if not accepted:
        sys.exit(EXIT_REFUSED)


def is_applied(
    change: fleet_pb2.MemberChange, members: list[dict[str, Any]]
) -> bool:
    """Return whether the member list already reflects a change."""
    addresses = {member["host"]: member["address"] for member in members}
    if change.kind == fleet_pb2.MemberChange.REMOVE:
        return change.host not in addresses
    if change.kind == fleet_pb2.MemberChange.ADD:
        return bool(addresses.get(change.host) == change.address)
    return any(
        member["host"] == change.replacement
        and member["address"] == change.address
        and (member["replaces"] == change.host or change.host not in addresses)
        for member in members
    )
