"""Tests of the sender, against a target that misbehaves on purpose."""

import asyncio
import random
import socket
import struct
import unittest
from unittest import mock

import aiohttp

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind
from cassialever.fleet.model import Target, TargetState
from cassialever.gateway.outcomes import (
    Attempt,
    AttemptOutcome,
    TargetRefusal,
)
from cassialever.gateway.sender import TargetRequest, TargetSender
from cassialever.platform.sessions import idle_connections
from cassialever.policy.limits import TargetLimits
from cassialever.policy.loads import LoadTracker
from cassialever.policy.paths import TargetPaths
from standins.listening import LOOPBACK

SIGNED_HEADERS = (
    'Attempt-Id: a1\r\nResponse-Seal: s\r\nInstance-Load: 2,1,6,150\r\n'
)
#: Time limit of a request, in seconds.
TIME_LIMIT = 0.5
#: How long each connection takes over a full link, in seconds.
CONNECT_TIME = 0.4


def raw_answer(head: str, body: str = '', status: str = '200 OK') -> bytes:
    """Return an answer as raw bytes."""
    return f'HTTP/1.1 {status}\r\n{head}\r\n{body}'.encode()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset, as a killed machine does."""
    sock = writer.get_extra_info('socket')
    no_linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


class SenderCase(unittest.IsolatedAsyncioTestCase):
    """A sender, and a target whose answers are raw bytes."""

    async def asyncSetUp(self) -> None:
        self.reply = raw_answer(f'{SIGNED_HEADERS}Content-Length: 2\r\n', 'ok')
        self.closes_connection = False
        self.reads_bodies = True
        self.has_ended = asyncio.Event()
        self.resets_connection = False
        self.request_heads: list[bytes] = []
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.closed_by_peer = 0
        self.server = await asyncio.start_server(
            self.serve_connection, LOOPBACK, 0
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.target = Target(
            't0', 'registry', f'{host}:{port}', 'west', 6, TargetState.ready,
            1, 0,
        )  # fmt: skip
        self.loads = LoadTracker()
        self.limits = TargetLimits()
        self.paths = TargetPaths('west', random.Random(1))
        self.sender = TargetSender(
            self.loads, self.limits, self.paths, SystemClock()
        )
        await self.sender.start()

    async def asyncTearDown(self) -> None:
        await self.sender.stop()
        self.server.close()

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                self.request_heads.append(await reader.readuntil(b'\r\n\r\n'))
                if not self.reads_bodies:
                    await self.has_ended.wait()
                    break
                writer.write(self.reply)
                await writer.drain()
                if self.resets_connection:
                    reset_connection(writer)
                if self.closes_connection:
                    writer.close()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_by_peer += 1
        finally:
            writer.close()

    async def send(self, **headers: str) -> Attempt:
        request = TargetRequest('a1', 'GET', '/x', headers, b'')
        return await self.sender.send(request, self.target, TIME_LIMIT)


class AnswersTest(SenderCase):
    """How answers map to the outcome of an attempt."""

    async def test_whole_answer_is_accepted_and_load_recorded(self) -> None:
        attempt = await self.send()
        self.assertIs(attempt.outcome, AttemptOutcome.answered)
        assert attempt.answer is not None
        self.assertEqual(attempt.answer.body, b'ok')
        self.assertGreater(
            self.loads.of('t0').estimated_requests(
                asyncio.get_running_loop().time()
            ),
            0,
        )

    async def test_body_cut_short_is_never_whole(self) -> None:
        self.closes_connection = True
        for reset in (False, True):
            self.resets_connection = reset
            for reply in (
                raw_answer(f'{SIGNED_HEADERS}Content-Length: 9\r\n', 'ok'),
                raw_answer(
                    f'{SIGNED_HEADERS}Transfer-Encoding: chunked\r\n', '9\r\nok'
                ),
                raw_answer(
                    f'{SIGNED_HEADERS}Transfer-Encoding: chunked\r\n',
                    '2\r\nok\r\n',
                ),
                raw_answer(SIGNED_HEADERS)[:40],
                b'',
            ):
                with self.subTest(reply=reply, reset=reset):
                    self.reply = reply
                    attempt = await self.send()
                    self.assertIs(attempt.outcome, AttemptOutcome.unknown)

    async def test_reset_body_without_length_is_never_whole(self) -> None:
        self.reply = raw_answer(SIGNED_HEADERS, 'half')
        self.resets_connection = True
        attempt = await self.send()
        self.assertIs(attempt.outcome, AttemptOutcome.unknown)

    async def test_closed_body_without_length_is_whole(self) -> None:
        self.reply = raw_answer(SIGNED_HEADERS, 'all of it')
        self.closes_connection = True
        attempt = await self.send()
        assert attempt.answer is not None
        self.assertEqual(attempt.answer.body, b'all of it')

    async def test_body_that_a_target_does_not_read_may_have_run(self) -> None:
        """It reads the head and no more; an upload isn't sent again then."""
        self.reads_bodies = False
        for length in (70_000, 20_000_000):
            request = TargetRequest('a1', 'POST', '/x', {}, bytes(length))
            attempt = await self.sender.send(request, self.target, TIME_LIMIT)
            with self.subTest(length=length):
                self.assertIs(attempt.outcome, AttemptOutcome.unknown)
        self.assertEqual(len(self.request_heads), 2)
        self.has_ended.set()

    async def test_stalled_body_times_out_once(self) -> None:
        self.reply = raw_answer(f'{SIGNED_HEADERS}Content-Length: 9\r\n', 'ok')
        async with asyncio.timeout(2 * TIME_LIMIT + 1):
            attempt = await self.send()
        self.assertIs(attempt.outcome, AttemptOutcome.unknown)
        assert attempt.failure is not None
        self.assertIs(attempt.failure.kind, ErrorKind.deadline_passed)

    async def test_answer_of_another_request_is_rejected(self) -> None:
        """It is not delivered, and its connection is not reused."""
        other = SIGNED_HEADERS.replace('a1', 'a0')
        self.reply = raw_answer(f'{other}Content-Length: 2\r\n', 'ok')
        attempt = await self.send()
        self.assertIs(attempt.outcome, AttemptOutcome.unknown)
        await self.send()
        self.assertEqual(self.connections, 2)

    async def test_surplus_answer_on_a_connection_is_discarded(self) -> None:
        twice = raw_answer(f'{SIGNED_HEADERS}Content-Length: 2\r\n', 'ok')
        late = raw_answer(f'{SIGNED_HEADERS}Content-Length: 4\r\n', 'late')
        self.reply = twice + late
        first = await self.send()
        self.reply = twice
        second = await self.send()
        bodies = [
            attempt.answer.body for attempt in (first, second) if attempt.answer
        ]
        self.assertNotIn(b'late', bodies)

    async def test_unsigned_answer_is_not_accepted(self) -> None:
        self.reply = raw_answer('Attempt-Id: a1\r\nContent-Length: 2\r\n', 'ok')
        self.assertIs((await self.send()).outcome, AttemptOutcome.unknown)

    async def test_refusals_that_state_not_run(self) -> None:
        for status, head in (
            ('503 Busy', 'Not-Executed: 1\r\n'),
            ('421 Misdirected', ''),
            ('409 Conflict', 'Not-Executed: 1\r\n'),
        ):
            self.reply = raw_answer(
                f'Attempt-Id: a1\r\n{head}Content-Length: 0\r\n',
                status=status,
            )
            with self.subTest(status=status):
                self.assertIs(
                    (await self.send()).outcome, AttemptOutcome.not_run
                )

    async def test_refusals_of_both_kinds_of_misdirected_requests(self) -> None:
        for head, refusal, word in (
            ('Instance-Id: t9\r\n', TargetRefusal.replaced, 't9 has'),
            ('Not-Executed: 1\r\n', TargetRefusal.key_not_held, 'hold'),
            ('Instance-Id: t0\r\n', TargetRefusal.key_not_held, 'hold'),
        ):
            self.reply = raw_answer(
                f'Attempt-Id: a1\r\n{head}Content-Length: 0\r\n',
                status='421 Misdirected',
            )
            with self.subTest(head=head):
                attempt = await self.send()
                self.assertIs(attempt.refusal, refusal)
                self.assertIn(word, attempt.reason)

    async def test_refusal_that_does_not_state_not_run(self) -> None:
        for head in ('', 'Attempt-Id: a1\r\n'):
            self.reply = raw_answer(
                f'{head}Content-Length: 0\r\n', status='503 Busy'
            )
            with self.subTest(head=head):
                self.assertIs(
                    (await self.send()).outcome, AttemptOutcome.unknown
                )


