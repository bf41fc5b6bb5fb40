"""Tests of the evidence that this daemon is cut off from targets."""

import random
import unittest
from collections import Counter

import msgspec

from cassialever.policy.direct_paths import (
    CONFIRMATION_DELAY,
    EVIDENCE_LIFETIME,
    FAST_PROBE_INTERVAL,
    PROBE_INTERVAL,
)
from cassialever.policy.paths import TargetPaths
from cassialever.policy.peer_reports import (
    MAX_HELPERS,
    REFUSAL_PERIOD,
    Helper,
    PathReport,
)
from cassialever.types import DataCentreId, TargetId

HERE = DataCentreId('north-a')
THERE = DataCentreId('north-b')
TARGETS = [TargetId(f't{number}') for number in range(38)]
#: Until when the reports of these tests are fresh.
EXPIRY = 1000.0


def new_paths(seed: int = 1) -> TargetPaths:
    """Return paths that are all up, of a daemon in HERE."""
    return TargetPaths(HERE, random.Random(seed))


def report(
    peer: str,
    data_centre: DataCentreId = HERE,
    room: int = 10,
    unreachable: tuple[TargetId, ...] = (),
    expires_at: float = EXPIRY,
    **state: bool,
) -> PathReport:
    """Return what a daemon reports."""
    return PathReport(
        helper=Helper(peer, f'{peer}:1', data_centre),
        room=room,
        is_cut_off=state.get('is_cut_off', False),
        is_stopping=state.get('is_stopping', False),
        unreachable=frozenset(unreachable),
        expires_at=expires_at,
    )


def fail_all(paths: TargetPaths, now: float) -> None:
    """Let a connection to every target fail."""
    for target_id in TARGETS:
        paths.record_failure(target_id, now)


def helper_ids(paths: TargetPaths, target_id: TargetId, now: float) -> set[str]:
    """Return the ids of the helpers for a target."""
    return {one.instance_id for one in paths.helpers_for(target_id, now)}


