"""Tests of the history of a key that the tool tells from logs."""

import asyncio
import json
import pathlib
import tempfile
import unittest
from typing import Any

from cassialever.fleet.model import KeyRange
from cassialever.platform.processes import TargetProcess
from cassialever.platform.targets import CallOutcome, CallResult
from cassialever.tool.exits import ExitCode
from cassialever.tool.key_history import KeyHistory, Period, build_history
from cassialever.tool.log_lines import read_lines
from tests.key_logs import KeyLogs
from tests.ownership_fakes import Daemon, FakeTargetClient, World
from tests.test_keys_events import ADDRESS, play
from tests.test_tool_platform import log_line, run_tool

SERVICE = 'registry'
SAMPLED_KEYS = range(0, 65536, 2048)
MAP_ROW = ('cassialever', f'keys/{SERVICE}')
#: How long keys may wait for the end of grants of an earlier leader.
EARLIER_LEADER_TIME = 16.0
#: A key of the target at ADDRESS.
KEY = 53888


def history(
    lines: list[str],
    key: int = KEY,
    start: float | None = None,
    end: float | None = None,
) -> KeyHistory:
    told = build_history(
        read_lines(lines), SERVICE, key, Period(start=start, end=end)
    )
    assert isinstance(told, KeyHistory)
    return told


def shown(lines: list[str], key: int = KEY) -> list[str]:
    """Return what the lines show that must not be."""
    return [
        finding.sentence
        for finding in history(lines, key).findings
        if finding.is_shown
    ]


def possible(lines: list[str]) -> list[str]:
    return [
        finding.sentence
        for finding in history(lines).findings
        if not finding.is_shown
    ]


def key_line(time: float, name: str, target: str, **fields: Any) -> str:
    usual = {'service': SERVICE, 'target': target, 'first': 53248,
             'last': 57343, 'started_at': 1000, 'term': 2}  # fmt: skip
    return log_line(time, name, **{**usual, **fields})


class UnboundClient(FakeTargetClient):
    """Renews keys with whichever process has the address of a target."""

    async def grant(
        self,
        address: str,
        keys: KeyRange,
        duration: float,
        process: TargetProcess | None = None,
    ) -> CallResult:
        return await super().grant(address, keys, duration)


