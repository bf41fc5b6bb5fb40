"""Remember which requests crash the targets that run them.

Load pattern handled: a request that ends each target that runs it, and that
comes again. What is known of it is kept with what is repeated, its content, not
with an attempt. A crash is named by the life of the target that it ended. Each
request that was at work there is a suspect of that crash; one that was at
several different crashes is no bystander. Crashes of which a request is cleared
stay known as such. What daemons know is thus a map of lives in which each entry
only changes once (a two-phase set, after Shapiro et al.), so that reports may
come in any order and more than once.
"""

import enum
import math
from collections.abc import Iterable, Mapping
from typing import Final, NewType

import msgspec
import xxhash

from cassialever.fleet.model import StartedAt, Target
from cassialever.types import Seconds, TargetId

#: A hash of what makes two requests the same.
Fingerprint = NewType('Fingerprint', int)

#: Different crashes after which a request is not sent any more.
QUARANTINE_CRASHES: Final = 3
#: How long a request is remembered after it last came.
RETENTION: Final[Seconds] = 600.0
#: By how much later another daemon has to have seen a request for its report to
#: renew it. Ages in reports leave out their way, which adds up from one daemon
#: to the next.
RENEWAL_MARGIN: Final[Seconds] = 10.0
#: Requests that are remembered. Those with the fewest crashes go first, and of
#: these the ones that came longest ago.
MAX_REQUESTS: Final = 512
#: Crashes that are remembered of one request: those of the latest targets.
MAX_CRASHES: Final = 8
#: How long after a crash was reported an answer of the target shows that it
#: lives. Later it may be the next life of the same id.
REFUTATION_TIME: Final[Seconds] = 1.5
#: How long it may take to confirm that a target has ended whose connection
#: broke: entries are removed after three heartbeats.
CONFIRMATION_TIME: Final[Seconds] = 4.0
#: Broken exchanges that wait for a confirmation.
MAX_PENDING: Final = 512


class TargetLife(msgspec.Struct, frozen=True, order=True):
    """One life of a target, from its start to its end."""

    started_at: StartedAt
    target_id: TargetId

    @classmethod
    def of(cls, target: Target) -> 'TargetLife':
        """Return the present life of a target."""
        return cls(target.started_at, target.target_id)


class Suspicion(enum.Enum):
    """What is known of a request; it decides how it may be sent."""

    none = 'none'
    #: It was at a crash, and is sent alone.
    suspect = 'suspect'
    #: It was at QUARANTINE_CRASHES crashes, at one of them alone, and is not
    #: sent.
    quarantined = 'quarantined'


class CrashRecord(msgspec.Struct, frozen=True):
    """The crashes at which a request was at work.

    `is_cleared_by_life` tells of each whether another cause is known, `alone`
    has those at which no other request of the same content was sent, and
    `seen_at` is when the request last came.
    """

    fingerprint: Fingerprint
    is_cleared_by_life: Mapping[TargetLife, bool]
    seen_at: Seconds
    alone: frozenset[TargetLife] = frozenset()

    @property
    def crashes(self) -> list[TargetLife]:
        """Return the lives of which the request is not cleared, in order."""
        lives = self.is_cleared_by_life
        return sorted(one for one in lives if not lives[one])

    @property
    def suspicion(self) -> Suspicion:
        """Return what follows from the crashes.

        Content that many ask for is at work at several targets that end at the
        same time. One that is sent alone after that shows whether it is sound.
        """
        crashes = self.crashes
        if not crashes:
            return Suspicion.none
        if len(crashes) < QUARANTINE_CRASHES:
            return Suspicion.suspect
        was_alone = not self.alone.isdisjoint(crashes)
        return Suspicion.quarantined if was_alone else Suspicion.suspect

    def merge(self, other: 'CrashRecord') -> 'CrashRecord':
        """Return what two records of the same request together say."""
        merged = {**self.is_cleared_by_life}
        for life, is_cleared in other.is_cleared_by_life.items():
            merged[life] = is_cleared or merged.get(life, False)
        latest = sorted(merged, reverse=True)[:MAX_CRASHES]
        return CrashRecord(
            self.fingerprint,
            {one: merged[one] for one in latest},
            max(self.seen_at, other.seen_at),
            (self.alone | other.alone).intersection(latest),
        )

    def has_same_crashes(self, other: 'CrashRecord') -> bool:
        """Return whether another record names the same crashes."""
        return (
            self.is_cleared_by_life == other.is_cleared_by_life
            and self.alone == other.alone
        )


