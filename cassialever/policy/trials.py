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
        self._claims_by_request: dict[
            Fingerprint, dict[InstanceId, Seconds]
        ] = {}

    def claim(
        self, fingerprint: Fingerprint, duration: Seconds, now: Seconds
    ) -> bool:
        """Claim a trial, unless there is a claim to it."""
        if self._claimants(fingerprint, now):
            return False
        self._put(fingerprint, self._own, duration, now)
        return True

    def is_claimed(self, fingerprint: Fingerprint, now: Seconds) -> bool:
        """Return whether a daemon has a claim to the trial of a request."""
        return bool(self._claimants(fingerprint, now))

    def holds(self, fingerprint: Fingerprint, now: Seconds) -> bool:
        """Return whether the own claim goes before all others."""
        claimants = self._claimants(fingerprint, now)
        return self._own == min(claimants, default=None)

    def release(self, fingerprint: Fingerprint) -> None:
        """Give up the own claim."""
        self._claims_by_request.get(fingerprint, {}).pop(self._own, None)

    def own_time_left(self, fingerprint: Fingerprint, now: Seconds) -> Seconds:
        """Return for how long the own claim lasts; 0 if there is none."""
        claims = self._claims_by_request.get(fingerprint, {})
        return max(claims.get(self._own, now) - now, 0)

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
        if duration or fingerprint in self._claims_by_request:
            self._put(fingerprint, claimant, duration, now)

    def prune(self, now: Seconds) -> None:
        """Forget claims that have ended."""
        for fingerprint in list(self._claims_by_request):
            if not self._claimants(fingerprint, now):
                self._claims_by_request.pop(fingerprint)

    def _put(
        self,
        fingerprint: Fingerprint,
        claimant: InstanceId,
        duration: Seconds,
        now: Seconds,
    ) -> None:
        claims = self._claims_by_request.setdefault(fingerprint, {})
        claims[claimant] = now + min(duration, MAX_TRIAL_TIME)

    def _claimants(
        self, fingerprint: Fingerprint, now: Seconds
    ) -> list[InstanceId]:
        claims = self._claims_by_request.get(fingerprint, {})
        return [one for one, until in claims.items() if until > now]
