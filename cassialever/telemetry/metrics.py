"""OpenTelemetry metrics of requests, gauges and broken invariants.

Counts are kept in plain maps that OpenTelemetry reads when it collects, so
that each request costs little more than an addition.
"""

import collections
import functools
from collections.abc import Callable, Iterator, Mapping
from typing import Final, TypeAlias

import msgspec
from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
    OTLPMetricExporter,
)
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    MetricReader,
    PeriodicExportingMetricReader,
)
from prometheus_client import CollectorRegistry, generate_latest

from cassialever.errors import ErrorKind
from cassialever.invariants import Invariant, violations_by_invariant
from cassialever.settings import Settings
from cassialever.telemetry.histograms import LatencyHistogram
from cassialever.telemetry.stdlib_log import errors_by_place
from cassialever.telemetry.tracing import build_resource
from cassialever.types import Seconds, ServiceName

METRICS_PATH: Final = '/v1/metrics'
ANSWERED: Final = 'answered'
SERVICE: Final = 'service'
#: Returns values by label, such as a service's name.
GaugeReader: TypeAlias = Callable[[], Mapping[str, float]]


class RequestLabels(msgspec.Struct, frozen=True):
    """The labels that requests are counted by.

    `moving` is whether keys were being moved when the request ended.
    """

    service: ServiceName
    outcome: str
    moving: bool


_RequestCounter: TypeAlias = collections.Counter[RequestLabels]


class Metrics:
    """The metrics of one daemon."""

    def __init__(self, settings: Settings) -> None:
        """Create the instruments and the exporters of the settings."""
        self._registry = CollectorRegistry()
        self._provider = MeterProvider(
            metric_readers=_readers(settings, self._registry),
            resource=build_resource(settings),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter('cassialever')
        self._requests: _RequestCounter = collections.Counter()
        self._observe_requests()
        self._meter.create_observable_counter(
            'cassialever.invariants.broken',
            callbacks=[_broken_invariants],
            description='Violations of invariants that were prevented.',
        )
        self.add_counter(
            'cassialever.exceptions.unhandled',
            'place',
            'Errors that libraries caught, by the place that raised them.',
            errors_by_place,
        )
        self._histogram_by_service: dict[ServiceName, LatencyHistogram] = {}

    def count_request(
        self,
        service: ServiceName,
        failure: ErrorKind | None,
        latency: Seconds,
        moving: bool = False,
    ) -> None:
        """Count one request and its latency."""
        outcome = failure.value if failure else ANSWERED
        self._requests[RequestLabels(service, outcome, moving)] += 1
        histogram = self._histogram_by_service.get(service)
        if histogram is None:
            histogram = LatencyHistogram()
            self._histogram_by_service[service] = histogram
        histogram.observe(latency)

    def add_gauge(
        self,
        name: str,
        description: str,
        read: GaugeReader,
    ) -> None:
        """Register a gauge whose values are read at each collection."""

        self._meter.create_observable_gauge(
            name,
            callbacks=[functools.partial(_read_gauge, read)],
            description=description,
        )

    def add_counter(
        self,
        name: str,
        label: str,
        description: str,
        count_by_label: Mapping[str, float],
    ) -> None:
        """Register a counter of a map's values, with its keys as labels."""
        self._meter.create_observable_counter(
            name,
            callbacks=[
                functools.partial(_read_counter, label, count_by_label),
            ],
            description=description,
        )

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def stop(self) -> None:
        """Flush the metrics and stop."""
        self._provider.shutdown()

    def _observe_requests(self) -> None:
        self._meter.create_observable_counter(
            'cassialever.requests',
            callbacks=[self._request_counts],
            description='Requests by service and outcome.',
        )

        self._meter.create_observable_counter(
            'cassialever.request.duration.bucket',
            callbacks=[self._latency_counts],
            description='Requests that took at most `le` seconds.',
        )
        self._meter.create_observable_counter(
            'cassialever.request.duration.seconds',
            callbacks=[self._latency_sums],
            description='Total duration of requests in seconds.',
        )

    def _latency_counts(
        self,
        options: CallbackOptions,
    ) -> Iterator[Observation]:
        for service, histogram in self._histogram_by_service.items():
            for bound, count in histogram.cumulative_counts():
                yield Observation(count, {SERVICE: service, 'le': bound})

    def _latency_sums(self, options: CallbackOptions) -> Iterator[Observation]:
        for service, histogram in self._histogram_by_service.items():
            yield Observation(histogram.total_seconds, {SERVICE: service})

    def _request_counts(
        self,
        options: CallbackOptions,
    ) -> Iterator[Observation]:
        for labels, count in list(self._requests.items()):
            yield Observation(count, msgspec.structs.asdict(labels))


def _read_gauge(
    read: GaugeReader,
    options: CallbackOptions,
) -> Iterator[Observation]:
    for label, reading in read().items():
        yield Observation(reading, {'label': label})


def _read_counter(
    label_name: str,
    count_by_label: Mapping[str, float],
    options: CallbackOptions,
) -> Iterator[Observation]:
    # A reader for OTLP collects in a thread of its own.
    for label, count in list(count_by_label.items()):
        yield Observation(count, {label_name: label})


def _broken_invariants(options: CallbackOptions) -> Iterator[Observation]:
    for invariant in Invariant:
        count = violations_by_invariant[invariant]
        yield Observation(count, {'invariant': invariant.name})


def _readers(
    settings: Settings,
    registry: CollectorRegistry,
) -> list[MetricReader]:
    prometheus = PrometheusMetricReader(
        scope_info_enabled=False,
        registry=registry,
    )
    readers: list[MetricReader] = [prometheus]
    otlp_url = settings.telemetry.otlp_url
    if otlp_url:
        exporter = OTLPMetricExporter(endpoint=f'{otlp_url}{METRICS_PATH}')
        readers.append(PeriodicExportingMetricReader(exporter))
    return readers
