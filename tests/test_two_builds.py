"""Tests that daemons of this build and of the one before understand each other.

`tests/two_builds` has the record of that build's messages and its definitions.
"""

import asyncio
import json
import pathlib
import struct
import typing
import unittest
from typing import Any
from unittest import mock

import logbook
import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet import datagrams, limit_reports, messages
from cassialever.fleet import lease as leases
from cassialever.fleet.activity import Activity
from cassialever.fleet.following_leader import LinkEnd
from cassialever.fleet.message_version import MESSAGE_VERSION, MessageVersion
from cassialever.fleet.model import KeyMap, StoreRow
from cassialever.fleet.unknown_types import UnknownMessage
from cassialever.fleet.view import Leadership
from cassialever.gateway import hop_messages
from cassialever.policy.peer_reports import MAX_LISTED_TARGETS
from cassialever.policy.permits import MAX_BATCH
from cassialever.types import RowVersion, ServiceName
from standins.listening import LOOPBACK
from tests.fleet_helpers import deployment, until
from tests.test_fleet_links import HELLO, address_of, follower, leader
from tests.two_builds import earlier_build as earlier
from tests.two_builds import recording

RECORD = json.loads(
    (pathlib.Path(__file__).parent / 'two_builds' / 'cf39707.json').read_text()
)
LINK_TYPES = typing.get_args(messages.AnyMessage)
DATAGRAM_TYPES = typing.get_args(datagrams.Datagram)
ROW_TYPES: dict[str, type[Any]] = {
    'Lease': leases.Lease,
    'Leadership': Leadership,
    'KeyMap': KeyMap,
}


def read_frame(frame: bytes) -> messages.AnyMessage:
    """Read a frame with today's code."""
    return asyncio.run(recording.read_back(frame))  # type: ignore[return-value]


def read_datagram(datagram: bytes) -> Any:
    """Read a datagram with today's code."""
    received: list[Any] = []
    socket = datagrams.DatagramSocket()
    for kind in DATAGRAM_TYPES:
        socket.handler_by_type[kind] = lambda one, _: received.append(one)
    socket.datagram_received(datagram, ('10.1.0.9', 7620))
    return received[0]


def common(fields: Any, known: Any) -> Any:
    """Return those of `fields` that are in `known`, at every depth."""
    if isinstance(known, dict) and isinstance(fields, dict):
        return {
            key: common(value, known[key])
            for key, value in fields.items()
            if key in known
        }
    if isinstance(known, list) and isinstance(fields, list):
        pairs = zip(fields, known, strict=True)
        return [common(one, other) for one, other in pairs]
    return fields


