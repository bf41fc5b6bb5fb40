"""Daemons that go on after their process was stopped or their machine slept."""

import asyncio
import random
import unittest

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet import messages
from cassialever.fleet.catching_up import CatchUp
from cassialever.fleet.following import StoreFollower
from cassialever.fleet.following_leader import LeaderLink
from cassialever.fleet.peers import SharedPeers
from cassialever.fleet.relay import (
    HEARTBEAT_INTERVAL,
    RECONNECT_PERIOD,
    Relay,
)
from cassialever.policy.freshness import Knowledge, Verdict, judge
from standins.keyed_target import TargetServer
from tests.fleet_helpers import (
    LoopClock,
    VirtualLoop,
    configured_view,
    deployment,
    json_row,
    run_virtually,
    until,
)
from tests.gateway_helpers import ISSUE_HEADERS, send_request
from tests.hop_helpers import ask, cut_off_daemon
from tests.test_fleet_following import TABLE, ScriptedStore
from tests.test_leaving_targets import CONNECTION_TIME, slow_connections
from tests.test_table_claims import CONFIGURATION, FakeMembership, FakeStore

#: How long a machine is suspended, in seconds.
SUSPENDED = 13.0
#: How long the answers of another daemon take, in seconds.
COPY_TIME = 0.2
PEER = '10.1.0.1:7'
OWN_HELLO = messages.Hello('d9', 1, '10.1.0.9:7', {})


