"""Run one daemon with the project's own interface in this process."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import cyclopts

from cassialever.application import Application
from cassialever.process_signals import ProcessSignals
from cassialever.settings import Settings, load_settings
from cassialever.signal_watcher import SignalWatcher
from cassialever.telemetry.logs import Log

EXIT_SETTINGS = 2
EXIT_FAILURE = 3


def run_command_line(signals: ProcessSignals) -> None:
    """Run the command line of the process."""
    app = cyclopts.App(
        name='cassialeverd',
        help='Run one cassialever daemon until it is asked to stop.',
    )

    @app.default
    def run(*, settings: Path) -> None:  # noqa: WPS430
        """Run the daemon.

        Parameters
        ----------
        settings
            The settings file, JSON with comments.
        """
        loaded = load_settings(settings.read_text())
        if not isinstance(loaded, Settings):
            for fault in loaded:
                sys.stderr.write(f'{settings}: {fault}\n')
            sys.exit(EXIT_SETTINGS)
        asyncio.run(serve(loaded, signals))

    app()


async def serve(settings: Settings, signals: ProcessSignals) -> None:
    """Run until SIGTERM or SIGINT; a second signal exits immediately.

    Exits with `EXIT_FAILURE` after an internal failure.
    """
    # A line that does not fit is dropped; the loop never waits for a reader.
    os.set_blocking(sys.stderr.fileno(), False)
    log = Log(settings)
    log.start()
    application = Application(settings)
    watcher = SignalWatcher(
        signals,
        {
            signal.SIGTERM: application.request_stop,
            signal.SIGINT: application.request_stop,
        },
    )
    watcher.start()
    try:
        succeeded = await application.run()
    finally:
        watcher.stop()
    if not succeeded:
        sys.exit(EXIT_FAILURE)
    log.stop()
