"""Keep the keys of one service assigned, as the leader."""

import asyncio
from typing import Final

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet import messages
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.model import KeyMap
from cassialever.fleet.relay import Relay
from cassialever.fleet.view import OWN_TABLE, FleetView
from cassialever.invariants import Invariant, check
from cassialever.keys import planning
from cassialever.keys.candidates import Candidates
from cassialever.keys.doubts import Doubts
from cassialever.keys.granting import RETRY_GRANT, Granting
from cassialever.keys.heat import FOLD_EVERY, AnswerTimes, KeyHeat
from cassialever.keys.holdings import (
    Holding,
    Holdings,
    HoldingState,
    covers_all,
    holdings_of,
)
from cassialever.keys.mapwriter import MapWriter, row_name
from cassialever.keys.targetloads import Loads
from cassialever.tasks import Tasks
from cassialever.types import Fence, RowVersion, Seconds, ServiceName, TargetId

#: Keys move only if the store has answered this lately: two renewals of the
#: lease and a slow answer.
STORE_HEARD: Final[Seconds] = 1.2
#: Holdings on their way beyond which load moves no more of them.
MOST_LEAVING: Final = 8


class KeeperParts:
    """What the keepers of all services share during one term."""

    def __init__(
        self,
        view: FleetView,
        relay: Relay,
        granting: Granting,
        leading: LeaderTerm,
        clock: SystemClock,
    ) -> None:
        """Take the parts."""
        self.view = view
        self.relay = relay
        self.granting = granting
        self.leading = leading
        self.clock = clock
        #: How long targets take to answer, as all daemons report.
        self.times = AnswerTimes()


