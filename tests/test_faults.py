"""Tests of the whole path under faults: stops, breaks, cancels, silence."""

import asyncio
from unittest import mock

from cassialever.application import Application
from cassialever.catalogue.entries import TargetLimits
from cassialever.errors import ErrorKind
from cassialever.exceptions import InvariantError
from cassialever.fleet.membership import MemberState
from standins.keyed_target import TargetServer
from tests.fleet_helpers import until
from tests.test_whole_path import WholePathCase


class TestFaults(WholePathCase):
    """Each fault is brought about on real sockets."""

    limits = TargetLimits(slots=4, connections=8, cold_slots=3)

    @property
    def targets(self) -> list[TargetServer]:
        """Return every stand-in target."""
        return list(self.deployment.platform.target_by_id.values())

    def work_takes(self, seconds: float) -> None:
        """Have every target take its time."""
        for stand_in in self.targets:
            stand_in.faults.work = seconds

    async def test_graceful_stop_cuts_nothing(self) -> None:
        """A request in progress ends whole; a new one is not run."""
        self.work_takes(0.4)
        url = f'{self.first.caller_server.url}/issuance/slow'
        running = asyncio.create_task(self.session.get(url))
        while not self.first.caller_server.in_progress:
            await asyncio.sleep(0.01)
        stopping = asyncio.create_task(self.first.stop())
        await asyncio.sleep(0.05)
        late = await self.session.get(url)
        self.assertEqual(
            late.headers['X-Cassialever-Error'],
            ErrorKind.stopping.value,
        )
        self.assertTrue((await late.json())['not_run'])
        response = await running
        self.assertEqual(response.status, 200)
        self.assertIn(b'/issuance/slow', await response.read())
        await stopping
        self.deployment.daemon_by_id.pop(
            self.first.settings.instance.instance_id,
        )
        self.work_takes(0.002)
        other = await self.session.get(
            f'{self.second.caller_server.url}/issuance/x'
        )
        self.assertEqual(other.status, 200, await other.read())

    async def test_broken_download_is_fetched_again(self) -> None:
        """The caller gets the whole body, once, in one answer."""
        body = bytes(range(256)) * 1_000
        for stand_in in self.targets:
            stand_in.content = body
            stand_in.faults.cuts = 1
        url = f'{self.first.caller_server.url}/issuance/download'
        response = await self.session.get(url)
        self.assertEqual(response.status, 200)
        self.assertEqual(await response.read(), body)
        runs = sum(len(each.ran) for each in self.targets)
        self.assertIn(runs, (2, 3))

    async def test_download_that_goes_on_breaking_breaks_visibly(self) -> None:
        """Once the attempts are spent the caller is told, not cut short."""
        for stand_in in self.targets:
            stand_in.content = bytes(20_000_000)
            stand_in.faults.cuts = 200
        url = f'{self.first.caller_server.url}/issuance/download'
        response = await self.session.get(url)
        self.assertEqual(response.status, 502)
        refusal = await response.json()
        self.assertFalse(refusal['not_run'], refusal)

    async def test_cancel_of_the_caller_reaches_the_target(self) -> None:
        """A caller that goes away has its work given up."""
        self.work_takes(5)
        url = f'{self.first.caller_server.url}/registry/slow'
        headers = {'X-Cassialever-Key': 'k'}
        asking = asyncio.create_task(self.session.get(url, headers=headers))
        while not any(each.work.running for each in self.targets):
            await asyncio.sleep(0.01)
        asking.cancel()
        for _ in range(200):
            if any(each.work.cancelled for each in self.targets):
                break
            await asyncio.sleep(0.01)
        self.assertTrue(any(each.work.cancelled for each in self.targets))
        # The slot is free again long before the work would have ended.
        response = await self.session.get(
            f'{self.first.caller_server.url}/registry/slow',
            headers={**headers, 'X-Cassialever-Deadline-Ms': '1000'},
        )
        self.assertEqual(
            response.headers.get('X-Cassialever-Error'),
            ErrorKind.outcome_unknown.value,
        )

    async def test_frozen_target_gives_an_honest_answer(self) -> None:
        """Work sent to a target that froze is not said to have not run."""
        url = f'{self.first.caller_server.url}/registry/x'
        headers = {'X-Cassialever-Key': 'k'}
        before = await self.session.post(url, headers=headers, data=b'x')
        self.assertEqual(before.status, 200)
        for stand_in in self.targets:
            stand_in.faults.is_frozen = True
        headers['X-Cassialever-Deadline-Ms'] = '300'
        response = await self.session.post(url, headers=headers, data=b'x')
        refusal = await response.json()
        self.assertFalse(refusal['not_run'], refusal)
        for stand_in in self.targets:
            stand_in.faults.is_frozen = False

    async def served(self, url: str) -> None:
        """Ask for a key until it is answered whole; each refusal is true."""
        headers = {'X-Cassialever-Key': 'k'}
        for _ in range(300):
            response = await self.session.get(url, headers=headers)
            if response.status == 200:
                return
            refusal = await response.json()
            self.assertNotEqual(refusal['kind'], 'internal', refusal)
            await asyncio.sleep(0.05)
        self.fail(f'the key is not served again: {refusal}')

    def leader(self) -> Application:
        """Return the daemon that assigns keys."""
        return next(
            daemon
            for daemon in self.deployment.daemons
            if daemon.core.membership.state is MemberState.leading
        )

    async def test_lost_leader_is_replaced(self) -> None:
        """The other daemon renews the keys; no owner changes by it."""
        first = self.leader()
        second = self.second if first is self.first else self.first
        owners = second.core.view.keys_by_service['registry'].key_map
        await self.deployment.lose(first.settings.instance.instance_id)
        await until(
            lambda: second.core.membership.state is MemberState.leading,
            timeout=10,
        )
        await self.served(f'{second.caller_server.url}/registry/x')
        kept = second.core.view.keys_by_service['registry'].key_map
        self.assertEqual(
            {(one.first, one.owner) for one in kept.ranges},
            {(one.first, one.owner) for one in owners.ranges},
        )

    async def test_keys_are_served_while_the_table_is_away(self) -> None:
        """For longer than every lease's term no request is refused."""
        store = self.deployment.platform.store
        port = int(store.address.rpartition(':')[-1])
        url = f'{self.first.caller_server.url}/registry/x'
        await self.served(url)
        await store.stop()
        for number in range(60):
            headers = {'X-Cassialever-Key': f'k{number}'}
            response = await self.session.get(url, headers=headers)
            self.assertEqual(response.status, 200, await response.read())
            await asyncio.sleep(0.05)
        await store.start(port)
        await self.served(url)

    async def test_broken_invariant_ends_the_daemon(self) -> None:
        """Nothing is granted any more once a promise would be broken."""
        leader = self.leader()
        with mock.patch.object(
            leader.core.key_assigner,
            '_tick',
            side_effect=InvariantError,
        ):
            async with asyncio.timeout(5):
                self.assertFalse(await leader.run_until_stopped())
        self.assertEqual(leader.core.key_assigner.assigner_by_service, {})
