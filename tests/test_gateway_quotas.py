"""Test keys and limits of customers at real daemons, over sockets."""

import asyncio
import contextlib
import time
import unittest
from collections.abc import AsyncIterator
from http import HTTPStatus

import aiohttp
import logbook

from cassialever.gateway.application import Gateway
from tests.fleet_helpers import (
    CONFIGURATION,
    Deployment,
    deployment,
    until,
)

CUSTOMERS = {
    'north': {'api_keys': ['secret-n'], 'rate_per_s': 20, 'burst_size': 5},
    'south': {'api_keys': ['secret-s']},
}
HOST = 'issuance.example'


@contextlib.asynccontextmanager
async def fleet(size: int) -> AsyncIterator[Deployment]:
    """Run daemons and a target for callers that need keys."""
    async with deployment(keyed=0) as system:
        system.store.put(
            'op', 'config', {**CONFIGURATION, 'tenants': CUSTOMERS}
        )
        for number in range(1, size):
            await system.add_gateway(f'edge-{number}')
        await until(lambda: all(map(knows, system.gateways)))
        await until(lambda: all(lists(one, size) for one in system.gateways))
        yield system


def knows(gateway: Gateway) -> bool:
    configuration = gateway.view.configuration
    return (
        configuration is not None
        and configuration.has_customers
        and gateway.view.targets.by_id.get('i0') is not None
    )


def lists(gateway: Gateway, size: int) -> bool:
    peers = gateway.core.membership.shared_peers
    return len(peers.complete_peers()) == size and peers.has_current_peers()


def url_of(gateway: Gateway) -> str:
    return f'http://{gateway.settings.listen.callers}/issue/a'


class KeyTest(unittest.IsolatedAsyncioTestCase):
    """Callers with and without a key."""

    async def test_key_reaches_neither_a_log_nor_the_target(self) -> None:
        log = logbook.TestHandler(level=logbook.DEBUG, bubble=False)
        with log.applicationbound():
            async with fleet(1) as system, aiohttp.ClientSession() as session:
                url = url_of(system.gateways[0])
                statuses = []
                for number, key in enumerate(['secret-s', 'secret-x'] * 3):
                    headers = {
                        'Host': HOST,
                        'Api-Key': key,
                        'Tenant': 'north',
                        'Attempt-Id': f'r{number}',
                        'Deadline-Ms': '2000',
                    }
                    async with session.post(
                        url, headers=headers, data=b'x'
                    ) as answer:
                        statuses.append(answer.status)
                        text = await answer.text()
                        self.assertNotIn('secret', f'{answer.headers}{text}')
                    await asyncio.sleep(0)
                target = system.targets[0]
                received = target.received_headers
        self.assertEqual(statuses, [HTTPStatus.OK, HTTPStatus.UNAUTHORIZED] * 3)
        self.assertEqual(len(received), 3)
        for headers in received:
            self.assertNotIn('secret', str(headers))
            self.assertEqual(headers['Tenant'], 'south')
        logged = '\n'.join(map(str, log.formatted_records))
        self.assertNotIn('secret', logged)
        # Once a second, however many come.
        self.assertEqual(logged.count('key_refused'), 1)

    async def test_unknown_key_is_refused_before_the_body(self) -> None:
        async with fleet(1) as system:
            host, port = system.gateways[0].settings.listen.callers.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b'POST /issue/a HTTP/1.1\r\nHost: issuance.example\r\n'
                b'Api-Key: secret-x\r\nContent-Length: 1000000\r\n\r\n'
            )
            async with asyncio.timeout(1):
                head = await reader.readuntil(b'\r\n\r\n')
            writer.close()
        self.assertTrue(head.startswith(b'HTTP/1.1 401 '), head)


class LimitTest(unittest.IsolatedAsyncioTestCase):
    """A customer's requests at three daemons."""

    async def send(
        self,
        session: aiohttp.ClientSession,
        gateway: Gateway,
        key: str,
        duration: float,
        rate: float,
    ) -> None:
        ends_at = time.monotonic() + duration
        while time.monotonic() < ends_at:
            await asyncio.sleep(1 / rate)
            self.sent += 1
            headers = {
                'Host': HOST,
                'Api-Key': key,
                'Attempt-Id': f'{key}-{self.sent}',
                'Deadline-Ms': '2000',
            }
            async with session.post(url_of(gateway), headers=headers) as one:
                self.statuses.append(one.status)
                if one.status == HTTPStatus.TOO_MANY_REQUESTS:
                    self.assertGreater(float(one.headers['Retry-After']), 0)

    def setUp(self) -> None:
        self.sent = 0
        self.statuses: list[int] = []

    async def test_all_daemons_together_keep_the_limit(self) -> None:
        async with fleet(3) as system, aiohttp.ClientSession() as session:
            # Until no list from before the start can be in use.
            await asyncio.sleep(2.5)
            await self.send(session, system.gateways[1], 'secret-n', 2, 10)
            calm = self.statuses
            self.assertGreaterEqual(calm.count(HTTPStatus.OK) / len(calm), 0.99)
            self.statuses = []
            await asyncio.gather(
                *(
                    self.send(session, one, 'secret-n', 3, 40)
                    for one in system.gateways
                )
            )
            limited = self.statuses
            # Without an allowance, in less than a window.
            self.assertLessEqual(limited.count(HTTPStatus.OK), 3 * 20 + 5 + 3)
            self.assertGreater(limited.count(HTTPStatus.OK), 0.7 * 3 * 20)
            self.assertEqual(
                limited.count(HTTPStatus.OK)
                + limited.count(HTTPStatus.TOO_MANY_REQUESTS),
                len(limited),
            )
            self.statuses = []
            await self.send(session, system.gateways[2], 'secret-s', 1, 50)
            self.assertEqual(set(self.statuses), {HTTPStatus.OK})
            readings = system.gateways[0].core.shared_limits.readings()
        named = {(one.name, *one.labels.values()) for one in readings}
        self.assertIn(('customer_refused', 'north'), named)


if __name__ == '__main__':
    unittest.main()