class RecordTest(unittest.TestCase):
    """Today's code reads what the build before wrote."""

    def test_record_has_each_type(self) -> None:
        self.assertEqual(
            {name.split()[0] for name in RECORD['links']},
            {one.__name__ for one in earlier.LINK_TYPES},
        )
        self.assertEqual(
            set(RECORD['datagrams']),
            {one.__name__ for one in earlier.DATAGRAM_TYPES},
        )
        self.assertEqual(
            set(RECORD['rows']),
            {one.__name__ for one in earlier.ROW_BY_TYPE},
        )

    def test_frozen_definitions_are_those_of_the_record(self) -> None:
        for one in RECORD['links'].values():
            read = earlier.read_frame(bytes.fromhex(one['bytes']))
            self.assertEqual(recording.fields_of(read), one['fields'])
        for one in RECORD['datagrams'].values():
            read = earlier.read_datagram(bytes.fromhex(one['bytes']))
            self.assertEqual(recording.fields_of(read), one['fields'])
        for kind, (table, name) in earlier.ROW_BY_TYPE.items():
            one = RECORD['rows'][kind.__name__]
            self.assertEqual((table, name), (one['table'], one['name']))
            read = msgspec.msgpack.decode(
                bytes.fromhex(one['bytes']), type=kind
            )
            self.assertEqual(recording.fields_of(read), one['fields'])

    def test_links_are_read(self) -> None:
        for name, one in RECORD['links'].items():
            with self.subTest(message=name):
                read = read_frame(bytes.fromhex(one['bytes']))
                self.assertEqual(type(read).__name__, name.split()[0])
                fields = recording.fields_of(read)
                self.assertEqual(common(fields, one['fields']), one['fields'])

    def test_datagrams_are_read(self) -> None:
        for name, one in RECORD['datagrams'].items():
            with self.subTest(datagram=name):
                read = read_datagram(bytes.fromhex(one['bytes']))
                self.assertEqual(type(read).__name__, name)
                fields = recording.fields_of(read)
                self.assertEqual(common(fields, one['fields']), one['fields'])

    def test_report_of_the_build_before_says_nothing_of_reached_targets(
        self,
    ) -> None:
        """What it doesn't list counts as reached, as in that build."""
        one = RECORD['datagrams']['OpenRequests']
        self.assertIsNone(read_datagram(bytes.fromhex(one['bytes'])).reached)

    def test_rows_are_read(self) -> None:
        for name, one in RECORD['rows'].items():
            with self.subTest(row=name):
                content = bytes.fromhex(one['bytes'])
                read = msgspec.msgpack.decode(content, type=ROW_TYPES[name])
                fields = recording.fields_of(read)
                self.assertEqual(common(fields, one['fields']), one['fields'])

    def test_lease_of_the_build_before_is_found(self) -> None:
        """An unreadable one would count as not held."""
        one = RECORD['rows']['Lease']
        row = StoreRow(
            one['table'],
            one['name'],
            bytes.fromhex(one['bytes']),
            RowVersion(8),
        )
        lease, version = leases.find_lease((row,))
        self.assertEqual(version, 8)
        assert lease is not None
        self.assertEqual(lease.instance_id, 'edge-1')

    def test_holder_of_the_build_before_may_name_no_target(self) -> None:
        """So may those before it, also one that has named when it ends."""
        content = bytes.fromhex(RECORD['rows']['Lease']['bytes'])
        lease = msgspec.msgpack.decode(content, type=leases.Lease)
        self.assertEqual(lease.unnamed_until, leases.HOLDER_UNNAMED)
        named = msgspec.structs.replace(lease, unnamed_until=leases.NO_UNNAMED)
        taken = msgspec.msgpack.decode(
            msgspec.msgpack.encode(named), type=earlier.Lease
        )
        passed_on = msgspec.msgpack.decode(
            msgspec.msgpack.encode(taken), type=leases.Lease
        )
        self.assertEqual(passed_on.unnamed_until, leases.HOLDER_UNNAMED)

    def test_any_service_may_have_a_map_after_the_build_before(self) -> None:
        """It drops which ones have."""
        content = bytes.fromhex(RECORD['rows']['Lease']['bytes'])
        lease = msgspec.msgpack.decode(content, type=leases.Lease)
        self.assertIsNone(lease.mapped_services)
        named = msgspec.structs.replace(lease, mapped_services=())
        taken = msgspec.msgpack.decode(
            msgspec.msgpack.encode(named), type=earlier.Lease
        )
        passed_on = msgspec.msgpack.decode(
            msgspec.msgpack.encode(taken), type=leases.Lease
        )
        self.assertIsNone(passed_on.mapped_services)

    def test_hop_requests_are_read(self) -> None:
        one = RECORD['hop_request']
        for key, headers in one['headers_by_key'].items():
            with self.subTest(key=key):
                read = hop_messages.decode_request(
                    headers, one['raw_path'], key, recording.SENT_AT
                )
                self.assertIsInstance(read, hop_messages.HopRequest)
                fields = recording.fields_of(read)
                self.assertEqual(common(fields, one['fields']), one['fields'])

    def test_hop_replies_are_read(self) -> None:
        for name, one in RECORD['hop_replies'].items():
            for key, headers in one['headers_by_key'].items():
                with self.subTest(reply=name, key=key):
                    read = hop_messages.decode_reply(headers, one['nonce'], key)
                    assert isinstance(read, hop_messages.HopReply)
                    self.assertEqual(read.outcome.value, one['outcome'])
                    self.assertEqual(read.status, one['status'])
                    self.assertEqual(read.failure.kind.value, one['kind'])
                    self.assertEqual(read.failure.reason, one['reason'])


