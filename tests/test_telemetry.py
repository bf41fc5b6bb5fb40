"""Tests of logs, metrics, gauges and traces."""

import io
import json
import logging
import pathlib
import unittest
from unittest import mock
from unittest.mock import Mock

import msgspec
from opentelemetry.metrics import CallbackOptions
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind
from cassialever.events import Event, record
from cassialever.exceptions import InvariantError
from cassialever.invariants import Invariant, check
from cassialever.operators.view import Status, TargetStatus
from cassialever.settings import Settings, load_settings
from cassialever.telemetry.gauges import StatusGauges
from cassialever.telemetry.stdlib_log import errors_by_place
from cassialever.telemetry.logs import REDACTED, Log
from cassialever.telemetry.metrics import Metrics, _read_counter
from cassialever.telemetry.spans import Hop, validated_traceparent
from cassialever.telemetry.tracing import Tracing
from cassialever.types import (
    DataCentreId,
    InstanceId,
    ServiceName,
    TargetId,
)

EXAMPLE = (
    pathlib.Path(__file__).parent.parent
    / 'examples'
    / 'qazaq-coldline.settings.jsonc'
)
TRACEPARENT = f'00-{"a" * 32}-{"b" * 16}-01'


def example_settings() -> Settings:
    """Read the example settings."""
    settings = load_settings(EXAMPLE.read_text())
    assert isinstance(settings, Settings)
    return settings


class TestLogs(unittest.TestCase):
    """Plain text and JSON lines."""

    def lines(self, settings: Settings) -> list[str]:
        stream = io.StringIO()
        log = Log(settings, stream)
        log.start()
        try:
            record(Event.started, url='{http}')
            record(
                Event.task_failed,
                reason=f'key {settings.security.fleet_key} in a text',
            )
            record(Event.request_refused, kind='below the level')
            logging.getLogger('other').error('from %s', 'elsewhere')
        finally:
            log.stop()
        return stream.getvalue().splitlines()

    def test_text(self) -> None:
        """A line has the level, number, name and fields but no secret."""
        lines = self.lines(example_settings())
        self.assertEqual(len(lines), 3)
        self.assertIn('NOTICE 101 started url={http}', lines[0])
        self.assertIn(f'reason=key {REDACTED} in a text', lines[1])
        self.assertIn('from elsewhere', lines[2])

    def test_json(self) -> None:
        """With `log_json` each line is an object with the event's number."""
        settings = example_settings()
        telemetry = msgspec.structs.replace(settings.telemetry, log_json=True)
        settings = msgspec.structs.replace(settings, telemetry=telemetry)
        lines = [json.loads(line) for line in self.lines(settings)]
        self.assertEqual(
            [line.get('event', 0) for line in lines], [101, 104, 120]
        )
        self.assertEqual(lines[0]['fields'], {'url': '{http}'})
        self.assertNotIn(settings.security.fleet_key, str(lines))

    def test_bytes_that_are_no_text_cost_no_line(self) -> None:
        """A line in JSON was dropped."""
        settings = example_settings()
        telemetry = msgspec.structs.replace(settings.telemetry, log_json=True)
        stream = io.StringIO()
        log = Log(
            msgspec.structs.replace(settings, telemetry=telemetry), stream
        )
        log.start()
        try:
            record(Event.task_failed, reason='\udcff')
        finally:
            log.stop()
        line = json.loads(stream.getvalue())
        self.assertEqual(line['fields'], {'reason': '?'})


