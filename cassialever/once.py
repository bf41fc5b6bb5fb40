"""The memory that keeps non-repeatable requests from running twice.

One stands beside each target's gate. It knows the ids of the requests that
came to it, for a while, and since when it knows them all. What it can't
know it refuses, so that a gap in the memory never runs a request twice.
Instants are wall time in seconds, since ids carry wall time.
"""

from collections.abc import Mapping, Sequence
from typing import Final, TypeAlias

import msgspec
import xxhash

from cassialever.errors import ErrorKind, Failure
from cassialever.messages import NO_SLICE
from cassialever.minting import minted_at
from cassialever.types import Headers, RequestId, Seconds, SliceIndex, TargetId

#: How far apart the wall clocks of two instances, or of a caller, may be.
CLOCK_MARGIN: Final[Seconds] = 2.0

#: Why an id that was minted too far ahead of the clock is not run.
AHEAD_REASON: Final = 'this id says that it was minted in the future'
#: Why an id that is not remembered can't be run.
GAP_REASON: Final = (
    'this id may have come before the memory here began; it is not known '
    + 'whether it ran'
)


class OnceLimits(msgspec.Struct, frozen=True):
    """Bounds of one memory: seconds, ids, bytes of answers kept."""

    retention: Seconds = 120
    ids: int = 20_000
    answer_bytes: int = 4_096
    all_answer_bytes: int = 1_048_576

    def doubt(
        self,
        request_id: RequestId,
        since: Seconds,
        wall: Seconds,
    ) -> Failure | None:
        """Return why an id that is not remembered may be no first one.

        A UUIDv7 is a first one if it was minted after the memory began. One
        from the future is never run, so that this holds whatever the clocks
        of callers say. Any other id has to wait until no first one of before
        could still be remembered.
        """
        minted = minted_at(request_id)
        if minted is not None and minted > wall + CLOCK_MARGIN:
            return Failure(ErrorKind.malformed_request_id, AHEAD_REASON)
        begin = max(since, wall - self.retention) + CLOCK_MARGIN
        if minted is None:
            minted = wall
            begin = since + self.retention
        if minted > begin:
            return None
        return Failure(ErrorKind.outcome_unknown, GAP_REASON)


class StoredAnswer(msgspec.Struct, frozen=True):
    """A whole answer, small enough to be given a second time."""

    status: int
    headers: Headers
    body: bytes


class Record(msgspec.Struct, frozen=True):
    """What is remembered of a request that has ended.

    `was_lost` says that it will never be known whether it ran.
    """

    slice_index: SliceIndex
    ended: Seconds
    was_lost: bool = False
    answer: StoredAnswer | None = None

    @property
    def size(self) -> int:
        """Return the bytes of the answer kept."""
        return len(self.answer.body) if self.answer else 0


class First(msgspec.Struct, frozen=True):
    """The id has not come before: the request may run."""


class Finished(msgspec.Struct, frozen=True):
    """The request has run; here is its answer again."""

    answer: StoredAnswer


Claimed: TypeAlias = First | Finished | Failure


class Memory(msgspec.Struct, frozen=True):
    """What a planned hand-over carries along, of one slice or of all."""

    known_from: Seconds
    known_from_by_slice: Mapping[SliceIndex, Seconds]
    record_by_id: Mapping[RequestId, Record]


def home_of(
    request_id: RequestId,
    targets: Sequence[TargetId],
) -> TargetId | None:
    """Return the target at whose leaseholder an id is remembered.

    Every daemon with the same targets picks the same one, whatever their
    order, and a change of the targets moves as few ids as it can.
    """
    return max(
        targets,
        key=lambda target_id: (_weight(request_id, target_id), target_id),
        default=None,
    )


