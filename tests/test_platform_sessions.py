"""Tests of the connections that are kept to targets."""

import asyncio
import unittest

from cassialever.gateway.outcomes import Attempt
from cassialever.platform.sessions import MAX_IDLE_PER_ADDRESS
from tests.hop_helpers import raw_server
from tests.test_repeated_refusals import RefusalCase, RepeatingTarget


class KeptConnectionsTest(RefusalCase):
    """Which idle connections stay open, and which one is used next."""

    async def send_at_once(self, count: int, address: str) -> list[Attempt]:
        target = self.at(address)
        return await asyncio.gather(
            *(self.send_as(f'a{number}', target) for number in range(count))
        )

    async def test_a_burst_leaves_few_idle_connections(self) -> None:
        target = RepeatingTarget(lambda _: False)
        target.repeats_on_arrival = lambda sent: []
        async with raw_server(target.serve) as address:
            await self.send_at_once(3 * MAX_IDLE_PER_ADDRESS, address)
            self.assertEqual(target.connections, 3 * MAX_IDLE_PER_ADDRESS)
            await self.send_at_once(MAX_IDLE_PER_ADDRESS, address)
            self.assertEqual(target.connections, 3 * MAX_IDLE_PER_ADDRESS)
            await self.send_at_once(MAX_IDLE_PER_ADDRESS + 1, address)
            self.assertEqual(target.connections, 3 * MAX_IDLE_PER_ADDRESS + 1)

    async def test_last_used_connection_is_used_next(self) -> None:
        used: list[asyncio.StreamWriter] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                used.append(writer)
                await asyncio.sleep(0.02)
                request_id = head.split(b'Attempt-Id: ')[1].split(b'\r\n')[0]
                writer.write(
                    b'HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n'
                    b'Response-Seal: s\r\nContent-Length: 0\r\n\r\n'
                    % request_id
                )

        async with raw_server(serve) as address:
            await self.send_at_once(3, address)
            used.clear()
            for _ in range(5):
                await self.send_at_once(1, address)
        self.assertEqual(len(set(used)), 1)

    async def test_idle_connections_of_an_address_are_known(self) -> None:
        target = RepeatingTarget(lambda _: False)
        target.repeats_on_arrival = lambda sent: []
        async with raw_server(target.serve) as address:
            self.assertFalse(self.sender.has_connection(address))
            await self.send_at_once(1, address)
            self.assertTrue(self.sender.has_connection(address))
            self.sender.close_idle(address)
            self.assertFalse(self.sender.has_connection(address))

    async def test_connection_that_was_in_use_is_closed_the_next_time(
        self,
    ) -> None:
        """A path goes down twice, and a request ends in between."""
        target = RepeatingTarget(lambda _: False)
        target.repeats_on_arrival = lambda sent: []
        async with raw_server(target.serve) as address:
            sending = asyncio.create_task(self.send_at_once(1, address))
            while not target.executed_ids:
                await asyncio.sleep(0.001)
            self.sender.close_idle(address)
            await sending
            self.assertTrue(self.sender.has_connection(address))
            self.sender.close_idle(address)
            self.assertFalse(self.sender.has_connection(address))
            await self.send_at_once(1, address)
        self.assertEqual(target.connections, 2)

    async def test_connection_in_use_is_not_idle(self) -> None:
        target = RepeatingTarget(lambda _: False)
        target.repeats_on_arrival = lambda sent: []
        async with raw_server(target.serve) as address:
            sending = asyncio.create_task(self.send_at_once(1, address))
            while not target.executed_ids:
                await asyncio.sleep(0.001)
            self.assertFalse(self.sender.has_connection(address))
            await sending


if __name__ == '__main__':
    unittest.main()