class CutOffTest(unittest.TestCase):
    """Whether the fault lies with this daemon."""

    def test_a_crashed_target_is_not_taken_for_a_cut(self) -> None:
        """Once all list it no daemon is asked; other targets stay usable."""
        paths = new_paths()
        crashed, other = TARGETS[:2]
        paths.record_answer(other, 10)
        paths.record_failure(crashed, 10)
        for number in range(9):
            paths.reports.record(report(f'd{number}', unreachable=(crashed,)))
        now = 10 + CONFIRMATION_DELAY
        self.assertFalse(paths.is_reachable(crashed, now))
        self.assertEqual(paths.helpers_for(crashed, now), [])
        self.assertTrue(paths.is_confirmed_unreachable(crashed, now))
        self.assertTrue(paths.is_reachable(other, now))
        self.assertFalse(paths.is_cut_off(now))

    def test_no_helper_before_reports_of_a_crash_can_arrive(self) -> None:
        """At first no report lists a target that crashed."""
        paths = new_paths()
        paths.reports.record(report('d1'))
        paths.record_failure(TARGETS[0], 10)
        self.assertEqual(paths.helpers_for(TARGETS[0], 10.01), [])

    def test_targets_not_tried_are_not_tried_while_cut_off(self) -> None:
        """Each of 38 targets would cost a request the connect timeout."""
        paths = new_paths()
        paths.reports.record(report('d1'))
        for target_id in TARGETS[:3]:
            paths.record_failure(target_id, 10)
        now = 10 + CONFIRMATION_DELAY
        self.assertTrue(paths.is_cut_off(now))
        self.assertFalse(paths.is_reachable(TARGETS[9], now))
        self.assertEqual(helper_ids(paths, TARGETS[9], now), {'d1'})

    def test_two_failures_are_no_cut(self) -> None:
        """Of a small service all targets may crash."""
        paths = new_paths()
        for target_id in TARGETS[:2]:
            paths.record_failure(target_id, 10)
        self.assertFalse(paths.is_cut_off(11))

    def test_an_answer_of_any_target_ends_the_cut(self) -> None:
        """Targets that fail while others answer are judged one by one."""
        paths = new_paths()
        fail_all(paths, 10)
        paths.record_answer(TARGETS[5], 10.2)
        self.assertFalse(paths.is_cut_off(10.3))
        self.assertFalse(paths.is_reachable(TARGETS[6], 10.3))

    def test_a_late_event_loop_is_no_cut(self) -> None:
        """Connections time out together, but the probes succeed."""
        paths = new_paths()
        fail_all(paths, 10)
        self.assertFalse(paths.is_cut_off(10))
        for _ in range(2):
            for target_id in paths.direct.due_probes(10.11, limit=40):
                paths.direct.record_probe_success(target_id, 10.12)
            for target_id in paths.direct.due_probes(10.23, limit=40):
                paths.direct.record_probe_success(target_id, 10.23)
        self.assertFalse(paths.is_cut_off(10 + CONFIRMATION_DELAY + 0.1))

    def test_evidence_decays(self) -> None:
        """A target is tried again when no failure is recent."""
        paths = new_paths()
        fail_all(paths, 10)
        now = 10 + EVIDENCE_LIFETIME
        self.assertFalse(paths.is_cut_off(now))
        self.assertTrue(paths.is_reachable(TARGETS[0], now))

    def test_old_failures_do_not_confirm_new_ones(self) -> None:
        """A daemon without requests gets no answer that would clear them."""
        paths = new_paths()
        fail_all(paths, 10)
        fail_all(paths, 100)
        self.assertFalse(paths.is_cut_off(100))

    def test_failures_that_repeat_keep_the_daemon_cut_off(self) -> None:
        """It must not seem well for a moment each time probes fail."""
        paths = new_paths()
        for step in range(40):
            fail_all(paths, 10 + step / 4)
            if step:
                self.assertTrue(paths.is_cut_off(10 + step / 4))

    def test_targets_that_are_gone_do_not_end_the_cut(self) -> None:
        """Of those that remain none was reached."""
        paths = new_paths()
        fail_all(paths, 10)
        paths.prune(set(TARGETS[4:]), 10.5)
        self.assertTrue(paths.is_cut_off(10.5))
        self.assertNotIn(TARGETS[0], paths.direct.down(10.5))

    def test_daemons_cut_off_together_do_not_mistake_it_for_crashes(
        self,
    ) -> None:
        """Before they know that they are, they list the targets."""
        paths = new_paths()
        fail_all(paths, 10)
        for number in range(8):
            paths.reports.record(
                report(f'd{number}', unreachable=tuple(TARGETS))
            )
        paths.reports.record(report('d8'))
        self.assertTrue(paths.is_cut_off(10.2))
        self.assertEqual(helper_ids(paths, TARGETS[0], 10.2), {'d8'})

    def test_paths_that_fail_again_show_no_cut(self) -> None:
        """Probes of half of the targets fail together once a second."""
        paths = new_paths()
        for target_id in TARGETS[:19]:
            paths.record_failure(target_id, 10)
        paths.record_answer(TARGETS[30], 10.1)
        for target_id in TARGETS[:19]:
            paths.record_failure(target_id, 11)
        self.assertFalse(paths.is_cut_off(11.5))

    def test_a_witness_that_is_reached_shows_no_cut(self) -> None:
        """Nothing was sent to targets that are well."""
        paths = new_paths()
        for target_id in TARGETS[:5]:
            paths.record_failure(target_id, 10)
        self.assertTrue(paths.direct.needs_witness(10))
        paths.direct.record_doubt(TARGETS[20], 10.05)
        paths.direct.record_probe_success(TARGETS[20], 10.06)
        self.assertFalse(paths.is_cut_off(10.2))
        self.assertFalse(paths.direct.needs_witness(10.2))

    def test_a_cut_is_confirmed_after_enough_targets_have_failed(self) -> None:
        """A daemon with few requests meets ended targets one by one."""
        paths = new_paths()
        for step, target_id in enumerate(TARGETS[:3]):
            paths.record_failure(target_id, 10 + 0.4 * step)
        self.assertFalse(paths.is_cut_off(10.8))
        self.assertTrue(paths.direct.needs_witness(10.8))
        self.assertFalse(paths.is_cut_off(10.9))
        self.assertTrue(paths.is_cut_off(10.96))