class EarlierReaderTest(unittest.TestCase):
    """The build before reads what today's code writes."""

    def test_fields_are_only_added_at_the_end_with_defaults(self) -> None:
        earlier_by_name = {
            one.__name__: one
            for one in (
                *earlier.LINK_TYPES,
                *earlier.DATAGRAM_TYPES,
                *earlier.ROW_BY_TYPE,
                earlier.StoreRow,
                earlier.KeyRange,
                earlier.LimitReport,
            )
        }
        today = (
            *LINK_TYPES,
            *DATAGRAM_TYPES,
            *ROW_TYPES.values(),
            StoreRow,
            recording.KeyRange,
            recording.LimitReport,
        )
        compared = set()
        for one in today:
            known = earlier_by_name.get(one.__name__)
            if known is None:
                continue
            compared.add(one.__name__)
            count = len(known.__struct_fields__)
            with self.subTest(message=one.__name__):
                self.assertEqual(
                    one.__struct_fields__[:count], known.__struct_fields__
                )
                self.assertEqual(
                    one.__struct_config__.tag, known.__struct_config__.tag
                )
                for field in msgspec.structs.fields(one)[count:]:
                    self.assertFalse(field.required, field.name)
        self.assertEqual(compared, set(earlier_by_name))

    def test_links_are_read(self) -> None:
        for name, message in recording.LINK_MESSAGES.items():
            with self.subTest(message=name):
                read = earlier.read_frame(messages.encode(message))
                self.assertEqual(
                    recording.fields_of(read), RECORD['links'][name]['fields']
                )

    def test_datagrams_are_read(self) -> None:
        for name, datagram in recording.DATAGRAMS.items():
            with self.subTest(datagram=name):
                read = earlier.read_datagram(datagrams.encode(datagram))
                self.assertEqual(
                    recording.fields_of(read),
                    RECORD['datagrams'][name]['fields'],
                )

    def test_largest_numbers_and_lengths_are_read(self) -> None:
        limit = limit_reports.LimitReport(
            recording.TargetId('k1'),
            recording.StartedAt(1),
            limit_reports.MAX_RATE,
            limit_reports.MAX_AGE,
            limit_reports.MAX_AGE,
        )
        name = 'n' * datagrams.MAX_ID_LENGTH
        for datagram in (
            datagrams.OpenRequests(
                name,
                {name: datagrams.MAX_REQUESTS},
                name,
                datagrams.MAX_REQUESTS,
                unreachable=(name,) * MAX_LISTED_TARGETS,
                reached=(name,) * MAX_LISTED_TARGETS,
            ),
            datagrams.Permits(
                recording.TargetId('k1'),
                datagrams.MAX_DELAY,
                MAX_BATCH,
                datagrams.MAX_DELAY,
                limit,
            ),
        ):
            earlier.read_datagram(datagrams.encode(datagram))
        earlier.read_frame(messages.encode(messages.Limits([limit])))
        self.assertLessEqual(messages.MAX_FRAME_BYTES, earlier.MAX_FRAME_BYTES)

    def test_rows_are_read(self) -> None:
        for kind, (table, name) in earlier.ROW_BY_TYPE.items():
            with self.subTest(row=name):
                row = recording.STORE_ROWS[kind.__name__]
                self.assertEqual(row[:2], (table, name))
                content = recording.content_of(*row)
                read = msgspec.msgpack.decode(content, type=kind)
                self.assertEqual(
                    recording.fields_of(read),
                    RECORD['rows'][kind.__name__]['fields'],
                )

    def test_hop_requests_are_read(self) -> None:
        one = RECORD['hop_request']
        for key in one['headers_by_key']:
            with self.subTest(key=key):
                headers = dict(
                    hop_messages.encode_request(recording.HOP_REQUEST, key)
                )
                self.assertEqual(
                    earlier.read_hop_request(headers, one['raw_path'], key),
                    one['fields'],
                )

    def test_hop_replies_are_read(self) -> None:
        for name, reply in recording.HOP_REPLIES.items():
            for key in ('', recording.KEY):
                with self.subTest(reply=name, key=key):
                    headers = dict(hop_messages.encode_reply(reply, key))
                    expected = {
                        field: RECORD['hop_replies'][name][field]
                        for field in (
                            'nonce',
                            'outcome',
                            'status',
                            'kind',
                            'reason',
                        )
                    }
                    self.assertEqual(
                        earlier.read_hop_reply(headers, key), expected
                    )

    def test_hop_reply_with_any_kind_of_error_is_read(self) -> None:
        """The build before takes one that it can't read for an unknown end."""
        for kind in ErrorKind:
            reply = hop_messages.HopReply(
                'n',
                hop_messages.HopOutcome.not_run,
                failure=Failure(kind, 'reason'),
            )
            with self.subTest(kind=kind):
                headers = dict(hop_messages.encode_reply(reply, ''))
                read = earlier.read_hop_reply(headers, '')
                self.assertEqual(read['outcome'], 'not_run')


