"""Tests that one malformed message costs no answer and ends no daemon."""

import asyncio
import unittest
from unittest import mock

from cassialever.events import Event
from cassialever.exceptions import InvariantError
from cassialever.gateway import connections
from cassialever.gateway.application import Gateway
from tests.fleet_helpers import deployment, until
from tests.gateway_helpers import (
    ISSUE_HEADERS,
    LOOKUP_HEADERS,
    send_request,
    wait_for_keys,
)

#: Longer than a request takes on a busy computer, in seconds.
TIMEOUT = 20.0


class CallerMessageTest(unittest.IsolatedAsyncioTestCase):
    """Requests that are malformed."""

    async def assert_serves(self, gateway: Gateway) -> None:
        """Assert that the daemon still serves and no part has failed."""
        response = await send_request(gateway, '/lookup/', LOOKUP_HEADERS)
        self.assertEqual(response.status, 200)
        self.assertFalse(gateway.core.failed.is_set())

    async def test_numbers_without_end_count_as_missing(self) -> None:
        """Python refuses to convert more than 4300 digits."""
        async with deployment() as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            for digits in (400, 5000):
                response = await send_request(
                    gateway,
                    '/lookup/',
                    {**LOOKUP_HEADERS, 'Deadline-Ms': '9' * digits},
                )
                self.assertEqual(response.status, 200)
                response = await send_request(
                    gateway,
                    '/issue/',
                    {**ISSUE_HEADERS, 'Shard-Key': '9' * digits},
                    method='POST',
                )
                self.assertEqual(response.status, 200)
            await self.assert_serves(gateway)

    async def test_bytes_that_are_no_request_end_their_connection(
        self,
    ) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            for sent in (
                b'\x00\xff\r\n\r\n',
                b'GET / HTTP/9.9\r\n\r\n',
                b'GET / HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n\r\n',
                b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
                b'GET http://[bad/ HTTP/1.1\r\nHost: [\r\n\r\n',
            ):
                host, port = gateway.settings.listen.callers.split(':')
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(sent)
                writer.write_eof()
                async with asyncio.timeout(TIMEOUT):
                    answer = await reader.read()
                writer.close()
                with self.subTest(sent=sent):
                    # Neither a success nor the promise of a 503.
                    self.assertRegex(answer, b'^(HTTP/1.[01] (4|500)|$)')
            await self.assert_serves(gateway)

    async def test_malformed_request_is_no_fault_of_the_router(self) -> None:
        """Each one was logged and counted as an unhandled exception."""
        async with deployment() as system:
            callers = system.gateways[0].settings.listen.callers
            host, port = callers.split(':')
            with (
                self.assertNoLogs('aiohttp.server', 'ERROR'),
                mock.patch.object(connections, 'record') as recorded,
            ):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b'GET / HTTP/9.9\r\n\r\n')
                async with asyncio.timeout(TIMEOUT):
                    answer = await reader.read()
                writer.close()
            self.assertIn(b' 400 ', answer)
            recorded.assert_called_once_with(
                Event.request_refused, status=400, reason=mock.ANY
            )

    async def test_fault_of_the_router_is_no_promise(self) -> None:
        """The request may have run when the fault shows."""
        async with deployment() as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            with (
                self.assertLogs('aiohttp.server', 'ERROR'),
                mock.patch.object(
                    gateway.core.forwarder.counters,
                    'record_answer',
                    side_effect=InvariantError('a fault'),
                ),
            ):
                response = await send_request(
                    gateway, '/issue/', ISSUE_HEADERS, method='POST'
                )
            self.assertEqual(response.status, 500)
            self.assertNotIn('Retry-After', response.headers)
            self.assertEqual(len(system.targets[-1].executed_ids), 1)
            await self.assert_serves(gateway)


class TargetMessageTest(unittest.IsolatedAsyncioTestCase):
    """Answers of targets with malformed headers."""

    async def test_malformed_load_does_not_cost_the_answer(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            target = system.targets[-1]
            headers = target._response_headers('a1')
            for load in ('nan,0,6', '1,inf,6', '1e999,0,6,100', '1,0,6,nan'):
                headers['Instance-Load'] = load
                with (
                    self.subTest(load=load),
                    mock.patch.object(
                        target, '_response_headers', return_value=headers
                    ),
                ):
                    response = await send_request(
                        gateway, '/issue/', ISSUE_HEADERS, method='POST'
                    )
                    self.assertEqual(response.status, 200)
            response = await send_request(
                gateway, '/issue/', ISSUE_HEADERS, method='POST'
            )
            self.assertEqual(response.status, 200)


if __name__ == '__main__':
    unittest.main()
