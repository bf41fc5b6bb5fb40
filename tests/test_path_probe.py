"""Tests of the probes of paths that failed or fell silent."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import msgspec

from cassialever.events import Event
from cassialever.gateway import path_probe
from cassialever.gateway.path_probe import MAX_PROBES, PathProber
from cassialever.policy.loads import LoadTracker
from cassialever.policy.paths import TargetPaths
from tests.fleet_helpers import (
    LoopClock,
    VirtualLoop,
    configured_view,
    run_virtually,
)

TARGET_COUNT = 20


class Network:
    """Stands in for connections to targets."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        #: How connections fail: None, "reset" or "hang".
        self.fault: str | None = None
        #: Addresses with the fault; all if empty.
        self.faulty: set[str] = set()
        self.probed: list[tuple[float, str]] = []
        self.most_at_once = 0
        self._open = 0

    async def can_connect(self, address: str) -> bool:
        self.probed.append((self.loop.time(), address))
        self._open += 1
        self.most_at_once = max(self.most_at_once, self._open)
        try:
            if self.fault is None or (
                self.faulty and address not in self.faulty
            ):
                await asyncio.sleep(0.002)
                return True
            if self.fault == 'hang':
                await asyncio.sleep(0.3)
            return False
        finally:
            self._open -= 1


class Scene:
    """A daemon with a prober, and requests that it sends."""

    def __init__(self, loop: VirtualLoop, targets: int = TARGET_COUNT) -> None:
        self.clock = LoopClock(loop)
        self.network = Network(loop)
        self.view = configured_view(self.clock, targets=targets)
        self.loads = LoadTracker()
        self.paths = TargetPaths('astana-a', random.Random(1))
        self.prober = PathProber(
            self.paths, self.view.targets, self.loads, self.clock
        )
        self.dropped: list[str] = []
        self.changes = 0
        self.prober.on_down = self.dropped.append
        self.prober.on_change = self.count_change

    def count_change(self) -> None:
        self.changes += 1

    def is_reachable(self, target_id: str) -> bool:
        return self.paths.is_reachable(target_id, self.clock.monotonic())

    def is_cut_off(self) -> bool:
        return self.paths.is_cut_off(self.clock.monotonic())

    def send(self, target_id: str, request_id: str = 'r') -> None:
        """Send a request that gets no answer."""
        self.paths.unanswered.record_sent(
            target_id, request_id, self.clock.monotonic()
        )

    def send_to_all(self) -> None:
        for number in range(TARGET_COUNT):
            self.send(f't{number}')

    async def serve(self, duration: float) -> None:
        """Answer a request of each target every 0.2 s."""
        for _ in range(round(duration / 0.2)):
            self.send_to_all()
            await asyncio.sleep(0.2)
            for number in range(TARGET_COUNT):
                self.paths.record_answer(f't{number}', self.clock.monotonic())
                self.paths.unanswered.record_end(f't{number}', 'r')


