"""Grant keys to targets and have targets release them."""

import asyncio
import enum
import math
import time
import types
from http import HTTPStatus
from typing import Final

import aiohttp
import msgspec

from cassialever.fleet.connecting import CONNECT_TIMEOUT
from cassialever.fleet.model import KeyRange
from cassialever.platform import wire
from cassialever.platform.answer_bodies import read_limited
from cassialever.platform.identity import (
    call_headers,
    is_refused_by_another,
)
from cassialever.platform.known_connections import (
    NoKnownConnectionError,
    close_in_use,
    connection_in_use,
    needs_new,
    only_on,
    only_on_new,
)
from cassialever.platform.processes import TargetProcess, TargetProcesses
from cassialever.platform.sending_limits import call_limit
from cassialever.platform.sessions import (
    close_connection,
    idle_connections,
    open_session,
)
from cassialever.platform.spare_connections import (
    IDLE_CONNECTIONS,
    MAX_ANSWER_BYTES,
    NO_TARGET,
    SpareConnections,
)
from cassialever.platform.time_limits import READ_TIME
from cassialever.types import Fence, Seconds, TargetId

#: How long a target may take to answer a grant.
GRANT_TIMEOUT: Final[Seconds] = 0.4
#: How long a target may take to finish its work on keys that it releases.
RELEASE_TIMEOUT: Final[Seconds] = 2.5
_CONNECT_LIMIT: Final = aiohttp.ClientTimeout(
    total=None, connect=CONNECT_TIMEOUT
)


class CallOutcome(enum.Enum):
    """How a grant or release call to a target ended."""

    done = 'done'
    #: The target has seen a higher fence on one of the keys.
    outdated = 'outdated'
    #: The target states that it has not carried out the call.
    refused = 'refused'
    #: No connection is known to reach the process that has the keys.
    unproven = 'unproven'
    #: The call never reached the target.
    not_sent = 'not sent'
    #: Another target has the address; it has not carried out the call.
    ended = 'ended'
    #: The target may have carried out the call, or may still do so.
    unknown = 'unknown'


class Presence(enum.Enum):
    """What a probe of an address has found."""

    #: No connection could be made.
    unreached = 'unreached'
    #: A connection, and no answer in time: its process may stand still.
    silent = 'silent'
    #: No answer that tells.
    unknown = 'unknown'
    #: A process that takes no calls about keys.
    other = 'other'
    #: A target of a service that has keys.
    keyed = 'keyed'


#: What a target answers that has not carried out a call.
_REFUSALS: Final = frozenset(
    (CallOutcome.outdated, CallOutcome.refused, CallOutcome.ended)
)
#: What the outcome of a call that names no target shows.
_PRESENCE_BY_OUTCOME: Final = types.MappingProxyType(
    {
        CallOutcome.not_sent: Presence.unreached,
        CallOutcome.ended: Presence.keyed,
        CallOutcome.refused: Presence.other,
    }
)
#: Answers to a grant that tell its end, also if it was sent before.
_CONCLUSIVE: Final = frozenset((CallOutcome.outdated, CallOutcome.ended))


class ConnectionUse(enum.Enum):
    """Whether a call used a connection on which a target answered before."""

    unknown = 'unknown'
    new = 'new'
    kept = 'kept'


class CallResult(msgspec.Struct, frozen=True):
    """The outcome of a call, and the handover that came with a release.

    `process` is the one that answered, as far as connections tell.
    """

    outcome: CallOutcome
    handover: str = ''
    reason: str = ''
    process: TargetProcess | None = None
    connection: ConnectionUse = ConnectionUse.unknown
    #: Whether its time limit passed without an answer.
    is_unanswered: bool = False

    @property
    def is_first(self) -> bool:
        """Return whether this is the first answer on its connection."""
        return self.connection is ConnectionUse.new

    @property
    def is_doubtful(self) -> bool:
        """Return whether this is a refusal that may belong to another call."""
        return self.outcome in _REFUSALS and not self.is_first


