"""Tests of the lines that a daemon writes."""

import asyncio
import os
import sys
import unittest
from unittest import mock

import msgspec

from cassialever.events import Event, record
from cassialever.fleet.model import KeyRange
from cassialever.platform.targets import TargetClient
from cassialever.telemetry.structured_log import (
    MAX_TEXT_LENGTH,
    JsonLinesHandler,
)

#: The other fields of a line, in bytes.
MAX_OTHER_BYTES = 500
#: A head of many fields whose connection ends before the head does.
CUT_HEAD = b'HTTP/1.1 200 OK\r\n' + (b'X: ' + b'y' * 8000 + b'\r\n') * 5


class ForeignTextTest(unittest.IsolatedAsyncioTestCase):
    """Lines with a text that a peer has sent."""

    async def test_head_of_a_peer_is_written_whole_into_a_line(self) -> None:
        # A head that was cut stood in the reason, up to its limit.
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'}')
            writer.write(CUT_HEAD)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()[:2]
        client = TargetClient()
        await client.start()
        self.addAsyncCleanup(client.stop)
        keys = KeyRange(0, 99, 't0', 1, 1)
        result = await client.grant(f'{host}:{port}', keys, 2.3)
        line = self.written(result.reason)
        self.assertLess(len(line), MAX_TEXT_LENGTH + MAX_OTHER_BYTES)
        self.assertIn('reason', msgspec.json.decode(line))

    async def test_bytes_that_are_no_text_cost_no_line(self) -> None:
        """The line was dropped, and its traceback was on standard error."""
        path = b'/\xff'.decode('utf-8', 'surrogateescape')
        fields = msgspec.json.decode(self.written(path))
        self.assertEqual(fields['reason'], '/?')

    def written(self, reason: str) -> bytes:
        reading, writing = os.pipe()
        with os.fdopen(writing, 'w') as out:
            with mock.patch.object(sys, 'stdout', out):
                handler = JsonLinesHandler('edge-0')
            with handler.applicationbound():
                record(Event.task_failed, reason=reason)
        with os.fdopen(reading, 'rb') as lines:
            return lines.readline()


if __name__ == '__main__':
    unittest.main()
