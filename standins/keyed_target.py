"""A stand-in target that speaks the platform's protocol."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from typing import Any, Final

import msgspec
from aiohttp import web

from standins.crashes import CrashPlan
from standins.key_watch import Grant, KeyWatch
from standins.listening import Listener
from standins.lives import LivingProcess
from standins.spoiled_answers import SpoiledAnswers

#: The highest key.
LAST_KEY: Final = 65535
#: Distance between the keys that are sampled when held keys are counted.
KEY_SAMPLE_STEP: Final = 64
#: Maximum number of queued requests per slot.
QUEUE_PER_SLOT: Final = 4
#: Interval at which a frozen target checks whether it still is, in seconds.
FROZEN_POLL_INTERVAL: Final = 0.01
_NANOSECONDS_PER_MS: Final = 10**6
_ATTEMPT_ID: Final = 'Attempt-Id'


class HeldKeys:
    """The keys that a target holds, and the fences it has seen."""

    def __init__(self) -> None:
        """Start without keys and fences."""
        self.grants: list[Grant] = []
        #: Watches them, and the requests for them.
        self.watch = KeyWatch()
        #: First key, last key and fence of each grant. Fences are kept when
        #: the keys expire or are released.
        self._fences: list[tuple[int, int, int]] = []

    def grant(self, requested: Grant) -> bool:
        """Accept a grant, unless a higher fence was seen on one of its keys."""
        if self._has_seen_higher_fence(requested):
            return False
        self._fences.append((requested.first, requested.last, requested.fence))
        self.remove_range(requested.first, requested.last)
        self.grants.append(requested)
        return True

    def holds(self, key: int) -> bool:
        """Return whether the key is held now."""
        now = time.monotonic()
        return any(
            grant.first <= key <= grant.last and now < grant.until
            for grant in self.grants
        )

    def clear(self) -> None:
        """Remove all keys and fences, as a restart does."""
        self.grants.clear()
        self._fences.clear()

    def remove_range(self, first: int, last: int) -> None:
        """Release a range of keys."""
        remaining = []
        for grant in self.grants:
            if grant.last < first or last < grant.first:
                remaining.append(grant)
                continue
            if grant.first < first:
                remaining.append(
                    Grant(grant.first, first - 1, grant.fence, grant.until),
                )
            if last < grant.last:
                remaining.append(
                    Grant(last + 1, grant.last, grant.fence, grant.until),
                )
        self.grants = remaining

    def _has_seen_higher_fence(self, requested: Grant) -> bool:
        return any(
            fence > requested.fence
            and requested.first <= last
            and first <= requested.last
            for first, last, fence in self._fences
        )


class TargetFaults(SpoiledAnswers):
    """Faults that tests inject into a target."""

    def __init__(self) -> None:
        """Start without faults, with a service time of zero."""
        super().__init__()
        #: Service time of each request, in seconds.
        self.service_time: float = 0
        #: If set, refuse requests with this status and `Not-Executed`.
        self.shed_status: int | None = None
        #: Close the connection instead of sending an answer.
        self.resets_connections = False
        #: Number of answers to cut off after half their body.
        self.truncations_left = 0
        #: Accept requests but do not answer them.
        self.is_frozen = False
        #: Send answers with the ID of another request.
        self.sends_wrong_id = False
        #: Carry out grant and release calls without answering them.
        self.drops_call_responses = False
        #: Requests per second that all answers name as the most to be taken.
        self.named_limit: float | None = None
        #: Say in all answers that the target is about to leave.
        self.says_leaving = False
        #: Text of the `Retry-After` of refusals, if they have one.
        self.retry_after: str | None = None

    def refuses_or_limits(self) -> bool:
        """Return whether requests are refused, spoiled or limited."""
        return (
            self.shed_status is not None
            or self.named_limit is not None
            or self.repeats_refusals
            or self.cut_heads_left > 0
        )


class ReceivedRequest(msgspec.Struct, frozen=True):
    """A request that reached a target, which has not answered 421."""

    at: float
    request_id: str
    path: str
    sender: str


class MisdirectedRequest(msgspec.Struct, frozen=True):
    """A request for another target that reached this one."""

    at: float
    request_id: str
    expected_id: str
    sender: str


class ArrivalLog:
    """The requests that reached a target, with their senders."""

    def __init__(self) -> None:
        """Start without requests."""
        #: When each request arrived, in monotonic seconds.
        self.received_at: list[float] = []
        self.unrefused: list[ReceivedRequest] = []
        self.misdirected: list[MisdirectedRequest] = []
        #: Returns who has the connection from a port.
        self.sender_at: Callable[[int], str] = str

    def note(self, request: web.Request, request_id: str) -> None:
        """Record a request that is not answered with 421."""
        self.unrefused.append(
            ReceivedRequest(
                time.monotonic(),
                request_id,
                request.path,
                self.sender(request),
            )
        )

    def note_misdirected(self, request: web.Request, request_id: str) -> None:
        """Record a request that names another target."""
        self.misdirected.append(
            MisdirectedRequest(
                time.monotonic(),
                request_id,
                request.headers.get('Expect-Instance', ''),
                self.sender(request),
            )
        )

    def sender(self, request: web.Request) -> str:
        """Return who sent a request."""
        port = 0
        if request.transport is not None:
            port = request.transport.get_extra_info('peername')[1]
        return self.sender_at(port)


class TargetWork:
    """The slots and the queue of a target, with counts of its requests."""

    def __init__(self, slots: int) -> None:
        """Start without requests."""
        self.slots = slots
        self.arrivals = ArrivalLog()
        #: Service times of requests with certain paths, in seconds.
        self.service_time_by_path: dict[str, float] = {}
        #: IDs of the requests that ran, in order.
        self.executed_ids: list[str] = []
        self.running = 0
        self.queued = 0
        #: The largest number of requests that ran concurrently.
        self.peak_running = 0
        #: Number of requests refused because the queue was full.
        self.overflow_count = 0
        #: Number of requests whose callers disconnected before the answer.
        self.cancelled_count = 0
        #: The path that crashes this target, if one does.
        self.crash_plan: CrashPlan | None = None
        self._slot_semaphore = asyncio.Semaphore(slots)

    @property
    def received_at(self) -> list[float]:
        """Return when each request arrived, in monotonic seconds."""
        return self.arrivals.received_at

    def is_full(self) -> bool:
        """Return whether the queue is full."""
        return self.queued >= QUEUE_PER_SLOT * self.slots

    @contextlib.asynccontextmanager
    async def slot(self) -> AsyncIterator[None]:
        """Wait for a slot and occupy it."""
        self.queued += 1
        try:
            await self._slot_semaphore.acquire()
        finally:
            self.queued -= 1
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            yield
        finally:
            self.running -= 1
            self._slot_semaphore.release()


class TargetServer(LivingProcess):
    """A target that runs requests and accepts grants and releases."""

    def __init__(
        self,
        target_id: str,
        service: str = 'registry',
        *,
        is_keyed: bool = True,
        data_centre: str = 'astana-a',
        slots: int = 6,
    ) -> None:
        """Create a target without keys; `start` lets it listen."""
        super().__init__(target_id, time.time_ns() // _NANOSECONDS_PER_MS)
        self.service = service
        self.is_keyed = is_keyed
        self.data_centre = data_centre
        #: Body of all answers; by default it describes the request that ran.
        self.fixed_body: bytes | None = None
        self.work = TargetWork(slots)
        #: Number of entries written.
        self._reports = 0
        self.keys = HeldKeys()
        self.received_headers: list[dict[str, str]] = []
        self.faults = TargetFaults()

    @property
    def executed_ids(self) -> list[str]:
        """Return the IDs of the requests that ran here, in order."""
        return self.work.executed_ids

    async def start(self, port: int = 0) -> None:
        """Start listening; port 0 selects any free port."""
        application = web.Application()
        application.router.add_post('/cassialever/{call}', self._handle_call)
        application.router.add_route('*', '/{path:.*}', self._handle_request)
        await self._listener.start(application, port)

    def entry(self, state: str = 'ready', cold_ms: float = 0) -> dict[str, Any]:
        """Return the entry that the target writes to the store."""
        self._reports += 1
        return {
            'address': self.address,
            'born': self.born,
            'info': {
                'upstream': self.service,
                'version': 'v1',
                'zone': self.data_centre,
                'capacity': self.work.slots,
            },
            'status': {
                'state': state,
                'sequence': self._reports,
                'warmup_left_ms': cold_ms,
            },
        }

    def holds(self, key: int) -> bool:
        """Return whether the target holds the key now."""
        return self.keys.holds(key)

    def simulate_restart(self) -> None:
        """Drop all keys and fences and take a new start time."""
        self.keys.watch.end(self.life)
        self.born += 1
        self.keys.clear()

    async def crash(self, plan: CrashPlan) -> None:
        """End as a process does, and come back later at the same address.

        It has another start time then, and mostly another id.
        """
        plan.note_crash()
        port = self.port
        await self._listener.abort()
        self.keys.watch.end(self.life)
        plan.on_end(self.target_id)
        await asyncio.sleep(plan.down_time)
        if not plan.keeps_id:
            name, _, life = self.target_id.partition('+')
            self.target_id = f'{name}+{int(life or 0) + 1}'
        await self.start_anew(port)
        plan.on_return(self.target_id)

    async def end(self) -> None:
        """End as a process does, with its keys."""
        await self._listener.abort()
        self.keys.watch.end(self.life)
        self.keys.clear()

    async def start_anew(self, port: int) -> None:
        """Listen as a new process, which knows nothing of before."""
        self.simulate_restart()
        self.born = time.time_ns() // _NANOSECONDS_PER_MS
        await self._listener.stop()
        self._listener = Listener()
        await self.start(port)

    def held_key_count(self) -> int:
        """Return approximately how many keys the target holds now."""
        held = [
            key
            for key in range(0, LAST_KEY, KEY_SAMPLE_STEP)
            if self.holds(key)
        ]
        return len(held) * KEY_SAMPLE_STEP

    async def _handle_call(self, request: web.Request) -> web.Response:
        self.faults.repeat_call_answer(request)
        if not self.is_keyed:
            # It takes the call for a request, which has no id.
            return web.Response(
                status=HTTPStatus.BAD_REQUEST, headers={'Not-Executed': '1'}
            )
        if _names_another(request, self.target_id):
            response = _misdirected_call(request, self)
        elif request.match_info['call'] == 'grant':
            response = await self._grant(request)
        else:
            response = await _release(request, self)
        self.faults.note_call_answer(request, response)
        return response

    async def _grant(self, request: web.Request) -> web.Response:
        call = msgspec.json.decode(await self.read_body(request))
        until = time.monotonic() + call['hold_ms'] / 1000
        requested = Grant(call['from'], call['target'], call['fence'], until)
        if not self.keys.grant(requested):
            return web.Response(status=HTTPStatus.CONFLICT)
        sender = self.work.arrivals.sender(request)
        self.keys.watch.take(self.life, requested, sender)
        return _call_response(self.faults, request, {})

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get(_ATTEMPT_ID, '')
        self.received_headers.append(dict(request.headers))
        self.work.received_at.append(time.monotonic())
        self.faults.repeat_refusal(request)
        refusal = self._refusal(request, request_id)
        if refusal is None or refusal.status != HTTPStatus.MISDIRECTED_REQUEST:
            self.work.arrivals.note(request, request_id)
        elif _names_another(request, self.target_id):
            self.work.arrivals.note_misdirected(request, request_id)
        if refusal is not None:
            self.faults.note_refused(request, request_id)
            return refusal
        body = await self.read_body(request)
        if self.faults.resets_connections and request.transport is not None:
            request.transport.abort()
            return web.Response()
        try:
            await self._execute(request)
        except asyncio.CancelledError:
            self.work.cancelled_count += 1
            raise
        content = self.fixed_body
        if content is None:
            content = b'%s ran %s %s' % (
                self.target_id.encode(),
                request.raw_path.encode(),
                body,
            )
        headers = self._response_headers(request_id)
        if self.faults.cuts_head(request, request_id):
            return web.Response()
        if self.faults.truncations_left:
            self.faults.truncations_left -= 1
            return await _send_truncated(request, content, headers)
        return web.Response(body=content, headers=headers)

    async def _execute(self, request: web.Request) -> None:
        key = _key_of(request)
        working = self.keys.watch.working
        async with self.work.slot():
            with working(self.life, key):
                request_id = request.headers.get(_ATTEMPT_ID, '')
                self.executed_ids.append(request_id)
                plan = self.work.crash_plan
                if plan is not None and request.raw_path == plan.path:
                    plan.note_arrival(request_id, self.target_id)
                    await asyncio.sleep(plan.run_time)
                    plan.start(self.crash(plan))
                    await asyncio.sleep(plan.down_time)
                slow_time = self.work.service_time_by_path.get(request.path)
                await asyncio.sleep(slow_time or self.faults.service_time)
                while self.faults.is_frozen:
                    await asyncio.sleep(FROZEN_POLL_INTERVAL)

    def _response_headers(self, request_id: str) -> dict[str, str]:
        load = f'{self.work.running},{self.work.queued},{self.work.slots},100'
        return {
            _ATTEMPT_ID: 'other' if self.faults.sends_wrong_id else request_id,
            'Response-Seal': f'seal.{request_id}',
            'Instance-Load': load,
            **_stated_headers(self.faults),
        }

    def _refusal(
        self, request: web.Request, request_id: str
    ) -> web.Response | None:
        if request.headers.get('Expect-Instance') != self.target_id:
            return _misdirected(request, self.target_id)
        if self.work.is_full():
            self.work.overflow_count += 1
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                headers=_refusal_headers(self.faults, request_id),
            )
        if self.faults.shed_status is not None:
            return web.Response(
                status=self.faults.shed_status,
                headers=_refusal_headers(self.faults, request_id),
            )
        if not self.is_keyed:
            return None
        if self.holds(int(request.headers.get('Shard-Key', -1))):
            return None
        return web.Response(
            status=HTTPStatus.MISDIRECTED_REQUEST,
            headers={_ATTEMPT_ID: request_id, 'Not-Executed': '1'},
        )


def _key_of(request: web.Request) -> int:
    """Return the key that a request names; -1 if it is none."""
    text = request.headers.get('Shard-Key', '')
    is_key = text.isdecimal() and len(text) <= len(str(LAST_KEY))
    return int(text) if is_key else -1


def _names_another(request: web.Request, target_id: str) -> bool:
    """Return whether a call about keys is meant for another target."""
    return request.headers.get('Expect-Instance', target_id) != target_id


def _misdirected_call(
    request: web.Request, target: TargetServer
) -> web.Response:
    if target.faults.hides_id:
        return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST)
    return _misdirected(request, target.target_id)


def _misdirected(request: web.Request, target_id: str) -> web.Response:
    return web.Response(
        status=HTTPStatus.MISDIRECTED_REQUEST,
        headers={
            _ATTEMPT_ID: request.headers.get(_ATTEMPT_ID, ''),
            'Instance-Id': target_id,
        },
    )


async def _release(request: web.Request, target: TargetServer) -> web.Response:
    call = msgspec.json.decode(await target.read_body(request))
    target.keys.remove_range(call['from'], call['target'])
    target.keys.watch.release(target.life, call['from'], call['target'])
    await asyncio.sleep(target.faults.release_time)
    return _call_response(target.faults, request, {'Handover': 'h'})


def _call_response(
    faults: TargetFaults, request: web.Request, headers: dict[str, str]
) -> web.Response:
    if faults.drops_call_responses and request.transport is not None:
        request.transport.abort()
    return web.Response(headers=headers)


def _stated_headers(faults: TargetFaults) -> dict[str, str]:
    """Return what the target says of itself in its answers."""
    stated = {}
    if faults.named_limit is not None:
        stated['Server-Limit'] = f'{faults.named_limit:g}'
    if faults.says_leaving:
        stated['Server-Leaving'] = '1'
    return stated


def _refusal_headers(faults: TargetFaults, request_id: str) -> dict[str, str]:
    headers = {
        _ATTEMPT_ID: request_id,
        'Not-Executed': '1',
        **_stated_headers(faults),
    }
    if faults.retry_after is not None:
        headers['Retry-After'] = faults.retry_after
    return headers


async def _send_truncated(
    request: web.Request,
    content: bytes,
    headers: dict[str, str],
) -> web.StreamResponse:
    """Send half of an answer, then abort the connection."""
    response = web.StreamResponse(headers=headers)
    response.content_length = len(content)
    await response.prepare(request)
    await response.write(content[: len(content) // 2])
    if request.transport is not None:
        request.transport.abort()
    return response
