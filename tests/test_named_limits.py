"""Tests of limits that targets name, over real sockets."""

import asyncio
import itertools
import unittest

from standins.keyed_target import TargetServer
from tests.fleet_helpers import Deployment, deployment, until
from tests.gateway_helpers import (
    ISSUE_HEADERS,
    LOOKUP_HEADERS,
    send_request,
    wait_for_keys,
)
from tests.replay_helpers import (
    LIMIT_STABLE_TIME,
    LIMIT_WINDOW,
    allowed_requests,
    most_in_span,
)

#: About that of the users' targets, in seconds.
SERVICE_TIME = 0.1


class NamedLimitTest(unittest.IsolatedAsyncioTestCase):
    """Targets that name the requests per second that they take."""

    async def send_for(
        self, system: Deployment, duration: float, interval: float, issue: bool
    ) -> list[int]:
        """Send at an interval from every daemon; return the statuses."""
        for target in system.targets:
            target.faults.service_time = SERVICE_TIME
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration
        sending = []
        for number in itertools.count():
            if loop.time() >= ends_at:
                break
            for gateway in system.gateways:
                key = str(number * 7919 % 65536)
                headers = {**LOOKUP_HEADERS, 'Shard-Key': key}
                path = '/lookup/'
                if issue:
                    headers, path = ISSUE_HEADERS, '/issue/'
                request_id = f'{gateway.settings.listen.callers}-{number}'
                sending.append(
                    asyncio.create_task(
                        send_request(gateway, path, headers, request_id)
                    )
                )
            await asyncio.sleep(interval)
        return [response.status for response in await asyncio.gather(*sending)]

    def check_limit(
        self, target: TargetServer, limit: float, named_at: float
    ) -> None:
        """Check the windows that begin once the limit has to be kept."""
        judged = [
            at
            for at in target.work.received_at
            if at >= named_at + LIMIT_STABLE_TIME
        ]
        self.assertLessEqual(
            most_in_span(judged, LIMIT_WINDOW), allowed_requests(limit)
        )

    async def test_owner_gets_no_more_than_the_limit_it_named(self) -> None:
        """Owners of keys, of which one names a limit far below its load."""
        limit = 2.4
        async with deployment(keyed=3, gateways=3) as system:
            for gateway in system.gateways:
                await wait_for_keys(gateway)
            limited = system.targets[0]
            limited.faults.named_limit = limit
            named_at = asyncio.get_running_loop().time()
            statuses = await self.send_for(
                system, LIMIT_STABLE_TIME + LIMIT_WINDOW + 2, 0.1, issue=False
            )
        self.check_limit(limited, limit, named_at)
        # It is not cut off: only its requests tell when the limit ends.
        self.assertGreater(
            most_in_span(limited.work.received_at, LIMIT_WINDOW), limit
        )
        self.assertGreater(statuses.count(200) / len(statuses), 0.8)

    async def test_interchangeable_target_gets_no_more_than_its_limit(
        self,
    ) -> None:
        limit = 3.3
        async with deployment(keyed=1, gateways=3) as system:
            for number in (1, 2):
                await system.add_target(
                    TargetServer(f'i{number}', 'issuance', is_keyed=False)
                )
            for gateway in system.gateways:
                await until(
                    lambda one=gateway: len(one.view.targets.by_id) == 4
                )
            limited = system.targets[-1]
            limited.faults.named_limit = limit
            named_at = asyncio.get_running_loop().time()
            statuses = await self.send_for(
                system, LIMIT_STABLE_TIME + LIMIT_WINDOW + 1, 0.1, issue=True
            )
        self.check_limit(limited, limit, named_at)
        self.assertGreater(
            most_in_span(limited.work.received_at, LIMIT_WINDOW), limit
        )
        self.assertEqual(set(statuses), {200})


if __name__ == '__main__':
    unittest.main()
