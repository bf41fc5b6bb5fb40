"""Tests of which connections are taken for ones to the same process."""

import asyncio
import contextlib
import time
import unittest

import msgspec

from cassialever.fleet.model import KeyRange
from cassialever.platform.processes import TargetProcess, TargetProcesses
from cassialever.platform.targets import (
    GRANT_TIMEOUT,
    CallOutcome,
    TargetClient,
)
from cassialever.types import Fence
from standins.keyed_target import TargetServer

KEYS = KeyRange(0, 99, 't0', 1000, 7)
#: Time for what goes on in the background, in seconds.
SETTLING_TIME = 0.1


class HoldingProxy:
    """Accepts connections at once, and may connect to the target later."""

    def __init__(self, target_address: str) -> None:
        self.target_address = target_address
        self.address = ''
        #: Connections that are accepted wait for this before they go on.
        self.is_open = asyncio.Event()
        self.is_open.set()
        self._accepted: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '127.0.0.1:{1}'.format(
            *self._server.sockets[0].getsockname()
        )

    async def stop(self) -> None:
        self._server.close()
        self.is_open.set()
        for writer in self._accepted:
            writer.close()
        await self._server.wait_closed()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted.add(writer)
        await self.is_open.wait()
        host, _, port = self.target_address.rpartition(':')
        with contextlib.suppress(OSError):
            onward = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                _copy(reader, onward[1]), _copy(onward[0], writer)
            )
        writer.close()


class CopyingProxy(HoldingProxy):
    """Passes a copy of the last answer on after its process has ended."""

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted.add(writer)
        await self.is_open.wait()
        host, _, port = self.target_address.rpartition(':')
        answer = b''
        with contextlib.suppress(OSError, EOFError):
            onward = await asyncio.open_connection(host, int(port))
            while True:
                onward[1].write(await reader.readuntil(b'}'))
                copied = answer
                answer = b''
                with contextlib.suppress(OSError):
                    answer = await onward[0].read(65536)
                if not answer and not copied:
                    break
                writer.write(answer or copied)
        writer.close()


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    writer.close()


class JoinedProcessesTest(unittest.TestCase):
    """Connections of one process that are proven in several steps."""

    def test_connection_of_one_is_known_to_all(self) -> None:
        # Keys were renewed on the connections that were known at first, and
        # needed a new fence once those had ended.
        processes = TargetProcesses()
        first, second, third = _Connection(), _Connection(), _Connection()
        processes.record_answer(first, 0, 1, ())
        processes.record_made(second, 2)
        processes.record_answer(second, 2, 3, ())
        processes.record_made(third, 4)
        holder = processes.record_answer(third, 4, 5, ())
        processes.record_answer(second, 6, 7, [third])
        known = processes.record_answer(first, 8, 9, [second, third])
        self.assertEqual(set(holder.connections), {first, second, third})
        self.assertEqual(holder.number, known.number)
        del second, third
        self.assertTrue(holder.is_same(known))


class _Connection:
    """A connection, which may end."""


class HeldConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A path on which a connection is made before it reaches the target."""

    async def asyncSetUp(self) -> None:
        # Connections of the proxies end after those of the client.
        self.addAsyncCleanup(asyncio.sleep, SETTLING_TIME)
        self.target = TargetServer('t0')
        await self.target.start()
        self.proxy = HoldingProxy(self.target.address)
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)
        self.client = TargetClient()
        await self.client.start()
        self.addAsyncCleanup(self.client.stop)

    async def test_held_connection_reaches_no_later_life(self) -> None:
        # It took a renewal of the fence that its earlier life had accepted.
        granted = await self.client.grant(self.proxy.address, KEYS, 2.3)
        # The first connection leads to the target, the spare one waits.
        self.proxy.is_open.clear()
        await asyncio.sleep(2 * SETTLING_TIME)
        renewed = await self.client.grant(
            self.proxy.address, KEYS, 2.3, granted.process
        )
        self.assertIs(renewed.outcome, CallOutcome.done)
        await self.target.stop()
        restarted = TargetServer('t0')
        await restarted.start(int(self.target.address.rpartition(':')[2]))
        self.addAsyncCleanup(restarted.stop)
        self.proxy.is_open.set()
        await asyncio.sleep(SETTLING_TIME)
        renewed = await self.client.grant(
            self.proxy.address, KEYS, 2.3, renewed.process
        )
        self.assertFalse(restarted.holds(50))
        self.assertIs(renewed.outcome, CallOutcome.unproven)

    async def test_copy_of_an_acceptance_proves_no_later_life(self) -> None:
        # It came after its process had ended, and after an answer of the next
        # one: that was taken for the same, and for its fence.
        proxy = CopyingProxy(self.target.address)
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        granted = await self.client.grant(proxy.address, KEYS, 2.3)
        proxy.is_open.clear()
        await asyncio.sleep(SETTLING_TIME)
        await self.target.stop()
        restarted = TargetServer('t0')
        await restarted.start(int(self.target.address.rpartition(':')[2]))
        self.addAsyncCleanup(restarted.stop)
        proxy.is_open.set()
        await asyncio.sleep(SETTLING_TIME)
        renewed = granted
        for _ in range(3):
            renewed = await self.client.grant(
                proxy.address, KEYS, 2.3, granted.process
            )
        self.assertFalse(restarted.holds(50))
        self.assertIs(renewed.outcome, CallOutcome.unproven)


_ACCEPTED = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
_CONFLICT = b'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n'
_MISDIRECTED = b'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n'


class ShiftedAnswersTest(unittest.IsolatedAsyncioTestCase):
    """The copy of an acceptance shifts the answers that follow it."""

    async def asyncSetUp(self) -> None:
        #: What the target answers to the second grant, too late.
        self.second = _ACCEPTED
        server = await asyncio.start_server(self.shift, '127.0.0.1', 0)
        # Its connections end after those of the client.
        self.addAsyncCleanup(asyncio.sleep, SETTLING_TIME)
        self.addCleanup(server.close)
        self.address = '127.0.0.1:{1}'.format(*server.sockets[0].getsockname())
        self.client = TargetClient()
        await self.client.start()
        self.addAsyncCleanup(self.client.stop)

    async def shift(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy the first answer into the second; send the others one late."""
        late = b''
        answers = iter((_ACCEPTED, self.second))
        with contextlib.suppress(ConnectionError, EOFError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await reader.readuntil(b'}')
                is_question = b'Expect-Instance: -' in head
                own = _MISDIRECTED
                if not is_question:
                    own = next(answers, _ACCEPTED)
                writer.write(late or own)
                late = own
        writer.close()

    async def granted_process(self) -> TargetProcess:
        """Return a process whose copied answer was taken for its own."""
        granted = await self.client.grant(self.address, KEYS, 2.3)
        renewed = await self.client.grant(
            self.address, KEYS, 2.3, granted.process
        )
        self.assertIs(renewed.outcome, CallOutcome.done)
        assert renewed.process is not None
        return renewed.process

    async def test_answer_to_an_earlier_grant_proves_no_process(self) -> None:
        # Any answer did, also one that was given before the question.
        process = await self.granted_process()
        (connection,) = process.connections
        self.assertFalse(await self.client.prove(self.address, process))
        self.assertFalse(connection.is_connected())

    async def test_shifted_connection_proves_no_spare_one(self) -> None:
        process = await self.granted_process()
        (connection,) = process.connections
        await asyncio.sleep(SETTLING_TIME)
        await self.client.grant(self.address, KEYS, 2.3, process)
        self.assertEqual(set(process.connections), {connection})
        self.assertFalse(connection.is_connected())

    async def test_refusal_that_comes_to_a_later_grant_proves_no_spare_one(
        self,
    ) -> None:
        self.second = _CONFLICT
        process = await self.granted_process()
        (connection,) = process.connections
        await asyncio.sleep(SETTLING_TIME)
        renewed = await self.client.grant(self.address, KEYS, 2.3, process)
        self.assertIs(renewed.outcome, CallOutcome.unknown)
        self.assertEqual(set(process.connections), {connection})

    async def test_refusal_of_an_earlier_grant_proves_no_spare_one(
        self,
    ) -> None:
        # It came after an acceptance, and was taken for no copy.
        self.second = _CONFLICT
        granted = await self.client.grant(self.address, KEYS, 2.3)
        await asyncio.sleep(SETTLING_TIME)
        renewed = await self.client.grant(
            self.address, KEYS, 2.3, granted.process
        )
        self.assertIs(renewed.outcome, CallOutcome.done)
        assert renewed.process is not None
        self.assertEqual(len(renewed.process.connections), 1)


class RepeatedGrantTest(unittest.IsolatedAsyncioTestCase):
    """A copied refusal hides a grant, and a later life gets its repetition."""

    async def asyncSetUp(self) -> None:
        #: The fences that each life of the target has accepted.
        self.fences_by_life: list[list[int]] = [[]]
        self.writers: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(self.answer, '127.0.0.1', 0)
        # Its connections end after those of the client.
        self.addAsyncCleanup(asyncio.sleep, SETTLING_TIME)
        self.addCleanup(server.close)
        self.address = '127.0.0.1:{1}'.format(*server.sockets[0].getsockname())
        self.client = TargetClient()
        await self.client.start()
        self.addAsyncCleanup(self.client.stop)

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Accept grants; answer by a copy and end with the second one."""
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, EOFError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                call = msgspec.json.decode(await reader.readuntil(b'}'))
                if b'Expect-Instance: -' in head:
                    writer.write(_MISDIRECTED)
                    continue
                fences = self.fences_by_life[-1]
                fences.append(call['fence'])
                if len(self.fences_by_life) == 1 and len(fences) == 2:
                    writer.write(_MISDIRECTED)
                    self.start_again()
                    continue
                writer.write(_ACCEPTED)
        writer.close()

    def start_again(self) -> None:
        self.fences_by_life.append([])
        for writer in self.writers:
            writer.close()
        self.writers.clear()

    async def test_later_life_gets_no_fence_of_the_earlier(self) -> None:
        # The repetition had the fence that the earlier life had accepted.
        await self.client.grant(self.address, KEYS, 2.3)
        await asyncio.sleep(SETTLING_TIME)
        second = msgspec.structs.replace(KEYS, fence=Fence(9))
        granted = await self.client.grant(self.address, second, 2.3)
        earlier, later = self.fences_by_life
        self.assertEqual(earlier, [7, 9])
        self.assertTrue(all(fence > 9 for fence in later), later)
        self.assertIs(granted.outcome, CallOutcome.unknown)


class ProofTest(unittest.IsolatedAsyncioTestCase):
    """A process is asked whether it runs on."""

    async def asyncSetUp(self) -> None:
        self.target = TargetServer('t0')
        await self.target.start()
        self.addAsyncCleanup(self.target.stop)
        self.client = TargetClient()
        await self.client.start()
        self.addAsyncCleanup(self.client.stop)

    async def granted_process(self, address: str = '') -> TargetProcess:
        """Return the process that has the keys, with a spare connection."""
        address = address or self.target.address
        granted = await self.client.grant(address, KEYS, 2.3)
        await asyncio.sleep(SETTLING_TIME)
        renewed = await self.client.grant(address, KEYS, 2.3, granted.process)
        assert renewed.process is not None
        self.assertEqual(len(renewed.process.connections), 2)
        return renewed.process

    async def prove(self, process: TargetProcess) -> bool:
        return await self.client.prove(self.target.address, process)

    async def test_process_that_has_lost_a_connection_gets_another(
        self,
    ) -> None:
        # The renewal after that may lose one more.
        process = await self.granted_process()
        for _ in range(3):
            next(iter(process.connections)).close()
            self.assertTrue(await self.prove(process))
            renewed = await self.client.grant(
                self.target.address, KEYS, 2.3, process
            )
            self.assertIs(renewed.outcome, CallOutcome.done)

    async def test_proof_does_not_wait_for_a_connection_that_hangs(
        self,
    ) -> None:
        proxy = HoldingProxy(self.target.address)
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        process = await self.granted_process(proxy.address)
        proxy.is_open.clear()
        next(iter(process.connections)).close()
        started_at = time.monotonic()
        self.assertTrue(await self.client.prove(proxy.address, process))
        self.assertLess(time.monotonic() - started_at, 0.8)
        renewed = await self.client.grant(proxy.address, KEYS, 2.3, process)
        self.assertIs(renewed.outcome, CallOutcome.done)

    async def test_question_gives_no_keys(self) -> None:
        process = await self.granted_process()
        self.target.keys.clear()
        self.assertTrue(await self.prove(process))
        self.assertEqual(self.target.keys.grants, [])

    async def test_process_that_answers_late_is_proven(self) -> None:
        process = await self.granted_process()
        asking = asyncio.create_task(self.prove(process))
        await asyncio.sleep(0)
        time.sleep(GRANT_TIMEOUT)
        self.assertTrue(await asking)

    async def test_later_life_proves_nothing(self) -> None:
        process = await self.granted_process()
        port = int(self.target.address.rpartition(':')[2])
        await self.target.stop()
        restarted = TargetServer('t0')
        await restarted.start(port)
        self.addAsyncCleanup(restarted.stop)
        self.assertFalse(await self.client.prove(restarted.address, process))


if __name__ == '__main__':
    unittest.main()
