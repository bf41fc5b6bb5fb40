"""Serve counters and latencies in the Prometheus text format.

The exporter is loaded on the first request for metrics, in a thread, so that
neither the start nor callers wait for it.
"""

import asyncio
import functools
from collections import Counter
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Final, TypeAlias

import msgspec
from aiohttp import web

from cassialever.gateway.connection_guard import ConnectionGuard
from cassialever.gateway.connections import GuardedServer
from cassialever.gateway.counters import (
    Counters,
    HopCounters,
    WaitingCounters,
)
from cassialever.gateway.settings import GatewaySettings
from cassialever.keys.key_events import KeyCounters
from cassialever.listening import PortUse, listen, stop_sites
from cassialever.platform.store import StoreClient
from cassialever.policy.connection_limits import (
    SIDE_CONNECTIONS,
    ConnectionLimits,
)
from cassialever.types import Seconds

if TYPE_CHECKING:
    from opentelemetry.metrics import CallbackOptions, Observation

METRICS_PATH: Final = '/metrics'
#: Percentiles of the latency that are exported.
PERCENTILES: Final = (50, 90, 99, 99.9)
#: Ranks from this on share a label.
MAX_RANK_LABEL: Final = 3
#: Connections that may wait to be accepted, all of which are at once.
BACKLOG: Final = 8
#: How long an open request may take when the server stops; aiohttp waits twice
#: as long, within what a stop reserves for closing connections.
SHUTDOWN_TIMEOUT: Final[Seconds] = 0.1


class Reading(msgspec.Struct, frozen=True):
    """The current value of a metric, for one set of labels."""

    name: str
    value: float
    labels: dict[str, str] = {}


ReadingsCallback: TypeAlias = Callable[[], Iterable[Reading]]


class MetricsServer:
    """The HTTP server for the metrics of one daemon."""

    def __init__(
        self,
        settings: GatewaySettings,
        readings: ReadingsCallback,
        guard: ConnectionGuard | None = None,
    ) -> None:
        self._settings = settings
        self._guard = guard or ConnectionGuard(ConnectionLimits())
        self._readings = readings
        self._known: set[str] = set()
        self._runner: web.ServerRunner | None = None
        self._exporter: _Exporter | None = None
        self._loading = asyncio.Lock()
        #: Set once listening was tried, whether that succeeded or not.
        self.was_tried = asyncio.Event()

    async def start(self) -> None:
        """Listen on the metrics port, as soon as it is free."""
        address = self._settings.instance.address
        port = self._settings.metrics_port
        self._runner = await listen(
            PortUse.metrics,
            f'{address}:{port}',
            lambda: self._listen(address, port),
            is_needed=False,
        )

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._runner is not None:
            await stop_sites(self._runner)
            await self._runner.cleanup()

    async def _listen(self, address: str, port: int) -> web.ServerRunner:
        runner = web.ServerRunner(
            GuardedServer(
                self._handle, self._guard, SIDE_CONNECTIONS, access_log=None
            ),
            shutdown_timeout=SHUTDOWN_TIMEOUT,
        )
        await runner.setup()
        try:
            await web.TCPSite(runner, address, port, backlog=BACKLOG).start()
        except OSError:
            await runner.cleanup()
            raise
        finally:
            self.was_tried.set()
        return runner

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path != METRICS_PATH:
            return web.Response(status=web.HTTPNotFound.status_code)
        exporter = await self._load()
        return web.Response(
            body=exporter.text(),
            content_type='text/plain',
        )

    async def _load(self) -> '_Exporter':
        """Return the exporter; load it once, for whichever request is first.

        A second one would export each metric a second time.
        """
        async with self._loading:
            if self._exporter is None:
                self._exporter = await asyncio.to_thread(
                    _Exporter, self._readings
                )
        return self._exporter


