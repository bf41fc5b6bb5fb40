"""Tests of logs and metrics of ends of terms, and of changes of leader."""

import asyncio
import random
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import msgspec

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.leading import LeaderTerm, TakeoverTimes
from cassialever.fleet.lease import LEASE_ROW, LEASE_TABLE, Lease
from cassialever.fleet.model import KeyMap
from cassialever.fleet.term_ends import (
    SHORT_TERM,
    SHORT_TERMS_TO_WARN,
    TermEnd,
    TermLog,
    TermResult,
)
from cassialever.fleet.view import LEADER_ROW, OWN_TABLE
from cassialever.gateway.own_state import leader_readings
from cassialever.keys.mapwriter import MapWriter, row_name
from cassialever.platform import rows
from cassialever.types import RowVersion, ServiceName
from tests.fleet_helpers import ManualClock, VirtualLoop, run_virtually
from tests.fleet_rig import CHECK_INTERVAL, Rig, RigDaemon
from tests.hop_helpers import LoggedEvents
from tests.ownership_fakes import World
from tests.test_fleet_elections import ElectionCase, stored_lease
from tests.test_fleet_terms import HeldRelease, lease_written

SERVICE = ServiceName('registry')
#: How long a term lasts that ends at once, in seconds.
MOMENT = 0.07
#: Time in which several terms end so, in seconds.
SEVERAL_TERMS = 15.0
REASONS = {end.reason for end in TermEnd}


class EventCase(unittest.TestCase):
    """Tests of logged lines."""

    def setUp(self) -> None:
        super().setUp()
        self.events = LoggedEvents()
        self.events.__enter__()
        self.addCleanup(self.events.__exit__)


class TermLogTest(EventCase):
    """Which lines are written about the ends of terms."""

    def setUp(self) -> None:
        super().setUp()
        self.log = TermLog()
        self.term = 0

    def end(self, end: TermEnd, count: int = 1, lasted: float = MOMENT) -> None:
        for _ in range(count):
            self.term += 1
            self.log.note(
                TermResult(RowVersion(self.term), lasted, end, 'found=3')
            )

    def warned_counts(self) -> list[object]:
        return [one['count'] for one in self.events.fields('terms_short')]

    def test_each_end_has_a_line_with_its_reason_and_a_count(self) -> None:
        for end in TermEnd:
            self.end(end, 2, lasted=7)
        self.assertEqual(
            self.events.fields('leader_lost'),
            [
                {
                    'term': 1 + number,
                    'lasted': 7,
                    'reason': end.reason,
                    'details': 'found=3',
                }
                for number, end in enumerate(
                    one for end in TermEnd for one in (end, end)
                )
            ],
        )
        self.assertEqual(self.log.count_by_end, dict.fromkeys(TermEnd, 2))
        self.assertEqual(self.warned_counts(), [])

    def test_three_short_terms_in_a_row_are_one_alert(self) -> None:
        self.end(TermEnd.leader_row_changed, SHORT_TERMS_TO_WARN - 1)
        self.assertEqual(self.warned_counts(), [])
        self.end(TermEnd.key_map_changed)
        (line,) = self.events.fields('terms_short')
        self.assertEqual(
            line,
            {
                'count': SHORT_TERMS_TO_WARN,
                'lasted': MOMENT,
                'reason': TermEnd.key_map_changed.reason,
                'details': 'found=3',
                'advice': TermEnd.key_map_changed.advice,
            },
        )

    def test_further_alerts_come_at_growing_intervals(self) -> None:
        self.end(TermEnd.lease_lost, 3000)
        self.assertEqual(self.warned_counts(), [3, 30, 300, 3000])

    def test_a_term_that_lasts_begins_a_new_series(self) -> None:
        for lasted, end in (
            (SHORT_TERM, TermEnd.lease_lost),
            (MOMENT, TermEnd.resigned),
        ):
            self.end(TermEnd.lease_lost, SHORT_TERMS_TO_WARN - 1)
            self.end(end, lasted=lasted)
            self.assertEqual(self.log.short_count, 0)
            self.end(TermEnd.lease_lost, SHORT_TERMS_TO_WARN - 1)
            self.assertEqual(self.warned_counts(), [])
            self.end(TermEnd.lease_lost, lasted=SHORT_TERM)

    def test_each_end_says_what_to_do(self) -> None:
        for end in TermEnd:
            self.assertTrue(end.reason and end.advice)


