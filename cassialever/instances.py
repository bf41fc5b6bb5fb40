"""The client of the platform's list of live and leaving instances."""

import asyncio
import enum
from collections.abc import Mapping

import aiohttp
import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.platform_session import PlatformSession
from cassialever.settings import PlatformSettings
from cassialever.types import DataCentreId, InstanceId

INSTANCES_PATH = '/v1/instances'


class InstanceState(enum.Enum):
    """What the platform says of an instance; it lags behind reality."""

    live = 'live'
    leaving = 'leaving'


class Instance(msgspec.Struct, frozen=True):
    """One entry instance, as the platform lists it."""

    instance_id: InstanceId
    data_centre: DataCentreId
    address: str
    peer_port: int
    state: InstanceState = InstanceState.live
    rack: str = ''


class InstanceList(PlatformSession):
    """Ask the platform for its list over HTTP."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Take the settings; `start` opens the session."""
        super().__init__(settings.instances_url, settings.timeout_seconds)

    async def fetch(self) -> Mapping[InstanceId, Instance] | Failure:
        """Return the platform's list."""
        if self.session is None:
            return Failure(ErrorKind.internal, 'the list is not started')
        try:
            async with self.session.get(INSTANCES_PATH) as response:
                response.raise_for_status()
                content = await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            return Failure(ErrorKind.internal, repr(error))
        instances = msgspec.json.decode(content, type=list[Instance])
        return {instance.instance_id: instance for instance in instances}
