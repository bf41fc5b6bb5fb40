"""Tests of the exchange of places between daemons, and of its failures."""

import asyncio
import random
import unittest
from unittest import mock

from cassialever.fleet.datagrams import (
    MAX_ID_LENGTH,
    DatagramSocket,
    OpenRequests,
    PlaceRequest,
    Places,
    encode,
)
from cassialever.fleet.places import PlaceExchange
from cassialever.policy.contention import MAX_REPORTED
from cassialever.policy.slot_shares import MAX_UNANSWERED, SlotShares
from tests.fleet_helpers import ManualClock, add_targets, configured_view
from standins.listening import free_ports
from tests.replay_helpers import KnownPeers
from tests.slot_share_replay import SERVICE
from tests.two_builds import earlier_build

TARGETS = [f't{number}' for number in range(12)]
#: Places of a target with six slots and no known service time.
PLACES = 9


class Wire(DatagramSocket):
    """Passes datagrams to other daemons at once, unless they are cut off."""

    def __init__(self, address: str, by_address: dict[str, 'Wire']) -> None:
        super().__init__()
        self.address = address
        self.by_address = by_address
        self.is_cut_off = False
        by_address[address] = self

    def send(self, address: str, datagram: bytes) -> None:
        receiver = self.by_address[address]
        if not receiver.is_cut_off and not self.is_cut_off:
            host, port = self.address.split(':')
            receiver.datagram_received(datagram, (host, int(port)))


class Daemon:
    """The places of one daemon."""

    def __init__(
        self, number: int, peers: KnownPeers, wires: dict[str, Wire]
    ) -> None:
        self.name = f'edge-{number}'
        self.wire = Wire(f'10.1.0.1:{number}', wires)
        self.clock = ManualClock()
        self.view = configured_view(self.clock, targets=0)
        add_targets(self.view, TARGETS, SERVICE)
        self.shares = SlotShares(random.Random(number))
        self.shares.waiting_by_service[SERVICE] = 1
        self.exchange = PlaceExchange(
            self.name,
            self.view,
            self.shares,
            peers,
            self.wire,
            random.Random(number),
        )

    def take(self, target_id: str) -> bool:
        """Ask for a place and use it; return whether there was one."""
        target = self.view.targets.by_id[target_id]
        self.shares.ask(target, 0.2, self.clock.now)
        if not self.shares.holds(target_id, self.clock.now):
            return False
        self.shares.take(target_id)
        return True


