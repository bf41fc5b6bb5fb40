"""Tests of targets that have ended, and whose addresses others have."""

import collections
import unittest

import msgspec

from cassialever.fleet.model import Target
from cassialever.gateway.application import Gateway
from cassialever.platform.records import decode_target
from cassialever.policy.limits import LimitSource, TargetLimit, TargetLimits
from cassialever.types import TargetId
from standins.keyed_target import TargetServer
from tests.fleet_helpers import Deployment, deployment, target_entry, until
from tests.gateway_helpers import (
    ISSUE_HEADERS,
    LOOKUP_HEADERS,
    send_request,
    wait_for_keys,
)
from tests.hop_helpers import (
    cut_off_daemon,
    helper_of,
    readdress,
    set_paths,
    wait_for_budget,
)

#: Time within which every daemon knows what one of them was told, in seconds.
TIME_TO_KNOW = 0.5
#: Hosts at which daemons reach the targets.
HOSTS = ('127.0.0.2', '127.0.0.3', '')


def arrivals(target: TargetServer) -> collections.Counter[str]:
    """Return how often each request has arrived at a target's address."""
    return collections.Counter(
        headers['Attempt-Id'] for headers in target.received_headers
    )


def replace(
    target: TargetServer, target_id: str, *, is_keyed: bool = True
) -> None:
    """Give a target's address to another one, which holds no keys."""
    target.received_headers.clear()
    target.target_id = target_id
    target.is_keyed = is_keyed
    target.simulate_restart()


async def send_to_keys(
    gateways: list[Gateway], name: str, keys: range
) -> list[int]:
    """Send a request for each key, one after the other."""
    statuses = []
    for number, key in enumerate(keys):
        headers = {**LOOKUP_HEADERS, 'Shard-Key': str(key)}
        gateway = gateways[number % len(gateways)]
        response = await send_request(
            gateway, '/lookup/', headers, f'{name}-{number}'
        )
        statuses.append(response.status)
    return statuses


class ReplacedOwnerTest(unittest.IsolatedAsyncioTestCase):
    """An owner of keys whose entry stays in the store after its end."""

    async def test_request_reaches_an_owner_that_was_replaced_once(
        self,
    ) -> None:
        for is_keyed in (True, False):
            with self.subTest(is_keyed=is_keyed):
                async with deployment(keyed=2) as system:
                    await wait_for_keys(system.gateways[0])
                    ended = system.targets[0]
                    replace(ended, 'x9', is_keyed=is_keyed)
                    await send_to_keys(
                        system.gateways, 'r', range(0, 65536, 4096)
                    )
                    self.assertEqual(sum(arrivals(ended).values()), 1)

    async def test_no_daemon_sends_to_an_owner_that_was_replaced(self) -> None:
        async with deployment(keyed=2, gateways=3) as system:
            for gateway in system.gateways:
                await wait_for_keys(gateway)
            ended = system.targets[0]
            replace(ended, 'x9', is_keyed=False)
            first = system.gateways[:1]
            await send_to_keys(first, 'a', range(0, 65536, 8192))
            for gateway in system.gateways:
                await until(
                    lambda one=gateway: _is_replaced(one, 'k0'), TIME_TO_KNOW
                )
            await send_to_keys(system.gateways, 'b', range(0, 65536, 2048))
            self.assertEqual(sum(arrivals(ended).values()), 1)


class ReplacedOwnerThroughHelperTest(unittest.IsolatedAsyncioTestCase):
    """A daemon reaches the address of an owner that has ended by others."""

    async def test_request_reaches_it_once_through_any_helper(self) -> None:
        for knowing in (True, False):
            with self.subTest(knowing=knowing):
                async with cut_off_daemon(daemons=3) as (system, first, helper):
                    await wait_for_budget(first)
                    third = system.gateways[2]
                    set_paths(first, helper_of(helper), helper_of(third))
                    ended = system.targets[0]
                    replace(ended, 'x9', is_keyed=False)
                    if knowing:
                        targets = helper.view.targets
                        # The other daemons learn of it later.
                        targets.limits.on_change = lambda *_: None
                        targets.limits.record_replaced(targets.by_id['k0'])
                    await send_to_keys([first], 'r', range(7, 8))
                    self.assertEqual(sum(arrivals(ended).values()), 1)
                    # The helper that has met the other target reports it.
                    await until(
                        lambda one=first: _is_replaced(one, 'k0'), TIME_TO_KNOW
                    )
                    await send_to_keys([first], 's', range(0, 65536, 8192))
                    self.assertEqual(sum(arrivals(ended).values()), 1)

    async def test_helper_that_knows_sends_nothing(self) -> None:
        async with cut_off_daemon() as (system, first, helper):
            ended = system.targets[0]
            replace(ended, 'x9', is_keyed=False)
            targets = helper.view.targets
            targets.limits.record_replaced(targets.by_id['k0'])
            statuses = await send_to_keys([first], 'r', range(7, 8))
            self.assertEqual(statuses, [503])
            self.assertEqual(sum(arrivals(ended).values()), 0)


