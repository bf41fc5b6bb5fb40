"""Run a stand-in store and the targets of one catalogue.

Daemons run separately and connect to the store's port from their settings.
"""

import asyncio
import sys
from pathlib import Path

import cyclopts

from cassialever.catalogue.check import load_catalogue
from cassialever.catalogue.entries import Catalogue
from cassialever.fleet.connecting import split_address
from cassialever.settings import Settings, load_settings, store_address
from standins.platform import StandInPlatform

app = cyclopts.App(name='standins', help='Run a stand-in store and targets.')


@app.default
def run(*, catalogue: Path, settings: Path) -> None:
    """Run the stand-in servers until interrupted.

    Parameters
    ----------
    catalogue
        Path of the catalogue that is written to the store and whose targets
        are run.
    settings
        Path of a daemon's settings, which contain the store's address.
    """
    loaded = load_catalogue(catalogue.read_text())
    if not isinstance(loaded, Catalogue):
        sys.exit('\n'.join(f'{catalogue}: {fault}' for fault in loaded))
    asyncio.run(serve(loaded, _read_settings(settings)))


async def serve(catalogue: Catalogue, settings: Settings) -> None:
    """Run the stand-ins, with the store on the port in the settings."""
    platform = StandInPlatform(catalogue)
    await platform.start(split_address(store_address(settings))[1])
    sys.stdout.write(f'{len(platform.target_by_id)} targets are running\n')
    sys.stdout.flush()
    await asyncio.Event().wait()


def _read_settings(path: Path) -> Settings:
    loaded = load_settings(path.read_text())
    if isinstance(loaded, Settings):
        return loaded
    sys.exit('\n'.join(f'{path}: {fault}' for fault in loaded))


if __name__ == '__main__':
    app()
