"""Gauges of a daemon's status, read when metrics are collected."""

from collections.abc import Mapping
from typing import Final

from cassialever.interfaces import Clock
from cassialever.operators.view import OperatorView, Status
from cassialever.telemetry.metrics import Metrics
from cassialever.types import Seconds

#: A status is reused for this long, so that all gauges of one collection
#: are read from the same status.
STATUS_TTL_SECONDS: Final = 0.5


class StatusGauges:
    """Export a daemon's status as gauges."""

    def __init__(
        self,
        metrics: Metrics,
        view: OperatorView,
        clock: Clock,
    ) -> None:
        """Register the gauges with `metrics`."""
        self._view = view
        self._clock = clock
        self._status: Status | None = None
        self._read_at: Seconds = 0
        metrics.add_gauge(
            'cassialever.imbalance',
            'Ratio of the highest to the mean load of targets, by service.',
            self._imbalance,
        )
        metrics.add_gauge(
            'cassialever.in_flight',
            'Requests of this daemon in flight to targets, by service.',
            self._in_flight,
        )
        metrics.add_gauge(
            'cassialever.daemon',
            'Whether ready and table reachable (0 or 1); catalogue version.',
            self._daemon,
        )

    def _imbalance(self) -> Mapping[str, float]:
        return {
            service: max(loads) * len(loads) / sum(loads)
            for service, loads in self._loads(fleet_wide=True).items()
            if sum(loads)
        }

    def _in_flight(self) -> Mapping[str, float]:
        loads_by_service = self._loads(fleet_wide=False)
        return {name: sum(loads) for name, loads in loads_by_service.items()}

    def _daemon(self) -> Mapping[str, float]:
        status = self._recent_status()
        return {
            'ready': int(status.ready),
            'table_reachable': int(status.table_reachable),
            'catalogue_version': status.catalogue_version,
        }

    def _loads(self, *, fleet_wide: bool) -> Mapping[str, list[int]]:
        loads_by_service: dict[str, list[int]] = {}
        for target in self._recent_status().targets:
            load = target.in_flight
            if fleet_wide:
                load += target.in_flight_elsewhere
            loads_by_service.setdefault(target.service, []).append(load)
        return loads_by_service

    def _recent_status(self) -> Status:
        now = self._clock.monotonic()
        if self._status is None or now - self._read_at >= STATUS_TTL_SECONDS:
            self._status = self._view.status()
            self._read_at = now
        return self._status
