"""Play daemons together on real sockets: the store away, leaders lost."""

import asyncio
import unittest

import logbook

from cassialever.fleet.membership import MemberState
from cassialever.gateway.application import Gateway
from standins.listening import free_ports
from tests.fleet_helpers import (
    CONFIGURATION,
    Deployment,
    deployment,
    make_settings,
    until,
)
from tests.gateway_helpers import LOOKUP, ask, keyed


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """The platform's store away, slow to tell, or forgetful."""

    async def test_service_goes_on_without_the_store(self) -> None:
        async with deployment() as made:
            gateway = made.gateways[0]
            await keyed(gateway)
            made.store.refuse_with = 503
            for number in range(30):
                answered = await ask(gateway, '/lookup/', LOOKUP, f'e{number}')
                self.assertEqual(answered.status, 200)
                await asyncio.sleep(0.1)

    async def test_forgotten_history(self) -> None:
        async with deployment() as made:
            gateway = made.gateways[0]
            await until(lambda: gateway.server.is_ready)
            made.store.rows.forget()
            newer = {**CONFIGURATION, 'version': 'r9', 'routes': {}}
            made.store.put('op', 'config', newer)
            made.store.rows.forget()
            await until(lambda: gateway.view.configuration.version == 9)
            answered = await ask(gateway, '/lookup/', LOOKUP)
            self.assertEqual(answered.status, 404)

    async def test_lost_answers_deal_the_keys_once(self) -> None:
        async with deployment(gateways=0) as made:
            made.store.loses_answers = True
            gateway = await made.add_gateway('edge-0')
            await asyncio.sleep(1)
            made.store.loses_answers = False
            await keyed(gateway)
            held = [one.keys_held() for one in made.targets[:2]]
            self.assertEqual(sum(held), 65536)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Several daemons."""

    async def test_followers_learn_from_the_leader(self) -> None:
        async with deployment(gateways=3) as made:
            await until(lambda: len(_leaders(made)) == 1)
            for gateway in made.gateways:
                await keyed(gateway)
                answered = await ask(gateway, '/lookup/', LOOKUP)
                self.assertEqual(answered.status, 200)
                await until(
                    lambda one=gateway: one.core.membership.daemon_count == 3
                )
            before = dict(made.store.calls)
            await asyncio.sleep(2)
            followed = made.store.calls.get('/cassialever/rows-feed', 0)
            # Two tables, by the leader alone.
            self.assertLessEqual(
                followed - before.get('/cassialever/rows-feed', 0),
                6,
            )

    async def test_start_asks_little_of_the_store(self) -> None:
        """A daemon that finds a leader reads no table by itself."""
        async with deployment(gateways=0) as made:
            await asyncio.gather(
                *(made.add_gateway(f'edge-{number}') for number in range(5)),
            )
            for gateway in made.gateways:
                await until(lambda one=gateway: one.server.is_ready)
            reads = made.store.calls['/cassialever/rows-get']
            # The leader reads four tables; the others ask who leads, try
            # the lease, and ask once more.
            self.assertLessEqual(reads, 6 + 4 * 3)

    async def test_killed_leader_is_replaced(self) -> None:
        async with deployment(gateways=3) as made:
            await until(lambda: len(_leaders(made)) == 1)
            first = _leaders(made)[0]
            for gateway in made.gateways:
                await keyed(gateway)
            await made.kill_gateway(first)
            await until(lambda: len(_leaders(made)) == 1)
            await asyncio.sleep(3)
            for gateway in made.gateways:
                answered = await ask(gateway, '/lookup/', LOOKUP)
                self.assertEqual(answered.status, 200)

    async def test_leader_that_stops_hands_over(self) -> None:
        async with deployment(gateways=2) as made:
            await until(lambda: len(_leaders(made)) == 1)
            first = _leaders(made)[0]
            other = next(one for one in made.gateways if one is not first)
            await until(
                lambda: other.core.membership.state is MemberState.following,
            )
            await first.core.membership.resign()
            await until(
                lambda: other.core.membership.leader_term is not None, 3
            )

    async def test_leader_cut_from_the_store_is_replaced(self) -> None:
        async with deployment(gateways=2) as made:
            await until(lambda: len(_leaders(made)) == 1)
            first = _leaders(made)[0]
            other = next(one for one in made.gateways if one is not first)
            await until(lambda: other.core.membership.link.is_open)
            first.core.store.address = '127.0.0.1:9'
            await until(lambda: other.core.membership.leader_term is not None)
            await until(lambda: first.core.membership.leader_term is None)
            await until(
                lambda: first.core.membership.state is MemberState.following,
            )

    async def test_store_lost_and_regained_is_logged(self) -> None:
        """By a follower too, which regains it through the leader."""
        async with deployment(gateways=2) as made:
            other = next(
                one
                for one in made.gateways
                if one.core.membership.leader_term is None
            )
            await until(lambda: other.core.membership.link.is_open)
            handler = logbook.TestHandler(level=logbook.INFO)

            def told(number: str) -> int:
                lines = [str(one.message) for one in handler.records]
                return sum(line.startswith(number) for line in lines)

            with handler.applicationbound():
                made.store.refuse_with = 503
                # The leader follows two tables, the other one three.
                await until(lambda: told('501') == 5)
                self.assertFalse(other.core.membership.is_store_reachable())
                made.store.refuse_with = None
                await until(lambda: told('502') == 5)
                self.assertTrue(other.core.membership.is_store_reachable())

    async def test_daemon_learns_from_seeds_without_the_store(self) -> None:
        async with deployment(gateways=1) as made:
            first = made.gateways[0]
            await keyed(first)
            ports = free_ports(3)
            settings = make_settings('127.0.0.1:9', ports, 'edge-9')
            late = Gateway(settings)
            made.gateways.append(late)
            # On the platform the port is the same everywhere; here it is
            # told in place of the seed's.
            late.core.membership.link.addresses_by_id = {
                'edge-0': first.settings.internal_address,
            }
            await late.start()
            await until(lambda: late.server.is_ready)
            answered = await ask(late, '/lookup/', LOOKUP)
            self.assertEqual(answered.status, 200)


def _leaders(made: Deployment) -> list[Gateway]:
    return [
        one
        for one in made.gateways
        if one.core.membership.leader_term is not None
    ]


if __name__ == '__main__':
    unittest.main()
