"""Run the stand-in platform and targets of one catalogue.

The daemon runs in another shell, against the ports printed here.
"""

import asyncio
import sys
from pathlib import Path

import cyclopts

from cassialever.catalogue import Catalogue
from cassialever.catalogue_check import load_catalogue
from cassialever.instances import Instance
from cassialever.settings import Settings, load_settings
from standins.platform import PlatformPorts, StandInPlatform

app = cyclopts.App(name='standins', help='Run the platform and the targets.')


@app.default
def run(*, catalogue: Path, settings: list[Path]) -> None:
    """Run the stand-ins until interrupted.

    Parameters
    ----------
    catalogue
        The catalogue whose targets are run, and which is written to the
        table.
    settings
        The settings of each daemon that the instance list shall name.
    """
    loaded = load_catalogue(catalogue.read_text())
    if not isinstance(loaded, Catalogue):
        sys.exit('\n'.join(f'{catalogue}: {fault}' for fault in loaded))
    asyncio.run(serve(loaded, [_read_settings(path) for path in settings]))


async def serve(catalogue: Catalogue, daemons: list[Settings]) -> None:
    """Run the platform that the first daemon's settings name."""
    platform = StandInPlatform(catalogue)
    services = daemons[0].platform
    ports = PlatformPorts(
        table=_port(services.table_url),
        instances=_port(services.instances_url),
    )
    await platform.start(ports)
    for daemon in daemons:
        listed = _listed(daemon)
        platform.instances.instance_by_id[listed.instance_id] = listed
    sys.stdout.write(f'{len(platform.target_by_id)} targets are running\n')
    sys.stdout.flush()
    await asyncio.Event().wait()


def _read_settings(path: Path) -> Settings:
    loaded = load_settings(path.read_text())
    if isinstance(loaded, Settings):
        return loaded
    sys.exit('\n'.join(f'{path}: {fault}' for fault in loaded))


def _port(url: str) -> int:
    return int(url.rpartition(':')[-1])


def _listed(daemon: Settings) -> Instance:
    return Instance(
        instance_id=daemon.instance.instance_id,
        data_centre=daemon.instance.data_centre,
        address=daemon.instance.address,
        peer_port=daemon.instance.peer_port,
    )


if __name__ == '__main__':
    app()
