"""Tests of requests whose route changes while they wait."""

import asyncio
import copy
import unittest
from typing import Any

import msgspec

from cassialever.fleet.view import ignore_changes
from cassialever.gateway.routing import route_request
from cassialever.gateway.sender import TargetRequest
from cassialever.policy.freshness import Knowledge
from standins.keyed_target import TargetServer
from tests.fleet_helpers import (
    CONFIGURATION,
    SERVICES,
    Deployment,
    deployment,
    until,
)
from tests.gateway_helpers import ISSUE_HEADERS, send_request
from tests.test_leaving_targets import slow_connections


def configuration(version: int, upstream: str = '') -> dict[str, Any]:
    """Return one whose route leads to a service; without the route if empty."""
    changed = copy.deepcopy(CONFIGURATION)
    changed['version'] = f'r{version}'
    changed['services'] = {**SERVICES, 'later': SERVICES['issuance']}
    if upstream:
        changed['routes']['r-issue']['upstream'] = upstream
    else:
        changed['routes'].pop('r-issue')
    return changed


class RouteChangeTest(unittest.IsolatedAsyncioTestCase):
    """A configuration is adopted while a request waits for its connection."""

    async def change_while_connecting(
        self, system: Deployment, changed: dict[str, Any]
    ) -> int:
        """Return the status of a request that was routed before a change."""
        gateway = system.gateways[0]
        first = system.targets[-1]
        await until(lambda: len(gateway.view.targets.by_id) == 2)
        later = TargetServer('l0', 'later', is_keyed=False)
        await system.add_target(later)
        await until(lambda: len(gateway.view.targets.by_id) == 3)
        with slow_connections(first.address) as begun:
            sending = asyncio.create_task(
                send_request(gateway, '/issue/', ISSUE_HEADERS)
            )
            await asyncio.wait_for(begun.wait(), 5)
            system.store.put('op', 'config', changed)
            await until(lambda: gateway.view.configuration.version == 9)
            return (await sending).status

    async def test_request_routed_before_a_change_is_sent_by_it(self) -> None:
        """It was sent to the old service after the new one was in force."""
        async with deployment(keyed=1) as system:
            status = await self.change_while_connecting(
                system, configuration(9, 'later')
            )
            self.assertEqual(status, 200)
            self.assertEqual(system.targets[1].executed_ids, [])
            self.assertEqual(system.targets[2].executed_ids, ['a1'])

    async def test_request_whose_route_was_dropped_is_not_sent(self) -> None:
        """It was sent by the dropped route after the change was in force."""
        async with deployment(keyed=1) as system:
            status = await self.change_while_connecting(
                system, configuration(9)
            )
            self.assertEqual(status, 404)
            self.assertEqual(system.targets[1].executed_ids, [])

    async def test_change_of_other_routes_delays_nothing(self) -> None:
        async with deployment(keyed=1) as system:
            status = await self.change_while_connecting(
                system, configuration(9, 'issuance')
            )
            self.assertEqual(status, 200)
            self.assertEqual(system.targets[1].executed_ids, ['a1'])