class ServiceKeeper:
    """The keys of one service during one term of this daemon's leading."""

    def __init__(self, service: ServiceName, parts: KeeperParts) -> None:
        """Take up what the store says of the service's keys."""
        self.service = service
        self.heat = KeyHeat()
        self.holdings = Holdings(service, [])
        self._parts = parts
        self._granting = parts.granting
        self._tasks = Tasks()
        self._candidates = Candidates(service, parts.view, parts.granting)
        self._loads = Loads(
            self.holdings, self._candidates.now, self.heat, parts.times
        )
        self._fold_at: Seconds = 0
        self._write_at: Seconds = 0
        self._is_writing = False
        self._writer = MapWriter(service, parts.leading, RowVersion(0))
        self._take_up()
        self._doubts = Doubts(
            self.holdings, parts.granting, self._tasks, parts.clock
        )

    def tick(self, now: Seconds) -> None:
        """Look at every holding and do what is due."""
        if not self.holdings.holdings:
            self._deal(now)
            return
        self._move(now)
        self._free_lapsed(now)
        self._announce_moving()
        self._give(now)
        self._renew(now)

    def stop(self) -> None:
        """Cancel whatever is under way."""
        self._tasks.stop()

    def _take_up(self) -> None:
        view = self._parts.view
        index = view.keys_by_service.get(self.service)
        if index is None:
            return
        now = self._parts.clock.boot()
        self.holdings.holdings = holdings_of(index.key_map, now).holdings
        row = view.rows.by_table_and_name[OWN_TABLE, row_name(self.service)]
        self._writer.version = row.version

    def _deal(self, now: Seconds) -> None:
        """Deal all keys once the targets have settled."""
        targets = self._candidates.settled(now)
        if not targets:
            return
        dealt = planning.deal(targets, Fence(1))
        for holding in dealt:
            holding.state = HoldingState.free
        self.holdings.holdings = dealt
        self._is_writing = True
        self._tasks.start(self._write_and_grant(dealt))

    def _move(self, now: Seconds) -> None:
        """Take keys back from owners that are lost or too busy."""
        # Keys that were taken back would have no owner until the store can
        # take the next one's row.
        is_heard = self._parts.leading.store_age() < STORE_HEARD
        if not is_heard or not self._granting.may_act():
            return
        for holding in self.holdings.in_state(HoldingState.held):
            if self._has_lost_owner(holding, now):
                self._take_back(holding, 'its owner takes no work')
        if now < self._fold_at:
            return
        self._fold_at = now + FOLD_EVERY
        self.heat.fold()
        self._balance(now)

    def _free_lapsed(self, now: Seconds) -> None:
        former_is_over = self._parts.leading.earlier_leaders_expired()
        for holding in self.holdings.in_state(HoldingState.lapsing):
            # Earlier leaders may renew what they had granted.
            may_be_renewed = holding.is_inherited and not former_is_over
            if now >= holding.may_be_held_until and not may_be_renewed:
                holding.state = HoldingState.free

    def _balance(self, now: Seconds) -> None:
        if len(self.holdings.leaving()) >= MOST_LEAVING:
            return
        # What busy targets hold stays whole: orders for it are under way.
        busy = frozenset(self._granting.busy)
        self.holdings.join(busy)
        moving = planning.moves(
            self.holdings,
            self._loads.now(),
            self.heat,
            planning.Moment(now, busy),
        )
        for holding in moving:
            self._take_back(holding, 'its owner is too busy')

    def _has_lost_owner(self, holding: Holding, now: Seconds) -> bool:
        if self._candidates.has_lost(holding.owner, holding.owner_started_at):
            return True
        # Its grant has lapsed and it can't be reached to renew it.
        is_unreachable = self._granting.is_unreachable(holding.owner)
        return is_unreachable and now >= holding.may_be_held_until

    def _take_back(self, holding: Holding, reason: str) -> None:
        check(
            Invariant.leaves_once,
            holding.state is HoldingState.held,
            first=holding.first,
            state=holding.state.value,
        )
        record(
            Event.keys_leaving,
            service=self.service,
            target=holding.owner,
            first=holding.first,
            last=holding.last,
            fence=holding.fence,
            reason=reason,
            heat=round(self.heat.of(holding.first, holding.last), 1),
        )
        holding.handover = ''
        # A target that started anew may have had its keys renewed before
        # its start was known, so that it is asked like any other.
        address = self._granting.address_of(holding.owner)
        if address is None or self._granting.is_unreachable(holding.owner):
            holding.state = HoldingState.lapsing
            return
        holding.state = HoldingState.releasing
        self._tasks.start(self._granting.release(holding, address))

    def _announce_moving(self) -> None:
        moving = [(one.first, one.last) for one in self.holdings.leaving()]
        self._parts.relay.announce_moving(
            messages.Moving(self.service, moving),
        )

    def _give(self, now: Seconds) -> None:
        """Give free holdings to the targets with most room."""
        free = self.holdings.in_state(HoldingState.free)
        if self._is_writing or now < self._write_at or not free:
            return
        loaded = self._loads.now()
        if not loaded or not self._granting.may_act():
            return
        fence = self.holdings.highest_fence + 1
        for holding, target in planning.give_free(free, loaded, self.heat):
            check(
                Invariant.fence_rises,
                fence > holding.fence,
                first=holding.first,
                fence=fence,
            )
            holding.owner = target.target_id
            holding.owner_started_at = target.started_at
            holding.fence = Fence(fence)
        self._is_writing = True
        self._tasks.start(self._write_and_grant(free))

    def _confirm(self, now: Seconds) -> None:
        """Grant what is doubted with a new fence, once its owner is reached."""
        reached = self._doubts.due(now)
        if not reached or self._is_writing or now < self._write_at:
            return
        self._doubts.settle()
        fence = Fence(self.holdings.highest_fence + 1)
        for holding in reached:
            holding.fence = fence
        self._is_writing = True
        self._tasks.start(self._write_and_grant(reached))

    async def _write_and_grant(self, given: list[Holding]) -> None:
        """Write new owners, grant them their keys, then tell everybody."""
        check(
            Invariant.keys_covered,
            covers_all(self.holdings.holdings),
            service=self.service,
        )
        written = self.holdings.key_map()
        try:
            row = await self._writer.write(written)
        finally:
            self._is_writing = False
        if row is None:
            self._write_at = self._parts.clock.boot() + RETRY_GRANT
            return
        _check_written(given, written)
        await self._grant_new(given)
        self._parts.view.apply(OWN_TABLE, [row], row.version)
        self._announce_moving()

    async def _grant_new(self, given: list[Holding]) -> None:
        now = self._parts.clock.boot()
        for holding in given:
            # The new fence stands in the store, so that it may be granted.
            holding.is_doubted = False
            if holding.state is HoldingState.free:
                _start_anew(holding, now)
        await asyncio.gather(*self._granting.grants(given))
        record(
            Event.keys_assigned,
            service=self.service,
            version=self._writer.version,
            keys=list(map(_shown, given)),
        )

    def _renew(self, now: Seconds) -> None:
        if not self._granting.may_act():
            return
        self._confirm(now)
        due = [
            holding
            for holding in self.holdings.in_state(HoldingState.held)
            if holding.renew_at <= now
            and not holding.is_doubted
            and holding.owner not in self._granting.busy
        ]
        for work in self._granting.grants(due):
            self._tasks.start(work)


def _check_written(given: list[Holding], written: KeyMap) -> None:
    """Check that free keys are granted as they were written."""
    for holding in given:
        if holding.state is HoldingState.free:
            check(
                Invariant.grant_has_row,
                holding.key_range() in written.ranges,
                first=holding.first,
                target=holding.owner,
            )


def _start_anew(holding: Holding, now: Seconds) -> None:
    """Note that free keys have an owner, who has not been granted them."""
    holding.state = HoldingState.held
    holding.since = now
    holding.may_be_held_until = 0
    holding.unanswered_until = 0
    holding.is_inherited = False


def _shown(holding: Holding) -> tuple[int, int, TargetId, Fence]:
    return holding.first, holding.last, holding.owner, holding.fence
