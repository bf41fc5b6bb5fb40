"""Tests of when no key of a service counts as served, and why."""

import unittest
from collections.abc import Iterable

from cassialever.policy.unserved_keys import (
    MAX_GAP,
    MAX_SERVICES,
    MIN_FAILURES,
    MIN_TIME,
    STEADY_TIME,
    ReportKind,
    UnservedCause,
    UnservedKeys,
    UnservedReport,
)

#: Time between two requests, in seconds.
STEP = 0.1
START = 100.0


class Play:
    """Requests for keys of one service, one each STEP."""

    def __init__(self, step: float = STEP) -> None:
        self.keys = UnservedKeys()
        self.now = START
        self.step = step
        self.reports: list[UnservedReport] = []

    def fail(
        self,
        count: int,
        causes: Iterable[UnservedCause] = (UnservedCause.replaced,),
        key: int | None = None,
    ) -> None:
        listed = list(causes)
        for number in range(count):
            cause = listed[number % len(listed)]
            self._note(
                self.keys.record_unserved(
                    'registry', number if key is None else key, cause, self.now
                )
            )

    def serve(self, count: int = 1) -> None:
        for _ in range(count):
            self._note(self.keys.record_served('registry', self.now))

    def busy(self) -> None:
        self.keys.record_busy('registry')
        self.now += self.step

    def idle(self, seconds: float) -> None:
        self.now += seconds
        self.reports += self.keys.check(self.now)

    @property
    def kinds(self) -> list[ReportKind]:
        return [report.kind for report in self.reports]

    def _note(self, report: UnservedReport | None) -> None:
        if report is not None:
            self.reports.append(report)
        self.now += self.step


class BeginTest(unittest.TestCase):
    """When it begins, and when it does not."""

    def test_each_cause_is_reported_once(self) -> None:
        for cause in UnservedCause:
            with self.subTest(cause=cause):
                play = Play()
                play.serve()
                play.fail(100, [cause])
                (report,) = play.reports
                self.assertIs(report.kind, ReportKind.began)
                self.assertIs(report.cause, cause)
                self.assertAlmostEqual(report.since, START + STEP)
                self.assertEqual(report.requests, MIN_FAILURES)
                self.assertEqual(report.count_by_cause, {cause: MIN_FAILURES})

    def test_most_frequent_cause_is_reported(self) -> None:
        play = Play()
        play.fail(
            40,
            [
                UnservedCause.replaced,
                UnservedCause.no_owner,
                UnservedCause.no_owner,
            ],
        )
        self.assertIs(play.reports[0].cause, UnservedCause.no_owner)

    def test_served_requests_among_them_show_that_keys_are_served(self) -> None:
        play = Play()
        for _ in range(50):
            play.fail(MIN_FAILURES - 1)
            play.serve()
        self.assertEqual(play.reports, [])

    def test_few_requests_are_no_sign(self) -> None:
        play = Play(step=MAX_GAP + 1)
        play.fail(1000)
        self.assertEqual(play.reports, [])

    def test_requests_for_few_keys_are_no_sign_for_the_others(self) -> None:
        play = Play()
        play.fail(1000, key=7)
        self.assertEqual(play.reports, [])

    def test_moment_of_moving_keys_is_none(self) -> None:
        play = Play(step=0.001)
        play.fail(int(MIN_TIME / play.step) - 1, [UnservedCause.no_owner])
        play.serve()
        self.assertEqual(play.reports, [])

    def test_burst_of_overload_is_none(self) -> None:
        play = Play()
        for _ in range(50):
            play.fail(MIN_FAILURES - 1, [UnservedCause.key_not_held])
            play.busy()
        self.assertEqual(play.reports, [])


