"""The command-line tool `hornbeamyard`."""

from __future__ import annotations

import json
import sys
import uuid
from pathlib import Path

import anyio
import click
from result import Err

from ..connection import peers
from ..messages import fleet_pb2, fleet_pb2_grpc
from .settings import Settings, load_settings


@click.group()
@click.version_option(package_name="hornbeamyard")
def main() -> None:
    """Operate a hornbeamyard fleet."""


@main.group()
def settings() -> None:
    """Work on settings files."""


@settings.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def check_settings(file: Path) -> None:
    """Check the settings file FILE without starting anything."""
    loaded = _load(file)
    click.echo(f"{file}: the settings of host {loaded.host!r} are valid")


@main.group()
def config() -> None:
    """Read and change the configuration."""


@config.command("patch")
@click.option("--settings", "file", type=Path, required=True)
@click.option("--base", type=int, required=True)
@click.option("--operator", default="operator")
@click.argument("patch", type=click.Path(path_type=Path))
def patch_configuration(
    file: Path, base: int, operator: str, patch: Path
) -> None:
    """Submit the JSON Patch in the file PATCH against version BASE."""
    loaded = _load(file)
    request = fleet_pb2.PatchRequest(
        identity=peers.describe_self(loaded, 0),
        patch_id=str(uuid.uuid4()),
        base_version=base,
        patch=patch.read_bytes(),
        operator=operator,
    )
    result = anyio.run(_submit_patch, loaded, request)
    click.echo(
        json.dumps(
            {
                "outcome": fleet_pb2.PatchOutcome.Name(result.outcome),
                "version": result.version,
                "findings": list(result.findings),
            }
        )
    )
    if result.outcome != fleet_pb2.ACCEPTED:
        sys.exit(1)


async def _submit_patch(
    loaded: Settings, request: fleet_pb2.PatchRequest
) -> fleet_pb2.PatchResult:
    for address in loaded.controllers.values():
        async with peers.open_channel(address, loaded.tls) as channel:
            stub = fleet_pb2_grpc.FleetStub(channel)
            result = await stub.SubmitPatch(request, timeout=5)
            if result.outcome != fleet_pb2.NOT_LEADER:
                return result
    return fleet_pb2.PatchResult(outcome=fleet_pb2.UNKNOWN)


def _load(file: Path) -> Settings:
    loaded = load_settings(file)
    if isinstance(loaded, Err):
        click.echo(str(loaded.err_value), err=True)
        sys.exit(2)
    return loaded.ok_value


if __name__ == "__main__":
    main()
