"""Tests of the links between daemons: proof, rubbish, silence, backlog."""

import asyncio
import contextlib
import struct
import unittest
from collections.abc import AsyncIterator
from unittest import mock

from cassialever.fleet import messages, relay
from cassialever.fleet.following_leader import (
    LEADER_TIMEOUT,
    LeaderLink,
    LinkEnd,
)
from cassialever.fleet.model import StoreRow
from cassialever.fleet.relay import Relay
from standins.listening import LOOPBACK, free_ports
from tests.fleet_helpers import ManualClock, configured_view, until

KEY = 'a key of the fleet'
HELLO = messages.Hello('edge-1', 1, '127.0.0.1:1', {})


def follower(key: str = KEY) -> LeaderLink:
    """Return the end of a daemon that follows."""
    return LeaderLink(configured_view(ManualClock(), targets=0), HELLO, key)


@contextlib.asynccontextmanager
async def leader(key: str = KEY) -> AsyncIterator[Relay]:
    """Run the end of a daemon that leads."""
    address = f'{LOOPBACK}:{free_ports(1)[0]}'
    own = messages.Hello('edge-0', 1, address, {})
    leader_relay = Relay(configured_view(ManualClock()), own, key)
    leader_relay.is_leader = True
    await leader_relay.start()
    try:
        yield leader_relay
    finally:
        await leader_relay.stop()


def address_of(leader_relay: Relay) -> str:
    return leader_relay.members()['edge-0']