#: How a number may differ from that of the build before.
SAME = 'the same'
NOT_HIGHER = 'not higher'
NOT_LOWER = 'not lower'
RULE_BY_NAME = {
    # A keeper of one build follows one of the other.
    'PERMIT_LIFETIME': NOT_HIGHER,
    'MAX_BOOKING_DELAY': NOT_HIGHER,
    'KEEPER_CHANGE_DELAY': NOT_LOWER,
    # A leader of one build waits for what one of the other may still grant.
    'AUTHORITY_TERM': SAME,
    'MAX_GRANT_DURATION': SAME,
    'RENEWAL_INTERVAL': NOT_HIGHER,
    'STALE_AFTER': NOT_LOWER,
    # Silence between a leader and a follower.
    'HEARTBEAT_INTERVAL': NOT_HIGHER,
    'LEADER_TIMEOUT': NOT_LOWER,
    'HEAT_UPDATE_INTERVAL': NOT_HIGHER,
    'FOLLOWER_TIMEOUT': NOT_LOWER,
    'RECONNECT_PERIOD': NOT_LOWER,
    'HOP_PORT_OFFSET': SAME,
    'MAX_MESSAGE_AGE': NOT_LOWER,
}


class AgreementTest(unittest.TestCase):
    """What daemons of both builds rely on without a message."""

    def test_numbers(self) -> None:
        agreed = recording.agreed()
        self.assertEqual(set(agreed), set(RULE_BY_NAME))
        for name, value in agreed.items():
            earlier_value = RECORD['agreed'][name]
            rule = RULE_BY_NAME[name]
            with self.subTest(number=name, rule=rule):
                if rule is not NOT_LOWER:
                    self.assertLessEqual(value, earlier_value)
                if rule is not NOT_HIGHER:
                    self.assertGreaterEqual(value, earlier_value)

    def test_keepers(self) -> None:
        """Two builds that choose another keeper have two for a target."""
        self.assertEqual(recording.keepers(), RECORD['keepers'])


def raw_frame(*fields: Any) -> bytes:
    """Return the frame of a message of any type."""
    body = msgspec.msgpack.encode(fields)
    return struct.pack('!I', len(body)) + body


class Novel(messages.Message, frozen=True, array_like=True, tag=True):
    """A type of message that a later build may add."""

    since: typing.ClassVar[MessageVersion] = MessageVersion(MESSAGE_VERSION + 1)
    text: str = ''


class NovelDatagram(
    datagrams.OpenRequests, frozen=True, array_like=True, tag=9
):
    """A type of datagram that a later build may add."""

    since: typing.ClassVar[MessageVersion] = MESSAGE_VERSION


