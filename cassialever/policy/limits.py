"""Remember what targets say of themselves in their answers.

A target in need names the number of requests per second that it takes from
all daemons together. An answer without a limit ends it. Daemons exchange what
they have read, in any order and more than once, so what is known of a target is
a pair of times of which each only rises (a state-based replicated data type,
after Shapiro et al.): when the limit was last named, and when the latest
request was sent that was answered without one. The limit is in force while
the first is later. An answer that was under way while the limit was named
thus can't end it. A target that says that it leaves does so until it starts
again; the earliest time at which it said so is kept. One whose address another
target has got has ended: a process keeps its address. A pause that a target
asks for concerns the daemon that it answers alone, and is not exchanged.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Final, TypeAlias

import msgspec

from cassialever.fleet.model import StartedAt, Target
from cassialever.policy.named_lives import NamedLives
from cassialever.policy.pauses import TargetPauses
from cassialever.types import Seconds, TargetId

#: By how much later than a limit was named a request has to be sent for its
#: answer to show to other daemons too that the limit has ended. Reports take up
#: to this long, through the leader, and it is not known how long one took.
MAX_REPORT_DELAY: Final[Seconds] = 0.3
#: Lowest rate that is applied, in requests per second. A target is asked at
#: least this often, since only an answer tells that the limit has ended.
MIN_RATE: Final = 0.1
#: Number of targets that are gone of which it is still known that they left or
#: have ended. An entry may come back though its target leaves.
MAX_GONE_TARGETS: Final = 1000


class TargetLimit(msgspec.Struct, frozen=True):
    """What one life of a target has said of itself.

    `rate` is in requests per second; times are in seconds of this daemon's
    boot clock.
    """

    target_id: TargetId
    started_at: StartedAt
    rate: float = 0
    #: When an answer was read that named the rate.
    named_at: Seconds = -math.inf
    #: When the latest request was sent that was answered without a limit.
    ended_at: Seconds = -math.inf
    #: The same, as reports to other daemons tell it.
    reported_end: Seconds = -math.inf
    #: When an answer was first read that said that the target leaves.
    leaving_since: Seconds = math.inf
    #: The address at which another target has answered; empty if none has.
    replaced_at: str = ''

    @property
    def is_leaving(self) -> bool:
        """Return whether the target has said that it leaves."""
        return math.isfinite(self.leaving_since)

    @property
    def is_over(self) -> bool:
        """Return whether the target gets no more requests in this life."""
        return self.is_leaving or bool(self.replaced_at)

    @property
    def is_in_force(self) -> bool:
        """Return whether the limit was named after it last ended."""
        return self.named_at > self.ended_at

    def merge(self, other: 'TargetLimit') -> 'TargetLimit':
        """Return what two states of the same target together say."""
        if other.started_at != self.started_at:
            return max(self, other, key=_started_at)
        latest = max(self, other, key=_naming)
        return TargetLimit(
            self.target_id,
            self.started_at,
            latest.rate,
            latest.named_at,
            max(self.ended_at, other.ended_at),
            max(self.reported_end, other.reported_end),
            min(self.leaving_since, other.leaving_since),
            max(self.replaced_at, other.replaced_at),
        )

    @property
    def rate_in_force(self) -> float | None:
        """Return the rate, or None if the limit has ended."""
        return self.rate if self.is_in_force else None

    @property
    def has_ended_for_all(self) -> bool:
        """Return whether a report shows to any daemon that it has ended."""
        return self.reported_end > self.named_at


class LimitSource(msgspec.Struct, frozen=True):
    """Where a daemon learned of a limit; an empty peer is an own answer."""

    peer: str = ''


OWN_ANSWER: Final = LimitSource()
#: Called with what was known of a target, what is known now, and from whom.
LimitChangeHandler: TypeAlias = Callable[
    [TargetLimit, TargetLimit, LimitSource], None
]


class TargetLimits:
    """What all targets have said of themselves, as far as is known here."""

    def __init__(self) -> None:
        """Start without any limit."""
        self._limit_by_id: dict[TargetId, TargetLimit] = {}
        self._lives = NamedLives()
        #: The pauses that targets asked this daemon for.
        self.pauses = TargetPauses()
        #: Called with the state before and after a change that others need to
        #: know of.
        self.on_change: LimitChangeHandler = _ignore_change
        #: Called when another target is known to have a target's address.
        self.on_replaced: list[Callable[[], None]] = []

    def record_answer(
        self,
        target: Target,
        rate: float | None,
        sent_at: Seconds,
        now: Seconds,
    ) -> None:
        """Record an answer, which names a rate or, with None, no limit.

        `sent_at` is when the answered request was sent, by the boot clock.
        """
        known = self._limit_by_id.get(target.target_id)
        if rate is None and known is None:
            return
        self._lives.note_called(target)
        limit = TargetLimit(target.target_id, target.started_at)
        if rate is None:
            limit = msgspec.structs.replace(
                limit,
                ended_at=sent_at,
                reported_end=sent_at - MAX_REPORT_DELAY,
            )
        else:
            limit = msgspec.structs.replace(limit, rate=rate, named_at=now)
        self.merge(limit, OWN_ANSWER)

    def record_leaving(self, target: Target, now: Seconds) -> None:
        """Record an answer by which a target says that it leaves."""
        self._lives.note_called(target)
        leaving = TargetLimit(
            target.target_id, target.started_at, leaving_since=now
        )
        self.merge(leaving, OWN_ANSWER)

    def record_replaced(self, target: Target) -> None:
        """Record that another target has answered at a target's address."""
        self._lives.note_called(target)
        replaced = TargetLimit(
            target.target_id,
            target.started_at,
            replaced_at=target.shared_address,
        )
        self.merge(replaced, OWN_ANSWER)

    def merge(self, limit: TargetLimit, source: LimitSource) -> TargetLimit:
        """Merge what an answer or a peer says; return what is known now.

        What is said of a life that is over is neither kept nor corrected: a
        daemon that does not know of its end would send it again.
        """
        if self._lives.is_over(limit.target_id, limit.started_at):
            return limit
        known = self._limit_by_id.get(limit.target_id)
        if known is None:
            known = TargetLimit(limit.target_id, limit.started_at)
        merged = known.merge(limit)
        self._limit_by_id[limit.target_id] = merged
        if _differs(known, merged):
            self.on_change(known, merged, source)
        if merged.replaced_at != known.replaced_at:
            for notify in self.on_replaced:
                notify()
        return merged

    def of(self, target_id: TargetId) -> TargetLimit | None:
        """Return what is known of a target's limit, in force or not."""
        return self._limit_by_id.get(target_id)

    def rate_of(self, target: Target) -> float | None:
        """Return the requests per second that a target takes, if limited."""
        limit = self._limit_by_id.get(target.target_id)
        if limit is None or limit.started_at != target.started_at:
            # A target that has restarted has no limit until it names one.
            return None
        return max(limit.rate, MIN_RATE) if limit.is_in_force else None

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target has said that it leaves, in this life."""
        return math.isfinite(self.leaving_since(target))

    def leaving_since(self, target: Target) -> Seconds:
        """Return when a target said that it leaves, else infinity."""
        limit = self._limit_by_id.get(target.target_id)
        if limit is None or limit.started_at != target.started_at:
            return math.inf
        return limit.leaving_since

    def is_replaced(self, target: Target) -> bool:
        """Return whether another target has the address of this one's report.

        A process keeps its address, so that this one has ended then.
        """
        limit = self._limit_by_id.get(target.target_id)
        if limit is None or limit.started_at != target.started_at:
            return False
        return limit.replaced_at == target.shared_address

    def in_force(self) -> list[TargetLimit]:
        """Return the limits in force, and the targets that leave or ended."""
        return [
            one
            for one in self._limit_by_id.values()
            if one.is_in_force or one.is_over
        ]

    def prune(self, target_by_id: Mapping[TargetId, Target]) -> None:
        """Forget the limits of targets that are gone or have restarted."""
        self.pauses.prune(target_by_id)
        for target in target_by_id.values():
            self._lives.note(target)
        for target_id in _outdated(self._limit_by_id.values(), target_by_id):
            self._limit_by_id.pop(target_id)
        for limit in tuple(self._limit_by_id.values()):
            if self._lives.is_over(limit.target_id, limit.started_at):
                self._limit_by_id.pop(limit.target_id)


def _outdated(
    limits: Iterable[TargetLimit],
    target_by_id: Mapping[TargetId, Target],
) -> list[TargetId]:
    outdated = []
    gone = []
    for limit in limits:
        target = target_by_id.get(limit.target_id)
        if target is None and limit.is_over:
            gone.append(limit.target_id)
            continue
        if target is None or target.started_at > limit.started_at:
            outdated.append(limit.target_id)
    return outdated + gone[:-MAX_GONE_TARGETS]


def _started_at(limit: TargetLimit) -> StartedAt:
    return limit.started_at


def _naming(limit: TargetLimit) -> tuple[Seconds, float]:
    # Of two rates named at the same time the lower one applies.
    return limit.named_at, -limit.rate


def _differs(known: TargetLimit, merged: TargetLimit) -> bool:
    return (
        known.rate_in_force != merged.rate_in_force
        or known.has_ended_for_all != merged.has_ended_for_all
        or known.is_leaving != merged.is_leaving
        or known.replaced_at != merged.replaced_at
    )


def _ignore_change(
    known: TargetLimit, merged: TargetLimit, source: LimitSource
) -> None:
    """Ignore a change; the default until a handler is set."""
