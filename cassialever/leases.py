"""Target leases as their holder sees them."""

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.messages import NO_SLICE
from cassialever.types import Fence, Seconds, SliceIndex, TargetId


class TargetLease(msgspec.Struct, frozen=True):
    """A lease: until when this daemon alone may send to a target.

    `ends` is a monotonic instant of the holder, counted from before it asked.
    """

    target_id: TargetId
    fence: Fence
    ends: Seconds


class HeldLeases:
    """The leases that this daemon holds."""

    def __init__(self) -> None:
        """Start with none: a new incarnation holds nothing."""
        self.lease_by_target: dict[TargetId, TargetLease] = {}

    def fence(
        self,
        target_id: TargetId,
        now: Seconds,
        slice_index: SliceIndex = NO_SLICE,
    ) -> Fence | Failure:
        """Return the fence to send under, or why nothing may be sent."""
        lease = self.lease_by_target.get(target_id)
        if lease is None:
            return Failure(
                ErrorKind.not_holder,
                f'this instance holds no lease of {target_id}',
            )
        if now >= lease.ends:
            return Failure(
                ErrorKind.lease_lapsed,
                f'the lease of {target_id} has lapsed',
            )
        return lease.fence
