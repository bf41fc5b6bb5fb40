"""Record one message of each type, written by the build that is imported.

Run from a checkout of that build, whose package is then imported:

    cd CHECKOUT
    PYTHONPATH=. python PATH/recording.py COMMIT > PATH/COMMIT.json

The record holds, for each message, its bytes in hexadecimal digits or its
headers, and its fields as that build read them back. It is made once for each
build that today's code has to work with, and never by today's code.
"""

import asyncio
import base64
import importlib
import sys
from typing import Any

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet import datagrams, messages
from cassialever.fleet import lease as leases
from cassialever.fleet.limit_reports import LimitReport
from cassialever.fleet.model import KeyMap, KeyRange, StartedAt, StoreRow
from cassialever.fleet.view import LEADER_ROW, OWN_TABLE, Leadership
from cassialever.gateway import hop_messages
from cassialever.keys.mapwriter import row_name
from cassialever.platform import rows
from cassialever.policy.permits import KeeperDirectory
from cassialever.types import (
    Fence,
    InstanceId,
    RowVersion,
    ServiceName,
    TargetId,
)

#: The fleet key of the hops that are recorded with a proof.
KEY = 'a key of the fleet'
#: When the recorded hops were sent, in seconds of the wall clock.
SENT_AT = 1_700_000_000.125

LIMIT = LimitReport(
    TargetId('k1'), StartedAt(1_700_000_000_000), 2.4, 0.5, None
)
ENDED = LimitReport(TargetId('k2'), StartedAt(7), 300.0, 1.5, 0.25)
RANGES = (
    KeyRange(0, 32767, TargetId('k1'), StartedAt(1_700_000_000_000), Fence(9)),
    KeyRange(32768, 65535, TargetId('k2'), StartedAt(7), Fence(11), 'state'),
)
KEY_MAP = KeyMap(ServiceName('registry'), RANGES)
ROWS = [
    StoreRow('servers', 'k1', b'{"address": "10.1.0.9:8707"}', RowVersion(90)),
    StoreRow('servers', 'k2', None, RowVersion(91)),
]
#: Long enough to be sent compressed.
LONG_ROWS = [
    StoreRow('op', f'route-{number}', b'{"a": 1}' * 20, RowVersion(number))
    for number in range(30)
]

LINK_MESSAGES: dict[str, messages.Message] = {
    'Hello': messages.Hello(
        'edge-1', 3, '10.1.0.1:7620', {'op': 4, 'servers': 9}
    ),
    'Proof': messages.Proof(bytes(range(32)), b'\xff' * 32),
    'Whole': messages.Whole('servers', ROWS, RowVersion(91)),
    'Whole compressed': messages.Whole('op', LONG_ROWS, RowVersion(29)),
    'Changed': messages.Changed('servers', ROWS[1:], RowVersion(91)),
    'KeysChanged': messages.KeysChanged(
        'keys/registry', RowVersion(3), list(RANGES), RowVersion(5)
    ),
    'Moving': messages.Moving(ServiceName('registry'), [(0, 99), (200, 65535)]),
    'Members': messages.Members(
        {'edge-0': '10.1.0.0:7620', 'edge-1': '10.1.0.1:7620'},
        is_complete=True,
        is_confirmed=False,
    ),
    'Pulse': messages.Pulse(True, 0.25, 1.5),
    'Farewell': messages.Farewell('10.1.0.0:7620'),
    'Deposed': messages.Deposed(RowVersion(17)),
    'KeysAsked': messages.KeysAsked(
        {ServiceName('registry'): [5, 5, 65535]}, {TargetId('k1'): (3, 0.75)}
    ),
    'Limits': messages.Limits([LIMIT, ENDED]),
}
DATAGRAMS: dict[str, datagrams.Datagram] = {
    'OpenRequests': datagrams.OpenRequests(
        'edge-1', {'k1': 3}, 'astana-a', 7, True, True, ('k1', 'k2')
    ),
    'PermitRequest': datagrams.PermitRequest(TargetId('k1'), 3, True, LIMIT),
    'Permits': datagrams.Permits(TargetId('k1'), 0.25, 3, 0.125, None),
}
HOP_REQUEST = hop_messages.HopRequest(
    'POST',
    '/issue/a%20b?c=d',
    TargetId('k1'),
    StartedAt(1_700_000_000_000),
    1.5,
    InstanceId('edge-1'),
    12,
    SENT_AT,
    '0123456789abcdef',
)
HOP_REPLIES: dict[str, hop_messages.HopReply] = {
    'relayed': hop_messages.HopReply(
        '0123456789abcdef', hop_messages.HopOutcome.relayed, 200
    ),
    'not run': hop_messages.HopReply(
        '0123456789abcdef',
        hop_messages.HopOutcome.not_run,
        failure=Failure(ErrorKind.target_unreachable, 'no path'),
    ),
    'unknown': hop_messages.HopReply(
        '0123456789abcdef',
        hop_messages.HopOutcome.unknown,
        failure=Failure(ErrorKind.outcome_unknown, 'reset'),
    ),
}
STORE_ROWS: dict[str, tuple[str, str, Any]] = {
    'Lease': (
        leases.LEASE_TABLE,
        leases.LEASE_ROW,
        leases.Lease('edge-1', 3, 1234.5, True, {'edge-0': 1230.25}),
    ),
    'Leadership': (
        OWN_TABLE,
        LEADER_ROW,
        Leadership('edge-1', '10.1.0.1:7620', 3),
    ),
    'KeyMap': (OWN_TABLE, row_name(ServiceName('registry')), KEY_MAP),
}


