"""Tests of cassialever.errors."""

import unittest

from cassialever.errors import ANSWER_BY_KIND, ErrorKind


class TestAnswers(unittest.TestCase):
    """The answers to error kinds."""

    def test_every_kind_has_an_answer(self) -> None:
        """Every error kind has an answer."""
        self.assertEqual(set(ErrorKind), set(ANSWER_BY_KIND))

    def test_only_requests_not_run_are_retried(self) -> None:
        """A request that may have run is never retried at another target."""
        for kind, answer in ANSWER_BY_KIND.items():
            with self.subTest(kind=kind):
                if answer.retryable_elsewhere:
                    self.assertTrue(answer.not_run)
