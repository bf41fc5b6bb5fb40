"""Tests of daemons that end because a part has failed."""

import asyncio
import signal
import unittest

from cassialever.gateway.application import Gateway
from cassialever.process_signals import ProcessSignals
from standins.listening import free_ports
from tests.fleet_helpers import make_settings, until

#: Longest time until a daemon has started or ended, in seconds.
TIMEOUT = 10.0


async def raise_fault() -> None:
    raise RuntimeError('a fault of the program')


class FailedPartTest(unittest.IsolatedAsyncioTestCase):
    """A background task that fails while a daemon serves."""

    async def test_daemon_with_a_failed_part_closes_its_sessions(self) -> None:
        # From the list of ends of a process: "Unclosed client session".
        number = signal.SIGTERM
        self.addCleanup(signal.signal, number, signal.getsignal(number))
        signals = ProcessSignals([number])
        signals.install()
        ports = free_ports(3)
        gateway = Gateway(
            make_settings('127.0.0.1:9', (ports[0], ports[1], ports[2]))
        )
        running = asyncio.create_task(gateway.run(signals))
        await until(lambda: gateway.server._callers._socket is not None)
        gateway.core.tasks.start(raise_fault())
        self.assertFalse(await asyncio.wait_for(running, TIMEOUT))
        self.assertTrue(gateway.core.store._session.closed)
        self.assertTrue(gateway.core._target_client._session.closed)
        self.assertTrue(gateway.core.exchanges._sender._session.closed)


if __name__ == '__main__':
    unittest.main()