class HelperTest(unittest.TestCase):
    """Which daemons are asked to pass requests on."""

    def test_one_daemon_of_ten_helps_nine(self) -> None:
        """The other eight say that they are cut off."""
        paths = new_paths()
        fail_all(paths, 10)
        for number in range(8):
            paths.reports.record(report(f'd{number}', is_cut_off=True))
        paths.reports.record(report('d8', THERE))
        self.assertEqual(helper_ids(paths, TARGETS[0], 10.2), {'d8'})

    def test_no_helper_if_all_are_cut_off(self) -> None:
        """Requests are refused at once."""
        paths = new_paths()
        fail_all(paths, 10)
        for number in range(9):
            paths.reports.record(report(f'd{number}', is_cut_off=True))
        for target_id in TARGETS:
            self.assertEqual(paths.helpers_for(target_id, 10.2), [])
            self.assertFalse(paths.is_reachable(target_id, 10.2))

    def test_each_daemon_misses_another_half(self) -> None:
        """Partial cuts are decided for each target."""
        paths = new_paths()
        half = tuple(TARGETS[:19])
        for target_id in half:
            paths.record_failure(target_id, 10)
        paths.record_answer(TARGETS[30], 10)
        paths.reports.record(report('d1', unreachable=half))
        paths.reports.record(report('d2', unreachable=tuple(TARGETS[10:29])))
        self.assertEqual(helper_ids(paths, TARGETS[5], 10.2), {'d2'})
        self.assertEqual(helper_ids(paths, TARGETS[15], 10.2), set())
        self.assertEqual(helper_ids(paths, TARGETS[30], 10.2), set())
        self.assertTrue(paths.is_reachable(TARGETS[30], 10.2))

    def test_daemons_that_can_not_help_are_left_out(self) -> None:
        """They are stopping, full, of an older build, or silent."""
        paths = new_paths()
        fail_all(paths, 10)
        paths.reports.record(report('stopping', is_stopping=True))
        paths.reports.record(report('full', room=0))
        paths.reports.record(report('silent', expires_at=10.1))
        self.assertEqual(paths.helpers_for(TARGETS[0], 10.2), [])

    def test_a_daemon_that_refused_is_not_asked_for_a_while(self) -> None:
        """For other targets it still is."""
        paths = new_paths()
        fail_all(paths, 10)
        paths.reports.record(report('d1'))
        paths.record_helper_refusal('d1', TARGETS[0], 10.2)
        self.assertEqual(paths.helpers_for(TARGETS[0], 10.3), [])
        self.assertEqual(helper_ids(paths, TARGETS[1], 10.3), {'d1'})
        now = 10.2 + REFUSAL_PERIOD
        self.assertEqual(helper_ids(paths, TARGETS[0], now), {'d1'})

    def test_nearest_data_centre_first_and_load_by_room(self) -> None:
        """A daemon with three times the room is first three times as often."""
        paths = new_paths()
        fail_all(paths, 10)
        paths.reports.record(report('far', THERE, room=1000))
        paths.reports.record(report('small', room=10))
        paths.reports.record(report('large', room=30))
        first: Counter[str] = Counter()
        for _ in range(1000):
            helpers = paths.helpers_for(TARGETS[0], 10.2)
            self.assertEqual(helpers[-1].instance_id, 'far')
            first[helpers[0].instance_id] += 1
        self.assertAlmostEqual(first['large'] / 1000, 0.75, delta=0.05)

    def test_number_of_helpers_is_bounded(self) -> None:
        """Whatever the size of the fleet."""
        paths = new_paths()
        fail_all(paths, 10)
        for number in range(58):
            paths.reports.record(report(f'd{number}'))
        self.assertEqual(len(paths.helpers_for(TARGETS[0], 10.2)), MAX_HELPERS)

    def test_the_only_helper_of_a_large_fleet_is_found(self) -> None:
        """A sample of the reports leaves it out at times."""
        paths = new_paths()
        fail_all(paths, 10)
        for number in range(1090):
            paths.reports.record(report(f'd{number}', is_cut_off=True))
        paths.reports.record(report('last'))
        for _ in range(20):
            self.assertEqual(helper_ids(paths, TARGETS[0], 10.2), {'last'})

    def test_load_is_spread_over_a_large_fleet(self) -> None:
        """Each sample is another one."""
        paths = new_paths()
        fail_all(paths, 10)
        for number in range(1090):
            paths.reports.record(report(f'd{number}'))
        first = {
            paths.helpers_for(TARGETS[0], 10.2)[0].instance_id
            for _ in range(400)
        }
        self.assertGreater(len(first), 300)


