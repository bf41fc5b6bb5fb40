"""Tests of sending to a target, against a peer that misbehaves on purpose."""

import asyncio
import socket
import struct
import unittest

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind
from cassialever.fleet.model import Target, TargetState
from cassialever.gateway.outcomes import Attempt, AttemptOutcome
from cassialever.gateway.sender import TargetRequest, TargetSender
from cassialever.policy.loads import LoadTracker
from standins.listening import LOOPBACK

SIGNED = 'Attempt-Id: a1\r\nResponse-Seal: s\r\nInstance-Load: 2,1,6,150\r\n'
#: Time left to a request, in seconds.
LEFT = 0.5


def answer(head: str, body: str = '', status: str = '200 OK') -> bytes:
    """Return an answer as it goes over the wire."""
    return f'HTTP/1.1 {status}\r\n{head}\r\n{body}'.encode()


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset, as a killed machine does."""
    sock = writer.get_extra_info('socket')
    no_linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


class SenderCase(unittest.IsolatedAsyncioTestCase):
    """A sender, and a target whose answers are raw bytes."""

    async def asyncSetUp(self) -> None:
        self.reply = answer(f'{SIGNED}Content-Length: 2\r\n', 'ok')
        self.closes = False
        self.resets = False
        self.heads: list[bytes] = []
        self.connections = 0
        self.closed_by_peer = 0
        self.server = await asyncio.start_server(self.talk, LOOPBACK, 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.target = Target(
            't0', 'registry', f'{host}:{port}', 'west', 6, TargetState.ready,
            1, 0,
        )  # fmt: skip
        self.loads = LoadTracker()
        self.sender = TargetSender(self.loads, SystemClock())
        await self.sender.start()

    async def asyncTearDown(self) -> None:
        await self.sender.stop()
        self.server.close()

    async def talk(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                self.heads.append(await reader.readuntil(b'\r\n\r\n'))
                writer.write(self.reply)
                await writer.drain()
                if self.resets:
                    reset(writer)
                if self.closes:
                    writer.close()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_by_peer += 1
        finally:
            writer.close()

    async def send(self, **headers: str) -> Attempt:
        request = TargetRequest('a1', 'GET', '/x', headers, b'')
        return await self.sender.send(request, self.target, LEFT)


class AnswersTest(SenderCase):
    """What counts as whole, as not run and as unknown."""

    async def test_whole_answer_and_load(self) -> None:
        found = await self.send()
        self.assertIs(found.outcome, AttemptOutcome.answered)
        assert found.answer is not None
        self.assertEqual(found.answer.body, b'ok')
        self.assertGreater(
            self.loads.of('t0').estimated_requests(
                asyncio.get_running_loop().time()
            ),
            0,
        )

    async def test_body_cut_short_is_never_whole(self) -> None:
        self.closes = True
        for reset in (False, True):
            self.resets = reset
            for reply in (
                answer(f'{SIGNED}Content-Length: 9\r\n', 'ok'),
                answer(f'{SIGNED}Transfer-Encoding: chunked\r\n', '9\r\nok'),
                answer(
                    f'{SIGNED}Transfer-Encoding: chunked\r\n', '2\r\nok\r\n'
                ),
                answer(SIGNED)[:40],
                b'',
            ):
                with self.subTest(reply=reply, reset=reset):
                    self.reply = reply
                    found = await self.send()
                    self.assertIs(found.outcome, AttemptOutcome.unknown)

    async def test_body_without_a_length_that_is_reset(self) -> None:
        self.reply = answer(SIGNED, 'half')
        self.resets = True
        found = await self.send()
        self.assertIs(found.outcome, AttemptOutcome.unknown)

    async def test_body_without_a_length_that_is_closed(self) -> None:
        self.reply = answer(SIGNED, 'all of it')
        self.closes = True
        found = await self.send()
        assert found.answer is not None
        self.assertEqual(found.answer.body, b'all of it')

    async def test_body_that_stalls_costs_one_limit(self) -> None:
        self.reply = answer(f'{SIGNED}Content-Length: 9\r\n', 'ok')
        async with asyncio.timeout(2 * LEFT + 1):
            found = await self.send()
        self.assertIs(found.outcome, AttemptOutcome.unknown)
        assert found.failure is not None
        self.assertIs(found.failure.kind, ErrorKind.deadline_passed)

    async def test_answer_of_another_request(self) -> None:
        """It is not delivered, and its connection is not used again."""
        other = SIGNED.replace('a1', 'a0')
        self.reply = answer(f'{other}Content-Length: 2\r\n', 'ok')
        found = await self.send()
        self.assertIs(found.outcome, AttemptOutcome.unknown)
        await self.send()
        self.assertEqual(self.connections, 2)

    async def test_second_answer_on_a_connection_reaches_nobody(self) -> None:
        twice = answer(f'{SIGNED}Content-Length: 2\r\n', 'ok')
        late = answer(f'{SIGNED}Content-Length: 4\r\n', 'late')
        self.reply = twice + late
        first = await self.send()
        self.reply = twice
        second = await self.send()
        bodies = [one.answer.body for one in (first, second) if one.answer]
        self.assertNotIn(b'late', bodies)

    async def test_unsigned_answer_is_no_answer(self) -> None:
        self.reply = answer('Attempt-Id: a1\r\nContent-Length: 2\r\n', 'ok')
        self.assertIs((await self.send()).outcome, AttemptOutcome.unknown)

    async def test_refusals_that_promise(self) -> None:
        for status, head in (
            ('503 Busy', 'Not-Executed: 1\r\n'),
            ('421 Misdirected', ''),
            ('409 Conflict', 'Not-Executed: 1\r\n'),
        ):
            self.reply = answer(f'{head}Content-Length: 0\r\n', status=status)
            with self.subTest(status=status):
                self.assertIs(
                    (await self.send()).outcome, AttemptOutcome.not_run
                )

    async def test_refusal_without_a_promise(self) -> None:
        self.reply = answer('Content-Length: 0\r\n', status='503 Busy')
        self.assertIs((await self.send()).outcome, AttemptOutcome.unknown)


class ConnectionsTest(SenderCase):
    """Connections that are lost, refused or given up."""

    async def test_lost_connection_is_not_sent_on_again(self) -> None:
        """A connection that dies as it is used again leaves doubt."""
        await self.send()
        self.reply = b''
        self.resets = True
        found = await self.send()
        self.assertIs(found.outcome, AttemptOutcome.unknown)
        self.assertEqual(len(self.heads), 2)

    async def test_nothing_listens(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        found = await self.send()
        self.assertIs(found.outcome, AttemptOutcome.not_run)
        now = SystemClock().monotonic()
        self.assertFalse(self.loads.of('t0').is_reachable(now))

    async def test_given_up_request_closes_its_connection(self) -> None:
        self.reply = b''
        sending = asyncio.create_task(self.send())
        while not self.heads:
            await asyncio.sleep(0.01)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        async with asyncio.timeout(0.5):
            while not self.closed_by_peer:
                await asyncio.sleep(0.01)
        self.assertEqual(self.loads.of('t0').open_requests, 0)


class HeadersTest(SenderCase):
    """What passes to a target."""

    async def test_headers_of_one_connection_stay_here(self) -> None:
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
        head = self.heads[0].decode().lower()
        for absent in ('x-mine', 'keep-alive: 5', 'h2c', 'forged', '999999'):
            with self.subTest(absent=absent):
                self.assertNotIn(absent, head)
        for present in ('x-other: 2', 'expect-instance: t0', 'attempt-id: a1'):
            with self.subTest(present=present):
                self.assertIn(present, head)

    async def test_trace_context_is_the_one_of_the_hop(self) -> None:
        request = TargetRequest('a1', 'GET', '/x', {}, b'', 'from the hop')
        await self.sender.send(request, self.target, LEFT)
        self.assertIn(b'traceparent: from the hop', self.heads[0])


if __name__ == '__main__':
    unittest.main()
