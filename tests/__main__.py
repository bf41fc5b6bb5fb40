"""Run every test and close with the counts."""

import sys

from nose2 import events
from nose2.main import discover


class Counts(events.Plugin):
    """Count outcomes as nose2 reports them."""

    alwaysOn = True
    configSection = 'counts'
    by_outcome: dict[str, int] = {'passed': 0, 'failed': 0, 'skipped': 0}

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Count one outcome; an unexpected pass is a failure."""
        if event.outcome == 'subtest' and event.exc_info is None:
            return
        if event.outcome == 'skipped':
            self.by_outcome['skipped'] += 1
            return
        as_expected = event.outcome == 'passed' and event.expected
        self.by_outcome['passed' if as_expected else 'failed'] += 1


def run() -> int:
    """Run nose2 over the tests and print `N passed, N failed`."""
    program = discover(
        argv=['nose2', '-s', 'tests', '-t', '.', *sys.argv[1:]],
        plugins=['tests.__main__'],
        exit=False,
    )
    counts = Counts.by_outcome
    tail = f', {counts["skipped"]} skipped' if counts['skipped'] else ''
    print(
        f'{counts["passed"]} passed, {counts["failed"]} failed{tail}',
        flush=True,
    )
    succeeded = program.result.wasSuccessful() and counts['passed']
    return 0 if succeeded and not counts['failed'] else 1


if __name__ == '__main__':
    # The plugin is loaded under the module's own name, so that its counts
    # and the ones printed are the same object.
    from tests import __main__ as runner

    sys.exit(runner.run())
