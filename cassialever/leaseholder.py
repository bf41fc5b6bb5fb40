"""Run requests on the targets whose leases this daemon holds."""

from collections.abc import AsyncIterator

import msgspec

from cassialever.catalogue import TargetEntry
from cassialever.claims import Claims
from cassialever.errors import EntryRef, ErrorKind, Failure
from cassialever.messages import HolderAnswer, RequestHead
from cassialever.placement import Placement
from cassialever.runs import RunTools, TargetRun
from cassialever.tracing import Hop
from cassialever.traffic import Traffic
from cassialever.types import EntryKind


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
            homes = self._traffic.of(service).homes
            home_from = homes.known_from(head.request_id)
            return await self._claims.run_once(run, body, home_from)
        return await run.answer(body)

    def _refusal(self, head: RequestHead, entry: TargetEntry) -> Failure | None:
        index = self._placement.index
        out = index.is_out(entry) if index else None
        if out:
            return Failure(_out_kind(out), f'{out} is out of service', out)
        fence = self._tools.leases.fence(
            head.target_id,
            self._tools.clock.monotonic(),
            head.slice_index,
        )
        return fence if isinstance(fence, Failure) else None


def _out_kind(out: EntryRef) -> ErrorKind:
    if out.kind is EntryKind.data_centre:
        return ErrorKind.data_centre_out
    return ErrorKind.target_leaving
