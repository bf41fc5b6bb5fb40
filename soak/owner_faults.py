"""Owners of keys that end, and what has their addresses then."""

import asyncio
import itertools
import random
from collections.abc import Callable

from soak.fleet import SoakFleet
from soak.proxy import ProxyMode
from soak.service_judging import KeyServiceJudge
from standins.keyed_target import TargetServer

KEYED_SERVICE = 'registry'
OTHER_SERVICE = 'issuance'
#: Range of the time from the end of a target until another process listens at
#: its address, in seconds, and part of those that are replaced at once.
REUSE_TIMES = (0.0, 2.0)
AT_ONCE_PART = 0.5
#: Range of the time from then until the entry of the ended target is removed,
#: or that of its next life is written, in seconds.
ENTRY_TIMES = (0.5, 4.0)
#: Range of the time until the entry of a target with a new id is written.
NEW_ENTRY_TIMES = (0.0, 2.0)
#: Range of the time between the ends of owners in series, in seconds.
SERIES_INTERVALS = (0.1, 1.5)


class OwnerFaults:
    """Ends of owners, drawn at random."""

    def __init__(
        self,
        fleet: SoakFleet,
        source: random.Random,
        log_event: Callable[[str], None],
        judge: KeyServiceJudge,
    ) -> None:
        """Prepare the faults, which report lost keys to the judge."""
        self._fleet = fleet
        self._random = source
        self._log_event = log_event
        self._judge = judge
        self._numbers = itertools.count()
        #: IDs of the owners that a fault concerns.
        self._chosen: set[str] = set()

    async def replace_by_owners(self) -> None:
        """Give addresses of owners to new targets of their service."""
        await asyncio.gather(
            *(
                self._replace(owner, delay, is_keyed=True)
                for owner, delay in self._choose()
            )
        )

    async def replace_by_others(self) -> None:
        """Give addresses of owners to targets of a service without keys."""
        await asyncio.gather(
            *(
                self._replace(owner, delay, is_keyed=False)
                for owner, delay in self._choose()
            )
        )

    async def restart_owners(self) -> None:
        """Have owners lose their keys and keep their ids."""
        await asyncio.gather(
            *(self._restart(owner, delay) for owner, delay in self._choose())
        )

    def _choose(self) -> list[tuple[TargetServer, float]]:
        """Return one owner, several or all, with the times of their ends."""
        owners = [
            one
            for one in self._fleet.targets
            if one.is_keyed and one.target_id not in self._chosen
        ]
        if not owners:
            return []
        count = self._random.choice(
            (1, self._random.randint(1, len(owners)), len(owners))
        )
        chosen = self._random.sample(owners, count)
        self._chosen.update(one.target_id for one in chosen)
        interval = 0.0
        if self._random.random() < 0.5:
            interval = self._random.uniform(*SERIES_INTERVALS)
        return [(one, number * interval) for number, one in enumerate(chosen)]

    async def _replace(
        self, owner: TargetServer, delay: float, *, is_keyed: bool
    ) -> None:
        """End an owner and start another target at its address."""
        await self._end(owner, delay)
        self._fleet.retire(owner)
        service = KEYED_SERVICE if is_keyed else OTHER_SERVICE
        successor = self._new_target(service, owner.data_centre)
        await self._fleet.start_target(successor, owner)
        self._log_event(
            f'{successor.target_id} of {service} has the address of'
            f' {owner.target_id}'
        )
        entry = asyncio.ensure_future(self._remove_entry_later(owner))
        if is_keyed:
            await asyncio.sleep(self._random.uniform(*NEW_ENTRY_TIMES))
        else:
            another = self._new_target(KEYED_SERVICE, owner.data_centre)
            await self._fleet.start_target(another)
            self._fleet.publish_target(another)
        self._fleet.publish_target(successor)
        await entry

    async def _restart(self, owner: TargetServer, delay: float) -> None:
        await self._end(owner, delay)
        await owner.start_anew(owner.port)
        self._fleet.down_ids.discard(owner.target_id)
        self._log_event(f'{owner.target_id} is back without its keys')
        await asyncio.sleep(self._random.uniform(*ENTRY_TIMES))
        self._fleet.publish_target(owner)
        self._chosen.discard(owner.target_id)
        self._log_event(f'{owner.target_id} has written its entry')

    async def _end(self, owner: TargetServer, delay: float) -> None:
        """End an owner, and wait until its address is used again."""
        await asyncio.sleep(delay)
        now = asyncio.get_running_loop().time()
        lost = list(owner.keys.grants)
        self._fleet.down_ids.add(owner.target_id)
        # What others have lost may just have been assigned to it.
        self._judge.excuse('another owner has ended', now)
        await owner.end()
        for grant in lost:
            if grant.until > now:
                self._judge.lose(grant.first, grant.last, owner.target_id, now)
        self._log_event(f'{owner.target_id} ends')
        if self._random.random() >= AT_ONCE_PART:
            set_mode = self._fleet.set_target_mode
            await set_mode(owner.target_id, ProxyMode.refused)
            await asyncio.sleep(self._random.uniform(*REUSE_TIMES))
            await set_mode(owner.target_id, ProxyMode.forwarding)

    async def _remove_entry_later(self, owner: TargetServer) -> None:
        await asyncio.sleep(self._random.uniform(*ENTRY_TIMES))
        self._fleet.remove_entry(owner)
        self._log_event(f'the entry of {owner.target_id} is removed')

    def _new_target(self, service: str, data_centre: str) -> TargetServer:
        number = next(self._numbers)
        return TargetServer(
            f'{service[0]}-next-{number}',
            service,
            is_keyed=service == KEYED_SERVICE,
            data_centre=data_centre,
        )
