"""Find targets that have been silent for long while requests wait."""

import math
from collections.abc import Container, Iterable, Mapping

from cassialever.types import Seconds, TargetId


class UnansweredRequests:
    """The requests sent directly to each target that have no answer yet."""

    def __init__(self) -> None:
        """Start without requests."""
        #: When each was sent, the oldest first, by target and request id.
        self._sent_at_by_id: dict[TargetId, dict[str, Seconds]] = {}
        #: When each of these targets was last heard, if since then.
        self._heard_at: dict[TargetId, Seconds] = {}
        #: When each target last answered or accepted a connection.
        self._reached_at: dict[TargetId, Seconds] = {}

    def record_sent(
        self, target_id: TargetId, request_id: str, now: Seconds
    ) -> None:
        """Note that a request is being sent."""
        self._sent_at_by_id.setdefault(target_id, {})[request_id] = now

    def record_end(self, target_id: TargetId, request_id: str) -> None:
        """Note that a request waits no longer, if it did."""
        requests = self._sent_at_by_id.get(target_id)
        if requests is None:
            return
        requests.pop(request_id, None)
        if not requests:
            self._sent_at_by_id.pop(target_id)
            self._heard_at.pop(target_id, None)

    def record_heard(self, target_id: TargetId, now: Seconds) -> None:
        """Note that bytes came from a target."""
        self._reached_at[target_id] = now
        if target_id in self._sent_at_by_id:
            self._heard_at[target_id] = now

    def record_accepted(self, target_id: TargetId, now: Seconds) -> None:
        """Note that a target accepted a connection."""
        self._reached_at[target_id] = now

    def reached_at(self, target_id: TargetId) -> Seconds:
        """Return when a target last answered or accepted a connection."""
        return self._reached_at.get(target_id, -math.inf)

    def oldest_sent_at(self) -> Seconds:
        """Return when the oldest waiting request was sent; inf if none is."""
        return min(
            (
                next(iter(requests.values()))
                for requests in self._sent_at_by_id.values()
            ),
            default=math.inf,
        )

    def silent_since(self) -> dict[TargetId, Seconds]:
        """Return since when each target with waiting requests is silent."""
        return {
            target_id: max(
                next(iter(requests.values())), self._heard_at.get(target_id, 0)
            )
            for target_id, requests in self._sent_at_by_id.items()
        }

    def unheard(
        self,
        silent_since: Mapping[TargetId, Seconds],
        group: Iterable[TargetId],
    ) -> list[TargetId]:
        """Return the silent targets of a group that may be cut off together.

        These are the ones that were sent to after any target of the group last
        answered or accepted a connection, the longest silence first.
        """
        members = set(group)
        reached_at = max(
            (
                self._reached_at.get(target_id, -math.inf)
                for target_id in members
            ),
            default=-math.inf,
        )
        since_by_id = {
            target_id: since
            for target_id, since in silent_since.items()
            if target_id in members and since >= reached_at
        }
        return sorted(since_by_id, key=since_by_id.__getitem__)

    def prune(self, known: Container[TargetId]) -> None:
        """Forget when targets that are gone were reached."""
        for target_id in list(self._reached_at):
            if target_id not in known:
                self._reached_at.pop(target_id)
