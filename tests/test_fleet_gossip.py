"""Tests of the reports of load and paths that daemons exchange."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import msgspec

from cassialever.fleet.datagrams import DatagramSocket, OpenRequests, encode
from cassialever.fleet.gossip import LoadGossip
from cassialever.fleet.path_reports import MIN_REPORT_LIFETIME, PathReporter
from cassialever.policy.direct_paths import CONFIRMATION_DELAY
from cassialever.policy.loads import LoadTracker
from cassialever.policy.paths import TargetPaths
from cassialever.policy.peer_reports import MAX_LISTED_TARGETS, Helper
from cassialever.policy.room import request_capacity
from cassialever.types import DataCentreId, TargetId
from tests.fleet_helpers import LoopClock, VirtualLoop, run_virtually

TARGETS = [TargetId(f't{number}') for number in range(100)]


class Wire(DatagramSocket):
    """Passes datagrams to other daemons at once, and keeps the times."""

    def __init__(self, loop: VirtualLoop, by_address: dict[str, 'Wire']):
        super().__init__()
        self.loop = loop
        self.by_address = by_address
        self.sent_at: list[float] = []
        self.sizes: list[int] = []

    def send(self, address: str, datagram: bytes) -> None:
        self.sent_at.append(self.loop.time())
        self.sizes.append(len(datagram))
        if address in self.by_address:
            receiver = self.by_address[address]
            receiver.datagram_received(datagram, ('10.1.0.9', 9))


class Daemon:
    """One daemon's reports."""

    def __init__(
        self,
        loop: VirtualLoop,
        name: str,
        addresses: dict[str, str],
        wires: dict[str, Wire],
    ) -> None:
        self.clock = LoopClock(loop)
        self.loads = LoadTracker()
        self.paths = TargetPaths(DataCentreId('dc'), random.Random(1))
        self.wire = wires[addresses[name]] = Wire(loop, wires)
        own = Helper(name, addresses[name], DataCentreId(f'dc-{name}'))
        self.reporter = PathReporter(own, 50, self.paths, self.clock)
        self.gossip = LoadGossip(
            self.reporter, self.loads, self.clock, lambda: addresses, self.wire
        )

    def fail(self, target_ids: list[TargetId]) -> None:
        """Let connections to targets fail."""
        for target_id in target_ids:
            self.paths.record_failure(target_id, self.clock.monotonic())

    def helpers(self, target_id: TargetId) -> list[Helper]:
        return self.paths.helpers_for(target_id, self.clock.monotonic())


