"""Errors that libraries catch reach the log as numbered events."""

import asyncio
import io
import linecache
import logging
import sys
import unittest
from unittest import mock

from cassialever.events import Event
from cassialever.fleet import messages, relay
from cassialever.fleet.message_version import MESSAGE_VERSION
from cassialever.gateway.metrics import MetricsServer
from cassialever.telemetry import stdlib_log
from cassialever.telemetry.stdlib_log import (
    MAX_PLACES,
    LibraryLogHandler,
    errors_by_place,
)
from standins.listening import free_ports
from tests.fleet_helpers import (
    ManualClock,
    configured_view,
    make_settings,
    until,
)


class Unprintable(Exception):
    """An error without a text."""

    def __repr__(self) -> str:
        raise ZeroDivisionError


class LibraryLogCase(unittest.TestCase):
    """A handler whose events are kept, beside none of the test runner."""

    def setUp(self) -> None:
        self.recorded: list[tuple[Event, dict[str, object]]] = []
        patched = mock.patch.object(stdlib_log, 'record', self.keep)
        patched.start()
        self.addCleanup(patched.stop)
        self.addCleanup(errors_by_place.clear)
        errors_by_place.clear()
        self.handler = LibraryLogHandler()
        self.handler.install()
        self.addCleanup(self.handler.uninstall)

    def keep(self, event: Event, **fields: object) -> None:
        self.recorded.append((event, fields))

    def raise_in(self, logger: str, error: Exception) -> None:
        try:
            raise error
        except Exception:
            logging.getLogger(logger).exception('caught')

    def raise_silently(self, error: Exception) -> None:
        """Log an error for no other handler, as these format it too."""
        try:
            raise error
        except Exception:
            caught = logging.getLogger('library').makeRecord(
                'library', logging.ERROR, '', 0, '', (), sys.exc_info()
            )
        self.handler.handle(caught)


