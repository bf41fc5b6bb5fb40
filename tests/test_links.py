"""Tests of cassialever.links on transports in memory."""

import asyncio
import random
import unittest

import logbook

from cassialever import codec
from cassialever.calls import start_call
from cassialever.channels import ChannelState
from cassialever.errors import ErrorKind
from cassialever.exceptions import CodecError
from cassialever.frames import (
    Frame,
    FrameDecoder,
    FrameType,
    encode_credit,
    encode_frame,
)
from cassialever.handshake import Role, new_handshake
from cassialever.links import Link
from cassialever.messages import TargetLoad
from cassialever.settings import LinkSettings
from cassialever.types import Incarnation, InstanceId
from cassialever.wire import AnswerHead
from tests.link_helpers import make_head, make_settings

ANSWER = AnswerHead(200, (), TargetLoad('t1'))


class MemoryTransport(asyncio.Transport):
    """Hand what is written to the other end, unless it is held."""

    def __init__(self) -> None:
        """Start without an other end."""
        super().__init__()
        self.other: Link | None = None
        self.held: list[bytes] | None = None
        self.aborted = False

    def write(self, written: bytes) -> None:
        """Pass bytes on or hold them."""
        if self.held is not None:
            self.held.append(written)
        elif self.other:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.other.data_received, written)

    def get_write_buffer_size(self) -> int:
        """Return how many bytes are held."""
        return sum(map(len, self.held or ()))

    def abort(self) -> None:
        """Take note."""
        self.aborted = True

    def close(self) -> None:
        """Take note."""
        self.aborted = True


class Owner:
    """Keep what a link tells."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.requests: list[Frame] = []
        self.told: list[str] = []
        self.control: list[bytes] = []

    def link_ready(self, link: Link) -> None:
        """Take note."""
        self.told.append('ready')

    def link_draining(self, link: Link) -> None:
        """Take note."""
        self.told.append('draining')

    def link_ended(self, link: Link, reason: str) -> None:
        """Take note."""
        self.told.append(reason)

    def receive_request(self, link: Link, frame: Frame) -> None:
        """Take note."""
        self.requests.append(frame)

    def receive_control(self, link: Link, payload: bytes) -> None:
        """Take note."""
        self.control.append(payload)


class LinkCase(unittest.IsolatedAsyncioTestCase):
    """Both ends of one link."""

    async def asyncSetUp(self) -> None:
        """Shake hands and catch events."""
        self.log = logbook.TestHandler()
        self.log.push_application()
        self.addCleanup(self.log.pop_application)
        self.dialler, self.out = self.make_end(Role.dialler, 'a', 'b')
        self.acceptor, self.back = self.make_end(Role.acceptor, 'b')
        self.join()
        await self.settle()

    def make_end(
        self,
        role: Role,
        name: str,
        expected: str | None = None,
        key: str = 'key',
    ) -> tuple[Link, MemoryTransport]:
        """Make one end."""
        settings = make_settings(name, fleet_key=key)
        wanted = InstanceId(expected) if expected else None
        handshake = new_handshake(role, settings, Incarnation(1), wanted)
        limits = LinkSettings(ping_interval=1, silent_after=2)
        link = Link(limits, handshake, Owner())
        return link, MemoryTransport()

    def join(self) -> None:
        """Connect the ends."""
        self.out.other = self.acceptor
        self.back.other = self.dialler
        self.acceptor.connection_made(self.back)
        self.dialler.connection_made(self.out)

    async def settle(self) -> None:
        """Let all that is queued arrive."""
        for _ in range(20):
            await asyncio.sleep(0)

    def events(self) -> list[int]:
        """Return the numbers of the events so far."""
        return [entry.extra['event'] for entry in self.log.records]

    def inject(self, frame_type: FrameType, stream: int, payload: bytes = b''):
        """Have the dialler receive a frame."""
        frame = encode_frame(frame_type, stream, payload)
        self.dialler.data_received(frame)


class TestHandshake(LinkCase):
    """Nothing counts before the proof."""

    async def test_both_are_proved(self) -> None:
        """Each end knows who the other is."""
        self.assertEqual(self.dialler.proved_peer().instance, 'b')
        self.assertEqual(self.acceptor.proved_peer().instance, 'a')

    async def test_wrong_key_or_instance(self) -> None:
        """A peer of another fleet or name is dropped on both sides."""
        for expected, key in (('b', 'other'), ('c', 'key')):
            with self.subTest(expected=expected, key=key):
                self.dialler, self.out = self.make_end(
                    Role.dialler, 'a', expected, key
                )
                self.acceptor, self.back = self.make_end(Role.acceptor, 'b')
                self.join()
                await self.settle()
                self.assertIs(self.dialler.state, ChannelState.closed)
                self.assertIsNone(self.acceptor.peer)
                self.assertEqual(self.events()[-1], 302)

    async def test_own_proof_sent_back(self) -> None:
        """A stranger can't prove itself by echoing what it is sent."""
        self.dialler, self.out = self.make_end(Role.dialler, 'a', 'a')
        self.out.other = self.dialler
        self.dialler.connection_made(self.out)
        await self.settle()
        self.assertIs(self.dialler.state, ChannelState.closed)

    async def test_frames_before_the_proof(self) -> None:
        """A stranger's request or long hello drops it unread."""
        for rubbish in (
            encode_frame(FrameType.request, 1, b'x'),
            encode_frame(FrameType.proof, 0, b'x' * 32),
            encode_frame(FrameType.hello, 0, b'x' * 2000),
            b'GET / HTTP/1.1\r\n\r\n',
        ):
            with self.subTest(rubbish=rubbish[:12]):
                link, transport = self.make_end(Role.acceptor, 'b')
                link.connection_made(transport)
                link.data_received(rubbish)
                self.assertTrue(transport.aborted)
                self.assertEqual(self.events()[-1], 302)

    async def test_stranger_that_dawdles(self) -> None:
        """An unproved connection ends even while it sends."""
        link, transport = self.make_end(Role.acceptor, 'b')
        link.connection_made(transport)
        for _ in range(3):
            link.data_received(b'\0')
            link.tick()
        self.assertTrue(transport.aborted)


