"""Tests of requests whose owner has ended or does not hold their key.

The sender is replaced by one with targets of its own; the rest of the path is
real.
"""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

from cassialever.fleet.keyindex import KeyIndex
from cassialever.fleet.model import NO_KEY, KeyMap, KeyRange, Target
from cassialever.gateway.crash_guard import CrashGuard
from cassialever.gateway.duplicates import MayDuplicate
from cassialever.gateway.forwarder import Forwarder
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptOutcome,
    TargetRefusal,
    refused,
    withdrawn,
)
from cassialever.gateway.refusals import Refusal
from cassialever.gateway.routing import RoutedRequest
from cassialever.gateway.sender import TargetRequest
from cassialever.gateway.tables_state import TablesState
from cassialever.policy.ended_owners import MAX_AGE
from cassialever.policy.limits import LimitSource, TargetLimit
from cassialever.policy.loads import LoadTracker
from cassialever.policy.refusal import MAX_MOVE_TIME
from cassialever.policy.unheld_keys import MAX_REST, MIN_REST
from cassialever.types import Seconds, TargetId
from tests.fleet_helpers import (
    LoopClock,
    VirtualLoop,
    add_targets,
    configured_view,
    make_settings,
    run_virtually,
)

#: Time to a target's answer, and to the connection before, in seconds.
ANSWER_TIME = 0.002
CONNECT_TIME = 0.001
TIMEOUT = 1.0
OBJECTIVE = 0.5
#: Attempts of the routes in these tests.
ATTEMPTS = 2
KEY = 7
#: Keys of one range by the tables, of which the owner holds the second one.
MOVED_KEY = 700
KEPT_KEY = 100
#: Step between the keys of requests for many keys.
KEY_STEP = 25_763


class OwnerSender:
    """Sends to targets of which some hold no key, or have ended."""

    def __init__(self, clock: LoopClock) -> None:
        self._clock = clock
        self.crashes = CrashGuard('edge-1', clock)
        #: Targets that hold their keys.
        self.holding: set[str] = {'t0', 't1'}
        #: Targets whose address another one has.
        self.ended: set[str] = set()
        self.on_replaced: Callable[[Target], None] = lambda _: None
        #: When each request arrived, with its id and its target.
        self.arrivals: list[tuple[Seconds, str, str]] = []

    async def send(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
        may_duplicate: MayDuplicate,
    ) -> Attempt:
        await asyncio.sleep(CONNECT_TIME)
        reason = request.withdrawal_reason()
        if reason:
            return withdrawn(reason)
        name = target.target_id
        self.arrivals.append((self._clock.now(), request.request_id, name))
        await asyncio.sleep(ANSWER_TIME)
        if name in self.ended:
            self.on_replaced(target)
            return refused('another has the address', TargetRefusal.replaced)
        if name not in self.holding:
            return refused('not held', TargetRefusal.key_not_held)
        answer = Answer(name, 200, [], b'body')
        return Attempt(AttemptOutcome.answered, answer)


class OwnerClock(LoopClock):
    """A clock of virtual time."""

    def now(self) -> Seconds:
        return self.monotonic()


