"""Order targets to take, keep and give back keys."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.view import FleetView
from cassialever.invariants import Invariant, check
from cassialever.keys.holdings import (
    HOLD,
    LONGEST_HOLD,
    RENEW_EVERY,
    Holding,
    HoldingState,
)
from cassialever.platform.targets import CallOutcome, CallResult, TargetClient
from cassialever.types import Fence, Seconds, TargetId

#: A renewal that failed is tried again after this.
RETRY_GRANT: Final[Seconds] = 0.25
#: Time between two tries to reach a target that gets no keys meanwhile.
TRY_EVERY: Final[Seconds] = 1.0
#: Time between two looks at whether the orders to a target have ended.
LOOK_AGAIN: Final[Seconds] = 0.01


class Granting:
    """The orders to targets during one term of this daemon's leading."""

    def __init__(
        self,
        view: FleetView,
        orders: TargetClient,
        leading: LeaderTerm,
        clock: SystemClock,
    ) -> None:
        """Take the view, the calls to targets and the term."""
        self._view = view
        self._orders = orders
        self._leading = leading
        self._clock = clock
        #: Targets to which grants are under way.
        self.busy: set[TargetId] = set()
        #: When to try again to reach targets whose last order failed.
        self._try_at_by_id: dict[TargetId, Seconds] = {}
        #: Called with a target whose order failed: it may have started anew.
        self.on_failure: list[Callable[[TargetId], None]] = []
        self._address_by_id: dict[TargetId, str] = {}

    def may_act(self) -> bool:
        """Tell whether this daemon may give orders."""
        return self._leading.has_authority()

    def is_unreachable(self, target_id: TargetId) -> bool:
        """Tell whether an order failed and nothing was reached there since."""
        return target_id in self._try_at_by_id

    def forget(self, target_id: TargetId) -> None:
        """Forget a target that has gone."""
        self._try_at_by_id.pop(target_id, None)

    def due_tries(self) -> list[TargetId]:
        """Return the unreachable targets that are to be tried again now."""
        now = self._clock.boot()
        due = [one for one, at in self._try_at_by_id.items() if at <= now]
        for target_id in due:
            self._try_at_by_id[target_id] = now + TRY_EVERY
        return due

    def address_of(self, target_id: TargetId) -> str | None:
        """Return where a target is, or was when it was last known."""
        target = self._view.targets.by_id.get(target_id)
        if target is not None:
            self._address_by_id[target_id] = target.address
        return self._address_by_id.get(target_id)

    def grants(
        self, holdings: list[Holding]
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the work of granting holdings, one piece for each owner."""
        by_owner: dict[TargetId, list[Holding]] = {}
        for holding in holdings:
            by_owner.setdefault(holding.owner, []).append(holding)
        return [self.grant(owner, owned) for owner, owned in by_owner.items()]

    async def grant(self, owner: TargetId, holdings: list[Holding]) -> None:
        """Grant holdings to one target, or renew them, one by one."""
        address = self.address_of(owner)
        if address is None:
            return
        await self._wait_for(owner)
        self.busy.add(owner)
        try:
            await self._grant_each(owner, holdings, address)
        finally:
            self.busy.discard(owner)

    async def reach(self, owner: TargetId) -> bool:
        """Tell whether anything listens where a target is."""
        address = self.address_of(owner)
        if address is not None and await self._orders.can_connect(address):
            self._try_at_by_id.pop(owner, None)
            return True
        self._note_lost(owner)
        return False

    async def release(self, holding: Holding, address: str) -> None:
        """Have the owner end its work on keys; they lapse afterwards."""
        # A renewal that is under way must not follow the release.
        await self._wait_for(holding.owner)
        order = await self._orders.release(address, holding.key_range())
        if order.outcome is CallOutcome.done:
            holding.handover = order.handover
            # Calls without an answer may still be carried out.
            holding.may_be_held_until = holding.unanswered_until
            self._record(Event.keys_released, holding, order)
        else:
            holding.handover = ''
            self._record(Event.release_failed, holding, order)
        holding.state = HoldingState.lapsing

    async def _wait_for(self, owner: TargetId) -> None:
        while owner in self.busy:
            await asyncio.sleep(LOOK_AGAIN)

    async def _grant_each(
        self,
        owner: TargetId,
        holdings: list[Holding],
        address: str,
    ) -> None:
        for holding in holdings:
            # It may have gone to another owner while this one was busy.
            if holding.owner != owner or not _is_held(holding):
                continue
            is_done = self.may_act() and await self._grant_one(holding, address)
            if not is_done:
                break

    async def _grant_one(self, holding: Holding, address: str) -> bool:
        """Grant one holding; tell whether the target is to get the next."""
        check(
            Invariant.grant_within_term,
            self.may_act(),
            first=holding.first,
        )
        now = self._clock.boot()
        before = holding.may_be_held_until
        # Until the answer is here the order may be carried out.
        holding.may_be_held_until = max(before, now + LONGEST_HOLD)
        holding.renew_at = now + RENEW_EVERY
        order = await self._orders.grant(address, holding.key_range(), HOLD)
        if order.outcome is CallOutcome.done:
            self._try_at_by_id.pop(holding.owner, None)
            _confirm(holding)
            return True
        self._record(Event.grant_failed, holding, order)
        holding.renew_at = now + RETRY_GRANT
        for doubt in self.on_failure:
            doubt(holding.owner)
        if order.outcome is CallOutcome.unknown:
            holding.unanswered_until = now + LONGEST_HOLD
        else:
            holding.may_be_held_until = before
        if order.outcome is CallOutcome.outdated:
            # Some other order went before; a higher fence settles it.
            holding.fence = Fence(holding.fence + 1)
            holding.state = HoldingState.lapsing
            return True
        self._note_lost(holding.owner)
        return False

    def _note_lost(self, target_id: TargetId) -> None:
        self._try_at_by_id[target_id] = self._clock.boot() + TRY_EVERY

    def _record(
        self, event: Event, holding: Holding, order: CallResult
    ) -> None:
        free_in = holding.may_be_held_until - self._clock.boot()
        record(
            event,
            target=holding.owner,
            first=holding.first,
            last=holding.last,
            fence=holding.fence,
            end=order.outcome.value,
            reason=order.reason,
            free_in=round(max(free_in, 0), 3),
        )


def _confirm(holding: Holding) -> None:
    """Note that the owner refuses lower fences from now on."""
    holding.is_inherited = False
    holding.unanswered_until = 0


def _is_held(holding: Holding) -> bool:
    return holding.state is HoldingState.held
