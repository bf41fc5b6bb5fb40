"""Tests of the lines that tell that no key of a service is served, and why."""

import asyncio
import unittest

import aiohttp

from cassialever.application import Application
from cassialever.errors import ErrorKind
from cassialever.fleet.keyindex import KeyIndex
from cassialever.fleet.model import KeyMap, KeyRange
from cassialever.gateway.application import Gateway
from cassialever.gateway.keyed_requests import KeyedRequests
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptOutcome,
    TargetRefusal,
    not_run,
    refused,
    unknown,
    withdrawn,
)
from cassialever.gateway.refusals import Refusal, attempts_failed, stopping
from cassialever.gateway.tables_state import TablesState
from cassialever.policy.placing import NoTargetReason
from cassialever.policy.unserved_keys import MIN_FAILURES
from tests.fleet_helpers import ManualClock, configured_view, deployment
from tests.gateway_helpers import (
    LOOKUP_HEADERS,
    send_request,
    wait_for_keys,
)
from tests.hop_helpers import LoggedEvents
from tests.test_telemetry import example_settings

NAMES = ('keys_unserved', 'keys_unserved_changed', 'keys_served_again')
SERVED = Answer('t0', 200, [], b'')
REPLACED = refused('x9 has the address', TargetRefusal.replaced, 'x9')
NOT_HELD = refused('not held', TargetRefusal.key_not_held)
SHED = refused('shed', TargetRefusal.shed)
UNREACHED = not_run('no connection', ErrorKind.target_unreachable)


def no_target(reason: NoTargetReason) -> Refusal:
    return Refusal(503, reason.value, 0.4, reason.name)


