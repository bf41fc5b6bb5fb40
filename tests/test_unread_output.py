"""Tests of daemon processes whose output is not read."""

import asyncio
import contextlib
import fcntl
import os
import signal
import sys
import tempfile
import unittest
from collections.abc import AsyncIterator, Iterator

import msgspec

from cassialever.gateway.settings import PATH_VARIABLE
from standins.listening import free_ports
from tests.fleet_helpers import settings_text
from tests.test_process_signals import OWN_DAEMON
from tests.test_telemetry import example_settings

#: Size of the pipes, in bytes; they are full from the start.
PIPE_SIZE = 4096
#: Longest time until a daemon has started, answered or ended, in seconds.
TIMEOUT = 20.0
#: Runs a daemon whose libraries report many failures.
NOISY_DAEMON = """
import logging
import sys
from cassialever import __main__
from cassialever.gateway.application import Gateway

start = Gateway.start

async def start_noisily(gateway):
    for number in range(1000):
        logging.getLogger('asyncio').error('failure %s', number)
    await start(gateway)

Gateway.start = start_noisily
sys.exit(__main__.main())
"""


@contextlib.contextmanager
def full_pipe() -> Iterator[int]:
    """Return the write end of a pipe that is never read."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_SIZE)
    os.write(writer, b'.' * PIPE_SIZE)
    try:
        yield writer
    finally:
        os.close(reader)
        os.close(writer)


@contextlib.asynccontextmanager
async def started(
    *arguments: str, **variables: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    with full_pipe() as output, full_pipe() as errors:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            env={**os.environ, **variables},
            stdout=output,
            stderr=errors,
        )
        try:
            yield process
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


async def status_line(port: int, path: str) -> bytes:
    """Return the status line of a daemon's answer, once it listens."""
    async with asyncio.timeout(TIMEOUT):
        while True:
            with contextlib.suppress(ConnectionRefusedError):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', port
                )
                break
            await asyncio.sleep(0.05)
        writer.write(f'GET {path} HTTP/1.1\r\nHost: a\r\n\r\n'.encode())
        line = await reader.readline()
    writer.close()
    return line


class UnreadOutputTest(unittest.IsolatedAsyncioTestCase):
    """Standard output and standard error are full pipes."""

    async def stop(self, process: asyncio.subprocess.Process) -> None:
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(TIMEOUT):
            self.assertEqual(await process.wait(), 0)

    async def test_own_daemon_does_not_wait_for_a_reader(self) -> None:
        # From the list of ends of a process: it hung, and SIGTERM with it.
        ports = free_ports(3)
        settings = example_settings()
        instance = msgspec.structs.replace(
            settings.instance,
            caller_port=ports[0],
            peer_port=ports[1],
            operator_port=ports[2],
        )
        settings = msgspec.structs.replace(settings, instance=instance)
        with tempfile.NamedTemporaryFile('wb', suffix='.jsonc') as file:
            file.write(msgspec.json.encode(settings))
            file.flush()
            arguments = ('-c', OWN_DAEMON, '--settings', file.name)
            async with started(*arguments) as process:
                line = await status_line(ports[2], '/health')
                self.assertIn(b' 200 ', line)
                await self.stop(process)

    async def test_daemon_with_noisy_libraries_serves(self) -> None:
        ports = free_ports(3)
        with tempfile.NamedTemporaryFile('w', suffix='.jsonc') as file:
            file.write(
                settings_text('127.0.0.1:9', (ports[0], ports[1], ports[2]))
            )
            file.flush()
            variables = {PATH_VARIABLE: file.name}
            async with started('-c', NOISY_DAEMON, **variables) as process:
                line = await status_line(ports[1], '/cassialever/readyz')
                self.assertIn(b' 503 ', line)
                await self.stop(process)


if __name__ == '__main__':
    unittest.main()