class ProofTest(unittest.IsolatedAsyncioTestCase):
    """Who may follow, and who may be followed."""

    async def test_both_ends_of_one_fleet(self) -> None:
        for key in (KEY, ''):
            async with leader(key) as leader_relay:
                link = follower(key)
                task = asyncio.create_task(
                    link.follow(address_of(leader_relay))
                )
                await until(
                    lambda leader_relay=leader_relay: (
                        'edge-1' in leader_relay.follower_by_id
                    )
                )
                await until(lambda link=link: len(link.view.targets.by_id) == 3)
                task.cancel()

    async def test_stranger_gets_nothing(self) -> None:
        async with leader() as leader_relay:
            link = follower('another key')
            end = await link.follow(address_of(leader_relay))
            self.assertIn(end, (LinkEnd.proof_failed, LinkEnd.closed))
            self.assertEqual(leader_relay.follower_by_id, {})
            self.assertEqual(link.view.targets.by_id, {})

    async def test_leader_with_another_key_is_not_followed(self) -> None:
        """A daemon without the key can't take a follower in."""
        async with leader('') as leader_relay:
            link = follower()
            self.assertIs(
                await link.follow(address_of(leader_relay)),
                LinkEnd.proof_failed,
            )
            self.assertEqual(link.view.targets.by_id, {})

    async def test_proof_sent_back_is_no_proof(self) -> None:
        async with leader() as leader_relay:
            host, port = address_of(leader_relay).rsplit(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            asked = await messages.receive(reader)
            writer.write(messages.encode(asked))
            self.assertEqual(await reader.read(), b'')
            self.assertEqual(leader_relay.follower_by_id, {})
            writer.close()

    async def test_long_frame_of_a_stranger_is_not_read(self) -> None:
        async with leader() as leader_relay:
            host, port = address_of(leader_relay).rsplit(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            await messages.receive(reader)
            writer.write(struct.pack('!I', messages.MAX_PROOF_BYTES + 1))
            self.assertEqual(await reader.read(), b'')
            writer.close()

    async def test_stranger_cannot_depose_the_leader(self) -> None:
        async with leader() as leader_relay:
            terms: list[int] = []
            leader_relay.on_deposed = terms.append
            host, port = address_of(leader_relay).rsplit(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(messages.encode(messages.Deposed(9)))
            await reader.read()
            self.assertEqual(terms, [])
            writer.close()


class CatchingUpTest(unittest.IsolatedAsyncioTestCase):
    """What a follower is sent when it comes."""

    async def test_follower_is_sent_what_it_lacks(self) -> None:
        """Of 3 targets one has changed since and one has gone."""
        async with leader('') as leader_relay:
            link = follower('')
            task = asyncio.create_task(link.follow(address_of(leader_relay)))
            await until(lambda: len(link.view.targets.by_id) == 3)
            task.cancel()
            await until(lambda: 'edge-1' not in leader_relay.follower_by_id)
            rows = leader_relay._view.rows.rows_of('servers')
            changed = StoreRow('servers', 't1', rows[0].content, 90)
            gone = StoreRow('servers', 't2', None, 91)
            leader_relay._view.apply('servers', [changed, gone], 91)
            taken = []
            with mock.patch.object(
                messages, 'encode', wraps=messages.encode
            ) as encode:
                task = asyncio.create_task(
                    link.follow(address_of(leader_relay))
                )
                await until(lambda: 't2' not in link.view.targets.by_id)
                for call in encode.call_args_list:
                    if isinstance(call.args[0], messages.Changed):
                        taken.append(call.args[0])
                    self.assertNotIsInstance(call.args[0], messages.Whole)
            self.assertEqual({row.name for row in taken[0].rows}, {'t1', 't2'})
            task.cancel()


class RubbishTest(unittest.IsolatedAsyncioTestCase):
    """Bytes that no daemon sends."""

    async def test_any_rubbish_ends_the_link_and_no_other(self) -> None:
        whole = messages.encode(HELLO)
        frames = [
            b'\xff\xff\xff\xff',
            struct.pack('!I', 3) + b'\xc1\xc1\xc1',
            messages.encode(messages.Pulse(True, 0)),
            *(whole[:cut] for cut in range(0, len(whole), 5)),
            *(
                whole[:place]
                + bytes([whole[place] ^ 0x55])
                + whole[place + 1 :]
                for place in range(4, 12)
            ),
        ]
        async with leader('') as leader_relay:
            link = follower('')
            task = asyncio.create_task(link.follow(address_of(leader_relay)))
            await until(lambda: 'edge-1' in leader_relay.follower_by_id)
            host, port = address_of(leader_relay).rsplit(':')
            for frame in frames:
                with self.subTest(frame=frame):
                    _, writer = await asyncio.open_connection(host, int(port))
                    writer.write(frame)
                    writer.write_eof()
                    await asyncio.sleep(0)
                    writer.close()
            await asyncio.sleep(0.1)
            self.assertIn('edge-1', leader_relay.follower_by_id)
            self.assertFalse(task.done())
            task.cancel()

    async def test_rubbish_of_a_leader_ends_the_link(self) -> None:
        async def talk_rubbish(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(struct.pack('!I', 4) + b'abcd')

        server = await asyncio.start_server(talk_rubbish, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        end = await follower('').follow(f'{host}:{port}')
        self.assertIs(end, LinkEnd.closed)
        server.close()


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    """Peers that hang."""

    async def test_silent_leader_is_left(self) -> None:
        async def say_nothing(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read()

        server = await asyncio.start_server(say_nothing, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        async with asyncio.timeout(LEADER_TIMEOUT + 2):
            end = await follower('').follow(f'{host}:{port}')
        self.assertIs(end, LinkEnd.timed_out)
        server.close()

    async def test_follower_that_does_not_read_is_cut_off(self) -> None:
        """What waits for it stays bounded, and the others hear on."""
        async with leader('') as leader_relay:
            host, port = address_of(leader_relay).rsplit(':')
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(messages.encode(HELLO))
            await until(lambda: 'edge-1' in leader_relay.follower_by_id)
            news = messages.Members({'x' * 100_000: ''})
            sent = 0
            while 'edge-1' in leader_relay.follower_by_id:
                leader_relay.broadcast(news)
                sent += 100_000
                self.assertLess(sent, 100 * relay.MAX_BACKLOG_BYTES)
                await asyncio.sleep(0)
            writer.close()


if __name__ == '__main__':
    unittest.main()
