"""Tests of answers to calls of the daemon whose body never ends."""

import asyncio
import unittest
import zlib

from cassialever.fleet.model import KeyRange
from cassialever.platform.targets import (
    MAX_ANSWER_BYTES,
    CallOutcome,
    TargetClient,
)
from tests.endless_peer import endless_peer

#: Most that may be sent and not be read: buffers of the sockets, and one read.
MAX_SENT_BYTES = 16 * 2**20
#: Time in which an answer beyond its limits is given up, in seconds.
REJECTION_TIME = 0.3
KEYS = KeyRange(0, 99, 't0', 1, 1)
OK = b'HTTP/1.1 200 OK\r\n'
CHUNK = b'10000\r\n' + b'x' * 65_536 + b'\r\n'
#: Beginnings of answers without end, and what is repeated in them.
ENDLESS_BODIES = (
    (OK + b'\r\n', b'x' * 65_536),
    (OK + b'Transfer-Encoding: chunked\r\n\r\n', CHUNK),
    (OK + b'Content-Length: 100000000000\r\n\r\n', b'x' * 65_536),
)


class KeyCallTest(unittest.IsolatedAsyncioTestCase):
    """Calls that grant or release keys."""

    async def asyncSetUp(self) -> None:
        self.client = TargetClient()
        await self.client.start()
        self.addAsyncCleanup(self.client.stop)

    async def test_answer_without_end_to_a_grant_is_kept_in_memory(
        self,
    ) -> None:
        # It was read until the time of the call was over.
        for beginning, piece in ENDLESS_BODIES:
            with (
                self.subTest(beginning=beginning),
                endless_peer(beginning, piece) as peer,
            ):
                loop = asyncio.get_running_loop()
                begun_at = loop.time()
                result = await self.client.grant(peer.address, KEYS, 2.3)
                self.assertIs(result.outcome, CallOutcome.unknown, result)
                self.assertLess(loop.time() - begun_at, REJECTION_TIME)
                self.assertLess(peer.sent_bytes, MAX_SENT_BYTES)

    async def test_body_of_an_answer_to_a_release_is_not_read(self) -> None:
        # Its head tells that the work on the keys has ended.
        for beginning, piece in ENDLESS_BODIES:
            with endless_peer(beginning, piece) as peer:
                result = await self.client.release(peer.address, KEYS)
                self.assertIs(result.outcome, CallOutcome.done, result)
                self.assertLess(peer.sent_bytes, MAX_SENT_BYTES)

    async def test_compressed_answer_is_not_unpacked(self) -> None:
        bomb = zlib.compress(bytes(2**20))
        self.assertLess(len(bomb), MAX_ANSWER_BYTES)
        head = (
            OK + b'Content-Encoding: deflate\r\nContent-Length: %d\r\n\r\n'
        ) % len(bomb)
        with endless_peer(head + bomb, b'') as peer:
            result = await self.client.grant(peer.address, KEYS, 2.3)
        self.assertIs(result.outcome, CallOutcome.done, result)


if __name__ == '__main__':
    unittest.main()
