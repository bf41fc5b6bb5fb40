"""Requests that crash targets, at whole fleets in virtual time."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import msgspec

from cassialever.errors import ErrorKind
from cassialever.fleet.datagrams import OpenRequests, encode
from cassialever.fleet.model import RequestKind, StartedAt, StoreRow, Target
from cassialever.fleet.view import FleetView
from cassialever.gateway.crash_evidence import CrashEvidence
from cassialever.gateway.crash_exchange import CrashExchange
from cassialever.gateway.crash_guard import CrashGuard, fingerprint
from cassialever.gateway.duplicates import MayDuplicate, never
from cassialever.gateway.forwarder import Forwarder
from cassialever.gateway.outcomes import Attempt, not_run, unknown
from cassialever.gateway.refusals import Refusal
from cassialever.gateway.routing import RoutedRequest
from cassialever.gateway.sender import TargetRequest
from cassialever.policy.crashes import (
    QUARANTINE_CRASHES,
    RETENTION,
    CrashMemory,
    Fingerprint,
    Suspicion,
    TargetLife,
)
from cassialever.types import Seconds, TargetId
from tests.fleet_helpers import (
    VirtualLoop,
    json_row,
    run_virtually,
    target_entry,
)
from tests.replay_helpers import (
    HOST,
    SETTINGS,
    SimSender,
    SimTarget,
    Simulation,
    most_in_span,
)

FATAL_PATH = '/issue/fatal'
#: How long a target runs the request that crashes it, and until it is back.
RUN_TIME: Seconds = 0.05
DOWN_TIME: Seconds = 3.0
#: Time after which the entry of a target that has ended is removed.
ENTRY_TIME: Seconds = 2.0
#: Time after which each daemon in touch knows of a third crash.
STABLE_TIME: Seconds = 3.0
#: Sends that may follow then, by all daemons together.
MAX_LATER_SENDS = 3
PRUNE_INTERVAL: Seconds = 0.25


class CrashTarget(SimTarget):
    """A target that a path crashes."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.has_ended = asyncio.Event()


class CrashSender(SimSender):
    """Sends to targets that end while requests are at work there."""

    async def send(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
        may_duplicate: MayDuplicate = never,
    ) -> Attempt:
        sent_at = self.simulation.clock.monotonic()
        attempt = await super().send(request, target, time_left)
        if attempt.answer is not None:
            self.crashes.record_answered(
                request, target, attempt.outcome, sent_at
            )
        return attempt

    async def _exchange(
        self, request: TargetRequest, target: Target, time_left: Seconds
    ) -> Attempt:
        simulation = self.simulation
        assert isinstance(simulation, CrashSimulation)
        simulation.note_send(request)
        sim = simulation.targets.get(target.target_id)
        if sim is None or sim.has_ended.is_set():
            return not_run('refused', ErrorKind.target_unreachable)
        if request.raw_path == FATAL_PATH:
            simulation.arrivals.append(simulation.loop.time())
            simulation.loop.call_later(RUN_TIME, simulation.crash, sim)
            await sim.has_ended.wait()
            await self.on_broken(request, target)
            return unknown('broken')
        run = asyncio.ensure_future(
            super()._exchange(request, target, time_left)
        )
        end = asyncio.ensure_future(sim.has_ended.wait())
        await asyncio.wait((run, end), return_when='FIRST_COMPLETED')
        end.cancel()
        if run.done():
            return run.result()
        run.cancel()
        await self.on_broken(request, target)
        return unknown('broken')