class ReturnTest(unittest.TestCase):
    """The way back to the direct path."""

    def test_two_probes_in_a_row_bring_a_path_back(self) -> None:
        """One success on a lossy link is chance."""
        paths = new_paths()
        target_id = TARGETS[0]
        paths.record_failure(target_id, 10)
        paths.direct.record_probe_success(target_id, 10.1)
        self.assertFalse(paths.is_reachable(target_id, 10.1))
        paths.record_failure(target_id, 10.2)
        paths.direct.record_probe_success(target_id, 10.3)
        self.assertFalse(paths.is_reachable(target_id, 10.3))
        paths.direct.record_probe_success(target_id, 10.4)
        self.assertTrue(paths.is_reachable(target_id, 10.4))
        self.assertFalse(paths.direct.has_probes())

    def test_answers_on_older_connections_do_not_bring_a_path_back(
        self,
    ) -> None:
        """They live on while new connections are refused."""
        paths = new_paths()
        paths.record_failure(TARGETS[0], 10)
        paths.record_answer(TARGETS[0], 10.1)
        self.assertFalse(paths.is_reachable(TARGETS[0], 10.1))

    def test_other_targets_are_probed_after_the_first_success(self) -> None:
        """Otherwise each would wait for its own turn."""
        paths = new_paths()
        fail_all(paths, 10)
        paths.direct.due_probes(10.2, limit=40)
        self.assertEqual(paths.direct.due_probes(10.5, limit=40), [])
        paths.direct.record_probe_success(TARGETS[0], 10.5)
        self.assertEqual(len(paths.direct.due_probes(10.5, limit=40)), 37)

    def test_a_path_that_stays_down_is_probed_once_a_second(self) -> None:
        """The first probe follows the failure closely."""
        paths = new_paths()
        paths.record_failure(TARGETS[0], 0)
        probed_at = []
        for step in range(1, 500):
            now = step / 100
            if paths.direct.due_probes(now, limit=8):
                probed_at.append(now)
                paths.record_failure(TARGETS[0], now)
        self.assertEqual(probed_at[0], FAST_PROBE_INTERVAL)
        self.assertLessEqual(len(probed_at), 1 + 5 / PROBE_INTERVAL)
        self.assertGreaterEqual(len(probed_at), 4)

    def test_all_targets_get_their_turn(self) -> None:
        """Few probes run at a time."""
        paths = new_paths()
        fail_all(paths, 10)
        probed: set[TargetId] = set()
        for step in range(5):
            due = paths.direct.due_probes(10.2 + step / 10, limit=8)
            self.assertLessEqual(len(due), 8)
            probed.update(due)
        self.assertEqual(probed, set(TARGETS))

    def test_a_doubt_alone_keeps_the_path_in_use(self) -> None:
        """A full target resets connections, a slow one is silent."""
        paths = new_paths()
        paths.direct.record_doubt(TARGETS[0], 10)
        self.assertTrue(paths.is_reachable(TARGETS[0], 10))
        self.assertEqual(paths.direct.due_probes(10, limit=8), [TARGETS[0]])
        paths.direct.record_probe_success(TARGETS[0], 10.01)
        self.assertFalse(paths.direct.has_probes())
        self.assertEqual(paths.direct.change_count, 0)


