"""Targets that forget connections which have rested."""

import asyncio
import math
import random
import unittest

from cassialever.gateway.outcomes import AttemptOutcome
from cassialever.policy.rest_times import (
    LIMIT_PERIOD,
    MAX_LIMITS,
    MIN_REST_TIME,
    RestTimes,
)
from tests.hop_helpers import raw_server
from tests.test_gateway_sender import reset_connection
from tests.test_repeated_refusals import RefusalCase, success

#: After which rest a target forgets a connection, in seconds.
FORGETS_AFTER = 0.3
REQUESTS = 12


class RestTimesTest(unittest.TestCase):
    """How long connections may rest."""

    def test_limit_is_half_of_the_rest_that_was_too_long(self) -> None:
        times = RestTimes()
        self.assertEqual(times.longest('a:1', 0), math.inf)
        times.record_broken('a:1', 4.0, 0)
        self.assertEqual(times.longest('a:1', 0), 2.0)
        self.assertEqual(times.longest('b:1', 0), math.inf)
        times.record_broken('a:1', 1.0, 1.0)
        self.assertEqual(times.longest('a:1', 1.0), 0.5)
        self.assertEqual(times.longest('a:1', 1.0 + LIMIT_PERIOD), math.inf)

    def test_new_connection_that_breaks_shows_nothing(self) -> None:
        times = RestTimes()
        times.record_broken('a:1', 0, 0)
        times.record_broken('a:1', MIN_REST_TIME, 0)
        self.assertEqual(times.longest('a:1', 0), math.inf)

    def test_limits_are_bounded(self) -> None:
        times = RestTimes()
        for number in range(3 * MAX_LIMITS):
            times.record_broken(f'a:{number}', 4.0, 0)
        self.assertLessEqual(len(times._limit_by_address), MAX_LIMITS)


class ForgetfulTargetTest(RefusalCase):
    """A target that resets connections which rested, on their next use."""

    async def test_few_requests_are_lost(self) -> None:
        """Callers come at intervals of which most are too long."""
        rng = random.Random(4)
        loop = asyncio.get_running_loop()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            used_at = loop.time()
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if loop.time() - used_at > FORGETS_AFTER:
                    reset_connection(writer)
                    return
                request_id = head.split(b'Attempt-Id: ')[1].split(b'\r\n')[0]
                writer.write(success(request_id.decode()))
                used_at = loop.time()

        lost = 0
        async with raw_server(serve) as address:
            for number in range(REQUESTS):
                attempt = await self.send_as(f'a{number}', self.at(address))
                lost += attempt.outcome is not AttemptOutcome.answered
                await asyncio.sleep(FORGETS_AFTER * (0.9 + rng.random()))
        # The first one shows it; half of its rest is too long once at most.
        self.assertLessEqual(lost, 2)
        self.assertGreaterEqual(lost, 1)


if __name__ == '__main__':
    unittest.main()