class SleepingClock(LoopClock):
    """A clock of a machine whose loop's time stands still while it sleeps."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__(loop)
        self.slept = 0.0

    def boot(self) -> float:
        return super().boot() + self.slept


class SuspendedMachineTest(unittest.TestCase):
    """Ages of tables contain the time in which the machine was suspended."""

    def test_tables_of_a_leader_age_while_the_machine_sleeps(self) -> None:
        """They counted as relayed in time, and requests followed them."""

        async def main(loop: VirtualLoop) -> None:
            clock = SleepingClock(loop)
            link = LeaderLink(configured_view(clock), OWN_HELLO)
            link.note_heartbeat(
                messages.Pulse(True, 0.1, 0.2, sent_at=clock.boot())
            )
            self.assertTrue(link.is_relaying())
            clock.slept = SUSPENDED
            self.assertFalse(link.is_relaying())
            self.assertGreater(link.tables_age(), SUSPENDED)

        run_virtually(main)

    def test_tables_of_the_store_age_while_the_machine_sleeps(self) -> None:
        """A call that began before it was answered with nothing after it."""

        async def main(loop: VirtualLoop) -> None:
            clock = SleepingClock(loop)
            store = ScriptedStore(loop)
            view = configured_view(clock, targets=0)
            follower = StoreFollower(store, view, random.Random(1), (TABLE,))
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(2.5)
            self.assertLess(follower.age(), 1.1)
            calls = store.follow_calls
            store.failures = [Failure(ErrorKind.table_answer_lost, 'lost')] * 9
            clock.slept = SUSPENDED
            self.assertGreater(follower.age(), SUSPENDED)
            while store.follow_calls == calls:
                await asyncio.sleep(0.01)
            self.assertGreater(follower.age(), SUSPENDED - 1.1)
            task.cancel()

        run_virtually(main)


class ListOfDaemonsTest(unittest.TestCase):
    """The list by which limits are divided, after its daemon stood still.

    Another leader may have a later one by then.
    """

    def make(self, clock: SleepingClock) -> tuple[Relay, LeaderLink]:
        view = configured_view(clock)
        return Relay(view, OWN_HELLO), LeaderLink(view, OWN_HELLO)

    def test_list_of_a_follower_that_slept_is_not_current(self) -> None:
        """It counted as current, and this daemon as the only keeper."""

        async def main(loop: VirtualLoop) -> None:
            clock = SleepingClock(loop)
            relay, link = self.make(clock)
            peers = SharedPeers(relay, link)
            link.note_heartbeat(
                messages.Pulse(True, 0, 0, sent_at=clock.boot())
            )
            link.adopt_members(messages.Members({'d8': PEER}, True, True))
            self.assertTrue(peers.has_current_peers())
            sent_before = clock.boot() + 0.25
            clock.slept = SUSPENDED
            self.assertFalse(peers.has_current_peers())
            link.note_heartbeat(messages.Pulse(True, 0, 0, sent_at=sent_before))
            self.assertFalse(peers.has_current_peers())
            link.note_heartbeat(
                messages.Pulse(True, 0, 0, sent_at=clock.boot())
            )
            self.assertTrue(peers.has_current_peers())

        run_virtually(main)

    def test_list_of_a_leader_that_slept_is_not_current(self) -> None:
        """It counted as current until the next heartbeat."""

        async def main(loop: VirtualLoop) -> None:
            clock = SleepingClock(loop)
            relay, link = self.make(clock)
            peers = SharedPeers(relay, link)
            relay.begin_term()
            beating = asyncio.create_task(relay.send_heartbeats())
            await asyncio.sleep(2 * RECONNECT_PERIOD)
            self.assertTrue(peers.has_current_peers())
            clock.slept = SUSPENDED
            self.assertFalse(peers.has_current_peers())
            await asyncio.sleep(HEARTBEAT_INTERVAL)
            self.assertTrue(peers.has_current_peers())
            beating.cancel()

        run_virtually(main)


class FirstRequestTest(unittest.TestCase):
    """A daemon that was stopped for long, before it serves a request."""

    async def wake(self, loop: VirtualLoop) -> None:
        view = configured_view(LoopClock(loop))
        membership = FakeMembership(view)
        membership.age = SUSPENDED
        membership.shared_peers.askable.return_value = {'d1': PEER}
        store = FakeStore()
        store.failure = Failure(ErrorKind.table_unavailable, 'refused')

        async def read_once(
            address: str, known: dict[str, int]
        ) -> messages.Pulse:
            await asyncio.sleep(COPY_TIME)
            changed = {**CONFIGURATION, 'version': 'r9'}
            view.apply('op', [json_row('op', 'config', changed, 9)], 9)
            return messages.Pulse(False, 0, self.peer_age, sent_at=7)

        membership.link.read_once = read_once
        catch_up = CatchUp(store, view, membership, random.Random(1))
        running = asyncio.create_task(catch_up.run())
        began_at = loop.time()
        while judge(catch_up.knowledge()) is Verdict.unconfirmed:
            await asyncio.sleep(0.01)
        self.waited = loop.time() - began_at
        self.version = view.configuration.version
        self.age = catch_up.knowledge().age
        running.cancel()

    def test_request_of_a_woken_daemon_waits_for_newer_tables(self) -> None:
        """It was served by those of before after 0.1 s."""
        self.peer_age = 0.3
        run_virtually(self.wake)
        self.assertEqual(self.version, 9)
        self.assertLess(self.waited, COPY_TIME + 0.05)
        self.assertLess(self.age, 0.3 + COPY_TIME + 0.05)

    def test_request_goes_on_if_the_tables_of_others_are_as_old(self) -> None:
        """The store is away for all."""
        self.peer_age = SUSPENDED
        run_virtually(self.wake)
        self.assertLess(self.waited, COPY_TIME + 0.05)
        self.assertGreater(self.age, SUSPENDED - 1)

    async def stand_still_again(self, loop: VirtualLoop) -> None:
        clock = SleepingClock(loop)
        view = configured_view(clock)
        membership = FakeMembership(view)
        membership.age = SUSPENDED
        membership.shared_peers.askable.return_value = {'d1': PEER}
        asked_at = []

        async def read_once(address: str, known: dict[str, int]) -> None:
            asked_at.append(clock.boot())

        membership.link.read_once = read_once
        store = FakeStore()
        store.failure = Failure(ErrorKind.table_unavailable, 'refused')
        catch_up = CatchUp(store, view, membership, random.Random(1))
        running = asyncio.create_task(catch_up.run())
        await asyncio.sleep(2.0)
        self.assertIs(judge(catch_up.knowledge()), Verdict.current)
        clock.slept = SUSPENDED
        membership.age += SUSPENDED
        resumed_at = clock.boot()
        self.assertIs(judge(catch_up.knowledge()), Verdict.unconfirmed)
        while judge(catch_up.knowledge()) is Verdict.unconfirmed:
            await asyncio.sleep(0.01)
        self.assertGreaterEqual(asked_at[-1], resumed_at)
        running.cancel()

    def test_daemon_without_the_store_asks_anew_after_each_pause(self) -> None:
        """It used tables that were not confirmed before the pause, either."""
        run_virtually(self.stand_still_again)


class UnderWayTest(unittest.IsolatedAsyncioTestCase):
    """Requests whose targets were chosen before their daemon stood still."""

    async def test_request_placed_before_a_pause_is_sent_after_it(self) -> None:
        """It waits for its connection meanwhile."""
        async with deployment(keyed=1) as system:
            gateway, leaving = system.gateways[0], system.targets[-1]
            await until(lambda: 'i0' in gateway.view.targets.by_id)
            router = gateway.core.forwarder.router
            with slow_connections(leaving.address) as begun:
                sending = asyncio.create_task(
                    send_request(gateway, '/issue/', ISSUE_HEADERS)
                )
                await asyncio.wait_for(begun.wait(), 5)
                router.knowledge = lambda: Knowledge(
                    age=SUSPENDED, unconfirmed_for=0.01
                )
                await asyncio.sleep(2 * CONNECTION_TIME)
                system.store.put('servers', 'i0', leaving.entry('draining'))
                await system.add_target(
                    TargetServer('i1', 'issuance', is_keyed=False)
                )
                await until(lambda: 'i1' in gateway.view.targets.by_id)
                router.knowledge = Knowledge
                response = await sending
            self.assertEqual(leaving.executed_ids, [])
            self.assertEqual(response.status, 200)

    async def test_helper_that_stood_still_carries_a_request(self) -> None:
        """It came before the pause, or while the helper connected."""
        old = Knowledge(age=SUSPENDED, unconfirmed_for=0.01)
        for moment in ('at once', 'while it connects'):
            with self.subTest(moment=moment):
                async with cut_off_daemon() as (system, first, helper):
                    policy = helper.core.exchanges.carrying
                    leaving = system.targets[-1]
                    with slow_connections(leaving.address) as begun:
                        if moment == 'at once':
                            policy.knowledge = lambda: old
                        sending = asyncio.create_task(
                            ask(first, '/issue/', ISSUE_HEADERS)
                        )
                        if moment != 'at once':
                            await asyncio.wait_for(begun.wait(), 5)
                            policy.knowledge = lambda: old
                        reply = await sending
                    self.assertEqual(reply.status, 503)
                    self.assertEqual(leaving.work.received_at, [])


if __name__ == '__main__':
    unittest.main()
