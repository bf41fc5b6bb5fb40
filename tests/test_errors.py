"""Tests of cassialever.errors."""

import unittest

from cassialever.errors import ANSWER_BY_KIND, ErrorKind


class TestAnswers(unittest.TestCase):
    """The table from kind to answer."""

    def test_every_kind_has_an_answer(self) -> None:
        """No error kind is without its answer."""
        self.assertEqual(set(ErrorKind), set(ANSWER_BY_KIND))

    def test_only_work_not_run_goes_elsewhere(self) -> None:
        """What may have run is never tried at another target."""
        for kind, answer in ANSWER_BY_KIND.items():
            with self.subTest(kind=kind):
                if answer.retryable_elsewhere:
                    self.assertTrue(answer.not_run)