class PlayedHistoryTest(unittest.TestCase):
    """Histories from the lines of leaders in virtual time."""

    def test_owners_of_a_key_that_its_owner_released(self) -> None:
        async def scenario(world: World, _: Daemon, logs: KeyLogs) -> None:
            world.targets[ADDRESS].is_draining = True
            world.publish_targets()
            await asyncio.sleep(3)
            first, second = history(logs.lines).tenures
            self.assertEqual(
                (first.target, first.fence, first.granted_by, first.address),
                ('t1', logs.first_fence(), 'edge-1', ADDRESS),
            )
            self.assertEqual(first.ended_by, 'the owner released them')
            assert first.until is not None
            self.assertGreater(second.since, first.until)
            self.assertNotEqual(second.target, 't1')
            self.assertIsNone(second.until)
            self.assertEqual(world.holders(KEY), [second.target])

        play(scenario)

    def test_next_target_that_answers_calls_for_the_earlier_is_shown(
        self,
    ) -> None:
        async def scenario(world: World, leader: Daemon, logs: KeyLogs) -> None:
            leader.target_client.names_targets = False
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(1)
            world.publish_targets()
            await asyncio.sleep(4)
            self.assertRegex(
                '\n'.join(shown(logs.lines)),
                f'process .* at {ADDRESS} accepted calls for next, and before'
                ' for t1',
            )

        play(scenario)

    def test_renewal_that_the_next_target_took_is_shown(self) -> None:
        async def scenario(world: World, leader: Daemon, logs: KeyLogs) -> None:
            client = UnboundClient(world)
            client.names_targets = False
            context = leader.assigner._context
            assert context is not None
            context.granter._target_client = client  # type: ignore[assignment]
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(1)
            self.assertTrue(world.violations)
            fence = logs.first_fence()
            self.assertRegex(
                '\n'.join(shown(logs.lines)),
                rf'the fence {fence} of t1 \(process .*\) is not above {fence},'
                ' which t1',
            )

        play(scenario)

    def test_end_of_an_owner_tells_what_else_was_seen_there(self) -> None:
        async def scenario(world: World, _: Daemon, logs: KeyLogs) -> None:
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(1)
            (early,) = possible(logs.lines)
            self.assertIn('no entry names another target there', early)
            world.publish_targets()
            await asyncio.sleep(1)
            (early,) = possible(logs.lines)
            self.assertIn('entries name next there', early)
            self.assertEqual(shown(logs.lines), [])

        play(scenario)

    def test_false_end_of_an_owner_is_shown_by_its_next_answer(self) -> None:
        async def scenario(world: World, leader: Daemon, logs: KeyLogs) -> None:
            leader.target_client = client = RefusingClient(world)
            context = leader.assigner._context
            assert context is not None
            context.granter._target_client = client  # type: ignore[assignment]
            await asyncio.sleep(2)
            self.assertTrue(world.violations)
            (early,) = possible(logs.lines)
            self.assertIn('no entry names another target there', early)
            leader.kill()
            second = world.add_daemon('edge-2')
            world.publish_targets()
            while not await second.take_over():
                await asyncio.sleep(0.1)
            world.targets['10.1.64.0:8707'].is_draining = True
            world.targets['10.1.64.2:8707'].is_draining = True
            world.publish_targets()
            await asyncio.sleep(EARLIER_LEADER_TIME)
            self.assertIn(
                't1 had not ended: it accepted a call',
                '\n'.join(shown(logs.lines)),
            )

        play(scenario)

    def test_term_without_a_map_is_shown(self) -> None:
        for loss, source in (
            (lambda world: world.shared.delete(*MAP_ROW), 'missing'),
            (lambda world: world.shared.put(*MAP_ROW, b'?'), 'unreadable'),
        ):

            async def scenario(
                world: World, leader: Daemon, logs: KeyLogs
            ) -> None:
                leader.kill()
                loss(world)
                second = world.add_daemon('edge-2')
                world.publish_targets()
                while not await second.take_over():
                    await asyncio.sleep(0.1)
                await asyncio.sleep(1)
                self.assertRegex(
                    '\n'.join(shown(logs.lines)),
                    rf'began with the highest fence 0 \(map: {source}\), and'
                    f' {logs.first_fence()} had been granted',
                )

            with self.subTest(source=source):
                play(scenario)

    def test_nothing_is_shown_where_keys_move_as_they_should(self) -> None:
        async def scenario(world: World, leader: Daemon, logs: KeyLogs) -> None:
            world.targets[ADDRESS].is_draining = True
            world.publish_targets()
            await asyncio.sleep(1)
            world.restart_target(world.targets['10.1.64.2:8707'])
            await asyncio.sleep(1)
            world.publish_targets()
            world.replace_target('10.1.64.3:8707', 'next')
            await asyncio.sleep(1)
            world.publish_targets()
            leader.kill()
            second = world.add_daemon('edge-2')
            world.publish_targets()
            while not await second.take_over():
                await asyncio.sleep(0.1)
            world.targets['10.1.64.0:8707'].is_up = False
            await asyncio.sleep(EARLIER_LEADER_TIME)
            self.assertEqual(world.violations, [])
            self.assertEqual(world.unheld_count(), 0)
            for key in SAMPLED_KEYS:
                self.assertEqual(shown(logs.lines, key), [], key)
                owner = history(logs.lines, key).tenures[-1]
                self.assertEqual(world.holders(key), [owner.target])

        for seed in range(4):
            with self.subTest(seed=seed):
                play(scenario, seed)


class RefusingClient(FakeTargetClient):
    """Takes one answer about t1 for that of another target."""

    is_refused = False

    async def grant(
        self,
        address: str,
        keys: KeyRange,
        duration: float,
        process: TargetProcess | None = None,
    ) -> CallResult:
        if address == ADDRESS and not self.is_refused:
            self.is_refused = True
            return CallResult(CallOutcome.ended)
        return await super().grant(address, keys, duration)