class _Exporter:
    """OpenTelemetry gauges that observe the daemon's readings."""

    def __init__(self, readings: ReadingsCallback) -> None:
        from opentelemetry.exporter.prometheus import (  # noqa: WPS433
            PrometheusMetricReader,
        )
        from opentelemetry.sdk.metrics import MeterProvider  # noqa: WPS433

        self._readings = readings
        self._provider = MeterProvider([PrometheusMetricReader()])
        self._meter = self._provider.get_meter('cassialever')
        self._names: set[str] = set()

    def text(self) -> bytes:
        """Return every reading in the Prometheus text format."""
        from prometheus_client import generate_latest  # noqa: WPS433

        for reading in self._readings():
            if reading.name in self._names:
                continue
            self._names.add(reading.name)
            self._meter.create_observable_gauge(
                reading.name,
                [functools.partial(self._observe, reading.name)],
            )
        return generate_latest()

    def _observe(
        self,
        name: str,
        _: 'CallbackOptions',
    ) -> 'Iterable[Observation]':
        from opentelemetry.metrics import Observation  # noqa: WPS433

        return [
            Observation(reading.value, reading.labels)
            for reading in self._readings()
            if reading.name == name
        ]


def counter_readings(counters: Counters) -> list[Reading]:
    """Return readings of the outcomes and latencies of requests."""
    readings = [Reading('requests_served', counters.served)]
    for reason, count in counters.refused_by_reason.items():
        readings.append(Reading('requests_refused', count, {'reason': reason}))
    for service, count in counters.sent_by_service.items():
        readings.append(Reading('attempts', count, {'service': service}))
    for outcome, count in counters.failed_by_outcome.items():
        readings.append(Reading('attempts_failed', count, {'end': outcome}))
    for (refusal, service), count in counters.refused_by_target.items():
        labels = {'refusal': refusal.value, 'service': service}
        readings.append(Reading('refused_by_target', count, labels))
    readings.extend(_waiting_readings(counters.waiting))
    for percentile in PERCENTILES:
        latency = counters.latency_ms.get_value_at_percentile(percentile)
        readings.append(
            Reading(
                'answer_time_ms',
                latency,
                {'percentile': str(percentile)},
            ),
        )
    return readings


def _waiting_readings(counters: WaitingCounters) -> list[Reading]:
    """Return readings of the requests that found every target full."""
    waiting: Counter[str] = Counter()
    for rank, number in counters.count_by_rank().items():
        waiting[str(min(rank, MAX_RANK_LABEL))] += number
    return [
        Reading('refused_at_once', counters.refused_at_once),
        Reading('put_out_of_queues', counters.put_out),
        *(
            Reading('requests_waiting', count, {'rank': label})
            for label, count in waiting.items()
        ),
    ]


def key_readings(counters: KeyCounters) -> list[Reading]:
    """Return readings of the keys that a daemon freed as leader."""
    readings = [
        Reading('keys_freed', count, {'fact': fact})
        for fact, count in counters.freed_by_fact.items()
    ]
    for outcome, failed in counters.failed_by_outcome.items():
        readings.append(Reading('key_calls_failed', failed, {'end': outcome}))
    return readings


def hop_readings(counters: HopCounters) -> list[Reading]:
    """Return readings of the requests that daemons carry for each other."""
    readings = [
        Reading('requests_passed_on', counters.passed_on),
        Reading('requests_carried', counters.carried),
    ]
    for kind, failed in counters.helper_failures_by_kind.items():
        readings.append(Reading('helper_failures', failed, {'kind': kind}))
    for kind, refused in counters.refusals_by_kind.items():
        readings.append(Reading('carrying_refused', refused, {'kind': kind}))
    return readings


def connection_readings(guard: ConnectionGuard) -> list[Reading]:
    """Return readings of the connections of callers and other daemons."""
    return [
        Reading('connections_open', len(guard.connections)),
        Reading('connection_bytes_held', guard.held),
        *(
            Reading('connections_closed', count, {'cause': cause})
            for cause, count in guard.closed_by_cause.items()
        ),
    ]


def store_readings(store: StoreClient) -> list[Reading]:
    """Return readings of the calls to the store."""
    return [
        Reading('store_calls', store.calls),
        *(
            Reading(
                'store_calls_by_purpose',
                count,
                {'purpose': call.value, 'table': table},
            )
            for (call, table), count in store.calls_by_purpose.items()
        ),
    ]
