"""The runner names what failed at the end of its output."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from tests.__main__ import named_failures

#: Fails by an assertion, in two of three subTests, and by an unhandled error.
FAILING_MODULE = """
import logging
import unittest


class FailingTest(unittest.TestCase):
    def test_fails(self):
        print('not passed: a line of the test itself')
        self.fail('as meant')

    def test_parts(self):
        for number in range(3):
            with self.subTest(number=number, text='two\\nlines'):
                self.assertEqual(number, 1)

    def test_passes(self):
        pass

    def test_unhandled(self):
        logging.getLogger('asyncio').error('an error as meant')
"""


class FailuresAtTheEndTest(unittest.TestCase):
    def test_run_of_a_module_names_what_failed_before_its_totals(self):
        output = self._run('tests.test_failing')
        *_, fails, first, second, unhandled, totals = output.splitlines()
        prefix = 'not passed: tests.test_failing.FailingTest.test_'
        self.assertEqual(fails, f'{prefix}fails')
        self.assertTrue(first.startswith(f'{prefix}parts (number=0'), first)
        self.assertTrue(second.startswith(f'{prefix}parts (number=2'), second)
        self.assertEqual(unhandled, f'{prefix}unhandled')
        self.assertEqual(totals, '1 passed, 4 failed')

    def test_run_of_all_names_them_and_modules_without_a_result(self):
        output = self._run()
        *_, crash, fails, first, second, unhandled, totals = sorted(
            output.splitlines()[-6:],
            key=lambda line: (not line.startswith('not passed'), line),
        )
        self.assertEqual(
            crash,
            'not passed: tests.test_crashing ended without a result',
        )
        self.assertIn('test_fails', fails)
        self.assertIn('test_parts (number=0', first)
        self.assertIn('test_parts (number=2', second)
        self.assertIn('test_unhandled', unhandled)
        self.assertEqual(totals, '1 passed, 5 failed')
        self.assertEqual(output.splitlines()[-1], totals)

    def test_no_totals_name_no_failure(self):
        self.assertEqual(named_failures('not passed: a test\n'), [])

    def _run(self, *modules: str) -> str:
        """Run the runner in a folder with a failing and a crashing module."""
        root = pathlib.Path(__file__).parent.parent
        with tempfile.TemporaryDirectory() as folder:
            tests = pathlib.Path(folder, 'tests')
            tests.mkdir()
            runner = root / 'tests/__main__.py'
            (tests / '__init__.py').touch()
            (tests / '__main__.py').write_text(runner.read_text())
            (tests / 'test_failing.py').write_text(FAILING_MODULE)
            (tests / 'test_crashing.py').write_text('import os; os._exit(3)')
            pathlib.Path(folder, 'KNOWN-RED.txt').touch()
            return subprocess.run(
                [sys.executable, '-m', 'tests', *modules],
                cwd=folder,
                env={'PYTHONPATH': str(root)},
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                timeout=60,
            ).stdout
