"""Tell which of the requests that compete for room goes first.

Load pattern handled: callers that send more than the targets of a service
take, some of them with more urgent requests than the others.
"""

import msgspec

from cassialever.types import CustomerName, Seconds


class Precedence(msgspec.Struct, frozen=True):
    """What a request is worth to its caller, and until when.

    Rank 0 goes first; it is the customer's, or the route's if that has none.
    An answer has its full worth until `useful_until` and none after
    `deadline`, both by the monotonic clock.
    """

    rank: int
    useful_until: Seconds
    deadline: Seconds
    customer: CustomerName = CustomerName('')

    @property
    def order(self) -> tuple[int, Seconds]:
        """Return the sort key by which requests are served."""
        return self.rank, self.useful_until
