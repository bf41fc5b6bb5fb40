"""What one daemon counts, traces and remembers of its decisions."""

import msgspec

from cassialever.catalogue import CatalogueIndex
from cassialever.decisions import Decision, Decisions, Refused
from cassialever.errors import Failure
from cassialever.interfaces import Clock
from cassialever.metrics import Metrics
from cassialever.settings import Settings
from cassialever.tracing import Tracing
from cassialever.types import (
    Key,
    RequestId,
    Seconds,
    ServiceName,
    ServiceState,
    TargetId,
)


class RequestFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of a request that has ended; the rest is empty."""

    request_id: RequestId
    service: ServiceName = ServiceName('')
    caller: str = ''
    key: Key = Key('')
    target_id: TargetId = TargetId('')


class Telemetry:
    """Metrics, traces and decisions of one daemon."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        """Make all three; exporters are those of the settings."""
        self.metrics = Metrics(settings)
        self.tracing = Tracing(settings)
        self.decisions = Decisions(settings)
        self._clock = clock
        self._moving = False

    def catalogue_adopted(self, index: CatalogueIndex) -> None:
        """Count requests apart while a data centre is out."""
        self._moving = any(
            entry.state is ServiceState.out
            for entry in index.catalogue.data_centres
        )

    def request_ended(
        self,
        facts: RequestFacts,
        failure: Failure | None,
        seconds: Seconds,
    ) -> None:
        """Count a request; remember why it failed, if it did."""
        kind = failure.kind if failure else None
        self.metrics.request_ended(facts.service, kind, seconds, self._moving)
        if failure is None:
            return
        refused = Refused(
            at=self._clock.wall(),
            entry=failure.entry,
            service=facts.service,
            target_id=facts.target_id,
            request_id=facts.request_id,
            kind=failure.kind,
            reason=failure.reason,
            caller=facts.caller,
            key=facts.key,
        )
        self.decisions.note(refused)

    def note(self, decision: Decision) -> None:
        """Remember a move, a drain or a limit."""
        self.decisions.note(decision)

    def stop(self) -> None:
        """Send what has been gathered, and stop."""
        self.tracing.stop()
        self.metrics.stop()
