"""Metrics by OpenTelemetry: what the users measure, and the invariants.

Counts are kept in plain maps and read by OpenTelemetry when it collects, so
that a request pays for little more than an addition.
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
from cassialever.telemetry.tracing import resource_of
from cassialever.types import Seconds, ServiceName

METRICS_PATH: Final = '/v1/metrics'
ANSWERED: Final = 'answered'
SERVICE: Final = 'service'
#: Gives values by label, such as a service's name.
GaugeReader: TypeAlias = Callable[[], Mapping[str, float]]


class RequestCount(msgspec.Struct, frozen=True):
    """What requests are counted by.

    `moving` says that keys were on their way to other owners meanwhile.
    """

    service: ServiceName
    outcome: str
    moving: bool


_RequestCounter: TypeAlias = collections.Counter[RequestCount]


class Metrics:
    """Count and measure for one daemon."""

    def __init__(self, settings: Settings) -> None:
        """Make the instruments; readers are those of the settings."""
        self._registry = CollectorRegistry()
        self._provider = MeterProvider(
            metric_readers=_readers(settings, self._registry),
            resource=resource_of(settings),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter('cassialever')
        self._requests: _RequestCounter = collections.Counter()
        self._observe_requests()
        self._meter.create_observable_counter(
            'cassialever.invariants.broken',
            callbacks=[_broken_invariants],
            description='Promises that would have been broken.',
        )
        self._latency_by_service: dict[ServiceName, LatencyHistogram] = {}

    def request_ended(
        self,
        service: ServiceName,
        failure: ErrorKind | None,
        seconds: Seconds,
        moving: bool = False,
    ) -> None:
        """Count one request and its latency."""
        outcome = failure.value if failure else ANSWERED
        self._requests[RequestCount(service, outcome, moving)] += 1
        latency = self._latency_by_service.get(service)
        if latency is None:
            latency = LatencyHistogram()
            self._latency_by_service[service] = latency
        latency.add(seconds)

    def gauge(
        self,
        name: str,
        description: str,
        read: GaugeReader,
    ) -> None:
        """Offer values that are read, by label, at each collection.

        Used for imbalance (`cassialever.imbalance`, by service: the busiest
        target's load over the mean) and requests in flight.
        """

        self._meter.create_observable_gauge(
            name,
            callbacks=[functools.partial(_read_gauge, read)],
            description=description,
        )

    def counter(
        self,
        name: str,
        label: str,
        description: str,
        count_by_label: Mapping[str, float],
    ) -> None:
        """Offer a map's values as a counter, by label."""
        self._meter.create_observable_counter(
            name,
            callbacks=[
                functools.partial(_read_counter, label, count_by_label),
            ],
            description=description,
        )

    def exposition(self) -> bytes:
        """Return all metrics in Prometheus' text form."""
        return generate_latest(self._registry)

    def stop(self) -> None:
        """Send what has been gathered, and stop."""
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
            description='Time that all requests took together.',
        )

    def _latency_counts(
        self,
        options: CallbackOptions,
    ) -> Iterator[Observation]:
        for service, latency in self._latency_by_service.items():
            for bound, count in latency.cumulative():
                yield Observation(count, {SERVICE: service, 'le': bound})

    def _latency_sums(self, options: CallbackOptions) -> Iterator[Observation]:
        for service, latency in self._latency_by_service.items():
            yield Observation(latency.seconds, {SERVICE: service})

    def _request_counts(
        self,
        options: CallbackOptions,
    ) -> Iterator[Observation]:
        for count, amount in self._requests.items():
            yield Observation(amount, msgspec.structs.asdict(count))


def _read_gauge(
    read: GaugeReader,
    options: CallbackOptions,
) -> Iterator[Observation]:
    for label, amount in read().items():
        yield Observation(amount, {'label': label})


def _read_counter(
    name: str,
    count_by_label: Mapping[str, float],
    options: CallbackOptions,
) -> Iterator[Observation]:
    for label, amount in count_by_label.items():
        yield Observation(amount, {name: label})


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
