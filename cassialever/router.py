"""Find the leaseholder of a request's target and pass the request on."""

import msgspec

from cassialever.catalogue import TargetEntry
from cassialever.clock import SystemClock
from cassialever.errors import ANSWER_BY_KIND, ErrorKind, Failure
from cassialever.intake import Intake
from cassialever.interfaces import Clock, RandomSource
from cassialever.messages import (
    HolderAnswer,
    PeerClient,
    RequestHandler,
    RequestHead,
)
from cassialever.misc import one_chunk
from cassialever.placement import Placement
from cassialever.types import InstanceId, Seconds, TargetId

MILLISECONDS = 1000
#: How many leaseholders one request may be passed to.
MOST_ATTEMPTS = 4


class Routed(msgspec.Struct):
    """A request's outcome and the way it took."""

    outcome: HolderAnswer | Failure
    target_id: TargetId | None = None
    holder: InstanceId | None = None
    attempts: int = 0


class Router:
    """Route requests from this daemon's callers."""

    def __init__(
        self,
        instance_id: InstanceId,
        placement: Placement,
        local: RequestHandler,
        peers: PeerClient,
        random_source: RandomSource,
    ) -> None:
        """Take the ways to this daemon's own targets and to its peers."""
        self._instance_id = instance_id
        self._placement = placement
        self._local = local
        self._peers = peers
        self._random = random_source
        self._clock: Clock = SystemClock()

    async def route(self, intake: Intake, body: bytes) -> Routed:
        """Return the answer of the request's target, or a failure."""
        deadline = self._clock.monotonic() + intake.timeout_ms / MILLISECONDS
        routed = Routed(Failure(ErrorKind.no_target, 'not tried yet'))
        tried: set[TargetId] = set()
        for attempt in range(MOST_ATTEMPTS):
            target_id = self._choose(intake, tried)
            if isinstance(target_id, Failure):
                routed.outcome = target_id
                break
            tried.add(target_id)
            routed.attempts = attempt + 1
            await self._attempt(routed, intake, body, target_id, deadline)
            if not _goes_elsewhere(routed.outcome):
                break
        return routed

    def _choose(
        self,
        intake: Intake,
        tried: set[TargetId],
    ) -> TargetId | Failure:
        if intake.key:
            return self._placement.owner(intake.service, intake.slice_index)
        candidates = self._placement.candidates(intake.service.name)
        fresh = [
            target for target in candidates if target.target_id not in tried
        ]
        if fresh:
            return self._pick(fresh).target_id
        return Failure(
            ErrorKind.no_target,
            f'no target of {intake.service.name} can take the request',
            intake.service.ref(),
        )

    def _pick(self, candidates: list[TargetEntry]) -> TargetEntry:
        return candidates[self._random.randrange(len(candidates))]

    async def _attempt(
        self,
        routed: Routed,
        intake: Intake,
        body: bytes,
        target_id: TargetId,
        deadline: Seconds,
    ) -> None:
        time_left = deadline - self._clock.monotonic()
        if time_left <= 0:
            routed.outcome = Failure(
                ErrorKind.deadline_passed,
                'the deadline passed on the way to the target',
                intake.service.ref(),
            )
            return
        holder = self._placement.holder(target_id)
        routed.target_id = target_id
        routed.holder = holder
        head = _head(intake, target_id, time_left, routed.attempts)
        chunks = one_chunk(body) if intake.has_body else None
        if holder is None:
            routed.outcome = Failure(
                ErrorKind.no_owner,
                f'no instance holds the lease of {target_id}',
            )
        elif holder == self._instance_id:
            routed.outcome = await self._local.handle(head, chunks)
        else:
            routed.outcome = await self._peers.call(holder, head, chunks)


def _goes_elsewhere(outcome: HolderAnswer | Failure) -> bool:
    if isinstance(outcome, HolderAnswer):
        return False
    return ANSWER_BY_KIND[outcome.kind].repeatable_elsewhere


def _head(
    intake: Intake,
    target_id: TargetId,
    time_left: Seconds,
    attempt: int,
) -> RequestHead:
    return RequestHead(
        request_id=intake.request_id,
        caller=intake.caller.caller_id,
        service=intake.service.name,
        target_id=target_id,
        method=intake.method,
        path=intake.path,
        headers=intake.headers,
        time_left_ms=int(time_left * MILLISECONDS),
        repeatable=intake.repeatable,
        has_body=intake.has_body,
        key=intake.key,
        slice_index=intake.slice_index,
        attempt=attempt,
    )