class AnotherTargetTest(SenderCase):
    """Another target answers at the address of the expected one."""

    def answer_as_another(self) -> None:
        self.reply = raw_answer(
            'Attempt-Id: a1\r\nInstance-Id: t9\r\nInstance-Load: 9,9,6,300'
            '\r\nContent-Length: 0\r\n',
            status='421 Misdirected',
        )

    async def test_its_answers_say_nothing_of_the_expected_target(self) -> None:
        self.answer_as_another()
        for _ in range(5):
            await self.send()
        load = self.loads.of('t0')
        now = SystemClock().monotonic()
        self.assertEqual(load.estimated_requests(now), 0)
        self.assertEqual(load.slowdown(now), 1)
        self.assertFalse(load.is_failing(now))
        self.assertFalse(load.was_used)

    async def test_connections_to_the_process_before_are_closed(self) -> None:
        await asyncio.gather(*(self.send() for _ in range(3)))
        session = self.sender._session
        assert session is not None
        address = self.target.address
        kept = idle_connections(session, address)
        self.assertEqual(len(kept), 3)
        self.answer_as_another()
        await self.send()
        left = idle_connections(session, address)
        self.assertLessEqual(len(left), 1)


class FullLinkTest(SenderCase):
    """Every connection takes longer than usual, since the own link is full."""

    async def send_late(self) -> list[Attempt]:
        """Send requests with 2 s left, each on a connection that is late."""
        self.closes_connection = True
        create = aiohttp.TCPConnector._create_connection

        async def create_late(*arguments):
            await asyncio.sleep(CONNECT_TIME)
            return await create(*arguments)

        with mock.patch.object(
            aiohttp.TCPConnector, '_create_connection', create_late
        ):
            return [await self.send_in(2) for _ in range(6)]

    async def test_full_link_is_taken_for_targets_that_are_gone(self) -> None:
        attempts = await self.send_late()
        # The first may be given up before the delay is known.
        self.assertEqual(
            {attempt.outcome for attempt in attempts[1:]},
            {AttemptOutcome.answered},
        )

    async def test_target_gets_the_time_left_before_its_connection(
        self,
    ) -> None:
        await self.send_late()
        self.assertGreaterEqual(len(self.request_heads), 5)
        for head in self.request_heads:
            handed = int(head.split(b'Deadline-Ms: ')[1].split(b'\r\n')[0])
            self.assertLessEqual(handed, (2 - CONNECT_TIME) * 1000)

    async def send_in(self, time_left: float) -> Attempt:
        request = TargetRequest('a1', 'GET', '/x', {}, b'')
        return await self.sender.send(request, self.target, time_left)


