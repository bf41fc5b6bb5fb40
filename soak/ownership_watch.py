"""Watch the grants of targets; it feeds the judge of ownership_judging.py."""

import asyncio
import time
from collections import Counter

from soak.fleet import DaemonProcess, SoakFleet
from soak.judging import STABLE_TIME
from soak.key_parts import THAW_TIME, TakenKeys
from soak.ownership_judging import OwnershipJudge
from standins.key_watch import Grant, KeyWatch, Life

#: Interval at which the judge looks at all keys, in seconds.
CHECK_INTERVAL = 0.05
#: Lateness of this process from which on grants are taken late, in seconds,
#: and for how long after it.
MAX_OWN_LATENESS = 0.25
LATE_TIME = 0.3
#: Violations of one kind that are told first.
MAX_TOLD = 5


class OwnershipWatch(KeyWatch):
    """Reports grants, releases and work of all targets to a judge."""

    def __init__(self, fleet: SoakFleet) -> None:
        """Start without grants; `run` looks at all keys."""
        self._fleet = fleet
        self._by_name = {one.name: one for one in fleet.daemons}
        self.judge = OwnershipJudge()
        #: When this process looked last, and when it was late last.
        self._looked_at = float('inf')
        self._late_at = float('-inf')

    async def run(self) -> None:
        """Look at all keys until cancelled."""
        while True:
            now = _now()
            self._note_lateness(now)
            self._looked_at = now
            self.judge.check(now)
            await asyncio.sleep(CHECK_INTERVAL)

    def take(self, life: Life, grant: Grant, sender: str) -> None:
        """Judge a grant that a target has accepted."""
        now = _now()
        self._note_lateness(now)
        daemon = self._by_name.get(sender)
        self.judge.take(
            TakenKeys(
                life,
                grant.first,
                grant.last,
                grant.fence,
                now,
                grant.until,
                sender,
                time.time(),
                is_after_thaw=daemon is not None
                and self._is_after_thaw(daemon, life, now),
                is_held_up=now - self._late_at < LATE_TIME
                or (daemon is not None and _is_harmed(daemon, life, now)),
            )
        )

    def release(self, life: Life, first: int, last: int) -> None:
        """Note that a target starts no more work on some keys."""
        self.judge.release(life, first, last, _now())

    def begin(self, life: Life, key: int) -> None:
        """Judge a request that a target begins."""
        self.judge.begin(life, key, _now())

    def finish(self, life: Life, key: int) -> None:
        """Note that a target works on a request no more."""
        self.judge.finish(life, key)

    def end(self, life: Life) -> None:
        """Note that the process of a target has ended."""
        self.judge.end(life, _now())

    def violations(self) -> list[str]:
        """Return what the judge has found, some of each kind first."""
        self.judge.check(_now())
        seen: Counter[str] = Counter()
        first, rest = [], []
        for line in self.judge.violations:
            kind = line.rpartition(' (')[2]
            seen[kind] += 1
            (first if seen[kind] <= MAX_TOLD else rest).append(line)
        return [*first, *rest]

    def _note_lateness(self, now: float) -> None:
        if now - self._looked_at - CHECK_INTERVAL > MAX_OWN_LATENESS:
            self._late_at = now

    def _is_after_thaw(
        self, daemon: DaemonProcess, life: Life, now: float
    ) -> bool:
        since = now - THAW_TIME
        path = daemon.path_by_target[life.target_id]
        return daemon.is_thawed_or_healed(
            since, now
        ) or path.disruptions.has_ended(_living_since(life, now, since), now)


def _is_harmed(daemon: DaemonProcess, life: Life, now: float) -> bool:
    """Return whether the path of a grant was cut or harmed shortly before."""
    path = daemon.path_by_target[life.target_id]
    since = _living_since(life, now, now - STABLE_TIME)
    return not path.disruptions.is_calm(since, now)


def _living_since(life: Life, now: float, since: float) -> float:
    """Return `since`, but not before the start of a life.

    Paths are closed while no process listens at their end.
    """
    return max(since, now - time.time() + life.born / 1000)


def _now() -> float:
    return asyncio.get_running_loop().time()
