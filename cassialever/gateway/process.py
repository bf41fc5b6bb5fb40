"""Run one daemon on the platform in this process."""

import asyncio
import os
import signal
import sys
import time
from typing import Final

from cassialever.exceptions import SettingsError
from cassialever.gateway.application import Gateway
from cassialever.gateway.settings import GatewaySettings, load_settings
from cassialever.process_signals import ProcessSignals
from cassialever.telemetry.stdlib_log import LibraryLogHandler
from cassialever.telemetry.structured_log import JsonLinesHandler
from cassialever.types import Seconds

#: How long settings that can't be used are read again at the start.
SETTINGS_TIMEOUT: Final[Seconds] = 2.0
SETTINGS_RETRY_INTERVAL: Final[Seconds] = 0.05
#: Exit status with settings that can't be used.
EXIT_SETTINGS: Final = 2
#: Exit status after an internal failure, so that a supervisor restarts it.
EXIT_FAILURE: Final = 3


def run(signals: ProcessSignals) -> int:
    """Run the daemon until it stops; return the exit status."""
    try:
        settings = _await_settings(signals)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_SETTINGS
    if settings is None:
        return 0
    # Libraries write their failures to it, whether anyone reads them or not.
    os.set_blocking(sys.stderr.fileno(), False)
    LibraryLogHandler().install()
    with JsonLinesHandler(settings.instance.instance_id).applicationbound():
        succeeded = asyncio.run(_serve(settings, signals))
    return 0 if succeeded else EXIT_FAILURE


def _await_settings(signals: ProcessSignals) -> GatewaySettings | None:
    """Load the settings, which may still be being written.

    Returns None if the process is asked to stop before they can be used, and
    raises SettingsError if that takes too long.
    """
    gives_up_at = time.monotonic() + SETTINGS_TIMEOUT
    while True:
        try:
            return load_settings()
        except SettingsError:
            if time.monotonic() >= gives_up_at:
                raise
        # No loop runs yet that could be blocked.
        time.sleep(SETTINGS_RETRY_INTERVAL)
        if signals.has_noted(signal.SIGTERM):
            return None


async def _serve(settings: GatewaySettings, signals: ProcessSignals) -> bool:
    return await Gateway(settings).run(signals)
