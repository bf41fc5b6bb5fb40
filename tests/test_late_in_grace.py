"""Requests that come late in the grace period of a planned stop."""

import asyncio
import random
import unittest

import msgspec

from cassialever.gateway.application import Gateway
from standins.keyed_target import TargetServer
from tests.fleet_helpers import Deployment, deployment, until
from tests.gateway_helpers import wait_for_keys
from tests.test_gateway_connections import connect, read_to_end
from tests.test_gateway_connections_review import lengthen_routes

SEED = 353
#: The grace period of the largest deployment, in seconds.
GRACE = 10
#: Moments of the grace period. At each a caller sends a request of every kind,
#: which leaves the targets free slots.
MOMENTS = 10
#: Requests that were sent up to this time after the signal may be cut off in
#: the last sixth of the grace period (the platform's rules), in seconds.
EXCUSED_TIME = 3.0
#: How late the answer to a refused request may be, in seconds.
REFUSAL_TIME = 0.5
#: Answers by which a daemon promises that a request has not run.
NOT_RUN = (408, 421, 429, 503)


class Sent(msgspec.Struct, frozen=True):
    """A request that a caller sent, and what it got."""

    request_id: str
    sent_at: float
    took: float
    #: 0 if the connection was closed without an answer.
    status: int
    executed: bool


def text_of(request_id: str, *, is_lookup: bool, deadline_ms: int) -> bytes:
    """Return a request for work that may be repeated, or runs once."""
    method, host, path = (
        ('GET', 'registry.example', '/lookup/x')
        if is_lookup
        else ('POST', 'issuance.example', '/issue/x')
    )
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {host}\r\nShard-Key: 1\r\n'
        f'Attempt-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n'
        'Content-Length: 0\r\n\r\n'
    ).encode()


class LateRequestTest(unittest.IsolatedAsyncioTestCase):
    """One daemon is stopped in calm; callers kept their connections."""

    async def test_requests_at_each_tenth_of_the_grace(self) -> None:
        """Three stops at the same time, with works of 0.1 to 5.5 s."""
        sent_by_work = await asyncio.gather(
            self.play(0.1), self.play(3.0), self.play(5.5)
        )
        cases = [one for sent in sent_by_work for one in sent]
        print(f'{self.id()}: {len(cases)} cases')
        for one in cases:
            self.check(one)
        # Calm callers are served as long as the work fits.
        early = [one for one in sent_by_work[0] if one.sent_at < 2]
        self.assertEqual({one.status for one in early}, {200})

    async def test_short_time_limit_is_served_late(self) -> None:
        """A request that ends by its own limit is passed on."""
        sent = await self.play(0.1, deadline_ms=700, signal_delay=0.0)
        for one in sent:
            self.check(one)
        served = [one for one in sent if one.status == 200]
        self.assertGreater(max(one.sent_at for one in served), 2.0)

    def check(self, one: Sent) -> None:
        """Check that a request was answered, or neither read nor run."""
        if one.status == 200:
            return
        if one.status in NOT_RUN:
            self.assertFalse(one.executed, one)
            self.assertLess(one.took, REFUSAL_TIME, one)
            return
        if one.executed:
            # Its end came with that of the grace period.
            self.assertLess(one.sent_at, EXCUSED_TIME, one)
            self.assertEqual(one.status, 504, one)
            self.assertGreater(one.sent_at + one.took, GRACE * 5 / 6, one)

    async def play(
        self,
        work: float,
        deadline_ms: int = 9000,
        signal_delay: float = 0.1,
    ) -> list[Sent]:
        """Stop a daemon whose targets take a time for each request."""
        async with deployment(keyed=1, gateways=2) as system:
            gateway = system.gateways[0]
            bounds = msgspec.structs.replace(
                gateway.settings.bounds, grace_s=GRACE
            )
            gateway.settings = msgspec.structs.replace(
                gateway.settings, bounds=bounds
            )
            await wait_for_keys(gateway)
            await lengthen_routes(system, gateway)
            await wait_for_keys(gateway)
            await until(lambda: 'i0' in gateway.view.targets.by_id)
            for target in system.targets:
                target.faults.service_time = work
            await self.warm_up(gateway)
            system.gateways.remove(gateway)
            callers = self.callers(system, gateway, deadline_ms)
            await asyncio.sleep(signal_delay)
            stopping = asyncio.create_task(gateway.stop())
            sent = await asyncio.gather(*callers)
            await stopping
            return sent

    async def warm_up(self, gateway: Gateway) -> None:
        """Let the daemon learn how long its targets take."""
        requests = [
            text_of(f'w{number}', is_lookup=bool(number % 2), deadline_ms=9000)
            for number in range(4)
        ]
        await asyncio.gather(
            *(self.call(connect(gateway), 0, text) for text in requests)
        )

    def callers(
        self, system: Deployment, gateway: Gateway, deadline_ms: int
    ) -> list[asyncio.Task[Sent]]:
        rng = random.Random(SEED)
        tasks = []
        for number in range(MOMENTS * 2):
            is_lookup = bool(number % 2)
            moment = number // 2 + rng.random()
            at = moment / MOMENTS * GRACE
            text = text_of(
                f'r{number}', is_lookup=is_lookup, deadline_ms=deadline_ms
            )
            target = system.targets[0 if is_lookup else -1]
            tasks.append(
                asyncio.create_task(
                    self.send_at(connect(gateway), at, text, target)
                )
            )
        return tasks

    async def send_at(
        self, caller: object, at: float, text: bytes, target: TargetServer
    ) -> Sent:
        request_id = text.split(b'Attempt-Id: ')[1].split(b'\r\n')[0].decode()
        status, took = await self.call(caller, at, text)
        executed = request_id in target.executed_ids
        return Sent(request_id, at, took, status, executed)

    async def call(
        self, caller: object, at: float, text: bytes
    ) -> tuple[int, float]:
        """Send at a time from now; return the status and how long it took."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(at)
        began = loop.time()
        # The daemon keeps the connection unless it stops.
        closing = text.replace(
            b'\r\nContent-Length', b'\r\nConnection: close\r\nContent-Length'
        )
        try:
            caller.sendall(closing)
            answer = await read_to_end(caller)
        except OSError:
            answer = b''
        status = int(answer.split()[1]) if answer else 0
        return status, loop.time() - began


if __name__ == '__main__':
    unittest.main()