class TestStreams(LinkCase):
    """Streams and their ends."""

    def start(self, request_id: str = 'r1'):
        """Start a call; return it and the task that waits for its answer."""
        call = start_call(self.dialler, make_head(request_id))
        return call, asyncio.ensure_future(call.answer(None))

    async def test_head_that_never_left(self) -> None:
        """Held back on this machine, it was truly not run."""
        self.out.held = []
        _, answer = self.start()
        await self.settle()
        self.dialler.close('test')
        self.assertEqual((await answer).kind, ErrorKind.peer_unreachable)

    async def test_head_queued_behind_others(self) -> None:
        """What left counts as seen, what was held behind it does not."""
        _, first = self.start('r1')
        await self.settle()
        self.out.held = []
        _, second = self.start('r2')
        await self.settle()
        self.dialler.connection_lost(None)
        self.assertEqual((await first).kind, ErrorKind.outcome_unknown)
        self.assertEqual((await second).kind, ErrorKind.peer_unreachable)

    async def test_late_frames_reach_nobody(self) -> None:
        """Frames of a cancelled stream are dropped; its id is not reused."""
        call, answer = self.start('r1')
        call.cancel()
        answer.cancel()
        _, second = self.start('r2')
        self.inject(FrameType.answer, 1, codec.encode(ANSWER))
        self.inject(FrameType.body, 1, b'late')
        self.inject(FrameType.end, 1)
        await self.settle()
        self.assertFalse(second.done())
        ids = [frame.stream_id for frame in self.acceptor._owner.requests]
        self.assertEqual(ids, [1, 2])
        self.assertIs(self.dialler.state, ChannelState.ready)

    async def test_rubbish_drops_the_link(self) -> None:
        """Each kind of rubbish ends the link with its event."""
        window = self.dialler.settings.window_bytes
        part = b'x' * self.dialler.settings.frame_bytes
        answer = codec.encode(ANSWER)
        for frames in (
            [(FrameType.answer, 9, answer)],
            [(FrameType.request, 1, b'')],
            [(FrameType.body, 1, b'before the answer')],
            [(FrameType.answer, 1, b'\0\2\x0c')],
            [(FrameType.answer, 1, answer), (FrameType.answer, 1, answer)],
            [(FrameType.answer, 1, answer)]
            + [(FrameType.body, 1, part)] * (window // len(part) + 1),
            [(FrameType.window, 1, b'\0')],
            [(FrameType.body, 1, part + b'x')],
            [(FrameType.body, 0, b'')],
            [(FrameType.hello, 0, b'')],
        ):
            with self.subTest(frames=[frame[0] for frame in frames]):
                await self.asyncSetUp()
                self.start()
                for frame in frames:
                    self.inject(*frame)
                self.assertTrue(self.out.aborted)
                self.assertEqual(self.events()[-1], 303)

    async def test_endless_control_message(self) -> None:
        """A control message over the limit drops the link."""
        part = b'x' * self.dialler.settings.frame_bytes
        for _ in range(self.dialler.settings.message_bytes // len(part) + 1):
            self.inject(FrameType.control_part, 0, part)
        self.assertEqual(self.events()[-1], 303)

    async def test_sender_waits_for_credit(self) -> None:
        """No more than the peer's window is sent unread."""
        call, _ = self.start()
        body = asyncio.create_task(call._sender.send(b'x' * 300_000))
        await self.settle()
        self.assertFalse(body.done())
        self.assertEqual(call._sender.credit.left, 0)
        self.inject(FrameType.window, 1, encode_credit(100_000))
        await body


class TestSilence(LinkCase):
    """Links that have gone silent."""

    async def test_silent_peer(self) -> None:
        """Quiet for longer than the limit, the link ends."""
        self.back.held = []
        for _ in range(4):
            self.dialler.tick()
            await self.settle()
        self.assertIs(self.dialler.state, ChannelState.closed)
        self.assertIn(304, self.events())

    async def test_idle_peer_stays(self) -> None:
        """Pongs keep an idle link alive."""
        for _ in range(10):
            self.dialler.tick()
            await self.settle()
        self.assertIs(self.dialler.state, ChannelState.ready)

    async def test_own_pause(self) -> None:
        """Ticks missed by a paused process say nothing of the peer."""
        self.dialler.tick()
        await self.settle()
        self.dialler.tick()
        self.assertIs(self.dialler.state, ChannelState.ready)


class TestFrames(unittest.TestCase):
    """Frames cut from a stream of bytes."""

    def test_any_cut_gives_the_same_frames(self) -> None:
        """Frames don't depend on how their bytes arrive."""
        frames = [
            Frame(FrameType.body, number, bytes(number * 7))
            for number in range(40)
        ]
        stream = b''.join(
            encode_frame(frame.frame_type, frame.stream_id, frame.payload)
            for frame in frames
        )
        source = random.Random(1)
        for _ in range(50):
            decoder = FrameDecoder(1000)
            got = []
            start = 0
            while start < len(stream):
                stop = start + source.randrange(1, 100)
                got.extend(decoder.feed(stream[start:stop]))
                start = stop
            self.assertEqual(got, frames)

    def test_unknown_type(self) -> None:
        """A frame of an unknown type is rubbish."""
        with self.assertRaises(CodecError):
            list(FrameDecoder(10).feed(b'\0\0\0\0\x63\0\0\0\0'))
