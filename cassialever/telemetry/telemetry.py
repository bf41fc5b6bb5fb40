"""The telemetry of a daemon: metrics, traces and decisions."""

from collections.abc import Callable

from cassialever.callers.intake import ParsedRequest
from cassialever.errors import Failure
from cassialever.events import Event, record
from cassialever.gateway.outcomes import Answer
from cassialever.interfaces import Clock
from cassialever.operators.decisions import DecisionLog, Refused
from cassialever.settings import Settings
from cassialever.telemetry.metrics import Metrics
from cassialever.telemetry.tracing import Tracing
from cassialever.types import (
    CallerId,
    Key,
    RequestId,
    Seconds,
    ServiceName,
)


class Telemetry:
    """Metrics, traces and the decision log of one daemon."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        """Create all three with the exporters of the settings."""
        self._clock = clock
        #: Returns whether any keys are being moved; false until it is set.
        self.has_moving_keys: Callable[[], bool] = bool
        self.metrics = Metrics(settings)
        self.tracing = Tracing(settings)
        self.decisions = DecisionLog(settings)

    def stop(self) -> None:
        """Flush metrics and traces, and stop."""
        self.metrics.stop()
        self.tracing.stop()

    def record_refusal(
        self,
        request_id: RequestId,
        failure: Failure,
        request: ParsedRequest | None,
    ) -> None:
        """Record a refused request and the entry that caused it."""
        record(
            Event.request_refused,
            request_id=request_id,
            kind=failure.kind.value,
            entry=failure.entry or '',
        )
        self.decisions.add(
            Refused(
                at=self._clock.wall(),
                entry=failure.entry,
                service=request.service.name if request else ServiceName(''),
                request_id=request_id,
                kind=failure.kind,
                reason=failure.reason,
                caller=request.caller_id if request else CallerId(''),
                key=request.key if request else Key(''),
            ),
        )

    def record_outcome(
        self,
        request: ParsedRequest,
        outcome: Answer | Failure,
        started_at: Seconds,
    ) -> None:
        """Count a routed request by its outcome and latency."""
        kind = outcome.kind if isinstance(outcome, Failure) else None
        latency = self._clock.monotonic() - started_at
        self.metrics.count_request(
            request.service.name,
            kind,
            latency,
            self.has_moving_keys(),
        )
