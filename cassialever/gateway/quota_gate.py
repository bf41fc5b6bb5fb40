"""Admit the requests of customers with a limit, and refuse the others."""

import functools
from collections import Counter
from typing import Final

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.model import Customer
from cassialever.fleet.quotas import Admission, OverQuota, QuotaExchange
from cassialever.gateway.admission import UndoAdmission, undo_nothing
from cassialever.gateway.counters import RefusalCount
from cassialever.gateway.metrics import Reading
from cassialever.gateway.refusals import Refusal, over_quota
from cassialever.interfaces import RandomSource
from cassialever.types import CustomerName, Seconds

#: Customers of which metrics are kept one by one: those refused most.
MAX_NAMED_CUSTOMERS: Final = 50


class QuotaGate:
    """Admits requests by the tokens of an exchange."""

    def __init__(
        self,
        exchange: QuotaExchange,
        clock: SystemClock,
        random_source: RandomSource,
    ) -> None:
        self.exchange = exchange
        self._clock = clock
        self._random = random_source
        self._refused_by_name: dict[CustomerName, RefusalCount] = {}

    async def admit(
        self, customer: Customer | None, max_wait: Seconds
    ) -> UndoAdmission | Refusal:
        """Admit a request by a token, if its customer has a limit."""
        if customer is None or not customer.rate:
            return undo_nothing
        admitted = await self.exchange.admit(customer, max_wait)
        if isinstance(admitted, Admission):
            return functools.partial(self.exchange.give_back, admitted)
        self._note(customer, admitted)
        # Spread, so that those refused together do not return together.
        spread = 1 + self._random.random()
        sentence = (
            f'the customer {customer.name} is over its limit of'
            f' {customer.rate:g} requests a second, of which'
            f' {admitted.share:.0%} is in reach'
        )
        return over_quota(sentence, admitted.retry_after * spread)

    def admit_repeat(self, customer: Customer | None) -> bool:
        """Return whether a request may run once more, and use a token."""
        if customer is None or not customer.rate:
            return True
        return self.exchange.admit_repeat(customer)

    def readings(self) -> list[Reading]:
        """Return readings of the tokens, and of the most refused customers."""
        keeper = self.exchange.keeping.keeper
        readings = [
            Reading('quota_tokens_issued', keeper.issued_count),
            Reading('quota_tokens_denied', keeper.denied_count),
            Reading(
                'quota_share',
                self.exchange.keeping.share(self._clock.monotonic()),
            ),
        ]
        accounts = self.exchange.accounts()
        refused = Counter(
            {name: one.refused_count for name, one in accounts.items()}
        )
        for name, count in refused.most_common(MAX_NAMED_CUSTOMERS):
            labels = {'customer': str(name)}
            admitted = accounts[name].admitted_count
            readings.append(Reading('customer_refused', count, labels))
            readings.append(Reading('customer_admitted', admitted, labels))
        return readings

    def _note(self, customer: Customer, refused: OverQuota) -> None:
        """Record refusals of a customer, once in EVENT_INTERVAL."""
        known = self._refused_by_name.setdefault(customer.name, RefusalCount())
        count = known.note(self._clock.monotonic())
        if not count:
            return
        record(
            Event.quota_passed,
            customer=customer.name,
            refused=count,
            rate=customer.rate,
            burst=customer.burst,
            share=round(refused.share, 3),
            asked_age=round(refused.asked_age, 3),
            retry_after=round(refused.retry_after, 3),
        )
