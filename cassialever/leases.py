"""Target leases as their holder sees them, and how terms are counted."""

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.messages import NO_SLICE
from cassialever.types import Fence, Seconds, SliceIndex, TargetId


def giver_term(term: Seconds, drift_share: float) -> Seconds:
    """Return how long a giver waits until a term is surely over.

    Either clock may be off by `drift_share`. The holder counts the bare term
    from before it asked; the giver this one from after it answered.
    """
    return term * (1 + drift_share) / (1 - drift_share)


class TargetLease(msgspec.Struct, frozen=True):
    """A lease: until when this daemon alone may send to a target.

    `ends` is a monotonic instant of the holder, counted from before it asked.
    `fence` is the one that the target knows; `slices` are those owned.
    """

    target_id: TargetId
    fence: Fence
    ends: Seconds
    slices: frozenset[SliceIndex] = frozenset()


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
        if slice_index != NO_SLICE and slice_index not in lease.slices:
            return Failure(
                ErrorKind.no_owner,
                f'{target_id} does not own slice {slice_index}',
            )
        return lease.fence
