"""The daemon on the users' platform."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click
from result import Err

from ..process.daemon import EXIT_SETTINGS, start
from ..process.interface import Interface
from ..process.settings import load_settings
from ..request.headers import HeaderCodec
from .calls import build_app
from .configuration import decode_configuration
from .headers import HEADER_NAMES

SETTINGS_VARIABLE = "HORNBEAMYARD_CONFIG"
READY_PATH = "/readiness"

INTERFACE = Interface(
    HeaderCodec(HEADER_NAMES), decode_configuration, build_app, READY_PATH
)


def main() -> None:
    """Run the roles that the settings file enables."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        click.echo(str(loaded.err_value), err=True)
        sys.exit(EXIT_SETTINGS)
    start(loaded.ok_value, path, INTERFACE)
