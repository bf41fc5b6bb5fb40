"""Processes of daemons that are stopped and resumed while a target leaves."""

import asyncio
import pathlib
import signal
import tempfile
import unittest

from soak.fleet import DaemonProcess, SoakFleet
from soak.judging import DRAIN_BOUND
from tests.fleet_helpers import CONFIGURATION, until

#: For how long a process is stopped, in seconds, and what it does. Its tables
#: may be used after the shorter pause.
CASES = (
    (1.0, 'follows a lost one'),
    (3.0, 'leads'),
    (3.0, 'follows'),
    (3.0, 'follows a lost one'),
)
#: Kept connections, more than the targets have slots, and requests that are
#: sent at once on each.
CONNECTIONS = 40
PIPELINED = 2
#: How long a target takes for a request, in seconds.
SERVICE_TIME = 0.4
#: Requests outlast the pause.
PATIENT_ROUTE = {'timeout_ms': 9000, 'target_latency_ms': 6000}
#: Time in which a daemon that was resumed handles what came meanwhile, in
#: seconds.
HANDLING_TIME = 1.2


class Caller:
    """A caller with kept connections to one daemon."""

    def __init__(self, daemon: DaemonProcess) -> None:
        self._daemon = daemon
        self._writers: list[asyncio.StreamWriter] = []
        self._reading: list[asyncio.Task[bytes]] = []

    async def connect(self) -> None:
        for _ in range(CONNECTIONS):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self._daemon.ports[0]
            )
            self._writers.append(writer)
            self._reading.append(asyncio.create_task(reader.read()))

    def send(self, name: str) -> None:
        """Send some requests at once on each connection."""
        for place, writer in enumerate(self._writers):
            for number in range(PIPELINED):
                request_id = f'{self._daemon.name}-{name}-{place}-{number}'
                writer.write(
                    f'GET /issue/{request_id} HTTP/1.1\r\n'
                    'Host: issuance.example\r\nDeadline-Ms: 9000\r\n'
                    f'Attempt-Id: {request_id}\r\n\r\n'.encode()
                )

    def close(self) -> None:
        for reading in self._reading:
            reading.cancel()
        for writer in self._writers:
            writer.transport.abort()


class StoppedDaemonTest(unittest.IsolatedAsyncioTestCase):
    """A daemon stands still while a target says that it leaves."""

    async def stop_for(
        self,
        fleet: SoakFleet,
        stopped: DaemonProcess,
        pause: float,
        killed: DaemonProcess | None = None,
    ) -> None:
        """Have requests in the pipe before the pause and in it."""
        leaving = fleet.targets[-1]
        loop = asyncio.get_running_loop()
        arrivals = leaving.work.arrivals.unrefused
        arrivals.clear()
        caller = Caller(stopped)
        await caller.connect()
        caller.send('before')
        await until(lambda: arrivals)
        stopped.send(signal.SIGSTOP)
        if killed is not None:
            killed.send(signal.SIGKILL)
            await killed.wait_for_exit()
        fleet.publish_target(leaving, 'draining')
        notified_at = loop.time()
        await asyncio.sleep(pause)
        caller.send('meanwhile')
        resumed_at = loop.time()
        stopped.send(signal.SIGCONT)
        await asyncio.sleep(HANDLING_TIME)
        caller.close()
        late = [
            f'{one.request_id}: {one.at - resumed_at:.3f} s after the pause'
            for one in arrivals
            if one.at > max(notified_at + DRAIN_BOUND, resumed_at)
            and one.sender == stopped.name
        ]
        served = [
            one.request_id
            for target in fleet.targets
            for one in target.work.arrivals.unrefused
            if one.at > resumed_at and one.sender == stopped.name
        ]
        if killed is not None:
            await killed.start(killed.store_proxy)
            await killed.wait_until_listening()
        fleet.publish_target(leaving)
        await asyncio.sleep(DRAIN_BOUND)
        self.assertEqual(late, [])
        self.assertTrue(served)

    async def start(self, fleet: SoakFleet) -> None:
        """Start daemons whose requests outlast a pause."""
        await fleet.start()
        for daemon in fleet.daemons:
            await daemon.wait_until_listening()
        for target in fleet.targets:
            target.faults.service_time = SERVICE_TIME
        routes = CONFIGURATION['routes']
        issue = {**routes['r-issue'], **PATIENT_ROUTE}
        fleet.write_configuration(
            {
                **CONFIGURATION,
                'version': 'r2',
                'routes': {**routes, 'r-issue': issue},
            }
        )
        await until(lambda: fleet.leader() is not None)
        await asyncio.sleep(DRAIN_BOUND)

    async def test_target_left_while_a_daemon_was_stopped(self) -> None:
        """It got no news of the leader that was lost meanwhile, too."""
        with tempfile.TemporaryDirectory() as folder:
            fleet = SoakFleet(pathlib.Path(folder), 3, unkeyed=3)
            try:
                await self.start(fleet)
                for pause, case in CASES:
                    leader = fleet.leader()
                    follower = next(
                        one for one in fleet.daemons if one is not leader
                    )
                    with self.subTest(pause=pause, case=case):
                        await self.stop_for(
                            fleet,
                            leader if case == 'leads' else follower,
                            pause,
                            leader if case.endswith('one') else None,
                        )
            finally:
                await fleet.stop()


if __name__ == '__main__':
    unittest.main()