class PlacesTest(LibraryLogCase):
    """Events are bounded, counts are exact."""

    def test_errors_of_one_place_are_one_event_and_all_are_counted(
        self,
    ) -> None:
        for _ in range(5):
            self.raise_in('library', ValueError('x'))
        self.assertEqual(len(self.recorded), 1)
        event, fields = self.recorded[0]
        self.assertIs(event, Event.exception_unhandled)
        self.assertIn("ValueError('x')", str(fields['reason']))
        self.assertIn('raise_in', str(fields['place']))
        self.assertEqual(errors_by_place.total(), 5)

    def test_skipped_errors_are_told_by_the_next_event(self) -> None:
        with mock.patch.object(stdlib_log.time, 'monotonic') as now:
            for now.return_value in (10, 10.5, 10.9, 11.1):
                self.raise_in('library', ValueError())
        self.assertEqual(
            [fields['skipped'] for _, fields in self.recorded], [0, 2]
        )

    def test_places_are_bounded(self) -> None:
        for number in range(3 * MAX_PLACES):
            logging.getLogger(f'library.{number}').error('failed')
        self.assertLessEqual(len(errors_by_place), MAX_PLACES + 1)
        self.assertEqual(errors_by_place.total(), 3 * MAX_PLACES)

    def test_error_after_a_warning_is_an_event(self) -> None:
        """It had none while the warning was less than a second old."""
        logger = logging.getLogger('library')
        logger.warning('slow')
        logger.error('failed')
        events = [event for event, _ in self.recorded]
        self.assertEqual(
            events, [Event.library_warned, Event.exception_unhandled]
        )

    def test_error_reads_no_source_file(self) -> None:
        """Each error had the loop wait for the disk."""
        with mock.patch.object(linecache, 'checkcache') as checked:
            with mock.patch.object(linecache, 'updatecache') as read:
                self.raise_silently(ValueError())
        checked.assert_not_called()
        read.assert_not_called()
        self.assertRegex(
            str(self.recorded[0][1]['place']),
            r'^test_stdlib_log\.py:[0-9]+ raise_silently$',
        )

    def test_record_that_cannot_be_formatted_raises_nothing(self) -> None:
        """The exception went to the library, and ended what it had caught."""
        logger = logging.getLogger('library')
        with mock.patch.object(sys, 'stderr', io.StringIO()) as stderr:
            logger.error('%d left', 'x')
            self.raise_in('library', Unprintable())
        self.assertIn('%d left', stderr.getvalue())
        self.assertIn('ZeroDivisionError', stderr.getvalue())
        self.assertEqual(errors_by_place.total(), 2)

    def test_cancelled_connection_is_no_error(self) -> None:
        """Each connection that was open at a stop counted as a fault."""
        runner = logging.getLogger('asyncio')
        with mock.patch.object(runner, 'handlers', []):
            asyncio.run(self.end_beside_a_connection())
        self.assertFalse(errors_by_place)
        self.assertLessEqual(
            {event for event, _ in self.recorded}, {Event.library_warned}
        )

    def test_malformed_request_for_metrics_is_no_error(self) -> None:
        """Any client could raise the count, which is to alert on."""
        server = logging.getLogger('aiohttp.server')
        with mock.patch.object(server.parent, 'handlers', []):
            asyncio.run(self.send_rubbish())
        self.assertFalse(errors_by_place)
        events = [event for event, _ in self.recorded]
        self.assertEqual(events, [Event.library_warned])

    async def send_rubbish(self) -> None:
        (port,) = free_ports(1)
        settings = make_settings('127.0.0.1:9', (port, 1, 2))
        metrics = MetricsServer(settings, list)
        runner = await metrics._listen('127.0.0.1', port)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'GET / HTTP/9.9\r\n\r\n')
        self.assertIn(b' 400 ', await reader.read())
        writer.close()
        await runner.cleanup()

    def test_callback_that_asks_a_cancelled_task_is_at_fault(self) -> None:
        """Any cancellation passed for the one of a stream."""

        async def cancel() -> None:
            task = asyncio.create_task(asyncio.sleep(60))
            task.add_done_callback(lambda ended: ended.exception())
            task.cancel()
            await asyncio.wait([task])
            await asyncio.sleep(0)

        runner = logging.getLogger('asyncio')
        with mock.patch.object(runner, 'handlers', []):
            asyncio.run(cancel())
        self.assertEqual(errors_by_place.total(), 1)

    async def end_beside_a_connection(self) -> None:
        async def serve(*_: object) -> None:
            accepted.set()
            await asyncio.Event().wait()

        accepted = asyncio.Event()
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        await asyncio.open_connection(*server.sockets[0].getsockname())
        await accepted.wait()

    def test_warning_is_no_error(self) -> None:
        logging.getLogger('library').warning('slow')
        self.assertEqual(self.recorded[0][0], Event.library_warned)
        self.assertFalse(errors_by_place)


class ConnectionTest(LibraryLogCase):
    """The task of a connection between daemons raises."""

    def test_failed_link_is_an_event(self) -> None:
        """Links of 162 daemons ended so without a line in the log."""
        runner = logging.getLogger('asyncio')
        with mock.patch.object(runner, 'handlers', []):
            asyncio.run(self.fail_link())
        events = [event for event, _ in self.recorded]
        self.assertEqual(events, [Event.exception_unhandled])
        self.assertIn('fault of the test', str(self.recorded[0][1]))

    async def fail_link(self) -> None:
        view = configured_view(ManualClock(), targets=0)
        (port,) = free_ports(1)
        hello = messages.Hello(
            'edge-1',
            1,
            f'127.0.0.1:{port}',
            {},
            message_version=MESSAGE_VERSION,
        )
        accepting = relay.Relay(view, hello)
        fault = ValueError('fault of the test')
        with mock.patch.object(accepting, '_send_tables', side_effect=fault):
            await accepting.start()
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(messages.encode(hello))
            await reader.read()
            await until(lambda: bool(self.recorded))
        writer.close()
        await accepting.stop()


if __name__ == '__main__':
    unittest.main()
