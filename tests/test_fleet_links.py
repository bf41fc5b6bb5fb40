"""Tests of links between daemons: proof, invalid bytes, silence, backlog."""

import asyncio
import contextlib
import math
import random
import socket
import struct
import time
import unittest
from collections.abc import AsyncIterator
from unittest import mock

import msgspec

from cassialever.clock import SystemClock
from cassialever.errors import Failure
from cassialever.fleet import following_leader, messages, relay
from cassialever.fleet.connecting import connect
from cassialever.fleet.following_leader import (
    LEADER_TIMEOUT,
    LeaderLink,
    LinkEnd,
    MAX_REPORT_BACKLOG_BYTES,
)
from cassialever.fleet.model import StoreRow
from cassialever.fleet.relay import Relay
from standins.listening import LOOPBACK, free_ports
from tests import fleet_helpers
from tests.fleet_helpers import ManualClock, configured_view, json_row, until

KEY = 'a key of the fleet'
HELLO = messages.Hello('edge-1', 1, '127.0.0.1:1', {})


def follower(key: str = KEY) -> LeaderLink:
    """Return a follower's end of a link."""
    return LeaderLink(configured_view(ManualClock(), targets=0), HELLO, key)


@contextlib.asynccontextmanager
async def leader(key: str = KEY) -> AsyncIterator[Relay]:
    """Run a leader's end of links."""
    address = f'{LOOPBACK}:{free_ports(1)[0]}'
    own_hello = messages.Hello('edge-0', 1, address, {})
    leader_relay = Relay(configured_view(ManualClock()), own_hello, key)
    leader_relay.begin_term()
    await leader_relay.start()
    try:
        yield leader_relay
    finally:
        await leader_relay.stop()


def address_of(leader_relay: Relay) -> str:
    return leader_relay.members()['edge-0']


