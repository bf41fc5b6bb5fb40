"""Tests of decoding what targets say of themselves."""

import unittest

import msgspec

from cassialever.errors import Failure
from cassialever.fleet.limit_reports import LimitReport
from cassialever.platform.statements import parse_statements

SIGNED = {'Response-Seal': 's'}
REFUSED = {'Not-Executed': '1'}


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
                    status, {**headers, 'Server-Leaving': text}
                )
                self.assertTrue(said.is_leaving)

    def test_other_values_say_nothing(self) -> None:
        for text in ('', '0', 'true', '11', '-1', '\u0661', '1,1', '1' * 9999):
            headers = {**SIGNED, 'Server-Leaving': text}
            self.assertFalse(parse_statements(200, headers).is_leaving)

    def test_an_invalid_limit_does_not_hide_it(self) -> None:
        headers = {**SIGNED, 'Server-Limit': 'many', 'Server-Leaving': '1'}
        said = parse_statements(200, headers)
        self.assertTrue(said.is_leaving)
        self.assertIsInstance(said.limit, Failure)

    def test_answers_of_others_say_nothing(self) -> None:
        for status, headers in ((421, REFUSED), (421, {}), (200, {})):
            given = {**headers, 'Server-Leaving': '1'}
            self.assertIsInstance(parse_statements(status, given), Failure)


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
