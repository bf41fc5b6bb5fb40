"""A queue that serves its callers in turn."""

from collections import OrderedDict, deque
from collections.abc import Iterator

from cassialever.tickets import Ticket
from cassialever.types import CallerId


class FairQueue:
    """Tickets by caller; each caller's own come first in, first out."""

    def __init__(self) -> None:
        """Start empty."""
        self._length = 0
        self._tickets_by_caller: OrderedDict[CallerId, deque[Ticket]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many tickets wait."""
        return self._length

    def __iter__(self) -> Iterator[Ticket]:
        """Yield the tickets in the order in which they will be served."""
        depth = 0
        remaining = list(self._tickets_by_caller.values())
        while remaining:
            for tickets in remaining:
                yield tickets[depth]
            depth += 1
            remaining = [one for one in remaining if len(one) > depth]

    def push(self, ticket: Ticket) -> None:
        """Put a ticket behind those of its caller."""
        tickets = self._tickets_by_caller.setdefault(ticket.caller, deque())
        tickets.append(ticket)
        self._length += 1

    def pop(self) -> Ticket:
        """Take the next ticket and send its caller to the back of the turn."""
        caller, tickets = next(iter(self._tickets_by_caller.items()))
        ticket = tickets.popleft()
        self._tickets_by_caller.move_to_end(caller)
        self._removed(caller, tickets)
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Take a ticket out; return whether it was there."""
        tickets = self._tickets_by_caller.get(ticket.caller, deque())
        if ticket not in tickets:
            return False
        tickets.remove(ticket)
        self._removed(ticket.caller, tickets)
        return True

    def ahead(self, caller: CallerId) -> int:
        """Return how many tickets go before a new one of a caller."""
        own = len(self._tickets_by_caller.get(caller, ()))
        count = own
        for other, tickets in self._tickets_by_caller.items():
            if other != caller:
                count += min(len(tickets), own + 1)
        return count

    def evictable(self, caller: CallerId) -> Ticket | None:
        """Return a ticket that would have to make room for a caller's next.

        It is the newest of the caller with the most tickets, and only if
        that caller still has at least as many as the other afterwards.
        """
        own = len(self._tickets_by_caller.get(caller, ()))
        longest = max(
            self._tickets_by_caller.values(),
            key=len,
            default=deque[Ticket](),
        )
        if len(longest) < own + 2:
            return None
        return longest[-1]

    def _removed(self, caller: CallerId, tickets: deque[Ticket]) -> None:
        self._length -= 1
        if not tickets:
            self._tickets_by_caller.pop(caller)
