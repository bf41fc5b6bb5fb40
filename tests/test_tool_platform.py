"""Tests of the tool's `platform` commands."""

import asyncio
import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from cassialever.cmdline import run
from cassialever.tool.exits import ExitCode
from cassialever.tool.log_lines import read_lines
from cassialever.tool.request_timeline import build_timeline
from standins.rowstore import RowStoreServer
from tests.fleet_helpers import CONFIGURATION, target_entry


def log_line(time: float, name: str, instance: str = 'edge-1', **fields) -> str:
    """Format a line as a daemon does, with a log collector's prefix."""
    written = {'time': time, 'instance': instance, 'event': 1, 'name': name}
    return f'  3.2 {instance} {json.dumps({**written, **fields})}'


async def run_tool(*arguments: str) -> tuple[int, str]:
    """Run the tool; return its exit code and what it printed."""
    printed = io.StringIO()
    with (
        contextlib.redirect_stdout(printed),
        contextlib.redirect_stderr(printed),
    ):
        code = await asyncio.to_thread(run, arguments)
    return code, printed.getvalue()


#: Lines of three daemons about a moving key; the last line is truncated.
LOGS = [
    log_line(70, 'keys_leaving', 'edge-2', target='t9', first=0, last=99),
    log_line(90, 'keys_leaving', 'edge-2', target='t1', first=40, last=60,
             reason='its owner is too busy', heat=7.0),
    log_line(90.1, 'keys_leaving', 'edge-2', target='t2', first=61, last=90,
             reason='its owner is too busy', heat=3.0),
    log_line(90.6, 'keys_released', 'edge-2', target='t1', first=40, last=60),
    log_line(90.7, 'keys_assigned', 'edge-2', service='registry', version=8,
             keys=[[40, 60, 't3', 9]]),
    log_line(90.4, 'request_refused', request='a1', key=45, status=503,
             reason='the key has no owner while it moves', waited=0.4,
             retry_after=0.2, configuration=7),
    log_line(90.4, 'request_refused', request='a2', key=45, status=503),
    log_line(89, 'target_seen', 'edge-3', target='t8', state='ready'),
    '  3.2 edge-1 {"time": 91, "insta',
]  # fmt: skip


