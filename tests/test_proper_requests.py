"""Tests of requests that are unusual, but proper."""

import asyncio
import unittest

from cassialever.gateway.front import MAX_FIELD_BYTES
from cassialever.gateway.routes import split_request_target
from tests.fleet_helpers import deployment, until
from tests.gateway_helpers import ISSUE_HEADERS, send_request


class ManyFieldsTest(unittest.IsolatedAsyncioTestCase):
    """The operators limit the bytes of all headers, not their number."""

    async def test_many_short_fields_are_no_reason_to_refuse(self) -> None:
        """A request with more than 128 fields got a 400."""
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await until(lambda: len(gateway.view.targets.by_id) == 2)
            for count in (120, 500):
                fields = {f'X-{number}': 'a' for number in range(count)}
                size = sum(len(name) + 5 for name in fields)
                self.assertLess(size, MAX_FIELD_BYTES)
                with self.subTest(fields=count):
                    response = await send_request(
                        gateway, '/issue/', {**ISSUE_HEADERS, **fields}
                    )
                    self.assertEqual(response.status, 200)


class WholeUrlTest(unittest.IsolatedAsyncioTestCase):
    """A request names its target by a whole URL, as to a proxy."""

    async def test_whole_url_is_routed_by_its_host_and_path(self) -> None:
        """It got a 404, as its scheme was taken for a part of the path."""
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await until(lambda: len(gateway.view.targets.by_id) == 2)
            host, _, port = gateway.settings.listen.callers.partition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b'GET http://issuance.example/issue/?a=b://c HTTP/1.1\r\n'
                b'Host: issuance.example\r\nAttempt-Id: a1\r\n'
                b'Connection: close\r\n\r\n'
            )
            answer = await reader.read()
            writer.close()
            self.assertTrue(answer.startswith(b'HTTP/1.1 200 '), answer)
            self.assertIn(b'/issue/?a=b://c', answer)

    def test_host_and_path_of_each_form(self) -> None:
        for request_target, expected in (
            ('/a/?b=http://c/', ('h', '/a/?b=http://c/')),
            ('http://c:80/a/?b', ('c:80', '/a/?b')),
            ('HTTP://c', ('c', '/')),
            ('https://u:p@c/', ('c', '/')),
            ('*', ('h', '*')),
        ):
            with self.subTest(request_target=request_target):
                self.assertEqual(
                    split_request_target(request_target, 'h'), expected
                )


if __name__ == '__main__':
    unittest.main()