class Play:
    """Requests for keys of one service, whose ends are noted."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.view = configured_view(self.clock)
        self.without_leader = 0.0
        self.requests = KeyedRequests(
            self.view,
            self.clock,
            lambda: TablesState(without_leader=self.without_leader),
        )
        self.logged = LoggedEvents()

    def note(
        self,
        answer: Answer | Refusal,
        *attempts: Attempt,
        count: int = 2 * MIN_FAILURES,
        service: str = 'registry',
    ) -> list[tuple[str, str]]:
        """Note ends, 0.1 s apart; return the lines as event and cause."""
        with self.logged:
            for key in range(count):
                self.clock.now += 0.1
                self.requests.note(service, key, answer, attempts)
        return self.lines()

    def fail(self, *attempts: Attempt) -> list[tuple[str, str]]:
        """Note requests whose last attempt was not retried."""
        return self.note(attempts_failed(attempts[-1].reason), *attempts)

    def lines(self) -> list[tuple[str, str]]:
        return [
            (name, str(fields['cause']))
            for name in NAMES
            for fields in self.logged.fields(name)
        ]


class CauseTest(unittest.TestCase):
    """The cause that is logged, by how requests ended."""

    def test_causes_of_refusals(self) -> None:
        for reason, cause in (
            (NoTargetReason.no_service, 'no_target'),
            (NoTargetReason.no_owner, 'owners_unknown'),
            (NoTargetReason.owner_ended, 'replaced'),
            (NoTargetReason.key_not_held, 'key_not_held'),
            (NoTargetReason.unreachable, 'unreachable'),
        ):
            with self.subTest(reason=reason):
                lines = Play().note(no_target(reason))
                self.assertEqual(lines, [('keys_unserved', cause)])

    def test_keys_without_an_owner_in_a_known_map(self) -> None:
        for reason in (NoTargetReason.no_owner, NoTargetReason.moving):
            with self.subTest(reason=reason):
                play = Play()
                play.view.keys_by_service['registry'] = KeyIndex(
                    KeyMap('registry', ())
                )
                lines = play.note(no_target(reason))
                self.assertEqual(lines, [('keys_unserved', 'no_owner')])

    def test_causes_of_attempts(self) -> None:
        for attempts, cause in (
            ((REPLACED,), 'replaced'),
            ((NOT_HELD, REPLACED), 'replaced'),
            ((REPLACED, NOT_HELD), 'key_not_held'),
            ((UNREACHED,), 'unreachable'),
            ((unknown('late', ErrorKind.deadline_passed),), 'unanswered'),
        ):
            with self.subTest(cause=cause):
                lines = Play().fail(*attempts)
                self.assertEqual(lines, [('keys_unserved', cause)])

    def test_owner_that_refused_is_the_cause_if_there_is_no_other(self) -> None:
        play = Play()
        lines = play.note(no_target(NoTargetReason.no_owner), REPLACED)
        self.assertEqual(lines, [('keys_unserved', 'replaced')])

    def test_keys_without_grants_are_due_to_a_missing_leader(self) -> None:
        for answer, attempts, cause in (
            (attempts_failed(''), [NOT_HELD], 'no_leader'),
            (no_target(NoTargetReason.no_owner), [], 'no_leader'),
            (attempts_failed(''), [REPLACED], 'replaced'),
            (no_target(NoTargetReason.unreachable), [], 'unreachable'),
        ):
            with self.subTest(answer=answer, attempts=attempts):
                play = Play()
                play.without_leader = 3.0
                lines = play.note(answer, *attempts)
                self.assertEqual(lines, [('keys_unserved', cause)])

    def test_overload_is_none(self) -> None:
        for answer, attempts in (
            (attempts_failed('shed'), [SHED]),
            (no_target(NoTargetReason.full), []),
            (no_target(NoTargetReason.limited), []),
            (no_target(NoTargetReason.cold), []),
            (no_target(NoTargetReason.paused), []),
        ):
            with self.subTest(answer=answer):
                play = Play()
                self.assertEqual(play.note(answer, *attempts), [])
                for _ in range(10):
                    play.note(attempts_failed(''), NOT_HELD, count=10)
                    play.note(answer, *attempts, count=1)
                self.assertEqual(play.lines(), [])

    def test_faults_of_this_daemon_are_none(self) -> None:
        play = Play()
        stopped = stopping(play.view.targets.by_id['t0'])
        self.assertEqual(play.note(stopped), [])
        self.assertEqual(play.fail(withdrawn('it has left')), [])
        self.assertEqual(play.note(attempts_failed('no time was left')), [])

    def test_services_without_keys_are_left_out(self) -> None:
        lines = Play().note(
            no_target(NoTargetReason.no_service), service='issuance'
        )
        self.assertEqual(lines, [])

    def test_failure_of_an_owner_is_an_answer(self) -> None:
        play = Play()
        for _ in range(10):
            play.note(attempts_failed(''), NOT_HELD, count=10)
            failed = Attempt(
                AttemptOutcome.failed, Answer('t0', 500, [], b'no')
            )
            play.note(Answer('t0', 500, [], b'no'), failed, count=1)
        self.assertEqual(play.lines(), [])


class LinesTest(unittest.TestCase):
    """The lines and the metric while it lasts."""

    def test_begin_change_and_end(self) -> None:
        play = Play()
        play.note(SERVED)
        began_at = play.clock.now + 0.1
        play.fail(REPLACED)
        play.note(no_target(NoTargetReason.no_service))
        (reading,) = play.requests.readings()
        self.assertEqual(reading.labels, {'service': 'registry'})
        self.assertAlmostEqual(reading.value, play.clock.now - began_at)
        ended_at = play.clock.now + 0.1
        play.note(SERVED)
        self.assertEqual(
            play.lines(),
            [
                ('keys_unserved', 'replaced'),
                ('keys_unserved_changed', 'no_target'),
                ('keys_served_again', 'no_target'),
            ],
        )
        (began,) = play.logged.fields('keys_unserved')
        self.assertEqual(began['last_causes'], {'replaced': MIN_FAILURES})
        self.assertAlmostEqual(began['since'], began_at, 2)
        (ended,) = play.logged.fields('keys_served_again')
        self.assertAlmostEqual(ended['lasted'], ended_at - began_at, 2)
        self.assertTrue(ended['is_served'])
        self.assertEqual(list(play.requests.readings()), [])


class OneRangeTest(unittest.TestCase):
    """Requests of a daemon all of which are for one range of several."""

    def test_one_owner_that_has_ended_is_no_sign_for_the_others(self) -> None:
        # The busy keys are close to one another, so that few requests show
        # whether the other owner serves its keys.
        play = self.play_with(
            KeyRange(0, 999, 't0', 1000, 1),
            KeyRange(1000, 65535, 't1', 1000, 1),
        )
        lines = play.note(no_target(NoTargetReason.owner_ended))
        self.assertEqual(lines, [])

    def test_keys_without_an_owner_are_no_sign_for_the_others(self) -> None:
        play = self.play_with(KeyRange(1000, 65535, 't1', 1000, 1))
        lines = play.note(no_target(NoTargetReason.no_owner))
        self.assertEqual(lines, [])

    def test_owner_of_all_keys_that_are_owned_is_a_sign(self) -> None:
        for ranges in (
            (KeyRange(0, 65535, 't0', 1000, 1),),
            (
                KeyRange(0, 9, 't0', 1000, 1),
                KeyRange(10, 65535, 't0', 1000, 2),
            ),
            (KeyRange(0, 999, 't0', 1000, 1),),
        ):
            with self.subTest(ranges=ranges):
                play = self.play_with(*ranges)
                lines = play.note(no_target(NoTargetReason.owner_ended))
                self.assertEqual(lines, [('keys_unserved', 'replaced')])

    def test_two_owners_are_a_sign_for_the_others(self) -> None:
        play = self.play_with(
            KeyRange(0, 18, 't0', 1000, 1),
            KeyRange(19, 999, 't1', 1000, 1),
            KeyRange(1000, 65535, 't2', 1000, 1),
        )
        # The last of the requests by which it begins is for another owner.
        lines = play.note(no_target(NoTargetReason.owner_ended))
        self.assertEqual(lines, [('keys_unserved', 'replaced')])

    def play_with(self, *ranges: KeyRange) -> Play:
        """Return requests for keys with a known map."""
        play = Play()
        play.view.keys_by_service['registry'] = KeyIndex(
            KeyMap('registry', ranges)
        )
        return play


async def read_metrics(gateway: Gateway) -> str:
    url = f'http://127.0.0.1:{gateway.settings.metrics_port}/metrics'
    async with (
        aiohttp.ClientSession() as session,
        session.get(url) as response,
    ):
        return await response.text()


class CallersInterfaceTest(unittest.TestCase):
    """A daemon with the project's own interface for callers."""

    def test_ends_of_requests_are_noted_and_shown(self) -> None:
        daemon = Application(example_settings())
        clock = ManualClock()
        requests = daemon.keyed_requests
        requests._clock = clock
        requests._view = configured_view(clock)
        on_end = daemon.core.forwarder.on_end
        with LoggedEvents() as logged:
            for key in range(MIN_FAILURES):
                clock.now += 0.1
                on_end('registry', key, attempts_failed(''), [REPLACED])
        text = daemon.telemetry.metrics.exposition().decode()
        daemon.telemetry.stop()
        self.assertEqual(len(logged.fields('keys_unserved')), 1)
        self.assertRegex(
            text, r'cassialever_keys_unserved\{label="registry"[^}]*\} 1\.[89]'
        )


