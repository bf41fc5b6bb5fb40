"""Decide whether a daemon may lead, by the targets that it reaches.

A leader that can't reach targets can't renew their grants.
"""

import math
from typing import Final

from cassialever.policy.paths import TargetPaths
from cassialever.types import Seconds

#: How long a daemon leaves the leadership to others that reach more targets;
#: they take a few calls to the store, and 0.4 s on the slowest link.
MAX_YIELD_TIME: Final[Seconds] = 2.0
#: Attempts to lead further apart than this belong to different elections; in
#: one of them they are as far apart as the longest pause and two slow attempts.
ELECTION_GAP: Final[Seconds] = 9.0
#: How long a daemon leads that was elected though it reaches fewer targets, as
#: no other daemon took over; more frequent elections would gain nothing.
MIN_TERM: Final[Seconds] = 5.0
#: Time in which other daemons find out that they miss some targets too.
REPORT_PERIOD: Final[Seconds] = 0.5


class Candidacy:
    """Whether this daemon should lead, as the paths to targets tell."""

    def __init__(self, paths: TargetPaths) -> None:
        """Start as a daemon that may lead."""
        self._paths = paths
        #: When there last was a leader, which ended an earlier election.
        self.leader_at: Seconds = -math.inf
        self._yielded_since: Seconds = 0
        self._yielded_at: Seconds = -math.inf
        self._leads_until: Seconds = 0
        self._misses_since: Seconds | None = None

    def may_lead(self, now: Seconds) -> bool:
        """Return whether this daemon may try to lead now.

        One that should leave it to others may after MAX_YIELD_TIME.
        """
        if not self._paths.should_yield(now):
            return True
        election_ends_at = self._yielded_at + ELECTION_GAP
        if now > election_ends_at or self.leader_at > self._yielded_at:
            self._yielded_since = now
        self._yielded_at = now
        if now < self._yielded_since + MAX_YIELD_TIME:
            return False
        self._leads_until = now + MIN_TERM
        return True

    def is_yielding(self, now: Seconds) -> bool:
        """Return whether this daemon left the leadership to others lately."""
        if not self._yielded_at or now > self._yielded_at + ELECTION_GAP:
            return False
        return now < self._yielded_since + MAX_YIELD_TIME

    def should_hand_over(self, now: Seconds) -> bool:
        """Return whether this daemon, which leads, should stop to."""
        if now < self._leads_until or not self._paths.should_yield(now):
            self._misses_since = None
            return False
        if self._misses_since is None:
            self._misses_since = now
        is_confirmed = now >= self._misses_since + REPORT_PERIOD
        return is_confirmed or self._paths.is_cut_off(now)

    def is_cut_off(self, now: Seconds) -> bool:
        """Return whether this daemon reaches no target."""
        return self._paths.is_cut_off(now)
