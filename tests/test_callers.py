"""Tests of cassialever.callers.limiter."""

import unittest

from cassialever.callers.limiter import MAX_TRACKED_CALLERS, CallerLimiter
from cassialever.catalogue.entries import CallerEntry, CallerLimits
from cassialever.errors import ErrorKind
from cassialever.types import CallerId

ENTRY = CallerEntry(
    owner='o',
    caller_id=CallerId('default'),
    limits=CallerLimits(requests_at_once=3, requests_per_second=10),
)
ONE = CallerId('one')
TWO = CallerId('two')


class TestCallerLimiter(unittest.TestCase):
    """Limits of requests at once and requests a second."""

    def setUp(self) -> None:
        """Make a limiter that tracks no caller."""
        self.limiter = CallerLimiter()

    def test_requests_at_once_are_limited_for_each_caller(self) -> None:
        """The requests of one caller do not count against another."""
        for _ in range(3):
            self.assertIsNone(self.limiter.admit(ONE, ENTRY, 0))
        refusal = self.limiter.admit(ONE, ENTRY, 0)
        assert refusal is not None
        self.assertEqual(refusal.kind, ErrorKind.caller_over_limit)
        self.assertEqual(refusal.entry, ENTRY.ref())
        self.assertIsNone(self.limiter.admit(TWO, ENTRY, 0))
        self.limiter.finish(ONE)
        self.assertIsNone(self.limiter.admit(ONE, ENTRY, 0))

    def test_rate_is_limited_and_refusal_has_retry_after(self) -> None:
        """A burst of one second, then the rate."""
        admitted = 0
        for index in range(1000):
            if self.limiter.admit(ONE, ENTRY, index / 100) is None:
                self.limiter.finish(ONE)
                admitted += 1
        self.assertAlmostEqual(admitted, 109, delta=1)
        for _ in range(2):
            refusal = self.limiter.admit(ONE, ENTRY, 10)
        assert refusal is not None
        self.assertGreater(refusal.retry_after, 0)
        retry_at = 10 + refusal.retry_after + 0.001
        self.assertIsNone(self.limiter.admit(ONE, ENTRY, retry_at))

    def test_number_of_tracked_callers_is_bounded(self) -> None:
        """Idle callers are dropped; callers with open requests are not."""
        for _ in range(3):
            self.limiter.admit(ONE, ENTRY, 0)
        for index in range(3 * MAX_TRACKED_CALLERS):
            caller = CallerId(str(index))
            now = index / 100
            self.limiter.admit(caller, ENTRY, now)
            self.limiter.finish(caller)
        self.assertLessEqual(
            len(self.limiter._usage_by_caller), MAX_TRACKED_CALLERS
        )
        self.assertIsNotNone(self.limiter.admit(ONE, ENTRY, 1000))