class RequestTimelineTest(unittest.TestCase):
    """Timelines of requests, built from log lines."""

    def test_moving_key(self) -> None:
        """The timeline includes the move of that key and no other events."""
        timeline = build_timeline(read_lines(LOGS), 'a1')
        self.assertEqual(
            [step.sentence.split(':')[0] for step in timeline.steps],
            [
                'keys 40 to 60 were moved away from t1',
                'request a1 was answered 503',
                'target t1 released keys 40 to 60',
                'keys of registry were assigned (row 8)',
            ],
        )
        self.assertEqual(timeline.skipped, 1)

    def test_events_of_attempted_targets(self) -> None:
        logs = [
            log_line(9, 'target_gone', target='t5'),
            log_line(9, 'target_gone', target='t6'),
            log_line(10, 'attempt_failed', request='b', target='t5', key=-1,
                     end='unknown', reason='reset', after=0.1),
        ]  # fmt: skip
        timeline = build_timeline(read_lines(logs), 'b')
        self.assertEqual(
            [step.sentence for step in timeline.steps],
            [
                'target t5 was removed',
                'target t5 did not serve request b (unknown: reset), 0.1 s'
                ' after arrival',
            ],
        )

    def test_state_of_the_daemon(self) -> None:
        """Whether it had a leader, since when, and how old its tables were."""
        missing = {
            'lasted': 64.2, 'passes': 300, 'named': 'edge-2',
            'tables_way': 'store', 'tables_age': 0.4,
        }  # fmt: skip
        silent = {
            'leader': 'edge-2', 'reason': 'the peer is not the leader',
            'activity': 'seeking', 'count': 9, 'without_leader': 65.1,
        }  # fmt: skip
        logs = [
            log_line(30, 'leader_missing', **missing),
            log_line(50, 'leader_missing_long', **missing),
            log_line(50, 'leader_missing_long', 'edge-3', **missing),
            log_line(99, 'leader_silent', 'edge-3', **silent),
            log_line(99.5, 'election_hindered', 'edge-3', reason='refused',
                     details='503', count=3, advice='see the store'),
            log_line(99.6, 'election_failed', 'edge-3', reason='refused'),
            log_line(100, 'request_refused', request='b', status=404,
                     reason='no route matches', configuration=7,
                     tables_age=0.7, tables_from='the store',
                     without_leader=66.3),
            log_line(100.1, 'leader_found', 'edge-3', leader='edge-4'),
            log_line(101, 'leader_found', leader='edge-4', lasted=67,
                     passes=310),
        ]  # fmt: skip
        timeline = build_timeline(read_lines(logs), 'b')
        self.assertEqual(
            [(step.instance, step.sentence) for step in timeline.steps],
            [
                (
                    'edge-1',
                    'this daemon had no leader for 64.2 s, in 300 passes; the'
                    ' store named edge-2; way of its tables: store, complete'
                    ' 0.4 s before',
                ),
                (
                    'edge-3',
                    'this daemon could not follow edge-2: the peer is not the'
                    ' leader (activity seeking, 9 times; no leader for 65.1 s)',
                ),
                (
                    'edge-3',
                    'this daemon did not become leader, 3 times: refused (503);'
                    ' see the store',
                ),
                (
                    'edge-1',
                    'request b was answered 404: no route matches (waited ? s,'
                    ' Retry-After ? s, configuration 7); this daemon had no'
                    ' leader for 66.3 s, and tables of configuration 7,'
                    ' complete 0.7 s before, last changed by the store',
                ),
                (
                    'edge-1',
                    'this daemon had a leader again (edge-4), after 67 s'
                    ' without one and 310 passes',
                ),
            ],
        )

    def test_terms_that_end_at_once(self) -> None:
        """Why, at whichever daemon led, and what each daemon saw of it."""
        reason = "the leader's row has another version than the term"
        missing = {
            'lasted': 8.1, 'passes': 17, 'named': 'edge-2',
            'tables_way': 'store', 'tables_age': 0.6, 'leaders_seen': 5,
            'leaders_short': 4,
        }  # fmt: skip
        logs = [
            log_line(98, 'leader_lost', 'edge-2', term=41, lasted=0.07,
                     reason=reason, details='expected=41 found=40'),
            log_line(98.1, 'terms_short', 'edge-2', count=3, lasted=0.07,
                     reason=reason, details='expected=41 found=40',
                     advice='see who writes the row'),
            log_line(99, 'leader_missing_long', **missing),
            log_line(99.1, 'leader_missing_long', 'edge-3', **missing),
            log_line(100, 'request_refused', request='b', status=503),
            log_line(100.1, 'leader_lost', 'edge-3', term=43, lasted=0.1,
                     reason='this daemon resigned', details=None),
            # A build that told neither.
            log_line(100.2, 'leader_lost', 'edge-4'),
            log_line(100.3, 'leader_found', leader='edge-3', lasted=9.3,
                     passes=20, leaders_seen=6, leaders_short=5),
        ]  # fmt: skip
        timeline = build_timeline(read_lines(logs), 'b')
        told = [(step.instance, step.sentence) for step in timeline.steps]
        self.assertEqual(
            [one for one in told if 'request' not in one[1]],
            [
                (
                    'edge-2',
                    'this daemon lost leadership of term 41 after 0.07 s:'
                    f' {reason} (expected=41 found=40)',
                ),
                (
                    'edge-2',
                    'terms of this daemon as leader ended soon, 3 in a row; see'
                    ' who writes the row; the last one ended after 0.07 s:'
                    f' {reason} (expected=41 found=40)',
                ),
                (
                    'edge-1',
                    'this daemon had no leader for 8.1 s, in 17 passes; the'
                    ' store named edge-2; way of its tables: store, complete'
                    ' 0.6 s before; leaders seen since one lasted: 5, replaced'
                    ' soon: 4',
                ),
                (
                    'edge-3',
                    'this daemon had no leader for 8.1 s, in 17 passes; the'
                    ' store named edge-2; way of its tables: store, complete'
                    ' 0.6 s before; leaders seen since one lasted: 5, replaced'
                    ' soon: 4',
                ),
                (
                    'edge-3',
                    'this daemon lost leadership of term 43 after 0.1 s: this'
                    ' daemon resigned',
                ),
                ('edge-4', 'this daemon lost leadership'),
                (
                    'edge-1',
                    'this daemon had a leader again (edge-3), after 9.3 s'
                    ' without one and 20 passes; leaders seen since one lasted:'
                    ' 6, replaced soon: 5',
                ),
            ],
        )

    def test_request_that_was_passed_on(self) -> None:
        """The lines of both daemons, and why the request was passed on."""
        logs = [
            log_line(8, 'cut_off_from_targets', 'edge-1', targets=3,
                     failed=['t1'], daemons_reaching=['edge-2']),
            log_line(10, 'carrying_refused', 'edge-2', request='b',
                     origin='edge-1', target='t5', reason='draining'),
            log_line(10.1, 'helper_failed', 'edge-1', request='b', target='t5',
                     helper='edge-2', end='not_run', reason='draining'),
            log_line(10.2, 'carrying_failed', 'edge-3', request='b',
                     origin='edge-1', target='t5', end='unknown',
                     reason='reset'),
            log_line(10.3, 'attempt_failed', 'edge-1', request='b',
                     target='t5', helper='edge-3', key=-1, end='unknown',
                     reason='reset', after=0.3),
            log_line(10.3, 'carrying_failed', 'edge-3', request='c',
                     origin='edge-1', target='t5'),
        ]  # fmt: skip
        timeline = build_timeline(read_lines(logs), 'b')
        self.assertEqual(
            [(step.instance, step.sentence) for step in timeline.steps],
            [
                (
                    'edge-1',
                    'this daemon reached no target of 3; daemons that did:'
                    " ['edge-2']",
                ),
                (
                    'edge-2',
                    'request b of daemon edge-1 for target t5 was refused'
                    ' here: draining',
                ),
                (
                    'edge-1',
                    'daemon edge-2 did not pass request b on to target t5'
                    ' (not_run: draining)',
                ),
                (
                    'edge-3',
                    'target t5 did not answer request b, which was carried'
                    ' for daemon edge-1 (unknown: reset)',
                ),
                (
                    'edge-1',
                    'target t5 did not serve request b (unknown: reset), 0.3'
                    ' s after arrival, passed on through daemon edge-3',
                ),
            ],
        )

    def test_request_that_targets_refused(self) -> None:
        """Why, which target answered, and whether the daemon went on."""
        replaced = {'target': 't5', 'address': '10.1.64.1:8707'}
        unserved = {'service': 'registry', 'lasted': 1.1, 'requests': 25}
        logs = [
            log_line(9.9, 'target_replaced', **replaced,
                     learned_from='an answer'),
            log_line(9.9, 'target_replaced', target='t6'),
            log_line(9.95, 'keys_unserved', **unserved, reason='gone'),
            log_line(9.96, 'keys_unserved', 'edge-7', **unserved),
            log_line(10, 'attempt_failed', request='b', target='t5', key=7,
                     end='not_run', reason='x9 has the address', after=0.1,
                     refusal='replaced', answered_by='x9', goes_on=True),
            log_line(10.1, 'attempt_failed', request='b', target='t7', key=7,
                     end='not_run', reason='refused with 421', after=0.2,
                     refusal='key_not_held', answered_by=None, goes_on=False,
                     helper='edge-2'),
        ]  # fmt: skip
        timeline = build_timeline(read_lines(logs), 'b')
        self.assertEqual(
            [step.sentence for step in timeline.steps],
            [
                'target t5 was known to have ended, since another answered at'
                ' 10.1.64.1:8707 (learned from an answer)',
                'no key of registry had been served here for 1.1 s (25'
                ' requests): gone',
                'target t5 did not serve request b (not_run: x9 has the'
                ' address), 0.1 s after arrival; refused (replaced): x9'
                ' answered at the address of t5; this daemon looked for a'
                ' target again',
                'target t7 did not serve request b (not_run: refused with'
                ' 421), 0.2 s after arrival, passed on through daemon edge-2;'
                ' refused (key_not_held): t7 answered itself, and does not'
                ' hold the key; this daemon gave up',
            ],
        )

    def test_request_that_crashes_targets(self) -> None:
        """A quarantine explains a refusal, however long ago it began."""
        logs = (
            '{"time": 1.0, "instance": "edge-2", "event": 209,'
            ' "name": "request_quarantined", "fingerprint": "0f",'
            ' "learned_from": "edge-3"}',
            '{"time": 2.0, "instance": "edge-2", "event": 209,'
            ' "name": "request_quarantined", "fingerprint": "0e",'
            ' "learned_from": "edge-3"}',
            '{"time": 99.0, "instance": "edge-2", "event": 201,'
            ' "name": "request_refused", "request": "b", "status": 503,'
            ' "fingerprint": "0f", "reason": "it was at work where t1, t2, t3'
            ' crashed", "retry_after": 600.0}',
        )
        timeline = build_timeline(read_lines(logs), 'b')
        self.assertEqual([step.time for step in timeline.steps], [1.0, 99.0])
        self.assertIn('at several crashes', timeline.steps[0].sentence)

    def test_unknown_request(self) -> None:
        self.assertEqual(build_timeline(read_lines(LOGS), 'nobody').steps, ())

    def test_missing_fields(self) -> None:
        timeline = build_timeline(
            read_lines([log_line(1, 'request_refused', request='c')]), 'c'
        )
        self.assertIn('answered ?', timeline.steps[0].sentence)


