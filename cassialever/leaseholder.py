"""Run requests on the targets whose leases this daemon holds."""

from collections.abc import AsyncIterator
from typing import Final

import msgspec

from cassialever.catalogue import ServiceEntry, TargetEntry
from cassialever.claims import Claims
from cassialever.errors import EntryRef, ErrorKind, Failure
from cassialever.messages import NO_SLICE, HolderAnswer, RequestHead
from cassialever.placement import Placement
from cassialever.runs import RunTools, TargetRun
from cassialever.tracing import Hop
from cassialever.traffic import Traffic
from cassialever.types import EntryKind, Seconds

#: How long keys of a target that is out are served on at most, in seconds.
HAND_OVER_GRACE: Final[Seconds] = 2.0


class Leaseholder:
    """The request handler of this daemon's own targets."""

    def __init__(
        self,
        placement: Placement,
        tools: RunTools,
        claims: Claims,
        traffic: Traffic,
    ) -> None:
        """Take what says whether a request may be sent, and the sender."""
        self._placement = placement
        self._tools = tools
        self._claims = claims
        self._traffic = traffic

    async def handle(
        self,
        head: RequestHead,
        body: AsyncIterator[bytes] | None,
    ) -> HolderAnswer | Failure:
        """Run a request, within the target's slots and under its lease."""
        span = self._tools.tracing.hop(
            Hop.holder,
            head.traceparent,
            head.request_id,
            head.target_id,
        )
        if span.traceparent != head.traceparent:
            head = msgspec.structs.replace(head, traceparent=span.traceparent)
        outcome = await self._handle(head, body)
        span.end(outcome.kind if isinstance(outcome, Failure) else None)
        return outcome

    async def _handle(
        self,
        head: RequestHead,
        body: AsyncIterator[bytes] | None,
    ) -> HolderAnswer | Failure:
        entry = self._placement.target(head.target_id)
        service = self._placement.service(head.service)
        if entry is None or service is None:
            return Failure(
                ErrorKind.no_target,
                f'{head.target_id} is not in the catalogue of this instance',
            )
        refusal = self._refusal(head, entry)
        if refusal:
            return refusal
        run = TargetRun(self._tools, head, entry, service)
        if head.claims:
            return await self._run_once(run, service, body)
        return await run.answer(body)

    async def _run_once(
        self,
        run: TargetRun,
        service: ServiceEntry,
        body: AsyncIterator[bytes] | None,
    ) -> HolderAnswer | Failure:
        head = run.head
        if head.slice_index != NO_SLICE:
            return await self._claims.run_once(run, body, 0)
        homes = self._traffic.of(service).homes
        if homes.home(head.request_id) != head.target_id:
            # Its id would be claimed where no second try looks for it.
            return Failure(
                ErrorKind.not_holder,
                f'{head.target_id} is not the home of this request id',
            )
        home_from = homes.known_from(head.request_id)
        return await self._claims.run_once(run, body, home_from)

    def _refusal(self, head: RequestHead, entry: TargetEntry) -> Failure | None:
        index = self._placement.index
        out = index.is_out(entry) if index else None
        if out and not self._is_handing_over(head):
            return Failure(_out_kind(out), f'{out} is out of service', out)
        fence = self._tools.leases.fence(
            head.target_id,
            self._tools.clock.monotonic(),
            head.slice_index,
        )
        return fence if isinstance(fence, Failure) else None

    def _is_handing_over(self, head: RequestHead) -> bool:
        """Say whether a key is served on until its new owner has it.

        Only for a moment: a target that is out gets no new work then, even
        where the table is away and no other target can own the key.
        """
        if head.slice_index == NO_SLICE:
            return False
        elapsed = self._tools.clock.monotonic() - self._placement.adopted_at
        return elapsed < HAND_OVER_GRACE


def _out_kind(out: EntryRef) -> ErrorKind:
    if out.kind is EntryKind.data_centre:
        return ErrorKind.data_centre_out
    return ErrorKind.target_leaving
