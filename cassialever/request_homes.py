"""Which target remembers an id, and since when it alone does.

A change of a service's targets moves the home of some ids. The new home
knows nothing of what the old one ran, so it must not take an id that may
have come before for a first one.
"""

from collections.abc import Sequence
from typing import Final

import msgspec

from cassialever.once import home_of
from cassialever.types import RequestId, Seconds, TargetId

#: How long some daemons may go by the former targets after a change.
SPREAD: Final[Seconds] = 6.0


class FormerHomes(msgspec.Struct, frozen=True):
    """The targets up to a change, and the wall time of that change."""

    targets: tuple[TargetId, ...]
    until: Seconds


class Homes:
    """The targets of one service, now and a while back."""

    def __init__(self, retention: Seconds) -> None:
        """Start without targets; `retention` is that of the memories."""
        self.targets: tuple[TargetId, ...] = ()
        self._retention = retention
        self._former: list[FormerHomes] = []

    def adopt(self, targets: Sequence[TargetId], wall: Seconds) -> None:
        """Take over the targets; their order doesn't matter."""
        ranked = tuple(sorted(targets))
        if ranked == self.targets:
            return
        oldest = wall - self._retention - SPREAD
        kept = [former for former in self._former if former.until > oldest]
        self._former = kept
        if self.targets:
            self._former.append(FormerHomes(self.targets, wall))
        self.targets = ranked

    def home(self, request_id: RequestId) -> TargetId | None:
        """Return the target that remembers an id now."""
        return home_of(request_id, self.targets)

    def known_from(self, request_id: RequestId) -> Seconds:
        """Return since when the present home of an id has been its only one.

        The answer is wall time, to pass on to `OnceMemory.claim`; 0 says
        that no change known of here moved the id.
        """
        home = self.home(request_id)
        for former in reversed(self._former):
            if home_of(request_id, former.targets) != home:
                return former.until + SPREAD
        return 0
