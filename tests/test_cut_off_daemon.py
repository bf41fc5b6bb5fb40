"""Tests of daemons that lose the path to targets, with daemon processes."""

import asyncio
import statistics
import unittest
from collections import Counter
from typing import ClassVar

from soak.fleet import SERVICE_TIME, DaemonProcess
from soak.proxy import ProxyMode
from tests.cut_off_helpers import CutOffFleet, FirstTry, served_share
from tests.gateway_helpers import ISSUE_HEADERS, LOOKUP_HEADERS

#: Time for which first tries are sent before a cut, in seconds.
CALM_DURATION = 0.4
#: Length of a cut, in seconds.
CUT_DURATION = 3.6
#: From this time after the beginning of a cut, a daemon that is cut off has to
#: serve like the others, in seconds: the aim, and the users' bound.
AIM = 1.0
BOUND = 3.0
#: A daemon that is cut off serves at least this part of what others do.
MIN_RELATIVE_SHARE = 2 / 3
#: Daemons that are not cut off serve at least this part of what they did.
MIN_KEPT_SHARE = 0.95
#: First tries that may fail at daemons that are cut off: one in 50 of all, and
#: ten.
MAX_FAILED_PART = 1 / 50
MAX_FAILED_COUNT = 10
#: Time after the end of a cut until requests have to go straight to targets,
#: in seconds, and for which they are counted then.
RETURN_DURATION = 3.0
COUNT_DURATION = 0.5
#: A daemon without any way refuses within this median time, in seconds, from
#: this time after the beginning of the cut on.
MAX_REFUSAL_TIME = 0.1
REFUSALS_FROM = 1.5
#: Work for a caller that has left ends within this time, in seconds.
MAX_WORK_AFTER_LEAVING = 0.5
LONG_REQUEST = b'u' * 300_000
LONG_ANSWER = b'd' * 1_000_000
#: A service time that outlasts the caller, in seconds.
LONG_SERVICE_TIME = 2.0

running = CutOffFleet()


def setUpModule() -> None:
    running.start()


def tearDownModule() -> None:
    running.stop()


class CutScenario:
    """A cut under load, played once for all checks of a class."""

    mode: ClassVar[ProxyMode] = ProxyMode.hang
    cut_duration: ClassVar[float] = CUT_DURATION
    #: When the cut began, by the loop's clock.
    cut_at: ClassVar[float]
    tries: ClassVar[list[FirstTry]]
    #: Names of the daemons that are cut off, and of the others.
    cut: ClassVar[set[str]]
    others: ClassVar[set[str]]
    runs: ClassVar[Counter[str]]

    @classmethod
    def setUpClass(cls) -> None:
        running.runner.run(cls.play())

    @classmethod
    def daemons_to_cut(cls) -> list[DaemonProcess]:
        return running.followers()[:1]

    @classmethod
    async def play(cls) -> None:
        cut_off = cls.daemons_to_cut()
        cls.cut = {one.name for one in cut_off}
        cls.others = {one.name for one in running.fleet.daemons} - cls.cut
        running.tries = []
        await running.load(CALM_DURATION)
        cls.cut_at = asyncio.get_running_loop().time()
        await cls.begin_cut(cut_off)
        await asyncio.gather(running.load(cls.cut_duration), cls.meanwhile())
        await running.heal()
        cls.tries = list(running.tries)
        await cls.afterwards(cut_off)
        await running.settle()
        cls.runs = running.run_counts()

    @classmethod
    async def begin_cut(cls, cut_off: list[DaemonProcess]) -> None:
        await running.cut(cut_off, cls.mode)

    @classmethod
    async def meanwhile(cls) -> None:
        """Do what else happens during the cut."""

    @classmethod
    async def afterwards(cls, cut_off: list[DaemonProcess]) -> None:
        """Do what happens after the cut."""

    def tries_from(self, moment: float) -> list[FirstTry]:
        """Return the first tries from a time after the cut began on."""
        return [
            one for one in self.tries if one.sent_at >= self.cut_at + moment
        ]

    def describe(self, tries: list[FirstTry]) -> str:
        """Return the outcomes by daemon, for messages."""
        counts = Counter((one.daemon, one.outcome) for one in tries)
        return f'cut off: {sorted(self.cut)}, outcomes: {counts}'


