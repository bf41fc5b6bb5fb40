"""Tests of targets that say in their answers that they leave."""

import asyncio
import contextlib
import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

from cassialever.fleet.target_registry import MAX_OWNER_LEAVING_TIME
from cassialever.gateway.application import Gateway
from cassialever.platform import sessions
from standins.keyed_target import TargetServer
from tests.fleet_helpers import Deployment, deployment, until
from tests.gateway_helpers import (
    ISSUE_HEADERS,
    LOOKUP_HEADERS,
    send_request,
    wait_for_keys,
)

#: Time within which every daemon knows what one of them was told, in seconds.
TIME_TO_KNOW = 0.5
#: How long a daemon may go on after it was told, in seconds.
DRAIN_TIME = 2.0
#: How long a slow connection takes, in seconds.
CONNECTION_TIME = 0.25


@contextlib.contextmanager
def slow_connections(address: str) -> Iterator[asyncio.Event]:
    """Have new connections to a target take long; tell when one begins."""
    begun = asyncio.Event()
    connector = sessions._CheckingConnector
    create = connector._create_connection

    async def create_slowly(self: Any, req: Any, *arguments: Any) -> Any:
        if f'{req.url.host}:{req.url.port}' == address:
            begun.set()
            await asyncio.sleep(CONNECTION_TIME)
        return await create(self, req, *arguments)

    with mock.patch.object(connector, '_create_connection', create_slowly):
        yield begun


class LeavingCase(unittest.IsolatedAsyncioTestCase):
    """Requests at a fixed interval from some of the daemons."""

    #: Whether callers send a refused request once more.
    retries = True

    async def send_for(
        self, gateways: list[Gateway], duration: float, path: str
    ) -> list[int]:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration
        sending = []
        number = 0
        while loop.time() < ends_at:
            for gateway in gateways:
                number += 1
                headers = ISSUE_HEADERS
                if path == '/lookup/':
                    key = str(number * 7919 % 65536)
                    headers = {**LOOKUP_HEADERS, 'Shard-Key': key}
                request_id = f'{gateway.settings.listen.callers}-{number}'
                sending.append(
                    asyncio.create_task(
                        self.call(gateway, path, headers, request_id)
                    )
                )
            await asyncio.sleep(0.03)
        return await asyncio.gather(*sending)

    async def call(
        self, gateway: Gateway, path: str, headers: dict[str, str], name: str
    ) -> int:
        """Send a request, and once more if that is asked for."""
        response = await send_request(gateway, path, headers, name)
        retry_after = response.headers.get('Retry-After')
        if not self.retries or response.status != 503 or retry_after is None:
            return response.status
        await asyncio.sleep(float(retry_after))
        again = await send_request(gateway, path, headers, f'{name}-again')
        return again.status

    async def send_until_used(
        self, gateways: list[Gateway], target: TargetServer
    ) -> None:
        for _ in range(10):
            await self.send_for(gateways, 0.2, '/issue/')
            if target.executed_ids:
                return
        self.fail('the target got no request')

    async def add_targets(self, system: Deployment, count: int) -> None:
        for number in range(1, count + 1):
            await system.add_target(
                TargetServer(f'i{number}', 'issuance', is_keyed=False)
            )
        for gateway in system.gateways:
            await until(
                lambda one=gateway: len(one.view.targets.by_id) == 2 + count
            )