class FarewellTest(unittest.TestCase):
    """What a daemon that does not lead does, in a field added at the end."""

    def test_build_before_reads_it(self) -> None:
        for activity in Activity:
            farewell = messages.Farewell('10.1.0.0:7620', activity)
            read = earlier.read_frame(messages.encode(farewell))
            self.assertEqual(read.leader_address, '10.1.0.0:7620')

    def test_build_before_says_nothing_of_it(self) -> None:
        read = read_frame(bytes.fromhex(RECORD['links']['Farewell']['bytes']))
        self.assertIs(read.activity, Activity.unknown)

    def test_activity_of_a_later_build_is_unknown(self) -> None:
        """It would end the link as invalid, and name no leader."""
        read = read_frame(raw_frame('Farewell', 'a:1', 'dreaming', 3))
        self.assertEqual(read.leader_address, 'a:1')
        self.assertIs(read.activity, Activity.unknown)

    def test_activity_that_is_no_text_is_invalid(self) -> None:
        for value in ({}, [], b'\xff', 2.5):
            with (
                self.subTest(value=value),
                self.assertRaises(msgspec.DecodeError),
            ):
                read_frame(raw_frame('Farewell', 'a:1', value))


class VersionTest(unittest.IsolatedAsyncioTestCase):
    """A daemon sends its peers what their build can read."""

    def setUp(self) -> None:
        self.log = logbook.TestHandler(level=logbook.INFO)
        self.log.push_application()
        self.addCleanup(self.log.pop_application)

    def test_types_that_the_build_before_lacks_have_a_version(self) -> None:
        known = {
            one.__name__
            for one in (*earlier.LINK_TYPES, *earlier.DATAGRAM_TYPES)
        }
        for one in (*LINK_TYPES, *DATAGRAM_TYPES):
            with self.subTest(message=one.__name__):
                self.assertEqual(one.since == 0, one.__name__ in known)
                self.assertLessEqual(one.since, MESSAGE_VERSION)

    async def test_leader_sends_a_follower_what_it_reads(self) -> None:
        async with leader('') as leader_relay:
            host, port = address_of(leader_relay).rsplit(':')
            received = {}
            for version in (0, MESSAGE_VERSION, MESSAGE_VERSION + 1):
                name = f'v{version}'
                hello = messages.Hello(
                    name, 1, '10.1.0.9:7', {}, MessageVersion(version)
                )
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(messages.encode(hello))
                await until(
                    lambda name=name: name in leader_relay.follower_by_id
                )
                received[version] = (reader, writer)
            leader_relay.broadcast(Novel('x'))
            leader_relay.broadcast(messages.Moving(ServiceName('last'), []))
            for version, (reader, writer) in received.items():
                types = []
                while types[-1:] != ['Moving']:
                    message = await messages.receive(reader)
                    types.append(
                        message.type_name
                        if isinstance(message, UnknownMessage)
                        else type(message).__name__
                    )
                self.assertEqual('Novel' in types, version > MESSAGE_VERSION)
                writer.close()

    async def test_follower_reports_what_its_leader_reads(self) -> None:
        link = follower('')
        link._writer = mock.Mock()
        # Reports are dropped if a leader has not read that much.
        link._writer.transport.get_write_buffer_size.return_value = 0
        link._writer.transport.get_extra_info.return_value = None
        for version in (0, MESSAGE_VERSION + 1):
            pulse = messages.Pulse(True, 0, 0, MessageVersion(version))
            link.note_heartbeat(pulse)
            link.report(Novel('x'))  # type: ignore[arg-type]
            link.report(messages.KeysAsked({}, {}))
        sent = [call.args[0] for call in link._writer.write.call_args_list]
        self.assertEqual(
            [b'Novel' in one for one in sent], [False, True, False]
        )

    async def test_peers_of_other_versions_are_known_and_logged(self) -> None:
        socket = datagrams.DatagramSocket()
        own = datagrams.encode(datagrams.OpenRequests('edge-1', {}))
        old = bytes.fromhex(RECORD['datagrams']['OpenRequests']['bytes'])
        self.assertFalse(socket.can_read('10.1.0.9:7620', NovelDatagram))
        readable = []
        for datagram in (own, own, old, old, own):
            socket.datagram_received(datagram, ('10.1.0.9', 7620))
            readable.append(socket.can_read('10.1.0.9:7620', NovelDatagram))
        self.assertEqual(readable, [True, True, False, False, True])
        versions = [
            one.extra['fields']['version']
            for one in self.log.records
            if one.extra.get('name') == 'peer_version_changed'
        ]
        self.assertEqual(versions, [0, MESSAGE_VERSION])
        self.assertTrue(
            socket.can_read('10.1.0.8:7620', datagrams.OpenRequests)
        )

    async def test_daemon_names_its_version(self) -> None:
        async with deployment(gateways=2) as system:
            await until(
                lambda: any(
                    one.core._relay.follower_by_id for one in system.gateways
                )
            )
            for gateway in system.gateways:
                for one in gateway.core._relay.follower_by_id.values():
                    self.assertEqual(one.hello.message_version, MESSAGE_VERSION)
                link = gateway.core.membership.link
                if link.is_open:
                    self.assertEqual(
                        link._leader_message_version, MESSAGE_VERSION
                    )


