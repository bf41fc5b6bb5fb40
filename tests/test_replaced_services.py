"""Tests of all owners of a service being replaced at once, in a fleet.

How many requests reach the addresses, and how many reports the leader gets.
"""

import asyncio
import random
import unittest
from typing import Any

from cassialever.fleet.keyindex import KeyIndex
from cassialever.fleet.limits import LINK_CHECK_INTERVAL, LimitExchange
from cassialever.fleet.model import KEY_COUNT, KeyMap, KeyRange, Target
from cassialever.gateway.crash_guard import CrashGuard
from cassialever.gateway.duplicates import MayDuplicate
from cassialever.gateway.forwarder import Forwarder
from cassialever.gateway.outcomes import Attempt, TargetRefusal, refused
from cassialever.gateway.routing import RoutedRequest
from cassialever.gateway.sender import TargetRequest
from cassialever.policy.loads import LoadTracker
from cassialever.types import Seconds
from tests.fleet_helpers import (
    LoopClock,
    VirtualLoop,
    deployment,
    make_settings,
    run_virtually,
)
from tests.fleet_rig import TARGETS, Rig, RigDaemon, run_scenario
from tests.gateway_helpers import wait_for_keys
from tests.test_replaced_targets import arrivals, replace, send_to_keys

#: Requests a second to the service at each daemon, and for how long.
RATE = 20
DURATION = 1.5
#: Time to a target's answer, in seconds.
ANSWER_TIME = 0.005
#: Time within which every daemon knows what one of them was told, in seconds.
TIME_TO_KNOW = 0.5
TIMEOUT = 1.0


class EndedTargets:
    """The addresses of targets that have ended; all calls get there."""

    def __init__(self) -> None:
        #: When each request arrived, and by which daemon for which target.
        self.arrivals: list[tuple[Seconds, str, str]] = []


class EndedSender:
    """One daemon's sender, to the addresses of targets that have ended."""

    def __init__(self, daemon: RigDaemon, ended: EndedTargets) -> None:
        self._daemon = daemon
        self._ended = ended
        self.crashes = CrashGuard(daemon.machine.name, LoopClock(_loop(daemon)))

    async def send(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
        may_duplicate: MayDuplicate,
    ) -> Attempt:
        now = _loop(self._daemon).time()
        name = self._daemon.machine.name
        self._ended.arrivals.append((now, name, target.target_id))
        await asyncio.sleep(ANSWER_TIME)
        self._daemon.view.targets.limits.record_replaced(target)
        return refused('another has the address', TargetRefusal.replaced)


class Serving:
    """One daemon's request path and its exchange of what targets say."""

    def __init__(
        self, rig: Rig, daemon: RigDaemon, ended: EndedTargets
    ) -> None:
        self.daemon = daemon
        clock = LoopClock(rig.loop)
        self._exchange = LimitExchange(
            daemon.view.targets.limits, daemon.relay, daemon.link, clock
        )
        daemon.spawn(self._exchange.run())
        self.forwarder = Forwarder(
            make_settings('127.0.0.1:9', (1, 2, 3)),
            daemon.view,
            EndedSender(daemon, ended),  # type: ignore[arg-type]
            LoadTracker(),
            clock,
            random.Random(rig.random.random()),
        )
        self.forwarder.daemon_count = len(rig.daemons)
        daemon.view.keys_by_service['registry'] = KeyIndex(_spread_keys())

    async def serve_for(self, duration: Seconds, rate: float) -> list[Any]:
        """Serve requests for random keys at random times."""
        drawing = random.Random(self.daemon.machine.name)
        view = self.daemon.view
        serving = []
        loop = _loop(self.daemon)
        ends_at = loop.time() + duration
        await asyncio.sleep(drawing.expovariate(rate))
        while loop.time() < ends_at:
            route = view.configuration.routes[0]
            now = loop.time()
            routed = RoutedRequest(
                TargetRequest(f'r{len(serving)}', 'GET', '/lookup/1', {}, b''),
                route,
                drawing.randrange(KEY_COUNT),
                now,
                now + TIMEOUT,
            )
            serving.append(asyncio.ensure_future(self.forwarder.serve(routed)))
            await asyncio.sleep(drawing.expovariate(rate))
        return await asyncio.gather(*serving)