class FindingsTest(unittest.TestCase):
    """What lines show that must not be."""

    def test_fence_that_does_not_rise(self) -> None:
        lines = [
            key_line(1, 'keys_granted', 't1', fence=3),
            key_line(2, 'keys_freed', 't1', fence=3, fact='expired'),
            key_line(3, 'keys_granted', 't2', fence=3),
        ]
        self.assertIn('the fence 3 of t2', shown(lines)[0])
        self.assertEqual(len(shown(lines)), 1)

    def test_owners_at_the_same_time(self) -> None:
        lines = [
            key_line(1, 'keys_granted', 't1', fence=3),
            key_line(3, 'keys_granted', 't2', fence=4),
        ]
        self.assertIn('no line tells that t1 had lost it', shown(lines)[0])
        freed = key_line(2, 'keys_freed', 't1', fence=3, fact='expired')
        self.assertEqual(shown([*lines, freed]), [])

    def test_keys_given_on_within_a_grant_without_an_answer(self) -> None:
        lines = [
            key_line(1, 'grant_failed', 't1', fence=3, end='unknown',
                     free_in=2.4),
            key_line(2, 'keys_granted', 't2', fence=4),
        ]  # fmt: skip
        self.assertIn('be in force for 1.400 s', shown(lines)[0])
        ended = key_line(1.5, 'keys_freed', 't1', fence=3, held_for=1.9,
                         fact='owner_ended')  # fmt: skip
        self.assertEqual(shown([*lines, ended]), [])
        self.assertIn('1.900 s before', possible([*lines, ended])[0])
        late = [lines[0], key_line(4, 'keys_granted', 't2', fence=4)]
        self.assertEqual(shown(late), [])
        self.assertIn('may be carried out late', possible(late)[0])

    def test_term_that_began_with_lower_fences(self) -> None:
        lines = [
            key_line(1, 'keys_granted', 't1', fence=3),
            log_line(2, 'keys_inherited', service=SERVICE, term=9,
                     map='unreadable', highest_fence=0, ranges=0, version=8),
        ]  # fmt: skip
        self.assertIn('map: unreadable', shown(lines)[0])

    def test_grant_of_an_earlier_term(self) -> None:
        lines = [
            key_line(1, 'keys_granted', 't1', fence=3, term=9),
            key_line(2, 'keys_granted', 't1', fence=4, term=2),
        ]
        self.assertIn('in term 2', shown(lines)[0])

    def test_processes_of_a_daemon_that_was_started_again_are_others(
        self,
    ) -> None:
        """Each start of a daemon numbers the processes anew."""
        first = key_line(1, 'keys_granted', 't1', fence=3, process=1)
        released = key_line(2, 'keys_released', 't1', fence=3, process=1)
        second = key_line(4, 'keys_granted', 't2', fence=4, process=1)
        found = 'process 1 at  accepted calls for t2, and before for t1'
        self.assertIn(found, shown([first, released, second])[0])
        for name in ('started', 'stopped', 'start_failed'):
            ended = log_line(3, name)
            self.assertEqual(shown([first, released, ended, second]), [])
            # The same processes are told apart for every other daemon.
            ended = log_line(3, name, 'edge-2')
            lines = [first, released, ended, second]
            self.assertIn(found, shown(lines)[0])
        # A later term of the same process goes on with its numbers.
        taken = [
            log_line(0.5, 'leader_taken', version=2, earlier={}),
            log_line(3, 'leader_taken', version=9, earlier={}),
        ]
        self.assertIn(found, shown([*taken, first, released, second])[0])

    def test_other_keys_and_services_are_left_out(self) -> None:
        lines = [
            key_line(1, 'keys_granted', 't1', fence=3),
            key_line(2, 'keys_granted', 't2', fence=3, service='other'),
            key_line(3, 'keys_granted', 't3', fence=3, first=0, last=9),
            key_line(4, 'keys_granted', 't3', fence='nonsense'),
            '  3.2 edge-1 {"time": 91, "insta',
        ]
        told = history(lines)
        self.assertEqual(len(told.steps), 1)
        self.assertEqual(told.findings, ())
        self.assertEqual(told.skipped, 1)

    def test_owner_whose_address_another_target_has(self) -> None:
        """Each daemon logs it; the first line about a life is shown."""
        replaced = {'target': 't1', 'started_at': 1000, 'address': ADDRESS}
        lines = [
            key_line(1, 'keys_granted', 't1', fence=3),
            log_line(2, 'target_replaced', **replaced,
                     learned_from='an answer'),
            log_line(2.1, 'target_replaced', 'edge-2', **replaced,
                     learned_from='the leader'),
            log_line(2.2, 'target_replaced', target='t9', started_at=1000),
        ]  # fmt: skip
        self.assertEqual(
            [(step.time, step.sentence) for step in history(lines).steps][1:],
            [
                (
                    2,
                    't1, started at 1000, was known to have ended, since'
                    f' another target answered at {ADDRESS} (learned from an'
                    ' answer)',
                )
            ],
        )

    def test_time_in_which_no_key_is_served(self) -> None:
        lines = [
            key_line(1, 'keys_granted', 't1', fence=3),
            log_line(5, 'keys_unserved', service=SERVICE, cause='replaced',
                     reason='they are elsewhere', lasted=1.1, requests=25),
            log_line(6, 'keys_unserved', service='other', cause='replaced'),
            log_line(9, 'keys_served_again', service=SERVICE, lasted=4.5,
                     requests=90, cause='replaced', is_served=True),
        ]  # fmt: skip
        self.assertEqual(
            [one.sentence for one in history(lines).steps][1:],
            [
                f'no key of {SERVICE} had been served here for 1.1 s (25'
                ' requests): they are elsewhere',
                f'keys of {SERVICE} were served here again, after 4.5 s (90'
                ' requests were not); served: True',
            ],
        )

    def test_terms_that_end_at_once(self) -> None:
        """Keys wait meanwhile, since no grants are renewed."""
        ended = {'lasted': 0.07, 'reason': 'another has the lease',
                 'details': 'holder=edge-2 version=9'}  # fmt: skip
        lines = [
            key_line(1, 'keys_granted', 't1', fence=3),
            log_line(5, 'leader_lost', term=8, **ended),
            log_line(5.1, 'terms_short', count=3, advice='see renewals',
                     **ended),
            log_line(6, 'leader_missing_long', 'edge-3', lasted=4, passes=8,
                     named='edge-1', tables_way='store', tables_age=0.6,
                     leaders_seen=3, leaders_short=2),
        ]  # fmt: skip
        self.assertEqual(
            [one.sentence for one in history(lines).steps][1:],
            [
                'this daemon lost leadership of term 8 after 0.07 s: another'
                ' has the lease (holder=edge-2 version=9)',
                'terms of this daemon as leader ended soon, 3 in a row; see'
                ' renewals; the last one ended after 0.07 s: another has the'
                ' lease (holder=edge-2 version=9)',
                'this daemon had no leader for 4 s, in 8 passes; the store'
                ' named edge-1; way of its tables: store, complete 0.6 s'
                ' before; leaders seen since one lasted: 3, replaced soon: 2',
            ],
        )

    def test_period(self) -> None:
        lines = [
            key_line(1, 'keys_granted', 't1', fence=3),
            key_line(2, 'keys_freed', 't1', fence=3, fact='expired'),
            key_line(3, 'keys_granted', 't2', fence=3),
        ]
        early = history(lines, end=2.5)
        self.assertEqual([one.target for one in early.tenures], ['t1'])
        self.assertEqual(early.findings, ())
        late = history(lines, start=2.5)
        self.assertEqual([one.target for one in late.tenures], ['t2'])
        self.assertEqual(len(late.steps), 1)
        # What came before is still known.
        self.assertEqual(len(late.findings), 1)