class TruthChecks(CutScenario):
    """What holds for every request, whether or not it is served."""

    def test_request_that_runs_once_runs_twice(self) -> None:
        unsafe = [one for one in self.tries if not one.is_lookup]
        self.assertEqual(
            [one for one in unsafe if self.runs[one.request_id] > 1], []
        )

    def test_request_reported_as_not_run_runs(self) -> None:
        self.assertEqual(
            [
                one
                for one in self.tries
                if one.is_not_run and self.runs[one.request_id]
            ],
            [],
        )

    def test_caller_gets_the_answer_of_another(self) -> None:
        self.assertEqual([one for one in self.tries if one.is_foreign], [])


class ShareChecks(TruthChecks):
    """Daemons that are cut off serve first tries like the others."""

    def check_shares(self, moment: float) -> None:
        tries = self.tries_from(moment)
        self.assertGreaterEqual(
            served_share(tries, self.cut),
            MIN_RELATIVE_SHARE * served_share(tries, self.others),
            self.describe(tries),
        )

    def check_failures(self, moment: float) -> None:
        tries = self.tries_from(moment)
        failed = [
            one for one in tries if one.daemon in self.cut and not one.is_served
        ]
        self.assertLessEqual(
            len(failed),
            MAX_FAILED_PART * len(tries) + MAX_FAILED_COUNT,
            self.describe(tries),
        )

    def test_first_tries_are_served_less_from_one_second_on(self) -> None:
        self.check_shares(AIM)

    def test_first_tries_are_served_less_from_three_seconds_on(self) -> None:
        self.check_shares(BOUND)

    def test_first_tries_fail_from_one_second_on(self) -> None:
        self.check_failures(AIM)

    def test_first_tries_fail_from_three_seconds_on(self) -> None:
        self.check_failures(BOUND)

    def test_others_serve_fewer_lookups_than_before(self) -> None:
        after = [one for one in self.tries_from(AIM) if one.is_lookup]
        before = [
            one
            for one in self.tries
            if one.is_lookup and one.sent_at < self.cut_at
        ]
        self.assertGreaterEqual(
            served_share(after, self.others),
            MIN_KEPT_SHARE * served_share(before, self.others),
            self.describe(after),
        )


class ReturnChecks(ShareChecks):
    """Also counts the requests on the way to targets after the cut."""

    #: Requests sent to the daemon, and those that took its own path.
    sent_count: ClassVar[int]
    direct_count: ClassVar[int]

    @classmethod
    async def afterwards(cls, cut_off: list[DaemonProcess]) -> None:
        await running.load(RETURN_DURATION)
        cls.sent_count = -len(running.tries)
        cls.direct_count = -cut_off[0].request_count()
        await running.load(COUNT_DURATION, cut_off)
        cls.sent_count += len(running.tries)
        cls.direct_count += cut_off[0].request_count()

    def test_requests_still_take_the_long_way_three_seconds_after(
        self,
    ) -> None:
        self.assertGreaterEqual(
            self.direct_count, MIN_KEPT_SHARE * self.sent_count
        )


class ResetCutTest(ShareChecks, unittest.TestCase):
    """Connections to targets are reset, and new ones refused."""

    mode = ProxyMode.refused


class AcceptedResetTest(ShareChecks, unittest.TestCase):
    """Connections to targets are established, and then reset."""

    mode = ProxyMode.reset


class HangCutTest(ReturnChecks, unittest.TestCase):
    """All packets vanish, both ways."""


class RefuseNewCutTest(ShareChecks, unittest.TestCase):
    """New connections are refused.

    Open ones to the owners of keys are reset, all others live on.
    """

    mode = ProxyMode.refuse_new

    @classmethod
    async def begin_cut(cls, cut_off: list[DaemonProcess]) -> None:
        await super().begin_cut(cut_off)
        owners = [
            one.target_id for one in running.fleet.targets if one.is_keyed
        ]
        for daemon in cut_off:
            await daemon.set_paths(ProxyMode.refused, owners)


class NoAnswersCutTest(ShareChecks, unittest.TestCase):
    """Packets reach the targets, and those of the targets vanish."""

    mode = ProxyMode.no_answers


class OneHelperTest(ShareChecks, unittest.TestCase):
    """Three of four daemons are cut off."""

    @classmethod
    def daemons_to_cut(cls) -> list[DaemonProcess]:
        return running.followers()


class LeaderTest(ShareChecks, unittest.TestCase):
    """The daemon that assigns keys is cut off."""

    @classmethod
    def daemons_to_cut(cls) -> list[DaemonProcess]:
        leader = running.fleet.leader()
        assert leader is not None
        return [leader]


