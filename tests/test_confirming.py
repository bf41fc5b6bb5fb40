"""What another daemon says of its tables, as a confirmation of the own ones."""

import asyncio
import random
import unittest
from unittest import mock

from cassialever.clock import SystemClock
from cassialever.fleet import messages
from cassialever.fleet.asking import MAX_ASKED, NEXT_DELAY, ask_in_turn, draw
from cassialever.fleet.confirming import LOOK_AGE, TablesConfirmation
from cassialever.fleet.following_leader import LeaderLink
from cassialever.fleet.relay import (
    LeaderAges,
    Relay,
    _MemberConfirmation,
)
from cassialever.policy.freshness import MAX_UNCONFIRMED_AGE
from standins.listening import LOOPBACK, free_ports
from tests.fleet_helpers import (
    LoopClock,
    VirtualLoop,
    configured_view,
    run_virtually,
)
from tests.test_table_claims import FakeMembership

#: Age of tables that can't be confirmed, in seconds.
OLD = 30.0
#: Reads of a clock at one moment that show a loop without a pause.
MAX_READS_AT_ONCE = 1000


class LeaderTest(unittest.TestCase):
    """Whom a leader can ask that has lost its followers and the store."""

    def test_followers_that_left_with_the_store_are_known(self) -> None:
        """It took itself for the whole fleet."""
        confirmation = _MemberConfirmation()
        everyone = {'me': '10.1.0.1:7', 'd2': '10.1.0.2:7'}
        confirmation.is_latest(everyone, 0.2)
        confirmation.is_latest({'me': '10.1.0.1:7'}, 1.0)
        self.assertEqual(confirmation.addresses_by_id, everyone)


class AnswerTest(unittest.TestCase):
    """How old the tables are after another daemon has answered."""

    def age_after(self, pulse: messages.Pulse | None) -> float:
        """Return the age once a daemon has answered with a heartbeat."""
        ages = []

        async def main(loop: VirtualLoop) -> None:
            view = configured_view(LoopClock(loop))
            membership = FakeMembership(view)
            membership.age = OLD
            membership.shared_peers.askable.return_value = {'d1': '10.1.0.1:7'}
            membership.link.read_once = mock.AsyncMock(return_value=pulse)
            one = TablesConfirmation(view, membership, random.Random(1))
            running = asyncio.create_task(one.run())
            await asyncio.sleep(0.05)
            ages.append(one.age())
            self.assertFalse(one.is_looking())
            running.cancel()

        run_virtually(main)
        return ages[0]

    def test_age_of_a_daemon_with_new_tables_is_adopted(self) -> None:
        for tables_age in (0, 0.7):
            age = self.age_after(
                messages.Pulse(False, 0, tables_age, sent_at=5)
            )
            self.assertAlmostEqual(age, tables_age + 0.05, places=2)

    def test_daemon_that_says_nothing_of_its_tables_confirms_nothing(
        self,
    ) -> None:
        """A build of before reports the age 0 while it does not lead."""
        for pulse in (None, messages.Pulse(False, 0, 0)):
            self.assertGreaterEqual(self.age_after(pulse), OLD)

    def test_odd_ages_confirm_no_later_moment(self) -> None:
        for tables_age in (-9.0, float('inf')):
            age = self.age_after(
                messages.Pulse(False, 0, tables_age, sent_at=5)
            )
            self.assertGreater(age, 0.04)


