"""Admit the requests of customers by tokens, asked for at their keepers."""

import asyncio
from collections import deque
from typing import Final, TypeAlias

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet.datagrams import (
    DatagramSocket,
    QuotaRequest,
    QuotaTokens,
    encode,
)
from cassialever.fleet.model import Customer
from cassialever.fleet.permits import PeerList
from cassialever.fleet.quota_keeping import LimitedCustomers, QuotaKeeping
from cassialever.fleet.view import FleetView
from cassialever.policy.quota_accounts import (
    ANSWER_TIMEOUT,
    MAX_QUOTA_WAIT,
    LaneAsk,
    QuotaAccount,
)
from cassialever.policy.quotas import (
    LANE_COUNT,
    Quota,
    QuotaPortion,
    QuotaTerms,
    lanes_of,
)
from cassialever.types import CustomerName, Seconds

#: How long a lane is left out whose keeper is not known, or can't read.
UNKNOWN_PAUSE: Final[Seconds] = 0.25

#: Gets the time until when a token is valid, or None without one.
_Answered: TypeAlias = asyncio.Future[Seconds | None]


class Admission(msgspec.Struct, frozen=True):
    """The token of an admitted request, valid for another until `ends_at`."""

    customer: CustomerName
    ends_at: Seconds = 0


class OverQuota(msgspec.Struct, frozen=True):
    """Why a request was not admitted, and when it may be tried again."""

    quota: Quota
    retry_after: Seconds
    #: Time since a keeper was last asked, and the share of the rate that the
    #: daemons in touch with this one have.
    asked_age: Seconds
    share: float


class _Customer:
    """The tokens of one customer, and the requests that wait for some."""

    def __init__(self, account: QuotaAccount) -> None:
        self.account = account
        self.waiting: deque[_Answered] = deque()

    def wake(self, now: Seconds) -> None:
        """Give tokens to requests that wait; refuse all if none can come."""
        is_asking = self.account.is_waited_for(now)
        while self.waiting:
            ends_at = self.account.take(now)
            if ends_at is None and is_asking:
                return
            self.waiting.popleft().set_result(ends_at)