class PathProberTest(unittest.TestCase):
    """When paths are probed, and what follows."""

    def run_scene(self, scenario: Callable[[Scene], Awaitable[None]]) -> None:
        async def main(loop: VirtualLoop) -> None:
            scene = Scene(loop)
            scene.prober.can_connect = scene.network.can_connect
            probing = asyncio.ensure_future(scene.prober.run())
            await scenario(scene)
            self.assertFalse(probing.done())

        run_virtually(main)

    def test_nothing_is_probed_on_a_calm_day(self) -> None:
        """Targets answer after 0.2 s each."""

        async def scenario(scene: Scene) -> None:
            await scene.serve(20)
            self.assertEqual(scene.network.probed, [])
            self.assertEqual(scene.changes, 0)

        self.run_scene(scenario)

    def test_hanging_connections_are_noticed_within_a_second(self) -> None:
        """Requests hang; no error comes."""

        async def scenario(scene: Scene) -> None:
            await scene.serve(2)
            scene.network.fault = 'hang'
            scene.send_to_all()
            with mock.patch.object(path_probe, 'record') as record:
                await asyncio.sleep(0.9)
            self.assertTrue(scene.is_cut_off())
            self.assertFalse(scene.is_reachable('t0'))
            self.assertLessEqual(scene.network.most_at_once, MAX_PROBES)
            self.assertGreater(scene.changes, 0)
            self.assertEqual(
                [call.args[0] for call in record.call_args_list],
                [Event.cut_off_from_targets],
            )

        self.run_scene(scenario)

    def test_reset_connections_are_noticed_at_once(self) -> None:
        """Doubts of three targets are enough."""

        async def scenario(scene: Scene) -> None:
            await scene.serve(2)
            scene.network.fault = 'reset'
            for number in range(3):
                scene.paths.direct.record_doubt(
                    f't{number}', scene.clock.monotonic()
                )
            await asyncio.sleep(0.35)
            self.assertTrue(scene.is_cut_off())
            # Connections to all targets are dropped, tried or not.
            self.assertEqual(len(set(scene.dropped)), TARGET_COUNT)

        self.run_scene(scenario)

    def test_a_slow_target_stays_in_use(self) -> None:
        """It is probed about once a second, and the probes succeed."""

        async def scenario(scene: Scene) -> None:
            scene.send('t0')
            await asyncio.sleep(5)
            self.assertTrue(scene.is_reachable('t0'))
            self.assertLessEqual(len(scene.network.probed), 5)
            self.assertGreaterEqual(len(scene.network.probed), 3)
            self.assertEqual(scene.dropped, [])

        self.run_scene(scenario)

    def test_silence_is_relative_to_the_usual_latency(self) -> None:
        """Where answers take 2 s, half a second is no silence."""

        async def scenario(scene: Scene) -> None:
            load = scene.loads.of('t0')
            load.record_success(2.0, 1, scene.clock.monotonic())
            for number in range(4):
                scene.send(f't{number}')
            await asyncio.sleep(0.6)
            self.assertEqual(
                {address for _, address in scene.network.probed},
                {
                    scene.view.targets.by_id[name].address
                    for name in ('t1', 't2', 't3')
                },
            )

        self.run_scene(scenario)

    def test_two_silent_targets_are_taken_for_a_cut(self) -> None:
        """Fewer than three targets show none, however few requests are."""

        async def scenario(scene: Scene) -> None:
            scene.send('t0')
            scene.send('t1')
            await asyncio.sleep(0.9)
            self.assertEqual(scene.network.probed, [])
            await asyncio.sleep(0.3)
            self.assertEqual(len(scene.network.probed), 2)

        self.run_scene(scenario)

    def test_answers_of_other_requests_end_a_silence(self) -> None:
        """One long request among others shows no fault."""

        async def scenario(scene: Scene) -> None:
            scene.send('t0', 'long')
            await scene.serve(3)
            self.assertEqual(scene.network.probed, [])

        self.run_scene(scenario)

    def test_only_the_target_that_crashed_is_dropped(self) -> None:
        """The others answer, so that this daemon is not cut off."""

        async def scenario(scene: Scene) -> None:
            crashed = scene.view.targets.by_id['t3'].address
            scene.network.fault = 'reset'
            scene.network.faulty = {crashed}
            scene.paths.direct.record_doubt('t3', scene.clock.monotonic())
            await scene.serve(4)
            self.assertEqual(scene.dropped, [crashed])
            self.assertFalse(scene.is_reachable('t3'))
            self.assertTrue(scene.is_reachable('t4'))
            self.assertLessEqual(len(scene.network.probed), 6)

        self.run_scene(scenario)

    def test_direct_paths_are_back_soon_after_the_cut(self) -> None:
        """All of them, without flapping."""

        async def scenario(scene: Scene) -> None:
            await scene.serve(1)
            scene.network.fault = 'hang'
            scene.send_to_all()
            await asyncio.sleep(6)
            self.assertTrue(scene.is_cut_off())
            probed_at = [at for at, _ in scene.network.probed]
            now = scene.clock.monotonic()
            in_a_second = sum(at > now - 1 for at in probed_at)
            self.assertLessEqual(in_a_second, MAX_PROBES / 0.3 + 1)
            scene.network.fault = None
            changes = scene.paths.direct.change_count
            with mock.patch.object(path_probe, 'record') as record:
                await asyncio.sleep(1.5)
            for number in range(TARGET_COUNT):
                self.assertTrue(scene.is_reachable(f't{number}'))
            self.assertEqual(
                scene.paths.direct.change_count - changes, TARGET_COUNT
            )
            self.assertEqual(
                [call.args[0] for call in record.call_args_list],
                [Event.targets_reached_again],
            )

        self.run_scene(scenario)

    def test_crashed_targets_are_no_cut_of_a_daemon_without_requests(
        self,
    ) -> None:
        """It probes some of the others before it infers one."""

        async def scenario(scene: Scene) -> None:
            crashed = [f't{number}' for number in range(5)]
            scene.network.fault = 'reset'
            scene.network.faulty = {
                scene.view.targets.by_id[name].address for name in crashed
            }
            for name in crashed:
                scene.paths.direct.record_doubt(name, scene.clock.monotonic())
            for _ in range(40):
                await asyncio.sleep(0.05)
                self.assertFalse(scene.is_cut_off())
            self.assertFalse(scene.is_reachable('t0'))
            self.assertTrue(scene.is_reachable('t9'))

        self.run_scene(scenario)

    def test_targets_that_crash_and_are_met_one_by_one_are_no_cut(self) -> None:
        """No request in between gets an answer."""

        async def scenario(scene: Scene) -> None:
            crashed = [f't{number}' for number in range(5)]
            scene.network.fault = 'reset'
            scene.network.faulty = {
                scene.view.targets.by_id[name].address for name in crashed
            }
            for name in crashed:
                scene.paths.record_failure(name, scene.clock.monotonic())
                for _ in range(8):
                    await asyncio.sleep(0.05)
                    self.assertFalse(scene.is_cut_off())

        self.run_scene(scenario)