class LateAnswerTest(SenderCase):
    """Bytes that arrive when no request is open on a connection."""

    async def send_after(self, late: bytes, pause: float) -> Attempt:
        """Return a second attempt, after surplus bytes on its connection."""
        await self.send()
        self.reply = raw_answer(f'{SIGNED_HEADERS}Content-Length: 2\r\n', '2.')
        self.writers[0].write(late)
        await asyncio.sleep(pause)
        return await self.send()

    async def test_late_answer_never_reaches_the_next_caller(self) -> None:
        without_id = SIGNED_HEADERS.replace('Attempt-Id: a1\r\n', '')
        other = SIGNED_HEADERS.replace('a1', 'a0')
        for late in (
            raw_answer(f'{other}Content-Length: 4\r\n', 'late'),
            raw_answer(f'{without_id}Content-Length: 4\r\n', 'late'),
            # States that a request has not run.
            raw_answer(
                'Not-Executed: 1\r\nContent-Length: 0\r\n', status='503 Busy'
            ),
            b'no answer at all',
        ):
            # Read before the next request is sent, or still in the socket.
            for pause in (0.05, 0):
                await self.asyncTearDown()
                await self.asyncSetUp()
                with self.subTest(late=late, pause=pause):
                    attempt = await self.send_after(late, pause)
                    assert attempt.answer is not None, attempt
                    self.assertEqual(attempt.answer.body, b'2.')
                    self.assertEqual(self.connections, 2)

    async def test_signed_answer_without_id_is_not_accepted(self) -> None:
        """It may be a late answer to another request."""
        without_id = SIGNED_HEADERS.replace('Attempt-Id: a1\r\n', '')
        self.reply = raw_answer(f'{without_id}Content-Length: 4\r\n', 'late')
        attempt = await self.send()
        self.assertIs(attempt.outcome, AttemptOutcome.unknown)

    async def test_connection_closed_while_idle_is_not_reused(self) -> None:
        """A request is not sent to a connection that has ended."""
        await self.send()
        self.writers[0].get_extra_info('socket').shutdown(socket.SHUT_WR)
        attempt = await self.send()
        self.assertIs(attempt.outcome, AttemptOutcome.answered)


