"""Decide when no key of a service is served by its owner, and why.

Load patterns handled: all owners of a service are gone, have ended, or have no
grant, while other services are served. Owners that are full or ask for a pause
are at work, so that a burst is none of these; keys that move leave others that
are served. A storm of requests writes no more lines than a few.
"""

import enum
from collections import Counter, deque
from collections.abc import Hashable, Iterator, Mapping
from typing import Final

import msgspec

from cassialever.types import Seconds, ServiceName, TargetId

#: Requests in a row that no owner has served, by which it begins.
MIN_FAILURES: Final = 20
#: Different keys among them; a few of one range are no sign for the others.
MIN_KEYS: Final = 5
#: Different owners of these keys, unless one owns all keys of the service.
MIN_OWNERS: Final = 2
#: Time from the first of them to the last; keys move within it.
MIN_TIME: Final[Seconds] = 1.0
#: Time without a request after which those before don't count.
MAX_GAP: Final[Seconds] = 10.0
#: Time from the first request that was served until it has ended, unless as
#: many in a row as above are unserved again before.
STEADY_TIME: Final[Seconds] = 1.0
#: Time between the first two changes of the cause; it doubles to the maximum.
FIRST_CHANGE_INTERVAL: Final[Seconds] = 1.0
MAX_CHANGE_INTERVAL: Final[Seconds] = 60.0
#: Services of which this is known; further ones are left out.
MAX_SERVICES: Final = 256


class UnservedCause(enum.Enum):
    """Why a request for a key was not served by the key's owner."""

    no_leader = 'no leader grants keys'
    owners_unknown = 'the owners of the keys are not known'
    no_owner = 'the keys have no owner that takes work'
    replaced = 'other targets have the addresses of the owners'
    key_not_held = 'the owners do not hold the keys'
    unreachable = 'no owner can be reached'
    unanswered = 'the owners do not answer'
    no_target = 'the service has no target that takes work'


class KeyOwner(msgspec.Struct, frozen=True):
    """The owner of a key by the tables; empty if it has none."""

    target_id: TargetId | None = None
    #: Whether other keys of the service have another owner, or one at all.
    is_one_of_several: bool = False


#: The owner of a key of which no table tells.
UNKNOWN_OWNER: Final = KeyOwner()


class ReportKind(enum.Enum):
    """What a report says about the keys of a service."""

    began = 'began'
    changed = 'changed'
    ended = 'ended'


class UnservedReport(msgspec.Struct, frozen=True):
    """That the time in which no key is served begins, changes or ends."""

    kind: ReportKind
    service: ServiceName
    cause: UnservedCause
    #: When the first request was not served.
    since: Seconds
    #: Until when; now, unless it has ended.
    until: Seconds
    #: Requests since then that no owner has served.
    requests: int
    #: The last of them by cause, up to MIN_FAILURES.
    count_by_cause: Mapping[UnservedCause, int]
    #: Whether a request was served; otherwise none has come any more.
    is_served: bool = False


class _Failure(msgspec.Struct, frozen=True):
    key: Hashable
    cause: UnservedCause
    owner: KeyOwner


class _Service(msgspec.Struct):
    """The last requests for keys of one service."""

    since: Seconds
    last_at: Seconds
    requests: int = 0
    recent: deque[_Failure] = msgspec.field(
        default_factory=lambda: deque(maxlen=MIN_FAILURES)
    )
    #: The cause that was reported last; None before the first report.
    cause: UnservedCause | None = None
    #: When a request was served last, if so after the report that it began.
    served_at: Seconds | None = None
    failures_since_served: int = 0
    next_change_at: Seconds = 0
    change_interval: Seconds = FIRST_CHANGE_INTERVAL

    def main_cause(self) -> UnservedCause:
        """Return the most frequent cause.

        Of several it is the reported one, or else the latest.
        """
        counts = self.count_by_cause()
        highest = max(counts.values())
        if self.cause is not None and counts[self.cause] == highest:
            return self.cause
        return next(
            failure.cause
            for failure in reversed(self.recent)
            if counts[failure.cause] == highest
        )

    def count_by_cause(self) -> Counter[UnservedCause]:
        """Return the causes of the last requests."""
        return Counter(failure.cause for failure in self.recent)

    def is_unserved(self) -> bool:
        """Return whether the last requests show that no key is served."""
        if len(self.recent) < MIN_FAILURES:
            return False
        if self.last_at - self.since < MIN_TIME:
            return False
        if len({failure.key for failure in self.recent}) < MIN_KEYS:
            return False
        owners = {failure.owner.target_id for failure in self.recent}
        if len(owners) >= MIN_OWNERS:
            return True
        return not self.recent[-1].owner.is_one_of_several


