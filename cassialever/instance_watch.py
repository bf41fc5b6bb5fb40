"""Look at the platform's list of instances, again and again."""

import asyncio
from collections.abc import Mapping
from typing import Final, TypeAlias

from reactivex import Observable, operators
from reactivex.subject import Subject

from cassialever.dialling import PeerAddress
from cassialever.errors import Failure
from cassialever.instances import Instance, InstanceList
from cassialever.misc import BackgroundTasks
from cassialever.relay import Members
from cassialever.types import DataCentreId, InstanceId, Seconds

#: Between two looks, in seconds; the list itself lags by more.
LOOK_INTERVAL: Final[Seconds] = 1.0

Listed: TypeAlias = Mapping[InstanceId, Instance]


class InstanceWatch:
    """The platform's list as a stream of its changes."""

    def __init__(self, instances: InstanceList) -> None:
        """Take the list; those that have to know it subscribe."""
        self._instances = instances
        self._tasks = BackgroundTasks()
        self._looks: Subject[Listed] = Subject()
        self.instance_by_id: Listed = {}
        #: Each list that differs from the one before.
        self.changes: Observable[Listed] = self._looks.pipe(
            operators.distinct_until_changed(),
        )
        self.changes.subscribe(self._keep)

    async def start(self) -> None:
        """Look once, and go on in the background."""
        await self.look()
        self._tasks.add(self._run())

    async def stop(self) -> None:
        """Stop looking."""
        self._tasks.cancel()

    async def look(self) -> None:
        """Take the list as it now stands; a lost look changes nothing."""
        listed = await self._instances.fetch()
        if not isinstance(listed, Failure):
            self._looks.on_next(listed)

    def _keep(self, listed: Listed) -> None:
        self.instance_by_id = listed

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LOOK_INTERVAL)
            await self.look()


def addresses_of(listed: Listed) -> dict[InstanceId, PeerAddress]:
    """Return where each instance takes links."""
    return {
        instance_id: PeerAddress(instance.address, instance.peer_port)
        for instance_id, instance in listed.items()
    }


def members_of(listed: Listed) -> Members:
    """Return the members of each data centre, in order."""
    ids_by_data_centre: dict[DataCentreId, list[InstanceId]] = {}
    for instance in listed.values():
        ids = ids_by_data_centre.setdefault(instance.data_centre, [])
        ids.append(instance.instance_id)
    return Members(
        {name: sorted(ids) for name, ids in ids_by_data_centre.items()}
    )
