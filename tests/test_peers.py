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
from cassialever.exceptions import LinkClosedError
from cassialever.messages import HolderAnswer, RequestHead, TargetLoad
from cassialever.peers import Peers
from cassialever.types import (
    CatalogueVersion,
    EntryKind,
    Incarnation,
    InstanceId,
)
from tests.link_helpers import Relay, make_head, make_settings, until


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
        self.got: list[bytes] = []
        self.body_error: Exception | None = None

    async def handle(
        self, head: RequestHead, body: AsyncIterator[bytes] | None
    ) -> HolderAnswer | Failure:
        """Answer a request."""
        self.heads.append(head)
        try:
            await self.wait(body)
        except asyncio.CancelledError:
            self.cancelled.append(head.request_id)
            raise
        if self.failure:
            return self.failure
        load = TargetLoad(head.target_id, 1, 2, 3, 4.5)
        answer = body or self.make_body()
        return HolderAnswer(200, (('X', 'y'),), load, answer)

    def make_body(self) -> AsyncIterator:
        """Return the body that a test set."""
        return chunks(*self.parts)

    async def wait(self, body: AsyncIterator[bytes] | None) -> None:
        """Wait for the gate, taking the body meanwhile."""
        if self.gate is None:
            return
        try:
            async for chunk in body or chunks():
                self.got.append(chunk)
        except LinkClosedError as error:
            self.body_error = error
        await self.gate.wait()


class PeersCase(unittest.IsolatedAsyncioTestCase):
    """Two daemons, a and b; a calls b."""

    async def asyncSetUp(self) -> None:
        """Start both."""
        self.handler = Echo()
        self.a = self.make_peers('a')
        self.b = self.make_peers('b')
        self.relay = Relay()
        port = await self.relay.start(await self.b.start(self.handler))
        self.addCleanup(self.relay.close)
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

    async def test_too_long(self) -> None:
        """A message that the peer would drop the link for is not sent."""
        message = Greeting('x' * 5_000_000)
        failure = await self.a.send_control(InstanceId('b'), message)
        self.assertEqual(failure.kind, ErrorKind.internal)

    async def test_unknown_instance(self) -> None:
        """A peer without an address can not be reached."""
        failure = await self.a.send_control(InstanceId('z'), Greeting('x'))
        self.assertEqual(failure.kind, ErrorKind.peer_unreachable)


class LossCase(PeersCase):
    """Calls that their handler keeps waiting."""

    async def start_call(self, **fields: object) -> asyncio.Task:
        """Start a call that its handler keeps waiting."""
        self.handler.gate = asyncio.Event()
        body = fields.pop('body', None)
        calling = asyncio.create_task(self.call(make_head(**fields), body))
        await until(lambda: self.handler.heads)
        return calling