def fingerprint_request(
    method: str,
    host: str,
    raw_path: str,
    caller: str,
    body: bytes | bytearray,
) -> Fingerprint:
    """Return the fingerprint of a request, the same for all its attempts."""
    head = '\n'.join((method, host, raw_path, caller, ''))
    # Headers may have bytes that are no UTF-8, which are read as surrogates.
    digest = xxhash.xxh3_64(head.encode('utf-8', 'surrogatepass'))
    digest.update(body)
    return Fingerprint(digest.intdigest())


class CrashMemory:
    """The requests that were at work where targets crashed."""

    def __init__(self) -> None:
        """Start without any request."""
        self._record_by_fingerprint: dict[Fingerprint, CrashRecord] = {}
        #: When this daemon first knew of the end of each life.
        self._known_at_by_life: dict[TargetLife, Seconds] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no request is remembered."""
        return not self._record_by_fingerprint

    def records(self) -> list[CrashRecord]:
        """Return all that is remembered."""
        return list(self._record_by_fingerprint.values())

    def find(self, fingerprint: Fingerprint) -> CrashRecord | None:
        """Return what is known of a request, if anything is."""
        return self._record_by_fingerprint.get(fingerprint)

    def suspicion_of(self, fingerprint: Fingerprint) -> Suspicion:
        """Return how a request may be sent."""
        known = self._record_by_fingerprint.get(fingerprint)
        return Suspicion.none if known is None else known.suspicion

    def has_just_ended(self, life: TargetLife, now: Seconds) -> bool:
        """Return whether a life has become known to have ended by a crash.

        Exchanges there break at about the same time.
        """
        known_at = self._known_at_by_life.get(life, -math.inf)
        return now - known_at < REFUTATION_TIME

    def record_coming(self, fingerprint: Fingerprint, now: Seconds) -> None:
        """Keep a request for longer, since it has come again."""
        known = self._record_by_fingerprint.get(fingerprint)
        if known is not None:
            self._record_by_fingerprint[fingerprint] = msgspec.structs.replace(
                known, seen_at=now
            )

    def merge(self, reported: CrashRecord, now: Seconds) -> bool:
        """Merge a record; return whether it brought news of crashes."""
        fingerprint = reported.fingerprint
        known = self._record_by_fingerprint.get(fingerprint)
        if known is None and now - reported.seen_at >= RETENTION:
            return False
        if known is None and not reported.is_cleared_by_life:
            return False
        before = known or CrashRecord(fingerprint, {}, -math.inf)
        if reported.seen_at <= before.seen_at + RENEWAL_MARGIN:
            reported = msgspec.structs.replace(reported, seen_at=before.seen_at)
        merged = before.merge(reported)
        self._record_by_fingerprint[fingerprint] = merged
        for life in merged.is_cleared_by_life:
            self._known_at_by_life.setdefault(life, now)
        self._drop_excess()
        return not merged.has_same_crashes(before)

    def record_crash(
        self,
        fingerprint: Fingerprint,
        life: TargetLife,
        now: Seconds,
        *,
        was_alone: bool = False,
    ) -> bool:
        """Record a request that was at work where a target crashed."""
        alone = frozenset((life,)) if was_alone else frozenset()
        return self.merge(
            CrashRecord(fingerprint, {life: False}, now, alone), now
        )

    def record_answer(self, fingerprint: Fingerprint, now: Seconds) -> bool:
        """Clear a request that a target has served; return whether it was."""
        known = self._record_by_fingerprint.get(fingerprint)
        if known is None or known.suspicion is Suspicion.none:
            return False
        cleared = dict.fromkeys(known.is_cleared_by_life, True)
        return self.merge(CrashRecord(fingerprint, cleared, now), now)

    def record_alive(
        self, life: TargetLife, sent_at: Seconds, now: Seconds
    ) -> list[Fingerprint]:
        """Clear all requests of a crash after which the target answered.

        `sent_at` is when the request was sent that it answered. Return the
        requests of which this is news.
        """
        known_at = self._known_at_by_life.get(life)
        if known_at is None or sent_at <= known_at:
            return []
        if now - known_at > REFUTATION_TIME:
            return []
        self._known_at_by_life[life] = -math.inf
        return [
            record.fingerprint
            for record in self.records()
            if life in record.is_cleared_by_life
            and self.merge(
                msgspec.structs.replace(
                    record, is_cleared_by_life={life: True}
                ),
                now,
            )
        ]

    def prune(self, now: Seconds) -> list[CrashRecord]:
        """Forget what is too old; return the requests that this frees."""
        expired = [
            record
            for record in self.records()
            if now - record.seen_at >= RETENTION
        ]
        for record in expired:
            self._record_by_fingerprint.pop(record.fingerprint)
        self._prune_lives()
        return expired

    def _drop_excess(self) -> None:
        if len(self._record_by_fingerprint) <= MAX_REQUESTS:
            return
        dropped = min(self._record_by_fingerprint.values(), key=_worth)
        self._record_by_fingerprint.pop(dropped.fingerprint)
        self._prune_lives()

    def _prune_lives(self) -> None:
        named: set[TargetLife] = set()
        for record in self._record_by_fingerprint.values():
            named.update(record.is_cleared_by_life)
        for life in self._known_at_by_life.keys() - named:
            self._known_at_by_life.pop(life)


class PendingCrashes:
    """Exchanges that broke, at targets that may live."""

    def __init__(self) -> None:
        """Start without any."""
        self._broken_at_by_life: dict[
            TargetLife, dict[Fingerprint, Seconds]
        ] = {}
        #: The requests of these that were sent alone.
        self._alone: set[tuple[Fingerprint, TargetLife]] = set()

    def add(
        self,
        fingerprint: Fingerprint,
        life: TargetLife,
        now: Seconds,
        *,
        was_alone: bool = False,
    ) -> None:
        """Note that a request was at work where a connection broke."""
        if sum(map(len, self._broken_at_by_life.values())) >= MAX_PENDING:
            return
        self._broken_at_by_life.setdefault(life, {})[fingerprint] = now
        if was_alone:
            self._alone.add((fingerprint, life))

    def was_alone(self, fingerprint: Fingerprint, life: TargetLife) -> bool:
        """Return whether a request was sent alone when it broke."""
        return (fingerprint, life) in self._alone

    def lives(self) -> list[TargetLife]:
        """Return the lives that may have ended."""
        return list(self._broken_at_by_life)

    def take(self, life: TargetLife, now: Seconds) -> list[Fingerprint]:
        """Return and forget the requests that were at work at a life."""
        broken = self._broken_at_by_life.pop(life, {})
        return [
            fingerprint
            for fingerprint, broken_at in broken.items()
            if now - broken_at < CONFIRMATION_TIME
        ]

    def record_alive(self, life: TargetLife, sent_at: Seconds) -> None:
        """Forget what broke before a request was sent that was answered."""
        broken = self._broken_at_by_life.get(life)
        if broken and max(broken.values()) < sent_at:
            self._broken_at_by_life.pop(life)

    def prune(self, now: Seconds) -> None:
        """Forget what was not confirmed in time."""
        self._alone = {
            (one, life)
            for one, life in self._alone
            if one in self._broken_at_by_life.get(life, {})
        }
        for life, broken in list(self._broken_at_by_life.items()):
            if now - max(broken.values()) >= CONFIRMATION_TIME:
                self._broken_at_by_life.pop(life)


def describe_crashes(crashes: Iterable[TargetLife]) -> str:
    """Return the targets of crashes as a text for people."""
    return ', '.join(life.target_id for life in crashes)


def _worth(record: CrashRecord) -> tuple[int, Seconds]:
    return len(record.crashes), record.seen_at
