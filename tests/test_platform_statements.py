"""Tests of decoding what targets say of themselves."""

import unittest

import msgspec

from cassialever.errors import Failure
from cassialever.fleet.limit_reports import LimitReport
from cassialever.platform.statements import parse_statements
from cassialever.policy.pauses import MAX_PAUSE, TargetPauses
from tests.fleet_helpers import ManualClock, configured_view

#: 30 s before the date that is used as an example in RFC 9110.
NOW = 784111777.0 - 30
SIGNED = {'Response-Seal': 's'}
REFUSED = {'Not-Executed': '1'}


def some_target():
    """Return a target."""
    view = configured_view(ManualClock(), targets=1)
    return view.targets.by_id['t0']


class EarlierReport(msgspec.Struct, frozen=True, array_like=True):
    """A report as the build at cf39707 reads and writes it."""

    target_id: str
    started_at: int
    rate: float
    named_age: float | None
    ended_age: float | None


class LeavingStatementTest(unittest.TestCase):
    """Answers that say that their target leaves."""

    def test_answers_and_refusals_say_so(self) -> None:
        for status, headers in ((200, SIGNED), (500, SIGNED), (503, REFUSED)):
            for text in ('1', ' 1 '):
                said = parse_statements(
                    status, {**headers, 'Server-Leaving': text}, NOW
                )
                self.assertTrue(said.is_leaving)

    def test_other_values_say_nothing(self) -> None:
        for text in ('', '0', 'true', '11', '-1', '\u0661', '1,1', '1' * 9999):
            headers = {**SIGNED, 'Server-Leaving': text}
            self.assertFalse(parse_statements(200, headers, NOW).is_leaving)

    def test_an_invalid_limit_does_not_hide_it(self) -> None:
        headers = {**SIGNED, 'Server-Limit': 'many', 'Server-Leaving': '1'}
        said = parse_statements(200, headers, NOW)
        self.assertTrue(said.is_leaving)
        self.assertIsInstance(said.limit, Failure)

    def test_answers_of_others_say_nothing(self) -> None:
        for status, headers in ((421, REFUSED), (421, {}), (200, {})):
            given = {**headers, 'Server-Leaving': '1'}
            self.assertIsInstance(parse_statements(status, given, NOW), Failure)


class PauseStatementTest(unittest.TestCase):
    """Refusals that say for how long their target wants nothing."""

    def pause(self, text: str, **headers: str) -> float:
        given = {**REFUSED, 'Retry-After': text, **headers}
        return parse_statements(503, given, NOW).pause

    def test_seconds_and_dates_are_read(self) -> None:
        for text, pause in (
            ('2', 2),
            (' 2.5 ', 2.5),
            ('007', 7),
            ('Sun, 06 Nov 1994 08:49:37 GMT', 30),
            ('Sunday, 06-Nov-94 08:49:37 GMT', 30),
            ('Sun Nov  6 08:49:37 1994', 30),
        ):
            with self.subTest(text=text):
                self.assertEqual(self.pause(text), pause)

    def test_date_counts_from_the_date_of_the_answer(self) -> None:
        date = 'Sun, 06 Nov 1994 08:49:37 GMT'
        self.assertEqual(
            self.pause(date, Date='Sun, 06 Nov 1994 08:49:33 GMT'), 4
        )
        self.assertEqual(self.pause(date, Date='yesterday'), 30)

    def test_garbled_negative_and_past_times_say_nothing(self) -> None:
        for text in (
            '',
            '-1',
            'nan',
            'inf',
            '1e9',
            '1_0',
            '\u0662',
            '2 s',
            '2,3',
            'soon',
            'Sun, 06 Nov 1994',
            'Sun, 99 Nov 1994 08:49:37 GMT',
            'Sat, 05 Nov 1994 08:49:37 GMT',
            'x' * 99999,
        ):
            with self.subTest(text=text[:40]):
                self.assertEqual(self.pause(text), 0)

    def test_huge_times_are_cut(self) -> None:
        pauses = TargetPauses()
        target = some_target()
        for text in ('9' * 400, '9' * 10, 'Sun, 06 Nov 9994 08:49:37 GMT'):
            pause = self.pause(text)
            self.assertGreater(pause, MAX_PAUSE)
            pauses.record(target, pause, 100.0)
            self.assertEqual(pauses.until(target), 100.0 + MAX_PAUSE)

    def test_later_answer_does_not_shorten_it(self) -> None:
        pauses = TargetPauses()
        target = some_target()
        self.assertTrue(pauses.record(target, 5.0, 100.0))
        self.assertFalse(pauses.record(target, 1.0, 101.0))
        self.assertEqual(pauses.until(target), 105.0)
        again = msgspec.structs.replace(target, started_at=1001)
        self.assertLess(pauses.until(again), 100.0)
        pauses.prune({})
        self.assertLess(pauses.until(target), 100.0)

    def test_other_answers_ask_for_no_pause(self) -> None:
        for status, headers in ((200, SIGNED), (500, SIGNED), (429, REFUSED)):
            given = {**headers, 'Retry-After': '2'}
            self.assertEqual(parse_statements(status, given, NOW).pause, 0)
        unsigned = parse_statements(503, {'Retry-After': '2'}, NOW)
        self.assertIsInstance(unsigned, Failure)


class TwoBuildsTest(unittest.TestCase):
    """Reports between this build and the one at cf39707."""

    def test_earlier_build_reads_reports(self) -> None:
        report = LimitReport('t0', 7, 2.4, 0.5, None, leaving_age=1.5)
        read = msgspec.msgpack.decode(
            msgspec.msgpack.encode(report), type=EarlierReport
        )
        self.assertEqual(read, EarlierReport('t0', 7, 2.4, 0.5, None))

    def test_reports_of_an_earlier_build_are_read(self) -> None:
        report = EarlierReport('t0', 7, 2.4, 0.5, None)
        read = msgspec.msgpack.decode(
            msgspec.msgpack.encode(report), type=LimitReport
        )
        self.assertEqual(read, LimitReport('t0', 7, 2.4, 0.5, None))


if __name__ == '__main__':
    unittest.main()