class UnknownTypeTest(unittest.IsolatedAsyncioTestCase):
    """A type of message that a later build has added."""

    def setUp(self) -> None:
        self.log = logbook.TestHandler(level=logbook.INFO)
        self.log.push_application()
        self.addCleanup(self.log.pop_application)

    def logged(self) -> list[str]:
        """Return the names of the events, without those of other parts."""
        names = [one.extra.get('name') for one in self.log.records]
        return [
            name for name in names if name in ('link_rubbish', 'type_skipped')
        ]

    async def test_unknown_type_ends_the_link_of_a_follower(self) -> None:
        async def lead(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await messages.receive(reader)
            for _ in range(5):
                writer.write(raw_frame('NotKnownYet', 'x', {'y': 3}))
                writer.write(messages.encode(messages.Pulse(True, 0, 0)))
            writer.write(messages.encode(messages.Members({'a': 'b'}, True)))
            await reader.read()

        server = await asyncio.start_server(lead, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        link = follower('')
        self.assertIs(await link.follow(f'{host}:{port}'), LinkEnd.timed_out)
        self.assertEqual(link.addresses_by_id, {'a': 'b'})
        self.assertEqual(self.logged(), ['type_skipped'])
        server.close()

    async def test_unknown_type_ends_the_link_of_a_leader(self) -> None:
        async with leader('') as leader_relay:
            reports: list[messages.KeysAsked] = []
            leader_relay.on_keys_asked = reports.append
            host, port = address_of(leader_relay).rsplit(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(messages.encode(HELLO))
            for _ in range(5):
                writer.write(raw_frame('NotKnownYet'))
                writer.write(messages.encode(messages.KeysAsked({}, {})))
            await until(lambda: len(reports) == 5, 2.0)
            self.assertIn('edge-1', leader_relay.follower_by_id)
            self.assertEqual(self.logged(), ['type_skipped'])
            writer.close()

    async def test_unknown_type_of_datagram_is_logged_as_invalid(self) -> None:
        """Once a peer and minute, however many come."""
        socket = datagrams.DatagramSocket()
        unknown = msgspec.msgpack.encode([77, 'edge-1', {}])
        for _ in range(5):
            socket.datagram_received(unknown, ('10.1.0.9', 7620))
        self.assertEqual(self.logged(), ['type_skipped'])
        socket.datagram_received(unknown, ('10.1.0.8', 7620))
        self.assertEqual(self.logged(), ['type_skipped'] * 2)

    async def test_invalid_messages_are_still_rejected(self) -> None:
        """Only a message that names an unknown type is skipped."""
        for body in (
            b'',
            b'\xc1',
            msgspec.msgpack.encode([]),
            msgspec.msgpack.encode('Pulse'),
            msgspec.msgpack.encode([None, 1]),
            msgspec.msgpack.encode([7, 1]),
            msgspec.msgpack.encode(['Pulse', 'no', 0, 0]),
            msgspec.msgpack.encode(['NotKnownYet'])[:-1],
            b'\x91\x81\x81\x01\x02\x03',
        ):
            with (
                self.subTest(body=body),
                self.assertRaises(msgspec.DecodeError),
            ):
                await recording.read_back(struct.pack('!I', len(body)) + body)
        socket = datagrams.DatagramSocket()
        for body in (b'', b'\xc1', b'\x90', msgspec.msgpack.encode(['x'])):
            socket.datagram_received(body, ('10.1.0.9', 7620))
        self.assertEqual(self.logged(), ['link_rubbish'] * 4)


if __name__ == '__main__':
    unittest.main()