class LeaderResetTest(LeaderTest):
    """The connections of the daemon that assigns keys are reset."""

    mode = ProxyMode.refused


class StoppingHelperTest(ShareChecks, unittest.TestCase):
    """Two daemons are cut off, and one of the other two stops as planned."""

    exit_status: ClassVar[int]
    #: The daemon that stops.
    stopping: ClassVar[DaemonProcess]

    @classmethod
    def daemons_to_cut(cls) -> list[DaemonProcess]:
        first, second, cls.stopping = running.followers()
        return [first, second]

    @classmethod
    async def meanwhile(cls) -> None:
        cls.others.discard(cls.stopping.name)
        await asyncio.sleep(AIM)
        cls.exit_status = await running.restart(cls.stopping)

    def test_helper_does_not_stop_cleanly(self) -> None:
        self.assertEqual(self.exit_status, 0)


class NoHelperTest(TruthChecks, unittest.TestCase):
    """All daemons are cut off."""

    cut_duration = 2.5

    @classmethod
    def daemons_to_cut(cls) -> list[DaemonProcess]:
        return running.fleet.daemons

    def test_requests_wait_where_none_can_be_served(self) -> None:
        refused = self.tries_from(REFUSALS_FROM)
        self.assertLess(
            statistics.median(one.duration for one in refused),
            MAX_REFUSAL_TIME,
            self.describe(refused),
        )

    def test_refusals_do_not_say_that_nothing_ran(self) -> None:
        refused = self.tries_from(REFUSALS_FROM)
        self.assertTrue(
            all(one.is_not_run for one in refused), self.describe(refused)
        )


class SingleRequestTest(unittest.TestCase):
    """Requests of their own through a daemon that is cut off."""

    daemon: ClassVar[DaemonProcess]

    @classmethod
    def setUpClass(cls) -> None:
        cls.daemon = running.followers()[0]
        running.runner.run(cls.cut())

    @classmethod
    def tearDownClass(cls) -> None:
        running.runner.run(cls.heal())

    def tearDown(self) -> None:
        for target in running.fleet.targets:
            target.fixed_body = None
            target.faults.service_time = SERVICE_TIME

    @classmethod
    async def cut(cls) -> None:
        await running.cut([cls.daemon], ProxyMode.hang)
        # The daemon learns from its callers' requests that it is cut off.
        await running.load(AIM, [cls.daemon])

    @classmethod
    async def heal(cls) -> None:
        await running.heal()
        await running.settle()

    def test_long_request_is_not_passed_on_whole(self) -> None:
        body = running.runner.run(
            self.read_answer('POST', '/issue', ISSUE_HEADERS, LONG_REQUEST)
        )
        self.assertTrue(body.endswith(LONG_REQUEST), body[:80])

    def test_long_answer_is_not_passed_back_whole(self) -> None:
        for target in running.fleet.targets:
            target.fixed_body = LONG_ANSWER
        body = running.runner.run(
            self.read_answer('GET', '/lookup', LOOKUP_HEADERS, None)
        )
        self.assertEqual(len(body), len(LONG_ANSWER), body[:80])

    def test_work_goes_on_after_its_caller_has_left(self) -> None:
        running.runner.run(self.leave())

    async def read_answer(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        request_body: bytes | None,
    ) -> bytes:
        request_id = running.next_id()
        async with running.session.request(
            method,
            f'{self.daemon.url}{path}/{request_id}',
            headers={**headers, 'Attempt-Id': request_id},
            data=request_body,
        ) as response:
            return await response.read()

    async def leave(self) -> None:
        for target in running.fleet.targets:
            target.faults.service_time = LONG_SERVICE_TIME
        request = asyncio.create_task(
            self.read_answer('POST', '/issue', ISSUE_HEADERS, None)
        )
        await asyncio.sleep(MAX_WORK_AFTER_LEAVING)
        self.assertEqual(self.running_count(), 1)
        request.cancel()
        await asyncio.sleep(MAX_WORK_AFTER_LEAVING)
        self.assertEqual(self.running_count(), 0)

    def running_count(self) -> int:
        """Return how many requests run at the targets without keys."""
        return sum(
            target.work.running
            for target in running.fleet.targets
            if not target.is_keyed
        )


if __name__ == '__main__':
    unittest.main()
