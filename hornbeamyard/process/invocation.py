"""Options, calls and exit codes that the commands share."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import anyio
import click
from result import Err

from ..connection import peers
from ..connection.calls import LeaderCalls
from ..messages import fleet_pb2, fleet_pb2_grpc
from .settings import Settings, load_settings

EXIT_REFUSED = 1
EXIT_SETTINGS = 2
EXIT_UNKNOWN = 3

_Command = TypeVar("_Command", bound=Callable[..., None])


def fleet_options(command: _Command) -> _Command:
    """Add the options of a command that connects to the fleet."""
    for option in (
        click.option(
            "--timeout",
            type=click.FloatRange(0.1, 3600),
            default=10.0,
            show_default=True,
            help="Seconds to wait for a lead controller.",
        ),
        click.option("--json", "as_json", is_flag=True, help="Print JSON."),
        click.option(
            "--settings",
            "file",
            type=click.Path(path_type=Path),
            required=True,
            help="Settings file of any host of the fleet.",
        ),
    ):
        command = option(command)
    return command


def load_or_exit(file: Path) -> Settings:
    """Return the settings in a file, or print all findings and exit."""
    loaded = load_settings(file)
    if isinstance(loaded, Err):
        click.echo(str(loaded.err_value), err=True)
        sys.exit(EXIT_SETTINGS)
    return loaded.ok_value


def connect(settings: Settings) -> LeaderCalls:
    """Return a client of the fleet's lead controller."""
    return LeaderCalls(
        settings.controllers, settings.tls, peers.build_identity(settings, 0)
    )


def connect_to_directory(settings: Settings) -> LeaderCalls:
    """Return a client of the leader of a fleet with a route directory."""
    assert settings.directory is not None
    addresses = settings.directory.list_peer_addresses()
    return LeaderCalls(
        {address: address for address in addresses},
        settings.tls,
        peers.build_identity(settings, 0),
        fleet_pb2_grpc.DirectoryStub,
    )


def call_or_exit(
    calls: LeaderCalls, method: str, request: Any, timeout_s: float
) -> Any:
    """Call the lead controller; print the reason and exit on failure."""
    result = anyio.run(calls.call, method, request, timeout_s)
    if isinstance(result, Err):
        failure = result.err_value
        click.echo(f"no lead controller answered: {failure}", err=True)
        sys.exit(EXIT_REFUSED if failure.refused else EXIT_UNKNOWN)
    return result.ok_value


def read_status(file: Path, timeout_s: float) -> dict[str, Any]:
    """Return the status document from the lead controller.

    That of a fleet with a route directory has other keys.
    """
    settings = load_or_exit(file)
    has_directory = settings.directory is not None
    calls = (connect_to_directory if has_directory else connect)(settings)
    request = fleet_pb2.StatusRequest()
    reply = call_or_exit(calls, "ReadStatus", request, timeout_s)
    document: dict[str, Any] = json.loads(reply.document)
    return document