class CommandsTest(unittest.IsolatedAsyncioTestCase):
    """The platform commands, run as an operator does."""

    async def test_explain(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'log'
            path.write_text('\n'.join(LOGS))
            code, printed = await run_tool(
                'platform', 'explain', 'a1', str(path)
            )
            self.assertEqual(code, ExitCode.done, printed)
            self.assertIn('its owner is too busy', printed)
            code, printed = await run_tool(
                'platform', 'explain', 'a1', str(path), '--json'
            )
            self.assertEqual(len(json.loads(printed)['steps']), 4)
            code, printed = await run_tool(
                'platform', 'explain', 'a1', f'{folder}/missing'
            )
            self.assertEqual(code, ExitCode.faults)

    async def test_limit_explains_a_refusal(self) -> None:
        lines = (
            {'time': 8.1, 'name': 'target_limit_changed', 'target': 't1',
             'rate': 2.4, 'learned_from': 'the leader'},
            {'time': 8.2, 'name': 'target_limit_changed', 'target': 't2',
             'rate': 9.0, 'learned_from': 'the leader'},
            {'time': 9.0, 'name': 'request_refused', 'request': 'a1',
             'target': 't1', 'key': 7, 'status': 503, 'retry_after': 0.4,
             'reason': 'the owner of the key takes 2.4 requests a second'},
        )  # fmt: skip
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'log'
            path.write_text('\n'.join(map(json.dumps, lines)))
            code, printed = await run_tool(
                'platform', 'explain', 'a1', str(path)
            )
        self.assertEqual(code, ExitCode.done, printed)
        words = ' '.join(printed.split())
        self.assertIn('t1 was known to take 2.4 requests a second', words)
        self.assertIn('the owner of the key takes 2.4', words)
        self.assertNotIn('t2', words)

    async def test_show(self) -> None:
        store = RowStoreServer()
        await store.start()
        store.put('op', 'config', CONFIGURATION)
        store.put('op', 'evacuate/astana-b', {})
        store.put('servers', 't1', target_entry())
        store.put('servers', 't2', {'address': 'nonsense'})
        code, printed = await run_tool('platform', 'show', store.address)
        self.assertEqual(code, ExitCode.done, printed)
        for part in (
            'configuration 7',
            'astana-b',
            'r-lookup',
            't1',
            'read: 1',
        ):
            self.assertIn(part, ' '.join(printed.split()))
        await store.stop()
        code, printed = await run_tool('platform', 'show', store.address)
        self.assertEqual(code, ExitCode.unreachable, printed)


if __name__ == '__main__':
    unittest.main()
