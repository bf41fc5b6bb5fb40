"""The daemon's entry point: `cassialeverd --settings FILE`."""

import signal

from cassialever.process_signals import ProcessSignals


def main() -> None:
    """Run the command line of the process."""
    signals = ProcessSignals((signal.SIGTERM, signal.SIGINT))
    signals.install()
    # There are no settings that it could read again.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # The imports take most of the start; signals are noted meanwhile.
    from cassialever.daemon_process import run_command_line  # noqa: WPS433

    try:
        run_command_line(signals)
    finally:
        signals.ignore()
