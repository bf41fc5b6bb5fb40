"""Find which targets this daemon reaches of those that others miss.

Load pattern handled: many targets end at once. A daemon misses those that it
has tried, so that the ones which others don't list may only be untried there.
So it counts as evidence against a daemon's path only that another has reached
the target since the target was listed; a few try it if they have not.
"""

from collections.abc import Iterable
from typing import Final

import msgspec

from cassialever.interfaces import RandomSource
from cassialever.policy.direct_paths import DirectPaths
from cassialever.policy.silence import UnansweredRequests
from cassialever.types import Seconds, TargetId

#: How long an answer of a target shows that this daemon reaches it.
EVIDENCE_AGE: Final[Seconds] = 1.0
#: Daemons that tell at once, on average, that they reach a target which another
#: one misses, and try it before if need be.
MEAN_WITNESSES: Final = 3
#: Time between two draws of them.
DRAW_INTERVAL: Final[Seconds] = 1.0
#: How long a target counts as listed after the last report that lists it; the
#: reports of a large fleet are a second apart, and some are lost.
LISTING_AGE: Final[Seconds] = 4.0


class _Listing(msgspec.Struct):
    """Since when others have listed a target.

    `draw_at` is when to draw next whether this daemon is a witness.
    """

    first_at: Seconds
    last_at: Seconds
    draw_at: Seconds
    is_witness: bool = False
    is_told: bool = False


class Witness:
    """What this daemon knows of the targets that others don't reach."""

    def __init__(
        self,
        direct: DirectPaths,
        unanswered: UnansweredRequests,
        random_source: RandomSource,
    ) -> None:
        """Start without reports; `unanswered` knows when targets answered."""
        self._direct = direct
        self._unanswered = unanswered
        self._random = random_source
        self._listing_by_id: dict[TargetId, _Listing] = {}

    def note_listed(self, target_ids: Iterable[TargetId], now: Seconds) -> None:
        """Note the targets that a daemon reports as unreachable."""
        for target_id in target_ids:
            listing = self._listing_by_id.get(target_id)
            if listing is None or now >= listing.last_at + LISTING_AGE:
                listing = _Listing(now, now, now)
                self._listing_by_id[target_id] = listing
            listing.last_at = now

    def reached(self, now: Seconds) -> list[TargetId]:
        """Return the targets that this daemon has reached since the listing."""
        return [
            target_id
            for target_id, listing in self._listed(now)
            if self._is_reached(target_id, listing, now)
        ]

    def due_trials(self, daemon_count: int, now: Seconds) -> list[TargetId]:
        """Return the listed targets that this daemon should try to reach now.

        Of `daemon_count` daemons each draws for itself whether it is a witness.
        """
        due: list[TargetId] = []
        for target_id, listing in self._listed(now):
            if now < listing.draw_at:
                continue
            listing.draw_at = now + DRAW_INTERVAL
            draw = self._random.random() * daemon_count
            listing.is_witness = draw < MEAN_WITNESSES
            if listing.is_witness and self._is_untried(target_id, listing, now):
                due.append(target_id)
        return due

    def take_news(self, now: Seconds) -> bool:
        """Return whether others should know at once what this daemon reaches.

        It counts as told then.
        """
        news = [
            listing
            for target_id, listing in self._listed(now)
            if listing.is_witness
            and not listing.is_told
            and self._is_reached(target_id, listing, now)
        ]
        for listing in news:
            listing.is_told = True
        return bool(news)

    def prune(self, now: Seconds) -> None:
        """Forget targets that are listed no more."""
        self._listing_by_id = dict(self._listed(now))

    def _listed(self, now: Seconds) -> list[tuple[TargetId, _Listing]]:
        return [
            (target_id, listing)
            for target_id, listing in self._listing_by_id.items()
            if now < listing.last_at + LISTING_AGE
        ]

    def _is_untried(
        self, target_id: TargetId, listing: _Listing, now: Seconds
    ) -> bool:
        if self._direct.is_down(target_id, now):
            return False
        return not self._is_reached(target_id, listing, now)

    def _is_reached(
        self, target_id: TargetId, listing: _Listing, now: Seconds
    ) -> bool:
        if self._direct.is_down(target_id, now):
            return False
        reached_at = self._unanswered.reached_at(target_id)
        return reached_at > max(listing.first_at, now - EVIDENCE_AGE)
