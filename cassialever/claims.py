"""Run work that may not be repeated once, with the memory of its target."""

import asyncio
import functools
from collections.abc import AsyncIterator

from cassialever.bodies import BodyEnd, WatchedBody
from cassialever.errors import ANSWER_BY_KIND, Failure
from cassialever.interfaces import Clock
from cassialever.leases import HeldLeases
from cassialever.messages import HolderAnswer, RequestHead, TargetLoad
from cassialever.misc import one_chunk
from cassialever.once import Finished, OnceLimits, OnceMemory, StoredAnswer
from cassialever.runs import TargetRun
from cassialever.types import Seconds, SliceIndex, TargetId


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
        home_from: Seconds,
    ) -> HolderAnswer | Failure:
        """Run a request unless its id has come before.

        `home_from` says since when its id has had no other home.
        """
        head = run.head
        memory = self.memory(head.target_id)
        claimed = memory.claim(
            head.request_id,
            self._clock.wall(),
            head.slice_index,
            home_from,
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

    def _remembered(
        self,
        answer: HolderAnswer,
        memory: OnceMemory,
        head: RequestHead,
    ) -> WatchedBody:
        gathered = GatheredAnswer(answer, self._limits)
        remember = functools.partial(self._remember, memory, head, gathered)
        return WatchedBody(answer.body, remember, gathered.keep)

    def _remember(
        self,
        memory: OnceMemory,
        head: RequestHead,
        gathered: 'GatheredAnswer',
        body_end: BodyEnd,
    ) -> None:
        stored = gathered.stored() if body_end is BodyEnd.whole else None
        memory.finish(head.request_id, stored, self._clock.wall())


class GatheredAnswer:
    """An answer on its way to the caller, kept for a second try."""

    def __init__(self, answer: HolderAnswer, limits: OnceLimits) -> None:
        """Take the head; the body comes chunk by chunk."""
        self._answer = answer
        self._limits = limits
        self._body = bytearray()

    def keep(self, chunk: bytes) -> None:
        """Add a chunk; a body over the limit is refused by the memory."""
        if len(self._body) <= self._limits.answer_bytes:
            self._body.extend(chunk)

    def stored(self) -> StoredAnswer:
        """Return the whole answer."""
        return StoredAnswer(
            self._answer.status,
            self._answer.headers,
            bytes(self._body),
        )


def _stored(answer: StoredAnswer, head: RequestHead) -> HolderAnswer:
    load = TargetLoad(head.target_id)
    body = one_chunk(answer.body)
    return HolderAnswer(answer.status, answer.headers, load, body)