class LeaderTest(unittest.TestCase):
    """What a leader asks."""

    def test_a_daemon_that_is_cut_off_gives_way(self) -> None:
        """It stays if all others are cut off, stopping or silent."""
        paths = new_paths()
        fail_all(paths, 10)
        paths.reports.record(report('d1', is_cut_off=True))
        paths.reports.record(report('d2', is_stopping=True))
        paths.reports.record(report('d3', expires_at=9))
        self.assertFalse(paths.should_yield(10.2))
        paths.reports.record(report('d4', unreachable=tuple(TARGETS[:20])))
        self.assertTrue(paths.should_yield(10.2))

    def test_a_daemon_that_misses_many_targets_gives_way(self) -> None:
        """Another daemon reaches nearly all of them."""
        paths = new_paths()
        for target_id in TARGETS[:19]:
            paths.record_failure(target_id, 10)
        paths.record_answer(TARGETS[30], 10)
        paths.reports.record(report('d1', unreachable=tuple(TARGETS[19:29])))
        self.assertFalse(paths.should_yield(10.2))
        paths.reports.record(report('d2', unreachable=tuple(TARGETS[:2])))
        self.assertTrue(paths.should_yield(10.2))

    def test_targets_that_no_other_has_reached_are_not_missed_alone(
        self,
    ) -> None:
        """Others may not have tried them; a build before doesn't say."""
        for reached, yields in (
            ((), False),
            (TARGETS[:2], False),
            (TARGETS[:3], True),
            (None, True),
        ):
            with self.subTest(reached=reached):
                paths = new_paths()
                for target_id in TARGETS[:12]:
                    paths.record_failure(target_id, 10)
                paths.record_answer(TARGETS[30], 10.1)
                for number in range(8):
                    paths.reports.record(
                        msgspec.structs.replace(
                            report(f'd{number}'),
                            reached=None
                            if reached is None
                            else frozenset(reached),
                        )
                    )
                self.assertEqual(paths.should_yield(10.2), yields)

    def test_no_daemon_gives_way_when_targets_crash(self) -> None:
        """The others miss the same targets."""
        paths = new_paths()
        crashed = tuple(TARGETS[:10])
        for target_id in crashed:
            paths.record_failure(target_id, 10)
        paths.record_answer(TARGETS[30], 10.1)
        for number in range(9):
            paths.reports.record(report(f'd{number}', unreachable=crashed))
        self.assertFalse(paths.should_yield(10.2))

    def test_no_daemon_gives_way_while_each_misses_other_crashed_targets(
        self,
    ) -> None:
        """Each has tried other ones of many, and one daemon hardly any."""
        paths = new_paths()
        for target_id in TARGETS[:8]:
            paths.record_failure(target_id, 10)
        paths.record_answer(TARGETS[30], 10.1)
        paths.reports.record(report('d0', unreachable=tuple(TARGETS[:1])))
        for number in range(1, 9):
            missed = tuple(TARGETS[2 * number : 2 * number + 8])
            paths.reports.record(report(f'd{number}', unreachable=missed))
        self.assertFalse(paths.should_yield(10.2))

    def test_most_daemons_confirm_that_a_target_is_unreachable(self) -> None:
        """Those that are cut off or silent don't count."""
        paths = new_paths()
        owner = TARGETS[0]
        self.assertFalse(paths.is_confirmed_unreachable(owner, 10))
        paths.reports.record(report('d1', unreachable=(owner,)))
        paths.reports.record(report('d2', is_cut_off=True))
        paths.reports.record(report('d3', expires_at=9))
        self.assertTrue(paths.is_confirmed_unreachable(owner, 10))
        paths.reports.record(report('d4'))
        self.assertFalse(paths.is_confirmed_unreachable(owner, 10))
