"""Entry point of a process of the fleet on the users' platform."""

import gc
import signal


def main() -> None:
    """Ignore SIGHUP, then import and run the daemon."""
    # The default action would end the process during the imports. A change of
    # the settings that comes with the signal is found in the file.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # What is imported stays, so looking for garbage in it is of no use. The
    # runner enables the collector again.
    gc.disable()
    from ..process.bytecode import use_bytecode
    from ..process.deferred_modules import defer_modules

    use_bytecode()
    defer_modules()
    from .daemon import main as run

    run()


if __name__ == "__main__":
    main()