class LeaderTermTest(unittest.TestCase):
    """How a term tells its end."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.term = term_of(self.clock)

    def test_the_first_cause_counts(self) -> None:
        self.clock.now += 2
        first = self.term.end(TermEnd.lease_lost, 'holder=edge-2')
        self.assertEqual(
            first,
            TermResult(RowVersion(7), 2, TermEnd.lease_lost, 'holder=edge-2'),
        )
        self.clock.now += 2
        self.assertIs(self.term.end(TermEnd.failed), first)
        self.assertFalse(self.term.has_authority())

    def test_only_a_later_term_ends_this_one(self) -> None:
        for version in (6, 7):
            self.term.depose_if_later(RowVersion(version))
            self.assertTrue(self.term.has_authority())
        self.term.depose_if_later(RowVersion(8))
        ended = self.term.end(TermEnd.failed)
        self.assertIs(ended.end, TermEnd.later_term)
        self.assertEqual(ended.details, 'later=8')


class MapWriteTest(unittest.TestCase):
    """Terms that end since a row is not as the leader knew it."""

    def end_of(self, change: Callable[[World, bytes], None]) -> TermResult:
        """Return how a term ends after a change of the store's rows."""
        results = []

        async def main(loop: VirtualLoop) -> None:
            world = World(loop, seed=1)
            daemon = world.add_daemon('edge-1')
            term = await daemon.election.attempt(0)
            assert term is not None
            writer = MapWriter(SERVICE, term)
            row = await writer.write(KeyMap(SERVICE, ()))
            assert row is not None and row.content is not None
            change(world, row.content)
            self.assertIsNone(await writer.write(KeyMap(SERVICE, ())))
            self.assertFalse(term.has_authority())
            results.append(term.end(TermEnd.failed))

        run_virtually(main)
        return results[0]

    def test_row_of_the_leader_was_written_by_another(self) -> None:
        ended = self.end_of(
            lambda world, _: world.shared.put(OWN_TABLE, LEADER_ROW, b'else')
        )
        self.assertIs(ended.end, TermEnd.leader_row_changed)
        self.assertRegex(ended.details, r'^expected=\d+ found=\d+$')

    def test_map_was_written_by_another(self) -> None:
        ended = self.end_of(
            lambda world, _: world.shared.put(
                OWN_TABLE, row_name(SERVICE), b'else'
            )
        )
        self.assertIs(ended.end, TermEnd.key_map_changed)
        self.assertRegex(
            ended.details,
            r'^row=keys/registry expected=\d+ found=\d+$',
        )

    def test_known_map_with_another_version_ends_no_term(self) -> None:
        """The version of the row was known from an answer only."""

        async def main(loop: VirtualLoop) -> None:
            world = World(loop, seed=1)
            term = await world.add_daemon('edge-1').election.attempt(0)
            assert term is not None
            writer = MapWriter(SERVICE, term)
            row = await writer.write(KeyMap(SERVICE, ()))
            assert row is not None and row.content is not None
            stored = world.shared.put(OWN_TABLE, row_name(SERVICE), row.content)
            again = await writer.write(KeyMap(SERVICE, ()))
            assert again is not None
            self.assertGreaterEqual(again.version, stored)
            self.assertTrue(term.has_authority())

        run_virtually(main)


