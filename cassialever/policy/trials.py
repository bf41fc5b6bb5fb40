"""Let requests that may crash targets be tried by one daemon at a time.

A daemon claims a trial, tells all others, and waits until theirs would have
arrived. Of claims that were made at the same time the one of the smallest
instance id holds. Datagrams get lost, so that now and then two are tried.
"""

from typing import Final

from cassialever.policy.crashes import Fingerprint
from cassialever.types import InstanceId, Seconds

#: How long a claim is announced before it holds: twice the time between two
#: reads of the socket for datagrams, and a margin for late loops.
SETTLING_TIME: Final[Seconds] = 0.12
#: Longest time for which a trial is claimed.
MAX_TRIAL_TIME: Final[Seconds] = 5.0


class Trials:
    """The claims of all daemons, as far as they are known here."""

    def __init__(self, own: InstanceId) -> None:
        """Start without claims; `own` is the id of this daemon."""
        self._own = own
        self._until_by_claim: dict[tuple[Fingerprint, InstanceId], Seconds] = {}

    def claim(
        self, fingerprint: Fingerprint, duration: Seconds, now: Seconds
    ) -> bool:
        """Claim a trial, unless there is a claim to it."""
        if self._claimants(fingerprint, now):
            return False
        until = now + min(duration, MAX_TRIAL_TIME)
        self._until_by_claim[fingerprint, self._own] = until
        return True

    def holds(self, fingerprint: Fingerprint, now: Seconds) -> bool:
        """Return whether the own claim goes before all others."""
        return self._own == min(
            self._claimants(fingerprint, now), default=InstanceId('')
        )

    def release(self, fingerprint: Fingerprint) -> None:
        """Give up the own claim."""
        self._until_by_claim.pop((fingerprint, self._own), None)

    def own_time_left(self, fingerprint: Fingerprint, now: Seconds) -> Seconds:
        """Return for how long the own claim lasts; 0 if there is none."""
        until = self._until_by_claim.get((fingerprint, self._own), now)
        return max(until - now, 0)

    def record(
        self,
        fingerprint: Fingerprint,
        claimant: InstanceId,
        duration: Seconds,
        now: Seconds,
    ) -> None:
        """Record the claim of another daemon; none if it has no duration."""
        if claimant == self._own:
            return
        until = now + min(duration, MAX_TRIAL_TIME)
        self._until_by_claim[fingerprint, claimant] = until

    def prune(self, now: Seconds) -> None:
        """Forget claims that have ended."""
        for claim, until in list(self._until_by_claim.items()):
            if until <= now:
                self._until_by_claim.pop(claim)

    def _claimants(
        self, fingerprint: Fingerprint, now: Seconds
    ) -> list[InstanceId]:
        return [
            claimant
            for (claimed, claimant), until in self._until_by_claim.items()
            if claimed == fingerprint and until > now
        ]
