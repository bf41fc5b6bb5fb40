"""Targets that refuse calls about keys, and when they are probed.

A refusal doesn't tell which process gave it, as addresses of targets that have
ended are used again. So a target that refuses gets no keys until a probe shows
that a target with keys is there, or it has answered itself.
"""

from typing import Any, Final

import msgspec

from cassialever.fleet.model import Target
from cassialever.types import Seconds, TargetId

#: Time from the first refusal to a probe; it doubles with each one after that.
#: An owner still holds what it had accepted then.
FIRST_PROBE_DELAY: Final[Seconds] = 1.0
MAX_PROBE_DELAY: Final[Seconds] = 4.0
#: Refusals that are remembered; of more, those noted first are forgotten.
MAX_REFUSALS: Final = 2048


class _Refusal(msgspec.Struct):
    """The refusals at the address of a target's report."""

    called: Target
    delay: Seconds
    probe_at: Seconds
    #: Whether no probe has shown a target with keys since the last one.
    is_in_force: bool = True


class RefusedCalls:
    """The targets whose last call about keys was refused, in one term."""

    def __init__(self) -> None:
        """Start without refusals."""
        self._refusal_by_id: dict[TargetId, _Refusal] = {}

    def record(self, called: Target, now: Seconds) -> None:
        """Note a refusal; `now` is in boot time.

        Those of calls that were sent before the next probe prolong nothing.
        """
        known = self._refusal_by_id.get(called.target_id)
        delay = FIRST_PROBE_DELAY
        if known is not None and _is_same(known.called, called):
            if known.is_in_force:
                return
            delay = min(known.delay * 2, MAX_PROBE_DELAY)
        self._refusal_by_id[called.target_id] = _Refusal(
            called, delay, now + delay
        )
        _limit(self._refusal_by_id)

    def end(self, target_id: TargetId) -> None:
        """Note that a target has answered itself, or was removed."""
        self._refusal_by_id.pop(target_id, None)

    def record_probe(self, target_id: TargetId) -> None:
        """Note that a probe has shown a target with keys at an address.

        It may refuse again, and is probed later then.
        """
        known = self._refusal_by_id.get(target_id)
        if known is not None:
            known.is_in_force = False

    def is_in_force(self, target: Target) -> bool:
        """Return whether a target refuses calls, as far as is known."""
        known = self._refusal_by_id.get(target.target_id)
        if known is None or not known.is_in_force:
            return False
        return _is_same(known.called, target)

    def due_probes(self, now: Seconds) -> list[TargetId]:
        """Return the targets to probe now; schedule the next probes."""
        due = []
        for target_id, known in self._refusal_by_id.items():
            if not known.is_in_force or now < known.probe_at:
                continue
            known.delay = min(known.delay * 2, MAX_PROBE_DELAY)
            known.probe_at = now + known.delay
            due.append(target_id)
        return due


def _is_same(first: Target, second: Target) -> bool:
    """Return whether two reports name the same life and address."""
    if first.started_at != second.started_at:
        return False
    return first.address == second.address


def _limit(known: dict[TargetId, Any]) -> None:
    while len(known) > MAX_REFUSALS:
        known.pop(next(iter(known)))
