"""Run one daemon on the platform: `python3 -m cassialever`."""

import signal
import sys

from cassialever.process_signals import ProcessSignals


def main() -> int:
    """Run the daemon until it stops; return the exit status."""
    signals = ProcessSignals((signal.SIGTERM, signal.SIGHUP))
    signals.install()
    # The imports take most of the start; signals are noted meanwhile.
    from cassialever.gateway.process import run  # noqa: WPS433

    try:
        return run(signals)
    finally:
        signals.ignore()


if __name__ == '__main__':
    sys.exit(main())