class SocketTest(unittest.IsolatedAsyncioTestCase):
    """Nine daemons over sockets."""

    async def test_each_address_gets_one_request_of_a_daemon_at_most(
        self,
    ) -> None:
        owners = 3
        async with deployment(keyed=owners, gateways=9) as system:
            for gateway in system.gateways:
                await wait_for_keys(gateway)
            for number, target in enumerate(system.targets[:owners]):
                replace(target, f'x{number}', is_keyed=False)
            await asyncio.gather(
                *(
                    send_to_keys([one], f'r{number}', range(0, 65536, 2048))
                    for number, one in enumerate(system.gateways)
                )
            )
            total = sum(
                sum(arrivals(target).values())
                for target in system.targets[:owners]
            )
            print(f'{self.id()}: {total} arrivals of {9 * 32} requests')
            self.assertLessEqual(total, 9 * owners)
            self.assertGreaterEqual(total, owners)


class ManyDaemonsTest(unittest.TestCase):
    """Daemons on machines of unequal links, in virtual time."""

    def test_nine_daemons(self) -> None:
        self.play(9)

    def test_two_hundred_daemons(self) -> None:
        self.play(195)

    def play(self, daemons: int) -> None:
        async def main(loop: VirtualLoop) -> None:
            await run_scenario(loop, 1, self._replace_all, daemons)

        run_virtually(main)

    async def _replace_all(self, rig: Rig) -> None:
        ended = EndedTargets()
        serving = [Serving(rig, one, ended) for one in rig.daemons]
        # Each daemon reports all that it knows over a new link.
        await asyncio.sleep(2 * LINK_CHECK_INTERVAL)
        reports = _count_reports(rig.leader())
        begun = rig.loop.time()
        answers = await asyncio.gather(
            *(one.serve_for(DURATION, RATE) for one in serving)
        )
        requests = sum(map(len, answers))
        total = len(ended.arrivals)
        last = max(at for at, _, _ in ended.arrivals) - begun
        by_pair = {(name, target) for _, name, target in ended.arrivals}
        print(
            f'{self.id()}: {requests} requests, {total} arrivals at {TARGETS}'
            f' addresses, the last after {last:.2f} s; {len(reports)} messages'
            f' with {sum(reports)} reports to the leader'
        )
        # A few requests of a daemon may be under way to one address.
        self.assertLessEqual(total, 1.1 * len(by_pair))
        self.assertLessEqual(last, TIME_TO_KNOW + _time_to_try(rig))
        self.assertLessEqual(sum(reports), total)


def _loop(daemon: RigDaemon) -> VirtualLoop:
    return daemon.machine.loop


def _time_to_try(rig: Rig) -> Seconds:
    """Return the time until each address has been tried by some daemon."""
    return 10 * TARGETS / (RATE * len(rig.daemons))


def _spread_keys() -> KeyMap:
    """Divide all keys among the targets."""
    width = KEY_COUNT // TARGETS + 1
    ranges = tuple(
        KeyRange(
            first,
            min(first + width, KEY_COUNT) - 1,
            f't{number}',
            1000,
            1,
        )
        for number, first in enumerate(range(0, KEY_COUNT, width))
    )
    return KeyMap('registry', ranges)


def _count_reports(leader: RigDaemon) -> list[int]:
    """Return a list that gets the length of each message to the leader."""
    lengths: list[int] = []
    handle = leader.relay.on_limits

    def count(reports: list[Any]) -> None:
        lengths.append(len(reports))
        handle(reports)

    leader.relay.on_limits = count
    return lengths


if __name__ == '__main__':
    unittest.main()
