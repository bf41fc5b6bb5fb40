"""Judge how soon a fleet recovers from faults that keep it from leading.

Nothing here waits: times come with what is judged, by the loop's clock.
"""

from collections.abc import Mapping
from math import isfinite

import msgspec

from cassialever.fleet.lease import STALE_AFTER

#: Some daemon leads this long after such a fault, in seconds.
LED_BOUND = 3.0
#: One in this many daemons may be unable to lead all the while.
DAEMONS_PER_HINDERED = 9
#: Without a leader, tables of a daemon that has reached the store for
#: SETTLING_TIME are younger than this, in seconds.
TABLES_BOUND = 2.0
SETTLING_TIME = 3.0


class Reading(msgspec.Struct, frozen=True):
    """What the metrics of a daemon tell; None of one that doesn't answer."""

    leads: bool | None
    tables_age: float | None = None
    #: Whether it could lead: its process and path work, and the store accepts
    #: its transactions.
    may_lead: bool = True
    #: Time since the store confirmed its last transaction.
    confirmed_age: float = 0.0
    #: Which of the daemon's processes told it.
    life: int = 0
    #: Whether a fault has concerned its process, its paths or its calls since
    #: the readings before, and whether its reads were answered at once.
    is_hindered: bool = False
    reaches_store: bool = True

    def holds_lease(self) -> bool:
        """Return whether it leads, and not only by its own account."""
        is_confirmed = self.confirmed_age < STALE_AFTER
        return bool(self.leads) and (is_confirmed or not self.is_hindered)


class RecoveryJudge:
    """Finds times without a leader that no fault explains any more."""

    def __init__(self) -> None:
        """Start without readings."""
        self.violations: list[str] = []
        self.longest = 0.0
        self._hindered: frozenset[str] = frozenset()
        #: Since when there is no leader, while the store and all daemons but
        #: those that are hindered work.
        self._since: float | None = None
        self._is_reported = False

    def judge(
        self,
        now: float,
        reading_by_name: Mapping[str, Reading],
        *,
        store_is_healthy: bool,
    ) -> None:
        """Judge the readings of all daemons at one moment."""
        hindered = frozenset(
            name for name, one in reading_by_name.items() if one.is_hindered
        )
        most = max(1, len(reading_by_name) // DAEMONS_PER_HINDERED)
        is_led = any(one.holds_lease() for one in reading_by_name.values())
        is_excused = not store_is_healthy or len(hindered) > most
        is_new_fault = bool(hindered - self._hindered)
        self._hindered = hindered
        if is_led or is_excused:
            self._since = None
            self._is_reported = False
            return
        if self._since is None or is_new_fault:
            self._since = now
        duration = now - self._since
        self.longest = max(self.longest, duration)
        if duration > LED_BOUND and not self._is_reported:
            self._is_reported = True
            self.violations.append(
                f'{now:.2f} LEADER none leads for {duration:.2f} s without a'
                f' fault but of {sorted(hindered)}'
            )


class TablesJudge:
    """Finds tables that grow old without a leader."""

    def __init__(self) -> None:
        """Start without readings."""
        self.violations: list[str] = []
        self.oldest = 0.0
        #: Since when each daemon reaches the store.
        self._since_by_name: dict[str, float] = {}
        self._reported: set[str] = set()

    def judge(self, now: float, reading_by_name: Mapping[str, Reading]) -> None:
        """Judge the readings of all daemons at one moment."""
        is_led = any(one.holds_lease() for one in reading_by_name.values())
        for name, reading in reading_by_name.items():
            if not reading.reaches_store:
                self._since_by_name.pop(name, None)
                continue
            since = self._since_by_name.setdefault(name, now)
            if is_led or now - since < SETTLING_TIME:
                self._reported.discard(name)
                continue
            self._judge_age(now, name, reading.tables_age)

    def _judge_age(self, now: float, name: str, age: float | None) -> None:
        if age is None:
            return
        if isfinite(age):
            self.oldest = max(self.oldest, age)
        if age < TABLES_BOUND:
            self._reported.discard(name)
        elif name not in self._reported:
            self._reported.add(name)
            self.violations.append(
                f'{now:.2f} TABLES of {name}, which reaches the store, are'
                f' {age:.2f} s old without a leader'
            )
