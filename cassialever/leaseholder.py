"""Run requests on the targets whose leases this daemon holds."""

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from cassialever.catalogue import ServiceEntry, TargetEntry
from cassialever.errors import EntryRef, ErrorKind, Failure
from cassialever.gates import Gates, WaitingGate
from cassialever.interfaces import (
    Clock,
    TargetAnswer,
    TargetClient,
    TargetRequest,
)
from cassialever.leases import HeldLeases
from cassialever.messages import HolderAnswer, RequestHead
from cassialever.misc import BackgroundTasks
from cassialever.placement import Placement
from cassialever.tickets import Ending, Ticket
from cassialever.types import EntryKind, Fence

MILLISECONDS: Final = 1000

#: How an attempt has ended, by the kind of its failure; else it is unknown.
ENDING_BY_KIND: Final = MappingProxyType(
    {
        ErrorKind.target_shed: Ending.shed,
        ErrorKind.target_unreachable: Ending.not_sent,
        ErrorKind.stale_fence: Ending.not_sent,
        ErrorKind.not_holder: Ending.not_sent,
        ErrorKind.lease_lapsed: Ending.not_sent,
        ErrorKind.deadline_passed: Ending.not_sent,
    }
)


class Leaseholder:
    """The request handler of this daemon's own targets."""

    def __init__(
        self,
        placement: Placement,
        leases: HeldLeases,
        targets: TargetClient,
        gates: Gates,
        clock: Clock,
    ) -> None:
        """Take what says whether a request may be sent, and the sender."""
        self._placement = placement
        self._leases = leases
        self._targets = targets
        self._gates = gates
        self._clock = clock
        self._tasks = BackgroundTasks()

    async def handle(
        self,
        head: RequestHead,
        body: AsyncIterator[bytes] | None,
    ) -> HolderAnswer | Failure:
        """Run a request, within the target's slots and under its lease."""
        entry = self._placement.target(head.target_id)
        service = self._placement.service(head.service)
        if entry is None or service is None:
            return Failure(
                ErrorKind.no_target,
                f'{head.target_id} is not in this catalogue',
            )
        refusal = self._refusal(entry)
        if refusal:
            return refusal
        return await self._run(head, body, entry, service)

    def _refusal(self, entry: TargetEntry) -> Failure | None:
        index = self._placement.index
        out = index.is_out(entry) if index else None
        if out:
            return Failure(_out_kind(out), f'{out} is out of service', out)
        fence = self._leases.fence(entry.target_id, self._clock.monotonic())
        return fence if isinstance(fence, Failure) else None

    async def _run(
        self,
        head: RequestHead,
        body: AsyncIterator[bytes] | None,
        entry: TargetEntry,
        service: ServiceEntry,
    ) -> HolderAnswer | Failure:
        gate = self._gates.gate(entry, service.limits.queue_length)
        deadline = self._clock.monotonic() + head.time_left_ms / MILLISECONDS
        ticket = Ticket(head.request_id, head.caller, deadline)
        refusal = await gate.enter(ticket)
        if refusal:
            return refusal
        try:
            answer = await self._send(head, body, ticket, service)
        except asyncio.CancelledError:
            gate.leave(ticket, Ending.unknown)
            self._cancel(head, entry)
            raise
        if isinstance(answer, Failure):
            gate.leave(ticket, ENDING_BY_KIND.get(answer.kind, Ending.unknown))
            return answer
        good = answer.status < HTTPStatus.INTERNAL_SERVER_ERROR
        gate.saw_answer(ticket, answer.incarnation, good=good)
        return HolderAnswer(
            answer.status,
            answer.headers,
            gate.gate.load(),
            _leaving_after(answer, gate, ticket),
        )

    async def _send(
        self,
        head: RequestHead,
        body: AsyncIterator[bytes] | None,
        ticket: Ticket,
        service: ServiceEntry,
    ) -> TargetAnswer | Failure:
        # The lease is looked at again, since the wait may have outlasted it.
        now = self._clock.monotonic()
        fence = self._leases.fence(head.target_id, now)
        if isinstance(fence, Failure):
            return fence
        longest = service.limits.attempt_timeout_ms / MILLISECONDS
        time_left = min(ticket.deadline - now, longest)
        if time_left <= 0:
            return Failure(
                ErrorKind.deadline_passed,
                'the deadline passed before the request was sent',
                service.ref(),
            )
        request = _target_request(head, fence, time_left)
        return await self._targets.send(request, body)

    def _cancel(self, head: RequestHead, entry: TargetEntry) -> None:
        if entry.checks.cancel:
            self._tasks.add(
                self._targets.cancel(head.target_id, head.request_id),
            )


def _out_kind(out: EntryRef) -> ErrorKind:
    if out.kind is EntryKind.data_centre:
        return ErrorKind.data_centre_out
    return ErrorKind.target_leaving


def _target_request(
    head: RequestHead,
    fence: Fence,
    time_left: float,
) -> TargetRequest:
    return TargetRequest(
        target_id=head.target_id,
        request_id=head.request_id,
        method=head.method,
        path=head.path,
        headers=head.headers,
        time_left=time_left,
        fence=fence,
    )


async def _leaving_after(
    answer: TargetAnswer,
    gate: WaitingGate,
    ticket: Ticket,
) -> AsyncIterator[bytes | Failure]:
    ending = Ending.unknown
    try:
        async for chunk in answer.body:
            yield chunk
            if isinstance(chunk, Failure):
                return
        ending = Ending.answered
    finally:
        gate.leave(ticket, ending)
