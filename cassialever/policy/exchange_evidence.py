"""Tell from exchanges whether this daemon is cut off from the targets.

Connections may be made and then reset before an answer comes, by a fault on the
way or by targets that are full. A full target goes on answering what it has
accepted, so that the requests sent to it before tell the two apart.
"""

import math
from collections.abc import Container
from typing import Final

import msgspec

from cassialever.policy.direct_paths import (
    EVIDENCE_LIFETIME,
    MIN_FAILED_TARGETS,
)
from cassialever.policy.silence import UnansweredRequests
from cassialever.types import DataCentreId, Seconds, TargetId

#: Data centres in which exchanges must break; one that is lost looks the same.
MIN_DATA_CENTRES: Final = 2
#: Time from the first broken exchange until it is used against the own path,
#: in which most answers that are under way arrive.
CONFIRMATION_DELAY: Final[Seconds] = 0.3
#: Time between two requests that try whether targets answer again.
TRIAL_INTERVAL: Final[Seconds] = 1.0


class _BrokenTarget(msgspec.Struct):
    """A target with broken exchanges since the last answer of any."""

    data_centre: DataCentreId
    broke_at: Seconds


class ExchangeEvidence:
    """The direct exchanges that broke since the last answer of any target."""

    def __init__(self, unanswered: UnansweredRequests) -> None:
        """Start without broken exchanges; those in progress are given."""
        self._unanswered = unanswered
        self._broken_by_id: dict[TargetId, _BrokenTarget] = {}
        self._broke_last_at: Seconds = -math.inf
        self._trial_at: Seconds = -math.inf

    def record_sent(self, now: Seconds) -> None:
        """Note that a request is being sent, which also serves as a trial."""
        if now >= self._trial_at:
            self._trial_at = now + TRIAL_INTERVAL

    def record_answer(self) -> None:
        """Note that bytes came from a target."""
        self._broken_by_id.clear()

    def record_broken(
        self, target_id: TargetId, data_centre: DataCentreId, now: Seconds
    ) -> None:
        """Note that a connection ended after it was made, with no answer."""
        if not self._is_recent(now):
            self._broken_by_id.clear()
        self._broke_last_at = now
        self._broken_by_id.setdefault(
            target_id, _BrokenTarget(data_centre, now)
        )

    def broken_without_answer(self, now: Seconds) -> list[TargetId]:
        """Return the targets whose exchanges broke, if they show a cut.

        None are returned if they are few, or in one data centre, or the first
        broke just now, or a request sent before it is still open.
        """
        if len(self._broken_by_id) < MIN_FAILED_TARGETS:
            return []
        broken = self._broken_by_id.values()
        data_centres = {target.data_centre for target in broken}
        if len(data_centres) < MIN_DATA_CENTRES or not self._is_recent(now):
            return []
        first = min(target.broke_at for target in broken)
        if now < first + CONFIRMATION_DELAY:
            return []
        if self._unanswered.oldest_sent_at() < first:
            return []
        return list(self._broken_by_id)

    def is_trial_due(self, now: Seconds) -> bool:
        """Return whether a request may try if targets answer again."""
        return now >= self._trial_at and bool(self.broken_without_answer(now))

    def prune(self, known: Container[TargetId]) -> None:
        """Forget targets that are gone."""
        for target_id in list(self._broken_by_id):
            if target_id not in known:
                self._broken_by_id.pop(target_id)

    def _is_recent(self, now: Seconds) -> bool:
        return now < self._broke_last_at + EVIDENCE_LIFETIME
