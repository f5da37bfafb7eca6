"""The commands `hornbeamyard controllers ...`."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ..messages import fleet_pb2
from .invocation import (
    EXIT_REFUSED,
    call_or_exit,
    fleet_options,
    load_or_exit,
)
from .tables import show
from .validation import check_address, check_name


@click.group()
def controllers() -> None:
    """Change which hosts run a controller."""


@controllers.command("add")
@click.argument("host")
@click.argument("address")
@fleet_options
def add_controller(
    host: str, address: str, file: Path, as_json: bool, timeout: float
) -> None:
    """Add the controller of HOST at ADDRESS (IP address and port)."""
    _check(host, address)
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
    _check(host)
    change = fleet_pb2.MemberChange(
        kind=fleet_pb2.MemberChange.REMOVE, host=host
    )
    _submit(change, f"{host} is no member", file, as_json, timeout)


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
    """Let REPLACEMENT at ADDRESS take the place of HOST.

    HOST and REPLACEMENT are the same when a host lost its disk.
    """
    _check(host)
    _check(replacement, address)
    change = fleet_pb2.MemberChange(
        kind=fleet_pb2.MemberChange.REPLACE,
        host=host,
        replacement=replacement,
        address=address,
    )
    text = f"{replacement} has taken the place of {host}"
    _submit(change, text, file, as_json, timeout)


def _check(host: str, address: str | None = None) -> None:
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
    reply = call_or_exit(loaded, "ChangeMembers", change, timeout)
    document = {"accepted": reply.accepted, "reason": reply.reason}
    if not reply.accepted:
        text = f"refused: {reply.reason}"
    show(document, as_json, text)
    if not reply.accepted:
        sys.exit(EXIT_REFUSED)
