"""Tell which targets this daemon reaches over connections of its own."""

from collections.abc import Container
from typing import Final

import msgspec

from cassialever.policy.doubts import DoubtAllowance
from cassialever.types import Seconds, TargetId

#: How long a failed connection counts; a path that is down is probed more
#: often than that.
EVIDENCE_LIFETIME: Final[Seconds] = 3.0
#: Targets that must fail, with no answer of any target since, before a daemon
#: counts as cut off; a crash of fewer targets looks the same.
MIN_FAILED_TARGETS: Final = 3
#: Time from the failures that show a fault of the own path until they are used
#: against it: reports of a crashed target arrive within it, and the first
#: probes end unless the event loop is late.
CONFIRMATION_DELAY: Final[Seconds] = 0.15
#: Probes in a row that must succeed before a path is used again.
SUCCESSES_UNTIL_UP: Final = 2
#: Time between the first probes of a path, and until the one that confirms a
#: success.
FAST_PROBE_INTERVAL: Final[Seconds] = 0.1
#: Time between two probes of a path that stays down.
PROBE_INTERVAL: Final[Seconds] = 1.0


class _Failures(msgspec.Struct):
    """When a target failed first and last since the last answer of any."""

    first: Seconds
    last: Seconds

    def count(self, now: Seconds) -> bool:
        """Return whether they are recent enough to count."""
        return now < self.last + EVIDENCE_LIFETIME


class _PathState(msgspec.Struct):
    """A path that is down or in doubt; `down_since` is None while in doubt.

    A doubt is urgent if it may show that this daemon is cut off. A target that
    only others miss is tried for them.
    """

    probe_at: Seconds
    is_urgent: bool = False
    is_for_others: bool = False
    down_since: Seconds | None = None
    failed_at: Seconds = 0
    successes: int = 0

    def is_down(self, now: Seconds) -> bool:
        """Return whether the path is down by evidence that still counts."""
        if self.down_since is None:
            return False
        return now < self.failed_at + EVIDENCE_LIFETIME

    def is_confirmed(self, now: Seconds) -> bool:
        """Return whether the path has been down for CONFIRMATION_DELAY."""
        if self.down_since is None or not self.is_down(now):
            return False
        return now >= self.down_since + CONFIRMATION_DELAY


