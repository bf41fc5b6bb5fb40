"""Run one daemon on the platform in this process."""

import asyncio
import sys
from typing import Final

from cassialever.exceptions import SettingsError
from cassialever.gateway.application import Gateway
from cassialever.gateway.settings import GatewaySettings, load_settings
from cassialever.process_signals import ProcessSignals
from cassialever.telemetry.structured_log import JsonLinesHandler

#: Exit status with settings that can't be used.
EXIT_SETTINGS: Final = 2
#: Exit status after an internal failure, so that a supervisor restarts it.
EXIT_FAILURE: Final = 3


def run(signals: ProcessSignals) -> int:
    """Run the daemon until it stops; return the exit status."""
    try:
        settings = load_settings()
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_SETTINGS
    with JsonLinesHandler(settings.instance.instance_id).applicationbound():
        succeeded = asyncio.run(_serve(settings, signals))
    return 0 if succeeded else EXIT_FAILURE


async def _serve(settings: GatewaySettings, signals: ProcessSignals) -> bool:
    return await Gateway(settings).run(signals)
