"""Order targets to take keys and to give them back."""

import asyncio
import enum
import math
from http import HTTPStatus
from typing import Final

import aiohttp
import msgspec

from cassialever.errors import Failure
from cassialever.fleet.connecting import CONNECT_TIMEOUT, connect
from cassialever.fleet.model import KeyRange
from cassialever.platform import wire
from cassialever.platform.sessions import open_session
from cassialever.types import Seconds

#: How long a target may take to answer a grant.
GRANT_TIMEOUT: Final[Seconds] = 0.4
#: How long a target may take to end the work on keys that it gives back.
RELEASE_TIMEOUT: Final[Seconds] = 2.5
_JSON: Final = (('Content-Type', 'application/json'),)


class CallOutcome(enum.Enum):
    """How an order to a target ended."""

    done = 'done'
    #: The target has seen a higher fence on one of the keys.
    outdated = 'outdated'
    refused = 'refused'
    #: It never reached the target.
    not_sent = 'not sent'
    #: It may have been carried out, or may still be.
    unknown = 'unknown'


class CallResult(msgspec.Struct, frozen=True):
    """The end of an order, and what came with a release."""

    outcome: CallOutcome
    handover: str = ''
    reason: str = ''


class TargetClient:
    """The calls by which targets get and lose keys."""

    def __init__(self, max_duration: Seconds = math.inf) -> None:
        """Take the longest grant that targets accept.

        `start` opens the session.
        """
        self._max_duration = max_duration
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        self._session = open_session(disable_retries=True)

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def grant(
        self,
        address: str,
        keys: KeyRange,
        hold: Seconds,
    ) -> CallResult:
        """Grant keys for a time from the order's arrival, or renew them.

        The time is cut to what targets accept.
        """
        path, body = wire.encode_grant(keys, min(hold, self._max_duration))
        return await self._order(address, path, body, GRANT_TIMEOUT)

    async def release(self, address: str, keys: KeyRange) -> CallResult:
        """Take keys back; it is done when the work on them has ended."""
        path, body = wire.encode_release(keys)
        return await self._order(address, path, body, RELEASE_TIMEOUT)

    async def can_connect(self, address: str) -> bool:
        """Tell whether a connection can be made to an address."""
        connected = await connect(address)
        if isinstance(connected, Failure):
            return False
        connected[1].close()
        return True

    async def _order(
        self,
        address: str,
        path: str,
        body: bytes,
        timeout: Seconds,
    ) -> CallResult:
        if self._session is None:
            return CallResult(CallOutcome.not_sent, reason='not started')
        try:
            async with self._session.post(
                f'http://{address}{path}',
                data=body,
                headers=_JSON,
                timeout=aiohttp.ClientTimeout(
                    total=timeout,
                    connect=CONNECT_TIMEOUT,
                ),
            ) as response:
                await response.read()
                return _order_end(response)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return CallResult(CallOutcome.not_sent, reason=repr(error))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return CallResult(CallOutcome.unknown, reason=repr(error))


def _order_end(response: aiohttp.ClientResponse) -> CallResult:
    reason = f'the target answered {response.status}'
    if response.status == HTTPStatus.OK:
        return CallResult(CallOutcome.done, wire.handover_of(response.headers))
    if response.status == HTTPStatus.CONFLICT:
        return CallResult(CallOutcome.outdated, reason=reason)
    return CallResult(CallOutcome.refused, reason=reason)
