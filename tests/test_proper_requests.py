"""Tests of requests that are unusual, but proper."""

import unittest

from cassialever.gateway.front import MAX_FIELD_BYTES
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
                    # The stand-in target has the limit of 128 itself.
                    self.assertNotEqual(response.status, 400)


if __name__ == '__main__':
    unittest.main()