class CrashSimulation(Simulation):
    """Daemons that exchange what they know of crashes, and their targets."""

    targets: dict[str, CrashTarget]

    def __init__(self, loop: VirtualLoop, targets: int, daemons: int) -> None:
        self.guards: list[CrashGuard] = []
        self.evidence: list[CrashEvidence] = []
        #: When a request that crashes its target began to run.
        self.arrivals: list[Seconds] = []
        self.crashed_at: list[Seconds] = []
        #: The requests that were sent, and when one was sent once more.
        self.sent: set[tuple[str, str]] = set()
        self.repeated_at: list[Seconds] = []
        self.work: list[asyncio.Task[None]] = []
        super().__init__(loop, targets, daemons)
        self.targets = {name: CrashTarget(name) for name in self.targets}
        self.address_by_name = {
            name: f'10.1.64.{number}:8707'
            for number, name in enumerate(self.targets)
        }
        self.route = msgspec.structs.replace(
            self.route, kind=RequestKind.safe, attempts=3
        )
        self.work.append(loop.create_task(self._prune()))

    def introduce(self) -> None:
        """Have all daemons hear of the others' versions."""
        for address in self.addresses.values():
            for receiver in self.sockets.values():
                host, port = address.split(':')
                receiver.datagram_received(
                    encode(OpenRequests('edge', {})), (host, int(port))
                )

    def crash(self, target: CrashTarget) -> None:
        """End a target, unless it has ended already."""
        if target.has_ended.is_set():
            return
        self.crashed_at.append(self.loop.time())
        target.has_ended.set()
        self.loop.call_later(ENTRY_TIME, self._put, target.name, None)
        self.loop.call_later(DOWN_TIME, self._return, target.name)

    def busiest(self) -> CrashTarget:
        """Return the target at which most requests are at work."""
        running = [
            one for one in self.targets.values() if not one.has_ended.is_set()
        ]
        return max(running, key=lambda one: one.running)

    async def call(self, path: str, number: int) -> Refusal | int:
        """Send a request to a daemon drawn at random; return the answer."""
        forwarder = self.rng.choice(self.forwarders)
        now = self.loop.time()
        routed = RoutedRequest(
            TargetRequest(f'a{number}', 'GET', path, {'Host': HOST}, b''),
            self.route,
            -1,
            now,
            now + self.route.time_limit,
        )
        answer = await forwarder.serve(routed)
        return answer if isinstance(answer, Refusal) else answer.status

    async def call_for(
        self, path: str, interval: Seconds, duration: Seconds
    ) -> list[Refusal | int]:
        """Send a path at intervals; return the answers."""
        calls = []
        for number in range(round(duration / interval)):
            one_path = path.replace('{number}', str(number))
            calls.append(self.loop.create_task(self.call(one_path, number)))
            await asyncio.sleep(interval)
        return await asyncio.gather(*calls)

    def note_send(self, request: TargetRequest) -> None:
        """Note an attempt, and whether it is the first of its request."""
        is_repeat = (request.request_id, request.raw_path) in self.sent
        self.sent.add((request.request_id, request.raw_path))
        if is_repeat:
            self.repeated_at.append(self.loop.time())

    def repeats_in(self, span: Seconds) -> int:
        """Return the most attempts beyond the first in any span."""
        return most_in_span(self.repeated_at, span)

    def later_sends(self) -> int:
        """Count the sends later than STABLE_TIME after the third crash."""
        since = self.crashed_at[QUARANTINE_CRASHES - 1] + STABLE_TIME
        return sum(at > since for at in self.arrivals)

    def stop(self) -> None:
        for task in self.work:
            task.cancel()

    def _forwarder(
        self, number: int, daemons: int, known: FleetView | None = None
    ) -> Forwarder:
        forwarder = super()._forwarder(number, daemons, known)
        view = forwarder._view
        name = f'edge-{number}'
        sender = CrashSender(self, forwarder._loads, view.targets.limits)
        forwarder._sender = sender
        guard = CrashGuard(name, self.clock)
        sender.crashes = guard
        evidence = CrashEvidence(guard, view, self.clock, bool)
        evidence.is_refused = self._is_refused
        sender.on_broken = evidence.record_broken
        exchange = CrashExchange(
            name,
            guard,
            self.sockets[self.addresses[name]],
            self.clock,
            lambda: self.addresses,
            self.rng,
        )
        self.work.append(self.loop.create_task(exchange.run()))
        self.guards.append(guard)
        self.evidence.append(evidence)
        return forwarder

    async def _is_refused(self, address: str) -> bool:
        await asyncio.sleep(0.001)
        running = {
            self.address_by_name[one.name]
            for one in self.targets.values()
            if not one.has_ended.is_set()
        }
        return address not in running

    async def _prune(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_INTERVAL)
            for evidence in self.evidence:
                evidence.check_entries()
            for guard in self.guards:
                guard.prune()

    def _return(self, name: str) -> None:
        """Start a target at the address of one that has ended."""
        address = self.address_by_name[name]
        self.targets.pop(name)
        head, _, life = name.partition('+')
        name = f'{head}+{int(life or 0) + 1}'
        self.targets[name] = CrashTarget(name)
        self.address_by_name[name] = address
        born = round(self.loop.time() * 1000)
        self._put(name, target_entry('issuance', address=address, born=born))

    def _put(self, name: str, entry: dict[str, object] | None) -> None:
        for forwarder in self.forwarders:
            view = forwarder._view
            version = view.rows.version_by_table['servers'] + 1
            row = StoreRow('servers', name, None, version)
            if entry is not None:
                row = json_row('servers', name, entry, version)
            view.apply('servers', [row], version)