class TestMetrics(unittest.TestCase):
    """The metrics in the Prometheus text format."""

    def test_count_begins_while_another_thread_collects(self) -> None:
        """The collection raised, and had no value of the metric."""
        counts = {'a': 1, 'b': 2}
        collecting = _read_counter('service', counts, CallbackOptions())
        values = [next(collecting).value]
        counts['c'] = 3
        values.extend(one.value for one in collecting)
        self.assertEqual(values, [1, 2])

    def test_errors_that_libraries_catch_are_exported(self) -> None:
        """Only daemons on the platform counted them."""
        metrics = Metrics(example_settings())
        with mock.patch.dict(errors_by_place, {'relay.py:1 send': 3}):
            text = metrics.exposition().decode()
        metrics.stop()
        self.assertIn(
            'cassialever_exceptions_unhandled_total'
            '{place="relay.py:1 send"} 3.0',
            text,
        )

    def test_exposition(self) -> None:
        """Counts, latencies, gauges and broken invariants are exported."""
        metrics = Metrics(example_settings())
        service = ServiceName('registry')
        metrics.count_request(service, None, 0.004)
        metrics.count_request(service, None, 0.004)
        metrics.count_request(service, ErrorKind.target_busy, 0.2, moving=True)
        with self.assertRaises(InvariantError):
            check(Invariant.fence_rises, ok=False, test=True)
        metrics.add_gauge(
            'cassialever.imbalance', 'Load.', lambda: {'registry': 1.25}
        )
        text = metrics.exposition().decode()
        metrics.stop()
        registry_lines = [
            line
            for line in text.splitlines()
            if line.startswith('cassialever') and 'registry' in line
        ]
        for part in (
            'outcome="answered"',
            'outcome="target_busy"',
            'moving="true"',
            'cassialever_imbalance',
            'le="0.005"',
        ):
            with self.subTest(part=part):
                self.assertTrue(
                    any(part in line for line in registry_lines), text
                )
        (broken,) = [
            line for line in text.splitlines() if 'fence_rises' in line
        ]
        self.assertFalse(broken.endswith(' 0.0'))


class TestGauges(unittest.TestCase):
    """The gauges of a daemon's status."""

    def test_gauges(self) -> None:
        """Imbalance counts all daemons' requests, in-flight only this one's."""
        service = ServiceName('registry')
        targets = tuple(
            TargetStatus(
                target_id=TargetId(f't{number}'),
                service=service,
                data_centre=DataCentreId('west'),
                state='warm',
                in_flight=in_flight,
                in_flight_elsewhere=elsewhere,
            )
            for number, (in_flight, elsewhere) in enumerate(
                ((3, 0), (1, 1), (0, 1))
            )
        )
        view = Mock()
        view.status.return_value = Status(
            instance_id=InstanceId('a'),
            data_centre=DataCentreId('west'),
            ready=True,
            targets=targets,
        )
        metrics = Metrics(example_settings())
        StatusGauges(metrics, view, SystemClock())
        text = metrics.exposition().decode()
        metrics.stop()
        value_by_gauge = {
            line.partition('{')[0]: line.rpartition(' ')[2]
            for line in text.splitlines()
            if 'label="registry"' in line
        }
        self.assertEqual(
            value_by_gauge,
            {'cassialever_imbalance': '1.5', 'cassialever_in_flight': '4.0'},
        )
        self.assertEqual(view.status.call_count, 1)


class TestTracing(unittest.TestCase):
    """A span for each hop."""

    def test_hops_form_one_trace(self) -> None:
        """Each hop's span is a child of the previous hop's."""
        exporter = InMemorySpanExporter()
        tracing = Tracing(example_settings(), exporter)
        first = tracing.start_span(Hop.caller, TRACEPARENT, 'r1')
        second = tracing.start_span(Hop.target, first.traceparent, 'r1', 't1')
        second.end(ErrorKind.target_failed)
        first.end()
        inner, outer = exporter.get_finished_spans()
        assert inner.parent and outer.parent
        self.assertEqual(inner.parent.span_id, outer.context.span_id)
        self.assertEqual(f'{outer.parent.span_id:x}', 'b' * 16)
        self.assertEqual(f'{inner.context.trace_id:x}', 'a' * 32)
        assert inner.attributes
        self.assertEqual(inner.attributes['error.type'], 'target_failed')
        tracing.stop()

    def test_context_passes_through_without_exporter(self) -> None:
        """Without an exporter the context is passed on unchanged."""
        tracing = Tracing(example_settings())
        span = tracing.start_span(Hop.caller, TRACEPARENT, 'r1')
        self.assertEqual(span.traceparent, TRACEPARENT)
        span.end()
        tracing.stop()

    def test_received_context_is_validated(self) -> None:
        """A context that is not valid W3C trace context is discarded."""
        self.assertEqual(validated_traceparent(TRACEPARENT), TRACEPARENT)
        for bad in (
            '',
            'x' * 600,
            f'00-{"0" * 32}-{"b" * 16}-01',
            f'00-{"a" * 32}-{"0" * 16}-01',
            f'{TRACEPARENT}\r\nX-Other: 1',
        ):
            with self.subTest(bad=bad[:20]):
                self.assertEqual(validated_traceparent(bad), '')
