"""Tests of a planned stop, from its signal to the end of the process."""

import asyncio
import base64
import contextlib
import os
import pathlib
import signal
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import aiohttp
import msgspec

from cassialever.exceptions import InvariantError
from cassialever.fleet.lease import (
    EMPTY_TRANSACTION,
    LEASE_ROW,
    LEASE_TABLE,
    Lease,
)
from cassialever.fleet.membership import MemberState
from cassialever.gateway.application import ACCEPTING_SHARE, Gateway
from cassialever.process_signals import ProcessSignals
from soak.__main__ import START_TIMEOUT
from soak.callers import Callers
from soak.fleet import SoakFleet
from tests.fleet_helpers import (
    CONFIGURATION,
    ROUTES,
    Deployment,
    deployment,
    until,
)
from tests.gateway_helpers import (
    ISSUE_HEADERS,
    send_request,
    wait_for_keys,
)

#: Time from the signal to the kill, as in the settings of the tests.
GRACE = 6.0
#: Longest time from the signal to the drain, in seconds.
ACCEPTING_TIME = GRACE * ACCEPTING_SHARE
#: What a busy computer may add to a wait, in seconds.
SLACK = 0.5
#: Longer than any stop that works, in seconds.
STOP_TIMEOUT = 3 * GRACE
#: Service time of a request that is open until the drain has begun.
LONG_SERVICE_TIME = ACCEPTING_TIME + 0.5
#: Time between two signals of a series, in seconds.
SIGNAL_INTERVAL = 0.02


def run_until_stopped(gateway: Gateway) -> asyncio.Task[bool]:
    """Do what `Gateway.run` does after the start."""
    return asyncio.create_task(
        gateway.core.run_until(
            gateway._stop_requested,
            gateway.stop,
        )
    )


def request_stop(gateway: Gateway) -> None:
    """Do what the handler of SIGTERM does."""
    gateway._stop_requested.set()


async def open_request(
    system: Deployment, service_time: float
) -> asyncio.Task[aiohttp.ClientResponse]:
    """Send a request that may run once, and wait until it runs."""
    gateway = system.gateways[0]
    target = system.targets[-1]
    target.faults.service_time = service_time
    await until(lambda: gateway.server.is_ready)
    pending = asyncio.create_task(
        send_request(
            gateway,
            '/issue/',
            {**ISSUE_HEADERS, 'Deadline-Ms': '9000'},
            method='POST',
        )
    )
    await until(lambda: bool(target.executed_ids))
    return pending


async def extend_route(system: Deployment) -> None:
    """Let requests that may run once take longer than a stop."""
    route = {**ROUTES['r-issue'], 'timeout_ms': 9000}
    routes = {**ROUTES, 'r-issue': route}
    system.store.put(
        'op', 'config', {**CONFIGURATION, 'version': 'r8', 'routes': routes}
    )
    view = system.gateways[0].view
    await until(
        lambda: (
            view.configuration is not None and view.configuration.version == 8
        )
    )


async def raise_fault(*_: object) -> None:
    """Fail as a part with a fault does."""
    raise InvariantError('a part has a fault')


async def add_no_fault() -> None:
    """Let the stop go on."""


class StopCase(unittest.IsolatedAsyncioTestCase):
    """A daemon that leads, with a request that runs until it drains."""

    async def assert_answered(
        self,
        system: Deployment,
        after_signal: Callable[[], Awaitable[None]],
    ) -> None:
        """Assert that an open request is answered and the daemon stops."""
        gateway = system.gateways[0]
        pending = await open_request(system, LONG_SERVICE_TIME)
        running = run_until_stopped(gateway)
        request_stop(gateway)
        await until(lambda: gateway.server.is_stopping)
        await after_signal()
        response = await asyncio.wait_for(pending, STOP_TIMEOUT)
        self.assertEqual(response.status, 200)
        self.assertTrue(await asyncio.wait_for(running, STOP_TIMEOUT))


