"""What waited in a socket while the process that reads it stood still."""

import asyncio
import math
import socket
import time
import unittest

import msgspec

from cassialever.errors import Failure
from cassialever.fleet.connecting import split_address
from cassialever.gateway.hop_messages import (
    HopOutcome,
    HopReply,
    HopRequest,
    decode_reply,
    encode_request,
)
from tests.gateway_helpers import ISSUE_HEADERS
from tests.hop_helpers import cut_off_daemon

#: For how long the process stands still, in seconds.
STOOD_STILL = 0.6
#: Time left of a permit or a deadline that ends meanwhile, in seconds.
SHORT = 0.4
#: Time left of a deadline that does not, in seconds.
LONG = 5.0
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
        target = helper.view.targets.by_id['i0']
        hop = HopRequest(
            method='POST',
            raw_path='/issue/1',
            target_id=target.target_id,
            started_at=target.started_at,
            time_left=time_left,
            origin='edge-0',
            configuration=0,
            sent_at=time.time(),
            nonce='n1',
            send_within=send_within,
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
