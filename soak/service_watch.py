"""Watch what may keep keys from being served, and who learns of ended targets.

It feeds the judges of soak/service_judging.py.
"""

import asyncio
from collections.abc import Iterator

from soak.disruptions import Disruptions
from soak.fleet import DaemonProcess, SoakFleet
from soak.leaders import LeaderWatch
from soak.service_judging import (
    AddedRouteJudge,
    KeyRequest,
    KeyServiceJudge,
    Misdirection,
    judge_misdirections,
)

#: Interval between looks for excuses, in seconds.
EXCUSE_INTERVAL = 0.05
#: Lateness of this process that excuses, in seconds.
MAX_OWN_LATENESS = 0.25
KEYED_SERVICE = 'registry'


class ServiceWatch:
    """Reports requests, excuses and ended targets to judges."""

    def __init__(self, fleet: SoakFleet, watch: LeaderWatch) -> None:
        """Start without reports; `run` looks for excuses."""
        self._fleet = fleet
        self._watch = watch
        self.keys = KeyServiceJudge()
        self.routes = AddedRouteJudge()
        #: Times at which this process was late, and by how much, in seconds.
        self._lateness: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Look for excuses until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + EXCUSE_INTERVAL
            await asyncio.sleep(EXCUSE_INTERVAL)
            now = loop.time()
            self._lateness.append((now, now - due_at))
            reason = self._excuse()
            if reason:
                self.keys.excuse(reason, now)

    def note(
        self,
        daemon: DaemonProcess,
        host_is_added: bool | None,
        request: KeyRequest,
    ) -> None:
        """Report a request for a key that a daemon has answered or failed.

        `host_is_added` is None for requests that are not compared.
        """
        is_in_touch = self._fleet.is_in_touch(
            daemon, request.sent_at, request.ended_at
        )
        if request.is_served or (is_in_touch and not daemon.is_cut_off):
            self.keys.note(request)
        is_steady = is_in_touch and self._fleet.is_core_stable(
            request.sent_at, request.ended_at
        )
        if is_steady and host_is_added is not None:
            self.routes.note(
                KEYED_SERVICE,
                is_added=host_is_added,
                is_served=request.is_served,
            )

    def violations(self) -> list[str]:
        """Return what all judges found."""
        self.keys.check()
        return [
            *judge_misdirections(self._misdirections(), self),
            *self.keys.violations,
            *self.routes.violations(),
        ]

    def misdirection_count(self) -> int:
        """Return how many requests reached another target than they name."""
        return len(list(self._misdirections()))

    def is_answered(
        self, request: Misdirection, since: float, until: float
    ) -> bool:
        """Return whether the sender gets the answers of the target."""
        daemon = self._daemon(request.daemon)
        path = daemon.path_by_target[request.expected_id]
        return daemon.is_undisturbed(since, until) and path.disruptions.is_calm(
            since, until
        )

    def is_relayed(self, sender: Misdirection, receiver: Misdirection) -> bool:
        """Return whether one daemon learns what another one was answered."""
        since, until = sender.at, receiver.at
        leader = self._watch.leader_during(since, until)
        return (
            leader is not None
            and self.is_answered(sender, since, until)
            and all(
                self._fleet.is_in_touch(one, since, until)
                for one in (
                    leader,
                    self._daemon(sender.daemon),
                    self._daemon(receiver.daemon),
                )
            )
        )

    def lateness(self, since: float, until: float) -> float:
        """Return how late the targets noted requests, in seconds."""
        return max(
            (
                late
                for at, late in self._lateness
                if since <= at - late <= until
            ),
            default=0.0,
        )

    def _misdirections(self) -> Iterator[Misdirection]:
        for target in self._fleet.all_targets:
            for request in target.work.arrivals.misdirected:
                if request.sender:
                    yield Misdirection(
                        request.at,
                        request.request_id,
                        request.sender,
                        request.expected_id,
                        target.target_id,
                    )

    def _daemon(self, name: str) -> DaemonProcess:
        return next(one for one in self._fleet.daemons if one.name == name)

    def _excuse(self) -> str:
        """Return why keys may have no service at this moment, or nothing."""
        now = asyncio.get_running_loop().time()
        fleet = self._fleet
        leader = self._watch.current_leader()
        if self._lateness[-1][1] > MAX_OWN_LATENESS:
            return 'the targets are late'
        if not _is_calm(fleet.store_disruptions, now):
            return 'the store is down, slow or loses answers'
        if not _is_calm(fleet.store_refusals, now):
            return 'the store turns machines away'
        if not fleet.has_owner():
            return 'all targets are gone'
        if leader is None:
            return 'no daemon leads'
        if not fleet.may_lead(leader) or not leader.is_undisturbed(now, now):
            return 'the leader is disrupted'
        owners = [
            one
            for one in fleet.targets
            if one.is_keyed and one.target_id not in fleet.down_ids
        ]
        for owner in owners:
            path = leader.path_by_target[owner.target_id]
            if not _is_calm(path.disruptions, now):
                return 'the leader is cut off from targets'
            if owner.faults.refuses_or_limits():
                return 'targets refuse or limit requests'
        return ''


def _is_calm(disruptions: Disruptions, now: float) -> bool:
    return disruptions.is_calm(now, now)