class Daemon:
    """One daemon's request path; `t0` owns all keys."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.clock = OwnerClock(loop)
        self.view = configured_view(self.clock, targets=2)
        self.sender = OwnerSender(self.clock)
        self.sender.on_replaced = self.view.targets.limits.record_replaced
        self.tables = TablesState()
        self.forwarder = Forwarder(
            make_settings('127.0.0.1:9', (1, 2, 3)),
            self.view,
            self.sender,
            LoadTracker(),
            self.clock,
            random.Random(1),
        )
        self.forwarder.daemon_count = 1
        self.forwarder.tables = lambda: self.tables
        self.assign('t0', 1)

    def assign(self, owner: str, fence: int) -> None:
        """Have the tables name an owner of all keys."""
        keys = KeyRange(0, 65535, owner, 1000, fence)
        self.view.keys_by_service['registry'] = KeyIndex(
            KeyMap('registry', (keys,)), fence
        )

    async def serve(
        self, request_id: str = 'a1', key: int = KEY
    ) -> Answer | Refusal:
        """Serve one request for a key."""
        return await self._serve_on(
            'registry.example', '/lookup/1', key, request_id
        )

    async def serve_without_key(self) -> Answer | Refusal:
        """Serve one request for a service without keys."""
        return await self._serve_on('issuance.example', '/issue/1', NO_KEY)

    async def _serve_on(
        self, host: str, path: str, key: int, request_id: str = 'a1'
    ) -> Answer | Refusal:
        route = self.view.routes.find(host, path)
        assert route is not None
        now = self.clock.now()
        routed = RoutedRequest(
            TargetRequest(request_id, 'GET', path, {}, b''),
            route,
            key,
            now,
            now + TIMEOUT,
        )
        return await self.forwarder.serve(routed)

    async def serve_for(
        self, duration: Seconds, rate: float, *, key_step: int = 0
    ) -> list[Answer | Refusal]:
        """Serve requests at a rate, for one key or for keys apart by a step."""
        serving = []
        for number in range(int(duration * rate)):
            key = (KEY + number * key_step) % 65536
            serving.append(
                asyncio.create_task(self.serve(f'r{number}', key)),
            )
            await asyncio.sleep(1 / rate)
        return await asyncio.gather(*serving)


class OwnerCase(unittest.TestCase):
    """One daemon in virtual time."""

    def play(self, scenario: Callable[[Daemon], Awaitable[None]]) -> None:
        async def main(loop: VirtualLoop) -> None:
            await scenario(Daemon(loop))

        run_virtually(main)

    async def serve_after(
        self, daemon: Daemon, delay: Seconds, change: Callable[[], None]
    ) -> tuple[Answer | Refusal, Seconds]:
        """Serve a request during which a change comes; return its time."""
        begun = daemon.clock.now()
        asyncio.get_running_loop().call_later(delay, change)
        answer = await daemon.serve()
        return answer, daemon.clock.now() - begun


class UnheldKeyTest(OwnerCase):
    """An owner by the tables that does not hold the key."""

    def test_request_is_not_sent_to_the_same_owner_again(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            daemon.sender.holding = set()
            begun = daemon.clock.now()
            answer = await daemon.serve()
            assert isinstance(answer, Refusal)
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.sentence, 'the owner does not hold the key')
            self.assertIsNotNone(answer.retry_after)
            self.assertLess(daemon.clock.now() - begun, OBJECTIVE)
            self.assertEqual(len(daemon.sender.arrivals), 1)

        self.play(scenario)

    def test_request_waits_briefly_without_a_leader(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            daemon.tables = TablesState(without_leader=0.5)
            daemon.sender.holding = set()
            begun = daemon.clock.now()
            answer = await daemon.serve()
            assert isinstance(answer, Refusal)
            self.assertEqual(answer.sentence, 'the owner does not hold the key')
            self.assertLess(daemon.clock.now() - begun, 0.12 * OBJECTIVE + 0.02)

        self.play(scenario)

    def test_many_daemons_send_few_requests(self) -> None:
        """The rest bounds what each of them sends for one range."""

        async def main(loop: VirtualLoop) -> None:
            daemons = [Daemon(loop) for _ in range(195)]
            for daemon in daemons:
                daemon.sender.holding = set()
            begun = loop.time()
            await asyncio.gather(*(one.serve_for(2.0, 20) for one in daemons))
            total = sum(len(one.sender.arrivals) for one in daemons)
            print(
                f'{self.id()}: {total} arrivals of {195 * 40} requests'
                f' in {loop.time() - begun:.1f} s'
            )
            self.assertLessEqual(total, 195 * (3 + 2.0 / MAX_REST))

        run_virtually(main)

    def test_many_daemons_send_few_requests_for_many_keys(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            daemons = [Daemon(loop) for _ in range(195)]
            for daemon in daemons:
                daemon.sender.holding = set()
            await asyncio.gather(
                *(one.serve_for(2.0, 20, key_step=KEY_STEP) for one in daemons)
            )
            total = sum(len(one.sender.arrivals) for one in daemons)
            print(f'{self.id()}: {total} arrivals of {195 * 40} requests')
            self.assertLessEqual(total, 195 * (3 + 2.0 / MAX_REST))

        run_virtually(main)

    def test_request_is_sent_once_more_by_newer_tables(self) -> None:
        for owner, fence in (('t1', 2), ('t0', 2)):
            with self.subTest(owner=owner):

                async def scenario(
                    daemon: Daemon, owner: str = owner, fence: int = fence
                ) -> None:
                    daemon.sender.holding = set()

                    def change() -> None:
                        daemon.assign(owner, fence)
                        daemon.sender.holding = {owner}

                    answer, elapsed = await self.serve_after(
                        daemon, 0.05, change
                    )
                    self.assertIsInstance(answer, Answer)
                    self.assertLess(elapsed, 0.1)
                    self.assertEqual(len(daemon.sender.arrivals), 2)

                self.play(scenario)

    def test_owner_that_holds_no_key_gets_few_requests(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            daemon.sender.holding = set()
            begun = daemon.clock.now()
            await daemon.serve_for(4.0, 200)
            times = [at - begun for at, _, _ in daemon.sender.arrivals]
            print(f'{self.id()}: {len(times)} arrivals of 800 requests')
            # Those that were under way at the first refusal, then single ones.
            self.assertLessEqual(len(times), 5 + 4.0 / MAX_REST)
            ids = [name for _, name, _ in daemon.sender.arrivals]
            self.assertEqual(len(ids), len(set(ids)))

        self.play(scenario)

    def test_owner_that_holds_none_of_many_keys_gets_few_requests(
        self,
    ) -> None:
        async def scenario(daemon: Daemon) -> None:
            daemon.sender.holding = set()
            await daemon.serve_for(4.0, 200, key_step=KEY_STEP)
            count = len(daemon.sender.arrivals)
            print(f'{self.id()}: {count} arrivals of 800 requests')
            self.assertLessEqual(count, 5 + 4.0 / MAX_REST)

        self.play(scenario)

    def test_owner_is_used_again_soon_after_it_holds_many_keys(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            daemon.sender.holding = set()
            serving = asyncio.create_task(
                daemon.serve_for(4.0, 200, key_step=KEY_STEP)
            )
            await asyncio.sleep(2.0)
            daemon.sender.holding = {'t0'}
            answers = await serving
            served = sum(isinstance(one, Answer) for one in answers)
            self.assertGreater(served, (2.0 - MAX_REST) * 200)

        self.play(scenario)

    def test_owner_is_used_again_soon_after_it_holds_the_key(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            daemon.sender.holding = set()
            serving = asyncio.create_task(daemon.serve_for(4.0, 200))
            await asyncio.sleep(2.0)
            daemon.sender.holding = {'t0'}
            held_at = daemon.clock.now()
            answers = await serving
            first = min(
                at for at, _, _ in daemon.sender.arrivals if at >= held_at
            )
            self.assertLess(first - held_at, MAX_REST + 0.05)
            served = sum(isinstance(one, Answer) for one in answers)
            self.assertGreater(served, (2.0 - MAX_REST) * 200)

        self.play(scenario)

    def test_requests_that_wait_for_a_connection_are_held_back(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            daemon.sender.holding = set()
            first = asyncio.create_task(daemon.serve('r0'))
            # It is refused while the second one connects.
            await asyncio.sleep(ANSWER_TIME + CONNECT_TIME / 2)
            await daemon.serve('r1')
            await first
            times = [at for at, _, _ in daemon.sender.arrivals]
            self.assertGreaterEqual(times[1] - times[0], MIN_REST)

        self.play(scenario)


class PartSender(OwnerSender):
    """Sends to an owner that has given back a part of its keys."""

    async def send(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
        may_duplicate: MayDuplicate,
    ) -> Attempt:
        self.holding = set()
        if request.request_id.startswith('kept'):
            self.holding = {target.target_id}
        return await super().send(request, target, time_left, may_duplicate)


async def _serve(daemon: Daemon, part: str, number: int) -> Answer | Refusal:
    """Serve a request for a key that the owner has given back, or kept."""
    key = MOVED_KEY if part == 'moved' else KEPT_KEY
    return await daemon._serve_on(
        'registry.example', '/lookup/1', key, f'{part}-{number}'
    )


class PartOfRangePathTest(unittest.TestCase):
    """Requests for keys of one range, of which the owner has kept a part."""

    def test_requests_for_kept_keys_are_served(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            daemon = Daemon(loop)
            sender = PartSender(daemon.clock)
            daemon.forwarder._sender = sender
            daemon.sender = sender
            daemon.tables = TablesState(without_leader=0.5)
            kept = []
            for number in range(400):
                part = 'moved' if number % 5 == 0 else 'kept'
                task = asyncio.create_task(_serve(daemon, part, number))
                if part == 'kept':
                    kept.append(task)
                await asyncio.sleep(0.01)
            answers = await asyncio.gather(*kept)
            served = sum(isinstance(one, Answer) for one in answers)
            self.assertGreater(served, 0.95 * len(kept))

        run_virtually(main)

    def test_refused_request_is_not_sent_to_the_same_grant_again(self) -> None:
        # The owner runs a request for another key of the range meanwhile.
        async def main(loop: VirtualLoop) -> None:
            daemon = Daemon(loop)
            sender = PartSender(daemon.clock)
            daemon.forwarder._sender = sender
            refused = asyncio.create_task(_serve(daemon, 'moved', 0))
            await asyncio.sleep(0.004)
            for number in range(40):
                asyncio.create_task(_serve(daemon, 'kept', number))
                await asyncio.sleep(0.005)
            await refused
            sent = [one for _, one, _ in sender.arrivals if one == 'moved-0']
            self.assertEqual(len(sent), 1)

        run_virtually(main)

    def test_refused_request_is_not_sent_again_once_its_key_is_held(
        self,
    ) -> None:
        async def main(loop: VirtualLoop) -> None:
            daemon = Daemon(loop)
            daemon.sender.holding = set()
            refused = asyncio.create_task(daemon.serve('r0'))
            await asyncio.sleep(MIN_REST)
            daemon.sender.holding = {'t0'}
            self.assertIsInstance(await daemon.serve('r1'), Answer)
            self.assertIsInstance(await refused, Refusal)
            sent = [name for _, name, _ in daemon.sender.arrivals]
            self.assertEqual(sent, ['r0', 'r1'])

        run_virtually(main)


class EndedTargetTest(OwnerCase):
    """Targets without keys whose addresses others have."""

    def test_targets_that_have_ended_are_no_attempts(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            names = [f'i{number}' for number in range(20)]
            add_targets(daemon.view, names, 'issuance')
            daemon.sender.holding.update(names)
            daemon.sender.ended = set(names[:19])
            answer = await daemon.serve_without_key()
            self.assertIsInstance(answer, Answer)
            used = [name for _, _, name in daemon.sender.arrivals]
            self.assertEqual(len(used), len(set(used)))

        self.play(scenario)

    def test_budget_bounds_the_attempts_at_ended_targets(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            names = [f'i{number}' for number in range(400)]
            add_targets(daemon.view, names, 'issuance')
            daemon.sender.ended = set(names)
            answer = await daemon.serve_without_key()
            self.assertIsInstance(answer, Refusal)
            bounds = daemon.forwarder._settings.bounds
            self.assertLessEqual(
                len(daemon.sender.arrivals), bounds.retry_allowance + 1
            )

        self.play(scenario)


class EndedOwnerTest(OwnerCase):
    """An owner whose address another target has."""

    def test_request_waits_for_the_next_owner(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            daemon.sender.ended = {'t0'}
            answer, elapsed = await self.serve_after(
                daemon, 0.3, lambda: daemon.assign('t1', 2)
            )
            self.assertIsInstance(answer, Answer)
            self.assertLess(elapsed, 0.35)
            names = [name for _, _, name in daemon.sender.arrivals]
            self.assertEqual(names, ['t0', 't1'])

        self.play(scenario)

    def test_first_attempt_waits_for_the_next_owner(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            targets = daemon.view.targets
            targets.limits.record_replaced(targets.by_id['t0'])
            answer, _ = await self.serve_after(
                daemon, 0.3, lambda: daemon.assign('t1', 2)
            )
            self.assertIsInstance(answer, Answer)
            names = [name for _, _, name in daemon.sender.arrivals]
            self.assertEqual(names, ['t1'])

        self.play(scenario)

    def test_request_waits_briefly_without_a_leader(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            daemon.tables = TablesState(without_leader=0.5)
            daemon.sender.ended = {'t0'}
            begun = daemon.clock.now()
            answer = await daemon.serve()
            assert isinstance(answer, Refusal)
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.sentence, 'the owner of the key has ended')
            self.assertLess(daemon.clock.now() - begun, 0.12 * OBJECTIVE + 0.02)
            self.assertEqual(len(daemon.sender.arrivals), 1)

        self.play(scenario)

    def test_requests_wait_briefly_for_a_leader_that_moves_no_keys(
        self,
    ) -> None:
        async def scenario(daemon: Daemon) -> None:
            daemon.sender.ended = {'t0'}
            begun = daemon.clock.now()
            times = []
            for number in range(8):
                sent_at = daemon.clock.now()
                answer = await daemon.serve(f'r{number}')
                assert isinstance(answer, Refusal)
                self.assertEqual(
                    answer.sentence, 'the owner of the key has ended'
                )
                times.append((sent_at - begun, daemon.clock.now() - sent_at))
            for sent_after, waited in times:
                time_left = max(MAX_MOVE_TIME - sent_after, 0.12 * OBJECTIVE)
                self.assertLess(waited, min(time_left, OBJECTIVE) + 0.02)
            # The first one may wait as for moving keys.
            self.assertGreater(times[0][1], OBJECTIVE - 0.02)
            self.assertEqual(len(daemon.sender.arrivals), 1)

        self.play(scenario)

    def test_request_waits_for_moving_keys_soon_after_the_end(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            daemon.sender.ended = {'t0'}
            first = asyncio.create_task(daemon.serve('r0'))
            await asyncio.sleep(0.2)
            answer, _ = await self.serve_after(
                daemon, MAX_MOVE_TIME - 0.25, lambda: daemon.assign('t1', 2)
            )
            self.assertIsInstance(answer, Answer)
            await first

        self.play(scenario)

    def test_owners_are_forgotten(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            daemon.sender.ended = {'t0'}
            await daemon.serve('r0')
            owners = daemon.forwarder.selector.ended_owners
            owners.prune(daemon.clock.now() + MAX_AGE)
            self.assertFalse(owners._meeting_by_life)

        self.play(scenario)


class UnrecordedEndTest(OwnerCase):
    """Targets that have ended, while this daemon's limits don't say so."""

    def test_request_is_not_sent_beyond_its_attempts(self) -> None:
        # A limit of another life of the owner is known, so that its end is not.
        async def scenario(daemon: Daemon) -> None:
            daemon.sender.ended = {'t0'}
            daemon.view.targets.limits.merge(
                TargetLimit(TargetId('t0'), 2000, leaving_since=0.0),
                LimitSource('a follower'),
            )
            await daemon.serve()
            self.assertLessEqual(len(daemon.sender.arrivals), ATTEMPTS)

        self.play(scenario)

    def test_request_is_sent_to_an_ended_owner_once(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            daemon.sender.on_replaced = lambda _: None
            daemon.sender.ended = {'t0'}
            answer, _ = await self.serve_after(
                daemon, 0.1, lambda: daemon.assign('t1', 2)
            )
            self.assertIsInstance(answer, Answer)
            names = [name for _, _, name in daemon.sender.arrivals]
            self.assertEqual(names, ['t0', 't1'])

        self.play(scenario)

    def test_request_is_sent_to_each_ended_target_once(self) -> None:
        async def scenario(daemon: Daemon) -> None:
            daemon.sender.on_replaced = lambda _: None
            names = [f'i{number}' for number in range(3)]
            add_targets(daemon.view, names, 'issuance')
            daemon.sender.ended = set(names)
            for target_id in daemon.view.targets.by_id:
                daemon.sender.ended.add(target_id)
            answer = await daemon.serve_without_key()
            self.assertIsInstance(answer, Refusal)
            used = [name for _, _, name in daemon.sender.arrivals]
            self.assertTrue(used)
            self.assertEqual(len(used), len(set(used)))

        self.play(scenario)


if __name__ == '__main__':
    unittest.main()