class ConnectionsTest(SenderCase):
    """Connections that are lost, refused or cancelled."""

    async def test_request_is_not_resent_after_a_lost_connection(self) -> None:
        """If a reused connection dies, the request may have run."""
        await self.send()
        self.reply = b''
        self.resets_connection = True
        attempt = await self.send()
        self.assertIs(attempt.outcome, AttemptOutcome.unknown)
        self.assertEqual(len(self.request_heads), 2)

    async def test_refused_connection_counts_as_not_run(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        attempt = await self.send()
        self.assertIs(attempt.outcome, AttemptOutcome.not_run)
        now = SystemClock().monotonic()
        self.assertFalse(self.loads.of('t0').is_reachable(now))

    async def test_cancelled_request_closes_its_connection(self) -> None:
        self.reply = b''
        sending = asyncio.create_task(self.send())
        while not self.request_heads:
            await asyncio.sleep(0.01)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        async with asyncio.timeout(0.5):
            while not self.closed_by_peer:
                await asyncio.sleep(0.01)
        self.assertEqual(self.loads.of('t0').open_requests, 0)


class PathsTest(SenderCase):
    """What attempts tell of the path to the target."""

    def is_in_doubt(self) -> bool:
        """Return whether the path is up but to be probed."""
        now = SystemClock().monotonic()
        is_up = self.paths.is_reachable('t0', now)
        return is_up and self.paths.direct.due_probes(now, 1) == ['t0']

    async def test_refused_connection_is_a_failure_of_the_path(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        await self.send()
        now = SystemClock().monotonic()
        self.assertFalse(self.paths.is_reachable('t0', now))
        self.assertEqual(self.paths.unanswered.silent_since(), {})

    async def test_reset_connection_is_to_be_probed(self) -> None:
        """A target that is full resets connections too."""
        self.reply = b''
        self.resets_connection = True
        await self.send()
        self.assertTrue(self.is_in_doubt())

    async def test_answer_clears_a_doubt(self) -> None:
        self.paths.direct.record_doubt('t0', 0)
        await self.send()
        self.assertFalse(self.paths.direct.has_probes())

    async def test_request_is_waiting_until_the_head_of_its_answer(
        self,
    ) -> None:
        """A long body is no silence."""
        self.reply = b''
        sending = asyncio.create_task(self.send())
        while not self.request_heads:
            await asyncio.sleep(0.01)
        self.assertIn('t0', self.paths.unanswered.silent_since())
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        self.assertEqual(self.paths.unanswered.silent_since(), {})
        self.reply = raw_answer(f'{SIGNED_HEADERS}Content-Length: 9\r\n', 'ok')
        sending = asyncio.create_task(self.send())
        while len(self.request_heads) < 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        self.assertEqual(self.paths.unanswered.silent_since(), {})
        await sending

    async def test_idle_connections_are_closed_and_others_stay(self) -> None:
        """Requests that may run once wait for their answers."""
        await self.send()
        self.reply = b''
        waiting = asyncio.create_task(self.send())
        while len(self.request_heads) < 2:
            await asyncio.sleep(0.01)
        self.reply = raw_answer(f'{SIGNED_HEADERS}Content-Length: 2\r\n', 'ok')
        await self.send()
        self.assertEqual(self.connections, 2)
        self.sender.close_idle('127.0.0.1:1')
        await self.send()
        self.assertEqual(self.connections, 2)
        self.sender.close_idle(self.target.address)
        async with asyncio.timeout(0.2):
            while not self.closed_by_peer:
                await asyncio.sleep(0.01)
        self.assertEqual(self.closed_by_peer, 1)
        self.assertFalse(waiting.done())
        await self.send()
        self.assertEqual(self.connections, 3)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)

    async def test_keepalive_alone_decides_when_a_silent_peer_is_lost(
        self,
    ) -> None:
        """A user timeout would end probes of the kernel sooner or later."""
        await self.send()
        sockets = [
            protocol.transport.get_extra_info('socket')
            for idle in self.sender._session.connector._conns.values()
            for protocol, _ in idle
        ]
        self.assertEqual(len(sockets), 1)
        for option, expected in (
            (socket.TCP_USER_TIMEOUT, 0),
            (socket.TCP_KEEPIDLE, 1),
            (socket.TCP_KEEPINTVL, 1),
            (socket.TCP_KEEPCNT, 2),
        ):
            with self.subTest(option=option):
                self.assertEqual(
                    sockets[0].getsockopt(socket.IPPROTO_TCP, option), expected
                )


class HeadersTest(SenderCase):
    """Which headers are forwarded to a target."""

    async def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        await self.send(
            Connection='X-Mine, close', **{
                'X-Mine': '1',
                'X-Other': '2',
                'Keep-Alive': '5',
                'Upgrade': 'h2c',
                'Expect-Instance': 'forged',
                'Deadline-Ms': '999999',
                'Attempt-Id': 'a1',
            },
        )  # fmt: skip
        head = self.request_heads[0].decode().lower()
        for absent in ('x-mine', 'keep-alive: 5', 'h2c', 'forged', '999999'):
            with self.subTest(absent=absent):
                self.assertNotIn(absent, head)
        for present in ('x-other: 2', 'expect-instance: t0', 'attempt-id: a1'):
            with self.subTest(present=present):
                self.assertIn(present, head)

    async def test_trace_context_is_that_of_the_hop(self) -> None:
        request = TargetRequest('a1', 'GET', '/x', {}, b'', 'from the hop')
        await self.sender.send(request, self.target, TIME_LIMIT)
        self.assertIn(b'traceparent: from the hop', self.request_heads[0])


if __name__ == '__main__':
    unittest.main()
