"""Tests of answers whose head never ends, and of bytes that follow one."""

import asyncio
import unittest

import msgspec

from cassialever.gateway.outcomes import AttemptOutcome
from cassialever.platform.answer_heads import MAX_INTERIM_ANSWERS
from tests.endless_peer import endless_peer, watched_loop
from tests.fleet_helpers import until
from tests.test_gateway_sender import SIGNED_HEADERS, SenderCase, raw_answer

INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
BEGINNING = f'HTTP/1.1 200 OK\r\n{SIGNED_HEADERS}'.encode()
#: Most that may be sent and not be read: buffers of the sockets, and one read.
MAX_SENT_BYTES = 16 * 2**20
#: Most processor time of one turn of the loop, in seconds.
MAX_TURN = 0.05
#: Time in which an answer beyond its limits is given up, in seconds.
REJECTION_TIME = 0.3
#: Time for which a connection is idle before more bytes follow, in seconds.
PAUSE = 0.1
#: Requests after which a target that fails them all is avoided.
FAILED_REQUESTS = 3


class EndlessHeadTest(SenderCase):
    """What becomes of a request whose answer has a head without end."""

    async def check_rejected(self, beginning: bytes, piece: bytes) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(FAILED_REQUESTS):
            with endless_peer(beginning, piece) as peer:
                self.target = msgspec.structs.replace(
                    self.target, address=peer.address
                )
                begun_at = loop.time()
                async with watched_loop() as longest_turn:
                    attempt = await self.send()
            self.assertLess(loop.time() - begun_at, REJECTION_TIME)
            self.assertIs(attempt.outcome, AttemptOutcome.unknown)
            self.assertLess(longest_turn(), MAX_TURN)
            self.assertLess(peer.sent_bytes, MAX_SENT_BYTES)
        self.assertTrue(self.loads.of('t0').is_failing(loop.time()))

    async def test_interim_answers_without_end_hold_the_loop(self) -> None:
        # All other requests of the daemon took up to 1.3 s meanwhile.
        await self.check_rejected(b'', INTERIM * 20_000)

    async def test_interim_answers_one_by_one_never_end(self) -> None:
        # The request waited for the end of its time.
        self.reply = INTERIM * (MAX_INTERIM_ANSWERS + 1)
        attempt = await self.send()
        self.assertIs(attempt.outcome, AttemptOutcome.unknown)
        assert attempt.failure is not None
        self.assertIn('interim', attempt.failure.reason)
        await until(lambda: self.closed_by_peer)

    async def test_few_interim_answers_are_skipped(self) -> None:
        self.reply = INTERIM * MAX_INTERIM_ANSWERS + self.reply
        for _ in range(FAILED_REQUESTS):
            attempt = await self.send()
            self.assertIs(attempt.outcome, AttemptOutcome.answered)
        self.assertEqual(self.connections, 1)

    async def test_answer_that_switches_protocols_is_none(self) -> None:
        # It was taken for a complete answer of status 101.
        upgrade = (
            f'{SIGNED_HEADERS}Connection: upgrade\r\nUpgrade: websocket\r\n'
        )
        for head in (upgrade, SIGNED_HEADERS):
            self.reply = raw_answer(head, status='101 Switching Protocols')
            attempt = await self.send()
            self.assertIs(attempt.outcome, AttemptOutcome.unknown)

    async def test_status_that_http_does_not_have_is_no_answer(self) -> None:
        # Callers got answers of status 000, and of 600 and above.
        head = f'{SIGNED_HEADERS}Content-Length: 2\r\n'
        for status in ('000', '000 OK', '001 X', '099 X', '600 X', '999 X'):
            with self.subTest(status=status):
                self.reply = raw_answer(head, 'ok', status)
                attempt = await self.send()
                self.assertIs(attempt.outcome, AttemptOutcome.unknown)
                self.assertIsNone(attempt.answer)

    async def test_offer_of_another_protocol_is_no_switch(self) -> None:
        head = f'{SIGNED_HEADERS}Connection: upgrade\r\nUpgrade: h2c\r\n'
        self.reply = raw_answer(f'{head}Content-Length: 2\r\n', 'ok')
        attempt = await self.send()
        self.assertIs(attempt.outcome, AttemptOutcome.answered)

    async def test_short_fields_take_a_head_beyond_its_limit(self) -> None:
        # 128 lines of 8,190 bytes are 1 MB for each connection.
        await self.check_rejected(BEGINNING, b'X-A: ' + b'y' * 4000 + b'\r\n')

    async def test_fields_one_by_one_are_limited(self) -> None:
        await self.check_rejected(BEGINNING, b'X: y\r\n')

    async def test_line_without_end_is_limited(self) -> None:
        await self.check_rejected(BEGINNING + b'X-A: ', b'y' * 65_536)

    async def test_bytes_that_are_no_answer_are_limited(self) -> None:
        await self.check_rejected(b'', b'\x00\x13gx' * 16_384)

    async def test_long_head_is_cut_before_it_takes_memory(self) -> None:
        # 120 fields of 8,000 bytes were accepted: 960,000 bytes.
        field = 'X-{}: ' + 'y' * 8000 + '\r\n'
        head = ''.join(field.format(number) for number in range(120))
        self.reply = raw_answer(
            f'{SIGNED_HEADERS}{head}Content-Length: 2\r\n', 'ok'
        )
        attempt = await self.send()
        self.assertIs(attempt.outcome, AttemptOutcome.unknown)

    async def test_trailer_without_end_is_limited(self) -> None:
        beginning = BEGINNING + (
            b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n'
        )
        await self.check_rejected(beginning, b'X: y\r\n' * 10_000)


class ExtraBytesTest(SenderCase):
    """Bytes that follow a complete answer on its connection."""

    async def test_bytes_after_an_answer_are_kept_without_end(self) -> None:
        # Each answer that nothing asked for was kept, on an idle connection.
        answer = raw_answer(f'{SIGNED_HEADERS}Content-Length: 2\r\n', 'ok')
        for piece in (INTERIM * 2000, answer * 500, b'\x00' * 65_536):
            with self.subTest(piece=piece[:20]):
                await self.check_closed(answer, piece)

    async def check_closed(self, answer: bytes, piece: bytes) -> None:
        with endless_peer(answer, piece) as peer:
            peer.pause = PAUSE
            self.target = msgspec.structs.replace(
                self.target, address=peer.address
            )
            async with watched_loop() as longest_turn:
                attempt = await self.send()
                await asyncio.sleep(REJECTION_TIME)
        assert attempt.answer is not None
        self.assertEqual(attempt.answer.body, b'ok')
        self.assertLess(peer.sent_bytes, MAX_SENT_BYTES)
        self.assertLess(longest_turn(), MAX_TURN)


if __name__ == '__main__':
    unittest.main()