class TargetClient:
    """The client for the calls that grant keys to targets and release them."""

    def __init__(self, max_duration: Seconds = math.inf) -> None:
        """Cut grants to `max_duration`; `start` opens the session."""
        self._max_duration = max_duration
        self._session: aiohttp.ClientSession | None = None
        self._processes = TargetProcesses()
        self._spares = SpareConnections(self._processes)

    async def start(self) -> None:
        """Open the session."""
        self._session = open_session(
            disable_retries=True, takes_turns=True, auto_decompress=False
        )

    async def stop(self) -> None:
        """Close the session."""
        self._spares.stop()
        if self._session is not None:
            await self._session.close()

    async def grant(
        self,
        address: str,
        keys: KeyRange,
        duration: Seconds,
        process: TargetProcess | None = None,
    ) -> CallResult:
        """Grant keys, or renew them, for a time from the call's arrival.

        The duration is cut to the longest that targets accept. Only the owner
        carries the call out, also if another target has its address. With a
        process, only that one does: a later process of the same target is not
        called. Else a call whose refusal may belong to another one is sent
        again, on a new connection and with the fence that is reserved.
        """
        call = wire.encode_grant(keys, min(duration, self._max_duration))
        sent_at = time.monotonic()
        with only_on(None if process is None else process.connections):
            result = await self._call(address, keys.owner, call, GRANT_TIMEOUT)
        await self._confirm_spare(address, result)
        if not result.is_doubtful or process is not None:
            return conclude(result)
        time_left = GRANT_TIMEOUT - (time.monotonic() - sent_at)
        call = wire.encode_grant(
            with_reserved_fence(keys), min(duration, self._max_duration)
        )
        with only_on_new():
            repeated = await self._call(address, keys.owner, call, time_left)
        return conclude(result, repeated)

    async def raise_fence(
        self, address: str, keys: KeyRange, duration: Seconds
    ) -> CallResult:
        """Grant keys on a new connection, so that the answer is a proof."""
        call = wire.encode_grant(keys, min(duration, self._max_duration))
        with only_on_new():
            return await self._call(address, keys.owner, call, GRANT_TIMEOUT)

    async def release(self, address: str, keys: KeyRange) -> CallResult:
        """Take keys back; the call is done when the work on them has ended.

        A copy of an earlier answer would end it at once. The first answer on a
        connection is no copy, so that the call gets a connection of its own.
        """
        call = wire.encode_release(keys)
        sent_at = time.monotonic()
        with only_on_new():
            result = await self._call(
                address, keys.owner, call, RELEASE_TIMEOUT
            )
        time_left = RELEASE_TIMEOUT - (time.monotonic() - sent_at)
        if result.outcome is not CallOutcome.unknown or time_left <= READ_TIME:
            return result
        repeated = await self._release_on_open(address, keys, time_left)
        return repeated or result

    async def probe(self, address: str) -> Presence:
        """Return what is found at an address.

        A call that names no target changes nothing. Targets with keys refuse it
        as one for another target, and those without as malformed.
        """
        call = wire.GRANT_PATH, b'{}'
        with only_on_new():
            result = await self._call(address, NO_TARGET, call, GRANT_TIMEOUT)
        return _found(result)

    async def prove(self, address: str, process: TargetProcess) -> bool:
        """Return whether a process still answers on one of its connections.

        It has not restarted then, and knows the fences that it has accepted.
        """
        if self._session is None:
            return False
        return await self._spares.prove(self._session, address, process)

    async def _confirm_spare(self, address: str, result: CallResult) -> None:
        """Have a process that has accepted keys prove its spare connection."""
        is_accepted = result.outcome is CallOutcome.done
        if self._session is None or not is_accepted or result.process is None:
            return
        await self._spares.confirm(self._session, address, result.process)

    async def _release_on_open(
        self, address: str, keys: KeyRange, timeout: Seconds
    ) -> CallResult | None:
        """Take keys back on an open connection, unless it is the last one.

        A target at its limit resets new connections. Only answers to releases
        have a handover, and no connection carries two: it is closed.
        """
        if self._session is None:
            return None
        idle = idle_connections(self._session, address)
        if len(idle) < IDLE_CONNECTIONS:
            return None
        call = wire.encode_release(keys)
        with only_on(idle):
            result = await self._call(address, keys.owner, call, timeout)
        close_in_use()
        is_done = result.outcome is CallOutcome.done and result.handover
        return result if is_done else None

    async def _call(
        self,
        address: str,
        owner: TargetId,
        call: tuple[str, bytes],
        timeout: Seconds,
    ) -> CallResult:
        path, body = call
        sent_at = time.monotonic()
        if self._session is None:
            return CallResult(
                CallOutcome.not_sent, reason='the session is not open'
            )
        try:
            async with (
                call_limit(timeout),
                self._session.post(
                    f'http://{address}{path}',
                    data=body,
                    headers=call_headers(owner),
                    timeout=_CONNECT_LIMIT,
                    allow_redirects=False,
                ) as response,
            ):
                if response.status != HTTPStatus.OK or needs_new():
                    # Answers bear no id: a late copy of this one would be taken
                    # for the answer to a later call.
                    close_connection(response)
                else:
                    await read_limited(response, MAX_ANSWER_BYTES)
                result = _call_result(response, owner)
                status = response.status
        except NoKnownConnectionError as none_open:
            return CallResult(CallOutcome.unproven, reason=repr(none_open))
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return CallResult(CallOutcome.not_sent, reason=repr(error))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return CallResult(
                CallOutcome.unknown,
                reason=repr(error),
                is_unanswered=isinstance(error, asyncio.TimeoutError),
            )
        return self._with_process(address, result, status, sent_at)

    def _with_process(
        self, address: str, result: CallResult, status: int, sent_at: Seconds
    ) -> CallResult:
        """Add the process that answered; see to a spare connection to it."""
        connection = connection_in_use()
        if self._session is None or connection is None:
            return result
        is_kept = self._processes.has_answered(connection)
        # A refusal may be that of an earlier grant.
        is_proof = self._processes.record_status(connection, status) and (
            status == HTTPStatus.OK
        )
        idle = idle_connections(self._session, address)
        process = self._processes.record_answer(
            connection, sent_at, time.monotonic(), idle if is_proof else ()
        )
        is_usual = result.outcome in {CallOutcome.done, CallOutcome.outdated}
        if is_usual:
            self._spares.open(self._session, address)
        return msgspec.structs.replace(
            result,
            process=process,
            connection=ConnectionUse.kept if is_kept else ConnectionUse.new,
        )


