"""Tests of the exchange of limits through the leader, over real links."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet import messages
from cassialever.fleet.following_leader import LeaderLink
from cassialever.fleet.limit_reports import (
    LimitReport,
    make_report,
    read_report,
)
from cassialever.fleet.limits import REPORT_INTERVAL, LimitExchange
from cassialever.fleet.relay import Relay
from cassialever.policy.limits import (
    MAX_REPORT_DELAY,
    TargetLimit,
    TargetLimits,
)
from standins.listening import LOOPBACK, free_ports
from tests.fleet_helpers import configured_view, until

#: The platform lets a daemon go on for this long after it was told.
TIME_TO_KNOW = 0.5


class Daemon:
    """The parts of a daemon that exchange limits."""

    def __init__(self, name: str, address: str) -> None:
        self.view = configured_view(SystemClock())
        hello = messages.Hello(name, 1, address, {})
        self.relay = Relay(self.view, hello)
        self.link = LeaderLink(self.view, hello)
        self.limits = self.view.targets.limits
        self.exchange = LimitExchange(
            self.limits, self.relay, self.link, SystemClock()
        )
        self.tasks: list[asyncio.Task] = []

    @property
    def target(self):
        return self.view.targets.by_id['t0']

    def rate(self) -> float | None:
        return self.limits.rate_of(self.target)

    def read(self, rate: float | None, age: float = 0) -> None:
        """Read an answer to a request that was sent some time ago."""
        now = SystemClock().boot()
        self.limits.record_answer(self.target, rate, now - age, now)


class Fleet:
    """A leader and the daemons that follow it."""

    def __init__(self) -> None:
        self.daemons: list[Daemon] = []
        self.address = f'{LOOPBACK}:{free_ports(1)[0]}'

    async def lead(self) -> Daemon:
        leader = Daemon('edge-0', self.address)
        leader.relay.begin_term()
        await leader.relay.start()
        for work in (leader.relay.send_heartbeats(), leader.exchange.run()):
            leader.tasks.append(asyncio.create_task(work))
        self.daemons.append(leader)
        return leader

    async def follow(self) -> Daemon:
        name = f'edge-{len(self.daemons)}'
        follower = Daemon(name, f'{LOOPBACK}:1')
        for work in (
            follower.link.follow(self.address),
            follower.exchange.run(),
            self.report_keys(follower),
        ):
            follower.tasks.append(asyncio.create_task(work))
        self.daemons.append(follower)
        await until(lambda: follower.link.is_open)
        return follower

    async def report_keys(self, follower: Daemon) -> None:
        """Report as a daemon does, which shows that it lives."""
        while True:
            follower.link.report(messages.KeysAsked({}, {}))
            await asyncio.sleep(0.1)

    async def stop(self, daemon: Daemon) -> None:
        for task in daemon.tasks:
            task.cancel()
        await daemon.relay.stop()


@contextlib.asynccontextmanager
async def fleet() -> AsyncIterator[Fleet]:
    running = Fleet()
    try:
        yield running
    finally:
        for daemon in running.daemons:
            await running.stop(daemon)


class LimitExchangeTest(unittest.IsolatedAsyncioTestCase):
    """What daemons learn of a limit that one of them has read."""

    async def until_all_know(self, running: Fleet, rate: float | None) -> None:
        for daemon in running.daemons:
            await until(
                lambda one=daemon: one.rate() == rate,
                TIME_TO_KNOW,
            )

    async def test_every_daemon_knows_in_time(self) -> None:
        async with fleet() as running:
            leader = await running.lead()
            followers = [await running.follow() for _ in range(4)]
            for reader in (followers[0], leader):
                for rate in (2.4, 30.0):
                    reader.read(rate)
                    await self.until_all_know(running, rate)
                await asyncio.sleep(MAX_REPORT_DELAY)
                reader.read(None)
                await self.until_all_know(running, None)

    async def test_limit_that_ends_at_once_ends_for_all(self) -> None:
        """The way of a report may take longer than the limit was in force."""
        async with fleet() as running:
            await running.lead()
            followers = [await running.follow() for _ in range(2)]
            followers[0].read(2.4)
            await self.until_all_know(running, 2.4)
            followers[0].read(None)
            self.assertIsNone(followers[0].rate())
            await asyncio.sleep(2 * REPORT_INTERVAL)
            self.assertEqual(followers[1].rate(), 2.4)
            # The next requests are answered without a limit too.
            await asyncio.sleep(MAX_REPORT_DELAY)
            followers[0].read(None)
            await self.until_all_know(running, None)

    async def test_daemon_that_starts_is_told(self) -> None:
        async with fleet() as running:
            leader = await running.lead()
            leader.read(2.4)
            # By then nothing is left to be sent to all.
            await asyncio.sleep(3 * REPORT_INTERVAL)
            follower = await running.follow()
            await until(lambda: follower.rate() == 2.4, TIME_TO_KNOW)

    async def test_new_leader_is_told_by_its_followers(self) -> None:
        async with fleet() as running:
            former = await running.lead()
            follower = await running.follow()
            follower.read(2.4)
            await until(lambda: former.rate() == 2.4, TIME_TO_KNOW)
            await running.stop(former)
            for task in follower.tasks:
                task.cancel()
            running.daemons.remove(former)
            leader = await running.lead()
            self.assertIsNone(leader.rate())
            follower.tasks = [
                asyncio.create_task(follower.link.follow(running.address)),
                asyncio.create_task(follower.exchange.run()),
            ]
            await until(lambda: leader.rate() == 2.4, TIME_TO_KNOW)

    async def test_daemon_that_returns_with_an_old_limit_is_corrected(
        self,
    ) -> None:
        async with fleet() as running:
            leader = await running.lead()
            leader.read(2.4)
            follower = await running.follow()
            await until(lambda: follower.rate() == 2.4)
            for task in follower.tasks:
                task.cancel()
            await until(lambda: not leader.relay.follower_by_id)
            await asyncio.sleep(MAX_REPORT_DELAY + TIME_TO_KNOW)
            leader.read(None)
            self.assertIsNone(leader.rate())
            await asyncio.sleep(3 * REPORT_INTERVAL)
            follower.tasks = [
                asyncio.create_task(follower.link.follow(running.address)),
                asyncio.create_task(follower.exchange.run()),
            ]
            await until(lambda: follower.rate() is None, TIME_TO_KNOW)
            self.assertIsNone(leader.rate())

    async def test_change_is_sent_once_to_each_daemon(self) -> None:
        async with fleet() as running:
            leader = await running.lead()
            followers = [await running.follow() for _ in range(3)]
            sent = []
            leader.relay.broadcast = sent.append
            for daemon in followers:
                daemon.read(2.4)
            await asyncio.sleep(4 * REPORT_INTERVAL)
            self.assertEqual(
                len([one for one in sent if isinstance(one, messages.Limits)]),
                1,
            )


class LimitReportTest(unittest.TestCase):
    """Reports between daemons whose clocks differ."""

    def test_report_under_way_does_not_end_a_limit(self) -> None:
        """An end takes up to MAX_REPORT_DELAY to a daemon that reads 2.4."""
        for delay in (0, 0.01, 0.1, 0.29):
            limits = TargetLimits()
            target = configured_view(SystemClock()).targets.by_id['t0']
            limits.record_answer(target, 2.4, 5.0, 5.1)
            limits.record_answer(target, None, 7.0, 7.1)
            report = make_report(limits.of('t0'), 7.1)
            # Two links; the last clock is 893 s ahead, and by it the limit was
            # named again just after the request.
            relayed = make_report(
                read_report(report, 450.1 + delay / 2), 450.1 + delay / 2
            )
            received = read_report(relayed, 900.1 + delay)
            named = TargetLimit('t0', 1000, 2.4, named_at=900.0 + 0.001)
            self.assertTrue(named.merge(received).is_in_force)

    def test_unknown_ages(self) -> None:
        unknown = read_report(LimitReport('t0', 1, 2.4, None, None), 9)
        self.assertFalse(unknown.is_in_force)

    def test_invalid_reports_are_rejected(self) -> None:
        for number in (float('nan'), float('inf'), -5.0, 1e300):
            for fields in (
                (number, 0.0, None),
                (2.4, number, None),
                (2.4, None, number),
            ):
                encoded = msgspec.msgpack.encode(LimitReport('t0', 1, *fields))
                with self.assertRaises(msgspec.DecodeError):
                    msgspec.msgpack.decode(encoded, type=LimitReport)


if __name__ == '__main__':
    unittest.main()