class ResignTest(StopCase):
    """A leader that stops while the store does not do its part."""

    async def drain_delay(self, system: Deployment) -> float:
        """Return the time from the signal to the start of the drain."""
        gateway = system.gateways[0]
        loop = asyncio.get_running_loop()
        started: list[float] = []

        async def note_drain(timeout: float) -> None:
            started.append(loop.time())

        with mock.patch.object(gateway.server, 'drain', note_drain):
            stopped_at = loop.time()
            async with asyncio.timeout(STOP_TIMEOUT):
                await gateway.stop()
        return started[0] - stopped_at

    async def test_store_that_hangs_does_not_delay_the_drain(self) -> None:
        async with deployment() as system:
            await wait_for_keys(system.gateways[0])
            system.store.call_delay = 60
            # A renewal of the lease is in progress by then.
            await asyncio.sleep(SLACK)
            delay = await self.drain_delay(system)
        self.assertLess(delay, ACCEPTING_TIME + SLACK)

    async def test_writes_that_wait_do_not_delay_the_drain(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            system.store.call_delay = 60
            term = gateway.core.membership.leader_term
            assert term is not None
            writes = [
                asyncio.create_task(term.commit(EMPTY_TRANSACTION))
                for _ in range(4)
            ]
            await asyncio.sleep(0)
            delay = await self.drain_delay(system)
            # The store's session is closed by now.
            await asyncio.gather(*writes, return_exceptions=True)
        self.assertLess(delay, ACCEPTING_TIME + SLACK)

    async def test_slow_store_still_gets_the_resignation(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            self.assertIs(gateway.core.membership.state, MemberState.leading)
            system.store.call_delay = 0.5
            await gateway.stop()
            row = system.store.rows.row_by_name[LEASE_TABLE, LEASE_ROW]
        assert row.value is not None
        lease = msgspec.msgpack.decode(base64.b64decode(row.value), type=Lease)
        self.assertTrue(lease.is_resigned)

    async def test_failed_resignation_does_not_end_the_stop(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            await extend_route(system)
            membership = gateway.core.membership
            with mock.patch.object(membership, 'resign', raise_fault):
                await self.assert_answered(system, add_no_fault)


class FailingPartTest(StopCase):
    """A part that fails while the daemon stops."""

    async def test_failed_background_task_does_not_cut_answers(self) -> None:
        async with deployment() as system:
            await extend_route(system)

            async def fail() -> None:
                system.gateways[0].core.tasks.start(raise_fault())

            await self.assert_answered(system, fail)

    async def test_part_that_fails_to_stop_does_not_keep_others(self) -> None:
        """Each part in turn; the session to the targets is the witness."""
        for find_part in (
            lambda gateway: gateway.server,
            lambda gateway: gateway._metrics,
            lambda gateway: gateway.core._relay,
            lambda gateway: gateway.core._target_client,
            lambda gateway: gateway.core.exchanges.hop_server,
            lambda gateway: gateway.core.exchanges._hops,
        ):
            async with deployment() as system:
                gateway = system.gateways[0]
                await until(lambda: gateway.server.is_ready)
                part = find_part(gateway)
                with (
                    self.subTest(part=type(part).__name__),
                    mock.patch.object(part, 'stop', raise_fault),
                ):
                    await gateway.abort()
                    self.assertTrue(
                        gateway.core.exchanges._sender._session.closed
                    )
                    self.assertTrue(gateway.core.store._session.closed)
                await gateway.abort()

    async def test_failed_drain_does_not_keep_parts_from_stopping(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            with mock.patch.object(gateway.server, 'drain', raise_fault):
                await gateway.stop()
            self.assertTrue(gateway.core.exchanges._sender._session.closed)

    async def test_task_that_fails_with_the_signal_does_not_cut_answers(
        self,
    ) -> None:
        async with deployment() as system:
            await extend_route(system)
            gateway = system.gateways[0]
            pending = await open_request(system, LONG_SERVICE_TIME)
            running = run_until_stopped(gateway)
            await asyncio.sleep(0)
            request_stop(gateway)
            gateway.core.failed.set()
            response = await asyncio.wait_for(pending, STOP_TIMEOUT)
            self.assertEqual(response.status, 200)
            self.assertTrue(await asyncio.wait_for(running, STOP_TIMEOUT))


class TimeTest(StopCase):
    """The grace period is kept, also by a daemon that is late."""

    async def test_late_loop_leaves_less_time_for_the_drain(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            drain = mock.AsyncMock()
            with mock.patch.object(gateway.server, 'drain', drain):
                started_at = time.monotonic()
                stopping = asyncio.create_task(gateway.stop())
                await asyncio.sleep(0.1)
                time.sleep(ACCEPTING_TIME + 1)
                while not drain.called:
                    await asyncio.sleep(0.01)
                begun = time.monotonic() - started_at
                await stopping
            self.assertLess(begun + drain.call_args.args[0], GRACE)

    async def test_request_of_metrics_does_not_outlast_the_grace(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            hanging = asyncio.Event()

            async def hang(_: object) -> None:
                hanging.set()
                await asyncio.sleep(60)

            gateway._metrics._runner.server.request_handler = hang
            port = gateway.settings.metrics_port
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n')
            await hanging.wait()
            async with asyncio.timeout(GRACE):
                await gateway.stop()
            writer.close()


class SignalTest(StopCase):
    """Signals before and during a stop."""

    def setUp(self) -> None:
        numbers = (signal.SIGTERM, signal.SIGHUP)
        for number in numbers:
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.signals = ProcessSignals(numbers)
        self.signals.install()

    async def test_signal_before_the_daemon_listens_stops_it(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await gateway.abort()
            changed = Gateway(gateway.settings)
            system.gateways[0] = changed
            start = changed.core.start

            async def start_slowly() -> None:
                os.kill(os.getpid(), signal.SIGTERM)
                await asyncio.sleep(0.1)
                await start()

            with mock.patch.object(changed.core, 'start', start_slowly):
                self.assertTrue(
                    await asyncio.wait_for(
                        changed.run(self.signals), STOP_TIMEOUT
                    )
                )

    async def test_further_signals_do_not_cut_answers(self) -> None:
        async with deployment() as system:
            await extend_route(system)

            async def send_more() -> None:
                for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                    os.kill(os.getpid(), number)
                    await asyncio.sleep(SIGNAL_INTERVAL)

            watcher = system.gateways[0].signal_watcher(self.signals)
            watcher.start()
            try:
                await self.assert_answered(system, send_more)
            finally:
                watcher.stop()

    async def test_signals_until_the_end_do_not_end_the_process(self) -> None:
        """Both signals, each millisecond, from the first to the exit."""
        with tempfile.TemporaryDirectory() as folder:
            fleet = SoakFleet(pathlib.Path(folder), daemons=1)
            await fleet.start()
            try:
                callers = Callers(fleet, 1)
                self.assertTrue(await callers.wait_until_served(START_TIMEOUT))
                daemon = fleet.daemons[0]
                assert daemon._process is not None
                # Popen's own method would collect the exit status.
                process = os.pidfd_open(daemon._process.pid)
                self.addCleanup(os.close, process)
                waiting = asyncio.create_task(daemon.wait_for_exit())
                async with asyncio.timeout(GRACE):
                    while not waiting.done():
                        with contextlib.suppress(ProcessLookupError):
                            signal.pidfd_send_signal(process, signal.SIGTERM)
                            signal.pidfd_send_signal(process, signal.SIGHUP)
                        await asyncio.sleep(0.001)
                self.assertEqual(waiting.result(), 0)
            finally:
                await fleet.stop()


if __name__ == '__main__':
    unittest.main()
