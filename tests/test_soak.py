"""Run a short soak test with one seed."""

import asyncio
import pathlib
import tempfile
import unittest

from soak.__main__ import soak


class SoakTest(unittest.TestCase):
    """Daemon processes with faults injected from outside."""

    def test_short_soak(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            callers, injector = asyncio.run(
                soak(pathlib.Path(folder), seed=3, seconds=6, daemons=3),
            )
        self.assertEqual(callers.violations, [], injector.events)
        self.assertTrue(callers.outcome_counts['200'])


if __name__ == '__main__':
    unittest.main()
