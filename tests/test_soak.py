"""Run a short soak of one seed."""

import asyncio
import pathlib
import tempfile
import unittest

from soak.__main__ import soak


class SoakTest(unittest.TestCase):
    """Real daemons, as processes, with faults from outside."""

    def test_short_soak(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            callers, injector = asyncio.run(
                soak(pathlib.Path(folder), seed=3, seconds=6, daemons=3),
            )
        self.assertEqual(callers.violations, [], injector.events)
        self.assertTrue(callers.outcome_counts['200'])


if __name__ == '__main__':
    unittest.main()
