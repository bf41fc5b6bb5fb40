"""What waited in a socket while the process that reads it stood still."""

import asyncio
import math
import socket
import time
import unittest

import msgspec

from cassialever.clock import SystemClock
from cassialever.errors import Failure
from cassialever.fleet import messages
from cassialever.fleet.connecting import split_address, time_since_arrival
from cassialever.fleet.following_leader import LeaderLink
from cassialever.fleet.relay import HEARTBEAT_INTERVAL
from cassialever.gateway.hop_messages import (
    HopOutcome,
    HopReply,
    HopRequest,
    decode_reply,
    encode_request,
)
from standins.listening import LOOPBACK
from tests.fleet_helpers import configured_view, until
from tests.gateway_helpers import ISSUE_HEADERS
from tests.hop_helpers import cut_off_daemon, hop_request
from tests.test_fleet_links import HELLO

#: For how long the process stands still, in seconds.
STOOD_STILL = 0.6
#: Time left of a permit or a deadline that ends meanwhile, in seconds.
SHORT = 0.4
#: Time left of a deadline that does not, in seconds.
LONG = 5.0
#: Inaccuracy of the system's count, and time for the loop to handle what has
#: come, in seconds.
JIFFY = 0.01
LOOP_TIME = 0.3
MAX_HEAD_BYTES = 8192


class PassedOnTest(unittest.IsolatedAsyncioTestCase):
    """Requests in the connections of a helper that stands still.

    Its targets and callers share its loop, which is blocked.
    """

    async def pass_on(
        self,
        helper,
        *,
        time_left: float = LONG,
        send_within: float = math.inf,
        lasting: float = STOOD_STILL,
        is_kept: bool = False,
    ) -> HopReply:
        """Send a request for the helper's cold target, and block the loop."""
        hop = hop_request(
            helper, 'i0', time_left=time_left, send_within=send_within
        )
        loop = asyncio.get_running_loop()
        address = split_address(helper.settings.hop_address)
        with socket.create_connection(address) as sock:
            sock.setblocking(False)
            if is_kept:
                refused = msgspec.structs.replace(hop, target_id='unknown')
                sock.send(_head(refused))
                await loop.sock_recv(sock, MAX_HEAD_BYTES)
            # A new connection is accepted after the pause.
            sock.send(_head(hop))
            time.sleep(lasting)
            received = await loop.sock_recv(sock, MAX_HEAD_BYTES)
        lines = received.decode().partition('\r\n\r\n')[0].split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines[1:])
        reply = decode_reply(headers, hop.nonce, '')
        assert not isinstance(reply, Failure), reply
        return reply

    async def check(self, expected: HopOutcome, **options) -> None:
        for is_kept in (False, True):
            with self.subTest(is_kept=is_kept, **options):
                async with cut_off_daemon() as (system, _, helper):
                    helper.view.targets.mark_cold('astana-a', 60)
                    reply = await self.pass_on(
                        helper, is_kept=is_kept, **options
                    )
                    arrivals = system.targets[-1].work.received_at
                    self.assertIs(reply.outcome, expected)
                    self.assertEqual(
                        len(arrivals), int(expected is HopOutcome.relayed)
                    )

    async def test_permit_runs_out_meanwhile(self) -> None:
        """Its time counted from when the helper read the request."""
        await self.check(HopOutcome.not_run, send_within=SHORT)

    async def test_permit_of_the_build_before_runs_out_meanwhile(self) -> None:
        """That build does not say how long it lasts."""
        await self.check(HopOutcome.not_run)

    async def test_deadline_passes_meanwhile(self) -> None:
        await self.check(HopOutcome.not_run, time_left=SHORT, send_within=LONG)

    async def test_what_lasts_longer_is_sent(self) -> None:
        await self.check(HopOutcome.relayed, send_within=LONG)

    async def test_short_time_is_enough_without_a_pause(self) -> None:
        await self.check(
            HopOutcome.relayed,
            time_left=SHORT,
            send_within=SHORT,
            lasting=0,
        )