class GossipTest(unittest.TestCase):
    """What one daemon learns of the paths of another."""

    def run_with(
        self, scenario: Callable[..., Awaitable[None]], count: int = 3
    ) -> None:
        async def main(loop: VirtualLoop) -> None:
            addresses = {f'd{one}': f'10.1.0.{one}:7' for one in range(count)}
            wires: dict[str, Wire] = {}
            daemons = [
                Daemon(loop, name, addresses, wires)
                for name in list(addresses)[:3]
            ]
            for daemon in daemons:
                asyncio.ensure_future(daemon.gossip.run())
            await asyncio.sleep(0.25)
            await scenario(*daemons)

        run_virtually(main)

    def test_a_daemon_that_reaches_a_target_is_found(self) -> None:
        """Its address is the one in the list of daemons."""

        async def scenario(first: Daemon, second: Daemon, _: Daemon) -> None:
            first.fail([TARGETS[0]])
            second.fail([TARGETS[0]])
            await asyncio.sleep(CONFIRMATION_DELAY + 0.05)
            self.assertEqual(
                first.helpers(TARGETS[0]),
                [Helper('d2', '10.1.0.2:7', DataCentreId('dc-d2'))],
            )

        self.run_with(scenario)

    def test_a_change_is_reported_at_once_and_at_a_bounded_rate(self) -> None:
        """With many daemons a period lasts longer than a cut may."""

        async def scenario(first: Daemon, second: Daemon, _: Daemon) -> None:
            await asyncio.sleep(1)
            start = first.clock.monotonic()
            first.wire.sent_at.clear()
            for number in range(100):
                first.fail([TARGETS[number]])
                first.gossip.report_now()
                await asyncio.sleep(0.005)
            rounds = sorted(set(first.wire.sent_at))
            self.assertLessEqual(rounds[0] - start, 0.06)
            self.assertLessEqual(len(first.wire.sent_at), 560)
            self.assertGreaterEqual(len(rounds), 5)

        self.run_with(scenario, count=59)

    def test_a_daemon_that_falls_silent_does_not_help(self) -> None:
        """What it said last no longer holds."""

        async def scenario(first: Daemon, second: Daemon, _: Daemon) -> None:
            for wire in (second.wire, first.wire):
                wire.by_address.clear()
            first.fail([TARGETS[0]])
            await asyncio.sleep(CONFIRMATION_DELAY)
            self.assertEqual(len(first.helpers(TARGETS[0])), 2)
            await asyncio.sleep(MIN_REPORT_LIFETIME)
            first.fail([TARGETS[0]])
            self.assertEqual(first.helpers(TARGETS[0]), [])

        self.run_with(scenario)

    def test_state_and_room_are_reported(self) -> None:
        """A stopping, a full and a cut-off daemon say so."""

        async def scenario(
            first: Daemon, second: Daemon, third: Daemon
        ) -> None:
            first.fail([TARGETS[0]])
            second.reporter.is_stopping = True
            for _ in range(50):
                third.loads.of(TARGETS[1]).record_open()
            await asyncio.sleep(CONFIRMATION_DELAY + 0.05)
            self.assertEqual(first.helpers(TARGETS[0]), [])
            third.loads.of(TARGETS[1]).record_close()
            await asyncio.sleep(0.15)
            self.assertEqual(len(first.helpers(TARGETS[0])), 1)
            third.fail(TARGETS)
            await asyncio.sleep(CONFIRMATION_DELAY + 0.15)
            self.assertEqual(first.helpers(TARGETS[0]), [])

        self.run_with(scenario)

    def test_a_report_fits_into_one_packet(self) -> None:
        """However many targets are unreachable."""

        async def scenario(first: Daemon, second: Daemon, _: Daemon) -> None:
            first.paths.record_answer(TARGETS[0], 0)
            calm = max(first.wire.sizes)
            self.assertLess(calm, 40)
            first.fail(TARGETS[1:])
            first.paths.record_answer(TARGETS[0], 0)
            report = first.reporter.describe({})
            self.assertEqual(len(report.unreachable), MAX_LISTED_TARGETS)
            self.assertLess(len(encode(report)), 1200)

        self.run_with(scenario)

    def test_reached_targets_are_reported_within_the_same_limit(self) -> None:
        """Those that others list, and that this daemon has reached since."""

        async def scenario(first: Daemon, second: Daemon, _: Daemon) -> None:
            listed = TARGETS[:40]
            second.fail(listed)
            await asyncio.sleep(0.2)
            now = first.clock.monotonic()
            for target_id in listed:
                first.paths.record_answer(target_id, now)
            report = first.reporter.describe({})
            self.assertEqual(report.reached, tuple(listed))
            first.fail(TARGETS[40:])
            first.paths.record_answer(TARGETS[0], now)
            report = first.reporter.describe({})
            self.assertEqual(
                len(report.unreachable) + len(report.reached or ()),
                min(len(TARGETS), MAX_LISTED_TARGETS),
            )
            self.assertLess(len(encode(report)), 1200)

        self.run_with(scenario)

    def test_reports_of_unknown_daemons_are_not_kept(self) -> None:
        """Datagrams are not authenticated."""

        async def scenario(first: Daemon, second: Daemon, _: Daemon) -> None:
            first.fail([TARGETS[0]])
            unknown_peer = OpenRequests('d9', {}, 'dc', 100)
            first.wire.datagram_received(encode(unknown_peer), ('10.9.9.9', 1))
            await asyncio.sleep(CONFIRMATION_DELAY)
            helpers = {one.instance_id for one in first.helpers(TARGETS[0])}
            self.assertEqual(helpers, {'d1', 'd2'})

        self.run_with(scenario)

    def test_a_report_out_of_range_is_rejected(self) -> None:
        """Nothing of it counts, and the daemon goes on."""

        async def scenario(first: Daemon, second: Daemon, _: Daemon) -> None:
            bad = [
                [1, 'd1', {'t': -5}],
                [1, 'd1', {'t': 10**9}],
                [1, 'd1', {}, 'dc', -1],
                [1, 'd1', {}, 'dc', 2**63],
                [1, 'd1', {}, 'dc', 1.5],
                [1, 'd1', {}, 'd' * 300, 1],
                [1, 'd1', {}, 'dc', 1, 'yes'],
                [1, 'd1', {}, 'dc', 1, False, False, ['t'] * 65],
                [1, 'd1', {}, 'dc', 1, False, False, ['t' * 300]],
                [1, 'd1', {}, 'dc', 1, False, False, {'t': 1}],
            ]
            handle = mock.Mock()
            first.wire.handler_by_type[OpenRequests] = handle
            for message in bad:
                first.wire.datagram_received(
                    msgspec.msgpack.encode(message), ('10.1.0.1', 7)
                )
            handle.assert_not_called()

        self.run_with(scenario)

    def test_builds_without_and_with_more_fields_are_understood(self) -> None:
        """An older build gives no room and so is never asked."""
        old = msgspec.msgpack.encode([1, 'd1', {'t0': 3}])
        known = OpenRequests('d1', {'t0': 3}, 'dc', 7, False, True, ('t1',))
        fields = msgspec.structs.astuple(known)
        new = msgspec.msgpack.encode([1, *fields, 'later', 4])
        received = []
        wire = DatagramSocket()
        wire.handler_by_type[OpenRequests] = lambda one, _: received.append(one)
        wire.datagram_received(old, ('10.1.0.1', 7))
        wire.datagram_received(new, ('10.1.0.1', 7))
        self.assertEqual(received[0], OpenRequests('d1', {'t0': 3}))
        self.assertEqual(received[0].room, 0)
        self.assertEqual(received[1].unreachable, ('t1',))


class RoomTest(unittest.TestCase):
    """How many requests a daemon can carry."""

    def test_the_scarcer_of_cores_and_bandwidth_decides(self) -> None:
        self.assertEqual(request_capacity(0.43, 100), 43)
        self.assertEqual(request_capacity(2.15, 5), 12)
        self.assertEqual(request_capacity(0, 10), 25)
        self.assertEqual(request_capacity(2, 0), 200)
        self.assertGreater(request_capacity(0, 0), 0)
