"""Run one daemon on the platform: `python3 -m cassialever`."""

import asyncio
import sys
from typing import Final

from cassialever.exceptions import SettingsError
from cassialever.gateway.application import Gateway
from cassialever.gateway.settings import GatewaySettings, load_settings
from cassialever.telemetry.structured_log import JsonLinesHandler

#: Exit status after an internal failure, so that a supervisor restarts it.
EXIT_FAILURE: Final = 3


def main() -> int:
    """Run the daemon until it stops; return the exit status."""
    try:
        settings = load_settings()
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return 2
    with JsonLinesHandler(settings.instance.instance_id).applicationbound():
        succeeded = asyncio.run(_serve(settings))
    return 0 if succeeded else EXIT_FAILURE


async def _serve(settings: GatewaySettings) -> bool:
    return await Gateway(settings).run()


if __name__ == '__main__':
    sys.exit(main())