class QuotaExchange:
    """The tokens of all customers at this daemon."""

    def __init__(
        self,
        instance_id: str,
        view: FleetView,
        terms: QuotaTerms,
        clock: SystemClock,
        peers: PeerList,
        socket: DatagramSocket,
    ) -> None:
        """Start without tokens."""
        self._customers = LimitedCustomers(view, terms)
        self._clock = clock
        self._socket = socket
        self.keeping = QuotaKeeping(
            instance_id, self._customers, clock, peers, socket
        )
        self._by_name: dict[CustomerName, _Customer] = {}
        socket.handler_by_type[QuotaTokens] = self._handle_tokens

    async def admit(
        self, customer: Customer, max_wait: Seconds
    ) -> Admission | OverQuota:
        """Admit a request of a limited customer by a token.

        It waits for one up to `max_wait` and MAX_QUOTA_WAIT, if its daemon has
        none. The request has not run if it is not admitted.
        """
        now = self._clock.monotonic()
        known = self._known(customer)
        account = known.account
        account.count_request(now)
        ends_at = self._take(account, now)
        if ends_at is None:
            waits_until = now + min(max_wait, MAX_QUOTA_WAIT)
            ends_at = await self._wait(customer.name, known, waits_until)
        else:
            self._ask(customer.name, known, now)
        if ends_at is not None:
            return Admission(customer.name, ends_at)
        now = self._clock.monotonic()
        account.refused_count += 1
        return OverQuota(
            account.quota,
            account.retry_after(now),
            account.asked_age(now),
            self.keeping.share(now),
        )

    def admit_repeat(self, customer: Customer) -> bool:
        """Return whether a request may run once more, and use a token."""
        now = self._clock.monotonic()
        return self._take(self._known(customer).account, now) is not None

    def give_back(self, admission: Admission) -> None:
        """Give back the token of a request that has not run."""
        known = self._by_name.get(admission.customer)
        if known is not None:
            now = self._clock.monotonic()
            known.account.give_back(admission.ends_at, now)

    def accounts(self) -> dict[CustomerName, QuotaAccount]:
        """Return the accounts of customers with requests lately."""
        return {name: known.account for name, known in self._by_name.items()}

    def prune(self) -> None:
        """Give back what has expired, and forget what limits nothing."""
        now = self._clock.monotonic()
        for name, known in list(self._by_name.items()):
            for due in known.account.returns(now):
                self._send_ask(name, known.account, due)
            if known.waiting:
                continue
            is_limited = name in self._customers.by_name
            if not is_limited or known.account.is_idle(now):
                self._by_name.pop(name)
        self.keeping.prune()

    def _take(self, account: QuotaAccount, now: Seconds) -> Seconds | None:
        """Use a token that this daemon holds, or one of its own share."""
        ends_at = account.take(now)
        if ends_at is not None:
            return ends_at
        return (
            now if account.take_own(self.keeping.own_share(now), now) else None
        )

    async def _wait(
        self, name: CustomerName, known: _Customer, waits_until: Seconds
    ) -> Seconds | None:
        """Wait for a token; return until when it is valid, None without."""
        if len(known.waiting) >= known.account.max_waiting:
            return None
        answered: _Answered = asyncio.get_running_loop().create_future()
        known.waiting.append(answered)
        try:
            return await self._wait_for(answered, name, known, waits_until)
        except asyncio.CancelledError:
            ends_at = answered.result() if answered.done() else None
            if ends_at is not None:
                known.account.give_back(ends_at, self._clock.monotonic())
            raise
        finally:
            if not answered.done():
                known.waiting.remove(answered)

    async def _wait_for(
        self,
        answered: _Answered,
        name: CustomerName,
        known: _Customer,
        waits_until: Seconds,
    ) -> Seconds | None:
        while True:
            now = self._clock.monotonic()
            self._ask(name, known, now)
            known.wake(now)
            if answered.done():
                return answered.result()
            if name not in self._customers.by_name:
                # Its limit was removed meanwhile.
                return now
            pause = min(waits_until - now, ANSWER_TIMEOUT)
            if pause <= 0:
                return None
            self._socket.expect_answer(pause)
            await asyncio.wait((answered,), timeout=pause)

    def _ask(self, name: CustomerName, known: _Customer, now: Seconds) -> None:
        """Ask keepers for tokens as far as some are lacking."""
        account = known.account
        for _ in range(LANE_COUNT):
            lacking = len(known.waiting) - account.held(now)
            due = account.plan(lacking, now)
            if due is None:
                return
            self._send_ask(name, account, due)

    def _send_ask(
        self, name: CustomerName, account: QuotaAccount, due: LaneAsk
    ) -> None:
        now = self._clock.monotonic()
        addresses = self.keeping.check_list()
        lane_id = lanes_of(name)[due.lane]
        keeper = self.keeping.keeper_of(lane_id)
        if keeper == self.keeping.instance_id:
            portion = self.keeping.issue(
                lane_id, keeper, due.ask, account.quota
            )
            if due.ask.wants_tokens:
                account.add(due.lane, portion, due.asked_at, now)
            return
        address = addresses.get(keeper) if keeper else None
        if address is None or not self._socket.can_read(address, QuotaRequest):
            account.pause_lane(due.lane, UNKNOWN_PAUSE, now)
            return
        request = QuotaRequest(
            self.keeping.instance_id,
            name,
            due.lane,
            due.ask.needed,
            due.ask.ahead,
            due.ask.used,
            due.ask.held,
            due.ask.serial,
            self.keeping.fleet.digest,
            due.asked_at,
        )
        self._socket.send(address, encode(request))

    def _handle_tokens(self, tokens: QuotaTokens, _: str) -> None:
        known = self._by_name.get(tokens.customer)
        if known is None:
            return
        now = self._clock.monotonic()
        portion = QuotaPortion(
            tokens.needed, tokens.ahead, tokens.serial, tokens.pause
        )
        known.account.add(tokens.lane, portion, tokens.asked_at, now)
        self._ask(tokens.customer, known, now)
        known.wake(now)

    def _known(self, customer: Customer) -> _Customer:
        """Return a customer's account, at its present limit."""
        known = self._by_name.get(customer.name)
        quota = self._customers.quota_of(customer)
        if known is None:
            phase = self.keeping.fleet.phase_of(customer.name)
            known = _Customer(QuotaAccount(quota, phase))
            self._by_name[customer.name] = known
        known.account.quota = quota
        return known