class TermCase(EventCase, ElectionCase):
    """Scenarios after which each term that ended has one line and count."""

    def check(self, rig: Rig) -> None:
        """Compare the terms that began with those that were told to end."""
        begun = [one['version'] for one in self.events.fields('leader_taken')]
        lost = self.events.fields('leader_lost')
        present = [
            daemon.member.leader_term.term
            for daemon in rig.daemons
            if daemon.member.leader_term is not None
        ]
        self.assertCountEqual(begun, [*present, *(one['term'] for one in lost)])
        self.assertLessEqual({one['reason'] for one in lost}, REASONS)
        counts: dict[str, int] = {}
        for daemon in rig.daemons:
            by_end = daemon.member.contact.terms.count_by_end
            for end, count in by_end.items():
                counts[end.reason] = counts.get(end.reason, 0) + count
        reasons = [one['reason'] for one in lost]
        self.assertEqual(
            counts, {reason: reasons.count(reason) for reason in set(reasons)}
        )

    def end_of(
        self,
        act: Callable[[Rig, RigDaemon], Any],
        count: int = 3,
    ) -> dict[str, object]:
        """Return the line about the first term, which an act has ended."""

        async def scenario(rig: Rig) -> None:
            leader = rig.leader()
            term = leader.member.leader_term
            assert term is not None
            await act(rig, leader)
            while leader.member.leader_term is term:
                await asyncio.sleep(CHECK_INTERVAL)
            await asyncio.sleep(5)
            self.check(rig)

        self.play(scenario, count=count, seeds=range(1))
        return self.events.fields('leader_lost')[0]

    def assert_reason(
        self, line: dict[str, object], end: TermEnd, details: str | None
    ) -> None:
        self.assertEqual(line['reason'], end.reason)
        if details is None:
            self.assertIsNone(line['details'])
        else:
            self.assertRegex(str(line['details']), details)


class MembershipTest(TermCase):
    """The line and the count of each way in which a term ends."""

    def test_lease_of_another_daemon(self) -> None:
        async def act(rig: Rig, leader: RigDaemon) -> None:
            other = msgspec.structs.replace(
                stored_lease(rig), instance_id='other'
            )
            rig.rows.put(LEASE_TABLE, LEASE_ROW, msgspec.msgpack.encode(other))

        line = self.end_of(act)
        self.assert_reason(
            line, TermEnd.lease_lost, r'^holder=other version=\d+$'
        )
        (lost,) = self.events.fields('authority_lost')
        self.assertEqual(lost['term'], line['term'])

    def test_message_of_a_later_term(self) -> None:
        async def act(rig: Rig, leader: RigDaemon) -> None:
            term = leader.member.leader_term
            assert term is not None
            other = next(one for one in rig.daemons if one is not leader)
            address = f'{leader.machine.name}:7'
            later = RowVersion(term.term + 1)
            other.spawn(other.link.notify_deposed(address, later))

        line = self.end_of(act)
        self.assert_reason(
            line, TermEnd.later_term, f'^later={int(str(line["term"])) + 1}$'
        )

    def test_stop(self) -> None:
        async def act(rig: Rig, leader: RigDaemon) -> None:
            await leader.member.resign()

        self.assert_reason(self.end_of(act), TermEnd.resigned, None)

    def test_handing_over(self) -> None:
        async def act(rig: Rig, leader: RigDaemon) -> None:
            leader.member.candidacy = mock.Mock(
                should_hand_over=lambda _: True, may_lead=lambda _: False
            )

        self.assert_reason(self.end_of(act), TermEnd.resigned, None)

    def test_end_of_the_process(self) -> None:
        async def act(rig: Rig, leader: RigDaemon) -> None:
            leader.kill()

        self.assert_reason(self.end_of(act), TermEnd.aborted, None)

    def test_failure_of_the_leaders_work(self) -> None:
        async def act(rig: Rig, leader: RigDaemon) -> None:
            work = leader.tasks[0]
            ended = leader.member.leader_term
            assert ended is not None

            async def fail(term: LeaderTerm) -> None:
                raise LookupError

            leader.member.run_leader = fail
            ended.end(TermEnd.leader_row_changed)
            await asyncio.wait((work,))
            self.assertIsInstance(work.exception(), LookupError)

        async def lead_alone(rig: Rig, leader: RigDaemon) -> None:
            for daemon in rig.daemons:
                daemon.member.candidacy = mock.Mock(
                    should_hand_over=lambda _: False,
                    may_lead=lambda _, one=daemon: one is leader,
                )
            await act(rig, leader)
            for daemon in rig.daemons:
                daemon.member.candidacy = None

        self.end_of(lead_alone)
        second = self.events.fields('leader_lost')[1]
        self.assert_reason(second, TermEnd.failed, None)

    def test_stop_while_the_lease_is_taken(self) -> None:
        """A term began, and nothing told of its end."""

        async def act(rig: Rig, leader: RigDaemon) -> None:
            for daemon in rig.daemons:
                if daemon is not leader:
                    stop_at_takeover(daemon)
            leader.kill()
            await asyncio.sleep(5)

        self.end_of(act)
        reasons = [one['reason'] for one in self.events.fields('leader_lost')]
        self.assertIn(TermEnd.resigned.reason, reasons)

    def test_handing_over_a_term_that_another_cause_ends(self) -> None:
        async def act(rig: Rig, leader: RigDaemon) -> None:
            term = leader.member.leader_term
            assert term is not None
            release = HeldRelease(leader)
            leader.member.candidacy = mock.Mock(
                should_hand_over=lambda _: not release.is_held,
                may_lead=lambda _: True,
            )
            while not release.is_held:
                await asyncio.sleep(CHECK_INTERVAL)
            term.end(TermEnd.later_term, 'later=99')
            release.passes.set()

        self.assert_reason(self.end_of(act), TermEnd.later_term, '^later=99$')


