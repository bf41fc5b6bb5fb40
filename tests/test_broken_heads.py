"""A target that breaks its answer off within the head, at any byte."""

import asyncio
import os
import random
import unittest

import msgspec

from cassialever.gateway.outcomes import AttemptOutcome
from cassialever.gateway.sender import TargetRequest
from tests.hop_helpers import (
    cut_off_daemon,
    raw_server,
    readdress,
    set_paths,
    wait_for_budget,
)
from tests.test_gateway_sender import SenderCase, reset_connection

BODY = b'all of the body'
FRAMINGS = {
    'length': (f'Content-Length: {len(BODY)}\r\n', BODY),
    'chunks': (
        'Transfer-Encoding: chunked\r\n',
        b'%x\r\n%s\r\n0\r\n\r\n' % (len(BODY), BODY),
    ),
    'empty': ('Content-Length: 0\r\n', b''),
    'none': ('', BODY),
}
ENDS = ('close', 'half-close', 'reset')
SEED = 352
#: Positions that are drawn for each framing and end; more with
#: SPOILED_ANSWERS=COUNT.
DRAWN_POSITIONS = int(os.environ.get('SPOILED_ANSWERS', '4'))
#: How long a caller waits for an answer, in seconds.
TIMEOUT = 5.0


def whole_answer(framing: str, request_id: str = 'a1') -> bytes:
    """Return a signed answer, whose framing is the last of its headers."""
    header, body = FRAMINGS[framing]
    head = (
        f'HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\n'
        f'Response-Seal: s\r\n{header}\r\n'
    )
    return head.encode() + body


def head_length(answer: bytes) -> int:
    return answer.index(b'\r\n\r\n') + 4


def end_connection(writer: asyncio.StreamWriter, end: str) -> None:
    if end == 'reset':
        reset_connection(writer)
    elif end == 'half-close':
        writer.write_eof()
    else:
        writer.close()


class CuttingTarget:
    """Sends the first bytes of an answer, and ends the connection."""

    def __init__(self) -> None:
        self.framing = 'length'
        self.position = 0
        self.end = 'close'
        self.status = '200'
        self.requests = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        self.requests += 1
        answer = whole_answer(self.framing).replace(
            b' 200 ', f' {self.status} '.encode(), 1
        )
        writer.write(answer[: self.position])
        await writer.drain()
        end_connection(writer, self.end)


class SenderTest(SenderCase):
    """Every position of the head, at the sender."""

    async def test_no_part_of_a_head_is_an_answer(self) -> None:
        cases = 0
        target = CuttingTarget()
        async with raw_server(target.serve) as address:
            at = msgspec.structs.replace(self.target, address=address)
            for framing in FRAMINGS:
                target.framing = framing
                for end in ENDS:
                    target.end = end
                    answer = whole_answer(framing)
                    for position in range(head_length(answer)):
                        target.position = position
                        request = TargetRequest('a1', 'GET', '/x', {}, b'')
                        attempt = await self.sender.send(request, at, 1.0)
                        cases += 1
                        self.assertIs(
                            attempt.outcome,
                            AttemptOutcome.unknown,
                            (framing, end, answer[:position]),
                        )
        self.assertEqual(cases, target.requests)
        print(f'{self.id()}: {cases} cases')