FATAL = TargetRequest('a', 'GET', FATAL_PATH, {'Host': HOST}, b'')
TARGETS = 8


class CrashReplayTest(unittest.TestCase):
    """A request that crashes each target, at fleets of several sizes."""

    def play(
        self,
        daemons: int,
        loss: float,
        scenario: Callable[[CrashSimulation], Awaitable[None]],
    ) -> CrashSimulation:
        """Play a scenario beside a share of lost datagrams."""
        played = []

        async def main(loop: VirtualLoop) -> None:
            simulation = CrashSimulation(loop, TARGETS, daemons)
            simulation.introduce()
            simulation.is_lost = lambda: simulation.rng.random() < loss
            await scenario(simulation)
            simulation.stop()
            played.append(simulation)

        run_virtually(main)
        return played[0]

    def check_later_sends(self, daemons: int, loss: float) -> None:
        """Play 12 s in which two callers send it again every 0.3 s."""
        answers: list[Refusal | int] = []

        async def scenario(simulation: CrashSimulation) -> None:
            sound, *_ = await asyncio.gather(
                simulation.call_for('/issue/{number}', 0.02, 12),
                simulation.call_for(FATAL_PATH, 0.3, 12),
                simulation.call_for(FATAL_PATH, 0.3, 12),
            )
            answers.extend(sound)

        simulation = self.play(daemons, loss, scenario)
        self.assertGreaterEqual(len(simulation.crashed_at), QUARANTINE_CRASHES)
        self.assertLessEqual(simulation.later_sends(), MAX_LATER_SENDS)
        self.assertLessEqual(len(simulation.arrivals), 2 * QUARANTINE_CRASHES)
        served = answers.count(200)
        self.assertGreater(served / len(answers), 0.9)

    def test_few_sends_follow_the_third_crash(self) -> None:
        for daemons, loss in ((1, 0), (10, 0), (10, 0.3), (60, 0), (60, 0.3)):
            with self.subTest(daemons=daemons, loss=loss):
                self.check_later_sends(daemons, loss)

    def check_spread(
        self, daemons: int, loss: float, witnesses: int, bystanders: int = 0
    ) -> None:
        """Some daemons see three crashes; measure when all know of them."""
        times = []

        async def scenario(simulation: CrashSimulation) -> None:
            one = fingerprint(FATAL)
            names = list(simulation.targets)[:QUARANTINE_CRASHES]
            for number, name in enumerate(names):
                life = TargetLife(StartedAt(1000), TargetId(name))
                seen_by = simulation.guards[number % witnesses]
                for other in range(bystanders):
                    seen_by.record_crash(
                        Fingerprint(100 * number + other), life, 'a test'
                    )
                now = simulation.loop.time()
                seen_by.pending.add(one, life, now, was_alone=number > 0)
                seen_by.record_crash(one, life, 'a test')
            start = simulation.loop.time()
            while any(
                guard.memory.suspicion_of(one) is not Suspicion.quarantined
                for guard in simulation.guards
            ):
                await asyncio.sleep(0.01)
                assert simulation.loop.time() < start + 2 * STABLE_TIME
            times.append(simulation.loop.time() - start)

        self.play(daemons, loss, scenario)
        self.assertLess(times[0], STABLE_TIME)

    def test_all_daemons_know_in_time(self) -> None:
        for daemons in (10, 60, 195):
            for loss in (0, 0.3, 0.5):
                with self.subTest(daemons=daemons, loss=loss):
                    self.check_spread(daemons, loss, witnesses=1)

    def test_all_daemons_know_of_crashes_that_several_saw(self) -> None:
        for daemons in (10, 60):
            for bystanders in (0, 50):
                with self.subTest(daemons=daemons, bystanders=bystanders):
                    self.check_spread(daemons, 0.3, 3, bystanders)

    def test_daemon_that_starts_is_told(self) -> None:
        """It would send a request that is quarantined everywhere else."""
        told = []

        async def scenario(simulation: CrashSimulation) -> None:
            await simulation.call_for(FATAL_PATH, 0.3, 3)
            # News is not repeated any more.
            await asyncio.sleep(5)
            simulation.guards[0].memory = CrashMemory()
            await asyncio.sleep(STABLE_TIME)
            told.append(simulation.guards[0].is_quarantined(FATAL))

        self.play(10, 0.3, scenario)
        self.assertEqual(told, [True])

    def test_quarantined_request_is_refused_at_once(self) -> None:
        """The answer says that it has not run, and when to retry."""
        answers: list[Refusal | int] = []

        async def scenario(simulation: CrashSimulation) -> None:
            await simulation.call_for(FATAL_PATH, 0.3, 3)
            asked_at = simulation.loop.time()
            answers.append(await simulation.call(FATAL_PATH, 99))
            assert simulation.loop.time() == asked_at

        self.play(10, 0, scenario)
        refusal = answers[0]
        assert isinstance(refusal, Refusal)
        self.assertEqual(
            (refusal.status, refusal.retry_after, refusal.cause),
            (503, RETENTION, 'quarantined'),
        )

    def test_suspect_is_sent_alone(self) -> None:
        """Ten callers sent it to three targets at once after a crash."""

        async def scenario(simulation: CrashSimulation) -> None:
            await simulation.call(FATAL_PATH, 0)
            # The others have to hear of it first.
            await asyncio.sleep(0.05)
            await asyncio.gather(
                *(simulation.call(FATAL_PATH, one) for one in range(10))
            )

        simulation = self.play(10, 0, scenario)
        self.assertEqual(most_in_span(simulation.arrivals, RUN_TIME), 1)
        self.assertIn(len(simulation.crashed_at), (2, QUARANTINE_CRASHES))

    def test_bystanders_are_served_when_they_come_again(self) -> None:
        """Requests that were at work at a crash, each of its own content."""
        statuses: list[Refusal | int] = []

        async def scenario(simulation: CrashSimulation) -> None:
            paths = [f'/issue/{number}' for number in range(20)]
            calls = [simulation.call(path, 0) for path in paths]
            first = asyncio.gather(*calls)
            await asyncio.sleep(0.02)
            for target in list(simulation.targets.values())[:2]:
                simulation.crash(target)
            failed = [
                path
                for path, answer in zip(paths, await first)
                if answer != 200
            ]
            assert failed
            again = [simulation.call(path, 1) for path in failed]
            statuses.extend(await asyncio.gather(*again))
            for guard in simulation.guards:
                assert guard.quarantined_count() == 0

        self.play(10, 0, scenario)
        self.assertEqual(set(statuses), {200})

    def test_popular_request_is_served_beside_crashes(self) -> None:
        """One content that many ask for is at work wherever a target ends."""
        answers: list[Refusal | int] = []

        async def scenario(simulation: CrashSimulation) -> None:
            popular = asyncio.ensure_future(
                simulation.call_for('/issue/popular', 0.01, 12)
            )
            for _ in range(10):
                await asyncio.sleep(1)
                simulation.crash(simulation.busiest())
            answers.extend(await popular)

        simulation = self.play(10, 0, scenario)
        self.assertGreaterEqual(len(simulation.crashed_at), 9)
        self.assertGreater(answers.count(200) / len(answers), 0.9)
        popular = msgspec.structs.replace(FATAL, raw_path='/issue/popular')
        for guard in simulation.guards:
            self.assertFalse(guard.is_quarantined(popular))

    def test_popular_request_is_served_after_many_targets_end(self) -> None:
        """One content was at work at all targets of a data centre."""
        answers: list[Refusal | int] = []

        async def scenario(simulation: CrashSimulation) -> None:
            calls = [simulation.call('/issue/popular', n) for n in range(40)]
            first = asyncio.gather(*calls)
            await asyncio.sleep(0.02)
            for target in list(simulation.targets.values()):
                simulation.crash(target)
            assert 200 not in await first
            await asyncio.sleep(DOWN_TIME + 0.5)
            answers.append(await simulation.call('/issue/popular', 99))
            answers.append(await simulation.call('/issue/popular', 100))

        self.play(10, 0, scenario)
        self.assertEqual(answers, [200, 200])

    def test_retries_stay_within_the_budget(self) -> None:
        """A full target ends each second, with all that is at work there."""
        answers: list[Refusal | int] = []

        async def scenario(simulation: CrashSimulation) -> None:
            sound = asyncio.ensure_future(
                simulation.call_for('/issue/{number}', 0.01, 20)
            )
            for _ in range(18):
                await asyncio.sleep(1)
                simulation.crash(simulation.busiest())
            answers.extend(await sound)

        simulation = self.play(10, 0, scenario)
        bounds = SETTINGS.bounds
        sends = simulation.repeats_in(bounds.retry_window_s)
        requests = bounds.retry_window_s / 0.01
        allowed = bounds.retry_ratio * requests + bounds.retry_allowance
        self.assertLessEqual(sends, allowed)
        self.assertGreater(answers.count(200) / len(answers), 0.9)


if __name__ == '__main__':
    unittest.main()
