"""Tests of a daemon process whose settings file is not whole yet."""

import asyncio
import contextlib
import pathlib
import signal
import tempfile
import unittest
from collections.abc import AsyncIterator

from cassialever.gateway.process import EXIT_SETTINGS
from cassialever.gateway.settings import PATH_VARIABLE
from standins.listening import free_ports
from tests.fleet_helpers import settings_text
from tests.test_process_signals import StartedProcess, run_python

#: A module that is imported shortly before the settings are read.
LATE_IMPORT = 'cassialever.gateway.application'
#: How long the file stays as it is after that, in seconds.
WRITING_TIME = 0.5


def whole_settings() -> str:
    ports = free_ports(3)
    return settings_text('127.0.0.1:9', (ports[0], ports[1], ports[2]))


@contextlib.asynccontextmanager
async def started_with(
    text: str | None,
) -> AsyncIterator[tuple[StartedProcess, pathlib.Path]]:
    """Run a daemon with this settings file, without one if there is no text."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'settings.jsonc')
        if text is not None:
            path.write_text(text)
        process = await run_python(
            '-m', 'cassialever', **{PATH_VARIABLE: str(path)}
        )
        daemon = StartedProcess(process)
        try:
            await daemon.wait_for_import(LATE_IMPORT)
            await asyncio.sleep(WRITING_TIME)
            yield daemon, path
        finally:
            daemon.send(signal.SIGKILL)
            await process.wait()


class UnfinishedSettingsTest(unittest.IsolatedAsyncioTestCase):
    """What is read before the platform has written the whole file."""

    async def test_unfinished_settings_are_read_again(self) -> None:
        # From the list of ends of a process: an empty file ended it at once.
        whole = whole_settings()
        for text in (None, '', whole[: len(whole) // 2]):
            with self.subTest(text=text):
                async with started_with(text) as (daemon, path):
                    path.write_text(whole)
                    await daemon.wait_for_line('"name":"started"')
                    daemon.send(signal.SIGTERM)
                    self.assertEqual(await daemon.status(), 0, daemon.output())

    async def test_settings_that_stay_invalid_end_the_process(self) -> None:
        async with started_with('{') as (daemon, _):
            self.assertEqual(await daemon.status(), EXIT_SETTINGS)
            self.assertNotIn('Traceback', daemon.output())
            self.assertEqual(len(daemon.output().splitlines()), 1)

    async def test_stop_while_settings_are_invalid(self) -> None:
        async with started_with('') as (daemon, _):
            daemon.send(signal.SIGTERM)
            self.assertEqual(await daemon.status(), 0, daemon.output())

    async def test_nested_settings_at_a_hangup_change_nothing(self) -> None:
        async with started_with(whole_settings()) as (daemon, path):
            await daemon.wait_for_line('"name":"started"')
            for text in ('', '{"instance":', '[' * 100_000):
                path.write_text(text)
                rejected = daemon.count('reload_failed')
                daemon.send(signal.SIGHUP)
                async with asyncio.timeout(20):
                    while daemon.count('reload_failed') == rejected:
                        await asyncio.sleep(0.01)
            daemon.send(signal.SIGTERM)
            self.assertEqual(await daemon.status(), 0, daemon.output())


if __name__ == '__main__':
    unittest.main()
