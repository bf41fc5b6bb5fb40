"""Tests of decoding the limits that targets name."""

import unittest

from cassialever.errors import Failure
from cassialever.platform.named_limit import parse_named_limit

SIGNED = {'Response-Seal': 's'}
REFUSED = {'Not-Executed': '1'}


class NamedLimitTest(unittest.TestCase):
    """What an answer says of its target's limit."""

    def test_limit_is_named_by_answers_and_refusals(self) -> None:
        for status, headers in ((200, SIGNED), (500, SIGNED), (503, REFUSED)):
            for text, rate in (('2.4', 2.4), ('300', 300), ('0', 0)):
                named = parse_named_limit(
                    status, {**headers, 'Server-Limit': text}
                )
                self.assertEqual(named.rate, rate)

    def test_answer_without_the_header_names_no_limit(self) -> None:
        for status, headers in ((200, SIGNED), (503, REFUSED)):
            self.assertIsNone(parse_named_limit(status, headers).rate)

    def test_invalid_limits_say_nothing(self) -> None:
        for text in ('', 'many', '-1', 'nan', 'inf', '1,2', '2;3', '\u0662x'):
            headers = {**SIGNED, 'Server-Limit': text}
            self.assertIsInstance(parse_named_limit(200, headers), Failure)

    def test_answers_of_others_say_nothing(self) -> None:
        limit = {'Server-Limit': '2.4'}
        for status, headers in ((421, REFUSED), (421, {}), (200, {})):
            for given in (headers, {**headers, **limit}):
                self.assertIsInstance(parse_named_limit(status, given), Failure)


if __name__ == '__main__':
    unittest.main()
