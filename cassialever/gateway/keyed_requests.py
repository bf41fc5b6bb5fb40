"""Log in few lines that no key of a service is served, and why."""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import Final

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.view import FleetView
from cassialever.gateway.metrics import Reading
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptOutcome,
    TargetRefusal,
)
from cassialever.gateway.refusals import Refusal
from cassialever.gateway.tables_state import TablesState
from cassialever.policy.placing import NoTargetReason
from cassialever.policy.unserved_keys import (
    UNKNOWN_OWNER,
    KeyOwner,
    ReportKind,
    UnservedCause,
    UnservedKeys,
    UnservedReport,
)
from cassialever.types import Seconds, ServiceName

#: Time between two checks whether keys are served again.
CHECK_INTERVAL: Final[Seconds] = 0.5
#: Time without a leader from which on keys without a grant are due to that.
MIN_TIME_WITHOUT_LEADER: Final[Seconds] = 0.5

_CAUSE_BY_REFUSAL: Final[Mapping[TargetRefusal, UnservedCause]] = (
    MappingProxyType(
        {
            TargetRefusal.replaced: UnservedCause.replaced,
            TargetRefusal.key_not_held: UnservedCause.key_not_held,
        }
    )
)
_CAUSE_BY_REASON: Final[Mapping[str, UnservedCause]] = MappingProxyType(
    {
        NoTargetReason.no_service.name: UnservedCause.no_target,
        NoTargetReason.no_owner.name: UnservedCause.no_owner,
        NoTargetReason.moving.name: UnservedCause.no_owner,
        NoTargetReason.owner_ended.name: UnservedCause.replaced,
        NoTargetReason.key_not_held.name: UnservedCause.key_not_held,
        NoTargetReason.unreachable.name: UnservedCause.unreachable,
    }
)
#: Refusals while an owner is known that takes no more requests now.
_BUSY_REASONS: Final = frozenset(
    reason.name
    for reason in (
        NoTargetReason.cold,
        NoTargetReason.limited,
        NoTargetReason.full,
        NoTargetReason.paused,
    )
)
#: What a leader would change by granting keys.
_CAUSES_WITHOUT_GRANTS: Final = frozenset(
    (
        UnservedCause.no_owner,
        UnservedCause.owners_unknown,
        UnservedCause.key_not_held,
    )
)
_EVENT_BY_KIND: Final[Mapping[ReportKind, Event]] = MappingProxyType(
    {
        ReportKind.began: Event.keys_unserved,
        ReportKind.changed: Event.keys_unserved_changed,
        ReportKind.ended: Event.keys_served_again,
    }
)


class KeyedRequests:
    """The outcomes of requests for keys, by service."""

    def __init__(
        self,
        view: FleetView,
        clock: SystemClock,
        tables: Callable[[], TablesState],
    ) -> None:
        """Start without requests; `tables` returns the state of the tables."""
        self._view = view
        self._clock = clock
        self._unserved = UnservedKeys()
        self._tables = tables

    def note(
        self,
        service: ServiceName,
        key: int,
        answer: Answer | Refusal,
        attempts: Sequence[Attempt],
    ) -> None:
        """Note how a request ended; `attempts` are those that failed."""
        known = self._view.service(service)
        if key < 0 or known is None or not known.is_keyed:
            return
        now = self._clock.boot()
        if isinstance(answer, Answer):
            self._log(self._unserved.record_served(service, now))
            return
        if _shows_busy_owner(answer, attempts):
            self._unserved.record_busy(service)
            return
        cause = self._cause(service, answer, attempts)
        if cause is not None:
            self._log(
                self._unserved.record_unserved(
                    service, key, cause, now, self._owner(service, key)
                ),
            )

    async def run(self) -> None:
        """Log what has ended, also without a further request."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            for report in self._unserved.check(self._clock.boot()):
                self._log(report)

    def unserved_time(self) -> dict[str, Seconds]:
        """Return for how long no key was served, by service."""
        now = self._clock.boot()
        return dict(self._unserved.time_by_service(now).items())

    def readings(self) -> Iterable[Reading]:
        """Return readings of how long no key of a service was served."""
        for service, seconds in self.unserved_time().items():
            yield Reading(
                'keys_unserved_seconds', seconds, {'service': service}
            )

    def _cause(
        self,
        service: ServiceName,
        refused: Refusal,
        attempts: Sequence[Attempt],
    ) -> UnservedCause | None:
        """Return why a request was not served; None if that tells nothing."""
        cause = _CAUSE_BY_REASON.get(refused.cause)
        if attempts:
            cause = _cause_of_attempt(attempts[-1])
        elif cause is UnservedCause.no_owner:
            if service not in self._view.keys_by_service:
                cause = UnservedCause.owners_unknown
        without = self._tables().without_leader
        if cause in _CAUSES_WITHOUT_GRANTS:
            if without >= MIN_TIME_WITHOUT_LEADER:
                return UnservedCause.no_leader
        return cause

    def _owner(self, service: ServiceName, key: int) -> KeyOwner:
        """Return the owner of a key, and whether the map has several."""
        index = self._view.keys_by_service.get(service)
        if index is None:
            return UNKNOWN_OWNER
        keys = index.find(key)
        owner = None if keys is None else keys.owner
        others = any(one.owner != owner for one in index.key_map.ranges)
        return KeyOwner(owner, others)

    def _log(self, report: UnservedReport | None) -> None:
        if report is None:
            return
        since = self._clock.wall() - (self._clock.boot() - report.since)
        record(
            _EVENT_BY_KIND[report.kind],
            service=report.service,
            cause=report.cause.name,
            reason=report.cause.value,
            since=round(since, 3),
            lasted=round(report.until - report.since, 3),
            requests=report.requests,
            last_causes={
                cause.name: count
                for cause, count in report.count_by_cause.items()
            },
            is_served=report.is_served,
            **self._tables().fields(),
        )


def _shows_busy_owner(refused: Refusal, attempts: Sequence[Attempt]) -> bool:
    """Return whether an owner has no room now, or fails by itself."""
    if attempts:
        return attempts[-1].refusal is TargetRefusal.shed
    return refused.cause in _BUSY_REASONS


def _cause_of_attempt(attempt: Attempt) -> UnservedCause | None:
    if attempt.is_own_delay or attempt.is_withdrawn:
        return None
    if attempt.refusal is not None:
        return _CAUSE_BY_REFUSAL.get(attempt.refusal)
    if attempt.is_unreached or attempt.is_helper_failure:
        return UnservedCause.unreachable
    if attempt.outcome is AttemptOutcome.unknown:
        return UnservedCause.unanswered
    return None
