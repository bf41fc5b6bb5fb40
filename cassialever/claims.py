"""Run work that may not be repeated once, with the memory of its target."""

import asyncio
from collections.abc import AsyncIterator

from cassialever.errors import ANSWER_BY_KIND, Failure
from cassialever.interfaces import Clock
from cassialever.leases import HeldLeases
from cassialever.messages import HolderAnswer, RequestHead, TargetLoad
from cassialever.misc import close_body, one_chunk
from cassialever.once import Finished, OnceLimits, OnceMemory, StoredAnswer
from cassialever.runs import TargetRun
from cassialever.types import SliceIndex, TargetId


class Claims:
    """The memories of the targets that this daemon holds."""

    def __init__(self, clock: Clock) -> None:
        """Start without a memory."""
        self._clock = clock
        self._limits = OnceLimits()
        self.memory_by_target: dict[TargetId, OnceMemory] = {}
        self._slices_by_target: dict[TargetId, frozenset[SliceIndex]] = {}

    def memory(self, target_id: TargetId) -> OnceMemory:
        """Return a target's memory; a new one knows nothing of before."""
        memory = self.memory_by_target.get(target_id)
        if memory is None:
            memory = OnceMemory(self._limits, self._clock.wall())
            self.memory_by_target[target_id] = memory
        return memory

    def follow(self, leases: HeldLeases) -> None:
        """Keep a memory for each lease, for as long as it is held.

        Without the lease another daemon may run what this one never sees;
        so the memory goes with it. A slice that a lease gains may have been
        another's just before.
        """
        held = leases.lease_by_target
        for gone in self.memory_by_target.keys() - held.keys():
            self.memory_by_target.pop(gone)
            self._slices_by_target.pop(gone, None)
        for target_id, lease in held.items():
            known = self._slices_by_target.get(target_id)
            if known is lease.slices:
                continue
            self._slices_by_target[target_id] = lease.slices
            memory = self.memory(target_id)
            if known is None:
                continue
            for slice_index in lease.slices - known:
                memory.take_over(slice_index, self._clock.wall())

    async def run_once(
        self,
        run: TargetRun,
        body: AsyncIterator[bytes] | None,
    ) -> HolderAnswer | Failure:
        """Run a request unless its id has come before."""
        head = run.head
        memory = self.memory(head.target_id)
        claimed = memory.claim(
            head.request_id,
            self._clock.wall(),
            head.slice_index,
        )
        if isinstance(claimed, Failure):
            return claimed
        if isinstance(claimed, Finished):
            return _stored(claimed.answer, head)
        try:
            outcome = await run.answer(body)
        except asyncio.CancelledError:
            self._end_without_answer(memory, run)
            raise
        if isinstance(outcome, HolderAnswer):
            outcome.body = self._remembered(outcome, memory, head)
            return outcome
        if ANSWER_BY_KIND[outcome.kind].not_run:
            memory.release(head.request_id)
        else:
            memory.lose(head.request_id, self._clock.wall())
        return outcome

    def _end_without_answer(self, memory: OnceMemory, run: TargetRun) -> None:
        if run.was_sent:
            memory.lose(run.head.request_id, self._clock.wall())
        else:
            memory.release(run.head.request_id)

    async def _remembered(
        self,
        answer: HolderAnswer,
        memory: OnceMemory,
        head: RequestHead,
    ) -> AsyncIterator[bytes | Failure]:
        whole = bytearray()
        stored: StoredAnswer | None = None
        inner = answer.body
        try:
            async for chunk in inner:
                yield chunk
                if isinstance(chunk, Failure):
                    return
                if len(whole) <= self._limits.answer_bytes:
                    whole.extend(chunk)
            stored = StoredAnswer(answer.status, answer.headers, bytes(whole))
        finally:
            # A body that outgrew the limit is refused by `finish` itself.
            memory.finish(head.request_id, stored, self._clock.wall())
            await close_body(inner)


def _stored(answer: StoredAnswer, head: RequestHead) -> HolderAnswer:
    load = TargetLoad(head.target_id)
    body = one_chunk(answer.body)
    return HolderAnswer(answer.status, answer.headers, load, body)