class DaemonTest(unittest.IsolatedAsyncioTestCase):
    """A daemon and targets on the loopback interface."""

    async def test_replaced_owners_are_logged_until_keys_are_served(
        self,
    ) -> None:
        async with deployment(keyed=2) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            for target in system.targets[:2]:
                target.target_id = 'x9'
                target.is_keyed = False
                target.simulate_restart()
            with LoggedEvents() as logged:
                await self.send(gateway, lambda: logged.fields('keys_unserved'))
                text = await read_metrics(gateway)
                for number, target in enumerate(system.targets[:2]):
                    target.target_id = f'k{number}'
                    target.is_keyed = True
                    target.simulate_restart()
                    system.store.put(
                        'servers', target.target_id, target.entry('ready')
                    )
                await self.send(
                    gateway, lambda: logged.fields('keys_served_again')
                )
            (began,) = logged.fields('keys_unserved')
            self.assertEqual(began['cause'], 'no_target')
            self.assertRegex(
                text,
                r'keys_unserved_seconds\{[^}]*service="registry"[^}]*\} \d',
            )
            self.assertRegex(
                text, r'refused_by_target\{[^}]*refusal="replaced"[^}]*\} [12]'
            )
            (ended,) = logged.fields('keys_served_again')
            self.assertGreater(ended['lasted'], 1)
            refusals = [
                (line['refusal'], line['answered_by'])
                for line in logged.fields('attempt_failed')
            ]
            self.assertIn(('replaced', 'x9'), refusals)

    async def send(self, gateway: Gateway, is_over) -> None:
        """Send requests for all keys in turn until there is a line."""
        number = 0
        while not is_over():
            number += 1
            self.assertLess(number, 400)
            headers = {
                **LOOKUP_HEADERS,
                'Shard-Key': str(number * 4093 % 65536),
            }
            await send_request(gateway, '/lookup/', headers, f'r{number}')
            await asyncio.sleep(0.02)


if __name__ == '__main__':
    unittest.main()
