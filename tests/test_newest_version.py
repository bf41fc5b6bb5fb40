"""Tests of the newest version that the store's answers have told."""

import unittest

from cassialever.platform.newest_version import NewestVersion
from cassialever.types import RowVersion


class NewestVersionTest(unittest.TestCase):
    """A store that tells lower versions than before."""

    def setUp(self) -> None:
        self.newest = NewestVersion()
        self.newest.note(RowVersion(90))

    def read(self, version: int, told_before: int) -> int:
        """Note a read; return the newest version."""
        self.newest.note_read(RowVersion(version), RowVersion(told_before))
        return self.newest.told

    def test_second_lower_read_is_believed(self) -> None:
        self.assertEqual(self.read(50, 90), 90)
        self.assertEqual(self.read(51, 90), 51)

    def test_reads_sent_before_the_version_was_told_deny_nothing(self) -> None:
        for _ in range(3):
            self.assertEqual(self.read(50, 50), 90)

    def test_read_between_that_is_not_lower_counts(self) -> None:
        self.read(50, 90)
        self.read(90, 90)
        self.assertEqual(self.read(50, 90), 90)

    def test_other_answers_only_raise_it(self) -> None:
        self.newest.note(RowVersion(50))
        self.newest.note(RowVersion(50))
        self.assertEqual(self.newest.told, 90)
        self.newest.note(RowVersion(91))
        self.assertEqual(self.newest.told, 91)


if __name__ == '__main__':
    unittest.main()
