"""Choose the silent targets whose paths are probed."""

import math
from collections.abc import Mapping, Sequence
from typing import Final

from cassialever.fleet.target_registry import TargetRegistry
from cassialever.policy.direct_paths import MIN_FAILED_TARGETS
from cassialever.policy.loads import LoadTracker
from cassialever.policy.paths import TargetPaths
from cassialever.policy.placing import DEFAULT_LATENCY
from cassialever.types import DataCentreId, Seconds, TargetId

#: Silence of a target with an open request that may be part of a cut.
MIN_SILENCE: Final[Seconds] = 0.25
#: The same as a multiple of the target's latency, if that is longer.
SILENCE_LATENCIES: Final = 2.0
#: Silence after which a target is probed though others answer.
MIN_LONE_SILENCE: Final[Seconds] = 1.0
#: The same as a multiple of the target's latency, if that is longer.
LONE_SILENCE_LATENCIES: Final = 4.0
#: Time between two probes of a target that stays silent but can be reached.
SILENCE_PROBE_INTERVAL: Final[Seconds] = 1.0
#: Targets of a suspected cut that are probed at a time: twice as many as have
#: to fail, as some may be slow.
CUT_PROBE_COUNT: Final = 2 * MIN_FAILED_TARGETS


class SilenceWatch:
    """Doubts the paths to targets whose silence may show a fault."""

    def __init__(
        self,
        paths: TargetPaths,
        targets: TargetRegistry,
        loads: LoadTracker,
    ) -> None:
        """Start without doubts."""
        self._paths = paths
        self._targets = targets
        self._loads = loads
        self._silence_probed_at: dict[TargetId, Seconds] = {}
        #: When some of several silent targets were last probed for all.
        self._sampled_at: Seconds = -math.inf

    def check(self, now: Seconds) -> None:
        """Have the paths of silent targets probed, as far as due."""
        silent_since = self._paths.unanswered.silent_since()
        silent = self._silent_for_long(silent_since, now)
        suspects = self._cut_suspects(silent, now)
        sample = self._sample(silent, now)
        for target_id, since in silent.items():
            is_urgent = target_id in suspects
            is_chosen = is_urgent or target_id in sample
            if is_chosen or self._is_long_silent(target_id, since, now):
                self._doubt(target_id, since, now, is_urgent=is_urgent)
        for target_id in self._silence_probed_at.keys() - silent_since.keys():
            self._silence_probed_at.pop(target_id)

    def _silent_for_long(
        self, silent_since: Mapping[TargetId, Seconds], now: Seconds
    ) -> dict[TargetId, Seconds]:
        """Return the targets whose silence is unusual, and since when."""
        return {
            target_id: since
            for target_id, since in silent_since.items()
            if now - since >= self._longest_silence(target_id, now)
        }

    def _sample(
        self, silent: Mapping[TargetId, Seconds], now: Seconds
    ) -> Sequence[TargetId]:
        """Return a few of several silent targets, once in a while.

        Part of the targets may be cut off while others answer. Most often they
        are slow, so that a few are asked for all.
        """
        is_due = now >= self._sampled_at + SILENCE_PROBE_INTERVAL
        if len(silent) < MIN_FAILED_TARGETS or not is_due:
            return ()
        self._sampled_at = now
        untested = [
            target_id
            for target_id in silent
            if not self._paths.direct.is_down(target_id, now)
        ]
        return sorted(untested, key=silent.__getitem__)[:MIN_FAILED_TARGETS]

    def _doubt(
        self,
        target_id: TargetId,
        since: Seconds,
        now: Seconds,
        *,
        is_urgent: bool,
    ) -> None:
        """Have a silent target probed, unless that was done just now."""
        probed_at = self._silence_probed_at.get(target_id, since)
        if probed_at > since and now < probed_at + SILENCE_PROBE_INTERVAL:
            return
        self._silence_probed_at[target_id] = now
        self._paths.direct.record_doubt(target_id, now, is_urgent=is_urgent)

    def _cut_suspects(
        self, silent: Mapping[TargetId, Seconds], now: Seconds
    ) -> set[TargetId]:
        """Return targets to probe at once, to tell whether there is a cut.

        Nothing came from any target, or from any of a data centre, since
        requests were sent to several of them.
        """
        suspects: set[TargetId] = set()
        if len(silent) < MIN_FAILED_TARGETS:
            return suspects
        for group in self._groups():
            unheard = self._paths.unanswered.unheard(silent, group)
            if len(unheard) < MIN_FAILED_TARGETS:
                continue
            untested = [
                target_id
                for target_id in unheard
                if not self._paths.direct.is_down(target_id, now)
            ]
            suspects.update(untested[:CUT_PROBE_COUNT])
        return suspects

    def _groups(self) -> list[list[TargetId]]:
        """Return the targets that a cut would separate together."""
        group_by_data_centre: dict[DataCentreId, list[TargetId]] = {}
        for target_id, target in self._targets.by_id.items():
            group = group_by_data_centre.setdefault(target.data_centre, [])
            group.append(target_id)
        return [list(self._targets.by_id), *group_by_data_centre.values()]

    def _longest_silence(self, target_id: TargetId, now: Seconds) -> Seconds:
        return max(
            MIN_SILENCE, SILENCE_LATENCIES * self._latency(target_id, now)
        )

    def _is_long_silent(
        self, target_id: TargetId, since: Seconds, now: Seconds
    ) -> bool:
        """Return whether a silence is a doubt while other targets answer."""
        longest = max(
            MIN_LONE_SILENCE,
            LONE_SILENCE_LATENCIES * self._latency(target_id, now),
        )
        return now - since >= longest

    def _latency(self, target_id: TargetId, now: Seconds) -> Seconds:
        return self._loads.of(target_id).average_latency(now, DEFAULT_LATENCY)