def conclude(
    result: CallResult, repeated: CallResult | None = None
) -> CallResult:
    """Return what the answer to a call tells, and that to its repetition.

    Answers bear no id, and a target may write one to another call where the
    next one is expected, but not as the first on a connection. So a refusal
    that isn't the first answer on its connection may hide that the call was
    carried out, or will be. A success that belongs to another call does no
    harm: the keys are taken to be held. One to the repetition may be that of a
    later process, and the fence that it has used is not reserved any more, so
    that another one has to be written.
    """
    if not result.is_doubtful:
        return result
    if repeated is not None and repeated.is_first:
        if repeated.outcome in _CONCLUSIVE:
            return repeated
    return msgspec.structs.replace(
        result,
        outcome=CallOutcome.unknown,
        reason=f'{result.reason}, which may belong to another call',
    )


def with_reserved_fence(keys: KeyRange) -> KeyRange:
    """Return keys with the fence above theirs, which is reserved as well.

    A process that has started since the call before must not get its fence.
    """
    return msgspec.structs.replace(keys, fence=Fence(keys.fence + 1))


def _found(result: CallResult) -> Presence:
    """Return what the result of a call that names no target shows."""
    if result.is_unanswered:
        return Presence.silent
    return _PRESENCE_BY_OUTCOME.get(result.outcome, Presence.unknown)


def _call_result(
    response: aiohttp.ClientResponse, owner: TargetId
) -> CallResult:
    reason = f'the target answered {response.status}'
    if response.status == HTTPStatus.OK:
        return CallResult(CallOutcome.done, wire.handover_of(response.headers))
    if response.status == HTTPStatus.CONFLICT:
        return CallResult(CallOutcome.outdated, reason=reason)
    if is_refused_by_another(response.status, response.headers, owner):
        return CallResult(CallOutcome.ended, reason=reason)
    if wire.reports_not_run(response.status, response.headers):
        return CallResult(CallOutcome.refused, reason=reason)
    return CallResult(CallOutcome.unknown, reason=reason)
