"""The daemon `hornbeamyardd`."""

from __future__ import annotations

import sys
from pathlib import Path

import click
from result import Err

from ..request.headers import NATIVE_HEADER_NAMES, HeaderCodec
from .controller_app import build_controller_app
from .interface import Interface
from .runner import EXIT_SETTINGS, start
from .settings import load_settings

NATIVE_INTERFACE = Interface(
    HeaderCodec(NATIVE_HEADER_NAMES), build_controller_app=build_controller_app
)


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
@click.version_option(package_name="hornbeamyard")
def main(settings: Path) -> None:
    """Run the roles that the file SETTINGS enables."""
    loaded = load_settings(settings)
    if isinstance(loaded, Err):
        click.echo(str(loaded.err_value), err=True)
        sys.exit(EXIT_SETTINGS)
    start(loaded.ok_value, settings, NATIVE_INTERFACE)


if __name__ == "__main__":
    main()
