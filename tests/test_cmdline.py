"""Tests of the command-line tool with a store and an operators' endpoint."""

import asyncio
import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from typing import Any

import msgspec

from cassialever.cmdline import run
from cassialever.operators.api import OperatorApi
from cassialever.settings import Settings
from cassialever.tool.exits import ExitCode
from standins.rowstore import RowStoreServer
from tests.test_operator_api import TARGET, FakeOperatorView, make_refusal
from tests.test_telemetry import EXAMPLE, example_settings

EXAMPLES = EXAMPLE.parent
CATALOGUE = EXAMPLES / 'qazaq-coldline.catalogue.jsonc'


class TestCmdline(unittest.IsolatedAsyncioTestCase):
    """Commands, run as an operator does."""

    async def asyncSetUp(self) -> None:
        self.server = RowStoreServer()
        await self.server.start()
        url = f'http://{self.server.address}'
        settings = example_settings()
        platform = msgspec.structs.replace(settings.platform, table_url=url)
        instance = msgspec.structs.replace(settings.instance, operator_port=0)
        settings = msgspec.structs.replace(
            settings, platform=platform, instance=instance
        )
        self.view = FakeOperatorView(settings)
        self.api = OperatorApi(settings, self.view)
        await self.api.start()
        port = int(self.api.url.rpartition(':')[2])
        instance = msgspec.structs.replace(instance, operator_port=port)
        settings = msgspec.structs.replace(settings, instance=instance)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.settings_path = self.write_settings(settings)

    async def asyncTearDown(self) -> None:
        await self.api.stop()
        await self.server.stop()

    def write_settings(self, settings: Settings) -> pathlib.Path:
        path = self.folder / 'settings.jsonc'
        path.write_bytes(msgspec.json.encode(settings))
        return path

    async def run_tool(self, *arguments: str) -> tuple[int, str]:
        """Run a command; return its exit code and output."""
        printed = io.StringIO()
        tokens = [*arguments]
        if arguments[0] not in {'check', 'settings'}:
            tokens.extend(('--settings', str(self.settings_path)))
        with (
            contextlib.redirect_stdout(printed),
            contextlib.redirect_stderr(printed),
        ):
            code = await asyncio.to_thread(run, tokens)
        return code, printed.getvalue()

    async def run_json(self, *arguments: str) -> Any:
        code, printed = await self.run_tool(*arguments, '--json')
        self.assertEqual(code, ExitCode.done, printed)
        return json.loads(printed)

    async def apply_example(self) -> None:
        code, printed = await self.run_tool(
            'apply', str(CATALOGUE), '--reason', 'first', '--author', 'ann'
        )
        self.assertEqual(code, ExitCode.done, printed)

    async def test_data_centre_out_and_back(self) -> None:
        """Each change makes a version with its reason; so does a revert."""
        await self.apply_example()
        for arguments, version in (
            (('data-centre', 'out', 'saran-1', '--reason', 'power'), 2),
            (('data-centre', 'return', 'saran-1', '--reason', 'back'), 3),
            (('target', 'drain', 'audit-01', '--reason', 'disk'), 4),
            (('target', 'return', 'audit-01', '--reason', 'new disk'), 5),
            (('revert', '4', '--reason', 'wrong one'), 6),
        ):
            result = await self.run_json(*arguments)
            self.assertEqual(result['change']['version'], version)
        code, printed = await self.run_tool('history', '--limit', '3')
        self.assertEqual(code, ExitCode.done)
        self.assertIn('wrong one', printed)
        self.assertNotIn('power', printed)
        catalogue = await self.run_json('show')
        states = [entry['state'] for entry in catalogue['targets']]
        self.assertEqual(states.count('out'), 1)
        _, printed = await self.run_tool('compare', '1')
        self.assertIn('target/audit-01', printed)
        self.assertNotIn('saran-1', printed)

    async def test_file_edit_conflicts(self) -> None:
        """Applying an outdated file prints both sides and exits with 4."""
        await self.apply_example()
        old = await self.run_json('show')
        await self.run_tool('target', 'drain', 'audit-01', '--reason', 'disk')
        old['callers'][0]['limits']['requests_at_once'] = 63
        path = self.folder / 'old.jsonc'
        path.write_text(json.dumps(old))
        code, printed = await self.run_tool('diff', str(path))
        self.assertEqual(code, ExitCode.done)
        self.assertIn('limits.requests_at_once', printed)
        code, printed = await self.run_tool('apply', str(path), '--reason', 'x')
        self.assertEqual(code, ExitCode.conflict)
        self.assertIn('target/audit-01', printed)
        self.assertIn('limits.requests_at_once', printed)

    async def test_file_without_a_version(self) -> None:
        """Only the very first catalogue needs no base version."""
        await self.apply_example()
        await self.run_tool('target', 'drain', 'audit-01', '--reason', 'disk')
        arguments = ('apply', str(CATALOGUE), '--reason', 'x')
        code, printed = await self.run_tool(*arguments)
        self.assertEqual(code, ExitCode.faults, printed)
        self.assertIn('--base 2', ' '.join(printed.split()))
        code, printed = await self.run_tool(*arguments, '--base', '1')
        self.assertEqual(code, ExitCode.conflict, printed)
        result = await self.run_json(*arguments, '--base', '2')
        self.assertEqual(result['change']['version'], 3)

    async def test_queries_to_a_daemon(self) -> None:
        """Status, owners, explain, watch and dump query a daemon."""
        self.view.decisions.add(make_refusal(1, TARGET.ref()))
        for arguments, part in (
            (('status',), 'entry-1 in west: ready'),
            (('owners', 'registry', 'KZ/1'), 'Key KZ/1 of registry'),
            (('explain', '--request-id', 'request-1'), 'It was not run.'),
            (('explain', '--entry', 'target/registry-1'), 'request-1'),
            (('explain', '--key', 'other'), 'no record of that'),
            (('watch', '--count', '2', '--interval', '0.01'), 'entry-1'),
            (('dump',), 'instance_id'),
        ):
            with self.subTest(arguments=arguments):
                code, printed = await self.run_tool(*arguments)
                self.assertEqual(code, ExitCode.done, printed)
                self.assertIn(part, printed)

    async def test_exit_codes(self) -> None:
        """Each kind of error has its exit code and a message."""
        faulty = self.folder / 'faulty.jsonc'
        faulty.write_text('{"services": 1}')
        for arguments, code, part in (
            (('check', str(faulty)), ExitCode.faults, 'line 1, column 14'),
            (('check', 'missing.jsonc'), ExitCode.faults, 'cannot be read'),
            (('show', '--nonsense'), ExitCode.usage, 'Unknown option'),
            (('drain',), ExitCode.usage, ''),
            (('data-centre', 'out', 'saran-1'), ExitCode.usage, 'reason'),
            (('owners', 'none', 'k'), ExitCode.unknown_name, 'no such service'),
            (('revert', '7', '--reason', 'x'), ExitCode.faults, 'no version 7'),
            (
                ('target', 'drain', 'nobody', '--reason', 'x'),
                ExitCode.faults,
                'no target named "nobody"',
            ),
        ):
            with self.subTest(arguments=arguments):
                actual, printed = await self.run_tool(*arguments)
                self.assertEqual(actual, code, printed)
                self.assertIn(part, ' '.join(printed.split()))

    async def test_unreachable(self) -> None:
        """For an unreachable daemon or table, the message names the setting."""
        await self.api.stop()
        await self.server.stop()
        for arguments, part in (
            (('status',), 'instance.operator_port'),
            (('show',), 'platform.table_url'),
        ):
            with self.subTest(arguments=arguments):
                code, printed = await self.run_tool(*arguments)
                self.assertEqual(code, ExitCode.unreachable, printed)
                self.assertIn(part, printed)

    async def test_accepted_but_not_in_force(self) -> None:
        """An accepted change is reported even if no daemon confirms it."""
        await self.apply_example()
        await self.api.stop()
        code, printed = await self.run_tool(
            'target', 'drain', 'audit-01', '--reason', 'x', '--wait'
        )
        self.assertEqual(code, ExitCode.not_in_force, printed)
        self.assertIn('Accepted as version 2', printed)
        self.assertIn('does not answer', printed)

    async def test_wrong_credential(self) -> None:
        """A wrong credential is refused, and no secret is printed."""
        settings = example_settings()
        security = msgspec.structs.replace(
            settings.security, operator_credential='wrong-but-long-enough'
        )
        self.write_settings(
            msgspec.structs.replace(settings, security=security)
        )
        code, printed = await self.run_tool('status', '--daemon', self.api.url)
        self.assertEqual(code, ExitCode.refused, printed)
        self.assertNotIn('wrong-but', printed)

    async def test_settings_show(self) -> None:
        """Values and sources are shown, but no secret."""
        code, printed = await self.run_tool('settings', 'show', str(EXAMPLE))
        self.assertEqual(code, ExitCode.done)
        self.assertIn('line 9, column 5', printed)
        self.assertIn('default', printed)
        security = example_settings().security
        self.assertIn('[secret]', printed)
        self.assertNotIn(security.fleet_key, printed)
        self.assertNotIn(security.operator_credential, printed)