def content_of(table: str, name: str, value: Any) -> bytes:
    """Return a row's content as it leaves the daemon for the store."""
    content = msgspec.msgpack.encode(value)
    body = rows.encode_transaction(
        rows.Transaction((), (rows.Write(table, name, content),))
    )
    return base64.b64decode(msgspec.json.decode(body)['writes'][0]['value'])


async def read_back(frame: bytes) -> messages.Message:
    """Return the message of a frame."""
    reader = asyncio.StreamReader()
    reader.feed_data(frame)
    reader.feed_eof()
    return await messages.receive(reader)


def fields_of(message: Any) -> Any:
    """Return the fields of a message by name, for JSON."""
    if isinstance(message, msgspec.Struct):
        return {
            name: fields_of(getattr(message, name))
            for name in message.__struct_fields__
        }
    if isinstance(message, dict):
        return {key: fields_of(one) for key, one in message.items()}
    if isinstance(message, (list, tuple)):
        return [fields_of(one) for one in message]
    if isinstance(message, bytes):
        return message.hex()
    return message


#: Numbers on which daemons of both builds rely, by module.
AGREED_BY_MODULE = {
    'policy.permits': (
        'PERMIT_LIFETIME',
        'MAX_BOOKING_DELAY',
        'KEEPER_CHANGE_DELAY',
    ),
    'fleet.lease': ('RENEWAL_INTERVAL', 'STALE_AFTER', 'AUTHORITY_TERM'),
    'keys.assignments': ('MAX_GRANT_DURATION',),
    'fleet.relay': (
        'HEARTBEAT_INTERVAL',
        'FOLLOWER_TIMEOUT',
        'RECONNECT_PERIOD',
    ),
    'fleet.following_leader': ('LEADER_TIMEOUT',),
    'keys.heat': ('HEAT_UPDATE_INTERVAL',),
    'gateway.settings': ('HOP_PORT_OFFSET',),
    'gateway.hop_messages': ('MAX_MESSAGE_AGE',),
}


def agreed() -> dict[str, float]:
    """Return the numbers on which daemons of both builds rely."""
    return {
        name: getattr(importlib.import_module(f'cassialever.{module}'), name)
        for module, names in AGREED_BY_MODULE.items()
        for name in names
    }


def keepers() -> dict[str, str | None]:
    """Return the keepers of some targets among nine daemons."""
    directory = KeeperDirectory()
    directory.update({f'edge-{number}' for number in range(9)}, 0)
    return {
        target_id: directory.keeper_of(TargetId(target_id))
        for target_id in (f'target-{number}' for number in range(30))
    }


def record(commit: str) -> dict[str, Any]:
    """Return the record of the build that is imported."""
    links = {}
    for name, message in LINK_MESSAGES.items():
        frame = messages.encode(message)
        read = asyncio.run(read_back(frame))
        links[name] = {'bytes': frame.hex(), 'fields': fields_of(read)}
    return {
        'build': commit,
        'agreed': agreed(),
        'keepers': keepers(),
        'links': links,
        'datagrams': {
            name: {
                'bytes': datagrams.encode(datagram).hex(),
                'fields': fields_of(datagram),
            }
            for name, datagram in DATAGRAMS.items()
        },
        'rows': {
            name: {
                'table': table,
                'name': row,
                'bytes': content_of(table, row, value).hex(),
                'fields': fields_of(value),
            }
            for name, (table, row, value) in STORE_ROWS.items()
        },
        'hop_request': {
            'raw_path': HOP_REQUEST.raw_path,
            'headers_by_key': {
                key: dict(hop_messages.encode_request(HOP_REQUEST, key))
                for key in ('', KEY)
            },
            'fields': fields_of(HOP_REQUEST),
        },
        'hop_replies': {
            name: {
                'headers_by_key': {
                    key: dict(hop_messages.encode_reply(reply, key))
                    for key in ('', KEY)
                },
                'nonce': reply.nonce,
                'outcome': reply.outcome.value,
                'status': reply.status,
                'kind': reply.failure.kind.value,
                'reason': reply.failure.reason,
            }
            for name, reply in HOP_REPLIES.items()
        },
    }


if __name__ == '__main__':
    sys.stdout.buffer.write(
        msgspec.json.format(msgspec.json.encode(record(sys.argv[1]))) + b'\n'
    )
