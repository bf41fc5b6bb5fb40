"""Find targets that have been silent for long while requests wait."""

from cassialever.types import Seconds, TargetId


class UnansweredRequests:
    """The requests sent directly to each target that have no answer yet."""

    def __init__(self) -> None:
        """Start without requests."""
        #: When each was sent, the oldest first, by target and request id.
        self._sent_at_by_id: dict[TargetId, dict[str, Seconds]] = {}
        #: When each of these targets was last heard, if since then.
        self._heard_at: dict[TargetId, Seconds] = {}

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
        if target_id in self._sent_at_by_id:
            self._heard_at[target_id] = now

    def silent_since(self) -> dict[TargetId, Seconds]:
        """Return since when each target with waiting requests is silent."""
        return {
            target_id: max(
                next(iter(requests.values())), self._heard_at.get(target_id, 0)
            )
            for target_id, requests in self._sent_at_by_id.items()
        }
