"""Run requests on the targets whose leases this daemon holds."""

import asyncio
from collections.abc import AsyncIterator

from cassialever.catalogue import TargetEntry
from cassialever.errors import EntryRef, ErrorKind, Failure
from cassialever.interfaces import Clock, TargetClient, TargetRequest
from cassialever.leases import HeldLeases
from cassialever.messages import HolderAnswer, RequestHead, TargetLoad
from cassialever.placement import Placement
from cassialever.types import EntryKind, Fence, TargetId

MILLISECONDS = 1000


class Leaseholder:
    """The request handler of this daemon's own targets."""

    def __init__(
        self,
        placement: Placement,
        leases: HeldLeases,
        targets: TargetClient,
        clock: Clock,
    ) -> None:
        """Take what says whether a request may be sent, and the sender."""
        self._placement = placement
        self._leases = leases
        self._targets = targets
        self._clock = clock
        self._slots_by_target: dict[TargetId, asyncio.Semaphore] = {}

    async def handle(
        self,
        head: RequestHead,
        body: AsyncIterator[bytes] | None,
    ) -> HolderAnswer | Failure:
        """Run a request, within the target's slots and under its lease."""
        entry = self._placement.target(head.target_id)
        if entry is None:
            return Failure(
                ErrorKind.no_target,
                f'{head.target_id} is not in this catalogue',
            )
        refusal = self._refusal(entry)
        if refusal:
            return refusal
        slots = self._slots(entry)
        await slots.acquire()
        answer = await self._send(head, body)
        if isinstance(answer, Failure):
            slots.release()
            return answer
        answer.body = _released_after(answer.body, slots)
        return answer

    def _refusal(self, entry: TargetEntry) -> Failure | None:
        index = self._placement.index
        out = index.is_out(entry) if index else None
        if out is None:
            return None
        return Failure(_out_kind(out), f'{out} is out of service', out)

    def _slots(self, entry: TargetEntry) -> asyncio.Semaphore:
        slots = self._slots_by_target.get(entry.target_id)
        if slots is None:
            slots = asyncio.Semaphore(entry.limits.slots)
            self._slots_by_target[entry.target_id] = slots
        return slots

    async def _send(
        self,
        head: RequestHead,
        body: AsyncIterator[bytes] | None,
    ) -> HolderAnswer | Failure:
        fence = self._leases.fence(head.target_id, self._clock.monotonic())
        if isinstance(fence, Failure):
            return fence
        answer = await self._targets.send(_target_request(head, fence), body)
        if isinstance(answer, Failure):
            return answer
        load = TargetLoad(head.target_id)
        return HolderAnswer(answer.status, answer.headers, load, answer.body)


def _out_kind(out: EntryRef) -> ErrorKind:
    if out.kind is EntryKind.data_centre:
        return ErrorKind.data_centre_out
    return ErrorKind.target_leaving


def _target_request(head: RequestHead, fence: Fence) -> TargetRequest:
    return TargetRequest(
        target_id=head.target_id,
        request_id=head.request_id,
        method=head.method,
        path=head.path,
        headers=head.headers,
        time_left=head.time_left_ms / MILLISECONDS,
        fence=fence,
    )


async def _released_after(
    body: AsyncIterator[bytes | Failure],
    slots: asyncio.Semaphore,
) -> AsyncIterator[bytes | Failure]:
    try:
        async for chunk in body:
            yield chunk
    finally:
        slots.release()