class OutdatedTablesTest(unittest.IsolatedAsyncioTestCase):
    """Requests at a daemon that knows that it is behind."""

    async def test_requests_are_not_decided_by_outdated_tables(self) -> None:
        """They were sent by tables that the daemon knew to be outdated."""
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await until(lambda: len(gateway.view.targets.by_id) == 2)
            router = gateway.core.forwarder.router
            router.knowledge = lambda: Knowledge(age=2.1, behind_for=1.0)
            response = await send_request(gateway, '/issue/', ISSUE_HEADERS)
            self.assertEqual(response.status, 503)
            self.assertLess(float(response.headers['Retry-After']), 0.5)
            self.assertEqual(system.targets[1].executed_ids, [])
            router.knowledge = lambda: Knowledge(
                age=2.1,
                unconfirmed_for=1.0,
                behind_for=1.0,
                can_catch_up=False,
            )
            response = await send_request(gateway, '/issue/', ISSUE_HEADERS)
            self.assertEqual(response.status, 200)

    async def test_unknown_route_is_final_by_the_newest_tables_only(
        self,
    ) -> None:
        """A route that was added got a 404 from a daemon that was behind."""
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await until(lambda: len(gateway.view.targets.by_id) == 2)
            router = gateway.core.forwarder.router
            unknown = {**ISSUE_HEADERS, 'Host': 'unknown.example'}
            for knowledge, status in (
                (Knowledge(), 404),
                (Knowledge(behind_for=0.05), 404),
                (Knowledge(behind_for=0.05, lacks_configuration=True), 503),
                (Knowledge(age=2.5, unconfirmed_for=9.0), 503),
            ):
                router.knowledge = lambda one=knowledge: one
                with self.subTest(knowledge=knowledge):
                    response = await send_request(gateway, '/issue/', unknown)
                    self.assertEqual(response.status, status)
                    self.assertEqual(
                        'Retry-After' in response.headers, status == 503
                    )

    async def test_request_waits_for_a_route_that_was_added(self) -> None:
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await until(lambda: len(gateway.view.targets.by_id) == 2)
            system.store.put('op', 'config', configuration(8))
            await until(lambda: gateway.view.configuration.version == 8)
            router = gateway.core.forwarder.router
            router.knowledge = lambda: Knowledge(
                behind_for=0.05, lacks_configuration=True
            )
            sending = asyncio.create_task(
                send_request(gateway, '/issue/', ISSUE_HEADERS)
            )
            await asyncio.sleep(0.05)
            system.store.put('op', 'config', configuration(9, 'issuance'))
            self.assertEqual((await sending).status, 200)

    async def test_requests_wait_for_newer_tables(self) -> None:
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await until(lambda: len(gateway.view.targets.by_id) == 2)
            router = gateway.core.forwarder.router
            router.knowledge = lambda: Knowledge(age=2.1, behind_for=1.0)
            sending = asyncio.create_task(
                send_request(gateway, '/issue/', ISSUE_HEADERS)
            )
            await asyncio.sleep(0.1)
            self.assertEqual(system.targets[1].executed_ids, [])
            router.knowledge = Knowledge
            self.assertEqual((await sending).status, 200)

    async def test_request_that_waited_is_not_refused_unconfirmed(self) -> None:
        """It got a 503 that told of newer tables, of which none were known."""
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await until(lambda: len(gateway.view.targets.by_id) == 2)
            router = gateway.core.forwarder.router
            routed = route_request(
                gateway.view,
                TargetRequest('a1', 'GET', '/issue/', ISSUE_HEADERS, b''),
                ISSUE_HEADERS['Host'],
                gateway.core.clock.monotonic(),
            )
            waited = msgspec.structs.replace(
                routed, received_at=routed.received_at - routed.route.objective
            )
            router.knowledge = lambda: Knowledge(age=2.1, unconfirmed_for=0.05)
            asking = asyncio.create_task(router.find_again(waited))
            await asyncio.sleep(0.05)
            router.knowledge = lambda: Knowledge(age=2.2, unconfirmed_for=0.11)
            self.assertIs(await asking, waited)

    async def test_request_placed_before_the_notice_is_not_sent(self) -> None:
        """The daemon hears of newer tables while the request connects."""
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await until(lambda: len(gateway.view.targets.by_id) == 2)
            router = gateway.core.forwarder.router
            with slow_connections(system.targets[1].address) as begun:
                sending = asyncio.create_task(
                    send_request(gateway, '/issue/', ISSUE_HEADERS)
                )
                await asyncio.wait_for(begun.wait(), 5)
                router.knowledge = lambda: Knowledge(age=2.1, behind_for=1.0)
                self.assertEqual((await sending).status, 503)
            self.assertEqual(system.targets[1].executed_ids, [])

    async def test_change_that_a_leader_does_not_relay_is_heard_of(
        self,
    ) -> None:
        """Its followers did not hear of it: its tables are not old."""
        async with deployment(keyed=1, gateways=3) as system:
            for gateway in system.gateways:
                await until(
                    lambda one=gateway: len(one.core.membership.peers()) == 3
                )
            await asyncio.sleep(0.3)
            for gateway in system.gateways:
                gateway.view.on_change = ignore_changes
            system.store.put('op', 'config', configuration(9, 'issuance'))
            for gateway in system.gateways:
                await until(
                    lambda one=gateway: one.view.configuration.version == 9, 1.5
                )


if __name__ == '__main__':
    unittest.main()