class AnyCauseTest(TermCase):
    """Terms that end by several causes, some of them at one time."""

    async def disturb(self, rig: Rig, random_source: random.Random) -> None:
        """End the present term, or let the store fail its leader."""
        leader = rig.find_leader()
        if leader is None or leader.member.leader_term is None:
            return
        term = leader.member.leader_term
        other = random_source.choice(
            [one for one in rig.daemons if one is not leader]
        )
        fault = random_source.randrange(5)
        if fault == 0:
            lease = msgspec.structs.replace(
                stored_lease(rig), instance_id=other.machine.name
            )
            rig.rows.put(LEASE_TABLE, LEASE_ROW, msgspec.msgpack.encode(lease))
        if fault == 1:
            later = RowVersion(term.term + 1)
            address = f'{leader.machine.name}:7'
            other.spawn(other.link.notify_deposed(address, later))
        if fault == 2:
            leader.spawn(term.resign())
        if fault == 3:
            term.end(TermEnd.key_map_changed, 'row=keys/registry')
        if fault == 4:
            leader.store.loses_commits = True
            await asyncio.sleep(random_source.uniform(0.1, 4))
            leader.store.loses_commits = False

    def test_each_end_is_told_once(self) -> None:
        for seed in range(3):

            async def scenario(rig: Rig, seed: int = seed) -> None:
                random_source = random.Random(seed)
                for _ in range(20):
                    await self.disturb(rig, random_source)
                    await asyncio.sleep(random_source.uniform(0, 3))
                await asyncio.sleep(1)
                self.check(rig)
                for daemon in rig.daemons:
                    daemon.kill()
                await asyncio.sleep(1)
                self.check(rig)
                self.assertGreater(len(self.events.fields('leader_lost')), 5)
                self.events._handler.records.clear()

            self.play(scenario, count=4, seeds=range(seed, seed + 1))