class _SteppingClock(LoopClock):
    """A clock that fails when it is read without end at one moment."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__(loop)
        self._read_at = 0.0
        self._reads = 0

    def boot(self) -> float:
        now = super().boot()
        self._reads = self._reads + 1 if now == self._read_at else 0
        self._read_at = now
        if self._reads > MAX_READS_AT_ONCE:
            raise AssertionError('the loop stands still')
        return now


class UrgentLookTest(unittest.TestCase):
    """Tables that become too old while other daemons are asked for theirs."""

    def test_tables_that_are_new_again_after_a_look_end_it(self) -> None:
        """The daemon's loop stood still until its memory was full."""

        async def main(loop: VirtualLoop) -> None:
            view = configured_view(_SteppingClock(loop))
            membership = FakeMembership(view)
            membership.shared_peers.askable.return_value = {'d1': '10.1.0.1:7'}
            one = TablesConfirmation(view, membership, random.Random(1))

            async def read_once(*_: object) -> None:
                """Let a request see old tables, and a leader come."""
                membership.age = OLD
                await asyncio.sleep(0.5)
                self.assertGreater(one.age(), MAX_UNCONFIRMED_AGE)
                membership.age = 0

            membership.link.read_once = read_once
            membership.age = LOOK_AGE + 0.1
            running = asyncio.create_task(one.run())
            await asyncio.sleep(2)
            self.assertFalse(running.done())
            running.cancel()

        run_virtually(main)

    def test_age_that_is_too_high_is_looked_into_at_once(self) -> None:
        """A look that found nothing, and then a request that sees it."""

        async def main(loop: VirtualLoop) -> None:
            view = configured_view(_SteppingClock(loop))
            membership = FakeMembership(view)
            membership.shared_peers.askable.return_value = {'d1': '10.1.0.1:7'}
            membership.link.read_once = mock.AsyncMock(return_value=None)
            membership.age = 0
            one = TablesConfirmation(view, membership, random.Random(1))
            running = asyncio.create_task(one.run())
            await asyncio.sleep(0.01)
            # It has just checked, and checks again in 0.1 s.
            one._complete_at = -OLD
            membership.age = OLD
            one.age()
            await asyncio.sleep(0.01)
            membership.link.read_once.assert_awaited_once()
            running.cancel()

        run_virtually(main)


class OwnAgeTest(unittest.IsolatedAsyncioTestCase):
    """What a daemon that does not lead says of its tables."""

    async def test_daemon_that_does_not_lead_reports_its_own_age(self) -> None:
        """It reported the age 0, and a follower took it for the leader's."""
        clock = SystemClock()
        host, port = LOOPBACK, free_ports(1)[0]
        hello = messages.Hello('d1', 1, f'{host}:{port}', {})
        relay = Relay(configured_view(clock), hello)
        relay.ages = lambda: LeaderAges(9.0, 7.0, 5.0)
        await relay.start()
        own = messages.Hello('d2', 1, f'{host}:1', {})
        link = LeaderLink(configured_view(clock), own)
        link.note_heartbeat(messages.Pulse(True, 0, 1.0))
        pulse = await link.read_once(hello.address, {})
        assert pulse is not None
        self.assertFalse(pulse.is_leader)
        self.assertEqual(pulse.tables_age, 7.0)
        await link.follow(hello.address)
        self.assertGreaterEqual(link.tables_age(), 1.0)
        self.assertLess(link.tables_age(), 7.0)
        await relay.stop()


class AskingTest(unittest.TestCase):
    """Daemons that are asked for the same."""

    def test_daemon_that_is_silent_delays_the_next_one_little(self) -> None:
        """Catching up waited 1 s for each one that had ended."""
        asked = []

        async def ask(address: str) -> bool:
            asked.append(address)
            if address == 'silent':
                await asyncio.sleep(60)
            return address == 'new'

        async def main(loop: VirtualLoop) -> None:
            began_at = loop.time()
            self.assertTrue(
                await ask_in_turn(ask, ['old', 'silent', 'new', 'more'])
            )
            self.assertAlmostEqual(loop.time() - began_at, NEXT_DELAY)
            self.assertEqual(asked, ['old', 'silent', 'new'])
            self.assertFalse(await ask_in_turn(ask, ['old', 'silent']))
            self.assertFalse(await ask_in_turn(ask, []))

        run_virtually(main)

    def test_few_daemons_are_drawn_of_many(self) -> None:
        addresses = [str(number) for number in range(100)]
        drawn = {
            one
            for seed in range(100)
            for one in draw(addresses, random.Random(seed))
        }
        self.assertGreater(len(drawn), 80)
        self.assertEqual(len(draw(addresses, random.Random(1))), MAX_ASKED)
        self.assertEqual(draw(['a'], random.Random(1)), ['a'])


if __name__ == '__main__':
    unittest.main()
