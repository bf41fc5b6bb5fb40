"""Tests of the request path over real sockets, with stand-in servers."""

import asyncio
import math
import os
import signal
import tempfile
import unittest
from unittest import mock

import aiohttp
import logbook

from cassialever.fleet.membership import MemberState
from cassialever.gateway import metrics
from cassialever.gateway.settings import PATH_VARIABLE
from cassialever.process_signals import ProcessSignals
from standins.keyed_target import TargetServer
from tests.fleet_helpers import (
    deployment,
    settings_text,
    until,
)
from tests.gateway_helpers import (
    ISSUE_HEADERS,
    LOOKUP_HEADERS,
    readiness_status,
    send_request,
    wait_for_keys,
)
from tests.hop_helpers import LoggedEvents, hang, raw_server, readdress


class RequestTest(unittest.IsolatedAsyncioTestCase):
    """One daemon and its targets."""

    async def test_request_reaches_the_owner_unchanged(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            path = '/lookup/a%2Fb/../c?x=%20y&z'
            async with aiohttp.ClientSession() as session:
                from yarl import URL

                base = f'http://{gateway.settings.listen.callers}'
                async with session.get(
                    URL(base + path, encoded=True),
                    headers={**LOOKUP_HEADERS, 'Attempt-Id': 'a1'},
                ) as response:
                    body = await response.text()
            self.assertEqual(response.status, 200)
            self.assertIn(path, body)
            self.assertEqual(response.headers['Attempt-Id'], 'a1')
            self.assertEqual(response.headers['Response-Seal'], 'seal.a1')
            owner = next(
                target for target in system.targets if target.executed_ids
            )
            self.assertTrue(owner.holds(7))
            seen = owner.received_headers[-1]
            self.assertLessEqual(int(seen['Deadline-Ms']), 2000)

    async def test_body_is_passed_on(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            async with aiohttp.ClientSession() as session:
                async with session.post(
                    f'http://{gateway.settings.listen.callers}/issue/1',
                    headers={**ISSUE_HEADERS, 'Attempt-Id': 'b1'},
                    data=b'x' * 5000,
                ) as response:
                    body = await response.read()
            self.assertEqual(body.count(b'x'), 5000)

    async def test_unknown_route_is_answered_with_404(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            log = logbook.TestHandler(level=logbook.INFO)
            with log.applicationbound():
                response = await send_request(
                    gateway, '/nowhere/', LOOKUP_HEADERS
                )
            self.assertEqual(response.status, 404)
        (refused,) = (
            one.extra['fields']
            for one in log.records
            if one.extra['name'] == 'request_refused'
        )
        self.assertEqual(refused['configuration'], 7)
        self.assertEqual(refused['tables_from'], 'the store')
        self.assertEqual(refused['without_leader'], 0)

    async def test_age_of_tables_is_infinite_when_the_leader_is_lost(
        self,
    ) -> None:
        """Each request was logged as sent by old tables until the next read."""
        async with deployment(gateways=2) as system:
            await until(lambda: all(g.server.is_ready for g in system.gateways))
            (follower,) = (
                gateway
                for gateway in system.gateways
                if gateway.core.membership.state is not MemberState.leading
            )
            member = follower.core.membership
            await until(member.link.is_relaying)
            contact = member.contact
            await until(lambda: contact.tables_age(math.inf) < math.inf)
            with mock.patch.object(
                member.link, 'is_relaying', return_value=False
            ):
                self.assertEqual(member.tables_age(), math.inf)
                self.assertLess(follower.core.forwarder.tables().age, 5)

    async def test_without_configuration_requests_are_refused(self) -> None:
        async with deployment(gateways=0) as system:
            system.store.error_status = 503
            gateway = await system.add_gateway('edge-0')
            response = await send_request(gateway, '/lookup/', LOOKUP_HEADERS)
            self.assertEqual(response.status, 503)
            self.assertIn('Retry-After', response.headers)
            self.assertEqual(await readiness_status(gateway), 503)

    async def test_reset_unsafe_request_is_not_retried(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            target = system.targets[-1]
            target.faults.resets_connections = True
            response = await send_request(
                gateway, '/issue/', ISSUE_HEADERS, method='POST'
            )
            # It is not known whether the request ran, so the answer must not
            # promise that it did not, and it was not retried.
            self.assertEqual(response.status, 502)
            self.assertNotIn('Retry-After', response.headers)
            self.assertEqual(len(target.received_headers), 1)

    async def test_shed_request_is_refused_with_retry_after(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            target = system.targets[-1]
            target.faults.shed_status = 503
            response = await send_request(
                gateway, '/issue/', ISSUE_HEADERS, method='POST'
            )
            self.assertEqual(response.status, 503)
            self.assertIn('Retry-After', response.headers)
            self.assertEqual(target.executed_ids, [])

    async def test_shed_request_goes_to_another_target(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            second = TargetServer('i1', 'issuance', is_keyed=False)
            await system.add_target(second)
            system.targets[-2].faults.shed_status = 503
            await until(lambda: 'i1' in gateway.view.targets.by_id)
            # Retries need the number of daemons that share their budget.
            await until(lambda: gateway.core.forwarder.daemon_count == 1)
            for number in range(6):
                response = await send_request(
                    gateway,
                    '/issue/',
                    ISSUE_HEADERS,
                    f'c{number}',
                    method='POST',
                )
                self.assertEqual(response.status, 200)
            self.assertEqual(len(second.executed_ids), 6)

    async def test_answer_of_another_request_is_never_delivered(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            system.targets[-1].faults.sends_wrong_id = True
            response = await send_request(
                gateway, '/issue/', ISSUE_HEADERS, method='POST'
            )
            self.assertEqual(response.status, 502)
            self.assertNotIn('Response-Seal', response.headers)

    async def test_caller_that_disconnects_frees_the_target(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            system.targets[-1].faults.service_time = 30
            with self.assertRaises(asyncio.TimeoutError):
                await send_request(
                    gateway,
                    '/issue/',
                    ISSUE_HEADERS,
                    method='POST',
                    timeout=aiohttp.ClientTimeout(total=0.2),
                )
            await until(lambda: not gateway.server.open_requests)
            self.assertEqual(gateway.core.loads.of('i0').open_requests, 0)

    async def test_stalled_request_ends_at_route_time_limit(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            system.targets[-1].faults.service_time = 30
            loop = asyncio.get_running_loop()
            sent_at = loop.time()
            response = await send_request(
                gateway, '/issue/', ISSUE_HEADERS, method='POST'
            )
            self.assertIn(response.status, (502, 504))
            # The route's time limit is 1.2 s; the platform allows 0.5 s more.
            self.assertLess(loop.time() - sent_at, 1.7)

    async def test_metrics_show_requests_and_configuration(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            await send_request(gateway, '/issue/', ISSUE_HEADERS, method='POST')
            port = gateway.settings.metrics_port
            url = f'http://127.0.0.1:{port}/metrics'
            async with aiohttp.ClientSession() as session:
                async with session.get(url) as response:
                    text = await response.text()
            self.assertRegex(text, r'requests_served\{[^}]*\} 1.0')
            self.assertRegex(text, r'configuration_version\{[^}]*\} 7.0')
            self.assertRegex(text, r'seconds_without_leader\{[^}]*\} 0.0')
            self.assertRegex(text, r'tables_age_seconds\{[^}]*\} \d')
            self.assertRegex(
                text, r'tables_age_by_way_seconds\{[^}]*way="store"[^}]*\} \d'
            )

    async def test_two_first_requests_for_metrics_get_each_once(self) -> None:
        """Two exporters showed each metric twice from then on."""
        async with deployment() as system:
            port = system.gateways[0].settings.metrics_port
            url = f'http://127.0.0.1:{port}/metrics'

            async def scrape() -> None:
                async with aiohttp.ClientSession() as session:
                    async with session.get(url) as response:
                        self.assertEqual(response.status, 200)

            make = metrics._Exporter
            with mock.patch.object(
                metrics, '_Exporter', side_effect=make
            ) as made:
                await asyncio.gather(scrape(), scrape())
            made.assert_called_once()

    async def test_metrics_show_by_which_fact_keys_were_freed(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            draining = system.targets[0]
            system.store.put(
                'servers', draining.target_id, draining.entry('draining')
            )
            counters = gateway.core.key_assigner.counters
            await until(lambda: counters.freed_by_fact['released'] > 0)
            counters.failed_by_outcome['ended'] += 1
            port = gateway.settings.metrics_port
            url = f'http://127.0.0.1:{port}/metrics'
            async with aiohttp.ClientSession() as session:
                async with session.get(url) as response:
                    text = await response.text()
            self.assertRegex(
                text, r'keys_freed\{[^}]*fact="released"[^}]*\} [1-9]'
            )
            self.assertRegex(
                text, r'key_calls_failed\{[^}]*end="ended"[^}]*\} 1.0'
            )

    async def test_lines_and_metrics_tell_refusals_of_owners_apart(
        self,
    ) -> None:
        for target_id, refusal, answered_by in (
            ('x9', 'replaced', 'x9'),
            ('k0', 'key_not_held', None),
        ):
            async with deployment(keyed=1) as system:
                gateway = system.gateways[0]
                await wait_for_keys(gateway)
                (owner,) = system.targets[:1]
                started_at = gateway.view.targets.by_id['k0'].started_at
                owner.keys.clear()
                owner.target_id = target_id
                with self.subTest(refusal=refusal), LoggedEvents() as logged:
                    await send_request(gateway, '/lookup/', LOOKUP_HEADERS)
                    line = logged.fields('attempt_failed')[0]
                    self.assertEqual(line['refusal'], refusal)
                    self.assertEqual(line['answered_by'], answered_by)
                    self.assertEqual(line['started_at'], started_at)
                    port = gateway.settings.metrics_port
                    url = f'http://127.0.0.1:{port}/metrics'
                    async with (
                        aiohttp.ClientSession() as session,
                        session.get(url) as response,
                    ):
                        text = await response.text()
                    self.assertRegex(
                        text,
                        rf'refused_by_target\{{[^}}]*refusal="{refusal}"'
                        r'[^}]*service="registry"[^}]*\} [1-9]',
                    )

    async def test_draining_target_gets_no_request(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            second = TargetServer('i1', 'issuance', is_keyed=False)
            await system.add_target(second)
            await until(lambda: 'i1' in gateway.view.targets.by_id)
            system.store.put('servers', 'i1', second.entry('draining'))
            await until(
                lambda: len(gateway.view.targets.usable('issuance')) == 1,
            )
            for number in range(8):
                await send_request(
                    gateway,
                    '/issue/',
                    ISSUE_HEADERS,
                    f'd{number}',
                    method='POST',
                )
            self.assertEqual(second.executed_ids, [])

    async def test_keys_of_a_draining_target_move_with_a_handover(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            draining, other = system.targets[:2]
            system.store.put(
                'servers', draining.target_id, draining.entry('draining')
            )
            await until(lambda: other.held_key_count() == 65536)
            self.assertEqual(draining.held_key_count(), 0)
            response = await send_request(gateway, '/lookup/', LOOKUP_HEADERS)
            self.assertEqual(response.status, 200)


class LateBodyTest(unittest.IsolatedAsyncioTestCase):
    """A body that arrives when its caller waits no longer."""

    async def test_late_body_does_not_hold_a_request_for_ever(self) -> None:
        """Its target, which is silent, would be waited for without limit."""
        async with deployment() as system, raw_server(hang) as address:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            readdress(gateway, 'i0', address)
            host, port = gateway.settings.listen.callers.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            headers = {
                **ISSUE_HEADERS, 'Deadline-Ms': '200', 'Content-Length': '4'
            }  # fmt: skip
            lines = [f'{name}: {text}' for name, text in headers.items()]
            head = '\r\n'.join(['POST /issue/1 HTTP/1.1', *lines])
            writer.write(f'{head}\r\n\r\n'.encode())
            await asyncio.sleep(0.5)
            writer.write(b'body')
            status_line = await asyncio.wait_for(reader.readline(), 1)
            self.assertIn(b'503', status_line)
            writer.close()


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Stopping and reloading a daemon."""

    async def test_open_request_is_answered_and_idle_connections_end(
        self,
    ) -> None:
        # A request sent on a connection that had been idle since before the
        # stop was cut off (counted as LOST on tarifa-plata, hunt-4f1b-3).
        async with deployment() as system:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            host, port = gateway.settings.listen.callers.split(':')
            idle, idle_writer = await asyncio.open_connection(host, int(port))
            system.targets[-1].faults.service_time = 0.4
            pending = asyncio.create_task(
                send_request(gateway, '/issue/', ISSUE_HEADERS, method='POST'),
            )
            await until(lambda: gateway.server.open_requests == 1)
            gateway.server.is_stopping = True
            finishing = asyncio.create_task(gateway.server.drain(3))
            self.assertEqual(await asyncio.wait_for(idle.read(), 2), b'')
            idle_writer.close()
            response = await pending
            self.assertEqual(response.status, 200)
            self.assertEqual(response.headers['Connection'], 'close')
            with self.assertRaises(OSError):
                await send_request(
                    gateway, '/issue/', ISSUE_HEADERS, 'a2', method='POST'
                )
            await asyncio.wait_for(finishing, 3)

    async def test_settings_are_reloaded_while_serving(self) -> None:
        # SIGHUP ended the process (counted as LOST on qcc-gateway, mix --seed
        # 624579761430 and 760173610476).
        async with deployment() as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            signals = ProcessSignals([signal.SIGHUP])
            self.addCleanup(
                signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP)
            )
            signals.install()
            watcher = gateway.signal_watcher(signals)
            watcher.start()
            with tempfile.NamedTemporaryFile('w', suffix='.jsonc') as file:
                with mock.patch.dict(os.environ, {PATH_VARIABLE: file.name}):
                    os.kill(os.getpid(), signal.SIGHUP)
                    await asyncio.sleep(0.1)
                    # An empty file is invalid, so the settings stay.
                    self.assertEqual(
                        gateway.core.store.address, system.store.address
                    )
                    file.write(settings_text(system.store.address, (1, 2, 3)))
                    file.flush()
                    gateway.core.store.address = '127.0.0.1:9'
                    os.kill(os.getpid(), signal.SIGHUP)
                    await until(
                        lambda: (
                            gateway.core.store.address == system.store.address
                        ),
                    )
            watcher.stop()
            response = await send_request(gateway, '/lookup/', LOOKUP_HEADERS)
            self.assertEqual(response.status, 200)

    async def test_stopping_daemon_is_not_ready(self) -> None:
        async with deployment() as system:
            gateway = system.gateways[0]
            await until(lambda: gateway.server.is_ready)
            self.assertEqual(await readiness_status(gateway), 200)
            gateway.server.is_stopping = True
            self.assertEqual(await readiness_status(gateway), 503)


if __name__ == '__main__':
    unittest.main()