class ChangingLeadersTest(TermCase):
    """Lines and metrics of all daemons while terms end at once."""

    def missing_lines(self) -> list[dict[str, object]]:
        return self.events.fields('leader_missing_long')

    def test_leaders_that_lose_their_terms_at_once(self) -> None:
        """Only the daemon that led told of it."""

        async def end_soon(term: LeaderTerm) -> None:
            await asyncio.sleep(MOMENT)
            term.end(TermEnd.leader_row_changed)

        async def scenario(rig: Rig) -> None:
            for daemon in rig.daemons:
                daemon.member.run_leader = end_soon
            rig.leader().member.leader_term.end(TermEnd.leader_row_changed)
            await asyncio.sleep(SEVERAL_TERMS)
            for daemon in rig.daemons:
                contact = daemon.member.contact
                self.assertGreaterEqual(contact.changes.short_count, 3)
                self.assertGreaterEqual(
                    contact.changes.seen_count, contact.changes.short_count
                )
                daemon.member.run_leader = mock.AsyncMock()
            lasting = self.missing_lines()
            self.assertEqual(
                {one['leaders_seen'] > 0 for one in lasting}, {True}
            )
            self.assertGreaterEqual(len(lasting), len(rig.daemons))
            self.check(rig)
            await asyncio.sleep(SHORT_TERM + 5)
            for daemon in rig.daemons:
                self.assertEqual(daemon.member.contact.changes.seen_count, 0)

        self.play(scenario, count=5, seeds=range(1))

    def test_no_daemon_that_takes_over(self) -> None:
        refusal = Failure(ErrorKind.table_unavailable, 'refused')

        async def scenario(rig: Rig) -> None:
            for daemon in rig.daemons:
                daemon.store.commit = (  # type: ignore[method-assign]
                    mock.AsyncMock(return_value=refusal)
                )
            rig.leader().kill()
            await asyncio.sleep(SEVERAL_TERMS)

        self.play(scenario, count=5, seeds=range(1))
        lasting = self.missing_lines()
        self.assertGreaterEqual(len(lasting), 4)
        self.assertEqual(
            {(one['leaders_seen'], one['leaders_short']) for one in lasting},
            {(0, 0)},
        )

    def test_readings(self) -> None:
        async def act(rig: Rig, leader: RigDaemon) -> None:
            term = leader.member.leader_term
            assert term is not None
            term.end(TermEnd.leader_row_changed)
            await asyncio.sleep(4)
            values = {
                (one.name, *one.labels.values()): one.value
                for one in leader_readings(leader.member)
            }
            self.assertEqual(values['terms_ended', 'leader_row_changed'], 1)
            self.assertEqual(values['short_terms',], 1)
            # The first leader of the fleet is no change.
            self.assertEqual(values['leader_changes',], 1)
            self.assertEqual(values['leaders_seen',], 1)
            self.assertEqual(values['leaders_short',], 0)
            # The own lease is awaited.
            self.assertGreater(values['elections_failed', 'lease_held'], 0)

        self.end_of(act)


def stop_at_takeover(daemon: RigDaemon) -> None:
    """Ask a daemon to stop as soon as its takeover was performed."""
    commit = daemon.store.commit

    async def call(transaction: rows.Transaction) -> Any:
        answer = await commit(transaction)
        lease = lease_written(transaction)
        if lease is not None and not lease.is_resigned:
            await daemon.member.resign()
        return answer

    daemon.store.commit = call  # type: ignore[method-assign]


def term_of(clock: SystemClock) -> LeaderTerm:
    """Return a term that begins now."""
    now = clock.boot()
    return LeaderTerm(
        mock.Mock(),
        Lease('edge-1', 1, now),
        rows.Committed(RowVersion(7), now),
        TakeoverTimes(now, now),
        clock,
    )


class HandOverTest(EventCase, ElectionCase):
    """Leaders that all miss targets, as they call every owner of keys."""

    def hand_overs(self, *, are_cut_off: bool) -> int:
        """Return how often leaders hand over while all of them would."""

        async def scenario(rig: Rig) -> None:
            for daemon in rig.daemons:
                daemon.member.candidacy = mock.Mock(
                    may_lead=lambda _: True,
                    should_hand_over=lambda _: True,
                    is_cut_off=lambda _: are_cut_off,
                )
            await asyncio.sleep(SEVERAL_TERMS)

        self.play(scenario, count=6, seeds=range(1))
        return len(self.events.fields('leader_handed_over'))

    def test_leaders_that_miss_the_same_targets_do_not_all_hand_over(
        self,
    ) -> None:
        """Each one did at once, as many targets had ended for all."""
        count = self.hand_overs(are_cut_off=False)
        self.assertGreaterEqual(count, 1)
        self.assertLessEqual(count, 2 * SEVERAL_TERMS / SHORT_TERM)

    def test_leaders_that_reach_no_target_hand_over(self) -> None:
        self.assertGreater(
            self.hand_overs(are_cut_off=True), 2 * SEVERAL_TERMS / SHORT_TERM
        )


if __name__ == '__main__':
    unittest.main()
