"""Entry point of the program `hornbeamyardd`."""

import signal


def main() -> None:
    """Ignore SIGHUP, then import and run the daemon."""
    # The default action would end the process during the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .daemon import main as run

    run()