class TestLosses(LossCase):
    """Links that end while requests are on them."""

    async def test_nobody_there(self) -> None:
        """Not connected, it was not run; the next try waits a little."""
        self.relay.close()
        first = await self.call(make_head())
        self.assertEqual(first.kind, ErrorKind.peer_unreachable)
        second = await self.call(make_head())
        self.assertEqual(second.kind, ErrorKind.peer_unreachable)
        self.assertGreater(second.retry_after, 0)

    async def test_lost_before_the_answer(self) -> None:
        """The peer saw it, so the outcome is unknown; a new link serves."""
        calling = await self.start_call()
        self.relay.cut()
        self.assertEqual((await calling).kind, ErrorKind.outcome_unknown)
        await until(lambda: self.handler.cancelled)
        self.handler.gate.set()
        answer = await self.call(make_head('r2'))
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.relay.accepted, 2)

    async def test_not_repeatable_work_goes_on(self) -> None:
        """What may not run twice is not broken off by a lost link."""
        calling = await self.start_call(repeatable=False)
        self.relay.cut()
        await calling
        self.handler.gate.set()
        await self.b.stop()
        self.assertEqual(self.handler.cancelled, [])

    async def test_lost_within_the_answer(self) -> None:
        """A body cut short ends with a failure."""
        gate = asyncio.Event()

        async def endless() -> AsyncIterator[bytes]:
            yield b'part'
            await gate.wait()

        self.handler.parts = (b'',)
        answer = await self.call(make_head(has_body=True), endless())
        self.assertEqual(await anext(answer.body), b'part')
        self.relay.cut()
        *_, last = await read(answer.body)
        self.assertEqual(last.kind, ErrorKind.answer_cut)

    async def test_failure_within_the_answer(self) -> None:
        """A body that broke off behind the peer ends with its failure."""
        cut = Failure(ErrorKind.answer_cut, 'the target broke off')
        self.handler.parts = (b'part', cut)
        answer = await self.call(make_head())
        self.assertEqual(await read(answer.body), [b'part', cut])

    async def test_silent_link_is_replaced(self) -> None:
        """Silence fails what is on the link; the next call opens another."""
        calling = await self.start_call()
        self.relay.frozen = True
        for _ in range(5):
            self.a.tick()
        self.assertEqual((await calling).kind, ErrorKind.outcome_unknown)
        self.relay.frozen = False
        self.handler.gate.set()
        self.assertEqual((await self.call(make_head('r2'))).status, 200)

    async def test_request_body_that_breaks_off(self) -> None:
        """The peer never takes half a body for a whole one."""

        async def broken() -> AsyncIterator[bytes]:
            yield b'half'
            await until(lambda: self.handler.got)
            raise ConnectionError

        calling = await self.start_call(has_body=True, body=broken())
        failure = await calling
        self.assertEqual(failure.kind, ErrorKind.outcome_unknown)
        await until(lambda: self.handler.cancelled)
        self.assertEqual(self.handler.got, [b'half'])

    async def test_link_lost_within_the_request_body(self) -> None:
        """A handler that goes on sees the break as an error."""
        gate = asyncio.Event()

        async def endless() -> AsyncIterator[bytes]:
            yield b'half'
            await gate.wait()

        calling = await self.start_call(
            has_body=True, repeatable=False, body=endless()
        )
        await until(lambda: self.handler.got)
        self.relay.cut()
        await calling
        await until(lambda: self.handler.body_error)
        self.handler.gate.set()


class TestCancel(LossCase):
    """Calls that are given up."""

    async def test_cancelled_call(self) -> None:
        """Cancelling the caller's task cancels the handler's."""
        calling = await self.start_call()
        calling.cancel()
        await until(lambda: self.handler.cancelled)
        self.assertEqual(self.relay.accepted, 1)

    async def test_body_given_up(self) -> None:
        """Closing an answer's body closes its source at the peer."""
        closed = asyncio.Event()

        async def source() -> AsyncIterator[bytes]:
            try:
                while True:
                    yield bytes(10_000)
            finally:
                closed.set()

        self.handler.parts = ()
        chunked = source()
        self.handler.make_body = lambda: chunked
        answer = await self.call(make_head())
        await anext(answer.body)
        await answer.body.aclose()
        await asyncio.wait_for(closed.wait(), 5)


class TestStop(LossCase):
    """A graceful stop."""

    async def test_in_progress_finishes(self) -> None:
        """What is running ends whole; new requests are truly refused."""
        self.handler.parts = (b'whole',)
        calling = await self.start_call()
        stopping = asyncio.create_task(self.b.stop())
        await asyncio.sleep(0)
        refused = await self.call(make_head('r2'))
        self.assertIn(
            refused.kind, (ErrorKind.stopping, ErrorKind.peer_unreachable)
        )
        self.handler.gate.set()
        answer = await calling
        self.assertEqual(await read(answer.body), [b'whole'])
        await stopping
        # Told to go away, the dialler has ended the link after its last.
        dialler = self.a._dialler_by_instance[InstanceId('b')]
        await until(lambda: not dialler.links)
        self.assertEqual(
            [head.request_id for head in self.handler.heads], ['r1']
        )
