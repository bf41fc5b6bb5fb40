"""What is logged of attempts to lead, and how far apart they are."""

import asyncio
import random
import statistics
import unittest
from unittest import mock

import msgspec

from cassialever.fleet import lease as leases
from cassialever.fleet.attempts import (
    FAILURES_TO_WARN,
    Attempt,
    AttemptLog,
    Hindrance,
)
from cassialever.fleet.model import SuspectedMove
from cassialever.fleet.seeking import (
    MAX_LONGEST_PAUSE,
    MIN_LONGEST_PAUSE,
    SEEK_DELAY,
    SHORT_PAUSES,
    Seeking,
    SeekPauses,
)
from cassialever.fleet.mapped_services import MAX_MAPPED_SERVICES
from cassialever.fleet.suspected_moves import MAX_MOVES
from cassialever.types import ServiceName, TargetId
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.hop_helpers import LoggedEvents

#: The limits of the store on a row's content and on a name, in bytes.
ROW_BYTES = 65_536
NAME_BYTES = 200


class AttemptLogTest(unittest.TestCase):
    """Attempts that recur several times a second."""

    def counts(
        self, hindrance: Hindrance, attempts: int, interval: float = 0.2
    ) -> tuple[list[object], list[object]]:
        """Return the counts of the lines that attempts are logged with."""
        log = AttemptLog()
        with LoggedEvents() as logged:
            for number in range(attempts):
                log.note(Attempt(hindrance), number * interval)
        return (
            [one['count'] for one in logged.fields('election_failed')],
            [one['count'] for one in logged.fields('election_hindered')],
        )

    def test_each_reason_is_logged_seldom(self) -> None:
        self.assertEqual(
            self.counts(Hindrance.refused, 2000),
            ([1, 10, 100, 1000], [FAILURES_TO_WARN]),
        )

    def test_lease_that_lapses_is_no_lasting_failure(self) -> None:
        """Every daemon meets it for up to 1.5 s after a leader was killed."""
        self.assertEqual(self.counts(Hindrance.lease_held, 7), ([1], []))
        self.assertEqual(self.counts(Hindrance.lease_held, 20), ([1], [3]))

    def test_new_series_begins_after_a_leader(self) -> None:
        log = AttemptLog()
        with LoggedEvents() as logged:
            log.note(Attempt(Hindrance.conflict), 1)
            log.clear()
            log.note(Attempt(Hindrance.conflict), 2)
        self.assertEqual(len(logged.fields('election_failed')), 2)


class PausesTest(unittest.TestCase):
    """The time between two attempts."""

    def test_first_pauses_are_short(self) -> None:
        pauses = SeekPauses(random.Random(1))
        for _ in range(2):
            for _ in range(SHORT_PAUSES):
                self.assertLessEqual(pauses.draw(195), 2 * SEEK_DELAY)
            self.assertTrue(any(pauses.draw(195) > 1 for _ in range(50)))
            pauses.restart()

    def test_later_ones_are_spread_and_bounded(self) -> None:
        for daemon_count, longest in (
            (1, MIN_LONGEST_PAUSE),
            (9, MIN_LONGEST_PAUSE),
            (195, MAX_LONGEST_PAUSE),
        ):
            pauses = SeekPauses(random.Random(1))
            drawn = [pauses.draw(daemon_count) for _ in range(500)][20:]
            self.assertLessEqual(max(drawn), longest)
            self.assertGreater(statistics.mean(drawn), 0.4 * longest)
            self.assertGreater(statistics.stdev(drawn), 0.2 * longest)

    def test_new_leader_ends_a_pause(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            link = mock.Mock()
            link.view.leader = ('edge-1', 3)
            seeking = Seeking(
                mock.Mock(), link, random.Random(1), asyncio.Event()
            )
            begun_at = loop.time()
            loop.call_later(
                1, lambda: setattr(link.view, 'leader', ('edge-2', 4))
            )
            await seeking._wait(5)
            self.assertLess(loop.time() - begun_at, 1 + 2 * SEEK_DELAY)

        run_virtually(main)


class LeaseSizeTest(unittest.TestCase):
    """The row that holds the lease, with names as long as they may be."""

    def test_largest_lease_fits_into_a_row(self) -> None:
        name = 'n' * NAME_BYTES
        many = {
            f'{number:0{NAME_BYTES}}': 200.0 + number for number in range(500)
        }
        until_by_id = leases.earlier_leaders(
            leases.Lease('edge-1', 1, 201.0, False, many), 3, 'edge-2', 200.0
        )
        move = SuspectedMove(
            ServiceName(name), TargetId(name), 65_536, 1000.123456
        )
        content = msgspec.msgpack.encode(
            leases.Lease(
                name,
                2**62,
                200.0,
                False,
                until_by_id,
                (move,) * MAX_MOVES,
                mapped_services=(ServiceName(name),) * MAX_MAPPED_SERVICES,
            )
        )
        self.assertLess(len(content), ROW_BYTES)


if __name__ == '__main__':
    unittest.main()