class OnceMemory:
    """The ids that came to the leaseholder of one target."""

    def __init__(self, limits: OnceLimits, began: Seconds) -> None:
        """Start without any memory of what came before `began`.

        An instant of 0 says that nothing came before: a new target.
        """
        self._limits = limits
        self._known_from = began
        self._known_from_by_slice: dict[SliceIndex, Seconds] = {}
        self._slice_by_running: dict[RequestId, SliceIndex] = {}
        self._record_by_id: dict[RequestId, Record] = {}
        self._answer_bytes = 0

    def claim(
        self,
        request_id: RequestId,
        wall: Seconds,
        slice_index: SliceIndex = NO_SLICE,
        home_from: Seconds = 0,
    ) -> Claimed:
        """Claim an id before its first attempt, or learn of the first.

        `home_from` says since when this is the id's only home: see `Homes`.
        Fails with `already_running` or `already_run`; with `outcome_unknown`
        where the first may have run or can't be known of; and, not run,
        with `malformed_request_id` for an id from the future or with
        `target_busy` where the memory is full.
        """
        self._forget_expired(wall)
        if request_id in self._slice_by_running:
            return Failure(
                ErrorKind.already_running,
                'a request with this id is still running',
            )
        record = self._record_by_id.get(request_id)
        if record is not None:
            return _second_try(record)
        since = self._known_from_by_slice.get(slice_index, self._known_from)
        doubt = self._limits.doubt(request_id, max(since, home_from), wall)
        if doubt is not None:
            return doubt
        count = len(self._record_by_id) + len(self._slice_by_running)
        if count >= self._limits.ids:
            return _full(self._record_by_id, self._limits, wall)
        self._slice_by_running[request_id] = slice_index
        return First()

    def finish(
        self,
        request_id: RequestId,
        answer: StoredAnswer | None,
        wall: Seconds,
    ) -> None:
        """Note that a request has run, with its answer if it is whole."""
        size = len(answer.body) if answer else 0
        room = self._limits.all_answer_bytes - self._answer_bytes
        if size > min(room, self._limits.answer_bytes):
            answer = None
        slice_index = self._slice_by_running.pop(request_id)
        self._remember(
            request_id,
            Record(slice_index, ended=wall, answer=answer),
        )

    def lose(self, request_id: RequestId, wall: Seconds) -> None:
        """Note that it will never be known whether a request ran."""
        slice_index = self._slice_by_running.pop(request_id)
        self._remember(
            request_id,
            Record(slice_index, ended=wall, was_lost=True),
        )

    def release(self, request_id: RequestId) -> None:
        """Forget a claim whose request surely did not run and never will."""
        self._slice_by_running.pop(request_id)

    def take_over(self, slice_index: SliceIndex, wall: Seconds) -> None:
        """Note a slice whose former owner could not hand its memory over."""
        self._known_from_by_slice[slice_index] = wall

    def hand_over(self, wall: Seconds) -> Memory:
        """Give the whole memory away, at the end of a planned hand-over.

        What still runs is given away as lost. Nothing may be claimed here
        afterwards.
        """
        for request_id in list(self._slice_by_running):
            self.lose(request_id, wall)
        return Memory(
            self._known_from,
            self._known_from_by_slice,
            self._record_by_id,
        )

    def hand_over_slice(self, slice_index: SliceIndex, wall: Seconds) -> Memory:
        """Give away the memory of one slice, and forget it."""
        for running_id, running in list(self._slice_by_running.items()):
            if running == slice_index:
                self.lose(running_id, wall)
        record_by_id = _of_slice(self._record_by_id, slice_index)
        for moved_id in record_by_id:
            self._forget(moved_id)
        known = self._known_from_by_slice.get(slice_index, self._known_from)
        self._known_from_by_slice[slice_index] = wall
        return Memory(self._known_from, {slice_index: known}, record_by_id)

    def adopt(self, memory: Memory, *, is_whole: bool) -> None:
        """Take over a memory: that of one slice, or of the whole target."""
        if is_whole:
            self._known_from = memory.known_from
        self._known_from_by_slice.update(memory.known_from_by_slice)
        both = {**memory.record_by_id, **self._record_by_id}
        self._record_by_id = {}
        self._answer_bytes = 0
        for request_id, record in sorted(both.items(), key=_end_of):
            self._remember(request_id, record)

    def _remember(self, request_id: RequestId, record: Record) -> None:
        self._record_by_id[request_id] = record
        self._answer_bytes += record.size

    def _forget(self, request_id: RequestId) -> None:
        record = self._record_by_id.pop(request_id)
        self._answer_bytes -= record.size

    def _forget_expired(self, wall: Seconds) -> None:
        """Forget from the front: the records stand in order of ending."""
        while self._record_by_id:
            request_id, record = next(iter(self._record_by_id.items()))
            if wall < record.ended + self._limits.retention:
                return
            self._forget(request_id)


def _full(
    record_by_id: Mapping[RequestId, Record],
    limits: OnceLimits,
    wall: Seconds,
) -> Failure:
    oldest = next(iter(record_by_id.values()), None)
    ended = oldest.ended if oldest else wall
    return Failure(
        ErrorKind.target_busy,
        'the memory of requests that run once is full',
        retry_after=ended + limits.retention - wall,
    )


def _of_slice(
    record_by_id: Mapping[RequestId, Record],
    slice_index: SliceIndex,
) -> dict[RequestId, Record]:
    return {
        request_id: record
        for request_id, record in record_by_id.items()
        if record.slice_index == slice_index
    }


def _end_of(named: tuple[RequestId, Record]) -> Seconds:
    return named[1].ended


def _second_try(record: Record) -> Finished | Failure:
    if record.was_lost:
        return Failure(
            ErrorKind.outcome_unknown,
            'it is not known whether the first request with this id ran',
        )
    if record.answer is None:
        return Failure(
            ErrorKind.already_run,
            'the first request with this id has run',
        )
    return Finished(record.answer)


def _weight(request_id: RequestId, target_id: TargetId) -> int:
    return xxhash.xxh3_64_intdigest(f'{target_id}\n{request_id}'.encode())
