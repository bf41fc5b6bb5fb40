"""Tests of cancelling what opens a connection between daemons."""

import ast
import asyncio
import pathlib
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

import cassialever
from cassialever.fleet import messages
from cassialever.fleet.connecting import connect
from cassialever.fleet.proof import prove_as_acceptor
from standins.listening import LOOPBACK, free_ports

#: More iterations of the loop than any of the calls takes.
ITERATIONS = 40
KEY = 'k'


class CancellationTest(unittest.IsolatedAsyncioTestCase):
    """A task that is cancelled ends, at whichever step it was.

    Reported in soaks (SEED=10): a daemon had stopped and did not exit.
    """

    async def test_cancelled_connection_attempt_does_not_return(self) -> None:
        server = await asyncio.start_server(_hold, LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        for address in (f'{LOOPBACK}:{port}', f'{LOOPBACK}:{free_ports(1)[0]}'):
            with self.subTest(address=address):
                await self.check_each_step(lambda: connect(address))
        server.close()

    async def test_cancelled_proof_does_not_return(self) -> None:
        proof = messages.encode(messages.Proof(b'challenge', b'answer'))

        async def send_proof(
            _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(proof)

        server = await asyncio.start_server(send_proof, LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]

        async def prove() -> Any:
            streams = await asyncio.open_connection(LOOPBACK, port)
            try:
                return await prove_as_acceptor(streams, KEY)
            finally:
                streams[1].close()

        await self.check_each_step(prove)
        server.close()

    async def check_each_step(
        self, work: Callable[[], Coroutine[Any, Any, Any]]
    ) -> None:
        """Cancel a task after each number of iterations of the loop."""
        for iterations in range(ITERATIONS):
            task = asyncio.create_task(work())
            for _ in range(iterations):
                await asyncio.sleep(0)
            if not task.cancel():
                # It had ended before.
                _close(await task)
                continue
            await asyncio.wait([task])
            self.assertTrue(task.cancelled(), f'{iterations} iterations')


class TimeoutCallsTest(unittest.TestCase):
    """Which calls limit the time that something takes."""

    def test_no_call_that_loses_a_cancellation(self) -> None:
        # Until Python 3.12 `wait_for` returns the result if it is cancelled
        # when that has just come; `asyncio.timeout` does not.
        folder = pathlib.Path(cassialever.__file__).parent
        calls = [
            f'{path.relative_to(folder)}:{node.lineno}'
            for path in folder.rglob('*.py')
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Attribute) and node.attr == 'wait_for'
        ]
        self.assertEqual(calls, [])


async def _hold(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.read()
    writer.close()


def _close(connected: Any) -> None:
    if isinstance(connected, tuple):
        connected[1].close()


if __name__ == '__main__':
    unittest.main()