class PlaceExchangeTest(unittest.TestCase):
    """Several daemons that want places at the same targets."""

    def setUp(self) -> None:
        self.wires: dict[str, Wire] = {}
        self.peers = KnownPeers({})
        self.daemons = [
            Daemon(number, self.peers, self.wires) for number in range(1, 7)
        ]
        for daemon in self.daemons:
            self.peers.addresses_by_id[daemon.name] = daemon.wire.address
        self.introduce(self.daemons)

    def introduce(self, daemons: list[Daemon]) -> None:
        """Have daemons send reports, from which others know their version."""
        for daemon in daemons:
            report = encode(OpenRequests(daemon.name, {}))
            for address in self.wires:
                daemon.wire.send(address, report)
        for daemon in self.daemons:
            daemon.exchange.update()

    def take_all(self, daemons: list[Daemon]) -> int:
        """Return the places of all targets that daemons get together."""
        taken = 0
        for _ in range(3 * PLACES):
            for daemon in daemons:
                daemon.clock.now += 0.01
                taken += sum(map(daemon.take, TARGETS))
        return taken

    def test_places_of_all_daemons_sum_to_what_targets_have(self) -> None:
        self.assertEqual(self.take_all(self.daemons), PLACES * len(TARGETS))

    def test_daemon_that_is_cut_off_keeps_to_a_small_share(self) -> None:
        """It goes on with the list of all, and is keeper of its own part."""
        alone = self.daemons[0]
        alone.wire.is_cut_off = True
        kept = sum(
            self.daemons[1].exchange.keeper_of(target_id) == alone.name
            for target_id in TARGETS
        )
        self.peers.addresses_by_id = {}
        alone.exchange.update()
        self.assertEqual(alone.shares.daemon_count, len(self.daemons))
        taken = self.take_all([alone])
        seconds = 3 * PLACES * 0.01
        trickle = (6 / 0.2 / len(self.daemons) * seconds + 1) * len(TARGETS)
        self.assertLessEqual(taken, kept * PLACES + trickle)

    def test_keeper_that_is_lost(self) -> None:
        """Its targets get a trickle until the list is without it."""
        lost = self.daemons.pop(0)
        lost.wire.is_cut_off = True
        self.take_all(self.daemons)
        daemon = self.daemons[0]
        kept = [
            target_id
            for target_id in TARGETS
            if daemon.exchange.keeper_of(target_id) == lost.name
        ]
        self.assertTrue(kept)
        self.assertGreaterEqual(
            daemon.shares._share_by_id[kept[0]].unanswered, MAX_UNANSWERED
        )
        self.peers.addresses_by_id.pop(lost.name)
        for other in self.daemons:
            other.exchange.update()
            other.clock.now += 1
        keepers = {daemon.exchange.keeper_of(one) for one in TARGETS}
        self.assertNotIn(lost.name, keepers)
        self.take_all(self.daemons)
        self.assertEqual(daemon.shares._share_by_id[kept[0]].unanswered, 0)

    def test_daemons_of_an_earlier_build_are_no_keepers(self) -> None:
        self.wires.clear()
        self.daemons = [
            Daemon(number, self.peers, self.wires) for number in range(1, 7)
        ]
        self.introduce(self.daemons[:3])
        names = {daemon.name for daemon in self.daemons[:3]}
        for daemon in self.daemons[:3]:
            keepers = {daemon.exchange.keeper_of(one) for one in TARGETS}
            self.assertLessEqual(keepers, names)

    def test_answer_is_expected_by_who_asks_another(self) -> None:
        daemon = self.daemons[0]
        with mock.patch.object(daemon.wire, 'expect_answer') as expect:
            self.take_all([daemon])
        self.assertTrue(expect.called)

    def test_period_of_reports_follows_the_daemons(self) -> None:
        self.assertEqual(self.daemons[0].shares.staleness.report_period, 0.06)

    def test_place_of_a_target_that_is_gone(self) -> None:
        daemon = self.daemons[0]
        request = encode(PlaceRequest('no-such', 1))
        daemon.wire.datagram_received(request, ('10.1.0.1', 2))
        places = encode(Places('no-such', (4,)))
        daemon.wire.datagram_received(places, ('10.1.0.1', 2))
        self.assertFalse(daemon.shares.holds('no-such', daemon.clock.now))


class AnswerTest(unittest.IsolatedAsyncioTestCase):
    """How long a request waits for the answer of a keeper."""

    async def asyncSetUp(self) -> None:
        self.sockets = [DatagramSocket(), DatagramSocket()]
        self.addresses = [f'127.0.0.1:{port}' for port in free_ports(2)]
        for one, address in zip(self.sockets, self.addresses, strict=True):
            await one.start(address)

    async def asyncTearDown(self) -> None:
        for one in self.sockets:
            one.stop()

    async def test_answer_is_read_as_it_arrives(self) -> None:
        asker, keeper = self.sockets
        arrived: list[float] = []
        loop = asyncio.get_running_loop()
        asker.handler_by_type[Places] = lambda *_: arrived.append(loop.time())
        datagram = encode(Places('t0', (4,)))
        keeper.send(self.addresses[0], datagram)
        while not arrived:
            await asyncio.sleep(0.001)
        asker.expect_answer(1)
        timer = asker._timer
        keeper.send(self.addresses[0], datagram)
        while len(arrived) < 2:
            await asyncio.sleep(0.001)
        self.assertIsNone(timer)
        self.assertIsNone(asker._timer)


class DatagramTest(unittest.TestCase):
    """What datagrams cost, and that an earlier build reads them."""

    def test_earlier_build_reads_a_report_with_contention(self) -> None:
        name = 'n' * MAX_ID_LENGTH
        report = OpenRequests('edge-1', {}, contended=(name,) * MAX_REPORTED)
        earlier_build.read_datagram(encode(report))

    def test_size(self) -> None:
        """In calm a report is one byte longer."""
        calm = len(encode(OpenRequests('edge-1', {'t1': 2})))
        bound = encode(
            OpenRequests('edge-1', {'t1': 2}, contended=('issuance',))
        )
        self.assertEqual(len(bound) - calm, 9)
        self.assertLess(len(encode(PlaceRequest('target-1', 1))), 32)
        self.assertLess(len(encode(Places('target-1', (2**30,)))), 32)


if __name__ == '__main__':
    unittest.main()
