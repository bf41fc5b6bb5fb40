"""Tests of cassialever.peers over loopback."""

import asyncio
import io
import random
import unittest
from collections.abc import AsyncIterator

import msgspec
import thriftpy2

from cassialever import codec
from cassialever.dialling import PeerAddress
from cassialever.errors import EntryRef, ErrorKind, Failure
from cassialever.messages import HolderAnswer, RequestHead, TargetLoad
from cassialever.peers import Peers
from cassialever.settings import (
    InstanceSettings,
    LinkSettings,
    PlatformSettings,
    SecuritySettings,
    Settings,
)
from cassialever.types import (
    CallerId,
    CatalogueVersion,
    DataCentreId,
    EntryKind,
    Incarnation,
    InstanceId,
    RequestId,
    ServiceName,
    TargetId,
)

# No link is ticked by the clock in these tests.
NEVER = 3600


def make_settings(name: str, **links: object) -> Settings:
    """Return settings of one daemon on loopback."""
    return Settings(
        instance=InstanceSettings(
            instance_id=InstanceId(name),
            data_centre=DataCentreId('dc'),
            address='127.0.0.1',
            peer_port=0,
        ),
        platform=PlatformSettings(table_url='', instances_url=''),
        security=SecuritySettings(fleet_key='key', operator_credential='c'),
        links=LinkSettings(
            **{'ping_interval': NEVER, 'silent_after': 3 * NEVER, **links}
        ),
    )


def make_head(request_id: str = 'r1', **fields: object) -> RequestHead:
    """Return the head of a request."""
    base = {
        'request_id': RequestId(request_id),
        'caller': CallerId('caller'),
        'service': ServiceName('registry'),
        'target_id': TargetId('t1'),
        'method': 'GET',
        'path': '/registry/é',
        'headers': (('Accept', '*/*'), ('Accept', 'text/plain')),
        'time_left_ms': 1000,
        'repeatable': True,
        'has_body': False,
    }
    return RequestHead(**{**base, **fields})


async def chunks(*parts: bytes | Failure) -> AsyncIterator:
    """Yield the parts."""
    for part in parts:
        yield part


class Echo:
    """Answer with the request's own body, or with what a test set."""

    def __init__(self) -> None:
        """Start without an answer of its own."""
        self.heads: list[RequestHead] = []
        self.failure: Failure | None = None
        self.parts: tuple = ()
        self.gate: asyncio.Event | None = None
        self.cancelled: list[str] = []

    async def handle(
        self, head: RequestHead, body: AsyncIterator[bytes] | None
    ) -> HolderAnswer | Failure:
        """Answer a request."""
        self.heads.append(head)
        try:
            if self.gate:
                await self.gate.wait()
        except asyncio.CancelledError:
            self.cancelled.append(head.request_id)
            raise
        if self.failure:
            return self.failure
        load = TargetLoad(head.target_id, 1, 2, 3, 4.5)
        return HolderAnswer(
            200, (('X', 'y'),), load, body or chunks(*self.parts)
        )


class PeersCase(unittest.IsolatedAsyncioTestCase):
    """Two daemons, a and b; a calls b."""

    async def asyncSetUp(self) -> None:
        """Start both."""
        self.handler = Echo()
        self.a = self.make_peers('a')
        self.b = self.make_peers('b')
        port = await self.b.start(self.handler)
        self.a.address_by_instance[InstanceId('b')] = PeerAddress(
            '127.0.0.1', port
        )

    def make_peers(self, name: str, **links: object) -> Peers:
        """Make the links of one daemon, ended with the test."""
        peers = Peers(
            make_settings(name, **links), Incarnation(7), random.Random(1)
        )
        self.addCleanup(peers.close)
        return peers

    async def call(
        self, head: RequestHead, body: AsyncIterator | None = None
    ) -> HolderAnswer | Failure:
        """Call b from a."""
        return await self.a.call(InstanceId('b'), head, body)


class Greeting(msgspec.Struct, frozen=True):
    """A control message of these tests; `note` is a reserved-word stand-in."""

    service: str
    refs: tuple[EntryRef, ...] = ()
    note: str | None = None


GREETING_THRIFT = thriftpy2.load_fp(
    io.StringIO("""
struct EntryRef { 1: string kind, 2: string name, 3: i64 version }
struct Greeting { 1: string service_, 2: list<EntryRef> refs, 3: string note }
"""),
    'greeting_thrift',
)
codec.register(60_001, Greeting, GREETING_THRIFT.Greeting)


async def read(body: AsyncIterator[bytes | Failure]) -> list[bytes | Failure]:
    """Read a body to its end."""
    return [part async for part in body]


class TestCall(PeersCase):
    """Calls and their answers."""

    async def test_head_and_answer_travel_whole(self) -> None:
        """Every field of head and answer arrives as it was."""
        self.handler.parts = (b'one', b'two')
        head = make_head()
        answer = await self.call(head)
        self.assertEqual(self.handler.heads, [head])
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers, (('X', 'y'),))
        self.assertEqual(answer.load, TargetLoad('t1', 1, 2, 3, 4.5))
        self.assertEqual(b''.join(await read(answer.body)), b'onetwo')

    async def test_long_bodies_both_ways(self) -> None:
        """Bodies of many windows pass in order."""
        parts = [bytes([n]) * 100_000 for n in range(20)]
        answer = await self.call(make_head(has_body=True), chunks(*parts))
        whole = b''.join(await read(answer.body))
        self.assertEqual(whole, b''.join(parts))

    async def test_failure_travels_whole(self) -> None:
        """Kind, reason, entry and time to wait arrive as they were."""
        ref = EntryRef(EntryKind.target, 't1', CatalogueVersion(3))
        self.handler.failure = Failure(ErrorKind.target_shed, 'shed', ref, 1.5)
        answer = await self.call(make_head())
        self.assertEqual(answer, self.handler.failure)


class TestControl(PeersCase):
    """Control messages."""

    async def test_arrives_whole_with_proved_sender(self) -> None:
        """A message longer than a frame arrives, with who sent it."""
        got = asyncio.get_running_loop().create_future()
        self.b.on_control(Greeting, lambda *told: got.set_result(told))
        ref = EntryRef(EntryKind.target, 't1', CatalogueVersion(3))
        message = Greeting('x' * 200_000, (ref, ref))
        failure = await self.a.send_control(InstanceId('b'), message)
        self.assertIsNone(failure)
        self.assertEqual(await got, ('a', 7, message))

    async def test_unknown_instance(self) -> None:
        """A peer without an address can not be reached."""
        failure = await self.a.send_control(InstanceId('z'), Greeting('x'))
        self.assertEqual(failure.kind, ErrorKind.peer_unreachable)