class LeavingAnswersTest(LeavingCase):
    """A target whose answers say that it leaves; its entry does not."""

    async def test_target_that_says_it_leaves_gets_no_more_requests(
        self,
    ) -> None:
        for daemons in (1, 3):
            with self.subTest(daemons=daemons):
                async with deployment(keyed=1, gateways=daemons) as system:
                    await self.add_targets(system, 2)
                    leaving = system.targets[-1]
                    for slower in system.targets[1:-1]:
                        slower.faults.service_time = 0.05
                    await self.send_until_used(system.gateways, leaving)
                    leaving.faults.says_leaving = True
                    before = await self.send_for(
                        system.gateways, TIME_TO_KNOW, '/issue/'
                    )
                    known = len(leaving.executed_ids)
                    after = await self.send_for(system.gateways, 0.5, '/issue/')
                    self.assertEqual(len(leaving.executed_ids), known)
                    self.assertEqual({*before, *after}, {200})

    async def test_daemons_that_sent_nothing_there_learn_of_it(self) -> None:
        async with deployment(keyed=1, gateways=3) as system:
            await self.add_targets(system, 1)
            leaving = system.targets[-1]
            leaving.faults.says_leaving = True
            for teller in system.gateways:
                before = len(leaving.executed_ids)
                await self.send_for([teller], 0.3, '/issue/')
                if len(leaving.executed_ids) > before:
                    break
            await asyncio.sleep(TIME_TO_KNOW)
            known = len(leaving.executed_ids)
            system_gateways = [*system.gateways, await system.add_gateway('n')]
            await until(
                lambda: len(system_gateways[-1].view.targets.by_id) == 3
            )
            await asyncio.sleep(TIME_TO_KNOW)
            await self.send_for(system_gateways, 0.3, '/issue/')
            self.assertEqual(len(leaving.executed_ids), known)

    async def test_keys_leave_an_owner_that_says_it_leaves(self) -> None:
        async with deployment(keyed=3, gateways=3) as system:
            for gateway in system.gateways:
                await wait_for_keys(gateway)
            leaving = system.targets[0]
            leaving.faults.says_leaving = True
            statuses = await self.send_for(
                system.gateways, DRAIN_TIME, '/lookup/'
            )
            ran = len(leaving.executed_ids)
            self.assertEqual(leaving.held_key_count(), 0)
            # At most one of each daemon is under way when keys are released.
            refused = len(leaving.work.received_at) - ran
            self.assertLessEqual(refused, len(system.gateways))
            statuses += await self.send_for(system.gateways, 0.5, '/lookup/')
            self.assertEqual(len(leaving.executed_ids), ran)
            self.assertEqual(set(statuses), {200})


class FirstTriesTest(LeavingCase):
    """Callers that do not send a refused request once more."""

    retries = False

    async def test_first_tries_for_keys_that_leave_are_refused(self) -> None:
        async with deployment(keyed=3, gateways=3) as system:
            for gateway in system.gateways:
                await wait_for_keys(gateway)
            leaving = system.targets[0]
            leaving.faults.says_leaving = True
            statuses = await self.send_for(
                system.gateways, DRAIN_TIME, '/lookup/'
            )
            statuses += await self.send_for(system.gateways, 0.5, '/lookup/')
            self.assertGreater(statuses.count(200) / len(statuses), 0.95)


class LastOwnerTest(LeavingCase):
    """The only target of a keyed service says that it leaves."""

    retries = False

    async def test_keys_stay_with_the_last_owner_while_it_serves(self) -> None:
        async with deployment(keyed=1, gateways=3) as system:
            for gateway in system.gateways:
                await wait_for_keys(gateway)
            leaving = system.targets[0]
            leaving.faults.says_leaving = True
            statuses = await self.send_for(
                system.gateways, MAX_OWNER_LEAVING_TIME / 2, '/lookup/'
            )
            self.assertEqual(set(statuses), {200})
            await self.send_for(system.gateways, DRAIN_TIME, '/lookup/')
            ran = len(leaving.executed_ids)
            statuses = await self.send_for(system.gateways, 0.5, '/lookup/')
            self.assertEqual(len(leaving.executed_ids), ran)
            self.assertEqual(set(statuses), {503})


class ChosenBeforeTest(LeavingCase):
    """Requests that wait while their target leaves are not sent to it."""

    async def test_request_that_waited_for_a_connection_is_not_sent(
        self,
    ) -> None:
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            leaving = system.targets[-1]
            await until(lambda: len(gateway.view.targets.by_id) == 2)
            with slow_connections(leaving.address) as begun:
                sending = asyncio.create_task(
                    send_request(gateway, '/issue/', ISSUE_HEADERS)
                )
                await asyncio.wait_for(begun.wait(), 5)
                system.store.put(
                    'servers', leaving.target_id, leaving.entry('draining')
                )
                await self.add_targets(system, 1)
                response = await sending
            self.assertEqual(leaving.executed_ids, [])
            self.assertEqual(response.status, 200)


if __name__ == '__main__':
    unittest.main()
