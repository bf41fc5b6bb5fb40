"""Run the tests and print the totals."""

import functools
import pathlib
import sys

from nose2 import events
from nose2.main import discover

#: Prefix of the lines in KNOWN-RED.txt that name a test.
RED_PREFIX = 'red: '


class OutcomeCounter(events.Plugin):
    """A nose2 plugin that counts the outcomes of tests."""

    alwaysOn = True
    configSection = 'counts'
    count_by_outcome: dict[str, int] = {'passed': 0, 'failed': 0, 'skipped': 0}
    #: Tests listed in KNOWN-RED.txt that failed in this run.
    red_tests: list[str] = []

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Count one outcome; an unexpected pass is a failure."""
        if event.outcome == 'subtest' and event.exc_info is None:
            return
        if event.outcome == 'skipped':
            self.count_by_outcome['skipped'] += 1
            return
        as_expected = event.outcome == 'passed' and event.expected
        if not as_expected and event.test.id() in known_red_tests():
            self.red_tests.append(event.test.id())
            return
        self.count_by_outcome['passed' if as_expected else 'failed'] += 1


@functools.cache
def known_red_tests() -> frozenset[str]:
    """Return the tests in KNOWN-RED.txt, one per line as `red: ID`."""
    lines = pathlib.Path('KNOWN-RED.txt').read_text().splitlines()
    return frozenset(
        line.removeprefix(RED_PREFIX).strip()
        for line in lines
        if line.startswith(RED_PREFIX)
    )


def run() -> int:
    """Run nose2 over the tests and print `N passed, N failed`."""
    discover(
        argv=['nose2', '-s', 'tests', '-t', '.', *sys.argv[1:]],
        plugins=['tests.__main__'],
        exit=False,
    )
    for test_id in OutcomeCounter.red_tests:
        print(f'known red, passed over: {test_id}')
    counts = OutcomeCounter.count_by_outcome
    tail = f', {counts["skipped"]} skipped' if counts['skipped'] else ''
    print(
        f'{counts["passed"]} passed, {counts["failed"]} failed{tail}',
        flush=True,
    )
    return 0 if counts['passed'] and not counts['failed'] else 1


if __name__ == '__main__':
    # nose2 imports this module by its name to load the plugin; import it by
    # the same name, so that both use the same counts.
    from tests import __main__ as runner

    sys.exit(runner.run())
