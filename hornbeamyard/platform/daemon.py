"""The daemon on the users' platform."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from result import Err

from ..process.interface import Application, ControllerApi, Interface
from ..process.runner import EXIT_SETTINGS, start
from ..process.settings import load_settings
from ..request.headers import HeaderCodec
from .configuration import decode_configuration
from .headers import HEADER_NAMES

SETTINGS_VARIABLE = "HORNBEAMYARD_CONFIG"
READY_PATH = "/readiness"


def _build_app(controller: ControllerApi) -> Application:
    # Only controllers need this module.
    from .calls import build_app

    return build_app(controller)


INTERFACE = Interface(
    HeaderCodec(HEADER_NAMES), decode_configuration, _build_app, READY_PATH
)


def main() -> None:
    """Run the roles that the settings file enables."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    start(loaded.ok_value, path, INTERFACE)