class CommandTest(unittest.IsolatedAsyncioTestCase):
    """The command, run as an operator does."""

    async def test_explain_key(self) -> None:
        lines = [
            key_line(1, 'keys_granted', 't1', fence=3, address=ADDRESS),
            key_line(3, 'keys_granted', 't2', fence=3, address=ADDRESS),
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'log'
            path.write_text('\n'.join(lines))
            arguments = ('platform', 'explain-key', SERVICE, str(KEY))
            code, printed = await run_tool(*arguments, str(path))
            self.assertEqual(code, ExitCode.done, printed)
            words = ' '.join(printed.split())
            self.assertIn('t1 at 10.1.64.1:8707 with fence 3, granted', words)
            self.assertIn('What must not be: 00:00:03.000 ', words)
            code, printed = await run_tool(
                *arguments, str(path), '--from', '2', '--to', '9', '--json'
            )
            self.assertEqual(code, ExitCode.done, printed)
            self.assertEqual(len(json.loads(printed)['steps']), 1)
            code, printed = await run_tool(*arguments, f'{folder}/missing')
            self.assertEqual(code, ExitCode.faults)

    async def test_unknown_service_is_an_error_that_names_the_known(
        self,
    ) -> None:
        lines = [
            key_line(1, 'keys_granted', 't1', fence=3),
            log_line(2, 'keys_inherited', service='ledger', term=9),
            # A target of a service without keys.
            log_line(3, 'target_seen', service='archive', target='t9'),
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'log'
            path.write_text('\n'.join(lines))
            arguments = ('platform', 'explain-key')
            for name in ('archive', 'regisrty'):
                code, printed = await run_tool(
                    *arguments, name, str(KEY), str(path)
                )
                self.assertEqual(code, ExitCode.unknown_name, printed)
                words = ' '.join(printed.split())
                self.assertIn(f'no lines about keys of {name}', words)
                self.assertIn('they have those of ledger, registry', words)
            code, printed = await run_tool(
                *arguments, 'regisrty', str(KEY), str(path), '--json'
            )
            self.assertEqual(code, ExitCode.unknown_name, printed)
            self.assertEqual(
                json.loads(printed)['known_services'], ['ledger', SERVICE]
            )
            code, printed = await run_tool(
                *arguments, 'ledger', str(KEY), str(path)
            )
            self.assertEqual(code, ExitCode.done, printed)
            path.write_text(log_line(1, 'leader_taken', version=2))
            code, printed = await run_tool(
                *arguments, SERVICE, str(KEY), str(path)
            )
            self.assertEqual(code, ExitCode.unknown_name, printed)
            self.assertIn(
                'no lines about keys of any', ' '.join(printed.split())
            )


if __name__ == '__main__':
    unittest.main()
