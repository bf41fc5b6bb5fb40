"""Look at the platform's list of instances, again and again."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from cassialever.dialling import PeerAddress
from cassialever.errors import Failure
from cassialever.instances import Instance, InstanceList
from cassialever.misc import BackgroundTasks
from cassialever.peers import Peers
from cassialever.relay import Members
from cassialever.types import DataCentreId, InstanceId, Seconds

#: Between two looks, in seconds; the list itself lags by more.
LOOK_INTERVAL: Final[Seconds] = 1.0

OnInstances = Callable[[Iterable[Instance]], None]
OnMembers = Callable[[Members], None]


class InstanceWatch:
    """Keep the links' addresses and the members up to date."""

    def __init__(
        self,
        instances: InstanceList,
        peers: Peers,
        on_instances: OnInstances,
        on_members: OnMembers,
    ) -> None:
        """Take the list and those that have to know it."""
        self._instances = instances
        self._peers = peers
        self._on_instances = on_instances
        self._on_members = on_members
        self._tasks = BackgroundTasks()
        self.instance_by_id: dict[InstanceId, Instance] = {}

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
        if isinstance(listed, Failure) or listed == self.instance_by_id:
            return
        self.instance_by_id = dict(listed)
        for instance_id, instance in listed.items():
            address = PeerAddress(instance.address, instance.peer_port)
            self._peers.address_by_instance[instance_id] = address
        self._on_instances(listed.values())
        self._on_members(_members(listed.values()))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LOOK_INTERVAL)
            await self.look()


def _members(instances: Iterable[Instance]) -> Members:
    ids_by_data_centre: dict[DataCentreId, list[InstanceId]] = {}
    for instance in instances:
        ids = ids_by_data_centre.setdefault(instance.data_centre, [])
        ids.append(instance.instance_id)
    return Members(
        {name: sorted(ids) for name, ids in ids_by_data_centre.items()}
    )