class ProbeLoadTest(unittest.TestCase):
    """How many connections probes cost beside requests that are slow."""

    def run_scene(
        self,
        scenario: Callable[[Scene], Awaitable[None]],
        targets: int = TARGET_COUNT,
    ) -> None:
        async def main(loop: VirtualLoop) -> None:
            scene = Scene(loop, targets)
            scene.prober.can_connect = scene.network.can_connect
            probing = asyncio.ensure_future(scene.prober.run())
            await scenario(scene)
            self.assertFalse(probing.done())

        run_virtually(main)

    def test_slow_targets_are_probed_while_others_answer(self) -> None:
        """Half of the targets take 0.8 s for each request."""

        async def scenario(scene: Scene) -> None:
            for _ in range(10):
                for number in range(10):
                    scene.send(f't{number}')
                for _ in range(4):
                    await asyncio.sleep(0.2)
                    scene.paths.record_answer('t15', scene.clock.monotonic())
                for number in range(10):
                    target_id = f't{number}'
                    scene.paths.unanswered.record_end(target_id, 'r')
                    scene.paths.record_answer(
                        target_id, scene.clock.monotonic()
                    )
            # One a second, and eight at once at the beginning.
            self.assertLessEqual(len(scene.network.probed), 16)

        self.run_scene(scenario)

    def test_target_that_hangs_while_others_answer_is_not_noticed(
        self,
    ) -> None:
        """It is noticed within 1.5 s."""

        async def scenario(scene: Scene) -> None:
            hanging = scene.view.targets.by_id['t15'].address
            scene.network.fault = 'hang'
            scene.network.faulty = {hanging}
            scene.send('t15', 'long')
            for _ in range(15):
                await asyncio.sleep(0.1)
                scene.paths.record_answer('t0', scene.clock.monotonic())
            self.assertFalse(scene.is_reachable('t15'))
            self.assertEqual(scene.dropped, [hanging])
            self.assertTrue(scene.is_reachable('t0'))

        self.run_scene(scenario)

    def test_resets_have_a_target_probed_more_than_once_a_second(self) -> None:
        """Each request to a full target ends with a reset."""

        async def scenario(scene: Scene) -> None:
            for _ in range(100):
                scene.paths.direct.record_doubt('t0', scene.clock.monotonic())
                await asyncio.sleep(0.1)
            self.assertLessEqual(len(scene.network.probed), 11)
            self.assertGreaterEqual(len(scene.network.probed), 5)

        self.run_scene(scenario)

    def test_probes_of_many_targets_are_not_bounded(self) -> None:
        """190 targets reset connections all the time."""

        async def scenario(scene: Scene) -> None:
            for _ in range(40):
                for number in range(190):
                    scene.paths.direct.record_doubt(
                        f't{number}', scene.clock.monotonic()
                    )
                await asyncio.sleep(0.25)
            # One a second, and eight at once at the beginning.
            self.assertLessEqual(len(scene.network.probed), 18)
            # Each gets its turn.
            addresses = {address for _, address in scene.network.probed}
            self.assertEqual(len(addresses), len(scene.network.probed))

        self.run_scene(scenario, targets=190)

    def test_silent_targets_that_accept_are_probed_by_hundreds(self) -> None:
        """All targets are slow at the same time, and can be reached."""

        async def scenario(scene: Scene) -> None:
            for number in range(190):
                scene.send(f't{number}')
            await asyncio.sleep(10)
            # Those that would show a cut are some of these.
            self.assertLessEqual(len(scene.network.probed), 18)
            self.assertEqual(scene.dropped, [])

        self.run_scene(scenario, targets=190)

    def test_cut_data_centre_is_noticed_as_late_as_one_target(self) -> None:
        """Requests to it hang, while the other data centre answers."""

        async def scenario(scene: Scene) -> None:
            by_id = scene.view.targets.by_id
            cut = [f't{number}' for number in range(10)]
            for target_id in cut:
                by_id[target_id] = msgspec.structs.replace(
                    by_id[target_id], data_centre='karaganda-c'
                )
            scene.network.fault = 'hang'
            scene.network.faulty = {by_id[name].address for name in cut}
            for target_id in cut:
                scene.send(target_id)
            for _ in range(9):
                await asyncio.sleep(0.1)
                scene.paths.record_answer('t15', scene.clock.monotonic())
            noticed = [name for name in cut if not scene.is_reachable(name)]
            self.assertGreaterEqual(len(noticed), 6)
            self.assertTrue(scene.is_reachable('t15'))
            self.assertFalse(scene.is_cut_off())

        self.run_scene(scenario)