class FirstHeartbeatTest(unittest.IsolatedAsyncioTestCase):
    """A follower stands still between its connection and its first read."""

    async def age_after(
        self, *pulses: messages.Pulse, lasting: float, is_silent: bool = True
    ) -> float:
        """Return the age of tables after a pause.

        The leader sends heartbeats 0.25 s apart, then falls silent for the rest
        of the pause.
        """
        link = LeaderLink(configured_view(SystemClock(), targets=0), HELLO)
        with socket.create_server((LOOPBACK, 0)) as listening:
            listening.setblocking(False)
            host, port = listening.getsockname()
            loop = asyncio.get_running_loop()
            following = asyncio.create_task(link.follow(f'{host}:{port}'))
            accepted, _ = await loop.sock_accept(listening)
            with accepted:
                # The greeting.
                await loop.sock_recv(accepted, MAX_HEAD_BYTES)
                for pulse in pulses:
                    accepted.send(messages.encode(pulse))
                    time.sleep(HEARTBEAT_INTERVAL)
                time.sleep(lasting)
                if not is_silent:
                    accepted.send(messages.encode(pulses[-1]))
                await until(lambda: link.is_open)
                following.cancel()
                return link.tables_age()

    async def test_leader_falls_silent_meanwhile(self) -> None:
        """Its first heartbeat counted as just sent."""
        for build, sent_at in (('this', 70.0), ('before', 0.0)):
            with self.subTest(build=build):
                pulse = messages.Pulse(True, 0, 0.1, sent_at=sent_at)
                age = await self.age_after(pulse, lasting=STOOD_STILL)
                self.assertGreaterEqual(
                    age, 0.1 + HEARTBEAT_INTERVAL + STOOD_STILL - JIFFY
                )

    async def test_several_heartbeats_come_meanwhile(self) -> None:
        """The last one is as old as the bytes that came last."""
        pulses = [
            messages.Pulse(True, 0, 0.1, sent_at=70 + number / 4)
            for number in range(3)
        ]
        age = await self.age_after(*pulses, lasting=STOOD_STILL)
        passed = HEARTBEAT_INTERVAL + STOOD_STILL
        self.assertGreaterEqual(age, 0.1 + passed - JIFFY)
        self.assertLess(age, 0.1 + passed + LOOP_TIME)

    async def test_heartbeat_that_is_read_at_once_is_new(self) -> None:
        pulse = messages.Pulse(True, 0, 0.1, sent_at=70.0)
        age = await self.age_after(pulse, lasting=0, is_silent=False)
        self.assertLess(age, 0.1 + LOOP_TIME)


class ArrivalTest(unittest.IsolatedAsyncioTestCase):
    """How long ago the last bytes of a peer arrived."""

    async def test_time_runs_on_until_more_comes(self) -> None:
        with socket.create_server((LOOPBACK, 0)) as listening:
            sender = socket.create_connection(listening.getsockname())
            sender.send(b'x')
            time.sleep(SHORT)
            accepted, _ = listening.accept()
        _, writer = await asyncio.open_connection(sock=accepted)
        age = time_since_arrival(writer.transport)
        self.assertGreaterEqual(age, SHORT - JIFFY)
        self.assertLess(age, SHORT + LOOP_TIME)
        sender.send(b'y')
        self.assertLess(time_since_arrival(writer.transport), LOOP_TIME)
        sender.close()
        writer.transport.abort()
        await asyncio.sleep(0)
        self.assertEqual(time_since_arrival(writer.transport), 0)
        self.assertEqual(time_since_arrival(None), 0)


def _head(hop: HopRequest) -> bytes:
    """Return a request of another daemon with an empty body."""
    headers = [
        *ISSUE_HEADERS.items(),
        ('Attempt-Id', 'a1'),
        ('Content-Length', '0'),
        *encode_request(hop, ''),
    ]
    lines = [f'POST {hop.raw_path} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers]
    return '\r\n'.join((*lines, '', '')).encode()


if __name__ == '__main__':
    unittest.main()
