"""Which lives of targets are over, by the entries that have named them."""

from typing import Any, Final

from cassialever.fleet.model import StartedAt, Target
from cassialever.types import TargetId

#: Lives that are remembered; of more, those noted first are forgotten.
MAX_LIVES: Final = 2048


class NamedLives:
    """The life of each target that its entry names, and those before.

    A start is a time of day, which may step back, so that it does not tell
    which of two lives is later.
    """

    def __init__(self) -> None:
        """Start without any life."""
        self._named_by_id: dict[TargetId, StartedAt] = {}
        self._over: dict[tuple[TargetId, StartedAt], None] = {}

    def note_called(self, target: Target) -> None:
        """Note a life that was called by its entry, if none was named yet."""
        if target.target_id not in self._named_by_id:
            self.note(target)

    def note(self, target: Target) -> None:
        """Note the life that an entry names; one that it named before is over.

        An entry of an earlier life may come late, and be followed by the other.
        """
        target_id = target.target_id
        named = self._named_by_id.get(target_id)
        if named == target.started_at:
            return
        self._named_by_id[target_id] = target.started_at
        if named is not None:
            self._over[target_id, named] = None
        self._over.pop((target_id, target.started_at), None)
        _limit(self._named_by_id)
        _limit(self._over)

    def is_over(self, target_id: TargetId, started_at: StartedAt) -> bool:
        """Return whether a later life of a target is known."""
        return (target_id, started_at) in self._over


def _limit(known: dict[Any, Any]) -> None:
    if len(known) > MAX_LIVES:
        known.pop(next(iter(known)))
