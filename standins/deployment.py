"""A complete deployment in one process: store, targets and daemons."""

import asyncio
from collections.abc import Collection

from cassialever.application import Application
from cassialever.catalogue.entries import Catalogue
from cassialever.settings import (
    InstanceSettings,
    PlatformSettings,
    SecuritySettings,
    Settings,
    StopSettings,
)
from cassialever.types import DataCentreId, InstanceId, RoutingClass
from standins.listening import LOOPBACK, free_ports
from standins.platform import StandInPlatform

SETTLE_ATTEMPTS = 400
#: Interval between checks whether the daemons have settled, in seconds.
SETTLE_POLL_INTERVAL = 0.05


class Deployment:
    """A catalogue's store and targets, with daemons in each data centre."""

    def __init__(
        self,
        catalogue: Catalogue,
        daemons_per_data_centre: int,
        platform: StandInPlatform | None = None,
    ) -> None:
        """Prepare the deployment; `start` runs it."""
        self.platform = platform or StandInPlatform(catalogue)
        self.daemon_by_id: dict[InstanceId, Application] = {}
        self._daemons_per_data_centre = daemons_per_data_centre

    @property
    def daemons(self) -> Collection[Application]:
        """Return all daemons that are running."""
        return self.daemon_by_id.values()

    async def start(self) -> None:
        """Start the store and the targets, then every daemon."""
        await self.platform.start()
        for data_centre in self.platform.catalogue.data_centres:
            for number in range(self._daemons_per_data_centre):
                await self._start_daemon(data_centre.data_centre_id, number + 1)

    async def stop(self) -> None:
        """Stop every daemon, then the targets and the store."""
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons))
        await self.platform.stop()

    async def abort_daemon(self, instance_id: InstanceId) -> None:
        """End a daemon abruptly, without notice or handover of its keys."""
        await self.daemon_by_id.pop(instance_id).abort()

    async def wait_until_settled(self) -> None:
        """Wait until every daemon knows all targets, key owners and peers."""
        for _ in range(SETTLE_ATTEMPTS):
            if all(self._is_settled(daemon) for daemon in self.daemons):
                return
            await asyncio.sleep(SETTLE_POLL_INTERVAL)
        raise TimeoutError('daemons did not learn all targets and key owners')

    async def _start_daemon(
        self,
        data_centre: DataCentreId,
        number: int,
    ) -> None:
        instance_id = InstanceId(f'{data_centre}-{number}')
        daemon = Application(self._settings(instance_id, data_centre))
        await daemon.start()
        self.daemon_by_id[instance_id] = daemon

    def _settings(
        self,
        instance_id: InstanceId,
        data_centre: DataCentreId,
    ) -> Settings:
        return Settings(
            instance=InstanceSettings(
                instance_id=instance_id,
                data_centre=data_centre,
                address=LOOPBACK,
                caller_port=0,
                peer_port=free_ports(1)[0],
                operator_port=0,
            ),
            platform=PlatformSettings(
                table_url=f'http://{self.platform.store.address}',
            ),
            security=SecuritySettings(
                fleet_key='a key for the demo only',
                operator_credential='a credential for the demo only',
            ),
            stop=StopSettings(unready_for=0, longest=5),
            random_seed=len(self.daemon_by_id),
        )

    def _is_settled(self, daemon: Application) -> bool:
        view = daemon.core.view
        if view.targets.by_id.keys() != self.platform.target_by_id.keys():
            return False
        if daemon.core.forwarder.daemon_count != len(self.daemons):
            return False
        return all(
            service.name in view.keys_by_service
            and not view.moving_by_service.get(service.name)
            for service in self.platform.catalogue.services
            if service.routing is RoutingClass.keyed
        )