class CallerTest(unittest.IsolatedAsyncioTestCase):
    """The bytes at a caller's socket, directly and through a helper."""

    async def test_no_success_reaches_a_caller(self) -> None:
        rng = random.Random(SEED)
        target = CuttingTarget()
        cases = 0
        async with (
            cut_off_daemon() as (_, first, helper),
            raw_server(target.serve) as address,
        ):
            await wait_for_budget(first)
            helpers = first.core.exchanges.reach.paths.helpers
            for through_helper in (False, True):
                set_paths(first, *helpers, up=not through_helper)
                for daemon in (first, helper):
                    readdress(daemon, 'i0', address)
                for framing in FRAMINGS:
                    target.framing = framing
                    for end in ENDS:
                        target.end = end
                        for position in positions(framing, rng):
                            target.position = position
                            before = target.requests
                            reply = await raw_exchange(first)
                            cases += 1
                            case = (through_helper, framing, end, position)
                            self.assertGreater(target.requests, before, case)
                            self.check(reply, case)
        print(f'{self.id()}: {cases} cases')

    async def test_body_that_breaks_off_is_never_framed_as_whole(self) -> None:
        target = CuttingTarget()
        async with (
            cut_off_daemon() as (_, first, helper),
            raw_server(target.serve) as address,
        ):
            await wait_for_budget(first)
            helpers = first.core.exchanges.reach.paths.helpers
            for through_helper in (False, True):
                set_paths(first, *helpers, up=not through_helper)
                for daemon in (first, helper):
                    readdress(daemon, 'i0', address)
                for framing in ('length', 'chunks', 'none'):
                    answer = whole_answer(framing)
                    # The end of a body without framing is that of its
                    # connection, unless that is reset.
                    ends = ('reset',) if framing == 'none' else ENDS
                    for end in ends:
                        target.framing, target.end = framing, end
                        for part in (0, 3):
                            target.position = head_length(answer) + part
                            before = target.requests
                            reply = await raw_exchange(first)
                            case = (through_helper, framing, end, part)
                            self.assertGreater(target.requests, before, case)
                            self.check(reply, case)

    async def test_status_that_http_does_not_have_reaches_no_caller(
        self,
    ) -> None:
        # A caller got a status line with 0.
        target = CuttingTarget()
        async with (
            cut_off_daemon() as (_, first, helper),
            raw_server(target.serve) as address,
        ):
            await wait_for_budget(first)
            helpers = first.core.exchanges.reach.paths.helpers
            for through_helper in (False, True):
                set_paths(first, *helpers, up=not through_helper)
                for daemon in (first, helper):
                    readdress(daemon, 'i0', address)
                for status in ('000', '099', '600', '999'):
                    target.status = status
                    target.position = len(whole_answer('length'))
                    before = target.requests
                    reply = await raw_exchange(first)
                    case = (through_helper, status)
                    self.assertGreater(target.requests, before, case)
                    self.check(reply, case)

    def check(self, reply: bytes, case: object) -> None:
        """Check that a reply is whole, and no success."""
        head, _, body = reply.partition(b'\r\n\r\n')
        self.assertRegex(head, rb'^HTTP/1\.1 (502|503|504) ', case)
        length = int(head.lower().split(b'content-length: ')[1].split()[0])
        self.assertEqual(len(body), length, case)


def positions(framing: str, rng: random.Random) -> list[int]:
    """Return one position of each part of a head, and a few drawn ones."""
    answer = whole_answer(framing)
    length = head_length(answer)
    parts = (
        b'HTTP/1.1',
        b'HTTP/1.1 200',
        b'200 OK',
        b'200 OK\r\n',
        b'Attempt',
        b'Attempt-Id: a',
        b'Response-Seal: s',
        b'Response-Seal: s\r\n',
    )
    ends = [answer.index(part) + len(part) for part in parts]
    drawn = [rng.randrange(length) for _ in range(DRAWN_POSITIONS)]
    return [0, *ends, length - 2, length - 1, *drawn]


async def raw_exchange(daemon: object) -> bytes:
    """Send a once-only request; return all bytes of its answer."""
    host, port = daemon.settings.listen.callers.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(
            b'POST /issue/1 HTTP/1.1\r\nHost: issuance.example\r\n'
            b'Attempt-Id: a1\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n'
            b'Connection: close\r\n\r\n'
        )
        async with asyncio.timeout(TIMEOUT):
            return await reader.read()
    finally:
        writer.close()


if __name__ == '__main__':
    unittest.main()
