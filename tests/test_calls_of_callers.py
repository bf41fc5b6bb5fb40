"""Tests of requests of callers that look like calls about keys."""

import time
import unittest

import aiohttp
import msgspec

from cassialever.fleet.model import StartedAt
from cassialever.gateway.hop_messages import HopRequest, encode_request
from cassialever.keys.assignments import MAX_FIRST_FENCE
from cassialever.platform.call_paths import is_call_path
from cassialever.types import InstanceId, TargetId
from tests.fleet_helpers import CONFIGURATION, ROUTES, deployment, until
from tests.gateway_helpers import (
    LOOKUP_HEADERS,
    send_request,
    wait_for_keys,
)

#: A fence above all that leaders give in a test.
FENCE = MAX_FIRST_FENCE
#: Routes of a service with keys that cover the paths of calls about keys.
PREFIXES = ('/', '/cassialever/')


class CallPathTest(unittest.IsolatedAsyncioTestCase):
    """A route of a service with keys covers the paths of its calls."""

    async def test_request_of_a_caller_gives_no_keys(self) -> None:
        # A target took its keys under the fence of a caller, and no leader
        # could renew them any more.
        for prefix in PREFIXES:
            with self.subTest(prefix=prefix):
                await self.check(prefix)

    async def check(self, prefix: str) -> None:
        configuration = {
            **CONFIGURATION,
            'version': 'r8',
            'routes': {
                **ROUTES,
                'r-all': {**ROUTES['r-lookup'], 'path_prefix': prefix},
            },
        }
        call = {'from': 0, 'target': 65535, 'fence': FENCE, 'hold_ms': 2000}
        async with deployment() as system:
            gateway = system.gateways[0]
            system.store.put('op', 'config', configuration)
            await wait_for_keys(gateway)
            await until(
                lambda: (
                    gateway.view.routes.find('registry.example', prefix)
                    is not None
                )
            )
            for path in ('/cassialever/grant', '/cassialever/release'):
                response = await send_request(
                    gateway,
                    path,
                    LOOKUP_HEADERS,
                    method='POST',
                    data=msgspec.json.encode(call),
                )
                self.assertEqual(response.status, 404, path)
            for target in system.targets:
                for grant in target.keys.grants:
                    self.assertLess(grant.fence, FENCE)
            response = await send_request(
                gateway, '/lookup/cassialever/grant', LOOKUP_HEADERS
            )
            self.assertEqual(response.status, 200)

    async def test_helper_passes_no_call_on(self) -> None:
        # A daemon of a build that sends such requests asked it to.
        async with deployment() as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            target = system.targets[0]
            call = {'from': 0, 'target': 9, 'fence': FENCE, 'hold_ms': 2000}
            for path in ('/cassialever/grant', '/lookup/'):
                hop = HopRequest(
                    'POST',
                    path,
                    TargetId(target.target_id),
                    StartedAt(target.born),
                    2.0,
                    InstanceId('edge-9'),
                    7,
                    time.time(),
                    'n1',
                )
                async with (
                    aiohttp.ClientSession() as session,
                    session.post(
                        f'http://{gateway.settings.hop_address}{path}',
                        headers={
                            **LOOKUP_HEADERS,
                            'Attempt-Id': 'a1',
                            **dict(encode_request(hop, '')),
                        },
                        data=msgspec.json.encode(call),
                    ) as response,
                ):
                    outcome = response.headers['Daemon-Hop-Outcome']
                is_call = path != '/lookup/'
                self.assertEqual(outcome == 'not_run', is_call, path)
            fences = [one.fence for one in target.keys.grants]
            self.assertNotIn(FENCE, fences)

    def test_paths_that_a_target_may_read_as_those_of_calls(self) -> None:
        for path in (
            '/cassialever/grant?a=b',
            '/cassialever/release/',
            '//cassialever//grant',
            '/cassialever/./grant',
            '/lookup/../cassialever/grant',
            '/cassialever/%67rant',
            '/cassialever%2Frelease',
            '/Cassialever/Grant',
            'cassialever/grant',
        ):
            with self.subTest(path=path):
                self.assertTrue(is_call_path(path))

    def test_paths_of_other_requests(self) -> None:
        for path in (
            '/',
            '*',
            '/grant',
            '/lookup/cassialever/grant',
            '/cassialever/grant/x',
            '/cassialever/granted',
            '/cassialever/',
            '/lookup/?/cassialever/grant',
            '/lookup/%zz',
        ):
            with self.subTest(path=path):
                self.assertFalse(is_call_path(path))


if __name__ == '__main__':
    unittest.main()
