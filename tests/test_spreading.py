"""Tests of cassialever.spreading, over fake links and a real store."""

import asyncio
import random
from typing import Any

import msgspec

from cassialever.catalogue import Catalogue
from cassialever.catalogue_store import CatalogueStore, new_origin
from cassialever.clock import SystemClock
from cassialever.edits import set_target_state
from cassialever.errors import ErrorKind, Failure
from cassialever.relay import Members
from cassialever.spread_messages import CatalogueWhole
from cassialever.spreading import Spreading
from cassialever.types import (
    CatalogueVersion,
    DataCentreId,
    Incarnation,
    InstanceId,
    ServiceState,
    TargetId,
)
from tests.test_catalogue_store import ScriptedTable, StoreCase
from tests.test_telemetry import example_settings

HERE = DataCentreId('karaganda-1')


class Switchboard:
    """Links of several daemons in one process."""

    def __init__(self) -> None:
        self.links_by_id: dict[InstanceId, FakeLinks] = {}

    def links(self, instance_id: InstanceId) -> 'FakeLinks':
        self.links_by_id[instance_id] = FakeLinks(self, instance_id)
        return self.links_by_id[instance_id]


class FakeLinks:
    """One daemon's links."""

    def __init__(self, board: Switchboard, instance_id: InstanceId) -> None:
        self.handler_by_type: dict[type[Any], Any] = {}
        self._board = board
        self._instance_id = instance_id

    def on_control(self, message_type: type[Any], on_message: Any) -> None:
        self.handler_by_type[message_type] = on_message

    async def send_control(
        self, instance: InstanceId, message: msgspec.Struct
    ) -> Failure | None:
        await asyncio.sleep(0)
        receiver = self._board.links_by_id[instance]
        on_message = receiver.handler_by_type[type(message)]
        on_message(self._instance_id, Incarnation(1), message)
        return None


class TestSpreading(StoreCase):
    """The shell round the core."""

    async def daemon(
        self, name: str, board: Switchboard, adopted: list[Catalogue]
    ) -> Spreading:
        settings = example_settings()
        instance_id = InstanceId(name)
        instance = msgspec.structs.replace(
            settings.instance, instance_id=instance_id
        )
        spreading = Spreading(
            msgspec.structs.replace(settings, instance=instance),
            CatalogueStore(self.table),
            board.links(instance_id),
            SystemClock(),
            random.Random(1),
            adopted.append,
        )
        spreading.members_changed(
            Members({HERE: [InstanceId('a'), InstanceId('b')]})
        )
        self.addAsyncCleanup(spreading.stop)
        await spreading.start()
        return spreading

    async def test_start_and_follow(self) -> None:
        """A daemon starts with the table's version and follows its peer."""
        board = Switchboard()
        adopted: list[Catalogue] = []
        first = await self.daemon('a', board, [])
        second = await self.daemon('b', board, adopted)
        self.assertTrue(second.is_current())
        edit = set_target_state(TargetId('i-1'), ServiceState.out)
        await self.store.edit(edit, new_origin('ann', 'x', 0))
        # The first daemon reads the table; the second one is told.
        await first.read_changes(CatalogueVersion(2))
        await asyncio.sleep(0.01)
        self.assertEqual([one.version for one in adopted], [1, 2])
        self.assertEqual(second.version, 2)

    async def test_rubbish_changes_nothing(self) -> None:
        """A message that is no catalogue is logged and dropped."""
        board = Switchboard()
        daemon = await self.daemon('a', board, [])
        links = board.links_by_id[InstanceId('a')]
        whole = CatalogueWhole(CatalogueVersion(9), b'{')
        on_message = links.handler_by_type[CatalogueWhole]
        on_message(InstanceId('b'), Incarnation(1), whole)
        self.assertEqual(daemon.version, 1)

    async def test_start_without_the_table(self) -> None:
        """A daemon whose table is down starts with no catalogue."""
        self.table = ScriptedTable()

        async def down(names: Any) -> Failure:
            return Failure(ErrorKind.table_unavailable, 'down')

        self.table.read = down  # type: ignore[method-assign]
        daemon = await self.daemon('a', Switchboard(), [])
        self.assertEqual(daemon.version, 0)
        self.assertFalse(daemon.is_current())