class UnservedKeys:
    """The services of which no key is served, as this daemon sees it."""

    def __init__(self) -> None:
        """Start with all served."""
        self._by_name: dict[ServiceName, _Service] = {}

    def record_served(
        self, service: ServiceName, now: Seconds
    ) -> UnservedReport | None:
        """Note an answer of an owner, or a sign that one is at work."""
        known = self._by_name.get(service)
        if known is None:
            return None
        if known.cause is None:
            self._by_name.pop(service)
            return None
        known.failures_since_served = 0
        if known.served_at is None:
            known.served_at = now
        return self._end_if_steady(service, known, now)

    def record_busy(self, service: ServiceName) -> None:
        """Note that an owner is at work, and takes no more requests now.

        That does not show that keys are served again.
        """
        known = self._by_name.get(service)
        if known is not None and known.cause is None:
            self._by_name.pop(service)

    def record_unserved(
        self,
        service: ServiceName,
        key: Hashable,
        cause: UnservedCause,
        now: Seconds,
        owner: KeyOwner = UNKNOWN_OWNER,
    ) -> UnservedReport | None:
        """Note that a request was not served by the owner of its key."""
        known = self._by_name.get(service)
        if known is None or self._is_outdated(known, now):
            if known is None and len(self._by_name) >= MAX_SERVICES:
                return None
            known = _Service(now, now)
            self._by_name[service] = known
        known.last_at = now
        known.requests += 1
        known.recent.append(_Failure(key, cause, owner))
        if known.cause is not None:
            known.failures_since_served += 1
            if known.failures_since_served >= MIN_FAILURES:
                known.served_at = None
            return self._changed(service, known, now)
        if not known.is_unserved():
            return None
        known.cause = known.main_cause()
        known.next_change_at = now + known.change_interval
        return _report(ReportKind.began, service, known, now)

    def check(self, now: Seconds) -> Iterator[UnservedReport]:
        """Return what has ended; forget services without requests."""
        for service, known in list(self._by_name.items()):
            ended = self._end_if_steady(service, known, now)
            if ended is not None:
                yield ended
            elif now - known.last_at > MAX_GAP:
                self._by_name.pop(service)
                if known.cause is not None:
                    yield _report(
                        ReportKind.ended, service, known, known.last_at
                    )

    def time_by_service(self, now: Seconds) -> dict[ServiceName, Seconds]:
        """Return for how long no key of a service has been served."""
        return {
            service: now - known.since
            for service, known in self._by_name.items()
            if known.cause is not None and known.served_at is None
        }

    def _is_outdated(self, known: _Service, now: Seconds) -> bool:
        return known.cause is None and now - known.last_at > MAX_GAP

    def _changed(
        self, service: ServiceName, known: _Service, now: Seconds
    ) -> UnservedReport | None:
        cause = known.main_cause()
        if cause is known.cause or now < known.next_change_at:
            return None
        known.cause = cause
        known.change_interval = min(
            2 * known.change_interval, MAX_CHANGE_INTERVAL
        )
        known.next_change_at = now + known.change_interval
        return _report(ReportKind.changed, service, known, now)

    def _end_if_steady(
        self, service: ServiceName, known: _Service, now: Seconds
    ) -> UnservedReport | None:
        served_at = known.served_at
        if served_at is None or now - served_at < STEADY_TIME:
            return None
        self._by_name.pop(service)
        ended = _report(ReportKind.ended, service, known, served_at)
        return msgspec.structs.replace(ended, is_served=True)


def _report(
    kind: ReportKind, service: ServiceName, known: _Service, until: Seconds
) -> UnservedReport:
    return UnservedReport(
        kind,
        service,
        known.cause or known.main_cause(),
        known.since,
        until,
        known.requests,
        known.count_by_cause(),
    )
