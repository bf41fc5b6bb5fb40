"""Tests of the socket for datagrams between daemons."""

import asyncio
import socket
import unittest

from cassialever.fleet.datagrams import (
    READ_INTERVAL,
    DatagramSocket,
    OpenRequests,
    encode,
)
from standins.listening import LOOPBACK, free_ports


class SocketTest(unittest.IsolatedAsyncioTestCase):
    """Reading, sending and closing, over the loopback interface."""

    async def asyncSetUp(self) -> None:
        self.received: list[str] = []
        self.reads = 0
        self.address = f'{LOOPBACK}:{free_ports(1)[0]}'
        self.wire = DatagramSocket()
        self.wire.handler_by_type[OpenRequests] = self.note
        await self.wire.start(self.address)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    async def asyncTearDown(self) -> None:
        self.wire.stop()
        self.sender.close()

    def note(self, datagram: OpenRequests, _: str) -> None:
        self.received.append(datagram.instance_id)

    def send(self, name: str) -> None:
        host, port = self.address.split(':')
        self.sender.sendto(encode(OpenRequests(name, {})), (host, int(port)))

    async def test_datagrams_that_come_together_are_read_together(self) -> None:
        reads = 0
        read_all = self.wire._read_all

        def count() -> None:
            nonlocal reads
            reads += 1
            read_all()

        self.wire._read_all = count
        loop = asyncio.get_running_loop()
        began = loop.time()
        for number in range(100):
            self.send(f'edge-{number}')
            await asyncio.sleep(READ_INTERVAL / 20)
        await asyncio.sleep(3 * READ_INTERVAL)
        self.assertEqual(len(self.received), 100)
        # One look in each interval, and the first.
        elapsed = loop.time() - began
        self.assertLessEqual(reads, elapsed / READ_INTERVAL + 2)

    async def test_first_datagram_is_read_at_once(self) -> None:
        await asyncio.sleep(2 * READ_INTERVAL)
        self.send('edge-1')
        await asyncio.sleep(READ_INTERVAL / 4)
        self.assertEqual(self.received, ['edge-1'])

    async def test_address_that_is_none_costs_one_datagram(self) -> None:
        """A leader may announce it; sending raised and ended the daemon."""
        for address in ('', 'x', '10.0.0.1:70000', 'a..b:80', f'{"a" * 99}:1'):
            with self.subTest(address=address):
                unsent = self.wire.unsent_count
                self.wire.send(address, b'x')
                self.assertEqual(self.wire.unsent_count, unsent + 1)

    async def test_nested_datagram_does_not_end_reading(self) -> None:
        host, port = self.address.split(':')
        nested = encode(OpenRequests('edge-1', {})) + b'\x91' * 5000 + b'\xc0'
        more = bytes((nested[0] + 1,)) + nested[1:]
        self.sender.sendto(more, (host, int(port)))
        self.send('edge-2')
        await asyncio.sleep(2 * READ_INTERVAL)
        self.assertEqual(self.received, ['edge-2'])

    async def test_malformed_datagram_does_not_end_reading(self) -> None:
        host, port = self.address.split(':')
        self.sender.sendto(b'\xc1 no datagram', (host, int(port)))
        self.send('edge-1')
        await asyncio.sleep(2 * READ_INTERVAL)
        self.send('edge-2')
        await asyncio.sleep(2 * READ_INTERVAL)
        self.assertEqual(self.received, ['edge-1', 'edge-2'])

    async def test_handler_that_fails_does_not_end_reading(self) -> None:
        def fail(datagram: OpenRequests, _: str) -> None:
            self.wire.handler_by_type[OpenRequests] = self.note
            raise ValueError('a fault')

        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        self.wire.handler_by_type[OpenRequests] = fail
        self.send('edge-1')
        await asyncio.sleep(3 * READ_INTERVAL)
        self.send('edge-2')
        await asyncio.sleep(3 * READ_INTERVAL)
        self.assertEqual(self.received, ['edge-2'])

    async def test_peer_that_refuses_does_not_end_reading(self) -> None:
        self.wire.send(f'{LOOPBACK}:9', b'x')
        await asyncio.sleep(2 * READ_INTERVAL)
        self.send('edge-1')
        await asyncio.sleep(2 * READ_INTERVAL)
        self.assertEqual(self.received, ['edge-1'])

    async def test_datagram_that_can_not_be_sent_is_counted(self) -> None:
        self.wire.send(self.address, bytes(70_000))
        self.assertEqual(self.wire.unsent_count, 1)
        self.send('edge-1')
        await asyncio.sleep(2 * READ_INTERVAL)
        self.assertEqual(self.received, ['edge-1'])

    async def test_nothing_is_read_or_sent_after_a_stop(self) -> None:
        self.send('edge-1')
        await asyncio.sleep(READ_INTERVAL / 2)
        self.wire.stop()
        self.wire.send(self.address, b'late')
        await asyncio.sleep(2 * READ_INTERVAL)
        self.assertEqual(self.received, ['edge-1'])


if __name__ == '__main__':
    unittest.main()
