"""Tests of cassialever.daemon_view, .telemetry and .table_watch."""

import unittest

import msgspec

from cassialever.catalogue import CatalogueIndex
from cassialever.clock import SystemClock
from cassialever.daemon_view import UNKNOWN_STATE, DaemonView
from cassialever.decisions import Question
from cassialever.errors import ErrorKind, Failure
from cassialever.gates import Gates
from cassialever.interfaces import Transaction
from cassialever.operator_view import KeyOwner
from cassialever.placement import Placement
from cassialever.routing import RoutingMap, ServiceMap
from cassialever.table_watch import WatchedTable
from cassialever.telemetry import RequestFacts, Telemetry
from cassialever.types import (
    ChangeId,
    Epoch,
    Fence,
    InstanceId,
    Key,
    RequestId,
    RowName,
    ServiceName,
    ServiceState,
    TargetId,
)
from tests.helpers import ISSUANCE, REGISTRY, WEST, small_catalogue
from tests.test_catalogue_store import ScriptedTable
from tests.test_telemetry import example_settings

MINE = TargetId('registry-1')
OTHERS = TargetId('i-1')


class TestDaemonView(unittest.IsolatedAsyncioTestCase):
    """What one daemon shows."""

    async def asyncSetUp(self) -> None:
        settings = example_settings()
        self.placement = Placement(WEST)
        self.gates = Gates(SystemClock())
        self.scripted = ScriptedTable()
        self.table = WatchedTable(self.scripted)
        self.telemetry = Telemetry(settings, SystemClock())
        self.view = DaemonView(
            settings, self.placement, self.gates, self.table, self.telemetry
        )
        here = settings.instance.instance_id
        self.routing_map = RoutingMap(
            Epoch(4),
            {REGISTRY: ServiceMap((MINE,) * 64, Fence(4))},
            {MINE: here, OTHERS: InstanceId('other')},
        )

    async def asyncTearDown(self) -> None:
        self.telemetry.stop()

    def adopt(self) -> CatalogueIndex:
        index = CatalogueIndex(small_catalogue())
        self.placement.adopt_catalogue(index)
        self.placement.adopt_map(WEST, self.routing_map)
        self.view.unready_reason = ''
        return index

    async def test_readiness(self) -> None:
        """Ready once there is a catalogue and the daemon says so."""
        self.assertIn('no catalogue', self.view.not_ready())
        self.adopt()
        self.assertEqual(self.view.not_ready(), '')
        self.view.unready_reason = 'stopping'
        self.assertFalse(self.view.status().ready)

    async def test_targets(self) -> None:
        """Own targets show their load, others' only their holder."""
        index = self.adopt()
        entry = index.target_by_id[MINE]
        self.gates.gate(entry, 8)
        mine, others = self.view.status().targets
        self.assertEqual((mine.state, mine.capacity), ('cold', 1))
        self.assertEqual(others.state, UNKNOWN_STATE)
        self.assertEqual(others.holder, 'other')
        self.assertEqual(self.view.imbalance(), {})

    async def test_owner(self) -> None:
        """A key's owner, or why there is none."""
        self.adopt()
        owner = self.view.owner(REGISTRY, Key('KZ-1'))
        assert isinstance(owner, KeyOwner)
        self.assertEqual(owner.target_id, MINE)
        for service, kind in (
            (ISSUANCE, ErrorKind.no_owner),
            (ServiceName('nothing'), ErrorKind.unknown_service),
        ):
            found = self.view.owner(service, Key('KZ-1'))
            assert isinstance(found, Failure)
            self.assertIs(found.kind, kind)

    async def test_refusal_is_counted_and_explained(self) -> None:
        """A refused request is in the metrics and leads to its entry."""
        index = self.adopt()
        ref = index.target_by_id[MINE].ref()
        failure = Failure(ErrorKind.target_busy, 'the queue is full', ref)
        facts = RequestFacts(request_id=RequestId('r-1'), service=REGISTRY)
        self.telemetry.request_ended(facts, failure, 0.01)
        self.telemetry.request_ended(facts, None, 0.01)
        (found,) = self.view.explain(Question(refusal='target_busy'))
        self.assertEqual(found.entry, 'target/registry-1')
        self.assertIn(b'outcome="target_busy"', self.view.metrics())

    async def test_requests_are_counted_apart_while_a_centre_is_out(
        self,
    ) -> None:
        """Service during a data centre's move is a measure of its own."""
        index = self.adopt()
        (entry,) = index.catalogue.data_centres
        out = msgspec.structs.replace(entry, state=ServiceState.out)
        moving = msgspec.structs.replace(index.catalogue, data_centres=(out,))
        self.telemetry.catalogue_adopted(CatalogueIndex(moving))
        facts = RequestFacts(request_id=RequestId('r-1'), service=REGISTRY)
        self.telemetry.request_ended(facts, None, 0.01)
        self.assertIn(b'moving="true"', self.view.metrics())

    async def test_table_and_dump(self) -> None:
        """A table that fails shows, and the dump has no secret."""
        await self.table.read([RowName('a')])
        await self.table.scan('a')
        self.assertTrue(self.view.status().table_reachable)
        self.scripted.script = ['down']
        await self.table.commit(Transaction(ChangeId('c'), ()))
        self.assertFalse(self.view.status().table_reachable)
        written = msgspec.json.encode(self.view.dump()).decode()
        self.assertIn('commit failed', written)
        security = example_settings().security
        self.assertNotIn(security.fleet_key, written)
        self.assertNotIn(security.operator_credential, written)
