"""The daemon's command line: `cassialeverd --settings FILE`."""

import asyncio
import signal
import sys
from pathlib import Path

import cyclopts

from cassialever.application import Application
from cassialever.settings import Settings, load_settings
from cassialever.telemetry.logs import Log

EXIT_SETTINGS = 2
EXIT_FAILURE = 3

app = cyclopts.App(
    name='cassialeverd',
    help='Run one cassialever daemon until it is asked to stop.',
)


@app.default
def run(*, settings: Path) -> None:
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
    asyncio.run(serve(loaded))


async def serve(settings: Settings) -> None:
    """Run until SIGTERM or SIGINT; a second signal exits immediately.

    Exits with `EXIT_FAILURE` after an internal failure.
    """
    log = Log(settings)
    log.start()
    application = Application(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, application.request_stop)
    await application.start()
    if not await application.run_until_stopped():
        sys.exit(EXIT_FAILURE)
    log.stop()


def main() -> None:
    """Run the command line of the process."""
    app()