class OtherAddressTest(unittest.IsolatedAsyncioTestCase):
    """A helper that has another address of the same life."""

    async def test_answer_there_says_nothing_of_the_own_address(self) -> None:
        async with cut_off_daemon() as (system, first, helper):
            owner = system.targets[0]
            other = next(one for one in system.targets if one.target_id == 'i0')
            readdress(helper, 'k0', other.address)
            await send_request(first, '/lookup/', LOOKUP_HEADERS, 'r1')
            self.assertEqual(arrivals(other)['r1'], 1)
            targets = first.view.targets
            self.assertEqual(targets.by_id['k0'].shared_address, owner.address)
            self.assertFalse(targets.limits.is_replaced(targets.by_id['k0']))


class ReplacedTargetTest(unittest.IsolatedAsyncioTestCase):
    """A target without keys whose entry stays in the store after its end."""

    async def test_requests_go_to_the_other_targets(self) -> None:
        async with deployment(keyed=1) as system:
            await self.add_target(system)
            # Without it there is no budget for retries.
            await until(
                lambda: system.gateways[0].core.forwarder.daemon_count > 0
            )
            ended = system.targets[-1]
            replace(ended, 'x9', is_keyed=False)
            statuses = [
                (
                    await send_request(
                        system.gateways[0], '/issue/', ISSUE_HEADERS, f'r{one}'
                    )
                ).status
                for one in range(40)
            ]
            self.assertEqual(set(statuses), {200})
            self.assertLessEqual(sum(arrivals(ended).values()), 1)

    async def add_target(self, system: Deployment) -> None:
        await system.add_target(TargetServer('i1', 'issuance', is_keyed=False))
        await until(lambda: 'i1' in system.gateways[0].view.targets.by_id)


class OwnHostTest(unittest.TestCase):
    """Daemons that reach the targets at hosts of their own."""

    def test_report_of_a_daemon_with_another_host_ends_the_belief(
        self,
    ) -> None:
        content = msgspec.json.encode(target_entry(address='127.0.0.1:8707'))
        limits_by_host = {host: TargetLimits() for host in HOSTS}
        target_by_host = {}
        for host, limits in limits_by_host.items():
            target = decode_target('k0', content, host)
            assert isinstance(target, Target)
            target_by_host[host] = target
            limits.record_replaced(target)
        reported = limits_by_host[HOSTS[1]].of(TargetId('k0'))
        assert reported is not None
        for host in HOSTS[0], HOSTS[-1]:
            with self.subTest(host=host):
                limits_by_host[host].merge(reported, LimitSource('the leader'))
                self.assertTrue(
                    limits_by_host[host].is_replaced(target_by_host[host])
                )


class MaskedReportTest(unittest.TestCase):
    """Two reports on one life with two addresses."""

    def test_wrong_address_does_not_hide_the_right_one(self) -> None:
        for wrong in ('10.1.64.0:8707', '10.1.64.9:8707'):
            with self.subTest(wrong):
                limits = TargetLimits()
                target = _target()
                limits.merge(
                    TargetLimit(target.target_id, 1000, replaced_at=wrong),
                    LimitSource('the leader'),
                )
                limits.record_replaced(target)
                self.assertTrue(limits.is_replaced(target))

    def test_report_on_another_life_does_not_hide_that_of_the_entry(
        self,
    ) -> None:
        # The entry of the other life has not come, or a clock stepped back.
        limits = TargetLimits()
        target = _target()
        limits.merge(
            TargetLimit(target.target_id, 2000, leaving_since=1.0),
            LimitSource('the leader'),
        )
        limits.record_replaced(target)
        self.assertTrue(limits.is_replaced(target))


def _target() -> Target:
    content = msgspec.json.encode(target_entry(address='10.1.64.1:8707'))
    target = decode_target('k0', content, '')
    assert isinstance(target, Target)
    return target


def _is_replaced(gateway: Gateway, target_id: str) -> bool:
    targets = gateway.view.targets
    return targets.limits.is_replaced(targets.by_id[target_id])