class ChangeTest(unittest.TestCase):
    """Changes of the cause."""

    def test_each_change_is_reported(self) -> None:
        play = Play()
        play.fail(50, [UnservedCause.replaced])
        play.fail(50, [UnservedCause.no_owner])
        play.fail(50, [UnservedCause.no_leader])
        self.assertEqual(
            [(report.kind, report.cause) for report in play.reports],
            [
                (ReportKind.began, UnservedCause.replaced),
                (ReportKind.changed, UnservedCause.no_owner),
                (ReportKind.changed, UnservedCause.no_leader),
            ],
        )
        self.assertEqual({one.since for one in play.reports}, {START})

    def test_cause_that_is_as_frequent_as_another_stays(self) -> None:
        both = [UnservedCause.replaced, UnservedCause.unreachable]
        play = Play()
        play.fail(500, both)
        self.assertEqual(play.kinds, [ReportKind.began])

    def test_storm_of_changing_causes_writes_few_lines(self) -> None:
        play = Play(step=0.001)
        for _ in range(1500):
            play.fail(MIN_FAILURES, [UnservedCause.replaced])
            play.fail(MIN_FAILURES, [UnservedCause.unreachable])
        self.assertAlmostEqual(play.now - START, 60)
        self.assertLess(len(play.reports), 8)


class EndTest(unittest.TestCase):
    """When it ends."""

    def test_end_tells_how_long_it_lasted(self) -> None:
        play = Play()
        play.fail(50)
        served_at = play.now
        play.serve(30)
        self.assertEqual(play.kinds, [ReportKind.began, ReportKind.ended])
        ended = play.reports[-1]
        self.assertEqual((ended.since, ended.until), (START, served_at))
        self.assertEqual(ended.requests, 50)
        self.assertTrue(ended.is_served)
        self.assertEqual(play.keys.time_by_service(play.now), {})

    def test_end_needs_no_second_request(self) -> None:
        play = Play()
        play.fail(50)
        play.serve()
        play.idle(STEADY_TIME)
        self.assertEqual(play.kinds, [ReportKind.began, ReportKind.ended])
        self.assertTrue(play.reports[-1].is_served)

    def test_single_requests_that_are_served_write_no_lines(self) -> None:
        play = Play(step=0.01)
        play.fail(200)
        for _ in range(100):
            play.fail(99)
            play.serve()
        self.assertEqual(play.kinds, [ReportKind.began])
        self.assertEqual(play.reports[0].since, START)

    def test_it_ends_once_no_request_comes_any_more(self) -> None:
        play = Play()
        play.fail(50)
        last_at = play.now - STEP
        play.idle(MAX_GAP + STEP)
        self.assertEqual(play.kinds, [ReportKind.began, ReportKind.ended])
        self.assertFalse(play.reports[-1].is_served)
        self.assertEqual(play.reports[-1].until, last_at)

    def test_busy_owners_do_not_end_it(self) -> None:
        play = Play()
        play.fail(50)
        play.busy()
        play.fail(50)
        self.assertEqual(play.kinds, [ReportKind.began])

    def test_time_is_known_while_it_lasts(self) -> None:
        play = Play()
        play.fail(50)
        (seconds,) = play.keys.time_by_service(play.now).values()
        self.assertAlmostEqual(seconds, 50 * STEP)
        play.serve()
        self.assertEqual(play.keys.time_by_service(play.now), {})


class BoundsTest(unittest.TestCase):
    """What is kept of many services."""

    def test_services_are_bounded(self) -> None:
        keys = UnservedKeys()
        for number in range(10 * MAX_SERVICES):
            keys.record_unserved(f's{number}', 1, UnservedCause.no_owner, START)
        self.assertEqual(len(keys._by_name), MAX_SERVICES)
        self.assertEqual(list(keys.check(START + MAX_GAP + 1)), [])
        self.assertEqual(len(keys._by_name), 0)

    def test_requests_are_bounded(self) -> None:
        play = Play(step=0.001)
        play.fail(10000)
        self.assertEqual(
            len(play.keys._by_name['registry'].recent), MIN_FAILURES
        )

    def test_services_are_told_apart(self) -> None:
        keys = UnservedKeys()
        reports = []
        for number in range(2 * MIN_FAILURES):
            now = START + number * STEP
            keys.record_served('b', now)
            reports.append(
                keys.record_unserved('a', number, UnservedCause.replaced, now)
            )
        self.assertEqual(
            [one.service for one in reports if one is not None], ['a']
        )
        self.assertEqual(list(keys.time_by_service(START)), ['a'])


if __name__ == '__main__':
    unittest.main()