class AuthenticationTest(unittest.IsolatedAsyncioTestCase):
    """Which daemons can follow, and which can be followed."""

    async def test_ends_with_the_same_key_are_linked(self) -> None:
        for key in (KEY, ''):
            async with leader(key) as leader_relay:
                link = follower(key)
                task = asyncio.create_task(
                    link.follow(address_of(leader_relay))
                )
                await until(
                    lambda leader_relay=leader_relay: (
                        'edge-1' in leader_relay.follower_by_id
                    )
                )
                await until(lambda link=link: len(link.view.targets.by_id) == 3)
                task.cancel()

    async def test_peer_with_another_key_gets_nothing(self) -> None:
        async with leader() as leader_relay:
            link = follower('another key')
            end = await link.follow(address_of(leader_relay))
            self.assertIn(end, (LinkEnd.proof_failed, LinkEnd.closed))
            self.assertEqual(leader_relay.follower_by_id, {})
            self.assertEqual(link.view.targets.by_id, {})

    async def test_leader_with_another_key_is_not_followed(self) -> None:
        """A daemon without the key can't gain followers."""
        async with leader('') as leader_relay:
            link = follower()
            self.assertIs(
                await link.follow(address_of(leader_relay)),
                LinkEnd.proof_failed,
            )
            self.assertEqual(link.view.targets.by_id, {})

    async def test_reflected_proof_is_rejected(self) -> None:
        async with leader() as leader_relay:
            host, port = address_of(leader_relay).rsplit(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            challenge = await messages.receive(reader)
            writer.write(messages.encode(challenge))
            self.assertEqual(await reader.read(), b'')
            self.assertEqual(leader_relay.follower_by_id, {})
            writer.close()

    async def test_long_frame_before_the_proof_is_not_read(self) -> None:
        async with leader() as leader_relay:
            host, port = address_of(leader_relay).rsplit(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            await messages.receive(reader)
            writer.write(struct.pack('!I', messages.MAX_PROOF_BYTES + 1))
            self.assertEqual(await reader.read(), b'')
            writer.close()

    async def test_unproved_peer_cannot_depose_the_leader(self) -> None:
        async with leader() as leader_relay:
            terms: list[int] = []
            leader_relay.on_deposed = terms.append
            host, port = address_of(leader_relay).rsplit(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(messages.encode(messages.Deposed(9)))
            await reader.read()
            self.assertEqual(terms, [])
            writer.close()


class CatchUpTest(unittest.IsolatedAsyncioTestCase):
    """What a reconnecting follower is sent."""

    async def test_follower_is_sent_what_it_lacks(self) -> None:
        """Of three targets, one has changed meanwhile and one was removed."""
        async with leader('') as leader_relay:
            link = follower('')
            task = asyncio.create_task(link.follow(address_of(leader_relay)))
            await until(lambda: len(link.view.targets.by_id) == 3)
            task.cancel()
            await until(lambda: 'edge-1' not in leader_relay.follower_by_id)
            rows = leader_relay._view.rows.rows_of('servers')
            changed = StoreRow('servers', 't1', rows[0].content, 90)
            gone = StoreRow('servers', 't2', None, 91)
            leader_relay._view.apply('servers', [changed, gone], 91)
            sent_changes = []
            with mock.patch.object(
                messages, 'encode', wraps=messages.encode
            ) as encode:
                task = asyncio.create_task(
                    link.follow(address_of(leader_relay))
                )
                await until(lambda: 't2' not in link.view.targets.by_id)
                for call in encode.call_args_list:
                    if isinstance(call.args[0], messages.Changed):
                        sent_changes.append(call.args[0])
                    self.assertNotIsInstance(call.args[0], messages.Whole)
            self.assertEqual(
                {row.name for row in sent_changes[0].rows}, {'t1', 't2'}
            )
            task.cancel()

    async def test_reconnecting_followers_get_the_latest_rows(self) -> None:
        """What is encoded once for many of them is never outdated."""
        async with leader('') as leader_relay:
            view = leader_relay._view
            view.on_change = leader_relay.relay_changes
            for number in range(6):
                # Writers commit independently, so versions may come late.
                version = 90 + number // 2 - number % 2
                rows = view.rows.rows_of('servers')
                row = StoreRow(
                    'servers', f'n{number}', rows[0].content, version
                )
                view.apply('servers', [row], version)
                for _ in range(2):
                    link = follower('')
                    task = asyncio.create_task(
                        link.follow(address_of(leader_relay))
                    )
                    await until(
                        lambda link=link, row=row: (
                            row.name in link.view.targets.by_id
                        )
                    )
                    task.cancel()


class MovingKeysTest(unittest.IsolatedAsyncioTestCase):
    """Which keys count as moving after a change of leaders."""

    async def test_second_term_corrects_what_came_between(self) -> None:
        """The leader between two terms of this daemon ended during a move."""
        async with leader('') as leader_relay:
            still = messages.Moving('registry', [])
            leader_relay.announce_moving(still)
            leader_relay.disconnect_followers()
            view = leader_relay._view
            view.set_moving('registry', [(0, 9)])
            leader_relay.begin_term()
            leader_relay.announce_moving(still)
            self.assertFalse(view.is_moving('registry', 5))

    async def test_former_leader_does_not_announce_its_moves(self) -> None:
        """Callers' requests for these keys would wait, and be refused."""
        async with leader('') as leader_relay:
            moving = messages.Moving('registry', [(0, 9)])
            leader_relay.announce_moving(moving)
            address = address_of(leader_relay)
            leader_relay.disconnect_followers()
            link = follower('')
            self.assertIs(await link.follow(address), LinkEnd.not_leader)
            self.assertFalse(link.view.is_moving('registry', 5))


class MembersTest(unittest.IsolatedAsyncioTestCase):
    """The list of daemons by which limits of the fleet are divided."""

    async def test_list_of_a_new_leader_is_not_complete(self) -> None:
        """Its followers keep the list of the former leader until it is."""
        async with leader('') as leader_relay:
            link = follower('')
            former = {'edge-1': '', 'edge-2': '', 'edge-3': ''}
            link.complete_addresses_by_id = former
            beats = asyncio.create_task(leader_relay.send_heartbeats())
            task = asyncio.create_task(link.follow(address_of(leader_relay)))
            await until(lambda: 'edge-1' in link.addresses_by_id)
            self.assertEqual(link.complete_addresses_by_id, former)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            while link.complete_addresses_by_id is former:
                leader_relay.follower_by_id['edge-1'].heard_at = loop.time()
                await asyncio.sleep(0.01)
                self.assertLess(loop.time() - started_at, 5)
            self.assertGreater(
                loop.time() - started_at, 0.8 * relay.RECONNECT_PERIOD
            )
            self.assertEqual(
                set(link.complete_addresses_by_id), {'edge-0', 'edge-1'}
            )
            task.cancel()
            beats.cancel()

    async def test_follower_without_power_is_no_member(self) -> None:
        """Its connection stays open, since nothing closes it."""
        async with leader('') as leader_relay:
            link = follower('')
            beats = asyncio.create_task(leader_relay.send_heartbeats())
            task = asyncio.create_task(link.follow(address_of(leader_relay)))
            await until(lambda: 'edge-1' in leader_relay.members())
            await until(
                lambda: 'edge-1' not in leader_relay.members(),
                relay.FOLLOWER_TIMEOUT + 1,
            )
            self.assertIn('edge-1', leader_relay.follower_by_id)
            link.report(messages.KeysAsked({}, {}))
            await until(lambda: 'edge-1' in leader_relay.members())
            task.cancel()
            beats.cancel()

    async def test_followers_that_join_together_are_announced_together(
        self,
    ) -> None:
        async with leader('') as leader_relay:
            beats = asyncio.create_task(leader_relay.send_heartbeats())
            host, port = address_of(leader_relay).rsplit(':')
            writers = []
            with mock.patch.object(
                leader_relay, 'broadcast', wraps=leader_relay.broadcast
            ) as broadcast:
                for number in range(40):
                    _, writer = await asyncio.open_connection(host, int(port))
                    hello = messages.Hello(
                        f'edge-{number + 1}', 1, '10.1.0.9:7', {}
                    )
                    writer.write(messages.encode(hello))
                    writers.append(writer)
                await until(lambda: len(leader_relay.members()) == 41)
                await asyncio.sleep(2 * relay.HEARTBEAT_INTERVAL)
            announced = [
                call.args[0]
                for call in broadcast.call_args_list
                if isinstance(call.args[0], messages.Members)
            ]
            self.assertLess(len(announced), 8)
            self.assertEqual(len(announced[-1].addresses_by_id), 41)
            for writer in writers:
                writer.close()
            beats.cancel()


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """A link that takes longer for a table than the leader may be silent."""

    async def test_table_that_arrives_slowly_is_received(self) -> None:
        """A configuration of 1,400 routes over a link that is overloaded."""
        routes = {
            f'r-{number}': {
                **fleet_helpers.ROUTES['r-lookup'],
                'hostname': f'registry-{number}.example',
            }
            for number in range(1400)
        }
        configuration = {
            **fleet_helpers.CONFIGURATION,
            'version': 'r9',
            'routes': routes,
        }
        row = json_row('op', 'config', configuration, 90)
        frame = messages.encode(messages.Whole('op', [row], 90))
        chunk_count = 15
        chunk_bytes = len(frame) // chunk_count
        # The transfer takes longer than a silent leader is waited for.
        chunk_interval = 1.5 * LEADER_TIMEOUT / chunk_count

        async def send_slowly(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await messages.receive(reader)
            for start in range(0, len(frame), chunk_bytes):
                writer.write(frame[start : start + chunk_bytes])
                await asyncio.sleep(chunk_interval)
            await reader.read()

        server = await asyncio.start_server(send_slowly, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        link = follower('')
        end = await link.follow(f'{host}:{port}')
        self.assertIs(end, LinkEnd.timed_out)
        self.assertEqual(link.view.configuration.version, 9)
        server.close()


class LateLeaderTest(unittest.IsolatedAsyncioTestCase):
    """When a follower knows that its leader's tables are old."""

    async def test_age_grows_between_heartbeats(self) -> None:
        """A heartbeat waits behind a table that is still arriving."""
        link = LeaderLink(configured_view(SystemClock(), targets=0), HELLO)
        self.assertFalse(link.is_relaying())
        link.note_heartbeat(messages.Pulse(True, 0, 0))
        self.assertTrue(link.is_relaying())
        with mock.patch.object(following_leader, 'MAX_TABLES_AGE', 0.2):
            await asyncio.sleep(0.3)
            self.assertFalse(link.is_relaying())
            self.assertGreater(link.tables_age(), 0.2)

    async def test_time_under_way_is_part_of_the_age(self) -> None:
        """Heartbeats keep coming over a full link; clocks differ."""
        clock = ManualClock(5000.0)
        view = configured_view(clock, targets=0)
        link = LeaderLink(view, HELLO)
        for sent_at, under_way in ((70.0, 0.01), (70.25, 1.2), (70.5, 1.9)):
            clock.now = 5000.0 + sent_at + under_way
            link.note_heartbeat(messages.Pulse(True, 0, 0.1, sent_at=sent_at))
            self.assertAlmostEqual(link.tables_age(), 0.09 + under_way, 2)
        self.assertFalse(link.is_relaying())
        clock.now = 5000.0 + 71.02
        link.note_heartbeat(messages.Pulse(True, 0, 0.1, sent_at=71.0))
        self.assertTrue(link.is_relaying())

    async def test_earlier_build_does_not_send_its_clock(self) -> None:
        """Its heartbeats count as before."""
        clock = ManualClock(5000.0)
        link = LeaderLink(configured_view(clock, targets=0), HELLO)
        for _ in range(3):
            clock.now += 7
            link.note_heartbeat(messages.Pulse(True, 0, 0.1))
            self.assertAlmostEqual(link.tables_age(), 0.1, 2)

    async def test_clocks_that_drift_apart_are_no_lateness(self) -> None:
        """For an hour, one clock gains 100 parts in a million."""
        clock = ManualClock(5000.0)
        link = LeaderLink(configured_view(clock, targets=0), HELLO)
        for step in range(3600 * 4):
            clock.now = 5000.0 + 0.25 * step * 1.0001
            sent_at = 70 + 0.25 * step
            link.note_heartbeat(messages.Pulse(True, 0, 0, sent_at=sent_at))
            self.assertLess(link.tables_age(), 0.05)

    async def test_leader_with_old_tables_is_not_relaying(self) -> None:
        """Its lease is renewed, so nothing else tells that it is late."""
        link = follower('')
        link.note_heartbeat(
            messages.Pulse(True, 0, following_leader.MAX_TABLES_AGE + 0.1)
        )
        self.assertFalse(link.is_relaying())


class CompressionTest(unittest.IsolatedAsyncioTestCase):
    """Large messages take little of a link."""

    async def receive(self, frame: bytes, max_bytes: int) -> object:
        reader = asyncio.StreamReader()
        reader.feed_data(frame)
        reader.feed_eof()
        return await messages.receive(reader, max_bytes)

    async def test_large_configuration_is_sent_compressed(self) -> None:
        """58 followers get 1,400 routes in 1 s over a link of 20 Mbit/s."""
        routes = {
            f'r-{number:08x}': {
                **fleet_helpers.ROUTES['r-lookup'],
                'hostname': f'{number * 7919:08x}.example',
            }
            for number in range(1400)
        }
        configuration = {**fleet_helpers.CONFIGURATION, 'routes': routes}
        row = json_row('op', 'config', configuration, 90)
        message = messages.Changed('op', [row], 90)
        frame = messages.encode(message)
        self.assertLess(58 * len(frame), 20e6 / 8)
        received = await self.receive(frame, messages.MAX_FRAME_BYTES)
        self.assertEqual(received, message)

    async def test_invalid_compressed_messages_are_rejected(self) -> None:
        message = messages.Members({'x' * 100_000: ''}, is_complete=True)
        frame = messages.encode(message)
        self.assertLess(len(frame), 1000)
        flag = frame[:4]
        with self.assertRaises(msgspec.DecodeError):
            # It would be longer than the limit once decompressed.
            await self.receive(frame, 50_000)
        for body in (b'', b'abc', frame[4:-5], bytes(100)):
            length = struct.unpack('!I', flag)[0] & 0x80000000 | len(body)
            with self.subTest(body=body[:10]):
                with self.assertRaises(msgspec.DecodeError):
                    await self.receive(
                        struct.pack('!I', length) + body,
                        messages.MAX_FRAME_BYTES,
                    )


class InvalidBytesTest(unittest.IsolatedAsyncioTestCase):
    """Bytes that are not a valid message or not expected."""

    async def test_invalid_bytes_close_only_their_link(self) -> None:
        hello_frame = messages.encode(HELLO)
        frames = [
            b'\xff\xff\xff\xff',
            struct.pack('!I', 3) + b'\xc1\xc1\xc1',
            messages.encode(messages.Pulse(True, 0, 0)),
            *(hello_frame[:cut] for cut in range(0, len(hello_frame), 5)),
            *(
                hello_frame[:position]
                + bytes([hello_frame[position] ^ 0x55])
                + hello_frame[position + 1 :]
                for position in range(4, 12)
            ),
        ]
        async with leader('') as leader_relay:
            link = follower('')
            task = asyncio.create_task(link.follow(address_of(leader_relay)))
            await until(lambda: 'edge-1' in leader_relay.follower_by_id)
            host, port = address_of(leader_relay).rsplit(':')
            for frame in frames:
                with self.subTest(frame=frame):
                    _, writer = await asyncio.open_connection(host, int(port))
                    writer.write(frame)
                    writer.write_eof()
                    await asyncio.sleep(0)
                    writer.close()
            await asyncio.sleep(0.1)
            self.assertIn('edge-1', leader_relay.follower_by_id)
            self.assertFalse(task.done())
            task.cancel()

    async def test_invalid_bytes_of_a_leader_close_the_link(self) -> None:
        async def send_invalid_bytes(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(struct.pack('!I', 4) + b'abcd')

        server = await asyncio.start_server(send_invalid_bytes, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        end = await follower('').follow(f'{host}:{port}')
        self.assertIs(end, LinkEnd.closed)
        server.close()


class AddressTest(unittest.IsolatedAsyncioTestCase):
    """Daemons that greet with an address that can't be used."""

    async def test_daemon_with_a_malformed_address_is_no_member(self) -> None:
        """All others would send to it, and end by the error."""
        for address in ('', 'x', 'x:', ':7', '10.0.0.1:-1', '10.0.0.1:70000'):
            async with leader('') as leader_relay:
                greeting = msgspec.structs.replace(HELLO, address=address)
                link = LeaderLink(follower('').view, greeting)
                end = await asyncio.wait_for(
                    link.follow(address_of(leader_relay)), 0.5
                )
                self.assertIs(end, LinkEnd.closed)
                self.assertEqual(list(leader_relay.members()), ['edge-0'])

    async def test_address_that_is_none_can_not_be_connected_to(self) -> None:
        """A leader may announce it; connecting raised and ended the daemon."""
        for address in ('x', '10.0.0.1:70000', 'a..b:80', f'{"a" * 99}:80'):
            with self.subTest(address=address):
                self.assertIsInstance(await connect(address), Failure)


class NumberTest(unittest.TestCase):
    """Numbers in messages that are out of range."""

    def test_reports_out_of_range_are_rejected(self) -> None:
        """A key over the last one, or a count below 0, ended the leader."""
        for keys, times in (
            ([65536], {}),
            ([-1], {}),
            ([2**63], {}),
            ([], {'t0': (-(2**60), 1.0)}),
            ([], {'t0': (2**60, 1.0)}),
            ([], {'t0': (1, math.inf)}),
            ([], {'t0': (1, math.nan)}),
            ([], {'t0': (1, -1.0)}),
        ):
            report = messages.KeysAsked({'registry': keys}, times)
            with self.subTest(report=report):
                with self.assertRaises(msgspec.DecodeError):
                    messages._decoder.decode(messages.encode(report)[4:])
        report = messages.KeysAsked({'registry': [0, 65535]}, {'t0': (9, 1.5)})
        decoded = messages._decoder.decode(messages.encode(report)[4:])
        self.assertEqual(decoded, report)

    def test_heartbeats_out_of_range_are_rejected(self) -> None:
        """Ages of NaN count as no age; a clock far ahead puts all others late.

        A leader that has not yet read its tables sends an infinite age.
        """
        for ages in (
            (math.nan, 0.0, 0.0),
            (-1e300, 0.0, 0.0),
            (0.0, math.nan, 0.0),
            (0.0, 0.0, -1.0),
            (0.0, 0.0, math.inf),
            (0.0, 0.0, 1e300),
        ):
            store_age, tables_age, sent_at = ages
            pulse = messages.Pulse(
                is_leader=True,
                store_age=store_age,
                tables_age=tables_age,
                sent_at=sent_at,
            )
            with self.subTest(ages=ages):
                with self.assertRaises(msgspec.DecodeError):
                    messages._decoder.decode(messages.encode(pulse)[4:])
        pulse = messages.Pulse(True, math.inf, math.inf, 1, 5.0)
        decoded = messages._decoder.decode(messages.encode(pulse)[4:])
        self.assertEqual(decoded, pulse)


class LateFollowerTest(unittest.IsolatedAsyncioTestCase):
    """A follower whose own loop does not run for a while."""

    async def test_heartbeat_that_waits_in_the_socket_keeps_the_link(
        self,
    ) -> None:
        heartbeat = messages.encode(messages.Pulse(True, 0, 0))
        writers: list[asyncio.StreamWriter] = []

        async def lead(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            writer.write(heartbeat)
            await reader.read()

        server = await asyncio.start_server(lead, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        link = follower('')
        following = asyncio.create_task(link.follow(f'{host}:{port}'))
        await until(lambda: link.is_open)
        writers[0].write(heartbeat)
        time.sleep(LEADER_TIMEOUT + 0.1)
        await asyncio.sleep(LEADER_TIMEOUT / 2)
        self.assertFalse(following.done())
        writers[0].close()
        self.assertIs(await following, LinkEnd.closed)
        server.close()


async def send_nothing(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Accept a connection and read until it ends."""
    await reader.read()


class UnresponsivePeerTest(unittest.IsolatedAsyncioTestCase):
    """Peers that neither answer nor read."""

    async def test_link_to_an_unresponsive_leader_times_out(self) -> None:
        server = await asyncio.start_server(send_nothing, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        async with asyncio.timeout(LEADER_TIMEOUT + 2):
            end = await follower('').follow(f'{host}:{port}')
        self.assertIs(end, LinkEnd.timed_out)
        server.close()

    async def test_link_is_given_up_when_patience_ends(self) -> None:
        """With a key, too, for whose proof peers have 1 s."""
        server = await asyncio.start_server(send_nothing, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        for key in ('', 'key'):
            with self.subTest(key=key):
                async with asyncio.timeout(LEADER_TIMEOUT / 2):
                    end = await follower(key).follow(f'{host}:{port}', 0.1)
                self.assertIs(end, LinkEnd.timed_out)
        server.close()

    async def test_reports_to_a_leader_that_does_not_read_pile_up(self) -> None:
        # They were queued for as long as its heartbeats arrived.
        async def beat(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            reader._transport.pause_reading()
            while not writer.is_closing():
                writer.write(messages.encode(messages.Pulse(True, 0, 0, 1, 0)))
                await asyncio.sleep(0.05)
            ends.append(writer)

        ends: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(beat, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        link = follower('')
        following = asyncio.create_task(link.follow(f'{host}:{port}'))
        await until(lambda: link.is_open)
        asked = [random.randrange(65_536) for _ in range(20_000)]
        report = messages.KeysAsked({'registry': asked}, {})
        for _ in range(400):
            link.report(report)
            await asyncio.sleep(0)
        backlog = link._writer.transport.get_write_buffer_size()
        self.assertLess(backlog, 2 * MAX_REPORT_BACKLOG_BYTES)
        link._writer.transport.abort()
        following.cancel()
        await until(lambda: ends)
        server.close()

    async def test_follower_that_connects_at_the_stop_is_no_fault(self) -> None:
        """The event loop reported an exception at the end of a leader."""
        for turns in range(4):
            with self.subTest(turns=turns):
                async with leader('') as leader_relay:
                    host, port = address_of(leader_relay).rsplit(':')
                    with (
                        socket.create_connection((host, int(port))),
                        self.assertNoLogs('asyncio', 'ERROR'),
                    ):
                        for _ in range(turns):
                            await asyncio.sleep(0)
                        await leader_relay.stop()
                        await asyncio.sleep(0.05)

    async def test_follower_that_does_not_read_is_disconnected(self) -> None:
        """The data buffered for one follower stays bounded."""
        async with leader('') as leader_relay:
            host, port = address_of(leader_relay).rsplit(':')
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(messages.encode(HELLO))
            await until(lambda: 'edge-1' in leader_relay.follower_by_id)
            # Random, so that compression does not make it smaller.
            row = StoreRow('servers', 't0', random.randbytes(100_000), 9)
            message = messages.Changed('servers', [row], 9)
            sent = 0
            while 'edge-1' in leader_relay.follower_by_id:
                leader_relay.broadcast(message)
                sent += 100_000
                self.assertLess(sent, 100 * relay.MAX_BACKLOG_BYTES)
                await asyncio.sleep(0)
            writer.close()


if __name__ == '__main__':
    unittest.main()