class DirectPaths:
    """This daemon's own paths to the targets, all usable at first."""

    def __init__(self) -> None:
        self._state_by_id: dict[TargetId, _PathState] = {}
        self._failures_by_id: dict[TargetId, _Failures] = {}
        self._doubt_allowance = DoubtAllowance()
        #: Rises with each change of the paths that are down.
        self.change_count = 0

    def record_answer(self, target_id: TargetId, now: Seconds) -> None:
        """Note that bytes came from a target over a direct connection.

        The connection may be older than the fault, so that the answer tells
        nothing of new ones, and a path that is down stays down.
        """
        self._failures_by_id.clear()
        state = self._state_by_id.get(target_id)
        if state is not None and state.down_since is None:
            self._state_by_id.pop(target_id)

    def record_failure(self, target_id: TargetId, now: Seconds) -> None:
        """Note that a new connection to a target failed."""
        state = self._state_by_id.setdefault(target_id, _PathState(now))
        if not state.is_for_others:
            self._count_failure(target_id, now, was_down=state.is_down(now))
        state.successes = 0
        if not state.is_down(now):
            state.down_since = now
            state.probe_at = now + FAST_PROBE_INTERVAL
            self.change_count += 1
        state.failed_at = now

    def record_doubt(
        self,
        target_id: TargetId,
        now: Seconds,
        *,
        is_urgent: bool = False,
        is_for_others: bool = False,
    ) -> None:
        """Have a path probed, at once if that is urgent.

        A target may reset connections when it is full, or be slow: the path
        counts as down only if the probe fails. Other probes of doubts wait for
        DOUBT_PROBE_INTERVAL after the target's last one, and all of them for
        the allowance of this daemon. The failure of a path that is probed only
        since others miss its target is no evidence of a cut: a daemon with few
        requests would have no answer in between.
        """
        state = self._state_by_id.get(target_id)
        if state is None:
            probe_at = self._doubt_allowance.next_probe_at(target_id, now)
            state = _PathState(probe_at, is_for_others=is_for_others)
            self._state_by_id[target_id] = state
        if is_urgent and state.down_since is None and not state.is_urgent:
            state.is_urgent = True
            state.probe_at = now

    def record_excused(self, target_id: TargetId, now: Seconds) -> None:
        """Note that a new connection failed by this daemon's own fault.

        The next probe tells, as no failure is excused twice in a row.
        """
        self.record_doubt(target_id, now)
        self._state_by_id[target_id].probe_at = now + FAST_PROBE_INTERVAL

    def record_probe_success(self, target_id: TargetId, now: Seconds) -> None:
        """Note that a new connection to a target was opened by a probe."""
        state = self._state_by_id.get(target_id)
        if state is None:
            return
        self._failures_by_id.clear()
        state.successes += 1
        if state.down_since is None or state.successes >= SUCCESSES_UNTIL_UP:
            self._state_by_id.pop(target_id)
            self.change_count += state.down_since is not None
            return
        state.probe_at = now + FAST_PROBE_INTERVAL
        # The other paths have probably come back too.
        for other in self._state_by_id.values():
            if other.successes == 0:
                other.probe_at = now

    def due_probes(self, now: Seconds, limit: int) -> list[TargetId]:
        """Return up to `limit` targets to probe now; schedule the next.

        Those that have waited longest are returned first.
        """
        due = sorted(
            (state.probe_at, target_id)
            for target_id, state in self._state_by_id.items()
            if state.probe_at <= now
        )
        chosen: list[TargetId] = []
        for _, target_id in due:
            if len(chosen) == limit:
                break
            state = self._state_by_id[target_id]
            # Paths that failed have no such limit: they carry no requests.
            is_doubt = state.down_since is None
            if is_doubt and not self._doubt_allowance.try_take(
                target_id, now, is_urgent=state.is_urgent
            ):
                continue
            state.probe_at = now + PROBE_INTERVAL
            chosen.append(target_id)
        return chosen

    def has_probes(self) -> bool:
        """Return whether any path is to be probed, now or later."""
        return bool(self._state_by_id)

    def is_down(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether the path to a target failed and isn't back yet."""
        state = self._state_by_id.get(target_id)
        return state is not None and state.is_down(now)

    def is_confirmed_down(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether a path failed so long ago that others can tell."""
        state = self._state_by_id.get(target_id)
        return state is not None and state.is_confirmed(now)

    def down(self, now: Seconds) -> list[TargetId]:
        """Return the targets whose paths are down."""
        return [
            target_id
            for target_id, state in self._state_by_id.items()
            if state.is_down(now)
        ]

    def failed_without_answer(self, now: Seconds) -> list[TargetId]:
        """Return the targets that failed since the last answer of any.

        None are returned if they are few or the last of MIN_FAILED_TARGETS
        failed just now: other targets are probed meanwhile.
        """
        failures_by_id = self._recent_failures(now)
        if len(failures_by_id) < MIN_FAILED_TARGETS:
            return []
        times = sorted(failures.first for failures in failures_by_id.values())
        enough_at = times[MIN_FAILED_TARGETS - 1]
        if now < enough_at + CONFIRMATION_DELAY:
            return []
        return list(failures_by_id)

    def needs_witness(self, now: Seconds) -> bool:
        """Return whether a probe of another target should confirm a cut."""
        is_cut_off = bool(self.failed_without_answer(now))
        has_failed = len(self._recent_failures(now)) >= MIN_FAILED_TARGETS
        return has_failed and not is_cut_off

    def prune(self, known: Container[TargetId]) -> None:
        """Forget targets that are gone."""
        self._doubt_allowance.prune(known)
        for target_id in list(self._state_by_id):
            if target_id not in known:
                self._state_by_id.pop(target_id)
                self._failures_by_id.pop(target_id, None)
                self.change_count += 1

    def _count_failure(
        self, target_id: TargetId, now: Seconds, *, was_down: bool
    ) -> None:
        """Count a failure since the last answer of any target.

        A path that was down before that answer shows no cut by failing again.
        """
        failures = self._failures_by_id.get(target_id)
        if failures is not None and failures.count(now):
            failures.last = now
        elif not was_down:
            self._failures_by_id[target_id] = _Failures(first=now, last=now)

    def _recent_failures(self, now: Seconds) -> dict[TargetId, _Failures]:
        if len(self._failures_by_id) < MIN_FAILED_TARGETS:
            return {}
        return {
            target_id: failures
            for target_id, failures in self._failures_by_id.items()
            if failures.count(now)
        }
